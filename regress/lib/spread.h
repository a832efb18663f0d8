/**
 * @file
 * Measures configuration distribution in a simulated fleet, for measure and capacity.
 */
#ifndef REGRESS_SPREAD_H
#define REGRESS_SPREAD_H

#include "regress/lib/sim.h"

/** Measured figures of a fleet. */
struct spread_figures {
	int size;	     /**< nodes */
	double worst_ms;     /**< until the last node held a change: maximum of 5, -1: over 60 s */
	double messages;     /**< per node and change */
	double rest_bytes;   /**< per node and second, both directions, without changes */
	double change_bytes; /**< likewise at 4,300 changes per day */
	double rest_cpu;     /**< cores per node, without changes */
	double change_cpu;   /**< likewise at 4,300 changes per day */
	double memory_kb;    /**< heap per node */
	double log_reads;    /**< per minute, by the whole fleet, without changes */
	char violation[256]; /**< see sim_violation() */
};

/** Runs the measurement with @p size nodes. */
struct spread_figures spread_measure(int size);

#endif
