/* Tests that each key is granted at most once, whatever faults the log, the homes and the messages
 * have. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <string.h>

#include "regress/lib/sim.h"

enum { NODES = 9, KEYS = 60, REQUESTS = 3 };

/** One claim request and its answer. */
struct claim_request {
	uint64_t seq;
	int node;
	int key;
	uint64_t claim;
	bool answered;
	bool ended; /* its outcome was reported */
	enum claim_result result;
};

struct fixture {
	struct claim_request requests[KEYS * REQUESTS * 4];
	int count;
	int grants[KEYS];
	int answered;
};

static void on_claimed(struct sim *sim, int node, uint64_t seq, enum claim_result result)
{
	struct fixture *fixture = sim_context(sim);

	for (int i = 0; i < fixture->count; i++) {
		struct claim_request *request = &fixture->requests[i];

		if (request->node != node || request->seq != seq)
			continue;
		assert_false(request->answered);
		request->answered = true;
		request->result = result;
		fixture->answered++;
		fixture->grants[request->key] += result == CLAIM_GRANTED;
	}
}

static struct claim_key numbered_key(int number)
{
	char text[16];

	g_snprintf(text, sizeof(text), "key-%d", number);
	return claim_key_of(LABEL("r"), str_from_cstr(text));
}

static void start_claim(struct sim *sim, struct fixture *fixture, int node, int key, int within_s)
{
	struct claim_request *request = &fixture->requests[fixture->count++];
	struct actions actions = actions_new();
	struct instant now = sim_now(sim);

	request->node = node;
	request->key = key;
	request->seq = node_claim_start(sim_node(sim, node)->node, numbered_key(key),
					deadline_after(now, within_s * US_PER_S), now,
					&request->claim, &actions);
	sim_dispatch_actions(sim, node, &actions);
}

static void end_claim(struct sim *sim, const struct claim_request *request, enum claim_op_kind kind)
{
	struct claim_op op = { numbered_key(request->key), request->claim, kind, 200 };
	struct actions actions = actions_new();

	node_claim_end(sim_node(sim, request->node)->node, &op, sim_now(sim), &actions);
	sim_dispatch_actions(sim, request->node, &actions);
}

static void no_fault(struct sim *sim, int step)
{
	(void)sim;
	(void)step;
}

static void lose_answers(struct sim *sim, int step)
{
	if (step % 2 == 0)
		sim_log_lose_answers(sim, 2);
}

static void make_log_unavailable(struct sim *sim, int step)
{
	sim_log_set_unavailable(sim, step >= 3 && step < 8);
}

static void lose_messages(struct sim *sim, int step)
{
	(void)step;
	sim_set_loss(sim, 0.2);
}

/* Nodes with different tables of members choose two homes for a partition. */
static void partition_members(struct sim *sim, int step)
{
	bool cut = step < 10;

	for (int dc = 1; dc < 3; dc++) {
		sim_cut(sim, 0, dc, cut);
		sim_cut(sim, dc, 0, cut);
	}
}

/* Homes pause until others have replaced them, then go on with their old state. */
static void pause_homes(struct sim *sim, int step)
{
	for (int i = 3; i < 6; i++)
		sim_freeze(sim, i, step >= 1 && step < 9);
}

static void restart_homes(struct sim *sim, int step)
{
	for (int i = 3; i < 6; i++) {
		if (step == 2 + i)
			sim_kill(sim, i);
		if (step == 6 + i)
			sim_start(sim, i);
	}
}

static const struct fault_case {
	const char *name;
	void (*fault)(struct sim *sim, int step);
	bool all_granted; /* each key is granted in the end */
} fault_cases[] = {
	{ "no fault", no_fault, true },
	{ "answers of the log are lost", lose_answers, true },
	{ "the log is unavailable for a while", make_log_unavailable, true },
	{ "messages are lost", lose_messages, true },
	{ "two homes at once", partition_members, true },
	{ "homes are paused", pause_homes, false },
	{ "homes crash and restart", restart_homes, true },
};

/* Starts a fleet whose messages are delayed, duplicated and reordered. */
static struct sim *start_sim(struct fixture *fixture, uint64_t seed)
{
	struct sim_options options = { .nodes = NODES,
				       .data_centres = 3,
				       .seed = seed,
				       .preload = true,
				       .duplicates = 0.2,
				       .delay_max_us = 20000,
				       .on_claimed = on_claimed,
				       .context = fixture };
	struct sim *sim = sim_new(&options);

	sim_run(sim, 10 * US_PER_S);
	return sim;
}

static void run_fault_case(const struct fault_case *fault_case, uint64_t seed)
{
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct sim *sim = start_sim(fixture, seed);
	int granted = 0;

	for (int step = 0; step < 15; step++) {
		fault_case->fault(sim, step);
		for (int i = 0; step < 12 && i < KEYS * REQUESTS / 12; i++) {
			int node = (int)rng_below(sim_rng(sim), 3);

			start_claim(sim, fixture, node, (step * KEYS * REQUESTS / 12 + i) % KEYS,
				    20);
		}
		sim_run(sim, US_PER_S);
	}
	sim_run(sim, 40 * US_PER_S);
	for (int key = 0; key < KEYS; key++) {
		if (fixture->grants[key] > 1)
			fail_msg("%s, seed %lu: key %d was granted %d times", fault_case->name,
				 seed, key, fixture->grants[key]);
		granted += fixture->grants[key];
	}
	if (fixture->answered != fixture->count)
		fail_msg("%s, seed %lu: %d of %d claim requests were answered", fault_case->name,
			 seed, fixture->answered, fixture->count);
	if (fault_case->all_granted && granted != KEYS)
		fail_msg("%s, seed %lu: only %d of %d keys were granted", fault_case->name, seed,
			 granted, KEYS);
	sim_free(sim);
	g_free(fixture);
}

static void test_faults_never_grant_key_twice(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++)
		for (uint64_t seed = 1; seed <= 5; seed++)
			run_fault_case(&fault_cases[i], seed);
}

/* Reports that the requests ran whose claims were granted. */
static void complete_granted(struct sim *sim, struct fixture *fixture)
{
	for (int i = 0; i < fixture->count; i++) {
		struct claim_request *request = &fixture->requests[i];

		if (!request->answered || request->ended || request->result != CLAIM_GRANTED)
			continue;
		request->ended = true;
		end_claim(sim, request, CLAIM_COMPLETE);
	}
}

/* Claims each key again. Returns how many of them are known to have run. */
static int count_replayed(struct sim *sim, struct fixture *fixture)
{
	int first = fixture->count;
	int replayed = 0;

	for (int key = 0; key < KEYS; key++)
		start_claim(sim, fixture, key % 3, key, 20);
	sim_run(sim, 25 * US_PER_S);
	for (int i = first; i < fixture->count; i++)
		replayed += fixture->requests[i].result == CLAIM_REPLAYED;
	return replayed;
}

static void run_outcome_case(const struct fault_case *fault_case, uint64_t seed)
{
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct sim *sim = start_sim(fixture, seed);
	int completed = 0;
	int replayed;

	for (int step = 0; step < 15; step++) {
		fault_case->fault(sim, step);
		for (int i = 0; step < 12 && i < KEYS / 12; i++)
			start_claim(sim, fixture, i % 3, step * KEYS / 12 + i, 20);
		sim_run(sim, US_PER_S);
		complete_granted(sim, fixture);
	}
	for (int i = 0; i < 40; i++) {
		sim_run(sim, US_PER_S);
		complete_granted(sim, fixture);
	}
	for (int i = 0; i < fixture->count; i++)
		completed += fixture->requests[i].ended;
	replayed = count_replayed(sim, fixture);
	if (replayed != completed || (fault_case->all_granted && completed != KEYS))
		fail_msg("%s, seed %lu: %d of %d outcomes are known, of %d keys", fault_case->name,
			 seed, replayed, completed, KEYS);
	sim_free(sim);
	g_free(fixture);
}

/* The report of an outcome was lost with its message or with its home, and the key was held until
 * the log expired. */
static void test_faults_lose_no_outcome(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++)
		for (uint64_t seed = 1; seed <= 5; seed++)
			run_outcome_case(&fault_cases[i], seed);
}

static enum claim_result claim_and_wait(struct sim *sim, struct fixture *fixture, int node, int key)
{
	int index = fixture->count;

	start_claim(sim, fixture, node, key, 5);
	sim_run(sim, 6 * US_PER_S);
	assert_true(fixture->requests[index].answered);
	return fixture->requests[index].result;
}

static void test_key_is_granted_held_replayed_or_timed_out(void **state)
{
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct sim_options options = { .nodes = NODES,
				       .data_centres = 3,
				       .seed = 2,
				       .preload = true,
				       .on_claimed = on_claimed,
				       .context = fixture };
	struct sim *sim = sim_new(&options);

	(void)state;
	sim_run(sim, 10 * US_PER_S);
	assert_int_equal(claim_and_wait(sim, fixture, 0, 1), CLAIM_GRANTED);
	assert_int_equal(claim_and_wait(sim, fixture, 1, 1), CLAIM_HELD);
	end_claim(sim, &fixture->requests[0], CLAIM_COMPLETE);
	sim_run(sim, US_PER_S);
	assert_int_equal(claim_and_wait(sim, fixture, 2, 1), CLAIM_REPLAYED);
	/* A released key is granted again; a release after a recorded run has no effect. */
	assert_int_equal(claim_and_wait(sim, fixture, 0, 2), CLAIM_GRANTED);
	end_claim(sim, &fixture->requests[3], CLAIM_RELEASE);
	sim_run(sim, US_PER_S);
	assert_int_equal(claim_and_wait(sim, fixture, 1, 2), CLAIM_GRANTED);
	end_claim(sim, &fixture->requests[0], CLAIM_RELEASE);
	sim_run(sim, US_PER_S);
	assert_int_equal(claim_and_wait(sim, fixture, 1, 1), CLAIM_REPLAYED);
	/* Without the log no key is granted. */
	sim_log_set_unavailable(sim, true);
	assert_int_equal(claim_and_wait(sim, fixture, 0, 3), CLAIM_TIMEOUT);
	sim_log_set_unavailable(sim, false);
	sim_run(sim, 2 * US_PER_S);
	assert_int_equal(claim_and_wait(sim, fixture, 1, 3), CLAIM_GRANTED);
	sim_free(sim);
	g_free(fixture);
}

/* Without batches, ten thousand keys in ten seconds would exceed the log's rate. */
static void test_batches_limit_append_rate(void **state)
{
	struct sim_options options = {
		.nodes = NODES, .data_centres = 3, .seed = 4, .preload = true
	};
	struct sim *sim = sim_new(&options);
	struct sim_log_stats before;
	struct sim_log_stats after;

	(void)state;
	sim_run(sim, 10 * US_PER_S);
	before = sim_log_stats(sim);
	for (int i = 0; i < 10000; i++) {
		struct actions actions = actions_new();
		struct instant now = sim_now(sim);
		uint64_t claim;

		node_claim_start(sim_node(sim, i % NODES)->node, numbered_key(i),
				 deadline_after(now, 5 * US_PER_S), now, &claim, &actions);
		sim_dispatch_actions(sim, i % NODES, &actions);
		sim_run(sim, 1000);
	}
	after = sim_log_stats(sim);
	print_message("10,000 keys in 10 s: %ld appends\n", after.appends - before.appends);
	assert_true(after.appends - before.appends <= 3200);
	sim_free(sim);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_faults_never_grant_key_twice),
		cmocka_unit_test(test_faults_lose_no_outcome),
		cmocka_unit_test(test_key_is_granted_held_replayed_or_timed_out),
		cmocka_unit_test(test_batches_limit_append_rate),
	};

	apr_initialize();
	return cmocka_run_group_tests_name("core/claim", tests, NULL, NULL);
}
