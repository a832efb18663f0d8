/* Tests of the order in which a link sends its frames, without sockets. */
#include "regress/lib/check.h"

#include <string.h>

#include "peer/schedule.h"

enum { LARGE = 64 << 10, FRAMES_MAX = 64, REST_BYTES = 100 };

static struct schedule schedule;
static char body[LARGE];
static struct body_sum sums[8]; /* of each stream's body */

static int set_up(void **state)
{
	(void)state;
	schedule_init(&schedule);
	memset(sums, 0, sizeof(sums));
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	schedule_clear(&schedule);
	return 0;
}

static void add(struct strbuf *frames, bool open)
{
	schedule_add(&schedule, strbuf_str(frames), open);
	strbuf_clear(frames);
}

static void add_frame(enum frame_kind kind, uint64_t stream)
{
	struct strbuf frames = { 0 };

	wire_put(&frames, kind, stream, STR(""));
	add(&frames, true);
}

static void put_request(struct strbuf *frames, uint64_t stream)
{
	struct request_head head = { .method = STR("POST"), .target = STR("/") };

	wire_put_request(frames, stream, &head);
}

static void put_body(struct strbuf *frames, uint64_t stream, size_t bytes, bool ends)
{
	wire_put_data(frames, stream, &sums[stream], (struct str){ body, bytes });
	if (ends)
		wire_put_end(frames, stream, &sums[stream]);
}

static void add_body(uint64_t stream, size_t bytes, bool ends)
{
	struct strbuf frames = { 0 };

	put_body(&frames, stream, bytes, ends);
	add(&frames, true);
}

static void add_request(uint64_t stream, size_t bytes)
{
	struct strbuf frames = { 0 };

	put_request(&frames, stream);
	put_body(&frames, stream, bytes, true);
	add(&frames, true);
}

/* Takes all pieces and returns their frames as a text: a letter for the kind, then the stream. */
static char *take_all(void)
{
	static const char letters[FRAME_KINDS] = "HMQARDECWPO";
	GString *text = g_string_new("");
	struct strbuf bytes = { 0 };
	struct str remaining;
	struct piece piece;
	struct frame frame;
	size_t used;

	while (schedule_take(&schedule, &piece)) {
		strbuf_add(&bytes, strbuf_str(&piece.bytes));
		strbuf_clear(&piece.bytes);
	}
	remaining = strbuf_str(&bytes);
	while (wire_read_frame(remaining, &frame, &used) == WIRE_FRAME) {
		g_string_append_printf(text, "%c%d ", letters[frame.kind], (int)frame.stream);
		remaining = str_sub(remaining, used, remaining.len);
	}
	assert_int_equal(remaining.len, 0);
	assert_int_equal(schedule_bytes(&schedule), 0);
	strbuf_clear(&bytes);
	return g_string_free(text, FALSE);
}

static void expect_order(const char *expected)
{
	char *order = take_all();

	assert_string_equal(order, expected);
	g_free(order);
}

/* A heartbeat and the heads of other calls waited until a large body had gone. */
static void test_heads_go_before_a_large_body(void **state)
{
	(void)state;
	add_request(1, 40 << 10);
	add_frame(FRAME_PING, 0);
	add_request(2, 100);
	expect_order("Q1 P0 Q2 D2 E2 D1 D1 D1 E1 ");
}

/* A body of several streams' bytes that one stream occupies delays the others by all of it. */
static void test_large_bodies_take_turns(void **state)
{
	(void)state;
	add_body(1, 48 << 10, true);
	add_body(2, 32 << 10, false);
	add_body(3, 17 << 10, true);
	expect_order("D1 D2 D3 D1 D2 D3 D1 E3 E1 ");
}

/* The end of a body, or a small part behind a large one, overtook what was before it. */
static void test_parts_of_a_body_keep_their_order(void **state)
{
	(void)state;
	add_body(1, 20 << 10, false);
	add_body(1, 10, false);
	add_body(1, 0, true);
	expect_order("D1 D1 D1 E1 ");
	add_body(2, 10 << 10, false);
	add_body(2, 10 << 10, false);
	add_body(2, 0, true);
	expect_order("D2 D2 E2 ");
}

/* A request whose CANCEL went ahead ran, although its caller had left. */
static void test_cancel_follows_its_request_and_drops_its_body(void **state)
{
	(void)state;
	add_request(1, LARGE);
	add_request(2, LARGE);
	add_frame(FRAME_CANCEL, 1);
	expect_order("Q1 Q2 C1 D2 D2 D2 D2 E2 ");
}

/* A worker that still had bytes of a cancelled upload queued them for the node that had dropped the
 * stream. */
static void test_parts_of_an_ended_stream_are_dropped(void **state)
{
	struct strbuf frames = { 0 };

	(void)state;
	put_body(&frames, 1, LARGE, true);
	add(&frames, false);
	expect_order("");
}

/* Once a part of a frame is on its way, all of it must follow: anything between breaks the link. */
static void test_rest_of_a_frame_precedes_all(void **state)
{
	struct piece piece;
	struct frame frame;
	size_t used;

	(void)state;
	add_body(1, LARGE, true);
	assert_true(schedule_take(&schedule, &piece));
	assert_int_equal(piece.kind, PIECE_BULK);
	schedule_put_back(&schedule, &piece, piece.bytes.len - REST_BYTES);
	add_frame(FRAME_CANCEL, 1);
	assert_true(schedule_take(&schedule, &piece));
	assert_int_equal(piece.bytes.len, REST_BYTES);
	strbuf_clear(&piece.bytes);
	assert_true(schedule_take(&schedule, &piece));
	assert_int_equal(wire_read_frame(strbuf_str(&piece.bytes), &frame, &used), WIRE_FRAME);
	assert_int_equal(frame.kind, FRAME_CANCEL);
	strbuf_clear(&piece.bytes);
	assert_false(schedule_take(&schedule, &piece));
}

/* The verdict of a lost request depends on whether its whole head was taken: bytes that were put
 * back count as not taken, and bodies do not count. */
static void test_heads_put_back_count_as_not_taken(void **state)
{
	struct piece piece;
	uint64_t head_end;

	(void)state;
	add_request(1, LARGE);
	head_end = schedule.queued;
	assert_true(schedule_take(&schedule, &piece));
	assert_int_equal(schedule.taken, head_end);
	schedule_put_back(&schedule, &piece, 1);
	assert_int_equal(schedule.taken, 1);
	add_frame(FRAME_PING, 0);
	while (schedule_take(&schedule, &piece))
		strbuf_clear(&piece.bytes);
	assert_int_equal(schedule.taken, schedule.queued);
	assert_int_equal(schedule.queued, head_end + FRAME_HEADER_BYTES);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_heads_go_before_a_large_body, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_large_bodies_take_turns, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_parts_of_a_body_keep_their_order, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_cancel_follows_its_request_and_drops_its_body,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_parts_of_an_ended_stream_are_dropped, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_rest_of_a_frame_precedes_all, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_heads_put_back_count_as_not_taken, set_up,
						tear_down),
	};

	return cmocka_run_group_tests_name("peer/schedule", tests, NULL, NULL);
}
