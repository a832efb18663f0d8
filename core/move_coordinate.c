/*
 * What a coordinator decides once a second: withdraw, compare again, open a step, done.
 */
#include "core/move_table.h"

enum {
	STEP_MIN_CALLS = 20,	/* to the new version before the next step */
	CONTAINED_EXPECTED = 8, /* calls; of fewer none may come by chance (once in 3,000) */
};

/* Cold targets and data centres without one get less than their share, but not that little. */
#define CONTAINED_PART 0.25

static enum withdraw_reason reason_of(enum evidence_finding finding)
{
	switch (finding) {
	case EVIDENCE_NONE:
	case EVIDENCE_UNPAIRED:
		return WITHDRAW_NONE;
	case EVIDENCE_FAILURES:
		return WITHDRAW_FAILURES;
	case EVIDENCE_LATENCY:
		return WITHDRAW_LATENCY;
	}
	g_assert_not_reached();
}

/* Whether the old version gets calls that the new one can be compared with. */
static bool old_has_share(const struct move *move, struct instant now)
{
	if (move->state.done_at_us)
		return move_is_rechecked(move, now);
	return move->state.step < MOVE_STEPS;
}

/* Closes the second's evidence and withdraws the move, or has a done one compared again. */
static enum move_change_kind judge(struct move *move, const struct move_surroundings *around,
				   struct instant now)
{
	struct label route = { 0 };
	enum evidence_finding finding;

	if (!move->evidence)
		return MOVE_CHANGE_NONE;
	finding = evidence_close(move->evidence, old_has_share(move, now), &route);
	if (!around->may_withdraw || move->state.step == 0)
		return MOVE_CHANGE_NONE;
	/* The old targets of an open-ended move end once it is done: there is no way back. */
	if (move->spec.from.len == 0 && move->state.done_at_us)
		return MOVE_CHANGE_NONE;
	switch (finding) {
	case EVIDENCE_NONE:
		return MOVE_CHANGE_NONE;
	case EVIDENCE_UNPAIRED:
		if (!move->state.done_at_us || around->old_targets == 0 ||
		    move_is_rechecked(move, now))
			return MOVE_CHANGE_NONE;
		move->state.recheck_at_us = now.wall_us;
		return MOVE_CHANGE_RECHECK;
	case EVIDENCE_FAILURES:
	case EVIDENCE_LATENCY:
		move->state.withdrawn_at_us = now.wall_us;
		move->state.reason = reason_of(finding);
		move->state.route = route;
		return MOVE_CHANGE_WITHDRAW;
	}
	g_assert_not_reached();
}

/* Whether the new version gets far fewer calls than its share of the old one's: entries contain it
 * by their own calls, and no evidence comes. */
static bool is_contained(const struct move *move)
{
	double share = (double)move_step_share(move->state.step) / SHARE_WHOLE;
	double old = (double)evidence_old_calls(move->evidence);
	double expected = share < 1 ? old * share / (1 - share) : old;

	return expected >= CONTAINED_EXPECTED &&
	       (double)evidence_calls(move->evidence) < CONTAINED_PART * expected;
}

/*
 * Evidence is good enough after some calls without doubt. Where few calls come, waiting for them
 * would make the move late, so that an interval has to do.
 */
static bool evidence_is_good(const struct move *move, struct instant now)
{
	int64_t dwell_us = now.wall_us - move->step_seen_at_us;

	if (move->evidence && evidence_is_doubtful(move->evidence))
		return false;
	if (move->state.step == 0)
		return true;
	if (move->evidence && evidence_calls(move->evidence) >= STEP_MIN_CALLS)
		return true;
	if (move->evidence && is_contained(move))
		return false;
	return dwell_us >= move_interval_us(&move->spec);
}

/* A move that was held or found no coordinator catches up, but not all at once. */
static bool dwelt_enough(const struct move *move, struct instant now)
{
	return move->state.step == 0 ||
	       now.wall_us - move->step_seen_at_us >= move_interval_us(&move->spec) / 2;
}

/* A step that is due while advance is off is told once. */
static enum move_change_kind hold(struct move *move, int next, struct instant now)
{
	if (move->held_told || now.wall_us < move_step_at_us(&move->spec, next))
		return MOVE_CHANGE_NONE;
	move->held_told = true;
	return MOVE_CHANGE_HELD;
}

static enum move_change_kind advance(struct move *move, const struct move_surroundings *around,
				     struct instant now)
{
	int next = move->state.step + 1;

	if (move->state.done_at_us || around->new_targets == 0)
		return MOVE_CHANGE_NONE;
	if (!around->may_advance)
		return hold(move, next, now);
	if (!evidence_is_good(move, now) || !dwelt_enough(move, now) ||
	    now.wall_us < move_step_at_us(&move->spec, next))
		return MOVE_CHANGE_NONE;
	if (move->state.step == MOVE_STEPS) {
		move->state.done_at_us = now.wall_us;
		return MOVE_CHANGE_DONE;
	}
	move->state.step = (uint8_t)next;
	move_step_changed(move);
	return MOVE_CHANGE_STEP;
}

struct move_change moves_coordinate(struct moves *moves, uint64_t id,
				    const struct move_surroundings *around, struct instant now)
{
	struct move_change change = { .kind = MOVE_CHANGE_NONE };
	struct move *move;

	lock_acquire(&moves->lock);
	move = moves_find(moves, id);
	if (move && move->state.withdrawn_at_us == 0) {
		if (move->spec.from.len == 0 && move->state.from.len == 0)
			move->state.from = around->main_version;
		if (move->step_seen_at_us == 0)
			move->step_seen_at_us = now.wall_us;
		if (around->second_ends)
			change.kind = judge(move, around, now);
		if (change.kind == MOVE_CHANGE_NONE)
			change.kind = advance(move, around, now);
		if (move->step_seen_at_us == 0)
			move->step_seen_at_us = now.wall_us;
	}
	if (change.kind != MOVE_CHANGE_NONE) {
		change.spec = move->spec;
		change.state = move->state;
		moves_rehash(moves);
	}
	lock_release(&moves->lock);
	return change;
}
