#include "operator/callreport.h"

#include <glib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hist.h"

enum {
	REASONS_PRINTED = 12,
	TIME_CHARS = 24,   /* "2026-12-05T04:24:57.000Z" */
	SECOND_CHARS = 19, /* the same up to the second */
	CHART_WIDTH = 900,
	CHART_HEIGHT = 300,
};

/** How a call ended, from its caller's point of view. */
enum call_end { END_ANSWERED, END_REFUSED, END_FAILED, END_ABANDONED, ENDS };

static const char *const end_colours[ENDS] = { "#4a8", "#e93", "#c33", "#999" };
static const char *const end_names[ENDS] = { "answered", "refused", "failed", "abandoned" };

struct call_sums {
	int64_t ends[ENDS];
	int64_t calls;
	int64_t offers;
	int64_t repeats;
	int64_t returned;
	int64_t queued; /* sum over the nodes that reported waiting calls */
	struct hist answer_times;
};

struct call_report {
	GHashTable *seconds; /* int64_t, wall clock seconds -> struct call_sums */
	GHashTable *routes;  /* char * -> struct call_sums */
	GHashTable *reasons; /* char * -> int64_t */
	struct call_sums total;
};

struct call_report *call_report_new(void)
{
	struct call_report *report = g_new0(struct call_report, 1);

	report->seconds = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	report->routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	report->reasons = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return report;
}

void call_report_free(struct call_report *report)
{
	g_hash_table_destroy(report->seconds);
	g_hash_table_destroy(report->routes);
	g_hash_table_destroy(report->reasons);
	g_free(report);
}

int64_t call_report_calls(const struct call_report *report)
{
	return report->total.calls;
}

/* Returns the value of a field "name=value"; quotes are removed, and an absent field is empty. */
static struct str field_value(struct str line, const char *name)
{
	char *pattern = g_strdup_printf(" %s=", name);
	const char *found = g_strstr_len(line.data, (gssize)line.len, pattern);
	size_t skipped = strlen(pattern);
	struct str rest;
	struct str value;

	g_free(pattern);
	if (!found)
		return STR("");
	rest = str_sub(line, (size_t)(found - line.data) + skipped, line.len);
	if (rest.len && rest.data[0] == '"')
		return str_split(str_sub(rest, 1, rest.len), '"', &value);
	return str_split(rest, ' ', &value);
}

static int64_t field_number(struct str line, const char *name)
{
	int64_t number = 0;

	str_to_int64(field_value(line, name), &number);
	return number;
}

static bool parse_second(struct str time, int64_t *second)
{
	char text[SECOND_CHARS + 1];
	int64_t wall_us;

	memcpy(text, time.data, SECOND_CHARS);
	text[SECOND_CHARS] = 'Z';
	if (!clock_parse_utc((struct str){ text, sizeof(text) }, &wall_us))
		return false;
	*second = wall_us / US_PER_S;
	return true;
}

/* Finds the time of a line, which other programs may have put text in front of. */
static bool find_second(struct str line, int64_t *second)
{
	while (line.len) {
		struct str rest;
		struct str word = str_split(line, ' ', &rest);

		if (word.len == TIME_CHARS && parse_second(word, second))
			return true;
		line = rest;
	}
	return false;
}

static struct call_sums *sums_of_second(struct call_report *report, int64_t second)
{
	struct call_sums *sums = g_hash_table_lookup(report->seconds, &second);

	if (sums)
		return sums;
	sums = g_new0(struct call_sums, 1);
	g_hash_table_insert(report->seconds, g_memdup2(&second, sizeof(second)), sums);
	return sums;
}

static struct call_sums *sums_of_route(struct call_report *report, struct str route)
{
	char *name = str_to_cstr(route);
	struct call_sums *sums = g_hash_table_lookup(report->routes, name);

	if (sums) {
		g_free(name);
		return sums;
	}
	sums = g_new0(struct call_sums, 1);
	g_hash_table_insert(report->routes, name, sums);
	return sums;
}

static void count_reason(struct call_report *report, struct str reason)
{
	char *text = str_to_cstr(reason);
	int64_t *count = g_hash_table_lookup(report->reasons, text);

	if (count) {
		(*count)++;
		g_free(text);
		return;
	}
	count = g_new0(int64_t, 1);
	*count = 1;
	g_hash_table_insert(report->reasons, text, count);
}

static enum call_end end_of(int64_t status, struct str verdict)
{
	if (status == 0)
		return END_ABANDONED;
	if (str_equal(verdict, STR("not-run")))
		return END_REFUSED;
	return status < 500 ? END_ANSWERED : END_FAILED;
}

static void add_call(struct call_sums *sums, struct str line)
{
	char *milliseconds = str_to_cstr(field_value(line, "ms"));
	enum call_end end = end_of(field_number(line, "status"), field_value(line, "verdict"));

	sums->calls++;
	sums->ends[end]++;
	sums->offers += field_number(line, "offers");
	sums->repeats += field_number(line, "repeats");
	sums->returned += field_number(line, "returned");
	if (end == END_ANSWERED)
		hist_add(&sums->answer_times,
			 (int64_t)(g_ascii_strtod(milliseconds, NULL) * US_PER_MS));
	g_free(milliseconds);
}

void call_report_add(struct call_report *report, struct str line)
{
	bool ended = g_strstr_len(line.data, (gssize)line.len, " CALL_ENDED ") != NULL;
	bool loaded = g_strstr_len(line.data, (gssize)line.len, " TARGET_LOADED ") != NULL;
	struct call_sums *second_sums;
	struct str reason;
	int64_t second;

	if ((!ended && !loaded) || !find_second(line, &second))
		return;
	second_sums = sums_of_second(report, second);
	if (loaded) {
		second_sums->queued += field_number(line, "queued");
		return;
	}
	add_call(second_sums, line);
	add_call(sums_of_route(report, field_value(line, "route")), line);
	add_call(&report->total, line);
	reason = field_value(line, "why");
	if (reason.len)
		count_reason(report, reason);
}

static gint compare_seconds(gconstpointer a, gconstpointer b)
{
	const int64_t *x = a;
	const int64_t *y = b;

	return (*x > *y) - (*x < *y);
}

/* Returns the seconds in order; the list borrows them. */
static GList *sorted_seconds(const struct call_report *report)
{
	return g_list_sort(g_hash_table_get_keys(report->seconds), compare_seconds);
}

static void print_sums(const struct call_sums *sums, const char *name, struct strbuf *out)
{
	strbuf_addf(out, "%-20s %8ld %8ld %8ld %8ld %9ld %7.1f %8ld %8ld %7ld %8.1f %8.1f\n", name,
		    sums->calls, sums->ends[END_ANSWERED], sums->ends[END_REFUSED],
		    sums->ends[END_FAILED], sums->ends[END_ABANDONED],
		    sums->calls ? (double)sums->offers / (double)sums->calls : 0, sums->repeats,
		    sums->returned, sums->queued,
		    (double)hist_quantile_us(&sums->answer_times, 0.5) / US_PER_MS,
		    (double)hist_quantile_us(&sums->answer_times, 0.99) / US_PER_MS);
}

static void print_heading(const char *name, struct strbuf *out)
{
	strbuf_addf(out, "%-20s %8s %8s %8s %8s %9s %7s %8s %8s %7s %8s %8s\n", name, "calls",
		    "answered", "refused", "failed", "abandoned", "offers", "repeats", "returned",
		    "queued", "p50 ms", "p99 ms");
}

static void print_seconds(const struct call_report *report, struct strbuf *out)
{
	GList *seconds = sorted_seconds(report);

	print_heading("second", out);
	for (const GList *at = seconds; at; at = at->next) {
		const int64_t *second = at->data;
		struct strbuf time = { 0 };
		char *name;

		clock_format_utc(&time, *second * US_PER_S);
		name = str_to_cstr(str_sub(strbuf_str(&time), 0, SECOND_CHARS));
		print_sums(g_hash_table_lookup(report->seconds, second), name, out);
		g_free(name);
		strbuf_clear(&time);
	}
	print_sums(&report->total, "all", out);
	g_list_free(seconds);
}

static void print_routes(const struct call_report *report, struct strbuf *out)
{
	GList *names = g_list_sort(g_hash_table_get_keys(report->routes), (GCompareFunc)strcmp);

	print_heading("route", out);
	for (const GList *at = names; at; at = at->next)
		print_sums(g_hash_table_lookup(report->routes, at->data), at->data, out);
	g_list_free(names);
}

static gint compare_counts(gconstpointer a, gconstpointer b, gpointer reasons)
{
	const int64_t *x = g_hash_table_lookup(reasons, a);
	const int64_t *y = g_hash_table_lookup(reasons, b);

	if (*x != *y)
		return *x > *y ? -1 : 1;
	return strcmp(a, b);
}

static void print_reasons(const struct call_report *report, struct strbuf *out)
{
	GList *texts = g_list_sort_with_data(g_hash_table_get_keys(report->reasons), compare_counts,
					     report->reasons);
	int printed = 0;

	for (const GList *at = texts; at && printed < REASONS_PRINTED; at = at->next, printed++)
		strbuf_addf(out, "%8ld %s\n",
			    *(const int64_t *)g_hash_table_lookup(report->reasons, at->data),
			    (const char *)at->data);
	g_list_free(texts);
}

void call_report_print(struct call_report *report, struct strbuf *out)
{
	print_seconds(report, out);
	strbuf_add(out, STR("\n"));
	print_routes(report, out);
	if (g_hash_table_size(report->reasons)) {
		strbuf_add(out, STR("\nreasons of answers that nodes made\n"));
		print_reasons(report, out);
	}
}

static int64_t busiest_second(const struct call_report *report)
{
	GHashTableIter iter;
	gpointer sums;
	int64_t most = 1;

	g_hash_table_iter_init(&iter, report->seconds);
	while (g_hash_table_iter_next(&iter, NULL, &sums))
		most = MAX(most, ((const struct call_sums *)sums)->calls);
	return most;
}

/* Draws one second as a bar of stacked parts. */
static void draw_second(const struct call_sums *sums, double x, double width, double scale,
			struct strbuf *out)
{
	double y = CHART_HEIGHT;

	for (int i = 0; i < ENDS; i++) {
		double height = (double)sums->ends[i] * scale;

		y -= height;
		if (sums->ends[i])
			strbuf_addf(out,
				    "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" "
				    "fill=\"%s\"/>\n",
				    x, y, width, height, end_colours[i]);
	}
}

void call_report_draw(struct call_report *report, struct strbuf *out)
{
	GList *seconds = sorted_seconds(report);
	int64_t first = seconds ? *(const int64_t *)seconds->data : 0;
	int64_t last = seconds ? *(const int64_t *)g_list_last(seconds)->data : 0;
	double width = (double)CHART_WIDTH / (double)(last - first + 1);
	double scale = (double)CHART_HEIGHT / (double)busiest_second(report);

	strbuf_addf(out,
		    "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "
		    "font-family=\"sans-serif\" font-size=\"12\">\n",
		    CHART_WIDTH, CHART_HEIGHT + 24);
	for (const GList *at = seconds; at; at = at->next) {
		const int64_t *second = at->data;

		draw_second(g_hash_table_lookup(report->seconds, second),
			    (double)(*second - first) * width, width, scale, out);
	}
	for (int i = 0; i < ENDS; i++)
		strbuf_addf(out, "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>\n", 8 + i * 100,
			    CHART_HEIGHT + 16, end_colours[i], end_names[i]);
	strbuf_addf(out, "<text x=\"%d\" y=\"%d\">at most %ld calls a second</text>\n</svg>\n",
		    8 + ENDS * 100, CHART_HEIGHT + 16, busiest_second(report));
	g_list_free(seconds);
}
