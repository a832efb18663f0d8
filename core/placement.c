#include "core/placement.h"

#include <glib.h>

#include "base/clock.h"

enum {
	LOCAL_OFFERS_MAX = 3,	      /* each offer costs a round trip within a data centre */
	REMOTE_OFFERS_MAX = 3,	      /* each offer costs a round trip between data centres */
	REMOTE_OFFERS_BUSY = 1,	      /* while few offers are accepted: detects when more are */
	LARGE_ANSWER_BYTES = 3 << 10, /* about the size of the request itself */
};

/* A call queues locally, before remote targets are asked, if it is expected to take at most this
 * fraction of the time until its objective; the rest is a reserve for errors of the estimate. With
 * a large answer it stays local as long as it can meet the objective. */
#define LOCAL_TIME_FRACTION	  0.7
#define LOCAL_TIME_FRACTION_LARGE 1.0

/* Below this share of accepted offers the remote data centres are as full as the local one, and
 * more offers would only use bandwidth. */
#define REMOTE_BUSY_PROBABILITY 0.2

/* Largest part of the time until the objective that offers may take. If they would take more, the
 * targets may queue the call. */
#define OFFERS_TIME_FRACTION 0.25

#define RETRY_MIN_US	  (100 * US_PER_MS)
#define RETRY_UNKNOWN_US  (600 * US_PER_MS)  /* no target's node gave an estimate */
#define RETRY_STARTING_US (1200 * US_PER_MS) /* until a fleet that starts knows its targets */
#define RETRY_DIVISOR	  3 /* callers wait for at most a third of their remaining time */

static bool local_meets_objective(const struct placement *placement,
				  const struct placement_inputs *inputs)
{
	double fraction = inputs->answer_bytes >= LARGE_ANSWER_BYTES ? LOCAL_TIME_FRACTION_LARGE
								     : LOCAL_TIME_FRACTION;

	return placement->best_target && placement->best_is_local && placement->best_expected_us &&
	       (double)placement->best_expected_us <=
		       fraction * (double)inputs->objective_remaining_us;
}

static int remote_offers_max(const struct placement_inputs *inputs)
{
	return inputs->remote_probability < REMOTE_BUSY_PROBABILITY ? REMOTE_OFFERS_BUSY
								    : REMOTE_OFFERS_MAX;
}

/* A call that is late already is not offered further: each round trip takes from the time that is
 * left until its deadline. */
static bool queues_without_more_offers(const struct placement *placement,
				       const struct placement_inputs *inputs)
{
	return placement->best_target && inputs->objective_remaining_us <= 0;
}

static bool offers_take_long(const struct placement_inputs *inputs)
{
	return LOCAL_OFFERS_MAX * (double)inputs->round_trip_us >
	       OFFERS_TIME_FRACTION * (double)inputs->objective_remaining_us;
}

static enum placement_step next_step(struct placement *placement,
				     const struct placement_inputs *inputs)
{
	placement->queueing = false;
	placement->offering_local = false;
	placement->offering_remote = false;
	if (queues_without_more_offers(placement, inputs)) {
		placement->queueing = true;
		return PLACE_QUEUE;
	}
	if (!placement->local_exhausted && placement->local_offers < LOCAL_OFFERS_MAX) {
		placement->local_offers++;
		placement->offering_local = true;
		return PLACE_LOCAL;
	}
	if (!placement->local_queue_tried && local_meets_objective(placement, inputs)) {
		placement->local_queue_tried = true;
		placement->queueing = true;
		return PLACE_QUEUE;
	}
	if (!placement->remote_exhausted && placement->remote_offers < remote_offers_max(inputs)) {
		placement->remote_offers++;
		placement->offering_remote = true;
		return PLACE_REMOTE;
	}
	if (placement->best_target) {
		placement->queueing = true;
		return PLACE_QUEUE;
	}
	return PLACE_REFUSE;
}

enum placement_step placement_next(struct placement *placement,
				   const struct placement_inputs *inputs)
{
	enum placement_step step = next_step(placement, inputs);

	placement->may_queue = placement->queueing || offers_take_long(inputs);
	return step;
}

void placement_no_target(struct placement *placement)
{
	if (placement->offering_local)
		placement->local_exhausted = true;
	else
		placement->remote_exhausted = true;
}

void placement_refused(struct placement *placement, uint64_t target, int64_t expected_us)
{
	/* A target that refused to queue the call is not asked again. */
	if (placement->queueing || target == placement->best_target) {
		placement->best_target = 0;
		return;
	}
	if (expected_us == 0 ||
	    (placement->best_target && placement->best_expected_us <= expected_us))
		return;
	placement->best_target = target;
	placement->best_expected_us = expected_us;
	placement->best_is_local = placement->offering_local;
}

void placement_retry(struct placement *placement)
{
	placement->local_offers = 0;
	placement->remote_offers = 0;
	placement->local_exhausted = false;
	placement->remote_exhausted = false;
	placement->local_queue_tried = false;
}

int64_t placement_retry_after_us(const struct placement *placement,
				 const struct placement_inputs *inputs, struct rng *rng)
{
	int64_t max_us = inputs->remaining_us / RETRY_DIVISOR;
	int64_t wait_us =
		placement->best_expected_us ? placement->best_expected_us : RETRY_UNKNOWN_US;

	wait_us = MAX(wait_us, inputs->node_is_current ? RETRY_MIN_US : RETRY_STARTING_US);
	wait_us = MIN(wait_us, max_us);
	return wait_us / 2 + (int64_t)rng_below(rng, (uint64_t)wait_us / 2 + 1);
}
