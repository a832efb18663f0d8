/**
 * @file
 * Simulation of a move under traffic: one service with old and new targets, a behaviour of the new
 * version, and a fault of the environment.
 */
#ifndef REGRESS_MOVESIM_H
#define REGRESS_MOVESIM_H

#include "regress/lib/sim.h"

/** The fault of the environment during the move. */
enum movesim_fault {
	FAULT_NONE,
	FAULT_COLD,	       /**< new targets start cold */
	FAULT_SHARED,	       /**< both versions fail a third of their calls for five seconds */
	FAULT_AFTER_DONE,      /**< as FAULT_SHARED, after the move is done */
	FAULT_LOG_UNAVAILABLE, /**< the log is unavailable for the whole move */
	FAULT_NODE_DIES,       /**< a node with an old target dies */
	FAULT_NEW_TARGET_DIES, /**< one new target dies */
	FAULT_LOSS,	       /**< a tenth of all messages are lost */
	FAULT_COUNT,
	/* For separate tests; seeds do not select these. */
	FAULT_RESTART = FAULT_COUNT, /**< all nodes die and start again */
	FAULT_PARTITION, /**< one data centre is cut off from the others for 30 seconds */
};

const char *movesim_fault_name(enum movesim_fault fault);

struct movesim_options {
	uint64_t seed;
	enum movesim_fault fault;
	double failure_fraction;   /**< share of the calls that the new version fails */
	double slow_factor;	   /**< factor of the new version's service times; 0: 1 */
	bool one_route;		   /**< the new version is bad on one route of ten */
	double bad_after_fraction; /**< share of the time of the move after which it is bad */
	int calls_per_s;
	int move_s;	      /**< seconds from start to finish of the move */
	const char *switches; /**< text added to the file, such as "\"switches\": {...}," */
};

struct movesim_result {
	bool done;
	bool on_time;
	bool withdrawn;
	int step;
	double done_s;	    /**< after the start */
	double withdrawn_s; /**< after the start, or after the new version became bad */
	int calls;
	int calls_new;	   /**< calls that the new version ran */
	int calls_new_bad; /**< calls that the new version ran while it was bad */
	int failed;
	char violation[256];
};

struct movesim_result movesim_run(const struct movesim_options *options);

#endif
