/**
 * @file
 * One TCP connection to another node; internal to peer/.
 */
#ifndef PEER_LINK_H
#define PEER_LINK_H

#include "base/lockorder.h"
#include "peer/peers.h"

enum link_state { LINK_CONNECTING, LINK_OPEN, LINK_CLOSED };

/** A stream as the link keeps it. */
struct stream_entry {
	uint64_t id;
	struct stream_owner *owner; /* one reference */
	uint64_t request_end;	    /* position in the link's output after the request's head */
	struct body_sum received;   /* of the body that comes in */
};

/** Where a watch stands: who may let go of its reference follows from it. */
enum arming {
	ARM_NONE, /* not with the pool: holds no reference */
	ARM_ARMED,
	ARM_HANDLING, /* a worker has it */
	ARM_IDLE,     /* with the pool, waiting for nothing */
};

struct link {
	gint refs;
	struct peers *peers;
	uint64_t peer; /* member id; 0 until an accepted link said hello */
	bool outgoing;
	int fd;
	int write_fd; /* a duplicate, so that reading and writing are armed apart */
	struct watch read_watch;
	struct watch write_watch;
	struct strbuf in; /* only the one worker that reads */
	apr_pool_t *pool;

	struct lock lock; /* LOCK_LINK: all below */
	enum arming reading;
	enum arming write_arming;
	enum link_state state;
	struct strbuf out;
	bool writing;
	uint64_t queued;     /* bytes ever put into out */
	uint64_t written;    /* bytes ever handed to the socket */
	GHashTable *streams; /* id -> struct stream_entry */
	uint64_t next_stream;
	int64_t received_at_us; /* monotonic; last byte in */
	int64_t used_at_us;	/* monotonic; last stream opened or closed */
};

struct link *link_new(struct peers *peers, int fd, bool outgoing, enum link_state state);
/** Starts an outgoing link; NULL if there is no socket. */
struct link *link_connect(struct peers *peers, uint64_t to, struct instant now);
/** Gives the accepted or connecting link to the pool. */
void link_start(struct link *link);
/** Opens a stream; false if the link is closed. Takes a reference of @p owner if it succeeds. */
bool link_open(struct link *link, struct stream_owner *owner, const struct request_head *head,
	       const struct str *body, struct stream *stream);
/** Queues frames and writes what the socket takes. */
void link_write(struct link *link, struct str frames);
/** Closes the link and tells the owners of all its streams. */
void link_close(struct link *link);
void link_read(struct link *link);

/* Between link.c and frames.c */
void link_begin_handling(struct link *link, enum arming *arming);
/** A worker is through with a watch: it waits again, stays idle, or goes with the link. */
void link_end_handling(struct link *link, struct watch *watch, enum arming *arming, bool rearm,
		       int interest);
/** Makes the entry that later frames of the stream are for. LOCK_LINK is held. */
void link_add_entry(struct link *link, uint64_t id, struct stream_owner *owner,
		    uint64_t request_end);
/** Removes a stream's entry and gives its reference of the owner; NULL if it is gone already. */
struct stream_owner *link_take_owner(struct link *link, uint64_t id);
void link_release_owner(struct link *link, struct stream_owner *owner);

void link_writable(struct link *link);
/** Without workers any more: closes, and drops the references of its watches. */
void link_abandon(struct link *link);
void link_tick(struct link *link, struct instant now);

/* peers.c */
void peers_deliver(struct peers *peers, struct peer_event *event);
void peers_forget(struct peers *peers, struct link *link);
struct workers *peers_workers(struct peers *peers);
uint64_t peers_fleet(const struct peers *peers);
/** Decodes and delivers; false if it is no message. */
bool peers_take_message(struct peers *peers, uint64_t from, struct str payload);

#endif
