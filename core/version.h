/**
 * @file
 * Versions of the configuration. A version is a position in the log, and after the log was restored
 * from a copy, positions go back; so a version also states how often that has happened. Versions
 * only rise: each one of a later era is greater than all of an earlier one.
 *
 * In the first era a version is the position itself, as with a log that is never restored.
 */
#ifndef CORE_VERSION_H
#define CORE_VERSION_H

#include <stdint.h>

/* An id of a move is a version times MOVES_PER_FILE, so that a version has 53 bits. */
enum {
	VERSION_POSITION_BITS = 36, /* 70 years at 30 records a second */
	VERSION_ERA_MAX = (1 << 17) - 1,
};

/** Returns the version of a position, from 0 on, in an era up to VERSION_ERA_MAX. */
int64_t version_make(int64_t era, int64_t position);
/** Returns how often the log was restored before this version. */
int64_t version_era(int64_t version);
/** Returns the position: how many records the log has up to this version. */
int64_t version_position(int64_t version);

#endif
