/* Safe requests with bodies whose kept connection the target closes unanswered: they are sent again
 * on a new one, with the whole body. */
#include "regress/lib/check.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "regress/lib/answercheck.h"
#include "regress/lib/breaker.h"
#include "regress/lib/platform.h"
#include "regress/lib/rawcall.h"

enum { BOOKS, FRONT, NODES }; /* the target of the requests is beside BOOKS */

enum { WAIT_MS = 10000, CALL_MS = 2000, CHECK_MS = 50, CAPACITY = 16, CALLS = 20, KIB = 1 << 10 };

static const char *const services[NODES] = { "books", "front" };

static const char configuration[] =
	"{\"version\":3,\"services\":[{\"name\":\"books\",\"health_path\":\"/health\"}],"
	"\"virtual_hosts\":[{\"host\":\"shop.example\",\"paths\":["
	"{\"name\":\"read\",\"path_prefix\":\"/r/\",\"kind\":\"safe\",\"timeout_s\":2,"
	"\"service\":\"books\",\"max_attempts\":2}]}]}";

static const struct body_row {
	const char *name;
	enum raw_body kind;
	size_t bytes;
	bool reuses; /* its request uses kept connections */
} bodies[] = {
	{ "no body", RAW_NO_BODY, 0, true },
	{ "length", RAW_WITH_LENGTH, 20, true },
	{ "length, several reads", RAW_WITH_LENGTH, 40 * KIB, true },
	{ "length, the largest that is kept", RAW_WITH_LENGTH, 64 * KIB, true },
	{ "length, larger", RAW_WITH_LENGTH, 100 * KIB, false },
	{ "chunks", RAW_IN_CHUNKS, 20, true },
	{ "chunks, several reads", RAW_IN_CHUNKS, 40 * KIB, true },
};

static struct fleet *fleet;
static struct breaker *breakers[NODES];
static struct breaker_options breaker_options[NODES];
static gint closed;  /* connections that ended without an answer to a whole request */
static gint altered; /* requests that arrived with another body */

/* Answers the first request of each connection and closes it behind the second. */
static void answer(void *context, const struct breaker_request *request, struct breaker_plan *plan)
{
	const struct answer_shape shape = {
		.name = "200", .status = 200, .framing = RAW_BY_LENGTH, .body_bytes = 24
	};
	size_t expected = (size_t)atoi(request->path + strlen("/r/"));
	struct strbuf text = { 0 };

	(void)context;
	g_atomic_int_add(&altered, request->body_altered || request->body_bytes != expected);
	if (request->on_kept_connection) {
		g_atomic_int_inc(&closed);
		breaker_plan_step(plan, BREAKER_FIN, 0);
		return;
	}
	answer_format(&shape, request->id, &text);
	breaker_plan_send(plan, strbuf_str(&text));
	strbuf_clear(&text);
}

static int call_status(struct raw_caller *caller, const struct body_row *body, int number)
{
	char path[32];
	char id[32];
	struct raw_request request = { .method = body->kind == RAW_NO_BODY ? "GET" : "POST",
				       .host = "shop.example",
				       .path = path,
				       .id = id,
				       .body = body->kind,
				       .body_bytes = body->bytes,
				       .timeout_ms = CALL_MS };
	struct raw_answer reply;
	int status;

	g_snprintf(path, sizeof(path), "/r/%zu", body->bytes);
	g_snprintf(id, sizeof(id), "id-%d", number);
	reply = raw_call(caller, &request);
	status = reply.ending == RAW_WHOLE ? reply.status : 0;
	raw_answer_clear(&reply);
	return status;
}

static struct raw_caller *new_caller(int node)
{
	return raw_caller_new(atoi(strchr(fleet->nodes[node].caller_address, ':') + 1));
}

/* Returns how many calls with the body were not answered with 200. */
static int count_failed(int entry, const struct body_row *body)
{
	struct raw_caller *caller = new_caller(entry);
	int failed = 0;

	g_atomic_int_set(&closed, 0);
	g_atomic_int_set(&altered, 0);
	for (int i = 0; i < CALLS; i++)
		failed += call_status(caller, body, i) != 200;
	raw_caller_free(caller);
	print_message("%s: %d of %d calls failed, %d connections closed, %d bodies altered\n",
		      body->name, failed, CALLS, g_atomic_int_get(&closed),
		      g_atomic_int_get(&altered));
	return failed;
}

static void check_bodies(int entry)
{
	int failed = 0;
	int altered_bodies = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		failed += count_failed(entry, &bodies[i]);
		altered_bodies += g_atomic_int_get(&altered);
		if (bodies[i].reuses)
			assert_true(g_atomic_int_get(&closed) * 2 >= CALLS);
	}
	assert_int_equal(failed, 0);
	assert_int_equal(altered_bodies, 0);
}

/* The node could not send the body again: such calls were answered with 502. */
static void test_bodies_are_sent_again_to_own_target(void **state)
{
	(void)state;
	check_bodies(BOOKS);
}

static void test_bodies_are_sent_again_beside_another_node(void **state)
{
	(void)state;
	check_bodies(FRONT);
}

static void start_node(int node)
{
	static const char *const instances[NODES] = { "i-0", "i-1" };
	struct platform_heartbeat heartbeat = { .service = services[node],
						.instance = instances[node],
						.capacity = CAPACITY,
						.sequence = 1 };

	breaker_options[node] =
		(struct breaker_options){ .instance = instances[node], .answer = answer };
	breakers[node] = breaker_new(&breaker_options[node]);
	heartbeat.port = breaker_port(breakers[node]);
	g_snprintf(fleet->extra_settings, sizeof(fleet->extra_settings),
		   "\"interface\": \"platform\", \"service\": \"%s\", \"announce_ttl_s\": 60,",
		   services[node]);
	fleet_add_node(fleet, "dc-a");
	assert_true(platform_send_heartbeat(fleet, node, &heartbeat));
}

static bool wait_for_answer(int node)
{
	struct raw_caller *caller = new_caller(node);
	bool answered = false;

	for (int i = 0; i < WAIT_MS / CHECK_MS && !answered; i++) {
		answered = call_status(caller, &bodies[0], i) == 200;
		if (!answered)
			wait_ms(CHECK_MS);
	}
	raw_caller_free(caller);
	return answered;
}

static int set_up(void **state)
{
	(void)state;
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
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bodies_are_sent_again_to_own_target),
		cmocka_unit_test(test_bodies_are_sent_again_beside_another_node),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	cmocka_set_test_filter(getenv("TEST_ONLY"));
	return cmocka_run_group_tests_name("godwithitchd/kept_connections", tests, set_up,
					   tear_down);
}
