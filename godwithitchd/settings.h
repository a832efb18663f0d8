/**
 * @file
 * Settings of the daemon, from a file of JSON with comments; godwithitch.conf(5) describes them.
 */
#ifndef GODWITHITCHD_SETTINGS_H
#define GODWITHITCHD_SETTINGS_H

#include <glib.h>

#include "peer/peers.h"

struct endpoint {
	uint32_t ipv4; /**< host byte order */
	uint16_t port; /**< 0: from the kernel */
};

/** Whose interfaces to callers, targets and the log a node speaks. */
enum interface_kind {
	INTERFACE_OWN,	    /**< docs/CALLERS.md, docs/TARGET-CONTRACT.md, docs/LOG-CONTRACT.md */
	INTERFACE_PLATFORM, /**< docs/PLATFORM.md */
};

struct settings {
	enum interface_kind interface;
	struct label service;	 /**< of this VM's target; empty: as announced */
	struct endpoint address; /**< for other nodes, TCP and UDP */
	struct endpoint callers;
	struct endpoint control;
	struct endpoint announce;
	struct label data_centre;
	struct str log_url; /**< owned */
	GArray *seeds;	    /**< uint64_t member ids */
	struct address_range fleet[RANGES_MAX];
	int fleet_count;
	char *log_file; /**< owned; "-" is standard error */
	int64_t log_retention_s;
	int64_t stop_within_us;	 /**< a graceful stop cuts what is left after this */
	int64_t stop_notice_us;	 /**< new work is still taken this long after the stop began */
	int64_t announce_ttl_us; /**< an announcement that does not say so holds this long */
	double retry_ratio;	 /**< repeats for each call of a service, over the whole fleet */
	int64_t retry_slack; /**< and this many more at once, over the whole fleet; 0: 50 a node */
	double link_mbps;    /**< of this VM, megabits a second; 0: no bound on large answers */
	int64_t workers;
	int64_t connections;
	int64_t connections_per_address;
	int64_t idle_s;
	int64_t body_max_bytes;
};

/** Reads and checks; false with @p error worded "FILE:LINE: PATH: ...". */
bool settings_read(const char *path, struct settings *settings, GError **error);
void settings_clear(struct settings *settings);

#endif
