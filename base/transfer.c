#include "base/transfer.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/socket.h"

enum {
	/* Parts of a body below this size, such as small chunks, are delivered together. */
	COLLECT_BYTES = 4 << 10,
	BUFFER_BYTES = 16 << 10,
	STATUS_REDIRECT = 300,
};

#define CHECK_INTERVAL_US (100 * US_PER_MS)

/* The request as far as it was sent on the present connection. */
struct outgoing {
	struct strbuf bytes;
	size_t sent;   /* of .bytes */
	int64_t left;  /* of TRANSFER_UPLOAD_BYTES */
	bool all_read; /* .bytes holds the end of the request */
};

/* A running transfer. */
struct transfer {
	const struct transfer_options *options;
	struct response response;
	struct outgoing outgoing;
	struct strbuf collected; /* bytes of the answer's body that are not delivered yet */
	char *buffer;		 /* BUFFER_BYTES for what is read next */
	int fd;
	bool kept;	    /* the connection served before */
	bool sent_any;	    /* bytes of the request were sent, on any connection */
	bool sent_here;	    /* on the present one */
	bool answered_here; /* bytes came on the present one */
	bool upload_read;   /* the handler has delivered bytes of the request's body */
	bool reusable;	    /* the connection, as far as it is known */
	bool foreign;
	int send_error; /* errno of the send() that failed on the present connection, or 0 */
	bool ended;	/* .cause and .reason are set */
	enum transfer_cause cause;
	const char *reason;
};

struct str transfer_end_name(enum transfer_end end)
{
	switch (end) {
	case TRANSFER_UNSENT:
		return STR("unsent");
	case TRANSFER_UNANSWERED:
		return STR("unanswered");
	case TRANSFER_CUT_IN_HEAD:
		return STR("cut-in-head");
	case TRANSFER_MALFORMED:
		return STR("malformed");
	case TRANSFER_CUT_IN_BODY:
		return STR("cut-in-body");
	case TRANSFER_WHOLE:
		return STR("whole");
	}
	g_assert_not_reached();
}

static bool fail(struct transfer *transfer, enum transfer_cause cause, const char *reason)
{
	transfer->ended = true;
	transfer->cause = cause;
	transfer->reason = reason;
	return false;
}

static const char *connection_reason(int error)
{
	if (error == ECONNREFUSED)
		return "the connection was refused";
	if (error == ECONNRESET || error == EPIPE)
		return "the connection was reset";
	return "the connection failed";
}

static bool fail_connection(struct transfer *transfer, int error)
{
	return fail(transfer, TRANSFER_CONNECTION, connection_reason(error));
}

static bool deliver(struct transfer *transfer, struct transfer_event *event)
{
	return transfer->options->handle(transfer->options->context, event) ||
	       fail(transfer, TRANSFER_HANDLER, "nobody waits for the answer");
}

/* The rest of the request is not sent, so that the connection can't serve again. */
static void stop_sending(struct transfer *transfer)
{
	struct outgoing *outgoing = &transfer->outgoing;

	transfer->reusable &= outgoing->all_read && outgoing->sent == outgoing->bytes.len;
	outgoing->all_read = true;
	outgoing->sent = outgoing->bytes.len;
}

static bool is_sent(const struct transfer *transfer)
{
	return transfer->outgoing.all_read &&
	       transfer->outgoing.sent == transfer->outgoing.bytes.len;
}

static bool deliver_head(struct transfer *transfer)
{
	const struct head *head = &transfer->response.reader.head;
	struct transfer_event event = { .kind = TRANSFER_HEAD, .head = { head, false } };

	/* An answer other than a success is final: the peer may not read the rest. */
	if (head->status >= STATUS_REDIRECT)
		stop_sending(transfer);
	if (!deliver(transfer, &event))
		return false;
	transfer->foreign = event.head.foreign;
	return !transfer->foreign ||
	       fail(transfer, TRANSFER_CONNECTION, "the answer is not one to this request");
}

/* Delivers the collected bytes. Each delivery may end in a write to a socket. */
static bool deliver_collected(struct transfer *transfer)
{
	struct transfer_event event = { .kind = TRANSFER_BODY,
					.bytes = strbuf_str(&transfer->collected) };

	if (transfer->collected.len == 0)
		return true;
	transfer->collected.len = 0;
	return deliver(transfer, &event);
}

static bool add_body(struct transfer *transfer, struct str bytes)
{
	struct transfer_event event = { .kind = TRANSFER_BODY, .bytes = bytes };

	if (transfer->collected.len == 0 && bytes.len >= COLLECT_BYTES)
		return deliver(transfer, &event);
	strbuf_add(&transfer->collected, bytes);
	return transfer->collected.len < COLLECT_BYTES || deliver_collected(transfer);
}

/* Reads what has come of the answer. */
static bool take_answer(struct transfer *transfer, struct str input)
{
	struct response *response = &transfer->response;
	bool wanted = true;
	bool more = true;

	while (wanted && more) {
		struct str bytes = STR("");

		switch (response_next(response, &input, &bytes)) {
		case RESPONSE_NOTHING:
			more = false;
			break;
		case RESPONSE_HEAD:
			wanted = deliver_head(transfer);
			break;
		case RESPONSE_BODY:
			wanted = add_body(transfer, bytes);
			break;
		}
	}
	if (!wanted || !deliver_collected(transfer))
		return false;
	if (response->state == RESPONSE_MALFORMED)
		return fail(transfer, TRANSFER_CONNECTION, response->problem);
	if (input.len)
		transfer->reusable = false;
	return true;
}

/* Returns whether the end of file that recv() reports was sent by the peer. A reset is reported to
 * one call only: if that was send(), recv() gives what had come and then an end of file as well. In
 * this case the error is EPIPE only if the peer had ended its side before the reset. */
static bool is_end_sent(const struct transfer *transfer)
{
	return transfer->send_error == 0 || transfer->send_error == EPIPE;
}

static bool end_answer(struct transfer *transfer)
{
	transfer->reusable = false;
	stop_sending(transfer);
	if (!is_end_sent(transfer))
		return fail_connection(transfer, transfer->send_error);
	response_end(&transfer->response);
	return transfer->response.state == RESPONSE_WHOLE ||
	       fail(transfer, TRANSFER_CONNECTION, "the answer broke off");
}

static bool receive(struct transfer *transfer)
{
	ssize_t n = recv(transfer->fd, transfer->buffer, BUFFER_BYTES, 0);
	bool is_whole = transfer->response.state == RESPONSE_WHOLE;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return true;
	/* What comes behind an answer, or its end, ends a request that is still being sent. */
	if (is_whole) {
		transfer->reusable = false;
		stop_sending(transfer);
		return true;
	}
	if (n == 0)
		return end_answer(transfer);
	if (n < 0)
		return fail_connection(transfer, errno);
	transfer->answered_here = true;
	return take_answer(transfer, (struct str){ transfer->buffer, (size_t)n });
}

/* Adds bytes of the request's body as its framing says. */
static bool add_upload(struct transfer *transfer, struct str bytes)
{
	struct outgoing *outgoing = &transfer->outgoing;

	switch (transfer->options->upload) {
	case TRANSFER_NO_UPLOAD:
		return true;
	case TRANSFER_UPLOAD_BYTES:
		if (bytes.len == 0)
			return fail(transfer, TRANSFER_HANDLER, "the request's body is too short");
		strbuf_add(&outgoing->bytes, bytes);
		outgoing->left -= (int64_t)bytes.len;
		outgoing->all_read = outgoing->left == 0;
		return true;
	case TRANSFER_UPLOAD_CHUNKS:
		strbuf_addf(&outgoing->bytes, "%zx\r\n", bytes.len);
		strbuf_add(&outgoing->bytes, bytes);
		strbuf_add(&outgoing->bytes, STR("\r\n"));
		outgoing->all_read = bytes.len == 0;
		return true;
	}
	g_assert_not_reached();
}

static bool read_upload(struct transfer *transfer)
{
	struct outgoing *outgoing = &transfer->outgoing;
	struct transfer_event event = { .kind = TRANSFER_READ,
					.read = { transfer->buffer, BUFFER_BYTES, 0 } };

	if (transfer->options->upload == TRANSFER_UPLOAD_BYTES)
		event.read.cap = (size_t)MIN((int64_t)BUFFER_BYTES, outgoing->left);
	if (!deliver(transfer, &event))
		return false;
	transfer->upload_read |= event.read.len > 0;
	outgoing->bytes.len = 0;
	outgoing->sent = 0;
	return add_upload(transfer, (struct str){ transfer->buffer, event.read.len });
}

/* Sends as much as the connection takes. */
static bool send_request(struct transfer *transfer)
{
	struct outgoing *outgoing = &transfer->outgoing;
	ssize_t n;

	if (outgoing->sent == outgoing->bytes.len && !outgoing->all_read && !read_upload(transfer))
		return false;
	if (outgoing->sent == outgoing->bytes.len)
		return true;
	n = send(transfer->fd, outgoing->bytes.data + outgoing->sent,
		 outgoing->bytes.len - outgoing->sent, MSG_NOSIGNAL);
	if (n > 0) {
		outgoing->sent += (size_t)n;
		transfer->sent_any = true;
		transfer->sent_here = true;
	} else if (n < 0 && errno != EAGAIN && errno != EINTR) {
		/* An answer may have come before the connection broke. */
		transfer->send_error = errno;
		stop_sending(transfer);
		transfer->reusable = false;
	}
	return true;
}

static bool is_awaited(struct transfer *transfer)
{
	struct transfer_event event = { .kind = TRANSFER_CHECK };

	if (!deliver(transfer, &event))
		return false;
	if (!deadline_passed(transfer->options->deadline, clock_now()))
		return true;
	if (transfer->response.state != RESPONSE_WHOLE)
		return fail(transfer, TRANSFER_DEADLINE, "the deadline passed");
	/* The answer came before the end of its request, whose rest is too late. */
	stop_sending(transfer);
	return true;
}

/* Returns the next moment at which somebody is asked whether the answer is awaited. */
static struct deadline next_check(const struct transfer *transfer)
{
	struct instant now = clock_now();
	int64_t left_us = deadline_remaining_us(transfer->options->deadline, now);

	return deadline_after(now, MIN(left_us, CHECK_INTERVAL_US));
}

static struct deadline next_wait(const struct transfer *transfer)
{
	bool may_send_more = !transfer->outgoing.all_read &&
			     transfer->outgoing.sent == transfer->outgoing.bytes.len;

	return may_send_more ? deadline_after(clock_now(), 0) : next_check(transfer);
}

static bool is_finished(const struct transfer *transfer)
{
	return transfer->ended || (transfer->response.state == RESPONSE_WHOLE && is_sent(transfer));
}

/* Sends the request and reads the answer on the open connection. */
static void exchange(struct transfer *transfer)
{
	while (!is_finished(transfer) && is_awaited(transfer) && send_request(transfer)) {
		bool blocked = transfer->outgoing.sent < transfer->outgoing.bytes.len;
		short events = (short)(POLLIN | (blocked ? POLLOUT : 0));
		short ready = is_finished(transfer)
				      ? 0
				      : socket_wait(transfer->fd, events, next_wait(transfer));

		if ((ready & ~POLLOUT) && !receive(transfer))
			return;
	}
}

static void set_options(const struct transfer *transfer)
{
	int on = 1;
	int interval_s = transfer->options->probe_interval_s;

	setsockopt(transfer->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (!interval_s)
		return;
	setsockopt(transfer->fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(transfer->fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval_s, sizeof(interval_s));
	setsockopt(transfer->fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
}

static bool wait_open(struct transfer *transfer)
{
	struct deadline limit = deadline_after(clock_now(), transfer->options->connect_within_us);
	int error = EINPROGRESS;

	while (error == EINPROGRESS) {
		if (!is_awaited(transfer))
			return false;
		if (deadline_passed(limit, clock_now()))
			return fail(transfer, TRANSFER_DEADLINE,
				    "the connection was not accepted in time");
		error = socket_wait_open(transfer->fd, next_check(transfer));
	}
	return error == 0 || fail_connection(transfer, error);
}

static bool open_connection(struct transfer *transfer)
{
	int error;

	transfer->fd = socket_open(transfer->options->ipv4, transfer->options->port, &error);
	if (transfer->fd < 0)
		return fail(transfer, TRANSFER_CONNECTION, "no connection can be opened");
	set_options(transfer);
	if (error == EINPROGRESS)
		return wait_open(transfer);
	return error == 0 || fail_connection(transfer, error);
}

static void close_connection(struct transfer *transfer)
{
	if (transfer->fd >= 0)
		close(transfer->fd);
	transfer->fd = -1;
}

/* Prepares the transfer for its present connection. */
static void begin(struct transfer *transfer)
{
	const struct transfer_options *options = transfer->options;
	struct outgoing *outgoing = &transfer->outgoing;

	transfer->ended = false;
	transfer->sent_here = false;
	transfer->answered_here = false;
	transfer->send_error = 0;
	transfer->reusable = true;
	outgoing->bytes.len = 0;
	strbuf_add(&outgoing->bytes, options->request);
	outgoing->sent = 0;
	outgoing->left = options->upload_bytes;
	outgoing->all_read =
		options->upload == TRANSFER_NO_UPLOAD ||
		(options->upload == TRANSFER_UPLOAD_BYTES && options->upload_bytes == 0);
}

/* Returns whether the request may be sent again on a new connection: it failed on one that the peer
 * may have closed already when the request was sent. */
static bool may_repeat(const struct transfer *transfer)
{
	return transfer->kept && transfer->ended && transfer->cause == TRANSFER_CONNECTION &&
	       !transfer->answered_here && (!transfer->sent_here || transfer->options->repeatable);
}

static bool rewind_upload(struct transfer *transfer)
{
	struct transfer_event event = { .kind = TRANSFER_REWIND, .rewound = false };

	if (!transfer->upload_read)
		return true;
	if (!deliver(transfer, &event))
		return false;
	return event.rewound ||
	       fail(transfer, TRANSFER_CONNECTION, "the request's body can't be sent again");
}

static void run(struct transfer *transfer)
{
	begin(transfer);
	if (transfer->kept) {
		exchange(transfer);
		if (!may_repeat(transfer))
			return;
		close_connection(transfer);
		transfer->kept = false;
		if (!rewind_upload(transfer))
			return;
		begin(transfer);
	}
	if (open_connection(transfer))
		exchange(transfer);
}

static enum transfer_end end_of(const struct transfer *transfer)
{
	const struct response *response = &transfer->response;

	if (!transfer->ended)
		return TRANSFER_WHOLE;
	if (transfer->foreign)
		return TRANSFER_MALFORMED;
	if (response_has_head(response))
		return TRANSFER_CUT_IN_BODY;
	if (response->state == RESPONSE_MALFORMED)
		return TRANSFER_MALFORMED;
	if (response->head_bytes)
		return TRANSFER_CUT_IN_HEAD;
	return transfer->sent_any ? TRANSFER_UNANSWERED : TRANSFER_UNSENT;
}

/* Returns the connection for its next use, or -1 once it is closed. */
static int release_connection(struct transfer *transfer)
{
	const struct head *head = &transfer->response.reader.head;
	int fd = transfer->fd;

	if (!transfer->reusable || !head->persistent || head->framing == FRAMING_CLOSE) {
		close_connection(transfer);
		return -1;
	}
	transfer->fd = -1;
	return fd;
}

static struct transfer_result make_result(struct transfer *transfer)
{
	const struct response *response = &transfer->response;
	const struct head *head = &response->reader.head;
	struct transfer_result result = { .end = end_of(transfer),
					  .cause = transfer->cause,
					  .reason = transfer->reason };

	switch (result.end) {
	case TRANSFER_UNSENT:
	case TRANSFER_UNANSWERED:
		break;
	case TRANSFER_CUT_IN_HEAD:
		result.cut_in_head.head_bytes = response->head_bytes;
		break;
	case TRANSFER_MALFORMED:
		result.malformed.head_bytes = response->head_bytes;
		break;
	case TRANSFER_CUT_IN_BODY:
		result.cut_in_body.framing = head->framing;
		result.cut_in_body.content_length = head->content_length;
		result.cut_in_body.head_bytes = response->head_bytes;
		result.cut_in_body.body_bytes = response->body_bytes;
		break;
	case TRANSFER_WHOLE:
		result.reason = NULL;
		result.whole.status = head->status;
		result.whole.framing = head->framing;
		result.whole.body_bytes = response->body_bytes;
		result.whole.fd = release_connection(transfer);
		break;
	}
	return result;
}

struct transfer_result transfer_run(const struct transfer_options *options)
{
	struct transfer transfer = { .options = options,
				     .fd = options->kept_fd,
				     .kept = options->kept_fd >= 0,
				     .buffer = g_malloc(BUFFER_BYTES) };
	struct transfer_result result;

	response_init(&transfer.response, &options->answer);
	run(&transfer);
	result = make_result(&transfer);
	close_connection(&transfer);
	response_clear(&transfer.response);
	strbuf_clear(&transfer.outgoing.bytes);
	strbuf_clear(&transfer.collected);
	g_free(transfer.buffer);
	return result;
}
