/*
 * Claims of idempotency keys: the entry node sends a request to the partition's home node, which
 * appends the claim to the log.
 */
#include "core/node_parts.h"

enum { ANSWERS_MAX = 64, RECORDED_MAX = 64 };

/* Returns the live member that appends for a partition. Nodes whose tables of members differ may
 * choose two homes, which is safe because the order of the log decides. */
static uint64_t partition_home(struct node *node, int partition)
{
	uint64_t home = node->options.id;

	members_first_ranked(node->members, SCOPE_ALL, (struct label){ 0 },
			     (uint64_t)partition + 1000, &home, 1);
	return home;
}

static void send_answer(struct node *node, const struct claim_answer *answer, struct actions *out)
{
	struct message *message;

	if (answer->to == node->options.id) {
		claims_on_answer(node, answer->seq, answer->result, answer->status, out);
		return;
	}
	message = message_new(MESSAGE_CLAIM_ANSWER);
	message->claim_answer.seq = answer->seq;
	message->claim_answer.result = answer->result;
	message->claim_answer.status = answer->status;
	actions_send(out, answer->to, message);
}

static void send_ended(struct node *node, const struct claim_recorded *recorded,
		       struct actions *out)
{
	struct message *message;

	if (recorded->to == node->options.id) {
		claims_on_ended(node, recorded->claim, out);
		return;
	}
	message = message_new(MESSAGE_CLAIM_ENDED);
	message->claim_ended = recorded->claim;
	actions_send(out, recorded->to, message);
}

static void confirm_recorded(struct node *node, int partition, struct actions *out)
{
	struct claim_recorded recorded[RECORDED_MAX];
	int count;

	do {
		count = claims_take_recorded(node->claims, partition, recorded, RECORDED_MAX);
		for (int i = 0; i < count; i++)
			send_ended(node, &recorded[i], out);
	} while (count == RECORDED_MAX);
}

/* Starts the appends and reads that are due for a partition, sends the answers and confirms the
 * outcomes that were recorded. */
void claims_process(struct node *node, int partition, struct instant now, struct actions *out)
{
	struct claim_answer answers[ANSWERS_MAX];
	struct claim_work work = claims_next_work(node->claims, partition, now);
	int count = claims_take_answers(node->claims, partition, now, answers, ANSWERS_MAX);

	if (work.append) {
		struct log_record record = { .kind = LOG_CLAIMS, .claim_ops = work.ops };

		actions_append(out, STREAM_KEYS, partition, work.batch, record);
	}
	if (work.read)
		actions_read(out, STREAM_KEYS, partition, work.read_from, (struct deadline){ 1 });
	for (int i = 0; i < count; i++)
		send_answer(node, &answers[i], out);
	confirm_recorded(node, partition, out);
}

static void request_claim(struct node *node, const struct claim_pending *pending,
			  struct instant now, struct actions *out)
{
	int partition = claim_partition(pending->key);
	uint64_t home = partition_home(node, partition);
	struct message *message;

	if (home == node->options.id) {
		claims_request(node->claims, home, pending->seq, pending->key, pending->claim,
			       pending->deadline);
		claims_process(node, partition, now, out);
		return;
	}
	message = message_new(MESSAGE_CLAIM_ASK);
	message->claim_ask.seq = pending->seq;
	message->claim_ask.key = pending->key;
	message->claim_ask.claim = pending->claim;
	message->claim_ask.remaining_us = deadline_remaining_us(pending->deadline, now);
	actions_send(out, home, message);
}

uint64_t node_claim_start(struct node *node, struct claim_key key, struct deadline deadline,
			  struct instant now, uint64_t *claim, struct actions *out)
{
	struct rng rng = node_rng(node);
	struct claim_pending pending = { .key = key, .deadline = deadline };

	pending.seq = rng_next(&rng) | 1;
	pending.claim = rng_next(&rng) | 1;
	pending.resend_at = deadline_after(now, 500 * US_PER_MS);
	*claim = pending.claim;
	claims_pending_add(node->claims, &pending);
	request_claim(node, &pending, now, out);
	return pending.seq;
}

static void report_end(struct node *node, const struct claim_op *op, struct instant now,
		       struct actions *out)
{
	int partition = claim_partition(op->key);
	uint64_t home = partition_home(node, partition);
	struct message *message;

	if (home == node->options.id) {
		claims_end(node->claims, home, op);
		claims_process(node, partition, now, out);
		return;
	}
	message = message_new(MESSAGE_CLAIM_END);
	message->claim_end = *op;
	actions_send(out, home, message);
}

void node_claim_end(struct node *node, const struct claim_op *op, struct instant now,
		    struct actions *out)
{
	claims_ending_add(node->claims, op, now);
	report_end(node, op, now, out);
}

void claims_on_ask(struct node *node, uint64_t from, const struct message *message,
		   struct instant now, struct actions *out)
{
	claims_request(node->claims, from, message->claim_ask.seq, message->claim_ask.key,
		       message->claim_ask.claim,
		       deadline_after(now, MAX(message->claim_ask.remaining_us, 1)));
	claims_process(node, claim_partition(message->claim_ask.key), now, out);
}

void claims_on_end(struct node *node, uint64_t from, const struct claim_op *op, struct instant now,
		   struct actions *out)
{
	claims_end(node->claims, from, op);
	claims_process(node, claim_partition(op->key), now, out);
}

void claims_on_ended(struct node *node, uint64_t claim, struct actions *out)
{
	if (claims_ending_remove(node->claims, claim))
		actions_claim_ended(out, claim);
}

void claims_on_answer(struct node *node, uint64_t seq, enum claim_result result, int status,
		      struct actions *out)
{
	struct claim_pending pending;

	/* A duplicate or late answer matches no pending request. */
	if (claims_pending_remove(node->claims, seq, &pending))
		actions_claimed(out, seq, result, status);
}

void claims_on_batch(struct node *node, const struct event *event, struct instant now,
		     struct actions *out)
{
	int partition = event->batch.partition;

	for (int i = 0; i < event->batch.count; i++) {
		const struct log_record *record = &event->batch.records[i];
		GArray *no_ops = g_array_new(FALSE, FALSE, sizeof(struct claim_op));

		claims_apply(node->claims, partition, record->offset,
			     record->kind == LOG_CLAIMS ? record->claim_ops : no_ops);
		g_array_unref(no_ops);
	}
	claims_read_done(node->claims, partition, event->batch.newest);
	claims_process(node, partition, now, out);
}

void claims_tick(struct node *node, struct instant now, struct actions *out)
{
	struct claim_pending pending;
	struct claim_op ended;
	bool expired;

	while (claims_ending_due(node->claims, now, &ended))
		report_end(node, &ended, now, out);
	while (claims_pending_due(node->claims, now, &pending, &expired)) {
		struct claim_op release = { pending.key, pending.claim, CLAIM_RELEASE, 0 };

		if (!expired) {
			request_claim(node, &pending, now, out);
			continue;
		}
		/* The claim may be in the log, but the request was not run: release the key. */
		node_claim_end(node, &release, now, out);
		actions_claimed(out, pending.seq, CLAIM_TIMEOUT, 0);
	}
	for (int partition = 0; partition < CLAIM_PARTITIONS; partition++)
		claims_process(node, partition, now, out);
}
