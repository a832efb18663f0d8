#include "base/socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <unistd.h>

bool socket_is_quiet(int fd)
{
	char byte;
	ssize_t n = recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);

	return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* Waits for the outcome of a connect() in progress and returns its errno, EINPROGRESS past the
 * deadline. */
static int wait_connected(int fd, struct deadline deadline)
{
	struct pollfd waited = { .fd = fd, .events = POLLOUT };
	int error = 0;
	socklen_t len = sizeof(error);
	int64_t remaining_us;
	int ready;

	do {
		remaining_us = deadline_remaining_us(deadline, clock_now());
		ready = poll(&waited, 1, (int)((remaining_us + US_PER_MS - 1) / US_PER_MS));
	} while (ready < 0 && errno == EINTR);
	if (ready <= 0)
		return EINPROGRESS;
	return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) == 0 ? error : errno;
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
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port),
				       .sin_addr.s_addr = htonl(ipv4) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int error = 0;

	if (fd < 0)
		return SOCKET_UNANSWERED;
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0)
		error = errno;
	if (error == EINPROGRESS)
		error = wait_connected(fd, deadline);
	close(fd);
	return outcome_of(error);
}
