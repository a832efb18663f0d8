/*
 * Marks of poison requests: gossiped when they are new, and exchanged between nodes whose digests
 * show that one of them lacks some.
 */
#include "core/node_parts.h"

#define MARKS_SYNC_US (1 * US_PER_S) /* minimum interval between two requests for marks */

enum {
	MARKS_PER_MESSAGE = 30, /* they fit into a datagram */
	MARKS_PER_ANSWER = 1024,
	MARKS_ANSWERS_PER_ROUND = 40,
	MARKS_ON_STOP = MARKS_PER_MESSAGE,
};

static void gossip_mark(struct node *node, const struct poison_mark *mark, struct actions *out)
{
	struct message *message = message_new(MESSAGE_POISON);

	message->poison = *mark;
	node_gossip(node, message, out);
}

/* Merges a mark; returns true if other nodes may lack it. */
static bool merge_mark(struct node *node, const struct poison_mark *mark, struct instant now,
		       struct actions *out)
{
	bool refused = poison_is_quarantined(node->poison, mark->fingerprint, now);

	if (!poison_merge(node->poison, mark, now))
		return false;
	if (!refused && poison_is_quarantined(node->poison, mark->fingerprint, now))
		actions_log_event(out, LOG_EVENT_REQUEST_QUARANTINED, "fingerprint=%lx",
				  mark->fingerprint);
	return true;
}

void marks_on_poison(struct node *node, const struct poison_mark *mark, struct instant now,
		     struct actions *out)
{
	if (merge_mark(node, mark, now, out))
		gossip_mark(node, mark, out);
}

void node_target_crashed(struct node *node, const uint64_t *fingerprints, int count,
			 struct label route, struct instant now, struct actions *out)
{
	struct member self = members_self(node->members);
	struct config *config = node_config(node);
	bool may_mark = config_auto_allowed(config, self.service, AUTO_QUARANTINE);

	config_unref(config);
	tally_crash(node->tally, route);
	for (int i = 0; may_mark && i < count; i++) {
		struct poison_mark mark = {
			.fingerprint = fingerprints[i],
			.crash = rng_mix(self.id ^ (uint64_t)now.wall_us),
			.expires_at_us = now.wall_us + POISON_MEMORY_US,
			.remaining_us = POISON_MEMORY_US,
		};

		marks_on_poison(node, &mark, now, out);
	}
}

static struct message *marks_message(const GArray *marks, guint first)
{
	struct message *message = message_new(MESSAGE_MARKS);
	guint count = MIN(marks->len - first, MARKS_PER_MESSAGE);

	message->marks = g_array_new(FALSE, FALSE, sizeof(struct poison_mark));
	if (count)
		g_array_append_vals(message->marks,
				    &g_array_index(marks, struct poison_mark, first), count);
	message->marks_end = first + count == marks->len;
	return message;
}

static bool may_ask(struct node *node, struct instant now)
{
	struct deadline *ask_at = &node->gossip.marks_ask_at;
	bool due;

	lock_acquire(&node->gossip.lock);
	due = ask_at->at_us == 0 || deadline_passed(*ask_at, now);
	if (due)
		*ask_at = deadline_after(now, MARKS_SYNC_US);
	lock_release(&node->gossip.lock);
	return due;
}

void marks_on_digest(struct node *node, uint64_t from, const struct digest *digest,
		     struct instant now, struct actions *out)
{
	struct message *message;

	/* A joining node takes the marks of current ones, and has nothing to tell them. */
	if (!digest->current)
		return;
	if (digest->marks_hash == MARKS_HASH_NONE ||
	    digest->marks_hash == poison_hash(node->poison, now)) {
		config_set_marks_known(node);
		return;
	}
	if (!may_ask(node, now))
		return;
	message = message_new(MESSAGE_MARKS_ASK);
	poison_buckets(node->poison, message->mark_buckets, now);
	actions_send(out, from, message);
}

void marks_on_ask(struct node *node, uint64_t from, const struct message *message,
		  struct instant now, struct actions *out)
{
	struct rng rng = node_rng(node);
	GArray *marks;
	guint first = 0;

	if (!fleet_may_answer(node, &node->gossip.marks_answered, MARKS_ANSWERS_PER_ROUND))
		return;
	marks = poison_differing(node->poison, message->mark_buckets, MARKS_PER_ANSWER, &rng, now);
	do {
		actions_send(out, from, marks_message(marks, first));
		first += MARKS_PER_MESSAGE;
	} while (first < marks->len);
	g_array_unref(marks);
}

static void gossip_marks(struct node *node, const GArray *marks, struct actions *out)
{
	for (guint first = 0; first < marks->len; first += MARKS_PER_MESSAGE) {
		struct message *message = marks_message(marks, first);

		/* Not the end of an answer. */
		message->marks_end = false;
		node_gossip(node, message, out);
	}
}

void marks_on_marks(struct node *node, const struct message *message, struct instant now,
		    struct actions *out)
{
	GArray *changed = g_array_new(FALSE, FALSE, sizeof(struct poison_mark));

	for (guint i = 0; i < message->marks->len; i++) {
		const struct poison_mark *mark =
			&g_array_index(message->marks, struct poison_mark, i);

		if (merge_mark(node, mark, now, out))
			g_array_append_vals(changed, mark, 1);
	}
	/* What this node lacked, others may lack as well, unless it is the one that has just
	 * started. Without this a mark known to one node would only double its holders in each
	 * round. */
	if (node_is_current(node))
		gossip_marks(node, changed, out);
	g_array_unref(changed);
	if (message->marks_end)
		config_set_marks_known(node);
}

void marks_on_stop(struct node *node, struct instant now, struct actions *out)
{
	static const uint64_t none[MARK_BUCKETS];
	struct rng rng = node_rng(node);
	GArray *marks = poison_differing(node->poison, none, MARKS_ON_STOP, &rng, now);

	gossip_marks(node, marks, out);
	g_array_unref(marks);
}

void marks_round(struct node *node, struct actions *out)
{
	int lost = poison_take_lost(node->poison);

	lock_acquire(&node->gossip.lock);
	node->gossip.marks_answered = 0;
	lock_release(&node->gossip.lock);
	if (lost)
		actions_log_event(out, LOG_EVENT_MARKS_LOST, "lost=%d held=%d", lost,
				  POISON_ENTRIES_MAX);
}
