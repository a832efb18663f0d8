/* A request that crashed two targets must be refused by all nodes for ten minutes. */
#include "regress/lib/check.h"

#include <apr_general.h>

#include "regress/lib/sim.h"

#define VALID_FILE                                                                                 \
	"{\"services\": {\"s\": {\"versions\": {\"v1\": {\"share\": 100}}}},"                      \
	"\"routes\": [{\"name\": \"r\", \"path\": \"/\", \"service\": \"s\"}]}"
#define STABILITY_WINDOW_US (3 * US_PER_S)
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

/* A third crash must prolong the quarantine on all nodes. */
static void test_later_crash_prolongs_quarantine(void **state)
{
	struct sim *sim = new_fleet(3);

	(void)state;
	crash_twice(sim);
	sim_run(sim, MEMORY_US / 2);
	sim_crash_target(sim, 4, POISON);
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
