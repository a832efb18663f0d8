#include "godwithitchd/settings.h"

#include <string.h>

#include "base/address.h"
#include "operator/json.h"

enum {
	WORKERS_MIN = 16,
	WORKERS_DEFAULT = 32,
	CONNECTIONS_DEFAULT = 2000,
	CONNECTIONS_PER_ADDRESS_DEFAULT = 500,
	IDLE_DEFAULT_S = 60,
	MEMORY_MIN_MB = 32,
	MEMORY_MAX_MB = 1 << 20,
	RETENTION_DEFAULT_S = 3600,
};

#define BODY_DEFAULT_BYTES	(4LL << 30)
#define STOP_DEFAULT_US		(600 * US_PER_S)
#define APPLY_WITHIN_MAX_US	(600 * US_PER_S)
#define APPLY_WITHIN_DEFAULT_US (8 * US_PER_S)
#define STOP_MAX_US		(86400 * US_PER_S)
#define ANNOUNCE_TTL_MAX_US	(60 * US_PER_S)
#define RETRY_RATIO_DEFAULT	0.1 /* extra load from retries when every call fails */
#define LINK_MAX_MBPS		1e6 /* 1 Tbit/s; a larger value is taken for a typing error */
#define RETRY_SLACK_DEFAULT	0
#define QUOTA_WINDOW_DEFAULT_US (5 * US_PER_S)
#define QUOTA_WINDOW_MAX_US	(600 * US_PER_S)
#define QUOTA_TOLERANCE_DEFAULT 0.1
#define QUOTA_ALLOWANCE_DEFAULT 20
#define QUOTA_ALLOWANCE_MAX	1e6
#define COLD_FACTOR_DEFAULT	1.5
#define COLD_FACTOR_MAX		100.0
#define COLD_ALLOWANCE_DEFAULT	8.0
#define COLD_ALLOWANCE_MAX	1e6

/** A document that is being read, and the destinations of its values and errors. */
struct settings_reader {
	const struct json_doc *doc;
	struct settings *settings;
	GError **error;
};

static bool read_endpoint(struct settings_reader *r, struct str key, struct endpoint *endpoint)
{
	struct str text = STR("");

	if (!json_read_str(r->doc, r->doc->root, key, JSON_REQUIRED, &text, r->error))
		return false;
	if (address_parse(text, &endpoint->ipv4, &endpoint->port))
		return true;
	return json_fail(r->doc, json_get(r->doc->root, key), CONFIG_ERROR_TYPE, r->error,
			 "\"%.*s\": expected an address such as \"10.0.0.1:7000\"", STR_ARG(text));
}

static bool read_seeds(struct settings_reader *r)
{
	struct json *seeds;

	if (!json_read_member(r->doc, r->doc->root, STR("seeds"), JSON_OPTIONAL, JSON_ARRAY, &seeds,
			      r->error))
		return false;
	for (guint i = 0; seeds && i < seeds->items->len; i++) {
		const struct json *seed = g_ptr_array_index(seeds->items, i);
		struct endpoint endpoint;
		uint64_t id;

		if (!json_check_kind(r->doc, seed, JSON_STRING, r->error))
			return false;
		if (!address_parse(seed->string, &endpoint.ipv4, &endpoint.port) ||
		    endpoint.port == 0)
			return json_fail(r->doc, seed, CONFIG_ERROR_TYPE, r->error,
					 "\"%.*s\": expected an address such as \"10.0.0.1:7000\"",
					 STR_ARG(seed->string));
		id = member_id(endpoint.ipv4, endpoint.port);
		g_array_append_val(r->settings->seeds, id);
	}
	return true;
}

static bool parse_range(struct str text, struct address_range *range)
{
	struct str prefix_text;
	struct str ip = str_split(text, '/', &prefix_text);
	int64_t bits;

	if (!address_parse_ipv4(ip, &range->network) || !str_to_int64(prefix_text, &bits) ||
	    bits < 0 || bits > 32)
		return false;
	range->prefix_bits = (int)bits;
	return true;
}

static bool read_fleet(struct settings_reader *r)
{
	struct json *fleet;

	if (!json_read_member(r->doc, r->doc->root, STR("fleet"), JSON_REQUIRED, JSON_ARRAY, &fleet,
			      r->error))
		return false;
	if (fleet->items->len == 0 || fleet->items->len > RANGES_MAX)
		return json_fail(r->doc, fleet, CONFIG_ERROR_TYPE, r->error,
				 "expected 1 to %d ranges", RANGES_MAX);
	for (guint i = 0; i < fleet->items->len; i++) {
		const struct json *item = g_ptr_array_index(fleet->items, i);

		if (!json_check_kind(r->doc, item, JSON_STRING, r->error))
			return false;
		if (!parse_range(item->string, &r->settings->fleet[i]))
			return json_fail(r->doc, item, CONFIG_ERROR_TYPE, r->error,
					 "\"%.*s\": expected a range such as \"10.0.0.0/8\"",
					 STR_ARG(item->string));
		r->settings->fleet_count++;
	}
	return true;
}

static bool read_integer(struct settings_reader *r, struct str key, int64_t min, int64_t max,
			 int64_t default_value, int64_t *out)
{
	*out = default_value;
	return json_read_int(r->doc, r->doc->root, key, JSON_OPTIONAL, min, max, out, r->error);
}

/* Reads a number from 0 to @p max, integer or not; a missing key leaves *out as it is. */
static bool read_double(struct settings_reader *r, struct str key, double max, double *out)
{
	const struct json *value = json_get(r->doc->root, key);

	if (!value)
		return true;
	if (value->kind == JSON_INTEGER)
		*out = (double)value->integer;
	else if (value->kind == JSON_DOUBLE)
		*out = value->number;
	else
		return json_check_kind(r->doc, value, JSON_DOUBLE, r->error);
	if (*out >= 0 && *out <= max)
		return true;
	return json_fail(r->doc, value, CONFIG_ERROR_TYPE, r->error,
			 "expected a number from 0 to %g", max);
}

static bool read_seconds(struct settings_reader *r, struct str key, int64_t max_us,
			 int64_t default_us, int64_t *us)
{
	double seconds = (double)default_us / US_PER_S;
	bool valid = read_double(r, key, (double)max_us / US_PER_S, &seconds);

	*us = (int64_t)(seconds * US_PER_S);
	return valid;
}

static bool read_interface(struct settings_reader *r)
{
	struct str name = STR("own");

	if (!json_read_str(r->doc, r->doc->root, STR("interface"), JSON_OPTIONAL, &name, r->error))
		return false;
	if (str_equal(name, STR("own")))
		r->settings->interface = INTERFACE_NATIVE;
	else if (str_equal(name, STR("platform")))
		r->settings->interface = INTERFACE_PLATFORM;
	else
		return json_fail(r->doc, json_get(r->doc->root, STR("interface")),
				 CONFIG_ERROR_TYPE, r->error,
				 "\"%.*s\": expected \"own\" or \"platform\"", STR_ARG(name));
	return json_read_label(r->doc, r->doc->root, STR("service"), JSON_OPTIONAL,
			       &r->settings->service, r->error);
}

static bool read_quota(struct settings_reader *r)
{
	struct quota_options *quota = &r->settings->quota;

	*quota = (struct quota_options){ .tolerance = QUOTA_TOLERANCE_DEFAULT,
					 .allowance = QUOTA_ALLOWANCE_DEFAULT };
	return read_seconds(r, STR("limit_window_s"), QUOTA_WINDOW_MAX_US, QUOTA_WINDOW_DEFAULT_US,
			    &quota->window_us) &&
	       read_double(r, STR("limit_tolerance"), 1, &quota->tolerance) &&
	       read_double(r, STR("limit_allowance"), QUOTA_ALLOWANCE_MAX, &quota->allowance);
}

static bool read_times_and_rates(struct settings_reader *r)
{
	struct settings *s = r->settings;

	s->retry_ratio = RETRY_RATIO_DEFAULT;
	return read_seconds(r, STR("stop_within_s"), STOP_MAX_US, STOP_DEFAULT_US,
			    &s->stop_within_us) &&
	       read_seconds(r, STR("stop_notice_s"), STOP_MAX_US, 0, &s->stop_notice_us) &&
	       read_seconds(r, STR("apply_within_s"), APPLY_WITHIN_MAX_US, APPLY_WITHIN_DEFAULT_US,
			    &s->apply_within_us) &&
	       read_seconds(r, STR("revoke_within_s"), APPLY_WITHIN_MAX_US, 0,
			    &s->revoke_within_us) &&
	       read_quota(r) &&
	       read_seconds(r, STR("evacuate_within_s"), APPLY_WITHIN_MAX_US, 0,
			    &s->evacuate_within_us) &&
	       read_seconds(r, STR("announce_ttl_s"), ANNOUNCE_TTL_MAX_US, 0,
			    &s->announce_ttl_us) &&
	       read_double(r, STR("retry_ratio"), 1, &s->retry_ratio) &&
	       read_double(r, STR("link_mbps"), LINK_MAX_MBPS, &s->link_mbps);
}

static bool read_warmup(struct settings_reader *r)
{
	struct warmup_options *warmup = &r->settings->warmup;

	*warmup = (struct warmup_options){ .cold_factor = COLD_FACTOR_DEFAULT,
					   .cold_allowance = COLD_ALLOWANCE_DEFAULT };
	if (!read_double(r, STR("cold_factor"), COLD_FACTOR_MAX, &warmup->cold_factor) ||
	    !read_double(r, STR("cold_allowance"), COLD_ALLOWANCE_MAX, &warmup->cold_allowance))
		return false;
	return warmup->cold_factor >= 1 ||
	       json_fail(r->doc, json_get(r->doc->root, STR("cold_factor")), CONFIG_ERROR_TYPE,
			 r->error, "expected a number of 1 or more");
}

/* The size of the VM; 0 if it is not stated. */
static bool read_memory(struct settings_reader *r)
{
	return read_integer(r, STR("memory_mb"), MEMORY_MIN_MB, MEMORY_MAX_MB, 0,
			    &r->settings->memory_mb);
}

static bool read_integers(struct settings_reader *r)
{
	struct settings *s = r->settings;

	return read_integer(r, STR("log_retention_s"), 10, 30LL * 86400, RETENTION_DEFAULT_S,
			    &s->log_retention_s) &&
	       read_integer(r, STR("retry_slack"), 0, 100000, RETRY_SLACK_DEFAULT,
			    &s->retry_slack) &&
	       read_integer(r, STR("workers"), WORKERS_MIN, 1024, WORKERS_DEFAULT, &s->workers) &&
	       read_integer(r, STR("connections"), 1, 100000, CONNECTIONS_DEFAULT,
			    &s->connections) &&
	       read_integer(r, STR("connections_per_address"), 1, 100000,
			    CONNECTIONS_PER_ADDRESS_DEFAULT, &s->connections_per_address) &&
	       read_memory(r) &&
	       read_integer(r, STR("idle_s"), 1, 3600, IDLE_DEFAULT_S, &s->idle_s) &&
	       read_integer(r, STR("body_max_bytes"), 0, 1LL << 40, BODY_DEFAULT_BYTES,
			    &s->body_max_bytes);
}

static bool read_first_start(struct settings_reader *r)
{
	struct json *value;

	if (!json_read_member(r->doc, r->doc->root, STR("first_start"), JSON_OPTIONAL, JSON_BOOL,
			      &value, r->error))
		return false;
	r->settings->first_start = value && value->boolean;
	return true;
}

static bool read_strings(struct settings_reader *r)
{
	struct str url = STR("");
	struct str log_file = STR("-");

	if (!json_read_label(r->doc, r->doc->root, STR("data_centre"), JSON_REQUIRED,
			     &r->settings->data_centre, r->error) ||
	    !json_read_str(r->doc, r->doc->root, STR("log"), JSON_REQUIRED, &url, r->error) ||
	    !json_read_str(r->doc, r->doc->root, STR("log_file"), JSON_OPTIONAL, &log_file,
			   r->error))
		return false;
	if (!str_has_prefix(url, STR("http://")))
		return json_fail(r->doc, json_get(r->doc->root, STR("log")), CONFIG_ERROR_TYPE,
				 r->error, "\"%.*s\": expected a URL that starts with http://",
				 STR_ARG(url));
	r->settings->log_url = str_dup(url);
	r->settings->log_file = str_to_cstr(log_file);
	return true;
}

static bool read_settings(struct settings_reader *r)
{
	return json_check_kind(r->doc, r->doc->root, JSON_OBJECT, r->error) &&
	       read_endpoint(r, STR("address"), &r->settings->address) &&
	       read_endpoint(r, STR("callers"), &r->settings->callers) &&
	       read_endpoint(r, STR("control"), &r->settings->control) &&
	       read_endpoint(r, STR("announce"), &r->settings->announce) && read_strings(r) &&
	       read_interface(r) && read_first_start(r) && read_seeds(r) && read_fleet(r) &&
	       read_integers(r) && read_times_and_rates(r) && read_warmup(r) &&
	       json_check_unknown_keys(r->doc, r->doc->root, r->error);
}

bool settings_read(const char *path, struct settings *settings, GError **error)
{
	struct settings_reader reader = { .settings = settings, .error = error };
	struct json_doc *doc;
	char *text;
	gsize len;
	bool valid;

	*settings = (struct settings){ 0 };
	if (!g_file_get_contents(path, &text, &len, error))
		return false;
	settings->seeds = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	doc = json_parse(str_from_cstr(path), (struct str){ text, len }, error);
	reader.doc = doc;
	valid = doc && read_settings(&reader);
	json_free(doc);
	g_free(text);
	if (!valid)
		settings_clear(settings);
	return valid;
}

void settings_clear(struct settings *settings)
{
	if (settings->seeds)
		g_array_unref(settings->seeds);
	g_free((char *)settings->log_url.data);
	g_free(settings->log_file);
	*settings = (struct settings){ 0 };
}
