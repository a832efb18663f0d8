#include "peer/pack.h"

#include "base/deflate.h"

enum {
	ARRAY_ITEMS_MAX = 65536,	  /* most items of any array in a message */
	COMPRESS_MIN_BYTES = 512,	  /* below, a delta fits a datagram as it is */
	DELTA_PLAIN_MAX_BYTES = 16 << 20, /* limit of a peer's decompressed delta */
	DELTA_COMPRESSED_ITEMS = 2,	  /* length of the array that holds a compressed delta */
};

static int append(void *data, const char *bytes, size_t len)
{
	strbuf_add(data, (struct str){ bytes, len });
	return 0;
}

void pack_start(msgpack_packer *packer, struct strbuf *out)
{
	msgpack_packer_init(packer, out, append);
}

void pack_str(msgpack_packer *out, struct str s)
{
	msgpack_pack_bin(out, s.len);
	msgpack_pack_bin_body(out, s.data, s.len);
}

void pack_label(msgpack_packer *out, const struct label *label)
{
	pack_str(out, label_str(label));
}

static void pack_member(msgpack_packer *out, const struct member *member)
{
	msgpack_pack_array(out, 7);
	msgpack_pack_uint64(out, member->id);
	msgpack_pack_uint64(out, member->incarnation);
	msgpack_pack_int(out, member->state);
	msgpack_pack_int(out, member->slots);
	pack_label(out, &member->data_centre);
	pack_label(out, &member->service);
	pack_label(out, &member->version);
}

void pack_members(msgpack_packer *out, const GArray *members)
{
	msgpack_pack_array(out, members->len);
	for (guint i = 0; i < members->len; i++)
		pack_member(out, &g_array_index(members, struct member, i));
}

static void pack_change_with(msgpack_packer *out, const struct change *change, struct str content)
{
	msgpack_pack_array(out, 4);
	pack_label(out, &change->id);
	pack_label(out, &change->file);
	msgpack_pack_int64(out, change->base);
	pack_str(out, content);
}

void pack_change(msgpack_packer *out, const struct change *change)
{
	pack_change_with(out, change, change->content);
}

void pack_change_head(msgpack_packer *out, const struct change *change)
{
	pack_change_with(out, change, STR(""));
}

static void pack_segment(msgpack_packer *out, const struct delta_segment *segment)
{
	switch (segment->kind) {
	case SEGMENT_COPY:
		msgpack_pack_array(out, 2);
		msgpack_pack_uint64(out, segment->copy.offset);
		msgpack_pack_uint64(out, segment->copy.len);
		return;
	case SEGMENT_TEXT:
		msgpack_pack_array(out, 1);
		pack_str(out, segment->text);
		return;
	}
	g_assert_not_reached();
}

void pack_delta(msgpack_packer *out, const struct delta *delta)
{
	msgpack_pack_array(out, 3);
	msgpack_pack_int64(out, delta->base);
	msgpack_pack_uint64(out, delta->hash);
	msgpack_pack_array(out, delta->segments->len);
	for (guint i = 0; i < delta->segments->len; i++)
		pack_segment(out, &g_array_index(delta->segments, struct delta_segment, i));
}

/* Returns the compressed form of the segments, which all receivers get. */
static const struct delta_encoding *delta_encoding(struct delta *delta)
{
	const struct delta_encoding *known = g_atomic_pointer_get(&delta->encoding);
	struct delta_encoding *encoding;
	struct strbuf plain = { 0 };
	struct strbuf bytes = { 0 };
	msgpack_packer packer;

	if (known)
		return known;
	encoding = g_new0(struct delta_encoding, 1);
	pack_start(&packer, &plain);
	pack_delta(&packer, delta);
	encoding->plain_len = plain.len;
	if (plain.len >= COMPRESS_MIN_BYTES && deflate_str(strbuf_str(&plain), &bytes))
		encoding->bytes = str_dup(strbuf_str(&bytes));
	strbuf_clear(&bytes);
	strbuf_clear(&plain);
	return delta_set_encoding(delta, encoding);
}

void pack_delta_compressed(msgpack_packer *out, struct delta *delta)
{
	const struct delta_encoding *encoding = delta_encoding(delta);

	if (encoding->bytes.len == 0) {
		pack_delta(out, delta);
		return;
	}
	msgpack_pack_array(out, 2);
	msgpack_pack_uint64(out, encoding->plain_len);
	pack_str(out, encoding->bytes);
}

void pack_move_state(msgpack_packer *out, const struct move_state *state)
{
	msgpack_pack_array(out, 8);
	msgpack_pack_uint64(out, state->id);
	msgpack_pack_int(out, state->step);
	msgpack_pack_int64(out, state->done_at_us);
	msgpack_pack_int64(out, state->withdrawn_at_us);
	msgpack_pack_int(out, state->reason);
	pack_label(out, &state->route);
	msgpack_pack_int64(out, state->recheck_at_us);
	pack_label(out, &state->from);
}

void pack_claim_op(msgpack_packer *out, const struct claim_op *op)
{
	msgpack_pack_array(out, 5);
	msgpack_pack_uint64(out, op->key.high);
	msgpack_pack_uint64(out, op->key.low);
	msgpack_pack_uint64(out, op->claim);
	msgpack_pack_int(out, op->kind);
	msgpack_pack_int(out, op->status);
}

static void pack_file(msgpack_packer *out, const struct accepted_file *file)
{
	msgpack_pack_array(out, 4);
	pack_label(out, &file->name);
	msgpack_pack_int64(out, file->version);
	pack_change(out, file->change);
	msgpack_pack_array(out, file->move_ids->len);
	for (guint i = 0; i < file->move_ids->len; i++)
		msgpack_pack_uint64(out, g_array_index(file->move_ids, uint64_t, i));
}

void pack_snapshot(msgpack_packer *out, const struct snapshot_part *part)
{
	msgpack_pack_array(out, 7);
	msgpack_pack_int64(out, part->version);
	msgpack_pack_int64(out, part->accepted);
	msgpack_pack_int64(out, part->written_at_us);
	msgpack_pack_int(out, part->index);
	msgpack_pack_int(out, part->count);
	msgpack_pack_array(out, part->files->len);
	for (guint i = 0; i < part->files->len; i++)
		pack_file(out, g_ptr_array_index(part->files, i));
	msgpack_pack_array(out, part->states->len);
	for (guint i = 0; i < part->states->len; i++)
		pack_move_state(out, &g_array_index(part->states, struct move_state, i));
}

static struct unpack unpack_array(const msgpack_object *object)
{
	if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size > ARRAY_ITEMS_MAX)
		return (struct unpack){ .bad = true };
	return (struct unpack){ .items = object->via.array.ptr,
				.remaining = object->via.array.size };
}

/* Reads and consumes a big-endian number of @p bytes bytes. */
static bool read_number(struct str *in, size_t bytes, uint64_t *number)
{
	if (in->len < bytes)
		return false;
	*number = 0;
	for (size_t i = 0; i < bytes; i++)
		*number = *number << 8 | (unsigned char)in->data[i];
	*in = str_sub(*in, bytes, in->len);
	return true;
}

/* Skips an object: of an array only the head, whose item count is set in @p count. */
static bool skip_object(struct str *in, uint64_t *count)
{
	unsigned char tag = (unsigned char)in->data[0];
	uint64_t len = 0;

	*count = 0;
	*in = str_sub(*in, 1, in->len);
	if (tag <= 0x7f || tag >= 0xe0 || tag == 0xc2 || tag == 0xc3)
		return true; /* small number, false or true */
	if (tag >= 0x90 && tag <= 0x9f) {
		*count = tag & 0x0f;
		return true;
	}
	if (tag >= 0xcc && tag <= 0xd3) /* number of 1, 2, 4 or 8 bytes */
		return read_number(in, (size_t)1 << (tag & 3), &len);
	if (tag == 0xdc || tag == 0xdd)
		return read_number(in, tag == 0xdc ? 2 : 4, count);
	/* The only other type that is packed here is bin, a byte string. */
	if (tag < 0xc4 || tag > 0xc6 || !read_number(in, (size_t)1 << (tag - 0xc4), &len) ||
	    len > in->len)
		return false;
	*in = str_sub(*in, len, in->len);
	return true;
}

/* Checks that the bytes can hold all items of each array; an item has at least one byte. */
static bool counts_fit(struct str bytes)
{
	uint64_t pending = 1;

	while (pending > 0) {
		uint64_t count;

		if (pending > bytes.len || !skip_object(&bytes, &count))
			return false;
		pending += count - 1;
	}
	return bytes.len == 0;
}

bool unpack_open(struct str bytes, msgpack_unpacked *unpacked, struct unpack *in)
{
	size_t used = 0;

	*in = (struct unpack){ .bad = true };
	msgpack_unpacked_init(unpacked);
	if (counts_fit(bytes) &&
	    msgpack_unpack_next(unpacked, bytes.data, bytes.len, &used) == MSGPACK_UNPACK_SUCCESS)
		*in = unpack_array(&unpacked->data);
	return !in->bad;
}

static const msgpack_object *next_item(struct unpack *in, msgpack_object_type type)
{
	const msgpack_object *object;

	if (in->bad || in->remaining == 0) {
		in->bad = true;
		return NULL;
	}
	object = in->items++;
	in->remaining--;
	if (object->type == type)
		return object;
	in->bad = true;
	return NULL;
}

struct unpack unpack_inner(struct unpack *in)
{
	const msgpack_object *object = next_item(in, MSGPACK_OBJECT_ARRAY);

	return object ? unpack_array(object) : (struct unpack){ .bad = true };
}

uint64_t unpack_u64(struct unpack *in)
{
	const msgpack_object *object = next_item(in, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return object ? object->via.u64 : 0;
}

int64_t unpack_i64(struct unpack *in)
{
	if (!in->bad && in->remaining && in->items->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return next_item(in, MSGPACK_OBJECT_NEGATIVE_INTEGER)->via.i64;
	return (int64_t)unpack_u64(in);
}

int unpack_int(struct unpack *in, int max)
{
	uint64_t value = unpack_u64(in);

	if (value <= (uint64_t)max)
		return (int)value;
	in->bad = true;
	return 0;
}

bool unpack_bool(struct unpack *in)
{
	const msgpack_object *object = next_item(in, MSGPACK_OBJECT_BOOLEAN);

	return object && object->via.boolean;
}

struct str unpack_str(struct unpack *in)
{
	const msgpack_object *object = next_item(in, MSGPACK_OBJECT_BIN);

	return object ? (struct str){ object->via.bin.ptr, object->via.bin.size } : STR("");
}

struct label unpack_label(struct unpack *in)
{
	struct str s = unpack_str(in);

	if (!label_fits(s))
		in->bad = true;
	return label_from(s);
}

static struct member unpack_member(struct unpack *in)
{
	struct unpack inner = unpack_inner(in);
	struct member member = { .id = unpack_u64(&inner) };

	member.incarnation = unpack_u64(&inner);
	member.state = unpack_int(&inner, MEMBER_DEAD);
	member.slots = (uint16_t)unpack_int(&inner, UINT16_MAX);
	member.data_centre = unpack_label(&inner);
	member.service = unpack_label(&inner);
	member.version = unpack_label(&inner);
	in->bad |= inner.bad || member.id == 0;
	return member;
}

GArray *unpack_members(struct unpack *in)
{
	GArray *members = g_array_new(FALSE, FALSE, sizeof(struct member));
	struct unpack list = unpack_inner(in);

	while (list.remaining && !list.bad) {
		struct member member = unpack_member(&list);

		if (!list.bad)
			g_array_append_val(members, member);
	}
	in->bad |= list.bad;
	return members;
}

struct change *unpack_change(struct unpack *in)
{
	struct unpack inner = unpack_inner(in);
	struct label id = unpack_label(&inner);
	struct label file = unpack_label(&inner);
	int64_t base = unpack_i64(&inner);
	struct str content = unpack_str(&inner);

	in->bad |= inner.bad;
	return in->bad ? NULL : change_new(id, file, base, content);
}

static struct delta_segment unpack_segment(struct unpack *in)
{
	struct unpack inner = unpack_inner(in);
	struct delta_segment segment = { .kind = inner.remaining == 1 ? SEGMENT_TEXT
								      : SEGMENT_COPY };

	switch (segment.kind) {
	case SEGMENT_TEXT:
		segment.text = str_dup(unpack_str(&inner));
		break;
	case SEGMENT_COPY:
		segment.copy.offset = unpack_u64(&inner);
		segment.copy.len = unpack_u64(&inner);
		break;
	}
	in->bad |= inner.bad;
	return segment;
}

static struct delta *unpack_plain_delta(struct unpack *fields)
{
	int64_t base = unpack_i64(fields);
	uint64_t hash = unpack_u64(fields);
	struct unpack list = unpack_inner(fields);
	GArray *segments = delta_new_segments();

	while (list.remaining && !list.bad) {
		struct delta_segment segment = unpack_segment(&list);

		g_array_append_val(segments, segment);
	}
	fields->bad |= list.bad;
	return delta_new(base, hash, segments);
}

/* The compressed form is kept for peers that pull from this node. */
static void keep_encoding(struct delta *delta, struct str bytes, size_t plain_len)
{
	struct delta_encoding *encoding = g_new0(struct delta_encoding, 1);

	encoding->bytes = str_dup(bytes);
	encoding->plain_len = plain_len;
	delta_set_encoding(delta, encoding);
}

static struct delta *unpack_compressed_delta(struct unpack *fields)
{
	uint64_t plain_len = unpack_u64(fields);
	struct str bytes = unpack_str(fields);
	struct strbuf plain = { 0 };
	msgpack_unpacked unpacked;
	struct unpack inner = { 0 };
	struct delta *delta;

	msgpack_unpacked_init(&unpacked);
	if (fields->bad || plain_len > DELTA_PLAIN_MAX_BYTES ||
	    plain_len / DEFLATE_RATIO_MAX > bytes.len || !inflate_str(bytes, plain_len, &plain) ||
	    !unpack_open(strbuf_str(&plain), &unpacked, &inner))
		inner.bad = true;
	delta = unpack_plain_delta(&inner);
	if (!inner.bad)
		keep_encoding(delta, bytes, plain_len);
	fields->bad |= inner.bad;
	msgpack_unpacked_destroy(&unpacked);
	strbuf_clear(&plain);
	return delta;
}

struct delta *unpack_delta(struct unpack *in)
{
	struct unpack inner = unpack_inner(in);
	struct delta *delta = inner.remaining == DELTA_COMPRESSED_ITEMS
				      ? unpack_compressed_delta(&inner)
				      : unpack_plain_delta(&inner);

	in->bad |= inner.bad;
	return delta;
}

void unpack_move_state(struct unpack *in, struct move_state *state)
{
	struct unpack inner = unpack_inner(in);

	state->id = unpack_u64(&inner);
	state->step = (uint8_t)unpack_int(&inner, MOVE_STEPS);
	state->done_at_us = unpack_i64(&inner);
	state->withdrawn_at_us = unpack_i64(&inner);
	state->reason = unpack_int(&inner, WITHDRAW_LATENCY);
	state->route = unpack_label(&inner);
	state->recheck_at_us = unpack_i64(&inner);
	state->from = unpack_label(&inner);
	in->bad |= inner.bad;
}

void unpack_claim_op(struct unpack *in, struct claim_op *op)
{
	struct unpack inner = unpack_inner(in);

	op->key.high = unpack_u64(&inner);
	op->key.low = unpack_u64(&inner);
	op->claim = unpack_u64(&inner);
	op->kind = unpack_int(&inner, CLAIM_RELEASE);
	op->status = unpack_int(&inner, 999);
	in->bad |= inner.bad;
}

static void unpack_file(struct unpack *in, GPtrArray *files)
{
	struct unpack inner = unpack_inner(in);
	struct label name = unpack_label(&inner);
	int64_t version = unpack_i64(&inner);
	struct change *change = unpack_change(&inner);
	struct accepted_file *file;
	struct unpack ids;

	if (!change) {
		in->bad = true;
		return;
	}
	file = accepted_file_new(name, version, change);
	change_unref(change);
	g_ptr_array_add(files, file);
	ids = unpack_inner(&inner);
	while (ids.remaining && !ids.bad) {
		uint64_t id = unpack_u64(&ids);

		g_array_append_val(file->move_ids, id);
	}
	in->bad |= inner.bad || ids.bad;
}

void unpack_snapshot(struct unpack *in, struct snapshot_part *part)
{
	struct unpack inner = unpack_inner(in);
	struct unpack list;

	part->version = unpack_i64(&inner);
	part->accepted = unpack_i64(&inner);
	part->written_at_us = unpack_i64(&inner);
	part->index = unpack_int(&inner, ARRAY_ITEMS_MAX);
	part->count = unpack_int(&inner, ARRAY_ITEMS_MAX);
	part->files = g_ptr_array_new_with_free_func((GDestroyNotify)accepted_file_free);
	part->states = g_array_new(FALSE, TRUE, sizeof(struct move_state));
	list = unpack_inner(&inner);
	while (list.remaining && !list.bad)
		unpack_file(&list, part->files);
	inner.bad |= list.bad;
	list = unpack_inner(&inner);
	while (list.remaining && !list.bad) {
		struct move_state state = { 0 };

		unpack_move_state(&list, &state);
		g_array_append_val(part->states, state);
	}
	in->bad |= inner.bad || list.bad;
}
