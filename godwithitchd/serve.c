/*
 * Calls for this node's own target: admission, the exchange with the target, and the answer on
 * its way to the entry, which is another node or this one.
 */
#include "base/logger.h"
#include "godwithitchd/daemon.h"

#define CRASH_WINDOW_US (2 * US_PER_S) /* calls that break within it broke by one crash */

enum {
	FLUSH_BYTES = 16 << 10, /* an answer up to this goes out in one piece */
	WINDOW_STEP = STREAM_WINDOW / 4,
	FINGERPRINTS_MAX = 256,
};

/** Where the answer goes. */
enum sink_kind { SINK_REMOTE, SINK_LOCAL };

struct sink {
	enum sink_kind kind;
	union {
		struct stream stream;	 /* SINK_REMOTE */
		struct attempt *attempt; /* SINK_LOCAL; a reference until the call is over */
	};
};

struct serve {
	struct stream_owner owner; /* first: the link knows it by this */
	struct daemon *daemon;
	struct sink sink;
	struct request_head head;
	struct strbuf text; /* the head's strings */
	struct ticket ticket;
	struct pipe *body; /* from another node */
	bool has_body;
	apr_pool_t *pool;
	gint cancelled;
	size_t body_taken; /* since the last window frame */
	/* The answer to another node. */
	struct strbuf frames;
	struct body_sum sent;
	struct lock lock; /* LOCK_PIPE */
	apr_thread_cond_t *changed;
	int64_t credit;
	bool has_head;
	bool shed;    /* the target answered that it did not run it */
	bool reached; /* the request was sent to the target */
};

static struct str keep(struct serve *serve, struct str s)
{
	size_t at = serve->text.len;

	/* The room was reserved, so that the bytes don't move. */
	strbuf_add(&serve->text, s);
	return (struct str){ serve->text.data + at, s.len };
}

static void copy_head(struct serve *serve, const struct request_head *head)
{
	size_t bytes = head->method.len + head->target.len + 1;

	for (int i = 0; i < head->field_count; i++)
		bytes += head->fields[i].name.len + head->fields[i].value.len;
	strbuf_reserve(&serve->text, bytes);
	serve->head = *head;
	serve->head.method = keep(serve, head->method);
	serve->head.target = keep(serve, head->target);
	for (int i = 0; i < head->field_count; i++) {
		serve->head.fields[i].name = keep(serve, head->fields[i].name);
		serve->head.fields[i].value = keep(serve, head->fields[i].value);
	}
}

static struct serve *serve_new(struct daemon *daemon, const struct request_head *head)
{
	struct serve *serve = g_new0(struct serve, 1);
	struct instant now = clock_now();

	serve->owner.refs = 1;
	serve->owner.kind = OWNER_SERVE;
	serve->daemon = daemon;
	serve->credit = STREAM_WINDOW;
	apr_pool_create(&serve->pool, NULL);
	lock_init(&serve->lock, LOCK_PIPE, serve->pool);
	apr_thread_cond_create(&serve->changed, serve->pool);
	copy_head(serve, head);
	serve->ticket.tenant = head->tenant;
	serve->ticket.route = head->route;
	serve->ticket.class =
		head->class < CLASS_COUNT ? (enum traffic_class)head->class : CLASS_BACKGROUND;
	serve->ticket.concurrency_percent = head->concurrency_percent;
	serve->ticket.deadline = deadline_after(now, head->left_us > 0 ? head->left_us : 1);
	if (head->has_objective)
		serve->ticket.objective = deadline_after(now, head->objective_us);
	serve->ticket.now_or_never = !head->may_queue;
	serve->ticket.returned = head->returned;
	serve->ticket.owner = serve;
	g_atomic_int_inc(&daemon->serving);
	return serve;
}

struct serve *serve_new_remote(struct daemon *daemon, struct peer_event *event)
{
	struct serve *serve = serve_new(daemon, event->request.head);

	serve->sink = (struct sink){
		SINK_REMOTE, { .stream = { link_ref(event->request.link), event->request.stream } }
	};
	serve->body = pipe_new(STREAM_WINDOW, serve->pool);
	serve->has_body = event->request.head->body_length != 0;
	return serve;
}

struct serve *serve_new_local(struct daemon *daemon, struct attempt *attempt,
			      const struct request_head *head, bool has_body)
{
	struct serve *serve = serve_new(daemon, head);

	serve->sink = (struct sink){ SINK_LOCAL, { .attempt = attempt_ref(attempt) } };
	serve->has_body = has_body;
	return serve;
}

struct serve *serve_ref(struct serve *serve)
{
	g_atomic_int_inc(&serve->owner.refs);
	return serve;
}

void serve_unref(struct serve *serve)
{
	if (!serve || !g_atomic_int_dec_and_test(&serve->owner.refs))
		return;
	g_atomic_int_add(&serve->daemon->serving, -1);
	if (serve->sink.kind == SINK_REMOTE)
		link_unref(serve->sink.stream.link);
	pipe_unref(serve->body);
	strbuf_clear(&serve->text);
	strbuf_clear(&serve->frames);
	apr_pool_destroy(serve->pool);
	g_free(serve);
}

/* The call is over; the attempt and the serve no longer hold each other. */
static void release_attempt(struct serve *serve)
{
	if (serve->sink.kind != SINK_LOCAL)
		return;
	attempt_unref(serve->sink.attempt);
	serve->sink.attempt = NULL;
}

static void refuse(struct serve *serve, enum refusal_kind kind, enum verdict verdict,
		   struct str reason)
{
	struct refusal refusal = { .kind = kind, .verdict = verdict, .reason = reason };

	/* Of calls that waited and had no turn the expectation is long over. */
	refusal.expected_us = serve->ticket.queued_at_us ? 0 : serve->ticket.expected_us;
	refusal.reached = serve->reached;

	switch (serve->sink.kind) {
	case SINK_LOCAL:
		attempt_refused(serve->sink.attempt, &refusal);
		release_attempt(serve);
		return;
	case SINK_REMOTE:
		serve->frames.len = 0;
		wire_put_refusal(&serve->frames, serve->sink.stream.id, &refusal);
		stream_send(serve->sink.stream, &serve->frames);
		stream_close(serve->sink.stream);
		return;
	}
	g_assert_not_reached();
}

/* True if the call is to run now; a queued one keeps a reference for its turn. */
static bool admit(struct serve *serve)
{
	enum admit_result result;

	serve_ref(serve);
	if (!target_serves(serve->daemon->target, &serve->head.service)) {
		refuse(serve, REFUSAL_CLOSED, VERDICT_NOT_RUN, STR("another service is here"));
		serve_unref(serve);
		return false;
	}
	result = admit_offer(node_admit(serve->daemon->node), &serve->ticket, clock_now());
	switch (result) {
	case ADMIT_RUN:
		serve_unref(serve);
		return true;
	case ADMIT_QUEUED:
		return false;
	case ADMIT_BUSY:
	case ADMIT_FULL:
	case ADMIT_LATE:
	case ADMIT_CLOSED:
		refuse(serve, result == ADMIT_CLOSED ? REFUSAL_CLOSED : REFUSAL_BUSY,
		       VERDICT_NOT_RUN, admit_result_name(result));
		serve_unref(serve);
		return false;
	}
	g_assert_not_reached();
}

void serve_admit_local(struct serve *serve)
{
	if (!admit(serve))
		return;
	serve_ref(serve);
	if (workers_post(serve->daemon->workers, (struct work){ WORK_SERVE, serve }))
		return;
	admit_done(node_admit(serve->daemon->node), &serve->ticket, SLOT_UNUSED, 0);
	refuse(serve, REFUSAL_BUSY, VERDICT_NOT_RUN, STR("the node is busy"));
	serve_unref(serve);
}

void serve_cancel(struct serve *serve)
{
	g_atomic_int_set(&serve->cancelled, 1);
	if (serve->body)
		pipe_finish(serve->body, PIPE_FAILED);
	lock_acquire(&serve->lock);
	apr_thread_cond_broadcast(serve->changed);
	lock_release(&serve->lock);
}

static void add_credit(struct serve *serve, uint64_t bytes)
{
	lock_acquire(&serve->lock);
	serve->credit += (int64_t)MIN(bytes, STREAM_WINDOW);
	apr_thread_cond_broadcast(serve->changed);
	lock_release(&serve->lock);
}

/* A sender keeps to its window; one that does not is cut off before it takes the memory. */
static void take_data(struct serve *serve, struct str bytes)
{
	if (pipe_held(serve->body) + bytes.len <= 2 * STREAM_WINDOW) {
		pipe_put(serve->body, bytes);
		return;
	}
	serve_cancel(serve);
	stream_cancel(serve->sink.stream);
}

void serve_on_peer(struct serve *serve, struct peer_event *event)
{
	switch (event->kind) {
	case PEER_ADMIT:
		event->run = admit(serve);
		return;
	case PEER_RUN:
		serve_run(serve);
		return;
	case PEER_DATA:
		take_data(serve, event->bytes);
		return;
	case PEER_END:
		pipe_finish(serve->body, PIPE_DONE);
		return;
	case PEER_WINDOW:
		add_credit(serve, event->taken);
		return;
	case PEER_LOST:
		serve_cancel(serve);
		return;
	case PEER_RELEASED:
		serve_unref(serve);
		return;
	case PEER_MESSAGE:
	case PEER_REQUEST:
	case PEER_RESPONSE:
	case PEER_REFUSED:
		return;
	}
	g_assert_not_reached();
}

/* Waits until the entry can take more; false if the call is given up. */
static bool wait_credit(struct serve *serve)
{
	bool waiting = true;
	bool good;

	lock_acquire(&serve->lock);
	while (waiting && serve->credit <= 0 && !g_atomic_int_get(&serve->cancelled)) {
		int64_t left_us = deadline_left_us(serve->ticket.deadline, clock_now());

		waiting = left_us > 0 && (lock_wait(&serve->lock, serve->changed, left_us) ||
					  deadline_left_us(serve->ticket.deadline, clock_now()));
	}
	good = serve->credit > 0 && !g_atomic_int_get(&serve->cancelled);
	lock_release(&serve->lock);
	return good;
}

/* Waits until the VM's link has room for a part of a large answer; false if the call is given up.
 */
static bool wait_pace(struct serve *serve, size_t bytes)
{
	struct daemon *daemon = serve->daemon;
	struct deadline go_at;
	int64_t wait_us;

	lock_acquire(&daemon->lock);
	wait_us = pace_take(&daemon->pace, serve->sent.length, bytes, clock_now());
	lock_release(&daemon->lock);
	if (wait_us == 0)
		return true;
	go_at = deadline_after(clock_now(), wait_us);
	lock_acquire(&serve->lock);
	for (;;) {
		struct instant now = clock_now();

		if (g_atomic_int_get(&serve->cancelled) || deadline_passed(go_at, now) ||
		    deadline_passed(serve->ticket.deadline, now))
			break;
		lock_wait(&serve->lock, serve->changed, deadline_left_us(go_at, now));
	}
	lock_release(&serve->lock);
	return !g_atomic_int_get(&serve->cancelled);
}

static bool send_body(struct serve *serve, struct str bytes)
{
	if (!wait_credit(serve) || !wait_pace(serve, bytes.len))
		return false;
	wire_put_data(&serve->frames, serve->sink.stream.id, &serve->sent, bytes);
	lock_acquire(&serve->lock);
	serve->credit -= (int64_t)bytes.len;
	lock_release(&serve->lock);
	/* A small answer waits for its end, to go out in one piece. */
	if (serve->frames.len > FLUSH_BYTES || serve->head.body_length < 0)
		stream_send(serve->sink.stream, &serve->frames);
	return true;
}

/* A target that sheds, or that is another one, may say that it ran nothing of the request. */
static bool says_not_run(const struct dialect *dialect, const struct response_head *head)
{
	if (dialect->misdirected_status && head->status == dialect->misdirected_status)
		return true;
	for (int i = 0; i < head->field_count; i++)
		if (str_equal_nocase(head->fields[i].name, dialect->not_run))
			return true;
	return false;
}

static bool give_head(struct serve *serve, const struct response_head *head)
{
	serve->shed = says_not_run(serve->daemon->dialect, head);
	if (serve->shed)
		return false;
	serve->has_head = true;
	switch (serve->sink.kind) {
	case SINK_LOCAL:
		attempt_head(serve->sink.attempt, head);
		return true;
	case SINK_REMOTE:
		wire_put_response(&serve->frames, serve->sink.stream.id, head);
		/* Without a length the body may take its time. */
		if (head->body_length < 0 || head->body_length > FLUSH_BYTES)
			stream_send(serve->sink.stream, &serve->frames);
		return true;
	}
	g_assert_not_reached();
}

static bool give_body(struct serve *serve, struct str bytes)
{
	switch (serve->sink.kind) {
	case SINK_LOCAL:
		return attempt_body_wait(serve->sink.attempt, bytes, serve->ticket.deadline);
	case SINK_REMOTE:
		return send_body(serve, bytes);
	}
	g_assert_not_reached();
}

static void tell_taken(struct serve *serve, size_t bytes)
{
	struct strbuf taken = { 0 };
	struct strbuf frame = { 0 };

	serve->body_taken += bytes;
	if (serve->body_taken < WINDOW_STEP)
		return;
	wire_put_u64(&taken, serve->body_taken);
	serve->body_taken = 0;
	wire_put(&frame, FRAME_WINDOW, serve->sink.stream.id, strbuf_str(&taken));
	stream_send(serve->sink.stream, &frame);
	strbuf_clear(&taken);
	strbuf_clear(&frame);
}

static bool take_body(struct serve *serve, struct target_event *event)
{
	enum pipe_end end = PIPE_OPEN;

	switch (serve->sink.kind) {
	case SINK_LOCAL:
		event->wants.len =
			attempt_take_body(serve->sink.attempt, event->wants.into, event->wants.cap,
					  &end, serve->ticket.deadline);
		break;
	case SINK_REMOTE:
		event->wants.len = pipe_take_wait(serve->body, event->wants.into, event->wants.cap,
						  &end, serve->ticket.deadline);
		tell_taken(serve, event->wants.len);
		break;
	}
	return end != PIPE_FAILED;
}

static bool on_target(void *context, struct target_event *event)
{
	struct serve *serve = context;

	if (g_atomic_int_get(&serve->cancelled))
		return false;
	switch (event->kind) {
	case TARGET_HEAD:
		return give_head(serve, event->head);
	case TARGET_BODY:
		return give_body(serve, event->bytes);
	case TARGET_WANTS_BODY:
		return take_body(serve, event);
	case TARGET_CHECK:
		return true;
	}
	g_assert_not_reached();
}

static void set_running(struct serve *serve, bool running)
{
	struct daemon *daemon = serve->daemon;

	lock_acquire(&daemon->lock);
	if (running)
		g_ptr_array_add(daemon->running, serve);
	else
		g_ptr_array_remove_fast(daemon->running, serve);
	lock_release(&daemon->lock);
}

/* The fingerprints in flight when the target crashed; 0 if this crash is noted already. */
static int crash_marks(struct daemon *daemon, uint64_t *marks, struct instant now)
{
	int count = 0;

	lock_acquire(&daemon->lock);
	if (daemon->crash_noted_until.at_us == 0 ||
	    deadline_passed(daemon->crash_noted_until, now)) {
		daemon->crash_noted_until = deadline_after(now, CRASH_WINDOW_US);
		for (guint i = 0; i < daemon->running->len && count < FINGERPRINTS_MAX; i++) {
			const struct serve *serve = g_ptr_array_index(daemon->running, i);

			if (serve->head.fingerprint)
				marks[count++] = serve->head.fingerprint;
		}
	}
	lock_release(&daemon->lock);
	return count;
}

static void note_crash(struct serve *serve)
{
	uint64_t marks[FINGERPRINTS_MAX];
	struct instant now = clock_now();
	int count = crash_marks(serve->daemon, marks, now);
	struct actions actions = actions_new();

	if (count)
		node_target_crashed(serve->daemon->node, marks, count, serve->head.route, now,
				    &actions);
	bridge_carry_out(serve->daemon, &actions);
}

static void finish_remote(struct serve *serve, const struct target_result *result)
{
	struct stream stream = serve->sink.stream;

	if (result->whole) {
		wire_put_end(&serve->frames, stream.id, &serve->sent);
		stream_send(stream, &serve->frames);
		stream_close(stream);
	} else {
		/* What stands in frames belongs to a cut body; the entry cuts it visibly. */
		stream_send(stream, &serve->frames);
		stream_cancel(stream);
	}
}

static void finish(struct serve *serve, const struct target_result *result)
{
	if (serve->shed) {
		serve->ticket.expected_us = 0;
		refuse(serve, REFUSAL_BUSY, VERDICT_NOT_RUN, STR("the target sheds load"));
		return;
	}
	if (!serve->has_head) {
		refuse(serve, result->outcome == TARGET_UNREACHED ? REFUSAL_CLOSED : REFUSAL_BROKEN,
		       result->verdict,
		       str_from_cstr(result->reason ? result->reason : "no answer"));
		return;
	}
	switch (serve->sink.kind) {
	case SINK_REMOTE:
		finish_remote(serve, result);
		return;
	case SINK_LOCAL:
		if (result->whole)
			attempt_end(serve->sink.attempt);
		else
			attempt_lost(serve->sink.attempt, VERDICT_RAN);
		release_attempt(serve);
		return;
	}
	g_assert_not_reached();
}

static void count_outcome(struct serve *serve, const struct target_result *result)
{
	enum target_outcome outcome = result->outcome;
	/* A connection that broke while the target still listens is a failed call, no crash. */
	bool broken = outcome == TARGET_CRASHED || outcome == TARGET_UNREACHED;
	bool gone = result->misdirected || (broken && !target_listens(serve->daemon->target));

	if (outcome == TARGET_CRASHED && !gone)
		outcome = TARGET_FAILED;
	if (outcome == TARGET_CRASHED)
		note_crash(serve);
	/* Its announcement would lapse only later; until it announces itself again it is down. */
	if (gone)
		bridge_target_gone(serve->daemon);
	node_target_ended(serve->daemon->node, serve->head.route, outcome, result->service_us,
			  clock_now());
}

static enum slot_use slot_use(const struct serve *serve, const struct target_result *result)
{
	if (result->misdirected || result->outcome == TARGET_UNREACHED)
		return SLOT_UNUSED;
	if (serve->shed || (result->outcome == TARGET_SHED && result->whole))
		return SLOT_SHED;
	/* How long the caller of a call that was given up would have waited is not known. */
	return result->whole ? SLOT_SERVED : SLOT_UNUSED;
}

static void exchange(struct serve *serve)
{
	struct daemon *daemon = serve->daemon;
	struct target_call_options options = { .head = &serve->head,
					       .has_body = serve->has_body,
					       .deadline = serve->ticket.deadline,
					       .handle = on_target,
					       .context = serve };
	struct target_result result;

	/* While it waited, another target may have come to this VM. */
	if (!target_serves(daemon->target, &serve->head.service)) {
		admit_done(node_admit(daemon->node), &serve->ticket, SLOT_UNUSED, 0);
		refuse(serve, REFUSAL_CLOSED, VERDICT_NOT_RUN, STR("another service is here"));
		return;
	}
	serve->reached = true;
	set_running(serve, true);
	result = target_call(daemon->target, &options);
	finish(serve, &result);
	count_outcome(serve, &result);
	set_running(serve, false);
	admit_done(node_admit(daemon->node), &serve->ticket, slot_use(serve, &result),
		   result.service_us);
}

/* The next call for a free slot, with its reference; late ones are refused on the way. */
static struct serve *next_turn(struct daemon *daemon)
{
	for (;;) {
		struct admit_turn turn = admit_next(node_admit(daemon->node), clock_now());
		struct serve *serve;

		switch (turn.kind) {
		case TURN_NONE:
			return NULL;
		case TURN_RUN:
			return turn.ticket->owner;
		case TURN_LATE:
			serve = turn.ticket->owner;
			refuse(serve, REFUSAL_BUSY, VERDICT_NOT_RUN, STR("no slot in time"));
			serve_unref(serve);
			break;
		}
	}
}

void serve_run(struct serve *serve)
{
	struct daemon *daemon = serve->daemon;

	/* The worker that frees a slot runs what waits for it: no hand-off. */
	while (serve) {
		if (g_atomic_int_get(&serve->cancelled)) {
			admit_done(node_admit(daemon->node), &serve->ticket, SLOT_UNUSED, 0);
			release_attempt(serve);
		} else {
			exchange(serve);
		}
		serve_unref(serve);
		serve = next_turn(daemon);
	}
}

void serve_turns(struct daemon *daemon)
{
	struct serve *serve = next_turn(daemon);

	if (serve && !workers_post(daemon->workers, (struct work){ WORK_SERVE, serve }))
		serve_run(serve);
}
