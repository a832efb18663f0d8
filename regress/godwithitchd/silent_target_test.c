/* A target whose accept queue is full: calls to it must not hold up its node's other calls. */
#include "regress/lib/check.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "regress/lib/answercheck.h"
#include "regress/lib/breaker.h"
#include "regress/lib/listen.h"
#include "regress/lib/platform.h"
#include "regress/lib/rawcall.h"

enum { DARK, BOOKS, NODES }; /* the silent target is beside the first node */

enum {
	WAIT_MS = 10000,
	CALLERS = 24,
	CALL_MS = 1500,
	CHECKS = 30,
	CHECK_MS = 100,
	PAUSE_MS = 20, /* between calls of one caller */
	CAPACITY = 16,
	WORKERS = 16,
};

#define ANSWER_MAX_US (1 * US_PER_S)

static struct fleet *fleet;
static struct silent_listener listener;
static struct breaker *breaker;
static struct breaker_options breaker_options;
static gint stopping;
static gint dark_calls;

static const char configuration[] =
	"{\"version\":3,\"services\":[{\"name\":\"books\",\"health_path\":\"/health\"},"
	"{\"name\":\"dark\",\"health_path\":\"/health\"}],"
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

static struct raw_caller *new_caller(void)
{
	return raw_caller_new(atoi(strchr(fleet->nodes[DARK].caller_address, ':') + 1));
}

static gpointer call_silent_target(gpointer data)
{
	struct raw_caller *caller = new_caller();

	(void)data;
	while (!g_atomic_int_get(&stopping)) {
		char id[32];

		g_snprintf(id, sizeof(id), "dark-%d", g_atomic_int_add(&dark_calls, 1));
		call_status(caller, "/dark/a", id);
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

/* The workers waited in connect(), and calls to other targets got no answer. */
static void test_silent_target_does_not_hold_up_other_calls(void **state)
{
	struct raw_caller *caller = new_caller();
	GThread *threads[CALLERS];
	int64_t slowest_us = 0;
	int failed = 0;
	int mute = 0;

	(void)state;
	for (int i = 0; i < CALLERS; i++)
		threads[i] = g_thread_new("caller", call_silent_target, NULL);
	for (int i = 0; i < CHECKS; i++) {
		int64_t started_us = clock_now().mono_us;
		char id[32];

		g_snprintf(id, sizeof(id), "read-%d", i);
		failed += call_status(caller, "/r/a", id) != 200;
		slowest_us = MAX(slowest_us, clock_now().mono_us - started_us);
		mute += !control_answers();
		wait_ms(CHECK_MS);
	}
	g_atomic_int_set(&stopping, 1);
	for (int i = 0; i < CALLERS; i++)
		g_thread_join(threads[i]);
	raw_caller_free(caller);
	if (failed || mute || slowest_us > ANSWER_MAX_US)
		fail_msg("of %d calls to another target %d failed, the slowest took %ld ms; the "
			 "control endpoint was late %d times; %d calls to the silent target",
			 CHECKS, failed, slowest_us / US_PER_MS, mute, dark_calls);
	assert_true(dark_calls > CALLERS);
}

static bool wait_for_books(void)
{
	struct raw_caller *caller = new_caller();
	bool answered = false;

	for (int i = 0; i < WAIT_MS / CHECK_MS && !answered; i++) {
		answered = call_status(caller, "/r/a", "first") == 200;
		if (!answered)
			wait_ms(CHECK_MS);
	}
	raw_caller_free(caller);
	return answered;
}

static void start_node(int node, const char *service, const char *instance, int port)
{
	struct platform_heartbeat heartbeat = { .service = service,
						.instance = instance,
						.port = port,
						.capacity = CAPACITY,
						.sequence = 1 };

	g_snprintf(fleet->extra_settings, sizeof(fleet->extra_settings),
		   "\"interface\": \"platform\", \"service\": \"%s\", \"announce_ttl_s\": 60, "
		   "\"workers\": %d,",
		   service, WORKERS);
	fleet_add_node(fleet, "dc-a");
	assert_true(platform_send_heartbeat(fleet, node, &heartbeat));
}

static int set_up(void **state)
{
	(void)state;
	fleet = fleet_new_platform();
	silent_listener_open(&listener);
	breaker_options = (struct breaker_options){ .instance = "i-1", .answer = answer };
	breaker = breaker_new(&breaker_options);
	start_node(DARK, "dark", "i-0", listener.port);
	start_node(BOOKS, "books", "i-1", breaker_port(breaker));
	if (!platform_publish(fleet, "config", configuration) ||
	    !fleet_wait_live(fleet, NODES, WAIT_MS))
		return 1;
	return wait_for_books() ? 0 : 1;
}

static int tear_down(void **state)
{
	(void)state;
	fleet_free(fleet);
	breaker_free(breaker);
	silent_listener_close(&listener);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_silent_target_does_not_hold_up_other_calls),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	cmocka_set_test_filter(getenv("TEST_ONLY"));
	return cmocka_run_group_tests_name("godwithitchd/silent_target", tests, set_up, tear_down);
}
