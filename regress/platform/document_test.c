/* Decoding of the platform's documents and heartbeats, valid and invalid. */
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

struct config_case {
	const char *name;
	const char *text;
	const char *error; /* part of the expected error; NULL: valid */
};

static const struct config_case config_cases[] = {
	{ "valid configuration", "{\"version\":7," SERVICES "," HOSTS(PATH) "}", NULL },
	{ "weights",
	  "{\"version\":7," SERVICES
	  "," HOSTS("{\"name\":\"r\",\"path_prefix\":\"/a/\",\"kind\":\"unsafe\","
		    "\"weighted_services\":[{\"service\":\"s\",\"weight\":9},{\"service\":\"t\","
		    "\"weight\":1}]," TIMES "}") "}",
	  NULL },
	{ "unknown fields", "{\"version\":7,\"later\":[1]," SERVICES "," HOSTS(PATH) "}", NULL },
	{ "numbers too large in unknown fields",
	  "{\"version\":7,\"later\":99999999999999999999,\"more\":[1e999,-1e999]," SERVICES
	  "," HOSTS(PATH) "}",
	  NULL },
	{ "version too large", "{\"version\":99999999999999999999," SERVICES "," HOSTS(PATH) "}",
	  "version" },
	{ "truncated text", "{\"version\":7," SERVICES, "config:1" },
	{ "no version", "{" SERVICES "," HOSTS(PATH) "}", "\"version\" is missing" },
	{ "unknown service",
	  "{\"version\":7," SERVICES
	  "," HOSTS("{\"name\":\"r\",\"path_prefix\":\"/a/"
		    "\",\"kind\":\"safe\",\"service\":\"x\"," TIMES "}") "}",
	  "the service is not declared" },
	{ "prefix without a closing slash",
	  "{\"version\":7," SERVICES
	  "," HOSTS("{\"name\":\"r\",\"path_prefix\":\"/"
		    "a\",\"kind\":\"safe\",\"service\":\"s\"," TIMES "}") "}",
	  "ends with a slash" },
	{ "no host", "{\"version\":7," SERVICES ",\"virtual_hosts\":[{\"paths\":[" PATH "]}]}",
	  "\"host\" is missing" },
	{ "no timeout",
	  "{\"version\":7," SERVICES "," HOSTS("{\"name\":\"r\",\"path_prefix\":\"/a/"
					       "\",\"kind\":\"safe\",\"service\":\"s\"}") "}",
	  "a time is missing" },
	{ "weighted service without a weight",
	  "{\"version\":7," SERVICES
	  "," HOSTS("{\"name\":\"r\",\"path_prefix\":\"/a/\",\"kind\":\"safe\","
		    "\"weighted_services\":[{\"service\":\"s\"}]," TIMES "}") "}",
	  "\"weight\" is missing" },
	{ "unknown kind",
	  "{\"version\":7," SERVICES
	  "," HOSTS("{\"name\":\"r\",\"path_prefix\":\"/a/"
		    "\",\"kind\":\"odd\",\"service\":\"s\"," TIMES "}") "}",
	  "the kind is unknown" },
	{ "upload that needs no key",
	  "{\"version\":7," SERVICES
	  "," HOSTS("{\"name\":\"r\",\"path_prefix\":\"/a/\",\"kind\":\"upload\","
		    "\"public\":true,\"service\":\"s\"," TIMES "}") "}",
	  NULL },
	{ "tenants, one of which lost its keys",
	  "{\"version\":7," SERVICES
	  "," HOSTS(PATH) ",\"tenants\":[{\"name\":\"a\",\"api_keys\":"
			  "[\"k\"],\"priority\":0,\"rate_per_s\":3.7,\"burst\":4},{\"name\":\"b\","
			  "\"api_keys\":[]}]}",
	  NULL },
	{ "two tenants of one name",
	  "{\"version\":7," SERVICES
	  "," HOSTS(PATH) ",\"tenants\":[{\"name\":\"a\",\"api_keys\":"
			  "[\"k\"]},{\"name\":\"a\",\"api_keys\":[\"l\"]}]}",
	  "the key stands twice" },
	{ "tenant without a list of keys",
	  "{\"version\":7," SERVICES "," HOSTS(PATH) ",\"tenants\":[{\"name\":\"a\"}]}",
	  "\"api_keys\" is missing" },
	{ "negative rate",
	  "{\"version\":7," SERVICES "," HOSTS(PATH) ",\"tenants\":[{\"name\":\"a\",\"api_keys\":"
						     "[\"k\"],\"rate_per_s\":-1}]}",
	  "rate_per_s" },
	{ "cold targets",
	  "{\"version\":7,\"services\":[{\"name\":\"s\",\"warmup_s\":6.5,\"warmup_per_s\":2.25}]"
	  "," HOSTS(PATH) "}",
	  NULL },
	{ "negative rate of cold targets",
	  "{\"version\":7,\"services\":[{\"name\":\"s\",\"warmup_s\":6,\"warmup_per_s\":-1}]"
	  "," HOSTS(PATH) "}",
	  "out of range" },
	{ "rate of cold targets of another type",
	  "{\"version\":7,\"services\":[{\"name\":\"s\",\"warmup_s\":6,\"warmup_per_s\":\"4\"}]"
	  "," HOSTS(PATH) "}",
	  "expected a number" },
	{ "number instead of an array", "{\"version\":7,\"services\":3," HOSTS(PATH) "}",
	  "expected an array" },
};

static void test_invalid_configurations_are_rejected(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(config_cases); i++) {
		struct change *change = document_decode_change(
			STR("config"), str_from_cstr(config_cases[i].text), 5, instant_at_s(0));

		assert_non_null(change);
		if (!config_cases[i].error && change->parse_error)
			fail_msg("%s: %s", config_cases[i].name, change->parse_error);
		if (config_cases[i].error &&
		    (!change->parse_error || !strstr(change->parse_error, config_cases[i].error)))
			fail_msg("%s: got %s", config_cases[i].name,
				 change->parse_error ? change->parse_error : "no error");
		change_unref(change);
	}
}

static void test_configuration_values_are_decoded(void **state)
{
	struct change *change = document_decode_change(
		STR("config"), str_from_cstr(config_cases[1].text), 5, instant_at_s(0));
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

/* The fields were ignored: cold targets got the full load. */
static void test_limit_of_cold_targets_is_decoded(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(config_cases); i++) {
		struct change *change;
		const struct service *service;

		if (strcmp(config_cases[i].name, "cold targets") != 0 &&
		    strcmp(config_cases[i].name, "valid configuration") != 0)
			continue;
		change = document_decode_change(STR("config"), str_from_cstr(config_cases[i].text),
						5, instant_at_s(0));
		assert_null(change->parse_error);
		service = &g_array_index(change->parsed->services, struct service, 0);
		if (strcmp(config_cases[i].name, "cold targets") == 0) {
			assert_int_equal(service->warmup.duration_us, 6500 * US_PER_MS);
			assert_true(service->warmup.per_s == 2.25);
		} else {
			assert_true(service->warmup.per_s == 0);
		}
		change_unref(change);
	}
}

static const struct evacuation_case {
	const char *name;
	const char *key;
	const char *value;
	const char *error;  /* part of the expected error; NULL: valid */
	const char *closed; /* data centre; NULL: none */
} evacuation_cases[] = {
	{ "empty object", "evacuate/fes-a", "{}", NULL, "fes-a" },
	{ "object with members", "evacuate/fes-a", "{\"by\":\"op\",\"evacuate\":[\"b\"]}", NULL,
	  "fes-a" },
	{ "quotes in the name", "evacuate/\"],\"", "{}", NULL, "\"],\"" },
	{ "removed", "evacuate/fes-a", "", NULL, NULL },
	{ "no object", "evacuate/fes-a", "[]", "expected an object", NULL },
	{ "no JSON", "evacuate/fes-a", "yes", "evacuate/fes-a:1", NULL },
	{ "no name", "evacuate/", "{}", "1 to 39", NULL },
	{ "longest name", "evacuate/123456789012345678901234567890", "{}", NULL,
	  "123456789012345678901234567890" },
	/* Cut to a file's name, it would replace the record of the data centre above. */
	{ "name too long", "evacuate/1234567890123456789012345678901", "{}", "too long", NULL },
};

/* An evacuation that is misread leaves a data centre in use, or closes another one. */
static void test_evacuations_are_decoded(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(evacuation_cases); i++) {
		const struct evacuation_case *row = &evacuation_cases[i];
		struct change *change = document_decode_change(
			str_from_cstr(row->key), str_from_cstr(row->value), 9, instant_at_s(5));
		const GArray *closed = change->parsed ? change->parsed->evacuated : NULL;

		if (row->error ? !change->parse_error || !strstr(change->parse_error, row->error)
			       : change->parse_error != NULL)
			fail_msg("%s: got %s", row->name,
				 change->parse_error ? change->parse_error : "no error");
		if (row->closed ? !closed || closed->len != 1 ||
					  !label_is(&g_array_index(closed, struct label, 0),
						    str_from_cstr(row->closed))
				: closed && closed->len)
			fail_msg("%s: another data centre", row->name);
		change_unref(change);
	}
	/* Other keys without a value stay without effect. */
	assert_null(document_decode_change(STR("config"), STR(""), 9, instant_at_s(5)));
	assert_null(document_decode_change(STR("rollout/s"), STR(""), 9, instant_at_s(5)));
}

static void test_rollout_is_decoded_as_move(void **state)
{
	struct change *change = document_decode_change(
		STR("rollout/s"),
		STR("{\"service\":\"s\",\"target_version\":\"v2\",\"duration_s\":12}"), 9,
		instant_at_s(5));
	const struct move_spec *move;

	(void)state;
	assert_null(change->parse_error);
	assert_int_equal(change->parsed->moves->len, 1);
	move = &g_array_index(change->parsed->moves, struct move_spec, 0);
	assert_true(label_is(&move->to, STR("v2")));
	assert_int_equal(move->from.len, 0);
	assert_int_equal(move->finish_at_us - move->start_at_us, 12 * US_PER_S);
	change_unref(change);
	assert_null(document_decode_change(STR("other"), STR("{}"), 9, instant_at_s(5)));
}

static void test_status_restores_move_state(void **state)
{
	struct saved_move move = { .service = LABEL("s"), .to = LABEL("v2") };
	struct saved_move restored = { 0 };
	struct strbuf text = { 0 };

	(void)state;
	move.state = (struct move_state){ .id = 9, .step = 3, .from = LABEL("v1") };
	move.state.withdrawn_at_us = 77;
	document_encode_status(&move, &text);
	strbuf_add(&text, (struct str){ "", 1 });
	assert_non_null(strstr(text.data, "\"state\":\"rolled_back\""));
	assert_non_null(strstr(text.data, "\"target_version\":\"v2\""));
	assert_true(document_decode_status((struct str){ text.data, text.len - 1 }, &restored));
	assert_int_equal(restored.state.id, 9);
	assert_int_equal(restored.state.step, 3);
	assert_int_equal(restored.state.withdrawn_at_us, 77);
	assert_true(label_is(&restored.state.from, STR("v1")));
	assert_true(label_is(&restored.service, STR("s")));
	assert_true(label_is(&restored.to, STR("v2")));
	assert_false(document_decode_status(STR("{\"service\":\"s\",\"target_version\":\"v2\","
						"\"saved\":\"\"}"),
					    &restored));
	assert_false(document_decode_status(STR("{\"saved\":\"\"}"), &restored));
	assert_false(document_decode_status(STR("{\"state\":\"running\"}"), &restored));
	strbuf_clear(&text);
}

/* A heartbeat that says that the target is warm was not told from one that says nothing. */
static void test_heartbeat_states_whether_the_target_is_cold(void **state)
{
	static const struct {
		const char *field;
		bool states;
		int64_t left_us;
	} cases[] = {
		{ ",\"warmup_left_s\":1.5", true, 1500 * US_PER_MS },
		{ ",\"warmup_left_s\":2", true, 2 * US_PER_S },
		{ ",\"warmup_left_s\":0", true, 0 },
		{ ",\"warmup_left_s\":0.0", true, 0 },
		{ ",\"warmup_left_s\":1e-9", true, 1 },
		{ ",\"warmup_left_s\":null", false, 0 },
		{ "", false, 0 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct announcement announcement = { 0 };
		struct instant now = instant_at_s(1);
		char *text = g_strdup_printf(
			"{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"version\":\"v1\","
			"\"capacity\":9,\"state\":\"ready\",\"sequence\":4%s}",
			cases[i].field);

		assert_true(heartbeat_decode(str_from_cstr(text), now, US_PER_S, &announcement));
		if (announcement.states_warmup != cases[i].states ||
		    announcement.slow_start_until.at_us !=
			    (cases[i].left_us ? now.mono_us + cases[i].left_us : 0))
			fail_msg("\"%s\": states %d, until %ld", cases[i].field,
				 announcement.states_warmup, announcement.slow_start_until.at_us);
		g_free(text);
	}
}

static void test_invalid_heartbeats_are_rejected(void **state)
{
	static const struct {
		const char *name;
		const char *body;
		bool valid;
		enum announce_kind kind;
	} cases[] = {
		{ "ready",
		  "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"version\":\"v1\",\"capacity\":"
		  "9,"
		  "\"state\":\"ready\",\"warmup_left_s\":1.5,\"sequence\":4,\"born\":77}",
		  true, ANNOUNCE_UP },
		{ "numbers too large",
		  "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"version\":\"v1\",\"capacity\":"
		  "9,"
		  "\"state\":\"ready\",\"warmup_left_s\":1e300,\"sequence\":4,\"later\":1e999}",
		  true, ANNOUNCE_UP },
		{ "sequence too large",
		  "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"version\":\"v1\",\"capacity\":"
		  "9,"
		  "\"state\":\"ready\",\"sequence\":99999999999999999999}",
		  false, ANNOUNCE_UP },
		{ "port out of range",
		  "{\"service\":\"s\",\"address\":\"10.0.0.9:80000\",\"version\":\"v1\","
		  "\"capacity\":"
		  "9,"
		  "\"state\":\"ready\",\"sequence\":4}",
		  false, ANNOUNCE_UP },
		{ "draining",
		  "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"version\":\"v1\",\"capacity\":"
		  "9,"
		  "\"state\":\"draining\",\"sequence\":5}",
		  true, ANNOUNCE_LEAVING },
		{ "unknown state",
		  "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"version\":\"v1\",\"capacity\":"
		  "9,"
		  "\"state\":\"odd\",\"sequence\":5}",
		  false, ANNOUNCE_UP },
		{ "capacity of a wrong type",
		  "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"version\":\"v1\","
		  "\"capacity\":\"9\",\"state\":\"ready\",\"sequence\":5}",
		  false, ANNOUNCE_UP },
		{ "missing fields", "{\"service\":\"s\"}", false, ANNOUNCE_UP },
		{ "invalid address",
		  "{\"service\":\"s\",\"address\":\"here\",\"version\":\"v1\",\"capacity\":9,"
		  "\"state\":\"ready\",\"sequence\":4}",
		  false, ANNOUNCE_UP },
		{ "not JSON", "\x01\x02", false, ANNOUNCE_UP },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct announcement announcement = { 0 };
		bool valid = heartbeat_decode(str_from_cstr(cases[i].body), instant_at_s(1),
					      US_PER_S, &announcement);

		if (valid != cases[i].valid || (valid && announcement.kind != cases[i].kind))
			fail_msg("%s: %d, kind %d", cases[i].name, valid, announcement.kind);
		/* The end of the slow start is never past the range of times. */
		if (announcement.slow_start_until.at_us > instant_at_s(3600).mono_us + US_PER_S)
			fail_msg("%s: slow until %ld", cases[i].name,
				 announcement.slow_start_until.at_us);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_invalid_configurations_are_rejected),
		cmocka_unit_test(test_configuration_values_are_decoded),
		cmocka_unit_test(test_limit_of_cold_targets_is_decoded),
		cmocka_unit_test(test_evacuations_are_decoded),
		cmocka_unit_test(test_rollout_is_decoded_as_move),
		cmocka_unit_test(test_status_restores_move_state),
		cmocka_unit_test(test_heartbeat_states_whether_the_target_is_cold),
		cmocka_unit_test(test_invalid_heartbeats_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
