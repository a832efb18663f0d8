/**
 * @file
 * Log-linear histogram of times in microseconds: four buckets per octave, from 64 us to 67 s.
 */
#ifndef BASE_HIST_H
#define BASE_HIST_H

#include <stdint.h>

enum { HIST_BUCKETS = 80 };

struct hist {
	uint32_t count[HIST_BUCKETS];
	uint64_t total;
	uint64_t sum_us;
};

int hist_bucket(int64_t us);
/** Returns the upper bound of a bucket in microseconds. */
int64_t hist_bound_us(int bucket);
void hist_add(struct hist *hist, int64_t us);
/** Returns the upper bound of the bucket that holds quantile @p q (0..1); 0 if empty. */
int64_t hist_quantile_us(const struct hist *hist, double q);

#endif
