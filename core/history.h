/**
 * @file
 * Table of accepted configuration: judges each record of the log in offset order and keeps the
 * newest ones, so that other nodes can pull them.
 */
#ifndef CORE_HISTORY_H
#define CORE_HISTORY_H

#include <apr_pools.h>

#include "core/config.h"
#include "core/delta.h"

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
	struct delta *delta; /**< owned; that of the file's content, for a peer that holds .base
				of it; NULL: only the whole will do */
};

void change_record_clear(struct change_record *record);

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
 * Gives up to HISTORY_PULL_MAX records after @p have, each for the caller to clear; large files
 * come with what has changed in them since, unless @p whole. Returns -1 if they are no longer kept,
 * so that a snapshot is needed. Takes LOCK_HISTORY.
 */
int history_since(struct history *history, int64_t have, bool whole, struct change_record *records);

/**
 * Puts the whole content in place of deltas. Returns how many records, from the first on, are whole
 * then; a delta for an edition that is not kept here ends them. Takes LOCK_HISTORY.
 */
int history_complete(struct history *history, struct change_record *records, int count);

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
