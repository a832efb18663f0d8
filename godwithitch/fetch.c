#include <poll.h>
#include <unistd.h>

#include "base/address.h"
#include "base/transfer.h"
#include "godwithitch/tool.h"

#define FETCH_WITHIN_US	  (5 * US_PER_S)
#define CONNECT_WITHIN_US (1 * US_PER_S)

enum {
	STANDARD_PORT = 80,
	HEAD_MAX_BYTES = 64 << 10,
	BODY_MAX_BYTES = 16 << 20, /* the members of 5,800 nodes, or the largest file */
};

static void read_head(struct reply *reply, const struct head *head)
{
	for (int i = 0; i < head->field_count; i++)
		if (str_equal_nocase(head->fields[i].name, STR("Godwithitch-File-Version")))
			str_to_int64(head->fields[i].value, &reply->file_version);
}

static bool on_event(void *context, struct transfer_event *event)
{
	struct reply *reply = context;

	switch (event->kind) {
	case TRANSFER_HEAD:
		read_head(reply, event->head.head);
		return true;
	case TRANSFER_BODY:
		if (reply->body.len + event->bytes.len > BODY_MAX_BYTES)
			return false;
		strbuf_add(&reply->body, event->bytes);
		return true;
	case TRANSFER_READ:
	case TRANSFER_REWIND:
	case TRANSFER_CHECK:
		return true;
	}
	g_assert_not_reached();
}

/* Runs a request without a body; the result's connection is closed. */
static struct transfer_result run_request(struct reply *reply, uint32_t ipv4, uint16_t port,
					  struct str request)
{
	struct transfer_result result = transfer_run(&(struct transfer_options){
		.ipv4 = ipv4,
		.port = port,
		.kept_fd = -1,
		.request = request,
		.connect_within_us = CONNECT_WITHIN_US,
		.deadline = deadline_after(clock_now(), FETCH_WITHIN_US),
		.answer = { .head_max_bytes = HEAD_MAX_BYTES },
		.handle = on_event,
		.context = reply });

	if (result.end == TRANSFER_WHOLE && result.whole.fd >= 0)
		close(result.whole.fd);
	return result;
}

struct reply fetch(struct str control, const char *method, const char *path)
{
	struct reply reply = { 0 };
	struct strbuf request = { NULL, 0, 0 };
	struct transfer_result result;
	struct str host;
	uint16_t port;
	uint32_t ipv4;

	if (!address_split(control, STANDARD_PORT, &host, &port) || !address_resolve(host, &ipv4))
		return reply;
	strbuf_addf(&request, "%s %s HTTP/1.1\r\nHost: %.*s\r\nConnection: close\r\n\r\n", method,
		    path, STR_ARG(control));
	result = run_request(&reply, ipv4, port, strbuf_str(&request));
	strbuf_clear(&request);
	if (result.end == TRANSFER_WHOLE) {
		reply.status = result.whole.status;
	} else {
		reply.file_version = 0;
		reply_clear(&reply);
	}
	return reply;
}

struct reply fetch_any(const struct tool *tool, const char *path)
{
	struct reply reply = { 0 };

	for (int i = 0; i < tool->control_count && reply.status == 0; i++) {
		reply_clear(&reply);
		reply = fetch(tool->controls[i], "GET", path);
	}
	return reply;
}

void reply_clear(struct reply *reply)
{
	strbuf_clear(&reply->body);
	reply->status = 0;
}

struct json_doc *reply_json(const struct reply *reply)
{
	enum { STATUS_OK = 200 };

	if (reply->status != STATUS_OK)
		return NULL;
	return json_parse(STR("answer"), strbuf_str(&reply->body), NULL);
}

static const struct json *object_member(const struct json *object, const char *key,
					enum json_kind kind)
{
	const struct json *value =
		object->kind == JSON_OBJECT ? json_get(object, str_from_cstr(key)) : NULL;

	return value && value->kind == kind ? value : NULL;
}

int64_t json_integer(const struct json *object, const char *key)
{
	const struct json *value = object_member(object, key, JSON_INTEGER);

	return value ? value->integer : 0;
}

struct str json_text(const struct json *object, const char *key)
{
	const struct json *value = object_member(object, key, JSON_STRING);

	return value ? value->string : STR("");
}

bool json_bool(const struct json *object, const char *key)
{
	const struct json *value = object_member(object, key, JSON_BOOL);

	return value && value->boolean;
}

bool tool_wait_ms(const struct tool *tool, int ms)
{
	if (deadline_passed(tool->deadline, clock_now()))
		return false;
	poll(NULL, 0, ms);
	return true;
}
