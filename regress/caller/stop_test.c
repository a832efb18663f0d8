/* Tests of connections that are told to close: what is run is answered, and what isn't is not run.
 */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "regress/lib/callers.h"

enum {
	WAIT_MS = 2000,
	SETTLE_US = 100000,
	LARGE = 20000, /* the head does not wait for the end of such a body */
	ROUNDS = 8,
};

static void send_get(int fd, int number)
{
	char text[64];

	g_snprintf(text, sizeof(text), "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", number);
	callers_send(fd, text);
}

static int count_ready(void)
{
	int ready;

	g_usleep(SETTLE_US);
	pthread_mutex_lock(&callers.mutex);
	ready = callers.ready;
	pthread_mutex_unlock(&callers.mutex);
	return ready;
}

static void answer_small(int index)
{
	struct response_head head = { .status = 200 };

	assert_true(caller_answer(callers_call(index), &head, STR("small")));
}

static void begin_large(int index)
{
	struct response_head head = { .status = 200, .body_length = LARGE };

	assert_true(caller_write_head(callers_call(index), &head));
	caller_write(callers_call(index), STR("first"));
}

static void end_large(int index)
{
	char rest[LARGE - sizeof("first") + 1];

	memset(rest, 'x', sizeof(rest));
	caller_write(callers_call(index), (struct str){ rest, sizeof(rest) });
	caller_finish(callers_call(index), PIPE_DONE);
}

/* Counts occurrences in what callers_read() returned. */
static int count_text(const struct strbuf *bytes, const char *text)
{
	int count = 0;

	for (const char *at = bytes->data; (at = strstr(at, text)) != NULL; at++)
		count++;
	return count;
}

static void expect_no_active_calls(void)
{
	for (int i = 0; i < 100 && caller_active(callers.caller); i++)
		g_usleep(10000);
	assert_int_equal(caller_active(callers.caller), 0);
}

/* A request that came while the closing answer was sent ran, and its caller got no answer. */
static void test_request_behind_a_closing_answer_is_not_run(void **state)
{
	int fd = callers_connect();
	struct strbuf answers;

	(void)state;
	send_get(fd, 1);
	callers_call(0);
	caller_retire(callers.caller);
	begin_large(0);
	answers = callers_read(fd, WAIT_MS);
	assert_int_equal(count_text(&answers, "Connection: close"), 1);
	strbuf_clear(&answers);
	send_get(fd, 2);
	assert_int_equal(count_ready(), 1);
	end_large(0);
	answers = callers_read(fd, WAIT_MS);
	assert_int_equal(answers.len - 1, LARGE - 5);
	assert_true(callers_ended(fd));
	/* The request that was not run holds neither the stop nor the connection. */
	expect_no_active_calls();
	send_get(fd, 3);
	assert_int_equal(count_ready(), 1);
	expect_no_active_calls();
	strbuf_clear(&answers);
	close(fd);
}

/* The body of a request had begun when the closing answer was written. */
static void test_body_behind_a_closing_answer_is_not_run(void **state)
{
	int fd = callers_connect();
	struct strbuf answers;

	(void)state;
	send_get(fd, 1);
	callers_call(0);
	callers_send(fd, "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\nbody");
	g_usleep(SETTLE_US);
	caller_retire(callers.caller);
	begin_large(0);
	callers_send(fd, "body");
	end_large(0);
	answers = callers_read(fd, WAIT_MS);
	assert_int_equal(count_text(&answers, "HTTP/1.1 200"), 1);
	assert_int_equal(count_text(&answers, "Connection: close"), 1);
	assert_true(callers_ended(fd));
	assert_int_equal(count_ready(), 1);
	expect_no_active_calls();
	strbuf_clear(&answers);
	close(fd);
}

/* A caller that always had a second request under way was never told to close, until the node cut
 * what it was running at the end of its stop. */
static void test_busy_connection_is_told_to_close(void **state)
{
	int fd = callers_connect();
	int answered = 0;
	int received = 0;
	int closes = 0;

	(void)state;
	send_get(fd, 1);
	send_get(fd, 2);
	callers_call(1);
	caller_retire(callers.caller);
	while (answered < ROUNDS && answered < count_ready() && closes == 0) {
		struct strbuf bytes;

		send_get(fd, answered + 3);
		answer_small(answered++);
		bytes = callers_read(fd, WAIT_MS);
		received += count_text(&bytes, "HTTP/1.1 200");
		closes += count_text(&bytes, "Connection: close");
		strbuf_clear(&bytes);
	}
	assert_int_equal(closes, 1);
	assert_int_equal(received, answered);
	assert_int_equal(count_ready(), answered);
	assert_true(callers_ended(fd));
	expect_no_active_calls();
	close(fd);
}

/* An answer that had begun before the stop can't tell its caller to close: the next one does. */
static void test_request_behind_an_earlier_answer_is_run_and_answered(void **state)
{
	int fd = callers_connect();
	struct strbuf answers;

	(void)state;
	send_get(fd, 1);
	begin_large(0);
	answers = callers_read(fd, WAIT_MS);
	assert_int_equal(count_text(&answers, "Connection: close"), 0);
	strbuf_clear(&answers);
	caller_retire(callers.caller);
	send_get(fd, 2);
	answer_small(1);
	send_get(fd, 3);
	end_large(0);
	answers = callers_read(fd, WAIT_MS);
	assert_int_equal(count_text(&answers, "HTTP/1.1 200"), 1);
	assert_int_equal(count_text(&answers, "Connection: close"), 1);
	assert_true(callers_ended(fd));
	assert_int_equal(count_ready(), 2);
	expect_no_active_calls();
	strbuf_clear(&answers);
	close(fd);
}

/* Requests that were running when the stop began are answered, also behind a slow one. */
static void test_running_requests_are_answered_in_a_stop(void **state)
{
	int fd = callers_connect();
	struct strbuf answers;

	(void)state;
	for (int i = 1; i <= 3; i++)
		send_get(fd, i);
	callers_call(2);
	caller_retire(callers.caller);
	answer_small(2);
	answer_small(1);
	g_usleep(SETTLE_US);
	answer_small(0);
	answers = callers_read(fd, WAIT_MS);
	assert_int_equal(count_text(&answers, "HTTP/1.1 200"), 3);
	assert_int_equal(count_text(&answers, "Connection: close"), 1);
	assert_true(callers_ended(fd));
	expect_no_active_calls();
	strbuf_clear(&answers);
	close(fd);
}

/* A request that was queued behind another before the stop, and not run, is left to the caller. */
static void test_waiting_request_is_not_run_behind_a_closing_answer(void **state)
{
	int fd = callers_connect();
	struct strbuf answers;

	(void)state;
	send_get(fd, 1);
	callers_call(0);
	callers_send(fd, "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
	g_usleep(SETTLE_US);
	caller_retire(callers.caller);
	answer_small(0);
	answers = callers_read(fd, WAIT_MS);
	assert_int_equal(count_text(&answers, "HTTP/1.1 200"), 1);
	assert_int_equal(count_text(&answers, "Connection: close"), 1);
	assert_true(callers_ended(fd));
	assert_int_equal(count_ready(), 1);
	expect_no_active_calls();
	strbuf_clear(&answers);
	close(fd);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_request_behind_a_closing_answer_is_not_run,
						callers_set_up, callers_tear_down),
		cmocka_unit_test_setup_teardown(test_body_behind_a_closing_answer_is_not_run,
						callers_set_up, callers_tear_down),
		cmocka_unit_test_setup_teardown(test_busy_connection_is_told_to_close,
						callers_set_up, callers_tear_down),
		cmocka_unit_test_setup_teardown(
			test_request_behind_an_earlier_answer_is_run_and_answered, callers_set_up,
			callers_tear_down),
		cmocka_unit_test_setup_teardown(test_running_requests_are_answered_in_a_stop,
						callers_set_up, callers_tear_down),
		cmocka_unit_test_setup_teardown(
			test_waiting_request_is_not_run_behind_a_closing_answer, callers_set_up,
			callers_tear_down),
	};

	cmocka_set_test_filter(getenv("TEST_ONLY"));
	apr_initialize();
	return cmocka_run_group_tests_name("caller/stop", tests, NULL, NULL);
}
