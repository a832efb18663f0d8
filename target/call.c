#include "target/call.h"

#include <unistd.h>

#include "base/address.h"
#include "base/lockorder.h"
#include "base/socket.h"
#include "target/answer.h"

enum {
	HEAD_MAX_BYTES = 64 << 10, /* interim heads and trailers included */
	REFUSAL_BODY_MAX_BYTES = 64 << 10,
	STATUS_SERVER_ERROR = 500,
};

#define CONNECT_WITHIN_US (500 * US_PER_MS)
/* On the same VM a connection is accepted or refused at once. */
#define PROBE_TIMEOUT_US (50 * US_PER_MS)
/* A request that may run only once uses a kept connection this long after its last answer at most:
 * later the target may be closing it. */
#define ONCE_REUSE_US (200 * US_PER_MS)
/* After bytes that belong to no request, such requests get new connections for this long. */
#define SUSPICIOUS_US (10 * US_PER_S)

struct target {
	const struct dialect *dialect;
	struct lock lock; /* LOCK_TARGET; guards the members below */
	apr_pool_t *pool;
	GArray *idle; /* struct connection to .endpoint; the one used last is at the end */
	struct deadline suspicious_until;
	struct target_endpoint endpoint;
	apr_thread_cond_t *probed; /* the running probe has ended */
	bool probing;
	uint64_t probes;		 /* that have ended */
	enum target_listening listening; /* result of the last one */
};

/* A connection that no call uses. */
struct connection {
	int fd;
	struct deadline once_until; /* see ONCE_REUSE_US */
};

/* A running call. */
struct call {
	const struct target_call_options *options;
	const struct dialect *dialect;
	struct answer answer;
	size_t refusal_bytes;
	bool aborted; /* by the handler */
	int64_t started_us;
	int64_t head_us;
};

struct target *target_new(const struct dialect *dialect, apr_pool_t *pool)
{
	struct target *target = g_new0(struct target, 1);

	target->dialect = dialect;
	apr_pool_create(&target->pool, pool);
	lock_init(&target->lock, LOCK_TARGET, target->pool);
	apr_thread_cond_create(&target->probed, target->pool);
	target->idle = g_array_new(FALSE, FALSE, sizeof(struct connection));
	return target;
}

static bool is_same_address(const struct target_endpoint *a, const struct target_endpoint *b)
{
	return a->ipv4 == b->ipv4 && a->port == b->port;
}

static void close_idle(struct target *target)
{
	for (guint i = 0; i < target->idle->len; i++)
		close(g_array_index(target->idle, struct connection, i).fd);
	g_array_set_size(target->idle, 0);
}

void target_free(struct target *target)
{
	if (!target)
		return;
	close_idle(target);
	g_array_unref(target->idle);
	apr_pool_destroy(target->pool);
	g_free(target);
}

void target_set_endpoint(struct target *target, const struct target_endpoint *endpoint)
{
	lock_acquire(&target->lock);
	if (!is_same_address(&target->endpoint, endpoint))
		close_idle(target);
	target->endpoint = *endpoint;
	lock_release(&target->lock);
}

bool target_runs_service(struct target *target, const struct label *service)
{
	bool matches;

	lock_acquire(&target->lock);
	matches = service->len == 0 || label_equal(&target->endpoint.service, service);
	lock_release(&target->lock);
	return matches;
}

static enum target_listening probe_endpoint(const struct target_endpoint *endpoint)
{
	switch (socket_probe(endpoint->ipv4, endpoint->port,
			     deadline_after(clock_now(), PROBE_TIMEOUT_US))) {
	case SOCKET_ACCEPTED:
		return TARGET_ACCEPTS;
	case SOCKET_REFUSED:
		return TARGET_REFUSES;
	case SOCKET_UNANSWERED:
		return TARGET_SILENT;
	}
	g_assert_not_reached();
}

/* Runs a probe, without the target's lock, for all who wait for its result. The lock is held. */
static void run_probe(struct target *target)
{
	struct target_endpoint endpoint = target->endpoint;
	enum target_listening listening;

	target->probing = true;
	lock_release(&target->lock);
	listening = probe_endpoint(&endpoint);
	lock_acquire(&target->lock);
	target->probing = false;
	target->probes++;
	target->listening = listening;
	apr_thread_cond_broadcast(target->probed);
}

enum target_listening target_probe(struct target *target)
{
	enum target_listening listening;
	uint64_t probes;

	lock_acquire(&target->lock);
	probes = target->probes;
	if (!target->probing)
		run_probe(target);
	while (target->probes == probes)
		lock_wait(&target->lock, target->probed, PROBE_TIMEOUT_US);
	listening = target->listening;
	lock_release(&target->lock);
	return listening;
}

static bool deliver(struct call *call, struct target_event *event)
{
	if (call->options->handle(call->options->context, event))
		return true;
	call->aborted = true;
	return false;
}

/* The head of a refusal is delivered once the answer is whole: until then the request may have run.
 */
static bool take_head(struct call *call, struct transfer_event *event)
{
	struct target_event head = { .kind = TARGET_HEAD, .head = &call->answer.head };

	answer_read(&call->answer, call->dialect, call->options->head, event->head.head);
	call->head_us = clock_now().mono_us;
	switch (call->answer.kind) {
	case ANSWER_NONE:
	case ANSWER_FOREIGN:
		event->head.foreign = true;
		return true;
	case ANSWER_REFUSAL:
		return true;
	case ANSWER_TAKEN:
		return deliver(call, &head);
	}
	g_assert_not_reached();
}

static bool take_body(struct call *call, struct str bytes)
{
	struct target_event event = { .kind = TARGET_BODY, .bytes = bytes };

	if (call->answer.kind == ANSWER_TAKEN)
		return deliver(call, &event);
	call->refusal_bytes += bytes.len;
	return call->refusal_bytes <= REFUSAL_BODY_MAX_BYTES;
}

static bool read_body(struct call *call, struct transfer_event *event)
{
	struct target_event read = { .kind = TARGET_READ_BODY,
				     .read = { event->read.into, event->read.cap, 0 } };
	bool going_on = deliver(call, &read);

	event->read.len = read.read.len;
	return going_on;
}

static bool rewind_body(struct call *call, struct transfer_event *event)
{
	struct target_event rewind = { .kind = TARGET_REWIND_BODY, .rewound = false };
	bool going_on = deliver(call, &rewind);

	event->rewound = rewind.rewound;
	return going_on;
}

static bool on_transfer_event(void *context, struct transfer_event *event)
{
	struct call *call = context;
	struct target_event check = { .kind = TARGET_CHECK_CALLER };

	switch (event->kind) {
	case TRANSFER_HEAD:
		return take_head(call, event);
	case TRANSFER_BODY:
		return take_body(call, event->bytes);
	case TRANSFER_READ:
		return read_body(call, event);
	case TRANSFER_REWIND:
		return rewind_body(call, event);
	case TRANSFER_CHECK:
		return deliver(call, &check);
	}
	g_assert_not_reached();
}

/* Returns the endpoint, and an idle connection to it in *connection, whose .fd is -1 if there is
 * none. */
static struct target_endpoint acquire_connection(struct target *target,
						 struct connection *connection)
{
	struct target_endpoint endpoint;

	*connection = (struct connection){ .fd = -1 };
	lock_acquire(&target->lock);
	if (target->idle->len) {
		guint last = target->idle->len - 1;

		*connection = g_array_index(target->idle, struct connection, last);
		g_array_remove_index(target->idle, last);
	}
	endpoint = target->endpoint;
	lock_release(&target->lock);
	return endpoint;
}

/* Returns whether the target sent something that is no whole answer. */
static bool is_suspicious(const struct transfer_result *transfer)
{
	switch (transfer->end) {
	case TRANSFER_UNSENT:
	case TRANSFER_UNANSWERED:
	case TRANSFER_WHOLE:
		return false;
	case TRANSFER_MALFORMED:
		return true;
	case TRANSFER_CUT_IN_HEAD:
	case TRANSFER_CUT_IN_BODY:
		return transfer->cause == TRANSFER_CONNECTION;
	}
	g_assert_not_reached();
}

/* Keeps the connection to @p endpoint for the next call if the answer was whole. */
static void release_connection(struct target *target, const struct target_endpoint *endpoint,
			       const struct transfer_result *transfer)
{
	struct instant now = clock_now();
	struct connection connection = { -1, deadline_after(now, ONCE_REUSE_US) };

	if (transfer->end == TRANSFER_WHOLE)
		connection.fd = transfer->whole.fd;
	lock_acquire(&target->lock);
	if (is_suspicious(transfer))
		target->suspicious_until = deadline_after(now, SUSPICIOUS_US);
	if (connection.fd >= 0 && is_same_address(endpoint, &target->endpoint))
		g_array_append_val(target->idle, connection);
	else if (connection.fd >= 0)
		close(connection.fd);
	lock_release(&target->lock);
}

void target_close_stray(struct target *target)
{
	GArray *idle;

	lock_acquire(&target->lock);
	idle = target->idle;
	for (guint i = idle->len; i-- > 0;) {
		int fd = g_array_index(idle, struct connection, i).fd;

		if (socket_is_quiet(fd))
			continue;
		close(fd);
		g_array_remove_index(idle, i);
	}
	lock_release(&target->lock);
}

static void add_field(struct strbuf *request, struct str name, struct str value)
{
	strbuf_add(request, name);
	strbuf_add(request, STR(": "));
	strbuf_add(request, value);
	strbuf_add(request, STR("\r\n"));
}

/* Returns whether a field is not forwarded but set anew for the target. */
static bool is_replaced_field(const struct dialect *dialect, struct str name)
{
	return str_equal_nocase(name, dialect->deadline_ms) ||
	       (dialect->expected_target.len && str_equal_nocase(name, dialect->expected_target)) ||
	       str_equal_nocase(name, STR("content-length")) ||
	       str_equal_nocase(name, STR("expect"));
}

static void add_forwarded_fields(struct strbuf *request, const struct dialect *dialect,
				 const struct request_head *head)
{
	for (int i = 0; i < head->field_count; i++) {
		const struct field *field = &head->fields[i];

		if (!answer_is_hop_by_hop(field->name) && !is_replaced_field(dialect, field->name))
			add_field(request, field->name, field->value);
	}
}

static bool has_field(const struct request_head *head, struct str name)
{
	for (int i = 0; i < head->field_count; i++)
		if (str_equal_nocase(head->fields[i].name, name))
			return true;
	return false;
}

/* Writes the head of the request to the target at @p endpoint. */
static struct strbuf make_request(const struct dialect *dialect,
				  const struct target_call_options *options,
				  const struct target_endpoint *endpoint)
{
	const struct request_head *head = options->head;
	int64_t remaining_ms = deadline_remaining_us(options->deadline, clock_now()) / US_PER_MS;
	struct strbuf request = { NULL, 0, 0 };

	strbuf_add(&request, head->method);
	strbuf_add(&request, STR(" "));
	strbuf_add(&request, head->target);
	strbuf_add(&request, STR(" HTTP/1.1\r\n"));
	if (!has_field(head, STR("host"))) {
		strbuf_add(&request, STR("Host: "));
		address_add(&request, endpoint->ipv4, endpoint->port);
		strbuf_add(&request, STR("\r\n"));
	}
	add_forwarded_fields(&request, dialect, head);
	/* The target forwards the remaining time in its own calls, so that the whole chain ends
	 * in time. */
	strbuf_addf(&request, "%.*s: %ld\r\n", STR_ARG(dialect->deadline_ms), remaining_ms);
	if (dialect->expected_target.len && endpoint->id.len)
		add_field(&request, dialect->expected_target, label_str(&endpoint->id));
	if (options->has_body && head->body_length >= 0)
		strbuf_addf(&request, "Content-Length: %ld\r\n", head->body_length);
	else if (options->has_body)
		strbuf_add(&request, STR("Transfer-Encoding: chunked\r\n"));
	strbuf_add(&request, STR("\r\n"));
	return request;
}

static enum transfer_upload upload_of(const struct target_call_options *options)
{
	if (!options->has_body)
		return TRANSFER_NO_UPLOAD;
	return options->head->body_length >= 0 ? TRANSFER_UPLOAD_BYTES : TRANSFER_UPLOAD_CHUNKS;
}

/* Returns whether the kept connection may carry a request that may run only once. */
static bool serves_once(struct target *target, const struct connection *connection)
{
	struct instant now = clock_now();
	bool suspicious;

	lock_acquire(&target->lock);
	suspicious =
		target->suspicious_until.at_us && !deadline_passed(target->suspicious_until, now);
	lock_release(&target->lock);
	return !suspicious && !deadline_passed(connection->once_until, now);
}

/* Returns whether the call may use the kept connection, which the target may be closing. */
static bool may_reuse(struct target *target, const struct connection *connection,
		      const struct target_call_options *options)
{
	int64_t body_length = options->has_body ? options->head->body_length : 0;

	if (connection->fd < 0 || body_length > TARGET_REWIND_BYTES ||
	    !socket_is_quiet(connection->fd))
		return false;
	/* How much of a body of unknown length will have been sent is not known. */
	return (options->head->idempotent && body_length >= 0) || serves_once(target, connection);
}

static enum target_outcome outcome_of(int status)
{
	if (status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY)
		return TARGET_SHED;
	return status >= STATUS_SERVER_ERROR ? TARGET_FAILED : TARGET_ANSWERED;
}

/* Returns the outcome of a call whose answer is not whole. */
static enum target_outcome broken_outcome(const struct call *call,
					  const struct transfer_result *transfer)
{
	/* The caller disconnected, which doesn't count against the target. */
	if (call->aborted)
		return TARGET_SHED;
	switch (transfer->end) {
	case TRANSFER_UNSENT:
		return TARGET_UNREACHED;
	case TRANSFER_MALFORMED:
		return TARGET_FAILED;
	case TRANSFER_UNANSWERED:
	case TRANSFER_CUT_IN_HEAD:
	case TRANSFER_CUT_IN_BODY:
	case TRANSFER_WHOLE:
		return transfer->cause == TRANSFER_CONNECTION ? TARGET_CRASHED : TARGET_FAILED;
	}
	g_assert_not_reached();
}

static void set_whole(struct target_result *result, const struct call *call, int status)
{
	bool refused = call->answer.kind == ANSWER_REFUSAL;

	result->complete = true;
	result->verdict = refused ? VERDICT_NOT_RUN : VERDICT_RAN;
	result->outcome = refused ? TARGET_SHED : outcome_of(status);
	result->misdirected =
		call->dialect->misdirected_status && status == call->dialect->misdirected_status;
}

static struct target_result make_result(const struct call *call,
					const struct transfer_result *transfer)
{
	struct target_result result = { .end = transfer->end,
					.outcome = broken_outcome(call, transfer),
					.verdict = VERDICT_MAY_HAVE_RUN,
					.content_length = -1,
					.reason = transfer->reason };

	switch (transfer->end) {
	case TRANSFER_UNSENT:
		result.verdict = VERDICT_NOT_RUN;
		result.silent = transfer->cause == TRANSFER_DEADLINE;
		break;
	case TRANSFER_UNANSWERED:
		break;
	case TRANSFER_CUT_IN_HEAD:
		result.head_bytes = transfer->cut_in_head.head_bytes;
		break;
	case TRANSFER_MALFORMED:
		result.head_bytes = transfer->malformed.head_bytes;
		break;
	case TRANSFER_CUT_IN_BODY:
		if (call->answer.kind == ANSWER_TAKEN)
			result.verdict = VERDICT_RAN;
		result.head_bytes = transfer->cut_in_body.head_bytes;
		result.body_bytes = transfer->cut_in_body.body_bytes;
		result.framing = transfer->cut_in_body.framing;
		result.content_length = transfer->cut_in_body.content_length;
		break;
	case TRANSFER_WHOLE:
		set_whole(&result, call, transfer->whole.status);
		result.body_bytes = transfer->whole.body_bytes;
		result.framing = transfer->whole.framing;
		break;
	}
	result.service_us =
		(call->head_us ? call->head_us : clock_now().mono_us) - call->started_us;
	return result;
}

/* Sends the call on the connection if it may serve, otherwise on a new one. */
static struct transfer_result run_call(struct target *target, struct call *call,
				       struct connection *connection,
				       const struct target_endpoint *endpoint)
{
	const struct target_call_options *options = call->options;
	struct strbuf request = make_request(target->dialect, options, endpoint);
	struct transfer_result result;

	if (connection->fd >= 0 && !may_reuse(target, connection, options)) {
		close(connection->fd);
		connection->fd = -1;
	}
	result = transfer_run(&(struct transfer_options){
		.ipv4 = endpoint->ipv4,
		.port = endpoint->port,
		.kept_fd = connection->fd,
		.repeatable = options->head->idempotent,
		.request = strbuf_str(&request),
		.upload = upload_of(options),
		.upload_bytes = options->head->body_length,
		.connect_within_us = CONNECT_WITHIN_US,
		.deadline = options->deadline,
		.answer = { .unique = target->dialect->request_id,
			    .no_body = str_equal(options->head->method, STR("HEAD")),
			    .head_max_bytes = HEAD_MAX_BYTES },
		.handle = on_transfer_event,
		.context = call });
	strbuf_clear(&request);
	return result;
}

struct target_result target_call(struct target *target, const struct target_call_options *options)
{
	struct call call = { .options = options,
			     .dialect = target->dialect,
			     .started_us = clock_now().mono_us };
	struct connection connection;
	struct target_endpoint endpoint = acquire_connection(target, &connection);
	struct target_event head = { .kind = TARGET_HEAD, .head = &call.answer.head };
	struct transfer_result transfer = run_call(target, &call, &connection, &endpoint);
	struct target_result result = make_result(&call, &transfer);

	if (result.complete && call.answer.kind == ANSWER_REFUSAL)
		deliver(&call, &head);
	release_connection(target, &endpoint, &transfer);
	answer_clear(&call.answer);
	return result;
}
