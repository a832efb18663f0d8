/* Tests of pacing: large bodies on a slow link. */
#include "regress/lib/check.h"

#include <glib.h>

#include "core/pace.h"

/* At the paced fraction of 11 Mbit/s, 90 KB take 77 ms. */
#define LINK_MBPS 11.0

enum { DOWNLOAD_BYTES = 90000, CHUNK_BYTES = 4096 };

static int64_t send_body(struct pace *pace, int bytes, int64_t now_us)
{
	struct instant now = { .mono_us = now_us };
	int64_t last_us = now_us;

	for (int sent = 0; sent < bytes; sent += CHUNK_BYTES) {
		now.mono_us = last_us;
		last_us += pace_reserve(pace, (uint64_t)sent,
					(size_t)MIN(bytes - sent, CHUNK_BYTES), now);
	}
	return last_us;
}

/* Ten downloads at once leave one by one at the link's rate, not all into the link's queue. */
static void test_downloads_do_not_exceed_link_rate(void **state)
{
	struct pace pace = pace_of_link(LINK_MBPS);
	int64_t last_us = 0;

	(void)state;
	for (int i = 0; i < 10; i++)
		last_us = send_body(&pace, DOWNLOAD_BYTES, 1);
	assert_true(last_us > 600 * US_PER_MS);
	assert_true(last_us < 900 * US_PER_MS);
}

/* Answers to callers leave over the same link. Uncounted, they filled it beside the paced downloads
 * in scale-1 of Lanhua's grown site, and small frames between nodes took 60 ms. */
static void test_answers_to_callers_take_from_the_rate(void **state)
{
	struct pace pace = pace_of_link(LINK_MBPS);
	int64_t alone_us;

	(void)state;
	for (int i = 0; i < 5; i++)
		alone_us = send_body(&pace, DOWNLOAD_BYTES, 1);
	pace = pace_of_link(LINK_MBPS);
	for (int i = 0; i < 5; i++)
		pace_count(&pace, DOWNLOAD_BYTES / 2, (struct instant){ .mono_us = 1 });
	for (int i = 0; i < 5; i++)
		assert_true(send_body(&pace, DOWNLOAD_BYTES, 1) > 0);
	assert_true(send_body(&pace, DOWNLOAD_BYTES, 1) > alone_us * 3 / 2);
}

static void test_small_answer_is_not_delayed(void **state)
{
	struct pace pace = pace_of_link(LINK_MBPS);

	(void)state;
	for (int i = 0; i < 10; i++)
		send_body(&pace, DOWNLOAD_BYTES, 1);
	assert_int_equal(pace_reserve(&pace, 0, 1500, (struct instant){ .mono_us = 1 }), 0);
}

static void test_single_download_is_hardly_delayed(void **state)
{
	struct pace pace = pace_of_link(LINK_MBPS);

	(void)state;
	assert_true(send_body(&pace, DOWNLOAD_BYTES, 1) < 20 * US_PER_MS);
}

static void test_no_delay_without_limit(void **state)
{
	struct pace pace = pace_of_link(0);

	(void)state;
	for (int i = 0; i < 1000; i++)
		assert_int_equal(send_body(&pace, DOWNLOAD_BYTES, 1), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_downloads_do_not_exceed_link_rate),
		cmocka_unit_test(test_answers_to_callers_take_from_the_rate),
		cmocka_unit_test(test_small_answer_is_not_delayed),
		cmocka_unit_test(test_single_download_is_hardly_delayed),
		cmocka_unit_test(test_no_delay_without_limit),
	};

	return cmocka_run_group_tests_name("core/pace", tests, NULL, NULL);
}
