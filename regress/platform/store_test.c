/* Lists of the store that another writer has left odd entries in. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/history.h"
#include "core/member.h"
#include "operator/parse.h"
#include "platform/storelog.h"
#include "regress/lib/listen.h"

#define GOOD_A "{\"key\":\"10.0.0.1:7000\",\"value\":\"MQ==\",\"offset\":3}"
#define GOOD_B "{\"key\":\"10.0.0.2:7000\",\"value\":\"MQ==\",\"offset\":9}"

struct list_case {
	const char *name;
	const char *odd; /* stands between two good entries */
};

static const struct list_case cases[] = {
	{ "offset too large",
	  "{\"key\":\"10.0.0.3:7000\",\"value\":\"MQ==\",\"offset\":99999999999999999999}" },
	{ "offset of another type",
	  "{\"key\":\"10.0.0.3:7000\",\"value\":\"MQ==\",\"offset\":\"x\"}" },
	{ "infinite offset", "{\"key\":\"10.0.0.3:7000\",\"value\":\"MQ==\",\"offset\":1e999}" },
	{ "key that is no UTF-8", "{\"key\":\"\xff\xfe\xc0\",\"value\":\"MQ==\",\"offset\":4}" },
	{ "port out of range", "{\"key\":\"10.0.0.3:70000\",\"value\":\"MQ==\",\"offset\":4}" },
	{ "address with a negative port", "{\"key\":\"10.0.0.3:-1\",\"value\":\"\",\"offset\":4}" },
	{ "empty key", "{\"key\":\"\",\"value\":\"MQ==\",\"offset\":4}" },
	{ "no key", "{\"value\":\"MQ==\",\"offset\":4}" },
	{ "value that is no base64", "{\"key\":\"k\",\"value\":\"%%%\xff\",\"offset\":4}" },
	{ "value of another type", "{\"key\":\"k\",\"value\":7,\"offset\":4}" },
	{ "nested", "{\"key\":\"k\",\"value\":[[[[[[[[]]]]]]]],\"offset\":4}" },
	{ "no object", "7" },
};

enum { ANSWERS_MAX = 2 };

/** A server that answers a few requests, each on a connection of its own. */
struct server {
	int listen_fd;
	uint16_t port;
	struct strbuf answers[ANSWERS_MAX];
	int answer_count;
	GThread *thread;
};

static gpointer run_server(gpointer data)
{
	struct server *server = data;
	char request[4096];

	for (int i = 0; i < server->answer_count; i++) {
		int fd = accept(server->listen_fd, NULL, NULL);

		if (recv(fd, request, sizeof(request), 0) > 0)
			send(fd, server->answers[i].data, server->answers[i].len, MSG_NOSIGNAL);
		close(fd);
	}
	return NULL;
}

static void server_add_answer(struct server *server, struct str body)
{
	struct strbuf *answer = &server->answers[server->answer_count++];

	strbuf_addf(answer,
		    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\nConnection: close\r\n"
		    "Content-Type: application/json\r\n\r\n",
		    body.len);
	strbuf_add(answer, body);
}

static void server_listen(struct server *server)
{
	uint16_t port;

	server->listen_fd = listen_on_loopback(&port);
	server->port = port;
	server->thread = g_thread_new("server", run_server, server);
}

static void server_start(struct server *server, const char *odd)
{
	char *body = g_strdup_printf(
		"{\"items\":[" GOOD_A ",%s," GOOD_B "],\"more\":false,\"end\":10}", odd);

	*server = (struct server){ .answer_count = 0 };
	server_add_answer(server, str_from_cstr(body));
	g_free(body);
	server_listen(server);
}

static void server_stop(struct server *server)
{
	g_thread_join(server->thread);
	close(server->listen_fd);
	for (int i = 0; i < server->answer_count; i++)
		strbuf_clear(&server->answers[i]);
}

/* One odd entry made the whole list unreadable, for good: a node that started found no others. */
static void test_odd_entry_hides_no_other_node(void **state)
{
	apr_pool_t *pool;

	(void)state;
	apr_pool_create(&pool, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GArray *members = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		struct exchange_client *http;
		struct server server;
		char url[64];

		server_start(&server, cases[i].odd);
		g_snprintf(url, sizeof(url), "http://127.0.0.1:%u", server.port);
		http = exchange_client_new(str_from_cstr(url), pool, NULL);
		if (!storelog_list_nodes(http, members) || members->len != 2 ||
		    g_array_index(members, uint64_t, 0) != member_id(0x0a000001, 7000) ||
		    g_array_index(members, uint64_t, 1) != member_id(0x0a000002, 7000))
			fail_msg("%s: %u nodes", cases[i].name, members->len);
		exchange_client_free(http);
		server_stop(&server);
		g_array_unref(members);
	}
	apr_pool_destroy(pool);
}

/* A record of the operator's topic. */
struct operator_record {
	const char *key;
	const char *value;
};

/* The data centre a is evacuated and taken back, b is evacuated. */
static const struct operator_record operator_records[] = {
	{ "evacuate/a", "{}" }, { "evacuate/c", "{}" }, { "evacuate/a", "" },
	{ "evacuate/b", "{}" }, { "evacuate/c", "" },	{ "evacuate/d", "no object" },
};

static void add_big_endian(struct strbuf *out, uint64_t number, int bytes)
{
	for (int i = bytes; i-- > 0;) {
		char byte = (char)(number >> 8 * i);

		strbuf_add(out, (struct str){ &byte, 1 });
	}
}

/* Makes the answer to a read of the records from @p from to @p to. */
static void make_records(struct strbuf *out, size_t from, size_t to)
{
	add_big_endian(out, G_N_ELEMENTS(operator_records), 8);
	add_big_endian(out, 0, 8);
	for (size_t i = from; i < to; i++) {
		const struct operator_record *record = &operator_records[i];
		char key_len = (char)strlen(record->key);

		add_big_endian(out, 1 + strlen(record->key) + strlen(record->value), 4);
		strbuf_add(out, (struct str){ &key_len, 1 });
		strbuf_add(out, str_from_cstr(record->key));
		strbuf_add(out, str_from_cstr(record->value));
	}
}

/* The store may list a key that was deleted with an empty value, or leave it out. */
static void make_newest(struct strbuf *out, bool list_removed)
{
	bool first = true;

	strbuf_add(out, STR("{\"items\":["));
	for (size_t i = 0; i < G_N_ELEMENTS(operator_records); i++) {
		const struct operator_record *record = &operator_records[i];
		bool newest = true;
		char *value;

		for (size_t later = i + 1; later < G_N_ELEMENTS(operator_records); later++)
			newest &= strcmp(operator_records[later].key, record->key) != 0;
		if (!newest || (!list_removed && !record->value[0]))
			continue;
		value = g_base64_encode((const guchar *)record->value, strlen(record->value));
		strbuf_addf(out, "%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%zu}",
			    first ? "" : ",", record->key, value, i);
		first = false;
		g_free(value);
	}
	strbuf_addf(out, "],\"more\":false,\"end\":%zu}", G_N_ELEMENTS(operator_records));
}

static void read_log(struct server *server, enum log_stream stream, int64_t from,
		     struct history *history, apr_pool_t *pool)
{
	struct exchange_client *http;
	struct log_read read;
	char url[64];

	server_listen(server);
	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u", server->port);
	http = exchange_client_new(str_from_cstr(url), pool, NULL);
	read = storelog_read(http, stream, from, (struct deadline){ 1 });
	assert_int_equal(read.kind, READ_DONE);
	for (int i = 0; i < read.count; i++) {
		struct log_record *record = &read.records[i];

		parse_record_changes(record);
		if (record->kind == LOG_CHANGE) {
			history_apply(history, record->offset, record->change);
			continue;
		}
		assert_true(history_import(history, record->snapshot.files,
					   record->snapshot.version, record->snapshot.accepted));
		record->snapshot.files = NULL;
	}
	log_read_clear(&read);
	exchange_client_free(http);
	server_stop(server);
}

static void check_evacuated(struct history *history, const char *expected)
{
	struct config *config = history_config(history);

	for (const char *name = "abcd"; *name; name++) {
		bool evacuated = config_is_evacuated(config, label_from((struct str){ name, 1 }));

		if (evacuated != (strchr(expected, *name) != NULL))
			fail_msg("version %ld: %c is evacuated: %d", config->version, *name,
				 evacuated);
	}
	config_unref(config);
}

/* A removed evacuation stayed in force: on nodes that read the removal, since an empty value was
 * taken for a record without effect. Nodes that read single records, several at once, the newest of
 * each key, or the newest after some single ones, must end up alike. */
static void test_removed_evacuation_ends_on_all_nodes(void **state)
{
	apr_pool_t *pool;

	(void)state;
	apr_pool_create(&pool, NULL);
	for (size_t held = 0; held <= G_N_ELEMENTS(operator_records); held++)
		for (int list_removed = 0; list_removed < 2; list_removed++) {
			struct history *reader = history_new(pool);
			struct history *joiner = history_new(pool);
			struct strbuf body = { 0 };
			struct server server;

			for (size_t i = 0; i < held; i++) {
				server = (struct server){ .answer_count = 0 };
				body.len = 0;
				make_records(&body, i, i + 1);
				server_add_answer(&server, strbuf_str(&body));
				read_log(&server, STREAM_CONFIG, (int64_t)i + 1, reader, pool);
				server = (struct server){ .answer_count = 0 };
				server_add_answer(&server, strbuf_str(&body));
				read_log(&server, STREAM_CONFIG, (int64_t)i + 1, joiner, pool);
			}
			if (held == 2)
				check_evacuated(reader, "ac");
			if (held < G_N_ELEMENTS(operator_records)) {
				server = (struct server){ .answer_count = 0 };
				body.len = 0;
				make_records(&body, held, G_N_ELEMENTS(operator_records));
				server_add_answer(&server, strbuf_str(&body));
				read_log(&server, STREAM_CONFIG, (int64_t)held + 1, reader, pool);
				server = (struct server){ .answer_count = 0 };
				body.len = 0;
				make_newest(&body, list_removed);
				server_add_answer(&server, strbuf_str(&body));
				server_add_answer(&server,
						  STR("{\"items\":[],\"more\":false,\"end\":0}"));
				read_log(&server, STREAM_SYSTEM, 1, joiner, pool);
			}
			check_evacuated(reader, "b");
			check_evacuated(joiner, "b");
			assert_int_equal(history_version(reader), history_version(joiner));
			history_free(reader);
			history_free(joiner);
			strbuf_clear(&body);
		}
	apr_pool_destroy(pool);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_odd_entry_hides_no_other_node),
		cmocka_unit_test(test_removed_evacuation_ends_on_all_nodes),
	};

	apr_initialize();
	return cmocka_run_group_tests_name("platform/store", tests, NULL, NULL);
}
