/**
 * @file
 * Times and deadlines. Code in core is passed a struct instant and never reads a clock.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

#define US_PER_MS 1000LL
#define US_PER_S  1000000LL

/** One moment on both clocks, in microseconds. */
struct instant {
	int64_t mono_us; /**< monotonic clock, for deadlines and intervals */
	int64_t wall_us; /**< since 1970 UTC, for times in configuration and logs */
};

/** A deadline on the monotonic clock, in microseconds; 0 means no deadline. */
struct deadline {
	int64_t at_us;
};

struct instant clock_now(void);

struct deadline deadline_after(struct instant now, int64_t us);
bool deadline_passed(struct deadline deadline, struct instant now);
/** Returns the remaining microseconds: 0 if passed, INT64_MAX without a deadline. */
int64_t deadline_remaining_us(struct deadline deadline, struct instant now);

/** Parses "2026-12-04T10:00:00Z"; false if @p s is anything else. */
bool clock_parse_utc(struct str s, int64_t *wall_us);
/** Appends @p wall_us in the format that clock_parse_utc() reads. */
void clock_format_utc(struct strbuf *out, int64_t wall_us);
/** As clock_format_utc(), with milliseconds. */
void clock_format_utc_ms(struct strbuf *out, int64_t wall_us);

#endif
