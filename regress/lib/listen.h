/**
 * @file
 * Sockets of the servers that tests run in their own process.
 */
#ifndef REGRESS_LISTEN_H
#define REGRESS_LISTEN_H

#include <stdbool.h>
#include <stdint.h>

/** Listens on a free port of the loopback address; ends the test on failure. Sets *port. */
int listen_on_loopback(uint16_t *port);

enum { SILENT_CONNECTIONS_MAX = 16 };

/** A socket that listens, but neither accepts nor refuses: its accept queue is full. */
struct silent_listener {
	int fd;
	uint16_t port;
	int waiting[SILENT_CONNECTIONS_MAX];
	int count;
};

/** Listens on a free port of the loopback address; ends the test on failure. */
void silent_listener_open(struct silent_listener *listener);
/** Opens a connection to a listener; returns whether it is in the accept queue. */
bool silent_listener_connect(struct silent_listener *listener);
/** Fills the accept queue; ends the test on failure. */
void silent_listener_fill(struct silent_listener *listener);
void silent_listener_close(struct silent_listener *listener);

#endif
