/* Tests of answers that begin while the request's body is still being sent. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "regress/lib/callers.h"

enum { SETTLE_US = 100000, END_WAIT_MS = 1000 };

/* Reads the upload to its end, or until nothing comes for a while. */
static struct strbuf read_upload(struct caller_call *call, enum pipe_end *end)
{
	const struct caller_body *source = caller_body(call);
	struct strbuf body = { 0 };
	char block[4096];

	*end = PIPE_OPEN;
	for (int i = 0; i < END_WAIT_MS && *end == PIPE_OPEN; i++) {
		size_t n = pipe_read(source->upload, block, sizeof(block), end);

		strbuf_add(&body, (struct str){ block, n });
		caller_upload_consumed(call);
		if (n == 0 && *end == PIPE_OPEN)
			g_usleep(1000);
	}
	return body;
}

static void check_upload(const char *fields, bool retired)
{
	struct response_head head = { .status = 200, .body_length = -1 };
	int fd = callers_connect();
	struct strbuf answer;
	struct strbuf body;
	enum pipe_end end;

	callers_begin_upload(fd, "/1", fields);
	callers_call(0);
	if (retired)
		caller_retire(callers.caller);
	assert_true(caller_write_head(callers_call(0), &head));
	caller_write(callers_call(0), STR("first"));
	answer = callers_read(fd, SETTLE_US / 1000);
	assert_non_null(strstr(answer.data, "first"));
	strbuf_clear(&answer);
	callers_send(fd, "2\r\ncd\r\n0\r\n\r\n");
	body = read_upload(callers_call(0), &end);
	if (end != PIPE_DONE || body.len != CALLERS_UPLOAD_BYTES + 2)
		fail_msg("the body ends as %d after %zu of %d bytes", (int)end, body.len,
			 CALLERS_UPLOAD_BYTES + 2);
	caller_finish(callers_call(0), PIPE_DONE);
	strbuf_clear(&body);
	close(fd);
}

static void test_body_goes_on_behind_an_answer_that_keeps_the_connection(void **state)
{
	(void)state;
	check_upload("", false);
}

/* The rest of the body was thrown away once the answer had begun, so that the target waited for it
 * until the deadline. */
static void test_body_goes_on_behind_the_head_of_a_closing_answer(void **state)
{
	(void)state;
	check_upload("Connection: close\r\n", false);
}

static void test_body_goes_on_behind_the_head_of_an_answer_in_a_stop(void **state)
{
	(void)state;
	check_upload("", true);
}

/* Sends a POST request with a body of @p bytes in one piece. */
static void send_post(int fd, size_t bytes)
{
	char *body = g_strnfill(bytes, 'x');
	char *text = g_strdup_printf("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: %zu\r\n\r\n%s",
				     bytes, body);

	callers_send(fd, text);
	g_free(body);
	g_free(text);
}

/* Guards against a connection that is not read any more after the answer to an upload of which the
 * handler took nothing: the caller's next request on it got no answer until the idle limit. */
static void test_request_behind_a_refused_upload_is_read(void **state)
{
	struct response_head head = { .status = 503 };
	int fd = callers_connect();

	(void)state;
	send_post(fd, 2 * UPLOAD_LIMIT_BYTES);
	for (int i = 0; i < 3000 && caller_body_has_room(caller_body(callers_call(0))); i++)
		g_usleep(1000);
	assert_false(caller_body_has_room(caller_body(callers_call(0))));
	assert_true(caller_answer(callers_call(0), &head, STR("")));
	callers_send(fd, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
	for (int i = 0; i < 3000; i++) {
		bool ready;

		pthread_mutex_lock(&callers.mutex);
		ready = callers.ready == 2;
		pthread_mutex_unlock(&callers.mutex);
		if (ready)
			break;
		g_usleep(1000);
	}
	assert_int_equal(callers.ready, 2);
	assert_true(str_equal(caller_target(callers_call(1)), STR("/2")));
	close(fd);
}

/* Guards against kept connections that stay charged with the buffer of an answer that their callers
 * have read: a few hundred of them used up the budget, and others were refused. */
static void test_read_answer_is_not_charged_any_more(void **state)
{
	struct response_head head = { .status = 200, .body_length = 200000 };
	char *body = g_strnfill(200000, 'y');
	int fd = callers_connect();
	struct strbuf answer;
	int64_t held = 1;

	(void)state;
	callers_send(fd, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
	assert_true(caller_answer(callers_call(0), &head, (struct str){ body, 200000 }));
	answer = callers_read(fd, SETTLE_US / 1000);
	assert_true(answer.len > 200000);
	callers_release();
	for (int i = 0; i < 3000 && held; i++) {
		held = memory_held(callers.memory, MEMORY_ANSWERS);
		g_usleep(1000);
	}
	assert_int_equal(held, 0);
	strbuf_clear(&answer);
	g_free(body);
	close(fd);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_body_goes_on_behind_an_answer_that_keeps_the_connection,
			callers_set_up, callers_tear_down),
		cmocka_unit_test_setup_teardown(
			test_body_goes_on_behind_the_head_of_a_closing_answer, callers_set_up,
			callers_tear_down),
		cmocka_unit_test_setup_teardown(
			test_body_goes_on_behind_the_head_of_an_answer_in_a_stop, callers_set_up,
			callers_tear_down),
		cmocka_unit_test_setup_teardown(test_request_behind_a_refused_upload_is_read,
						callers_set_up, callers_tear_down),
		cmocka_unit_test_setup_teardown(test_read_answer_is_not_charged_any_more,
						callers_set_up, callers_tear_down),
	};

	cmocka_set_test_filter(getenv("TEST_ONLY"));
	apr_initialize();
	return cmocka_run_group_tests_name("caller/upload", tests, NULL, NULL);
}
