/**
 * @file
 * A body in transit: a bounded byte queue between one writer and one reader. Each side either
 * blocks with a deadline or is told to wait and woken by the other's return value.
 */
#ifndef BASE_PIPE_H
#define BASE_PIPE_H

#include <apr_pools.h>

#include "base/clock.h"
#include "base/str.h"

enum pipe_end {
	PIPE_OPEN,   /**< more may come */
	PIPE_DONE,   /**< the writer gave the whole body */
	PIPE_FAILED, /**< the body is cut; the reader must not take it as whole */
};

struct pipe;

/** @p limit bounds the bytes held. */
struct pipe *pipe_new(size_t limit, apr_pool_t *pool);
void pipe_unref(struct pipe *pipe);

/** Appends all of @p bytes, past the limit if need be; true if a reader was waiting. */
bool pipe_put(struct pipe *pipe, struct str bytes);
/** Waits for room, then appends. False if the reader gave up or @p deadline passed. */
bool pipe_put_wait(struct pipe *pipe, struct str bytes, struct deadline deadline);
bool pipe_has_room(struct pipe *pipe);
/** Ends the body. True if a reader was waiting. */
bool pipe_finish(struct pipe *pipe, enum pipe_end end);

/** Takes up to @p cap bytes; 0 with *end PIPE_OPEN means nothing yet: the reader is noted. */
size_t pipe_take(struct pipe *pipe, char *into, size_t cap, enum pipe_end *end);
/** Waits for bytes or the end; PIPE_FAILED if @p deadline passes. */
size_t pipe_take_wait(struct pipe *pipe, char *into, size_t cap, enum pipe_end *end,
		      struct deadline deadline);
/** The reader wants no more: writers fail from here on. */
void pipe_abandon(struct pipe *pipe);
size_t pipe_held(struct pipe *pipe);

#endif
