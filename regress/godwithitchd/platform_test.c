/* Tests of the daemon with the platform's interfaces: store, heartbeats, requests and stops. */
#include "regress/lib/check.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer/codec.h"
#include "peer/wire.h"
#include "regress/lib/fleet.h"

#define SERVICE "books"
#define HOST	"Host: shop.example"

enum { NODES = 2, WAIT_MS = 8000, SLOW_MS = 300, ARRIVALS_MAX = 1 << 16 };

/** The target of one node, an HTTP server in this process. */
struct upstream {
	struct MHD_Daemon *daemon;
	char id[16];
	const char *version;
	int port;
	int sequence;
	gint runs;
	gint write_runs;
	gint aborted; /**< requests whose connection closed before the answer */
	gint leaving; /**< its health answer is 503 */
	char caller_service[32];
	char tenant[32];
	gint keys;	      /**< requests with an Authorization field */
	double warmup_left_s; /**< stated by its heartbeats */
	GMutex mutex;	      /**< of the arrivals */
	int64_t arrivals_us[ARRIVALS_MAX];
	int arrivals;
};

static struct fleet *fleet;
static struct upstream upstreams[NODES];

static enum MHD_Result queue_response(struct MHD_Connection *connection, unsigned int status,
				      const char *body, bool add_signature, bool executed)
{
	const char *id = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "X-Request-Id");
	struct MHD_Response *response =
		MHD_create_response_from_buffer(strlen(body), (void *)body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	if (add_signature)
		MHD_add_response_header(response, "X-Response-Signature", "s1");
	if (!executed)
		MHD_add_response_header(response, "X-Not-Executed", "1");
	if (id)
		MHD_add_response_header(response, "X-Request-Id", id);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result on_request(void *context, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *size, void **state)
{
	struct upstream *upstream = context;
	const char *expected_id =
		MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "X-Expected-Instance");
	const char *service =
		MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "X-Caller-Service");
	const char *tenant =
		MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "X-Tenant-Id");

	(void)method;
	(void)version;
	(void)data;
	if (!*state) {
		*state = upstream;
		return MHD_YES;
	}
	if (*size) {
		*size = 0;
		return MHD_YES;
	}
	if (expected_id && strcmp(expected_id, upstream->id) != 0)
		return queue_response(connection, 421, "", false, true);
	g_strlcpy(upstream->caller_service, service ? service : "",
		  sizeof(upstream->caller_service));
	g_strlcpy(upstream->tenant, tenant ? tenant : "", sizeof(upstream->tenant));
	if (MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Authorization"))
		g_atomic_int_inc(&upstream->keys);
	if (strcmp(url, "/health") == 0)
		return queue_response(connection, g_atomic_int_get(&upstream->leaving) ? 503 : 200,
				      "", false, true);
	if (strstr(url, "/shed"))
		return queue_response(connection, 503, "", false, false);
	g_atomic_int_inc(&upstream->runs);
	g_mutex_lock(&upstream->mutex);
	if (upstream->arrivals < ARRIVALS_MAX)
		upstream->arrivals_us[upstream->arrivals++] = clock_now().mono_us;
	g_mutex_unlock(&upstream->mutex);
	if (strstr(url, "/write"))
		g_atomic_int_inc(&upstream->write_runs);
	if (strstr(url, "/slow"))
		poll(NULL, 0, SLOW_MS);
	if (strstr(url, "/unsigned"))
		return queue_response(connection, 200, "forged", false, true);
	return queue_response(connection, 200, url, true, true);
}

static struct http_reply http_post(const char *url, struct str body)
{
	struct http_client *client = http_client_new();
	struct http_options options = { .method = "POST", .body = body, .timeout_ms = 2000 };
	struct http_reply reply = http_do(client, url, &options);

	http_client_free(client);
	return reply;
}

static void send_heartbeat(int index, const char *state)
{
	struct upstream *upstream = &upstreams[index];
	char url[96];
	char *body = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"version\":\"%s\","
		"\"capacity\":4,\"state\":\"%s\",\"warmup_left_s\":%g,\"sequence\":%d,\"born\":5}",
		SERVICE, upstream->port, upstream->version, state, upstream->warmup_left_s,
		++upstream->sequence);
	struct http_reply reply;

	g_snprintf(url, sizeof(url), "http://%s/instances/%s/heartbeat",
		   fleet->nodes[index].announce_address, upstream->id);
	reply = http_post(url, str_from_cstr(body));
	assert_int_equal(reply.status, 200);
	http_reply_clear(&reply);
	g_free(body);
}

/* Sends a heartbeat of another writer, of a later start than all targets. */
static void send_foreign_heartbeat(int node, const char *state)
{
	char url[96];
	char body[256];
	struct http_reply reply;

	g_snprintf(url, sizeof(url), "http://%s/instances/other/heartbeat",
		   fleet->nodes[node].announce_address);
	g_snprintf(body, sizeof(body),
		   "{\"service\":\"unnamed\",\"address\":\"127.0.0.1:9\",\"version\":\"v1\","
		   "\"capacity\":4,\"state\":\"%s\",\"sequence\":1,\"born\":900}",
		   state);
	reply = http_post(url, str_from_cstr(body));
	assert_int_equal(reply.status, 200);
	http_reply_clear(&reply);
}

static void append_record(const char *topic, const char *key, const char *value)
{
	struct strbuf record = { 0 };
	char url[96];
	size_t len = 1 + strlen(key) + strlen(value);
	char head[5] = { (char)(len >> 24), (char)(len >> 16), (char)(len >> 8), (char)len,
			 (char)strlen(key) };
	struct http_reply reply;

	strbuf_add(&record, (struct str){ head, sizeof(head) });
	strbuf_add(&record, str_from_cstr(key));
	strbuf_add(&record, str_from_cstr(value));
	g_snprintf(url, sizeof(url), "http://127.0.0.1:%d/log-append?topic=%s&part=0",
		   fleet->log_port, topic);
	reply = http_post(url, strbuf_str(&record));
	assert_int_equal(reply.status, 200);
	http_reply_clear(&reply);
	strbuf_clear(&record);
}

/* @param more  further members of the service */
static void publish_config_with(int version, const char *prefix, const char *more)
{
	char *text = g_strdup_printf(
		"{\"version\":%d,\"services\":[{\"name\":\"%s\",\"health_path\":\"/health\"%s}],"
		"\"virtual_hosts\":[{\"host\":\"shop.example\",\"paths\":["
		"{\"name\":\"read\",\"path_prefix\":\"%s\",\"kind\":\"safe\",\"timeout_s\":1,"
		"\"service\":\"%s\",\"max_attempts\":2},"
		"{\"name\":\"write\",\"path_prefix\":\"/write/\",\"kind\":\"unsafe\","
		"\"timeout_s\":1,\"service\":\"%s\",\"max_attempts\":2}]}]}",
		version, SERVICE, more, prefix, SERVICE, SERVICE);

	append_record("keyed.op", "config", text);
	g_free(text);
}

static void publish_config(int version, const char *prefix)
{
	publish_config_with(version, prefix, "");
}

static struct http_reply send_request(int node, const char *path, const char *method)
{
	struct http_client *client = http_client_new();
	struct http_options options = { .method = method,
					.headers = { HOST, "X-Request-Id: r1",
						     "X-Timeout-Ms: 3000" },
					.timeout_ms = 5000 };
	char url[128];
	struct http_reply reply;

	g_snprintf(url, sizeof(url), "http://%s%s", fleet->nodes[node].caller_address, path);
	reply = http_do(client, url, &options);
	http_client_free(client);
	return reply;
}

static long request_status(int node, const char *path, const char *method)
{
	struct http_reply reply = send_request(node, path, method);
	long status = reply.status;

	http_reply_clear(&reply);
	return status;
}

/* Repeats a request up to WAIT_MS / 50 times until it gets @p wanted; returns the last status. */
static long wait_for_status(int node, const char *path, long wanted)
{
	long status = 0;

	for (int i = 0; i < WAIT_MS / 50 && status != wanted; i++) {
		status = request_status(node, path, "GET");
		if (status != wanted)
			wait_ms(50);
	}
	return status;
}

/* Repeats a request at a node until its own target runs one; false after WAIT_MS / 50 times. */
static bool wait_for_own_target(int node)
{
	g_atomic_int_set(&upstreams[node].runs, 0);
	for (int i = 0; i < WAIT_MS / 50 && g_atomic_int_get(&upstreams[node].runs) == 0; i++) {
		request_status(node, "/a/x", "GET");
		wait_ms(50);
	}
	return g_atomic_int_get(&upstreams[node].runs) > 0;
}

static int start_upstreams(void **state)
{
	(void)state;
	for (int i = 0; i < NODES; i++) {
		struct sockaddr_in address = { .sin_family = AF_INET,
					       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };

		g_snprintf(upstreams[i].id, sizeof(upstreams[i].id), "i-%d", i);
		upstreams[i].version = "v1";
		upstreams[i].daemon = MHD_start_daemon(
			MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL,
			NULL, on_request, &upstreams[i], MHD_OPTION_SOCK_ADDR,
			(struct sockaddr *)&address, MHD_OPTION_END);
		upstreams[i].port =
			MHD_get_daemon_info(upstreams[i].daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
	}
	return 0;
}

static long status_without_config; /* status of a request before the first configuration */

static int set_up(void **state)
{
	start_upstreams(state);
	fleet = fleet_new_platform();
	g_strlcpy(fleet->extra_settings,
		  "\"interface\": \"platform\", \"service\": \"" SERVICE "\", "
		  "\"announce_ttl_s\": 60, \"stop_notice_s\": 0.5, \"stop_within_s\": 3, "
		  "\"revoke_within_s\": 5,",
		  sizeof(fleet->extra_settings));
	for (int i = 0; i < NODES; i++) {
		fleet_add_node(fleet, i ? "dc-b" : "dc-a");
		send_heartbeat(i, "ready");
	}
	/* The nodes join during this time; no configuration is published yet. */
	wait_ms(500);
	status_without_config = request_status(0, "/a/x", "GET");
	publish_config(3, "/a/");
	for (int i = 0; i < NODES; i++)
		if (wait_for_status(i, "/a/x", 200) != 200 || !wait_for_own_target(i))
			return 1;
	return fleet_wait_live(fleet, NODES, WAIT_MS) ? 0 : 1;
}

static int tear_down(void **state)
{
	(void)state;
	fleet_free(fleet);
	for (int i = 0; i < NODES; i++)
		MHD_stop_daemon(upstreams[i].daemon);
	return 0;
}

/* A node without a configuration knows no routes, so it must not answer 404. */
static void test_request_without_configuration_gets_503(void **state)
{
	(void)state;
	assert_int_equal(status_without_config, 503);
}

static void test_response_statuses(void **state)
{
	struct http_reply reply = send_request(0, "/a/x", "GET");

	(void)state;
	assert_int_equal(reply.status, 200);
	assert_string_equal(upstreams[0].caller_service, SERVICE);
	http_reply_clear(&reply);
	assert_int_equal(request_status(0, "/nowhere/x", "GET"), 404);
	assert_int_equal(request_status(0, "/write/x", "POST"), 200);
	/* All targets shed the request; 503 is the status for a request that was not executed. */
	assert_int_equal(request_status(0, "/a/shed", "GET"), 503);
	/* A 200 without the target's signature does not count; the request may have run. */
	assert_int_equal(request_status(0, "/a/unsigned", "GET"), 502);
}

static void test_misdirected_request_is_not_executed(void **state)
{
	(void)state;
	g_strlcpy(upstreams[0].id, "i-new", sizeof(upstreams[0].id));
	g_atomic_int_set(&upstreams[0].runs, 0);
	/* The other node's target answers instead. */
	assert_int_equal(request_status(0, "/a/x", "GET"), 200);
	assert_int_equal(g_atomic_int_get(&upstreams[0].runs), 0);
	g_strlcpy(upstreams[0].id, "i-0", sizeof(upstreams[0].id));
	send_heartbeat(0, "ready");
}

/* Sends a node the advert of a version, as from another node of its fleet. */
static void send_advert(int node, int64_t version)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	struct message *message = message_new(MESSAGE_ADVERT);
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	struct strbuf payload = { 0 };
	struct strbuf frame = { 0 };
	char log_url[64];

	g_snprintf(log_url, sizeof(log_url), "http://127.0.0.1:%d", fleet->nodes_log_port);
	message->advert.version = version;
	message->advert.confirmed_age_us = CONFIRMED_NEVER;
	codec_encode(message, &payload);
	wire_put_tagged(&frame, FRAME_MESSAGE, member_id(INADDR_LOOPBACK, 9),
			str_hash(str_from_cstr(log_url), 0), strbuf_str(&payload));
	address.sin_port = htons((uint16_t)atoi(strchr(fleet->nodes[node].address, ':') + 1));
	assert_int_equal(
		sendto(fd, frame.data, frame.len, 0, (struct sockaddr *)&address, sizeof(address)),
		(ssize_t)frame.len);
	close(fd);
	strbuf_clear(&frame);
	strbuf_clear(&payload);
	message_unref(message);
}

/* A node that knows of a newer version than it holds can't know that a route does not exist: 404 is
 * final for callers. The log shows later that the version does not exist. */
static void test_route_of_a_newer_version_is_not_denied(void **state)
{
	(void)state;
	fleet_log_fault(fleet, "out=1");
	send_advert(0, 1000);
	assert_int_equal(wait_for_status(0, "/added-later/x", 503), 503);
	fleet_log_fault(fleet, "out=0");
	assert_int_equal(wait_for_status(0, "/added-later/x", 404), 404);
}

static int open_connection(int node)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_port =
		htons((uint16_t)atoi(strchr(fleet->nodes[node].caller_address, ':') + 1));
	assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

static void send_text(int fd, const char *text)
{
	assert_int_equal(send(fd, text, strlen(text), MSG_NOSIGNAL), (ssize_t)strlen(text));
}

/* Pipelined requests must run concurrently, and their answers must come in request order. */
static void test_pipelined_requests_run_concurrently(void **state)
{
	int64_t started_us = clock_now().mono_us;
	char text[4096] = "";
	size_t len = 0;
	int fd = open_connection(0);

	(void)state;
	send_text(fd, "GET /a/slow/1 HTTP/1.1\r\n" HOST "\r\n\r\n"
		      "GET /a/slow/2 HTTP/1.1\r\n" HOST "\r\n\r\n"
		      "GET /a/3 HTTP/1.1\r\n" HOST "\r\nConnection: close\r\n\r\n");
	for (;;) {
		ssize_t n = recv(fd, text + len, sizeof(text) - 1 - len, 0);

		if (n <= 0)
			break;
		len += (size_t)n;
		text[len] = '\0';
	}
	close(fd);
	assert_non_null(strstr(text, "/a/slow/1"));
	assert_true(strstr(text, "/a/slow/1") < strstr(text, "/a/slow/2"));
	assert_true(strstr(text, "/a/slow/2") < strstr(text, "/a/3"));
	assert_true(clock_now().mono_us - started_us < (2 * SLOW_MS - 50) * US_PER_MS);
}

static void test_older_or_invalid_configuration_is_ignored(void **state)
{
	(void)state;
	publish_config(5, "/b/");
	assert_int_equal(wait_for_status(0, "/b/x", 200), 200);
	assert_int_equal(wait_for_status(1, "/b/x", 200), 200);
	assert_int_equal(request_status(0, "/a/x", "GET"), 404);
	/* An older version and one that does not parse must both be ignored. */
	publish_config(4, "/c/");
	append_record("keyed.op", "config", "{\"version\":9,");
	wait_ms(500);
	assert_int_equal(request_status(0, "/b/x", "GET"), 200);
	assert_int_equal(request_status(0, "/c/x", "GET"), 404);
	publish_config(10, "/a/");
	assert_int_equal(wait_for_status(0, "/a/x", 200), 200);
	assert_int_equal(wait_for_status(1, "/a/x", 200), 200);
}

/* Guards against a node that stays on an old configuration because the next records expired: two
 * versions are published while reads fail, then the store drops all but the newest record. */
static void test_newest_configuration_after_history_expired(void **state)
{
	(void)state;
	fleet_log_fault(fleet, "out=1");
	wait_ms(200);
	fleet_log_fault(fleet, "deaf=1&out=0");
	publish_config(11, "/c/");
	publish_config(12, "/d/");
	fleet_log_fault(fleet, "forget=1&deaf=0");
	assert_int_equal(wait_for_status(0, "/d/x", 200), 200);
	assert_int_equal(wait_for_status(1, "/d/x", 200), 200);
	publish_config(14, "/a/");
	assert_int_equal(wait_for_status(0, "/a/x", 200), 200);
	assert_int_equal(wait_for_status(1, "/a/x", 200), 200);
}

/* A node that starts while the store is unavailable must get the configuration from other nodes. */
static void test_restart_while_store_unavailable(void **state)
{
	(void)state;
	fleet_log_fault(fleet, "out=1");
	process_kill(&fleet->nodes[1].daemon);
	fleet_restart_node(fleet, 1);
	send_heartbeat(1, "ready");
	assert_int_equal(wait_for_status(1, "/a/x", 200), 200);
	fleet_log_fault(fleet, "out=0");
}

/* All nodes start while the store accepts requests but does not answer, so none can get the
 * configuration from another. Within two seconds after the store recovers, the unanswered requests
 * must be retried and all nodes must serve. */
static void test_recovery_after_store_stopped_answering(void **state)
{
	struct deadline recover_by;

	(void)state;
	fleet_log_fault(fleet, "silent=1");
	for (int i = 0; i < NODES; i++)
		process_kill(&fleet->nodes[i].daemon);
	for (int i = 0; i < NODES; i++)
		fleet_restart_node(fleet, i);
	for (int i = 0; i < NODES; i++)
		send_heartbeat(i, "ready");
	wait_ms(2800);
	fleet_log_fault(fleet, "silent=0");
	recover_by = deadline_after(clock_now(), 2 * US_PER_S);
	for (int i = 0; i < NODES; i++)
		assert_int_equal(wait_for_status(i, "/a/x", 200), 200);
	assert_false(deadline_passed(recover_by, clock_now()));
	assert_true(fleet_wait_live(fleet, NODES, WAIT_MS));
}

/* Waits until a node reads the store's newest records. */
static bool wait_for_page_read(void)
{
	char url[64];
	bool reads = false;

	g_snprintf(url, sizeof(url), "http://127.0.0.1:%d/pages", fleet->log_port);
	for (int i = 0; i < WAIT_MS / 20 && !reads; i++) {
		struct http_reply reply = http_post(url, STR(""));

		reads = !str_equal(strbuf_str(&reply.body), STR("0"));
		http_reply_clear(&reply);
		if (!reads)
			wait_ms(20);
	}
	return reads;
}

/* All nodes start and read the newest records in two pages. A configuration that is acknowledged
 * between the pages must not be taken for read. */
static void test_change_between_two_pages_is_not_lost(void **state)
{
	(void)state;
	append_record("keyed.op", "zz-other", "{}");
	fleet_log_fault(fleet, "page=1&page_ms=500");
	for (int i = 0; i < NODES; i++)
		process_kill(&fleet->nodes[i].daemon);
	for (int i = 0; i < NODES; i++)
		fleet_restart_node(fleet, i);
	assert_true(wait_for_page_read());
	publish_config(15, "/e/");
	for (int i = 0; i < NODES; i++)
		send_heartbeat(i, "ready");
	wait_ms(1000);
	fleet_log_fault(fleet, "page=1000&page_ms=0");
	for (int i = 0; i < NODES; i++)
		assert_int_equal(wait_for_status(i, "/e/x", 200), 200);
	publish_config(16, "/a/");
	for (int i = 0; i < NODES; i++)
		assert_int_equal(wait_for_status(i, "/a/x", 200), 200);
	assert_true(fleet_wait_live(fleet, NODES, WAIT_MS));
}

/* Waits until the wanted path is served; fails if a node serves the path of the version before. */
static void assert_only_newest_is_served(const char *wanted, const char *older)
{
	for (int node = 0; node < NODES; node++) {
		long status = 0;

		for (int i = 0; i < WAIT_MS / 50 && status != 200; i++) {
			assert_int_not_equal(request_status(node, older, "GET"), 200);
			status = request_status(node, wanted, "GET");
			if (status != 200)
				wait_ms(50);
		}
		assert_int_equal(status, 200);
	}
}

/* All machines lose power soon after a change was acknowledged. Nothing is kept on them, so that
 * what they come back with is in the store: the change, and no older version at any moment. */
static void test_acknowledged_change_survives_power_loss_of_all(void **state)
{
	static const int after_ms[] = { 0, 5, 60, 400 };
	char older[16] = "/a/x";

	(void)state;
	for (int round = 0; round < (int)G_N_ELEMENTS(after_ms); round++) {
		char prefix[16];
		char path[16];

		g_snprintf(prefix, sizeof(prefix), "/p%d/", round);
		g_snprintf(path, sizeof(path), "%sx", prefix);
		publish_config(20 + round, prefix);
		wait_ms(after_ms[round]);
		for (int i = 0; i < NODES; i++)
			process_kill(&fleet->nodes[i].daemon);
		for (int i = 0; i < NODES; i++)
			fleet_restart_node(fleet, i);
		for (int i = 0; i < NODES; i++)
			send_heartbeat(i, "ready");
		assert_only_newest_is_served(path, older);
		g_strlcpy(older, path, sizeof(older));
	}
	publish_config(30, "/a/");
	for (int i = 0; i < NODES; i++)
		assert_int_equal(wait_for_status(i, "/a/x", 200), 200);
	assert_true(fleet_wait_live(fleet, NODES, WAIT_MS));
}

/* Returns whether the newest records of a topic, once decoded, hold the text of a key. */
static bool topic_holds(const char *topic, const char *text)
{
	struct http_client *client = http_client_new();
	struct http_options options = { .method = "GET", .timeout_ms = 2000 };
	struct http_reply reply;
	char url[96];
	char *body;
	char **parts;
	bool holds;

	g_snprintf(url, sizeof(url), "http://127.0.0.1:%d/log-newest?topic=%s&part=0",
		   fleet->log_port, topic);
	reply = http_do(client, url, &options);
	body = str_to_cstr(strbuf_str(&reply.body));
	holds = strstr(body, text) != NULL;
	parts = g_strsplit(body, "\"value\":\"", -1);
	for (int i = 1; parts[0] && parts[i]; i++) {
		gsize len;
		char *value;

		*strchr(parts[i], '"') = '\0';
		value = (char *)g_base64_decode(parts[i], &len);
		holds |= g_strstr_len(value, (gssize)len, text) != NULL;
		g_free(value);
	}
	g_strfreev(parts);
	g_free(body);
	http_reply_clear(&reply);
	http_client_free(client);
	return holds;
}

static bool wait_for_topic(const char *topic, const char *text)
{
	bool holds = false;

	for (int i = 0; i < WAIT_MS / 50 && !holds; i++) {
		holds = topic_holds(topic, text);
		if (!holds)
			wait_ms(50);
	}
	return holds;
}

static void publish_order(const char *version)
{
	char *text =
		g_strdup_printf("{\"service\":\"%s\",\"target_version\":\"%s\",\"duration_s\":2}",
				SERVICE, version);

	append_record("keyed.op", "rollout/" SERVICE, text);
	g_free(text);
}

/* Brings the store back from a copy, after a moment in which it is away. */
static void restore_store(struct instant copied_at)
{
	char fault[48];

	fleet_log_fault(fleet, "out=1");
	wait_ms(300);
	g_snprintf(fault, sizeof(fault), "out=0&restore_ms=%lld",
		   (clock_now().mono_us - copied_at.mono_us) / US_PER_MS);
	fleet_log_fault(fleet, fault);
}

/* For a time, each node must serve one path and must not serve the one of the version before. */
static void assert_stays(const char *wanted, const char *older, int ms)
{
	for (int i = 0; i < ms / 100; i++) {
		for (int node = 0; node < NODES; node++) {
			assert_int_equal(request_status(node, wanted, "GET"), 200);
			assert_int_not_equal(request_status(node, older, "GET"), 200);
		}
		wait_ms(100);
	}
}

static bool node_logs(int node, const char *text)
{
	char *log = NULL;
	bool found;

	assert_true(g_file_get_contents(fleet->nodes[node].log_path, &log, NULL, NULL));
	found = strstr(log, text) != NULL;
	g_free(log);
	return found;
}

/*
 * The store comes back without the newest configuration, the last order with the state of its move,
 * and the entry of a node that had started meanwhile. No node may go back to the older
 * configuration, or run the finished move again; each must follow what the operator writes again,
 * although the offsets are lower than those that it has read.
 */
static void test_store_comes_back_from_an_older_copy(void **state)
{
	struct instant copied_at;

	(void)state;
	wait_ms(200);
	copied_at = clock_now();
	wait_ms(200);
	publish_config(31, "/r/");
	process_kill(&fleet->nodes[1].daemon);
	fleet_restart_node(fleet, 1);
	upstreams[1].version = "v2";
	send_heartbeat(1, "ready");
	assert_int_equal(wait_for_status(0, "/r/x", 200), 200);
	assert_int_equal(wait_for_status(1, "/r/x", 200), 200);
	assert_true(fleet_wait_live(fleet, NODES, WAIT_MS));
	publish_order("v2");
	assert_true(wait_for_topic("keyed.status", "\"state\":\"completed\""));
	assert_true(wait_for_topic("keyed.nodes", fleet->nodes[1].address));

	restore_store(copied_at);
	assert_false(topic_holds("keyed.status", "completed"));
	assert_false(topic_holds("keyed.nodes", fleet->nodes[1].address));
	assert_false(topic_holds("keyed.op", "/r/"));
	assert_stays("/r/x", "/a/x", 1500);
	assert_true(wait_for_topic("keyed.status", "\"state\":\"completed\""));
	assert_true(wait_for_topic("keyed.nodes", fleet->nodes[1].address));
	publish_order("v2");
	publish_config(31, "/r/");
	assert_stays("/r/x", "/a/x", 1000);
	assert_false(topic_holds("keyed.status", "\"state\":\"running\""));
	publish_config(32, "/q/");
	for (int i = 0; i < NODES; i++) {
		assert_int_equal(wait_for_status(i, "/q/x", 200), 200);
		assert_true(node_logs(i, "PLATFORM_LOG_RESTORED"));
	}
	/* A node that starts now gets the same from the store and the others. */
	process_kill(&fleet->nodes[1].daemon);
	fleet_restart_node(fleet, 1);
	upstreams[0].version = "v2";
	for (int i = 0; i < NODES; i++)
		send_heartbeat(i, "ready");
	assert_only_newest_is_served("/q/x", "/r/x");
	publish_config(33, "/a/");
	for (int i = 0; i < NODES; i++)
		assert_int_equal(wait_for_status(i, "/a/x", 200), 200);
	assert_true(topic_holds("keyed.status", "\"state\":\"completed\""));
	assert_true(fleet_wait_live(fleet, NODES, WAIT_MS));
	assert_true(wait_for_own_target(0));
}

static void test_heartbeat_of_another_writer_does_not_replace_target(void **state)
{
	static const char *const states[] = { "ready", "draining" };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(states); i++) {
		send_heartbeat(0, "ready");
		assert_true(wait_for_own_target(0));
		send_foreign_heartbeat(0, states[i]);
		send_heartbeat(0, "ready");
		g_atomic_int_set(&upstreams[0].runs, 0);
		for (int n = 0; n < 20; n++)
			assert_int_equal(request_status(0, "/a/x", "GET"), 200);
		printf("%s: %d of 20 requests ran at the target\n", states[i],
		       g_atomic_int_get(&upstreams[0].runs));
		assert_int_equal(g_atomic_int_get(&upstreams[0].runs), 20);
	}
}

/* Returns the number of requests at an upstream from @p from_us to @p to_us. */
static int arrivals_between(struct upstream *upstream, int64_t from_us, int64_t to_us)
{
	int count = 0;

	g_mutex_lock(&upstream->mutex);
	for (int i = 0; i < upstream->arrivals; i++)
		count += upstream->arrivals_us[i] >= from_us && upstream->arrivals_us[i] < to_us;
	g_mutex_unlock(&upstream->mutex);
	return count;
}

/* Returns the most requests at an upstream in any second from @p from_us on. */
static int most_in_a_second(struct upstream *upstream, int64_t from_us)
{
	int most = 0;

	for (int i = 0; i < upstream->arrivals; i++)
		if (upstream->arrivals_us[i] >= from_us)
			most = MAX(most, arrivals_between(upstream, upstream->arrivals_us[i],
							  upstream->arrivals_us[i] + US_PER_S));
	return most;
}

/* Sends requests at both nodes for @p ms; returns how many were refused. */
static int send_requests_for(int ms)
{
	int64_t end_us = clock_now().mono_us + ms * US_PER_MS;
	int refused = 0;

	for (int i = 0; clock_now().mono_us < end_us; i++)
		refused += request_status(i % NODES, "/a/x", "GET") != 200;
	return refused;
}

/* The fields of the platform's configuration and heartbeats did not reach the limit. */
static void test_cold_targets_get_few_requests(void **state)
{
	int64_t cold_us;
	int64_t warm_us;

	(void)state;
	publish_config_with(50, "/a/", ",\"warmup_s\":6,\"warmup_per_s\":4");
	wait_ms(1500);
	assert_int_equal(wait_for_status(0, "/a/x", 200), 200);
	for (int i = 0; i < NODES; i++) {
		upstreams[i].warmup_left_s = 6;
		send_heartbeat(i, "ready");
	}
	cold_us = clock_now().mono_us;
	send_requests_for(2500);
	for (int i = 0; i < NODES; i++) {
		printf("upstream %d: %d in a second, %d in all\n", i,
		       most_in_a_second(&upstreams[i], cold_us),
		       arrivals_between(&upstreams[i], cold_us, INT64_MAX));
		assert_true(most_in_a_second(&upstreams[i], cold_us) <= 14);
		assert_true(arrivals_between(&upstreams[i], cold_us, INT64_MAX) >= 8);
		upstreams[i].warmup_left_s = 0;
		send_heartbeat(i, "ready");
	}
	/* Warm targets serve far more of the same requests. */
	warm_us = clock_now().mono_us;
	assert_int_equal(send_requests_for(1000), 0);
	for (int i = 0; i < NODES; i++)
		assert_true(arrivals_between(&upstreams[i], warm_us, INT64_MAX) > 28);
	publish_config(51, "/a/");
	wait_ms(1000);
}

/* A record of an evacuation had no effect on the nodes, or its removal had none. */
static void test_evacuated_target_gets_no_requests(void **state)
{
	int64_t closed_us;

	(void)state;
	assert_true(wait_for_own_target(0));
	append_record("keyed.op", "evacuate/dc-a", "{}");
	closed_us = clock_now().mono_us + 5 * US_PER_S;
	assert_int_equal(send_requests_for(7000), 0);
	assert_int_equal(arrivals_between(&upstreams[0], closed_us, INT64_MAX), 0);
	assert_true(arrivals_between(&upstreams[1], closed_us, INT64_MAX) > 10);
	append_record("keyed.op", "evacuate/dc-a", "");
	assert_true(wait_for_own_target(0));
}

static void test_draining_target_gets_no_requests(void **state)
{
	(void)state;
	send_heartbeat(0, "draining");
	g_atomic_int_set(&upstreams[0].runs, 0);
	for (int i = 0; i < 20; i++)
		assert_int_equal(request_status(0, "/a/x", "GET"), 200);
	assert_int_equal(g_atomic_int_get(&upstreams[0].runs), 0);
}

/* A restarted node has forgotten that its target is leaving. Earlier heartbeats that arrive late
 * must not bring the target back. */
static void test_restarted_node_does_not_use_a_leaving_target(void **state)
{
	(void)state;
	g_atomic_int_set(&upstreams[0].leaving, 1);
	process_kill(&fleet->nodes[0].daemon);
	fleet_restart_node(fleet, 0);
	assert_int_equal(wait_for_status(0, "/a/x", 200), 200);
	g_atomic_int_set(&upstreams[0].runs, 0);
	upstreams[0].sequence = 1;
	for (int heartbeat = 0; heartbeat < 3; heartbeat++) {
		send_heartbeat(0, "ready");
		for (int i = 0; i < 20; i++)
			assert_int_equal(request_status(0, "/a/x", "GET"), 200);
	}
	printf("%d of 60 requests ran at the leaving target\n",
	       g_atomic_int_get(&upstreams[0].runs));
	assert_int_equal(g_atomic_int_get(&upstreams[0].runs), 0);
	/* A health answer may be wrong for a while: the target is used once it is good. */
	g_atomic_int_set(&upstreams[0].leaving, 0);
	assert_true(wait_for_own_target(0));
}

static void test_graceful_stop_completes_requests(void **state)
{
	char text[512] = "";
	int fd = open_connection(0);

	(void)state;
	send_text(fd, "GET /a/slow/1 HTTP/1.1\r\n" HOST "\r\n\r\n");
	wait_ms(50);
	process_signal(&fleet->nodes[0].daemon, SIGTERM);
	wait_ms(50);
	/* The node is not ready any more, but serves callers during the notice period. */
	assert_int_equal(request_status(0, "/a/x", "GET"), 200);
	assert_true(recv(fd, text, sizeof(text) - 1, 0) > 0);
	assert_non_null(strstr(text, "200 OK"));
	assert_non_null(strstr(text, "Connection: close"));
	close(fd);
	assert_int_equal(process_wait(&fleet->nodes[0].daemon, WAIT_MS), 0);
}

static void publish_tenants(int version, const char *tenants)
{
	char *text = g_strdup_printf(
		"{\"version\":%d,\"services\":[{\"name\":\"%s\",\"health_path\":\"/health\"}],"
		"\"tenants\":%s,\"virtual_hosts\":[{\"host\":\"shop.example\",\"paths\":["
		"{\"name\":\"read\",\"path_prefix\":\"/a/\",\"kind\":\"safe\",\"timeout_s\":1,"
		"\"service\":\"%s\"},"
		"{\"name\":\"open\",\"path_prefix\":\"/open/\",\"kind\":\"safe\",\"timeout_s\":1,"
		"\"service\":\"%s\",\"public\":true}]}]}",
		version, SERVICE, tenants, SERVICE, SERVICE);

	append_record("keyed.op", "config", text);
	g_free(text);
}

/* Sends a request with a caller's own value of the tenant's field, and a key unless it is NULL. */
static long status_with_key(int node, const char *path, const char *key)
{
	struct http_client *client = http_client_new();
	struct http_options options = { .headers = { HOST, "X-Request-Id: r1", "X-Timeout-Ms: 3000",
						     "X-Tenant-Id: forged", key },
					.timeout_ms = 5000 };
	char url[128];
	struct http_reply reply;
	long status;

	g_snprintf(url, sizeof(url), "http://%s%s", fleet->nodes[node].caller_address, path);
	reply = http_do(client, url, &options);
	status = reply.status;
	http_reply_clear(&reply);
	http_client_free(client);
	return status;
}

static long wait_for_status_with_key(int node, const char *path, const char *key, long wanted)
{
	long status = 0;

	for (int i = 0; i < WAIT_MS / 50 && status != wanted; i++) {
		status = status_with_key(node, path, key);
		if (status != wanted)
			wait_ms(50);
	}
	return status;
}

static int runs_of_all(void)
{
	int runs = 0;

	for (int i = 0; i < NODES; i++)
		runs += g_atomic_int_get(&upstreams[i].runs);
	return runs;
}

static void assert_tenant_at_targets(const char *tenant)
{
	for (int i = 0; i < NODES; i++) {
		if (upstreams[i].tenant[0] || tenant[0] == '\0')
			assert_string_equal(upstreams[i].tenant, tenant);
		assert_int_equal(g_atomic_int_get(&upstreams[i].keys), 0);
	}
}

/* Guards against a target that gets a caller's key, or a tenant that the key does not belong to,
 * and against requests that run without a valid key. */
static void test_keys_name_the_tenant_and_stay_at_the_node(void **state)
{
	static const char *const refused[] = { NULL, "Authorization: Bearer none",
					       "Authorization: Basic k1" };
	int runs;

	(void)state;
	publish_tenants(70, "[{\"name\":\"atelier\",\"api_keys\":[\"k1\"]},"
			    "{\"name\":\"studio\",\"api_keys\":[\"k2\"]}]");
	for (int node = 0; node < NODES; node++) {
		assert_int_equal(wait_for_status_with_key(node, "/a/x", NULL, 401), 401);
		assert_int_equal(
			wait_for_status_with_key(node, "/a/x", "Authorization: Bearer k1", 200),
			200);
		runs = runs_of_all();
		for (size_t i = 0; i < G_N_ELEMENTS(refused); i++)
			assert_int_equal(status_with_key(node, "/a/x", refused[i]), 401);
		assert_int_equal(runs_of_all(), runs);
	}
	for (int i = 0; i < 10; i++)
		assert_int_equal(status_with_key(i % NODES, "/a/x", "Authorization: Bearer k2"),
				 200);
	assert_tenant_at_targets("studio");
	for (int i = 0; i < 10; i++)
		assert_int_equal(status_with_key(i % NODES, "/open/x", NULL), 200);
	assert_tenant_at_targets("");
}

/* Guards against a key that goes on working after it was withdrawn, at one node or at all. */
static void test_withdrawn_key_admits_no_request(void **state)
{
	int runs;

	(void)state;
	publish_tenants(71, "[{\"name\":\"atelier\",\"api_keys\":[]},"
			    "{\"name\":\"studio\",\"api_keys\":[\"k2\"]}]");
	for (int node = 0; node < NODES; node++)
		assert_int_equal(
			wait_for_status_with_key(node, "/a/x", "Authorization: Bearer k1", 401),
			401);
	runs = runs_of_all();
	for (int i = 0; i < 20; i++)
		assert_int_equal(status_with_key(i % NODES, "/a/x", "Authorization: Bearer k1"),
				 401);
	assert_int_equal(runs_of_all(), runs);
	assert_int_equal(status_with_key(0, "/a/x", "Authorization: Bearer k2"), 200);
}

/* Guards against a limit that each node counts alone: at both nodes together no more requests run
 * than the tenant may send. */
static void test_tenant_over_its_limit_gets_429(void **state)
{
	const int limit_per_s = 5;
	int64_t started_us;
	int64_t windows;
	int served = 0;
	int refused = 0;
	int runs;

	(void)state;
	publish_tenants(
		72, "[{\"name\":\"studio\",\"api_keys\":[\"k3\"],\"rate_per_s\":5,\"burst\":5}]");
	for (int node = 0; node < NODES; node++)
		assert_int_equal(
			wait_for_status_with_key(node, "/a/x", "Authorization: Bearer k3", 200),
			200);
	runs = runs_of_all();
	started_us = clock_now().mono_us;
	for (int i = 0; i < 300; i++) {
		long status = status_with_key(i % NODES, "/a/x", "Authorization: Bearer k3");

		served += status == 200;
		refused += status == 429;
	}
	windows = (clock_now().mono_us - started_us) / (5 * US_PER_S) + 1;
	print_message("%d served, %d refused, %ld windows\n", served, refused, windows);
	assert_true(refused > 0);
	assert_int_equal(runs_of_all() - runs, served);
	assert_true(served <= windows * ((limit_per_s * 5 + 5) * 11 / 10 + 20));
	publish_config(73, "/a/");
	for (int node = 0; node < NODES; node++)
		assert_int_equal(wait_for_status(node, "/a/x", 200), 200);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_request_without_configuration_gets_503),
		cmocka_unit_test(test_response_statuses),
		cmocka_unit_test(test_misdirected_request_is_not_executed),
		cmocka_unit_test(test_route_of_a_newer_version_is_not_denied),
		cmocka_unit_test(test_pipelined_requests_run_concurrently),
		cmocka_unit_test(test_older_or_invalid_configuration_is_ignored),
		cmocka_unit_test(test_newest_configuration_after_history_expired),
		cmocka_unit_test(test_restart_while_store_unavailable),
		cmocka_unit_test(test_recovery_after_store_stopped_answering),
		cmocka_unit_test(test_change_between_two_pages_is_not_lost),
		cmocka_unit_test(test_acknowledged_change_survives_power_loss_of_all),
		cmocka_unit_test(test_store_comes_back_from_an_older_copy),
		cmocka_unit_test(test_heartbeat_of_another_writer_does_not_replace_target),
		cmocka_unit_test(test_cold_targets_get_few_requests),
		cmocka_unit_test(test_evacuated_target_gets_no_requests),
		cmocka_unit_test(test_keys_name_the_tenant_and_stay_at_the_node),
		cmocka_unit_test(test_withdrawn_key_admits_no_request),
		cmocka_unit_test(test_tenant_over_its_limit_gets_429),
		cmocka_unit_test(test_draining_target_gets_no_requests),
		cmocka_unit_test(test_restarted_node_does_not_use_a_leaving_target),
		cmocka_unit_test(test_graceful_stop_completes_requests),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	return cmocka_run_group_tests(tests, set_up, tear_down);
}
