/**
 * @file
 * Which of a target's announcements counts: they may arrive late, crossed or doubled, also those of
 * an incarnation that has ended. No lock of its own: its owner has one.
 */
#ifndef CORE_REGISTRATION_H
#define CORE_REGISTRATION_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

/** What orders an announcement among others. */
struct beat {
	struct label id;  /**< of the incarnation; empty where targets have none */
	int64_t born_ms;  /**< wall clock of its start; 0: not told */
	int64_t sequence; /**< grows with each announcement of an incarnation; 0: not told */
	enum { BEAT_READY, BEAT_LEAVING, BEAT_GOODBYE } kind;
};

/** The target that stands on this VM, as far as is known. Zero: none yet. */
struct registration {
	bool known;
	bool leaving; /**< for good: the incarnation takes no new work */
	bool gone;    /**< it said goodbye */
	struct beat newest;
};

enum beat_result {
	BEAT_STALE,   /**< older than what is known: changes nothing */
	BEAT_TAKEN,   /**< of the incarnation that is known */
	BEAT_REPLACED /**< of a new incarnation */
};

enum beat_result registration_take(struct registration *registration, const struct beat *beat);

#endif
