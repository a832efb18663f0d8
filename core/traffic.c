#include "core/traffic.h"

#include <glib.h>

#include "base/lockorder.h"

#define BYTES_WEIGHT 0.1 /* of one more answer, in the smoothed size */
#define FAR_WEIGHT   0.1 /* of one more offer, in the smoothed share */

/* Callers' clocks and the way to the entry make their times differ by some milliseconds. */
#define ELAPSED_MIN_US (30 * US_PER_MS)

enum { ROUTES_MAX = 4096 };

struct seen {
	struct label route;
	int64_t longest_us;
	double bytes;
	double far_refused; /* smoothed share of offers to other data centres */
};

struct traffic {
	struct lock lock;
	GHashTable *routes; /* struct label -> struct seen */
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

static struct seen *seen_get(struct traffic *traffic, const struct label *route)
{
	struct seen *seen = g_hash_table_lookup(traffic->routes, route);

	if (seen)
		return seen;
	/* Routes that the configuration dropped go with the rest, now and then. */
	if (g_hash_table_size(traffic->routes) >= ROUTES_MAX)
		g_hash_table_remove_all(traffic->routes);
	seen = g_new0(struct seen, 1);
	seen->route = *route;
	g_hash_table_insert(traffic->routes, &seen->route, seen);
	return seen;
}

int64_t traffic_elapsed_us(struct traffic *traffic, struct label route, int64_t left_us)
{
	struct seen *seen;
	int64_t elapsed_us;

	lock_acquire(&traffic->lock);
	seen = seen_get(traffic, &route);
	seen->longest_us = MAX(seen->longest_us, left_us);
	elapsed_us = seen->longest_us - left_us;
	lock_release(&traffic->lock);
	return elapsed_us < ELAPSED_MIN_US ? 0 : elapsed_us;
}

void traffic_note_answer(struct traffic *traffic, struct label route, size_t bytes)
{
	struct seen *seen;

	lock_acquire(&traffic->lock);
	seen = seen_get(traffic, &route);
	if (seen->bytes == 0)
		seen->bytes = (double)bytes;
	seen->bytes += BYTES_WEIGHT * ((double)bytes - seen->bytes);
	lock_release(&traffic->lock);
}

double traffic_answer_bytes(struct traffic *traffic, struct label route)
{
	double bytes;

	lock_acquire(&traffic->lock);
	bytes = seen_get(traffic, &route)->bytes;
	lock_release(&traffic->lock);
	return bytes;
}

void traffic_note_far(struct traffic *traffic, struct label route, bool taken)
{
	struct seen *seen;

	lock_acquire(&traffic->lock);
	seen = seen_get(traffic, &route);
	seen->far_refused += FAR_WEIGHT * ((taken ? 0 : 1) - seen->far_refused);
	lock_release(&traffic->lock);
}

double traffic_far_chance(struct traffic *traffic, struct label route)
{
	double refused;

	lock_acquire(&traffic->lock);
	refused = seen_get(traffic, &route)->far_refused;
	lock_release(&traffic->lock);
	return 1 - refused;
}
