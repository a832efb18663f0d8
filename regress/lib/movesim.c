#include "regress/lib/movesim.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"

enum { NODES = 12, DATA_CENTRES = 3, OLD_TARGETS = 6, ROUTES = 10, LEAD_S = 20, TAIL_S = 20 };

const char *movesim_fault_name(enum movesim_fault fault)
{
	static const char *const names[] = { "no fault",	  "cold start",
					     "shared fault",	  "shared fault after done",
					     "log out",		  "old node dies",
					     "a new target dies", "messages lost",
					     "all restart",	  "partition" };

	return names[fault];
}

static void write_config(const struct movesim_options *options, struct instant now,
			 struct strbuf *out)
{
	int64_t start_us = now.wall_us + LEAD_S * US_PER_S;

	strbuf_addf(out,
		    "{%s\"services\": {\"s\": {\"versions\": {\"v1\": {\"share\": 100},"
		    "\"v2\": {}}}}, \"routes\": [",
		    options->switches ? options->switches : "");
	for (int i = 0; i < ROUTES; i++)
		strbuf_addf(out, "%s{\"name\": \"r%d\", \"path\": \"/r%d\", \"service\": \"s\"}",
			    i ? "," : "", i, i);
	strbuf_addf(out, "], \"moves\": [{\"service\": \"s\", \"from\": \"v1\", \"to\": \"v2\","
			 "\"start\": \"");
	clock_format_utc(out, start_us);
	strbuf_addf(out, "\", \"finish\": \"");
	clock_format_utc(out, start_us + options->move_s * US_PER_S);
	strbuf_addf(out, "\"}]}");
	strbuf_add(out, (struct str){ "", 1 });
}

static void start_targets(struct sim *sim, const struct movesim_options *options,
			  int64_t bad_from_us)
{
	for (int i = 0; i < NODES; i++) {
		struct sim_target *target = &sim_node(sim, i)->target;
		bool is_new = i >= OLD_TARGETS;

		sim_announce_target(sim, i, "s", is_new ? "v2" : "v1", 9);
		if (!is_new)
			continue;
		target->failure_fraction = options->failure_fraction;
		target->slow_factor = options->slow_factor > 0 ? options->slow_factor : 1;
		target->faulty_from_us = bad_from_us;
		if (options->one_route)
			target->faulty_route = label_from(STR("r3"));
		if (options->fault == FAULT_COLD)
			target->cold_until_us = sim_elapsed_us(sim) + (LEAD_S + 10) * US_PER_S;
	}
}

static void restart_all(struct sim *sim)
{
	for (int i = 0; i < NODES; i++)
		sim_kill(sim, i);
	for (int i = 0; i < NODES; i++) {
		sim_start(sim, i);
		sim_announce_target(sim, i, "s", i >= OLD_TARGETS ? "v2" : "v1", 9);
	}
}

static void set_partition(struct sim *sim, bool cut)
{
	for (int dc = 1; dc < DATA_CENTRES; dc++) {
		sim_cut(sim, 0, dc, cut);
		sim_cut(sim, dc, 0, cut);
	}
}

/* Starts and ends the fault at its time in the move. */
static void update_fault(struct sim *sim, const struct movesim_options *options, int second)
{
	int at =
		options->fault == FAULT_AFTER_DONE ? options->move_s * 9 / 10 : options->move_s / 3;
	double fraction = second >= at && second < at + 5 ? 0.33 : 0;

	switch (options->fault) {
	case FAULT_SHARED:
	case FAULT_AFTER_DONE:
		for (int i = 0; i < NODES; i++)
			sim_node(sim, i)->target.shared_failure_fraction = fraction;
		return;
	case FAULT_LOG_UNAVAILABLE:
		sim_log_set_unavailable(sim, second >= 0);
		return;
	case FAULT_NODE_DIES:
		if (second == at)
			sim_kill(sim, 1);
		return;
	case FAULT_NEW_TARGET_DIES:
		if (second == at)
			sim_kill(sim, NODES - 1);
		return;
	case FAULT_LOSS:
		sim_set_loss(sim, 0.1);
		return;
	case FAULT_RESTART:
		if (second == at)
			restart_all(sim);
		return;
	case FAULT_PARTITION:
		set_partition(sim, second >= at && second < at + 30);
		return;
	case FAULT_NONE:
	case FAULT_COLD:
		return;
	}
}

static void run_call(struct sim *sim, struct movesim_result *result, int64_t bad_from_us)
{
	struct label version = { 0 };
	char route[8];
	int entry = (int)rng_below(sim_rng(sim), NODES);
	enum sim_call_result outcome;

	if (!sim_node(sim, entry)->node)
		entry = 0;
	snprintf(route, sizeof(route), "r%d", (int)rng_below(sim_rng(sim), ROUTES));
	outcome = sim_call(sim, entry, route, rng_next(sim_rng(sim)), &version);
	result->calls++;
	result->failed += outcome != SIM_CALL_SUCCEEDED;
	if (!label_is(&version, STR("v2")))
		return;
	result->calls_new++;
	result->calls_new_bad += sim_elapsed_us(sim) >= bad_from_us;
}

/* Runs a second of evenly spaced traffic. */
static void run_second(struct sim *sim, const struct movesim_options *options,
		       struct movesim_result *result, int64_t bad_from_us)
{
	enum { SLICES = 20 };

	for (int slice = 0; slice < SLICES; slice++) {
		for (int i = 0; i < options->calls_per_s / SLICES; i++)
			run_call(sim, result, bad_from_us);
		sim_run(sim, US_PER_S / SLICES);
	}
}

static void read_state(struct sim *sim, struct movesim_result *result)
{
	struct config *config = node_config(sim_node(sim, 0)->node);
	GArray *reports = moves_report(node_moves(sim_node(sim, 0)->node), config, sim_now(sim));

	if (reports->len) {
		const struct move_report *report = &g_array_index(reports, struct move_report, 0);
		const struct move_state *state = &report->state;

		result->step = state->step;
		result->done = state->done_at_us != 0;
		result->on_time = result->done && state->done_at_us <= report->spec.finish_at_us;
		result->withdrawn = state->withdrawn_at_us != 0;
		result->done_s = (double)(state->done_at_us - report->spec.start_at_us) / 1e6;
		result->withdrawn_s =
			(double)(state->withdrawn_at_us - report->spec.start_at_us) / 1e6;
	}
	g_array_unref(reports);
	config_unref(config);
}

struct movesim_result movesim_run(const struct movesim_options *options)
{
	struct sim_options sim_options = {
		.nodes = NODES, .data_centres = DATA_CENTRES, .seed = options->seed, .preload = true
	};
	struct movesim_result result = { 0 };
	struct sim *sim = sim_new(&sim_options);
	struct strbuf file = { 0 };
	int64_t start_us;
	int64_t bad_from_us;

	sim_run(sim, 10 * US_PER_S);
	start_us = sim_elapsed_us(sim) + LEAD_S * US_PER_S;
	bad_from_us = start_us + (int64_t)(options->bad_after_fraction * options->move_s * 1e6);
	write_config(options, sim_now(sim), &file);
	start_targets(sim, options, bad_from_us);
	sim_publish(sim, "c1", "file", 0, file.data);
	sim_run(sim, 2 * US_PER_S);
	/* Calls before the start count only as evidence of the old version. */
	for (int second = 2 - LEAD_S; second < options->move_s + TAIL_S; second++) {
		update_fault(sim, options, second);
		run_second(sim, options, &result, bad_from_us);
	}
	read_state(sim, &result);
	if (options->bad_after_fraction > 0)
		result.withdrawn_s -= options->bad_after_fraction * options->move_s;
	g_strlcpy(result.violation, sim_violation(sim), sizeof(result.violation));
	strbuf_clear(&file);
	sim_free(sim);
	return result;
}
