/**
 * @file
 * Idempotency keys: at most one run for each key. A key belongs to one of CLAIM_PARTITIONS streams
 * of the log; the partition's home node appends claims in batches and reads them back, and the
 * first claim in the log's order holds the key. Because the order of the log decides, two homes
 * at the same time are safe.
 */
#ifndef CORE_CLAIM_H
#define CORE_CLAIM_H

#include <apr_pools.h>
#include <glib.h>

#include "base/clock.h"
#include "base/str.h"

enum { CLAIM_PARTITIONS = 64 };

/** 128-bit hash of route and idempotency key. */
struct claim_key {
	uint64_t high;
	uint64_t low;
};

struct claim_key claim_key_of(struct label route, struct str idempotency_key);
int claim_partition(struct claim_key key);

enum claim_op_kind {
	CLAIM_ACQUIRE,	/**< request to run */
	CLAIM_COMPLETE, /**< completed run with its status */
	CLAIM_RELEASE,	/**< certainly did not run; the key is free again */
};

/** One operation in a partition's stream. */
struct claim_op {
	struct claim_key key;
	uint64_t claim; /**< unique id, chosen by the entry node */
	enum claim_op_kind kind;
	int status; /**< status in a CLAIM_COMPLETE operation */
};

enum claim_result {
	CLAIM_GRANTED,	/**< this claim holds the key; the request may run */
	CLAIM_HELD,	/**< another claim holds the key, its outcome is unknown: may have run */
	CLAIM_REPLAYED, /**< the request ran before, with this status */
	CLAIM_TIMEOUT,	/**< no answer from the log in time: not run */
};

/** Append and read that a home needs for a partition. */
struct claim_work {
	bool append;	/**< append @ref ops */
	GArray *ops;	/**< struct claim_op, owned by the receiver */
	uint64_t batch; /**< argument for claims_appended() */
	bool read;	/**< read from offset @ref read_from */
	int64_t read_from;
};

/** An answer to an entry node. */
struct claim_answer {
	uint64_t to; /**< member id */
	uint64_t seq;
	enum claim_result result;
	int status;
};

struct claims;

struct claims *claims_new(apr_pool_t *pool);
void claims_free(struct claims *claims);

/* Functions of the home; all acquire LOCK_CLAIMS. */

/** Queues the request of an entry node for a key. A repetition is ignored while the first is
 * queued. */
void claims_request(struct claims *claims, uint64_t from, uint64_t seq, struct claim_key key,
		    uint64_t claim, struct deadline deadline);
/** Queues the outcome of a claim that @p from reports for appending. A repetition is ignored while
 *  the first is queued. */
void claims_end(struct claims *claims, uint64_t from, const struct claim_op *op);
/** Returns the append and the read that are due for a partition and marks them as started. */
struct claim_work claims_next_work(struct claims *claims, int partition_index, struct instant now);
/** Ends an append of a batch at @p offset; 0: it may or may not have been appended. */
void claims_appended(struct claims *claims, int partition_index, uint64_t batch, int64_t offset,
		     struct instant now);
/** Applies the next record of the partition's stream; older records are ignored. */
void claims_apply(struct claims *claims, int partition_index, int64_t offset, const GArray *ops);
/** Ends a read; @p newest is the stream's last offset. */
void claims_read_done(struct claims *claims, int partition_index, int64_t newest);
/** Ends a failed read; @p expired: the log no longer holds the wanted records. */
void claims_read_failed(struct claims *claims, int partition_index, bool expired,
			struct instant now);
/** Fills @p out with answers that are ready, drops expired requests; @return how many. */
int claims_take_answers(struct claims *claims, int partition_index, struct instant now,
			struct claim_answer *out, int max);

/** An outcome that the log holds. */
struct claim_recorded {
	uint64_t to; /**< member id of the entry node that reported it */
	uint64_t claim;
};

/** Removes outcomes that were recorded since the last call, @p max at most; @return how many. */
int claims_take_recorded(struct claims *claims, int partition_index, struct claim_recorded *out,
			 int max);

/* Functions of the entry node; all acquire LOCK_CLAIMS. */

/** A request for a key that has no answer yet. */
struct claim_pending {
	uint64_t seq;
	struct claim_key key;
	uint64_t claim;
	struct deadline resend_at;
	struct deadline deadline;
};

void claims_pending_add(struct claims *claims, const struct claim_pending *pending);
/** Removes a pending request; false if there is none with @p seq. */
bool claims_pending_remove(struct claims *claims, uint64_t seq, struct claim_pending *out);
/** Finds a request that is due to be sent again, or removes an expired one (*expired is true). */
bool claims_pending_due(struct claims *claims, struct instant now, struct claim_pending *out,
			bool *expired);

/** Keeps the outcome of a claim until it is recorded, or for a minute. */
void claims_ending_add(struct claims *claims, const struct claim_op *op, struct instant now);
/** Forgets the outcome of a claim, which was recorded; false if it is not known. */
bool claims_ending_remove(struct claims *claims, uint64_t claim);
/** Finds an outcome that is due to be reported again. */
bool claims_ending_due(struct claims *claims, struct instant now, struct claim_op *out);

#endif
