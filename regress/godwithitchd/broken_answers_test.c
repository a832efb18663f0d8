/* Upstreams whose answers end after each of their bytes, at the daemons with the platform's
 * interface. The checks are those of the platform's rules. */
#include "regress/lib/check.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "regress/lib/answercheck.h"
#include "regress/lib/breaker.h"
#include "regress/lib/platform.h"

#define HOST "shop.example"

enum {
	BOOKS,	 /* node beside the only target of "books" */
	FRONT,	 /* node beside the target of a service without routes */
	LOANS_A, /* nodes beside the targets of "loans", one of which may be ejected */
	LOANS_B,
	LOANS_C,
	NODES,
};

enum {
	WAIT_MS = 10000,
	CAPACITY = 64,
	SENDERS = 12,
	PLAYS_MAX = 60,
	PLAY_AGAIN_MS = 50,
	TIMEOUT_MS = 2000
};

static const char *const services[NODES] = { "books", "front", "loans", "loans", "loans" };

static const struct answer_shape shapes[] = {
	{ .name = "200, length", .status = 200, .framing = RAW_BY_LENGTH, .body_bytes = 24 },
	{ .name = "200, length first",
	  .status = 200,
	  .framing = RAW_BY_LENGTH,
	  .framing_first = true,
	  .body_bytes = 24 },
	{ .name = "200, chunks", .status = 200, .framing = RAW_BY_CHUNKS, .body_bytes = 24 },
	{ .name = "100 and 200",
	  .status = 200,
	  .framing = RAW_BY_LENGTH,
	  .interim = true,
	  .body_bytes = 24 },
	{ .name = "204", .status = 204 },
	{ .name = "refusal",
	  .status = 503,
	  .framing = RAW_BY_LENGTH,
	  .unsigned_ = true,
	  .not_executed = true },
	{ .name = "500", .status = 500, .framing = RAW_BY_LENGTH, .body_bytes = 24 },
	{ .name = "own 503", .status = 503, .framing = RAW_BY_LENGTH, .body_bytes = 24 },
	{ .name = "own 429", .status = 429, .framing = RAW_BY_CHUNKS, .body_bytes = 24 },
};

enum { SHAPES = G_N_ELEMENTS(shapes) };

/* Bodies of requests. Every stride-th place of an answer is played with each of them. */
static const struct body_row {
	const char *name;
	enum raw_body kind;
	size_t bytes;
	size_t stride;
} bodies[] = {
	{ "no body", RAW_NO_BODY, 0, 1 },
	{ "length", RAW_WITH_LENGTH, 20, 3 },
	{ "chunks", RAW_IN_CHUNKS, 20, 3 },
	{ "large, length", RAW_WITH_LENGTH, 100000, 13 },
	{ "large, chunks", RAW_IN_CHUNKS, 100000, 13 },
};

enum { BODIES = G_N_ELEMENTS(bodies) };

enum { WHOLE_BYTES = 9999 }; /* more than any answer has */

static const enum breaker_step_kind endings[] = { BREAKER_FIN, BREAKER_RESET };

/* A request and the place at which its answer breaks off. */
struct play {
	int shape;
	int body;
	enum breaker_step_kind ending;
	size_t sent; /* bytes of the answer */
	enum answer_part part;
};

/* How often each rule was broken, by the kind of the request's body and the part of the answer in
 * which it broke off. */
struct tally {
	int played;
	int not_run;
	int turned_away; /* refused by the node, and sent again after a while */
	int unanswered;	 /* no answer in time */
	int mixed[BODIES][PART_COUNT];
	int mixed_with_bytes; /* those with a body */
	int mixed_by_reset;   /* those whose answer was reset */
	int refused[BODIES][PART_COUNT];
	int refused_by_reset;
	int refused_own; /* those whose upstream's own status is 503 or 429 */
	int repeated;	 /* ran more than once, safe requests included */
	int twice;
	int cut_looks_whole;
	int not_passed_on;
	int altered; /* requests that arrived with another body */
};

/* A whole answer, behind which the connection is kept. */
static const struct play whole_play = { .ending = BREAKER_WAIT,
					.sent = WHOLE_BYTES,
					.part = PART_WHOLE };

static struct fleet *fleet;
static struct breaker *breakers[NODES];
static struct breaker_options breaker_options[NODES];
static GMutex mutex;	 /* guards all below */
static GHashTable *runs; /* number of runs by id */
static int altered_bodies;
static int broken_on_kept_connection;
static struct tally tally;
static GArray *plays;
static guint next_play;
static int test_number; /* part of all ids */

/* Counts a run and returns the number of runs of this request so far. */
static int record_run(const struct breaker_request *request, size_t body_bytes, bool breaks)
{
	int count;

	g_mutex_lock(&mutex);
	count = GPOINTER_TO_INT(g_hash_table_lookup(runs, request->id)) + 1;
	g_hash_table_insert(runs, g_strdup(request->id), GINT_TO_POINTER(count));
	altered_bodies += request->body_altered || request->body_bytes != body_bytes;
	broken_on_kept_connection += breaks && request->on_kept_connection;
	g_mutex_unlock(&mutex);
	return count;
}

static int run_count(const char *id)
{
	int count;

	g_mutex_lock(&mutex);
	count = GPOINTER_TO_INT(g_hash_table_lookup(runs, id));
	g_mutex_unlock(&mutex);
	return count;
}

/* Answers a request to /x/SHAPE/BODY/ENDING/SENT as its path asks; a later run gets the whole
 * answer. */
static void answer(void *context, const struct breaker_request *request, struct breaker_plan *plan)
{
	char **words = g_strsplit(request->path, "/", -1);
	const struct answer_shape *shape = &shapes[atoi(words[2])];
	size_t sent = (size_t)atoi(words[5]);
	struct strbuf text = { 0 };
	bool is_first = true;

	(void)context;
	answer_format(shape, request->id, &text);
	if (!shape->not_executed)
		is_first = record_run(request, bodies[atoi(words[3])].bytes, sent < text.len) == 1;
	if (is_first)
		text.len = MIN(text.len, sent);
	breaker_plan_send(plan, strbuf_str(&text));
	if (is_first)
		breaker_plan_step(plan, (enum breaker_step_kind)atoi(words[4]), 0);
	strbuf_clear(&text);
	g_strfreev(words);
}

/* A target's node and the node that the callers use, and the kind of the requests. */
struct hop {
	int entry;
	const char *prefix;
	bool unsafe;
};

static void record_findings(const struct play *play, const struct answered_request *request,
			    int64_t took_us)
{
	struct answer_findings findings = answer_check(request);

	g_mutex_lock(&mutex);
	tally.mixed[play->body][play->part] += findings.mixed;
	tally.mixed_with_bytes += findings.mixed && request->answer->body.len;
	tally.mixed_by_reset += findings.mixed && play->ending == BREAKER_RESET;
	tally.refused[play->body][play->part] += findings.refused;
	tally.refused_by_reset += findings.refused && play->ending == BREAKER_RESET;
	tally.refused_own += findings.refused && answer_is_promise(request->shape->status);
	tally.repeated += request->runs > 1;
	tally.twice += findings.twice;
	tally.cut_looks_whole += findings.cut_looks_whole;
	tally.not_passed_on += findings.not_passed_on;
	tally.unanswered += request->answer->ending == RAW_TIMED_OUT;
	if (findings.mixed || findings.refused || findings.twice || findings.cut_looks_whole ||
	    findings.not_passed_on)
		print_message(
			"%s: %s, %s, %zu bytes, %s: %d with %zu bytes, ending %d, runs %d, after "
			"%lld ms%s\n",
			request->id, shapes[play->shape].name, bodies[play->body].name, play->sent,
			play->ending == BREAKER_FIN ? "FIN" : "reset", request->answer->status,
			request->answer->body.len, request->answer->ending, request->runs,
			took_us / US_PER_MS, findings.not_passed_on ? ", not passed on" : "");
	g_mutex_unlock(&mutex);
}

/* Sends one request. Returns false if it did not run, so that its answer shows nothing. */
static bool send_play(struct raw_caller *caller, const struct hop *hop, const struct play *play,
		      const char *id)
{
	const struct body_row *body = &bodies[play->body];
	const struct answer_shape *shape = &shapes[play->shape];
	char path[BREAKER_PATH_MAX];
	int64_t started_us;
	struct raw_request request = { .method = body->kind == RAW_NO_BODY && !hop->unsafe ? "GET"
											   : "POST",
				       .host = HOST,
				       .path = path,
				       .id = id,
				       .body = body->kind,
				       .body_bytes = body->bytes,
				       .timeout_ms = TIMEOUT_MS };
	struct raw_answer reply;
	struct answered_request answered = { .shape = shape,
					     .id = id,
					     .unsafe = hop->unsafe,
					     .sent_whole = play->part == PART_WHOLE &&
							   play->ending != BREAKER_RESET,
					     .answer = &reply };

	g_snprintf(path, sizeof(path), "%s%d/%d/%d/%zu/%s", hop->prefix, play->shape, play->body,
		   (int)play->ending, play->sent, id);
	started_us = clock_now().mono_us;
	reply = raw_call(caller, &request);
	answered.runs = run_count(id);
	if (answered.runs || shape->not_executed)
		record_findings(play, &answered, clock_now().mono_us - started_us);
	raw_answer_clear(&reply);
	return answered.runs || shape->not_executed;
}

static gpointer send_plays(gpointer data)
{
	const struct hop *hop = data;
	struct raw_caller *caller =
		raw_caller_new(atoi(strchr(fleet->nodes[hop->entry].caller_address, ':') + 1));

	for (;;) {
		const struct play *play = NULL;
		bool has_run = false;
		int turned_away = 0;
		guint number;
		char id[48];

		g_mutex_lock(&mutex);
		number = next_play++;
		if (number < plays->len)
			play = &g_array_index(plays, struct play, number);
		g_mutex_unlock(&mutex);
		if (!play)
			break;
		for (int i = 0; i < PLAYS_MAX && !has_run; i++) {
			/* A node that found the target closed uses it again a second later. */
			if (i)
				wait_ms(PLAY_AGAIN_MS);
			turned_away = i;
			g_snprintf(id, sizeof(id), "k%d-%05u-%02d", test_number, number, i);
			if (play->part != PART_WHOLE && !send_play(caller, hop, &whole_play, id))
				continue;
			g_snprintf(id, sizeof(id), "p%d-%05u-%02d", test_number, number, i);
			has_run = send_play(caller, hop, play, id);
		}
		g_mutex_lock(&mutex);
		tally.played++;
		tally.not_run += !has_run;
		tally.turned_away += turned_away;
		g_mutex_unlock(&mutex);
	}
	raw_caller_free(caller);
	return NULL;
}

/* Adds the plays of one shape and one kind of body. */
static void add_plays(int shape, int body)
{
	static const char sample_id[] = "p0-00000-00";
	struct strbuf text = { 0 };
	struct answer_places places = answer_format(&shapes[shape], sample_id, &text);

	for (size_t sent = 0; sent <= places.whole; sent++) {
		if (sent > 0 && sent < places.whole && (sent + (size_t)body) % bodies[body].stride)
			continue;
		for (size_t i = 0; i < G_N_ELEMENTS(endings); i++) {
			struct play play = { .shape = shape,
					     .body = body,
					     .ending = endings[i],
					     .sent = sent,
					     .part = answer_part(&places, sent) };

			g_array_append_val(plays, play);
		}
	}
	strbuf_clear(&text);
}

static void print_counts(const char *rule, int counts[BODIES][PART_COUNT], int *total)
{
	*total = 0;
	for (int body = 0; body < BODIES; body++) {
		for (int part = 0; part < PART_COUNT; part++) {
			if (counts[body][part])
				print_message("  %s, request with %s, broken in %s: %d\n", rule,
					      bodies[body].name,
					      answer_part_name((enum answer_part)part),
					      counts[body][part]);
			*total += counts[body][part];
		}
	}
}

static void assert_rules_kept(const char *name)
{
	int mixed;
	int refused;

	print_counts("MIXED", tally.mixed, &mixed);
	print_counts("REFUSED", tally.refused, &refused);
	print_message("%s: %d requests, %d not run, %d turned away, %d broken on kept connections, "
		      "%d repeated, %d not answered in time\n",
		      name, tally.played, tally.not_run, tally.turned_away,
		      broken_on_kept_connection, tally.repeated, tally.unanswered);
	print_message("  MIXED %d (with bytes of a body %d, after a reset %d), REFUSED %d (after a "
		      "reset %d, own 503 or 429 %d), TWICE %d\n",
		      mixed, tally.mixed_with_bytes, tally.mixed_by_reset, refused,
		      tally.refused_by_reset, tally.refused_own, tally.twice);
	print_message("  failures cut but complete %d, whole answers not passed on %d, request "
		      "bodies altered %d\n",
		      tally.cut_looks_whole, tally.not_passed_on, altered_bodies);
	assert_true(tally.not_run * 50 < tally.played);
	assert_int_equal(mixed, 0);
	assert_int_equal(refused, 0);
	assert_int_equal(tally.twice, 0);
	assert_int_equal(tally.cut_looks_whole, 0);
	assert_int_equal(tally.not_passed_on, 0);
	assert_int_equal(tally.unanswered, 0);
	assert_int_equal(altered_bodies, 0);
}

static void run_plays(const char *name, struct hop hop)
{
	GThread *threads[SENDERS];

	test_number++;
	next_play = 0;
	tally = (struct tally){ 0 };
	altered_bodies = 0;
	broken_on_kept_connection = 0;
	for (int i = 0; i < SENDERS; i++)
		threads[i] = g_thread_new("sender", send_plays, &hop);
	for (int i = 0; i < SENDERS; i++)
		g_thread_join(threads[i]);
	g_array_set_size(plays, 0);
	assert_rules_kept(name);
}

static void add_all_plays(void)
{
	for (int shape = 0; shape < SHAPES; shape++)
		for (int body = 0; body < BODIES; body++)
			add_plays(shape, body);
}

/* Returns whether the node sees an answer without the id of its request. It then uses new
 * connections for unsafe requests for ten seconds. */
static bool lacks_id(const struct play *play)
{
	return play->ending == BREAKER_FIN &&
	       (play->part == PART_INTERIM || play->part == PART_HEAD_UNSIGNED);
}

/* Adds breaks of the answers to unsafe requests on kept connections. */
static void add_kept_plays(void)
{
	enum { LENGTH = 0, CHUNKS = 2, LAST_BODY = 2 };

	for (int body = 0; body <= LAST_BODY; body++) {
		add_plays(LENGTH, body);
		add_plays(CHUNKS, body);
	}
	for (guint i = plays->len; i-- > 0;)
		if (lacks_id(&g_array_index(plays, struct play, i)))
			g_array_remove_index(plays, i);
}

/* After a break the target still takes work: hardly any request is turned away, and the node uses
 * new connections for unsafe requests. It runs before all others, whose answers without an id have
 * the same effect. */
static void test_unsafe_requests_on_kept_connections(void **state)
{
	(void)state;
	add_kept_plays();
	run_plays("unsafe, kept connections", (struct hop){ BOOKS, "/w/", true });
	assert_true(broken_on_kept_connection > 0);
	assert_true(broken_on_kept_connection * 10 < tally.played);
	assert_true(tally.turned_away * 50 < tally.played);
}

static void test_unsafe_requests_at_own_target(void **state)
{
	(void)state;
	add_all_plays();
	run_plays("unsafe, own target", (struct hop){ BOOKS, "/w/", true });
}

static void test_unsafe_requests_beside_another_node(void **state)
{
	(void)state;
	add_all_plays();
	run_plays("unsafe, another node", (struct hop){ FRONT, "/w/", true });
}

static void test_safe_requests_at_own_target(void **state)
{
	(void)state;
	add_all_plays();
	run_plays("safe, own target", (struct hop){ BOOKS, "/r/", false });
}

static void test_safe_requests_beside_another_node(void **state)
{
	(void)state;
	add_all_plays();
	run_plays("safe, another node", (struct hop){ FRONT, "/r/", false });
}

/* Adds whole answers behind each play, since a target whose answers all fail gets no requests. */
static void add_whole_answers(void)
{
	enum { WHOLE_EACH = 12 };
	GArray *mixture = g_array_new(FALSE, FALSE, sizeof(struct play));

	for (guint i = 0; i < plays->len; i++) {
		g_array_append_vals(mixture, &g_array_index(plays, struct play, i), 1);
		for (int j = 0; j < WHOLE_EACH; j++)
			g_array_append_val(mixture, whole_play);
	}
	g_array_unref(plays);
	plays = mixture;
}

/* A safe request may run again at another target, whose answer is whole. */
static void test_repeated_safe_requests(void **state)
{
	enum { REPEATED_MIN = 200, NO_BODY = 0 };

	(void)state;
	for (int shape = 0; shape < SHAPES; shape++)
		if (shapes[shape].status < 300)
			add_plays(shape, NO_BODY);
	add_whole_answers();
	run_plays("safe, three targets", (struct hop){ LOANS_A, "/s/", false });
	assert_true(tally.repeated >= REPEATED_MIN);
}

/* A caller that leaves in the middle of its request's body. */
static void send_half(const struct hop *hop, int body, const char *id)
{
	struct raw_caller *caller =
		raw_caller_new(atoi(strchr(fleet->nodes[hop->entry].caller_address, ':') + 1));
	char path[BREAKER_PATH_MAX];
	struct raw_request request = { .method = "POST",
				       .host = HOST,
				       .path = path,
				       .id = id,
				       .body = bodies[body].kind,
				       .body_bytes = bodies[body].bytes,
				       .ends_early = true,
				       .timeout_ms = TIMEOUT_MS };
	struct raw_answer reply;

	g_snprintf(path, sizeof(path), "%s0/%d/%d/9999/%s", hop->prefix, body, (int)BREAKER_FIN,
		   id);
	reply = raw_call(caller, &request);
	raw_answer_clear(&reply);
	raw_caller_free(caller);
}

/* A request whose body ends early must not run at the target as if it were whole. */
static void test_cut_requests_do_not_run(void **state)
{
	enum { REPEATS = 5 };
	static const struct hop hops[] = { { BOOKS, "/w/", true },
					   { FRONT, "/w/", true },
					   { BOOKS, "/r/", false },
					   { FRONT, "/r/", false } };
	int sent = 0;
	int ran = 0;

	(void)state;
	for (int i = 0; i < REPEATS * (int)G_N_ELEMENTS(hops) * BODIES; i++) {
		int body = i % BODIES;
		char id[32];

		if (bodies[body].kind == RAW_NO_BODY)
			continue;
		g_snprintf(id, sizeof(id), "half-%d", i);
		send_half(&hops[i / BODIES % (int)G_N_ELEMENTS(hops)], body, id);
		sent++;
	}
	wait_ms(1000);
	for (int i = 0; i < REPEATS * (int)G_N_ELEMENTS(hops) * BODIES; i++) {
		char id[32];

		g_snprintf(id, sizeof(id), "half-%d", i);
		ran += run_count(id);
	}
	print_message("cut requests: %d sent, %d ran\n", sent, ran);
	assert_int_equal(ran, 0);
}

static const char configuration[] =
	"{\"version\":3,\"services\":[{\"name\":\"books\",\"health_path\":\"/health\"},"
	"{\"name\":\"loans\",\"health_path\":\"/health\"}],"
	"\"virtual_hosts\":[{\"host\":\"" HOST "\",\"paths\":["
	"{\"name\":\"read\",\"path_prefix\":\"/r/\",\"kind\":\"safe\",\"timeout_s\":2,"
	"\"service\":\"books\",\"max_attempts\":2},"
	"{\"name\":\"write\",\"path_prefix\":\"/w/\",\"kind\":\"unsafe\",\"timeout_s\":2,"
	"\"service\":\"books\",\"max_attempts\":2},"
	"{\"name\":\"loan\",\"path_prefix\":\"/s/\",\"kind\":\"safe\",\"timeout_s\":2,"
	"\"service\":\"loans\",\"max_attempts\":2}]}]}";

static bool wait_for_answer(int node, const char *path)
{
	struct raw_caller *caller =
		raw_caller_new(atoi(strchr(fleet->nodes[node].caller_address, ':') + 1));
	struct raw_request request = {
		.method = "GET", .host = HOST, .path = path, .id = "first", .timeout_ms = 1000
	};
	bool answered = false;

	for (int i = 0; i < WAIT_MS / 50 && !answered; i++) {
		struct raw_answer reply = raw_call(caller, &request);

		answered = reply.status == 200;
		raw_answer_clear(&reply);
		if (!answered)
			wait_ms(50);
	}
	raw_caller_free(caller);
	return answered;
}

static void start_node(int node)
{
	static char instances[NODES][16];
	struct platform_heartbeat heartbeat = { .service = services[node],
						.instance = instances[node],
						.capacity = CAPACITY,
						.sequence = 1 };

	g_snprintf(instances[node], sizeof(instances[node]), "i-%d", node);
	breaker_options[node].instance = instances[node];
	breaker_options[node].answer = answer;
	breakers[node] = breaker_new(&breaker_options[node]);
	heartbeat.port = breaker_port(breakers[node]);
	g_snprintf(fleet->extra_settings, sizeof(fleet->extra_settings),
		   "\"interface\": \"platform\", \"service\": \"%s\", \"announce_ttl_s\": 60, "
		   "\"workers\": 96, \"retry_ratio\": 1, \"retry_slack\": 10000,",
		   services[node]);
	fleet_add_node(fleet, "dc-a");
	assert_true(platform_send_heartbeat(fleet, node, &heartbeat));
}

static int set_up(void **state)
{
	(void)state;
	runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	plays = g_array_new(FALSE, FALSE, sizeof(struct play));
	fleet = fleet_new_platform();
	for (int i = 0; i < NODES; i++)
		start_node(i);
	if (!platform_publish(fleet, "config", configuration) ||
	    !fleet_wait_live(fleet, NODES, WAIT_MS))
		return 1;
	return wait_for_answer(BOOKS, "/r/0/0/3/9999/x") &&
			       wait_for_answer(FRONT, "/r/0/0/3/9999/x") &&
			       wait_for_answer(LOANS_A, "/s/0/0/3/9999/x")
		       ? 0
		       : 1;
}

static int tear_down(void **state)
{
	(void)state;
	fleet_free(fleet);
	for (int i = 0; i < NODES; i++)
		breaker_free(breakers[i]);
	g_array_unref(plays);
	g_hash_table_destroy(runs);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_unsafe_requests_on_kept_connections),
		cmocka_unit_test(test_unsafe_requests_at_own_target),
		cmocka_unit_test(test_unsafe_requests_beside_another_node),
		cmocka_unit_test(test_safe_requests_at_own_target),
		cmocka_unit_test(test_safe_requests_beside_another_node),
		cmocka_unit_test(test_repeated_safe_requests),
		cmocka_unit_test(test_cut_requests_do_not_run),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	cmocka_set_test_filter(getenv("TEST_ONLY"));
	return cmocka_run_group_tests_name("godwithitchd/broken_answers", tests, set_up, tear_down);
}
