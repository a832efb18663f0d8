#include "regress/lib/answercheck.h"

#include <glib.h>
#include <string.h>

enum { CHUNK_BYTES = 4096, SUCCESS_MIN = 200, SUCCESS_MAX = 299 };

/* The body that belongs to a request: its id, repeated. */
static void add_body(struct strbuf *out, const char *id, size_t bytes)
{
	size_t id_len = strlen(id);

	while (bytes) {
		size_t n = MIN(id_len, bytes);

		strbuf_add(out, (struct str){ id, n });
		bytes -= n;
	}
}

static void add_chunks(struct strbuf *out, struct str body)
{
	while (body.len) {
		struct str chunk = str_sub(body, 0, CHUNK_BYTES);

		strbuf_addf(out, "%zx\r\n%.*s\r\n", chunk.len, STR_ARG(chunk));
		body = str_sub(body, chunk.len, body.len);
	}
	strbuf_add(out, STR("0\r\n\r\n"));
}

static void add_framing(struct strbuf *out, const struct answer_shape *shape)
{
	switch (shape->framing) {
	case RAW_UNFRAMED:
		return;
	case RAW_BY_LENGTH:
		strbuf_addf(out, "Content-Length: %zu\r\n", shape->body_bytes);
		return;
	case RAW_BY_CHUNKS:
		strbuf_addf(out, "Transfer-Encoding: chunked\r\n");
		return;
	}
	g_assert_not_reached();
}

struct answer_places answer_format(const struct answer_shape *shape, const char *id,
				   struct strbuf *out)
{
	struct answer_places places = { 0 };
	struct strbuf body = { 0 };
	size_t start = out->len;

	if (shape->interim)
		strbuf_add(out, STR("HTTP/1.1 100 Continue\r\n\r\n"));
	places.interim = out->len - start;
	strbuf_addf(out, "HTTP/1.1 %d Answer\r\n", shape->status);
	places.status_line = out->len - start;
	if (shape->framing_first)
		add_framing(out, shape);
	if (shape->not_executed && shape->refusal_first)
		strbuf_add(out, STR("X-Not-Executed: 1\r\n"));
	strbuf_addf(out, "X-Request-Id: %s\r\n", id);
	if (shape->not_executed && !shape->refusal_first)
		strbuf_add(out, STR("X-Not-Executed: 1\r\n"));
	if (!shape->unsigned_)
		strbuf_addf(out, "X-Response-Signature: s-%s\r\n", id);
	places.signature = out->len - start;
	if (shape->fields)
		strbuf_add(out, str_from_cstr(shape->fields));
	if (!shape->framing_first)
		add_framing(out, shape);
	strbuf_add(out, STR("\r\n"));
	places.head = out->len - start;
	add_body(&body, id, shape->body_bytes);
	if (shape->framing == RAW_BY_CHUNKS)
		add_chunks(out, strbuf_str(&body));
	else
		strbuf_add(out, strbuf_str(&body));
	strbuf_clear(&body);
	places.whole = out->len - start;
	return places;
}

enum answer_part answer_part(const struct answer_places *places, size_t sent)
{
	if (sent == 0)
		return PART_NOTHING;
	if (sent >= places->whole)
		return PART_WHOLE;
	if (sent <= places->interim)
		return PART_INTERIM;
	if (sent < places->status_line)
		return PART_STATUS_LINE;
	if (sent < places->signature)
		return PART_HEAD_UNSIGNED;
	return sent < places->head ? PART_HEAD_SIGNED : PART_BODY;
}

const char *answer_part_name(enum answer_part part)
{
	switch (part) {
	case PART_NOTHING:
		return "nothing";
	case PART_INTERIM:
		return "interim head";
	case PART_STATUS_LINE:
		return "status line";
	case PART_HEAD_UNSIGNED:
		return "head to signature";
	case PART_HEAD_SIGNED:
		return "head behind it";
	case PART_BODY:
		return "body";
	case PART_WHOLE:
		return "whole";
	case PART_COUNT:
		break;
	}
	g_assert_not_reached();
}

bool answer_is_promise(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static bool is_success(int status)
{
	return status >= SUCCESS_MIN && status <= SUCCESS_MAX;
}

/* Returns whether the answer has the upstream's signature and whole body. */
static bool is_authentic(const struct answered_request *request)
{
	struct strbuf body = { 0 };
	char signature[64];
	bool same;

	g_snprintf(signature, sizeof(signature), "s-%s", request->id);
	add_body(&body, request->id, request->shape->body_bytes);
	same = !request->shape->unsigned_ && strcmp(request->answer->signature, signature) == 0 &&
	       str_equal(strbuf_str(&request->answer->body), strbuf_str(&body));
	strbuf_clear(&body);
	return same;
}

static bool is_mixed(const struct answered_request *request)
{
	const struct raw_answer *answer = request->answer;

	if (answer->extra_bytes || answer->ending == RAW_INVALID ||
	    (answer->id[0] && strcmp(answer->id, request->id) != 0))
		return true;
	if (answer->ending != RAW_WHOLE)
		return false;
	if (is_success(answer->status))
		return !is_success(request->shape->status) || !is_authentic(request);
	return answer->signature[0] && answer->status != request->shape->status;
}

/* Returns whether a whole answer of the upstream arrived as the platform expects it. */
static bool is_passed_on(const struct answered_request *request)
{
	const struct answer_shape *shape = request->shape;
	const struct raw_answer *answer = request->answer;

	if (answer->ending != RAW_WHOLE)
		return false;
	if (shape->not_executed)
		return answer_is_promise(answer->status) && !answer->signature[0];
	if (!answer_is_promise(shape->status))
		return answer->status == shape->status && is_authentic(request);
	/* The upstream's status would promise that the request, which ran, did not. */
	return !request->unsafe || (answer->status == 502 && !answer->signature[0]);
}

struct answer_findings answer_check(const struct answered_request *request)
{
	const struct raw_answer *answer = request->answer;

	return (struct answer_findings){
		.mixed = is_mixed(request),
		.refused = request->unsafe && request->runs && answer_is_promise(answer->status),
		.twice = request->unsafe && request->runs > 1,
		.cut_looks_whole = answer->ending == RAW_WHOLE && answer->signature[0] &&
				   !is_success(answer->status) && !is_authentic(request),
		.not_passed_on = request->sent_whole && !is_passed_on(request),
	};
}
