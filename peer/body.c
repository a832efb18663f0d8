#include "peer/body.h"

#include <glib.h>

enum {
	STATUS_FINAL_MIN = 200, /* lower ones belong to interim heads */
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
};

struct body body_of_request(int64_t length)
{
	return (struct body){ .kind = BODY_OPEN, .open = { .length = length } };
}

struct body body_of_answer(struct str method)
{
	return (struct body){ .kind = BODY_NO_HEAD, .bodyless = str_equal(method, STR("HEAD")) };
}

static enum body_result take_head(struct body *body, const struct response_head *head)
{
	bool bodyless;

	if (body->kind != BODY_NO_HEAD || head->status < STATUS_FINAL_MIN)
		return BODY_BROKEN;
	/* The length in such a head is not that of its own body. */
	bodyless = body->bodyless || head->status == STATUS_NO_CONTENT ||
		   head->status == STATUS_NOT_MODIFIED;
	*body = body_of_request(bodyless ? 0 : head->body_length);
	return BODY_TAKEN;
}

static enum body_result take_refusal(struct body *body)
{
	if (body->kind != BODY_NO_HEAD)
		return BODY_BROKEN;
	body->kind = BODY_DONE;
	return BODY_TAKEN;
}

static enum body_result take_data(struct body *body, uint64_t offset, struct str bytes)
{
	uint64_t room;

	if (body->kind != BODY_OPEN)
		return BODY_BROKEN;
	if (offset != body->open.sum.length)
		return BODY_CORRUPT;
	room = (uint64_t)body->open.length - body->open.sum.length;
	if (body->open.length >= 0 && bytes.len > room)
		return BODY_BROKEN;
	body_sum_add(&body->open.sum, bytes);
	return BODY_TAKEN;
}

static enum body_result take_end(struct body *body, const struct body_sum *end)
{
	if (body->kind != BODY_OPEN)
		return BODY_BROKEN;
	if (end->length != body->open.sum.length || end->checksum != body->open.sum.checksum)
		return BODY_CORRUPT;
	if (body->open.length >= 0 && end->length != (uint64_t)body->open.length)
		return BODY_BROKEN;
	body->kind = BODY_DONE;
	return BODY_TAKEN;
}

enum body_result body_take(struct body *body, const struct body_part *part)
{
	switch (part->kind) {
	case PART_HEAD:
		return take_head(body, part->head);
	case PART_REFUSAL:
		return take_refusal(body);
	case PART_DATA:
		return take_data(body, part->data.offset, part->data.bytes);
	case PART_END:
		return take_end(body, &part->end);
	}
	g_assert_not_reached();
}
