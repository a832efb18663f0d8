/* The account of callers' memory: who gives way, who is closed and who is refused, without a
 * network. */
#include "regress/lib/check.h"

#include <apr_general.h>

#include "base/memory.h"

enum { BUDGET_BYTES = 40 << 20, KIB = 1 << 10, HOLDERS = 4 };

static apr_pool_t *pool;
static struct memory *memory;
static struct memory_holder holders[HOLDERS];

static int set_up(void **state)
{
	(void)state;
	apr_pool_create(&pool, NULL);
	memory = memory_new(BUDGET_BYTES, pool);
	for (int i = 0; i < HOLDERS; i++)
		memory_join(memory, &holders[i], instant_at_s(0));
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	for (int i = 0; i < HOLDERS; i++)
		if (holders[i].joined)
			memory_leave(memory, &holders[i]);
	memory_free(memory);
	apr_pool_destroy(pool);
	return 0;
}

static void hold(int holder, enum memory_use use, int64_t kib)
{
	memory_charge(memory, &holders[holder], use, kib * KIB);
}

/* Callers within the limits of the field must meet none of these. */
static void test_ordinary_callers_meet_no_limit(void **state)
{
	struct memory_closing closing;

	(void)state;
	/* 64 pipelined requests with heads of 16 KiB and answers of 10 KiB, and a body of 64 MiB,
	 * of which two windows are in transit. */
	hold(0, MEMORY_REQUESTS, 64L * (16 + 24));
	hold(0, MEMORY_ANSWERS, 64L * 10);
	hold(1, MEMORY_BODIES, 512);
	for (int i = 0; i < HOLDERS; i++) {
		assert_true(memory_may_read(memory, &holders[i]));
		assert_int_equal(memory_admit(memory, &holders[i], false), MEMORY_RUN);
		assert_int_equal(memory_admit(memory, &holders[i], true), MEMORY_RUN);
	}
	assert_false(memory_choose(memory, instant_at_s(100), &closing));
}

/* A connection with many unread answers was read on, and its requests passed on. */
static void test_unread_answers_stop_reading(void **state)
{
	(void)state;
	hold(0, MEMORY_ANSWERS, 3L << 10);
	assert_false(memory_may_read(memory, &holders[0]));
	assert_int_equal(memory_admit(memory, &holders[0], false), MEMORY_WAIT);
	/* Its oldest request still runs, and others do not notice. */
	assert_int_equal(memory_admit(memory, &holders[0], true), MEMORY_RUN);
	assert_true(memory_may_read(memory, &holders[1]));
	hold(0, MEMORY_ANSWERS, -(3L << 10));
	assert_true(memory_may_read(memory, &holders[0]));
}

/* While memory is short only those that hold much give way. */
static void test_shortage_stops_large_holders_only(void **state)
{
	(void)state;
	hold(0, MEMORY_BODIES, 31L << 10);
	hold(1, MEMORY_REQUESTS, 100);
	assert_true(memory_is_short(memory));
	assert_false(memory_is_over(memory));
	assert_false(memory_may_read(memory, &holders[0]));
	assert_true(memory_may_read(memory, &holders[1]));
	assert_int_equal(memory_admit(memory, &holders[0], false), MEMORY_WAIT);
	assert_int_equal(memory_admit(memory, &holders[1], false), MEMORY_RUN);
}

/* The one without progress is closed, though another one holds more and takes its answers. */
static void test_stalled_connection_is_closed_first(void **state)
{
	struct memory_closing closing;

	(void)state;
	hold(0, MEMORY_ANSWERS, 24L << 10);
	hold(1, MEMORY_ANSWERS, 17L << 10);
	memory_sent(memory, &holders[0], instant_at_s(9));
	/* Sending further requests is no progress while answers wait. */
	memory_received(memory, &holders[1], instant_at_s(9));
	assert_true(memory_is_over(memory));
	assert_true(memory_choose(memory, instant_at_s(10), &closing));
	assert_ptr_equal(closing.holder, &holders[1]);
	assert_int_equal(closing.held[MEMORY_ANSWERS], 17L << 20);
	assert_int_equal(closing.stalled_us, 10 * US_PER_S);
	/* What it holds no longer counts: one closing is enough. */
	assert_false(memory_choose(memory, instant_at_s(10), &closing));
	hold(1, MEMORY_ANSWERS, -(17L << 10));
	assert_int_equal(memory_held(memory, MEMORY_ANSWERS), 24L << 20);
	assert_false(memory_is_over(memory));
}

/* Answers that fill faster than a stall is noticed must not exceed the memory either. */
static void test_excess_closes_the_largest(void **state)
{
	struct memory_closing closing;

	(void)state;
	hold(0, MEMORY_ANSWERS, 20L << 10);
	hold(1, MEMORY_ANSWERS, 25L << 10);
	assert_false(memory_choose(memory, instant_at_s(1), &closing));
	hold(2, MEMORY_ANSWERS, 6L << 10);
	assert_true(memory_choose(memory, instant_at_s(1), &closing));
	assert_ptr_equal(closing.holder, &holders[1]);
	assert_false(memory_choose(memory, instant_at_s(1), &closing));
}

/* Requests are refused only while the budget is exceeded; closed connections do not count. */
static void test_requests_are_refused_over_the_budget(void **state)
{
	(void)state;
	hold(0, MEMORY_BODIES, 41L << 10);
	assert_int_equal(memory_admit(memory, &holders[1], true), MEMORY_REFUSE);
	assert_int_equal(memory_admit(memory, &holders[1], false), MEMORY_WAIT);
	memory_set_closing(memory, &holders[0]);
	assert_int_equal(memory_admit(memory, &holders[1], true), MEMORY_RUN);
}

/* A holder that leaves takes all that it held along, whether it was closing or not. */
static void test_leaving_releases_all(void **state)
{
	(void)state;
	for (int i = 0; i < HOLDERS; i++)
		hold(i, (enum memory_use)(i % MEMORY_USES), 20L << 10);
	memory_set_closing(memory, &holders[0]);
	for (int i = 0; i < HOLDERS; i++)
		memory_leave(memory, &holders[i]);
	for (int i = 0; i < MEMORY_USES; i++)
		assert_int_equal(memory_held(memory, (enum memory_use)i), 0);
	assert_false(memory_is_short(memory));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_ordinary_callers_meet_no_limit, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_unread_answers_stop_reading, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_shortage_stops_large_holders_only, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_stalled_connection_is_closed_first, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_excess_closes_the_largest, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_requests_are_refused_over_the_budget, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_leaving_releases_all, set_up, tear_down),
	};

	apr_initialize();
	return cmocka_run_group_tests_name("base/memory", tests, NULL, NULL);
}
