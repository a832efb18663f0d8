/**
 * @file
 * Table of accepted configuration. It applies the records of the log in offset order and retains
 * the newest ones, so that other nodes can pull them.
 */
#ifndef CORE_HISTORY_H
#define CORE_HISTORY_H

#include <apr_pools.h>

#include "core/config.h"
#include "core/delta.h"

enum apply_result_kind {
	APPLY_ACCEPTED,
	APPLY_CONFLICT,	    /**< based on another version of the file, or serial not higher */
	APPLY_DUPLICATE,    /**< this change is in force already */
	APPLY_INVALID,	    /**< it does not parse, or the resulting configuration is invalid */
	APPLY_SUPERSEDED,   /**< a later change replaces this one */
	APPLY_OUT_OF_ORDER, /**< not the next offset; nothing was applied */
};

/** The result of applying a record. */
struct apply_result {
	enum apply_result_kind kind;
	int64_t offset;
	int64_t current;  /**< version of the file afterwards */
	char reason[256]; /**< text for operators, the same on every node */
};

struct str apply_result_name(enum apply_result_kind kind);

/** A change with its offset in the log. */
struct change_record {
	int64_t offset;
	struct change *change;
	struct delta *delta; /**< owned; sent instead of the content to a peer that holds the
				delta's base; NULL: only the full content will do */
};

void change_record_clear(struct change_record *record);

struct history;

/** Creates a table at version 0 with an empty configuration. */
struct history *history_new(apr_pool_t *pool);
void history_free(struct history *history);

/**
 * Applies a record if its offset is the one after the current version; returns
 * APPLY_OUT_OF_ORDER otherwise. Takes LOCK_HISTORY.
 */
struct apply_result history_apply(struct history *history, int64_t offset, struct change *change);

/** Returns a new reference to the configuration in force. Takes LOCK_HISTORY. */
struct config *history_config(struct history *history);
/** Returns the offset of the newest record processed. Takes LOCK_HISTORY. */
int64_t history_version(struct history *history);

enum { HISTORY_PULL_MAX = 32 };

/** What a peer that is behind asks for. */
struct history_request {
	int64_t held_version; /**< newest version that it holds */
	bool full;	      /**< it lacks the base of a delta that it was sent */
	bool packed;	      /**< it takes compressed deltas, and those without a base */
};

/**
 * Fills in up to HISTORY_PULL_MAX records after the version that a peer holds, which the caller
 * clears. Large files get a delta. Takes LOCK_HISTORY.
 * @return number of records, or -1 if they are no longer retained and a snapshot is needed
 */
int history_records_since(struct history *history, const struct history_request *request,
			  struct change_record *records);

/**
 * Replaces deltas by the full content, up to the first delta whose base is not retained here.
 * Returns the number of records that can be applied. Takes LOCK_HISTORY.
 */
int history_expand_deltas(struct history *history, struct change_record *records, int count);

/**
 * Replaces the configuration by a snapshot's if that is newer and each of its files can be read;
 * returns whether it was replaced. Where the log came back from an older copy (core/version.h),
 * held files stay that are newer than the snapshot's. Takes ownership of @p files (struct
 * accepted_file). Takes LOCK_HISTORY.
 */
bool history_import(struct history *history, GPtrArray *files, int64_t version, int64_t accepted);

/** Copies the newest results, oldest first; returns their number. Takes LOCK_HISTORY. */
int history_results(struct history *history, struct apply_result *out, struct label *files,
		    int max);

/** Finds the result of a change by its id, if it is still retained. Takes LOCK_HISTORY. */
bool history_find_result(struct history *history, struct label id, struct apply_result *out);

#endif
