/*
 * The platform's log: choice of the readers, reads of a joining node, and appends to the system
 * stream (snapshots and states of moves).
 */
#include "core/node_parts.h"

#define SNAPSHOT_RANK_DELAY_US (5 * US_PER_S)
#define SNAPSHOT_RETRY_US      (10 * US_PER_S)
#define APPEND_RETRY_MAX_US    (2 * US_PER_S) /* operators wait for the end of a move */
#define EXPIRED_PAUSE_US       (50 * US_PER_MS)

enum {
	APPENDS_MAX = 4,
	SNAPSHOT_RANKS = 4,
	READERS_FLEET_MAX = 4, /* each reads every change; nodes that nobody confirms read too */
};

/* Selects the stream to read now and the first offset; returns false if there is none. */
static bool next_read(struct node *node, int64_t held_version, struct instant now,
		      enum log_stream *stream, int64_t *from)
{
	struct gossip_state *gossip = &node->gossip;
	bool due = gossip->log.retry_at.at_us == 0 || deadline_passed(gossip->log.retry_at, now);

	switch (gossip->boot.phase) {
	case BOOT_PEERS:
		return false;
	case BOOT_SYSTEM:
		*stream = STREAM_SYSTEM;
		*from = gossip->log.system_next;
		break;
	case BOOT_CONFIG:
		*stream = STREAM_CONFIG;
		*from = held_version + 1;
		break;
	case BOOT_CURRENT:
		if (!gossip->log.reader && !gossip->log.expired)
			return false;
		*stream = gossip->log.expired ? STREAM_SYSTEM : STREAM_CONFIG;
		*from = gossip->log.expired ? gossip->log.system_next : held_version + 1;
		break;
	}
	return due && !gossip->log.reading[*stream];
}

static void read_log(struct node *node, struct instant now, struct actions *out)
{
	int64_t held_version = history_version(node->history);
	enum log_stream stream = STREAM_CONFIG;
	int64_t from = 0;
	bool current;
	bool read;

	lock_acquire(&node->gossip.lock);
	read = next_read(node, held_version, now, &stream, &from);
	if (read) {
		node->gossip.log.reading[stream] = true;
		if (stream == STREAM_CONFIG)
			node->gossip.log.asked_at = now;
	}
	current = node->gossip.boot.phase == BOOT_CURRENT;
	lock_release(&node->gossip.lock);
	if (read)
		actions_read(out, stream, 0, from,
			     current ? deadline_after(now, LOG_POLL_US) : (struct deadline){ 1 });
}

/* Appends states of moves that are not in the log yet, a few at once: otherwise a burst would
 * exceed the rate limit of a log that is available again. */
static void append_move_states(struct node *node, struct instant now, struct actions *out)
{
	struct gossip_state *gossip = &node->gossip;
	int considered = 0;

	lock_acquire(&gossip->lock);
	for (guint i = 0; i < gossip->unsaved->len && considered < APPENDS_MAX; i++) {
		struct unsaved_move *unsaved =
			&g_array_index(gossip->unsaved, struct unsaved_move, i);

		considered++;
		if (unsaved->tag || !(gossip->append_retry_at.at_us == 0 ||
				      deadline_passed(gossip->append_retry_at, now)))
			continue;
		unsaved->tag = ++gossip->tag;
		actions_append(out, STREAM_SYSTEM, 0, unsaved->tag,
			       (struct log_record){ .kind = LOG_MOVE, .move = unsaved->move });
	}
	lock_release(&gossip->lock);
}

void log_tick(struct node *node, struct instant now, struct actions *out)
{
	read_log(node, now, out);
	append_move_states(node, now, out);
}

void log_save_move(struct node *node, const struct saved_move *move)
{
	struct unsaved_move unsaved = { .move = *move };
	GArray *list = node->gossip.unsaved;

	lock_acquire(&node->gossip.lock);
	for (guint i = 0; i < list->len; i++) {
		struct unsaved_move *old = &g_array_index(list, struct unsaved_move, i);

		if (old->move.state.id != move->state.id || old->tag)
			continue;
		move_state_join(&old->move.state, &move->state);
		lock_release(&node->gossip.lock);
		return;
	}
	if (list->len < UNSAVED_MAX)
		g_array_append_val(list, unsaved);
	lock_release(&node->gossip.lock);
}

static void update_reader(struct node *node, struct actions *out)
{
	int rank = members_rank(node->members, SCOPE_DATA_CENTRE, node->options.data_centre, 0);
	int fleet_rank = members_rank(node->members, SCOPE_ALL, (struct label){ 0 }, 0);
	bool reader = rank < node->options.readers && fleet_rank < READERS_FLEET_MAX;
	bool changed;

	lock_acquire(&node->gossip.lock);
	reader = reader && !node->gossip.stopping;
	changed = node->gossip.log.reader != reader && node->gossip.boot.phase == BOOT_CURRENT;
	if (changed)
		node->gossip.log.reader = reader;
	lock_release(&node->gossip.lock);
	if (changed)
		actions_log_event(out, reader ? LOG_EVENT_READER_STARTED : LOG_EVENT_READER_STOPPED,
				  "rank=%d", rank);
}

/* Returns the microseconds since a snapshot became due; negative if none is due. */
static int64_t snapshot_due_us(struct node *node, const struct config *config, struct instant now)
{
	int64_t every_us = node->options.log_retention_us / 4;
	int64_t due_us = -1;

	lock_acquire(&node->gossip.lock);
	if (node->options.log_retains_files || node->gossip.boot.phase != BOOT_CURRENT ||
	    config->accepted == 0 || node->gossip.stopping ||
	    (node->gossip.snapshot_not_before.at_us &&
	     !deadline_passed(node->gossip.snapshot_not_before, now)))
		due_us = -1;
	else if (config->version - node->gossip.snapshot_version >= SNAPSHOT_EVERY)
		due_us = SNAPSHOT_RANKS * SNAPSHOT_RANK_DELAY_US;
	else
		due_us = now.wall_us - node->gossip.snapshot_at_us - every_us;
	lock_release(&node->gossip.lock);
	return due_us;
}

static void append_snapshot(struct node *node, struct instant now, struct actions *out)
{
	GPtrArray *parts = config_snapshot_parts(node, now);

	lock_acquire(&node->gossip.lock);
	node->gossip.snapshot_first_tag = node->gossip.tag + 1;
	node->gossip.snapshot_parts_missing = (int)parts->len;
	for (guint i = 0; i < parts->len; i++) {
		struct snapshot_part *part = g_ptr_array_index(parts, i);
		struct log_record record = { .kind = LOG_SNAPSHOT, .snapshot = *part };

		part->files = NULL;
		part->states = NULL;
		node->gossip.snapshot_last_tag = ++node->gossip.tag;
		node->gossip.snapshot_pending_version = record.snapshot.version;
		actions_append(out, STREAM_SYSTEM, 0, node->gossip.tag, record);
	}
	node->gossip.snapshot_not_before = deadline_after(now, SNAPSHOT_RETRY_US);
	lock_release(&node->gossip.lock);
	g_ptr_array_unref(parts);
}

void log_round(struct node *node, struct instant now, struct actions *out)
{
	struct config *config = node_config(node);
	int64_t due_us = snapshot_due_us(node, config, now);
	int rank;

	update_reader(node, out);
	confirm_update_rank(node);
	if (due_us >= 0) {
		rank = members_rank(node->members, SCOPE_ALL, (struct label){ 0 },
				    (uint64_t)(config->version / SNAPSHOT_EVERY));
		if (rank < SNAPSHOT_RANKS && due_us >= rank * SNAPSHOT_RANK_DELAY_US)
			append_snapshot(node, now, out);
	}
	config_unref(config);
}

static void note_log_available(struct node *node, struct actions *out)
{
	bool was_unavailable;

	lock_acquire(&node->gossip.lock);
	was_unavailable = node->gossip.log.unavailable;
	node->gossip.log.unavailable = false;
	node->gossip.log.retry_us = LOG_RETRY_MIN_US;
	node->gossip.log.retry_at = (struct deadline){ 0 };
	lock_release(&node->gossip.lock);
	if (was_unavailable)
		actions_log_event(out, LOG_EVENT_PLATFORM_LOG_BACK, "version=%ld",
				  history_version(node->history));
}

static void apply_changes(struct node *node, const struct event *event, struct instant now,
			  struct actions *out)
{
	struct change_record *records = g_new0(struct change_record, event->batch.count + 1);
	struct change_source source = { .way = CHANGE_FROM_LOG };
	bool at_end;
	int count = 0;

	for (int i = 0; i < event->batch.count; i++) {
		const struct log_record *record = &event->batch.records[i];

		if (record->kind != LOG_CHANGE)
			continue;
		records[count].offset = record->offset;
		records[count].change = record->change;
		count++;
	}
	if (config_apply_records(node, records, count, &source, now, out)) {
		config_advertise(node, now, out);
		at_end = history_version(node->history) >= event->batch.newest;
		lock_acquire(&node->gossip.lock);
		if (node->gossip.boot.phase == BOOT_CURRENT && at_end)
			node->gossip.log.retry_at = deadline_after(now, BATCH_DELAY_US);
		lock_release(&node->gossip.lock);
	}
	g_free(records);
}

static void apply_move_state(struct node *node, const struct move_state *state, struct actions *out)
{
	GArray *states = g_array_new(FALSE, FALSE, sizeof(*state));

	g_array_append_vals(states, state, 1);
	moves_on_states(node, states, false, out);
	g_array_unref(states);
}

static void apply_system_records(struct node *node, const struct event *event, struct instant now,
				 struct actions *out)
{
	struct change_source source = { .way = CHANGE_FROM_LOG };

	for (int i = 0; i < event->batch.count; i++) {
		const struct log_record *record = &event->batch.records[i];

		lock_acquire(&node->gossip.lock);
		if (record->offset >= node->gossip.log.system_next)
			node->gossip.log.system_next = record->offset + 1;
		lock_release(&node->gossip.lock);
		switch (record->kind) {
		case LOG_SNAPSHOT:
			config_apply_snapshot_part(node, &node->gossip.from_log, &record->snapshot,
						   &source, now, out);
			break;
		case LOG_MOVE:
			apply_move_state(node, &record->move.state, out);
			break;
		case LOG_CHANGE:
		case LOG_CLAIMS:
		case LOG_INVALID:
			actions_log_event(out, LOG_EVENT_PLATFORM_RECORD_BAD,
					  "stream=system offset=%ld", record->offset);
			break;
		}
	}
}

/* Advances a joining node, or ends the read of a snapshot, at the end of a stream. */
static void handle_end_of_stream(struct node *node, enum log_stream stream, int64_t newest,
				 struct instant now, struct actions *out)
{
	int64_t held_version = history_version(node->history);
	bool current = false;

	lock_acquire(&node->gossip.lock);
	if (node->gossip.boot.phase == BOOT_SYSTEM && stream == STREAM_SYSTEM &&
	    node->gossip.log.system_next > newest)
		node->gossip.boot.phase = BOOT_CONFIG;
	else if (node->gossip.boot.phase == BOOT_CONFIG && stream == STREAM_CONFIG)
		current = held_version >= newest;
	else if (stream == STREAM_SYSTEM && node->gossip.log.system_next > newest)
		node->gossip.log.expired = false;
	lock_release(&node->gossip.lock);
	if (current)
		config_set_current(node, now, out);
}

/* Applies the answer to a read that confirms the held version or brings a newer one. */
static void handle_check(struct node *node, const struct event *event, struct instant now,
			 struct actions *out)
{
	struct instant asked_at = confirm_check_done(node);

	note_log_available(node, out);
	apply_changes(node, event, now, out);
	confirm_prove_from_log(node, event->batch.newest, asked_at);
	confirm_from_log(node, event->batch.newest, asked_at, now, out);
}

/* An empty answer was made just now; one with records when the first of them was there, at any time
 * since the request. */
static void confirm_from_poll(struct node *node, const struct event *event, struct instant now,
			      struct actions *out)
{
	struct instant at = now;
	struct instant asked_at;

	lock_acquire(&node->gossip.lock);
	asked_at = node->gossip.log.asked_at;
	if (event->batch.count)
		at = asked_at;
	lock_release(&node->gossip.lock);
	confirm_prove_from_log(node, event->batch.newest, asked_at);
	confirm_from_log(node, event->batch.newest, at, now, out);
}

void log_on_batch(struct node *node, const struct event *event, struct instant now,
		  struct actions *out)
{
	if (event->batch.check) {
		handle_check(node, event, now, out);
		return;
	}
	lock_acquire(&node->gossip.lock);
	node->gossip.log.reading[event->batch.stream] = false;
	lock_release(&node->gossip.lock);
	note_log_available(node, out);
	switch (event->batch.stream) {
	case STREAM_CONFIG:
		apply_changes(node, event, now, out);
		confirm_from_poll(node, event, now, out);
		break;
	case STREAM_SYSTEM:
		apply_system_records(node, event, now, out);
		break;
	case STREAM_KEYS:
		return;
	}
	handle_end_of_stream(node, event->batch.stream, event->batch.newest, now, out);
	read_log(node, now, out);
}

/* Draws the time of the next attempt with jitter. The delay grows only for a log that answers and
 * limits its rate; one that is unavailable is retried soon. LOCK_GOSSIP is held. */
static struct deadline back_off(struct gossip_state *gossip, int64_t *retry_us,
				enum log_failure failure, struct instant now)
{
	int64_t jitter_us = (int64_t)rng_below(&gossip->rng, (uint64_t)*retry_us);
	struct deadline next = deadline_after(now, *retry_us / 2 + jitter_us);

	if (failure == LOG_FAILURE_LIMITED)
		*retry_us = MIN(*retry_us * 2, LOG_RETRY_MAX_US);
	return next;
}

/* Logs a failure that the log service answered; its silence is logged once, when it begins. */
static void report_read_failure(struct node *node, const struct event *event, struct instant now,
				struct actions *out)
{
	int64_t held_version = history_version(node->history);
	int64_t retry_us;

	lock_acquire(&node->gossip.lock);
	retry_us = deadline_remaining_us(node->gossip.log.retry_at, now);
	lock_release(&node->gossip.lock);
	switch (event->failed.failure) {
	case LOG_FAILURE_UNAVAILABLE:
		return;
	case LOG_FAILURE_LIMITED:
		actions_log_event(out, LOG_EVENT_PLATFORM_LOG_LIMITED, "stream=%d retry_ms=%lld",
				  (int)event->failed.stream, retry_us / US_PER_MS);
		return;
	case LOG_FAILURE_EXPIRED:
		actions_log_event(out, LOG_EVENT_PLATFORM_LOG_EXPIRED,
				  "stream=%d held=%ld retry_ms=%lld", (int)event->failed.stream,
				  held_version, retry_us / US_PER_MS);
		return;
	}
	g_assert_not_reached();
}

void log_on_failed(struct node *node, const struct event *event, struct instant now,
		   struct actions *out)
{
	struct gossip_state *gossip = &node->gossip;
	bool newly_unavailable = false;

	if (event->failed.check) {
		confirm_check_failed(node, event->failed.failure, now);
		return;
	}
	lock_acquire(&gossip->lock);
	gossip->log.reading[event->failed.stream] = false;
	gossip->log.retry_at = back_off(gossip, &gossip->log.retry_us, event->failed.failure, now);
	switch (event->failed.failure) {
	case LOG_FAILURE_UNAVAILABLE:
		newly_unavailable = !gossip->log.unavailable;
		gossip->log.unavailable = true;
		break;
	case LOG_FAILURE_LIMITED:
		break;
	case LOG_FAILURE_EXPIRED:
		/* A snapshot contains the expired records. The system stream is read from its
		 * oldest retained record. The service answers, so that the next read needs no
		 * backoff, only a pause in case this repeats. */
		gossip->log.retry_at = deadline_after(now, EXPIRED_PAUSE_US);
		if (event->failed.stream == STREAM_SYSTEM)
			gossip->log.system_next = 0;
		else if (gossip->boot.phase == BOOT_CONFIG)
			gossip->boot.phase = BOOT_SYSTEM;
		else if (gossip->boot.phase == BOOT_CURRENT)
			gossip->log.expired = true;
		if (event->failed.stream == STREAM_CONFIG)
			gossip->log.system_next = 0;
		break;
	}
	lock_release(&gossip->lock);
	if (newly_unavailable)
		actions_log_event(out, LOG_EVENT_PLATFORM_LOG_OUT, "stream=%d",
				  (int)event->failed.stream);
	report_read_failure(node, event, now, out);
}

static bool finish_move_append(struct gossip_state *gossip, uint64_t tag, bool done)
{
	for (guint i = 0; i < gossip->unsaved->len; i++) {
		struct unsaved_move *unsaved =
			&g_array_index(gossip->unsaved, struct unsaved_move, i);

		if (unsaved->tag != tag)
			continue;
		unsaved->tag = 0;
		if (done)
			g_array_remove_index(gossip->unsaved, i);
		return true;
	}
	return false;
}

/* Counts a part that was appended; returns whether it was the last one missing. The parts of an
 * earlier snapshot no longer count. LOCK_GOSSIP is held. */
static bool finish_snapshot_part(struct gossip_state *gossip, uint64_t tag)
{
	return tag >= gossip->snapshot_first_tag && tag <= gossip->snapshot_last_tag &&
	       --gossip->snapshot_parts_missing == 0;
}

void log_on_append(struct node *node, uint64_t tag, bool done, struct instant now,
		   struct actions *out)
{
	struct gossip_state *gossip = &node->gossip;
	int64_t written_version = 0;

	lock_acquire(&gossip->lock);
	if (done) {
		gossip->append_retry_us = LOG_RETRY_MIN_US;
		gossip->append_retry_at = (struct deadline){ 0 };
	} else {
		gossip->append_retry_at =
			back_off(gossip, &gossip->append_retry_us, LOG_FAILURE_LIMITED, now);
		gossip->append_retry_us = MIN(gossip->append_retry_us, APPEND_RETRY_MAX_US);
	}
	if (!finish_move_append(gossip, tag, done) && done && finish_snapshot_part(gossip, tag)) {
		written_version = gossip->snapshot_pending_version;
		gossip->snapshot_version = MAX(gossip->snapshot_version, written_version);
		gossip->snapshot_at_us = MAX(gossip->snapshot_at_us, now.wall_us);
	}
	lock_release(&gossip->lock);
	if (written_version)
		actions_log_event(out, LOG_EVENT_SNAPSHOT_WRITTEN, "version=%ld", written_version);
}
