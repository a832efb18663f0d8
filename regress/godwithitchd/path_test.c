/* The request path with real processes: calls, large bodies, truncation and malformed input. */
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

#include "regress/lib/pair.h"

enum { BIG_MIB = 1024, UPLOAD_MIB = 64, MEMORY_LIMIT_KB = 64 << 10 };

static long memory_peak_kb(const struct process *process)
{
	char path[64];
	char line[256];
	long kb = 0;
	FILE *file;

	g_snprintf(path, sizeof(path), "/proc/%d/status", process->pid);
	file = fopen(path, "r");
	while (file && fgets(line, sizeof(line), file))
		if (sscanf(line, "VmHWM: %ld", &kb) == 1)
			break;
	if (file)
		fclose(file);
	return kb;
}

/* The limit holds for a build without sanitizers, which need several times as much memory. */
static void check_memory(const struct process *process)
{
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
	print_message("memory not checked under a sanitizer: %ld KB\n", memory_peak_kb(process));
#else
	assert_true(memory_peak_kb(process) < MEMORY_LIMIT_KB);
#endif
}

static void test_call_status_verdict_and_body(void **state)
{
	static const struct row {
		int node;
		const char *path;
		long status;
		const char *verdict;
		const char *body;
	} rows[] = {
		{ 0, "/records/7", 200, "ran", "registre v1 /records/7\n" },
		{ 1, "/records/7", 200, "ran", "registre v1 /records/7\n" },
		{ 0, "/write/x", 200, "ran", "registre v1 /write/x\n" },
		{ 0, "/hang", 504, "may-have-run", "may-have-run:" },
	};

	(void)state;
	fleet = pair_start("-s registre -v v1");
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct http_options options = { .headers = { "X-Studio: medina" } };
		struct http_reply reply = pair_call(rows[i].node, rows[i].path, &options);

		strbuf_add(&reply.body, (struct str){ "", 1 });
		if (reply.status != rows[i].status || strcmp(reply.verdict, rows[i].verdict) != 0 ||
		    !g_str_has_prefix(reply.body.data, rows[i].body))
			fail_msg("%s: %ld %s %s", rows[i].path, reply.status, reply.verdict,
				 reply.body.data);
		http_reply_clear(&reply);
	}
	assert_true(fleet_wait_text(fleet, 0, "/metrics", "tenant=\"medina\",class=\"standard\"",
				    1000));
}

/* A small body reaches the target from both nodes. */
static void test_small_body_reaches_target(void **state)
{
	(void)state;
	fleet = pair_start("-s registre -v v1");
	for (int node = 0; node < 2; node++) {
		struct http_options options = { .method = "POST", .body = STR("ab") };
		struct http_reply reply = pair_call(node, "/sum", &options);

		strbuf_add(&reply.body, (struct str){ "", 1 });
		assert_string_equal(reply.body.data, "2 c21\n");
		http_reply_clear(&reply);
	}
}

static void test_call_without_route_is_not_run(void **state)
{
	struct http_options options = { 0 };
	struct http_reply reply;

	(void)state;
	fleet = fleet_new(0);
	fleet_add_node(fleet, "fes-a");
	assert_true(fleet_wait_live(fleet, 1, 10000));
	reply = pair_call(0, "/x", &options);
	assert_int_equal(reply.status, 404);
	assert_string_equal(reply.verdict, "not-run");
	http_reply_clear(&reply);
}

static void test_large_response_arrives_complete(void **state)
{
	struct http_options options = { .discard = true,
					.check_pattern = true,
					.timeout_ms = 60000 };
	struct http_reply reply;
	char path[64];

	(void)state;
	fleet = pair_start("-s registre -v v1");
	g_snprintf(path, sizeof(path), "/bytes?n=%ld", (long)BIG_MIB * MIB);
	reply = pair_call(0, path, &options);
	print_message("%d MiB in %.1f s, peaks %ld and %ld KB\n", BIG_MIB,
		      (double)reply.elapsed_us / 1e6, memory_peak_kb(&fleet->nodes[0].daemon),
		      memory_peak_kb(&fleet->nodes[1].daemon));
	assert_true(reply.complete);
	assert_int_equal(options.received_bytes, (int64_t)BIG_MIB * MIB);
	assert_int_equal(options.mismatched_bytes, 0);
	check_memory(&fleet->nodes[0].daemon);
	check_memory(&fleet->nodes[1].daemon);
	http_reply_clear(&reply);
}

static void test_large_upload_arrives_complete(void **state)
{
	char expected[64];

	(void)state;
	fleet = pair_start("-s registre -v v1");
	for (int node = 0; node < 2; node++) {
		struct http_options options = { .method = "POST",
						.upload_bytes = (int64_t)UPLOAD_MIB * MIB,
						.timeout_ms = 60000 };
		struct http_reply reply = pair_call(node, "/sum", &options);
		uint64_t checksum = 0;

		for (int64_t i = 0; i < options.upload_bytes; i++)
			checksum = checksum * 31 + 'u';
		g_snprintf(expected, sizeof(expected), "%ld %lx\n", options.upload_bytes, checksum);
		strbuf_add(&reply.body, (struct str){ "", 1 });
		assert_string_equal(reply.body.data, expected);
		check_memory(&fleet->nodes[node].daemon);
		http_reply_clear(&reply);
	}
}

static void test_truncated_response_is_reported(void **state)
{
	(void)state;
	fleet = pair_start("-s registre -v v1");
	for (int node = 0; node < 2; node++) {
		struct download download = { .options.slow_after_bytes = MIB };

		start_download(&download, node, "/bytes?n=200000000");
		wait_ms(500);
		process_kill(&fleet->nodes[1].target);
		g_thread_join(download.thread);
		assert_false(download.reply.complete);
		assert_int_equal(download.options.mismatched_bytes, 0);
		http_reply_clear(&download.reply);
		if (node == 0)
			fleet_add_target(fleet, 1, "-s registre -v v1");
		wait_ms(node == 0 ? 1000 : 0);
		if (node == 0)
			assert_true(fleet_wait_text(fleet, 0, "/v1/members", "registre", 10000));
	}
}

static int connect_to(const char *address, int type)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)atoi(strchr(address, ':') + 1)),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, type, 0);

	assert_int_equal(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	return fd;
}

static const struct malformed_row {
	const char *name;
	bool datagram;
	bool caller_port; /* send to the port for callers, not to that for nodes */
	struct str bytes;
} malformed_rows[] = {
	{ "text to the nodes' port", false, false, { "hello, is anybody there?\n", 25 } },
	{ "a length beyond the limit",
	  false,
	  false,
	  { "\xff\xff\xff\xff\x00\x00\x00\x00"
	    "aaaaaaaabbbbbbbb",
	    24 } },
	{ "a frame kind that does not exist",
	  false,
	  false,
	  { "\x00\x00\x00\x00\x63\x00\x00\x00"
	    "aaaaaaaabbbbbbbb",
	    24 } },
	{ "a request before the hello",
	  false,
	  false,
	  { "\x00\x00\x00\x01\x02\x00\x00\x00"
	    "aaaaaaaabbbbbbbb\x90",
	    25 } },
	{ "a hello for another address",
	  false,
	  false,
	  { "\x00\x00\x00\x00\x00\x00\x00\x00"
	    "\x00\x00\x0a\x00\x00\x01\x00\x50"
	    "bbbbbbbb",
	    24 } },
	{ "an empty datagram", true, false, { "", 0 } },
	{ "a datagram of text", true, false, { "nonsense", 8 } },
	{ "a datagram with a broken message",
	  true,
	  false,
	  { "\x00\x00\x00\x03\x01\x00\x00\x00"
	    "\x00\x00\x7f\x00\x00\x01\x00\x50"
	    "\x00\x00\x00\x00\x00\x00\x00\x00"
	    "\xc1\xc1\xc1",
	    27 } },
	{ "no HTTP", false, true, { "\x16\x03\x01nonsense\r\n\r\n", 15 } },
	{ "a bad length",
	  false,
	  true,
	  { "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: -4\r\n\r\n", 49 } },
	{ "two lengths",
	  false,
	  true,
	  { "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 67 } },
};

/* Malformed frames, messages and requests must have no effect beyond their own connection. */
static void test_malformed_input_only_ends_its_connection(void **state)
{
	(void)state;
	fleet = pair_start("-s registre -v v1");
	for (size_t i = 0; i < G_N_ELEMENTS(malformed_rows); i++) {
		const char *address = malformed_rows[i].caller_port ? fleet->nodes[0].caller_address
								    : fleet->nodes[0].address;
		int fd = connect_to(address, malformed_rows[i].datagram ? SOCK_DGRAM : SOCK_STREAM);
		char answer[256];
		struct timeval limit = { 2, 0 };

		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		assert_true(send(fd, malformed_rows[i].bytes.data, malformed_rows[i].bytes.len,
				 MSG_NOSIGNAL) >= 0);
		if (!malformed_rows[i].datagram) {
			ssize_t n = recv(fd, answer, sizeof(answer) - 1, 0);

			/* The HTTP port answers with 4xx; the other port closes the connection. */
			answer[n > 0 ? n : 0] = '\0';
			if (malformed_rows[i].caller_port && n > 0 && !strstr(answer, " 40"))
				fail_msg("%s: %s", malformed_rows[i].name, answer);
		}
		close(fd);
		if (pair_status(0, "/records") != 200)
			fail_msg("%s: the node no longer serves", malformed_rows[i].name);
	}
}

static void test_oversized_body_is_refused_as_not_run(void **state)
{
	struct http_options options = { .method = "POST", .upload_bytes = 2 * MIB };
	struct http_reply reply;

	(void)state;
	fleet = fleet_new(0);
	g_strlcpy(fleet->extra_settings, "\"body_max_bytes\": 1000000,",
		  sizeof(fleet->extra_settings));
	fleet_add_node(fleet, "fes-a");
	assert_true(fleet_wait_live(fleet, 1, 10000));
	reply = pair_call(0, "/x", &options);
	assert_int_equal(reply.status, 413);
	assert_string_equal(reply.verdict, "not-run");
	http_reply_clear(&reply);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_call_status_verdict_and_body, pair_stop),
		cmocka_unit_test_teardown(test_call_without_route_is_not_run, pair_stop),
		cmocka_unit_test_teardown(test_small_body_reaches_target, pair_stop),
		cmocka_unit_test_teardown(test_large_response_arrives_complete, pair_stop),
		cmocka_unit_test_teardown(test_large_upload_arrives_complete, pair_stop),
		cmocka_unit_test_teardown(test_truncated_response_is_reported, pair_stop),
		cmocka_unit_test_teardown(test_malformed_input_only_ends_its_connection, pair_stop),
		cmocka_unit_test_teardown(test_oversized_body_is_refused_as_not_run, pair_stop),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	cmocka_set_test_filter(getenv("TEST_ONLY"));
	return cmocka_run_group_tests_name("godwithitchd/path", tests, NULL, NULL);
}
