#include "base/transfer.h"

#include "base/chunks.h"

enum {
	CHECK_INTERVAL_MS = 100,
	/* Parts of a body below this size, such as small chunks, are delivered together. */
	COLLECT_BYTES = 4 << 10,
};

/* A running transfer. */
struct transfer {
	const struct transfer_options *options;
	struct head_reader reader;
	size_t head_bytes;
	int64_t body_bytes;
	struct chunks chunks;	 /* the body, if it is in chunks */
	struct strbuf collected; /* bytes of the body that are not delivered yet */
	bool too_long;		 /* the head is */
	bool foreign;
	bool stopped; /* by the handler */
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

static bool deliver(struct transfer *transfer, struct transfer_event *event)
{
	if (transfer->options->handle(transfer->options->context, event))
		return true;
	transfer->stopped = true;
	return false;
}

static bool deliver_head(struct transfer *transfer)
{
	struct transfer_event event = { .kind = TRANSFER_HEAD,
					.head = { &transfer->reader.head, false } };
	bool wanted;

	/* libcurl takes an end within the last line of the chunks for a whole body: the bytes that
	 * come from here on are looked at as they are. */
	if (transfer->reader.head.framing == FRAMING_CHUNKS)
		curl_easy_setopt(transfer->options->curl, CURLOPT_VERBOSE, 1L);
	wanted = deliver(transfer, &event);
	transfer->foreign = event.head.foreign;
	return wanted && !transfer->foreign;
}

/* Returning less than the length ends the transfer and closes its connection. */
static size_t on_header(char *data, size_t size, size_t count, void *context)
{
	struct transfer *transfer = context;
	struct str line = { data, size * count };

	transfer->head_bytes += line.len;
	transfer->too_long = transfer->head_bytes > transfer->options->head_max_bytes;
	if (transfer->too_long)
		return 0;
	/* Trailers are not forwarded. */
	if (transfer->reader.state == HEAD_ENDED)
		return line.len;
	switch (head_reader_add(&transfer->reader, line)) {
	case HEAD_STATUS_LINE:
	case HEAD_FIELDS:
		return line.len;
	case HEAD_ENDED:
		return deliver_head(transfer) ? line.len : 0;
	case HEAD_MALFORMED:
		return 0;
	}
	g_assert_not_reached();
}

static bool deliver_body(struct transfer *transfer, struct str bytes)
{
	struct transfer_event event = { .kind = TRANSFER_BODY, .bytes = bytes };

	return deliver(transfer, &event);
}

/* Delivers the collected bytes. Each delivery may end in a write to a socket. */
static bool deliver_collected(struct transfer *transfer)
{
	bool wanted = true;

	if (transfer->collected.len && !transfer->stopped)
		wanted = deliver_body(transfer, strbuf_str(&transfer->collected));
	transfer->collected.len = 0;
	return wanted;
}

static size_t on_body(char *data, size_t size, size_t count, void *context)
{
	struct transfer *transfer = context;
	struct str bytes = { data, size * count };
	bool wanted = true;

	if (transfer->reader.state != HEAD_ENDED)
		return 0;
	transfer->body_bytes += (int64_t)bytes.len;
	if (transfer->collected.len == 0 && bytes.len >= COLLECT_BYTES)
		return deliver_body(transfer, bytes) ? bytes.len : 0;
	strbuf_add(&transfer->collected, bytes);
	if (transfer->collected.len >= COLLECT_BYTES)
		wanted = deliver_collected(transfer);
	return wanted ? bytes.len : 0;
}

static size_t on_read(char *into, size_t size, size_t count, void *context)
{
	struct transfer *transfer = context;
	struct transfer_event event = { .kind = TRANSFER_READ, .read = { into, size * count, 0 } };

	return deliver(transfer, &event) ? event.read.len : CURL_READFUNC_ABORT;
}

static int on_seek(void *context, curl_off_t offset, int origin)
{
	struct transfer *transfer = context;
	struct transfer_event event = { .kind = TRANSFER_REWIND, .rewound = false };

	if (offset != 0 || origin != SEEK_SET || !deliver(transfer, &event))
		return CURL_SEEKFUNC_FAIL;
	return event.rewound ? CURL_SEEKFUNC_OK : CURL_SEEKFUNC_CANTSEEK;
}

/* Returns whether the answer is in chunks that hold next to nothing of a body. */
static bool is_hollow(const struct transfer *transfer)
{
	return chunks_are_hollow(transfer->chunks.total, transfer->chunks.data);
}

static bool is_awaited(struct transfer *transfer)
{
	struct transfer_event event = { .kind = TRANSFER_CHECK };

	return deliver_collected(transfer) && !is_hollow(transfer) && deliver(transfer, &event);
}

static int on_progress(void *context, curl_off_t download_total, curl_off_t downloaded,
		       curl_off_t upload_total, curl_off_t uploaded)
{
	(void)download_total;
	(void)downloaded;
	(void)upload_total;
	(void)uploaded;
	return !is_awaited(context);
}

static int on_debug(CURL *curl, curl_infotype type, char *data, size_t size, void *context)
{
	struct transfer *transfer = context;

	if (type == CURLINFO_DATA_IN)
		chunks_read(&transfer->chunks, (struct str){ data, size });
	/* Otherwise libcurl reads on while there are bytes. is_awaited() ends the transfer. */
	if (is_hollow(transfer))
		curl_easy_pause(curl, CURLPAUSE_RECV);
	return 0;
}

static void set_callbacks(CURL *curl, struct transfer *transfer)
{
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, transfer);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(curl, CURLOPT_READFUNCTION, on_read);
	curl_easy_setopt(curl, CURLOPT_READDATA, transfer);
	curl_easy_setopt(curl, CURLOPT_SEEKFUNCTION, on_seek);
	curl_easy_setopt(curl, CURLOPT_SEEKDATA, transfer);
	curl_easy_setopt(curl, CURLOPT_DEBUGFUNCTION, on_debug);
	curl_easy_setopt(curl, CURLOPT_DEBUGDATA, transfer);
}

/* Returns the code of the finished transfer. */
static CURLcode finished_code(CURLM *multi)
{
	CURLcode code = CURLE_ABORTED_BY_CALLBACK;
	CURLMsg *message;
	int queued = 0;

	while ((message = curl_multi_info_read(multi, &queued)) != NULL)
		if (message->msg == CURLMSG_DONE)
			code = message->data.result;
	return code;
}

/* Runs the transfer with the connections of .multi. Sets *fd to its connection. */
static CURLcode perform_multi(struct transfer *transfer, curl_socket_t *fd)
{
	CURL *curl = transfer->options->curl;
	CURLM *multi = transfer->options->multi;
	CURLcode code = CURLE_ABORTED_BY_CALLBACK;
	int running = 1;

	curl_multi_add_handle(multi, curl);
	while (running && is_awaited(transfer)) {
		if (curl_multi_perform(multi, &running) != CURLM_OK || !deliver_collected(transfer))
			break;
		if (running)
			curl_multi_poll(multi, NULL, 0, CHECK_INTERVAL_MS, NULL);
	}
	if (!running) {
		code = finished_code(multi);
		/* The socket is not known any more once the handle is removed. */
		curl_easy_getinfo(curl, CURLINFO_ACTIVESOCKET, fd);
	}
	/* Removing the handle closes the connection of an unfinished transfer. */
	curl_multi_remove_handle(multi, curl);
	return code;
}

static CURLcode perform(struct transfer *transfer, curl_socket_t *fd)
{
	CURL *curl = transfer->options->curl;
	CURLcode code;

	if (transfer->options->multi)
		return perform_multi(transfer, fd);
	curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(curl, CURLOPT_XFERINFODATA, transfer);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_ACTIVESOCKET, fd);
	return code;
}

static bool is_body_whole(const struct transfer *transfer)
{
	const struct head *head = &transfer->reader.head;

	switch (head->framing) {
	case FRAMING_NONE:
	case FRAMING_CLOSE:
		return true;
	case FRAMING_LENGTH:
		return transfer->body_bytes == head->content_length;
	case FRAMING_CHUNKS:
		return transfer->chunks.state == CHUNKS_ENDED;
	}
	g_assert_not_reached();
}

static enum transfer_end end_of(const struct transfer *transfer, CURLcode code)
{
	enum head_state state = transfer->reader.state;
	long sent = 0;

	if (transfer->foreign || state == HEAD_MALFORMED ||
	    (transfer->too_long && state != HEAD_ENDED))
		return TRANSFER_MALFORMED;
	if (state == HEAD_ENDED)
		return code == CURLE_OK && !transfer->stopped && is_body_whole(transfer)
			       ? TRANSFER_WHOLE
			       : TRANSFER_CUT_IN_BODY;
	if (transfer->head_bytes)
		return TRANSFER_CUT_IN_HEAD;
	curl_easy_getinfo(transfer->options->curl, CURLINFO_REQUEST_SIZE, &sent);
	return sent ? TRANSFER_UNANSWERED : TRANSFER_UNSENT;
}

static const char *reason_of(const struct transfer *transfer, CURLcode code)
{
	if (transfer->foreign)
		return "the answer is not one to this request";
	if (transfer->too_long)
		return "the answer's head is too long";
	if (transfer->reader.state == HEAD_MALFORMED)
		return transfer->reader.problem;
	if (is_hollow(transfer))
		return "the answer's chunks are nearly empty";
	return code == CURLE_OK ? "the answer broke off" : curl_easy_strerror(code);
}

static enum transfer_cause cause_of(const struct transfer *transfer, CURLcode code)
{
	if (transfer->stopped)
		return TRANSFER_HANDLER;
	return code == CURLE_OPERATION_TIMEDOUT ? TRANSFER_DEADLINE : TRANSFER_CONNECTION;
}

static struct transfer_result make_result(const struct transfer *transfer, CURLcode code,
					  curl_socket_t fd)
{
	const struct head *head = &transfer->reader.head;
	struct transfer_result result = { .end = end_of(transfer, code),
					  .cause = cause_of(transfer, code),
					  .reason = reason_of(transfer, code) };

	switch (result.end) {
	case TRANSFER_UNSENT:
	case TRANSFER_UNANSWERED:
		break;
	case TRANSFER_CUT_IN_HEAD:
		result.cut_in_head.head_bytes = transfer->head_bytes;
		break;
	case TRANSFER_MALFORMED:
		result.malformed.head_bytes = transfer->head_bytes;
		break;
	case TRANSFER_CUT_IN_BODY:
		result.cut_in_body.framing = head->framing;
		result.cut_in_body.content_length = head->content_length;
		result.cut_in_body.head_bytes = transfer->head_bytes;
		result.cut_in_body.body_bytes = transfer->body_bytes;
		break;
	case TRANSFER_WHOLE:
		result.reason = NULL;
		result.whole.status = head->status;
		result.whole.framing = head->framing;
		result.whole.body_bytes = transfer->body_bytes;
		result.whole.fd = fd;
		break;
	}
	return result;
}

struct transfer_result transfer_run(const struct transfer_options *options)
{
	struct transfer transfer = { .options = options };
	struct transfer_result result;
	curl_socket_t fd = CURL_SOCKET_BAD;
	CURLcode code;

	head_reader_init(&transfer.reader, options->unique, options->no_body);
	set_callbacks(options->curl, &transfer);
	code = perform(&transfer, &fd);
	deliver_collected(&transfer);
	result = make_result(&transfer, code, fd);
	head_reader_clear(&transfer.reader);
	strbuf_clear(&transfer.collected);
	return result;
}
