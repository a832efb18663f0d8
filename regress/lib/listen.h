/**
 * @file
 * Sockets of the servers that tests run in their own process.
 */
#ifndef REGRESS_LISTEN_H
#define REGRESS_LISTEN_H

#include <stdint.h>

/** Listens on a free port of the loopback address; ends the test on failure. Sets *port. */
int listen_on_loopback(uint16_t *port);

#endif
