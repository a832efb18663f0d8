/*
 * Replays a recorded trace against one core instance and compares with the outcomes that it states.
 *   replay TRACE ...
 * A trace has one JSON object a line, "at" seconds after its start; between lines the node gets its
 * ticks. docs/TRACES.md lists the events and outcomes. Exits with 1 at the first outcome that
 * differs.
 */
#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/node.h"
#include "operator/json.h"
#include "operator/parse.h"

#define TICK_US (100 * US_PER_MS)
#define BASE_US (1796328000LL * US_PER_S) /* 2026-12-03T20:00:00Z */

struct replay {
	const char *path;
	int line;
	struct node *node;
	int64_t now_us; /* since the start of the trace */
	GArray *log;	/* struct change_record, what the log holds */
	bool log_out;
	bool reading;
	int64_t read_from;
	struct rng rng;
	bool failed;
};

static struct instant now_of(const struct replay *r)
{
	return (struct instant){ US_PER_S + r->now_us, BASE_US + r->now_us };
}

static void fail(struct replay *r, const char *format, ...) __attribute__((format(printf, 2, 3)));

static void fail(struct replay *r, const char *format, ...)
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

/* The log's answer to a read of the stream of changes; the system's stream is empty. */
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
	event.failed.failure = LOG_FAILURE_OUT;
	if (!r->log_out) {
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
	bool has_more = (int64_t)r->log->len >= action->read.from;

	if (action->read.stream == STREAM_CONFIG && !has_more && !r->log_out &&
	    action->read.wait_until.at_us > 1) {
		r->reading = true;
		r->read_from = action->read.from;
		return;
	}
	answer_read(r, action->read.stream, action->read.from);
}

static void carry_out(struct replay *r, struct actions *actions)
{
	for (guint i = 0; i < actions->list->len; i++) {
		struct action action = g_array_index(actions->list, struct action, i);
		struct event event = { .kind = r->log_out ? EVENT_APPEND_FAILED : EVENT_APPENDED };

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
		case ACTION_NOTE:
			break;
		}
	}
	actions_clear(actions);
}

static void handle(struct replay *r, const struct event *event)
{
	struct actions actions = actions_new();

	node_handle(r->node, event, now_of(r), &actions);
	carry_out(r, &actions);
}

static void run_until(struct replay *r, int64_t until_us)
{
	struct event tick = { .kind = EVENT_TICK };

	while (r->node && r->now_us + TICK_US <= until_us) {
		r->now_us += TICK_US;
		handle(r, &tick);
	}
	r->now_us = MAX(r->now_us, until_us);
}

/* Short reads of members that a trace may leave out. */
static int64_t number(const struct json *object, const char *key)
{
	const struct json *value = json_get(object, str_from_cstr(key));

	if (!value)
		return 0;
	return value->kind == JSON_DOUBLE ? (int64_t)value->number : value->integer;
}

static struct str text(const struct json *object, const char *key)
{
	const struct json *value = json_get(object, str_from_cstr(key));

	return value && value->kind == JSON_STRING ? value->string : STR("");
}

static struct label label(const struct json *object, const char *key)
{
	return label_from(text(object, key));
}

/* "10.0.0.1:7000" as a member id. */
static uint64_t address(const struct json *object, const char *key)
{
	char *cstr = str_to_cstr(text(object, key));
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
	struct node_options options = { .id = address(value, "address"),
					.data_centre = label(value, "data_centre"),
					.seed = (uint64_t)number(value, "seed") };

	node_free(r->node);
	r->node = node_new(&options, now_of(r), NULL);
	r->reading = false;
}

static void on_change(struct replay *r, const struct json *value)
{
	struct change_record record = { .offset = (int64_t)r->log->len + 1 };

	record.change = change_new(label(value, "id"), label(value, "file"), number(value, "base"),
				   text(value, "content"));
	parse_change(record.change);
	g_array_append_val(r->log, record);
	if (!r->reading || r->log_out)
		return;
	r->reading = false;
	answer_read(r, STREAM_CONFIG, r->read_from);
}

static enum member_state state_named(struct str name)
{
	for (int state = 0; state <= MEMBER_DEAD; state++)
		if (str_equal(name, member_state_name(state)))
			return state;
	return MEMBER_ALIVE;
}

static void give(struct replay *r, struct message *message)
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
	struct member member = { .id = address(value, "address"),
				 .incarnation = (uint64_t)number(value, "incarnation"),
				 .state = state_named(text(value, "state")),
				 .slots = (uint16_t)number(value, "slots"),
				 .data_centre = label(value, "data_centre"),
				 .service = label(value, "service"),
				 .version = label(value, "version") };

	message->members = g_array_new(FALSE, FALSE, sizeof(member));
	g_array_append_val(message->members, member);
	give(r, message);
}

static void on_state(struct replay *r, const struct json *value)
{
	struct message *message = message_new(MESSAGE_MOVES);
	struct move_state state = { .id = (uint64_t)number(value, "move"),
				    .step = (uint8_t)number(value, "step") };

	if (number(value, "done_at"))
		state.done_at_us = BASE_US + number(value, "done_at") * US_PER_S;
	if (number(value, "withdrawn_at")) {
		state.withdrawn_at_us = BASE_US + number(value, "withdrawn_at") * US_PER_S;
		state.reason = WITHDRAW_FAILURES;
	}
	message->states = g_array_new(FALSE, FALSE, sizeof(state));
	g_array_append_val(message->states, state);
	give(r, message);
}

static void on_evidence(struct replay *r, const struct json *value)
{
	struct message *message = message_new(MESSAGE_EVIDENCE);
	struct evidence_window window = { .route = label(value, "route"),
					  .target = address(value, "target"),
					  .calls = (uint32_t)number(value, "calls"),
					  .failures = (uint32_t)number(value, "failures"),
					  .targets = (uint32_t)number(value, "targets") };

	window.latency[hist_bucket(number(value, "latency_us"))] =
		(uint16_t)(window.calls - window.failures);
	message->evidence.move = (uint64_t)number(value, "move");
	message->evidence.version = label(value, "version");
	message->evidence.windows = g_array_new(FALSE, FALSE, sizeof(window));
	g_array_append_val(message->evidence.windows, window);
	give(r, message);
}

static void on_target(struct replay *r, const struct json *value)
{
	struct event event = { .kind = EVENT_TARGET_UP };

	event.target.service = label(value, "service");
	event.target.version = label(value, "version");
	event.target.slots = (int)number(value, "slots");
	handle(r, &event);
}

static void expect_number(struct replay *r, const struct json *value, const char *key,
			  int64_t found)
{
	if (json_get(value, str_from_cstr(key)) && number(value, key) != found)
		fail(r, "%s: expected %ld, found %ld", key, number(value, key), found);
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

static void expect_judged(struct replay *r, const struct json *value)
{
	struct judgement judgement;
	char *as = str_to_cstr(text(value, "as"));

	if (!history_find(node_history(r->node), label(value, "id"), &judgement))
		fail(r, "the change was not judged");
	else if (!str_equal(judgement_name(judgement.kind), str_from_cstr(as)))
		fail(r, "expected %s, found %.*s: %s", as, STR_ARG(judgement_name(judgement.kind)),
		     judgement.reason);
	g_free(as);
}

static void expect_move(struct replay *r, const struct json *value)
{
	struct config *config = node_config(r->node);
	GArray *reports = moves_report(node_moves(r->node), config, now_of(r));
	struct label service = label(value, "service");
	bool found = false;

	for (guint i = 0; i < reports->len; i++) {
		const struct move_report *report = &g_array_index(reports, struct move_report, i);

		if (!label_equal(&report->spec.service, &service))
			continue;
		found = true;
		if (!str_equal(text(value, "phase"), move_phase_name(report->phase)))
			fail(r, "phase: expected %.*s, found %.*s", STR_ARG(text(value, "phase")),
			     STR_ARG(move_phase_name(report->phase)));
		expect_number(r, value, "step", report->state.step);
	}
	if (!found)
		fail(r, "no such move");
	g_array_unref(reports);
	config_unref(config);
}

/* Chooses for many calls; each version's count has to lie between two numbers. */
static void expect_choices(struct replay *r, const struct json *value)
{
	struct config *config = node_config(r->node);
	struct call_facts facts = { .route = config_find_route(config, label(value, "route")) };
	const struct json *versions = json_get(value, STR("versions"));
	int64_t calls = number(value, "calls");
	GHashTable *counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (int64_t i = 0; facts.route && i < calls; i++) {
		struct choice choice;
		char *name;

		facts.point = rng_next(&r->rng);
		choice = node_choose(r->node, config, &facts, now_of(r));
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
		int64_t least = ((struct json *)range->items->pdata[0])->integer;
		int64_t most = ((struct json *)range->items->pdata[1])->integer;

		if (count < least || count > most)
			fail(r, "%s: expected %ld to %ld calls, found %d", name, least, most,
			     count);
		g_free(name);
	}
	g_hash_table_destroy(counts);
	config_unref(config);
}

static const struct {
	const char *key;
	void (*run)(struct replay *r, const struct json *value);
} kinds[] = {
	{ "node", on_node },
	{ "change", on_change },
	{ "member", on_member },
	{ "state", on_state },
	{ "evidence", on_evidence },
	{ "target", on_target },
	{ "expect", expect_node },
	{ "expect_judged", expect_judged },
	{ "expect_move", expect_move },
	{ "expect_choices", expect_choices },
};

static void run_line(struct replay *r, const struct json *root)
{
	const struct json *at = json_get(root, STR("at"));
	const struct json *out = json_get(root, STR("log_out"));
	int64_t until_us = 0;

	if (at)
		until_us = at->kind == JSON_DOUBLE ? (int64_t)(at->number * 1e6)
						   : at->integer * US_PER_S;
	run_until(r, until_us);
	if (out)
		r->log_out = out->boolean;
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		const struct json *value = json_get(root, str_from_cstr(kinds[i].key));

		if (value && (r->node || kinds[i].run == on_node))
			kinds[i].run(r, value);
	}
}

static bool replay_file(const char *path)
{
	struct replay r = { .path = path, .rng = { 1 } };
	char *whole = NULL;
	char **lines;
	GError *error = NULL;

	if (!g_file_get_contents(path, &whole, NULL, &error)) {
		fprintf(stderr, "replay: %s\n", error->message);
		g_error_free(error);
		return false;
	}
	r.log = g_array_new(FALSE, FALSE, sizeof(struct change_record));
	lines = g_strsplit(whole, "\n", -1);
	for (int i = 0; lines[i] && !r.failed; i++) {
		struct json_doc *doc;

		r.line = i + 1;
		if (lines[i][0] == '\0' || lines[i][0] == '#')
			continue;
		doc = json_parse(str_from_cstr(path), str_from_cstr(lines[i]), &error);
		if (!doc || !json_want_kind(doc, doc->root, JSON_OBJECT, &error)) {
			fail(&r, "%s", error->message);
			g_clear_error(&error);
		} else {
			run_line(&r, doc->root);
			if (!json_all_used(doc, doc->root, &error)) {
				fail(&r, "%s", error->message);
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
	g_free(whole);
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
		bool good = replay_file(argv[i]);

		printf("%s: %s\n", argv[i], good ? "as stated" : "DIFFERS");
		failed += !good;
	}
	return failed != 0;
}
