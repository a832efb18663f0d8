/* Callers that abuse a node: none may end its process, or make it hold memory or descriptors beyond
 * a bound, and an ordinary request is answered beside them. No check depends on times. */
#include "regress/lib/check.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <dirent.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "regress/lib/pair.h"

enum { ENTRY, PEER }; /* the node that is abused, and the node of the target */

/* The bounds were chosen before the limits of the node: a small VM has 160 MB, which the node
 * shares with its target. */
enum {
	ENTRY_MEMORY_MAX_KB = 80 << 10,
	PEER_MEMORY_MAX_KB = 48 << 10,
	HEADS_MEMORY_MAX_KB = 28 << 10, /* for 200 connections */
	DESCRIPTORS_MAX = 260,
};

enum {
	PIPELINING_CALLERS = 40,
	PIPELINED = 64,	       /* requests of each */
	ANSWER_BYTES = 120000, /* fits in a window: the target is free for the next one */
	BODY_CALLERS = 4,
	BODY_MAX_BYTES = 1 << 20, /* limit of the node, so that a small body exceeds it */
	BODY_SENT_BYTES = 64 << 20,
	CHUNKED_BODY_BYTES = 8 << 20,
	CHUNK_BYTES = 32 << 10,
	HEAD_CALLERS = 300,
	HEAD_FIELD_BYTES = 72 << 10, /* of a field that does not end */
	ENDLESS_HEADS = 8,
	ENDLESS_HEAD_BYTES = 16 << 20,
	ADDRESSES = 8,
	IDLE_CALLERS = 400,
	IO_TIMEOUT_S = 20,
	ANSWER_WAIT_MS = 30000,
	RETRY_MS = 100,
	SETTLED_MS = 1000, /* without growth of the memory */
	SETTLE_MAX_MS = 30000,
};

static void start_nodes(const char *settings)
{
	fleet = fleet_new(0);
	g_strlcpy(fleet->extra_settings, settings, sizeof(fleet->extra_settings));
	fleet_add_node(fleet, "fes-a");
	fleet_add_node(fleet, "fes-b");
	fleet_add_target(fleet, PEER, "-s registre -v v1 -n 64");
	assert_true(fleet_wait_live(fleet, 2, 10000));
	assert_true(fleet_wait_text(fleet, ENTRY, "/v1/members", "registre", 10000));
	assert_int_equal(fleet_apply(fleet, "one.json", VALID_CONFIG_FILE, NULL), 0);
}

/* Connects to the entry node from 127.0.0.@p host; -1 if the connection fails. */
static int connect_from(int host)
{
	struct sockaddr_in from = { .sin_family = AF_INET,
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK - 1 + host) };
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)atoi(
					  strchr(fleet->nodes[ENTRY].caller_address, ':') + 1)),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	struct timeval limit = { IO_TIMEOUT_S, 0 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int buffer_bytes = 4096;

	/* A small buffer, so that the answers stay in the node. */
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	assert_int_equal(bind(fd, (struct sockaddr *)&from, sizeof(from)), 0);
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Returns whether all bytes were taken before the node closed the connection or stopped reading. */
static bool send_all(int fd, const char *bytes, size_t len)
{
	while (len) {
		ssize_t n = send(fd, bytes, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		bytes += n;
		len -= (size_t)n;
	}
	return true;
}

static bool send_text(int fd, const char *text)
{
	return send_all(fd, text, strlen(text));
}

/* Reads the status of an answer; 0 if the connection ends without one. */
static int read_status(int fd)
{
	char head[64] = "";
	size_t len = 0;
	int status = 0;

	while (len < sizeof("HTTP/1.1 200") - 1) {
		ssize_t n = recv(fd, head + len, sizeof(head) - 1 - len, 0);

		if (n <= 0)
			return 0;
		len += (size_t)n;
	}
	sscanf(head, "HTTP/1.1 %d", &status);
	return status;
}

static int ordinary_status(void)
{
	int fd = connect_from(ADDRESSES + 1);
	int status = 0;

	if (fd < 0)
		return 0;
	if (send_text(fd, "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"))
		status = read_status(fd);
	close(fd);
	return status;
}

/* Returns whether an ordinary request is answered; a refusal or a closed connection is tried again,
 * as callers do. */
static bool serves_ordinary_caller(void)
{
	for (int i = 0; i < ANSWER_WAIT_MS / RETRY_MS; i++) {
		if (ordinary_status() == 200)
			return true;
		wait_ms(RETRY_MS);
	}
	return false;
}

static long peak_memory_kb(int node)
{
	char path[64];
	char *text = NULL;
	const char *line;
	long kb = -1;

	g_snprintf(path, sizeof(path), "/proc/%d/status", fleet->nodes[node].daemon.pid);
	if (g_file_get_contents(path, &text, NULL, NULL)) {
		line = strstr(text, "VmHWM:");
		if (line)
			kb = strtol(line + strlen("VmHWM:"), NULL, 10);
	}
	g_free(text);
	return kb;
}

static int descriptors(int node)
{
	char path[64];
	DIR *directory;
	int count = 0;

	g_snprintf(path, sizeof(path), "/proc/%d/fd", fleet->nodes[node].daemon.pid);
	directory = opendir(path);
	while (directory && readdir(directory))
		count++;
	if (directory)
		closedir(directory);
	return count;
}

/* Waits until what was sent has come as far as it gets. */
static void settle(void)
{
	long before_kb = 0;

	for (int ms = 0; ms < SETTLE_MAX_MS && peak_memory_kb(ENTRY) > before_kb;
	     ms += SETTLED_MS) {
		before_kb = peak_memory_kb(ENTRY);
		wait_ms(SETTLED_MS);
	}
}

/* Checks the nodes while the abusive connections are still open. */
static void check_nodes(const char *name, long entry_memory_max_kb)
{
	bool served = serves_ordinary_caller();

	print_message("%s: peak memory %ld KB, of the peer %ld KB; %d and %d descriptors; "
		      "ordinary request %s\n",
		      name, peak_memory_kb(ENTRY), peak_memory_kb(PEER), descriptors(ENTRY),
		      descriptors(PEER), served ? "answered" : "not answered");
	for (int i = ENTRY; i <= PEER; i++) {
		assert_int_equal(process_wait(&fleet->nodes[i].daemon, 0), -1);
		assert_in_range(descriptors(i), 1, DESCRIPTORS_MAX);
	}
	assert_in_range(peak_memory_kb(ENTRY), 1, entry_memory_max_kb);
	assert_in_range(peak_memory_kb(PEER), 1, PEER_MEMORY_MAX_KB);
	assert_true(served);
}

static void close_all(const int *fds, int count)
{
	for (int i = 0; i < count; i++)
		if (fds[i] >= 0)
			close(fds[i]);
}

/* The answers to pipelined requests were held in full windows for as many requests as came: a few
 * connections took the node and that of the target beyond the memory of a small VM. */
static void test_unread_answers_take_bounded_memory(void **state)
{
	int fds[PIPELINING_CALLERS];
	struct strbuf requests = { 0 };

	(void)state;
	start_nodes("\"idle_s\": 10,");
	for (int i = 0; i < PIPELINED; i++)
		strbuf_addf(&requests, "GET /bytes?n=%d HTTP/1.1\r\nHost: a\r\n\r\n", ANSWER_BYTES);
	for (int i = 0; i < PIPELINING_CALLERS; i++) {
		fds[i] = connect_from(1);
		assert_true(fds[i] >= 0);
		assert_true(send_all(fds[i], requests.data, requests.len));
	}
	settle();
	check_nodes("pipelined requests", ENTRY_MEMORY_MAX_KB);
	/* The crowd made the node hold what it could, and was not just turned away. */
	print_message("%ld bytes held for callers\n",
		      (long)fleet_metric(fleet, ENTRY, "godwithitch_caller_memory_bytes"));
	assert_true(fleet_metric(fleet, ENTRY, "godwithitch_caller_memory_bytes") >
		    PIPELINING_CALLERS * ANSWER_BYTES);
	close_all(fds, PIPELINING_CALLERS);
	strbuf_clear(&requests);
}

/* Sends chunks until @p bytes were taken; returns false if the node ended it before. */
static bool send_chunks(int fd, size_t bytes)
{
	char *data = g_strnfill(CHUNK_BYTES, 'c');
	char *chunk = g_strdup_printf("%x\r\n%s\r\n", CHUNK_BYTES, data);
	bool taken = true;

	for (size_t sent = 0; taken && sent < bytes; sent += CHUNK_BYTES)
		taken = send_text(fd, chunk);
	g_free(chunk);
	g_free(data);
	return taken;
}

static const char chunked_head[] =
	"POST /sum HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

/* A body in chunks was read for as long as its caller sent it. */
static void test_endless_chunked_body_is_ended(void **state)
{
	int fds[BODY_CALLERS];
	int taken = 0;

	(void)state;
	start_nodes("\"body_max_bytes\": 1048576,");
	for (int i = 0; i < BODY_CALLERS; i++) {
		fds[i] = connect_from(1);
		assert_true(send_text(fds[i], chunked_head));
		taken += send_chunks(fds[i], BODY_SENT_BYTES);
	}
	print_message("endless bodies taken beyond the limit: %d of %d\n", taken, BODY_CALLERS);
	check_nodes("endless bodies", ENTRY_MEMORY_MAX_KB);
	close_all(fds, BODY_CALLERS);
	assert_int_equal(taken, 0);
}

/* A body whose announced length is over the limit is refused at once, and not read. */
static void test_announced_long_body_is_refused(void **state)
{
	int fds[BODY_CALLERS];
	char *data = g_strnfill(CHUNK_BYTES, 'b');
	int taken = 0;

	(void)state;
	start_nodes("\"body_max_bytes\": 1048576,");
	for (int i = 0; i < BODY_CALLERS; i++) {
		bool open = true;

		fds[i] = connect_from(1);
		assert_true(send_text(
			fds[i],
			"POST /sum HTTP/1.1\r\nHost: a\r\nContent-Length: 1073741824\r\n\r\n"));
		assert_int_equal(read_status(fds[i]), 413);
		for (size_t sent = 0; open && sent < BODY_SENT_BYTES; sent += CHUNK_BYTES)
			open = send_all(fds[i], data, CHUNK_BYTES);
		taken += open;
	}
	check_nodes("announced bodies", ENTRY_MEMORY_MAX_KB);
	close_all(fds, BODY_CALLERS);
	g_free(data);
	assert_int_equal(taken, 0);
}

/* A body in chunks over the limit was passed on whole and got the target's answer. */
static void test_long_chunked_body_is_refused(void **state)
{
	int fds[BODY_CALLERS];
	int succeeded = 0;

	(void)state;
	start_nodes("\"body_max_bytes\": 1048576,");
	for (int i = 0; i < BODY_CALLERS; i++) {
		fds[i] = connect_from(1);
		assert_true(send_text(fds[i], chunked_head));
		succeeded += send_chunks(fds[i], CHUNKED_BODY_BYTES) &&
			     send_text(fds[i], "0\r\n\r\n") && read_status(fds[i]) == 200;
	}
	print_message("bodies over the limit that succeeded: %d of %d\n", succeeded, BODY_CALLERS);
	check_nodes("bodies in chunks", ENTRY_MEMORY_MAX_KB);
	close_all(fds, BODY_CALLERS);
	assert_int_equal(succeeded, 0);
}

/* Header sections that did not end were kept up to 80 KB each, for as long as their connections. */
static void test_heads_without_end_take_bounded_memory(void **state)
{
	int fds[HEAD_CALLERS];
	int endless[ENDLESS_HEADS];
	char *field = g_strnfill(HEAD_FIELD_BYTES, 'f');
	int taken = 0;

	(void)state;
	start_nodes("\"connections\": 200, \"connections_per_address\": 200,");
	for (int i = 0; i < ENDLESS_HEADS; i++) {
		bool open;

		endless[i] = connect_from(2);
		open = send_text(endless[i], "GET /x HTTP/1.1\r\nHost: a\r\nField: ");
		for (size_t sent = 0; open && sent < ENDLESS_HEAD_BYTES; sent += HEAD_FIELD_BYTES)
			open = send_text(endless[i], field);
		taken += open;
	}
	for (int i = 0; i < HEAD_CALLERS; i++) {
		fds[i] = connect_from(1);
		if (fds[i] >= 0 && send_text(fds[i], "GET /x HTTP/1.1\r\nHost: a\r\nField: "))
			send_text(fds[i], field);
	}
	settle();
	print_message("endless heads taken: %d of %d\n", taken, ENDLESS_HEADS);
	check_nodes("heads without end", HEADS_MEMORY_MAX_KB);
	close_all(fds, HEAD_CALLERS);
	close_all(endless, ENDLESS_HEADS);
	g_free(field);
	assert_int_equal(taken, 0);
}

/* Connections that were opened and left kept others out until they were idle for too long. */
static void test_left_connections_keep_nobody_out(void **state)
{
	int fds[IDLE_CALLERS];

	(void)state;
	start_nodes("\"connections\": 100, \"connections_per_address\": 50, \"idle_s\": 600,");
	for (int i = 0; i < IDLE_CALLERS; i++)
		fds[i] = connect_from(1 + i % ADDRESSES);
	check_nodes("left connections", ENTRY_MEMORY_MAX_KB);
	close_all(fds, IDLE_CALLERS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_unread_answers_take_bounded_memory, pair_stop),
		cmocka_unit_test_teardown(test_endless_chunked_body_is_ended, pair_stop),
		cmocka_unit_test_teardown(test_announced_long_body_is_refused, pair_stop),
		cmocka_unit_test_teardown(test_long_chunked_body_is_refused, pair_stop),
		cmocka_unit_test_teardown(test_heads_without_end_take_bounded_memory, pair_stop),
		cmocka_unit_test_teardown(test_left_connections_keep_nobody_out, pair_stop),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	cmocka_set_test_filter(getenv("TEST_ONLY"));
	return cmocka_run_group_tests_name("godwithitchd/abusive_callers", tests, NULL, NULL);
}
