/*
 * Plays upstreams that break off a share of their answers, or send answers a second time, at real
 * daemons with the platform's interface, under a mix of reads and invoices on kept connections, and
 * reports which of the platform's rules the callers see broken. A caller repeats an invoice once
 * after a promise that it has not run. It exits with 1 if a rule was broken.
 */
#include <argtable2.h>
#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/rng.h"
#include "regress/lib/answercheck.h"
#include "regress/lib/breaker.h"
#include "regress/lib/platform.h"

#define HOST "studio.example"

enum {
	NODES_MAX = 14,
	CALLERS_PER_NODE = 3,
	CAPACITY = 64,
	START_MS = 15000,
	TIMEOUT_MS = 2500,
	HEARTBEAT_EACH_S = 20,
	READ_WEIGHT = 207, /* requests a second of acrm-suivi */
	INVOICE_WEIGHT = 86,
	LARGE_EACH = 10, /* of ten bodies in chunks, or with a length, one is large */
	LARGE_BYTES = 100000,
	SMALL_BYTES = 300,
	PAUSE_EACH = 4, /* of four bodies one is sent with a pause in its middle */
	PAUSE_MS = 15,
	BODY_BYTES_MIN = 200, /* of answers; 400 is the mean */
	BODY_BYTES_RANGE = 401,
	SHOWN_MAX = 40, /* broken rules that are printed one by one */
};

/* Heads of answers. */
static const struct answer_shape shapes[] = {
	{ .name = "short", .status = 200, .framing = RAW_BY_LENGTH },
	{ .name = "long",
	  .status = 200,
	  .framing = RAW_BY_LENGTH,
	  .fields = "X-Server-Load: 3,0,9\r\nKeep-Alive: timeout=5\r\n" },
	{ .name = "first", .status = 200, .framing = RAW_BY_LENGTH, .framing_first = true },
	{ .name = "chunks", .status = 200, .framing = RAW_BY_CHUNKS },
};

/* Second copies of an answer, sent when the next request on the connection has begun. */
enum copy_kind {
	COPY_WHOLE,
	COPY_CUT,	  /* the connection ends within the copy */
	COPY_JOINED,	  /* the next answer follows the cut copy */
	COPY_INTERIM,	  /* behind a 100 head */
	COPY_INTERIM_CUT, /* behind a 100 head, and the connection ends within it */
	COPY_KINDS,
};

static const char *const copy_names[COPY_KINDS] = { "whole", "cut", "joined with the next answer",
						    "behind 100", "behind 100, cut" };

/* What became of a request at its upstream. */
struct run {
	int count;
	int upstream;
	size_t sent;
	size_t whole;
	enum answer_part part;
};

static struct {
	int seconds;
	int nodes;
	uint64_t seed;
	int rate; /* requests a second */
	int work_ms;
	double broken;	  /* share of the answers of a breaking upstream */
	double upstreams; /* share of the upstreams that break off answers */
	double reset;	  /* share of the breaks that are resets */
	double copies;	  /* share of the answers of all upstreams that come twice */
	double failures;  /* share of the answers that are 500 */
	bool in_head;	  /* breaks only in the head */
	const struct answer_shape *shape;
} options = { .seconds = 30,
	      .nodes = 10,
	      .seed = 1,
	      .rate = READ_WEIGHT + INVOICE_WEIGHT,
	      .work_ms = 20,
	      .broken = 0.02,
	      .upstreams = 0.33,
	      .shape = &shapes[0] };

/* A place of the report: by kind of request, hop and kind of the request's body. */
enum { ROUTES = 2, HOPS = 2, BODY_KINDS = 3 };
static const char *const route_names[ROUTES] = { "read", "invoice" };
static const char *const hop_names[HOPS] = { "own target", "another node" };
static const char *const body_names[BODY_KINDS] = { "no body", "length", "chunks" };

struct cell {
	int requests;
	int broken;
	int mixed;
	int mixed_empty; /* those with 0 bytes of a body */
	int mixed_framing[3];
	int refused;
	int twice;
};

static struct fleet *fleet;
static struct breaker *breakers[NODES_MAX];
static struct breaker_options breaker_options[NODES_MAX];
static int targets;
static int breaking; /* the first so many targets break off answers */
static gint stop_load;
static GMutex mutex;	     /* guards all below */
static GHashTable *runs;     /* struct run by id */
static GHashTable *invoices; /* number of runs by invoice */
static struct rng answer_rng;
static struct cell cells[ROUTES][HOPS][BODY_KINDS];
static int parts[PART_COUNT];
static int copies[COPY_KINDS];
static int altered;
static int unsuccessful;
static int timed_out;
static int cut_whole;
static int shown;
static int next_request;

/* Returns the shape of the answer to a request; its status and length depend on the id. */
static struct answer_shape shape_of(const char *id)
{
	struct rng rng = { .state = str_hash(str_from_cstr(id), options.seed) };
	struct answer_shape shape = *options.shape;

	shape.body_bytes = BODY_BYTES_MIN + rng_below(&rng, BODY_BYTES_RANGE);
	if (rng_unit(&rng) < options.failures)
		shape.status = 500;
	return shape;
}

static struct run *record_run(const struct breaker_request *request, int upstream)
{
	struct run *run = g_hash_table_lookup(runs, request->id);
	const char *invoice = strrchr(request->path, '/') + 1;
	int count = GPOINTER_TO_INT(g_hash_table_lookup(invoices, invoice)) + 1;

	if (!run) {
		run = g_new0(struct run, 1);
		g_hash_table_insert(runs, g_strdup(request->id), run);
	}
	run->count++;
	run->upstream = upstream;
	if (g_str_has_prefix(request->path, "/bill/"))
		g_hash_table_insert(invoices, g_strdup(invoice), GINT_TO_POINTER(count));
	altered += request->body_altered;
	return run;
}

static void add_copy(struct breaker_plan *plan, enum copy_kind kind, struct str answer, size_t cut)
{
	struct strbuf copy = { 0 };

	switch (kind) {
	case COPY_WHOLE:
		break;
	case COPY_CUT:
	case COPY_JOINED:
		answer = str_sub(answer, 0, cut);
		break;
	case COPY_INTERIM_CUT:
		answer = str_sub(answer, 0, cut);
		/* fall through */
	case COPY_INTERIM:
		strbuf_add(&copy, STR("HTTP/1.1 100 Continue\r\n\r\n"));
		break;
	case COPY_KINDS:
		g_assert_not_reached();
	}
	strbuf_add(&copy, answer);
	breaker_plan_step(plan, BREAKER_WAIT_REQUEST, 0);
	breaker_plan_send(plan, strbuf_str(&copy));
	if (kind == COPY_CUT || kind == COPY_INTERIM_CUT)
		breaker_plan_step(plan, BREAKER_FIN, 0);
	strbuf_clear(&copy);
}

/* Chooses how much of an answer is sent. */
static size_t choose_end(const struct answer_places *places)
{
	size_t end = options.in_head ? places->head : places->whole;

	return places->status_line + rng_below(&answer_rng, end - places->status_line);
}

static void answer(void *context, const struct breaker_request *request, struct breaker_plan *plan)
{
	int upstream = (int)((struct breaker_options *)context - breaker_options);
	struct strbuf text = { 0 };
	struct answer_shape shape = shape_of(request->id);
	struct answer_places places = answer_format(&shape, request->id, &text);
	struct run *run;
	enum copy_kind copy;
	bool copied;
	bool broken;
	bool by_reset;
	size_t end;
	size_t copy_end;

	g_mutex_lock(&mutex);
	run = record_run(request, upstream);
	broken = upstream < breaking && rng_unit(&answer_rng) < options.broken;
	copied = !broken && rng_unit(&answer_rng) < options.copies;
	copy = (enum copy_kind)rng_below(&answer_rng, COPY_KINDS);
	by_reset = rng_unit(&answer_rng) < options.reset;
	end = choose_end(&places);
	copy_end = 1 + rng_below(&answer_rng, places.head);
	run->whole = places.whole;
	run->sent = broken ? end : places.whole;
	run->part = answer_part(&places, run->sent);
	parts[run->part] += broken;
	copies[copy] += copied;
	g_mutex_unlock(&mutex);
	breaker_plan_step(plan, BREAKER_WAIT, options.work_ms);
	if (copied) {
		breaker_plan_send(plan, strbuf_str(&text));
		add_copy(plan, copy, strbuf_str(&text), copy_end);
	} else {
		text.len = run->sent;
		breaker_plan_send(plan, strbuf_str(&text));
		if (broken)
			breaker_plan_step(plan, by_reset ? BREAKER_RESET : BREAKER_FIN, 0);
	}
	strbuf_clear(&text);
}

static const char *framing_name(enum raw_framing framing)
{
	switch (framing) {
	case RAW_UNFRAMED:
		return "without a length";
	case RAW_BY_LENGTH:
		return "with a length";
	case RAW_BY_CHUNKS:
		return "in chunks";
	}
	g_assert_not_reached();
}

static void show(const char *rule, const struct answered_request *request, const struct run *run,
		 int entry, const struct raw_request *sent)
{
	if (shown++ >= SHOWN_MAX)
		return;
	printf("%s: %s %s at node %d, target of node %d, request with %s: %d, %zu of %zu bytes, "
	       "%s; runs %d, the answer had %zu of %zu bytes (%s)\n",
	       rule, sent->path, request->id, entry, run ? run->upstream : -1,
	       body_names[sent->body], request->answer->status, request->answer->body.len,
	       request->shape->body_bytes, framing_name(request->answer->framing), request->runs,
	       run ? run->sent : 0, run ? run->whole : 0,
	       run ? answer_part_name(run->part) : "none");
}

static void record_answer(struct answered_request *request, int entry,
			  const struct raw_request *sent)
{
	const struct raw_answer *answer = request->answer;
	struct answer_findings findings;
	const struct run *run;
	struct cell *cell;

	g_mutex_lock(&mutex);
	run = g_hash_table_lookup(runs, request->id);
	request->runs = run ? run->count : 0;
	findings = answer_check(request);
	cell = &cells[request->unsafe][run ? run->upstream != entry : 0][sent->body];
	cell->requests++;
	cell->broken += run && run->part != PART_WHOLE;
	cell->mixed += findings.mixed;
	cell->mixed_empty += findings.mixed && answer->body.len == 0;
	cell->mixed_framing[answer->framing] += findings.mixed;
	cell->refused += findings.refused;
	cell->twice += findings.twice;
	cut_whole += findings.cut_looks_whole;
	timed_out += answer->ending == RAW_TIMED_OUT;
	unsuccessful += answer->status != 200 || answer->ending != RAW_WHOLE;
	if (findings.mixed)
		show("MIXED", request, run, entry, sent);
	if (findings.refused)
		show("REFUSED", request, run, entry, sent);
	if (findings.twice)
		show("TWICE", request, run, entry, sent);
	g_mutex_unlock(&mutex);
}

/* Sends one request. Returns whether the answer promises that it has not run. */
static bool send_request(struct raw_caller *caller, int entry, struct rng *rng, bool unsafe,
			 int number, int attempt)
{
	enum raw_body kind = RAW_NO_BODY;
	char path[64];
	char id[32];
	struct raw_request request = { .method = unsafe ? "POST" : "GET",
				       .host = HOST,
				       .path = path,
				       .id = id,
				       .timeout_ms = TIMEOUT_MS };
	struct answer_shape shape;
	struct raw_answer reply;
	struct answered_request answered = {
		.shape = &shape, .id = id, .unsafe = unsafe, .answer = &reply
	};
	bool promised;

	if (unsafe)
		kind = (enum raw_body)rng_below(rng, BODY_KINDS);
	request.body = kind;
	request.body_bytes = rng_below(rng, LARGE_EACH) ? SMALL_BYTES : LARGE_BYTES;
	if (kind == RAW_NO_BODY)
		request.body_bytes = 0;
	else if (rng_below(rng, PAUSE_EACH) == 0)
		request.pause_ms = PAUSE_MS;
	g_snprintf(path, sizeof(path), "/%s/%d", unsafe ? "bill" : "sheet", number);
	g_snprintf(id, sizeof(id), "%08x%07x%d", (unsigned)options.seed, (unsigned)number, attempt);
	shape = shape_of(id);
	reply = raw_call(caller, &request);
	record_answer(&answered, entry, &request);
	promised = answer_is_promise(reply.status);
	raw_answer_clear(&reply);
	return promised;
}

static gpointer send_requests(gpointer data)
{
	int index = GPOINTER_TO_INT(data);
	int entry = index % options.nodes;
	int64_t interval_us = US_PER_S * options.nodes * CALLERS_PER_NODE / options.rate;
	struct rng rng = { .state = rng_mix(options.seed * 1000 + (uint64_t)index) };
	struct raw_caller *caller =
		raw_caller_new(atoi(strchr(fleet->nodes[entry].caller_address, ':') + 1));
	int64_t next_us = clock_now().mono_us + (int64_t)rng_below(&rng, (uint64_t)interval_us);

	while (!g_atomic_int_get(&stop_load)) {
		bool unsafe = rng_below(&rng, READ_WEIGHT + INVOICE_WEIGHT) < INVOICE_WEIGHT;
		int number = g_atomic_int_add(&next_request, 1);
		int64_t wait_us = next_us - clock_now().mono_us;

		if (wait_us > 0)
			g_usleep((gulong)wait_us);
		next_us += interval_us;
		if (send_request(caller, entry, &rng, unsafe, number, 0) && unsafe)
			send_request(caller, entry, &rng, unsafe, number, 1);
	}
	raw_caller_free(caller);
	return NULL;
}

static const char configuration[] =
	"{\"version\":3,\"services\":[{\"name\":\"registre\",\"health_path\":\"/health\"}],"
	"\"virtual_hosts\":[{\"host\":\"" HOST "\",\"paths\":["
	"{\"name\":\"sheet\",\"path_prefix\":\"/sheet/\",\"kind\":\"safe\",\"timeout_s\":2,"
	"\"service\":\"registre\",\"max_attempts\":2},"
	"{\"name\":\"bill\",\"path_prefix\":\"/bill/\",\"kind\":\"unsafe\",\"timeout_s\":2,"
	"\"service\":\"registre\",\"max_attempts\":2}]}]}";

static const char *service_of(int node)
{
	return node < targets ? "registre" : "front";
}

static void send_heartbeats(int sequence)
{
	for (int i = 0; i < options.nodes; i++) {
		struct platform_heartbeat heartbeat = { .service = service_of(i),
							.instance = breaker_options[i].instance,
							.port = breaker_port(breakers[i]),
							.capacity = CAPACITY,
							.sequence = sequence };

		platform_send_heartbeat(fleet, i, &heartbeat);
	}
}

static bool start_fleet(void)
{
	static char instances[NODES_MAX][16];
	char ready[] = "\"accepted\":1";
	bool started = true;

	fleet = fleet_new_platform();
	targets = MAX(2, options.nodes * 2 / 3);
	breaking = (int)(targets * options.upstreams + 0.5);
	for (int i = 0; i < options.nodes; i++) {
		g_snprintf(instances[i], sizeof(instances[i]), "i-%d", i);
		breaker_options[i] = (struct breaker_options){ .instance = instances[i],
							       .answer = answer,
							       .context = &breaker_options[i] };
		breakers[i] = breaker_new(&breaker_options[i]);
		g_snprintf(fleet->extra_settings, sizeof(fleet->extra_settings),
			   "\"interface\": \"platform\", \"service\": \"%s\", "
			   "\"announce_ttl_s\": 60, \"retry_ratio\": 0.2, \"retry_slack\": 64,",
			   service_of(i));
		fleet_add_node(fleet, i % 2 ? "fes-b" : "fes-a");
	}
	send_heartbeats(1);
	if (!platform_publish(fleet, "config", configuration))
		return false;
	started = fleet_wait_live(fleet, options.nodes, START_MS);
	for (int i = 0; i < options.nodes; i++)
		started &= fleet_wait_text(fleet, i, "/v1/status", ready, START_MS);
	wait_ms(1000);
	return started;
}

static void run_load(void)
{
	int callers = options.nodes * CALLERS_PER_NODE;
	GThread **threads = g_new0(GThread *, callers);

	for (int i = 0; i < callers; i++)
		threads[i] = g_thread_new("caller", send_requests, GINT_TO_POINTER(i));
	for (int second = 1; second <= options.seconds; second++) {
		wait_ms(1000);
		if (second % HEARTBEAT_EACH_S == 0)
			send_heartbeats(1 + second);
	}
	g_atomic_int_set(&stop_load, 1);
	for (int i = 0; i < callers; i++)
		g_thread_join(threads[i]);
	g_free(threads);
}

static void add_cell(struct cell *sum, const struct cell *cell)
{
	sum->requests += cell->requests;
	sum->broken += cell->broken;
	sum->mixed += cell->mixed;
	sum->mixed_empty += cell->mixed_empty;
	sum->refused += cell->refused;
	sum->twice += cell->twice;
	for (int i = 0; i < 3; i++)
		sum->mixed_framing[i] += cell->mixed_framing[i];
}

static struct cell print_cells(void)
{
	struct cell sum = { 0 };

	for (int i = 0; i < ROUTES * HOPS * BODY_KINDS; i++) {
		int route = i / (HOPS * BODY_KINDS);
		int hop = i / BODY_KINDS % HOPS;
		int body = i % BODY_KINDS;
		const struct cell *cell = &cells[route][hop][body];

		add_cell(&sum, cell);
		if (cell->requests)
			printf("%-8s %-13s request with %-8s %7d requests, %5d broken, MIXED %4d, "
			       "REFUSED %4d, TWICE %d\n",
			       route_names[route], hop_names[hop], body_names[body], cell->requests,
			       cell->broken, cell->mixed, cell->refused, cell->twice);
	}
	return sum;
}

static int invoices_issued_twice(void)
{
	GHashTableIter iter;
	gpointer count;
	int twice = 0;

	g_hash_table_iter_init(&iter, invoices);
	while (g_hash_table_iter_next(&iter, NULL, &count))
		twice += GPOINTER_TO_INT(count) > 1;
	return twice;
}

/* Returns whether all rules were kept. */
static bool report(void)
{
	struct cell sum = print_cells();
	int awaited = 0;

	for (int i = 0; i < options.nodes; i++)
		awaited += breaker_requests_awaited(breakers[i]);
	printf("breaks:");
	for (int i = 0; i < PART_COUNT; i++)
		if (parts[i])
			printf(" %s %d,", answer_part_name((enum answer_part)i), parts[i]);
	printf(" head \"%s\"\n", options.shape->name);
	for (int i = 0; options.copies > 0 && i < COPY_KINDS; i++)
		printf("second copies, %s: %d\n", copy_names[i], copies[i]);
	if (options.copies > 0)
		printf("second copies that met a request: %d\n", awaited);
	printf("%d requests, %d without a whole 200, %d not answered in time, %d bodies altered, "
	       "%d cut failures look complete\n",
	       sum.requests, unsuccessful, timed_out, altered, cut_whole);
	printf("MIXED %d (%d with 0 bytes of a body; %d in chunks, %d with a length, %d without), "
	       "REFUSED %d, ratio %.2f, TWICE %d, invoices issued twice %d\n",
	       sum.mixed, sum.mixed_empty, sum.mixed_framing[RAW_BY_CHUNKS],
	       sum.mixed_framing[RAW_BY_LENGTH], sum.mixed_framing[RAW_UNFRAMED], sum.refused,
	       sum.refused ? (double)sum.mixed / sum.refused : 0.0, sum.twice,
	       invoices_issued_twice());
	if (sum.requests < options.seconds * options.rate / 2) {
		printf("too few requests\n");
		return false;
	}
	return sum.mixed + sum.refused + sum.twice + altered + cut_whole == 0;
}

static const struct answer_shape *find_shape(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(shapes); i++)
		if (strcmp(shapes[i].name, name) == 0)
			return &shapes[i];
	return NULL;
}

static bool parse_arguments(int argc, char **argv)
{
	struct arg_int *seconds = arg_int0("s", "seconds", "N", "length of the run");
	struct arg_int *seed = arg_int0("r", "seed", "N", "seed of all choices");
	struct arg_int *nodes = arg_int0("n", "nodes", "N", "daemons, 3 to 14");
	struct arg_int *rate = arg_int0(NULL, "rate", "N", "requests a second");
	struct arg_int *work = arg_int0(NULL, "work", "MS", "time that an upstream works");
	struct arg_dbl *broken = arg_dbl0("b", "broken", "SHARE", "answers broken off");
	struct arg_dbl *upstreams = arg_dbl0("u", "upstreams", "SHARE", "upstreams that do so");
	struct arg_dbl *reset = arg_dbl0(NULL, "reset", "SHARE", "breaks by a reset");
	struct arg_dbl *second = arg_dbl0("c", "copies", "SHARE", "answers that come twice");
	struct arg_dbl *failures = arg_dbl0("f", "failures", "SHARE", "answers that are 500");
	struct arg_lit *in_head = arg_lit0(NULL, "in-head", "break off in the head only");
	struct arg_str *head = arg_str0(NULL, "head", "NAME", "short, long, first or chunks");
	struct arg_end *end = arg_end(4);
	void *table[] = { seconds, seed,   nodes,    rate,    work, broken, upstreams,
			  reset,   second, failures, in_head, head, end };
	bool valid;

	*seconds->ival = options.seconds;
	*seed->ival = (int)options.seed;
	*nodes->ival = options.nodes;
	*rate->ival = options.rate;
	*work->ival = options.work_ms;
	*broken->dval = options.broken;
	*upstreams->dval = options.upstreams;
	*head->sval = options.shape->name;
	valid = arg_parse(argc, argv, table) == 0;
	options.seconds = *seconds->ival;
	options.seed = (uint64_t)*seed->ival;
	options.nodes = *nodes->ival;
	options.rate = *rate->ival;
	options.work_ms = *work->ival;
	options.broken = *broken->dval;
	options.upstreams = *upstreams->dval;
	options.reset = reset->count ? *reset->dval : 0;
	options.copies = second->count ? *second->dval : 0;
	options.failures = failures->count ? *failures->dval : 0;
	options.in_head = in_head->count > 0;
	options.shape = find_shape(*head->sval);
	if (!valid)
		arg_print_errors(stderr, end, argv[0]);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return valid && options.shape && options.nodes >= 3 && options.nodes <= NODES_MAX &&
	       options.rate > 0;
}

int main(int argc, char **argv)
{
	bool kept = false;
	bool started;

	if (!parse_arguments(argc, argv)) {
		fprintf(stderr,
			"usage: broken [-s N] [-r N] [-n N] [--rate N] [--work MS] "
			"[-b SHARE] [-u SHARE] [--reset SHARE] [-c SHARE] [-f SHARE] [--in-head] "
			"[--head NAME]\n");
		return 2;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	invoices = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	answer_rng.state = options.seed;
	started = start_fleet();
	if (started) {
		run_load();
		kept = report();
	} else {
		fprintf(stderr, "the fleet did not start\n");
	}
	fleet_free(fleet);
	for (int i = 0; i < options.nodes; i++)
		breaker_free(breakers[i]);
	g_hash_table_destroy(runs);
	g_hash_table_destroy(invoices);
	return started ? !kept : 2;
}
