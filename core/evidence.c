#include "core/evidence.h"

#include <math.h>
#include <string.h>

/* Log-likelihood at which a version is condemned: chance reaches it about once in e^12 calls. */
#define THRESHOLD 12.0
/* Above it no further step opens: what looks bad is looked at longer while few calls meet it. */
#define DOUBT (THRESHOLD / 4)
/* What one target alone may add: one broken target is no bad version. */
#define TARGET_PART 0.6
/* The old version's counts fade by this factor a second. */
#define BASE_FADE 0.98
/* Above this failure rate of the old version the excess is counted; below, the tests do better. */
#define EXCESS_OLD_RATE 0.05
/* Memory of the excess, a second: some 14 seconds. */
#define EXCESS_FADE 0.93
/* Standard deviations: chance comes to five about once in three million seconds, to three in 700.
 */
#define EXCESS_CONDEMNED    5.0
#define EXCESS_DOUBT	    3.0
#define EXCESS_MIN_FAILURES 10.0 /* fewer are not spread like the normal distribution */
/* Short memory of the old version, for faults that hit both. */
#define RECENT_FADE	 0.5 /* windows of the same second come a second apart at most */
#define BASE_MIN_CALLS	 20.0
#define RECENT_MIN_CALLS 5.0
/* Failures that are expected of any version. */
#define RATE_LEAST 0.005
/* Where the old version fails this often, a fault is common to both and hides what the new one
 * does by itself: an outage fails most calls, single lost answers a few per cent. */
#define RATE_BLIND 0.15
/* A new version that fails less than this part of the old one's rate has no part in the fault. */
#define BLIND_PART 0.5

enum { SHARES_MAX = 8 /* targets that are told apart */ };

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

/** What each target added to the running sums, so that one alone does not decide. */
struct target_share {
	uint64_t target;
	double sum[TEST_COUNT];
};

/** The running tests of one route, or of the version over all its routes. */
struct tests {
	double sum[TEST_COUNT];
	struct target_share shares[SHARES_MAX];
	int share_count;
};

/** The old version over all routes, for routes with few calls of their own. */
struct overall {
	double calls;
	double failures;
	double answered;
	double above[TEST_COUNT]; /* calls slower than the quantile that a latency test uses */
};

/** What one target of the new version added to the excess. */
struct target_excess {
	uint64_t target;
	double failures; /* above what is expected */
	double variance;
};

/**
 * Failures of the new version above what it would have if it failed like the old one in the same
 * second, for times at which both fail (Mantel-Haenszel): a common fault that comes and goes adds
 * nothing, however many calls the new version gets meanwhile.
 */
struct excess {
	double seen; /* failures of the new version */
	struct target_excess targets[SHARES_MAX];
	int target_count;
};

struct route_evidence {
	struct label route;
	struct faded base;
	struct faded recent;
	struct faded second; /* of this second only */
	struct tests tests;
	struct tests unpaired;
	struct excess excess;
	double new_calls; /* of the new version, as short a memory as that of the old one */
	double new_failures;
	GArray *fresh; /* struct evidence_window of the new version, this second */
};

struct evidence {
	GPtrArray *routes;
	struct tests whole; /* each route against its own past, added up: many small signs count */
	struct tests unpaired; /* the same while the old version has no calls */
	struct overall recent;
	struct overall second;
	struct overall paired; /* since the old version last began to get calls */
	bool blind; /* both versions fail: what the new one does by itself does not show */
	bool old_in_use;
	uint64_t calls;
	uint64_t old_calls;
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

static double quantile_of(enum test_kind kind)
{
	return kind == TEST_SLOW_TAIL ? 0.9 : 0.5;
}

static void overall_add(struct overall *overall, const struct route_evidence *route,
			const struct evidence_window *window)
{
	overall->calls += window->calls;
	overall->failures += window->failures + window->crashes;
	for (int i = 0; i < HIST_BUCKETS; i++)
		overall->answered += window->latency[i];
	for (int kind = TEST_SLOW_TAIL; kind <= TEST_SLOW_HALF; kind++) {
		int bucket = slow_bucket(&route->base, quantile_of(kind));

		for (int i = bucket; bucket >= 0 && i < HIST_BUCKETS; i++)
			overall->above[kind] += window->latency[i];
	}
}

static void overall_fade(struct overall *overall, double factor)
{
	overall->calls *= factor;
	overall->failures *= factor;
	overall->answered *= factor;
	for (int kind = 0; kind < TEST_COUNT; kind++)
		overall->above[kind] *= factor;
}

void evidence_add(struct evidence *evidence, enum evidence_side side,
		  const struct evidence_window *window)
{
	struct route_evidence *route = route_get(evidence, &window->route);

	switch (side) {
	case EVIDENCE_OLD:
		evidence->old_calls += window->calls;
		overall_add(&evidence->recent, route, window);
		overall_add(&evidence->second, route, window);
		overall_add(&evidence->paired, route, window);
		faded_add(&route->base, window);
		faded_add(&route->recent, window);
		faded_add(&route->second, window);
		return;
	case EVIDENCE_NEW:
		evidence->calls += window->calls;
		route->new_calls += window->calls;
		route->new_failures += window->failures + window->crashes;
		g_array_append_vals(route->fresh, window, 1);
		return;
	}
	g_assert_not_reached();
}

/* What of a count is more than chance: a single failure among few calls shows no shared fault. */
static double surely(double count)
{
	return fmax(0, count - 0.5 * sqrt(count) - 0.5);
}

/* An upper bound of a rate: a version that has only begun to get calls has the benefit of doubt. */
static double at_most(double count, double n)
{
	return n > 0 ? fmin(1, (count + 1.5 * sqrt(count + 1)) / n) : 1;
}

/* What an older count says, unless newer calls show that it has become less since. */
static double still(double older, double newer, double newer_n)
{
	return fmin(older, at_most(newer, newer_n));
}

static double sure_rate(double failures, double calls)
{
	return calls >= RECENT_MIN_CALLS ? surely(failures) / calls : 0;
}

/* The old version's failure rate: the worst of its long memory, its short one and this second,
 * so that a fault that has just begun for both is expected of the new one as well. */
static double base_rate(const struct evidence *evidence, const struct route_evidence *route)
{
	const struct overall *recent = &evidence->recent;
	double rate = at_most(route->base.failures, route->base.calls);
	double paired = at_most(evidence->paired.failures, evidence->paired.calls);

	if (route->base.calls >= BASE_MIN_CALLS)
		rate = (route->base.failures + 0.5) / (route->base.calls + 1);
	rate = still(rate, route->recent.failures, route->recent.calls);
	rate = fmax(rate, RATE_LEAST);
	rate = fmax(rate, sure_rate(route->recent.failures, route->recent.calls));
	rate = fmax(rate, sure_rate(route->second.failures, route->second.calls));
	rate = fmax(rate, sure_rate(recent->failures, recent->calls));
	rate = fmax(rate, still(paired, recent->failures, recent->calls));
	return fmax(rate, sure_rate(evidence->second.failures, evidence->second.calls));
}

static double share_above(const struct faded *faded, int bucket)
{
	double above = 0;

	for (int i = bucket; i < HIST_BUCKETS; i++)
		above += faded->latency[i];
	return faded->answered >= RECENT_MIN_CALLS ? above / faded->answered : 0;
}

static double overall_above(const struct overall *overall, enum test_kind kind)
{
	return overall->answered >= RECENT_MIN_CALLS ? overall->above[kind] / overall->answered : 0;
}

/* How much of the old version's calls is slow right now: that is expected of the new one too. */
static double shared_slowness(const struct evidence *evidence, const struct route_evidence *route,
			      int bucket, enum test_kind kind)
{
	const struct overall *recent = &evidence->recent;
	double paired = at_most(evidence->paired.above[kind], evidence->paired.answered);
	double share =
		fmax(share_above(&route->recent, bucket), share_above(&route->second, bucket));

	share = fmax(share, overall_above(recent, kind));
	share = fmax(share, still(paired, recent->above[kind], recent->answered));
	return fmax(share, overall_above(&evidence->second, kind));
}

/* Log-likelihood of hits among n for rate p1 against p0. */
static double llr(double hits, double n, double p0, double p1)
{
	return hits * log(p1 / p0) + (n - hits) * log((1 - p1) / (1 - p0));
}

static double failure_llr(const struct evidence *evidence, const struct route_evidence *route,
			  const struct evidence_window *window, double least)
{
	double p0 = fmin(0.7, 1.3 * base_rate(evidence, route) + 0.006);
	double p1 = fmin(0.95, fmax(least, 2 * p0 + 0.02));
	double failures = window->failures + window->crashes;

	return llr(failures, fmax(window->calls, failures), p0, p1);
}

/* Tests the share of calls beyond a quantile of the old version. */
static double latency_llr(const struct evidence *evidence, const struct route_evidence *route,
			  const struct evidence_window *window, enum test_kind kind, double p0,
			  double p1)
{
	int bucket = slow_bucket(&route->base, quantile_of(kind));
	double above = 0;
	double n = 0;

	if (bucket < 0)
		return 0;
	for (int i = 0; i < HIST_BUCKETS; i++) {
		n += window->latency[i];
		above += i >= bucket ? window->latency[i] : 0;
	}
	p0 = fmin(0.9, fmax(p0, 1.2 * shared_slowness(evidence, route, bucket, kind)));
	p1 = fmin(0.98, fmax(p1, p0 + 0.08));
	return llr(above, n, p0, p1);
}

static double test_llr(const struct evidence *evidence, const struct route_evidence *route,
		       const struct evidence_window *window, enum test_kind kind)
{
	switch (kind) {
	case TEST_FAIL_SOME:
		return failure_llr(evidence, route, window, 0.04);
	case TEST_FAIL_MANY:
		return failure_llr(evidence, route, window, 0.5);
	case TEST_SLOW_TAIL:
		return latency_llr(evidence, route, window, kind, 0.2, 0.45);
	case TEST_SLOW_HALF:
		return latency_llr(evidence, route, window, kind, 0.58, 0.78);
	case TEST_COUNT:
		break;
	}
	g_assert_not_reached();
}

static struct target_share *share_get(struct tests *tests, uint64_t target)
{
	struct target_share *share;

	for (int i = 0; i < tests->share_count; i++)
		if (tests->shares[i].target == target)
			return &tests->shares[i];
	/* With more targets than places the least share is given up. */
	share = &tests->shares[0];
	if (tests->share_count < SHARES_MAX)
		share = &tests->shares[tests->share_count++];
	for (int i = 1; i < tests->share_count && tests->share_count == SHARES_MAX; i++)
		if (tests->shares[i].sum[TEST_FAIL_SOME] < share->sum[TEST_FAIL_SOME])
			share = &tests->shares[i];
	*share = (struct target_share){ .target = target };
	return share;
}

static void reset_test(struct tests *tests, int kind)
{
	tests->sum[kind] = 0;
	for (int i = 0; i < tests->share_count; i++)
		tests->shares[i].sum[kind] = 0;
}

/* Adds one step to a running sum, as far as one target may bring it. */
static void add_step(struct tests *tests, struct target_share *share, int kind, double step,
		     double cap)
{
	if (share->sum[kind] + step > cap)
		step = fmax(0, cap - share->sum[kind]);
	share->sum[kind] = fmax(0, share->sum[kind] + step);
	tests->sum[kind] += step;
	if (tests->sum[kind] <= 0)
		reset_test(tests, kind);
}

/* Whether the old version has calls to compare with right now. */
static bool is_paired(const struct evidence *evidence)
{
	return evidence->old_in_use && evidence->paired.calls > 0;
}

static void judge_window(struct evidence *evidence, struct route_evidence *route,
			 const struct evidence_window *window)
{
	bool paired = is_paired(evidence);
	struct tests *of_route = paired ? &route->tests : &route->unpaired;
	struct tests *of_all = paired ? &evidence->whole : &evidence->unpaired;
	struct target_share *own = share_get(of_route, window->target);
	struct target_share *whole = share_get(of_all, window->target);
	double cap = window->targets > 1 ? TARGET_PART * THRESHOLD : INFINITY;

	for (int kind = 0; kind < TEST_COUNT; kind++) {
		double step = test_llr(evidence, route, window, kind);

		add_step(of_route, own, kind, step, cap);
		add_step(of_all, whole, kind, step, cap);
	}
}

static enum evidence_finding finding_of(int kind)
{
	return kind == TEST_FAIL_SOME || kind == TEST_FAIL_MANY ? EVIDENCE_FAILURES
								: EVIDENCE_LATENCY;
}

static enum evidence_finding find(const struct tests *tests)
{
	enum evidence_finding finding = EVIDENCE_NONE;

	for (int kind = TEST_COUNT; kind-- > 0;)
		if (tests->sum[kind] >= THRESHOLD)
			finding = finding_of(kind);
	return finding;
}

static struct target_excess *excess_get(struct excess *excess, uint64_t target)
{
	for (int i = 0; i < excess->target_count; i++)
		if (excess->targets[i].target == target)
			return &excess->targets[i];
	/* With more targets than places the last ones share one: they are no few canaries. */
	if (excess->target_count == SHARES_MAX)
		return &excess->targets[SHARES_MAX - 1];
	excess->targets[excess->target_count].target = target;
	return &excess->targets[excess->target_count++];
}

static void excess_add(struct route_evidence *route, const struct evidence_window *window)
{
	const struct faded *old = &route->recent;
	double failures = window->failures + window->crashes;
	double calls = fmax(window->calls, failures);
	struct target_excess *own;
	double rate;

	if (old->calls < RECENT_MIN_CALLS || old->failures < EXCESS_OLD_RATE * old->calls)
		return;
	rate = (old->failures + failures) / (old->calls + calls);
	own = excess_get(&route->excess, window->target);
	route->excess.seen += failures;
	own->failures += failures - rate * calls;
	own->variance += rate * (1 - rate) * calls * old->calls / (old->calls + calls);
}

/* How many standard deviations the excess has, without that of one target; -1: with all. */
static double excess_score(const struct excess *excess, int without)
{
	double failures = 0;
	double variance = 0;

	for (int i = 0; i < excess->target_count; i++) {
		if (i == without)
			continue;
		failures += excess->targets[i].failures;
		variance += excess->targets[i].variance;
	}
	return variance > 0 ? failures / sqrt(variance) : 0;
}

/* Whether the excess shows a bad version: one broken target alone does not. */
static bool excess_condemns(const struct excess *excess)
{
	int worst = 0;

	if (excess->seen < EXCESS_MIN_FAILURES || excess_score(excess, -1) < EXCESS_CONDEMNED)
		return false;
	for (int i = 1; i < excess->target_count; i++)
		if (excess->targets[i].failures > excess->targets[worst].failures)
			worst = i;
	return excess_score(excess, worst) >= EXCESS_DOUBT;
}

static void excess_fade(struct excess *excess)
{
	excess->seen *= EXCESS_FADE;
	for (int i = 0; i < excess->target_count; i++) {
		excess->targets[i].failures *= EXCESS_FADE;
		excess->targets[i].variance *= EXCESS_FADE;
	}
}

static void judge_route(struct evidence *evidence, struct route_evidence *route)
{
	for (guint i = 0; i < route->fresh->len; i++) {
		const struct evidence_window *window =
			&g_array_index(route->fresh, struct evidence_window, i);

		judge_window(evidence, route, window);
		excess_add(route, window);
	}
	g_array_set_size(route->fresh, 0);
}

static void fade_route(struct route_evidence *route)
{
	faded_fade(&route->recent, RECENT_FADE);
	route->new_calls *= RECENT_FADE;
	route->new_failures *= RECENT_FADE;
	excess_fade(&route->excess);
	/* The long memory stands still without calls, to compare with after the move. */
	if (route->second.calls > 0)
		faded_fade(&route->base, BASE_FADE);
	route->second = (struct faded){ 0 };
}

/* The worst finding with calls to compare, over all routes and each. */
static enum evidence_finding find_paired(const struct evidence *evidence, struct label *route)
{
	enum evidence_finding worst = find(&evidence->whole);

	*route = (struct label){ 0 };
	for (guint i = 0; i < evidence->routes->len; i++) {
		const struct route_evidence *one = g_ptr_array_index(evidence->routes, i);
		enum evidence_finding finding =
			excess_condemns(&one->excess) ? EVIDENCE_FAILURES : find(&one->tests);

		if (finding == EVIDENCE_NONE || worst == EVIDENCE_FAILURES)
			continue;
		worst = finding;
		*route = one->route;
	}
	return worst;
}

/* Whether something shows without calls to compare; it starts afresh then. */
static bool take_unpaired(struct evidence *evidence)
{
	bool found = find(&evidence->unpaired) != EVIDENCE_NONE;

	for (guint i = 0; i < evidence->routes->len; i++) {
		struct route_evidence *one = g_ptr_array_index(evidence->routes, i);

		found |= find(&one->unpaired) != EVIDENCE_NONE;
		if (is_paired(evidence))
			one->unpaired = (struct tests){ 0 };
	}
	if (is_paired(evidence))
		evidence->unpaired = (struct tests){ 0 };
	return found;
}

/* Whether a fault that both versions share hides what the new one does on a route by itself. */
static bool is_route_blind(const struct route_evidence *route, bool was_blind)
{
	double rate = sure_rate(route->recent.failures, route->recent.calls);

	if (rate < RATE_BLIND)
		return false;
	if (route->new_calls < RECENT_MIN_CALLS)
		return was_blind;
	return route->new_failures >= BLIND_PART * rate * route->new_calls;
}

/* One route is enough: a version may be bad on it alone. Without calls it stays as it was. */
static void judge_blindness(struct evidence *evidence)
{
	bool was_blind = evidence->blind;

	if (evidence->recent.calls < RECENT_MIN_CALLS)
		return;
	evidence->blind = false;
	for (guint i = 0; i < evidence->routes->len && !evidence->blind; i++)
		evidence->blind = is_route_blind(g_ptr_array_index(evidence->routes, i), was_blind);
}

enum evidence_finding evidence_close(struct evidence *evidence, bool old_in_use,
				     struct label *route)
{
	enum evidence_finding finding;

	if (old_in_use && !evidence->old_in_use)
		evidence->paired = evidence->second;
	evidence->old_in_use = old_in_use;

	for (guint i = 0; i < evidence->routes->len; i++)
		judge_route(evidence, g_ptr_array_index(evidence->routes, i));
	finding = find_paired(evidence, route);
	if (finding == EVIDENCE_NONE && take_unpaired(evidence))
		finding = EVIDENCE_UNPAIRED;
	judge_blindness(evidence);
	for (guint i = 0; i < evidence->routes->len; i++)
		fade_route(g_ptr_array_index(evidence->routes, i));
	overall_fade(&evidence->recent, RECENT_FADE);
	evidence->second = (struct overall){ 0 };
	return finding;
}

uint64_t evidence_calls(const struct evidence *evidence)
{
	return evidence->calls;
}

uint64_t evidence_old_calls(const struct evidence *evidence)
{
	return evidence->old_calls;
}

void evidence_reset_calls(struct evidence *evidence)
{
	evidence->calls = 0;
	evidence->old_calls = 0;
}

static bool is_doubtful(const struct tests *tests)
{
	for (int kind = 0; kind < TEST_COUNT; kind++)
		if (tests->sum[kind] >= DOUBT)
			return true;
	return false;
}

bool evidence_is_doubtful(const struct evidence *evidence)
{
	if (evidence->blind)
		return true;
	for (guint i = 0; i < evidence->routes->len; i++) {
		const struct route_evidence *route = g_ptr_array_index(evidence->routes, i);

		if (is_doubtful(&route->tests) || excess_score(&route->excess, -1) >= EXCESS_DOUBT)
			return true;
	}
	return is_doubtful(&evidence->whole);
}
