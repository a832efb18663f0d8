/**
 * @file
 * Table of requests that had a part in crashes of targets. Two different crashes quarantine a
 * fingerprint for a time, wherever they happened.
 */
#ifndef CORE_POISON_H
#define CORE_POISON_H

#include <apr_pools.h>

#include "core/message.h"

/** How long a fingerprint is remembered and refused after its last crash. */
#define POISON_MEMORY_US (10 * 60 * US_PER_S)

struct poison;

struct poison *poison_new(apr_pool_t *pool);
void poison_free(struct poison *poison);

/** Joins a mark; true if it was news. Takes LOCK_POISON. */
bool poison_merge(struct poison *poison, const struct poison_mark *mark, struct instant now);
/** Whether two crashes implicate the fingerprint. Takes LOCK_POISON. */
bool poison_is_quarantined(struct poison *poison, uint64_t fingerprint, struct instant now);

#endif
