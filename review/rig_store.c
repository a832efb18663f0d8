/* Stands in for the platform's store: a log with topics of one partition, as PROTOCOL.md says. */
#include "review/rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum { TOPICS_MAX = 16, RECORDS_MAX = 8192, PAGE_MAX = 500, ANSWER_DELAY_MS = 4 };

struct entry {
	long len;
	char *bytes; /* length of the key, key, value */
};

struct topic {
	char name[NAME_BYTES];
	struct entry entries[RECORDS_MAX];
	long count;
};

static struct topic topics[TOPICS_MAX];
static int topic_count;
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

static struct topic *topic_get(const char *name)
{
	for (int i = 0; i < topic_count; i++)
		if (strcmp(topics[i].name, name) == 0)
			return &topics[i];
	if (topic_count == TOPICS_MAX)
		return NULL;
	snprintf(topics[topic_count].name, NAME_BYTES, "%s", name);
	return &topics[topic_count++];
}

static void add_entry(struct topic *topic, const char *bytes, long len)
{
	struct entry *entry;

	if (topic->count == RECORDS_MAX)
		return;
	entry = &topic->entries[topic->count++];
	entry->len = len;
	entry->bytes = malloc((size_t)len + 1);
	memcpy(entry->bytes, bytes, (size_t)len);
	entry->bytes[len] = '\0';
}

void store_put(const char *key, const char *value)
{
	size_t key_len = strlen(key);
	size_t len = 1 + key_len + strlen(value);
	char *bytes = malloc(len + 1);

	bytes[0] = (char)key_len;
	snprintf(bytes + 1, len, "%s%s", key, value);
	pthread_mutex_lock(&mutex);
	add_entry(topic_get("keyed.op"), bytes, (long)len);
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&mutex);
	free(bytes);
	note("the operator writes op/%s: %s", key, value);
}

/* Returns an argument of the path's query; "" if it has none. */
static void argument(const char *path, const char *name, char *value, size_t cap)
{
	const char *at = strchr(path, '?');
	size_t len = strlen(name);

	value[0] = '\0';
	while (at) {
		at++;
		if (strncmp(at, name, len) == 0 && at[len] == '=') {
			snprintf(value, cap, "%.*s", (int)strcspn(at + len + 1, "&"), at + len + 1);
			return;
		}
		at = strchr(at, '&');
	}
}

static void put_number(char *into, uint64_t value, int bytes)
{
	for (int i = bytes; i-- > 0; value >>= 8)
		into[i] = (char)(value & 0xff);
}

static void answer(int fd, int status, const char *type, const char *body, long len)
{
	send_text(fd, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %ld\r\n\r\n", status,
		  status == 200 ? "OK" : "No", type, len);
	send_all(fd, body, len);
}

static void on_append(int fd, const struct message *request)
{
	char name[NAME_BYTES];
	char at[24];
	char text[80];
	struct topic *topic;
	long offset;
	int status = 200;

	argument(request->path, "topic", name, sizeof(name));
	argument(request->path, "at", at, sizeof(at));
	pthread_mutex_lock(&mutex);
	topic = topic_get(name);
	offset = topic->count;
	if (strcmp(name, "keyed.op") == 0 || strcmp(name, "keyed.servers") == 0)
		status = 403;
	else if (at[0] && strtol(at, NULL, 10) != offset)
		status = 412;
	for (long i = 0; status == 200 && i + 4 <= request->body_len;) {
		const unsigned char *bytes = (const unsigned char *)request->body + i;
		long len = (long)bytes[0] << 24 | bytes[1] << 16 | bytes[2] << 8 | bytes[3];

		add_entry(topic, request->body + i + 4, len);
		i += 4 + len;
	}
	snprintf(text, sizeof(text), "{\"offset\":%ld,\"end\":%ld}", offset, topic->count);
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&mutex);
	answer(fd, status, "application/json", text, (long)strlen(text));
}

static void on_read(int fd, const struct message *request)
{
	char name[NAME_BYTES];
	char text[24];
	struct timespec until;
	struct topic *topic;
	char *body;
	long len = 16;
	long from;
	long wait_ms;

	argument(request->path, "topic", name, sizeof(name));
	argument(request->path, "from", text, sizeof(text));
	from = strtol(text, NULL, 10);
	argument(request->path, "wait_ms", text, sizeof(text));
	wait_ms = strtol(text, NULL, 10);
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait_ms / 1000;
	until.tv_nsec += wait_ms % 1000 * 1000000;
	until.tv_sec += until.tv_nsec / 1000000000;
	until.tv_nsec %= 1000000000;
	pthread_mutex_lock(&mutex);
	topic = topic_get(name);
	while (topic->count <= from && pthread_cond_timedwait(&changed, &mutex, &until) == 0)
		;
	for (long i = from; i < topic->count; i++)
		len += 4 + topic->entries[i].len;
	body = calloc(1, (size_t)len);
	put_number(body, (uint64_t)topic->count, 8);
	len = 16;
	for (long i = from; i < topic->count; i++) {
		put_number(body + len, (uint64_t)topic->entries[i].len, 4);
		memcpy(body + len + 4, topic->entries[i].bytes, (size_t)topic->entries[i].len);
		len += 4 + topic->entries[i].len;
	}
	pthread_mutex_unlock(&mutex);
	answer(fd, 200, "application/octet-stream", body, len);
	free(body);
}

static char *add_base64(char *out, const char *bytes, long len)
{
	static const char digits[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

	for (long i = 0; i < len; i += 3) {
		unsigned int group = (unsigned int)(unsigned char)bytes[i] << 16;

		if (i + 1 < len)
			group |= (unsigned int)(unsigned char)bytes[i + 1] << 8;
		if (i + 2 < len)
			group |= (unsigned char)bytes[i + 2];
		*out++ = digits[group >> 18];
		*out++ = digits[group >> 12 & 63];
		*out++ = i + 1 < len ? digits[group >> 6 & 63] : '=';
		*out++ = i + 2 < len ? digits[group & 63] : '=';
	}
	return out;
}

/* Whether a record is the newest of its key. */
static bool is_newest(const struct topic *topic, long index)
{
	const struct entry *entry = &topic->entries[index];
	size_t bytes = 1 + (size_t)(unsigned char)entry->bytes[0];

	for (long i = index + 1; i < topic->count; i++)
		if (memcmp(topic->entries[i].bytes, entry->bytes, bytes) == 0)
			return false;
	return true;
}

static int compare_keys(const void *a, const void *b)
{
	const struct entry *x = *(const struct entry *const *)a;
	const struct entry *y = *(const struct entry *const *)b;
	size_t x_len = (unsigned char)x->bytes[0];
	size_t y_len = (unsigned char)y->bytes[0];
	int order = memcmp(x->bytes + 1, y->bytes + 1, x_len < y_len ? x_len : y_len);

	return order ? order : (int)x_len - (int)y_len;
}

/* Lists the newest records of the keys behind @p after, in the order of the keys. */
static long list_newest(const struct topic *topic, const char *after, const struct entry **items)
{
	char mark[NAME_BYTES + 1];
	struct entry last = { 0, mark };
	const struct entry *last_item = &last;
	long count = 0;

	mark[0] = (char)snprintf(mark + 1, NAME_BYTES, "%s", after);
	for (long i = 0; i < topic->count; i++) {
		const struct entry *entry = &topic->entries[i];

		if (entry->len > 1 + (unsigned char)entry->bytes[0] && is_newest(topic, i) &&
		    (!after[0] || compare_keys(&entry, &last_item) > 0))
			items[count++] = entry;
	}
	qsort(items, (size_t)count, sizeof(*items), compare_keys);
	return count;
}

/* Decodes the escapes of an argument in place. */
static void decode(char *text)
{
	char *out = text;

	for (; *text; text++) {
		char digits[3] = { 0 };

		if (*text != '%' || !text[1] || !text[2]) {
			*out++ = *text;
			continue;
		}
		memcpy(digits, text + 1, 2);
		*out++ = (char)strtol(digits, NULL, 16);
		text += 2;
	}
	*out = '\0';
}

static void on_newest(int fd, const struct message *request)
{
	static const struct entry *items[RECORDS_MAX];
	char name[NAME_BYTES];
	char after[NAME_BYTES];
	const struct topic *topic;
	size_t cap = 256;
	long count;
	char *text;
	char *at;

	argument(request->path, "topic", name, sizeof(name));
	argument(request->path, "after", after, sizeof(after));
	decode(after);
	pthread_mutex_lock(&mutex);
	topic = topic_get(name);
	count = list_newest(topic, after, items);
	for (long i = 0; i < count && i < PAGE_MAX; i++)
		cap += (size_t)items[i]->len * 2 + 128;
	text = malloc(cap);
	at = text + sprintf(text, "{\"items\":[");
	for (long i = 0; i < count && i < PAGE_MAX; i++) {
		const struct entry *entry = items[i];
		long key_len = (unsigned char)entry->bytes[0];

		at += sprintf(at, "%s{\"key\":\"%.*s\",\"value\":\"", i ? "," : "", (int)key_len,
			      entry->bytes + 1);
		at = add_base64(at, entry->bytes + 1 + key_len, entry->len - 1 - key_len);
		at += sprintf(at, "\",\"offset\":%ld}", (long)(entry - topic->entries));
	}
	at += sprintf(at, "],\"more\":%s,\"end\":%ld}", count > PAGE_MAX ? "true" : "false",
		      topic->count);
	pthread_mutex_unlock(&mutex);
	answer(fd, 200, "application/json", text, at - text);
	free(text);
}

long store_count(const char *name)
{
	long count;

	pthread_mutex_lock(&mutex);
	count = topic_get(name)->count;
	pthread_mutex_unlock(&mutex);
	return count;
}

static void *serve(void *data)
{
	struct wire *wire = data;
	struct message request;

	while (wire_read_head(wire, &request) && wire_read_body(wire, &request, false)) {
		sleep_ms(ANSWER_DELAY_MS);
		if (strncmp(request.path, "/log-append", 11) == 0)
			on_append(wire->fd, &request);
		else if (strncmp(request.path, "/log-read", 9) == 0)
			on_read(wire->fd, &request);
		else if (strncmp(request.path, "/log-newest", 11) == 0)
			on_newest(wire->fd, &request);
		else
			answer(wire->fd, 404, "application/json", "{}", 2);
		message_clear(&request);
	}
	close(wire->fd);
	free(wire);
	return NULL;
}

static void *accept_all(void *data)
{
	int listen_fd = *(int *)data;

	for (;;) {
		int fd = accept4(listen_fd, NULL, NULL, SOCK_CLOEXEC);
		struct wire *wire;
		pthread_t thread;

		if (fd < 0)
			continue;
		wire = calloc(1, sizeof(*wire));
		wire->fd = fd;
		if (pthread_create(&thread, NULL, serve, wire) != 0)
			unable("no thread can be started");
		pthread_detach(thread);
	}
	return NULL;
}

int store_start(void)
{
	static int listen_fd;
	pthread_t thread;
	int port = 0;

	listen_fd = listen_on(&port);
	if (listen_fd < 0 || pthread_create(&thread, NULL, accept_all, &listen_fd) != 0)
		unable("the store can't be started");
	return port;
}
