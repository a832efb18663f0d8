/**
 * @file
 * In which order a call is offered to targets. Loads heard of earlier are stale before they are
 * used, so that a target's node is asked: it takes the call at once, or says when it would answer.
 * Answers that cross between data centres are dear: a call stays in its own while it is on time
 * there. Only when no slot is free anywhere that was asked does it queue, at the best of them.
 *
 * Load pattern: bursts of 1.2 to 2 times the capacity at targets of unequal speed, some cold, slow
 * or shedding, with callers that are not spread like the targets.
 */
#ifndef CORE_PLACEMENT_H
#define CORE_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"

/** Where one call stands. Zero: not offered yet. */
struct placement {
	int near_offers;
	int far_offers;
	bool near_exhausted; /**< no other target of the own data centre takes work */
	bool far_exhausted;
	uint64_t best; /**< target that would answer first of those that refused; 0: none */
	int64_t best_expected_us;
	bool best_is_near;
	bool near_queue_tried;
	bool offering_near;
	bool offering_far;
	bool queueing;
};

/** What the call is, as of now. */
struct placement_facts {
	int64_t on_time_us;  /**< until its answer would be late */
	int64_t left_us;     /**< until its deadline */
	double answer_bytes; /**< that its answer will take */
	double far_chance;   /**< share of offers to other data centres that were taken lately */
};

/** What is to be tried next. */
enum placement_step {
	PLACE_NEAR,  /**< offer it to another target of the own data centre */
	PLACE_FAR,   /**< or of another one */
	PLACE_QUEUE, /**< let it wait at placement.best */
	PLACE_REFUSE,
};

enum placement_step placement_next(struct placement *placement,
				   const struct placement_facts *facts);
/** The offer found no target. */
void placement_none(struct placement *placement);
/** The offer was refused; @p expected_us as the target's node said, 0 if it did not. */
void placement_refused(struct placement *placement, uint64_t target, int64_t expected_us);

/** When a refused caller may come back, spread over the time in which there will be room. */
int64_t placement_retry_after_us(const struct placement *placement,
				 const struct placement_facts *facts, struct rng *rng);

#endif
