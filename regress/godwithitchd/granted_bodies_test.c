/* Bodies of requests that wait for a grant of the target's node, with real processes. */
#include "regress/lib/check.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "regress/lib/pair.h"

enum { BESIDE_ANOTHER_NODE };

enum {
	BODY_BYTES = 60 << 10,
	STREAMED_BYTES = 300 << 10,
	WARM_UP = 3,
	CALLERS = 20,
	ANSWER_LIMIT_MS = 5000,
	METRIC_LIMIT_MS = 2000,
};

struct upload {
	size_t bytes;
	long status;
	char verdict[16];
	GThread *thread;
};

static gpointer send_upload(gpointer data)
{
	struct upload *upload = data;
	char *bytes = g_malloc0(upload->bytes);
	struct http_options options = { .method = "POST", .body = { bytes, upload->bytes } };
	struct http_reply reply = pair_call(BESIDE_ANOTHER_NODE, "/write/x", &options);

	upload->status = reply.status;
	g_strlcpy(upload->verdict, reply.verdict, sizeof(upload->verdict));
	http_reply_clear(&reply);
	g_free(bytes);
	return NULL;
}

static bool has_metric(const char *name)
{
	return fleet_wait_text(fleet, BESIDE_ANOTHER_NODE, "/metrics", name, METRIC_LIMIT_MS);
}

/* The bodies of refused offers filled the link of the target's VM. */
static void check_refused_uploads(size_t bytes)
{
	struct upload uploads[CALLERS] = { 0 };
	int ran = 0;

	fleet = pair_start("-s registre -v v1 -n 1 -l 300000");
	/* The target's node measures the time of a call, and the link tells that it grants bodies.
	 */
	for (int i = 0; i < WARM_UP; i++) {
		struct upload warm_up = { .bytes = bytes };

		send_upload(&warm_up);
		assert_int_equal(warm_up.status, 200);
	}
	for (int i = 0; i < CALLERS; i++) {
		uploads[i].bytes = bytes;
		uploads[i].thread = g_thread_new("upload", send_upload, &uploads[i]);
	}
	for (int i = 0; i < CALLERS; i++) {
		g_thread_join(uploads[i].thread);
		ran += uploads[i].status == 200;
		if (uploads[i].status != 200 && strcmp(uploads[i].verdict, "not-run") != 0)
			fail_msg("upload %d: %ld %s", i, uploads[i].status, uploads[i].verdict);
	}
	print_message("%d of %d uploads of %zu bytes ran\n", ran, CALLERS, bytes);
	assert_in_range(ran, 1, CALLERS - 1);
	assert_true(has_metric("godwithitch_bodies_spared_total"));
	/* Each upload that was refused was offered with its head alone at least once. */
	assert_true(fleet_metric(fleet, BESIDE_ANOTHER_NODE, "godwithitch_bodies_spared_total") >=
		    CALLERS - ran);
}

static void test_refused_offers_move_no_whole_body(void **state)
{
	(void)state;
	check_refused_uploads(BODY_BYTES);
}

static void test_refused_offers_move_no_streamed_body(void **state)
{
	(void)state;
	check_refused_uploads(STREAMED_BYTES);
}

static int connect_to_entry(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	const char *caller_address = fleet->nodes[BESIDE_ANOTHER_NODE].caller_address;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_port = htons((uint16_t)atoi(strchr(caller_address, ':') + 1));
	assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

/* A request whose body never came was passed to its target, which may have acted on it. */
static void test_request_without_its_body_has_not_run(void **state)
{
	/* The route allows 500 ms, and its target would hang. */
	struct str head = STR("POST /hang HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n");
	struct pollfd polled = { .events = POLLIN };
	char answer[4096] = "";

	(void)state;
	fleet = pair_start("-s registre -v v1");
	/* The link tells that the target's node grants bodies. */
	assert_int_equal(pair_status(BESIDE_ANOTHER_NODE, "/write/first"), 200);
	polled.fd = connect_to_entry();
	assert_int_equal(send(polled.fd, head.data, head.len, 0), head.len);
	assert_int_equal(poll(&polled, 1, ANSWER_LIMIT_MS), 1);
	assert_true(recv(polled.fd, answer, sizeof(answer) - 1, 0) > 0);
	if (!strstr(answer, "not-run") || strstr(answer, "may-have-run"))
		fail_msg("%s", answer);
	close(polled.fd);
	/* The slot is free again. */
	assert_int_equal(pair_status(BESIDE_ANOTHER_NODE, "/write/last"), 200);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_refused_offers_move_no_whole_body, pair_stop),
		cmocka_unit_test_teardown(test_refused_offers_move_no_streamed_body, pair_stop),
		cmocka_unit_test_teardown(test_request_without_its_body_has_not_run, pair_stop),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	cmocka_set_test_filter(getenv("TEST_ONLY"));
	return cmocka_run_group_tests_name("godwithitchd/granted_bodies", tests, NULL, NULL);
}
