/**
 * @file
 * The pool of worker threads. All workers wait on one epoll instance for ready descriptors, timers
 * and posted work, and the worker that receives an event also handles it. A descriptor is given to
 * one worker at a time and stays disarmed until workers_rearm().
 */
#ifndef BASE_WORKERS_H
#define BASE_WORKERS_H

#include <apr_pools.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { WATCH_READ = 1, WATCH_WRITE = 2 };

/** Kind of work. The program's one handler switches on it. */
enum work_kind {
	WORK_TICK, /**< the program's timer */
	WORK_CALLER_LISTEN,
	WORK_CALLER, /**< an event of a caller's connection */
	WORK_PEER_LISTEN,
	WORK_PEER_DATAGRAM,
	WORK_LINK_READ,
	WORK_LINK_WRITE,
	WORK_INBOUND, /**< a call that has a slot of the target */
	WORK_READ_LOG,
	WORK_APPEND,
	WORK_DISCOVER,
	WORK_SETTLE_DOUBT, /**< a heartbeat of the target that is in doubt */
};

struct work {
	enum work_kind kind;
	void *data;
};

struct workers_options {
	int threads;
	int queue_max; /**< limit of queued work; workers_post() fails beyond it */
	void (*handle)(void *context, const struct work *work, int ready);
	void *context;
};

struct workers;

/** Returns NULL and sets @p error (G_FILE_ERROR) if a descriptor can't be created. */
struct workers *workers_new(const struct workers_options *options, apr_pool_t *pool,
			    GError **error);
/**
 * Starts the threads. Returns false and sets @p error (G_FILE_ERROR) if one can't be created: with
 * fewer workers than the program counts on, blocking work could occupy them all. None runs then.
 */
bool workers_start(struct workers *workers, GError **error);
/** Stops and joins all threads. Work that is still queued is dropped. */
void workers_stop(struct workers *workers);
/** Frees the pool; call workers_stop() first. */
void workers_free(struct workers *workers);

/** Queues work for the next idle worker; false if the queue is full. Takes LOCK_WORKERS. */
bool workers_post(struct workers *workers, struct work work);

/** A descriptor to wait for. Its owner keeps it valid until workers_unwatch() has returned. */
struct watch {
	int fd;
	struct work work;
};

/** Watches a descriptor for one event. @p interest combines WATCH_READ and WATCH_WRITE. */
bool workers_watch(struct workers *workers, struct watch *watch, int interest);
/** Arms a descriptor again after its event was handled. */
void workers_rearm(struct workers *workers, struct watch *watch, int interest);
void workers_unwatch(struct workers *workers, struct watch *watch);

#endif
