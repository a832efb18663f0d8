/**
 * @file
 * Admission control at the node's own target. A bounded number of calls run at once; the others
 * wait in a short queue, ordered by class. Within a class, the tenant with the fewest running calls
 * goes first, then the tenant that has used the least of the target's time recently. Nested calls,
 * which another target makes for a call that it serves, precede the other calls of their class.
 *
 * Load pattern: services that call each other at 1.2 times their capacity. A nested call that waits
 * behind callers' requests misses its short deadline; the call that needs it fails after it has
 * held a slot, and its caller tries again.
 *
 * Load pattern: uploads to targets whose VM has a slow link, at up to twice the link's rate. A call
 * with a large body starts only when its body can be fetched soon; others pass it. Fetched all at
 * once, the bodies fill the link for a second, and nested calls and heartbeats wait behind them.
 */
#ifndef CORE_ADMIT_H
#define CORE_ADMIT_H

#include <apr_pools.h>

#include "base/clock.h"
#include "core/config.h"
#include "core/warmup.h"

/** A call that asks for a slot. The code that offers it owns it and must not change it while it is
 * queued. */
struct queue_entry {
	struct label tenant;
	struct label route;
	enum traffic_class class;
	int concurrency_percent; /**< share of the slots that the route may use */
	struct deadline deadline;
	struct deadline objective; /**< an answer after it is late; 0: no objective */
	bool no_queue;		   /**< refused if no slot is free */
	bool retried;		   /**< refused before: better late than refused again */
	int64_t body_bytes;	   /**< of its body, which is fetched over the VM's link; 0: none */
	bool nested;		   /**< another target waits for it: see config_is_nested() */
	void *owner;		   /**< context of the code that offers it */
	int64_t queued_at_us;	   /**< monotonic; set by admit_offer() */
	int64_t started_at_us;	   /**< monotonic; time at which it got its slot */
	int running_at_start;	   /**< calls running at that time, this one included */
	int64_t expected_us;	   /**< estimated time until its answer, unless it runs now */
	bool cold;		   /**< it started while the target was cold */
};

enum admit_result {
	ADMIT_RUN,	 /**< has a slot, which admit_done() frees */
	ADMIT_QUEUED,	 /**< admit_next() returns it later */
	ADMIT_BUSY,	 /**< no slot is free, or the target is too slow: not run */
	ADMIT_FULL,	 /**< the queue is full: not run */
	ADMIT_LATE,	 /**< the deadline or objective can't be met: not run */
	ADMIT_COLD,	 /**< the target is cold, and gets no more calls for now: not run */
	ADMIT_CLOSED,	 /**< the target is leaving, or there is none: not run */
	ADMIT_EVACUATED, /**< the data centre is evacuated: not run */
};

/** Returns the text that stands for a result in logs and refusals. */
struct str admit_result_name(enum admit_result result);

struct admit;

/** Creates an admission table without slots: it refuses calls until admit_set_slots(). */
struct admit *admit_new(apr_pool_t *pool);
/** Frees the table, but not the calls that still wait in it. */
void admit_free(struct admit *admit);

/** Sets the slots that the target announced; 0: it takes no calls. Takes LOCK_ADMIT, like all
 * below. */
void admit_set_slots(struct admit *admit, int slots);
/** Sets the rate of the VM's network link, megabits a second; 0: bodies are not limited. */
void admit_set_link(struct admit *admit, double mbps);
/** Counts bytes of a body that came over the same link for other targets. */
void admit_count_received(struct admit *admit, int64_t bytes, struct instant now);
/** Refuses new calls for good, since the node stops; queued calls still run. */
void admit_close(struct admit *admit);
/** Refuses new calls; admit_next() returns queued calls as late, to be sent to other targets.
 *  admit_set_slots() admits calls again. */
void admit_return_queued(struct admit *admit);
/**
 * The node stops: calls run only if they can be expected to end by @p work_ends_at, and queued ones
 * are returned from @p queue_ends_at on.
 */
void admit_end_by(struct admit *admit, struct deadline queue_ends_at, struct deadline work_ends_at);
/** Sets the tolerance of the limit of cold targets. */
void admit_set_warmup_options(struct admit *admit, const struct warmup_options *options);
/** What the configuration in force states about the node's target. */
struct admit_rules {
	struct warmup_rule warmup;
	/** The target's data centre is evacuated: as after admit_return_queued(), but independent
	 * of it. The target counts as cold once it no longer is. */
	bool evacuated;
};
void admit_set_rules(struct admit *admit, const struct admit_rules *rules, struct instant now);
/** Records that the target is another incarnation, or the first one known: it counts as cold. */
void admit_target_started(struct admit *admit, struct instant now);
/** Records a heartbeat; see warmup_note_heartbeat(). */
void admit_heartbeat(struct admit *admit, bool states_warmup, bool cold, struct instant now);
/** Gives a call a slot, queues it or refuses it. */
enum admit_result admit_offer(struct admit *admit, struct queue_entry *entry, struct instant now);

/** Returns whether a call that has a slot can still be expected to be answered in time. */
bool admit_is_worth_running(struct admit *admit, const struct queue_entry *entry,
			    struct instant now);

/** Result of a call that had a slot. */
enum slot_outcome {
	SLOT_SERVED,
	SLOT_SHED,	 /**< the target shed it: fewer slots are used for a while */
	SLOT_UNMEASURED, /**< not run, or not to its end: its time is not counted */
};

/** Frees the slot of a call. The target's times include @p service_us if it was served. */
void admit_done(struct admit *admit, const struct queue_entry *entry, enum slot_outcome outcome,
		int64_t service_us);

/** Result of admit_next(). The tag says whether the call runs or is refused as late. */
struct admit_dispatch {
	enum { DISPATCH_NONE, DISPATCH_RUN, DISPATCH_LATE } kind;
	struct queue_entry *entry;
};

/**
 * Returns the next queued call for a free slot, or one to be refused because its deadline has
 * passed, its answer would be too late or the target takes no calls. Call it until DISPATCH_NONE.
 */
struct admit_dispatch admit_next(struct admit *admit, struct instant now);

struct admit_counts {
	int slots; /**< slots that are used: those announced, fewer after shed calls */
	int running;
	int queued;
	int late;	      /**< queued calls that can't meet their objective */
	int64_t service_us;   /**< smoothed service time of a call */
	double slowness;      /**< estimated service time over the usual one, 1 or more */
	enum cold_cause cold; /**< why the target's calls are limited now; COLD_NOT: they aren't */
	bool evacuated;
};
struct admit_counts admit_count(struct admit *admit, struct instant now);

#endif
