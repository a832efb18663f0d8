/**
 * @file
 * An HTTP server with one thread, for infrequent requests: control and announcements. Requests of a
 * connection are answered one after the other, and nothing more is read while an answer waits to be
 * written, so that a peer that doesn't read holds one answer at most.
 */
#ifndef BASE_ENDPOINT_H
#define BASE_ENDPOINT_H

#include <glib.h>
#include <stdint.h>

#include "base/str.h"

/** A whole request; its strings are valid during the handler's call. */
struct endpoint_request {
	struct str method;
	struct str path;  /**< decoded, without the query */
	struct str query; /**< as it came; see endpoint_argument() */
	struct str body;  /**< empty if it was longer than the limit */
	bool body_too_long;
};

/** Answer to a request, which the handler sets. */
struct endpoint_answer {
	int status;		  /**< 200 if the handler sets none */
	const char *content_type; /**< a constant; text/plain if the handler sets none */
	struct strbuf fields;	  /**< whole lines of further header fields */
	struct strbuf body;
};

struct endpoint_options {
	uint32_t ipv4;	       /**< host byte order */
	uint16_t port;	       /**< 0: the kernel chooses one */
	const char *purpose;   /**< used in errors, as in "the control address" */
	guint connections;     /**< limit of concurrent connections; others wait */
	size_t body_max_bytes; /**< of a request; 0: bodies are discarded */
	/** Called in the server's thread. */
	void (*handle)(void *context, const struct endpoint_request *request,
		       struct endpoint_answer *answer);
	void *context;
};

struct endpoint;

/** Starts the server. Returns NULL and sets @p error (G_FILE_ERROR) if it can't listen. */
struct endpoint *endpoint_start(const struct endpoint_options *options, GError **error);
/** Waits for the end of a running handler, then closes all connections. */
void endpoint_stop(struct endpoint *endpoint);
/** Returns the port that the server listens on; 0 if it is not known. */
uint16_t endpoint_port(const struct endpoint *endpoint);

/** Appends the decoded value of an argument of the query to @p value; false if it is missing. */
bool endpoint_argument(const struct endpoint_request *request, struct str name,
		       struct strbuf *value);

#endif
