#include <curl/curl.h>
#include <poll.h>

#include "godwithitch/tool.h"

enum { FETCH_TIMEOUT_MS = 5000, CONNECT_TIMEOUT_MS = 1000 };

static size_t on_body(char *data, size_t size, size_t count, void *context)
{
	strbuf_add(context, (struct str){ data, size * count });
	return size * count;
}

static size_t on_header(char *data, size_t size, size_t count, void *context)
{
	struct reply *reply = context;
	struct str value;
	struct str name = str_split((struct str){ data, size * count }, ':', &value);

	if (str_equal_nocase(name, STR("Godwithitch-File-Version"))) {
		while (value.len && value.data[0] == ' ')
			value = str_sub(value, 1, value.len);
		while (value.len && value.data[value.len - 1] <= ' ')
			value.len--;
		str_to_int64(value, &reply->file_version);
	}
	return size * count;
}

struct reply fetch(struct str control, const char *method, const char *path)
{
	struct reply reply = { 0 };
	char *url = g_strdup_printf("http://%.*s%s", STR_ARG(control), path);
	CURL *curl = curl_easy_init();

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)FETCH_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &reply.body);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, &reply);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &reply.status);
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
