/**
 * @file
 * Small blocking HTTP client for tests.
 */
#ifndef REGRESS_HTTP_H
#define REGRESS_HTTP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

/** Result of a request; free with http_reply_clear(). */
struct http_reply {
	long status;   /**< HTTP status, 0 if there was no response */
	bool complete; /**< the full response was received */
	struct strbuf body;
	char verdict[32]; /**< value of the header Godwithitch-Verdict */
	char version[32]; /**< value of the header Target-Version */
	int64_t elapsed_us;
};

struct http_options {
	const char *method;	/**< GET if NULL */
	const char *headers[6]; /**< "Name: value"; NULL ends the list */
	struct str body;
	int64_t upload_bytes;	  /**< if not 0, send this many bytes 'u' instead of body */
	long timeout_ms;	  /**< 10 s if 0 */
	bool discard;		  /**< do not store the response body */
	int64_t received_bytes;	  /**< out: bytes of the response body received */
	bool check_pattern;	  /**< compare the response body with the target's pattern */
	int64_t mismatched_bytes; /**< out: bytes that differ from the pattern */
	int slow_after_bytes;	  /**< if not 0, wait 5 ms for each block after this many bytes */
};

struct http_client;

/** Creates a client, which keeps its connection open between requests. */
struct http_client *http_client_new(void);
void http_client_free(struct http_client *client);
struct http_reply http_do(struct http_client *client, const char *url,
			  struct http_options *options);
void http_reply_clear(struct http_reply *reply);
/** Sends a single GET request with a new client. */
struct http_reply http_get(const char *url);

#endif
