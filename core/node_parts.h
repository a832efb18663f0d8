/**
 * @file
 * What the parts of the node share: its tables, and what each part handles.
 */
#ifndef CORE_NODE_PARTS_H
#define CORE_NODE_PARTS_H

#include "base/lockorder.h"
#include "core/node.h"
#include "core/poison.h"

#define ROUND_US	 (1 * US_PER_S)	   /* probes, sweeps, coordination */
#define MOVES_TICK_US	 (200 * US_PER_MS) /* steps of short moves are a second apart */
#define FLUSH_US	 (200 * US_PER_MS) /* pending member records */
#define ACK_US		 (400 * US_PER_MS) /* then others are asked to probe */
#define FAR_PULL_US	 (500 * US_PER_MS) /* the own data centre hears of news by itself meanwhile */
#define GATHER_US	 (300 * US_PER_MS) /* changes in quick succession are taken together */
#define PULL_US		 (1 * US_PER_S)	   /* then another peer is asked */
#define LOG_WAIT_US	 (20 * US_PER_S)
#define LOG_RETRY_MIN_US (500 * US_PER_MS)
#define LOG_RETRY_MAX_US (8 * US_PER_S)
#define SYNC_US		 (5 * US_PER_S) /* least time between two syncs of members */
#define MOVES_SYNC_US	 (1 * US_PER_S)
#define DEAD_PING_US	 (5 * US_PER_S)

enum {
	FANOUT = 10,	    /* peers told of news at once: e^-10 of them hear it from nobody */
	FANOUT_LOCAL = 7,   /* of them in the own data centre */
	FLUSH_PEERS = 3,    /* peers told of changed member records at once */
	RECORDS_PER_S = 50, /* member records sent a second in the long run */
	RECORDS_BURST = 2000,
	RELAYS = 3,		  /* peers asked to probe for us */
	UPDATES_PER_MESSAGE = 12, /* member records that ride on a datagram */
	RECORDS_PER_SYNC = 100,	  /* member records in one message of a sync */
	SYNCS_PER_ROUND = 40,	  /* answers with all members, in a second */
	PULLS_PER_ROUND = 400,	  /* answers with records; a herd beyond it comes back later */
	BOOT_SAMPLE = 3,	  /* current peers heard before a joining node trusts what it has */
	SNAPSHOT_PART_BYTES = 32 << 10,
	SNAPSHOT_EVERY = 256, /* records between snapshots */
	SNAPSHOT_PARTS_MAX = 4096,
	UNSAVED_MAX = 256,
	CENSUS_ENTRIES = 4,
	GREETED_MAX = 20, /* nodes of a list that are told of this one; they tell the rest */
};

/** A member record that still has to be told to a few peers. */
struct pending_update {
	struct member record;
	int sends_left;
};

struct probe_state {
	uint64_t subject; /* 0: none */
	uint32_t seq;
	struct deadline relay_at;
	struct deadline suspect_at;
	bool relayed;
};

struct pull_state {
	uint64_t from; /* 0: none */
	struct deadline until;
	struct deadline not_before;
	int64_t known_newest;
	uint64_t known_from;
	struct deadline far_at; /* until then a node of the own data centre may have it as well */
	bool whole;		/* a delta was for an edition that is not held here */
};

enum boot_phase {
	BOOT_PEERS,  /* asks peers */
	BOOT_SYSTEM, /* reads the system's stream */
	BOOT_CONFIG, /* reads the stream of changes to its end */
	BOOT_CURRENT,
};

struct boot_state {
	enum boot_phase phase;
	int heard; /* current peers that told their digest */
	uint64_t heard_from[BOOT_SAMPLE];
	int64_t newest_heard;
	struct deadline ask_at;
	struct deadline log_at;		/* when it turns to the log */
	struct deadline members_ask_at; /* when they are asked for (again) */
	bool members_known;
};

struct log_state {
	bool reading[2]; /* STREAM_CONFIG and STREAM_SYSTEM */
	int64_t system_next;
	int64_t retry_us; /* grows while the log is out */
	struct deadline retry_at;
	bool out;
	bool reader;
	bool lapsed; /* the wanted changes are gone: the system's stream has a snapshot */
};

/** Parts of a snapshot as they come in. */
struct assembly {
	int64_t version;
	int64_t accepted;
	int64_t written_at_us;
	int count;
	int seen;
	bool *have;
	GPtrArray *files;
};

struct unsaved_move {
	struct saved_move move;
	uint64_t tag; /* of the append under way; 0: none */
};

struct spread_state {
	struct lock lock; /* LOCK_SPREAD */
	struct rng rng;
	GQueue *updates;      /* struct pending_update */
	double record_tokens; /* bounds what a herd of changes costs */
	struct probe_state probe;
	struct pull_state pull;
	struct boot_state boot;
	struct log_state log;
	struct assembly from_peer;
	struct assembly from_log;
	int64_t snapshot_version;
	int64_t snapshot_at_us; /* wall clock */
	uint64_t snapshot_tag;	/* last part of the append under way */
	int64_t snapshot_pending_version;
	struct deadline snapshot_not_before;
	GArray *unsaved; /* struct unsaved_move, states of moves not in the log yet */
	struct deadline round_at;
	struct deadline flush_at;
	struct deadline sync_at;
	struct deadline moves_sync_at;
	struct deadline moves_at;
	struct deadline dead_ping_at;
	int pulls_served; /* in this round */
	int syncs_served;
	uint32_t seq;
	uint64_t tag;
	struct {
		uint64_t seq;
		int64_t version;
		struct census census;
	} census[CENSUS_ENTRIES];
	bool retiring;
	bool stopping;
	GHashTable *budgets; /* struct label -> struct retry_budget */
};

struct retry_budget {
	struct label service;
	double tokens;
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
	struct spread_state spread;
	struct deadline target_cold_until; /* under spread.lock; unset before its first call */
};

/** A generator split off from the node's own. Takes LOCK_SPREAD. */
struct rng node_rng(struct node *node);
/** Sends @p message to FANOUT live peers, most of the own data centre. Takes over a reference. */
void node_tell_some(struct node *node, struct message *message, struct actions *out);

/* node_fleet.c */
void fleet_round(struct node *node, struct instant now, struct actions *out);
void fleet_tick(struct node *node, struct instant now, struct actions *out);
void fleet_ping_seeds(struct node *node, int count, struct actions *out);
void fleet_greet(struct node *node, const uint64_t *ids, int count, struct actions *out);
void fleet_on_probe(struct node *node, uint64_t from, const struct message *message,
		    struct instant now, struct actions *out);
void fleet_on_ping_request(struct node *node, uint64_t from, const struct message *message,
			   struct actions *out);
void fleet_on_members_ask(struct node *node, uint64_t from, const struct message *message,
			  struct actions *out);
void fleet_ask_members(struct node *node, uint64_t from, bool all, struct actions *out);
void fleet_on_members(struct node *node, const GArray *records, struct instant now,
		      struct actions *out);
void fleet_update_self(struct node *node, const struct member *self, uint64_t refute,
		       struct actions *out);
/** Takes one of a round's answers; false if @p max of them are given. */
bool fleet_may_serve(struct node *node, int *served, int max);

/* node_config.c */
void config_on_digest(struct node *node, uint64_t from, const struct digest *digest,
		      struct instant now, struct actions *out);
void config_on_advert(struct node *node, uint64_t from, int64_t version, struct instant now,
		      struct actions *out);
void config_on_pull(struct node *node, uint64_t from, const struct message *message,
		    struct actions *out);
void config_on_records(struct node *node, uint64_t from, const struct message *message,
		       struct instant now, struct actions *out);
void config_on_snapshot(struct node *node, uint64_t from, const struct snapshot_part *part,
			struct instant now, struct actions *out);
void config_on_retry(struct node *node, uint64_t from, int64_t after_us, struct instant now);
void config_tick(struct node *node, struct instant now, struct actions *out);
void config_boot_tick(struct node *node, struct instant now, struct actions *out);
/** Offers records in order; true if the version moved on. */
bool config_take_records(struct node *node, const struct change_record *records, int count,
			 struct actions *out);
/** Tells some peers of the version held. */
void config_advertise(struct node *node, struct actions *out);
bool config_take_part(struct node *node, struct assembly *assembly,
		      const struct snapshot_part *part, struct actions *out);
GPtrArray *config_snapshot_parts(struct node *node, struct instant now);
/** The answer of a peer to the question for all members is complete. */
void config_members_known(struct node *node);
void config_now_current(struct node *node, struct actions *out);

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
void moves_round(struct node *node, struct instant now, struct actions *out);
/** Opens steps that are due. */
void moves_tick(struct node *node, struct instant now, struct actions *out);
void moves_on_states(struct node *node, const GArray *states, bool tell, struct actions *out);
void moves_on_evidence(struct node *node, const struct message *message);
void moves_on_digest(struct node *node, uint64_t from, const struct digest *digest,
		     struct instant now, struct actions *out);

/* node_claims.c */
void claims_on_ask(struct node *node, uint64_t from, const struct message *message,
		   struct instant now, struct actions *out);
void claims_on_answer(struct node *node, uint64_t seq, enum claim_result result, int status,
		      struct actions *out);
void claims_on_end(struct node *node, const struct claim_note *note, struct instant now,
		   struct actions *out);
void claims_on_batch(struct node *node, const struct event *event, struct instant now,
		     struct actions *out);
void claims_drive(struct node *node, int partition, struct instant now, struct actions *out);
void claims_tick(struct node *node, struct instant now, struct actions *out);

/* node_calls.c */
void calls_on_poison(struct node *node, const struct poison_mark *mark, struct instant now,
		     struct actions *out);
void calls_on_census_ask(struct node *node, uint64_t from, uint64_t seq, struct actions *out);
void calls_on_census(struct node *node, uint64_t seq, int64_t version);

#endif
