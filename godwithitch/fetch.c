#include <poll.h>

#include "base/transfer.h"
#include "godwithitch/tool.h"

enum {
	FETCH_TIMEOUT_MS = 5000,
	CONNECT_TIMEOUT_MS = 1000,
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

struct reply fetch(struct str control, const char *method, const char *path)
{
	struct reply reply = { 0 };
	char *url = g_strdup_printf("http://%.*s%s", STR_ARG(control), path);
	CURL *curl = curl_easy_init();
	struct transfer_options options = { .curl = curl,
					    .head_max_bytes = HEAD_MAX_BYTES,
					    .handle = on_event,
					    .context = &reply };
	struct transfer_result result;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)FETCH_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
	result = transfer_run(&options);
	if (result.end == TRANSFER_WHOLE) {
		reply.status = result.whole.status;
	} else {
		reply.file_version = 0;
		reply_clear(&reply);
	}
	curl_easy_cleanup(curl);
	g_free(url);
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
