/**
 * @file
 * How full the receiving direction of the VM's network line is. Behind bytes that fill it, those of
 * all other connections are late: their silence says nothing about the peers.
 */
#ifndef CORE_LINE_H
#define CORE_LINE_H

#include <apr_pools.h>

#include "base/clock.h"

struct line;

/** Creates the record of a line of @p mbps megabits a second; 0: not known, and never full. */
struct line *line_new(double mbps, apr_pool_t *pool);
void line_free(struct line *line);

/** Counts bytes that were read from any connection. Takes LOCK_LINE. */
void line_count(struct line *line, size_t bytes, struct instant now);
/** Returns whether the bytes of the last half second filled most of the line. Takes LOCK_LINE. */
bool line_is_full(struct line *line, struct instant now);

#endif
