/**
 * @file
 * Rate limit for large bodies that a node sends over a slow network link. Sent at the speed of the
 * targets, a few downloads fill the link's queue for a second: small answers, heartbeats and
 * updates wait behind them, and other nodes take the connections for silent.
 *
 * Load pattern: downloads of 90 KB at 1.7 times their usual rate on a link of 11 Mbit/s.
 */
#ifndef CORE_PACE_H
#define CORE_PACE_H

#include "base/clock.h"

/** Rate limit of one link. It has no lock: the caller serialises its use. */
struct pace {
	int64_t bytes_per_s;	 /**< 0: no limit */
	struct deadline free_at; /**< time at which the bytes counted so far have left */
};

/** Returns the limit for a link of @p mbps megabits a second; 0: no limit. */
struct pace pace_of_link(double mbps);
/**
 * Counts @p bytes to be sent of a body of which @p before were sent already. Returns for how many
 * microseconds to wait before sending them; 0 for small bodies and the start of large ones.
 */
int64_t pace_reserve(struct pace *pace, uint64_t before, size_t bytes, struct instant now);
/** Returns for how many microseconds bytes that were counted would wait for the link beyond the
 *  longest wait that is allowed; 0: more may be sent now. */
int64_t pace_wait_us(const struct pace *pace, struct instant now);
/** Returns the time that @p bytes take on the link at the limited rate, us; 0 without a limit. */
int64_t pace_transfer_us(const struct pace *pace, int64_t bytes);
/** Counts @p bytes that are sent over the same link without waiting, such as answers to callers. */
void pace_count(struct pace *pace, size_t bytes, struct instant now);

#endif
