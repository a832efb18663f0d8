/*
 * Runs restarts, changes, moves and faults at the same time under load and checks that no read
 * fails, no key runs twice, and a node that is stopped by SIGTERM cuts no answer on connections
 * that callers use until it is gone. Signals to several nodes and changes come in series that
 * overlap. On node 0, which is never stopped, it also checks that the version of the configuration
 * never decreases and that memory and descriptors do not grow. The faults are signals to the
 * processes, faults of the fake log service, and a proxy between the nodes and the log that delays
 * bytes, drops them in one or both directions, or resets connections; some faults overlap. soak [-s
 * SECONDS] [-r SEED] [-n NODES]
 */
#include <curl/curl.h>
#include <dirent.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/rng.h"
#include "regress/lib/fleet.h"
#include "regress/lib/proxy.h"

enum { CALLERS = 6, SECONDS_DEFAULT = 600, NODES_DEFAULT = 12, STABLE_NODES = 4, INTERVAL_MS = 10 };

static struct fleet *fleet;
static struct proxy *proxy; /* between the nodes and the log */
static int nodes = NODES_DEFAULT;
static gint stop_load;
static GMutex mutex;
static int good_calls;
static int failed_reads;
static int not_run_reads;
static int keyed_unknown;
static char last_failure[256];
static int next_key;
static int failed_checks;
static int versions_applied;
static int extra_changes;
static gint cut_answers; /* by nodes that were stopped by SIGTERM */
static int series_run;

static void report_failure(const char *description, int64_t a, int64_t b)
{
	printf("FAIL  %s: %ld, %ld\n", description, a, b);
	fflush(stdout);
	failed_checks++;
}

static void record_reply(const struct http_reply *reply, bool keyed)
{
	g_mutex_lock(&mutex);
	if (reply->status == 200) {
		good_calls++;
	} else if (keyed && strcmp(reply->verdict, "ran") != 0) {
		/* A log failure makes the node refuse a keyed call or leaves its outcome open. */
		keyed_unknown++;
	} else if (strcmp(reply->verdict, "not-run") == 0) {
		not_run_reads++;
		g_snprintf(last_failure, sizeof(last_failure), "%ld %.*s", reply->status,
			   STR_ARG(strbuf_str(&reply->body)));
	} else {
		failed_reads++;
		g_snprintf(last_failure, sizeof(last_failure), "%ld %s %.*s", reply->status,
			   reply->version, STR_ARG(strbuf_str(&reply->body)));
	}
	g_mutex_unlock(&mutex);
}

/* Sends reads and keyed writes through two nodes that are never stopped. */
static gpointer caller_main(gpointer data)
{
	struct http_client *client = http_client_new();
	struct rng rng = { GPOINTER_TO_UINT(data) + 1 };

	while (!g_atomic_int_get(&stop_load)) {
		struct http_options options = { .timeout_ms = 15000 };
		bool keyed = rng_below(&rng, 10) == 0;
		struct http_reply reply;
		char key[64];
		char url[96];

		g_snprintf(key, sizeof(key), "Idempotency-Key: soak-%d-",
			   g_atomic_int_add(&next_key, 1));
		options.method = keyed ? "POST" : NULL;
		options.headers[0] = keyed ? key : NULL;
		g_snprintf(url, sizeof(url), "http://%s/%s",
			   fleet->nodes[rng_below(&rng, 2)].caller_address,
			   keyed ? "invoices" : "records");
		reply = http_do(client, url, &options);
		record_reply(&reply, keyed);
		http_reply_clear(&reply);
		wait_ms(INTERVAL_MS);
	}
	http_client_free(client);
	return NULL;
}

static char *make_config(const char *from, const char *to)
{
	struct strbuf config = { 0 };
	int64_t now_us = clock_now().wall_us;

	strbuf_addf(
		&config,
		"{\"services\": {\"s\": {\"versions\": {\"v1\": {\"share\": %d}, \"v2\": "
		"{\"share\": "
		"%d}}}}, \"routes\": [{\"name\": \"records\", \"path\": \"/records\", \"service\": "
		"\"s\", \"repeat\": \"idempotent\", \"deadline_ms\": 10000}, {\"name\": "
		"\"invoices\", "
		"\"path\": \"/invoices\", \"service\": \"s\", \"repeat\": \"at-most-once\", "
		"\"deadline_ms\": 5000}], \"moves\": [",
		strcmp(from, "v1") == 0 ? 100 : 0, strcmp(from, "v1") == 0 ? 0 : 100);
	strbuf_addf(&config, "{\"service\": \"s\", \"from\": \"%s\", \"to\": \"%s\", \"start\": \"",
		    from, to);
	clock_format_utc(&config, now_us);
	strbuf_addf(&config, "\", \"finish\": \"");
	clock_format_utc(&config, now_us + 20 * US_PER_S);
	strbuf_addf(&config, "\"}]}");
	strbuf_add(&config, (struct str){ "", 1 });
	return config.data;
}

static void apply_next(void)
{
	const char *from = versions_applied % 2 ? "v2" : "v1";
	char *config = make_config(from, versions_applied % 2 ? "v1" : "v2");
	struct strbuf output = { 0 };
	int status = fleet_apply(fleet, "soak.json", config, &output);

	/* As nodes restart, a change may be late on some of them; a rejection is a failure. */
	if (status == 1)
		report_failure("a change was rejected", versions_applied, status);
	versions_applied += status == 0;
	strbuf_clear(&output);
	g_free(config);
}

/* A caller that keeps using its connection to a node until the node is gone. */
struct lingering_caller {
	char url[96];
	gint node_gone;
	GThread *thread;
};

static gpointer linger(gpointer data)
{
	struct lingering_caller *caller = data;
	struct http_client *client = http_client_new();

	while (!g_atomic_int_get(&caller->node_gone)) {
		struct http_options options = { .timeout_ms = 15000 };
		struct http_reply reply = http_do(client, caller->url, &options);

		/* Without a status the node closed the connection before it read the request. */
		if (reply.status && !reply.complete)
			g_atomic_int_inc(&cut_answers);
		if (reply.status == 0)
			wait_ms(INTERVAL_MS);
		http_reply_clear(&reply);
	}
	http_client_free(client);
	return NULL;
}

static struct lingering_caller *linger_start(int index)
{
	struct lingering_caller *caller = g_new0(struct lingering_caller, 1);

	g_snprintf(caller->url, sizeof(caller->url), "http://%s/records",
		   fleet->nodes[index].caller_address);
	caller->thread = g_thread_new("linger", linger, caller);
	return caller;
}

static void linger_end(struct lingering_caller *caller)
{
	g_atomic_int_set(&caller->node_gone, 1);
	g_thread_join(caller->thread);
	g_free(caller);
}

/* A node on its way down. */
struct stop {
	int index;
	int signal_number;
	struct lingering_caller *caller; /* NULL for SIGKILL, which may cut answers */
};

static struct stop stop_begin(int index, int signal_number)
{
	struct stop stop = { index, signal_number, NULL };

	if (signal_number == SIGTERM)
		stop.caller = linger_start(index);
	process_signal(&fleet->nodes[index].target, signal_number);
	process_wait(&fleet->nodes[index].target, 10000);
	process_signal(&fleet->nodes[index].daemon, signal_number);
	return stop;
}

static void stop_end(const struct stop *stop)
{
	int expected = stop->signal_number == SIGTERM ? 0 : 128 + SIGKILL;
	char args[64];

	if (process_wait(&fleet->nodes[stop->index].daemon, 20000) != expected)
		report_failure("a node did not exit with the expected status", stop->index,
			       stop->signal_number);
	if (stop->caller)
		linger_end(stop->caller);
	fleet_restart_node(fleet, stop->index);
	g_snprintf(args, sizeof(args), "-s s -v v%d -c 500", stop->index % 2 + 1);
	fleet_add_target(fleet, stop->index, args);
}

static void restart_node(int index, int signal_number)
{
	struct stop stop = stop_begin(index, signal_number);

	stop_end(&stop);
}

/* Publishes changes of a second file in quick succession. The tool waits only briefly for nodes
 * that are being stopped. */
static gpointer apply_series(gpointer data)
{
	enum { SERIES_CHANGES = 4 };
	char *path = g_build_filename(fleet->dir, "extra.json", NULL);
	char *arguments = g_strdup_printf("-t 3 apply %s", path);

	(void)data;
	for (int i = 0; i < SERIES_CHANGES; i++) {
		char *content = g_strdup_printf(
			"{\"services\": {\"extra\": {\"versions\": \"any\"}}, \"routes\": "
			"[{\"name\": \"extra\", \"path\": \"/extra\", \"service\": \"extra\", "
			"\"deadline_ms\": %d}]}",
			1000 + ++extra_changes);

		g_file_set_contents(path, content, -1, NULL);
		if (fleet_tool(fleet, NULL, arguments) == 1)
			report_failure("a change of a series was rejected", extra_changes, 0);
		g_free(content);
	}
	g_free(arguments);
	g_free(path);
	return NULL;
}

/* Stops several nodes while others are still going down, pauses one more, and publishes meanwhile.
 */
static void run_series(struct rng *rng)
{
	GThread *changes = g_thread_new("changes", apply_series, NULL);
	int unstable = nodes - STABLE_NODES;
	int count = 1 + (int)rng_below(rng, (uint64_t)MIN(unstable - 1, 3));
	int first = (int)rng_below(rng, (uint64_t)unstable);
	struct process *paused = &fleet->nodes[STABLE_NODES + (first + count) % unstable].daemon;
	struct stop stops[4];

	process_signal(paused, SIGSTOP);
	for (int i = 0; i < count; i++) {
		stops[i] = stop_begin(STABLE_NODES + (first + i) % unstable,
				      rng_below(rng, 3) ? SIGTERM : SIGKILL);
		wait_ms((int)rng_below(rng, 400));
	}
	process_signal(paused, SIGCONT);
	for (int i = 0; i < count; i++)
		stop_end(&stops[i]);
	g_thread_join(changes);
	series_run++;
}

static int64_t config_version(int node)
{
	char url[64];
	struct http_reply reply;
	char *version_text;
	int64_t version = 0;

	g_snprintf(url, sizeof(url), "http://%s/v1/status", fleet->nodes[node].control_address);
	reply = http_get(url);
	strbuf_add(&reply.body, (struct str){ "", 1 });
	version_text = strstr(reply.body.data, "\"version\":");
	if (version_text)
		version = atol(version_text + 10);
	http_reply_clear(&reply);
	return version;
}

static long resident_kb(int node)
{
	char path[64];
	char *text = NULL;
	long kb = 0;

	g_snprintf(path, sizeof(path), "/proc/%d/status", fleet->nodes[node].daemon.pid);
	if (g_file_get_contents(path, &text, NULL, NULL) && strstr(text, "VmRSS:"))
		kb = atol(strstr(text, "VmRSS:") + 6);
	g_free(text);
	return kb;
}

static int count_descriptors(int node)
{
	char path[64];
	int count = 0;
	DIR *dir;

	g_snprintf(path, sizeof(path), "/proc/%d/fd", fleet->nodes[node].daemon.pid);
	dir = opendir(path);
	while (dir && readdir(dir))
		count++;
	if (dir)
		closedir(dir);
	return count;
}

static void inject_fault(struct rng *rng);

/* Disturbs the connections to the log and injects another fault meanwhile. */
static void disturb_log(struct rng *rng)
{
	enum proxy_mode mode = PROXY_DELAY + (int)rng_below(rng, PROXY_MODE_COUNT - PROXY_DELAY);

	proxy_set(proxy, mode);
	inject_fault(rng);
	wait_ms(500 + (int)rng_below(rng, 2000));
	proxy_set(proxy, PROXY_PASS);
}

/* Injects a random fault. The first STABLE_NODES nodes receive no signals. */
static void inject_fault(struct rng *rng)
{
	int index = STABLE_NODES + (int)rng_below(rng, (uint64_t)(nodes - STABLE_NODES));

	switch (rng_below(rng, 11)) {
	case 9:
	case 10:
		if (nodes - STABLE_NODES > 1)
			run_series(rng);
		return;
	case 0:
		restart_node(index, SIGKILL);
		return;
	case 1:
	case 2:
		restart_node(index, SIGTERM);
		return;
	case 3:
		process_signal(&fleet->nodes[index].daemon, SIGSTOP);
		wait_ms(1500);
		process_signal(&fleet->nodes[index].daemon, SIGCONT);
		return;
	case 4:
		fleet_log_fault(fleet, "out=1");
		wait_ms(1500);
		fleet_log_fault(fleet, "out=0");
		return;
	case 5:
		fleet_log_fault(fleet, "lose_answers=2");
		return;
	default:
		disturb_log(rng);
		return;
	}
}

/* Counts the keys that ran more than once, by the counts of the running targets; a target loses its
 * counts when it is restarted. */
static int keys_run_twice(void)
{
	GHashTable *runs = fleet_runs(fleet);
	GHashTableIter iter;
	gpointer count;
	int found = 0;

	g_hash_table_iter_init(&iter, runs);
	while (g_hash_table_iter_next(&iter, NULL, &count))
		found += GPOINTER_TO_INT(count) > 1;
	g_hash_table_destroy(runs);
	return found;
}

static void start_fleet(void)
{
	char args[64];

	fleet = fleet_new(0);
	proxy = proxy_new(fleet->log_port);
	fleet->nodes_log_port = proxy_port(proxy);
	for (int i = 0; i < nodes; i++)
		fleet_add_node(fleet, i % 2 ? "fes-b" : "fes-a");
	for (int i = 0; i < nodes; i++) {
		g_snprintf(args, sizeof(args), "-s s -v v%d", i % 2 + 1);
		fleet_add_target(fleet, i, args);
	}
	if (!fleet_wait_live(fleet, nodes, 30000))
		report_failure("the fleet did not start", nodes, 0);
	apply_next();
	wait_ms(2000);
}

static void run_faults(int seconds, struct rng *rng)
{
	GThread *callers[CALLERS];
	int64_t end_us = clock_now().mono_us + seconds * US_PER_S;
	int64_t next_apply_us = 0;
	int64_t last_version = 0;
	long first_kb = 0;
	int first_descriptors = 0;
	int faults = 0;

	for (int i = 0; i < CALLERS; i++)
		callers[i] = g_thread_new("caller", caller_main, GINT_TO_POINTER(i));
	while (clock_now().mono_us < end_us) {
		int64_t version = config_version(0);

		if (version < last_version)
			report_failure("a node went back to an older version", version,
				       last_version);
		last_version = version;
		if (clock_now().mono_us > next_apply_us) {
			apply_next();
			next_apply_us = clock_now().mono_us + 30 * US_PER_S;
		}
		inject_fault(rng);
		wait_ms(500);
		if (++faults == 5) {
			first_kb = resident_kb(0);
			first_descriptors = count_descriptors(0);
		}
	}
	g_atomic_int_set(&stop_load, 1);
	for (int i = 0; i < CALLERS; i++)
		g_thread_join(callers[i]);
	printf("node 0, which was not stopped: memory %ld -> %ld KB, descriptors %d -> %d\n",
	       first_kb, resident_kb(0), first_descriptors, count_descriptors(0));
	if (first_kb && resident_kb(0) > first_kb + 16384)
		report_failure("memory grows", first_kb, resident_kb(0));
	if (first_descriptors && count_descriptors(0) > first_descriptors + 40)
		report_failure("descriptors grow", first_descriptors, count_descriptors(0));
}

int main(int argc, char **argv)
{
	struct rng rng = { 1 };
	int seconds = SECONDS_DEFAULT;
	int option;

	while ((option = getopt(argc, argv, "s:r:n:")) != -1) {
		if (option == 's')
			seconds = atoi(optarg);
		else if (option == 'r')
			rng.state = (uint64_t)atoi(optarg);
		else if (option == 'n')
			nodes = atoi(optarg);
		else
			return 2;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	start_fleet();
	run_faults(seconds, &rng);
	printf("%d good, %d failed, %d not-run, %d keyed without outcome; last failure: %s\n",
	       good_calls, failed_reads, not_run_reads, keyed_unknown, last_failure);
	if (failed_reads || not_run_reads)
		report_failure("reads failed", failed_reads, not_run_reads);
	printf("%d series, %d changes in them\n", series_run, extra_changes);
	if (g_atomic_int_get(&cut_answers))
		report_failure("answers were cut by nodes that stop", cut_answers, 0);
	if (keys_run_twice())
		report_failure("a key ran twice", keys_run_twice(), 0);
	if (good_calls < seconds * 20)
		report_failure("too few good calls", good_calls, seconds);
	fleet_free(fleet);
	proxy_free(proxy);
	printf("%s after %d s\n", failed_checks ? "NOT as stated" : "all as stated", seconds);
	return failed_checks != 0;
}
