/* docs/EVENTS.md must list each event of the catalogue, and no other. */
#include "regress/lib/check.h"

#include <stdio.h>
#include <string.h>

#include "base/events.h"

static const struct {
	int number;
	const char *name;
} catalogue[] = {
#define ENTRY(number, name, level) { number, #name },
	LOG_EVENTS(ENTRY)
#undef ENTRY
};

static void test_docs_match_catalogue(void **state)
{
	char *text = NULL;
	char **lines;
	int listed = 0;

	(void)state;
	assert_true(g_file_get_contents("docs/EVENTS.md", &text, NULL, NULL));
	for (size_t i = 0; i < G_N_ELEMENTS(catalogue); i++) {
		char *row = g_strdup_printf("| %d | %s |", catalogue[i].number, catalogue[i].name);

		if (!strstr(text, row))
			fail_msg("%s is not in docs/EVENTS.md", row);
		g_free(row);
	}
	lines = g_strsplit(text, "\n", -1);
	for (int i = 0; lines[i]; i++)
		listed += g_str_has_prefix(lines[i], "| ") && g_ascii_isdigit(lines[i][2]);
	assert_int_equal(listed, G_N_ELEMENTS(catalogue));
	g_strfreev(lines);
	g_free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = { cmocka_unit_test(test_docs_match_catalogue) };

	return cmocka_run_group_tests_name("base/events", tests, NULL, NULL);
}
