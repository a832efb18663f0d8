/*
 * Claims of idempotency keys: the entry node asks the partition's home, the home asks the log.
 */
#include "core/node_parts.h"

enum { ANSWERS_AT_ONCE = 64 };

/* The live member that appends for a partition; two views may name two, which does no harm. */
static uint64_t home_of(struct node *node, int partition)
{
	uint64_t home = node->options.id;

	members_first(node->members, SCOPE_ALL, (struct label){ 0 }, (uint64_t)partition + 1000,
		      &home, 1);
	return home;
}

static void answer_out(struct node *node, const struct claim_answer *answer, struct actions *out)
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

/* Appends, reads and answers that a partition is ready for. */
void claims_drive(struct node *node, int partition, struct instant now, struct actions *out)
{
	struct claim_answer answers[ANSWERS_AT_ONCE];
	struct claim_work work = claims_work(node->claims, partition, now);
	int count = claims_answers(node->claims, partition, now, answers, ANSWERS_AT_ONCE);

	if (work.append) {
		struct log_record record = { .kind = LOG_CLAIMS, .notes = work.notes };

		actions_append(out, STREAM_KEYS, partition, work.batch, record);
	}
	if (work.read)
		actions_read(out, STREAM_KEYS, partition, work.read_from, (struct deadline){ 1 });
	for (int i = 0; i < count; i++)
		answer_out(node, &answers[i], out);
}

static void ask_home(struct node *node, const struct claim_pending *pending, struct instant now,
		     struct actions *out)
{
	int partition = claim_partition(pending->key);
	uint64_t home = home_of(node, partition);
	struct message *message;

	if (home == node->options.id) {
		claims_ask(node->claims, home, pending->seq, pending->key, pending->claim,
			   pending->until);
		claims_drive(node, partition, now, out);
		return;
	}
	message = message_new(MESSAGE_CLAIM_ASK);
	message->claim_ask.seq = pending->seq;
	message->claim_ask.key = pending->key;
	message->claim_ask.claim = pending->claim;
	message->claim_ask.left_us = deadline_left_us(pending->until, now);
	actions_send(out, home, message);
}

uint64_t node_claim_start(struct node *node, struct claim_key key, struct deadline until,
			  struct instant now, uint64_t *claim, struct actions *out)
{
	struct rng rng = node_rng(node);
	struct claim_pending pending = { .key = key, .until = until };

	pending.seq = rng_next(&rng) | 1;
	pending.claim = rng_next(&rng) | 1;
	pending.resend_at = deadline_after(now, 500 * US_PER_MS);
	*claim = pending.claim;
	claims_pending_add(node->claims, &pending);
	ask_home(node, &pending, now, out);
	return pending.seq;
}

void node_claim_end(struct node *node, const struct claim_note *note, struct instant now,
		    struct actions *out)
{
	int partition = claim_partition(note->key);
	uint64_t home = home_of(node, partition);
	struct message *message;

	if (home == node->options.id) {
		claims_end(node->claims, note);
		claims_drive(node, partition, now, out);
		return;
	}
	message = message_new(MESSAGE_CLAIM_END);
	message->claim_end = *note;
	actions_send(out, home, message);
}

void claims_on_ask(struct node *node, uint64_t from, const struct message *message,
		   struct instant now, struct actions *out)
{
	claims_ask(node->claims, from, message->claim_ask.seq, message->claim_ask.key,
		   message->claim_ask.claim,
		   deadline_after(now, MAX(message->claim_ask.left_us, 1)));
	claims_drive(node, claim_partition(message->claim_ask.key), now, out);
}

void claims_on_end(struct node *node, const struct claim_note *note, struct instant now,
		   struct actions *out)
{
	claims_end(node->claims, note);
	claims_drive(node, claim_partition(note->key), now, out);
}

void claims_on_answer(struct node *node, uint64_t seq, enum claim_result result, int status,
		      struct actions *out)
{
	struct claim_pending pending;

	/* A second answer, or one that comes too late, finds nobody waiting. */
	if (claims_pending_take(node->claims, seq, &pending))
		actions_claimed(out, seq, result, status);
}

void claims_on_batch(struct node *node, const struct event *event, struct instant now,
		     struct actions *out)
{
	int partition = event->batch.partition;

	for (int i = 0; i < event->batch.count; i++) {
		const struct log_record *record = &event->batch.records[i];
		GArray *none = g_array_new(FALSE, FALSE, sizeof(struct claim_note));

		claims_fold(node->claims, partition, record->offset,
			    record->kind == LOG_CLAIMS ? record->notes : none);
		g_array_unref(none);
	}
	claims_read_done(node->claims, partition, event->batch.newest);
	claims_drive(node, partition, now, out);
}

void claims_tick(struct node *node, struct instant now, struct actions *out)
{
	struct claim_pending pending;
	bool late;

	while (claims_pending_due(node->claims, now, &pending, &late)) {
		struct claim_note release = { pending.key, pending.claim, CLAIM_RELEASE, 0 };

		if (!late) {
			ask_home(node, &pending, now, out);
			continue;
		}
		/* It may have been claimed, but nothing was sent: the key is free again. */
		node_claim_end(node, &release, now, out);
		actions_claimed(out, pending.seq, CLAIM_TIMEOUT, 0);
	}
	for (int partition = 0; partition < CLAIM_PARTITIONS; partition++)
		claims_drive(node, partition, now, out);
}
