/**
 * @file
 * How fast large bodies leave a node whose link is small. Sent as fast as targets give them, a few
 * downloads fill the link's queue for a second; small answers, heartbeats and news wait behind
 * them, and links are taken for silent.
 *
 * Load pattern: downloads of 90 KB at 1.7 times their usual rate on a link of 11 Mbit/s.
 */
#ifndef CORE_PACE_H
#define CORE_PACE_H

#include "base/clock.h"

struct pace {
	int64_t bytes_per_s;	 /**< 0: the link is no bound */
	struct deadline free_at; /**< when what was let go so far has left */
};

/** For a link of @p mbps, megabits a second; 0: no bound. */
struct pace pace_of_link(double mbps);
/**
 * Counts @p bytes that are to be sent, of a body of which @p before went out already. Returns how
 * long they should wait, microseconds: small bodies never do.
 */
int64_t pace_take(struct pace *pace, uint64_t before, size_t bytes, struct instant now);

#endif
