/**
 * @file
 * State shared by the node's source files, and the functions that each of them offers the others.
 */
#ifndef CORE_NODE_PARTS_H
#define CORE_NODE_PARTS_H

#include "base/lockorder.h"
#include "core/node.h"
#include "core/poison.h"

#define ROUND_US	 (1 * US_PER_S)	   /* interval of probes, sweeps and coordination */
#define MOVES_TICK_US	 (200 * US_PER_MS) /* steps of short moves are one second apart */
#define FLUSH_US	 (200 * US_PER_MS) /* interval for sending pending member records */
#define ACK_US		 (400 * US_PER_MS) /* wait before relays are asked to probe */
#define REMOTE_PULL_US	 (500 * US_PER_MS) /* the own data centre may get the update meanwhile */
#define BATCH_DELAY_US	 (300 * US_PER_MS) /* batches changes in quick succession */
#define LOG_POLL_US	 (10 * US_PER_S)
#define LOG_RETRY_MIN_US (500 * US_PER_MS)
#define LOG_RETRY_MAX_US (8 * US_PER_S)
#define SYNC_US		 (5 * US_PER_S) /* minimum interval between two syncs of members */
#define MOVES_SYNC_US	 (1 * US_PER_S)
#define DEAD_PING_US	 (5 * US_PER_S)

enum {
	FANOUT = 10,	    /* peers sent an update; e^-10 of the nodes receive it from none */
	FANOUT_LOCAL = 7,   /* those of the FANOUT peers in the own data centre */
	FLUSH_PEERS = 3,    /* peers sent changed member records at once */
	RECORDS_PER_S = 50, /* sustained rate of member records sent */
	RECORDS_BURST = 2000,
	RELAYS = 3,		  /* peers asked to probe on behalf of this node */
	UPDATES_PER_MESSAGE = 12, /* member records added to a datagram */
	RECORDS_PER_SYNC = 100,	  /* member records in one message of a sync */
	SYNCS_PER_ROUND = 40,	  /* answers with all members in a round */
	PULLS_PER_ROUND = 400,	  /* answers with records in a round; further peers retry later */
	BOOT_SAMPLE = 3,	  /* digests of current peers that a joining node waits for */
	SNAPSHOT_PART_BYTES = 32 << 10,
	SNAPSHOT_EVERY = 256, /* records between snapshots */
	SNAPSHOT_PARTS_MAX = 4096,
	UNSAVED_MAX = 256,
	CENSUS_ENTRIES = 4,
	PULL_TIMEOUT_PERCENT = 12, /* of the promised time; then another peer is asked */
	PULL_HOLDERS_MAX = 4,	   /* peers remembered as holders of the newest known version */
	INTRODUCED_MAX = 20,	   /* listed nodes that this node contacts; they inform the rest */
};

/** A member record that is still to be sent to a few peers. */
struct pending_update {
	struct member record;
	int sends_remaining;
};

struct probe_state {
	uint64_t subject; /**< 0: no probe in progress */
	uint32_t seq;
	struct deadline relay_at;
	struct deadline suspect_at;
	bool relayed;
};

struct pull_state {
	uint64_t from; /**< 0: no pull in progress */
	struct deadline expires_at;
	struct deadline not_before;
	int64_t known_newest;
	uint64_t holders[PULL_HOLDERS_MAX]; /**< peers that announced .known_newest */
	int holder_count;
	struct deadline remote_at; /**< earliest pull from another data centre */
	int64_t remote_version;	   /**< newest version for which .remote_at was set */
	int64_t heard_newest;	   /**< newest version heard of */
	int64_t heard_at_us;	   /**< when it was first heard of */
	int64_t behind_since_us;   /**< when this node heard of a newer version than it holds */
	int64_t deliver_from_us;   /**< when the time that peers have to deliver it began */
	bool need_full;		   /**< the base of a delta is not retained here */
};

enum boot_phase {
	BOOT_PEERS,  /**< asks peers */
	BOOT_SYSTEM, /**< reads the system stream */
	BOOT_CONFIG, /**< reads the configuration stream to its end */
	BOOT_CURRENT,
};

struct boot_state {
	enum boot_phase phase;
	int current_peers; /**< current peers whose digest was received */
	uint64_t current_peer_ids[BOOT_SAMPLE];
	int64_t newest_seen;
	struct deadline ping_at;
	struct deadline log_at;		  /**< when the node falls back to the log */
	int64_t started_us;		  /**< monotonic */
	struct deadline members_retry_at; /**< next request for all members */
	bool members_known;
	bool marks_known;
};

struct log_state {
	bool reading[2]; /**< indexed by STREAM_CONFIG and STREAM_SYSTEM */
	int64_t system_next;
	struct instant asked_at; /**< last read of STREAM_CONFIG */
	int64_t retry_us;	 /**< grows while the log limits the rate */
	struct deadline retry_at;
	bool unavailable;
	bool reader;
	bool expired; /**< the wanted changes expired: the system stream has a snapshot */
};

/** Received parts of a snapshot. */
struct assembly {
	int64_t version;
	int64_t accepted;
	int64_t written_at_us;
	int count;
	int received_count;
	bool *received;
	GPtrArray *files;
};

/**
 * When the log is proven to have held nothing newer than the held version: by a read of the log, or
 * by the answer to a question of this node. Other confirmations may have waited on their way for
 * any time.
 */
struct proof_state {
	int64_t proven_at_us; /**< monotonic; 0: never */
	int64_t pending_version;
	int64_t pending_at_us; /**< proven for .pending_version, which is not held yet; 0: none */
	uint64_t asked_seq;    /**< question without an answer; 0: none */
	int64_t asked_at_us;
	struct deadline answer_by;
	int unanswered; /**< questions in a row */
};

/** When this node last knew that it held the newest version, and when it reads the log itself. */
struct confirm_state {
	int64_t confirmed_at_us; /**< the log held nothing newer than the held version; 0: never */
	int64_t forwarded_us;	 /**< newest confirmation that was sent to peers */
	int64_t pending_version; /**< newest version confirmed that is not held yet; 0: none */
	int64_t pending_at_us;
	struct deadline check_at; /**< latest time for the next confirmation */
	struct deadline retry_at;
	int64_t retry_us; /**< grows while the log does not answer */
	struct instant asked_at;
	struct instant ticked_at;
	struct deadline distrust_until; /**< until then messages may be older than they say */
	bool checking;
	int rank; /**< among all live members */
};

struct unsaved_move {
	struct saved_move move;
	uint64_t tag; /**< tag of the append in progress; 0: none */
};

/** Where a change or snapshot came from. */
enum change_way { CHANGE_FROM_LOG, CHANGE_FROM_PEER };

struct change_source {
	enum change_way way;
	uint64_t peer; /**< CHANGE_FROM_PEER: member id */
};

/** State of probes, pulls, the boot, the log and retries, under one lock. */
struct gossip_state {
	struct lock lock; /**< LOCK_GOSSIP */
	struct rng rng;
	GQueue *updates;      /**< struct pending_update */
	double record_tokens; /**< token bucket for member records sent */
	struct probe_state probe;
	struct pull_state pull;
	struct boot_state boot;
	struct log_state log;
	struct confirm_state confirm;
	struct proof_state proof;
	struct assembly from_peer;
	struct assembly from_log;
	int64_t snapshot_version;
	int64_t snapshot_at_us;	     /**< wall clock */
	uint64_t snapshot_first_tag; /**< tags of the parts of the append in progress */
	uint64_t snapshot_last_tag;
	int snapshot_parts_missing; /**< parts of it that are not appended yet */
	int64_t snapshot_pending_version;
	struct deadline snapshot_not_before;
	struct deadline append_retry_at;
	int64_t append_retry_us; /**< grows while appends fail */
	GArray *unsaved;	 /**< struct unsaved_move, states of moves not in the log yet */
	struct deadline round_at;
	struct deadline flush_at;
	struct deadline sync_at;
	struct deadline moves_sync_at;
	struct deadline moves_at;
	struct deadline dead_ping_at;
	int pulls_answered; /**< pulls answered in this round */
	int syncs_answered;
	int marks_answered;
	struct deadline marks_ask_at; /**< earliest next request for marks */
	uint32_t seq;
	uint64_t tag;
	struct {
		uint64_t seq;
		int64_t version;
		struct census census;
	} census[CENSUS_ENTRIES];
	int64_t refuted_us;	   /**< this node last refuted its death; 0: never */
	int64_t shards_checked_us; /**< change of the members after which shards were checked */
	bool retiring;
	bool stopping;
	GHashTable *budgets; /**< struct label -> struct retry_budget */
};

struct retry_budget {
	struct label service;
	double tokens;
};

/** The effect of the configuration on the node's own target. */
struct target_rules {
	struct lock lock; /**< LOCK_RULES; held while a configuration takes effect */
	bool evacuated;
	enum cold_cause cold; /**< as it was logged last, like .evacuated */
};

struct node {
	struct node_options options;
	uint64_t *seeds;
	apr_pool_t *pool;
	struct history *history;
	struct members *members;
	struct moves *moves;
	struct admit *admit;
	struct tally *tally;
	struct poison *poison;
	struct claims *claims;
	struct traffic *traffic;
	struct quota *quota;
	struct gossip_state gossip;
	struct target_rules target_rules;
	struct deadline
		target_slow_start_until; /**< under gossip.lock; unset before the first call */
};

/** Returns a generator seeded from the node's own. Takes LOCK_GOSSIP. */
struct rng node_rng(struct node *node);
/** Sends @p message to FANOUT live peers, most of them in the own data centre. Takes over a
 *  reference. */
void node_gossip(struct node *node, struct message *message, struct actions *out);

/* node_fleet.c */
void fleet_round(struct node *node, struct instant now, struct actions *out);
void fleet_tick(struct node *node, struct instant now, struct actions *out);
/** Pings some joining members, which learn that this node is current. */
void fleet_ping_joining(struct node *node, struct instant now, struct actions *out);
void fleet_ping_seeds(struct node *node, int count, struct instant now, struct actions *out);
void fleet_introduce(struct node *node, const uint64_t *ids, int count, struct instant now,
		     struct actions *out);
void fleet_on_probe(struct node *node, uint64_t from, const struct message *message,
		    struct instant now, struct actions *out);
void fleet_on_ping_request(struct node *node, uint64_t from, const struct message *message,
			   struct instant now, struct actions *out);
void fleet_on_members_ask(struct node *node, uint64_t from, const struct message *message,
			  struct actions *out);
void fleet_request_members(struct node *node, uint64_t from, bool all, struct actions *out);
void fleet_on_members(struct node *node, const GArray *records, struct instant now,
		      struct actions *out);
void fleet_update_self(struct node *node, const struct member *self, uint64_t refute,
		       struct actions *out);
/** Counts one answer of this round; returns false if @p max were sent. Takes LOCK_GOSSIP. */
bool fleet_may_answer(struct node *node, int *answered, int max);

/* node_config.c */
void config_on_digest(struct node *node, uint64_t from, const struct digest *digest,
		      struct instant now, struct actions *out);
void config_on_advert(struct node *node, uint64_t from, const struct message *message,
		      struct instant now, struct actions *out);
void config_on_pull(struct node *node, uint64_t from, const struct message *pull,
		    struct actions *out);
void config_on_records(struct node *node, uint64_t from, const struct message *message,
		       struct instant now, struct actions *out);
void config_on_snapshot(struct node *node, uint64_t from, const struct snapshot_part *part,
			struct instant now, struct actions *out);
void config_on_retry(struct node *node, uint64_t from, int64_t after_us, struct instant now,
		     struct actions *out);
void config_tick(struct node *node, struct instant now, struct actions *out);
void config_boot_tick(struct node *node, struct instant now, struct actions *out);
/** Applies records in order; returns true if the version advanced. */
bool config_apply_records(struct node *node, const struct change_record *records, int count,
			  const struct change_source *source, struct instant now,
			  struct actions *out);
/** Sends the held version to some peers. */
void config_advertise(struct node *node, struct instant now, struct actions *out);
bool config_apply_snapshot_part(struct node *node, struct assembly *assembly,
				const struct snapshot_part *part,
				const struct change_source *source, struct instant now,
				struct actions *out);
GPtrArray *config_snapshot_parts(struct node *node, struct instant now);
/** Records that a peer's answer with all members is complete. */
void config_set_members_known(struct node *node);
/** Records that this node holds the poison marks of a current peer. */
void config_set_marks_known(struct node *node);
void config_set_current(struct node *node, struct instant now, struct actions *out);

/* node_confirm.c: all functions take LOCK_GOSSIP but confirm_init(), which runs before it is shared
 */
void confirm_init(struct node *node, struct instant now);
/** Sets this node's rank for reading the log. */
void confirm_update_rank(struct node *node);
/** Returns the age of the held version's confirmation, or CONFIRMED_NEVER. */
int64_t confirm_age_us(struct node *node, struct instant now);
/** Records a tick, by which a pause of this node is noticed. */
void confirm_note_tick(struct node *node, struct instant now);
/** Records a peer's confirmation of @p version, which is @p age_us old. */
void confirm_from_peer(struct node *node, int64_t version, int64_t age_us, struct instant now);
/** Forwards the held version's confirmation to a few peers, if they may lack it. */
void confirm_forward(struct node *node, struct instant now, struct actions *out);
/** Records that the log held nothing newer than @p newest at @p at, and sends that to peers. */
void confirm_from_log(struct node *node, int64_t newest, struct instant at, struct instant now,
		      struct actions *out);
/** Applies a confirmation that arrived before its version, once the version is held. */
void confirm_applied(struct node *node);
/** Returns an advert of the held version. */
struct message *confirm_advert(struct node *node, struct instant now);
/** Records the log's answer to a request of @p asked_at as a proof. */
void confirm_prove_from_log(struct node *node, int64_t newest, struct instant asked_at);
void confirm_on_ask(struct node *node, uint64_t from, uint64_t seq, struct instant now,
		    struct actions *out);
void confirm_on_answer(struct node *node, const struct message *message);
/** Asks a peer for a proof, or makes this node read the log, if that is due. */
void confirm_proof_tick(struct node *node, struct instant now, struct actions *out);
/** Reads the log if that is due. */
void confirm_tick(struct node *node, struct instant now, struct actions *out);
/** Ends a read that was begun by confirm_tick(); returns when it began. */
struct instant confirm_check_done(struct node *node);
void confirm_check_failed(struct node *node, enum log_failure failure, struct instant now);

/* node_log.c */
void log_tick(struct node *node, struct instant now, struct actions *out);
void log_round(struct node *node, struct instant now, struct actions *out);
void log_on_batch(struct node *node, const struct event *event, struct instant now,
		  struct actions *out);
void log_on_failed(struct node *node, const struct event *event, struct instant now,
		   struct actions *out);
void log_on_append(struct node *node, uint64_t tag, bool done, struct instant now,
		   struct actions *out);
void log_save_move(struct node *node, const struct saved_move *move);

/* node_moves.c */
/** Appends the states of the moves that this node coordinates to the log again. */
void moves_save_again(struct node *node);
void moves_round(struct node *node, struct instant now, struct actions *out);
/** Opens steps that are due in moves that this node coordinates. */
void moves_tick(struct node *node, struct instant now, struct actions *out);
/** Merges states of moves; with @p forward, gossips those that changed the table. */
void moves_on_states(struct node *node, const GArray *states, bool forward, struct actions *out);
void moves_on_evidence(struct node *node, const struct message *message);
void moves_on_digest(struct node *node, uint64_t from, const struct digest *digest,
		     struct instant now, struct actions *out);

/* node_target.c */
/** Applies what the configuration states about the node's own target. Takes LOCK_RULES. */
void target_apply_rules(struct node *node, struct instant now, struct actions *out);
/** Logs when the target's limit begins or ends. Takes LOCK_RULES. */
void target_tick(struct node *node, struct instant now, struct actions *out);

/* node_claims.c */
void claims_on_ask(struct node *node, uint64_t from, const struct message *message,
		   struct instant now, struct actions *out);
void claims_on_answer(struct node *node, uint64_t seq, enum claim_result result, int status,
		      struct actions *out);
void claims_on_end(struct node *node, uint64_t from, const struct claim_op *op, struct instant now,
		   struct actions *out);
void claims_on_ended(struct node *node, uint64_t claim, struct actions *out);
void claims_on_batch(struct node *node, const struct event *event, struct instant now,
		     struct actions *out);
void claims_process(struct node *node, int partition, struct instant now, struct actions *out);
void claims_tick(struct node *node, struct instant now, struct actions *out);

/* node_quota.c */
void quotas_on_ask(struct node *node, uint64_t from, const struct message *message,
		   struct instant now, struct actions *out);
void quotas_on_grant(struct node *node, const struct message *message, struct instant now,
		     struct actions *out);
/** Others took this node for dead, and asked other holders for its shards. */
void quotas_on_refutation(struct node *node, struct instant now);
void quotas_tick(struct node *node, struct instant now, struct actions *out);

/* node_calls.c */
void calls_on_census_ask(struct node *node, uint64_t from, uint64_t seq, struct actions *out);
void calls_on_census(struct node *node, uint64_t seq, int64_t version);

/* node_marks.c */
void marks_on_poison(struct node *node, const struct poison_mark *mark, struct instant now,
		     struct actions *out);
/** Asks a current node for its marks if they differ from those held. */
void marks_on_digest(struct node *node, uint64_t from, const struct digest *digest,
		     struct instant now, struct actions *out);
void marks_on_ask(struct node *node, uint64_t from, const struct message *message,
		  struct instant now, struct actions *out);
void marks_on_marks(struct node *node, const struct message *message, struct instant now,
		    struct actions *out);
/** Sends marks to some peers: this node may be the last one that holds them. */
void marks_on_stop(struct node *node, struct instant now, struct actions *out);
void marks_round(struct node *node, struct actions *out);

#endif
