/**
 * @file
 * An HTTP server with one thread, for infrequent requests: control and announcements.
 */
#ifndef BASE_ENDPOINT_H
#define BASE_ENDPOINT_H

#include <glib.h>
#include <microhttpd.h>
#include <stdint.h>

#include "base/str.h"

struct endpoint_options {
	uint32_t ipv4;		  /**< host byte order */
	uint16_t port;		  /**< 0: the kernel chooses one */
	const char *purpose;	  /**< used in errors, as in "the control address" */
	unsigned int connections; /**< limit of concurrent connections */
	MHD_AccessHandlerCallback handle;
	MHD_RequestCompletedCallback completed; /**< NULL if requests have no state */
	void *context;
};

/** Starts the server. Returns NULL and sets @p error (G_FILE_ERROR) if it can't listen. */
struct MHD_Daemon *endpoint_start(const struct endpoint_options *options, GError **error);
/** Returns the port that the server listens on; 0 if it is not known. */
uint16_t endpoint_port(struct MHD_Daemon *daemon);

/** Returns an argument of the query string; empty if it is missing. */
struct str endpoint_argument(struct MHD_Connection *connection, const char *name);

/** Returns whether the complete request has been received. Its body is discarded. */
bool endpoint_request_complete(size_t *data_size, void **state);

#endif
