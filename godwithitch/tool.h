/**
 * @file
 * Declarations shared by the sources of the command line tool.
 */
#ifndef GODWITHITCH_TOOL_H
#define GODWITHITCH_TOOL_H

#include <apr_pools.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

#include "base/clock.h"
#include "base/str.h"
#include "operator/json.h"

/** Exit codes, as godwithitch(1) documents them. */
enum tool_exit {
	TOOL_DONE = 0,
	TOOL_REJECTED = 1, /**< rejected, conflict, rolled back, or files that differ */
	TOOL_USAGE = 2,	   /**< wrong usage or settings */
	TOOL_UNKNOWN = 3,  /**< nodes are unreachable, or the outcome is unknown */
	TOOL_WARNED = 4,   /**< valid, but with entries that have no effect or contradict others */
};

enum { CONTROLS_MAX = 64, REPLY_OK = 200, REPLY_NOT_FOUND = 404 };

struct tool {
	apr_pool_t *pool;
	struct str controls[CONTROLS_MAX]; /**< addresses of control endpoints */
	int control_count;
	struct str log_url;
	struct deadline deadline; /**< time limit of the whole command */
	bool json;
	int64_t stop_within_us; /**< time of a planned stop of a node; 0: not stated */
	const char *chart;	/**< file for the chart of a report; NULL: none */
};

/** An answer of a control endpoint; free with reply_clear(). */
struct reply {
	long status; /**< HTTP status; 0 without an answer */
	struct strbuf body;
	int64_t file_version; /**< version in the header Godwithitch-File-Version */
};

/* fetch.c */
struct reply fetch(struct str control, const char *method, const char *path);
/** Asks the control endpoints in turn until one answers. */
struct reply fetch_any(const struct tool *tool, const char *path);
void reply_clear(struct reply *reply);
/** Parses an answer; NULL if its status is not 200 or its body is not JSON. */
struct json_doc *reply_json(const struct reply *reply);
/** Members of an object; 0, "" or false if missing or of another type. */
int64_t json_integer(const struct json *object, const char *key);
struct str json_text(const struct json *object, const char *key);
bool json_bool(const struct json *object, const char *key);
/** Sleeps for @p ms; false at once if the command's deadline has passed. */
bool tool_wait_ms(const struct tool *tool, int ms);

/* source.c */

/** A configuration file on the operator's disk that was parsed without errors. */
struct source {
	struct label name;
	char *text;
	gsize len;
	struct change *change; /**< with the parsed text */
};

/** Reads a file; false with @p error, and nothing to clear, if it can't be read or is invalid. */
bool source_read(const char *path, struct source *source, GError **error);
void source_clear(struct source *source);
/** Asks a node for the text of a file in force. */
struct reply tool_fetch_file(const struct tool *tool, const struct label *name);

/** The lines of two texts between their common first and last ones. */
struct difference {
	char **old_lines;
	char **new_lines;
	guint start; /**< index of the first line that differs */
	guint old_end;
	guint new_end;
};

struct difference difference_between(const char *old_text, const char *new_text);
void difference_clear(struct difference *difference);
bool difference_is_empty(const struct difference *difference);
/** Prints the lines that differ. */
void difference_print(const struct difference *difference);

int tool_diff(const struct tool *tool, const char *path);

/* apply.c */
int tool_apply(const struct tool *tool, const char *path);

/* check.c */
/** Checks files as one configuration, and compares them with those in force if the tool knows a
 * node or the log. */
int tool_check(const struct tool *tool, char **paths, int count);

/* show.c */
int tool_history(const struct tool *tool);
int tool_show(const struct tool *tool, const char *file);
int tool_status(const struct tool *tool, const char *node);
int tool_watch(const struct tool *tool, const char *service);

/* report.c */

/** Options of the command "report". */
struct report_options {
	char **paths; /**< logs */
	int count;
	const char *chart; /**< file for an SVG chart; NULL: none */
};

int tool_report(const struct report_options *options);

#endif
