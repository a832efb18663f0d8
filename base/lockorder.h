/**
 * @file
 * The order of all locks, lowest rank first: a thread that holds a lock takes only higher ranks.
 * The order follows the path of a request: the tables of open calls and links come first, since
 * code that holds them reads core's tables; leaf locks (pipes, counters) come last. Within core
 * the configuration comes before the state derived from it. The lock of announcements is held while
 * one takes effect, and comes before all others.
 */
#ifndef BASE_LOCKORDER_H
#define BASE_LOCKORDER_H

#include <apr_pools.h>
#include <apr_thread_cond.h>
#include <apr_thread_mutex.h>
#include <stdbool.h>

enum lock_rank {
	LOCK_ANNOUNCE,	 /**< order in which announcements of the target take effect */
	LOCK_CALLERS,	 /**< table of callers' connections */
	LOCK_CONNECTION, /**< requests and output of one connection */
	LOCK_CALLS,	 /**< open calls of the daemon */
	LOCK_LINKS,	 /**< table of links to other nodes */
	LOCK_LINK,	 /**< streams and output of one link */
	LOCK_RULES,	 /**< order in which configurations take effect on the own target */
	LOCK_HISTORY,	 /**< accepted configuration */
	LOCK_MEMBERS,	 /**< membership and the state of each target */
	LOCK_GOSSIP,	 /**< probes, pulls and pending updates */
	LOCK_MOVES,	 /**< state and evidence of the moves */
	LOCK_ADMIT,	 /**< slots and queue of the node's own target, call counts */
	LOCK_CLAIMS,	 /**< idempotency keys */
	LOCK_QUOTA,	 /**< tokens of tenants */
	LOCK_TRAFFIC,	 /**< measurements of each route */
	LOCK_POISON,	 /**< fingerprints of requests that crash targets */
	LOCK_TARGET,	 /**< the announced target, idle handles of platform services */
	LOCK_PIPE,	 /**< one body in transit, one inbound request */
	LOCK_MEMORY,	 /**< account of the memory that callers hold */
	LOCK_LINE,	 /**< bytes received over the VM's line */
	LOCK_WORKERS,	 /**< queue of posted work */
	LOCK_COUNTERS,	 /**< table of counters and histograms */
	LOCK_LOG,	 /**< log lines that wait to be written */
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
/** Waits on @p cond with the lock released; false once @p us microseconds have passed. */
bool lock_wait(struct lock *lock, apr_thread_cond_t *cond, int64_t us);

#endif
