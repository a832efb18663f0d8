/* What a node tells the others once, when it changes, must reach a node that missed it within the
 * stability window after that node is back in touch. Marks of poison requests: quarantine_test. */
#include "regress/lib/check.h"

#include <apr_general.h>

#include "regress/lib/sim_parts.h"

#define FILE_WITH(route)                                                                           \
	"{\"services\": {\"s\": {\"versions\": {\"v1\": {\"share\": 100}}}},"                      \
	"\"routes\": [{\"name\": \"" route "\", \"path\": \"/\", \"service\": \"s\"}]}"
#define STABILITY_WINDOW_US (3 * US_PER_S)

enum { NODES = 24, DATA_CENTRES = 3, SEEDS = 10, TELLS = 3, MISSES = 0 };

static void publish(struct sim *sim)
{
	sim_publish(sim, "b", "one", 1, FILE_WITH("later"));
}

static bool holds_published(struct sim *sim)
{
	struct config *config = node_config(sim_node(sim, MISSES)->node);
	bool holds = config_find_route(config, LABEL("later")) != NULL;

	config_unref(config);
	return holds;
}

/* Returns false if calls may go to the target as it was before; a dead member gets none. */
static bool uses_target_of(struct sim *sim, int slots, struct label version)
{
	struct member record = { 0 };

	members_get(node_members(sim_node(sim, MISSES)->node), sim_node(sim, TELLS)->id, &record);
	return record.state != MEMBER_ALIVE ||
	       (record.slots == slots && (slots == 0 || label_equal(&record.version, &version)));
}

static void target_leaves(struct sim *sim)
{
	struct event event = { .kind = EVENT_TARGET_LEAVING };

	sim_handle_event(sim, TELLS, &event);
}

static bool uses_no_target(struct sim *sim)
{
	return uses_target_of(sim, 0, LABEL(""));
}

static void target_changes(struct sim *sim)
{
	sim_announce_target(sim, TELLS, "s", "v2", 5);
}

static bool uses_changed_target(struct sim *sim)
{
	return uses_target_of(sim, 5, LABEL("v2"));
}

static const struct told {
	const char *name;
	void (*tell)(struct sim *sim);
	bool (*is_known)(struct sim *sim); /* or does no harm */
} told[] = {
	{ "a configuration", publish, holds_published },
	{ "a target that leaves", target_leaves, uses_no_target },
	{ "a target of another version", target_changes, uses_changed_target },
};

static const struct miss {
	const char *name;
	int64_t isolated_us;
	bool paused;
	bool restarted;
} misses[] = {
	{ "lost messages", 500 * US_PER_MS, false, false },
	{ "a cut", 20 * US_PER_S, false, false },
	{ "a pause", 20 * US_PER_S, true, false },
	{ "a start", 5 * US_PER_S, false, true },
};

static struct sim *new_fleet(uint64_t seed)
{
	struct sim_options options = {
		.nodes = NODES, .data_centres = DATA_CENTRES, .seed = seed, .preload = true
	};
	struct sim *sim = sim_new(&options);

	sim_run(sim, 5 * US_PER_S);
	sim_publish(sim, "a", "one", 0, FILE_WITH("r"));
	for (int i = 0; i < NODES; i++)
		sim_announce_target(sim, i, "s", "v1", 9);
	sim_run(sim, 30 * US_PER_S);
	return sim;
}

static void wait_current(struct sim *sim)
{
	for (int waits = 0; !node_is_current(sim_node(sim, MISSES)->node); waits++) {
		assert_true(waits < 1000);
		sim_run(sim, 10 * US_PER_MS);
	}
}

/* Returns whether the node that missed it knows it at the end of the window. */
static bool is_repaired(const struct told *what, const struct miss *miss, uint64_t seed)
{
	struct sim *sim = new_fleet(seed);
	bool known;

	sim_isolate(sim, MISSES, true);
	sim_freeze(sim, MISSES, miss->paused);
	if (miss->restarted)
		sim_kill(sim, MISSES);
	what->tell(sim);
	sim_run(sim, miss->isolated_us);
	sim_isolate(sim, MISSES, false);
	sim_freeze(sim, MISSES, false);
	if (miss->restarted) {
		sim_start(sim, MISSES);
		wait_current(sim);
	}
	sim_run(sim, STABILITY_WINDOW_US);
	known = what->is_known(sim);
	sim_free(sim);
	return known;
}

static void test_missed_state_is_repaired(void **state)
{
	int failures = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(told); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(misses); j++) {
			int failed = 0;

			for (uint64_t seed = 1; seed <= SEEDS; seed++)
				failed += !is_repaired(&told[i], &misses[j], seed);
			if (failed)
				print_error("%s, missed by %s: not known, %d of %d seeds\n",
					    told[i].name, misses[j].name, failed, SEEDS);
			failures += failed;
		}
	assert_int_equal(failures, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = { cmocka_unit_test(test_missed_state_is_repaired) };

	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
