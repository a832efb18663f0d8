/* A target that falls silent, so that its accept queue fills: calls to it must not hold up its
 * node's other calls. */
#include "regress/lib/check.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "regress/lib/answercheck.h"
#include "regress/lib/breaker.h"
#include "regress/lib/platform.h"
#include "regress/lib/rawcall.h"

/* The silent target is beside the first node. The others send calls to it as well: after a call
 * that did not reach it a node avoids it for a second. */
enum { DARK, BOOKS, SHOP, NODES };

enum {
	WAIT_MS = 10000,
	CALLERS = 24,
	MANY_CALLERS = 240,
	CALL_MS = 1500,
	CHECKS = 60,
	CHECK_MS = 100,
	PAUSE_MS = 20, /* between calls of one caller */
	CAPACITY = 16,
	WORKERS = 16,
};

#define ANSWER_MAX_US (1 * US_PER_S)
#define WAITED_US     (300 * US_PER_MS)

static struct fleet *fleet;
static struct breaker *breakers[NODES];
static struct breaker_options breaker_options[NODES];
static gint stopping;
static gint dark_calls;
static gint waited; /* calls that waited for the silent target */
static gint resets; /* the target resets its connections */

static const char configuration[] =
	"{\"version\":3,\"services\":[{\"name\":\"books\",\"health_path\":\"/health\"},"
	"{\"name\":\"dark\",\"health_path\":\"/health\"},"
	"{\"name\":\"shop\",\"health_path\":\"/health\"}],"
	"\"virtual_hosts\":[{\"host\":\"shop.example\",\"paths\":["
	"{\"name\":\"read\",\"path_prefix\":\"/r/\",\"kind\":\"safe\",\"timeout_s\":2,"
	"\"service\":\"books\",\"max_attempts\":2},"
	"{\"name\":\"dark\",\"path_prefix\":\"/dark/\",\"kind\":\"safe\",\"timeout_s\":2,"
	"\"service\":\"dark\",\"max_attempts\":2}]}]}";

static void answer(void *context, const struct breaker_request *request, struct breaker_plan *plan)
{
	const struct answer_shape shape = {
		.name = "200", .status = 200, .framing = RAW_BY_LENGTH, .body_bytes = 24
	};
	struct strbuf text = { 0 };

	(void)context;
	if (g_atomic_int_get(&resets) && g_str_has_prefix(request->path, "/dark/")) {
		breaker_plan_step(plan, BREAKER_RESET, 0);
		return;
	}
	answer_format(&shape, request->id, &text);
	breaker_plan_send(plan, strbuf_str(&text));
	strbuf_clear(&text);
}

static int call_status(struct raw_caller *caller, const char *path, const char *id)
{
	struct raw_request request = { .method = "GET",
				       .host = "shop.example",
				       .path = path,
				       .id = id,
				       .timeout_ms = CALL_MS };
	struct raw_answer reply = raw_call(caller, &request);
	int status = reply.status;

	raw_answer_clear(&reply);
	return status;
}

static struct raw_caller *new_caller(int node)
{
	return raw_caller_new(atoi(strchr(fleet->nodes[node].caller_address, ':') + 1));
}

static gpointer call_dark_target(gpointer data)
{
	struct raw_caller *caller = new_caller(GPOINTER_TO_INT(data));

	while (!g_atomic_int_get(&stopping)) {
		char id[32];
		int64_t started_us = clock_now().mono_us;

		g_snprintf(id, sizeof(id), "dark-%d", g_atomic_int_add(&dark_calls, 1));
		call_status(caller, "/dark/a", id);
		g_atomic_int_add(&waited, clock_now().mono_us - started_us > WAITED_US);
		wait_ms(PAUSE_MS);
	}
	raw_caller_free(caller);
	return NULL;
}

static bool control_answers(void)
{
	char url[64];
	struct http_reply reply;
	bool answered;

	g_snprintf(url, sizeof(url), "http://%s/v1/status", fleet->nodes[DARK].control_address);
	reply = http_get(url);
	answered = reply.status == 200 && reply.elapsed_us <= ANSWER_MAX_US;
	http_reply_clear(&reply);
	return answered;
}

static bool wait_for_answer(const char *path)
{
	struct raw_caller *caller = new_caller(DARK);
	bool answered = false;

	for (int i = 0; i < WAIT_MS / CHECK_MS && !answered; i++) {
		answered = call_status(caller, path, "first") == 200;
		if (!answered)
			wait_ms(CHECK_MS);
	}
	raw_caller_free(caller);
	return answered;
}

/* How calls to another target and the control endpoint fared beside those to the dark one. */
struct beside {
	int64_t slowest_us;
	int failed;
	int mute;
};

static struct beside call_beside(int callers)
{
	struct raw_caller *caller = new_caller(DARK);
	GThread **threads = g_new0(GThread *, callers);
	struct beside beside = { 0 };

	g_atomic_int_set(&stopping, 0);
	for (int i = 0; i < callers; i++)
		threads[i] = g_thread_new("caller", call_dark_target, GINT_TO_POINTER(i % NODES));
	for (int i = 0; i < CHECKS; i++) {
		int64_t started_us = clock_now().mono_us;
		char id[32];

		g_snprintf(id, sizeof(id), "read-%d", i);
		beside.failed += call_status(caller, "/r/a", id) != 200;
		beside.slowest_us = MAX(beside.slowest_us, clock_now().mono_us - started_us);
		beside.mute += !control_answers();
		wait_ms(CHECK_MS);
	}
	g_atomic_int_set(&stopping, 1);
	for (int i = 0; i < callers; i++)
		g_thread_join(threads[i]);
	raw_caller_free(caller);
	g_free(threads);
	return beside;
}

static void check_beside(const struct beside *beside)
{
	print_message(
		"of %d calls to another target %d failed, the slowest took %lld ms; the "
		"control endpoint was late %d times; %d calls to the dark target, %d waited\n",
		CHECKS, beside->failed, beside->slowest_us / US_PER_MS, beside->mute, dark_calls,
		waited);
	assert_int_equal(beside->failed, 0);
	assert_int_equal(beside->mute, 0);
	assert_true(beside->slowest_us <= ANSWER_MAX_US);
}

/* A call whose connection broke keeps its worker for 50 ms or more, to see whether the target has
 * ended: other calls must find a free one. */
static void test_resetting_target_does_not_hold_up_other_calls(void **state)
{
	struct beside beside;

	(void)state;
	g_atomic_int_set(&resets, 1);
	beside = call_beside(MANY_CALLERS);
	check_beside(&beside);
}

/* The workers waited in connect(), and calls to other targets got no answer. */
static void test_silent_target_does_not_hold_up_other_calls(void **state)
{
	struct beside beside;

	(void)state;
	g_atomic_int_set(&resets, 0);
	assert_true(wait_for_answer("/dark/a"));
	g_atomic_int_set(&waited, 0);
	breaker_fall_silent(breakers[DARK]);
	beside = call_beside(CALLERS);
	check_beside(&beside);
	/* A target that its node does not use shows nothing. */
	assert_true(waited > CALLERS);
}

static void start_node(int node, const char *service, const char *instance)
{
	struct platform_heartbeat heartbeat = {
		.service = service, .instance = instance, .capacity = CAPACITY, .sequence = 1
	};

	breaker_options[node] = (struct breaker_options){ .instance = instance, .answer = answer };
	breakers[node] = breaker_new(&breaker_options[node]);
	heartbeat.port = breaker_port(breakers[node]);
	g_snprintf(fleet->extra_settings, sizeof(fleet->extra_settings),
		   "\"interface\": \"platform\", \"service\": \"%s\", \"announce_ttl_s\": 60, "
		   "\"workers\": %d,",
		   service, WORKERS);
	fleet_add_node(fleet, "dc-a");
	assert_true(platform_send_heartbeat(fleet, node, &heartbeat));
}

/* The target that falls silent is in use before: a node uses none that never answered. */
static int set_up(void **state)
{
	(void)state;
	fleet = fleet_new_platform();
	start_node(DARK, "dark", "i-0");
	start_node(BOOKS, "books", "i-1");
	start_node(SHOP, "shop", "i-2");
	if (!platform_publish(fleet, "config", configuration) ||
	    !fleet_wait_live(fleet, NODES, WAIT_MS))
		return 1;
	return wait_for_answer("/r/a") && wait_for_answer("/dark/a") ? 0 : 1;
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
		cmocka_unit_test(test_resetting_target_does_not_hold_up_other_calls),
		cmocka_unit_test(test_silent_target_does_not_hold_up_other_calls),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	cmocka_set_test_filter(getenv("TEST_ONLY"));
	return cmocka_run_group_tests_name("godwithitchd/silent_target", tests, set_up, tear_down);
}
