/*
 * godwithitch(1): the command line tool for operators.
 */
#include <apr_general.h>
#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#include "godwithitch/tool.h"

#define TOOL_VERSION "0.1.0"

enum { ARGS_MAX = 64, TIMEOUT_DEFAULT_S = 30, TIMEOUT_MAX_S = 7 * 86400, STOP_MAX_S = 86400 };

/** The settings file: addresses of the nodes and the log, in JSON with comments. */
struct tool_settings {
	struct json_doc *doc; /* owns the strings that struct tool refers to */
};

static int usage(void)
{
	fprintf(stderr,
		"usage: godwithitch [-j] [-c host:port] [-f settings] [-l log-url] [-o chart]\n"
		"           [-s seconds] [-t seconds] apply file | check file ... | diff file | "
		"history |\n"
		"           report log ... | show [file] | status [host:port] | version |\n"
		"           watch service\n");
	return TOOL_USAGE;
}

static bool read_controls(const struct json_doc *doc, struct tool *tool, GError **error)
{
	struct json *list;

	if (!json_read_member(doc, doc->root, STR("control"), JSON_OPTIONAL, JSON_ARRAY, &list,
			      error))
		return false;
	for (guint i = 0; list && i < list->items->len; i++) {
		const struct json *item = g_ptr_array_index(list->items, i);

		if (!json_check_kind(doc, item, JSON_STRING, error))
			return false;
		if (tool->control_count == CONTROLS_MAX)
			return json_fail(doc, item, CONFIG_ERROR_TYPE, error,
					 "expected at most %d addresses", CONTROLS_MAX);
		tool->controls[tool->control_count++] = item->string;
	}
	return true;
}

/* Reads the settings file. Options of the command line take precedence. */
static bool read_settings(const char *path, struct tool *tool, struct tool_settings *settings,
			  GError **error)
{
	char *text;
	gsize len;
	struct str url = STR("");

	if (!g_file_get_contents(path, &text, &len, error))
		return false;
	settings->doc = json_parse(str_from_cstr(path), (struct str){ text, len }, error);
	g_free(text);
	if (!settings->doc ||
	    !json_check_kind(settings->doc, settings->doc->root, JSON_OBJECT, error) ||
	    (tool->control_count == 0 && !read_controls(settings->doc, tool, error)) ||
	    !json_read_str(settings->doc, settings->doc->root, STR("log"), JSON_OPTIONAL, &url,
			   error))
		return false;
	/* Marks the key as used, also if the command line replaces its value. */
	json_get(settings->doc->root, STR("control"));
	if (tool->log_url.len == 0)
		tool->log_url = url;
	return json_check_unknown_keys(settings->doc, settings->doc->root, error);
}

static int require(bool present, const char *name)
{
	if (present)
		return TOOL_DONE;
	fprintf(stderr, "godwithitch: %s is needed\n", name);
	return TOOL_USAGE;
}

/* Runs a command; @p args holds its arguments. */
static int run_command(const struct tool *tool, const char *command, char **args, int count)
{
	if (strcmp(command, "version") == 0 && count == 0) {
		printf("godwithitch " TOOL_VERSION "\n");
		return TOOL_DONE;
	}
	if (strcmp(command, "check") == 0 && count > 0)
		return tool_check(tool, args, count);
	if (strcmp(command, "report") == 0 && count > 0)
		return tool_report(&(struct report_options){ args, count, tool->chart });
	if (require(tool->control_count > 0, "a control address (-c or -f)") != TOOL_DONE)
		return TOOL_USAGE;
	if (strcmp(command, "apply") == 0 && count == 1) {
		if (require(tool->log_url.len > 0, "the log's URL (-l or -f)") != TOOL_DONE)
			return TOOL_USAGE;
		return tool_apply(tool, args[0]);
	}
	if (strcmp(command, "diff") == 0 && count == 1)
		return tool_diff(tool, args[0]);
	if (strcmp(command, "history") == 0 && count == 0)
		return tool_history(tool);
	if (strcmp(command, "show") == 0 && count <= 1)
		return tool_show(tool, count ? args[0] : NULL);
	if (strcmp(command, "status") == 0 && count <= 1)
		return tool_status(tool, count ? args[0] : NULL);
	if (strcmp(command, "watch") == 0 && count == 1)
		return tool_watch(tool, args[0]);
	return usage();
}

/** The parsed command line. */
struct command_line {
	struct arg_lit *json;
	struct arg_str *control;
	struct arg_file *file;
	struct arg_str *log_url;
	struct arg_file *chart;
	struct arg_dbl *stop;
	struct arg_int *timeout;
	struct arg_str *args;
	struct arg_end *end;
};

static int run_command_line(struct tool *tool, const struct command_line *line,
			    struct tool_settings *settings)
{
	int seconds = line->timeout->count ? line->timeout->ival[0] : TIMEOUT_DEFAULT_S;
	GError *error = NULL;

	for (int i = 0; i < line->control->count; i++)
		tool->controls[tool->control_count++] = str_from_cstr(line->control->sval[i]);
	if (line->log_url->count)
		tool->log_url = str_from_cstr(line->log_url->sval[0]);
	if (line->file->count && !read_settings(line->file->filename[0], tool, settings, &error)) {
		fprintf(stderr, "godwithitch: %s\n", error->message);
		g_error_free(error);
		return TOOL_USAGE;
	}
	if (seconds < 1 || seconds > TIMEOUT_MAX_S ||
	    (line->stop->count && !(line->stop->dval[0] > 0 && line->stop->dval[0] <= STOP_MAX_S)))
		return usage();
	tool->stop_within_us =
		line->stop->count ? (int64_t)(line->stop->dval[0] * (double)US_PER_S) : 0;
	tool->json = line->json->count > 0;
	tool->chart = line->chart->count ? line->chart->filename[0] : NULL;
	tool->deadline = deadline_after(clock_now(), seconds * US_PER_S);
	return run_command(tool, line->args->sval[0], (char **)(void *)(line->args->sval + 1),
			   line->args->count - 1);
}

int main(int argc, char **argv)
{
	struct command_line line = {
		.json = arg_lit0("j", "json", "print answers as JSON"),
		.control = arg_strn("c", NULL, "HOST:PORT", 0, CONTROLS_MAX, "control"),
		.file = arg_file0("f", NULL, "FILE", "settings"),
		.log_url = arg_str0("l", NULL, "URL", "log"),
		.chart = arg_file0("o", NULL, "CHART", "chart of a report"),
		.stop = arg_dbl0("s", NULL, "SECONDS", "time of a planned stop of a node"),
		.timeout = arg_int0("t", NULL, "SECONDS", "time limit"),
		.args = arg_strn(NULL, NULL, "WORD", 1, ARGS_MAX, "command"),
		.end = arg_end(4),
	};
	void *table[] = { line.json, line.control, line.file, line.log_url, line.chart,
			  line.stop, line.timeout, line.args, line.end };
	struct tool_settings settings = { NULL };
	struct tool tool = { 0 };
	int status;

	apr_initialize();
	apr_pool_create(&tool.pool, NULL);
	if (arg_parse(argc, argv, table) == 0)
		status = run_command_line(&tool, &line, &settings);
	else
		status = usage();
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	json_free(settings.doc);
	apr_pool_destroy(tool.pool);
	return status;
}
