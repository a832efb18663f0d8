/**
 * @file
 * Whether a connection that is kept open can be used, and whether a new one can be opened.
 */
#ifndef BASE_SOCKET_H
#define BASE_SOCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/** Returns whether an idle connection is open and has no bytes to read. Does not block. */
bool socket_is_quiet(int fd);

enum socket_probe {
	SOCKET_ACCEPTED,
	SOCKET_REFUSED,	   /**< nobody listens at the address */
	SOCKET_UNANSWERED, /**< neither until the deadline, or no socket could be opened */
};

/** Opens a TCP connection and closes it. Blocks until its outcome or the deadline. */
enum socket_probe socket_probe(uint32_t ipv4, uint16_t port, struct deadline deadline);

#endif
