#include "core/startup.h"

#include <math.h>

#include "base/clock.h"

/* All nodes have registered before the first one lists them. */
#define LIST_EARLIEST_US (300 * US_PER_MS)
#define LIST_LATEST_US	 (1500 * US_PER_MS)
/* The nodes know each other before the first one reads. */
#define LOG_EARLIEST_US (800 * US_PER_MS)
#define LOG_LATEST_US	(4 * US_PER_S)

/* With this exponent one node in 64 draws less than half of the range. */
#define DRAW_EXPONENT (1.0 / 6)

static int64_t draw_delay_us(int64_t earliest_us, int64_t latest_us, struct rng *rng)
{
	return earliest_us +
	       (int64_t)(pow(rng_unit(rng), DRAW_EXPONENT) * (double)(latest_us - earliest_us));
}

int64_t startup_list_delay_us(struct rng *rng)
{
	return draw_delay_us(LIST_EARLIEST_US, LIST_LATEST_US, rng);
}

int64_t startup_log_delay_us(struct rng *rng)
{
	return draw_delay_us(LOG_EARLIEST_US, LOG_LATEST_US, rng);
}
