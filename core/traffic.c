#include "core/traffic.h"

#include <glib.h>

#include "base/lockorder.h"

#define BYTES_SMOOTHING	 0.1 /* weight of an answer in the smoothed size */
#define REMOTE_SMOOTHING 0.1 /* weight of an offer in the smoothed share */
#define TRIP_SMOOTHING	 0.1 /* weight of a refused offer in the smoothed time */

/* Calls that may queue are hardly refused: an old time would never be corrected. */
#define TRIP_VALID_US (1 * US_PER_S)

/* The usual patience of a route's callers is estimated as a quantile of the times that they have
 * left. A caller tries again once at most on average, so that at least half of the calls are first
 * attempts, and this quantile lies among those. */
#define PATIENCE_QUANTILE 0.75
#define PATIENCE_STEP	  0.02 /* of the estimate, the largest change by one call */

/* Callers of one route differ in patience by up to this fraction of the usual one. A caller with
 * less time left than that has probably tried before. */
#define PATIENCE_SPREAD 0.2

enum { ROUTES_MAX = 4096 };

struct route_stats {
	struct label route;
	double patience_us; /* estimated quantile of the remaining times; 0: none yet */
	double bytes;
	double remote_refused;		  /* smoothed share of refused remote offers */
	double round_trip_us;		  /* smoothed time of a refused offer */
	struct deadline round_trip_until; /* end of its use */
};

struct traffic {
	struct lock lock;
	GHashTable *routes; /* struct label -> struct route_stats */
};

struct traffic *traffic_new(apr_pool_t *pool)
{
	struct traffic *traffic = g_new0(struct traffic, 1);

	lock_init(&traffic->lock, LOCK_TRAFFIC, pool);
	traffic->routes = g_hash_table_new_full(label_hash, label_hash_equal, NULL, g_free);
	return traffic;
}

void traffic_free(struct traffic *traffic)
{
	if (!traffic)
		return;
	g_hash_table_destroy(traffic->routes);
	lock_destroy(&traffic->lock);
	g_free(traffic);
}

static struct route_stats *stats_get(struct traffic *traffic, const struct label *route)
{
	struct route_stats *stats = g_hash_table_lookup(traffic->routes, route);

	if (stats)
		return stats;
	/* Clearing a full table also drops routes that are no longer configured. */
	if (g_hash_table_size(traffic->routes) >= ROUTES_MAX)
		g_hash_table_remove_all(traffic->routes);
	stats = g_new0(struct route_stats, 1);
	stats->route = *route;
	g_hash_table_insert(traffic->routes, &stats->route, stats);
	return stats;
}

/* Moves the estimate towards the quantile: up and down steps balance there. Unlike the longest time
 * seen, it forgets a caller with an unusually long deadline. */
static void update_patience(struct route_stats *stats, double remaining_us)
{
	double step = PATIENCE_STEP * stats->patience_us;

	if (stats->patience_us == 0)
		stats->patience_us = remaining_us;
	else if (remaining_us > stats->patience_us)
		stats->patience_us =
			MIN(remaining_us, stats->patience_us + step * PATIENCE_QUANTILE);
	else
		stats->patience_us =
			MAX(remaining_us, stats->patience_us - step * (1 - PATIENCE_QUANTILE));
}

int64_t traffic_elapsed_us(struct traffic *traffic, struct label route, int64_t remaining_us)
{
	struct route_stats *stats;
	double patience_us;

	lock_acquire(&traffic->lock);
	stats = stats_get(traffic, &route);
	update_patience(stats, (double)remaining_us);
	patience_us = stats->patience_us;
	lock_release(&traffic->lock);
	if ((double)remaining_us >= (1 - PATIENCE_SPREAD) * patience_us)
		return 0;
	return (int64_t)patience_us - remaining_us;
}

void traffic_record_answer(struct traffic *traffic, struct label route, size_t bytes)
{
	struct route_stats *stats;

	lock_acquire(&traffic->lock);
	stats = stats_get(traffic, &route);
	if (stats->bytes == 0)
		stats->bytes = (double)bytes;
	stats->bytes += BYTES_SMOOTHING * ((double)bytes - stats->bytes);
	lock_release(&traffic->lock);
}

double traffic_answer_bytes(struct traffic *traffic, struct label route)
{
	double bytes;

	lock_acquire(&traffic->lock);
	bytes = stats_get(traffic, &route)->bytes;
	lock_release(&traffic->lock);
	return bytes;
}

void traffic_record_remote(struct traffic *traffic, struct label route, bool accepted)
{
	struct route_stats *stats;

	lock_acquire(&traffic->lock);
	stats = stats_get(traffic, &route);
	stats->remote_refused += REMOTE_SMOOTHING * ((accepted ? 0 : 1) - stats->remote_refused);
	lock_release(&traffic->lock);
}

double traffic_remote_probability(struct traffic *traffic, struct label route)
{
	double refused;

	lock_acquire(&traffic->lock);
	refused = stats_get(traffic, &route)->remote_refused;
	lock_release(&traffic->lock);
	return 1 - refused;
}

void traffic_record_refusal(struct traffic *traffic, struct label route, int64_t round_trip_us,
			    struct instant now)
{
	struct route_stats *stats;

	lock_acquire(&traffic->lock);
	stats = stats_get(traffic, &route);
	stats->round_trip_us += TRIP_SMOOTHING * ((double)round_trip_us - stats->round_trip_us);
	stats->round_trip_until = deadline_after(now, TRIP_VALID_US);
	lock_release(&traffic->lock);
}

int64_t traffic_round_trip_us(struct traffic *traffic, struct label route, struct instant now)
{
	struct route_stats *stats;
	double round_trip_us = 0;

	lock_acquire(&traffic->lock);
	stats = stats_get(traffic, &route);
	if (stats->round_trip_until.at_us && !deadline_passed(stats->round_trip_until, now))
		round_trip_us = stats->round_trip_us;
	lock_release(&traffic->lock);
	return (int64_t)round_trip_us;
}
