/**
 * @file
 * Table of what this entry has seen of each route: how long its callers wait at most, how large its
 * answers are, and how often another data centre takes its calls.
 */
#ifndef CORE_TRAFFIC_H
#define CORE_TRAFFIC_H

#include <apr_pools.h>

#include "base/clock.h"
#include "base/str.h"

struct traffic;

struct traffic *traffic_new(apr_pool_t *pool);
void traffic_free(struct traffic *traffic);

/**
 * Notes how long a caller still waits, and tells how long ago the request's first attempt must have
 * been: a caller that comes back after a refusal has less time left than a new one.
 * Takes LOCK_TRAFFIC, like all below.
 */
int64_t traffic_elapsed_us(struct traffic *traffic, struct label route, int64_t left_us);
void traffic_note_answer(struct traffic *traffic, struct label route, size_t bytes);
/** Notes whether an offer to a target of another data centre was taken at once. */
void traffic_note_far(struct traffic *traffic, struct label route, bool taken);
/** Smoothed share of those that were; 1 before the first. */
double traffic_far_chance(struct traffic *traffic, struct label route);
/** Smoothed bytes of the route's answers; 0 before the first. */
double traffic_answer_bytes(struct traffic *traffic, struct label route);

#endif
