#include "core/delta.h"

#include <string.h>

enum {
	PIECE_BYTES = 16, /* that a piece takes besides its text */
	WORTH_PART = 2,	  /* a delta is sent if it has less than this part of the text */
	HASH_SEED = 7,
	APPLIED_MAX = 16 << 20, /* bytes; no file comes near it, and a peer can't ask for more */
};

/* The old edition's lines, looked up once a line of the new one does not simply follow. */
struct differ {
	struct str old;
	GHashTable *lines; /* struct str * -> itself; NULL: not needed so far */
	GArray *views;	   /* struct str */
	GArray *pieces;
};

static guint line_hash(gconstpointer line)
{
	return (guint)str_hash(*(const struct str *)line, HASH_SEED);
}

static gboolean line_equal(gconstpointer a, gconstpointer b)
{
	return str_equal(*(const struct str *)a, *(const struct str *)b);
}

/* The first line of a text with its end; empty at the end of the text. */
static struct str first_line(struct str text)
{
	const char *end = text.len ? memchr(text.data, '\n', text.len) : NULL;

	return str_sub(text, 0, end ? (size_t)(end - text.data) + 1 : text.len);
}

static struct str rest_after(struct str text, struct str line)
{
	return str_sub(text, line.len, text.len - line.len);
}

static void index_lines(struct differ *differ)
{
	struct str rest = differ->old;

	differ->views = g_array_new(FALSE, FALSE, sizeof(struct str));
	while (rest.len) {
		struct str line = first_line(rest);

		g_array_append_val(differ->views, line);
		rest = rest_after(rest, line);
	}
	differ->lines = g_hash_table_new(line_hash, line_equal);
	for (guint i = 0; i < differ->views->len; i++)
		g_hash_table_add(differ->lines, &g_array_index(differ->views, struct str, i));
}

/* Where a line stands in the old edition; false if it does not. */
static bool find_line(struct differ *differ, struct str line, size_t *at)
{
	const struct str *found;

	if (!differ->lines)
		index_lines(differ);
	found = g_hash_table_lookup(differ->lines, &line);
	if (!found)
		return false;
	*at = (size_t)(found->data - differ->old.data);
	return true;
}

static struct piece *last_piece(const struct differ *differ)
{
	if (differ->pieces->len == 0)
		return NULL;
	return &g_array_index(differ->pieces, struct piece, differ->pieces->len - 1);
}

static void add_copy(struct differ *differ, size_t at, size_t len)
{
	struct piece *last = last_piece(differ);
	struct piece piece = { PIECE_COPY, { .copy = { at, len } } };

	if (last && last->kind == PIECE_COPY && last->copy.at + last->copy.len == at)
		last->copy.len += len;
	else
		g_array_append_val(differ->pieces, piece);
}

/* Texts are views of the new edition until the pieces are complete. */
static void add_text(struct differ *differ, struct str line)
{
	struct piece *last = last_piece(differ);
	struct piece piece = { PIECE_TEXT, { .text = line } };

	if (last && last->kind == PIECE_TEXT)
		last->text.len += line.len;
	else
		g_array_append_val(differ->pieces, piece);
}

static void compare(struct differ *differ, struct str new)
{
	size_t cursor = 0; /* in the old edition, behind what was copied last */

	while (new.len) {
		struct str line = first_line(new);
		size_t at = cursor;

		if (str_has_prefix(str_sub(differ->old, cursor, differ->old.len - cursor), line) ||
		    find_line(differ, line, &at)) {
			add_copy(differ, at, line.len);
			cursor = at + line.len;
		} else {
			add_text(differ, line);
		}
		new = rest_after(new, line);
	}
}

static size_t pieces_bytes(const GArray *pieces)
{
	size_t bytes = 0;

	for (guint i = 0; i < pieces->len; i++) {
		const struct piece *piece = &g_array_index(pieces, struct piece, i);

		bytes += PIECE_BYTES + (piece->kind == PIECE_TEXT ? piece->text.len : 0);
	}
	return bytes;
}

static void own_texts(GArray *pieces)
{
	for (guint i = 0; i < pieces->len; i++) {
		struct piece *piece = &g_array_index(pieces, struct piece, i);

		if (piece->kind == PIECE_TEXT)
			piece->text = str_dup(piece->text);
	}
}

struct delta *delta_between(int64_t base, struct str old, struct str new)
{
	struct differ differ = { .old = old, .pieces = delta_new_pieces() };
	struct delta *delta = NULL;

	compare(&differ, new);
	if (differ.lines) {
		g_hash_table_destroy(differ.lines);
		g_array_unref(differ.views);
	}
	if (pieces_bytes(differ.pieces) < new.len / WORTH_PART) {
		own_texts(differ.pieces);
		delta = delta_new(base, str_hash(new, HASH_SEED), differ.pieces);
	} else {
		g_array_unref(differ.pieces);
	}
	return delta;
}

/* What a piece stands for; false if it goes beyond the old edition. */
static bool piece_bytes(const struct piece *piece, struct str old, struct str *bytes)
{
	switch (piece->kind) {
	case PIECE_COPY:
		if (piece->copy.at > old.len || piece->copy.len > old.len - piece->copy.at)
			return false;
		*bytes = str_sub(old, piece->copy.at, piece->copy.len);
		return true;
	case PIECE_TEXT:
		*bytes = piece->text;
		return true;
	}
	g_assert_not_reached();
}

bool delta_apply(const struct delta *delta, struct str old, struct strbuf *out)
{
	size_t start = out->len;

	for (guint i = 0; i < delta->pieces->len; i++) {
		struct str part;

		if (!piece_bytes(&g_array_index(delta->pieces, struct piece, i), old, &part) ||
		    out->len - start + part.len > APPLIED_MAX)
			return false;
		strbuf_add(out, part);
	}
	return str_hash(str_sub(strbuf_str(out), start, out->len - start), HASH_SEED) ==
	       delta->hash;
}

GArray *delta_new_pieces(void)
{
	return g_array_new(FALSE, TRUE, sizeof(struct piece));
}

void delta_free_pieces(GArray *pieces)
{
	for (guint i = 0; i < pieces->len; i++) {
		struct piece *piece = &g_array_index(pieces, struct piece, i);

		if (piece->kind == PIECE_TEXT)
			g_free((char *)piece->text.data);
	}
	g_array_unref(pieces);
}

struct delta *delta_new(int64_t base, uint64_t hash, GArray *pieces)
{
	struct delta *delta = g_new0(struct delta, 1);

	delta->refs = 1;
	delta->base = base;
	delta->hash = hash;
	delta->pieces = pieces;
	return delta;
}

struct delta *delta_ref(struct delta *delta)
{
	if (delta)
		g_atomic_int_inc(&delta->refs);
	return delta;
}

void delta_unref(struct delta *delta)
{
	if (!delta || !g_atomic_int_dec_and_test(&delta->refs))
		return;
	delta_free_pieces(delta->pieces);
	g_free(delta);
}
