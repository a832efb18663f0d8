#include "regress/lib/spread.h"

#include <malloc.h>
#include <stdio.h>
#include <time.h>

#define SETTLE_US  (240 * US_PER_S)
#define REST_US	   (20 * US_PER_S)
#define CHANGES_US (60 * US_PER_S)

enum { CHANGES_A_DAY = 4300, DAY_S = 86400, DATA_CENTRES = 9, SINGLE_CHANGES = 5 };

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

static struct totals totals_of(struct sim *sim)
{
	struct totals totals = { 0 };

	for (int i = 0; i < sim_count(sim); i++) {
		totals.bytes += (double)sim_node(sim, i)->sent_bytes +
				(double)sim_node(sim, i)->received_bytes;
		totals.messages += (double)sim_node(sim, i)->messages;
	}
	return totals;
}

/* Runs for a while and gives bytes a node a second, both directions, and processor time. */
static void rate(struct sim *sim, int64_t us, double *bytes, double *cpu)
{
	double before = totals_of(sim).bytes;
	double start = cpu_s();
	double seconds = (double)us / 1e6 * sim_count(sim);

	sim_run(sim, us);
	*bytes = (totals_of(sim).bytes - before) / seconds;
	*cpu = (cpu_s() - start) / seconds;
}

static int64_t publish(struct sim *sim, int number, int64_t base)
{
	char id[32];

	snprintf(id, sizeof(id), "change-%d", number);
	return sim_publish(sim, id, "atelier.json", base, content);
}

static int64_t single_changes(struct sim *sim, struct spread_figures *figures)
{
	double before = totals_of(sim).messages;
	int64_t base = 0;

	for (int i = 0; i < SINGLE_CHANGES; i++) {
		int64_t took_us;

		base = publish(sim, i, base);
		took_us = sim_run_until_version(sim, base, 60 * US_PER_S);
		if (took_us < 0)
			figures->worst_ms = -1;
		else if (figures->worst_ms >= 0 && (double)took_us / 1000 > figures->worst_ms)
			figures->worst_ms = (double)took_us / 1000;
	}
	figures->messages = (totals_of(sim).messages - before) / figures->size / SINGLE_CHANGES;
	return base;
}

/* The stated rate: one change each twenty seconds. */
static void changes_at_rate(struct sim *sim, struct spread_figures *figures, int64_t base)
{
	int64_t every_us = (int64_t)DAY_S * US_PER_S / CHANGES_A_DAY;
	double bytes = 0;
	double cpu = 0;
	int count = 0;

	for (int64_t t = 0; t < CHANGES_US; t += every_us) {
		double one_bytes;
		double one_cpu;

		base = publish(sim, 100 + count++, base);
		rate(sim, every_us, &one_bytes, &one_cpu);
		bytes += one_bytes;
		cpu += one_cpu;
	}
	figures->change_bytes = bytes / count;
	figures->change_cpu = cpu / count;
}

struct spread_figures spread_measure(int size)
{
	struct sim_options options = { .nodes = size,
				       .data_centres = DATA_CENTRES,
				       .seed = 7,
				       .count_bytes = true,
				       .preload = true };
	struct spread_figures figures = { .size = size };
	size_t heap = mallinfo2().uordblks;
	struct sim *sim = sim_new(&options);
	int64_t base;
	int64_t reads;

	/* Until the joining of all at once has settled. */
	sim_run(sim, SETTLE_US);
	reads = sim_log_stats(sim).reads;
	rate(sim, REST_US, &figures.rest_bytes, &figures.rest_cpu);
	figures.log_reads = (double)(sim_log_stats(sim).reads - reads) * 60 / 20;
	base = single_changes(sim, &figures);
	changes_at_rate(sim, &figures, base);
	figures.memory_kb = (double)(mallinfo2().uordblks - heap) / size / 1024;
	snprintf(figures.violation, sizeof(figures.violation), "%s", sim_violation(sim));
	sim_free(sim);
	return figures;
}
