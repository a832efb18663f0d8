/**
 * @file
 * A TCP connection to another node; internal to peer/.
 */
#ifndef PEER_LINK_H
#define PEER_LINK_H

#include "base/lockorder.h"
#include "peer/body.h"
#include "peer/peers.h"
#include "peer/schedule.h"

enum link_state { LINK_CONNECTING, LINK_OPEN, LINK_CLOSED };

/** An open stream of a link. */
struct stream_entry {
	uint64_t id;
	struct stream_owner *owner; /* one reference */
	uint64_t request_end;	    /* value of schedule.queued at the end of the request's head */
	struct body body;	    /* that is received: the request's or the answer's */
	bool body_waits;	    /* the body is sent once the peer grants it */
	bool body_begun;	    /* a part of the body that is sent was queued */
};

/** State of a watch; it decides which thread drops the watch's reference to the link. */
enum watch_state {
	WATCH_UNREGISTERED, /* not registered with the pool, holds no reference */
	WATCH_ARMED,
	WATCH_HANDLING, /* a worker handles an event */
	WATCH_IDLE,	/* registered, waits for no event */
};

struct link {
	gint refs;
	struct peers *peers;
	uint64_t peer; /* member id; 0 on an accepted link before its HELLO */
	bool outgoing;
	int fd;
	int write_fd; /* duplicate of fd: reads and writes are armed separately */
	struct watch read_watch;
	struct watch write_watch;
	struct strbuf in; /* used only by the worker that reads */
	apr_pool_t *pool;

	struct lock lock; /* LOCK_LINK; guards the members below */
	enum watch_state read_state;
	enum watch_state write_state;
	enum link_state state;
	struct schedule schedule;   /* of the output */
	apr_thread_cond_t *drained; /* the output has room again, or the link is closed */
	bool writing;
	bool write_blocked;	/* another worker filled the socket while an event was handled */
	GHashTable *streams;	/* id -> struct stream_entry */
	uint64_t peer_features; /* as in the peer's last PONG */
	bool features_known;	/* a PONG has come */
	uint64_t next_stream;
	int64_t received_at_us; /* monotonic; last read */
	int64_t used_at_us;	/* monotonic; last stream opened or closed */
	int64_t moved_at_us;	/* monotonic; bytes of a large body last sent or received */
	bool late; /* the link was silent for SILENT_US while a large body was in transit */
};

struct link *link_new(struct peers *peers, int fd, bool outgoing, enum link_state state);
/** Starts to connect to a node; NULL if socket() or connect() fails. */
struct link *link_connect(struct peers *peers, uint64_t to, struct instant now);
/** Registers the accepted or connecting link with the pool. */
void link_start(struct link *link);
/** Opens a stream as peers_call() does; false if the link is closed. On success adds a reference to
 *  @p owner. */
bool link_open(struct link *link, struct stream_owner *owner, struct request_head *head,
	       const struct str *body, struct stream *stream);
/** Queues frames and writes as many bytes as the socket accepts. */
void link_write(struct link *link, struct str frames);
/** Closes the link and delivers PEER_LOST and PEER_RELEASED to the owners of its streams. */
void link_close(struct link *link);
void link_read(struct link *link);

/* Shared by link.c and frames.c. */
void link_begin_handling(struct link *link, enum watch_state *state);
/** Ends the handling of an event: the watch is rearmed, idle, or removed if the link is closed. */
void link_end_handling(struct link *link, struct watch *watch, enum watch_state *state, bool rearm,
		       int interest);
/** Adds a stream's entry and passes it the caller's reference to @p owner. LOCK_LINK is held. */
struct stream_entry *link_add_entry(struct link *link, uint64_t id, struct stream_owner *owner,
				    uint64_t request_end, struct body body);
/** Removes a stream's entry; returns its reference to the owner, NULL if there is no entry. */
struct stream_owner *link_remove_entry(struct link *link, uint64_t id);
/** Like link_remove_entry(). LOCK_LINK is held. */
struct stream_owner *link_take_entry(struct link *link, uint64_t id);
void link_release_owner(struct link *link, struct stream_owner *owner);

void link_writable(struct link *link);
/** After the workers have ended: closes the link and drops the references of its watches. */
void link_abandon(struct link *link);
void link_tick(struct link *link, struct instant now);

/* peers.c */
void peers_deliver(struct peers *peers, struct peer_event *event);
void peers_remove_link(struct peers *peers, struct link *link);
struct workers *peers_workers(struct peers *peers);
/** Adds one to a counter. */
void peers_count(struct peers *peers, struct str name);
uint64_t peers_fleet_tag(const struct peers *peers);
/** Counts bytes that a link has read. */
void peers_count_received(struct peers *peers, size_t bytes, struct instant now);
/** Returns whether bytes of other connections may delay those of any link. */
bool peers_line_is_full(struct peers *peers, struct instant now);
/** Decodes and delivers a message; false if the payload is not one. */
bool peers_receive_message(struct peers *peers, uint64_t from, struct str payload);

#endif
