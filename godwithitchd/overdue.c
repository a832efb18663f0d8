/*
 * Calls whose deadline passes without a word of the target's node.
 */
#include "godwithitchd/calls.h"

#define GIVE_UP_AFTER_US (100 * US_PER_MS) /* for the word of the target's node to arrive */

void call_open_add(struct call *call)
{
	struct daemon *daemon = call->daemon;

	lock_acquire(&daemon->lock);
	g_ptr_array_add(daemon->open, call);
	call->open_at = daemon->open->len;
	lock_release(&daemon->lock);
}

/* LOCK_CALLS of the daemon is held. */
static void take_open(struct daemon *daemon, struct call *call)
{
	if (call->open_at == 0)
		return;
	g_ptr_array_remove_index_fast(daemon->open, call->open_at - 1);
	if (call->open_at <= daemon->open->len)
		((struct call *)g_ptr_array_index(daemon->open, call->open_at - 1))->open_at =
			call->open_at;
	call->open_at = 0;
}

void call_open_remove(struct call *call)
{
	lock_acquire(&call->daemon->lock);
	take_open(call->daemon, call);
	lock_release(&call->daemon->lock);
}

/* The target's node answers at the deadline, and knows more: this is for when it is gone. */
static void give_up(struct call *call)
{
	struct attempt *attempt;
	bool has_head;

	lock_acquire(&call->lock);
	call->gone = true;
	attempt = call->current;
	call->current = NULL;
	lock_release(&call->lock);
	has_head = attempt && attempt->has_head;
	if (attempt)
		attempt_cancel(attempt);
	attempt_unref(attempt);
	if (has_head)
		caller_finish(call->caller, PIPE_FAILED);
	else
		call_answer(call, STATUS_TIMEOUT, VERDICT_MAY_HAVE_RUN,
			    STR("no answer before the deadline"));
}

void calls_tick(struct daemon *daemon, struct instant now)
{
	struct instant before = { now.mono_us - GIVE_UP_AFTER_US, now.wall_us };
	GPtrArray *late = g_ptr_array_new();

	lock_acquire(&daemon->lock);
	for (guint i = daemon->open->len; i-- > 0;) {
		struct call *call = g_ptr_array_index(daemon->open, i);

		if (!deadline_passed(call->deadline, before))
			continue;
		take_open(daemon, call);
		g_atomic_int_inc(&call->refs);
		g_ptr_array_add(late, call);
	}
	lock_release(&daemon->lock);
	for (guint i = 0; i < late->len; i++) {
		give_up(g_ptr_array_index(late, i));
		call_unref(g_ptr_array_index(late, i));
	}
	g_ptr_array_unref(late);
}
