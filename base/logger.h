/**
 * @file
 * Logger of numbered events. A line holds time, level, number, name, then key=value fields.
 */
#ifndef BASE_LOGGER_H
#define BASE_LOGGER_H

#include "base/events.h"

/** Opens the log; "-" is standard error. False if the file can't be opened. */
bool logger_open(const char *path);
/** Opens the same path again, after it was moved away. */
void logger_reopen(void);
void logger_close(void);

/** Writes one event. @p format gives the fields, as in "offset=%ld". Takes no lock. */
void logger_event(enum log_event event, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

#endif
