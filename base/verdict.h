/**
 * @file
 * What is known of a request after an attempt ended.
 */
#ifndef BASE_VERDICT_H
#define BASE_VERDICT_H

#include "base/str.h"

enum verdict {
	VERDICT_NOT_RUN,      /**< no byte of it reached a target: safe to repeat */
	VERDICT_MAY_HAVE_RUN, /**< unknown: only an idempotent request may be repeated */
	VERDICT_RAN,	      /**< a target answered it */
};

/** The name as the response header carries it. */
struct str verdict_name(enum verdict verdict);

/** Whether an attempt with this verdict may be repeated. */
bool verdict_allows_retry(enum verdict verdict, bool idempotent);

#endif
