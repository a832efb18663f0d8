/* Tests of the checks of the settings file and of the programs' exit statuses. */
#include "regress/lib/check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define OTHER_KEYS                                                                                 \
	"\"callers\": \"127.0.0.1:0\", \"control\": \"127.0.0.1:0\", "                             \
	"\"announce\": \"127.0.0.1:0\","                                                           \
	"\"data_centre\": \"a\", \"log\": \"http://127.0.0.1:1\""
#define FLEET	"\"fleet\": [\"127.0.0.0/8\"]"
#define ADDRESS "\"address\": \"127.0.0.1:0\""

static const struct settings_case {
	const char *name;
	const char *text;
	const char *expected_error; /* part of the message; NULL: the settings are valid */
} settings_cases[] = {
	{ "valid settings", "{" ADDRESS "," OTHER_KEYS "," FLEET "}", NULL },
	{ "no address", "{" OTHER_KEYS "," FLEET "}",
	  ":1: the key \"address\" is missing, expected a string" },
	{ "an address without a port", "{\n\"address\": \"127.0.0.1\"," OTHER_KEYS "," FLEET "}",
	  ":2: address: \"127.0.0.1\": expected an address such as" },
	{ "a host name as the address", "{\"address\": \"localhost:1\"," OTHER_KEYS "," FLEET "}",
	  "address: \"localhost:1\"" },
	{ "a port too large", "{\"address\": \"127.0.0.1:70000\"," OTHER_KEYS "," FLEET "}",
	  "address: \"127.0.0.1:70000\"" },
	{ "no fleet", "{" ADDRESS "," OTHER_KEYS "}", "\"fleet\" is missing" },
	{ "an empty fleet", "{" ADDRESS "," OTHER_KEYS ", \"fleet\": []}",
	  "expected 1 to 16 ranges" },
	{ "a bad range", "{" ADDRESS "," OTHER_KEYS ", \"fleet\": [\"10.0.0.0/40\"]}",
	  "fleet[0]: \"10.0.0.0/40\": expected a range" },
	{ "a seed without a port",
	  "{" ADDRESS "," OTHER_KEYS "," FLEET ", \"seeds\": [\"127.0.0.1:0\"]}",
	  "seeds[0]: \"127.0.0.1:0\"" },
	{ "too few workers", "{" ADDRESS "," OTHER_KEYS "," FLEET ", \"workers\": 1}",
	  "workers: 1: expected a number from 16 to 1024" },
	{ "the limit of cold targets",
	  "{" ADDRESS "," OTHER_KEYS "," FLEET
	  ", \"cold_factor\": 1.25, \"cold_allowance\": 0, \"evacuate_within_s\": 5}",
	  NULL },
	{ "a limit of cold targets below their rate",
	  "{" ADDRESS "," OTHER_KEYS "," FLEET ", \"cold_factor\": 0.5}",
	  "cold_factor: expected a number of 1 or more" },
	{ "a negative slack", "{" ADDRESS "," OTHER_KEYS "," FLEET ", \"cold_allowance\": -1}",
	  "cold_allowance: expected a number from 0" },
	{ "an unknown key", "{" ADDRESS "," OTHER_KEYS "," FLEET ",\n\"wrkers\": 8}",
	  ":2: wrkers: unknown key" },
	{ "not JSON", "settings = 1", ":1: " },
};

/* Runs a program with @p args. Returns its exit status, and its output and errors in @p output. */
static int run_program(const char *program, const char *args, char *output, size_t cap)
{
	const char *bin = getenv("GODWITHITCH_BIN");
	char *command = g_strdup_printf("%s/%s %s 2>&1", bin ? bin : "build/bin", program, args);
	FILE *out = popen(command, "r");
	size_t n = fread(output, 1, cap - 1, out);
	int status = pclose(out);

	output[n] = '\0';
	g_free(command);
	return WEXITSTATUS(status);
}

static void test_settings_check_reports_errors(void **state)
{
	char *path = NULL;
	char output[1024];
	char args[256];

	(void)state;
	close(g_file_open_tmp("godwithitch-XXXXXX", &path, NULL));
	g_snprintf(args, sizeof(args), "-n -f %s", path);
	for (size_t i = 0; i < G_N_ELEMENTS(settings_cases); i++) {
		int status;

		g_file_set_contents(path, settings_cases[i].text, -1, NULL);
		status = run_program("godwithitchd", args, output, sizeof(output));
		if (status != (settings_cases[i].expected_error ? 2 : 0) ||
		    (settings_cases[i].expected_error &&
		     !strstr(output, settings_cases[i].expected_error)))
			fail_msg("%s: exit %d, %s", settings_cases[i].name, status, output);
	}
	unlink(path);
	g_free(path);
}

static const struct exit_case {
	const char *program;
	const char *args;
	int status;
	const char *text;
} exit_cases[] = {
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
	char output[1024];

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(exit_cases); i++) {
		const struct exit_case *test_case = &exit_cases[i];
		int status =
			run_program(test_case->program, test_case->args, output, sizeof(output));

		if (status != test_case->status || !strstr(output, test_case->text))
			fail_msg("%s %s: exit %d, %s", test_case->program, test_case->args, status,
				 output);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_settings_check_reports_errors),
		cmocka_unit_test(test_exit_codes),
	};

	return cmocka_run_group_tests_name("godwithitchd/settings", tests, NULL, NULL);
}
