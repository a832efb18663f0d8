/* Each command in docs/OPERATIONS.md must do what the page says, and the examples must be valid. */
#include "regress/lib/check.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "regress/lib/fleet.h"

#define SERVICES                                                                                   \
	"{\"services\": {\"registre\": {\"versions\": {\"v1\": {\"share\": 100}, \"v2\": {}}}},"   \
	"\"routes\": [{\"name\": \"r\", \"path\": \"/\", \"service\": \"registre\"}]"
#define ALL_SWITCHES_OFF                                                                           \
	"{\"switches\": {\"all\": {\"advance\": \"off\", \"withdraw\": \"off\","                   \
	"\"eject\": \"off\", \"quarantine\": \"off\"}}}"

static struct fleet *fleet;

/** A command of the page: its arguments, its exit code and a part of its output. */
static const struct command_case {
	const char *command; /* %s stands for the directory of the files */
	int status;
	const char *output;
} command_cases[] = {
	{ "check %s/atelier.json", 0, "1 file checked: good" },
	{ "-j -s 30 check %s/atelier.json", 0, "\"warnings\":[]" },
	{ "check %s/atelier.json", 0, "atelier.json: new, none is in force" },
	{ "diff %s/atelier.json", 1, "+" },
	{ "apply %s/atelier.json", 0, "accepted at version 1, in force on 2 of 2 nodes" },
	{ "diff %s/atelier.json", 0, "" },
	{ "check %s/atelier.json", 0, "atelier.json: same as version 1 in force" },
	{ "-j check %s/atelier.json", 0, "\"state\":\"same\",\"version\":1" },
	{ "apply %s/bad.json", 1, "bad.json:1: routes[0]" },
	{ "apply %s/nowhere.json", 1, "rejected (invalid): nowhere.json:1: routes.x" },
	{ "history", 0, "atelier.json" },
	{ "history", 0, "invalid" },
	{ "status", 0, "2 of 2 members live" },
	{ "-j status", 0, "\"state\":\"alive\"" },
	{ "show", 0, "atelier.json" },
	{ "show atelier.json", 0, "\"services\"" },
	{ "show nothing.json", 1, "no such file" },
	{ "watch archives", 2, "no move is declared" },
	{ "apply %s/holiday.json", 0, "in force on 2 of 2 nodes" },
	{ "status", 0, "switched off: advance for all" },
	{ "status", 0, "switched off: quarantine for all" },
	{ "-t 1 watch registre", 3, "held" },
	{ "version", 0, "godwithitch" },
};

static void write_file(const char *name, const char *text)
{
	char *path = g_strdup_printf("%s/%s", fleet->dir, name);

	assert_true(g_file_set_contents(path, text, -1, NULL));
	g_free(path);
}

/* The move's start is in the past, so that only the switch holds the move. */
static void write_files(void)
{
	struct strbuf text = { 0 };
	int64_t now_us = clock_now().wall_us;

	strbuf_addf(&text, SERVICES ", \"moves\": [{\"service\": \"registre\", \"from\": \"v1\","
				    "\"to\": \"v2\", \"start\": \"");
	clock_format_utc(&text, now_us - 5 * US_PER_S);
	strbuf_addf(&text, "\", \"finish\": \"");
	clock_format_utc(&text, now_us + 3600 * US_PER_S);
	strbuf_addf(&text, "\"}]}");
	strbuf_add(&text, (struct str){ "", 1 });
	write_file("atelier.json", text.data);
	write_file("holiday.json", ALL_SWITCHES_OFF);
	write_file("bad.json", "{\"routes\": [{\"name\": \"x\"}]}");
	write_file("nowhere.json",
		   "{\"routes\": [{\"name\": \"x\", \"path\": \"/x\", \"service\": \"no\"}]}");
	strbuf_clear(&text);
}

static void test_documented_commands(void **state)
{
	(void)state;
	fleet = fleet_new(0);
	fleet_add_node(fleet, "fes-a");
	fleet_add_node(fleet, "fes-b");
	assert_true(fleet_wait_live(fleet, 2, 10000));
	write_files();
	for (size_t i = 0; i < G_N_ELEMENTS(command_cases); i++) {
		char **parts = g_strsplit(command_cases[i].command, "%s", 2);
		char *args = g_strconcat(parts[0], parts[1] ? fleet->dir : "",
					 parts[1] ? parts[1] : "", NULL);
		struct strbuf out = { 0 };
		int status = fleet_tool(fleet, &out, args);

		if (status != command_cases[i].status || !strstr(out.data, command_cases[i].output))
			fail_msg("%s: exit %d, %s", args, status, out.data);
		strbuf_clear(&out);
		g_strfreev(parts);
		g_free(args);
	}
	fleet_free(fleet);
}

/* A check compares with the file in force, which a node or the log knows. */
static void test_check_shows_what_changes(void **state)
{
	(void)state;
	fleet = fleet_new(0);
	fleet_add_node(fleet, "fes-a");
	assert_true(fleet_wait_live(fleet, 1, 10000));
	assert_int_equal(fleet_apply(fleet, "one.json", SERVICES "}", NULL), 0);
	write_file("one.json", SERVICES ",\n\"switches\": {\"all\": {\"eject\": \"off\"}}}");
	for (int by_log = 0; by_log <= 1; by_log++) {
		char *source;
		char *command;
		char *output = NULL;
		int status = -1;

		source = by_log ? g_strdup_printf("-l http://127.0.0.1:%d", fleet->log_port)
				: g_strdup_printf("-c %s", fleet->nodes[0].control_address);
		command = g_strdup_printf("%s/godwithitch %s -j check %s/one.json", fleet->bin,
					  source, fleet->dir);
		assert_true(g_spawn_command_line_sync(command, &output, NULL, &status, NULL));
		/* The version v2 of the file gets no calls: a warning. */
		if (WEXITSTATUS(status) != 4 ||
		    !strstr(output, "\"state\":\"changed\",\"version\":1,\"line\":1") ||
		    !strstr(output, "\"eject\\\": \\\"off"))
			fail_msg("%s: exit %d, %s", command, WEXITSTATUS(status), output);
		g_free(output);
		g_free(command);
		g_free(source);
	}
	fleet_free(fleet);
}

/* Two operators change the same file at once: one change must be rejected as a conflict. */
static void test_conflicting_change_is_rejected(void **state)
{
	struct strbuf out = { 0 };
	char *args;

	(void)state;
	fleet = fleet_new(0);
	fleet_add_node(fleet, "fes-a");
	assert_true(fleet_wait_live(fleet, 1, 10000));
	assert_int_equal(fleet_apply(fleet, "one.json", SERVICES "}", NULL), 0);
	/* The slow log lets both tools read the file's version before either change is accepted. */
	fleet_log_fault(fleet, "slow_ms=600");
	args = g_strdup_printf("apply %s/one.json", fleet->dir);
	for (int i = 0; i < 2; i++) {
		char *command = g_strdup_printf(
			"%s/godwithitch -c %s -l http://127.0.0.1:%d %s >%s/out%d 2>&1 &",
			fleet->bin, fleet->nodes[0].control_address, fleet->log_port, args,
			fleet->dir, i);

		assert_int_equal(WEXITSTATUS(system(command)), 0);
		g_free(command);
	}
	wait_ms(4000);
	for (int i = 0; i < 2; i++) {
		char *path = g_strdup_printf("%s/out%d", fleet->dir, i);
		char *text = NULL;

		assert_true(g_file_get_contents(path, &text, NULL, NULL));
		strbuf_add(&out, str_from_cstr(text));
		g_free(text);
		g_free(path);
	}
	strbuf_add(&out, (struct str){ "", 1 });
	assert_non_null(strstr(out.data, "accepted at version"));
	assert_non_null(strstr(out.data, "rejected (conflict): the file is at version"));
	strbuf_clear(&out);
	g_free(args);
	fleet_free(fleet);
}

static void test_examples_are_valid(void **state)
{
	static const char *const commands[] = {
		"godwithitch check examples/atelier/atelier.json examples/atelier/holiday.json",
		"godwithitch check examples/argyris/argyris.json",
		"godwithitchd -n -f examples/atelier/node-fes-a.json",
		"godwithitchd -n -f examples/atelier/node-fes-b.json",
		"godwithitchd -n -f examples/atelier/node-rabat-a.json",
		"godwithitchd -n -f examples/atelier/node-rabat-b.json",
		"godwithitchd -n -f examples/argyris/node-piraeus.json",
		"godwithitchd -n -f examples/argyris/node-elefsina.json",
		"godwithitchd -n -f examples/argyris/node-koropi.json",
		"godwithitch -f examples/atelier/tool.json version",
		"godwithitch -f examples/argyris/tool.json version",
	};
	const char *bin = getenv("GODWITHITCH_BIN");

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		char *command =
			g_strdup_printf("%s/%s >/dev/null", bin ? bin : "build/bin", commands[i]);

		if (WEXITSTATUS(system(command)) != 0)
			fail_msg("%s", commands[i]);
		g_free(command);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_documented_commands),
		cmocka_unit_test(test_check_shows_what_changes),
		cmocka_unit_test(test_conflicting_change_is_rejected),
		cmocka_unit_test(test_examples_are_valid),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	return cmocka_run_group_tests_name("godwithitch/operations", tests, NULL, NULL);
}
