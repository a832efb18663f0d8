/**
 * @file
 * Internals of the table of accepted configuration, shared by history.c and history_pull.c.
 * LOCK_HISTORY protects all of it.
 */
#ifndef CORE_HISTORY_TABLE_H
#define CORE_HISTORY_TABLE_H

#include "base/lockorder.h"
#include "core/history.h"

enum {
	RETAINED_RECORDS_MAX = 256,
	RETAINED_BYTES_MAX = 4 << 20,
	DELTAS_CACHED = 4, /* of the newest editions, with and without a base */
};

/** A processed record that is retained for peers that are behind. */
struct retained_record {
	int64_t offset;
	struct change *change;
	struct apply_result result;
};

/** A delta that was computed or received, cached because most peers need the same one. */
struct cached_delta {
	int64_t base;
	int64_t offset;
	struct delta *delta;
};

struct history {
	struct lock lock;
	struct config *config;
	GQueue *retained; /* struct retained_record, by offset, contiguous up to config->version */
	size_t retained_bytes;
	struct cached_delta deltas[DELTAS_CACHED]; /* a ring */
	int next_delta;				   /* slot that is replaced next */
};

/** Retains a record for peers that are behind. LOCK_HISTORY is held. */
void history_retain(struct history *history, int64_t offset, struct change *change,
		    const struct apply_result *result);
/** Returns whether the records up to a snapshot can be synthesised from it: each newer file
 * replaces any version, and no file is missing. */
bool history_can_synthesise(const struct config *from, const struct config *to);
/** Retains synthesised records for the offsets between an older configuration and a snapshot, so
 *  that peers that are behind can pull only what changed. LOCK_HISTORY is held. */
void history_synthesise(struct history *history, const struct config *from,
			const struct config *to);

#endif
