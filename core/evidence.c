#include "core/evidence.h"

#include <math.h>
#include <string.h>

/* Log-likelihood ratio that rejects a version: by chance about once in e^12 calls. */
#define REJECT_LLR 12.0
/* From this ratio on no step opens, so that few calls reach a bad version while it is tested. */
#define INCONCLUSIVE_LLR (REJECT_LLR / 4)
/* Fraction of REJECT_LLR that one target may add, so that a single broken target does not reject
 * its version. */
#define TARGET_LLR_FRACTION 0.6
/* Decay of the long-term counts of the old version, per second. */
#define BASE_DECAY 0.98
/* Failure rate of the old version from which the excess is used; below it the log-likelihood ratios
 * are the better test. */
#define EXCESS_MIN_OLD_RATE 0.05
/* Decay of the excess per second: a time constant of about 14 seconds. */
#define EXCESS_DECAY 0.93
/* Standard deviations: 5 occur by chance about once in three million seconds, 3 once in 700. */
#define EXCESS_REJECT_SIGMAS	   5.0
#define EXCESS_INCONCLUSIVE_SIGMAS 3.0
#define EXCESS_MIN_FAILURES	   10.0 /* fewer failures do not follow a normal distribution */
/* Decay of the short-term counts, which show faults that affect both versions. */
#define RECENT_DECAY	 0.5 /* windows of the same second arrive at most one second apart */
#define BASE_MIN_CALLS	 20.0
#define RECENT_MIN_CALLS 5.0
/* Lowest failure rate that is expected of a version. */
#define MIN_FAILURE_RATE 0.005
/* Failure rate of the old version that indicates a fault of both and masks failures of the new one:
 * an outage fails most calls, single lost answers a few per cent. */
#define MASKING_MIN_RATE 0.15
/* A new version below this fraction of the old failure rate is not affected by the fault. */
#define MASKED_MIN_FRACTION 0.5

enum { TARGETS_MAX = 8 /* targets that are counted separately */ };

/** A hypothesis about the new version. */
enum test_kind {
	TEST_FAIL_SOME, /* fails a few per cent more */
	TEST_FAIL_MANY, /* fails at least half of its calls */
	TEST_SLOW_TAIL, /* too many calls are slower than the old 90th percentile */
	TEST_SLOW_HALF, /* too many calls are slower than the old median */
	TEST_COUNT,
};

/** Counts with exponential decay. */
struct decayed_counts {
	double calls;
	double failures;
	double latency[HIST_BUCKETS];
	double answered;
};

/** The contribution of one target to the running sums, which is limited. */
struct target_sums {
	uint64_t target;
	double sum[TEST_COUNT];
};

/** The running tests of one route, or of all routes together. */
struct tests {
	double sum[TEST_COUNT];
	struct target_sums by_target[TARGETS_MAX];
	int by_target_count;
};

/** Counts of the old version over all routes, for routes with few calls. */
struct overall_counts {
	double calls;
	double failures;
	double answered;
	double above[TEST_COUNT]; /* calls slower than the quantile of the latency test */
};

/** The contribution of one target of the new version to the excess. */
struct target_excess {
	uint64_t target;
	double failures; /* above the expected number */
	double variance;
};

/**
 * Failures of the new version above those expected at the failure rate of the old one in the same
 * second (Mantel-Haenszel), for times at which both fail. An intermittent fault of both adds
 * nothing, however many calls the new version gets meanwhile.
 */
struct excess {
	double failures; /* failures of the new version */
	struct target_excess targets[TARGETS_MAX];
	int target_count;
};

struct route_evidence {
	struct label route;
	struct decayed_counts base;
	struct decayed_counts recent;
	struct decayed_counts second; /* the current second only */
	struct tests tests;
	struct tests unpaired;
	struct excess excess;
	double new_calls; /* calls of the new version, with the decay of .recent */
	double new_failures;
	GArray *new_windows; /* struct evidence_window of the new version, current second */
};

struct evidence {
	GPtrArray *routes;
	struct tests all_routes; /* sum over all routes: small signs on many of them add up */
	struct tests unpaired;	 /* the same while the old version has no calls */
	struct overall_counts recent;
	struct overall_counts second;
	struct overall_counts paired; /* since the old version last began to get calls */
	bool masked;		      /* a fault of both versions masks failures of the new one */
	bool old_in_use;
	uint64_t calls;
	uint64_t old_calls;
};

static void route_evidence_free(gpointer data)
{
	struct route_evidence *route = data;

	g_array_unref(route->new_windows);
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
	route->new_windows = g_array_new(FALSE, FALSE, sizeof(struct evidence_window));
	g_ptr_array_add(evidence->routes, route);
	return route;
}

static void counts_add(struct decayed_counts *counts, const struct evidence_window *window)
{
	counts->calls += window->calls;
	counts->failures += window->failures + window->crashes;
	for (int i = 0; i < HIST_BUCKETS; i++) {
		counts->latency[i] += window->latency[i];
		counts->answered += window->latency[i];
	}
}

static void counts_decay(struct decayed_counts *counts, double factor)
{
	counts->calls *= factor;
	counts->failures *= factor;
	counts->answered *= factor;
	for (int i = 0; i < HIST_BUCKETS; i++)
		counts->latency[i] *= factor;
}

/* Returns the first bucket above quantile q of the old version, -1 with too few calls. */
static int slow_bucket(const struct decayed_counts *counts, double q)
{
	double seen = 0;

	if (counts->answered < BASE_MIN_CALLS)
		return -1;
	for (int i = 0; i < HIST_BUCKETS; i++) {
		seen += counts->latency[i];
		if (seen >= q * counts->answered)
			return i + 1;
	}
	return -1;
}

static double quantile_of(enum test_kind kind)
{
	return kind == TEST_SLOW_TAIL ? 0.9 : 0.5;
}

static void overall_add(struct overall_counts *overall, const struct route_evidence *route,
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

static void overall_decay(struct overall_counts *overall, double factor)
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
		counts_add(&route->base, window);
		counts_add(&route->recent, window);
		counts_add(&route->second, window);
		return;
	case EVIDENCE_NEW:
		evidence->calls += window->calls;
		route->new_calls += window->calls;
		route->new_failures += window->failures + window->crashes;
		g_array_append_vals(route->new_windows, window, 1);
		return;
	}
	g_assert_not_reached();
}

/* Lower bound of a count: one failure among few calls is no sign of a fault of both versions. */
static double lower_bound(double count)
{
	return fmax(0, count - 0.5 * sqrt(count) - 0.5);
}

/* Upper bound of a rate. It is high for few calls, so that they cause no rejection. */
static double upper_bound(double count, double n)
{
	return n > 0 ? fmin(1, (count + 1.5 * sqrt(count + 1)) / n) : 1;
}

/* Limits an older rate to the upper bound of a newer one, in case the rate has dropped since. */
static double limit_to_recent(double older, double newer, double newer_n)
{
	return fmin(older, upper_bound(newer, newer_n));
}

static double rate_lower_bound(double failures, double calls)
{
	return calls >= RECENT_MIN_CALLS ? lower_bound(failures) / calls : 0;
}

/* Returns the failure rate that is expected of the new version: the highest of the long-term,
 * short-term and current rates of the old one, so that a new fault of both is expected as well. */
static double expected_failure_rate(const struct evidence *evidence,
				    const struct route_evidence *route)
{
	const struct overall_counts *recent = &evidence->recent;
	double rate = upper_bound(route->base.failures, route->base.calls);
	double paired = upper_bound(evidence->paired.failures, evidence->paired.calls);

	if (route->base.calls >= BASE_MIN_CALLS)
		rate = (route->base.failures + 0.5) / (route->base.calls + 1);
	rate = limit_to_recent(rate, route->recent.failures, route->recent.calls);
	rate = fmax(rate, MIN_FAILURE_RATE);
	rate = fmax(rate, rate_lower_bound(route->recent.failures, route->recent.calls));
	rate = fmax(rate, rate_lower_bound(route->second.failures, route->second.calls));
	rate = fmax(rate, rate_lower_bound(recent->failures, recent->calls));
	rate = fmax(rate, limit_to_recent(paired, recent->failures, recent->calls));
	return fmax(rate, rate_lower_bound(evidence->second.failures, evidence->second.calls));
}

static double fraction_above(const struct decayed_counts *counts, int bucket)
{
	double above = 0;

	for (int i = bucket; i < HIST_BUCKETS; i++)
		above += counts->latency[i];
	return counts->answered >= RECENT_MIN_CALLS ? above / counts->answered : 0;
}

static double overall_fraction_above(const struct overall_counts *overall, enum test_kind kind)
{
	return overall->answered >= RECENT_MIN_CALLS ? overall->above[kind] / overall->answered : 0;
}

/* Returns the fraction of slow calls of the old version now, which the new one may have too. */
static double old_slow_fraction(const struct evidence *evidence, const struct route_evidence *route,
				int bucket, enum test_kind kind)
{
	const struct overall_counts *recent = &evidence->recent;
	double paired = upper_bound(evidence->paired.above[kind], evidence->paired.answered);
	double fraction = fmax(fraction_above(&route->recent, bucket),
			       fraction_above(&route->second, bucket));

	fraction = fmax(fraction, overall_fraction_above(recent, kind));
	fraction = fmax(fraction, limit_to_recent(paired, recent->above[kind], recent->answered));
	return fmax(fraction, overall_fraction_above(&evidence->second, kind));
}

/* Log-likelihood ratio of rate p1 against p0 for a number of hits in n calls. */
static double llr(double hits, double n, double p0, double p1)
{
	return hits * log(p1 / p0) + (n - hits) * log((1 - p1) / (1 - p0));
}

static double failure_llr(const struct evidence *evidence, const struct route_evidence *route,
			  const struct evidence_window *window, double min_rate)
{
	double p0 = fmin(0.7, 1.3 * expected_failure_rate(evidence, route) + 0.006);
	double p1 = fmin(0.95, fmax(min_rate, 2 * p0 + 0.02));
	double failures = window->failures + window->crashes;

	return llr(failures, fmax(window->calls, failures), p0, p1);
}

/* Tests the fraction of calls slower than a quantile of the old version. */
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
	p0 = fmin(0.9, fmax(p0, 1.2 * old_slow_fraction(evidence, route, bucket, kind)));
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

static struct target_sums *target_sums_get(struct tests *tests, uint64_t target)
{
	struct target_sums *sums;

	for (int i = 0; i < tests->by_target_count; i++)
		if (tests->by_target[i].target == target)
			return &tests->by_target[i];
	/* If all entries are in use, the one with the smallest sum is replaced. */
	sums = &tests->by_target[0];
	if (tests->by_target_count < TARGETS_MAX)
		sums = &tests->by_target[tests->by_target_count++];
	for (int i = 1; i < tests->by_target_count && tests->by_target_count == TARGETS_MAX; i++)
		if (tests->by_target[i].sum[TEST_FAIL_SOME] < sums->sum[TEST_FAIL_SOME])
			sums = &tests->by_target[i];
	*sums = (struct target_sums){ .target = target };
	return sums;
}

static void reset_test(struct tests *tests, int kind)
{
	tests->sum[kind] = 0;
	for (int i = 0; i < tests->by_target_count; i++)
		tests->by_target[i].sum[kind] = 0;
}

/* Adds a step to a running sum, up to the limit for one target. */
static void add_step(struct tests *tests, struct target_sums *sums, int kind, double step,
		     double cap)
{
	if (sums->sum[kind] + step > cap)
		step = fmax(0, cap - sums->sum[kind]);
	sums->sum[kind] = fmax(0, sums->sum[kind] + step);
	tests->sum[kind] += step;
	if (tests->sum[kind] <= 0)
		reset_test(tests, kind);
}

/* Returns whether the old version has calls to compare with now. */
static bool is_paired(const struct evidence *evidence)
{
	return evidence->old_in_use && evidence->paired.calls > 0;
}

static void update_tests(struct evidence *evidence, struct route_evidence *route,
			 const struct evidence_window *window)
{
	bool paired = is_paired(evidence);
	struct tests *route_tests = paired ? &route->tests : &route->unpaired;
	struct tests *all_tests = paired ? &evidence->all_routes : &evidence->unpaired;
	struct target_sums *route_sums = target_sums_get(route_tests, window->target);
	struct target_sums *all_sums = target_sums_get(all_tests, window->target);
	double cap = window->targets > 1 ? TARGET_LLR_FRACTION * REJECT_LLR : INFINITY;

	for (int kind = 0; kind < TEST_COUNT; kind++) {
		double step = test_llr(evidence, route, window, kind);

		add_step(route_tests, route_sums, kind, step, cap);
		add_step(all_tests, all_sums, kind, step, cap);
	}
}

static enum evidence_finding finding_of(int kind)
{
	return kind == TEST_FAIL_SOME || kind == TEST_FAIL_MANY ? EVIDENCE_FAILURES
								: EVIDENCE_LATENCY;
}

static enum evidence_finding tests_finding(const struct tests *tests)
{
	enum evidence_finding finding = EVIDENCE_NONE;

	for (int kind = TEST_COUNT; kind-- > 0;)
		if (tests->sum[kind] >= REJECT_LLR)
			finding = finding_of(kind);
	return finding;
}

static struct target_excess *target_excess_get(struct excess *excess, uint64_t target)
{
	for (int i = 0; i < excess->target_count; i++)
		if (excess->targets[i].target == target)
			return &excess->targets[i];
	/* Further targets share the last entry: with so many a single one matters less. */
	if (excess->target_count == TARGETS_MAX)
		return &excess->targets[TARGETS_MAX - 1];
	excess->targets[excess->target_count].target = target;
	return &excess->targets[excess->target_count++];
}

static void excess_add(struct route_evidence *route, const struct evidence_window *window)
{
	const struct decayed_counts *old = &route->recent;
	double failures = window->failures + window->crashes;
	double calls = fmax(window->calls, failures);
	struct target_excess *target;
	double rate;

	if (old->calls < RECENT_MIN_CALLS || old->failures < EXCESS_MIN_OLD_RATE * old->calls)
		return;
	rate = (old->failures + failures) / (old->calls + calls);
	target = target_excess_get(&route->excess, window->target);
	route->excess.failures += failures;
	target->failures += failures - rate * calls;
	target->variance += rate * (1 - rate) * calls * old->calls / (old->calls + calls);
}

/* Returns the excess in standard deviations, without the excluded target; -1 excludes none. */
static double excess_sigmas(const struct excess *excess, int excluded)
{
	double failures = 0;
	double variance = 0;

	for (int i = 0; i < excess->target_count; i++) {
		if (i == excluded)
			continue;
		failures += excess->targets[i].failures;
		variance += excess->targets[i].variance;
	}
	return variance > 0 ? failures / sqrt(variance) : 0;
}

/* Returns whether the excess rejects the version, which a single broken target does not. */
static bool excess_rejects(const struct excess *excess)
{
	int worst = 0;

	if (excess->failures < EXCESS_MIN_FAILURES ||
	    excess_sigmas(excess, -1) < EXCESS_REJECT_SIGMAS)
		return false;
	for (int i = 1; i < excess->target_count; i++)
		if (excess->targets[i].failures > excess->targets[worst].failures)
			worst = i;
	return excess_sigmas(excess, worst) >= EXCESS_INCONCLUSIVE_SIGMAS;
}

static void excess_decay(struct excess *excess)
{
	excess->failures *= EXCESS_DECAY;
	for (int i = 0; i < excess->target_count; i++) {
		excess->targets[i].failures *= EXCESS_DECAY;
		excess->targets[i].variance *= EXCESS_DECAY;
	}
}

static void update_route(struct evidence *evidence, struct route_evidence *route)
{
	for (guint i = 0; i < route->new_windows->len; i++) {
		const struct evidence_window *window =
			&g_array_index(route->new_windows, struct evidence_window, i);

		update_tests(evidence, route, window);
		excess_add(route, window);
	}
	g_array_set_size(route->new_windows, 0);
}

static void decay_route(struct route_evidence *route)
{
	counts_decay(&route->recent, RECENT_DECAY);
	route->new_calls *= RECENT_DECAY;
	route->new_failures *= RECENT_DECAY;
	excess_decay(&route->excess);
	/* Without calls the long-term counts are retained, for comparison after the move. */
	if (route->second.calls > 0)
		counts_decay(&route->base, BASE_DECAY);
	route->second = (struct decayed_counts){ 0 };
}

/* Returns the worst finding of the paired tests, of one route or of all together. */
static enum evidence_finding find_paired(const struct evidence *evidence, struct label *route)
{
	enum evidence_finding worst = tests_finding(&evidence->all_routes);

	*route = (struct label){ 0 };
	for (guint i = 0; i < evidence->routes->len; i++) {
		const struct route_evidence *other = g_ptr_array_index(evidence->routes, i);
		enum evidence_finding finding = excess_rejects(&other->excess)
							? EVIDENCE_FAILURES
							: tests_finding(&other->tests);

		if (finding == EVIDENCE_NONE || worst == EVIDENCE_FAILURES)
			continue;
		worst = finding;
		*route = other->route;
	}
	return worst;
}

/* Returns whether an unpaired test has a finding. Resets these tests if calls can be paired. */
static bool check_unpaired(struct evidence *evidence)
{
	bool found = tests_finding(&evidence->unpaired) != EVIDENCE_NONE;

	for (guint i = 0; i < evidence->routes->len; i++) {
		struct route_evidence *other = g_ptr_array_index(evidence->routes, i);

		found |= tests_finding(&other->unpaired) != EVIDENCE_NONE;
		if (is_paired(evidence))
			other->unpaired = (struct tests){ 0 };
	}
	if (is_paired(evidence))
		evidence->unpaired = (struct tests){ 0 };
	return found;
}

/* Returns whether a fault of both versions masks failures of the new one on a route. */
static bool is_route_masked(const struct route_evidence *route, bool was_masked)
{
	double rate = rate_lower_bound(route->recent.failures, route->recent.calls);

	if (rate < MASKING_MIN_RATE)
		return false;
	if (route->new_calls < RECENT_MIN_CALLS)
		return was_masked;
	return route->new_failures >= MASKED_MIN_FRACTION * rate * route->new_calls;
}

/* One masked route is enough, as a version may be bad on that route alone. With too few calls to
 * the old version the result stays as it was. */
static void update_masked(struct evidence *evidence)
{
	bool was_masked = evidence->masked;

	if (evidence->recent.calls < RECENT_MIN_CALLS)
		return;
	evidence->masked = false;
	for (guint i = 0; i < evidence->routes->len && !evidence->masked; i++)
		evidence->masked =
			is_route_masked(g_ptr_array_index(evidence->routes, i), was_masked);
}

enum evidence_finding evidence_close(struct evidence *evidence, bool old_in_use,
				     struct label *route)
{
	enum evidence_finding finding;

	if (old_in_use && !evidence->old_in_use)
		evidence->paired = evidence->second;
	evidence->old_in_use = old_in_use;

	for (guint i = 0; i < evidence->routes->len; i++)
		update_route(evidence, g_ptr_array_index(evidence->routes, i));
	finding = find_paired(evidence, route);
	if (finding == EVIDENCE_NONE && check_unpaired(evidence))
		finding = EVIDENCE_UNPAIRED;
	update_masked(evidence);
	for (guint i = 0; i < evidence->routes->len; i++)
		decay_route(g_ptr_array_index(evidence->routes, i));
	overall_decay(&evidence->recent, RECENT_DECAY);
	evidence->second = (struct overall_counts){ 0 };
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

static bool is_inconclusive(const struct tests *tests)
{
	for (int kind = 0; kind < TEST_COUNT; kind++)
		if (tests->sum[kind] >= INCONCLUSIVE_LLR)
			return true;
	return false;
}

bool evidence_is_inconclusive(const struct evidence *evidence)
{
	if (evidence->masked)
		return true;
	for (guint i = 0; i < evidence->routes->len; i++) {
		const struct route_evidence *route = g_ptr_array_index(evidence->routes, i);

		if (is_inconclusive(&route->tests) ||
		    excess_sigmas(&route->excess, -1) >= EXCESS_INCONCLUSIVE_SIGMAS)
			return true;
	}
	return is_inconclusive(&evidence->all_routes);
}
