/* Answers of targets and of the platform's service: read alike in one part and in two. */
#include <glib.h>

#include "base/response.h"
#include "regress/fuzz/fuzz.h"

enum { HEAD_MAX_BYTES = 4 << 10 };

struct reading {
	struct response response;
	struct strbuf body;
	size_t rest;
};

static void read_part(struct reading *reading, struct str input)
{
	enum response_part part;

	do {
		struct str bytes = STR("");

		part = response_next(&reading->response, &input, &bytes);
		if (part == RESPONSE_BODY)
			strbuf_add(&reading->body, bytes);
	} while (part != RESPONSE_NOTHING);
	reading->rest += input.len;
}

static struct reading read_in_two(struct str text, size_t split, bool no_body)
{
	struct response_options options = { .unique = STR("X-Request-Id"),
					    .no_body = no_body,
					    .head_max_bytes = HEAD_MAX_BYTES };
	struct reading reading = { .rest = 0 };

	response_init(&reading.response, &options);
	read_part(&reading, str_sub(text, 0, split));
	read_part(&reading, str_sub(text, split, text.len));
	return reading;
}

static void clear(struct reading *reading)
{
	response_clear(&reading->response);
	strbuf_clear(&reading->body);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct str text = { (const char *)data + 1, size - 1 };
	struct reading whole;
	struct reading parts;

	if (size < 2)
		return 0;
	whole = read_in_two(text, text.len, data[0] & 1);
	parts = read_in_two(text, data[0] % text.len, data[0] & 1);
	g_assert(whole.response.state == parts.response.state);
	g_assert(str_equal(strbuf_str(&whole.body), strbuf_str(&parts.body)));
	g_assert((int64_t)whole.body.len == whole.response.body_bytes);
	g_assert(whole.response.line.len <= HEAD_MAX_BYTES);
	if (whole.response.state == RESPONSE_WHOLE)
		g_assert(whole.rest == parts.rest);
	clear(&whole);
	clear(&parts);
	return 0;
}
