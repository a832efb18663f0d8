/**
 * @file
 * What nodes tell one another, as types; peer/ encodes them. A message is immutable and counted,
 * so that one can go to several peers.
 */
#ifndef CORE_MESSAGE_H
#define CORE_MESSAGE_H

#include <glib.h>

#include "core/claim.h"
#include "core/evidence.h"
#include "core/history.h"
#include "core/member.h"
#include "core/move.h"

/** What a node holds, in a few words: whoever is behind pulls. */
struct digest {
	int64_t version;	  /**< newest record judged */
	int64_t snapshot_version; /**< newest snapshot known to be in the system's stream */
	int64_t snapshot_at_us;	  /**< when it was written, wall clock */
	uint64_t members_hash;
	uint64_t moves_hash;
	bool current; /**< false while the node still joins */
};

/** A part of a snapshot: some of the files; the parts of one version make the whole. */
struct snapshot_part {
	int64_t version;
	int64_t accepted;
	int64_t written_at_us; /**< wall clock */
	int index;
	int count;
	GPtrArray *files; /**< struct accepted_file, owned */
	GArray *states;	  /**< struct move_state, owned */
};

enum message_kind {
	MESSAGE_PING,
	MESSAGE_ACK,
	MESSAGE_PING_REQUEST,
	MESSAGE_ADVERT,
	MESSAGE_PULL,
	MESSAGE_RECORDS,
	MESSAGE_SNAPSHOT,
	MESSAGE_MEMBERS_ASK,
	MESSAGE_MEMBERS,
	MESSAGE_MOVES,
	MESSAGE_EVIDENCE,
	MESSAGE_RETRY,
	MESSAGE_POISON,
	MESSAGE_CENSUS_ASK,
	MESSAGE_CENSUS,
	MESSAGE_CLAIM_ASK,
	MESSAGE_CLAIM_ANSWER,
	MESSAGE_CLAIM_END,
	MESSAGE_KINDS,
};

struct str message_kind_name(enum message_kind kind);

struct probe_body {
	uint32_t seq;
	uint64_t origin;  /**< for whom a relay probes; 0: for itself */
	uint64_t subject; /**< who is probed */
	struct digest digest;
	GArray *members; /**< struct member, owned */
};

struct poison_mark {
	uint64_t fingerprint;
	uint64_t crash;	       /**< which crash the request had a part in */
	int64_t expires_at_us; /**< wall clock */
};

/** The tag says which member holds. */
struct message {
	gint refs;
	enum message_kind kind;
	union {
		struct probe_body probe; /**< PING, ACK */
		struct {
			uint32_t seq;
			uint64_t subject;
		} ping_request;
		int64_t version; /**< ADVERT: newest held */
		struct {
			int64_t have; /**< newest held by the asker */
			bool whole;   /**< it lacks the editions that deltas are for */
		} pull;
		struct {
			int64_t newest; /**< that the sender holds */
			int count;
			struct change_record *records; /**< owned */
		} records;
		struct snapshot_part snapshot;
		uint64_t *buckets; /**< MEMBERS_ASK: MEMBER_BUCKETS hashes, owned */
		struct {
			GArray *members;  /**< MEMBERS: struct member, owned */
			bool members_end; /**< the last one of an answer to MEMBERS_ASK */
		};
		GArray *states; /**< MOVES: struct move_state, owned */
		struct {
			uint64_t move;
			struct label version;
			GArray *windows; /**< struct evidence_window, owned */
		} evidence;
		int64_t retry_after_us; /**< RETRY: the asker comes back after this */
		struct poison_mark poison;
		struct {
			uint64_t seq;
			int64_t version;
		} census; /**< CENSUS_ASK (seq only), CENSUS */
		struct {
			uint64_t seq;
			struct claim_key key;
			uint64_t claim;
			int64_t left_us; /**< until the asker gives up */
		} claim_ask;
		struct {
			uint64_t seq;
			enum claim_result result;
			int status;
		} claim_answer;
		struct claim_note claim_end;
	};
};

struct message *message_new(enum message_kind kind);
struct message *message_ref(struct message *message);
void message_unref(struct message *message);
void snapshot_part_clear(struct snapshot_part *part);

/** Streams of the platform's log. */
enum log_stream {
	STREAM_CONFIG, /**< changes that operators publish */
	STREAM_SYSTEM, /**< the system's own: snapshots and states of moves */
	STREAM_KEYS,   /**< claims of idempotency keys, in CLAIM_PARTITIONS partitions */
};

/** A move's state as it is kept, with what it is about. */
struct saved_move {
	struct move_state state;
	struct label service;
	struct label to;
};

enum log_record_kind { LOG_CHANGE, LOG_SNAPSHOT, LOG_MOVE, LOG_CLAIMS, LOG_BAD };

/** A record of the log. The tag says which member holds. */
struct log_record {
	int64_t offset;
	enum log_record_kind kind;
	union {
		struct change *change;	       /**< LOG_CHANGE, owned */
		struct snapshot_part snapshot; /**< LOG_SNAPSHOT */
		struct saved_move move;	       /**< LOG_MOVE */
		GArray *notes;		       /**< LOG_CLAIMS: struct claim_note, owned */
	};
};

void log_record_clear(struct log_record *record);

#endif
