/* A node that was cut off while another one stopped must know of it within the stability window
 * after the cut: it took the stopped node for alive, and sent it calls. */
#include "regress/lib/check.h"

#include <apr_general.h>

#include "regress/lib/sim.h"

#define CUT_US		    (20 * US_PER_S)
#define STABILITY_WINDOW_US (3 * US_PER_S)

enum { NODES = 24, SEEDS = 10, STOPS = 3, MISSES = 0 };

static bool is_known_after_cut(uint64_t seed)
{
	struct sim_options options = {
		.nodes = NODES, .data_centres = 3, .seed = seed, .preload = true
	};
	struct sim *sim = sim_new(&options);
	struct member record = { 0 };

	sim_run(sim, 5 * US_PER_S);
	sim_publish(sim, "a", "one", 0,
		    "{\"services\": {\"s\": {\"versions\": {\"v1\": {\"share\": 100}}}},"
		    "\"routes\": [{\"name\": \"r\", \"path\": \"/\", \"service\": \"s\"}]}");
	for (int i = 0; i < NODES; i++)
		sim_announce_target(sim, i, "s", "v1", 9);
	sim_run(sim, 30 * US_PER_S);
	sim_isolate(sim, MISSES, true);
	sim_stop(sim, STOPS);
	sim_run(sim, CUT_US);
	sim_isolate(sim, MISSES, false);
	sim_run(sim, STABILITY_WINDOW_US);
	members_get(node_members(sim_node(sim, MISSES)->node), sim_node(sim, STOPS)->id, &record);
	sim_free(sim);
	return record.state != MEMBER_ALIVE;
}

static void test_stopped_node_is_known_after_a_cut(void **state)
{
	int failed = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		bool known = is_known_after_cut(seed);

		if (!known)
			print_error("seed %lu: it counts as alive\n", seed);
		failed += !known;
	}
	assert_int_equal(failed, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_stopped_node_is_known_after_a_cut),
	};

	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
