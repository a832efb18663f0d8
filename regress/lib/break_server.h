/**
 * @file
 * A server on the loopback address that breaks its answers off. It runs in its own thread.
 */
#ifndef REGRESS_BREAK_SERVER_H
#define REGRESS_BREAK_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

/** What the server does with the connection after an answer. */
enum break_end {
	BREAK_KEEP,
	BREAK_FIN,
	BREAK_RESET,	     /**< once the bytes have arrived */
	BREAK_RESET_AT_ONCE, /**< while the client may still be within a call that sends */
	BREAK_FIN_RESET,     /**< ends its side in order, then resets the connection */
};

/** What the server sends. */
struct break_plan {
	struct str first; /**< answer to a request with the id 1, which keeps its connection */
	struct str early; /**< sent as soon as the head of another request has come */
	enum break_end early_end; /**< behind .early; after BREAK_FIN requests are still read */
	struct str bytes;	  /**< sent once another request is complete */
	enum break_end end;
};

/** Requests since the plan was set, without those with the id 1. */
struct break_counts {
	int requests;
	int on_kept; /**< of these on a connection that carried another request before */
};

struct break_server;

struct break_server *break_server_new(void);
void break_server_free(struct break_server *server);
uint16_t break_server_port(const struct break_server *server);
/** Copies the plan and sets the counts to zero. */
void break_server_set(struct break_server *server, const struct break_plan *plan);
struct break_counts break_server_counts(struct break_server *server);
/** Waits up to a second until .early and .early_end are carried out; false if they are not. */
bool break_server_wait_early(struct break_server *server);

/** Returns the length of the final head of @p answer, interim heads before it included. */
size_t break_head_len(struct str answer);

#endif
