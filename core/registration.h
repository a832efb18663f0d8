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
struct heartbeat {
	struct label id;    /**< id of the incarnation; empty if targets have none */
	int64_t started_ms; /**< start of the incarnation, wall clock; 0: not stated */
	int64_t sequence;   /**< increases within an incarnation; 0: not stated */
	enum { HEARTBEAT_READY, HEARTBEAT_LEAVING, HEARTBEAT_DEREGISTER } kind;
};

/** The known state of the target on this VM. All zero: no target is known. */
struct registration {
	bool known;
	bool leaving;	   /**< permanent: the incarnation takes no new work */
	bool deregistered; /**< the target deregistered */
	struct heartbeat newest;
};

enum heartbeat_result {
	HEARTBEAT_STALE,    /**< outdated or a duplicate: ignored */
	HEARTBEAT_ACCEPTED, /**< heartbeat from the known incarnation */
	HEARTBEAT_REPLACED  /**< heartbeat from a new incarnation */
};

/**
 * Returns whether a heartbeat may be a late one of a target that has left since: the node knows no
 * earlier one, as after its own restart. A later heartbeat of the same target is in no doubt.
 */
bool registration_is_in_doubt(const struct registration *registration,
			      const struct heartbeat *heartbeat);
/** Applies an announcement to a registration. */
enum heartbeat_result registration_apply(struct registration *registration,
					 const struct heartbeat *heartbeat);

#endif
