/**
 * @file
 * The first start of a whole fleet. Some things one node has to do first, and the others then learn
 * the result from it: list the nodes, and read the newest configuration. A node that knows no other
 * can't know its turn, so it draws one; few draw an early one.
 *
 * Load pattern: 295 nodes that start within 0.3 s, ten seconds before the first call. Each of them
 * listed all nodes and read the configuration, 1,180 of the 2,639 calls of a quiet day.
 */
#ifndef CORE_STARTUP_H
#define CORE_STARTUP_H

#include <stdint.h>

#include "base/rng.h"

/** Returns how many microseconds to wait before listing the nodes, unless another node is known. */
int64_t startup_list_delay_us(struct rng *rng);
/** Returns how many microseconds to wait before reading the log, unless a node has its content. */
int64_t startup_log_delay_us(struct rng *rng);

#endif
