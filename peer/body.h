/**
 * @file
 * The state of the body that a stream receives. A body has an end only if all of it has come, as
 * its head announced it; internal to peer/.
 */
#ifndef PEER_BODY_H
#define PEER_BODY_H

#include "peer/wire.h"

enum body_kind {
	BODY_NO_HEAD, /**< an answer's head is still to come */
	BODY_OPEN,
	BODY_DONE,
};

struct body {
	enum body_kind kind;
	union {
		bool bodyless; /**< BODY_NO_HEAD: answers to the request have no body (HEAD) */
		struct {
			int64_t length; /**< as announced; -1: not known */
			struct body_sum sum;
		} open; /**< BODY_OPEN */
	};
};

/** What a frame says about a body. */
enum body_part_kind { PART_HEAD, PART_REFUSAL, PART_DATA, PART_END };

struct body_part {
	enum body_part_kind kind;
	union {
		const struct response_head *head; /**< PART_HEAD */
		struct {
			uint64_t offset;
			struct str bytes;
		} data;		     /**< PART_DATA */
		struct body_sum end; /**< PART_END */
	};
};

enum body_result {
	BODY_TAKEN,
	BODY_BROKEN,  /**< the sender's body is not as its head announced it */
	BODY_CORRUPT, /**< frames were lost or changed on the way */
};

struct body body_of_request(int64_t length);
struct body body_of_answer(struct str method);
/** Takes the next part of a body. After any other result than BODY_TAKEN the body has no end. */
enum body_result body_take(struct body *body, const struct body_part *part);

#endif
