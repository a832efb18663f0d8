/* Runs broken and second answers under load for ten seconds with a fixed seed. */
#include "regress/lib/check.h"

#include <stdlib.h>
#include <sys/wait.h>

static void test_broken_answers_under_load(void **state)
{
	const char *bin = getenv("GODWITHITCH_BIN");
	char *command = g_strdup_printf("%s/../test/broken -s 10 -r 1 -n 9 --rate 500 --head long "
					"--in-head -b 0.1 --reset 0.2 -c 0.1 -f 0.1",
					bin ? bin : "build/bin");

	(void)state;
	assert_int_equal(WEXITSTATUS(system(command)), 0);
	g_free(command);
}

int main(void)
{
	const struct CMUnitTest tests[] = { cmocka_unit_test(test_broken_answers_under_load) };

	return cmocka_run_group_tests_name("godwithitchd/broken_load", tests, NULL, NULL);
}
