/* What a pull carries: large files as what has changed, over the wire, to peers in any state. */
#include "regress/lib/check.h"

#include <apr_general.h>

#include "base/rng.h"
#include "core/history.h"
#include "core/message.h"
#include "operator/parse.h"
#include "peer/codec.h"

/* A pull of one edition of a storm fits a datagram, however large the file is. */
enum { DATAGRAM_BYTES = 1200, ROUTES = 300 };

static apr_pool_t *pool;

/* A file as an operator's: @p serial and the timeout of one route change from edition to edition.
 */
static struct change *edition(int serial)
{
	struct strbuf text = { 0 };
	struct label id = { 0 };
	struct change *change;

	strbuf_addf(&text,
		    "{\"serial\":%d,\"services\":{\n\"s\":{\"versions\":\"any\"}},\"routes\":[",
		    serial);
	for (int i = 0; i < ROUTES; i++)
		strbuf_addf(&text,
			    "%s\n{\"name\":\"route-%d\",\"path\":\"/r%d/\",\"service\":\"s\","
			    "\"deadline_ms\":%d}",
			    i ? "," : "", i, i, i == serial * 7 % ROUTES ? 1000 + serial : 900);
	strbuf_addf(&text, "]}");
	id.len = (uint8_t)g_snprintf(id.data, sizeof(id.data), "edition-%d", serial);
	change = change_new(id, LABEL("config"), CHANGE_ANY_BASE, strbuf_str(&text));
	parse_change(change);
	strbuf_clear(&text);
	return change;
}

static void publish(struct history *history, int offset)
{
	struct change *change = edition(offset);

	assert_int_equal(history_offer(history, offset, change).kind, JUDGED_ACCEPTED);
	change_unref(change);
}

/* A pull of @p to from @p from over the wire; gives its bytes. */
static size_t pull_records(struct history *from, struct history *to, bool all_whole)
{
	struct message *message = message_new(MESSAGE_RECORDS);
	struct strbuf bytes = { 0 };
	struct message *arrived;
	size_t len;
	int whole;

	message->records.newest = history_version(from);
	message->records.records = g_new0(struct change_record, HISTORY_PULL_MAX);
	message->records.count =
		history_since(from, history_version(to), all_whole, message->records.records);
	assert_true(message->records.count >= 0);
	codec_encode(message, &bytes);
	message_unref(message);
	len = bytes.len;
	arrived = codec_decode(strbuf_str(&bytes));
	assert_non_null(arrived);
	whole = history_complete(to, arrived->records.records, arrived->records.count);
	for (int i = 0; i < whole; i++) {
		const struct change_record *record = &arrived->records.records[i];

		parse_change(record->change);
		history_offer(to, record->offset, record->change);
	}
	message_unref(arrived);
	strbuf_clear(&bytes);
	return len;
}

static size_t pull(struct history *from, struct history *to)
{
	return pull_records(from, to, false);
}

static void pass_over(struct history *history, int offset)
{
	struct change *change = change_superseded(LABEL("skipped"), LABEL("config"));

	history_offer(history, offset, change);
	change_unref(change);
}

static void assert_same(struct history *a, struct history *b)
{
	struct config *x = history_config(a);
	struct config *y = history_config(b);
	const struct accepted_file *left = config_find_file(x, LABEL("config"));
	const struct accepted_file *right = config_find_file(y, LABEL("config"));

	assert_int_equal(x->version, y->version);
	assert_int_equal(left->version, right->version);
	assert_true(str_equal(left->change->content, right->change->content));
	config_unref(x);
	config_unref(y);
}

static void test_an_edition_travels_as_what_has_changed(void **state)
{
	struct history *source = history_new(pool);
	struct history *peer = history_new(pool);

	(void)state;
	publish(source, 1);
	assert_true(pull(source, peer) > 10000);
	for (int offset = 2; offset <= 30; offset++) {
		publish(source, offset);
		/* A peer that missed a few editions gets the newest only. */
		if (offset % 4 == 0)
			continue;
		assert_true(pull(source, peer) <= DATAGRAM_BYTES);
		assert_same(source, peer);
	}
	history_free(source);
	history_free(peer);
}

/* The history of the platform's store is gone, so that a reader takes the newest records as a
 * snapshot. Its peers still get what has changed. */
static void test_a_snapshot_travels_as_what_has_changed(void **state)
{
	struct history *source = history_new(pool);
	struct history *peer = history_new(pool);
	GPtrArray *files = g_ptr_array_new_with_free_func((GDestroyNotify)accepted_file_free);
	struct change *newest = edition(9);

	(void)state;
	publish(source, 1);
	pull(source, peer);
	g_ptr_array_add(files, accepted_file_new(newest->file, 9, newest));
	assert_true(history_import(source, files, 11, 9));
	assert_true(pull(source, peer) <= DATAGRAM_BYTES);
	assert_same(source, peer);
	change_unref(newest);
	history_free(source);
	history_free(peer);
}

/* A delta for an edition that is not in force here is not taken, and nothing after it. */
static void test_a_delta_for_another_edition_is_not_taken(void **state)
{
	struct history *source = history_new(pool);
	struct change_record records[HISTORY_PULL_MAX] = { { 0 } };
	struct history *empty = history_new(pool);
	int count;

	(void)state;
	publish(source, 1);
	publish(source, 2);
	count = history_since(source, 1, false, records);
	assert_int_equal(count, 1);
	assert_non_null(records[0].delta);
	assert_int_equal(history_complete(empty, records, count), 0);
	change_record_clear(&records[0]);
	history_free(source);
	history_free(empty);
}

/* Readers of a storm skip different editions: what one tells as a change of the third, a peer that
 * has the third from another, and the second as well, still makes whole. One that has neither gets
 * the whole on its next pull. */
static void test_readers_that_skip_different_editions_serve_all(void **state)
{
	struct history *reader = history_new(pool);
	struct history *peer = history_new(pool);
	struct history *other = history_new(pool);

	(void)state;
	publish(reader, 1);
	publish(reader, 2);
	pass_over(reader, 3);
	publish(reader, 4);
	for (int offset = 1; offset <= 3; offset++)
		publish(peer, offset);
	assert_true(pull(reader, peer) <= DATAGRAM_BYTES);
	assert_same(reader, peer);
	publish(other, 1);
	pass_over(other, 2);
	publish(other, 3);
	/* The fourth edition is passed over for the fifth: without that one it is not taken either,
	 * or the node would claim a version that it does not hold. */
	publish(reader, 5);
	assert_true(pull(reader, other) <= DATAGRAM_BYTES);
	assert_int_equal(history_version(other), 3);
	assert_true(pull_records(reader, other, true) > DATAGRAM_BYTES);
	assert_same(reader, other);
	history_free(reader);
	history_free(peer);
	history_free(other);
}

static void random_text(struct rng *rng, struct strbuf *out)
{
	int lines = (int)rng_below(rng, 60);

	for (int i = 0; i < lines; i++)
		strbuf_addf(out, "line %d with some words\n", (int)rng_below(rng, 40));
	if (rng_below(rng, 2))
		strbuf_add(out, STR("no end"));
}

/* Whatever the two texts are: the new one comes back to the byte, or is sent as a whole. */
static void test_deltas_give_the_new_text_back(void **state)
{
	struct rng rng = { 11 };
	int made = 0;

	(void)state;
	for (int i = 0; i < 3000; i++) {
		struct strbuf old = { 0 };
		struct strbuf new = { 0 };
		struct strbuf back = { 0 };
		struct delta *delta;

		random_text(&rng, &old);
		random_text(&rng, &new);
		if (rng_below(&rng, 2))
			strbuf_add(&new, strbuf_str(&old));
		delta = delta_between(1, strbuf_str(&old), strbuf_str(&new));
		made += delta != NULL;
		if (delta) {
			assert_true(delta_apply(delta, strbuf_str(&old), &back));
			assert_true(str_equal(strbuf_str(&back), strbuf_str(&new)));
			assert_false(delta_apply(delta, STR("another text\n"), &back));
		}
		delta_unref(delta);
		strbuf_clear(&old);
		strbuf_clear(&new);
		strbuf_clear(&back);
	}
	assert_true(made > 500);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_an_edition_travels_as_what_has_changed),
		cmocka_unit_test(test_a_snapshot_travels_as_what_has_changed),
		cmocka_unit_test(test_a_delta_for_another_edition_is_not_taken),
		cmocka_unit_test(test_readers_that_skip_different_editions_serve_all),
		cmocka_unit_test(test_deltas_give_the_new_text_back),
	};

	apr_initialize();
	apr_pool_create(&pool, NULL);
	return cmocka_run_group_tests_name("peer/spread", tests, NULL, NULL);
}
