/*
 * Generated answers: status, verdict, and the time after which a refused caller may retry.
 */
#include <glib/gprintf.h>

#include "base/rng.h"
#include "godwithitchd/calls.h"

/* The target's node ends a call by its own clock, which may be a little before the deadline of the
 * entry node. */
#define DEADLINE_SLACK_US (20 * US_PER_MS)

static void add_field(struct response_head *head, struct str name, struct str value)
{
	if (name.len && value.len && head->field_count < FIELDS_MAX)
		head->fields[head->field_count++] = (struct field){ name, value };
}

static bool is_overload_status(int status)
{
	return status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY;
}

static void format_retry_after(const struct call *call, char *text, size_t cap)
{
	struct placement_inputs inputs = call_placement_inputs(call, clock_now());
	struct rng rng = { .state = call_placement_point(call->daemon, STR("")) };
	int64_t wait_us = call->retry_after_us;
	double seconds;

	if (wait_us == 0)
		wait_us = placement_retry_after_us(&call->placement, &inputs, &rng);
	seconds = (double)wait_us / US_PER_S;

	if (call->daemon->dialect->fractional_times)
		g_snprintf(text, (gulong)cap, "%.3f", seconds);
	else
		g_snprintf(text, (gulong)cap, "%d", (int)seconds + 1);
}

bool call_begin_answer(struct call *call)
{
	return g_atomic_int_compare_and_exchange(&call->answered, 0, 1);
}

static void send_reply(struct call *call, const struct reply *reply, struct str reason)
{
	const struct dialect *dialect = call->daemon->dialect;
	bool late = deadline_remaining_us(call->deadline, clock_now()) <= DEADLINE_SLACK_US;
	enum verdict verdict = reply_verdict(reply);
	struct response_head head = { .status = reply_status(reply, dialect, late) };
	struct strbuf body = { 0 };
	char retry[32];

	call->status = head.status;
	call->verdict = verdict;
	g_snprintf(call->reason, sizeof(call->reason), "%.*s", STR_ARG(reason));
	call_end_claim(call, verdict, head.status);
	if (verdict == VERDICT_NOT_RUN)
		call_return_token(call);
	add_field(&head, dialect->verdict, verdict_name(verdict));
	if (dialect->request_id.len)
		add_field(&head, dialect->request_id,
			  caller_field(call->caller, dialect->request_id));
	add_field(&head, STR("Content-Type"), STR("text/plain"));
	if (head.status == STATUS_UNAUTHORIZED)
		add_field(&head, STR("WWW-Authenticate"), STR("Bearer"));
	if (verdict == VERDICT_NOT_RUN && is_overload_status(head.status)) {
		format_retry_after(call, retry, sizeof(retry));
		add_field(&head, STR("Retry-After"), str_from_cstr(retry));
	}
	strbuf_addf(&body, "%.*s: %.*s\n", STR_ARG(verdict_name(verdict)), STR_ARG(reason));
	caller_answer(call->caller, &head, strbuf_str(&body));
	strbuf_clear(&body);
}

bool call_refuse(struct call *call, enum refusal_cause cause, struct str reason)
{
	struct reply reply;

	if (!call_begin_answer(call))
		return false;
	lock_acquire(&call->lock);
	reply = reply_refuse(&call->record, cause);
	lock_release(&call->lock);
	send_reply(call, &reply, reason);
	return true;
}

bool call_fail(struct call *call, enum failure_cause cause, struct str reason)
{
	struct reply reply = reply_fail(cause);

	if (!call_begin_answer(call))
		return false;
	send_reply(call, &reply, reason);
	return true;
}
