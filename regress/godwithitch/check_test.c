/* "godwithitch check" of files without a network: its exit codes, its text and its JSON. */
#include "regress/lib/check.h"

#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "operator/json.h"

enum { EXIT_DONE = 0, EXIT_REJECTED = 1, EXIT_USAGE = 2, EXIT_UNKNOWN = 3, EXIT_WARNED = 4 };

#define SERVICES "\"services\":{\"s\":{\"versions\":{\"v1\":{\"share\":100},\"v2\":{}}}}"

static char *dir;

static const struct {
	const char *name;
	const char *text;
} files[] = {
	{ "good.json", "{\n\"services\":{\"s\":{\"versions\":{\"v1\":{\"share\":100}}}},\n"
		       "\"routes\":[{\"name\":\"r\",\"path\":\"/\",\"service\":\"s\"}]}" },
	{ "covered.json", "{\n\"services\":{\"s\":{\"versions\":\"any\"}},\n\"routes\":[\n"
			  "{\"name\":\"a\",\"path\":\"/\",\"service\":\"s\"},\n"
			  "{\"name\":\"b\",\"path\":\"/\",\"service\":\"s\"}]}" },
	{ "limits.json", "{\n\"services\":{\"s\":{\"versions\":\"any\"}},\n\"routes\":[\n"
			 "{\"name\":\"a\",\"path\":\"/\",\"service\":\"s\",\"deadline_ms\":500,\n"
			 "\"objective_ms\":900}]}" },
	{ "syntax.json", "{\n\"routes\": [" },
	{ "empty.json", "" },
	{ "zero.json", "{\n" SERVICES ",\n\"routes\":[{\"name\":\"r\",\"path\":\"/\","
		       "\"service\":\"s\",\"concurrency_percent\":0}]}" },
	{ "shares.json", "{\n\"services\":{\"s\":{\"versions\":{\"v1\":{\"share\":99}}}}}" },
	{ "undeclared.json", "{\n" SERVICES ",\n\"moves\":[{\"service\":\"s\",\"from\":\"v1\","
			     "\"to\":\"v9\",\"start\":\"2026-12-04T10:00:00Z\","
			     "\"finish\":\"2026-12-04T11:00:00Z\"}]}" },
};

static const struct check_case {
	const char *arguments; /* names of files begin with '@' */
	int status;
	const char *output; /* a part of it; of the errors if nothing is printed */
} cases[] = {
	{ "check @good.json", EXIT_DONE, "1 file checked: good" },
	{ "check @covered.json", EXIT_WARNED,
	  "covered.json:5: routes.b: warning: it never matches: route \"a\" goes first" },
	{ "check @covered.json", EXIT_WARNED, "1 file checked: 1 warning" },
	{ "check @limits.json", EXIT_WARNED,
	  "limits.json:4: routes.a: warning: the objective of 900 ms is beyond the deadline of "
	  "500 ms" },
	{ "-s 9.5 check @good.json", EXIT_WARNED, "a stop ends after 9500 ms" },
	{ "-s 10 check @good.json", EXIT_DONE, "good" },
	{ "-s 0 check @good.json", EXIT_USAGE, "usage" },
	{ "check", EXIT_USAGE, "needed" },
	{ "check @syntax.json", EXIT_REJECTED, "syntax.json:2:" },
	{ "check @empty.json", EXIT_REJECTED, "empty.json:1: the file is empty" },
	{ "check @zero.json", EXIT_REJECTED, "zero.json:3: routes[0].concurrency_percent" },
	{ "check @shares.json", EXIT_REJECTED, "shares.json:2: services.s: shares add up to 99" },
	{ "check @undeclared.json", EXIT_REJECTED,
	  "undeclared.json:3: moves[0]: service \"s\" declares no version \"v9\"" },
	{ "check @syntax.json @zero.json", EXIT_REJECTED, "syntax.json:2:" },
	{ "check @syntax.json @zero.json", EXIT_REJECTED, "zero.json:3:" },
	{ "check @good.json @covered.json", EXIT_REJECTED, "declared twice" },
	{ "check @missing.json", EXIT_REJECTED, "missing.json" },
	/* Nobody listens there. */
	{ "-t 1 -c 127.0.0.1:1 check @good.json", EXIT_UNKNOWN, "1 file checked: good" },
	{ "-t 1 -l http://127.0.0.1:1 check @good.json", EXIT_UNKNOWN, "1 file checked: good" },
	{ "-t 1 -c 127.0.0.1:1 check @zero.json", EXIT_REJECTED, "zero.json:3" },
};

/* Runs the tool; returns its exit code and sets *output. */
static int run(const char *arguments, char **output)
{
	const char *bin = getenv("GODWITHITCH_BIN");
	char *program = g_strdup_printf("%s/godwithitch", bin ? bin : "build/bin");
	char **words = g_strsplit(arguments, " ", -1);
	GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
	char *errors = NULL;
	char *text = NULL;
	int status = -1;

	g_ptr_array_add(argv, program);
	for (int i = 0; words[i]; i++)
		g_ptr_array_add(argv, words[i][0] == '@'
					      ? g_strdup_printf("%s/%s", dir, words[i] + 1)
					      : g_strdup(words[i]));
	g_ptr_array_add(argv, NULL);
	assert_true(g_spawn_sync(NULL, (char **)argv->pdata, NULL, 0, NULL, NULL, &text, &errors,
				 &status, NULL));
	*output = text[0] ? text : errors;
	g_free(text[0] ? errors : text);
	g_ptr_array_unref(argv);
	g_strfreev(words);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

static void test_exit_code_and_output(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *output = NULL;
		int status = run(cases[i].arguments, &output);

		if (status != cases[i].status || !strstr(output, cases[i].output))
			fail_msg("%s: exit %d, %s", cases[i].arguments, status, output);
		g_free(output);
	}
}

static struct json_doc *run_json(const char *arguments, int expected)
{
	char *output = NULL;
	struct json_doc *doc;

	assert_int_equal(run(arguments, &output), expected);
	doc = json_parse(STR("output"), str_from_cstr(output), NULL);
	if (!doc)
		fail_msg("%s: %s", arguments, output);
	g_free(output);
	return doc;
}

static const struct json *only_item(const struct json_doc *doc, const char *key)
{
	const struct json *list = json_get(doc->root, str_from_cstr(key));

	assert_non_null(list);
	assert_int_equal(list->items->len, 1);
	return g_ptr_array_index(list->items, 0);
}

static void assert_text(const struct json *object, const char *key, const char *expected)
{
	const struct json *value = json_get(object, str_from_cstr(key));

	assert_non_null(value);
	assert_int_equal(value->kind, JSON_STRING);
	assert_true(str_equal(value->string, str_from_cstr(expected)));
}

/* A program reads the place and the kind of each message without parsing its text. */
static void test_json_names_kind_and_place(void **state)
{
	struct json_doc *doc = run_json("-j check @covered.json", EXIT_WARNED);
	const struct json *item = only_item(doc, "warnings");

	(void)state;
	assert_text(item, "kind", "route-covered");
	assert_text(item, "file", "covered.json");
	assert_text(item, "path", "routes.b");
	assert_int_equal(json_get(item, STR("line"))->integer, 5);
	assert_text(only_item(doc, "in_force"), "state", "unasked");
	assert_int_equal(json_get(doc->root, STR("errors"))->items->len, 0);
	json_free(doc);

	doc = run_json("-j check @undeclared.json", EXIT_REJECTED);
	item = only_item(doc, "errors");
	assert_text(item, "file", "undeclared.json");
	assert_text(item, "path", "moves[0]");
	assert_text(item, "text", "service \"s\" declares no version \"v9\"");
	assert_int_equal(json_get(item, STR("line"))->integer, 3);
	json_free(doc);

	doc = run_json("-j -t 1 -c 127.0.0.1:1 check @good.json", EXIT_UNKNOWN);
	assert_text(only_item(doc, "in_force"), "state", "unknown");
	json_free(doc);
}

static int write_files(void **state)
{
	(void)state;
	dir = g_dir_make_tmp("godwithitch-XXXXXX", NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(files); i++) {
		char *path = g_strdup_printf("%s/%s", dir, files[i].name);

		assert_true(g_file_set_contents(path, files[i].text, -1, NULL));
		g_free(path);
	}
	return 0;
}

static int remove_files(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(files); i++) {
		char *path = g_strdup_printf("%s/%s", dir, files[i].name);

		g_remove(path);
		g_free(path);
	}
	g_rmdir(dir);
	g_free(dir);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_exit_code_and_output),
		cmocka_unit_test(test_json_names_kind_and_place),
	};

	return cmocka_run_group_tests_name("godwithitch/check", tests, write_files, remove_files);
}
