#include "core/delta.h"

#include <string.h>

enum {
	SEGMENT_OVERHEAD_BYTES = 16, /* encoded size of a segment without its text */
	HASH_SEED = 7,
	APPLIED_MAX_BYTES = 16 << 20, /* limit of a peer's expanded delta; files are far smaller */
};

/* State of a comparison. The lines of the old text are indexed when they are first searched. */
struct diff {
	struct str old;
	GHashTable *line_index; /* set of struct str *; NULL: not built yet */
	GArray *line_views;	/* struct str, the lines of the old text */
	GArray *segments;
};

static guint line_hash(gconstpointer line)
{
	return (guint)str_hash(*(const struct str *)line, HASH_SEED);
}

static gboolean line_equal(gconstpointer a, gconstpointer b)
{
	return str_equal(*(const struct str *)a, *(const struct str *)b);
}

/* Returns the first line of a text with its newline; empty if the text is empty. */
static struct str first_line(struct str text)
{
	const char *end = text.len ? memchr(text.data, '\n', text.len) : NULL;

	return str_sub(text, 0, end ? (size_t)(end - text.data) + 1 : text.len);
}

static struct str rest_after(struct str text, struct str line)
{
	return str_sub(text, line.len, text.len - line.len);
}

static void index_lines(struct diff *diff)
{
	struct str rest = diff->old;

	diff->line_views = g_array_new(FALSE, FALSE, sizeof(struct str));
	while (rest.len) {
		struct str line = first_line(rest);

		g_array_append_val(diff->line_views, line);
		rest = rest_after(rest, line);
	}
	diff->line_index = g_hash_table_new(line_hash, line_equal);
	for (guint i = 0; i < diff->line_views->len; i++)
		g_hash_table_add(diff->line_index, &g_array_index(diff->line_views, struct str, i));
}

/* Finds the offset of a line in the old text; returns false if there is none. */
static bool find_line(struct diff *diff, struct str line, size_t *offset)
{
	const struct str *found;

	if (!diff->line_index)
		index_lines(diff);
	found = g_hash_table_lookup(diff->line_index, &line);
	if (!found)
		return false;
	*offset = (size_t)(found->data - diff->old.data);
	return true;
}

static struct delta_segment *last_segment(const struct diff *diff)
{
	if (diff->segments->len == 0)
		return NULL;
	return &g_array_index(diff->segments, struct delta_segment, diff->segments->len - 1);
}

static void add_copy(struct diff *diff, size_t offset, size_t len)
{
	struct delta_segment *last = last_segment(diff);
	struct delta_segment segment = { SEGMENT_COPY, { .copy = { offset, len } } };

	if (last && last->kind == SEGMENT_COPY && last->copy.offset + last->copy.len == offset)
		last->copy.len += len;
	else
		g_array_append_val(diff->segments, segment);
}

/* Texts are borrowed from the new text until copy_texts(). */
static void add_text(struct diff *diff, struct str line)
{
	struct delta_segment *last = last_segment(diff);
	struct delta_segment segment = { SEGMENT_TEXT, { .text = line } };

	if (last && last->kind == SEGMENT_TEXT)
		last->text.len += line.len;
	else
		g_array_append_val(diff->segments, segment);
}

static void compare_lines(struct diff *diff, struct str new)
{
	size_t cursor = 0; /* end of the last copied range of the old text */

	while (new.len) {
		struct str line = first_line(new);
		size_t offset = cursor;

		if (str_has_prefix(str_sub(diff->old, cursor, diff->old.len - cursor), line) ||
		    find_line(diff, line, &offset)) {
			add_copy(diff, offset, line.len);
			cursor = offset + line.len;
		} else {
			add_text(diff, line);
		}
		new = rest_after(new, line);
	}
}

static size_t encoded_size(const GArray *segments)
{
	size_t bytes = 0;

	for (guint i = 0; i < segments->len; i++) {
		const struct delta_segment *segment =
			&g_array_index(segments, struct delta_segment, i);

		bytes += SEGMENT_OVERHEAD_BYTES +
			 (segment->kind == SEGMENT_TEXT ? segment->text.len : 0);
	}
	return bytes;
}

static void copy_texts(GArray *segments)
{
	for (guint i = 0; i < segments->len; i++) {
		struct delta_segment *segment = &g_array_index(segments, struct delta_segment, i);

		if (segment->kind == SEGMENT_TEXT)
			segment->text = str_dup(segment->text);
	}
}

struct delta *delta_between(int64_t base, struct str old, struct str new)
{
	struct diff diff = { .old = old, .segments = delta_new_segments() };
	struct delta *delta = NULL;

	compare_lines(&diff, new);
	if (diff.line_index) {
		g_hash_table_destroy(diff.line_index);
		g_array_unref(diff.line_views);
	}
	if (encoded_size(diff.segments) < new.len) {
		copy_texts(diff.segments);
		delta = delta_new(base, str_hash(new, HASH_SEED), diff.segments);
	} else {
		g_array_unref(diff.segments);
	}
	return delta;
}

struct delta *delta_whole(struct str new)
{
	struct delta_segment segment = { SEGMENT_TEXT, { .text = str_dup(new) } };
	GArray *segments = delta_new_segments();

	g_array_append_val(segments, segment);
	return delta_new(DELTA_NO_BASE, str_hash(new, HASH_SEED), segments);
}

static void encoding_free(struct delta_encoding *encoding)
{
	if (!encoding)
		return;
	g_free((char *)encoding->bytes.data);
	g_free(encoding);
}

const struct delta_encoding *delta_set_encoding(struct delta *delta,
						struct delta_encoding *encoding)
{
	if (g_atomic_pointer_compare_and_exchange(&delta->encoding, NULL, encoding))
		return encoding;
	encoding_free(encoding);
	return g_atomic_pointer_get(&delta->encoding);
}

/* Finds the text of a segment; returns false if its range is not within the old text. */
static bool segment_text(const struct delta_segment *segment, struct str old, struct str *bytes)
{
	switch (segment->kind) {
	case SEGMENT_COPY:
		if (segment->copy.offset > old.len ||
		    segment->copy.len > old.len - segment->copy.offset)
			return false;
		*bytes = str_sub(old, segment->copy.offset, segment->copy.len);
		return true;
	case SEGMENT_TEXT:
		*bytes = segment->text;
		return true;
	}
	g_assert_not_reached();
}

bool delta_apply(const struct delta *delta, struct str old, struct strbuf *out)
{
	size_t start = out->len;

	for (guint i = 0; i < delta->segments->len; i++) {
		struct str text;

		if (!segment_text(&g_array_index(delta->segments, struct delta_segment, i), old,
				  &text) ||
		    out->len - start + text.len > APPLIED_MAX_BYTES)
			return false;
		strbuf_add(out, text);
	}
	return str_hash(str_sub(strbuf_str(out), start, out->len - start), HASH_SEED) ==
	       delta->hash;
}

GArray *delta_new_segments(void)
{
	return g_array_new(FALSE, TRUE, sizeof(struct delta_segment));
}

void delta_free_segments(GArray *segments)
{
	for (guint i = 0; i < segments->len; i++) {
		struct delta_segment *segment = &g_array_index(segments, struct delta_segment, i);

		if (segment->kind == SEGMENT_TEXT)
			g_free((char *)segment->text.data);
	}
	g_array_unref(segments);
}

size_t delta_size(struct delta *delta)
{
	const struct delta_encoding *encoding = g_atomic_pointer_get(&delta->encoding);

	return encoding && encoding->bytes.len ? encoding->bytes.len
					       : encoded_size(delta->segments);
}

struct delta *delta_new(int64_t base, uint64_t hash, GArray *segments)
{
	struct delta *delta = g_new0(struct delta, 1);

	delta->refs = 1;
	delta->base = base;
	delta->hash = hash;
	delta->segments = segments;
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
	delta_free_segments(delta->segments);
	encoding_free(delta->encoding);
	g_free(delta);
}
