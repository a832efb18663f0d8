#include "core/placement.h"

#include <glib.h>

#include "base/clock.h"

enum {
	NEAR_OFFERS_MAX = 3,	      /* each costs a round trip within a data centre */
	FAR_OFFERS_MAX = 3,	      /* or between two */
	FAR_OFFERS_BUSY = 1,	      /* where hardly one is taken: finds out when that ends */
	LARGE_ANSWER_BYTES = 3 << 10, /* what a request takes on its way itself */
};

/* Share of the time until the objective that a call may spend in its own data centre before others
 * are asked; the rest is for what was not expected. Large answers stay as long as they can. */
#define NEAR_SHARE	 0.7
#define NEAR_SHARE_LARGE 1.0

/* Below this share other data centres are as full as the own one: more offers are bytes for
 * nothing. */
#define FAR_CHANCE_BUSY 0.2

#define RETRY_MIN_US	(100 * US_PER_MS)
#define RETRY_LEFT_PART 3 /* callers honour waits up to a third of what they have left */

static bool near_is_on_time(const struct placement *placement, const struct placement_facts *facts)
{
	double share = facts->answer_bytes >= LARGE_ANSWER_BYTES ? NEAR_SHARE_LARGE : NEAR_SHARE;

	return placement->best && placement->best_is_near && placement->best_expected_us &&
	       (double)placement->best_expected_us <= share * (double)facts->on_time_us;
}

static int far_offers_max(const struct placement_facts *facts)
{
	return facts->far_chance < FAR_CHANCE_BUSY ? FAR_OFFERS_BUSY : FAR_OFFERS_MAX;
}

enum placement_step placement_next(struct placement *placement, const struct placement_facts *facts)
{
	placement->queueing = false;
	placement->offering_near = false;
	placement->offering_far = false;
	if (!placement->near_exhausted && placement->near_offers < NEAR_OFFERS_MAX) {
		placement->near_offers++;
		placement->offering_near = true;
		return PLACE_NEAR;
	}
	if (!placement->near_queue_tried && near_is_on_time(placement, facts)) {
		placement->near_queue_tried = true;
		placement->queueing = true;
		return PLACE_QUEUE;
	}
	if (!placement->far_exhausted && placement->far_offers < far_offers_max(facts)) {
		placement->far_offers++;
		placement->offering_far = true;
		return PLACE_FAR;
	}
	if (placement->best) {
		placement->queueing = true;
		return PLACE_QUEUE;
	}
	return PLACE_REFUSE;
}

void placement_none(struct placement *placement)
{
	if (placement->offering_near)
		placement->near_exhausted = true;
	else
		placement->far_exhausted = true;
}

void placement_refused(struct placement *placement, uint64_t target, int64_t expected_us)
{
	/* Whoever refused it a place in the queue is not asked again. */
	if (placement->queueing || target == placement->best) {
		placement->best = 0;
		return;
	}
	if (expected_us == 0 || (placement->best && placement->best_expected_us <= expected_us))
		return;
	placement->best = target;
	placement->best_expected_us = expected_us;
	placement->best_is_near = placement->offering_near;
}

int64_t placement_retry_after_us(const struct placement *placement,
				 const struct placement_facts *facts, struct rng *rng)
{
	int64_t most_us = facts->left_us / RETRY_LEFT_PART;
	int64_t room_us = MAX(placement->best_expected_us, RETRY_MIN_US);

	room_us = MIN(room_us, most_us);
	return room_us / 2 + (int64_t)rng_below(rng, (uint64_t)room_us / 2 + 1);
}
