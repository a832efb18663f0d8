/**
 * @file
 * Loopback TCP proxy that injects network faults which cannot be caused by signals to a process.
 */
#ifndef REGRESS_PROXY_H
#define REGRESS_PROXY_H

#include <stdint.h>

enum proxy_mode {
	PROXY_PASS,
	PROXY_DELAY,	    /**< each block of bytes is delayed by PROXY_DELAY_MS */
	PROXY_RESET,	    /**< open and new connections are reset */
	PROXY_DROP_ALL,	    /**< bytes are discarded in both directions, connections stay open */
	PROXY_DROP_REPLIES, /**< requests are forwarded, replies are discarded */
	PROXY_MODE_COUNT,
};

enum { PROXY_DELAY_MS = 150 };

struct proxy;

/** Listens on a port chosen by the kernel and forwards each connection to @p port on loopback. */
struct proxy *proxy_new(int port);
void proxy_free(struct proxy *proxy);
int proxy_port(const struct proxy *proxy);
/**
 * Sets the mode of all connections, from their next block of bytes on. A connection that has
 * discarded bytes discards all further ones as well.
 */
void proxy_set(struct proxy *proxy, enum proxy_mode mode);

#endif
