/*
 * Sends open-loop load to a small fleet on loopback. Latency is counted from the time at which a
 * call was due, so that it includes stalls. Every body is checked, and the targets count the runs
 * of each idempotency key.
 *   load goodput | fairness | atelier | argyris
 */
#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hist.h"
#include "base/rng.h"
#include "regress/lib/fleet.h"

enum { SENDERS = 800, STREAMS_MAX = 8, NODES = 4, TARGETS = 2, SLOTS = 4, SERVICE_US = 20000 };

/* Calls per second that the targets can serve. */
#define CAPACITY_PER_S (TARGETS * SLOTS * 1e6 / SERVICE_US)

/** Calls of one kind, their rate and their results. */
struct stream {
	const char *name;
	const char *tenant;
	const char *path;
	const char *method;
	bool keyed;
	int64_t body_bytes; /* length of the pattern in the answer; 0: it is a line of text */
	double rate;	    /* calls per second */
	/* The mutex protects the members below. */
	struct hist latency;
	int sent;
	int good;
	int not_run;
	int failed;
	int wrong_bodies;
};

struct arrival {
	int64_t due_us;
	struct stream *stream;
	int number;
};

static struct fleet *fleet;
static GArray *arrivals;
static gint next_arrival;
static GMutex mutex;
static int64_t start_us;

static gint compare_due(gconstpointer a, gconstpointer b)
{
	const struct arrival *x = a;
	const struct arrival *y = b;

	return (x->due_us > y->due_us) - (x->due_us < y->due_us);
}

/* Adds the arrivals of a stream, rate * seconds in number, at random times. */
static void add_arrivals(struct stream *stream, double seconds, struct rng *rng)
{
	int count = (int)(stream->rate * seconds);

	for (int i = 0; i < count; i++) {
		struct arrival arrival = {
			.due_us = (int64_t)(rng_unit(rng) * seconds * 1e6),
			.stream = stream,
			.number = i,
		};

		g_array_append_val(arrivals, arrival);
	}
}

static void record_reply(struct stream *stream, const struct http_reply *reply,
			 const struct http_options *options, int64_t due_us)
{
	bool is_complete = reply->status == 200 && reply->complete;
	bool is_correct =
		stream->body_bytes
			? options->received_bytes == stream->body_bytes &&
				  options->mismatched_bytes == 0
			: g_str_has_prefix(reply->body.data ? reply->body.data : "", "s ");

	g_mutex_lock(&mutex);
	stream->sent++;
	if (is_complete && is_correct) {
		stream->good++;
		hist_add(&stream->latency, clock_now().mono_us - due_us);
	} else if (is_complete) {
		stream->wrong_bodies++;
	} else if (strcmp(reply->verdict, "not-run") == 0) {
		stream->not_run++;
	} else {
		stream->failed++;
	}
	g_mutex_unlock(&mutex);
}

static void make_call(struct http_client *client, const struct arrival *arrival)
{
	struct stream *stream = arrival->stream;
	struct http_options options = { .method = stream->method };
	struct http_reply reply;
	char tenant[64];
	char key[96];
	char url[160];

	g_snprintf(tenant, sizeof(tenant), "X-Tenant: %s", stream->tenant);
	options.headers[0] = tenant;
	g_snprintf(key, sizeof(key), "Idempotency-Key: %s-%d-", stream->name, arrival->number);
	if (stream->keyed)
		options.headers[1] = key;
	options.check_pattern = stream->body_bytes > 0;
	options.discard = stream->body_bytes > 0;
	options.timeout_ms = 30000;
	g_snprintf(url, sizeof(url), "http://%s%s",
		   fleet->nodes[arrival->number % NODES].caller_address, stream->path);
	reply = http_do(client, url, &options);
	if (!stream->body_bytes)
		strbuf_add(&reply.body, (struct str){ "", 1 });
	record_reply(stream, &reply, &options, start_us + arrival->due_us);
	http_reply_clear(&reply);
}

static gpointer sender_main(gpointer data)
{
	struct http_client *client = http_client_new();

	(void)data;
	for (;;) {
		guint index = (guint)g_atomic_int_add(&next_arrival, 1);
		const struct arrival *arrival;
		int64_t until_due_us;

		if (index >= arrivals->len)
			break;
		arrival = &g_array_index(arrivals, struct arrival, index);
		until_due_us = start_us + arrival->due_us - clock_now().mono_us;
		if (until_due_us > 0)
			g_usleep((gulong)until_due_us);
		make_call(client, arrival);
	}
	http_client_free(client);
	return NULL;
}

static void run_streams(struct stream *streams, int count, double seconds)
{
	GThread *threads[SENDERS];
	struct rng rng = { 5 };

	arrivals = g_array_new(FALSE, FALSE, sizeof(struct arrival));
	next_arrival = 0;
	for (int i = 0; i < count; i++)
		add_arrivals(&streams[i], seconds, &rng);
	g_array_sort(arrivals, compare_due);
	start_us = clock_now().mono_us + 50000;
	for (int i = 0; i < SENDERS; i++)
		threads[i] = g_thread_new("sender", sender_main, NULL);
	for (int i = 0; i < SENDERS; i++)
		g_thread_join(threads[i]);
	g_array_unref(arrivals);
}

static void print_stream(const struct stream *stream, double seconds)
{
	printf("%-22s %-8s offered %7.1f/s good %7.1f/s not-run %6.1f/s failed %d wrong %d  "
	       "p50 %6.1f p99 %6.1f p99.9 %6.1f ms\n",
	       stream->name, stream->tenant, stream->rate, stream->good / seconds,
	       stream->not_run / seconds, stream->failed, stream->wrong_bodies,
	       (double)hist_quantile_us(&stream->latency, 0.5) / 1000,
	       (double)hist_quantile_us(&stream->latency, 0.99) / 1000,
	       (double)hist_quantile_us(&stream->latency, 0.999) / 1000);
	fflush(stdout);
}

static void start_fleet(const char *routes)
{
	char *config =
		g_strdup_printf("{\"services\": {\"s\": {\"versions\": {\"v1\": {\"share\": 100}}}"
				"}, \"routes\": [%s]}",
				routes);
	char target_options[96];

	fleet = fleet_new(0);
	g_strlcpy(fleet->extra_settings, "\"connections_per_address\": 2000,",
		  sizeof(fleet->extra_settings));
	for (int i = 0; i < NODES; i++)
		fleet_add_node(fleet, i % 2 ? "fes-b" : "fes-a");
	g_snprintf(target_options, sizeof(target_options), "-s s -v v1 -n %d -l %d", SLOTS,
		   SERVICE_US);
	for (int i = 0; i < TARGETS; i++)
		fleet_add_target(fleet, i, target_options);
	if (!fleet_wait_live(fleet, NODES, 15000) ||
	    fleet_apply(fleet, "load.json", config, NULL) != 0) {
		fprintf(stderr, "load: the fleet did not start\n");
		exit(1);
	}
	/* The targets' slow start lasts for 10 s. */
	wait_ms(11000);
	g_free(config);
}

#define ROUTE(name, path, class, repeat)                                                           \
	"{\"name\": \"" name "\", \"path\": \"" path                                               \
	"\", \"service\": \"s\", \"class\": \"" class "\", \"repeat\": \"" repeat                  \
						      "\", \"tenant_header\": \"X-Tenant\", "      \
						      "\"deadline_ms\": 500}"

/* Measures the rate of good calls, which must not fall when the load exceeds the capacity. */
static void measure_goodput(void)
{
	static const double factors[] = { 0.5, 1, 2, 5 };

	start_fleet(ROUTE("r", "/", "standard", "idempotent"));
	printf("capacity %.0f calls per second, deadline 500 ms\n", CAPACITY_PER_S);
	for (size_t i = 0; i < G_N_ELEMENTS(factors); i++) {
		struct stream stream = { .name = "reads",
					 .tenant = "medina",
					 .path = "/r",
					 .rate = CAPACITY_PER_S * factors[i] };

		run_streams(&stream, 1, 6);
		print_stream(&stream, 6);
	}
}

static void measure_fairness(void)
{
	struct stream both_above_share[] = {
		{ .name = "light over its share",
		  .tenant = "light",
		  .path = "/r",
		  .rate = CAPACITY_PER_S * 0.6 },
		{ .name = "heavy, ten times that",
		  .tenant = "heavy",
		  .path = "/r",
		  .rate = CAPACITY_PER_S * 6 },
	};
	struct stream light_alone = {
		.name = "light alone", .tenant = "light", .path = "/r", .rate = CAPACITY_PER_S * 0.2
	};
	struct stream light_and_heavy[] = {
		{ .name = "light beside heavy",
		  .tenant = "light",
		  .path = "/r",
		  .rate = CAPACITY_PER_S * 0.2 },
		{ .name = "heavy, ten times that",
		  .tenant = "heavy",
		  .path = "/r",
		  .rate = CAPACITY_PER_S * 2 },
	};

	start_fleet(ROUTE("r", "/", "standard", "idempotent"));
	printf("capacity %.0f calls per second\n", CAPACITY_PER_S);
	run_streams(&light_alone, 1, 10);
	print_stream(&light_alone, 10);
	run_streams(light_and_heavy, 2, 10);
	print_stream(&light_and_heavy[0], 10);
	print_stream(&light_and_heavy[1], 10);
	wait_ms(3000);
	run_streams(both_above_share, 2, 10);
	print_stream(&both_above_share[0], 10);
	print_stream(&both_above_share[1], 10);
}

/* Returns the highest number of runs of any key. */
static int max_runs_per_key(void)
{
	GHashTable *runs = fleet_runs(fleet);
	GHashTableIter iter;
	gpointer count;
	int max_runs = 0;

	g_hash_table_iter_init(&iter, runs);
	while (g_hash_table_iter_next(&iter, NULL, &count))
		max_runs = MAX(max_runs, GPOINTER_TO_INT(count));
	g_hash_table_destroy(runs);
	return max_runs;
}

static void run_profile(struct stream *streams, int count, const char *routes)
{
	start_fleet(routes);
	run_streams(streams, count, 10);
	for (int i = 0; i < count; i++)
		print_stream(&streams[i], 10);
	printf("most runs of one key: %d\n", max_runs_per_key());
}

static void run_atelier(void)
{
	struct stream streams[] = {
		{ .name = "treatment records", .tenant = "medina", .path = "/records", .rate = 60 },
		{ .name = "treatment records", .tenant = "kasbah", .path = "/records", .rate = 60 },
		{ .name = "invoices",
		  .tenant = "medina",
		  .path = "/invoices",
		  .method = "POST",
		  .keyed = true,
		  .rate = 10 },
		{ .name = "documentation",
		  .tenant = "kasbah",
		  .path = "/bytes?n=4000000",
		  .body_bytes = 4000000,
		  .rate = 10 },
	};

	run_profile(streams, G_N_ELEMENTS(streams),
		    ROUTE("records", "/records", "interactive",
			  "idempotent") ","
					"{\"name\": \"invoices\", \"path\": \"/invoices\", "
					"\"service\": \"s\", \"repeat\":"
					"\"at-most-once\", \"tenant_header\": \"X-Tenant\", "
					"\"deadline_ms\": 10000},"
					"{\"name\": \"documentation\", \"path\": \"/bytes\", "
					"\"service\": \"s\", \"class\":"
					"\"bulk\", \"repeat\": \"idempotent\", \"deadline_ms\": "
					"30000}");
}

static void run_argyris(void)
{
	struct stream streams[] = {
		{ .name = "prices", .tenant = "yard-1", .path = "/prices", .rate = 100 },
		{ .name = "prices", .tenant = "yard-2", .path = "/prices", .rate = 100 },
		{ .name = "payouts",
		  .tenant = "yard-1",
		  .path = "/payouts",
		  .method = "POST",
		  .keyed = true,
		  .rate = 10 },
		{ .name = "stock", .tenant = "own", .path = "/stock", .rate = 300 },
	};

	run_profile(
		streams, G_N_ELEMENTS(streams),
		ROUTE("prices", "/prices", "interactive",
		      "idempotent") ","
				    "{\"name\": \"payouts\", \"path\": \"/payouts\", \"service\": "
				    "\"s\", \"repeat\":"
				    "\"at-most-once\", \"tenant_header\": \"X-Tenant\", "
				    "\"deadline_ms\": 10000}," ROUTE("stock", "/stock",
								     "background", "idempotent"));
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		void (*run)(void);
	} modes[] = { { "goodput", measure_goodput },
		      { "fairness", measure_fairness },
		      { "atelier", run_atelier },
		      { "argyris", run_argyris } };

	curl_global_init(CURL_GLOBAL_DEFAULT);
	for (size_t i = 0; argc == 2 && i < G_N_ELEMENTS(modes); i++) {
		if (strcmp(argv[1], modes[i].name) != 0)
			continue;
		modes[i].run();
		fleet_free(fleet);
		return 0;
	}
	fprintf(stderr, "usage: load goodput | fairness | atelier | argyris\n");
	return 2;
}
