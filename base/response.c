#include "base/response.h"

#include <string.h>

static const char too_long[] = "the answer's head is too long";

void response_init(struct response *response, const struct response_options *options)
{
	*response = (struct response){ .options = *options };
	head_reader_init(&response->reader, options->unique, options->no_body);
}

void response_clear(struct response *response)
{
	head_reader_clear(&response->reader);
	strbuf_clear(&response->line);
}

bool response_has_head(const struct response *response)
{
	return response->reader.state == HEAD_ENDED;
}

static void fail(struct response *response, const char *problem)
{
	response->state = RESPONSE_MALFORMED;
	response->problem = problem;
}

static bool is_too_long(const struct response *response, size_t more)
{
	return response->head_bytes + response->chunks.trailer_bytes + more >
	       response->options.head_max_bytes;
}

/* Returns whether the body has come, as far as its bytes say. */
static bool is_body_whole(const struct response *response)
{
	const struct head *head = &response->reader.head;

	switch (head->framing) {
	case FRAMING_NONE:
		return true;
	case FRAMING_LENGTH:
		return response->body_bytes == head->content_length;
	case FRAMING_CHUNKS:
		return response->chunks.state == CHUNKS_ENDED;
	case FRAMING_CLOSE:
		return false;
	}
	g_assert_not_reached();
}

static void end_if_whole(struct response *response)
{
	if (response->state == RESPONSE_IN_BODY && is_body_whole(response))
		response->state = RESPONSE_WHOLE;
}

/* Takes the rest of a line from @p input; false if its end has not come. */
static bool take_line(struct response *response, struct str *input)
{
	const char *end = memchr(input->data, '\n', input->len);
	size_t len = end ? (size_t)(end - input->data) + 1 : input->len;

	if (is_too_long(response, response->line.len + len)) {
		fail(response, too_long);
		return false;
	}
	strbuf_add(&response->line, str_sub(*input, 0, len));
	*input = str_sub(*input, len, input->len);
	return end != NULL;
}

static enum response_part read_head(struct response *response, struct str *input)
{
	while (input->len && take_line(response, input)) {
		struct str line = strbuf_str(&response->line);

		response->head_bytes += line.len;
		response->line.len = 0;
		switch (head_reader_add(&response->reader, line)) {
		case HEAD_STATUS_LINE:
		case HEAD_FIELDS:
			break;
		case HEAD_ENDED:
			response->state = RESPONSE_IN_BODY;
			end_if_whole(response);
			return RESPONSE_HEAD;
		case HEAD_MALFORMED:
			fail(response, response->reader.problem);
			return RESPONSE_NOTHING;
		}
	}
	return RESPONSE_NOTHING;
}

static struct str read_chunks(struct response *response, struct str *input)
{
	struct chunks *chunks = &response->chunks;
	struct str bytes = chunks_next(chunks, input);

	if (chunks->state == CHUNKS_MALFORMED)
		fail(response, "the answer's chunks are malformed");
	else if (chunks_are_hollow(chunks->total, chunks->data))
		fail(response, "the answer's chunks are nearly empty");
	else if (is_too_long(response, 0))
		fail(response, too_long);
	return bytes;
}

static struct str take(struct str *input, size_t max)
{
	struct str front = str_sub(*input, 0, MIN(input->len, max));

	*input = str_sub(*input, front.len, input->len);
	return front;
}

static struct str read_bytes(struct response *response, struct str *input)
{
	const struct head *head = &response->reader.head;

	switch (head->framing) {
	case FRAMING_NONE:
		return STR("");
	case FRAMING_LENGTH:
		return take(input, (size_t)(head->content_length - response->body_bytes));
	case FRAMING_CHUNKS:
		return read_chunks(response, input);
	case FRAMING_CLOSE:
		return take(input, input->len);
	}
	g_assert_not_reached();
}

static enum response_part read_body(struct response *response, struct str *input, struct str *bytes)
{
	*bytes = read_bytes(response, input);
	response->body_bytes += (int64_t)bytes->len;
	end_if_whole(response);
	return bytes->len ? RESPONSE_BODY : RESPONSE_NOTHING;
}

enum response_part response_next(struct response *response, struct str *input, struct str *bytes)
{
	switch (response->state) {
	case RESPONSE_IN_HEAD:
		return read_head(response, input);
	case RESPONSE_IN_BODY:
		return read_body(response, input, bytes);
	case RESPONSE_WHOLE:
	case RESPONSE_MALFORMED:
		return RESPONSE_NOTHING;
	}
	g_assert_not_reached();
}

void response_end(struct response *response)
{
	if (response->state == RESPONSE_IN_BODY && response->reader.head.framing == FRAMING_CLOSE)
		response->state = RESPONSE_WHOLE;
}
