/*
 * The command "report": tables and a chart of the calls in nodes' logs.
 */
#include <stdio.h>

#include "godwithitch/tool.h"
#include "operator/callreport.h"

static bool add_file(struct call_report *report, const char *path)
{
	GError *error = NULL;
	GIOChannel *channel = g_io_channel_new_file(path, "r", &error);
	gchar *line = NULL;
	gsize len = 0;

	/* Logs may hold any bytes. */
	if (channel)
		g_io_channel_set_encoding(channel, NULL, NULL);
	while (channel &&
	       g_io_channel_read_line(channel, &line, &len, NULL, &error) == G_IO_STATUS_NORMAL) {
		call_report_add(report, (struct str){ line, len });
		g_free(line);
	}
	if (channel)
		g_io_channel_unref(channel);
	if (!error)
		return true;
	fprintf(stderr, "godwithitch: %s\n", error->message);
	g_error_free(error);
	return false;
}

static bool write_chart(struct call_report *report, const char *path)
{
	struct strbuf chart = { 0 };
	GError *error = NULL;
	bool written;

	call_report_draw(report, &chart);
	written = g_file_set_contents(path, chart.data, (gssize)chart.len, &error);
	if (!written) {
		fprintf(stderr, "godwithitch: %s\n", error->message);
		g_error_free(error);
	}
	strbuf_clear(&chart);
	return written;
}

int tool_report(const struct report_options *options)
{
	struct call_report *report = call_report_new();
	struct strbuf text = { 0 };
	bool done = true;

	for (int i = 0; done && i < options->count; i++)
		done = add_file(report, options->paths[i]);
	if (done && options->chart)
		done = write_chart(report, options->chart);
	if (done) {
		call_report_print(report, &text);
		fwrite(text.data, 1, text.len, stdout);
	}
	strbuf_clear(&text);
	call_report_free(report);
	return done ? TOOL_DONE : TOOL_USAGE;
}
