/*
 * Measures distribution over core instances in one process: time until a change is in force
 * everywhere, messages, control bytes, processor time and memory, against the size of the fleet.
 *   measure spread [SIZE ...]
 *   measure moves [SEEDS]
 *   measure choice
 */
#include <apr_general.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "regress/lib/movesim.h"
#include "regress/lib/spread.h"

static void measure(int size)
{
	struct spread_figures figures = spread_measure(size);

	printf("%6d %8.0f %10.1f %10.0f %10.0f %9.4f %9.4f %8.0f %10.1f %s\n", size,
	       figures.worst_ms, figures.messages, figures.rest_bytes, figures.change_bytes,
	       figures.rest_cpu * 100, figures.change_cpu * 100, figures.memory_kb,
	       figures.log_reads, figures.violation);
	fflush(stdout);
}

/** A kind of new version, over many seeds. */
struct kind {
	const char *name;
	double fail_share;
	double slow_factor;
	bool one_route;
	double bad_after;
};

static const struct kind kinds[] = {
	{ "good", 0, 1, false, 0 },
	{ "fails 5%", 0.05, 1, false, 0 },
	{ "fails 20%", 0.2, 1, false, 0 },
	{ "fails 100%", 1, 1, false, 0 },
	{ "twice as slow", 0, 2, false, 0 },
	{ "five times as slow", 0, 5, false, 0 },
	{ "fails 20%, one route of ten", 0.2, 1, true, 0 },
	{ "five times as slow, one route", 0, 5, true, 0 },
	{ "fails 20%, from half time on", 0.2, 1, false, 0.5 },
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

/* Each seed has one fault of the environment, in turn. */
static void measure_kind(const struct kind *kind, int seeds)
{
	GArray *seconds = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *met = g_array_new(FALSE, FALSE, sizeof(double));
	int on_time = 0;
	int withdrawn = 0;

	for (int seed = 1; seed <= seeds; seed++) {
		struct movesim_options options = { .seed = (uint64_t)seed,
						   .fault = seed % FAULT_COUNT,
						   .fail_share = kind->fail_share,
						   .slow_factor = kind->slow_factor,
						   .one_route = kind->one_route,
						   .bad_after = kind->bad_after,
						   .calls_per_s = 200,
						   .move_s = 300 };
		struct movesim_result result = movesim_run(&options);
		double share = 100.0 * result.calls_new_bad / result.calls;
		double at = kind->fail_share > 0 || kind->slow_factor > 1 ? result.withdrawn_s
									  : result.done_s;

		on_time += result.on_time && !result.withdrawn;
		withdrawn += result.withdrawn;
		if (result.withdrawn || result.done)
			g_array_append_val(seconds, at);
		g_array_append_val(met, share);
		if (result.violation[0])
			printf("seed %d: %s\n", seed, result.violation);
	}
	printf("%-30s %4d on time %4d taken back  s: p50 %6.1f max %6.1f  met %%: p50 %5.2f "
	       "max %5.2f\n",
	       kind->name, on_time, withdrawn, quantile(seconds, 0.5), quantile(seconds, 1),
	       quantile(met, 0.5), quantile(met, 1));
	fflush(stdout);
	g_array_unref(seconds);
	g_array_unref(met);
}

/* The choice of a target against plain random and round robin, on the same arrivals. */

enum policy { POLICY_TWO_CHOICES, POLICY_RANDOM, POLICY_ROUND_ROBIN, POLICY_COUNT };

enum {
	ENTRIES = 6,
	TARGETS = 12,
	TARGET_SLOTS = 4,
	SERVICE_US = 20000,
	SLOW_TARGETS = 2, /* take twice as long */
	ARRIVALS = 60000,
};

static const char *const policy_names[POLICY_COUNT] = { "two choices by load", "random",
							"round robin" };

/** A target's slots: when each is free. */
struct servers {
	int64_t free_at_us[TARGETS][TARGET_SLOTS];
};

/** A call under way, to be ended at its entry. */
struct open_call {
	int64_t end_us;
	int entry;
	uint64_t target;
};

static int64_t serve(struct servers *servers, int target, int64_t now_us, struct rng *rng)
{
	int64_t *slots = servers->free_at_us[target];
	int64_t service = (int64_t)(SERVICE_US * (0.5 + rng_unit(rng)));
	int best = 0;

	for (int i = 1; i < TARGET_SLOTS; i++)
		if (slots[i] < slots[best])
			best = i;
	if (target < SLOW_TARGETS)
		service *= 2;
	slots[best] = MAX(slots[best], now_us) + service;
	return slots[best];
}

static struct members *entry_members(apr_pool_t *pool)
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

static int pick(enum policy policy, struct members *members, int number, struct rng *rng,
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

/* Tells the entries of the calls that have ended. */
static void end_calls(GArray *open, struct members **members, int64_t now_us)
{
	for (guint i = open->len; i-- > 0;) {
		struct open_call call = g_array_index(open, struct open_call, i);

		if (call.end_us > now_us)
			continue;
		members_call_ended(members[call.entry], call.target, CALL_ANSWERED, false,
				   (struct instant){ now_us, now_us });
		g_array_remove_index_fast(open, i);
	}
}

static void measure_policy(enum policy policy, double load, apr_pool_t *pool)
{
	struct members *members[ENTRIES];
	struct servers *servers = g_new0(struct servers, 1);
	GArray *open = g_array_new(FALSE, FALSE, sizeof(struct open_call));
	GArray *took = g_array_new(FALSE, FALSE, sizeof(double));
	struct rng rng = { 3 };
	double rate = load * (TARGETS - SLOW_TARGETS / 2.0) * TARGET_SLOTS / SERVICE_US;
	/* Past the slow start of targets that have just come. */
	double now_us = 60e6;

	for (int i = 0; i < ENTRIES; i++)
		members[i] = entry_members(pool);
	for (int i = 0; i < ARRIVALS; i++) {
		int entry = (int)rng_below(&rng, ENTRIES);
		struct open_call call = { .entry = entry };
		int target;
		double ms;

		now_us += -log(1 - rng_unit(&rng)) / rate;
		end_calls(open, members, (int64_t)now_us);
		target = pick(policy, members[entry], i, &rng, (int64_t)now_us);
		call.target = 100 + (uint64_t)target;
		call.end_us = serve(servers, target, (int64_t)now_us, &rng);
		ms = ((double)call.end_us - now_us) / 1000;
		g_array_append_val(open, call);
		g_array_append_val(took, ms);
	}
	printf("%-20s load %.1f  p50 %7.1f ms  p99 %8.1f ms\n", policy_names[policy], load,
	       quantile(took, 0.5), quantile(took, 0.99));
	for (int i = 0; i < ENTRIES; i++)
		members_free(members[i]);
	g_array_unref(open);
	g_array_unref(took);
	g_free(servers);
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
		for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
			measure_kind(&kinds[i], argc > 2 ? atoi(argv[2]) : 200);
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
	       "B/s rest", "B/s change", "% rest", "% change", "KB/node", "reads/min");
	if (argc > 2)
		for (int i = 2; i < argc; i++)
			measure(atoi(argv[i]));
	else
		for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
			measure(sizes[i]);
	return 0;
}
