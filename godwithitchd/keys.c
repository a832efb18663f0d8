/*
 * At-most-once calls: the idempotency key of a call is claimed before its first attempt.
 */
#include "godwithitchd/calls.h"

void call_end_claim(struct call *call, enum verdict verdict, int status)
{
	struct claim_op op = { call->key, call->claim, CLAIM_COMPLETE, status };
	struct actions actions;

	if (!call->claim || verdict == VERDICT_MAY_HAVE_RUN)
		return;
	if (verdict == VERDICT_NOT_RUN)
		op.kind = CLAIM_RELEASE;
	call->claim = 0;
	actions = actions_new();
	node_claim_end(call->daemon->node, &op, clock_now(), &actions);
	dispatch_actions(call->daemon, &actions);
}

void call_start_claim(struct call *call, struct str key, struct instant now)
{
	struct daemon *daemon = call->daemon;
	struct actions actions = actions_new();
	uint64_t *seq = g_new0(uint64_t, 1);

	if (key.len == 0) {
		call_refuse(call, REFUSED_MALFORMED,
			    STR("the route needs the field Idempotency-Key"));
		actions_clear(&actions);
		g_free(seq);
		return;
	}
	call->key = claim_key_of(call->route->name, key);
	g_atomic_int_inc(&call->refs);
	/* The result may arrive at once on another worker, where the lookup waits for the lock. */
	lock_acquire(&daemon->lock);
	*seq = node_claim_start(daemon->node, call->key, call->deadline, now, &call->claim,
				&actions);
	g_hash_table_insert(daemon->pending_claims, seq, call);
	lock_release(&daemon->lock);
	dispatch_actions(daemon, &actions);
}

static struct call *remove_pending_claim(struct daemon *daemon, uint64_t seq)
{
	struct call *call;

	lock_acquire(&daemon->lock);
	call = g_hash_table_lookup(daemon->pending_claims, &seq);
	if (call)
		g_hash_table_remove(daemon->pending_claims, &seq);
	lock_release(&daemon->lock);
	return call;
}

/* Answers with the recorded status of an earlier run. The body of that answer is not stored. */
static void answer_replayed(struct call *call, int status)
{
	struct response_head head = { .status = status, .field_count = 2 };

	if (!call_begin_answer(call))
		return;
	call->status = status;
	head.fields[0] = (struct field){ STR("Godwithitch-Verdict"), verdict_name(VERDICT_RAN) };
	head.fields[1] = (struct field){ STR("Godwithitch-Replayed"), STR("true") };
	caller_answer(call->caller, &head, STR(""));
}

void calls_on_claim_result(struct daemon *daemon, uint64_t seq, enum claim_result result,
			   int status)
{
	struct call *call = remove_pending_claim(daemon, seq);

	if (!call)
		return;
	if (result != CLAIM_GRANTED)
		call->claim = 0;
	switch (result) {
	case CLAIM_GRANTED:
		call_try_target(call);
		break;
	case CLAIM_HELD:
		call_fail(call, FAILED_KEY_HELD,
			  STR("a request with this key was taken before, and its outcome is not "
			      "known"));
		break;
	case CLAIM_REPLAYED:
		answer_replayed(call, status);
		break;
	case CLAIM_TIMEOUT:
		call_refuse(call, REFUSED_NO_TARGET, STR("the key could not be claimed in time"));
		break;
	}
	call_unref(call);
}
