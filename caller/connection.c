#include "caller/connection.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LINGER_US (1 * US_PER_S) /* for the caller's close, after the last answer */

enum {
	READ_BYTES = 16 << 10,
	READS_AT_ONCE = 4, /* then other connections have their turn */
	BLOCK_BYTES = 32 << 10,
	OUT_MAX_BYTES = 64 << 10, /* serialized ahead of the socket */
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
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
	strbuf_clear(&connection->out);
	caller_recycle(connection->caller, connection);
}

void connection_open(struct connection *connection, int fd, uint32_t ipv4)
{
	struct workers *workers = caller_options_of(connection->caller)->workers;
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	connection->refs = 1;
	connection->ipv4 = ipv4;
	reading_start(connection);
	lock_acquire(&connection->lock);
	connection->state = CONNECTION_OPEN;
	connection->fd = fd;
	connection->paused = false;
	connection->again = false;
	connection->waits_to_write = false;
	connection->closes = false;
	connection->used_at_us = clock_now().mono_us;
	connection->watch.fd = fd;
	lock_release(&connection->lock);
	if (!workers_watch(workers, &connection->watch, WATCH_READ))
		connection_close(connection);
}

/* LOCK_CONNECTION is held. */
static void rearm(struct connection *connection)
{
	int interest = connection->paused ? 0 : WATCH_READ;

	if (connection->waits_to_write)
		interest |= WATCH_WRITE;
	workers_rearm(caller_options_of(connection->caller)->workers, &connection->watch, interest);
}

/* Ends the exchange with the program. */
static void end_call(struct connection *connection, struct caller_call *call)
{
	pipe_abandon(call->answer);
	if (call->upload)
		pipe_finish(call->upload, PIPE_FAILED);
	if (call->dispatched)
		caller_tell(call, CALLER_GONE, 0);
	caller_count(connection->caller, -1);
	caller_call_unref(call);
}

static void end_calls(struct connection *connection, GQueue *calls)
{
	struct caller_call *call;

	while ((call = g_queue_pop_head(calls)) != NULL)
		end_call(connection, call);
}

static void move_calls(GQueue *from, GQueue *to)
{
	struct caller_call *call;

	while ((call = g_queue_pop_head(from)) != NULL)
		g_queue_push_tail(to, call);
}

void connection_close(struct connection *connection)
{
	GQueue calls = G_QUEUE_INIT;
	bool first;
	bool handled;

	lock_acquire(&connection->lock);
	first = connection->state == CONNECTION_OPEN || connection->state == CONNECTION_LINGERING;
	handled = connection->handling;
	if (first) {
		connection->state = CONNECTION_CLOSED;
		move_calls(&connection->done, &calls);
		move_calls(&connection->calls, &calls);
		workers_unwatch(caller_options_of(connection->caller)->workers, &connection->watch);
	}
	lock_release(&connection->lock);
	if (!first)
		return;
	end_calls(connection, &calls);
	/* Whoever reads stops at its next look. */
	if (!handled)
		reading_stop(connection);
	connection_unref(connection);
}

static const char *reason_phrase(int status)
{
	const char *text = http_status_str((enum http_status)status);

	return strcmp(text, "<unknown>") == 0 ? "Status" : text;
}

static bool has_body(const struct caller_call *call)
{
	return !str_equal(call->method, STR("HEAD")) && call->head.status != STATUS_NO_CONTENT &&
	       call->head.status != STATUS_NOT_MODIFIED;
}

static void put_head(struct connection *connection, struct caller_call *call)
{
	struct strbuf *out = &connection->out;
	const struct response_head *head = &call->head;

	strbuf_addf(out, "HTTP/1.1 %d %s\r\n", head->status, reason_phrase(head->status));
	for (int i = 0; i < head->field_count; i++)
		strbuf_addf(out, "%.*s: %.*s\r\n", STR_ARG(head->fields[i].name),
			    STR_ARG(head->fields[i].value));
	call->chunked = head->body_length < 0 && has_body(call);
	if (call->chunked)
		strbuf_add(out, STR("Transfer-Encoding: chunked\r\n"));
	else if (head->body_length >= 0 && head->status != STATUS_NO_CONTENT)
		strbuf_addf(out, "Content-Length: %ld\r\n", head->body_length);
	/* What came behind it is under way already, and is answered first. */
	call->last |= caller_is_retired(connection->caller) &&
		      g_queue_get_length(&connection->calls) == 1;
	if (call->last)
		strbuf_add(out, STR("Connection: close\r\n"));
	strbuf_add(out, STR("\r\n"));
	call->head_out = true;
}

static void put_body(struct connection *connection, const struct caller_call *call,
		     struct str bytes)
{
	if (!has_body(call))
		return;
	if (call->chunked)
		strbuf_addf(&connection->out, "%zx\r\n", bytes.len);
	strbuf_add(&connection->out, bytes);
	if (call->chunked)
		strbuf_add(&connection->out, STR("\r\n"));
}

/* What a step of the serialization found. */
enum put_result { PUT_MORE, PUT_WAITS, PUT_DONE, PUT_CUT };

/* Moves a block of the answer into the output; *taken tells how many bytes of its body. */
static enum put_result put_block(struct connection *connection, struct caller_call *call,
				 size_t *taken)
{
	char block[BLOCK_BYTES];
	enum pipe_end end = PIPE_OPEN;

	*taken = 0;
	if (!call->has_head)
		return PUT_WAITS;
	*taken = pipe_take(call->answer, block, sizeof(block), &end);
	if (end == PIPE_FAILED)
		return PUT_CUT;
	if (!call->head_out)
		put_head(connection, call);
	if (*taken)
		put_body(connection, call, (struct str){ block, *taken });
	if (end == PIPE_DONE) {
		if (call->chunked)
			strbuf_add(&connection->out, STR("0\r\n\r\n"));
		return PUT_DONE;
	}
	return *taken ? PUT_MORE : PUT_WAITS;
}

/* Serializes the oldest answer as far as it goes. Returns the call with a reference if bytes of its
 * body were taken, so that it can be told. */
static struct caller_call *serialize(struct connection *connection, size_t *taken)
{
	struct caller_call *call = g_queue_peek_head(&connection->calls);

	*taken = 0;
	if (!call || connection->closes || connection->out.len >= OUT_MAX_BYTES)
		return NULL;
	switch (put_block(connection, call, taken)) {
	case PUT_WAITS:
		return NULL;
	case PUT_MORE:
		break;
	case PUT_CUT:
		connection->closes = true;
		call->cut = true;
		break;
	case PUT_DONE:
		g_queue_pop_head(&connection->calls);
		g_queue_push_tail(&connection->done, call);
		connection->closes |= call->last;
		break;
	}
	return caller_call_ref(call);
}

/* Takes the output to write it without the lock. */
static bool take_output(struct connection *connection, struct strbuf *bytes)
{
	if (connection->out.len == 0 || connection->state == CONNECTION_CLOSED)
		return false;
	*bytes = connection->out;
	connection->out = (struct strbuf){ 0 };
	return true;
}

/* Hands bytes to the socket; what it does not take stays in front. False if it failed. */
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

/* Puts what was not written back in front. True if the socket is full. */
static bool put_back(struct connection *connection, struct strbuf *bytes)
{
	bool full = bytes->len > 0;

	strbuf_add(bytes, strbuf_str(&connection->out));
	strbuf_clear(&connection->out);
	connection->out = *bytes;
	return full;
}

/* Writes until nothing is ready or the socket is full. Only one thread at a time is here. */
static bool write_ready(struct connection *connection)
{
	bool good = true;
	bool full = false;

	lock_acquire(&connection->lock);
	while (good && !full && connection->state != CONNECTION_CLOSED) {
		struct strbuf bytes = { 0 };
		struct caller_call *call;
		size_t taken;

		call = serialize(connection, &taken);
		if (call) {
			lock_release(&connection->lock);
			if (taken)
				caller_tell(call, CALLER_DRAINED, taken);
			caller_call_unref(call);
			lock_acquire(&connection->lock);
			if (connection->out.len < OUT_MAX_BYTES)
				continue;
		}
		if (!take_output(connection, &bytes))
			break;
		lock_release(&connection->lock);
		good = send_bytes(connection->fd, &bytes);
		lock_acquire(&connection->lock);
		connection->used_at_us = clock_now().mono_us;
		full = put_back(connection, &bytes);
	}
	connection->waits_to_write = full;
	if (full && !connection->handling && connection->state != CONNECTION_CLOSED)
		rearm(connection);
	lock_release(&connection->lock);
	return good;
}

/* After the last answer: shuts its own side, so that the caller has read all when it closes. */
static void end_writing(struct connection *connection)
{
	const struct caller_call *front;
	GQueue done = G_QUEUE_INIT;
	bool shut = false;
	bool cut = false;

	lock_acquire(&connection->lock);
	if (connection->out.len == 0) {
		move_calls(&connection->done, &done);
		front = g_queue_peek_head(&connection->calls);
		cut = front && front->cut;
		shut = connection->closes && !cut && connection->state == CONNECTION_OPEN;
		if (shut)
			connection->state = CONNECTION_LINGERING;
	}
	lock_release(&connection->lock);
	end_calls(connection, &done);
	if (shut)
		shutdown(connection->fd, SHUT_WR);
	if (cut)
		connection_close(connection);
}

static bool begin_writing(struct connection *connection)
{
	bool mine;

	lock_acquire(&connection->lock);
	mine = !connection->writing;
	connection->writing = true;
	connection->write_again = !mine;
	lock_release(&connection->lock);
	return mine;
}

static bool end_turn(struct connection *connection)
{
	bool again;

	lock_acquire(&connection->lock);
	again = connection->write_again;
	connection->write_again = false;
	connection->writing = again;
	lock_release(&connection->lock);
	return !again;
}

/* The next call that may start: safe ones beside each other, another one alone. */
static struct caller_call *next_start(struct connection *connection)
{
	struct caller_call *found = NULL;

	lock_acquire(&connection->lock);
	for (GList *at = connection->calls.head; at && !found; at = at->next) {
		struct caller_call *call = at->data;

		if (!call || !call->complete || (!call->safe && at->prev))
			break;
		if (!call->dispatched)
			found = call;
		if (!call->safe)
			break;
	}
	if (found && connection->state == CONNECTION_OPEN) {
		found->dispatched = true;
		caller_call_ref(found);
	} else {
		found = NULL;
	}
	lock_release(&connection->lock);
	return found;
}

static void start_calls(struct connection *connection)
{
	struct caller_call *call;

	while ((call = next_start(connection)) != NULL) {
		caller_tell(call, CALLER_READY, 0);
		caller_call_unref(call);
	}
}

void connection_advance(struct connection *connection)
{
	connection_ref(connection);
	start_calls(connection);
	if (begin_writing(connection)) {
		bool good = true;

		do {
			good = good && write_ready(connection);
			end_writing(connection);
		} while (!end_turn(connection));
		if (!good)
			connection_close(connection);
		connection_resume(connection);
		start_calls(connection);
	}
	connection_unref(connection);
}

static bool has_room(struct connection *connection)
{
	const struct caller_call *call = connection->reading.call;
	bool room;

	lock_acquire(&connection->lock);
	room = g_queue_get_length(&connection->calls) < PIPELINE_MAX;
	lock_release(&connection->lock);
	return room && (!call || !call->upload || pipe_has_room(call->upload));
}

/* What a read of the socket came to. */
enum read_result { READ_EMPTY, READ_SOME, READ_ENDED };

static enum read_result read_once(struct connection *connection)
{
	char bytes[READ_BYTES];
	ssize_t n = recv(connection->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
		return READ_EMPTY;
	if (n <= 0)
		return READ_ENDED;
	lock_acquire(&connection->lock);
	connection->used_at_us = clock_now().mono_us;
	lock_release(&connection->lock);
	/* What follows the last request is taken off the socket, and counts as not read. */
	reading_take(connection, (struct str){ bytes, (size_t)n });
	return (size_t)n == sizeof(bytes) ? READ_SOME : READ_EMPTY;
}

static enum read_result read_ready(struct connection *connection)
{
	enum read_result result = READ_SOME;

	for (int i = 0; i < READS_AT_ONCE && result == READ_SOME && has_room(connection); i++)
		result = read_once(connection);
	return result;
}

static bool begin_handling(struct connection *connection)
{
	bool mine;

	lock_acquire(&connection->lock);
	mine = !connection->handling &&
	       (connection->state == CONNECTION_OPEN || connection->state == CONNECTION_LINGERING);
	if (mine) {
		connection->handling = true;
		connection_ref(connection);
	} else {
		connection->again = connection->handling;
	}
	lock_release(&connection->lock);
	return mine;
}

/* True if the connection waits for its next event; false if one came meanwhile. */
static bool end_handling(struct connection *connection)
{
	bool room = has_room(connection);
	bool over;
	bool closed;

	lock_acquire(&connection->lock);
	over = !connection->again;
	connection->again = false;
	connection->handling = !over;
	closed = connection->state == CONNECTION_CLOSED;
	connection->paused = !room;
	if (over && !closed)
		rearm(connection);
	lock_release(&connection->lock);
	if (over && closed)
		reading_stop(connection);
	return over;
}

void connection_handle(struct connection *connection)
{
	bool over = false;

	if (!begin_handling(connection))
		return;
	while (!over) {
		enum read_result result = read_ready(connection);

		connection_advance(connection);
		if (result == READ_ENDED)
			connection_close(connection);
		over = end_handling(connection);
	}
	connection_unref(connection);
}

void connection_resume(struct connection *connection)
{
	lock_acquire(&connection->lock);
	if (connection->paused && !connection->handling &&
	    (connection->state == CONNECTION_OPEN || connection->state == CONNECTION_LINGERING)) {
		connection->paused = false;
		rearm(connection);
	}
	lock_release(&connection->lock);
}

static bool is_idle(struct connection *connection)
{
	bool idle;

	lock_acquire(&connection->lock);
	idle = g_queue_is_empty(&connection->calls) && g_queue_is_empty(&connection->done);
	lock_release(&connection->lock);
	return idle;
}

void connection_close_idle(struct connection *connection)
{
	if (is_idle(connection))
		connection_close(connection);
}

void connection_tick(struct connection *connection, struct instant now)
{
	int64_t idle_us = caller_options_of(connection->caller)->idle_s * US_PER_S;
	int64_t unused_us;
	bool stuck;

	lock_acquire(&connection->lock);
	unused_us = now.mono_us - connection->used_at_us;
	if (connection->state == CONNECTION_LINGERING)
		idle_us = LINGER_US;
	/* A caller that does not read keeps nothing here for longer than an idle one. */
	stuck = connection->out.len > 0;
	lock_release(&connection->lock);
	if (unused_us >= idle_us && (stuck || is_idle(connection)))
		connection_close(connection);
}
