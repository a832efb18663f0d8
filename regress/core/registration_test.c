/* Tests that late, reordered and repeated announcements of targets are ignored. */
#include "regress/lib/check.h"

#include "core/registration.h"

struct row {
	const char *description;
	const char *id;
	int64_t started_ms;
	int64_t sequence;
	int kind;
	enum heartbeat_result result;
	bool leaving;
	bool deregistered;
};

static void check_rows(const struct row *rows, size_t count)
{
	struct registration registration = { 0 };

	for (size_t i = 0; i < count; i++) {
		struct heartbeat heartbeat = { .id = label_from(str_from_cstr(rows[i].id)),
					       .started_ms = rows[i].started_ms,
					       .sequence = rows[i].sequence,
					       .kind = rows[i].kind };
		enum heartbeat_result result = registration_apply(&registration, &heartbeat);

		/* The target answers unless the row says that doubt remains. */
		if (result == HEARTBEAT_DOUBTED && rows[i].result != HEARTBEAT_DOUBTED)
			result = registration_confirm(&registration, &heartbeat);
		if (result != rows[i].result || registration.leaving != rows[i].leaving ||
		    registration.deregistered != rows[i].deregistered)
			fail_msg("%s: result %d, leaving %d, deregistered %d", rows[i].description,
				 result, registration.leaving, registration.deregistered);
	}
}

static void test_late_announcements_are_ignored(void **state)
{
	static const struct row rows[] = {
		{ "the first one", "a", 10, 1, HEARTBEAT_READY, HEARTBEAT_REPLACED, false, false },
		{ "the next one", "a", 10, 2, HEARTBEAT_READY, HEARTBEAT_ACCEPTED, false, false },
		{ "the same one again", "a", 10, 2, HEARTBEAT_READY, HEARTBEAT_STALE, false,
		  false },
		{ "the target is leaving", "a", 10, 4, HEARTBEAT_LEAVING, HEARTBEAT_ACCEPTED, true,
		  false },
		{ "a delayed one from before", "a", 10, 3, HEARTBEAT_READY, HEARTBEAT_STALE, true,
		  false },
		{ "a later one that says ready", "a", 10, 5, HEARTBEAT_READY, HEARTBEAT_STALE, true,
		  false },
		{ "its deregistration", "a", 0, 0, HEARTBEAT_DEREGISTER, HEARTBEAT_ACCEPTED, true,
		  true },
		{ "one after its deregistration", "a", 10, 6, HEARTBEAT_READY, HEARTBEAT_STALE,
		  true, true },
	};

	(void)state;
	check_rows(rows, G_N_ELEMENTS(rows));
}

static void test_ended_incarnation_is_ignored(void **state)
{
	static const struct row rows[] = {
		{ "the first one", "a", 10, 7, HEARTBEAT_READY, HEARTBEAT_REPLACED, false, false },
		{ "a new target on the VM", "b", 20, 1, HEARTBEAT_READY, HEARTBEAT_REPLACED, false,
		  false },
		{ "a delayed one of the crashed target", "a", 10, 8, HEARTBEAT_READY,
		  HEARTBEAT_STALE, false, false },
		{ "the deregistration of the crashed target", "a", 10, 0, HEARTBEAT_DEREGISTER,
		  HEARTBEAT_STALE, false, false },
		{ "the new target is leaving", "b", 20, 2, HEARTBEAT_LEAVING, HEARTBEAT_ACCEPTED,
		  true, false },
		{ "a restart with the same id and a new sequence", "b", 30, 1, HEARTBEAT_READY,
		  HEARTBEAT_REPLACED, false, false },
	};

	(void)state;
	check_rows(rows, G_N_ELEMENTS(rows));
}

/* A restarted node knows nothing of a target that has left. */
static void test_late_heartbeats_after_restart_do_not_bring_a_target_back(void **state)
{
	static const struct row rows[] = {
		{ "a late one", "a", 10, 7, HEARTBEAT_READY, HEARTBEAT_DOUBTED, false, false },
		{ "another late one", "a", 10, 8, HEARTBEAT_READY, HEARTBEAT_DOUBTED, false,
		  false },
		{ "the same one again", "a", 10, 8, HEARTBEAT_READY, HEARTBEAT_STALE, false,
		  false },
		{ "its deregistration", "a", 0, 0, HEARTBEAT_DEREGISTER, HEARTBEAT_REPLACED, true,
		  true },
		{ "one more, and the target answers", "a", 10, 9, HEARTBEAT_READY, HEARTBEAT_STALE,
		  true, true },
		{ "a start under the same id", "a", 20, 1, HEARTBEAT_READY, HEARTBEAT_REPLACED,
		  false, false },
		{ "its next heartbeat", "a", 20, 2, HEARTBEAT_READY, HEARTBEAT_ACCEPTED, false,
		  false },
	};

	(void)state;
	check_rows(rows, G_N_ELEMENTS(rows));
}

static void test_heartbeat_of_another_writer_does_not_replace_target(void **state)
{
	static const struct row rows[] = {
		{ "one that says that it leaves", "x", 80, 1, HEARTBEAT_LEAVING, HEARTBEAT_REPLACED,
		  true, false },
		{ "the target", "a", 10, 1, HEARTBEAT_READY, HEARTBEAT_REPLACED, false, false },
		{ "one of a later start", "x", 90, 1, HEARTBEAT_READY, HEARTBEAT_DOUBTED, false,
		  false },
		{ "the target's next", "a", 10, 2, HEARTBEAT_READY, HEARTBEAT_ACCEPTED, false,
		  false },
		{ "one that leaves", "x", 90, 2, HEARTBEAT_LEAVING, HEARTBEAT_STALE, false, false },
		{ "one that deregisters", "x", 90, 0, HEARTBEAT_DEREGISTER, HEARTBEAT_STALE, false,
		  false },
		{ "one without a start", "x", 0, 1, HEARTBEAT_READY, HEARTBEAT_DOUBTED, false,
		  false },
		{ "the target's next", "a", 10, 3, HEARTBEAT_READY, HEARTBEAT_ACCEPTED, false,
		  false },
		{ "the target's next start leaves", "a", 30, 1, HEARTBEAT_LEAVING,
		  HEARTBEAT_REPLACED, true, false },
		{ "a late one from before", "a", 10, 4, HEARTBEAT_READY, HEARTBEAT_STALE, true,
		  false },
	};

	(void)state;
	check_rows(rows, G_N_ELEMENTS(rows));
}

static void test_target_that_left_while_it_was_asked_is_not_used(void **state)
{
	struct heartbeat heartbeat = { .id = LABEL("a"), .started_ms = 10, .sequence = 1 };
	struct heartbeat goodbye = { .id = LABEL("a"), .kind = HEARTBEAT_DEREGISTER };
	struct registration registration = { 0 };

	(void)state;
	assert_int_equal(registration_apply(&registration, &heartbeat), HEARTBEAT_DOUBTED);
	assert_int_equal(registration_apply(&registration, &goodbye), HEARTBEAT_REPLACED);
	assert_int_equal(registration_confirm(&registration, &heartbeat), HEARTBEAT_STALE);
	assert_true(registration.leaving);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_late_announcements_are_ignored),
		cmocka_unit_test(test_ended_incarnation_is_ignored),
		cmocka_unit_test(test_late_heartbeats_after_restart_do_not_bring_a_target_back),
		cmocka_unit_test(test_heartbeat_of_another_writer_does_not_replace_target),
		cmocka_unit_test(test_target_that_left_while_it_was_asked_is_not_used),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
