#include "operator/parse.h"

#include "base/clock.h"
#include "operator/json.h"

enum {
	TIMEOUT_DEFAULT_MS = 10000,
	TIMEOUT_MAX_MS = 3600 * 1000,
	WEIGHT_MAX = 1000000,
	ATTEMPTS_MAX = 64,
	KEY_MAX_BYTES = 256,
	WARMUP_MAX_MS = 3600 * 1000,
};

/* A larger rate is taken for a typing error. */
#define RATE_MAX_PER_S 1e6

/* State of parsing one configuration file. */
struct parser {
	const struct json_doc *doc;
	struct config_file *file;
	GError **error;
};

static bool parse_versions(struct parser *p, const struct json *versions, struct service *service)
{
	for (guint i = 0; i < versions->items->len; i++) {
		const struct json *item = g_ptr_array_index(versions->items, i);
		struct version version = { .name = label_from(item->key) };
		int64_t share = 0;

		if (!json_check_name(p->doc, item, item->key, p->error) ||
		    !json_check_kind(p->doc, item, JSON_OBJECT, p->error) ||
		    !json_read_int(p->doc, item, STR("share"), JSON_OPTIONAL, 0, 100, &share,
				   p->error) ||
		    !json_check_unknown_keys(p->doc, item, p->error))
			return false;
		version.share_percent = (int)share;
		g_array_append_val(service->versions, version);
	}
	return true;
}

/* Reads the declared versions; NULL stands for "any": all versions that targets announce. */
static bool read_versions(struct parser *p, const struct json *item, struct json **versions)
{
	const struct json *value = json_get(item, STR("versions"));

	*versions = NULL;
	if (value && value->kind == JSON_STRING && str_equal(value->string, STR("any")))
		return true;
	return json_read_member(p->doc, item, STR("versions"), JSON_REQUIRED, JSON_OBJECT, versions,
				p->error);
}

/* Reads a rate of requests, integer or not; an absent one is 0, which means no limit. */
static bool parse_rate(struct parser *p, const struct json *item, struct str key, double *rate)
{
	const struct json *value = json_get(item, key);

	if (!value)
		return true;
	if (value->kind == JSON_INTEGER)
		*rate = (double)value->integer;
	else if (value->kind == JSON_DOUBLE)
		*rate = value->number;
	else
		return json_check_kind(p->doc, value, JSON_DOUBLE, p->error);
	if (*rate >= 0 && *rate <= RATE_MAX_PER_S)
		return true;
	return json_fail(p->doc, value, CONFIG_ERROR_TYPE, p->error,
			 "expected a number from 0 to %g", RATE_MAX_PER_S);
}

static bool parse_warmup(struct parser *p, const struct json *item, struct warmup_rule *warmup)
{
	int64_t duration_ms = 0;

	if (!json_read_int(p->doc, item, STR("warmup_ms"), JSON_OPTIONAL, 0, WARMUP_MAX_MS,
			   &duration_ms, p->error))
		return false;
	warmup->duration_us = duration_ms * US_PER_MS;
	return parse_rate(p, item, STR("cold_calls_per_s"), &warmup->per_s);
}

static bool parse_service(struct parser *p, const struct json *item)
{
	struct service service = { .name = label_from(item->key), .line = item->line };
	struct str health = STR("");
	int64_t connections = 0;
	struct json *versions;

	if (!json_check_name(p->doc, item, item->key, p->error) ||
	    !json_check_kind(p->doc, item, JSON_OBJECT, p->error) ||
	    !read_versions(p, item, &versions) ||
	    !json_read_str(p->doc, item, STR("health"), JSON_OPTIONAL, &health, p->error) ||
	    !json_read_int(p->doc, item, STR("connections"), JSON_OPTIONAL, 0, INT32_MAX,
			   &connections, p->error) ||
	    !parse_warmup(p, item, &service.warmup))
		return false;
	service.any_version = versions == NULL;
	service.health = config_file_copy_str(p->file, health);
	service.connections = (int)connections;
	service.versions = g_array_new(FALSE, TRUE, sizeof(struct version));
	g_array_append_val(p->file->services, service);
	return (!versions || parse_versions(p, versions, &service)) &&
	       json_check_unknown_keys(p->doc, item, p->error);
}

static bool parse_methods(struct parser *p, const struct json *item, struct route *route)
{
	struct json *methods;

	route->methods = METHOD_ANY;
	if (!json_read_member(p->doc, item, STR("methods"), JSON_OPTIONAL, JSON_ARRAY, &methods,
			      p->error))
		return false;
	if (!methods)
		return true;
	route->methods = 0;
	for (guint i = 0; i < methods->items->len; i++) {
		const struct json *method = g_ptr_array_index(methods->items, i);

		if (!json_check_kind(p->doc, method, JSON_STRING, p->error))
			return false;
		if (!method_bit(method->string))
			return json_fail(p->doc, method, CONFIG_ERROR_TYPE, p->error,
					 "\"%.*s\": expected a method such as GET or POST",
					 STR_ARG(method->string));
		route->methods |= method_bit(method->string);
	}
	return true;
}

static bool parse_repeat(struct parser *p, const struct json *item, struct route *route)
{
	struct str repeat = STR("not-run");
	struct json *value;

	if (!json_read_str(p->doc, item, STR("repeat"), JSON_OPTIONAL, &repeat, p->error))
		return false;
	value = json_get(item, STR("repeat"));
	if (str_equal(repeat, STR("idempotent")))
		route->repeat = REPEAT_IDEMPOTENT;
	else if (str_equal(repeat, STR("not-run")))
		route->repeat = REPEAT_NOT_RUN;
	else if (str_equal(repeat, STR("at-most-once")))
		route->repeat = REPEAT_AT_MOST_ONCE;
	else
		return json_fail(
			p->doc, value, CONFIG_ERROR_TYPE, p->error,
			"\"%.*s\": expected \"idempotent\", \"not-run\" or \"at-most-once\"",
			STR_ARG(repeat));
	return true;
}

static bool parse_class(struct parser *p, const struct json *item, struct route *route)
{
	struct str name = STR("standard");

	if (!json_read_str(p->doc, item, STR("class"), JSON_OPTIONAL, &name, p->error))
		return false;
	if (traffic_class_parse(name, &route->class))
		return true;
	return json_fail(p->doc, json_get(item, STR("class")), CONFIG_ERROR_TYPE, p->error,
			 "\"%.*s\": expected \"interactive\", \"standard\", \"bulk\" or "
			 "\"background\"",
			 STR_ARG(name));
}

static bool parse_match(struct parser *p, const struct json *item, struct route *route)
{
	struct str host = STR("");
	struct str path = STR("");
	struct str tenant = STR("");

	if (!json_read_str(p->doc, item, STR("host"), JSON_OPTIONAL, &host, p->error) ||
	    !json_read_str(p->doc, item, STR("path"), JSON_REQUIRED, &path, p->error) ||
	    !json_read_str(p->doc, item, STR("tenant_header"), JSON_OPTIONAL, &tenant, p->error) ||
	    !parse_methods(p, item, route))
		return false;
	if (path.len == 0 || path.data[0] != '/')
		return json_fail(p->doc, json_get(item, STR("path")), CONFIG_ERROR_TYPE, p->error,
				 "\"%.*s\": expected a path that starts with '/'", STR_ARG(path));
	route->host = config_file_copy_str(p->file, host);
	route->path = config_file_copy_str(p->file, path);
	route->tenant_header = config_file_copy_str(p->file, tenant);
	return true;
}

static bool parse_weighted_destination(struct parser *p, const struct json *item,
				       struct route *route)
{
	struct route_destination destination = { 0 };

	if (!json_check_kind(p->doc, item, JSON_OBJECT, p->error) ||
	    !json_read_label(p->doc, item, STR("service"), JSON_REQUIRED, &destination.service,
			     p->error) ||
	    !json_read_int(p->doc, item, STR("weight"), JSON_REQUIRED, 0, WEIGHT_MAX,
			   &destination.weight, p->error) ||
	    !json_check_unknown_keys(p->doc, item, p->error))
		return false;
	route->weight_sum += destination.weight;
	g_array_append_val(route->destinations, destination);
	return true;
}

/* Parses the destination of a route's calls: one service, or several with weights. */
static bool parse_destinations(struct parser *p, const struct json *item, struct route *route)
{
	struct json *destinations;

	if (!json_read_member(p->doc, item, STR("parts"), JSON_OPTIONAL, JSON_ARRAY, &destinations,
			      p->error))
		return false;
	if (!destinations)
		return json_read_label(p->doc, item, STR("service"), JSON_REQUIRED, &route->service,
				       p->error);
	route->destinations = g_array_new(FALSE, TRUE, sizeof(struct route_destination));
	for (guint i = 0; i < destinations->items->len; i++)
		if (!parse_weighted_destination(p, g_ptr_array_index(destinations->items, i),
						route))
			return false;
	if (route->weight_sum == 0)
		return json_fail(p->doc, destinations, CONFIG_ERROR_SHARE, p->error,
				 "expected a weight above 0");
	route->service = g_array_index(route->destinations, struct route_destination, 0).service;
	return true;
}

static bool parse_limits(struct parser *p, const struct json *item, struct route *route)
{
	int64_t timeout_ms = TIMEOUT_DEFAULT_MS;
	int64_t objective_ms = 0;
	int64_t concurrency = 100;
	int64_t attempts = 0;
	struct json *is_public;

	if (!json_read_int(p->doc, item, STR("deadline_ms"), JSON_OPTIONAL, 1, TIMEOUT_MAX_MS,
			   &timeout_ms, p->error) ||
	    !json_read_int(p->doc, item, STR("objective_ms"), JSON_OPTIONAL, 1, TIMEOUT_MAX_MS,
			   &objective_ms, p->error) ||
	    !json_read_int(p->doc, item, STR("attempts"), JSON_OPTIONAL, 1, ATTEMPTS_MAX, &attempts,
			   p->error) ||
	    !json_read_int(p->doc, item, STR("concurrency_percent"), JSON_OPTIONAL, 1, 100,
			   &concurrency, p->error) ||
	    !json_read_member(p->doc, item, STR("public"), JSON_OPTIONAL, JSON_BOOL, &is_public,
			      p->error))
		return false;
	route->is_public = is_public && is_public->boolean;
	route->timeout_us = timeout_ms * US_PER_MS;
	route->objective_us = objective_ms * US_PER_MS;
	route->attempts = (int)attempts;
	route->concurrency_percent = (int)concurrency;
	return true;
}

static bool parse_route(struct parser *p, const struct json *item)
{
	struct route route = { .line = item->line };
	bool valid =
		json_check_kind(p->doc, item, JSON_OBJECT, p->error) &&
		json_read_label(p->doc, item, STR("name"), JSON_REQUIRED, &route.name, p->error) &&
		parse_destinations(p, item, &route) && parse_match(p, item, &route) &&
		parse_class(p, item, &route) && parse_repeat(p, item, &route) &&
		parse_limits(p, item, &route) && json_check_unknown_keys(p->doc, item, p->error);

	/* The file owns the destinations, also those of an invalid route. */
	g_array_append_val(p->file->routes, route);
	return valid;
}

static bool parse_key(struct parser *p, const struct json *item, struct tenant *tenant)
{
	struct str key;

	if (!json_check_kind(p->doc, item, JSON_STRING, p->error))
		return false;
	if (item->string.len == 0 || item->string.len > KEY_MAX_BYTES)
		return json_fail(p->doc, item, CONFIG_ERROR_TYPE, p->error,
				 "expected a key of 1 to %d bytes", KEY_MAX_BYTES);
	key = config_file_copy_str(p->file, item->string);
	g_array_append_val(tenant->keys, key);
	return true;
}

static bool parse_tenant_class(struct parser *p, const struct json *item, struct tenant *tenant)
{
	struct str name = STR("");

	if (!json_read_str(p->doc, item, STR("class"), JSON_OPTIONAL, &name, p->error))
		return false;
	tenant->has_class = name.len > 0;
	if (!tenant->has_class || traffic_class_parse(name, &tenant->class))
		return true;
	return json_fail(p->doc, json_get(item, STR("class")), CONFIG_ERROR_TYPE, p->error,
			 "\"%.*s\": expected \"interactive\", \"standard\", \"bulk\" or "
			 "\"background\"",
			 STR_ARG(name));
}

static bool parse_tenant(struct parser *p, const struct json *item)
{
	struct tenant tenant = { .name = label_from(item->key), .line = item->line };
	struct json *keys;

	if (!json_check_name(p->doc, item, item->key, p->error) ||
	    !json_check_kind(p->doc, item, JSON_OBJECT, p->error) ||
	    !json_read_member(p->doc, item, STR("keys"), JSON_REQUIRED, JSON_ARRAY, &keys,
			      p->error) ||
	    !parse_tenant_class(p, item, &tenant) ||
	    !parse_rate(p, item, STR("limit_per_s"), &tenant.limit_per_s) ||
	    !parse_rate(p, item, STR("burst"), &tenant.burst) ||
	    !json_check_unknown_keys(p->doc, item, p->error))
		return false;
	tenant.keys = g_array_new(FALSE, FALSE, sizeof(struct str));
	g_array_append_val(p->file->tenants, tenant);
	for (guint i = 0; i < keys->items->len; i++)
		if (!parse_key(p, g_ptr_array_index(keys->items, i), &tenant))
			return false;
	return true;
}

static bool parse_time(struct parser *p, const struct json *item, struct str key, int64_t *wall_us)
{
	struct str text = STR("");

	if (!json_read_str(p->doc, item, key, JSON_REQUIRED, &text, p->error))
		return false;
	if (clock_parse_utc(text, wall_us))
		return true;
	return json_fail(p->doc, json_get(item, key), CONFIG_ERROR_TIME, p->error,
			 "\"%.*s\": expected a time such as \"2026-12-04T10:00:00Z\"",
			 STR_ARG(text));
}

static bool parse_move(struct parser *p, const struct json *item)
{
	struct move_spec move = { .line = item->line };

	if (!json_check_kind(p->doc, item, JSON_OBJECT, p->error) ||
	    !json_read_label(p->doc, item, STR("service"), JSON_REQUIRED, &move.service,
			     p->error) ||
	    !json_read_label(p->doc, item, STR("from"), JSON_OPTIONAL, &move.from, p->error) ||
	    !json_read_label(p->doc, item, STR("to"), JSON_REQUIRED, &move.to, p->error) ||
	    !parse_time(p, item, STR("start"), &move.start_at_us) ||
	    !parse_time(p, item, STR("finish"), &move.finish_at_us) ||
	    !json_check_unknown_keys(p->doc, item, p->error))
		return false;
	if (move.start_at_us >= move.finish_at_us)
		return json_fail(p->doc, json_get(item, STR("finish")), CONFIG_ERROR_TIME, p->error,
				 "expected a time after the start");
	if (p->file->moves->len >= MOVES_PER_FILE)
		return json_fail(p->doc, item, CONFIG_ERROR_TYPE, p->error,
				 "expected at most %d moves in a file", MOVES_PER_FILE);
	g_array_append_val(p->file->moves, move);
	return true;
}

static bool parse_switch(struct parser *p, const struct json *scope, const struct json *item)
{
	struct auto_switch entry = { .line = item->line };

	if (!auto_kind_parse(item->key, &entry.kind))
		return json_fail(p->doc, item, CONFIG_ERROR_TYPE, p->error,
				 "unknown key, expected \"advance\", \"withdraw\", \"eject\" or "
				 "\"quarantine\"");
	if (!json_check_kind(p->doc, item, JSON_STRING, p->error))
		return false;
	if (str_equal(item->string, STR("off")))
		entry.off = true;
	else if (!str_equal(item->string, STR("on")))
		return json_fail(p->doc, item, CONFIG_ERROR_TYPE, p->error,
				 "\"%.*s\": expected \"on\" or \"off\"", STR_ARG(item->string));
	if (!str_equal(scope->key, STR("all")))
		entry.service = label_from(scope->key);
	g_array_append_val(p->file->switches, entry);
	return true;
}

static bool parse_switches(struct parser *p, const struct json *scope)
{
	if (!json_check_name(p->doc, scope, scope->key, p->error) ||
	    !json_check_kind(p->doc, scope, JSON_OBJECT, p->error))
		return false;
	for (guint i = 0; i < scope->items->len; i++)
		if (!parse_switch(p, scope, g_ptr_array_index(scope->items, i)))
			return false;
	return true;
}

static bool parse_evacuated(struct parser *p, const struct json *item)
{
	struct label name;

	if (!json_check_kind(p->doc, item, JSON_STRING, p->error))
		return false;
	if (item->string.len == 0 || !label_fits(item->string))
		return json_fail(p->doc, item, CONFIG_ERROR_TYPE, p->error,
				 "expected a data centre's name of 1 to %d characters",
				 LABEL_MAX_BYTES);
	name = label_from(item->string);
	g_array_append_val(p->file->evacuated, name);
	return true;
}

static bool parse_section(struct parser *p, struct str key, enum json_kind kind,
			  bool (*parse_item)(struct parser *p, const struct json *item))
{
	struct json *section;

	if (!json_read_member(p->doc, p->doc->root, key, JSON_OPTIONAL, kind, &section, p->error))
		return false;
	for (guint i = 0; section && i < section->items->len; i++)
		if (!parse_item(p, g_ptr_array_index(section->items, i)))
			return false;
	return true;
}

static bool parse_tenants(struct parser *p)
{
	p->file->has_tenants = json_get(p->doc->root, STR("tenants")) != NULL;
	return parse_section(p, STR("tenants"), JSON_OBJECT, parse_tenant);
}

static bool parse_root(struct parser *p)
{
	return json_check_kind(p->doc, p->doc->root, JSON_OBJECT, p->error) &&
	       json_read_int(p->doc, p->doc->root, STR("serial"), JSON_OPTIONAL, 1, INT64_MAX,
			     &p->file->serial, p->error) &&
	       parse_section(p, STR("services"), JSON_OBJECT, parse_service) &&
	       parse_section(p, STR("routes"), JSON_ARRAY, parse_route) &&
	       parse_section(p, STR("moves"), JSON_ARRAY, parse_move) &&
	       parse_section(p, STR("switches"), JSON_OBJECT, parse_switches) && parse_tenants(p) &&
	       parse_section(p, STR("evacuate"), JSON_ARRAY, parse_evacuated) &&
	       json_check_unknown_keys(p->doc, p->doc->root, p->error);
}

struct config_file *parse_config(struct str file, struct str text, GError **error)
{
	struct json_doc *doc = json_parse(file, text, error);
	struct parser parser = { .doc = doc, .error = error };
	bool valid;

	if (!doc)
		return NULL;
	parser.file = config_file_new();
	valid = parse_root(&parser);
	json_free(doc);
	if (valid)
		return parser.file;
	config_file_free(parser.file);
	return NULL;
}

void parse_change(struct change *change)
{
	GError *error = NULL;

	if (change->parsed || change->parse_error || change->content.len == 0 ||
	    change->base == CHANGE_INVALID_BASE)
		return;
	change->parsed = parse_config(label_str(&change->file), change->content, &error);
	if (change->parsed)
		return;
	change->parse_error = g_strdup(error->message);
	g_error_free(error);
}

static void parse_file_changes(const GPtrArray *files)
{
	for (guint i = 0; i < files->len; i++) {
		const struct accepted_file *file = g_ptr_array_index(files, i);

		parse_change(file->change);
	}
}

void parse_message_changes(struct message *message)
{
	if (message->kind == MESSAGE_RECORDS)
		for (int i = 0; i < message->records.count; i++)
			parse_change(message->records.records[i].change);
	if (message->kind == MESSAGE_SNAPSHOT)
		parse_file_changes(message->snapshot.files);
}

void parse_record_changes(struct log_record *record)
{
	switch (record->kind) {
	case LOG_CHANGE:
		parse_change(record->change);
		return;
	case LOG_SNAPSHOT:
		parse_file_changes(record->snapshot.files);
		return;
	case LOG_MOVE:
	case LOG_CLAIMS:
	case LOG_INVALID:
		return;
	}
	g_assert_not_reached();
}
