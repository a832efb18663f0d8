#include "regress/lib/listen.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>

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
