/**
 * @file
 * The HTTP server for callers. Each request becomes a caller_call. Any worker may write parts of
 * its answer; memory is bounded in both directions.
 */
#ifndef CALLER_HTTP_H
#define CALLER_HTTP_H

#include <apr_pools.h>
#include <glib.h>

#include "base/memory.h"
#include "base/metrics.h"
#include "base/pipe.h"
#include "base/workers.h"
#include "core/line.h"
#include "peer/wire.h"

struct caller;
struct caller_call;

enum { SMALL_BODY_BYTES = 64 << 10 /* largest body that is buffered and can be sent again */ };

/** How the body of a request reaches the handler. */
enum caller_body_kind {
	CALLER_BODY_WHOLE,    /**< small, also in chunks: complete at CALLER_READY */
	CALLER_BODY_STREAMED, /**< the handler reads it from a pipe as it arrives */
};

struct caller_body {
	enum caller_body_kind kind;
	union {
		struct strbuf whole; /**< CALLER_BODY_WHOLE */
		struct pipe *upload; /**< CALLER_BODY_STREAMED */
	};
};

enum caller_event_kind {
	CALLER_READY,	 /**< the head has arrived, and the body if it is CALLER_BODY_WHOLE */
	CALLER_DRAINED,	 /**< bytes of the answer's body moved to the output */
	CALLER_UPLOADED, /**< bytes or the end of a streamed body arrived */
	/** The call has ended, or the caller disconnected; the handler drops its reference. */
	CALLER_ENDED,
};

struct caller_event {
	enum caller_event_kind kind;
	struct caller_call *call;
	size_t bytes; /**< set for CALLER_DRAINED */
};

struct caller_options {
	uint32_t ipv4;		     /**< host byte order */
	uint16_t port;		     /**< 0: chosen by the kernel */
	int connections;	     /**< maximum open at once */
	int connections_per_address; /**< maximum open at once from one IPv4 address */
	int idle_s;		     /**< seconds until an idle connection is closed */
	int64_t body_max;	     /**< maximum bytes of a request's body */
	struct str verdict_field;    /**< name of the field that carries the verdict; empty: none */
	struct memory *memory;	     /**< account of what callers make the process hold */
	struct metrics *metrics;     /**< NULL: none are kept */
	struct line *line;	     /**< the VM's; counts what callers send; NULL: not known */
	struct workers *workers;
	void (*handle)(void *context, const struct caller_event *event);
	void *context;
};

/** Listens for callers. Returns NULL and sets @p error (G_FILE_ERROR) if it can't. */
struct caller *caller_new(const struct caller_options *options, apr_pool_t *pool, GError **error);
/**
 * From now on each connection closes behind the requests that were passed to the handler, and
 * passes on none behind them, so that callers use other nodes.
 */
void caller_retire(struct caller *caller);
/** Stops listening and closes idle connections; calls in progress continue. */
void caller_quiesce(struct caller *caller);
/** Closes and frees all connections. To be called after the workers have ended. */
void caller_free(struct caller *caller);
uint16_t caller_port(const struct caller *caller);
/** Returns the number of calls in progress. */
int caller_active(struct caller *caller);
/** Closes connections that were idle for too long, resumes others, and sets the gauges. To be
 * called once a second. */
void caller_tick(struct caller *caller, struct instant now);

/* Called by the handler of the worker pool. */
struct connection;
void caller_on_listen(struct caller *caller);
void caller_on_connection(struct connection *connection);

struct caller_call *caller_call_ref(struct caller_call *call);
void caller_call_unref(struct caller_call *call);

/* Parts of the request. The strings are valid as long as the call. */
struct str caller_method(const struct caller_call *call);
struct str caller_target(const struct caller_call *call); /**< path and query */
struct str caller_field(const struct caller_call *call, struct str name);
const struct field *caller_fields(const struct caller_call *call, int *count);
const struct caller_body *caller_body(const struct caller_call *call);
int64_t caller_body_length(const struct caller_call *call); /**< -1: unknown */
bool caller_sent_chunks(const struct caller_call *call);
/** Returns when the head had arrived: the caller's time began before its body came. */
struct instant caller_arrived(const struct caller_call *call);
uint32_t caller_ipv4(const struct caller_call *call);

/** Attaches a pointer of the daemon to the call. */
void caller_set_data(struct caller_call *call, void *data);
void *caller_data(struct caller_call *call);

/**
 * Writes the head of the answer. The body follows by caller_write(), then caller_finish(). The head
 * of a small body of known length waits for the end of the body, so that both are sent together.
 * Returns false if the call has an answer already; nothing may be written then.
 */
bool caller_write_head(struct caller_call *call, const struct response_head *head);
/** Keeps the answer from being sent until caller_release(). To be called before its head is
 * written.
 */
void caller_hold(struct caller_call *call);
/** Lets an answer go that caller_hold() kept; has no effect on others. */
void caller_release(struct caller_call *call);
/** Returns the bytes of the answer's body that are still in the pipe. */
size_t caller_buffered_bytes(struct caller_call *call);
/** Writes bytes of the answer's body. */
void caller_write(struct caller_call *call, struct str bytes);
/** Waits for room and writes; false if the caller disconnected or @p deadline passed. */
bool caller_write_wait(struct caller_call *call, struct str bytes, struct deadline deadline);
/**
 * Ends the body: PIPE_DONE, or PIPE_FAILED to close the connection before the end of the answer, so
 * that the caller can tell that it is truncated. A body that is not as long as its head announced
 * is truncated as well.
 */
void caller_finish(struct caller_call *call, enum pipe_end end);
/** Writes a complete answer. Returns false, and writes nothing, if the call has one already. */
bool caller_answer(struct caller_call *call, const struct response_head *head, struct str body);
/** Resumes reading from the caller after bytes of a streamed body were read from its pipe. */
void caller_upload_consumed(struct caller_call *call);

#endif
