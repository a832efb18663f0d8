#include "regress/lib/proxy.h"

#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

enum { POLL_MS = 50, BLOCK_BYTES = 16384, BACKLOG = 64 };

struct proxy {
	gint refs; /* one for the owner and one for each relay thread */
	int fd;
	int port;
	int target_port;
	gint mode;
	gint stopping;
	GThread *listener;
};

/* A connection through the proxy. */
struct relay {
	struct proxy *proxy;
	int fds[2];	     /* caller, target */
	gboolean discarding; /* bytes were discarded, so all further ones are too */
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

/* Closes a socket; a linger time of 0 makes the kernel reset the connection. */
static void close_socket(int fd, gboolean reset)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	if (reset)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

/* Forwards a block of bytes to the other side. Returns FALSE if the connection must be closed. */
static gboolean relay_block(struct relay *relay, int from)
{
	char block[BLOCK_BYTES];
	ssize_t n = recv(relay->fds[from], block, sizeof(block), 0);
	enum proxy_mode mode = (enum proxy_mode)g_atomic_int_get(&relay->proxy->mode);

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
	case PROXY_DROP_ALL:
		relay->discarding = TRUE;
		break;
	case PROXY_DROP_REPLIES:
		relay->discarding |= from == 1;
		break;
	case PROXY_MODE_COUNT:
		break;
	}
	if (relay->discarding)
		return TRUE;
	return send(relay->fds[1 - from], block, (size_t)n, MSG_NOSIGNAL) == n;
}

static gpointer relay_main(gpointer data)
{
	struct relay *relay = data;
	gboolean open = TRUE;

	while (open && !g_atomic_int_get(&relay->proxy->stopping)) {
		struct pollfd fds[2] = { { relay->fds[0], POLLIN, 0 },
					 { relay->fds[1], POLLIN, 0 } };

		poll(fds, 2, POLL_MS);
		for (int i = 0; i < 2 && open; i++)
			if (fds[i].revents)
				open = relay_block(relay, i);
		open = open && g_atomic_int_get(&relay->proxy->mode) != PROXY_RESET;
	}
	for (int i = 0; i < 2; i++)
		close_socket(relay->fds[i], g_atomic_int_get(&relay->proxy->mode) == PROXY_RESET);
	proxy_unref(relay->proxy);
	g_free(relay);
	return NULL;
}

static void open_relay(struct proxy *proxy, int caller)
{
	struct sockaddr_in address = loopback(proxy->target_port);
	int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct relay *relay;

	if (g_atomic_int_get(&proxy->mode) == PROXY_RESET ||
	    connect(target, (struct sockaddr *)&address, sizeof(address)) != 0) {
		close_socket(caller, TRUE);
		close(target);
		return;
	}
	relay = g_new0(struct relay, 1);
	relay->proxy = proxy;
	relay->fds[0] = caller;
	relay->fds[1] = target;
	g_atomic_int_inc(&proxy->refs);
	g_thread_unref(g_thread_new("relay", relay_main, relay));
}

static gpointer listener_main(gpointer data)
{
	struct proxy *proxy = data;

	while (!g_atomic_int_get(&proxy->stopping)) {
		struct pollfd fd = { proxy->fd, POLLIN, 0 };
		int caller;

		if (poll(&fd, 1, POLL_MS) <= 0)
			continue;
		caller = accept4(proxy->fd, NULL, NULL, SOCK_CLOEXEC);
		if (caller >= 0)
			open_relay(proxy, caller);
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
		g_error("proxy: cannot listen on the loopback interface");
	getsockname(proxy->fd, (struct sockaddr *)&address, &len);
	proxy->port = ntohs(address.sin_port);
	proxy->listener = g_thread_new("proxy", listener_main, proxy);
	return proxy;
}

void proxy_free(struct proxy *proxy)
{
	if (!proxy)
		return;
	g_atomic_int_set(&proxy->stopping, 1);
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
