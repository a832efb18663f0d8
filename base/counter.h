/**
 * @file
 * Counters and histograms by name and labels, printed in the text form that scrapers read.
 */
#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include <apr_pools.h>
#include <stdint.h>

#include "base/str.h"

struct metrics;

struct metrics *metrics_new(apr_pool_t *pool);
void metrics_free(struct metrics *metrics);

/**
 * Adds to a counter, made on first use. @p labels is empty or as in `tenant="a"`.
 * Takes LOCK_COUNTERS. Past METRICS_SERIES_MAX series new labels are counted as "other".
 */
void metrics_add(struct metrics *metrics, struct str name, struct str labels, int64_t amount);
/** Adds microseconds to a histogram, made on first use. Takes LOCK_COUNTERS. */
void metrics_observe(struct metrics *metrics, struct str name, struct str labels, int64_t us);
void metrics_print(struct metrics *metrics, struct strbuf *out);

#endif
