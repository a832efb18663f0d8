/*
 * Open-loop load against a small fleet on loopback. Latency counts from when a call was due, so
 * that a stall shows; every body is compared; runs by key are counted at the targets.
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

enum { THREADS = 800, STREAMS_MAX = 8, NODES = 4, TARGETS = 2, SLOTS = 4, LATENCY_US = 20000 };

/* What the targets can serve a second. */
#define CAPACITY (TARGETS * SLOTS * 1e6 / LATENCY_US)

/** One kind of call at its own rate. */
struct stream {
	const char *name;
	const char *tenant;
	const char *path;
	const char *method;
	bool keyed;
	int64_t bytes; /* of a pattern, in the answer; 0: a line */
	double rate;   /* calls a second */
	/* Results, under the mutex. */
	struct hist latency;
	int sent;
	int good;
	int not_run;
	int failed;
	int wrong;
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

/* Arrivals of a stream come at random times at its rate. */
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

static void note(struct stream *stream, const struct http_reply *reply,
		 const struct http_options *options, int64_t due_us)
{
	bool whole = reply->status == 200 && reply->whole;
	bool right = stream->bytes
			     ? options->discarded == stream->bytes && options->wrong == 0
			     : g_str_has_prefix(reply->body.data ? reply->body.data : "", "s ");

	g_mutex_lock(&mutex);
	stream->sent++;
	if (whole && right) {
		stream->good++;
		hist_add(&stream->latency, clock_now().mono_us - due_us);
	} else if (whole) {
		stream->wrong++;
	} else if (strcmp(reply->verdict, "not-run") == 0) {
		stream->not_run++;
	} else {
		stream->failed++;
	}
	g_mutex_unlock(&mutex);
}

static void call(struct http_client *client, const struct arrival *arrival)
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
	options.check_pattern = stream->bytes > 0;
	options.discard = stream->bytes > 0;
	options.timeout_ms = 30000;
	g_snprintf(url, sizeof(url), "http://%s%s", fleet->nodes[arrival->number % NODES].callers,
		   stream->path);
	reply = http_do(client, url, &options);
	if (!stream->bytes)
		strbuf_add(&reply.body, (struct str){ "", 1 });
	note(stream, &reply, &options, start_us + arrival->due_us);
	http_clear(&reply);
}

static gpointer sender_main(gpointer data)
{
	struct http_client *client = http_new();

	(void)data;
	for (;;) {
		guint index = (guint)g_atomic_int_add(&next_arrival, 1);
		const struct arrival *arrival;
		int64_t wait_us;

		if (index >= arrivals->len)
			break;
		arrival = &g_array_index(arrivals, struct arrival, index);
		wait_us = start_us + arrival->due_us - clock_now().mono_us;
		if (wait_us > 0)
			g_usleep((gulong)wait_us);
		call(client, arrival);
	}
	http_free(client);
	return NULL;
}

static void run(struct stream *streams, int count, double seconds)
{
	GThread *threads[THREADS];
	struct rng rng = { 5 };

	arrivals = g_array_new(FALSE, FALSE, sizeof(struct arrival));
	next_arrival = 0;
	for (int i = 0; i < count; i++)
		add_arrivals(&streams[i], seconds, &rng);
	g_array_sort(arrivals, compare_due);
	start_us = clock_now().mono_us + 50000;
	for (int i = 0; i < THREADS; i++)
		threads[i] = g_thread_new("sender", sender_main, NULL);
	for (int i = 0; i < THREADS; i++)
		g_thread_join(threads[i]);
	g_array_unref(arrivals);
}

static void report(const struct stream *stream, double seconds)
{
	printf("%-22s %-8s offered %7.1f/s good %7.1f/s not-run %6.1f/s failed %d wrong %d  "
	       "p50 %6.1f p99 %6.1f p99.9 %6.1f ms\n",
	       stream->name, stream->tenant, stream->rate, stream->good / seconds,
	       stream->not_run / seconds, stream->failed, stream->wrong,
	       (double)hist_quantile_us(&stream->latency, 0.5) / 1000,
	       (double)hist_quantile_us(&stream->latency, 0.99) / 1000,
	       (double)hist_quantile_us(&stream->latency, 0.999) / 1000);
	fflush(stdout);
}

static void start_fleet(const char *routes)
{
	char *file =
		g_strdup_printf("{\"services\": {\"s\": {\"versions\": {\"v1\": {\"share\": 100}}}"
				"}, \"routes\": [%s]}",
				routes);
	char args[96];

	fleet = fleet_new(0);
	g_strlcpy(fleet->extra, "\"connections_per_address\": 2000,", sizeof(fleet->extra));
	for (int i = 0; i < NODES; i++)
		fleet_add_node(fleet, i % 2 ? "fes-b" : "fes-a");
	g_snprintf(args, sizeof(args), "-s s -v v1 -n %d -l %d", SLOTS, LATENCY_US);
	for (int i = 0; i < TARGETS; i++)
		fleet_add_target(fleet, i, args);
	if (!fleet_wait_live(fleet, NODES, 15000) ||
	    fleet_apply(fleet, "load.json", file, NULL) != 0) {
		fprintf(stderr, "load: the fleet did not start\n");
		exit(1);
	}
	/* Past the targets' slow start. */
	wait_ms(11000);
	g_free(file);
}

#define ROUTE(name, path, class, repeat)                                                           \
	"{\"name\": \"" name "\", \"path\": \"" path                                               \
	"\", \"service\": \"s\", \"class\": \"" class "\", \"repeat\": \"" repeat                  \
						      "\", \"tenant_header\": \"X-Tenant\", "      \
						      "\"deadline_ms\": 500}"

/* Beyond capacity the good calls must stay flat. */
static void goodput(void)
{
	static const double factors[] = { 0.5, 1, 2, 5 };

	start_fleet(ROUTE("r", "/", "standard", "idempotent"));
	printf("capacity %.0f calls a second, deadline 500 ms\n", CAPACITY);
	for (size_t i = 0; i < G_N_ELEMENTS(factors); i++) {
		struct stream stream = { .name = "reads",
					 .tenant = "medina",
					 .path = "/r",
					 .rate = CAPACITY * factors[i] };

		run(&stream, 1, 6);
		report(&stream, 6);
	}
}

static void fairness(void)
{
	struct stream rivals[] = {
		{ .name = "light over its half",
		  .tenant = "light",
		  .path = "/r",
		  .rate = CAPACITY * 0.6 },
		{ .name = "heavy, ten times that",
		  .tenant = "heavy",
		  .path = "/r",
		  .rate = CAPACITY * 6 },
	};
	struct stream alone = {
		.name = "light alone", .tenant = "light", .path = "/r", .rate = CAPACITY * 0.2
	};
	struct stream beside[] = {
		{ .name = "light beside heavy",
		  .tenant = "light",
		  .path = "/r",
		  .rate = CAPACITY * 0.2 },
		{ .name = "heavy, ten times that",
		  .tenant = "heavy",
		  .path = "/r",
		  .rate = CAPACITY * 2 },
	};

	start_fleet(ROUTE("r", "/", "standard", "idempotent"));
	printf("capacity %.0f calls a second\n", CAPACITY);
	run(&alone, 1, 10);
	report(&alone, 10);
	run(beside, 2, 10);
	report(&beside[0], 10);
	report(&beside[1], 10);
	wait_ms(3000);
	run(rivals, 2, 10);
	report(&rivals[0], 10);
	report(&rivals[1], 10);
}

/* The most runs that any key had. */
static int most_runs(void)
{
	GHashTable *runs = fleet_runs(fleet);
	GHashTableIter iter;
	gpointer count;
	int most = 0;

	g_hash_table_iter_init(&iter, runs);
	while (g_hash_table_iter_next(&iter, NULL, &count))
		most = MAX(most, GPOINTER_TO_INT(count));
	g_hash_table_destroy(runs);
	return most;
}

static void profile(struct stream *streams, int count, const char *routes)
{
	start_fleet(routes);
	run(streams, count, 10);
	for (int i = 0; i < count; i++)
		report(&streams[i], 10);
	printf("most runs of one key: %d\n", most_runs());
}

static void atelier(void)
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
		  .bytes = 4000000,
		  .rate = 10 },
	};

	profile(streams, G_N_ELEMENTS(streams),
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

static void argyris(void)
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

	profile(streams, G_N_ELEMENTS(streams),
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
	} modes[] = { { "goodput", goodput },
		      { "fairness", fairness },
		      { "atelier", atelier },
		      { "argyris", argyris } };

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
