/*
 * One try of a call at one target: what its answer, refusal or loss leads to, and the way of the
 * request's body.
 */
#include <string.h>

#include "base/logger.h"
#include "godwithitchd/calls.h"

enum { PUMP_BYTES = 32 << 10 };

struct attempt *attempt_ref(struct attempt *attempt)
{
	g_atomic_int_inc(&attempt->owner.refs);
	return attempt;
}

void attempt_unref(struct attempt *attempt)
{
	if (!attempt || !g_atomic_int_dec_and_test(&attempt->owner.refs))
		return;
	serve_unref(attempt->serve);
	link_unref(attempt->stream.link);
	call_unref(attempt->call);
	g_free(attempt);
}

bool attempt_finish(struct attempt *attempt)
{
	return g_atomic_int_compare_and_exchange(&attempt->over, 0, 1);
}

void attempt_note(struct attempt *attempt, enum call_outcome outcome)
{
	struct call *call = attempt->call;
	struct actions actions = actions_new();

	node_call_ended(call->daemon->node, call->service, attempt->target, outcome, clock_now(),
			&actions);
	bridge_carry_out(call->daemon, &actions);
}

void attempt_cancel(struct attempt *attempt)
{
	if (!attempt_finish(attempt))
		return;
	/* The caller gave up, which says nothing of the target. */
	attempt_note(attempt, CALL_REFUSED);
	if (attempt->serve)
		serve_cancel(attempt->serve);
	else if (attempt->stream.link)
		stream_cancel(attempt->stream);
}

static bool caller_is_gone(struct call *call)
{
	bool gone;

	lock_acquire(&call->lock);
	gone = call->gone;
	lock_release(&call->lock);
	return gone;
}

/* Whether a failed attempt may be followed by another one. */
static bool may_retry(struct call *call, enum verdict verdict)
{
	bool idempotent = call->route->repeat == REPEAT_IDEMPOTENT;

	/* A request that breaks two targets is not taken to a third. */
	return !caller_is_gone(call) && !call->body_used &&
	       call->attempts < call_attempts_max(call) && call->unsure < 2 &&
	       verdict_allows_retry(verdict, idempotent) &&
	       !deadline_passed(call->deadline, clock_now()) &&
	       node_take_retry(call->daemon->node, call->service);
}

/* A node refused the call before its target saw it: this costs nothing of the budget. */
static void offer_elsewhere(struct attempt *attempt, const struct refusal *refusal)
{
	struct call *call = attempt->call;
	struct instant now = clock_now();

	call_avoid(call, attempt->target);
	placement_refused(&call->placement, attempt->target, refusal->expected_us);
	if (refusal->expected_us)
		members_note_busy(node_members(call->daemon->node), attempt->target,
				  refusal->expected_us, now);
	if (!caller_is_gone(call) && !call->body_used)
		call_try_target(call);
	else
		call_answer(call, STATUS_UNAVAILABLE, VERDICT_NOT_RUN, refusal->reason);
}

static void fail_attempt(struct attempt *attempt, enum verdict verdict, struct str reason)
{
	struct call *call = attempt->call;

	if (attempt->has_head) {
		logger_event(NOTE_CALL_CUT, "route=%.*s member=%lx",
			     STR_ARG(label_str(&call->route->name)), attempt->target);
		caller_finish(call->caller, PIPE_FAILED);
		return;
	}
	call->attempts++;
	call_avoid(call, attempt->target);
	placement_refused(&call->placement, attempt->target, 0);
	call->unsure += verdict == VERDICT_MAY_HAVE_RUN;
	if (may_retry(call, verdict)) {
		logger_event(NOTE_CALL_RETRIED, "route=%.*s target=%lx verdict=%.*s why=\"%.*s\"",
			     STR_ARG(label_str(&call->route->name)), attempt->target,
			     STR_ARG(verdict_name(verdict)), STR_ARG(reason));
		call_try_target(call);
	} else
		call_answer(call, STATUS_UNAVAILABLE, verdict, reason);
}

static enum call_outcome refused_outcome(enum refusal_kind kind)
{
	switch (kind) {
	case REFUSAL_BUSY:
		return CALL_REFUSED;
	case REFUSAL_CLOSED:
		return CALL_CLOSED;
	case REFUSAL_BROKEN:
		return CALL_BROKEN;
	}
	g_assert_not_reached();
}

/* What other data centres make of offers tells how many of them are worth their bytes. */
static void note_far(const struct attempt *attempt, bool taken)
{
	const struct call *call = attempt->call;

	if (call->placement.offering_far)
		traffic_note_far(node_traffic(call->daemon->node), call->route->name, taken);
}

void attempt_refused(struct attempt *attempt, const struct refusal *refusal)
{
	if (!attempt_finish(attempt))
		return;
	note_far(attempt, refusal->reached);
	attempt_note(attempt, refused_outcome(refusal->kind));
	if (refusal->verdict == VERDICT_NOT_RUN && !refusal->reached && !attempt->has_head)
		offer_elsewhere(attempt, refusal);
	else
		fail_attempt(attempt, refusal->verdict, refusal->reason);
}

void attempt_lost(struct attempt *attempt, enum verdict verdict)
{
	if (!attempt_finish(attempt))
		return;
	attempt_note(attempt, CALL_BROKEN);
	fail_attempt(attempt, verdict, STR("the connection to the target was lost"));
}

void attempt_head(struct attempt *attempt, const struct response_head *head)
{
	struct str verdict_field = attempt->call->daemon->dialect->verdict;
	struct response_head *full;

	if (g_atomic_int_get(&attempt->over))
		return;
	full = g_memdup2(head, sizeof(*head));
	if (full->field_count == FIELDS_MAX)
		full->field_count--;
	if (verdict_field.len)
		full->fields[full->field_count++] =
			(struct field){ verdict_field, verdict_name(VERDICT_RAN) };
	note_far(attempt, true);
	attempt->has_head = true;
	attempt->status = head->status;
	attempt->call->status = head->status;
	attempt->call->verdict = VERDICT_RAN;
	call_end_claim(attempt->call, VERDICT_RAN, head->status);
	caller_head(attempt->call->caller, full);
	g_free(full);
}

bool attempt_body_wait(struct attempt *attempt, struct str bytes, struct deadline deadline)
{
	attempt->answer_bytes += bytes.len;
	return !g_atomic_int_get(&attempt->over) &&
	       caller_give_wait(attempt->call->caller, bytes, deadline);
}

static enum call_outcome outcome_of(int status)
{
	if (status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY)
		return CALL_REFUSED;
	return status >= STATUS_SERVER_ERROR ? CALL_FAILED : CALL_ANSWERED;
}

void attempt_end(struct attempt *attempt)
{
	if (!attempt_finish(attempt))
		return;
	attempt_note(attempt, outcome_of(attempt->status));
	members_note_answer(node_members(attempt->call->daemon->node), attempt->target,
			    clock_now().mono_us - attempt->started_us);
	traffic_note_answer(node_traffic(attempt->call->daemon->node), attempt->call->route->name,
			    attempt->answer_bytes);
	caller_finish(attempt->call->caller, PIPE_DONE);
}

/* A small body is held whole; each attempt reads it from its start. */
static size_t take_small_body(struct attempt *attempt, char *into, size_t cap, enum pipe_end *end)
{
	struct str left = caller_body(attempt->call->caller);

	left = str_sub(left, attempt->body_at, cap);
	if (left.len)
		memcpy(into, left.data, left.len);
	attempt->body_at += left.len;
	*end = PIPE_DONE;
	return left.len;
}

size_t attempt_take_body(struct attempt *attempt, char *into, size_t cap, enum pipe_end *end,
			 struct deadline deadline)
{
	struct call *call = attempt->call;
	size_t n;

	if (!caller_upload(call->caller))
		return take_small_body(attempt, into, cap, end);
	n = pipe_take_wait(caller_upload(call->caller), into, cap, end, deadline);
	call->body_used |= n > 0;
	caller_upload_taken(call->caller);
	return n;
}

/* One step of an upload: what the credit allows goes into @p frames; false if nothing is left
 * to do now. */
static bool pump_step(struct attempt *attempt, struct strbuf *frames)
{
	struct call *call = attempt->call;
	size_t cap = MIN(PUMP_BYTES, (size_t)MAX(attempt->credit, 0));
	char *chunk;
	enum pipe_end end = PIPE_OPEN;
	size_t n;

	if (cap == 0 || attempt->upload_ended)
		return false;
	chunk = g_malloc(cap);
	n = pipe_take(caller_upload(call->caller), chunk, cap, &end);
	if (n) {
		wire_put_data(frames, attempt->stream.id, &attempt->sent, (struct str){ chunk, n });
		attempt->credit -= (int64_t)n;
		call->body_used = true;
	}
	if (end == PIPE_DONE) {
		wire_put_end(frames, attempt->stream.id, &attempt->sent);
		attempt->upload_ended = true;
	}
	g_free(chunk);
	return n > 0 && end == PIPE_OPEN;
}

/* Whoever comes while another pumps leaves the rest to it. */
static bool begin_pump(struct attempt *attempt)
{
	bool mine;

	lock_acquire(&attempt->call->lock);
	mine = !attempt->pumping;
	attempt->pumping = true;
	attempt->pump_again = !mine;
	lock_release(&attempt->call->lock);
	return mine;
}

static bool end_pump(struct attempt *attempt)
{
	bool again;

	lock_acquire(&attempt->call->lock);
	again = attempt->pump_again;
	attempt->pump_again = false;
	attempt->pumping = again;
	lock_release(&attempt->call->lock);
	return !again;
}

void attempt_pump(struct attempt *attempt)
{
	struct strbuf frames = { 0 };

	if (!attempt->stream.link || !begin_pump(attempt))
		return;
	do {
		bool more = true;

		while (more && !g_atomic_int_get(&attempt->over)) {
			lock_acquire(&attempt->call->lock);
			more = pump_step(attempt, &frames);
			lock_release(&attempt->call->lock);
			if (frames.len)
				stream_send(attempt->stream, &frames);
			caller_upload_taken(attempt->call->caller);
		}
	} while (!end_pump(attempt));
	strbuf_clear(&frames);
}

static void on_window(struct attempt *attempt, uint64_t taken)
{
	lock_acquire(&attempt->call->lock);
	attempt->credit += (int64_t)MIN(taken, STREAM_WINDOW);
	lock_release(&attempt->call->lock);
	attempt_pump(attempt);
}

/* A sender keeps to its window; one that does not is cut off before it takes the memory. */
static void take_data(struct attempt *attempt, struct str bytes)
{
	struct caller_call *caller = attempt->call->caller;

	if (g_atomic_int_get(&attempt->over))
		return;
	attempt->answer_bytes += bytes.len;
	if (caller_held(caller) + bytes.len <= 2 * STREAM_WINDOW) {
		caller_give(caller, bytes);
		return;
	}
	stream_cancel(attempt->stream);
	attempt_lost(attempt, VERDICT_RAN);
}

void calls_on_peer(struct attempt *attempt, struct peer_event *event)
{
	switch (event->kind) {
	case PEER_RESPONSE:
		attempt_head(attempt, event->response);
		return;
	case PEER_REFUSED:
		attempt_refused(attempt, event->refusal);
		return;
	case PEER_DATA:
		take_data(attempt, event->bytes);
		return;
	case PEER_END:
		attempt_end(attempt);
		stream_close(attempt->stream);
		return;
	case PEER_WINDOW:
		on_window(attempt, event->taken);
		return;
	case PEER_LOST:
		attempt_lost(attempt, attempt->has_head ? VERDICT_RAN : event->verdict);
		return;
	case PEER_RELEASED:
		attempt_unref(attempt);
		return;
	case PEER_MESSAGE:
	case PEER_REQUEST:
	case PEER_ADMIT:
	case PEER_RUN:
		return;
	}
	g_assert_not_reached();
}
