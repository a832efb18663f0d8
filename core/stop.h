/**
 * @file
 * The times of a planned stop. A supervisor kills the process when the time of a stop is over: what
 * can't end before is answered by the node itself, and these answers need time to leave.
 */
#ifndef CORE_STOP_H
#define CORE_STOP_H

#include "base/clock.h"

/** Options of a stop, in microseconds. */
struct stop_options {
	int64_t within_us; /**< time until the process is killed */
	int64_t notice_us; /**< new requests are accepted this long, if the stop lasts as long */
};

/** The deadlines of a stop, in order. */
struct stop_plan {
	struct deadline notice_ends_at; /**< new requests are refused from then on */
	struct deadline queue_ends_at;	/**< calls that still wait for a slot go to other targets */
	struct deadline work_ends_at;	/**< targets have answered by then */
	struct deadline answer_at;	/**< callers that still wait get an answer of the node */
	struct deadline exit_at;	/**< the process exits, even with answers unsent */
	struct deadline log_ends_at;	/**< log lines that are not written by then are lost */
};

/** Returns the deadlines of a stop that begins at @p now. */
struct stop_plan stop_plan_at(const struct stop_options *options, struct instant now);
/**
 * Returns when a node that tells the others at @p now that it leaves may exit at the earliest, even
 * if nothing is in flight: until they have all heard, they pass calls on to it. A call that it
 * refuses goes to another target; one that it has not read when it exits may have run.
 */
struct deadline stop_leave_at(const struct stop_plan *plan, struct instant now);
/** Returns the deadline of a target's work on a call with @p deadline. */
struct deadline stop_bound(const struct stop_plan *plan, struct deadline deadline);

#endif
