/* The platform's documents and heartbeats, and what is no such thing. */
#include "regress/lib/check.h"

#include <string.h>

#include "operator/parse.h"
#include "platform/document.h"
#include "platform/heartbeat.h"

#define SERVICES "\"services\":[{\"name\":\"s\",\"health_path\":\"/health\"},{\"name\":\"t\"}]"
#define TIMES	 "\"timeout_s\":1.2,\"target_latency_s\":0.6,\"priority\":1,\"max_attempts\":2"
#define PATH                                                                                       \
	"{\"name\":\"r\",\"path_prefix\":\"/a/\",\"kind\":\"safe\",\"service\":\"s\"," TIMES "}"
#define HOSTS(path) "\"virtual_hosts\":[{\"host\":\"h.example\",\"paths\":[" path "]}]"

struct row {
	const char *what;
	const char *text;
	const char *error; /* NULL: it is good */
};

static const struct row rows[] = {
	{ "a good one", "{\"version\":7," SERVICES "," HOSTS(PATH) "}", NULL },
	{ "weights",
	  "{\"version\":7," SERVICES
	  "," HOSTS("{\"name\":\"r\",\"path_prefix\":\"/a/\",\"kind\":\"unsafe\","
		    "\"weighted_services\":[{\"service\":\"s\",\"weight\":9},{\"service\":\"t\","
		    "\"weight\":1}]," TIMES "}") "}",
	  NULL },
	{ "fields that nobody knows yet",
	  "{\"version\":7,\"later\":[1]," SERVICES "," HOSTS(PATH) "}", NULL },
	{ "cut short", "{\"version\":7," SERVICES, "config:1" },
	{ "no version", "{" SERVICES "," HOSTS(PATH) "}", "\"version\" is missing" },
	{ "an unknown service",
	  "{\"version\":7," SERVICES
	  "," HOSTS("{\"name\":\"r\",\"path_prefix\":\"/a/"
		    "\",\"kind\":\"safe\",\"service\":\"x\"," TIMES "}") "}",
	  "the service is not declared" },
	{ "a bare prefix",
	  "{\"version\":7," SERVICES
	  "," HOSTS("{\"name\":\"r\",\"path_prefix\":\"/"
		    "a\",\"kind\":\"safe\",\"service\":\"s\"," TIMES "}") "}",
	  "ends with a slash" },
	{ "no host", "{\"version\":7," SERVICES ",\"virtual_hosts\":[{\"paths\":[" PATH "]}]}",
	  "\"host\" is missing" },
	{ "no time-out",
	  "{\"version\":7," SERVICES "," HOSTS("{\"name\":\"r\",\"path_prefix\":\"/a/"
					       "\",\"kind\":\"safe\",\"service\":\"s\"}") "}",
	  "a time is missing" },
	{ "a part without a weight",
	  "{\"version\":7," SERVICES
	  "," HOSTS("{\"name\":\"r\",\"path_prefix\":\"/a/\",\"kind\":\"safe\","
		    "\"weighted_services\":[{\"service\":\"s\"}]," TIMES "}") "}",
	  "\"weight\" is missing" },
	{ "an unknown kind",
	  "{\"version\":7," SERVICES
	  "," HOSTS("{\"name\":\"r\",\"path_prefix\":\"/a/"
		    "\",\"kind\":\"odd\",\"service\":\"s\"," TIMES "}") "}",
	  "the kind is unknown" },
	{ "a number for a list", "{\"version\":7,\"services\":3," HOSTS(PATH) "}",
	  "expected an array" },
};

static void test_configurations(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct change *change =
			document_change(STR("config"), str_from_cstr(rows[i].text), 5, at_s(0));

		assert_non_null(change);
		if (!rows[i].error && change->parse_error)
			fail_msg("%s: %s", rows[i].what, change->parse_error);
		if (rows[i].error &&
		    (!change->parse_error || !strstr(change->parse_error, rows[i].error)))
			fail_msg("%s: got %s", rows[i].what,
				 change->parse_error ? change->parse_error : "no error");
		change_unref(change);
	}
}

static void test_what_a_configuration_says(void **state)
{
	struct change *change =
		document_change(STR("config"), str_from_cstr(rows[1].text), 5, at_s(0));
	const struct route *route;
	int first = 0;

	(void)state;
	assert_null(change->parse_error);
	assert_int_equal(change->parsed->serial, 7);
	route = &g_array_index(change->parsed->routes, struct route, 0);
	assert_int_equal(route->repeat, REPEAT_NOT_RUN);
	assert_int_equal(route->timeout_us, 1200 * US_PER_MS);
	assert_int_equal(route->objective_us, 600 * US_PER_MS);
	assert_int_equal(route->attempts, 2);
	for (uint64_t point = 0; point < 1000; point++) {
		struct label service = route_service(route, point);

		first += label_is(&service, STR("s"));
	}
	assert_int_equal(first, 900);
	change_unref(change);
}

static void test_an_order_becomes_a_move(void **state)
{
	struct change *change = document_change(
		STR("rollout/s"),
		STR("{\"service\":\"s\",\"target_version\":\"v2\",\"duration_s\":12}"), 9, at_s(5));
	const struct move_spec *move;

	(void)state;
	assert_null(change->parse_error);
	assert_int_equal(change->parsed->moves->len, 1);
	move = &g_array_index(change->parsed->moves, struct move_spec, 0);
	assert_true(label_is(&move->to, STR("v2")));
	assert_int_equal(move->from.len, 0);
	assert_int_equal(move->finish_at_us - move->start_at_us, 12 * US_PER_S);
	change_unref(change);
	assert_null(document_change(STR("other"), STR("{}"), 9, at_s(5)));
}

static void test_a_status_holds_the_move(void **state)
{
	struct saved_move move = { .service = LABEL("s"), .to = LABEL("v2") };
	struct move_state back = { 0 };
	struct strbuf text = { 0 };

	(void)state;
	move.state = (struct move_state){ .id = 9, .step = 3, .from = LABEL("v1") };
	move.state.withdrawn_at_us = 77;
	document_status(&move, &text);
	strbuf_add(&text, (struct str){ "", 1 });
	assert_non_null(strstr(text.data, "\"state\":\"rolled_back\""));
	assert_non_null(strstr(text.data, "\"target_version\":\"v2\""));
	assert_true(document_saved_state((struct str){ text.data, text.len - 1 }, &back));
	assert_int_equal(back.id, 9);
	assert_int_equal(back.step, 3);
	assert_int_equal(back.withdrawn_at_us, 77);
	assert_true(label_is(&back.from, STR("v1")));
	assert_false(document_saved_state(STR("{\"saved\":\"\"}"), &back));
	assert_false(document_saved_state(STR("{\"state\":\"running\"}"), &back));
	strbuf_clear(&text);
}

static void test_heartbeats(void **state)
{
	static const struct {
		const char *what;
		const char *body;
		bool good;
		enum announce_kind kind;
	} beats[] = {
		{ "ready",
		  "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"version\":\"v1\",\"capacity\":"
		  "9,"
		  "\"state\":\"ready\",\"warmup_left_s\":1.5,\"sequence\":4,\"born\":77}",
		  true, ANNOUNCE_UP },
		{ "draining",
		  "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"version\":\"v1\",\"capacity\":"
		  "9,"
		  "\"state\":\"draining\",\"sequence\":5}",
		  true, ANNOUNCE_LEAVING },
		{ "an unknown state",
		  "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"version\":\"v1\",\"capacity\":"
		  "9,"
		  "\"state\":\"odd\",\"sequence\":5}",
		  false, ANNOUNCE_UP },
		{ "another type",
		  "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"version\":\"v1\","
		  "\"capacity\":\"9\",\"state\":\"ready\",\"sequence\":5}",
		  false, ANNOUNCE_UP },
		{ "a missing field", "{\"service\":\"s\"}", false, ANNOUNCE_UP },
		{ "no address",
		  "{\"service\":\"s\",\"address\":\"here\",\"version\":\"v1\",\"capacity\":9,"
		  "\"state\":\"ready\",\"sequence\":4}",
		  false, ANNOUNCE_UP },
		{ "no JSON", "\x01\x02", false, ANNOUNCE_UP },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(beats); i++) {
		struct announcement beat = { 0 };
		bool good =
			heartbeat_decode(str_from_cstr(beats[i].body), at_s(1), US_PER_S, &beat);

		if (good != beats[i].good || (good && beat.kind != beats[i].kind))
			fail_msg("%s: %d, kind %d", beats[i].what, good, beat.kind);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_configurations),
		cmocka_unit_test(test_what_a_configuration_says),
		cmocka_unit_test(test_an_order_becomes_a_move),
		cmocka_unit_test(test_a_status_holds_the_move),
		cmocka_unit_test(test_heartbeats),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
