/**
 * @file
 * The other nodes: datagrams for small messages, links (TCP) for large ones and for calls. Calls
 * are streams on a link; a stream's id is never used again on that link.
 */
#ifndef PEER_PEERS_H
#define PEER_PEERS_H

#include <glib.h>

#include "base/counter.h"
#include "base/workers.h"
#include "core/message.h"
#include "peer/wire.h"

struct peers;
struct link;

/**
 * Embedded first in whatever stands behind a stream. The table holds one reference while the
 * stream is open, and gives it back by PEER_RELEASED.
 */
struct stream_owner {
	gint refs;
	int kind; /**< the program's own tag */
};

enum peer_event_kind {
	PEER_MESSAGE,
	PEER_REQUEST, /**< a call for this node's target; set .request.owner to take it */
	PEER_ADMIT,   /**< the taken call, its stream now open; set .run to have PEER_RUN */
	PEER_RESPONSE,
	PEER_REFUSED,
	PEER_DATA,     /**< bytes of a body, in order */
	PEER_END,      /**< the whole body came, and its checksum is right */
	PEER_WINDOW,   /**< the other side took bytes */
	PEER_LOST,     /**< the stream ended without an end: link gone, cut or cancelled */
	PEER_RELEASED, /**< drops the table's reference */
	PEER_RUN,      /**< a call taken by PEER_REQUEST that wants to run on this worker */
};

/** What came from a peer. The tag says which member holds. */
struct peer_event {
	enum peer_event_kind kind;
	struct stream_owner *owner; /**< all but MESSAGE and REQUEST */
	union {
		struct {
			uint64_t from;
			struct message *message;
		} message;
		struct {
			struct link *link;
			uint64_t stream;
			uint64_t from;
			const struct request_head *head;
			struct stream_owner *owner; /**< out: one reference; NULL drops it */
		} request;
		bool run; /**< PEER_ADMIT, out: deliver PEER_RUN once the link is free again */
		const struct response_head *response;
		const struct refusal *refusal;
		struct str bytes;
		uint64_t taken;	      /**< PEER_WINDOW */
		enum verdict verdict; /**< PEER_LOST */
	};
};

/** A range of addresses that belong to the fleet. */
struct address_range {
	uint32_t network; /**< host byte order */
	int prefix_bits;
};

enum { RANGES_MAX = 16 };

struct peers_options {
	uint64_t self;	/**< with port 0 the kernel chooses, see peers_self() */
	uint64_t fleet; /**< tag; what comes with another one is refused */
	struct address_range ranges[RANGES_MAX];
	int range_count;
	struct workers *workers;
	struct metrics *metrics;
	void (*handle)(void *context, struct peer_event *event);
	void *context;
};

/** Listens on the node's own address. Returns NULL and sets @p error if it can't. */
struct peers *peers_new(const struct peers_options *options, apr_pool_t *pool, GError **error);
/** After the workers have ended. */
void peers_free(struct peers *peers);
/** This node's member id. */
uint64_t peers_self(const struct peers *peers);
/** Starts to take datagrams and links. */
void peers_start(struct peers *peers);

/** Sends a message: as a datagram if it fits, over a link otherwise. */
void peers_send(struct peers *peers, uint64_t to, const struct message *message);

/** Where a stream goes; copied freely, counted by link_ref(). */
struct stream {
	struct link *link;
	uint64_t id;
};

/**
 * Opens a stream to a node and sends the request's head, with a whole body if @p body is not
 * NULL. *stream is set before anything is sent, with a reference to the link for the caller.
 * False if there is no link to be had: nothing was sent, and no reference of @p owner is taken.
 */
bool peers_call(struct peers *peers, uint64_t to, struct stream_owner *owner,
		const struct request_head *head, const struct str *body, struct stream *stream);

/** Sends frames that were put together with wire_put_*(). */
void stream_send(struct stream stream, struct strbuf *frames);
/** Ends a stream on this side; what still arrives for it is dropped. Releases the owner. */
void stream_close(struct stream stream);
/** Tells the other side to stop, then closes. */
void stream_cancel(struct stream stream);
struct link *link_ref(struct link *link);
void link_unref(struct link *link);

/** Every 100 ms: heartbeats on links with open streams, retires silent ones, closes idle ones. */
void peers_tick(struct peers *peers, struct instant now);
/** Bytes that wait to be written on all links. */
size_t peers_unsent(struct peers *peers);

/* For the pool's handler */
void peers_on_listen(struct peers *peers);
void peers_on_datagram(struct peers *peers);
void peers_on_link_read(struct peers *peers, struct link *link);
void peers_on_link_write(struct peers *peers, struct link *link);

#endif
