/* Pulls of changes between peers: large files are sent as deltas, whatever the receiver holds. */
#include "regress/lib/check.h"

#include <apr_general.h>

#include "base/rng.h"
#include "core/history.h"
#include "core/message.h"
#include "operator/parse.h"
#include "peer/codec.h"
#include "platform/document.h"

/* A pull of one edition must fit a datagram, however large the file is. */
enum { DATAGRAM_BYTES = 1200, ROUTES = 300 };

static apr_pool_t *pool;

/* Makes a change of a large file; the serial and the deadline of one route vary by edition. */
static struct change *new_edition(int serial)
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
	struct change *change = new_edition(offset);

	assert_int_equal(history_apply(history, offset, change).kind, APPLY_ACCEPTED);
	change_unref(change);
}

/* Pulls from @p from to @p to by encoded records; returns the number of encoded bytes. */
static size_t pull_records(struct history *from, struct history *to, bool full_content, bool packed)
{
	struct message *message = message_new(MESSAGE_RECORDS);
	struct strbuf bytes = { 0 };
	struct message *received;
	size_t len;
	int completed;

	message->records.newest = history_version(from);
	message->records.records = g_new0(struct change_record, HISTORY_PULL_MAX);
	message->records.packed = packed;
	message->records.count = history_records_since(
		from, &(struct history_request){ history_version(to), full_content, packed },
		message->records.records);
	assert_true(message->records.count >= 0);
	codec_encode(message, &bytes);
	message_unref(message);
	len = bytes.len;
	received = codec_decode(strbuf_str(&bytes));
	assert_non_null(received);
	completed = history_expand_deltas(to, received->records.records, received->records.count);
	for (int i = 0; i < completed; i++) {
		const struct change_record *record = &received->records.records[i];

		parse_change(record->change);
		history_apply(to, record->offset, record->change);
	}
	message_unref(received);
	strbuf_clear(&bytes);
	return len;
}

static size_t pull(struct history *from, struct history *to)
{
	return pull_records(from, to, false, false);
}

static void apply_superseded(struct history *history, int offset)
{
	struct change *change = change_superseded(LABEL("skipped"), LABEL("config"));

	history_apply(history, offset, change);
	change_unref(change);
}

static void assert_same(struct history *a, struct history *b)
{
	struct config *config_a = history_config(a);
	struct config *config_b = history_config(b);
	const struct accepted_file *file_a = config_find_file(config_a, LABEL("config"));
	const struct accepted_file *file_b = config_find_file(config_b, LABEL("config"));

	assert_int_equal(config_a->version, config_b->version);
	assert_int_equal(file_a->version, file_b->version);
	assert_true(str_equal(file_a->change->content, file_b->change->content));
	config_unref(config_a);
	config_unref(config_b);
}

static void test_new_edition_is_sent_as_delta(void **state)
{
	struct history *source = history_new(pool);
	struct history *peer = history_new(pool);

	(void)state;
	publish(source, 1);
	assert_true(pull(source, peer) > 10000);
	for (int offset = 2; offset <= 30; offset++) {
		publish(source, offset);
		/* The peer misses some editions and then gets only the newest. */
		if (offset % 4 == 0)
			continue;
		assert_true(pull(source, peer) <= DATAGRAM_BYTES);
		assert_same(source, peer);
	}
	history_free(source);
	history_free(peer);
}

/* A reader that imported the newest files as a snapshot, because the platform's log no longer holds
 * the history, must still send deltas. */
static void test_imported_snapshot_is_sent_as_delta(void **state)
{
	struct history *source = history_new(pool);
	struct history *peer = history_new(pool);
	GPtrArray *files = g_ptr_array_new_with_free_func((GDestroyNotify)accepted_file_free);
	struct change *newest = new_edition(9);

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

/* A delta whose base edition the receiver lacks is not applied, nor are the records after it. */
static void test_delta_without_its_base_is_not_applied(void **state)
{
	struct history *source = history_new(pool);
	struct change_record records[HISTORY_PULL_MAX] = { { 0 } };
	struct history *empty = history_new(pool);
	int count;

	(void)state;
	publish(source, 1);
	publish(source, 2);
	count = history_records_since(source, &(struct history_request){ .held_version = 1 },
				      records);
	assert_int_equal(count, 1);
	assert_non_null(records[0].delta);
	assert_int_equal(history_expand_deltas(empty, records, count), 0);
	change_record_clear(&records[0]);
	history_free(source);
	history_free(empty);
}

/* Readers skip different editions while many are published. A peer that got another edition from
 * another reader must still complete a delta if it holds the delta's base. A peer without the base
 * gets the full content on its next pull. */
static void test_reader_that_skipped_editions_serves_all_peers(void **state)
{
	struct history *reader = history_new(pool);
	struct history *peer = history_new(pool);
	struct history *other = history_new(pool);

	(void)state;
	publish(reader, 1);
	publish(reader, 2);
	apply_superseded(reader, 3);
	publish(reader, 4);
	for (int offset = 1; offset <= 3; offset++)
		publish(peer, offset);
	assert_true(pull(reader, peer) <= DATAGRAM_BYTES);
	assert_same(reader, peer);
	publish(other, 1);
	apply_superseded(other, 2);
	publish(other, 3);
	/* The fifth edition supersedes the fourth. A peer that can't complete the fifth must not
	 * apply the superseded fourth either, or it would claim a version that it does not hold. */
	publish(reader, 5);
	assert_true(pull(reader, other) <= DATAGRAM_BYTES);
	assert_int_equal(history_version(other), 3);
	assert_true(pull_records(reader, other, true, false) > DATAGRAM_BYTES);
	assert_same(reader, other);
	history_free(reader);
	history_free(peer);
	history_free(other);
}

/* A document that the reader of the log rejects must not take effect on a peer that pulls it, even
 * if its text happens to be a valid file of the product's own: "{}" would remove all routes. */
static void test_invalid_document_is_rejected_by_peers_too(void **state)
{
	static const char *const documents[] = { "{}", "{\"services\":{}}", "{\"routes\":[]",
						 "[1]" };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(documents); i++) {
		struct history *reader = history_new(pool);
		struct history *peer = history_new(pool);
		struct change *invalid;
		struct apply_result result;

		publish(reader, 1);
		pull(reader, peer);
		invalid = document_decode_change(STR("config"), str_from_cstr(documents[i]), 2,
						 (struct instant){ 0 });
		assert_non_null(invalid);
		assert_int_equal(history_apply(reader, 2, invalid).kind, APPLY_INVALID);
		pull(reader, peer);
		assert_same(reader, peer);
		assert_int_equal(history_version(peer), 2);
		assert_true(history_find_result(peer, invalid->id, &result));
		assert_int_equal(result.kind, APPLY_INVALID);
		assert_string_equal(result.reason, invalid->parse_error);
		change_unref(invalid);
		history_free(reader);
		history_free(peer);
	}
}

/* On a link of 11 Mbit/s ten peers that pull a new file at once must have it in a fraction of a
 * second; nodes pass on what they received. */
static void test_new_file_is_sent_compressed(void **state)
{
	enum { PLAIN_TO_COMPRESSED_MIN = 5 };
	struct history *source = history_new(pool);
	struct history *first = history_new(pool);
	struct history *second = history_new(pool);
	struct history *older_build = history_new(pool);
	struct change *edition = new_edition(1);
	size_t bytes;

	(void)state;
	publish(source, 1);
	bytes = pull_records(source, first, false, true);
	assert_true(bytes * PLAIN_TO_COMPRESSED_MIN < edition->content.len);
	assert_same(source, first);
	assert_int_equal(pull_records(first, second, false, true), bytes);
	assert_same(source, second);
	/* An earlier build does not ask for compression and gets the plain text. */
	assert_true(pull(first, older_build) > edition->content.len);
	assert_same(source, older_build);
	change_unref(edition);
	history_free(source);
	history_free(first);
	history_free(second);
	history_free(older_build);
}

static void random_text(struct rng *rng, struct strbuf *out)
{
	int lines = (int)rng_below(rng, 60);

	for (int i = 0; i < lines; i++)
		strbuf_addf(out, "line %d with some words\n", (int)rng_below(rng, 40));
	if (rng_below(rng, 2))
		strbuf_add(out, STR("no end"));
}

/* For any two texts a delta gives back the new one byte by byte, or there is no delta. */
static void test_delta_restores_the_new_text(void **state)
{
	struct rng rng = { 11 };
	int deltas = 0;

	(void)state;
	for (int i = 0; i < 3000; i++) {
		struct strbuf old = { 0 };
		struct strbuf new = { 0 };
		struct strbuf applied = { 0 };
		struct delta *delta;

		random_text(&rng, &old);
		random_text(&rng, &new);
		if (rng_below(&rng, 2))
			strbuf_add(&new, strbuf_str(&old));
		delta = delta_between(1, strbuf_str(&old), strbuf_str(&new));
		deltas += delta != NULL;
		if (delta) {
			assert_true(delta_apply(delta, strbuf_str(&old), &applied));
			assert_true(str_equal(strbuf_str(&applied), strbuf_str(&new)));
			assert_false(delta_apply(delta, STR("another text\n"), &applied));
		}
		delta_unref(delta);
		strbuf_clear(&old);
		strbuf_clear(&new);
		strbuf_clear(&applied);
	}
	assert_true(deltas > 500);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_new_edition_is_sent_as_delta),
		cmocka_unit_test(test_imported_snapshot_is_sent_as_delta),
		cmocka_unit_test(test_delta_without_its_base_is_not_applied),
		cmocka_unit_test(test_reader_that_skipped_editions_serves_all_peers),
		cmocka_unit_test(test_invalid_document_is_rejected_by_peers_too),
		cmocka_unit_test(test_new_file_is_sent_compressed),
		cmocka_unit_test(test_delta_restores_the_new_text),
	};

	apr_initialize();
	apr_pool_create(&pool, NULL);
	return cmocka_run_group_tests_name("peer/spread", tests, NULL, NULL);
}
