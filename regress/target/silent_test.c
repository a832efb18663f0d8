/*
 * A target with a full accept queue drops the opening packet: connect() neither succeeds nor fails
 * for minutes. Looking for such a target must end soon, and its silence is no refusal.
 */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <dirent.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <unistd.h>

#include "platform/dialect.h"
#include "regress/lib/listen.h"
#include "target/call.h"

#define ENDS_WITHIN_US (500 * US_PER_MS)
#define LOOK_US	       (10 * US_PER_MS)

enum { PROBES = 12 };

/* One look at the target, in its own thread. */
struct look {
	struct target *target;
	enum target_listening listening;
	int64_t took_us;
	gint ended;
};

static struct target *new_target(apr_pool_t *pool, uint16_t port)
{
	struct target *target = target_new(&dialect_platform, pool);

	target_set_endpoint(target,
			    &(struct target_endpoint){ .ipv4 = INADDR_LOOPBACK, .port = port });
	return target;
}

static gpointer run_look(gpointer data)
{
	struct look *look = data;
	int64_t started_us = clock_now().mono_us;

	look->listening = target_probe(look->target);
	look->took_us = clock_now().mono_us - started_us;
	g_atomic_int_set(&look->ended, 1);
	return NULL;
}

static int open_descriptors(void)
{
	DIR *dir = opendir("/proc/self/fd");
	int count = 0;

	while (readdir(dir))
		count++;
	closedir(dir);
	return count;
}

static int ended_looks(struct look *looks)
{
	int ended = 0;

	for (int i = 0; i < PROBES; i++)
		ended += g_atomic_int_get(&looks[i].ended);
	return ended;
}

/* Each look blocked its thread until the kernel gave up. */
static void test_looks_at_a_silent_target_end_and_share_one_connection(void **state)
{
	static struct look looks[PROBES]; /* threads of a failed test may outlive it */
	GThread *threads[PROBES];
	struct silent_listener listener;
	int64_t until_us;
	int most = 0;
	int before;
	apr_pool_t *pool;
	struct target *target;

	(void)state;
	apr_pool_create(&pool, NULL);
	silent_listener_open(&listener);
	target = new_target(pool, listener.port);
	before = open_descriptors();
	for (int i = 0; i < PROBES; i++) {
		looks[i].target = target;
		threads[i] = g_thread_new("look", run_look, &looks[i]);
	}
	until_us = clock_now().mono_us + ENDS_WITHIN_US;
	while (ended_looks(looks) < PROBES && clock_now().mono_us < until_us) {
		most = MAX(most, open_descriptors() - before);
		g_usleep(LOOK_US);
	}
	if (ended_looks(looks) < PROBES || most > 1)
		fail_msg("%d of %d looks have ended, with %d connections at once",
			 ended_looks(looks), PROBES, most);
	for (int i = 0; i < PROBES; i++) {
		g_thread_join(threads[i]);
		assert_int_equal(looks[i].listening, TARGET_SILENT);
	}
	silent_listener_close(&listener);
	target_free(target);
	apr_pool_destroy(pool);
}

static void test_silence_is_not_taken_for_a_refusal(void **state)
{
	struct silent_listener listener;
	uint16_t port;
	int fd = listen_on_loopback(&port);
	apr_pool_t *pool;
	struct target *target;

	(void)state;
	apr_pool_create(&pool, NULL);
	target = new_target(pool, port);
	assert_int_equal(target_probe(target), TARGET_ACCEPTS);
	close(fd);
	assert_int_equal(target_probe(target), TARGET_REFUSES);
	silent_listener_open(&listener);
	target_set_endpoint(target, &(struct target_endpoint){ .ipv4 = INADDR_LOOPBACK,
							       .port = listener.port });
	assert_int_equal(target_probe(target), TARGET_SILENT);
	silent_listener_close(&listener);
	assert_int_equal(target_probe(target), TARGET_REFUSES);
	target_free(target);
	apr_pool_destroy(pool);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_looks_at_a_silent_target_end_and_share_one_connection),
		cmocka_unit_test(test_silence_is_not_taken_for_a_refusal),
	};

	apr_initialize();
	cmocka_set_test_filter(getenv("TEST_ONLY"));
	return cmocka_run_group_tests_name("target/silent", tests, NULL, NULL);
}
