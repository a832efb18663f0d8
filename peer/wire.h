/**
 * @file
 * Frames between nodes: a fixed header, then a payload. Datagrams carry one frame. The header
 * keeps room for a key id and an authenticator, which are 0 until keys exist.
 */
#ifndef PEER_WIRE_H
#define PEER_WIRE_H

#include <stdint.h>

#include "base/str.h"
#include "base/verdict.h"

enum {
	FRAME_HEADER_BYTES = 24,
	FRAME_PAYLOAD_MAX = 1 << 20,
	FRAME_DATA_MAX = 32 << 10, /* bytes of a body in one frame */
	DATAGRAM_MAX = 1200,	   /* larger messages go over a link */
	STREAM_WINDOW = 128 << 10, /* bytes of a body under way, each direction */
};

enum frame_kind {
	FRAME_HELLO,   /**< first on a link; the stream field holds the sender's member id */
	FRAME_MESSAGE, /**< a core message; the stream field holds the sender's member id */
	FRAME_REQUEST,
	FRAME_RESPONSE,
	FRAME_REFUSED,
	FRAME_DATA, /**< offset (8 bytes), then bytes of the body */
	FRAME_END,  /**< length and checksum of the whole body */
	FRAME_CANCEL,
	FRAME_WINDOW, /**< the receiver took this many bytes */
	FRAME_PING,
	FRAME_PONG,
	FRAME_KINDS,
};

struct frame {
	enum frame_kind kind;
	uint64_t stream;
	uint64_t fleet; /**< tag of the sender's fleet: HELLO and MESSAGE only */
	struct str payload;
};

/** What wire_take() found. */
enum wire_result { WIRE_FRAME, WIRE_MORE, WIRE_BAD };

/** Appends a frame. */
void wire_put(struct strbuf *out, enum frame_kind kind, uint64_t stream, struct str payload);
/** The same with the tag of the fleet, which stands in the authenticator's place until keys exist.
 */
void wire_put_tagged(struct strbuf *out, enum frame_kind kind, uint64_t stream, uint64_t fleet,
		     struct str payload);
/** Reads the first frame of @p bytes; *used tells how many bytes it took. The payload borrows. */
enum wire_result wire_take(struct str bytes, struct frame *frame, size_t *used);

void wire_put_u64(struct strbuf *out, uint64_t value);
/** Reads 8 bytes at the front; false if there are fewer. */
bool wire_take_u64(struct str *in, uint64_t *value);

/** A header field of HTTP. */
struct field {
	struct str name;
	struct str value;
};

enum { FIELDS_MAX = 64 };

/** The head of a call on its way to a target. Strings borrow. */
struct request_head {
	struct str method;
	struct str target; /**< path and query */
	struct label route;
	struct label service; /**< that the target has to be of */
	struct label tenant;
	int class;
	bool idempotent;
	int concurrency_percent;
	int64_t left_us; /**< until its deadline, when it was sent: clocks differ between nodes */
	int64_t objective_us; /**< until an answer is late, likewise; below 0: it is late already */
	bool has_objective;
	bool may_queue;	     /**< else it is refused unless it can run at once */
	bool returned;	     /**< it was refused before, and its caller came back */
	int64_t body_length; /**< -1: not known */
	uint64_t fingerprint;
	int hops; /**< nodes that it went through */
	int field_count;
	struct field fields[FIELDS_MAX];
};

/** The head of an answer. Strings borrow. */
struct response_head {
	int status;
	int64_t body_length; /**< -1: not known */
	int field_count;
	struct field fields[FIELDS_MAX];
};

/** Why a target's node did not give an answer. */
enum refusal_kind {
	REFUSAL_BUSY,	/**< no slot in time: another target may have one */
	REFUSAL_CLOSED, /**< the target takes no work for now */
	REFUSAL_BROKEN, /**< the exchange with the target broke */
};

struct refusal {
	enum refusal_kind kind;
	enum verdict verdict;
	struct str reason;
	int64_t expected_us; /**< REFUSAL_BUSY: until its answer, had it queued; 0: not known */
	bool reached;	     /**< the target itself has seen it, whether it ran it or not */
};

void wire_put_request(struct strbuf *out, uint64_t stream, const struct request_head *head);
void wire_put_response(struct strbuf *out, uint64_t stream, const struct response_head *head);
void wire_put_refusal(struct strbuf *out, uint64_t stream, const struct refusal *refusal);

/** Running length and checksum of a body; both ends chain it over the same frames. */
struct body_sum {
	uint64_t length;
	uint64_t checksum;
};

void body_sum_add(struct body_sum *sum, struct str bytes);
/** Appends bytes of a body as frames, and counts them. */
void wire_put_data(struct strbuf *out, uint64_t stream, struct body_sum *sum, struct str bytes);
void wire_put_end(struct strbuf *out, uint64_t stream, const struct body_sum *sum);

/** A decoded head borrows from the payload and from *keep, which holds msgpack's zone. */
struct decoded;
bool wire_get_request(struct str payload, struct request_head *head, struct decoded **keep);
bool wire_get_response(struct str payload, struct response_head *head, struct decoded **keep);
bool wire_get_refusal(struct str payload, struct refusal *refusal, struct decoded **keep);
void decoded_free(struct decoded *keep);

#endif
