#include "peer/wire.h"

#include <glib.h>
#include <string.h>

#include "peer/pack.h"

struct decoded_head {
	msgpack_unpacked unpacked;
};

static void put_be(char *buffer, uint64_t value, int bytes)
{
	for (int i = bytes; i-- > 0; value >>= 8)
		buffer[i] = (char)(value & 0xff);
}

static uint64_t get_be(const char *buffer, int bytes)
{
	uint64_t value = 0;

	for (int i = 0; i < bytes; i++)
		value = value << 8 | (unsigned char)buffer[i];
	return value;
}

/* Bytes: length 4, kind 1, flags 1, key id 2, stream 8, authenticator 8. */
static void put_header(struct strbuf *out, enum frame_kind kind, uint64_t stream, size_t length)
{
	char header[FRAME_HEADER_BYTES] = { 0 };

	put_be(header, length, 4);
	header[4] = (char)kind;
	put_be(header + 8, stream, 8);
	strbuf_add(out, (struct str){ header, sizeof(header) });
}

void wire_put(struct strbuf *out, enum frame_kind kind, uint64_t stream, struct str payload)
{
	put_header(out, kind, stream, payload.len);
	strbuf_add(out, payload);
}

void wire_put_tagged(struct strbuf *out, enum frame_kind kind, uint64_t stream, uint64_t fleet,
		     struct str payload)
{
	size_t start = out->len;

	wire_put(out, kind, stream, payload);
	put_be(out->data + start + 16, fleet, 8);
}

enum wire_result wire_read_frame(struct str bytes, struct frame *frame, size_t *used)
{
	uint64_t length;

	if (bytes.len < FRAME_HEADER_BYTES)
		return WIRE_INCOMPLETE;
	length = get_be(bytes.data, 4);
	if (length > FRAME_PAYLOAD_MAX || (unsigned char)bytes.data[4] >= FRAME_KINDS)
		return WIRE_INVALID;
	if (bytes.len < FRAME_HEADER_BYTES + length)
		return WIRE_INCOMPLETE;
	frame->kind = (enum frame_kind)bytes.data[4];
	frame->stream = get_be(bytes.data + 8, 8);
	frame->fleet = get_be(bytes.data + 16, 8);
	frame->payload = str_sub(bytes, FRAME_HEADER_BYTES, length);
	*used = FRAME_HEADER_BYTES + length;
	return WIRE_FRAME;
}

void wire_put_u64(struct strbuf *out, uint64_t value)
{
	char bytes[8];

	put_be(bytes, value, 8);
	strbuf_add(out, (struct str){ bytes, sizeof(bytes) });
}

bool wire_read_u64(struct str *in, uint64_t *value)
{
	if (in->len < 8)
		return false;
	*value = get_be(in->data, 8);
	*in = str_sub(*in, 8, in->len);
	return true;
}

static void pack_fields(msgpack_packer *out, const struct field *fields, int count)
{
	msgpack_pack_array(out, (size_t)count * 2);
	for (int i = 0; i < count; i++) {
		pack_str(out, fields[i].name);
		pack_str(out, fields[i].value);
	}
}

/* Starts a frame; close_frame() writes its length when the payload is complete. */
static size_t open_frame(struct strbuf *out, enum frame_kind kind, uint64_t stream)
{
	put_header(out, kind, stream, 0);
	return out->len;
}

static void close_frame(struct strbuf *out, size_t start)
{
	put_be(out->data + start - FRAME_HEADER_BYTES, out->len - start, 4);
}

void wire_put_request(struct strbuf *out, uint64_t stream, const struct request_head *head)
{
	size_t start = open_frame(out, FRAME_REQUEST, stream);
	msgpack_packer packer;

	pack_start(&packer, out);
	msgpack_pack_array(&packer, 18);
	pack_str(&packer, head->method);
	pack_str(&packer, head->target);
	pack_label(&packer, &head->route);
	pack_label(&packer, &head->service);
	pack_label(&packer, &head->tenant);
	msgpack_pack_int(&packer, head->class);
	msgpack_pack_int(&packer, head->idempotent);
	msgpack_pack_int(&packer, head->concurrency_percent);
	msgpack_pack_int64(&packer, head->remaining_us);
	msgpack_pack_int64(&packer, head->objective_remaining_us);
	msgpack_pack_int(&packer, head->has_objective);
	msgpack_pack_int(&packer, head->may_queue);
	msgpack_pack_int(&packer, head->retried);
	msgpack_pack_int64(&packer, head->body_length);
	msgpack_pack_uint64(&packer, head->fingerprint);
	msgpack_pack_int(&packer, head->hops);
	pack_fields(&packer, head->fields, head->field_count);
	msgpack_pack_int(&packer, head->body_waits);
	close_frame(out, start);
}

void wire_put_response(struct strbuf *out, uint64_t stream, const struct response_head *head)
{
	size_t start = open_frame(out, FRAME_RESPONSE, stream);
	msgpack_packer packer;

	pack_start(&packer, out);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_int(&packer, head->status);
	msgpack_pack_int64(&packer, head->body_length);
	pack_fields(&packer, head->fields, head->field_count);
	close_frame(out, start);
}

void wire_put_refusal(struct strbuf *out, uint64_t stream, const struct refusal *refusal)
{
	size_t start = open_frame(out, FRAME_REFUSED, stream);
	msgpack_packer packer;

	pack_start(&packer, out);
	msgpack_pack_array(&packer, 5);
	msgpack_pack_int(&packer, refusal->kind);
	msgpack_pack_int(&packer, refusal->verdict);
	pack_str(&packer, refusal->reason);
	msgpack_pack_int64(&packer, refusal->expected_us);
	msgpack_pack_int(&packer, refusal->target_reached);
	close_frame(out, start);
}

void body_sum_add(struct body_sum *sum, struct str bytes)
{
	sum->length += bytes.len;
	sum->checksum = str_hash(bytes, sum->checksum);
}

void wire_put_data(struct strbuf *out, uint64_t stream, struct body_sum *sum, struct str bytes)
{
	while (bytes.len) {
		struct str chunk = str_sub(bytes, 0, FRAME_DATA_MAX);

		put_header(out, FRAME_DATA, stream, chunk.len + 8);
		wire_put_u64(out, sum->length);
		strbuf_add(out, chunk);
		body_sum_add(sum, chunk);
		bytes = str_sub(bytes, chunk.len, bytes.len);
	}
}

void wire_put_end(struct strbuf *out, uint64_t stream, const struct body_sum *sum)
{
	put_header(out, FRAME_END, stream, 16);
	wire_put_u64(out, sum->length);
	wire_put_u64(out, sum->checksum);
}

static bool begin_unpack(struct str payload, struct unpack *in, struct decoded_head **storage)
{
	*storage = g_new0(struct decoded_head, 1);
	return unpack_open(payload, &(*storage)->unpacked, in);
}

static bool end_unpack(const struct unpack *in, struct decoded_head **storage)
{
	if (!in->bad)
		return true;
	decoded_head_free(*storage);
	*storage = NULL;
	return false;
}

static int unpack_fields(struct unpack *in, struct field *fields)
{
	struct unpack list = unpack_inner(in);
	int count = 0;

	if (list.remaining > 2 * FIELDS_MAX)
		list.bad = true;
	while (list.remaining && !list.bad) {
		fields[count].name = unpack_str(&list);
		fields[count].value = unpack_str(&list);
		count++;
	}
	in->bad |= list.bad;
	return count;
}

bool wire_get_request(struct str payload, struct request_head *head, struct decoded_head **storage)
{
	struct unpack in = { .bad = true };

	if (begin_unpack(payload, &in, storage)) {
		head->method = unpack_str(&in);
		head->target = unpack_str(&in);
		head->route = unpack_label(&in);
		head->service = unpack_label(&in);
		head->tenant = unpack_label(&in);
		head->class = unpack_int(&in, INT32_MAX);
		head->idempotent = unpack_int(&in, 1) != 0;
		head->concurrency_percent = unpack_int(&in, 100);
		head->remaining_us = unpack_i64(&in);
		head->objective_remaining_us = unpack_i64(&in);
		head->has_objective = unpack_int(&in, 1) != 0;
		head->may_queue = unpack_int(&in, 1) != 0;
		head->retried = unpack_int(&in, 1) != 0;
		head->body_length = unpack_i64(&in);
		head->fingerprint = unpack_u64(&in);
		head->hops = unpack_int(&in, INT16_MAX);
		head->field_count = unpack_fields(&in, head->fields);
		/* Absent from older nodes, which send the body at once. */
		head->body_waits = in.remaining && unpack_int(&in, 1);
	}
	return end_unpack(&in, storage);
}

bool wire_get_response(struct str payload, struct response_head *head,
		       struct decoded_head **storage)
{
	struct unpack in = { .bad = true };

	if (begin_unpack(payload, &in, storage)) {
		head->status = unpack_int(&in, 999);
		head->body_length = unpack_i64(&in);
		head->field_count = unpack_fields(&in, head->fields);
	}
	return end_unpack(&in, storage);
}

bool wire_get_refusal(struct str payload, struct refusal *refusal, struct decoded_head **storage)
{
	struct unpack in = { .bad = true };

	if (begin_unpack(payload, &in, storage)) {
		refusal->kind = (enum refusal_kind)unpack_int(&in, REFUSAL_BROKEN);
		refusal->verdict = (enum verdict)unpack_int(&in, VERDICT_RAN);
		refusal->reason = unpack_str(&in);
		refusal->expected_us = unpack_i64(&in);
		refusal->target_reached = unpack_int(&in, 1) != 0;
	}
	return end_unpack(&in, storage);
}

void decoded_head_free(struct decoded_head *storage)
{
	if (!storage)
		return;
	msgpack_unpacked_destroy(&storage->unpacked);
	g_free(storage);
}
