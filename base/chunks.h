/**
 * @file
 * Decodes an HTTP body in chunks and finds its end. Each line around the chunks ends in CR and LF.
 */
#ifndef BASE_CHUNKS_H
#define BASE_CHUNKS_H

#include "base/str.h"

enum chunks_state {
	CHUNKS_SIZE,	      /**< digits of a size */
	CHUNKS_BLANK,	      /**< white space behind a size */
	CHUNKS_EXTENSION,     /**< rest of the line with the size */
	CHUNKS_SIZE_LF,	      /**< last byte of that line */
	CHUNKS_DATA,	      /**< bytes of a chunk */
	CHUNKS_DATA_CR,	      /**< end of the line behind a chunk */
	CHUNKS_DATA_LF,	      /**< last byte of that line */
	CHUNKS_TRAILER,	      /**< a field of the trailer, or the empty line that ends it */
	CHUNKS_TRAILER_NAME,  /**< rest of a field's name */
	CHUNKS_TRAILER_VALUE, /**< rest of a field */
	CHUNKS_TRAILER_LF,    /**< last byte of a field's line */
	CHUNKS_LAST_LF,	      /**< last byte of the empty line */
	CHUNKS_ENDED,
	CHUNKS_MALFORMED, /**< the bytes are no chunks */
};

/** A body as far as it came; zero at its start. */
struct chunks {
	enum chunks_state state;
	int digits;		/**< of the size that is being read */
	uint64_t left;		/**< bytes of the chunk that are to come */
	uint64_t trailer_bytes; /**< that came of the trailer */
	uint64_t data;		/**< bytes of chunks that came */
	uint64_t total;		/**< all bytes that came */
};

/**
 * Decodes bytes at the front of @p input and removes them.
 *
 * @return the next bytes of the body, a view of @p input; empty if @p input holds no more of them.
 *         Bytes behind the body's end, or behind what is no chunk, stay in @p input.
 */
struct str chunks_next(struct chunks *chunks, struct str *input);
/**
 * Returns whether a body in chunks, of whose @p total bytes @p data are its own, has too little of
 * them. Lines with sizes have no other limit, and reading them takes time from other work.
 */
bool chunks_are_hollow(uint64_t total, uint64_t data);

#endif
