#include "operator/control.h"

#include "base/endpoint.h"
#include "operator/report.h"

enum {
	CONNECTIONS_MAX = 64,
	STATUS_BAD_REQUEST = 400,
	STATUS_NOT_FOUND = 404,
	STATUS_UNAVAILABLE = 503,
};

struct control {
	struct control_options options;
	struct endpoint *server;
};

/** The reply to a request. */
struct reply {
	struct endpoint_answer *answer;
	struct strbuf *body;  /* of the answer */
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

static enum resource find_resource(const struct endpoint_request *request)
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
		if (str_equal(request->method, str_from_cstr(resources[i].method)) &&
		    str_equal(request->path, str_from_cstr(resources[i].path)))
			return resources[i].resource;
	return RESOURCE_NONE;
}

static void set_error_reply(struct reply *reply, int status, const char *text)
{
	reply->answer->status = status;
	reply->answer->content_type = "text/plain";
	strbuf_add(reply->body, str_from_cstr(text));
}

/* Returns an argument of the query, empty if it is missing; free it with strbuf_clear(). */
static struct strbuf read_argument(const struct endpoint_request *request, struct str name)
{
	struct strbuf value = { NULL, 0, 0 };

	endpoint_argument(request, name, &value);
	return value;
}

static void reply_with_file(struct control *control, const struct endpoint_request *request,
			    struct reply *reply)
{
	struct config *config = node_config(control->options.node);
	struct strbuf name = read_argument(request, STR("name"));
	const struct accepted_file *file = config_find_file(config, label_from(strbuf_str(&name)));

	if (file && file->change->content.len) {
		reply->file_version = file->version;
		reply->answer->content_type = "text/plain";
		strbuf_add(reply->body, file->change->content);
	} else {
		/* A removed file keeps its version, which is the base of the next change. */
		reply->file_version = file ? file->version : 0;
		set_error_reply(reply, STATUS_NOT_FOUND, "no such file\n");
	}
	strbuf_clear(&name);
	config_unref(config);
}

static void reply_with_change(struct control *control, const struct endpoint_request *request,
			      struct reply *reply)
{
	struct strbuf id = read_argument(request, STR("id"));
	struct apply_result result;

	if (history_find_result(node_history(control->options.node), label_from(strbuf_str(&id)),
				&result))
		report_change_result(&result, reply->body);
	else
		set_error_reply(reply, STATUS_NOT_FOUND, "no such change\n");
	strbuf_clear(&id);
}

static void start_census(struct control *control, const struct endpoint_request *request,
			 struct reply *reply)
{
	struct strbuf version = read_argument(request, STR("version"));
	struct actions actions = actions_new();
	int64_t version_number = 0;
	uint64_t seq;

	if (str_to_int64(strbuf_str(&version), &version_number)) {
		seq = node_census_start(control->options.node, version_number, &actions);
		control->options.perform_actions(control->options.context, &actions);
		strbuf_addf(reply->body, "{\"seq\":%lu}", seq);
	} else {
		set_error_reply(reply, STATUS_BAD_REQUEST, "version: expected a number\n");
	}
	actions_clear(&actions);
	strbuf_clear(&version);
}

static void reply_with_census(struct control *control, const struct endpoint_request *request,
			      struct reply *reply)
{
	struct strbuf text = read_argument(request, STR("seq"));
	int64_t seq = 0;
	bool valid = str_to_int64(strbuf_str(&text), &seq);
	struct census census;

	strbuf_clear(&text);
	if (!valid) {
		set_error_reply(reply, STATUS_BAD_REQUEST, "seq: expected a number\n");
		return;
	}
	census = node_census_result(control->options.node, (uint64_t)seq);
	report_census(&census, reply->body);
}

static void reply_with_readiness(struct control *control, struct reply *reply)
{
	if (node_is_ready(control->options.node))
		strbuf_add(reply->body, STR("{\"ready\":true}"));
	else
		set_error_reply(reply, STATUS_UNAVAILABLE, "the node joins or stops\n");
}

static void reply_with_metrics(struct control *control, struct reply *reply)
{
	reply->answer->content_type = "text/plain; version=0.0.4";
	metrics_print(control->options.metrics, reply->body);
}

static void handle_resource(struct control *control, const struct endpoint_request *request,
			    struct reply *reply)
{
	struct node *node = control->options.node;

	switch (find_resource(request)) {
	case RESOURCE_STATUS:
		report_status(node, clock_now(), reply->body);
		return;
	case RESOURCE_MEMBERS:
		report_members(node, reply->body);
		return;
	case RESOURCE_MOVES:
		report_moves(node, clock_now(), reply->body);
		return;
	case RESOURCE_HISTORY:
		report_history(node, reply->body);
		return;
	case RESOURCE_FILES:
		report_files(node, reply->body);
		return;
	case RESOURCE_FILE:
		reply_with_file(control, request, reply);
		return;
	case RESOURCE_CHANGE:
		reply_with_change(control, request, reply);
		return;
	case RESOURCE_CENSUS_START:
		start_census(control, request, reply);
		return;
	case RESOURCE_CENSUS:
		reply_with_census(control, request, reply);
		return;
	case RESOURCE_METRICS:
		reply_with_metrics(control, reply);
		return;
	case RESOURCE_HEALTH:
		strbuf_add(reply->body, STR("{\"healthy\":true}"));
		return;
	case RESOURCE_READY:
		reply_with_readiness(control, reply);
		return;
	case RESOURCE_NONE:
		set_error_reply(reply, STATUS_NOT_FOUND, "no such resource\n");
		return;
	}
	g_assert_not_reached();
}

static void handle_request(void *context, const struct endpoint_request *request,
			   struct endpoint_answer *answer)
{
	struct reply reply = { .answer = answer, .body = &answer->body };

	answer->content_type = "application/json";
	handle_resource(context, request, &reply);
	strbuf_addf(&answer->fields, "Godwithitch-File-Version: %ld\r\n", reply.file_version);
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
	control->server = endpoint_start(&endpoint, error);
	if (control->server)
		return control;
	g_free(control);
	return NULL;
}

void control_free(struct control *control)
{
	if (!control)
		return;
	endpoint_stop(control->server);
	g_free(control);
}

uint16_t control_port(const struct control *control)
{
	return endpoint_port(control->server);
}
