/* Tests of callers' connections: events of a call while its caller disconnects, and answers. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <string.h>
#include <unistd.h>

#include "regress/lib/callers.h"

enum { EVENT_WAIT_US = 300000, ANSWER_WAIT_MS = 2000 };

static gpointer answer_first(gpointer data)
{
	struct response_head head = { .status = 200 };

	caller_answer(data, &head, STR("ok"));
	return NULL;
}

/*
 * A worker that finishes an answer starts the next pipelined call. If the caller disconnects
 * meanwhile, another worker ends that call. The daemon frees its part at the end, so that the first
 * worker went on with freed memory: a process of Lanhua's grown site ended by SIGSEGV.
 */
static void test_call_does_not_end_while_an_event_is_handled(void **state)
{
	int fd = callers_connect();
	struct caller_call *first;
	GThread *thread;

	(void)state;
	callers_send(fd, "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
			 "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
	first = callers_call(0);
	pthread_mutex_lock(&callers.mutex);
	callers.ready_wait_us = EVENT_WAIT_US;
	pthread_mutex_unlock(&callers.mutex);
	thread = g_thread_new("answer", answer_first, first);
	callers_call(1);
	close(fd);
	callers_wait(&callers.ended, 2);
	g_thread_join(thread);
	assert_false(callers.ended_while_handling);
}

/* Waits for the end of a streamed body, which follows its trailers. */
static void wait_for_upload(const struct caller_body *body)
{
	enum pipe_end end = PIPE_OPEN;
	char block[4096];

	for (int i = 0; i < ANSWER_WAIT_MS && end == PIPE_OPEN; i++) {
		while (pipe_read(body->upload, block, sizeof(block), &end) > 0)
			;
		if (end == PIPE_OPEN)
			g_usleep(1000);
	}
	assert_int_equal(end, PIPE_DONE);
}

/* Trailers of a streamed request arrive while the handler uses the strings of its head. */
static void test_trailers_leave_the_head_unchanged(void **state)
{
	int fd = callers_connect();
	struct caller_call *call;
	const char *target;
	size_t text_len;

	(void)state;
	callers_begin_upload(fd, "/path", "");
	call = callers_call(0);
	target = caller_target(call).data;
	text_len = call->text.len;
	callers_send(fd, "0\r\nX-Trailer: "
			 "0123456789012345678901234567890123456789012345678901234567890123456789"
			 "0123456789012345678901234567890123456789012345678901234567890123456789"
			 "\r\n\r\n");
	wait_for_upload(caller_body(call));
	assert_int_equal(call->text.len, text_len);
	assert_ptr_equal(call->text.data + (target - call->text.data), target);
	assert_true(str_equal(caller_target(call), STR("/path")));
	close(fd);
}

/* A call may expire on one worker while another one forwards the head of its answer: the generated
 * body was sent under that head, and the rest of the answer was missing. */
static void test_second_answer_to_a_call_is_dropped(void **state)
{
	struct response_head whole = { .status = 200, .body_length = 5 };
	struct response_head late = { .status = 504 };
	int fd = callers_connect();
	struct caller_call *call;
	struct strbuf answers;

	(void)state;
	callers_send(fd, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
	call = callers_call(0);
	assert_true(caller_write_head(call, &whole));
	assert_false(caller_answer(call, &late, STR("late")));
	assert_false(caller_write_head(call, &late));
	caller_write(call, STR("whole"));
	caller_finish(call, PIPE_DONE);
	answers = callers_read(fd, ANSWER_WAIT_MS);
	assert_non_null(strstr(answers.data, "Content-Length: 5\r\n\r\nwhole"));
	assert_null(strstr(answers.data, "late"));
	strbuf_clear(&answers);
	close(fd);
}

/* The parser took the result of a rejected head for "no body": if the head arrived alone, no answer
 * was sent, and the caller waited for one until it gave up. */
static void test_oversized_body_is_rejected_before_it_arrives(void **state)
{
	int fd = callers_connect();
	struct strbuf answers;

	(void)state;
	callers_send(fd, "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999\r\n\r\n");
	answers = callers_read(fd, ANSWER_WAIT_MS);
	assert_non_null(strstr(answers.data, "HTTP/1.1 413"));
	strbuf_clear(&answers);
	close(fd);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_call_does_not_end_while_an_event_is_handled,
						callers_set_up, callers_tear_down),
		cmocka_unit_test_setup_teardown(test_trailers_leave_the_head_unchanged,
						callers_set_up, callers_tear_down),
		cmocka_unit_test_setup_teardown(test_oversized_body_is_rejected_before_it_arrives,
						callers_set_up, callers_tear_down),
		cmocka_unit_test_setup_teardown(test_second_answer_to_a_call_is_dropped,
						callers_set_up, callers_tear_down),
	};

	apr_initialize();
	return cmocka_run_group_tests_name("caller/connection", tests, NULL, NULL);
}
