#include "caller/http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/lockorder.h"
#include "base/logger.h"
#include "caller/connection.h"

enum {
	LISTEN_BACKLOG = 1024,
	ACCEPTS_PER_EVENT = 32,
	HEAD_MAX_BYTES = 32 << 10, /* twice of what callers in the field send */
	/* State of a call in this process beside its text: before it is passed on, and then, with
	 * pools of 8 KiB here and in the handler. */
	QUEUED_CALL_BYTES = 6 << 10,
	CALL_BYTES = 24 << 10,
};

struct caller {
	struct caller_options options;
	apr_pool_t *pool;
	struct watch listen_watch;
	gint active;
	gint retired;
	gint listen_paused;	     /* no descriptor was free */
	gint short_logged;	     /* the last log line on memory said that it is short */
	struct lock lock;	     /* LOCK_CALLERS: guards all members below */
	int listen_fd;		     /* -1 after caller_quiesce() */
	GPtrArray *connections;	     /* struct connection; all that were created */
	GPtrArray *free_connections; /* struct connection; closed ones, for reuse */
	GHashTable *address_counts;  /* IPv4 address -> number of its open connections */
};

struct caller_call *caller_call_new(struct connection *connection)
{
	struct caller_call *call = g_new0(struct caller_call, 1);

	call->refs = 1;
	call->connection = connection_ref(connection);
	call->method = STR("GET");
	return call;
}

apr_pool_t *caller_call_pool(struct caller_call *call)
{
	if (!call->pool)
		apr_pool_create(&call->pool, NULL);
	return call->pool;
}

static int64_t whole_body_bytes(const struct caller_body *body)
{
	switch (body->kind) {
	case CALLER_BODY_WHOLE:
		return (int64_t)body->whole.cap;
	case CALLER_BODY_STREAMED:
		/* Its pipe counts it. */
		return 0;
	}
	g_assert_not_reached();
}

/* The connection's lock is held. */
static void set_counted(struct caller_call *call, int64_t request, int64_t body)
{
	struct memory *memory = caller_options_of(call->connection->caller)->memory;
	struct memory_holder *holder = &call->connection->holder;

	memory_charge(memory, holder, MEMORY_REQUESTS, request - call->counted_request);
	memory_charge(memory, holder, MEMORY_BODIES, body - call->counted_body);
	call->counted_request = request;
	call->counted_body = body;
}

void caller_call_count(struct caller_call *call)
{
	lock_acquire(&call->connection->lock);
	if (!call->uncounted)
		set_counted(call,
			    (call->prepared ? CALL_BYTES : QUEUED_CALL_BYTES) +
				    (int64_t)call->text.cap,
			    whole_body_bytes(&call->body));
	lock_release(&call->connection->lock);
}

void caller_call_prepare(struct caller_call *call)
{
	struct memory *memory = caller_options_of(call->connection->caller)->memory;

	call->answer = pipe_new(ANSWER_LIMIT_BYTES, caller_call_pool(call));
	pipe_set_account(call->answer, memory, &call->connection->holder, MEMORY_ANSWERS);
	call->prepared = true;
}

void caller_call_uncount(struct caller_call *call)
{
	lock_acquire(&call->connection->lock);
	call->uncounted = true;
	set_counted(call, 0, 0);
	lock_release(&call->connection->lock);
}

struct caller_call *caller_call_ref(struct caller_call *call)
{
	g_atomic_int_inc(&call->refs);
	return call;
}

static void body_clear(struct caller_body *body)
{
	switch (body->kind) {
	case CALLER_BODY_WHOLE:
		strbuf_clear(&body->whole);
		return;
	case CALLER_BODY_STREAMED:
		pipe_unref(body->upload);
		return;
	}
	g_assert_not_reached();
}

void caller_body_cut(struct caller_body *body)
{
	switch (body->kind) {
	case CALLER_BODY_WHOLE:
		return;
	case CALLER_BODY_STREAMED:
		pipe_finish(body->upload, PIPE_FAILED);
		return;
	}
	g_assert_not_reached();
}

void caller_body_abandon(struct caller_body *body)
{
	caller_body_cut(body);
	switch (body->kind) {
	case CALLER_BODY_WHOLE:
		return;
	case CALLER_BODY_STREAMED:
		pipe_abandon(body->upload);
		return;
	}
	g_assert_not_reached();
}

bool caller_body_has_room(const struct caller_body *body)
{
	switch (body->kind) {
	case CALLER_BODY_WHOLE:
		return true;
	case CALLER_BODY_STREAMED:
		return pipe_has_room(body->upload);
	}
	g_assert_not_reached();
}

void caller_call_unref(struct caller_call *call)
{
	if (!call || !g_atomic_int_dec_and_test(&call->refs))
		return;
	caller_call_uncount(call);
	body_clear(&call->body);
	pipe_unref(call->answer);
	strbuf_clear(&call->text);
	strbuf_clear(&call->head_text);
	connection_unref(call->connection);
	if (call->pool)
		apr_pool_destroy(call->pool);
	g_free(call);
}

/* Returns whether an event may be delivered now. */
static bool begin_notifying(struct caller_call *call, enum caller_event_kind kind)
{
	bool deliver;

	lock_acquire(&call->connection->lock);
	deliver = !call->ended;
	if (kind == CALLER_ENDED) {
		call->ended = true;
		call->end_deferred = deliver && call->notifying > 0;
		deliver = deliver && !call->end_deferred;
	}
	call->notifying += deliver;
	lock_release(&call->connection->lock);
	return deliver;
}

/* Returns whether CALLER_ENDED is due now. */
static bool end_notifying(struct caller_call *call)
{
	bool end;

	lock_acquire(&call->connection->lock);
	call->notifying--;
	end = call->notifying == 0 && call->end_deferred;
	if (end)
		call->end_deferred = false;
	lock_release(&call->connection->lock);
	return end;
}

/* The handler releases its own part of the call at CALLER_ENDED. A worker that closes the
 * connection leaves that event to the last worker that is still handling another one. */
void caller_notify(struct caller_call *call, enum caller_event_kind kind, size_t bytes)
{
	const struct caller_options *options = &call->connection->caller->options;
	struct caller_event event = { .kind = kind, .call = call, .bytes = bytes };

	if (!begin_notifying(call, kind))
		return;
	caller_call_ref(call);
	options->handle(options->context, &event);
	if (end_notifying(call)) {
		event.kind = CALLER_ENDED;
		options->handle(options->context, &event);
	}
	caller_call_unref(call);
}

const struct caller_options *caller_options_of(const struct caller *caller)
{
	return &caller->options;
}

bool caller_is_retired(struct caller *caller)
{
	return g_atomic_int_get(&caller->retired);
}

void caller_add_active(struct caller *caller, int change)
{
	g_atomic_int_add(&caller->active, change);
}

static int listen_on(uint32_t ipv4, uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port),
				       .sin_addr.s_addr = htonl(ipv4) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int enable = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
	    listen(fd, LISTEN_BACKLOG) == 0)
		return fd;
	close(fd);
	return -1;
}

struct caller *caller_new(const struct caller_options *options, apr_pool_t *pool, GError **error)
{
	int fd = listen_on(options->ipv4, options->port);
	struct caller *caller;

	if (fd < 0) {
		g_set_error(error, G_FILE_ERROR, g_file_error_from_errno(errno),
			    "can't listen on the address for callers, port %u: %s", options->port,
			    g_strerror(errno));
		return NULL;
	}
	/* The parser has one limit for the process. */
	http_parser_set_max_header_size(HEAD_MAX_BYTES);
	caller = g_new0(struct caller, 1);
	caller->options = *options;
	caller->listen_fd = fd;
	apr_pool_create(&caller->pool, pool);
	lock_init(&caller->lock, LOCK_CALLERS, caller->pool);
	caller->connections = g_ptr_array_new();
	caller->free_connections = g_ptr_array_new();
	caller->address_counts = g_hash_table_new(NULL, NULL);
	caller->listen_watch = (struct watch){ fd, { WORK_CALLER_LISTEN, caller } };
	workers_watch(options->workers, &caller->listen_watch, WATCH_READ);
	return caller;
}

static int address_count(const struct caller *caller, uint32_t ipv4)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(caller->address_counts, GUINT_TO_POINTER(ipv4)));
}

static void add_address_count(struct caller *caller, uint32_t ipv4, int change)
{
	int count = address_count(caller, ipv4) + change;

	if (count > 0)
		g_hash_table_insert(caller->address_counts, GUINT_TO_POINTER(ipv4),
				    GINT_TO_POINTER(count));
	else
		g_hash_table_remove(caller->address_counts, GUINT_TO_POINTER(ipv4));
}

static struct connection *connection_new(struct caller *caller)
{
	struct connection *connection = g_new0(struct connection, 1);

	connection->caller = caller;
	connection->watch.work = (struct work){ WORK_CALLER, connection };
	/* Connections live as long as the caller's pool; its lock is held. */
	lock_init(&connection->lock, LOCK_CONNECTION, caller->pool);
	g_queue_init(&connection->calls);
	g_queue_init(&connection->answered);
	return connection;
}

/* Returns a free or new connection, or NULL if a limit on connections is reached. */
static struct connection *acquire_connection(struct caller *caller, uint32_t ipv4)
{
	struct connection *connection = NULL;
	int open;

	lock_acquire(&caller->lock);
	open = (int)(caller->connections->len - caller->free_connections->len);
	if (open < caller->options.connections &&
	    address_count(caller, ipv4) < caller->options.connections_per_address) {
		if (caller->free_connections->len) {
			connection = g_ptr_array_steal_index_fast(
				caller->free_connections, caller->free_connections->len - 1);
		} else {
			connection = connection_new(caller);
			g_ptr_array_add(caller->connections, connection);
		}
		add_address_count(caller, ipv4, 1);
	}
	lock_release(&caller->lock);
	return connection;
}

void caller_recycle(struct caller *caller, struct connection *connection)
{
	memory_leave(caller->options.memory, &connection->holder);
	lock_acquire(&caller->lock);
	add_address_count(caller, connection->ipv4, -1);
	lock_release(&caller->lock);
	lock_acquire(&connection->lock);
	connection->state = CONNECTION_FREE;
	lock_release(&connection->lock);
	lock_acquire(&caller->lock);
	g_ptr_array_add(caller->free_connections, connection);
	lock_release(&caller->lock);
}

/* Returns all open and lingering connections, with a reference each. */
static GPtrArray *open_connections(struct caller *caller)
{
	GPtrArray *open = g_ptr_array_new_with_free_func((GDestroyNotify)connection_unref);

	lock_acquire(&caller->lock);
	for (guint i = 0; i < caller->connections->len; i++) {
		struct connection *connection = g_ptr_array_index(caller->connections, i);

		lock_acquire(&connection->lock);
		if (connection->state == CONNECTION_OPEN ||
		    connection->state == CONNECTION_LINGERING)
			g_ptr_array_add(open, connection_ref(connection));
		lock_release(&connection->lock);
	}
	lock_release(&caller->lock);
	return open;
}

/* Returns the oldest open connection that has sent no request, with a reference; NULL if there is
 * none. @p ipv4: only of this address; 0: of any. */
static struct connection *oldest_unused(struct caller *caller, uint32_t ipv4)
{
	GPtrArray *open = open_connections(caller);
	struct connection *oldest = NULL;
	int64_t oldest_us = INT64_MAX;

	for (guint i = 0; i < open->len; i++) {
		struct connection *connection = g_ptr_array_index(open, i);

		lock_acquire(&connection->lock);
		if (!connection->used && connection->opened_us < oldest_us &&
		    (ipv4 == 0 || connection->ipv4 == ipv4)) {
			oldest = connection;
			oldest_us = connection->opened_us;
		}
		lock_release(&connection->lock);
	}
	if (oldest)
		connection_ref(oldest);
	g_ptr_array_unref(open);
	return oldest;
}

/* Closes a connection that was opened and left, so that a new caller is served. */
static bool make_room(struct caller *caller, uint32_t ipv4)
{
	struct connection *unused;
	bool by_address;

	lock_acquire(&caller->lock);
	by_address = address_count(caller, ipv4) >= caller->options.connections_per_address;
	lock_release(&caller->lock);
	unused = oldest_unused(caller, by_address ? ipv4 : 0);
	if (!unused)
		return false;
	connection_close_for(unused, "room");
	connection_unref(unused);
	return true;
}

static void rearm_listening(struct caller *caller)
{
	lock_acquire(&caller->lock);
	if (caller->listen_fd >= 0)
		workers_rearm(caller->options.workers, &caller->listen_watch, WATCH_READ);
	lock_release(&caller->lock);
}

/* Returns whether accept() failed for want of a descriptor or of memory. */
static bool is_out_of_descriptors(int error)
{
	return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

void caller_on_listen(struct caller *caller)
{
	struct sockaddr_in address = { 0 };
	int fd = 0;

	for (int i = 0; i < ACCEPTS_PER_EVENT && fd >= 0; i++) {
		socklen_t len = sizeof(address);
		struct connection *connection;
		uint32_t ipv4;

		fd = accept4(caller->listen_watch.fd, (struct sockaddr *)&address, &len,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		/* The event would be reported again at once: caller_tick() listens again. */
		if (fd < 0 && is_out_of_descriptors(errno)) {
			g_atomic_int_set(&caller->listen_paused, 1);
			return;
		}
		if (fd < 0)
			break;
		ipv4 = ntohl(address.sin_addr.s_addr);
		connection = acquire_connection(caller, ipv4);
		if (!connection && make_room(caller, ipv4))
			connection = acquire_connection(caller, ipv4);
		if (connection)
			connection_open(connection, fd, ipv4);
		else
			close(fd);
	}
	rearm_listening(caller);
}

void caller_on_connection(struct connection *connection)
{
	connection_handle(connection);
}

void caller_retire(struct caller *caller)
{
	g_atomic_int_set(&caller->retired, 1);
}

static void for_each_connection(struct caller *caller, void (*visit)(struct connection *connection))
{
	GPtrArray *open = open_connections(caller);

	for (guint i = 0; i < open->len; i++)
		visit(g_ptr_array_index(open, i));
	g_ptr_array_unref(open);
}

void caller_quiesce(struct caller *caller)
{
	int fd;

	lock_acquire(&caller->lock);
	fd = caller->listen_fd;
	caller->listen_fd = -1;
	lock_release(&caller->lock);
	if (fd >= 0) {
		workers_unwatch(caller->options.workers, &caller->listen_watch);
		close(fd);
	}
	for_each_connection(caller, connection_close_idle);
}

static void log_line(const struct connection *connection, enum log_event event,
		     const struct memory_closing *closing, const char *why)
{
	const struct memory *memory = connection->caller->options.memory;
	struct strbuf address = { 0 };

	strbuf_addf(&address, "%u.%u.%u.%u", connection->ipv4 >> 24, connection->ipv4 >> 16 & 255,
		    connection->ipv4 >> 8 & 255, connection->ipv4 & 255);
	logger_event(event,
		     "address=%.*s why=%s requests=%ld answers=%ld bodies=%ld stalled_ms=%lld "
		     "held=%ld budget=%ld",
		     STR_ARG(strbuf_str(&address)), why, closing->held[MEMORY_REQUESTS],
		     closing->held[MEMORY_ANSWERS], closing->held[MEMORY_BODIES],
		     closing->stalled_us / US_PER_MS, closing->total, memory_budget_of(memory));
	strbuf_clear(&address);
}

static void count_decision(struct caller *caller, const char *name, const char *why)
{
	char labels[64];

	if (!caller->options.metrics)
		return;
	g_snprintf(labels, sizeof(labels), "why=\"%s\"", why);
	metrics_add(caller->options.metrics, str_from_cstr(name), str_from_cstr(labels), 1);
}

void caller_log_closing(struct caller *caller, const struct connection *connection,
			const struct memory_closing *closing, const char *why)
{
	log_line(connection, LOG_EVENT_CALLER_CLOSED, closing, why);
	count_decision(caller, "godwithitch_callers_closed_total", why);
}

void caller_log_refusal(struct caller *caller, const struct connection *connection)
{
	struct memory_closing state;

	memory_describe(caller->options.memory, &connection->holder, clock_now(), &state);
	log_line(connection, LOG_EVENT_CALLER_REFUSED, &state, "memory");
	count_decision(caller, "godwithitch_callers_refused_total", "memory");
}

/* Returns the open connection of a holder, with a reference, or NULL. */
static struct connection *connection_of_holder(struct caller *caller,
					       const struct memory_holder *holder)
{
	struct connection *found = NULL;
	GPtrArray *open = open_connections(caller);

	for (guint i = 0; i < open->len && !found; i++) {
		struct connection *connection = g_ptr_array_index(open, i);

		if (&connection->holder == holder)
			found = connection_ref(connection);
	}
	g_ptr_array_unref(open);
	return found;
}

void caller_relieve(struct caller *caller)
{
	struct memory *memory = caller->options.memory;
	struct memory_closing closing;

	while (memory_is_over(memory) && memory_choose(memory, clock_now(), &closing)) {
		struct connection *connection = connection_of_holder(caller, closing.holder);

		/* Otherwise it has been closed since. */
		if (!connection)
			continue;
		caller_log_closing(caller, connection, &closing, "memory");
		connection_close(connection);
		connection_unref(connection);
	}
}

/* Logs that memory has become short, or is no longer. */
static void report_memory(struct caller *caller)
{
	struct memory *memory = caller->options.memory;
	bool is_short = memory_is_short(memory);
	int64_t total = 0;

	for (int i = 0; i < MEMORY_USES; i++) {
		enum memory_use use = (enum memory_use)i;
		char labels[32];

		total += memory_held(memory, use);
		g_snprintf(labels, sizeof(labels), "use=\"%.*s\"", STR_ARG(memory_use_name(use)));
		if (caller->options.metrics)
			metrics_set(caller->options.metrics, STR("godwithitch_caller_memory_bytes"),
				    str_from_cstr(labels), memory_held(memory, use));
	}
	if (is_short == (bool)g_atomic_int_get(&caller->short_logged))
		return;
	g_atomic_int_set(&caller->short_logged, is_short);
	logger_event(LOG_EVENT_CALLER_MEMORY, "short=%d held=%ld budget=%ld", is_short, total,
		     memory_budget_of(memory));
}

void caller_tick(struct caller *caller, struct instant now)
{
	GPtrArray *open = open_connections(caller);

	if (g_atomic_int_compare_and_exchange(&caller->listen_paused, 1, 0))
		rearm_listening(caller);
	caller_relieve(caller);
	report_memory(caller);
	for (guint i = 0; i < open->len; i++)
		connection_tick(g_ptr_array_index(open, i), now);
	g_ptr_array_unref(open);
}

void caller_free(struct caller *caller)
{
	if (!caller)
		return;
	caller_quiesce(caller);
	for_each_connection(caller, connection_close);
	for (guint i = 0; i < caller->connections->len; i++) {
		struct connection *connection = g_ptr_array_index(caller->connections, i);

		lock_destroy(&connection->lock);
		g_free(connection);
	}
	g_ptr_array_unref(caller->connections);
	g_ptr_array_unref(caller->free_connections);
	g_hash_table_destroy(caller->address_counts);
	lock_destroy(&caller->lock);
	apr_pool_destroy(caller->pool);
	g_free(caller);
}

uint16_t caller_port(const struct caller *caller)
{
	struct sockaddr_in address = { 0 };
	socklen_t len = sizeof(address);

	getsockname(caller->listen_watch.fd, (struct sockaddr *)&address, &len);
	return ntohs(address.sin_port);
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

const struct caller_body *caller_body(const struct caller_call *call)
{
	return &call->body;
}

int64_t caller_body_length(const struct caller_call *call)
{
	return call->body_length;
}

bool caller_sent_chunks(const struct caller_call *call)
{
	return call->in_chunks;
}

struct instant caller_arrived(const struct caller_call *call)
{
	return call->arrived;
}

uint32_t caller_ipv4(const struct caller_call *call)
{
	return call->connection->ipv4;
}

void caller_set_data(struct caller_call *call, void *data)
{
	g_atomic_pointer_set(&call->data, data);
}

void *caller_data(struct caller_call *call)
{
	return g_atomic_pointer_get(&call->data);
}

/* Copies the head with its strings, which are borrowed from the handler. */
static void copy_head(struct caller_call *call, const struct response_head *head)
{
	size_t offset = 0;

	call->head = *head;
	for (int i = 0; i < head->field_count; i++) {
		strbuf_add(&call->head_text, head->fields[i].name);
		strbuf_add(&call->head_text, head->fields[i].value);
	}
	for (int i = 0; i < head->field_count; i++) {
		call->head.fields[i].name.data = call->head_text.data + offset;
		offset += head->fields[i].name.len;
		call->head.fields[i].value.data = call->head_text.data + offset;
		offset += head->fields[i].value.len;
	}
}

/* Returns false if the call has an answer already. */
static bool begin_answer(struct caller_call *call)
{
	bool first;

	lock_acquire(&call->connection->lock);
	first = !call->answered;
	call->answered = true;
	lock_release(&call->connection->lock);
	return first;
}

static void write_head(struct caller_call *call, const struct response_head *head)
{
	bool ready;

	lock_acquire(&call->connection->lock);
	copy_head(call, head);
	call->head_deferred = head->body_length >= 0 && head->body_length <= SMALL_ANSWER_BYTES;
	call->head_ready = !call->head_deferred;
	ready = call->head_ready;
	lock_release(&call->connection->lock);
	if (ready)
		connection_advance(call->connection);
}

bool caller_write_head(struct caller_call *call, const struct response_head *head)
{
	if (!begin_answer(call))
		return false;
	write_head(call, head);
	return true;
}

/* Releases a head that waited for the end of the body. Returns true if there was one. */
static bool release_head(struct caller_call *call)
{
	bool released;

	lock_acquire(&call->connection->lock);
	released = call->head_deferred;
	call->head_deferred = false;
	call->head_ready |= released;
	lock_release(&call->connection->lock);
	return released;
}

void caller_hold(struct caller_call *call)
{
	lock_acquire(&call->connection->lock);
	call->held = true;
	lock_release(&call->connection->lock);
}

void caller_release(struct caller_call *call)
{
	bool released;

	lock_acquire(&call->connection->lock);
	released = call->held;
	call->held = false;
	lock_release(&call->connection->lock);
	if (released)
		connection_advance(call->connection);
}

size_t caller_buffered_bytes(struct caller_call *call)
{
	return pipe_buffered_bytes(call->answer);
}

void caller_write(struct caller_call *call, struct str bytes)
{
	if (pipe_write(call->answer, bytes))
		connection_advance(call->connection);
	caller_relieve(call->connection->caller);
}

bool caller_write_wait(struct caller_call *call, struct str bytes, struct deadline deadline)
{
	if (!pipe_write_wait(call->answer, bytes, deadline))
		return false;
	connection_advance(call->connection);
	caller_relieve(call->connection->caller);
	return true;
}

void caller_finish(struct caller_call *call, enum pipe_end end)
{
	bool waiting = pipe_finish(call->answer, end);

	if (release_head(call) || waiting)
		connection_advance(call->connection);
}

bool caller_answer(struct caller_call *call, const struct response_head *head, struct str body)
{
	struct response_head sized = *head;

	if (!begin_answer(call))
		return false;
	sized.body_length = (int64_t)body.len;
	if (body.len)
		pipe_write(call->answer, body);
	write_head(call, &sized);
	caller_finish(call, PIPE_DONE);
	return true;
}

void caller_upload_consumed(struct caller_call *call)
{
	if (caller_body_has_room(&call->body))
		connection_resume(call->connection);
}
