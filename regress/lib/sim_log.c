/*
 * Fake log with streams of records, long polls, outages, lost answers and retention.
 */
#include "operator/parse.h"
#include "regress/lib/sim_parts.h"

/* Returns the index of a stream in the tables of the fake log. */
static int stream_index(enum log_stream stream, int partition)
{
	return stream == STREAM_KEYS ? 2 + partition : (int)stream;
}

void sim_stream_from_index(int index, enum log_stream *stream, int *partition)
{
	*stream = index < 2 ? (enum log_stream)index : STREAM_KEYS;
	*partition = index < 2 ? 0 : index - 2;
}

static int64_t newest_offset(const struct sim *sim, int stream)
{
	return sim->oldest_offset[stream] + (int64_t)sim->log[stream]->len - 1;
}

static void schedule_answer(struct sim *sim, int node, int stream, int64_t from, bool check)
{
	struct pending_event *pending =
		sim_schedule(sim, sim->now_us + LOG_LATENCY_US, PENDING_LOG_ANSWER, node);

	pending->answer.stream = stream;
	pending->answer.from = from;
	pending->answer.check = check;
}

static void wake_long_polls(struct sim *sim, int stream)
{
	for (guint i = sim->long_polls->len; i-- > 0;) {
		struct long_poll long_poll = g_array_index(sim->long_polls, struct long_poll, i);

		if (long_poll.stream != stream)
			continue;
		g_array_remove_index(sim->long_polls, i);
		if (sim->nodes[long_poll.node].started_us == long_poll.node_started_us)
			schedule_answer(sim, long_poll.node, stream, long_poll.from, false);
	}
}

static int64_t append_record(struct sim *sim, int stream, struct log_record record)
{
	record.offset = newest_offset(sim, stream) + 1;
	g_array_append_val(sim->log[stream], record);
	g_array_append_val(sim->written_us[stream], sim->now_us);
	sim->stats.appends++;
	sim->stats.system_records += stream == (int)STREAM_SYSTEM;
	wake_long_polls(sim, stream);
	return record.offset;
}

void sim_read_action(struct sim *sim, int node, const struct action *action)
{
	struct long_poll long_poll = { ++sim->seq, node, sim->nodes[node].started_us,
				       stream_index(action->read.stream, action->read.partition),
				       action->read.from };
	int64_t wait_us = action->read.wait_until.at_us - START_MONO_US - sim->now_us;
	struct pending_event *timeout;

	sim->stats.reads++;
	if (sim->log_unavailable || newest_offset(sim, long_poll.stream) >= long_poll.from ||
	    wait_us <= 0) {
		schedule_answer(sim, node, long_poll.stream, long_poll.from, action->read.check);
		return;
	}
	g_array_append_val(sim->long_polls, long_poll);
	timeout = sim_schedule(sim, sim->now_us + wait_us, PENDING_LOG_ANSWER, node);
	timeout->answer.stream = long_poll.stream;
	timeout->answer.from = long_poll.from;
	timeout->answer.long_poll_id = long_poll.id;
}

void sim_append_action(struct sim *sim, int node, struct action *action)
{
	struct pending_event *pending =
		sim_schedule(sim, sim->now_us + LOG_LATENCY_US, PENDING_APPENDED, node);

	pending->appended.tag = action->append.tag;
	pending->appended.stream = stream_index(action->append.stream, action->append.partition);
	if (sim->log_unavailable)
		return;
	pending->appended.offset =
		append_record(sim, pending->appended.stream, action->append.record);
	action->append.record = (struct log_record){ .kind = LOG_INVALID };
	pending->appended.succeeded = sim->lose_answers == 0;
	sim->lose_answers -= sim->lose_answers > 0;
}

static bool end_long_poll(struct sim *sim, uint64_t id)
{
	if (id == 0)
		return true;
	for (guint i = 0; i < sim->long_polls->len; i++) {
		if (g_array_index(sim->long_polls, struct long_poll, i).id != id)
			continue;
		g_array_remove_index(sim->long_polls, i);
		return true;
	}
	return false;
}

static size_t content_bytes(const struct sim *sim, int stream, int64_t from)
{
	size_t bytes = 0;

	for (int64_t offset = MAX(from, sim->oldest_offset[stream]);
	     offset <= newest_offset(sim, stream); offset++) {
		const struct log_record *record = &g_array_index(
			sim->log[stream], struct log_record, offset - sim->oldest_offset[stream]);

		bytes += record->kind == LOG_CHANGE ? record->change->content.len : 0;
	}
	return bytes;
}

/* Schedules the answer again for the time at which the node's link has carried it; returns false if
 * it needs no time. */
static bool transfer_answer(struct sim *sim, const struct pending_event *pending, int64_t from)
{
	struct sim_node *node = &sim->nodes[pending->to];
	int64_t delay_us;
	struct pending_event *arrival;

	if (pending->answer.transferred || sim->log_unavailable)
		return false;
	delay_us = sim_link_delay_us(sim, &node->receiving_until_us,
				     content_bytes(sim, pending->answer.stream, from));
	if (delay_us == 0)
		return false;
	arrival = sim_schedule(sim, sim->now_us + delay_us, PENDING_LOG_ANSWER, pending->to);
	arrival->answer = pending->answer;
	arrival->answer.long_poll_id = 0;
	arrival->answer.transferred = true;
	return true;
}

void sim_deliver_log_answer(struct sim *sim, const struct pending_event *pending)
{
	int stream = pending->answer.stream;
	int64_t from = pending->answer.from ? pending->answer.from : sim->oldest_offset[stream];
	struct event event = { .kind = EVENT_LOG_FAILED };

	if (!end_long_poll(sim, pending->answer.long_poll_id) ||
	    transfer_answer(sim, pending, from))
		return;
	sim_stream_from_index(stream, &event.failed.stream, &event.failed.partition);
	event.failed.failure = LOG_FAILURE_UNAVAILABLE;
	event.failed.check = pending->answer.check;
	if (!sim->log_unavailable && from < sim->oldest_offset[stream]) {
		event.failed.failure = LOG_FAILURE_EXPIRED;
	} else if (!sim->log_unavailable) {
		event.kind = EVENT_LOG_BATCH;
		sim_stream_from_index(stream, &event.batch.stream, &event.batch.partition);
		event.batch.newest = newest_offset(sim, stream);
		event.batch.check = pending->answer.check;
		event.batch.count = (int)MAX(0, event.batch.newest - from + 1);
		event.batch.records = event.batch.count
					      ? &g_array_index(sim->log[stream], struct log_record,
							       from - sim->oldest_offset[stream])
					      : NULL;
	}
	sim_handle_event(sim, pending->to, &event);
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

void sim_log_set_unavailable(struct sim *sim, bool unavailable)
{
	sim->log_unavailable = unavailable;
	for (int stream = 0; stream < STREAMS; stream++)
		wake_long_polls(sim, stream);
}

void sim_log_expire(struct sim *sim, int64_t retention_us)
{
	for (int stream = 0; stream < STREAMS; stream++) {
		while (sim->log[stream]->len && g_array_index(sim->written_us[stream], int64_t, 0) <
							sim->now_us - retention_us) {
			log_record_clear(&g_array_index(sim->log[stream], struct log_record, 0));
			g_array_remove_index(sim->log[stream], 0);
			g_array_remove_index(sim->written_us[stream], 0);
			sim->oldest_offset[stream]++;
		}
	}
}

void sim_log_lose_answers(struct sim *sim, int count)
{
	sim->lose_answers = count;
}
