/**
 * @file
 * Idempotency keys: at most one run for each key. A key belongs to one of CLAIM_PARTITIONS streams
 * of the log; the partition's home node appends claims in batches and reads them back, and the
 * first claim in the log's order holds the key. Two homes at once do no harm, since the log
 * decides.
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

enum claim_note_kind {
	CLAIM_TAKE,    /**< wants to run */
	CLAIM_RAN,     /**< ran; the outcome is recorded */
	CLAIM_RELEASE, /**< truly did not run; the key is free again */
};

/** One line of a partition's stream. */
struct claim_note {
	struct claim_key key;
	uint64_t claim; /**< unique, chosen by the entry node */
	enum claim_note_kind kind;
	int status; /**< CLAIM_RAN */
};

enum claim_result {
	CLAIM_GRANTED,	/**< this claim holds the key: run */
	CLAIM_HELD,	/**< another one holds it, and its outcome is not known: may have run */
	CLAIM_REPLAYED, /**< it ran before, with this status */
	CLAIM_TIMEOUT,	/**< the log could not tell in time: not run */
};

/** What a home asks to be done for a partition. */
struct claim_work {
	bool append;	/**< of @ref notes */
	GArray *notes;	/**< struct claim_note, owned by the taker */
	uint64_t batch; /**< goes back to claims_appended() */
	bool read;	/**< from @ref read_from on */
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

/* The home's side; all take LOCK_CLAIMS. */

/** An entry node asks for a key. Asking again with the same claim is harmless. */
void claims_ask(struct claims *claims, uint64_t from, uint64_t seq, struct claim_key key,
		uint64_t claim, struct deadline deadline);
/** An entry node tells how its claim ended. */
void claims_end(struct claims *claims, const struct claim_note *note);
/** What is to be done now for a partition. */
struct claim_work claims_work(struct claims *claims, int partition, struct instant now);
/** The batch stands at @p offset; 0: it may or may not have been appended. */
void claims_appended(struct claims *claims, int partition, uint64_t batch, int64_t offset,
		     struct instant now);
/** A record of the partition's stream, in order. */
void claims_fold(struct claims *claims, int partition, int64_t offset, const GArray *notes);
/** A read came to its end; @p newest is the stream's last offset. */
void claims_read_done(struct claims *claims, int partition, int64_t newest);
void claims_read_failed(struct claims *claims, int partition, bool gone, struct instant now);
/** Answers that are ready; returns how many. Late asks are dropped. */
int claims_answers(struct claims *claims, int partition, struct instant now,
		   struct claim_answer *out, int max);

/* The entry node's side. */

/** An ask that is under way. */
struct claim_pending {
	uint64_t seq;
	struct claim_key key;
	uint64_t claim;
	struct deadline resend_at;
	struct deadline until;
};

void claims_pending_add(struct claims *claims, const struct claim_pending *pending);
/** Takes it out; false if it is no longer there. */
bool claims_pending_take(struct claims *claims, uint64_t seq, struct claim_pending *out);
/** One that is due to be asked again (*late false) or past its deadline (taken out, *late true). */
bool claims_pending_due(struct claims *claims, struct instant now, struct claim_pending *out,
			bool *late);

#endif
