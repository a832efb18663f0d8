/**
 * @file
 * Question for the health of the target on this VM.
 */
#ifndef TARGET_HEALTH_H
#define TARGET_HEALTH_H

#include "base/str.h"
#include "core/dialect.h"
#include "target/call.h"

/**
 * Asks the target at @p endpoint whether it is healthy and not leaving. Blocks for up to 300 ms.
 *
 * @param path  path of the health answer
 * Returns false for any other answer than 200, for the answer of another target, and without one.
 */
bool target_is_healthy(const struct dialect *dialect, const struct target_endpoint *endpoint,
		       struct str path);

#endif
