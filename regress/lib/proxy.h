/**
 * @file
 * A loopback proxy that harms the connections through it, for faults of the network that signals
 * can't make.
 */
#ifndef REGRESS_PROXY_H
#define REGRESS_PROXY_H

#include <stdint.h>

enum proxy_mode {
	PROXY_PASS,
	PROXY_DELAY,   /**< each block of bytes comes PROXY_DELAY_MS later */
	PROXY_RESET,   /**< open connections are reset, new ones as well */
	PROXY_SILENT,  /**< bytes come in and go nowhere, also of connections open already */
	PROXY_ONE_WAY, /**< what is asked arrives, the answers are lost */
	PROXY_MODES,
};

enum { PROXY_DELAY_MS = 150 };

struct proxy;

/** Listens on a port of its own and connects to @p port for each connection. */
struct proxy *proxy_new(int port);
void proxy_free(struct proxy *proxy);
int proxy_port(const struct proxy *proxy);
/** For all connections, from the next block of bytes on. What a harmed one lost stays lost. */
void proxy_set(struct proxy *proxy, enum proxy_mode mode);

#endif
