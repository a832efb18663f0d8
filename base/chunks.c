#include "base/chunks.h"

#include <glib.h>

#include "base/head.h"

enum {
	FRAMING_FREE_BYTES = 64 << 10,
	FRAMING_PER_BYTE = 8, /* a chunk of a single byte has five bytes around it */
	DIGITS_MAX = 15,      /* so that no size overflows */
};

static enum chunks_state read_behind_size(char byte)
{
	switch (byte) {
	case ' ':
	case '\t':
		return CHUNKS_BLANK;
	case ';':
		return CHUNKS_EXTENSION;
	case '\r':
		return CHUNKS_SIZE_LF;
	default:
		return CHUNKS_MALFORMED;
	}
}

static enum chunks_state read_size(struct chunks *chunks, char byte)
{
	if (g_ascii_isxdigit(byte)) {
		chunks->left = chunks->left << 4 | (uint64_t)g_ascii_xdigit_value(byte);
		return ++chunks->digits > DIGITS_MAX ? CHUNKS_MALFORMED : CHUNKS_SIZE;
	}
	return chunks->digits ? read_behind_size(byte) : CHUNKS_MALFORMED;
}

static enum chunks_state read_extension(char byte)
{
	if (byte == '\r')
		return CHUNKS_SIZE_LF;
	return head_is_text_byte(byte) ? CHUNKS_EXTENSION : CHUNKS_MALFORMED;
}

static enum chunks_state end_size(struct chunks *chunks, char byte)
{
	if (byte != '\n')
		return CHUNKS_MALFORMED;
	chunks->digits = 0;
	return chunks->left ? CHUNKS_DATA : CHUNKS_TRAILER;
}

static enum chunks_state begin_trailer(char byte)
{
	if (byte == '\r')
		return CHUNKS_LAST_LF;
	return head_is_name_byte(byte) ? CHUNKS_TRAILER_NAME : CHUNKS_MALFORMED;
}

static enum chunks_state read_trailer_name(char byte)
{
	if (byte == ':')
		return CHUNKS_TRAILER_VALUE;
	return head_is_name_byte(byte) ? CHUNKS_TRAILER_NAME : CHUNKS_MALFORMED;
}

static enum chunks_state read_trailer_value(char byte)
{
	if (byte == '\r')
		return CHUNKS_TRAILER_LF;
	return head_is_text_byte(byte) ? CHUNKS_TRAILER_VALUE : CHUNKS_MALFORMED;
}

/* Returns the bytes of the chunk at the front. */
static struct str read_data(struct chunks *chunks, struct str input)
{
	size_t taken = chunks->left < input.len ? (size_t)chunks->left : input.len;

	chunks->left -= taken;
	chunks->data += taken;
	if (chunks->left == 0)
		chunks->state = CHUNKS_DATA_CR;
	return str_sub(input, 0, taken);
}

/* Reads a byte that is none of the body's own. */
static enum chunks_state read_framing(struct chunks *chunks, char byte)
{
	switch (chunks->state) {
	case CHUNKS_SIZE:
		return read_size(chunks, byte);
	case CHUNKS_BLANK:
		return read_behind_size(byte);
	case CHUNKS_EXTENSION:
		return read_extension(byte);
	case CHUNKS_SIZE_LF:
		return end_size(chunks, byte);
	case CHUNKS_DATA_CR:
		return byte == '\r' ? CHUNKS_DATA_LF : CHUNKS_MALFORMED;
	case CHUNKS_DATA_LF:
		return byte == '\n' ? CHUNKS_SIZE : CHUNKS_MALFORMED;
	case CHUNKS_TRAILER:
		return begin_trailer(byte);
	case CHUNKS_TRAILER_NAME:
		return read_trailer_name(byte);
	case CHUNKS_TRAILER_VALUE:
		return read_trailer_value(byte);
	case CHUNKS_TRAILER_LF:
		return byte == '\n' ? CHUNKS_TRAILER : CHUNKS_MALFORMED;
	case CHUNKS_LAST_LF:
		return byte == '\n' ? CHUNKS_ENDED : CHUNKS_MALFORMED;
	case CHUNKS_DATA:
	case CHUNKS_ENDED:
	case CHUNKS_MALFORMED:
		return chunks->state;
	}
	g_assert_not_reached();
}

struct str chunks_next(struct chunks *chunks, struct str *input)
{
	struct str data = { input->data, 0 };

	while (input->len && data.len == 0 && chunks->state != CHUNKS_ENDED &&
	       chunks->state != CHUNKS_MALFORMED) {
		size_t taken = 1;

		if (chunks->state == CHUNKS_DATA) {
			data = read_data(chunks, *input);
			taken = data.len;
		} else {
			chunks->trailer_bytes += chunks->state >= CHUNKS_TRAILER;
			chunks->state = read_framing(chunks, input->data[0]);
		}
		chunks->total += taken;
		*input = str_sub(*input, taken, input->len);
	}
	return data;
}

bool chunks_are_hollow(uint64_t total, uint64_t data)
{
	return (total - data) / FRAMING_PER_BYTE > FRAMING_FREE_BYTES / FRAMING_PER_BYTE + data;
}
