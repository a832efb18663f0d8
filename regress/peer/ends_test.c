/* Tests of the ends of bodies between nodes: only a body that is whole gets PEER_END. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/member.h"
#include "peer/link.h"

enum {
	LOOPBACK = 0x7f000001,
	FLEET = 7,
	EVENT_LIMIT_S = 2,
	QUIET_MS = 5,
	LOG_MAX = 64,
	PART_BYTES = 4,
	STREAM = 5, /* id of the raw peer's first request */
};

/* An owner logs its events as letters: H head, F refusal, D data, E end, L lost, X released. */
struct owner {
	struct stream_owner base; /* must be first: events point to it */
	char log[LOG_MAX];
	size_t events;
	uint64_t bytes;
	enum verdict verdict;
};

static apr_pool_t *pool;
static struct workers *workers;
static struct peers *peers;
static struct owner *accepted;				  /* owner of the raw peer's next request */
static int listen_fd;					  /* of the raw peer */
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER; /* guards all owners */
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

static void log_event(struct owner *owner, char letter)
{
	if (owner->events < LOG_MAX - 1)
		owner->log[owner->events++] = letter;
	pthread_cond_broadcast(&changed);
}

static void on_stream_event(struct owner *owner, const struct peer_event *event)
{
	switch (event->kind) {
	case PEER_RESPONSE:
		log_event(owner, 'H');
		return;
	case PEER_REFUSED:
		log_event(owner, 'F');
		return;
	case PEER_DATA:
		owner->bytes += event->bytes.len;
		log_event(owner, 'D');
		return;
	case PEER_END:
		log_event(owner, 'E');
		return;
	case PEER_LOST:
		owner->verdict = event->verdict;
		log_event(owner, 'L');
		return;
	case PEER_RELEASED:
		if (g_atomic_int_dec_and_test(&owner->base.refs))
			log_event(owner, 'X');
		return;
	case PEER_MESSAGE:
	case PEER_REQUEST:
	case PEER_ADMIT:
	case PEER_RUN:
	case PEER_WINDOW:
		return;
	}
}

static void on_peer(void *context, struct peer_event *event)
{
	(void)context;
	pthread_mutex_lock(&mutex);
	if (event->kind == PEER_REQUEST && accepted) {
		g_atomic_int_set(&accepted->base.refs, 1);
		event->request.owner = &accepted->base;
	} else if (event->owner) {
		on_stream_event((struct owner *)event->owner, event);
	}
	pthread_mutex_unlock(&mutex);
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
}

static int set_up(void **state)
{
	struct workers_options pool_options = { .threads = 2, .queue_max = 8, .handle = on_work };
	struct peers_options options = { .self = member_id(LOOPBACK, 0),
					 .fleet = FLEET,
					 .ranges = { { LOOPBACK, 8 } },
					 .range_count = 1,
					 .handle = on_peer };
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl(LOOPBACK) };
	struct timeval limit = { .tv_sec = EVENT_LIMIT_S };

	(void)state;
	accepted = NULL;
	listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	assert_int_equal(bind(listen_fd, (struct sockaddr *)&address, sizeof(address)), 0);
	assert_int_equal(listen(listen_fd, 8), 0);
	setsockopt(listen_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
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
	close(listen_fd);
	return 0;
}

/* Waits until the owner has logged one of @p letters, or @p limit_ms have passed. */
static bool wait_for(struct owner *owner, const char *letters, int limit_ms)
{
	struct timespec until;
	int error = 0;
	bool logged;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_nsec += limit_ms % 1000 * 1000000L;
	until.tv_sec += limit_ms / 1000 + until.tv_nsec / 1000000000L;
	until.tv_nsec %= 1000000000L;
	pthread_mutex_lock(&mutex);
	while (!strpbrk(owner->log, letters) && error == 0)
		error = pthread_cond_timedwait(&changed, &mutex, &until);
	logged = strpbrk(owner->log, letters) != NULL;
	pthread_mutex_unlock(&mutex);
	return logged;
}

static void expect(struct owner *owner, const char *letters)
{
	if (!wait_for(owner, letters, EVENT_LIMIT_S * 1000))
		fail_msg("events %s, expected one of %s", owner->log, letters);
}

/* A stream of this node to the raw peer. */
struct outgoing {
	struct owner owner;
	struct stream stream;
};

static struct outgoing *open_stream(struct str method)
{
	struct outgoing *out = g_new0(struct outgoing, 1);
	struct sockaddr_in address = { 0 };
	socklen_t len = sizeof(address);
	struct request_head head = { .method = method, .target = STR("/") };
	struct str body = STR("");

	getsockname(listen_fd, (struct sockaddr *)&address, &len);
	out->owner.base.refs = 1;
	assert_true(peers_call(peers, member_id(LOOPBACK, ntohs(address.sin_port)),
			       &out->owner.base, &head, &body, &out->stream));
	return out;
}

/* Closes the stream, and waits until the link has dropped its reference. */
static void close_stream(struct outgoing *out)
{
	stream_close(out->stream);
	link_unref(out->stream.link);
	for (int i = 0; i < 500 && g_atomic_int_get(&out->owner.base.refs) > 1; i++)
		g_usleep(1000);
	assert_int_equal(g_atomic_int_get(&out->owner.base.refs), 1);
	g_free(out);
}

/* Waits until the node has noticed the end of a link. */
static void wait_for_close(struct link *link)
{
	bool closed = false;

	for (int i = 0; i < EVENT_LIMIT_S * 10000 && !closed; i++) {
		lock_acquire(&link->lock);
		closed = link->state == LINK_CLOSED;
		lock_release(&link->lock);
		if (!closed)
			g_usleep(100);
	}
	assert_true(closed);
}

/* Reads frames up to one of a kind; false if the link ends or nothing comes for a while. */
static bool read_until(int fd, enum frame_kind kind, uint64_t stream)
{
	struct strbuf in = { 0 };
	struct timeval limit = { .tv_sec = EVENT_LIMIT_S };
	bool found = false;
	ssize_t n = 1;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	while (!found && n > 0) {
		char byte;
		struct frame frame;
		size_t used;

		n = recv(fd, &byte, 1, 0);
		if (n > 0)
			strbuf_add(&in, (struct str){ &byte, 1 });
		if (wire_read_frame(strbuf_str(&in), &frame, &used) != WIRE_FRAME)
			continue;
		found = frame.kind == kind && frame.stream == stream;
		strbuf_consume(&in, used);
	}
	strbuf_clear(&in);
	return found;
}

/* Accepts the node's link and reads its first request. */
static int accept_request(uint64_t stream)
{
	int fd = accept(listen_fd, NULL, NULL);

	assert_true(fd >= 0);
	assert_true(read_until(fd, FRAME_END, stream));
	return fd;
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

static void send_bytes(int fd, struct str bytes)
{
	assert_int_equal(send(fd, bytes.data, bytes.len, MSG_NOSIGNAL), bytes.len);
}

static void end_connection(int fd, bool reset)
{
	struct linger at_once = { .l_onoff = 1 };

	if (reset)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
	close(fd);
}

/* The frames of a body, and those that break it. */
enum part {
	SEND_HEAD = 'h',
	SEND_DATA = 'd',
	SEND_END = 'e',
	SEND_REFUSAL = 'f',
	SEND_WRONG_SUM = 's',
	SEND_SHORT_END = 't', /* counts fewer bytes than were sent */
	SEND_LONG_END = 'm',  /* counts more bytes than were sent */
};

/* A body that is sent as a script of parts, and the events of its owner. */
struct body_case {
	const char *script;
	struct str method;
	int status;
	int64_t length; /* in the head; -1: none */
	const char *events;
};

static void put_head(struct strbuf *out, uint64_t stream, const struct body_case *c)
{
	struct request_head request = { .method = STR("POST"),
					.target = STR("/"),
					.body_length = c->length };
	struct response_head response = { .status = c->status, .body_length = c->length };

	if (c->status)
		wire_put_response(out, stream, &response);
	else
		wire_put_request(out, stream, &request);
}

/* Appends a frame of a script; *sum is that of the data so far. */
static void put_part(struct strbuf *out, uint64_t stream, const struct body_case *c, char part,
		     struct body_sum *sum)
{
	struct refusal refusal = { .kind = REFUSAL_BUSY, .verdict = VERDICT_NOT_RUN };
	struct body_sum end = *sum;

	switch ((enum part)part) {
	case SEND_HEAD:
		put_head(out, stream, c);
		return;
	case SEND_DATA:
		wire_put_data(out, stream, sum, STR("body"));
		return;
	case SEND_REFUSAL:
		wire_put_refusal(out, stream, &refusal);
		return;
	case SEND_END:
		break;
	case SEND_WRONG_SUM:
		end.checksum++;
		break;
	case SEND_SHORT_END:
		end.length--;
		break;
	case SEND_LONG_END:
		end.length++;
		break;
	}
	wire_put_end(out, stream, &end);
}

static struct strbuf make_frames(uint64_t stream, const struct body_case *c)
{
	struct strbuf frames = { 0 };
	struct body_sum sum = { 0 };

	for (const char *part = c->script; *part; part++)
		put_part(&frames, stream, c, *part, &sum);
	return frames;
}

static const struct body_case whole_answers[] = {
	{ "hdde", STR("GET"), 200, 8, "HDDE" }, { "hdde", STR("GET"), 200, -1, "HDDE" },
	{ "he", STR("GET"), 200, 0, "HE" },	{ "he", STR("GET"), 200, -1, "HE" },
	{ "he", STR("HEAD"), 200, 8, "HE" },	{ "he", STR("GET"), 204, -1, "HE" },
	{ "he", STR("GET"), 304, 8, "HE" },	{ "f", STR("GET"), 200, 0, "F" },
};

/* Sends the first @p cut bytes of an answer to a request of this node and ends the link. */
static void cut_answer(const struct body_case *c, size_t cut, bool reset)
{
	struct outgoing *out = open_stream(c->method);
	int fd = accept_request(out->stream.id);
	struct strbuf frames = make_frames(out->stream.id, c);
	bool whole = cut == frames.len;

	send_bytes(fd, str_sub(strbuf_str(&frames), 0, cut));
	if (whole)
		expect(&out->owner, "EF");
	end_connection(fd, reset);
	wait_for_close(out->stream.link);
	expect(&out->owner, whole ? "EF" : "L");
	if (!whole && strpbrk(out->owner.log, "EF"))
		fail_msg("%s cut after %zu bytes: %s", c->script, cut, out->owner.log);
	if (!whole)
		assert_int_equal(out->owner.verdict, VERDICT_MAY_HAVE_RUN);
	close_stream(out);
	strbuf_clear(&frames);
}

/* A link that ends within an answer is not the answer's end. */
static void test_answer_cut_at_any_byte_has_no_end(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(whole_answers); i++) {
		struct strbuf frames = make_frames(1, &whole_answers[i]);

		for (size_t cut = 0; cut <= frames.len; cut++) {
			cut_answer(&whole_answers[i], cut, false);
			cut_answer(&whole_answers[i], cut, true);
		}
		strbuf_clear(&frames);
	}
}

/* Sends the first @p cut bytes of a request to this node and ends the link. */
static void cut_request(const struct body_case *c, size_t cut, bool reset)
{
	struct owner *owner = g_new0(struct owner, 1);
	struct strbuf frames = make_frames(STREAM, c);
	struct strbuf head = { 0 };
	bool whole = cut == frames.len;
	int fd = connect_as_node();

	put_head(&head, STREAM, c);
	pthread_mutex_lock(&mutex);
	accepted = owner;
	pthread_mutex_unlock(&mutex);
	send_bytes(fd, str_sub(strbuf_str(&frames), 0, cut));
	if (whole)
		expect(owner, "E");
	end_connection(fd, reset);
	/* With a reset the node may not see the request at all. */
	if (cut >= head.len && !reset)
		expect(owner, "X");
	else
		wait_for(owner, "X", QUIET_MS);
	pthread_mutex_lock(&mutex);
	accepted = NULL;
	pthread_mutex_unlock(&mutex);
	if (g_atomic_int_get(&owner->base.refs))
		expect(owner, "X");
	if (!whole && strpbrk(owner->log, "E"))
		fail_msg("%s cut after %zu bytes: %s", c->script, cut, owner->log);
	if (owner->events && !strchr(owner->log, 'L'))
		fail_msg("%s cut after %zu bytes was not lost: %s", c->script, cut, owner->log);
	strbuf_clear(&head);
	strbuf_clear(&frames);
	g_free(owner);
}

/* A link that ends within a request is not the request's end. */
static void test_request_cut_at_any_byte_has_no_end(void **state)
{
	static const struct body_case requests[] = {
		{ "hdde", STR("POST"), 0, 8, "" },
		{ "hdde", STR("POST"), 0, -1, "" },
		{ "he", STR("POST"), 0, 0, "" },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		struct strbuf frames = make_frames(STREAM, &requests[i]);

		for (size_t cut = 0; cut <= frames.len; cut++) {
			cut_request(&requests[i], cut, false);
			cut_request(&requests[i], cut, true);
		}
		strbuf_clear(&frames);
	}
}

/* Compares the events before the stream's release. */
static bool check_events(const struct owner *owner, const struct body_case *c)
{
	size_t count;
	bool equal;

	pthread_mutex_lock(&mutex);
	count = strcspn(owner->log, "X");
	equal = count == strlen(c->events) && strncmp(owner->log, c->events, count) == 0;
	pthread_mutex_unlock(&mutex);
	if (!equal)
		print_error("%s to %.*s, status %d, length %ld: events %.*s, expected %s\n",
			    c->script, STR_ARG(c->method), c->status, c->length, (int)count,
			    owner->log, c->events);
	return equal;
}

/* Sends an answer, and behind it a whole one on another stream of the link, which the link must
 * still carry unless the frames themselves were corrupt. */
static bool check_answer(const struct body_case *c, bool link_goes_on)
{
	struct body_case whole = { "hde", STR("GET"), 200, PART_BYTES, "HDE" };
	struct outgoing *out = open_stream(c->method);
	struct outgoing *other;
	struct strbuf frames;
	struct strbuf other_frames;
	bool broken = strchr(c->events, 'L') != NULL;
	bool ok;
	int fd;

	fd = accept_request(out->stream.id);
	other = open_stream(whole.method);
	frames = make_frames(out->stream.id, c);
	other_frames = make_frames(other->stream.id, &whole);
	strbuf_add(&frames, strbuf_str(&other_frames));
	send_bytes(fd, strbuf_str(&frames));
	expect(&other->owner, "EL");
	ok = check_events(&out->owner, c) &&
	     (!broken || out->owner.verdict == VERDICT_MAY_HAVE_RUN);
	if (link_goes_on)
		ok = ok && check_events(&other->owner, &whole) &&
		     (!broken || read_until(fd, FRAME_CANCEL, out->stream.id));
	close(fd);
	wait_for_close(out->stream.link);
	close_stream(out);
	close_stream(other);
	strbuf_clear(&frames);
	strbuf_clear(&other_frames);
	return ok;
}

/* An END without the body that the head announced made a cut answer a complete one. */
static void test_answer_unlike_its_head_has_no_end(void **state)
{
	static const struct body_case broken[] = {
		{ "hde", STR("GET"), 200, 8, "HDL" },	 { "he", STR("GET"), 200, 8, "HL" },
		{ "hddde", STR("GET"), 200, 8, "HDDL" }, { "hde", STR("GET"), 200, 3, "HL" },
		{ "hde", STR("GET"), 200, 0, "HL" },	 { "hde", STR("HEAD"), 200, 4, "HL" },
		{ "hde", STR("GET"), 204, -1, "HL" },	 { "hde", STR("GET"), 304, 4, "HL" },
		{ "e", STR("GET"), 200, 0, "L" },	 { "dhe", STR("GET"), 200, 4, "L" },
		{ "dhe", STR("GET"), 200, -1, "L" },	 { "hhde", STR("GET"), 200, 4, "HL" },
		{ "hdhe", STR("GET"), 200, -1, "HDL" },	 { "hdf", STR("GET"), 200, 4, "HDL" },
		{ "hded", STR("GET"), 200, -1, "HDEL" }, { "hdee", STR("GET"), 200, 4, "HDEL" },
		{ "hdeh", STR("GET"), 200, 4, "HDEL" },	 { "h", STR("GET"), 101, -1, "L" },
	};

	int failed = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(whole_answers); i++)
		failed += !check_answer(&whole_answers[i], true);
	for (size_t i = 0; i < G_N_ELEMENTS(broken); i++)
		failed += !check_answer(&broken[i], true);
	assert_int_equal(failed, 0);
}

/* A sum that does not match means that frames were lost, and ends the link. */
static void test_answer_unlike_its_sum_has_no_end(void **state)
{
	static const struct body_case corrupt[] = {
		{ "hds", STR("GET"), 200, 4, "HDL" },  { "hds", STR("GET"), 200, -1, "HDL" },
		{ "hdt", STR("GET"), 200, -1, "HDL" }, { "hdm", STR("GET"), 200, -1, "HDL" },
		{ "hdm", STR("GET"), 200, 5, "HDL" },
	};

	int failed = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(corrupt); i++)
		failed += !check_answer(&corrupt[i], false);
	assert_int_equal(failed, 0);
}

static bool check_request(const struct body_case *c)
{
	struct owner *owner = g_new0(struct owner, 1);
	struct strbuf frames = make_frames(STREAM, c);
	int fd = connect_as_node();
	bool ok;

	pthread_mutex_lock(&mutex);
	accepted = owner;
	pthread_mutex_unlock(&mutex);
	send_bytes(fd, strbuf_str(&frames));
	wait_for(owner, strchr(c->events, 'L') ? "L" : "E", EVENT_LIMIT_S * 1000);
	pthread_mutex_lock(&mutex);
	accepted = NULL;
	pthread_mutex_unlock(&mutex);
	ok = check_events(owner, c);
	close(fd);
	expect(owner, "X");
	strbuf_clear(&frames);
	g_free(owner);
	return ok;
}

/* A request with fewer or more bytes than its head announces would run with another body. */
static void test_request_unlike_its_head_has_no_end(void **state)
{
	static const struct body_case requests[] = {
		{ "hdde", STR("POST"), 0, 8, "DDE" },  { "hdde", STR("POST"), 0, -1, "DDE" },
		{ "he", STR("POST"), 0, 0, "E" },      { "hde", STR("POST"), 0, 8, "DL" },
		{ "he", STR("POST"), 0, 8, "L" },      { "hddde", STR("POST"), 0, 8, "DDL" },
		{ "hde", STR("POST"), 0, 0, "L" },     { "hded", STR("POST"), 0, 4, "DEL" },
		{ "hded", STR("POST"), 0, -1, "DEL" }, { "hdee", STR("POST"), 0, 4, "DEL" },
		{ "hds", STR("POST"), 0, 4, "DL" },    { "hdt", STR("POST"), 0, -1, "DL" },
		{ "hdf", STR("POST"), 0, 8, "DL" },
	};

	int failed = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++)
		failed += !check_request(&requests[i]);
	assert_int_equal(failed, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_answer_cut_at_any_byte_has_no_end, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_request_cut_at_any_byte_has_no_end, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_answer_unlike_its_head_has_no_end, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_answer_unlike_its_sum_has_no_end, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_request_unlike_its_head_has_no_end, set_up,
						tear_down),
	};

	cmocka_set_test_filter(getenv("TEST_ONLY"));
	apr_initialize();
	return cmocka_run_group_tests_name("peer/ends", tests, NULL, NULL);
}
