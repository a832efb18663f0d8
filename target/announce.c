#include "target/announce.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <string.h>

enum {
	SLOTS_MAX = 4096,
	TTL_MIN_MS = 100,
	TTL_MAX_MS = 60000,
	TTL_DEFAULT_MS = 3000,
};

struct announce {
	struct announce_options options;
	struct MHD_Daemon *daemon;
};

static enum MHD_Result answer(struct MHD_Connection *connection, unsigned int status,
			      const char *text)
{
	struct MHD_Response *response =
		MHD_create_response_from_buffer(strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result = MHD_queue_response(connection, status, response);

	MHD_destroy_response(response);
	return result;
}

static struct str argument(struct MHD_Connection *connection, const char *name)
{
	return str_from_cstr(MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name));
}

static bool number(struct MHD_Connection *connection, const char *name, int64_t min, int64_t max,
		   int64_t *value)
{
	struct str text = argument(connection, name);

	if (text.len == 0 && *value)
		return true;
	return str_to_int64(text, value) && *value >= min && *value <= max;
}

/* Reads the arguments of an announcement; NULL if they are good, else what is wrong. */
static const char *read_up(struct MHD_Connection *connection, struct announcement *up)
{
	struct str service = argument(connection, "service");
	struct str version = argument(connection, "version");
	int64_t slots = 0;
	int64_t port = 0;
	int64_t ttl_ms = TTL_DEFAULT_MS;

	if (service.len == 0 || !label_fits(service))
		return "service: expected a name\n";
	if (version.len == 0 || !label_fits(version))
		return "version: expected a name\n";
	if (!number(connection, "slots", 1, SLOTS_MAX, &slots))
		return "slots: expected a number from 1 to 4096\n";
	if (!number(connection, "port", 1, UINT16_MAX, &port))
		return "port: expected a number from 1 to 65535\n";
	if (!number(connection, "ttl_ms", TTL_MIN_MS, TTL_MAX_MS, &ttl_ms))
		return "ttl_ms: expected a number from 100 to 60000\n";
	up->service = label_from(service);
	up->version = label_from(version);
	up->slots = (int)slots;
	up->port = (uint16_t)port;
	up->until = deadline_after(clock_now(), ttl_ms * US_PER_MS);
	return NULL;
}

static enum MHD_Result on_request(void *context, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *data_size, void **state)
{
	static int seen;
	struct announce *announce = context;
	struct announcement announcement = { .kind = ANNOUNCE_UP };
	const char *problem = NULL;

	(void)version;
	(void)data;
	if (!*state) {
		*state = &seen;
		return MHD_YES;
	}
	if (*data_size) {
		*data_size = 0;
		return MHD_YES;
	}
	if (strcmp(url, "/announce") == 0 && strcmp(method, "PUT") == 0)
		problem = read_up(connection, &announcement);
	else if (strcmp(url, "/announce") == 0 && strcmp(method, "DELETE") == 0)
		announcement.kind = ANNOUNCE_DOWN;
	else if (strcmp(url, "/leave") == 0 && strcmp(method, "POST") == 0)
		announcement.kind = ANNOUNCE_LEAVING;
	else
		return answer(connection, MHD_HTTP_NOT_FOUND, "no such resource\n");
	if (problem)
		return answer(connection, MHD_HTTP_BAD_REQUEST, problem);
	announce->options.handle(announce->options.context, &announcement);
	return answer(connection, MHD_HTTP_OK, "ok\n");
}

struct announce *announce_new(const struct announce_options *options, GError **error)
{
	struct announce *announce = g_new0(struct announce, 1);
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(options->port),
				       .sin_addr.s_addr = htonl(options->ipv4) };

	announce->options = *options;
	announce->daemon = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD, options->port, NULL, NULL, on_request, announce,
		MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address, MHD_OPTION_CONNECTION_TIMEOUT,
		30U, MHD_OPTION_CONNECTION_LIMIT, 32U, MHD_OPTION_END);
	if (announce->daemon)
		return announce;
	g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
		    "can't listen on the address for announcements, port %u", options->port);
	g_free(announce);
	return NULL;
}

void announce_free(struct announce *announce)
{
	if (!announce)
		return;
	MHD_stop_daemon(announce->daemon);
	g_free(announce);
}

uint16_t announce_port(const struct announce *announce)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(announce->daemon, MHD_DAEMON_INFO_BIND_PORT);

	return info ? info->port : 0;
}
