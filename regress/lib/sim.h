/**
 * @file
 * Dozens to hundreds of core instances in one process over a fake message layer with seeded loss,
 * delay, duplication and reordering, and a fake log. A fixture for focused tests; it checks what
 * must always hold after each event.
 */
#ifndef REGRESS_SIM_H
#define REGRESS_SIM_H

#include "base/rng.h"
#include "core/node.h"

struct sim;

/** An answer to a claim came on a node. */
struct sim_options {
	int nodes;
	int data_centres;
	uint64_t seed;
	double loss;	      /**< share of messages lost */
	double duplicates;    /**< share delivered twice */
	int64_t delay_min_us; /**< default 200 */
	int64_t delay_max_us; /**< default 2000 */
	bool count_bytes;     /**< encode each message for its size */
	bool preload;	      /**< nodes start with the whole membership, as after a long run */
	int readers;
	int64_t log_retention_us;
	void (*on_claimed)(struct sim *sim, int node, uint64_t seq, enum claim_result result);
	void *context; /**< the test's own, see sim_context() */
};

/** A target of a simulated node, and how it behaves. */
struct sim_target {
	struct label service;
	struct label version;
	int slots;
	double fail_share; /**< of its calls */
	double slow_factor;
	struct label bad_route; /**< empty: all routes */
	int64_t bad_from_us;	/**< simulated time since the start */
	int64_t cold_until_us;
	double fault_share; /**< failures that the environment brings; both versions alike */
	bool crashed;
};

struct sim_node {
	struct node *node; /**< NULL: not running */
	uint64_t id;
	int data_centre;
	int64_t version_seen; /**< newest version it ever held, for the invariant */
	int64_t started_us;
	uint64_t sent_bytes;
	uint64_t received_bytes;
	uint64_t messages;
	struct sim_target target;
	struct move_state move_seen; /**< of the newest move it held, for the invariant */
	bool frozen;
};

void *sim_context(const struct sim *sim);
/** Carries out what a test had a node decide. */
void sim_carry_out(struct sim *sim, int node, struct actions *actions);

struct sim *sim_new(const struct sim_options *options);
void sim_free(struct sim *sim);
/** Runs for so long of simulated time. */
void sim_run(struct sim *sim, int64_t us);
/** Runs until all live nodes are current and hold @p version; the time it took, -1 if too long. */
int64_t sim_run_until_version(struct sim *sim, int64_t version, int64_t limit_us);
struct instant sim_now(const struct sim *sim);
int64_t sim_elapsed_us(const struct sim *sim);
int sim_count(const struct sim *sim);
struct sim_node *sim_node(struct sim *sim, int index);
struct rng *sim_rng(struct sim *sim);

/** Kills without a word; starts again with nothing kept. */
void sim_kill(struct sim *sim, int index);
void sim_start(struct sim *sim, int index);
/** Paused: messages and ticks wait until it goes on. */
void sim_freeze(struct sim *sim, int index, bool frozen);
void sim_stop(struct sim *sim, int index);
/** Cuts (or heals) the way from one data centre to another; one direction only. */
void sim_cut(struct sim *sim, int from_data_centre, int to_data_centre, bool cut);
void sim_set_loss(struct sim *sim, double loss);

/** The target announces itself. */
void sim_target_up(struct sim *sim, int index, const char *service, const char *version, int slots);

/** Appends a change to the fake log; its offset. */
int64_t sim_publish(struct sim *sim, const char *id, const char *file, int64_t base,
		    const char *content);
void sim_log_out(struct sim *sim, bool out);
/** Drops the records of both streams up to @p keep_us ago. */
void sim_log_lapse(struct sim *sim, int64_t keep_us);
/** The next appends take effect, but their answers are lost. */
void sim_log_lose_answers(struct sim *sim, int count);
struct sim_log_stats {
	int64_t reads;
	int64_t appends;
	int64_t system_records;
};
struct sim_log_stats sim_log_stats(const struct sim *sim);

enum sim_call_result { SIM_CALL_GOOD, SIM_CALL_FAILED, SIM_CALL_NOT_RUN };

/** One call from entry node @p index on a route; *version gets the version that served it. */
enum sim_call_result sim_call(struct sim *sim, int index, const char *route, uint64_t point,
			      struct label *version);

/** What did not hold; empty if all held. Tests fail on it. */
const char *sim_violation(const struct sim *sim);
/** The events so far as a hash: the same seed gives the same. */
uint64_t sim_trace_hash(const struct sim *sim);

#endif
