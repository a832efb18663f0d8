/* Tests of the node's own answers: which of them promise that the request has not run. */
#include "regress/lib/check.h"

#include <glib.h>

#include "core/reply.h"
#include "platform/dialect.h"

/* Statuses that callers take for "not run". */
static const int promises[] = { 408, 421, 429, 503 };

static const struct dialect *const dialects[] = { &dialect_native, &dialect_platform };

static const enum refusal_cause refusal_causes[] = {
	REFUSED_NO_TARGET,	  REFUSED_LATE,	     REFUSED_QUARANTINED, REFUSED_NO_ROUTE,
	REFUSED_NO_CONFIGURATION, REFUSED_MALFORMED,
};

static const enum failure_cause failure_causes[] = {
	FAILED_ATTEMPT,
	FAILED_DEADLINE,
	FAILED_KEY_HELD,
};

static bool is_promise(int status)
{
	for (size_t i = 0; i < G_N_ELEMENTS(promises); i++)
		if (promises[i] == status)
			return true;
	return false;
}

static void check_promises_nothing(const struct reply *reply)
{
	assert_int_equal(reply_verdict(reply), VERDICT_MAY_HAVE_RUN);
	for (size_t d = 0; d < G_N_ELEMENTS(dialects); d++)
		for (int late = 0; late < 2; late++)
			assert_false(is_promise(reply_status(reply, dialects[d], late)));
}

static void test_failure_promises_nothing(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(failure_causes); i++) {
		struct reply reply = reply_fail(failure_causes[i]);

		check_promises_nothing(&reply);
	}
}

/* Invoices were issued twice after a refusal that followed a run. */
static void test_refusal_after_an_attempt_that_may_have_run_promises_nothing(void **state)
{
	static const enum verdict verdicts[] = { VERDICT_MAY_HAVE_RUN, VERDICT_RAN };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(refusal_causes); i++) {
		struct attempt_record running = { 0 };
		struct reply reply;

		assert_true(attempt_record_begin(&running));
		reply = reply_refuse(&running, refusal_causes[i]);
		check_promises_nothing(&reply);
		for (size_t v = 0; v < G_N_ELEMENTS(verdicts); v++) {
			struct attempt_record record = { 0 };

			assert_true(attempt_record_begin(&record));
			attempt_record_end(&record, verdicts[v]);
			/* A later attempt that has not run says nothing about the earlier one. */
			assert_true(attempt_record_begin(&record));
			attempt_record_end(&record, VERDICT_NOT_RUN);
			reply = reply_refuse(&record, refusal_causes[i]);
			check_promises_nothing(&reply);
		}
	}
}

static void test_refusal_of_a_call_that_has_not_run(void **state)
{
	struct attempt_record record = { 0 };
	struct reply reply;

	(void)state;
	assert_true(attempt_record_begin(&record));
	attempt_record_end(&record, VERDICT_NOT_RUN);
	reply = reply_refuse(&record, REFUSED_NO_TARGET);
	assert_int_equal(reply_verdict(&reply), VERDICT_NOT_RUN);
	assert_int_equal(reply_status(&reply, &dialect_platform, false), 503);
	reply = reply_refuse(&record, REFUSED_QUARANTINED);
	assert_int_equal(reply_status(&reply, &dialect_platform, false), 429);
}

static void test_nothing_is_sent_after_a_refusal(void **state)
{
	struct attempt_record record = { 0 };
	struct reply reply = reply_refuse(&record, REFUSED_NO_TARGET);

	(void)state;
	assert_int_equal(reply_verdict(&reply), VERDICT_NOT_RUN);
	assert_false(attempt_record_begin(&record));
}

/* A target's 503 promises nothing without the field that says so. */
static void test_unproven_refusal_of_a_target_is_not_passed_on(void **state)
{
	(void)state;
	for (int status = 200; status < 600; status++) {
		enum answer_statement plain =
			dialect_answer_statement(&dialect_platform, status, false);

		assert_int_equal(dialect_answer_statement(&dialect_platform, status, true),
				 STATES_NOT_RUN);
		if (is_promise(status))
			assert_int_not_equal(plain, STATES_RAN);
		else
			assert_int_equal(plain, STATES_RAN);
	}
	assert_int_equal(dialect_answer_statement(&dialect_platform, 503, false), STATES_NOTHING);
	assert_int_equal(dialect_answer_statement(&dialect_platform, 421, false), STATES_NOT_RUN);
	/* The native interface has a field for the verdict, and passes a target's 503 on. */
	assert_int_equal(dialect_answer_statement(&dialect_native, 503, false), STATES_RAN);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_failure_promises_nothing),
		cmocka_unit_test(test_refusal_after_an_attempt_that_may_have_run_promises_nothing),
		cmocka_unit_test(test_refusal_of_a_call_that_has_not_run),
		cmocka_unit_test(test_nothing_is_sent_after_a_refusal),
		cmocka_unit_test(test_unproven_refusal_of_a_target_is_not_passed_on),
	};

	return cmocka_run_group_tests_name("core/reply", tests, NULL, NULL);
}
