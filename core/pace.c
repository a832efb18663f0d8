#include "core/pace.h"

#include <glib.h>

/* Fraction of the link's rate; the rest is for callers, other answers and control traffic. */
#define PACE_FRACTION 0.85
/* Longest wait in the link's queue; a heartbeat behind it still arrives in time. */
#define PACE_QUEUE_US (60 * US_PER_MS)

enum { SMALL_BYTES = 8 << 10 /* answers of up to this size are not delayed */ };

struct pace pace_of_link(double mbps)
{
	return (struct pace){ .bytes_per_s = (int64_t)(PACE_FRACTION * mbps * 1e6 / 8) };
}

void pace_count(struct pace *pace, size_t bytes, struct instant now)
{
	if (pace->bytes_per_s == 0)
		return;
	pace->free_at.at_us = MAX(pace->free_at.at_us, now.mono_us) +
			      (int64_t)bytes * US_PER_S / pace->bytes_per_s;
}

int64_t pace_wait_us(const struct pace *pace, struct instant now)
{
	return MAX(pace->free_at.at_us - now.mono_us - PACE_QUEUE_US, 0);
}

int64_t pace_transfer_us(const struct pace *pace, int64_t bytes)
{
	return pace->bytes_per_s ? bytes * US_PER_S / pace->bytes_per_s : 0;
}

int64_t pace_reserve(struct pace *pace, uint64_t before, size_t bytes, struct instant now)
{
	int64_t wait_us = pace->free_at.at_us - now.mono_us - PACE_QUEUE_US;

	if (pace->bytes_per_s == 0)
		return 0;
	pace_count(pace, bytes, now);
	return before + bytes > SMALL_BYTES ? MAX(wait_us, 0) : 0;
}
