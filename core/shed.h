/**
 * @file
 * Which waiting call to turn away when there is too little room: the one that costs callers least,
 * by its class, by whether it can still be answered in time, and by the work that it needs.
 *
 * Load pattern: uploads of very different size at up to twice the rate of a VM's link, and bursts
 * of calls of different length. Turned away by the order of arrival, a long call keeps out several
 * short ones.
 */
#ifndef CORE_SHED_H
#define CORE_SHED_H

#include <stdbool.h>

#include "base/clock.h"
#include "core/config.h"

/** The properties of a call that decide what it costs to turn it away. */
struct shed_call {
	enum traffic_class class;
	bool nested;	 /**< a call at another target fails with it */
	bool in_time;	 /**< it can be answered before its objective */
	bool retried;	 /**< its caller was refused before */
	int64_t work_us; /**< time that it takes of the target's slots, or of the link */
};

/** Returns what callers lose for each second of work if the call is turned away. */
double shed_cost(const struct shed_call *call);

/** Whether @p waiting is to be turned away so that @p other gets its place. */
bool shed_prefers(const struct shed_call *other, const struct shed_call *waiting);

/** Whether a call that was queued at @p queued_at_us may still be turned away for another one: its
 *  caller has waited only a little. */
bool shed_is_recent(int64_t queued_at_us, struct instant now);

#endif
