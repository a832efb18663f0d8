/**
 * @file
 * A small blocking HTTP client for tests.
 */
#ifndef REGRESS_HTTP_H
#define REGRESS_HTTP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

/** What a request got; free with http_clear(). */
struct http_reply {
	long status; /**< 0: no answer */
	bool whole;  /**< the body came to its end */
	struct strbuf body;
	char verdict[32]; /**< of the header Godwithitch-Verdict */
	char version[32]; /**< of the header Target-Version */
	int64_t took_us;
};

struct http_options {
	const char *method;	/**< NULL: GET */
	const char *headers[6]; /**< "Name: value", NULL at the end */
	struct str body;
	int64_t upload_bytes; /**< a body of this many bytes of a pattern instead */
	long timeout_ms;      /**< 0: 10 s */
	bool discard;	      /**< count the body, do not keep it */
	int64_t discarded;    /**< out */
	bool check_pattern;   /**< compare with the target's pattern */
	int64_t wrong;	      /**< out: bytes that differ from it */
	int slow_after_bytes; /**< from there on read slowly */
};

struct http_client;

/** A client keeps its connection open between requests. */
struct http_client *http_new(void);
void http_free(struct http_client *client);
struct http_reply http_do(struct http_client *client, const char *url,
			  struct http_options *options);
void http_clear(struct http_reply *reply);
/** A single GET with a client of its own. */
struct http_reply http_get(const char *url);

#endif
