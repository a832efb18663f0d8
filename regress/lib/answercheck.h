/**
 * @file
 * Answers of an upstream in the platform's protocol, and what the platform's rules say about the
 * answer that a caller got in their place.
 */
#ifndef REGRESS_ANSWERCHECK_H
#define REGRESS_ANSWERCHECK_H

#include <stdbool.h>

#include "regress/lib/rawcall.h"

/** An answer of an upstream. */
struct answer_shape {
	const char *name;
	int status;
	enum raw_framing framing;
	bool framing_first; /**< the field of the framing comes before the id and the signature */
	bool interim;	    /**< a 100 head comes before */
	bool unsigned_;	    /**< without X-Response-Signature */
	bool not_executed;  /**< a refusal: the request did not run */
	bool refusal_first; /**< X-Not-Executed comes before the id */
	const char *fields; /**< further lines of the head behind the signature; may be NULL */
	size_t body_bytes;
};

/** Ends of the parts of an answer, in bytes from its start. */
struct answer_places {
	size_t interim;
	size_t status_line;
	size_t signature; /**< the line of the signature, or of the id if that is the later one */
	size_t head;
	size_t whole;
};

/** Parts in which an answer can break off. */
enum answer_part {
	PART_NOTHING,
	PART_INTERIM,
	PART_STATUS_LINE,
	PART_HEAD_UNSIGNED, /**< up to the end of the lines of id and signature */
	PART_HEAD_SIGNED,
	PART_BODY,
	PART_WHOLE,
	PART_COUNT,
};

/** Appends the answer of this shape to the request with this id. */
struct answer_places answer_format(const struct answer_shape *shape, const char *id,
				   struct strbuf *out);
/** Returns the part in which an answer of @p sent bytes ends. */
enum answer_part answer_part(const struct answer_places *places, size_t sent);
const char *answer_part_name(enum answer_part part);

/** A request, how it ran, and the answer that its caller got. */
struct answered_request {
	const struct answer_shape *shape;
	const char *id;
	bool unsafe;
	bool sent_whole; /**< the upstream's last answer was whole, and not reset */
	int runs;
	const struct raw_answer *answer;
};

/** Rules that an answer breaks. */
struct answer_findings {
	bool mixed;
	bool refused;
	bool twice;
	bool cut_looks_whole; /**< a signed failure without its whole body looks complete */
	bool not_passed_on;   /**< a whole answer did not arrive whole with its status */
};

struct answer_findings answer_check(const struct answered_request *request);
/** Returns whether a status promises that the request has not run and never will. */
bool answer_is_promise(int status);

#endif
