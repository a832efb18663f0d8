#include "peer/codec.h"

#include "peer/pack.h"

static void pack_digest(msgpack_packer *out, const struct digest *digest)
{
	msgpack_pack_array(out, 8);
	msgpack_pack_int64(out, digest->version);
	msgpack_pack_int64(out, digest->snapshot_version);
	msgpack_pack_int64(out, digest->snapshot_at_us);
	msgpack_pack_uint64(out, digest->members_hash);
	msgpack_pack_uint64(out, digest->moves_hash);
	if (digest->current)
		msgpack_pack_true(out);
	else
		msgpack_pack_false(out);
	msgpack_pack_int64(out, digest->confirmed_age_us);
	msgpack_pack_uint64(out, digest->marks_hash);
}

static void pack_probe(msgpack_packer *out, const struct probe_body *probe)
{
	msgpack_pack_array(out, 6);
	msgpack_pack_int(out, 0);
	msgpack_pack_uint32(out, probe->seq);
	msgpack_pack_uint64(out, probe->origin);
	msgpack_pack_uint64(out, probe->subject);
	pack_digest(out, &probe->digest);
	pack_members(out, probe->members);
}

/* If the receiver has a base version of the file, a delta replaces the content. */
static void pack_record(msgpack_packer *out, const struct change_record *record, bool packed)
{
	msgpack_pack_array(out, record->delta ? 3 : 2);
	msgpack_pack_int64(out, record->offset);
	if (record->delta) {
		pack_change_head(out, record->change);
		if (packed)
			pack_delta_compressed(out, record->delta);
		else
			pack_delta(out, record->delta);
	} else {
		pack_change(out, record->change);
	}
}

static void pack_records(msgpack_packer *out, const struct message *message)
{
	msgpack_pack_array(out, 2);
	msgpack_pack_int64(out, message->records.newest);
	msgpack_pack_array(out, (size_t)message->records.count);
	for (int i = 0; i < message->records.count; i++) {
		pack_record(out, &message->records.records[i], message->records.packed);
	}
}

static void pack_states(msgpack_packer *out, const GArray *states)
{
	msgpack_pack_array(out, states->len);
	for (guint i = 0; i < states->len; i++)
		pack_move_state(out, &g_array_index(states, struct move_state, i));
}

/* The latency histogram is packed as pairs of bucket and count, without empty buckets. */
static void pack_window(msgpack_packer *out, const struct evidence_window *window)
{
	uint32_t nonzero = 0;

	for (int i = 0; i < HIST_BUCKETS; i++)
		nonzero += window->latency[i] != 0;
	msgpack_pack_array(out, 7);
	pack_label(out, &window->route);
	msgpack_pack_uint64(out, window->target);
	msgpack_pack_uint32(out, window->calls);
	msgpack_pack_uint32(out, window->failures);
	msgpack_pack_uint32(out, window->crashes);
	msgpack_pack_uint32(out, window->targets);
	msgpack_pack_array(out, (size_t)nonzero * 2);
	for (int i = 0; i < HIST_BUCKETS; i++) {
		if (window->latency[i] == 0)
			continue;
		msgpack_pack_int(out, i);
		msgpack_pack_int(out, window->latency[i]);
	}
}

static void pack_evidence(msgpack_packer *out, const struct message *message)
{
	const GArray *windows = message->evidence.windows;

	msgpack_pack_array(out, 3);
	msgpack_pack_uint64(out, message->evidence.move);
	pack_label(out, &message->evidence.version);
	msgpack_pack_array(out, windows->len);
	for (guint i = 0; i < windows->len; i++)
		pack_window(out, &g_array_index(windows, struct evidence_window, i));
}

static void pack_buckets(msgpack_packer *out, const uint64_t *buckets)
{
	msgpack_pack_array(out, MEMBER_BUCKETS);
	for (int i = 0; i < MEMBER_BUCKETS; i++)
		msgpack_pack_uint64(out, buckets[i]);
}

static void pack_poison(msgpack_packer *out, const struct poison_mark *mark)
{
	msgpack_pack_array(out, 4);
	msgpack_pack_uint64(out, mark->fingerprint);
	msgpack_pack_uint64(out, mark->crash);
	msgpack_pack_int64(out, mark->expires_at_us);
	msgpack_pack_int64(out, mark->remaining_us);
}

static void pack_mark_buckets(msgpack_packer *out, const uint64_t *buckets)
{
	msgpack_pack_array(out, MARK_BUCKETS);
	for (int i = 0; i < MARK_BUCKETS; i++)
		msgpack_pack_uint64(out, buckets[i]);
}

static void pack_marks(msgpack_packer *out, const struct message *message)
{
	const GArray *marks = message->marks;

	msgpack_pack_array(out, 2);
	msgpack_pack_int(out, message->marks_end);
	msgpack_pack_array(out, marks->len);
	for (guint i = 0; i < marks->len; i++)
		pack_poison(out, &g_array_index(marks, struct poison_mark, i));
}

static void pack_claim_ask(msgpack_packer *out, const struct message *message)
{
	msgpack_pack_array(out, 5);
	msgpack_pack_uint64(out, message->claim_ask.seq);
	msgpack_pack_uint64(out, message->claim_ask.key.high);
	msgpack_pack_uint64(out, message->claim_ask.key.low);
	msgpack_pack_uint64(out, message->claim_ask.claim);
	msgpack_pack_int64(out, message->claim_ask.remaining_us);
}

static void pack_claim_answer(msgpack_packer *out, const struct message *message)
{
	msgpack_pack_array(out, 3);
	msgpack_pack_uint64(out, message->claim_answer.seq);
	msgpack_pack_int(out, message->claim_answer.result);
	msgpack_pack_int(out, message->claim_answer.status);
}

static void pack_claim_ended(msgpack_packer *out, const struct message *message)
{
	msgpack_pack_array(out, 1);
	msgpack_pack_uint64(out, message->claim_ended);
}

static void pack_confirm(msgpack_packer *out, const struct message *message)
{
	msgpack_pack_array(out, 3);
	msgpack_pack_uint64(out, message->confirm.seq);
	msgpack_pack_int64(out, message->confirm.version);
	msgpack_pack_int64(out, message->confirm.age_us);
}

static void pack_quota_ask(msgpack_packer *out, const struct message *message)
{
	msgpack_pack_array(out, 5);
	msgpack_pack_uint64(out, message->quota_ask.seq);
	pack_label(out, &message->quota_ask.tenant);
	msgpack_pack_int(out, message->quota_ask.shard);
	msgpack_pack_int(out, message->quota_ask.needed);
	msgpack_pack_int(out, message->quota_ask.extra);
}

static void pack_quota_grant(msgpack_packer *out, const struct message *message)
{
	msgpack_pack_array(out, 4);
	msgpack_pack_uint64(out, message->quota_grant.seq);
	msgpack_pack_int(out, message->quota_grant.tokens);
	msgpack_pack_int(out, message->quota_grant.holds);
	msgpack_pack_int64(out, message->quota_grant.room_in_us);
}

static void pack_ping_request(msgpack_packer *out, const struct message *message)
{
	msgpack_pack_array(out, 2);
	msgpack_pack_uint32(out, message->ping_request.seq);
	msgpack_pack_uint64(out, message->ping_request.subject);
}

static void pack_pull(msgpack_packer *out, const struct message *message)
{
	msgpack_pack_array(out, 3);
	msgpack_pack_int64(out, message->pull.held_version);
	msgpack_pack_int(out, message->pull.full);
	msgpack_pack_int(out, message->pull.packed);
}

/* The messages that on_call_message() in core/node.c handles: one function for all kinds would be
 * too long to read. */
static void pack_call_body(msgpack_packer *out, const struct message *message)
{
	switch (message->kind) {
	case MESSAGE_POISON:
		pack_poison(out, &message->poison);
		return;
	case MESSAGE_CENSUS_ASK:
	case MESSAGE_CENSUS:
		msgpack_pack_array(out, 2);
		msgpack_pack_uint64(out, message->census.seq);
		msgpack_pack_int64(out, message->census.version);
		return;
	case MESSAGE_CLAIM_ASK:
		pack_claim_ask(out, message);
		return;
	case MESSAGE_CLAIM_ANSWER:
		pack_claim_answer(out, message);
		return;
	case MESSAGE_CLAIM_END:
		msgpack_pack_array(out, 1);
		pack_claim_op(out, &message->claim_end);
		return;
	case MESSAGE_CLAIM_ENDED:
		pack_claim_ended(out, message);
		return;
	case MESSAGE_CONFIRM_ASK:
	case MESSAGE_CONFIRM:
		pack_confirm(out, message);
		return;
	case MESSAGE_QUOTA_ASK:
		pack_quota_ask(out, message);
		return;
	case MESSAGE_QUOTA_GRANT:
		pack_quota_grant(out, message);
		return;
	case MESSAGE_MARKS_ASK:
		pack_mark_buckets(out, message->mark_buckets);
		return;
	case MESSAGE_MARKS:
		pack_marks(out, message);
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
	g_assert_not_reached();
}

static void pack_body(msgpack_packer *out, const struct message *message)
{
	switch (message->kind) {
	case MESSAGE_PING:
	case MESSAGE_ACK:
		pack_probe(out, &message->probe);
		return;
	case MESSAGE_PING_REQUEST:
		pack_ping_request(out, message);
		return;
	case MESSAGE_ADVERT:
		msgpack_pack_array(out, 2);
		msgpack_pack_int64(out, message->advert.version);
		msgpack_pack_int64(out, message->advert.confirmed_age_us);
		return;
	case MESSAGE_PULL:
		pack_pull(out, message);
		return;
	case MESSAGE_RECORDS:
		pack_records(out, message);
		return;
	case MESSAGE_SNAPSHOT:
		msgpack_pack_array(out, 1);
		pack_snapshot(out, &message->snapshot);
		return;
	case MESSAGE_MEMBERS_ASK:
		pack_buckets(out, message->buckets);
		return;
	case MESSAGE_MEMBERS:
		msgpack_pack_array(out, 2);
		pack_members(out, message->members);
		msgpack_pack_int(out, message->members_end);
		return;
	case MESSAGE_MOVES:
		pack_states(out, message->states);
		return;
	case MESSAGE_EVIDENCE:
		pack_evidence(out, message);
		return;
	case MESSAGE_RETRY:
		msgpack_pack_array(out, 1);
		msgpack_pack_int64(out, message->retry_after_us);
		return;
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
		pack_call_body(out, message);
		return;
	case MESSAGE_KINDS:
		break;
	}
	g_assert_not_reached();
}

void codec_encode(const struct message *message, struct strbuf *out)
{
	msgpack_packer packer;

	pack_start(&packer, out);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_int(&packer, message->kind);
	pack_body(&packer, message);
}

/* Nodes of earlier builds send no age. */
static int64_t unpack_age(struct unpack *in)
{
	return in->remaining ? unpack_i64(in) : CONFIRMED_NEVER;
}

static void unpack_digest(struct unpack *in, struct digest *digest)
{
	struct unpack inner = unpack_inner(in);

	digest->version = unpack_i64(&inner);
	digest->snapshot_version = unpack_i64(&inner);
	digest->snapshot_at_us = unpack_i64(&inner);
	digest->members_hash = unpack_u64(&inner);
	digest->moves_hash = unpack_u64(&inner);
	digest->current = unpack_bool(&inner);
	digest->confirmed_age_us = unpack_age(&inner);
	digest->marks_hash = inner.remaining ? unpack_u64(&inner) : MARKS_HASH_NONE;
	in->bad |= inner.bad;
}

static void unpack_probe(struct unpack *in, struct probe_body *probe)
{
	unpack_int(in, 0);
	probe->seq = (uint32_t)unpack_u64(in);
	probe->origin = unpack_u64(in);
	probe->subject = unpack_u64(in);
	unpack_digest(in, &probe->digest);
	probe->members = unpack_members(in);
}

static void unpack_records(struct unpack *in, struct message *message)
{
	struct unpack list;

	message->records.newest = unpack_i64(in);
	list = unpack_inner(in);
	if (list.remaining > HISTORY_PULL_MAX)
		list.bad = true;
	message->records.records = g_new0(struct change_record, HISTORY_PULL_MAX);
	while (list.remaining && !list.bad) {
		struct unpack item = unpack_inner(&list);
		int64_t offset = unpack_i64(&item);
		struct change *change = unpack_change(&item);
		struct delta *delta = item.remaining ? unpack_delta(&item) : NULL;

		list.bad |= item.bad;
		if (!change) {
			delta_unref(delta);
			break;
		}
		message->records.records[message->records.count++] =
			(struct change_record){ offset, change, delta };
		message->records.packed |= delta && delta->encoding;
	}
	in->bad |= list.bad;
}

static GArray *unpack_states(struct unpack *in)
{
	GArray *states = g_array_new(FALSE, TRUE, sizeof(struct move_state));

	while (in->remaining && !in->bad) {
		struct move_state state = { 0 };

		unpack_move_state(in, &state);
		g_array_append_val(states, state);
	}
	return states;
}

static struct evidence_window unpack_window(struct unpack *in)
{
	struct unpack inner = unpack_inner(in);
	struct evidence_window window = { .route = unpack_label(&inner) };
	struct unpack counts;

	window.target = unpack_u64(&inner);
	window.calls = (uint32_t)unpack_int(&inner, INT32_MAX);
	window.failures = (uint32_t)unpack_int(&inner, INT32_MAX);
	window.crashes = (uint32_t)unpack_int(&inner, INT32_MAX);
	window.targets = (uint32_t)unpack_int(&inner, INT32_MAX);
	counts = unpack_inner(&inner);
	while (counts.remaining && !counts.bad) {
		int bucket = unpack_int(&counts, HIST_BUCKETS - 1);

		window.latency[bucket] = (uint16_t)unpack_int(&counts, UINT16_MAX);
	}
	in->bad |= inner.bad || counts.bad;
	return window;
}

static void unpack_evidence(struct unpack *in, struct message *message)
{
	struct unpack list;

	message->evidence.move = unpack_u64(in);
	message->evidence.version = unpack_label(in);
	message->evidence.windows = g_array_new(FALSE, TRUE, sizeof(struct evidence_window));
	list = unpack_inner(in);
	while (list.remaining && !list.bad) {
		struct evidence_window window = unpack_window(&list);

		g_array_append_val(message->evidence.windows, window);
	}
	in->bad |= list.bad;
}

static void unpack_buckets(struct unpack *in, struct message *message)
{
	message->buckets = g_new0(uint64_t, MEMBER_BUCKETS);
	for (int i = 0; i < MEMBER_BUCKETS; i++)
		message->buckets[i] = unpack_u64(in);
}

static void unpack_poison(struct unpack *in, struct poison_mark *mark)
{
	mark->fingerprint = unpack_u64(in);
	mark->crash = unpack_u64(in);
	mark->expires_at_us = unpack_i64(in);
	mark->remaining_us = in->remaining ? unpack_i64(in) : MARK_REMAINING_UNKNOWN;
}

static void unpack_mark_buckets(struct unpack *in, uint64_t *buckets)
{
	for (int i = 0; i < MARK_BUCKETS; i++)
		buckets[i] = unpack_u64(in);
}

static void unpack_marks(struct unpack *in, struct message *message)
{
	struct unpack list;

	message->marks_end = unpack_int(in, 1) != 0;
	message->marks = g_array_new(FALSE, FALSE, sizeof(struct poison_mark));
	list = unpack_inner(in);
	while (list.remaining && !list.bad) {
		struct unpack item = unpack_inner(&list);
		struct poison_mark mark;

		unpack_poison(&item, &mark);
		list.bad |= item.bad;
		g_array_append_val(message->marks, mark);
	}
	in->bad |= list.bad;
}

static void unpack_claim_ask(struct unpack *in, struct message *message)
{
	message->claim_ask.seq = unpack_u64(in);
	message->claim_ask.key.high = unpack_u64(in);
	message->claim_ask.key.low = unpack_u64(in);
	message->claim_ask.claim = unpack_u64(in);
	message->claim_ask.remaining_us = unpack_i64(in);
}

static void unpack_confirm(struct unpack *in, struct message *message)
{
	message->confirm.seq = unpack_u64(in);
	message->confirm.version = unpack_i64(in);
	message->confirm.age_us = unpack_i64(in);
}

static void unpack_quota_ask(struct unpack *in, struct message *message)
{
	message->quota_ask.seq = unpack_u64(in);
	message->quota_ask.tenant = unpack_label(in);
	message->quota_ask.shard = unpack_int(in, QUOTA_SHARDS - 1);
	message->quota_ask.needed = unpack_int(in, INT32_MAX);
	message->quota_ask.extra = unpack_int(in, INT32_MAX);
}

static void unpack_quota_grant(struct unpack *in, struct message *message)
{
	message->quota_grant.seq = unpack_u64(in);
	message->quota_grant.tokens = unpack_int(in, INT32_MAX);
	message->quota_grant.holds = unpack_int(in, 1) != 0;
	message->quota_grant.room_in_us = unpack_i64(in);
}

static void unpack_call_body(struct unpack *in, struct message *message)
{
	switch (message->kind) {
	case MESSAGE_POISON:
		unpack_poison(in, &message->poison);
		return;
	case MESSAGE_CENSUS_ASK:
	case MESSAGE_CENSUS:
		message->census.seq = unpack_u64(in);
		message->census.version = unpack_i64(in);
		return;
	case MESSAGE_CLAIM_ASK:
		unpack_claim_ask(in, message);
		return;
	case MESSAGE_CLAIM_ANSWER:
		message->claim_answer.seq = unpack_u64(in);
		message->claim_answer.result = unpack_int(in, CLAIM_TIMEOUT);
		message->claim_answer.status = unpack_int(in, 999);
		return;
	case MESSAGE_CLAIM_END:
		unpack_claim_op(in, &message->claim_end);
		return;
	case MESSAGE_CLAIM_ENDED:
		message->claim_ended = unpack_u64(in);
		return;
	case MESSAGE_CONFIRM_ASK:
	case MESSAGE_CONFIRM:
		unpack_confirm(in, message);
		return;
	case MESSAGE_QUOTA_ASK:
		unpack_quota_ask(in, message);
		return;
	case MESSAGE_QUOTA_GRANT:
		unpack_quota_grant(in, message);
		return;
	case MESSAGE_MARKS_ASK:
		unpack_mark_buckets(in, message->mark_buckets);
		return;
	case MESSAGE_MARKS:
		unpack_marks(in, message);
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
	g_assert_not_reached();
}

static void unpack_body(struct unpack *in, struct message *message)
{
	switch (message->kind) {
	case MESSAGE_PING:
	case MESSAGE_ACK:
		unpack_probe(in, &message->probe);
		return;
	case MESSAGE_PING_REQUEST:
		message->ping_request.seq = (uint32_t)unpack_u64(in);
		message->ping_request.subject = unpack_u64(in);
		return;
	case MESSAGE_ADVERT:
		message->advert.version = unpack_i64(in);
		message->advert.confirmed_age_us = unpack_age(in);
		return;
	case MESSAGE_PULL:
		message->pull.held_version = unpack_i64(in);
		message->pull.full = unpack_int(in, 1);
		message->pull.packed = in->remaining && unpack_int(in, 1);
		return;
	case MESSAGE_RECORDS:
		unpack_records(in, message);
		return;
	case MESSAGE_SNAPSHOT:
		unpack_snapshot(in, &message->snapshot);
		return;
	case MESSAGE_MEMBERS_ASK:
		unpack_buckets(in, message);
		return;
	case MESSAGE_MEMBERS:
		message->members = unpack_members(in);
		message->members_end = unpack_int(in, 1) != 0;
		return;
	case MESSAGE_MOVES:
		message->states = unpack_states(in);
		return;
	case MESSAGE_EVIDENCE:
		unpack_evidence(in, message);
		return;
	case MESSAGE_RETRY:
		message->retry_after_us = unpack_i64(in);
		return;
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
		unpack_call_body(in, message);
		return;
	case MESSAGE_KINDS:
		break;
	}
	g_assert_not_reached();
}

static struct message *decode_array(struct unpack in)
{
	int kind = unpack_int(&in, MESSAGE_KINDS - 1);
	struct unpack body = unpack_inner(&in);
	struct message *message;

	if (in.bad || body.bad)
		return NULL;
	message = message_new(kind);
	unpack_body(&body, message);
	if (!body.bad)
		return message;
	message_unref(message);
	return NULL;
}

struct message *codec_decode(struct str bytes)
{
	struct message *message = NULL;
	msgpack_unpacked unpacked;
	struct unpack in;

	if (unpack_open(bytes, &unpacked, &in))
		message = decode_array(in);
	msgpack_unpacked_destroy(&unpacked);
	return message;
}
