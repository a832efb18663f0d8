/**
 * @file
 * The account of the memory that callers make the process hold: requests, answers that wait, and
 * bodies in transit. Each connection is a holder. The account decides when a connection is not
 * read, which one is closed and which requests are refused; its user carries the decisions out. It
 * handles the load of callers that send more than they take. Functions take LOCK_MEMORY unless
 * stated.
 */
#ifndef BASE_MEMORY_H
#define BASE_MEMORY_H

#include <apr_pools.h>
#include <glib.h>

#include "base/clock.h"

/** What the memory is held for. */
enum memory_use {
	MEMORY_REQUESTS, /**< connections, heads and the state of requests */
	MEMORY_ANSWERS,	 /**< bytes of answers that callers have not read */
	MEMORY_BODIES,	 /**< bytes of requests' bodies */
	MEMORY_USES,
};

/** Returns the use's name for log lines and metrics. */
struct str memory_use_name(enum memory_use use);

struct memory;

/** A connection as a holder of memory. The account guards all members. */
struct memory_holder {
	int64_t held[MEMORY_USES]; /**< bytes */
	int64_t progress_us;	   /**< monotonic; last byte that its caller took or sent */
	bool joined;
	bool closing; /**< what it holds is on its way back, and not counted against the budget */
	guint index;
};

/** What becomes of a request that may start. */
enum memory_admission {
	MEMORY_RUN,
	MEMORY_WAIT,   /**< until the connection holds less */
	MEMORY_REFUSE, /**< it has not run, and never will */
};

/** A connection that has to be closed, or is described. */
struct memory_closing {
	struct memory_holder *holder; /**< set by memory_choose() */
	int64_t held[MEMORY_USES];    /**< bytes that it holds */
	int64_t total;		      /**< bytes that all hold, without those that are closing */
	int64_t stalled_us;	      /**< time without progress */
};

/** Returns an account with a budget in bytes. */
struct memory *memory_new(int64_t budget_bytes, apr_pool_t *pool);
void memory_free(struct memory *memory);

/** Returns the budget of a VM with @p memory_mb megabytes; 0: of the smallest VM in use. */
int64_t memory_budget(int64_t memory_mb);

/** Adds a holder that holds nothing; it stays until memory_leave(). */
void memory_join(struct memory *memory, struct memory_holder *holder, struct instant now);
void memory_leave(struct memory *memory, struct memory_holder *holder);
/** Counts bytes that the holder acquired or, if negative, released. */
void memory_charge(struct memory *memory, struct memory_holder *holder, enum memory_use use,
		   int64_t bytes);
/** Records that the caller took bytes of its answers. */
void memory_sent(struct memory *memory, struct memory_holder *holder, struct instant now);
/** Records that the caller sent bytes, which is progress only if no answer waits for it. */
void memory_received(struct memory *memory, struct memory_holder *holder, struct instant now);

/** Returns whether more is read from the connection. */
bool memory_may_read(struct memory *memory, const struct memory_holder *holder);
/** Decides on a request. @p first: all earlier ones of the connection are answered. */
enum memory_admission memory_admit(struct memory *memory, const struct memory_holder *holder,
				   bool first);
/**
 * Chooses a connection to close: while the budget is exceeded the one that holds most without
 * progress; if the excess grows all the same, the one that holds most. The holder counts as closing
 * from then on. Returns false if none has to be closed.
 */
bool memory_choose(struct memory *memory, struct instant now, struct memory_closing *closing);
/** Describes what a holder and all together hold. */
void memory_describe(struct memory *memory, const struct memory_holder *holder, struct instant now,
		     struct memory_closing *state);
/** Marks a holder whose connection is being closed for another reason. */
void memory_set_closing(struct memory *memory, struct memory_holder *holder);
/** Returns whether the budget is exceeded. */
bool memory_is_over(struct memory *memory);
/** Returns whether connections that hold much are not read now. */
bool memory_is_short(struct memory *memory);
/** Returns the bytes held for a use. */
int64_t memory_held(struct memory *memory, enum memory_use use);
int64_t memory_budget_of(const struct memory *memory);

#endif
