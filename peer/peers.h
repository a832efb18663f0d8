/**
 * @file
 * Communication with other nodes: small messages as datagrams, large ones and calls over links
 * (TCP). A call is a stream on a link; a stream's id is never reused on that link.
 */
#ifndef PEER_PEERS_H
#define PEER_PEERS_H

#include <glib.h>

#include "base/metrics.h"
#include "base/workers.h"
#include "core/line.h"
#include "core/message.h"
#include "peer/wire.h"

struct peers;
struct link;

/**
 * First member of the object that handles a stream. The link's table holds one reference while
 * the stream is open, and drops it by PEER_RELEASED.
 */
struct stream_owner {
	gint refs;
	int kind; /**< the program's own tag */
};

enum peer_event_kind {
	PEER_MESSAGE,
	PEER_REQUEST, /**< a call for this node's target; set .request.owner to accept it */
	PEER_ADMIT,   /**< the accepted call, its stream now open; set .wants_run to get PEER_RUN */
	PEER_RESPONSE,
	PEER_REFUSED,
	PEER_DATA,     /**< bytes of a body, in order, at most as many as its head announced */
	PEER_END,      /**< the body is whole: as its head announced it, and its checksum matches */
	PEER_WINDOW,   /**< the other side consumed bytes, or grants a body that waits */
	PEER_LOST,     /**< the stream was cancelled, its link closed, or its body was broken */
	PEER_RELEASED, /**< drop the table's reference to the owner */
	PEER_RUN,      /**< the admitted call is to run on this worker */
};

/** An event of a link or stream. The tag selects the union member. */
struct peer_event {
	enum peer_event_kind kind;
	struct stream_owner *owner; /**< set for all kinds but PEER_MESSAGE and PEER_REQUEST */
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
			struct stream_owner *owner; /**< out: one reference; NULL: refused */
		} request;
		bool wants_run; /**< PEER_ADMIT, out: deliver PEER_RUN once the link is rearmed */
		const struct response_head *response;
		const struct refusal *refusal;
		struct str bytes;
		uint64_t consumed;    /**< PEER_WINDOW: bytes since the last one */
		enum verdict verdict; /**< PEER_LOST */
	};
};

/** A range of IPv4 addresses that belong to the fleet. */
struct address_range {
	uint32_t network; /**< host byte order */
	int prefix_bits;
};

enum { RANGES_MAX = 16 };

struct peers_options {
	uint64_t self;	/**< member id; for port 0 the kernel chooses, see peers_self() */
	uint64_t fleet; /**< tag; messages and links with another tag are refused */
	struct address_range ranges[RANGES_MAX];
	int range_count;
	struct workers *workers;
	struct metrics *metrics;
	struct line *line; /**< the VM's; links count what they read; NULL: not known */
	void (*handle)(void *context, struct peer_event *event);
	void *context;
};

/** Binds the node's address and listens. Returns NULL and sets @p error on failure. */
struct peers *peers_new(const struct peers_options *options, apr_pool_t *pool, GError **error);
/** Closes all links and frees the table. The workers must have ended. */
void peers_free(struct peers *peers);
/** Returns this node's member id. */
uint64_t peers_self(const struct peers *peers);
/** Starts to receive datagrams and accept links. */
void peers_start(struct peers *peers);

/** Sends a message: as a datagram if it fits, over a link otherwise. */
void peers_send(struct peers *peers, uint64_t to, const struct message *message);

/** Identifies a stream. Copies share the reference to the link, see link_ref(). */
struct stream {
	struct link *link;
	uint64_t id;
};

/**
 * Opens a stream to a node and sends the request's head. With head->body_waits set, the body is to
 * wait for PEER_WINDOW; the function clears it if the node is known not to grant bodies. Unless the
 * body waits, @p body, if not NULL, is the complete body and goes with the head. *stream is set
 * before anything is sent, with a reference to the link for the caller. Returns false if no link
 * can be opened: nothing was sent, and @p owner gets no reference.
 */
bool peers_call(struct peers *peers, uint64_t to, struct stream_owner *owner,
		struct request_head *head, const struct str *body, struct stream *stream);

/** Sends frames made with wire_put_*() and empties @p frames. */
void stream_send(struct stream stream, struct strbuf *frames);
/** Waits until the output of the stream's link has room, @p us microseconds at most. Returns false
 *  if it has none then; a closed link has. Takes LOCK_LINK. */
bool stream_wait_room(struct stream stream, int64_t us);
/** Ends a stream on this side; later frames for it are dropped. Releases the owner. */
void stream_close(struct stream stream);
/**
 * Sends CANCEL to the other side and closes the stream. Releases the owner. Returns VERDICT_NOT_RUN
 * if the request can't have run, since its body waited for a grant and nothing of it was sent; also
 * if the stream was closed before: VERDICT_MAY_HAVE_RUN.
 */
enum verdict stream_cancel(struct stream stream);
struct link *link_ref(struct link *link);
void link_unref(struct link *link);

/** Called every 100 ms: pings silent links with open streams, closes dead and idle links. */
void peers_tick(struct peers *peers, struct instant now);
/** Returns the bytes queued on all links. Takes LOCK_LINKS and each LOCK_LINK. */
size_t peers_unsent(struct peers *peers);

/* Called by the pool's handler. */
void peers_on_listen(struct peers *peers);
void peers_on_datagram(struct peers *peers);
void peers_on_link_read(struct peers *peers, struct link *link);
void peers_on_link_write(struct peers *peers, struct link *link);

#endif
