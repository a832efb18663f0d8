#include "operator/control.h"

#include <string.h>

#include "base/endpoint.h"
#include "operator/report.h"

enum { CONNECTIONS_MAX = 64 };

struct control {
	struct control_options options;
	struct MHD_Daemon *daemon;
};

/** The reply to a request. */
struct reply {
	unsigned int status;
	const char *content_type;
	struct strbuf body;
	int64_t file_version; /* 0: no file */
};

/** The resources that the endpoint serves. */
enum resource {
	RESOURCE_NONE,
	RESOURCE_STATUS,
	RESOURCE_MEMBERS,
	RESOURCE_MOVES,
	RESOURCE_HISTORY,
	RESOURCE_FILES,
	RESOURCE_FILE,
	RESOURCE_CHANGE,
	RESOURCE_CENSUS_START,
	RESOURCE_CENSUS,
	RESOURCE_METRICS,
	RESOURCE_HEALTH,
	RESOURCE_READY,
};

static enum resource find_resource(const char *method, const char *path)
{
	static const struct {
		const char *method;
		const char *path;
		enum resource resource;
	} resources[] = {
		{ "GET", "/v1/status", RESOURCE_STATUS },
		{ "GET", "/v1/members", RESOURCE_MEMBERS },
		{ "GET", "/v1/moves", RESOURCE_MOVES },
		{ "GET", "/v1/history", RESOURCE_HISTORY },
		{ "GET", "/v1/files", RESOURCE_FILES },
		{ "GET", "/v1/file", RESOURCE_FILE },
		{ "GET", "/v1/change", RESOURCE_CHANGE },
		{ "POST", "/v1/census", RESOURCE_CENSUS_START },
		{ "GET", "/v1/census", RESOURCE_CENSUS },
		{ "GET", "/metrics", RESOURCE_METRICS },
		{ "GET", "/healthz", RESOURCE_HEALTH },
		{ "GET", "/readyz", RESOURCE_READY },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(resources); i++)
		if (strcmp(resources[i].method, method) == 0 &&
		    strcmp(resources[i].path, path) == 0)
			return resources[i].resource;
	return RESOURCE_NONE;
}

static void set_error_reply(struct reply *reply, unsigned int status, const char *text)
{
	reply->status = status;
	reply->content_type = "text/plain";
	strbuf_add(&reply->body, str_from_cstr(text));
}

static void reply_with_file(struct control *control, struct str name, struct reply *reply)
{
	struct config *config = node_config(control->options.node);
	const struct accepted_file *file = config_find_file(config, label_from(name));

	if (file && file->change->content.len) {
		reply->file_version = file->version;
		reply->content_type = "text/plain";
		strbuf_add(&reply->body, file->change->content);
	} else {
		/* A removed file keeps its version, which is the base of the next change. */
		reply->file_version = file ? file->version : 0;
		set_error_reply(reply, MHD_HTTP_NOT_FOUND, "no such file\n");
	}
	config_unref(config);
}

static void reply_with_change(struct control *control, struct str id, struct reply *reply)
{
	struct apply_result result;

	if (history_find_result(node_history(control->options.node), label_from(id), &result))
		report_change_result(&result, &reply->body);
	else
		set_error_reply(reply, MHD_HTTP_NOT_FOUND, "no such change\n");
}

static void start_census(struct control *control, struct str version, struct reply *reply)
{
	struct actions actions = actions_new();
	int64_t version_number = 0;
	uint64_t seq;

	if (str_to_int64(version, &version_number)) {
		seq = node_census_start(control->options.node, version_number, &actions);
		control->options.perform_actions(control->options.context, &actions);
		strbuf_addf(&reply->body, "{\"seq\":%lu}", seq);
	} else {
		set_error_reply(reply, MHD_HTTP_BAD_REQUEST, "version: expected a number\n");
	}
	actions_clear(&actions);
}

static void reply_with_census(struct control *control, struct str text, struct reply *reply)
{
	int64_t seq = 0;
	struct census census;

	if (!str_to_int64(text, &seq)) {
		set_error_reply(reply, MHD_HTTP_BAD_REQUEST, "seq: expected a number\n");
		return;
	}
	census = node_census_result(control->options.node, (uint64_t)seq);
	report_census(&census, &reply->body);
}

static void reply_with_readiness(struct control *control, struct reply *reply)
{
	if (node_is_ready(control->options.node))
		strbuf_add(&reply->body, STR("{\"ready\":true}"));
	else
		set_error_reply(reply, MHD_HTTP_SERVICE_UNAVAILABLE, "the node joins or stops\n");
}

static void reply_with_metrics(struct control *control, struct reply *reply)
{
	reply->content_type = "text/plain; version=0.0.4";
	metrics_print(control->options.metrics, &reply->body);
}

static void handle_resource(struct control *control, struct MHD_Connection *connection,
			    enum resource resource, struct reply *reply)
{
	struct node *node = control->options.node;

	switch (resource) {
	case RESOURCE_STATUS:
		report_status(node, clock_now(), &reply->body);
		return;
	case RESOURCE_MEMBERS:
		report_members(node, &reply->body);
		return;
	case RESOURCE_MOVES:
		report_moves(node, clock_now(), &reply->body);
		return;
	case RESOURCE_HISTORY:
		report_history(node, &reply->body);
		return;
	case RESOURCE_FILES:
		report_files(node, &reply->body);
		return;
	case RESOURCE_FILE:
		reply_with_file(control, endpoint_argument(connection, "name"), reply);
		return;
	case RESOURCE_CHANGE:
		reply_with_change(control, endpoint_argument(connection, "id"), reply);
		return;
	case RESOURCE_CENSUS_START:
		start_census(control, endpoint_argument(connection, "version"), reply);
		return;
	case RESOURCE_CENSUS:
		reply_with_census(control, endpoint_argument(connection, "seq"), reply);
		return;
	case RESOURCE_METRICS:
		reply_with_metrics(control, reply);
		return;
	case RESOURCE_HEALTH:
		strbuf_add(&reply->body, STR("{\"healthy\":true}"));
		return;
	case RESOURCE_READY:
		reply_with_readiness(control, reply);
		return;
	case RESOURCE_NONE:
		set_error_reply(reply, MHD_HTTP_NOT_FOUND, "no such resource\n");
		return;
	}
	g_assert_not_reached();
}

static enum MHD_Result send_reply(struct MHD_Connection *connection, struct reply *reply)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		reply->body.len, reply->body.data, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;
	char version[32];

	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, reply->content_type);
	g_snprintf(version, sizeof(version), "%ld", reply->file_version);
	MHD_add_response_header(response, "Godwithitch-File-Version", version);
	result = MHD_queue_response(connection, reply->status, response);
	MHD_destroy_response(response);
	strbuf_clear(&reply->body);
	return result;
}

static enum MHD_Result handle_request(void *context, struct MHD_Connection *connection,
				      const char *url, const char *method, const char *version,
				      const char *data, size_t *data_size, void **state)
{
	struct reply reply = { .status = MHD_HTTP_OK, .content_type = "application/json" };

	(void)version;
	(void)data;
	if (!endpoint_request_complete(data_size, state))
		return MHD_YES;
	handle_resource(context, connection, find_resource(method, url), &reply);
	return send_reply(connection, &reply);
}

struct control *control_new(const struct control_options *options, GError **error)
{
	struct control *control = g_new0(struct control, 1);
	struct endpoint_options endpoint = { .ipv4 = options->ipv4,
					     .port = options->port,
					     .purpose = "the control address",
					     .connections = CONNECTIONS_MAX,
					     .handle = handle_request,
					     .context = control };

	control->options = *options;
	control->daemon = endpoint_start(&endpoint, error);
	if (control->daemon)
		return control;
	g_free(control);
	return NULL;
}

void control_free(struct control *control)
{
	if (!control)
		return;
	MHD_stop_daemon(control->daemon);
	g_free(control);
}

uint16_t control_port(const struct control *control)
{
	return endpoint_port(control->daemon);
}
