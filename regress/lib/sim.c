#include "regress/lib/sim.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "operator/parse.h"
#include "peer/codec.h"

#define START_US   (1000 * US_PER_S)
#define WALL_US	   (1796000000LL * US_PER_S)
#define TICK_US	   (100 * US_PER_MS)
#define LOG_LAG_US (3 * US_PER_MS)

enum {
	STREAMS = 2 + CLAIM_PARTITIONS,
	DATA_CENTRES_MAX = 16,
	SERVICE_US = 2000,
	HEADER_BYTES = 24
};

enum pending_kind { PENDING_TICK, PENDING_MESSAGE, PENDING_LOG_ANSWER, PENDING_APPENDED };

struct pending {
	int64_t at_us;
	uint64_t seq;
	enum pending_kind kind;
	int to;
	int64_t life; /* of the node it is for: a restarted one must not get it */
	union {
		struct {
			uint64_t from;
			struct message *message;
		} message;
		struct {
			int stream;
			int64_t from;
			uint64_t waiter;
		} answer;
		struct {
			int stream;
			uint64_t tag;
			int64_t offset;
			bool done;
		} appended;
	};
};

struct waiter {
	uint64_t number;
	int node;
	int64_t life;
	int stream;
	int64_t from;
};

struct sim {
	struct sim_options options;
	struct sim_node *nodes;
	struct rng rng;
	int64_t now_us; /* since START_US */
	uint64_t seq;
	GPtrArray *heap;      /* struct pending */
	GArray *log[STREAMS]; /* struct log_record, by stream_index() */
	int64_t oldest[STREAMS];
	GArray *written_at[STREAMS]; /* int64_t */
	GArray *waiters;	     /* struct waiter */
	bool log_out;
	int lose_answers;
	struct sim_log_stats stats;
	bool cut[DATA_CENTRES_MAX][DATA_CENTRES_MAX];
	char violation[256];
	uint64_t trace;
};

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

static struct pending *push(struct sim *sim, int64_t at_us, enum pending_kind kind, int to)
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

static int index_of(const struct sim *sim, uint64_t id)
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
	int to = index_of(sim, to_id);
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
			push(sim, sim->now_us + delay_us(sim), PENDING_MESSAGE, to);

		pending->message.from = sim->nodes[from].id;
		pending->message.message = message_ref(message);
	}
}

/* The fake log's own number of a stream. */
static int stream_index(enum log_stream stream, int partition)
{
	return stream == STREAM_KEYS ? 2 + partition : (int)stream;
}

static void stream_of(int index, enum log_stream *stream, int *partition)
{
	*stream = index < 2 ? (enum log_stream)index : STREAM_KEYS;
	*partition = index < 2 ? 0 : index - 2;
}

static int64_t newest(const struct sim *sim, int stream)
{
	return sim->oldest[stream] + (int64_t)sim->log[stream]->len - 1;
}

static void answer_read(struct sim *sim, int node, int stream, int64_t from)
{
	struct pending *pending = push(sim, sim->now_us + LOG_LAG_US, PENDING_LOG_ANSWER, node);

	pending->answer.stream = stream;
	pending->answer.from = from;
}

static void wake_waiters(struct sim *sim, int stream)
{
	for (guint i = sim->waiters->len; i-- > 0;) {
		struct waiter waiter = g_array_index(sim->waiters, struct waiter, i);

		if (waiter.stream != stream)
			continue;
		g_array_remove_index(sim->waiters, i);
		if (sim->nodes[waiter.node].started_us == waiter.life)
			answer_read(sim, waiter.node, stream, waiter.from);
	}
}

static int64_t append_record(struct sim *sim, int stream, struct log_record record)
{
	record.offset = newest(sim, stream) + 1;
	g_array_append_val(sim->log[stream], record);
	g_array_append_val(sim->written_at[stream], sim->now_us);
	sim->stats.appends++;
	sim->stats.system_records += stream == (int)STREAM_SYSTEM;
	wake_waiters(sim, stream);
	return record.offset;
}

static void read_action(struct sim *sim, int node, const struct action *action)
{
	struct waiter waiter = { ++sim->seq, node, sim->nodes[node].started_us,
				 stream_index(action->read.stream, action->read.partition),
				 action->read.from };
	int64_t wait_us = action->read.wait_until.at_us - START_US - sim->now_us;
	struct pending *timeout;

	sim->stats.reads++;
	if (sim->log_out || newest(sim, waiter.stream) >= waiter.from || wait_us <= 0) {
		answer_read(sim, node, waiter.stream, waiter.from);
		return;
	}
	g_array_append_val(sim->waiters, waiter);
	timeout = push(sim, sim->now_us + wait_us, PENDING_LOG_ANSWER, node);
	timeout->answer.stream = waiter.stream;
	timeout->answer.from = waiter.from;
	timeout->answer.waiter = waiter.number;
}

static void append_action(struct sim *sim, int node, struct action *action)
{
	struct pending *pending = push(sim, sim->now_us + LOG_LAG_US, PENDING_APPENDED, node);

	pending->appended.tag = action->append.tag;
	pending->appended.stream = stream_index(action->append.stream, action->append.partition);
	if (sim->log_out)
		return;
	pending->appended.offset =
		append_record(sim, pending->appended.stream, action->append.record);
	action->append.record = (struct log_record){ .kind = LOG_BAD };
	pending->appended.done = sim->lose_answers == 0;
	sim->lose_answers -= sim->lose_answers > 0;
}

static void carry_out(struct sim *sim, int node, struct actions *actions)
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
			read_action(sim, node, action);
			break;
		case ACTION_APPEND:
			append_action(sim, node, action);
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

static void violate(struct sim *sim, int node, const char *what)
{
	if (sim->violation[0] == '\0')
		g_snprintf(sim->violation, sizeof(sim->violation), "at %ld us, node %d: %s",
			   sim->now_us, node, what);
}

/* What must hold after each event of a node. */
static void check(struct sim *sim, int index)
{
	struct sim_node *one = &sim->nodes[index];
	struct config *config = node_config(one->node);

	if (config->version < one->version_seen)
		violate(sim, index, "it went back to an older version");
	one->version_seen = config->version;
	for (guint i = 0; i < config->routes->len; i++) {
		const struct route *route = g_ptr_array_index(config->routes, i);

		if (!config_find_service(config, route->service))
			violate(sim, index, "a route names a service that the node lacks");
	}
	config_unref(config);
}

void sim_carry_out(struct sim *sim, int node, struct actions *actions)
{
	carry_out(sim, node, actions);
}

static void handle(struct sim *sim, int index, const struct event *event)
{
	struct actions actions = actions_new();

	node_handle(sim->nodes[index].node, event, sim_now(sim), &actions);
	carry_out(sim, index, &actions);
	check(sim, index);
}

static bool take_waiter(struct sim *sim, uint64_t number)
{
	if (number == 0)
		return true;
	for (guint i = 0; i < sim->waiters->len; i++) {
		if (g_array_index(sim->waiters, struct waiter, i).number != number)
			continue;
		g_array_remove_index(sim->waiters, i);
		return true;
	}
	return false;
}

static void give_log(struct sim *sim, const struct pending *pending)
{
	int stream = pending->answer.stream;
	int64_t from = pending->answer.from ? pending->answer.from : sim->oldest[stream];
	struct event event = { .kind = EVENT_LOG_FAILED };

	if (!take_waiter(sim, pending->answer.waiter))
		return;
	stream_of(stream, &event.failed.stream, &event.failed.partition);
	event.failed.failure = LOG_FAILURE_OUT;
	if (!sim->log_out && from < sim->oldest[stream]) {
		event.failed.failure = LOG_FAILURE_GONE;
	} else if (!sim->log_out) {
		event.kind = EVENT_LOG_BATCH;
		stream_of(stream, &event.batch.stream, &event.batch.partition);
		event.batch.newest = newest(sim, stream);
		event.batch.count = (int)MAX(0, event.batch.newest - from + 1);
		event.batch.records = event.batch.count
					      ? &g_array_index(sim->log[stream], struct log_record,
							       from - sim->oldest[stream])
					      : NULL;
	}
	handle(sim, pending->to, &event);
}

static void handle_pending(struct sim *sim, const struct pending *pending)
{
	struct event event = { .kind = EVENT_TICK };

	switch (pending->kind) {
	case PENDING_TICK:
		push(sim, sim->now_us + TICK_US, PENDING_TICK, pending->to);
		break;
	case PENDING_MESSAGE:
		event.kind = EVENT_MESSAGE;
		event.message.from = pending->message.from;
		event.message.message = pending->message.message;
		break;
	case PENDING_APPENDED:
		event.kind = pending->appended.done ? EVENT_APPENDED : EVENT_APPEND_FAILED;
		stream_of(pending->appended.stream, &event.append.stream, &event.append.partition);
		event.append.tag = pending->appended.tag;
		event.append.offset = pending->appended.offset;
		break;
	case PENDING_LOG_ANSWER:
		give_log(sim, pending);
		return;
	}
	handle(sim, pending->to, &event);
}

static void step(struct sim *sim)
{
	struct pending *pending = pop(sim);
	const struct sim_node *to = &sim->nodes[pending->to];

	sim->now_us = MAX(sim->now_us, pending->at_us);
	if (to->node && to->started_us == pending->life && to->frozen) {
		/* It waits, like bytes in a socket. */
		struct pending *later =
			push(sim, sim->now_us + TICK_US, pending->kind, pending->to);
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
	one->node = node_new(&options, sim_now(sim), NULL);
	push(sim, sim->now_us + (int64_t)rng_below(&sim->rng, TICK_US), PENDING_TICK, index);
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

	handle(sim, index, &event);
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
	handle(sim, index, &event);
}

int64_t sim_publish(struct sim *sim, const char *id, const char *file, int64_t base,
		    const char *content)
{
	struct log_record record = { .kind = LOG_CHANGE };

	record.change = change_new(label_from(str_from_cstr(id)), label_from(str_from_cstr(file)),
				   base, str_from_cstr(content));
	parse_change(record.change);
	return append_record(sim, STREAM_CONFIG, record);
}

void sim_log_out(struct sim *sim, bool out)
{
	sim->log_out = out;
	for (int stream = 0; stream < STREAMS; stream++)
		wake_waiters(sim, stream);
}

void sim_log_lapse(struct sim *sim, int64_t keep_us)
{
	for (int stream = 0; stream < STREAMS; stream++) {
		while (sim->log[stream]->len &&
		       g_array_index(sim->written_at[stream], int64_t, 0) < sim->now_us - keep_us) {
			log_record_clear(&g_array_index(sim->log[stream], struct log_record, 0));
			g_array_remove_index(sim->log[stream], 0);
			g_array_remove_index(sim->written_at[stream], 0);
			sim->oldest[stream]++;
		}
	}
}

void sim_log_lose_answers(struct sim *sim, int count)
{
	sim->lose_answers = count;
}

/* Service time is spread evenly around its mean, four times it while cold. */
static int64_t service_us(struct sim *sim, const struct sim_target *target, bool bad)
{
	double us = SERVICE_US * (0.5 + rng_unit(&sim->rng));

	if (bad)
		us *= target->slow_factor;
	if (sim->now_us < target->cold_until_us)
		us *= 4;
	return (int64_t)us;
}

static enum sim_call_result run_call(struct sim *sim, int index, struct label route)
{
	struct sim_node *one = &sim->nodes[index];
	struct sim_target *target = &one->target;
	bool bad = sim->now_us >= target->bad_from_us &&
		   (target->bad_route.len == 0 || label_equal(&target->bad_route, &route));
	double fails = target->fault_share + (bad ? target->fail_share : 0);
	bool failed = rng_unit(&sim->rng) < fails;

	node_target_ended(one->node, route, failed ? TARGET_FAILED : TARGET_ANSWERED,
			  service_us(sim, target, bad), sim_now(sim));
	return failed ? SIM_CALL_FAILED : SIM_CALL_GOOD;
}

enum sim_call_result sim_call(struct sim *sim, int index, const char *route, uint64_t point,
			      struct label *version)
{
	struct sim_node *entry = &sim->nodes[index];
	struct config *config = node_config(entry->node);
	struct call_facts facts = { .point = point };
	struct actions actions = actions_new();
	enum sim_call_result result = SIM_CALL_NOT_RUN;
	struct choice choice;
	int target;

	facts.route = config_find_route(config, label_from(str_from_cstr(route)));
	if (facts.route) {
		choice = node_choose(entry->node, config, &facts, sim_now(sim));
		target = choice.kind == CHOICE_TARGET ? index_of(sim, choice.target) : -1;
		if (target >= 0 && sim->nodes[target].node && !sim->nodes[target].frozen &&
		    !sim->nodes[target].target.crashed) {
			result = run_call(sim, target, facts.route->name);
			*version = choice.version;
		}
		if (target >= 0)
			node_call_ended(entry->node, facts.route->service, choice.target,
					result == SIM_CALL_GOOD	    ? CALL_ANSWERED
					: result == SIM_CALL_FAILED ? CALL_FAILED
								    : CALL_BROKEN,
					sim_now(sim), &actions);
	}
	carry_out(sim, index, &actions);
	config_unref(config);
	return result;
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
