/**
 * @file
 * Measures configuration distribution in a simulated fleet, for measure and capacity.
 */
#ifndef REGRESS_DISTRIBUTION_H
#define REGRESS_DISTRIBUTION_H

#include "regress/lib/sim.h"

/** Measured figures of a fleet. */
struct distribution_figures {
	int nodes;
	double max_latency_ms; /**< time of a change to the last node: worst of 5; -1: over 60 s */
	double messages_per_change; /**< per node and change */
	double idle_bytes_per_s;    /**< per node and second, both directions, without changes */
	double loaded_bytes_per_s;  /**< per node and second, both ways, at 4,300 changes per day */
	double idle_cpu;	    /**< cores per node, without changes */
	double loaded_cpu;	    /**< cores per node, at 4,300 changes per day */
	double memory_kb;	    /**< heap per node */
	double log_reads_per_min;   /**< per minute, by the whole fleet, without changes */
	char violation[256];	    /**< see sim_violation() */
};

/** Runs the measurement with @p size nodes. */
struct distribution_figures distribution_measure(int size);

#endif
