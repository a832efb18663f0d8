/**
 * @file
 * Settings of the daemon, read from a JSON file that may hold comments. godwithitchd.json(5)
 * describes them.
 */
#ifndef GODWITHITCHD_SETTINGS_H
#define GODWITHITCHD_SETTINGS_H

#include <glib.h>

#include "core/quota.h"
#include "core/warmup.h"
#include "peer/peers.h"

/** Address of a listening socket. */
struct endpoint {
	uint32_t ipv4; /**< host byte order */
	uint16_t port; /**< 0: chosen by the kernel */
};

/** The set of interfaces that a node uses towards callers, targets and the log. */
enum interface_kind {
	INTERFACE_NATIVE,   /**< docs/CALLERS.md, docs/TARGET-CONTRACT.md, docs/LOG-CONTRACT.md */
	INTERFACE_PLATFORM, /**< docs/PLATFORM.md */
};

/** Settings of a node; free with settings_clear(). */
struct settings {
	enum interface_kind interface;
	struct label service;	 /**< service of this VM's target, sent as the caller's service */
	struct endpoint address; /**< where other nodes connect, TCP and UDP */
	struct endpoint callers;
	struct endpoint control;
	struct endpoint announce;
	struct label data_centre;
	struct str log_url; /**< owned */
	GArray *seeds;	    /**< uint64_t member ids */
	struct address_range fleet[RANGES_MAX];
	int fleet_count;
	bool first_start; /**< the whole fleet starts for the first time */
	char *log_file;	  /**< owned; "-": standard error */
	int64_t log_retention_s;
	int64_t stop_within_us;	    /**< longest graceful stop; see core/stop.h */
	int64_t stop_notice_us;	    /**< new requests are accepted this long after the stop began */
	int64_t apply_within_us;    /**< time in which an acknowledged change is in force */
	int64_t announce_ttl_us;    /**< lifetime of an announcement that states none */
	int64_t revoke_within_us;   /**< see struct node_options */
	struct quota_options quota; /**< tolerance of the limits of tenants */
	double retry_ratio;	    /**< retries per call of a service, over the whole fleet */
	int64_t retry_slack; /**< retries allowed beyond the ratio, fleet-wide; 0: 50 per node */
	double link_mbps;    /**< link rate of this VM, Mbit/s; 0: large answers are not paced */
	struct warmup_options warmup;
	int64_t evacuate_within_us; /**< as .apply_within_us, of an evacuation; 0: not stated */
	int64_t workers;
	int64_t connections;
	int64_t connections_per_address;
	int64_t idle_s;
	int64_t body_max_bytes;
	int64_t memory_mb; /**< of the VM; 0: not stated, see memory_budget() */
};

/** Reads and checks a file. Returns false and sets @p error on failure; the message for an invalid
 *  value starts with "FILE:LINE: PATH: ". */
bool settings_read(const char *path, struct settings *settings, GError **error);
void settings_clear(struct settings *settings);

#endif
