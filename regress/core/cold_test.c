/* Tests of the limit of cold targets and of evacuations, without a network: a node with its target,
 * calls offered to it, and a model of the target that records when calls reach it. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <string.h>

#include "base/rng.h"
#include "core/node.h"
#include "operator/parse.h"

#define COLD_OVER  1.5
#define COLD_SLACK 8.0
#define EVACUATE   "{\"evacuate\":[\"a\"]}"

/* A call counts at the target when it arrives, up to this much later than it starts. */
#define ARRIVAL_DELAY_US (200 * US_PER_MS)
#define TICK_US		 (100 * US_PER_MS)
#define STEP_US		 (5 * US_PER_MS)
#define HEARTBEAT_US	 (1500 * US_PER_MS)

enum { SLOTS = 12, ARRIVALS_MAX = 20000, RUNNING_MAX = 64 };

/** A node, its target and the calls. */
struct model {
	struct node *node;
	struct rng rng;
	int64_t now_us; /* since the start of the node */
	int64_t service_us;
	int64_t offset; /* of the newest record of the log */
	int64_t next_tick_us;
	struct queue_entry *running[RUNNING_MAX];
	int64_t started_us[RUNNING_MAX];
	int64_t ends_us[RUNNING_MAX];
	int running_count;
	int64_t arrivals_us[ARRIVALS_MAX];
	int arrivals;
	int results[ADMIT_EVACUATED + 1];
	int returned; /* queued calls that were refused */
	int served;
	int events_cold;
	int events_warm;
	int events_evacuated;
};

static struct instant now_of(const struct model *model)
{
	return (struct instant){ 1000 * US_PER_S + model->now_us,
				 1796000000LL * US_PER_S + model->now_us };
}

static void handle(struct model *model, const struct event *event)
{
	struct actions actions = actions_new();

	node_handle(model->node, event, now_of(model), &actions);
	for (guint i = 0; i < actions.list->len; i++) {
		const struct action *action = &g_array_index(actions.list, struct action, i);

		if (action->kind != ACTION_LOG_EVENT)
			continue;
		model->events_cold += action->log_event.event == LOG_EVENT_TARGET_COLD;
		model->events_warm += action->log_event.event == LOG_EVENT_TARGET_WARM;
		model->events_evacuated += action->log_event.event == LOG_EVENT_EVACUATION_STARTED;
	}
	actions_clear(&actions);
}

static void publish(struct model *model, const char *file, const char *text)
{
	struct event event = { .kind = EVENT_LOG_BATCH };
	struct log_record record = { .kind = LOG_CHANGE, .offset = ++model->offset };
	char id[16];

	g_snprintf(id, sizeof(id), "c%d", (int)model->offset);
	record.change = change_new(label_from(str_from_cstr(id)), label_from(str_from_cstr(file)),
				   CHANGE_ANY_BASE, str_from_cstr(text));
	parse_record_changes(&record);
	event.batch.stream = STREAM_CONFIG;
	event.batch.records = &record;
	event.batch.count = 1;
	event.batch.newest = model->offset;
	handle(model, &event);
	log_record_clear(&record);
}

/* @param left_s  remaining time that the heartbeat states; negative: it states none */
static void send_heartbeat(struct model *model, bool started, double left_s)
{
	struct event event = { .kind = EVENT_TARGET_UP };

	event.target.service = LABEL("s");
	event.target.version = LABEL("v1");
	event.target.slots = SLOTS;
	event.target.started = started;
	event.target.states_warmup = left_s >= 0;
	event.target.cold = left_s > 0;
	handle(model, &event);
}

/* @param warmup  members of the service that state the limit of its cold targets */
static struct model *model_new(const char *warmup, uint64_t seed)
{
	struct node_options options = { .id = 1, .data_centre = LABEL("a"), .seed = seed };
	struct model *model = g_new0(struct model, 1);
	struct event system_read = { .kind = EVENT_LOG_BATCH };
	struct event tick = { .kind = EVENT_TICK };
	char *text = g_strdup_printf(
		"{\"services\":{\"s\":{\"versions\":\"any\"%s}},\"routes\":[{\"name\":\"r\","
		"\"path\":\"/\",\"service\":\"s\",\"objective_ms\":500}]}",
		warmup);

	model->rng.state = seed;
	model->service_us = 220 * US_PER_MS;
	model->node = node_new(&options, now_of(model), NULL);
	handle(model, &tick);
	system_read.batch.stream = STREAM_SYSTEM;
	handle(model, &system_read);
	publish(model, "config", text);
	assert_true(node_is_current(model->node));
	g_free(text);
	/* A target may get a burst after calls have not come for a while. */
	model->now_us += 10 * US_PER_S;
	return model;
}

static void run(struct model *model, struct queue_entry *entry)
{
	assert_true(model->running_count < RUNNING_MAX && model->arrivals < ARRIVALS_MAX);
	model->running[model->running_count] = entry;
	model->started_us[model->running_count] = model->now_us;
	model->ends_us[model->running_count++] = model->now_us + model->service_us;
	model->arrivals_us[model->arrivals++] =
		model->now_us + (int64_t)rng_below(&model->rng, ARRIVAL_DELAY_US);
}

static enum admit_result offer(struct model *model, bool may_queue, int64_t deadline_us)
{
	struct queue_entry *entry = g_new0(struct queue_entry, 1);
	enum admit_result result;

	entry->tenant = LABEL("t");
	entry->route = LABEL("r");
	entry->class = CLASS_STANDARD;
	entry->concurrency_percent = 100;
	entry->no_queue = !may_queue;
	entry->deadline = deadline_after(now_of(model), deadline_us);
	result = admit_offer(node_admit(model->node), entry, now_of(model));
	model->results[result]++;
	switch (result) {
	case ADMIT_RUN:
		run(model, entry);
		break;
	case ADMIT_QUEUED:
		break;
	case ADMIT_COLD:
		assert_true(entry->expected_us > 0);
		g_free(entry);
		break;
	case ADMIT_BUSY:
	case ADMIT_FULL:
	case ADMIT_LATE:
	case ADMIT_CLOSED:
	case ADMIT_EVACUATED:
		g_free(entry);
		break;
	}
	return result;
}

static void dispatch_queued(struct model *model)
{
	struct admit_dispatch dispatch;

	while ((dispatch = admit_next(node_admit(model->node), now_of(model))).kind !=
	       DISPATCH_NONE) {
		if (dispatch.kind == DISPATCH_RUN) {
			run(model, dispatch.entry);
			continue;
		}
		model->returned++;
		g_free(dispatch.entry);
	}
}

/* Passes STEP_US, in which calls end, and each TICK_US one tick. */
static void step(struct model *model)
{
	struct event tick = { .kind = EVENT_TICK };
	bool ended = false;

	model->now_us += STEP_US;
	for (int i = model->running_count; i-- > 0;) {
		if (model->ends_us[i] > model->now_us)
			continue;
		admit_done(node_admit(model->node), model->running[i], SLOT_SERVED,
			   model->ends_us[i] - model->started_us[i]);
		g_free(model->running[i]);
		model->running[i] = model->running[--model->running_count];
		model->started_us[i] = model->started_us[model->running_count];
		model->ends_us[i] = model->ends_us[model->running_count];
		model->served++;
		ended = true;
	}
	if (model->now_us >= model->next_tick_us) {
		model->next_tick_us = model->now_us + TICK_US;
		handle(model, &tick);
		ended = true;
	}
	if (ended)
		dispatch_queued(model);
}

static void pass(struct model *model, int64_t us)
{
	for (int64_t end_us = model->now_us + us; model->now_us < end_us;)
		step(model);
}

static void model_free(struct model *model)
{
	struct event down = { .kind = EVENT_TARGET_DOWN };

	handle(model, &down);
	dispatch_queued(model);
	pass(model, US_PER_S);
	assert_int_equal(model->running_count, 0);
	node_free(model->node);
	g_free(model);
}

static gint compare_times(gconstpointer a, gconstpointer b, gpointer data)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	(void)data;
	return x < y ? -1 : x > y;
}

/* Returns the most calls that reached the target in any second that began at @p from_us or later.
 */
static int most_in_a_second(struct model *model, int64_t from_us)
{
	int most = 0;
	int first = 0;

	g_qsort_with_data(model->arrivals_us, model->arrivals, sizeof(int64_t), compare_times,
			  NULL);
	while (first < model->arrivals && model->arrivals_us[first] < from_us)
		first++;
	for (int last = first; last < model->arrivals; last++) {
		while (model->arrivals_us[last] - model->arrivals_us[first] >= US_PER_S)
			first++;
		most = MAX(most, last - first + 1);
	}
	return most;
}

static const struct {
	const char *warmup;
	double per_s;
} rates[] = {
	{ ",\"warmup_ms\":6000,\"cold_calls_per_s\":0.5", 0.5 },
	{ ",\"warmup_ms\":6000,\"cold_calls_per_s\":4", 4 },
	{ ",\"warmup_ms\":6000,\"cold_calls_per_s\":7.5", 7.5 },
	{ ",\"warmup_ms\":6000,\"cold_calls_per_s\":30", 30 },
};

/* A cold target was sent all that its slots could take, from all entry nodes at once. */
static void test_bursts_at_cold_target_stay_below_bound(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++)
		for (uint64_t seed = 1; seed <= 20; seed++) {
			struct model *model = model_new(rates[i].warmup, seed);
			double bound = rates[i].per_s * COLD_OVER + COLD_SLACK;
			int64_t heartbeat_us = 0;
			int most;

			send_heartbeat(model, true, 6);
			while (model->now_us < 40 * US_PER_S) {
				int burst = rng_below(&model->rng, 40) ? 0 : 60;
				bool pause = model->now_us / US_PER_S % 16 >= 10;

				for (int call = 0; !pause && call < burst + 2; call++)
					offer(model, rng_below(&model->rng, 2), 2 * US_PER_S);
				step(model);
				if (model->now_us < heartbeat_us)
					continue;
				heartbeat_us = model->now_us + HEARTBEAT_US;
				send_heartbeat(model, false, 3);
			}
			most = most_in_a_second(model, 0);
			if (seed == 1)
				print_message(
					"%g/s: %d in a second, bound %g; %d ran, %d refused\n",
					rates[i].per_s, most, bound, model->arrivals,
					model->results[ADMIT_COLD]);
			/* The load exceeds the limit, and the limit is used. */
			assert_true(model->results[ADMIT_COLD] > 1000);
			assert_true(model->arrivals >= 18 * rates[i].per_s);
			assert_true(most <= bound);
			model_free(model);
		}
}

/* A loaded target turns cold. Its node sent it calls at the full rate until the next heartbeat, and
 * then a whole burst on top of them. */
static void test_target_that_turns_cold_under_load(void **state)
{
	struct model *model = model_new(rates[1].warmup, 7);
	int64_t cold_us;
	int warm_most;
	int most;

	(void)state;
	send_heartbeat(model, true, 0);
	for (int i = 0; i < 600; i++) {
		offer(model, false, 2 * US_PER_S);
		if (i % 300 == 299)
			send_heartbeat(model, false, 0);
		step(model);
	}
	warm_most = most_in_a_second(model, 0);
	send_heartbeat(model, false, 5.5);
	cold_us = model->now_us;
	for (int i = 0; i < 600; i++) {
		offer(model, false, 2 * US_PER_S);
		if (i % 300 == 299)
			send_heartbeat(model, false, 4);
		step(model);
	}
	/* Calls that started before the heartbeat reach the target up to ARRIVAL_DELAY_US later. */
	most = most_in_a_second(model, cold_us + ARRIVAL_DELAY_US);
	print_message("warm %d in a second, cold %d\n", warm_most, most);
	assert_true(warm_most > 40);
	assert_true(most <= 4 * COLD_OVER + COLD_SLACK);
	assert_true(model->results[ADMIT_COLD] > 400);
	assert_int_equal(model->events_cold, 1);
	send_heartbeat(model, false, 0);
	assert_int_equal(model->events_warm, 1);
	assert_int_equal(offer(model, false, 2 * US_PER_S), ADMIT_RUN);
	model_free(model);
}

/* A lightly loaded target turns cold before its heartbeat says so. With a full bucket at that time,
 * the calls before and after the heartbeat exceeded the bound together. */
static void test_calls_before_the_notice_count(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 50; seed++) {
		struct model *model = model_new(rates[1].warmup, seed);
		int most;

		send_heartbeat(model, true, 0);
		pass(model, US_PER_S);
		/* Eight calls are fewer than the bound of 14. */
		for (int i = 0; i < 8; i++)
			assert_int_equal(offer(model, false, 2 * US_PER_S), ADMIT_RUN);
		pass(model, 300 * US_PER_MS);
		send_heartbeat(model, false, 5.7);
		for (int i = 0; i < 400; i++) {
			offer(model, false, 2 * US_PER_S);
			step(model);
		}
		most = most_in_a_second(model, 0);
		assert_true(model->results[ADMIT_COLD] > 0);
		assert_true(most <= 4 * COLD_OVER + COLD_SLACK);
		model_free(model);
	}
}

/* A service without the limit must not be affected by its targets' heartbeats. */
static void test_service_without_rate_is_not_limited(void **state)
{
	struct model *model = model_new("", 3);

	(void)state;
	send_heartbeat(model, true, 6);
	for (int i = 0; i < SLOTS; i++)
		assert_int_equal(offer(model, false, 2 * US_PER_S), ADMIT_RUN);
	assert_int_equal(offer(model, false, 2 * US_PER_S), ADMIT_BUSY);
	publish(model, "evacuation", EVACUATE);
	assert_int_equal(offer(model, false, 2 * US_PER_S), ADMIT_EVACUATED);
	publish(model, "evacuation", "");
	pass(model, 300 * US_PER_MS);
	for (int i = 0; i < SLOTS; i++)
		assert_int_equal(offer(model, false, 2 * US_PER_S), ADMIT_RUN);
	assert_int_equal(model->events_cold, 0);
	model_free(model);
}

/* Queued calls of a cold target start only as tokens come. No call ends meanwhile that would look
 * at the queue: without the tick they waited until their deadlines. */
static void test_queue_of_cold_target_moves_on(void **state)
{
	struct model *model = model_new(rates[1].warmup, 5);
	int64_t started_us;
	int queued;

	(void)state;
	model->service_us = 20 * US_PER_MS;
	send_heartbeat(model, true, 6);
	/* The queue takes calls that can be expected to start before their deadlines. */
	for (int i = 0; i < 40; i++)
		offer(model, true, 4 * US_PER_S);
	queued = model->results[ADMIT_QUEUED];
	assert_int_equal(model->results[ADMIT_RUN], 4);
	assert_true(queued >= 10);
	assert_true(model->results[ADMIT_LATE] > 0);
	started_us = model->now_us;
	for (int heartbeats = 0; model->arrivals < 4 + queued && heartbeats < 10; heartbeats++) {
		send_heartbeat(model, false, 5);
		pass(model, 500 * US_PER_MS);
	}
	print_message("%d queued, %d returned, %d ms\n", queued, model->returned,
		      (int)((model->now_us - started_us) / US_PER_MS));
	assert_int_equal(model->returned, 0);
	assert_int_equal(model->arrivals, 4 + queued);
	assert_true(model->now_us - started_us <= 4500 * US_PER_MS);
	assert_true(most_in_a_second(model, 0) <= 4 * COLD_OVER + COLD_SLACK);
	send_heartbeat(model, false, 0);
	assert_int_equal(offer(model, true, 4 * US_PER_S), ADMIT_RUN);
	model_free(model);
}

static void offer_for(struct model *model, int64_t us, double left_s)
{
	int64_t heartbeat_us = model->now_us;

	for (int64_t end_us = model->now_us + us; model->now_us < end_us;) {
		if (model->now_us >= heartbeat_us) {
			heartbeat_us = model->now_us + HEARTBEAT_US;
			send_heartbeat(model, false, left_s);
		}
		offer(model, rng_below(&model->rng, 2), 2 * US_PER_S);
		step(model);
	}
}

/* Calls were sent to the targets of an evacuated data centre, queued ones too, and all at once to
 * targets that were cold when it was taken back. */
static void test_evacuation_under_load_and_its_end(void **state)
{
	struct model *model = model_new(rates[1].warmup, 11);
	int before;
	int64_t reopened_us;
	int most;

	(void)state;
	send_heartbeat(model, true, 0);
	offer_for(model, 3 * US_PER_S, 0);
	assert_true(admit_count(node_admit(model->node), now_of(model)).queued > 0);
	assert_int_equal(model->running_count, SLOTS);
	publish(model, "evacuation", EVACUATE);
	before = model->arrivals;
	offer_for(model, 3 * US_PER_S, 0);
	assert_int_equal(model->arrivals, before);
	assert_true(model->results[ADMIT_EVACUATED] > 500);
	assert_true(model->returned > 0);
	assert_int_equal(model->running_count, 0);
	/* Those at the target ended there. */
	assert_int_equal(model->served, before);
	assert_int_equal(admit_count(node_admit(model->node), now_of(model)).queued, 0);
	assert_true(node_is_ready(model->node));
	assert_int_equal(model->events_evacuated, 1);
	/* The last heartbeat before the end said that the target is warm. */
	publish(model, "evacuation", "");
	reopened_us = model->now_us;
	for (int i = 0; i < 200; i++) {
		offer(model, true, 2 * US_PER_S);
		step(model);
	}
	offer_for(model, 4 * US_PER_S, 2);
	most = most_in_a_second(model, reopened_us);
	print_message("%d in a second after the end\n", most);
	assert_true(model->arrivals - before > 15);
	assert_true(most <= 4 * COLD_OVER + COLD_SLACK);
	assert_int_equal(model->events_cold, 1);
	before = model->arrivals;
	offer_for(model, 2 * US_PER_S, 0);
	assert_true(model->arrivals - before > 60);
	model_free(model);
}

/* A target beside a restarted node, or another incarnation, counted as warm before it said so; and
 * one that can't say so, through another interface, stayed cold for good. */
static void test_started_target_without_statement_warms_up_in_time(void **state)
{
	struct model *model = model_new(rates[1].warmup, 13);

	(void)state;
	send_heartbeat(model, true, -1);
	for (int i = 0; i < 4; i++)
		assert_int_equal(offer(model, false, 2 * US_PER_S), ADMIT_RUN);
	assert_int_equal(offer(model, false, 2 * US_PER_S), ADMIT_COLD);
	pass(model, 5900 * US_PER_MS);
	send_heartbeat(model, false, -1);
	for (int i = 0; i < 4; i++)
		assert_int_equal(offer(model, false, 2 * US_PER_S), ADMIT_RUN);
	assert_int_equal(offer(model, false, 2 * US_PER_S), ADMIT_COLD);
	pass(model, 200 * US_PER_MS);
	for (int i = 0; i < 8; i++)
		assert_int_equal(offer(model, false, 2 * US_PER_S), ADMIT_RUN);
	assert_int_equal(model->events_cold, 1);
	assert_int_equal(model->events_warm, 1);
	model_free(model);
}

/* A target whose heartbeats are lost may have turned cold since. */
static void test_gap_in_heartbeats_counts_as_cold(void **state)
{
	struct model *model = model_new(rates[1].warmup, 17);

	(void)state;
	send_heartbeat(model, true, 0);
	/* One lost heartbeat is no gap. */
	pass(model, 2 * HEARTBEAT_US);
	for (int i = 0; i < SLOTS; i++)
		assert_int_equal(offer(model, false, 2 * US_PER_S), ADMIT_RUN);
	pass(model, 2 * US_PER_S);
	assert_int_equal(model->events_cold, 1);
	for (int i = 0; i < 4; i++)
		offer(model, false, 2 * US_PER_S);
	assert_int_equal(offer(model, false, 2 * US_PER_S), ADMIT_COLD);
	send_heartbeat(model, false, 0);
	assert_int_equal(model->events_warm, 1);
	assert_int_equal(offer(model, false, 2 * US_PER_S), ADMIT_RUN);
	model_free(model);
}

/* The times of cold calls made the node expect late answers of a target that was warm again. */
static void test_cold_calls_leave_smoothed_times(void **state)
{
	struct model *model = model_new(rates[3].warmup, 19);
	int64_t warm_us;

	(void)state;
	send_heartbeat(model, true, 0);
	offer_for(model, 3 * US_PER_S, 0);
	warm_us = admit_count(node_admit(model->node), now_of(model)).service_us;
	assert_true(llabs(warm_us - 220 * US_PER_MS) < 30 * US_PER_MS);
	pass(model, US_PER_S);
	model->service_us = 900 * US_PER_MS;
	offer_for(model, 6 * US_PER_S, 5);
	assert_true(model->results[ADMIT_COLD] > 0);
	pass(model, 2 * US_PER_S);
	assert_int_equal(admit_count(node_admit(model->node), now_of(model)).service_us, warm_us);
	model_free(model);
	/* A target that was never warm is measured cold; the first warm calls replace that. */
	model = model_new(rates[3].warmup, 23);
	model->service_us = 900 * US_PER_MS;
	send_heartbeat(model, true, 5);
	offer_for(model, 6 * US_PER_S, 5);
	assert_true(admit_count(node_admit(model->node), now_of(model)).service_us >
		    800 * US_PER_MS);
	pass(model, 2 * US_PER_S);
	model->service_us = 220 * US_PER_MS;
	offer_for(model, 2 * US_PER_S, 0);
	assert_true(admit_count(node_admit(model->node), now_of(model)).service_us <
		    350 * US_PER_MS);
	model_free(model);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bursts_at_cold_target_stay_below_bound),
		cmocka_unit_test(test_target_that_turns_cold_under_load),
		cmocka_unit_test(test_calls_before_the_notice_count),
		cmocka_unit_test(test_service_without_rate_is_not_limited),
		cmocka_unit_test(test_queue_of_cold_target_moves_on),
		cmocka_unit_test(test_evacuation_under_load_and_its_end),
		cmocka_unit_test(test_started_target_without_statement_warms_up_in_time),
		cmocka_unit_test(test_gap_in_heartbeats_counts_as_cold),
		cmocka_unit_test(test_cold_calls_leave_smoothed_times),
	};

	apr_initialize();
	return cmocka_run_group_tests_name("core/cold", tests, NULL, NULL);
}
