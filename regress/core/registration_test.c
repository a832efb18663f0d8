/* Which of a target's announcements counts. */
#include "regress/lib/check.h"

#include "core/registration.h"

struct row {
	const char *what;
	const char *id;
	int64_t born_ms;
	int64_t sequence;
	int kind;
	enum beat_result result;
	bool leaving;
	bool gone;
};

static void check_rows(const struct row *rows, size_t count)
{
	struct registration registration = { 0 };

	for (size_t i = 0; i < count; i++) {
		struct beat beat = { .id = label_from(str_from_cstr(rows[i].id)),
				     .born_ms = rows[i].born_ms,
				     .sequence = rows[i].sequence,
				     .kind = rows[i].kind };
		enum beat_result result = registration_take(&registration, &beat);

		if (result != rows[i].result || registration.leaving != rows[i].leaving ||
		    registration.gone != rows[i].gone)
			fail_msg("%s: result %d, leaving %d, gone %d", rows[i].what, result,
				 registration.leaving, registration.gone);
	}
}

static void test_late_and_crossed_announcements(void **state)
{
	static const struct row rows[] = {
		{ "the first one", "a", 10, 1, BEAT_READY, BEAT_REPLACED, false, false },
		{ "the next one", "a", 10, 2, BEAT_READY, BEAT_TAKEN, false, false },
		{ "the same again", "a", 10, 2, BEAT_READY, BEAT_STALE, false, false },
		{ "it leaves", "a", 10, 4, BEAT_LEAVING, BEAT_TAKEN, true, false },
		{ "one from before it left", "a", 10, 3, BEAT_READY, BEAT_STALE, true, false },
		{ "a later one does not take it back", "a", 10, 5, BEAT_READY, BEAT_STALE, true,
		  false },
		{ "its goodbye", "a", 0, 0, BEAT_GOODBYE, BEAT_TAKEN, true, true },
		{ "one after its goodbye", "a", 10, 6, BEAT_READY, BEAT_STALE, true, true },
	};

	(void)state;
	check_rows(rows, G_N_ELEMENTS(rows));
}

static void test_incarnations(void **state)
{
	static const struct row rows[] = {
		{ "the first one", "a", 10, 7, BEAT_READY, BEAT_REPLACED, false, false },
		{ "a new target on the VM", "b", 20, 1, BEAT_READY, BEAT_REPLACED, false, false },
		{ "one of the crashed target, held up on its way", "a", 10, 8, BEAT_READY,
		  BEAT_STALE, false, false },
		{ "the goodbye of the old one", "a", 10, 0, BEAT_GOODBYE, BEAT_STALE, false,
		  false },
		{ "it leaves", "b", 20, 2, BEAT_LEAVING, BEAT_TAKEN, true, false },
		{ "it starts again under its id, and counts anew", "b", 30, 1, BEAT_READY,
		  BEAT_REPLACED, false, false },
	};

	(void)state;
	check_rows(rows, G_N_ELEMENTS(rows));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_late_and_crossed_announcements),
		cmocka_unit_test(test_incarnations),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
