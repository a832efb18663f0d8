/* Runs a table of faults on core instances over a simulated message layer. After each fault all
 * live nodes must hold the newest version and see all members, and no invariant may be violated. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <string.h>

#include "regress/lib/movesim.h"
#include "regress/lib/sim.h"

#define VALID_FILE                                                                                 \
	"{\"services\": {\"s\": {\"versions\": {\"v1\": {\"share\": 100}}}},"                      \
	"\"routes\": [{\"name\": \"r\", \"path\": \"/\", \"service\": \"s\"}]}"
#define OTHER_FILE "{\"services\": {\"t\": {\"versions\": {\"v1\": {\"share\": 100}}}}}"

enum { NODES = 24, DATA_CENTRES = 3 };

/* Each fault function gets a fleet of 24 nodes that holds version 1. It returns the version that
 * all nodes must hold afterwards. */

static int64_t reorder_and_duplicate_updates(struct sim *sim)
{
	int64_t base = 1;

	sim_set_loss(sim, 0.2);
	for (int i = 0; i < 20; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "x%d", i);
		base = sim_publish(sim, id, "one", base, VALID_FILE);
		sim_run(sim, 50 * US_PER_MS);
	}
	return base;
}

static int64_t publish_concurrently(struct sim *sim)
{
	sim_publish(sim, "a", "one", 1, VALID_FILE);
	return sim_publish(sim, "b", "one", 1, VALID_FILE);
}

static int64_t restart_third_of_nodes(struct sim *sim)
{
	int64_t version;

	for (int i = 0; i < NODES; i += 3)
		sim_kill(sim, i);
	sim_run(sim, 30 * US_PER_S);
	version = sim_publish(sim, "a", "one", 1, VALID_FILE);
	for (int i = 0; i < NODES; i += 3)
		sim_start(sim, i);
	return version;
}

static int64_t restart_all_nodes(struct sim *sim)
{
	/* A snapshot is due after a quarter of the retention time. */
	sim_run(sim, 60 * US_PER_S);
	for (int i = 0; i < NODES; i++)
		sim_kill(sim, i);
	sim_run(sim, 5 * US_PER_S);
	for (int i = 0; i < NODES; i++)
		sim_start(sim, i);
	return 1;
}

static int64_t restart_after_record_expiry(struct sim *sim)
{
	int64_t version;

	/* Twice the retention time: without snapshots, version 1 would be lost. */
	for (int i = 0; i < 24; i++) {
		sim_run(sim, 10 * US_PER_S);
		sim_log_expire(sim, 120 * US_PER_S);
	}
	version = sim_publish(sim, "a", "two", 0, OTHER_FILE);
	for (int i = 0; i < NODES; i++)
		sim_kill(sim, i);
	sim_run(sim, 5 * US_PER_S);
	for (int i = 0; i < NODES; i++)
		sim_start(sim, i);
	return version;
}

static int64_t start_without_log(struct sim *sim)
{
	sim_log_set_unavailable(sim, true);
	for (int i = 0; i < 8; i++)
		sim_kill(sim, i);
	sim_run(sim, 10 * US_PER_S);
	for (int i = 0; i < 8; i++)
		sim_start(sim, i);
	return 1;
}

static int64_t interrupt_log(struct sim *sim)
{
	sim_log_set_unavailable(sim, true);
	sim_run(sim, 120 * US_PER_S);
	sim_log_set_unavailable(sim, false);
	return sim_publish(sim, "a", "one", 1, VALID_FILE);
}

static int64_t isolate_data_centre(struct sim *sim)
{
	int64_t version;

	for (int dc = 1; dc < DATA_CENTRES; dc++) {
		sim_cut(sim, 0, dc, true);
		sim_cut(sim, dc, 0, true);
	}
	version = sim_publish(sim, "a", "one", 1, VALID_FILE);
	sim_run(sim, 60 * US_PER_S);
	for (int dc = 1; dc < DATA_CENTRES; dc++) {
		sim_cut(sim, 0, dc, false);
		sim_cut(sim, dc, 0, false);
	}
	return version;
}

static int64_t cut_one_direction(struct sim *sim)
{
	sim_cut(sim, 0, 1, true);
	sim_run(sim, 60 * US_PER_S);
	return sim_publish(sim, "a", "one", 1, VALID_FILE);
}

static int64_t pause_nodes(struct sim *sim)
{
	int64_t version;

	for (int i = 0; i < 5; i++)
		sim_freeze(sim, i, true);
	version = sim_publish(sim, "a", "one", 1, VALID_FILE);
	sim_run(sim, 30 * US_PER_S);
	for (int i = 0; i < 5; i++)
		sim_freeze(sim, i, false);
	return version;
}

static int64_t lose_append_answers(struct sim *sim)
{
	sim_log_lose_answers(sim, 5);
	sim_run(sim, 120 * US_PER_S);
	return sim_publish(sim, "a", "one", 1, VALID_FILE);
}

static int64_t combine_faults(struct sim *sim)
{
	int64_t version;

	sim_set_loss(sim, 0.2);
	sim_log_set_unavailable(sim, true);
	sim_cut(sim, 1, 2, true);
	for (int i = 0; i < 6; i++)
		sim_kill(sim, i);
	for (int i = 6; i < 9; i++)
		sim_freeze(sim, i, true);
	sim_run(sim, 30 * US_PER_S);
	for (int i = 0; i < 6; i++)
		sim_start(sim, i);
	for (int i = 6; i < 9; i++)
		sim_freeze(sim, i, false);
	sim_log_set_unavailable(sim, false);
	version = sim_publish(sim, "a", "one", 1, VALID_FILE);
	sim_run(sim, 5 * US_PER_S);
	sim_cut(sim, 1, 2, false);
	sim_set_loss(sim, 0);
	return version;
}

static const struct fault_case {
	const char *name;
	int64_t (*fault)(struct sim *sim);
	int within_s;	      /* time limit in seconds until all nodes hold the version */
	int members_within_s; /* time limit in seconds until all nodes see all members */
} fault_cases[] = {
	{ "updates are reordered, duplicated and lost", reorder_and_duplicate_updates, 8, 60 },
	{ "operators publish concurrently", publish_concurrently, 8, 60 },
	{ "a third of the nodes crashes and restarts", restart_third_of_nodes, 8, 60 },
	{ "all nodes crash and restart", restart_all_nodes, 15, 60 },
	{ "all nodes crash after their records expired", restart_after_record_expiry, 15, 60 },
	{ "nodes start while the log is unavailable", start_without_log, 8, 60 },
	{ "the log is unavailable for two minutes", interrupt_log, 16, 60 },
	{ "a data centre is cut off", isolate_data_centre, 8, 120 },
	{ "one direction between data centres is cut", cut_one_direction, 8, 120 },
	{ "nodes are paused", pause_nodes, 8, 60 },
	{ "answers of appends are lost", lose_append_answers, 8, 60 },
	{ "all faults together", combine_faults, 30, 120 },
};

static int fewest_live_members(struct sim *sim)
{
	int fewest = NODES;

	for (int i = 0; i < NODES; i++)
		fewest = MIN(fewest, members_count(node_members(sim_node(sim, i)->node)).live);
	return fewest;
}

static void run_fault_case(const struct fault_case *fault_case, uint64_t seed)
{
	struct sim_options options = { .nodes = NODES,
				       .data_centres = DATA_CENTRES,
				       .seed = seed,
				       .duplicates = 0.1,
				       .delay_max_us = 20000,
				       .log_retention_us = 120 * US_PER_S };
	struct sim *sim = sim_new(&options);
	int64_t version;
	int64_t took_us;
	int waited_s = 0;

	sim_publish(sim, "first", "one", 0, VALID_FILE);
	assert_true(sim_run_until_version(sim, 1, 30 * US_PER_S) >= 0);
	sim_run(sim, 10 * US_PER_S);
	version = fault_case->fault(sim);
	took_us = sim_run_until_version(sim, version, fault_case->within_s * US_PER_S);
	if (took_us < 0)
		fail_msg("%s, seed %lu: version %ld is not everywhere after %d s", fault_case->name,
			 seed, version, fault_case->within_s);
	while (fewest_live_members(sim) < NODES && waited_s++ < fault_case->members_within_s)
		sim_run(sim, US_PER_S);
	if (fewest_live_members(sim) < NODES)
		fail_msg("%s, seed %lu: a node sees only %d of %d members after %d s",
			 fault_case->name, seed, fewest_live_members(sim), NODES,
			 fault_case->members_within_s);
	if (sim_violation(sim)[0])
		fail_msg("%s, seed %lu: %s", fault_case->name, seed, sim_violation(sim));
	print_message("%s: %.2f s to the last node, %d s to full membership\n", fault_case->name,
		      (double)took_us / 1e6, waited_s);
	sim_free(sim);
}

static void test_fleet_converges_after_faults(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++)
		for (uint64_t seed = 1; seed <= 3; seed++)
			run_fault_case(&fault_cases[i], seed);
}

static struct sim *new_small_sim(uint64_t seed)
{
	struct sim_options options = {
		.nodes = 9, .data_centres = 3, .seed = seed, .preload = true
	};
	struct sim *sim = sim_new(&options);

	sim_run(sim, 10 * US_PER_S);
	return sim;
}

static void test_same_seed_gives_same_actions(void **state)
{
	uint64_t hash[3];

	(void)state;
	for (int i = 0; i < 3; i++) {
		struct sim *sim = new_small_sim(i == 2 ? 8 : 7);

		sim_publish(sim, "a", "one", 0, VALID_FILE);
		sim_kill(sim, 3);
		sim_run(sim, 20 * US_PER_S);
		hash[i] = sim_trace_hash(sim);
		sim_free(sim);
	}
	assert_true(hash[0] == hash[1]);
	assert_true(hash[0] != hash[2]);
}

/* Every entry node must stop choosing a leaving target within 3 s of its announcement. */
static void test_leaving_target_gets_no_calls(void **state)
{
	struct sim *sim = new_small_sim(5);
	struct event leaving = { .kind = EVENT_TARGET_LEAVING };
	struct actions actions = actions_new();
	struct config *config;

	(void)state;
	for (int i = 0; i < 9; i++)
		sim_announce_target(sim, i, "s", "v1", 9);
	sim_publish(sim, "a", "one", 0, VALID_FILE);
	sim_run(sim, 5 * US_PER_S);
	node_handle(sim_node(sim, 4)->node, &leaving, sim_now(sim), &actions);
	actions_clear(&actions);
	sim_run(sim, 3 * US_PER_S);
	for (int entry = 0; entry < 9; entry++) {
		config = node_config(sim_node(sim, entry)->node);
		for (int i = 0; i < 500; i++) {
			struct call_attributes call = { .point = (uint64_t)i };
			struct choice choice;

			call.route = config_find_route(config, LABEL("r"));
			choice = node_choose_target(sim_node(sim, entry)->node, config, &call,
						    sim_now(sim));
			assert_int_equal(choice.kind, CHOICE_TARGET);
			assert_true(choice.target != sim_node(sim, 4)->id);
		}
		config_unref(config);
	}
	sim_free(sim);
}

/* Returns how many of 1000 calls through node 0 fail after a target of its data centre crashed. */
static int failed_calls_after_crash(int crashed, const char *switches)
{
	struct sim *sim = new_small_sim(6);
	struct label version;
	int failed = 0;

	for (int i = 0; i < 9; i++)
		sim_announce_target(sim, i, "s", "v1", 9);
	sim_publish(sim, "a", "one", 0, VALID_FILE);
	sim_publish(sim, "b", "two", 0, switches);
	sim_run(sim, 5 * US_PER_S);
	sim_kill(sim, crashed);
	for (int i = 0; i < 1000; i++)
		failed += sim_call(sim, 0, "r", (uint64_t)i, &version) != SIM_CALL_SUCCEEDED;
	sim_free(sim);
	return failed;
}

/* The entry node must contain a crashed target by its own calls, before the fleet detects it. */
static void test_crashed_target_is_contained(void **state)
{
	(void)state;
	assert_true(failed_calls_after_crash(3, "{}") <= 4);
	assert_true(failed_calls_after_crash(6, "{}") <= 4);
}

/* With the switch off, the entry node must not contain the crashed target, which is a third of the
 * targets of its data centre. Of three targets with equal times the second one in the order of
 * joining gets no calls at all, so one of the two crashes may go unnoticed. */
static void test_ejection_can_be_switched_off(void **state)
{
	static const char off[] = "{\"switches\": {\"s\": {\"eject\": \"off\"}}}";
	int failed[] = { failed_calls_after_crash(3, off), failed_calls_after_crash(6, off) };

	(void)state;
	assert_true(failed[0] == 0 || failed[0] > 100);
	assert_true(failed[1] == 0 || failed[1] > 100);
	assert_true(failed[0] > 100 || failed[1] > 100);
}

static void crash_target(struct sim *sim, int index, uint64_t fingerprint)
{
	sim_crash_target(sim, index, fingerprint);
	sim_run(sim, 2 * US_PER_S);
}

/* Two crashes quarantine a request on all nodes for ten minutes, unless the switch is off. */
static void test_two_crashes_quarantine_request(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct sim *sim = new_small_sim(6);

		for (int i = 0; i < 9; i++)
			sim_announce_target(sim, i, "s", "v1", 9);
		sim_publish(sim, "a", "one", 0, VALID_FILE);
		if (off)
			sim_publish(sim, "b", "two", 0,
				    "{\"switches\": {\"all\": {\"quarantine\": \"off\"}}}");
		sim_run(sim, 5 * US_PER_S);
		crash_target(sim, 2, 77);
		assert_int_equal(sim_choose(sim, 5, 77), CHOICE_TARGET);
		crash_target(sim, 4, 77);
		for (int i = 0; i < 9; i++)
			assert_int_equal(sim_choose(sim, i, 77),
					 off ? CHOICE_TARGET : CHOICE_QUARANTINED);
		assert_int_equal(sim_choose(sim, 0, 78), CHOICE_TARGET);
		sim_run(sim, 601 * US_PER_S);
		assert_int_equal(sim_choose(sim, 0, 77), CHOICE_TARGET);
		sim_free(sim);
	}
}

static void test_call_without_targets_is_not_run(void **state)
{
	struct sim *sim = new_small_sim(9);
	struct label version;

	(void)state;
	sim_publish(sim, "a", "one", 0, VALID_FILE);
	sim_run(sim, 5 * US_PER_S);
	assert_int_equal(sim_call(sim, 0, "r", 1, &version), SIM_CALL_NOT_RUN);
	sim_free(sim);
}

static const struct switch_case {
	const char *name;
	const char *switches;
	double failure_fraction;
	bool may_advance;
	bool may_withdraw;
} switch_cases[] = {
	{ "advance off for all", "\"switches\": {\"all\": {\"advance\": \"off\"}},", 0, false,
	  true },
	{ "advance off for the service", "\"switches\": {\"s\": {\"advance\": \"off\"}},", 0, false,
	  true },
	{ "withdraw off for all", "\"switches\": {\"all\": {\"withdraw\": \"off\"}},", 1, true,
	  false },
	{ "withdraw off for the service", "\"switches\": {\"s\": {\"withdraw\": \"off\"}},", 1,
	  true, false },
	{ "off for all wins over on for the service",
	  "\"switches\": {\"all\": {\"advance\": \"off\"}, \"s\": {\"advance\": \"on\"}},", 0,
	  false, true },
};

static void run_switch_case(const struct switch_case *switch_case, enum movesim_fault fault)
{
	struct movesim_options options = { .seed = 3,
					   .fault = fault,
					   .failure_fraction = switch_case->failure_fraction,
					   .calls_per_s = 200,
					   .move_s = 60,
					   .switches = switch_case->switches };
	struct movesim_result result = movesim_run(&options);

	if (!switch_case->may_advance && (result.step != 0 || result.done))
		fail_msg("%s, %s: it moved to step %d", switch_case->name,
			 movesim_fault_name(fault), result.step);
	if (!switch_case->may_withdraw && result.withdrawn)
		fail_msg("%s, %s: it was withdrawn", switch_case->name, movesim_fault_name(fault));
	/* A move that is not switched off must happen, or the test could not fail. */
	if (switch_case->may_advance && result.step == 0)
		fail_msg("%s, %s: it did not move", switch_case->name, movesim_fault_name(fault));
	assert_string_equal(result.violation, "");
}

/* Switches must hold over a restart of all nodes, a partition and an outage of the log. */
static void test_switched_off_moves_do_not_happen(void **state)
{
	static const enum movesim_fault faults[] = { FAULT_NONE, FAULT_RESTART, FAULT_PARTITION,
						     FAULT_LOG_UNAVAILABLE };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(switch_cases); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(faults); j++)
			run_switch_case(&switch_cases[i], faults[j]);
}

static void test_good_version_advances_bad_is_withdrawn(void **state)
{
	(void)state;
	for (int fault = 0; fault <= FAULT_PARTITION; fault++) {
		struct movesim_options good = { .seed = 100 + (uint64_t)fault,
						.fault = fault,
						.calls_per_s = 200,
						.move_s = 100 };
		struct movesim_options bad = good;
		struct movesim_result result = movesim_run(&good);

		if (!result.on_time || result.withdrawn)
			fail_msg("good version, %s: step %d, done %d after %.0f s, withdrawn %d",
				 movesim_fault_name(fault), result.step, result.done, result.done_s,
				 result.withdrawn);
		assert_string_equal(result.violation, "");
		bad.failure_fraction = 0.5;
		result = movesim_run(&bad);
		if (!result.withdrawn)
			fail_msg("bad version, %s: it was not withdrawn",
				 movesim_fault_name(fault));
		assert_true(result.calls_new_bad * 50 <= result.calls);
		assert_string_equal(result.violation, "");
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_fleet_converges_after_faults),
		cmocka_unit_test(test_same_seed_gives_same_actions),
		cmocka_unit_test(test_leaving_target_gets_no_calls),
		cmocka_unit_test(test_crashed_target_is_contained),
		cmocka_unit_test(test_ejection_can_be_switched_off),
		cmocka_unit_test(test_two_crashes_quarantine_request),
		cmocka_unit_test(test_call_without_targets_is_not_run),
		cmocka_unit_test(test_switched_off_moves_do_not_happen),
		cmocka_unit_test(test_good_version_advances_bad_is_withdrawn),
	};

	apr_initialize();
	return cmocka_run_group_tests_name("core/fleet", tests, NULL, NULL);
}
