/* Tests under overload: offers of calls, queueing, and the slots that a target is given. */
#include "regress/lib/check.h"

#include <apr_general.h>

#include "core/admit.h"
#include "core/placement.h"
#include "core/traffic.h"

enum { SLOTS = 4 };

static apr_pool_t *pool;
static GPtrArray *entries; /* freed after the last test */
static GPtrArray *admits;

static struct queue_entry *entry_new(enum traffic_class class, double now_s, double objective_s,
				     double deadline_s)
{
	struct queue_entry *entry = g_new0(struct queue_entry, 1);

	entry->tenant = LABEL("t");
	entry->route = LABEL("r");
	entry->class = class;
	entry->concurrency_percent = 100;
	entry->objective = deadline_after(instant_at_s(now_s), (int64_t)(objective_s * 1e6));
	entry->deadline = deadline_after(instant_at_s(now_s), (int64_t)(deadline_s * 1e6));
	g_ptr_array_add(entries, entry);
	return entry;
}

/* Returns the admission of a target that has served fifty calls of 100 ms. */
static struct admit *warm_admit(void)
{
	struct admit *admit = admit_new(pool);

	g_ptr_array_add(admits, admit);
	admit_set_slots(admit, SLOTS);
	for (int i = 0; i < 50; i++) {
		struct queue_entry *entry = entry_new(CLASS_BACKGROUND, 0, 1, 2);

		assert_int_equal(admit_offer(admit, entry, instant_at_s(0)), ADMIT_RUN);
		admit_done(admit, entry, SLOT_SERVED, 100 * US_PER_MS);
	}
	return admit;
}

static struct queue_entry *fill_slots(struct admit *admit, double now_s)
{
	struct queue_entry *first = NULL;

	for (int i = 0; i < SLOTS; i++) {
		struct queue_entry *entry = entry_new(CLASS_BACKGROUND, now_s, 1, 2);

		assert_int_equal(admit_offer(admit, entry, instant_at_s(now_s)), ADMIT_RUN);
		first = first ? first : entry;
	}
	return first;
}

static void test_busy_target_reports_expected_answer(void **state)
{
	struct admit *admit = warm_admit();
	struct queue_entry *offer = entry_new(CLASS_BACKGROUND, 1, 0.5, 1);

	(void)state;
	fill_slots(admit, 1);
	offer->no_queue = true;
	assert_int_equal(admit_offer(admit, offer, instant_at_s(1)), ADMIT_BUSY);
	assert_in_range(offer->expected_us, 100 * US_PER_MS, 300 * US_PER_MS);
	assert_int_equal(admit_count(admit, instant_at_s(1)).queued, 0);
}

/* A target that became twelve times slower refuses calls although its smoothed times are short. */
static void test_slow_target_refuses_before_late_answers(void **state)
{
	struct admit *admit = warm_admit();
	struct queue_entry *offer = entry_new(CLASS_BACKGROUND, 1.6, 0.3, 1);

	(void)state;
	for (int i = 0; i < SLOTS - 1; i++)
		assert_int_equal(
			admit_offer(admit, entry_new(CLASS_BACKGROUND, 1, 1, 2), instant_at_s(1)),
			ADMIT_RUN);
	offer->no_queue = true;
	assert_int_equal(admit_offer(admit, offer, instant_at_s(1.6)), ADMIT_BUSY);
	assert_true(offer->expected_us > 300 * US_PER_MS);
}

static void test_late_call_is_refused_unless_retried(void **state)
{
	struct admit *admit = warm_admit();
	struct queue_entry *late = entry_new(CLASS_BACKGROUND, 1, 0.05, 1);
	struct queue_entry *retry = entry_new(CLASS_BACKGROUND, 1, 0.05, 1);

	(void)state;
	fill_slots(admit, 1);
	assert_int_equal(admit_offer(admit, late, instant_at_s(1)), ADMIT_LATE);
	retry->retried = true;
	assert_int_equal(admit_offer(admit, retry, instant_at_s(1)), ADMIT_QUEUED);
}

/* In a burst, a call that can't meet its objective runs after one that still can. */
static void test_late_calls_do_not_delay_others(void **state)
{
	struct admit *admit = warm_admit();
	struct queue_entry *running = fill_slots(admit, 1);
	struct queue_entry *first = entry_new(CLASS_BACKGROUND, 1, 0.3, 2);
	struct queue_entry *second = entry_new(CLASS_BACKGROUND, 1.25, 0.3, 2);
	struct admit_dispatch dispatch;

	(void)state;
	assert_int_equal(admit_offer(admit, first, instant_at_s(1)), ADMIT_QUEUED);
	assert_int_equal(admit_offer(admit, second, instant_at_s(1.1)), ADMIT_QUEUED);
	admit_done(admit, running, SLOT_UNMEASURED, 0);
	dispatch = admit_next(admit, instant_at_s(1.25));
	assert_int_equal(dispatch.kind, DISPATCH_RUN);
	assert_ptr_equal(dispatch.entry, second);
	assert_int_equal(admit_count(admit, instant_at_s(1.25)).late, 1);
	admit_done(admit, second, SLOT_SERVED, 100 * US_PER_MS);
	dispatch = admit_next(admit, instant_at_s(1.4));
	assert_int_equal(dispatch.kind, DISPATCH_RUN);
	assert_ptr_equal(dispatch.entry, first);
}

/* Calls made by targets keep their place when late: the calls being served wait for them. */
static void test_urgent_calls_are_not_deferred(void **state)
{
	struct admit *admit = warm_admit();
	struct queue_entry *running = fill_slots(admit, 1);
	struct queue_entry *urgent = entry_new(CLASS_STANDARD, 1, 0.02, 0.5);
	struct queue_entry *other = entry_new(CLASS_BACKGROUND, 1, 0.9, 2);
	struct admit_dispatch dispatch;

	(void)state;
	urgent->nested = true;
	assert_int_equal(admit_offer(admit, other, instant_at_s(1)), ADMIT_QUEUED);
	assert_int_equal(admit_offer(admit, urgent, instant_at_s(1)), ADMIT_QUEUED);
	admit_done(admit, running, SLOT_UNMEASURED, 0);
	dispatch = admit_next(admit, instant_at_s(1.1));
	assert_int_equal(dispatch.kind, DISPATCH_RUN);
	assert_ptr_equal(dispatch.entry, urgent);
}

/* In scale-1 of Lanhua's grown site, check-ins waited for a second, and the short calls that the
 * board makes at the front desk waited behind them until their deadline. */
static void test_nested_call_precedes_longer_calls_of_its_class(void **state)
{
	struct admit *admit = warm_admit();
	struct queue_entry *running = fill_slots(admit, 1);
	struct queue_entry *nested = entry_new(CLASS_STANDARD, 1.1, 0.3, 0.4);
	struct admit_dispatch dispatch;

	(void)state;
	nested->nested = true;
	for (int i = 0; i < 2 * SLOTS; i++)
		assert_int_equal(
			admit_offer(admit, entry_new(CLASS_STANDARD, 1, 0.6, 1.5), instant_at_s(1)),
			ADMIT_QUEUED);
	assert_int_equal(admit_offer(admit, nested, instant_at_s(1.1)), ADMIT_QUEUED);
	admit_done(admit, running, SLOT_UNMEASURED, 0);
	dispatch = admit_next(admit, instant_at_s(1.1));
	assert_int_equal(dispatch.kind, DISPATCH_RUN);
	assert_ptr_equal(dispatch.entry, nested);
}

/* A late call runs after those that are on time. If it would miss its deadline behind them, it is
 * refused at once: held until its deadline, its caller had no time left to try again. */
static void test_late_call_that_can_not_be_served_is_refused_at_once(void **state)
{
	struct admit *admit = warm_admit();
	struct queue_entry *late = entry_new(CLASS_BACKGROUND, 1, 0.25, 0.6);
	struct admit_dispatch dispatch;

	(void)state;
	fill_slots(admit, 1);
	assert_int_equal(admit_offer(admit, late, instant_at_s(1)), ADMIT_QUEUED);
	for (int i = 0; i < 4 * SLOTS; i++)
		assert_int_equal(
			admit_offer(admit, entry_new(CLASS_BACKGROUND, 1, 1, 2), instant_at_s(1)),
			ADMIT_QUEUED);
	dispatch = admit_next(admit, instant_at_s(1.2));
	assert_int_equal(dispatch.kind, DISPATCH_LATE);
	assert_ptr_equal(dispatch.entry, late);
}

/* In trouble-1 of Lanhua's grown site, reads came back with 80 ms left, ran for that time of their
 * usual 130, and were cut by their deadline. */
static void test_call_without_time_left_is_not_started(void **state)
{
	struct admit *admit = warm_admit();
	struct queue_entry *hopeless = entry_new(CLASS_BACKGROUND, 1, 0.5, 0.04);
	struct queue_entry *hopeful = entry_new(CLASS_BACKGROUND, 1, 0.5, 0.07);
	struct queue_entry *queued = entry_new(CLASS_STANDARD, 1, 0.39, 0.4);
	struct queue_entry *running;
	struct admit_dispatch dispatch;

	(void)state;
	queued->nested = true;
	assert_int_equal(admit_offer(admit, hopeless, instant_at_s(1)), ADMIT_LATE);
	assert_int_equal(admit_offer(admit, hopeful, instant_at_s(1)), ADMIT_RUN);
	admit_done(admit, hopeful, SLOT_UNMEASURED, 0);
	running = fill_slots(admit, 1);
	assert_int_equal(admit_offer(admit, queued, instant_at_s(1)), ADMIT_QUEUED);
	admit_done(admit, running, SLOT_UNMEASURED, 0);
	dispatch = admit_next(admit, instant_at_s(1.37));
	assert_int_equal(dispatch.kind, DISPATCH_LATE);
	assert_ptr_equal(dispatch.entry, queued);
}

/* Nested calls are short. Behind six calls of 160 ms each waited 27 ms for a slot, and the slot of
 * the call that waits for it was taken as long: other calls leave free what they use on average. */
static void test_nested_calls_find_a_free_slot(void **state)
{
	struct admit *admit = warm_admit();
	double now_s = 1;
	int others = 0;

	(void)state;
	for (int i = 0; i < 60; i++, now_s += 0.05) {
		struct queue_entry *nested = entry_new(CLASS_STANDARD, now_s, 0.3, 0.4);
		struct queue_entry *second = entry_new(CLASS_STANDARD, now_s, 0.3, 0.4);
		struct queue_entry *third = entry_new(CLASS_BACKGROUND, now_s, 0.3, 0.4);

		nested->nested = true;
		second->nested = true;
		assert_int_equal(admit_offer(admit, nested, instant_at_s(now_s)), ADMIT_RUN);
		assert_int_equal(admit_offer(admit, second, instant_at_s(now_s)), ADMIT_RUN);
		assert_int_equal(admit_offer(admit, third, instant_at_s(now_s + 0.04)), ADMIT_RUN);
		admit_done(admit, nested, SLOT_SERVED, 50 * US_PER_MS);
		admit_done(admit, second, SLOT_SERVED, 50 * US_PER_MS);
		admit_done(admit, third, SLOT_SERVED, 10 * US_PER_MS);
	}
	for (int i = 0; i < SLOTS; i++) {
		struct queue_entry *other = entry_new(CLASS_BACKGROUND, now_s, 1, 2);

		other->no_queue = true;
		others += admit_offer(admit, other, instant_at_s(now_s)) == ADMIT_RUN;
	}
	assert_int_equal(others, SLOTS - 1);
	assert_int_equal(admit_count(admit, instant_at_s(now_s)).running, SLOTS - 1);
}

/* A late call that waits until its deadline costs its caller more than an early refusal. */
static void test_late_queue_is_bounded(void **state)
{
	struct admit *admit = warm_admit();
	int refused = 0;

	(void)state;
	fill_slots(admit, 1);
	for (int i = 0; i < 3 * SLOTS; i++) {
		struct queue_entry *entry = entry_new(CLASS_BACKGROUND, 1, 0.45, 5);

		if (admit_offer(admit, entry, instant_at_s(1)) != ADMIT_QUEUED)
			refused++;
	}
	for (;;) {
		struct admit_dispatch dispatch = admit_next(admit, instant_at_s(1.44));

		if (dispatch.kind == DISPATCH_NONE)
			break;
		assert_int_equal(dispatch.kind, DISPATCH_LATE);
		refused++;
	}
	assert_int_equal(admit_count(admit, instant_at_s(1.44)).late, SLOTS);
	assert_int_equal(refused, 2 * SLOTS);
}

/* Serves one call in each slot at once; sheds one of @p shed_interval calls, none if it is 0. */
static void serve_round(struct admit *admit, double now_s, int round, int shed_interval)
{
	struct queue_entry *running[SLOTS] = { NULL };
	int count = 0;

	for (int i = 0; i < SLOTS; i++) {
		struct queue_entry *entry = entry_new(CLASS_BACKGROUND, now_s, 1, 2);

		if (admit_offer(admit, entry, instant_at_s(now_s)) == ADMIT_RUN)
			running[count++] = entry;
	}
	for (int i = 0; i < count; i++) {
		bool shed = shed_interval && (i + round) % shed_interval == 0;

		admit_done(admit, running[i], shed ? SLOT_SHED : SLOT_SERVED,
			   shed ? 1000 : 100 * US_PER_MS);
	}
}

/* A target that sheds half of its calls at any load keeps its slots. */
static void test_shedding_at_any_load_keeps_slots(void **state)
{
	struct admit *admit = warm_admit();

	(void)state;
	serve_round(admit, 0.9, 0, 0);
	for (int round = 0; round < 60; round++) {
		serve_round(admit, 1 + round * 0.1, round, 2);
		if (admit_count(admit, instant_at_s(1)).slots < SLOTS)
			fail_msg("round %d: %d slots", round,
				 admit_count(admit, instant_at_s(1)).slots);
	}
}

static void test_call_stays_local_while_on_time(void **state)
{
	struct placement_inputs inputs = { .objective_remaining_us = 400 * US_PER_MS,
					   .remote_probability = 1,
					   .remaining_us = US_PER_S,
					   .answer_bytes = 500 };
	struct placement placement = { 0 };

	(void)state;
	assert_int_equal(placement_next(&placement, &inputs), PLACE_LOCAL);
	placement_refused(&placement, 1, 200 * US_PER_MS);
	assert_int_equal(placement_next(&placement, &inputs), PLACE_LOCAL);
	placement_refused(&placement, 2, 150 * US_PER_MS);
	assert_int_equal(placement_next(&placement, &inputs), PLACE_LOCAL);
	placement_no_target(&placement);
	assert_int_equal(placement_next(&placement, &inputs), PLACE_QUEUE);
	assert_int_equal(placement.best_target, 2);
	/* The queue there has filled: remote targets are asked, and then none is left. */
	placement_refused(&placement, 2, 0);
	assert_int_equal(placement_next(&placement, &inputs), PLACE_REMOTE);
	placement_no_target(&placement);
	assert_int_equal(placement_next(&placement, &inputs), PLACE_REFUSE);
}

/* A call whose target's node was lost was refused as if no target took work: its first attempt had
 * used up the offers. */
static void test_retry_is_offered_anew(void **state)
{
	struct placement_inputs inputs = { .objective_remaining_us = 400 * US_PER_MS,
					   .remaining_us = US_PER_S,
					   .remote_probability = 0 };
	struct placement placement = { 0 };

	(void)state;
	assert_int_equal(placement_next(&placement, &inputs), PLACE_LOCAL);
	placement_no_target(&placement);
	assert_int_equal(placement_next(&placement, &inputs), PLACE_REMOTE);
	/* The target took the call, and its node was lost. */
	placement_refused(&placement, 1, 0);
	placement_retry(&placement);
	assert_int_equal(placement_next(&placement, &inputs), PLACE_LOCAL);
	placement_no_target(&placement);
	assert_int_equal(placement_next(&placement, &inputs), PLACE_REMOTE);
	placement_no_target(&placement);
	assert_int_equal(placement_next(&placement, &inputs), PLACE_REFUSE);
}

static void test_late_local_call_goes_remote(void **state)
{
	struct placement_inputs inputs = { .objective_remaining_us = 100 * US_PER_MS,
					   .remaining_us = US_PER_S,
					   .remote_probability = 1 };
	struct placement placement = { .local_exhausted = true };

	(void)state;
	placement.offering_local = true;
	placement_refused(&placement, 1, 90 * US_PER_MS);
	assert_int_equal(placement_next(&placement, &inputs), PLACE_REMOTE);
	placement_refused(&placement, 3, 70 * US_PER_MS);
	placement.remote_exhausted = true;
	assert_int_equal(placement_next(&placement, &inputs), PLACE_QUEUE);
	assert_int_equal(placement.best_target, 3);
	/* A call with a large answer waits locally for longer. */
	placement = (struct placement){ .local_exhausted = true, .offering_local = true };
	inputs.answer_bytes = 90000;
	placement_refused(&placement, 1, 90 * US_PER_MS);
	assert_int_equal(placement_next(&placement, &inputs), PLACE_QUEUE);
}

/* Nested calls have a deadline of three round trips where links are full: late ones queue at the
 * best target that was asked instead of asking more. */
static void test_late_call_is_not_offered_further(void **state)
{
	struct placement_inputs inputs = { .objective_remaining_us = 100 * US_PER_MS,
					   .remaining_us = 300 * US_PER_MS,
					   .remote_probability = 1 };
	struct placement placement = { 0 };

	(void)state;
	assert_int_equal(placement_next(&placement, &inputs), PLACE_LOCAL);
	placement_refused(&placement, 1, 90 * US_PER_MS);
	inputs.objective_remaining_us = 0;
	assert_int_equal(placement_next(&placement, &inputs), PLACE_QUEUE);
	placement_refused(&placement, 1, 0);
	assert_int_equal(placement_next(&placement, &inputs), PLACE_LOCAL);
}

/* In scale-1 of Lanhua's grown site, a refused offer to the night audit took 60 ms, since downloads
 * fill the links, and a call with an objective of 120 ms made four. */
static void test_call_queues_at_first_target_where_round_trips_take_long(void **state)
{
	struct placement_inputs inputs = { .objective_remaining_us = 120 * US_PER_MS,
					   .remaining_us = 400 * US_PER_MS,
					   .remote_probability = 1,
					   .round_trip_us = 60 * US_PER_MS };
	struct placement placement = { 0 };
	struct traffic *traffic = traffic_new(pool);

	(void)state;
	assert_int_equal(placement_next(&placement, &inputs), PLACE_LOCAL);
	assert_true(placement.may_queue);
	inputs.round_trip_us = 2 * US_PER_MS;
	assert_int_equal(placement_next(&placement, &inputs), PLACE_LOCAL);
	assert_false(placement.may_queue);
	for (int i = 0; i < 60; i++)
		traffic_record_refusal(traffic, LABEL("r"), 60 * US_PER_MS, instant_at_s(1));
	assert_true(traffic_round_trip_us(traffic, LABEL("r"), instant_at_s(1.5)) > 50 * US_PER_MS);
	/* Without refusals nothing is known: offers are made again, and measured. */
	assert_int_equal(traffic_round_trip_us(traffic, LABEL("r"), instant_at_s(2.5)), 0);
	traffic_free(traffic);
}

static void test_retry_wait_is_within_a_third_of_remaining_time(void **state)
{
	struct placement_inputs inputs = { .objective_remaining_us = 0,
					   .remaining_us = 900 * US_PER_MS };
	struct placement placement = { .best_target = 1, .best_expected_us = 2 * US_PER_S };
	struct rng rng = { 3 };
	int64_t least = INT64_MAX;
	int64_t most = 0;

	(void)state;
	for (int i = 0; i < 1000; i++) {
		int64_t after_us = placement_retry_after_us(&placement, &inputs, &rng);

		least = MIN(least, after_us);
		most = MAX(most, after_us);
	}
	assert_true(most <= 300 * US_PER_MS);
	assert_true(most - least > 100 * US_PER_MS);
}

/* After the power returned to the large site, 1,020 callers were refused in two seconds, and told
 * to come back within 0.1 s, when no node was current yet. */
static void test_callers_of_a_starting_node_return_when_it_is_current(void **state)
{
	struct placement_inputs inputs = { .remaining_us = 4 * US_PER_S };
	struct placement placement = { 0 };
	struct rng rng = { 3 };

	(void)state;
	for (int i = 0; i < 1000; i++) {
		int64_t after_us = placement_retry_after_us(&placement, &inputs, &rng);

		assert_in_range(after_us, 600 * US_PER_MS, 1200 * US_PER_MS);
	}
	inputs.node_is_current = true;
	assert_true(placement_retry_after_us(&placement, &inputs, &rng) >= 300 * US_PER_MS);
	placement.best_expected_us = 120 * US_PER_MS;
	assert_true(placement_retry_after_us(&placement, &inputs, &rng) <= 120 * US_PER_MS);
}

static void test_retry_has_elapsed_time(void **state)
{
	struct traffic *traffic = traffic_new(pool);

	(void)state;
	assert_int_equal(traffic_elapsed_us(traffic, LABEL("r"), 2 * US_PER_S), 0);
	assert_int_equal(traffic_elapsed_us(traffic, LABEL("r"), 2 * US_PER_S - 5000), 0);
	assert_in_range(traffic_elapsed_us(traffic, LABEL("r"), 3 * US_PER_S / 2),
			48 * US_PER_S / 100, 52 * US_PER_S / 100);
	assert_int_equal(traffic_elapsed_us(traffic, LABEL("other"), 3 * US_PER_S / 2), 0);
	traffic_free(traffic);
}

/* Callers' patience differs by 15%: a first attempt with little of it counted as returned, and lost
 * the difference from its objective. */
static void test_impatient_first_attempts_are_not_retries(void **state)
{
	struct traffic *traffic = traffic_new(pool);
	struct rng rng = { 5 };
	int retries = 0;

	(void)state;
	for (int i = 0; i < 1000; i++) {
		int64_t remaining_us = (int64_t)((1.02 + 0.18 * rng_unit(&rng)) * 1e6);

		retries += traffic_elapsed_us(traffic, LABEL("r"), remaining_us) > 0;
	}
	assert_int_equal(retries, 0);
	assert_true(traffic_elapsed_us(traffic, LABEL("r"), 700 * US_PER_MS) > 300 * US_PER_MS);
	traffic_free(traffic);
}

/* After one caller with a long deadline, all others looked as if they had tried before. */
static void test_long_deadline_is_forgotten(void **state)
{
	struct traffic *traffic = traffic_new(pool);
	int retries = 0;

	(void)state;
	for (int i = 0; i < 100; i++)
		traffic_elapsed_us(traffic, LABEL("r"), US_PER_S);
	traffic_elapsed_us(traffic, LABEL("r"), 60 * US_PER_S);
	for (int i = 0; i < 100; i++)
		retries += traffic_elapsed_us(traffic, LABEL("r"), US_PER_S) > 0;
	assert_int_equal(retries, 0);
	traffic_free(traffic);
}

static int tear_down(void **state)
{
	(void)state;
	g_ptr_array_unref(admits);
	g_ptr_array_unref(entries);
	return 0;
}

/* Returns how many remote offers a call makes if all of them are refused. */
static int remote_offers(double remote_probability)
{
	struct placement_inputs inputs = { .objective_remaining_us = 400 * US_PER_MS,
					   .remaining_us = US_PER_S,
					   .remote_probability = remote_probability };
	struct placement placement = { .local_exhausted = true };
	uint64_t target = 1;
	int offers = 0;

	while (placement_next(&placement, &inputs) == PLACE_REMOTE) {
		offers++;
		placement_refused(&placement, target++, 0);
	}
	return offers;
}

/*
 * Offers to full data centres waste bandwidth. In the load of argyris-cat scale-1, demand is 1.6
 * times the capacity in all data centres. Each call made three remote offers, with its body, and
 * hardly one in twenty was accepted: a third of the bytes between data centres. One offer is enough
 * to detect that there are free slots again.
 */
static void test_full_data_centres_get_one_offer(void **state)
{
	struct traffic *traffic = traffic_new(pool);

	(void)state;
	assert_int_equal(remote_offers(traffic_remote_probability(traffic, LABEL("r"))), 3);
	for (int i = 0; i < 30; i++)
		traffic_record_remote(traffic, LABEL("r"), i % 20 == 0);
	assert_int_equal(remote_offers(traffic_remote_probability(traffic, LABEL("r"))), 1);
	for (int i = 0; i < 10; i++)
		traffic_record_remote(traffic, LABEL("r"), true);
	assert_int_equal(remote_offers(traffic_remote_probability(traffic, LABEL("r"))), 3);
	traffic_free(traffic);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_busy_target_reports_expected_answer),
		cmocka_unit_test(test_slow_target_refuses_before_late_answers),
		cmocka_unit_test(test_late_call_is_refused_unless_retried),
		cmocka_unit_test(test_late_calls_do_not_delay_others),
		cmocka_unit_test(test_urgent_calls_are_not_deferred),
		cmocka_unit_test(test_late_queue_is_bounded),
		cmocka_unit_test(test_shedding_at_any_load_keeps_slots),
		cmocka_unit_test(test_call_stays_local_while_on_time),
		cmocka_unit_test(test_late_local_call_goes_remote),
		cmocka_unit_test(test_retry_wait_is_within_a_third_of_remaining_time),
		cmocka_unit_test(test_full_data_centres_get_one_offer),
		cmocka_unit_test(test_nested_call_precedes_longer_calls_of_its_class),
		cmocka_unit_test(test_late_call_that_can_not_be_served_is_refused_at_once),
		cmocka_unit_test(test_call_without_time_left_is_not_started),
		cmocka_unit_test(test_nested_calls_find_a_free_slot),
		cmocka_unit_test(test_late_call_is_not_offered_further),
		cmocka_unit_test(test_call_queues_at_first_target_where_round_trips_take_long),
		cmocka_unit_test(test_callers_of_a_starting_node_return_when_it_is_current),
		cmocka_unit_test(test_retry_is_offered_anew),
		cmocka_unit_test(test_retry_has_elapsed_time),
		cmocka_unit_test(test_impatient_first_attempts_are_not_retries),
		cmocka_unit_test(test_long_deadline_is_forgotten),
	};

	apr_initialize();
	apr_pool_create(&pool, NULL);
	entries = g_ptr_array_new_with_free_func(g_free);
	admits = g_ptr_array_new_with_free_func((GDestroyNotify)admit_free);
	return cmocka_run_group_tests(tests, NULL, tear_down);
}
