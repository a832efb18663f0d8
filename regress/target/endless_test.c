/*
 * A server may send bytes that are no answer without end, until the connection is closed. Calls to
 * the target, its health checks, exchanges with the log service and fetches of the operator's tool
 * must end by their deadline, close the connection, need only a bounded amount of memory, and read
 * few of the bytes that belong to no body.
 */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform/dialect.h"
#include "platform/exchange.h"
#include "regress/lib/listen.h"
#include "target/call.h"
#include "target/health.h"

#define DEADLINE_US	 (1 * US_PER_S)
#define LATE_MAX_US	 (500 * US_PER_MS) /* a call may end this long after its deadline */
#define CLOSED_WITHIN_US (500 * US_PER_MS) /* the connection is closed this long after the call */

#define SWEEP_AFTER_US (100 * US_PER_MS) /* the daemon looks at idle connections once a second */

#define REST_AFTER_US (20 * US_PER_MS)

enum {
	MEMORY_MAX_KB = 16 << 10,
	TAKEN_MAX_BYTES = MEMORY_MAX_KB << 10, /* those in the buffers of both sockets included */
	SERVER_STOP_S = 7,
};

struct endless_case {
	const char *name;
	const char *start;  /* sent once */
	const char *repeat; /* sent until the connection is closed */
	bool is_body;	    /* the bytes are passed on, or taken until the client's own limit */
};

static const struct endless_case cases[] = {
	{ "garbage without a line end", "", "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx", false },
	{ "garbage lines", "", "not an answer\r\n", false },
	{ "status line without an end", "HTTP/1.1 200 ", "OK OK OK OK OK OK OK OK OK OK ", false },
	{ "head of many fields", "HTTP/1.1 200 OK\r\n", "X-Field: some value of a field\r\n",
	  false },
	{ "field without an end", "HTTP/1.1 200 OK\r\nX-Field: ", "value value value value ",
	  false },
	{ "interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n", false },
	{ "interim heads with fields", "", "HTTP/1.1 103 Hints\r\nLink: </a>; rel=b\r\n\r\n",
	  false },
	{ "body until the connection closes",
	  "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nConnection: close\r\n\r\n",
	  "body body body body body body body body ", true },
	{ "chunks",
	  "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
	  "10\r\n0123456789abcdef\r\n", true },
	{ "chunks of one byte with a long extension",
	  "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
	  "1;extension=value;extension=value;extension=value;extension=value\r\nx\r\n", false },
	{ "chunk size without an end",
	  "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
	  "000000000000000000000000000000", false },
	{ "chunk extension without an end",
	  "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n4;",
	  "extension=value;extension=value;", false },
	{ "trailers",
	  "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
	  "X-Trailer: some value of a trailer\r\n", false },
	{ "bytes after the answer",
	  "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok",
	  "more more more more more more more more ", false },
};

/* A server for one connection, in its own thread. */
struct server {
	const struct endless_case *row;
	int listen_fd;
	uint16_t port;
	int64_t closed_at_us; /* when the client's close was noticed; 0: never */
	uint64_t taken_bytes;
	GThread *thread;
};

static bool is_writable(int fd, int64_t until_us)
{
	struct pollfd waited = { .fd = fd, .events = POLLOUT };
	int64_t remaining_us = until_us - clock_now().mono_us;

	return remaining_us > 0 && poll(&waited, 1, (int)(remaining_us / US_PER_MS)) > 0;
}

static void send_without_end(struct server *server, int fd, int64_t until_us)
{
	GString *block = g_string_new(NULL);
	size_t period = strlen(server->row->repeat);
	size_t offset = 0;

	while (block->len < 1 << 16)
		g_string_append(block, server->row->repeat);
	send(fd, server->row->start, strlen(server->row->start), MSG_NOSIGNAL);
	/* What follows a complete answer arrives after the client has taken the answer. */
	g_usleep(REST_AFTER_US);
	while (is_writable(fd, until_us)) {
		ssize_t n = send(fd, block->str + offset, block->len - offset,
				 MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0) {
			server->closed_at_us = clock_now().mono_us;
			break;
		}
		server->taken_bytes += (uint64_t)n;
		/* The next block continues where the period of the text was interrupted. */
		offset = (offset + (size_t)n) % period;
	}
	g_string_free(block, TRUE);
}

static gpointer run_server(gpointer data)
{
	struct server *server = data;
	int64_t until_us = clock_now().mono_us + SERVER_STOP_S * US_PER_S;
	int fd = accept(server->listen_fd, NULL, NULL);
	char request[4096];

	if (fd >= 0 && recv(fd, request, sizeof(request), 0) > 0)
		send_without_end(server, fd, until_us);
	close(fd);
	return NULL;
}

static void server_start(struct server *server, const struct endless_case *row)
{
	uint16_t port;

	*server = (struct server){ .row = row, .listen_fd = listen_on_loopback(&port) };
	server->port = port;
	server->thread = g_thread_new("server", run_server, server);
}

static int64_t peak_memory_kb(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return usage.ru_maxrss;
}

/* Ends the server and checks what the call cost. */
static void check_end(struct server *server, int64_t started_us, int64_t ended_us,
		      int64_t memory_before_kb)
{
	const char *name = server->row->name;
	int64_t memory_kb = peak_memory_kb() - memory_before_kb;
	bool passed_on = server->row->is_body;

	g_thread_join(server->thread);
	close(server->listen_fd);
	if (ended_us - started_us > DEADLINE_US + LATE_MAX_US)
		fail_msg("%s: the call took %lld ms", name, (ended_us - started_us) / US_PER_MS);
	if (server->closed_at_us == 0 || server->closed_at_us > ended_us + CLOSED_WITHIN_US)
		fail_msg("%s: the connection was not closed", name);
	if (memory_kb > MEMORY_MAX_KB)
		fail_msg("%s: the call needed %ld KB", name, memory_kb);
	if (!passed_on && server->taken_bytes > TAKEN_MAX_BYTES)
		fail_msg("%s: the client took %lu KB", name, server->taken_bytes >> 10);
}

static bool on_target_event(void *context, struct target_event *event)
{
	(void)context;
	if (event->kind == TARGET_READ_BODY)
		event->read.len = 0;
	return true;
}

static void test_target_that_never_ends_its_answer(void **state)
{
	apr_pool_t *pool;

	(void)state;
	apr_pool_create(&pool, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct target *target = target_new(&dialect_platform, pool);
		struct request_head head = { .method = STR("GET"), .target = STR("/a") };
		struct target_call_options options = { .head = &head, .handle = on_target_event };
		int64_t memory_before_kb = peak_memory_kb();
		int64_t started_us = clock_now().mono_us;
		int64_t ended_us;
		struct server server;

		server_start(&server, &cases[i]);
		target_set_endpoint(target, &(struct target_endpoint){ .ipv4 = INADDR_LOOPBACK,
								       .port = server.port });
		options.deadline = deadline_after(clock_now(), DEADLINE_US);
		target_call(target, &options);
		ended_us = clock_now().mono_us;
		g_usleep(SWEEP_AFTER_US);
		target_close_stray(target);
		check_end(&server, started_us, ended_us, memory_before_kb);
		target_free(target);
	}
	apr_pool_destroy(pool);
}

static void test_log_service_that_never_ends_its_answer(void **state)
{
	apr_pool_t *pool;

	(void)state;
	apr_pool_create(&pool, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct exchange_request request = { .path = STR("log-read") };
		int64_t memory_before_kb = peak_memory_kb();
		int64_t started_us = clock_now().mono_us;
		int64_t ended_us;
		struct exchange_client *http;
		struct exchange exchange;
		struct server server;
		char url[64];

		server_start(&server, &cases[i]);
		g_snprintf(url, sizeof(url), "http://127.0.0.1:%u", server.port);
		http = exchange_client_new(str_from_cstr(url), pool, NULL);
		request.deadline = deadline_after(clock_now(), DEADLINE_US);
		exchange = exchange_run(http, &request);
		ended_us = clock_now().mono_us;
		strbuf_clear(&exchange.body);
		g_usleep(SWEEP_AFTER_US);
		exchange_close_stray(http);
		check_end(&server, started_us, ended_us, memory_before_kb);
		exchange_client_free(http);
	}
	apr_pool_destroy(pool);
}

/* A health check read on until its time was over, gigabytes where the server sent as many. */
static void test_health_check_reads_little_of_endless_answer(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct target_endpoint endpoint = { .ipv4 = INADDR_LOOPBACK };
		int64_t memory_before_kb = peak_memory_kb();
		int64_t started_us = clock_now().mono_us;
		struct endless_case row = cases[i];
		struct server server;
		bool healthy;

		row.is_body = false;
		server_start(&server, &row);
		endpoint.port = server.port;
		healthy = target_ask_health(&dialect_platform, &endpoint, STR("/health")).healthy;
		check_end(&server, started_us, clock_now().mono_us, memory_before_kb);
		if (healthy && !g_str_has_prefix(row.name, "bytes after"))
			fail_msg("%s: the target counts as healthy", row.name);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_health_check_reads_little_of_endless_answer),
		cmocka_unit_test(test_target_that_never_ends_its_answer),
		cmocka_unit_test(test_log_service_that_never_ends_its_answer),
	};

	apr_initialize();
	return cmocka_run_group_tests_name("target/endless", tests, NULL, NULL);
}
