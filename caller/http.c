#include "caller/http.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/lockorder.h"
#include "caller/request.h"

enum {
	SMALL_BODY_BYTES = 64 << 10, /* bodies up to this are held whole, and can be sent again */
	ANSWER_LIMIT_BYTES = 256 << 10,
	UPLOAD_LIMIT_BYTES = 256 << 10,
	SMALL_ANSWER_BYTES = 16 << 10, /* goes out in one piece with its head */
	BLOCK_BYTES = 32 << 10,
	HEADER_MEMORY_BYTES = 32 << 10, /* of one connection, for its request's head */
	THREADS = 2,
};

struct caller {
	struct caller_options options;
	struct MHD_Daemon *daemon;
	apr_pool_t *pool;
	gint active;
	gint retired;
	MHD_socket quiesced;
	struct lock lock; /* LOCK_CALLERS */
	GPtrArray *open;  /* struct caller_call, exchanges under way; under the lock */
};

struct caller_call {
	gint refs;
	struct caller *caller;
	struct MHD_Connection *connection;
	apr_pool_t *pool;
	struct str method;
	struct str target;
	struct field fields[FIELDS_MAX];
	int field_count;
	int64_t body_length;
	uint32_t ipv4;
	struct strbuf body;
	struct pipe *upload;
	struct pipe *answer;
	void *data;
	bool ready_told;
	int fd;		    /* of the connection */
	guint open_at;	    /* in caller->open */
	bool left_told;	    /* under caller->lock */
	int answered_early; /* a status that the entry itself gives; 0: none */

	struct lock lock; /* LOCK_CALLS: all below */
	bool suspended;
	bool woken;	/* a wake came while it was not suspended */
	bool has_head;	/* and may go out */
	bool head_held; /* until the end of the body */
	bool queued;	/* the answer is with MHD */
	struct response_head head;
	struct strbuf head_text;
};

struct caller_call *caller_call_ref(struct caller_call *call)
{
	g_atomic_int_inc(&call->refs);
	return call;
}

void caller_call_unref(struct caller_call *call)
{
	if (!call || !g_atomic_int_dec_and_test(&call->refs))
		return;
	g_free((char *)call->method.data);
	g_free((char *)call->target.data);
	for (int i = 0; i < call->field_count; i++) {
		g_free((char *)call->fields[i].name.data);
		g_free((char *)call->fields[i].value.data);
	}
	pipe_unref(call->upload);
	pipe_unref(call->answer);
	strbuf_clear(&call->body);
	strbuf_clear(&call->head_text);
	apr_pool_destroy(call->pool);
	g_free(call);
}

/* Lets MHD go on with the connection, now or as soon as it would wait. */
static void wake(struct caller_call *call)
{
	lock_acquire(&call->lock);
	if (call->suspended) {
		call->suspended = false;
		MHD_resume_connection(call->connection);
	} else {
		call->woken = true;
	}
	lock_release(&call->lock);
}

/* Suspends the connection; false if a wake came first. */
static bool wait_for_wake(struct caller_call *call)
{
	bool waits;

	lock_acquire(&call->lock);
	waits = !call->woken;
	call->woken = false;
	if (waits) {
		call->suspended = true;
		MHD_suspend_connection(call->connection);
	}
	lock_release(&call->lock);
	return waits;
}

static void tell(struct caller_call *call, enum caller_event_kind kind, size_t bytes)
{
	struct caller_event event = { .kind = kind, .call = call, .bytes = bytes };

	call->caller->options.handle(call->caller->options.context, &event);
}

static enum MHD_Result on_field(void *context, enum MHD_ValueKind kind, const char *name,
				const char *value)
{
	struct caller_call *call = context;

	(void)kind;
	if (call->field_count == FIELDS_MAX) {
		call->answered_early = MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE;
		return MHD_NO;
	}
	call->fields[call->field_count].name = str_dup(str_from_cstr(name));
	call->fields[call->field_count].value = str_dup(str_from_cstr(value));
	call->field_count++;
	return MHD_YES;
}

static int count_fields(const struct caller_call *call, struct str name)
{
	int count = 0;

	for (int i = 0; i < call->field_count; i++)
		count += str_equal_nocase(call->fields[i].name, name);
	return count;
}

static void read_body_length(struct caller_call *call)
{
	struct str length = caller_field(call, STR("Content-Length"));

	call->body_length = 0;
	if (caller_field(call, STR("Transfer-Encoding")).len)
		call->body_length = -1;
	else if (length.len && !str_to_int64(length, &call->body_length))
		call->answered_early = MHD_HTTP_BAD_REQUEST;
	/* Two lengths could end the request at two places. */
	if (count_fields(call, STR("Content-Length")) +
		    count_fields(call, STR("Transfer-Encoding")) >
	    1)
		call->answered_early = MHD_HTTP_BAD_REQUEST;
	if (call->body_length > call->caller->options.body_max)
		call->answered_early = MHD_HTTP_CONTENT_TOO_LARGE;
}

static struct caller_call *call_new(struct caller *caller, struct MHD_Connection *connection,
				    const char *url, const char *method)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	struct caller_call *call = g_new0(struct caller_call, 1);

	call->refs = 1;
	call->caller = caller;
	call->connection = connection;
	apr_pool_create(&call->pool, NULL);
	lock_init(&call->lock, LOCK_CALLS, call->pool);
	call->answer = pipe_new(ANSWER_LIMIT_BYTES, call->pool);
	call->method = str_dup(str_from_cstr(method));
	call->target = request_target(connection, url);
	if (info && info->client_addr->sa_family == AF_INET)
		call->ipv4 = ntohl(((const struct sockaddr_in *)(const void *)info->client_addr)
					   ->sin_addr.s_addr);
	MHD_get_connection_values(connection, MHD_HEADER_KIND, on_field, call);
	read_body_length(call);
	if (call->body_length < 0 || call->body_length > SMALL_BODY_BYTES)
		call->upload = pipe_new(UPLOAD_LIMIT_BYTES, call->pool);
	info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	call->fd = info ? info->connect_fd : -1;
	lock_acquire(&caller->lock);
	call->open_at = caller->open->len;
	g_ptr_array_add(caller->open, call);
	lock_release(&caller->lock);
	g_atomic_int_inc(&caller->active);
	return call;
}

static void remove_open(struct caller *caller, struct caller_call *call)
{
	lock_acquire(&caller->lock);
	g_ptr_array_remove_index_fast(caller->open, call->open_at);
	if (call->open_at < caller->open->len)
		((struct caller_call *)g_ptr_array_index(caller->open, call->open_at))->open_at =
			call->open_at;
	lock_release(&caller->lock);
}

/* A suspended connection is not watched by MHD. Its descriptor stays open while its call is in the
 * table. Gives the calls with a reference each. */
static GPtrArray *find_left(struct caller *caller)
{
	GPtrArray *left = g_ptr_array_new();
	struct pollfd *fds;
	guint count;

	lock_acquire(&caller->lock);
	count = caller->open->len;
	fds = g_new0(struct pollfd, count + 1);
	for (guint i = 0; i < count; i++) {
		const struct caller_call *call = g_ptr_array_index(caller->open, i);

		fds[i].fd = call->left_told ? -1 : call->fd;
		fds[i].events = POLLRDHUP;
	}
	if (count == 0 || poll(fds, count, 0) <= 0)
		count = 0;
	for (guint i = 0; i < count; i++) {
		struct caller_call *call = g_ptr_array_index(caller->open, i);

		if (!(fds[i].revents & (POLLRDHUP | POLLHUP | POLLERR)))
			continue;
		call->left_told = true;
		g_ptr_array_add(left, caller_call_ref(call));
	}
	lock_release(&caller->lock);
	g_free(fds);
	return left;
}

void caller_sweep(struct caller *caller)
{
	GPtrArray *left = find_left(caller);

	for (guint i = 0; i < left->len; i++) {
		struct caller_call *call = g_ptr_array_index(left, i);

		tell(call, CALLER_LEFT, 0);
		caller_call_unref(call);
	}
	g_ptr_array_unref(left);
}

/* The body of an answer: MHD asks for more of it. */
static ssize_t on_answer(void *context, uint64_t at, char *into, size_t cap)
{
	struct caller_call *call = context;
	enum pipe_end end;
	size_t n;

	(void)at;
	do {
		n = pipe_take(call->answer, into, cap, &end);
		if (n) {
			tell(call, CALLER_DRAINED, n);
			return (ssize_t)n;
		}
		switch (end) {
		case PIPE_DONE:
			return MHD_CONTENT_READER_END_OF_STREAM;
		case PIPE_FAILED:
			return MHD_CONTENT_READER_END_WITH_ERROR;
		case PIPE_OPEN:
			break;
		}
	} while (!wait_for_wake(call));
	return 0;
}

static void on_answer_freed(void *context)
{
	caller_call_unref(context);
}

static void add_fields(struct MHD_Response *response, const struct response_head *head)
{
	for (int i = 0; i < head->field_count; i++) {
		char *name = str_to_cstr(head->fields[i].name);
		char *value = str_to_cstr(head->fields[i].value);

		MHD_add_response_header(response, name, value);
		g_free(name);
		g_free(value);
	}
}

/* A small body that is there as a whole, in a buffer that MHD frees; NULL if it is not. */
static struct MHD_Response *make_small(struct caller_call *call)
{
	enum pipe_end end = PIPE_OPEN;
	size_t size = (size_t)call->head.body_length;
	size_t held = pipe_held(call->answer);
	char *body;

	if (call->head.body_length < 0 || size > SMALL_ANSWER_BYTES || held != size)
		return NULL;
	body = malloc(size + 1);
	pipe_take(call->answer, body, size, &end);
	if (size)
		tell(call, CALLER_DRAINED, size);
	return MHD_create_response_from_buffer(size, body, MHD_RESPMEM_MUST_FREE);
}

static struct MHD_Response *make_streamed(struct caller_call *call)
{
	uint64_t size =
		call->head.body_length >= 0 ? (uint64_t)call->head.body_length : MHD_SIZE_UNKNOWN;

	return MHD_create_response_from_callback(size, BLOCK_BYTES, on_answer,
						 caller_call_ref(call), on_answer_freed);
}

static enum MHD_Result queue_answer(struct caller_call *call)
{
	struct MHD_Response *response = make_small(call);
	enum MHD_Result result;

	if (!response)
		response = make_streamed(call);
	add_fields(response, &call->head);
	if (g_atomic_int_get(&call->caller->retired))
		MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
	result = MHD_queue_response(call->connection, (unsigned int)call->head.status, response);
	MHD_destroy_response(response);
	call->queued = true;
	return result;
}

static enum MHD_Result answer_early(struct MHD_Connection *connection, int status)
{
	struct MHD_Response *response =
		MHD_create_response_from_buffer(0, "", MHD_RESPMEM_PERSISTENT);
	enum MHD_Result result;

	MHD_add_response_header(response, "Godwithitch-Verdict", "not-run");
	result = MHD_queue_response(connection, (unsigned int)status, response);
	MHD_destroy_response(response);
	return result;
}

static bool take_head(struct caller_call *call)
{
	bool has_head;

	lock_acquire(&call->lock);
	has_head = call->has_head;
	lock_release(&call->lock);
	return has_head;
}

static void tell_ready(struct caller_call *call)
{
	if (call->ready_told)
		return;
	call->ready_told = true;
	tell(call, CALLER_READY, 0);
}

/* Bytes of the request's body came. */
static enum MHD_Result on_upload(struct caller_call *call, const char *data, size_t *size)
{
	if (!call->upload) {
		strbuf_add(&call->body, (struct str){ data, *size });
		*size = 0;
		return MHD_YES;
	}
	tell_ready(call);
	/* Without room the bytes stay with MHD, and with them the caller waits. */
	while (!pipe_has_room(call->upload))
		if (wait_for_wake(call))
			return MHD_YES;
	pipe_put(call->upload, (struct str){ data, *size });
	*size = 0;
	tell(call, CALLER_UPLOADED, 0);
	return MHD_YES;
}

static enum MHD_Result on_request(void *context, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *size, void **state)
{
	struct caller_call *call = *state;

	(void)version;
	if (!call) {
		call = call_new(context, connection, url, method);
		*state = call;
		if (call->answered_early)
			return answer_early(connection, call->answered_early);
		return MHD_YES;
	}
	if (*size)
		return on_upload(call, data, size);
	if (call->upload && !call->ready_told)
		tell_ready(call);
	if (call->upload && !call->queued) {
		pipe_finish(call->upload, PIPE_DONE);
		tell(call, CALLER_UPLOADED, 0);
	}
	tell_ready(call);
	while (!take_head(call))
		if (wait_for_wake(call))
			return MHD_YES;
	return call->queued ? MHD_YES : queue_answer(call);
}

static void on_completed(void *context, struct MHD_Connection *connection, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct caller_call *call = *state;
	struct caller *caller = context;

	(void)connection;
	(void)code;
	if (!call)
		return;
	*state = NULL;
	remove_open(caller, call);
	pipe_abandon(call->answer);
	if (call->upload)
		pipe_finish(call->upload, PIPE_FAILED);
	tell(call, CALLER_GONE, 0);
	caller_call_unref(call);
	g_atomic_int_add(&caller->active, -1);
}

/* Path and query stay as the caller wrote them: targets see the same bytes. */
static size_t keep_escapes(void *context, struct MHD_Connection *connection, char *text)
{
	(void)context;
	(void)connection;
	return strlen(text);
}

struct caller *caller_new(const struct caller_options *options, apr_pool_t *pool, GError **error)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(options->port),
				       .sin_addr.s_addr = htonl(options->ipv4) };
	struct caller *caller = g_new0(struct caller, 1);

	caller->options = *options;
	caller->quiesced = MHD_INVALID_SOCKET;
	apr_pool_create(&caller->pool, pool);
	lock_init(&caller->lock, LOCK_CALLERS, caller->pool);
	caller->open = g_ptr_array_new();
	caller->daemon = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, options->port, NULL, NULL,
		on_request, caller, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, caller, MHD_OPTION_UNESCAPE_CALLBACK,
		keep_escapes, NULL, MHD_OPTION_CONNECTION_LIMIT, (unsigned int)options->connections,
		MHD_OPTION_PER_IP_CONNECTION_LIMIT, (unsigned int)options->connections_per_address,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)options->idle_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)HEADER_MEMORY_BYTES,
		MHD_OPTION_THREAD_POOL_SIZE, (unsigned int)THREADS, MHD_OPTION_END);
	if (caller->daemon)
		return caller;
	g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
		    "can't listen on the address for callers, port %u", options->port);
	apr_pool_destroy(caller->pool);
	g_free(caller);
	return NULL;
}

void caller_retire(struct caller *caller)
{
	g_atomic_int_set(&caller->retired, 1);
}

void caller_quiesce(struct caller *caller)
{
	caller->quiesced = MHD_quiesce_daemon(caller->daemon);
}

void caller_free(struct caller *caller)
{
	if (!caller)
		return;
	MHD_stop_daemon(caller->daemon);
	if (caller->quiesced != MHD_INVALID_SOCKET)
		close(caller->quiesced);
	g_ptr_array_unref(caller->open);
	lock_destroy(&caller->lock);
	apr_pool_destroy(caller->pool);
	g_free(caller);
}

uint16_t caller_port(const struct caller *caller)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(caller->daemon, MHD_DAEMON_INFO_BIND_PORT);

	return info ? info->port : 0;
}

int caller_active(struct caller *caller)
{
	return g_atomic_int_get(&caller->active);
}

struct str caller_method(const struct caller_call *call)
{
	return call->method;
}

struct str caller_target(const struct caller_call *call)
{
	return call->target;
}

struct str caller_field(const struct caller_call *call, struct str name)
{
	for (int i = 0; i < call->field_count; i++)
		if (str_equal_nocase(call->fields[i].name, name))
			return call->fields[i].value;
	return STR("");
}

const struct field *caller_fields(const struct caller_call *call, int *count)
{
	*count = call->field_count;
	return call->fields;
}

struct str caller_body(const struct caller_call *call)
{
	return strbuf_str(&call->body);
}

struct pipe *caller_upload(const struct caller_call *call)
{
	return call->upload;
}

int64_t caller_body_length(const struct caller_call *call)
{
	return call->body_length;
}

uint32_t caller_ipv4(const struct caller_call *call)
{
	return call->ipv4;
}

void caller_set_data(struct caller_call *call, void *data)
{
	call->data = data;
}

void *caller_data(const struct caller_call *call)
{
	return call->data;
}

/* Copies the head's strings, which borrow from the giver. */
static void copy_head(struct caller_call *call, const struct response_head *head)
{
	size_t at = 0;

	call->head = *head;
	for (int i = 0; i < head->field_count; i++) {
		strbuf_add(&call->head_text, head->fields[i].name);
		strbuf_add(&call->head_text, head->fields[i].value);
	}
	for (int i = 0; i < head->field_count; i++) {
		call->head.fields[i].name.data = call->head_text.data + at;
		at += head->fields[i].name.len;
		call->head.fields[i].value.data = call->head_text.data + at;
		at += head->fields[i].value.len;
	}
}

void caller_head(struct caller_call *call, const struct response_head *head)
{
	bool first;

	lock_acquire(&call->lock);
	first = !call->has_head && !call->head_held;
	if (first) {
		copy_head(call, head);
		call->head_held = head->body_length >= 0 && head->body_length <= SMALL_ANSWER_BYTES;
		call->has_head = !call->head_held;
	}
	first = first && call->has_head;
	lock_release(&call->lock);
	if (first)
		wake(call);
}

/* The end of the body: a head that waited for it may go out. True if there was one. */
static bool release_head(struct caller_call *call)
{
	bool released;

	lock_acquire(&call->lock);
	released = call->head_held;
	call->head_held = false;
	call->has_head |= released;
	lock_release(&call->lock);
	return released;
}

size_t caller_held(struct caller_call *call)
{
	return pipe_held(call->answer);
}

void caller_give(struct caller_call *call, struct str bytes)
{
	if (pipe_put(call->answer, bytes))
		wake(call);
}

bool caller_give_wait(struct caller_call *call, struct str bytes, struct deadline deadline)
{
	if (!pipe_put_wait(call->answer, bytes, deadline))
		return false;
	wake(call);
	return true;
}

void caller_finish(struct caller_call *call, enum pipe_end end)
{
	bool waiting = pipe_finish(call->answer, end);

	if (release_head(call) || waiting)
		wake(call);
}

void caller_answer(struct caller_call *call, const struct response_head *head, struct str body)
{
	struct response_head sized = *head;

	sized.body_length = (int64_t)body.len;
	if (body.len)
		pipe_put(call->answer, body);
	caller_head(call, &sized);
	caller_finish(call, PIPE_DONE);
}

void caller_upload_taken(struct caller_call *call)
{
	wake(call);
}
