/*
 * Measures distribution over core instances in one process: time until a change is in force
 * everywhere, messages, control bytes, processor time and memory, against the size of the fleet.
 *   measure spread [SIZE ...]
 *   measure moves [SEEDS]
 */
#include <apr_general.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "regress/lib/movesim.h"

#define SETTLE_US  (90 * US_PER_S)
#define REST_US	   (20 * US_PER_S)
#define CHANGES_US (60 * US_PER_S)

enum { CHANGES_A_DAY = 4300, DAY_S = 86400, DATA_CENTRES = 9 };

static const char content[] =
	"{\"services\": {\"registre\": {\"versions\": {\"v1\": {\"share\": 100}}}},"
	"\"routes\": [{\"name\": \"records\", \"path\": \"/records\", \"service\": \"registre\"}]}";

static double cpu_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

struct totals {
	double sent;
	double received;
	double messages;
};

static struct totals totals_of(struct sim *sim)
{
	struct totals totals = { 0 };

	for (int i = 0; i < sim_count(sim); i++) {
		totals.sent += (double)sim_node(sim, i)->sent_bytes;
		totals.received += (double)sim_node(sim, i)->received_bytes;
		totals.messages += (double)sim_node(sim, i)->messages;
	}
	return totals;
}

/* Runs for a while and gives bytes a node a second, both directions, and processor time. */
static void rate(struct sim *sim, int64_t us, double *bytes, double *cpu)
{
	struct totals before = totals_of(sim);
	double start = cpu_s();
	double seconds = (double)us / 1e6 * sim_count(sim);
	struct totals after;

	sim_run(sim, us);
	after = totals_of(sim);
	*bytes = (after.sent + after.received - before.sent - before.received) / seconds;
	*cpu = (cpu_s() - start) / seconds;
}

static int64_t publish(struct sim *sim, int number, int64_t base)
{
	char id[32];

	snprintf(id, sizeof(id), "change-%d", number);
	return sim_publish(sim, id, "atelier.json", base, content);
}

static void measure(int size)
{
	struct sim_options options = { .nodes = size,
				       .data_centres = DATA_CENTRES,
				       .seed = 7,
				       .count_bytes = true,
				       .preload = true };
	size_t heap = mallinfo2().uordblks;
	struct sim *sim = sim_new(&options);
	double rest_bytes;
	double rest_cpu;
	double change_bytes;
	double change_cpu;
	struct totals before;
	struct totals after;
	struct sim_log_stats stats;
	int64_t took_us = 0;
	int64_t worst_us = 0;
	int64_t base = 0;

	/* Until the joining of all at once has settled. */
	sim_run(sim, SETTLE_US);
	rate(sim, REST_US, &rest_bytes, &rest_cpu);
	before = totals_of(sim);
	for (int i = 0; i < 5; i++) {
		base = publish(sim, i, base);
		took_us = sim_run_until_version(sim, base, 60 * US_PER_S);
		if (took_us < 0 || took_us > worst_us)
			worst_us = took_us;
	}
	after = totals_of(sim);
	stats = sim_log_stats(sim);
	/* The stated rate of changes, one each 20 s. */
	for (int64_t t = 0; t < CHANGES_US; t += (int64_t)DAY_S * US_PER_S / CHANGES_A_DAY) {
		double bytes;
		double cpu;

		base = publish(sim, 100 + (int)(t / US_PER_S), base);
		rate(sim, (int64_t)DAY_S * US_PER_S / CHANGES_A_DAY, &bytes, &cpu);
		change_bytes = bytes;
		change_cpu = cpu;
	}
	printf("%6d %8.0f %10.1f %10.0f %10.0f %9.4f %9.4f %8.0f %6ld %s\n", size,
	       (double)worst_us / 1000.0, (after.messages - before.messages) / size / 5, rest_bytes,
	       change_bytes, rest_cpu * 100, change_cpu * 100,
	       (double)(mallinfo2().uordblks - heap) / size / 1024, stats.reads,
	       sim_violation(sim));
	fflush(stdout);
	sim_free(sim);
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

int main(int argc, char **argv)
{
	static const int sizes[] = { 16, 64, 256, 1024 };

	apr_initialize();
	if (argc >= 2 && strcmp(argv[1], "moves") == 0) {
		for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
			measure_kind(&kinds[i], argc > 2 ? atoi(argv[2]) : 200);
		return 0;
	}
	if (argc < 2 || strcmp(argv[1], "spread") != 0) {
		fprintf(stderr, "usage: measure spread [size ...] | moves [seeds]\n");
		return 2;
	}
	printf("%6s %8s %10s %10s %10s %9s %9s %8s %6s\n", "nodes", "worst ms", "msgs/node",
	       "B/s rest", "B/s change", "% rest", "% change", "KB/node", "reads");
	if (argc > 2)
		for (int i = 2; i < argc; i++)
			measure(atoi(argv[i]));
	else
		for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
			measure(sizes[i]);
	return 0;
}
