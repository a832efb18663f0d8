#include "target/call.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/lockorder.h"
#include "base/socket.h"

enum {
	CONNECT_TIMEOUT_MS = 500,
	CHECK_INTERVAL_MS = 100, /* a disconnected caller is noticed within 500 ms, hops included */
	HEAD_MAX_BYTES = 256 << 10, /* interim heads and trailers included */
	STATUS_MIN = 100,
	STATUS_REDIRECT = 300,
	STATUS_SERVER_ERROR = 500,
};

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
	struct response_head head;
	struct strbuf field_text;
	size_t field_ends[FIELDS_MAX]; /* offsets, since field_text may be reallocated */
	size_t name_lens[FIELDS_MAX];
	const struct dialect *dialect;
	size_t head_bytes;
	bool head_delivered;
	bool aborted;
	bool answer_mismatched; /* the answer is not the target's answer to this request */
	bool fields_cut;	/* the answer has more fields than fit */
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

bool target_accepts_connections(struct target *target)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool listens;

	lock_acquire(&target->lock);
	address.sin_port = htons(target->endpoint.port);
	address.sin_addr.s_addr = htonl(target->endpoint.ipv4);
	lock_release(&target->lock);
	/* On the same VM connect() succeeds or fails at once. */
	listens = fd >= 0 && connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
	if (fd >= 0)
		close(fd);
	return listens;
}

static bool deliver(struct call *call, struct target_event *event)
{
	if (call->options->handle(call->options->context, event))
		return true;
	call->aborted = true;
	return false;
}

/* Sets the views of the fields, once field_text is complete and no longer moves. */
static void set_field_views(struct call *call)
{
	size_t at = 0;

	for (int i = 0; i < call->head.field_count; i++) {
		const char *text = call->field_text.data + at;
		size_t name_len = call->name_lens[i];

		call->head.fields[i].name = (struct str){ text, name_len };
		call->head.fields[i].value =
			(struct str){ text + name_len, call->field_ends[i] - at - name_len };
		at = call->field_ends[i];
	}
}

static struct str field_value(const struct field *fields, int count, struct str name)
{
	for (int i = 0; name.len && i < count; i++)
		if (str_equal_nocase(fields[i].name, name))
			return fields[i].value;
	return STR("");
}

/* Returns whether the answer belongs to the request and, if it is a success, carries the target's
 * signature (where the interface has one). A target may send an earlier answer once more: without
 * the id of this request, even a refusal says nothing about it. */
static bool answer_matches(const struct call *call)
{
	const struct response_head *head = &call->head;
	const struct request_head *request = call->options->head;
	struct str name = call->dialect->request_id;
	struct str request_id = field_value(request->fields, request->field_count, name);
	struct str answer_id = field_value(head->fields, head->field_count, name);

	if (call->fields_cut || (request_id.len && !str_equal(request_id, answer_id)))
		return false;
	if (call->dialect->signature.len == 0 || head->status >= STATUS_REDIRECT)
		return true;
	/* Callers ask for bodies without a content encoding. */
	return field_value(head->fields, head->field_count, call->dialect->signature).len > 0 &&
	       field_value(head->fields, head->field_count, STR("content-encoding")).len == 0;
}

static bool deliver_head(struct call *call)
{
	struct target_event event = { .kind = TARGET_HEAD, .head = &call->head };

	if (call->head_delivered)
		return true;
	set_field_views(call);
	if (!answer_matches(call)) {
		call->answer_mismatched = true;
		return false;
	}
	call->head_delivered = true;
	call->head_us = clock_now().mono_us;
	return deliver(call, &event);
}

static struct str trim(struct str s)
{
	while (s.len && strchr(" \t\r\n", s.data[0]))
		s = str_sub(s, 1, s.len);
	while (s.len && strchr(" \t\r\n", s.data[s.len - 1]))
		s.len--;
	return s;
}

/* Hop-by-hop fields, which apply to one connection, are not forwarded. */
static bool is_hop_by_hop_field(struct str name)
{
	static const char *const names[] = { "connection", "keep-alive", "transfer-encoding", "te",
					     "trailer",	   "upgrade",	 "proxy-connection" };

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (str_equal_nocase(name, str_from_cstr(names[i])))
			return true;
	return false;
}

static void add_field(struct call *call, struct str line)
{
	struct str value;
	struct str name = trim(str_split(line, ':', &value));
	int index = call->head.field_count;

	value = trim(value);
	if (str_equal_nocase(name, STR("content-length")))
		str_to_int64(value, &call->head.body_length);
	if (name.len == 0 || is_hop_by_hop_field(name) ||
	    str_equal_nocase(name, STR("content-length")))
		return;
	call->fields_cut |= index >= FIELDS_MAX;
	if (call->fields_cut)
		return;
	strbuf_add(&call->field_text, name);
	strbuf_add(&call->field_text, value);
	call->name_lens[index] = name.len;
	call->field_ends[index] = call->field_text.len;
	call->head.field_count++;
}

static void begin_head(struct call *call, struct str line)
{
	struct str rest;
	int64_t status = 0;

	str_split(line, ' ', &rest);
	str_to_int64(str_sub(trim(rest), 0, 3), &status);
	call->head = (struct response_head){ .status = (int)status, .body_length = -1 };
	call->field_text.len = 0;
	call->fields_cut = false;
}

/* Adds one line of the head. An empty line ends it, except after an interim (1xx) head. Returning
 * less than the length ends the call, also for a target that never ends its head. */
static size_t on_header(char *data, size_t size, size_t count, void *context)
{
	struct call *call = context;
	struct str line = { data, size * count };

	call->head_bytes += line.len;
	if (call->head_bytes > HEAD_MAX_BYTES)
		return 0;
	/* Trailers are not forwarded, and the delivered head is in use. */
	if (call->head_delivered)
		return line.len;
	if (str_has_prefix(line, STR("HTTP/"))) {
		begin_head(call, line);
	} else if (trim(line).len) {
		add_field(call, line);
	} else if (call->head.status >= 2 * STATUS_MIN && !deliver_head(call)) {
		return 0;
	}
	return line.len;
}

static size_t on_body(char *data, size_t size, size_t count, void *context)
{
	struct call *call = context;
	struct target_event event = { .kind = TARGET_BODY, .bytes = { data, size * count } };

	return deliver(call, &event) ? size * count : 0;
}

static size_t on_read(char *into, size_t size, size_t count, void *context)
{
	struct call *call = context;
	struct target_event event = { .kind = TARGET_READ_BODY, .read = { into, size * count, 0 } };

	return deliver(call, &event) ? event.read.len : CURL_READFUNC_ABORT;
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

static void release_handle(struct target *target, struct handle *handle, bool mismatched)
{
	struct instant now = clock_now();

	curl_easy_reset(handle->curl);
	handle->once_until = deadline_after(now, ONCE_REUSE_US);
	lock_acquire(&target->lock);
	if (mismatched)
		target->suspicious_until = deadline_after(now, SUSPICIOUS_US);
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

		if (is_hop_by_hop_field(field->name) || is_replaced_field(dialect, field->name))
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

static void set_callbacks(CURL *curl, struct call *call)
{
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(curl, CURLOPT_READFUNCTION, on_read);
	curl_easy_setopt(curl, CURLOPT_READDATA, call);
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
	if (options->head->idempotent)
		return;
	curl_easy_setopt(curl, CURLOPT_OPENSOCKETFUNCTION, open_unless_sent);
	curl_easy_setopt(curl, CURLOPT_OPENSOCKETDATA, call);
	if (!serves_once(target, handle))
		curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
}

/* Maps a failed exchange to the outcome and the verdict of the call. */
static struct target_result failed_result(const struct call *call, CURLcode code, long sent)
{
	struct target_result result = { .outcome = TARGET_CRASHED,
					.verdict = VERDICT_MAY_HAVE_RUN,
					.reason = curl_easy_strerror(code) };

	if (call->answer_mismatched) {
		result.outcome = TARGET_FAILED;
		result.reason = "the answer is not one to this request";
	} else if (call->aborted) {
		/* The caller disconnected, which doesn't count against the target. */
		result.outcome = TARGET_SHED;
	} else if (sent == 0 && !call->head_delivered) {
		result.outcome = TARGET_UNREACHED;
		result.verdict = VERDICT_NOT_RUN;
	} else if (code == CURLE_OPERATION_TIMEDOUT) {
		result.outcome = TARGET_FAILED;
	}
	if (call->head_delivered)
		result.verdict = VERDICT_RAN;
	return result;
}

static enum target_outcome outcome_of(int status)
{
	if (status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY)
		return TARGET_SHED;
	return status >= STATUS_SERVER_ERROR ? TARGET_FAILED : TARGET_ANSWERED;
}

static struct target_result make_result(const struct call *call, CURL *curl, CURLcode code)
{
	struct target_result result = { .verdict = VERDICT_RAN, .complete = true };
	long sent = 0;

	curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &sent);
	if (code == CURLE_OK)
		result.outcome = outcome_of(call->head.status);
	else
		result = failed_result(call, code, sent);
	result.service_us =
		(call->head_us ? call->head_us : clock_now().mono_us) - call->started_us;
	return result;
}

static bool caller_waits(struct call *call)
{
	struct target_event event = { .kind = TARGET_CHECK_CALLER };

	return deliver(call, &event);
}

/* Returns the result of the finished transfer. */
static CURLcode transfer_result(CURLM *multi)
{
	CURLcode code = CURLE_ABORTED_BY_CALLBACK;
	CURLMsg *message;
	int queued = 0;

	while ((message = curl_multi_info_read(multi, &queued)) != NULL)
		if (message->msg == CURLMSG_DONE)
			code = message->data.result;
	return code;
}

/* Runs the exchange, and aborts it soon after the caller has disconnected. */
static CURLcode perform_transfer(struct handle *handle, struct call *call)
{
	CURLcode code = CURLE_ABORTED_BY_CALLBACK;
	int running = 1;

	curl_multi_add_handle(handle->multi, handle->curl);
	while (running && caller_waits(call)) {
		if (curl_multi_perform(handle->multi, &running) != CURLM_OK)
			break;
		if (running)
			curl_multi_poll(handle->multi, NULL, 0, CHECK_INTERVAL_MS, NULL);
	}
	handle->fd = CURL_SOCKET_BAD;
	if (!running) {
		code = transfer_result(handle->multi);
		/* The socket is not known any more once the handle is removed. */
		curl_easy_getinfo(handle->curl, CURLINFO_ACTIVESOCKET, &handle->fd);
	}
	/* Removing the handle closes the connection of an unfinished transfer. */
	curl_multi_remove_handle(handle->multi, handle->curl);
	return code;
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
	CURL *curl = handle->curl;
	struct curl_slist *fields =
		make_fields(target->dialect, options->head, options->deadline, &expected);
	struct target_result result;
	CURLcode code;

	call.curl = curl;
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, fields);
	set_method(curl, options->head, options->has_body, method);
	set_callbacks(curl, &call);
	set_limits(target, handle, &call);
	code = perform_transfer(handle, &call);
	result = make_result(&call, curl, code);
	result.misdirected = target->dialect->misdirected_status &&
			     call.head.status == target->dialect->misdirected_status;
	if (code == CURLE_OK && !deliver_head(&call))
		result.complete = false;
	release_handle(target, handle, call.answer_mismatched);
	curl_slist_free_all(fields);
	strbuf_clear(&call.field_text);
	g_free(method);
	g_free(url);
	return result;
}
