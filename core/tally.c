#include "core/tally.h"

#include "base/lockorder.h"

struct tally {
	struct lock lock;
	GArray *windows; /* struct evidence_window */
};

struct tally *tally_new(apr_pool_t *pool)
{
	struct tally *tally = g_new0(struct tally, 1);

	lock_init(&tally->lock, LOCK_ADMIT, pool);
	tally->windows = g_array_new(FALSE, TRUE, sizeof(struct evidence_window));
	return tally;
}

void tally_free(struct tally *tally)
{
	if (!tally)
		return;
	g_array_unref(tally->windows);
	lock_destroy(&tally->lock);
	g_free(tally);
}

static struct evidence_window *window_get(struct tally *tally, struct label route)
{
	struct evidence_window *window;

	for (guint i = 0; i < tally->windows->len; i++) {
		window = &g_array_index(tally->windows, struct evidence_window, i);
		if (label_equal(&window->route, &route))
			return window;
	}
	g_array_set_size(tally->windows, tally->windows->len + 1);
	window = &g_array_index(tally->windows, struct evidence_window, tally->windows->len - 1);
	window->route = route;
	return window;
}

static void count_answer(struct evidence_window *window, int64_t service_us, bool cold)
{
	window->calls++;
	if (!cold)
		window->latency[hist_bucket(service_us)]++;
}

void tally_add(struct tally *tally, struct label route, enum target_outcome outcome,
	       int64_t service_us, bool cold)
{
	struct evidence_window *window;

	lock_acquire(&tally->lock);
	window = window_get(tally, route);
	switch (outcome) {
	case TARGET_ANSWERED:
		count_answer(window, service_us, cold);
		break;
	case TARGET_FAILED:
		window->calls++;
		window->failures++;
		break;
	case TARGET_CRASHED:
		/* tally_crash() counts the crash once: the calls in flight are no failures. */
		window->calls++;
		break;
	case TARGET_SHED:
	case TARGET_UNREACHED:
		break;
	}
	lock_release(&tally->lock);
}

void tally_crash(struct tally *tally, struct label route)
{
	lock_acquire(&tally->lock);
	window_get(tally, route)->crashes++;
	lock_release(&tally->lock);
}

GArray *tally_collect(struct tally *tally, uint64_t target, uint32_t targets)
{
	GArray *windows;

	lock_acquire(&tally->lock);
	windows = tally->windows;
	tally->windows = g_array_new(FALSE, TRUE, sizeof(struct evidence_window));
	lock_release(&tally->lock);
	for (guint i = 0; i < windows->len; i++) {
		struct evidence_window *window = &g_array_index(windows, struct evidence_window, i);

		window->target = target;
		window->targets = targets;
	}
	return windows;
}
