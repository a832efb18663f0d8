#include "target/announce.h"

#include "base/endpoint.h"

enum {
	STATUS_BAD_REQUEST = 400,
	STATUS_NOT_FOUND = 404,
	CONNECTIONS_MAX = 32,
	SLOTS_MAX = 4096,
	TTL_MIN_MS = 100,
	TTL_MAX_MS = 60000,
	TTL_DEFAULT_MS = 3000,
};

struct announce_endpoint {
	struct announce_options options;
	struct endpoint *server;
};

static bool read_number(const struct endpoint_request *request, struct str name, int64_t min,
			int64_t max, int64_t *value)
{
	struct strbuf text = { NULL, 0, 0 };
	bool has_default = *value != 0;
	bool valid;

	endpoint_argument(request, name, &text);
	valid = (text.len == 0 && has_default) ||
		(str_to_int64(strbuf_str(&text), value) && *value >= min && *value <= max);
	strbuf_clear(&text);
	return valid;
}

static bool read_name(const struct endpoint_request *request, struct str name, struct label *label)
{
	struct strbuf text = { NULL, 0, 0 };
	bool valid = endpoint_argument(request, name, &text) && text.len > 0 &&
		     label_fits(strbuf_str(&text));

	if (valid)
		*label = label_from(strbuf_str(&text));
	strbuf_clear(&text);
	return valid;
}

/* Reads the arguments of an announcement. Returns NULL, or the text of the error. */
static const char *read_announcement(const struct endpoint_request *request, int64_t ttl_us,
				     struct announcement *announcement)
{
	int64_t slots = 0;
	int64_t port = 0;
	int64_t ttl_ms = ttl_us ? ttl_us / US_PER_MS : TTL_DEFAULT_MS;

	if (!read_name(request, STR("service"), &announcement->service))
		return "service: expected a name\n";
	if (!read_name(request, STR("version"), &announcement->version))
		return "version: expected a name\n";
	if (!read_number(request, STR("slots"), 1, SLOTS_MAX, &slots))
		return "slots: expected a number from 1 to 4096\n";
	if (!read_number(request, STR("port"), 1, UINT16_MAX, &port))
		return "port: expected a number from 1 to 65535\n";
	if (!read_number(request, STR("ttl_ms"), TTL_MIN_MS, TTL_MAX_MS, &ttl_ms))
		return "ttl_ms: expected a number from 100 to 60000\n";
	announcement->slots = (int)slots;
	announcement->port = (uint16_t)port;
	announcement->expires_at = deadline_after(clock_now(), ttl_ms * US_PER_MS);
	return NULL;
}

static bool is_request(const struct endpoint_request *request, struct str method, struct str path)
{
	return str_equal(request->method, method) && str_equal(request->path, path);
}

static void set_answer(struct endpoint_answer *answer, int status, const char *text)
{
	answer->status = status;
	strbuf_add(&answer->body, str_from_cstr(text));
}

static void on_request(void *context, const struct endpoint_request *request,
		       struct endpoint_answer *answer)
{
	struct announce_endpoint *endpoint = context;
	struct announcement announcement = { .kind = ANNOUNCE_UP };
	const char *problem = NULL;

	if (is_request(request, STR("PUT"), STR("/announce"))) {
		problem = read_announcement(request, endpoint->options.ttl_us, &announcement);
	} else if (is_request(request, STR("DELETE"), STR("/announce"))) {
		announcement.kind = ANNOUNCE_DOWN;
	} else if (is_request(request, STR("POST"), STR("/leave"))) {
		announcement.kind = ANNOUNCE_LEAVING;
	} else {
		set_answer(answer, STATUS_NOT_FOUND, "no such resource\n");
		return;
	}
	if (problem) {
		set_answer(answer, STATUS_BAD_REQUEST, problem);
		return;
	}
	endpoint->options.handle(endpoint->options.context, &announcement);
	strbuf_add(&answer->body, STR("ok\n"));
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
	endpoint->server = endpoint_start(&server_options, error);
	if (endpoint->server)
		return endpoint;
	g_free(endpoint);
	return NULL;
}

void announce_endpoint_free(struct announce_endpoint *endpoint)
{
	if (!endpoint)
		return;
	endpoint_stop(endpoint->server);
	g_free(endpoint);
}

uint16_t announce_endpoint_port(const struct announce_endpoint *endpoint)
{
	return endpoint_port(endpoint->server);
}
