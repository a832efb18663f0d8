/*
 * The log that comes back from an older copy, as the table of configuration sees it: what is in
 * force must not be replaced by something older, and what is written again must come into force.
 */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <string.h>

#include "core/history.h"
#include "core/version.h"
#include "operator/parse.h"

#define S     "\"services\":{\"s\":{\"versions\":\"any\"}}"
#define ORDER "{\"moves\":[{\"service\":\"s\",\"to\":\"%s\",\"start\":\"%s\",\"finish\":\"%s\"}]}"

static apr_pool_t *pool;

/* Returns a configuration of a serial, with a route whose name tells the content. */
static char *config_text(int serial, const char *route)
{
	return g_strdup_printf("{\"serial\":%d," S ",\"routes\":[{\"name\":\"%s\",\"path\":\"/\","
			       "\"service\":\"s\"}]}",
			       serial, route);
}

/* Returns an order of ten seconds that was read at a second of the day. */
static char *order_text(const char *to, int read_at_s)
{
	char start[32];
	char finish[32];

	g_snprintf(start, sizeof(start), "2026-12-04T10:00:%02dZ", read_at_s);
	g_snprintf(finish, sizeof(finish), "2026-12-04T10:00:%02dZ", read_at_s + 10);
	return g_strdup_printf(ORDER, to, start, finish);
}

static struct change *make_change(int64_t version, const char *file, char *text)
{
	char id[32];
	struct change *change;

	g_snprintf(id, sizeof(id), "operator-%ld", version);
	change = change_new(label_from(str_from_cstr(id)), label_from(str_from_cstr(file)),
			    CHANGE_ANY_BASE, str_from_cstr(text));
	parse_change(change);
	g_free(text);
	return change;
}

static enum apply_result_kind apply(struct history *history, int64_t version, const char *file,
				    char *text)
{
	struct change *change = make_change(version, file, text);
	struct apply_result result = history_apply(history, version, change);

	change_unref(change);
	return result.kind;
}

static GPtrArray *snapshot_new(void)
{
	return g_ptr_array_new_with_free_func((GDestroyNotify)accepted_file_free);
}

/* Adds a file as the adapter makes it: an order has a move of its own. */
static void snapshot_add(GPtrArray *files, int64_t version, const char *name, char *text)
{
	struct change *change = make_change(version, name, text);
	struct accepted_file *file = accepted_file_new(change->file, version, change);

	for (guint i = 0; i < change->parsed->moves->len; i++) {
		uint64_t id = (uint64_t)version * MOVES_PER_FILE + i;

		g_array_append_val(file->move_ids, id);
	}
	g_ptr_array_add(files, file);
	change_unref(change);
}

static struct move_spec only_move(struct history *history)
{
	struct config *config = history_config(history);
	struct move_spec move;

	assert_int_equal(config->moves->len, 1);
	move = g_array_index(config->moves, struct move_spec, 0);
	config_unref(config);
	return move;
}

static bool has_route(struct history *history, const char *route)
{
	struct config *config = history_config(history);
	bool found = config_find_route(config, label_from(str_from_cstr(route))) != NULL;

	config_unref(config);
	return found;
}

static void test_versions_of_a_later_era_are_greater(void **state)
{
	(void)state;
	assert_int_equal(version_make(0, 17), 17);
	assert_true(version_make(1, 0) > version_make(0, 1 << 30));
	assert_int_equal(version_era(version_make(VERSION_ERA_MAX, 9)), VERSION_ERA_MAX);
	assert_int_equal(version_position(version_make(VERSION_ERA_MAX, 9)), 9);
	/* Ids of moves are shown as signed numbers. */
	assert_true((int64_t)((uint64_t)version_make(VERSION_ERA_MAX, 9) * MOVES_PER_FILE) > 0);
}

/* An older document in the copy replaced the newer one in force. */
static void test_document_in_force_is_not_replaced_by_an_older_one(void **state)
{
	struct history *history = history_new(pool);
	GPtrArray *files = snapshot_new();
	struct config *config;

	(void)state;
	assert_int_equal(apply(history, 1, "config", config_text(5, "old")), APPLY_ACCEPTED);
	assert_int_equal(apply(history, 2, "config", config_text(6, "new")), APPLY_ACCEPTED);
	snapshot_add(files, version_make(1, 1), "config", config_text(5, "old"));
	assert_true(history_import(history, files, version_make(1, 1), version_make(1, 1)));
	assert_int_equal(history_version(history), version_make(1, 1));
	assert_true(has_route(history, "new"));
	assert_false(has_route(history, "old"));
	/* What the operator writes again is taken, and what is newer. */
	assert_int_equal(apply(history, version_make(1, 2), "config", config_text(5, "old")),
			 APPLY_CONFLICT);
	assert_int_equal(apply(history, version_make(1, 3), "config", config_text(6, "again")),
			 APPLY_ACCEPTED);
	assert_true(has_route(history, "again"));
	assert_int_equal(apply(history, version_make(1, 4), "config", config_text(6, "third")),
			 APPLY_CONFLICT);
	assert_int_equal(apply(history, version_make(1, 5), "config", config_text(7, "next")),
			 APPLY_ACCEPTED);
	config = history_config(history);
	assert_int_equal(config->accepted, version_make(1, 5));
	config_unref(config);
	history_free(history);
}

/* The first configuration was lost: the node had none, and answered 503 until it was written again.
 */
static void test_document_that_the_copy_lacks_stays(void **state)
{
	struct history *history = history_new(pool);
	struct config *config;

	(void)state;
	apply(history, 1, "config", config_text(5, "new"));
	apply(history, 2, "rollout/s", order_text("v2", 5));
	assert_true(history_import(history, snapshot_new(), version_make(1, 0), 0));
	assert_true(has_route(history, "new"));
	assert_int_equal(only_move(history).id, 2 * MOVES_PER_FILE);
	config = history_config(history);
	assert_int_equal(config->accepted, 2);
	config_unref(config);
	history_free(history);
}

/* A newer document of the same era that lacks a file means that the file is gone. */
static void test_newer_snapshot_of_the_same_era_removes_files(void **state)
{
	struct history *history = history_new(pool);
	GPtrArray *files = snapshot_new();

	(void)state;
	apply(history, 1, "config", config_text(5, "new"));
	apply(history, 2, "rollout/s", order_text("v2", 5));
	snapshot_add(files, 3, "config", config_text(6, "next"));
	assert_true(history_import(history, files, 400, 3));
	assert_true(has_route(history, "next"));
	assert_false(has_route(history, "new"));
	history_free(history);
}

/** What the log lists of the service's order after a rollback, and which move is then in force. */
static const struct order_case {
	const char *name;
	int copy_position; /* of the order in the copy; 0: the copy has none */
	const char *copy_to;
	int again_position; /* of an order that is read afterwards; 0: none */
	const char *again_to;
	const char *to;
	bool same_move; /* the one that was in force, with its times */
} order_cases[] = {
	{ "the copy has the order", 3, "v3", 0, NULL, "v3", true },
	{ "the copy has the one before", 2, "v2", 0, NULL, "v3", true },
	{ "lost, written again at its offset", 2, "v2", 3, "v3", "v3", true },
	{ "lost, written again at a higher offset", 2, "v2", 9, "v3", "v3", true },
	{ "lost, listed again at a lower offset", 1, "v3", 0, NULL, "v3", true },
	{ "lost, and another one written at its offset", 2, "v2", 3, "v4", "v4", false },
	{ "lost, and another one listed at its offset", 3, "v4", 0, NULL, "v4", false },
	{ "lost, and another one listed at a lower offset", 1, "v4", 0, NULL, "v4", false },
	{ "lost, and another one listed at a higher offset", 7, "v4", 0, NULL, "v4", false },
	{ "in the copy, and ordered again", 3, "v3", 9, "v3", "v3", false },
	{ "in the copy, and another one ordered", 3, "v3", 9, "v4", "v4", false },
};

static void test_order_in_force_after_a_rollback(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(order_cases); i++) {
		const struct order_case *row = &order_cases[i];
		struct history *history = history_new(pool);
		GPtrArray *files = snapshot_new();
		int64_t end = version_make(1, MAX(row->copy_position, row->again_position - 1));
		struct move_spec before;
		struct move_spec move;

		apply(history, 1, "config", config_text(5, "new"));
		apply(history, 2, "rollout/s", order_text("v2", 1));
		apply(history, 3, "rollout/s", order_text("v3", 2));
		before = only_move(history);
		snapshot_add(files, version_make(1, 1), "config", config_text(5, "new"));
		snapshot_add(files, version_make(1, row->copy_position), "rollout/s",
			     order_text(row->copy_to, 30));
		assert_true(history_import(history, files, end, end));
		if (row->again_position &&
		    apply(history, version_make(1, row->again_position), "rollout/s",
			  order_text(row->again_to, 40)) != APPLY_ACCEPTED)
			fail_msg("%s: rejected", row->name);
		move = only_move(history);
		if (!label_is(&move.to, str_from_cstr(row->to)))
			fail_msg("%s: to %.*s", row->name, STR_ARG(label_str(&move.to)));
		if ((move.id == before.id) != row->same_move ||
		    (move.start_at_us == before.start_at_us) != row->same_move)
			fail_msg("%s: move %lu, it was %lu", row->name, move.id, before.id);
		history_free(history);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_versions_of_a_later_era_are_greater),
		cmocka_unit_test(test_document_in_force_is_not_replaced_by_an_older_one),
		cmocka_unit_test(test_document_that_the_copy_lacks_stays),
		cmocka_unit_test(test_newer_snapshot_of_the_same_era_removes_files),
		cmocka_unit_test(test_order_in_force_after_a_rollback),
	};

	apr_initialize();
	apr_pool_create(&pool, NULL);
	return cmocka_run_group_tests_name("core/rollback", tests, NULL, NULL);
}
