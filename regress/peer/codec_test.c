/* Frames, messages and log records survive encoding and decoding; damaged ones cause no crash. */
#include "regress/lib/check.h"

#include <string.h>

#include "base/rng.h"
#include "operator/parse.h"
#include "peer/codec.h"
#include "peer/wire.h"
#include "platform/record.h"

static struct label random_label(struct rng *rng)
{
	char text[LABEL_MAX_BYTES];
	size_t len = rng_below(rng, LABEL_MAX_BYTES + 1);

	for (size_t i = 0; i < len; i++)
		text[i] = (char)rng_below(rng, 256);
	return label_from((struct str){ text, len });
}

static GArray *random_members(struct rng *rng)
{
	GArray *members = g_array_new(FALSE, TRUE, sizeof(struct member));
	guint count = (guint)rng_below(rng, 4);

	for (guint i = 0; i < count; i++) {
		struct member member = { .id = 1 + rng_below(rng, 1000),
					 .incarnation = rng_next(rng),
					 .state = rng_below(rng, MEMBER_DEAD + 1),
					 .slots = (uint16_t)rng_below(rng, 100),
					 .data_centre = random_label(rng),
					 .service = random_label(rng),
					 .version = random_label(rng) };

		g_array_append_val(members, member);
	}
	return members;
}

static struct move_state random_state(struct rng *rng)
{
	return (struct move_state){ .id = rng_next(rng),
				    .step = (uint8_t)rng_below(rng, MOVE_STEPS + 1),
				    .done_at_us = (int64_t)rng_below(rng, 1ULL << 60),
				    .withdrawn_at_us = (int64_t)rng_below(rng, 1ULL << 60),
				    .reason = rng_below(rng, WITHDRAW_LATENCY + 1),
				    .route = random_label(rng),
				    .recheck_at_us = (int64_t)rng_below(rng, 1ULL << 60) };
}

static GArray *random_states(struct rng *rng)
{
	GArray *states = g_array_new(FALSE, TRUE, sizeof(struct move_state));

	for (uint64_t i = rng_below(rng, 4); i > 0; i--) {
		struct move_state state = random_state(rng);

		g_array_append_val(states, state);
	}
	return states;
}

static struct change *random_change(struct rng *rng)
{
	struct label text = random_label(rng);

	return change_new(random_label(rng), random_label(rng), (int64_t)rng_below(rng, 1000),
			  label_str(&text));
}

static struct delta *random_delta(struct rng *rng)
{
	GArray *segments = delta_new_segments();
	struct label text = random_label(rng);
	struct delta_segment copy = { SEGMENT_COPY, { .copy = { rng_below(rng, 100), 5 } } };
	struct delta_segment inserted = { SEGMENT_TEXT, { .text = str_dup(label_str(&text)) } };

	/* Half of the deltas are long enough to be compressed. */
	for (uint64_t i = 60 * rng_below(rng, 2); i > 0; i--)
		g_array_append_val(segments, copy);
	g_array_append_val(segments, copy);
	g_array_append_val(segments, inserted);
	return delta_new((int64_t)rng_below(rng, 100), rng_next(rng), segments);
}

static void fill_snapshot(struct rng *rng, struct snapshot_part *part)
{
	part->version = (int64_t)rng_below(rng, 1000);
	part->accepted = part->version;
	part->count = 1;
	part->files = g_ptr_array_new_with_free_func((GDestroyNotify)accepted_file_free);
	part->states = random_states(rng);
	for (uint64_t i = rng_below(rng, 3); i > 0; i--) {
		struct change *change = random_change(rng);
		struct accepted_file *file = accepted_file_new(change->file, 3, change);
		uint64_t id = rng_next(rng);

		g_array_append_val(file->move_ids, id);
		g_ptr_array_add(part->files, file);
		change_unref(change);
	}
}

static GArray *random_windows(struct rng *rng)
{
	GArray *windows = g_array_new(FALSE, TRUE, sizeof(struct evidence_window));

	for (uint64_t i = rng_below(rng, 3); i > 0; i--) {
		struct evidence_window window = { .route = random_label(rng), .calls = 7 };

		window.latency[rng_below(rng, HIST_BUCKETS)] = (uint16_t)rng_below(rng, 65536);
		g_array_append_val(windows, window);
	}
	return windows;
}

static void fill_records(struct rng *rng, struct message *message)
{
	message->records.count = 2;
	message->records.records = g_new0(struct change_record, 2);
	for (int i = 0; i < 2; i++)
		message->records.records[i].change = random_change(rng);
	/* A record with a delta is sent without its content. */
	change_unref(message->records.records[1].change);
	message->records.records[1].change =
		change_superseded(random_label(rng), random_label(rng));
	message->records.records[1].delta = random_delta(rng);
	message->records.packed = rng_below(rng, 2);
}

static uint64_t *random_buckets(struct rng *rng)
{
	uint64_t *buckets = g_new0(uint64_t, MEMBER_BUCKETS);

	buckets[3] = rng_next(rng);
	return buckets;
}

static GArray *random_marks(struct rng *rng)
{
	GArray *marks = g_array_new(FALSE, FALSE, sizeof(struct poison_mark));

	for (uint64_t i = rng_below(rng, 3); i > 0; i--) {
		struct poison_mark mark = { .fingerprint = rng_next(rng),
					    .crash = rng_next(rng),
					    .remaining_us = (int64_t)rng_below(rng, 1000) };

		g_array_append_val(marks, mark);
	}
	return marks;
}

static void fill_call_message(struct rng *rng, struct message *message)
{
	switch (message->kind) {
	case MESSAGE_POISON:
		message->poison.fingerprint = rng_next(rng);
		message->poison.remaining_us = (int64_t)rng_below(rng, 1000) - 1;
		return;
	case MESSAGE_MARKS_ASK:
		message->mark_buckets[rng_below(rng, MARK_BUCKETS)] = rng_next(rng);
		return;
	case MESSAGE_MARKS:
		message->marks = random_marks(rng);
		message->marks_end = rng_below(rng, 2);
		return;
	case MESSAGE_CENSUS_ASK:
	case MESSAGE_CENSUS:
		message->census.seq = rng_next(rng);
		return;
	case MESSAGE_CLAIM_ASK:
		message->claim_ask.key.low = rng_next(rng);
		return;
	case MESSAGE_CLAIM_ANSWER:
		message->claim_answer.status = 200;
		return;
	case MESSAGE_CLAIM_END:
		message->claim_end.claim = rng_next(rng);
		return;
	case MESSAGE_CLAIM_ENDED:
		message->claim_ended = rng_next(rng);
		return;
	case MESSAGE_CONFIRM_ASK:
	case MESSAGE_CONFIRM:
		message->confirm.seq = rng_next(rng);
		message->confirm.version = (int64_t)rng_below(rng, 1000);
		message->confirm.age_us = (int64_t)rng_below(rng, 1000) - 1;
		return;
	case MESSAGE_QUOTA_ASK:
		message->quota_ask.seq = rng_next(rng);
		message->quota_ask.tenant = LABEL("studio");
		message->quota_ask.shard = (int)rng_below(rng, QUOTA_SHARDS);
		message->quota_ask.needed = (int)rng_below(rng, 100);
		message->quota_ask.extra = (int)rng_below(rng, 100);
		return;
	case MESSAGE_QUOTA_GRANT:
		message->quota_grant.seq = rng_next(rng);
		message->quota_grant.tokens = (int)rng_below(rng, 100);
		message->quota_grant.holds = rng_below(rng, 2) != 0;
		message->quota_grant.room_in_us = (int64_t)rng_below(rng, US_PER_S);
		return;
	case MESSAGE_PING:
	case MESSAGE_ACK:
	case MESSAGE_PING_REQUEST:
	case MESSAGE_ADVERT:
	case MESSAGE_PULL:
	case MESSAGE_RECORDS:
	case MESSAGE_SNAPSHOT:
	case MESSAGE_MEMBERS_ASK:
	case MESSAGE_MEMBERS:
	case MESSAGE_MOVES:
	case MESSAGE_EVIDENCE:
	case MESSAGE_RETRY:
	case MESSAGE_KINDS:
		break;
	}
	fail();
}

static struct message *random_message(struct rng *rng, enum message_kind kind)
{
	struct message *message = message_new(kind);

	switch (kind) {
	case MESSAGE_PING:
	case MESSAGE_ACK:
		message->probe.seq = (uint32_t)rng_next(rng);
		message->probe.origin = rng_next(rng);
		message->probe.digest.members_hash = rng_next(rng);
		message->probe.digest.current = rng_below(rng, 2);
		message->probe.digest.marks_hash = rng_next(rng);
		message->probe.members = random_members(rng);
		break;
	case MESSAGE_PING_REQUEST:
		message->ping_request.subject = rng_next(rng);
		break;
	case MESSAGE_ADVERT:
		message->advert.version = (int64_t)rng_below(rng, 1ULL << 40);
		message->advert.confirmed_age_us = (int64_t)rng_below(rng, 1ULL << 40);
		break;
	case MESSAGE_PULL:
		message->pull.held_version = (int64_t)rng_below(rng, 1ULL << 40);
		message->pull.full = rng_below(rng, 2);
		message->pull.packed = rng_below(rng, 2);
		break;
	case MESSAGE_RECORDS:
		fill_records(rng, message);
		break;
	case MESSAGE_SNAPSHOT:
		fill_snapshot(rng, &message->snapshot);
		break;
	case MESSAGE_MEMBERS_ASK:
		message->buckets = random_buckets(rng);
		break;
	case MESSAGE_MEMBERS:
		message->members = random_members(rng);
		message->members_end = true;
		break;
	case MESSAGE_MOVES:
		message->states = random_states(rng);
		break;
	case MESSAGE_EVIDENCE:
		message->evidence.version = random_label(rng);
		message->evidence.windows = random_windows(rng);
		break;
	case MESSAGE_RETRY:
		message->retry_after_us = (int64_t)rng_below(rng, 1000);
		break;
	case MESSAGE_POISON:
	case MESSAGE_CENSUS_ASK:
	case MESSAGE_CENSUS:
	case MESSAGE_CLAIM_ASK:
	case MESSAGE_CLAIM_ANSWER:
	case MESSAGE_CLAIM_END:
	case MESSAGE_CLAIM_ENDED:
	case MESSAGE_CONFIRM_ASK:
	case MESSAGE_CONFIRM:
	case MESSAGE_QUOTA_ASK:
	case MESSAGE_QUOTA_GRANT:
	case MESSAGE_MARKS_ASK:
	case MESSAGE_MARKS:
		fill_call_message(rng, message);
		break;
	case MESSAGE_KINDS:
		break;
	}
	return message;
}

/* Encoding a decoded message gives the same bytes, so no field is lost. */
static void test_messages_round_trip(void **state)
{
	struct rng rng = { 3 };

	(void)state;
	for (int i = 0; i < 200 * MESSAGE_KINDS; i++) {
		struct message *message = random_message(&rng, i % MESSAGE_KINDS);
		struct strbuf first = { 0 };
		struct strbuf second = { 0 };
		struct message *decoded;

		codec_encode(message, &first);
		decoded = codec_decode(strbuf_str(&first));
		assert_non_null(decoded);
		codec_encode(decoded, &second);
		assert_true(str_equal(strbuf_str(&first), strbuf_str(&second)));
		message_unref(message);
		message_unref(decoded);
		strbuf_clear(&first);
		strbuf_clear(&second);
	}
}

/* Truncated or overwritten bytes are refused or decode to some message, and never crash. */
static void test_damaged_messages_never_crash(void **state)
{
	struct rng rng = { 4 };
	int refused = 0;

	(void)state;
	for (int i = 0; i < 1000 * MESSAGE_KINDS; i++) {
		struct message *message = random_message(&rng, i % MESSAGE_KINDS);
		struct strbuf bytes = { 0 };
		struct message *decoded;

		codec_encode(message, &bytes);
		for (uint64_t n = 1 + rng_below(&rng, 3); n > 0; n--)
			bytes.data[rng_below(&rng, bytes.len)] = (char)rng_next(&rng);
		if (rng_below(&rng, 3) == 0)
			bytes.len = rng_below(&rng, bytes.len);
		decoded = codec_decode(strbuf_str(&bytes));
		refused += decoded == NULL;
		if (decoded)
			parse_message_changes(decoded);
		message_unref(decoded);
		message_unref(message);
		strbuf_clear(&bytes);
	}
	assert_true(refused > 1000);
}

static void test_log_records_round_trip(void **state)
{
	struct rng rng = { 5 };

	(void)state;
	for (int i = 0; i < 300; i++) {
		struct log_record record = { .kind = i % 3 };
		struct log_record decoded;
		struct strbuf first = { 0 };
		struct strbuf second = { 0 };

		if (record.kind == LOG_CHANGE)
			record.change = random_change(&rng);
		else if (record.kind == LOG_SNAPSHOT)
			fill_snapshot(&rng, &record.snapshot);
		else
			record.move.state = random_state(&rng);
		record_encode(&record, &first);
		record_decode(record.kind == LOG_CHANGE ? STREAM_CONFIG : STREAM_SYSTEM, 9,
			      strbuf_str(&first), &decoded);
		assert_int_equal(decoded.kind, record.kind);
		assert_int_equal(decoded.offset, 9);
		record_encode(&decoded, &second);
		assert_true(str_equal(strbuf_str(&first), strbuf_str(&second)));
		log_record_clear(&record);
		log_record_clear(&decoded);
		strbuf_clear(&first);
		strbuf_clear(&second);
	}
}

/* Every node must reject an undecodable record of the config stream in the same way. */
static void test_undecodable_change_is_rejected(void **state)
{
	struct log_record record;

	(void)state;
	record_decode(STREAM_CONFIG, 5, STR("nonsense"), &record);
	assert_int_equal(record.kind, LOG_CHANGE);
	assert_int_equal(record.change->base, -1);
	log_record_clear(&record);
	record_decode(STREAM_SYSTEM, 5, STR("nonsense"), &record);
	assert_int_equal(record.kind, LOG_INVALID);
	log_record_clear(&record);
}

/* A few bytes that announce billions of items must not cause an allocation of that size. */
static void test_excessive_counts_are_refused(void **state)
{
	static const struct str rows[] = {
		{ "\xdd\xff\xff\xff\xff", 5 }, { "\x92\x00\xdd\x08\x00\x00\x00", 7 },
		{ "\xdc\xff\xff\x00", 4 },     { "\xc6\xff\xff\xff\xff", 5 },
		{ "\xdf\x7f\xff\xff\xff", 5 }, { "", 0 }
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		assert_null(codec_decode(rows[i]));
}

static void test_request_head_round_trips(void **state)
{
	struct request_head head = { .method = STR("POST"),
				     .target = STR("/a?b=c"),
				     .route = LABEL("r"),
				     .remaining_us = 12345,
				     .body_length = -1,
				     .fingerprint = 99,
				     .body_waits = true,
				     .field_count = 1,
				     .fields = { { STR("A"), STR("") } } };
	struct request_head decoded = { 0 };
	struct strbuf bytes = { 0 };
	struct decoded_head *storage = NULL;
	struct frame frame;
	size_t used;

	(void)state;
	wire_put_request(&bytes, 17, &head);
	for (size_t len = 0; len < bytes.len; len++)
		assert_int_equal(
			wire_read_frame(str_sub(strbuf_str(&bytes), 0, len), &frame, &used),
			WIRE_INCOMPLETE);
	assert_int_equal(wire_read_frame(strbuf_str(&bytes), &frame, &used), WIRE_FRAME);
	assert_int_equal(used, bytes.len);
	assert_int_equal(frame.stream, 17);
	assert_true(wire_get_request(frame.payload, &decoded, &storage));
	assert_true(str_equal(decoded.target, head.target));
	assert_int_equal(decoded.remaining_us, 12345);
	assert_int_equal(decoded.body_length, -1);
	assert_int_equal(decoded.field_count, 1);
	assert_true(decoded.body_waits);
	decoded_head_free(storage);
	strbuf_clear(&bytes);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_messages_round_trip),
		cmocka_unit_test(test_damaged_messages_never_crash),
		cmocka_unit_test(test_log_records_round_trip),
		cmocka_unit_test(test_undecodable_change_is_rejected),
		cmocka_unit_test(test_excessive_counts_are_refused),
		cmocka_unit_test(test_request_head_round_trips),
	};

	return cmocka_run_group_tests_name("peer/codec", tests, NULL, NULL);
}
