/*
 * Membership: probes with suspicion and refutation, and gossip of changed records. Records are
 * gossiped when they change, never periodically.
 */
#include "core/node_parts.h"

static int log2_ceil(int n)
{
	int exponent = 0;

	while ((1 << exponent) < n)
		exponent++;
	return exponent;
}

static void queue_update(struct node *node, const struct member *record)
{
	struct pending_update *update = g_new0(struct pending_update, 1);
	int live = members_count(node->members).live;
	GQueue *updates = node->gossip.updates;

	update->record = *record;
	/* If each holder sends a record s times, a fraction e^-s of the n members miss it; with
	 * s = ln(n) + 3 that is less than one, and the digests reveal it. */
	update->sends_remaining = 7 * log2_ceil(live + 1) / 10 + 3;
	lock_acquire(&node->gossip.lock);
	for (GList *link = updates->head; link; link = link->next) {
		struct pending_update *old = link->data;

		if (old->record.id != record->id)
			continue;
		g_free(old);
		g_queue_delete_link(updates, link);
		break;
	}
	g_queue_push_head(updates, update);
	lock_release(&node->gossip.lock);
}

/* Dequeues records for @p peers receivers; each record is sent a bounded number of times. */
static GArray *dequeue_updates(struct node *node, int peers)
{
	GArray *records = g_array_new(FALSE, FALSE, sizeof(struct member));
	GQueue *updates = node->gossip.updates;
	guint count;

	lock_acquire(&node->gossip.lock);
	count = MIN(g_queue_get_length(updates), UPDATES_PER_MESSAGE);
	if (node->gossip.record_tokens < count * peers)
		count = 0;
	node->gossip.record_tokens -= count * peers;
	while (count-- > 0) {
		struct pending_update *update = g_queue_pop_head(updates);

		g_array_append_val(records, update->record);
		update->sends_remaining -= peers;
		if (update->sends_remaining > 0)
			g_queue_push_tail(updates, update);
		else
			g_free(update);
	}
	lock_release(&node->gossip.lock);
	return records;
}

static struct message *probe_message(struct node *node, enum message_kind kind, uint32_t seq,
				     uint64_t origin, uint64_t subject, struct instant now)
{
	struct message *message = message_new(kind);

	message->probe.seq = seq;
	message->probe.origin = origin;
	message->probe.subject = subject;
	message->probe.digest = node_digest(node, now);
	message->probe.members = dequeue_updates(node, 1);
	return message;
}

static void append_record(struct message *message, const struct member *record)
{
	g_array_append_vals(message->probe.members, record, 1);
}

/* Sends a ping with the record of this node, which the receiver may not have. */
static void ping_with_self(struct node *node, uint64_t to, struct instant now, struct actions *out)
{
	struct message *message = probe_message(node, MESSAGE_PING, 0, 0, to, now);
	struct member self = members_self(node->members);

	append_record(message, &self);
	actions_send(out, to, message);
}

void fleet_ping_joining(struct node *node, struct instant now, struct actions *out)
{
	struct rng rng = node_rng(node);
	uint64_t to[FANOUT];
	int count = members_joining(node->members, &rng, to, FANOUT);

	for (int i = 0; i < count; i++)
		ping_with_self(node, to[i], now, out);
}

void fleet_ping_seeds(struct node *node, int count, struct instant now, struct actions *out)
{
	struct rng rng = node_rng(node);

	for (int i = 0; i < count && node->options.seed_count; i++) {
		uint64_t to = node->seeds[rng_below(&rng, node->options.seed_count)];

		if (to != node->options.id)
			ping_with_self(node, to, now, out);
	}
}

void fleet_introduce(struct node *node, const uint64_t *ids, int count, struct instant now,
		     struct actions *out)
{
	struct rng rng = node_rng(node);
	int wanted = MIN(count, INTRODUCED_MAX);

	/* Each id has the same probability: the number still wanted over the number still left. */
	for (int i = 0; i < count && wanted; i++) {
		if (rng_below(&rng, (uint64_t)(count - i)) >= (uint64_t)wanted)
			continue;
		wanted--;
		if (ids[i] != node->options.id)
			ping_with_self(node, ids[i], now, out);
	}
}

static void send_updates(struct node *node, int peers, struct actions *out)
{
	struct message *message;
	struct rng rng = node_rng(node);
	uint64_t to[FANOUT];
	int count = members_random(node->members, &rng, false, to, peers);

	if (count == 0)
		return;
	message = message_new(MESSAGE_MEMBERS);
	message->members = dequeue_updates(node, count);
	for (int i = 0; i < count && message->members->len; i++)
		actions_send(out, to[i], message_ref(message));
	message_unref(message);
}

static void report_member(const struct member *record, struct actions *out)
{
	actions_log_event(
		out, LOG_EVENT_MEMBER_CHANGED,
		"member=%lx state=%.*s service=%.*s version=%.*s data_centre=%.*s", record->id,
		STR_ARG(member_state_name(record->state)), STR_ARG(label_str(&record->service)),
		STR_ARG(label_str(&record->version)), STR_ARG(label_str(&record->data_centre)));
}

void fleet_update_self(struct node *node, const struct member *self, uint64_t refute,
		       struct actions *out)
{
	struct member record = members_update_self(node->members, self, refute);

	queue_update(node, &record);
	report_member(&record, out);
	/* Sending before the next flush makes a leaving target known within a few hops. */
	send_updates(node, FLUSH_PEERS + 1, out);
}

static void refute(struct node *node, uint64_t incarnation, struct actions *out)
{
	struct member self = members_self(node->members);

	actions_log_event(out, LOG_EVENT_SUSPICION_REFUTED, "incarnation=%lu", incarnation);
	fleet_update_self(node, &self, incarnation, out);
}

void fleet_on_members(struct node *node, const GArray *records, struct instant now,
		      struct actions *out)
{
	for (guint i = 0; i < records->len; i++) {
		const struct member *record = &g_array_index(records, struct member, i);

		switch (members_merge(node->members, record, now)) {
		case MERGE_UNCHANGED:
			break;
		case MERGE_APPLIED:
			queue_update(node, record);
			report_member(record, out);
			break;
		case MERGE_ABOUT_SELF:
			refute(node, record->incarnation, out);
			if (record->state == MEMBER_DEAD)
				quotas_on_refutation(node, now);
			break;
		}
	}
}

bool fleet_may_answer(struct node *node, int *answered, int max)
{
	bool allowed;

	lock_acquire(&node->gossip.lock);
	allowed = *answered < max;
	*answered += allowed;
	lock_release(&node->gossip.lock);
	return allowed;
}

static void send_retry(struct node *node, uint64_t to, struct actions *out)
{
	struct message *message = message_new(MESSAGE_RETRY);
	struct rng rng = node_rng(node);

	message->retry_after_us = ROUND_US / 2 + (int64_t)rng_below(&rng, 2 * ROUND_US);
	actions_send(out, to, message);
}

void fleet_request_members(struct node *node, uint64_t from, bool all, struct actions *out)
{
	struct message *message = message_new(MESSAGE_MEMBERS_ASK);

	message->buckets = g_new0(uint64_t, MEMBER_BUCKETS);
	if (!all)
		members_buckets(node->members, message->buckets);
	actions_send(out, from, message);
}

void fleet_on_members_ask(struct node *node, uint64_t from, const struct message *message,
			  struct actions *out)
{
	GArray *records;

	if (!fleet_may_answer(node, &node->gossip.syncs_answered, SYNCS_PER_ROUND)) {
		send_retry(node, from, out);
		return;
	}
	records = members_differing(node->members, message->buckets);
	for (guint i = 0; i < records->len; i += RECORDS_PER_SYNC) {
		struct message *answer = message_new(MESSAGE_MEMBERS);
		guint count = MIN(records->len - i, RECORDS_PER_SYNC);

		answer->members = g_array_new(FALSE, FALSE, sizeof(struct member));
		g_array_append_vals(answer->members, &g_array_index(records, struct member, i),
				    count);
		answer->members_end = i + count == records->len;
		actions_send(out, from, answer);
	}
	g_array_unref(records);
}

/* Requests differing records, unless updates in transit may explain the difference. */
static void sync_members(struct node *node, uint64_t from, const struct digest *digest,
			 struct instant now, struct actions *out)
{
	bool due;

	if (digest->members_hash == members_hash(node->members))
		return;
	lock_acquire(&node->gossip.lock);
	due = deadline_passed(node->gossip.sync_at, now) && g_queue_is_empty(node->gossip.updates);
	if (due || node->gossip.sync_at.at_us == 0)
		node->gossip.sync_at = deadline_after(now, SYNC_US);
	lock_release(&node->gossip.lock);
	if (due)
		fleet_request_members(node, from, false, out);
}

static void handle_ack(struct node *node, const struct message *message)
{
	struct probe_state *probe = &node->gossip.probe;

	lock_acquire(&node->gossip.lock);
	if (probe->subject == message->probe.subject && probe->seq == message->probe.seq)
		probe->subject = 0;
	lock_release(&node->gossip.lock);
}

/* Adds the sender's record if it is dead or suspect here, so that the sender can refute. */
static void add_sender_record(struct node *node, uint64_t from, struct message *answer)
{
	struct member record;

	if (members_get(node->members, from, &record) &&
	    (record.state == MEMBER_DEAD || record.state == MEMBER_SUSPECT))
		append_record(answer, &record);
}

static void answer_ping(struct node *node, uint64_t from, const struct message *message,
			struct instant now, struct actions *out)
{
	struct message *answer = probe_message(node, MESSAGE_ACK, message->probe.seq,
					       message->probe.origin, node->options.id, now);

	add_sender_record(node, from, answer);
	actions_send(out, from, answer);
}

void fleet_on_probe(struct node *node, uint64_t from, const struct message *message,
		    struct instant now, struct actions *out)
{
	const struct digest *digest = &message->probe.digest;

	fleet_on_members(node, message->probe.members, now, out);
	if (message->kind == MESSAGE_PING)
		answer_ping(node, from, message, now, out);
	else if (message->probe.origin && message->probe.origin != node->options.id)
		actions_send(out, message->probe.origin,
			     probe_message(node, MESSAGE_ACK, message->probe.seq,
					   message->probe.origin, message->probe.subject, now));
	else
		handle_ack(node, message);
	config_on_digest(node, from, digest, now, out);
	moves_on_digest(node, from, digest, now, out);
	marks_on_digest(node, from, digest, now, out);
	sync_members(node, from, digest, now, out);
}

void fleet_on_ping_request(struct node *node, uint64_t from, const struct message *message,
			   struct instant now, struct actions *out)
{
	actions_send(out, message->ping_request.subject,
		     probe_message(node, MESSAGE_PING, message->ping_request.seq, from,
				   message->ping_request.subject, now));
}

static void start_probe(struct node *node, struct instant now, struct actions *out)
{
	struct probe_state *probe = &node->gossip.probe;
	struct rng rng = node_rng(node);
	uint64_t subject = members_next_probe(node->members, &rng);
	uint32_t seq;

	if (subject == 0)
		return;
	lock_acquire(&node->gossip.lock);
	seq = ++node->gossip.seq;
	*probe = (struct probe_state){ .subject = subject,
				       .seq = seq,
				       .relay_at = deadline_after(now, ACK_US),
				       .suspect_at = deadline_after(now, ROUND_US - ACK_US / 4) };
	lock_release(&node->gossip.lock);
	actions_send(out, subject, probe_message(node, MESSAGE_PING, seq, 0, subject, now));
}

enum probe_step { PROBE_WAIT, PROBE_RELAY, PROBE_SUSPECT };

static enum probe_step next_probe_step(struct node *node, struct instant now,
				       struct probe_state *out)
{
	struct probe_state *probe = &node->gossip.probe;
	enum probe_step step = PROBE_WAIT;

	lock_acquire(&node->gossip.lock);
	*out = *probe;
	if (probe->subject && deadline_passed(probe->suspect_at, now)) {
		step = PROBE_SUSPECT;
		probe->subject = 0;
	} else if (probe->subject && !probe->relayed && deadline_passed(probe->relay_at, now)) {
		step = PROBE_RELAY;
		probe->relayed = true;
	}
	lock_release(&node->gossip.lock);
	return step;
}

static void request_relays(struct node *node, const struct probe_state *probe, struct actions *out)
{
	struct message *message = message_new(MESSAGE_PING_REQUEST);
	struct rng rng = node_rng(node);
	uint64_t relays[RELAYS];
	int count = members_random(node->members, &rng, false, relays, RELAYS);

	message->ping_request.seq = probe->seq;
	message->ping_request.subject = probe->subject;
	for (int i = 0; i < count; i++)
		if (relays[i] != probe->subject)
			actions_send(out, relays[i], message_ref(message));
	message_unref(message);
}

static void advance_probe(struct node *node, struct instant now, struct actions *out)
{
	struct probe_state probe;
	struct member record;

	switch (next_probe_step(node, now, &probe)) {
	case PROBE_WAIT:
		return;
	case PROBE_RELAY:
		request_relays(node, &probe, out);
		return;
	case PROBE_SUSPECT:
		if (!members_suspect(node->members, probe.subject, now, &record))
			return;
		queue_update(node, &record);
		report_member(&record, out);
		return;
	}
	g_assert_not_reached();
}

void fleet_tick(struct node *node, struct instant now, struct actions *out)
{
	bool flush;

	advance_probe(node, now, out);
	lock_acquire(&node->gossip.lock);
	flush = deadline_passed(node->gossip.flush_at, now);
	if (flush)
		node->gossip.flush_at = deadline_after(now, FLUSH_US);
	flush = flush && !g_queue_is_empty(node->gossip.updates);
	lock_release(&node->gossip.lock);
	if (flush)
		send_updates(node, FLUSH_PEERS, out);
}

static void ping_dead(struct node *node, struct instant now, struct actions *out)
{
	struct rng rng = node_rng(node);
	uint64_t id;
	bool due;

	lock_acquire(&node->gossip.lock);
	due = node->gossip.dead_ping_at.at_us == 0 ||
	      deadline_passed(node->gossip.dead_ping_at, now);
	if (due)
		node->gossip.dead_ping_at = deadline_after(now, DEAD_PING_US);
	lock_release(&node->gossip.lock);
	if (!due)
		return;
	id = members_random_dead(node->members, &rng);
	if (id)
		ping_with_self(node, id, now, out);
	/* Without a live peer, only the seeds of the settings lead back to the fleet. */
	if (members_count(node->members).live <= 1)
		fleet_ping_seeds(node, 1, now, out);
}

void fleet_round(struct node *node, struct instant now, struct actions *out)
{
	enum { SWEEP_MAX = 64 };
	struct member dead[SWEEP_MAX];
	int count = members_sweep(node->members, now, dead, SWEEP_MAX);

	lock_acquire(&node->gossip.lock);
	node->gossip.pulls_answered = 0;
	node->gossip.syncs_answered = 0;
	node->gossip.record_tokens = MIN(node->gossip.record_tokens + RECORDS_PER_S, RECORDS_BURST);
	lock_release(&node->gossip.lock);
	for (int i = 0; i < count; i++) {
		queue_update(node, &dead[i]);
		report_member(&dead[i], out);
	}
	start_probe(node, now, out);
	ping_dead(node, now, out);
}
