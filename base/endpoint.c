#include "base/endpoint.h"

#include <arpa/inet.h>
#include <netinet/in.h>

enum { IDLE_TIMEOUT_S = 30 };

struct MHD_Daemon *endpoint_start(const struct endpoint_options *options, GError **error)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(options->port),
				       .sin_addr.s_addr = htonl(options->ipv4) };
	/* With epoll a connection whose last bytes and end come together is noticed as ended only
	 * by its timeout, and takes up a place until then. */
	struct MHD_Daemon *daemon = MHD_start_daemon(
		MHD_USE_POLL_INTERNAL_THREAD, options->port, NULL, NULL, options->handle,
		options->context, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
		MHD_OPTION_CONNECTION_LIMIT, options->connections, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)IDLE_TIMEOUT_S, MHD_OPTION_NOTIFY_COMPLETED, options->completed,
		options->context, MHD_OPTION_END);

	if (!daemon)
		g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED, "can't listen on %s, port %u",
			    options->purpose, options->port);
	return daemon;
}

uint16_t endpoint_port(struct MHD_Daemon *daemon)
{
	const union MHD_DaemonInfo *info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT);

	return info ? info->port : 0;
}

struct str endpoint_argument(struct MHD_Connection *connection, const char *name)
{
	return str_from_cstr(MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name));
}

bool endpoint_request_complete(size_t *data_size, void **state)
{
	static int request_seen;

	if (!*state) {
		*state = &request_seen;
		return false;
	}
	if (*data_size) {
		*data_size = 0;
		return false;
	}
	return true;
}
