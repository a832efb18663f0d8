/**
 * @file
 * State of a connection that is kept open for the next request.
 */
#ifndef BASE_SOCKET_H
#define BASE_SOCKET_H

#include <stdbool.h>

/** Returns whether an idle connection is open and has no bytes to read. Does not block. */
bool socket_is_quiet(int fd);

#endif
