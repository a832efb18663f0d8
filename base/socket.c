#include "base/socket.h"

#include <errno.h>
#include <sys/socket.h>
#include <sys/types.h>

bool socket_is_quiet(int fd)
{
	char byte;
	ssize_t n = recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);

	return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}
