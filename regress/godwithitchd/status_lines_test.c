/* Status lines, field names and chunks of targets: one that the protocol doesn't allow never
 * reaches a caller as an answer, whether the target is beside the caller's node or beside another
 * one. */
#include "regress/lib/check.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "regress/lib/raw_target.h"

enum {
	CHECK_MS = 100,
	CALLS_MAX = 50, /* of a row, until one reaches the target */
};

#define OWN    "X-Request-Id: @\r\nX-Response-Signature: s.@\r\n"
#define FIELDS OWN "Content-Length: 2\r\n\r\nok"
#define OK     "HTTP/1.1 200 OK\r\n"

#define CHUNKED OK OWN "Transfer-Encoding: chunked\r\n\r\n"

enum { CUT = -1 }; /* .passed_on: the head may have gone, and the answer must not look whole */

/* What follows the bytes of a row. */
enum row_ending { ROW_KEPT, ROW_CLOSED, ROW_WITHOUT_END };

/* What a target sends; "@" stands for the id of the request. */
static const struct status_row {
	const char *name;
	const char *bytes;
	int passed_on; /* status that the caller gets; 0: a failure that the node states, or CUT */
	enum row_ending ending;
} rows[] = {
	{ "000", "HTTP/1.1 000 None\r\n" FIELDS, 0, ROW_KEPT },
	{ "001", "HTTP/1.1 001 One\r\n" FIELDS, 0, ROW_KEPT },
	{ "099", "HTTP/1.1 099 Low\r\n" FIELDS, 0, ROW_KEPT },
	{ "101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n" FIELDS,
	  0, ROW_KEPT },
	{ "interim heads without end", "HTTP/1.1 102 Processing\r\n\r\n", 0, ROW_WITHOUT_END },
	{ "an interim head alone", "HTTP/1.1 199 Interim\r\n" FIELDS, 0, ROW_KEPT },
	{ "600", "HTTP/1.1 600 High\r\n" FIELDS, 0, ROW_KEPT },
	{ "999", "HTTP/1.1 999 High\r\n" FIELDS, 0, ROW_KEPT },
	{ "a plus sign", "HTTP/1.1 +20 OK\r\n" FIELDS, 0, ROW_KEPT },
	{ "a minus sign", "HTTP/1.1 -20 OK\r\n" FIELDS, 0, ROW_KEPT },
	{ "a second blank", "HTTP/1.1  200 OK\r\n" FIELDS, 0, ROW_KEPT },
	{ "a tab", "HTTP/1.1\t200 OK\r\n" FIELDS, 0, ROW_KEPT },
	{ "a blank within", "HTTP/1.1 2 0 OK\r\n" FIELDS, 0, ROW_KEPT },
	{ "two digits", "HTTP/1.1 20 OK\r\n" FIELDS, 0, ROW_KEPT },
	{ "four digits", "HTTP/1.1 2000 OK\r\n" FIELDS, 0, ROW_KEPT },
	{ "a letter", "HTTP/1.1 20x OK\r\n" FIELDS, 0, ROW_KEPT },
	{ "no status", "HTTP/1.1\r\n" FIELDS, 0, ROW_KEPT },
	{ "no reason phrase", "HTTP/1.1 200\r\n" FIELDS, 200, ROW_KEPT },
	{ "an empty reason phrase", "HTTP/1.1 200 \r\n" FIELDS, 200, ROW_KEPT },
	{ "an interim head before", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" FIELDS,
	  200, ROW_KEPT },
	{ "599", "HTTP/1.1 599 Last\r\n" FIELDS, 599, ROW_KEPT },
	{ "a blank within a name", OK "X Y: 1\r\n" FIELDS, 0, ROW_CLOSED },
	{ "a blank behind a name", OK "X-Y : 1\r\n" FIELDS, 0, ROW_CLOSED },
	{ "a tab behind the name of the length", OK OWN "Content-Length\t: 2\r\n\r\nok", 0,
	  ROW_CLOSED },
	{ "a blank before the name of the length", OK OWN " Content-Length: 2\r\n\r\nok", 0,
	  ROW_CLOSED },
	{ "a control byte within a name", OK "X\x01Y: 1\r\n" FIELDS, 0, ROW_CLOSED },
	{ "a carriage return before a name", OK "\rX-Y: 1\r\n" FIELDS, 0, ROW_CLOSED },
	{ "a line feed within a name", OK "X\nY: 1\r\n" FIELDS, 0, ROW_CLOSED },
	{ "a line feed before the length", OK OWN "\nContent-Length: 2\r\n\r\nok", 0, ROW_CLOSED },
	{ "a line feed before a later field", OK OWN "Content-Length: 2\r\n\nX-Y: 1\r\n\r\nok", 0,
	  ROW_CLOSED },
	{ "a line feed at the end of an interim head", "HTTP/1.1 103 Early Hints\r\n\n" OK FIELDS,
	  0, ROW_CLOSED },
	{ "sound chunks", CHUNKED "2;x\r\nok\r\n0\r\nX-Y: 1\r\n\r\n", 200, ROW_KEPT },
	{ "a size with a line feed alone", CHUNKED "2\nok\r\n0\r\n\r\n", CUT, ROW_CLOSED },
	{ "a chunk with a line feed alone", CHUNKED "2\r\nok\n0\r\n\r\n", CUT, ROW_CLOSED },
	{ "a last line of a line feed alone", CHUNKED "2\r\nok\r\n0\r\n\n", CUT, ROW_CLOSED },
	{ "bytes behind a size", CHUNKED "2 4\r\nok\r\n0\r\n\r\n", CUT, ROW_CLOSED },
	{ "a blank within a trailer's name", CHUNKED "2\r\nok\r\n0\r\nX Y: 1\r\n\r\n", CUT,
	  ROW_CLOSED },
	{ "a control byte in a trailer's name", CHUNKED "2\r\nok\r\n0\r\nX\x01Y: 1\r\n\r\n", CUT,
	  ROW_CLOSED },
	{ "a status line in a trailer", CHUNKED "2\r\nok\r\n0\r\n" OK "\r\n", CUT, ROW_CLOSED },
};

static struct raw_target *target;

/* Answers /r/ROW as the row says; another path gets a whole answer. */
static void answer(void *context, const struct breaker_request *request, struct breaker_plan *plan)
{
	const char *row = request->path + strlen("/r/");
	bool in_table = g_ascii_isdigit(*row);
	GString *bytes = g_string_new(in_table ? rows[atoi(row)].bytes : OK FIELDS);

	raw_target_note_run(context, request->id);
	g_string_replace(bytes, "@", request->id, 0);
	switch (in_table ? rows[atoi(row)].ending : ROW_KEPT) {
	case ROW_WITHOUT_END:
		breaker_plan_flood(plan, str_from_cstr(bytes->str));
		break;
	case ROW_CLOSED:
		breaker_plan_send(plan, str_from_cstr(bytes->str));
		breaker_plan_step(plan, BREAKER_FIN, 0);
		break;
	case ROW_KEPT:
		breaker_plan_send(plan, str_from_cstr(bytes->str));
		break;
	}
	g_string_free(bytes, TRUE);
}

/* Returns the status of a call, and whether its request has reached the target. */
static int call_status(enum raw_target_node node, const char *path, bool *has_run)
{
	struct raw_request request = { .method = "GET", .path = path };
	struct raw_answer reply = raw_target_call(target, node, request, has_run);
	int status = reply.ending == RAW_WHOLE ? reply.status : 0;

	raw_answer_clear(&reply);
	return status;
}

static bool is_kept(const struct status_row *row, int status)
{
	if (row->passed_on == CUT && status == 0)
		return true;
	if (row->passed_on > 0)
		return status == row->passed_on;
	/* It has run: 503 and 429 would say that it has not. */
	return status == 502 || status == 504;
}

/* Returns whether a call of the row got what it has to. */
static bool play(enum raw_target_node node, size_t row)
{
	char path[16];
	bool has_run = false;
	int status = 0;

	g_snprintf(path, sizeof(path), "/r/%zu", row);
	/* A node that found the target broken refuses calls for a while. */
	for (int i = 0; i < CALLS_MAX && !has_run; i++) {
		if (i)
			wait_ms(CHECK_MS);
		status = call_status(node, path, &has_run);
	}
	if (has_run && is_kept(&rows[row], status))
		return true;
	print_message("%s: %s, status %d%s\n", raw_target_place(node), rows[row].name, status,
		      has_run ? "" : ", the target did not get it");
	return false;
}

static void play_rows(enum raw_target_node node)
{
	int broken = 0;

	for (size_t row = 0; row < G_N_ELEMENTS(rows); row++)
		broken += !play(node, row);
	assert_int_equal(broken, 0);
	assert_int_equal(process_wait(&raw_target_fleet(target)->nodes[node].daemon, 0), -1);
}

static void test_status_lines_of_own_target(void **state)
{
	(void)state;
	play_rows(OWN_TARGET);
}

static void test_status_lines_of_another_nodes_target(void **state)
{
	(void)state;
	play_rows(OTHER_NODE);
}

static int set_up(void **state)
{
	static struct breaker_options answers = { .answer = answer };

	(void)state;
	target = raw_target_new(&answers);
	return target ? 0 : 1;
}

static int tear_down(void **state)
{
	(void)state;
	raw_target_free(target);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_status_lines_of_own_target),
		cmocka_unit_test(test_status_lines_of_another_nodes_target),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	cmocka_set_test_filter(getenv("TEST_ONLY"));
	return cmocka_run_group_tests_name("godwithitchd/status_lines", tests, set_up, tear_down);
}
