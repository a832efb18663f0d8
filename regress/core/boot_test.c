/* Tests how a joining node obtains its first configuration. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <stdlib.h>

#include "core/node.h"
#include "operator/parse.h"

/* Ticks the node until it reads the log; returns the elapsed microseconds. */
static int64_t wait_for_read(struct node *node, int64_t *now_us)
{
	struct event tick = { .kind = EVENT_TICK };
	int64_t start_us = *now_us;

	for (;;) {
		struct actions actions = actions_new();
		bool read = false;

		node_handle(node, &tick, (struct instant){ *now_us, *now_us }, &actions);
		for (guint i = 0; i < actions.list->len; i++)
			read |= g_array_index(actions.list, struct action, i).kind ==
				ACTION_READ_LOG;
		actions_clear(&actions);
		if (read)
			return *now_us - start_us;
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

/* Returns the longest wait of 20 seeds after the last of several failures, in microseconds. */
static int64_t longest_wait_after(enum log_failure failure, int failures)
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
 * In load scale-1 of argyris-cat all nodes start while the store does not answer. Nodes must retry
 * within a second however long the store was unavailable, so that they serve soon after it is back.
 */
static void test_unavailable_log_is_retried_within_900_ms(void **state)
{
	(void)state;
	assert_true(longest_wait_after(LOG_FAILURE_UNAVAILABLE, 8) <= 900 * US_PER_MS);
}

/* The retry delay must grow for a log that answers "too many requests". */
static void test_rate_limited_log_backs_off(void **state)
{
	(void)state;
	assert_true(longest_wait_after(LOG_FAILURE_LIMITED, 8) >= 4 * US_PER_S);
}

/* A reader whose records expired needs the newest files at once: callers already wait for a change.
 */
static void test_expired_records_do_not_delay_the_next_read(void **state)
{
	(void)state;
	assert_true(longest_wait_after(LOG_FAILURE_EXPIRED, 1) <= 200 * US_PER_MS);
}

/* Appends fail where two coordinators write the state of a move. That must not delay changes. */
static void test_failed_appends_do_not_delay_reads(void **state)
{
	struct node_options options = { .id = 1, .data_centre = LABEL("a"), .seed = 1 };
	struct event failed = { .kind = EVENT_APPEND_FAILED };
	int64_t now_us = US_PER_S;
	struct node *node = node_new(&options, (struct instant){ now_us, now_us }, NULL);

	(void)state;
	failed.append.stream = STREAM_SYSTEM;
	for (int i = 0; i < 6; i++) {
		struct actions actions = actions_new();

		node_handle(node, &failed, (struct instant){ now_us, now_us }, &actions);
		actions_clear(&actions);
	}
	assert_true(wait_for_read(node, &now_us) <= 200 * US_PER_MS);
	node_free(node);
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	const int64_t *x = a;
	const int64_t *y = b;

	return (*x > *y) - (*x < *y);
}

/*
 * On the large site 295 nodes start at once, ten seconds before the first call, and each read the
 * configuration from the store. One read has to do, and half a second later its result has spread:
 * hardly any other node may have read meanwhile, and the last one soon after.
 */
static void test_few_nodes_read_the_log_at_the_first_start(void **state)
{
	enum { NODES = 295, EARLY_MAX = 30 };
	int64_t times_us[NODES];
	int early = 0;

	(void)state;
	for (int i = 0; i < NODES; i++) {
		struct node_options options = { .id = (uint64_t)i + 1,
						.data_centre = LABEL("a"),
						.first_start = true };
		int64_t now_us = US_PER_S;
		struct node *node = node_new(&options, (struct instant){ now_us, now_us }, NULL);

		times_us[i] = wait_for_read(node, &now_us);
		node_free(node);
	}
	qsort(times_us, NODES, sizeof(times_us[0]), compare_times);
	for (int i = 0; i < NODES; i++)
		early += times_us[i] <= times_us[0] + 500 * US_PER_MS;
	if (early > EARLY_MAX)
		fail_msg("%d nodes read within half a second", early);
	assert_true(times_us[NODES - 1] <= 5 * US_PER_S);
}

static void handle(struct node *node, const struct event *event, int64_t now_us,
		   struct actions *actions)
{
	node_handle(node, event, (struct instant){ now_us, now_us }, actions);
}

static bool reads_changes(const struct actions *actions)
{
	for (guint i = 0; i < actions->list->len; i++) {
		const struct action *action = &g_array_index(actions->list, struct action, i);

		if (action->kind == ACTION_READ_LOG && action->read.stream == STREAM_CONFIG &&
		    !action->read.check)
			return true;
	}
	return false;
}

/* Gives a node some large files, so that a snapshot has several parts, of a log with @p newest
 * records. */
static void apply_large_files(struct node *node, int files, int64_t newest, int64_t now_us,
			      struct actions *actions)
{
	char *padding = g_strnfill(40 << 10, ' ');
	struct event batch = { .kind = EVENT_LOG_BATCH };
	struct log_record *records = g_new0(struct log_record, (gsize)files);

	for (int i = 0; i < files; i++) {
		char name[16];
		char *text = g_strdup_printf("{\"services\": {\"s%d\": {\"versions\": \"any\"}}}%s",
					     i, padding);

		g_snprintf(name, sizeof(name), "file-%d", i);
		records[i] = (struct log_record){ .kind = LOG_CHANGE, .offset = i + 1 };
		records[i].change =
			change_new(label_from(str_from_cstr(name)), label_from(str_from_cstr(name)),
				   0, str_from_cstr(text));
		parse_change(records[i].change);
		g_free(text);
	}
	batch.batch.stream = STREAM_CONFIG;
	batch.batch.records = records;
	batch.batch.count = files;
	batch.batch.newest = newest;
	handle(node, &batch, now_us, actions);
	for (int i = 0; i < files; i++)
		log_record_clear(&records[i]);
	g_free(records);
	g_free(padding);
}

/* Ticks until the node appends a snapshot; answers each part, the first one with a failure if
 * @p lose_first. Returns whether the node reports the snapshot as written. */
static bool append_snapshot(struct node *node, int64_t *now_us, bool lose_first)
{
	struct event tick = { .kind = EVENT_TICK };
	bool written = false;
	int parts = 0;

	for (int i = 0; i < 200 && parts == 0; i++) {
		struct actions actions = actions_new();

		*now_us += 100 * US_PER_MS;
		handle(node, &tick, *now_us, &actions);
		for (guint j = 0; j < actions.list->len; j++) {
			const struct action *action =
				&g_array_index(actions.list, struct action, j);
			struct event answer = { .kind = EVENT_APPENDED };
			struct actions results = actions_new();

			if (action->kind != ACTION_APPEND ||
			    action->append.record.kind != LOG_SNAPSHOT) {
				actions_clear(&results);
				continue;
			}
			if (parts++ == 0 && lose_first)
				answer.kind = EVENT_APPEND_FAILED;
			answer.append.stream = STREAM_SYSTEM;
			answer.append.tag = action->append.tag;
			handle(node, &answer, *now_us, &results);
			for (guint k = 0; k < results.list->len; k++) {
				const struct action *result =
					&g_array_index(results.list, struct action, k);

				written |= result->kind == ACTION_LOG_EVENT &&
					   result->log_event.event == LOG_EVENT_SNAPSHOT_WRITTEN;
			}
			actions_clear(&results);
		}
		actions_clear(&actions);
	}
	assert_true(parts > 1);
	return written;
}

/* A reader that got a part of what it lacks reads on at once; the delay that batches changes in
 * quick succession is for a reader at the end of the log. */
static void test_reader_that_is_behind_reads_on_at_once(void **state)
{
	struct node_options options = { .id = 1, .data_centre = LABEL("a"), .seed = 1 };
	struct event empty = { .kind = EVENT_LOG_BATCH };
	struct event tick = { .kind = EVENT_TICK };
	int64_t now_us = 4000 * US_PER_S;
	struct actions actions = actions_new();
	struct node *node = node_new(&options, (struct instant){ now_us, now_us }, NULL);

	(void)state;
	wait_for_read(node, &now_us);
	empty.batch.stream = STREAM_SYSTEM;
	handle(node, &empty, now_us, &actions);
	empty.batch.stream = STREAM_CONFIG;
	handle(node, &empty, now_us, &actions);
	assert_true(node_is_current(node));
	for (int i = 0; i < 12; i++) {
		now_us += 100 * US_PER_MS;
		handle(node, &tick, now_us, &actions);
	}
	actions_clear(&actions);
	actions = actions_new();
	apply_large_files(node, 2, 9, now_us, &actions);
	assert_true(reads_changes(&actions));
	actions_clear(&actions);
	node_free(node);
}

/* Records lapse after a snapshot was written: one that lacks a part would lose the files of that
 * part when the whole fleet restarts. */
static void test_snapshot_without_a_part_is_not_written(void **state)
{
	struct node_options options = { .id = 1, .data_centre = LABEL("a"), .seed = 1 };
	struct event empty = { .kind = EVENT_LOG_BATCH };
	int64_t now_us = 4000 * US_PER_S;
	struct actions actions = actions_new();
	struct node *node = node_new(&options, (struct instant){ now_us, now_us }, NULL);

	(void)state;
	wait_for_read(node, &now_us);
	empty.batch.stream = STREAM_SYSTEM;
	handle(node, &empty, now_us, &actions);
	apply_large_files(node, 4, 4, now_us, &actions);
	assert_true(node_is_current(node));
	assert_false(append_snapshot(node, &now_us, true));
	assert_true(append_snapshot(node, &now_us, false));
	actions_clear(&actions);
	node_free(node);
}

/* Gives a joining node the records of five live members and the digests of @p peers of them. */
static void introduce(struct node *node, int peers, int64_t now_us)
{
	struct event event = { .kind = EVENT_MESSAGE };
	struct message *members = message_new(MESSAGE_MEMBERS);
	struct actions actions = actions_new();

	members->members = g_array_new(FALSE, FALSE, sizeof(struct member));
	members->members_end = true;
	for (uint64_t id = 100; id < 105; id++) {
		struct member member = {
			.id = id, .incarnation = 1, .state = MEMBER_ALIVE, .data_centre = LABEL("a")
		};

		g_array_append_val(members->members, member);
	}
	event.message.from = 100;
	event.message.message = members;
	handle(node, &event, now_us, &actions);
	message_unref(members);
	for (uint64_t id = 100; id < 100 + (uint64_t)peers; id++) {
		event.message.from = id;
		event.message.message = message_new(MESSAGE_ACK);
		event.message.message->probe.members =
			g_array_new(FALSE, FALSE, sizeof(struct member));
		event.message.message->probe.digest.current = true;
		event.message.message->probe.digest.confirmed_age_us = CONFIRMED_NEVER;
		handle(node, &event, now_us, &actions);
		message_unref(event.message.message);
	}
	actions_clear(&actions);
}

/* Ticks a node whose reads of the log fail until it is current; returns how long that took. */
static int64_t join_without_log_us(int peers)
{
	struct node_options options = { .id = 1, .data_centre = LABEL("a"), .seed = 1 };
	struct event tick = { .kind = EVENT_TICK };
	int64_t now_us = US_PER_S;
	struct node *node = node_new(&options, (struct instant){ now_us, now_us }, NULL);
	int64_t elapsed_us = 0;

	for (; !node_is_current(node) && elapsed_us < 10 * US_PER_S;
	     elapsed_us += 100 * US_PER_MS) {
		struct actions actions = actions_new();

		introduce(node, peers, now_us + elapsed_us);
		handle(node, &tick, now_us + elapsed_us, &actions);
		for (guint i = 0; i < actions.list->len; i++) {
			const struct action *action =
				&g_array_index(actions.list, struct action, i);
			struct event failed = { .kind = EVENT_LOG_FAILED };
			struct actions results = actions_new();

			failed.failed.stream = action->read.stream;
			failed.failed.failure = LOG_FAILURE_UNAVAILABLE;
			failed.failed.check = action->read.check;
			if (action->kind == ACTION_READ_LOG)
				handle(node, &failed, now_us + elapsed_us, &results);
			actions_clear(&results);
		}
		actions_clear(&actions);
	}
	node_free(node);
	return elapsed_us;
}

/* While the log is out nobody can confirm a version. One peer may be behind, so that a joining node
 * waits for several, and takes the only one that answers after twice the time. */
static void test_one_peer_is_not_enough_while_others_live(void **state)
{
	int64_t one_peer_us = join_without_log_us(1);

	(void)state;
	assert_true(join_without_log_us(3) <= 1700 * US_PER_MS);
	assert_true(one_peer_us >= 2900 * US_PER_MS && one_peer_us <= 3200 * US_PER_MS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_unavailable_log_is_retried_within_900_ms),
		cmocka_unit_test(test_few_nodes_read_the_log_at_the_first_start),
		cmocka_unit_test(test_rate_limited_log_backs_off),
		cmocka_unit_test(test_expired_records_do_not_delay_the_next_read),
		cmocka_unit_test(test_failed_appends_do_not_delay_reads),
		cmocka_unit_test(test_reader_that_is_behind_reads_on_at_once),
		cmocka_unit_test(test_snapshot_without_a_part_is_not_written),
		cmocka_unit_test(test_one_peer_is_not_enough_while_others_live),
	};

	apr_initialize();
	return cmocka_run_group_tests_name("core/boot", tests, NULL, NULL);
}
