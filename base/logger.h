/**
 * @file
 * Log of numbered events. A line holds time, level, number and name, then key=value fields.
 */
#ifndef BASE_LOGGER_H
#define BASE_LOGGER_H

#include "base/clock.h"
#include "base/events.h"

/** Opens the log: a file, "-" for standard error or "stdout" for standard output. Returns false if
 *  it can't be opened. Call after apr_initialize(). */
bool logger_open(const char *path);
/** Opens the same path again, after the file was rotated. */
void logger_reopen(void);
/** Writes the pending lines and closes the log; gives up after 200 ms, or at @p deadline if that is
 *  earlier, if the reader is stuck. */
void logger_close(struct deadline deadline);

/** Logs one event. @p format gives the fields, as in "offset=%ld". Takes LOCK_LOG. Never waits for
 *  the log's reader: a line that does not fit in the buffer is dropped. */
void logger_event(enum log_event event, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

#endif
