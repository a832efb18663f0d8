/*
 * The fake log: streams with offsets, long polls, outages, lost answers, retention.
 */
#include "operator/parse.h"
#include "regress/lib/sim_parts.h"

/* The fake log's own number of a stream. */
static int stream_index(enum log_stream stream, int partition)
{
	return stream == STREAM_KEYS ? 2 + partition : (int)stream;
}

void sim_stream_of(int index, enum log_stream *stream, int *partition)
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
	struct pending *pending = sim_push(sim, sim->now_us + LOG_LAG_US, PENDING_LOG_ANSWER, node);

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

static int64_t sim_append(struct sim *sim, int stream, struct log_record record)
{
	record.offset = newest(sim, stream) + 1;
	g_array_append_val(sim->log[stream], record);
	g_array_append_val(sim->written_at[stream], sim->now_us);
	sim->stats.appends++;
	sim->stats.system_records += stream == (int)STREAM_SYSTEM;
	wake_waiters(sim, stream);
	return record.offset;
}

void sim_read_action(struct sim *sim, int node, const struct action *action)
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
	timeout = sim_push(sim, sim->now_us + wait_us, PENDING_LOG_ANSWER, node);
	timeout->answer.stream = waiter.stream;
	timeout->answer.from = waiter.from;
	timeout->answer.waiter = waiter.number;
}

void sim_append_action(struct sim *sim, int node, struct action *action)
{
	struct pending *pending = sim_push(sim, sim->now_us + LOG_LAG_US, PENDING_APPENDED, node);

	pending->appended.tag = action->append.tag;
	pending->appended.stream = stream_index(action->append.stream, action->append.partition);
	if (sim->log_out)
		return;
	pending->appended.offset = sim_append(sim, pending->appended.stream, action->append.record);
	action->append.record = (struct log_record){ .kind = LOG_BAD };
	pending->appended.done = sim->lose_answers == 0;
	sim->lose_answers -= sim->lose_answers > 0;
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

void sim_give_log(struct sim *sim, const struct pending *pending)
{
	int stream = pending->answer.stream;
	int64_t from = pending->answer.from ? pending->answer.from : sim->oldest[stream];
	struct event event = { .kind = EVENT_LOG_FAILED };

	if (!take_waiter(sim, pending->answer.waiter))
		return;
	sim_stream_of(stream, &event.failed.stream, &event.failed.partition);
	event.failed.failure = LOG_FAILURE_OUT;
	if (!sim->log_out && from < sim->oldest[stream]) {
		event.failed.failure = LOG_FAILURE_GONE;
	} else if (!sim->log_out) {
		event.kind = EVENT_LOG_BATCH;
		sim_stream_of(stream, &event.batch.stream, &event.batch.partition);
		event.batch.newest = newest(sim, stream);
		event.batch.count = (int)MAX(0, event.batch.newest - from + 1);
		event.batch.records = event.batch.count
					      ? &g_array_index(sim->log[stream], struct log_record,
							       from - sim->oldest[stream])
					      : NULL;
	}
	sim_handle(sim, pending->to, &event);
}

int64_t sim_publish(struct sim *sim, const char *id, const char *file, int64_t base,
		    const char *content)
{
	struct log_record record = { .kind = LOG_CHANGE };

	record.change = change_new(label_from(str_from_cstr(id)), label_from(str_from_cstr(file)),
				   base, str_from_cstr(content));
	parse_change(record.change);
	return sim_append(sim, STREAM_CONFIG, record);
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
