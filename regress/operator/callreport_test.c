/* Reports on calls: what is counted of the logs' lines. */
#include "regress/lib/check.h"

#include <string.h>

#include "operator/callreport.h"

#define CALL(time, route, status, verdict, why)                                                    \
	time " info 801 CALL_ENDED id=1 route=" route " status=" status " verdict=" verdict        \
	     " target=a repeats=1 offers=3 version=2 ms=12.5 returned=1 why=\"" why "\"\n"

static const char *const lines[] = {
	CALL("2026-12-05T04:24:57.000Z", "reads", "200", "ran", ""),
	CALL("2026-12-05T04:24:57.900Z", "reads", "503", "not-run", "no slot = 5, of all"),
	/* A collector has put its own words in front. */
	"  11.4 node-7 " CALL("2026-12-05T04:24:59.100Z", "writes", "502", "may-have-run", "cut"),
	CALL("2026-12-05T04:24:59.200Z", "writes", "0", "not-run", ""),
	"2026-12-05T04:24:59.300Z info 505 TARGET_LOADED slots=9 running=9 queued=27 late=9\n",
	/* None of these counts. */
	"2026-12-05T04:24:59.300Z info 300 MEMBER_CHANGED member=1 state=alive\n",
	CALL("2026-12-05T04:24:5x.000Z", "reads", "200", "ran", ""),
	"no time info 801 CALL_ENDED status=200\n",
	"2026-12-05T04:24:57.000Z info 801 CALL_ENDED \n",
	"",
};

static struct strbuf report_text(bool chart)
{
	struct call_report *report = call_report_new();
	struct strbuf text = { 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
		call_report_add(report, str_from_cstr(lines[i]));
	/* The line without fields is an ended call of no route, abandoned by its caller. */
	assert_int_equal(call_report_calls(report), 5);
	if (chart)
		call_report_draw(report, &text);
	else
		call_report_print(report, &text);
	strbuf_add(&text, (struct str){ "", 1 });
	call_report_free(report);
	return text;
}

static void assert_has(const struct strbuf *text, const char *part)
{
	if (!strstr(text->data, part))
		fail_msg("no \"%s\" in:\n%s", part, text->data);
}

static void test_tables_count_calls_by_second_route_and_reason(void **state)
{
	struct strbuf text = report_text(false);

	(void)state;
	assert_has(&text, "2026-12-05T04:24:57         3        1        1        0         1");
	assert_has(&text, "2026-12-05T04:24:59         2        0        0        1         1");
	assert_has(&text, "reads                       2        1        1        0         0");
	assert_has(&text, "writes                      2        0        0        1         1");
	assert_has(&text, " 27 ");
	assert_has(&text, "       1 no slot = 5, of all\n");
	assert_has(&text, "       1 cut\n");
	strbuf_clear(&text);
}

static void test_chart_has_a_bar_for_each_second(void **state)
{
	struct strbuf text = report_text(true);

	(void)state;
	assert_has(&text, "<svg ");
	assert_has(&text, "<rect x=\"0.0\"");
	assert_has(&text, "<rect x=\"600.0\"");
	assert_has(&text, "at most 3 calls a second");
	assert_has(&text, "</svg>\n");
	strbuf_clear(&text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_tables_count_calls_by_second_route_and_reason),
		cmocka_unit_test(test_chart_has_a_bar_for_each_second),
	};

	return cmocka_run_group_tests_name("operator/callreport", tests, NULL, NULL);
}
