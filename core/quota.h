/**
 * @file
 * Limits of tenants over the whole fleet. A limit is divided into shards, each a token bucket at
 * one node, its holder. Entry nodes ask holders for tokens, which expire soon. Both sides are
 * decided here; core/node_quota.c chooses the holders and passes the messages.
 *
 * Load pattern: tenants of very different size, whose callers are spread unevenly and move, and of
 * which one asks for many times its limit; holders that crash, are cut off or start again.
 *
 * In any window the requests that are let through are at most rate x window + burst, plus the
 * tolerance: a holder gives out no more than its share, a new holder starts empty, and tokens
 * expire after a fraction of the tolerance.
 */
#ifndef CORE_QUOTA_H
#define CORE_QUOTA_H

#include <apr_pools.h>
#include <glib.h>

#include "base/clock.h"
#include "base/str.h"

/** Holders that share a limit: one that is lost takes a quarter of it until it is replaced. */
enum { QUOTA_SHARDS = 4 };

/** Tolerance of a limit: (rate x window + burst) x (1 + tolerance) + allowance requests in any
 * window. */
struct quota_options {
	int64_t window_us;
	double tolerance;
	double allowance;
	uint64_t seed; /**< of the numbers of questions */
};

/** Limit of a tenant, as the configuration states it. */
struct quota_limit {
	struct label tenant;
	double limit_per_s;
	double burst;
};

struct quota;

/** All functions that take a table acquire LOCK_QUOTA. */
struct quota *quota_new(const struct quota_options *options, apr_pool_t *pool);
void quota_free(struct quota *quota);

/* The holder of a shard */

/** A question for tokens of a shard that this node holds. */
struct quota_question {
	uint64_t seq;
	struct label tenant;
	int shard;
	int needed; /**< requests that wait for a token */
	int extra;  /**< tokens that will probably be used before they expire */
};

/** Answer to a question. */
struct quota_grant {
	bool holds; /**< the node that was asked holds the shard */
	int tokens;
	int64_t room_in_us; /**< time until there is room for those that got none */
};

/**
 * Takes tokens from a shard.
 * @param held_since_us  monotonic time since when this node holds it at the earliest: the bucket of
 *                       a new holder starts empty, since the one before may have emptied it
 */
struct quota_grant quota_grant(struct quota *quota, const struct quota_limit *limit,
			       const struct quota_question *question, int64_t held_since_us,
			       struct instant now);

/** A shard of which a table has a bucket. */
struct quota_shard {
	struct label tenant;
	int index;
};

/** Returns the shards that the table has buckets of (struct quota_shard); the caller frees the
 *  array. */
GArray *quota_shards(struct quota *quota);
/** Drops the bucket of a shard that another node holds now. */
void quota_drop(struct quota *quota, const struct quota_shard *shard);
void quota_drop_all(struct quota *quota);

/* The entry node */

enum quota_kind {
	QUOTA_TAKEN,	 /**< the request may run */
	QUOTA_WAITS,	 /**< a result follows for its number */
	QUOTA_EXCEEDED,	 /**< the limit is used up */
	QUOTA_UNREACHED, /**< no holder with tokens could be reached */
};

struct quota_decision {
	enum quota_kind kind;
	union {
		struct deadline
			token_until; /**< QUOTA_TAKEN: until when the token may be returned */
		int64_t room_in_us;  /**< QUOTA_EXCEEDED, _UNREACHED: when to come back */
	};
};

/** Decision on a request that waited. */
struct quota_result {
	uint64_t waiter;
	struct quota_decision decision;
};

/**
 * Takes a token for a request. Without one the request waits, and its result has the number
 * @p waiter.
 * Returns true if *question is to be asked.
 */
bool quota_take(struct quota *quota, const struct label *tenant, uint64_t waiter,
		struct instant now, struct quota_decision *decision,
		struct quota_question *question);
/**
 * Handles the answer to a question, and appends the results of requests that waited to @p results
 * (struct quota_result). Returns true if *next is to be asked.
 */
bool quota_answered(struct quota *quota, uint64_t seq, const struct quota_grant *grant,
		    struct instant now, GArray *results, struct quota_question *next);
/** Gives up one question without an answer; returns as quota_answered(). Call it until it returns
 *  false. */
bool quota_expire(struct quota *quota, struct instant now, GArray *results,
		  struct quota_question *next);
/** Returns the token of a request that was refused and has not run. It expires when it would have.
 */
void quota_return(struct quota *quota, const struct label *tenant, struct deadline until,
		  struct instant now);

#endif
