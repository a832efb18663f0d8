/* Acceptance: the same records give the same judgements, and nothing goes back. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <string.h>

#include "base/rng.h"
#include "core/history.h"
#include "operator/parse.h"

#define GOOD  "{\"services\": {\"s\": {\"versions\": {\"v1\": {\"share\": 100}}}}}"
#define ROUTE "{\"routes\": [{\"name\": \"r\", \"path\": \"/\", \"service\": \"s\"}]}"

static apr_pool_t *pool;

static struct change *make(const char *id, const char *file, int64_t base, const char *content)
{
	struct change *change =
		change_new(label_from(str_from_cstr(id)), label_from(str_from_cstr(file)), base,
			   str_from_cstr(content));

	parse_change(change);
	return change;
}

static struct judgement offer(struct history *history, int64_t offset, const char *id,
			      const char *file, int64_t base, const char *content)
{
	struct change *change = make(id, file, base, content);
	struct judgement judgement = history_offer(history, offset, change);

	change_unref(change);
	return judgement;
}

static const struct row {
	const char *what;
	int64_t offset;
	const char *id;
	const char *file;
	int64_t base;
	const char *content;
	enum judgement_kind expected;
	const char *reason; /* a part of it */
} rows[] = {
	{ "a first file", 1, "a", "one", 0, GOOD, JUDGED_ACCEPTED, "" },
	{ "the same change again", 2, "a", "one", 0, GOOD, JUDGED_DUPLICATE, "already" },
	{ "an operator who saw no file loses", 3, "b", "one", 0, GOOD, JUDGED_CONFLICT,
	  "is at version 1" },
	{ "a route to a declared service", 4, "c", "two", 0, ROUTE, JUDGED_ACCEPTED, "" },
	{ "removing a service that a route names", 5, "d", "one", 1, "", JUDGED_INVALID,
	  "two:1: routes.r: no service \"s\"" },
	{ "text that is no JSON", 6, "e", "three", 0, "{", JUDGED_INVALID, "three:1:" },
	{ "a service declared in two files", 7, "f", "three", 0, GOOD, JUDGED_INVALID,
	  "declared twice" },
	{ "the second of two racing operators", 8, "g", "one", 1, GOOD, JUDGED_ACCEPTED, "" },
	{ "and the one that came after it", 9, "h", "one", 1, GOOD, JUDGED_CONFLICT,
	  "is at version 8" },
	{ "an offset beyond the next", 11, "i", "four", 0, "{}", JUDGED_OUT_OF_ORDER, "" },
	{ "an offset seen before", 4, "c", "two", 0, ROUTE, JUDGED_OUT_OF_ORDER, "" },
	{ "a removed route", 10, "j", "two", 4, "", JUDGED_ACCEPTED, "" },
	{ "a removed file can't be made as if new", 11, "k", "two", 0, ROUTE, JUDGED_CONFLICT,
	  "is at version 10" },
	{ "but built on its removal", 12, "l", "two", 10, ROUTE, JUDGED_ACCEPTED, "" },
};

static void test_judgements(void **state)
{
	struct history *history = history_new(pool);

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		const struct row *row = &rows[i];
		struct judgement judgement =
			offer(history, row->offset, row->id, row->file, row->base, row->content);

		if (judgement.kind != row->expected || !strstr(judgement.reason, row->reason))
			fail_msg("%s: got %.*s, \"%s\"", row->what,
				 STR_ARG(judgement_name(judgement.kind)), judgement.reason);
	}
	assert_int_equal(history_version(history), 12);
	history_free(history);
}

static const char *const contents[] = { GOOD, ROUTE, "", "{", "{}" };

/* Two nodes that get the same records crossed, doubled and late agree on everything. */
static void test_any_order_gives_the_same(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 50; seed++) {
		struct rng rng = { seed };
		struct history *straight = history_new(pool);
		struct history *crossed = history_new(pool);
		struct change *changes[30];
		struct config *a;
		struct config *b;

		for (int i = 0; i < 30; i++) {
			char id[16];

			g_snprintf(id, sizeof(id), "id%d", (int)rng_below(&rng, 20));
			changes[i] = make(id, rng_below(&rng, 2) ? "one" : "two",
					  (int64_t)rng_below(&rng, (uint64_t)i + 1),
					  contents[rng_below(&rng, G_N_ELEMENTS(contents))]);
			history_offer(straight, i + 1, changes[i]);
		}
		while (history_version(crossed) < 30) {
			int64_t before = history_version(crossed);
			int i = (int)rng_below(&rng, 30);

			history_offer(crossed, i + 1, changes[i]);
			assert_true(history_version(crossed) >= before);
		}
		a = history_config(straight);
		b = history_config(crossed);
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
		history_free(straight);
		history_free(crossed);
	}
}

static void test_snapshot_never_goes_back(void **state)
{
	struct history *history = history_new(pool);
	struct change *change = make("a", "one", 0, GOOD);
	GPtrArray *files = g_ptr_array_new_with_free_func((GDestroyNotify)accepted_file_free);

	(void)state;
	for (int i = 1; i <= 5; i++)
		history_offer(history, i, change);
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

static uint64_t only_move(struct history *history)
{
	struct config *config = history_config(history);
	uint64_t id = g_array_index(config->moves, struct move_spec, 0).id;

	config_unref(config);
	return id;
}

/* A move that stands unchanged in a new file version keeps its name, and so its state. */
static void test_move_keeps_its_name(void **state)
{
	struct history *history = history_new(pool);
	uint64_t first;

	(void)state;
	offer(history, 1, "a", "one", 0, MOVE("2026-12-04T11:00:00Z"));
	first = only_move(history);
	assert_int_equal(first, 1 * MOVES_PER_FILE);
	offer(history, 2, "b", "one", 1, MOVE("2026-12-04T11:00:00Z"));
	assert_int_equal(only_move(history), first);
	offer(history, 3, "c", "one", 2, MOVE("2026-12-04T12:00:00Z"));
	assert_int_equal(only_move(history), 3 * MOVES_PER_FILE);
	history_free(history);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_judgements),
		cmocka_unit_test(test_any_order_gives_the_same),
		cmocka_unit_test(test_snapshot_never_goes_back),
		cmocka_unit_test(test_move_keeps_its_name),
	};

	apr_initialize();
	apr_pool_create(&pool, NULL);
	return cmocka_run_group_tests_name("core/history", tests, NULL, NULL);
}
