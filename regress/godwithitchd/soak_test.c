/* Runs the soak for 20 seconds with a fixed seed: all faults at once, invariants checked. */
#include "regress/lib/check.h"

#include <stdlib.h>
#include <sys/wait.h>

static void test_short_soak(void **state)
{
	const char *bin = getenv("GODWITHITCH_BIN");
	char *command = g_strdup_printf("%s/../test/soak -s 20 -n 7 -r 1", bin ? bin : "build/bin");

	(void)state;
	assert_int_equal(WEXITSTATUS(system(command)), 0);
	g_free(command);
}

int main(void)
{
	const struct CMUnitTest tests[] = { cmocka_unit_test(test_short_soak) };

	return cmocka_run_group_tests_name("godwithitchd/soak", tests, NULL, NULL);
}
