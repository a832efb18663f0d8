#include "regress/lib/listen.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

enum { HANDSHAKE_MS = 200 };

int listen_on_loopback(uint16_t *port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0 || bind(fd, (struct sockaddr *)&address, len) != 0 || listen(fd, 4) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &len) != 0)
		g_error("cannot listen on the loopback address");
	*port = ntohs(address.sin_port);
	return fd;
}

/* Returns whether the connection was taken into the accept queue. */
static bool is_taken(int fd, uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port),
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	struct pollfd waited = { .fd = fd, .events = POLLOUT };

	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return true;
	return poll(&waited, 1, HANDSHAKE_MS) == 1;
}

bool silent_listener_connect(struct silent_listener *listener)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	listener->waiting[listener->count++] = fd;
	return is_taken(fd, listener->port);
}

void silent_listener_fill(struct silent_listener *listener)
{
	bool taken = true;

	while (taken && listener->count < SILENT_CONNECTIONS_MAX)
		taken = silent_listener_connect(listener);
	if (taken)
		g_error("the accept queue does not fill");
}

void silent_listener_open(struct silent_listener *listener)
{
	listener->count = 0;
	listener->fd = listen_on_loopback(&listener->port);
	silent_listener_fill(listener);
}

void silent_listener_close(struct silent_listener *listener)
{
	for (int i = 0; i < listener->count; i++)
		close(listener->waiting[i]);
	close(listener->fd);
}
