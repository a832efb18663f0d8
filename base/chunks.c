#include "base/chunks.h"

#include <glib.h>

enum {
	FRAMING_FREE_BYTES = 64 << 10,
	FRAMING_PER_BYTE = 8, /* a chunk of a single byte has five bytes around it */
};

/* Reads a byte of the line with a chunk's size. */
static void read_size(struct chunks *chunks, char byte)
{
	if (byte == '\n')
		chunks->state = chunks->left ? CHUNKS_DATA : CHUNKS_TRAILER;
	else if (chunks->state == CHUNKS_SIZE && g_ascii_isxdigit(byte))
		chunks->left = chunks->left << 4 | (uint64_t)g_ascii_xdigit_value(byte);
	else
		chunks->state = CHUNKS_REST;
}

static void read_trailer(struct chunks *chunks, char byte)
{
	if (byte == '\n' && chunks->line_len == 0)
		chunks->state = CHUNKS_ENDED;
	else if (byte == '\n')
		chunks->line_len = 0;
	else
		chunks->line_len += byte != '\r';
}

/* Returns how many bytes of the chunk are at the front. */
static size_t read_data(struct chunks *chunks, size_t len)
{
	size_t taken = chunks->left < len ? (size_t)chunks->left : len;

	chunks->left -= taken;
	chunks->data += taken;
	if (chunks->left == 0)
		chunks->state = CHUNKS_LINE;
	return taken;
}

void chunks_read(struct chunks *chunks, struct str bytes)
{
	size_t at = 0;

	chunks->total += bytes.len;
	while (at < bytes.len) {
		switch (chunks->state) {
		case CHUNKS_SIZE:
		case CHUNKS_REST:
			read_size(chunks, bytes.data[at++]);
			break;
		case CHUNKS_DATA:
			at += read_data(chunks, bytes.len - at);
			break;
		case CHUNKS_LINE:
			if (bytes.data[at++] == '\n')
				chunks->state = CHUNKS_SIZE;
			break;
		case CHUNKS_TRAILER:
			read_trailer(chunks, bytes.data[at++]);
			break;
		case CHUNKS_ENDED:
			return;
		}
	}
}

bool chunks_are_hollow(uint64_t total, uint64_t data)
{
	return (total - data) / FRAMING_PER_BYTE > FRAMING_FREE_BYTES / FRAMING_PER_BYTE + data;
}
