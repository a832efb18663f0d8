/**
 * @file
 * What the platform and its upstreams send to a fleet made by fleet_new_platform().
 */
#ifndef REGRESS_PLATFORM_H
#define REGRESS_PLATFORM_H

#include <stdbool.h>

#include "regress/lib/fleet.h"

/** Writes a key of the operator's topic in the store; returns whether the store took it. */
bool platform_publish(struct fleet *fleet, const char *key, const char *value);

struct platform_heartbeat {
	const char *service;
	const char *instance;
	int port;
	int capacity;
	int sequence;
};

/** Sends a heartbeat of a ready upstream to its node; returns whether it was acknowledged. */
bool platform_send_heartbeat(struct fleet *fleet, int node,
			     const struct platform_heartbeat *heartbeat);

#endif
