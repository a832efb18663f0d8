/*
 * Calls from this node's callers: route, choice of a target, attempts, and the answer to the
 * caller.
 */
#include <string.h>

#include "base/logger.h"
#include "base/rng.h"
#include "godwithitchd/calls.h"

enum { WINDOW_UPDATE_BYTES = STREAM_WINDOW / 4 /* drained bytes per window frame */ };

void call_unref(struct call *call)
{
	if (!g_atomic_int_dec_and_test(&call->refs))
		return;
	caller_call_unref(call->caller);
	config_unref(call->config);
	lock_destroy(&call->lock);
	apr_pool_destroy(call->pool);
	g_free(call);
}

uint64_t call_placement_point(struct daemon *daemon, struct str key)
{
	uint64_t point;

	if (key.len)
		return rng_mix(str_hash(key, 1));
	lock_acquire(&daemon->lock);
	point = daemon->next_point++;
	lock_release(&daemon->lock);
	return rng_mix(point);
}

void call_count_sent(const struct call *call, size_t bytes)
{
	struct daemon *daemon = call->daemon;

	lock_acquire(&daemon->lock);
	pace_count(&daemon->pace, bytes, clock_now());
	lock_release(&daemon->lock);
}

struct placement_inputs call_placement_inputs(const struct call *call, struct instant now)
{
	struct placement_inputs inputs = { .node_is_current = node_is_current(call->daemon->node) };

	inputs.remaining_us =
		deadline_remaining_us(calls_work_deadline(call->daemon, call->deadline), now);
	inputs.objective_remaining_us = call->objective.at_us
						? deadline_remaining_us(call->objective, now)
						: inputs.remaining_us;
	if (call->route) {
		struct traffic *traffic = node_traffic(call->daemon->node);

		inputs.answer_bytes = traffic_answer_bytes(traffic, call->route->name);
		inputs.remote_probability = traffic_remote_probability(traffic, call->route->name);
		inputs.round_trip_us = traffic_round_trip_us(traffic, call->route->name, now);
	}
	return inputs;
}

static struct str tenant_text(const struct route *route, const struct caller_call *caller)
{
	struct str tenant = STR("");

	if (route->tenant_header.len)
		tenant = caller_field(caller, route->tenant_header);
	for (size_t i = 0; i < tenant.len; i++)
		if (!g_ascii_isalnum(tenant.data[i]) && !strchr("-_.", tenant.data[i]))
			return STR("other");
	return tenant.len ? tenant : STR("none");
}

static uint64_t request_fingerprint(const struct route *route, const struct caller_call *caller,
				    struct str key)
{
	uint64_t hash = str_hash(label_str(&route->name), 0);
	const struct caller_body *body = caller_body(caller);

	if (key.len)
		return str_hash(key, hash);
	switch (body->kind) {
	case CALLER_BODY_WHOLE:
		hash = str_hash(caller_method(caller), hash);
		hash = str_hash(caller_target(caller), hash);
		return str_hash(strbuf_str(&body->whole), hash);
	case CALLER_BODY_STREAMED:
		/* It is large and not in memory as a whole: its request gets no fingerprint. */
		return 0;
	}
	g_assert_not_reached();
}

/* Returns the earlier of the route's and the caller's deadline: a target that makes calls itself
 * passes on the deadline of the call that it handles. */
static struct deadline make_deadline(const struct dialect *dialect, const struct route *route,
				     const struct caller_call *caller, struct instant now)
{
	int64_t remaining_us = route->timeout_us;
	int64_t requested_ms;

	if (str_to_int64(caller_field(caller, dialect->deadline_ms), &requested_ms) &&
	    requested_ms >= 0 && requested_ms < remaining_us / US_PER_MS)
		remaining_us = requested_ms * US_PER_MS;
	/* With no time left, the deadline is one microsecond from now: 0 stands for no deadline. */
	return deadline_after(now, remaining_us > 0 ? remaining_us : 1);
}

static struct call *call_new(struct daemon *daemon, struct caller_call *caller)
{
	struct call *call = g_new0(struct call, 1);

	call->refs = 1;
	call->daemon = daemon;
	call->caller = caller_call_ref(caller);
	call->knowledge = node_access_knowledge(daemon->node, clock_now());
	call->config = node_config(daemon->node);
	call->started_us = clock_now().mono_us;
	apr_pool_create(&call->pool, NULL);
	lock_init(&call->lock, LOCK_CALLS, call->pool);
	return call;
}

static struct attempt *attempt_new(struct call *call, uint64_t target)
{
	struct attempt *attempt = g_new0(struct attempt, 1);

	attempt->owner.refs = 1;
	attempt->owner.kind = OWNER_ATTEMPT;
	g_atomic_int_inc(&call->refs);
	attempt->call = call;
	attempt->target = target;
	return attempt;
}

/* Makes an attempt the call's current one. Returns false if the call was abandoned or refused
 * meanwhile, so that the attempt may not be sent. */
static bool begin_attempt(struct call *call, struct attempt *attempt)
{
	struct attempt *old = NULL;
	bool begun;

	lock_acquire(&call->lock);
	begun = !call->abandoned && attempt_record_begin(&call->record);
	if (begun) {
		old = call->current;
		call->current = attempt_ref(attempt);
	}
	lock_release(&call->lock);
	attempt_unref(old);
	return begun;
}

/* Whether a caller's field does not reach the target: the node sets it, or it holds the key. */
static bool is_withheld(const struct call *call, struct str name)
{
	const struct dialect *dialect = call->daemon->dialect;

	if (dialect->caller_service.len && str_equal_nocase(name, dialect->caller_service))
		return true;
	return call->config->has_tenants && (str_equal_nocase(name, STR("Authorization")) ||
					     str_equal_nocase(name, dialect->tenant));
}

static void set_field(struct request_head *head, struct str name, struct str value)
{
	if (name.len && value.len && head->field_count < FIELDS_MAX)
		head->fields[head->field_count++] = (struct field){ name, value };
}

static void fill_request_head(struct call *call, struct request_head *head, struct instant now)
{
	const struct dialect *dialect = call->daemon->dialect;
	int count;
	const struct field *fields = caller_fields(call->caller, &count);

	for (int i = 0; i < count; i++)
		if (!is_withheld(call, fields[i].name))
			head->fields[head->field_count++] = fields[i];
	set_field(head, dialect->caller_service, label_str(&call->daemon->settings.service));
	if (call->key_tenant)
		set_field(head, dialect->tenant, label_str(&call->tenant));
	head->method = caller_method(call->caller);
	head->target = caller_target(call->caller);
	head->route = call->route->name;
	head->tenant = call->tenant;
	head->class = call->class;
	head->idempotent = call->route->repeat == REPEAT_IDEMPOTENT;
	head->concurrency_percent = call->route->concurrency_percent;
	head->remaining_us =
		deadline_remaining_us(calls_work_deadline(call->daemon, call->deadline), now);
	head->has_objective = call->objective.at_us != 0;
	head->objective_remaining_us = call->objective.at_us - now.mono_us;
	head->may_queue = call->placement.may_queue;
	head->retried = call->retried;
	head->service = call->service;
	head->body_length = caller_body_length(call->caller);
	head->fingerprint = call->attributes.fingerprint;
}

enum start_result { START_OK, START_NO_LINK };

/* Larger bodies wait until the call has a slot: 96 offers a second with bodies of 60 KB fill the
 * links of five targets at 10 Mbit/s, and the bodies of refused offers are of no use. */
enum { HEAD_BODY_BYTES = 8 << 10 };

/* A whole body goes with the request, beyond the stream's credit. */
G_STATIC_ASSERT((size_t)SMALL_BODY_BYTES <= (size_t)STREAM_WINDOW);

static enum start_result start_remote(struct call *call, struct attempt *attempt,
				      struct request_head *head)
{
	const struct caller_body *body = caller_body(call->caller);
	const struct str *sent = NULL;
	struct str whole = { 0 };

	switch (body->kind) {
	case CALLER_BODY_WHOLE:
		/* An empty body is passed as well: peers_call() then also sends the end of the
		 * request. */
		whole = strbuf_str(&body->whole);
		sent = &whole;
		head->body_waits = whole.len > HEAD_BODY_BYTES;
		break;
	case CALLER_BODY_STREAMED:
		head->body_waits = true;
		break;
	}
	if (!peers_call(call->daemon->peers, attempt->target, &attempt->owner, head, sent,
			&attempt->stream))
		return START_NO_LINK;
	call_count_sent(call, head->target.len + (head->body_waits ? 0 : whole.len));
	attempt_begin_upload(attempt, head->body_waits);
	return START_OK;
}

static bool has_body(const struct caller_body *body)
{
	switch (body->kind) {
	case CALLER_BODY_WHOLE:
		return body->whole.len > 0;
	case CALLER_BODY_STREAMED:
		return true;
	}
	g_assert_not_reached();
}

static void start_local(struct call *call, struct attempt *attempt, const struct request_head *head)
{
	attempt->inbound =
		inbound_new_local(call->daemon, attempt, head, has_body(caller_body(call->caller)));
	inbound_admit_local(attempt->inbound);
}

static enum start_result start_attempt(struct call *call, uint64_t target, struct instant now)
{
	struct attempt *attempt = attempt_new(call, target);
	struct request_head *head = g_new0(struct request_head, 1);
	enum start_result result = START_OK;

	fill_request_head(call, head, now);
	attempt->started_us = now.mono_us;
	call->last_target = target;
	call->offers++;
	if (!begin_attempt(call, attempt)) {
		if (attempt_finish(attempt))
			attempt_record_outcome(attempt, CALL_REFUSED);
		/* The key of a call that was never sent is free again. */
		call_refuse(call, REFUSED_NO_TARGET, STR("the caller has left"));
	} else if (target == peers_self(call->daemon->peers)) {
		start_local(call, attempt, head);
	} else {
		result = start_remote(call, attempt, head);
	}
	if (result == START_NO_LINK && attempt_finish(attempt)) {
		attempt_settle(attempt, VERDICT_NOT_RUN);
		attempt_record_outcome(attempt, CALL_BROKEN);
	}
	attempt_unref(attempt);
	g_free(head);
	return result;
}

void call_exclude_target(struct call *call, uint64_t target)
{
	if (call->attributes.avoid_count < CHOICE_AVOID_MAX)
		call->attributes.avoid[call->attributes.avoid_count++] = target;
}

int call_attempts_max(const struct call *call)
{
	return call->route->attempts ? call->route->attempts : ATTEMPTS_DEFAULT;
}

/* Chooses the target of the next offer. Returns false if no further offer is made and the call was
 * answered. */
static bool choose_next_target(struct call *call, struct choice *choice, struct instant now)
{
	struct placement_inputs inputs = call_placement_inputs(call, now);

	*choice = (struct choice){ .kind = CHOICE_NO_TARGET };
	switch (placement_next(&call->placement, &inputs)) {
	case PLACE_LOCAL:
		call->attributes.data_centre = CHOOSE_LOCAL;
		break;
	case PLACE_REMOTE:
		call->attributes.data_centre = CHOOSE_REMOTE;
		break;
	case PLACE_QUEUE:
		choice->kind = CHOICE_TARGET;
		choice->target = call->placement.best_target;
		node_call_started(call->daemon->node, choice->target);
		return true;
	case PLACE_REFUSE:
		call_refuse(call, REFUSED_NO_TARGET, STR("no target of the service takes work"));
		return false;
	}
	*choice = node_choose_target(call->daemon->node, call->config, &call->attributes, now);
	return true;
}

/* Makes one offer. Returns true if an attempt has started or the call was answered. */
static bool try_next_target(struct call *call, struct instant now)
{
	struct choice choice;

	if (!choose_next_target(call, &choice, now))
		return true;
	switch (choice.kind) {
	case CHOICE_TARGET:
		if (start_attempt(call, choice.target, now) == START_OK)
			return true;
		call_exclude_target(call, choice.target);
		placement_refused(&call->placement, choice.target, 0);
		return false;
	case CHOICE_NO_TARGET:
		placement_no_target(&call->placement);
		return false;
	case CHOICE_QUARANTINED:
		call_refuse(call, REFUSED_QUARANTINED, STR("the request crashed targets before"));
		return true;
	case CHOICE_NOT_CURRENT:
		call_refuse(call, REFUSED_NO_TARGET, STR("the node is not current yet"));
		return true;
	}
	g_assert_not_reached();
}

void call_try_target(struct call *call)
{
	while (call->offers < OFFERS_MAX) {
		struct instant now = clock_now();

		if (deadline_passed(call->deadline, now)) {
			call_refuse(call, REFUSED_LATE, STR("the deadline passed"));
			return;
		}
		if (deadline_passed(calls_work_deadline(call->daemon, call->deadline), now)) {
			call_refuse(call, REFUSED_NO_TARGET, STR("the node is stopping"));
			return;
		}
		if (try_next_target(call, now))
			return;
	}
	call_refuse(call, REFUSED_NO_TARGET, STR("no target could be reached"));
}

/* Sets the time by which the answer is due, counted from the caller's first attempt, which may be
 * earlier than this call: a caller may retry after a refusal. */
static void set_objective(struct call *call, struct instant now)
{
	int64_t requested_ms;
	int64_t elapsed_us = 0;

	if (call->route->objective_us == 0)
		return;
	if (str_to_int64(caller_field(call->caller, call->daemon->dialect->deadline_ms),
			 &requested_ms))
		elapsed_us = traffic_elapsed_us(node_traffic(call->daemon->node), call->route->name,
						requested_ms * US_PER_MS);
	call->retried = elapsed_us > 0;
	call->objective = deadline_after(now, call->route->objective_us - elapsed_us);
}

static void answer_no_route(struct call *call)
{
	if (!node_is_current(call->daemon->node))
		call_refuse(call, REFUSED_NO_TARGET, STR("the node is not current yet"));
	else if (call->config->accepted == 0)
		call_refuse(call, REFUSED_NO_CONFIGURATION,
			    STR("the node has no configuration yet"));
	else if (node_is_behind(call->daemon->node))
		/* The newer version may have the route, and "not found" would be final. */
		call_refuse(call, REFUSED_NO_TARGET,
			    STR("no route matches in the version before the newest"));
	else
		call_refuse(call, REFUSED_NO_ROUTE, STR("no route matches"));
}

void call_start(struct call *call)
{
	if (call->route->repeat == REPEAT_AT_MOST_ONCE)
		call_start_claim(call, caller_field(call->caller, STR("Idempotency-Key")),
				 clock_now());
	else
		call_try_target(call);
}

/* Counts what has come of the request's body over this VM's link. Of a streamed body only a part
 * has, whatever its head announces. */
static void count_body(const struct call *call, struct instant now)
{
	const struct caller_body *body = caller_body(call->caller);
	struct admit *admit = node_admit(call->daemon->node);

	switch (body->kind) {
	case CALLER_BODY_WHOLE:
		admit_count_received(admit, (int64_t)body->whole.len, now);
		return;
	case CALLER_BODY_STREAMED:
		admit_count_received(admit, (int64_t)pipe_buffered_bytes(body->upload), now);
		return;
	}
	g_assert_not_reached();
}

static void on_request(struct daemon *daemon, struct caller_call *caller)
{
	struct call *call = call_new(daemon, caller);
	struct str key = caller_field(caller, STR("Idempotency-Key"));
	struct instant now = clock_now();

	caller_set_data(caller, call);
	if (g_atomic_int_get(&daemon->stopping)) {
		call_refuse(call, REFUSED_NO_TARGET, STR("the node is stopping"));
		return;
	}
	call->route = config_match(call->config, caller_field(caller, STR("Host")),
				   caller_method(caller), caller_target(caller));
	if (!call->route) {
		answer_no_route(call);
		return;
	}
	call->tenant = label_from(tenant_text(call->route, caller));
	if (!call_identify(call))
		return;
	call->deadline = calls_work_deadline(daemon, make_deadline(daemon->dialect, call->route,
								   caller, caller_arrived(caller)));
	set_objective(call, caller_arrived(caller));
	call->attributes.route = call->route;
	call->attributes.point = call_placement_point(daemon, key);
	call->service = call_service(&call->attributes);
	call->attributes.fingerprint = request_fingerprint(call->route, caller, key);
	count_body(call, now);
	node_record_call(daemon->node, call->service);
	call_open_add(call);
	if (call->key_tenant)
		call_take_token(call, now);
	else
		call_start(call);
}

/* Returns the call's current attempt with a reference, or NULL. */
static struct attempt *current_attempt(struct call *call)
{
	struct attempt *attempt;

	lock_acquire(&call->lock);
	attempt = call->current ? attempt_ref(call->current) : NULL;
	lock_release(&call->lock);
	return attempt;
}

/* Returns credit to the sender once per WINDOW_UPDATE_BYTES, not for each block. */
static void on_response_drained(struct call *call, size_t bytes)
{
	struct attempt *attempt = current_attempt(call);
	struct strbuf frame = { 0 };
	struct strbuf payload = { 0 };

	if (!attempt)
		return;
	attempt->drained_bytes += bytes;
	if (attempt->stream.link && attempt->drained_bytes >= WINDOW_UPDATE_BYTES) {
		wire_put_u64(&payload, attempt->drained_bytes);
		wire_put(&frame, FRAME_WINDOW, attempt->stream.id, strbuf_str(&payload));
		attempt->drained_bytes = 0;
		stream_send(attempt->stream, &frame);
		strbuf_clear(&frame);
		strbuf_clear(&payload);
	}
	attempt_unref(attempt);
}

/* Returns how a message says where its body ends. */
static const char *framing_name(int64_t length)
{
	if (length == 0)
		return "none";
	return length < 0 ? "chunks" : "length";
}

static const char *request_framing_name(const struct caller_call *caller)
{
	return caller_sent_chunks(caller) ? "chunks" : framing_name(caller_body_length(caller));
}

/* Logs the choices made for a call and its outcome, for the investigation of complaints. */
static void log_call(const struct call *call, int64_t duration_us)
{
	struct str id = STR("");

	if (call->daemon->dialect->request_id.len)
		id = caller_field(call->caller, call->daemon->dialect->request_id);
	logger_event(LOG_EVENT_CALL_ENDED,
		     "id=%.*s route=%.*s status=%d verdict=%.*s target=%lx repeats=%d offers=%d "
		     "version=%ld ms=%.1f returned=%d request=%s answer=%s bytes=%zu/%ld "
		     "why=\"%s\"",
		     STR_ARG(id), STR_ARG(label_str(&call->route->name)), call->status,
		     STR_ARG(verdict_name(call->verdict)), call->last_target, call->attempts,
		     call->offers, call->config->version, (double)duration_us / US_PER_MS,
		     call->retried, request_framing_name(call->caller),
		     framing_name(call->announced_bytes), call->answer_bytes, call->announced_bytes,
		     call->reason);
}

static void count_call(struct call *call)
{
	char labels[128];

	g_snprintf(labels, sizeof(labels), "tenant=\"%.*s\",class=\"%.*s\"",
		   STR_ARG(label_str(&call->tenant)), STR_ARG(traffic_class_name(call->class)));
	metrics_observe(call->daemon->metrics, STR("godwithitch_call_seconds"),
			str_from_cstr(labels), clock_now().mono_us - call->started_us);
	g_snprintf(labels, sizeof(labels), "tenant=\"%.*s\",status=\"%d\"",
		   STR_ARG(label_str(&call->tenant)), call->status);
	metrics_add(call->daemon->metrics, STR("godwithitch_calls_total"), str_from_cstr(labels),
		    1);
	if (call->attempts)
		metrics_add(call->daemon->metrics, STR("godwithitch_retries_total"), STR(""),
			    call->attempts);
}

void call_abandon(struct call *call)
{
	struct attempt *attempt;

	lock_acquire(&call->lock);
	call->abandoned = true;
	attempt = call->current;
	call->current = NULL;
	lock_release(&call->lock);
	if (attempt)
		attempt_cancel(attempt);
	attempt_unref(attempt);
}

static void on_disconnect(struct call *call)
{
	call_open_remove(call);
	if (call->route) {
		count_call(call);
		log_call(call, clock_now().mono_us - call->started_us);
	}
	call_abandon(call);
	call_unref(call);
}

void calls_on_caller(void *context, const struct caller_event *event)
{
	struct daemon *daemon = context;
	struct call *call = caller_data(event->call);
	struct attempt *attempt;

	switch (event->kind) {
	case CALLER_READY:
		on_request(daemon, event->call);
		return;
	case CALLER_DRAINED:
		on_response_drained(call, event->bytes);
		return;
	case CALLER_UPLOADED:
		attempt = call ? current_attempt(call) : NULL;
		if (attempt)
			attempt_forward_upload(attempt);
		attempt_unref(attempt);
		return;
	case CALLER_ENDED:
		if (call)
			on_disconnect(call);
		return;
	}
	g_assert_not_reached();
}
