/**
 * @file
 * Counters, gauges and histograms by name and labels, printed in the text format of Prometheus.
 */
#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include <apr_pools.h>
#include <stdint.h>

#include "base/str.h"

struct metrics;

struct metrics *metrics_new(apr_pool_t *pool);
void metrics_free(struct metrics *metrics);

/**
 * Adds to a counter, which is created on first use. @p labels is empty or as in `tenant="a"`.
 * Beyond METRICS_SERIES_MAX series, new labels are counted as `other="1"`. Takes LOCK_COUNTERS.
 */
void metrics_add(struct metrics *metrics, struct str name, struct str labels, int64_t amount);
/** Sets a gauge; otherwise as metrics_add(). */
void metrics_set(struct metrics *metrics, struct str name, struct str labels, int64_t value);
/** Adds @p us to a histogram, which is created on first use. Takes LOCK_COUNTERS. */
void metrics_observe(struct metrics *metrics, struct str name, struct str labels, int64_t us);
/** Appends all series, sorted by name and labels. Takes LOCK_COUNTERS. */
void metrics_print(struct metrics *metrics, struct strbuf *out);

#endif
