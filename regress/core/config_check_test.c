/* Entries of a valid configuration that have no effect, and limits that contradict each other. */
#include "regress/lib/check.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "core/config_check.h"
#include "operator/parse.h"

#define SERVICES	  "\"services\":{\"s\":{\"versions\":{\"v1\":{\"share\":100}}}}"
#define ROUTE(name, more) "{\"name\":\"" name "\",\"service\":\"s\",\"path\":\"/\"" more "}"
#define ROUTES(list)	  "{" SERVICES ",\n\"routes\":[" list "]}"
#define TENANTS(more, list)                                                                        \
	"{" SERVICES ",\"routes\":[" ROUTE("r", more) "],\"tenants\":{" list "}}"
#define TIMES "\"start\":\"2026-12-04T10:00:00Z\",\"finish\":\"2026-12-04T11:00:00Z\""

/** A configuration, and its findings as "KIND PATH", separated by spaces. */
static const struct check_case {
	const char *name;
	const char *text;
	const char *findings;
} cases[] = {
	{ "one route", ROUTES(ROUTE("r", "")), "" },
	{ "the same route twice", ROUTES(ROUTE("a", "") ",\n" ROUTE("b", "")),
	  "route-covered routes.b" },
	{ "a host goes before any host",
	  ROUTES(ROUTE("z", ",\"host\":\"shop\"") "," ROUTE("a", "")), "" },
	{ "the same host in other letters",
	  ROUTES(ROUTE("a", ",\"host\":\"shop\"") "," ROUTE("b", ",\"host\":\"SHOP\"")),
	  "route-covered routes.b" },
	{ "some methods are left", ROUTES(ROUTE("a", ",\"methods\":[\"GET\"]") "," ROUTE("b", "")),
	  "" },
	{ "two routes take all methods",
	  ROUTES(ROUTE("a", ",\"methods\":[\"GET\"]") "," ROUTE(
		  "b", ",\"methods\":[\"POST\"]") "," ROUTE("c",
							    ",\"methods\":[\"POST\",\"GET\"]")),
	  "route-covered routes.c" },
	{ "no method", ROUTES(ROUTE("a", ",\"methods\":[]")), "route-without-method routes.a" },
	{ "a port", ROUTES(ROUTE("a", ",\"host\":\"shop:80\"")), "host-with-port routes.a" },
	{ "an unused service", "{" SERVICES "}", "service-unused services.s" },
	{ "weights",
	  "{\"services\":{\"s\":{\"versions\":\"any\"},\"t\":{\"versions\":\"any\"}},"
	  "\"routes\":[{\"name\":\"r\",\"path\":\"/\",\"parts\":["
	  "{\"service\":\"s\",\"weight\":0},{\"service\":\"t\",\"weight\":2}]}]}",
	  "weight-zero routes.r" },
	{ "a version without a share",
	  "{\"services\":{\"s\":{\"versions\":{\"v1\":{\"share\":100},\"v2\":{},\"v3\":{}}}},"
	  "\"routes\":[" ROUTE(
		  "r", "") "],"
			   "\"moves\":[{\"service\":\"s\",\"from\":\"v1\",\"to\":\"v2\"," TIMES
			   "}]}",
	  "version-without-share services.s.versions.v3" },
	{ "a move without its service", "{\"moves\":[{\"service\":\"s\",\"to\":\"v2\"," TIMES "}]}",
	  "move-without-service moves[0]" },
	{ "a switch that is overridden",
	  "{" SERVICES ",\"routes\":[" ROUTE(
		  "r",
		  "") "],\"switches\":{"
		      "\"all\":{\"advance\":\"off\"},\"s\":{\"advance\":\"on\",\"eject\":\"on\"}}}",
	  "switch-overridden switches.s.advance" },
	{ "an objective at the deadline",
	  ROUTES(ROUTE("r", ",\"objective_ms\":100,\"deadline_ms\":100")), "" },
	{ "an objective beyond the deadline",
	  ROUTES(ROUTE("r", ",\"objective_ms\":101,\"deadline_ms\":100")),
	  "objective-beyond-deadline routes.r" },
	{ "as many attempts as begin in time",
	  ROUTES(ROUTE("r", ",\"objective_ms\":40,\"deadline_ms\":100,\"attempts\":3")), "" },
	{ "more attempts than begin in time",
	  ROUTES(ROUTE("r", ",\"objective_ms\":40,\"deadline_ms\":100,\"attempts\":4")),
	  "attempts-beyond-deadline routes.r" },
	{ "attempts without an objective", ROUTES(ROUTE("r", ",\"deadline_ms\":9,\"attempts\":9")),
	  "" },
	{ "a deadline as long as a stop", ROUTES(ROUTE("r", ",\"deadline_ms\":20000")), "" },
	{ "a deadline longer than a stop", ROUTES(ROUTE("r", ",\"deadline_ms\":20001")),
	  "stop-before-deadline routes.r" },
	{ "a public route, and no tenants", ROUTES(ROUTE("r", ",\"public\":true")),
	  "public-without-tenants routes.r" },
	{ "tenants, one of them without a limit",
	  TENANTS("", "\"a\":{\"keys\":[\"k\"],\"limit_per_s\":5,\"burst\":2},"
		      "\"b\":{\"keys\":[\"l\"]}"),
	  "" },
	{ "a public route beside tenants", TENANTS(",\"public\":true", "\"a\":{\"keys\":[\"k\"]}"),
	  "" },
	{ "a header beside keys", TENANTS(",\"tenant_header\":\"X-T\"", "\"a\":{\"keys\":[\"k\"]}"),
	  "tenant-header-unused routes.r" },
	{ "a header of a public route",
	  TENANTS(",\"public\":true,\"tenant_header\":\"X-T\"", "\"a\":{\"keys\":[\"k\"]}"), "" },
	{ "a tenant whose keys are withdrawn", TENANTS("", "\"a\":{\"keys\":[]}"),
	  "tenant-without-keys tenants.a" },
	{ "a burst without a limit", TENANTS("", "\"a\":{\"keys\":[\"k\"],\"burst\":2}"),
	  "burst-without-limit tenants.a" },
	{ "a warm-up without a limit",
	  "{\"services\":{\"s\":{\"versions\":\"any\",\"warmup_ms\":500}},\"routes\":[" ROUTE(
		  "r", "") "]}",
	  "warmup-without-limit services.s" },
	{ "a warm-up with a limit",
	  "{\"services\":{\"s\":{\"versions\":\"any\",\"warmup_ms\":500,"
	  "\"cold_calls_per_s\":2}},\"routes\":[" ROUTE("r", "") "]}",
	  "" },
	{ "one evacuation", "{\"evacuate\":[\"dc1\"]}", "" },
};

static struct config *build(const char *text)
{
	GPtrArray *files = g_ptr_array_new_with_free_func((GDestroyNotify)accepted_file_free);
	struct label name = label_from(STR("f"));
	struct change *change = change_new((struct label){ 0 }, name, 0, str_from_cstr(text));
	GError *error = NULL;
	struct config *config;

	parse_change(change);
	if (!change->parsed)
		fail_msg("%s: %s", text, change->parse_error);
	g_ptr_array_add(files, accepted_file_new(name, 1, change));
	change_unref(change);
	config = config_build(files, 1, 1, &error);
	if (!config)
		fail_msg("%s: %s", text, error->message);
	return config;
}

static char *describe(const GArray *findings)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < findings->len; i++) {
		const struct finding *finding = &g_array_index(findings, struct finding, i);

		g_string_append_printf(text, "%s%.*s %s", i ? " " : "",
				       STR_ARG(finding_kind_name(finding->kind)), finding->path);
		assert_true(finding->text[0] != '\0' && finding->line > 0);
	}
	return g_string_free(text, FALSE);
}

static void test_findings_of_each_configuration(void **state)
{
	struct config_check_options options = { .stop_within_us = 20 * US_PER_S };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct config *config;
		GArray *findings;
		char *text;

		config = build(cases[i].text);
		findings = config_check(config, &options);
		text = describe(findings);
		if (strcmp(text, cases[i].findings) != 0)
			fail_msg("%s: found \"%s\"", cases[i].name, text);
		g_free(text);
		g_array_unref(findings);
		config_unref(config);
	}
}

static struct accepted_file *make_file(const char *name, const char *text)
{
	struct label label = label_from(str_from_cstr(name));
	struct change *change = change_new((struct label){ 0 }, label, 0, str_from_cstr(text));
	struct accepted_file *file;

	parse_change(change);
	assert_non_null(change->parsed);
	file = accepted_file_new(label, 1, change);
	change_unref(change);
	return file;
}

/* An operator who removes one of two files would expect the data centre to open again. */
static void test_data_centre_evacuated_by_two_files(void **state)
{
	GPtrArray *files = g_ptr_array_new_with_free_func((GDestroyNotify)accepted_file_free);
	struct config_check_options options = { 0 };
	struct config *config;
	GArray *findings;
	char *text;

	(void)state;
	g_ptr_array_add(files, make_file("one", "{\"evacuate\":[\"dc1\",\"dc2\"]}"));
	g_ptr_array_add(files, make_file("two", "{\"evacuate\":[\"dc3\",\"dc1\"]}"));
	config = config_build(files, 1, 1, NULL);
	assert_non_null(config);
	findings = config_check(config, &options);
	text = describe(findings);
	assert_string_equal(text, "evacuated-twice evacuate.dc1 evacuated-twice evacuate.dc1");
	g_free(text);
	g_array_unref(findings);
	config_unref(config);
}

/* A route that is said never to match must not match, and one without that finding must. */
static void test_covered_routes_agree_with_the_match(void **state)
{
	static const char *const hosts[] = { "", "a", "b" };
	static const char *const paths[] = { "/", "/x", "/x/" };
	static const char *const methods[] = { "GET", "POST" };
	int covered = 0;

	(void)state;
	for (guint seed = 0; seed < 400; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		GString *text = g_string_new("{" SERVICES ",\"routes\":[");
		struct config_check_options options = { 0 };
		struct config *config;
		GArray *findings;

		for (int i = 0; i < 5; i++) {
			int mask = g_rand_int_range(rand, 1, 4);

			g_string_append_printf(
				text,
				"%s{\"name\":\"r%d\",\"service\":\"s\",\"host\":\"%s\","
				"\"path\":\"%s\",\"methods\":[%s%s%s]}",
				i ? "," : "", i, hosts[g_rand_int_range(rand, 0, 3)],
				paths[g_rand_int_range(rand, 0, 3)], mask & 1 ? "\"GET\"" : "",
				mask == 3 ? "," : "", mask & 2 ? "\"POST\"" : "");
		}
		g_string_append(text, "]}");
		config = build(text->str);
		findings = config_check(config, &options);
		for (guint r = 0; r < config->routes->len; r++) {
			const struct route *route = g_ptr_array_index(config->routes, r);
			bool matched = false;
			bool found = false;

			for (int n = 0; n < 3 * 4 * 2; n++) {
				static const char *const requests[] = { "/", "/x", "/x/", "/x/y" };

				matched |=
					config_match(config, str_from_cstr(hosts[n % 3]),
						     str_from_cstr(methods[n / 12]),
						     str_from_cstr(requests[n / 3 % 4])) == route;
			}
			for (guint f = 0; f < findings->len; f++) {
				const struct finding *finding =
					&g_array_index(findings, struct finding, f);

				found |= str_equal(str_from_cstr(finding->path + strlen("routes.")),
						   label_str(&route->name));
			}
			if (matched == found)
				fail_msg("%s: route %.*s: matches %d, found %d", text->str,
					 STR_ARG(label_str(&route->name)), matched, found);
			covered += found;
		}
		g_array_unref(findings);
		config_unref(config);
		g_string_free(text, TRUE);
		g_rand_free(rand);
	}
	printf("%d routes were covered\n", covered);
	assert_true(covered > 100);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_findings_of_each_configuration),
		cmocka_unit_test(test_data_centre_evacuated_by_two_files),
		cmocka_unit_test(test_covered_routes_agree_with_the_match),
	};

	return cmocka_run_group_tests_name("core/config_check", tests, NULL, NULL);
}
