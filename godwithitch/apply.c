/*
 * The command apply.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "godwithitch/tool.h"
#include "platform/logclient.h"

#define APPEND_TIMEOUT_US (3 * US_PER_S)

enum { POLL_MS = 100, CENSUS_WAIT_MS = 200, CHANGE_ID_BYTES = 12 };

static struct label new_change_id(void)
{
	unsigned char bytes[CHANGE_ID_BYTES];
	char text[2 * CHANGE_ID_BYTES + 1];

	if (getrandom(bytes, sizeof(bytes), 0) != sizeof(bytes))
		abort();
	for (size_t i = 0; i < sizeof(bytes); i++)
		snprintf(text + 2 * i, 3, "%02x", bytes[i]);
	return label_from(str_from_cstr(text));
}

/* Looks for a change by its id in the records after the offset @p after, the newest that a node
 * knew before the append. Returns the change's offset, -1 if the stream does not hold it, or 0 if
 * the time limit passed first. */
static int64_t find_in_stream(const struct tool *tool, struct logclient *client, struct label id,
			      int64_t after)
{
	int64_t found = 0;
	int64_t from = after + 1;

	do {
		struct log_read read =
			logclient_read(client, STREAM_CONFIG, 0, from, (struct deadline){ 1 });

		for (int i = 0; i < read.count; i++) {
			from = read.records[i].offset + 1;
			if (read.records[i].kind == LOG_CHANGE &&
			    label_equal(&read.records[i].change->id, &id))
				found = read.records[i].offset;
		}
		if (found == 0 && read.kind == READ_DONE && from > read.newest)
			found = -1;
		log_read_clear(&read);
	} while (found == 0 && tool_wait_ms(tool, POLL_MS));
	return found;
}

/* Appends the change and returns its offset, or prints an error and returns 0. */
static int64_t append_change(const struct tool *tool, struct logclient *client,
			     const struct log_record *record, int64_t newest)
{
	int64_t offset = 0;

	do {
		switch (logclient_append(client, STREAM_CONFIG, 0, record,
					 deadline_after(clock_now(), APPEND_TIMEOUT_US), &offset)) {
		case APPEND_DONE:
			return offset;
		case APPEND_LIMITED:
			break;
		case APPEND_REFUSED:
			fprintf(stderr, "godwithitch: the log service did not take the change\n");
			return 0;
		case APPEND_UNKNOWN:
			fprintf(stderr, "godwithitch: the log's answer was lost; "
					"reading the stream for the change\n");
			offset = find_in_stream(tool, client, record->change->id, newest);
			if (offset > 0)
				return offset;
			fprintf(stderr, offset < 0 ? "godwithitch: the change is not in the log\n"
						   : "godwithitch: the outcome is not known\n");
			return 0;
		}
	} while (tool_wait_ms(tool, POLL_MS));
	fprintf(stderr, "godwithitch: the log service limits the rate of changes\n");
	return 0;
}

/* Waits for a node to report the change's result; NULL if none does in time. */
static struct json_doc *wait_for_result(const struct tool *tool, const struct label *id)
{
	char *path = g_strdup_printf("/v1/change?id=%.*s", STR_ARG(label_str(id)));
	struct json_doc *doc = NULL;

	do {
		struct reply reply = fetch_any(tool, path);

		doc = reply_json(&reply);
		reply_clear(&reply);
	} while (!doc && tool_wait_ms(tool, POLL_MS));
	g_free(path);
	return doc;
}

struct census_totals {
	int64_t asked;
	int64_t holding;
};

static bool add_census_counts(const struct tool *tool, struct str control, int64_t version,
			      struct census_totals *totals)
{
	char path[64];
	struct reply reply;
	struct json_doc *doc;
	bool answered;

	snprintf(path, sizeof(path), "/v1/census?version=%ld", version);
	reply = fetch(control, "POST", path);
	doc = reply_json(&reply);
	reply_clear(&reply);
	if (!doc)
		return false;
	snprintf(path, sizeof(path), "/v1/census?seq=%ld", json_integer(doc->root, "seq"));
	json_free(doc);
	tool_wait_ms(tool, CENSUS_WAIT_MS);
	reply = fetch(control, "GET", path);
	doc = reply_json(&reply);
	reply_clear(&reply);
	answered = doc != NULL;
	if (doc) {
		totals->asked += json_integer(doc->root, "asked");
		totals->holding += json_integer(doc->root, "holding");
	}
	json_free(doc);
	return answered;
}

/* Asks each control address, one per data centre, for a census until all members hold the version
 * or the time limit passes. */
static int report_in_force(const struct tool *tool, int64_t version)
{
	struct census_totals totals;
	int unanswered;

	do {
		totals = (struct census_totals){ 0 };
		unanswered = 0;
		for (int i = 0; i < tool->control_count; i++)
			unanswered += !add_census_counts(tool, tool->controls[i], version, &totals);
	} while ((unanswered || totals.holding < totals.asked) && tool_wait_ms(tool, POLL_MS));
	printf("accepted at version %ld, in force on %ld of %ld nodes\n", version, totals.holding,
	       totals.asked);
	if (unanswered)
		fprintf(stderr, "godwithitch: %d control address%s did not answer\n", unanswered,
			unanswered == 1 ? "" : "es");
	return unanswered || totals.holding < totals.asked ? TOOL_UNKNOWN : TOOL_DONE;
}

static int report_outcome(const struct tool *tool, const struct label *id)
{
	struct json_doc *doc = wait_for_result(tool, id);
	int result = TOOL_REJECTED;

	if (!doc) {
		fprintf(stderr, "godwithitch: published, but no node has judged it yet\n");
		return TOOL_UNKNOWN;
	}
	if (str_equal(json_text(doc->root, "judged"), STR("accepted")))
		result = report_in_force(tool, json_integer(doc->root, "version"));
	else
		fprintf(stderr, "godwithitch: rejected (%.*s): %.*s\n",
			STR_ARG(json_text(doc->root, "judged")),
			STR_ARG(json_text(doc->root, "why")));
	json_free(doc);
	return result;
}

static int64_t newest_version(const struct tool *tool)
{
	struct reply reply = fetch_any(tool, "/v1/status");
	struct json_doc *doc = reply_json(&reply);
	int64_t version = doc ? json_integer(doc->root, "version") : -1;

	json_free(doc);
	reply_clear(&reply);
	return version;
}

static int apply_source(const struct tool *tool, struct logclient *client,
			const struct source *source)
{
	struct reply reply = tool_fetch_file(tool, &source->name);
	struct log_record record = { .kind = LOG_CHANGE };
	int64_t newest = newest_version(tool);
	int result = TOOL_UNKNOWN;

	if (reply.status == 0 || newest < 0) {
		fprintf(stderr, "godwithitch: no control address answers\n");
		reply_clear(&reply);
		return TOOL_UNKNOWN;
	}
	record.change = change_new(new_change_id(), source->name, reply.file_version,
				   (struct str){ source->text, source->len });
	reply_clear(&reply);
	if (append_change(tool, client, &record, newest) > 0)
		result = report_outcome(tool, &record.change->id);
	change_unref(record.change);
	return result;
}

int tool_apply(const struct tool *tool, const char *path)
{
	struct logclient *client;
	struct source source;
	GError *error = NULL;
	int result;

	if (!source_read(path, &source, &error)) {
		fprintf(stderr, "godwithitch: %s\n", error->message);
		g_error_free(error);
		return TOOL_REJECTED;
	}
	client = logclient_new(LOG_SERVICE_NATIVE, tool->log_url, tool->pool, &error);
	if (!client) {
		fprintf(stderr, "godwithitch: -l: %s\n", error->message);
		g_error_free(error);
		source_clear(&source);
		return TOOL_USAGE;
	}
	result = apply_source(tool, client, &source);
	logclient_free(client);
	source_clear(&source);
	return result;
}
