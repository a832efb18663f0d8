/**
 * @file
 * Frames between nodes: a fixed header, then a payload. A datagram carries one frame. The header
 * reserves a key id and an authenticator. There are no keys yet: the key id is 0, and the
 * authenticator is 0 or the fleet's tag.
 */
#ifndef PEER_WIRE_H
#define PEER_WIRE_H

#include <stdint.h>

#include "base/str.h"
#include "base/verdict.h"

enum {
	FRAME_HEADER_BYTES = 24,
	FRAME_PAYLOAD_MAX = 1 << 20,
	FRAME_DATA_MAX = 16 << 10, /* bytes of a body in a frame; larger ones are read as well */
	DATAGRAM_MAX = 1200,	   /* larger messages go over a link */
	STREAM_WINDOW = 128 << 10, /* bytes of a body sent but not consumed, each direction */
};

enum frame_kind {
	FRAME_HELLO,   /**< opens a link; the stream field holds the sender's member id */
	FRAME_MESSAGE, /**< a core message; the stream field holds the sender's member id */
	FRAME_REQUEST,
	FRAME_RESPONSE,
	FRAME_REFUSED,
	FRAME_DATA, /**< offset (8 bytes), then bytes of the body */
	FRAME_END,  /**< length and checksum of the complete body */
	FRAME_CANCEL,
	FRAME_WINDOW, /**< number of bytes consumed since the last WINDOW */
	FRAME_PING,
	FRAME_PONG, /**< features of the sender (8 bytes); absent from older nodes */
	FRAME_KINDS,
};

/** Features of a node, as in its PONG. */
enum { FEATURE_GRANTS_BODIES = 1 /**< it reads request_head.body_waits */ };

struct frame {
	enum frame_kind kind;
	uint64_t stream;
	uint64_t fleet; /**< tag of the sender's fleet: HELLO and MESSAGE only */
	struct str payload;
};

/** Result of wire_read_frame(). */
enum wire_result { WIRE_FRAME, WIRE_INCOMPLETE, WIRE_INVALID };

/** Appends a frame. */
void wire_put(struct strbuf *out, enum frame_kind kind, uint64_t stream, struct str payload);
/** Appends a frame with the fleet's tag in the field of the authenticator. */
void wire_put_tagged(struct strbuf *out, enum frame_kind kind, uint64_t stream, uint64_t fleet,
		     struct str payload);
/** Reads the first frame of @p bytes and sets *used to its length. The payload borrows. */
enum wire_result wire_read_frame(struct str bytes, struct frame *frame, size_t *used);

void wire_put_u64(struct strbuf *out, uint64_t value);
/** Reads and consumes 8 bytes, big-endian; false if there are fewer. */
bool wire_read_u64(struct str *in, uint64_t *value);

/** An HTTP header field. */
struct field {
	struct str name;
	struct str value;
};

enum {
	CALLER_FIELDS_MAX = 64, /* of a caller's request */
	FIELDS_MAX = 68,	/* in a head: with those that nodes add */
};

/** The head of a call to a target. Strings borrow. */
struct request_head {
	struct str method;
	struct str target; /**< path and query */
	struct label route;
	struct label service; /**< required service of the target */
	struct label tenant;
	int class;
	bool idempotent;
	int concurrency_percent;
	int64_t remaining_us; /**< time to the deadline, when sent; the nodes' clocks differ */
	int64_t objective_remaining_us; /**< time until an answer is late, when sent; < 0: late */
	bool has_objective;
	bool may_queue;	     /**< if false, the call is refused unless it can run at once */
	bool retried;	     /**< the caller was refused before and tries again */
	int64_t body_length; /**< -1: not known */
	uint64_t fingerprint;
	int hops; /**< nodes passed so far */
	/** The body is sent once the target's node has granted credit for it. That node passes the
	 *  request on only after that, when the first part of the body has come. */
	bool body_waits;
	int field_count;
	struct field fields[FIELDS_MAX];
};

/** The head of a response. Strings borrow. */
struct response_head {
	int status;
	int64_t body_length; /**< -1: not known */
	int field_count;
	struct field fields[FIELDS_MAX];
};

/** Why a target's node sent no response. */
enum refusal_kind {
	REFUSAL_BUSY,	/**< no slot in time; another target may have one */
	REFUSAL_CLOSED, /**< the target accepts no calls for now */
	REFUSAL_BROKEN, /**< the exchange with the target failed */
};

struct refusal {
	enum refusal_kind kind;
	enum verdict verdict;
	struct str reason;
	int64_t expected_us; /**< REFUSAL_BUSY: time to the response if it had queued; 0: unknown */
	bool target_reached; /**< the exchange with the target began, whether it succeeded or not */
};

void wire_put_request(struct strbuf *out, uint64_t stream, const struct request_head *head);
void wire_put_response(struct strbuf *out, uint64_t stream, const struct response_head *head);
void wire_put_refusal(struct strbuf *out, uint64_t stream, const struct refusal *refusal);

/** Running length and checksum of a body; the checksum depends on the division into frames. */
struct body_sum {
	uint64_t length;
	uint64_t checksum;
};

void body_sum_add(struct body_sum *sum, struct str bytes);
/** Appends bytes of a body as DATA frames and adds each frame's bytes to @p sum. */
void wire_put_data(struct strbuf *out, uint64_t stream, struct body_sum *sum, struct str bytes);
void wire_put_end(struct strbuf *out, uint64_t stream, const struct body_sum *sum);

/** msgpack storage of a decoded head, which borrows from it and from the payload. */
struct decoded_head;
bool wire_get_request(struct str payload, struct request_head *head, struct decoded_head **storage);
bool wire_get_response(struct str payload, struct response_head *head,
		       struct decoded_head **storage);
bool wire_get_refusal(struct str payload, struct refusal *refusal, struct decoded_head **storage);
void decoded_head_free(struct decoded_head *storage);

#endif
