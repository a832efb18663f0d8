/**
 * @file
 * Simulates a fleet: many core instances in one process, a message layer with seeded loss, delay,
 * duplication and reordering, and a fake log. It checks the invariants of a node after each event.
 * All times are simulated.
 */
#ifndef REGRESS_SIM_H
#define REGRESS_SIM_H

#include "base/rng.h"
#include "core/node.h"

struct sim;

/** Parameters of a simulation. */
struct sim_options {
	int nodes;
	int data_centres;
	uint64_t seed;
	double loss;		  /**< fraction of messages lost */
	double duplicates;	  /**< fraction of messages delivered twice */
	int64_t delay_min_us;	  /**< minimum message delay; 200 if 0 */
	int64_t delay_max_us;	  /**< maximum message delay; 2000 if 0 */
	bool count_bytes;	  /**< encode each message to count its bytes */
	bool preload;		  /**< nodes start with the full membership, as after a long run */
	int64_t link_bytes_per_s; /**< rate of each node's link, each way; 0: no limit */
	int readers;
	int64_t log_retention_us;
	int64_t apply_within_us;  /**< see struct node_options */
	int64_t revoke_within_us; /**< see struct node_options */
	/** If not NULL, called when a node has the result of a claim. */
	void (*on_claimed)(struct sim *sim, int node, uint64_t seq, enum claim_result result);
	/** Called with the decision on a request that waited for a token; may be NULL. */
	void (*on_quota)(struct sim *sim, int node, const struct quota_result *result);
	void *context; /**< returned by sim_context() */
};

/** A target of a simulated node and its faults. */
struct sim_target {
	struct label service;
	struct label version;
	int slots;
	double failure_fraction; /**< fraction of calls that fail because of the version */
	double slow_factor;	 /**< multiplies the service time */
	/** The route to which failure_fraction and slow_factor apply; all routes if empty. */
	struct label faulty_route;
	/** The time since the start from which failure_fraction and slow_factor apply. */
	int64_t faulty_from_us;
	int64_t cold_until_us; /**< service times are four times as long until then */
	/** Fraction of calls that fail in addition, because of the environment. */
	double shared_failure_fraction;
	bool crashed; /**< calls get no answer */
};

struct sim_node {
	struct node *node; /**< NULL if not running */
	uint64_t id;
	int data_centre;
	int64_t last_version; /**< configuration version after the last event */
	int64_t started_us;   /**< distinguishes a restarted node from its predecessor */
	uint64_t sent_bytes;
	uint64_t received_bytes;
	uint64_t messages;
	struct sim_target target;
	struct move_state last_move; /**< last state that the invariant check saw */
	bool frozen;		     /**< see sim_freeze() */
	bool isolated;		     /**< see sim_isolate() */
	int64_t wall_offset_us;	     /**< error of the node's time of day */
	int64_t sending_until_us;    /**< when the link has sent all that it was given */
	int64_t receiving_until_us;  /**< when the link has received all that was sent to it */
};

void *sim_context(const struct sim *sim);
/** Performs and frees the actions that @p node returned to a test. */
void sim_dispatch_actions(struct sim *sim, int node, struct actions *actions);

struct sim *sim_new(const struct sim_options *options);
void sim_free(struct sim *sim);
/** Runs the simulation for @p us of simulated time. */
void sim_run(struct sim *sim, int64_t us);
/**
 * Runs until all running nodes that are not paused are current and hold @p version. Returns the
 * time it took, or -1 if it exceeds @p limit_us.
 */
int64_t sim_run_until_version(struct sim *sim, int64_t version, int64_t limit_us);
struct instant sim_now(const struct sim *sim);
/** Returns the time on the clocks of a node. */
struct instant sim_node_now(const struct sim *sim, int index);
int64_t sim_elapsed_us(const struct sim *sim);
int sim_count(const struct sim *sim);
struct sim_node *sim_node(struct sim *sim, int index);
struct rng *sim_rng(struct sim *sim);

/** Ends a node without notice to the others. */
void sim_kill(struct sim *sim, int index);
/** Starts a node without any stored state. */
void sim_start(struct sim *sim, int index);
/** Pauses or resumes a node. Its messages and ticks are deferred while it is paused. */
void sim_freeze(struct sim *sim, int index, bool frozen);
/** Makes a node leave the fleet. */
void sim_stop(struct sim *sim, int index);
/** Drops, or delivers again, all messages from one data centre to another; one direction only. */
void sim_cut(struct sim *sim, int from_data_centre, int to_data_centre, bool cut);
void sim_set_loss(struct sim *sim, double loss);
/** Drops all messages to and from a node, or delivers them again. The log answers it as before. */
void sim_isolate(struct sim *sim, int index, bool isolated);

/** Announces a target to its node. */
void sim_announce_target(struct sim *sim, int index, const char *service, const char *version,
			 int slots);

/** Appends a change to the fake log and returns its offset. */
int64_t sim_publish(struct sim *sim, const char *id, const char *file, int64_t base,
		    const char *content);
/** Makes the fake log unavailable, or available again. */
void sim_log_set_unavailable(struct sim *sim, bool unavailable);
/** Removes the records of all streams that are older than @p retention_us. */
void sim_log_expire(struct sim *sim, int64_t retention_us);
/** The next @p count appends take effect but are answered as failed. */
void sim_log_lose_answers(struct sim *sim, int count);
/** Requests to the fake log since the start. */
struct sim_log_stats {
	int64_t reads;
	int64_t appends;
	int64_t system_records; /**< appends to STREAM_SYSTEM */
};
struct sim_log_stats sim_log_stats(const struct sim *sim);

enum sim_call_result { SIM_CALL_SUCCEEDED, SIM_CALL_FAILED, SIM_CALL_NOT_RUN };

/**
 * Makes a call on @p route through the entry node @p index. @p point: see struct call_attributes.
 * Sets *version to the version that served the call, if any.
 */
enum sim_call_result sim_call(struct sim *sim, int index, const char *route, uint64_t point,
			      struct label *version);

/** Crashes the target of a node with one request in flight. */
void sim_crash_target(struct sim *sim, int index, uint64_t fingerprint);
/** Chooses a target for a request on the route "r" at the entry node @p index. */
enum choice_kind sim_choose(struct sim *sim, int index, uint64_t fingerprint);

/** Returns the first violation of an invariant, or an empty string. */
const char *sim_violation(const struct sim *sim);
/** Returns a hash of all actions so far. Runs with the same seed give the same hash. */
uint64_t sim_trace_hash(const struct sim *sim);

#endif
