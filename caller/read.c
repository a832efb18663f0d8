/*
 * Requests as they come in: the parser's callbacks put a call together.
 */
#include <string.h>

#include "caller/connection.h"

enum {
	STATUS_BAD_REQUEST = 400,
	STATUS_TOO_LARGE = 413,
	STATUS_HEAD_TOO_LARGE = 431,
};

static struct connection *connection_of(const struct http_parser *parser)
{
	return parser->data;
}

static int on_begin(struct http_parser *parser)
{
	struct connection *connection = connection_of(parser);
	struct reading *reading = &connection->reading;

	reading->call = call_new(connection);
	reading->target = (struct span){ 0 };
	reading->fields = 0;
	reading->in_value = false;
	return 0;
}

/* Adds a piece to what a span already has: pieces come in order. */
static void extend(struct reading *reading, struct span *span, const char *at, size_t len)
{
	if (span->len == 0)
		span->at = reading->call->text.len;
	strbuf_add(&reading->call->text, (struct str){ at, len });
	span->len += len;
}

static int on_url(struct http_parser *parser, const char *at, size_t len)
{
	struct reading *reading = &connection_of(parser)->reading;

	extend(reading, &reading->target, at, len);
	return 0;
}

static int on_name(struct http_parser *parser, const char *at, size_t len)
{
	struct reading *reading = &connection_of(parser)->reading;

	if (reading->fields == 0 || reading->in_value) {
		if (reading->fields == FIELDS_MAX) {
			reading->bad_status = STATUS_HEAD_TOO_LARGE;
			return 1;
		}
		reading->names[reading->fields] = (struct span){ 0 };
		reading->values[reading->fields] = (struct span){ 0 };
		reading->fields++;
		reading->in_value = false;
	}
	extend(reading, &reading->names[reading->fields - 1], at, len);
	return 0;
}

static int on_value(struct http_parser *parser, const char *at, size_t len)
{
	struct reading *reading = &connection_of(parser)->reading;

	/* Fields after a body belong to no head. */
	if (reading->fields == 0)
		return 0;
	reading->in_value = true;
	extend(reading, &reading->values[reading->fields - 1], at, len);
	return 0;
}

static struct str view(const struct caller_call *call, struct span span)
{
	return (struct str){ call->text.data + span.at, span.len };
}

static bool is_safe(unsigned int method)
{
	return method == HTTP_GET || method == HTTP_HEAD || method == HTTP_OPTIONS;
}

static void finish_head(struct reading *reading)
{
	struct caller_call *call = reading->call;
	const struct http_parser *parser = &reading->parser;

	call->method = str_from_cstr(http_method_str(parser->method));
	call->target = view(call, reading->target);
	for (int i = 0; i < reading->fields; i++)
		call->fields[i] = (struct field){ view(call, reading->names[i]),
						  view(call, reading->values[i]) };
	call->field_count = reading->fields;
	call->safe = is_safe(parser->method);
	call->last = !http_should_keep_alive(parser);
	if (parser->flags & F_CHUNKED)
		call->body_length = -1;
	else if (parser->flags & F_CONTENTLENGTH)
		call->body_length = (int64_t)parser->content_length;
}

static bool expects_continue(const struct caller_call *call)
{
	return str_equal_nocase(caller_field(call, STR("Expect")), STR("100-continue"));
}

/* The call takes its place in the order of answers. */
static void enqueue(struct connection *connection, struct caller_call *call)
{
	lock_acquire(&connection->lock);
	if (expects_continue(call) && g_queue_is_empty(&connection->calls) &&
	    connection->out.len == 0)
		strbuf_add(&connection->out, STR("HTTP/1.1 100 Continue\r\n\r\n"));
	call->complete = call->upload != NULL;
	caller_call_ref(call);
	g_queue_push_tail(&connection->calls, call);
	lock_release(&connection->lock);
	caller_count(connection->caller, 1);
	if (call->upload)
		connection_advance(connection);
}

static int on_head(struct http_parser *parser)
{
	struct connection *connection = connection_of(parser);
	struct reading *reading = &connection->reading;
	struct caller_call *call = reading->call;

	finish_head(reading);
	if (parser->upgrade) {
		reading->bad_status = STATUS_BAD_REQUEST;
		return 1;
	}
	if (call->body_length > caller_options_of(connection->caller)->body_max) {
		reading->bad_status = STATUS_TOO_LARGE;
		return 1;
	}
	if (call->body_length < 0 || call->body_length > SMALL_BODY_BYTES)
		call->upload = pipe_new(UPLOAD_LIMIT_BYTES, call->pool);
	enqueue(connection, call);
	return 0;
}

static int on_body(struct http_parser *parser, const char *at, size_t len)
{
	struct caller_call *call = connection_of(parser)->reading.call;

	if (call->upload) {
		pipe_put(call->upload, (struct str){ at, len });
		caller_tell(call, CALLER_UPLOADED, 0);
	} else {
		strbuf_add(&call->body, (struct str){ at, len });
	}
	return 0;
}

static int on_complete(struct http_parser *parser)
{
	struct connection *connection = connection_of(parser);
	struct reading *reading = &connection->reading;
	struct caller_call *call = reading->call;

	reading->call = NULL;
	reading->ended = call->last;
	if (call->upload) {
		pipe_finish(call->upload, PIPE_DONE);
		caller_tell(call, CALLER_UPLOADED, 0);
	} else {
		lock_acquire(&connection->lock);
		call->complete = true;
		lock_release(&connection->lock);
		connection_advance(connection);
	}
	if (reading->ended)
		http_parser_pause(parser, 1);
	caller_call_unref(call);
	return 0;
}

static const struct http_parser_settings callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

void reading_start(struct connection *connection)
{
	struct reading *reading = &connection->reading;

	memset(reading, 0, sizeof(*reading));
	http_parser_init(&reading->parser, HTTP_REQUEST);
	reading->parser.data = connection;
}

void reading_stop(struct connection *connection)
{
	struct caller_call *call = connection->reading.call;

	connection->reading.call = NULL;
	if (call && call->upload)
		pipe_finish(call->upload, PIPE_FAILED);
	caller_call_unref(call);
}

/* Answers what can't be understood, after all that came before it. */
static void refuse(struct connection *connection)
{
	struct reading *reading = &connection->reading;
	struct caller_call *call = reading->call ? reading->call : call_new(connection);
	struct response_head head = { .status = reading->bad_status, .field_count = 1 };
	struct str verdict = caller_options_of(connection->caller)->verdict_field;
	bool queued;

	reading->call = NULL;
	lock_acquire(&connection->lock);
	queued = g_queue_find(&connection->calls, call) != NULL;
	lock_release(&connection->lock);
	if (queued) {
		/* Its head was good and it may be under way: only its body is bad. */
		connection_close(connection);
		caller_call_unref(call);
		return;
	}
	call->last = true;
	head.fields[0] = (struct field){ verdict, STR("not-run") };
	head.field_count = verdict.len ? 1 : 0;
	lock_acquire(&connection->lock);
	call->dispatched = true;
	call->complete = true;
	caller_call_ref(call);
	g_queue_push_tail(&connection->calls, call);
	lock_release(&connection->lock);
	caller_count(connection->caller, 1);
	caller_answer(call, &head, STR(""));
	caller_call_unref(call);
}

static int status_of(enum http_errno problem)
{
	return problem == HPE_HEADER_OVERFLOW ? STATUS_HEAD_TOO_LARGE : STATUS_BAD_REQUEST;
}

bool reading_take(struct connection *connection, struct str bytes)
{
	struct reading *reading = &connection->reading;
	size_t taken;

	if (reading->ended || reading->bad_status)
		return false;
	taken = http_parser_execute(&reading->parser, &callbacks, bytes.data, bytes.len);
	if (reading->ended)
		return false;
	if (taken == bytes.len && HTTP_PARSER_ERRNO(&reading->parser) == HPE_OK)
		return true;
	if (reading->bad_status == 0)
		reading->bad_status = status_of(HTTP_PARSER_ERRNO(&reading->parser));
	refuse(connection);
	return false;
}
