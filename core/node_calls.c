/*
 * The node's part in calls: choice of version and target, retry budgets, results of calls, and the
 * census.
 */
#include "core/node_parts.h"

#define BUDGET_PER_CALL 0.1
/* Fraction of the allowed retries that is used: nodes join and leave while they share them. */
#define BUDGET_USED_FRACTION 0.8
#define BUDGET_INITIAL	     10.0
#define BUDGET_MAX	     50.0
#define COLD_PERIOD_US	     (12 * US_PER_S)

struct label call_service(const struct call_attributes *attributes)
{
	/* The point is hashed again because it already places the call in the version shares. */
	return route_service(attributes->route, rng_mix(attributes->point + 1));
}

static uint64_t choose_target(struct node *node, const struct call_attributes *attributes,
			      const struct version_filter *version, const GArray *evacuated,
			      struct rng *rng, struct instant now)
{
	struct choice_options options = {
		.service = call_service(attributes),
		.version = *version,
		.avoid_count = attributes->avoid_count,
		.evacuated = evacuated,
	};
	int targets = 0;

	for (int i = 0; i < attributes->avoid_count; i++)
		options.avoid[i] = attributes->avoid[i];
	options.data_centre = attributes->data_centre;
	if (version->kind == VERSION_IS)
		targets =
			members_version_targets(node->members, options.service, version, evacuated);
	options.max_targets = moves_canaries(node->moves, options.service, version, targets, now);
	return members_choose(node->members, &options, rng, now);
}

/* Returns the version to use instead of one without targets: the fallback of its move, or else any
 * version if the service declares none. After conflicting verdicts on a move, some nodes choose a
 * version whose targets have stopped. */
static struct version_filter fallback_version(struct node *node, const struct config *config,
					      struct label service, struct version_filter version)
{
	const struct service *declared = config_find_service(config, service);

	if (!moves_fallback_version(node->moves, service, &version, &version) &&
	    declared->any_version)
		version.kind = VERSION_ANY;
	return version;
}

struct choice node_choose_target(struct node *node, const struct config *config,
				 const struct call_attributes *attributes, struct instant now)
{
	struct choice choice = { .kind = CHOICE_NO_TARGET };
	struct label service = call_service(attributes);
	struct version_filter version;
	struct rng rng = node_rng(node);
	struct member record;

	if (!node_is_current(node)) {
		choice.kind = CHOICE_NOT_CURRENT;
		return choice;
	}
	if (config_auto_allowed(config, service, AUTO_QUARANTINE) &&
	    poison_is_quarantined(node->poison, attributes->fingerprint, now)) {
		choice.kind = CHOICE_QUARANTINED;
		return choice;
	}
	if (!moves_choose_version(node->moves, config, service, attributes->point, now, &version))
		return choice;
	if (members_version_targets(node->members, service, &version, config->evacuated) == 0)
		version = fallback_version(node, config, service, version);
	choice.target = choose_target(node, attributes, &version, config->evacuated, &rng, now);
	/* A version without a local target may have one in a remote data centre. Overflow of the
	 * old version does not go to a new one under trial. */
	if (choice.target == 0 && attributes->data_centre != CHOOSE_LOCAL &&
	    moves_is_new_version(node->moves, service, &version) &&
	    moves_fallback_version(node->moves, service, &version, &version))
		choice.target =
			choose_target(node, attributes, &version, config->evacuated, &rng, now);
	if (choice.target == 0)
		return choice;
	choice.kind = CHOICE_TARGET;
	if (members_get(node->members, choice.target, &record))
		choice.version = record.version;
	return choice;
}

void node_call_started(struct node *node, uint64_t target)
{
	members_call_started(node->members, target);
}

void node_call_ended(struct node *node, struct label service, uint64_t target,
		     enum call_outcome outcome, struct instant now, struct actions *out)
{
	struct config *config = node_config(node);
	bool may_eject = config_auto_allowed(config, service, AUTO_EJECT);
	struct member record;

	config_unref(config);
	if (members_call_ended(node->members, target, outcome, may_eject, now))
		actions_log_event(out, LOG_EVENT_TARGET_EJECTED, "member=%lx service=%.*s", target,
				  STR_ARG(label_str(&service)));
	if (may_eject && members_get(node->members, target, &record))
		moves_record_call(node->moves, service, record.version,
				  outcome == CALL_FAILED || outcome == CALL_BROKEN, now);
}

/* Returns the capacity of this node's budget: its share of what all nodes may use. */
static double budget_limit(struct node *node)
{
	int live = members_count(node->members).live;

	if (node->options.retry_slack == 0)
		return BUDGET_MAX;
	return BUDGET_USED_FRACTION * node->options.retry_slack / MAX(live, 1);
}

static struct retry_budget *budget_get(struct node *node, struct label service, double limit)
{
	struct retry_budget *budget = g_hash_table_lookup(node->gossip.budgets, &service);

	if (budget)
		return budget;
	budget = g_new0(struct retry_budget, 1);
	budget->service = service;
	budget->tokens = MIN(BUDGET_INITIAL, limit);
	g_hash_table_insert(node->gossip.budgets, &budget->service, budget);
	return budget;
}

bool node_take_retry(struct node *node, struct label service)
{
	double limit = budget_limit(node);
	struct retry_budget *budget;
	bool taken;

	lock_acquire(&node->gossip.lock);
	budget = budget_get(node, service, limit);
	taken = budget->tokens >= 1;
	if (taken)
		budget->tokens -= 1;
	lock_release(&node->gossip.lock);
	return taken;
}

void node_record_call(struct node *node, struct label service)
{
	double limit = budget_limit(node);
	double ratio = node->options.retry_ratio > 0
			       ? BUDGET_USED_FRACTION * node->options.retry_ratio
			       : BUDGET_PER_CALL;
	struct retry_budget *budget;

	lock_acquire(&node->gossip.lock);
	budget = budget_get(node, service, limit);
	/* The budget can reach one retry even if the node's share of the limit is less. */
	budget->tokens = MIN(budget->tokens + ratio, MAX(limit, 1));
	lock_release(&node->gossip.lock);
}

/* Whether the target is still cold. The period starts with its first call: without calls a target
 * does not warm up. In a short move it is limited to the duration of one step. */
static bool is_cold(struct node *node, struct instant now)
{
	struct member self = members_self(node->members);
	int64_t cold_us =
		MIN(COLD_PERIOD_US, moves_step_us(node->moves, self.service, COLD_PERIOD_US));
	bool cold;

	lock_acquire(&node->gossip.lock);
	if (node->target_slow_start_until.at_us == 0)
		node->target_slow_start_until = deadline_after(now, cold_us);
	cold = !deadline_passed(node->target_slow_start_until, now);
	lock_release(&node->gossip.lock);
	return cold;
}

void node_target_ended(struct node *node, struct label route, enum target_outcome outcome,
		       int64_t service_us, struct instant now)
{
	tally_add(node->tally, route, outcome, service_us, is_cold(node, now));
}

uint64_t node_census_start(struct node *node, int64_t version, struct actions *out)
{
	struct message *message = message_new(MESSAGE_CENSUS_ASK);
	GArray *records = members_list(node->members);
	uint64_t seq;
	int slot;

	lock_acquire(&node->gossip.lock);
	seq = ++node->gossip.tag;
	slot = (int)(seq % CENSUS_ENTRIES);
	node->gossip.census[slot].seq = seq;
	node->gossip.census[slot].version = version;
	/* The counts include this node. */
	node->gossip.census[slot].census = (struct census){ 1, 1, 0 };
	lock_release(&node->gossip.lock);
	message->census.seq = seq;
	for (guint i = 0; i < records->len; i++) {
		const struct member *record = &g_array_index(records, struct member, i);

		if (record->id == node->options.id || record->state > MEMBER_SUSPECT ||
		    !label_equal(&record->data_centre, &node->options.data_centre))
			continue;
		actions_send(out, record->id, message_ref(message));
		lock_acquire(&node->gossip.lock);
		node->gossip.census[slot].census.asked++;
		lock_release(&node->gossip.lock);
	}
	message_unref(message);
	g_array_unref(records);
	return seq;
}

struct census node_census_result(struct node *node, uint64_t seq)
{
	int slot = (int)(seq % CENSUS_ENTRIES);
	int64_t held_version = history_version(node->history);
	struct census census = { 0 };

	lock_acquire(&node->gossip.lock);
	if (node->gossip.census[slot].seq == seq) {
		census = node->gossip.census[slot].census;
		census.holding += held_version >= node->gossip.census[slot].version;
	}
	lock_release(&node->gossip.lock);
	return census;
}

void calls_on_census_ask(struct node *node, uint64_t from, uint64_t seq, struct actions *out)
{
	struct message *message = message_new(MESSAGE_CENSUS);

	message->census.seq = seq;
	message->census.version = node_is_current(node) ? history_version(node->history) : 0;
	actions_send(out, from, message);
}

void calls_on_census(struct node *node, uint64_t seq, int64_t version)
{
	int slot = (int)(seq % CENSUS_ENTRIES);

	lock_acquire(&node->gossip.lock);
	if (node->gossip.census[slot].seq == seq) {
		node->gossip.census[slot].census.answered++;
		node->gossip.census[slot].census.holding +=
			version >= node->gossip.census[slot].version;
	}
	lock_release(&node->gossip.lock);
}
