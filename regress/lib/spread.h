/**
 * @file
 * One measurement of distribution over core instances: shared by measure and capacity.
 */
#ifndef REGRESS_SPREAD_H
#define REGRESS_SPREAD_H

#include "regress/lib/sim.h"

/** What a fleet of some size did. */
struct spread_figures {
	int size;
	double worst_ms;     /**< until the last node held a change; the worst of five */
	double messages;     /**< a node, for one change */
	double rest_bytes;   /**< a node a second, both directions */
	double change_bytes; /**< the same at 4,300 changes a day */
	double rest_cpu;     /**< share of a core */
	double change_cpu;
	double memory_kb; /**< a node */
	double log_reads; /**< a minute, of the whole fleet */
	char violation[256];
};

struct spread_figures spread_measure(int size);

#endif
