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

/**
 * The state of the target on this VM. All zero: no target is known. A target becomes known as ready
 * by its own answer, not by heartbeats: all of them may be late ones of a target that has left.
 */
struct registration {
	bool known;
	bool leaving;	   /**< permanent: the incarnation takes no new work */
	bool deregistered; /**< the target deregistered */
	struct heartbeat newest;
	bool doubted;		/**< .doubt holds */
	struct heartbeat doubt; /**< newest one of an incarnation that is not known */
};

enum heartbeat_result {
	HEARTBEAT_STALE,    /**< outdated or a duplicate: ignored */
	HEARTBEAT_ACCEPTED, /**< heartbeat from the known incarnation */
	HEARTBEAT_REPLACED, /**< the incarnation is the known one now */
	HEARTBEAT_DOUBTED   /**< takes effect once the target confirms it: registration_confirm() */
};

/** Applies an announcement to a registration. */
enum heartbeat_result registration_apply(struct registration *registration,
					 const struct heartbeat *heartbeat);
/**
 * Makes the incarnation of a doubted heartbeat the known one: the target has answered after that
 * heartbeat that it is this one, healthy and not leaving.
 *
 * Returns HEARTBEAT_STALE if the incarnation has left, or another one was heard of, since.
 */
enum heartbeat_result registration_confirm(struct registration *registration,
					   const struct heartbeat *heartbeat);

#endif
