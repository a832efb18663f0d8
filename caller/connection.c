#include "caller/connection.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/socket.h"

/* Callers send a header section within 3 s. */
#define HEAD_TIMEOUT_US	  (5 * US_PER_S)
#define LINGER_TIMEOUT_US (1 * US_PER_S) /* time for the caller to close after the last answer */

enum {
	READ_BYTES = 16 << 10,
	READS_PER_EVENT = 4, /* after so many reads the worker handles other connections */
	BLOCK_BYTES = 32 << 10,
	OUTPUT_MAX_BYTES = 64 << 10, /* serialized but not yet written to the socket */
	DISCARD_MAX_BYTES = 1 << 20, /* then a connection is not read any more */
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
	STATUS_UNAVAILABLE = 503,
};

struct connection *connection_ref(struct connection *connection)
{
	g_atomic_int_inc(&connection->refs);
	return connection;
}

void connection_unref(struct connection *connection)
{
	if (!g_atomic_int_dec_and_test(&connection->refs))
		return;
	close(connection->fd);
	strbuf_clear(&connection->output);
	connection->counted_output = 0;
	caller_recycle(connection->caller, connection);
}

void connection_open(struct connection *connection, int fd, uint32_t ipv4)
{
	struct workers *workers = caller_options_of(connection->caller)->workers;
	struct memory *memory = caller_options_of(connection->caller)->memory;
	struct instant now = clock_now();
	int enable = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
	connection->refs = 1;
	connection->ipv4 = ipv4;
	input_reset(connection);
	memory_join(memory, &connection->holder, now);
	memory_charge(memory, &connection->holder, MEMORY_REQUESTS, sizeof(*connection));
	lock_acquire(&connection->lock);
	connection->state = CONNECTION_OPEN;
	connection->fd = fd;
	connection->reading_paused = false;
	connection->event_pending = false;
	connection->awaiting_writable = false;
	connection->answers = ANSWERS_FOLLOW;
	connection->used = false;
	connection->in_head = false;
	connection->heads = 0;
	connection->opened_us = now.mono_us;
	connection->last_active_us = now.mono_us;
	connection->last_taken_us = now.mono_us;
	connection->watch.fd = fd;
	lock_release(&connection->lock);
	if (!workers_watch(workers, &connection->watch, WATCH_READ))
		connection_close(connection);
}

/* Rearms the watch for the events that the connection waits for. LOCK_CONNECTION is held. */
static void rearm_watch(struct connection *connection)
{
	int interest = connection->reading_paused ? 0 : WATCH_READ;

	if (connection->awaiting_writable)
		interest |= WATCH_WRITE;
	workers_rearm(caller_options_of(connection->caller)->workers, &connection->watch, interest);
}

/** How a call ends. */
enum call_end {
	END_ANSWERED, /* its answer was written: nobody reads its body any more */
	END_CLOSED,   /* what came of its body may still be read */
};

static void end_body(struct caller_body *body, enum call_end end)
{
	switch (end) {
	case END_ANSWERED:
		caller_body_abandon(body);
		return;
	case END_CLOSED:
		caller_body_cut(body);
		return;
	}
	g_assert_not_reached();
}

/* Abandons the call's pipes, notifies the handler if it has the call, and drops a reference. */
static void end_call(struct connection *connection, struct caller_call *call, enum call_end end)
{
	if (call->answer)
		pipe_abandon(call->answer);
	lock_acquire(&connection->lock);
	end_body(&call->body, end);
	lock_release(&connection->lock);
	/* Reading may have stopped since nobody took the body; the rest of it is discarded. */
	if (end == END_ANSWERED)
		connection_resume(connection);
	if (call->dispatched)
		caller_notify(call, CALLER_ENDED, 0);
	caller_call_uncount(call);
	caller_add_active(connection->caller, -1);
	caller_call_unref(call);
}

static void end_calls(struct connection *connection, GQueue *calls, enum call_end end)
{
	struct caller_call *call;

	while ((call = g_queue_pop_head(calls)) != NULL)
		end_call(connection, call, end);
}

static void move_calls(GQueue *from, GQueue *to)
{
	struct caller_call *call;

	while ((call = g_queue_pop_head(from)) != NULL)
		g_queue_push_tail(to, call);
}

enum close_condition { CLOSE_ALWAYS, CLOSE_IDLE };

static bool is_idle(const struct connection *connection)
{
	return connection->calls.length == 0 && connection->answered.length == 0;
}

/* Returns whether the end of the connection would end an answer that was sent in part. The
 * connection's lock is held. */
static bool is_cut_by_end(struct connection *connection)
{
	const struct caller_call *written = g_queue_peek_tail(&connection->answered);
	const struct caller_call *running = g_queue_peek_head(&connection->calls);

	return (written && written->framing.kind == BODY_UNTIL_CLOSE) ||
	       (running && running->head_serialized && running->framing.kind == BODY_UNTIL_CLOSE);
}

/* Closes the connection if the condition holds: no request is queued in between. */
static void close_if(struct connection *connection, enum close_condition condition)
{
	GQueue calls = G_QUEUE_INIT;
	bool closes;
	bool being_handled;
	bool cut;

	lock_acquire(&connection->lock);
	closes = (connection->state == CONNECTION_OPEN ||
		  connection->state == CONNECTION_LINGERING) &&
		 (condition == CLOSE_ALWAYS || is_idle(connection));
	being_handled = connection->handling;
	cut = is_cut_by_end(connection);
	if (closes) {
		connection->state = CONNECTION_CLOSED;
		memory_set_closing(caller_options_of(connection->caller)->memory,
				   &connection->holder);
		move_calls(&connection->answered, &calls);
		move_calls(&connection->calls, &calls);
		workers_unwatch(caller_options_of(connection->caller)->workers, &connection->watch);
	}
	lock_release(&connection->lock);
	if (!closes)
		return;
	/* The descriptor is closed with the last call, whose end may take a while. */
	if (!(cut && socket_reset(connection->fd)) && !g_queue_is_empty(&calls))
		shutdown(connection->fd, SHUT_RDWR);
	end_calls(connection, &calls, END_CLOSED);
	/* A worker that is reading aborts the input itself in end_handling(). */
	if (!being_handled)
		input_abort(connection);
	connection_unref(connection);
}

void connection_close(struct connection *connection)
{
	close_if(connection, CLOSE_ALWAYS);
}

void connection_close_for(struct connection *connection, const char *why)
{
	struct caller *caller = connection->caller;
	struct memory_closing state;

	memory_describe(caller_options_of(caller)->memory, &connection->holder, clock_now(),
			&state);
	caller_log_closing(caller, connection, &state, why);
	connection_close(connection);
}

void connection_close_idle(struct connection *connection)
{
	close_if(connection, CLOSE_IDLE);
}

static const char *reason_phrase(int status)
{
	const char *text = http_status_str((enum http_status)status);

	return strcmp(text, "<unknown>") == 0 ? "Status" : text;
}

static struct framing choose_framing(const struct caller_call *call)
{
	const struct response_head *head = &call->head;

	if (str_equal(call->method, STR("HEAD")) || head->status == STATUS_NO_CONTENT ||
	    head->status == STATUS_NOT_MODIFIED)
		return (struct framing){ .kind = BODY_ABSENT };
	if (head->body_length < 0)
		return (struct framing){ .kind = call->takes_chunks ? BODY_CHUNKED
								    : BODY_UNTIL_CLOSE };
	return (struct framing){ .kind = BODY_SIZED, .length.missing = head->body_length };
}

/* Returns whether a request behind this one was passed to the handler. */
static bool is_followed(struct connection *connection, const struct caller_call *call)
{
	const GList *at = g_queue_find(&connection->calls, call);

	while (at && (at = at->next) != NULL)
		if (((const struct caller_call *)at->data)->dispatched)
			return true;
	return false;
}

static void serialize_head(struct connection *connection, struct caller_call *call)
{
	struct strbuf *output = &connection->output;
	const struct response_head *head = &call->head;

	strbuf_addf(output, "HTTP/1.1 %d %s\r\n", head->status, reason_phrase(head->status));
	for (int i = 0; i < head->field_count; i++)
		strbuf_addf(output, "%.*s: %.*s\r\n", STR_ARG(head->fields[i].name),
			    STR_ARG(head->fields[i].value));
	if (call->framing.kind == BODY_CHUNKED)
		strbuf_add(output, STR("Transfer-Encoding: chunked\r\n"));
	else if (head->body_length >= 0 && head->status != STATUS_NO_CONTENT)
		strbuf_addf(output, "Content-Length: %ld\r\n", head->body_length);
	call->close_after |=
		call->framing.kind == BODY_UNTIL_CLOSE ||
		(caller_is_retired(connection->caller) && !is_followed(connection, call));
	if (call->close_after) {
		strbuf_add(output, STR("Connection: close\r\n"));
		connection->answers = ANSWERS_LAST;
	}
	strbuf_add(output, STR("\r\n"));
	call->head_serialized = true;
}

/* Returns whether the next @p bytes and the end of a body agree with its framing. */
static bool fits_framing(const struct framing *framing, size_t bytes, enum pipe_end end)
{
	int64_t missing = framing->length.missing;

	switch (framing->kind) {
	case BODY_ABSENT:
	case BODY_CHUNKED:
	case BODY_UNTIL_CLOSE:
		return true;
	case BODY_SIZED:
		return end == PIPE_DONE ? (int64_t)bytes == missing : (int64_t)bytes <= missing;
	}
	g_assert_not_reached();
}

/* The caller takes the answer for whole once it has the last byte, which is held until the end of
 * the body has come. */
static void serialize_sized(struct strbuf *output, struct framing *framing, struct str bytes,
			    enum pipe_end end)
{
	framing->length.missing -= (int64_t)bytes.len;
	if (bytes.len && framing->length.missing == 0 && end == PIPE_OPEN) {
		framing->length.holds_last = true;
		framing->length.last = bytes.data[--bytes.len];
	}
	strbuf_add(output, bytes);
	if (framing->length.holds_last && end == PIPE_DONE)
		strbuf_add(output, (struct str){ &framing->length.last, 1 });
}

static void serialize_chunk(struct strbuf *output, struct str bytes, enum pipe_end end)
{
	if (bytes.len) {
		strbuf_addf(output, "%zx\r\n", bytes.len);
		strbuf_add(output, bytes);
		strbuf_add(output, STR("\r\n"));
	}
	if (end == PIPE_DONE)
		strbuf_add(output, STR("0\r\n\r\n"));
}

static void serialize_body(struct strbuf *output, struct framing *framing, struct str bytes,
			   enum pipe_end end)
{
	switch (framing->kind) {
	case BODY_ABSENT:
		return;
	case BODY_SIZED:
		serialize_sized(output, framing, bytes, end);
		return;
	case BODY_CHUNKED:
		serialize_chunk(output, bytes, end);
		return;
	case BODY_UNTIL_CLOSE:
		strbuf_add(output, bytes);
		return;
	}
	g_assert_not_reached();
}

/* The result of serializing one block. */
enum serialize_result { SERIALIZE_MORE, SERIALIZE_WAITING, SERIALIZE_DONE, SERIALIZE_TRUNCATED };

/* Moves a block of the answer to the output; *body_bytes is how much of its body was moved. */
static enum serialize_result serialize_block(struct connection *connection,
					     struct caller_call *call, size_t *body_bytes)
{
	char block[BLOCK_BYTES];
	enum pipe_end end = PIPE_OPEN;

	*body_bytes = 0;
	if (!call->head_ready || call->held)
		return SERIALIZE_WAITING;
	if (!call->head_serialized)
		call->framing = choose_framing(call);
	*body_bytes = pipe_read(call->answer, block, sizeof(block), &end);
	if (end == PIPE_FAILED || !fits_framing(&call->framing, *body_bytes, end))
		return SERIALIZE_TRUNCATED;
	if (!call->head_serialized)
		serialize_head(connection, call);
	serialize_body(&connection->output, &call->framing, (struct str){ block, *body_bytes },
		       end);
	if (end == PIPE_DONE)
		return SERIALIZE_DONE;
	return *body_bytes ? SERIALIZE_MORE : SERIALIZE_WAITING;
}

/* Serializes a block of the oldest answer. Returns its call with a reference, or NULL if nothing
 * could be serialized; *body_bytes is how much of its body was moved, for CALLER_DRAINED. */
static struct caller_call *serialize_front(struct connection *connection, size_t *body_bytes)
{
	struct caller_call *call = g_queue_peek_head(&connection->calls);

	*body_bytes = 0;
	if (!call || connection->answers == ANSWERS_ENDED ||
	    connection->output.len >= OUTPUT_MAX_BYTES)
		return NULL;
	switch (serialize_block(connection, call, body_bytes)) {
	case SERIALIZE_WAITING:
		return NULL;
	case SERIALIZE_MORE:
		break;
	case SERIALIZE_TRUNCATED:
		connection->answers = ANSWERS_ENDED;
		call->truncated = true;
		break;
	case SERIALIZE_DONE:
		g_queue_pop_head(&connection->calls);
		g_queue_push_tail(&connection->answered, call);
		if (connection->answers == ANSWERS_LAST)
			connection->answers = ANSWERS_ENDED;
		break;
	}
	return caller_call_ref(call);
}

/* Moves the output to *bytes, to be written without the lock. */
static bool detach_output(struct connection *connection, struct strbuf *bytes)
{
	if (connection->output.len == 0 || connection->state == CONNECTION_CLOSED)
		return false;
	*bytes = connection->output;
	connection->output = (struct strbuf){ 0 };
	return true;
}

/* Sends bytes; unsent ones remain in *bytes. Returns false on a socket error. */
static bool send_bytes(int fd, struct strbuf *bytes)
{
	size_t sent = 0;

	while (sent < bytes->len) {
		ssize_t n = send(fd, bytes->data + sent, bytes->len - sent,
				 MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
			return false;
		if (n < 0)
			break;
		sent += (size_t)n;
	}
	strbuf_consume(bytes, sent);
	return true;
}

/* Puts unsent bytes back before newer output. Returns true if there were any (socket full). */
static bool restore_output(struct connection *connection, struct strbuf *bytes)
{
	bool socket_full = bytes->len > 0;

	strbuf_add(bytes, strbuf_str(&connection->output));
	strbuf_clear(&connection->output);
	/* An idle connection keeps no buffer: its caller has read the answer. */
	if (bytes->len == 0)
		strbuf_clear(bytes);
	connection->output = *bytes;
	return socket_full;
}

/* Counts the output as large as it is now. The connection's lock is held. */
static void count_output(struct connection *connection)
{
	int64_t bytes = (int64_t)connection->output.cap;

	memory_charge(caller_options_of(connection->caller)->memory, &connection->holder,
		      MEMORY_ANSWERS, bytes - connection->counted_output);
	connection->counted_output = bytes;
}

/* Records that the caller took bytes of its answers. The connection's lock is held. */
static void record_taken(struct connection *connection)
{
	struct instant now = clock_now();

	connection->last_active_us = now.mono_us;
	connection->last_taken_us = now.mono_us;
	memory_sent(caller_options_of(connection->caller)->memory, &connection->holder, now);
}

/* Writes until no output is ready or the socket is full. Only one thread at a time runs this. */
static bool write_output(struct connection *connection)
{
	bool ok = true;
	bool socket_full = false;

	lock_acquire(&connection->lock);
	while (ok && !socket_full && connection->state != CONNECTION_CLOSED) {
		struct strbuf bytes = { 0 };
		struct caller_call *call;
		size_t body_bytes;
		size_t offered;

		/* Without output the caller has had nothing to take. */
		if (connection->output.len == 0)
			connection->last_taken_us = clock_now().mono_us;
		call = serialize_front(connection, &body_bytes);
		if (call) {
			lock_release(&connection->lock);
			if (body_bytes)
				caller_notify(call, CALLER_DRAINED, body_bytes);
			caller_call_unref(call);
			lock_acquire(&connection->lock);
			if (connection->output.len < OUTPUT_MAX_BYTES)
				continue;
		}
		if (!detach_output(connection, &bytes))
			break;
		offered = bytes.len;
		lock_release(&connection->lock);
		ok = send_bytes(connection->fd, &bytes);
		lock_acquire(&connection->lock);
		if (bytes.len < offered)
			record_taken(connection);
		socket_full = restore_output(connection, &bytes);
	}
	count_output(connection);
	connection->awaiting_writable = socket_full;
	if (socket_full && !connection->handling && connection->state != CONNECTION_CLOSED)
		rearm_watch(connection);
	lock_release(&connection->lock);
	return ok;
}

/* Ends the answered calls once the output is empty. After the last answer it shuts down the sending
 * side only, so that the caller can read the answer in full before the connection closes. */
static void finish_output(struct connection *connection)
{
	const struct caller_call *front;
	GQueue answered = G_QUEUE_INIT;
	GQueue unread = G_QUEUE_INIT; /* behind the last answer: they count as not read */
	bool half_close = false;
	bool truncated = false;

	lock_acquire(&connection->lock);
	if (connection->output.len == 0) {
		move_calls(&connection->answered, &answered);
		front = g_queue_peek_head(&connection->calls);
		truncated = front && front->truncated;
		half_close = connection->answers == ANSWERS_ENDED && !truncated &&
			     connection->state == CONNECTION_OPEN;
		if (half_close) {
			connection->state = CONNECTION_LINGERING;
			move_calls(&connection->calls, &unread);
		}
	}
	lock_release(&connection->lock);
	end_calls(connection, &answered, END_ANSWERED);
	end_calls(connection, &unread, END_CLOSED);
	if (half_close)
		shutdown(connection->fd, SHUT_WR);
	if (truncated)
		connection_close(connection);
}

static bool begin_writing(struct connection *connection)
{
	bool acquired;

	lock_acquire(&connection->lock);
	acquired = !connection->writing;
	connection->writing = true;
	connection->write_pending = !acquired;
	lock_release(&connection->lock);
	return acquired;
}

static bool end_write_pass(struct connection *connection)
{
	bool pending;

	lock_acquire(&connection->lock);
	pending = connection->write_pending;
	connection->write_pending = false;
	connection->writing = pending;
	lock_release(&connection->lock);
	return !pending;
}

bool connection_takes_calls(const struct connection *connection)
{
	return connection->state == CONNECTION_OPEN && connection->answers == ANSWERS_FOLLOW;
}

/* Returns whether further requests are passed on. In a stop the next head to be written
 * closes it, unless a request behind that one was passed on: none must be. */
static bool may_dispatch(const struct connection *connection)
{
	if (!connection_takes_calls(connection))
		return false;
	if (!caller_is_retired(connection->caller))
		return true;
	for (const GList *at = connection->calls.head; at; at = at->next) {
		const struct caller_call *call = at->data;

		if (call->dispatched && !call->head_serialized)
			return false;
	}
	return true;
}

/* Returns the next call that may start, with a reference, and whether memory lets it run. Calls
 * with safe methods over HTTP/1.1 run concurrently; any other call runs alone. */
static struct caller_call *next_startable_call(struct connection *connection,
					       enum memory_admission *admission)
{
	struct caller_call *found = NULL;

	*admission = MEMORY_WAIT;
	lock_acquire(&connection->lock);
	for (GList *at = connection->calls.head; at && !found; at = at->next) {
		struct caller_call *call = at->data;

		if (!call || !call->startable || (!call->concurrent && at->prev))
			break;
		if (!call->dispatched)
			found = call;
		if (!call->concurrent)
			break;
	}
	if (found && may_dispatch(connection))
		*admission = memory_admit(caller_options_of(connection->caller)->memory,
					  &connection->holder,
					  found == g_queue_peek_head(&connection->calls));
	if (*admission == MEMORY_WAIT) {
		found = NULL;
	} else {
		caller_call_prepare(found);
		found->dispatched = true;
		caller_call_ref(found);
	}
	lock_release(&connection->lock);
	if (found)
		caller_call_count(found);
	return found;
}

static void dispatch_calls(struct connection *connection)
{
	enum memory_admission admission;
	struct caller_call *call;

	while ((call = next_startable_call(connection, &admission)) != NULL) {
		switch (admission) {
		case MEMORY_RUN:
			caller_notify(call, CALLER_READY, 0);
			break;
		case MEMORY_REFUSE:
			/* The handler has not seen it: it has not run, and never will. */
			caller_log_refusal(connection->caller, connection);
			call_reject(call, STATUS_UNAVAILABLE);
			break;
		case MEMORY_WAIT:
			break;
		}
		caller_call_unref(call);
	}
}

void connection_advance(struct connection *connection)
{
	connection_ref(connection);
	dispatch_calls(connection);
	if (begin_writing(connection)) {
		bool ok = true;

		do {
			ok = ok && write_output(connection);
			finish_output(connection);
		} while (!end_write_pass(connection));
		if (!ok)
			connection_close(connection);
		connection_resume(connection);
		dispatch_calls(connection);
	}
	connection_unref(connection);
}

static bool can_read(struct connection *connection)
{
	const struct caller_call *call = connection->input.call;
	bool room;

	if (connection->input.discarded > DISCARD_MAX_BYTES)
		return false;
	lock_acquire(&connection->lock);
	room = g_queue_get_length(&connection->calls) < PIPELINE_MAX &&
	       (connection->answers != ANSWERS_FOLLOW ||
		memory_may_read(caller_options_of(connection->caller)->memory,
				&connection->holder));
	lock_release(&connection->lock);
	return room && (!call || caller_body_has_room(&call->body));
}

/* Returns whether bytes are read as requests. Behind the request of the last answer they are
 * discarded; the rest of that request's own body is not. */
static bool reads_requests(struct connection *connection)
{
	bool answers_follow;

	lock_acquire(&connection->lock);
	answers_follow = connection->answers == ANSWERS_FOLLOW;
	lock_release(&connection->lock);
	return answers_follow || connection->input.call;
}

/* The result of reading from the socket. */
enum read_result { READ_DRAINED, READ_MORE, READ_CLOSED };

static void record_received(struct connection *connection, size_t bytes)
{
	const struct caller_options *options = caller_options_of(connection->caller);
	struct instant now = clock_now();

	if (options->line)
		line_count(options->line, bytes, now);
	lock_acquire(&connection->lock);
	connection->last_active_us = now.mono_us;
	memory_received(options->memory, &connection->holder, now);
	lock_release(&connection->lock);
}

static enum read_result read_once(struct connection *connection)
{
	char bytes[READ_BYTES];
	ssize_t n = recv(connection->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
		return READ_DRAINED;
	if (n <= 0)
		return READ_CLOSED;
	record_received(connection, (size_t)n);
	/* Bytes after the last request are read from the socket and discarded: closing it with
	 * unread bytes would reset it, and the caller could lose its last answer. */
	if (!reads_requests(connection) ||
	    !input_parse(connection, (struct str){ bytes, (size_t)n }))
		connection->input.discarded += (uint64_t)n;
	return (size_t)n == sizeof(bytes) ? READ_MORE : READ_DRAINED;
}

/* Returns whether the connection has ended in both directions. */
static bool has_hung_up(int fd)
{
	struct pollfd polled = { .fd = fd };

	return poll(&polled, 1, 0) == 1 && polled.revents & (POLLHUP | POLLERR);
}

static enum read_result read_available(struct connection *connection)
{
	enum read_result result = READ_MORE;

	/* A paused connection is not read, and its end is reported again as long as it is watched.
	 */
	if (!can_read(connection))
		return has_hung_up(connection->fd) ? READ_CLOSED : READ_MORE;
	for (int i = 0; i < READS_PER_EVENT && result == READ_MORE && can_read(connection); i++)
		result = read_once(connection);
	caller_relieve(connection->caller);
	return result;
}

static bool begin_handling(struct connection *connection)
{
	bool acquired;

	lock_acquire(&connection->lock);
	acquired = !connection->handling && (connection->state == CONNECTION_OPEN ||
					     connection->state == CONNECTION_LINGERING);
	if (acquired) {
		connection->handling = true;
		connection_ref(connection);
	} else {
		connection->event_pending = connection->handling;
	}
	lock_release(&connection->lock);
	return acquired;
}

/* Records since when a head is being received. The connection's lock is held. */
static void record_head(struct connection *connection)
{
	const struct request_input *input = &connection->input;

	connection->in_head = input->call && !input->head_complete;
	if (connection->heads == input->heads)
		return;
	connection->heads = input->heads;
	connection->head_since_us = connection->last_active_us;
}

/* Returns true if the connection waits for its next event, false if one arrived meanwhile. */
static bool end_handling(struct connection *connection)
{
	bool room = can_read(connection);
	bool finished;
	bool closed;

	lock_acquire(&connection->lock);
	finished = !connection->event_pending;
	connection->event_pending = false;
	connection->handling = !finished;
	closed = connection->state == CONNECTION_CLOSED;
	connection->reading_paused = !room;
	record_head(connection);
	if (finished && !closed)
		rearm_watch(connection);
	lock_release(&connection->lock);
	if (finished && closed)
		input_abort(connection);
	return finished;
}

void connection_handle(struct connection *connection)
{
	bool finished = false;

	if (!begin_handling(connection))
		return;
	while (!finished) {
		enum read_result result = read_available(connection);

		connection_advance(connection);
		if (result == READ_CLOSED)
			connection_close(connection);
		finished = end_handling(connection);
	}
	connection_unref(connection);
}

void connection_resume(struct connection *connection)
{
	lock_acquire(&connection->lock);
	if (connection->reading_paused && !connection->handling &&
	    (connection->state == CONNECTION_OPEN || connection->state == CONNECTION_LINGERING)) {
		connection->reading_paused = false;
		rearm_watch(connection);
	}
	lock_release(&connection->lock);
}

/* Returns whether bytes wait that no worker has read: this node is late, and not its caller. */
static bool has_unread(int fd)
{
	struct pollfd polled = { .fd = fd, .events = POLLIN };

	return poll(&polled, 1, 0) == 1 && polled.revents & POLLIN;
}

void connection_tick(struct connection *connection, struct instant now)
{
	int64_t timeout_us = caller_options_of(connection->caller)->idle_s * US_PER_S;
	int64_t inactive_us;
	bool unread;
	bool head_late;
	bool held_up;

	lock_acquire(&connection->lock);
	inactive_us = now.mono_us - connection->last_active_us;
	if (connection->state == CONNECTION_LINGERING)
		timeout_us = LINGER_TIMEOUT_US;
	/* If the caller does not read its answers, its connection and output are kept no longer
	 * than an idle connection, also if it sends requests. */
	unread =
		connection->output.len > 0 && now.mono_us - connection->last_taken_us >= timeout_us;
	head_late = connection->in_head && !connection->reading_paused && is_idle(connection) &&
		    now.mono_us - connection->head_since_us >= HEAD_TIMEOUT_US;
	held_up = connection->reading_paused || connection->calls.length > 0;
	lock_release(&connection->lock);
	/* A caller that this node doesn't read makes no progress by no fault of its own, unless it
	 * leaves answers unread. */
	if (held_up)
		memory_received(caller_options_of(connection->caller)->memory, &connection->holder,
				now);
	if (unread)
		connection_close_for(connection, "unread");
	else if (head_late && !has_unread(connection->fd))
		connection_close_for(connection, "head");
	else if (inactive_us >= timeout_us)
		close_if(connection, CLOSE_IDLE);
	else if (held_up)
		connection_advance(connection); /* memory may have become available */
}
