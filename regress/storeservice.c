/*
 * Stands in for the platform's store, by the calls that docs/PLATFORM.md names, for topics of one
 * partition. Tests switch its faults on:
 *   POST /fault?out=0|1&silent=0|1&deaf=0|1&lose=N&forget=1&restore_ms=N&page=N&page_ms=N
 * out: all calls fail; silent: requests that arrive meanwhile are never answered; deaf: /log-read
 * fails, the other calls succeed; lose: the next N appends take effect unanswered; forget: the
 * history is dropped, except for the newest record of each key; restore_ms: the store comes back
 * from a copy of that age, and the era in the header Store-Era rises by one; calls that wait go on
 * with the restored topics. page: keys in one answer of /log-newest for the operator's topic, each
 * of which is delayed by page_ms. /pages returns how many are delayed now. It prints "port N" when
 * it listens, and exits when its standard input ends.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/str.h"

enum {
	BODY_BYTES_MAX = 2 << 20,
	LENGTH_BYTES = 4,
	SILENT_HOLD_S = 8, /* a request during "silent" is closed unanswered after this time */
};

struct topic {
	GPtrArray *records;   /* array of GBytes: length of the key, key, value */
	GArray *written_at;   /* int64_t, monotonic, us; of each record */
	int64_t first_offset; /* offset of the oldest record that can be read */
};

static GMutex mutex;
static GCond topic_changed;
static GHashTable *topics;
static int64_t era;
static bool unavailable;
static bool is_silent;
static bool reads_fail;
static int64_t answers_to_lose;
static int64_t page_keys = INT64_MAX;
static int64_t page_delay_ms;
static int64_t pages_delayed; /* answers of /log-newest that wait for page_delay_ms now */

static struct topic *topic_get(const char *name)
{
	struct topic *topic = g_hash_table_lookup(topics, name);

	if (topic)
		return topic;
	topic = g_new0(struct topic, 1);
	topic->records = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	topic->written_at = g_array_new(FALSE, TRUE, sizeof(int64_t));
	g_hash_table_insert(topics, g_strdup(name), topic);
	return topic;
}

static enum MHD_Result reply(struct MHD_Connection *connection, unsigned int status,
			     const struct strbuf *body)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		body ? body->len : 0, body ? body->data : (void *)"", MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;
	char text[24];

	g_mutex_lock(&mutex);
	g_snprintf(text, sizeof(text), "%ld", era);
	g_mutex_unlock(&mutex);
	MHD_add_response_header(response, "Store-Era", text);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static const char *get_text(struct MHD_Connection *connection, const char *name)
{
	return MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
}

static int64_t get_number(struct MHD_Connection *connection, const char *name, int64_t fallback)
{
	const char *text = get_text(connection, name);

	return text ? atoll(text) : fallback;
}

static void add_number(struct strbuf *text, uint64_t value, int bytes)
{
	for (int i = bytes - 1; i >= 0; i--) {
		char byte = (char)(value >> 8 * i);

		strbuf_add(text, (struct str){ &byte, 1 });
	}
}

/* Adds the records of an append's body. Returns false if the body ends within a record. */
static bool add_records(struct topic *topic, const GString *body)
{
	int64_t now_us = g_get_monotonic_time();
	size_t read_offset = 0;

	while (read_offset + LENGTH_BYTES <= body->len) {
		size_t len = 0;

		for (int i = 0; i < LENGTH_BYTES; i++)
			len = len << 8 | (unsigned char)body->str[read_offset + i];
		read_offset += LENGTH_BYTES;
		if (read_offset + len > body->len)
			return false;
		g_ptr_array_add(topic->records, g_bytes_new(body->str + read_offset, len));
		g_array_append_val(topic->written_at, now_us);
		read_offset += len;
	}
	return read_offset == body->len;
}

static enum MHD_Result on_append(struct MHD_Connection *connection, const GString *body)
{
	struct strbuf text = { 0 };
	struct topic *topic;
	int64_t offset;
	unsigned int status = MHD_HTTP_OK;
	enum MHD_Result result;
	bool is_lost;

	g_mutex_lock(&mutex);
	topic = topic_get(get_text(connection, "topic"));
	offset = topic->records->len;
	if (get_number(connection, "at", offset) != offset)
		status = MHD_HTTP_PRECONDITION_FAILED;
	else if (!add_records(topic, body))
		status = MHD_HTTP_BAD_REQUEST;
	strbuf_addf(&text, "{\"offset\":%ld,\"end\":%u}", offset, topic->records->len);
	is_lost = status == MHD_HTTP_OK && answers_to_lose > 0;
	answers_to_lose -= is_lost;
	g_cond_broadcast(&topic_changed);
	g_mutex_unlock(&mutex);
	result = is_lost ? MHD_NO : reply(connection, status, &text);
	strbuf_clear(&text);
	return result;
}

static enum MHD_Result on_read(struct MHD_Connection *connection)
{
	int64_t wait_until_us =
		g_get_monotonic_time() + get_number(connection, "wait_ms", 0) * 1000;
	int64_t from = get_number(connection, "from", 0);
	struct strbuf text = { 0 };
	unsigned int status = MHD_HTTP_OK;
	enum MHD_Result result;
	struct topic *topic;

	g_mutex_lock(&mutex);
	topic = topic_get(get_text(connection, "topic"));
	while (!unavailable && !reads_fail && (int64_t)topic->records->len == from &&
	       g_cond_wait_until(&topic_changed, &mutex, wait_until_us))
		;
	if (unavailable || reads_fail)
		status = MHD_HTTP_SERVICE_UNAVAILABLE;
	else if (from < topic->first_offset || from > (int64_t)topic->records->len)
		status = MHD_HTTP_GONE;
	add_number(&text, topic->records->len, 8);
	add_number(&text, (uint64_t)topic->first_offset, 8);
	for (int64_t i = from; status == MHD_HTTP_OK && i < (int64_t)topic->records->len; i++) {
		gsize len;
		const char *data = g_bytes_get_data(g_ptr_array_index(topic->records, i), &len);

		add_number(&text, len, LENGTH_BYTES);
		strbuf_add(&text, (struct str){ data, len });
	}
	g_mutex_unlock(&mutex);
	result = reply(connection, status, status == MHD_HTTP_OK ? &text : NULL);
	strbuf_clear(&text);
	return result;
}

/* The newest record of a key. */
struct newest_item {
	char *key;
	GBytes *record;
	int64_t offset;
};

static void newest_item_free(gpointer data)
{
	struct newest_item *item = data;

	g_free(item->key);
	g_free(item);
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	const struct newest_item *x = *(struct newest_item *const *)a;
	const struct newest_item *y = *(struct newest_item *const *)b;

	return strcmp(x->key, y->key);
}

/* Returns the newest record of each key that has a value, by key. */
static GPtrArray *list_newest(const struct topic *topic)
{
	GHashTable *keys_seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GPtrArray *items = g_ptr_array_new_with_free_func(newest_item_free);

	for (int64_t i = topic->records->len; i-- > 0;) {
		GBytes *record = g_ptr_array_index(topic->records, i);
		gsize len;
		const char *data = g_bytes_get_data(record, &len);
		size_t key_len = (unsigned char)data[0];
		struct newest_item *item;

		if (!g_hash_table_add(keys_seen, g_strndup(data + 1, key_len)) ||
		    len <= 1 + key_len)
			continue;
		item = g_new0(struct newest_item, 1);
		item->key = g_strndup(data + 1, key_len);
		item->record = record;
		item->offset = i;
		g_ptr_array_add(items, item);
	}
	g_ptr_array_sort(items, compare_keys);
	g_hash_table_destroy(keys_seen);
	return items;
}

static void add_newest(struct strbuf *text, const struct newest_item *item)
{
	gsize len;
	const char *data = g_bytes_get_data(item->record, &len);
	size_t key_len = strlen(item->key);
	char *value = g_base64_encode((const guchar *)data + 1 + key_len, len - 1 - key_len);

	strbuf_addf(text, "%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%ld}",
		    text->data[text->len - 1] == '[' ? "" : ",", item->key, value, item->offset);
	g_free(value);
}

/* Adds the items of one page after a key; returns whether more follow. */
static bool add_page(struct strbuf *text, const GPtrArray *items, const char *after, int64_t max)
{
	int64_t added = 0;

	for (guint i = 0; i < items->len; i++) {
		const struct newest_item *item = g_ptr_array_index(items, i);

		if (after && strcmp(item->key, after) <= 0)
			continue;
		if (added++ == max)
			return true;
		add_newest(text, item);
	}
	return false;
}

static enum MHD_Result on_newest(struct MHD_Connection *connection)
{
	bool paged = strcmp(get_text(connection, "topic"), "keyed.op") == 0;
	struct strbuf text = { 0 };
	const struct topic *topic;
	enum MHD_Result result;
	GPtrArray *items;
	int64_t delay_ms;
	bool more;

	g_mutex_lock(&mutex);
	topic = topic_get(get_text(connection, "topic"));
	items = list_newest(topic);
	delay_ms = paged ? page_delay_ms : 0;
	strbuf_add(&text, STR("{\"items\":["));
	more = add_page(&text, items, get_text(connection, "after"), paged ? page_keys : INT64_MAX);
	strbuf_addf(&text, "],\"more\":%s,\"end\":%u}", more ? "true" : "false",
		    topic->records->len);
	pages_delayed += delay_ms > 0;
	g_ptr_array_unref(items);
	g_mutex_unlock(&mutex);
	g_usleep((gulong)delay_ms * 1000);
	g_mutex_lock(&mutex);
	pages_delayed -= delay_ms > 0;
	g_mutex_unlock(&mutex);
	result = reply(connection, MHD_HTTP_OK, &text);
	strbuf_clear(&text);
	return result;
}

static enum MHD_Result on_pages(struct MHD_Connection *connection)
{
	struct strbuf text = { 0 };
	enum MHD_Result result;

	g_mutex_lock(&mutex);
	strbuf_addf(&text, "%ld", pages_delayed);
	g_mutex_unlock(&mutex);
	result = reply(connection, MHD_HTTP_OK, &text);
	strbuf_clear(&text);
	return result;
}

static void drop_history(gpointer key, gpointer value, gpointer context)
{
	struct topic *topic = value;

	(void)key;
	(void)context;
	topic->first_offset = topic->records->len;
}

/* Removes what was written after the time of the copy. */
static void restore_topic(gpointer key, gpointer value, gpointer copied_at_us)
{
	struct topic *topic = value;
	guint count = 0;

	(void)key;
	while (count < topic->records->len &&
	       g_array_index(topic->written_at, int64_t, count) <= *(const int64_t *)copied_at_us)
		count++;
	g_ptr_array_set_size(topic->records, (gint)count);
	g_array_set_size(topic->written_at, count);
	topic->first_offset = MIN(topic->first_offset, count);
}

static void restore_topics(int64_t age_ms)
{
	int64_t copied_at_us = g_get_monotonic_time() - age_ms * 1000;

	g_hash_table_foreach(topics, restore_topic, &copied_at_us);
	era++;
}

static enum MHD_Result on_fault(struct MHD_Connection *connection)
{
	g_mutex_lock(&mutex);
	unavailable = get_number(connection, "out", unavailable) != 0;
	is_silent = get_number(connection, "silent", is_silent) != 0;
	reads_fail = get_number(connection, "deaf", reads_fail) != 0;
	answers_to_lose = get_number(connection, "lose", answers_to_lose);
	page_keys = get_number(connection, "page", page_keys);
	page_delay_ms = get_number(connection, "page_ms", page_delay_ms);
	if (get_number(connection, "forget", 0))
		g_hash_table_foreach(topics, drop_history, NULL);
	if (get_text(connection, "restore_ms"))
		restore_topics(get_number(connection, "restore_ms", 0));
	g_cond_broadcast(&topic_changed);
	g_mutex_unlock(&mutex);
	return reply(connection, MHD_HTTP_OK, NULL);
}

static enum MHD_Result dispatch(struct MHD_Connection *connection, const char *url,
				const GString *body)
{
	bool was_unavailable;
	bool was_silent;
	gint64 silent_until = g_get_monotonic_time() + SILENT_HOLD_S * G_USEC_PER_SEC;

	if (strcmp(url, "/fault") == 0)
		return on_fault(connection);
	if (strcmp(url, "/pages") == 0)
		return on_pages(connection);
	g_mutex_lock(&mutex);
	was_silent = is_silent;
	while (was_silent && g_get_monotonic_time() < silent_until)
		g_cond_wait_until(&topic_changed, &mutex, silent_until);
	was_unavailable = unavailable;
	g_mutex_unlock(&mutex);
	if (was_silent)
		return MHD_NO;
	if (was_unavailable)
		return reply(connection, MHD_HTTP_SERVICE_UNAVAILABLE, NULL);
	if (!get_text(connection, "topic"))
		return reply(connection, MHD_HTTP_NOT_FOUND, NULL);
	if (strcmp(url, "/log-append") == 0)
		return on_append(connection, body);
	if (strcmp(url, "/log-read") == 0)
		return on_read(connection);
	if (strcmp(url, "/log-newest") == 0)
		return on_newest(connection);
	return reply(connection, MHD_HTTP_NOT_FOUND, NULL);
}

static enum MHD_Result on_request(void *context, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *size, void **state)
{
	GString *body = *state;

	(void)context;
	(void)method;
	(void)version;
	if (!body) {
		*state = g_string_new(NULL);
		return MHD_YES;
	}
	if (*size) {
		if (body->len + *size > BODY_BYTES_MAX)
			return MHD_NO;
		g_string_append_len(body, data, (gssize)*size);
		*size = 0;
		return MHD_YES;
	}
	return dispatch(connection, url, body);
}

static void on_completed(void *context, struct MHD_Connection *connection, void **state,
			 enum MHD_RequestTerminationCode code)
{
	(void)context;
	(void)connection;
	(void)code;
	if (*state)
		g_string_free(*state, TRUE);
	*state = NULL;
}

int main(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	struct MHD_Daemon *daemon;
	char c;

	topics = g_hash_table_new(g_str_hash, g_str_equal);
	daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
				  0, NULL, NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR,
				  (struct sockaddr *)&address, MHD_OPTION_NOTIFY_COMPLETED,
				  on_completed, NULL, MHD_OPTION_END);
	if (!daemon)
		return 1;
	printf("port %u\n", MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
	fflush(stdout);
	while (read(STDIN_FILENO, &c, 1) > 0)
		;
	return 0;
}
