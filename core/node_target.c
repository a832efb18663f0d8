/*
 * The effect of the configuration on the node's own target: the limit while it is cold, and the
 * evacuation of its data centre.
 */
#include "core/node_parts.h"

static struct admit_rules read_rules(struct node *node)
{
	struct config *config = node_config(node);
	struct member self = members_self(node->members);
	const struct service *service = config_find_service(config, self.service);
	struct admit_rules rules = {
		.evacuated = config_is_evacuated(config, node->options.data_centre),
	};

	if (service)
		rules.warmup = service->warmup;
	config_unref(config);
	return rules;
}

/* Logs changes since the last call. LOCK_RULES is held. */
static void log_changes(struct node *node, struct instant now, struct actions *out)
{
	struct target_rules *logged = &node->target_rules;
	struct admit_counts counts = admit_count(node->admit, now);
	struct str cause = cold_cause_name(counts.cold);
	struct str data_centre = label_str(&node->options.data_centre);

	if (counts.evacuated != logged->evacuated)
		actions_log_event(out,
				  counts.evacuated ? LOG_EVENT_EVACUATION_STARTED
						   : LOG_EVENT_EVACUATION_ENDED,
				  "data_centre=%.*s running=%d queued=%d", STR_ARG(data_centre),
				  counts.running, counts.queued);
	if (counts.cold != logged->cold)
		actions_log_event(out,
				  counts.cold == COLD_NOT ? LOG_EVENT_TARGET_WARM
							  : LOG_EVENT_TARGET_COLD,
				  "why=%.*s running=%d queued=%d", STR_ARG(cause), counts.running,
				  counts.queued);
	logged->evacuated = counts.evacuated;
	logged->cold = counts.cold;
}

void target_apply_rules(struct node *node, struct instant now, struct actions *out)
{
	struct admit_rules rules;

	/* The lock keeps an older configuration from being applied after a newer one. */
	lock_acquire(&node->target_rules.lock);
	rules = read_rules(node);
	admit_set_rules(node->admit, &rules, now);
	log_changes(node, now, out);
	lock_release(&node->target_rules.lock);
}

void target_tick(struct node *node, struct instant now, struct actions *out)
{
	lock_acquire(&node->target_rules.lock);
	log_changes(node, now, out);
	lock_release(&node->target_rules.lock);
}
