/*
 * Simulated targets and calls to them.
 */
#include "regress/lib/sim_parts.h"

/* Service times are uniform within 50% of their mean, which is four times as long while cold. */
static int64_t service_time_us(struct sim *sim, const struct sim_target *target, bool faulty)
{
	double us = SERVICE_TIME_US * (0.5 + rng_unit(&sim->rng));

	if (faulty)
		us *= target->slow_factor;
	if (sim->now_us < target->cold_until_us)
		us *= 4;
	return (int64_t)us;
}

static enum sim_call_result run_call(struct sim *sim, int index, struct label route)
{
	struct sim_node *instance = &sim->nodes[index];
	struct sim_target *target = &instance->target;
	bool faulty = sim->now_us >= target->faulty_from_us &&
		      (target->faulty_route.len == 0 || label_equal(&target->faulty_route, &route));
	double failure_probability =
		target->shared_failure_fraction + (faulty ? target->failure_fraction : 0);
	bool failed = rng_unit(&sim->rng) < failure_probability;

	node_target_ended(instance->node, route, failed ? TARGET_FAILED : TARGET_ANSWERED,
			  service_time_us(sim, target, faulty), sim_now(sim));
	return failed ? SIM_CALL_FAILED : SIM_CALL_SUCCEEDED;
}

/* Checks that a node sends no call to a version that it knows to be withdrawn. */
static void check_not_withdrawn(struct sim *sim, int index, const struct choice *choice)
{
	struct moves *moves = node_moves(sim->nodes[index].node);
	GArray *states = moves_states(moves);

	for (guint i = 0; i < states->len; i++) {
		const struct move_state *state = &g_array_index(states, struct move_state, i);
		struct move_spec spec;

		if (state->withdrawn_at_us && moves_spec(moves, state->id, &spec) &&
		    label_equal(&spec.to, &choice->version))
			sim_record_violation(sim, index, "a withdrawn version was chosen");
	}
	g_array_unref(states);
}

enum sim_call_result sim_call(struct sim *sim, int index, const char *route, uint64_t point,
			      struct label *version)
{
	struct sim_node *entry = &sim->nodes[index];
	struct config *config = node_config(entry->node);
	struct call_attributes attributes = { .point = point };
	struct actions actions = actions_new();
	enum sim_call_result result = SIM_CALL_NOT_RUN;
	struct choice choice;
	int target;

	attributes.route = config_find_route(config, label_from(str_from_cstr(route)));
	if (attributes.route) {
		choice = node_choose_target(entry->node, config, &attributes, sim_now(sim));
		if (choice.kind == CHOICE_TARGET)
			check_not_withdrawn(sim, index, &choice);
		target = choice.kind == CHOICE_TARGET ? sim_index_from_id(sim, choice.target) : -1;
		if (target >= 0 && sim->nodes[target].node && !sim->nodes[target].frozen &&
		    !sim->nodes[target].target.crashed) {
			result = run_call(sim, target, attributes.route->name);
			*version = choice.version;
		}
		if (target >= 0)
			node_call_ended(entry->node, attributes.route->service, choice.target,
					result == SIM_CALL_SUCCEEDED ? CALL_ANSWERED
					: result == SIM_CALL_FAILED  ? CALL_FAILED
								     : CALL_BROKEN,
					sim_now(sim), &actions);
	}
	sim_dispatch_actions(sim, index, &actions);
	config_unref(config);
	return result;
}

void sim_crash_target(struct sim *sim, int index, uint64_t fingerprint)
{
	struct actions actions = actions_new();

	node_target_crashed(sim->nodes[index].node, &fingerprint, 1, label_from(STR("r")),
			    sim_node_now(sim, index), &actions);
	sim_dispatch_actions(sim, index, &actions);
}

enum choice_kind sim_choose(struct sim *sim, int index, uint64_t fingerprint)
{
	struct instant now = sim_node_now(sim, index);
	struct node *entry = sim->nodes[index].node;
	struct config *config = node_config(entry);
	struct call_attributes call = { .fingerprint = fingerprint };
	struct choice choice;

	call.route = config_find_route(config, label_from(STR("r")));
	choice = node_choose_target(entry, config, &call, now);
	if (choice.kind == CHOICE_TARGET)
		members_call_ended(node_members(entry), choice.target, CALL_ANSWERED, false, now);
	config_unref(config);
	return choice.kind;
}
