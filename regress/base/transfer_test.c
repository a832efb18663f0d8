/*
 * Answers that end before their request has been sent. A reset within a body that ends with its
 * connection leaves a part of it, whichever call on the socket reports the reset.
 */
#include "regress/lib/check.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/transfer.h"
#include "regress/lib/break_server.h"
#include "regress/lib/listen.h"

#define HEAD "HTTP/1.1 200 OK\r\nX-A: 1\r\n"

enum {
	DEADLINE_MS = 5000,
	SHORT_DEADLINE_MS = 200,
	HEAD_MAX_BYTES = 4 << 10,
	PARTS = 8, /* of an upload; the first one is sent before the answer comes */
	PART_BYTES = 1000,
	SHOWN_MAX = 8,
	RESET_WAIT_MS = 1000,
};

struct whole_answer {
	const char *name;
	struct str bytes;
	bool until_close; /* the body ends with the connection */
};

#define ANSWER(name, text)                                                                         \
	{                                                                                          \
		name, { text, sizeof(text) - 1 }, false                                            \
	}
#define UNTIL_CLOSE(name, text)                                                                    \
	{                                                                                          \
		name, { text, sizeof(text) - 1 }, true                                             \
	}

static const struct whole_answer answers[] = {
	UNTIL_CLOSE("no length", HEAD "\r\na body without a length"),
	UNTIL_CLOSE("no length, closing", HEAD "Connection: close\r\n\r\na body without a length"),
	UNTIL_CLOSE("version 1.0", "HTTP/1.0 200 OK\r\n\r\na body without a length"),
	UNTIL_CLOSE("a failure", "HTTP/1.1 500 Error\r\n\r\na body without a length"),
	UNTIL_CLOSE("an interim head before", "HTTP/1.1 100 Continue\r\n\r\n" HEAD "\r\nbody"),
	ANSWER("a length", HEAD "Content-Length: 4\r\n\r\nbody"),
	ANSWER("chunks", HEAD "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
	ANSWER("no content", "HTTP/1.1 204 No Content\r\nX-A: 1\r\n\r\n"),
};

static const char *const end_names[] = { "kept", "closed", "reset", "reset at once",
					 "closed, then reset" };

/* One transfer: an answer that ends after .len bytes while the request is being sent. */
struct early_case {
	const struct whole_answer *answer;
	size_t len;
	enum break_end end;
	enum transfer_upload upload;
};

struct received {
	struct break_server *server;
	int parts;   /* of the upload that were read */
	bool leaves; /* the caller is gone once bytes of the body have come */
	int checks;
	GString *body;
};

/* The second part of the upload is sent once the answer has come and its connection has ended. */
static void read_part(struct received *received, struct transfer_event *event)
{
	int part = received->parts++;

	event->read.len = 0;
	if (part == PARTS)
		return;
	if (part == 1)
		assert_true(break_server_wait_early(received->server));
	assert_true(event->read.cap >= PART_BYTES);
	memset(event->read.into, 'u', PART_BYTES);
	event->read.len = PART_BYTES;
}

static bool on_event(void *context, struct transfer_event *event)
{
	struct received *received = context;

	switch (event->kind) {
	case TRANSFER_HEAD:
		break;
	case TRANSFER_BODY:
		g_string_append_len(received->body, event->bytes.data, (gssize)event->bytes.len);
		break;
	case TRANSFER_READ:
		read_part(received, event);
		break;
	case TRANSFER_REWIND:
		break;
	case TRANSFER_CHECK:
		return !received->leaves || received->body->len == 0;
	}
	return true;
}

static struct str request_text(enum transfer_upload upload)
{
	switch (upload) {
	case TRANSFER_NO_UPLOAD:
		return STR("GET / HTTP/1.1\r\nHost: a\r\nX-Request-Id: 2\r\n\r\n");
	case TRANSFER_UPLOAD_BYTES:
		return STR("POST / HTTP/1.1\r\nHost: a\r\nX-Request-Id: 2\r\n"
			   "Content-Length: 8000\r\n\r\n");
	case TRANSFER_UPLOAD_CHUNKS:
		return STR("POST / HTTP/1.1\r\nHost: a\r\nX-Request-Id: 2\r\n"
			   "Transfer-Encoding: chunked\r\n\r\n");
	}
	g_assert_not_reached();
}

static struct transfer_result run_transfer(struct received *received, uint16_t port, int kept_fd,
					   enum transfer_upload upload, int deadline_ms)
{
	return transfer_run(&(struct transfer_options){
		.ipv4 = INADDR_LOOPBACK,
		.port = port,
		.kept_fd = kept_fd,
		.request = request_text(upload),
		.upload = upload,
		.upload_bytes = PARTS * PART_BYTES,
		.connect_within_us = US_PER_S,
		.deadline = deadline_after(clock_now(), deadline_ms * US_PER_MS),
		.answer = { .head_max_bytes = HEAD_MAX_BYTES },
		.handle = on_event,
		.context = received });
}

static bool is_whole(const struct early_case *row)
{
	if (row->answer->until_close)
		return row->end != BREAK_RESET && row->len >= break_head_len(row->answer->bytes);
	return row->len == row->answer->bytes.len;
}

/* Returns whether the answer was taken for what it is, and its whole body delivered. Sets *met if
 * the transfer was still sending when its connection had ended. */
static bool play(struct break_server *server, const struct early_case *row, bool *met)
{
	struct received received = { .server = server, .body = g_string_new(NULL) };
	struct break_plan plan = { .early = str_sub(row->answer->bytes, 0, row->len),
				   .early_end = row->end };
	size_t body_at = break_head_len(row->answer->bytes);
	struct transfer_result result;
	bool right;

	break_server_set(server, &plan);
	result = run_transfer(&received, break_server_port(server), -1, row->upload, DEADLINE_MS);
	*met = received.parts > 1;
	right = (result.end == TRANSFER_WHOLE) == is_whole(row);
	if (result.end == TRANSFER_WHOLE && row->answer->until_close)
		right &= received.body->len == row->len - body_at && result.whole.fd < 0;
	if (result.end == TRANSFER_WHOLE && result.whole.fd >= 0)
		close(result.whole.fd);
	if (result.end != TRANSFER_WHOLE)
		right &= result.cause == TRANSFER_CONNECTION;
	g_string_free(received.body, TRUE);
	return right;
}

static void check_ends(enum break_end end)
{
	struct break_server *server = break_server_new();
	struct early_case row = { .end = end };
	int played = 0;
	int wrong = 0;
	int met = 0;

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(answers); i++) {
		row.answer = &answers[i / 2];
		row.upload = i % 2 ? TRANSFER_UPLOAD_CHUNKS : TRANSFER_UPLOAD_BYTES;
		for (row.len = 1; row.len <= row.answer->bytes.len; row.len++, played++) {
			bool was_sending;

			if (!play(server, &row, &was_sending) && wrong++ < SHOWN_MAX)
				printf("%s, %zu of %zu bytes, %s, upload %s\n", row.answer->name,
				       row.len, row.answer->bytes.len, end_names[end],
				       i % 2 ? "in chunks" : "with a length");
			met += was_sending;
		}
	}
	printf("%s: %d answers, %d of them during the upload, %d wrong\n", end_names[end], played,
	       met, wrong);
	break_server_free(server);
	assert_int_equal(wrong, 0);
	assert_true(met > played / 2);
}

static void test_answer_reset_during_upload_is_cut(void **state)
{
	(void)state;
	check_ends(BREAK_RESET);
}

static void test_answer_closed_during_upload_is_whole(void **state)
{
	(void)state;
	check_ends(BREAK_FIN);
}

/* Nothing is missing from such an answer. */
static void test_answer_closed_before_reset_is_whole(void **state)
{
	(void)state;
	check_ends(BREAK_FIN_RESET);
}

/* What else may happen between the answer's first bytes and the end of its upload. */
static void check_unended(const struct whole_answer *answer, bool leaves, enum transfer_end end,
			  enum transfer_cause cause)
{
	struct break_server *server = break_server_new();
	struct received received = { .server = server,
				     .leaves = leaves,
				     .body = g_string_new(NULL) };
	struct break_plan plan = { .early = answer->bytes };
	struct transfer_result result;

	break_server_set(server, &plan);
	result = run_transfer(&received, break_server_port(server), -1, TRANSFER_UPLOAD_BYTES,
			      SHORT_DEADLINE_MS);
	if (result.end != end || (end != TRANSFER_WHOLE && result.cause != cause))
		fail_msg("%s: %.*s, cause %d, %s", answer->name,
			 STR_ARG(transfer_end_name(result.end)), result.cause, result.reason);
	if (result.end == TRANSFER_WHOLE && result.whole.fd >= 0)
		close(result.whole.fd);
	g_string_free(received.body, TRUE);
	break_server_free(server);
}

static void test_answer_without_end_is_cut_at_deadline(void **state)
{
	static const struct whole_answer behind =
		ANSWER("bytes behind it", HEAD "Content-Length: 4\r\n\r\nbody" HEAD);

	(void)state;
	check_unended(&answers[0], false, TRANSFER_CUT_IN_BODY, TRANSFER_DEADLINE);
	check_unended(&behind, false, TRANSFER_WHOLE, TRANSFER_CONNECTION);
}

static void test_answer_without_end_is_cut_when_caller_leaves(void **state)
{
	(void)state;
	check_unended(&answers[0], true, TRANSFER_CUT_IN_BODY, TRANSFER_HANDLER);
}

/* Returns a connection on which an answer and then a reset came before any request. */
static int reset_connection(uint16_t *port, enum break_end end)
{
	struct str bytes = answers[0].bytes;
	struct linger reset = { 1, 0 };
	int listen_fd = listen_on_loopback(port);
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
				       .sin_port = htons(*port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct pollfd hangup = { .fd = fd };
	int peer;

	assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	peer = accept(listen_fd, NULL, NULL);
	assert_int_equal(send(peer, bytes.data, bytes.len, MSG_NOSIGNAL), (ssize_t)bytes.len);
	if (end == BREAK_FIN_RESET)
		shutdown(peer, SHUT_WR);
	setsockopt(peer, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(peer);
	close(listen_fd);
	assert_int_equal(poll(&hangup, 1, RESET_WAIT_MS), 1);
	return fd;
}

/* A request without a body, such as that for a target's health, meets a reset in its first call. */
static void test_answer_reset_before_request_is_cut(void **state)
{
	static const enum break_end ends[] = { BREAK_RESET, BREAK_FIN_RESET };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(ends); i++) {
		struct received received = { .body = g_string_new(NULL) };
		struct transfer_result result;
		uint16_t port;
		int fd = reset_connection(&port, ends[i]);

		result = run_transfer(&received, port, fd, TRANSFER_NO_UPLOAD, DEADLINE_MS);
		if ((result.end == TRANSFER_WHOLE) != (ends[i] == BREAK_FIN_RESET))
			fail_msg("%s: %.*s", end_names[ends[i]],
				 STR_ARG(transfer_end_name(result.end)));
		g_string_free(received.body, TRUE);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_answer_reset_during_upload_is_cut),
		cmocka_unit_test(test_answer_closed_during_upload_is_whole),
		cmocka_unit_test(test_answer_closed_before_reset_is_whole),
		cmocka_unit_test(test_answer_without_end_is_cut_at_deadline),
		cmocka_unit_test(test_answer_without_end_is_cut_when_caller_leaves),
		cmocka_unit_test(test_answer_reset_before_request_is_cut),
	};

	cmocka_set_test_filter(getenv("TEST_ONLY"));
	return cmocka_run_group_tests_name("base/transfer", tests, NULL, NULL);
}
