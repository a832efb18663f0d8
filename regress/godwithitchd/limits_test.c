/* Limits: oversized, slow or excessive input must not affect other calls, and a stop must end. */
#include "regress/lib/check.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "regress/lib/fleet.h"

#define VALID_CONFIG_FILE                                                                          \
	"{\"services\": {\"s\": {\"versions\": {\"v1\": {\"share\": 100}}}},"                      \
	"\"routes\": [{\"name\": \"r\", \"path\": \"/\", \"service\": \"s\","                      \
	"\"repeat\": \"idempotent\", \"deadline_ms\": 60000}]}"

static struct fleet *fleet;

static void start_node(const char *extra)
{
	fleet = fleet_new(0);
	g_strlcpy(fleet->extra_settings, extra, sizeof(fleet->extra_settings));
	fleet_add_node(fleet, "fes-a");
	fleet_add_target(fleet, 0, "-s s -v v1");
	assert_true(fleet_wait_live(fleet, 1, 10000));
	assert_true(fleet_wait_text(fleet, 0, "/v1/members", "\"s\"", 5000));
	assert_int_equal(fleet_apply(fleet, "one.json", VALID_CONFIG_FILE, NULL), 0);
}

static int stop_fleet(void **state)
{
	(void)state;
	fleet_free(fleet);
	return 0;
}

static int connect_to_caller_port(void)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)atoi(
					  strchr(fleet->nodes[0].caller_address, ':') + 1)),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct timeval limit = { 5, 0 };

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	assert_int_equal(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	return fd;
}

/* Reads from a connection until it is closed. Returns -1 if it stays open for five seconds. */
static ssize_t read_all(int fd, char *out, size_t cap)
{
	size_t len = 0;
	ssize_t n;

	while ((n = recv(fd, out + len, cap - 1 - len, 0)) > 0)
		len += (size_t)n;
	out[len] = '\0';
	return n < 0 ? -1 : (ssize_t)len;
}

static bool request_succeeds(void)
{
	char url[64];
	struct http_reply reply;

	g_snprintf(url, sizeof(url), "http://%s/x", fleet->nodes[0].caller_address);
	reply = http_get(url);
	http_reply_clear(&reply);
	return reply.status == 200;
}

static void test_oversized_request_head_is_refused(void **state)
{
	char *head = g_strnfill(40000, 'a');
	char *request;
	char answer[1024];
	int fd;

	(void)state;
	start_node("");
	request = g_strdup_printf(
		"GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nBig: %s\r\n\r\n", head);
	fd = connect_to_caller_port();
	assert_true(send(fd, request, strlen(request), MSG_NOSIGNAL) > 0);
	read_all(fd, answer, sizeof(answer));
	assert_null(strstr(answer, " 200 "));
	close(fd);
	assert_true(request_succeeds());
	g_free(request);
	g_free(head);
}

static void test_many_header_fields_are_refused(void **state)
{
	struct strbuf request = { 0 };
	char answer[1024];
	int fd;

	(void)state;
	start_node("");
	strbuf_addf(&request, "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n");
	for (int i = 0; i < 200; i++)
		strbuf_addf(&request, "F%d: x\r\n", i);
	strbuf_addf(&request, "\r\n");
	fd = connect_to_caller_port();
	assert_true(send(fd, request.data, request.len, MSG_NOSIGNAL) > 0);
	read_all(fd, answer, sizeof(answer));
	assert_non_null(strstr(answer, " 431 "));
	assert_non_null(strstr(answer, "not-run"));
	close(fd);
	assert_true(request_succeeds());
	strbuf_clear(&request);
}

/* The connection of a caller that sends half a request and then nothing is closed after idle_s. */
static void test_idle_partial_request_is_closed(void **state)
{
	char answer[256];
	int64_t before_us;
	int fd;

	(void)state;
	start_node("\"idle_s\": 1,");
	fd = connect_to_caller_port();
	assert_true(send(fd, "GET /x HT", 9, MSG_NOSIGNAL) == 9);
	before_us = clock_now().mono_us;
	assert_true(read_all(fd, answer, sizeof(answer)) >= 0);
	assert_true(clock_now().mono_us - before_us < 4 * US_PER_S);
	close(fd);
	assert_true(request_succeeds());
}

static void test_connections_per_address_are_limited(void **state)
{
	enum { LIMIT = 5, OPENED = 12 };
	int fds[OPENED];
	int open = 0;

	(void)state;
	start_node("\"connections_per_address\": 5,");
	for (int i = 0; i < OPENED; i++)
		fds[i] = connect_to_caller_port();
	wait_ms(300);
	for (int i = 0; i < OPENED; i++) {
		char byte;
		ssize_t n = recv(fds[i], &byte, 1, MSG_DONTWAIT);

		/* Connections over the limit were closed. */
		open += n < 0;
	}
	assert_int_equal(open, LIMIT);
	for (int i = 0; i < OPENED; i++)
		close(fds[i]);
	wait_ms(300);
	assert_true(request_succeeds());
}

static int64_t cpu_ticks(void)
{
	char path[64];
	char *text = NULL;
	unsigned long user = 0;
	unsigned long system = 0;

	g_snprintf(path, sizeof(path), "/proc/%d/stat", fleet->nodes[0].daemon.pid);
	if (g_file_get_contents(path, &text, NULL, NULL))
		sscanf(strrchr(text, ')') + 2,
		       "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &system);
	g_free(text);
	return (int64_t)(user + system);
}

/* No thread spins while it waits: an idle node uses less than 2.3% of a core. */
static void test_idle_node_uses_little_cpu(void **state)
{
	int64_t before;
	double cpu_fraction;

	(void)state;
	start_node("");
	wait_ms(1000);
	before = cpu_ticks();
	wait_ms(4000);
	cpu_fraction = (double)(cpu_ticks() - before) / (double)sysconf(_SC_CLK_TCK) / 4;
	print_message("%.2f%% of a core at rest\n", cpu_fraction * 100);
	assert_true(cpu_fraction < 0.023);
}

static gpointer hang_main(gpointer data)
{
	char url[64];
	struct http_client *client = http_client_new();
	struct http_options options = { .timeout_ms = 30000 };
	struct http_reply reply;

	(void)data;
	g_snprintf(url, sizeof(url), "http://%s/hang", fleet->nodes[0].caller_address);
	reply = http_do(client, url, &options);
	http_reply_clear(&reply);
	http_client_free(client);
	return NULL;
}

static bool log_contains(const char *text)
{
	char *log = NULL;
	bool found;

	assert_true(g_file_get_contents(fleet->nodes[0].log_path, &log, NULL, NULL));
	found = strstr(log, text) != NULL;
	g_free(log);
	return found;
}

/* A request that never ends must not block a stop: the stop ends at its deadline or on a second
 * signal. */
static void test_stop_ends_despite_hanging_request(void **state)
{
	(void)state;
	for (int second_signal = 0; second_signal < 2; second_signal++) {
		GThread *thread;

		start_node("\"stop_within_s\": 2,");
		thread = g_thread_new("hang", hang_main, NULL);
		wait_ms(500);
		process_signal(&fleet->nodes[0].daemon, SIGTERM);
		assert_int_equal(process_wait(&fleet->nodes[0].daemon, 700), -1);
		if (second_signal)
			process_signal(&fleet->nodes[0].daemon, SIGTERM);
		assert_int_equal(process_wait(&fleet->nodes[0].daemon, second_signal ? 1000 : 3000),
				 0);
		assert_true(log_contains("104 STOP_CUT_REQUEST"));
		g_thread_join(thread);
		if (!second_signal)
			fleet_free(fleet);
	}
}

static gpointer call_main(gpointer data)
{
	char *url = g_strdup_printf("http://%s/slow", fleet->nodes[0].caller_address);
	struct http_reply reply = http_get(url);

	(void)data;
	g_free(url);
	http_reply_clear(&reply);
	return GINT_TO_POINTER((int)reply.status);
}

/* A stop that had answered all its calls joined a worker that was waiting for the log, beyond the
 * time of the stop: its supervisor killed it. */
static void test_stop_keeps_its_time_beside_a_waiting_worker(void **state)
{
	enum { STOPS = 4, STOP_MS = 2000, STARTED_MS = 100 };

	(void)state;
	for (int i = 0; i < STOPS; i++) {
		GThread *thread;

		if (i)
			fleet_free(fleet);
		fleet = fleet_new(0);
		g_strlcpy(fleet->extra_settings, "\"stop_within_s\": 2,",
			  sizeof(fleet->extra_settings));
		fleet_add_node(fleet, "fes-a");
		fleet_add_target(fleet, 0, "-s s -v v1 -l 1400000");
		assert_true(fleet_wait_live(fleet, 1, 10000));
		assert_true(fleet_wait_text(fleet, 0, "/v1/members", "\"s\"", 5000));
		assert_int_equal(fleet_apply(fleet, "one.json", VALID_CONFIG_FILE, NULL), 0);
		thread = g_thread_new("call", call_main, NULL);
		wait_ms(STARTED_MS);
		process_signal(&fleet->nodes[0].daemon, SIGTERM);
		assert_int_equal(process_wait(&fleet->nodes[0].daemon, STOP_MS), 0);
		assert_int_equal(GPOINTER_TO_INT(g_thread_join(thread)), 200);
	}
}

/* Calls that hang at a target with more slots than the node has workers must leave some workers. */
static void test_hanging_calls_do_not_exhaust_workers(void **state)
{
	enum { HANGING = 40 };
	GThread *threads[HANGING];

	(void)state;
	fleet = fleet_new(0);
	g_strlcpy(fleet->extra_settings, "\"workers\": 16, \"stop_within_s\": 1,",
		  sizeof(fleet->extra_settings));
	/* The answers of the second node need workers of the first one. */
	fleet_add_node(fleet, "fes-a");
	fleet_add_node(fleet, "fes-a");
	fleet_add_target(fleet, 0, "-s s -v v1 -n 200");
	assert_true(fleet_wait_live(fleet, 2, 10000));
	assert_true(fleet_wait_text(fleet, 0, "/v1/members", "\"s\"", 5000));
	assert_int_equal(fleet_apply(fleet, "one.json", VALID_CONFIG_FILE, NULL), 0);
	for (int i = 0; i < HANGING; i++)
		threads[i] = g_thread_new("hang", hang_main, NULL);
	wait_ms(1000);
	assert_int_equal(fleet_apply(fleet, "two.json", "{}", NULL), 0);
	process_kill(&fleet->nodes[0].daemon);
	for (int i = 0; i < HANGING; i++)
		g_thread_join(threads[i]);
}

/* A node of another fleet that has a node of this fleet as its seed must not become a member. */
static void test_fleets_do_not_merge(void **state)
{
	struct fleet *other;

	(void)state;
	start_node("");
	other = fleet_new(0);
	/* The first entry is this fleet's node, which makes it the seed of the next node. */
	other->count = 1;
	g_strlcpy(other->nodes[0].address, fleet->nodes[0].address,
		  sizeof(other->nodes[0].address));
	fleet_add_node(other, "fes-a");
	assert_true(fleet_wait_text(other, 1, "/v1/status", "\"current\":true", 10000));
	wait_ms(1500);
	assert_true(fleet_wait_text(fleet, 0, "/v1/status", "\"members\":1,", 100));
	assert_true(fleet_wait_text(other, 1, "/v1/status", "\"members\":1,", 100));
	fleet_free(other);
}

/* After the log file is renamed, SIGHUP makes the daemon open a new one. */
static void test_sighup_reopens_log(void **state)
{
	char *moved;

	(void)state;
	start_node("");
	moved = g_strdup_printf("%s.1", fleet->nodes[0].log_path);
	assert_int_equal(rename(fleet->nodes[0].log_path, moved), 0);
	process_signal(&fleet->nodes[0].daemon, SIGHUP);
	wait_ms(500);
	assert_true(log_contains("103 LOG_REOPENED"));
	g_free(moved);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_oversized_request_head_is_refused, stop_fleet),
		cmocka_unit_test_teardown(test_many_header_fields_are_refused, stop_fleet),
		cmocka_unit_test_teardown(test_idle_partial_request_is_closed, stop_fleet),
		cmocka_unit_test_teardown(test_connections_per_address_are_limited, stop_fleet),
		cmocka_unit_test_teardown(test_idle_node_uses_little_cpu, stop_fleet),
		cmocka_unit_test_teardown(test_stop_ends_despite_hanging_request, stop_fleet),
		cmocka_unit_test_teardown(test_stop_keeps_its_time_beside_a_waiting_worker,
					  stop_fleet),
		cmocka_unit_test_teardown(test_hanging_calls_do_not_exhaust_workers, stop_fleet),
		cmocka_unit_test_teardown(test_fleets_do_not_merge, stop_fleet),
		cmocka_unit_test_teardown(test_sighup_reopens_log, stop_fleet),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	cmocka_set_test_filter(getenv("TEST_ONLY"));
	return cmocka_run_group_tests_name("godwithitchd/limits", tests, NULL, NULL);
}
