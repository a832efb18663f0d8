/*
 * A short show on loopback: six nodes in two data centres, two tenants' calls, a move to a good
 * version, a bad one taken back, a node stopped under load. Exits with 1 if an outcome is not as
 * stated.
 */
#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "regress/lib/fleet.h"

enum { NODES = 6, CALLERS = 8, VERSIONS = 3, MOVE_S = 15, PAUSE_MS = 20, SECONDS_MAX = 120 };

static struct fleet *fleet;
static gint stop_load;
static GMutex mutex;
static int served[SECONDS_MAX][VERSIONS];
static int failed_bad; /* answers of the bad version that were failures */
static int failed_other;
static char last_failure[160];
static int64_t start_us;
static int problems;

static void expect(bool good, const char *what)
{
	printf("%s  %s\n", good ? "ok  " : "FAIL", what);
	fflush(stdout);
	problems += !good;
}

static void note_call(const struct http_reply *reply)
{
	int second = (int)((clock_now().mono_us - start_us) / US_PER_S);
	int version = reply->version[0] == 'v' ? reply->version[1] - '1' : -1;

	g_mutex_lock(&mutex);
	if (version >= 0 && version < VERSIONS && second < SECONDS_MAX)
		served[second][version]++;
	if (reply->status != 200 && version == 2)
		failed_bad++;
	else if (reply->status != 200) {
		failed_other++;
		g_snprintf(last_failure, sizeof(last_failure), "%ld %.*s", reply->status,
			   STR_ARG(strbuf_str(&reply->body)));
	}
	g_mutex_unlock(&mutex);
}

/* One caller: a studio's reads through one of two entry nodes. */
static gpointer caller_main(gpointer data)
{
	int number = GPOINTER_TO_INT(data);
	struct http_client *client = http_new();
	char *url = g_strdup_printf("http://%s/records/%d",
				    fleet->nodes[number % 2 ? 0 : 3].callers, number);

	while (!g_atomic_int_get(&stop_load)) {
		struct http_options options = { .headers = { number % 3 ? "X-Studio: medina"
									: "X-Studio: kasbah" } };
		struct http_reply reply = http_do(client, url, &options);

		note_call(&reply);
		http_clear(&reply);
		wait_ms(PAUSE_MS);
	}
	g_free(url);
	http_free(client);
	return NULL;
}

static char *make_file(const char *from, const char *to)
{
	struct strbuf file = { 0 };
	int64_t now_us = clock_now().wall_us;

	strbuf_addf(&file,
		    "{ // the studios' records\n"
		    "\"services\": {\"registre\": {\"versions\": {"
		    "\"v1\": {\"share\": %d}, \"v2\": {\"share\": %d}, \"v3\": {}}}},\n"
		    "\"routes\": [{\"name\": \"records\", \"path\": \"/records\", \"service\": "
		    "\"registre\", \"class\": \"interactive\", \"repeat\": \"idempotent\","
		    "\"tenant_header\": \"X-Studio\", \"deadline_ms\": 2000}],\n",
		    strcmp(from, "v1") == 0 ? 100 : 0, strcmp(from, "v1") == 0 ? 0 : 100);
	strbuf_addf(&file, "\"moves\": [");
	if (to) {
		strbuf_addf(&file,
			    "{\"service\": \"registre\", \"from\": \"%s\", \"to\": \"%s\", "
			    "\"start\": \"",
			    from, to);
		clock_format_utc(&file, now_us + US_PER_S);
		strbuf_addf(&file, "\", \"finish\": \"");
		clock_format_utc(&file, now_us + (MOVE_S + 1) * US_PER_S);
		strbuf_addf(&file, "\"}");
	}
	strbuf_addf(&file, "]}\n");
	strbuf_add(&file, (struct str){ "", 1 });
	return file.data;
}

static void apply(const char *from, const char *to, const char *what)
{
	char *file = make_file(from, to);
	struct strbuf out = { 0 };
	int64_t before_us = clock_now().mono_us;
	int status = fleet_apply(fleet, "atelier.json", file, &out);
	int64_t took_us = clock_now().mono_us - before_us;

	printf("      apply: %.*s", STR_ARG(str_sub(strbuf_str(&out), 0, out.len - 1)));
	printf("      convergence, as the tool saw it: %ld ms\n", took_us / 1000);
	expect(status == 0 && took_us < 8 * US_PER_S, what);
	strbuf_clear(&out);
	g_free(file);
}

static void watch(int expected, const char *what)
{
	struct strbuf out = { 0 };
	int status = fleet_tool(fleet, &out, "-t 40 watch registre");

	printf("%.*s", STR_ARG(str_sub(strbuf_str(&out), 0, out.len - 1)));
	expect(status == expected, what);
	strbuf_clear(&out);
}

static void print_shares(int seconds)
{
	printf("\n      calls a second by version (v1 v2 v3)\n");
	for (int s = 0; s < seconds && s < SECONDS_MAX; s += 2) {
		int sum[VERSIONS];
		int total = 0;

		for (int v = 0; v < VERSIONS; v++) {
			sum[v] = served[s][v] + served[s + 1][v];
			total += sum[v];
		}
		printf("      %3d s  %5d %5d %5d   ", s, sum[0] / 2, sum[1] / 2, sum[2] / 2);
		for (int v = 0; total && v < VERSIONS; v++)
			for (int i = 0; i < sum[v] * 40 / total; i++)
				putchar('1' + v);
		putchar('\n');
	}
}

static int64_t control_bytes(void)
{
	int64_t bytes = 0;

	for (int i = 0; i < NODES; i++)
		if (fleet->nodes[i].daemon.pid)
			bytes += fleet_metric(fleet, i, "godwithitch_control_sent_bytes") +
				 fleet_metric(fleet, i, "godwithitch_control_received_bytes");
	return bytes;
}

static void start_fleet(void)
{
	static const char *const targets[NODES] = {
		"-s registre -v v1", "-s registre -v v1",	  "-s registre -v v2 -c 1000",
		"-s registre -v v1", "-s registre -v v2 -c 1000", "-s registre -v v3 -f 40"
	};

	fleet = fleet_new(0);
	for (int i = 0; i < NODES; i++)
		fleet_add_node(fleet, i < NODES / 2 ? "fes-a" : "fes-b");
	for (int i = 0; i < NODES; i++)
		fleet_add_target(fleet, i, targets[i]);
	expect(fleet_wait_live(fleet, NODES, 15000), "six nodes in two data centres are current");
	for (int i = 0; i < NODES; i++)
		fleet_wait_text(fleet, i, "/v1/members", "\"version\":\"v3\"", 5000);
}

int main(void)
{
	GThread *callers[CALLERS];
	int64_t bytes;
	int64_t from_us;
	int seconds;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	start_us = clock_now().mono_us;
	start_fleet();
	apply("v1", NULL, "a file is accepted and in force on all nodes within 8 s");
	for (int i = 0; i < CALLERS; i++)
		callers[i] = g_thread_new("caller", caller_main, GINT_TO_POINTER(i));
	wait_ms(2000);
	bytes = control_bytes();
	from_us = clock_now().mono_us;
	apply("v1", "v2", "the move to v2 is declared");
	watch(0, "the move to a good version is done in time");
	apply("v2", "v3", "the move to v3 is declared");
	watch(1, "the move to a bad version is taken back");
	process_signal(&fleet->nodes[2].daemon, SIGTERM);
	expect(process_wait(&fleet->nodes[2].daemon, 10000) == 0,
	       "a node stops under load, with nothing cut");
	bytes = control_bytes() - bytes;
	wait_ms(1000);
	g_atomic_int_set(&stop_load, 1);
	for (int i = 0; i < CALLERS; i++)
		g_thread_join(callers[i]);
	seconds = (int)((clock_now().mono_us - start_us) / US_PER_S);
	print_shares(seconds);
	printf("\n      control bytes a node a second, both directions: %.0f\n",
	       (double)bytes / NODES / ((double)(clock_now().mono_us - from_us) / 1e6));
	printf("      calls failed: %d of the bad version before it was contained, %d others %s\n",
	       failed_bad, failed_other, last_failure);
	expect(failed_other == 0, "no call failed but those that met the bad version");
	fleet_free(fleet);
	printf("%s after %d s\n", problems ? "NOT as stated" : "all as stated", seconds);
	return problems != 0;
}
