/**
 * @file
 * Inside of the table of accepted configuration, for history.c and history_pull.c. All under
 * LOCK_HISTORY.
 */
#ifndef CORE_HISTORY_TABLE_H
#define CORE_HISTORY_TABLE_H

#include "base/lockorder.h"
#include "core/history.h"

enum {
	KEPT_RECORDS = 256,
	KEPT_BYTES = 4 << 20,
};

struct kept {
	int64_t offset;
	struct change *change;
	struct judgement judgement;
};

/** The difference that was asked for last: peers mostly ask for the same one. */
struct last_delta {
	int64_t base;
	int64_t offset;
	struct delta *delta;
};

struct history {
	struct lock lock;
	struct config *config;
	GQueue *kept; /* struct kept, oldest first, contiguous up to config->version */
	size_t kept_bytes;
	struct last_delta last_delta;
};

/** Keeps a judged record for peers who are behind. */
void history_keep(struct history *history, int64_t offset, struct change *change,
		  const struct judgement *judgement);
/** Whether the records up to a snapshot can be told from it: each of its files replaces what was
 *  there, and none is gone. */
bool history_can_bridge(const struct config *from, const struct config *to);
/** Keeps what stood between an older configuration and a snapshot, so that peers who are behind
 *  get records still, and only what has changed. */
void history_bridge(struct history *history, const struct config *from, const struct config *to);

#endif
