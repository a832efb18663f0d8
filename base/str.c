#include "base/str.h"

#include <glib.h>
#include <glib/gprintf.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

struct str str_from_cstr(const char *cstr)
{
	return (struct str){ cstr, cstr ? strlen(cstr) : 0 };
}

struct str str_sub(struct str s, size_t from, size_t len)
{
	if (from > s.len)
		from = s.len;
	if (len > s.len - from)
		len = s.len - from;
	return (struct str){ s.data + from, len };
}

bool str_equal(struct str a, struct str b)
{
	return a.len == b.len && (a.len == 0 || memcmp(a.data, b.data, a.len) == 0);
}

bool str_equal_nocase(struct str a, struct str b)
{
	return a.len == b.len && (a.len == 0 || strncasecmp(a.data, b.data, a.len) == 0);
}

bool str_has_prefix(struct str s, struct str prefix)
{
	return s.len >= prefix.len && str_equal(str_sub(s, 0, prefix.len), prefix);
}

int str_compare(struct str a, struct str b)
{
	size_t common = a.len < b.len ? a.len : b.len;
	int order = common ? memcmp(a.data, b.data, common) : 0;

	if (order != 0)
		return order;
	return (a.len > b.len) - (a.len < b.len);
}

uint64_t str_hash(struct str s, uint64_t seed)
{
	return XXH64(s.data, s.len, seed);
}

struct str str_split(struct str s, char sep, struct str *rest)
{
	const char *at = s.len ? memchr(s.data, sep, s.len) : NULL;
	size_t head_len = at ? (size_t)(at - s.data) : s.len;

	*rest = at ? str_sub(s, head_len + 1, s.len) : (struct str){ s.data + s.len, 0 };
	return (struct str){ s.data, head_len };
}

bool str_to_int64(struct str s, int64_t *value)
{
	size_t i = s.len > 1 && s.data[0] == '-';
	int64_t number = 0;

	if (s.len == 0 || s.len > 18)
		return false;
	for (; i < s.len; i++) {
		if (s.data[i] < '0' || s.data[i] > '9')
			return false;
		number = number * 10 + (s.data[i] - '0');
	}
	*value = s.data[0] == '-' ? -number : number;
	return true;
}

struct str str_dup(struct str s)
{
	char *copy = g_malloc(s.len + 1);

	if (s.len)
		memcpy(copy, s.data, s.len);
	copy[s.len] = '\0';
	return (struct str){ copy, s.len };
}

char *str_to_cstr(struct str s)
{
	return (char *)str_dup(s).data;
}

struct str label_str(const struct label *label)
{
	return (struct str){ label->data, label->len };
}

bool label_equal(const struct label *a, const struct label *b)
{
	return str_equal(label_str(a), label_str(b));
}

bool label_is(const struct label *label, struct str s)
{
	return str_equal(label_str(label), s);
}

struct label label_from(struct str s)
{
	struct label label = { 0 };

	label.len = s.len < LABEL_MAX_BYTES ? s.len : LABEL_MAX_BYTES;
	if (label.len)
		memcpy(label.data, s.data, label.len);
	return label;
}

bool label_fits(struct str s)
{
	return s.len <= LABEL_MAX_BYTES;
}

unsigned int label_hash(const void *label)
{
	return (unsigned int)str_hash(label_str(label), 0);
}

int label_hash_equal(const void *a, const void *b)
{
	return label_equal(a, b);
}

struct str strbuf_str(const struct strbuf *buf)
{
	return (struct str){ buf->data, buf->len };
}

void strbuf_reserve(struct strbuf *buf, size_t extra)
{
	size_t cap = buf->cap ? buf->cap : 256;

	if (buf->len + extra <= buf->cap)
		return;
	while (cap < buf->len + extra)
		cap *= 2;
	buf->data = g_realloc(buf->data, cap);
	buf->cap = cap;
}

void strbuf_add(struct strbuf *buf, struct str s)
{
	if (s.len == 0)
		return;
	strbuf_reserve(buf, s.len);
	memcpy(buf->data + buf->len, s.data, s.len);
	buf->len += s.len;
}

void strbuf_addf(struct strbuf *buf, const char *format, ...)
{
	va_list args;
	char *text = NULL;
	int len;

	va_start(args, format);
	len = g_vasprintf(&text, format, args);
	va_end(args);
	if (len > 0)
		strbuf_add(buf, (struct str){ text, len });
	g_free(text);
}

void strbuf_add_json(struct strbuf *buf, struct str s)
{
	strbuf_add(buf, STR("\""));
	for (size_t i = 0; i < s.len; i++) {
		unsigned char c = s.data[i];

		if (c == '"' || c == '\\')
			strbuf_addf(buf, "\\%c", c);
		else if (c < 0x20)
			strbuf_addf(buf, "\\u%04x", c);
		else
			strbuf_add(buf, str_sub(s, i, 1));
	}
	strbuf_add(buf, STR("\""));
}

void strbuf_consume(struct strbuf *buf, size_t n)
{
	if (n >= buf->len) {
		buf->len = 0;
		return;
	}
	memmove(buf->data, buf->data + n, buf->len - n);
	buf->len -= n;
}

void strbuf_clear(struct strbuf *buf)
{
	g_free(buf->data);
	*buf = (struct strbuf){ 0 };
}
