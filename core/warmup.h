/**
 * @file
 * Rate limit of a cold target: a target that has just started, or is to be warmed up again, may get
 * few calls a second. The code does no I/O and reads no clock; the owner's lock protects a struct
 * warmup.
 *
 * Load pattern: a burst of calls from all entry nodes at a target that is cold. All of them pass
 * through the node beside the target, so that its limit is that of the fleet.
 */
#ifndef CORE_WARMUP_H
#define CORE_WARMUP_H

#include <stdbool.h>

#include "base/clock.h"

/** Tolerance of the limit, the same for all services. */
struct warmup_options {
	double cold_factor;    /**< factor on warmup_rule.per_s; 1 or more, default 1.5 */
	double cold_allowance; /**< calls in any second beyond that; default 8 */
};

/** What a service states about its cold targets. */
struct warmup_rule {
	double per_s;	     /**< calls per second that a cold target gets; 0: no limit */
	int64_t duration_us; /**< time in which a target warms up; 0: not stated */
};

/** Why a target counts as cold. */
enum cold_cause {
	COLD_NOT,      /**< it is warm */
	COLD_STARTED,  /**< a new incarnation, or the first one known */
	COLD_STATED,   /**< its heartbeat says so */
	COLD_REOPENED, /**< the evacuation of its data centre has ended */
	COLD_SILENT,   /**< its heartbeats have a gap */
};

struct str cold_cause_name(enum cold_cause cause);

/** State of the target on this VM. It is kept for all services, and has an effect only where the
 * service states a rule. */
struct warmup {
	struct warmup_options options;
	struct warmup_rule rule;
	enum cold_cause cause; /**< not COLD_SILENT, which follows from .silent_at */
	int64_t cold_since_us; /**< monotonic, of .cause */
	bool states_warmup;    /**< the newest heartbeat states the remaining time */
	struct deadline
		silent_at;     /**< the next heartbeat is missing from then on; 0: none is due */
	double tokens;	       /**< calls that may start now; negative after warm calls */
	int64_t filled_at_us;  /**< monotonic, of .tokens */
	int64_t last_start_us; /**< monotonic, of a call; 0: none yet */
};

/** Initializes the state of a warm target; NULL: the default options. */
void warmup_init(struct warmup *warmup, const struct warmup_options *options);
/** Sets the rule of the target's service. */
void warmup_set_rule(struct warmup *warmup, const struct warmup_rule *rule, struct instant now);
/** Records a reason to count the target as cold until a heartbeat that arrives later. */
void warmup_note_cold(struct warmup *warmup, enum cold_cause cause, struct instant now);
/**
 * Records a heartbeat.
 *
 * @param states_warmup  it states the remaining time; without it a cold target is warm once the
 *                       rule's duration has passed
 * @param cold           the stated time is above 0
 */
void warmup_note_heartbeat(struct warmup *warmup, bool states_warmup, bool cold,
			   struct instant now);

/** Returns why the target's calls are limited now; COLD_NOT: they aren't. */
enum cold_cause warmup_cause(const struct warmup *warmup, struct instant now);
/** Whether the limit allows a call to start now. */
bool warmup_may_start(const struct warmup *warmup, struct instant now);
/** Counts a call that starts, of a warm target too: a target may have turned cold before its
 * heartbeat says so. */
void warmup_start(struct warmup *warmup, struct instant now);
/** Returns the time until the limit allows @p calls more calls; 0 for a warm target. */
int64_t warmup_wait_us(const struct warmup *warmup, int calls, struct instant now);

#endif
