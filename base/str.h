/**
 * @file
 * Length-counted strings: borrowed views, short inline labels, growable buffers.
 */
#ifndef BASE_STR_H
#define BASE_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A borrowed sequence of bytes that need not be NUL-terminated. */
struct str {
	const char *data;
	size_t len;
};

/** A view of a string literal. */
#define STR(literal) ((struct str){ (literal), sizeof(literal) - 1 })

/** printf arguments for a "%.*s" conversion of a struct str. */
#define STR_ARG(s) (int)(s).len, (s).data

enum { LABEL_MAX_BYTES = 39 };

/** A short name stored by value: a service, version, route, tenant or data centre. */
struct label {
	uint8_t len;
	char data[LABEL_MAX_BYTES];
};

/** A growable byte buffer; free with strbuf_clear(). */
struct strbuf {
	char *data;
	size_t len;
	size_t cap;
};

struct str str_from_cstr(const char *cstr);
struct str str_sub(struct str s, size_t from, size_t len);
bool str_equal(struct str a, struct str b);
bool str_equal_nocase(struct str a, struct str b);
bool str_has_prefix(struct str s, struct str prefix);
int str_compare(struct str a, struct str b);
uint64_t str_hash(struct str s, uint64_t seed);

/** Returns the part of @p s before the first @p sep, *rest is the part after it. Without a @p sep
 *  it returns all of @p s, and *rest is empty. */
struct str str_split(struct str s, char sep, struct str *rest);

/** Parses a decimal integer of at most 18 characters; false if @p s is anything else. */
bool str_to_int64(struct str s, int64_t *value);

/** Copies to a heap string owned by the caller; free .data with g_free(). */
struct str str_dup(struct str s);

/** Returns a NUL-terminated copy for a library call; free with g_free(). */
char *str_to_cstr(struct str s);

struct str label_str(const struct label *label);
bool label_equal(const struct label *a, const struct label *b);
bool label_is(const struct label *label, struct str s);
/** Truncates @p s to LABEL_MAX_BYTES; label_fits() checks its length beforehand. */
struct label label_from(struct str s);
bool label_fits(struct str s);

/** Hash and equality functions of labels for a GHashTable. */
unsigned int label_hash(const void *label);
int label_hash_equal(const void *a, const void *b);

struct str strbuf_str(const struct strbuf *buf);
void strbuf_reserve(struct strbuf *buf, size_t extra);
void strbuf_add(struct strbuf *buf, struct str s);
void strbuf_addf(struct strbuf *buf, const char *format, ...) __attribute__((format(printf, 2, 3)));
/** Appends @p s as a quoted JSON string. */
void strbuf_add_json(struct strbuf *buf, struct str s);
/** Removes the first @p n bytes. */
void strbuf_consume(struct strbuf *buf, size_t n);
void strbuf_clear(struct strbuf *buf);

#endif
