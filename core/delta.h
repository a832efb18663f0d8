/**
 * @file
 * Line-based difference between two texts. A change to a few of a file's thousands of routes is
 * sent in a few hundred bytes.
 */
#ifndef CORE_DELTA_H
#define CORE_DELTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

enum segment_kind { SEGMENT_COPY, SEGMENT_TEXT };

/** A segment of the new text. The kind selects the member of the union. */
struct delta_segment {
	enum segment_kind kind;
	union {
		struct {
			uint64_t offset; /**< offset in the old text, bytes */
			uint64_t len;	 /**< bytes */
		} copy;			 /**< SEGMENT_COPY */
		struct str text;	 /**< SEGMENT_TEXT, owned */
	};
};

/** The segments that produce a new text. Immutable and reference-counted. */
struct delta {
	gint refs;
	int64_t base;			 /**< version of the old text */
	uint64_t hash;			 /**< hash of the new text */
	GArray *segments;		 /**< struct delta_segment, in the order of the new text */
	struct delta_encoding *encoding; /**< atomic; NULL until a codec has encoded the delta */
};

/** The segments as a codec sends them, made once for all receivers. */
struct delta_encoding {
	struct str bytes; /**< owned; empty if compression gains nothing */
	size_t plain_len; /**< bytes before compression */
};

/** Takes ownership of @p segments. */
struct delta *delta_new(int64_t base, uint64_t hash, GArray *segments);
GArray *delta_new_segments(void);
/** Frees segments that no delta owns. */
void delta_free_segments(GArray *segments);
/** Returns about the size of the encoded delta, in bytes; compressed if it was sent so. */
size_t delta_size(struct delta *delta);
struct delta *delta_ref(struct delta *delta);
void delta_unref(struct delta *delta);

/** Returns the difference, or NULL unless it is smaller than the new text. */
struct delta *delta_between(int64_t base, struct str old, struct str new);
enum { DELTA_NO_BASE = 0 };
/** Returns a delta with base DELTA_NO_BASE, which applies to an empty text. */
struct delta *delta_whole(struct str new);
/** Sets the encoding unless it is set, and returns the one that is set. Takes ownership. */
const struct delta_encoding *delta_set_encoding(struct delta *delta,
						struct delta_encoding *encoding);
/** Appends the new text to @p out; returns false if the delta is not for @p old. */
bool delta_apply(const struct delta *delta, struct str old, struct strbuf *out);

#endif
