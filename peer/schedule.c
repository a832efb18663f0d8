#include "peer/schedule.h"

/* Frames of one stream's large body. */
struct bulk {
	uint64_t stream;
	struct strbuf frames;
	size_t taken; /* bytes at the front of frames that were taken */
};

static void bulk_free(gpointer data)
{
	struct bulk *bulk = data;

	strbuf_clear(&bulk->frames);
	g_free(bulk);
}

void schedule_init(struct schedule *schedule)
{
	*schedule = (struct schedule){ 0 };
	g_queue_init(&schedule->turns);
	schedule->bulk = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, bulk_free);
}

void schedule_clear(struct schedule *schedule)
{
	g_queue_clear(&schedule->turns);
	g_hash_table_destroy(schedule->bulk);
	strbuf_clear(&schedule->rest);
	strbuf_clear(&schedule->urgent);
}

static bool is_body_part(enum frame_kind kind)
{
	return kind == FRAME_DATA || kind == FRAME_END;
}

/* Returns where in its body the last DATA frame ends; 0 if there is none. */
static uint64_t body_end(struct str frames)
{
	struct frame frame;
	uint64_t end = 0;
	size_t used;

	while (wire_read_frame(frames, &frame, &used) == WIRE_FRAME) {
		uint64_t offset;

		if (frame.kind == FRAME_DATA && wire_read_u64(&frame.payload, &offset))
			end = offset + frame.payload.len;
		frames = str_sub(frames, used, frames.len);
	}
	return end;
}

static void add_urgent(struct schedule *schedule, struct str frame)
{
	strbuf_add(&schedule->urgent, frame);
	schedule->queued += frame.len;
}

static void add_bulk(struct schedule *schedule, uint64_t stream, struct str frame)
{
	struct bulk *bulk = g_hash_table_lookup(schedule->bulk, &stream);

	if (!bulk) {
		bulk = g_new0(struct bulk, 1);
		bulk->stream = stream;
		g_hash_table_insert(schedule->bulk, &bulk->stream, bulk);
		g_queue_push_tail(&schedule->turns, bulk);
	}
	strbuf_add(&bulk->frames, frame);
	schedule->bulk_bytes += frame.len;
}

bool schedule_add(struct schedule *schedule, struct str frames, bool open)
{
	bool small = body_end(frames) <= SMALL_DATA_BYTES;
	bool has_body = false;
	struct frame frame;
	size_t used;

	while (wire_read_frame(frames, &frame, &used) == WIRE_FRAME) {
		struct str whole = str_sub(frames, 0, used);
		bool body_part = is_body_part(frame.kind);

		has_body |= body_part;
		if (frame.kind == FRAME_CANCEL)
			schedule_drop(schedule, frame.stream);
		/* A part follows those before it, wherever they wait. */
		if (!body_part ||
		    (open && small && !g_hash_table_contains(schedule->bulk, &frame.stream)))
			add_urgent(schedule, whole);
		else if (open)
			add_bulk(schedule, frame.stream, whole);
		frames = str_sub(frames, used, frames.len);
	}
	return has_body;
}

/* Removes a stream that waits for its turn. */
static void remove_bulk(struct schedule *schedule, struct bulk *bulk)
{
	schedule->bulk_bytes -= bulk->frames.len - bulk->taken;
	g_queue_remove(&schedule->turns, bulk);
	g_hash_table_remove(schedule->bulk, &bulk->stream);
}

void schedule_drop(struct schedule *schedule, uint64_t stream)
{
	struct bulk *bulk = g_hash_table_lookup(schedule->bulk, &stream);

	if (bulk)
		remove_bulk(schedule, bulk);
}

/* Takes the next frame of the stream whose turn it is. */
static bool take_bulk(struct schedule *schedule, struct strbuf *bytes)
{
	struct bulk *bulk = g_queue_pop_head(&schedule->turns);
	struct frame frame;
	struct str remaining;
	size_t used = 0;

	if (!bulk)
		return false;
	remaining = str_sub(strbuf_str(&bulk->frames), bulk->taken, bulk->frames.len);
	if (wire_read_frame(remaining, &frame, &used) != WIRE_FRAME)
		g_assert_not_reached();
	strbuf_add(bytes, str_sub(remaining, 0, used));
	bulk->taken += used;
	schedule->bulk_bytes -= used;
	g_queue_push_tail(&schedule->turns, bulk);
	if (bulk->taken == bulk->frames.len)
		remove_bulk(schedule, bulk);
	return true;
}

bool schedule_take(struct schedule *schedule, struct piece *piece)
{
	*piece = (struct piece){ .kind = PIECE_BULK };
	if (schedule->rest.len) {
		piece->bytes = schedule->rest;
		schedule->rest = (struct strbuf){ 0 };
		return true;
	}
	if (schedule->urgent.len == 0)
		return take_bulk(schedule, &piece->bytes);
	piece->kind = PIECE_URGENT;
	piece->bytes = schedule->urgent;
	schedule->urgent = (struct strbuf){ 0 };
	schedule->taken += piece->bytes.len;
	return true;
}

void schedule_put_back(struct schedule *schedule, struct piece *piece, size_t sent)
{
	strbuf_consume(&piece->bytes, sent);
	switch (piece->kind) {
	case PIECE_URGENT:
		/* Before what was queued in the meantime. */
		schedule->taken -= piece->bytes.len;
		strbuf_add(&piece->bytes, strbuf_str(&schedule->urgent));
		strbuf_clear(&schedule->urgent);
		schedule->urgent = piece->bytes;
		break;
	case PIECE_BULK:
		schedule->rest = piece->bytes;
		break;
	}
	piece->bytes = (struct strbuf){ 0 };
}

size_t schedule_bytes(const struct schedule *schedule)
{
	return schedule->rest.len + schedule->urgent.len + schedule->bulk_bytes;
}
