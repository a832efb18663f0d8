/**
 * @file
 * Table of call statistics by route, as this entry node measured them: the usual time that a
 * caller waits, the size of the answers, the share of remote offers that are accepted, and how long
 * a refused offer takes.
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
 * Notes a caller's remaining time and estimates how many microseconds ago the first attempt of its
 * request was; 0: this is probably the first one. Callers vary in patience, so that only one with
 * much less time than usual counts as having tried before. Takes LOCK_TRAFFIC, like all below.
 */
int64_t traffic_elapsed_us(struct traffic *traffic, struct label route, int64_t remaining_us);
/** Notes the size of an answer. */
void traffic_record_answer(struct traffic *traffic, struct label route, size_t bytes);
/** Notes whether a target of a remote data centre accepted an offer at once. */
void traffic_record_remote(struct traffic *traffic, struct label route, bool accepted);
/** Notes how long it took until a target's node refused an offer. */
void traffic_record_refusal(struct traffic *traffic, struct label route, int64_t round_trip_us,
			    struct instant now);
/** Returns the smoothed time that a refused offer takes; 0 if none was refused for a second. */
int64_t traffic_round_trip_us(struct traffic *traffic, struct label route, struct instant now);
/** Returns the smoothed share of accepted remote offers; 1 before the first. */
double traffic_remote_probability(struct traffic *traffic, struct label route);
/** Returns the smoothed size of the route's answers in bytes; 0 before the first. */
double traffic_answer_bytes(struct traffic *traffic, struct label route);

#endif
