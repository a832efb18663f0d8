/**
 * @file
 * Inside of the table of moves, for move.c, move_share.c and move_coordinate.c. All under
 * LOCK_MOVES.
 */
#ifndef CORE_MOVE_TABLE_H
#define CORE_MOVE_TABLE_H

#include "base/lockorder.h"
#include "core/move.h"

enum {
	SHARE_WHOLE = 10000, /* hundredths of a per cent */
	SHARE_RECHECK = 500, /* back to the old version, to compare with */
};

#define RECHECK_US (10 * US_PER_S)

struct move {
	struct move_spec spec;
	struct move_state state;
	struct evidence *evidence; /* on coordinators only */
	int64_t step_seen_at_us;   /* wall clock, when this node learned of the current step */
	double own_evidence;	   /* against the new version, by this node's own calls */
	double old_failing;	   /* smoothed failure rate of the old version, likewise */
	double new_failing;	   /* and of the new one */
	bool held_told;
	struct deadline contained_until;
};

struct moves {
	struct lock lock;
	GPtrArray *moves;    /* struct move, of the configuration */
	GHashTable *unknown; /* id -> struct move_state, ahead of their configuration */
	uint64_t hash;
};

struct move *moves_find(struct moves *moves, uint64_t id);
struct move *moves_find_service(struct moves *moves, const struct label *service);
void moves_rehash(struct moves *moves);
void move_step_changed(struct move *move);
bool move_is_old(const struct move *move, const struct label *version);
/** Time between two steps. */
int64_t move_interval_us(const struct move_spec *spec);
/** Whether a done move is compared with its old version right now. */
bool move_is_rechecked(const struct move *move, struct instant now);
/** Share of the old version that has gone over to the new one, hundredths of a per cent. */
int move_moved_share(const struct move *move, struct instant now);

#endif
