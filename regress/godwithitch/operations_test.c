/* Each command that docs/OPERATIONS.md shows does what the page says, and the examples check. */
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
#define HOLIDAY                                                                                    \
	"{\"switches\": {\"all\": {\"advance\": \"off\", \"withdraw\": \"off\","                   \
	"\"eject\": \"off\", \"quarantine\": \"off\"}}}"

static struct fleet *fleet;

/** A command of the page: what follows "godwithitch", its exit and a part of what it prints. */
static const struct row {
	const char *command; /* %s is the folder of the files */
	int status;
	const char *output;
} rows[] = {
	{ "check %s/atelier.json", 0, "1 file checked: good" },
	{ "diff %s/atelier.json", 1, "+" },
	{ "apply %s/atelier.json", 0, "accepted at version 1, in force on 2 of 2 nodes" },
	{ "diff %s/atelier.json", 0, "" },
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

/* The move has begun already, so that only the switch holds it. */
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
	write_file("holiday.json", HOLIDAY);
	write_file("bad.json", "{\"routes\": [{\"name\": \"x\"}]}");
	write_file("nowhere.json",
		   "{\"routes\": [{\"name\": \"x\", \"path\": \"/x\", \"service\": \"no\"}]}");
	strbuf_clear(&text);
}

static void test_commands_of_the_page(void **state)
{
	(void)state;
	fleet = fleet_new(0);
	fleet_add_node(fleet, "fes-a");
	fleet_add_node(fleet, "fes-b");
	assert_true(fleet_wait_live(fleet, 2, 10000));
	write_files();
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		char **parts = g_strsplit(rows[i].command, "%s", 2);
		char *words = g_strconcat(parts[0], parts[1] ? fleet->dir : "",
					  parts[1] ? parts[1] : "", NULL);
		struct strbuf out = { 0 };
		int status = fleet_tool(fleet, &out, words);

		if (status != rows[i].status || !strstr(out.data, rows[i].output))
			fail_msg("%s: exit %d, %s", words, status, out.data);
		strbuf_clear(&out);
		g_strfreev(parts);
		g_free(words);
	}
	fleet_free(fleet);
}

/* Two operators change the same file: one is told of the conflict. */
static void test_a_conflict_is_told(void **state)
{
	struct strbuf out = { 0 };
	char *words;

	(void)state;
	fleet = fleet_new(0);
	fleet_add_node(fleet, "fes-a");
	assert_true(fleet_wait_live(fleet, 1, 10000));
	assert_int_equal(fleet_apply(fleet, "one.json", SERVICES "}", NULL), 0);
	/* The second tool saw version 0: its answers come from before the first change. */
	fleet_log_fault(fleet, "slow_ms=600");
	words = g_strdup_printf("apply %s/one.json", fleet->dir);
	for (int i = 0; i < 2; i++) {
		char *command = g_strdup_printf(
			"%s/godwithitch -c %s -l http://127.0.0.1:%d %s >%s/out%d 2>&1 &",
			fleet->bin, fleet->nodes[0].control, fleet->log_port, words, fleet->dir, i);

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
	g_free(words);
	fleet_free(fleet);
}

static void test_examples_check(void **state)
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
		cmocka_unit_test(test_commands_of_the_page),
		cmocka_unit_test(test_a_conflict_is_told),
		cmocka_unit_test(test_examples_check),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	return cmocka_run_group_tests_name("godwithitch/operations", tests, NULL, NULL);
}
