/**
 * @file
 * Table of moves: traffic of a service from one target version to another by a stated time. The
 * state of a move is a join-semilattice, so that late, doubled and crossed messages agree
 * without a leader.
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

/** The part of a move that spreads. */
struct move_state {
	uint64_t id;
	uint8_t step;		 /**< highest step opened; 0: none */
	int64_t done_at_us;	 /**< wall clock; 0: not done; the earliest wins */
	int64_t withdrawn_at_us; /**< wall clock; 0: not withdrawn; the earliest wins, and is final
				  */
	enum withdraw_reason reason;
	struct label route;    /**< that showed the reason */
	struct label from;     /**< version to go back to, where the order names none; empty: not
				    known yet */
	int64_t recheck_at_us; /**< wall clock; from then on the old version gets a few calls for a
				    while, to compare a done one with; the latest wins */
};

/** Joins @p from into @p into; true if that changed it. Both are of one move. */
bool move_state_join(struct move_state *into, const struct move_state *from);

enum { MOVE_STEPS = 8 };
/** Share of the traffic after a step, in hundredths of a per cent. */
int move_step_share(int step);
/** When a step is due, wall clock. */
int64_t move_step_at_us(const struct move_spec *spec, int step);

enum move_phase {
	MOVE_WAITING, /**< its start has not come */
	MOVE_RUNNING,
	MOVE_HELD, /**< would go on, but the switch for it is off, or no target of the version lives
		    */
	MOVE_DONE,
	MOVE_WITHDRAWN,
};

struct str move_phase_name(enum move_phase phase);

/** A move as reported to people. */
struct move_report {
	struct move_spec spec;
	struct move_state state;
	enum move_phase phase;
	char why[96];
	bool late;
};

/** What the coordinator of a move originated. */
enum move_change_kind {
	MOVE_CHANGE_NONE,
	MOVE_CHANGE_STEP,
	MOVE_CHANGE_DONE,
	MOVE_CHANGE_RECHECK,
	MOVE_CHANGE_WITHDRAW,
	MOVE_CHANGE_HELD, /**< a step is due, but advance is off; told once, nothing changed */
};

struct move_change {
	enum move_change_kind kind;
	struct move_spec spec;
	struct move_state state;
};

struct moves;

struct moves *moves_new(apr_pool_t *pool);
void moves_free(struct moves *moves);

/** Follows a new configuration: keeps what it still names. All functions take LOCK_MOVES. */
void moves_configure(struct moves *moves, const struct config *config);
/** Joins a state that came from elsewhere; true if it was news. Unknown ids are kept for a
 *  configuration that is still on its way. */
bool moves_merge(struct moves *moves, const struct move_state *state);
/** Order-independent hash of all states of the configuration's moves. */
uint64_t moves_hash(struct moves *moves);
/** All states; the caller frees the array. */
GArray *moves_states(struct moves *moves);

/** Chooses the version for a call: @p point is its stable hash. False if the service has none. */
bool moves_choose_version(struct moves *moves, const struct config *config, struct label service,
			  uint64_t point, struct instant now, struct version_filter *version);
/** Notes the entry node's own view of a call: after a few failures that the old version does not
 *  show, the new one is contained here for a while, before the fleet agrees. */
void moves_note_call(struct moves *moves, struct label service, struct label version, bool failed,
		     struct instant now);
/** The version that stands in when the chosen one has no target; false if there is none. */
bool moves_fallback_version(struct moves *moves, struct label service,
			    const struct version_filter *version, struct version_filter *fallback);
/** Whether a version is the one that a move brings in. */
bool moves_is_new_version(struct moves *moves, struct label service,
			  const struct version_filter *version);
/** How many of a version's @p targets take part while its move has opened a share only: so few
 *  that each of them is loaded as all will be. 0: all. */
int moves_canaries(struct moves *moves, struct label service, const struct version_filter *version,
		   int targets, struct instant now);
/** The versions that a move takes traffic from. */
struct version_filter move_old_versions(const struct move_spec *spec,
					const struct move_state *state);
/** The same of a move in the table. */
struct version_filter moves_old_versions(struct moves *moves, uint64_t id);
/** The move that a version of a service takes part in, if its evidence is wanted now. */
bool moves_wants_evidence(struct moves *moves, struct label service, struct label version,
			  uint64_t *id);
/** Time between two steps of a service's move; @p fallback without one. */
int64_t moves_step_us(struct moves *moves, struct label service, int64_t fallback);
/** Share of the service's traffic that the move has opened, hundredths of a per cent. */
int moves_share(struct moves *moves, uint64_t id, struct instant now);

/** Takes a window for a move that this node coordinates. */
void moves_add_evidence(struct moves *moves, uint64_t id, struct label version,
			const struct evidence_window *window);

/** What the coordinator knows besides the evidence. */
struct move_surroundings {
	bool second_ends; /**< the evidence of a second is complete */
	bool may_advance;
	bool may_withdraw;
	int new_targets;	   /**< live targets of the new version */
	int old_targets;	   /**< and of the old one */
	struct label main_version; /**< of most live targets but those of the new version */
};

/** The ids of the configuration's moves; the caller frees the array. */
GArray *moves_ids(struct moves *moves);
bool moves_spec(struct moves *moves, uint64_t id, struct move_spec *spec);

/** Decides for a move that this node coordinates: several times a second whether its next step is
 *  due, once a second by the evidence. */
struct move_change moves_coordinate(struct moves *moves, uint64_t id,
				    const struct move_surroundings *around, struct instant now);

/** Reports all moves of the configuration; the caller frees the array of struct move_report. */
GArray *moves_report(struct moves *moves, const struct config *config, struct instant now);

#endif
