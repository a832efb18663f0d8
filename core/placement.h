/**
 * @file
 * The order in which a call is offered to targets. Gossiped loads would be stale when they are
 * used, so the target's node is asked: it runs the call at once, or estimates when it would
 * answer. Where round trips take long, since links are full, the call may queue at the first
 * target. Answers between data centres are expensive: a call stays in the local data centre while
 * it meets its objective there. If no target that was asked has a free slot, the call queues at the
 * one that expects to answer first.
 *
 * Load pattern: bursts of 1.2 to 2 times the capacity at targets of unequal speed, some cold, slow
 * or shedding, and callers distributed over the data centres differently from the targets.
 */
#ifndef CORE_PLACEMENT_H
#define CORE_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"

/** State of the offers of one call. All zero: not offered yet. */
struct placement {
	int local_offers;
	int remote_offers;
	bool local_exhausted; /**< no other local target takes work */
	bool remote_exhausted;
	uint64_t best_target; /**< target that refused and would answer first; 0: none */
	int64_t best_expected_us;
	bool best_is_local;
	bool local_queue_tried;
	bool offering_local;
	bool offering_remote;
	bool queueing;	/**< the step is PLACE_QUEUE */
	bool may_queue; /**< the target may queue the call, whatever the step */
};

/** Properties of the call at the time of the decision. */
struct placement_inputs {
	int64_t objective_remaining_us; /**< time until an answer would be late */
	int64_t remaining_us;		/**< time until its deadline */
	double answer_bytes;		/**< expected size of its answer */
	double remote_probability;	/**< recent share of remote offers that were accepted */
	int64_t round_trip_us;		/**< recent time that a refused offer took */
	bool node_is_current;		/**< false: this node has just started */
};

/** The next step for a call. */
enum placement_step {
	PLACE_LOCAL,  /**< offer it to another target of the local data centre */
	PLACE_REMOTE, /**< offer it to a target of a remote data centre */
	PLACE_QUEUE,  /**< queue it at placement.best */
	PLACE_REFUSE,
};

/** Decides on the next step, and counts it if it is an offer. */
enum placement_step placement_next(struct placement *placement,
				   const struct placement_inputs *inputs);
/** Notes that no target was found for the offer. */
void placement_no_target(struct placement *placement);
/** Notes a refusal; @p expected_us: the node's estimate of the time until an answer, or 0. */
void placement_refused(struct placement *placement, uint64_t target, int64_t expected_us);

/** Begins the offers of a further attempt, after one that took the call has failed. */
void placement_retry(struct placement *placement);

/** Returns how long a refused caller should wait: random, so that retries are distributed over the
 *  time in which slots become free. After the power has returned a caller that tries again at once
 *  finds no node current and no target known, and is lost with its second refusal. */
int64_t placement_retry_after_us(const struct placement *placement,
				 const struct placement_inputs *inputs, struct rng *rng);

#endif
