/*
 * Calls that get no answer from the target's node: their deadline passed, or this node exits.
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
	call_abandon(call);
	if (!call_fail(call, FAILED_DEADLINE, STR("no answer before the deadline")))
		caller_finish(call->caller, PIPE_FAILED);
}

struct deadline calls_work_deadline(const struct daemon *daemon, struct deadline deadline)
{
	return g_atomic_int_get(&daemon->stop_begun) ? stop_bound(&daemon->stop, deadline)
						     : deadline;
}

/* Takes the calls for which @p is_due holds from the open calls, with a reference each. */
static GPtrArray *take_open(struct daemon *daemon, struct instant now,
			    bool (*is_due)(struct call *call, struct instant now))
{
	GPtrArray *taken = g_ptr_array_new_with_free_func((GDestroyNotify)call_unref);

	lock_acquire(&daemon->lock);
	for (guint i = daemon->open_calls->len; i-- > 0;) {
		struct call *call = g_ptr_array_index(daemon->open_calls, i);

		if (!is_due(call, now))
			continue;
		remove_open_locked(daemon, call);
		g_atomic_int_inc(&call->refs);
		g_ptr_array_add(taken, call);
	}
	lock_release(&daemon->lock);
	return taken;
}

static bool is_expired(struct call *call, struct instant now)
{
	struct instant expired_before = { now.mono_us - EXPIRY_GRACE_US, now.wall_us };

	return deadline_passed(call->deadline, expired_before);
}

void calls_tick(struct daemon *daemon, struct instant now)
{
	GPtrArray *expired = take_open(daemon, now, is_expired);

	for (guint i = 0; i < expired->len; i++)
		expire_call(g_ptr_array_index(expired, i));
	g_ptr_array_unref(expired);
	calls_release_overdue(daemon, now);
}

static void end_call(struct call *call)
{
	call_abandon(call);
	/* The head may have come before the call was detached from its attempt. */
	if (!call_refuse(call, REFUSED_NO_TARGET, STR("the node stops")))
		caller_finish(call->caller, PIPE_FAILED);
}

/* A target that is sending its answer may still complete it. */
static bool has_no_answer(struct call *call, struct instant now)
{
	(void)now;
	return !g_atomic_int_get(&call->answered);
}

void calls_end(struct daemon *daemon)
{
	GPtrArray *waiting = take_open(daemon, clock_now(), has_no_answer);

	for (guint i = 0; i < waiting->len; i++)
		end_call(g_ptr_array_index(waiting, i));
	g_ptr_array_unref(waiting);
}
