/**
 * @file
 * HTTP calls to the node's own target. A call blocks its worker until the target has answered; the
 * number of slots bounds the workers that are blocked.
 */
#ifndef TARGET_CALL_H
#define TARGET_CALL_H

#include <apr_pools.h>
#include <glib.h>

#include "base/clock.h"
#include "base/transfer.h"
#include "core/dialect.h"
#include "core/tally.h"
#include "peer/wire.h"

struct target;

struct target *target_new(const struct dialect *dialect, apr_pool_t *pool);
void target_free(struct target *target);

/** Address and identity of the target on this VM. */
struct target_endpoint {
	uint32_t ipv4;
	uint16_t port;
	struct label id; /**< id of the expected target; empty if the interface has none */
	struct label service;
};

/** Sets the target that calls go to. Takes LOCK_TARGET. */
void target_set_endpoint(struct target *target, const struct target_endpoint *endpoint);
/** Returns whether the target runs @p service; an empty name matches any. Takes LOCK_TARGET. */
bool target_runs_service(struct target *target, const struct label *service);

/** Closes idle connections on which the target sends more, or which it closed. Takes LOCK_TARGET.
 */
void target_close_stray(struct target *target);

/** What the target does with a new connection. */
enum target_listening {
	TARGET_ACCEPTS,
	TARGET_REFUSES, /**< it does not listen */
	TARGET_SILENT,	/**< neither within 50 ms, as with a full queue of new connections */
};

/**
 * Opens a connection to the target and closes it. Blocks for up to 50 ms. While one call is at it,
 * others wait for its result. Takes LOCK_TARGET, but not for the connection.
 */
enum target_listening target_probe(struct target *target);

/** Largest body of an idempotent request that is sent again when its kept connection ends without
 * an answer. Requests with a larger one get new connections. */
enum { TARGET_REWIND_BYTES = 64 << 10 };

enum target_event_kind {
	TARGET_HEAD,	     /**< whole head of the answer; once, before the body */
	TARGET_BODY,	     /**< part of the answer's body */
	TARGET_READ_BODY,    /**< fill up to .read.cap bytes of the request's body */
	TARGET_REWIND_BODY,  /**< the body is read from its start next if .rewound is set */
	TARGET_CHECK_CALLER, /**< several times a second; false if the caller has disconnected */
};

/** Event of a call to the target; .kind selects the member of the union. */
struct target_event {
	enum target_event_kind kind;
	union {
		const struct response_head *head;
		struct str bytes;
		struct {
			char *into;
			size_t cap;
			size_t len; /**< set by the handler; 0: the body is complete */
		} read;
		bool rewound;
	};
};

/** Options of a call. The handler returns false to abort the call. */
struct target_call_options {
	const struct request_head *head;
	bool has_body;
	struct deadline deadline;
	bool (*handle)(void *context, struct target_event *event);
	void *context;
};

/** Result of a call. */
struct target_result {
	enum target_outcome outcome;
	/** VERDICT_NOT_RUN: nothing was sent, or a whole refusal came, whose head was delivered and
	 *  whose body was not. VERDICT_RAN: the whole head of another answer came. */
	enum verdict verdict;
	bool complete;	  /**< the answer is whole */
	bool misdirected; /**< another target is at the address */
	bool silent;	  /**< TARGET_UNREACHED: the connection was neither accepted nor refused */
	int64_t service_us; /**< time until the answer's head, or the failure */
	const char *reason; /**< cause of an incomplete answer, for messages */

	/* Where the answer broke off, for messages. */
	enum transfer_end end;	   /**< TRANSFER_WHOLE: it did not */
	size_t head_bytes;	   /**< whole lines of the head that came; 0 if .complete */
	int64_t body_bytes;	   /**< bytes of the body that came */
	enum head_framing framing; /**< TRANSFER_CUT_IN_BODY, TRANSFER_WHOLE: end of the body */
	int64_t content_length;	   /**< TRANSFER_CUT_IN_BODY: stated length of the body, or -1 */
};

/** Calls the target and blocks until the call ends. Takes LOCK_TARGET, but not for the exchange. */
struct target_result target_call(struct target *target, const struct target_call_options *options);

#endif
