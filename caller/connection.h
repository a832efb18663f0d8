/**
 * @file
 * A caller's connection; internal to caller/. Requests are parsed as they arrive, so that pipelined
 * requests can run concurrently; answers are sent in the order of the requests.
 */
#ifndef CALLER_CONNECTION_H
#define CALLER_CONNECTION_H

#include <http_parser.h>

#include "base/lockorder.h"
#include "caller/http.h"

enum {
	SMALL_ANSWER_BYTES = 16 << 10, /* largest body that is sent together with its head */
	ANSWER_LIMIT_BYTES = 256 << 10,
	UPLOAD_LIMIT_BYTES = 256 << 10,
	PIPELINE_MAX = 64, /* calls in progress on one connection */
};

struct connection;

/** How the caller finds the end of an answer's body. */
enum body_framing {
	BODY_ABSENT, /**< there is no body */
	BODY_SIZED,
	BODY_CHUNKED,
	BODY_UNTIL_CLOSE, /**< for callers over HTTP/1.0, which take no chunks */
};

struct framing {
	enum body_framing kind;
	struct {
		int64_t missing; /* announced bytes that have not come yet */
		bool holds_last; /* the last byte waits for the end of the body */
		char last;
	} length; /* BODY_SIZED */
};

struct caller_call {
	gint refs;
	struct connection *connection; /* one reference */
	apr_pool_t *pool;	       /* NULL until the call needs one */
	struct strbuf text;	       /* strings of the request's head */
	struct str method;
	struct str target;
	struct field fields[CALLER_FIELDS_MAX];
	int field_count;
	int64_t body_length;
	bool in_chunks;
	struct instant arrived; /* the head, as a whole */
	struct caller_body body;
	struct pipe *answer; /* NULL until the call is dispatched or rejected */
	void *data;
	bool queued;	   /* its head was valid; for the worker that reads */
	bool takes_chunks; /* the request came over HTTP/1.1 */
	bool concurrent;   /* safe method over HTTP/1.1: may run while other calls do */
	bool close_after;  /* the connection closes after this answer */

	/* Guarded by the connection's lock. */
	bool startable;	      /* enough of the request has arrived */
	bool dispatched;      /* passed to the handler: none is behind the last answer */
	int notifying;	      /* events that the handler is handling now */
	bool ended;	      /* no further event is delivered */
	bool end_deferred;    /* CALLER_ENDED follows the events that are being handled */
	bool answered;	      /* a head was written, and no other may be */
	bool head_ready;      /* the head may be sent */
	bool held;	      /* nothing may be sent: see caller_hold() */
	bool head_deferred;   /* the head waits for the end of the body */
	bool head_serialized; /* the head is in the connection's output */
	struct framing framing;
	bool truncated; /* the answer failed before its end; no more of it is sent */
	struct response_head head;
	struct strbuf head_text;
	bool prepared;
	int64_t counted_request; /* bytes that the account has */
	int64_t counted_body;
	bool uncounted; /* the connection is done with the call: nothing more is counted */
};

/**
 * Free connections are kept for reuse, and not deallocated while workers run: a worker may still
 * hold an event of the previous use.
 */
enum connection_state {
	CONNECTION_FREE,
	CONNECTION_OPEN,
	CONNECTION_LINGERING, /* all calls are answered; waits for the caller to close */
	CONNECTION_CLOSED,
};

/** What follows the answer that is being written. */
enum connection_answers {
	ANSWERS_FOLLOW,
	ANSWERS_LAST,  /**< nothing: its caller was told that the connection closes behind it */
	ANSWERS_ENDED, /**< nothing, and it is in the output as far as it gets */
};

/** A string of a request's head, as a range of its text. */
struct span {
	size_t offset;
	size_t len;
};

/** The request that is being read. Only the worker that handles the connection uses it. */
struct request_input {
	struct http_parser parser;
	struct caller_call *call; /* one reference; NULL between requests */
	struct span target;
	struct span names[CALLER_FIELDS_MAX];
	struct span values[CALLER_FIELDS_MAX];
	int field_count;
	bool in_value;
	bool closes;	    /* no request follows this one */
	bool head_complete; /* fields that follow are trailers */
	uint64_t received;  /* bytes since the end of the head */
	uint64_t body;	    /* those of the body itself */
	int error_status;   /* answer to an invalid request, after which nothing is read; 0: none */
	bool ended;	    /* the last request is complete; bytes after it are discarded */
	uint64_t discarded; /* bytes that belong to no request */
	uint64_t heads;	    /* that have begun */
};

struct connection {
	gint refs; /* one per call, one of the handling worker, one until it is closed */
	struct caller *caller;
	struct watch watch;
	uint32_t ipv4;
	struct request_input input;
	struct memory_holder holder; /* guarded by the account */

	struct lock lock; /* LOCK_CONNECTION: guards all members below */
	enum connection_state state;
	int fd;
	bool handling;		/* a worker is reading */
	bool event_pending;	/* another event arrived while a worker was reading */
	bool reading_paused;	/* no reading until there is room */
	bool awaiting_writable; /* the socket is full */
	GQueue calls;		/* struct caller_call, one reference each, oldest first */
	GQueue answered;	/* struct caller_call; serialized, not yet written in full */
	struct strbuf output;
	bool writing;	    /* a thread is writing */
	bool write_pending; /* the writing thread must make another pass */
	enum connection_answers answers;
	int64_t counted_output; /* bytes of the output that the account has */
	bool used;		/* a request has come, at least its head */
	bool in_head;		/* a head has begun and not ended */
	uint64_t heads;		/* value of input.heads when head_since_us was set */
	int64_t head_since_us;	/* monotonic times */
	int64_t opened_us;
	int64_t last_active_us; /* last byte in either direction */
	int64_t last_taken_us;	/* last byte of an answer that was taken, or its start */
};

/** Returns whether a request may be queued: the connection is open, and its last answer is not
 *  chosen yet. LOCK_CONNECTION is held. */
bool connection_takes_calls(const struct connection *connection);
/** Starts the connection and takes ownership of @p fd. */
void connection_open(struct connection *connection, int fd, uint32_t ipv4);
/** Handles an event of the connection's descriptor. */
void connection_handle(struct connection *connection);
/** Writes the answers that are ready, in order, and starts the calls that may start. */
void connection_advance(struct connection *connection);
/** Closes the connection at once; the handler is notified of the end of its calls. */
void connection_close(struct connection *connection);
/** Resumes reading after room has become available. */
void connection_resume(struct connection *connection);
/** Logs why the connection is closed, and closes it. */
void connection_close_for(struct connection *connection, const char *why);
/** Closes the connection if it has no calls. */
void connection_close_idle(struct connection *connection);
/** Closes the connection if it was inactive for too long. */
void connection_tick(struct connection *connection, struct instant now);
struct connection *connection_ref(struct connection *connection);
void connection_unref(struct connection *connection);

/* caller/read.c */

/** Parses bytes and queues the resulting calls. Returns false once no more bytes are accepted. */
bool input_parse(struct connection *connection, struct str bytes);
void input_reset(struct connection *connection);
void input_abort(struct connection *connection);
/** Answers a request that was not passed to the handler, and never will be. */
void call_reject(struct caller_call *call, int status);

/* caller/http.c */

struct caller_call *caller_call_new(struct connection *connection);
/** Prepares a call for its answer: queued calls do without what that takes. Called before the call
 * is passed on, by the only worker that uses it. */
void caller_call_prepare(struct caller_call *call);
/** Returns the call's pool, as caller_call_prepare() does. */
apr_pool_t *caller_call_pool(struct caller_call *call);
/** Counts the call as large as it is now. Takes the connection's lock. */
void caller_call_count(struct caller_call *call);
/** Counts nothing more for the call. Takes the connection's lock. */
void caller_call_uncount(struct caller_call *call);
/** Ends a body that is cut. A whole body needs no mark: its call is passed on only complete. */
void caller_body_cut(struct caller_body *body);
/** Ends a body that nobody reads any more: what comes of it is discarded. */
void caller_body_abandon(struct caller_body *body);
/** Returns whether more bytes of a body may be read from the caller. */
bool caller_body_has_room(const struct caller_body *body);
void caller_notify(struct caller_call *call, enum caller_event_kind kind, size_t bytes);
const struct caller_options *caller_options_of(const struct caller *caller);
bool caller_is_retired(struct caller *caller);
void caller_add_active(struct caller *caller, int change);
/** Closes connections while callers hold more memory than the budget. No lock may be held. */
void caller_relieve(struct caller *caller);
/** Logs that a request is refused for want of memory. */
void caller_log_refusal(struct caller *caller, const struct connection *connection);
/** Logs and counts that a connection is closed, and what it holds. */
void caller_log_closing(struct caller *caller, const struct connection *connection,
			const struct memory_closing *closing, const char *why);
/** Makes a closed connection available for reuse. */
void caller_recycle(struct caller *caller, struct connection *connection);

#endif
