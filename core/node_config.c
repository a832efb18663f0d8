/*
 * Configuration: adverts, pulls and snapshots from peers, and the steps by which a joining node
 * obtains the newest version.
 */
#include "core/node_parts.h"
#include "core/version.h"

#define BOOT_PING_US	 (500 * US_PER_MS)
#define MEMBERS_RETRY_US (1 * US_PER_S)	    /* after this time another peer is asked */
#define BOOT_CONFIRM_US	 (1500 * US_PER_MS) /* wait for a confirmation while the log is out */

/* Records that a peer holds the newest known version. LOCK_GOSSIP is held. */
static void add_holder(struct pull_state *pull, uint64_t peer, int64_t version)
{
	if (version < pull->known_newest)
		return;
	if (version > pull->known_newest)
		pull->holder_count = 0;
	pull->known_newest = version;
	for (int i = 0; i < pull->holder_count; i++)
		if (pull->holders[i] == peer)
			return;
	if (pull->holder_count < PULL_HOLDERS_MAX)
		pull->holders[pull->holder_count++] = peer;
}

/* Removes a peer that did not deliver. LOCK_GOSSIP is held. */
static void remove_holder(struct pull_state *pull, uint64_t peer)
{
	for (int i = 0; i < pull->holder_count; i++)
		if (pull->holders[i] == peer)
			pull->holders[i] = pull->holders[--pull->holder_count];
}

/* Records that a version newer than the held one exists, and since when this node knows. */
static void note_heard(struct node *node, uint64_t from, int64_t version, const char *way,
		       struct instant now, struct actions *out)
{
	struct pull_state *pull = &node->gossip.pull;
	int64_t held_version = history_version(node->history);
	bool first;

	if (version <= held_version)
		return;
	lock_acquire(&node->gossip.lock);
	add_holder(pull, from, version);
	first = version > pull->heard_newest;
	if (pull->heard_newest <= held_version) {
		pull->behind_since_us = now.mono_us;
		pull->deliver_from_us = now.mono_us;
	}
	if (first) {
		pull->heard_newest = version;
		pull->heard_at_us = now.mono_us;
	}
	lock_release(&node->gossip.lock);
	if (first)
		actions_log_event(out, LOG_EVENT_VERSION_HEARD,
				  "version=%ld held=%ld from=%lx way=%s", version, held_version,
				  from, way);
}

/* Returns for how long this node knew of a newer version than it held; LOCK_GOSSIP is not held. */
static int64_t behind_ms(struct node *node, int64_t old_version, struct instant now)
{
	struct pull_state *pull = &node->gossip.pull;
	int64_t us = 0;

	lock_acquire(&node->gossip.lock);
	if (pull->heard_newest > old_version)
		us = now.mono_us - pull->behind_since_us;
	lock_release(&node->gossip.lock);
	return us / US_PER_MS;
}

/* Returns after what time a pull without an answer is repeated at another peer. */
static int64_t pull_timeout_us(const struct node *node)
{
	return node->options.apply_within_us * PULL_TIMEOUT_PERCENT / 100;
}

/* Returns true if a pull from a peer starts now. */
static bool begin_pull(struct node *node, uint64_t from, struct instant now)
{
	struct pull_state *pull = &node->gossip.pull;
	bool begin;

	lock_acquire(&node->gossip.lock);
	begin = (pull->from == 0 || deadline_passed(pull->expires_at, now)) &&
		(pull->not_before.at_us == 0 || deadline_passed(pull->not_before, now));
	if (begin) {
		pull->from = from;
		pull->expires_at = deadline_after(now, pull_timeout_us(node));
	}
	lock_release(&node->gossip.lock);
	return begin;
}

/* Files are large and should cross between data centres a few times only: of the nodes that hear of
 * a version from another one, the first to pull it has it for the others. */
static bool waits_for_local_peer(struct node *node, uint64_t from, int64_t newest,
				 struct instant now)
{
	struct pull_state *pull = &node->gossip.pull;
	struct rng rng = node_rng(node);
	struct member record;
	uint64_t local_peer;
	bool remote = node_is_current(node) && members_get(node->members, from, &record) &&
		      !label_equal(&record.data_centre, &node->options.data_centre) &&
		      members_random(node->members, &rng, true, &local_peer, 1) > 0;
	bool waits;

	lock_acquire(&node->gossip.lock);
	if (!remote) {
		pull->remote_at = (struct deadline){ 0 };
	} else if (newest == pull->known_newest && pull->holder_count == 1 &&
		   pull->holders[0] == from && pull->remote_version < newest) {
		pull->remote_version = newest;
		pull->remote_at = deadline_after(
			now, (int64_t)rng_below(
				     &rng, (uint64_t)MIN(REMOTE_PULL_US, pull_timeout_us(node))));
	}
	waits = pull->remote_at.at_us && !deadline_passed(pull->remote_at, now);
	lock_release(&node->gossip.lock);
	return waits;
}

static void pull_from(struct node *node, uint64_t from, int64_t newest, struct instant now,
		      struct actions *out)
{
	struct message *message;
	int64_t held_version = history_version(node->history);

	if (newest <= held_version || waits_for_local_peer(node, from, newest, now) ||
	    !begin_pull(node, from, now))
		return;
	message = message_new(MESSAGE_PULL);
	message->pull.held_version = held_version;
	message->pull.packed = true;
	lock_acquire(&node->gossip.lock);
	message->pull.full = node->gossip.pull.need_full;
	lock_release(&node->gossip.lock);
	actions_log_event(out, LOG_EVENT_PULL_STARTED, "to=%lx held=%ld newest=%ld full=%d", from,
			  held_version, newest, message->pull.full);
	actions_send(out, from, message);
}

static void record_current_peer(struct node *node, uint64_t from, const struct digest *digest)
{
	struct boot_state *boot = &node->gossip.boot;
	bool known = false;

	lock_acquire(&node->gossip.lock);
	for (int i = 0; i < boot->current_peers; i++)
		known |= boot->current_peer_ids[i] == from;
	if (!known && boot->current_peers < BOOT_SAMPLE)
		boot->current_peer_ids[boot->current_peers++] = from;
	if (digest->version > boot->newest_seen)
		boot->newest_seen = digest->version;
	lock_release(&node->gossip.lock);
}

static void record_newest_snapshot(struct node *node, const struct digest *digest)
{
	lock_acquire(&node->gossip.lock);
	if (digest->snapshot_version > node->gossip.snapshot_version)
		node->gossip.snapshot_version = digest->snapshot_version;
	if (digest->snapshot_at_us > node->gossip.snapshot_at_us)
		node->gossip.snapshot_at_us = digest->snapshot_at_us;
	lock_release(&node->gossip.lock);
}

static void request_members(struct node *node, uint64_t from, struct instant now,
			    struct actions *out)
{
	struct boot_state *boot = &node->gossip.boot;
	bool ask;

	lock_acquire(&node->gossip.lock);
	ask = !boot->members_known &&
	      (boot->members_retry_at.at_us == 0 || deadline_passed(boot->members_retry_at, now));
	if (ask)
		boot->members_retry_at = deadline_after(now, MEMBERS_RETRY_US);
	lock_release(&node->gossip.lock);
	if (ask)
		fleet_request_members(node, from, true, out);
}

void config_set_members_known(struct node *node)
{
	lock_acquire(&node->gossip.lock);
	node->gossip.boot.members_known = true;
	lock_release(&node->gossip.lock);
}

void config_set_marks_known(struct node *node)
{
	lock_acquire(&node->gossip.lock);
	node->gossip.boot.marks_known = true;
	lock_release(&node->gossip.lock);
}

void config_on_digest(struct node *node, uint64_t from, const struct digest *digest,
		      struct instant now, struct actions *out)
{
	record_newest_snapshot(node, digest);
	if (digest->current && !node_is_current(node)) {
		record_current_peer(node, from, digest);
		request_members(node, from, now, out);
	}
	note_heard(node, from, digest->version, "digest", now, out);
	confirm_from_peer(node, digest->version, digest->confirmed_age_us, now);
	pull_from(node, from, digest->version, now, out);
}

void config_on_advert(struct node *node, uint64_t from, const struct message *message,
		      struct instant now, struct actions *out)
{
	int64_t version = message->advert.version;

	note_heard(node, from, version, "advert", now, out);
	confirm_from_peer(node, version, message->advert.confirmed_age_us, now);
	confirm_forward(node, now, out);
	pull_from(node, from, version, now, out);
}

void config_on_retry(struct node *node, uint64_t from, int64_t after_us, struct instant now,
		     struct actions *out)
{
	struct pull_state *pull = &node->gossip.pull;
	bool delayed;

	lock_acquire(&node->gossip.lock);
	delayed = pull->from == from;
	if (delayed) {
		pull->from = 0;
		pull->not_before = deadline_after(now, after_us);
	}
	lock_release(&node->gossip.lock);
	if (delayed)
		actions_log_event(out, LOG_EVENT_PULL_DELAYED, "from=%lx after_ms=%lld", from,
				  after_us / US_PER_MS);
}

static GPtrArray *new_files(void)
{
	return g_ptr_array_new_with_free_func((GDestroyNotify)accepted_file_free);
}

static struct snapshot_part *add_part(GPtrArray *parts, const struct config *config,
				      struct instant now)
{
	struct snapshot_part *part = g_new0(struct snapshot_part, 1);

	part->version = config->version;
	part->accepted = config->accepted;
	part->written_at_us = now.wall_us;
	part->index = (int)parts->len;
	part->files = new_files();
	part->states = g_array_new(FALSE, FALSE, sizeof(struct move_state));
	g_ptr_array_add(parts, part);
	return part;
}

static void part_free(gpointer data)
{
	snapshot_part_clear(data);
	g_free(data);
}

GPtrArray *config_snapshot_parts(struct node *node, struct instant now)
{
	GPtrArray *parts = g_ptr_array_new_with_free_func(part_free);
	struct config *config = node_config(node);
	GArray *states = moves_states(node->moves);
	struct snapshot_part *part = add_part(parts, config, now);
	size_t bytes = 0;

	g_array_append_vals(part->states, states->data, states->len);
	for (guint i = 0; i < config->files->len; i++) {
		const struct accepted_file *file = g_ptr_array_index(config->files, i);

		if (bytes && bytes + file->change->content.len > SNAPSHOT_PART_BYTES) {
			part = add_part(parts, config, now);
			bytes = 0;
		}
		g_ptr_array_add(part->files, accepted_file_copy(file));
		bytes += file->change->content.len;
	}
	for (guint i = 0; i < parts->len; i++)
		((struct snapshot_part *)g_ptr_array_index(parts, i))->count = (int)parts->len;
	g_array_unref(states);
	config_unref(config);
	return parts;
}

static void send_snapshot(struct node *node, uint64_t to, struct actions *out)
{
	GPtrArray *parts = config_snapshot_parts(node, (struct instant){ 0, 0 });

	for (guint i = 0; i < parts->len; i++) {
		struct snapshot_part *part = g_ptr_array_index(parts, i);
		struct message *message = message_new(MESSAGE_SNAPSHOT);

		message->snapshot = *part;
		part->files = NULL;
		part->states = NULL;
		actions_send(out, to, message);
	}
	g_ptr_array_unref(parts);
}

void config_on_pull(struct node *node, uint64_t from, const struct message *pull,
		    struct actions *out)
{
	struct change_record records[HISTORY_PULL_MAX];
	struct message *message;
	int count;

	if (!fleet_may_answer(node, &node->gossip.pulls_answered, PULLS_PER_ROUND)) {
		struct rng rng = node_rng(node);

		message = message_new(MESSAGE_RETRY);
		message->retry_after_us = (int64_t)rng_below(&rng, ROUND_US);
		actions_send(out, from, message);
		return;
	}
	count = history_records_since(node->history, &pull->pull, records);
	if (count < 0) {
		send_snapshot(node, from, out);
		return;
	}
	message = message_new(MESSAGE_RECORDS);
	message->records.newest = history_version(node->history);
	message->records.count = count;
	message->records.packed = pull->pull.packed;
	message->records.records = g_memdup2(records, (gsize)count * sizeof(*records));
	actions_send(out, from, message);
}

static const char *way_name(enum change_way way)
{
	switch (way) {
	case CHANGE_FROM_LOG:
		return "log";
	case CHANGE_FROM_PEER:
		return "peer";
	}
	g_assert_not_reached();
}

static void report_apply_result(const struct apply_result *result, const struct change *change,
				const struct change_source *source, int64_t late_ms,
				struct actions *out)
{
	switch (result->kind) {
	case APPLY_ACCEPTED:
		actions_log_event(out, LOG_EVENT_CHANGE_ACCEPTED,
				  "offset=%ld file=%.*s id=%.*s serial=%ld way=%s behind_ms=%ld",
				  result->offset, STR_ARG(label_str(&change->file)),
				  STR_ARG(label_str(&change->id)),
				  change->parsed ? change->parsed->serial : 0,
				  way_name(source->way), late_ms);
		return;
	case APPLY_CONFLICT:
	case APPLY_DUPLICATE:
	case APPLY_INVALID:
		actions_log_event(out, LOG_EVENT_CHANGE_REJECTED, "offset=%ld file=%.*s why=\"%s\"",
				  result->offset, STR_ARG(label_str(&change->file)),
				  result->reason);
		return;
	case APPLY_SUPERSEDED:
	case APPLY_OUT_OF_ORDER:
		return;
	}
	g_assert_not_reached();
}

static void configure_moves(struct node *node)
{
	struct config *config = node_config(node);

	moves_configure(node->moves, config);
	config_unref(config);
}

/* After a version was applied, peers have their time for the one that was heard of since. */
static void restart_delivery(struct node *node)
{
	struct pull_state *pull = &node->gossip.pull;

	lock_acquire(&node->gossip.lock);
	pull->behind_since_us = pull->heard_at_us;
	pull->deliver_from_us = pull->heard_at_us;
	lock_release(&node->gossip.lock);
}

bool config_apply_records(struct node *node, const struct change_record *records, int count,
			  const struct change_source *source, struct instant now,
			  struct actions *out)
{
	int64_t late_ms = behind_ms(node, history_version(node->history), now);
	bool advanced = false;

	for (int i = 0; i < count; i++) {
		struct apply_result result =
			history_apply(node->history, records[i].offset, records[i].change);

		advanced |= result.kind != APPLY_OUT_OF_ORDER;
		report_apply_result(&result, records[i].change, source, late_ms, out);
	}
	if (advanced) {
		restart_delivery(node);
		confirm_applied(node);
		configure_moves(node);
		target_apply_rules(node, now, out);
	}
	return advanced;
}

void config_advertise(struct node *node, struct instant now, struct actions *out)
{
	node_gossip(node, confirm_advert(node, now), out);
}

void node_complete_message(struct node *node, struct message *message, struct instant now)
{
	int complete;

	if (message->kind != MESSAGE_RECORDS)
		return;
	if (message->records.count) {
		/* The records have arrived and only need to be parsed. */
		lock_acquire(&node->gossip.lock);
		node->gossip.pull.deliver_from_us = now.mono_us;
		lock_release(&node->gossip.lock);
	}
	complete = history_expand_deltas(node->history, message->records.records,
					 message->records.count);
	for (int i = complete; i < message->records.count; i++)
		change_record_clear(&message->records.records[i]);
	if (message->records.count) {
		lock_acquire(&node->gossip.lock);
		node->gossip.pull.need_full = complete < message->records.count;
		lock_release(&node->gossip.lock);
	}
	message->records.count = complete;
}

/* Ends the pull from a peer; returns the peer to pull from next, or 0. */
static uint64_t end_pull(struct node *node, uint64_t from, bool advanced, int64_t *newest)
{
	struct pull_state *pull = &node->gossip.pull;
	int64_t held_version = history_version(node->history);
	uint64_t next = 0;

	lock_acquire(&node->gossip.lock);
	if (pull->from == from)
		pull->from = 0;
	if (pull->known_newest <= held_version)
		pull->remote_at = (struct deadline){ 0 };
	/* A peer that answers without the version that it announced is not asked for it again. */
	if (!advanced && !pull->need_full)
		remove_holder(pull, from);
	if (pull->known_newest > held_version && pull->holder_count &&
	    (advanced || pull->need_full)) {
		next = pull->holders[0];
		*newest = pull->known_newest;
	}
	lock_release(&node->gossip.lock);
	return next;
}

/* Delays the next pull, so that several versions are fetched at once: each fetch costs a parse. */
static void delay_next_pull(struct node *node, struct instant now)
{
	lock_acquire(&node->gossip.lock);
	node->gossip.pull.not_before = deadline_after(now, BATCH_DELAY_US);
	lock_release(&node->gossip.lock);
}

static void finish_pull(struct node *node, uint64_t from, bool advanced, struct instant now,
			struct actions *out)
{
	int64_t newest = 0;
	uint64_t next = end_pull(node, from, advanced, &newest);

	if (advanced) {
		config_advertise(node, now, out);
		if (node_is_current(node))
			delay_next_pull(node, now);
	}
	if (next)
		pull_from(node, next, newest, now, out);
}

void config_on_records(struct node *node, uint64_t from, const struct message *message,
		       struct instant now, struct actions *out)
{
	struct change_source source = { CHANGE_FROM_PEER, from };
	bool advanced = config_apply_records(node, message->records.records, message->records.count,
					     &source, now, out);

	finish_pull(node, from, advanced, now, out);
}

static void assembly_start(struct assembly *assembly, const struct snapshot_part *part)
{
	g_free(assembly->received);
	if (assembly->files)
		g_ptr_array_unref(assembly->files);
	*assembly = (struct assembly){ .version = part->version,
				       .accepted = part->accepted,
				       .written_at_us = part->written_at_us,
				       .count = part->count,
				       .received = g_new0(bool, part->count),
				       .files = new_files() };
}

/* Adds a part; returns the files once all parts were received, otherwise NULL. */
static GPtrArray *assemble(struct assembly *assembly, const struct snapshot_part *part)
{
	GPtrArray *files = NULL;

	if (part->count < 1 || part->count > SNAPSHOT_PARTS_MAX || part->index < 0 ||
	    part->index >= part->count)
		return NULL;
	if (part->version > assembly->version ||
	    (part->version == assembly->version && part->count != assembly->count))
		assembly_start(assembly, part);
	if (part->version != assembly->version || !assembly->files ||
	    assembly->received[part->index])
		return NULL;
	assembly->received[part->index] = true;
	for (guint i = 0; i < part->files->len; i++)
		g_ptr_array_add(assembly->files,
				accepted_file_copy(g_ptr_array_index(part->files, i)));
	if (++assembly->received_count == assembly->count) {
		files = assembly->files;
		assembly->files = NULL;
	}
	return files;
}

/* The log came back from an older copy. It may lack what nodes have appended. */
static void handle_rollback(struct node *node, int64_t held_version, struct actions *out)
{
	struct config *config = node_config(node);

	actions_log_event(out, LOG_EVENT_PLATFORM_LOG_RESTORED,
			  "era=%ld version=%ld held=%ld accepted=%ld", version_era(config->version),
			  config->version, held_version, config->accepted);
	config_unref(config);
	moves_save_again(node);
}

bool config_apply_snapshot_part(struct node *node, struct assembly *assembly,
				const struct snapshot_part *part,
				const struct change_source *source, struct instant now,
				struct actions *out)
{
	int64_t held_version = history_version(node->history);
	int64_t late_ms = behind_ms(node, held_version, now);
	GPtrArray *files;

	moves_on_states(node, part->states, false, out);
	lock_acquire(&node->gossip.lock);
	files = assemble(assembly, part);
	lock_release(&node->gossip.lock);
	if (!files || !history_import(node->history, files, part->version, part->accepted))
		return false;
	confirm_applied(node);
	configure_moves(node);
	target_apply_rules(node, now, out);
	actions_log_event(out, LOG_EVENT_SNAPSHOT_LOADED,
			  "version=%ld accepted=%ld parts=%d way=%s behind_ms=%ld", part->version,
			  part->accepted, part->count, way_name(source->way), late_ms);
	if (held_version && version_era(part->version) > version_era(held_version))
		handle_rollback(node, held_version, out);
	return true;
}

void config_on_snapshot(struct node *node, uint64_t from, const struct snapshot_part *part,
			struct instant now, struct actions *out)
{
	struct change_source source = { CHANGE_FROM_PEER, from };

	if (config_apply_snapshot_part(node, &node->gossip.from_peer, part, &source, now, out))
		finish_pull(node, from, true, now, out);
}

/* Returns the peer to pull from now, or 0; removes one that did not answer from the holders and
 * sets *unanswered to it. A holder comes before a random peer. */
static uint64_t next_pull_peer(struct node *node, int64_t held_version, struct instant now,
			       uint64_t *unanswered)
{
	struct pull_state *pull = &node->gossip.pull;
	struct rng rng = node_rng(node);
	uint64_t peer = 0;
	bool due;

	lock_acquire(&node->gossip.lock);
	if (pull->known_newest <= held_version)
		pull->remote_at = (struct deadline){ 0 };
	due = pull->known_newest > held_version &&
	      (pull->from == 0 || deadline_passed(pull->expires_at, now)) &&
	      (pull->not_before.at_us == 0 || deadline_passed(pull->not_before, now)) &&
	      (pull->remote_at.at_us == 0 || deadline_passed(pull->remote_at, now));
	if (due) {
		*unanswered = pull->from;
		remove_holder(pull, pull->from);
		peer = pull->holder_count ? pull->holders[0] : 0;
	}
	lock_release(&node->gossip.lock);
	if (due && peer == 0 && members_random(node->members, &rng, false, &peer, 1) == 0)
		return 0;
	return peer;
}

/* Starts a delayed pull, or repeats one that got no answer at another peer. */
void config_tick(struct node *node, struct instant now, struct actions *out)
{
	int64_t held_version = history_version(node->history);
	uint64_t unanswered = 0;
	uint64_t peer = next_pull_peer(node, held_version, now, &unanswered);
	int64_t newest;

	lock_acquire(&node->gossip.lock);
	newest = node->gossip.pull.known_newest;
	lock_release(&node->gossip.lock);
	if (unanswered)
		actions_log_event(out, LOG_EVENT_PULL_UNANSWERED, "from=%lx held=%ld newest=%ld",
				  unanswered, held_version, newest);
	if (peer)
		pull_from(node, peer, newest, now, out);
}

void config_set_current(struct node *node, struct instant now, struct actions *out)
{
	struct member self = members_self(node->members);

	lock_acquire(&node->gossip.lock);
	node->gossip.boot.phase = BOOT_CURRENT;
	lock_release(&node->gossip.lock);
	actions_log_event(out, LOG_EVENT_NODE_CURRENT, "version=%ld",
			  history_version(node->history));
	if (self.state == MEMBER_LEAVING)
		return;
	self.state = MEMBER_ALIVE;
	fleet_update_self(node, &self, 0, out);
	fleet_ping_joining(node, now, out);
}

enum boot_step { BOOT_WAIT, BOOT_PING_SEEDS, BOOT_READ_LOG, BOOT_FINISH };

/* Returns true if this node holds what the log held at some time since the node started. While
 * nobody can confirm that, because the log is out, the newest version of several of the @p others
 * has to do, or that of one after a longer wait. LOCK_GOSSIP is held. */
static bool has_caught_up(const struct node *node, int64_t held_version, int others,
			  struct instant now)
{
	const struct boot_state *boot = &node->gossip.boot;
	int64_t joining_us = now.mono_us - boot->started_us;

	if (boot->current_peers == 0 || held_version < boot->newest_seen || !boot->members_known ||
	    !boot->marks_known)
		return false;
	if (node->gossip.confirm.confirmed_at_us >= boot->started_us)
		return true;
	if (joining_us < BOOT_CONFIRM_US)
		return false;
	return boot->current_peers >= MIN(BOOT_SAMPLE, others) ||
	       (joining_us >= 2 * BOOT_CONFIRM_US && deadline_passed(boot->log_at, now));
}

static enum boot_step next_boot_step(struct node *node, int64_t held_version, struct instant now)
{
	struct boot_state *boot = &node->gossip.boot;
	int others = members_count(node->members).live - 1;
	enum boot_step step = BOOT_WAIT;

	lock_acquire(&node->gossip.lock);
	if (boot->phase == BOOT_CURRENT)
		step = BOOT_WAIT;
	else if (has_caught_up(node, held_version, others, now))
		step = BOOT_FINISH;
	else if (boot->phase == BOOT_PEERS && boot->current_peers == 0 &&
		 deadline_passed(boot->log_at, now))
		step = BOOT_READ_LOG;
	else if (deadline_passed(boot->ping_at, now))
		step = BOOT_PING_SEEDS;
	if (step == BOOT_PING_SEEDS)
		boot->ping_at = deadline_after(now, BOOT_PING_US);
	if (step == BOOT_READ_LOG)
		boot->phase = BOOT_SYSTEM;
	lock_release(&node->gossip.lock);
	return step;
}

void config_boot_tick(struct node *node, struct instant now, struct actions *out)
{
	switch (next_boot_step(node, history_version(node->history), now)) {
	case BOOT_WAIT:
	case BOOT_READ_LOG:
		return;
	case BOOT_PING_SEEDS:
		fleet_ping_seeds(node, BOOT_SAMPLE, now, out);
		return;
	case BOOT_FINISH:
		config_set_current(node, now, out);
		return;
	}
	g_assert_not_reached();
}
