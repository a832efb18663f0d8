/*
 * Replays recorded traces against one core instance and compares the outcomes with the stated ones.
 *   replay TRACE ...
 * A trace has one JSON object per line, "at" seconds after its start; between lines the node
 * receives its ticks. docs/TRACES.md lists the events and outcomes. Each trace is replayed up to
 * the first outcome that differs; the exit status is 1 if any differs.
 */
#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/node.h"
#include "operator/json.h"
#include "operator/parse.h"

#define TICK_INTERVAL_US (100 * US_PER_MS)
#define TRACE_EPOCH_US	 (1796328000LL * US_PER_S) /* 2026-12-03T20:00:00Z */

struct replay {
	const char *path;
	int line;
	struct node *node;
	int64_t now_us; /* since the start of the trace */
	GArray *log;	/* array of struct change_record, the content of the log */
	bool log_unavailable;
	bool read_pending;
	int64_t pending_from;
	struct rng rng;
	bool failed;
};

static struct instant replay_now(const struct replay *r)
{
	return (struct instant){ US_PER_S + r->now_us, TRACE_EPOCH_US + r->now_us };
}

static void report_failure(struct replay *r, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static void report_failure(struct replay *r, const char *format, ...)
{
	va_list args;

	fprintf(stderr, "%s:%d: ", r->path, r->line);
	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fprintf(stderr, "\n");
	r->failed = true;
}

static void handle(struct replay *r, const struct event *event);

/* Answers a read of the log. The trace's changes are in STREAM_CONFIG; other streams are empty. */
static void answer_read(struct replay *r, enum log_stream stream, int64_t from)
{
	struct event event = { .kind = EVENT_LOG_FAILED };
	struct log_record *records = g_new0(struct log_record, r->log->len + 1);
	int count = 0;

	for (guint i = 0; stream == STREAM_CONFIG && i < r->log->len; i++) {
		const struct change_record *record =
			&g_array_index(r->log, struct change_record, i);

		if (record->offset < from)
			continue;
		records[count].kind = LOG_CHANGE;
		records[count].offset = record->offset;
		records[count++].change = record->change;
	}
	event.failed.stream = stream;
	event.failed.failure = LOG_FAILURE_UNAVAILABLE;
	if (!r->log_unavailable) {
		event.kind = EVENT_LOG_BATCH;
		event.batch.stream = stream;
		event.batch.records = records;
		event.batch.count = count;
		event.batch.newest = stream == STREAM_CONFIG ? (int64_t)r->log->len : 0;
	}
	handle(r, &event);
	g_free(records);
}

static void on_read(struct replay *r, const struct action *action)
{
	bool has_records = (int64_t)r->log->len >= action->read.from;

	if (action->read.stream == STREAM_CONFIG && !has_records && !r->log_unavailable &&
	    action->read.wait_until.at_us > 1) {
		r->read_pending = true;
		r->pending_from = action->read.from;
		return;
	}
	answer_read(r, action->read.stream, action->read.from);
}

static void dispatch_actions(struct replay *r, struct actions *actions)
{
	for (guint i = 0; i < actions->list->len; i++) {
		struct action action = g_array_index(actions->list, struct action, i);
		struct event event = { .kind = r->log_unavailable ? EVENT_APPEND_FAILED
								  : EVENT_APPENDED };

		switch (action.kind) {
		case ACTION_READ_LOG:
			on_read(r, &action);
			break;
		case ACTION_APPEND:
			event.append.stream = action.append.stream;
			event.append.partition = action.append.partition;
			event.append.tag = action.append.tag;
			handle(r, &event);
			break;
		case ACTION_SEND:
		case ACTION_CLAIMED:
		case ACTION_CLAIM_ENDED:
		case ACTION_QUOTA:
		case ACTION_LOG_EVENT:
			break;
		}
	}
	actions_clear(actions);
}

static void handle(struct replay *r, const struct event *event)
{
	struct actions actions = actions_new();

	node_handle(r->node, event, replay_now(r), &actions);
	dispatch_actions(r, &actions);
}

static void run_until(struct replay *r, int64_t until_us)
{
	struct event tick = { .kind = EVENT_TICK };

	while (r->node && r->now_us + TICK_INTERVAL_US <= until_us) {
		r->now_us += TICK_INTERVAL_US;
		handle(r, &tick);
	}
	r->now_us = MAX(r->now_us, until_us);
}

/* The following functions return a default for JSON members that a trace omits. */
static int64_t get_number(const struct json *object, const char *key)
{
	const struct json *value = json_get(object, str_from_cstr(key));

	if (!value)
		return 0;
	return value->kind == JSON_DOUBLE ? (int64_t)value->number : value->integer;
}

static struct str get_text(const struct json *object, const char *key)
{
	const struct json *value = json_get(object, str_from_cstr(key));

	return value && value->kind == JSON_STRING ? value->string : STR("");
}

static struct label get_label(const struct json *object, const char *key)
{
	return label_from(get_text(object, key));
}

/* Converts an address such as "10.0.0.1:7000" to a member id. */
static uint64_t get_member_id(const struct json *object, const char *key)
{
	char *cstr = str_to_cstr(get_text(object, key));
	unsigned a = 0;
	unsigned b = 0;
	unsigned c = 0;
	unsigned d = 0;
	unsigned port = 0;

	sscanf(cstr, "%u.%u.%u.%u:%u", &a, &b, &c, &d, &port);
	g_free(cstr);
	return member_id(a << 24 | b << 16 | c << 8 | d, (uint16_t)port);
}

static void on_node(struct replay *r, const struct json *value)
{
	struct node_options options = { .id = get_member_id(value, "address"),
					.data_centre = get_label(value, "data_centre"),
					.seed = (uint64_t)get_number(value, "seed") };

	node_free(r->node);
	r->node = node_new(&options, replay_now(r), NULL);
	r->read_pending = false;
}

static void on_change(struct replay *r, const struct json *value)
{
	struct change_record record = { .offset = (int64_t)r->log->len + 1 };

	record.change = change_new(get_label(value, "id"), get_label(value, "file"),
				   get_number(value, "base"), get_text(value, "content"));
	parse_change(record.change);
	g_array_append_val(r->log, record);
	if (!r->read_pending || r->log_unavailable)
		return;
	r->read_pending = false;
	answer_read(r, STREAM_CONFIG, r->pending_from);
}

static enum member_state parse_state(struct str name)
{
	for (int state = 0; state <= MEMBER_DEAD; state++)
		if (str_equal(name, member_state_name(state)))
			return state;
	return MEMBER_ALIVE;
}

static void deliver(struct replay *r, struct message *message)
{
	struct event event = { .kind = EVENT_MESSAGE };

	event.message.from = member_id(0x0a0000ff, 7000);
	event.message.message = message;
	handle(r, &event);
	message_unref(message);
}

static void on_member(struct replay *r, const struct json *value)
{
	struct message *message = message_new(MESSAGE_MEMBERS);
	struct member member = { .id = get_member_id(value, "address"),
				 .incarnation = (uint64_t)get_number(value, "incarnation"),
				 .state = parse_state(get_text(value, "state")),
				 .slots = (uint16_t)get_number(value, "slots"),
				 .data_centre = get_label(value, "data_centre"),
				 .service = get_label(value, "service"),
				 .version = get_label(value, "version") };

	message->members = g_array_new(FALSE, FALSE, sizeof(member));
	g_array_append_val(message->members, member);
	deliver(r, message);
}

static void on_state(struct replay *r, const struct json *value)
{
	struct message *message = message_new(MESSAGE_MOVES);
	struct move_state state = { .id = (uint64_t)get_number(value, "move"),
				    .step = (uint8_t)get_number(value, "step") };

	if (get_number(value, "done_at"))
		state.done_at_us = TRACE_EPOCH_US + get_number(value, "done_at") * US_PER_S;
	if (get_number(value, "withdrawn_at")) {
		state.withdrawn_at_us =
			TRACE_EPOCH_US + get_number(value, "withdrawn_at") * US_PER_S;
		state.reason = WITHDRAW_FAILURES;
	}
	message->states = g_array_new(FALSE, FALSE, sizeof(state));
	g_array_append_val(message->states, state);
	deliver(r, message);
}

static void on_evidence(struct replay *r, const struct json *value)
{
	struct message *message = message_new(MESSAGE_EVIDENCE);
	struct evidence_window window = { .route = get_label(value, "route"),
					  .target = get_member_id(value, "target"),
					  .calls = (uint32_t)get_number(value, "calls"),
					  .failures = (uint32_t)get_number(value, "failures"),
					  .targets = (uint32_t)get_number(value, "targets") };

	window.latency[hist_bucket(get_number(value, "latency_us"))] =
		(uint16_t)(window.calls - window.failures);
	message->evidence.move = (uint64_t)get_number(value, "move");
	message->evidence.version = get_label(value, "version");
	message->evidence.windows = g_array_new(FALSE, FALSE, sizeof(window));
	g_array_append_val(message->evidence.windows, window);
	deliver(r, message);
}

static void on_target(struct replay *r, const struct json *value)
{
	struct event event = { .kind = EVENT_TARGET_UP };

	event.target.service = get_label(value, "service");
	event.target.version = get_label(value, "version");
	event.target.slots = (int)get_number(value, "slots");
	handle(r, &event);
}

static void expect_number(struct replay *r, const struct json *value, const char *key,
			  int64_t found)
{
	if (json_get(value, str_from_cstr(key)) && get_number(value, key) != found)
		report_failure(r, "%s: expected %ld, found %ld", key, get_number(value, key),
			       found);
}

static void expect_node(struct replay *r, const struct json *value)
{
	struct config *config = node_config(r->node);
	struct member_counts counts = members_count(node_members(r->node));

	expect_number(r, value, "version", config->version);
	expect_number(r, value, "accepted", config->accepted);
	expect_number(r, value, "live", counts.live);
	expect_number(r, value, "dead", counts.dead);
	config_unref(config);
}

static void expect_result(struct replay *r, const struct json *value)
{
	struct apply_result result;
	char *as = str_to_cstr(get_text(value, "as"));

	if (!history_find_result(node_history(r->node), get_label(value, "id"), &result))
		report_failure(r, "the change has no result");
	else if (!str_equal(apply_result_name(result.kind), str_from_cstr(as)))
		report_failure(r, "expected %s, found %.*s: %s", as,
			       STR_ARG(apply_result_name(result.kind)), result.reason);
	g_free(as);
}

static void expect_move(struct replay *r, const struct json *value)
{
	struct config *config = node_config(r->node);
	GArray *reports = moves_report(node_moves(r->node), config, replay_now(r));
	struct label service = get_label(value, "service");
	bool is_found = false;

	for (guint i = 0; i < reports->len; i++) {
		const struct move_report *report = &g_array_index(reports, struct move_report, i);

		if (!label_equal(&report->spec.service, &service))
			continue;
		is_found = true;
		if (!str_equal(get_text(value, "phase"), move_phase_name(report->phase)))
			report_failure(r, "phase: expected %.*s, found %.*s",
				       STR_ARG(get_text(value, "phase")),
				       STR_ARG(move_phase_name(report->phase)));
		expect_number(r, value, "step", report->state.step);
	}
	if (!is_found)
		report_failure(r, "the node has no move of the service");
	g_array_unref(reports);
	config_unref(config);
}

/* Chooses targets for many calls; each version's count has to lie in the range that the trace
 * states. */
static void expect_choices(struct replay *r, const struct json *value)
{
	struct config *config = node_config(r->node);
	struct call_attributes attributes = { .route = config_find_route(
						      config, get_label(value, "route")) };
	const struct json *versions = json_get(value, STR("versions"));
	int64_t calls = get_number(value, "calls");
	GHashTable *counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (int64_t i = 0; attributes.route && i < calls; i++) {
		struct choice choice;
		char *name;

		attributes.point = rng_next(&r->rng);
		choice = node_choose_target(r->node, config, &attributes, replay_now(r));
		name = choice.kind == CHOICE_TARGET ? str_to_cstr(label_str(&choice.version))
						    : g_strdup("none");
		g_hash_table_insert(
			counts, name,
			GINT_TO_POINTER(GPOINTER_TO_INT(g_hash_table_lookup(counts, name)) + 1));
	}
	for (guint i = 0; versions && i < versions->items->len; i++) {
		const struct json *range = g_ptr_array_index(versions->items, i);
		char *name = str_to_cstr(range->key);
		int count = GPOINTER_TO_INT(g_hash_table_lookup(counts, name));
		int64_t min = ((struct json *)range->items->pdata[0])->integer;
		int64_t max = ((struct json *)range->items->pdata[1])->integer;

		if (count < min || count > max)
			report_failure(r, "%s: expected %ld to %ld calls, found %d", name, min, max,
				       count);
		g_free(name);
	}
	g_hash_table_destroy(counts);
	config_unref(config);
}

static const struct {
	const char *key;
	void (*run)(struct replay *r, const struct json *value);
} handlers[] = {
	{ "node", on_node },
	{ "change", on_change },
	{ "member", on_member },
	{ "state", on_state },
	{ "evidence", on_evidence },
	{ "target", on_target },
	{ "expect", expect_node },
	{ "expect_judged", expect_result },
	{ "expect_move", expect_move },
	{ "expect_choices", expect_choices },
};

static void run_line(struct replay *r, const struct json *root)
{
	const struct json *at = json_get(root, STR("at"));
	const struct json *unavailable = json_get(root, STR("log_out"));
	int64_t until_us = 0;

	if (at)
		until_us = at->kind == JSON_DOUBLE ? (int64_t)(at->number * 1e6)
						   : at->integer * US_PER_S;
	run_until(r, until_us);
	if (unavailable)
		r->log_unavailable = unavailable->boolean;
	for (size_t i = 0; i < G_N_ELEMENTS(handlers); i++) {
		const struct json *value = json_get(root, str_from_cstr(handlers[i].key));

		if (value && (r->node || handlers[i].run == on_node))
			handlers[i].run(r, value);
	}
}

static bool replay_file(const char *path)
{
	struct replay r = { .path = path, .rng = { 1 } };
	char *content = NULL;
	char **lines;
	GError *error = NULL;

	if (!g_file_get_contents(path, &content, NULL, &error)) {
		fprintf(stderr, "replay: %s\n", error->message);
		g_error_free(error);
		return false;
	}
	r.log = g_array_new(FALSE, FALSE, sizeof(struct change_record));
	lines = g_strsplit(content, "\n", -1);
	for (int i = 0; lines[i] && !r.failed; i++) {
		struct json_doc *doc;

		r.line = i + 1;
		if (lines[i][0] == '\0' || lines[i][0] == '#')
			continue;
		doc = json_parse(str_from_cstr(path), str_from_cstr(lines[i]), &error);
		if (!doc || !json_check_kind(doc, doc->root, JSON_OBJECT, &error)) {
			report_failure(&r, "%s", error->message);
			g_clear_error(&error);
		} else {
			run_line(&r, doc->root);
			if (!json_check_unknown_keys(doc, doc->root, &error)) {
				report_failure(&r, "%s", error->message);
				g_clear_error(&error);
			}
		}
		json_free(doc);
	}
	node_free(r.node);
	for (guint i = 0; i < r.log->len; i++)
		change_unref(g_array_index(r.log, struct change_record, i).change);
	g_array_unref(r.log);
	g_strfreev(lines);
	g_free(content);
	return !r.failed;
}

int main(int argc, char **argv)
{
	int failed = 0;

	if (argc < 2) {
		fprintf(stderr, "usage: replay trace ...\n");
		return 2;
	}
	apr_initialize();
	for (int i = 1; i < argc; i++) {
		bool is_as_stated = replay_file(argv[i]);

		printf("%s: %s\n", argv[i], is_as_stated ? "as stated" : "DIFFERS");
		failed += !is_as_stated;
	}
	return failed != 0;
}
