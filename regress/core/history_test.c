/* Tests that the same records give the same results on all nodes, and no version decreases. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <string.h>

#include "base/rng.h"
#include "core/history.h"
#include "operator/parse.h"

#define GOOD  "{\"services\": {\"s\": {\"versions\": {\"v1\": {\"share\": 100}}}}}"
#define ROUTE "{\"routes\": [{\"name\": \"r\", \"path\": \"/\", \"service\": \"s\"}]}"

static apr_pool_t *pool;

static struct change *make_change(const char *id, const char *file, int64_t base,
				  const char *content)
{
	struct change *change =
		change_new(label_from(str_from_cstr(id)), label_from(str_from_cstr(file)), base,
			   str_from_cstr(content));

	parse_change(change);
	return change;
}

static struct apply_result apply(struct history *history, int64_t offset, const char *id,
				 const char *file, int64_t base, const char *content)
{
	struct change *change = make_change(id, file, base, content);
	struct apply_result result = history_apply(history, offset, change);

	change_unref(change);
	return result;
}

static const struct row {
	const char *description;
	int64_t offset;
	const char *id;
	const char *file;
	int64_t base;
	const char *content;
	enum apply_result_kind expected;
	const char *reason; /* substring of the reason */
} rows[] = {
	{ "a first file", 1, "a", "one", 0, GOOD, APPLY_ACCEPTED, "" },
	{ "the same change again", 2, "a", "one", 0, GOOD, APPLY_DUPLICATE, "already" },
	{ "a change for a new file that exists already", 3, "b", "one", 0, GOOD, APPLY_CONFLICT,
	  "is at version 1" },
	{ "a route to a declared service", 4, "c", "two", 0, ROUTE, APPLY_ACCEPTED, "" },
	{ "removing a service that a route names", 5, "d", "one", 1, "", APPLY_INVALID,
	  "two:1: routes.r: no service \"s\"" },
	{ "text that is not JSON", 6, "e", "three", 0, "{", APPLY_INVALID, "three:1:" },
	{ "a service declared in two files", 7, "f", "three", 0, GOOD, APPLY_INVALID,
	  "declared twice" },
	{ "the first of two changes with the same base", 8, "g", "one", 1, GOOD, APPLY_ACCEPTED,
	  "" },
	{ "the second of two changes with the same base", 9, "h", "one", 1, GOOD, APPLY_CONFLICT,
	  "is at version 8" },
	{ "an offset beyond the next", 11, "i", "four", 0, "{}", APPLY_OUT_OF_ORDER, "" },
	{ "an offset processed before", 4, "c", "two", 0, ROUTE, APPLY_OUT_OF_ORDER, "" },
	{ "a removed route", 10, "j", "two", 4, "", APPLY_ACCEPTED, "" },
	{ "a change for a new file where one was removed", 11, "k", "two", 0, ROUTE, APPLY_CONFLICT,
	  "is at version 10" },
	{ "a change based on the removal", 12, "l", "two", 10, ROUTE, APPLY_ACCEPTED, "" },
};

static void test_result_of_each_change(void **state)
{
	struct history *history = history_new(pool);

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		const struct row *row = &rows[i];
		struct apply_result result =
			apply(history, row->offset, row->id, row->file, row->base, row->content);

		if (result.kind != row->expected || !strstr(result.reason, row->reason))
			fail_msg("%s: got %.*s, \"%s\"", row->description,
				 STR_ARG(apply_result_name(result.kind)), result.reason);
	}
	assert_int_equal(history_version(history), 12);
	history_free(history);
}

static const char *const contents[] = { GOOD, ROUTE, "", "{", "{}" };

/* Nodes that get the same records late, out of order or twice must hold the same files. */
static void test_reordered_records_give_same_files(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 50; seed++) {
		struct rng rng = { seed };
		struct history *ordered = history_new(pool);
		struct history *reordered = history_new(pool);
		struct change *changes[30];
		struct config *a;
		struct config *b;

		for (int i = 0; i < 30; i++) {
			char id[16];

			g_snprintf(id, sizeof(id), "id%d", (int)rng_below(&rng, 20));
			changes[i] = make_change(id, rng_below(&rng, 2) ? "one" : "two",
						 (int64_t)rng_below(&rng, (uint64_t)i + 1),
						 contents[rng_below(&rng, G_N_ELEMENTS(contents))]);
			history_apply(ordered, i + 1, changes[i]);
		}
		while (history_version(reordered) < 30) {
			int64_t before = history_version(reordered);
			int i = (int)rng_below(&rng, 30);

			history_apply(reordered, i + 1, changes[i]);
			assert_true(history_version(reordered) >= before);
		}
		a = history_config(ordered);
		b = history_config(reordered);
		assert_int_equal(a->accepted, b->accepted);
		assert_int_equal(a->files->len, b->files->len);
		for (guint i = 0; i < a->files->len; i++) {
			const struct accepted_file *x = g_ptr_array_index(a->files, i);
			const struct accepted_file *y = g_ptr_array_index(b->files, i);

			assert_true(label_equal(&x->name, &y->name));
			assert_int_equal(x->version, y->version);
		}
		config_unref(a);
		config_unref(b);
		for (int i = 0; i < 30; i++)
			change_unref(changes[i]);
		history_free(ordered);
		history_free(reordered);
	}
}

static void test_older_snapshot_is_ignored(void **state)
{
	struct history *history = history_new(pool);
	struct change *change = make_change("a", "one", 0, GOOD);
	GPtrArray *files = g_ptr_array_new_with_free_func((GDestroyNotify)accepted_file_free);

	(void)state;
	for (int i = 1; i <= 5; i++)
		history_apply(history, i, change);
	g_ptr_array_add(files, accepted_file_new(LABEL("one"), 1, change));
	assert_false(history_import(history, files, 4, 1));
	assert_int_equal(history_version(history), 5);
	files = g_ptr_array_new_with_free_func((GDestroyNotify)accepted_file_free);
	g_ptr_array_add(files, accepted_file_new(LABEL("one"), 7, change));
	assert_true(history_import(history, files, 9, 7));
	assert_int_equal(history_version(history), 9);
	change_unref(change);
	history_free(history);
}

#define MOVE(finish)                                                                               \
	"{\"services\": {\"s\": {\"versions\": {\"v1\": {\"share\": 100}, \"v2\": {}}}},"          \
	"\"moves\": [{\"service\": \"s\", \"from\": \"v1\", \"to\": \"v2\","                       \
	"\"start\": \"2026-12-04T10:00:00Z\", \"finish\": \"" finish "\"}]}"

static uint64_t only_move_id(struct history *history)
{
	struct config *config = history_config(history);
	uint64_t id = g_array_index(config->moves, struct move_spec, 0).id;

	config_unref(config);
	return id;
}

/* A move that a new version of the file leaves unchanged must keep its id, and so its state. */
/* Imports a snapshot of one file at version 9; @p extra_ids are move ids beyond the file's moves.
 */
static bool import_file(struct history *history, const char *content, int extra_ids)
{
	GPtrArray *files = g_ptr_array_new_with_free_func((GDestroyNotify)accepted_file_free);
	struct change *change = make_change("z", "one", 0, content);
	struct accepted_file *file = accepted_file_new(LABEL("one"), 9, change);

	for (int i = 0; i < extra_ids; i++) {
		uint64_t id = 100 + (uint64_t)i;

		g_array_append_val(file->move_ids, id);
	}
	g_ptr_array_add(files, file);
	change_unref(change);
	return history_import(history, files, 9, 9);
}

/* A snapshot must be taken whole or not at all: without the file that can't be read its routes
 * would be gone, and ids without moves would be looked up beyond the file's moves. */
static void test_malformed_snapshot_is_refused(void **state)
{
	struct history *history = history_new(pool);
	struct config *config;

	(void)state;
	assert_int_equal(apply(history, 1, "a", "one", 0, GOOD).kind, APPLY_ACCEPTED);
	assert_false(import_file(history, "{\"services\": ", 0));
	assert_false(import_file(history, GOOD, 3));
	config = history_config(history);
	assert_int_equal(config->version, 1);
	assert_non_null(config_find_service(config, LABEL("s")));
	config_unref(config);
	assert_true(import_file(history, GOOD, 0));
	assert_int_equal(history_version(history), 9);
	history_free(history);
}

static void test_unchanged_move_keeps_id(void **state)
{
	struct history *history = history_new(pool);
	uint64_t first;

	(void)state;
	apply(history, 1, "a", "one", 0, MOVE("2026-12-04T11:00:00Z"));
	first = only_move_id(history);
	assert_int_equal(first, 1 * MOVES_PER_FILE);
	apply(history, 2, "b", "one", 1, MOVE("2026-12-04T11:00:00Z"));
	assert_int_equal(only_move_id(history), first);
	apply(history, 3, "c", "one", 2, MOVE("2026-12-04T12:00:00Z"));
	assert_int_equal(only_move_id(history), 3 * MOVES_PER_FILE);
	history_free(history);
}

/* Hundreds of editions of a large file, each with its parsed form, filled the memory of a small VM.
 */
static void test_replaced_editions_are_retained_as_text(void **state)
{
	struct history *history = history_new(pool);
	struct history_request request = { .held_version = 0 };
	struct change_record records[HISTORY_PULL_MAX];
	char content[200];
	int count;

	(void)state;
	for (int i = 1; i <= 5; i++) {
		g_snprintf(content, sizeof(content),
			   "{\"services\": {\"s%d\": {\"versions\": {\"v1\": {\"share\": 100}}}}}",
			   i);
		assert_int_equal(apply(history, i, content, "one", i - 1, content).kind,
				 APPLY_ACCEPTED);
	}
	count = history_records_since(history, &request, records);
	assert_int_equal(count, 5);
	for (int i = 0; i < count; i++) {
		assert_int_equal(records[i].offset, i + 1);
		assert_true(records[i].change->content.len > 0);
		assert_int_equal(records[i].change->parsed != NULL, i == count - 1);
		assert_null(records[i].change->parse_error);
		change_record_clear(&records[i]);
	}
	history_free(history);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_result_of_each_change),
		cmocka_unit_test(test_reordered_records_give_same_files),
		cmocka_unit_test(test_older_snapshot_is_ignored),
		cmocka_unit_test(test_malformed_snapshot_is_refused),
		cmocka_unit_test(test_unchanged_move_keeps_id),
		cmocka_unit_test(test_replaced_editions_are_retained_as_text),
	};

	apr_initialize();
	apr_pool_create(&pool, NULL);
	return cmocka_run_group_tests_name("core/history", tests, NULL, NULL);
}
