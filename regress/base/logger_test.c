/* A log reader that stops reading must not block the daemon: lines are dropped and counted. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/logger.h"

enum { LINES = 20000 };

static char *read_all(int fd)
{
	GString *text = g_string_new(NULL);
	char block[8192];

	for (int idle = 0; idle < 50;) {
		ssize_t n = read(fd, block, sizeof(block));

		if (n > 0) {
			g_string_append_len(text, block, n);
			idle = 0;
		} else {
			g_usleep(10 * 1000);
			idle++;
		}
	}
	return g_string_free(text, FALSE);
}

static void test_full_pipe_does_not_block_logging(void **state)
{
	char *dir = g_dir_make_tmp("godwithitch-XXXXXX", NULL);
	char *path = g_build_filename(dir, "log", NULL);
	int64_t started_us;
	char *text;
	int fd;

	(void)state;
	assert_int_equal(mkfifo(path, 0600), 0);
	fd = open(path, O_RDONLY | O_NONBLOCK);
	assert_true(fd >= 0);
	assert_true(logger_open(path));
	started_us = clock_now().mono_us;
	for (int i = 0; i < LINES; i++)
		logger_event(LOG_EVENT_NODE_CURRENT, "version=%d", i);
	/* Part of the buffer is reserved for warnings and errors. */
	logger_event(LOG_EVENT_TARGET_LAPSED, "reason=\"a warning\"");
	assert_true(clock_now().mono_us - started_us < US_PER_S);
	text = read_all(fd);
	assert_non_null(strstr(text, "version=0\n"));
	assert_null(strstr(text, "version=19999\n"));
	assert_non_null(strstr(text, "a warning"));
	assert_non_null(strstr(text, "LOG_DROPPED lines="));
	g_free(text);
	logger_close((struct deadline){ 0 });
	close(fd);
	unlink(path);
	rmdir(dir);
	g_free(path);
	g_free(dir);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_full_pipe_does_not_block_logging),
	};

	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
