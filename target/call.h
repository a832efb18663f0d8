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

/** Returns whether the target accepts a connection now. Takes LOCK_TARGET. */
bool target_accepts_connections(struct target *target);

enum target_event_kind {
	TARGET_HEAD,	     /**< head of the answer; once, before the body */
	TARGET_BODY,	     /**< part of the answer's body */
	TARGET_READ_BODY,    /**< fill up to .read.cap bytes of the request's body */
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
	enum verdict verdict;
	bool complete;	    /**< the answer is complete */
	bool misdirected;   /**< another target is at the address */
	int64_t service_us; /**< time until the answer's head, or the failure */
	const char *reason; /**< cause of an incomplete answer, for messages */
};

/** Calls the target and blocks until the call ends. Takes LOCK_TARGET, but not for the exchange. */
struct target_result target_call(struct target *target, const struct target_call_options *options);

#endif
