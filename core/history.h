/**
 * @file
 * Table of accepted configuration: judges each record of the log in offset order and keeps the
 * newest ones, so that other nodes can pull them.
 */
#ifndef CORE_HISTORY_H
#define CORE_HISTORY_H

#include <apr_pools.h>

#include "core/config.h"

enum judgement_kind {
	JUDGED_ACCEPTED,
	JUDGED_CONFLICT,     /**< the file's current version is not the change's base */
	JUDGED_DUPLICATE,    /**< this very change is in force already */
	JUDGED_INVALID,	     /**< it does not parse, or the whole does not check */
	JUDGED_SUPERSEDED,   /**< a later change to the file is known already */
	JUDGED_OUT_OF_ORDER, /**< not the next offset; nothing was judged */
};

struct judgement {
	enum judgement_kind kind;
	int64_t offset;
	int64_t current;  /**< version of the file after the judgement */
	char reason[256]; /**< for people; the same on every node */
};

struct str judgement_name(enum judgement_kind kind);

/** A record as it stands in the log. */
struct change_record {
	int64_t offset;
	struct change *change;
};

struct history;

/** Starts at version 0 with an empty configuration. */
struct history *history_new(apr_pool_t *pool);
void history_free(struct history *history);

/**
 * Judges one record; only the offset after the current version is judged, whatever arrives.
 * Takes LOCK_HISTORY.
 */
struct judgement history_offer(struct history *history, int64_t offset, struct change *change);

/** The configuration in force; the caller owns a reference. Takes LOCK_HISTORY. */
struct config *history_config(struct history *history);
int64_t history_version(struct history *history);

enum { HISTORY_PULL_MAX = 32 };

/**
 * Gives up to HISTORY_PULL_MAX records after @p have, each with a reference for the caller.
 * Returns -1 if they are no longer kept, so that a snapshot is needed. Takes LOCK_HISTORY.
 */
int history_since(struct history *history, int64_t have, struct change_record *records);

/**
 * Takes a snapshot in place of all records up to its version, unless the table is as new.
 * Takes over @p files (struct accepted_file). Takes LOCK_HISTORY.
 */
bool history_import(struct history *history, GPtrArray *files, int64_t version, int64_t accepted);

/** The newest judgements, oldest first; returns how many. Takes LOCK_HISTORY. */
int history_judgements(struct history *history, struct judgement *out, struct label *files,
		       int max);

/** The judgement of a change by its id, if it is still kept. Takes LOCK_HISTORY. */
bool history_find(struct history *history, struct label id, struct judgement *out);

#endif
