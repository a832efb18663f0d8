/**
 * @file
 * Calls to the node's own target, over HTTP. A call blocks its worker for as long as the target
 * takes; the number of slots bounds how many do.
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
/** Which target stands on this VM. */
struct target_place {
	uint32_t ipv4;
	uint16_t port;
	struct label id; /**< that is expected there; empty where targets have none */
	struct label service;
};

/** Both take LOCK_TARGET. */
void target_set_place(struct target *target, const struct target_place *place);
/** Whether the target is of a service; an empty name stands for any. */
bool target_serves(struct target *target, const struct label *service);

/** Whether the target takes connections right now. */
bool target_listens(struct target *target);

enum target_event_kind {
	TARGET_HEAD, /**< the answer's head; comes once, before its body */
	TARGET_BODY,
	TARGET_WANTS_BODY, /**< fill up to .wants.cap bytes of the request's body */
	TARGET_CHECK,	   /**< several times a second: is the caller still there? */
};

/** What a call to the target brings or wants. The tag says which member holds. */
struct target_event {
	enum target_event_kind kind;
	union {
		const struct response_head *head;
		struct str bytes;
		struct {
			char *into;
			size_t cap;
			size_t len; /**< out; 0: the body is complete */
		} wants;
	};
};

/** False gives the call up. */
struct target_call_options {
	const struct request_head *head;
	bool has_body;
	struct deadline deadline;
	bool (*handle)(void *context, struct target_event *event);
	void *context;
};

/** How a call ended. */
struct target_result {
	enum target_outcome outcome;
	enum verdict verdict;
	bool whole;	    /**< the answer came to its end */
	bool misdirected;   /**< another target has the address */
	int64_t service_us; /**< until the answer's head */
	const char *reason; /**< for people, if there is no whole answer */
};

struct target_result target_call(struct target *target, const struct target_call_options *options);

#endif
