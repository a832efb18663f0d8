/*
 * Measures core instances in one process.
 *   measure spread [SIZE ...]  distribution of a change by fleet size: time until it is in force
 *                              everywhere, messages, control bytes, CPU time, memory
 *   measure moves [SEEDS]      outcomes of moves to good and bad versions
 *   measure choice             choice of targets, compared with random and round robin
 */
#include <apr_general.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "regress/lib/distribution.h"
#include "regress/lib/movesim.h"

static void measure_distribution(int size)
{
	struct distribution_figures figures = distribution_measure(size);

	printf("%6d %8.0f %10.1f %10.0f %10.0f %9.4f %9.4f %8.0f %10.1f %s\n", size,
	       figures.max_latency_ms, figures.messages_per_change, figures.idle_bytes_per_s,
	       figures.loaded_bytes_per_s, figures.idle_cpu * 100, figures.loaded_cpu * 100,
	       figures.memory_kb, figures.log_reads_per_min, figures.violation);
	fflush(stdout);
}

/** A kind of new version. Moves to it are measured over many seeds. */
struct behaviour {
	const char *name;
	double failure_fraction;
	double slow_factor;
	bool one_route;
	double bad_after_fraction; /**< share of the time of the move; 0: bad from its start */
};

static const struct behaviour behaviours[] = {
	{ "good", 0, 1, false, 0 },
	{ "fails 5%", 0.05, 1, false, 0 },
	{ "fails 20%", 0.2, 1, false, 0 },
	{ "fails 100%", 1, 1, false, 0 },
	{ "twice as slow", 0, 2, false, 0 },
	{ "five times as slow", 0, 5, false, 0 },
	{ "fails 20%, one route of ten", 0.2, 1, true, 0 },
	{ "five times as slow, one route", 0, 5, true, 0 },
	{ "fails 20%, in the second half", 0.2, 1, false, 0.5 },
	{ "fails 20%, after it is done", 0.2, 1, false, 0.9 },
};

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double quantile(GArray *values, double q)
{
	g_array_sort(values, compare_doubles);
	return values->len ? g_array_index(values, double, (guint)(q * (values->len - 1))) : 0;
}

/* Runs one move per seed. The seeds cycle through the faults of the environment. */
static void measure_behaviour(const struct behaviour *behaviour, int seeds)
{
	GArray *outcome_times_s = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *bad_percents = g_array_new(FALSE, FALSE, sizeof(double));
	int on_time_count = 0;
	int withdrawn_count = 0;

	for (int seed = 1; seed <= seeds; seed++) {
		struct movesim_options options = { .seed = (uint64_t)seed,
						   .fault = seed % FAULT_COUNT,
						   .failure_fraction = behaviour->failure_fraction,
						   .slow_factor = behaviour->slow_factor,
						   .one_route = behaviour->one_route,
						   .bad_after_fraction =
							   behaviour->bad_after_fraction,
						   .calls_per_s = 200,
						   .move_s = 300 };
		struct movesim_result result = movesim_run(&options);
		double bad_percent = 100.0 * result.calls_new_bad / result.calls;
		double outcome_s = behaviour->failure_fraction > 0 || behaviour->slow_factor > 1
					   ? result.withdrawn_s
					   : result.done_s;

		on_time_count += result.on_time && !result.withdrawn;
		withdrawn_count += result.withdrawn;
		if (result.withdrawn || result.done)
			g_array_append_val(outcome_times_s, outcome_s);
		g_array_append_val(bad_percents, bad_percent);
		if (result.violation[0])
			printf("seed %d: %s\n", seed, result.violation);
	}
	printf("%-30s %4d on time %4d taken back  s: p50 %6.1f max %6.1f  bad calls %%: p50 %5.2f "
	       "max %5.2f\n",
	       behaviour->name, on_time_count, withdrawn_count, quantile(outcome_times_s, 0.5),
	       quantile(outcome_times_s, 1), quantile(bad_percents, 0.5),
	       quantile(bad_percents, 1));
	fflush(stdout);
	g_array_unref(outcome_times_s);
	g_array_unref(bad_percents);
}

/* The following functions compare the choice of a target with random and round robin, on the same
 * arrivals. */

enum policy { POLICY_TWO_CHOICES, POLICY_RANDOM, POLICY_ROUND_ROBIN, POLICY_COUNT };

enum {
	ENTRIES = 6,
	TARGETS = 12,
	TARGET_SLOTS = 4,
	SERVICE_US = 20000,
	SLOW_TARGETS = 2, /* targets that take twice as long */
	ARRIVALS = 60000,
};

static const char *const policy_names[POLICY_COUNT] = { "two choices by load", "random",
							"round robin" };

/** The time at which each slot of each target becomes free. */
struct slot_table {
	int64_t free_at_us[TARGETS][TARGET_SLOTS];
};

/** A call in progress, whose end is still to be reported to its entry node. */
struct pending_call {
	int64_t end_us;
	int entry;
	uint64_t target;
};

static int64_t serve_call(struct slot_table *slot_table, int target, int64_t now_us,
			  struct rng *rng)
{
	int64_t *slots = slot_table->free_at_us[target];
	int64_t service_us = (int64_t)(SERVICE_US * (0.5 + rng_unit(rng)));
	int earliest = 0;

	for (int i = 1; i < TARGET_SLOTS; i++)
		if (slots[i] < slots[earliest])
			earliest = i;
	if (target < SLOW_TARGETS)
		service_us *= 2;
	slots[earliest] = MAX(slots[earliest], now_us) + service_us;
	return slots[earliest];
}

static struct members *new_entry_members(apr_pool_t *pool)
{
	struct members_options options = {
		.self = { .id = 1, .incarnation = 1, .data_centre = label_from(STR("a")) }
	};
	struct members *members = members_new(&options, pool);

	for (int i = 0; i < TARGETS; i++) {
		struct member member = { .id = 100 + (uint64_t)i,
					 .incarnation = 1,
					 .state = MEMBER_ALIVE,
					 .slots = TARGET_SLOTS,
					 .data_centre = label_from(STR("a")),
					 .service = label_from(STR("s")),
					 .version = label_from(STR("v")) };

		members_merge(members, &member, (struct instant){ 0, 0 });
	}
	return members;
}

static int choose_target(enum policy policy, struct members *members, int number, struct rng *rng,
			 int64_t now_us)
{
	struct choice_options options = { .service = label_from(STR("s")),
					  .version = { VERSION_IS, label_from(STR("v")) } };
	struct instant now = { now_us, now_us };

	switch (policy) {
	case POLICY_TWO_CHOICES:
		return (int)(members_choose(members, &options, rng, now) - 100);
	case POLICY_RANDOM:
		return (int)rng_below(rng, TARGETS);
	case POLICY_ROUND_ROBIN:
		return number % TARGETS;
	case POLICY_COUNT:
		break;
	}
	return 0;
}

/* Reports the calls that have ended to their entry nodes. */
static void end_calls(GArray *pending, struct members **members, int64_t now_us)
{
	for (guint i = pending->len; i-- > 0;) {
		struct pending_call call = g_array_index(pending, struct pending_call, i);

		if (call.end_us > now_us)
			continue;
		members_call_ended(members[call.entry], call.target, CALL_ANSWERED, false,
				   (struct instant){ now_us, now_us });
		g_array_remove_index_fast(pending, i);
	}
}

static void measure_policy(enum policy policy, double load, apr_pool_t *pool)
{
	struct members *members[ENTRIES];
	struct slot_table *slot_table = g_new0(struct slot_table, 1);
	GArray *pending = g_array_new(FALSE, FALSE, sizeof(struct pending_call));
	GArray *latencies_ms = g_array_new(FALSE, FALSE, sizeof(double));
	struct rng rng = { 3 };
	double calls_per_us = load * (TARGETS - SLOW_TARGETS / 2.0) * TARGET_SLOTS / SERVICE_US;
	/* Start at 60 s, when the slow start of the new targets is over. */
	double now_us = 60e6;

	for (int i = 0; i < ENTRIES; i++)
		members[i] = new_entry_members(pool);
	for (int i = 0; i < ARRIVALS; i++) {
		int entry = (int)rng_below(&rng, ENTRIES);
		struct pending_call call = { .entry = entry };
		int target;
		double latency_ms;

		now_us += -log(1 - rng_unit(&rng)) / calls_per_us;
		end_calls(pending, members, (int64_t)now_us);
		target = choose_target(policy, members[entry], i, &rng, (int64_t)now_us);
		call.target = 100 + (uint64_t)target;
		call.end_us = serve_call(slot_table, target, (int64_t)now_us, &rng);
		latency_ms = ((double)call.end_us - now_us) / 1000;
		g_array_append_val(pending, call);
		g_array_append_val(latencies_ms, latency_ms);
	}
	printf("%-20s load %.1f  p50 %7.1f ms  p99 %8.1f ms\n", policy_names[policy], load,
	       quantile(latencies_ms, 0.5), quantile(latencies_ms, 0.99));
	for (int i = 0; i < ENTRIES; i++)
		members_free(members[i]);
	g_array_unref(pending);
	g_array_unref(latencies_ms);
	g_free(slot_table);
}

static void measure_choice(void)
{
	static const double loads[] = { 0.5, 0.7, 0.9 };
	apr_pool_t *pool;

	apr_pool_create(&pool, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++)
		for (int policy = 0; policy < POLICY_COUNT; policy++)
			measure_policy(policy, loads[i], pool);
	apr_pool_destroy(pool);
}

int main(int argc, char **argv)
{
	static const int sizes[] = { 16, 64, 256, 1024 };

	apr_initialize();
	if (argc >= 2 && strcmp(argv[1], "moves") == 0) {
		for (size_t i = 0; i < G_N_ELEMENTS(behaviours); i++)
			measure_behaviour(&behaviours[i], argc > 2 ? atoi(argv[2]) : 200);
		return 0;
	}
	if (argc == 2 && strcmp(argv[1], "choice") == 0) {
		measure_choice();
		return 0;
	}
	if (argc < 2 || strcmp(argv[1], "spread") != 0) {
		fprintf(stderr, "usage: measure spread [size ...] | moves [seeds] | choice\n");
		return 2;
	}
	printf("%6s %8s %10s %10s %10s %9s %9s %8s %10s\n", "nodes", "worst ms", "msgs/node",
	       "B/s idle", "B/s change", "CPU% idle", "CPU% chg", "KB/node", "reads/min");
	if (argc > 2)
		for (int i = 2; i < argc; i++)
			measure_distribution(atoi(argv[i]));
	else
		for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
			measure_distribution(sizes[i]);
	return 0;
}
