#include "regress/lib/proxy.h"

#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

enum { POLL_MS = 50, BLOCK_BYTES = 16384, BACKLOG = 64 };

struct proxy {
	gint refs; /* one for the owner and for each thread */
	int fd;
	int port;
	int target_port;
	gint mode;
	gint ends;
	GThread *listener;
};

/** One connection through the proxy. */
struct passage {
	struct proxy *proxy;
	int fds[2];    /* caller, target */
	gboolean lost; /* it was harmed: nothing goes through it any more */
};

static void proxy_unref(struct proxy *proxy)
{
	if (g_atomic_int_dec_and_test(&proxy->refs))
		g_free(proxy);
}

static struct sockaddr_in loopback(int port)
{
	return (struct sockaddr_in){ .sin_family = AF_INET,
				     .sin_port = htons((uint16_t)port),
				     .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
}

/* Closing with a linger of nothing resets the connection. */
static void close_hard(int fd, gboolean reset)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	if (reset)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

/* Moves a block from one side to the other; false at the end of the connection. */
static gboolean move_block(struct passage *passage, int from)
{
	char block[BLOCK_BYTES];
	ssize_t n = recv(passage->fds[from], block, sizeof(block), 0);
	enum proxy_mode mode = (enum proxy_mode)g_atomic_int_get(&passage->proxy->mode);

	if (n <= 0)
		return FALSE;
	switch (mode) {
	case PROXY_PASS:
		break;
	case PROXY_DELAY:
		g_usleep(PROXY_DELAY_MS * 1000);
		break;
	case PROXY_RESET:
		return FALSE;
	case PROXY_SILENT:
		passage->lost = TRUE;
		break;
	case PROXY_ONE_WAY:
		passage->lost |= from == 1;
		break;
	case PROXY_MODES:
		break;
	}
	if (passage->lost)
		return TRUE;
	return send(passage->fds[1 - from], block, (size_t)n, MSG_NOSIGNAL) == n;
}

static gpointer passage_main(gpointer data)
{
	struct passage *passage = data;
	gboolean open = TRUE;

	while (open && !g_atomic_int_get(&passage->proxy->ends)) {
		struct pollfd fds[2] = { { passage->fds[0], POLLIN, 0 },
					 { passage->fds[1], POLLIN, 0 } };

		poll(fds, 2, POLL_MS);
		for (int i = 0; i < 2 && open; i++)
			if (fds[i].revents)
				open = move_block(passage, i);
		open = open && g_atomic_int_get(&passage->proxy->mode) != PROXY_RESET;
	}
	for (int i = 0; i < 2; i++)
		close_hard(passage->fds[i], g_atomic_int_get(&passage->proxy->mode) == PROXY_RESET);
	proxy_unref(passage->proxy);
	g_free(passage);
	return NULL;
}

static void open_passage(struct proxy *proxy, int caller)
{
	struct sockaddr_in address = loopback(proxy->target_port);
	int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct passage *passage;

	if (g_atomic_int_get(&proxy->mode) == PROXY_RESET ||
	    connect(target, (struct sockaddr *)&address, sizeof(address)) != 0) {
		close_hard(caller, TRUE);
		close(target);
		return;
	}
	passage = g_new0(struct passage, 1);
	passage->proxy = proxy;
	passage->fds[0] = caller;
	passage->fds[1] = target;
	g_atomic_int_inc(&proxy->refs);
	g_thread_unref(g_thread_new("passage", passage_main, passage));
}

static gpointer listener_main(gpointer data)
{
	struct proxy *proxy = data;

	while (!g_atomic_int_get(&proxy->ends)) {
		struct pollfd fd = { proxy->fd, POLLIN, 0 };
		int caller;

		if (poll(&fd, 1, POLL_MS) <= 0)
			continue;
		caller = accept4(proxy->fd, NULL, NULL, SOCK_CLOEXEC);
		if (caller >= 0)
			open_passage(proxy, caller);
	}
	return NULL;
}

struct proxy *proxy_new(int port)
{
	struct proxy *proxy = g_new0(struct proxy, 1);
	struct sockaddr_in address = loopback(0);
	socklen_t len = sizeof(address);

	proxy->refs = 1;
	proxy->target_port = port;
	proxy->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (bind(proxy->fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(proxy->fd, BACKLOG) != 0)
		g_error("proxy: can't listen on loopback");
	getsockname(proxy->fd, (struct sockaddr *)&address, &len);
	proxy->port = ntohs(address.sin_port);
	proxy->listener = g_thread_new("proxy", listener_main, proxy);
	return proxy;
}

void proxy_free(struct proxy *proxy)
{
	if (!proxy)
		return;
	g_atomic_int_set(&proxy->ends, 1);
	g_thread_join(proxy->listener);
	close(proxy->fd);
	proxy_unref(proxy);
}

int proxy_port(const struct proxy *proxy)
{
	return proxy->port;
}

void proxy_set(struct proxy *proxy, enum proxy_mode mode)
{
	g_atomic_int_set(&proxy->mode, (gint)mode);
}
