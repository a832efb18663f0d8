/* Lists of the store that another writer has left odd entries in. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/member.h"
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

/** A server that answers one request. */
struct server {
	int listen_fd;
	uint16_t port;
	char *answer;
	GThread *thread;
};

static gpointer run_server(gpointer data)
{
	struct server *server = data;
	int fd = accept(server->listen_fd, NULL, NULL);
	char request[4096];

	if (recv(fd, request, sizeof(request), 0) > 0)
		send(fd, server->answer, strlen(server->answer), MSG_NOSIGNAL);
	close(fd);
	return NULL;
}

static void server_start(struct server *server, const char *odd)
{
	uint16_t port;
	char *body = g_strdup_printf(
		"{\"items\":[" GOOD_A ",%s," GOOD_B "],\"more\":false,\"end\":10}", odd);

	*server = (struct server){ .listen_fd = listen_on_loopback(&port) };
	server->port = port;
	server->answer = g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n"
					 "Content-Type: application/json\r\n\r\n%s",
					 strlen(body), body);
	g_free(body);
	server->thread = g_thread_new("server", run_server, server);
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
		g_thread_join(server.thread);
		close(server.listen_fd);
		g_free(server.answer);
		g_array_unref(members);
	}
	apr_pool_destroy(pool);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_odd_entry_hides_no_other_node),
	};

	apr_initialize();
	return cmocka_run_group_tests_name("platform/store", tests, NULL, NULL);
}
