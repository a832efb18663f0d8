/**
 * @file
 * Logger of numbered events. A line holds time, level, number, name, then key=value fields.
 */
#ifndef BASE_LOGGER_H
#define BASE_LOGGER_H

#include "base/events.h"

/** Opens the log; "-" is standard error, "stdout" standard output. False if it can't be opened.
 *  After apr_initialize(). */
bool logger_open(const char *path);
/** Opens the same path again, after it was moved away. */
void logger_reopen(void);
/** Writes what waits, for a moment at most. */
void logger_close(void);

/** Notes one event. @p format gives the fields, as in "offset=%ld". Takes LOCK_LOG; never waits for
 *  the log's reader. */
void logger_event(enum log_event event, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

#endif
