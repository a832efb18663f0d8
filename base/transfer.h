/**
 * @file
 * HTTP exchanges, each with a blocking worker. An answer is whole only if its head and its body
 * have ended as the protocol says; a request that may run once is never sent twice.
 */
#ifndef BASE_TRANSFER_H
#define BASE_TRANSFER_H

#include "base/clock.h"
#include "base/response.h"
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
			/** The connection, which may serve again and belongs to the caller; -1 if
			 * it is closed. */
			int fd;
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

/** What follows the request's text. */
enum transfer_upload {
	TRANSFER_NO_UPLOAD,	/**< nothing: the text is all */
	TRANSFER_UPLOAD_BYTES,	/**< .upload_bytes of the handler's, as they are */
	TRANSFER_UPLOAD_CHUNKS, /**< the handler's bytes, in chunks */
};

/** Options of a transfer. The handler returns false to end it. */
struct transfer_options {
	uint32_t ipv4; /**< host byte order */
	uint16_t port;
	int kept_fd; /**< connection that served before and belongs to the transfer now, or -1 */
	/** The request may run twice: it is sent again if its kept connection ends without a byte
	 * of an answer. */
	bool repeatable;
	struct str request; /**< request line, fields and empty line, and a short body */
	enum transfer_upload upload;
	int64_t upload_bytes;	   /**< TRANSFER_UPLOAD_BYTES */
	int64_t connect_within_us; /**< limit for the opening of a connection */
	struct deadline deadline;
	int probe_interval_s; /**< of a silent connection, by the kernel; 0: not probed */
	struct response_options answer;
	bool (*handle)(void *context, struct transfer_event *event);
	void *context;
};

/** Runs a transfer and blocks until it ends. */
struct transfer_result transfer_run(const struct transfer_options *options);

#endif
