/* Faults in a table, over core instances and a fake message layer. After each row every live node
 * holds the newest version, sees the live members, and nothing that must hold was violated. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <string.h>

#include "regress/lib/movesim.h"
#include "regress/lib/sim.h"

#define GOOD                                                                                       \
	"{\"services\": {\"s\": {\"versions\": {\"v1\": {\"share\": 100}}}},"                      \
	"\"routes\": [{\"name\": \"r\", \"path\": \"/\", \"service\": \"s\"}]}"
#define OTHER "{\"services\": {\"t\": {\"versions\": {\"v1\": {\"share\": 100}}}}}"

enum { NODES = 24, DATA_CENTRES = 3 };

/* A row's fault acts on a fleet of 24 nodes that holds version 1; it returns the version that all
 * must then hold. */

static int64_t crossed_and_doubled(struct sim *sim)
{
	int64_t base = 1;

	sim_set_loss(sim, 0.2);
	for (int i = 0; i < 20; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "x%d", i);
		base = sim_publish(sim, id, "one", base, GOOD);
		sim_run(sim, 50 * US_PER_MS);
	}
	return base;
}

static int64_t racing_operators(struct sim *sim)
{
	sim_publish(sim, "a", "one", 1, GOOD);
	return sim_publish(sim, "b", "one", 1, GOOD);
}

static int64_t a_third_dies_and_returns(struct sim *sim)
{
	int64_t version;

	for (int i = 0; i < NODES; i += 3)
		sim_kill(sim, i);
	sim_run(sim, 30 * US_PER_S);
	version = sim_publish(sim, "a", "one", 1, GOOD);
	for (int i = 0; i < NODES; i += 3)
		sim_start(sim, i);
	return version;
}

static int64_t the_whole_fleet_dies(struct sim *sim)
{
	/* A snapshot is due after a quarter of the retention. */
	sim_run(sim, 60 * US_PER_S);
	for (int i = 0; i < NODES; i++)
		sim_kill(sim, i);
	sim_run(sim, 5 * US_PER_S);
	for (int i = 0; i < NODES; i++)
		sim_start(sim, i);
	return 1;
}

static int64_t the_fleet_dies_after_its_records_lapsed(struct sim *sim)
{
	int64_t version;

	/* Twice the retention: without snapshots in time nothing of version 1 would be left. */
	for (int i = 0; i < 24; i++) {
		sim_run(sim, 10 * US_PER_S);
		sim_log_lapse(sim, 120 * US_PER_S);
	}
	version = sim_publish(sim, "a", "two", 0, OTHER);
	for (int i = 0; i < NODES; i++)
		sim_kill(sim, i);
	sim_run(sim, 5 * US_PER_S);
	for (int i = 0; i < NODES; i++)
		sim_start(sim, i);
	return version;
}

static int64_t nodes_start_while_the_log_is_out(struct sim *sim)
{
	sim_log_out(sim, true);
	for (int i = 0; i < 8; i++)
		sim_kill(sim, i);
	sim_run(sim, 10 * US_PER_S);
	for (int i = 0; i < 8; i++)
		sim_start(sim, i);
	return 1;
}

static int64_t the_log_is_out_for_long_and_returns(struct sim *sim)
{
	sim_log_out(sim, true);
	sim_run(sim, 120 * US_PER_S);
	sim_log_out(sim, false);
	return sim_publish(sim, "a", "one", 1, GOOD);
}

static int64_t a_data_centre_is_cut_off(struct sim *sim)
{
	int64_t version;

	for (int dc = 1; dc < DATA_CENTRES; dc++) {
		sim_cut(sim, 0, dc, true);
		sim_cut(sim, dc, 0, true);
	}
	version = sim_publish(sim, "a", "one", 1, GOOD);
	sim_run(sim, 60 * US_PER_S);
	for (int dc = 1; dc < DATA_CENTRES; dc++) {
		sim_cut(sim, 0, dc, false);
		sim_cut(sim, dc, 0, false);
	}
	return version;
}

static int64_t one_direction_is_dead(struct sim *sim)
{
	sim_cut(sim, 0, 1, true);
	sim_run(sim, 60 * US_PER_S);
	return sim_publish(sim, "a", "one", 1, GOOD);
}

static int64_t nodes_are_paused(struct sim *sim)
{
	int64_t version;

	for (int i = 0; i < 5; i++)
		sim_freeze(sim, i, true);
	version = sim_publish(sim, "a", "one", 1, GOOD);
	sim_run(sim, 30 * US_PER_S);
	for (int i = 0; i < 5; i++)
		sim_freeze(sim, i, false);
	return version;
}

static int64_t answers_of_appends_are_lost(struct sim *sim)
{
	sim_log_lose_answers(sim, 5);
	sim_run(sim, 120 * US_PER_S);
	return sim_publish(sim, "a", "one", 1, GOOD);
}

static int64_t everything_at_once(struct sim *sim)
{
	int64_t version;

	sim_set_loss(sim, 0.2);
	sim_log_out(sim, true);
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
	sim_log_out(sim, false);
	version = sim_publish(sim, "a", "one", 1, GOOD);
	sim_run(sim, 5 * US_PER_S);
	sim_cut(sim, 1, 2, false);
	sim_set_loss(sim, 0);
	return version;
}

static const struct row {
	const char *what;
	int64_t (*fault)(struct sim *sim);
	int within_s;	      /* until all hold the version */
	int members_within_s; /* until all see all members */
} rows[] = {
	{ "updates cross, are doubled and lost", crossed_and_doubled, 8, 60 },
	{ "operators race", racing_operators, 8, 60 },
	{ "a third of the nodes dies and returns", a_third_dies_and_returns, 8, 60 },
	{ "the whole fleet dies", the_whole_fleet_dies, 15, 60 },
	{ "the fleet dies after its records lapsed", the_fleet_dies_after_its_records_lapsed, 15,
	  60 },
	{ "nodes start while the log is out", nodes_start_while_the_log_is_out, 8, 60 },
	{ "the log is out for long and returns", the_log_is_out_for_long_and_returns, 16, 60 },
	{ "a data centre is cut off", a_data_centre_is_cut_off, 8, 120 },
	{ "one direction between data centres is dead", one_direction_is_dead, 8, 120 },
	{ "nodes are paused", nodes_are_paused, 8, 60 },
	{ "answers of appends are lost", answers_of_appends_are_lost, 8, 60 },
	{ "everything at once", everything_at_once, 30, 120 },
};

static int least_live(struct sim *sim)
{
	int least = NODES;

	for (int i = 0; i < NODES; i++)
		least = MIN(least, members_count(node_members(sim_node(sim, i)->node)).live);
	return least;
}

static void run_row(const struct row *row, uint64_t seed)
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

	sim_publish(sim, "first", "one", 0, GOOD);
	assert_true(sim_run_until_version(sim, 1, 30 * US_PER_S) >= 0);
	sim_run(sim, 10 * US_PER_S);
	version = row->fault(sim);
	took_us = sim_run_until_version(sim, version, row->within_s * US_PER_S);
	if (took_us < 0)
		fail_msg("%s, seed %lu: version %ld is not everywhere after %d s", row->what, seed,
			 version, row->within_s);
	while (least_live(sim) < NODES && waited_s++ < row->members_within_s)
		sim_run(sim, US_PER_S);
	if (least_live(sim) < NODES)
		fail_msg("%s, seed %lu: a node sees only %d of %d members after %d s", row->what,
			 seed, least_live(sim), NODES, row->members_within_s);
	if (sim_violation(sim)[0])
		fail_msg("%s, seed %lu: %s", row->what, seed, sim_violation(sim));
	print_message("%s: %.2f s to the last node, %d s to full membership\n", row->what,
		      (double)took_us / 1e6, waited_s);
	sim_free(sim);
}

static void test_faults(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		for (uint64_t seed = 1; seed <= 3; seed++)
			run_row(&rows[i], seed);
}

static struct sim *small_sim(uint64_t seed)
{
	struct sim_options options = {
		.nodes = 9, .data_centres = 3, .seed = seed, .preload = true
	};
	struct sim *sim = sim_new(&options);

	sim_run(sim, 10 * US_PER_S);
	return sim;
}

static void test_same_seed_same_actions(void **state)
{
	uint64_t hash[3];

	(void)state;
	for (int i = 0; i < 3; i++) {
		struct sim *sim = small_sim(i == 2 ? 8 : 7);

		sim_publish(sim, "a", "one", 0, GOOD);
		sim_kill(sim, 3);
		sim_run(sim, 20 * US_PER_S);
		hash[i] = sim_trace_hash(sim);
		sim_free(sim);
	}
	assert_true(hash[0] == hash[1]);
	assert_true(hash[0] != hash[2]);
}

/* A target that leaves gets no new work once its node said so, anywhere, after 3 s. */
static void test_leaving_target_gets_no_new_work(void **state)
{
	struct sim *sim = small_sim(5);
	struct event leaving = { .kind = EVENT_TARGET_LEAVING };
	struct actions actions = actions_new();
	struct config *config;

	(void)state;
	for (int i = 0; i < 9; i++)
		sim_target_up(sim, i, "s", "v1", 9);
	sim_publish(sim, "a", "one", 0, GOOD);
	sim_run(sim, 5 * US_PER_S);
	node_handle(sim_node(sim, 4)->node, &leaving, sim_now(sim), &actions);
	actions_clear(&actions);
	sim_run(sim, 3 * US_PER_S);
	for (int entry = 0; entry < 9; entry++) {
		config = node_config(sim_node(sim, entry)->node);
		for (int i = 0; i < 500; i++) {
			struct call_facts facts = { .point = (uint64_t)i };
			struct choice choice;

			facts.route = config_find_route(config, LABEL("r"));
			choice = node_choose(sim_node(sim, entry)->node, config, &facts,
					     sim_now(sim));
			assert_int_equal(choice.kind, CHOICE_TARGET);
			assert_true(choice.target != sim_node(sim, 4)->id);
		}
		config_unref(config);
	}
	sim_free(sim);
}

/* A thousand calls through one node, just after a target of its data centre died: how many fail. */
static int failed_calls_after_death(const char *switches)
{
	struct sim *sim = small_sim(6);
	struct label version;
	int failed = 0;

	for (int i = 0; i < 9; i++)
		sim_target_up(sim, i, "s", "v1", 9);
	sim_publish(sim, "a", "one", 0, GOOD);
	sim_publish(sim, "b", "two", 0, switches);
	sim_run(sim, 5 * US_PER_S);
	sim_kill(sim, 3);
	for (int i = 0; i < 1000; i++)
		failed += sim_call(sim, 0, "r", (uint64_t)i, &version) != SIM_CALL_GOOD;
	sim_free(sim);
	return failed;
}

/* A dead target is out of an entry node's choice by its own evidence, before the fleet knows. */
static void test_dead_target_is_contained_at_once(void **state)
{
	(void)state;
	assert_true(failed_calls_after_death("{}") <= 4);
}

/* With the switch off this node's own evidence contains nobody: a third of the targets of its data
 * centre goes on being chosen. */
static void test_eject_switch(void **state)
{
	(void)state;
	assert_true(failed_calls_after_death("{\"switches\": {\"s\": {\"eject\": \"off\"}}}") >
		    100);
}

static enum choice_kind choose_marked(struct sim *sim, int entry, uint64_t fingerprint)
{
	struct config *config = node_config(sim_node(sim, entry)->node);
	struct call_facts facts = { .fingerprint = fingerprint };
	enum choice_kind kind;

	facts.route = config_find_route(config, LABEL("r"));
	kind = node_choose(sim_node(sim, entry)->node, config, &facts, sim_now(sim)).kind;
	config_unref(config);
	return kind;
}

static void crash_with(struct sim *sim, int index, uint64_t fingerprint)
{
	struct actions actions = actions_new();

	node_target_crashed(sim_node(sim, index)->node, &fingerprint, 1, LABEL("r"), sim_now(sim),
			    &actions);
	sim_carry_out(sim, index, &actions);
	sim_run(sim, 2 * US_PER_S);
}

/* Two crashes quarantine a request on all nodes, for ten minutes; not with the switch off. */
static void test_quarantine_and_its_switch(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct sim *sim = small_sim(6);

		for (int i = 0; i < 9; i++)
			sim_target_up(sim, i, "s", "v1", 9);
		sim_publish(sim, "a", "one", 0, GOOD);
		if (off)
			sim_publish(sim, "b", "two", 0,
				    "{\"switches\": {\"all\": {\"quarantine\": \"off\"}}}");
		sim_run(sim, 5 * US_PER_S);
		crash_with(sim, 2, 77);
		assert_int_equal(choose_marked(sim, 5, 77), CHOICE_TARGET);
		crash_with(sim, 4, 77);
		for (int i = 0; i < 9; i++)
			assert_int_equal(choose_marked(sim, i, 77),
					 off ? CHOICE_TARGET : CHOICE_QUARANTINED);
		assert_int_equal(choose_marked(sim, 0, 78), CHOICE_TARGET);
		sim_run(sim, 601 * US_PER_S);
		assert_int_equal(choose_marked(sim, 0, 77), CHOICE_TARGET);
		sim_free(sim);
	}
}

static void test_route_without_targets_says_not_run(void **state)
{
	struct sim *sim = small_sim(9);
	struct label version;

	(void)state;
	sim_publish(sim, "a", "one", 0, GOOD);
	sim_run(sim, 5 * US_PER_S);
	assert_int_equal(sim_call(sim, 0, "r", 1, &version), SIM_CALL_NOT_RUN);
	sim_free(sim);
}

static const struct switch_row {
	const char *what;
	const char *switches;
	double fail_share;
	bool may_advance;
	bool may_withdraw;
} switch_rows[] = {
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

static void run_switch(const struct switch_row *row, enum movesim_fault fault)
{
	struct movesim_options options = { .seed = 3,
					   .fault = fault,
					   .fail_share = row->fail_share,
					   .calls_per_s = 200,
					   .move_s = 60,
					   .switches = row->switches };
	struct movesim_result result = movesim_run(&options);

	if (!row->may_advance && (result.step != 0 || result.done))
		fail_msg("%s, %s: it moved to step %d", row->what, movesim_fault_name(fault),
			 result.step);
	if (!row->may_withdraw && result.withdrawn)
		fail_msg("%s, %s: it was withdrawn", row->what, movesim_fault_name(fault));
	/* What is not switched off still happens, so that the test can fail. */
	if (row->may_advance && result.step == 0)
		fail_msg("%s, %s: it did not move", row->what, movesim_fault_name(fault));
	assert_string_equal(result.violation, "");
}

/* Off means off, also over a restart of all nodes, a partition and an outage of the log. */
static void test_switches(void **state)
{
	static const enum movesim_fault faults[] = { FAULT_NONE, FAULT_RESTART, FAULT_PARTITION,
						     FAULT_LOG_OUT };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(switch_rows); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(faults); j++)
			run_switch(&switch_rows[i], faults[j]);
}

static void test_moves(void **state)
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
		bad.fail_share = 0.5;
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
		cmocka_unit_test(test_faults),
		cmocka_unit_test(test_same_seed_same_actions),
		cmocka_unit_test(test_leaving_target_gets_no_new_work),
		cmocka_unit_test(test_dead_target_is_contained_at_once),
		cmocka_unit_test(test_eject_switch),
		cmocka_unit_test(test_quarantine_and_its_switch),
		cmocka_unit_test(test_route_without_targets_says_not_run),
		cmocka_unit_test(test_switches),
		cmocka_unit_test(test_moves),
	};

	apr_initialize();
	return cmocka_run_group_tests_name("core/fleet", tests, NULL, NULL);
}
