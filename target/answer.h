/**
 * @file
 * What the head of a target's answer says of the request.
 */
#ifndef TARGET_ANSWER_H
#define TARGET_ANSWER_H

#include "base/head.h"
#include "core/dialect.h"
#include "peer/wire.h"

enum answer_kind {
	ANSWER_NONE,	/**< no head has come */
	ANSWER_FOREIGN, /**< it is not the target's answer to the request */
	ANSWER_REFUSAL, /**< it says that the request did not run, if the answer is whole */
	ANSWER_TAKEN,
};

/** The head of an answer as it is forwarded; free with answer_clear(). */
struct answer {
	enum answer_kind kind;
	struct response_head head; /**< ANSWER_REFUSAL and ANSWER_TAKEN; borrows from .text */
	struct strbuf text;
};

/** Reads the head @p from of an answer to @p request. Hop-by-hop fields are left out. */
void answer_read(struct answer *answer, const struct dialect *dialect,
		 const struct request_head *request, const struct head *from);
void answer_clear(struct answer *answer);

/** Returns whether a field applies to one connection and is not forwarded. */
bool answer_is_hop_by_hop(struct str name);

#endif
