#include "regress/lib/breaker.h"

#include <glib.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "regress/lib/listen.h"
#include "regress/lib/rawcall.h"

enum {
	CONNECTIONS_MAX = 1024,
	NEXT_REQUEST_MS = 2000,
	BACKLOG = 512,
	BLOCK_BYTES = 16384,
	FLOOD_BYTES = 1 << 16,
	SILENT_POLL_US = 10000,
};

struct breaker {
	const struct breaker_options *options;
	int listen_fd;
	uint16_t port;
	GThread *thread;
	GMutex mutex;
	GCond connection_ended;
	int fds[CONNECTIONS_MAX];
	int fd_count;
	gint requests_awaited;
	gsize flooded_bytes;		 /* atomic */
	gint silent;			 /* atomic */
	struct silent_listener unopened; /* connections that fill the accept queue */
};

/* A connection and the request that it reads. */
struct connection {
	struct breaker *breaker;
	int fd;
	struct breaker_request request;
	char expected[BREAKER_ID_MAX]; /* X-Expected-Instance */
	struct strbuf name;
	struct strbuf value;
	bool in_value;
	bool has_head;
	bool whole;
	int requests; /* that were read */
};

/* How reading a request ended. */
enum reading { READING_WHOLE, READING_BROKEN, READING_ANSWERED };

static void copy_text(char *into, size_t cap, const struct strbuf *text)
{
	g_snprintf(into, (gulong)cap, "%.*s", STR_ARG(strbuf_str(text)));
}

static void end_field(struct connection *connection)
{
	struct str name = strbuf_str(&connection->name);

	if (str_equal_nocase(name, STR("X-Request-Id")))
		copy_text(connection->request.id, BREAKER_ID_MAX, &connection->value);
	else if (str_equal_nocase(name, STR("X-Expected-Instance")))
		copy_text(connection->expected, BREAKER_ID_MAX, &connection->value);
	else if (str_equal_nocase(name, STR("Transfer-Encoding")))
		connection->request.in_chunks = true;
	connection->name.len = 0;
	connection->value.len = 0;
	connection->in_value = false;
}

static int on_url(http_parser *parser, const char *data, size_t len)
{
	struct connection *connection = parser->data;
	char *path = connection->request.path;
	size_t used = strlen(path);

	g_snprintf(path + used, (gulong)(BREAKER_PATH_MAX - used), "%.*s", (int)len, data);
	return 0;
}

static int on_field(http_parser *parser, const char *data, size_t len)
{
	struct connection *connection = parser->data;

	if (connection->in_value)
		end_field(connection);
	strbuf_add(&connection->name, (struct str){ data, len });
	return 0;
}

static int on_value(http_parser *parser, const char *data, size_t len)
{
	struct connection *connection = parser->data;

	connection->in_value = true;
	strbuf_add(&connection->value, (struct str){ data, len });
	return 0;
}

static int on_head(http_parser *parser)
{
	struct connection *connection = parser->data;

	end_field(connection);
	connection->has_head = true;
	return 0;
}

static int on_body(http_parser *parser, const char *data, size_t len)
{
	struct connection *connection = parser->data;

	for (size_t i = 0; i < len; i++)
		connection->request.body_altered |=
			data[i] != raw_body_byte(connection->request.body_bytes + i);
	connection->request.body_bytes += len;
	return 0;
}

static int on_whole(http_parser *parser)
{
	struct connection *connection = parser->data;

	connection->whole = true;
	http_parser_pause(parser, 1);
	return 0;
}

static bool send_bytes(int fd, struct str bytes)
{
	while (bytes.len) {
		ssize_t n = send(fd, bytes.data, bytes.len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		bytes = str_sub(bytes, (size_t)n, bytes.len);
	}
	return true;
}

/* Waits for bytes of the next request. Returns false if none came or the connection ended. */
static bool await_request(struct breaker *breaker, int fd)
{
	struct pollfd next = { .fd = fd, .events = POLLIN };
	char first;

	if (poll(&next, 1, NEXT_REQUEST_MS) != 1 || recv(fd, &first, 1, MSG_PEEK) != 1)
		return false;
	g_atomic_int_inc(&breaker->requests_awaited);
	return true;
}

/* Reads so slowly that a large upload goes on meanwhile. */
static void read_slowly(int fd, int ms)
{
	char block[BLOCK_BYTES];

	for (int i = 0; i < ms && recv(fd, block, sizeof(block), MSG_DONTWAIT) != 0; i++)
		g_usleep(1000);
}

/* Sends the bytes over and over until the connection ends. */
static void flood(struct breaker *breaker, int fd, struct str bytes)
{
	struct strbuf block = { 0 };
	size_t at = 0;
	ssize_t n = 0;

	while (block.len < FLOOD_BYTES)
		strbuf_add(&block, bytes);
	while (n >= 0) {
		n = send(fd, block.data + at, block.len - at, MSG_NOSIGNAL);
		if (n < 0)
			break;
		g_atomic_pointer_add(&breaker->flooded_bytes, n);
		/* The next block goes on where this one was interrupted. */
		at = (at + (size_t)n) % bytes.len;
	}
	strbuf_clear(&block);
}

/* Returns false if the connection is to be closed. */
static bool take_step(struct breaker *breaker, int fd, const struct breaker_step *step)
{
	struct linger abort_at_close = { .l_onoff = 1 };

	switch (step->kind) {
	case BREAKER_SEND:
		return send_bytes(fd, strbuf_str(&step->bytes));
	case BREAKER_WAIT:
		g_usleep((gulong)step->wait_ms * 1000);
		return true;
	case BREAKER_READ_SLOWLY:
		read_slowly(fd, step->wait_ms);
		return true;
	case BREAKER_WAIT_REQUEST:
		return await_request(breaker, fd);
	case BREAKER_FLOOD:
		flood(breaker, fd, strbuf_str(&step->bytes));
		return false;
	case BREAKER_FIN:
		return false;
	case BREAKER_END_SENDING:
		shutdown(fd, SHUT_WR);
		return true;
	case BREAKER_RESET:
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort_at_close, sizeof(abort_at_close));
		return false;
	}
	g_assert_not_reached();
}

void breaker_plan_send(struct breaker_plan *plan, struct str bytes)
{
	struct breaker_step *step = &plan->steps[plan->count++];

	*step = (struct breaker_step){ .kind = BREAKER_SEND };
	strbuf_add(&step->bytes, bytes);
}

void breaker_plan_flood(struct breaker_plan *plan, struct str bytes)
{
	breaker_plan_send(plan, bytes);
	plan->steps[plan->count - 1].kind = BREAKER_FLOOD;
}

void breaker_plan_step(struct breaker_plan *plan, enum breaker_step_kind kind, int wait_ms)
{
	plan->steps[plan->count++] = (struct breaker_step){ .kind = kind, .wait_ms = wait_ms };
}

static void plan_own_answer(struct connection *connection, struct breaker_plan *plan)
{
	const char *instance = connection->breaker->options->instance;
	bool is_health = strcmp(connection->request.path, "/health") == 0;
	char *text = g_strdup_printf("HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\n"
				     "Content-Length: 0\r\n\r\n",
				     is_health ? "200 OK" : "421 Misdirected Request",
				     connection->request.id, instance);

	breaker_plan_send(plan, str_from_cstr(text));
	g_free(text);
}

/* Carries out a plan and clears it. Returns false if the connection is to be closed. */
static bool carry_out(struct connection *connection, struct breaker_plan *plan)
{
	bool keep = true;

	for (int i = 0; i < plan->count; i++) {
		keep = keep && take_step(connection->breaker, connection->fd, &plan->steps[i]);
		if (plan->steps[i].kind == BREAKER_SEND || plan->steps[i].kind == BREAKER_FLOOD)
			strbuf_clear(&plan->steps[i].bytes);
	}
	return keep;
}

static bool is_own(const struct connection *connection)
{
	return strcmp(connection->request.path, "/health") == 0 ||
	       (connection->expected[0] &&
		strcmp(connection->expected, connection->breaker->options->instance) != 0);
}

/* Returns whether the request was answered though its body has not been read. */
static bool answer_head(struct connection *connection)
{
	const struct breaker_options *options = connection->breaker->options;
	struct breaker_plan plan = { .count = 0 };

	if (!options->answer_early || is_own(connection) ||
	    !options->answer_early(options->context, &connection->request, &plan))
		return false;
	carry_out(connection, &plan);
	return true;
}

/* Answers the request that was read. Returns false if the connection is to be closed. */
static bool answer_request(struct connection *connection)
{
	const struct breaker_options *options = connection->breaker->options;
	struct breaker_plan plan = { .count = 0 };

	if (is_own(connection))
		plan_own_answer(connection, &plan);
	else
		options->answer(options->context, &connection->request, &plan);
	return carry_out(connection, &plan);
}

/* Reads one request, unless it is answered when its head has come. */
static enum reading read_request(struct connection *connection)
{
	static const http_parser_settings settings = { .on_url = on_url,
						       .on_header_field = on_field,
						       .on_header_value = on_value,
						       .on_headers_complete = on_head,
						       .on_body = on_body,
						       .on_message_complete = on_whole };
	http_parser parser = { .data = connection };
	char block[BLOCK_BYTES];
	bool had_head = false;

	http_parser_init(&parser, HTTP_REQUEST);
	connection->request =
		(struct breaker_request){ .on_kept_connection = connection->requests++ > 0 };
	connection->expected[0] = '\0';
	connection->name.len = 0;
	connection->value.len = 0;
	connection->has_head = false;
	connection->whole = false;
	while (!connection->whole) {
		ssize_t n = recv(connection->fd, block, sizeof(block), 0);

		if (n <= 0)
			return READING_BROKEN;
		http_parser_execute(&parser, &settings, block, (size_t)n);
		if (!connection->whole && HTTP_PARSER_ERRNO(&parser) != HPE_OK)
			return READING_BROKEN;
		if (connection->has_head && !had_head && answer_head(connection))
			return READING_ANSWERED;
		had_head = connection->has_head;
	}
	return READING_WHOLE;
}

static gpointer serve_connection(gpointer data)
{
	struct connection *connection = data;
	struct breaker *breaker = connection->breaker;

	while (read_request(connection) == READING_WHOLE && !g_atomic_int_get(&breaker->silent) &&
	       answer_request(connection))
		;
	/* What a silent upstream has read is never answered, and its connections stay open. */
	while (g_atomic_int_get(&breaker->silent))
		g_usleep(SILENT_POLL_US);
	g_mutex_lock(&breaker->mutex);
	for (int i = 0; i < breaker->fd_count; i++) {
		if (breaker->fds[i] != connection->fd)
			continue;
		breaker->fds[i] = breaker->fds[--breaker->fd_count];
		break;
	}
	close(connection->fd);
	g_cond_signal(&breaker->connection_ended);
	g_mutex_unlock(&breaker->mutex);
	strbuf_clear(&connection->name);
	strbuf_clear(&connection->value);
	g_free(connection);
	return NULL;
}

static bool add_connection(struct breaker *breaker, int fd)
{
	bool added;

	g_mutex_lock(&breaker->mutex);
	added = breaker->fd_count < CONNECTIONS_MAX;
	if (added)
		breaker->fds[breaker->fd_count++] = fd;
	g_mutex_unlock(&breaker->mutex);
	return added;
}

static gpointer accept_connections(gpointer data)
{
	struct breaker *breaker = data;
	int enable = 1;

	for (;;) {
		int fd = accept4(breaker->listen_fd, NULL, NULL, SOCK_CLOEXEC);
		struct connection *connection;

		if (fd < 0)
			return NULL;
		if (g_atomic_int_get(&breaker->silent)) {
			close(fd);
			return NULL;
		}
		if (!add_connection(breaker, fd)) {
			close(fd);
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
		connection = g_new0(struct connection, 1);
		connection->breaker = breaker;
		connection->fd = fd;
		g_thread_unref(g_thread_new("upstream", serve_connection, connection));
	}
}

struct breaker *breaker_new(const struct breaker_options *options)
{
	struct breaker *breaker = g_new0(struct breaker, 1);

	breaker->options = options;
	g_mutex_init(&breaker->mutex);
	g_cond_init(&breaker->connection_ended);
	breaker->listen_fd = listen_on_loopback(&breaker->port);
	listen(breaker->listen_fd, BACKLOG);
	breaker->thread = g_thread_new("accept", accept_connections, breaker);
	return breaker;
}

int breaker_port(const struct breaker *breaker)
{
	return breaker->port;
}

int breaker_requests_awaited(struct breaker *breaker)
{
	return g_atomic_int_get(&breaker->requests_awaited);
}

uint64_t breaker_flooded_bytes(struct breaker *breaker)
{
	return (uint64_t)g_atomic_pointer_get(&breaker->flooded_bytes);
}

void breaker_fall_silent(struct breaker *breaker)
{
	struct silent_listener *unopened = &breaker->unopened;

	g_atomic_int_set(&breaker->silent, 1);
	unopened->fd = breaker->listen_fd;
	unopened->port = breaker->port;
	/* The thread that accepts takes one more connection and stops. */
	silent_listener_connect(unopened);
	g_thread_join(breaker->thread);
	breaker->thread = NULL;
	listen(breaker->listen_fd, 0);
	silent_listener_fill(unopened);
}

void breaker_free(struct breaker *breaker)
{
	g_atomic_int_set(&breaker->silent, 0);
	shutdown(breaker->listen_fd, SHUT_RDWR);
	if (breaker->thread) {
		g_thread_join(breaker->thread);
		close(breaker->listen_fd);
	} else {
		silent_listener_close(&breaker->unopened);
	}
	g_mutex_lock(&breaker->mutex);
	for (int i = 0; i < breaker->fd_count; i++)
		shutdown(breaker->fds[i], SHUT_RDWR);
	while (breaker->fd_count)
		g_cond_wait(&breaker->connection_ended, &breaker->mutex);
	g_mutex_unlock(&breaker->mutex);
	g_mutex_clear(&breaker->mutex);
	g_cond_clear(&breaker->connection_ended);
	g_free(breaker);
}
