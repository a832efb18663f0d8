/* Replays each recorded trace with the replay program, which fails if an outcome differs. */
#include "regress/lib/check.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>

static void test_traces_give_recorded_outcomes(void **state)
{
	const char *bin = getenv("GODWITHITCH_BIN");
	GDir *dir = g_dir_open("regress/traces", 0, NULL);
	const char *name;
	int replayed = 0;

	(void)state;
	assert_non_null(dir);
	while ((name = g_dir_read_name(dir))) {
		char *command = g_strdup_printf("%s/../test/replay regress/traces/%s",
						bin ? bin : "build/bin", name);
		int status = system(command);

		if (WEXITSTATUS(status) != 0)
			fail_msg("%s: outcomes differ", name);
		replayed++;
		g_free(command);
	}
	g_dir_close(dir);
	assert_true(replayed >= 7);
}

/* The replay program must fail on a trace whose expected outcome is wrong. */
static void test_wrong_outcome_is_reported(void **state)
{
	const char *bin = getenv("GODWITHITCH_BIN");
	char *path = NULL;
	char *command;
	FILE *file;

	(void)state;
	file = fdopen(g_file_open_tmp("godwithitch-XXXXXX", &path, NULL), "w");
	fprintf(file, "{\"at\":0,\"node\":{\"address\":\"10.0.0.1:7000\",\"data_centre\":\"a\"}}\n"
		      "{\"at\":1,\"expect\":{\"version\":7}}\n");
	fclose(file);
	command = g_strdup_printf("%s/../test/replay %s >/dev/null 2>&1", bin ? bin : "build/bin",
				  path);
	assert_int_equal(WEXITSTATUS(system(command)), 1);
	remove(path);
	g_free(path);
	g_free(command);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_traces_give_recorded_outcomes),
		cmocka_unit_test(test_wrong_outcome_is_reported),
	};

	return cmocka_run_group_tests_name("core/traces", tests, NULL, NULL);
}
