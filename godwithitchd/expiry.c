/*
 * Expiry of calls whose deadline passed without an answer from the target's node.
 */
#include "base/logger.h"
#include "godwithitchd/calls.h"

#define EXPIRY_GRACE_US (100 * US_PER_MS) /* wait for the answer of the target's node to arrive */

void call_open_add(struct call *call)
{
	struct daemon *daemon = call->daemon;
	int64_t version = call->config->version;
	bool first_use;

	lock_acquire(&daemon->lock);
	g_ptr_array_add(daemon->open_calls, call);
	call->open_index = daemon->open_calls->len;
	first_use = version > daemon->used_version;
	if (first_use)
		daemon->used_version = version;
	lock_release(&daemon->lock);
	if (first_use)
		logger_event(LOG_EVENT_VERSION_USED, "version=%ld accepted=%ld", version,
			     call->config->accepted);
}

/* Removes the call from the open calls. daemon->lock is held. */
static void remove_open_locked(struct daemon *daemon, struct call *call)
{
	if (call->open_index == 0)
		return;
	g_ptr_array_remove_index_fast(daemon->open_calls, call->open_index - 1);
	if (call->open_index <= daemon->open_calls->len)
		((struct call *)g_ptr_array_index(daemon->open_calls, call->open_index - 1))
			->open_index = call->open_index;
	call->open_index = 0;
}

void call_open_remove(struct call *call)
{
	lock_acquire(&call->daemon->lock);
	remove_open_locked(call->daemon, call);
	lock_release(&call->daemon->lock);
}

/* Answers a call whose deadline passed, or truncates the answer if its head was sent. The target's
 * node would have answered at the deadline, with a more precise verdict: this covers the failure of
 * that node. */
static void expire_call(struct call *call)
{
	struct attempt *attempt;

	lock_acquire(&call->lock);
	call->abandoned = true;
	attempt = call->current;
	call->current = NULL;
	lock_release(&call->lock);
	if (attempt)
		attempt_cancel(attempt);
	attempt_unref(attempt);
	if (!call_fail(call, FAILED_DEADLINE, STR("no answer before the deadline")))
		caller_finish(call->caller, PIPE_FAILED);
}

void calls_tick(struct daemon *daemon, struct instant now)
{
	struct instant expired_before = { now.mono_us - EXPIRY_GRACE_US, now.wall_us };
	GPtrArray *expired = g_ptr_array_new();

	lock_acquire(&daemon->lock);
	for (guint i = daemon->open_calls->len; i-- > 0;) {
		struct call *call = g_ptr_array_index(daemon->open_calls, i);

		if (!deadline_passed(call->deadline, expired_before))
			continue;
		remove_open_locked(daemon, call);
		g_atomic_int_inc(&call->refs);
		g_ptr_array_add(expired, call);
	}
	lock_release(&daemon->lock);
	for (guint i = 0; i < expired->len; i++) {
		expire_call(g_ptr_array_index(expired, i));
		call_unref(g_ptr_array_index(expired, i));
	}
	g_ptr_array_unref(expired);
}
