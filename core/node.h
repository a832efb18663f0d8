/**
 * @file
 * One node's decisions: configuration, membership, moves and calls over the shared tables. It has
 * no I/O and no clock: events go in, actions come out, and the same trace gives the same actions.
 * A program may hold hundreds of nodes. All functions may be called from any worker.
 */
#ifndef CORE_NODE_H
#define CORE_NODE_H

#include "base/verdict.h"
#include "core/admit.h"
#include "core/event.h"
#include "core/tally.h"
#include "core/traffic.h"

/** Options of a node; a zero member takes its default where one is stated. */
struct node_options {
	uint64_t id; /**< see member_id() */
	struct label data_centre;
	uint64_t seed;
	const uint64_t *seeds; /**< nodes to ask on the start; copied */
	int seed_count;
	int readers;		  /**< of the log, in each data centre; default 2 */
	int64_t log_retention_us; /**< how long the log keeps records; default 1 hour */
	bool log_keeps_files;	  /**< the log itself keeps the newest of each file: no snapshots */
	double retry_ratio;	  /**< repeats for each call of a service; default a tenth */
	int retry_slack; /**< and so many more at once, shared by all nodes; 0: 50 a node */
};

struct node;

/** Returns NULL and sets @p error if an option is out of range. */
struct node *node_new(const struct node_options *options, struct instant now, GError **error);
void node_free(struct node *node);

/** Handles one event; adds what is to be done to @p out. */
void node_handle(struct node *node, const struct event *event, struct instant now,
		 struct actions *out);

/** Completes a message that came from a peer: what it tells as a change of something that this node
 *  holds becomes whole, for the parser. */
void node_complete(struct node *node, struct message *message);

/** The configuration in force; the caller owns a reference. */
struct config *node_config(struct node *node);
/** True once the node holds the newest configuration that it could learn of. */
bool node_is_current(struct node *node);
/** True while callers should come here: it is current, holds a configuration and does not stop. */
bool node_is_ready(struct node *node);
struct history *node_history(struct node *node);
struct members *node_members(struct node *node);
struct moves *node_moves(struct node *node);
/** Admission at the node's own target. */
struct admit *node_admit(struct node *node);
struct digest node_digest(struct node *node);

/* Calls */

/** What a call is, for the choice of its target. */
struct call_facts {
	const struct route *route;
	uint64_t point;			  /**< stable hash that places it in the shares */
	uint64_t fingerprint;		  /**< of the request, for quarantine */
	uint64_t avoid[CHOICE_AVOID_MAX]; /**< targets tried before */
	int avoid_count;
	enum choice_where where;
};

/** The service that takes the call: the same for all attempts. */
struct label call_service(const struct call_facts *facts);

enum choice_kind {
	CHOICE_TARGET,
	CHOICE_NO_TARGET,   /**< no target of the service takes work: not run */
	CHOICE_QUARANTINED, /**< it crashed targets before: not run */
	CHOICE_NOT_CURRENT, /**< the node still joins: not run */
};

struct choice {
	enum choice_kind kind;
	uint64_t target; /**< member id; end with node_call_ended() */
	struct label version;
};

struct choice node_choose(struct node *node, const struct config *config,
			  const struct call_facts *facts, struct instant now);
/** A target that was chosen before takes the call after all; end with node_call_ended(). */
void node_call_begins(struct node *node, uint64_t target);
/** What this entry has seen of each route. */
struct traffic *node_traffic(struct node *node);

/** Notes how an attempt ended, as the entry node saw it. */
void node_call_ended(struct node *node, struct label service, uint64_t target,
		     enum call_outcome outcome, struct instant now, struct actions *out);

/** Takes one retry from a service's budget: a tenth of its calls, and a few to start with. */
bool node_take_retry(struct node *node, struct label service);
/** Notes a first attempt, which adds to the budget. */
void node_note_call(struct node *node, struct label service);

/** Notes how a call ended at this node's own target. */
void node_target_ended(struct node *node, struct label route, enum target_outcome outcome,
		       int64_t service_us, struct instant now);
/** The node's target went away with these calls in flight; spreads the marks. */
void node_target_crashed(struct node *node, const uint64_t *fingerprints, int count,
			 struct label route, struct instant now, struct actions *out);

/* At-most-once */

/**
 * Asks for an idempotency key; the answer comes as ACTION_CLAIMED with the number that is
 * returned, by @p until at the latest. *claim goes into node_claim_end().
 */
uint64_t node_claim_start(struct node *node, struct claim_key key, struct deadline until,
			  struct instant now, uint64_t *claim, struct actions *out);
/** Tells how a granted claim ended: CLAIM_RAN or CLAIM_RELEASE. Without it the key stays held. */
void node_claim_end(struct node *node, const struct claim_note *note, struct instant now,
		    struct actions *out);

/* Census: how many members hold a version. */

struct census {
	int asked;
	int answered;
	int holding; /**< the version or a newer one */
};

/** Asks the live members of this data centre; answers come in as messages. */
uint64_t node_census_start(struct node *node, int64_t version, struct actions *out);
struct census node_census_result(struct node *node, uint64_t seq);

#endif
