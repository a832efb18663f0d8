#include "target/announce.h"

#include <string.h>

#include "base/endpoint.h"

enum {
	CONNECTIONS_MAX = 32,
	SLOTS_MAX = 4096,
	TTL_MIN_MS = 100,
	TTL_MAX_MS = 60000,
	TTL_DEFAULT_MS = 3000,
};

struct announce_endpoint {
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

static bool read_number(struct MHD_Connection *connection, const char *name, int64_t min,
			int64_t max, int64_t *value)
{
	struct str text = endpoint_argument(connection, name);

	if (text.len == 0 && *value)
		return true;
	return str_to_int64(text, value) && *value >= min && *value <= max;
}

/* Reads the arguments of an announcement. Returns NULL, or the text of the error. */
static const char *read_announcement(struct MHD_Connection *connection, int64_t ttl_us,
				     struct announcement *announcement)
{
	struct str service = endpoint_argument(connection, "service");
	struct str version = endpoint_argument(connection, "version");
	int64_t slots = 0;
	int64_t port = 0;
	int64_t ttl_ms = ttl_us ? ttl_us / US_PER_MS : TTL_DEFAULT_MS;

	if (service.len == 0 || !label_fits(service))
		return "service: expected a name\n";
	if (version.len == 0 || !label_fits(version))
		return "version: expected a name\n";
	if (!read_number(connection, "slots", 1, SLOTS_MAX, &slots))
		return "slots: expected a number from 1 to 4096\n";
	if (!read_number(connection, "port", 1, UINT16_MAX, &port))
		return "port: expected a number from 1 to 65535\n";
	if (!read_number(connection, "ttl_ms", TTL_MIN_MS, TTL_MAX_MS, &ttl_ms))
		return "ttl_ms: expected a number from 100 to 60000\n";
	announcement->service = label_from(service);
	announcement->version = label_from(version);
	announcement->slots = (int)slots;
	announcement->port = (uint16_t)port;
	announcement->expires_at = deadline_after(clock_now(), ttl_ms * US_PER_MS);
	return NULL;
}

static enum MHD_Result on_request(void *context, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *data_size, void **state)
{
	struct announce_endpoint *endpoint = context;
	struct announcement announcement = { .kind = ANNOUNCE_UP };
	const char *problem = NULL;

	(void)version;
	(void)data;
	if (!endpoint_request_complete(data_size, state))
		return MHD_YES;
	if (strcmp(url, "/announce") == 0 && strcmp(method, "PUT") == 0)
		problem = read_announcement(connection, endpoint->options.ttl_us, &announcement);
	else if (strcmp(url, "/announce") == 0 && strcmp(method, "DELETE") == 0)
		announcement.kind = ANNOUNCE_DOWN;
	else if (strcmp(url, "/leave") == 0 && strcmp(method, "POST") == 0)
		announcement.kind = ANNOUNCE_LEAVING;
	else
		return answer(connection, MHD_HTTP_NOT_FOUND, "no such resource\n");
	if (problem)
		return answer(connection, MHD_HTTP_BAD_REQUEST, problem);
	endpoint->options.handle(endpoint->options.context, &announcement);
	return answer(connection, MHD_HTTP_OK, "ok\n");
}

struct announce_endpoint *announce_endpoint_new(const struct announce_options *options,
						GError **error)
{
	struct announce_endpoint *endpoint = g_new0(struct announce_endpoint, 1);
	struct endpoint_options server_options = { .ipv4 = options->ipv4,
						   .port = options->port,
						   .purpose = "the address for announcements",
						   .connections = CONNECTIONS_MAX,
						   .handle = on_request,
						   .context = endpoint };

	endpoint->options = *options;
	endpoint->daemon = endpoint_start(&server_options, error);
	if (endpoint->daemon)
		return endpoint;
	g_free(endpoint);
	return NULL;
}

void announce_endpoint_free(struct announce_endpoint *endpoint)
{
	if (!endpoint)
		return;
	MHD_stop_daemon(endpoint->daemon);
	g_free(endpoint);
}

uint16_t announce_endpoint_port(const struct announce_endpoint *endpoint)
{
	return endpoint_port(endpoint->daemon);
}
