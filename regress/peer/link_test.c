/* Tests of links: verdicts of lost streams, and frames of a peer that breaks the protocol. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/member.h"
#include "peer/link.h"

enum {
	LOOPBACK = 0x7f000001,
	FLEET = 7,
	RACES = 4000,
	CLOSE_WAIT_MS = 3000,
	QUEUE_MAX = 8,
	REQUESTS = 80
};

struct owner {
	struct stream_owner base; /* must be first: events point to it */
	gint lost;
	enum verdict verdict;
	uint64_t call_when_lost; /* member that is called again at once; 0: none */
	bool called;
	gint granted; /* bytes */
};

static apr_pool_t *pool;
static struct workers *workers;
static struct peers *peers;
static struct owner accepted;
static bool admits; /* accepted requests get a slot at once */
static gint runs;   /* admitted requests that were run */

static struct request_head request_head(void)
{
	return (struct request_head){ .method = STR("POST"), .target = STR("/") };
}

static void call_again(struct owner *owner)
{
	struct request_head head = request_head();
	struct stream stream;

	owner->called =
		peers_call(peers, owner->call_when_lost, &accepted.base, &head, NULL, &stream);
	if (owner->called)
		link_unref(stream.link);
}

static void on_peer(void *context, struct peer_event *event)
{
	struct owner *owner = (struct owner *)event->owner;

	(void)context;
	if (event->kind == PEER_REQUEST) {
		g_atomic_int_inc(&accepted.base.refs);
		event->request.owner = &accepted.base;
	} else if (event->kind == PEER_ADMIT) {
		event->wants_run = admits;
	} else if (event->kind == PEER_RUN) {
		g_atomic_int_inc(&runs);
	} else if (event->kind == PEER_LOST) {
		owner->verdict = event->verdict;
		if (owner->call_when_lost)
			call_again(owner);
		g_atomic_int_set(&owner->lost, 1);
	} else if (event->kind == PEER_WINDOW) {
		g_atomic_int_add(&owner->granted, (gint)event->consumed);
	} else if (event->kind == PEER_RELEASED) {
		g_atomic_int_add(&owner->base.refs, -1);
	}
}

static void on_work(void *context, const struct work *work, int ready)
{
	(void)context;
	(void)ready;
	if (work->kind == WORK_PEER_LISTEN)
		peers_on_listen(peers);
	else if (work->kind == WORK_LINK_READ)
		peers_on_link_read(peers, work->data);
	else if (work->kind == WORK_LINK_WRITE)
		peers_on_link_write(peers, work->data);
	else if (work->kind == WORK_INBOUND)
		g_atomic_int_inc(&runs);
}

static int set_up(void **state)
{
	struct workers_options pool_options = { .threads = 2,
						.queue_max = QUEUE_MAX,
						.handle = on_work };
	struct peers_options options = { .self = member_id(LOOPBACK, 0),
					 .fleet = FLEET,
					 .ranges = { { LOOPBACK, 8 } },
					 .range_count = 1,
					 .handle = on_peer };

	(void)state;
	accepted = (struct owner){ .base.refs = 1 };
	admits = false;
	runs = 0;
	apr_pool_create(&pool, NULL);
	workers = workers_new(&pool_options, pool, NULL);
	options.workers = workers;
	peers = peers_new(&options, pool, NULL);
	assert_non_null(peers);
	peers_start(peers);
	assert_true(workers_start(workers, NULL));
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	workers_stop(workers);
	peers_free(peers);
	workers_free(workers);
	apr_pool_destroy(pool);
	return 0;
}

struct race {
	struct link *link;
	gint ready;
};

static gpointer close_link(gpointer data)
{
	struct race *race = data;

	while (!g_atomic_int_get(&race->ready))
		;
	link_close(race->link);
	return NULL;
}

/* Returns whether the peer received a complete request. */
static bool received_request(int fd)
{
	char bytes[4096];
	ssize_t n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
	struct frame frame;
	size_t used;

	return n > 0 &&
	       wire_read_frame((struct str){ bytes, (size_t)n }, &frame, &used) == WIRE_FRAME;
}

/*
 * A worker closes the link while another one has written a request but not yet counted its bytes.
 * The request counted as not sent, was offered to another node, and ran twice.
 */
static void test_request_that_was_sent_may_have_run(void **state)
{
	(void)state;
	for (int i = 0; i < RACES; i++) {
		struct owner owner = { .base.refs = 1 };
		struct request_head head = request_head();
		struct race race = { 0 };
		struct stream stream = { 0 };
		GThread *thread;
		int fds[2];

		assert_int_equal(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, fds), 0);
		race.link = link_new(peers, fds[0], true, LINK_OPEN);
		thread = g_thread_new("close", close_link, &race);
		g_atomic_int_set(&race.ready, 1);
		for (int spin = 0; spin < i % 64 * 8; spin++)
			g_atomic_int_get(&race.ready);
		link_open(race.link, &owner.base, &head, NULL, &stream);
		g_thread_join(thread);
		if (g_atomic_int_get(&owner.lost) && owner.verdict == VERDICT_NOT_RUN &&
		    received_request(fds[1]))
			fail_msg("race %d: a request that was sent counts as not run", i);
		link_unref(stream.link);
		link_unref(race.link);
		close(fds[1]);
	}
}

static gpointer send_data(gpointer data)
{
	struct stream *stream = data;
	struct strbuf frames = { 0 };
	struct body_sum sum = { 0 };

	while (!g_atomic_pointer_get(&stream->link))
		;
	wire_put_data(&frames, stream->id, &sum, STR("body"));
	stream_send(*stream, &frames);
	strbuf_clear(&frames);
	return NULL;
}

/* A worker that forwards an upload sends on a stream that another one is opening: data that went
 * ahead of its request was dropped by the target's node, which then closed the link. */
static void test_data_follows_its_request(void **state)
{
	(void)state;
	for (int i = 0; i < RACES; i++) {
		struct owner owner = { .base.refs = 1 };
		struct request_head head = request_head();
		struct stream stream = { 0 };
		struct link *link;
		GThread *thread;
		struct frame frame;
		char bytes[4096];
		ssize_t n;
		size_t used;
		int fds[2];

		assert_int_equal(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, fds), 0);
		link = link_new(peers, fds[0], true, LINK_OPEN);
		thread = g_thread_new("data", send_data, &stream);
		assert_true(link_open(link, &owner.base, &head, NULL, &stream));
		g_thread_join(thread);
		n = recv(fds[1], bytes, sizeof(bytes), 0);
		assert_true(n > 0);
		assert_int_equal(wire_read_frame((struct str){ bytes, (size_t)n }, &frame, &used),
				 WIRE_FRAME);
		if (frame.kind != FRAME_REQUEST)
			fail_msg("race %d: a frame of kind %d came first", i, frame.kind);
		link_close(link);
		link_unref(stream.link);
		link_unref(link);
		close(fds[1]);
	}
}

static int connect_as_node(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(member_port(peers_self(peers))),
				       .sin_addr.s_addr = htonl(LOOPBACK) };
	struct strbuf frames = { 0 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	wire_put_tagged(&frames, FRAME_HELLO, member_id(LOOPBACK, 1), FLEET, STR(""));
	assert_int_equal(send(fd, frames.data, frames.len, 0), frames.len);
	strbuf_clear(&frames);
	return fd;
}

/* A second request with the id of an open stream replaced the first one's entry, whose key was
 * freed with it: the next frame of that stream read freed memory. */
static void test_reused_stream_id_closes_the_link(void **state)
{
	struct request_head head = request_head();
	struct strbuf frames = { 0 };
	int fd = connect_as_node();
	struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
	char byte;

	(void)state;
	wire_put_request(&frames, 5, &head);
	wire_put_request(&frames, 5, &head);
	assert_int_equal(send(fd, frames.data, frames.len, 0), frames.len);
	assert_int_equal(poll(&poll_fd, 1, CLOSE_WAIT_MS), 1);
	assert_true(recv(fd, &byte, 1, 0) <= 0);
	strbuf_clear(&frames);
	close(fd);
}

/* Requests that had a slot were dropped when the pool's queue was full: their slots stayed taken,
 * and their callers waited until the deadline. */
static void test_admitted_requests_run_when_the_queue_is_full(void **state)
{
	struct request_head head = request_head();
	struct strbuf frames = { 0 };
	int fd = connect_as_node();

	(void)state;
	admits = true;
	for (int i = 1; i <= REQUESTS; i++)
		wire_put_request(&frames, (uint64_t)i, &head);
	assert_int_equal(send(fd, frames.data, frames.len, 0), frames.len);
	for (int i = 0; i < 200 && g_atomic_int_get(&runs) < REQUESTS; i++)
		g_usleep(10000);
	assert_int_equal(g_atomic_int_get(&runs), REQUESTS);
	strbuf_clear(&frames);
	close(fd);
}

/* A link whose streams are being lost was given to new calls until it was removed: they found no
 * link to the node, although it accepted a new one. */
static void test_call_while_a_link_closes_gets_a_new_one(void **state)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl(LOOPBACK) };
	socklen_t len = sizeof(address);
	struct request_head head = request_head();
	struct owner owner = { .base.refs = 1 };
	int listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct stream stream;

	(void)state;
	assert_int_equal(bind(listen_fd, (struct sockaddr *)&address, sizeof(address)), 0);
	assert_int_equal(listen(listen_fd, 1), 0);
	getsockname(listen_fd, (struct sockaddr *)&address, &len);
	owner.call_when_lost = member_id(LOOPBACK, ntohs(address.sin_port));
	assert_true(peers_call(peers, owner.call_when_lost, &owner.base, &head, NULL, &stream));
	close(accept(listen_fd, NULL, NULL));
	for (int i = 0; i < 200 && !g_atomic_int_get(&owner.lost); i++)
		g_usleep(10000);
	assert_true(g_atomic_int_get(&owner.lost));
	assert_true(owner.called);
	link_unref(stream.link);
	close(listen_fd);
}

enum { UNTIL_SILENT_MS = 700, UNTIL_SILENT_IN_TRANSIT_MS = 2100 };

/* A link with one call to a raw peer. */
struct lone_call {
	struct owner owner;
	struct stream stream;
	struct link *link;
	int peer_fd;
};

static void open_lone_call(struct lone_call *call)
{
	struct request_head head = request_head();
	int fds[2];

	*call = (struct lone_call){ .owner.base.refs = 1 };
	assert_int_equal(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, fds), 0);
	call->link = link_new(peers, fds[0], true, LINK_OPEN);
	call->peer_fd = fds[1];
	assert_true(link_open(call->link, &call->owner.base, &head, NULL, &call->stream));
}

static void close_lone_call(struct lone_call *call)
{
	link_close(call->link);
	link_unref(call->stream.link);
	link_unref(call->link);
	close(call->peer_fd);
}

/* Returns whether the link counts as silent some time after the node last read from it. */
static bool is_silent_after(struct lone_call *call, int ms)
{
	struct instant later = clock_now();

	later.mono_us += ms * US_PER_MS;
	link_tick(call->link, later);
	return g_atomic_int_get(&call->owner.lost);
}

/* A node that had no processor time for a while found all its links silent, though their bytes
 * waited unread, and closed them in the middle of answers. */
static void test_unread_bytes_are_no_silence(void **state)
{
	struct lone_call call;

	(void)state;
	open_lone_call(&call);
	assert_true(is_silent_after(&call, UNTIL_SILENT_MS));
	close_lone_call(&call);
	open_lone_call(&call);
	assert_int_equal(send(call.peer_fd, "bytes", 5, 0), 5);
	assert_false(is_silent_after(&call, UNTIL_SILENT_MS));
	close_lone_call(&call);
}

static void send_body(struct lone_call *call, size_t bytes)
{
	struct strbuf frames = { 0 };
	struct body_sum sum = { 0 };
	char *body = g_malloc0(bytes);

	wire_put_data(&frames, call->stream.id, &sum, (struct str){ body, bytes });
	stream_send(call->stream, &frames);
	strbuf_clear(&frames);
	g_free(body);
}

/* Heartbeats behind a large body in the network arrived after 0.6 s, and the link was closed. */
static void test_moving_body_extends_the_limit_of_silence(void **state)
{
	struct lone_call call;

	(void)state;
	open_lone_call(&call);
	send_body(&call, SMALL_DATA_BYTES + 1);
	assert_false(is_silent_after(&call, UNTIL_SILENT_MS));
	assert_true(is_silent_after(&call, UNTIL_SILENT_IN_TRANSIT_MS));
	close_lone_call(&call);
}

/* Reads what has arrived at the raw peer until there is no more for a while. */
static size_t read_all(int fd, int wait_ms)
{
	struct pollfd polled = { .fd = fd, .events = POLLIN };
	char block[4096];
	size_t bytes = 0;

	while (poll(&polled, 1, wait_ms) == 1) {
		ssize_t n = read(fd, block, sizeof(block));

		if (n <= 0)
			break;
		bytes += (size_t)n;
	}
	return bytes;
}

/* Guards against output that nobody sends: another worker fills the socket while one is about to
 * end its handling of an event, which found nothing left to send. */
static void test_output_queued_at_the_end_of_an_event_is_sent(void **state)
{
	enum { BODY = 4 << 20 };
	struct lone_call call;
	size_t first;

	(void)state;
	open_lone_call(&call);
	send_body(&call, BODY);
	first = read_all(call.peer_fd, 500);
	assert_true(first > BODY);
	link_begin_handling(call.link, &call.link->write_state);
	send_body(&call, BODY);
	link_end_handling(call.link, &call.link->write_watch, &call.link->write_state, false,
			  WATCH_WRITE);
	assert_true(read_all(call.peer_fd, 500) > BODY);
	close_lone_call(&call);
}

/* A peer that has ended accepts small bodies and heartbeats into its kernel's buffer: they must not
 * keep its link. */
static void test_small_body_does_not_extend_the_limit_of_silence(void **state)
{
	struct lone_call call;

	(void)state;
	open_lone_call(&call);
	send_body(&call, SMALL_DATA_BYTES);
	assert_true(is_silent_after(&call, UNTIL_SILENT_MS));
	close_lone_call(&call);
}

/* Opens a second call, whose body waits if the peer is known to grant bodies. Returns whether it
 * waits. */
static bool open_waiting_call(struct lone_call *call, struct owner *owner, struct stream *stream)
{
	struct request_head head = request_head();
	struct str body = STR("body");

	head.body_waits = true;
	head.body_length = (int64_t)body.len;
	assert_true(link_open(call->link, &owner->base, &head, &body, stream));
	return head.body_waits;
}

/* Returns a bit for each kind of frame. */
static unsigned int kinds_of(struct str frames)
{
	unsigned int kinds = 0;
	struct frame frame;
	size_t used;

	while (wire_read_frame(frames, &frame, &used) == WIRE_FRAME) {
		kinds |= 1U << frame.kind;
		frames = str_sub(frames, used, frames.len);
	}
	return kinds;
}

/* Reads what the node has sent, up to the last frame. */
static unsigned int kinds_sent(const struct lone_call *call)
{
	char bytes[4096];
	ssize_t n = recv(call->peer_fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	return kinds_of((struct str){ bytes, n > 0 ? (size_t)n : 0 });
}

/* Reads until a frame of that kind has come, and what comes shortly after it. */
static unsigned int kinds_until(int fd, enum frame_kind kind)
{
	struct pollfd polled = { .fd = fd, .events = POLLIN };
	char bytes[4096];
	size_t len = 0;
	bool come = false;

	while (poll(&polled, 1, come ? 50 : 2000) == 1) {
		ssize_t n = recv(fd, bytes + len, sizeof(bytes) - len, 0);

		if (n <= 0)
			break;
		len += (size_t)n;
		come = kinds_of((struct str){ bytes, len }) & 1U << kind;
	}
	return kinds_of((struct str){ bytes, len });
}

enum features_answer { ANSWERS_NOTHING, ANSWERS_AS_OLDER, ANSWERS_AS_PRESENT };

static void send_pong(int fd, enum features_answer answer)
{
	struct strbuf payload = { 0 };
	struct strbuf frame = { 0 };

	if (answer == ANSWERS_AS_PRESENT)
		wire_put_u64(&payload, FEATURE_GRANTS_BODIES);
	wire_put(&frame, FRAME_PONG, 0, strbuf_str(&payload));
	if (answer != ANSWERS_NOTHING)
		assert_int_equal(send(fd, frame.data, frame.len, 0), frame.len);
	strbuf_clear(&payload);
	strbuf_clear(&frame);
}

static const struct new_link_case {
	enum features_answer answer;
	int granted; /* bytes that may be sent of the body then */
	enum verdict verdict;
} new_link_cases[] = {
	{ ANSWERS_NOTHING, 0, VERDICT_MAY_HAVE_RUN },
	{ ANSWERS_AS_OLDER, STREAM_WINDOW, VERDICT_MAY_HAVE_RUN },
	{ ANSWERS_AS_PRESENT, 0, VERDICT_NOT_RUN },
};

/* Opens a link by a call whose body waits. Returns the accepted connection of the peer. */
static int call_over_new_link(struct owner *owner, struct stream *stream)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl(LOOPBACK) };
	socklen_t len = sizeof(address);
	struct request_head head = request_head();
	struct str body = STR("body");
	int listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int fd;

	assert_int_equal(bind(listen_fd, (struct sockaddr *)&address, sizeof(address)), 0);
	assert_int_equal(listen(listen_fd, 1), 0);
	getsockname(listen_fd, (struct sockaddr *)&address, &len);
	head.body_waits = true;
	head.body_length = (int64_t)body.len;
	assert_true(peers_call(peers, member_id(LOOPBACK, ntohs(address.sin_port)), &owner->base,
			       &head, &body, stream));
	assert_true(head.body_waits);
	fd = accept(listen_fd, NULL, NULL);
	close(listen_fd);
	return fd;
}

/* Bodies of the first calls of a new link did not wait: after a restart all links to a node are
 * new, and the bodies filled its line until links were closed as silent and opened anew. */
static void test_body_waits_on_a_new_link(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(new_link_cases); i++) {
		const struct new_link_case *row = &new_link_cases[i];
		struct owner owner = { .base.refs = 1 };
		struct stream stream = { 0 };
		int fd = call_over_new_link(&owner, &stream);

		assert_int_equal(kinds_until(fd, FRAME_REQUEST),
				 1U << FRAME_HELLO | 1U << FRAME_PING | 1U << FRAME_REQUEST);
		send_pong(fd, row->answer);
		for (int j = 0; j < 200 && g_atomic_int_get(&owner.granted) < row->granted; j++)
			g_usleep(10000);
		g_usleep(50000);
		assert_int_equal(g_atomic_int_get(&owner.granted), row->granted);
		close(fd);
		for (int j = 0; j < 200 && !g_atomic_int_get(&owner.lost); j++)
			g_usleep(10000);
		assert_int_equal(owner.verdict, row->verdict);
		link_unref(stream.link);
	}
}

enum way_to_end { LINK_CLOSES, CALLER_LEAVES };

/* Returns the verdict of a request whose body waited. */
static enum verdict verdict_of_waiting(enum way_to_end way, bool body_begins)
{
	struct owner owner = { .base.refs = 1 };
	struct stream stream = { 0 };
	enum verdict verdict = VERDICT_MAY_HAVE_RUN;
	struct lone_call call;

	open_lone_call(&call);
	call.link->peer_features = FEATURE_GRANTS_BODIES;
	assert_true(open_waiting_call(&call, &owner, &stream));
	assert_int_equal(kinds_sent(&call), 1U << FRAME_REQUEST);
	if (body_begins) {
		struct lone_call waiting = { .stream = stream };

		send_body(&waiting, 1);
		assert_int_equal(kinds_sent(&call), 1U << FRAME_DATA);
	}
	switch (way) {
	case LINK_CLOSES:
		link_close(call.link);
		verdict = owner.verdict;
		break;
	case CALLER_LEAVES:
		verdict = stream_cancel(stream);
		assert_int_equal(kinds_sent(&call), 1U << FRAME_CANCEL);
		break;
	}
	close_lone_call(&call);
	link_unref(stream.link);
	return verdict;
}

/* An upload that was lost before its body was sent was answered as one that may have run. */
static void test_request_whose_body_waited_has_not_run(void **state)
{
	(void)state;
	assert_int_equal(verdict_of_waiting(LINK_CLOSES, false), VERDICT_NOT_RUN);
	assert_int_equal(verdict_of_waiting(LINK_CLOSES, true), VERDICT_MAY_HAVE_RUN);
	assert_int_equal(verdict_of_waiting(CALLER_LEAVES, false), VERDICT_NOT_RUN);
	assert_int_equal(verdict_of_waiting(CALLER_LEAVES, true), VERDICT_MAY_HAVE_RUN);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_request_that_was_sent_may_have_run, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_data_follows_its_request, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_admitted_requests_run_when_the_queue_is_full,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_reused_stream_id_closes_the_link, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_call_while_a_link_closes_gets_a_new_one,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_unread_bytes_are_no_silence, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_output_queued_at_the_end_of_an_event_is_sent,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_moving_body_extends_the_limit_of_silence,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			test_small_body_does_not_extend_the_limit_of_silence, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_body_waits_on_a_new_link, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_request_whose_body_waited_has_not_run, set_up,
						tear_down),
	};

	apr_initialize();
	return cmocka_run_group_tests_name("peer/link", tests, NULL, NULL);
}
