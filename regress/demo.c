/*
 * A short demonstration on loopback: six nodes in two data centres, calls of two tenants, a move to
 * a good version, the withdrawal of a move to a bad version, and a node that stops under load.
 * Exits with 1 if a check fails.
 */
#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "regress/lib/fleet.h"

enum { NODES = 6, CALLERS = 8, VERSIONS = 3, MOVE_S = 15, INTERVAL_MS = 20, SECONDS_MAX = 120 };

static struct fleet *fleet;
static gint stop_load;
static GMutex mutex;
static int answered_calls[SECONDS_MAX][VERSIONS];
static int failed_bad_version; /* failed answers of v3, the bad version */
static int failed_other;
static char last_failure[160];
static int64_t start_us;
static int failed_checks;

static void check(bool is_met, const char *description)
{
	printf("%s  %s\n", is_met ? "ok  " : "FAIL", description);
	fflush(stdout);
	failed_checks += !is_met;
}

static void record_call(const struct http_reply *reply)
{
	int second = (int)((clock_now().mono_us - start_us) / US_PER_S);
	int version = reply->version[0] == 'v' ? reply->version[1] - '1' : -1;

	g_mutex_lock(&mutex);
	if (version >= 0 && version < VERSIONS && second < SECONDS_MAX)
		answered_calls[second][version]++;
	if (reply->status != 200 && version == 2)
		failed_bad_version++;
	else if (reply->status != 200) {
		failed_other++;
		g_snprintf(last_failure, sizeof(last_failure), "%ld %.*s", reply->status,
			   STR_ARG(strbuf_str(&reply->body)));
	}
	g_mutex_unlock(&mutex);
}

/* Sends reads of one tenant, a studio, through one of two entry nodes until the load stops. */
static gpointer caller_main(gpointer data)
{
	int number = GPOINTER_TO_INT(data);
	struct http_client *client = http_client_new();
	char *url = g_strdup_printf("http://%s/records/%d",
				    fleet->nodes[number % 2 ? 0 : 3].caller_address, number);

	while (!g_atomic_int_get(&stop_load)) {
		struct http_options options = { .headers = { number % 3 ? "X-Studio: medina"
									: "X-Studio: kasbah" } };
		struct http_reply reply = http_do(client, url, &options);

		record_call(&reply);
		http_reply_clear(&reply);
		wait_ms(INTERVAL_MS);
	}
	g_free(url);
	http_client_free(client);
	return NULL;
}

static char *make_config(const char *from, const char *to)
{
	struct strbuf config = { 0 };
	int64_t now_us = clock_now().wall_us;

	strbuf_addf(&config,
		    "{ // the studios' records\n"
		    "\"services\": {\"registre\": {\"versions\": {"
		    "\"v1\": {\"share\": %d}, \"v2\": {\"share\": %d}, \"v3\": {}}}},\n"
		    "\"routes\": [{\"name\": \"records\", \"path\": \"/records\", \"service\": "
		    "\"registre\", \"class\": \"interactive\", \"repeat\": \"idempotent\","
		    "\"tenant_header\": \"X-Studio\", \"deadline_ms\": 2000}],\n",
		    strcmp(from, "v1") == 0 ? 100 : 0, strcmp(from, "v1") == 0 ? 0 : 100);
	strbuf_addf(&config, "\"moves\": [");
	if (to) {
		strbuf_addf(&config,
			    "{\"service\": \"registre\", \"from\": \"%s\", \"to\": \"%s\", "
			    "\"start\": \"",
			    from, to);
		clock_format_utc(&config, now_us + US_PER_S);
		strbuf_addf(&config, "\", \"finish\": \"");
		clock_format_utc(&config, now_us + (MOVE_S + 1) * US_PER_S);
		strbuf_addf(&config, "\"}");
	}
	strbuf_addf(&config, "]}\n");
	strbuf_add(&config, (struct str){ "", 1 });
	return config.data;
}

static void apply_config(const char *from, const char *to, const char *description)
{
	char *config = make_config(from, to);
	struct strbuf output = { 0 };
	int64_t before_us = clock_now().mono_us;
	int status = fleet_apply(fleet, "atelier.json", config, &output);
	int64_t took_us = clock_now().mono_us - before_us;

	printf("      apply: %.*s", STR_ARG(str_sub(strbuf_str(&output), 0, output.len - 1)));
	printf("      duration of the apply command: %ld ms\n", took_us / 1000);
	check(status == 0 && took_us < 8 * US_PER_S, description);
	strbuf_clear(&output);
	g_free(config);
}

static void watch_move(int expected, const char *description)
{
	struct strbuf output = { 0 };
	int status = fleet_tool(fleet, &output, "-t 40 watch registre");

	printf("%.*s", STR_ARG(str_sub(strbuf_str(&output), 0, output.len - 1)));
	check(status == expected, description);
	strbuf_clear(&output);
}

static void print_calls_by_version(int seconds)
{
	printf("\n      calls per second by version (v1 v2 v3)\n");
	for (int s = 0; s < seconds && s < SECONDS_MAX; s += 2) {
		int sum[VERSIONS];
		int total = 0;

		for (int v = 0; v < VERSIONS; v++) {
			sum[v] = answered_calls[s][v] + answered_calls[s + 1][v];
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
	check(fleet_wait_live(fleet, NODES, 15000), "six nodes in two data centres are current");
	for (int i = 0; i < NODES; i++)
		fleet_wait_text(fleet, i, "/v1/members", "\"version\":\"v3\"", 5000);
}

int main(void)
{
	GThread *callers[CALLERS];
	int64_t bytes;
	int64_t bytes_since_us;
	int seconds;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	start_us = clock_now().mono_us;
	start_fleet();
	apply_config("v1", NULL, "a file is accepted and in force on all nodes within 8 s");
	for (int i = 0; i < CALLERS; i++)
		callers[i] = g_thread_new("caller", caller_main, GINT_TO_POINTER(i));
	wait_ms(2000);
	bytes = control_bytes();
	bytes_since_us = clock_now().mono_us;
	apply_config("v1", "v2", "the move to v2 is declared");
	watch_move(0, "the move to a good version is done in time");
	apply_config("v2", "v3", "the move to v3 is declared");
	watch_move(1, "the move to a bad version is taken back");
	process_signal(&fleet->nodes[2].daemon, SIGTERM);
	check(process_wait(&fleet->nodes[2].daemon, 10000) == 0,
	      "a node stops under load without cutting a request");
	bytes = control_bytes() - bytes;
	wait_ms(1000);
	g_atomic_int_set(&stop_load, 1);
	for (int i = 0; i < CALLERS; i++)
		g_thread_join(callers[i]);
	seconds = (int)((clock_now().mono_us - start_us) / US_PER_S);
	print_calls_by_version(seconds);
	printf("\n      control bytes per node and second, both directions: %.0f\n",
	       (double)bytes / NODES / ((double)(clock_now().mono_us - bytes_since_us) / 1e6));
	printf("      calls failed: %d of the bad version before it was contained, %d others %s\n",
	       failed_bad_version, failed_other, last_failure);
	check(failed_other == 0, "no call failed except calls that the bad version answered");
	fleet_free(fleet);
	printf("%s after %d s\n", failed_checks ? "NOT as stated" : "all as stated", seconds);
	return failed_checks != 0;
}
