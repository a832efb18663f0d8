#include "base/chunks.h"

#include <glib.h>

enum {
	FRAMING_FREE_BYTES = 64 << 10,
	FRAMING_PER_BYTE = 8, /* a chunk of a single byte has five bytes around it */
	DIGITS_MAX = 15,      /* so that no size overflows */
};

/* Reads a byte of the line with a chunk's size. */
static enum chunks_state read_size(struct chunks *chunks, char byte)
{
	if (chunks->state == CHUNKS_SIZE && g_ascii_isxdigit(byte)) {
		chunks->left = chunks->left << 4 | (uint64_t)g_ascii_xdigit_value(byte);
		return ++chunks->digits > DIGITS_MAX ? CHUNKS_MALFORMED : CHUNKS_SIZE;
	}
	if (chunks->digits == 0)
		return CHUNKS_MALFORMED;
	if (byte != '\n')
		return CHUNKS_REST;
	chunks->digits = 0;
	return chunks->left ? CHUNKS_DATA : CHUNKS_TRAILER;
}

static enum chunks_state read_trailer(struct chunks *chunks, char byte)
{
	if (byte == '\n' && chunks->line_len == 0)
		return CHUNKS_ENDED;
	if (byte == '\n')
		chunks->line_len = 0;
	else
		chunks->line_len += byte != '\r';
	chunks->trailer_bytes++;
	return CHUNKS_TRAILER;
}

static enum chunks_state read_line_end(char byte)
{
	if (byte == '\n')
		return CHUNKS_SIZE;
	return byte == '\r' ? CHUNKS_LINE : CHUNKS_MALFORMED;
}

/* Returns the bytes of the chunk at the front. */
static struct str read_data(struct chunks *chunks, struct str input)
{
	size_t taken = chunks->left < input.len ? (size_t)chunks->left : input.len;

	chunks->left -= taken;
	chunks->data += taken;
	if (chunks->left == 0)
		chunks->state = CHUNKS_LINE;
	return str_sub(input, 0, taken);
}

/* Reads a byte that is none of the body's own. */
static enum chunks_state read_framing(struct chunks *chunks, char byte)
{
	switch (chunks->state) {
	case CHUNKS_SIZE:
	case CHUNKS_REST:
		return read_size(chunks, byte);
	case CHUNKS_LINE:
		return read_line_end(byte);
	case CHUNKS_TRAILER:
		return read_trailer(chunks, byte);
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
