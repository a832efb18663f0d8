/**
 * @file
 * Admission at the node's own target: a bounded number of calls run, a short queue waits, in order
 * of class and fair between tenants: who has fewest calls running goes first, then who has used
 * least of the target's time lately.
 */
#ifndef CORE_ADMIT_H
#define CORE_ADMIT_H

#include <apr_pools.h>

#include "base/clock.h"
#include "core/config.h"

/** A call that wants a slot. Owned by the caller, unchanged while queued. */
struct ticket {
	struct label tenant;
	struct label route;
	enum traffic_class class;
	int concurrency_percent; /**< of the slots, for this route */
	struct deadline deadline;
	struct deadline objective; /**< an answer after it is late; 0: none is stated */
	bool now_or_never;	   /**< it may not queue: another target may have a free slot */
	bool returned;		   /**< it was refused before: rather late than refused again */
	void *owner;		   /**< the caller's own */
	int64_t queued_at_us;	   /**< monotonic; set by admit_offer() */
	int64_t started_at_us;	   /**< monotonic; when it got its slot */
	int started_beside;	   /**< calls that ran then, itself included */
	int64_t expected_us;	   /**< until its answer, as admit_offer() expects */
};

enum admit_result {
	ADMIT_RUN,    /**< has a slot; end with admit_done() */
	ADMIT_QUEUED, /**< comes back from admit_next() */
	ADMIT_BUSY,   /**< has no slot at once, or none that is fast enough: not run */
	ADMIT_FULL,   /**< the queue is full: not run */
	ADMIT_LATE,   /**< can't meet its deadline: not run */
	ADMIT_CLOSED, /**< the target is leaving or there is none: not run */
};

struct str admit_result_name(enum admit_result result);

struct admit;

struct admit *admit_new(apr_pool_t *pool);
void admit_free(struct admit *admit);

/** Sets the target's slots; 0 closes. All functions take LOCK_ADMIT. */
void admit_set_slots(struct admit *admit, int slots);
/** Takes no new call; what waits still has its turn. admit_set_slots() opens it again. */
void admit_close(struct admit *admit);
/** The same, and what waits comes back from admit_next() as late, to be taken elsewhere. */
void admit_return(struct admit *admit);
enum admit_result admit_offer(struct admit *admit, struct ticket *ticket, struct instant now);

/** How a call that had a slot ended. */
enum slot_use {
	SLOT_SERVED,
	SLOT_SHED,   /**< the target had no room for it: fewer slots are used for a while */
	SLOT_UNUSED, /**< it says nothing of the target's times */
};

/** Frees the ticket's slot. */
void admit_done(struct admit *admit, const struct ticket *ticket, enum slot_use use,
		int64_t service_us);

/** What waits next. The tag says what becomes of the ticket. */
struct admit_turn {
	enum { TURN_NONE, TURN_RUN, TURN_LATE } kind;
	struct ticket *ticket;
};

/** The next queued call for a free slot, or one whose deadline has passed; call until TURN_NONE. */
struct admit_turn admit_next(struct admit *admit, struct instant now);

struct admit_counts {
	int slots; /**< in use of those announced, after adapting */
	int running;
	int queued;
	int late;	    /**< of those queued */
	int64_t service_us; /**< smoothed time of a call */
	double slowness;    /**< times slower than usual that the target seems now; 1: not */
};
struct admit_counts admit_count(struct admit *admit, struct instant now);

#endif
