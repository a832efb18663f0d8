/**
 * @file
 * Reader of an HTTP answer: its head, the bytes of its body, and its end. It has no I/O. An answer
 * is whole only if its head and its body have ended as the protocol says.
 */
#ifndef BASE_RESPONSE_H
#define BASE_RESPONSE_H

#include "base/chunks.h"
#include "base/head.h"

enum response_state {
	RESPONSE_IN_HEAD,
	RESPONSE_IN_BODY, /**< the head is whole */
	RESPONSE_WHOLE,
	RESPONSE_MALFORMED, /**< the bytes are no answer; .problem says why */
};

/** What response_next() found. */
enum response_part {
	RESPONSE_NOTHING, /**< the input is used up, or the answer has ended */
	RESPONSE_HEAD,	  /**< the head is whole; returned once */
	RESPONSE_BODY,	  /**< bytes of the body */
};

struct response_options {
	struct str unique;     /**< a field that may not come with two values; empty: none */
	bool no_body;	       /**< the answer has no body, as that to a HEAD request */
	size_t head_max_bytes; /**< limit of all heads, interim ones and trailers included */
};

/** An answer as far as it came; the members are read only. */
struct response {
	struct response_options options;
	enum response_state state;
	struct head_reader reader;
	struct strbuf line;   /**< of the head, without its end yet */
	size_t head_bytes;    /**< in whole lines, interim heads included */
	int64_t body_bytes;   /**< without the framing of chunks */
	struct chunks chunks; /**< FRAMING_CHUNKS */
	const char *problem;  /**< RESPONSE_MALFORMED */
};

void response_init(struct response *response, const struct response_options *options);
void response_clear(struct response *response);

/** Returns whether the head is whole; it is in .reader.head then. */
bool response_has_head(const struct response *response);

/**
 * Reads from the front of @p input and removes what was read. Bytes behind the answer stay.
 *
 * @param bytes  part of the body for RESPONSE_BODY, a view of @p input
 */
enum response_part response_next(struct response *response, struct str *input, struct str *bytes);

/** To be called when the connection has ended: it is the end of some bodies. */
void response_end(struct response *response);

#endif
