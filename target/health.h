/**
 * @file
 * Question for the health of the target on this VM.
 */
#ifndef TARGET_HEALTH_H
#define TARGET_HEALTH_H

#include "base/str.h"
#include "core/dialect.h"
#include "target/call.h"

/** Answer of a target to the question for its health. */
struct target_health {
	bool healthy; /**< false for any other answer than 200, that of another target, none */
	bool states_warmup; /**< it says whether the target is cold */
	bool cold;
};

/**
 * Asks the target at @p endpoint whether it is healthy and not leaving. Blocks for up to 300 ms.
 *
 * @param path  path of the health answer
 */
struct target_health target_ask_health(const struct dialect *dialect,
				       const struct target_endpoint *endpoint, struct str path);

#endif
