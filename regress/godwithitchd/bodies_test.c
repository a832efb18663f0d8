/* Bodies of requests around the limits of buffers, frames and windows, with real processes. */
#include "regress/lib/check.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "regress/lib/pair.h"
#include "regress/lib/rawcall.h"

enum { BESIDE_ANOTHER_NODE, OWN_TARGET }; /* the node that callers use */

enum { KIB = 1 << 10, PAUSE_MS = 20, TIMEOUT_MS = 5000 };

/* Limits of the daemon; bodies have one byte less, exactly as many, and one more. */
static const size_t limits[] = {
	1,	   /* a request with a body */
	16 * KIB,  /* one read from a caller or a target */
	32 * KIB,  /* a frame, a block of an upload, a window update */
	64 * KIB,  /* bodies that are buffered whole; two window updates */
	70 * KIB,  /* between limits */
	96 * KIB,  /* three window updates */
	128 * KIB, /* the window of a stream */
	160 * KIB, /* the window and one update */
	256 * KIB, /* the buffer of an upload; two windows */
	288 * KIB, /* that and one update */
};

/* Returns whether the target got the body as it was sent. */
static bool body_arrives(struct raw_caller *caller, enum raw_body kind, size_t bytes, int pause_ms)
{
	struct raw_request request = { .method = "POST",
				       .host = "a",
				       .path = "/check",
				       .id = "1",
				       .body = kind,
				       .body_bytes = bytes,
				       .pause_ms = pause_ms,
				       .timeout_ms = TIMEOUT_MS };
	struct raw_answer answer = raw_call(caller, &request);
	char *expected = g_strdup_printf("%zu bytes, 0 altered\n", bytes);
	bool arrived = answer.ending == RAW_WHOLE && answer.status == 200 &&
		       str_equal(strbuf_str(&answer.body), str_from_cstr(expected));

	if (!arrived)
		print_error("%zu bytes, pause %d ms: status %d, ending %d, \"%.*s\"\n", bytes,
			    pause_ms, answer.status, (int)answer.ending,
			    STR_ARG(strbuf_str(&answer.body)));
	raw_answer_clear(&answer);
	g_free(expected);
	return arrived;
}

/* Sends all bodies on one connection, each at once and in two halves. */
static void check_bodies(int entry, enum raw_body kind)
{
	struct raw_caller *caller;
	int failed = 0;
	int sent = 0;

	fleet = pair_start("-s registre -v v1");
	caller = raw_caller_new(atoi(strchr(fleet->nodes[entry].caller_address, ':') + 1));
	for (size_t i = 0; i < G_N_ELEMENTS(limits); i++) {
		for (size_t bytes = limits[i] - 1; bytes <= limits[i] + 1; bytes++) {
			failed += !body_arrives(caller, kind, bytes, 0);
			failed += !body_arrives(caller, kind, bytes, PAUSE_MS);
			sent += 2;
		}
	}
	raw_caller_free(caller);
	print_message("%d of %d bodies did not arrive\n", failed, sent);
	assert_int_equal(failed, 0);
}

/* The target's node returns credit for a body that was sent whole with its request. */
static void test_window_update_for_a_whole_body_ends_no_node(void **state)
{
	(void)state;
	check_bodies(BESIDE_ANOTHER_NODE, RAW_WITH_LENGTH);
}

static void test_bodies_with_a_length_reach_own_target(void **state)
{
	(void)state;
	check_bodies(OWN_TARGET, RAW_WITH_LENGTH);
}

static void test_bodies_in_chunks_reach_another_node(void **state)
{
	(void)state;
	check_bodies(BESIDE_ANOTHER_NODE, RAW_IN_CHUNKS);
}

static void test_bodies_in_chunks_reach_own_target(void **state)
{
	(void)state;
	check_bodies(OWN_TARGET, RAW_IN_CHUNKS);
}

/* The time of a call counted from the end of its body: a target got requests that their callers had
 * given up, and more time than they had left. */
static void test_slow_body_takes_from_the_time_of_its_call(void **state)
{
	enum { LATE_MS = 1000 }; /* the route allows 500 ms */
	struct raw_request request = { .method = "POST",
				       .host = "a",
				       .path = "/hang",
				       .id = "1",
				       .body = RAW_WITH_LENGTH,
				       .body_bytes = 100,
				       .pause_ms = LATE_MS,
				       .timeout_ms = TIMEOUT_MS };
	struct raw_caller *caller;
	struct raw_answer answer;

	(void)state;
	fleet = pair_start("-s registre -v v1");
	caller = raw_caller_new(atoi(strchr(fleet->nodes[OWN_TARGET].caller_address, ':') + 1));
	answer = raw_call(caller, &request);
	assert_int_equal(answer.status, 504);
	assert_true(str_has_prefix(strbuf_str(&answer.body), STR("not-run")));
	raw_answer_clear(&answer);
	raw_caller_free(caller);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_window_update_for_a_whole_body_ends_no_node,
					  pair_stop),
		cmocka_unit_test_teardown(test_bodies_with_a_length_reach_own_target, pair_stop),
		cmocka_unit_test_teardown(test_bodies_in_chunks_reach_another_node, pair_stop),
		cmocka_unit_test_teardown(test_bodies_in_chunks_reach_own_target, pair_stop),
		cmocka_unit_test_teardown(test_slow_body_takes_from_the_time_of_its_call,
					  pair_stop),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	cmocka_set_test_filter(getenv("TEST_ONLY"));
	return cmocka_run_group_tests_name("godwithitchd/bodies", tests, NULL, NULL);
}
