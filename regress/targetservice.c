/*
 * Stands in for a target, by docs/TARGET-CONTRACT.md, with slots, latency, cold start and faults.
 *   targetservice -a ANNOUNCE_PORT -s SERVICE -v VERSION [-n SLOTS] [-l LATENCY_US] [-c COLD_MS]
 *                 [-f FAIL_PERCENT] [-F FAIL_PATH] [-x SLOW_FACTOR] [-d BAD_AFTER_MS]
 * From BAD_AFTER_MS on, calls whose path begins with FAIL_PATH take SLOW_FACTOR times as long, and
 * FAIL_PERCENT of them fail. During the first COLD_MS, all calls take four times as long.
 * Any path answers "SERVICE VERSION PATH"; /bytes?n=N returns N bytes of a known pattern; POST /sum
 * returns the length and checksum of the body; POST /check returns its length and how many bytes
 * differ from raw_body_byte(); a path with "crash" ends the process, one with
 * "hang" is not answered; GET /admin/counts returns the number of runs by idempotency key. The
 * program drains on SIGTERM and exits when its standard input ends.
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/rng.h"
#include "base/str.h"
#include "regress/lib/rawcall.h"

#define ANNOUNCE_INTERVAL_MS 700
#define ANNOUNCE_TTL_MS	     3000

static struct {
	int announce_port;
	const char *service;
	const char *version;
	int slots;
	int64_t latency_us;
	int64_t cold_ms;
	int fail_percent;
	const char *fail_path;
	double slow_factor;
	int64_t bad_after_ms;
} options = { .slots = 9, .latency_us = 1000, .slow_factor = 1, .fail_path = "/" };

static GMutex mutex;
static GHashTable *runs; /* idempotency key -> number of runs */
static int slots_used;
static int64_t started_us;
static struct rng rng = { 1 };
static volatile sig_atomic_t stop_requested;

struct request {
	uint64_t length;
	uint64_t checksum;
	uint64_t altered;
	bool admitted;
	bool refused;
};

static enum MHD_Result reply(struct MHD_Connection *connection, unsigned int status,
			     const char *text)
{
	struct MHD_Response *response =
		MHD_create_response_from_buffer(strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	MHD_add_response_header(response, "Target-Version", options.version);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static bool is_bad_now(const char *url)
{
	return clock_now().mono_us - started_us >= options.bad_after_ms * US_PER_MS &&
	       strncmp(url, options.fail_path, strlen(options.fail_path)) == 0;
}

static bool fails_now(const char *url)
{
	bool fails;

	g_mutex_lock(&mutex);
	fails = is_bad_now(url) && (int)rng_below(&rng, 100) < options.fail_percent;
	g_mutex_unlock(&mutex);
	return fails;
}

static void simulate_work(const char *url)
{
	double us = (double)options.latency_us;
	double jitter;

	g_mutex_lock(&mutex);
	jitter = 0.8 + 0.4 * rng_unit(&rng);
	g_mutex_unlock(&mutex);
	if (is_bad_now(url))
		us *= options.slow_factor;
	if (clock_now().mono_us - started_us < options.cold_ms * US_PER_MS)
		us *= 4;
	if (us > 0)
		g_usleep((gulong)(us * jitter));
}

static void count_run(struct MHD_Connection *connection)
{
	const char *key =
		MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Idempotency-Key");
	gpointer count;

	if (!key)
		return;
	g_mutex_lock(&mutex);
	count = g_hash_table_lookup(runs, key);
	g_hash_table_insert(runs, g_strdup(key), GINT_TO_POINTER(GPOINTER_TO_INT(count) + 1));
	g_mutex_unlock(&mutex);
}

static ssize_t fill_pattern(void *context, uint64_t offset, char *buffer, size_t buffer_size)
{
	(void)context;
	for (size_t i = 0; i < buffer_size; i++)
		buffer[i] = (char)((offset + i) * 31 % 251);
	return (ssize_t)buffer_size;
}

static enum MHD_Result reply_pattern(struct MHD_Connection *connection)
{
	const char *text = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "n");
	struct MHD_Response *response = MHD_create_response_from_callback(
		text ? (uint64_t)atoll(text) : 0, 64 << 10, fill_pattern, NULL, NULL);
	enum MHD_Result result = MHD_queue_response(connection, MHD_HTTP_OK, response);

	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result reply_counts(struct MHD_Connection *connection)
{
	GString *text = g_string_new(NULL);
	enum MHD_Result result;
	GHashTableIter iter;
	gpointer key;
	gpointer count;

	g_mutex_lock(&mutex);
	g_hash_table_iter_init(&iter, runs);
	while (g_hash_table_iter_next(&iter, &key, &count))
		g_string_append_printf(text, "%s %d\n", (char *)key, GPOINTER_TO_INT(count));
	g_mutex_unlock(&mutex);
	result = reply(connection, MHD_HTTP_OK, text->str);
	g_string_free(text, TRUE);
	return result;
}

static enum MHD_Result answer_request(struct MHD_Connection *connection, const char *url,
				      const struct request *request)
{
	char text[512];

	if (strcmp(url, "/admin/counts") == 0)
		return reply_counts(connection);
	count_run(connection);
	if (strstr(url, "crash"))
		_exit(3);
	simulate_work(url);
	if (strstr(url, "hang"))
		g_usleep(3600 * 1000000UL);
	if (fails_now(url))
		return reply(connection, MHD_HTTP_INTERNAL_SERVER_ERROR, "fault\n");
	if (strcmp(url, "/bytes") == 0)
		return reply_pattern(connection);
	if (strcmp(url, "/sum") == 0)
		g_snprintf(text, sizeof(text), "%lu %lx\n", request->length, request->checksum);
	else if (strcmp(url, "/check") == 0)
		g_snprintf(text, sizeof(text), "%lu bytes, %lu altered\n", request->length,
			   request->altered);
	else
		g_snprintf(text, sizeof(text), "%s %s %s\n", options.service, options.version, url);
	return reply(connection, MHD_HTTP_OK, text);
}

static bool acquire_slot(void)
{
	bool has_slot;

	g_mutex_lock(&mutex);
	has_slot = slots_used < options.slots;
	slots_used += has_slot;
	g_mutex_unlock(&mutex);
	return has_slot;
}

static enum MHD_Result on_request(void *context, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *size, void **state)
{
	struct request *request = *state;

	(void)context;
	(void)method;
	(void)version;
	if (!request) {
		*state = g_new0(struct request, 1);
		return MHD_YES;
	}
	if (*size) {
		for (size_t i = 0; i < *size; i++) {
			request->checksum = request->checksum * 31 + (unsigned char)data[i];
			request->altered += data[i] != raw_body_byte(request->length + i);
		}
		request->length += *size;
		*size = 0;
		return MHD_YES;
	}
	request->admitted = acquire_slot();
	if (!request->admitted)
		return reply(connection, MHD_HTTP_SERVICE_UNAVAILABLE, "no slot\n");
	return answer_request(connection, url, request);
}

static void on_completed(void *context, struct MHD_Connection *connection, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct request *request = *state;

	(void)context;
	(void)connection;
	(void)code;
	if (request && request->admitted) {
		g_mutex_lock(&mutex);
		slots_used--;
		g_mutex_unlock(&mutex);
	}
	g_free(request);
	*state = NULL;
}

static size_t discard_answer(char *data, size_t size, size_t count, void *context)
{
	(void)data;
	(void)context;
	return size * count;
}

static void notify_node(const char *method, const char *path)
{
	CURL *curl = curl_easy_init();
	char *url = g_strdup_printf("http://127.0.0.1:%d%s", options.announce_port, path);

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 1000L);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard_answer);
	curl_easy_perform(curl);
	curl_easy_cleanup(curl);
	g_free(url);
}

static void on_sigterm(int number)
{
	(void)number;
	stop_requested = 1;
}

/* Renews the announcement until the standard input ends. On SIGTERM, it reports that the target
 * leaves, waits until no slot is in use and deregisters the target. */
static void keep_announced(const char *path)
{
	struct pollfd input = { .fd = STDIN_FILENO, .events = POLLIN };
	int unfinished = 1;

	while (!stop_requested) {
		notify_node("PUT", path);
		if (poll(&input, 1, ANNOUNCE_INTERVAL_MS) > 0)
			return;
	}
	notify_node("POST", "/leave");
	while (unfinished) {
		g_usleep(20000);
		g_mutex_lock(&mutex);
		unfinished = slots_used;
		g_mutex_unlock(&mutex);
	}
	notify_node("DELETE", "/announce");
}

static bool read_options(int argc, char **argv)
{
	int option;

	while ((option = getopt(argc, argv, "a:s:v:n:l:c:f:F:x:d:")) != -1) {
		switch (option) {
		case 'a':
			options.announce_port = atoi(optarg);
			break;
		case 's':
			options.service = optarg;
			break;
		case 'v':
			options.version = optarg;
			break;
		case 'n':
			options.slots = atoi(optarg);
			break;
		case 'l':
			options.latency_us = atoll(optarg);
			break;
		case 'c':
			options.cold_ms = atoll(optarg);
			break;
		case 'f':
			options.fail_percent = atoi(optarg);
			break;
		case 'F':
			options.fail_path = optarg;
			break;
		case 'x':
			options.slow_factor = atof(optarg);
			break;
		case 'd':
			options.bad_after_ms = atoll(optarg);
			break;
		default:
			return false;
		}
	}
	return options.service && options.version;
}

int main(int argc, char **argv)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	struct MHD_Daemon *daemon;
	char *path;
	int port;

	if (!read_options(argc, argv))
		return 2;
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_sigterm);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	runs = g_hash_table_new(g_str_hash, g_str_equal);
	started_us = clock_now().mono_us;
	daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
				  0, NULL, NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR,
				  (struct sockaddr *)&address, MHD_OPTION_NOTIFY_COMPLETED,
				  on_completed, NULL, MHD_OPTION_END);
	if (!daemon)
		return 1;
	port = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
	printf("port %d\n", port);
	fflush(stdout);
	path = g_strdup_printf("/announce?service=%s&version=%s&slots=%d&port=%d&ttl_ms=%d",
			       options.service, options.version, options.slots, port,
			       ANNOUNCE_TTL_MS);
	if (options.announce_port)
		keep_announced(path);
	else
		while (getchar() != EOF)
			;
	return 0;
}
