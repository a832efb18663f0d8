/**
 * @file
 * Small seeded random numbers (splitmix64), so that the same trace gives the same actions.
 */
#ifndef BASE_RNG_H
#define BASE_RNG_H

#include <stdint.h>

struct rng {
	uint64_t state;
};

/** Mixes a number into a hash of all its bits. */
uint64_t rng_mix(uint64_t value);
uint64_t rng_next(struct rng *rng);
/** A number in 0..bound-1; 0 if @p bound is 0. */
uint64_t rng_below(struct rng *rng, uint64_t bound);
/** A number in 0..1. */
double rng_unit(struct rng *rng);

#endif
