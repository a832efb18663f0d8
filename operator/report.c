#include "operator/report.h"

#include "base/address.h"

enum { HISTORY_REPORT_MAX = 100 };

static void add_key(struct strbuf *out, const char *key)
{
	if (out->len && out->data[out->len - 1] != '{')
		strbuf_add(out, STR(","));
	strbuf_addf(out, "\"%s\":", key);
}

static void add_text(struct strbuf *out, const char *key, struct str value)
{
	add_key(out, key);
	strbuf_add_json(out, value);
}

static void add_label(struct strbuf *out, const char *key, const struct label *label)
{
	add_text(out, key, label_str(label));
}

static void add_number(struct strbuf *out, const char *key, int64_t value)
{
	add_key(out, key);
	strbuf_addf(out, "%ld", value);
}

static void add_bool(struct strbuf *out, const char *key, bool value)
{
	add_key(out, key);
	strbuf_add(out, value ? STR("true") : STR("false"));
}

static void add_time(struct strbuf *out, const char *key, int64_t wall_us)
{
	add_key(out, key);
	if (wall_us == 0) {
		strbuf_add(out, STR("null"));
		return;
	}
	strbuf_add(out, STR("\""));
	clock_format_utc(out, wall_us);
	strbuf_add(out, STR("\""));
}

static void add_address(struct strbuf *out, const char *key, uint64_t id)
{
	add_key(out, key);
	strbuf_add(out, STR("\""));
	address_add(out, member_ipv4(id), member_port(id));
	strbuf_add(out, STR("\""));
}

static void add_separator(struct strbuf *out)
{
	if (out->len && out->data[out->len - 1] != '[')
		strbuf_add(out, STR(","));
}

static void add_target(struct node *node, struct strbuf *out)
{
	struct member self = members_self(node_members(node));
	struct admit_counts counts = admit_count(node_admit(node), clock_now());

	add_key(out, "target");
	strbuf_add(out, STR("{"));
	add_label(out, "service", &self.service);
	add_label(out, "version", &self.version);
	add_number(out, "slots", self.slots);
	add_number(out, "slots_used_at_most", counts.slots);
	add_number(out, "running", counts.running);
	add_number(out, "queued", counts.queued);
	add_text(out, "cold", counts.cold == COLD_NOT ? STR("no") : cold_cause_name(counts.cold));
	add_bool(out, "evacuated", counts.evacuated);
	strbuf_add(out, STR("}"));
}

static void add_switches_off(const struct config *config, struct strbuf *out)
{
	add_key(out, "switched_off");
	strbuf_add(out, STR("["));
	for (guint i = 0; i < config->switches->len; i++) {
		const struct auto_switch *entry =
			&g_array_index(config->switches, struct auto_switch, i);

		if (!entry->off)
			continue;
		add_separator(out);
		strbuf_add(out, STR("{"));
		add_text(out, "service",
			 entry->service.len ? label_str(&entry->service) : STR("all"));
		add_text(out, "move", auto_kind_name(entry->kind));
		strbuf_add(out, STR("}"));
	}
	strbuf_add(out, STR("]"));
}

void report_status(struct node *node, struct instant now, struct strbuf *out)
{
	struct member self = members_self(node_members(node));
	struct member_counts counts = members_count(node_members(node));
	struct config *config = node_config(node);

	strbuf_add(out, STR("{"));
	add_address(out, "node", self.id);
	add_label(out, "data_centre", &self.data_centre);
	add_text(out, "state", member_state_name(self.state));
	add_bool(out, "current", node_is_current(node));
	add_number(out, "version", config->version);
	add_number(out, "accepted", config->accepted);
	add_number(out, "members", counts.total);
	add_number(out, "live", counts.live);
	add_number(out, "dead", counts.dead);
	add_target(node, out);
	add_switches_off(config, out);
	add_key(out, "moves");
	report_moves(node, now, out);
	strbuf_add(out, STR("}"));
	config_unref(config);
}

void report_members(struct node *node, struct strbuf *out)
{
	GArray *records = members_list(node_members(node));

	strbuf_add(out, STR("["));
	for (guint i = 0; i < records->len; i++) {
		const struct member *record = &g_array_index(records, struct member, i);

		add_separator(out);
		strbuf_add(out, STR("{"));
		add_address(out, "node", record->id);
		add_text(out, "state", member_state_name(record->state));
		add_label(out, "data_centre", &record->data_centre);
		add_label(out, "service", &record->service);
		add_label(out, "version", &record->version);
		add_number(out, "slots", record->slots);
		add_number(out, "incarnation", (int64_t)record->incarnation);
		strbuf_add(out, STR("}"));
	}
	strbuf_add(out, STR("]"));
	g_array_unref(records);
}

static void add_move(struct node *node, const struct move_report *report, struct instant now,
		     struct strbuf *out)
{
	add_separator(out);
	strbuf_add(out, STR("{"));
	add_number(out, "id", (int64_t)report->spec.id);
	add_label(out, "service", &report->spec.service);
	add_label(out, "from", &report->spec.from);
	add_label(out, "to", &report->spec.to);
	add_time(out, "start", report->spec.start_at_us);
	add_time(out, "finish", report->spec.finish_at_us);
	add_text(out, "phase", move_phase_name(report->phase));
	add_number(out, "step", report->state.step);
	add_number(out, "steps", MOVE_STEPS);
	add_number(out, "share_per_10000", moves_share(node_moves(node), report->spec.id, now));
	add_time(out, "done_at", report->state.done_at_us);
	add_time(out, "taken_back_at", report->state.withdrawn_at_us);
	add_text(out, "why", str_from_cstr(report->why));
	add_bool(out, "late", report->late);
	strbuf_add(out, STR("}"));
}

void report_moves(struct node *node, struct instant now, struct strbuf *out)
{
	struct config *config = node_config(node);
	GArray *reports = moves_report(node_moves(node), config, now);

	strbuf_add(out, STR("["));
	for (guint i = 0; i < reports->len; i++)
		add_move(node, &g_array_index(reports, struct move_report, i), now, out);
	strbuf_add(out, STR("]"));
	g_array_unref(reports);
	config_unref(config);
}

static void add_change_result(const struct apply_result *result, struct strbuf *out)
{
	add_number(out, "version", result->offset);
	add_text(out, "judged", apply_result_name(result->kind));
	add_number(out, "file_version", result->current);
	add_text(out, "why", str_from_cstr(result->reason));
}

void report_change_result(const struct apply_result *result, struct strbuf *out)
{
	strbuf_add(out, STR("{"));
	add_change_result(result, out);
	strbuf_add(out, STR("}"));
}

void report_history(struct node *node, struct strbuf *out)
{
	struct apply_result *results = g_new0(struct apply_result, HISTORY_REPORT_MAX);
	struct label *files = g_new0(struct label, HISTORY_REPORT_MAX);
	int count = history_results(node_history(node), results, files, HISTORY_REPORT_MAX);

	strbuf_add(out, STR("["));
	for (int i = 0; i < count; i++) {
		add_separator(out);
		strbuf_add(out, STR("{"));
		add_label(out, "file", &files[i]);
		add_change_result(&results[i], out);
		strbuf_add(out, STR("}"));
	}
	strbuf_add(out, STR("]"));
	g_free(results);
	g_free(files);
}

void report_files(struct node *node, struct strbuf *out)
{
	struct config *config = node_config(node);

	strbuf_add(out, STR("["));
	for (guint i = 0; i < config->files->len; i++) {
		const struct accepted_file *file = g_ptr_array_index(config->files, i);

		add_separator(out);
		strbuf_add(out, STR("{"));
		add_label(out, "file", &file->name);
		add_number(out, "version", file->version);
		add_number(out, "bytes", (int64_t)file->change->content.len);
		strbuf_add(out, STR("}"));
	}
	strbuf_add(out, STR("]"));
	config_unref(config);
}

void report_census(const struct census *census, struct strbuf *out)
{
	strbuf_add(out, STR("{"));
	add_number(out, "asked", census->asked);
	add_number(out, "answered", census->answered);
	add_number(out, "holding", census->holding);
	strbuf_add(out, STR("}"));
}
