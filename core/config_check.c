#include "core/config_check.h"

#include <string.h>

#include "base/clock.h"

enum { FIRST_LINE = 1 };

/* A running check. */
struct config_check {
	const struct config *config;
	const struct config_check_options *options;
	const struct accepted_file *file; /* whose declarations are looked at */
	GArray *findings;
};

struct str finding_kind_name(enum finding_kind kind)
{
	switch (kind) {
	case FINDING_ROUTE_COVERED:
		return STR("route-covered");
	case FINDING_ROUTE_WITHOUT_METHOD:
		return STR("route-without-method");
	case FINDING_HOST_WITH_PORT:
		return STR("host-with-port");
	case FINDING_SERVICE_UNUSED:
		return STR("service-unused");
	case FINDING_WEIGHT_ZERO:
		return STR("weight-zero");
	case FINDING_VERSION_WITHOUT_SHARE:
		return STR("version-without-share");
	case FINDING_MOVE_WITHOUT_SERVICE:
		return STR("move-without-service");
	case FINDING_SWITCH_OVERRIDDEN:
		return STR("switch-overridden");
	case FINDING_OBJECTIVE_BEYOND_DEADLINE:
		return STR("objective-beyond-deadline");
	case FINDING_ATTEMPTS_BEYOND_DEADLINE:
		return STR("attempts-beyond-deadline");
	case FINDING_STOP_BEFORE_DEADLINE:
		return STR("stop-before-deadline");
	case FINDING_PUBLIC_WITHOUT_TENANTS:
		return STR("public-without-tenants");
	case FINDING_TENANT_HEADER_UNUSED:
		return STR("tenant-header-unused");
	case FINDING_TENANT_WITHOUT_KEYS:
		return STR("tenant-without-keys");
	case FINDING_BURST_WITHOUT_LIMIT:
		return STR("burst-without-limit");
	case FINDING_WARMUP_WITHOUT_LIMIT:
		return STR("warmup-without-limit");
	case FINDING_EVACUATED_TWICE:
		return STR("evacuated-twice");
	}
	g_assert_not_reached();
}

/* Returns a new finding, whose path and text the caller sets. */
static struct finding *add_finding(struct config_check *check, enum finding_kind kind, int line)
{
	struct finding finding = { .kind = kind, .file = check->file->name, .line = line };

	g_array_append_val(check->findings, finding);
	return &g_array_index(check->findings, struct finding, check->findings->len - 1);
}

static void add_route_finding(struct config_check *check, enum finding_kind kind,
			      const struct route *route, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

static void add_route_finding(struct config_check *check, enum finding_kind kind,
			      const struct route *route, const char *format, ...)
{
	struct finding *finding = add_finding(check, kind, route->line);
	va_list args;

	g_snprintf(finding->path, sizeof(finding->path), "routes.%.*s",
		   STR_ARG(label_str(&route->name)));
	va_start(args, format);
	g_vsnprintf(finding->text, sizeof(finding->text), format, args);
	va_end(args);
}

/* Routes are tried by the length of their paths, so that one that goes first and has another path
 * leaves at least that path itself. */
static bool takes_hosts_and_paths_of(const struct route *first, const struct route *route)
{
	return str_equal(first->path, route->path) &&
	       (first->host.len == 0 || str_equal_nocase(first->host, route->host));
}

static void check_covered(struct config_check *check, const struct route *route)
{
	const struct route *last = NULL;
	int remaining = route->methods;

	for (guint i = 0; i < check->config->routes->len && remaining; i++) {
		const struct route *first = g_ptr_array_index(check->config->routes, i);

		if (first == route)
			return;
		if (!(first->methods & remaining) || !takes_hosts_and_paths_of(first, route))
			continue;
		remaining &= ~first->methods;
		last = first;
	}
	if (last)
		add_route_finding(check, FINDING_ROUTE_COVERED, route,
				  "it never matches: route \"%.*s\" goes first for what is left to "
				  "it",
				  STR_ARG(label_str(&last->name)));
}

static void check_match(struct config_check *check, const struct route *route)
{
	if (memchr(route->host.data, ':', route->host.len))
		add_route_finding(check, FINDING_HOST_WITH_PORT, route,
				  "it never matches: hosts are compared without a port");
	if (route->methods == 0)
		add_route_finding(check, FINDING_ROUTE_WITHOUT_METHOD, route,
				  "it never matches: its list of methods is empty");
	else
		check_covered(check, route);
}

static void check_destinations(struct config_check *check, const struct route *route)
{
	for (guint i = 0; route->destinations && i < route->destinations->len; i++) {
		const struct route_destination *destination =
			&g_array_index(route->destinations, struct route_destination, i);

		if (destination->weight == 0)
			add_route_finding(check, FINDING_WEIGHT_ZERO, route,
					  "service \"%.*s\" has the weight 0 and gets no calls",
					  STR_ARG(label_str(&destination->service)));
	}
}

/* Returns how many attempts begin before the deadline if each takes as long as the objective. */
static int64_t attempts_in_time(const struct route *route)
{
	return (route->timeout_us + route->objective_us - 1) / route->objective_us;
}

static void check_limits(struct config_check *check, const struct route *route)
{
	int64_t stop_us = check->options->stop_within_us;

	if (route->objective_us > route->timeout_us)
		add_route_finding(check, FINDING_OBJECTIVE_BEYOND_DEADLINE, route,
				  "the objective of %lld ms is beyond the deadline of %lld ms",
				  route->objective_us / US_PER_MS, route->timeout_us / US_PER_MS);
	else if (route->objective_us && route->attempts > attempts_in_time(route))
		add_route_finding(check, FINDING_ATTEMPTS_BEYOND_DEADLINE, route,
				  "of %d attempts of %lld ms each only %ld begin before the "
				  "deadline of %lld ms",
				  route->attempts, route->objective_us / US_PER_MS,
				  attempts_in_time(route), route->timeout_us / US_PER_MS);
	if (stop_us && route->timeout_us > stop_us)
		add_route_finding(check, FINDING_STOP_BEFORE_DEADLINE, route,
				  "calls may take %lld ms, but a stop ends after %lld ms",
				  route->timeout_us / US_PER_MS, stop_us / US_PER_MS);
}

static void check_tenant_rules(struct config_check *check, const struct route *route)
{
	if (route->is_public && !check->config->has_tenants)
		add_route_finding(check, FINDING_PUBLIC_WITHOUT_TENANTS, route,
				  "\"public\" has no effect: no tenants are declared, so that no "
				  "route needs a key");
	if (route->tenant_header.len && !route->is_public && check->config->has_tenants)
		add_route_finding(check, FINDING_TENANT_HEADER_UNUSED, route,
				  "\"tenant_header\" has no effect: the tenant is that of the key");
}

static bool route_names(const struct route *route, struct label service)
{
	if (!route->destinations)
		return label_equal(&route->service, &service);
	for (guint i = 0; i < route->destinations->len; i++)
		if (label_equal(&g_array_index(route->destinations, struct route_destination, i)
					 .service,
				&service))
			return true;
	return false;
}

static bool is_used(const struct config *config, struct label service)
{
	for (guint i = 0; i < config->routes->len; i++)
		if (route_names(g_ptr_array_index(config->routes, i), service))
			return true;
	return false;
}

static bool has_move_to(const struct config *config, struct label service, struct label version)
{
	for (guint i = 0; i < config->moves->len; i++) {
		const struct move_spec *move = &g_array_index(config->moves, struct move_spec, i);

		if (label_equal(&move->service, &service) && label_equal(&move->to, &version))
			return true;
	}
	return false;
}

static void add_service_finding(struct config_check *check, enum finding_kind kind,
				const struct service *service, const char *text)
{
	struct finding *finding = add_finding(check, kind, service->line);

	g_snprintf(finding->path, sizeof(finding->path), "services.%.*s",
		   STR_ARG(label_str(&service->name)));
	g_strlcpy(finding->text, text, sizeof(finding->text));
}

static void check_service(struct config_check *check, const struct service *service)
{
	struct str name = label_str(&service->name);

	if (!is_used(check->config, service->name))
		add_service_finding(check, FINDING_SERVICE_UNUSED, service,
				    "no route uses the service");
	if (service->warmup.duration_us && service->warmup.per_s <= 0)
		add_service_finding(check, FINDING_WARMUP_WITHOUT_LIMIT, service,
				    "\"warmup_ms\" has no effect without \"cold_calls_per_s\"");
	for (guint i = 0; i < service->versions->len; i++) {
		const struct version *version =
			&g_array_index(service->versions, struct version, i);
		struct finding *finding;

		if (version->share_percent ||
		    has_move_to(check->config, service->name, version->name))
			continue;
		finding = add_finding(check, FINDING_VERSION_WITHOUT_SHARE, service->line);
		g_snprintf(finding->path, sizeof(finding->path), "services.%.*s.versions.%.*s",
			   STR_ARG(name), STR_ARG(label_str(&version->name)));
		g_strlcpy(finding->text,
			  "it has no share, and no move goes to it: it gets no calls",
			  sizeof(finding->text));
	}
}

static void check_move(struct config_check *check, guint index, const struct move_spec *move)
{
	struct finding *finding;

	if (config_find_service(check->config, move->service))
		return;
	finding = add_finding(check, FINDING_MOVE_WITHOUT_SERVICE, move->line);
	g_snprintf(finding->path, sizeof(finding->path), "moves[%u]", index);
	g_snprintf(finding->text, sizeof(finding->text),
		   "it has no effect: no service \"%.*s\" is declared",
		   STR_ARG(label_str(&move->service)));
}

/* Off for all overrides any "on" for a service. */
static void check_switch(struct config_check *check, const struct auto_switch *setting)
{
	struct str kind = auto_kind_name(setting->kind);
	struct finding *finding;

	if (setting->off || setting->service.len == 0)
		return;
	for (guint i = 0; i < check->config->switches->len; i++) {
		const struct auto_switch *other =
			&g_array_index(check->config->switches, struct auto_switch, i);

		if (other->kind != setting->kind || other->service.len || !other->off)
			continue;
		finding = add_finding(check, FINDING_SWITCH_OVERRIDDEN, setting->line);
		g_snprintf(finding->path, sizeof(finding->path), "switches.%.*s.%.*s",
			   STR_ARG(label_str(&setting->service)), STR_ARG(kind));
		g_snprintf(finding->text, sizeof(finding->text),
			   "it has no effect: \"%.*s\" is off for all", STR_ARG(kind));
	}
}

static void check_tenant(struct config_check *check, const struct tenant *tenant)
{
	enum finding_kind kind = FINDING_TENANT_WITHOUT_KEYS;
	const char *text = "all its keys are withdrawn: no request belongs to it";
	struct finding *finding;

	if (tenant->keys->len && tenant->burst > 0 && tenant->limit_per_s <= 0) {
		kind = FINDING_BURST_WITHOUT_LIMIT;
		text = "\"burst\" has no effect without \"limit_per_s\"";
	} else if (tenant->keys->len) {
		return;
	}
	finding = add_finding(check, kind, tenant->line);
	g_snprintf(finding->path, sizeof(finding->path), "tenants.%.*s",
		   STR_ARG(label_str(&tenant->name)));
	g_strlcpy(finding->text, text, sizeof(finding->text));
}

static bool evacuates(const struct accepted_file *file, struct label data_centre)
{
	const struct config_file *parsed = file->change->parsed;

	for (guint i = 0; parsed && i < parsed->evacuated->len; i++)
		if (label_equal(&g_array_index(parsed->evacuated, struct label, i), &data_centre))
			return true;
	return false;
}

/* A data centre opens again once no file evacuates it. */
static void check_evacuated(struct config_check *check, struct label data_centre)
{
	for (guint i = 0; i < check->config->files->len; i++) {
		const struct accepted_file *other = g_ptr_array_index(check->config->files, i);
		struct finding *finding;

		if (other == check->file || !evacuates(other, data_centre))
			continue;
		finding = add_finding(check, FINDING_EVACUATED_TWICE, FIRST_LINE);
		g_snprintf(finding->path, sizeof(finding->path), "evacuate.%.*s",
			   STR_ARG(label_str(&data_centre)));
		g_snprintf(finding->text, sizeof(finding->text),
			   "file \"%.*s\" evacuates it too: it opens once both files are removed",
			   STR_ARG(label_str(&other->name)));
		return;
	}
}

static void check_file(struct config_check *check)
{
	const struct config_file *parsed = check->file->change->parsed;

	for (guint i = 0; i < parsed->services->len; i++)
		check_service(check, &g_array_index(parsed->services, struct service, i));
	for (guint i = 0; i < parsed->routes->len; i++) {
		const struct route *route = &g_array_index(parsed->routes, struct route, i);

		check_match(check, route);
		check_destinations(check, route);
		check_limits(check, route);
		check_tenant_rules(check, route);
	}
	for (guint i = 0; i < parsed->tenants->len; i++)
		check_tenant(check, &g_array_index(parsed->tenants, struct tenant, i));
	for (guint i = 0; i < parsed->evacuated->len; i++)
		check_evacuated(check, g_array_index(parsed->evacuated, struct label, i));
	for (guint i = 0; i < parsed->moves->len; i++)
		check_move(check, i, &g_array_index(parsed->moves, struct move_spec, i));
	for (guint i = 0; i < parsed->switches->len; i++)
		check_switch(check, &g_array_index(parsed->switches, struct auto_switch, i));
}

static gint compare_findings(gconstpointer a, gconstpointer b)
{
	const struct finding *x = a;
	const struct finding *y = b;
	int files = str_compare(label_str(&x->file), label_str(&y->file));

	return files ? files : x->line - y->line;
}

GArray *config_check(const struct config *config, const struct config_check_options *options)
{
	struct config_check check = { .config = config, .options = options };

	check.findings = g_array_new(FALSE, TRUE, sizeof(struct finding));
	for (guint i = 0; i < config->files->len; i++) {
		check.file = g_ptr_array_index(config->files, i);
		if (check.file->change->parsed)
			check_file(&check);
	}
	g_array_sort(check.findings, compare_findings);
	return check.findings;
}
