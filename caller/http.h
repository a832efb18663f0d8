/**
 * @file
 * The HTTP entry for callers. A request becomes a caller_call; the answer is given piece by piece
 * from any worker, with bounded memory in both directions.
 */
#ifndef CALLER_HTTP_H
#define CALLER_HTTP_H

#include <apr_pools.h>
#include <glib.h>

#include "base/pipe.h"
#include "base/workers.h"
#include "peer/wire.h"

struct caller;
struct caller_call;

enum caller_event_kind {
	CALLER_READY,	 /**< the head is there, and the whole body if it is small */
	CALLER_DRAINED,	 /**< the caller took bytes of the answer */
	CALLER_UPLOADED, /**< bytes of a streamed body came, or its end */
	CALLER_GONE, /**< the exchange is over, or the caller left; drops the table's reference */
};

struct caller_event {
	enum caller_event_kind kind;
	struct caller_call *call;
	size_t bytes; /**< CALLER_DRAINED */
};

struct caller_options {
	uint32_t ipv4;
	uint16_t port;	 /**< 0: from the kernel */
	int connections; /**< at once */
	int connections_per_address;
	int idle_s;		  /**< an idle connection is closed after this many seconds */
	int64_t body_max;	  /**< bytes of a request's body */
	struct str verdict_field; /**< of answers, see struct dialect; empty: none */
	struct workers *workers;
	void (*handle)(void *context, const struct caller_event *event);
	void *context;
};

struct caller *caller_new(const struct caller_options *options, apr_pool_t *pool, GError **error);
/** From now on answers end their connections, so that callers go elsewhere. */
void caller_retire(struct caller *caller);
/** Stops listening and closes idle connections; open exchanges go on. */
void caller_quiesce(struct caller *caller);
/** After the workers have ended. */
void caller_free(struct caller *caller);
uint16_t caller_port(const struct caller *caller);
/** Exchanges under way. */
int caller_active(struct caller *caller);
/** Closes connections that were idle for too long. Once a second. */
void caller_tick(struct caller *caller, struct instant now);

/* For the pool's handler */
struct connection;
void caller_on_listen(struct caller *caller);
void caller_on_connection(struct connection *connection);

struct caller_call *caller_call_ref(struct caller_call *call);
void caller_call_unref(struct caller_call *call);

/** What came with the request; views hold as long as the call. */
struct str caller_method(const struct caller_call *call);
struct str caller_target(const struct caller_call *call); /**< path and query */
struct str caller_field(const struct caller_call *call, struct str name);
const struct field *caller_fields(const struct caller_call *call, int *count);
/** The whole body, if it is small. */
struct str caller_body(const struct caller_call *call);
/** A larger body comes through this pipe; NULL if it is small. */
struct pipe *caller_upload(const struct caller_call *call);
int64_t caller_body_length(const struct caller_call *call); /**< -1: not known */
uint32_t caller_ipv4(const struct caller_call *call);

/** The program's own pointer that goes with the call. */
void caller_set_data(struct caller_call *call, void *data);
void *caller_data(const struct caller_call *call);

/**
 * Gives the answer's head. The body follows through caller_give(), then caller_finish(). The head
 * of a small body of known length waits for the body's end, to go out with it in one piece.
 */
void caller_head(struct caller_call *call, const struct response_head *head);
/** Bytes of the answer that the caller has not taken yet. */
size_t caller_held(struct caller_call *call);
/** Gives bytes of the answer's body. */
void caller_give(struct caller_call *call, struct str bytes);
/** The same, but waits for room first. False if the caller is gone or @p deadline passed. */
bool caller_give_wait(struct caller_call *call, struct str bytes, struct deadline deadline);
/** Ends the body: PIPE_DONE, or PIPE_FAILED to cut it visibly. */
void caller_finish(struct caller_call *call, enum pipe_end end);
/** Gives a whole answer at once. */
void caller_answer(struct caller_call *call, const struct response_head *head, struct str body);
/** The upload's reader took bytes: the caller may send on. */
void caller_upload_taken(struct caller_call *call);

#endif
