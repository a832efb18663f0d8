/*
 * Configuration: adverts, pulls, snapshots from peers, and the way of a joining node to the
 * newest version.
 */
#include "core/node_parts.h"

#define BOOT_ASK_US    (500 * US_PER_MS)
#define MEMBERS_ASK_US (1 * US_PER_S) /* then another peer is asked */

/* Tells who and what is newest; true if a pull from there starts now. */
static bool begin_pull(struct node *node, uint64_t from, int64_t newest, struct instant now)
{
	struct pull_state *pull = &node->spread.pull;
	bool begin;

	lock_acquire(&node->spread.lock);
	if (newest >= pull->known_newest) {
		pull->known_newest = newest;
		pull->known_from = from;
	}
	begin = (pull->from == 0 || deadline_passed(pull->until, now)) &&
		(pull->not_before.at_us == 0 || deadline_passed(pull->not_before, now));
	if (begin) {
		pull->from = from;
		pull->until = deadline_after(now, PULL_US);
	}
	lock_release(&node->spread.lock);
	return begin;
}

/* Files are large and cross between data centres once: whoever reads the log there has them soon.
 */
static bool waits_for_near(struct node *node, uint64_t from, int64_t newest, struct instant now)
{
	struct pull_state *pull = &node->spread.pull;
	struct rng rng = node_rng(node);
	struct member record;
	uint64_t near;
	bool waits;

	if (!node_is_current(node) || !members_get(node->members, from, &record) ||
	    label_equal(&record.data_centre, &node->options.data_centre) ||
	    members_random(node->members, &rng, true, &near, 1) == 0)
		return false;
	lock_acquire(&node->spread.lock);
	if (newest > pull->known_newest) {
		pull->known_newest = newest;
		pull->known_from = from;
		if (pull->far_at.at_us == 0)
			pull->far_at = deadline_after(now, FAR_PULL_US);
	}
	waits = pull->far_at.at_us && !deadline_passed(pull->far_at, now);
	lock_release(&node->spread.lock);
	return waits;
}

static void pull_from(struct node *node, uint64_t from, int64_t newest, struct instant now,
		      struct actions *out)
{
	struct message *message;
	int64_t have = history_version(node->history);

	if (newest <= have || waits_for_near(node, from, newest, now) ||
	    !begin_pull(node, from, newest, now))
		return;
	message = message_new(MESSAGE_PULL);
	message->pull.have = have;
	lock_acquire(&node->spread.lock);
	message->pull.whole = node->spread.pull.whole;
	lock_release(&node->spread.lock);
	actions_send(out, from, message);
}

static void hear_current(struct node *node, uint64_t from, const struct digest *digest)
{
	struct boot_state *boot = &node->spread.boot;
	bool known = false;

	lock_acquire(&node->spread.lock);
	for (int i = 0; i < boot->heard; i++)
		known |= boot->heard_from[i] == from;
	if (!known && boot->heard < BOOT_SAMPLE)
		boot->heard_from[boot->heard++] = from;
	if (digest->version > boot->newest_heard)
		boot->newest_heard = digest->version;
	lock_release(&node->spread.lock);
}

static void join_snapshot_marks(struct node *node, const struct digest *digest)
{
	lock_acquire(&node->spread.lock);
	if (digest->snapshot_version > node->spread.snapshot_version)
		node->spread.snapshot_version = digest->snapshot_version;
	if (digest->snapshot_at_us > node->spread.snapshot_at_us)
		node->spread.snapshot_at_us = digest->snapshot_at_us;
	lock_release(&node->spread.lock);
}

static void ask_members(struct node *node, uint64_t from, struct instant now, struct actions *out)
{
	struct boot_state *boot = &node->spread.boot;
	bool ask;

	lock_acquire(&node->spread.lock);
	ask = !boot->members_known &&
	      (boot->members_ask_at.at_us == 0 || deadline_passed(boot->members_ask_at, now));
	if (ask)
		boot->members_ask_at = deadline_after(now, MEMBERS_ASK_US);
	lock_release(&node->spread.lock);
	if (ask)
		fleet_ask_members(node, from, true, out);
}

void config_members_known(struct node *node)
{
	lock_acquire(&node->spread.lock);
	node->spread.boot.members_known = true;
	lock_release(&node->spread.lock);
}

void config_on_digest(struct node *node, uint64_t from, const struct digest *digest,
		      struct instant now, struct actions *out)
{
	join_snapshot_marks(node, digest);
	if (digest->current && !node_is_current(node)) {
		hear_current(node, from, digest);
		ask_members(node, from, now, out);
	}
	pull_from(node, from, digest->version, now, out);
}

void config_on_advert(struct node *node, uint64_t from, int64_t version, struct instant now,
		      struct actions *out)
{
	pull_from(node, from, version, now, out);
}

void config_on_retry(struct node *node, uint64_t from, int64_t after_us, struct instant now)
{
	struct pull_state *pull = &node->spread.pull;

	lock_acquire(&node->spread.lock);
	if (pull->from == from) {
		pull->from = 0;
		pull->not_before = deadline_after(now, after_us);
	}
	lock_release(&node->spread.lock);
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

	if (!fleet_may_serve(node, &node->spread.pulls_served, PULLS_PER_ROUND)) {
		struct rng rng = node_rng(node);

		message = message_new(MESSAGE_RETRY);
		message->retry_after_us = (int64_t)rng_below(&rng, ROUND_US);
		actions_send(out, from, message);
		return;
	}
	count = history_since(node->history, pull->pull.have, pull->pull.whole, records);
	if (count < 0) {
		send_snapshot(node, from, out);
		return;
	}
	message = message_new(MESSAGE_RECORDS);
	message->records.newest = history_version(node->history);
	message->records.count = count;
	message->records.records = g_memdup2(records, (gsize)count * sizeof(*records));
	actions_send(out, from, message);
}

static void note_judgement(const struct judgement *judgement, const struct change *change,
			   struct actions *out)
{
	switch (judgement->kind) {
	case JUDGED_ACCEPTED:
		actions_note(out, NOTE_CHANGE_ACCEPTED, "offset=%ld file=%.*s id=%.*s",
			     judgement->offset, STR_ARG(label_str(&change->file)),
			     STR_ARG(label_str(&change->id)));
		return;
	case JUDGED_CONFLICT:
	case JUDGED_DUPLICATE:
	case JUDGED_INVALID:
		actions_note(out, NOTE_CHANGE_REJECTED, "offset=%ld file=%.*s why=\"%s\"",
			     judgement->offset, STR_ARG(label_str(&change->file)),
			     judgement->reason);
		return;
	case JUDGED_SUPERSEDED:
	case JUDGED_OUT_OF_ORDER:
		return;
	}
	g_assert_not_reached();
}

static void config_changed(struct node *node)
{
	struct config *config = node_config(node);

	moves_configure(node->moves, config);
	config_unref(config);
}

bool config_take_records(struct node *node, const struct change_record *records, int count,
			 struct actions *out)
{
	bool moved = false;

	for (int i = 0; i < count; i++) {
		struct judgement judgement =
			history_offer(node->history, records[i].offset, records[i].change);

		moved |= judgement.kind != JUDGED_OUT_OF_ORDER;
		note_judgement(&judgement, records[i].change, out);
	}
	if (moved)
		config_changed(node);
	return moved;
}

void config_advertise(struct node *node, struct actions *out)
{
	struct message *message = message_new(MESSAGE_ADVERT);

	message->version = history_version(node->history);
	node_tell_some(node, message, out);
}

void node_complete(struct node *node, struct message *message)
{
	int whole;

	if (message->kind != MESSAGE_RECORDS)
		return;
	whole = history_complete(node->history, message->records.records, message->records.count);
	for (int i = whole; i < message->records.count; i++)
		change_record_clear(&message->records.records[i]);
	if (message->records.count) {
		lock_acquire(&node->spread.lock);
		node->spread.pull.whole = whole < message->records.count;
		lock_release(&node->spread.lock);
	}
	message->records.count = whole;
}

/* Ends the pull from a peer and tells whether somebody is known to have more. */
static uint64_t end_pull(struct node *node, uint64_t from, bool moved, int64_t *newest)
{
	struct pull_state *pull = &node->spread.pull;
	int64_t have = history_version(node->history);
	uint64_t next = 0;

	lock_acquire(&node->spread.lock);
	if (pull->from == from)
		pull->from = 0;
	if (pull->known_newest <= have)
		pull->far_at = (struct deadline){ 0 };
	if (pull->known_newest > have && (moved || pull->whole)) {
		next = pull->known_from;
		*newest = pull->known_newest;
	}
	lock_release(&node->spread.lock);
	return next;
}

/* Each edition costs its parsing: the next one is taken a moment later, with those after it. */
static void gather(struct node *node, struct instant now)
{
	lock_acquire(&node->spread.lock);
	node->spread.pull.not_before = deadline_after(now, GATHER_US);
	lock_release(&node->spread.lock);
}

static void after_pull(struct node *node, uint64_t from, bool moved, struct instant now,
		       struct actions *out)
{
	int64_t newest = 0;
	uint64_t next = end_pull(node, from, moved, &newest);

	if (moved) {
		config_advertise(node, out);
		if (node_is_current(node))
			gather(node, now);
	}
	if (next)
		pull_from(node, next, newest, now, out);
}

void config_on_records(struct node *node, uint64_t from, const struct message *message,
		       struct instant now, struct actions *out)
{
	bool moved =
		config_take_records(node, message->records.records, message->records.count, out);

	after_pull(node, from, moved, now, out);
}

static void assembly_start(struct assembly *assembly, const struct snapshot_part *part)
{
	g_free(assembly->have);
	if (assembly->files)
		g_ptr_array_unref(assembly->files);
	*assembly = (struct assembly){ .version = part->version,
				       .accepted = part->accepted,
				       .written_at_us = part->written_at_us,
				       .count = part->count,
				       .have = g_new0(bool, part->count),
				       .files = new_files() };
}

/* Adds a part; gives the files once all parts are there. */
static GPtrArray *assemble(struct assembly *assembly, const struct snapshot_part *part)
{
	GPtrArray *files = NULL;

	if (part->count < 1 || part->count > SNAPSHOT_PARTS_MAX || part->index < 0 ||
	    part->index >= part->count)
		return NULL;
	if (part->version > assembly->version ||
	    (part->version == assembly->version && part->count != assembly->count))
		assembly_start(assembly, part);
	if (part->version != assembly->version || !assembly->files || assembly->have[part->index])
		return NULL;
	assembly->have[part->index] = true;
	for (guint i = 0; i < part->files->len; i++)
		g_ptr_array_add(assembly->files,
				accepted_file_copy(g_ptr_array_index(part->files, i)));
	if (++assembly->seen == assembly->count) {
		files = assembly->files;
		assembly->files = NULL;
	}
	return files;
}

bool config_take_part(struct node *node, struct assembly *assembly,
		      const struct snapshot_part *part, struct actions *out)
{
	GPtrArray *files;

	moves_on_states(node, part->states, false, out);
	lock_acquire(&node->spread.lock);
	files = assemble(assembly, part);
	lock_release(&node->spread.lock);
	if (!files || !history_import(node->history, files, part->version, part->accepted))
		return false;
	config_changed(node);
	actions_note(out, NOTE_SNAPSHOT_LOADED, "version=%ld parts=%d", part->version, part->count);
	return true;
}

void config_on_snapshot(struct node *node, uint64_t from, const struct snapshot_part *part,
			struct instant now, struct actions *out)
{
	if (config_take_part(node, &node->spread.from_peer, part, out))
		after_pull(node, from, true, now, out);
}

/* A pull that got no answer is tried elsewhere. */
void config_tick(struct node *node, struct instant now, struct actions *out)
{
	struct pull_state *pull = &node->spread.pull;
	struct rng rng = node_rng(node);
	int64_t have = history_version(node->history);
	int64_t newest = 0;
	uint64_t peer = 0;
	bool retry;

	lock_acquire(&node->spread.lock);
	if (pull->known_newest <= have)
		pull->far_at = (struct deadline){ 0 };
	peer = pull->from == 0 ? pull->known_from : 0;
	retry = pull->known_newest > have &&
		(pull->from == 0 || deadline_passed(pull->until, now)) &&
		(pull->not_before.at_us == 0 || deadline_passed(pull->not_before, now)) &&
		(pull->far_at.at_us == 0 || deadline_passed(pull->far_at, now));
	newest = pull->known_newest;
	lock_release(&node->spread.lock);
	/* Who told of it has it; one that did not answer is left for another. */
	if (retry && (peer || members_random(node->members, &rng, false, &peer, 1) == 1))
		pull_from(node, peer, newest, now, out);
}

void config_now_current(struct node *node, struct actions *out)
{
	struct member self = members_self(node->members);

	lock_acquire(&node->spread.lock);
	node->spread.boot.phase = BOOT_CURRENT;
	lock_release(&node->spread.lock);
	actions_note(out, NOTE_NODE_CURRENT, "version=%ld", history_version(node->history));
	if (self.state == MEMBER_LEAVING)
		return;
	self.state = MEMBER_ALIVE;
	fleet_update_self(node, &self, 0, out);
}

enum boot_step { BOOT_WAIT, BOOT_ASK, BOOT_TURN_TO_LOG, BOOT_FINISH };

/* Whether enough current peers were heard, and what they hold is held here too. */
static bool peers_suffice(const struct node *node, int64_t have, struct instant now)
{
	const struct boot_state *boot = &node->spread.boot;
	int wanted = MIN(BOOT_SAMPLE, node->options.seed_count);

	if (boot->heard == 0 || have < boot->newest_heard || !boot->members_known)
		return false;
	return boot->heard >= wanted || deadline_passed(boot->log_at, now);
}

static enum boot_step next_boot_step(struct node *node, int64_t have, struct instant now)
{
	struct boot_state *boot = &node->spread.boot;
	enum boot_step step = BOOT_WAIT;

	lock_acquire(&node->spread.lock);
	if (boot->phase == BOOT_CURRENT)
		step = BOOT_WAIT;
	else if (peers_suffice(node, have, now))
		step = BOOT_FINISH;
	else if (boot->phase == BOOT_PEERS && boot->heard == 0 &&
		 deadline_passed(boot->log_at, now))
		step = BOOT_TURN_TO_LOG;
	else if (deadline_passed(boot->ask_at, now))
		step = BOOT_ASK;
	if (step == BOOT_ASK)
		boot->ask_at = deadline_after(now, BOOT_ASK_US);
	if (step == BOOT_TURN_TO_LOG)
		boot->phase = BOOT_SYSTEM;
	lock_release(&node->spread.lock);
	return step;
}

void config_boot_tick(struct node *node, struct instant now, struct actions *out)
{
	switch (next_boot_step(node, history_version(node->history), now)) {
	case BOOT_WAIT:
	case BOOT_TURN_TO_LOG:
		return;
	case BOOT_ASK:
		fleet_ping_seeds(node, BOOT_SAMPLE, out);
		return;
	case BOOT_FINISH:
		config_now_current(node, out);
		return;
	}
	g_assert_not_reached();
}
