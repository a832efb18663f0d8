/* A node whose line is full of bytes of one peer took another peer for dead: its bytes waited
 * behind them for longer than a link may be silent. Calls on the closed link got 502. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/member.h"
#include "peer/peers.h"

enum {
	LOOPBACK = 0x7f000001,
	FLEET = 7,
	LINE_MBPS = 8,
	LINE_BYTES_PER_MS = LINE_MBPS * 1000 / 8,
	STEP_MS = 20,
	TICK_MS = 100,
	FILLED_MS = 1000, /* the line is full for this long before the call */
	NEVER = 1 << 20,
};

struct call {
	struct stream_owner base; /* must be first: events point to it */
	struct stream stream;
	gint ended;
	gint lost;
};

/* A peer of which the test plays the other side. */
struct raw_peer {
	struct call call;
	struct body_sum sum; /* of its answer */
	int fd;
};

static apr_pool_t *pool;
static struct workers *workers;
static struct line *line;
static struct peers *peers;
static struct raw_peer raw_peers[8]; /* events of a closed link come after its play */
static int raw_peer_count;

static void on_peer(void *context, struct peer_event *event)
{
	struct call *call = (struct call *)event->owner;

	(void)context;
	if (event->kind == PEER_END)
		g_atomic_int_set(&call->ended, 1);
	else if (event->kind == PEER_LOST)
		g_atomic_int_set(&call->lost, 1);
}

static void on_work(void *context, const struct work *work, int ready)
{
	(void)context;
	(void)ready;
	if (work->kind == WORK_LINK_READ)
		peers_on_link_read(peers, work->data);
	else if (work->kind == WORK_LINK_WRITE)
		peers_on_link_write(peers, work->data);
}

static int set_up(void **state)
{
	struct workers_options pool_options = { .threads = 2, .queue_max = 16, .handle = on_work };
	struct peers_options options = { .self = member_id(LOOPBACK, 0),
					 .fleet = FLEET,
					 .ranges = { { LOOPBACK, 8 } },
					 .range_count = 1,
					 .handle = on_peer };

	(void)state;
	memset(raw_peers, 0, sizeof(raw_peers));
	raw_peer_count = 0;
	apr_pool_create(&pool, NULL);
	workers = workers_new(&pool_options, pool, NULL);
	line = line_new(LINE_MBPS, pool);
	options.workers = workers;
	options.line = line;
	peers = peers_new(&options, pool, NULL);
	assert_non_null(peers);
	assert_true(workers_start(workers, NULL));
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	workers_stop(workers);
	peers_free(peers);
	line_free(line);
	workers_free(workers);
	apr_pool_destroy(pool);
	return 0;
}

/* Calls a peer over a new link and accepts that. */
static struct raw_peer *call_peer(void)
{
	struct raw_peer *peer = &raw_peers[raw_peer_count++];
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl(LOOPBACK) };
	struct request_head head = { .method = STR("GET"), .target = STR("/") };
	int listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	socklen_t len = sizeof(address);
	struct str empty = STR("");

	peer->call.base.refs = 2;
	assert_int_equal(bind(listen_fd, (struct sockaddr *)&address, sizeof(address)), 0);
	assert_int_equal(listen(listen_fd, 1), 0);
	getsockname(listen_fd, (struct sockaddr *)&address, &len);
	assert_true(peers_call(peers, member_id(LOOPBACK, ntohs(address.sin_port)),
			       &peer->call.base, &head, &empty, &peer->call.stream));
	peer->fd = accept(listen_fd, NULL, NULL);
	close(listen_fd);
	return peer;
}

static void send_frames(const struct raw_peer *peer, struct strbuf *frames)
{
	assert_int_equal(send(peer->fd, frames->data, frames->len, MSG_NOSIGNAL), frames->len);
	strbuf_clear(frames);
}

static void send_answer_head(const struct raw_peer *peer)
{
	struct response_head head = { .status = 200, .body_length = -1 };
	struct strbuf frames = { 0 };

	wire_put_response(&frames, peer->call.stream.id, &head);
	send_frames(peer, &frames);
}

static void send_answer_part(struct raw_peer *peer, size_t bytes)
{
	struct strbuf frames = { 0 };
	char *part = g_malloc0(bytes);

	wire_put_data(&frames, peer->call.stream.id, &peer->sum, (struct str){ part, bytes });
	send_frames(peer, &frames);
	g_free(part);
}

static void send_answer_end(struct raw_peer *peer)
{
	struct strbuf frames = { 0 };

	wire_put_end(&frames, peer->call.stream.id, &peer->sum);
	send_frames(peer, &frames);
}

/* Lets a step pass, in which the filling peer, if any, sends what the line carries. */
static void pass_step(struct raw_peer *filling, int64_t *tick_at_us)
{
	struct instant now = clock_now();

	if (filling)
		send_answer_part(filling, STEP_MS * LINE_BYTES_PER_MS);
	if (now.mono_us >= *tick_at_us) {
		*tick_at_us = now.mono_us + TICK_MS * US_PER_MS;
		peers_tick(peers, now);
	}
	g_usleep(STEP_MS * 1000);
}

/* Plays a call to a peer whose first byte comes after @p silent_ms. Returns after how many
 * milliseconds its link was closed, or 0 if the call was answered. */
static int64_t play_call(bool line_is_full, int silent_ms)
{
	int64_t tick_at_us = 0;
	struct raw_peer *filling = call_peer();
	struct raw_peer *called;
	int64_t start_us;
	int64_t ms = 0;

	send_answer_head(filling);
	for (int i = 0; line_is_full && i < FILLED_MS / STEP_MS; i++)
		pass_step(filling, &tick_at_us);
	called = call_peer();
	start_us = clock_now().mono_us;
	while (!g_atomic_int_get(&called->call.lost) && !g_atomic_int_get(&called->call.ended)) {
		if (!line_is_full)
			send_answer_part(filling, 1);
		pass_step(line_is_full ? filling : NULL, &tick_at_us);
		ms = (clock_now().mono_us - start_us) / US_PER_MS;
		if (ms >= silent_ms && called->sum.length == 0) {
			send_answer_head(called);
			send_answer_part(called, 1);
			send_answer_end(called);
		}
	}
	assert_false(g_atomic_int_get(&filling->call.lost));
	close(called->fd);
	close(filling->fd);
	link_unref(called->call.stream.link);
	link_unref(filling->call.stream.link);
	return g_atomic_int_get(&called->call.ended) ? 0 : ms;
}

static void test_full_line_is_no_silence(void **state)
{
	(void)state;
	assert_int_equal(play_call(true, 700), 0);
	assert_int_equal(play_call(true, 1100), 0);
	assert_int_equal(play_call(true, 1500), 0);
}

/* Another node has the call in time only if a dead one is left soon. */
static void test_silent_peer_is_left_in_time(void **state)
{
	enum { SILENT_MS = 600, SILENT_BEHIND_BYTES_MS = 2000, LATE_MS = 5 * TICK_MS };

	(void)state;
	assert_in_range(play_call(false, NEVER), SILENT_MS, SILENT_MS + LATE_MS);
	assert_in_range(play_call(true, NEVER), SILENT_MS, SILENT_BEHIND_BYTES_MS + LATE_MS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_full_line_is_no_silence, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_silent_peer_is_left_in_time, set_up,
						tear_down),
	};

	apr_initialize();
	return cmocka_run_group_tests_name("peer/full_line", tests, NULL, NULL);
}
