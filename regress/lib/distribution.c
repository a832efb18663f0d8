#include "regress/lib/distribution.h"

#include <malloc.h>
#include <stdio.h>
#include <time.h>

#define SETTLE_US  (240 * US_PER_S)
#define IDLE_US	   (20 * US_PER_S)
#define CHANGES_US (60 * US_PER_S)

enum { CHANGES_PER_DAY = 4300, DAY_S = 86400, DATA_CENTRES = 9, SINGLE_CHANGES = 5 };

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
	double bytes;
	double messages;
};

static struct totals sum_totals(struct sim *sim)
{
	struct totals totals = { 0 };

	for (int i = 0; i < sim_count(sim); i++) {
		totals.bytes += (double)sim_node(sim, i)->sent_bytes +
				(double)sim_node(sim, i)->received_bytes;
		totals.messages += (double)sim_node(sim, i)->messages;
	}
	return totals;
}

/* Runs the fleet for duration_us. Sets *bytes to the bytes sent and received, and *cpu to the CPU
 * seconds, both per node and second. */
static void measure_rates(struct sim *sim, int64_t duration_us, double *bytes, double *cpu)
{
	double before = sum_totals(sim).bytes;
	double start = cpu_s();
	double seconds = (double)duration_us / 1e6 * sim_count(sim);

	sim_run(sim, duration_us);
	*bytes = (sum_totals(sim).bytes - before) / seconds;
	*cpu = (cpu_s() - start) / seconds;
}

static int64_t publish_change(struct sim *sim, int number, int64_t base)
{
	char id[32];

	snprintf(id, sizeof(id), "change-%d", number);
	return sim_publish(sim, id, "atelier.json", base, content);
}

static int64_t measure_single_changes(struct sim *sim, struct distribution_figures *figures)
{
	double before = sum_totals(sim).messages;
	int64_t base = 0;

	for (int i = 0; i < SINGLE_CHANGES; i++) {
		int64_t elapsed_us;

		base = publish_change(sim, i, base);
		elapsed_us = sim_run_until_version(sim, base, 60 * US_PER_S);
		if (elapsed_us < 0)
			figures->max_latency_ms = -1;
		else if (figures->max_latency_ms >= 0 &&
			 (double)elapsed_us / 1000 > figures->max_latency_ms)
			figures->max_latency_ms = (double)elapsed_us / 1000;
	}
	figures->messages_per_change =
		(sum_totals(sim).messages - before) / figures->nodes / SINGLE_CHANGES;
	return base;
}

/* Publishes changes at the specified rate, CHANGES_PER_DAY: one every 20 s. */
static void measure_change_rate(struct sim *sim, struct distribution_figures *figures, int64_t base)
{
	int64_t interval_us = (int64_t)DAY_S * US_PER_S / CHANGES_PER_DAY;
	double bytes = 0;
	double cpu = 0;
	int count = 0;

	for (int64_t t = 0; t < CHANGES_US; t += interval_us) {
		double interval_bytes;
		double interval_cpu;

		base = publish_change(sim, 100 + count++, base);
		measure_rates(sim, interval_us, &interval_bytes, &interval_cpu);
		bytes += interval_bytes;
		cpu += interval_cpu;
	}
	figures->loaded_bytes_per_s = bytes / count;
	figures->loaded_cpu = cpu / count;
}

struct distribution_figures distribution_measure(int size)
{
	struct sim_options options = { .nodes = size,
				       .data_centres = DATA_CENTRES,
				       .seed = 7,
				       .count_bytes = true,
				       .preload = true };
	struct distribution_figures figures = { .nodes = size };
	size_t heap = mallinfo2().uordblks;
	struct sim *sim = sim_new(&options);
	int64_t base;
	int64_t reads;

	/* Wait until the load caused by all nodes joining at the same time has passed. */
	sim_run(sim, SETTLE_US);
	reads = sim_log_stats(sim).reads;
	measure_rates(sim, IDLE_US, &figures.idle_bytes_per_s, &figures.idle_cpu);
	figures.log_reads_per_min = (double)(sim_log_stats(sim).reads - reads) * 60 / 20;
	base = measure_single_changes(sim, &figures);
	measure_change_rate(sim, &figures, base);
	figures.memory_kb = (double)(mallinfo2().uordblks - heap) / size / 1024;
	snprintf(figures.violation, sizeof(figures.violation), "%s", sim_violation(sim));
	sim_free(sim);
	return figures;
}
