/**
 * @file
 * Moves under simulated traffic: one service, old and new targets, a behaviour of the new version
 * and a fault of the environment.
 */
#ifndef REGRESS_MOVESIM_H
#define REGRESS_MOVESIM_H

#include "regress/lib/sim.h"

/** What the environment does meanwhile. */
enum movesim_fault {
	FAULT_NONE,
	FAULT_COLD,	       /**< new targets start cold */
	FAULT_SHARED,	       /**< both versions fail a third of their calls for five seconds */
	FAULT_AFTER_DONE,      /**< the same once the move is done */
	FAULT_LOG_OUT,	       /**< the log is out for the whole move */
	FAULT_NODE_DIES,       /**< a node with an old target dies */
	FAULT_NEW_TARGET_DIES, /**< one of the new targets dies */
	FAULT_LOSS,	       /**< a tenth of all messages is lost */
	FAULT_COUNT,
	/* For tests of their own, beyond those that seeds take in turn. */
	FAULT_RESTART = FAULT_COUNT, /**< all nodes die and start again */
	FAULT_PARTITION, /**< a data centre is apart from the others for half a minute */
};

const char *movesim_fault_name(enum movesim_fault fault);

struct movesim_options {
	uint64_t seed;
	enum movesim_fault fault;
	double fail_share;  /**< of the new version */
	double slow_factor; /**< 0: 1 */
	bool one_route;	    /**< of ten */
	double bad_after;   /**< share of the move's time after which it is bad */
	int calls_per_s;
	int move_s;	      /**< from start to finish */
	const char *switches; /**< more text for the file, as "\"switches\": {...}," */
};

struct movesim_result {
	bool done;
	bool on_time;
	bool withdrawn;
	int step;
	double done_s;	    /**< after the start */
	double withdrawn_s; /**< after the start, or after it turned bad */
	int calls;
	int calls_new;	   /**< that the new version served */
	int calls_new_bad; /**< that it served once it was bad */
	int failed;
	char violation[256];
};

struct movesim_result movesim_run(const struct movesim_options *options);

#endif
