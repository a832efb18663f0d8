/**
 * @file
 * Internals of the table of moves, for move.c, move_share.c and move_coordinate.c. All of it is
 * under LOCK_MOVES.
 */
#ifndef CORE_MOVE_TABLE_H
#define CORE_MOVE_TABLE_H

#include "base/lockorder.h"
#include "core/move.h"

enum {
	SHARE_FULL = 10000,  /* hundredths of a per cent */
	SHARE_RECHECK = 500, /* left to the old version of a done move, to compare with */
};

#define RECHECK_US (10 * US_PER_S)

struct move {
	struct move_spec spec;
	struct move_state state;
	struct evidence *evidence; /* NULL but on coordinators */
	int64_t step_seen_at_us;   /* wall clock, when this node learned of the step; 0: not yet */
	double own_llr;		   /* log-likelihood ratio against the new version, by own calls */
	double old_failure_rate;   /* smoothed, of the own calls to the old version */
	double new_failure_rate;   /* smoothed, of the own calls to the new version */
	bool held_reported;
	struct deadline contained_until; /* no calls to the new version; unset: not contained */
};

struct moves {
	struct lock lock;
	GPtrArray *moves;	  /* struct move, of the configuration */
	GHashTable *early_states; /* id -> struct move_state, received before the configuration */
	uint64_t hash;
};

struct move *moves_find(struct moves *moves, uint64_t id);
struct move *moves_find_service(struct moves *moves, const struct label *service);
void moves_rehash(struct moves *moves);
void move_step_changed(struct move *move);
bool move_is_old(const struct move *move, const struct label *version);
/** Returns the time between two steps. */
int64_t move_interval_us(const struct move_spec *spec);
/** Returns whether a done move is compared with its old version now. */
bool move_is_rechecked(const struct move *move, struct instant now);
/** Returns the share of old traffic that goes to the new version, hundredths of a per cent. */
int move_opened_share(const struct move *move, struct instant now);

#endif
