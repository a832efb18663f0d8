/* Settings and what is wrong with them, and the programs' exit codes. */
#include "regress/lib/check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define REST                                                                                       \
	"\"callers\": \"127.0.0.1:0\", \"control\": \"127.0.0.1:0\", \"announce\": "               \
	"\"127.0.0.1:0\","                                                                         \
	"\"data_centre\": \"a\", \"log\": \"http://127.0.0.1:1\""
#define FLEET	"\"fleet\": [\"127.0.0.0/8\"]"
#define ADDRESS "\"address\": \"127.0.0.1:0\""

static const struct row {
	const char *what;
	const char *text;
	const char *error; /* NULL: good */
} rows[] = {
	{ "good ones", "{" ADDRESS "," REST "," FLEET "}", NULL },
	{ "no address", "{" REST "," FLEET "}",
	  ":1: the key \"address\" is missing, expected a string" },
	{ "an address without a port", "{\n\"address\": \"127.0.0.1\"," REST "," FLEET "}",
	  ":2: address: \"127.0.0.1\": expected an address such as" },
	{ "a name for an address", "{\"address\": \"localhost:1\"," REST "," FLEET "}",
	  "address: \"localhost:1\"" },
	{ "a port too large", "{\"address\": \"127.0.0.1:70000\"," REST "," FLEET "}",
	  "address: \"127.0.0.1:70000\"" },
	{ "no fleet", "{" ADDRESS "," REST "}", "\"fleet\" is missing" },
	{ "an empty fleet", "{" ADDRESS "," REST ", \"fleet\": []}", "expected 1 to 16 ranges" },
	{ "a bad range", "{" ADDRESS "," REST ", \"fleet\": [\"10.0.0.0/40\"]}",
	  "fleet[0]: \"10.0.0.0/40\": expected a range" },
	{ "a seed without a port", "{" ADDRESS "," REST "," FLEET ", \"seeds\": [\"127.0.0.1:0\"]}",
	  "seeds[0]: \"127.0.0.1:0\"" },
	{ "too few workers", "{" ADDRESS "," REST "," FLEET ", \"workers\": 1}",
	  "workers: 1: expected a number from 16 to 1024" },
	{ "an unknown key", "{" ADDRESS "," REST "," FLEET ",\n\"wrkers\": 8}",
	  ":2: wrkers: unknown key" },
	{ "no JSON", "settings = 1", ":1: " },
};

/* Runs a program with what follows; its exit status, and its standard error. */
static int run(const char *program, const char *args, char *errors, size_t cap)
{
	const char *bin = getenv("GODWITHITCH_BIN");
	char *command = g_strdup_printf("%s/%s %s 2>&1", bin ? bin : "build/bin", program, args);
	FILE *out = popen(command, "r");
	size_t n = fread(errors, 1, cap - 1, out);
	int status = pclose(out);

	errors[n] = '\0';
	g_free(command);
	return WEXITSTATUS(status);
}

static void test_settings(void **state)
{
	char *path = NULL;
	char errors[1024];
	char args[256];

	(void)state;
	close(g_file_open_tmp("godwithitch-XXXXXX", &path, NULL));
	g_snprintf(args, sizeof(args), "-n -f %s", path);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		int status;

		g_file_set_contents(path, rows[i].text, -1, NULL);
		status = run("godwithitchd", args, errors, sizeof(errors));
		if (status != (rows[i].error ? 2 : 0) ||
		    (rows[i].error && !strstr(errors, rows[i].error)))
			fail_msg("%s: exit %d, %s", rows[i].what, status, errors);
	}
	unlink(path);
	g_free(path);
}

static const struct exit_row {
	const char *program;
	const char *args;
	int status;
	const char *text;
} exit_rows[] = {
	{ "godwithitchd", "", 2, "usage: godwithitchd [-n] -f settings.json" },
	{ "godwithitchd", "-f /nonexistent", 2, "/nonexistent" },
	{ "godwithitch", "", 2, "usage: godwithitch" },
	{ "godwithitch", "version", 0, "godwithitch 0." },
	{ "godwithitch", "fly", 2, "" },
	{ "godwithitch", "apply x", 2, "a control address (-c or -f) is needed" },
	{ "godwithitch", "-c 127.0.0.1:1 apply x", 2, "the log's URL (-l or -f) is needed" },
	{ "godwithitch", "-c 127.0.0.1:1 -l http://127.0.0.1:1 apply /nonexistent", 1,
	  "/nonexistent" },
	{ "godwithitch", "-c 127.0.0.1:1 status", 3, "no control address answers" },
	{ "godwithitch", "-t 0 version", 2, "usage" },
	{ "godwithitch", "check /nonexistent", 1, "/nonexistent" },
	{ "godwithitch", "-f /nonexistent status", 2, "/nonexistent" },
};

static void test_exit_codes(void **state)
{
	char errors[1024];

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(exit_rows); i++) {
		const struct exit_row *row = &exit_rows[i];
		int status = run(row->program, row->args, errors, sizeof(errors));

		if (status != row->status || !strstr(errors, row->text))
			fail_msg("%s %s: exit %d, %s", row->program, row->args, status, errors);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_settings),
		cmocka_unit_test(test_exit_codes),
	};

	return cmocka_run_group_tests_name("godwithitchd/settings", tests, NULL, NULL);
}
