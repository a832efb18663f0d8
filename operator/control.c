#include "operator/control.h"

#include <string.h>

#include "base/endpoint.h"
#include "operator/report.h"

enum { CONNECTIONS_MAX = 64 };

struct control {
	struct control_options options;
	struct MHD_Daemon *daemon;
};

/** What to answer. */
struct answer {
	unsigned int status;
	const char *type;
	struct strbuf body;
	int64_t file_version; /* 0: none */
};

/** The resources, by path. */
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
	} table[] = {
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

	for (size_t i = 0; i < G_N_ELEMENTS(table); i++)
		if (strcmp(table[i].method, method) == 0 && strcmp(table[i].path, path) == 0)
			return table[i].resource;
	return RESOURCE_NONE;
}

static void fail(struct answer *answer, unsigned int status, const char *text)
{
	answer->status = status;
	answer->type = "text/plain";
	strbuf_add(&answer->body, str_from_cstr(text));
}

static void answer_file(struct control *control, struct str name, struct answer *answer)
{
	struct config *config = node_config(control->options.node);
	const struct accepted_file *file = config_find_file(config, label_from(name));

	if (file && file->change->content.len) {
		answer->file_version = file->version;
		answer->type = "text/plain";
		strbuf_add(&answer->body, file->change->content);
	} else {
		/* A removed file still has a version, which the next change builds on. */
		answer->file_version = file ? file->version : 0;
		fail(answer, MHD_HTTP_NOT_FOUND, "no such file\n");
	}
	config_unref(config);
}

static void answer_change(struct control *control, struct str id, struct answer *answer)
{
	struct judgement judgement;

	if (history_find(node_history(control->options.node), label_from(id), &judgement))
		report_judgement(&judgement, &answer->body);
	else
		fail(answer, MHD_HTTP_NOT_FOUND, "no such change\n");
}

static void start_census(struct control *control, struct str version, struct answer *answer)
{
	struct actions actions = actions_new();
	int64_t wanted = 0;
	uint64_t seq;

	if (str_to_int64(version, &wanted)) {
		seq = node_census_start(control->options.node, wanted, &actions);
		control->options.handle(control->options.context, &actions);
		strbuf_addf(&answer->body, "{\"seq\":%lu}", seq);
	} else {
		fail(answer, MHD_HTTP_BAD_REQUEST, "version: expected a number\n");
	}
	actions_clear(&actions);
}

static void answer_census(struct control *control, struct str text, struct answer *answer)
{
	int64_t seq = 0;
	struct census census;

	if (!str_to_int64(text, &seq)) {
		fail(answer, MHD_HTTP_BAD_REQUEST, "seq: expected a number\n");
		return;
	}
	census = node_census_result(control->options.node, (uint64_t)seq);
	report_census(&census, &answer->body);
}

static void answer_ready(struct control *control, struct answer *answer)
{
	if (node_is_ready(control->options.node))
		strbuf_add(&answer->body, STR("{\"ready\":true}"));
	else
		fail(answer, MHD_HTTP_SERVICE_UNAVAILABLE, "the node joins or stops\n");
}

static void answer_metrics(struct control *control, struct answer *answer)
{
	answer->type = "text/plain; version=0.0.4";
	metrics_print(control->options.metrics, &answer->body);
}

static void make_answer(struct control *control, struct MHD_Connection *connection,
			enum resource resource, struct answer *answer)
{
	struct node *node = control->options.node;

	switch (resource) {
	case RESOURCE_STATUS:
		report_status(node, clock_now(), &answer->body);
		return;
	case RESOURCE_MEMBERS:
		report_members(node, &answer->body);
		return;
	case RESOURCE_MOVES:
		report_moves(node, clock_now(), &answer->body);
		return;
	case RESOURCE_HISTORY:
		report_history(node, &answer->body);
		return;
	case RESOURCE_FILES:
		report_files(node, &answer->body);
		return;
	case RESOURCE_FILE:
		answer_file(control, endpoint_argument(connection, "name"), answer);
		return;
	case RESOURCE_CHANGE:
		answer_change(control, endpoint_argument(connection, "id"), answer);
		return;
	case RESOURCE_CENSUS_START:
		start_census(control, endpoint_argument(connection, "version"), answer);
		return;
	case RESOURCE_CENSUS:
		answer_census(control, endpoint_argument(connection, "seq"), answer);
		return;
	case RESOURCE_METRICS:
		answer_metrics(control, answer);
		return;
	case RESOURCE_HEALTH:
		strbuf_add(&answer->body, STR("{\"healthy\":true}"));
		return;
	case RESOURCE_READY:
		answer_ready(control, answer);
		return;
	case RESOURCE_NONE:
		fail(answer, MHD_HTTP_NOT_FOUND, "no such resource\n");
		return;
	}
	g_assert_not_reached();
}

static enum MHD_Result send_answer(struct MHD_Connection *connection, struct answer *answer)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		answer->body.len, answer->body.data, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;
	char version[32];

	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, answer->type);
	g_snprintf(version, sizeof(version), "%ld", answer->file_version);
	MHD_add_response_header(response, "Godwithitch-File-Version", version);
	result = MHD_queue_response(connection, answer->status, response);
	MHD_destroy_response(response);
	strbuf_clear(&answer->body);
	return result;
}

static enum MHD_Result on_request(void *context, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *data_size, void **state)
{
	struct answer answer = { .status = MHD_HTTP_OK, .type = "application/json" };

	(void)version;
	(void)data;
	if (!endpoint_ready(data_size, state))
		return MHD_YES;
	make_answer(context, connection, find_resource(method, url), &answer);
	return send_answer(connection, &answer);
}

struct control *control_new(const struct control_options *options, GError **error)
{
	struct control *control = g_new0(struct control, 1);
	struct endpoint_options endpoint = { .ipv4 = options->ipv4,
					     .port = options->port,
					     .purpose = "the control address",
					     .connections = CONNECTIONS_MAX,
					     .handle = on_request,
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
