#include "regress/lib/break_server.h"

#include <glib.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "regress/lib/listen.h"

enum { CONNECTIONS_MAX = 8, WAIT_MS = 1000, TAKEN_US = 100, TAKEN_TRIES = 5000 };

struct connection {
	int fd;
	int requests; /* that were complete */
	bool early_sent;
	GString *in;
};

struct break_server {
	int listen_fd;
	int stop_fds[2];
	uint16_t port;
	GThread *thread;
	GMutex mutex; /* guards the members below */
	GCond cond;
	struct break_plan plan;
	struct break_counts counts;
	bool early_sent;
	struct connection connections[CONNECTIONS_MAX]; /* of the thread alone */
	int connection_count;
};

size_t break_head_len(struct str answer)
{
	size_t at = 0;
	bool interim = true;

	while (interim) {
		const char *end = memmem(answer.data + at, answer.len - at, "\r\n\r\n", 4);

		interim = str_has_prefix(str_sub(answer, at, answer.len), STR("HTTP/1.1 1"));
		at = (size_t)(end - answer.data) + 4;
	}
	return at;
}

static struct break_plan copy_plan(const struct break_plan *plan)
{
	return (struct break_plan){ .first = str_dup(plan->first),
				    .early = str_dup(plan->early),
				    .early_end = plan->early_end,
				    .bytes = str_dup(plan->bytes),
				    .end = plan->end };
}

static void clear_plan(struct break_plan *plan)
{
	g_free((char *)plan->first.data);
	g_free((char *)plan->early.data);
	g_free((char *)plan->bytes.data);
}

/* Returns a copy, since the plan may be replaced while it is carried out. */
static struct break_plan take_plan(struct break_server *server)
{
	struct break_plan plan;

	g_mutex_lock(&server->mutex);
	plan = copy_plan(&server->plan);
	g_mutex_unlock(&server->mutex);
	return plan;
}

static void send_all(int fd, struct str bytes)
{
	while (bytes.len) {
		ssize_t n = send(fd, bytes.data, bytes.len, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		bytes = str_sub(bytes, (size_t)n, bytes.len);
	}
}

/* Waits until all bytes are sent: on the loopback interface they are then at the client's socket,
 * which reads them also after a reset. */
static void wait_taken(int fd)
{
	int queued = 1;

	for (int i = 0; i < TAKEN_TRIES; i++) {
		if (ioctl(fd, SIOCOUTQNSD, &queued) != 0 || queued == 0)
			break;
		g_usleep(TAKEN_US);
	}
	g_usleep(5 * TAKEN_US);
}

static void close_connection(struct connection *connection, enum break_end end)
{
	struct linger reset = { 1, 0 };

	if (end == BREAK_FIN_RESET)
		shutdown(connection->fd, SHUT_WR);
	if (end == BREAK_RESET || end == BREAK_FIN_RESET)
		wait_taken(connection->fd);
	if (end == BREAK_RESET || end == BREAK_RESET_AT_ONCE || end == BREAK_FIN_RESET)
		setsockopt(connection->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(connection->fd);
	g_string_free(connection->in, TRUE);
	connection->fd = -1;
}

static size_t request_head_len(const struct connection *connection)
{
	const char *end = strstr(connection->in->str, "\r\n\r\n");

	return end ? (size_t)(end - connection->in->str) + 4 : 0;
}

/* Returns the length of the first request, or 0 if it is not complete. */
static size_t request_len(const struct connection *connection, size_t head_len)
{
	const char *length = strcasestr(connection->in->str, "\r\nContent-Length:");
	const char *end = connection->in->str + head_len;
	size_t len = head_len;

	if (length && length < end)
		len += strtoul(length + sizeof("\r\nContent-Length:") - 1, NULL, 10);
	else if (strcasestr(connection->in->str, "\r\nTransfer-Encoding: chunked"))
		return g_str_has_suffix(connection->in->str, "\r\n0\r\n\r\n") ? connection->in->len
									      : 0;
	return connection->in->len >= len ? len : 0;
}

static void note_early(struct break_server *server)
{
	g_mutex_lock(&server->mutex);
	server->early_sent = true;
	g_cond_signal(&server->cond);
	g_mutex_unlock(&server->mutex);
}

/* Sends the early bytes, once; false if they end the connection. */
static bool send_early(struct break_server *server, struct connection *connection,
		       const struct break_plan *plan)
{
	if (connection->early_sent)
		return true;
	connection->early_sent = true;
	send_all(connection->fd, plan->early);
	switch (plan->early_end) {
	case BREAK_KEEP:
		wait_taken(connection->fd);
		break;
	case BREAK_FIN:
		shutdown(connection->fd, SHUT_WR);
		wait_taken(connection->fd);
		break;
	case BREAK_RESET:
	case BREAK_RESET_AT_ONCE:
	case BREAK_FIN_RESET:
		close_connection(connection, plan->early_end);
		break;
	}
	note_early(server);
	return connection->fd >= 0;
}

/* Carries out the plan for the first request, if it is complete; false once the connection has to
 * end. */
static bool answer_request(struct break_server *server, struct connection *connection,
			   const struct break_plan *plan)
{
	size_t head_len = request_head_len(connection);
	bool is_first = strstr(connection->in->str, "X-Request-Id: 1\r\n") != NULL;
	size_t len;

	if (head_len == 0)
		return true;
	if (!is_first && plan->early.len && !send_early(server, connection, plan))
		return false;
	len = request_len(connection, head_len);
	if (len == 0)
		return true;
	g_string_erase(connection->in, 0, (gssize)len);
	connection->early_sent = false;
	connection->requests++;
	if (is_first) {
		send_all(connection->fd, plan->first);
		return true;
	}
	g_mutex_lock(&server->mutex);
	server->counts.requests++;
	server->counts.on_kept += connection->requests > 1;
	g_mutex_unlock(&server->mutex);
	send_all(connection->fd, plan->bytes);
	return plan->end == BREAK_KEEP;
}

static bool serve(struct break_server *server, struct connection *connection)
{
	struct break_plan plan = take_plan(server);
	enum break_end end = BREAK_FIN;
	bool going_on = false;
	char bytes[16384];
	ssize_t n = recv(connection->fd, bytes, sizeof(bytes), 0);

	if (n > 0) {
		end = plan.end;
		g_string_append_len(connection->in, bytes, n);
		going_on = answer_request(server, connection, &plan);
	}
	if (!going_on && connection->fd >= 0)
		close_connection(connection, end);
	clear_plan(&plan);
	return going_on;
}

static void accept_connection(struct break_server *server)
{
	int fd = accept(server->listen_fd, NULL, NULL);
	int on = 1;

	if (fd < 0)
		return;
	if (server->connection_count == CONNECTIONS_MAX) {
		close(fd);
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	server->connections[server->connection_count++] =
		(struct connection){ .fd = fd, .in = g_string_new(NULL) };
}

static gpointer run(gpointer data)
{
	struct break_server *server = data;
	struct pollfd waited[CONNECTIONS_MAX + 2];

	for (;;) {
		int count = server->connection_count;
		int kept = 0;

		waited[0] = (struct pollfd){ .fd = server->stop_fds[0], .events = POLLIN };
		waited[1] = (struct pollfd){ .fd = server->listen_fd, .events = POLLIN };
		for (int i = 0; i < count; i++)
			waited[i + 2] = (struct pollfd){ .fd = server->connections[i].fd,
							 .events = POLLIN };
		poll(waited, (nfds_t)count + 2, -1);
		if (waited[0].revents)
			break;
		for (int i = 0; i < count; i++)
			if (!waited[i + 2].revents || serve(server, &server->connections[i]))
				server->connections[kept++] = server->connections[i];
		server->connection_count = kept;
		if (waited[1].revents)
			accept_connection(server);
	}
	for (int i = 0; i < server->connection_count; i++)
		close_connection(&server->connections[i], BREAK_FIN);
	return NULL;
}

struct break_server *break_server_new(void)
{
	struct break_server *server = g_new0(struct break_server, 1);

	server->listen_fd = listen_on_loopback(&server->port);
	if (pipe(server->stop_fds) != 0)
		g_error("cannot make a pipe");
	g_mutex_init(&server->mutex);
	g_cond_init(&server->cond);
	server->thread = g_thread_new("breaker", run, server);
	return server;
}

void break_server_free(struct break_server *server)
{
	if (write(server->stop_fds[1], "x", 1) != 1)
		g_error("cannot stop the server");
	g_thread_join(server->thread);
	close(server->stop_fds[0]);
	close(server->stop_fds[1]);
	close(server->listen_fd);
	clear_plan(&server->plan);
	g_mutex_clear(&server->mutex);
	g_cond_clear(&server->cond);
	g_free(server);
}

uint16_t break_server_port(const struct break_server *server)
{
	return server->port;
}

void break_server_set(struct break_server *server, const struct break_plan *plan)
{
	g_mutex_lock(&server->mutex);
	clear_plan(&server->plan);
	server->plan = copy_plan(plan);
	server->counts = (struct break_counts){ 0 };
	server->early_sent = false;
	g_mutex_unlock(&server->mutex);
}

struct break_counts break_server_counts(struct break_server *server)
{
	struct break_counts counts;

	g_mutex_lock(&server->mutex);
	counts = server->counts;
	g_mutex_unlock(&server->mutex);
	return counts;
}

bool break_server_wait_early(struct break_server *server)
{
	gint64 until = g_get_monotonic_time() + WAIT_MS * (gint64)US_PER_MS;
	bool sent = true;

	g_mutex_lock(&server->mutex);
	while (!server->early_sent && sent)
		sent = g_cond_wait_until(&server->cond, &server->mutex, until);
	sent = server->early_sent;
	g_mutex_unlock(&server->mutex);
	return sent;
}
