/*
 * The readers of bytes that come from outside take the inputs of the fuzz targets' corpora: those
 * that once ended a process, and those that reach most of the code.
 */
#include "regress/lib/check.h"

#include <stdlib.h>
#include <string.h>

static void replay(const char *target)
{
	char *program = g_strdup_printf("%s/../fuzz/%s", getenv("GODWITHITCH_BIN"), target);
	char *corpus = g_strdup_printf("regress/fuzz/corpus/%s", target);
	char *argv[] = { program, corpus, NULL };
	GError *error = NULL;
	int status = 0;

	if (!g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, NULL, NULL, &status,
			  &error))
		fail_msg("%s: %s", target, error->message);
	if (!g_spawn_check_wait_status(status, &error))
		fail_msg("%s: %s", target, error->message);
	g_free(program);
	g_free(corpus);
}

static void test_answers(void **state)
{
	(void)state;
	replay("answers");
}

static void test_frames(void **state)
{
	(void)state;
	replay("frames");
}

static void test_messages(void **state)
{
	(void)state;
	replay("messages");
}

static void test_records(void **state)
{
	(void)state;
	replay("records");
}

static void test_heartbeats(void **state)
{
	(void)state;
	replay("heartbeats");
}

static void test_files(void **state)
{
	(void)state;
	replay("files");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_answers),	   cmocka_unit_test(test_frames),
		cmocka_unit_test(test_messages),   cmocka_unit_test(test_records),
		cmocka_unit_test(test_heartbeats), cmocka_unit_test(test_files),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
