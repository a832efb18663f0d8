/**
 * @file
 * Types of the messages between nodes; peer/ encodes them. A message is immutable and
 * reference-counted, so that it can be sent to several peers.
 */
#ifndef CORE_MESSAGE_H
#define CORE_MESSAGE_H

#include <glib.h>

#include "core/claim.h"
#include "core/evidence.h"
#include "core/history.h"
#include "core/member.h"
#include "core/move.h"
#include "core/quota.h"

/** Summary of a node's state; a node with older state pulls. */
struct digest {
	int64_t version;	  /**< offset of the newest record processed */
	int64_t snapshot_version; /**< newest snapshot known to be in STREAM_SYSTEM */
	int64_t snapshot_at_us;	  /**< when that snapshot was written, wall clock */
	uint64_t members_hash;
	uint64_t moves_hash;
	bool current;	     /**< false while the node joins */
	uint64_t marks_hash; /**< of the poison marks; MARKS_HASH_NONE from earlier builds */
	/** Time since the log was known to hold nothing newer than .version; or CONFIRMED_NEVER */
	int64_t confirmed_age_us;
};

enum { CONFIRMED_NEVER = -1, MARKS_HASH_NONE = 0, MARK_BUCKETS = 16 };

/** A part of a snapshot: some of its files. All parts of a version make up the snapshot. */
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
	MESSAGE_CLAIM_ENDED,
	MESSAGE_CONFIRM_ASK,
	MESSAGE_CONFIRM,
	MESSAGE_QUOTA_ASK,
	MESSAGE_QUOTA_GRANT,
	MESSAGE_MARKS_ASK,
	MESSAGE_MARKS,
	MESSAGE_KINDS,
};

struct str message_kind_name(enum message_kind kind);

/** Body of a probe and of its answer. */
struct probe_body {
	uint32_t seq;
	uint64_t origin;  /**< member for which a relay probes; 0: none */
	uint64_t subject; /**< member that is probed */
	struct digest digest;
	GArray *members; /**< struct member, owned */
};

/** Reports that a request was in progress at a target that crashed. */
struct poison_mark {
	uint64_t fingerprint;  /**< hash of the request */
	uint64_t crash;	       /**< identifier of the crash */
	int64_t expires_at_us; /**< wall clock of the sender, for earlier builds */
	int64_t remaining_us;  /**< time until it expires, or MARK_REMAINING_UNKNOWN */
};

enum { MARK_REMAINING_UNKNOWN = -1 };

/** A message. The kind selects the member of the union. */
struct message {
	gint refs;
	enum message_kind kind;
	union {
		struct probe_body probe; /**< PING, ACK */
		struct {
			uint32_t seq;
			uint64_t subject;
		} ping_request;
		struct {
			int64_t version;	  /**< newest version held */
			int64_t confirmed_age_us; /**< as in struct digest */
		} advert;
		struct history_request pull;
		struct {
			int64_t newest; /**< newest version that the sender holds */
			int count;
			struct change_record *records; /**< owned */
			bool packed;		       /**< the receiver takes compressed deltas */
		} records;
		struct snapshot_part snapshot;
		uint64_t *buckets; /**< MEMBERS_ASK: MEMBER_BUCKETS hashes, owned */
		struct {
			GArray *members;  /**< MEMBERS: struct member, owned */
			bool members_end; /**< last message of an answer to MEMBERS_ASK */
		};
		GArray *states; /**< MOVES: struct move_state, owned */
		struct {
			uint64_t move; /**< move id */
			struct label version;
			GArray *windows; /**< struct evidence_window, owned */
		} evidence;
		int64_t retry_after_us; /**< RETRY: delay before the requester asks again */
		struct poison_mark poison;
		uint64_t mark_buckets[MARK_BUCKETS]; /**< MARKS_ASK: hashes of the parts held */
		struct {
			GArray *marks;	/**< MARKS: struct poison_mark, owned */
			bool marks_end; /**< last message of an answer to MARKS_ASK */
		};
		struct {
			uint64_t seq;
			int64_t version;
		} census; /**< CENSUS_ASK (seq only), CENSUS */
		struct {
			uint64_t seq;
			struct claim_key key;
			uint64_t claim;
			int64_t remaining_us; /**< time until the requester stops waiting */
		} claim_ask;
		struct {
			uint64_t seq;
			enum claim_result result;
			int status;
		} claim_answer;
		struct claim_op claim_end;
		struct {
			uint64_t seq;
			int64_t version; /**< version that the sender holds */
			int64_t age_us;	 /**< age of its proof, or CONFIRMED_NEVER */
		} confirm;		 /**< CONFIRM_ASK (seq only), CONFIRM */
		struct {
			uint64_t seq;
			struct label tenant;
			int shard;
			int needed; /**< requests that wait for a token */
			int extra;  /**< tokens that will probably be used soon */
		} quota_ask;
		struct {
			uint64_t seq;
			int tokens;
			bool holds;	    /**< the sender holds the shard */
			int64_t room_in_us; /**< time until there is room; .tokens is too few */
		} quota_grant;
		uint64_t claim_ended; /**< CLAIM_ENDED: the claim whose outcome the log holds */
	};
};

struct message *message_new(enum message_kind kind);
struct message *message_ref(struct message *message);
void message_unref(struct message *message);
void snapshot_part_clear(struct snapshot_part *part);

/** Streams of the platform's log. */
enum log_stream {
	STREAM_CONFIG, /**< changes that operators publish */
	STREAM_SYSTEM, /**< snapshots and states of moves, written by nodes */
	STREAM_KEYS,   /**< claims of idempotency keys, in CLAIM_PARTITIONS partitions */
};

/** A stored move state with the service and the new version of the move. */
struct saved_move {
	struct move_state state;
	struct label service;
	struct label to;
};

enum log_record_kind { LOG_CHANGE, LOG_SNAPSHOT, LOG_MOVE, LOG_CLAIMS, LOG_INVALID };

/** A record of the log. The kind selects the member of the union. */
struct log_record {
	int64_t offset;
	enum log_record_kind kind;
	union {
		struct change *change;	       /**< LOG_CHANGE, owned */
		struct snapshot_part snapshot; /**< LOG_SNAPSHOT */
		struct saved_move move;	       /**< LOG_MOVE */
		GArray *claim_ops;	       /**< LOG_CLAIMS: struct claim_op, owned */
	};
};

void log_record_clear(struct log_record *record);

#endif
