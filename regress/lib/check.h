/**
 * @file
 * Common includes and helpers of the unit tests.
 */
#ifndef REGRESS_CHECK_H
#define REGRESS_CHECK_H

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/str.h"

#define LABEL(literal) label_from(STR(literal))

/** Returns the instant @p s seconds after a fixed start. */
static inline struct instant instant_at_s(double s)
{
	return (struct instant){ 1000 * US_PER_S + (int64_t)(s * 1e6),
				 1796000000LL * US_PER_S + (int64_t)(s * 1e6) };
}

#endif
