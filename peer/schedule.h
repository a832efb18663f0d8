/**
 * @file
 * The order in which a link sends its frames. Heads, control frames and small bodies go first;
 * large bodies follow frame by frame, in turn between their streams, whenever nothing else waits.
 * Within a stream the order stays, except that WINDOW and CANCEL may overtake its body. The code
 * knows no sockets; the link's lock guards a schedule. Internal to peer/.
 */
#ifndef PEER_SCHEDULE_H
#define PEER_SCHEDULE_H

#include <glib.h>

#include "peer/wire.h"

enum {
	/* Bodies of up to this size go with the heads: 13 ms of a link of 10 Mbit/s. */
	SMALL_DATA_BYTES = 16 << 10,
};

struct schedule {
	struct strbuf rest;   /* of a DATA frame that the socket took in part: precedes all */
	struct strbuf urgent; /* heads, control frames and small bodies */
	GQueue turns;	      /* struct bulk: streams with frames of large bodies, next one first */
	GHashTable *bulk;     /* id -> struct bulk, owned */
	size_t bulk_bytes;
	uint64_t queued; /* total bytes appended to urgent */
	uint64_t taken;	 /* total bytes taken from urgent for the socket and not put back */
};

/** Bytes taken for the socket. */
enum piece_kind { PIECE_URGENT, PIECE_BULK };

struct piece {
	enum piece_kind kind;
	struct strbuf bytes;
};

void schedule_init(struct schedule *schedule);
void schedule_clear(struct schedule *schedule);
/**
 * Queues whole frames of one stream, or of none. With @p open false, parts of a body are dropped:
 * the stream has ended. Returns whether there were parts of a body.
 */
bool schedule_add(struct schedule *schedule, struct str frames, bool open);
/** Drops the frames of a stream's large body that the socket has not got. */
void schedule_drop(struct schedule *schedule, uint64_t stream);
/** Takes what is to be sent next; false if nothing waits. Free the piece's bytes. */
bool schedule_take(struct schedule *schedule, struct piece *piece);
/** Puts back what the socket has not accepted of a piece, before another one is taken. Takes over
 *  the piece's bytes. */
void schedule_put_back(struct schedule *schedule, struct piece *piece, size_t sent);
/** Returns the bytes that wait. */
size_t schedule_bytes(const struct schedule *schedule);

#endif
