/*
 * The node's part in the limits of tenants: the holder of each shard, and the messages between
 * entry nodes and holders.
 */
#include "core/node_parts.h"

/* Returns the holder of a shard among the live members; nodes whose tables differ may choose two
 * for a moment. */
static uint64_t shard_holder(struct node *node, const struct label *tenant, int shard)
{
	uint64_t salt = str_hash(label_str(tenant), (uint64_t)shard + 1);
	uint64_t holder = node->options.id;

	members_first_ranked(node->members, SCOPE_ALL, (struct label){ 0 }, salt, &holder, 1);
	return holder;
}

/* Returns since when this node has held its shards at the earliest: the holders change with the
 * members, and when others took this node for dead. */
static int64_t held_since_us(struct node *node)
{
	int64_t since_us;

	lock_acquire(&node->gossip.lock);
	since_us = node->gossip.refuted_us;
	lock_release(&node->gossip.lock);
	return MAX(since_us, members_live_changed_us(node->members));
}

/* Drops the buckets of shards that this node does not hold any more: their next holder gives out
 * tokens, and this node starts from none when it gets them back. */
static void drop_lost_shards(struct node *node)
{
	GArray *shards = quota_shards(node->quota);

	for (guint i = 0; i < shards->len; i++) {
		const struct quota_shard *shard = &g_array_index(shards, struct quota_shard, i);

		if (shard_holder(node, &shard->tenant, shard->index) != node->options.id)
			quota_drop(node->quota, shard);
	}
	g_array_unref(shards);
}

void quotas_on_refutation(struct node *node, struct instant now)
{
	lock_acquire(&node->gossip.lock);
	node->gossip.refuted_us = now.mono_us;
	lock_release(&node->gossip.lock);
	quota_drop_all(node->quota);
}

/* Answers a question for tokens. A node that does not know the tenant yet, or that is not the
 * holder in its own view, gives none. */
static struct quota_grant grant(struct node *node, const struct quota_question *question,
				struct instant now)
{
	struct config *config = node_config(node);
	const struct tenant *tenant = config_find_tenant(config, question->tenant);
	struct quota_grant grant = { 0 };

	if (tenant && node_is_current(node) &&
	    shard_holder(node, &question->tenant, question->shard) == node->options.id) {
		struct quota_limit limit = { tenant->name, tenant->limit_per_s, tenant->burst };

		grant = quota_grant(node->quota, &limit, question, held_since_us(node), now);
	}
	config_unref(config);
	return grant;
}

static void send_question(const struct quota_question *question, uint64_t to, struct actions *out)
{
	struct message *message = message_new(MESSAGE_QUOTA_ASK);

	message->quota_ask.seq = question->seq;
	message->quota_ask.tenant = question->tenant;
	message->quota_ask.shard = question->shard;
	message->quota_ask.needed = question->needed;
	message->quota_ask.extra = question->extra;
	actions_send(out, to, message);
}

/* Asks the holder; this node's own shards answer at once, and the next one may follow. */
static void ask(struct node *node, struct quota_question question, GArray *results,
		struct instant now, struct actions *out)
{
	for (;;) {
		uint64_t holder = shard_holder(node, &question.tenant, question.shard);
		struct quota_grant answer;

		if (holder != node->options.id) {
			send_question(&question, holder, out);
			return;
		}
		answer = grant(node, &question, now);
		if (!quota_answered(node->quota, question.seq, &answer, now, results, &question))
			return;
	}
}

static void report(const GArray *results, struct actions *out)
{
	for (guint i = 0; i < results->len; i++)
		actions_quota(out, &g_array_index(results, struct quota_result, i));
}

struct quota_decision node_quota_take(struct node *node, const struct tenant *tenant,
				      uint64_t *waiter, struct instant now, struct actions *out)
{
	struct rng rng = node_rng(node);
	struct quota_decision decision = { .kind = QUOTA_TAKEN };
	struct quota_question question;
	GArray *results;

	if (tenant->limit_per_s <= 0)
		return decision;
	*waiter = rng_next(&rng) | 1;
	if (!quota_take(node->quota, &tenant->name, *waiter, now, &decision, &question))
		return decision;
	results = g_array_new(FALSE, FALSE, sizeof(struct quota_result));
	ask(node, question, results, now, out);
	report(results, out);
	g_array_unref(results);
	return decision;
}

void node_quota_return(struct node *node, const struct label *tenant, struct deadline until,
		       struct instant now)
{
	quota_return(node->quota, tenant, until, now);
}

void quotas_on_ask(struct node *node, uint64_t from, const struct message *message,
		   struct instant now, struct actions *out)
{
	struct quota_question question = { .seq = message->quota_ask.seq,
					   .tenant = message->quota_ask.tenant,
					   .shard = message->quota_ask.shard,
					   .needed = message->quota_ask.needed,
					   .extra = message->quota_ask.extra };
	struct quota_grant answer = grant(node, &question, now);
	struct message *reply = message_new(MESSAGE_QUOTA_GRANT);

	reply->quota_grant.seq = question.seq;
	reply->quota_grant.tokens = answer.tokens;
	reply->quota_grant.holds = answer.holds;
	reply->quota_grant.room_in_us = answer.room_in_us;
	actions_send(out, from, reply);
}

void quotas_on_grant(struct node *node, const struct message *message, struct instant now,
		     struct actions *out)
{
	GArray *results = g_array_new(FALSE, FALSE, sizeof(struct quota_result));
	struct quota_grant grant = { .holds = message->quota_grant.holds,
				     .tokens = message->quota_grant.tokens,
				     .room_in_us = message->quota_grant.room_in_us };
	struct quota_question next;

	if (quota_answered(node->quota, message->quota_grant.seq, &grant, now, results, &next))
		ask(node, next, results, now, out);
	report(results, out);
	g_array_unref(results);
}

void quotas_tick(struct node *node, struct instant now, struct actions *out)
{
	GArray *results = g_array_new(FALSE, FALSE, sizeof(struct quota_result));
	struct quota_question next;
	int64_t changed_us = members_live_changed_us(node->members);
	bool changed;

	lock_acquire(&node->gossip.lock);
	changed = changed_us != node->gossip.shards_checked_us;
	node->gossip.shards_checked_us = changed_us;
	lock_release(&node->gossip.lock);
	if (changed)
		drop_lost_shards(node);
	while (quota_expire(node->quota, now, results, &next))
		ask(node, next, results, now, out);
	report(results, out);
	g_array_unref(results);
}
