#include "core/evidence.h"

#include <math.h>
#include <string.h>

/* Log-likelihood at which a version is condemned: chance reaches it about once in e^12 calls. */
#define THRESHOLD 12.0
/* Without calls of the old version in the same seconds a shared fault can't be told apart. */
#define THRESHOLD_UNPAIRED 24.0
/* What one target alone may add: one broken target is no bad version. */
#define TARGET_PART 0.6
/* The old version's counts fade by this factor a second. */
#define BASE_FADE 0.98
/* Short memory of the old version, for faults that hit both. */
#define RECENT_FADE	 0.7
#define BASE_MIN_CALLS	 20.0
#define RECENT_MIN_CALLS 5.0

/** One hypothesis test. */
enum test_kind {
	TEST_FAIL_SOME, /* fails a few per cent more */
	TEST_FAIL_MANY, /* fails half of its calls or more */
	TEST_SLOW_TAIL, /* too many calls beyond the old version's p90 */
	TEST_SLOW_HALF, /* too many calls beyond the old version's median */
	TEST_COUNT,
};

/** Counts that fade with time. */
struct faded {
	double calls;
	double failures;
	double latency[HIST_BUCKETS];
	double answered;
};

enum { SHARES_MAX = 8 };

/** What each target added to the running sums, so that one alone does not decide. */
struct target_share {
	uint64_t target;
	double sum[TEST_COUNT];
};

struct route_evidence {
	struct label route;
	struct faded base;
	struct faded recent;
	double sum[TEST_COUNT];
	struct target_share shares[SHARES_MAX];
	int share_count;
	GArray *fresh; /* struct evidence_window of the new version, this second */
	bool old_seen; /* the old version had calls this second */
};

struct evidence {
	GPtrArray *routes;
	uint64_t calls;
};

static void route_evidence_free(gpointer data)
{
	struct route_evidence *route = data;

	g_array_unref(route->fresh);
	g_free(route);
}

struct evidence *evidence_new(void)
{
	struct evidence *evidence = g_new0(struct evidence, 1);

	evidence->routes = g_ptr_array_new_with_free_func(route_evidence_free);
	return evidence;
}

void evidence_free(struct evidence *evidence)
{
	if (!evidence)
		return;
	g_ptr_array_unref(evidence->routes);
	g_free(evidence);
}

static struct route_evidence *route_get(struct evidence *evidence, const struct label *name)
{
	struct route_evidence *route;

	for (guint i = 0; i < evidence->routes->len; i++) {
		route = g_ptr_array_index(evidence->routes, i);
		if (label_equal(&route->route, name))
			return route;
	}
	route = g_new0(struct route_evidence, 1);
	route->route = *name;
	route->fresh = g_array_new(FALSE, FALSE, sizeof(struct evidence_window));
	g_ptr_array_add(evidence->routes, route);
	return route;
}

static void faded_add(struct faded *faded, const struct evidence_window *window)
{
	faded->calls += window->calls;
	faded->failures += window->failures + window->crashes;
	for (int i = 0; i < HIST_BUCKETS; i++) {
		faded->latency[i] += window->latency[i];
		faded->answered += window->latency[i];
	}
}

static void faded_fade(struct faded *faded, double factor)
{
	faded->calls *= factor;
	faded->failures *= factor;
	faded->answered *= factor;
	for (int i = 0; i < HIST_BUCKETS; i++)
		faded->latency[i] *= factor;
}

void evidence_add(struct evidence *evidence, enum evidence_side side,
		  const struct evidence_window *window)
{
	struct route_evidence *route = route_get(evidence, &window->route);

	switch (side) {
	case EVIDENCE_OLD:
		route->old_seen |= window->calls > 0;
		faded_add(&route->base, window);
		faded_add(&route->recent, window);
		return;
	case EVIDENCE_NEW:
		evidence->calls += window->calls;
		g_array_append_vals(route->fresh, window, 1);
		return;
	}
	g_assert_not_reached();
}

/* The old version's failure rate: the worse of its long and its short memory. */
static double base_rate(const struct route_evidence *route)
{
	double rate = 0.005;

	if (route->base.calls >= BASE_MIN_CALLS)
		rate = (route->base.failures + 0.5) / (route->base.calls + 1);
	if (route->recent.calls >= RECENT_MIN_CALLS)
		rate = fmax(rate, route->recent.failures / route->recent.calls);
	return rate;
}

/* First bucket above quantile q of the old version; -1 if too little is known. */
static int slow_bucket(const struct faded *faded, double q)
{
	double seen = 0;

	if (faded->answered < BASE_MIN_CALLS)
		return -1;
	for (int i = 0; i < HIST_BUCKETS; i++) {
		seen += faded->latency[i];
		if (seen >= q * faded->answered)
			return i + 1;
	}
	return -1;
}

static double share_above(const struct faded *faded, int bucket)
{
	double above = 0;

	for (int i = bucket; i < HIST_BUCKETS; i++)
		above += faded->latency[i];
	return faded->answered >= RECENT_MIN_CALLS ? above / faded->answered : 0;
}

/* Log-likelihood of hits among n for rate p1 against p0. */
static double llr(double hits, double n, double p0, double p1)
{
	return hits * log(p1 / p0) + (n - hits) * log((1 - p1) / (1 - p0));
}

static double failure_llr(const struct route_evidence *route, const struct evidence_window *window,
			  double least)
{
	double p0 = fmin(0.6, 1.5 * base_rate(route) + 0.01);
	double p1 = fmin(0.95, fmax(least, 2 * p0 + 0.02));
	double failures = window->failures + window->crashes;

	return llr(failures, fmax(window->calls, failures), p0, p1);
}

/* Tests the share of calls beyond a quantile of the old version. */
static double latency_llr(const struct route_evidence *route, const struct evidence_window *window,
			  double q, double p0, double p1)
{
	int bucket = slow_bucket(&route->base, q);
	double above = 0;
	double n = 0;
	double shared;

	if (bucket < 0)
		return 0;
	for (int i = 0; i < HIST_BUCKETS; i++) {
		n += window->latency[i];
		above += i >= bucket ? window->latency[i] : 0;
	}
	/* When the old version is slow right now as well, that much is expected of the new one. */
	shared = share_above(&route->recent, bucket);
	p0 = fmin(0.9, fmax(p0, 1.2 * shared));
	p1 = fmin(0.98, fmax(p1, p0 + 0.08));
	return llr(above, n, p0, p1);
}

static double test_llr(const struct route_evidence *route, const struct evidence_window *window,
		       enum test_kind kind)
{
	switch (kind) {
	case TEST_FAIL_SOME:
		return failure_llr(route, window, 0.04);
	case TEST_FAIL_MANY:
		return failure_llr(route, window, 0.5);
	case TEST_SLOW_TAIL:
		return latency_llr(route, window, 0.9, 0.2, 0.45);
	case TEST_SLOW_HALF:
		return latency_llr(route, window, 0.5, 0.58, 0.78);
	case TEST_COUNT:
		break;
	}
	g_assert_not_reached();
}

static struct target_share *share_get(struct route_evidence *route, uint64_t target)
{
	struct target_share *share;

	for (int i = 0; i < route->share_count; i++)
		if (route->shares[i].target == target)
			return &route->shares[i];
	/* With more targets than places the least share is given up. */
	share = &route->shares[0];
	if (route->share_count < SHARES_MAX)
		share = &route->shares[route->share_count++];
	for (int i = 1; i < route->share_count && route->share_count == SHARES_MAX; i++)
		if (route->shares[i].sum[TEST_FAIL_SOME] < share->sum[TEST_FAIL_SOME])
			share = &route->shares[i];
	*share = (struct target_share){ .target = target };
	return share;
}

static double threshold_of(const struct route_evidence *route)
{
	return route->recent.calls >= RECENT_MIN_CALLS ? THRESHOLD : THRESHOLD_UNPAIRED;
}

static void reset_test(struct route_evidence *route, int kind)
{
	route->sum[kind] = 0;
	for (int i = 0; i < route->share_count; i++)
		route->shares[i].sum[kind] = 0;
}

static void judge_window(struct route_evidence *route, const struct evidence_window *window)
{
	struct target_share *share = share_get(route, window->target);
	double cap = window->targets > 1 ? TARGET_PART * threshold_of(route) : INFINITY;

	for (int kind = 0; kind < TEST_COUNT; kind++) {
		double step = test_llr(route, window, kind);

		if (share->sum[kind] + step > cap)
			step = fmax(0, cap - share->sum[kind]);
		share->sum[kind] = fmax(0, share->sum[kind] + step);
		route->sum[kind] += step;
		if (route->sum[kind] <= 0)
			reset_test(route, kind);
	}
}

static enum evidence_finding finding_of(int kind)
{
	return kind == TEST_FAIL_SOME || kind == TEST_FAIL_MANY ? EVIDENCE_FAILURES
								: EVIDENCE_LATENCY;
}

static enum evidence_finding judge_route(struct route_evidence *route)
{
	enum evidence_finding finding = EVIDENCE_NONE;

	for (guint i = 0; i < route->fresh->len; i++)
		judge_window(route, &g_array_index(route->fresh, struct evidence_window, i));
	for (int kind = TEST_COUNT; kind-- > 0;)
		if (route->sum[kind] >= threshold_of(route))
			finding = finding_of(kind);
	g_array_set_size(route->fresh, 0);
	faded_fade(&route->recent, RECENT_FADE);
	/* The long memory stands still without calls, to compare with after the move. */
	if (route->old_seen)
		faded_fade(&route->base, BASE_FADE);
	route->old_seen = false;
	return finding;
}

enum evidence_finding evidence_close(struct evidence *evidence, struct label *route)
{
	enum evidence_finding worst = EVIDENCE_NONE;

	for (guint i = 0; i < evidence->routes->len; i++) {
		struct route_evidence *one = g_ptr_array_index(evidence->routes, i);
		enum evidence_finding finding = judge_route(one);

		if (finding == EVIDENCE_NONE || worst == EVIDENCE_FAILURES)
			continue;
		worst = finding;
		*route = one->route;
	}
	return worst;
}

uint64_t evidence_calls(const struct evidence *evidence)
{
	return evidence->calls;
}

void evidence_reset_calls(struct evidence *evidence)
{
	evidence->calls = 0;
}

bool evidence_is_doubtful(const struct evidence *evidence)
{
	for (guint i = 0; i < evidence->routes->len; i++) {
		const struct route_evidence *route = g_ptr_array_index(evidence->routes, i);

		for (int kind = 0; kind < TEST_COUNT; kind++)
			if (route->sum[kind] >= THRESHOLD / 2)
				return true;
	}
	return false;
}
