#include "base/head.h"

#include <string.h>

enum {
	STATUS_MIN = 100,
	STATUS_SWITCHING = 101,
	STATUS_FINAL = 200,
	STATUS_MAX = 599,
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
	STATUS_DIGITS = 3,
	MINOR_VERSION_AT = 7, /* "HTTP/1.1" */
};

struct str head_framing_name(enum head_framing framing)
{
	switch (framing) {
	case FRAMING_NONE:
		return STR("none");
	case FRAMING_LENGTH:
		return STR("length");
	case FRAMING_CHUNKS:
		return STR("chunks");
	case FRAMING_CLOSE:
		return STR("close");
	}
	g_assert_not_reached();
}

void head_reader_init(struct head_reader *reader, struct str unique_name, bool no_body)
{
	*reader = (struct head_reader){ .state = HEAD_STATUS_LINE,
					.unique_name = unique_name,
					.no_body = no_body };
	reader->lengths = g_array_new(FALSE, FALSE, sizeof(size_t));
	reader->fields = g_array_new(FALSE, FALSE, sizeof(struct head_field));
}

void head_reader_clear(struct head_reader *reader)
{
	strbuf_clear(&reader->text);
	g_array_unref(reader->lengths);
	g_array_unref(reader->fields);
	g_free((char *)reader->unique_value.data);
}

static enum head_state fail(struct head_reader *reader, const char *problem)
{
	reader->problem = problem;
	reader->state = HEAD_MALFORMED;
	return reader->state;
}

/* Reads "HTTP/1.1 200" at the front; 0 if there is something else. */
static int read_status(struct str line)
{
	static const char pattern[] = "HTTP/1.d ddd";
	int status = 0;

	if (line.len < sizeof(pattern) - 1)
		return 0;
	for (size_t i = 0; i < sizeof(pattern) - 1; i++)
		if (pattern[i] == 'd' ? !g_ascii_isdigit(line.data[i]) : line.data[i] != pattern[i])
			return 0;
	if (line.len > sizeof(pattern) - 1 && line.data[sizeof(pattern) - 1] != ' ')
		return 0;
	for (size_t i = sizeof(pattern) - 1 - STATUS_DIGITS; i < sizeof(pattern) - 1; i++)
		status = status * 10 + (line.data[i] - '0');
	return status;
}

/* Returns whether a status line starts anywhere in the text: the answer before it broke off. */
static bool holds_status_line(struct str text)
{
	for (size_t at = 0; at < text.len; at++)
		if (text.data[at] == 'H' && read_status(str_sub(text, at, text.len)))
			return true;
	return false;
}

bool head_is_name_byte(char byte)
{
	return g_ascii_isalnum(byte) || (byte && strchr("!#$%&'*+-.^_`|~", byte));
}

bool head_is_text_byte(char byte)
{
	return byte == '\t' || !g_ascii_iscntrl(byte);
}

static bool is_text(struct str s)
{
	for (size_t i = 0; i < s.len; i++)
		if (!head_is_text_byte(s.data[i]))
			return false;
	return true;
}

static bool is_name(struct str s)
{
	for (size_t i = 0; i < s.len; i++)
		if (!head_is_name_byte(s.data[i]))
			return false;
	return s.len > 0;
}

static struct str trim(struct str s)
{
	while (s.len && (s.data[0] == ' ' || s.data[0] == '\t'))
		s = str_sub(s, 1, s.len);
	while (s.len && (s.data[s.len - 1] == ' ' || s.data[s.len - 1] == '\t'))
		s.len--;
	return s;
}

static enum head_state begin(struct head_reader *reader, struct str line)
{
	int status = read_status(line);

	if (status < STATUS_MIN || status == STATUS_SWITCHING)
		return fail(reader, "the answer has no status line");
	if (status > STATUS_MAX)
		return fail(reader, "the status is above 599");
	if (holds_status_line(str_sub(line, 1, line.len)))
		return fail(reader, "a status line holds another one");
	reader->head = (struct head){ .status = status,
				      .content_length = -1,
				      .persistent = line.data[MINOR_VERSION_AT] != '0' };
	reader->chunked = false;
	reader->text.len = 0;
	g_array_set_size(reader->lengths, 0);
	g_free((char *)reader->unique_value.data);
	reader->unique_value = (struct str){ NULL, 0 };
	reader->state = HEAD_FIELDS;
	return reader->state;
}

static enum head_state set_length(struct head_reader *reader, struct str value)
{
	int64_t length;

	if (!str_to_int64(value, &length) || value.data[0] == '-')
		return fail(reader, "the length is no number");
	if (reader->head.content_length >= 0 && reader->head.content_length != length)
		return fail(reader, "two lengths differ");
	reader->head.content_length = length;
	return reader->state;
}

static void set_persistent(struct head *head, struct str options)
{
	while (options.len) {
		struct str option = trim(str_split(options, ',', &options));

		if (str_equal_nocase(option, STR("close")))
			head->persistent = false;
		else if (str_equal_nocase(option, STR("keep-alive")))
			head->persistent = true;
	}
}

/* Applies a field that the end of the answer, its connection or its request depends on. */
static enum head_state apply_field(struct head_reader *reader, struct str name, struct str value)
{
	if (str_equal_nocase(name, STR("content-length")))
		return set_length(reader, value);
	if (str_equal_nocase(name, STR("connection")))
		set_persistent(&reader->head, value);
	if (str_equal_nocase(name, STR("transfer-encoding"))) {
		if (!str_equal_nocase(value, STR("chunked")))
			return fail(reader, "the transfer encoding is not known");
		reader->chunked = true;
	}
	if (reader->unique_name.len && str_equal_nocase(name, reader->unique_name)) {
		if (reader->unique_value.data && !str_equal(reader->unique_value, value))
			return fail(reader, "the request's id comes with two values");
		g_free((char *)reader->unique_value.data);
		reader->unique_value = str_dup(value);
	}
	return reader->state;
}

static enum head_state add_field(struct head_reader *reader, struct str line)
{
	struct str value;
	struct str name = str_split(line, ':', &value);

	if (name.len == line.len)
		return fail(reader, "a line of the head has no colon");
	if (!is_name(name) || holds_status_line(value))
		return fail(reader, "a line of the head is no field");
	value = trim(value);
	strbuf_add(&reader->text, name);
	strbuf_add(&reader->text, value);
	g_array_append_val(reader->lengths, name.len);
	g_array_append_val(reader->lengths, value.len);
	return apply_field(reader, name, value);
}

static enum head_framing framing_of(const struct head_reader *reader)
{
	int status = reader->head.status;

	if (reader->no_body || status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED)
		return FRAMING_NONE;
	if (reader->chunked)
		return FRAMING_CHUNKS;
	return reader->head.content_length >= 0 ? FRAMING_LENGTH : FRAMING_CLOSE;
}

/* Sets the views of the fields, now that the text no longer moves. */
static void set_fields(struct head_reader *reader)
{
	const char *text = reader->text.data;

	for (guint i = 0; i + 1 < reader->lengths->len; i += 2) {
		size_t name_len = g_array_index(reader->lengths, size_t, i);
		size_t value_len = g_array_index(reader->lengths, size_t, i + 1);
		struct head_field field = { { text, name_len }, { text + name_len, value_len } };

		g_array_append_val(reader->fields, field);
		text += name_len + value_len;
	}
	reader->head.fields = (const struct head_field *)(void *)reader->fields->data;
	reader->head.field_count = (int)reader->fields->len;
}

static enum head_state end(struct head_reader *reader)
{
	if (reader->head.status < STATUS_FINAL) {
		reader->state = HEAD_STATUS_LINE;
		return reader->state;
	}
	reader->head.framing = framing_of(reader);
	if (reader->chunked)
		reader->head.content_length = -1;
	set_fields(reader);
	reader->state = HEAD_ENDED;
	return reader->state;
}

enum head_state head_reader_add(struct head_reader *reader, struct str line)
{
	/* A line feed alone may belong to a broken name, and would end the head before it. */
	if (line.len < 2 || line.data[line.len - 2] != '\r' || line.data[line.len - 1] != '\n')
		return fail(reader, "a line of the head does not end in CR and LF");
	line.len -= 2;
	if (!is_text(line))
		return fail(reader, "a line of the head holds a control character");
	switch (reader->state) {
	case HEAD_STATUS_LINE:
		return begin(reader, line);
	case HEAD_FIELDS:
		return line.len ? add_field(reader, line) : end(reader);
	case HEAD_ENDED:
	case HEAD_MALFORMED:
		return reader->state;
	}
	g_assert_not_reached();
}
