/*
 * Measures the figures of docs/CAPACITY.md. Those that grow with the fleet are measured at several
 * sizes; a straight line is fitted to them and evaluated at FLEET_SIZE.
 *   capacity [-s FOLDER]   also writes the plots to FOLDER
 */
#include <apr_general.h>
#include <curl/curl.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "peer/codec.h"
#include "regress/lib/distribution.h"
#include "regress/lib/fleet.h"

enum { SIZE_COUNT = 4, FLEET_SIZE = 5800, CALL_COUNT = 3000 };

static const int sizes[SIZE_COUNT] = { 64, 128, 256, 1024 };

/** A straight line fitted to measured points by least squares. */
struct linear_fit {
	double intercept;
	double slope;
	double residual; /**< largest distance of a point from the line, along y */
};

static struct linear_fit fit_line(const double *x, const double *y, int n)
{
	struct linear_fit fit = { 0 };
	double sx = 0;
	double sy = 0;
	double sxx = 0;
	double sxy = 0;

	for (int i = 0; i < n; i++) {
		sx += x[i];
		sy += y[i];
		sxx += x[i] * x[i];
		sxy += x[i] * y[i];
	}
	fit.slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
	fit.intercept = (sy - fit.slope * sx) / n;
	for (int i = 0; i < n; i++)
		fit.residual = fmax(fit.residual, fabs(y[i] - fit.intercept - fit.slope * x[i]));
	return fit;
}

static void print_fit(const char *quantity, const char *unit, const double *x, const double *y,
		      int n, const char *x_name, double at_x)
{
	struct linear_fit fit = fit_line(x, y, n);

	printf("%-34s", quantity);
	for (int i = 0; i < n; i++)
		printf(" %8.3g", y[i]);
	printf("  | %.3g + %.3g * %s, residual %.2g | at %d: %.3g %s\n", fit.intercept, fit.slope,
	       x_name, fit.residual, FLEET_SIZE, fit.intercept + fit.slope * at_x, unit);
}

static void write_plot(const char *folder, const char *name, const char *title, const double *y)
{
	char *path = g_strdup_printf("%s/%s.svg", folder, name);
	FILE *file = fopen(path, "w");
	double max_y = 0;

	for (int i = 0; i < SIZE_COUNT; i++)
		max_y = fmax(max_y, y[i]);
	fprintf(file,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"480\" height=\"300\" "
		"font-family=\"sans-serif\" font-size=\"12\">\n"
		"<rect width=\"480\" height=\"300\" fill=\"white\"/>\n"
		"<text x=\"20\" y=\"20\">%s</text>\n"
		"<path d=\"M60 40V250H460\" fill=\"none\" stroke=\"black\"/>\n<polyline "
		"fill=\"none\" "
		"stroke=\"#2060a0\" points=\"",
		title);
	for (int i = 0; i < SIZE_COUNT; i++)
		fprintf(file, "%.0f,%.0f ", 60 + (log2(sizes[i]) - 6) * 90,
			250 - y[i] / (max_y * 1.1) * 200);
	fprintf(file, "\"/>\n");
	for (int i = 0; i < SIZE_COUNT; i++)
		fprintf(file,
			"<circle cx=\"%.0f\" cy=\"%.0f\" r=\"4\" fill=\"#2060a0\"/>"
			"<text x=\"%.0f\" y=\"268\">%d</text><text x=\"%.0f\" "
			"y=\"%.0f\">%.3g</text>\n",
			60 + (log2(sizes[i]) - 6) * 90, 250 - y[i] / (max_y * 1.1) * 200,
			50 + (log2(sizes[i]) - 6) * 90, sizes[i], 66 + (log2(sizes[i]) - 6) * 90,
			244 - y[i] / (max_y * 1.1) * 200, y[i]);
	fprintf(file, "<text x=\"230\" y=\"290\">nodes</text>\n</svg>\n");
	fclose(file);
	g_free(path);
}

static void measure_distribution(const char *folder)
{
	double n[SIZE_COUNT];
	double log_n[SIZE_COUNT];
	double y[7][SIZE_COUNT];

	for (int i = 0; i < SIZE_COUNT; i++) {
		struct distribution_figures figures = distribution_measure(sizes[i]);

		n[i] = sizes[i];
		log_n[i] = log2(sizes[i]);
		y[0][i] = figures.max_latency_ms;
		y[1][i] = figures.idle_bytes_per_s;
		y[2][i] = figures.loaded_bytes_per_s;
		y[3][i] = figures.idle_cpu * 100;
		y[4][i] = figures.loaded_cpu * 100;
		y[5][i] = figures.memory_kb;
		y[6][i] = figures.log_reads_per_min;
	}
	printf("distribution, by nodes                   64      128      256     1024\n");
	print_fit("convergence, worst of 5", "ms", log_n, y[0], SIZE_COUNT, "log2 n",
		  log2(FLEET_SIZE));
	print_fit("control traffic when idle", "B/s", n, y[1], SIZE_COUNT, "n", FLEET_SIZE);
	print_fit("control traffic, 4,300 changes/day", "B/s", n, y[2], SIZE_COUNT, "n",
		  FLEET_SIZE);
	print_fit("CPU when idle", "% of a core", n, y[3], SIZE_COUNT, "n", FLEET_SIZE);
	print_fit("CPU, 4,300 changes/day", "% of a core", n, y[4], SIZE_COUNT, "n", FLEET_SIZE);
	print_fit("memory of the core", "KB", n, y[5], SIZE_COUNT, "n", FLEET_SIZE);
	print_fit("log reads of the fleet per minute", "", n, y[6], SIZE_COUNT, "n", FLEET_SIZE);
	if (folder) {
		write_plot(folder, "convergence", "ms until the last node has a change, worst of 5",
			   y[0]);
		write_plot(folder, "control-bytes",
			   "control bytes per node and second at 4,300 changes a day", y[2]);
	}
}

static double process_cpu_us(const struct process *process)
{
	char path[64];
	char *text = NULL;
	unsigned long user = 0;
	unsigned long system = 0;

	g_snprintf(path, sizeof(path), "/proc/%d/stat", process->pid);
	if (g_file_get_contents(path, &text, NULL, NULL))
		sscanf(strrchr(text, ')') + 2,
		       "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &system);
	g_free(text);
	return (double)(user + system) * 1e6 / (double)sysconf(_SC_CLK_TCK);
}

static long resident_kb(const struct process *process)
{
	char path[64];
	char *text = NULL;
	long kb = 0;

	g_snprintf(path, sizeof(path), "/proc/%d/status", process->pid);
	if (g_file_get_contents(path, &text, NULL, NULL) && strstr(text, "VmRSS:"))
		kb = atol(strstr(text, "VmRSS:") + 6);
	g_free(text);
	return kb;
}

static void make_calls(int node, const char *url)
{
	struct http_client *client = http_client_new();
	char *url_copy;

	for (int i = 0; i < CALL_COUNT; i++) {
		struct http_options options = { 0 };
		struct http_reply reply;

		(void)node;
		url_copy = g_strdup(url);
		reply = http_do(client, url_copy, &options);
		http_reply_clear(&reply);
		g_free(url_copy);
	}
	http_client_free(client);
}

/* Measures the CPU time of a call at its entry node and at its target's node, as the difference of
 * the CPU time of the processes. */
static void measure_calls(void)
{
	struct fleet *fleet = fleet_new(0);
	double entry_us;
	double target_us;
	char url[96];

	fleet_add_node(fleet, "fes-a");
	fleet_add_node(fleet, "fes-a");
	fleet_add_target(fleet, 1, "-s registre -v v1 -n 64 -l 0");
	fleet_wait_live(fleet, 2, 10000);
	fleet_wait_text(fleet, 0, "/v1/members", "registre", 10000);
	fleet_apply(fleet, "capacity.json",
		    "{\"services\": {\"registre\": {\"versions\": {\"v1\": {\"share\": 100}}}},"
		    "\"routes\": [{\"name\": \"r\", \"path\": \"/\", \"service\": \"registre\","
		    "\"repeat\": \"idempotent\"}]}",
		    NULL);
	g_snprintf(url, sizeof(url), "http://%s/x", fleet->nodes[0].caller_address);
	make_calls(0, url);
	entry_us = process_cpu_us(&fleet->nodes[0].daemon);
	target_us = process_cpu_us(&fleet->nodes[1].daemon);
	make_calls(0, url);
	entry_us = process_cpu_us(&fleet->nodes[0].daemon) - entry_us;
	target_us = process_cpu_us(&fleet->nodes[1].daemon) - target_us;
	printf("\ncalls, %d in a row from one node to another\n", CALL_COUNT);
	printf("CPU time of a call at its entry node      %.0f us\n", entry_us / CALL_COUNT);
	printf("CPU time of a call at its target's node   %.0f us\n", target_us / CALL_COUNT);
	printf("resident memory of the two daemons        %ld and %ld KB\n",
	       resident_kb(&fleet->nodes[0].daemon), resident_kb(&fleet->nodes[1].daemon));
	entry_us = process_cpu_us(&fleet->nodes[0].daemon);
	wait_ms(5000);
	printf("CPU of an idle daemon                     %.3f %% of a core\n",
	       (process_cpu_us(&fleet->nodes[0].daemon) - entry_us) / 5e6 * 100);
	fleet_free(fleet);
}

static double own_cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static size_t encoded_size(const struct message *message)
{
	struct strbuf out = { 0 };
	size_t len;

	codec_encode(message, &out);
	len = out.len;
	strbuf_clear(&out);
	return len;
}

/* Measures the CPU time that a coordinator needs for one second of evidence: it adds the windows of
 * a service's targets and closes them once. */
static void measure_coordinator(void)
{
	static const int targets[] = { 10, 20, 40 };
	double x[3];
	double y[3];

	for (int k = 0; k < 3; k++) {
		struct evidence *evidence = evidence_new();
		struct evidence_window window = { .route = label_from(STR("records")),
						  .calls = 57,
						  .targets = 10 };
		struct label route;
		double start = own_cpu_us();

		window.latency[20] = 57;
		for (int s = 0; s < 1000; s++) {
			for (int t = 0; t < targets[k]; t++) {
				window.target = (uint64_t)t;
				evidence_add(evidence, t % 2 ? EVIDENCE_OLD : EVIDENCE_NEW,
					     &window);
			}
			evidence_close(evidence, true, &route);
		}
		x[k] = targets[k];
		y[k] = (own_cpu_us() - start) / 1000;
		evidence_free(evidence);
	}
	printf("\ncoordinator, by targets of the service   10       20       40\n");
	print_fit("CPU time of one second's evidence", "us at 21.5 targets", x, y, 3, "targets",
		  21.5);
}

static void print_message_sizes(void)
{
	struct message *evidence = message_new(MESSAGE_EVIDENCE);
	struct evidence_window window = { .route = label_from(STR("records")), .calls = 57 };
	struct message *ping = message_new(MESSAGE_PING);
	struct message *advert = message_new(MESSAGE_ADVERT);

	for (int i = 0; i < 12; i++)
		window.latency[20 + i] = 5;
	evidence->evidence.version = label_from(STR("v2"));
	evidence->evidence.windows = g_array_new(FALSE, FALSE, sizeof(window));
	g_array_append_val(evidence->evidence.windows, window);
	ping->probe.members = g_array_new(FALSE, FALSE, sizeof(struct member));
	ping->probe.digest.members_hash = UINT64_MAX;
	ping->probe.digest.moves_hash = UINT64_MAX;
	ping->probe.digest.marks_hash = UINT64_MAX;
	advert->advert.version = 1 << 20;
	printf("\nmessage bytes without the 24-byte header: evidence of a route %zu, ping %zu, "
	       "advert %zu\n",
	       encoded_size(evidence), encoded_size(ping), encoded_size(advert));
	message_unref(evidence);
	message_unref(ping);
	message_unref(advert);
}

/* Measures the appends to the log per second at several rates of keyed calls over nine nodes. */
static void measure_keyed_calls(void)
{
	static const int rates[] = { 100, 400, 1600 };

	printf("\nkeyed calls per second                  100      400     1600\n%-34s",
	       "appends per second");
	for (int k = 0; k < 3; k++) {
		struct sim_options options = {
			.nodes = 9, .data_centres = 3, .seed = 4, .preload = true
		};
		struct sim *sim = sim_new(&options);
		int64_t before;

		sim_run(sim, 10 * US_PER_S);
		before = sim_log_stats(sim).appends;
		for (int i = 0; i < rates[k] * 10; i++) {
			struct actions actions = actions_new();
			struct instant now = sim_now(sim);
			struct claim_key key = { rng_next(sim_rng(sim)), (uint64_t)i };
			uint64_t claim;

			node_claim_start(sim_node(sim, i % 9)->node, key,
					 deadline_after(now, 5 * US_PER_S), now, &claim, &actions);
			sim_dispatch_actions(sim, i % 9, &actions);
			sim_run(sim, US_PER_S / rates[k]);
		}
		printf(" %8.0f", (double)(sim_log_stats(sim).appends - before) / 10);
		sim_free(sim);
	}
	printf("\n");
}

int main(int argc, char **argv)
{
	const char *folder = argc == 3 && strcmp(argv[1], "-s") == 0 ? argv[2] : NULL;

	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	measure_distribution(folder);
	measure_calls();
	measure_coordinator();
	print_message_sizes();
	measure_keyed_calls();
	return 0;
}
