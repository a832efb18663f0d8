/**
 * @file
 * Table of moves. A move shifts the traffic of a service from one target version to another by a
 * stated time. Its state is a join-semilattice: nodes that get the same states late, twice or in
 * another order agree without a leader.
 */
#ifndef CORE_MOVE_H
#define CORE_MOVE_H

#include <apr_pools.h>

#include "base/rng.h"
#include "core/config.h"
#include "core/evidence.h"
#include "core/member.h"

enum withdraw_reason {
	WITHDRAW_NONE,
	WITHDRAW_FAILURES,
	WITHDRAW_LATENCY,
};

struct str withdraw_reason_name(enum withdraw_reason reason);

/** The state of a move that nodes exchange. */
struct move_state {
	uint64_t id;
	uint8_t step;		 /**< highest open step; 0: none */
	int64_t done_at_us;	 /**< wall clock; 0: not done; the earliest wins */
	int64_t withdrawn_at_us; /**< wall clock; 0: not withdrawn; the earliest wins; final */
	enum withdraw_reason reason;
	struct label route;    /**< the route that showed the reason */
	struct label from;     /**< old version of an open-ended move; empty: not known yet */
	int64_t recheck_at_us; /**< wall clock; the latest wins; from then on the old version gets a
				  few calls for a while, to compare a done move with */
};

/** Joins @p from, a state of the same move, into @p into. Returns true if that changed @p into. */
bool move_state_join(struct move_state *into, const struct move_state *from);

enum { MOVE_STEPS = 8 };
/** Returns the share of the traffic after a step, in hundredths of a per cent. */
int move_step_share(int step);
/** Returns when a step is due, wall clock. */
int64_t move_step_at_us(const struct move_spec *spec, int step);

enum move_phase {
	MOVE_WAITING, /**< before its start */
	MOVE_RUNNING,
	MOVE_HELD, /**< automatic advance is switched off */
	MOVE_DONE,
	MOVE_WITHDRAWN,
};

struct str move_phase_name(enum move_phase phase);

/** A move as reported to operators. */
struct move_report {
	struct move_spec spec;
	struct move_state state;
	enum move_phase phase;
	char why[96];
	bool late;
};

/** The kind of a change made by the coordinator of a move. */
enum move_change_kind {
	MOVE_CHANGE_NONE,
	MOVE_CHANGE_STEP,
	MOVE_CHANGE_DONE,
	MOVE_CHANGE_RECHECK,
	MOVE_CHANGE_WITHDRAW,
	MOVE_CHANGE_HELD, /**< a step is due, but advance is off; reported once, the state stays */
};

struct move_change {
	enum move_change_kind kind;
	struct move_spec spec;
	struct move_state state;
};

struct moves;

struct moves *moves_new(apr_pool_t *pool);
void moves_free(struct moves *moves);

/** Applies a new configuration and drops the moves that it no longer has. All functions take
 * LOCK_MOVES. */
void moves_configure(struct moves *moves, const struct config *config);
/** Joins a state from a peer or the log. Returns true if it changed the table. States of unknown
 * ids are retained for a configuration yet to come. */
bool moves_merge(struct moves *moves, const struct move_state *state);
/** Returns an order-independent hash of the states of all moves of the configuration. */
uint64_t moves_hash(struct moves *moves);
/** Returns all states; the caller frees the array. */
GArray *moves_states(struct moves *moves);

/** Chooses the version for a call by its stable hash @p point. Returns false if the service has
 * none. */
bool moves_choose_version(struct moves *moves, const struct config *config, struct label service,
			  uint64_t point, struct instant now, struct version_filter *version);
/** Records the result of a call of this entry node. If the new version fails several calls and the
 * old one does not, this node contains it (sends it no calls) for a while, before the coordinators
 * act. */
void moves_record_call(struct moves *moves, struct label service, struct label version, bool failed,
		       struct instant now);
/** Sets the version to use if the chosen one has no target. Returns false if there is none. */
bool moves_fallback_version(struct moves *moves, struct label service,
			    const struct version_filter *version, struct version_filter *fallback);
/** Returns whether a version is the new version of a move. */
bool moves_is_new_version(struct moves *moves, struct label service,
			  const struct version_filter *version);
/** Returns how many of the version's @p targets get calls while its move has opened only a share of
 * the traffic: so few that each has the load that all will have at the end. 0: all. */
int moves_canaries(struct moves *moves, struct label service, const struct version_filter *version,
		   int targets, struct instant now);
/** Returns the versions that a move takes traffic from. */
struct version_filter move_old_versions(const struct move_spec *spec,
					const struct move_state *state);
/** Returns the versions that a move of the table takes traffic from. */
struct version_filter moves_old_versions(struct moves *moves, uint64_t id);
/** Sets *id to the move that a version of a service takes part in. Returns false if no move needs
 * evidence of it now. */
bool moves_wants_evidence(struct moves *moves, struct label service, struct label version,
			  uint64_t *id);
/** Returns the time between two steps of the service's move, or @p fallback without a move. */
int64_t moves_step_us(struct moves *moves, struct label service, int64_t fallback);
/** Returns the share of the traffic that the move has opened, hundredths of a per cent. */
int moves_share(struct moves *moves, uint64_t id, struct instant now);

/** Adds a window of evidence to a move that this node coordinates. */
void moves_add_evidence(struct moves *moves, uint64_t id, struct label version,
			const struct evidence_window *window);

/** Inputs of the decisions of a coordinator, besides the evidence. */
struct move_inputs {
	bool second_complete; /**< a second has ended and its evidence is complete */
	bool may_advance;
	bool may_withdraw;
	int new_targets;	   /**< live targets of the new version */
	int old_targets;	   /**< live targets of the old versions */
	struct label main_version; /**< version of the most live targets, without the new one */
};

/** Returns the ids of the moves of the configuration; the caller frees the array. */
GArray *moves_ids(struct moves *moves);
bool moves_spec(struct moves *moves, uint64_t id, struct move_spec *spec);

/** Decides for a move that this node coordinates: several times a second whether the next step is
 * due, once a second by the evidence. */
struct move_change moves_coordinate(struct moves *moves, uint64_t id,
				    const struct move_inputs *inputs, struct instant now);

/** Reports all moves of the configuration; the caller frees the array of struct move_report. */
GArray *moves_report(struct moves *moves, const struct config *config, struct instant now);

#endif
