/**
 * @file
 * Finds the end of an HTTP body in chunks.
 */
#ifndef BASE_CHUNKS_H
#define BASE_CHUNKS_H

#include "base/str.h"

enum chunks_state {
	CHUNKS_SIZE,	/**< digits of a size */
	CHUNKS_REST,	/**< rest of the line with the size */
	CHUNKS_DATA,	/**< bytes of a chunk */
	CHUNKS_LINE,	/**< end of the line behind a chunk */
	CHUNKS_TRAILER, /**< a trailer, or the empty line behind the last chunk */
	CHUNKS_ENDED,
};

/** A body as far as it came; zero at its start. */
struct chunks {
	enum chunks_state state;
	uint64_t left;	 /**< bytes of the chunk that are to come */
	size_t line_len; /**< of a trailer, without its end */
};

/** Reads the next bytes; those behind the body's end are ignored. */
void chunks_read(struct chunks *chunks, struct str bytes);

#endif
