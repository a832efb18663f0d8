/**
 * @file
 * Decides which tenant a request belongs to, by the key that its caller presents.
 *
 * Failure it answers: a key that was withdrawn while this node was cut off from the log. A node
 * that can't prove that its configuration is recent admits no request with a key.
 */
#ifndef CORE_ACCESS_H
#define CORE_ACCESS_H

#include "core/config.h"

/** What the node knows of newer configurations than the one it holds. */
enum access_knowledge {
	ACCESS_RECENT,	 /**< none was acknowledged before the bound for withdrawn keys */
	ACCESS_OUTDATED, /**< there is one, or there may be: a key may be missing here */
	ACCESS_UNPROVEN, /**< a key may have been withdrawn longer ago than the bound */
};

enum access_kind {
	ACCESS_OPEN,	/**< no key is needed, and none of a tenant was presented */
	ACCESS_TENANT,	/**< the request belongs to .tenant */
	ACCESS_DENIED,	/**< the key is unknown, or there is none: 401 */
	ACCESS_UNKNOWN, /**< this node can't decide now: refused until it can */
};

/** Result of access_decide(); .kind says whether .tenant holds. */
struct access {
	enum access_kind kind;
	const struct tenant *tenant; /**< ACCESS_TENANT; borrowed from the configuration */
};

/** Returns the key in the value of an Authorization field; empty if it holds none. */
struct str access_key(struct str authorization);

/** Decides on a request with a key, or with an empty one, for a route. */
struct access access_decide(const struct config *config, const struct route *route, struct str key,
			    enum access_knowledge knowledge);

/** Returns the class of a request: the tenant's goes before the route's. */
enum traffic_class access_class(const struct route *route, const struct tenant *tenant);

#endif
