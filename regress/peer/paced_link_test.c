/* Two nodes whose link passes about 8 Mbit/s: large bodies beside heartbeats and a small call. */
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
	THREADS = 2,
	QUEUE_MAX = 64,
	RATE = 1000 * 1000,	 /* bytes per second that the link passes in each direction */
	SOCKET_BYTES = 16 << 10, /* buffers of the link's sockets in the middle */
	BODIES = 24,
	BODY_BYTES = 96 << 10, /* within the window of a stream */
	TICK_MS = 100,
	LIMIT_MS = 60 * 1000,
};

/** A node within the test's process. */
struct node {
	apr_pool_t *pool;
	struct workers *workers;
	struct peers *peers;
};

/** A call, at the node that opened it. */
struct call {
	struct stream_owner base; /* must be first: events point to it */
	struct stream stream;
	bool upload; /* it has the large body, and not its answer */
	gint answered;
	gint lost;
};

/** A call, at the node that answers it. */
struct served {
	struct stream_owner base;
	struct stream stream;
	struct body_sum sum; /* of the answer */
	char method;
};

enum { OWNER_CALL, OWNER_SERVED };

static struct node entry;
static struct node target;
static int middle_listen_fd;
static int middle_fds[2];
static GThread *middle_threads[3];
static struct call calls[BODIES];
static struct call small;
static int uploads; /* calls with large bodies of requests; the other ones have large answers */
static gint uploads_received;
static struct served *waiting[BODIES]; /* uploads that have arrived */
static size_t answer_bytes;	       /* received of large answers */
static gint answers_received;
static gint served_lost;
static char body[BODY_BYTES];

/* Passes bytes of one direction at RATE. */
static void pass_bytes(int from, int to)
{
	char bytes[4096];
	gint64 free_at = g_get_monotonic_time();
	ssize_t n;

	while ((n = recv(from, bytes, sizeof(bytes), 0)) > 0 &&
	       send(to, bytes, (size_t)n, MSG_NOSIGNAL) == n) {
		gint64 now = g_get_monotonic_time();

		free_at = MAX(free_at, now) + n * G_USEC_PER_SEC / RATE;
		if (free_at > now)
			g_usleep((gulong)(free_at - now));
	}
	shutdown(from, SHUT_RDWR);
	shutdown(to, SHUT_RDWR);
}

static gpointer pass_to_target(gpointer data)
{
	(void)data;
	pass_bytes(middle_fds[0], middle_fds[1]);
	return NULL;
}

static gpointer pass_to_entry(gpointer data)
{
	(void)data;
	pass_bytes(middle_fds[1], middle_fds[0]);
	return NULL;
}

static struct sockaddr_in address_of(uint64_t member)
{
	return (struct sockaddr_in){ .sin_family = AF_INET,
				     .sin_port = htons(member_port(member)),
				     .sin_addr.s_addr = htonl(member_ipv4(member)) };
}

static void limit_buffers(int fd)
{
	int bytes = SOCKET_BYTES;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
}

/* Accepts the one link and connects it to the target's node. */
static gpointer accept_link(gpointer data)
{
	struct sockaddr_in address = address_of(peers_self(target.peers));

	(void)data;
	middle_fds[0] = accept(middle_listen_fd, NULL, NULL);
	middle_fds[1] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	limit_buffers(middle_fds[1]);
	if (connect(middle_fds[1], (struct sockaddr *)&address, sizeof(address)) != 0)
		return NULL;
	middle_threads[1] = g_thread_new("to-target", pass_to_target, NULL);
	middle_threads[2] = g_thread_new("to-entry", pass_to_entry, NULL);
	return NULL;
}

/* Sends the head and all bytes of an answer, and its end unless the entry node is to return credit
 * before. */
static void send_answer(struct served *served, struct str bytes, bool ends)
{
	struct response_head head = { .status = 200, .body_length = (int64_t)bytes.len };
	struct strbuf frames = { 0 };

	wire_put_response(&frames, served->stream.id, &head);
	wire_put_data(&frames, served->stream.id, &served->sum, bytes);
	if (ends)
		wire_put_end(&frames, served->stream.id, &served->sum);
	stream_send(served->stream, &frames);
	strbuf_clear(&frames);
}

static void end_answer(struct served *served)
{
	struct strbuf frames = { 0 };

	wire_put_end(&frames, served->stream.id, &served->sum);
	stream_send(served->stream, &frames);
	stream_close(served->stream);
	strbuf_clear(&frames);
}

static void accept_call(struct peer_event *event)
{
	struct served *served = g_new0(struct served, 1);

	served->base.refs = 1;
	served->base.kind = OWNER_SERVED;
	served->stream = (struct stream){ link_ref(event->request.link), event->request.stream };
	served->method = event->request.head->method.data[0];
	event->request.owner = &served->base;
}

static void release(struct stream_owner *owner)
{
	struct served *served = (struct served *)owner;

	if (!g_atomic_int_dec_and_test(&owner->refs) || owner->kind != OWNER_SERVED)
		return;
	link_unref(served->stream.link);
	g_free(served);
}

/* Ends the uploads once all have arrived: until then the target's node sends heartbeats alone. */
static void end_uploads(void)
{
	for (int i = 0; i < uploads; i++) {
		struct served *served = g_atomic_pointer_get(&waiting[i]);

		send_answer(served, STR("small"), true);
		stream_close(served->stream);
	}
}

/* The small call has no body; 'L' asks for a large answer, which ends with PEER_WINDOW. */
static void on_served(struct served *served, struct peer_event *event)
{
	if (event->kind == PEER_ADMIT && served->method == 'L') {
		send_answer(served, (struct str){ body, sizeof(body) }, false);
	} else if (event->kind == PEER_WINDOW && served->method == 'L') {
		end_answer(served);
	} else if (event->kind == PEER_END && served->method == 'S') {
		send_answer(served, STR("small"), true);
		stream_close(served->stream);
	} else if (event->kind == PEER_END && served->method == 'U') {
		int received = g_atomic_int_add(&uploads_received, 1);

		g_atomic_pointer_set(&waiting[received], served);
		if (received + 1 == uploads)
			end_uploads();
	} else if (event->kind == PEER_LOST) {
		g_atomic_int_inc(&served_lost);
	}
}

/* Returns credit for the large answers once all have arrived, as callers do that read late: until
 * then the entry node sends heartbeats alone. */
static void return_credit(void)
{
	struct strbuf payload = { 0 };
	struct strbuf frame = { 0 };

	wire_put_u64(&payload, BODY_BYTES);
	for (int i = 0; i < BODIES; i++) {
		if (calls[i].upload)
			continue;
		wire_put(&frame, FRAME_WINDOW, calls[i].stream.id, strbuf_str(&payload));
		stream_send(calls[i].stream, &frame);
	}
	strbuf_clear(&payload);
	strbuf_clear(&frame);
}

static void on_call(struct call *call, struct peer_event *event)
{
	if (event->kind == PEER_DATA && call != &small && !call->upload) {
		answer_bytes += event->bytes.len;
		if (answer_bytes == (size_t)(BODIES - uploads) * BODY_BYTES)
			return_credit();
	} else if (event->kind == PEER_END) {
		if (call != &small)
			g_atomic_int_inc(&answers_received);
		g_atomic_int_set(&call->answered, 1);
		stream_close(call->stream);
	} else if (event->kind == PEER_LOST || event->kind == PEER_REFUSED) {
		g_atomic_int_set(&call->lost, 1);
	}
}

static void on_peer(void *context, struct peer_event *event)
{
	(void)context;
	if (event->kind == PEER_REQUEST)
		accept_call(event);
	else if (event->kind == PEER_RELEASED)
		release(event->owner);
	else if (event->owner->kind == OWNER_SERVED)
		on_served((struct served *)event->owner, event);
	else
		on_call((struct call *)event->owner, event);
}

static void on_work(void *context, const struct work *work, int ready)
{
	struct node *node = context;

	(void)ready;
	if (work->kind == WORK_PEER_LISTEN)
		peers_on_listen(node->peers);
	else if (work->kind == WORK_LINK_READ)
		peers_on_link_read(node->peers, work->data);
	else if (work->kind == WORK_LINK_WRITE)
		peers_on_link_write(node->peers, work->data);
}

static void start_node(struct node *node)
{
	struct workers_options pool_options = {
		.threads = THREADS, .queue_max = QUEUE_MAX, .handle = on_work, .context = node
	};
	struct peers_options options = { .self = member_id(LOOPBACK, 0),
					 .fleet = FLEET,
					 .ranges = { { LOOPBACK, 8 } },
					 .range_count = 1,
					 .handle = on_peer };

	apr_pool_create(&node->pool, NULL);
	node->workers = workers_new(&pool_options, node->pool, NULL);
	options.workers = node->workers;
	node->peers = peers_new(&options, node->pool, NULL);
	assert_non_null(node->peers);
	peers_start(node->peers);
	assert_true(workers_start(node->workers, NULL));
}

static void stop_node(struct node *node)
{
	workers_stop(node->workers);
	peers_free(node->peers);
	workers_free(node->workers);
	apr_pool_destroy(node->pool);
}

static int set_up(void **state)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl(LOOPBACK) };

	(void)state;
	memset(calls, 0, sizeof(calls));
	small = (struct call){ 0 };
	uploads_received = 0;
	answer_bytes = 0;
	answers_received = 0;
	served_lost = 0;
	memset(middle_threads, 0, sizeof(middle_threads));
	start_node(&entry);
	start_node(&target);
	middle_listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	limit_buffers(middle_listen_fd);
	assert_int_equal(bind(middle_listen_fd, (struct sockaddr *)&address, sizeof(address)), 0);
	assert_int_equal(listen(middle_listen_fd, 1), 0);
	middle_threads[0] = g_thread_new("accept", accept_link, NULL);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	stop_node(&entry);
	stop_node(&target);
	for (size_t i = 0; i < G_N_ELEMENTS(middle_threads); i++)
		if (middle_threads[i])
			g_thread_join(middle_threads[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++)
		link_unref(calls[i].stream.link);
	link_unref(small.stream.link);
	close(middle_fds[0]);
	close(middle_fds[1]);
	close(middle_listen_fd);
	return 0;
}

/* Opens a call on the link in the middle. The body of an upload follows its head at once, as it
 * does from a node that sends within the window of a stream. */
static void open_call(struct call *call, struct str method)
{
	struct sockaddr_in address = { 0 };
	socklen_t len = sizeof(address);
	struct request_head head = { .method = method,
				     .target = STR("/"),
				     .body_length = call->upload ? BODY_BYTES : 0 };
	struct strbuf frames = { 0 };
	struct body_sum sum = { 0 };
	struct str empty = STR("");

	getsockname(middle_listen_fd, (struct sockaddr *)&address, &len);
	call->base.refs = 2;
	call->base.kind = OWNER_CALL;
	assert_true(peers_call(entry.peers, member_id(LOOPBACK, ntohs(address.sin_port)),
			       &call->base, &head, call->upload ? NULL : &empty, &call->stream));
	if (!call->upload)
		return;
	wire_put_data(&frames, call->stream.id, &sum, (struct str){ body, sizeof(body) });
	wire_put_end(&frames, call->stream.id, &sum);
	stream_send(call->stream, &frames);
	strbuf_clear(&frames);
}

/* Returns whether all calls have ended. */
static bool all_ended(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++)
		if (!g_atomic_int_get(&calls[i].answered) && !g_atomic_int_get(&calls[i].lost))
			return false;
	return g_atomic_int_get(&small.answered) || g_atomic_int_get(&small.lost);
}

/* Runs the large calls with a small one beside them. */
static void run_calls(int upload_count)
{
	int received_before_small = -1;
	int lost = 0;

	uploads = upload_count;
	for (int i = 0; i < BODIES; i++) {
		calls[i].upload = i < uploads;
		open_call(&calls[i], calls[i].upload ? STR("UPLOAD") : STR("LARGE"));
	}
	open_call(&small, STR("SMALL"));
	for (int ms = 0; ms < LIMIT_MS && !all_ended(); ms += TICK_MS) {
		if (received_before_small < 0 && g_atomic_int_get(&small.answered))
			received_before_small = g_atomic_int_get(&answers_received);
		g_usleep(TICK_MS * 1000);
		peers_tick(entry.peers, clock_now());
		peers_tick(target.peers, clock_now());
	}
	assert_true(all_ended());
	for (int i = 0; i < BODIES; i++)
		lost += g_atomic_int_get(&calls[i].lost);
	print_message("%d of %d large calls lost, %d at the target's node, %d ended before the "
		      "small one\n",
		      lost, BODIES, g_atomic_int_get(&served_lost), received_before_small);
	assert_int_equal(lost, 0);
	assert_int_equal(g_atomic_int_get(&served_lost), 0);
	assert_true(g_atomic_int_get(&small.answered));
	/* It was opened last. No large call ends before all their bodies have arrived. */
	assert_int_equal(received_before_small, 0);
}

/* Heartbeats queued behind uploads, so that the entry node closed the link as silent. */
static void test_uploads_do_not_silence_a_link(void **state)
{
	(void)state;
	run_calls(BODIES);
}

/* Heartbeats of the target's node queued behind its answers. */
static void test_large_answers_do_not_silence_a_link(void **state)
{
	(void)state;
	run_calls(0);
}

/* The answers to heartbeats queued as well. */
static void test_large_bodies_in_both_directions_do_not_silence_a_link(void **state)
{
	(void)state;
	run_calls(BODIES / 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_uploads_do_not_silence_a_link, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_large_answers_do_not_silence_a_link, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(
			test_large_bodies_in_both_directions_do_not_silence_a_link, set_up,
			tear_down),
	};

	for (size_t i = 0; i < sizeof(body); i++)
		body[i] = (char)(i * 31 % 251);
	apr_initialize();
	return cmocka_run_group_tests_name("peer/paced_link", tests, NULL, NULL);
}
