/*
 * Passes events to core and executes its actions: the tick, messages, log requests and the
 * announcements of the target.
 */
#include <errno.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "base/logger.h"
#include "core/startup.h"
#include "core/version.h"
#include "godwithitchd/daemon.h"
#include "operator/parse.h"
#include "target/health.h"

#define TICK_INTERVAL_US  (100 * US_PER_MS)
#define APPEND_TIMEOUT_US (2 * US_PER_S)
#define LOG_WAIT_US	  (2 * US_PER_S) /* of a job, until it is started */
#define DISCOVER_RETRY_US (500 * US_PER_MS)
#define ASK_RETRY_US	  (250 * US_PER_MS)
#define RELIST_WITHIN_US  (2 * US_PER_S) /* 80 nodes: 40 appends a second */

enum {
	WORKERS_RESERVED = 12, /* kept free of target requests, for links, the tick and the log */
	LOG_JOBS_MAX = 4,      /* appends and key reads; a slow log must not occupy all workers */
};

/** Arguments of WORK_READ_LOG, owned by the work item. */
struct read_job {
	struct deadline start_by; /**< otherwise it has failed; 0: no limit */
	enum log_stream stream;
	int partition;
	int64_t from;
	struct deadline wait_until;
	int64_t started_us; /**< monotonic */
	bool check;	    /**< as in the action */
};

/** Arguments of WORK_APPEND, owned by the work item. */
struct append_job {
	struct deadline start_by; /**< otherwise it has failed */
	enum log_stream stream;
	int partition;
	uint64_t tag;
	struct log_record record;
};

void dispatch_event(struct daemon *daemon, const struct event *event)
{
	struct actions actions = actions_new();

	node_handle(daemon->node, event, clock_now(), &actions);
	dispatch_actions(daemon, &actions);
}

/* Starts a job of the log, or lets it wait while LOG_JOBS_MAX are running. Core has one append and
 * one read of each partition at most. Returns false if the workers' queue is full. */
static bool post_log_job(struct daemon *daemon, struct work work)
{
	bool runs;

	lock_acquire(&daemon->lock);
	runs = daemon->log_jobs < LOG_JOBS_MAX;
	if (runs)
		daemon->log_jobs++;
	else
		g_queue_push_tail(&daemon->waiting_log_jobs, g_memdup2(&work, sizeof(work)));
	lock_release(&daemon->lock);
	if (!runs || workers_post(daemon->workers, work))
		return true;
	lock_acquire(&daemon->lock);
	daemon->log_jobs--;
	lock_release(&daemon->lock);
	return false;
}

/* Ends a job; its worker takes the next one that waits. Returns NULL if there is none. */
static struct work *next_log_job(struct daemon *daemon)
{
	struct work *work;

	lock_acquire(&daemon->lock);
	work = g_queue_pop_head(&daemon->waiting_log_jobs);
	if (!work)
		daemon->log_jobs--;
	lock_release(&daemon->lock);
	return work;
}

/* Reports a read that could not be started; core backs off and retries it. */
static void fail_read(struct daemon *daemon, const struct action *action)
{
	struct event event = { .kind = EVENT_LOG_FAILED };

	event.failed.stream = action->read.stream;
	event.failed.partition = action->read.partition;
	event.failed.failure = LOG_FAILURE_LIMITED;
	event.failed.check = action->read.check;
	dispatch_event(daemon, &event);
}

static void fail_append(struct daemon *daemon, const struct action *action)
{
	struct event event = { .kind = EVENT_APPEND_FAILED };

	event.append.stream = action->append.stream;
	event.append.partition = action->append.partition;
	event.append.tag = action->append.tag;
	dispatch_event(daemon, &event);
}

static void post_read(struct daemon *daemon, const struct action *action)
{
	struct read_job *job = g_new0(struct read_job, 1);
	struct work work = { WORK_READ_LOG, job };
	bool posted;

	job->stream = action->read.stream;
	job->partition = action->read.partition;
	job->from = action->read.from;
	job->wait_until = action->read.wait_until;
	job->started_us = clock_now().mono_us;
	job->check = action->read.check;
	/* Reads of the other streams, such as the long poll for changes, are not counted: core
	 * has at most one of each running, and WORKERS_RESERVED leaves workers for them. */
	if (job->stream == STREAM_KEYS) {
		job->start_by = deadline_after(clock_now(), LOG_WAIT_US);
		posted = post_log_job(daemon, work);
	} else {
		posted = workers_post(daemon->workers, work);
	}
	if (posted)
		return;
	g_free(job);
	fail_read(daemon, action);
}

static void post_append(struct daemon *daemon, struct action *action)
{
	struct append_job *job = g_new0(struct append_job, 1);

	job->start_by = deadline_after(clock_now(), LOG_WAIT_US);
	job->stream = action->append.stream;
	job->partition = action->append.partition;
	job->tag = action->append.tag;
	job->record = action->append.record;
	/* The job takes over ownership of the record. */
	action->append.record = (struct log_record){ .kind = LOG_INVALID };
	if (post_log_job(daemon, (struct work){ WORK_APPEND, job }))
		return;
	log_record_clear(&job->record);
	g_free(job);
	fail_append(daemon, action);
}

static void execute_action(struct daemon *daemon, struct action *action)
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
		calls_on_claim_result(daemon, action->claimed.seq, action->claimed.result,
				      action->claimed.status);
		return;
	case ACTION_QUOTA:
		calls_on_quota(daemon, &action->quota);
		return;
	case ACTION_CLAIM_ENDED:
		calls_on_claim_ended(daemon, action->claim_ended);
		return;
	case ACTION_LOG_EVENT:
		logger_event(action->log_event.event, "%s", action->log_event.text);
		return;
	}
	g_assert_not_reached();
}

void dispatch_actions(struct daemon *daemon, struct actions *actions)
{
	for (guint i = 0; i < actions->list->len; i++)
		execute_action(daemon, &g_array_index(actions->list, struct action, i));
	actions_clear(actions);
}

bool dispatch_start_timer(struct daemon *daemon, GError **error)
{
	struct itimerspec every = { { 0, TICK_INTERVAL_US * 1000 },
				    { 0, TICK_INTERVAL_US * 1000 } };
	int fd = timerfd_create(CLOCK_MONOTONIC, TFD_CLOEXEC | TFD_NONBLOCK);

	if (fd < 0 || timerfd_settime(fd, 0, &every, NULL) != 0) {
		g_set_error(error, G_FILE_ERROR, g_file_error_from_errno(errno),
			    "cannot start the tick timer: %s", g_strerror(errno));
		return false;
	}
	daemon->tick_watch = (struct watch){ fd, { WORK_TICK, daemon } };
	return workers_watch(daemon->workers, &daemon->tick_watch, WATCH_READ);
}

void dispatch_target_down(struct daemon *daemon)
{
	struct event event = { .kind = EVENT_TARGET_DOWN };
	bool announced;

	lock_acquire(&daemon->lock);
	announced = daemon->announcement_expires_at.at_us != 0;
	daemon->announcement_expires_at = (struct deadline){ 0 };
	lock_release(&daemon->lock);
	if (!announced)
		return;
	logger_event(LOG_EVENT_TARGET_LAPSED, "reason=\"it does not listen\"");
	dispatch_event(daemon, &event);
}

static void expire_announcement(struct daemon *daemon, struct instant now)
{
	struct event event = { .kind = EVENT_TARGET_DOWN };
	bool expired;

	lock_acquire(&daemon->lock);
	expired = deadline_passed(daemon->announcement_expires_at, now);
	if (expired)
		daemon->announcement_expires_at = (struct deadline){ 0 };
	lock_release(&daemon->lock);
	if (!expired)
		return;
	logger_event(LOG_EVENT_TARGET_LAPSED, "reason=\"not renewed in time\"");
	dispatch_event(daemon, &event);
}

/* A log that came back from an older copy may lack this node's entry. The nodes write theirs at
 * different times, since all of them learn of it at about the same. */
static void notice_rollback(struct daemon *daemon, struct instant now)
{
	struct rng rng = { .state = peers_self(daemon->peers) ^ (uint64_t)now.wall_us };
	int64_t era = version_era(history_version(node_history(daemon->node)));

	lock_acquire(&daemon->lock);
	if (daemon->listed && !daemon->discovering && era > daemon->listed_era) {
		daemon->listed = false;
		daemon->relisting = true;
		daemon->discover_at =
			deadline_after(now, (int64_t)rng_below(&rng, (uint64_t)RELIST_WITHIN_US));
	}
	lock_release(&daemon->lock);
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

static void report_nodes(struct daemon *daemon, const GArray *members)
{
	struct event event = { .kind = EVENT_PEERS };

	event.peers.ids = (const uint64_t *)(const void *)members->data;
	event.peers.count = (int)members->len;
	dispatch_event(daemon, &event);
}

static bool list_nodes(struct daemon *daemon)
{
	GArray *members = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	bool read = logclient_list_nodes(daemon->logclient, members);

	if (members->len)
		report_nodes(daemon, members);
	g_array_unref(members);
	return read;
}

/* Returns whether another node is known. */
static bool knows_others(struct daemon *daemon)
{
	GArray *records = members_list(node_members(daemon->node));
	bool others = records->len > 1;

	g_array_unref(records);
	return others;
}

/* Returns the time of the next step of a discovery; 0: it is complete. */
static struct deadline next_discovery(struct daemon *daemon, bool listed)
{
	struct rng rng = { .state = peers_self(daemon->peers) ^ (uint64_t)clock_now().wall_us };
	struct instant now = clock_now();

	if (!listed)
		return deadline_after(now, DISCOVER_RETRY_US);
	/* At the first start of the fleet, another node may introduce itself meanwhile. */
	if (daemon->settings.first_start && !daemon->waited_for_others) {
		daemon->waited_for_others = true;
		return deadline_after(now, startup_list_delay_us(&rng));
	}
	if ((daemon->settings.first_start || daemon->relisting) && knows_others(daemon))
		return (struct deadline){ 0 };
	return list_nodes(daemon) ? (struct deadline){ 0 }
				  : deadline_after(clock_now(), DISCOVER_RETRY_US);
}

void dispatch_discover(struct daemon *daemon)
{
	int64_t era = daemon->listed_era;
	bool listed =
		daemon->listed ||
		logclient_register_node(daemon->logclient, peers_self(daemon->peers), false, &era);
	struct deadline next_at = next_discovery(daemon, listed);

	lock_acquire(&daemon->lock);
	daemon->listed = listed;
	daemon->listed_era = era;
	daemon->discovering = false;
	daemon->discover_at = next_at;
	lock_release(&daemon->lock);
}

/* Asks the target of a doubted heartbeat again: it may have been too busy to answer, or its service
 * may have been unknown. */
static void start_asking(struct daemon *daemon, struct instant now)
{
	bool start;

	lock_acquire(&daemon->lock);
	start = daemon->registration.doubted && !daemon->asking &&
		deadline_passed(daemon->ask_at, now) &&
		!deadline_passed(daemon->doubted.expires_at, now);
	daemon->asking |= start;
	lock_release(&daemon->lock);
	if (start && !workers_post(daemon->workers, (struct work){ WORK_SETTLE_DOUBT, daemon })) {
		lock_acquire(&daemon->lock);
		daemon->asking = false;
		lock_release(&daemon->lock);
	}
}

static void log_load(struct daemon *daemon, struct instant now)
{
	struct admit_counts counts = admit_count(node_admit(daemon->node), now);

	if (counts.queued == 0)
		return;
	logger_event(LOG_EVENT_TARGET_LOADED,
		     "slots=%d running=%d queued=%d late=%d service_ms=%lld slowness=%.1f",
		     counts.slots, counts.running, counts.queued, counts.late,
		     counts.service_us / US_PER_MS, counts.slowness);
}

void dispatch_tick(struct daemon *daemon)
{
	struct event event = { .kind = EVENT_TICK };
	struct instant now = clock_now();
	uint64_t expirations;

	if (read(daemon->tick_watch.fd, &expirations, sizeof(expirations)) < 0)
		expirations = 0;
	expire_announcement(daemon, now);
	dispatch_event(daemon, &event);
	inbound_dispatch_queue(daemon);
	peers_tick(daemon->peers, now);
	calls_tick(daemon, now);
	notice_rollback(daemon, now);
	start_discovery(daemon, now);
	start_asking(daemon, now);
	if (daemon->next_second_at.at_us == 0 || deadline_passed(daemon->next_second_at, now)) {
		daemon->next_second_at = deadline_after(now, US_PER_S);
		log_load(daemon, now);
		target_close_stray(daemon->target);
		logclient_close_stray(daemon->logclient);
		if (daemon->caller)
			caller_tick(daemon->caller, now);
	}
	workers_rearm(daemon->workers, &daemon->tick_watch, WATCH_READ);
}

/* Logs changes or a snapshot that arrived and were decoded. */
static void log_arrival(struct daemon *daemon, const char *way, struct instant received_at,
			const char *fields)
{
	int64_t decode_us = clock_now().mono_us - received_at.mono_us;
	char labels[16];

	logger_event(LOG_EVENT_CHANGES_ARRIVED, "way=%s %s decode_ms=%lld", way, fields,
		     decode_us / US_PER_MS);
	g_snprintf(labels, sizeof(labels), "way=\"%s\"", way);
	metrics_observe(daemon->metrics, STR("godwithitch_change_decode_seconds"),
			str_from_cstr(labels), decode_us);
}

static void log_read_arrival(struct daemon *daemon, const struct read_job *job,
			     const struct log_read *read)
{
	char fields[160];

	if (read->count == 0 || job->stream == STREAM_KEYS)
		return;
	g_snprintf(fields, sizeof(fields),
		   "stream=%d from=%ld count=%d newest=%ld bytes=%zu waited_ms=%lld",
		   (int)job->stream, job->from, read->count, read->newest, read->bytes,
		   (read->received_at.mono_us - job->started_us) / US_PER_MS);
	log_arrival(daemon, "log", read->received_at, fields);
}

/* Returns the bytes of a peer's changes as they arrived, deltas included. */
static size_t content_bytes(const struct message *message)
{
	size_t bytes = 0;

	for (int i = 0; i < message->records.count; i++)
		bytes += message->records.records[i].delta
				 ? delta_size(message->records.records[i].delta)
				 : message->records.records[i].change->content.len;
	return bytes;
}

/* Describes the changes or the snapshot in a peer's message; empty for other messages. */
static void describe_message(uint64_t from, const struct message *message, char *fields, size_t cap)
{
	fields[0] = '\0';
	if (message->kind == MESSAGE_RECORDS && message->records.count)
		g_snprintf(fields, (gulong)cap, "peer=%lx from=%ld count=%d newest=%ld bytes=%zu",
			   from, message->records.records[0].offset, message->records.count,
			   message->records.newest, content_bytes(message));
	if (message->kind == MESSAGE_SNAPSHOT)
		g_snprintf(fields, (gulong)cap, "peer=%lx newest=%ld part=%d parts=%d", from,
			   message->snapshot.version, message->snapshot.index,
			   message->snapshot.count);
}

void dispatch_peer_message(struct daemon *daemon, uint64_t from, struct message *message)
{
	struct event event = { .kind = EVENT_MESSAGE };
	struct instant received_at = clock_now();
	char fields[160];

	describe_message(from, message, fields, sizeof(fields));
	node_complete_message(daemon->node, message, received_at);
	parse_message_changes(message);
	if (fields[0])
		log_arrival(daemon, "peer", received_at, fields);
	event.message.from = from;
	event.message.message = message;
	dispatch_event(daemon, &event);
}

static void report_read(struct daemon *daemon, const struct read_job *job,
			const struct log_read *read)
{
	struct event event = { .kind = EVENT_LOG_FAILED };

	if (read->kind == READ_DONE) {
		for (int i = 0; i < read->count; i++)
			parse_record_changes(&read->records[i]);
		log_read_arrival(daemon, job, read);
		event.kind = EVENT_LOG_BATCH;
		event.batch.stream = job->stream;
		event.batch.partition = job->partition;
		event.batch.records = read->records;
		event.batch.count = read->count;
		event.batch.newest = read->newest;
		event.batch.check = job->check;
	} else {
		event.failed.stream = job->stream;
		event.failed.partition = job->partition;
		event.failed.failure = read->failure;
		event.failed.check = job->check;
	}
	if (!g_atomic_int_get(&daemon->stopping) || read->kind == READ_DONE)
		dispatch_event(daemon, &event);
}

static void run_read(struct daemon *daemon, struct read_job *job)
{
	struct log_read read = { .kind = READ_FAILED, .failure = LOG_FAILURE_LIMITED };

	if (!deadline_passed(job->start_by, clock_now()))
		read = logclient_read(daemon->logclient, job->stream, job->partition, job->from,
				      job->wait_until);
	report_read(daemon, job, &read);
	log_read_clear(&read);
	g_free(job);
}

static void run_append(struct daemon *daemon, struct append_job *job)
{
	struct event event = { .kind = EVENT_APPEND_FAILED,
			       .append = { job->stream, job->partition, job->tag, 0 } };
	struct instant now = clock_now();
	int64_t offset = 0;

	if (!deadline_passed(job->start_by, now) &&
	    logclient_append(daemon->logclient, job->stream, job->partition, &job->record,
			     deadline_after(now, APPEND_TIMEOUT_US), &offset) == APPEND_DONE)
		event.kind = EVENT_APPENDED;
	event.append.offset = offset;
	dispatch_event(daemon, &event);
	log_record_clear(&job->record);
	g_free(job);
}

void dispatch_drop_log_jobs(struct daemon *daemon)
{
	struct work *work;

	while ((work = g_queue_pop_head(&daemon->waiting_log_jobs)) != NULL) {
		if (work->kind == WORK_APPEND)
			log_record_clear(&((struct append_job *)work->data)->record);
		g_free(work->data);
		g_free(work);
	}
}

/* Runs the jobs that waited for one that has ended. */
static void run_waiting_log_jobs(struct daemon *daemon)
{
	struct work *work;

	while ((work = next_log_job(daemon)) != NULL) {
		if (work->kind == WORK_READ_LOG)
			run_read(daemon, work->data);
		else
			run_append(daemon, work->data);
		g_free(work);
	}
}

void dispatch_read_log(struct daemon *daemon, void *data)
{
	struct read_job *job = data;
	bool counted = job->stream == STREAM_KEYS;

	run_read(daemon, job);
	if (counted)
		run_waiting_log_jobs(daemon);
}

void dispatch_append(struct daemon *daemon, void *data)
{
	run_append(daemon, data);
	run_waiting_log_jobs(daemon);
}

static struct target_endpoint target_endpoint_of(const struct daemon *daemon,
						 const struct announcement *announcement)
{
	uint32_t ipv4 = announcement->ipv4 ? announcement->ipv4 : daemon->settings.announce.ipv4;

	return (struct target_endpoint){ ipv4, announcement->port, announcement->id,
					 announcement->service };
}

/* Returns whether the target is cold, as far as the announcement says. */
static bool is_cold(const struct announcement *announcement)
{
	return announcement->states_warmup && announcement->slow_start_until.at_us != 0;
}

static void on_target_up(struct daemon *daemon, const struct announcement *announcement)
{
	struct event event = { .kind = EVENT_TARGET_UP };
	struct target_endpoint endpoint = target_endpoint_of(daemon, announcement);
	bool first;

	lock_acquire(&daemon->lock);
	first = daemon->announcement_expires_at.at_us == 0;
	daemon->announcement_expires_at = announcement->expires_at;
	lock_release(&daemon->lock);
	if (first)
		logger_event(LOG_EVENT_TARGET_ANNOUNCED,
			     "target=%.*s service=%.*s version=%.*s slots=%d port=%u",
			     STR_ARG(label_str(&announcement->id)),
			     STR_ARG(label_str(&announcement->service)),
			     STR_ARG(label_str(&announcement->version)), announcement->slots,
			     announcement->port);
	target_set_endpoint(daemon->target, &endpoint);
	event.target.service = announcement->service;
	event.target.version = announcement->version;
	event.target.started = first;
	event.target.states_warmup = announcement->states_warmup;
	event.target.cold = is_cold(announcement);
	event.target.slots =
		(int)MIN(announcement->slots, daemon->settings.workers - WORKERS_RESERVED);
	dispatch_event(daemon, &event);
}

static void on_target_leaving(struct daemon *daemon, const struct announcement *announcement)
{
	struct event event = { .kind = EVENT_TARGET_LEAVING };

	logger_event(LOG_EVENT_TARGET_LEAVING, "target=%.*s reason=\"it drains\"",
		     STR_ARG(label_str(&announcement->id)));
	dispatch_event(daemon, &event);
}

static void on_target_deregistered(struct daemon *daemon, const struct announcement *announcement)
{
	struct event event = { .kind = EVENT_TARGET_DOWN };

	lock_acquire(&daemon->lock);
	daemon->announcement_expires_at = (struct deadline){ 0 };
	lock_release(&daemon->lock);
	logger_event(LOG_EVENT_TARGET_LEAVING, "target=%.*s reason=\"it said goodbye\"",
		     STR_ARG(label_str(&announcement->id)));
	dispatch_event(daemon, &event);
}

static struct heartbeat heartbeat_from(const struct announcement *announcement)
{
	struct heartbeat heartbeat = { .id = announcement->id,
				       .started_ms = announcement->started_ms,
				       .sequence = announcement->sequence };

	switch (announcement->kind) {
	case ANNOUNCE_UP:
		heartbeat.kind = HEARTBEAT_READY;
		return heartbeat;
	case ANNOUNCE_LEAVING:
		heartbeat.kind = HEARTBEAT_LEAVING;
		return heartbeat;
	case ANNOUNCE_DOWN:
		heartbeat.kind = HEARTBEAT_DEREGISTER;
		return heartbeat;
	}
	g_assert_not_reached();
}

/* Asks the target of a doubted announcement for its health. Where its service has no health check,
 * the announcement has to do. */
static struct target_health ask_health(struct daemon *daemon,
				       const struct announcement *announcement)
{
	struct target_endpoint endpoint = target_endpoint_of(daemon, announcement);
	struct config *config = node_config(daemon->node);
	const struct service *service = config_find_service(config, endpoint.service);
	struct target_health health = { .healthy = service && service->health.len == 0 };

	if (service && service->health.len)
		health = target_ask_health(daemon->dialect, &endpoint, service->health);
	config_unref(config);
	return health;
}

/* Makes the target of a doubted announcement the known one; false if it has left since. The newest
 * announcement of the target replaces @p announcement. */
static bool confirm_target(struct daemon *daemon, struct announcement *announcement)
{
	struct heartbeat heartbeat = heartbeat_from(announcement);
	bool confirmed;

	lock_acquire(&daemon->lock);
	confirmed = registration_confirm(&daemon->registration, &heartbeat) == HEARTBEAT_REPLACED;
	if (confirmed) {
		*announcement = daemon->doubted;
		daemon->announcement_expires_at = (struct deadline){ 0 };
	}
	lock_release(&daemon->lock);
	return confirmed;
}

void dispatch_settle_doubt(struct daemon *daemon)
{
	struct announcement announcement;
	struct target_health health = { .healthy = false };
	bool doubted;

	lock_acquire(&daemon->lock);
	doubted = daemon->registration.doubted;
	announcement = daemon->doubted;
	lock_release(&daemon->lock);
	if (doubted)
		health = ask_health(daemon, &announcement);
	if (health.healthy) {
		lock_acquire(&daemon->announcements);
		if (confirm_target(daemon, &announcement)) {
			/* The heartbeat is older than the answer. */
			if (health.states_warmup && health.cold && !is_cold(&announcement))
				announcement.slow_start_until = deadline_after(clock_now(), 1);
			announcement.states_warmup |= health.states_warmup;
			on_target_up(daemon, &announcement);
		}
		lock_release(&daemon->announcements);
	}
	lock_acquire(&daemon->lock);
	daemon->asking = false;
	daemon->ask_at = deadline_after(clock_now(), ASK_RETRY_US);
	lock_release(&daemon->lock);
}

/* Applies an announcement to the registration. One without an id is always accepted. */
static enum heartbeat_result apply_heartbeat(struct daemon *daemon,
					     const struct announcement *announcement)
{
	struct heartbeat heartbeat = heartbeat_from(announcement);
	enum heartbeat_result result;

	if (announcement->id.len == 0)
		return HEARTBEAT_ACCEPTED;
	lock_acquire(&daemon->lock);
	result = registration_apply(&daemon->registration, &heartbeat);
	if (result == HEARTBEAT_REPLACED)
		daemon->announcement_expires_at = (struct deadline){ 0 };
	if (result == HEARTBEAT_DOUBTED)
		daemon->doubted = *announcement;
	lock_release(&daemon->lock);
	return result;
}

static void use_announcement(struct daemon *daemon, const struct announcement *announcement)
{
	switch (announcement->kind) {
	case ANNOUNCE_UP:
		on_target_up(daemon, announcement);
		return;
	case ANNOUNCE_LEAVING:
		on_target_leaving(daemon, announcement);
		return;
	case ANNOUNCE_DOWN:
		on_target_deregistered(daemon, announcement);
		return;
	}
	g_assert_not_reached();
}

static void log_announcement(enum log_event event, const struct announcement *announcement)
{
	logger_event(event, "target=%.*s born_ms=%ld sequence=%ld",
		     STR_ARG(label_str(&announcement->id)), announcement->started_ms,
		     announcement->sequence);
}

void dispatch_on_announcement(void *context, const struct announcement *announcement)
{
	struct daemon *daemon = context;
	enum heartbeat_result result;

	lock_acquire(&daemon->announcements);
	result = apply_heartbeat(daemon, announcement);
	if (result == HEARTBEAT_ACCEPTED || result == HEARTBEAT_REPLACED)
		use_announcement(daemon, announcement);
	lock_release(&daemon->announcements);
	if (result == HEARTBEAT_STALE)
		log_announcement(LOG_EVENT_ANNOUNCEMENT_STALE, announcement);
	if (result == HEARTBEAT_DOUBTED) {
		log_announcement(LOG_EVENT_TARGET_DOUBTED, announcement);
		dispatch_settle_doubt(daemon);
	}
}
