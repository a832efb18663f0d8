/*
 * The server for control and announcements: requests that come in parts or together are answered
 * each, and a caller that reads no answer holds one at most.
 */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/endpoint.h"

enum { LARGE_BYTES = 8 << 20, ANSWER_WAIT_MS = 2000, QUIET_MS = 200, REQUESTS = 20 };

/* What the server was asked. */
struct asked {
	gint requests;
	char last[200];
};

/* Answers with the request itself, or with many bytes. */
static void on_request(void *context, const struct endpoint_request *request,
		       struct endpoint_answer *answer)
{
	struct asked *asked = context;
	struct strbuf name = { NULL, 0, 0 };

	endpoint_argument(request, STR("name"), &name);
	g_snprintf(asked->last, sizeof(asked->last), "%.*s %.*s name=%.*s body=%.*s%s",
		   STR_ARG(request->method), STR_ARG(request->path), STR_ARG(strbuf_str(&name)),
		   STR_ARG(request->body), request->body_too_long ? " too long" : "");
	strbuf_clear(&name);
	if (str_equal(request->path, STR("/large"))) {
		strbuf_reserve(&answer->body, LARGE_BYTES);
		memset(answer->body.data, 'x', LARGE_BYTES);
		answer->body.len = LARGE_BYTES;
	}
	g_atomic_int_inc(&asked->requests);
}

static struct endpoint *start(struct asked *asked, guint connections)
{
	struct endpoint_options options = { .ipv4 = INADDR_LOOPBACK,
					    .purpose = "the test's address",
					    .connections = connections,
					    .body_max_bytes = 8,
					    .handle = on_request,
					    .context = asked };
	struct endpoint *endpoint = endpoint_start(&options, NULL);

	assert_non_null(endpoint);
	return endpoint;
}

static int connect_to(const struct endpoint *endpoint)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(endpoint_port(endpoint)),
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_return_code(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

/* Returns whether bytes or the end of the connection come in time. */
static bool is_readable(int fd, int ms)
{
	struct pollfd waited = { .fd = fd, .events = POLLIN };

	return poll(&waited, 1, ms) == 1;
}

static void send_text(int fd, const char *text, size_t len)
{
	assert_int_equal(send(fd, text, len, MSG_NOSIGNAL), len);
}

/* Returns the status of the next answer on the connection, 0 if there is none. */
static int read_status(int fd)
{
	char bytes[512] = { 0 };
	int status = 0;

	if (is_readable(fd, ANSWER_WAIT_MS) && recv(fd, bytes, sizeof(bytes) - 1, 0) > 0)
		sscanf(bytes, "HTTP/1.1 %d", &status);
	return status;
}

static void test_requests_are_decoded(void **state)
{
	static const struct {
		const char *text;
		int status;
		const char *asked;
	} rows[] = {
		{ "GET /a?name=x HTTP/1.1\r\n\r\n", 200, "GET /a name=x body=" },
		{ "GET /a%2Fb?other=1&name=%41+b%zz HTTP/1.1\r\n\r\n", 200,
		  "GET /a/b name=A b%zz body=" },
		{ "POST /p HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody", 200,
		  "POST /p name= body=body" },
		{ "POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n0\r\n\r\n", 200,
		  "POST /p name= body=bo" },
		{ "POST /p HTTP/1.1\r\nContent-Length: 9\r\n\r\nlong body", 200,
		  "POST /p name= body= too long" },
		{ "no request\r\n\r\n", 400, "" },
		{ "CONNECT host:1 HTTP/1.1\r\n\r\n", 400, "" },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		size_t len = strlen(rows[i].text);

		for (size_t split = 0; split < len; split += 7) {
			struct asked asked = { 0 };
			struct endpoint *endpoint = start(&asked, 4);
			int fd = connect_to(endpoint);

			send_text(fd, rows[i].text, split);
			if (split)
				g_usleep(1000);
			send_text(fd, rows[i].text + split, len - split);
			assert_int_equal(read_status(fd), rows[i].status);
			assert_string_equal(asked.last, rows[i].asked);
			close(fd);
			endpoint_stop(endpoint);
		}
	}
}

/* Requests sent ahead must not make the process hold as many answers. */
static void test_unread_answer_stops_reading(void **state)
{
	static const char request[] = "GET /large HTTP/1.1\r\n\r\n";
	struct asked asked = { 0 };
	struct endpoint *endpoint = start(&asked, 4);
	int fd = connect_to(endpoint);
	int other = connect_to(endpoint);

	(void)state;
	for (int i = 0; i < REQUESTS; i++)
		send_text(fd, request, sizeof(request) - 1);
	assert_true(is_readable(fd, ANSWER_WAIT_MS));
	g_usleep(QUIET_MS * US_PER_MS);
	assert_int_equal(g_atomic_int_get(&asked.requests), 1);
	send_text(other, "GET / HTTP/1.1\r\n\r\n", 18);
	assert_int_equal(read_status(other), 200);
	close(fd);
	close(other);
	endpoint_stop(endpoint);
}

static void test_connections_beyond_the_limit_wait(void **state)
{
	struct asked asked = { 0 };
	struct endpoint *endpoint = start(&asked, 1);
	int first = connect_to(endpoint);
	int second;

	(void)state;
	send_text(first, "GET /1 HTTP/1.1\r\n\r\n", 19);
	assert_int_equal(read_status(first), 200);
	second = connect_to(endpoint);
	send_text(second, "GET /2 HTTP/1.1\r\n\r\n", 19);
	assert_false(is_readable(second, QUIET_MS));
	close(first);
	assert_int_equal(read_status(second), 200);
	close(second);
	endpoint_stop(endpoint);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_requests_are_decoded),
		cmocka_unit_test(test_unread_answer_stops_reading),
		cmocka_unit_test(test_connections_beyond_the_limit_wait),
	};

	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
