/**
 * @file
 * Seeded pseudo-random numbers (splitmix64), so that the same trace of events gives the same
 * actions.
 */
#ifndef BASE_RNG_H
#define BASE_RNG_H

#include <stdint.h>

struct rng {
	uint64_t state;
};

/** Hashes a number: each bit of the result depends on all bits of @p value. */
uint64_t rng_mix(uint64_t value);
uint64_t rng_next(struct rng *rng);
/** Returns a number in 0..bound-1; 0 if @p bound is 0. */
uint64_t rng_below(struct rng *rng, uint64_t bound);
/** Returns a number from 0 (inclusive) to 1 (exclusive). */
double rng_unit(struct rng *rng);

#endif
