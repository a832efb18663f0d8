/*
 * The commands history, show, status and watch.
 */
#include <stdio.h>

#include "godwithitch/tool.h"

enum { WATCH_INTERVAL_MS = 300, STATUS_OK = 200 };

static int report_no_answer(void)
{
	fprintf(stderr, "godwithitch: no control address answers\n");
	return TOOL_UNKNOWN;
}

static int print_raw(const struct reply *reply)
{
	printf("%.*s\n", STR_ARG(strbuf_str(&reply->body)));
	return TOOL_DONE;
}

/* Fetches one resource and prints it as a table, or unchanged with -j. */
static int print_resource(const struct tool *tool, const char *path,
			  void (*print)(const struct json *root))
{
	struct reply reply = fetch_any(tool, path);
	struct json_doc *doc = reply_json(&reply);
	int result = TOOL_DONE;

	if (!doc)
		result = report_no_answer();
	else if (tool->json)
		print_raw(&reply);
	else
		print(doc->root);
	json_free(doc);
	reply_clear(&reply);
	return result;
}

static void print_history(const struct json *root)
{
	printf("%-8s %-24s %-10s %s\n", "VERSION", "FILE", "JUDGED", "WHY");
	for (guint i = 0; i < root->items->len; i++) {
		const struct json *item = g_ptr_array_index(root->items, i);

		printf("%-8ld %-24.*s %-10.*s %.*s\n", json_integer(item, "version"),
		       STR_ARG(json_text(item, "file")), STR_ARG(json_text(item, "judged")),
		       STR_ARG(json_text(item, "why")));
	}
}

int tool_history(const struct tool *tool)
{
	return print_resource(tool, "/v1/history", print_history);
}

static void print_files(const struct json *root)
{
	printf("%-24s %-8s %s\n", "FILE", "VERSION", "BYTES");
	for (guint i = 0; i < root->items->len; i++) {
		const struct json *item = g_ptr_array_index(root->items, i);

		printf("%-24.*s %-8ld %ld\n", STR_ARG(json_text(item, "file")),
		       json_integer(item, "version"), json_integer(item, "bytes"));
	}
}

int tool_show(const struct tool *tool, const char *file)
{
	struct reply reply;
	char *path;
	int result = TOOL_DONE;

	if (!file)
		return print_resource(tool, "/v1/files", print_files);
	path = g_strdup_printf("/v1/file?name=%s", file);
	reply = fetch_any(tool, path);
	g_free(path);
	if (reply.status == 0) {
		result = report_no_answer();
	} else if (reply.status != STATUS_OK) {
		fprintf(stderr, "godwithitch: %s: no such file\n", file);
		result = TOOL_REJECTED;
	} else {
		fwrite(reply.body.data, 1, reply.body.len, stdout);
	}
	reply_clear(&reply);
	return result;
}

static void print_member(const struct json *item)
{
	printf("%-22.*s %-14.*s %-8.*s %-16.*s %-10.*s %ld\n", STR_ARG(json_text(item, "node")),
	       STR_ARG(json_text(item, "data_centre")), STR_ARG(json_text(item, "state")),
	       STR_ARG(json_text(item, "service")), STR_ARG(json_text(item, "version")),
	       json_integer(item, "slots"));
}

static void print_members(const struct json *root)
{
	printf("%-22s %-14s %-8s %-16s %-10s %s\n", "NODE", "DATA CENTRE", "STATE", "SERVICE",
	       "VERSION", "SLOTS");
	for (guint i = 0; i < root->items->len; i++)
		print_member(g_ptr_array_index(root->items, i));
}

static void print_move(const struct json *move)
{
	struct str why = json_text(move, "why");

	printf("move %ld: %.*s %.*s -> %.*s: %.*s, step %ld of %ld, share %.2f%%%s%s%.*s\n",
	       json_integer(move, "id"), STR_ARG(json_text(move, "service")),
	       STR_ARG(json_text(move, "from")), STR_ARG(json_text(move, "to")),
	       STR_ARG(json_text(move, "phase")), json_integer(move, "step"),
	       json_integer(move, "steps"), (double)json_integer(move, "share_per_10000") / 100.0,
	       json_bool(move, "late") ? ", late" : "", why.len ? ": " : "", STR_ARG(why));
}

static void print_moves(const struct json *moves)
{
	for (guint i = 0; moves && i < moves->items->len; i++)
		print_move(g_ptr_array_index(moves->items, i));
}

static void print_switches(const struct json *list)
{
	for (guint i = 0; list && i < list->items->len; i++) {
		const struct json *item = g_ptr_array_index(list->items, i);

		printf("switched off: %.*s for %.*s\n", STR_ARG(json_text(item, "move")),
		       STR_ARG(json_text(item, "service")));
	}
}

static void print_status(const struct json *root)
{
	const struct json *target = json_get(root, STR("target"));

	printf("node %.*s in %.*s: %.*s%s, version %ld (accepted %ld), %ld of %ld members live\n",
	       STR_ARG(json_text(root, "node")), STR_ARG(json_text(root, "data_centre")),
	       STR_ARG(json_text(root, "state")), json_bool(root, "current") ? "" : ", not current",
	       json_integer(root, "version"), json_integer(root, "accepted"),
	       json_integer(root, "live"), json_integer(root, "members"));
	if (target && json_integer(target, "slots"))
		printf("target %.*s %.*s: %ld slots (%ld used at most), %ld running, %ld queued\n",
		       STR_ARG(json_text(target, "service")), STR_ARG(json_text(target, "version")),
		       json_integer(target, "slots"), json_integer(target, "slots_used_at_most"),
		       json_integer(target, "running"), json_integer(target, "queued"));
	print_switches(json_get(root, STR("switched_off")));
	print_moves(json_get(root, STR("moves")));
}

int tool_status(const struct tool *tool, const char *node)
{
	struct tool single = *tool;
	int result;

	if (node) {
		single.controls[0] = str_from_cstr(node);
		single.control_count = 1;
		return print_resource(&single, "/v1/status", print_status);
	}
	if (tool->json)
		return print_resource(tool, "/v1/members", print_members);
	result = print_resource(tool, "/v1/status", print_status);
	if (result != TOOL_DONE)
		return result;
	return print_resource(tool, "/v1/members", print_members);
}

static const struct json *find_move(const struct json *moves, struct str service)
{
	for (guint i = 0; i < moves->items->len; i++) {
		const struct json *move = g_ptr_array_index(moves->items, i);

		if (str_equal(json_text(move, "service"), service))
			return move;
	}
	return NULL;
}

/* Prints the move if its phase or share changed. Returns -1, or the exit code if it has ended. */
static int print_progress(const struct json *move, struct str *last)
{
	struct strbuf line = { 0 };
	struct str phase = json_text(move, "phase");

	strbuf_addf(&line, "%.*s %ld", STR_ARG(phase), json_integer(move, "share_per_10000"));
	if (!str_equal(strbuf_str(&line), *last)) {
		print_move(move);
		fflush(stdout);
		g_free((char *)last->data);
		*last = str_dup(strbuf_str(&line));
	}
	strbuf_clear(&line);
	if (str_equal(phase, STR("done")))
		return TOOL_DONE;
	return str_equal(phase, STR("taken back")) ? TOOL_REJECTED : -1;
}

int tool_watch(const struct tool *tool, const char *service)
{
	struct str last = { NULL, 0 };
	int result = -1;

	while (result < 0) {
		struct reply reply = fetch_any(tool, "/v1/moves");
		struct json_doc *doc = reply_json(&reply);
		const struct json *move = doc ? find_move(doc->root, str_from_cstr(service)) : NULL;

		if (move) {
			result = print_progress(move, &last);
		} else if (doc) {
			fprintf(stderr, "godwithitch: %s: no move is declared\n", service);
			result = TOOL_USAGE;
		}
		json_free(doc);
		reply_clear(&reply);
		if (result < 0 && !tool_wait_ms(tool, WATCH_INTERVAL_MS)) {
			fprintf(stderr, "godwithitch: %s: not finished in time\n", service);
			result = TOOL_UNKNOWN;
		}
	}
	g_free((char *)last.data);
	return result;
}
