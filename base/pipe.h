/**
 * @file
 * A body in transit: a bounded byte queue between one writer and one reader. Each side either
 * blocks with a deadline or returns at once. pipe_write() and pipe_finish() return whether a reader
 * that does not block must be woken. All functions but pipe_new() and pipe_unref() take LOCK_PIPE.
 */
#ifndef BASE_PIPE_H
#define BASE_PIPE_H

#include <apr_pools.h>

#include "base/clock.h"
#include "base/memory.h"
#include "base/str.h"

enum pipe_end {
	PIPE_OPEN,   /**< more bytes may follow */
	PIPE_DONE,   /**< the body is complete */
	PIPE_FAILED, /**< the body is cut off; the reader must not treat it as complete */
};

struct pipe;

/** pipe_write_wait() waits for room while @p limit bytes or more are buffered. The pipe uses
 *  @p pool, which must live as long. */
struct pipe *pipe_new(size_t limit, apr_pool_t *pool);
/** Counts the pipe's buffer in an account from now on. To be called before anything is written. */
void pipe_set_account(struct pipe *pipe, struct memory *memory, struct memory_holder *holder,
		      enum memory_use use);
void pipe_unref(struct pipe *pipe);

/** Appends all of @p bytes, even past the limit; true if a reader was waiting. */
bool pipe_write(struct pipe *pipe, struct str bytes);
/** Waits for room, then appends. False if the pipe is abandoned or @p deadline passed. */
bool pipe_write_wait(struct pipe *pipe, struct str bytes, struct deadline deadline);
bool pipe_has_room(struct pipe *pipe);
/** Ends the body unless it has ended already; true if a reader was waiting. */
bool pipe_finish(struct pipe *pipe, enum pipe_end end);

/** Reads up to @p cap bytes. On 0 with *end PIPE_OPEN the reader counts as waiting. */
size_t pipe_read(struct pipe *pipe, char *into, size_t cap, enum pipe_end *end);
/** Waits for bytes or the end of the body, which ends as PIPE_FAILED if @p deadline passes. */
size_t pipe_read_wait(struct pipe *pipe, char *into, size_t cap, enum pipe_end *end,
		      struct deadline deadline);
/** Waits until bytes can be read or the body has ended; false if it is cut off or @p deadline
 * passed before. Reads nothing. */
bool pipe_wait(struct pipe *pipe, struct deadline deadline);
/** Ends the reading side: the buffer is freed, later writes are discarded and pipe_write_wait()
 *  fails. */
void pipe_abandon(struct pipe *pipe);
/** Returns the number of bytes that were written but not read. */
size_t pipe_buffered_bytes(struct pipe *pipe);

#endif
