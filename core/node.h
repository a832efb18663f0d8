/**
 * @file
 * The decisions of one node on configuration, membership, moves and calls, over shared tables. The
 * code does no I/O and reads no clock: it takes events and returns actions, and the same events
 * give the same actions. A program may hold hundreds of nodes. All functions are thread-safe.
 */
#ifndef CORE_NODE_H
#define CORE_NODE_H

#include "base/verdict.h"
#include "core/access.h"
#include "core/admit.h"
#include "core/event.h"
#include "core/tally.h"
#include "core/traffic.h"

/** Options of a node; a member that is 0 takes its default where one is stated. */
struct node_options {
	uint64_t id; /**< see member_id() */
	struct label data_centre;
	uint64_t seed;	       /**< seed of the random numbers */
	const uint64_t *seeds; /**< ids of nodes to contact at start; copied */
	int seed_count;
	bool first_start; /**< the whole fleet starts for the first time: see core/startup.h */
	int readers;	  /**< nodes per data centre that read the log; default 2 */
	int64_t log_retention_us; /**< retention of records in the log; default 1 hour */
	/** Time in which an acknowledged change is in force on each node that reaches the log;
	 *  default 8 s. */
	int64_t apply_within_us;
	bool log_retains_files; /**< the log retains each file's newest version: no snapshots */
	/** Time after which a key that was withdrawn admits no request on any node; 0: none. */
	int64_t revoke_within_us;
	struct quota_options quota; /**< tolerance of the limits of tenants; window 0: defaults */
	double link_mbps;	    /**< rate of the VM's link; 0: bodies are not limited */
	double retry_ratio;	    /**< retries per call of a service; default 0.1 */
	int retry_slack; /**< extra retries at once, shared by all nodes; 0: 50 per node */
	const struct warmup_options *warmup; /**< limit of cold targets; copied; default if NULL */
};

struct node;

/** Creates a node. Returns NULL and sets @p error if an option is out of range. */
struct node *node_new(const struct node_options *options, struct instant now, GError **error);
void node_free(struct node *node);

/** Handles one event and appends the resulting actions to @p out. */
void node_handle(struct node *node, const struct event *event, struct instant now,
		 struct actions *out);

/** Replaces the deltas in a peer's message by full content, for the parser. Drops the first
 *  record whose base version this node does not hold, and all later ones. */
void node_complete_message(struct node *node, struct message *message, struct instant now);

/** Returns the configuration in force; the caller owns a reference. */
struct config *node_config(struct node *node);
/** Returns true once the node holds the newest configuration that it could learn of. */
bool node_is_current(struct node *node);
/** Returns true while this node knows that a newer version than it holds exists. */
bool node_is_behind(struct node *node);
/** Returns true while callers should use this node: it is current, holds a configuration, and is
 *  neither retiring nor stopping. */
bool node_is_ready(struct node *node);
/** Returns what this node knows of newer configurations. Takes LOCK_GOSSIP. */
enum access_knowledge node_access_knowledge(struct node *node, struct instant now);
struct history *node_history(struct node *node);
struct members *node_members(struct node *node);
struct moves *node_moves(struct node *node);
/** Returns the admission table of the node's own target. */
struct admit *node_admit(struct node *node);
struct digest node_digest(struct node *node, struct instant now);

/* Calls */

/** Properties of a call that determine the choice of its target. */
struct call_attributes {
	const struct route *route;
	uint64_t point;			  /**< stable hash that picks service and version */
	uint64_t fingerprint;		  /**< hash of the request, for quarantine */
	uint64_t avoid[CHOICE_AVOID_MAX]; /**< targets of earlier attempts */
	int avoid_count;
	enum choice_data_centre data_centre;
};

/** Returns the service that the call goes to; it is the same for all attempts. */
struct label call_service(const struct call_attributes *facts);

enum choice_kind {
	CHOICE_TARGET,
	CHOICE_NO_TARGET,   /**< no target of the service accepts work: not run */
	CHOICE_QUARANTINED, /**< the request crashed targets before: not run */
	CHOICE_NOT_CURRENT, /**< the node is still joining: not run */
};

struct choice {
	enum choice_kind kind;
	uint64_t target; /**< member id; the call must end with node_call_ended() */
	struct label version;
};

struct choice node_choose_target(struct node *node, const struct config *config,
				 const struct call_attributes *facts, struct instant now);
/** Counts a call to a target that was chosen earlier; it must end with node_call_ended(). */
void node_call_started(struct node *node, uint64_t target);
/** Returns this entry node's statistics of each route. */
struct traffic *node_traffic(struct node *node);

/** Records how an attempt ended, as the entry node saw it. */
void node_call_ended(struct node *node, struct label service, uint64_t target,
		     enum call_outcome outcome, struct instant now, struct actions *out);

/** Takes one retry from a service's budget; returns false if none is left. The budget is a share of
 *  the service's calls (node_options.retry_ratio) plus a few initial retries. */
bool node_take_retry(struct node *node, struct label service);
/** Records a first attempt, which adds to the service's retry budget. */
void node_record_call(struct node *node, struct label service);

/** Records how a call ended at this node's own target. */
void node_target_ended(struct node *node, struct label route, enum target_outcome outcome,
		       int64_t service_us, struct instant now);
/** Records a crash of the node's target with these requests in flight; marks them for quarantine
 * and gossips the marks. */
void node_target_crashed(struct node *node, const uint64_t *fingerprints, int count,
			 struct label route, struct instant now, struct actions *out);

/* At-most-once */

/**
 * Claims an idempotency key. The result comes as ACTION_CLAIMED with the returned sequence number,
 * by @p deadline at the latest. *claim is then passed to node_claim_end().
 */
uint64_t node_claim_start(struct node *node, struct claim_key key, struct deadline deadline,
			  struct instant now, uint64_t *claim, struct actions *out);
/** Reports the end of a granted claim: CLAIM_COMPLETE or CLAIM_RELEASE. Without the report the key
 * stays held. ACTION_CLAIM_ENDED follows once the log holds it. */
void node_claim_end(struct node *node, const struct claim_op *op, struct instant now,
		    struct actions *out);

/* Limits of tenants */

/**
 * Takes a token of a tenant's limit for a request. With QUOTA_WAITS, *waiter is set and
 * ACTION_QUOTA follows with it.
 */
struct quota_decision node_quota_take(struct node *node, const struct tenant *tenant,
				      uint64_t *waiter, struct instant now, struct actions *out);
/** Returns the token of a request that was refused and has not run. */
void node_quota_return(struct node *node, const struct label *tenant, struct deadline until,
		       struct instant now);

/* Census: the number of members that hold a version. */

struct census {
	int asked;
	int answered;
	int holding; /**< members with the version or a newer one */
};

/** Asks the live members of this data centre for their versions; answers arrive as messages.
 *  Returns the sequence number for node_census_result(). */
uint64_t node_census_start(struct node *node, int64_t version, struct actions *out);
struct census node_census_result(struct node *node, uint64_t seq);

#endif
