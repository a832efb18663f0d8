/**
 * @file
 * A raw HTTP caller on one kept connection, which shows how an answer ends.
 */
#ifndef REGRESS_RAWCALL_H
#define REGRESS_RAWCALL_H

#include <stdbool.h>
#include <stddef.h>

#include "base/str.h"

/** Returns the byte of a request's body at an offset. The period is prime, so that parts of a body
 *  that have changed places are found. */
static inline char raw_body_byte(size_t offset)
{
	return (char)(offset * 31 % 251);
}

enum raw_body { RAW_NO_BODY, RAW_WITH_LENGTH, RAW_IN_CHUNKS };

struct raw_request {
	const char *method;
	const char *host;
	const char *path;
	const char *id;
	enum raw_body body;
	size_t body_bytes;
	int pause_ms;	   /**< between the halves of the body */
	bool ends_early;   /**< the connection closes after the first half of the body */
	bool stops_at_end; /**< nothing more is sent once the node has ended the connection */
	int timeout_ms;	   /**< sent as X-Timeout-Ms; the answer may take a second more */
};

enum raw_framing { RAW_UNFRAMED, RAW_BY_LENGTH, RAW_BY_CHUNKS };

/** How reading an answer ended. */
enum raw_ending { RAW_WHOLE, RAW_CLOSED, RAW_RESET, RAW_TIMED_OUT, RAW_INVALID };

struct raw_answer {
	int status; /**< 0 without a whole head */
	enum raw_framing framing;
	enum raw_ending ending;
	char id[48];
	char signature[64];
	struct strbuf body;
	size_t extra_bytes; /**< bytes that came behind the answer */
};

struct raw_caller;

/** Creates a caller for a port of the loopback address; it connects with its first call. */
struct raw_caller *raw_caller_new(int port);
void raw_caller_free(struct raw_caller *caller);
/** Sends a request and reads its answer; free with raw_answer_clear(). */
struct raw_answer raw_call(struct raw_caller *caller, const struct raw_request *request);
void raw_answer_clear(struct raw_answer *answer);

#endif
