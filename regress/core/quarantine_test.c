/* A request that crashed two targets must be refused by each node within the stability window after
 * it is back in touch: marks that were gossiped once stayed unknown to a node that missed them. */
#include "regress/lib/check.h"

#include <apr_general.h>

#include "regress/lib/sim.h"

#define VALID_FILE                                                                                 \
	"{\"services\": {\"s\": {\"versions\": {\"v1\": {\"share\": 100}}}},"                      \
	"\"routes\": [{\"name\": \"r\", \"path\": \"/\", \"service\": \"s\"}]}"
#define STABILITY_WINDOW_US (3 * US_PER_S)
#define STOP_US		    (3500 * US_PER_MS)
#define MEMORY_US	    (600 * US_PER_S)
#define HOUR_US		    (3600 * US_PER_S)

enum { NODES = 24, DATA_CENTRES = 3, SEEDS = 10, POISON = 77 };

static struct sim *new_fleet(uint64_t seed)
{
	struct sim_options options = {
		.nodes = NODES, .data_centres = DATA_CENTRES, .seed = seed, .preload = true
	};
	struct sim *sim = sim_new(&options);

	sim_run(sim, 5 * US_PER_S);
	sim_publish(sim, "a", "one", 0, VALID_FILE);
	for (int i = 0; i < NODES; i++)
		sim_announce_target(sim, i, "s", "v1", 9);
	sim_run(sim, 5 * US_PER_S);
	return sim;
}

static void crash_twice(struct sim *sim)
{
	sim_crash_target(sim, 3, POISON);
	sim_run(sim, 100 * US_PER_MS);
	sim_crash_target(sim, 6, POISON);
	sim_run(sim, 100 * US_PER_MS);
}

static bool is_current(struct sim *sim, int index)
{
	return node_is_current(sim_node(sim, index)->node);
}

static void wait_current(struct sim *sim, int index)
{
	for (int waits = 0; !is_current(sim, index); waits++) {
		assert_true(waits < 1000);
		sim_run(sim, 10 * US_PER_MS);
	}
}

static void restart(struct sim *sim, int index)
{
	sim_stop(sim, index);
	sim_run(sim, STOP_US);
	sim_kill(sim, index);
	sim_run(sim, 100 * US_PER_MS);
	sim_start(sim, index);
	sim_announce_target(sim, index, "s", "v1", 9);
}

static void lose_a_message(struct sim *sim)
{
	sim_isolate(sim, 0, true);
	crash_twice(sim);
	sim_isolate(sim, 0, false);
}

static void lose_many_messages(struct sim *sim)
{
	sim_set_loss(sim, 0.3);
	crash_twice(sim);
}

static void start_a_node(struct sim *sim)
{
	sim_kill(sim, 0);
	crash_twice(sim);
	sim_run(sim, 20 * US_PER_S);
	sim_start(sim, 0);
	wait_current(sim, 0);
}

static void pause_a_node(struct sim *sim)
{
	sim_freeze(sim, 0, true);
	sim_isolate(sim, 0, true);
	crash_twice(sim);
	sim_run(sim, 20 * US_PER_S);
	sim_isolate(sim, 0, false);
	sim_freeze(sim, 0, false);
}

static void cut_off_a_node(struct sim *sim)
{
	sim_isolate(sim, 0, true);
	crash_twice(sim);
	sim_run(sim, 20 * US_PER_S);
	sim_isolate(sim, 0, false);
}

/* Nodes 3 and 6, at which the targets crash, are in the data centre that is cut off. */
static void cut_off_a_data_centre(struct sim *sim)
{
	for (int other = 1; other < DATA_CENTRES; other++) {
		sim_cut(sim, 0, other, true);
		sim_cut(sim, other, 0, true);
	}
	crash_twice(sim);
	sim_run(sim, 60 * US_PER_S);
	for (int other = 1; other < DATA_CENTRES; other++) {
		sim_cut(sim, 0, other, false);
		sim_cut(sim, other, 0, false);
	}
}

/* One crash is known on either side of the cut. */
static void crash_on_both_sides_of_a_cut(struct sim *sim)
{
	for (int other = 1; other < DATA_CENTRES; other++) {
		sim_cut(sim, 0, other, true);
		sim_cut(sim, other, 0, true);
	}
	sim_crash_target(sim, 3, POISON);
	sim_crash_target(sim, 4, POISON);
	sim_run(sim, 2 * US_PER_S);
	for (int other = 1; other < DATA_CENTRES; other++) {
		sim_cut(sim, 0, other, false);
		sim_cut(sim, other, 0, false);
	}
}

static void restart_all_in_turn(struct sim *sim)
{
	crash_twice(sim);
	for (int i = 0; i < NODES; i++) {
		restart(sim, i);
		wait_current(sim, i);
	}
}

/* The last node that knows the marks stops as soon as another one has become current. */
static void restart_all_but_one(struct sim *sim)
{
	crash_twice(sim);
	for (int i = 0; i < NODES - 1; i++)
		sim_stop(sim, i);
	sim_run(sim, STOP_US);
	for (int i = 0; i < NODES - 1; i++)
		sim_kill(sim, i);
	sim_run(sim, 100 * US_PER_MS);
	for (int i = 0; i < NODES - 1; i++)
		sim_start(sim, i);
	wait_current(sim, 0);
	sim_stop(sim, NODES - 1);
	sim_run(sim, STOP_US);
	sim_kill(sim, NODES - 1);
	sim_start(sim, NODES - 1);
	for (int i = 0; i < NODES; i++)
		wait_current(sim, i);
}

/* The node that saw both crashes stops before any other has heard of them. */
static void stop_the_only_node_that_knows(struct sim *sim)
{
	sim_isolate(sim, 3, true);
	sim_crash_target(sim, 3, POISON);
	sim_run(sim, 10 * US_PER_MS);
	sim_crash_target(sim, 3, POISON);
	sim_isolate(sim, 3, false);
	sim_stop(sim, 3);
	sim_run(sim, 10 * US_PER_MS);
	sim_kill(sim, 3);
	sim_start(sim, 3);
	wait_current(sim, 3);
}

static void crash_with_a_clock_behind(struct sim *sim)
{
	sim_node(sim, 3)->wall_offset_us = -HOUR_US;
	crash_twice(sim);
}

static void crash_with_a_clock_ahead(struct sim *sim)
{
	sim_node(sim, 3)->wall_offset_us = HOUR_US;
	crash_twice(sim);
}

static void step_a_clock(struct sim *sim)
{
	crash_twice(sim);
	sim_node(sim, 0)->wall_offset_us = HOUR_US;
	sim_node(sim, 1)->wall_offset_us = -HOUR_US;
}

static const struct disruption {
	const char *name;
	void (*play)(struct sim *sim);
} disruptions[] = {
	{ "a lost message", lose_a_message },
	{ "many lost messages", lose_many_messages },
	{ "a start", start_a_node },
	{ "a pause", pause_a_node },
	{ "a cut of one node", cut_off_a_node },
	{ "a cut between data centres", cut_off_a_data_centre },
	{ "crashes on both sides of a cut", crash_on_both_sides_of_a_cut },
	{ "a restart of all in turn", restart_all_in_turn },
	{ "a restart of all but one", restart_all_but_one },
	{ "a stop of the only one that knows", stop_the_only_node_that_knows },
	{ "a clock behind at the crash", crash_with_a_clock_behind },
	{ "a clock ahead at the crash", crash_with_a_clock_ahead },
	{ "a clock that steps", step_a_clock },
};

/* Returns how many nodes do not refuse the request. */
static int count_passing(struct sim *sim)
{
	int passing = 0;

	for (int i = 0; i < NODES; i++)
		passing += sim_choose(sim, i, POISON) != CHOICE_QUARANTINED;
	return passing;
}

/* Nodes with different hashes ask each other for marks each second. */
static void check_equal_hashes(struct sim *sim, const char *disruption)
{
	uint64_t hash = node_digest(sim_node(sim, 0)->node, sim_now(sim)).marks_hash;

	for (int i = 1; i < NODES; i++)
		if (node_digest(sim_node(sim, i)->node, sim_now(sim)).marks_hash != hash)
			fail_msg("%s: node %d holds other marks", disruption, i);
}

static void test_quarantine_is_known_after_disruptions(void **state)
{
	int failures = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(disruptions); i++) {
		int failed = 0;

		for (uint64_t seed = 1; seed <= SEEDS; seed++) {
			struct sim *sim = new_fleet(seed);

			disruptions[i].play(sim);
			sim_run(sim, STABILITY_WINDOW_US);
			failed += count_passing(sim) > 0;
			sim_set_loss(sim, 0);
			sim_run(sim, STABILITY_WINDOW_US);
			check_equal_hashes(sim, disruptions[i].name);
			assert_string_equal(sim_violation(sim), "");
			sim_free(sim);
		}
		if (failed)
			print_error("%s: some node passes the request on, %d of %d seeds\n",
				    disruptions[i].name, failed, SEEDS);
		failures += failed;
	}
	assert_int_equal(failures, 0);
}

/* The quarantine must end on all nodes: they must not revive what has expired on others. */
static void test_quarantine_ends_after_disruptions(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(disruptions); i++) {
		struct sim *sim = new_fleet(20);

		disruptions[i].play(sim);
		sim_set_loss(sim, 0);
		sim_run(sim, MEMORY_US + 2 * US_PER_S);
		if (count_passing(sim) != NODES)
			fail_msg("%s: %d of %d nodes still refuse the request", disruptions[i].name,
				 NODES - count_passing(sim), NODES);
		sim_free(sim);
	}
}

/* A third crash must prolong the quarantine on all nodes, also on one that missed it. */
static void test_later_crash_prolongs_quarantine(void **state)
{
	struct sim *sim = new_fleet(3);

	(void)state;
	crash_twice(sim);
	sim_run(sim, MEMORY_US / 2);
	sim_isolate(sim, 0, true);
	sim_crash_target(sim, 4, POISON);
	sim_run(sim, US_PER_S);
	sim_isolate(sim, 0, false);
	sim_run(sim, MEMORY_US / 2 + STABILITY_WINDOW_US);
	assert_int_equal(count_passing(sim), 0);
	sim_run(sim, MEMORY_US / 2);
	assert_int_equal(count_passing(sim), NODES);
	sim_free(sim);
}

/* A caller that crashes targets with ever new requests must not remove the mark of another one, nor
 * keep one out of the table. */
static void test_new_requests_do_not_push_marks_out(void **state)
{
	enum { OTHERS = 6000 };
	struct sim *sim = new_fleet(4);

	(void)state;
	crash_twice(sim);
	for (int i = 0; i < OTHERS; i++) {
		sim_crash_target(sim, i % NODES, 1000 + (uint64_t)i);
		if (i % 100 == 0)
			sim_run(sim, 100 * US_PER_MS);
	}
	sim_run(sim, STABILITY_WINDOW_US);
	assert_int_equal(count_passing(sim), 0);
	sim_crash_target(sim, 9, POISON + 1);
	sim_run(sim, 100 * US_PER_MS);
	sim_crash_target(sim, 12, POISON + 1);
	sim_run(sim, STABILITY_WINDOW_US);
	for (int i = 0; i < NODES; i++)
		assert_int_equal(sim_choose(sim, i, POISON + 1), CHOICE_QUARANTINED);
	sim_free(sim);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_quarantine_is_known_after_disruptions),
		cmocka_unit_test(test_quarantine_ends_after_disruptions),
		cmocka_unit_test(test_later_crash_prolongs_quarantine),
		cmocka_unit_test(test_new_requests_do_not_push_marks_out),
	};

	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
