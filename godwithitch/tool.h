/**
 * @file
 * Declarations shared by the sources of the command line tool.
 */
#ifndef GODWITHITCH_TOOL_H
#define GODWITHITCH_TOOL_H

#include <apr_pools.h>
#include <glib.h>
#include <stdbool.h>

#include "base/clock.h"
#include "base/str.h"
#include "operator/json.h"

/** Exit codes, as godwithitch(1) documents them. */
enum tool_exit {
	TOOL_DONE = 0,
	TOOL_REJECTED = 1, /**< rejected, conflict, rolled back, or files that differ */
	TOOL_USAGE = 2,	   /**< wrong usage or settings */
	TOOL_UNKNOWN = 3,  /**< nodes are unreachable, or the outcome is unknown */
};

enum { CONTROLS_MAX = 64 };

struct tool {
	apr_pool_t *pool;
	struct str controls[CONTROLS_MAX]; /**< addresses of control endpoints */
	int control_count;
	struct str log_url;
	struct deadline deadline; /**< time limit of the whole command */
	bool json;
	const char *chart; /**< file for the chart of a report; NULL: none */
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

/* apply.c */
int tool_check(char **paths, int count);
int tool_apply(const struct tool *tool, const char *path);
int tool_diff(const struct tool *tool, const char *path);

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
