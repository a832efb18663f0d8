/* A caller that sends without end what is no request: few of its bytes are read, and its connection
 * is closed. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "regress/lib/callers.h"

enum {
	TAKEN_MAX_BYTES = 16 << 20, /* those in the buffers of both sockets included */
	BLOCK_BYTES = 1 << 16,
	CLOSED_WITHIN_MS = 4000,
	TICK_MS = 100,
};

struct endless_case {
	const char *name;
	const char *start;  /* sent once */
	const char *repeat; /* sent until the connection is closed */
	bool answered;	    /* the request before gets its answer */
	bool stays_open;    /* for the request before, which is running */
};

#define CHUNKS "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

static const struct endless_case cases[] = {
	{ "garbage without a line end", "", "xxxxxxxxxxxxxxxx", false, false },
	{ "target without an end", "GET /", "aaaaaaaaaaaaaaaa", false, false },
	{ "field without an end", "GET / HTTP/1.1\r\nX-Field: ", "value value ", false, false },
	{ "head of many fields", "GET / HTTP/1.1\r\n", "X-Field: a\r\n", false, false },
	{ "extension without an end", CHUNKS "4;", "name=value;", false, false },
	{ "chunks of one byte with a long extension", CHUNKS,
	  "1;name=value;name=value;name=value;name=value\r\nb\r\n", false, false },
	{ "trailers", CHUNKS "1\r\nb\r\n0\r\n", "X-Trailer: value\r\n", false, false },
	{ "bytes behind the last request",
	  "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "more more ", true, false },
	{ "garbage behind a request", "GET /a HTTP/1.1\r\nHost: a\r\n\r\n", "\x01\x02\x03", false,
	  true },
};

/* Sends until the connection is closed, and for a while at most. Returns whether it was closed. */
static bool send_without_end(int fd, const char *repeat, size_t *taken)
{
	struct strbuf block = { 0 };
	size_t period = strlen(repeat);
	size_t sent = 0;
	bool open = true;

	while (block.len < BLOCK_BYTES)
		strbuf_add(&block, str_from_cstr(repeat));
	for (int waited_ms = 0; open && sent <= TAKEN_MAX_BYTES && waited_ms < CLOSED_WITHIN_MS;) {
		struct pollfd writable = { .fd = fd, .events = POLLOUT };
		size_t at = sent % period;
		ssize_t n;

		if (poll(&writable, 1, TICK_MS) == 0) {
			waited_ms += TICK_MS;
			/* A connection is closed with the last reference to its calls. */
			callers_release();
			caller_tick(callers.caller, clock_now());
			continue;
		}
		n = send(fd, block.data + at, block.len - at, MSG_NOSIGNAL | MSG_DONTWAIT);
		open = n > 0 || (n < 0 && errno == EAGAIN);
		sent += n > 0 ? (size_t)n : 0;
	}
	strbuf_clear(&block);
	*taken = sent;
	return !open;
}

static void test_endless_bytes_of_a_caller_are_not_read(void **state)
{
	int failed = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct response_head head = { .status = 200 };
		int fd = callers_connect();
		size_t taken;
		bool closed;

		if (cases[i].start[0])
			callers_send(fd, cases[i].start);
		if (cases[i].answered)
			caller_answer(callers_call(0), &head, STR(""));
		closed = send_without_end(fd, cases[i].repeat, &taken);
		if (taken > TAKEN_MAX_BYTES || closed == cases[i].stays_open) {
			print_error("%s: %zu KB were taken, the connection is %s\n", cases[i].name,
				    taken >> 10, closed ? "closed" : "open");
			failed++;
		}
		close(fd);
		callers_release();
	}
	assert_int_equal(failed, 0);
}

/* A connection whose reading is paused kept a worker busy once its caller had reset it, and its
 * calls went on. */
static void test_end_of_a_paused_connection_is_noticed(void **state)
{
	struct linger at_once = { .l_onoff = 1 };
	int fd = callers_connect();

	(void)state;
	for (int i = 0; i < PIPELINE_MAX + 8; i++)
		callers_send(fd, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
	callers_wait(&callers.ready, PIPELINE_MAX);
	g_usleep(TICK_MS * 1000);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
	close(fd);
	callers_wait(&callers.ended, PIPELINE_MAX);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_endless_bytes_of_a_caller_are_not_read,
						callers_set_up, callers_tear_down),
		cmocka_unit_test_setup_teardown(test_end_of_a_paused_connection_is_noticed,
						callers_set_up, callers_tear_down),
	};

	apr_initialize();
	return cmocka_run_group_tests_name("caller/endless", tests, NULL, NULL);
}
