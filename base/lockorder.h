/**
 * @file
 * The order of all locks, lowest rank first: a thread that holds a lock takes only higher ranks.
 * The order follows a request on its way: the tables of open calls and links come first, since
 * they look things up in core's tables; the leaves (pipes, counters) come last. Within core
 * the configuration comes before what is derived from it.
 */
#ifndef BASE_LOCKORDER_H
#define BASE_LOCKORDER_H

#include <apr_pools.h>
#include <apr_thread_cond.h>
#include <apr_thread_mutex.h>
#include <stdbool.h>

enum lock_rank {
	LOCK_CALLERS,	 /**< table of callers' connections */
	LOCK_CONNECTION, /**< one connection's requests and output */
	LOCK_CALLS,	 /**< open calls of the daemon */
	LOCK_LINKS,	 /**< table of links to other nodes */
	LOCK_LINK,	 /**< one link's streams and output */
	LOCK_HISTORY,	 /**< accepted configuration */
	LOCK_MEMBERS,	 /**< membership and what is known of each target */
	LOCK_SPREAD,	 /**< probes, pulls and pending updates */
	LOCK_MOVES,	 /**< state and evidence of the moves */
	LOCK_ADMIT,	 /**< slots and queue of the node's own target */
	LOCK_CLAIMS,	 /**< idempotency keys */
	LOCK_TRAFFIC,	 /**< what was seen of each route */
	LOCK_POISON,	 /**< fingerprints of requests that crash targets */
	LOCK_TARGET,	 /**< the announced target */
	LOCK_PIPE,	 /**< one body in transit */
	LOCK_WORKERS,	 /**< queue of posted work */
	LOCK_COUNTERS,
	/**< tables of counters and histograms */ LOCK_LOG, /**< lines that wait to be written */
	LOCK_RANKS,
};

/** A mutex with a rank. A build without NDEBUG asserts the order for each thread. */
struct lock {
	apr_thread_mutex_t *mutex;
	enum lock_rank rank;
};

void lock_init(struct lock *lock, enum lock_rank rank, apr_pool_t *pool);
void lock_destroy(struct lock *lock);
void lock_acquire(struct lock *lock);
void lock_release(struct lock *lock);
/** Waits on @p cond, which frees the lock meanwhile; false when @p us have gone by. */
bool lock_wait(struct lock *lock, apr_thread_cond_t *cond, int64_t us);

#endif
