/* The whole path over real processes: files, calls, faults, stops. */
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

#define ROUTES                                                                                     \
	"\"routes\": ["                                                                            \
	"{\"name\": \"read\", \"path\": \"/\", \"service\": \"registre\","                         \
	" \"repeat\": \"idempotent\", \"tenant_header\": \"X-Studio\", \"deadline_ms\": 60000},"   \
	"{\"name\": \"write\", \"path\": \"/write\", \"service\": \"registre\"},"                  \
	"{\"name\": \"brief\", \"path\": \"/hang\", \"service\": \"registre\","                    \
	" \"deadline_ms\": 500}]"
#define FILE_GOOD                                                                                  \
	"{ // the test's services\n"                                                               \
	"\"services\": {\"registre\": {\"versions\": {\"v1\": {\"share\": 100}}}},\n" ROUTES "}"

enum { MIB = 1 << 20, BIG_MIB = 1024, UPLOAD_MIB = 64, MEMORY_LIMIT_KB = 64 << 10 };

static struct fleet *fleet;

/* Two nodes in two data centres; the second has a target. */
static struct fleet *start(const char *target_args)
{
	struct fleet *made = fleet_new(0);

	fleet_add_node(made, "fes-a");
	fleet_add_node(made, "fes-b");
	fleet_add_target(made, 1, target_args);
	assert_true(fleet_wait_live(made, 2, 10000));
	assert_true(fleet_wait_text(made, 0, "/v1/members", "registre", 10000));
	assert_int_equal(fleet_apply(made, "one.json", FILE_GOOD, NULL), 0);
	return made;
}

static int stop_fleet(void **state)
{
	(void)state;
	if (fleet)
		fleet_free(fleet);
	fleet = NULL;
	return 0;
}

static struct http_reply call(int node, const char *path, struct http_options *options)
{
	struct http_client *client = http_new();
	char *url = g_strdup_printf("http://%s%s", fleet->nodes[node].callers, path);
	struct http_reply reply = http_do(client, url, options);

	g_free(url);
	http_free(client);
	return reply;
}

static long status_of(int node, const char *path)
{
	struct http_options options = { 0 };
	struct http_reply reply = call(node, path, &options);

	http_clear(&reply);
	return reply.status;
}

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

/* The limit is that of the plain build; a sanitizer takes several times as much for itself. */
static void check_memory(const struct process *process)
{
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
	print_message("memory not checked under a sanitizer: %ld KB\n", memory_peak_kb(process));
#else
	assert_true(memory_peak_kb(process) < MEMORY_LIMIT_KB);
#endif
}

static void test_calls(void **state)
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
		{ 0, "/hang", 503, "may-have-run", "may-have-run:" },
	};

	(void)state;
	fleet = start("-s registre -v v1");
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct http_options options = { .headers = { "X-Studio: medina" } };
		struct http_reply reply = call(rows[i].node, rows[i].path, &options);

		strbuf_add(&reply.body, (struct str){ "", 1 });
		if (reply.status != rows[i].status || strcmp(reply.verdict, rows[i].verdict) != 0 ||
		    !g_str_has_prefix(reply.body.data, rows[i].body))
			fail_msg("%s: %ld %s %s", rows[i].path, reply.status, reply.verdict,
				 reply.body.data);
		http_clear(&reply);
	}
	assert_true(fleet_wait_text(fleet, 0, "/metrics", "tenant=\"medina\",class=\"standard\"",
				    1000));
}

/* A small body reaches the target from either node. */
static void test_a_small_body_arrives(void **state)
{
	(void)state;
	fleet = start("-s registre -v v1");
	for (int node = 0; node < 2; node++) {
		struct http_options options = { .method = "POST", .body = STR("ab") };
		struct http_reply reply = call(node, "/sum", &options);

		strbuf_add(&reply.body, (struct str){ "", 1 });
		assert_string_equal(reply.body.data, "2 c21\n");
		http_clear(&reply);
	}
}

static void test_a_call_without_a_route_is_not_run(void **state)
{
	struct http_options options = { 0 };
	struct http_reply reply;

	(void)state;
	fleet = fleet_new(0);
	fleet_add_node(fleet, "fes-a");
	assert_true(fleet_wait_live(fleet, 1, 10000));
	reply = call(0, "/x", &options);
	assert_int_equal(reply.status, 404);
	assert_string_equal(reply.verdict, "not-run");
	http_clear(&reply);
}

static void test_a_large_file_passes_whole(void **state)
{
	struct http_options options = { .discard = true,
					.check_pattern = true,
					.timeout_ms = 60000 };
	struct http_reply reply;
	char path[64];

	(void)state;
	fleet = start("-s registre -v v1");
	g_snprintf(path, sizeof(path), "/bytes?n=%ld", (long)BIG_MIB * MIB);
	reply = call(0, path, &options);
	print_message("%d MiB in %.1f s, peaks %ld and %ld KB\n", BIG_MIB,
		      (double)reply.took_us / 1e6, memory_peak_kb(&fleet->nodes[0].daemon),
		      memory_peak_kb(&fleet->nodes[1].daemon));
	assert_true(reply.whole);
	assert_int_equal(options.discarded, (int64_t)BIG_MIB * MIB);
	assert_int_equal(options.wrong, 0);
	check_memory(&fleet->nodes[0].daemon);
	check_memory(&fleet->nodes[1].daemon);
	http_clear(&reply);
}

static void test_a_large_body_goes_up_whole(void **state)
{
	char expected[64];

	(void)state;
	fleet = start("-s registre -v v1");
	for (int node = 0; node < 2; node++) {
		struct http_options options = { .method = "POST",
						.upload_bytes = (int64_t)UPLOAD_MIB * MIB,
						.timeout_ms = 60000 };
		struct http_reply reply = call(node, "/sum", &options);
		uint64_t checksum = 0;

		for (int64_t i = 0; i < options.upload_bytes; i++)
			checksum = checksum * 31 + 'u';
		g_snprintf(expected, sizeof(expected), "%ld %lx\n", options.upload_bytes, checksum);
		strbuf_add(&reply.body, (struct str){ "", 1 });
		assert_string_equal(reply.body.data, expected);
		check_memory(&fleet->nodes[node].daemon);
		http_clear(&reply);
	}
}

struct download {
	int node;
	struct http_options options;
	struct http_reply reply;
	GThread *thread;
	const char *path;
};

static gpointer download_main(gpointer data)
{
	struct download *download = data;

	download->reply = call(download->node, download->path, &download->options);
	return NULL;
}

static void start_download(struct download *download, int node, const char *path)
{
	download->node = node;
	download->path = path;
	download->options.discard = true;
	download->options.check_pattern = true;
	download->options.timeout_ms = 60000;
	download->thread = g_thread_new("download", download_main, download);
}

static void test_a_cut_body_is_cut_visibly(void **state)
{
	(void)state;
	fleet = start("-s registre -v v1");
	for (int node = 0; node < 2; node++) {
		struct download download = { .options.slow_after_bytes = MIB };

		start_download(&download, node, "/bytes?n=200000000");
		wait_ms(500);
		process_kill(&fleet->nodes[1].target);
		g_thread_join(download.thread);
		assert_false(download.reply.whole);
		assert_int_equal(download.options.wrong, 0);
		http_clear(&download.reply);
		if (node == 0)
			fleet_add_target(fleet, 1, "-s registre -v v1");
		wait_ms(node == 0 ? 1000 : 0);
		if (node == 0)
			assert_true(fleet_wait_text(fleet, 0, "/v1/members", "registre", 10000));
	}
}

/* A stop ends nothing that is half sent: the caller gets all of it, then the node ends. */
static void test_a_stop_cuts_no_download(void **state)
{
	struct download downloads[2] = { { .options.slow_after_bytes = MIB },
					 { .options.slow_after_bytes = MIB } };

	(void)state;
	fleet = start("-s registre -v v1");
	start_download(&downloads[0], 0, "/bytes?n=20000000");
	start_download(&downloads[1], 1, "/bytes?n=20000000");
	wait_ms(300);
	process_signal(&fleet->nodes[1].daemon, SIGTERM);
	for (int i = 0; i < 2; i++) {
		g_thread_join(downloads[i].thread);
		assert_true(downloads[i].reply.whole);
		assert_int_equal(downloads[i].options.discarded, 20000000);
		assert_int_equal(downloads[i].options.wrong, 0);
		http_clear(&downloads[i].reply);
	}
	assert_int_equal(process_wait(&fleet->nodes[1].daemon, 10000), 0);
}

/* Nor what waits: a file half sent, two calls running and ten queued are all finished. */
static void test_a_stop_ends_a_full_queue(void **state)
{
	enum { CALLS = 12 };
	struct download calls[CALLS] = { 0 };
	struct download file = { .options.slow_after_bytes = MIB };
	int64_t before_us;

	(void)state;
	fleet = start("-s registre -v v1 -n 3 -l 300000");
	start_download(&file, 0, "/bytes?n=20000000");
	wait_ms(600);
	for (int i = 0; i < CALLS; i++)
		start_download(&calls[i], 0, "/records");
	wait_ms(150);
	before_us = clock_now().mono_us;
	process_signal(&fleet->nodes[1].daemon, SIGTERM);
	for (int i = 0; i < CALLS; i++) {
		g_thread_join(calls[i].thread);
		assert_int_equal(calls[i].reply.status, 200);
		http_clear(&calls[i].reply);
	}
	/* They did wait: twelve calls of 0.3 s on the two slots that the file leaves. */
	assert_true(clock_now().mono_us - before_us > US_PER_S);
	g_thread_join(file.thread);
	assert_true(file.reply.whole);
	assert_int_equal(file.options.wrong, 0);
	http_clear(&file.reply);
	assert_int_equal(process_wait(&fleet->nodes[1].daemon, 10000), 0);
}

/* A write whose target dies with it is not sent again, and says so. */
static void test_a_crash_is_not_repeated_for_a_write(void **state)
{
	struct http_options options = { .method = "POST",
					.headers = { "Idempotency-Key: k1" },
					.body = STR("x") };
	struct http_reply reply;

	(void)state;
	fleet = start("-s registre -v v1");
	/* A connection that could be reused is there. */
	assert_int_equal(status_of(0, "/write/a"), 200);
	reply = call(0, "/write/crash", &options);
	assert_int_equal(reply.status, 503);
	assert_string_equal(reply.verdict, "may-have-run");
	http_clear(&reply);
	assert_int_equal(process_wait(&fleet->nodes[1].target, 5000), 3);
}

/* A request that crashes each target that runs it is refused everywhere after two. */
static void test_a_request_that_crashes_targets_is_refused(void **state)
{
	struct http_options options = { .timeout_ms = 20000 };
	struct http_reply reply;
	int alive = 0;

	(void)state;
	fleet = start("-s registre -v v1");
	for (int i = 2; i < 5; i++) {
		fleet_add_node(fleet, "fes-a");
		fleet_add_target(fleet, i, "-s registre -v v1");
	}
	assert_true(fleet_wait_live(fleet, 5, 10000));
	assert_true(fleet_wait_text(fleet, 0, "/v1/status", "\"live\":5", 5000));
	wait_ms(1000);
	for (int i = 0; i < 6; i++) {
		reply = call(0, "/crash", &options);
		assert_int_not_equal(reply.status, 200);
		http_clear(&reply);
		wait_ms(100);
	}
	reply = call(0, "/crash", &options);
	assert_int_equal(reply.status, 429);
	assert_string_equal(reply.verdict, "not-run");
	http_clear(&reply);
	for (int i = 1; i < 5; i++)
		alive += process_wait(&fleet->nodes[i].target, 100) == -1;
	assert_int_equal(alive, 2);
	assert_int_equal(status_of(0, "/records"), 200);
}

/* Keeps calling; counts what failed. */
struct load {
	GThread *thread;
	gint stop;
	int node;
	int good;
	int failed;
	int64_t worst_us;
	char last[160];
};

static gpointer load_main(gpointer data)
{
	struct load *load = data;

	while (!g_atomic_int_get(&load->stop)) {
		struct http_options options = { .timeout_ms = 20000 };
		struct http_reply reply = call(load->node, "/records", &options);

		if (reply.status == 200) {
			load->good++;
		} else {
			load->failed++;
			g_snprintf(load->last, sizeof(load->last), "%ld %s %.*s", reply.status,
				   reply.verdict, STR_ARG(strbuf_str(&reply.body)));
		}
		load->worst_us = MAX(load->worst_us, reply.took_us);
		http_clear(&reply);
	}
	return NULL;
}

static void end_load(struct load *load)
{
	g_atomic_int_set(&load->stop, 1);
	g_thread_join(load->thread);
}

static struct fleet *start_three(void)
{
	struct fleet *made = start("-s registre -v v1");

	fleet_add_node(made, "fes-a");
	fleet_add_target(made, 2, "-s registre -v v1");
	assert_true(fleet_wait_live(made, 3, 10000));
	assert_true(fleet_wait_text(made, 0, "/v1/members", made->nodes[2].address, 5000));
	wait_ms(1500);
	return made;
}

static const struct loss_row {
	const char *what;
	int signal;
	bool target; /* the target, or the node beside it */
	int64_t worst_us;
} loss_rows[] = {
	{ "a node dies", SIGKILL, false, 2 * US_PER_S },
	{ "a node falls silent", SIGSTOP, false, 5 * US_PER_S },
	{ "a node stops", SIGTERM, false, 2 * US_PER_S },
	{ "a target dies", SIGKILL, true, 2 * US_PER_S },
	{ "a target drains", SIGTERM, true, 2 * US_PER_S },
};

/* Reads go on while a node or a target goes: none fails. */
static void test_reads_go_on_through_losses(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(loss_rows); i++) {
		const struct loss_row *row = &loss_rows[i];
		struct load load = { .node = 0 };
		struct process *process;

		fleet = start_three();
		process = row->target ? &fleet->nodes[2].target : &fleet->nodes[2].daemon;
		load.thread = g_thread_new("load", load_main, &load);
		wait_ms(300);
		process_signal(process, row->signal);
		wait_ms(5000);
		end_load(&load);
		print_message("%s: %d good, %d failed, worst %ld us\n", row->what, load.good,
			      load.failed, load.worst_us);
		if (load.failed || load.worst_us > row->worst_us || load.good < 20)
			fail_msg("%s: %d good, %d failed (%s), worst %ld us", row->what, load.good,
				 load.failed, load.last, load.worst_us);
		if (row->signal == SIGTERM)
			assert_int_equal(process_wait(process, 10000), 0);
		stop_fleet(NULL);
	}
}

static void test_calls_go_on_while_the_log_is_out(void **state)
{
	struct strbuf out = { 0 };

	(void)state;
	fleet = start("-s registre -v v1");
	fleet_log_fault(fleet, "out=1");
	wait_ms(500);
	assert_int_equal(status_of(0, "/records"), 200);
	assert_int_equal(fleet_apply(fleet, "one.json", FILE_GOOD, &out), 3);
	assert_non_null(strstr(out.data, "did not take the change"));
	/* A node that starts now gets its configuration from the others. */
	fleet_add_node(fleet, "fes-a");
	assert_true(fleet_wait_text(fleet, 2, "/v1/status", "\"accepted\":1", 10000));
	assert_true(fleet_wait_text(fleet, 2, "/readyz", "true", 10000));
	assert_int_equal(status_of(2, "/records"), 200);
	fleet_log_fault(fleet, "out=0");
	out.len = 0;
	if (fleet_apply(fleet, "one.json", FILE_GOOD, &out) != 0)
		fail_msg("%s", out.data);
	assert_non_null(strstr(out.data, "in force on 3 of 3 nodes"));
	strbuf_clear(&out);
}

static void test_a_lost_answer_is_found_in_the_stream(void **state)
{
	struct strbuf out = { 0 };

	(void)state;
	fleet = start("-s registre -v v1");
	fleet_log_fault(fleet, "lose_answers=1");
	assert_int_equal(fleet_apply(fleet, "one.json", FILE_GOOD, &out), 0);
	assert_non_null(strstr(out.data, "reading the stream"));
	assert_non_null(strstr(out.data, "accepted at version 2, in force on 2 of 2 nodes"));
	strbuf_clear(&out);
}

/* All nodes die; what was accepted comes back from the log. */
static void test_the_fleet_comes_back_from_the_log(void **state)
{
	(void)state;
	fleet = start("-s registre -v v1");
	process_kill(&fleet->nodes[1].target);
	for (int i = 0; i < 2; i++)
		process_kill(&fleet->nodes[i].daemon);
	for (int i = 0; i < 2; i++)
		fleet_restart_node(fleet, i);
	fleet_add_target(fleet, 1, "-s registre -v v1");
	assert_true(fleet_wait_live(fleet, 2, 15000));
	assert_true(fleet_wait_text(fleet, 0, "/v1/status", "\"accepted\":1", 5000));
	assert_true(fleet_wait_text(fleet, 0, "/v1/members", "registre", 5000));
	wait_ms(500);
	assert_int_equal(status_of(0, "/records"), 200);
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

static const struct nonsense_row {
	const char *what;
	bool datagram;
	bool callers; /* to the callers' port, or to that for nodes */
	struct str bytes;
} nonsense_rows[] = {
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

/* Bytes that are no frames, messages or requests end their connection and nothing else. */
static void test_nonsense_harms_nobody(void **state)
{
	(void)state;
	fleet = start("-s registre -v v1");
	for (size_t i = 0; i < G_N_ELEMENTS(nonsense_rows); i++) {
		const char *address = nonsense_rows[i].callers ? fleet->nodes[0].callers
							       : fleet->nodes[0].address;
		int fd = connect_to(address, nonsense_rows[i].datagram ? SOCK_DGRAM : SOCK_STREAM);
		char answer[256];
		struct timeval limit = { 2, 0 };

		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		assert_true(send(fd, nonsense_rows[i].bytes.data, nonsense_rows[i].bytes.len,
				 MSG_NOSIGNAL) >= 0);
		if (!nonsense_rows[i].datagram) {
			ssize_t n = recv(fd, answer, sizeof(answer) - 1, 0);

			/* HTTP gets an answer of 4xx; the other port just closes. */
			answer[n > 0 ? n : 0] = '\0';
			if (nonsense_rows[i].callers && n > 0 && !strstr(answer, " 40"))
				fail_msg("%s: %s", nonsense_rows[i].what, answer);
		}
		close(fd);
		if (status_of(0, "/records") != 200)
			fail_msg("%s: the node no longer serves", nonsense_rows[i].what);
	}
}

static void test_too_much_is_refused_as_not_run(void **state)
{
	struct http_options options = { .method = "POST", .upload_bytes = 2 * MIB };
	struct http_reply reply;

	(void)state;
	fleet = fleet_new(0);
	g_strlcpy(fleet->extra, "\"body_max_bytes\": 1000000,", sizeof(fleet->extra));
	fleet_add_node(fleet, "fes-a");
	assert_true(fleet_wait_live(fleet, 1, 10000));
	reply = call(0, "/x", &options);
	assert_int_equal(reply.status, 413);
	assert_string_equal(reply.verdict, "not-run");
	http_clear(&reply);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_calls, stop_fleet),
		cmocka_unit_test_teardown(test_a_call_without_a_route_is_not_run, stop_fleet),
		cmocka_unit_test_teardown(test_a_small_body_arrives, stop_fleet),
		cmocka_unit_test_teardown(test_a_large_file_passes_whole, stop_fleet),
		cmocka_unit_test_teardown(test_a_large_body_goes_up_whole, stop_fleet),
		cmocka_unit_test_teardown(test_a_cut_body_is_cut_visibly, stop_fleet),
		cmocka_unit_test_teardown(test_a_stop_cuts_no_download, stop_fleet),
		cmocka_unit_test_teardown(test_a_stop_ends_a_full_queue, stop_fleet),
		cmocka_unit_test_teardown(test_a_crash_is_not_repeated_for_a_write, stop_fleet),
		cmocka_unit_test_teardown(test_a_request_that_crashes_targets_is_refused,
					  stop_fleet),
		cmocka_unit_test_teardown(test_reads_go_on_through_losses, stop_fleet),
		cmocka_unit_test_teardown(test_calls_go_on_while_the_log_is_out, stop_fleet),
		cmocka_unit_test_teardown(test_a_lost_answer_is_found_in_the_stream, stop_fleet),
		cmocka_unit_test_teardown(test_the_fleet_comes_back_from_the_log, stop_fleet),
		cmocka_unit_test_teardown(test_nonsense_harms_nobody, stop_fleet),
		cmocka_unit_test_teardown(test_too_much_is_refused_as_not_run, stop_fleet),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	cmocka_set_test_filter(getenv("TEST_ONLY"));
	return cmocka_run_group_tests_name("godwithitchd/path", tests, NULL, NULL);
}
