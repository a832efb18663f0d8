/* Planned stops in calm: callers use open connections until the node is gone, and no request that
 * a target has got may end without an answer. */
#include "regress/lib/check.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "regress/lib/fleet.h"

enum {
	NODES = 2, /* node 0 is stopped; the target of service "near" is beside it, "far"'s is not
		    */
	WAIT_MS = 8000,
	INTERVAL_MS = 50,
	KEPT_MAX = 160, /* connections that are open, and unused, when the stop begins */
	REQUESTS_MAX = 16384,
	STATUS_OK = 200,
};

/* As in deploy/node.json.in; GRACE_US is stop_within_s. */
#define GRACE_US      (6 * US_PER_S)
#define STOP_SETTINGS "\"stop_notice_s\": 2.5, \"stop_within_s\": 6, "
/* A target that still works from then on may be cut off, if the request was sent early. */
#define LAST_SIXTH_US (GRACE_US - GRACE_US / 6)
#define EARLY_US      (3 * US_PER_S)
/* The time that is left is passed on in whole milliseconds. */
#define ROUNDING_US (10 * US_PER_MS)

/** The target of one node, an HTTP server in this process. */
struct upstream {
	struct MHD_Daemon *daemon;
	const char *service;
	char id[16];
	int port;
	int capacity;
	int sequence;
};

/** What a target did with one request. */
struct run {
	int count;
	int64_t ended_us; /* 0: still at work */
	int64_t until_us; /* the time until which the target was allowed to work */
};

/** A request of a caller, and its result. */
struct request {
	GThread *thread;
	int node;
	int fd; /* open connection, or -1: open a new one */
	const char *service;
	bool unsafe;
	bool slow_route; /* a route of the service "near" of its own, unsafe */
	int work_ms;
	int timeout_ms;
	int body_ms; /* time in which a body is sent, in chunks; 0: none */
	char id[16];
	int64_t sent_us;
	int64_t ended_us;
	int status; /* 0: no complete head */
	bool complete;
	bool by_target; /* the answer has the target's signature */
};

static struct fleet *fleet;
static struct upstream upstreams[NODES];
static GMutex mutex;
static GHashTable *runs; /* id -> struct run */
static struct request requests[REQUESTS_MAX];
static gint request_count;
static gint test_ended; /* targets stop their work */
static int64_t stop_began_us;

static enum MHD_Result queue_response(struct MHD_Connection *connection, unsigned int status,
				      const char *id, const char *body)
{
	struct MHD_Response *response =
		MHD_create_response_from_buffer(strlen(body), (void *)body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	MHD_add_response_header(response, "X-Response-Signature", "s1");
	if (id)
		MHD_add_response_header(response, "X-Request-Id", id);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static void note_start(const char *id, int64_t until_us)
{
	struct run *run;

	g_mutex_lock(&mutex);
	run = g_hash_table_lookup(runs, id);
	if (!run) {
		run = g_new0(struct run, 1);
		g_hash_table_insert(runs, g_strdup(id), run);
	}
	run->count++;
	run->ended_us = 0;
	run->until_us = until_us;
	g_mutex_unlock(&mutex);
}

static void note_end(const char *id)
{
	struct run *run;

	g_mutex_lock(&mutex);
	run = g_hash_table_lookup(runs, id);
	run->ended_us = clock_now().mono_us;
	g_mutex_unlock(&mutex);
}

/* Waits in short steps, until the test ends at the latest. */
static void work(int ms)
{
	for (; ms > 0 && !g_atomic_int_get(&test_ended); ms -= 10)
		poll(NULL, 0, MIN(ms, 10));
}

/* Works for the time in the path, /SERVICE/MS, but no longer than the request allows. */
static enum MHD_Result on_request(void *context, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *size, void **state)
{
	const char *id = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "X-Request-Id");
	const char *timeout =
		MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "X-Timeout-Ms");
	int timeout_ms = timeout ? atoi(timeout) : 10000;
	int work_ms = atoi(strrchr(url, '/') + 1);
	int64_t *arrived_us = *state;

	(void)method;
	(void)version;
	(void)data;
	(void)context;
	if (!arrived_us) {
		*state = g_memdup2(&(int64_t){ clock_now().mono_us }, sizeof(int64_t));
		return MHD_YES;
	}
	if (*size) {
		*size = 0;
		return MHD_YES;
	}
	if (!id)
		return queue_response(connection, MHD_HTTP_OK, id, "");
	note_start(id, *arrived_us + timeout_ms * US_PER_MS);
	work(MIN(work_ms, timeout_ms));
	note_end(id);
	if (work_ms > timeout_ms)
		return queue_response(connection, MHD_HTTP_GATEWAY_TIMEOUT, id, "late");
	return queue_response(connection, MHD_HTTP_OK, id, url);
}

static void on_completed(void *context, struct MHD_Connection *connection, void **state,
			 enum MHD_RequestTerminationCode code)
{
	(void)context;
	(void)connection;
	(void)code;
	g_free(*state);
	*state = NULL;
}

static void http_post(const char *url, struct str body)
{
	struct http_client *client = http_client_new();
	struct http_options options = { .method = "POST", .body = body, .timeout_ms = 2000 };
	struct http_reply reply = http_do(client, url, &options);

	http_client_free(client);
	assert_int_equal(reply.status, 200);
	http_reply_clear(&reply);
}

static void send_heartbeat(int index)
{
	struct upstream *upstream = &upstreams[index];
	char url[96];
	char *body = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"version\":\"v1\","
		"\"capacity\":%d,\"state\":\"ready\",\"warmup_left_s\":0,\"sequence\":%d,"
		"\"born\":5}",
		upstream->service, upstream->port, upstream->capacity, ++upstream->sequence);

	g_snprintf(url, sizeof(url), "http://%s/instances/%s/heartbeat",
		   fleet->nodes[index].announce_address, upstream->id);
	http_post(url, str_from_cstr(body));
	g_free(body);
}

static void publish_config(void)
{
	static const char text[] =
		"{\"version\":1,\"services\":[{\"name\":\"near\",\"health_path\":\"/health/0\"},"
		"{\"name\":\"far\",\"health_path\":\"/health/0\"}],"
		"\"virtual_hosts\":[{\"host\":\"shop.example\",\"paths\":["
		"{\"name\":\"rn\",\"path_prefix\":\"/r/near/\",\"kind\":\"safe\","
		"\"timeout_s\":20,\"service\":\"near\",\"max_attempts\":2},"
		"{\"name\":\"rf\",\"path_prefix\":\"/r/far/\",\"kind\":\"safe\","
		"\"timeout_s\":20,\"service\":\"far\",\"max_attempts\":2},"
		"{\"name\":\"wn\",\"path_prefix\":\"/w/near/\",\"kind\":\"unsafe\","
		"\"timeout_s\":20,\"service\":\"near\",\"max_attempts\":2},"
		"{\"name\":\"sn\",\"path_prefix\":\"/s/near/\",\"kind\":\"unsafe\","
		"\"timeout_s\":20,\"service\":\"near\",\"max_attempts\":2},"
		"{\"name\":\"wf\",\"path_prefix\":\"/w/far/\",\"kind\":\"unsafe\","
		"\"timeout_s\":20,\"service\":\"far\",\"max_attempts\":2}]}]}";
	static const char key[] = "config";
	struct strbuf record = { 0 };
	char url[96];
	size_t len = 1 + strlen(key) + strlen(text);
	char head[5] = { (char)(len >> 24), (char)(len >> 16), (char)(len >> 8), (char)len,
			 (char)strlen(key) };

	strbuf_add(&record, (struct str){ head, sizeof(head) });
	strbuf_add(&record, str_from_cstr(key));
	strbuf_add(&record, str_from_cstr(text));
	g_snprintf(url, sizeof(url), "http://127.0.0.1:%d/log-append?topic=keyed.op&part=0",
		   fleet->log_port);
	http_post(url, strbuf_str(&record));
	strbuf_clear(&record);
}

/* Returns a connection to a node's address for callers, or -1. */
static int open_connection(int node)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int enable = 1;

	address.sin_port =
		htons((uint16_t)atoi(strchr(fleet->nodes[node].caller_address, ':') + 1));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

static bool has_whole_answer(const char *text)
{
	const char *end = strstr(text, "\r\n\r\n");
	const char *length = strstr(text, "Content-Length: ");

	return end && length &&
	       strlen(end + 4) >= (size_t)atoi(length + strlen("Content-Length: "));
}

/* Sends a body, a chunk each INTERVAL_MS. The node may answer before its end. */
static void send_body(const struct request *request)
{
	static const char chunk[] = "4\r\nbody\r\n";
	static const char end[] = "0\r\n\r\n";

	for (int ms = 0; ms < request->body_ms; ms += INTERVAL_MS) {
		send(request->fd, chunk, strlen(chunk), MSG_NOSIGNAL);
		wait_ms(INTERVAL_MS);
	}
	send(request->fd, end, strlen(end), MSG_NOSIGNAL);
}

/* Sends a request and reads its answer to the end, or to the end of the connection. Returns false
 * if the connection can't carry another request. */
static bool exchange(struct request *request)
{
	char text[2048] = "";
	size_t len = 0;

	g_snprintf(text, sizeof(text),
		   "%s /%s/%s/%d HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\n"
		   "X-Timeout-Ms: %d\r\n%s\r\n\r\n",
		   request->unsafe ? "POST" : "GET",
		   request->slow_route ? "s"
		   : request->unsafe   ? "w"
				       : "r",
		   request->service, request->work_ms, request->id, request->timeout_ms,
		   request->body_ms ? "Transfer-Encoding: chunked" : "Content-Length: 0");
	request->sent_us = clock_now().mono_us;
	send(request->fd, text, strlen(text), MSG_NOSIGNAL);
	if (request->body_ms)
		send_body(request);
	text[0] = '\0';
	while (!has_whole_answer(text) && len < sizeof(text) - 1) {
		ssize_t n = recv(request->fd, text + len, sizeof(text) - 1 - len, 0);

		if (n <= 0)
			break;
		len += (size_t)n;
		text[len] = '\0';
	}
	request->ended_us = clock_now().mono_us;
	request->complete = has_whole_answer(text);
	if (strstr(text, "\r\n\r\n"))
		request->status = atoi(text + strlen("HTTP/1.1 "));
	request->by_target = strstr(text, "X-Response-Signature") != NULL;
	return request->complete && !strstr(text, "Connection: close");
}

static struct request *request_new(const struct request *shape)
{
	int index = g_atomic_int_add(&request_count, 1);
	struct request *request = &requests[index];

	assert_true(index < REQUESTS_MAX);
	*request = *shape;
	g_snprintf(request->id, sizeof(request->id), "q%d", index);
	return request;
}

static gpointer request_main(gpointer data)
{
	struct request *request = data;

	if (request->fd < 0)
		request->fd = open_connection(request->node);
	if (request->fd < 0)
		return NULL;
	exchange(request);
	close(request->fd);
	return NULL;
}

/* A caller that sends one request after another while a stop may run. */
struct busy_caller {
	GThread *thread;
	struct request shape;
};

static gpointer busy_main(gpointer data)
{
	const struct busy_caller *caller = data;
	int fd = open_connection(caller->shape.node);

	while (fd >= 0 && clock_now().mono_us < stop_began_us + 4 * US_PER_S) {
		struct request *request = request_new(&caller->shape);

		request->fd = fd;
		if (!exchange(request)) {
			close(fd);
			fd = open_connection(caller->shape.node);
		}
		wait_ms(25);
	}
	if (fd >= 0)
		close(fd);
	return NULL;
}

static int set_up(void **state)
{
	(void)state;
	runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	memset(requests, 0, sizeof(requests));
	request_count = 0;
	test_ended = 0;
	fleet = fleet_new_platform();
	g_strlcpy(fleet->extra_settings,
		  "\"interface\": \"platform\", \"service\": \"near\", \"workers\": 128, "
		  "\"connections_per_address\": 2000, \"announce_ttl_s\": 60, " STOP_SETTINGS,
		  sizeof(fleet->extra_settings));
	for (int i = 0; i < NODES; i++) {
		struct sockaddr_in address = { .sin_family = AF_INET,
					       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };

		g_snprintf(upstreams[i].id, sizeof(upstreams[i].id), "i-%d", i);
		upstreams[i].service = i ? "far" : "near";
		upstreams[i].capacity = 100;
		upstreams[i].daemon = MHD_start_daemon(
			MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL,
			NULL, on_request, NULL, MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
			MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address, MHD_OPTION_END);
		upstreams[i].port =
			MHD_get_daemon_info(upstreams[i].daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
		fleet_add_node(fleet, "dc-a");
		send_heartbeat(i);
	}
	publish_config();
	return fleet_wait_live(fleet, NODES, WAIT_MS) ? 0 : 1;
}

static int tear_down(void **state)
{
	(void)state;
	g_atomic_int_set(&test_ended, 1);
	fleet_free(fleet);
	for (int i = 0; i < NODES; i++)
		MHD_stop_daemon(upstreams[i].daemon);
	g_hash_table_destroy(runs);
	return 0;
}

/* Waits until each node reaches both targets. */
static void wait_until_served(void)
{
	static const char *const services[] = { "near", "far" };

	for (int i = 0; i < 2 * NODES; i++) {
		bool served = false;

		for (int tries = 0; tries < WAIT_MS / INTERVAL_MS && !served; tries++) {
			struct request request = { .node = i / 2,
						   .service = services[i % 2],
						   .timeout_ms = 1000,
						   .id = "ready" };

			request.fd = open_connection(request.node);
			exchange(&request);
			close(request.fd);
			served = request.status == STATUS_OK;
			if (!served)
				wait_ms(INTERVAL_MS);
		}
		assert_true(served);
	}
}

/** How the requests of a stop ended. */
struct tally {
	int answered;	 /* by the target, or by the node before the target got it */
	int unread;	 /* no answer, and no target got it */
	int lost;	 /* a target got it, and its caller no complete answer */
	int broken;	 /* a target worked on it when the node answered in its place, too early */
	int unfulfilled; /* a promise that it has not run, but a target got it */
	int repeated;	 /* unsafe, and run more than once */
	int unsure;	 /* "may have run" before its time was over, but no target got it */
	int unbounded;	 /* a target may work on it after the node is gone */
	int failed;	 /* had time enough, and got no 200 */
};

static bool is_promise(int status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

/* Whether the node answered before it had to, while the target was at work. */
static bool was_broken_off(const struct request *request, const struct run *run)
{
	int64_t deadline_us = request->sent_us + request->timeout_ms * US_PER_MS;
	bool at_work = run->ended_us == 0 || run->ended_us > request->ended_us;

	if (request->by_target || !at_work || request->ended_us >= deadline_us - ROUNDING_US)
		return false;
	return request->sent_us > stop_began_us + EARLY_US ||
	       request->ended_us < stop_began_us + LAST_SIXTH_US;
}

/* Whether a request sent to the stopping node could be served in full. */
static bool had_time(const struct request *request)
{
	int64_t sent_us = request->sent_us - stop_began_us;

	int work_ms = request->work_ms + request->body_ms;

	return sent_us < 2 * US_PER_S && work_ms * 2 < request->timeout_ms &&
	       sent_us + work_ms * US_PER_MS < GRACE_US - 2 * US_PER_S;
}

/* Whether the node gave no promise although no target had got the request. */
static bool is_unsure(const struct request *request)
{
	int64_t deadline_us = request->sent_us + request->timeout_ms * US_PER_MS;

	return request->unsafe && (request->status == 502 || request->status == 504) &&
	       request->ended_us < deadline_us - ROUNDING_US;
}

/* Whether a request that the stopping node took, or passed to its target, got too much time. */
static bool is_unbounded(const struct request *request, const struct run *run)
{
	return request->node == 0 && request->sent_us > stop_began_us + ROUNDING_US &&
	       run->until_us > stop_began_us + GRACE_US;
}

static void print_request(const struct request *request, const struct run *run)
{
	print_message("%s to node %d, target %s%s, work %d ms, timeout %d ms: sent at %lld ms, "
		      "%s %d at %lld ms, %d runs\n",
		      request->id, request->node, request->service,
		      request->unsafe ? ", unsafe" : "", request->work_ms, request->timeout_ms,
		      (request->sent_us - stop_began_us) / US_PER_MS,
		      request->complete ? "answered" : "ended", request->status,
		      (request->ended_us - stop_began_us) / US_PER_MS, run ? run->count : 0);
}

/* Adds one request to the tally. Returns whether it ended as it may. */
static bool count_result(struct tally *tally, const struct request *request, const struct run *run)
{
	struct tally before = *tally;

	tally->answered += request->complete;
	tally->unread += !request->complete && !run;
	tally->lost += !request->complete && run;
	tally->broken += request->complete && run && was_broken_off(request, run);
	tally->unfulfilled += request->complete && run && is_promise(request->status);
	tally->repeated += request->unsafe && run && run->count > 1;
	tally->unsure += request->complete && !run && is_unsure(request);
	tally->unbounded += run && is_unbounded(request, run);
	tally->failed += had_time(request) && request->status != STATUS_OK;
	before.answered = tally->answered;
	before.unread = tally->unread;
	return memcmp(&before, tally, sizeof(before)) == 0;
}

static struct tally count_results(void)
{
	struct tally tally = { 0 };

	for (int i = 0; i < request_count; i++) {
		const struct run *run = g_hash_table_lookup(runs, requests[i].id);

		if (requests[i].sent_us && !count_result(&tally, &requests[i], run))
			print_request(&requests[i], run);
	}
	print_message("answered %d, unread %d, lost %d, broken off %d, promise not kept %d, "
		      "repeated %d, unsure %d, unbounded %d, failed %d\n",
		      tally.answered, tally.unread, tally.lost, tally.broken, tally.unfulfilled,
		      tally.repeated, tally.unsure, tally.unbounded, tally.failed);
	return tally;
}

/* Sends the next two requests: one over a new connection, one over an open one if there is one. */
static void send_pair(int index, int *kept)
{
	static const int work_ms[] = { 10, 400, 2000, 7000 };
	static const int timeout_ms[] = { 800, 3000, 9000 };
	static const char *const services[] = { "near", "far" };

	for (int n = 2 * index; n < 2 * index + 2; n++) {
		struct request *request =
			request_new(&(struct request){ .node = n % 5 == 4,
						       .fd = -1,
						       .service = services[n / 24 % 2],
						       .unsafe = n / 12 % 2,
						       .work_ms = work_ms[n % 4],
						       .timeout_ms = timeout_ms[n / 4 % 3],
						       .body_ms = n % 10 == 7 ? 1500 : 0 });

		if (request->node == 0 && n % 2 && index < KEPT_MAX) {
			request->fd = kept[index];
			kept[index] = -1;
		}
		request->thread = g_thread_new("request", request_main, request);
	}
}

static void open_kept(int *kept)
{
	for (int i = 0; i < KEPT_MAX; i++)
		kept[i] = open_connection(0);
}

static void close_kept(const int *kept)
{
	for (int i = 0; i < KEPT_MAX; i++)
		if (kept[i] >= 0)
			close(kept[i]);
}

static void join_requests(void)
{
	for (int i = 0; i < request_count; i++)
		if (requests[i].thread)
			g_thread_join(requests[i].thread);
}

static void begin_stop(void)
{
	stop_began_us = clock_now().mono_us;
	process_signal(&fleet->nodes[0].daemon, SIGTERM);
}

/* Requests of all shapes, from a second before the stop until the node is gone. */
static void test_stop_leaves_no_request_without_an_answer(void **state)
{
	int kept[KEPT_MAX];
	int sent = 0;
	struct tally tally;

	(void)state;
	wait_until_served();
	open_kept(kept);
	stop_began_us = INT64_MAX / 2;
	for (; sent < US_PER_S / US_PER_MS / INTERVAL_MS; sent++) {
		send_pair(sent, kept);
		wait_ms(INTERVAL_MS);
	}
	begin_stop();
	while (process_wait(&fleet->nodes[0].daemon, 0) < 0 &&
	       clock_now().mono_us < stop_began_us + 2 * GRACE_US) {
		send_pair(sent++, kept);
		wait_ms(INTERVAL_MS);
	}
	assert_true(clock_now().mono_us < stop_began_us + GRACE_US);
	join_requests();
	close_kept(kept);
	tally = count_results();
	assert_int_equal(tally.lost, 0);
	assert_int_equal(tally.broken, 0);
	assert_int_equal(tally.unfulfilled, 0);
	assert_int_equal(tally.repeated, 0);
	assert_int_equal(tally.unsure, 0);
	assert_int_equal(tally.unbounded, 0);
	assert_int_equal(tally.failed, 0);
}

/* Other nodes pass short unsafe requests to the stopping node's target all the time, and hear of
 * the stop one after another. None may get "may have run" since the node was gone before it had
 * read the request. */
static void test_stop_refuses_what_other_nodes_pass_on(void **state)
{
	enum { CALLERS = 14 };
	struct busy_caller callers[CALLERS];
	struct tally tally;

	(void)state;
	for (int i = 0; i < CALLERS; i++)
		fleet_add_node(fleet, "dc-a");
	assert_true(fleet_wait_live(fleet, NODES + CALLERS, WAIT_MS));
	wait_until_served();
	begin_stop();
	wait_ms(2000);
	for (int i = 0; i < CALLERS; i++) {
		callers[i].shape = (struct request){ .node = NODES + i,
						     .service = "near",
						     .unsafe = true,
						     .work_ms = 1,
						     .timeout_ms = 3000 };
		callers[i].thread = g_thread_new("busy", busy_main, &callers[i]);
	}
	for (int i = 0; i < CALLERS; i++)
		g_thread_join(callers[i].thread);
	assert_int_equal(process_wait(&fleet->nodes[0].daemon, WAIT_MS), 0);
	tally = count_results();
	assert_int_equal(tally.unfulfilled, 0);
	assert_int_equal(tally.unsure, 0);
}

/* Sends a number of requests at once, each from a thread. */
static void send_at_once(const struct request *shape, int count)
{
	for (int i = 0; i < count; i++) {
		struct request *request = request_new(shape);

		request->fd = -1;
		request->thread = g_thread_new("request", request_main, request);
	}
}

/* Unsafe requests that usually take longer than the rest of the stop. They must be refused before
 * they are passed on, so that their callers may try elsewhere. */
static void test_stop_refuses_what_cannot_end(void **state)
{
	enum { LEARNT = 12, LATE = 10 };
	struct request shape = { .service = "near",
				 .unsafe = true,
				 .slow_route = true,
				 .work_ms = 2000,
				 .timeout_ms = 9000 };
	int refused = 0;

	(void)state;
	wait_until_served();
	send_at_once(&shape, LEARNT);
	join_requests();
	begin_stop();
	wait_ms(2200);
	for (shape.node = 0; shape.node < NODES; shape.node++)
		send_at_once(&shape, LATE / NODES);
	for (int i = LEARNT; i < LEARNT + LATE; i++) {
		g_thread_join(requests[i].thread);
		refused += requests[i].status == 503 &&
			   requests[i].ended_us - requests[i].sent_us < US_PER_S &&
			   !g_hash_table_lookup(runs, requests[i].id);
	}
	assert_int_equal(process_wait(&fleet->nodes[0].daemon, WAIT_MS), 0);
	count_results();
	assert_int_equal(refused, LATE);
}

/* Unsafe requests of another node wait in the queue of the stopping node's target. Those that can't
 * run there any more must go back in time as not run. */
static void test_stop_returns_queued_requests(void **state)
{
	enum { CALLS = 18 };
	struct request shape = {
		.node = 1, .service = "near", .unsafe = true, .work_ms = 1000, .timeout_ms = 12000
	};
	struct tally tally;

	(void)state;
	upstreams[0].capacity = 2;
	send_heartbeat(0);
	wait_until_served();
	send_at_once(&shape, CALLS);
	wait_ms(200);
	begin_stop();
	join_requests();
	assert_int_equal(process_wait(&fleet->nodes[0].daemon, WAIT_MS), 0);
	tally = count_results();
	assert_int_equal(tally.lost, 0);
	assert_int_equal(tally.unfulfilled, 0);
	assert_int_equal(tally.unsure, 0);
}

/* Two more signals, for the end of the notice and of the wait, cut the stop short. */
static void test_signals_leave_no_request_without_an_answer(void **state)
{
	int kept[KEPT_MAX];
	struct tally tally;

	(void)state;
	wait_until_served();
	open_kept(kept);
	begin_stop();
	for (int sent = 0; process_wait(&fleet->nodes[0].daemon, 0) < 0; sent++) {
		if (sent == 10 || sent == 20)
			process_signal(&fleet->nodes[0].daemon, SIGTERM);
		assert_true(clock_now().mono_us < stop_began_us + GRACE_US / 2);
		send_pair(sent, kept);
		wait_ms(INTERVAL_MS);
	}
	join_requests();
	close_kept(kept);
	tally = count_results();
	assert_int_equal(tally.lost, 0);
	assert_int_equal(tally.unfulfilled, 0);
	assert_int_equal(tally.repeated, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_stop_leaves_no_request_without_an_answer,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_stop_refuses_what_other_nodes_pass_on, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_stop_refuses_what_cannot_end, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_signals_leave_no_request_without_an_answer,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_stop_returns_queued_requests, set_up,
						tear_down),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	cmocka_set_test_filter(getenv("TEST_ONLY"));
	return cmocka_run_group_tests_name("godwithitchd/stop", tests, NULL, NULL);
}
