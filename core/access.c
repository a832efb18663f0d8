#include "core/access.h"

#define SCHEME "Bearer"

struct str access_key(struct str authorization)
{
	struct str rest;
	struct str scheme = str_split(authorization, ' ', &rest);

	if (!str_equal_nocase(scheme, STR(SCHEME)))
		return STR("");
	while (rest.len && rest.data[0] == ' ')
		rest = str_sub(rest, 1, rest.len);
	while (rest.len && rest.data[rest.len - 1] == ' ')
		rest.len--;
	return rest;
}

static struct access decide_key(const struct config *config, struct str key,
				enum access_knowledge knowledge)
{
	const struct tenant *tenant = config_find_key(config, key);

	switch (knowledge) {
	case ACCESS_RECENT:
		return (struct access){ tenant ? ACCESS_TENANT : ACCESS_DENIED, tenant };
	case ACCESS_OUTDATED:
		return (struct access){ tenant ? ACCESS_TENANT : ACCESS_UNKNOWN, tenant };
	case ACCESS_UNPROVEN:
		return (struct access){ ACCESS_UNKNOWN, NULL };
	}
	g_assert_not_reached();
}

struct access access_decide(const struct config *config, const struct route *route, struct str key,
			    enum access_knowledge knowledge)
{
	struct access access = { ACCESS_OPEN, NULL };

	if (!config->has_tenants)
		return access;
	if (key.len)
		access = decide_key(config, key, knowledge);
	else if (!route->is_public)
		access.kind = knowledge == ACCESS_RECENT ? ACCESS_DENIED : ACCESS_UNKNOWN;
	/* On a public route a key that is of no use is ignored. */
	if (route->is_public && access.kind != ACCESS_TENANT)
		access = (struct access){ ACCESS_OPEN, NULL };
	return access;
}

enum traffic_class access_class(const struct route *route, const struct tenant *tenant)
{
	return tenant && tenant->has_class ? tenant->class : route->class;
}
