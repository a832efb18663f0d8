/*
 * A target's request breaks off after any of its bytes, or can't be read: nothing of it is applied.
 */
#include "regress/lib/check.h"

#include <apr_general.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform/heartbeat.h"

#define BEAT                                                                                       \
	"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"version\":\"v1\",\"capacity\":2,"        \
	"\"state\":\"ready\",\"sequence\":4,\"born\":7}"
#define POST_BEAT "POST /instances/i/heartbeat HTTP/1.1\r\nHost: a\r\n"
#define POST_BYE  "POST /instances/i/deregister HTTP/1.1\r\nHost: a\r\n"

enum { ANSWER_WAIT_MS = 1000, SETTLE_US = 100000, LONG_BYTES = 100000, BROKEN_COUNT = 100 };

struct request_case {
	const char *name;
	struct str bytes;
	bool announces; /* if it is whole */
};

#define REQUEST(name, text, announces)                                                             \
	{                                                                                          \
		name, { text, sizeof(text) - 1 }, announces                                        \
	}

static const struct request_case heartbeats[] = {
	REQUEST("heartbeat", POST_BEAT "Content-Length: 105\r\n\r\n" BEAT, true),
	REQUEST("heartbeat in chunks",
		POST_BEAT "Transfer-Encoding: chunked\r\n\r\n69\r\n" BEAT "\r\n0\r\n\r\n", true),
	REQUEST("goodbye", POST_BYE "Content-Length: 10\r\n\r\n{\"born\":7}", true),
	REQUEST("goodbye in chunks",
		POST_BYE "Transfer-Encoding: chunked\r\n\r\na\r\n{\"born\":7}\r\n0\r\n\r\n", true),
	REQUEST("goodbye without a body", POST_BYE "Content-Length: 0\r\n\r\n", true),
	REQUEST("goodbye of an empty object", POST_BYE "Content-Length: 2\r\n\r\n{}", true),
};

static const struct request_case unreadable[] = {
	REQUEST("empty heartbeat", POST_BEAT "Content-Length: 0\r\n\r\n", false),
	REQUEST("half a heartbeat", POST_BEAT "Content-Length: 15\r\n\r\n{\"service\":\"s\",",
		false),
	REQUEST("half a goodbye", POST_BYE "Content-Length: 8\r\n\r\n{\"born\":", false),
	REQUEST("goodbye that is no JSON", POST_BYE "Content-Length: 3\r\n\r\nbye", false),
	REQUEST("goodbye that is no object", POST_BYE "Content-Length: 1\r\n\r\n7", false),
	REQUEST("goodbye with a text as its start",
		POST_BYE "Content-Length: 12\r\n\r\n{\"born\":\"7\"}", false),
};

static const struct request_case announcements[] = {
	REQUEST("announcement",
		"PUT /announce?service=s&version=v&slots=2&port=80&ttl_ms=1000 HTTP/1.1\r\n"
		"Host: a\r\nContent-Length: 4\r\n\r\nbody",
		true),
	REQUEST("leave in chunks",
		"POST /leave HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
		"4\r\nbody\r\n0\r\n\r\n",
		true),
	REQUEST("deregistration",
		"DELETE /announce HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody", true),
};

static void count_announcement(void *context, const struct announcement *announcement)
{
	(void)announcement;
	g_atomic_int_inc((gint *)context);
}

static int connect_to(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port),
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

/* Sends the bytes and ends the connection; a whole request is answered first. */
static void send_request(uint16_t port, struct str bytes, bool whole, bool reset)
{
	struct linger linger = { 1, 0 };
	int fd = connect_to(port);
	struct pollfd answered = { .fd = fd, .events = POLLIN };

	while (bytes.len) {
		ssize_t n = send(fd, bytes.data, bytes.len, MSG_NOSIGNAL);

		if (n <= 0)
			break;
		bytes = str_sub(bytes, (size_t)n, bytes.len);
	}
	if (whole && poll(&answered, 1, ANSWER_WAIT_MS) <= 0)
		fail_msg("no answer");
	if (reset)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

/* Sends each request, broken off after each byte, and then whole. */
static void check_requests(uint16_t port, gint *announced, const struct request_case *rows,
			   size_t count)
{
	for (size_t i = 0; i < count; i++) {
		g_atomic_int_set(announced, 0);
		for (size_t len = 0; len < rows[i].bytes.len; len++) {
			send_request(port, str_sub(rows[i].bytes, 0, len), false, false);
			send_request(port, str_sub(rows[i].bytes, 0, len), false, true);
		}
		g_usleep(SETTLE_US);
		if (g_atomic_int_get(announced) != 0)
			fail_msg("%s: %d applied though broken", rows[i].name, *announced);
		send_request(port, rows[i].bytes, true, false);
		if (g_atomic_int_get(announced) != rows[i].announces)
			fail_msg("%s: %d applied", rows[i].name, *announced);
	}
}

static struct heartbeat_endpoint *start_heartbeats(gint *announced)
{
	struct announce_options options = { .ipv4 = INADDR_LOOPBACK,
					    .ttl_us = US_PER_S,
					    .handle = count_announcement,
					    .context = announced };
	struct heartbeat_endpoint *endpoint = heartbeat_endpoint_new(&options, NULL);

	assert_non_null(endpoint);
	return endpoint;
}

static void test_broken_heartbeat_is_not_applied(void **state)
{
	gint announced = 0;
	struct heartbeat_endpoint *endpoint = start_heartbeats(&announced);

	(void)state;
	check_requests(heartbeat_endpoint_port(endpoint), &announced, heartbeats,
		       G_N_ELEMENTS(heartbeats));
	heartbeat_endpoint_free(endpoint);
}

static void test_unreadable_body_is_not_applied(void **state)
{
	gint announced = 0;
	struct heartbeat_endpoint *endpoint = start_heartbeats(&announced);

	(void)state;
	check_requests(heartbeat_endpoint_port(endpoint), &announced, unreadable,
		       G_N_ELEMENTS(unreadable));
	heartbeat_endpoint_free(endpoint);
}

/* Connections that closed within a request took up the places of others for half a minute. */
static void test_broken_requests_hold_up_no_other(void **state)
{
	gint announced = 0;
	struct heartbeat_endpoint *endpoint = start_heartbeats(&announced);
	uint16_t port = heartbeat_endpoint_port(endpoint);

	(void)state;
	for (int i = 0; i < BROKEN_COUNT; i++)
		send_request(port, STR(POST_BEAT), false, false);
	send_request(port, heartbeats[0].bytes, true, false);
	assert_int_equal(g_atomic_int_get(&announced), 1);
	heartbeat_endpoint_free(endpoint);
}

/* The part of a long body that fits is no body of its own. */
static void test_part_of_long_body_is_not_applied(void **state)
{
	gint announced = 0;
	struct heartbeat_endpoint *endpoint = start_heartbeats(&announced);
	const char *paths[] = { POST_BEAT, POST_BYE };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		GString *request = g_string_new(paths[i]);

		g_string_append_printf(request, "Content-Length: %d\r\n\r\n" BEAT, LONG_BYTES);
		for (int j = (int)sizeof(BEAT) - 1; j < LONG_BYTES; j++)
			g_string_append_c(request, ' ');
		send_request(heartbeat_endpoint_port(endpoint),
			     (struct str){ request->str, request->len }, true, false);
		g_string_free(request, TRUE);
	}
	assert_int_equal(g_atomic_int_get(&announced), 0);
	heartbeat_endpoint_free(endpoint);
}

static void test_broken_announcement_is_not_applied(void **state)
{
	gint announced = 0;
	struct announce_options options = { .ipv4 = INADDR_LOOPBACK,
					    .handle = count_announcement,
					    .context = &announced };
	struct announce_endpoint *endpoint = announce_endpoint_new(&options, NULL);

	(void)state;
	assert_non_null(endpoint);
	check_requests(announce_endpoint_port(endpoint), &announced, announcements,
		       G_N_ELEMENTS(announcements));
	announce_endpoint_free(endpoint);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_broken_heartbeat_is_not_applied),
		cmocka_unit_test(test_broken_requests_hold_up_no_other),
		cmocka_unit_test(test_unreadable_body_is_not_applied),
		cmocka_unit_test(test_part_of_long_body_is_not_applied),
		cmocka_unit_test(test_broken_announcement_is_not_applied),
	};

	cmocka_set_test_filter(getenv("TEST_ONLY"));
	apr_initialize();
	return cmocka_run_group_tests_name("platform/heartbeat", tests, NULL, NULL);
}
