/**
 * @file
 * The endpoint where the target on this VM announces itself. The contract is
 * docs/TARGET-CONTRACT.md: PUT /announce?service=S&version=V&slots=N&port=P&ttl_ms=T   also renews
 *   POST /leave                                                 drains
 *   DELETE /announce                                            is gone
 */
#ifndef TARGET_ANNOUNCE_H
#define TARGET_ANNOUNCE_H

#include <apr_pools.h>
#include <glib.h>

#include "base/clock.h"
#include "base/str.h"

enum announce_kind { ANNOUNCE_UP, ANNOUNCE_LEAVING, ANNOUNCE_DOWN };

struct announcement {
	enum announce_kind kind;
	struct label id;      /**< of the target's incarnation; empty where targets have none */
	int64_t born_ms;      /**< wall clock of its start; 0: not told */
	int64_t sequence;     /**< grows with each announcement of one incarnation; 0: not told */
	struct label service; /**< ANNOUNCE_UP, like all below */
	struct label version;
	int slots;
	uint32_t ipv4; /**< where it listens; 0: where it announces itself */
	uint16_t port;
	struct deadline cold_until; /**< it is slow until then; 0: not told */
	struct deadline until;	    /**< it lapses unless renewed */
};

struct announce_options {
	uint32_t ipv4;
	uint16_t port;
	int64_t ttl_us; /**< how long an announcement holds that does not say so */
	void (*handle)(void *context, const struct announcement *announcement);
	void *context;
};

struct announce;

struct announce *announce_new(const struct announce_options *options, GError **error);
void announce_free(struct announce *announce);
uint16_t announce_port(const struct announce *announce);

#endif
