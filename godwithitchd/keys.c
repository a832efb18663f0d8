/*
 * At-most-once calls: the idempotency key of a call is claimed before its first attempt.
 */
#include "base/logger.h"
#include "godwithitchd/calls.h"

#define RECORD_WAIT_US (2 * US_PER_S)

enum { OVERDUE_MAX = 64 };

/* A caller that has its answer counts on the outcome, even if all nodes lose power next. */
static void hold_answer(struct call *call)
{
	struct daemon *daemon = call->daemon;
	uint64_t *claim = g_memdup2(&call->claim, sizeof(call->claim));
	struct instant now = clock_now();
	int64_t wait_us = MIN(RECORD_WAIT_US, deadline_remaining_us(call->deadline, now) / 2);

	call->held_until = calls_work_deadline(daemon, deadline_after(now, MAX(wait_us, 0)));
	g_atomic_int_inc(&call->refs);
	caller_hold(call->caller);
	lock_acquire(&daemon->lock);
	g_hash_table_insert(daemon->held_answers, claim, call);
	lock_release(&daemon->lock);
}

static void release_answer(struct call *call)
{
	caller_release(call->caller);
	call_unref(call);
}

void calls_on_claim_ended(struct daemon *daemon, uint64_t claim)
{
	gpointer key = NULL;
	gpointer call = NULL;

	lock_acquire(&daemon->lock);
	g_hash_table_steal_extended(daemon->held_answers, &claim, &key, &call);
	lock_release(&daemon->lock);
	g_free(key);
	if (call)
		release_answer(call);
}

/* Takes calls whose answers have waited long enough from the table, with their references. */
static int take_overdue(struct daemon *daemon, struct instant now, struct call **out, int max)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	int count = 0;

	lock_acquire(&daemon->lock);
	g_hash_table_iter_init(&iter, daemon->held_answers);
	while (count < max && g_hash_table_iter_next(&iter, &key, &value)) {
		struct call *call = value;

		if (!deadline_passed(call->held_until, now))
			continue;
		out[count++] = call;
		g_hash_table_iter_steal(&iter);
		g_free(key);
	}
	lock_release(&daemon->lock);
	return count;
}

void calls_release_overdue(struct daemon *daemon, struct instant now)
{
	struct call *overdue[OVERDUE_MAX];
	int count;

	do {
		count = take_overdue(daemon, now, overdue, OVERDUE_MAX);
		for (int i = 0; i < count; i++) {
			logger_event(LOG_EVENT_OUTCOME_UNRECORDED, "route=%.*s",
				     STR_ARG(label_str(&overdue[i]->route->name)));
			release_answer(overdue[i]);
		}
	} while (count == OVERDUE_MAX);
}

void call_end_claim(struct call *call, enum verdict verdict, int status)
{
	struct claim_op op = { call->key, call->claim, CLAIM_COMPLETE, status };
	struct actions actions;

	if (!call->claim || verdict == VERDICT_MAY_HAVE_RUN)
		return;
	if (verdict == VERDICT_NOT_RUN)
		op.kind = CLAIM_RELEASE;
	else
		hold_answer(call);
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
