#include "base/socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <unistd.h>

/* A wait without a deadline is resumed this often. */
#define WAIT_MAX_US (60 * US_PER_S)

bool socket_is_quiet(int fd)
{
	char byte;
	ssize_t n = recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);

	return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

int socket_open(uint32_t ipv4, uint16_t port, int *error)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port),
				       .sin_addr.s_addr = htonl(ipv4) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	*error = 0;
	if (fd < 0 || connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0)
		*error = errno;
	return fd;
}

short socket_wait(int fd, short events, struct deadline deadline)
{
	struct pollfd waited = { .fd = fd, .events = events };
	int64_t remaining_us;
	int ready;

	do {
		remaining_us = MIN(deadline_remaining_us(deadline, clock_now()), WAIT_MAX_US);
		ready = poll(&waited, 1, (int)((remaining_us + US_PER_MS - 1) / US_PER_MS));
	} while (ready < 0 && errno == EINTR);
	return ready > 0 ? waited.revents : 0;
}

int socket_wait_open(int fd, struct deadline deadline)
{
	int error = 0;
	socklen_t len = sizeof(error);

	if (!socket_wait(fd, POLLOUT, deadline))
		return EINPROGRESS;
	return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) == 0 ? error : errno;
}

bool socket_reset(int fd)
{
	struct sockaddr address = { .sa_family = AF_UNSPEC };

	return connect(fd, &address, sizeof(address)) == 0;
}

static enum socket_probe outcome_of(int error)
{
	if (error == 0)
		return SOCKET_ACCEPTED;
	/* Other errors, such as a shortage of ports, tell nothing about the address. */
	return error == ECONNREFUSED || error == ECONNRESET || error == EHOSTUNREACH ||
			       error == ENETUNREACH
		       ? SOCKET_REFUSED
		       : SOCKET_UNANSWERED;
}

enum socket_probe socket_probe(uint32_t ipv4, uint16_t port, struct deadline deadline)
{
	int error;
	int fd = socket_open(ipv4, port, &error);

	if (fd < 0)
		return SOCKET_UNANSWERED;
	if (error == EINPROGRESS)
		error = socket_wait_open(fd, deadline);
	close(fd);
	return outcome_of(error);
}
