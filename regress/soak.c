/*
 * Churn of targets, changes, moves and faults at once under load, with the invariants on: no read
 * fails but by the bad version, no key runs twice, versions never go back, memory and descriptors
 * stay flat. Faults come from outside: signals to the processes, the log's stand-in, and a proxy
 * between the nodes and the log that delays, resets, silences or cuts one way; some overlap.
 *   soak [-s SECONDS] [-r SEED] [-n NODES]
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

enum { CALLERS = 6, SECONDS_DEFAULT = 600, NODES_DEFAULT = 12, FIXED = 4, PAUSE_MS = 10 };

static struct fleet *fleet;
static struct proxy *proxy; /* before the log */
static int nodes = NODES_DEFAULT;
static gint stop;
static GMutex mutex;
static int good;
static int failed;
static int not_run;
static int keyed_unknown;
static char last_failure[256];
static int next_key;
static int problems;
static int versions_applied;

static void problem(const char *what, int64_t a, int64_t b)
{
	printf("FAIL  %s: %ld, %ld\n", what, a, b);
	fflush(stdout);
	problems++;
}

static void note(const struct http_reply *reply, bool keyed)
{
	g_mutex_lock(&mutex);
	if (reply->status == 200) {
		good++;
	} else if (keyed && strcmp(reply->verdict, "ran") != 0) {
		/* The log is out now and then: a keyed call is then refused, or its outcome
		 * unknown. */
		keyed_unknown++;
	} else if (strcmp(reply->verdict, "not-run") == 0) {
		not_run++;
		g_snprintf(last_failure, sizeof(last_failure), "%ld %.*s", reply->status,
			   STR_ARG(strbuf_str(&reply->body)));
	} else {
		failed++;
		g_snprintf(last_failure, sizeof(last_failure), "%ld %s %.*s", reply->status,
			   reply->version, STR_ARG(strbuf_str(&reply->body)));
	}
	g_mutex_unlock(&mutex);
}

/* Reads and keyed writes, through the nodes that stay. */
static gpointer caller_main(gpointer data)
{
	struct http_client *client = http_new();
	struct rng rng = { GPOINTER_TO_UINT(data) + 1 };

	while (!g_atomic_int_get(&stop)) {
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
			   fleet->nodes[rng_below(&rng, 2)].callers,
			   keyed ? "invoices" : "records");
		reply = http_do(client, url, &options);
		note(&reply, keyed);
		http_clear(&reply);
		wait_ms(PAUSE_MS);
	}
	http_free(client);
	return NULL;
}

static char *make_file(const char *from, const char *to)
{
	struct strbuf file = { 0 };
	int64_t now_us = clock_now().wall_us;

	strbuf_addf(
		&file,
		"{\"services\": {\"s\": {\"versions\": {\"v1\": {\"share\": %d}, \"v2\": "
		"{\"share\": "
		"%d}}}}, \"routes\": [{\"name\": \"records\", \"path\": \"/records\", \"service\": "
		"\"s\", \"repeat\": \"idempotent\", \"deadline_ms\": 10000}, {\"name\": "
		"\"invoices\", "
		"\"path\": \"/invoices\", \"service\": \"s\", \"repeat\": \"at-most-once\", "
		"\"deadline_ms\": 5000}], \"moves\": [",
		strcmp(from, "v1") == 0 ? 100 : 0, strcmp(from, "v1") == 0 ? 0 : 100);
	strbuf_addf(&file, "{\"service\": \"s\", \"from\": \"%s\", \"to\": \"%s\", \"start\": \"",
		    from, to);
	clock_format_utc(&file, now_us);
	strbuf_addf(&file, "\", \"finish\": \"");
	clock_format_utc(&file, now_us + 20 * US_PER_S);
	strbuf_addf(&file, "\"}]}");
	strbuf_add(&file, (struct str){ "", 1 });
	return file.data;
}

static void apply_next(void)
{
	const char *from = versions_applied % 2 ? "v2" : "v1";
	char *file = make_file(from, versions_applied % 2 ? "v1" : "v2");
	struct strbuf out = { 0 };
	int status = fleet_apply(fleet, "soak.json", file, &out);

	/* Nodes come and go meanwhile, so that "in force" may wait for one; a rejection may not be.
	 */
	if (status == 1)
		problem("a change was rejected", versions_applied, status);
	versions_applied += status == 0;
	strbuf_clear(&out);
	g_free(file);
}

static void restart(struct fleet *f, int index, int how)
{
	char args[64];

	process_signal(&f->nodes[index].target, how);
	process_wait(&f->nodes[index].target, 10000);
	process_signal(&f->nodes[index].daemon, how);
	if (process_wait(&f->nodes[index].daemon, 20000) != (how == SIGTERM ? 0 : 128 + SIGKILL))
		problem("a node did not end as asked", index, how);
	fleet_restart_node(f, index);
	g_snprintf(args, sizeof(args), "-s s -v v%d -c 500", index % 2 + 1);
	fleet_add_target(f, index, args);
}

static int64_t version_of(int node)
{
	char url[64];
	struct http_reply reply;
	char *at;
	int64_t version = 0;

	g_snprintf(url, sizeof(url), "http://%s/v1/status", fleet->nodes[node].control);
	reply = http_get(url);
	strbuf_add(&reply.body, (struct str){ "", 1 });
	at = strstr(reply.body.data, "\"version\":");
	if (at)
		version = atol(at + 10);
	http_clear(&reply);
	return version;
}

static long memory_kb(int node)
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

static int descriptors(int node)
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

static void one_fault(struct rng *rng);

/* Harms the connections to the log, and something else goes wrong meanwhile. */
static void harm_log(struct rng *rng)
{
	enum proxy_mode mode = PROXY_DELAY + (int)rng_below(rng, PROXY_MODES - PROXY_DELAY);

	proxy_set(proxy, mode);
	one_fault(rng);
	wait_ms(500 + (int)rng_below(rng, 2000));
	proxy_set(proxy, PROXY_PASS);
}

/* One seeded fault; the first FIXED nodes are left alone. */
static void one_fault(struct rng *rng)
{
	int index = FIXED + (int)rng_below(rng, (uint64_t)(nodes - FIXED));

	switch (rng_below(rng, 9)) {
	case 0:
		restart(fleet, index, SIGKILL);
		return;
	case 1:
	case 2:
		restart(fleet, index, SIGTERM);
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
		harm_log(rng);
		return;
	}
}

static int doubles(void)
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
		problem("the fleet did not start", nodes, 0);
	apply_next();
	wait_ms(2000);
}

static void run(int seconds, struct rng *rng)
{
	GThread *callers[CALLERS];
	int64_t end_us = clock_now().mono_us + seconds * US_PER_S;
	int64_t apply_at_us = 0;
	int64_t seen = 0;
	long first_kb = 0;
	int first_descriptors = 0;
	int steps = 0;

	for (int i = 0; i < CALLERS; i++)
		callers[i] = g_thread_new("caller", caller_main, GINT_TO_POINTER(i));
	while (clock_now().mono_us < end_us) {
		int64_t version = version_of(0);

		if (version < seen)
			problem("a node went back to an older version", version, seen);
		seen = version;
		if (clock_now().mono_us > apply_at_us) {
			apply_next();
			apply_at_us = clock_now().mono_us + 30 * US_PER_S;
		}
		one_fault(rng);
		wait_ms(500);
		if (++steps == 5) {
			first_kb = memory_kb(0);
			first_descriptors = descriptors(0);
		}
	}
	g_atomic_int_set(&stop, 1);
	for (int i = 0; i < CALLERS; i++)
		g_thread_join(callers[i]);
	printf("memory of a node that stayed %ld -> %ld KB, descriptors %d -> %d\n", first_kb,
	       memory_kb(0), first_descriptors, descriptors(0));
	if (first_kb && memory_kb(0) > first_kb + 16384)
		problem("memory grows", first_kb, memory_kb(0));
	if (first_descriptors && descriptors(0) > first_descriptors + 40)
		problem("descriptors grow", first_descriptors, descriptors(0));
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
	run(seconds, &rng);
	printf("%d good, %d failed, %d not-run, %d keyed without outcome; last: %s\n", good, failed,
	       not_run, keyed_unknown, last_failure);
	if (failed || not_run)
		problem("reads failed", failed, not_run);
	if (doubles())
		problem("a key ran twice", doubles(), 0);
	if (good < seconds * 20)
		problem("too few calls", good, seconds);
	fleet_free(fleet);
	proxy_free(proxy);
	printf("%s after %d s\n", problems ? "NOT as stated" : "all as stated", seconds);
	return problems != 0;
}
