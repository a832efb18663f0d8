/**
 * @file
 * What has changed between two editions of a text, by lines: a file of thousands of routes of which
 * a few change travels in a few hundred bytes.
 */
#ifndef CORE_DELTA_H
#define CORE_DELTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

enum piece_kind { PIECE_COPY, PIECE_TEXT };

/** A part of the new edition. The tag says which member holds. */
struct piece {
	enum piece_kind kind;
	union {
		struct {
			uint64_t at; /**< in the old edition, bytes */
			uint64_t len;
		} copy;		 /**< PIECE_COPY */
		struct str text; /**< PIECE_TEXT, owned */
	};
};

/** Immutable and counted. */
struct delta {
	gint refs;
	int64_t base;	/**< version of the old edition */
	uint64_t hash;	/**< of the new edition */
	GArray *pieces; /**< struct piece, in the order of the new edition */
};

/** Takes over @p pieces; with delta_free_pieces() they go before that. */
struct delta *delta_new(int64_t base, uint64_t hash, GArray *pieces);
GArray *delta_new_pieces(void);
void delta_free_pieces(GArray *pieces);
struct delta *delta_ref(struct delta *delta);
void delta_unref(struct delta *delta);

/** The difference, or NULL if sending the whole new edition is hardly more. */
struct delta *delta_between(int64_t base, struct str old, struct str new);
/** Appends the new edition to @p out; false if @p old is not the edition that was meant. */
bool delta_apply(const struct delta *delta, struct str old, struct strbuf *out);

#endif
