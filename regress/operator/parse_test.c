/*
 * Tests that a faulty configuration file is rejected with its name, the line and path of the fault
 * and the expected value, and that routes match requests.
 */
#include "regress/lib/check.h"

#include <string.h>

#include "operator/parse.h"

#define SERVICES "\"services\": {\"s\": {\"versions\": {\"v1\": {\"share\": 100}, \"v2\": {}}}}"
#define TIMES	 "\"start\": \"2026-12-04T10:00:00Z\", \"finish\": \"2026-12-04T11:00:00Z\""

static const struct file_case {
	const char *description;
	const char *text;
	const char *error; /* NULL: the file is valid */
} file_cases[] = {
	{ "an empty object", "{}", NULL },
	{ "comments", "/* a */ { // b\n}", NULL },
	{ "a syntax error", "{\n\"services\": {,}\n}", "f:2: " },
	{ "a truncated file", "{\n\n", "f:3: " },
	{ "an array at the root", "[]", "f:1: expected an object, found an array" },
	{ "an unknown key", "{\n\"servces\": {}}", "f:2: servces: unknown key" },
	{ "a duplicate key", "{\"routes\": [],\n \"routes\": []}", "f:2: the key stands twice" },
	{ "a service without versions", "{\"services\": {\n\"s\": {}}}",
	  "f:2: services.s: the key \"versions\" is missing, expected an object" },
	{ "a share that is a string",
	  "{\"services\": {\"s\": {\"versions\": {\"v\": {\"share\": \"1\"}}}}}",
	  "services.s.versions.v.share: expected a whole number, found a string" },
	{ "a share over 100", "{\"services\": {\"s\": {\"versions\": {\"v\": {\"share\": 101}}}}}",
	  "share: 101: expected a number from 0 to 100" },
	{ "a name with a blank", "{\"services\": {\"a b\": {\"versions\": {}}}}",
	  "\"a b\": expected a name of 1 to 39" },
	{ "shares that do not add up to 100",
	  "{\n\"services\": {\n\"s\": {\"versions\": {\"v\": {\"share\": 60}}}}}",
	  "f:3: services.s: shares add up to 60, expected 100" },
	{ "a route to an undeclared service",
	  "{\"routes\": [\n{\"name\": \"r\", \"path\": \"/\", \"service\": \"x\"}]}",
	  "f:2: routes.r: no service \"x\" is declared" },
	{ "a path without a slash",
	  "{" SERVICES ", \"routes\": [{\"name\": \"r\", \"path\": \"a\", \"service\": \"s\"}]}",
	  "routes[0].path: \"a\": expected a path that starts with '/'" },
	{ "an unknown method",
	  "{" SERVICES ", \"routes\": [{\"name\": \"r\", \"path\": \"/\", \"service\": \"s\","
	  "\"methods\": [\"GET\", \"FETCH\"]}]}",
	  "routes[0].methods[1]: \"FETCH\": expected a method" },
	{ "an unknown class",
	  "{" SERVICES ", \"routes\": [{\"name\": \"r\", \"path\": \"/\", \"service\": \"s\","
	  "\"class\": \"fast\"}]}",
	  "routes[0].class: \"fast\": expected \"interactive\"" },
	{ "an unknown repeat rule",
	  "{" SERVICES ", \"routes\": [{\"name\": \"r\", \"path\": \"/\", \"service\": \"s\","
	  "\"repeat\": \"always\"}]}",
	  "routes[0].repeat: \"always\": expected \"idempotent\"" },
	{ "a deadline of 0 ms",
	  "{" SERVICES ", \"routes\": [{\"name\": \"r\", \"path\": \"/\", \"service\": \"s\","
	  "\"deadline_ms\": 0}]}",
	  "deadline_ms: 0: expected a number from 1" },
	{ "a duplicate route",
	  "{" SERVICES ", \"routes\": [{\"name\": \"r\", \"path\": \"/\", \"service\": \"s\"},\n"
	  "{\"name\": \"r\", \"path\": \"/b\", \"service\": \"s\"}]}",
	  "f:2: routes.r: the route is declared twice" },
	{ "a valid move",
	  "{" SERVICES ", \"moves\": [{\"service\": \"s\", \"from\": \"v1\", \"to\": \"v2\"," TIMES
	  "}]}",
	  NULL },
	{ "a move to an undeclared version",
	  "{" SERVICES ",\n\"moves\": [{\"service\": \"s\", \"from\": \"v1\", \"to\": \"v3\"," TIMES
	  "}]}",
	  "f:2: moves[0]: service \"s\" declares no version \"v3\"" },
	{ "a malformed time",
	  "{" SERVICES ", \"moves\": [{\"service\": \"s\", \"from\": \"v1\", \"to\": \"v2\","
	  "\"start\": \"tomorrow\", \"finish\": \"2026-12-04T11:00:00Z\"}]}",
	  "moves[0].start: \"tomorrow\": expected a time such as" },
	{ "a day that does not exist",
	  "{" SERVICES ", \"moves\": [{\"service\": \"s\", \"from\": \"v1\", \"to\": \"v2\","
	  "\"start\": \"2026-02-30T10:00:00Z\", \"finish\": \"2026-12-04T11:00:00Z\"}]}",
	  "moves[0].start: \"2026-02-30T10:00:00Z\"" },
	{ "a move that ends before it starts",
	  "{" SERVICES ", \"moves\": [{\"service\": \"s\", \"from\": \"v1\", \"to\": \"v2\","
	  "\"start\": \"2026-12-04T11:00:00Z\", \"finish\": \"2026-12-04T10:00:00Z\"}]}",
	  "moves[0].finish: expected a time after the start" },
	{ "two moves of one service",
	  "{" SERVICES ", \"moves\": [{\"service\": \"s\", \"from\": \"v1\", \"to\": \"v2\"," TIMES
	  "}, {\"service\": \"s\", \"from\": \"v2\", \"to\": \"v1\"," TIMES "}]}",
	  "moves[1]: service \"s\" has another move already" },
	{ "a limit of cold targets",
	  "{\"services\": {\"s\": {\"versions\": \"any\", \"warmup_ms\": 500, "
	  "\"cold_calls_per_s\": 2.5}}}",
	  NULL },
	{ "a negative limit of cold targets",
	  "{\"services\": {\"s\": {\"versions\": \"any\", \"cold_calls_per_s\": -2}}}",
	  "f:1: services.s.cold_calls_per_s: expected a number from 0" },
	{ "a limit of cold targets that is a string",
	  "{\"services\": {\"s\": {\"versions\": \"any\", \"cold_calls_per_s\": \"2\"}}}",
	  "f:1: services.s.cold_calls_per_s: expected" },
	{ "a time of 2 hours for the warm-up",
	  "{\"services\": {\"s\": {\"versions\": \"any\", \"warmup_ms\": 7200000}}}",
	  "services.s.warmup_ms" },
	{ "evacuated data centres", "{\"evacuate\": [\"a\", \"b c\"]}", NULL },
	{ "an evacuated data centre that is a number", "{\"evacuate\": [\"a\", 3]}",
	  "f:1: evacuate[1]: expected a string" },
	{ "an evacuated data centre without a name", "{\"evacuate\": [\"\"]}",
	  "f:1: evacuate[0]: expected a data centre's name" },
	{ "an unknown switch", "{\"switches\": {\"all\": {\"retry\": \"off\"}}}",
	  "switches.all.retry: unknown key, expected \"advance\"" },
	{ "a switch that is neither on nor off", "{\"switches\": {\"all\": {\"eject\": \"no\"}}}",
	  "switches.all.eject: \"no\": expected \"on\" or \"off\"" },
	{ "a switch of an undeclared service", "{\"switches\": {\"x\": {\"eject\": \"off\"}}}",
	  "switches: no service \"x\" is declared" },
	{ "a name that is a number", "{" SERVICES ", \"routes\": [{\"name\": 3}]}",
	  "routes[0].name: expected a string, found a whole number" },
};

/* Parses and checks a single file, as the command-line tool does. Returns NULL if it is valid. */
static char *config_error_text(const char *text)
{
	struct change *change = change_new(LABEL("id"), LABEL("f"), 0, str_from_cstr(text));
	GPtrArray *files = g_ptr_array_new_with_free_func((GDestroyNotify)accepted_file_free);
	struct config *config;
	GError *error = NULL;
	char *message = NULL;

	parse_change(change);
	if (!change->parsed) {
		message = g_strdup(change->parse_error);
		g_ptr_array_unref(files);
	} else {
		g_ptr_array_add(files, accepted_file_new(LABEL("f"), 1, change));
		config = config_build(files, 1, 1, &error);
		if (error)
			message = g_strdup(error->message);
		g_clear_error(&error);
		config_unref(config);
	}
	change_unref(change);
	return message;
}

static void test_faults_are_reported_with_location(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(file_cases); i++) {
		char *error = config_error_text(file_cases[i].text);

		if (!file_cases[i].error && error)
			fail_msg("%s: %s", file_cases[i].description, error);
		if (file_cases[i].error && (!error || !strstr(error, file_cases[i].error)))
			fail_msg("%s: got %s", file_cases[i].description,
				 error ? error : "no error");
		g_free(error);
	}
}

static void test_deep_nesting_is_rejected(void **state)
{
	char *text = g_strnfill(10000, '[');
	char *error = config_error_text(text);

	(void)state;
	assert_non_null(strstr(error, "nested too deep"));
	g_free(error);
	g_free(text);
}

static const struct match_case {
	const char *host;
	const char *method;
	const char *path;
	const char *route; /* NULL: no match */
} match_cases[] = {
	{ "a", "GET", "/records/7", "records" },
	{ "a", "GET", "/records", "records" },
	{ "a", "GET", "/records?x=1", "records" },
	{ "a", "GET", "/recordsets", "rest" },
	{ "a", "POST", "/records/7", "rest" },
	{ "b.example:80", "GET", "/records/7", "b-records" },
	{ "B.example", "GET", "/records/7", "b-records" },
	{ "a", "BREW", "/", NULL },
};

static void test_route_matching(void **state)
{
	struct change *change = change_new(
		LABEL("id"), LABEL("f"), 0,
		STR("{" SERVICES ", \"routes\": ["
		    "{\"name\": \"rest\", \"path\": \"/\", \"service\": \"s\"},"
		    "{\"name\": \"records\", \"path\": \"/records\", \"service\": \"s\","
		    " \"methods\": [\"GET\"]},"
		    "{\"name\": \"b-records\", \"path\": \"/records\", \"service\": \"s\","
		    " \"host\": \"b.example\"}]}"));
	GPtrArray *files = g_ptr_array_new_with_free_func((GDestroyNotify)accepted_file_free);
	struct config *config;

	(void)state;
	parse_change(change);
	g_ptr_array_add(files, accepted_file_new(LABEL("f"), 1, change));
	config = config_build(files, 1, 1, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(match_cases); i++) {
		const struct match_case *row = &match_cases[i];
		const struct route *route =
			config_match(config, str_from_cstr(row->host), str_from_cstr(row->method),
				     str_from_cstr(row->path));

		if (!row->route)
			assert_null(route);
		else if (!route || !label_is(&route->name, str_from_cstr(row->route)))
			fail_msg("%s %s%s: expected route %s", row->method, row->host, row->path,
				 row->route);
	}
	config_unref(config);
	change_unref(change);
}

/* Calls that targets make have far shorter objectives than those that they serve. */
static void test_nested_routes_have_short_objectives(void **state)
{
	struct change *change =
		change_new(LABEL("id"), LABEL("f"), 0,
			   STR("{\"services\": {\"s\": {\"versions\": \"any\"}, \"t\": "
			       "{\"versions\": \"any\"}},"
			       " \"routes\": ["
			       "{\"name\": \"peek\", \"path\": \"/p\", \"service\": \"s\", "
			       "\"objective_ms\": 120},"
			       "{\"name\": \"enter\", \"path\": \"/e\", \"service\": \"s\", "
			       "\"objective_ms\": 600},"
			       "{\"name\": \"read\", \"path\": \"/r\", \"service\": \"t\", "
			       "\"objective_ms\": 120},"
			       "{\"name\": \"probe\", \"path\": \"/x\", \"service\": \"t\", "
			       "\"objective_ms\": 900,"
			       " \"class\": \"interactive\"},"
			       "{\"name\": \"plain\", \"path\": \"/n\", \"service\": \"s\"}]}"));
	GPtrArray *files = g_ptr_array_new_with_free_func((GDestroyNotify)accepted_file_free);
	static const char *const names[] = { "peek", "enter", "read", "probe", "plain" };
	struct config *config;

	(void)state;
	parse_change(change);
	g_ptr_array_add(files, accepted_file_new(LABEL("f"), 1, change));
	config = config_build(files, 1, 1, NULL);
	assert_non_null(config);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		const struct route *route =
			config_find_route(config, label_from(str_from_cstr(names[i])));

		assert_int_equal(config_is_nested(config, route, route->service), i == 0);
	}
	config_unref(config);
	change_unref(change);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nested_routes_have_short_objectives),
		cmocka_unit_test(test_faults_are_reported_with_location),
		cmocka_unit_test(test_deep_nesting_is_rejected),
		cmocka_unit_test(test_route_matching),
	};

	return cmocka_run_group_tests_name("operator/parse", tests, NULL, NULL);
}
