#include "regress/lib/sim_parts.h"

#include <stdlib.h>
#include <string.h>

#include "operator/parse.h"
#include "peer/codec.h"

struct instant sim_now(const struct sim *sim)
{
	return (struct instant){ START_MONO_US + sim->now_us, START_WALL_US + sim->now_us };
}

struct instant sim_node_now(const struct sim *sim, int index)
{
	struct instant now = sim_now(sim);

	now.wall_us += sim->nodes[index].wall_offset_us;
	return now;
}

void *sim_context(const struct sim *sim)
{
	return sim->options.context;
}

int64_t sim_elapsed_us(const struct sim *sim)
{
	return sim->now_us;
}

int sim_count(const struct sim *sim)
{
	return sim->options.nodes;
}

struct sim_node *sim_node(struct sim *sim, int index)
{
	return &sim->nodes[index];
}

struct rng *sim_rng(struct sim *sim)
{
	return &sim->rng;
}

const char *sim_violation(const struct sim *sim)
{
	return sim->violation;
}

uint64_t sim_trace_hash(const struct sim *sim)
{
	return sim->trace;
}

struct sim_log_stats sim_log_stats(const struct sim *sim)
{
	return sim->stats;
}

static bool is_earlier(const struct pending_event *a, const struct pending_event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->seq < b->seq;
}

static void swap_entries(GPtrArray *heap, guint a, guint b)
{
	gpointer saved = heap->pdata[a];

	heap->pdata[a] = heap->pdata[b];
	heap->pdata[b] = saved;
}

struct pending_event *sim_schedule(struct sim *sim, int64_t at_us, enum pending_event_kind kind,
				   int to)
{
	struct pending_event *pending = g_new0(struct pending_event, 1);
	guint position = sim->heap->len;

	pending->at_us = at_us;
	pending->seq = ++sim->seq;
	pending->kind = kind;
	pending->to = to;
	pending->node_started_us = sim->nodes[to].started_us;
	g_ptr_array_add(sim->heap, pending);
	while (position > 0 && is_earlier(pending, sim->heap->pdata[(position - 1) / 2])) {
		swap_entries(sim->heap, position, (position - 1) / 2);
		position = (position - 1) / 2;
	}
	return pending;
}

static struct pending_event *pop_earliest(struct sim *sim)
{
	struct pending_event *first = sim->heap->pdata[0];
	guint position = 0;

	swap_entries(sim->heap, 0, sim->heap->len - 1);
	g_ptr_array_set_size(sim->heap, (int)sim->heap->len - 1);
	for (;;) {
		guint earliest = position;

		for (guint child = 2 * position + 1;
		     child <= 2 * position + 2 && child < sim->heap->len; child++)
			if (is_earlier(sim->heap->pdata[child], sim->heap->pdata[earliest]))
				earliest = child;
		if (earliest == position)
			return first;
		swap_entries(sim->heap, position, earliest);
		position = earliest;
	}
}

static void pending_event_free(struct pending_event *pending)
{
	if (pending->kind == PENDING_MESSAGE)
		message_unref(pending->message.message);
	g_free(pending);
}

static uint64_t node_id(int index)
{
	return member_id(0x0a000000U + (uint32_t)index, 7000);
}

int sim_index_from_id(const struct sim *sim, uint64_t id)
{
	uint32_t index = member_ipv4(id) - 0x0a000000U;

	return index < (uint32_t)sim->options.nodes ? (int)index : -1;
}

static int64_t random_delay_us(struct sim *sim)
{
	int64_t min = sim->options.delay_min_us;

	return min + (int64_t)rng_below(&sim->rng, (uint64_t)(sim->options.delay_max_us - min + 1));
}

int64_t sim_link_delay_us(const struct sim *sim, int64_t *busy_until_us, size_t bytes)
{
	if (sim->options.link_bytes_per_s == 0)
		return 0;
	*busy_until_us = MAX(*busy_until_us, sim->now_us) +
			 (int64_t)bytes * US_PER_S / sim->options.link_bytes_per_s;
	return *busy_until_us - sim->now_us;
}

/* Returns the time that a message spends on the links of both nodes. */
static int64_t transfer_us(struct sim *sim, int from, int to, size_t bytes)
{
	int64_t sent_us = sim_link_delay_us(sim, &sim->nodes[from].sending_until_us, bytes);
	int64_t received_us = sim_link_delay_us(sim, &sim->nodes[to].receiving_until_us, bytes);

	return MAX(sent_us, received_us);
}

static void send_message(struct sim *sim, int from, uint64_t to_id, struct message *message)
{
	int to = sim_index_from_id(sim, to_id);
	size_t bytes = 0;
	int copies = 1;

	sim->nodes[from].messages++;
	if (sim->options.count_bytes || sim->options.link_bytes_per_s) {
		struct strbuf encoded = { 0 };

		codec_encode(message, &encoded);
		bytes = encoded.len + MESSAGE_HEADER_BYTES;
		strbuf_clear(&encoded);
		sim->nodes[from].sent_bytes += bytes;
	}
	if (to < 0 || rng_unit(&sim->rng) < sim->options.loss || sim->nodes[from].isolated ||
	    sim->nodes[to].isolated ||
	    sim->link_cut[sim->nodes[from].data_centre][sim->nodes[to].data_centre])
		return;
	/* As a node does with what it has decoded. */
	parse_message_changes(message);
	copies += rng_unit(&sim->rng) < sim->options.duplicates;
	sim->nodes[to].received_bytes += bytes;
	while (copies-- > 0) {
		int64_t delay_us = random_delay_us(sim) + transfer_us(sim, from, to, bytes);
		struct pending_event *pending =
			sim_schedule(sim, sim->now_us + delay_us, PENDING_MESSAGE, to);

		pending->message.from = sim->nodes[from].id;
		pending->message.message = message_ref(message);
	}
}

void sim_dispatch_actions(struct sim *sim, int node, struct actions *actions)
{
	for (guint i = 0; i < actions->list->len; i++) {
		struct action *action = &g_array_index(actions->list, struct action, i);

		sim->trace = rng_mix(sim->trace ^ (uint64_t)action->kind);
		switch (action->kind) {
		case ACTION_SEND:
			sim->trace = rng_mix(sim->trace ^ action->send.to ^
					     (uint64_t)action->send.message->kind);
			send_message(sim, node, action->send.to, action->send.message);
			break;
		case ACTION_READ_LOG:
			sim_read_action(sim, node, action);
			break;
		case ACTION_APPEND:
			sim_append_action(sim, node, action);
			break;
		case ACTION_CLAIMED:
			if (sim->options.on_claimed)
				sim->options.on_claimed(sim, node, action->claimed.seq,
							action->claimed.result);
			break;
		case ACTION_QUOTA:
			if (sim->options.on_quota)
				sim->options.on_quota(sim, node, &action->quota);
			break;
		case ACTION_CLAIM_ENDED:
		case ACTION_LOG_EVENT:
			break;
		}
	}
	actions_clear(actions);
}

void sim_record_violation(struct sim *sim, int node, const char *description)
{
	if (sim->violation[0] == '\0')
		g_snprintf(sim->violation, sizeof(sim->violation), "at %ld us, node %d: %s",
			   sim->now_us, node, description);
}

/* Checks that no step of a move is reverted and that a withdrawal is final. It compares with the
 * state that was seen last, of any move; so it finds nothing while the table has several moves. */
static void check_move_states(struct sim *sim, int index)
{
	struct sim_node *instance = &sim->nodes[index];
	GArray *states = moves_states(node_moves(instance->node));

	for (guint i = 0; i < states->len; i++) {
		const struct move_state *state = &g_array_index(states, struct move_state, i);
		struct move_state merged = *state;

		if (state->id == instance->last_move.id &&
		    move_state_join(&merged, &instance->last_move))
			sim_record_violation(sim, index, "a move state was reverted");
		instance->last_move = *state;
	}
	g_array_unref(states);
}

/* Checks the invariants of a node; called after each of its events. */
static void check_invariants(struct sim *sim, int index)
{
	struct sim_node *instance = &sim->nodes[index];
	struct config *config = node_config(instance->node);

	if (config->version < instance->last_version)
		sim_record_violation(sim, index, "the node reverted to an older version");
	instance->last_version = config->version;
	for (guint i = 0; i < config->routes->len; i++) {
		const struct route *route = g_ptr_array_index(config->routes, i);

		if (!config_find_service(config, route->service))
			sim_record_violation(
				sim, index,
				"a route refers to a service that the configuration lacks");
	}
	config_unref(config);
	check_move_states(sim, index);
}

void sim_handle_event(struct sim *sim, int index, const struct event *event)
{
	struct actions actions = actions_new();

	node_handle(sim->nodes[index].node, event, sim_node_now(sim, index), &actions);
	sim_dispatch_actions(sim, index, &actions);
	check_invariants(sim, index);
}

static void handle_pending(struct sim *sim, const struct pending_event *pending)
{
	struct event event = { .kind = EVENT_TICK };

	switch (pending->kind) {
	case PENDING_TICK:
		sim_schedule(sim, sim->now_us + TICK_US, PENDING_TICK, pending->to);
		break;
	case PENDING_MESSAGE:
		event.kind = EVENT_MESSAGE;
		event.message.from = pending->message.from;
		event.message.message = pending->message.message;
		break;
	case PENDING_APPENDED:
		event.kind = pending->appended.succeeded ? EVENT_APPENDED : EVENT_APPEND_FAILED;
		sim_stream_from_index(pending->appended.stream, &event.append.stream,
				      &event.append.partition);
		event.append.tag = pending->appended.tag;
		event.append.offset = pending->appended.offset;
		break;
	case PENDING_LOG_ANSWER:
		sim_deliver_log_answer(sim, pending);
		return;
	}
	sim_handle_event(sim, pending->to, &event);
}

static void run_next_event(struct sim *sim)
{
	struct pending_event *pending = pop_earliest(sim);
	const struct sim_node *to = &sim->nodes[pending->to];

	sim->now_us = MAX(sim->now_us, pending->at_us);
	if (to->node && to->started_us == pending->node_started_us && to->frozen) {
		/* Defer the event, as unread bytes would stay in a socket. */
		struct pending_event *deferred =
			sim_schedule(sim, sim->now_us + TICK_US, pending->kind, pending->to);
		uint64_t seq = deferred->seq;
		int64_t at_us = deferred->at_us;

		*deferred = *pending;
		deferred->seq = seq;
		deferred->at_us = at_us;
		g_free(pending);
		return;
	}
	if (to->node && to->started_us == pending->node_started_us)
		handle_pending(sim, pending);
	pending_event_free(pending);
}

void sim_run(struct sim *sim, int64_t us)
{
	int64_t end_us = sim->now_us + us;

	while (sim->heap->len && ((struct pending_event *)sim->heap->pdata[0])->at_us <= end_us)
		run_next_event(sim);
	sim->now_us = end_us;
}

static bool all_hold_version(struct sim *sim, int64_t version)
{
	for (int i = 0; i < sim->options.nodes; i++) {
		struct sim_node *instance = &sim->nodes[i];

		if (instance->node && !instance->frozen &&
		    (!node_is_current(instance->node) ||
		     history_version(node_history(instance->node)) < version))
			return false;
	}
	return true;
}

int64_t sim_run_until_version(struct sim *sim, int64_t version, int64_t limit_us)
{
	int64_t start_us = sim->now_us;

	while (!all_hold_version(sim, version)) {
		if (sim->now_us - start_us > limit_us)
			return -1;
		sim_run(sim, 10 * US_PER_MS);
	}
	return sim->now_us - start_us;
}

void sim_start(struct sim *sim, int index)
{
	struct sim_node *instance = &sim->nodes[index];
	struct node_options options = { .id = instance->id, .seed = rng_next(&sim->rng) };
	uint64_t seeds[4];
	char name[16];

	g_snprintf(name, sizeof(name), "dc%d", instance->data_centre);
	options.data_centre = label_from(str_from_cstr(name));
	options.readers = sim->options.readers;
	options.log_retention_us = sim->options.log_retention_us;
	options.apply_within_us = sim->options.apply_within_us;
	options.revoke_within_us = sim->options.revoke_within_us;
	for (int i = 0; i < 4; i++)
		seeds[i] = node_id((int)rng_below(&sim->rng, (uint64_t)sim->options.nodes));
	options.seeds = seeds;
	options.seed_count = 4;
	instance->started_us = sim->now_us + 1;
	instance->last_version = 0;
	instance->last_move = (struct move_state){ 0 };
	instance->node = node_new(&options, sim_node_now(sim, index), NULL);
	sim_schedule(sim, sim->now_us + (int64_t)rng_below(&sim->rng, TICK_US), PENDING_TICK,
		     index);
}

void sim_kill(struct sim *sim, int index)
{
	node_free(sim->nodes[index].node);
	sim->nodes[index].node = NULL;
	sim->nodes[index].frozen = false;
}

void sim_freeze(struct sim *sim, int index, bool frozen)
{
	sim->nodes[index].frozen = frozen;
}

void sim_stop(struct sim *sim, int index)
{
	struct event event = { .kind = EVENT_STOP };

	sim_handle_event(sim, index, &event);
}

void sim_cut(struct sim *sim, int from_data_centre, int to_data_centre, bool cut)
{
	sim->link_cut[from_data_centre][to_data_centre] = cut;
}

void sim_isolate(struct sim *sim, int index, bool isolated)
{
	sim->nodes[index].isolated = isolated;
}

void sim_set_loss(struct sim *sim, double loss)
{
	sim->options.loss = loss;
}

void sim_announce_target(struct sim *sim, int index, const char *service, const char *version,
			 int slots)
{
	struct sim_node *instance = &sim->nodes[index];
	struct event event = { .kind = EVENT_TARGET_UP };

	instance->target.service = label_from(str_from_cstr(service));
	instance->target.version = label_from(str_from_cstr(version));
	instance->target.slots = slots;
	if (instance->target.slow_factor == 0)
		instance->target.slow_factor = 1;
	event.target.service = instance->target.service;
	event.target.version = instance->target.version;
	event.target.slots = slots;
	sim_handle_event(sim, index, &event);
}

static void preload_members(struct sim *sim)
{
	struct message *message = message_new(MESSAGE_MEMBERS);
	message->members = g_array_new(FALSE, FALSE, sizeof(struct member));
	for (int i = 0; i < sim->options.nodes; i++) {
		struct member self = members_self(node_members(sim->nodes[i].node));

		self.state = MEMBER_ALIVE;
		g_array_append_val(message->members, self);
	}
	for (int i = 0; i < sim->options.nodes; i++) {
		for (guint j = 0; j < message->members->len; j++)
			members_merge(node_members(sim->nodes[i].node),
				      &g_array_index(message->members, struct member, j),
				      sim_now(sim));
	}
	message_unref(message);
}

struct sim *sim_new(const struct sim_options *options)
{
	struct sim *sim = g_new0(struct sim, 1);

	sim->options = *options;
	if (sim->options.delay_min_us == 0)
		sim->options.delay_min_us = 200;
	if (sim->options.delay_max_us == 0)
		sim->options.delay_max_us = 2000;
	sim->rng.state = options->seed;
	sim->heap = g_ptr_array_new();
	sim->long_polls = g_array_new(FALSE, FALSE, sizeof(struct long_poll));
	for (int stream = 0; stream < STREAMS; stream++) {
		sim->log[stream] = g_array_new(FALSE, TRUE, sizeof(struct log_record));
		sim->written_us[stream] = g_array_new(FALSE, FALSE, sizeof(int64_t));
		sim->oldest_offset[stream] = 1;
	}
	sim->nodes = g_new0(struct sim_node, options->nodes);
	for (int i = 0; i < options->nodes; i++) {
		sim->nodes[i].id = node_id(i);
		sim->nodes[i].data_centre = i % options->data_centres;
		sim_start(sim, i);
	}
	if (options->preload)
		preload_members(sim);
	return sim;
}

void sim_free(struct sim *sim)
{
	for (int i = 0; i < sim->options.nodes; i++)
		node_free(sim->nodes[i].node);
	for (guint i = 0; i < sim->heap->len; i++)
		pending_event_free(sim->heap->pdata[i]);
	for (int stream = 0; stream < STREAMS; stream++) {
		for (guint i = 0; i < sim->log[stream]->len; i++)
			log_record_clear(&g_array_index(sim->log[stream], struct log_record, i));
		g_array_unref(sim->log[stream]);
		g_array_unref(sim->written_us[stream]);
	}
	g_array_unref(sim->long_polls);
	g_ptr_array_unref(sim->heap);
	g_free(sim->nodes);
	g_free(sim);
}
