/**
 * @file
 * A small HTTP endpoint with one thread, for what is asked seldom: control and announcements.
 */
#ifndef BASE_ENDPOINT_H
#define BASE_ENDPOINT_H

#include <glib.h>
#include <microhttpd.h>
#include <stdint.h>

#include "base/str.h"

struct endpoint_options {
	uint32_t ipv4;		  /**< host byte order */
	uint16_t port;		  /**< 0: from the kernel */
	const char *purpose;	  /**< for the error, as in "the control address" */
	unsigned int connections; /**< at once */
	MHD_AccessHandlerCallback handle;
	MHD_RequestCompletedCallback completed; /**< NULL if nothing is kept for a request */
	void *context;
};

/** Listens. Returns NULL and sets @p error (G_FILE_ERROR) if it can't. */
struct MHD_Daemon *endpoint_start(const struct endpoint_options *options, GError **error);
uint16_t endpoint_port(struct MHD_Daemon *daemon);

/** An argument of the query; empty if it is not there. */
struct str endpoint_argument(struct MHD_Connection *connection, const char *name);

/** Whether the request's head and body have come; the body is dropped. */
bool endpoint_ready(size_t *data_size, void **state);

#endif
