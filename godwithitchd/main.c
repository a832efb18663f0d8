/*
 * Entry point of the daemon, one node of the fleet: parses the options, creates the components,
 * waits for signals and stops.
 */
#include <apr_general.h>
#include <apr_thread_proc.h>
#include <argtable2.h>
#include <malloc.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <unistd.h>

#include "base/logger.h"
#include "core/stop.h"
#include "godwithitchd/calls.h"
#include "operator/parse.h"
#include "platform/dialect.h"

/* Time for the last answers to leave after a second signal. */
#define FLUSH_US (200 * US_PER_MS)
/* Workers notice a stop within a second, even those that wait for the log. */
#define FREE_US (2 * US_PER_S)

enum {
	/* Threads that take turns on a part of a core gain nothing by heaps of their own, and each
	 * heap keeps what its threads have freed. */
	HEAPS_MAX = 1,
	HEAP_TRIM_BYTES = 64 << 10, /* free memory at the heap's end that is kept */
	HEAP_GROWTH_BYTES = 16 << 10,
	/* Larger buffers, such as texts of configurations, leave no gaps in the heap. */
	MAPPED_BYTES = 64 << 10,
};

enum { EXIT_USAGE = 2, WORK_QUEUE_MAX = 4096, STOP_POLL_MS = 50, FLUSH_POLL_MS = 5 };

static void on_work(void *context, const struct work *work, int ready)
{
	struct daemon *daemon = context;

	(void)ready;
	switch (work->kind) {
	case WORK_TICK:
		dispatch_tick(daemon);
		return;
	case WORK_CALLER_LISTEN:
		caller_on_listen(work->data);
		return;
	case WORK_CALLER:
		caller_on_connection(work->data);
		return;
	case WORK_PEER_LISTEN:
		peers_on_listen(daemon->peers);
		return;
	case WORK_PEER_DATAGRAM:
		peers_on_datagram(daemon->peers);
		return;
	case WORK_LINK_READ:
		peers_on_link_read(daemon->peers, work->data);
		return;
	case WORK_LINK_WRITE:
		peers_on_link_write(daemon->peers, work->data);
		return;
	case WORK_INBOUND:
		inbound_run(work->data);
		return;
	case WORK_READ_LOG:
		dispatch_read_log(daemon, work->data);
		return;
	case WORK_APPEND:
		dispatch_append(daemon, work->data);
		return;
	case WORK_DISCOVER:
		dispatch_discover(daemon);
		return;
	case WORK_SETTLE_DOUBT:
		dispatch_settle_doubt(daemon);
		return;
	}
	g_assert_not_reached();
}

static void on_peer(void *context, struct peer_event *event)
{
	struct daemon *daemon = context;
	struct inbound *inbound;

	if (event->kind == PEER_MESSAGE) {
		dispatch_peer_message(daemon, event->message.from, event->message.message);
	} else if (event->kind == PEER_REQUEST) {
		inbound = inbound_new_remote(daemon, event);
		event->request.owner = (struct stream_owner *)inbound;
	} else if (event->owner->kind == OWNER_ATTEMPT) {
		calls_on_peer((struct attempt *)event->owner, event);
	} else {
		inbound_on_peer((struct inbound *)event->owner, event);
	}
}

static void on_control(void *context, struct actions *actions)
{
	struct actions pending = *actions;

	*actions = actions_new();
	dispatch_actions(context, &pending);
}

static bool create_components(struct daemon *daemon, GError **error)
{
	const struct settings *settings = &daemon->settings;
	struct workers_options workers = { .threads = (int)settings->workers,
					   .queue_max = WORK_QUEUE_MAX,
					   .handle = on_work,
					   .context = daemon };
	struct peers_options peers = { .self = member_id(settings->address.ipv4,
							 settings->address.port),
				       .range_count = settings->fleet_count,
				       .metrics = daemon->metrics,
				       .line = daemon->line,
				       .handle = on_peer,
				       .context = daemon };
	struct node_options node = { .data_centre = settings->data_centre,
				     .seeds = (uint64_t *)(void *)settings->seeds->data,
				     .seed_count = (int)settings->seeds->len,
				     .log_retains_files = settings->interface == INTERFACE_PLATFORM,
				     .apply_within_us = settings->apply_within_us,
				     .log_retention_us = settings->log_retention_s * US_PER_S,
				     .first_start = settings->first_start,
				     .revoke_within_us = settings->revoke_within_us,
				     .quota = settings->quota,
				     .link_mbps = settings->link_mbps,
				     .retry_ratio = settings->retry_ratio,
				     .retry_slack = (int)settings->retry_slack,
				     .warmup = &settings->warmup };

	/* Evacuations come the same way as all changes. */
	if (settings->evacuate_within_us)
		node.apply_within_us = MIN(node.apply_within_us, settings->evacuate_within_us);
	/* All nodes of a fleet use the same log, so the hash of its URL identifies the fleet. */
	peers.fleet = str_hash(settings->log_url, 0);
	for (int i = 0; i < settings->fleet_count; i++)
		peers.ranges[i] = settings->fleet[i];
	daemon->workers = workers_new(&workers, daemon->pool, error);
	if (!daemon->workers)
		return false;
	peers.workers = daemon->workers;
	daemon->peers = peers_new(&peers, daemon->pool, error);
	if (!daemon->peers)
		return false;
	node.id = peers_self(daemon->peers);
	node.seed = (uint64_t)clock_now().wall_us;
	daemon->node = node_new(&node, clock_now(), error);
	daemon->logclient = logclient_new(
		settings->interface == INTERFACE_PLATFORM ? LOG_SERVICE_STORE : LOG_SERVICE_NATIVE,
		settings->log_url, daemon->pool, error);
	return daemon->node && daemon->logclient;
}

static bool open_announce_endpoint(struct daemon *daemon, GError **error)
{
	const struct settings *settings = &daemon->settings;
	struct announce_options options = { .ipv4 = settings->announce.ipv4,
					    .port = settings->announce.port,
					    .ttl_us = settings->announce_ttl_us,
					    .handle = dispatch_on_announcement,
					    .context = daemon };

	switch (settings->interface) {
	case INTERFACE_NATIVE:
		daemon->announce = announce_endpoint_new(&options, error);
		return daemon->announce != NULL;
	case INTERFACE_PLATFORM:
		daemon->heartbeats = heartbeat_endpoint_new(&options, error);
		return daemon->heartbeats != NULL;
	}
	g_assert_not_reached();
}

static uint16_t announcement_port(const struct daemon *daemon)
{
	return daemon->announce ? announce_endpoint_port(daemon->announce)
				: heartbeat_endpoint_port(daemon->heartbeats);
}

static bool open_endpoints(struct daemon *daemon, GError **error)
{
	const struct settings *settings = &daemon->settings;
	struct caller_options caller = { .ipv4 = settings->callers.ipv4,
					 .port = settings->callers.port,
					 .connections = (int)settings->connections,
					 .connections_per_address =
						 (int)settings->connections_per_address,
					 .idle_s = (int)settings->idle_s,
					 .body_max = settings->body_max_bytes,
					 .verdict_field = daemon->dialect->verdict,
					 .memory = daemon->memory,
					 .metrics = daemon->metrics,
					 .line = daemon->line,
					 .workers = daemon->workers,
					 .handle = calls_on_caller,
					 .context = daemon };
	struct control_options control = { .ipv4 = settings->control.ipv4,
					   .port = settings->control.port,
					   .node = daemon->node,
					   .metrics = daemon->metrics,
					   .perform_actions = on_control,
					   .context = daemon };

	daemon->control = control_new(&control, error);
	if (!daemon->control)
		return false;
	if (!open_announce_endpoint(daemon, error))
		return false;
	daemon->caller = caller_new(&caller, daemon->pool, error);
	return daemon->caller != NULL;
}

static struct daemon *daemon_new(const struct settings *settings, GError **error)
{
	struct daemon *daemon = g_new0(struct daemon, 1);

	daemon->settings = *settings;
	apr_pool_create(&daemon->pool, NULL);
	lock_init(&daemon->announcements, LOCK_ANNOUNCE, daemon->pool);
	lock_init(&daemon->lock, LOCK_CALLS, daemon->pool);
	daemon->metrics = metrics_new(daemon->pool);
	daemon->memory = memory_new(memory_budget(settings->memory_mb), daemon->pool);
	daemon->pace = pace_of_link(settings->link_mbps);
	daemon->line = line_new(settings->link_mbps, daemon->pool);
	daemon->dialect =
		settings->interface == INTERFACE_PLATFORM ? &dialect_platform : &dialect_native;
	daemon->target = target_new(daemon->dialect, daemon->pool);
	if (settings->interface == INTERFACE_PLATFORM)
		daemon->discover_at = deadline_after(clock_now(), 0);
	daemon->running_inbound = g_ptr_array_new();
	daemon->open_calls = g_ptr_array_new();
	daemon->held_answers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
						     (GDestroyNotify)call_unref);
	daemon->pending_claims = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	daemon->pending_tokens = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	daemon->next_point = (uint64_t)clock_now().wall_us;
	if (!create_components(daemon, error) || !dispatch_start_timer(daemon, error))
		return NULL;
	/* The first tick uses all components, so they are created before the workers start. */
	if (!open_endpoints(daemon, error))
		return NULL;
	peers_start(daemon->peers);
	return workers_start(daemon->workers, error) ? daemon : NULL;
}

static void format_address(char *out, size_t cap, uint32_t ip, uint16_t port)
{
	snprintf(out, cap, "%u.%u.%u.%u:%u", ip >> 24, ip >> 16 & 255, ip >> 8 & 255, ip & 255,
		 port);
}

static void log_start(const struct daemon *daemon)
{
	const struct settings *settings = &daemon->settings;
	uint64_t self = peers_self(daemon->peers);
	char text[4][32];

	format_address(text[0], sizeof(text[0]), member_ipv4(self), member_port(self));
	format_address(text[1], sizeof(text[1]), settings->callers.ipv4,
		       caller_port(daemon->caller));
	format_address(text[2], sizeof(text[2]), settings->control.ipv4,
		       control_port(daemon->control));
	format_address(text[3], sizeof(text[3]), settings->announce.ipv4,
		       announcement_port(daemon));
	logger_event(LOG_EVENT_DAEMON_STARTED, "address=%s callers=%s control=%s announce=%s",
		     text[0], text[1], text[2], text[3]);
}

/* Stops and frees the components; the workers end before the objects that they use. */
static void daemon_free(struct daemon *daemon)
{
	announce_endpoint_free(daemon->announce);
	heartbeat_endpoint_free(daemon->heartbeats);
	control_free(daemon->control);
	workers_stop(daemon->workers);
	g_hash_table_destroy(daemon->held_answers);
	caller_free(daemon->caller);
	peers_free(daemon->peers);
	workers_free(daemon->workers);
	close(daemon->tick_watch.fd);
	logclient_free(daemon->logclient);
	target_free(daemon->target);
	node_free(daemon->node);
	metrics_free(daemon->metrics);
	memory_free(daemon->memory);
	line_free(daemon->line);
	dispatch_drop_log_jobs(daemon);
	g_hash_table_destroy(daemon->pending_claims);
	g_hash_table_destroy(daemon->pending_tokens);
	g_ptr_array_unref(daemon->running_inbound);
	g_ptr_array_unref(daemon->open_calls);
	lock_destroy(&daemon->lock);
	lock_destroy(&daemon->announcements);
	apr_pool_destroy(daemon->pool);
	g_free(daemon);
}

/* Counts what a graceful stop waits for: exchanges with callers, inbound requests, unsent bytes. */
static int count_in_flight(struct daemon *daemon)
{
	return caller_active(daemon->caller) + g_atomic_int_get(&daemon->inbound_count) +
	       (peers_unsent(daemon->peers) > 0);
}

/* Waits for a signal that ends the process, @p wait_ms at most. */
static bool poll_signal(const sigset_t *signals, int wait_ms)
{
	struct timespec interval = { 0, wait_ms * 1000000L };
	int signal_number = sigtimedwait(signals, NULL, &interval);

	return signal_number == SIGTERM || signal_number == SIGINT;
}

/* Answers the callers that still wait, and waits until the answers have left. */
static void end_calls(struct daemon *daemon, const sigset_t *signals, struct deadline exit_at)
{
	logger_event(LOG_EVENT_STOP_CUT_REQUEST, "in_flight=%d", count_in_flight(daemon));
	calls_end(daemon);
	while ((caller_active(daemon->caller) || peers_unsent(daemon->peers)) &&
	       !deadline_passed(exit_at, clock_now()))
		poll_signal(signals, FLUSH_POLL_MS);
}

/* Serves new requests until the notice ends, or until a signal. Callers that do not know of the
 * stop yet are still served, and other nodes still reach the target. */
static void give_notice(struct daemon *daemon, const sigset_t *signals)
{
	const struct stop_plan *plan = &daemon->stop;
	struct event retire = { .kind = EVENT_RETIRE,
				.retire = { plan->queue_ends_at, plan->work_ends_at } };
	bool signalled = false;

	dispatch_event(daemon, &retire);
	caller_retire(daemon->caller);
	while (!signalled && !deadline_passed(plan->notice_ends_at, clock_now()))
		signalled = poll_signal(signals, STOP_POLL_MS);
}

/* Waits until nothing is in flight and the other nodes know of the stop, or until its deadline or a
 * signal. Returns false if requests are cut off. */
static bool drain(struct daemon *daemon, const sigset_t *signals)
{
	const struct stop_plan *plan = &daemon->stop;
	struct event stop = { .kind = EVENT_STOP };
	struct deadline leave_at;
	bool signalled = false;

	dispatch_event(daemon, &stop);
	leave_at = stop_leave_at(plan, clock_now());
	g_atomic_int_set(&daemon->stopping, 1);
	caller_quiesce(daemon->caller);
	while ((count_in_flight(daemon) || !deadline_passed(leave_at, clock_now())) && !signalled &&
	       !deadline_passed(plan->answer_at, clock_now()))
		signalled = poll_signal(signals, STOP_POLL_MS);
	if (!count_in_flight(daemon))
		return true;
	end_calls(daemon, signals,
		  signalled ? deadline_after(clock_now(), FLUSH_US) : plan->exit_at);
	return false;
}

/* Stops gracefully; a signal ends the notice period, or else the wait. Returns false if requests
 * are cut off. */
static bool stop_daemon(struct daemon *daemon, const sigset_t *signals)
{
	struct stop_options options = { .within_us = daemon->settings.stop_within_us,
					.notice_us = daemon->settings.stop_notice_us };

	logger_event(LOG_EVENT_DAEMON_STOPPING, "in_flight=%d", count_in_flight(daemon));
	daemon->stop = stop_plan_at(&options, clock_now());
	g_atomic_int_set(&daemon->stop_begun, 1);
	give_notice(daemon, signals);
	return drain(daemon, signals);
}

/** A daemon that is being freed, and an eventfd that becomes readable once it is. */
struct teardown {
	struct daemon *daemon;
	int done_fd;
};

static void *APR_THREAD_FUNC free_main(apr_thread_t *thread, void *data)
{
	const struct teardown *teardown = data;
	uint64_t one = 1;

	(void)thread;
	daemon_free(teardown->daemon);
	return write(teardown->done_fd, &one, sizeof(one)) == sizeof(one) ? data : NULL;
}

static bool wait_readable(int fd, struct deadline deadline)
{
	struct pollfd waited = { .fd = fd, .events = POLLIN };
	int64_t remaining_us = deadline_remaining_us(deadline, clock_now());

	return poll(&waited, 1, (int)(remaining_us / US_PER_MS)) == 1;
}

/* Frees the daemon; returns false if it is not done at the deadline. Workers may be blocked within
 * limits of their own, and joining them would hold up the exit: a thread of its own does it. */
static bool free_until(struct daemon *daemon, struct deadline deadline)
{
	struct teardown *teardown = g_new0(struct teardown, 1);
	apr_thread_t *thread = NULL;
	apr_pool_t *pool = NULL;
	apr_status_t status;

	apr_pool_create(&pool, NULL);
	*teardown = (struct teardown){ daemon, eventfd(0, EFD_CLOEXEC) };
	if (teardown->done_fd < 0 ||
	    apr_thread_create(&thread, NULL, free_main, teardown, pool) != APR_SUCCESS ||
	    !wait_readable(teardown->done_fd, deadline))
		return false;
	apr_thread_join(&status, thread);
	close(teardown->done_fd);
	apr_pool_destroy(pool);
	g_free(teardown);
	return true;
}

static void wait_for_stop(const sigset_t *signals)
{
	int signal_number = 0;

	while (signal_number != SIGTERM && signal_number != SIGINT) {
		if (sigwait(signals, &signal_number) != 0)
			return;
		if (signal_number == SIGHUP)
			logger_reopen();
	}
}

/* The usual limit of 1,024 descriptors is below the default of callers' connections. */
static void raise_descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static int run(const struct settings *settings)
{
	struct daemon *daemon;
	struct deadline free_by;
	struct stop_plan plan;
	GError *error = NULL;
	sigset_t signals;
	bool drained;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
	raise_descriptor_limit();
	daemon = daemon_new(settings, &error);
	if (!daemon) {
		fprintf(stderr, "godwithitchd: %s\n", error->message);
		return EXIT_FAILURE;
	}
	log_start(daemon);
	wait_for_stop(&signals);
	drained = stop_daemon(daemon, &signals);
	logclient_stop(daemon->logclient);
	logger_event(LOG_EVENT_DAEMON_STOPPED, "pid=%d", (int)getpid());
	plan = daemon->stop;
	free_by = deadline_after(clock_now(), FREE_US);
	free_by.at_us = MIN(free_by.at_us, plan.exit_at.at_us);
	/* Workers may still run calls that were cut off; exiting the process ends them. */
	if (!drained || !free_until(daemon, free_by)) {
		logger_close(plan.log_ends_at);
		_exit(EXIT_SUCCESS);
	}
	logger_close(plan.log_ends_at);
	return EXIT_SUCCESS;
}

/* Reads the settings and, unless @p check_only, runs the daemon; returns the exit status. */
static int load_and_run(const char *path, bool check_only)
{
	struct settings settings;
	GError *error = NULL;
	int status = EXIT_SUCCESS;

	if (!settings_read(path, &settings, &error)) {
		fprintf(stderr, "godwithitchd: %s\n", error->message);
		g_error_free(error);
		return EXIT_USAGE;
	}
	apr_initialize();
	if (!check_only && !logger_open(settings.log_file)) {
		fprintf(stderr, "godwithitchd: cannot open log file %s\n", settings.log_file);
		status = EXIT_FAILURE;
	} else if (!check_only) {
		status = run(&settings);
	}
	settings_clear(&settings);
	return status;
}

/* Has freed memory given back to the system: a VM has 160 MB for all that runs on it. */
static void limit_heap(void)
{
	mallopt(M_ARENA_MAX, HEAPS_MAX);
	mallopt(M_TRIM_THRESHOLD, HEAP_TRIM_BYTES);
	mallopt(M_TOP_PAD, HEAP_GROWTH_BYTES);
	mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES);
}

int main(int argc, char **argv)
{
	struct arg_file *file = arg_file0("f", NULL, "FILE", "settings");
	struct arg_lit *check = arg_lit0("n", NULL, "check the settings and exit");
	struct arg_end *end = arg_end(4);
	void *table[] = { file, check, end };
	bool parsed = arg_parse(argc, argv, table) == 0;
	const char *path = file->count ? file->filename[0] : platform_settings_path();
	int status = EXIT_USAGE;

	limit_heap();
	if (parsed && path)
		status = load_and_run(path, check->count > 0);
	else
		fprintf(stderr, "usage: godwithitchd [-n] -f settings.json\n");
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
