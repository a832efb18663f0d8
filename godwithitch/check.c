/*
 * The command check: errors, entries without an effect, limits that contradict each other, and what
 * differs from the files in force.
 */
#include "core/config_check.h"
#include "core/history.h"
#include "godwithitch/tool.h"
#include "operator/parse.h"
#include "platform/logclient.h"

enum { LOG_RETRY_MS = 100 };

/* What is known of a file in force. */
enum force_kind {
	FORCE_UNASKED, /* neither a node nor the log is given */
	FORCE_UNKNOWN, /* the one given does not answer */
	FORCE_NONE,    /* the file is new */
	FORCE_TEXT,
};

/* The file in force; .kind selects the member. */
struct force {
	enum force_kind kind;
	struct {
		int64_t version;
		struct difference difference;
	} text; /* FORCE_TEXT */
};

/* A running check. */
struct check {
	const struct tool *tool;
	int file_count;
	GPtrArray *errors;	 /* char *, "FILE:LINE: PATH: reason" */
	GArray *sources;	 /* struct source, the valid files */
	GArray *forces;		 /* struct force, one for each source */
	GArray *findings;	 /* struct finding; NULL if there are errors */
	struct config *in_force; /* read from the log; NULL: not read */
};

static void clear_source(gpointer source)
{
	source_clear(source);
}

static void clear_force(gpointer data)
{
	struct force *force = data;

	if (force->kind == FORCE_TEXT)
		difference_clear(&force->text.difference);
}

static void check_init(struct check *check)
{
	check->errors = g_ptr_array_new_with_free_func(g_free);
	check->sources = g_array_new(FALSE, TRUE, sizeof(struct source));
	g_array_set_clear_func(check->sources, clear_source);
	check->forces = g_array_new(FALSE, TRUE, sizeof(struct force));
	g_array_set_clear_func(check->forces, clear_force);
}

static void check_clear(struct check *check)
{
	g_ptr_array_unref(check->errors);
	g_array_unref(check->sources);
	g_array_unref(check->forces);
	if (check->findings)
		g_array_unref(check->findings);
	config_unref(check->in_force);
}

static void add_error(struct check *check, GError *error)
{
	g_ptr_array_add(check->errors, g_strdup(error->message));
	g_error_free(error);
}

/* Reads all files, so that each invalid one is reported. */
static void read_sources(struct check *check, char **paths)
{
	for (int i = 0; i < check->file_count; i++) {
		struct source source;
		GError *error = NULL;

		if (source_read(paths[i], &source, &error))
			g_array_append_val(check->sources, source);
		else
			add_error(check, error);
	}
}

/* Checks the files as one configuration. */
static void find(struct check *check)
{
	struct config_check_options options = { .stop_within_us = check->tool->stop_within_us };
	GPtrArray *files = g_ptr_array_new_with_free_func((GDestroyNotify)accepted_file_free);
	struct config *config;
	GError *error = NULL;

	for (guint i = 0; i < check->sources->len; i++) {
		struct source *source = &g_array_index(check->sources, struct source, i);

		g_ptr_array_add(files, accepted_file_new(source->name, 1, source->change));
	}
	config = config_build(files, 1, 1, &error);
	if (!config) {
		add_error(check, error);
		return;
	}
	check->findings = config_check(config, &options);
	config_unref(config);
}

static void apply_records(struct history *history, const struct log_read *read)
{
	for (int i = 0; i < read->count; i++) {
		parse_record_changes(&read->records[i]);
		if (read->records[i].kind == LOG_CHANGE)
			history_apply(history, read->records[i].offset, read->records[i].change);
	}
}

/* Applies the log's changes from the first one on. Returns false if it does not answer in time, or
 * no longer has the first changes. */
static bool read_log(const struct tool *tool, struct logclient *client, struct history *history)
{
	bool expired = false;
	bool at_end = false;

	do {
		struct log_read read =
			logclient_read(client, STREAM_CONFIG, 0, history_version(history) + 1,
				       (struct deadline){ 1 });

		apply_records(history, &read);
		expired = read.kind == READ_FAILED && read.failure == LOG_FAILURE_EXPIRED;
		at_end = read.kind == READ_DONE && history_version(history) >= read.newest;
		log_read_clear(&read);
	} while (!at_end && !expired && tool_wait_ms(tool, LOG_RETRY_MS));
	return at_end;
}

/* Returns the configuration in force by the log, or NULL. */
static struct config *config_of_log(const struct tool *tool)
{
	struct history *history = history_new(tool->pool);
	struct config *config = NULL;
	GError *error = NULL;
	struct logclient *client =
		logclient_new(LOG_SERVICE_NATIVE, tool->log_url, tool->pool, &error);

	if (!client) {
		fprintf(stderr, "godwithitch: -l: %s\n", error->message);
		g_error_free(error);
	} else if (read_log(tool, client, history)) {
		config = history_config(history);
	}
	logclient_free(client);
	history_free(history);
	return config;
}

static struct force compare(const struct source *source, const char *text, int64_t version)
{
	struct force force = { .kind = FORCE_TEXT };

	force.text.version = version;
	force.text.difference = difference_between(text, source->text);
	return force;
}

static struct force force_of_node(const struct check *check, const struct source *source)
{
	struct reply reply = tool_fetch_file(check->tool, &source->name);
	struct force force = { .kind = FORCE_UNKNOWN };

	if (reply.status == REPLY_OK) {
		strbuf_add(&reply.body, (struct str){ "", 1 });
		force = compare(source, reply.body.data, reply.file_version);
	} else if (reply.status == REPLY_NOT_FOUND) {
		force.kind = FORCE_NONE;
	}
	reply_clear(&reply);
	return force;
}

static struct force force_of_log(const struct check *check, const struct source *source)
{
	struct force force = { .kind = FORCE_UNKNOWN };
	const struct accepted_file *file;
	char *text;

	if (!check->in_force)
		return force;
	file = config_find_file(check->in_force, source->name);
	if (!file || file->change->content.len == 0) {
		force.kind = FORCE_NONE;
		return force;
	}
	text = str_to_cstr(file->change->content);
	force = compare(source, text, file->version);
	g_free(text);
	return force;
}

/* Compares the valid files with those in force. */
static void compare_all(struct check *check)
{
	bool by_node = check->tool->control_count > 0;
	bool by_log = !by_node && check->tool->log_url.len > 0;

	if (by_log)
		check->in_force = config_of_log(check->tool);
	for (guint i = 0; i < check->sources->len; i++) {
		const struct source *source = &g_array_index(check->sources, struct source, i);
		struct force force = { .kind = FORCE_UNASKED };

		if (by_node)
			force = force_of_node(check, source);
		else if (by_log)
			force = force_of_log(check, source);
		g_array_append_val(check->forces, force);
	}
}

static bool is_unknown(const struct check *check)
{
	for (guint i = 0; i < check->forces->len; i++)
		if (g_array_index(check->forces, struct force, i).kind == FORCE_UNKNOWN)
			return true;
	return false;
}

static guint warning_count(const struct check *check)
{
	return check->findings ? check->findings->len : 0;
}

static void print_force(const struct source *source, const struct force *force)
{
	struct str name = label_str(&source->name);

	switch (force->kind) {
	case FORCE_UNASKED:
		return;
	case FORCE_UNKNOWN:
		fprintf(stderr, "godwithitch: %.*s: the version in force is not known\n",
			STR_ARG(name));
		return;
	case FORCE_NONE:
		printf("%.*s: new, none is in force\n", STR_ARG(name));
		return;
	case FORCE_TEXT:
		printf("%.*s: %s version %ld in force\n", STR_ARG(name),
		       difference_is_empty(&force->text.difference) ? "same as" : "differs from",
		       force->text.version);
		difference_print(&force->text.difference);
		return;
	}
	g_assert_not_reached();
}

static void print_summary(const struct check *check)
{
	guint warnings = warning_count(check);

	printf("%d file%s checked: ", check->file_count, check->file_count == 1 ? "" : "s");
	if (warnings)
		printf("%u warning%s\n", warnings, warnings == 1 ? "" : "s");
	else
		printf("good\n");
}

static void print_text(const struct check *check)
{
	for (guint i = 0; i < check->errors->len; i++)
		fprintf(stderr, "godwithitch: %s\n",
			(const char *)g_ptr_array_index(check->errors, i));
	for (guint i = 0; i < warning_count(check); i++) {
		const struct finding *finding = &g_array_index(check->findings, struct finding, i);

		printf("%.*s:%d: %s: warning: %s\n", STR_ARG(label_str(&finding->file)),
		       finding->line, finding->path, finding->text);
	}
	for (guint i = 0; i < check->sources->len; i++)
		print_force(&g_array_index(check->sources, struct source, i),
			    &g_array_index(check->forces, struct force, i));
	if (check->errors->len == 0)
		print_summary(check);
}

static void add_member(struct strbuf *out, const char *key, struct str value)
{
	strbuf_addf(out, "\"%s\":", key);
	strbuf_add_json(out, value);
}

/* Starts an element of an array. */
static void add_separator(struct strbuf *out, guint index)
{
	if (index > 0)
		strbuf_add(out, STR(","));
}

static void add_matched(struct strbuf *out, const char *key, const GMatchInfo *match, int group)
{
	char *text = g_match_info_fetch(match, group);

	add_member(out, key, str_from_cstr(text ? text : ""));
	g_free(text);
}

/* Adds an error "FILE:LINE: PATH: reason". One of the syntax has no path, and one of a file that
 * can't be read has no line either. */
static void add_json_error(struct strbuf *out, const char *message)
{
	GRegex *regex =
		g_regex_new("^([^:]+):(\\d+): (?:([^ :]+): )?(.*)$", G_REGEX_DOTALL, 0, NULL);
	GMatchInfo *match = NULL;

	strbuf_add(out, STR("{"));
	if (g_regex_match(regex, message, 0, &match)) {
		char *line = g_match_info_fetch(match, 2);

		add_matched(out, "file", match, 1);
		strbuf_addf(out, ",\"line\":%s,", line);
		add_matched(out, "path", match, 3);
		strbuf_add(out, STR(","));
		add_matched(out, "text", match, 4);
		g_free(line);
	} else {
		add_member(out, "text", str_from_cstr(message));
	}
	strbuf_add(out, STR("}"));
	g_match_info_free(match);
	g_regex_unref(regex);
}

static void add_json_finding(struct strbuf *out, const struct finding *finding)
{
	strbuf_add(out, STR("{"));
	add_member(out, "kind", finding_kind_name(finding->kind));
	strbuf_add(out, STR(","));
	add_member(out, "file", label_str(&finding->file));
	strbuf_addf(out, ",\"line\":%d,", finding->line);
	add_member(out, "path", str_from_cstr(finding->path));
	strbuf_add(out, STR(","));
	add_member(out, "text", str_from_cstr(finding->text));
	strbuf_add(out, STR("}"));
}

static void add_json_lines(struct strbuf *out, const char *key, char **lines, guint from, guint to)
{
	strbuf_addf(out, ",\"%s\":[", key);
	for (guint i = from; i < to; i++) {
		add_separator(out, i - from);
		strbuf_add_json(out, str_from_cstr(lines[i]));
	}
	strbuf_add(out, STR("]"));
}

static void add_json_difference(struct strbuf *out, const struct force *force)
{
	const struct difference *difference = &force->text.difference;

	strbuf_addf(out, ",\"state\":\"%s\",\"version\":%ld",
		    difference_is_empty(difference) ? "same" : "changed", force->text.version);
	if (difference_is_empty(difference))
		return;
	strbuf_addf(out, ",\"line\":%u", difference->start + 1);
	add_json_lines(out, "removed", difference->old_lines, difference->start,
		       difference->old_end);
	add_json_lines(out, "added", difference->new_lines, difference->start, difference->new_end);
}

static void add_json_force(struct strbuf *out, const struct source *source,
			   const struct force *force)
{
	strbuf_add(out, STR("{"));
	add_member(out, "file", label_str(&source->name));
	switch (force->kind) {
	case FORCE_UNASKED:
		strbuf_add(out, STR(",\"state\":\"unasked\""));
		break;
	case FORCE_UNKNOWN:
		strbuf_add(out, STR(",\"state\":\"unknown\""));
		break;
	case FORCE_NONE:
		strbuf_add(out, STR(",\"state\":\"new\""));
		break;
	case FORCE_TEXT:
		add_json_difference(out, force);
		break;
	}
	strbuf_add(out, STR("}"));
}

static void print_json(const struct check *check)
{
	struct strbuf out = { 0 };

	strbuf_addf(&out, "{\"files\":%d,\"errors\":[", check->file_count);
	for (guint i = 0; i < check->errors->len; i++) {
		add_separator(&out, i);
		add_json_error(&out, g_ptr_array_index(check->errors, i));
	}
	strbuf_add(&out, STR("],\"warnings\":["));
	for (guint i = 0; i < warning_count(check); i++) {
		add_separator(&out, i);
		add_json_finding(&out, &g_array_index(check->findings, struct finding, i));
	}
	strbuf_add(&out, STR("],\"in_force\":["));
	for (guint i = 0; i < check->sources->len; i++) {
		add_separator(&out, i);
		add_json_force(&out, &g_array_index(check->sources, struct source, i),
			       &g_array_index(check->forces, struct force, i));
	}
	strbuf_add(&out, STR("]}\n"));
	fwrite(out.data, 1, out.len, stdout);
	strbuf_clear(&out);
}

static int exit_code(const struct check *check)
{
	if (check->errors->len)
		return TOOL_REJECTED;
	if (is_unknown(check))
		return TOOL_UNKNOWN;
	return warning_count(check) ? TOOL_WARNED : TOOL_DONE;
}

int tool_check(const struct tool *tool, char **paths, int count)
{
	struct check check = { .tool = tool, .file_count = count };
	int result;

	check_init(&check);
	read_sources(&check, paths);
	/* Without an invalid file, what it declares would be missing from the others. */
	if (check.errors->len == 0)
		find(&check);
	compare_all(&check);
	if (tool->json)
		print_json(&check);
	else
		print_text(&check);
	result = exit_code(&check);
	check_clear(&check);
	return result;
}
