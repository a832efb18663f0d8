/* Tests of the ends of answers: what is not whole must not look so, and nothing may follow it. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "regress/lib/callers.h"

enum {
	WAIT_MS = 2000,
	PAUSE_US = 20000,
	BLOCK_BYTES = 10000,
	LARGE = 2 * BLOCK_BYTES, /* the head does not wait for the end of such a body */
};

/* What the handler does with the body of an answer. */
enum step {
	WRITE_SMALL = 's', /* 4 bytes */
	WRITE_BLOCK = 'b', /* BLOCK_BYTES */
	PAUSE = 'p',	   /* until the bytes so far are sent */
	FINISH = 'e',
	FAIL = 'f',
};

struct answer_case {
	const char *script;
	const char *method;
	int status;
	int64_t length; /* in the head; -1: none */
};

static void perform(struct caller_call *call, enum step step)
{
	static char block[BLOCK_BYTES];

	switch (step) {
	case WRITE_SMALL:
		caller_write(call, STR("body"));
		return;
	case WRITE_BLOCK:
		memset(block, 'x', sizeof(block));
		caller_write(call, (struct str){ block, sizeof(block) });
		return;
	case PAUSE:
		g_usleep(PAUSE_US);
		return;
	case FINISH:
		caller_finish(call, PIPE_DONE);
		return;
	case FAIL:
		caller_finish(call, PIPE_FAILED);
		return;
	}
}

/* Answers the first of two pipelined requests by the script, with the second answer ready, and
 * returns all that the caller gets. */
static struct strbuf answer(const struct answer_case *c, int fd)
{
	struct response_head head = { .status = c->status, .body_length = c->length };
	struct response_head next = { .status = 200 };
	char text[128];

	g_snprintf(text, sizeof(text),
		   "%s /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		   c->method);
	callers_send(fd, text);
	assert_true(caller_answer(callers_call(1), &next, STR("second")));
	assert_true(caller_write_head(callers_call(0), &head));
	for (const char *step = c->script; *step; step++)
		perform(callers_call(0), (enum step) * step);
	return callers_read(fd, WAIT_MS);
}

/* Returns the bytes behind the first head, -1 without one. */
static int64_t body_bytes(const struct strbuf *answers)
{
	const char *end = strstr(answers->data, "\r\n\r\n");

	return end ? (int64_t)strlen(end + 4) : -1;
}

/* A broken answer ends the connection before the end that its framing gives it. */
static bool ends_visibly(const struct answer_case *c, const struct strbuf *answers, int fd)
{
	int64_t bytes = body_bytes(answers);

	if (strstr(answers->data, "second") || !callers_ended(fd))
		return false;
	return c->length < 0 ? !strstr(answers->data, "\r\n0\r\n") : bytes < c->length;
}

static int run_cases(const struct answer_case *cases, size_t count, bool whole)
{
	int failed = 0;

	for (size_t i = 0; i < count; i++) {
		const struct answer_case *c = &cases[i];
		int fd = callers_connect();
		struct strbuf answers = answer(c, fd);
		bool ok = whole ? strstr(answers.data, "\r\n\r\nsecond") != NULL
				: ends_visibly(c, &answers, fd);

		if (!ok)
			print_error(
				"%s %s, status %d, length %ld: %zu bytes, %ld behind the head\n",
				c->method, c->script, c->status, c->length, answers.len - 1,
				body_bytes(&answers));
		failed += !ok;
		strbuf_clear(&answers);
		close(fd);
		callers_release();
	}
	return failed;
}

static void test_whole_answer_is_followed_by_the_next(void **state)
{
	static const struct answer_case cases[] = {
		{ "se", "GET", 200, 4 },
		{ "spe", "GET", 200, 4 },
		{ "e", "GET", 200, 0 },
		{ "bbe", "GET", 200, LARGE },
		{ "bpbpe", "GET", 200, LARGE },
		{ "se", "GET", 200, -1 },
		{ "e", "GET", 200, -1 },
		{ "bpbpe", "GET", 200, -1 },
		{ "e", "HEAD", 200, 4 },
		{ "e", "HEAD", 200, LARGE },
		{ "e", "HEAD", 200, -1 },
		{ "e", "GET", 204, -1 },
		{ "e", "GET", 304, LARGE },
		{ "e", "GET", 304, 4 },
		/* A generated answer to HEAD has its body discarded. */
		{ "se", "HEAD", 503, 4 },
	};

	(void)state;
	assert_int_equal(run_cases(cases, G_N_ELEMENTS(cases), true), 0);
}

/* The descriptor stayed open as long as something held the call, and the caller waited. */
static void test_failed_answer_ends_the_connection_at_once(void **state)
{
	static const struct answer_case cases[] = {
		{ "f", "GET", 200, 0 },	     { "f", "GET", 200, 4 },
		{ "sf", "GET", 200, 4 },     { "sf", "GET", 200, 5 },
		{ "bf", "GET", 200, LARGE }, { "bpf", "GET", 200, LARGE },
		{ "f", "GET", 200, -1 },     { "pf", "GET", 200, -1 },
		{ "sf", "GET", 200, -1 },    { "spf", "GET", 200, -1 },
		{ "bpbpf", "GET", 200, -1 },
	};

	(void)state;
	assert_int_equal(run_cases(cases, G_N_ELEMENTS(cases), false), 0);
}

/* The connection went on with the next answer, whose bytes ended up in the body of this one. */
static void test_short_answer_ends_the_connection(void **state)
{
	static const struct answer_case cases[] = {
		{ "e", "GET", 200, 4 },	      { "se", "GET", 200, 5 },
		{ "spe", "GET", 200, 5 },     { "e", "GET", 200, LARGE },
		{ "pe", "GET", 200, LARGE },  { "be", "GET", 200, LARGE },
		{ "bpe", "GET", 200, LARGE },
	};

	(void)state;
	assert_int_equal(run_cases(cases, G_N_ELEMENTS(cases), false), 0);
}

/* The last byte was sent before the answer had ended: one that failed behind it looked whole. */
static void test_answer_that_fails_at_its_end_is_not_whole(void **state)
{
	static const struct answer_case cases[] = {
		{ "bbf", "GET", 200, LARGE },
		{ "bbpf", "GET", 200, LARGE },
		{ "bpbpf", "GET", 200, LARGE },
	};

	(void)state;
	assert_int_equal(run_cases(cases, G_N_ELEMENTS(cases), false), 0);
}

/* Bytes behind the announced length were taken for the next answer. */
static void test_long_answer_ends_the_connection(void **state)
{
	static const struct answer_case cases[] = {
		{ "se", "GET", 200, 0 },	{ "se", "GET", 200, 3 },
		{ "spse", "GET", 200, 4 },	{ "bbse", "GET", 200, LARGE },
		{ "bbpse", "GET", 200, LARGE }, { "bpbpspe", "GET", 200, LARGE },
		{ "bbbpe", "GET", 200, LARGE }, { "bbbbbbbb", "GET", 200, LARGE },
		{ "bbpsf", "GET", 200, LARGE },
	};

	(void)state;
	assert_int_equal(run_cases(cases, G_N_ELEMENTS(cases), false), 0);
}

/* An answer may come before the request's body has. A body that turned out invalid then was
 * answered once more, with a second end of the chunks. */
static void test_invalid_body_gets_no_second_answer(void **state)
{
	struct response_head head = { .status = 429, .body_length = -1 };
	int fd = callers_connect();
	struct strbuf answers;

	(void)state;
	callers_begin_upload(fd, "/1", "");
	assert_true(caller_write_head(callers_call(0), &head));
	caller_finish(callers_call(0), PIPE_DONE);
	answers = callers_read(fd, WAIT_MS);
	assert_non_null(strstr(answers.data, "\r\n\r\n0\r\n\r\n"));
	strbuf_clear(&answers);
	callers_send(fd, "not a chunk\r\n");
	assert_true(callers_ended(fd));
	close(fd);
}

/* Reads until the connection ends; returns whether a reset ended it. */
static bool read_to_end(int fd, GString *bytes)
{
	struct timeval limit = { .tv_sec = WAIT_MS / 1000 };
	char block[4096];
	ssize_t n;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	while ((n = recv(fd, block, sizeof(block), 0)) > 0)
		g_string_append_len(bytes, block, n);
	return n < 0 && errno == ECONNRESET;
}

/* Answers a request over HTTP/1.0 by the script; the caller takes the end of the connection for
 * that of a body without a length. Returns whether it can tell the whole answer from a part. */
static bool is_told_end(const struct answer_case *c, const char *fields, size_t body_bytes)
{
	struct response_head head = { .status = c->status, .body_length = c->length };
	char *text = g_strdup_printf("%s /1 HTTP/1.0\r\n%s\r\n", c->method, fields);
	GString *bytes = g_string_new(NULL);
	int fd = callers_connect();
	const char *end;
	bool reset;
	bool told;

	callers_send(fd, text);
	assert_true(caller_write_head(callers_call(0), &head));
	for (const char *step = c->script; *step; step++)
		perform(callers_call(0), (enum step) * step);
	reset = read_to_end(fd, bytes);
	end = strstr(bytes->str, "\r\n\r\n");
	told = strchr(c->script, FAIL) ? reset || !end
				       : !reset && end && strlen(end + 4) == body_bytes;
	if (!told || strstr(bytes->str, "chunked"))
		print_error("%s %s, length %ld: %s, %zu bytes\n", c->method, c->script, c->length,
			    reset ? "reset" : "closed", bytes->len);
	told &= !strstr(bytes->str, "chunked");
	g_string_free(bytes, TRUE);
	g_free(text);
	close(fd);
	callers_release();
	return told;
}

/* Such callers got chunks, and a part of a body looked like the whole one. */
static void test_caller_without_chunks_can_tell_a_part(void **state)
{
	static const struct {
		struct answer_case answer;
		size_t body_bytes;
	} rows[] = {
		{ { "se", "GET", 200, -1 }, 4 },    { { "spe", "GET", 200, -1 }, 4 },
		{ { "e", "GET", 200, -1 }, 0 },	    { { "bpbpe", "GET", 200, -1 }, LARGE },
		{ { "spe", "POST", 200, -1 }, 4 },  { { "e", "HEAD", 200, -1 }, 0 },
		{ { "e", "GET", 204, -1 }, 0 },	    { { "se", "GET", 200, 4 }, 4 },
		{ { "f", "GET", 200, -1 }, 0 },	    { { "pf", "GET", 200, -1 }, 0 },
		{ { "spf", "GET", 200, -1 }, 0 },   { { "bf", "GET", 200, -1 }, 0 },
		{ { "bpbpf", "GET", 200, -1 }, 0 }, { { "bpbpf", "POST", 200, -1 }, 0 },
	};
	int wrong = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		wrong += !is_told_end(&rows[i].answer, "", rows[i].body_bytes);
	assert_int_equal(wrong, 0);
}

/* Nothing may be passed on behind an answer that ends with its connection. */
static void test_caller_without_chunks_gets_no_request_passed_on_behind(void **state)
{
	struct response_head head = { .status = 200, .body_length = -1 };
	GString *bytes = g_string_new(NULL);
	int fd = callers_connect();

	(void)state;
	callers_send(fd, "GET /1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
			 "GET /2 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
	assert_true(caller_write_head(callers_call(0), &head));
	perform(callers_call(0), WRITE_SMALL);
	perform(callers_call(0), FINISH);
	assert_false(read_to_end(fd, bytes));
	assert_true(g_str_has_suffix(bytes->str, "\r\n\r\nbody"));
	assert_int_equal(callers.ready, 1);
	g_string_free(bytes, TRUE);
	close(fd);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_whole_answer_is_followed_by_the_next,
						callers_set_up, callers_tear_down),
		cmocka_unit_test_setup_teardown(test_failed_answer_ends_the_connection_at_once,
						callers_set_up, callers_tear_down),
		cmocka_unit_test_setup_teardown(test_answer_that_fails_at_its_end_is_not_whole,
						callers_set_up, callers_tear_down),
		cmocka_unit_test_setup_teardown(test_short_answer_ends_the_connection,
						callers_set_up, callers_tear_down),
		cmocka_unit_test_setup_teardown(test_long_answer_ends_the_connection,
						callers_set_up, callers_tear_down),
		cmocka_unit_test_setup_teardown(test_invalid_body_gets_no_second_answer,
						callers_set_up, callers_tear_down),
		cmocka_unit_test_setup_teardown(test_caller_without_chunks_can_tell_a_part,
						callers_set_up, callers_tear_down),
		cmocka_unit_test_setup_teardown(
			test_caller_without_chunks_gets_no_request_passed_on_behind, callers_set_up,
			callers_tear_down),
	};

	cmocka_set_test_filter(getenv("TEST_ONLY"));
	apr_initialize();
	return cmocka_run_group_tests_name("caller/answers", tests, NULL, NULL);
}
