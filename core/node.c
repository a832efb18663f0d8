#include "core/node_parts.h"
#include "core/startup.h"
#include "core/version.h"

#define SUSPECT_TIMEOUT_US (4 * US_PER_S)
/* Dead members are remembered for longer than partitions between regions last, so that nodes find
 * each other again. */
#define FORGET_US		(2 * 3600 * US_PER_S)
#define RETENTION_DEFAULT_US	(3600 * US_PER_S)
#define BOOT_LOG_DELAY_US	(1500 * US_PER_MS)
#define BOOT_LOG_JITTER_US	(3 * US_PER_S)
#define APPLY_WITHIN_DEFAULT_US (8 * US_PER_S)
#define QUOTA_WINDOW_DEFAULT_US (5 * US_PER_S)
#define QUOTA_TOLERANCE_DEFAULT 0.1
#define QUOTA_ALLOWANCE_DEFAULT 20
enum { READERS_DEFAULT = 2, READERS_MAX = 16 };

/* When all nodes start at once, the delay keeps them from reading the log at the same time. */
static int64_t boot_log_delay_us(struct node *node)
{
	if (node->options.seed_count)
		return BOOT_LOG_DELAY_US +
		       (int64_t)rng_below(&node->gossip.rng, BOOT_LOG_JITTER_US);
	return node->options.first_start ? startup_log_delay_us(&node->gossip.rng) : 0;
}

static void gossip_init(struct node *node, struct instant now)
{
	struct gossip_state *gossip = &node->gossip;

	lock_init(&gossip->lock, LOCK_GOSSIP, node->pool);
	gossip->rng.state = node->options.seed ^ rng_mix(node->options.id);
	gossip->updates = g_queue_new();
	gossip->record_tokens = RECORDS_BURST;
	gossip->unsaved = g_array_new(FALSE, TRUE, sizeof(struct unsaved_move));
	gossip->budgets = g_hash_table_new_full(label_hash, label_hash_equal, NULL, g_free);
	gossip->log.retry_us = LOG_RETRY_MIN_US;
	gossip->append_retry_us = LOG_RETRY_MIN_US;
	gossip->log.system_next = 1;
	gossip->boot.started_us = now.mono_us;
	gossip->boot.ping_at =
		now.mono_us ? (struct deadline){ now.mono_us } : (struct deadline){ 1 };
	gossip->boot.log_at = deadline_after(now, boot_log_delay_us(node));
	gossip->moves_at = deadline_after(now, MOVES_TICK_US);
	gossip->round_at = deadline_after(now, (int64_t)rng_below(&gossip->rng, ROUND_US));
	gossip->flush_at = deadline_after(now, (int64_t)rng_below(&gossip->rng, FLUSH_US));
	confirm_init(node, now);
}

static bool check_options(const struct node_options *options, GError **error)
{
	if (options->id == 0 || options->data_centre.len == 0) {
		g_set_error(error, CONFIG_ERROR, CONFIG_ERROR_TYPE,
			    "a node needs an id and a data centre");
		return false;
	}
	if (options->readers < 0 || options->readers > READERS_MAX) {
		g_set_error(error, CONFIG_ERROR, CONFIG_ERROR_TYPE, "readers: expected 1 to %d",
			    READERS_MAX);
		return false;
	}
	return true;
}

struct node *node_new(const struct node_options *options, struct instant now, GError **error)
{
	struct members_options members = { .suspect_us = SUSPECT_TIMEOUT_US,
					   .forget_us = FORGET_US };
	struct node *node;

	if (!check_options(options, error))
		return NULL;
	node = g_new0(struct node, 1);
	node->options = *options;
	if (node->options.readers == 0)
		node->options.readers = READERS_DEFAULT;
	if (node->options.apply_within_us == 0)
		node->options.apply_within_us = APPLY_WITHIN_DEFAULT_US;
	if (node->options.log_retention_us == 0)
		node->options.log_retention_us = RETENTION_DEFAULT_US;
	node->seeds = g_memdup2(options->seeds, options->seed_count * sizeof(uint64_t));
	apr_pool_create(&node->pool, NULL);
	members.self = (struct member){ .id = options->id,
					.incarnation = (uint64_t)now.wall_us,
					.state = MEMBER_JOINING,
					.data_centre = options->data_centre };
	node->history = history_new(node->pool);
	node->members = members_new(&members, node->pool);
	node->moves = moves_new(node->pool);
	node->admit = admit_new(node->pool);
	admit_set_link(node->admit, node->options.link_mbps);
	if (options->warmup)
		admit_set_warmup_options(node->admit, options->warmup);
	lock_init(&node->target_rules.lock, LOCK_RULES, node->pool);
	node->tally = tally_new(node->pool);
	node->poison = poison_new(node->pool);
	node->claims = claims_new(node->pool);
	node->traffic = traffic_new(node->pool);
	if (node->options.quota.window_us == 0)
		node->options.quota =
			(struct quota_options){ .window_us = QUOTA_WINDOW_DEFAULT_US,
						.tolerance = QUOTA_TOLERANCE_DEFAULT,
						.allowance = QUOTA_ALLOWANCE_DEFAULT };
	node->options.quota.seed = node->options.seed ^ node->options.id;
	node->quota = quota_new(&node->options.quota, node->pool);
	gossip_init(node, now);
	return node;
}

static void assembly_clear(struct assembly *assembly)
{
	g_free(assembly->received);
	if (assembly->files)
		g_ptr_array_unref(assembly->files);
}

void node_free(struct node *node)
{
	if (!node)
		return;
	g_queue_free_full(node->gossip.updates, g_free);
	g_array_unref(node->gossip.unsaved);
	g_hash_table_destroy(node->gossip.budgets);
	assembly_clear(&node->gossip.from_peer);
	assembly_clear(&node->gossip.from_log);
	lock_destroy(&node->target_rules.lock);
	lock_destroy(&node->gossip.lock);
	quota_free(node->quota);
	traffic_free(node->traffic);
	claims_free(node->claims);
	poison_free(node->poison);
	tally_free(node->tally);
	admit_free(node->admit);
	moves_free(node->moves);
	members_free(node->members);
	history_free(node->history);
	apr_pool_destroy(node->pool);
	g_free(node->seeds);
	g_free(node);
}

struct rng node_rng(struct node *node)
{
	struct rng rng;

	lock_acquire(&node->gossip.lock);
	rng.state = rng_next(&node->gossip.rng);
	lock_release(&node->gossip.lock);
	return rng;
}

void node_gossip(struct node *node, struct message *message, struct actions *out)
{
	struct rng rng = node_rng(node);
	uint64_t peers[FANOUT];
	int count = members_random(node->members, &rng, true, peers, FANOUT_LOCAL);

	count += members_random(node->members, &rng, false, peers + count, FANOUT - count);
	for (int i = 0; i < count; i++)
		actions_send(out, peers[i], message_ref(message));
	message_unref(message);
}

/* Handles messages that serve calls: claims, limits, proofs, poison marks and the census. */
static void on_call_message(struct node *node, uint64_t from, const struct message *message,
			    struct instant now, struct actions *out)
{
	switch (message->kind) {
	case MESSAGE_POISON:
		marks_on_poison(node, &message->poison, now, out);
		return;
	case MESSAGE_MARKS_ASK:
		marks_on_ask(node, from, message, now, out);
		return;
	case MESSAGE_MARKS:
		marks_on_marks(node, message, now, out);
		return;
	case MESSAGE_CENSUS_ASK:
		calls_on_census_ask(node, from, message->census.seq, out);
		return;
	case MESSAGE_CENSUS:
		calls_on_census(node, message->census.seq, message->census.version);
		return;
	case MESSAGE_CLAIM_ASK:
		claims_on_ask(node, from, message, now, out);
		return;
	case MESSAGE_CLAIM_ANSWER:
		claims_on_answer(node, message->claim_answer.seq, message->claim_answer.result,
				 message->claim_answer.status, out);
		return;
	case MESSAGE_CLAIM_END:
		claims_on_end(node, from, &message->claim_end, now, out);
		return;
	case MESSAGE_CLAIM_ENDED:
		claims_on_ended(node, message->claim_ended, out);
		return;
	case MESSAGE_CONFIRM_ASK:
		confirm_on_ask(node, from, message->confirm.seq, now, out);
		return;
	case MESSAGE_CONFIRM:
		confirm_on_answer(node, message);
		return;
	case MESSAGE_QUOTA_ASK:
		quotas_on_ask(node, from, message, now, out);
		return;
	case MESSAGE_QUOTA_GRANT:
		quotas_on_grant(node, message, now, out);
		return;
	case MESSAGE_PING:
	case MESSAGE_ACK:
	case MESSAGE_PING_REQUEST:
	case MESSAGE_ADVERT:
	case MESSAGE_PULL:
	case MESSAGE_RECORDS:
	case MESSAGE_SNAPSHOT:
	case MESSAGE_MEMBERS_ASK:
	case MESSAGE_MEMBERS:
	case MESSAGE_MOVES:
	case MESSAGE_EVIDENCE:
	case MESSAGE_RETRY:
	case MESSAGE_KINDS:
		break;
	}
	g_assert_not_reached();
}

static void on_message(struct node *node, const struct event *event, struct instant now,
		       struct actions *out)
{
	const struct message *message = event->message.message;
	uint64_t from = event->message.from;

	switch (message->kind) {
	case MESSAGE_PING:
	case MESSAGE_ACK:
		fleet_on_probe(node, from, message, now, out);
		return;
	case MESSAGE_PING_REQUEST:
		fleet_on_ping_request(node, from, message, now, out);
		return;
	case MESSAGE_ADVERT:
		config_on_advert(node, from, message, now, out);
		return;
	case MESSAGE_PULL:
		config_on_pull(node, from, message, out);
		return;
	case MESSAGE_RECORDS:
		config_on_records(node, from, message, now, out);
		return;
	case MESSAGE_SNAPSHOT:
		config_on_snapshot(node, from, &message->snapshot, now, out);
		return;
	case MESSAGE_MEMBERS_ASK:
		fleet_on_members_ask(node, from, message, out);
		return;
	case MESSAGE_MEMBERS:
		fleet_on_members(node, message->members, now, out);
		if (message->members_end)
			config_set_members_known(node);
		return;
	case MESSAGE_MOVES:
		moves_on_states(node, message->states, true, out);
		return;
	case MESSAGE_EVIDENCE:
		moves_on_evidence(node, message);
		return;
	case MESSAGE_RETRY:
		config_on_retry(node, from, message->retry_after_us, now, out);
		return;
	case MESSAGE_POISON:
	case MESSAGE_CENSUS_ASK:
	case MESSAGE_CENSUS:
	case MESSAGE_CLAIM_ASK:
	case MESSAGE_CLAIM_ANSWER:
	case MESSAGE_CLAIM_END:
	case MESSAGE_CLAIM_ENDED:
	case MESSAGE_CONFIRM_ASK:
	case MESSAGE_CONFIRM:
	case MESSAGE_QUOTA_ASK:
	case MESSAGE_QUOTA_GRANT:
	case MESSAGE_MARKS_ASK:
	case MESSAGE_MARKS:
		on_call_message(node, from, message, now, out);
		return;
	case MESSAGE_KINDS:
		break;
	}
	g_assert_not_reached();
}

static bool rearm_if_due(struct node *node, struct deadline *due_at, int64_t every_us,
			 struct instant now)
{
	bool passed;

	lock_acquire(&node->gossip.lock);
	passed = deadline_passed(*due_at, now);
	if (passed)
		*due_at = deadline_after(now, every_us);
	lock_release(&node->gossip.lock);
	return passed;
}

static void on_tick(struct node *node, struct instant now, struct actions *out)
{
	confirm_note_tick(node, now);
	config_boot_tick(node, now, out);
	fleet_tick(node, now, out);
	config_tick(node, now, out);
	log_tick(node, now, out);
	confirm_tick(node, now, out);
	confirm_proof_tick(node, now, out);
	claims_tick(node, now, out);
	quotas_tick(node, now, out);
	target_tick(node, now, out);
	if (rearm_if_due(node, &node->gossip.moves_at, MOVES_TICK_US, now))
		moves_tick(node, now, out);
	if (!rearm_if_due(node, &node->gossip.round_at, ROUND_US, now))
		return;
	fleet_round(node, now, out);
	log_round(node, now, out);
	moves_round(node, now, out);
	marks_round(node, out);
}

static void update_target(struct node *node, const struct event *event, struct actions *out)
{
	struct member self = members_self(node->members);
	bool unchanged = self.slots == event->target.slots &&
			 label_equal(&self.service, &event->target.service) &&
			 label_equal(&self.version, &event->target.version) &&
			 self.state != MEMBER_LEAVING;

	if (unchanged)
		return;
	if (self.slots == 0) {
		lock_acquire(&node->gossip.lock);
		node->target_slow_start_until = (struct deadline){ 0 };
		lock_release(&node->gossip.lock);
	}
	self.service = event->target.service;
	self.version = event->target.version;
	self.slots = (uint16_t)event->target.slots;
	if (self.state == MEMBER_SUSPECT || self.state == MEMBER_DEAD)
		self.state = MEMBER_ALIVE;
	admit_set_slots(node->admit, event->target.slots);
	fleet_update_self(node, &self, 0, out);
}

static void on_target_up(struct node *node, const struct event *event, struct instant now,
			 struct actions *out)
{
	/* The target is cold before it gets slots. */
	if (event->target.started)
		admit_target_started(node->admit, now);
	admit_heartbeat(node->admit, event->target.states_warmup, event->target.cold, now);
	update_target(node, event, out);
	target_apply_rules(node, now, out);
}

/* Without a target the node still serves callers, but it accepts no calls for its own target. */
static void on_target_down(struct node *node, struct actions *out)
{
	struct member self = members_self(node->members);

	if (self.slots == 0)
		return;
	self.slots = 0;
	self.service = (struct label){ 0 };
	self.version = (struct label){ 0 };
	admit_set_slots(node->admit, 0);
	fleet_update_self(node, &self, 0, out);
}

static void on_target_leaving(struct node *node, struct actions *out)
{
	struct member self = members_self(node->members);

	admit_return_queued(node->admit);
	if (self.slots == 0)
		return;
	self.slots = 0;
	fleet_update_self(node, &self, 0, out);
}

/* Other members are not notified yet, so that they use the target's slots until the node stops. */
static void on_retire(struct node *node, const struct event *event)
{
	admit_end_by(node->admit, event->retire.queue_ends_at, event->retire.work_ends_at);
	lock_acquire(&node->gossip.lock);
	node->gossip.retiring = true;
	lock_release(&node->gossip.lock);
}

static void on_stop(struct node *node, struct instant now, struct actions *out)
{
	struct member self = members_self(node->members);

	lock_acquire(&node->gossip.lock);
	node->gossip.stopping = true;
	lock_release(&node->gossip.lock);
	admit_close(node->admit);
	marks_on_stop(node, now, out);
	self.state = MEMBER_LEAVING;
	fleet_update_self(node, &self, 0, out);
}

static void on_append(struct node *node, const struct event *event, struct instant now,
		      struct actions *out)
{
	bool done = event->kind == EVENT_APPENDED;

	if (event->append.stream != STREAM_KEYS) {
		log_on_append(node, event->append.tag, done, now, out);
		return;
	}
	claims_appended(node->claims, event->append.partition, event->append.tag,
			done ? event->append.offset : 0, now);
	claims_process(node, event->append.partition, now, out);
}

void node_handle(struct node *node, const struct event *event, struct instant now,
		 struct actions *out)
{
	switch (event->kind) {
	case EVENT_TICK:
		on_tick(node, now, out);
		return;
	case EVENT_MESSAGE:
		on_message(node, event, now, out);
		return;
	case EVENT_LOG_BATCH:
		if (event->batch.stream == STREAM_KEYS)
			claims_on_batch(node, event, now, out);
		else
			log_on_batch(node, event, now, out);
		return;
	case EVENT_LOG_FAILED:
		if (event->failed.stream == STREAM_KEYS)
			claims_read_failed(node->claims, event->failed.partition,
					   event->failed.failure == LOG_FAILURE_EXPIRED, now);
		else
			log_on_failed(node, event, now, out);
		return;
	case EVENT_APPENDED:
	case EVENT_APPEND_FAILED:
		on_append(node, event, now, out);
		return;
	case EVENT_PEERS:
		fleet_introduce(node, event->peers.ids, event->peers.count, now, out);
		return;
	case EVENT_TARGET_UP:
		on_target_up(node, event, now, out);
		return;
	case EVENT_TARGET_DOWN:
		on_target_down(node, out);
		return;
	case EVENT_TARGET_LEAVING:
		on_target_leaving(node, out);
		return;
	case EVENT_RETIRE:
		on_retire(node, event);
		return;
	case EVENT_STOP:
		on_stop(node, now, out);
		return;
	}
	g_assert_not_reached();
}

struct config *node_config(struct node *node)
{
	return history_config(node->history);
}

bool node_is_current(struct node *node)
{
	bool current;

	lock_acquire(&node->gossip.lock);
	current = node->gossip.boot.phase == BOOT_CURRENT;
	lock_release(&node->gossip.lock);
	return current;
}

bool node_is_behind(struct node *node)
{
	int64_t held_version = history_version(node->history);
	bool behind;

	lock_acquire(&node->gossip.lock);
	behind = node->gossip.pull.heard_newest > held_version;
	lock_release(&node->gossip.lock);
	return behind;
}

bool node_is_ready(struct node *node)
{
	struct config *config = node_config(node);
	/* After a rollback the log may be empty; what it held may be in force. */
	bool has_read = version_position(config->version) > 0 || config->accepted > 0;
	bool ready;

	config_unref(config);
	lock_acquire(&node->gossip.lock);
	ready = node->gossip.boot.phase == BOOT_CURRENT && !node->gossip.retiring &&
		!node->gossip.stopping;
	lock_release(&node->gossip.lock);
	return ready && has_read;
}

struct history *node_history(struct node *node)
{
	return node->history;
}

struct members *node_members(struct node *node)
{
	return node->members;
}

struct traffic *node_traffic(struct node *node)
{
	return node->traffic;
}

struct moves *node_moves(struct node *node)
{
	return node->moves;
}

struct admit *node_admit(struct node *node)
{
	return node->admit;
}

struct digest node_digest(struct node *node, struct instant now)
{
	struct digest digest = {
		.version = history_version(node->history),
		.confirmed_age_us = confirm_age_us(node, now),
		.members_hash = members_hash(node->members),
		.moves_hash = moves_hash(node->moves),
		.marks_hash = poison_hash(node->poison, now),
	};

	lock_acquire(&node->gossip.lock);
	digest.current = node->gossip.boot.phase == BOOT_CURRENT;
	digest.snapshot_version = node->gossip.snapshot_version;
	digest.snapshot_at_us = node->gossip.snapshot_at_us;
	lock_release(&node->gossip.lock);
	return digest;
}
