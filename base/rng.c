#include "base/rng.h"

uint64_t rng_mix(uint64_t value)
{
	value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
	value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
	return value ^ (value >> 31);
}

uint64_t rng_next(struct rng *rng)
{
	rng->state += 0x9e3779b97f4a7c15ULL;
	return rng_mix(rng->state);
}

uint64_t rng_below(struct rng *rng, uint64_t bound)
{
	return bound ? (uint64_t)(((unsigned __int128)rng_next(rng) * bound) >> 64) : 0;
}

double rng_unit(struct rng *rng)
{
	return (double)(rng_next(rng) >> 11) / (double)(1ULL << 53);
}
