#include "base/hist.h"

enum {
	FIRST_OCTAVE = 6, /* 2^6 = 64 us; shorter times go to bucket 0 */
	BUCKET_BITS = 2,  /* log2 of the number of buckets per octave */
};

int hist_bucket(int64_t us)
{
	int octave;
	int bucket;

	if (us < (1 << FIRST_OCTAVE))
		return 0;
	octave = 63 - __builtin_clzll((unsigned long long)us);
	bucket = ((octave - FIRST_OCTAVE) << BUCKET_BITS) +
		 (int)((us >> (octave - BUCKET_BITS)) & ((1 << BUCKET_BITS) - 1));
	return bucket < HIST_BUCKETS ? bucket : HIST_BUCKETS - 1;
}

int64_t hist_bound_us(int bucket)
{
	int octave = FIRST_OCTAVE + (bucket >> BUCKET_BITS);
	int64_t step = 1LL << (octave - BUCKET_BITS);

	return (1LL << octave) + step * ((bucket & ((1 << BUCKET_BITS) - 1)) + 1);
}

void hist_add(struct hist *hist, int64_t us)
{
	hist->count[hist_bucket(us)]++;
	hist->total++;
	hist->sum_us += us > 0 ? us : 0;
}

int64_t hist_quantile_us(const struct hist *hist, double q)
{
	uint64_t rank = (uint64_t)(q * (double)hist->total);
	uint64_t cumulative = 0;

	for (int i = 0; i < HIST_BUCKETS; i++) {
		cumulative += hist->count[i];
		if (cumulative > rank || (cumulative == hist->total && cumulative > 0))
			return hist_bound_us(i);
	}
	return 0;
}
