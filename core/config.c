#include "core/config.h"

#include <stdio.h>
#include <string.h>

enum { NESTED_PERCENT = 40 /* of the longest objective, the most that a nested call may have */ };

GQuark config_error_quark(void)
{
	return g_quark_from_static_string("godwithitch-config");
}

struct str traffic_class_name(enum traffic_class class)
{
	switch (class) {
	case CLASS_INTERACTIVE:
		return STR("interactive");
	case CLASS_STANDARD:
		return STR("standard");
	case CLASS_BULK:
		return STR("bulk");
	case CLASS_BACKGROUND:
		return STR("background");
	case CLASS_COUNT:
		break;
	}
	g_assert_not_reached();
}

bool traffic_class_parse(struct str name, enum traffic_class *class)
{
	for (int i = 0; i < CLASS_COUNT; i++) {
		if (!str_equal(name, traffic_class_name(i)))
			continue;
		*class = i;
		return true;
	}
	return false;
}

struct str auto_kind_name(enum auto_kind kind)
{
	switch (kind) {
	case AUTO_ADVANCE:
		return STR("advance");
	case AUTO_WITHDRAW:
		return STR("withdraw");
	case AUTO_EJECT:
		return STR("eject");
	case AUTO_QUARANTINE:
		return STR("quarantine");
	case AUTO_COUNT:
		break;
	}
	g_assert_not_reached();
}

bool auto_kind_parse(struct str name, enum auto_kind *kind)
{
	for (int i = 0; i < AUTO_COUNT; i++) {
		if (!str_equal(name, auto_kind_name(i)))
			continue;
		*kind = i;
		return true;
	}
	return false;
}

int method_bit(struct str name)
{
	static const char *const names[] = { "GET",    "HEAD",	"POST",	  "PUT",
					     "DELETE", "PATCH", "OPTIONS" };

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (str_equal(name, str_from_cstr(names[i])))
			return 1 << i;
	return 0;
}

static void service_clear(gpointer data)
{
	struct service *service = data;

	g_array_unref(service->versions);
}

static void route_clear(gpointer data)
{
	struct route *route = data;

	if (route->destinations)
		g_array_unref(route->destinations);
}

static void tenant_clear(gpointer data)
{
	struct tenant *tenant = data;

	g_array_unref(tenant->keys);
}

struct config_file *config_file_new(void)
{
	struct config_file *file = g_new0(struct config_file, 1);

	file->services = g_array_new(FALSE, TRUE, sizeof(struct service));
	g_array_set_clear_func(file->services, service_clear);
	file->routes = g_array_new(FALSE, TRUE, sizeof(struct route));
	g_array_set_clear_func(file->routes, route_clear);
	file->moves = g_array_new(FALSE, TRUE, sizeof(struct move_spec));
	file->switches = g_array_new(FALSE, TRUE, sizeof(struct auto_switch));
	file->tenants = g_array_new(FALSE, TRUE, sizeof(struct tenant));
	g_array_set_clear_func(file->tenants, tenant_clear);
	file->evacuated = g_array_new(FALSE, TRUE, sizeof(struct label));
	file->text = g_string_chunk_new(256);
	return file;
}

void config_file_free(struct config_file *file)
{
	if (!file)
		return;
	g_array_unref(file->services);
	g_array_unref(file->routes);
	g_array_unref(file->moves);
	g_array_unref(file->switches);
	g_array_unref(file->tenants);
	g_array_unref(file->evacuated);
	g_string_chunk_free(file->text);
	g_free(file);
}

struct str config_file_copy_str(struct config_file *file, struct str s)
{
	if (s.len == 0)
		return STR("");
	return (struct str){ g_string_chunk_insert_len(file->text, s.data, s.len), s.len };
}

struct change *change_new(struct label id, struct label file, int64_t base, struct str content)
{
	struct change *change = g_new0(struct change, 1);

	change->refs = 1;
	change->id = id;
	change->file = file;
	change->base = base;
	change->content = str_dup(content);
	return change;
}

struct change *change_ref(struct change *change)
{
	g_atomic_int_inc(&change->refs);
	return change;
}

void change_unref(struct change *change)
{
	if (!change || !g_atomic_int_dec_and_test(&change->refs))
		return;
	config_file_free(change->parsed);
	g_free(change->parse_error);
	g_free((char *)change->content.data);
	g_free(change);
}

struct change *change_superseded(struct label id, struct label file)
{
	return change_new(id, file, CHANGE_SUPERSEDED_BASE, STR(""));
}

struct change *change_invalid(struct label id, struct label file, const char *reason)
{
	struct change *change = change_new(id, file, CHANGE_INVALID_BASE, str_from_cstr(reason));

	change->parse_error = g_strdup(reason);
	return change;
}

struct accepted_file *accepted_file_new(struct label name, int64_t version, struct change *change)
{
	struct accepted_file *file = g_new0(struct accepted_file, 1);

	file->name = name;
	file->version = version;
	file->change = change_ref(change);
	file->move_ids = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	return file;
}

struct accepted_file *accepted_file_copy(const struct accepted_file *from)
{
	struct accepted_file *file = accepted_file_new(from->name, from->version, from->change);

	g_array_append_vals(file->move_ids, from->move_ids->data, from->move_ids->len);
	return file;
}

void accepted_file_free(struct accepted_file *file)
{
	if (!file)
		return;
	change_unref(file->change);
	g_array_unref(file->move_ids);
	g_free(file);
}

/* Sets an error with the text "FILE:LINE: PATH: reason". Returns false. */
static bool fail(GError **error, enum config_error code, const struct accepted_file *file, int line,
		 const char *path, const char *format, ...) __attribute__((format(printf, 6, 7)));

static bool fail(GError **error, enum config_error code, const struct accepted_file *file, int line,
		 const char *path, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_set_error(error, CONFIG_ERROR, code, "%.*s:%d: %s: %s", STR_ARG(label_str(&file->name)),
		    line, path, text);
	g_free(text);
	return false;
}

static bool add_service(struct config *config, const struct accepted_file *file,
			struct service *service, GError **error)
{
	char path[64];
	int share_sum = 0;

	snprintf(path, sizeof(path), "services.%.*s", STR_ARG(label_str(&service->name)));
	if (g_hash_table_contains(config->services, &service->name))
		return fail(error, CONFIG_ERROR_NAME, file, service->line, path,
			    "the service is declared twice");
	for (guint i = 0; i < service->versions->len; i++)
		share_sum += g_array_index(service->versions, struct version, i).share_percent;
	if (share_sum != 100 && !service->any_version)
		return fail(error, CONFIG_ERROR_SHARE, file, service->line, path,
			    "shares add up to %d, expected 100", share_sum);
	g_hash_table_insert(config->services, &service->name, service);
	return true;
}

static bool has_version(const struct service *service, struct label name)
{
	for (guint i = 0; i < service->versions->len; i++)
		if (label_equal(&g_array_index(service->versions, struct version, i).name, &name))
			return true;
	return false;
}

static int64_t longest_objective_us(const struct config *config, const struct label *service)
{
	const int64_t *longest_us = g_hash_table_lookup(config->longest_objectives, service);

	return longest_us ? *longest_us : 0;
}

static void note_objective(struct config *config, const struct label *service, int64_t objective_us)
{
	if (objective_us > longest_objective_us(config, service))
		g_hash_table_insert(config->longest_objectives,
				    g_memdup2(service, sizeof(*service)),
				    g_memdup2(&objective_us, sizeof(objective_us)));
}

/* Interactive routes precede all others anyway, and are often probes with few calls. */
static void note_objectives(struct config *config, const struct route *route)
{
	if (route->class == CLASS_INTERACTIVE)
		return;
	note_objective(config, &route->service, route->objective_us);
	for (guint i = 0; route->destinations && i < route->destinations->len; i++)
		note_objective(
			config,
			&g_array_index(route->destinations, struct route_destination, i).service,
			route->objective_us);
}

static bool add_route(struct config *config, const struct accepted_file *file, struct route *route,
		      GError **error)
{
	char path[64];

	snprintf(path, sizeof(path), "routes.%.*s", STR_ARG(label_str(&route->name)));
	if (g_hash_table_contains(config->routes_by_name, &route->name))
		return fail(error, CONFIG_ERROR_NAME, file, route->line, path,
			    "the route is declared twice");
	if (!config_find_service(config, route->service))
		return fail(error, CONFIG_ERROR_NAME, file, route->line, path,
			    "no service \"%.*s\" is declared", STR_ARG(label_str(&route->service)));
	for (guint i = 0; route->destinations && i < route->destinations->len; i++) {
		struct label service =
			g_array_index(route->destinations, struct route_destination, i).service;

		if (!config_find_service(config, service))
			return fail(error, CONFIG_ERROR_NAME, file, route->line, path,
				    "no service \"%.*s\" is declared",
				    STR_ARG(label_str(&service)));
	}
	g_ptr_array_add(config->routes, route);
	g_hash_table_insert(config->routes_by_name, &route->name, route);
	note_objectives(config, route);
	return true;
}

static bool check_move_versions(const struct config *config, const struct accepted_file *file,
				const struct move_spec *move, const char *path, GError **error)
{
	const struct service *service = config_find_service(config, move->service);
	const struct label *names[] = { &move->from, &move->to };

	if (!service)
		return fail(error, CONFIG_ERROR_NAME, file, move->line, path,
			    "no service \"%.*s\" is declared", STR_ARG(label_str(&move->service)));
	if (service->any_version)
		return true;
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (!has_version(service, *names[i]))
			return fail(error, CONFIG_ERROR_NAME, file, move->line, path,
				    "service \"%.*s\" declares no version \"%.*s\"",
				    STR_ARG(label_str(&move->service)),
				    STR_ARG(label_str(names[i])));
	if (label_equal(&move->from, &move->to))
		return fail(error, CONFIG_ERROR_NAME, file, move->line, path,
			    "from and to name the same version");
	return true;
}

static bool add_move(struct config *config, const struct accepted_file *file, guint index,
		     GError **error)
{
	struct move_spec move = g_array_index(file->change->parsed->moves, struct move_spec, index);
	char path[32];

	/* An open-ended move has no effect while its service is not declared. */
	if (move.from.len == 0 && !config_find_service(config, move.service))
		return true;
	snprintf(path, sizeof(path), "moves[%u]", index);
	if (!check_move_versions(config, file, &move, path, error))
		return false;
	if (move.start_at_us >= move.finish_at_us)
		return fail(error, CONFIG_ERROR_TIME, file, move.line, path,
			    "the move finishes before it starts");
	for (guint i = 0; i < config->moves->len; i++)
		if (label_equal(&g_array_index(config->moves, struct move_spec, i).service,
				&move.service))
			return fail(error, CONFIG_ERROR_NAME, file, move.line, path,
				    "service \"%.*s\" has another move already",
				    STR_ARG(label_str(&move.service)));
	if (index < file->move_ids->len)
		move.id = g_array_index(file->move_ids, uint64_t, index);
	g_array_append_val(config->moves, move);
	return true;
}

static bool add_switch(struct config *config, const struct accepted_file *file,
		       const struct auto_switch *setting, GError **error)
{
	if (setting->service.len && !config_find_service(config, setting->service))
		return fail(error, CONFIG_ERROR_NAME, file, setting->line, "switches",
			    "no service \"%.*s\" is declared",
			    STR_ARG(label_str(&setting->service)));
	for (guint i = 0; i < config->switches->len; i++) {
		const struct auto_switch *other =
			&g_array_index(config->switches, struct auto_switch, i);

		if (label_equal(&other->service, &setting->service) && other->kind == setting->kind)
			return fail(error, CONFIG_ERROR_NAME, file, setting->line, "switches",
				    "the switch is set twice");
	}
	g_array_append_val(config->switches, *setting);
	return true;
}

static bool add_key(struct config *config, const struct accepted_file *file, struct tenant *tenant,
		    struct str *key, GError **error)
{
	const struct tenant *holder = g_hash_table_lookup(config->tenants_by_key, key);
	char path[64];

	snprintf(path, sizeof(path), "tenants.%.*s", STR_ARG(label_str(&tenant->name)));
	/* The message doesn't show the key, which is secret. */
	if (holder && holder != tenant)
		return fail(error, CONFIG_ERROR_NAME, file, tenant->line, path,
			    "tenant \"%.*s\" holds one of the keys already",
			    STR_ARG(label_str(&holder->name)));
	g_hash_table_insert(config->tenants_by_key, key, tenant);
	return true;
}

static bool add_tenant(struct config *config, const struct accepted_file *file,
		       struct tenant *tenant, GError **error)
{
	char path[64];

	snprintf(path, sizeof(path), "tenants.%.*s", STR_ARG(label_str(&tenant->name)));
	if (g_hash_table_contains(config->tenants, &tenant->name))
		return fail(error, CONFIG_ERROR_NAME, file, tenant->line, path,
			    "the tenant is declared twice");
	g_hash_table_insert(config->tenants, &tenant->name, tenant);
	for (guint i = 0; i < tenant->keys->len; i++)
		if (!add_key(config, file, tenant, &g_array_index(tenant->keys, struct str, i),
			     error))
			return false;
	return true;
}

static bool add_tenants(struct config *config, const struct accepted_file *file, GError **error)
{
	GArray *tenants = file->change->parsed->tenants;

	config->has_tenants |= file->change->parsed->has_tenants;
	for (guint i = 0; i < tenants->len; i++)
		if (!add_tenant(config, file, &g_array_index(tenants, struct tenant, i), error))
			return false;
	return true;
}

/* Several files may name the same data centre: it is evacuated while any of them does. */
static void add_evacuated(struct config *config, const struct config_file *parsed)
{
	for (guint i = 0; i < parsed->evacuated->len; i++) {
		struct label name = g_array_index(parsed->evacuated, struct label, i);

		if (!config_is_evacuated(config, name))
			g_array_append_val(config->evacuated, name);
	}
}

static bool add_services(struct config *config, const struct accepted_file *file, GError **error)
{
	GArray *services = file->change->parsed->services;

	for (guint i = 0; i < services->len; i++)
		if (!add_service(config, file, &g_array_index(services, struct service, i), error))
			return false;
	return true;
}

static bool add_routes_moves_switches(struct config *config, const struct accepted_file *file,
				      GError **error)
{
	const struct config_file *parsed = file->change->parsed;

	for (guint i = 0; i < parsed->routes->len; i++)
		if (!add_route(config, file, &g_array_index(parsed->routes, struct route, i),
			       error))
			return false;
	for (guint i = 0; i < parsed->moves->len; i++)
		if (!add_move(config, file, i, error))
			return false;
	for (guint i = 0; i < parsed->switches->len; i++)
		if (!add_switch(config, file,
				&g_array_index(parsed->switches, struct auto_switch, i), error))
			return false;
	add_evacuated(config, parsed);
	return add_tenants(config, file, error);
}

static gint compare_routes(gconstpointer a, gconstpointer b)
{
	const struct route *x = *(struct route *const *)a;
	const struct route *y = *(struct route *const *)b;

	if (x->path.len != y->path.len)
		return x->path.len > y->path.len ? -1 : 1;
	if ((x->host.len == 0) != (y->host.len == 0))
		return x->host.len ? -1 : 1;
	return str_compare(label_str(&x->name), label_str(&y->name));
}

static gint compare_files(gconstpointer a, gconstpointer b)
{
	const struct accepted_file *x = *(struct accepted_file *const *)a;
	const struct accepted_file *y = *(struct accepted_file *const *)b;

	return str_compare(label_str(&x->name), label_str(&y->name));
}

static bool add_files(struct config *config, GError **error)
{
	for (guint i = 0; i < config->files->len; i++) {
		const struct accepted_file *file = g_ptr_array_index(config->files, i);

		if (file->change->parsed && !add_services(config, file, error))
			return false;
	}
	for (guint i = 0; i < config->files->len; i++) {
		const struct accepted_file *file = g_ptr_array_index(config->files, i);

		if (file->change->parsed && !add_routes_moves_switches(config, file, error))
			return false;
	}
	return true;
}

static guint hash_str(gconstpointer data)
{
	return (guint)str_hash(*(const struct str *)data, 0);
}

static gboolean equal_str(gconstpointer a, gconstpointer b)
{
	return str_equal(*(const struct str *)a, *(const struct str *)b);
}

struct config *config_build(GPtrArray *files, int64_t version, int64_t accepted, GError **error)
{
	struct config *config = g_new0(struct config, 1);

	config->refs = 1;
	config->version = version;
	config->accepted = accepted;
	config->files = files;
	g_ptr_array_sort(files, compare_files);
	config->services = g_hash_table_new(label_hash, label_hash_equal);
	config->routes = g_ptr_array_new();
	config->routes_by_name = g_hash_table_new(label_hash, label_hash_equal);
	config->longest_objectives =
		g_hash_table_new_full(label_hash, label_hash_equal, g_free, g_free);
	config->moves = g_array_new(FALSE, TRUE, sizeof(struct move_spec));
	config->switches = g_array_new(FALSE, TRUE, sizeof(struct auto_switch));
	config->tenants = g_hash_table_new(label_hash, label_hash_equal);
	config->tenants_by_key = g_hash_table_new(hash_str, equal_str);
	config->evacuated = g_array_new(FALSE, TRUE, sizeof(struct label));
	if (!add_files(config, error)) {
		config_unref(config);
		return NULL;
	}
	g_ptr_array_sort(config->routes, compare_routes);
	return config;
}

struct config *config_ref(struct config *config)
{
	g_atomic_int_inc(&config->refs);
	return config;
}

void config_unref(struct config *config)
{
	if (!config || !g_atomic_int_dec_and_test(&config->refs))
		return;
	g_hash_table_destroy(config->services);
	g_ptr_array_unref(config->routes);
	g_hash_table_destroy(config->routes_by_name);
	g_hash_table_destroy(config->longest_objectives);
	g_array_unref(config->moves);
	g_array_unref(config->switches);
	g_hash_table_destroy(config->tenants);
	g_hash_table_destroy(config->tenants_by_key);
	g_array_unref(config->evacuated);
	g_ptr_array_unref(config->files);
	g_free(config);
}

const struct tenant *config_find_key(const struct config *config, struct str key)
{
	return g_hash_table_lookup(config->tenants_by_key, &key);
}

const struct tenant *config_find_tenant(const struct config *config, struct label name)
{
	return g_hash_table_lookup(config->tenants, &name);
}

const struct accepted_file *config_find_file(const struct config *config, struct label name)
{
	for (guint i = 0; i < config->files->len; i++) {
		const struct accepted_file *file = g_ptr_array_index(config->files, i);

		if (label_equal(&file->name, &name))
			return file;
	}
	return NULL;
}

const struct service *config_find_service(const struct config *config, struct label name)
{
	return g_hash_table_lookup(config->services, &name);
}

const struct route *config_find_route(const struct config *config, struct label name)
{
	return g_hash_table_lookup(config->routes_by_name, &name);
}

bool config_is_nested(const struct config *config, const struct route *route, struct label service)
{
	return route->objective_us > 0 &&
	       route->objective_us <= longest_objective_us(config, &service) * NESTED_PERCENT / 100;
}

struct label route_service(const struct route *route, uint64_t point)
{
	int64_t remaining;

	if (!route->destinations || route->weight_sum == 0)
		return route->service;
	remaining = (int64_t)(point % (uint64_t)route->weight_sum);
	for (guint i = 0; i < route->destinations->len; i++) {
		const struct route_destination *destination =
			&g_array_index(route->destinations, struct route_destination, i);

		remaining -= destination->weight;
		if (remaining < 0)
			return destination->service;
	}
	return route->service;
}

/* "/a" matches "/a" and "/a/b", not "/ab"; "/a/" matches all paths below it. */
static bool path_matches(struct str path, struct str prefix)
{
	if (!str_has_prefix(path, prefix))
		return false;
	if (path.len == prefix.len || prefix.len == 0 || prefix.data[prefix.len - 1] == '/')
		return true;
	return path.data[prefix.len] == '/' || path.data[prefix.len] == '?';
}

const struct route *config_match(const struct config *config, struct str host, struct str method,
				 struct str path)
{
	int bit = method_bit(method);
	struct str port;

	host = str_split(host, ':', &port);
	for (guint i = 0; i < config->routes->len; i++) {
		const struct route *route = g_ptr_array_index(config->routes, i);

		if ((route->methods & bit) && path_matches(path, route->path) &&
		    (route->host.len == 0 || str_equal_nocase(route->host, host)))
			return route;
	}
	return NULL;
}

bool config_is_evacuated(const struct config *config, struct label data_centre)
{
	for (guint i = 0; i < config->evacuated->len; i++)
		if (label_equal(&g_array_index(config->evacuated, struct label, i), &data_centre))
			return true;
	return false;
}

bool config_auto_allowed(const struct config *config, struct label service, enum auto_kind kind)
{
	bool all_off = false;
	bool service_off = false;

	for (guint i = 0; i < config->switches->len; i++) {
		const struct auto_switch *setting =
			&g_array_index(config->switches, struct auto_switch, i);

		if (setting->kind != kind || !setting->off)
			continue;
		if (setting->service.len == 0)
			all_off = true;
		else if (label_equal(&setting->service, &service))
			service_off = true;
	}
	/* The switch for all services takes precedence: operators set it before a holiday. */
	return !all_off && !service_off;
}
