/**
 * @file
 * Advice on a configuration before it is sent: what is valid, but has no effect or contradicts
 * itself. What is invalid, config_build() rejects.
 */
#ifndef CORE_CONFIG_CHECK_H
#define CORE_CONFIG_CHECK_H

#include "core/config.h"

enum finding_kind {
	FINDING_ROUTE_COVERED,	       /**< routes that go first take all its requests */
	FINDING_ROUTE_WITHOUT_METHOD,  /**< its list of methods is empty */
	FINDING_HOST_WITH_PORT,	       /**< hosts are compared without their port */
	FINDING_SERVICE_UNUSED,	       /**< no route names it */
	FINDING_WEIGHT_ZERO,	       /**< the destination gets no calls */
	FINDING_VERSION_WITHOUT_SHARE, /**< it has no share, and no move goes to it */
	FINDING_MOVE_WITHOUT_SERVICE,  /**< an open-ended move of a service that is not declared */
	FINDING_SWITCH_OVERRIDDEN,     /**< on for a service, but off for all */
	FINDING_OBJECTIVE_BEYOND_DEADLINE,
	FINDING_ATTEMPTS_BEYOND_DEADLINE, /**< the last attempts can't begin in time */
	FINDING_STOP_BEFORE_DEADLINE,	  /**< a planned stop ends before the route's calls may */
	FINDING_PUBLIC_WITHOUT_TENANTS,	  /**< no tenants are declared: no route needs a key */
	FINDING_TENANT_HEADER_UNUSED,	  /**< the tenant is known by the key */
	FINDING_TENANT_WITHOUT_KEYS,	  /**< no request belongs to it */
	FINDING_BURST_WITHOUT_LIMIT,	  /**< a tenant's burst, but no limit */
	FINDING_WARMUP_WITHOUT_LIMIT,	  /**< cold targets get as many calls as warm ones */
	FINDING_EVACUATED_TWICE,	  /**< another file keeps the data centre evacuated */
};

/** Returns the kind's name for machines, such as "route-covered". It never changes. */
struct str finding_kind_name(enum finding_kind kind);

/** What was found, and where. */
struct finding {
	enum finding_kind kind;
	struct label file;
	int line;
	char path[160];
	char text[200];
};

/** Options of a check. */
struct config_check_options {
	int64_t stop_within_us; /**< time of a planned stop of a node; 0: not known */
};

/** Returns the findings (struct finding) by file and line; the caller frees the array. */
GArray *config_check(const struct config *config, const struct config_check_options *options);

#endif
