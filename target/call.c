#include "target/call.h"

#include <curl/curl.h>
#include <string.h>
#include <sys/socket.h>

#include "base/lockorder.h"
#include "base/socket.h"
#include "target/answer.h"

enum {
	CONNECT_TIMEOUT_MS = 500,
	HEAD_MAX_BYTES = 64 << 10, /* interim heads and trailers included */
	REFUSAL_BODY_MAX_BYTES = 64 << 10,
	STATUS_SERVER_ERROR = 500,
};

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
	GPtrArray *idle; /* struct handle; the one used last is at the end */
	struct deadline suspicious_until;
	struct target_endpoint endpoint;
	apr_thread_cond_t *probed; /* the running probe has ended */
	bool probing;
	uint64_t probes;		 /* that have ended */
	enum target_listening listening; /* result of the last one */
};

/* A handle for one call at a time, which keeps its connections open. */
struct handle {
	CURL *curl;
	CURLM *multi;
	curl_socket_t fd; /* connection of the last call; CURL_SOCKET_BAD if it did not end well */
	struct deadline once_until; /* see ONCE_REUSE_US */
};

/* A running call. */
struct call {
	const struct target_call_options *options;
	const struct dialect *dialect;
	struct answer answer;
	size_t refusal_bytes;
	bool aborted; /* by the handler */
	CURL *curl;
	int64_t started_us;
	int64_t head_us;
};

static void handle_free(gpointer data)
{
	struct handle *handle = data;

	curl_easy_cleanup(handle->curl);
	curl_multi_cleanup(handle->multi);
	g_free(handle);
}

struct target *target_new(const struct dialect *dialect, apr_pool_t *pool)
{
	struct target *target = g_new0(struct target, 1);

	target->dialect = dialect;
	apr_pool_create(&target->pool, pool);
	lock_init(&target->lock, LOCK_TARGET, target->pool);
	apr_thread_cond_create(&target->probed, target->pool);
	target->idle = g_ptr_array_new_with_free_func(handle_free);
	return target;
}

void target_free(struct target *target)
{
	if (!target)
		return;
	g_ptr_array_unref(target->idle);
	apr_pool_destroy(target->pool);
	g_free(target);
}

void target_set_endpoint(struct target *target, const struct target_endpoint *endpoint)
{
	lock_acquire(&target->lock);
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

static struct handle *handle_new(void)
{
	struct handle *handle = g_new0(struct handle, 1);

	handle->curl = curl_easy_init();
	handle->multi = curl_multi_init();
	handle->fd = CURL_SOCKET_BAD;
	/* With one connection at most it is known which one a call reuses. */
	curl_multi_setopt(handle->multi, CURLMOPT_MAXCONNECTS, 1L);
	return handle;
}

/* Returns a handle. Sets the URL and the expected target's id, both of the same target. */
static struct handle *acquire_handle(struct target *target, char *url, size_t cap, struct str path,
				     struct label *expected)
{
	struct handle *handle = NULL;
	uint32_t ip;

	lock_acquire(&target->lock);
	if (target->idle->len)
		handle = g_ptr_array_steal_index_fast(target->idle, target->idle->len - 1);
	ip = target->endpoint.ipv4;
	*expected = target->endpoint.id;
	g_snprintf(url, (gulong)cap, "http://%u.%u.%u.%u:%u%.*s", ip >> 24, ip >> 16 & 255,
		   ip >> 8 & 255, ip & 255, target->endpoint.port, STR_ARG(path));
	lock_release(&target->lock);
	return handle ? handle : handle_new();
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

/* Keeps the handle and its connection for the next call if the answer was whole. */
static void release_handle(struct target *target, struct handle *handle,
			   const struct transfer_result *transfer)
{
	struct instant now = clock_now();
	bool whole = transfer->end == TRANSFER_WHOLE;

	if (whole) {
		curl_easy_reset(handle->curl);
		handle->fd = transfer->whole.fd;
		handle->once_until = deadline_after(now, ONCE_REUSE_US);
	} else {
		handle_free(handle);
	}
	lock_acquire(&target->lock);
	if (is_suspicious(transfer))
		target->suspicious_until = deadline_after(now, SUSPICIOUS_US);
	if (whole)
		g_ptr_array_add(target->idle, handle);
	lock_release(&target->lock);
}

/* Returns whether the handle's connection may serve another call. */
static bool is_reusable(const struct handle *handle)
{
	return handle->fd == CURL_SOCKET_BAD || socket_is_quiet(handle->fd);
}

void target_close_stray(struct target *target)
{
	GPtrArray *stray = g_ptr_array_new_with_free_func(handle_free);

	lock_acquire(&target->lock);
	for (guint i = target->idle->len; i-- > 0;)
		if (!is_reusable(g_ptr_array_index(target->idle, i)))
			g_ptr_array_add(stray, g_ptr_array_steal_index(target->idle, i));
	lock_release(&target->lock);
	g_ptr_array_unref(stray);
}

static struct curl_slist *append_field(struct curl_slist *list, struct str name, struct str value)
{
	char *line = g_strdup_printf(value.len ? "%.*s: %.*s" : "%.*s;%.*s", STR_ARG(name),
				     STR_ARG(value));

	list = curl_slist_append(list, line);
	g_free(line);
	return list;
}

/* Returns whether a field is not forwarded but set anew for the target. */
static bool is_replaced_field(const struct dialect *dialect, struct str name)
{
	return str_equal_nocase(name, dialect->deadline_ms) ||
	       (dialect->expected_target.len && str_equal_nocase(name, dialect->expected_target)) ||
	       str_equal_nocase(name, STR("content-length")) ||
	       str_equal_nocase(name, STR("expect"));
}

static struct curl_slist *make_fields(const struct dialect *dialect,
				      const struct request_head *head, struct deadline deadline,
				      const struct label *expected)
{
	int64_t remaining_ms = deadline_remaining_us(deadline, clock_now()) / US_PER_MS;
	char text[32];
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	bool has_type = false;

	for (int i = 0; i < head->field_count; i++) {
		const struct field *field = &head->fields[i];

		if (answer_is_hop_by_hop(field->name) || is_replaced_field(dialect, field->name))
			continue;
		has_type |= str_equal_nocase(field->name, STR("content-type"));
		list = append_field(list, field->name, field->value);
	}
	/* The target forwards the remaining time in its own calls, so that the whole chain ends
	 * in time. */
	g_snprintf(text, sizeof(text), "%ld", remaining_ms);
	list = append_field(list, dialect->deadline_ms, str_from_cstr(text));
	if (dialect->expected_target.len && expected->len)
		list = append_field(list, dialect->expected_target, label_str(expected));
	return has_type ? list : curl_slist_append(list, "Content-Type:");
}

static void set_method(CURL *curl, const struct request_head *head, bool has_body, char *method)
{
	if (str_equal(head->method, STR("HEAD"))) {
		curl_easy_setopt(curl, CURLOPT_NOBODY, 1L);
	} else if (has_body) {
		curl_easy_setopt(curl, CURLOPT_UPLOAD, 1L);
		if (head->body_length >= 0)
			curl_easy_setopt(curl, CURLOPT_INFILESIZE_LARGE,
					 (curl_off_t)head->body_length);
		curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	} else {
		curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	}
}

/* Refuses a second connection once bytes of the request were sent: curl repeats a request in
 * silence when a kept connection ends without an answer. */
static curl_socket_t open_unless_sent(void *context, curlsocktype purpose,
				      struct curl_sockaddr *address)
{
	const struct call *call = context;
	long sent = 0;

	(void)purpose;
	curl_easy_getinfo(call->curl, CURLINFO_REQUEST_SIZE, &sent);
	if (sent > 0)
		return CURL_SOCKET_BAD;
	return socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
}

/* Returns whether the kept connection may carry a request that may run only once. */
static bool serves_once(struct target *target, const struct handle *handle)
{
	struct instant now = clock_now();
	bool suspicious;

	lock_acquire(&target->lock);
	suspicious =
		target->suspicious_until.at_us && !deadline_passed(target->suspicious_until, now);
	lock_release(&target->lock);
	return !suspicious && handle->fd != CURL_SOCKET_BAD &&
	       !deadline_passed(handle->once_until, now) && socket_is_quiet(handle->fd);
}

/* Returns whether the call may use the kept connection, which the target may be closing. */
static bool may_reuse(struct target *target, const struct handle *handle,
		      const struct target_call_options *options)
{
	int64_t body_length = options->has_body ? options->head->body_length : 0;

	if (body_length > TARGET_REWIND_BYTES)
		return false;
	/* How much of a body of unknown length will have been sent is not known. */
	return (options->head->idempotent && body_length >= 0) || serves_once(target, handle);
}

static void set_limits(struct target *target, struct handle *handle, struct call *call)
{
	const struct target_call_options *options = call->options;
	int64_t remaining_us = deadline_remaining_us(options->deadline, clock_now());
	CURL *curl = handle->curl;

	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(curl, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
	if (remaining_us != INT64_MAX)
		curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)(remaining_us / US_PER_MS) + 1);
	if (!may_reuse(target, handle, options))
		curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
	if (options->head->idempotent)
		return;
	curl_easy_setopt(curl, CURLOPT_OPENSOCKETFUNCTION, open_unless_sent);
	curl_easy_setopt(curl, CURLOPT_OPENSOCKETDATA, call);
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

struct target_result target_call(struct target *target, const struct target_call_options *options)
{
	struct call call = { .options = options,
			     .dialect = target->dialect,
			     .started_us = clock_now().mono_us };
	size_t url_cap = options->head->target.len + 64;
	char *url = g_malloc(url_cap);
	char *method = str_to_cstr(options->head->method);
	struct label expected;
	struct handle *handle =
		acquire_handle(target, url, url_cap, options->head->target, &expected);
	struct curl_slist *fields =
		make_fields(target->dialect, options->head, options->deadline, &expected);
	struct transfer_options transfer = { .curl = handle->curl,
					     .multi = handle->multi,
					     .unique = target->dialect->request_id,
					     .no_body =
						     str_equal(options->head->method, STR("HEAD")),
					     .head_max_bytes = HEAD_MAX_BYTES,
					     .handle = on_transfer_event,
					     .context = &call };
	struct target_event head = { .kind = TARGET_HEAD, .head = &call.answer.head };
	struct transfer_result transferred;
	struct target_result result;

	call.curl = handle->curl;
	curl_easy_setopt(handle->curl, CURLOPT_URL, url);
	curl_easy_setopt(handle->curl, CURLOPT_HTTPHEADER, fields);
	set_method(handle->curl, options->head, options->has_body, method);
	set_limits(target, handle, &call);
	transferred = transfer_run(&transfer);
	result = make_result(&call, &transferred);
	if (result.complete && call.answer.kind == ANSWER_REFUSAL)
		deliver(&call, &head);
	release_handle(target, handle, &transferred);
	curl_slist_free_all(fields);
	answer_clear(&call.answer);
	g_free(method);
	g_free(url);
	return result;
}
