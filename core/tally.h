/**
 * @file
 * What the node's own target did in the current second, per route: the windows of evidence that
 * go to the coordinators of a move.
 */
#ifndef CORE_TALLY_H
#define CORE_TALLY_H

#include <apr_pools.h>

#include "core/evidence.h"

struct tally;

struct tally *tally_new(apr_pool_t *pool);
void tally_free(struct tally *tally);

/** How a call ended at the target. */
enum target_outcome {
	TARGET_ANSWERED,  /**< status below 500 */
	TARGET_FAILED,	  /**< status of 500 or more, but not shed */
	TARGET_SHED,	  /**< 503 or 429: it is full, which is no fault of the version */
	TARGET_CRASHED,	  /**< the connection broke with the call in flight */
	TARGET_UNREACHED, /**< no connection: nothing was sent */
};

/** Notes a call; @p cold leaves its latency out. Takes LOCK_ADMIT. */
void tally_add(struct tally *tally, struct label route, enum target_outcome outcome,
	       int64_t service_us, bool cold);
/** Notes one crash of the target, however many calls it took along. */
void tally_crash(struct tally *tally, struct label route);
/** Gives the windows so far and starts new ones; the caller frees the array. */
GArray *tally_take(struct tally *tally, uint64_t target, uint32_t targets);

#endif
