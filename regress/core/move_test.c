/* Tests of moves: the join of states, the schedule, and the comparison of versions. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <math.h>
#include <string.h>

#include "base/rng.h"
#include "core/move.h"
#include "operator/parse.h"

static apr_pool_t *pool;

static struct move_state random_state(struct rng *rng)
{
	struct move_state state = { .id = 7, .step = (uint8_t)rng_below(rng, 9) };

	if (rng_below(rng, 3) == 0)
		state.done_at_us = 1 + (int64_t)rng_below(rng, 5);
	state.recheck_at_us = (int64_t)rng_below(rng, 3);
	if (rng_below(rng, 3) == 0) {
		state.withdrawn_at_us = 1 + (int64_t)rng_below(rng, 3);
		state.reason = 1 + (enum withdraw_reason)rng_below(rng, 2);
		state.route = rng_below(rng, 2) ? LABEL("a") : LABEL("b");
	}
	return state;
}

static bool states_equal(const struct move_state *a, const struct move_state *b)
{
	return a->step == b->step && a->done_at_us == b->done_at_us &&
	       a->withdrawn_at_us == b->withdrawn_at_us && a->reason == b->reason &&
	       a->recheck_at_us == b->recheck_at_us && label_equal(&a->route, &b->route);
}

static struct move_state join(struct move_state a, struct move_state b)
{
	move_state_join(&a, &b);
	return a;
}

static void test_join_is_a_semilattice(void **state)
{
	struct rng rng = { 11 };

	(void)state;
	for (int i = 0; i < 20000; i++) {
		struct move_state a = random_state(&rng);
		struct move_state b = random_state(&rng);
		struct move_state c = random_state(&rng);
		struct move_state ab = join(a, b);
		struct move_state ba = join(b, a);
		struct move_state left = join(join(a, b), c);
		struct move_state right = join(a, join(b, c));
		struct move_state aa = join(a, a);

		assert_true(states_equal(&ab, &ba));
		assert_true(states_equal(&left, &right));
		assert_true(states_equal(&aa, &a));
		if (a.withdrawn_at_us)
			assert_true(left.withdrawn_at_us != 0);
	}
}

/* An open-ended move that two nodes end at once, as done and as withdrawn, ends at the earlier time
 * in whatever order the states are joined. */
static void test_join_of_done_and_withdrawn_open_ended_move(void **state)
{
	struct rng rng = { 13 };

	(void)state;
	for (int i = 0; i < 20000; i++) {
		struct move_state states[3];

		for (int j = 0; j < 3; j++) {
			states[j] = random_state(&rng);
			states[j].from = LABEL("v1");
			/* A node adds only its own verdict. */
			if (states[j].done_at_us && states[j].withdrawn_at_us)
				states[j].done_at_us = 0;
		}
		struct move_state left = join(join(states[0], states[1]), states[2]);
		struct move_state right = join(states[0], join(states[1], states[2]));

		assert_true(states_equal(&left, &right));
		assert_true(left.done_at_us == 0 || left.withdrawn_at_us == 0);
		for (int j = 0; j < 3; j++) {
			int64_t ended_us = left.done_at_us + left.withdrawn_at_us;
			int64_t own_us = states[j].done_at_us + states[j].withdrawn_at_us;

			assert_true(own_us == 0 || ended_us <= own_us);
		}
	}
}

static struct config *open_ended_config(const char *to, int64_t version)
{
	char *move = g_strdup_printf("{\"moves\":[{\"service\":\"s\",\"to\":\"%s\","
				     "\"start\":\"2026-12-04T10:00:00Z\","
				     "\"finish\":\"2026-12-04T10:00:20Z\"}]}",
				     to);
	GPtrArray *files = g_ptr_array_new_with_free_func((GDestroyNotify)accepted_file_free);
	const char *texts[] = { "{\"services\":{\"s\":{\"versions\":\"any\"}}}", move };
	struct config *config;

	for (int i = 0; i < 2; i++) {
		struct change *change =
			change_new(LABEL("id"), i ? LABEL("order") : LABEL("config"), 0,
				   str_from_cstr(texts[i]));
		struct accepted_file *file;
		uint64_t id = (uint64_t)version * MOVES_PER_FILE;

		parse_change(change);
		assert_null(change->parse_error);
		file = accepted_file_new(change->file, version, change);
		if (i)
			g_array_append_val(file->move_ids, id);
		g_ptr_array_add(files, file);
		change_unref(change);
	}
	config = config_build(files, version, version, NULL);
	assert_non_null(config);
	g_free(move);
	return config;
}

/* An open-ended move after a withdrawn one must start from the version before that one. "Any but
 * the newest" would include the rejected version. */
static void test_move_after_withdrawal_excludes_rejected_version(void **state)
{
	struct moves *moves = moves_new(pool);
	struct config *first = open_ended_config("v2", 1);
	struct config *second = open_ended_config("v3", 2);
	struct move_state withdrawn = { .id = MOVES_PER_FILE, .step = 2, .from = LABEL("v1") };
	struct version_filter version = { .kind = VERSION_ANY };

	(void)state;
	moves_configure(moves, first);
	withdrawn.withdrawn_at_us = 5;
	assert_true(moves_merge(moves, &withdrawn));
	moves_configure(moves, second);
	assert_true(
		moves_choose_version(moves, second, LABEL("s"), 4000, instant_at_s(0), &version));
	assert_int_equal(version.kind, VERSION_IS);
	assert_true(label_is(&version.name, STR("v1")));
	config_unref(first);
	config_unref(second);
	moves_free(moves);
}

/* The first step uses three targets, as one target alone cannot reject its version. */
static void test_canaries_at_each_step(void **state)
{
	struct moves *moves = moves_new(pool);
	struct config *config = open_ended_config("v2", 1);
	struct move_state started = { .id = MOVES_PER_FILE, .step = 1 };
	struct version_filter version = { VERSION_IS, LABEL("v2") };

	(void)state;
	moves_configure(moves, config);
	moves_merge(moves, &started);
	assert_int_equal(moves_canaries(moves, LABEL("s"), &version, 10, instant_at_s(0)), 3);
	started.step = 7;
	moves_merge(moves, &started);
	assert_int_equal(moves_canaries(moves, LABEL("s"), &version, 10, instant_at_s(0)), 6);
	started.step = MOVE_STEPS;
	moves_merge(moves, &started);
	assert_int_equal(moves_canaries(moves, LABEL("s"), &version, 10, instant_at_s(0)), 0);
	config_unref(config);
	moves_free(moves);
}

/* A behaviour of the new version, and how soon the tests must reject it. */
struct behaviour {
	const char *name;
	double fails;	/* fraction of the calls */
	double slow;	/* factor of the service time */
	bool one_route; /* one route of ten is bad */
	bool bad;
	double limit_calls; /* limit of the calls until it is rejected, on average */
};

static const struct behaviour behaviours[] = {
	{ "good", 0, 1, false, false, 0 },
	{ "fails 5%", 0.05, 1, false, true, 600 },
	{ "fails 20%", 0.2, 1, false, true, 120 },
	{ "fails 100%", 1, 1, false, true, 20 },
	{ "twice as slow", 0, 2, false, true, 200 },
	{ "five times as slow", 0, 5, false, true, 80 },
	{ "fails 20% on one route of ten", 0.2, 1, true, true, 1200 },
};

static const char *const routes[] = { "r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9" };

static void add_call(struct evidence_window *window, struct rng *rng, double fails, double slow)
{
	double factor = 0.5 + rng_unit(rng);

	window->calls++;
	if (rng_unit(rng) < fails)
		window->failures++;
	else
		window->latency[hist_bucket((int64_t)(2000 * factor * slow))]++;
}

/* Adds a second of 100 calls to the old version and 10 to the new one, over ten routes. */
static void add_second_of_ten_routes(struct evidence *evidence, const struct behaviour *behaviour,
				     struct rng *rng)
{
	for (int r = 0; r < 10; r++) {
		struct evidence_window old = { .route = label_from(str_from_cstr(routes[r])),
					       .target = 1,
					       .targets = 4 };
		struct evidence_window new = { .route = old.route, .targets = 2 };
		bool bad = !behaviour->one_route || r == 3;

		for (int i = 0; i < 10; i++)
			add_call(&old, rng, 0.002, 1);
		new.target = 10 + rng_below(rng, 2);
		add_call(&new, rng, 0.002 + (bad ? behaviour->fails : 0),
			 bad ? behaviour->slow : 1);
		evidence_add(evidence, EVIDENCE_OLD, &old);
		evidence_add(evidence, EVIDENCE_NEW, &new);
	}
}

/* Returns the calls to the new version until it is rejected; -1 if it is not within @p seconds. */
static int calls_until_rejected(const struct behaviour *behaviour, uint64_t seed, int seconds)
{
	struct evidence *evidence = evidence_new();
	struct rng rng = { seed };
	struct label route;
	int calls = -1;

	/* The old version gets calls before the move starts. */
	for (int s = 0; s < 10; s++) {
		for (int r = 0; r < 10; r++) {
			struct evidence_window old = { .route =
							       label_from(str_from_cstr(routes[r])),
						       .target = 1 };

			for (int i = 0; i < 10; i++)
				add_call(&old, &rng, 0.002, 1);
			evidence_add(evidence, EVIDENCE_OLD, &old);
		}
		evidence_close(evidence, true, &route);
	}
	for (int s = 0; s < seconds && calls < 0; s++) {
		add_second_of_ten_routes(evidence, behaviour, &rng);
		if (evidence_close(evidence, true, &route) != EVIDENCE_NONE)
			calls = (s + 1) * 10;
	}
	evidence_free(evidence);
	return calls;
}

static void test_calls_until_rejected(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(behaviours); i++) {
		const struct behaviour *behaviour = &behaviours[i];
		int rejected = 0;
		double calls = 0;

		for (uint64_t seed = 1; seed <= 200; seed++) {
			int n = calls_until_rejected(behaviour, seed, 600);

			rejected += n >= 0;
			calls += n > 0 ? n : 0;
		}
		print_message("%s: rejected %d of 200, after %.0f calls on average\n",
			      behaviour->name, rejected, rejected ? calls / rejected : 0);
		if (behaviour->bad) {
			assert_int_equal(rejected, 200);
			assert_true(calls / 200 <= behaviour->limit_calls);
		} else {
			assert_true(rejected <= 1);
		}
	}
}

/* A fault that affects both versions alike must not reject the new one. */
static void test_shared_fault_rejects_no_version(void **state)
{
	int rejected = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 200; seed++) {
		struct evidence *evidence = evidence_new();
		struct rng rng = { seed };
		struct label route;
		bool found = false;

		for (int s = 0; s < 60; s++) {
			bool fault = s >= 20 && s < 30;
			struct evidence_window old = { .route = LABEL("r"), .target = 1 };
			struct evidence_window new = { .route = LABEL("r"), .targets = 2 };

			for (int i = 0; i < 100; i++)
				add_call(&old, &rng, fault ? 0.4 : 0.002, fault ? 3 : 1);
			new.target = 10 + rng_below(&rng, 2);
			for (int i = 0; i < 10; i++)
				add_call(&new, &rng, fault ? 0.4 : 0.002, fault ? 3 : 1);
			evidence_add(evidence, EVIDENCE_OLD, &old);
			evidence_add(evidence, EVIDENCE_NEW, &new);
			found |= evidence_close(evidence, true, &route) != EVIDENCE_NONE;
		}
		rejected += found;
		evidence_free(evidence);
	}
	assert_true(rejected <= 1);
}

/* Adds a second of one route: 40 calls to the old version and @p new_calls to the new one. */
static void add_second_of_one_route(struct evidence *evidence, struct rng *rng, double old_fails,
				    double new_fails, int new_calls)
{
	struct evidence_window old = { .route = LABEL("r"), .target = 1 };

	for (int i = 0; i < 40; i++)
		add_call(&old, rng, old_fails, 1);
	evidence_add(evidence, EVIDENCE_OLD, &old);
	for (int t = 0; t < 3 && new_calls; t++) {
		struct evidence_window new = { .route = LABEL("r"),
					       .target = 10 + (uint64_t)t,
					       .targets = 3 };

		for (int i = 0; i < new_calls / 3; i++)
			add_call(&new, rng, new_fails, 1);
		evidence_add(evidence, EVIDENCE_NEW, &new);
	}
}

/* Returns a move from v1 to v2 at its fifth step. */
static struct moves *started_move(struct config **config)
{
	struct moves *moves = moves_new(pool);
	struct move_state state = { .id = MOVES_PER_FILE, .step = 5, .from = LABEL("v1") };

	*config = open_ended_config("v2", 1);
	moves_configure(moves, *config);
	moves_merge(moves, &state);
	return moves;
}

/*
 * A service that both versions call fails for six seconds, and few calls reach the new version,
 * which fails a third of its calls by itself (argyris-cat trouble-1, seed 878084651751). After the
 * outage the old version's failures during it must not mask those of the new one: it is withdrawn
 * within five seconds of its 50th bad answer, of which one is for the gossip.
 */
static void test_bad_version_rejected_after_outage(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 100; seed++) {
		struct evidence *evidence = evidence_new();
		struct rng rng = { seed };
		struct label route;
		bool found = false;
		double bad = 0;
		int after = 0;

		for (int s = 0; s < 10; s++) {
			add_second_of_one_route(evidence, &rng, 0.002, 0, 0);
			evidence_close(evidence, true, &route);
		}
		for (int s = 0; s < 6 && !found; s++) {
			add_second_of_one_route(evidence, &rng, 0.7, 0.8, 6);
			bad += 6 * 0.36;
			found = evidence_close(evidence, true, &route) != EVIDENCE_NONE;
			if (!found && s >= 1)
				assert_true(evidence_is_inconclusive(evidence));
		}
		for (; !found && after < 4; after += bad >= 50) {
			add_second_of_one_route(evidence, &rng, 0.01, 0.36, 30);
			bad += 30 * 0.36;
			found = evidence_close(evidence, true, &route) != EVIDENCE_NONE;
		}
		assert_true(found);
		evidence_free(evidence);
	}
}

/*
 * A service that both versions call fails a part of its calls for a long time: the old version
 * fails a fifth, the new one a further fifth by itself (argyris-cat trouble-1, seed 64516579). It
 * is withdrawn within five seconds of its 50th bad answer, of which one is for the gossip.
 */
static void test_bad_version_rejected_during_lasting_fault(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 100; seed++) {
		struct evidence *evidence = evidence_new();
		struct rng rng = { seed };
		struct label route;
		bool found = false;
		double bad = 0;
		int after = 0;

		for (int s = 0; s < 10; s++) {
			add_second_of_one_route(evidence, &rng, 0.002, 0, 0);
			evidence_close(evidence, true, &route);
		}
		for (; !found && after < 4; after += bad >= 50) {
			add_second_of_one_route(evidence, &rng, 0.22, 0.42, 30);
			bad += 30 * 0.2;
			found = evidence_close(evidence, true, &route) != EVIDENCE_NONE;
		}
		assert_true(found);
		evidence_free(evidence);
	}
}

/* An intermittent fault of both versions must not reject the new one while its share grows. */
static void test_intermittent_fault_rejects_no_version(void **state)
{
	int rejected = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 200; seed++) {
		struct evidence *evidence = evidence_new();
		struct rng rng = { seed };
		struct label route;
		bool found = false;

		for (int s = 0; s < 60 && !found; s++) {
			double fails = s / 5 % 2 ? 0.3 : 0.01;

			add_second_of_one_route(evidence, &rng, fails, fails, 3 + s / 2);
			found = evidence_close(evidence, true, &route) != EVIDENCE_NONE;
		}
		rejected += found;
		evidence_free(evidence);
	}
	assert_true(rejected <= 1);
}

/* Failures on a route that the old version hardly served must not reject the new version: they may
 * occur with either. */
static void test_route_without_baseline_rejects_no_version(void **state)
{
	struct evidence *evidence = evidence_new();
	struct rng rng = { 1 };
	struct label route;

	(void)state;
	for (int s = 0; s < 20; s++) {
		add_second_of_one_route(evidence, &rng, 0.002, 0.002, 9);
		for (int t = 0; t < 2 && s >= 10 && s < 13; t++) {
			struct evidence_window rare = { .route = LABEL("rare"),
							.target = 10 + (uint64_t)t,
							.targets = 3,
							.calls = 1,
							.failures = 1 };

			evidence_add(evidence, EVIDENCE_NEW, &rare);
		}
		assert_int_equal(evidence_close(evidence, true, &route), EVIDENCE_NONE);
	}
	evidence_free(evidence);
}

static int share_of_new(struct moves *moves, const struct config *config)
{
	struct version_filter version;
	int calls = 0;

	for (uint64_t point = 0; point < 10000; point++) {
		moves_choose_version(moves, config, LABEL("s"), point, instant_at_s(20), &version);
		calls += version.kind == VERSION_IS && label_is(&version.name, STR("v2"));
	}
	return calls;
}

static void record_calls(struct moves *moves, const char *version, int count, bool failed)
{
	for (int i = 0; i < count; i++)
		moves_record_call(moves, LABEL("s"), label_from(str_from_cstr(version)), failed,
				  instant_at_s(20));
}

/* While both versions fail on this entry node, no call goes to the new one; after the outage the
 * move goes on. */
static void test_outage_suspends_move_on_entry_node(void **state)
{
	struct config *config;
	struct moves *moves = started_move(&config);

	(void)state;
	record_calls(moves, "v1", 60, true);
	record_calls(moves, "v2", 6, true);
	assert_int_equal(share_of_new(moves, config), 0);
	record_calls(moves, "v1", 60, false);
	assert_int_equal(share_of_new(moves, config), move_step_share(5));
	moves_free(moves);
	config_unref(config);
}

/* Returns the step, 5 or 6, that a move at step 5 reaches with these calls per second. */
static int step_reached(uint32_t old_calls, uint32_t new_calls)
{
	struct config *config;
	struct moves *moves = started_move(&config);
	struct move_inputs inputs = { .second_complete = true,
				      .may_advance = true,
				      .may_withdraw = true,
				      .new_targets = 4,
				      .old_targets = 8,
				      .main_version = LABEL("v1") };
	int64_t start_us = 0;
	int step = 0;

	assert_true(clock_parse_utc(STR("2026-12-04T10:00:00Z"), &start_us));
	for (int s = 1; s <= 20; s++) {
		struct instant now = { s * US_PER_S, start_us + s * US_PER_S };
		struct evidence_window old = {
			.route = LABEL("r"), .target = 1, .targets = 8, .calls = old_calls
		};
		struct evidence_window new = {
			.route = LABEL("r"), .target = 2, .targets = 4, .calls = new_calls
		};

		moves_add_evidence(moves, MOVES_PER_FILE, LABEL("v1"), &old);
		moves_add_evidence(moves, MOVES_PER_FILE, LABEL("v2"), &new);
		moves_coordinate(moves, MOVES_PER_FILE, &inputs, now);
		step = moves_share(moves, MOVES_PER_FILE, now) > move_step_share(5) ? 6 : 5;
	}
	moves_free(moves);
	config_unref(config);
	return step;
}

/*
 * Entry nodes that contain a new version send it no calls, so that no evidence comes. The move must
 * not go on for lack of evidence then, but it must if the whole service has few calls.
 */
static void test_contained_version_gets_no_step(void **state)
{
	(void)state;
	assert_int_equal(step_reached(200, 0), 5);
	assert_true(step_reached(200, 30) > 5);
	assert_true(step_reached(1, 0) > 5);
}

/* A new version that fixes the failures of the old one must get its share. */
static void test_version_that_fixes_fault_gets_its_share(void **state)
{
	struct evidence *evidence = evidence_new();
	struct config *config;
	struct moves *moves = started_move(&config);
	struct rng rng = { 7 };
	struct label route;

	(void)state;
	record_calls(moves, "v1", 60, true);
	record_calls(moves, "v2", 6, false);
	assert_int_equal(share_of_new(moves, config), move_step_share(5));
	moves_free(moves);
	config_unref(config);
	for (int s = 0; s < 20; s++) {
		add_second_of_one_route(evidence, &rng, 0.7, 0.01, 15);
		assert_int_equal(evidence_close(evidence, true, &route), EVIDENCE_NONE);
		assert_false(evidence_is_inconclusive(evidence));
	}
	evidence_free(evidence);
}

/* One broken target of four must not reject its version; two must. */
static void test_one_broken_target_rejects_no_version(void **state)
{
	(void)state;
	for (int broken = 1; broken <= 2; broken++) {
		struct evidence *evidence = evidence_new();
		struct rng rng = { 5 };
		struct label route;
		bool found = false;

		for (int s = 0; s < 60; s++) {
			struct evidence_window old = { .route = LABEL("r"), .target = 1 };

			for (int i = 0; i < 100; i++)
				add_call(&old, &rng, 0.002, 1);
			evidence_add(evidence, EVIDENCE_OLD, &old);
			for (int t = 0; t < 4; t++) {
				struct evidence_window new = { .route = LABEL("r"),
							       .target = 10 + t,
							       .targets = 4 };

				for (int i = 0; i < 10; i++)
					add_call(&new, &rng, t < broken ? 1 : 0, 1);
				evidence_add(evidence, EVIDENCE_NEW, &new);
			}
			found |= evidence_close(evidence, true, &route) != EVIDENCE_NONE;
		}
		assert_int_equal(found, broken == 2);
		evidence_free(evidence);
	}
}

static void test_shares_grow_with_each_step(void **state)
{
	int last = -1;

	(void)state;
	for (int step = 0; step <= MOVE_STEPS; step++) {
		assert_true(move_step_share(step) > last);
		last = move_step_share(step);
	}
	assert_int_equal(move_step_share(1), 100);
	assert_int_equal(last, 10000);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_join_is_a_semilattice),
		cmocka_unit_test(test_join_of_done_and_withdrawn_open_ended_move),
		cmocka_unit_test(test_move_after_withdrawal_excludes_rejected_version),
		cmocka_unit_test(test_canaries_at_each_step),
		cmocka_unit_test(test_calls_until_rejected),
		cmocka_unit_test(test_shared_fault_rejects_no_version),
		cmocka_unit_test(test_bad_version_rejected_after_outage),
		cmocka_unit_test(test_bad_version_rejected_during_lasting_fault),
		cmocka_unit_test(test_intermittent_fault_rejects_no_version),
		cmocka_unit_test(test_route_without_baseline_rejects_no_version),
		cmocka_unit_test(test_outage_suspends_move_on_entry_node),
		cmocka_unit_test(test_contained_version_gets_no_step),
		cmocka_unit_test(test_version_that_fixes_fault_gets_its_share),
		cmocka_unit_test(test_one_broken_target_rejects_no_version),
		cmocka_unit_test(test_shares_grow_with_each_step),
	};

	apr_initialize();
	apr_pool_create(&pool, NULL);
	return cmocka_run_group_tests_name("core/move", tests, NULL, NULL);
}
