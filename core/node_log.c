/*
 * The platform's log: who reads it, what a fresh fleet reads, and what is written to the system's
 * stream (snapshots and states of moves).
 */
#include "core/node_parts.h"

#define SNAPSHOT_RANK_US  (5 * US_PER_S)
#define SNAPSHOT_AGAIN_US (10 * US_PER_S)

enum { APPENDS_AT_ONCE = 4, SNAPSHOT_RANKS = 4 };

/* Which stream is to be read now, and from where; false if none. */
static bool next_read(struct node *node, int64_t have, struct instant now, enum log_stream *stream,
		      int64_t *from)
{
	struct spread_state *spread = &node->spread;
	bool due = spread->log.retry_at.at_us == 0 || deadline_passed(spread->log.retry_at, now);

	switch (spread->boot.phase) {
	case BOOT_PEERS:
		return false;
	case BOOT_SYSTEM:
		*stream = STREAM_SYSTEM;
		*from = spread->log.system_next;
		break;
	case BOOT_CONFIG:
		*stream = STREAM_CONFIG;
		*from = have + 1;
		break;
	case BOOT_CURRENT:
		if (!spread->log.reader)
			return false;
		*stream = spread->log.lapsed ? STREAM_SYSTEM : STREAM_CONFIG;
		*from = spread->log.lapsed ? spread->log.system_next : have + 1;
		break;
	}
	return due && !spread->log.reading[*stream];
}

static void read_log(struct node *node, struct instant now, struct actions *out)
{
	int64_t have = history_version(node->history);
	enum log_stream stream = STREAM_CONFIG;
	int64_t from = 0;
	bool current;
	bool read;

	lock_acquire(&node->spread.lock);
	read = next_read(node, have, now, &stream, &from);
	if (read)
		node->spread.log.reading[stream] = true;
	current = node->spread.boot.phase == BOOT_CURRENT;
	lock_release(&node->spread.lock);
	if (read)
		actions_read(out, stream, 0, from,
			     current ? deadline_after(now, LOG_WAIT_US) : (struct deadline){ 1 });
}

/* States of moves that are not in the log yet; a few at once, so that a return of the log is
 * no burst beyond its rate. */
static void append_states(struct node *node, struct instant now, struct actions *out)
{
	struct spread_state *spread = &node->spread;
	int under_way = 0;

	lock_acquire(&spread->lock);
	for (guint i = 0; i < spread->unsaved->len && under_way < APPENDS_AT_ONCE; i++) {
		struct unsaved_move *unsaved =
			&g_array_index(spread->unsaved, struct unsaved_move, i);

		under_way++;
		if (unsaved->tag || !(spread->log.retry_at.at_us == 0 ||
				      deadline_passed(spread->log.retry_at, now)))
			continue;
		unsaved->tag = ++spread->tag;
		actions_append(out, STREAM_SYSTEM, 0, unsaved->tag,
			       (struct log_record){ .kind = LOG_MOVE, .move = unsaved->move });
	}
	lock_release(&spread->lock);
}

void log_tick(struct node *node, struct instant now, struct actions *out)
{
	read_log(node, now, out);
	append_states(node, now, out);
}

void log_save_move(struct node *node, const struct saved_move *move)
{
	struct unsaved_move unsaved = { .move = *move };
	GArray *list = node->spread.unsaved;

	lock_acquire(&node->spread.lock);
	for (guint i = 0; i < list->len; i++) {
		struct unsaved_move *old = &g_array_index(list, struct unsaved_move, i);

		if (old->move.state.id != move->state.id || old->tag)
			continue;
		move_state_join(&old->move.state, &move->state);
		lock_release(&node->spread.lock);
		return;
	}
	if (list->len < UNSAVED_MAX)
		g_array_append_val(list, unsaved);
	lock_release(&node->spread.lock);
}

static void update_reader(struct node *node, struct actions *out)
{
	int rank = members_rank(node->members, SCOPE_DATA_CENTRE, node->options.data_centre, 0);
	bool reader = rank < node->options.readers;
	bool changed;

	lock_acquire(&node->spread.lock);
	reader = reader && !node->spread.stopping;
	changed = node->spread.log.reader != reader && node->spread.boot.phase == BOOT_CURRENT;
	if (changed)
		node->spread.log.reader = reader;
	lock_release(&node->spread.lock);
	if (changed)
		actions_note(out, reader ? NOTE_READER_STARTED : NOTE_READER_STOPPED, "rank=%d",
			     rank);
}

/* How long a snapshot has been due; negative if it is not. */
static int64_t snapshot_due_us(struct node *node, const struct config *config, struct instant now)
{
	int64_t every_us = node->options.log_retention_us / 4;
	int64_t due_us = -1;

	lock_acquire(&node->spread.lock);
	if (node->options.log_keeps_files || node->spread.boot.phase != BOOT_CURRENT ||
	    config->accepted == 0 || node->spread.stopping ||
	    (node->spread.snapshot_not_before.at_us &&
	     !deadline_passed(node->spread.snapshot_not_before, now)))
		due_us = -1;
	else if (config->version - node->spread.snapshot_version >= SNAPSHOT_EVERY)
		due_us = SNAPSHOT_RANKS * SNAPSHOT_RANK_US;
	else
		due_us = now.wall_us - node->spread.snapshot_at_us - every_us;
	lock_release(&node->spread.lock);
	return due_us;
}

static void append_snapshot(struct node *node, struct instant now, struct actions *out)
{
	GPtrArray *parts = config_snapshot_parts(node, now);

	lock_acquire(&node->spread.lock);
	for (guint i = 0; i < parts->len; i++) {
		struct snapshot_part *part = g_ptr_array_index(parts, i);
		struct log_record record = { .kind = LOG_SNAPSHOT, .snapshot = *part };

		part->files = NULL;
		part->states = NULL;
		node->spread.snapshot_tag = ++node->spread.tag;
		node->spread.snapshot_pending_version = record.snapshot.version;
		actions_append(out, STREAM_SYSTEM, 0, node->spread.snapshot_tag, record);
	}
	node->spread.snapshot_not_before = deadline_after(now, SNAPSHOT_AGAIN_US);
	lock_release(&node->spread.lock);
	g_ptr_array_unref(parts);
}

void log_round(struct node *node, struct instant now, struct actions *out)
{
	struct config *config = node_config(node);
	int64_t due_us = snapshot_due_us(node, config, now);
	int rank;

	update_reader(node, out);
	if (due_us >= 0) {
		rank = members_rank(node->members, SCOPE_ALL, (struct label){ 0 },
				    (uint64_t)(config->version / SNAPSHOT_EVERY));
		if (rank < SNAPSHOT_RANKS && due_us >= rank * SNAPSHOT_RANK_US)
			append_snapshot(node, now, out);
	}
	config_unref(config);
}

static void log_answered(struct node *node, struct actions *out)
{
	bool was_out;

	lock_acquire(&node->spread.lock);
	was_out = node->spread.log.out;
	node->spread.log.out = false;
	node->spread.log.retry_us = LOG_RETRY_MIN_US;
	node->spread.log.retry_at = (struct deadline){ 0 };
	lock_release(&node->spread.lock);
	if (was_out)
		actions_note(out, NOTE_PLATFORM_LOG_BACK, "version=%ld",
			     history_version(node->history));
}

static void take_changes(struct node *node, const struct event *event, struct instant now,
			 struct actions *out)
{
	struct change_record *records = g_new0(struct change_record, event->batch.count + 1);
	int count = 0;

	for (int i = 0; i < event->batch.count; i++) {
		const struct log_record *record = &event->batch.records[i];

		if (record->kind != LOG_CHANGE)
			continue;
		records[count].offset = record->offset;
		records[count].change = record->change;
		count++;
	}
	if (config_take_records(node, records, count, out)) {
		config_advertise(node, out);
		lock_acquire(&node->spread.lock);
		if (node->spread.boot.phase == BOOT_CURRENT)
			node->spread.log.retry_at = deadline_after(now, GATHER_US);
		lock_release(&node->spread.lock);
	}
	g_free(records);
}

static void take_state(struct node *node, const struct move_state *state, struct actions *out)
{
	GArray *states = g_array_new(FALSE, FALSE, sizeof(*state));

	g_array_append_vals(states, state, 1);
	moves_on_states(node, states, false, out);
	g_array_unref(states);
}

static void take_system(struct node *node, const struct event *event, struct actions *out)
{
	for (int i = 0; i < event->batch.count; i++) {
		const struct log_record *record = &event->batch.records[i];

		lock_acquire(&node->spread.lock);
		if (record->offset >= node->spread.log.system_next)
			node->spread.log.system_next = record->offset + 1;
		lock_release(&node->spread.lock);
		switch (record->kind) {
		case LOG_SNAPSHOT:
			config_take_part(node, &node->spread.from_log, &record->snapshot, out);
			break;
		case LOG_MOVE:
			take_state(node, &record->move.state, out);
			break;
		case LOG_CHANGE:
		case LOG_CLAIMS:
		case LOG_BAD:
			actions_note(out, NOTE_PLATFORM_RECORD_BAD, "stream=system offset=%ld",
				     record->offset);
			break;
		}
	}
}

/* A joining node goes on when it has come to the end of a stream. */
static void end_of_stream(struct node *node, enum log_stream stream, int64_t newest,
			  struct actions *out)
{
	int64_t have = history_version(node->history);
	bool current = false;

	lock_acquire(&node->spread.lock);
	if (node->spread.boot.phase == BOOT_SYSTEM && stream == STREAM_SYSTEM &&
	    node->spread.log.system_next > newest)
		node->spread.boot.phase = BOOT_CONFIG;
	else if (node->spread.boot.phase == BOOT_CONFIG && stream == STREAM_CONFIG)
		current = have >= newest;
	else if (stream == STREAM_SYSTEM && node->spread.log.system_next > newest)
		node->spread.log.lapsed = false;
	lock_release(&node->spread.lock);
	if (current)
		config_now_current(node, out);
}

void log_on_batch(struct node *node, const struct event *event, struct instant now,
		  struct actions *out)
{
	lock_acquire(&node->spread.lock);
	node->spread.log.reading[event->batch.stream] = false;
	lock_release(&node->spread.lock);
	log_answered(node, out);
	switch (event->batch.stream) {
	case STREAM_CONFIG:
		take_changes(node, event, now, out);
		break;
	case STREAM_SYSTEM:
		take_system(node, event, out);
		break;
	case STREAM_KEYS:
		return;
	}
	end_of_stream(node, event->batch.stream, event->batch.newest, out);
	read_log(node, now, out);
}

/* Backs off with jitter. Only a log that answers feels the load and is left alone ever longer; one
 * that is out is found again soon. LOCK_SPREAD is held. */
static void back_off(struct spread_state *spread, enum log_failure failure, struct instant now)
{
	int64_t jitter_us = (int64_t)rng_below(&spread->rng, (uint64_t)spread->log.retry_us);

	spread->log.retry_at = deadline_after(now, spread->log.retry_us / 2 + jitter_us);
	if (failure == LOG_FAILURE_LIMITED)
		spread->log.retry_us = MIN(spread->log.retry_us * 2, LOG_RETRY_MAX_US);
}

void log_on_failed(struct node *node, const struct event *event, struct instant now,
		   struct actions *out)
{
	struct spread_state *spread = &node->spread;
	bool newly_out = false;

	lock_acquire(&spread->lock);
	spread->log.reading[event->failed.stream] = false;
	back_off(spread, event->failed.failure, now);
	switch (event->failed.failure) {
	case LOG_FAILURE_OUT:
		newly_out = !spread->log.out;
		spread->log.out = true;
		break;
	case LOG_FAILURE_LIMITED:
		break;
	case LOG_FAILURE_GONE:
		/* What lapsed stands in a snapshot; the oldest kept record of the system's
		 * stream comes first. */
		if (event->failed.stream == STREAM_SYSTEM)
			spread->log.system_next = 0;
		else if (spread->boot.phase == BOOT_CONFIG)
			spread->boot.phase = BOOT_SYSTEM;
		else if (spread->boot.phase == BOOT_CURRENT)
			spread->log.lapsed = true;
		if (event->failed.stream == STREAM_CONFIG)
			spread->log.system_next = 0;
		break;
	}
	lock_release(&spread->lock);
	if (newly_out)
		actions_note(out, NOTE_PLATFORM_LOG_OUT, "stream=%d", (int)event->failed.stream);
}

static bool forget_saved(struct spread_state *spread, uint64_t tag, bool done)
{
	for (guint i = 0; i < spread->unsaved->len; i++) {
		struct unsaved_move *unsaved =
			&g_array_index(spread->unsaved, struct unsaved_move, i);

		if (unsaved->tag != tag)
			continue;
		unsaved->tag = 0;
		if (done)
			g_array_remove_index(spread->unsaved, i);
		return true;
	}
	return false;
}

void log_on_append(struct node *node, uint64_t tag, bool done, struct instant now,
		   struct actions *out)
{
	struct spread_state *spread = &node->spread;
	int64_t written = 0;

	lock_acquire(&spread->lock);
	if (!done)
		back_off(spread, LOG_FAILURE_LIMITED, now);
	if (!forget_saved(spread, tag, done) && done && tag == spread->snapshot_tag) {
		written = spread->snapshot_pending_version;
		spread->snapshot_version = MAX(spread->snapshot_version, written);
		spread->snapshot_at_us = MAX(spread->snapshot_at_us, now.wall_us);
	}
	lock_release(&spread->lock);
	if (written)
		actions_note(out, NOTE_SNAPSHOT_WRITTEN, "version=%ld", written);
}
