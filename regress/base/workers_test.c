/* The pool of workers when the system has no room for all of its threads. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/workers.h"

enum {
	THREADS = 64,
	ROOM_BYTES = 64 << 20, /* for the stacks of a few threads */
	NOBODY = 65534,
};

static void on_work(void *context, const struct work *work, int ready)
{
	(void)context;
	(void)work;
	(void)ready;
}

static rlim_t address_space_bytes(void)
{
	FILE *file = fopen("/proc/self/statm", "r");
	unsigned long pages = 0;

	assert_non_null(file);
	assert_int_equal(fscanf(file, "%lu", &pages), 1);
	fclose(file);
	return (rlim_t)pages * (rlim_t)sysconf(_SC_PAGESIZE);
}

/* The daemon went on with the threads that it got, and blocking work could occupy all of them. */
static void test_missing_thread_is_an_error(void **state)
{
	struct workers_options options = { .threads = THREADS, .queue_max = 4, .handle = on_work };
	struct rlimit before;
	struct rlimit limit;
	struct workers *workers;
	apr_pool_t *pool;
	GError *error = NULL;
	bool started;

	(void)state;
	apr_pool_create(&pool, NULL);
	workers = workers_new(&options, pool, NULL);
	assert_non_null(workers);
	assert_int_equal(getrlimit(RLIMIT_AS, &before), 0);
	limit = before;
	limit.rlim_cur = address_space_bytes() + ROOM_BYTES;
	assert_int_equal(setrlimit(RLIMIT_AS, &limit), 0);
	started = workers_start(workers, &error);
	assert_int_equal(setrlimit(RLIMIT_AS, &before), 0);
	assert_false(started);
	assert_non_null(error);
	g_error_free(error);
	workers_stop(workers);
	workers_free(workers);
	apr_pool_destroy(pool);
}

/* Starts and stops a pool in a process that may create few threads, or none: the limit is one on
 * all threads of a user, and does not hold for root. */
static int stop_without_threads(void)
{
	struct workers_options options = { .threads = THREADS, .queue_max = 4, .handle = on_work };
	bool is_root = geteuid() == 0;
	rlim_t threads = is_root ? THREADS / 2 : 1;
	struct rlimit few = { threads, threads };
	struct workers *workers;
	apr_pool_t *pool;
	bool started;

	apr_pool_create(&pool, NULL);
	workers = workers_new(&options, pool, NULL);
	if (!workers || (is_root && setuid(NOBODY) != 0) || setrlimit(RLIMIT_NPROC, &few) != 0)
		return EXIT_FAILURE;
	started = workers_start(workers, NULL);
	workers_stop(workers);
	return started ? EXIT_FAILURE : EXIT_SUCCESS;
}

/* A stopping daemon had answered everything and ended by SIGSEGV: it joined threads that could not
 * be created on a machine with no room for more. */
static void test_stop_joins_no_missing_thread(void **state)
{
	int status = -1;
	pid_t pid = fork();

	(void)state;
	assert_true(pid >= 0);
	if (pid == 0)
		_exit(stop_without_threads());
	assert_int_equal(waitpid(pid, &status, 0), pid);
	assert_int_equal(status, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_missing_thread_is_an_error),
		cmocka_unit_test(test_stop_joins_no_missing_thread),
	};

	apr_initialize();
	return cmocka_run_group_tests_name("base/workers", tests, NULL, NULL);
}
