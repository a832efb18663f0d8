/* How a node comes by its first configuration. */
#include "regress/lib/check.h"

#include <apr_general.h>

#include "core/node.h"

/* Ticks until the log is read next, from a failure on; microseconds. */
static int64_t wait_for_read(struct node *node, int64_t *now_us)
{
	struct event tick = { .kind = EVENT_TICK };
	int64_t since_us = *now_us;

	for (;;) {
		struct actions actions = actions_new();
		bool read = false;

		node_handle(node, &tick, (struct instant){ *now_us, *now_us }, &actions);
		for (guint i = 0; i < actions.list->len; i++)
			read |= g_array_index(actions.list, struct action, i).kind ==
				ACTION_READ_LOG;
		actions_clear(&actions);
		if (read)
			return *now_us - since_us;
		*now_us += 100 * US_PER_MS;
	}
}

static void fail_read(struct node *node, enum log_failure failure, int64_t now_us)
{
	struct event failed = { .kind = EVENT_LOG_FAILED };
	struct actions actions = actions_new();

	failed.failed.stream = STREAM_SYSTEM;
	failed.failed.failure = failure;
	node_handle(node, &failed, (struct instant){ now_us, now_us }, &actions);
	actions_clear(&actions);
}

/* The longest wait after the last of @p failures. */
static int64_t wait_after(enum log_failure failure, int failures)
{
	int64_t longest_us = 0;

	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct node_options options = { .id = 1, .data_centre = LABEL("a"), .seed = seed };
		int64_t now_us = US_PER_S;
		struct node *node = node_new(&options, (struct instant){ now_us, now_us }, NULL);
		int64_t wait_us = 0;

		wait_for_read(node, &now_us);
		for (int i = 0; i < failures; i++) {
			fail_read(node, failure, now_us);
			wait_us = wait_for_read(node, &now_us);
		}
		longest_us = MAX(longest_us, wait_us);
		node_free(node);
	}
	return longest_us;
}

/*
 * The load of argyris-cat scale-1: all nodes start while the store is silent. It is asked again
 * within a second however long it was out, so that they serve soon after its return.
 */
static void test_a_log_that_is_out_is_asked_again_soon(void **state)
{
	(void)state;
	assert_true(wait_after(LOG_FAILURE_OUT, 8) <= 900 * US_PER_MS);
}

/* A log that answers "too many" is left alone ever longer. */
static void test_a_busy_log_is_left_alone(void **state)
{
	(void)state;
	assert_true(wait_after(LOG_FAILURE_LIMITED, 8) >= 4 * US_PER_S);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_log_that_is_out_is_asked_again_soon),
		cmocka_unit_test(test_a_busy_log_is_left_alone),
	};

	apr_initialize();
	return cmocka_run_group_tests_name("core/boot", tests, NULL, NULL);
}
