#include "regress/lib/http.h"

#include <curl/curl.h>
#include <glib.h>
#include <poll.h>
#include <string.h>

#include "base/clock.h"

enum { TIMEOUT_DEFAULT_MS = 10000 };

struct http_client {
	CURL *curl;
};

struct transfer {
	struct http_options *options;
	struct http_reply *reply;
	int64_t uploaded;
};

struct http_client *http_client_new(void)
{
	struct http_client *client = g_new0(struct http_client, 1);

	client->curl = curl_easy_init();
	return client;
}

void http_client_free(struct http_client *client)
{
	curl_easy_cleanup(client->curl);
	g_free(client);
}

/* Byte i of the fake target's pattern is i * 31 modulo 251. */
static void check_pattern(struct http_options *options, const char *data, size_t len)
{
	unsigned expected = (unsigned)(options->received_bytes % 251 * 31 % 251);

	for (size_t i = 0; i < len; i++) {
		options->mismatched_bytes += (unsigned char)data[i] != expected;
		expected += 31;
		if (expected >= 251)
			expected -= 251;
	}
}

static size_t on_body(char *data, size_t size, size_t count, void *context)
{
	struct transfer *transfer = context;

	if (transfer->options->check_pattern)
		check_pattern(transfer->options, data, size * count);
	transfer->options->received_bytes += (int64_t)(size * count);
	if (transfer->options->slow_after_bytes &&
	    transfer->options->received_bytes > transfer->options->slow_after_bytes)
		poll(NULL, 0, 5);
	if (!transfer->options->discard)
		strbuf_add(&transfer->reply->body, (struct str){ data, size * count });
	return size * count;
}

static void copy_field(char *line, size_t line_len, const char *name, char *value, size_t cap)
{
	size_t name_len = strlen(name);

	if (line_len <= name_len || g_ascii_strncasecmp(line, name, name_len) != 0)
		return;
	g_snprintf(value, (gulong)cap, "%.*s", (int)(line_len - name_len), line + name_len);
	g_strstrip(value);
}

static size_t on_header(char *data, size_t size, size_t count, void *context)
{
	struct transfer *transfer = context;
	struct http_reply *reply = transfer->reply;

	copy_field(data, size * count, "Godwithitch-Verdict:", reply->verdict,
		   sizeof(reply->verdict));
	copy_field(data, size * count, "Target-Version:", reply->version, sizeof(reply->version));
	return size * count;
}

static size_t on_upload(char *buffer, size_t size, size_t count, void *context)
{
	struct transfer *transfer = context;
	int64_t remaining_bytes = transfer->options->upload_bytes - transfer->uploaded;
	size_t n = (size_t)remaining_bytes < size * count ? (size_t)remaining_bytes : size * count;

	memset(buffer, 'u', n);
	transfer->uploaded += (int64_t)n;
	return n;
}

static void set_body(CURL *curl, struct http_options *options, struct transfer *transfer)
{
	if (options->upload_bytes) {
		curl_easy_setopt(curl, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(curl, CURLOPT_INFILESIZE_LARGE, (curl_off_t)options->upload_bytes);
		curl_easy_setopt(curl, CURLOPT_READFUNCTION, on_upload);
		curl_easy_setopt(curl, CURLOPT_READDATA, transfer);
	} else if (options->body.len) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)options->body.len);
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, options->body.data);
	}
	if (options->method)
		curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, options->method);
}

struct http_reply http_do(struct http_client *client, const char *url, struct http_options *options)
{
	struct http_reply reply = { 0 };
	struct transfer transfer = { .options = options, .reply = &reply };
	struct curl_slist *header_list = curl_slist_append(NULL, "Expect:");
	CURL *curl = client->curl;
	int64_t start_us = clock_now().mono_us;
	CURLcode code;

	for (int i = 0; i < 6 && options->headers[i]; i++)
		header_list = curl_slist_append(header_list, options->headers[i]);
	curl_easy_reset(curl);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
			 options->timeout_ms ? options->timeout_ms : (long)TIMEOUT_DEFAULT_MS);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, header_list);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &transfer);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, &transfer);
	set_body(curl, options, &transfer);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &reply.status);
	reply.complete = code == CURLE_OK;
	reply.elapsed_us = clock_now().mono_us - start_us;
	curl_slist_free_all(header_list);
	return reply;
}

void http_reply_clear(struct http_reply *reply)
{
	strbuf_clear(&reply->body);
}

struct http_reply http_get(const char *url)
{
	struct http_client *client = http_client_new();
	struct http_options options = { 0 };
	struct http_reply reply = http_do(client, url, &options);

	http_client_free(client);
	return reply;
}
