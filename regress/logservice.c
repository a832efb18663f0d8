/*
 * Stands in for the platform's log service, by docs/LOG-CONTRACT.md.
 *   logservice [-k RETENTION_S] [-p PORT] [-r APPENDS_PER_S]
 * Tests switch its faults on:
 *   POST /fault?out=0|1&slow_ms=N&lose_answers=N
 * out: all calls fail; slow_ms: each call is delayed by N ms; lose_answers: the next N appends take
 * effect unanswered.
 * It prints "port N" when it listens, and exits when its standard input ends.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <msgpack.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"

enum { RETENTION_DEFAULT_S = 3600, APPENDS_PER_S_DEFAULT = 300, RECORD_BYTES_MAX = 1 << 20 };

struct stream {
	GPtrArray *records;   /* array of GBytes */
	GArray *written_at;   /* array of int64_t, in us of the monotonic clock */
	int64_t first_offset; /* offset of the first retained record */
};

static GMutex mutex;
static GCond stream_changed;
static GHashTable *streams;
static int64_t retention_us = RETENTION_DEFAULT_S * US_PER_S;
static int appends_per_s = APPENDS_PER_S_DEFAULT;
static double tokens;
static int64_t tokens_updated_us;
static bool unavailable;
static int64_t slow_ms;
static int64_t answers_to_lose;
static int64_t reads;
static int64_t appends;

static struct stream *stream_get(const char *name)
{
	struct stream *stream = g_hash_table_lookup(streams, name);

	if (stream)
		return stream;
	stream = g_new0(struct stream, 1);
	stream->records = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	stream->written_at = g_array_new(FALSE, FALSE, sizeof(int64_t));
	stream->first_offset = 1;
	g_hash_table_insert(streams, g_strdup(name), stream);
	return stream;
}

static int64_t newest_offset(const struct stream *stream)
{
	return stream->first_offset + (int64_t)stream->records->len - 1;
}

static void expire_records(struct stream *stream)
{
	int64_t limit = clock_now().mono_us - retention_us;

	while (stream->records->len && g_array_index(stream->written_at, int64_t, 0) < limit) {
		g_ptr_array_remove_index(stream->records, 0);
		g_array_remove_index(stream->written_at, 0);
		stream->first_offset++;
	}
}

static bool take_token(void)
{
	int64_t now = clock_now().mono_us;

	tokens += (double)(now - tokens_updated_us) / 1e6 * appends_per_s;
	tokens_updated_us = now;
	if (tokens > appends_per_s)
		tokens = appends_per_s;
	if (tokens < 1)
		return false;
	tokens -= 1;
	return true;
}

static enum MHD_Result reply(struct MHD_Connection *connection, unsigned int status,
			     const void *data, size_t len)
{
	struct MHD_Response *response =
		MHD_create_response_from_buffer(len, (void *)data, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result = MHD_queue_response(connection, status, response);

	MHD_destroy_response(response);
	return result;
}

static int64_t get_number(struct MHD_Connection *connection, const char *name, int64_t fallback)
{
	const char *text = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);

	return text ? atoll(text) : fallback;
}

static enum MHD_Result on_append(struct MHD_Connection *connection, const char *name, GString *body)
{
	struct stream *stream;
	int64_t now;
	char text[32];
	bool is_lost;

	g_mutex_lock(&mutex);
	if (!take_token()) {
		g_mutex_unlock(&mutex);
		return reply(connection, MHD_HTTP_TOO_MANY_REQUESTS, "", 0);
	}
	stream = stream_get(name);
	now = clock_now().mono_us;
	g_ptr_array_add(stream->records, g_bytes_new(body->str, body->len));
	g_array_append_val(stream->written_at, now);
	g_snprintf(text, sizeof(text), "%ld", newest_offset(stream));
	appends++;
	is_lost = answers_to_lose > 0;
	answers_to_lose -= is_lost;
	g_cond_broadcast(&stream_changed);
	g_mutex_unlock(&mutex);
	if (is_lost)
		return MHD_NO;
	return reply(connection, MHD_HTTP_OK, text, strlen(text));
}

static int pack_gstring(void *data, const char *bytes, size_t len)
{
	g_string_append_len(data, bytes, (gssize)len);
	return 0;
}

static void pack_records(GString *answer, const struct stream *stream, int64_t from, int64_t max)
{
	int64_t newest = newest_offset(stream);
	int64_t count = from > newest ? 0 : MIN(newest - from + 1, max);
	msgpack_packer packer;

	msgpack_packer_init(&packer, answer, pack_gstring);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_int64(&packer, newest);
	msgpack_pack_array(&packer, (size_t)count);
	for (int64_t offset = from; offset < from + count; offset++) {
		gsize len;
		const void *bytes = g_bytes_get_data(
			g_ptr_array_index(stream->records, offset - stream->first_offset), &len);

		msgpack_pack_array(&packer, 2);
		msgpack_pack_int64(&packer, offset);
		msgpack_pack_bin(&packer, len);
		msgpack_pack_bin_body(&packer, bytes, len);
	}
}

static enum MHD_Result on_read(struct MHD_Connection *connection, const char *name)
{
	int64_t from = get_number(connection, "from", 1);
	int64_t max = get_number(connection, "max", 100);
	gint64 wait_until_us = g_get_monotonic_time() + get_number(connection, "wait_ms", 0) * 1000;
	GString *answer = g_string_new(NULL);
	enum MHD_Result result;
	struct stream *stream;
	bool was_unavailable;
	bool is_expired;

	g_mutex_lock(&mutex);
	reads++;
	stream = stream_get(name);
	while (!unavailable && newest_offset(stream) < from &&
	       g_cond_wait_until(&stream_changed, &mutex, wait_until_us))
		;
	expire_records(stream);
	if (from == 0)
		from = stream->first_offset;
	is_expired = from < stream->first_offset;
	if (!is_expired)
		pack_records(answer, stream, from, max);
	was_unavailable = unavailable;
	g_mutex_unlock(&mutex);
	if (was_unavailable)
		result = reply(connection, MHD_HTTP_SERVICE_UNAVAILABLE, "", 0);
	else if (is_expired)
		result = reply(connection, MHD_HTTP_GONE, "", 0);
	else
		result = reply(connection, MHD_HTTP_OK, answer->str, answer->len);
	g_string_free(answer, TRUE);
	return result;
}

static enum MHD_Result on_fault(struct MHD_Connection *connection)
{
	g_mutex_lock(&mutex);
	unavailable = get_number(connection, "out", unavailable) != 0;
	slow_ms = get_number(connection, "slow_ms", slow_ms);
	answers_to_lose = get_number(connection, "lose_answers", answers_to_lose);
	g_cond_broadcast(&stream_changed);
	g_mutex_unlock(&mutex);
	return reply(connection, MHD_HTTP_OK, "", 0);
}

static enum MHD_Result on_stats(struct MHD_Connection *connection)
{
	char text[96];

	g_mutex_lock(&mutex);
	g_snprintf(text, sizeof(text), "{\"reads\":%ld,\"appends\":%ld}", reads, appends);
	g_mutex_unlock(&mutex);
	return reply(connection, MHD_HTTP_OK, text, strlen(text));
}

static enum MHD_Result dispatch(struct MHD_Connection *connection, const char *url,
				const char *method, GString *body)
{
	int64_t wait_us;
	bool was_unavailable;

	if (strcmp(url, "/fault") == 0)
		return on_fault(connection);
	if (strcmp(url, "/stats") == 0)
		return on_stats(connection);
	g_mutex_lock(&mutex);
	wait_us = slow_ms * 1000;
	was_unavailable = unavailable;
	g_mutex_unlock(&mutex);
	if (wait_us)
		g_usleep((gulong)wait_us);
	if (was_unavailable)
		return reply(connection, MHD_HTTP_SERVICE_UNAVAILABLE, "", 0);
	if (strncmp(url, "/streams/", 9) != 0)
		return reply(connection, MHD_HTTP_NOT_FOUND, "", 0);
	if (strcmp(method, "POST") == 0)
		return on_append(connection, url + 9, body);
	return on_read(connection, url + 9);
}

static enum MHD_Result on_request(void *context, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *size, void **state)
{
	GString *body = *state;

	(void)context;
	(void)version;
	if (!body) {
		*state = g_string_new(NULL);
		return MHD_YES;
	}
	if (*size) {
		if (body->len + *size > RECORD_BYTES_MAX)
			return MHD_NO;
		g_string_append_len(body, data, (gssize)*size);
		*size = 0;
		return MHD_YES;
	}
	return dispatch(connection, url, method, body);
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

int main(int argc, char **argv)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	struct MHD_Daemon *daemon;
	int option;
	char c;

	while ((option = getopt(argc, argv, "k:p:r:")) != -1) {
		if (option == 'k')
			retention_us = atoll(optarg) * US_PER_S;
		else if (option == 'p')
			address.sin_port = htons((uint16_t)atoi(optarg));
		else if (option == 'r')
			appends_per_s = atoi(optarg);
		else
			return 2;
	}
	streams = g_hash_table_new(g_str_hash, g_str_equal);
	tokens = appends_per_s;
	tokens_updated_us = clock_now().mono_us;
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
