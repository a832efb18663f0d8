/*
 * Added latency of a call through one and two nodes against the same call straight to the target,
 * side by side: the ways take turns, call by call, so that the machine's noise hits them alike.
 *   bench [-n CALLS] [-t THREADS]
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "regress/lib/fleet.h"

enum { WAYS = 4, FLOOR_HOPS = 3, CALLS_DEFAULT = 4000, THREADS_DEFAULT = 4, WARM_CALLS = 200 };

static const char *const way_names[WAYS] = { "straight to the target", "through one node",
					     "through two nodes", "floor: a byte over 3 hops" };

static char *urls[WAYS - 1];
static int calls = CALLS_DEFAULT;

struct caller {
	GThread *thread;
	GArray *took[WAYS]; /* int64_t us */
	int failed;
};

/* The floor: what the same number of hand-offs between threads over TCP costs without any work. */
struct hop {
	int in;
	int out; /* -1: the last one, which echoes */
};

static gpointer hop_main(gpointer data)
{
	struct hop hop = *(struct hop *)data;
	char byte;

	g_free(data);
	while (read(hop.in, &byte, 1) == 1) {
		if (hop.out >= 0 && (write(hop.out, &byte, 1) != 1 || read(hop.out, &byte, 1) != 1))
			break;
		if (write(hop.in, &byte, 1) != 1)
			break;
	}
	return NULL;
}

/* A connected pair of TCP sockets on loopback. */
static void tcp_pair(int fds[2])
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int one = 1;

	if (bind(listener, (struct sockaddr *)&address, len) != 0 || listen(listener, 1) != 0)
		abort();
	getsockname(listener, (struct sockaddr *)&address, &len);
	fds[0] = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(fds[0], (struct sockaddr *)&address, len) != 0)
		abort();
	fds[1] = accept(listener, NULL, NULL);
	close(listener);
	for (int i = 0; i < 2; i++)
		setsockopt(fds[i], IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

/* Starts a chain of hops; the socket that leads into it. */
static int start_chain(void)
{
	int pair[2];
	int next = -1;

	for (int i = 0; i < FLOOR_HOPS; i++) {
		struct hop *hop = g_new0(struct hop, 1);

		tcp_pair(pair);
		hop->in = pair[1];
		hop->out = next;
		next = pair[0];
		g_thread_unref(g_thread_new("hop", hop_main, hop));
	}
	return next;
}

static void one_byte(struct caller *caller, int chain, bool keep)
{
	int64_t start_us = clock_now().mono_us;
	int64_t took_us;
	char byte = 'x';

	if (write(chain, &byte, 1) != 1 || read(chain, &byte, 1) != 1)
		caller->failed++;
	took_us = clock_now().mono_us - start_us;
	if (keep)
		g_array_append_val(caller->took[WAYS - 1], took_us);
}

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
	int chain = start_chain();

	for (int way = 0; way < WAYS; way++) {
		clients[way] = http_new();
		caller->took[way] = g_array_new(FALSE, FALSE, sizeof(int64_t));
	}
	for (int i = 0; i < calls + WARM_CALLS; i++) {
		for (int way = 0; way < WAYS - 1; way++)
			one_call(clients[way], caller, way, i >= WARM_CALLS);
		one_byte(caller, chain, i >= WARM_CALLS);
	}
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
