/* Status lines and field names of targets: one that the protocol doesn't allow never reaches a
 * caller as an answer, whether the target is beside the caller's node or beside another one. */
#include "regress/lib/check.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "regress/lib/answercheck.h"
#include "regress/lib/breaker.h"
#include "regress/lib/platform.h"
#include "regress/lib/rawcall.h"

enum { OWN_TARGET, OTHER_NODE, NODES };

enum {
	WAIT_MS = 15000,
	CALL_MS = 2000,
	CHECK_MS = 100,
	CALLS_MAX = 50, /* of a row, until one reaches the target */
	CAPACITY = 16,
};

#define OWN    "X-Request-Id: @\r\nX-Response-Signature: s.@\r\n"
#define FIELDS OWN "Content-Length: 2\r\n\r\nok"
#define OK     "HTTP/1.1 200 OK\r\n"

/* What follows the bytes of a row. */
enum row_ending { ROW_KEPT, ROW_CLOSED, ROW_WITHOUT_END };

/* What a target sends; "@" stands for the id of the request. */
static const struct status_row {
	const char *name;
	const char *bytes;
	int passed_on; /* status that the caller gets; 0: a failure that the node states */
	enum row_ending ending;
} rows[] = {
	{ "000", "HTTP/1.1 000 None\r\n" FIELDS, 0, ROW_KEPT },
	{ "001", "HTTP/1.1 001 One\r\n" FIELDS, 0, ROW_KEPT },
	{ "099", "HTTP/1.1 099 Low\r\n" FIELDS, 0, ROW_KEPT },
	{ "101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n" FIELDS,
	  0, ROW_KEPT },
	{ "interim heads without end", "HTTP/1.1 102 Processing\r\n\r\n", 0, ROW_WITHOUT_END },
	{ "an interim head alone", "HTTP/1.1 199 Interim\r\n" FIELDS, 0, ROW_KEPT },
	{ "600", "HTTP/1.1 600 High\r\n" FIELDS, 0, ROW_KEPT },
	{ "999", "HTTP/1.1 999 High\r\n" FIELDS, 0, ROW_KEPT },
	{ "a plus sign", "HTTP/1.1 +20 OK\r\n" FIELDS, 0, ROW_KEPT },
	{ "a minus sign", "HTTP/1.1 -20 OK\r\n" FIELDS, 0, ROW_KEPT },
	{ "a second blank", "HTTP/1.1  200 OK\r\n" FIELDS, 0, ROW_KEPT },
	{ "a tab", "HTTP/1.1\t200 OK\r\n" FIELDS, 0, ROW_KEPT },
	{ "a blank within", "HTTP/1.1 2 0 OK\r\n" FIELDS, 0, ROW_KEPT },
	{ "two digits", "HTTP/1.1 20 OK\r\n" FIELDS, 0, ROW_KEPT },
	{ "four digits", "HTTP/1.1 2000 OK\r\n" FIELDS, 0, ROW_KEPT },
	{ "a letter", "HTTP/1.1 20x OK\r\n" FIELDS, 0, ROW_KEPT },
	{ "no status", "HTTP/1.1\r\n" FIELDS, 0, ROW_KEPT },
	{ "no reason phrase", "HTTP/1.1 200\r\n" FIELDS, 200, ROW_KEPT },
	{ "an empty reason phrase", "HTTP/1.1 200 \r\n" FIELDS, 200, ROW_KEPT },
	{ "an interim head before", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" FIELDS,
	  200, ROW_KEPT },
	{ "599", "HTTP/1.1 599 Last\r\n" FIELDS, 599, ROW_KEPT },
	{ "a blank within a name", OK "X Y: 1\r\n" FIELDS, 0, ROW_CLOSED },
	{ "a blank behind a name", OK "X-Y : 1\r\n" FIELDS, 0, ROW_CLOSED },
	{ "a tab behind the name of the length", OK OWN "Content-Length\t: 2\r\n\r\nok", 0,
	  ROW_CLOSED },
	{ "a blank before the name of the length", OK OWN " Content-Length: 2\r\n\r\nok", 0,
	  ROW_CLOSED },
	{ "a control byte within a name", OK "X\x01Y: 1\r\n" FIELDS, 0, ROW_CLOSED },
	{ "a carriage return before a name", OK "\rX-Y: 1\r\n" FIELDS, 0, ROW_CLOSED },
	{ "a line feed within a name", OK "X\nY: 1\r\n" FIELDS, 0, ROW_CLOSED },
	{ "a line feed before the length", OK OWN "\nContent-Length: 2\r\n\r\nok", 0, ROW_CLOSED },
	{ "a line feed before a later field", OK OWN "Content-Length: 2\r\n\nX-Y: 1\r\n\r\nok", 0,
	  ROW_CLOSED },
	{ "a line feed at the end of an interim head", "HTTP/1.1 103 Early Hints\r\n\n" OK FIELDS,
	  0, ROW_CLOSED },
};

static struct fleet *fleet;
static struct breaker *breaker;
static GMutex mutex; /* guards runs */
static GHashTable *runs;
static int calls;

static const char configuration[] =
	"{\"version\":3,\"services\":[{\"name\":\"books\",\"health_path\":\"/health\"}],"
	"\"virtual_hosts\":[{\"host\":\"shop.example\",\"paths\":["
	"{\"name\":\"read\",\"path_prefix\":\"/r/\",\"kind\":\"safe\",\"timeout_s\":2,"
	"\"service\":\"books\",\"max_attempts\":1}]}]}";

/* Answers /r/ROW as the row says; another path gets a whole answer. */
static void answer(void *context, const struct breaker_request *request, struct breaker_plan *plan)
{
	const char *row = request->path + strlen("/r/");
	bool in_table = g_ascii_isdigit(*row);
	GString *bytes = g_string_new(in_table ? rows[atoi(row)].bytes : OK FIELDS);

	(void)context;
	g_mutex_lock(&mutex);
	g_hash_table_add(runs, g_strdup(request->id));
	g_mutex_unlock(&mutex);
	g_string_replace(bytes, "@", request->id, 0);
	switch (in_table ? rows[atoi(row)].ending : ROW_KEPT) {
	case ROW_WITHOUT_END:
		breaker_plan_flood(plan, str_from_cstr(bytes->str));
		break;
	case ROW_CLOSED:
		breaker_plan_send(plan, str_from_cstr(bytes->str));
		breaker_plan_step(plan, BREAKER_FIN, 0);
		break;
	case ROW_KEPT:
		breaker_plan_send(plan, str_from_cstr(bytes->str));
		break;
	}
	g_string_free(bytes, TRUE);
}

/* Returns the status of a call, and whether its request has reached the target. */
static int call_status(int node, const char *path, bool *has_run)
{
	struct raw_caller *caller =
		raw_caller_new(atoi(strchr(fleet->nodes[node].caller_address, ':') + 1));
	char id[32];
	struct raw_request request = { .method = "GET",
				       .host = "shop.example",
				       .path = path,
				       .id = id,
				       .timeout_ms = CALL_MS };
	struct raw_answer reply;
	int status;

	g_snprintf(id, sizeof(id), "id-%d", calls++);
	reply = raw_call(caller, &request);
	status = reply.ending == RAW_WHOLE ? reply.status : 0;
	g_mutex_lock(&mutex);
	*has_run = g_hash_table_contains(runs, id);
	g_mutex_unlock(&mutex);
	raw_answer_clear(&reply);
	raw_caller_free(caller);
	return status;
}

static bool is_kept(const struct status_row *row, int status)
{
	if (row->passed_on)
		return status == row->passed_on;
	/* It has run: 503 and 429 would say that it has not. */
	return status == 502 || status == 504;
}

/* Returns whether a call of the row got what it has to. */
static bool play(int node, size_t row)
{
	char path[16];
	bool has_run = false;
	int status = 0;

	g_snprintf(path, sizeof(path), "/r/%zu", row);
	/* A node that found the target broken refuses calls for a while. */
	for (int i = 0; i < CALLS_MAX && !has_run; i++) {
		if (i)
			wait_ms(CHECK_MS);
		status = call_status(node, path, &has_run);
	}
	if (has_run && is_kept(&rows[row], status))
		return true;
	print_message("%s: %s, status %d%s\n",
		      node == OWN_TARGET ? "own target" : "target of another node", rows[row].name,
		      status, has_run ? "" : ", the target did not get it");
	return false;
}

static void play_rows(int node)
{
	int broken = 0;

	for (size_t row = 0; row < G_N_ELEMENTS(rows); row++)
		broken += !play(node, row);
	assert_int_equal(broken, 0);
	assert_int_equal(process_wait(&fleet->nodes[node].daemon, 0), -1);
}

static void test_status_lines_of_own_target(void **state)
{
	(void)state;
	play_rows(OWN_TARGET);
}

static void test_status_lines_of_another_nodes_target(void **state)
{
	(void)state;
	play_rows(OTHER_NODE);
}

static bool wait_for_answer(int node)
{
	bool has_run;

	for (int i = 0; i < WAIT_MS / CHECK_MS; i++) {
		if (call_status(node, "/r/a", &has_run) == 200)
			return true;
		wait_ms(CHECK_MS);
	}
	return false;
}

static int set_up(void **state)
{
	static struct breaker_options options = { .instance = "i-0", .answer = answer };
	struct platform_heartbeat heartbeat = {
		.service = "books", .instance = "i-0", .capacity = CAPACITY, .sequence = 1
	};

	(void)state;
	runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	breaker = breaker_new(&options);
	heartbeat.port = breaker_port(breaker);
	fleet = fleet_new_platform();
	for (int i = 0; i < NODES; i++) {
		g_snprintf(fleet->extra_settings, sizeof(fleet->extra_settings),
			   "\"interface\": \"platform\", \"service\": \"%s\", "
			   "\"announce_ttl_s\": 60,",
			   i == OWN_TARGET ? "books" : "none");
		fleet_add_node(fleet, "dc-a");
	}
	if (!platform_send_heartbeat(fleet, OWN_TARGET, &heartbeat) ||
	    !platform_publish(fleet, "config", configuration) ||
	    !fleet_wait_live(fleet, NODES, WAIT_MS))
		return 1;
	return wait_for_answer(OWN_TARGET) && wait_for_answer(OTHER_NODE) ? 0 : 1;
}

static int tear_down(void **state)
{
	(void)state;
	fleet_free(fleet);
	breaker_free(breaker);
	g_hash_table_destroy(runs);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_status_lines_of_own_target),
		cmocka_unit_test(test_status_lines_of_another_nodes_target),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	cmocka_set_test_filter(getenv("TEST_ONLY"));
	return cmocka_run_group_tests_name("godwithitchd/status_lines", tests, set_up, tear_down);
}
