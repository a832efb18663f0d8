/**
 * @file
 * HTTP exchanges by libcurl. libcurl reports success for an answer that ends within its head, so
 * nothing else in the product runs a transfer or reads a status: an answer is whole only if its
 * head and its body have ended as the protocol says.
 */
#ifndef BASE_TRANSFER_H
#define BASE_TRANSFER_H

#include <curl/curl.h>

#include "base/head.h"
#include "base/str.h"

/** How far a transfer came. */
enum transfer_end {
	TRANSFER_UNSENT,      /**< no byte of the request was sent */
	TRANSFER_UNANSWERED,  /**< bytes of the request were sent; no line of an answer came */
	TRANSFER_CUT_IN_HEAD, /**< the answer broke off before the end of its head */
	TRANSFER_MALFORMED,   /**< what came is no answer to this request */
	TRANSFER_CUT_IN_BODY, /**< the answer broke off behind its head */
	TRANSFER_WHOLE,
};

/** Returns the end's name for log lines. */
struct str transfer_end_name(enum transfer_end end);

/** What ended a transfer that is not whole. */
enum transfer_cause {
	TRANSFER_CONNECTION, /**< the connection, or what came on it */
	TRANSFER_DEADLINE,
	TRANSFER_HANDLER, /**< the handler returned false */
};

/** Result of a transfer; .end selects the member of the union. */
struct transfer_result {
	enum transfer_end end;
	enum transfer_cause cause; /**< unless the answer is whole */
	const char *reason;	   /**< the same as text; a constant */
	union {
		struct {
			int status;
			enum head_framing framing;
			int64_t body_bytes;
			/** The connection, which may serve again; CURL_SOCKET_BAD if it is closed.
			 */
			curl_socket_t fd;
		} whole;
		struct {
			enum head_framing framing;
			int64_t content_length; /**< -1: not stated */
			size_t head_bytes;
			int64_t body_bytes;
		} cut_in_body;
		struct {
			size_t head_bytes; /**< in whole lines, interim heads included */
		} cut_in_head;
		struct {
			size_t head_bytes; /**< in whole lines, the malformed one included */
		} malformed;
	};
};

enum transfer_event_kind {
	TRANSFER_HEAD, /**< the whole head; once, before the body */
	TRANSFER_BODY, /**< part of the body */
	TRANSFER_READ, /**< fill up to .read.cap bytes of the request's body */
	/** The request is sent again, since its kept connection ended without an answer: the body
	 * is read from its start if the handler sets .rewound. */
	TRANSFER_REWIND,
	TRANSFER_CHECK, /**< several times a second; false if nobody waits for the answer */
};

/** Event of a transfer; .kind selects the member of the union. */
struct transfer_event {
	enum transfer_event_kind kind;
	union {
		struct {
			const struct head *head; /**< valid until the transfer has ended */
			bool foreign; /**< set by the handler: no answer to this request */
		} head;
		struct str bytes;
		struct {
			char *into;
			size_t cap;
			size_t len; /**< set by the handler; 0: the body is complete */
		} read;
		bool rewound;
	};
};

/** Options of a transfer. The handler returns false to end it. */
struct transfer_options {
	CURL *curl;	       /**< with the URL, the method, the fields and the limits set */
	CURLM *multi;	       /**< holds the connections; NULL: curl's own */
	struct str unique;     /**< a field that may not come with two values; empty: none */
	bool no_body;	       /**< the request is a HEAD */
	size_t head_max_bytes; /**< interim heads and trailers included */
	bool (*handle)(void *context, struct transfer_event *event);
	void *context;
};

/**
 * Runs a transfer and blocks until it ends. Its handle and connection may serve again only after
 * TRANSFER_WHOLE; the caller ends them otherwise.
 */
struct transfer_result transfer_run(const struct transfer_options *options);

#endif
