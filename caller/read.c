/*
 * Reads requests: the callbacks of the HTTP parser fill in a caller_call.
 */
#include <string.h>

#include "base/chunks.h"
#include "caller/connection.h"

enum {
	STATUS_BAD_REQUEST = 400,
	STATUS_TOO_LARGE = 413,
	STATUS_HEAD_TOO_LARGE = 431,
	BODY_REJECTED = 1,
	HEAD_REJECTED = -1, /* ends parsing; 1 and 2 have other meanings for the parser */
};

static struct connection *connection_of(const struct http_parser *parser)
{
	return parser->data;
}

static int on_message_begin(struct http_parser *parser)
{
	struct connection *connection = connection_of(parser);
	struct request_input *input = &connection->input;

	input->call = caller_call_new(connection);
	input->heads++;
	input->target = (struct span){ 0 };
	input->field_count = 0;
	input->in_value = false;
	input->head_complete = false;
	return 0;
}

/* Appends a fragment to a span; the parser delivers the fragments of one string in order. */
static void append_fragment(struct request_input *input, struct span *span, const char *data,
			    size_t len)
{
	if (span->len == 0)
		span->offset = input->call->text.len;
	strbuf_add(&input->call->text, (struct str){ data, len });
	span->len += len;
}

static int on_url(struct http_parser *parser, const char *data, size_t len)
{
	struct request_input *input = &connection_of(parser)->input;

	append_fragment(input, &input->target, data, len);
	return 0;
}

/* Trailers are not forwarded: the strings of the head are in use, and must not move. */
static int on_field_name(struct http_parser *parser, const char *data, size_t len)
{
	struct request_input *input = &connection_of(parser)->input;

	if (input->head_complete)
		return 0;
	if (input->field_count == 0 || input->in_value) {
		if (input->field_count == CALLER_FIELDS_MAX) {
			input->error_status = STATUS_HEAD_TOO_LARGE;
			return 1;
		}
		input->names[input->field_count] = (struct span){ 0 };
		input->values[input->field_count] = (struct span){ 0 };
		input->field_count++;
		input->in_value = false;
	}
	append_fragment(input, &input->names[input->field_count - 1], data, len);
	return 0;
}

static int on_field_value(struct http_parser *parser, const char *data, size_t len)
{
	struct request_input *input = &connection_of(parser)->input;

	/* A value that follows no field name of the head is ignored. */
	if (input->field_count == 0 || input->head_complete)
		return 0;
	input->in_value = true;
	append_fragment(input, &input->values[input->field_count - 1], data, len);
	return 0;
}

static struct str span_str(const struct caller_call *call, struct span span)
{
	return (struct str){ call->text.data + span.offset, span.len };
}

static bool is_safe(unsigned int method)
{
	return method == HTTP_GET || method == HTTP_HEAD || method == HTTP_OPTIONS;
}

static void finish_head(struct request_input *input)
{
	struct caller_call *call = input->call;
	const struct http_parser *parser = &input->parser;

	call->method = str_from_cstr(http_method_str(parser->method));
	call->target = span_str(call, input->target);
	for (int i = 0; i < input->field_count; i++)
		call->fields[i] = (struct field){ span_str(call, input->names[i]),
						  span_str(call, input->values[i]) };
	call->field_count = input->field_count;
	call->takes_chunks =
		parser->http_major > 1 || (parser->http_major == 1 && parser->http_minor > 0);
	/* An answer over HTTP/1.0 may close the connection, which would lose a later request. */
	call->concurrent = is_safe(parser->method) && call->takes_chunks;
	call->arrived = clock_now();
	input->closes = !http_should_keep_alive(parser);
	call->close_after = input->closes;
	call->in_chunks = parser->flags & F_CHUNKED;
	if (call->in_chunks)
		call->body_length = -1;
	else if (parser->flags & F_CONTENTLENGTH)
		call->body_length = (int64_t)parser->content_length;
}

static bool expects_continue(const struct caller_call *call)
{
	return str_equal_nocase(caller_field(call, STR("Expect")), STR("100-continue"));
}

/* Queues the call in the order in which answers are sent, unless no more are sent. */
static void enqueue_call(struct connection *connection, struct caller_call *call)
{
	bool streamed = call->body.kind == CALLER_BODY_STREAMED;

	caller_call_count(call);
	lock_acquire(&connection->lock);
	connection->used = true;
	call->queued = connection_takes_calls(connection);
	if (call->queued) {
		if (expects_continue(call) && g_queue_is_empty(&connection->calls) &&
		    connection->output.len == 0)
			strbuf_add(&connection->output, STR("HTTP/1.1 100 Continue\r\n\r\n"));
		call->startable = streamed;
		caller_call_ref(call);
		g_queue_push_tail(&connection->calls, call);
		caller_add_active(connection->caller, 1);
	}
	lock_release(&connection->lock);
	if (call->queued && streamed)
		connection_advance(connection);
}

/* Returns whether the body is passed on before its end. In a stop one in chunks is, as its target
 * may be gone by then; otherwise it is, like others, if it is not small. */
static bool is_streamed(const struct connection *connection, const struct caller_call *call,
			int64_t body_bytes)
{
	return body_bytes > SMALL_BODY_BYTES ||
	       (call->in_chunks && caller_is_retired(connection->caller));
}

static struct pipe *new_upload(struct connection *connection, struct caller_call *call)
{
	struct pipe *upload = pipe_new(UPLOAD_LIMIT_BYTES, caller_call_pool(call));

	pipe_set_account(upload, caller_options_of(connection->caller)->memory, &connection->holder,
			 MEMORY_BODIES);
	return upload;
}

static int on_headers_complete(struct http_parser *parser)
{
	struct connection *connection = connection_of(parser);
	struct request_input *input = &connection->input;
	struct caller_call *call = input->call;

	finish_head(input);
	input->head_complete = true;
	input->received = 0;
	input->body = 0;
	if (parser->upgrade) {
		input->error_status = STATUS_BAD_REQUEST;
		return HEAD_REJECTED;
	}
	if (call->body_length > caller_options_of(connection->caller)->body_max) {
		input->error_status = STATUS_TOO_LARGE;
		return HEAD_REJECTED;
	}
	if (is_streamed(connection, call, call->body_length))
		call->body = (struct caller_body){
			.kind = CALLER_BODY_STREAMED,
			.upload = new_upload(connection, call),
		};
	enqueue_call(connection, call);
	return 0;
}

/* Streams a body in chunks that is not small. The connection may end on another worker meanwhile,
 * which cuts the body. */
static void stream_body(struct connection *connection, struct caller_call *call)
{
	struct strbuf collected = call->body.whole;
	struct pipe *upload = new_upload(connection, call);

	pipe_write(upload, strbuf_str(&collected));
	lock_acquire(&connection->lock);
	call->body = (struct caller_body){ .kind = CALLER_BODY_STREAMED, .upload = upload };
	call->startable = true;
	lock_release(&connection->lock);
	strbuf_clear(&collected);
	if (call->queued)
		connection_advance(connection);
}

static int on_body(struct http_parser *parser, const char *data, size_t len)
{
	struct connection *connection = connection_of(parser);
	struct request_input *input = &connection->input;
	struct caller_call *call = input->call;

	input->body += len;
	/* Only a body in chunks gets here with more than it may have. */
	if (input->body > (uint64_t)caller_options_of(connection->caller)->body_max) {
		input->error_status = STATUS_TOO_LARGE;
		return BODY_REJECTED;
	}
	switch (call->body.kind) {
	case CALLER_BODY_WHOLE:
		strbuf_add(&call->body.whole, (struct str){ data, len });
		if (is_streamed(connection, call, (int64_t)call->body.whole.len))
			stream_body(connection, call);
		return 0;
	case CALLER_BODY_STREAMED:
		pipe_write(call->body.upload, (struct str){ data, len });
		caller_notify(call, CALLER_UPLOADED, 0);
		return 0;
	}
	g_assert_not_reached();
}

static void end_body(struct connection *connection, struct caller_call *call)
{
	switch (call->body.kind) {
	case CALLER_BODY_WHOLE:
		lock_acquire(&connection->lock);
		call->body_length = (int64_t)call->body.whole.len;
		call->startable = true;
		lock_release(&connection->lock);
		connection_advance(connection);
		return;
	case CALLER_BODY_STREAMED:
		pipe_finish(call->body.upload, PIPE_DONE);
		caller_notify(call, CALLER_UPLOADED, 0);
		return;
	}
	g_assert_not_reached();
}

static int on_message_complete(struct http_parser *parser)
{
	struct connection *connection = connection_of(parser);
	struct request_input *input = &connection->input;
	struct caller_call *call = input->call;

	input->call = NULL;
	input->ended = input->closes;
	caller_call_count(call);
	end_body(connection, call);
	if (input->ended)
		http_parser_pause(parser, 1);
	caller_call_unref(call);
	return 0;
}

static const struct http_parser_settings callbacks = {
	.on_message_begin = on_message_begin,
	.on_url = on_url,
	.on_header_field = on_field_name,
	.on_header_value = on_field_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

void input_reset(struct connection *connection)
{
	struct request_input *input = &connection->input;

	memset(input, 0, sizeof(*input));
	http_parser_init(&input->parser, HTTP_REQUEST);
	input->parser.data = connection;
}

void input_abort(struct connection *connection)
{
	struct caller_call *call = connection->input.call;

	connection->input.call = NULL;
	if (call)
		caller_body_cut(&call->body);
	caller_call_unref(call);
}

void call_reject(struct caller_call *call, int status)
{
	struct response_head head = { .status = status };
	struct str verdict = caller_options_of(call->connection->caller)->verdict_field;

	if (verdict.len)
		head.fields[head.field_count++] = (struct field){ verdict, STR("not-run") };
	caller_answer(call, &head, STR(""));
}

/* What has become of a request whose body is invalid. */
enum queued_call { QUEUED_ANSWERED, QUEUED_WAITING, QUEUED_RUNNING };

/* The head was valid, and the call may have started: only its body is invalid. An answer that is
 * complete already is the connection's last. A call that waits for earlier ones has not started:
 * those are answered, and then it is. */
static void reject_body(struct connection *connection, struct caller_call *call, int status)
{
	enum queued_call state = QUEUED_RUNNING;

	lock_acquire(&connection->lock);
	if (!g_queue_find(&connection->calls, call)) {
		state = QUEUED_ANSWERED;
		connection->answers = ANSWERS_ENDED;
	} else if (!call->dispatched) {
		state = QUEUED_WAITING;
		caller_call_prepare(call);
		call->dispatched = true;
		call->startable = true;
		call->close_after = true;
	}
	lock_release(&connection->lock);
	switch (state) {
	case QUEUED_ANSWERED:
		connection_advance(connection);
		return;
	case QUEUED_WAITING:
		call_reject(call, status);
		return;
	case QUEUED_RUNNING:
		/* 413 would say that it has not run: the caller learns from the close. */
		connection_close_for(connection, "body");
		return;
	}
	g_assert_not_reached();
}

/* Queues an error answer behind the answers to earlier requests, unless no more are sent. */
static void reject_head(struct connection *connection, struct caller_call *call, int status)
{
	bool queued;

	call->close_after = true;
	lock_acquire(&connection->lock);
	queued = connection_takes_calls(connection);
	if (queued) {
		caller_call_prepare(call);
		call->dispatched = true;
		call->startable = true;
		caller_call_ref(call);
		g_queue_push_tail(&connection->calls, call);
		caller_add_active(connection->caller, 1);
	}
	lock_release(&connection->lock);
	if (queued)
		call_reject(call, status);
}

static void reject_request(struct connection *connection)
{
	struct request_input *input = &connection->input;
	struct caller_call *call = input->call ? input->call : caller_call_new(connection);

	input->call = NULL;
	if (call->queued)
		reject_body(connection, call, input->error_status);
	else
		reject_head(connection, call, input->error_status);
	caller_call_unref(call);
}

static int error_status_of(enum http_errno error)
{
	return error == HPE_HEADER_OVERFLOW ? STATUS_HEAD_TOO_LARGE : STATUS_BAD_REQUEST;
}

/* Returns whether the body that is being read came with far more bytes around it than it has. */
static bool is_hollow(const struct request_input *input)
{
	return input->call && input->head_complete &&
	       chunks_are_hollow(input->received, input->body);
}

bool input_parse(struct connection *connection, struct str bytes)
{
	struct request_input *input = &connection->input;
	size_t parsed;

	if (input->ended || input->error_status)
		return false;
	parsed = http_parser_execute(&input->parser, &callbacks, bytes.data, bytes.len);
	input->received += parsed;
	if (input->ended)
		return false;
	if (input->call)
		caller_call_count(input->call);
	if (parsed == bytes.len && HTTP_PARSER_ERRNO(&input->parser) == HPE_OK && !is_hollow(input))
		return true;
	if (input->error_status == 0)
		input->error_status = error_status_of(HTTP_PARSER_ERRNO(&input->parser));
	reject_request(connection);
	return false;
}
