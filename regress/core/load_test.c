/* Load at its worst: where calls are offered, what waits, and what a target's slots are taken for.
 */
#include "regress/lib/check.h"

#include <apr_general.h>

#include "core/admit.h"
#include "core/placement.h"
#include "core/traffic.h"

enum { SLOTS = 4 };

static apr_pool_t *pool;
static GPtrArray *tickets; /* of the test that runs */
static GPtrArray *admits;

static struct ticket *ticket_new(enum traffic_class class, double now_s, double objective_s,
				 double deadline_s)
{
	struct ticket *ticket = g_new0(struct ticket, 1);

	ticket->tenant = LABEL("t");
	ticket->route = LABEL("r");
	ticket->class = class;
	ticket->concurrency_percent = 100;
	ticket->objective = deadline_after(at_s(now_s), (int64_t)(objective_s * 1e6));
	ticket->deadline = deadline_after(at_s(now_s), (int64_t)(deadline_s * 1e6));
	g_ptr_array_add(tickets, ticket);
	return ticket;
}

/* A target that has served calls of 100 ms for some seconds. */
static struct admit *learnt_admit(void)
{
	struct admit *admit = admit_new(pool);

	g_ptr_array_add(admits, admit);
	admit_set_slots(admit, SLOTS);
	for (int i = 0; i < 50; i++) {
		struct ticket *ticket = ticket_new(CLASS_BACKGROUND, 0, 1, 2);

		assert_int_equal(admit_offer(admit, ticket, at_s(0)), ADMIT_RUN);
		admit_done(admit, ticket, SLOT_SERVED, 100 * US_PER_MS);
	}
	return admit;
}

static struct ticket *fill(struct admit *admit, double now_s)
{
	struct ticket *first = NULL;

	for (int i = 0; i < SLOTS; i++) {
		struct ticket *ticket = ticket_new(CLASS_BACKGROUND, now_s, 1, 2);

		assert_int_equal(admit_offer(admit, ticket, at_s(now_s)), ADMIT_RUN);
		first = first ? first : ticket;
	}
	return first;
}

static void test_an_offer_to_a_full_target_tells_when_it_would_answer(void **state)
{
	struct admit *admit = learnt_admit();
	struct ticket *offer = ticket_new(CLASS_BACKGROUND, 1, 0.5, 1);

	(void)state;
	fill(admit, 1);
	offer->now_or_never = true;
	assert_int_equal(admit_offer(admit, offer, at_s(1)), ADMIT_BUSY);
	assert_in_range(offer->expected_us, 100 * US_PER_MS, 300 * US_PER_MS);
	assert_int_equal(admit_count(admit, at_s(1)).queued, 0);
}

/* Twelve times slower: its free slots are worth little, though it was fast a moment ago. */
static void test_a_slow_target_refuses_offers_before_its_first_late_answer(void **state)
{
	struct admit *admit = learnt_admit();
	struct ticket *offer = ticket_new(CLASS_BACKGROUND, 1.6, 0.3, 1);

	(void)state;
	for (int i = 0; i < SLOTS - 1; i++)
		assert_int_equal(admit_offer(admit, ticket_new(CLASS_BACKGROUND, 1, 1, 2), at_s(1)),
				 ADMIT_RUN);
	offer->now_or_never = true;
	assert_int_equal(admit_offer(admit, offer, at_s(1.6)), ADMIT_BUSY);
	assert_true(offer->expected_us > 300 * US_PER_MS);
}

static void test_what_would_be_late_is_refused_unless_it_came_back(void **state)
{
	struct admit *admit = learnt_admit();
	struct ticket *late = ticket_new(CLASS_BACKGROUND, 1, 0.05, 1);
	struct ticket *back = ticket_new(CLASS_BACKGROUND, 1, 0.05, 1);

	(void)state;
	fill(admit, 1);
	assert_int_equal(admit_offer(admit, late, at_s(1)), ADMIT_LATE);
	back->returned = true;
	assert_int_equal(admit_offer(admit, back, at_s(1)), ADMIT_QUEUED);
}

/* A burst: what can't be on time any more does not keep out what can. */
static void test_late_ones_make_way(void **state)
{
	struct admit *admit = learnt_admit();
	struct ticket *running = fill(admit, 1);
	struct ticket *first = ticket_new(CLASS_BACKGROUND, 1, 0.3, 2);
	struct ticket *second = ticket_new(CLASS_BACKGROUND, 1.25, 0.3, 2);
	struct admit_turn turn;

	(void)state;
	assert_int_equal(admit_offer(admit, first, at_s(1)), ADMIT_QUEUED);
	assert_int_equal(admit_offer(admit, second, at_s(1.1)), ADMIT_QUEUED);
	admit_done(admit, running, SLOT_UNUSED, 0);
	turn = admit_next(admit, at_s(1.25));
	assert_int_equal(turn.kind, TURN_RUN);
	assert_ptr_equal(turn.ticket, second);
	assert_int_equal(admit_count(admit, at_s(1.25)).late, 1);
	admit_done(admit, second, SLOT_SERVED, 100 * US_PER_MS);
	turn = admit_next(admit, at_s(1.4));
	assert_int_equal(turn.kind, TURN_RUN);
	assert_ptr_equal(turn.ticket, first);
}

/* Parents wait for the calls that targets make on the way: these are served late as well. */
static void test_urgent_calls_are_not_set_aside(void **state)
{
	struct admit *admit = learnt_admit();
	struct ticket *running = fill(admit, 1);
	struct ticket *urgent = ticket_new(CLASS_STANDARD, 1, 0.02, 0.5);
	struct ticket *other = ticket_new(CLASS_BACKGROUND, 1, 0.9, 2);
	struct admit_turn turn;

	(void)state;
	assert_int_equal(admit_offer(admit, other, at_s(1)), ADMIT_QUEUED);
	assert_int_equal(admit_offer(admit, urgent, at_s(1)), ADMIT_QUEUED);
	admit_done(admit, running, SLOT_UNUSED, 0);
	turn = admit_next(admit, at_s(1.1));
	assert_int_equal(turn.kind, TURN_RUN);
	assert_ptr_equal(turn.ticket, urgent);
}

/* Held to its end a late call costs its caller more than an early word. */
static void test_few_late_ones_wait(void **state)
{
	struct admit *admit = learnt_admit();
	int refused = 0;

	(void)state;
	fill(admit, 1);
	for (int i = 0; i < 3 * SLOTS; i++) {
		struct ticket *ticket = ticket_new(CLASS_BACKGROUND, 1, 0.45, 5);

		if (admit_offer(admit, ticket, at_s(1)) != ADMIT_QUEUED)
			refused++;
	}
	for (;;) {
		struct admit_turn turn = admit_next(admit, at_s(1.44));

		if (turn.kind == TURN_NONE)
			break;
		assert_int_equal(turn.kind, TURN_LATE);
		refused++;
	}
	assert_int_equal(admit_count(admit, at_s(1.44)).late, SLOTS);
	assert_int_equal(refused, 2 * SLOTS);
}

/* Serves one call in each slot at once; every @p shed_each'th of them is shed instead. */
static void serve_round(struct admit *admit, double now_s, int round, int shed_each)
{
	struct ticket *running[SLOTS] = { NULL };
	int count = 0;

	for (int i = 0; i < SLOTS; i++) {
		struct ticket *ticket = ticket_new(CLASS_BACKGROUND, now_s, 1, 2);

		if (admit_offer(admit, ticket, at_s(now_s)) == ADMIT_RUN)
			running[count++] = ticket;
	}
	for (int i = 0; i < count; i++) {
		bool shed = shed_each && (i + round) % shed_each == 0;

		admit_done(admit, running[i], shed ? SLOT_SHED : SLOT_SERVED,
			   shed ? 1000 : 100 * US_PER_MS);
	}
}

/* A target that sheds half of its calls whatever its load is has as many slots as before. */
static void test_a_target_that_sheds_at_any_load_keeps_its_slots(void **state)
{
	struct admit *admit = learnt_admit();

	(void)state;
	serve_round(admit, 0.9, 0, 0);
	for (int round = 0; round < 60; round++) {
		serve_round(admit, 1 + round * 0.1, round, 2);
		if (admit_count(admit, at_s(1)).slots < SLOTS)
			fail_msg("round %d: %d slots", round, admit_count(admit, at_s(1)).slots);
	}
}

static void test_a_call_stays_near_while_it_is_on_time_there(void **state)
{
	struct placement_facts facts = { .on_time_us = 400 * US_PER_MS,
					 .far_chance = 1,
					 .left_us = US_PER_S,
					 .answer_bytes = 500 };
	struct placement placement = { 0 };

	(void)state;
	assert_int_equal(placement_next(&placement, &facts), PLACE_NEAR);
	placement_refused(&placement, 1, 200 * US_PER_MS);
	assert_int_equal(placement_next(&placement, &facts), PLACE_NEAR);
	placement_refused(&placement, 2, 150 * US_PER_MS);
	assert_int_equal(placement_next(&placement, &facts), PLACE_NEAR);
	placement_none(&placement);
	assert_int_equal(placement_next(&placement, &facts), PLACE_QUEUE);
	assert_int_equal(placement.best, 2);
	/* The queue there filled meanwhile: others are asked, and then nobody is left. */
	placement_refused(&placement, 2, 0);
	assert_int_equal(placement_next(&placement, &facts), PLACE_FAR);
	placement_none(&placement);
	assert_int_equal(placement_next(&placement, &facts), PLACE_REFUSE);
}

static void test_a_call_that_would_be_late_near_goes_far(void **state)
{
	struct placement_facts facts = { .on_time_us = 100 * US_PER_MS,
					 .left_us = US_PER_S,
					 .far_chance = 1 };
	struct placement placement = { .near_exhausted = true };

	(void)state;
	placement.offering_near = true;
	placement_refused(&placement, 1, 90 * US_PER_MS);
	assert_int_equal(placement_next(&placement, &facts), PLACE_FAR);
	placement_refused(&placement, 3, 70 * US_PER_MS);
	placement.far_exhausted = true;
	assert_int_equal(placement_next(&placement, &facts), PLACE_QUEUE);
	assert_int_equal(placement.best, 3);
	/* An answer that is dear to move waits near for longer. */
	placement = (struct placement){ .near_exhausted = true, .offering_near = true };
	facts.answer_bytes = 90000;
	placement_refused(&placement, 1, 90 * US_PER_MS);
	assert_int_equal(placement_next(&placement, &facts), PLACE_QUEUE);
}

static void test_refused_callers_come_back_within_a_third_of_their_time(void **state)
{
	struct placement_facts facts = { .on_time_us = 0, .left_us = 900 * US_PER_MS };
	struct placement placement = { .best = 1, .best_expected_us = 2 * US_PER_S };
	struct rng rng = { 3 };
	int64_t least = INT64_MAX;
	int64_t most = 0;

	(void)state;
	for (int i = 0; i < 1000; i++) {
		int64_t after_us = placement_retry_after_us(&placement, &facts, &rng);

		least = MIN(least, after_us);
		most = MAX(most, after_us);
	}
	assert_true(most <= 300 * US_PER_MS);
	assert_true(most - least > 100 * US_PER_MS);
}

static void test_a_caller_that_came_back_has_less_time_left(void **state)
{
	struct traffic *traffic = traffic_new(pool);

	(void)state;
	assert_int_equal(traffic_elapsed_us(traffic, LABEL("r"), 2 * US_PER_S), 0);
	assert_int_equal(traffic_elapsed_us(traffic, LABEL("r"), 2 * US_PER_S - 5000), 0);
	assert_int_equal(traffic_elapsed_us(traffic, LABEL("r"), 3 * US_PER_S / 2), US_PER_S / 2);
	assert_int_equal(traffic_elapsed_us(traffic, LABEL("other"), 3 * US_PER_S / 2), 0);
	traffic_free(traffic);
}

static int tear_down(void **state)
{
	(void)state;
	g_ptr_array_unref(admits);
	g_ptr_array_unref(tickets);
	return 0;
}

/* Offers to other data centres until a call is refused, all of them turned down. */
static int far_offers(double far_chance)
{
	struct placement_facts facts = { .on_time_us = 400 * US_PER_MS,
					 .left_us = US_PER_S,
					 .far_chance = far_chance };
	struct placement placement = { .near_exhausted = true };
	uint64_t target = 1;
	int offers = 0;

	while (placement_next(&placement, &facts) == PLACE_FAR) {
		offers++;
		placement_refused(&placement, target++, 0);
	}
	return offers;
}

/*
 * The load of argyris-cat scale-1: demand is 1.6 times the capacity in all data centres. A call was
 * offered three times to others, with its body, and hardly one offer in twenty was taken: a third
 * of the bytes between data centres. One offer finds out when that ends.
 */
static void test_full_data_centres_get_one_offer(void **state)
{
	struct traffic *traffic = traffic_new(pool);

	(void)state;
	assert_int_equal(far_offers(traffic_far_chance(traffic, LABEL("r"))), 3);
	for (int i = 0; i < 30; i++)
		traffic_note_far(traffic, LABEL("r"), i % 20 == 0);
	assert_int_equal(far_offers(traffic_far_chance(traffic, LABEL("r"))), 1);
	for (int i = 0; i < 10; i++)
		traffic_note_far(traffic, LABEL("r"), true);
	assert_int_equal(far_offers(traffic_far_chance(traffic, LABEL("r"))), 3);
	traffic_free(traffic);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_an_offer_to_a_full_target_tells_when_it_would_answer),
		cmocka_unit_test(test_a_slow_target_refuses_offers_before_its_first_late_answer),
		cmocka_unit_test(test_what_would_be_late_is_refused_unless_it_came_back),
		cmocka_unit_test(test_late_ones_make_way),
		cmocka_unit_test(test_urgent_calls_are_not_set_aside),
		cmocka_unit_test(test_few_late_ones_wait),
		cmocka_unit_test(test_a_target_that_sheds_at_any_load_keeps_its_slots),
		cmocka_unit_test(test_a_call_stays_near_while_it_is_on_time_there),
		cmocka_unit_test(test_a_call_that_would_be_late_near_goes_far),
		cmocka_unit_test(test_refused_callers_come_back_within_a_third_of_their_time),
		cmocka_unit_test(test_full_data_centres_get_one_offer),
		cmocka_unit_test(test_a_caller_that_came_back_has_less_time_left),
	};

	apr_initialize();
	apr_pool_create(&pool, NULL);
	tickets = g_ptr_array_new_with_free_func(g_free);
	admits = g_ptr_array_new_with_free_func((GDestroyNotify)admit_free);
	return cmocka_run_group_tests(tests, NULL, tear_down);
}
