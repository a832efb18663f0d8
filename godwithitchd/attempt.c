/*
 * One attempt of a call at one target: handles its answer, refusal or lost connection, and forwards
 * the request's body.
 */
#include <string.h>

#include "base/logger.h"
#include "godwithitchd/calls.h"

enum {
	FORWARD_BLOCK_BYTES = 32 << 10,
	STATUS_FINAL = 200,
	STATUS_MAX = 599,
};

struct attempt *attempt_ref(struct attempt *attempt)
{
	g_atomic_int_inc(&attempt->owner.refs);
	return attempt;
}

void attempt_unref(struct attempt *attempt)
{
	if (!attempt || !g_atomic_int_dec_and_test(&attempt->owner.refs))
		return;
	inbound_unref(attempt->inbound);
	link_unref(attempt->stream.link);
	call_unref(attempt->call);
	g_free(attempt);
}

bool attempt_finish(struct attempt *attempt)
{
	return g_atomic_int_compare_and_exchange(&attempt->finished, 0, 1);
}

void attempt_settle(struct attempt *attempt, enum verdict verdict)
{
	struct call *call = attempt->call;

	lock_acquire(&call->lock);
	attempt_record_end(&call->record, verdict);
	lock_release(&call->lock);
}

void attempt_record_outcome(struct attempt *attempt, enum call_outcome outcome)
{
	struct call *call = attempt->call;
	struct actions actions = actions_new();

	node_call_ended(call->daemon->node, call->service, attempt->target, outcome, clock_now(),
			&actions);
	dispatch_actions(call->daemon, &actions);
}

void attempt_cancel(struct attempt *attempt)
{
	if (!attempt_finish(attempt))
		return;
	/* A cancelled attempt must not count as a failure of the target. */
	attempt_record_outcome(attempt, CALL_REFUSED);
	if (attempt->inbound) {
		if (inbound_cancel(attempt->inbound))
			attempt_settle(attempt, VERDICT_NOT_RUN);
	} else if (g_atomic_pointer_get(&attempt->stream.link) &&
		   stream_cancel(attempt->stream) == VERDICT_NOT_RUN) {
		attempt_settle(attempt, VERDICT_NOT_RUN);
	}
}

static int may_have_run_count(struct call *call)
{
	int count;

	lock_acquire(&call->lock);
	count = attempt_record_may_have_run(&call->record);
	lock_release(&call->lock);
	return count;
}

/* Returns whether another attempt may have the whole request. The attempt before it has finished,
 * so that no worker takes bytes of a streamed body for it any more. */
static bool may_be_sent_again(struct call *call)
{
	bool whole;

	lock_acquire(&call->lock);
	whole = !call->abandoned && !call->body_consumed;
	lock_release(&call->lock);
	return whole;
}

/* Decides whether a failed attempt may be retried. */
static bool may_retry(struct call *call, enum verdict verdict)
{
	bool idempotent = call->route->repeat == REPEAT_IDEMPOTENT;

	/* A request that may have crashed two targets is not sent to a third. */
	return may_be_sent_again(call) && call->attempts < call_attempts_max(call) &&
	       may_have_run_count(call) < 2 && verdict_allows_retry(verdict, idempotent) &&
	       !deadline_passed(call->deadline, clock_now()) &&
	       node_take_retry(call->daemon->node, call->service);
}

/* Offers a call to another target after a node refused it before its target received it. This
 * offer takes nothing from the retry budget. */
static void offer_to_next_target(struct attempt *attempt, const struct refusal *refusal)
{
	struct call *call = attempt->call;
	struct instant now = clock_now();

	call_exclude_target(call, attempt->target);
	placement_refused(&call->placement, attempt->target, refusal->expected_us);
	/* A call that had been queued is refused without an estimate, and not after one round trip.
	 */
	if (refusal->expected_us) {
		members_record_refusal(node_members(call->daemon->node), attempt->target,
				       refusal->expected_us, now);
		traffic_record_refusal(node_traffic(call->daemon->node), call->route->name,
				       now.mono_us - attempt->started_us, now);
	}
	if (may_be_sent_again(call))
		call_try_target(call);
	else
		call_refuse(call, REFUSED_NO_TARGET, refusal->reason);
}

static void fail_attempt(struct attempt *attempt, enum verdict verdict, struct str reason)
{
	struct call *call = attempt->call;

	if (attempt->has_head) {
		logger_event(LOG_EVENT_CALL_CUT, "route=%.*s member=%lx",
			     STR_ARG(label_str(&call->route->name)), attempt->target);
		caller_finish(call->caller, PIPE_FAILED);
		return;
	}
	call->attempts++;
	call_exclude_target(call, attempt->target);
	placement_refused(&call->placement, attempt->target, 0);
	if (may_retry(call, verdict)) {
		logger_event(LOG_EVENT_CALL_RETRIED,
			     "route=%.*s target=%lx verdict=%.*s why=\"%.*s\"",
			     STR_ARG(label_str(&call->route->name)), attempt->target,
			     STR_ARG(verdict_name(verdict)), STR_ARG(reason));
		placement_retry(&call->placement);
		call_try_target(call);
	} else
		call_refuse(call, REFUSED_NO_TARGET, reason);
}

static enum call_outcome outcome_from_refusal(enum refusal_kind kind)
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

/* Records whether another data centre accepted an offer. The share of accepted offers limits the
 * number of further ones. */
static void record_remote_offer(const struct attempt *attempt, bool accepted)
{
	const struct call *call = attempt->call;

	if (call->placement.offering_remote)
		traffic_record_remote(node_traffic(call->daemon->node), call->route->name,
				      accepted);
}

/* Counts a refused offer whose body had not been sent. */
static void count_spared_body(const struct attempt *attempt)
{
	struct call *call = attempt->call;
	bool spared;

	lock_acquire(&call->lock);
	spared = attempt->upload_state == UPLOAD_OPEN && attempt->upload_sum.length == 0;
	lock_release(&call->lock);
	if (spared)
		metrics_add(call->daemon->metrics, STR("godwithitch_bodies_spared_total"), STR(""),
			    1);
}

void attempt_refused(struct attempt *attempt, const struct refusal *refusal)
{
	if (!attempt_finish(attempt))
		return;
	attempt_settle(attempt, refusal->verdict);
	record_remote_offer(attempt, refusal->target_reached);
	attempt_record_outcome(attempt, outcome_from_refusal(refusal->kind));
	count_spared_body(attempt);
	if (refusal->verdict == VERDICT_NOT_RUN && !refusal->target_reached && !attempt->has_head)
		offer_to_next_target(attempt, refusal);
	else
		fail_attempt(attempt, refusal->verdict, refusal->reason);
}

void attempt_connection_lost(struct attempt *attempt, enum verdict verdict)
{
	if (!attempt_finish(attempt))
		return;
	attempt_settle(attempt, verdict);
	attempt_record_outcome(attempt, CALL_BROKEN);
	fail_attempt(attempt, verdict, STR("the connection to the target was lost"));
}

void attempt_forward_head(struct attempt *attempt, const struct response_head *head)
{
	struct str verdict_field = attempt->call->daemon->dialect->verdict;
	struct response_head *with_verdict;

	if (g_atomic_int_get(&attempt->finished))
		return;
	/* The target's node rejects such a head; its status must not reach the caller from any. */
	if (head->status < STATUS_FINAL || head->status > STATUS_MAX ||
	    dialect_answer_statement(attempt->call->daemon->dialect, head->status, false) !=
		    STATES_RAN) {
		if (attempt->stream.link)
			stream_cancel(attempt->stream);
		attempt_connection_lost(attempt, VERDICT_MAY_HAVE_RUN);
		return;
	}
	if (!call_begin_answer(attempt->call))
		return;
	with_verdict = g_memdup2(head, sizeof(*head));
	if (with_verdict->field_count == FIELDS_MAX)
		with_verdict->field_count--;
	if (verdict_field.len)
		with_verdict->fields[with_verdict->field_count++] =
			(struct field){ verdict_field, verdict_name(VERDICT_RAN) };
	record_remote_offer(attempt, true);
	attempt->has_head = true;
	attempt->status = head->status;
	attempt->call->status = head->status;
	attempt->call->announced_bytes = head->body_length;
	attempt->call->verdict = VERDICT_RAN;
	call_end_claim(attempt->call, VERDICT_RAN, head->status);
	caller_write_head(attempt->call->caller, with_verdict);
	g_free(with_verdict);
}

static void count_answer(struct attempt *attempt, size_t bytes)
{
	attempt->answer_bytes += bytes;
	attempt->call->answer_bytes += bytes;
	call_count_sent(attempt->call, bytes);
}

bool attempt_forward_body(struct attempt *attempt, struct str bytes, struct deadline deadline)
{
	count_answer(attempt, bytes.len);
	return attempt->has_head && !g_atomic_int_get(&attempt->finished) &&
	       caller_write_wait(attempt->call->caller, bytes, deadline);
}

static enum call_outcome outcome_from_status(int status)
{
	if (status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY)
		return CALL_REFUSED;
	return status >= STATUS_SERVER_ERROR ? CALL_FAILED : CALL_ANSWERED;
}

void attempt_end(struct attempt *attempt)
{
	if (!attempt->has_head) {
		attempt_connection_lost(attempt, VERDICT_MAY_HAVE_RUN);
		return;
	}
	if (!attempt_finish(attempt))
		return;
	attempt_record_outcome(attempt, outcome_from_status(attempt->status));
	members_record_answer_time(node_members(attempt->call->daemon->node), attempt->target,
				   clock_now().mono_us - attempt->started_us);
	traffic_record_answer(node_traffic(attempt->call->daemon->node), attempt->call->route->name,
			      attempt->answer_bytes);
	caller_finish(attempt->call->caller, PIPE_DONE);
}

/* Reads from a whole body; each attempt reads it from its start. */
static size_t read_whole_body(struct attempt *attempt, struct str body, char *into, size_t cap,
			      enum pipe_end *end)
{
	struct str rest = str_sub(body, attempt->body_offset, cap);

	if (rest.len)
		memcpy(into, rest.data, rest.len);
	attempt->body_offset += rest.len;
	*end = attempt->body_offset == body.len ? PIPE_DONE : PIPE_OPEN;
	return rest.len;
}

size_t attempt_read_body(struct attempt *attempt, char *into, size_t cap, enum pipe_end *end,
			 struct deadline deadline)
{
	struct call *call = attempt->call;
	const struct caller_body *body = caller_body(call->caller);
	size_t n;

	switch (body->kind) {
	case CALLER_BODY_WHOLE:
		return read_whole_body(attempt, strbuf_str(&body->whole), into, cap, end);
	case CALLER_BODY_STREAMED:
		n = pipe_read_wait(body->upload, into, cap, end, deadline);
		lock_acquire(&call->lock);
		call->body_consumed |= n > 0;
		lock_release(&call->lock);
		caller_upload_consumed(call->caller);
		return n;
	}
	g_assert_not_reached();
}

/* Reads a part of the body for another node without waiting. call->lock is held. */
static size_t read_upload(struct attempt *attempt, char *into, size_t cap, enum pipe_end *end)
{
	const struct caller_body *body = caller_body(attempt->call->caller);
	size_t n;

	switch (body->kind) {
	case CALLER_BODY_WHOLE:
		return read_whole_body(attempt, strbuf_str(&body->whole), into, cap, end);
	case CALLER_BODY_STREAMED:
		n = pipe_read(body->upload, into, cap, end);
		attempt->call->body_consumed |= n > 0;
		return n;
	}
	g_assert_not_reached();
}

/* Appends one block of the upload to @p frames, within the credit. Returns false if no more can be
 * sent now. call->lock is held. */
static bool forward_upload_block(struct attempt *attempt, struct strbuf *frames)
{
	size_t cap = MIN(FORWARD_BLOCK_BYTES, (size_t)MAX(attempt->credit, 0));
	char *chunk;
	enum pipe_end end = PIPE_OPEN;
	size_t n;

	/* The bytes belong to the next attempt once this one has finished. */
	if (cap == 0 || attempt->upload_state != UPLOAD_OPEN ||
	    g_atomic_int_get(&attempt->finished))
		return false;
	chunk = g_malloc(cap);
	n = read_upload(attempt, chunk, cap, &end);
	if (n) {
		wire_put_data(frames, attempt->stream.id, &attempt->upload_sum,
			      (struct str){ chunk, n });
		attempt->credit -= (int64_t)n;
	}
	if (end == PIPE_DONE) {
		wire_put_end(frames, attempt->stream.id, &attempt->upload_sum);
		attempt->upload_state = UPLOAD_DONE;
	}
	g_free(chunk);
	return n > 0 && end == PIPE_OPEN;
}

/* Returns true if this worker is to forward the upload. A worker that is forwarding already repeats
 * its loop instead. */
static bool begin_forwarding(struct attempt *attempt)
{
	bool started;

	lock_acquire(&attempt->call->lock);
	started = !attempt->forwarding;
	attempt->forwarding = true;
	attempt->forward_again = !started;
	lock_release(&attempt->call->lock);
	return started;
}

/* Returns false if the loop must be repeated, because another worker called meanwhile. */
static bool end_forwarding(struct attempt *attempt)
{
	bool pending;

	lock_acquire(&attempt->call->lock);
	pending = attempt->forward_again;
	attempt->forward_again = false;
	attempt->forwarding = pending;
	lock_release(&attempt->call->lock);
	return !pending;
}

/* Lets the caller send more of a streamed body. */
static void resume_caller(struct attempt *attempt)
{
	struct caller_call *caller = attempt->call->caller;

	switch (caller_body(caller)->kind) {
	case CALLER_BODY_WHOLE:
		return;
	case CALLER_BODY_STREAMED:
		caller_upload_consumed(caller);
		return;
	}
	g_assert_not_reached();
}

void attempt_forward_upload(struct attempt *attempt)
{
	struct strbuf frames = { 0 };

	if (!g_atomic_pointer_get(&attempt->stream.link) || !begin_forwarding(attempt))
		return;
	do {
		bool more = true;

		while (more && !g_atomic_int_get(&attempt->finished)) {
			lock_acquire(&attempt->call->lock);
			more = forward_upload_block(attempt, &frames);
			lock_release(&attempt->call->lock);
			call_count_sent(attempt->call, frames.len);
			if (frames.len)
				stream_send(attempt->stream, &frames);
			resume_caller(attempt);
		}
	} while (!end_forwarding(attempt));
	strbuf_clear(&frames);
}

void attempt_begin_upload(struct attempt *attempt, bool waits)
{
	struct call *call = attempt->call;

	lock_acquire(&call->lock);
	switch (caller_body(call->caller)->kind) {
	case CALLER_BODY_WHOLE:
		attempt->upload_state = waits ? UPLOAD_OPEN : UPLOAD_DONE;
		break;
	case CALLER_BODY_STREAMED:
		attempt->upload_state = UPLOAD_OPEN;
		attempt->credit += waits ? 0 : STREAM_WINDOW;
		break;
	}
	lock_release(&call->lock);
	/* Whoever finished it while the stream was being opened could not cancel it, and its slot
	 * would wait for the body. */
	if (g_atomic_int_get(&attempt->finished))
		stream_cancel(attempt->stream);
	attempt_forward_upload(attempt);
}

static void on_window_update(struct attempt *attempt, uint64_t bytes)
{
	lock_acquire(&attempt->call->lock);
	attempt->credit += (int64_t)MIN(bytes, STREAM_WINDOW);
	lock_release(&attempt->call->lock);
	attempt_forward_upload(attempt);
}

/* Passes response bytes to the caller. If the sender ignores its window, the attempt ends once two
 * windows are buffered, so that memory stays bounded. */
static void receive_data(struct attempt *attempt, struct str bytes)
{
	struct caller_call *caller = attempt->call->caller;

	if (g_atomic_int_get(&attempt->finished) || !attempt->has_head)
		return;
	count_answer(attempt, bytes.len);
	if (caller_buffered_bytes(caller) + bytes.len <= 2 * STREAM_WINDOW) {
		caller_write(caller, bytes);
		return;
	}
	stream_cancel(attempt->stream);
	attempt_connection_lost(attempt, VERDICT_RAN);
}

void calls_on_peer(struct attempt *attempt, struct peer_event *event)
{
	switch (event->kind) {
	case PEER_RESPONSE:
		attempt_forward_head(attempt, event->response);
		return;
	case PEER_REFUSED:
		attempt_refused(attempt, event->refusal);
		return;
	case PEER_DATA:
		receive_data(attempt, event->bytes);
		return;
	case PEER_END:
		attempt_end(attempt);
		stream_close(attempt->stream);
		return;
	case PEER_WINDOW:
		on_window_update(attempt, event->consumed);
		return;
	case PEER_LOST:
		attempt_connection_lost(attempt, attempt->has_head ? VERDICT_RAN : event->verdict);
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
