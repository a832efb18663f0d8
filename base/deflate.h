/**
 * @file
 * Compression of byte strings (zlib).
 */
#ifndef BASE_DEFLATE_H
#define BASE_DEFLATE_H

#include "base/str.h"

enum { DEFLATE_RATIO_MAX = 1032 /* no compressed string stands for more than this per byte */ };

/** Appends the compressed form of @p in; returns false if it would not be smaller. */
bool deflate_str(struct str in, struct strbuf *out);
/** Appends the original of @p in, which has @p len bytes; returns false if it has not. */
bool inflate_str(struct str in, size_t len, struct strbuf *out);

#endif
