/**
 * @file
 * HTTP endpoint for the announcements of the target on this VM. The contract is
 * docs/TARGET-CONTRACT.md:
 *   PUT /announce?service=S&version=V&slots=N&port=P&ttl_ms=T   registers the target or renews it
 *   POST /leave                                                 drains it
 *   DELETE /announce                                            deregisters it
 */
#ifndef TARGET_ANNOUNCE_H
#define TARGET_ANNOUNCE_H

#include <apr_pools.h>
#include <glib.h>

#include "base/clock.h"
#include "base/str.h"

enum announce_kind { ANNOUNCE_UP, ANNOUNCE_LEAVING, ANNOUNCE_DOWN };

/** An announcement of the target. */
struct announcement {
	enum announce_kind kind;
	struct label id;      /**< id of the incarnation; empty if the interface has none */
	int64_t started_ms;   /**< wall clock of the incarnation's start; 0: not stated */
	int64_t sequence;     /**< grows with each announcement of an incarnation; 0: not stated */
	struct label service; /**< ANNOUNCE_UP, like all members below */
	struct label version;
	int slots;
	uint32_t ipv4; /**< address of the target; 0: that of the announcement endpoint */
	uint16_t port;
	bool states_warmup; /**< it says whether the target is cold */
	struct deadline
		slow_start_until;   /**< end of the slow start; 0: it is warm, or not stated */
	struct deadline expires_at; /**< the announcement expires unless renewed */
};

/** Options of the endpoint. */
struct announce_options {
	uint32_t ipv4;
	uint16_t port;
	int64_t ttl_us; /**< lifetime of an announcement that states none; 0: the default */
	void (*handle)(void *context, const struct announcement *announcement);
	void *context;
};

struct announce_endpoint;

/** Starts the endpoint. Returns NULL and sets @p error (G_FILE_ERROR) if it can't listen. */
struct announce_endpoint *announce_endpoint_new(const struct announce_options *options,
						GError **error);
void announce_endpoint_free(struct announce_endpoint *endpoint);
uint16_t announce_endpoint_port(const struct announce_endpoint *endpoint);

#endif
