/*
 * Added latency of a call through one and two nodes against the same call straight to the target,
 * side by side: the ways take turns, call by call, so that the machine's noise hits them alike.
 *   bench [-n CALLS] [-t THREADS]
 */
#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "base/clock.h"
#include "regress/lib/fleet.h"

enum { WAYS = 3, CALLS_DEFAULT = 4000, THREADS_DEFAULT = 4, WARM_CALLS = 200 };

static const char *const way_names[WAYS] = { "straight to the target", "through one node",
					     "through two nodes" };

static char *urls[WAYS];
static int calls = CALLS_DEFAULT;

struct caller {
	GThread *thread;
	GArray *took[WAYS]; /* int64_t us */
	int failed;
};

static void one_call(struct http_client *client, struct caller *caller, int way, bool keep)
{
	struct http_options options = { 0 };
	struct http_reply reply = http_do(client, urls[way], &options);

	if (reply.status != 200 || !reply.whole)
		caller->failed++;
	else if (keep)
		g_array_append_val(caller->took[way], reply.took_us);
	http_clear(&reply);
}

static gpointer caller_main(gpointer data)
{
	struct caller *caller = data;
	struct http_client *clients[WAYS];

	for (int way = 0; way < WAYS; way++) {
		clients[way] = http_new();
		caller->took[way] = g_array_new(FALSE, FALSE, sizeof(int64_t));
	}
	for (int i = 0; i < calls + WARM_CALLS; i++)
		for (int way = 0; way < WAYS; way++)
			one_call(clients[way], caller, way, i >= WARM_CALLS);
	for (int way = 0; way < WAYS; way++)
		http_free(clients[way]);
	return NULL;
}

static gint compare(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int64_t quantile(const GArray *sorted, double q)
{
	return sorted->len ? g_array_index(sorted, int64_t, (guint)(q * (sorted->len - 1))) : 0;
}

static void report(struct caller *callers, int threads)
{
	static const double quantiles[] = { 0.5, 0.99, 0.999 };
	int64_t base[G_N_ELEMENTS(quantiles)] = { 0 };

	printf("%d threads, %d calls each way and thread\n", threads, calls);
	for (int way = 0; way < WAYS; way++) {
		GArray *all = g_array_new(FALSE, FALSE, sizeof(int64_t));

		for (int i = 0; i < threads; i++)
			g_array_append_vals(all, callers[i].took[way]->data,
					    callers[i].took[way]->len);
		g_array_sort(all, compare);
		printf("%-24s", way_names[way]);
		for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++) {
			int64_t us = quantile(all, quantiles[i]);

			if (way == 0)
				base[i] = us;
			printf("  p%g %5ld us (+%ld)", quantiles[i] * 100, us, us - base[i]);
		}
		printf("\n");
		g_array_unref(all);
	}
}

int main(int argc, char **argv)
{
	struct fleet *fleet;
	struct caller *callers;
	int threads = THREADS_DEFAULT;
	int failed = 0;
	int option;

	while ((option = getopt(argc, argv, "n:t:")) != -1) {
		if (option == 'n')
			calls = atoi(optarg);
		else if (option == 't')
			threads = atoi(optarg);
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	fleet = fleet_new(0);
	fleet_add_node(fleet, "fes-a");
	fleet_add_node(fleet, "fes-a");
	fleet_add_target(fleet, 1, "-s registre -v v1 -n 64 -l 0");
	if (!fleet_wait_live(fleet, 2, 10000) ||
	    !fleet_wait_text(fleet, 0, "/v1/members", "registre", 10000) ||
	    fleet_apply(fleet, "bench.json",
			"{\"services\": {\"registre\": {\"versions\": {\"v1\": {\"share\": 100}}}},"
			"\"routes\": [{\"name\": \"r\", \"path\": \"/\", \"service\": \"registre\","
			"\"repeat\": \"idempotent\"}]}",
			NULL) != 0) {
		fprintf(stderr, "bench: the fleet did not start\n");
		return 1;
	}
	urls[0] = g_strdup_printf("http://127.0.0.1:%d/x", fleet->nodes[1].target_port);
	urls[1] = g_strdup_printf("http://%s/x", fleet->nodes[1].callers);
	urls[2] = g_strdup_printf("http://%s/x", fleet->nodes[0].callers);
	callers = g_new0(struct caller, threads);
	for (int i = 0; i < threads; i++)
		callers[i].thread = g_thread_new("caller", caller_main, &callers[i]);
	for (int i = 0; i < threads; i++) {
		g_thread_join(callers[i].thread);
		failed += callers[i].failed;
	}
	report(callers, threads);
	printf("failed calls: %d\n", failed);
	fleet_free(fleet);
	return failed != 0;
}
