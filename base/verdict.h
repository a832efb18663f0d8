/**
 * @file
 * Whether a request has run, as known after an attempt ended.
 */
#ifndef BASE_VERDICT_H
#define BASE_VERDICT_H

#include "base/str.h"

enum verdict {
	VERDICT_NOT_RUN,      /**< no byte of it reached a target, so it is safe to repeat */
	VERDICT_MAY_HAVE_RUN, /**< unknown; only an idempotent request may be repeated */
	VERDICT_RAN,	      /**< a target answered it */
};

/** Returns the name that the response header carries. */
struct str verdict_name(enum verdict verdict);

/** Returns whether a request with this verdict may be repeated. */
bool verdict_allows_retry(enum verdict verdict, bool idempotent);

#endif
