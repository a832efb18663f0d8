#include "core/line.h"

#include <glib.h>

#include "base/lockorder.h"

#define SPAN_US (100 * US_PER_MS)
/* Of what the rate allows: heads of packets and other traffic take a part. */
#define FULL_FRACTION 0.75

enum {
	SPANS = 8,
	SPANS_JUDGED = 5, /* those before the current one */
};

struct line {
	struct lock lock; /* LOCK_LINE */
	double bytes_per_s;
	int64_t current; /* number of the newest span */
	uint64_t bytes[SPANS];
};

struct line *line_new(double mbps, apr_pool_t *pool)
{
	struct line *line = g_new0(struct line, 1);

	lock_init(&line->lock, LOCK_LINE, pool);
	line->bytes_per_s = mbps * 1e6 / 8;
	return line;
}

void line_free(struct line *line)
{
	if (!line)
		return;
	lock_destroy(&line->lock);
	g_free(line);
}

/* Clears the spans that have begun since the last call. LOCK_LINE is held. */
static void advance(struct line *line, struct instant now)
{
	int64_t current = now.mono_us / SPAN_US;
	int64_t first = MAX(line->current + 1, current - SPANS + 1);

	for (int64_t span = first; span <= current; span++)
		line->bytes[span % SPANS] = 0;
	line->current = MAX(line->current, current);
}

void line_count(struct line *line, size_t bytes, struct instant now)
{
	lock_acquire(&line->lock);
	advance(line, now);
	line->bytes[line->current % SPANS] += bytes;
	lock_release(&line->lock);
}

bool line_is_full(struct line *line, struct instant now)
{
	double room = line->bytes_per_s * SPANS_JUDGED * SPAN_US / US_PER_S;
	uint64_t received = 0;

	lock_acquire(&line->lock);
	advance(line, now);
	for (int i = 1; i <= SPANS_JUDGED; i++)
		received += line->bytes[(line->current - i + SPANS) % SPANS];
	lock_release(&line->lock);
	return room > 0 && (double)received >= FULL_FRACTION * room;
}
