/*
 * Core's events and actions: the tick, messages, the log, and the target's announcements.
 */
#include <errno.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "base/logger.h"
#include "godwithitchd/daemon.h"
#include "operator/parse.h"

#define TICK_US		  (100 * US_PER_MS)
#define APPEND_WAIT_US	  (2 * US_PER_S)
#define DISCOVER_RETRY_US (500 * US_PER_MS)

enum {
	WORKERS_KEPT = 12, /* for links, the tick and the log, however many slots a target has */
	LOG_JOBS_MAX =
		4, /* appends and short reads at once; a slow log must not take all workers */
};

/** A read of the log for a worker. */
struct read_job {
	enum log_stream stream;
	int partition;
	int64_t from;
	struct deadline wait_until;
};

/** An append for a worker. */
struct append_job {
	enum log_stream stream;
	int partition;
	uint64_t tag;
	struct log_record record;
};

void bridge_event(struct daemon *daemon, const struct event *event)
{
	struct actions actions = actions_new();

	node_handle(daemon->node, event, clock_now(), &actions);
	bridge_carry_out(daemon, &actions);
}

/* Takes one of the places for work on the log; false if none is free. */
static bool take_log_job(struct daemon *daemon)
{
	if (g_atomic_int_add(&daemon->log_jobs, 1) < LOG_JOBS_MAX)
		return true;
	g_atomic_int_add(&daemon->log_jobs, -1);
	return false;
}

static void give_log_job(struct daemon *daemon)
{
	g_atomic_int_add(&daemon->log_jobs, -1);
}

/* Core backs off and asks again. */
static void fail_read(struct daemon *daemon, const struct action *action)
{
	struct event event = { .kind = EVENT_LOG_FAILED };

	event.failed.stream = action->read.stream;
	event.failed.partition = action->read.partition;
	event.failed.failure = LOG_FAILURE_LIMITED;
	bridge_event(daemon, &event);
}

static void fail_append(struct daemon *daemon, const struct action *action)
{
	struct event event = { .kind = EVENT_APPEND_FAILED };

	event.append.stream = action->append.stream;
	event.append.partition = action->append.partition;
	event.append.tag = action->append.tag;
	bridge_event(daemon, &event);
}

static void post_read(struct daemon *daemon, const struct action *action)
{
	struct read_job *job;

	/* The one long poll for changes has its own place. */
	if (action->read.stream == STREAM_KEYS && !take_log_job(daemon)) {
		fail_read(daemon, action);
		return;
	}
	job = g_new0(struct read_job, 1);

	job->stream = action->read.stream;
	job->partition = action->read.partition;
	job->from = action->read.from;
	job->wait_until = action->read.wait_until;
	if (workers_post(daemon->workers, (struct work){ WORK_READ_LOG, job }))
		return;
	g_free(job);
	if (action->read.stream == STREAM_KEYS)
		give_log_job(daemon);
	fail_read(daemon, action);
}

static void post_append(struct daemon *daemon, struct action *action)
{
	struct append_job *job;

	if (!take_log_job(daemon)) {
		fail_append(daemon, action);
		return;
	}
	job = g_new0(struct append_job, 1);

	job->stream = action->append.stream;
	job->partition = action->append.partition;
	job->tag = action->append.tag;
	job->record = action->append.record;
	/* The job owns the record now. */
	action->append.record = (struct log_record){ .kind = LOG_BAD };
	if (workers_post(daemon->workers, (struct work){ WORK_APPEND, job }))
		return;
	log_record_clear(&job->record);
	g_free(job);
	give_log_job(daemon);
	fail_append(daemon, action);
}

static void carry_out(struct daemon *daemon, struct action *action)
{
	switch (action->kind) {
	case ACTION_SEND:
		peers_send(daemon->peers, action->send.to, action->send.message);
		return;
	case ACTION_READ_LOG:
		post_read(daemon, action);
		return;
	case ACTION_APPEND:
		post_append(daemon, action);
		return;
	case ACTION_CLAIMED:
		calls_on_claimed(daemon, action->claimed.seq, action->claimed.result,
				 action->claimed.status);
		return;
	case ACTION_NOTE:
		logger_event(action->note.event, "%s", action->note.text);
		return;
	}
	g_assert_not_reached();
}

void bridge_carry_out(struct daemon *daemon, struct actions *actions)
{
	for (guint i = 0; i < actions->list->len; i++)
		carry_out(daemon, &g_array_index(actions->list, struct action, i));
	actions_clear(actions);
}

bool bridge_start_ticking(struct daemon *daemon, GError **error)
{
	struct itimerspec every = { { 0, TICK_US * 1000 }, { 0, TICK_US * 1000 } };
	int fd = timerfd_create(CLOCK_MONOTONIC, TFD_CLOEXEC | TFD_NONBLOCK);

	if (fd < 0 || timerfd_settime(fd, 0, &every, NULL) != 0) {
		g_set_error(error, G_FILE_ERROR, g_file_error_from_errno(errno), "timer: %s",
			    g_strerror(errno));
		return false;
	}
	daemon->tick_watch = (struct watch){ fd, { WORK_TICK, daemon } };
	return workers_watch(daemon->workers, &daemon->tick_watch, WATCH_READ);
}

void bridge_target_gone(struct daemon *daemon)
{
	struct event event = { .kind = EVENT_TARGET_DOWN };
	bool announced;

	lock_acquire(&daemon->lock);
	announced = daemon->announced_until.at_us != 0;
	daemon->announced_until = (struct deadline){ 0 };
	lock_release(&daemon->lock);
	if (!announced)
		return;
	logger_event(NOTE_TARGET_LAPSED, "reason=\"it does not listen\"");
	bridge_event(daemon, &event);
}

static void check_announcement(struct daemon *daemon, struct instant now)
{
	struct event event = { .kind = EVENT_TARGET_DOWN };
	bool lapsed;

	lock_acquire(&daemon->lock);
	lapsed = deadline_passed(daemon->announced_until, now);
	if (lapsed)
		daemon->announced_until = (struct deadline){ 0 };
	lock_release(&daemon->lock);
	if (!lapsed)
		return;
	logger_event(NOTE_TARGET_LAPSED, "reason=\"not renewed in time\"");
	bridge_event(daemon, &event);
}

static void start_discovery(struct daemon *daemon, struct instant now)
{
	bool start;

	lock_acquire(&daemon->lock);
	start = !daemon->discovering && deadline_passed(daemon->discover_at, now);
	daemon->discovering |= start;
	lock_release(&daemon->lock);
	if (start && !workers_post(daemon->workers, (struct work){ WORK_DISCOVER, daemon })) {
		lock_acquire(&daemon->lock);
		daemon->discovering = false;
		lock_release(&daemon->lock);
	}
}

static void greet_nodes(struct daemon *daemon, const GArray *members)
{
	struct event event = { .kind = EVENT_PEERS };

	event.peers.ids = (const uint64_t *)(const void *)members->data;
	event.peers.count = (int)members->len;
	bridge_event(daemon, &event);
}

void bridge_discover(struct daemon *daemon)
{
	GArray *members = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	bool entered = daemon->entered ||
		       logclient_enter(daemon->logclient, peers_self(daemon->peers), false);
	bool read = logclient_nodes(daemon->logclient, members);

	if (members->len)
		greet_nodes(daemon, members);
	lock_acquire(&daemon->lock);
	daemon->entered = entered;
	daemon->discovering = false;
	daemon->discover_at = (struct deadline){ 0 };
	if (!entered || !read)
		daemon->discover_at = deadline_after(clock_now(), DISCOVER_RETRY_US);
	lock_release(&daemon->lock);
	g_array_unref(members);
}

static void note_load(struct daemon *daemon, struct instant now)
{
	struct admit_counts counts = admit_count(node_admit(daemon->node), now);

	if (counts.queued == 0)
		return;
	logger_event(NOTE_TARGET_LOADED,
		     "slots=%d running=%d queued=%d late=%d service_ms=%lld slowness=%.1f",
		     counts.slots, counts.running, counts.queued, counts.late,
		     counts.service_us / US_PER_MS, counts.slowness);
}

void bridge_tick(struct daemon *daemon)
{
	struct event event = { .kind = EVENT_TICK };
	struct instant now = clock_now();
	uint64_t expirations;

	if (read(daemon->tick_watch.fd, &expirations, sizeof(expirations)) < 0)
		expirations = 0;
	check_announcement(daemon, now);
	bridge_event(daemon, &event);
	serve_turns(daemon);
	peers_tick(daemon->peers, now);
	calls_tick(daemon, now);
	start_discovery(daemon, now);
	if (daemon->second_at.at_us == 0 || deadline_passed(daemon->second_at, now)) {
		daemon->second_at = deadline_after(now, US_PER_S);
		note_load(daemon, now);
		if (daemon->caller)
			caller_tick(daemon->caller, now);
	}
	workers_rearm(daemon->workers, &daemon->tick_watch, WATCH_READ);
}

void bridge_read_log(struct daemon *daemon, void *data)
{
	struct read_job *job = data;
	struct log_read read = logclient_read(daemon->logclient, job->stream, job->partition,
					      job->from, job->wait_until);
	struct event event = { .kind = EVENT_LOG_FAILED };

	if (job->stream == STREAM_KEYS)
		give_log_job(daemon);
	if (read.kind == READ_DONE) {
		for (int i = 0; i < read.count; i++)
			parse_record(&read.records[i]);
		event.kind = EVENT_LOG_BATCH;
		event.batch.stream = job->stream;
		event.batch.partition = job->partition;
		event.batch.records = read.records;
		event.batch.count = read.count;
		event.batch.newest = read.newest;
	} else {
		event.failed.stream = job->stream;
		event.failed.partition = job->partition;
		event.failed.failure = read.failure;
	}
	if (!g_atomic_int_get(&daemon->stopping) || read.kind == READ_DONE)
		bridge_event(daemon, &event);
	log_read_clear(&read);
	g_free(job);
}

void bridge_append(struct daemon *daemon, void *data)
{
	struct append_job *job = data;
	struct event event = { .kind = EVENT_APPEND_FAILED,
			       .append = { job->stream, job->partition, job->tag, 0 } };
	int64_t offset = 0;
	struct deadline deadline = deadline_after(clock_now(), APPEND_WAIT_US);

	if (logclient_append(daemon->logclient, job->stream, job->partition, &job->record, deadline,
			     &offset) == APPEND_DONE)
		event.kind = EVENT_APPENDED;
	give_log_job(daemon);
	event.append.offset = offset;
	bridge_event(daemon, &event);
	log_record_clear(&job->record);
	g_free(job);
}

static void on_up(struct daemon *daemon, const struct announcement *announcement)
{
	struct event event = { .kind = EVENT_TARGET_UP };
	uint32_t ipv4 = announcement->ipv4 ? announcement->ipv4 : daemon->settings.announce.ipv4;
	struct target_place place;
	bool first;

	lock_acquire(&daemon->lock);
	first = daemon->announced_until.at_us == 0;
	daemon->announced_until = announcement->until;
	lock_release(&daemon->lock);
	if (first)
		logger_event(NOTE_TARGET_ANNOUNCED,
			     "target=%.*s service=%.*s version=%.*s slots=%d port=%u",
			     STR_ARG(label_str(&announcement->id)),
			     STR_ARG(label_str(&announcement->service)),
			     STR_ARG(label_str(&announcement->version)), announcement->slots,
			     announcement->port);
	place = (struct target_place){ ipv4, announcement->port, announcement->id,
				       announcement->service };
	target_set_place(daemon->target, &place);
	event.target.service = announcement->service;
	event.target.version = announcement->version;
	event.target.slots = (int)MIN(announcement->slots, daemon->settings.workers - WORKERS_KEPT);
	bridge_event(daemon, &event);
}

static void on_leaving(struct daemon *daemon, const struct announcement *announcement)
{
	struct event event = { .kind = EVENT_TARGET_LEAVING };

	logger_event(NOTE_TARGET_LEAVING, "target=%.*s reason=\"it drains\"",
		     STR_ARG(label_str(&announcement->id)));
	bridge_event(daemon, &event);
}

static void on_goodbye(struct daemon *daemon, const struct announcement *announcement)
{
	struct event event = { .kind = EVENT_TARGET_DOWN };

	lock_acquire(&daemon->lock);
	daemon->announced_until = (struct deadline){ 0 };
	lock_release(&daemon->lock);
	logger_event(NOTE_TARGET_LEAVING, "target=%.*s reason=\"it said goodbye\"",
		     STR_ARG(label_str(&announcement->id)));
	bridge_event(daemon, &event);
}

static struct beat beat_of(const struct announcement *announcement)
{
	struct beat beat = { .id = announcement->id,
			     .born_ms = announcement->born_ms,
			     .sequence = announcement->sequence };

	switch (announcement->kind) {
	case ANNOUNCE_UP:
		beat.kind = BEAT_READY;
		return beat;
	case ANNOUNCE_LEAVING:
		beat.kind = BEAT_LEAVING;
		return beat;
	case ANNOUNCE_DOWN:
		beat.kind = BEAT_GOODBYE;
		return beat;
	}
	g_assert_not_reached();
}

/* Whether an announcement counts. Without ids each one does. */
static bool take_beat(struct daemon *daemon, const struct announcement *announcement)
{
	struct beat beat = beat_of(announcement);
	enum beat_result result = BEAT_TAKEN;

	if (announcement->id.len == 0)
		return true;
	lock_acquire(&daemon->lock);
	result = registration_take(&daemon->registration, &beat);
	if (result == BEAT_REPLACED)
		daemon->announced_until = (struct deadline){ 0 };
	lock_release(&daemon->lock);
	if (result == BEAT_STALE)
		logger_event(NOTE_ANNOUNCEMENT_STALE, "target=%.*s born_ms=%ld sequence=%ld",
			     STR_ARG(label_str(&beat.id)), beat.born_ms, beat.sequence);
	return result != BEAT_STALE;
}

void bridge_on_announcement(void *context, const struct announcement *announcement)
{
	struct daemon *daemon = context;

	if (!take_beat(daemon, announcement))
		return;
	switch (announcement->kind) {
	case ANNOUNCE_UP:
		on_up(daemon, announcement);
		return;
	case ANNOUNCE_LEAVING:
		on_leaving(daemon, announcement);
		return;
	case ANNOUNCE_DOWN:
		on_goodbye(daemon, announcement);
		return;
	}
	g_assert_not_reached();
}
