/**
 * @file
 * The pool of workers. A worker waits in one place for ready descriptors, timers and posted work,
 * so that whoever sees an event handles it itself. A descriptor is handed to one worker at a time
 * and stays disarmed until workers_rearm().
 */
#ifndef BASE_WORKERS_H
#define BASE_WORKERS_H

#include <apr_pools.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { WATCH_READ = 1, WATCH_WRITE = 2 };

/** What a worker is asked to do. The program's one handler switches on it. */
enum work_kind {
	WORK_TICK, /**< the program's timer */
	WORK_CALLER_LISTEN,
	WORK_CALLER, /**< an event of a caller's connection */
	WORK_PEER_LISTEN,
	WORK_PEER_DATAGRAM,
	WORK_LINK_READ,
	WORK_LINK_WRITE,
	WORK_SERVE, /**< a call that has a slot of the target */
	WORK_READ_LOG,
	WORK_APPEND,
	WORK_DISCOVER,
};

struct work {
	enum work_kind kind;
	void *data;
};

struct workers_options {
	int threads;
	int queue_max; /**< posted work; past it workers_post() refuses */
	void (*handle)(void *context, const struct work *work, int ready);
	void *context;
};

struct workers;

/** Returns NULL and sets @p error if threads or descriptors can't be had. */
struct workers *workers_new(const struct workers_options *options, apr_pool_t *pool,
			    GError **error);
/** Starts the threads. */
void workers_start(struct workers *workers);
/** Ends and joins all threads. Work that is still queued is dropped. */
void workers_stop(struct workers *workers);
/** After workers_stop(). */
void workers_free(struct workers *workers);

/** Queues work for the next idle worker. False if the queue is full. Takes LOCK_WORKERS. */
bool workers_post(struct workers *workers, struct work work);

/** A descriptor to wait for. It belongs to its owner and must outlive workers_unwatch(). */
struct watch {
	int fd;
	struct work work;
};

bool workers_watch(struct workers *workers, struct watch *watch, int interest);
void workers_rearm(struct workers *workers, struct watch *watch, int interest);
void workers_unwatch(struct workers *workers, struct watch *watch);

#endif
