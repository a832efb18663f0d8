/**
 * @file
 * Call counts of the node's own target by route, for the current second: the windows of evidence
 * that are sent to the coordinators of a move.
 */
#ifndef CORE_TALLY_H
#define CORE_TALLY_H

#include <apr_pools.h>

#include "core/evidence.h"

struct tally;

struct tally *tally_new(apr_pool_t *pool);
void tally_free(struct tally *tally);

/** Result of a call at the target. */
enum target_outcome {
	TARGET_ANSWERED,  /**< status below 500 */
	TARGET_FAILED,	  /**< status of 500 or more, not shed */
	TARGET_SHED,	  /**< 503 or 429: the target is full, no fault of its version */
	TARGET_CRASHED,	  /**< the connection broke with the call in flight */
	TARGET_UNREACHED, /**< no connection: nothing was sent */
};

/** Counts a call; with @p cold its latency is left out. Takes LOCK_ADMIT, like all below. */
void tally_add(struct tally *tally, struct label route, enum target_outcome outcome,
	       int64_t service_us, bool cold);
/** Counts one crash of the target, however many calls were in flight. */
void tally_crash(struct tally *tally, struct label route);
/** Returns the windows and starts new ones; the caller frees the array. */
GArray *tally_collect(struct tally *tally, uint64_t target, uint32_t targets);

#endif
