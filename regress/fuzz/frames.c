/* Frames between nodes, with the heads that they hold. */
#include <glib.h>

#include "peer/wire.h"
#include "regress/fuzz/fuzz.h"

static void read_request(struct str payload)
{
	struct decoded_head *storage = NULL;
	struct request_head head;

	if (wire_get_request(payload, &head, &storage)) {
		struct strbuf out = { NULL, 0, 0 };

		g_assert(head.field_count >= 0 && head.field_count <= FIELDS_MAX);
		wire_put_request(&out, 1, &head);
		strbuf_clear(&out);
	}
	decoded_head_free(storage);
}

static void read_response(struct str payload)
{
	struct decoded_head *storage = NULL;
	struct response_head head;

	if (wire_get_response(payload, &head, &storage)) {
		struct strbuf out = { NULL, 0, 0 };

		g_assert(head.field_count >= 0 && head.field_count <= FIELDS_MAX);
		wire_put_response(&out, 1, &head);
		strbuf_clear(&out);
	}
	decoded_head_free(storage);
}

static void read_refusal(struct str payload)
{
	struct decoded_head *storage = NULL;
	struct refusal refusal;

	if (wire_get_refusal(payload, &refusal, &storage)) {
		struct strbuf out = { NULL, 0, 0 };

		wire_put_refusal(&out, 1, &refusal);
		strbuf_clear(&out);
	}
	decoded_head_free(storage);
}

/* The payload of any frame may be read as any head: a peer chooses both. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct str rest = { (const char *)data, size };
	struct frame frame;
	size_t used;

	read_request(rest);
	read_response(rest);
	read_refusal(rest);
	while (wire_read_frame(rest, &frame, &used) == WIRE_FRAME) {
		g_assert(used > 0 && used <= rest.len && frame.kind < FRAME_KINDS);
		g_assert(frame.payload.len < used);
		read_request(frame.payload);
		rest = str_sub(rest, used, rest.len);
	}
	return 0;
}
