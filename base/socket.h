/**
 * @file
 * Opening TCP connections without blocking, and whether one that is kept open can be used.
 */
#ifndef BASE_SOCKET_H
#define BASE_SOCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/** Returns whether an idle connection is open and has no bytes to read. Does not block. */
bool socket_is_quiet(int fd);

/**
 * Begins to open a TCP connection, without blocking.
 *
 * @param error  0 if the connection is open, EINPROGRESS if socket_wait_open() has to be called,
 *               otherwise what failed
 * @return its descriptor, which does not block, or -1 if there is none
 */
int socket_open(uint32_t ipv4, uint16_t port, int *error);
/** Waits for the outcome of socket_open() and returns it as there; EINPROGRESS past @p deadline. */
int socket_wait_open(int fd, struct deadline deadline);
/** Waits for @p events of poll(), for an error or for @p deadline; returns the events. */
short socket_wait(int fd, short events, struct deadline deadline);

/** Sends a reset at once, so that the peer doesn't take the end of the connection for that of a
 * body; the descriptor stays open. Returns false if the system refuses. */
bool socket_reset(int fd);

enum socket_probe {
	SOCKET_ACCEPTED,
	SOCKET_REFUSED,	   /**< nobody listens at the address */
	SOCKET_UNANSWERED, /**< neither until the deadline, or no socket could be opened */
};

/** Opens a TCP connection and closes it. Blocks until its outcome or the deadline. */
enum socket_probe socket_probe(uint32_t ipv4, uint16_t port, struct deadline deadline);

#endif
