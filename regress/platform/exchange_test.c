/*
 * The platform's service breaks its answer off after any of its bytes: an exchange without the
 * whole answer has failed, and what it asked for may have happened.
 */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/exchange.h"
#include "platform/logclient.h"
#include "platform/store.h"
#include "platform/storelog.h"
#include "regress/lib/break_server.h"

#define JSON_FIELDS "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

enum {
	SHOWN_MAX = 8,
	DEADLINE_MS = 2000,
	VERSION = 17,
	POSTS = 20,
	POST_BYTES = 16 << 20, /* exceeds the socket buffers, so that a part is unsent */
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
	ANSWER("a length", "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 4\r\n\r\nbody"),
	ANSWER("chunks", "HTTP/1.1 200 OK\r\nX-A: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
			 "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"),
	UNTIL_CLOSE("no length", "HTTP/1.1 200 OK\r\nX-A: 1\r\nConnection: close\r\n\r\nbody"),
	ANSWER("an interim head before", "HTTP/1.1 100 Continue\r\nX-B: 1\r\n\r\nHTTP/1.1 200 OK"
					 "\r\nX-A: 1\r\nContent-Length: 4\r\n\r\nbody"),
	ANSWER("a refusal", "HTTP/1.1 429 Slow\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\nslow"),
	ANSWER("no content", "HTTP/1.1 204 No Content\r\nX-A: 1\r\n\r\n"),
};

/* One exchange. */
struct broken_case {
	const struct whole_answer *answer;
	size_t len; /* bytes that are sent */
	enum break_end end;
};

static bool is_whole(const struct broken_case *row)
{
	if (row->answer->until_close)
		return row->end == BREAK_FIN && row->len >= break_head_len(row->answer->bytes);
	return row->len == row->answer->bytes.len;
}

static bool is_answered(const struct exchange *exchange)
{
	return exchange->end == EXCHANGE_ANSWERED;
}

static void set_plan(struct break_server *server, const struct broken_case *row)
{
	struct break_plan plan = { .bytes = { row->answer->bytes.data, row->len },
				   .end = row->end };

	break_server_set(server, &plan);
}

static void report(const struct broken_case *row)
{
	printf("wrong: %s, %zu of %zu bytes, %s\n", row->answer->name, row->len,
	       row->answer->bytes.len, row->end == BREAK_FIN ? "closed" : "reset");
}

static struct exchange_client *client_of(struct break_server *server, apr_pool_t *pool)
{
	struct exchange_client *http;
	char url[64];

	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u", break_server_port(server));
	http = exchange_client_new(str_from_cstr(url), pool, NULL);
	assert_non_null(http);
	return http;
}

/* Plays each answer, ended after each byte. The check returns false if a result is wrong. */
static void check_each_byte(const struct whole_answer *rows, size_t count,
			    bool (*check)(const struct broken_case *row,
					  struct break_server *server, apr_pool_t *pool))
{
	struct break_server *server = break_server_new();
	struct broken_case row = { 0 };
	apr_pool_t *pool;
	int played = 0;
	int wrong = 0;

	apr_pool_create(&pool, NULL);
	for (size_t i = 0; i < 2 * count; i++) {
		row.answer = &rows[i / 2];
		row.end = i % 2 ? BREAK_RESET : BREAK_FIN;
		for (row.len = 0; row.len <= row.answer->bytes.len; row.len++, played++) {
			set_plan(server, &row);
			if (!check(&row, server, pool) && wrong++ < SHOWN_MAX)
				report(&row);
		}
	}
	printf("%d answers, %d wrong\n", played, wrong);
	apr_pool_destroy(pool);
	break_server_free(server);
	assert_int_equal(wrong, 0);
}

static bool run_exchange(const struct broken_case *row, struct break_server *server,
			 apr_pool_t *pool, const struct strbuf *post)
{
	struct exchange_client *http = client_of(server, pool);
	struct exchange_request request = { .path = STR("a"), .post = post };
	struct exchange exchange;
	bool right;

	request.deadline = deadline_after(clock_now(), DEADLINE_MS * US_PER_MS);
	exchange = exchange_run(http, &request);
	right = is_answered(&exchange) == is_whole(row) && exchange.end != EXCHANGE_UNSENT;
	strbuf_clear(&exchange.body);
	exchange_client_free(http);
	/* A record that is appended twice would be a second change. */
	return right && (!post || break_server_counts(server).requests == 1);
}

static bool check_get(const struct broken_case *row, struct break_server *server, apr_pool_t *pool)
{
	return run_exchange(row, server, pool, NULL);
}

static bool check_post(const struct broken_case *row, struct break_server *server, apr_pool_t *pool)
{
	struct strbuf post = { 0 };
	bool right;

	strbuf_add(&post, STR("record"));
	right = run_exchange(row, server, pool, &post);
	strbuf_clear(&post);
	return right;
}

static void test_broken_answer_is_a_failed_exchange(void **state)
{
	(void)state;
	check_each_byte(answers, G_N_ELEMENTS(answers), check_get);
	check_each_byte(answers, G_N_ELEMENTS(answers), check_post);
}

/* Returns how many of the POSTs were answered by an answer that ends before they are sent. */
static int count_answered(struct break_server *server, enum break_end end)
{
	struct strbuf post = { 0 };
	int answered = 0;
	apr_pool_t *pool;

	apr_pool_create(&pool, NULL);
	strbuf_reserve(&post, POST_BYTES);
	memset(post.data, 'p', POST_BYTES);
	post.len = POST_BYTES;
	for (int i = 0; i < POSTS; i++) {
		struct exchange_client *http = client_of(server, pool);
		struct exchange_request request = { .path = STR("a"), .post = &post };
		struct break_plan plan = { .early = answers[2].bytes, .early_end = end };
		struct exchange exchange;

		break_server_set(server, &plan);
		request.deadline = deadline_after(clock_now(), DEADLINE_MS * US_PER_MS);
		exchange = exchange_run(http, &request);
		answered += is_answered(&exchange);
		strbuf_clear(&exchange.body);
		exchange_client_free(http);
	}
	strbuf_clear(&post);
	apr_pool_destroy(pool);
	return answered;
}

static void test_answer_reset_before_end_of_post_is_a_failed_exchange(void **state)
{
	struct break_server *server = break_server_new();
	int reset = count_answered(server, BREAK_RESET_AT_ONCE);
	int closed = count_answered(server, BREAK_FIN_RESET);

	(void)state;
	printf("answered: %d of %d reset, %d of %d closed and then reset\n", reset, POSTS, closed,
	       POSTS);
	break_server_free(server);
	assert_int_equal(reset, 0);
	assert_int_equal(closed, POSTS);
}

static const struct whole_answer malformed[] = {
	UNTIL_CLOSE("a line feed before the length",
		    "HTTP/1.1 200 OK\r\n\nContent-Length: 4\r\n\r\nbody"),
	ANSWER("a line feed before a field",
	       "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\nX-A: 1\r\n\r\nbody"),
	ANSWER("line feeds around chunks",
	       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\nbody\n0\n\n"),
	ANSWER("a trailer that is none", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
					 "4\r\nbody\r\n0\r\nX Y: 1\r\n\r\n"),
	ANSWER("status 000", "HTTP/1.1 000 None\r\nContent-Length: 4\r\n\r\nbody"),
	ANSWER("a blank in a name", "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 4\r\n\r\nbody"),
};

static void test_malformed_answer_is_a_failed_exchange(void **state)
{
	struct break_server *server = break_server_new();
	int answered = 0;
	apr_pool_t *pool;

	(void)state;
	apr_pool_create(&pool, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
		struct broken_case row = { &malformed[i], malformed[i].bytes.len, BREAK_FIN };
		struct exchange_client *http = client_of(server, pool);
		struct exchange_request request = { .path = STR("a") };
		struct exchange exchange;

		set_plan(server, &row);
		request.deadline = deadline_after(clock_now(), DEADLINE_MS * US_PER_MS);
		exchange = exchange_run(http, &request);
		if (is_answered(&exchange))
			printf("taken: %s\n", malformed[i].name);
		answered += is_answered(&exchange);
		strbuf_clear(&exchange.body);
		exchange_client_free(http);
	}
	apr_pool_destroy(pool);
	break_server_free(server);
	printf("%d of %zu taken\n", answered, G_N_ELEMENTS(malformed));
	assert_int_equal(answered, 0);
}

/* Answers to an append, with what each means if it is whole. */
static const struct whole_answer append_answers[] = {
	ANSWER("done", JSON_FIELDS "Content-Length: 13\r\n\r\n{\"offset\":17}"),
	ANSWER("done, in chunks",
	       JSON_FIELDS "Transfer-Encoding: chunked\r\n\r\nd\r\n{\"offset\":17}\r\n0\r\n\r\n"),
	ANSWER("limited", "HTTP/1.1 429 Slow\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"),
	ANSWER("mismatch", "HTTP/1.1 412 Moved\r\nX-End: 1\r\nContent-Length: 0\r\n\r\n"),
	ANSWER("refused", "HTTP/1.1 400 Bad\r\nContent-Length: 4\r\n\r\nwhy?"),
};
static const enum store_result append_results[] = { STORE_DONE, STORE_DONE, STORE_LIMITED,
						    STORE_MISMATCH, STORE_REFUSED };

static bool check_store_append(const struct broken_case *row, struct break_server *server,
			       apr_pool_t *pool)
{
	struct exchange_client *http = client_of(server, pool);
	struct store_append append = {
		.topic = STR("keyed.nodes"), .key = STR("k"), .value = STR("v"), .expected_end = -1
	};
	struct store_place place = { 0 };
	enum store_result expected =
		is_whole(row) ? append_results[row->answer - append_answers] : STORE_UNAVAILABLE;
	enum store_result result = store_append(http, &append, &place);

	exchange_client_free(http);
	return result == expected && (result != STORE_DONE || place.offset == VERSION);
}

static void test_append_with_broken_answer_may_have_happened(void **state)
{
	(void)state;
	check_each_byte(append_answers, G_N_ELEMENTS(append_answers), check_store_append);
}

/* A node's entry is written, removed, and written again by its heartbeat. */
static bool check_register(const struct broken_case *row, struct break_server *server,
			   apr_pool_t *pool)
{
	struct exchange_client *http = client_of(server, pool);
	bool done = is_whole(row) && append_results[row->answer - append_answers] == STORE_DONE;
	int64_t era;
	bool right = storelog_register_node(http, 1, false, &era) == done;

	set_plan(server, row);
	right &= storelog_register_node(http, 1, true, &era) == done;
	exchange_client_free(http);
	return right;
}

static void test_entry_of_node_with_broken_answer_is_not_written(void **state)
{
	(void)state;
	check_each_byte(append_answers, G_N_ELEMENTS(append_answers), check_register);
}

static const struct whole_answer lists[] = {
	ANSWER("empty list",
	       JSON_FIELDS "Content-Length: 35\r\n\r\n{\"items\":[],\"more\":false,\"end\":100}"),
	ANSWER("list",
	       JSON_FIELDS "Content-Length: 84\r\n\r\n{\"items\":[{\"key\":\"10.0.0.1:7000\","
			   "\"value\":\"MQ==\",\"offset\":3}],\"more\":false,\"end\":100}"),
};

static bool check_list(const struct broken_case *row, struct break_server *server, apr_pool_t *pool)
{
	struct exchange_client *http = client_of(server, pool);
	GArray *members = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	bool listed = storelog_list_nodes(http, members);
	bool right = listed == is_whole(row) &&
		     members->len == (listed && row->answer == &lists[1] ? 1 : 0);

	g_array_unref(members);
	exchange_client_free(http);
	return right;
}

static void test_broken_list_of_nodes_is_not_read(void **state)
{
	(void)state;
	check_each_byte(lists, G_N_ELEMENTS(lists), check_list);
}

/* Answers of a service that follows docs/LOG-CONTRACT.md. */
static const struct whole_answer log_appends[] = {
	ANSWER("done", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n17"),
	ANSWER("done, in chunks",
	       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n17\r\n0\r\n\r\n"),
	ANSWER("limited", "HTTP/1.1 429 Slow\r\nContent-Length: 0\r\n\r\n"),
	ANSWER("refused", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
};
static const enum append_result log_results[] = { APPEND_DONE, APPEND_DONE, APPEND_LIMITED,
						  APPEND_REFUSED };

static struct logclient *logclient_of(struct break_server *server, apr_pool_t *pool)
{
	struct logclient *client;
	char url[64];

	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u", break_server_port(server));
	client = logclient_new(LOG_SERVICE_NATIVE, str_from_cstr(url), pool, NULL);
	assert_non_null(client);
	return client;
}

static bool check_log_append(const struct broken_case *row, struct break_server *server,
			     apr_pool_t *pool)
{
	struct logclient *client = logclient_of(server, pool);
	struct log_record record = { .kind = LOG_MOVE };
	int64_t offset = 0;
	enum append_result expected =
		is_whole(row) ? log_results[row->answer - log_appends] : APPEND_UNKNOWN;
	enum append_result result =
		logclient_append(client, STREAM_SYSTEM, 0, &record,
				 deadline_after(clock_now(), DEADLINE_MS * US_PER_MS), &offset);

	logclient_free(client);
	return result == expected && (result != APPEND_DONE || offset == VERSION);
}

static void test_append_to_log_with_broken_answer_may_have_happened(void **state)
{
	(void)state;
	check_each_byte(log_appends, G_N_ELEMENTS(log_appends), check_log_append);
}

/* "[0, []]" in msgpack, and an expired offset. */
static const struct whole_answer log_reads[] = {
	ANSWER("records", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n\x92\x05\x90"),
	ANSWER("expired", "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"),
	ANSWER("limited", "HTTP/1.1 429 Slow\r\nContent-Length: 0\r\n\r\n"),
};
static const enum log_failure read_failures[] = { LOG_FAILURE_UNAVAILABLE, LOG_FAILURE_EXPIRED,
						  LOG_FAILURE_LIMITED };

static bool check_log_read(const struct broken_case *row, struct break_server *server,
			   apr_pool_t *pool)
{
	struct logclient *client = logclient_of(server, pool);
	struct log_read read = logclient_read(client, STREAM_SYSTEM, 0, 0, (struct deadline){ 1 });
	bool done = is_whole(row) && row->answer == &log_reads[0];
	enum log_failure failure =
		is_whole(row) ? read_failures[row->answer - log_reads] : LOG_FAILURE_UNAVAILABLE;
	bool right = done ? read.kind == READ_DONE && read.newest == 5
			  : read.kind == READ_FAILED && read.failure == failure;

	log_read_clear(&read);
	logclient_free(client);
	return right;
}

static void test_broken_answer_to_log_read_tells_nothing(void **state)
{
	(void)state;
	check_each_byte(log_reads, G_N_ELEMENTS(log_reads), check_log_read);
}

/* A close ends these answers by the protocol: what they hold has to show whether it is whole. */
static const struct whole_answer closed_answers[] = {
	UNTIL_CLOSE("append", JSON_FIELDS "Connection: close\r\n\r\n{\"offset\":17}"),
	UNTIL_CLOSE("list", JSON_FIELDS "Connection: close\r\n\r\n"
					"{\"items\":[],\"more\":false,\"end\":100}"),
	UNTIL_CLOSE("read", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n\x92\xcd\x01\x02\x90"),
	UNTIL_CLOSE("append to log", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n17"),
};

static bool is_all(const struct broken_case *row)
{
	return row->end == BREAK_FIN && row->len == row->answer->bytes.len;
}

static bool check_closed(const struct broken_case *row, struct break_server *server,
			 apr_pool_t *pool)
{
	struct exchange_client *http = client_of(server, pool);
	struct logclient *client = logclient_of(server, pool);
	GArray *members = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	struct store_append append = { .topic = STR("t"), .key = STR("k"), .expected_end = -1 };
	struct log_record record = { .kind = LOG_MOVE };
	struct log_read read = { 0 };
	struct store_place place = { 0 };
	int64_t offset = 0;
	bool right = false;

	if (row->answer == &closed_answers[0])
		right = store_append(http, &append, &place) ==
			(is_all(row) ? STORE_DONE : STORE_UNAVAILABLE);
	if (row->answer == &closed_answers[1])
		right = storelog_list_nodes(http, members) == is_all(row);
	if (row->answer == &closed_answers[2]) {
		read = logclient_read(client, STREAM_SYSTEM, 0, 0, (struct deadline){ 1 });
		right = read.kind == (is_all(row) ? READ_DONE : READ_FAILED);
	}
	/* "1" of "17" is an offset as well. */
	if (row->answer == &closed_answers[3])
		right = logclient_append(client, STREAM_SYSTEM, 0, &record,
					 deadline_after(clock_now(), US_PER_S),
					 &offset) == APPEND_UNKNOWN;
	log_read_clear(&read);
	g_array_unref(members);
	logclient_free(client);
	exchange_client_free(http);
	return right;
}

static void test_part_of_answer_that_ends_by_close_is_not_taken(void **state)
{
	(void)state;
	check_each_byte(closed_answers, G_N_ELEMENTS(closed_answers), check_closed);
}

static const struct whole_answer empty[] = {
	ANSWER("empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
	ANSWER("no content", "HTTP/1.1 204 No Content\r\n\r\n"),
};

static bool check_empty(const struct broken_case *row, struct break_server *server,
			apr_pool_t *pool)
{
	struct exchange_client *http = client_of(server, pool);
	struct logclient *client = logclient_of(server, pool);
	GArray *members = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	struct store_append append = { .topic = STR("t"), .key = STR("k"), .expected_end = -1 };
	struct log_record record = { .kind = LOG_MOVE };
	struct log_read read;
	struct store_page page;
	struct store_place place = { 0 };
	int64_t offset = 0;
	bool wrong;

	(void)row;
	store_page_init(&page);
	wrong = store_append(http, &append, &place) == STORE_DONE;
	wrong |= store_read(http, STR("t"), 0, (struct deadline){ 1 }, &page) == STORE_DONE;
	wrong |= storelog_register_node(http, 1, true, &offset);
	wrong |= storelog_list_nodes(http, members);
	wrong |= logclient_append(client, STREAM_SYSTEM, 0, &record,
				  deadline_after(clock_now(), US_PER_S), &offset) == APPEND_DONE;
	read = logclient_read(client, STREAM_SYSTEM, 0, 0, (struct deadline){ 1 });
	wrong |= read.kind == READ_DONE;
	log_read_clear(&read);
	store_page_clear(&page);
	g_array_unref(members);
	logclient_free(client);
	exchange_client_free(http);
	return !wrong;
}

static void test_empty_answer_is_neither_done_nor_a_list(void **state)
{
	(void)state;
	check_each_byte(empty, G_N_ELEMENTS(empty), check_empty);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_broken_answer_is_a_failed_exchange),
		cmocka_unit_test(test_answer_reset_before_end_of_post_is_a_failed_exchange),
		cmocka_unit_test(test_malformed_answer_is_a_failed_exchange),
		cmocka_unit_test(test_append_with_broken_answer_may_have_happened),
		cmocka_unit_test(test_entry_of_node_with_broken_answer_is_not_written),
		cmocka_unit_test(test_broken_list_of_nodes_is_not_read),
		cmocka_unit_test(test_append_to_log_with_broken_answer_may_have_happened),
		cmocka_unit_test(test_broken_answer_to_log_read_tells_nothing),
		cmocka_unit_test(test_part_of_answer_that_ends_by_close_is_not_taken),
		cmocka_unit_test(test_empty_answer_is_neither_done_nor_a_list),
	};

	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	cmocka_set_test_filter(getenv("TEST_ONLY"));
	return cmocka_run_group_tests_name("platform/exchange", tests, NULL, NULL);
}
