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

struct settings {
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
	int64_t stop_within_s; /**< a graceful stop cuts what is left after this */
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
