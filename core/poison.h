/**
 * @file
 * Table of poison requests: requests that were in flight when a target crashed. Two different
 * crashes on any nodes quarantine a request's fingerprint for a time. Nodes that hold different
 * marks exchange them, so merges commute; the hash covers what a merge can change.
 */
#ifndef CORE_POISON_H
#define CORE_POISON_H

#include <apr_pools.h>

#include "core/message.h"

/** How long a fingerprint is remembered and refused after its last crash. */
#define POISON_MEMORY_US (10 * 60 * US_PER_S)

enum { POISON_ENTRIES_MAX = 4096 };

struct poison;

struct poison *poison_new(apr_pool_t *pool);
void poison_free(struct poison *poison);

/**
 * Merges a mark; true if other nodes may lack what it changed: it added a crash or extended the
 * quarantine. In a full table the entry with the fewest crashes that expires first gives way, or
 * the mark is dropped if it is that one itself. Takes LOCK_POISON.
 */
bool poison_merge(struct poison *poison, const struct poison_mark *mark, struct instant now);
/** True if two crashes are known for the fingerprint. Takes LOCK_POISON. */
bool poison_is_quarantined(struct poison *poison, uint64_t fingerprint, struct instant now);

/** Returns a hash of all marks, never MARKS_HASH_NONE. Takes LOCK_POISON. */
uint64_t poison_hash(struct poison *poison, struct instant now);
/** Stores the hash of each of the MARK_BUCKETS parts of the table. Takes LOCK_POISON. */
void poison_buckets(struct poison *poison, uint64_t *buckets, struct instant now);
/**
 * Returns the marks of the parts whose hashes differ from @p buckets, at most @p max, those of
 * quarantined requests first; the caller owns the array of struct poison_mark. Entries that expire
 * soon are left out. @p rng picks where to start if not all fit. Takes LOCK_POISON.
 */
GArray *poison_differing(struct poison *poison, const uint64_t *buckets, guint max, struct rng *rng,
			 struct instant now);
/** Returns how many marks the full table has lost since the last call. Takes LOCK_POISON. */
int poison_take_lost(struct poison *poison);

#endif
