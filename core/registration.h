/**
 * @file
 * Decides which announcements of a target take effect. Announcements may arrive late, out of order
 * or twice, also from an incarnation that has ended. The owner's lock protects a registration.
 */
#ifndef CORE_REGISTRATION_H
#define CORE_REGISTRATION_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

/** The fields of an announcement that decide whether it takes effect. */
struct beat {
	struct label id;  /**< id of the incarnation; empty if targets have none */
	int64_t born_ms;  /**< start of the incarnation, wall clock; 0: not stated */
	int64_t sequence; /**< increases within an incarnation; 0: not stated */
	enum { BEAT_READY, BEAT_LEAVING, BEAT_GOODBYE } kind;
};

/** The known state of the target on this VM. All zero: no target is known. */
struct registration {
	bool known;
	bool leaving;	   /**< permanent: the incarnation takes no new work */
	bool deregistered; /**< the target deregistered */
	struct beat newest;
};

enum beat_result {
	BEAT_STALE,   /**< outdated or a duplicate: ignored */
	BEAT_TAKEN,   /**< from the known incarnation */
	BEAT_REPLACED /**< from a new incarnation */
};

/** Applies an announcement to a registration. */
enum beat_result registration_take(struct registration *registration, const struct beat *heartbeat);

#endif
