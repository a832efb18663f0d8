/* Upstreams that send an answer a second time, late and cut, on a kept connection on which the next
 * request has begun. */
#include "regress/lib/check.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "regress/lib/answercheck.h"
#include "regress/lib/breaker.h"
#include "regress/lib/platform.h"

#define HOST "shop.example"

enum { BOOKS, FRONT, NODES }; /* the only target of "books" is beside the first node */

enum { WAIT_MS = 10000, CAPACITY = 64, TIMEOUT_MS = 2000, BODY_BYTES = 20, PAUSE_MS = 3 };

/* Answers that come twice. */
static const struct answer_shape first_shapes[] = {
	{ .name = "200", .status = 200, .framing = RAW_BY_LENGTH, .body_bytes = 24 },
	{ .name = "200, length first",
	  .status = 200,
	  .framing = RAW_BY_LENGTH,
	  .framing_first = true,
	  .body_bytes = 24 },
	{ .name = "refusal",
	  .status = 503,
	  .framing = RAW_BY_LENGTH,
	  .unsigned_ = true,
	  .not_executed = true,
	  .refusal_first = true },
};

/* Answers to the next request. */
static const struct answer_shape next_shapes[] = {
	{ .name = "200", .status = 200, .framing = RAW_BY_LENGTH, .body_bytes = 31 },
	{ .name = "500", .status = 500, .framing = RAW_BY_LENGTH, .body_bytes = 17 },
};

enum { FIRST_SHAPES = G_N_ELEMENTS(first_shapes), NEXT_SHAPES = G_N_ELEMENTS(next_shapes) };

/* What follows the cut copy. */
enum copy_end { COPY_FIN, COPY_RESET, COPY_NEXT_ANSWER, COPY_ENDS, COPY_NONE };

static const char *const end_names[COPY_ENDS] = { "FIN", "reset", "the next answer" };

static const struct hop_row {
	const char *name;
	int entry;
} hops[] = { { "own target", BOOKS }, { "another node", FRONT } };

/* The request that meets the copy. */
struct next_row {
	const char *name;
	bool unsafe;
	enum raw_body body;
	int pause_ms; /* the copy comes within the body */
	size_t stride;
	/* Only copies that are cut before the id and joined with the next answer. One with another
	 * id makes the node use new connections for unsafe requests for ten seconds. */
	bool without_id;
};

struct tally {
	int pairs;
	int mixed;
	int mixed_with_bytes;
	int refused;
	int twice;
	int cut_looks_whole;
	int first_lost; /* first answers that did not arrive whole */
	int unanswered;
};

static struct fleet *fleet;
static struct breaker *breakers[NODES];
static struct breaker_options breaker_options[NODES];
static GMutex mutex;
static GHashTable *runs; /* number of runs by id */
static int next_id;

static int run_count(const char *id)
{
	int count;

	g_mutex_lock(&mutex);
	count = GPOINTER_TO_INT(g_hash_table_lookup(runs, id));
	g_mutex_unlock(&mutex);
	return count;
}

static void record_run(const char *id)
{
	int count = run_count(id);

	g_mutex_lock(&mutex);
	g_hash_table_insert(runs, g_strdup(id), GINT_TO_POINTER(count + 1));
	g_mutex_unlock(&mutex);
}

/* Adds the steps that send the copy once the next request has begun. */
static void add_copy(struct breaker_plan *plan, struct str text, enum copy_end end, bool interim)
{
	struct strbuf copy = { 0 };

	if (interim)
		strbuf_add(&copy, STR("HTTP/1.1 100 Continue\r\n\r\n"));
	strbuf_add(&copy, text);
	breaker_plan_step(plan, BREAKER_WAIT_REQUEST, 0);
	breaker_plan_send(plan, strbuf_str(&copy));
	strbuf_clear(&copy);
	switch (end) {
	case COPY_FIN:
		breaker_plan_step(plan, BREAKER_FIN, 0);
		return;
	case COPY_RESET:
		breaker_plan_step(plan, BREAKER_RESET, 0);
		return;
	case COPY_NEXT_ANSWER:
		return;
	case COPY_ENDS:
	case COPY_NONE:
		break;
	}
	g_assert_not_reached();
}

/* Answers a request to /x/SHAPE/END/INTERIM/SENT/ID as its path asks. */
static void answer(void *context, const struct breaker_request *request, struct breaker_plan *plan)
{
	char **words = g_strsplit(request->path, "/", -1);
	enum copy_end end = (enum copy_end)atoi(words[3]);
	const struct answer_shape *shape =
		end == COPY_NONE ? &next_shapes[atoi(words[2])] : &first_shapes[atoi(words[2])];
	struct strbuf text = { 0 };

	(void)context;
	if (!shape->not_executed)
		record_run(request->id);
	answer_format(shape, request->id, &text);
	breaker_plan_send(plan, strbuf_str(&text));
	if (end != COPY_NONE)
		add_copy(plan, str_sub(strbuf_str(&text), 0, (size_t)atoi(words[5])), end,
			 atoi(words[4]) != 0);
	strbuf_clear(&text);
	g_strfreev(words);
}

static struct answer_findings check_answer(const struct raw_answer *reply,
					   const struct answer_shape *shape, const char *id,
					   bool unsafe, bool sent_whole)
{
	struct answered_request answered = { .shape = shape,
					     .id = id,
					     .unsafe = unsafe,
					     .sent_whole = sent_whole,
					     .runs = run_count(id),
					     .answer = reply };

	return answer_check(&answered);
}

static void send_first(struct raw_caller *caller, int shape, const char *path, const char *id,
		       struct tally *tally)
{
	struct raw_request request = {
		.method = "GET", .host = HOST, .path = path, .id = id, .timeout_ms = TIMEOUT_MS
	};
	struct raw_answer reply = raw_call(caller, &request);
	struct answer_findings findings =
		check_answer(&reply, &first_shapes[shape], id, false, true);

	tally->mixed += findings.mixed;
	tally->first_lost += findings.not_passed_on;
	raw_answer_clear(&reply);
}

static void send_next(struct raw_caller *caller, const struct next_row *row, int shape,
		      struct tally *tally, const char *what)
{
	char path[BREAKER_PATH_MAX];
	char id[32];
	struct raw_request request = { .method = row->body == RAW_NO_BODY && !row->unsafe ? "GET"
											  : "POST",
				       .host = HOST,
				       .path = path,
				       .id = id,
				       .body = row->body,
				       .body_bytes = BODY_BYTES,
				       .pause_ms = row->pause_ms,
				       .timeout_ms = TIMEOUT_MS };
	struct raw_answer reply;
	struct answer_findings findings;

	g_snprintf(id, sizeof(id), "id-%06d", next_id++);
	g_snprintf(path, sizeof(path), "/%c/%d/%d/0/0/%s", row->unsafe ? 'w' : 'r', shape,
		   (int)COPY_NONE, id);
	reply = raw_call(caller, &request);
	findings = check_answer(&reply, &next_shapes[shape], id, row->unsafe, false);
	tally->pairs++;
	tally->mixed += findings.mixed;
	tally->mixed_with_bytes += findings.mixed && reply.body.len;
	tally->refused += findings.refused;
	tally->twice += findings.twice;
	tally->cut_looks_whole += findings.cut_looks_whole;
	tally->unanswered += reply.ending == RAW_TIMED_OUT;
	if (getenv("GODWITHITCH_SHOW") && (findings.mixed || findings.refused || findings.twice))
		print_message("%s, next %s: %d, id %s for %s, signature \"%s\", %zu bytes, "
			      "ending %d, runs %d\n",
			      what, next_shapes[shape].name, reply.status, reply.id, id,
			      reply.signature, reply.body.len, reply.ending, run_count(id));
	raw_answer_clear(&reply);
}

/* Returns the bytes of the longest copy that is played. */
static size_t longest_copy(const struct next_row *row, int shape)
{
	struct strbuf text = { 0 };
	size_t longest = answer_format(&first_shapes[shape], "id-000000", &text).whole;

	strbuf_add(&text, (struct str){ "", 1 });
	if (row->without_id)
		longest = (size_t)(strstr(text.data, "X-Request-Id:") - text.data);
	strbuf_clear(&text);
	return longest;
}

/* Plays a copy cut after each of its bytes. */
static void play_cuts(struct raw_caller *caller, const struct next_row *row, int shape,
		      enum copy_end end, bool interim, struct tally *tally)
{
	size_t longest = longest_copy(row, shape);

	for (size_t sent = 1; sent <= longest; sent += row->stride) {
		for (int next = 0; next < NEXT_SHAPES; next++) {
			char path[BREAKER_PATH_MAX];
			char id[32];
			char what[96];

			g_snprintf(id, sizeof(id), "id-%06d", next_id++);
			g_snprintf(path, sizeof(path), "/r/%d/%d/%d/%zu/%s", shape, (int)end,
				   (int)interim, sent, id);
			g_snprintf(what, sizeof(what), "%s, %zu bytes of a second %s%s and %s",
				   row->name, sent, interim ? "100 and " : "",
				   first_shapes[shape].name, end_names[end]);
			send_first(caller, shape, path, id, tally);
			send_next(caller, row, next, tally, what);
		}
	}
}

static void add_tally(struct tally *sum, const struct tally *tally)
{
	sum->pairs += tally->pairs;
	sum->mixed += tally->mixed;
	sum->mixed_with_bytes += tally->mixed_with_bytes;
	sum->refused += tally->refused;
	sum->twice += tally->twice;
	sum->cut_looks_whole += tally->cut_looks_whole;
	sum->first_lost += tally->first_lost;
	sum->unanswered += tally->unanswered;
}

static int requests_awaited(void)
{
	return breaker_requests_awaited(breakers[BOOKS]);
}

/* Plays all copies before requests of one kind, and checks that no rule was broken. */
static void play_row(const struct next_row *row)
{
	struct tally sum = { 0 };
	int awaited_before = requests_awaited();

	for (size_t i = 0; i < G_N_ELEMENTS(hops); i++) {
		struct raw_caller *caller = raw_caller_new(
			atoi(strchr(fleet->nodes[hops[i].entry].caller_address, ':') + 1));

		for (int play = 0; play < FIRST_SHAPES * COPY_ENDS * 2; play++) {
			struct tally tally = { 0 };
			int shape = play / (COPY_ENDS * 2);
			enum copy_end end = (enum copy_end)(play / 2 % COPY_ENDS);
			bool interim = play % 2 == 1;

			if (row->without_id && end != COPY_NEXT_ANSWER)
				continue;
			play_cuts(caller, row, shape, end, interim, &tally);
			if (tally.mixed || tally.refused || tally.twice || tally.first_lost)
				print_message("  %s, %s%s and %s: MIXED %d (with bytes of a body "
					      "%d), REFUSED %d, TWICE %d, first answers lost %d\n",
					      hops[i].name, interim ? "100 and " : "",
					      first_shapes[shape].name, end_names[end], tally.mixed,
					      tally.mixed_with_bytes, tally.refused, tally.twice,
					      tally.first_lost);
			add_tally(&sum, &tally);
		}
		raw_caller_free(caller);
	}
	print_message("%s: %d pairs, %d copies met the next request; MIXED %d (with bytes of a "
		      "body %d), REFUSED %d, TWICE %d, failures cut but complete %d, first answers "
		      "lost %d, not answered in time %d\n",
		      row->name, sum.pairs, requests_awaited() - awaited_before, sum.mixed,
		      sum.mixed_with_bytes, sum.refused, sum.twice, sum.cut_looks_whole,
		      sum.first_lost, sum.unanswered);
	assert_int_equal(sum.mixed, 0);
	assert_int_equal(sum.refused, 0);
	assert_int_equal(sum.twice, 0);
	assert_int_equal(sum.cut_looks_whole, 0);
	assert_int_equal(sum.first_lost, 0);
	assert_int_equal(sum.unanswered, 0);
}

static void test_copy_before_a_safe_request(void **state)
{
	static const struct next_row row = { "safe, no body", false, RAW_NO_BODY, 0, 1, false };

	(void)state;
	play_row(&row);
}

static void test_copy_before_an_unsafe_request(void **state)
{
	static const struct next_row row = { "unsafe, no body", true, RAW_NO_BODY, 0, 1, true };

	(void)state;
	play_row(&row);
}

static void test_copy_within_a_body_with_length(void **state)
{
	static const struct next_row row = {
		"safe, length, copy within the body", false, RAW_WITH_LENGTH, PAUSE_MS, 7, false
	};

	(void)state;
	play_row(&row);
}

static void test_copy_within_a_body_in_chunks(void **state)
{
	static const struct next_row row = {
		"safe, chunks, copy within the body", false, RAW_IN_CHUNKS, PAUSE_MS, 7, false
	};

	(void)state;
	play_row(&row);
}

static void test_copy_within_the_body_of_an_unsafe_request(void **state)
{
	static const struct next_row row = {
		"unsafe, chunks, copy within the body", true, RAW_IN_CHUNKS, PAUSE_MS, 1, true
	};

	(void)state;
	play_row(&row);
}

static const char configuration[] =
	"{\"version\":3,\"services\":[{\"name\":\"books\",\"health_path\":\"/health\"}],"
	"\"virtual_hosts\":[{\"host\":\"" HOST "\",\"paths\":["
	"{\"name\":\"read\",\"path_prefix\":\"/r/\",\"kind\":\"safe\",\"timeout_s\":2,"
	"\"service\":\"books\",\"max_attempts\":2},"
	"{\"name\":\"write\",\"path_prefix\":\"/w/\",\"kind\":\"unsafe\",\"timeout_s\":2,"
	"\"service\":\"books\",\"max_attempts\":2}]}]}";

static bool wait_for_answer(int node)
{
	struct raw_caller *caller =
		raw_caller_new(atoi(strchr(fleet->nodes[node].caller_address, ':') + 1));
	struct raw_request request = { .method = "GET",
				       .host = HOST,
				       .path = "/r/0/4/0/0/first",
				       .id = "first",
				       .timeout_ms = 1000 };
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
	struct platform_heartbeat heartbeat = { .service = node == BOOKS ? "books" : "front",
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
		   heartbeat.service);
	fleet_add_node(fleet, "dc-a");
	assert_true(platform_send_heartbeat(fleet, node, &heartbeat));
}

static int set_up(void **state)
{
	(void)state;
	runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet = fleet_new_platform();
	for (int i = 0; i < NODES; i++)
		start_node(i);
	if (!platform_publish(fleet, "config", configuration) ||
	    !fleet_wait_live(fleet, NODES, WAIT_MS))
		return 1;
	return wait_for_answer(BOOKS) && wait_for_answer(FRONT) ? 0 : 1;
}

static int tear_down(void **state)
{
	(void)state;
	fleet_free(fleet);
	for (int i = 0; i < NODES; i++)
		breaker_free(breakers[i]);
	g_hash_table_destroy(runs);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_copy_before_an_unsafe_request),
		cmocka_unit_test(test_copy_within_the_body_of_an_unsafe_request),
		cmocka_unit_test(test_copy_before_a_safe_request),
		cmocka_unit_test(test_copy_within_a_body_with_length),
		cmocka_unit_test(test_copy_within_a_body_in_chunks),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	cmocka_set_test_filter(getenv("TEST_ONLY"));
	return cmocka_run_group_tests_name("godwithitchd/second_answers", tests, set_up, tear_down);
}
