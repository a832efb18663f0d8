/**
 * @file
 * A caller's connection; internal to caller/. Requests are parsed as they come in, so that those
 * sent behind one another run at the same time; answers go out in the order of the requests.
 */
#ifndef CALLER_CONNECTION_H
#define CALLER_CONNECTION_H

#include <http_parser.h>

#include "base/lockorder.h"
#include "caller/http.h"

enum {
	SMALL_BODY_BYTES = 64 << 10,   /* bodies up to this are held whole, and can be sent again */
	SMALL_ANSWER_BYTES = 16 << 10, /* goes out in one piece with its head */
	ANSWER_LIMIT_BYTES = 256 << 10,
	UPLOAD_LIMIT_BYTES = 256 << 10,
	PIPELINE_MAX = 64, /* requests of one connection under way */
};

struct connection;

struct caller_call {
	gint refs;
	struct connection *connection; /* one reference */
	apr_pool_t *pool;
	struct strbuf text; /* the head's strings */
	struct str method;
	struct str target;
	struct field fields[FIELDS_MAX];
	int field_count;
	int64_t body_length;
	struct strbuf body;
	struct pipe *upload;
	struct pipe *answer;
	void *data;
	bool safe; /* by its method: may run beside others of the connection */
	bool last; /* the caller wants no other answer on the connection */

	/* Under the connection's lock. */
	bool complete;	 /* enough came of it to start */
	bool dispatched; /* told to the program */
	bool has_head;	 /* and may go out */
	bool head_held;	 /* until the end of the body */
	bool head_out;	 /* in the connection's output */
	bool chunked;
	bool cut; /* nothing of the answer may follow */
	struct response_head head;
	struct strbuf head_text;
};

/**
 * FREE ones are kept for reuse and never given back while workers run: a worker may still hold an
 * event of the one before.
 */
enum connection_state {
	CONNECTION_FREE,
	CONNECTION_OPEN,
	CONNECTION_LINGERING, /* all answered; waits for the caller's close */
	CONNECTION_CLOSED,
};

/** Where a piece of a request's head stands in its text. */
struct span {
	size_t at;
	size_t len;
};

/** The request that is being read. Only the worker that handles the connection. */
struct reading {
	struct http_parser parser;
	struct caller_call *call; /* one reference; NULL between requests */
	struct span target;
	struct span names[FIELDS_MAX];
	struct span values[FIELDS_MAX];
	int fields;
	bool in_value;
	int bad_status; /* why no more is read; 0: all is well */
	bool ended;	/* nothing after the last request is read */
};

struct connection {
	gint refs; /* its calls, the worker that handles it, and one until it is closed */
	struct caller *caller;
	struct watch watch;
	uint32_t ipv4;
	struct reading reading;
	apr_pool_t *pool;

	struct lock lock; /* LOCK_CONNECTION: all below */
	enum connection_state state;
	int fd;
	bool handling; /* a worker reads */
	bool again;    /* another event came meanwhile */
	bool paused;   /* no reading until there is room for what comes */
	bool waits_to_write;
	GQueue calls; /* struct caller_call, one reference each, oldest first */
	GQueue done;  /* answered, but not all is with the socket yet */
	struct strbuf out;
	bool writing;
	bool write_again;
	bool closes; /* once the output is written */
	int64_t used_at_us;
};

/** Takes over the descriptor. */
void connection_open(struct connection *connection, int fd, uint32_t ipv4);
/** An event of the connection's descriptor. */
void connection_handle(struct connection *connection);
/** Writes what is ready, in order, and starts what may start now. */
void connection_advance(struct connection *connection);
/** Ends it at once; its calls are told. */
void connection_close(struct connection *connection);
/** Reads on, after room was made. */
void connection_resume(struct connection *connection);
/** Closes it if nothing is under way. */
void connection_close_idle(struct connection *connection);
/** Closes it if nothing moved for its time. */
void connection_tick(struct connection *connection, struct instant now);
struct connection *connection_ref(struct connection *connection);
void connection_unref(struct connection *connection);

/* caller/read.c */

/** Parses bytes; calls that come of it are queued. False once nothing more is to be read. */
bool reading_take(struct connection *connection, struct str bytes);
void reading_start(struct connection *connection);
void reading_stop(struct connection *connection);

/* caller/http.c */

struct caller_call *call_new(struct connection *connection);
void caller_tell(struct caller_call *call, enum caller_event_kind kind, size_t bytes);
const struct caller_options *caller_options_of(const struct caller *caller);
bool caller_is_retired(struct caller *caller);
void caller_count(struct caller *caller, int change);
/** Takes a closed connection back for reuse. */
void caller_recycle(struct caller *caller, struct connection *connection);

#endif
