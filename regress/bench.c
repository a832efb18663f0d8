/*
 * Measures the latency that one and two nodes add to a call, against the same call made straight to
 * the target. Each thread cycles through the paths call by call, so that load from elsewhere on the
 * machine affects all of them alike.
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

enum { PATH_COUNT = 4, HOPS = 3, CALLS_DEFAULT = 4000, THREADS_DEFAULT = 4, WARM_UP_CALLS = 200 };

static const char *const path_names[PATH_COUNT] = { "straight to the target", "through one node",
						    "through two nodes",
						    "minimum: 1 byte, 3 hops" };

static char *urls[PATH_COUNT - 1];
static int calls_per_path = CALLS_DEFAULT;

struct caller {
	GThread *thread;
	GArray *latencies[PATH_COUNT]; /* int64_t, in us */
	int failed_calls;
};

/* A chain of hops gives the lower bound of the latency: it makes the same transfers between threads
 * over TCP as a call through two nodes, without any other work. */
struct hop {
	int inbound_fd;
	int next_fd; /* -1 at the last hop, which echoes */
};

static gpointer hop_main(gpointer data)
{
	struct hop hop = *(struct hop *)data;
	char byte;

	g_free(data);
	while (read(hop.inbound_fd, &byte, 1) == 1) {
		if (hop.next_fd >= 0 &&
		    (write(hop.next_fd, &byte, 1) != 1 || read(hop.next_fd, &byte, 1) != 1))
			break;
		if (write(hop.inbound_fd, &byte, 1) != 1)
			break;
	}
	return NULL;
}

/* Creates a connected pair of TCP sockets on loopback. */
static void tcp_pair(int fds[2])
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int enable = 1;

	if (bind(listener, (struct sockaddr *)&address, len) != 0 || listen(listener, 1) != 0)
		abort();
	getsockname(listener, (struct sockaddr *)&address, &len);
	fds[0] = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(fds[0], (struct sockaddr *)&address, len) != 0)
		abort();
	fds[1] = accept(listener, NULL, NULL);
	close(listener);
	for (int i = 0; i < 2; i++)
		setsockopt(fds[i], IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
}

/* Starts a chain of hops and returns the socket that leads into it. */
static int start_chain(void)
{
	int sockets[2];
	int next = -1;

	for (int i = 0; i < HOPS; i++) {
		struct hop *hop = g_new0(struct hop, 1);

		tcp_pair(sockets);
		hop->inbound_fd = sockets[1];
		hop->next_fd = next;
		next = sockets[0];
		g_thread_unref(g_thread_new("hop", hop_main, hop));
	}
	return next;
}

static void measure_hops(struct caller *caller, int chain, bool is_recorded)
{
	int64_t start_us = clock_now().mono_us;
	int64_t latency_us;
	char byte = 'x';

	if (write(chain, &byte, 1) != 1 || read(chain, &byte, 1) != 1)
		caller->failed_calls++;
	latency_us = clock_now().mono_us - start_us;
	if (is_recorded)
		g_array_append_val(caller->latencies[PATH_COUNT - 1], latency_us);
}

static void measure_call(struct http_client *client, struct caller *caller, int path,
			 bool is_recorded)
{
	struct http_options options = { 0 };
	struct http_reply reply = http_do(client, urls[path], &options);

	if (reply.status != 200 || !reply.complete)
		caller->failed_calls++;
	else if (is_recorded)
		g_array_append_val(caller->latencies[path], reply.elapsed_us);
	http_reply_clear(&reply);
}

static gpointer caller_main(gpointer data)
{
	struct caller *caller = data;
	struct http_client *clients[PATH_COUNT];
	int chain = start_chain();

	for (int path = 0; path < PATH_COUNT; path++) {
		clients[path] = http_client_new();
		caller->latencies[path] = g_array_new(FALSE, FALSE, sizeof(int64_t));
	}
	for (int i = 0; i < calls_per_path + WARM_UP_CALLS; i++) {
		for (int path = 0; path < PATH_COUNT - 1; path++)
			measure_call(clients[path], caller, path, i >= WARM_UP_CALLS);
		measure_hops(caller, chain, i >= WARM_UP_CALLS);
	}
	for (int path = 0; path < PATH_COUNT; path++)
		http_client_free(clients[path]);
	return NULL;
}

static gint compare_int64(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int64_t quantile_us(const GArray *sorted, double q)
{
	return sorted->len ? g_array_index(sorted, int64_t, (guint)(q * (sorted->len - 1))) : 0;
}

static void print_latencies(struct caller *callers, int threads)
{
	static const double quantiles[] = { 0.5, 0.99, 0.999 };
	int64_t direct_us[G_N_ELEMENTS(quantiles)] = { 0 };

	printf("%d threads, %d calls per path and thread\n", threads, calls_per_path);
	for (int path = 0; path < PATH_COUNT; path++) {
		GArray *merged = g_array_new(FALSE, FALSE, sizeof(int64_t));

		for (int i = 0; i < threads; i++)
			g_array_append_vals(merged, callers[i].latencies[path]->data,
					    callers[i].latencies[path]->len);
		g_array_sort(merged, compare_int64);
		printf("%-24s", path_names[path]);
		for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++) {
			int64_t us = quantile_us(merged, quantiles[i]);

			if (path == 0)
				direct_us[i] = us;
			printf("  p%g %5ld us (+%ld)", quantiles[i] * 100, us, us - direct_us[i]);
		}
		printf("\n");
		g_array_unref(merged);
	}
}

int main(int argc, char **argv)
{
	struct fleet *fleet;
	struct caller *callers;
	int threads = THREADS_DEFAULT;
	int failed_calls = 0;
	int option;

	while ((option = getopt(argc, argv, "n:t:")) != -1) {
		if (option == 'n')
			calls_per_path = atoi(optarg);
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
	urls[1] = g_strdup_printf("http://%s/x", fleet->nodes[1].caller_address);
	urls[2] = g_strdup_printf("http://%s/x", fleet->nodes[0].caller_address);
	callers = g_new0(struct caller, threads);
	for (int i = 0; i < threads; i++)
		callers[i].thread = g_thread_new("caller", caller_main, &callers[i]);
	for (int i = 0; i < threads; i++) {
		g_thread_join(callers[i].thread);
		failed_calls += callers[i].failed_calls;
	}
	print_latencies(callers, threads);
	printf("failed calls: %d\n", failed_calls);
	fleet_free(fleet);
	return failed_calls != 0;
}
