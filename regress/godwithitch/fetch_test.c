/* A control address breaks its answer off after any of its bytes: the command has no answer. */
#include "regress/lib/check.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "regress/lib/break_server.h"
#include "regress/lib/breaker.h"

enum {
	EXIT_DONE = 0,
	EXIT_REJECTED = 1,
	EXIT_UNKNOWN = 3,
	SHOWN_MAX = 8,
	MEMORY_MAX_KB = 64 << 10,
};

struct whole_answer {
	struct str bytes;
	int exit_code;
	const char *output;
};

#define ANSWER(text, exit_code, output)                                                            \
	{                                                                                          \
		{ text, sizeof(text) - 1 }, exit_code, output                                      \
	}

static const struct whole_answer answers[] = {
	ANSWER("HTTP/1.1 200 OK\r\nGodwithitch-File-Version: 7\r\nContent-Length: 4\r\n\r\nfile",
	       EXIT_DONE, "file"),
	ANSWER("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfile\r\n0\r\n\r\n",
	       EXIT_DONE, "file"),
	ANSWER("HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n", EXIT_REJECTED, ""),
};

/* Runs "godwithitch show"; returns its exit code and sets *output. */
static int run_show(uint16_t port, char **output)
{
	const char *bin = getenv("GODWITHITCH_BIN");
	char *program = g_strdup_printf("%s/godwithitch", bin ? bin : "build/bin");
	char *control = g_strdup_printf("127.0.0.1:%u", port);
	char *argv[] = { program, "-c", control, "show", "file", NULL };
	char *errors = NULL;
	int status = -1;

	assert_true(g_spawn_sync(NULL, argv, NULL, 0, NULL, NULL, output, &errors, &status, NULL));
	g_free(errors);
	g_free(control);
	g_free(program);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

static bool check_answer(struct break_server *server, const struct whole_answer *answer, size_t len,
			 enum break_end end)
{
	struct break_plan plan = { .bytes = { answer->bytes.data, len }, .end = end };
	bool whole = len == answer->bytes.len;
	char *output = NULL;
	int exit_code;
	bool right;

	break_server_set(server, &plan);
	exit_code = run_show(break_server_port(server), &output);
	right = exit_code == (whole ? answer->exit_code : EXIT_UNKNOWN) &&
		strcmp(output, whole ? answer->output : "") == 0;
	g_free(output);
	return right;
}

static void test_broken_answer_is_no_answer(void **state)
{
	struct break_server *server = break_server_new();
	int played = 0;
	int wrong = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(answers) * 2; i++) {
		const struct whole_answer *answer = &answers[i / 2];

		for (size_t len = 0; len <= answer->bytes.len; len++, played++)
			if (!check_answer(server, answer, len, i % 2 ? BREAK_RESET : BREAK_FIN) &&
			    wrong++ < SHOWN_MAX)
				printf("wrong: answer %zu, %zu of %zu bytes\n", i / 2, len,
				       answer->bytes.len);
	}
	printf("%d answers, %d wrong\n", played, wrong);
	break_server_free(server);
	assert_int_equal(wrong, 0);
}

static void answer_without_end(void *context, const struct breaker_request *request,
			       struct breaker_plan *plan)
{
	(void)context;
	(void)request;
	breaker_plan_send(plan, STR("HTTP/1.1 200 OK\r\n\r\n"));
	breaker_plan_flood(plan, STR("more of the file\n"));
}

/* The command kept all that came until its time was over. */
static void test_endless_answer_needs_little_memory(void **state)
{
	struct breaker_options options = { .instance = "", .answer = answer_without_end };
	struct breaker *breaker = breaker_new(&options);
	struct rusage usage;
	char *output = NULL;

	(void)state;
	assert_int_equal(run_show((uint16_t)breaker_port(breaker), &output), EXIT_UNKNOWN);
	assert_string_equal(output, "");
	getrusage(RUSAGE_CHILDREN, &usage);
	printf("%ld KB at the peak\n", usage.ru_maxrss);
	assert_true(usage.ru_maxrss <= MEMORY_MAX_KB);
	g_free(output);
	breaker_free(breaker);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_broken_answer_is_no_answer),
		cmocka_unit_test(test_endless_answer_needs_little_memory),
	};

	return cmocka_run_group_tests_name("godwithitch/fetch", tests, NULL, NULL);
}
