/*
 * Calls to this node's own target: admission, the exchange with the target, and the return of the
 * answer to the entry node, which received the call from its caller and may be this node.
 */
#include <string.h>

#include "base/logger.h"
#include "godwithitchd/daemon.h"

#define CRASH_WINDOW_US (2 * US_PER_S) /* calls that fail within it are counted as one crash */
/* A process that ends closes its connections before its listening socket. */
#define CRASH_CHECK_US (50 * US_PER_MS)
#define LINK_WAIT_US   (100 * US_PER_MS) /* then a cancelled call is noticed */

enum {
	FLUSH_BYTES = 16 << 10, /* answers up to this size are sent in one write */
	WINDOW_UPDATE_BYTES = STREAM_WINDOW / 4,
	FINGERPRINTS_MAX = 256,
};

/** Destination of the answer. */
enum sink_kind { SINK_REMOTE, SINK_LOCAL };

struct sink {
	enum sink_kind kind;
	union {
		struct stream stream;	 /* SINK_REMOTE */
		struct attempt *attempt; /* SINK_LOCAL; one reference until the call ends */
	};
};

/** What has come of the target's answer. */
enum answer_use {
	ANSWER_AWAITED,	  /**< no head yet */
	ANSWER_PASSED_ON, /**< its head was passed on */
	ANSWER_NOT_RUN,	  /**< the target states that it did not run the request */
	ANSWER_WITHHELD,  /**< a refusal without that statement: it is not passed on */
};

/** Whether the target may get the request: decided once, by its worker or by who cancels it. */
enum passing { PASS_OPEN, PASS_BEGUN, PASS_CANCELLED };

/** What the target has been sent of the body of an idempotent request, to send it again. */
struct sent_body {
	struct strbuf bytes;
	size_t offset; /* of the byte that is sent next; within .bytes after a rewind */
	bool too_long; /* for .bytes, which is empty */
};

/** A request that this node passes to its own target. */
struct inbound {
	struct stream_owner owner; /* must be first: the link casts from it */
	struct daemon *daemon;
	struct sink sink;
	struct request_head head;
	struct strbuf strings; /* copies of the head's strings */
	struct queue_entry entry;
	struct pipe *body; /* request body from another node */
	bool has_body;
	apr_pool_t *pool;
	gint cancelled;
	gint passing;		/* atomic: enum passing */
	size_t body_read_bytes; /* bytes read since the last window frame */
	struct sent_body sent_body;
	/* The answer to another node; lock guards credit and cond. */
	struct strbuf frames;
	struct body_sum answer_sum;
	int status;	  /* of the answer whose head was passed on */
	struct lock lock; /* LOCK_PIPE */
	apr_thread_cond_t *cond;
	int64_t credit;
	enum answer_use answer;
	bool reached; /* the request was sent to the target */
};

static struct str copy_str(struct inbound *inbound, struct str s)
{
	size_t offset = inbound->strings.len;

	/* copy_head() reserved the space: the buffer does not move and earlier views stay valid. */
	strbuf_add(&inbound->strings, s);
	return (struct str){ inbound->strings.data + offset, s.len };
}

static void copy_head(struct inbound *inbound, const struct request_head *head)
{
	size_t bytes = head->method.len + head->target.len + 1;

	for (int i = 0; i < head->field_count; i++)
		bytes += head->fields[i].name.len + head->fields[i].value.len;
	strbuf_reserve(&inbound->strings, bytes);
	inbound->head = *head;
	inbound->head.method = copy_str(inbound, head->method);
	inbound->head.target = copy_str(inbound, head->target);
	for (int i = 0; i < head->field_count; i++) {
		inbound->head.fields[i].name = copy_str(inbound, head->fields[i].name);
		inbound->head.fields[i].value = copy_str(inbound, head->fields[i].value);
	}
}

static bool is_nested(struct daemon *daemon, const struct request_head *head)
{
	struct config *config = node_config(daemon->node);
	const struct route *route = config_find_route(config, head->route);
	bool nested = route && config_is_nested(config, route, head->service);

	config_unref(config);
	return nested;
}

static struct inbound *inbound_new(struct daemon *daemon, const struct request_head *head)
{
	struct inbound *inbound = g_new0(struct inbound, 1);
	struct instant now = clock_now();

	inbound->owner.refs = 1;
	inbound->owner.kind = OWNER_INBOUND;
	inbound->daemon = daemon;
	inbound->credit = STREAM_WINDOW;
	apr_pool_create(&inbound->pool, NULL);
	lock_init(&inbound->lock, LOCK_PIPE, inbound->pool);
	apr_thread_cond_create(&inbound->cond, inbound->pool);
	copy_head(inbound, head);
	inbound->entry.tenant = head->tenant;
	inbound->entry.route = head->route;
	inbound->entry.class =
		head->class < CLASS_COUNT ? (enum traffic_class)head->class : CLASS_BACKGROUND;
	inbound->entry.concurrency_percent = head->concurrency_percent;
	inbound->entry.deadline =
		deadline_after(now, head->remaining_us > 0 ? head->remaining_us : 1);
	if (head->has_objective)
		inbound->entry.objective = deadline_after(now, head->objective_remaining_us);
	inbound->entry.no_queue = !head->may_queue;
	inbound->entry.retried = head->retried;
	inbound->entry.nested = is_nested(daemon, head);
	if (head->body_waits)
		inbound->entry.body_bytes =
			head->body_length >= 0 ? head->body_length : (int64_t)STREAM_WINDOW;
	inbound->entry.owner = inbound;
	g_atomic_int_inc(&daemon->inbound_count);
	return inbound;
}

struct inbound *inbound_new_remote(struct daemon *daemon, struct peer_event *event)
{
	struct inbound *inbound = inbound_new(daemon, event->request.head);

	inbound->sink = (struct sink){
		SINK_REMOTE, { .stream = { link_ref(event->request.link), event->request.stream } }
	};
	inbound->body = pipe_new(STREAM_WINDOW, inbound->pool);
	inbound->has_body = event->request.head->body_length != 0;
	return inbound;
}

struct inbound *inbound_new_local(struct daemon *daemon, struct attempt *attempt,
				  const struct request_head *head, bool has_body)
{
	struct inbound *inbound = inbound_new(daemon, head);

	inbound->sink = (struct sink){ SINK_LOCAL, { .attempt = attempt_ref(attempt) } };
	inbound->has_body = has_body;
	return inbound;
}

struct inbound *inbound_ref(struct inbound *inbound)
{
	g_atomic_int_inc(&inbound->owner.refs);
	return inbound;
}

void inbound_unref(struct inbound *inbound)
{
	if (!inbound || !g_atomic_int_dec_and_test(&inbound->owner.refs))
		return;
	g_atomic_int_add(&inbound->daemon->inbound_count, -1);
	if (inbound->sink.kind == SINK_REMOTE)
		link_unref(inbound->sink.stream.link);
	pipe_unref(inbound->body);
	strbuf_clear(&inbound->strings);
	strbuf_clear(&inbound->frames);
	strbuf_clear(&inbound->sent_body.bytes);
	apr_pool_destroy(inbound->pool);
	g_free(inbound);
}

/* Drops the reference to the attempt at the end of the call, which breaks the reference cycle. */
static void release_attempt(struct inbound *inbound)
{
	if (inbound->sink.kind != SINK_LOCAL)
		return;
	attempt_unref(inbound->sink.attempt);
	inbound->sink.attempt = NULL;
}

static void refuse(struct inbound *inbound, enum refusal_kind kind, enum verdict verdict,
		   struct str reason)
{
	struct refusal refusal = { .kind = kind, .verdict = verdict, .reason = reason };

	/* The estimate of a call that was queued is out of date. */
	refusal.expected_us = inbound->entry.queued_at_us ? 0 : inbound->entry.expected_us;
	refusal.target_reached = inbound->reached;

	switch (inbound->sink.kind) {
	case SINK_LOCAL:
		attempt_refused(inbound->sink.attempt, &refusal);
		release_attempt(inbound);
		return;
	case SINK_REMOTE:
		inbound->frames.len = 0;
		wire_put_refusal(&inbound->frames, inbound->sink.stream.id, &refusal);
		stream_send(inbound->sink.stream, &inbound->frames);
		stream_close(inbound->sink.stream);
		return;
	}
	g_assert_not_reached();
}

static void count_refusal(struct daemon *daemon, enum admit_result result)
{
	struct str reason = admit_result_name(result);
	char labels[64];

	g_snprintf(labels, sizeof(labels), "reason=\"%.*s\"", STR_ARG(reason));
	metrics_add(daemon->metrics, STR("godwithitch_target_refusals_total"),
		    str_from_cstr(labels), 1);
}

/* Returns true if the call may run now. Otherwise it was refused, or it was queued and holds a
 * reference until it is dispatched. */
static bool admit(struct inbound *inbound)
{
	enum admit_result result;

	inbound_ref(inbound);
	if (!target_runs_service(inbound->daemon->target, &inbound->head.service)) {
		refuse(inbound, REFUSAL_CLOSED, VERDICT_NOT_RUN, STR("another service is here"));
		inbound_unref(inbound);
		return false;
	}
	result = admit_offer(node_admit(inbound->daemon->node), &inbound->entry, clock_now());
	switch (result) {
	case ADMIT_RUN:
		inbound_unref(inbound);
		return true;
	case ADMIT_QUEUED:
		return false;
	case ADMIT_BUSY:
	case ADMIT_FULL:
	case ADMIT_LATE:
	case ADMIT_COLD:
		count_refusal(inbound->daemon, result);
		refuse(inbound, REFUSAL_BUSY, VERDICT_NOT_RUN, admit_result_name(result));
		inbound_unref(inbound);
		return false;
	case ADMIT_CLOSED:
	case ADMIT_EVACUATED:
		count_refusal(inbound->daemon, result);
		refuse(inbound, REFUSAL_CLOSED, VERDICT_NOT_RUN, admit_result_name(result));
		inbound_unref(inbound);
		return false;
	}
	g_assert_not_reached();
}

void inbound_admit_local(struct inbound *inbound)
{
	if (!admit(inbound))
		return;
	inbound_ref(inbound);
	if (workers_post(inbound->daemon->workers, (struct work){ WORK_INBOUND, inbound }))
		return;
	admit_done(node_admit(inbound->daemon->node), &inbound->entry, SLOT_UNMEASURED, 0);
	refuse(inbound, REFUSAL_BUSY, VERDICT_NOT_RUN, STR("the node is busy"));
	inbound_unref(inbound);
}

bool inbound_cancel(struct inbound *inbound)
{
	bool not_run =
		g_atomic_int_compare_and_exchange(&inbound->passing, PASS_OPEN, PASS_CANCELLED) ||
		g_atomic_int_get(&inbound->passing) == PASS_CANCELLED;

	g_atomic_int_set(&inbound->cancelled, 1);
	if (inbound->body)
		pipe_finish(inbound->body, PIPE_FAILED);
	lock_acquire(&inbound->lock);
	apr_thread_cond_broadcast(inbound->cond);
	lock_release(&inbound->lock);
	return not_run;
}

static void add_credit(struct inbound *inbound, uint64_t bytes)
{
	lock_acquire(&inbound->lock);
	inbound->credit += (int64_t)MIN(bytes, STREAM_WINDOW);
	apr_thread_cond_broadcast(inbound->cond);
	lock_release(&inbound->lock);
}

/* Queues bytes of the request's body. If the sender ignores its window, the call is cancelled once
 * two windows are buffered, so that memory stays bounded. */
static void receive_data(struct inbound *inbound, struct str bytes)
{
	if (pipe_buffered_bytes(inbound->body) + bytes.len <= 2 * STREAM_WINDOW) {
		pipe_write(inbound->body, bytes);
		return;
	}
	inbound_cancel(inbound);
	stream_cancel(inbound->sink.stream);
}

void inbound_on_peer(struct inbound *inbound, struct peer_event *event)
{
	switch (event->kind) {
	case PEER_ADMIT:
		event->wants_run = admit(inbound);
		return;
	case PEER_RUN:
		inbound_run(inbound);
		return;
	case PEER_DATA:
		receive_data(inbound, event->bytes);
		return;
	case PEER_END:
		pipe_finish(inbound->body, PIPE_DONE);
		return;
	case PEER_WINDOW:
		add_credit(inbound, event->consumed);
		return;
	case PEER_LOST:
		inbound_cancel(inbound);
		return;
	case PEER_RELEASED:
		inbound_unref(inbound);
		return;
	case PEER_MESSAGE:
	case PEER_REQUEST:
	case PEER_RESPONSE:
	case PEER_REFUSED:
		return;
	}
	g_assert_not_reached();
}

/* Waits for credit from the entry node. Returns false on cancellation or past the deadline. */
static bool wait_for_credit(struct inbound *inbound)
{
	bool waiting = true;
	bool granted;

	lock_acquire(&inbound->lock);
	while (waiting && inbound->credit <= 0 && !g_atomic_int_get(&inbound->cancelled)) {
		int64_t remaining_us = deadline_remaining_us(inbound->entry.deadline, clock_now());

		waiting = remaining_us > 0 &&
			  (lock_wait(&inbound->lock, inbound->cond, remaining_us) ||
			   deadline_remaining_us(inbound->entry.deadline, clock_now()));
	}
	granted = inbound->credit > 0 && !g_atomic_int_get(&inbound->cancelled);
	lock_release(&inbound->lock);
	return granted;
}

/* Waits until pacing allows this part of a large answer to be sent. Returns false if the call was
 * cancelled. */
static bool wait_for_pacing(struct inbound *inbound, size_t bytes)
{
	struct daemon *daemon = inbound->daemon;
	struct deadline resume_at;
	int64_t wait_us;

	lock_acquire(&daemon->lock);
	wait_us = pace_reserve(&daemon->pace, inbound->answer_sum.length, bytes, clock_now());
	lock_release(&daemon->lock);
	if (wait_us == 0)
		return true;
	resume_at = deadline_after(clock_now(), wait_us);
	lock_acquire(&inbound->lock);
	for (;;) {
		struct instant now = clock_now();

		if (g_atomic_int_get(&inbound->cancelled) || deadline_passed(resume_at, now) ||
		    deadline_passed(inbound->entry.deadline, now))
			break;
		lock_wait(&inbound->lock, inbound->cond, deadline_remaining_us(resume_at, now));
	}
	lock_release(&inbound->lock);
	return !g_atomic_int_get(&inbound->cancelled);
}

/* Waits until the link to the entry node takes more of a large answer: each answer has a window of
 * its own, and a slow node would leave all of them in this one. Returns false if the call was
 * cancelled or its deadline passed. */
static bool wait_for_link(struct inbound *inbound)
{
	while (!g_atomic_int_get(&inbound->cancelled) &&
	       !deadline_passed(inbound->entry.deadline, clock_now()))
		if (stream_wait_room(inbound->sink.stream, LINK_WAIT_US))
			return true;
	return false;
}

static bool send_body(struct inbound *inbound, struct str bytes)
{
	if (!wait_for_credit(inbound) || !wait_for_pacing(inbound, bytes.len))
		return false;
	if (inbound->frames.len + bytes.len > FLUSH_BYTES && !wait_for_link(inbound))
		return false;
	wire_put_data(&inbound->frames, inbound->sink.stream.id, &inbound->answer_sum, bytes);
	lock_acquire(&inbound->lock);
	inbound->credit -= (int64_t)bytes.len;
	lock_release(&inbound->lock);
	/* A small answer is buffered and sent in one write. */
	if (inbound->frames.len > FLUSH_BYTES || inbound->head.body_length < 0)
		stream_send(inbound->sink.stream, &inbound->frames);
	return true;
}

static bool has_field(const struct response_head *head, struct str name)
{
	for (int i = 0; i < head->field_count; i++)
		if (str_equal_nocase(head->fields[i].name, name))
			return true;
	return false;
}

static enum answer_use answer_use_from_head(const struct dialect *dialect,
					    const struct response_head *head)
{
	switch (dialect_answer_statement(dialect, head->status,
					 has_field(head, dialect->not_run))) {
	case STATES_NOT_RUN:
		return ANSWER_NOT_RUN;
	case STATES_NOTHING:
		return ANSWER_WITHHELD;
	case STATES_RAN:
		return ANSWER_PASSED_ON;
	}
	g_assert_not_reached();
}

static bool forward_head(struct inbound *inbound, const struct response_head *head)
{
	inbound->answer = answer_use_from_head(inbound->daemon->dialect, head);
	if (inbound->answer != ANSWER_PASSED_ON)
		return false;
	inbound->status = head->status;
	switch (inbound->sink.kind) {
	case SINK_LOCAL:
		attempt_forward_head(inbound->sink.attempt, head);
		return true;
	case SINK_REMOTE:
		wire_put_response(&inbound->frames, inbound->sink.stream.id, head);
		/* A body of unknown length may take long: the head is not held back for it. */
		if (head->body_length < 0 || head->body_length > FLUSH_BYTES)
			stream_send(inbound->sink.stream, &inbound->frames);
		return true;
	}
	g_assert_not_reached();
}

static bool forward_body(struct inbound *inbound, struct str bytes)
{
	switch (inbound->sink.kind) {
	case SINK_LOCAL:
		return attempt_forward_body(inbound->sink.attempt, bytes, inbound->entry.deadline);
	case SINK_REMOTE:
		return send_body(inbound, bytes);
	}
	g_assert_not_reached();
}

static void send_window_update(struct inbound *inbound, size_t bytes)
{
	struct strbuf payload = { 0 };
	struct strbuf frame = { 0 };

	inbound->body_read_bytes += bytes;
	if (inbound->body_read_bytes < WINDOW_UPDATE_BYTES)
		return;
	/* The start of the body was counted with its slot. */
	admit_count_received(node_admit(inbound->daemon->node), (int64_t)inbound->body_read_bytes,
			     clock_now());
	wire_put_u64(&payload, inbound->body_read_bytes);
	inbound->body_read_bytes = 0;
	wire_put(&frame, FRAME_WINDOW, inbound->sink.stream.id, strbuf_str(&payload));
	stream_send(inbound->sink.stream, &frame);
	strbuf_clear(&payload);
	strbuf_clear(&frame);
}

static void keep_sent(struct sent_body *sent, struct str bytes)
{
	sent->too_long |= sent->bytes.len + bytes.len > TARGET_REWIND_BYTES;
	if (sent->too_long)
		strbuf_clear(&sent->bytes);
	else
		strbuf_add(&sent->bytes, bytes);
	sent->offset += bytes.len;
}

/* Reads what a rewound body has of bytes that were sent before. */
static size_t read_sent(struct sent_body *sent, char *into, size_t cap)
{
	struct str rest = str_sub(strbuf_str(&sent->bytes), sent->offset, cap);

	if (rest.len)
		memcpy(into, rest.data, rest.len);
	sent->offset += rest.len;
	return rest.len;
}

static bool rewind_body(struct inbound *inbound, struct target_event *event)
{
	event->rewound = inbound->head.idempotent && !inbound->sent_body.too_long;
	if (event->rewound)
		inbound->sent_body.offset = 0;
	return true;
}

static bool read_new_body(struct inbound *inbound, struct target_event *event)
{
	enum pipe_end end = PIPE_OPEN;

	switch (inbound->sink.kind) {
	case SINK_LOCAL:
		event->read.len = attempt_read_body(inbound->sink.attempt, event->read.into,
						    event->read.cap, &end, inbound->entry.deadline);
		break;
	case SINK_REMOTE:
		event->read.len = pipe_read_wait(inbound->body, event->read.into, event->read.cap,
						 &end, inbound->entry.deadline);
		send_window_update(inbound, event->read.len);
		break;
	}
	if (inbound->head.idempotent)
		keep_sent(&inbound->sent_body, (struct str){ event->read.into, event->read.len });
	return end != PIPE_FAILED;
}

static bool read_request_body(struct inbound *inbound, struct target_event *event)
{
	event->read.len = read_sent(&inbound->sent_body, event->read.into, event->read.cap);
	return event->read.len || read_new_body(inbound, event);
}

static bool on_target_event(void *context, struct target_event *event)
{
	struct inbound *inbound = context;

	if (g_atomic_int_get(&inbound->cancelled))
		return false;
	switch (event->kind) {
	case TARGET_HEAD:
		return forward_head(inbound, event->head);
	case TARGET_BODY:
		return forward_body(inbound, event->bytes);
	case TARGET_READ_BODY:
		return read_request_body(inbound, event);
	case TARGET_REWIND_BODY:
		return rewind_body(inbound, event);
	case TARGET_CHECK_CALLER:
		return true;
	}
	g_assert_not_reached();
}

static void set_running(struct inbound *inbound, bool running)
{
	struct daemon *daemon = inbound->daemon;

	lock_acquire(&daemon->lock);
	if (running)
		g_ptr_array_add(daemon->running_inbound, inbound);
	else
		g_ptr_array_remove_fast(daemon->running_inbound, inbound);
	lock_release(&daemon->lock);
}

/* Collects the fingerprints of the requests in flight when the target crashed. Returns their
 * number, 0 if this crash is recorded already. */
static int collect_fingerprints(struct daemon *daemon, uint64_t *fingerprints, struct instant now)
{
	int count = 0;

	lock_acquire(&daemon->lock);
	if (daemon->crash_window_ends_at.at_us == 0 ||
	    deadline_passed(daemon->crash_window_ends_at, now)) {
		daemon->crash_window_ends_at = deadline_after(now, CRASH_WINDOW_US);
		for (guint i = 0; i < daemon->running_inbound->len && count < FINGERPRINTS_MAX;
		     i++) {
			const struct inbound *inbound =
				g_ptr_array_index(daemon->running_inbound, i);

			if (inbound->head.fingerprint)
				fingerprints[count++] = inbound->head.fingerprint;
		}
	}
	lock_release(&daemon->lock);
	return count;
}

static void report_crash(struct inbound *inbound)
{
	uint64_t fingerprints[FINGERPRINTS_MAX];
	struct instant now = clock_now();
	int count = collect_fingerprints(inbound->daemon, fingerprints, now);
	struct actions actions = actions_new();

	if (count)
		node_target_crashed(inbound->daemon->node, fingerprints, count, inbound->head.route,
				    now, &actions);
	dispatch_actions(inbound->daemon, &actions);
}

static void send_remote_result(struct inbound *inbound, const struct target_result *result)
{
	struct stream stream = inbound->sink.stream;

	if (result->complete) {
		wire_put_end(&inbound->frames, stream.id, &inbound->answer_sum);
		stream_send(stream, &inbound->frames);
		stream_close(stream);
	} else {
		/* The buffered frames belong to a truncated body; the entry node breaks off its
		 * answer as well. */
		stream_send(stream, &inbound->frames);
		stream_cancel(stream);
	}
}

/* Ends a call whose answer's head was passed on. */
static void end_answer(struct inbound *inbound, const struct target_result *result)
{
	switch (inbound->sink.kind) {
	case SINK_REMOTE:
		send_remote_result(inbound, result);
		return;
	case SINK_LOCAL:
		if (result->complete)
			attempt_end(inbound->sink.attempt);
		else
			attempt_connection_lost(inbound->sink.attempt, VERDICT_RAN);
		release_attempt(inbound);
		return;
	}
	g_assert_not_reached();
}

static void send_result(struct inbound *inbound, const struct target_result *result)
{
	switch (inbound->answer) {
	case ANSWER_AWAITED:
		refuse(inbound,
		       result->outcome == TARGET_UNREACHED ? REFUSAL_CLOSED : REFUSAL_BROKEN,
		       result->verdict,
		       str_from_cstr(result->reason ? result->reason : "no answer"));
		return;
	case ANSWER_NOT_RUN:
		inbound->entry.expected_us = 0;
		refuse(inbound, REFUSAL_BUSY, result->verdict, STR("the target sheds load"));
		return;
	case ANSWER_WITHHELD:
		inbound->entry.expected_us = 0;
		refuse(inbound, REFUSAL_BUSY, VERDICT_MAY_HAVE_RUN,
		       STR("the target refused without saying that it has not run"));
		return;
	case ANSWER_PASSED_ON:
		end_answer(inbound, result);
		return;
	}
	g_assert_not_reached();
}

/* Waits for CRASH_CHECK_US. The call has ended, and its slot is free for others. */
static void wait_for_crash(struct inbound *inbound)
{
	struct deadline until = deadline_after(clock_now(), CRASH_CHECK_US);
	int64_t remaining_us;

	inbound_dispatch_queue(inbound->daemon);
	lock_acquire(&inbound->lock);
	while ((remaining_us = deadline_remaining_us(until, clock_now())) > 0)
		lock_wait(&inbound->lock, inbound->cond, remaining_us);
	lock_release(&inbound->lock);
}

static bool refuses_connections(struct inbound *inbound)
{
	switch (target_probe(inbound->daemon->target)) {
	case TARGET_REFUSES:
		return true;
	case TARGET_ACCEPTS:
	case TARGET_SILENT:
		return false;
	}
	g_assert_not_reached();
}

/* Returns whether the target ended. A connection that broke while the target still listens is a
 * failed call, not a crash. A silent target listens: the kernel refuses connections to a process
 * that has ended. */
static bool is_target_down(struct inbound *inbound, const struct target_result *result)
{
	if (result->misdirected)
		return true;
	switch (result->outcome) {
	case TARGET_CRASHED:
		if (refuses_connections(inbound))
			return true;
		wait_for_crash(inbound);
		return refuses_connections(inbound);
	case TARGET_UNREACHED:
		return !result->silent && refuses_connections(inbound);
	case TARGET_ANSWERED:
	case TARGET_FAILED:
	case TARGET_SHED:
		return false;
	}
	g_assert_not_reached();
}

static void record_outcome(struct inbound *inbound, const struct target_result *result)
{
	enum target_outcome outcome = result->outcome;
	bool target_down = is_target_down(inbound, result);

	if (outcome == TARGET_CRASHED && !target_down)
		outcome = TARGET_FAILED;
	if (outcome == TARGET_CRASHED)
		report_crash(inbound);
	/* The announcement expires only later: the target is down until its next one. */
	if (target_down)
		dispatch_target_down(inbound->daemon);
	node_target_ended(inbound->daemon->node, inbound->head.route, outcome, result->service_us,
			  clock_now());
}

static struct str request_id(const struct inbound *inbound)
{
	struct str name = inbound->daemon->dialect->request_id;

	for (int i = 0; name.len && i < inbound->head.field_count; i++)
		if (str_equal_nocase(inbound->head.fields[i].name, name))
			return inbound->head.fields[i].value;
	return STR("");
}

/* An answer that ended because its caller left is not broken. */
static void log_broken_answer(const struct inbound *inbound, const struct target_result *result)
{
	struct str place = transfer_end_name(result->end);
	char labels[64];

	if (result->complete || result->outcome == TARGET_UNREACHED ||
	    inbound->answer == ANSWER_WITHHELD || g_atomic_int_get(&inbound->cancelled))
		return;
	logger_event(LOG_EVENT_TARGET_ANSWER_BROKEN,
		     "id=%.*s entry=%s place=%.*s status=%d framing=%.*s head_bytes=%zu "
		     "bytes=%ld/%ld verdict=%.*s why=\"%s\"",
		     STR_ARG(request_id(inbound)),
		     inbound->sink.kind == SINK_LOCAL ? "own" : "peer", STR_ARG(place),
		     inbound->status, STR_ARG(head_framing_name(result->framing)),
		     result->head_bytes, result->body_bytes, result->content_length,
		     STR_ARG(verdict_name(result->verdict)), result->reason);
	g_snprintf(labels, sizeof(labels), "place=\"%.*s\"", STR_ARG(place));
	metrics_add(inbound->daemon->metrics, STR("godwithitch_broken_answers_total"),
		    str_from_cstr(labels), 1);
}

static enum slot_outcome slot_outcome_from_result(const struct inbound *inbound,
						  const struct target_result *result)
{
	if (result->misdirected || result->outcome == TARGET_UNREACHED)
		return SLOT_UNMEASURED;
	if (inbound->answer == ANSWER_NOT_RUN || inbound->answer == ANSWER_WITHHELD ||
	    (result->outcome == TARGET_SHED && result->complete))
		return SLOT_SHED;
	/* The service time of a cancelled or failed call is not known. */
	return result->complete ? SLOT_SERVED : SLOT_UNMEASURED;
}

/* Grants a body that waits, now that the call has its slot, and waits for its first part. Returns
 * false if none came: the sender relies on it that such a request is not passed on. */
static bool receive_body(struct inbound *inbound)
{
	struct strbuf payload = { 0 };
	struct strbuf frame = { 0 };

	if (!inbound->head.body_waits)
		return true;
	switch (inbound->sink.kind) {
	case SINK_LOCAL:
		return true;
	case SINK_REMOTE:
		wire_put_u64(&payload, STREAM_WINDOW);
		wire_put(&frame, FRAME_WINDOW, inbound->sink.stream.id, strbuf_str(&payload));
		stream_send(inbound->sink.stream, &frame);
		strbuf_clear(&payload);
		strbuf_clear(&frame);
		return pipe_wait(inbound->body,
				 calls_work_deadline(inbound->daemon, inbound->entry.deadline));
	}
	g_assert_not_reached();
}

/* Ends a call that has a slot and was not passed to the target. */
static void give_back_slot(struct inbound *inbound, enum refusal_kind kind, struct str reason)
{
	admit_done(node_admit(inbound->daemon->node), &inbound->entry, SLOT_UNMEASURED, 0);
	/* The estimate says nothing about the slots. */
	inbound->entry.expected_us = 0;
	refuse(inbound, kind, VERDICT_NOT_RUN, reason);
}

/* Returns whether the call may be passed on now: nothing of it has reached the target yet. */
static bool may_still_run(struct inbound *inbound)
{
	struct daemon *daemon = inbound->daemon;

	return target_runs_service(daemon->target, &inbound->head.service) &&
	       admit_is_worth_running(node_admit(daemon->node), &inbound->entry, clock_now());
}

static void run_at_target(struct inbound *inbound)
{
	struct daemon *daemon = inbound->daemon;
	struct target_call_options options = { .head = &inbound->head,
					       .has_body = inbound->has_body,
					       .handle = on_target_event,
					       .context = inbound };
	struct target_result result;

	/* Another target may have started on this VM while the call was queued. */
	if (!target_runs_service(daemon->target, &inbound->head.service)) {
		give_back_slot(inbound, REFUSAL_CLOSED, STR("another service is here"));
		return;
	}
	if (!receive_body(inbound)) {
		give_back_slot(inbound, REFUSAL_BUSY, STR("the body did not come in time"));
		return;
	}
	/* The wait for the body may have taken most of the time, and another target may be there.
	 */
	if (inbound->head.body_waits && !may_still_run(inbound)) {
		give_back_slot(inbound, REFUSAL_BUSY, STR("too late once the body had come"));
		return;
	}
	inbound->entry.deadline = calls_work_deadline(daemon, inbound->entry.deadline);
	options.deadline = inbound->entry.deadline;
	inbound->reached = true;
	set_running(inbound, true);
	result = target_call(daemon->target, &options);
	log_broken_answer(inbound, &result);
	send_result(inbound, &result);
	admit_done(node_admit(daemon->node), &inbound->entry,
		   slot_outcome_from_result(inbound, &result), result.service_us);
	record_outcome(inbound, &result);
	set_running(inbound, false);
}

/* Returns the next call for a free slot, with its reference, or NULL. Refuses queued calls that
 * can't run in time. */
static struct inbound *next_dispatch(struct daemon *daemon)
{
	for (;;) {
		struct admit_dispatch dispatch = admit_next(node_admit(daemon->node), clock_now());
		struct inbound *inbound;

		switch (dispatch.kind) {
		case DISPATCH_NONE:
			return NULL;
		case DISPATCH_RUN:
			return dispatch.entry->owner;
		case DISPATCH_LATE:
			inbound = dispatch.entry->owner;
			refuse(inbound, REFUSAL_BUSY, VERDICT_NOT_RUN, STR("no slot in time"));
			inbound_unref(inbound);
			break;
		}
	}
}

void inbound_run(struct inbound *inbound)
{
	struct daemon *daemon = inbound->daemon;

	/* The worker that frees a slot runs the next queued call itself, without a hand-off. */
	while (inbound) {
		if (!g_atomic_int_compare_and_exchange(&inbound->passing, PASS_OPEN, PASS_BEGUN)) {
			admit_done(node_admit(daemon->node), &inbound->entry, SLOT_UNMEASURED, 0);
			release_attempt(inbound);
		} else {
			run_at_target(inbound);
		}
		inbound_unref(inbound);
		inbound = next_dispatch(daemon);
	}
}

void inbound_dispatch_queue(struct daemon *daemon)
{
	struct inbound *inbound;

	/* A cold target takes several calls at once after a pause. */
	while ((inbound = next_dispatch(daemon)) != NULL) {
		if (workers_post(daemon->workers, (struct work){ WORK_INBOUND, inbound }))
			continue;
		inbound_run(inbound);
		return;
	}
}
