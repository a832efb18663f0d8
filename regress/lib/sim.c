#include "regress/lib/sim_parts.h"

#include <stdlib.h>
#include <string.h>

#include "peer/codec.h"

struct instant sim_now(const struct sim *sim)
{
	return (struct instant){ START_US + sim->now_us, WALL_US + sim->now_us };
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

static bool before(const struct pending *a, const struct pending *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->seq < b->seq;
}

static void swap(GPtrArray *heap, guint a, guint b)
{
	gpointer kept = heap->pdata[a];

	heap->pdata[a] = heap->pdata[b];
	heap->pdata[b] = kept;
}

struct pending *sim_push(struct sim *sim, int64_t at_us, enum pending_kind kind, int to)
{
	struct pending *pending = g_new0(struct pending, 1);
	guint at = sim->heap->len;

	pending->at_us = at_us;
	pending->seq = ++sim->seq;
	pending->kind = kind;
	pending->to = to;
	pending->life = sim->nodes[to].started_us;
	g_ptr_array_add(sim->heap, pending);
	while (at > 0 && before(pending, sim->heap->pdata[(at - 1) / 2])) {
		swap(sim->heap, at, (at - 1) / 2);
		at = (at - 1) / 2;
	}
	return pending;
}

static struct pending *pop(struct sim *sim)
{
	struct pending *first = sim->heap->pdata[0];
	guint at = 0;

	swap(sim->heap, 0, sim->heap->len - 1);
	g_ptr_array_set_size(sim->heap, (int)sim->heap->len - 1);
	for (;;) {
		guint least = at;

		for (guint child = 2 * at + 1; child <= 2 * at + 2 && child < sim->heap->len;
		     child++)
			if (before(sim->heap->pdata[child], sim->heap->pdata[least]))
				least = child;
		if (least == at)
			return first;
		swap(sim->heap, at, least);
		at = least;
	}
}

static void pending_free(struct pending *pending)
{
	if (pending->kind == PENDING_MESSAGE)
		message_unref(pending->message.message);
	g_free(pending);
}

static uint64_t id_of(int index)
{
	return member_id(0x0a000000U + (uint32_t)index, 7000);
}

int sim_index_of(const struct sim *sim, uint64_t id)
{
	uint32_t index = member_ipv4(id) - 0x0a000000U;

	return index < (uint32_t)sim->options.nodes ? (int)index : -1;
}

static int64_t delay_us(struct sim *sim)
{
	int64_t min = sim->options.delay_min_us;

	return min + (int64_t)rng_below(&sim->rng, (uint64_t)(sim->options.delay_max_us - min + 1));
}

static void send_message(struct sim *sim, int from, uint64_t to_id, struct message *message)
{
	int to = sim_index_of(sim, to_id);
	size_t bytes = 0;
	int copies = 1;

	sim->nodes[from].messages++;
	if (sim->options.count_bytes) {
		struct strbuf encoded = { 0 };

		codec_encode(message, &encoded);
		bytes = encoded.len + HEADER_BYTES;
		strbuf_clear(&encoded);
		sim->nodes[from].sent_bytes += bytes;
	}
	if (to < 0 || rng_unit(&sim->rng) < sim->options.loss ||
	    sim->cut[sim->nodes[from].data_centre][sim->nodes[to].data_centre])
		return;
	copies += rng_unit(&sim->rng) < sim->options.duplicates;
	sim->nodes[to].received_bytes += bytes;
	while (copies-- > 0) {
		struct pending *pending =
			sim_push(sim, sim->now_us + delay_us(sim), PENDING_MESSAGE, to);

		pending->message.from = sim->nodes[from].id;
		pending->message.message = message_ref(message);
	}
}

void sim_carry_out(struct sim *sim, int node, struct actions *actions)
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
		case ACTION_NOTE:
			break;
		}
	}
	actions_clear(actions);
}

void sim_violate(struct sim *sim, int node, const char *what)
{
	if (sim->violation[0] == '\0')
		g_snprintf(sim->violation, sizeof(sim->violation), "at %ld us, node %d: %s",
			   sim->now_us, node, what);
}

/* A move's state only grows: no step is taken back, and a withdrawal is final. */
static void check_moves(struct sim *sim, int index)
{
	struct sim_node *one = &sim->nodes[index];
	GArray *states = moves_states(node_moves(one->node));

	for (guint i = 0; i < states->len; i++) {
		const struct move_state *state = &g_array_index(states, struct move_state, i);
		struct move_state joined = *state;

		if (state->id == one->move_seen.id && move_state_join(&joined, &one->move_seen))
			sim_violate(sim, index, "a move's state went back");
		one->move_seen = *state;
	}
	g_array_unref(states);
}

/* What must hold after each event of a node. */
static void check(struct sim *sim, int index)
{
	struct sim_node *one = &sim->nodes[index];
	struct config *config = node_config(one->node);

	if (config->version < one->version_seen)
		sim_violate(sim, index, "it went back to an older version");
	one->version_seen = config->version;
	for (guint i = 0; i < config->routes->len; i++) {
		const struct route *route = g_ptr_array_index(config->routes, i);

		if (!config_find_service(config, route->service))
			sim_violate(sim, index, "a route names a service that the node lacks");
	}
	config_unref(config);
	check_moves(sim, index);
}

void sim_handle(struct sim *sim, int index, const struct event *event)
{
	struct actions actions = actions_new();

	node_handle(sim->nodes[index].node, event, sim_now(sim), &actions);
	sim_carry_out(sim, index, &actions);
	check(sim, index);
}

static void handle_pending(struct sim *sim, const struct pending *pending)
{
	struct event event = { .kind = EVENT_TICK };

	switch (pending->kind) {
	case PENDING_TICK:
		sim_push(sim, sim->now_us + TICK_US, PENDING_TICK, pending->to);
		break;
	case PENDING_MESSAGE:
		event.kind = EVENT_MESSAGE;
		event.message.from = pending->message.from;
		event.message.message = pending->message.message;
		break;
	case PENDING_APPENDED:
		event.kind = pending->appended.done ? EVENT_APPENDED : EVENT_APPEND_FAILED;
		sim_stream_of(pending->appended.stream, &event.append.stream,
			      &event.append.partition);
		event.append.tag = pending->appended.tag;
		event.append.offset = pending->appended.offset;
		break;
	case PENDING_LOG_ANSWER:
		sim_give_log(sim, pending);
		return;
	}
	sim_handle(sim, pending->to, &event);
}

static void step(struct sim *sim)
{
	struct pending *pending = pop(sim);
	const struct sim_node *to = &sim->nodes[pending->to];

	sim->now_us = MAX(sim->now_us, pending->at_us);
	if (to->node && to->started_us == pending->life && to->frozen) {
		/* It waits, like bytes in a socket. */
		struct pending *later =
			sim_push(sim, sim->now_us + TICK_US, pending->kind, pending->to);
		uint64_t seq = later->seq;
		int64_t at_us = later->at_us;

		*later = *pending;
		later->seq = seq;
		later->at_us = at_us;
		g_free(pending);
		return;
	}
	if (to->node && to->started_us == pending->life)
		handle_pending(sim, pending);
	pending_free(pending);
}

void sim_run(struct sim *sim, int64_t us)
{
	int64_t until_us = sim->now_us + us;

	while (sim->heap->len && ((struct pending *)sim->heap->pdata[0])->at_us <= until_us)
		step(sim);
	sim->now_us = until_us;
}

static bool all_hold(struct sim *sim, int64_t version)
{
	for (int i = 0; i < sim->options.nodes; i++) {
		struct sim_node *one = &sim->nodes[i];

		if (one->node && !one->frozen &&
		    (!node_is_current(one->node) ||
		     history_version(node_history(one->node)) < version))
			return false;
	}
	return true;
}

int64_t sim_run_until_version(struct sim *sim, int64_t version, int64_t limit_us)
{
	int64_t start_us = sim->now_us;

	while (!all_hold(sim, version)) {
		if (sim->now_us - start_us > limit_us)
			return -1;
		sim_run(sim, 10 * US_PER_MS);
	}
	return sim->now_us - start_us;
}

void sim_start(struct sim *sim, int index)
{
	struct sim_node *one = &sim->nodes[index];
	struct node_options options = { .id = one->id, .seed = rng_next(&sim->rng) };
	uint64_t seeds[4];
	char name[16];

	g_snprintf(name, sizeof(name), "dc%d", one->data_centre);
	options.data_centre = label_from(str_from_cstr(name));
	options.readers = sim->options.readers;
	options.log_retention_us = sim->options.log_retention_us;
	for (int i = 0; i < 4; i++)
		seeds[i] = id_of((int)rng_below(&sim->rng, (uint64_t)sim->options.nodes));
	options.seeds = seeds;
	options.seed_count = 4;
	one->started_us = sim->now_us + 1;
	one->version_seen = 0;
	one->move_seen = (struct move_state){ 0 };
	one->node = node_new(&options, sim_now(sim), NULL);
	sim_push(sim, sim->now_us + (int64_t)rng_below(&sim->rng, TICK_US), PENDING_TICK, index);
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

	sim_handle(sim, index, &event);
}

void sim_cut(struct sim *sim, int from, int to, bool cut)
{
	sim->cut[from][to] = cut;
}

void sim_set_loss(struct sim *sim, double loss)
{
	sim->options.loss = loss;
}

void sim_target_up(struct sim *sim, int index, const char *service, const char *version, int slots)
{
	struct sim_node *one = &sim->nodes[index];
	struct event event = { .kind = EVENT_TARGET_UP };

	one->target.service = label_from(str_from_cstr(service));
	one->target.version = label_from(str_from_cstr(version));
	one->target.slots = slots;
	if (one->target.slow_factor == 0)
		one->target.slow_factor = 1;
	event.target.service = one->target.service;
	event.target.version = one->target.version;
	event.target.slots = slots;
	sim_handle(sim, index, &event);
}

static void preload(struct sim *sim)
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
	sim->waiters = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	for (int stream = 0; stream < STREAMS; stream++) {
		sim->log[stream] = g_array_new(FALSE, TRUE, sizeof(struct log_record));
		sim->written_at[stream] = g_array_new(FALSE, FALSE, sizeof(int64_t));
		sim->oldest[stream] = 1;
	}
	sim->nodes = g_new0(struct sim_node, options->nodes);
	for (int i = 0; i < options->nodes; i++) {
		sim->nodes[i].id = id_of(i);
		sim->nodes[i].data_centre = i % options->data_centres;
		sim_start(sim, i);
	}
	if (options->preload)
		preload(sim);
	return sim;
}

void sim_free(struct sim *sim)
{
	for (int i = 0; i < sim->options.nodes; i++)
		node_free(sim->nodes[i].node);
	for (guint i = 0; i < sim->heap->len; i++)
		pending_free(sim->heap->pdata[i]);
	for (int stream = 0; stream < STREAMS; stream++) {
		for (guint i = 0; i < sim->log[stream]->len; i++)
			log_record_clear(&g_array_index(sim->log[stream], struct log_record, i));
		g_array_unref(sim->log[stream]);
		g_array_unref(sim->written_at[stream]);
	}
	g_array_unref(sim->waiters);
	g_ptr_array_unref(sim->heap);
	g_free(sim->nodes);
	g_free(sim);
}
