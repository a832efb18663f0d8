/* Tests of the times of a planned stop. */
#include "regress/lib/check.h"

#include "core/stop.h"

static struct stop_plan plan_of(double within_s, double notice_s)
{
	struct stop_options options = { .within_us = (int64_t)(within_s * 1e6),
					.notice_us = (int64_t)(notice_s * 1e6) };

	return stop_plan_at(&options, instant_at_s(0));
}

static void test_deadlines_are_in_order(void **state)
{
	static const double within_s[] = { 0.1, 0.5, 1, 2, 3, 6, 20, 600 };
	static const double notice_s[] = { 0, 0.5, 2.5, 30 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(within_s); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(notice_s); j++) {
			struct stop_plan plan = plan_of(within_s[i], notice_s[j]);

			assert_true(plan.notice_ends_at.at_us <= plan.queue_ends_at.at_us);
			assert_true(plan.queue_ends_at.at_us <= plan.work_ends_at.at_us);
			assert_true(plan.work_ends_at.at_us < plan.answer_at.at_us);
			assert_true(plan.answer_at.at_us < plan.exit_at.at_us);
			assert_true(plan.exit_at.at_us < plan.log_ends_at.at_us);
			assert_true(plan.log_ends_at.at_us < instant_at_s(within_s[i]).mono_us);
		}
	}
}

/* A target that still works in the last sixth of a stop may be cut off, and not before. */
static void test_targets_work_until_the_last_sixth(void **state)
{
	static const double within_s[] = { 0.6, 1, 3, 6, 20, 600 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(within_s); i++) {
		struct stop_plan plan = plan_of(within_s[i], 0);

		assert_true(plan.work_ends_at.at_us >= instant_at_s(within_s[i] * 5 / 6).mono_us);
	}
}

static void test_work_is_bounded(void **state)
{
	struct stop_plan plan = plan_of(6, 2.5);
	struct deadline soon = { instant_at_s(1).mono_us };
	struct deadline late = { instant_at_s(9).mono_us };

	(void)state;
	assert_int_equal(stop_bound(&plan, soon).at_us, soon.at_us);
	assert_int_equal(stop_bound(&plan, late).at_us, plan.work_ends_at.at_us);
	assert_int_equal(stop_bound(&plan, (struct deadline){ 0 }).at_us, plan.work_ends_at.at_us);
}

static void test_node_stays_until_others_have_heard(void **state)
{
	struct stop_plan plan = plan_of(6, 2.5);

	(void)state;
	assert_int_equal(stop_leave_at(&plan, instant_at_s(2.5)).at_us, instant_at_s(3.5).mono_us);
	assert_int_equal(stop_leave_at(&plan, instant_at_s(5)).at_us, plan.work_ends_at.at_us);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_deadlines_are_in_order),
		cmocka_unit_test(test_targets_work_until_the_last_sixth),
		cmocka_unit_test(test_work_is_bounded),
		cmocka_unit_test(test_node_stays_until_others_have_heard),
	};

	return cmocka_run_group_tests_name("core/stop", tests, NULL, NULL);
}
