/* At most one grant for each key, whatever happens to the log, the homes and the messages. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <string.h>

#include "regress/lib/sim.h"

enum { NODES = 9, KEYS = 60, ASKS = 3 };

/** What became of one ask. */
struct ask {
	uint64_t seq;
	int node;
	int key;
	uint64_t claim;
	bool answered;
	enum claim_result result;
};

struct bench {
	struct ask asks[KEYS * ASKS * 4];
	int count;
	int grants[KEYS];
	int answered;
};

static void on_claimed(struct sim *sim, int node, uint64_t seq, enum claim_result result)
{
	struct bench *bench = sim_context(sim);

	for (int i = 0; i < bench->count; i++) {
		struct ask *ask = &bench->asks[i];

		if (ask->node != node || ask->seq != seq)
			continue;
		assert_false(ask->answered);
		ask->answered = true;
		ask->result = result;
		bench->answered++;
		bench->grants[ask->key] += result == CLAIM_GRANTED;
	}
}

static struct claim_key key_of(int number)
{
	char text[16];

	g_snprintf(text, sizeof(text), "key-%d", number);
	return claim_key_of(LABEL("r"), str_from_cstr(text));
}

static void start_ask(struct sim *sim, struct bench *bench, int node, int key, int within_s)
{
	struct ask *ask = &bench->asks[bench->count++];
	struct actions actions = actions_new();
	struct instant now = sim_now(sim);

	ask->node = node;
	ask->key = key;
	ask->seq = node_claim_start(sim_node(sim, node)->node, key_of(key),
				    deadline_after(now, within_s * US_PER_S), now, &ask->claim,
				    &actions);
	sim_carry_out(sim, node, &actions);
}

static void end_ask(struct sim *sim, const struct ask *ask, enum claim_note_kind kind)
{
	struct claim_note note = { key_of(ask->key), ask->claim, kind, 200 };
	struct actions actions = actions_new();

	node_claim_end(sim_node(sim, ask->node)->node, &note, sim_now(sim), &actions);
	sim_carry_out(sim, ask->node, &actions);
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

static void log_out_for_a_while(struct sim *sim, int step)
{
	sim_log_out(sim, step >= 3 && step < 8);
}

static void lose_messages(struct sim *sim, int step)
{
	(void)step;
	sim_set_loss(sim, 0.2);
}

/* Two views of the membership have two homes for a partition. */
static void split_view(struct sim *sim, int step)
{
	bool cut = step < 10;

	for (int dc = 1; dc < 3; dc++) {
		sim_cut(sim, 0, dc, cut);
		sim_cut(sim, dc, 0, cut);
	}
}

/* Homes pause past their turn, come back and go on with what they had. */
static void pause_homes(struct sim *sim, int step)
{
	for (int i = 3; i < 6; i++)
		sim_freeze(sim, i, step >= 1 && step < 9);
}

static void kill_homes(struct sim *sim, int step)
{
	for (int i = 3; i < 6; i++) {
		if (step == 2 + i)
			sim_kill(sim, i);
		if (step == 6 + i)
			sim_start(sim, i);
	}
}

static const struct row {
	const char *what;
	void (*fault)(struct sim *sim, int step);
	bool all_granted; /* each key is granted to somebody in the end */
} rows[] = {
	{ "no fault", no_fault, true },
	{ "answers of the log are lost", lose_answers, true },
	{ "the log is out for a while", log_out_for_a_while, true },
	{ "messages are lost", lose_messages, true },
	{ "two homes at once", split_view, true },
	{ "homes are paused", pause_homes, false },
	{ "homes die", kill_homes, true },
};

static void run_row(const struct row *row, uint64_t seed)
{
	struct bench *bench = g_new0(struct bench, 1);
	struct sim_options options = { .nodes = NODES,
				       .data_centres = 3,
				       .seed = seed,
				       .preload = true,
				       .duplicates = 0.2,
				       .delay_max_us = 20000,
				       .on_claimed = on_claimed,
				       .context = bench };
	struct sim *sim = sim_new(&options);
	int granted = 0;

	sim_run(sim, 10 * US_PER_S);
	for (int step = 0; step < 15; step++) {
		row->fault(sim, step);
		for (int i = 0; step < 12 && i < KEYS * ASKS / 12; i++) {
			int node = (int)rng_below(sim_rng(sim), 3);

			start_ask(sim, bench, node, (step * KEYS * ASKS / 12 + i) % KEYS, 20);
		}
		sim_run(sim, US_PER_S);
	}
	sim_run(sim, 40 * US_PER_S);
	for (int key = 0; key < KEYS; key++) {
		if (bench->grants[key] > 1)
			fail_msg("%s, seed %lu: key %d was granted %d times", row->what, seed, key,
				 bench->grants[key]);
		granted += bench->grants[key];
	}
	if (bench->answered != bench->count)
		fail_msg("%s, seed %lu: %d of %d asks were answered", row->what, seed,
			 bench->answered, bench->count);
	if (row->all_granted && granted != KEYS)
		fail_msg("%s, seed %lu: only %d of %d keys were granted", row->what, seed, granted,
			 KEYS);
	sim_free(sim);
	g_free(bench);
}

static void test_at_most_one_grant(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		for (uint64_t seed = 1; seed <= 5; seed++)
			run_row(&rows[i], seed);
}

static enum claim_result ask_and_wait(struct sim *sim, struct bench *bench, int node, int key)
{
	int index = bench->count;

	start_ask(sim, bench, node, key, 5);
	sim_run(sim, 6 * US_PER_S);
	assert_true(bench->asks[index].answered);
	return bench->asks[index].result;
}

static void test_outcomes(void **state)
{
	struct bench *bench = g_new0(struct bench, 1);
	struct sim_options options = { .nodes = NODES,
				       .data_centres = 3,
				       .seed = 2,
				       .preload = true,
				       .on_claimed = on_claimed,
				       .context = bench };
	struct sim *sim = sim_new(&options);

	(void)state;
	sim_run(sim, 10 * US_PER_S);
	assert_int_equal(ask_and_wait(sim, bench, 0, 1), CLAIM_GRANTED);
	assert_int_equal(ask_and_wait(sim, bench, 1, 1), CLAIM_HELD);
	end_ask(sim, &bench->asks[0], CLAIM_RAN);
	sim_run(sim, US_PER_S);
	assert_int_equal(ask_and_wait(sim, bench, 2, 1), CLAIM_REPLAYED);
	/* A released key can run; a release that comes after it ran changes nothing. */
	assert_int_equal(ask_and_wait(sim, bench, 0, 2), CLAIM_GRANTED);
	end_ask(sim, &bench->asks[3], CLAIM_RELEASE);
	sim_run(sim, US_PER_S);
	assert_int_equal(ask_and_wait(sim, bench, 1, 2), CLAIM_GRANTED);
	end_ask(sim, &bench->asks[0], CLAIM_RELEASE);
	sim_run(sim, US_PER_S);
	assert_int_equal(ask_and_wait(sim, bench, 1, 1), CLAIM_REPLAYED);
	/* With the log out nothing is granted. */
	sim_log_out(sim, true);
	assert_int_equal(ask_and_wait(sim, bench, 0, 3), CLAIM_TIMEOUT);
	sim_log_out(sim, false);
	sim_run(sim, 2 * US_PER_S);
	assert_int_equal(ask_and_wait(sim, bench, 1, 3), CLAIM_GRANTED);
	sim_free(sim);
	g_free(bench);
}

/* Ten thousand keys in ten seconds stay within the log's rate, by batches. */
static void test_batches_keep_the_rate(void **state)
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

		node_claim_start(sim_node(sim, i % NODES)->node, key_of(i),
				 deadline_after(now, 5 * US_PER_S), now, &claim, &actions);
		sim_carry_out(sim, i % NODES, &actions);
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
		cmocka_unit_test(test_at_most_one_grant),
		cmocka_unit_test(test_outcomes),
		cmocka_unit_test(test_batches_keep_the_rate),
	};

	apr_initialize();
	return cmocka_run_group_tests_name("core/claim", tests, NULL, NULL);
}
