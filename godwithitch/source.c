/*
 * Configuration files of the operator, and their differences from those in force.
 */
#include "godwithitch/tool.h"

#include <string.h>

#include "operator/parse.h"

void source_clear(struct source *source)
{
	change_unref(source->change);
	g_free(source->text);
}

/* An empty file is no configuration, although the content of a change may be empty. */
static bool parse_source(struct source *source, GError **error)
{
	source->change = change_new((struct label){ 0 }, source->name, 0,
				    (struct str){ source->text, source->len });
	parse_change(source->change);
	if (source->change->parsed)
		return true;
	if (source->change->parse_error)
		g_set_error_literal(error, CONFIG_ERROR, CONFIG_ERROR_TYPE,
				    source->change->parse_error);
	else
		g_set_error(error, CONFIG_ERROR, CONFIG_ERROR_SYNTAX, "%.*s:1: the file is empty",
			    STR_ARG(label_str(&source->name)));
	return false;
}

bool source_read(const char *path, struct source *source, GError **error)
{
	char *base = g_path_get_basename(path);
	bool fits = label_fits(str_from_cstr(base));

	*source = (struct source){ .name = label_from(str_from_cstr(base)) };
	if (!fits)
		g_set_error(error, CONFIG_ERROR, CONFIG_ERROR_NAME,
			    "%s: the name has more than %d bytes", base, LABEL_MAX_BYTES);
	g_free(base);
	if (fits && g_file_get_contents(path, &source->text, &source->len, error) &&
	    parse_source(source, error))
		return true;
	source_clear(source);
	return false;
}

struct reply tool_fetch_file(const struct tool *tool, const struct label *name)
{
	char *path = g_strdup_printf("/v1/file?name=%.*s", STR_ARG(label_str(name)));
	struct reply reply = fetch_any(tool, path);

	g_free(path);
	return reply;
}

struct difference difference_between(const char *old_text, const char *new_text)
{
	struct difference difference = { .old_lines = g_strsplit(old_text, "\n", -1),
					 .new_lines = g_strsplit(new_text, "\n", -1) };
	char **old = difference.old_lines;
	char **new = difference.new_lines;
	guint old_end = g_strv_length(old);
	guint new_end = g_strv_length(new);
	guint start = 0;

	while (start < old_end && start < new_end && strcmp(old[start], new[start]) == 0)
		start++;
	while (old_end > start && new_end > start &&
	       strcmp(old[old_end - 1], new[new_end - 1]) == 0) {
		old_end--;
		new_end--;
	}
	difference.start = start;
	difference.old_end = old_end;
	difference.new_end = new_end;
	return difference;
}

void difference_clear(struct difference *difference)
{
	g_strfreev(difference->old_lines);
	g_strfreev(difference->new_lines);
}

bool difference_is_empty(const struct difference *difference)
{
	return difference->start == difference->old_end && difference->start == difference->new_end;
}

static void print_lines(char sign, char **lines, guint from, guint to)
{
	for (guint i = from; i < to; i++)
		printf("%c%s\n", sign, lines[i]);
}

void difference_print(const struct difference *difference)
{
	if (difference_is_empty(difference))
		return;
	printf("@@ line %u @@\n", difference->start + 1);
	print_lines('-', difference->old_lines, difference->start, difference->old_end);
	print_lines('+', difference->new_lines, difference->start, difference->new_end);
}

int tool_diff(const struct tool *tool, const char *path)
{
	struct difference difference;
	struct source source;
	struct reply reply;
	GError *error = NULL;
	bool differs;

	if (!source_read(path, &source, &error)) {
		fprintf(stderr, "godwithitch: %s\n", error->message);
		g_error_free(error);
		return TOOL_REJECTED;
	}
	reply = tool_fetch_file(tool, &source.name);
	if (reply.status == 0) {
		fprintf(stderr, "godwithitch: no control address answers\n");
		source_clear(&source);
		return TOOL_UNKNOWN;
	}
	strbuf_add(&reply.body, (struct str){ "", 1 });
	difference =
		difference_between(reply.status == REPLY_OK ? reply.body.data : "", source.text);
	differs = !difference_is_empty(&difference);
	difference_print(&difference);
	difference_clear(&difference);
	reply_clear(&reply);
	source_clear(&source);
	return differs ? TOOL_REJECTED : TOOL_DONE;
}
