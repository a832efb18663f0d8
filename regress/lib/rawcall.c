#include "regress/lib/rawcall.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"

enum { BLOCK_BYTES = 16384, CHUNK_BYTES = 8192, PATIENCE_MS = 1000, STATUS_FINAL_MIN = 200 };

struct raw_caller {
	int port;
	int fd; /* -1 without a connection */
};

/* An answer that is being read. */
struct reader {
	struct raw_answer answer;
	struct strbuf name;
	struct strbuf value;
	bool in_value;
	bool whole;
	bool closes;
};

struct raw_caller *raw_caller_new(int port)
{
	struct raw_caller *caller = g_new0(struct raw_caller, 1);

	caller->port = port;
	caller->fd = -1;
	return caller;
}

static void disconnect(struct raw_caller *caller)
{
	if (caller->fd >= 0)
		close(caller->fd);
	caller->fd = -1;
}

void raw_caller_free(struct raw_caller *caller)
{
	disconnect(caller);
	g_free(caller);
}

/* Connects, unless a connection without pending bytes is open. Bytes that came while no request
 * was waiting are counted in *stray. */
static bool ensure_connected(struct raw_caller *caller, size_t *stray)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
				       .sin_port = htons((uint16_t)caller->port) };
	char block[256];
	ssize_t n;
	int enable = 1;

	if (caller->fd >= 0) {
		n = recv(caller->fd, block, sizeof(block), MSG_DONTWAIT);
		if (n < 0 && errno == EAGAIN)
			return true;
		*stray = n > 0 ? (size_t)n : 0;
		disconnect(caller);
	}
	caller->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(caller->fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
		disconnect(caller);
		return false;
	}
	setsockopt(caller->fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
	return true;
}

static void end_field(struct reader *reader)
{
	struct str name = strbuf_str(&reader->name);
	struct str value = strbuf_str(&reader->value);

	if (str_equal_nocase(name, STR("X-Request-Id")))
		g_snprintf(reader->answer.id, sizeof(reader->answer.id), "%.*s", STR_ARG(value));
	else if (str_equal_nocase(name, STR("X-Response-Signature")))
		g_snprintf(reader->answer.signature, sizeof(reader->answer.signature), "%.*s",
			   STR_ARG(value));
	else if (str_equal_nocase(name, STR("Transfer-Encoding")))
		reader->answer.framing = RAW_BY_CHUNKS;
	else if (str_equal_nocase(name, STR("Content-Length")))
		reader->answer.framing = RAW_BY_LENGTH;
	reader->name.len = 0;
	reader->value.len = 0;
	reader->in_value = false;
}

static int on_field(http_parser *parser, const char *data, size_t len)
{
	struct reader *reader = parser->data;

	if (reader->in_value)
		end_field(reader);
	strbuf_add(&reader->name, (struct str){ data, len });
	return 0;
}

static int on_value(http_parser *parser, const char *data, size_t len)
{
	struct reader *reader = parser->data;

	reader->in_value = true;
	strbuf_add(&reader->value, (struct str){ data, len });
	return 0;
}

static int on_head(http_parser *parser)
{
	struct reader *reader = parser->data;

	end_field(reader);
	reader->answer.status = (int)parser->status_code;
	return 0;
}

static int on_body(http_parser *parser, const char *data, size_t len)
{
	struct reader *reader = parser->data;

	strbuf_add(&reader->answer.body, (struct str){ data, len });
	return 0;
}

static int on_whole(http_parser *parser)
{
	struct reader *reader = parser->data;

	if (parser->status_code < STATUS_FINAL_MIN)
		return 0;
	reader->closes = !http_should_keep_alive(parser);
	reader->whole = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = { .on_header_field = on_field,
						      .on_header_value = on_value,
						      .on_headers_complete = on_head,
						      .on_body = on_body,
						      .on_message_complete = on_whole };

/* Reads until the answer is whole or its connection ends. */
static enum raw_ending read_answer(int fd, struct reader *reader, int64_t until_us)
{
	http_parser parser;
	char block[BLOCK_BYTES];

	http_parser_init(&parser, HTTP_RESPONSE);
	parser.data = reader;
	while (!reader->whole) {
		struct pollfd readable = { .fd = fd, .events = POLLIN };
		int64_t left_us = until_us - clock_now().mono_us;
		ssize_t n;
		size_t used;

		if (left_us <= 0 || poll(&readable, 1, (int)(left_us / US_PER_MS) + 1) == 0)
			return RAW_TIMED_OUT;
		n = recv(fd, block, sizeof(block), 0);
		if (n < 0)
			return RAW_RESET;
		/* The end of the connection ends an answer without a length. */
		used = http_parser_execute(&parser, &parser_settings, block, (size_t)n);
		if (reader->whole)
			reader->answer.extra_bytes = (size_t)n - MIN(used, (size_t)n);
		else if (n == 0)
			return RAW_CLOSED;
		else if (HTTP_PARSER_ERRNO(&parser) != HPE_OK)
			return RAW_INVALID;
	}
	return RAW_WHOLE;
}

/* Waits until bytes can be sent; false if none can in time, or if sending is to stop. */
static bool wait_writable(int fd, bool stops_at_end, int64_t until_us)
{
	int64_t left_us = until_us - clock_now().mono_us;
	struct pollfd waited = { .fd = fd, .events = POLLOUT };

	if (stops_at_end)
		waited.events |= POLLRDHUP;
	return left_us > 0 && poll(&waited, 1, (int)(left_us / US_PER_MS) + 1) == 1 &&
	       !(waited.revents & POLLRDHUP);
}

static bool send_bytes(int fd, struct str bytes, bool stops_at_end, int64_t until_us)
{
	while (bytes.len) {
		ssize_t n;

		if (!wait_writable(fd, stops_at_end, until_us))
			return false;
		n = send(fd, bytes.data, bytes.len, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0 && errno == EAGAIN)
			continue;
		if (n <= 0)
			return false;
		bytes = str_sub(bytes, (size_t)n, bytes.len);
	}
	return true;
}

/* Appends bytes of the body from an offset on, framed. */
static void add_body(struct strbuf *text, enum raw_body kind, size_t offset, size_t bytes)
{
	char *data = g_malloc(CHUNK_BYTES);

	while (bytes) {
		size_t n = MIN(bytes, (size_t)CHUNK_BYTES);

		for (size_t i = 0; i < n; i++)
			data[i] = raw_body_byte(offset + i);
		if (kind == RAW_IN_CHUNKS)
			strbuf_addf(text, "%zx\r\n", n);
		strbuf_add(text, (struct str){ data, n });
		if (kind == RAW_IN_CHUNKS)
			strbuf_add(text, STR("\r\n"));
		offset += n;
		bytes -= n;
	}
	g_free(data);
}

static void add_head(struct strbuf *text, const struct raw_request *request)
{
	strbuf_addf(text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Timeout-Ms: %d\r\n",
		    request->method, request->path, request->host, request->id,
		    request->timeout_ms);
	switch (request->body) {
	case RAW_NO_BODY:
		break;
	case RAW_WITH_LENGTH:
		strbuf_addf(text, "Content-Length: %zu\r\n", request->body_bytes);
		break;
	case RAW_IN_CHUNKS:
		strbuf_addf(text, "Transfer-Encoding: chunked\r\n");
		break;
	}
	strbuf_add(text, STR("\r\n"));
}

/* Returns false if the connection broke or the request ends early. */
static bool send_request(int fd, const struct raw_request *request, int64_t until_us)
{
	size_t first_half = request->body_bytes / 2;
	struct strbuf text = { 0 };
	bool sent;

	add_head(&text, request);
	if (request->body != RAW_NO_BODY)
		add_body(&text, request->body, 0, first_half);
	if (request->pause_ms || request->ends_early) {
		sent = send_bytes(fd, strbuf_str(&text), request->stops_at_end, until_us);
		text.len = 0;
		if (request->ends_early || !sent) {
			strbuf_clear(&text);
			return false;
		}
		poll(NULL, 0, request->pause_ms);
	}
	if (request->body != RAW_NO_BODY)
		add_body(&text, request->body, first_half, request->body_bytes - first_half);
	if (request->body == RAW_IN_CHUNKS)
		strbuf_add(&text, STR("0\r\n\r\n"));
	sent = send_bytes(fd, strbuf_str(&text), request->stops_at_end, until_us);
	strbuf_clear(&text);
	return sent;
}

struct raw_answer raw_call(struct raw_caller *caller, const struct raw_request *request)
{
	struct reader reader = { .answer = { .ending = RAW_CLOSED } };
	int64_t until_us = clock_now().mono_us + (request->timeout_ms + PATIENCE_MS) * US_PER_MS;
	size_t stray = 0;
	bool sent;

	if (!ensure_connected(caller, &stray))
		return reader.answer;
	/* A node may answer before it has read the whole request. */
	sent = send_request(caller->fd, request, until_us);
	if (sent || !request->ends_early)
		reader.answer.ending = read_answer(caller->fd, &reader, until_us);
	reader.answer.extra_bytes += stray;
	if (!sent || reader.closes || reader.answer.ending != RAW_WHOLE)
		disconnect(caller);
	strbuf_clear(&reader.name);
	strbuf_clear(&reader.value);
	return reader.answer;
}

void raw_answer_clear(struct raw_answer *answer)
{
	strbuf_clear(&answer->body);
}
