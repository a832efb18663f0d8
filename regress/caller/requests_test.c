/* Tests of the ends of requests: one that is cut must not be passed on as if it were whole. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "regress/lib/callers.h"

enum {
	LARGE_BYTES = SMALL_BODY_BYTES + 16,
	EDGE_BYTES = 200, /* cuts of a large request: each byte at its ends */
	STEP_BYTES = 997, /* and some between */
	END_WAIT_MS = 5000,
};

static void end_connection(int fd, bool reset)
{
	struct linger at_once = { .l_onoff = 1 };

	if (reset)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
	close(fd);
}

/* Returns the call for a target among the first ones; NULL if it is not there. */
static struct caller_call *find_call(struct str target)
{
	struct caller_call *found = NULL;

	pthread_mutex_lock(&callers.mutex);
	for (guint i = 0; i < callers.calls->len; i++) {
		struct caller_call *call = g_ptr_array_index(callers.calls, i);

		if (str_equal(caller_target(call), target))
			found = call;
	}
	pthread_mutex_unlock(&callers.mutex);
	return found;
}

/* Waits until the server has handled all that was sent before. */
static void wait_for_server(void)
{
	int fd = callers_connect();

	callers_send(fd, "GET /probe HTTP/1.1\r\nHost: a\r\n\r\n");
	for (int count = 1; !find_call(STR("/probe")); count++)
		callers_wait(&callers.ready, count);
	close(fd);
}

/* Reads a streamed body to its end. */
static void read_upload(struct pipe *upload, struct strbuf *body, enum pipe_end *end)
{
	char block[4096];

	for (int i = 0; i < END_WAIT_MS && *end == PIPE_OPEN; i++) {
		size_t n;

		while ((n = pipe_read(upload, block, sizeof(block), end)) > 0)
			strbuf_add(body, (struct str){ block, n });
		if (*end == PIPE_OPEN)
			g_usleep(1000);
	}
}

/* Returns the body that the handler gets, and its end. */
static struct strbuf read_body(const struct caller_call *call, enum pipe_end *end)
{
	const struct caller_body *source = caller_body(call);
	struct strbuf body = { 0 };

	switch (source->kind) {
	case CALLER_BODY_WHOLE:
		strbuf_add(&body, strbuf_str(&source->whole));
		*end = PIPE_DONE;
		break;
	case CALLER_BODY_STREAMED:
		*end = PIPE_OPEN;
		read_upload(source->upload, &body, end);
		break;
	}
	return body;
}

/* A request and the body that the handler must get. */
struct request {
	struct strbuf bytes;
	struct strbuf body;
};

static void send_cut(const struct request *request, size_t cut, bool reset)
{
	int fd = callers_connect();
	size_t sent = 0;

	while (sent < cut) {
		ssize_t n = send(fd, request->bytes.data + sent, cut - sent, MSG_NOSIGNAL);

		assert_true(n > 0);
		sent += (size_t)n;
	}
	end_connection(fd, reset);
}

/* Returns whether the handler got the request as what it is. */
static bool check_cut(const struct request *request, size_t cut, bool reset)
{
	bool whole = cut == request->bytes.len;
	enum pipe_end end = PIPE_OPEN;
	struct caller_call *call;
	struct strbuf body = { 0 };
	bool ok;

	send_cut(request, cut, reset);
	wait_for_server();
	call = find_call(STR("/cut"));
	if (call)
		body = read_body(call, &end);
	/* A reset may overtake the request. */
	if (!call)
		ok = !whole || reset;
	else if (whole)
		ok = (reset && end == PIPE_FAILED) ||
		     (end == PIPE_DONE && str_equal(strbuf_str(&body), strbuf_str(&request->body)));
	else
		ok = end == PIPE_FAILED;
	if (!ok)
		print_error("cut after %zu of %zu bytes%s: %s, end %d, %zu bytes\n", cut,
			    request->bytes.len, reset ? " by a reset" : "",
			    call ? "passed on" : "not passed on", (int)end, body.len);
	strbuf_clear(&body);
	callers_release();
	return ok;
}

static void add_body(struct request *request, size_t bytes)
{
	for (size_t i = 0; i < bytes; i++)
		strbuf_add(&request->body, (struct str){ &"abcdefgh"[i % 8], 1 });
}

static struct request sized_request(size_t bytes)
{
	struct request request = { 0 };

	add_body(&request, bytes);
	strbuf_addf(&request.bytes, "POST /cut HTTP/1.1\r\nHost: a\r\nContent-Length: %zu\r\n\r\n",
		    bytes);
	strbuf_add(&request.bytes, strbuf_str(&request.body));
	return request;
}

static struct request chunked_request(void)
{
	struct request request = { 0 };

	add_body(&request, 16);
	strbuf_add(&request.bytes,
		   STR("POST /cut HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
		       "3\r\nabc\r\n"
		       "d;ext=1\r\ndefghabcdefgh\r\n"
		       "0\r\nTrailer: x\r\n\r\n"));
	return request;
}

/* Cuts a request after each byte; in the middle of a large one only after some. */
static void check_cuts(struct request *request)
{
	size_t len = request->bytes.len;
	int failed = 0;

	for (size_t cut = 0; cut <= len;
	     cut += cut < EDGE_BYTES || cut + EDGE_BYTES + STEP_BYTES > len ? 1 : STEP_BYTES) {
		failed += !check_cut(request, cut, false);
		failed += !check_cut(request, cut, true);
	}
	strbuf_clear(&request->bytes);
	strbuf_clear(&request->body);
	assert_int_equal(failed, 0);
}

static void test_cut_small_body_is_not_passed_on(void **state)
{
	struct request request = sized_request(16);

	(void)state;
	check_cuts(&request);
}

static void test_cut_streamed_body_is_not_complete(void **state)
{
	struct request request = sized_request(LARGE_BYTES);

	(void)state;
	check_cuts(&request);
}

static void test_cut_body_in_chunks_is_not_complete(void **state)
{
	struct request request = chunked_request();

	(void)state;
	check_cuts(&request);
}

/* The connection was closed at once, and the request that was running got no answer. */
static void test_invalid_body_cuts_no_request_before_it(void **state)
{
	struct response_head head = { .status = 200 };
	int fd = callers_connect();
	struct strbuf answers;

	(void)state;
	callers_send(fd, "GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
	callers_call(0);
	callers_send(fd, "POST /second HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
			 "not a size\r\n");
	wait_for_server();
	assert_true(caller_answer(callers_call(0), &head, STR("first")));
	answers = callers_read(fd, END_WAIT_MS);
	assert_non_null(strstr(answers.data, "HTTP/1.1 200 "));
	assert_non_null(strstr(answers.data, "HTTP/1.1 400 "));
	assert_null(find_call(STR("/second")));
	strbuf_clear(&answers);
	close(fd);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_invalid_body_cuts_no_request_before_it,
						callers_set_up_ordered, callers_tear_down),
		cmocka_unit_test_setup_teardown(test_cut_small_body_is_not_passed_on,
						callers_set_up_ordered, callers_tear_down),
		cmocka_unit_test_setup_teardown(test_cut_streamed_body_is_not_complete,
						callers_set_up_ordered, callers_tear_down),
		cmocka_unit_test_setup_teardown(test_cut_body_in_chunks_is_not_complete,
						callers_set_up_ordered, callers_tear_down),
	};

	cmocka_set_test_filter(getenv("TEST_ONLY"));
	apr_initialize();
	return cmocka_run_group_tests_name("caller/requests", tests, NULL, NULL);
}
