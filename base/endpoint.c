#include "base/endpoint.h"

#include <apr_thread_proc.h>
#include <arpa/inet.h>
#include <errno.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"

enum {
	BACKLOG = 128,
	URL_MAX_BYTES = 8 << 10,
	READ_BYTES = 4 << 10,
	STATUS_OK = 200,
	STATUS_BAD_REQUEST = 400,
};

/* A connection on which nothing moves for this long is closed. */
#define IDLE_US (30 * US_PER_S)

/* A caller's connection and the request that is being read from it. */
struct connection {
	struct endpoint *endpoint;
	int fd;
	http_parser parser;
	struct strbuf input; /* bytes that are not parsed yet */
	struct strbuf url;
	struct strbuf body;
	bool body_too_long;
	bool expects_continue;
	struct strbuf output;
	size_t written; /* of .output */
	bool closing;	/* once .output is written */
	bool ended;	/* closed by the caller, or broken */
	struct deadline idle_until;
};

struct endpoint {
	struct endpoint_options options;
	apr_pool_t *pool;
	apr_thread_t *thread;
	int listen_fd;
	int stop_fd;
	GPtrArray *connections; /* struct connection */
};

static void connection_free(gpointer data)
{
	struct connection *connection = data;

	close(connection->fd);
	strbuf_clear(&connection->input);
	strbuf_clear(&connection->url);
	strbuf_clear(&connection->body);
	strbuf_clear(&connection->output);
	g_free(connection);
}

/* Appends a part of a URL without its escapes. */
static void add_decoded(struct strbuf *out, struct str text, bool is_argument)
{
	for (size_t i = 0; i < text.len; i++) {
		char byte = text.data[i];

		if (byte == '%' && i + 2 < text.len && g_ascii_isxdigit(text.data[i + 1]) &&
		    g_ascii_isxdigit(text.data[i + 2])) {
			byte = (char)(g_ascii_xdigit_value(text.data[i + 1]) << 4 |
				      g_ascii_xdigit_value(text.data[i + 2]));
			i += 2;
		} else if (byte == '+' && is_argument) {
			byte = ' ';
		}
		strbuf_add(out, (struct str){ &byte, 1 });
	}
}

bool endpoint_argument(const struct endpoint_request *request, struct str name,
		       struct strbuf *value)
{
	struct str rest = request->query;

	while (rest.len) {
		struct str text;

		if (!str_equal(str_split(str_split(rest, '&', &rest), '=', &text), name))
			continue;
		add_decoded(value, text, true);
		return true;
	}
	return false;
}

static void add_answer(struct connection *connection, const struct endpoint_answer *answer)
{
	struct strbuf *out = &connection->output;

	strbuf_addf(out, "HTTP/1.1 %d %s\r\n", answer->status,
		    http_status_str((enum http_status)answer->status));
	strbuf_addf(out, "Content-Type: %s\r\nContent-Length: %zu\r\n", answer->content_type,
		    answer->body.len);
	strbuf_add(out, strbuf_str(&answer->fields));
	strbuf_addf(out, "Connection: %s\r\n\r\n", connection->closing ? "close" : "keep-alive");
	if (connection->parser.method != HTTP_HEAD)
		strbuf_add(out, strbuf_str(&answer->body));
}

/* Has the whole request answered. */
static void answer_request(struct connection *connection)
{
	const struct endpoint_options *options = &connection->endpoint->options;
	struct endpoint_answer answer = { .status = STATUS_OK, .content_type = "text/plain" };
	struct endpoint_request request = {
		.method =
			str_from_cstr(http_method_str((enum http_method)connection->parser.method)),
		.body = strbuf_str(&connection->body),
		.body_too_long = connection->body_too_long,
	};
	struct strbuf path = { NULL, 0, 0 };

	add_decoded(&path, str_split(strbuf_str(&connection->url), '?', &request.query), false);
	request.path = strbuf_str(&path);
	options->handle(options->context, &request, &answer);
	add_answer(connection, &answer);
	strbuf_clear(&path);
	strbuf_clear(&answer.fields);
	strbuf_clear(&answer.body);
}

static int on_begin(http_parser *parser)
{
	struct connection *connection = parser->data;

	connection->url.len = 0;
	connection->body.len = 0;
	connection->body_too_long = false;
	connection->expects_continue = false;
	return 0;
}

static int on_url(http_parser *parser, const char *data, size_t len)
{
	struct connection *connection = parser->data;

	if (connection->url.len + len > URL_MAX_BYTES)
		return 1;
	strbuf_add(&connection->url, (struct str){ data, len });
	return 0;
}

/* The only field whose value may be 100-continue is Expect. */
static int on_value(http_parser *parser, const char *data, size_t len)
{
	struct connection *connection = parser->data;

	connection->expects_continue |=
		str_equal_nocase((struct str){ data, len }, STR("100-continue"));
	return 0;
}

static int on_head(http_parser *parser)
{
	struct connection *connection = parser->data;

	if (connection->expects_continue)
		strbuf_add(&connection->output, STR("HTTP/1.1 100 Continue\r\n\r\n"));
	return 0;
}

static int on_body(http_parser *parser, const char *data, size_t len)
{
	struct connection *connection = parser->data;
	size_t max = connection->endpoint->options.body_max_bytes;

	if (max == 0)
		return 0;
	connection->body_too_long |= connection->body.len + len > max;
	if (connection->body_too_long)
		connection->body.len = 0;
	else
		strbuf_add(&connection->body, (struct str){ data, len });
	return 0;
}

/* Bytes behind the request are parsed once it is answered. */
static int on_complete(http_parser *parser)
{
	http_parser_pause(parser, 1);
	return 0;
}

static void refuse_input(struct connection *connection)
{
	struct endpoint_answer answer = { .status = STATUS_BAD_REQUEST,
					  .content_type = "text/plain" };

	connection->closing = true;
	connection->input.len = 0;
	add_answer(connection, &answer);
}

/* Parses what was read, up to the end of a request, which is answered. */
static void parse_input(struct connection *connection)
{
	static const http_parser_settings settings = { .on_message_begin = on_begin,
						       .on_url = on_url,
						       .on_header_value = on_value,
						       .on_headers_complete = on_head,
						       .on_body = on_body,
						       .on_message_complete = on_complete };
	http_parser *parser = &connection->parser;
	size_t parsed = http_parser_execute(parser, &settings, connection->input.data,
					    connection->input.len);

	strbuf_consume(&connection->input, parsed);
	if (HTTP_PARSER_ERRNO(parser) == HPE_OK && !parser->upgrade)
		return;
	if (HTTP_PARSER_ERRNO(parser) != HPE_PAUSED || parser->upgrade) {
		refuse_input(connection);
		return;
	}
	http_parser_pause(parser, 0);
	connection->closing = !http_should_keep_alive(parser);
	answer_request(connection);
}

static void write_output(struct connection *connection)
{
	struct strbuf *output = &connection->output;
	ssize_t n = send(connection->fd, output->data + connection->written,
			 output->len - connection->written, MSG_NOSIGNAL);

	if (n < 0) {
		connection->ended = errno != EAGAIN && errno != EINTR;
		return;
	}
	connection->written += (size_t)n;
	if (connection->written < output->len)
		return;
	connection->written = 0;
	/* An answer may be large; the next one rarely comes on this connection. */
	strbuf_clear(output);
	connection->ended = connection->closing;
}

static void read_input(struct connection *connection)
{
	char bytes[READ_BYTES];
	ssize_t n = recv(connection->fd, bytes, sizeof(bytes), 0);

	if (n > 0)
		strbuf_add(&connection->input, (struct str){ bytes, (size_t)n });
	else
		connection->ended = n == 0 || (errno != EAGAIN && errno != EINTR);
}

static void advance(struct connection *connection)
{
	connection->idle_until = deadline_after(clock_now(), IDLE_US);
	if (connection->output.len)
		write_output(connection);
	else
		read_input(connection);
	while (!connection->ended && connection->input.len && connection->output.len == 0) {
		parse_input(connection);
		if (connection->output.len)
			write_output(connection);
	}
}

static void accept_connection(struct endpoint *endpoint)
{
	int fd = accept4(endpoint->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct connection *connection;

	if (fd < 0)
		return;
	connection = g_new0(struct connection, 1);
	connection->endpoint = endpoint;
	connection->fd = fd;
	connection->idle_until = deadline_after(clock_now(), IDLE_US);
	http_parser_init(&connection->parser, HTTP_REQUEST);
	connection->parser.data = connection;
	g_ptr_array_add(endpoint->connections, connection);
}

/* Lists what is waited for: the stop, new connections while there is room, the connections. */
static void list_events(const struct endpoint *endpoint, GArray *events)
{
	bool has_room = endpoint->connections->len < endpoint->options.connections;
	struct pollfd event = { .fd = endpoint->stop_fd, .events = POLLIN };

	g_array_set_size(events, 0);
	g_array_append_val(events, event);
	event.fd = has_room ? endpoint->listen_fd : -1;
	g_array_append_val(events, event);
	for (guint i = 0; i < endpoint->connections->len; i++) {
		const struct connection *connection = g_ptr_array_index(endpoint->connections, i);

		event.fd = connection->fd;
		event.events = connection->output.len ? POLLOUT : POLLIN;
		g_array_append_val(events, event);
	}
}

/* Returns the milliseconds until the next connection is idle for too long, or -1. */
static int next_timeout_ms(const struct endpoint *endpoint)
{
	struct instant now = clock_now();
	int64_t left_us = INT64_MAX;

	for (guint i = 0; i < endpoint->connections->len; i++) {
		const struct connection *connection = g_ptr_array_index(endpoint->connections, i);

		left_us = MIN(left_us, deadline_remaining_us(connection->idle_until, now));
	}
	return left_us == INT64_MAX ? -1 : (int)(left_us / US_PER_MS) + 1;
}

static void close_ended(struct endpoint *endpoint)
{
	struct instant now = clock_now();

	for (guint i = endpoint->connections->len; i-- > 0;) {
		const struct connection *connection = g_ptr_array_index(endpoint->connections, i);

		if (connection->ended || deadline_passed(connection->idle_until, now))
			g_ptr_array_remove_index_fast(endpoint->connections, i);
	}
}

static void *APR_THREAD_FUNC serve(apr_thread_t *thread, void *data)
{
	struct endpoint *endpoint = data;
	GArray *events = g_array_new(FALSE, FALSE, sizeof(struct pollfd));
	const struct pollfd *ready;

	(void)thread;
	for (;;) {
		guint connections = endpoint->connections->len;

		list_events(endpoint, events);
		ready = (const struct pollfd *)(void *)events->data;
		if (poll((struct pollfd *)(void *)events->data, events->len,
			 next_timeout_ms(endpoint)) < 0 &&
		    errno != EINTR)
			break;
		if (ready[0].revents)
			break;
		for (guint i = 0; i < connections; i++)
			if (ready[i + 2].revents)
				advance(g_ptr_array_index(endpoint->connections, i));
		if (ready[1].revents)
			accept_connection(endpoint);
		close_ended(endpoint);
	}
	g_array_unref(events);
	return NULL;
}

static int listen_at(uint32_t ipv4, uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port),
				       .sin_addr.s_addr = htonl(ipv4) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0 && listen(fd, BACKLOG) == 0)
		return fd;
	close(fd);
	return -1;
}

static void endpoint_free(struct endpoint *endpoint)
{
	g_ptr_array_unref(endpoint->connections);
	if (endpoint->listen_fd >= 0)
		close(endpoint->listen_fd);
	if (endpoint->stop_fd >= 0)
		close(endpoint->stop_fd);
	apr_pool_destroy(endpoint->pool);
	g_free(endpoint);
}

struct endpoint *endpoint_start(const struct endpoint_options *options, GError **error)
{
	struct endpoint *endpoint = g_new0(struct endpoint, 1);

	endpoint->options = *options;
	endpoint->connections = g_ptr_array_new_with_free_func(connection_free);
	apr_pool_create(&endpoint->pool, NULL);
	endpoint->stop_fd = eventfd(0, EFD_CLOEXEC);
	endpoint->listen_fd = listen_at(options->ipv4, options->port);
	if (endpoint->stop_fd >= 0 && endpoint->listen_fd >= 0 &&
	    apr_thread_create(&endpoint->thread, NULL, serve, endpoint, endpoint->pool) ==
		    APR_SUCCESS)
		return endpoint;
	g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED, "can't listen on %s, port %u",
		    options->purpose, options->port);
	endpoint_free(endpoint);
	return NULL;
}

void endpoint_stop(struct endpoint *endpoint)
{
	apr_status_t status;
	uint64_t one = 1;

	if (write(endpoint->stop_fd, &one, sizeof(one)) == sizeof(one))
		apr_thread_join(&status, endpoint->thread);
	endpoint_free(endpoint);
}

uint16_t endpoint_port(const struct endpoint *endpoint)
{
	struct sockaddr_in address = { .sin_port = 0 };
	socklen_t len = sizeof(address);

	if (getsockname(endpoint->listen_fd, (struct sockaddr *)&address, &len) != 0)
		return 0;
	return ntohs(address.sin_port);
}
