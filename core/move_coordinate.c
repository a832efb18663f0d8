/* Decisions of a coordinator: to withdraw a move, recheck it, open a step or end it. */
#include "core/move_table.h"

enum {
	STEP_MIN_CALLS = 20,	    /* calls to the new version before the next step */
	CONTAINED_MIN_EXPECTED = 8, /* calls; 0 instead of 8 come by chance once in 3,000 */
};

/* Cold targets, or data centres without a target, reduce a version's calls, but not below this
 * fraction of its share. */
#define CONTAINED_MIN_FRACTION 0.25

static enum withdraw_reason withdraw_reason_of(enum evidence_finding finding)
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

/* Returns whether the old version gets calls to compare the new one with. */
static bool old_is_in_use(const struct move *move, struct instant now)
{
	if (move->state.done_at_us)
		return move_is_rechecked(move, now);
	return move->state.step < MOVE_STEPS;
}

/* Ends the second of evidence; withdraws the move, or starts a recheck of a done one. */
static enum move_change_kind apply_evidence(struct move *move, const struct move_inputs *inputs,
					    struct instant now)
{
	struct label route = { 0 };
	enum evidence_finding finding;

	if (!move->evidence)
		return MOVE_CHANGE_NONE;
	finding = evidence_close(move->evidence, old_is_in_use(move, now), &route);
	if (!inputs->may_withdraw || move->state.step == 0)
		return MOVE_CHANGE_NONE;
	/* An open-ended move that is done stays done, as its old targets are stopped. */
	if (move->spec.from.len == 0 && move->state.done_at_us)
		return MOVE_CHANGE_NONE;
	switch (finding) {
	case EVIDENCE_NONE:
		return MOVE_CHANGE_NONE;
	case EVIDENCE_UNPAIRED:
		if (!move->state.done_at_us || inputs->old_targets == 0 ||
		    move_is_rechecked(move, now))
			return MOVE_CHANGE_NONE;
		move->state.recheck_at_us = now.wall_us;
		return MOVE_CHANGE_RECHECK;
	case EVIDENCE_FAILURES:
	case EVIDENCE_LATENCY:
		move->state.withdrawn_at_us = now.wall_us;
		move->state.reason = withdraw_reason_of(finding);
		move->state.route = route;
		return MOVE_CHANGE_WITHDRAW;
	}
	g_assert_not_reached();
}

/* Returns whether the new version gets far fewer calls than its share. Entry nodes that contain it
 * send it none, so that there is no evidence. */
static bool is_contained(const struct move *move)
{
	double share = (double)move_step_share(move->state.step) / SHARE_FULL;
	double old = (double)evidence_old_calls(move->evidence);
	double expected = share < 1 ? old * share / (1 - share) : old;

	return expected >= CONTAINED_MIN_EXPECTED &&
	       (double)evidence_calls(move->evidence) < CONTAINED_MIN_FRACTION * expected;
}

/*
 * Evidence suffices after a number of calls, unless it is inconclusive. With few calls a wait for
 * them would make the move late, so that one interval suffices unless entry nodes contain the new
 * version.
 */
static bool evidence_suffices(const struct move *move, struct instant now)
{
	int64_t dwell_us = now.wall_us - move->step_seen_at_us;

	if (move->evidence && evidence_is_inconclusive(move->evidence))
		return false;
	if (move->state.step == 0)
		return true;
	if (move->evidence && evidence_calls(move->evidence) >= STEP_MIN_CALLS)
		return true;
	if (move->evidence && is_contained(move))
		return false;
	return dwell_us >= move_interval_us(&move->spec);
}

/* A move that was held or had no coordinator opens overdue steps half an interval apart. */
static bool min_dwell_passed(const struct move *move, struct instant now)
{
	return move->state.step == 0 ||
	       now.wall_us - move->step_seen_at_us >= move_interval_us(&move->spec) / 2;
}

/* Reports once that a step is due while advance is off. */
static enum move_change_kind report_held(struct move *move, int next, struct instant now)
{
	if (move->held_reported || now.wall_us < move_step_at_us(&move->spec, next))
		return MOVE_CHANGE_NONE;
	move->held_reported = true;
	return MOVE_CHANGE_HELD;
}

static enum move_change_kind advance(struct move *move, const struct move_inputs *inputs,
				     struct instant now)
{
	int next = move->state.step + 1;

	if (move->state.done_at_us || inputs->new_targets == 0)
		return MOVE_CHANGE_NONE;
	if (!inputs->may_advance)
		return report_held(move, next, now);
	if (!evidence_suffices(move, now) || !min_dwell_passed(move, now) ||
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
				    const struct move_inputs *inputs, struct instant now)
{
	struct move_change change = { .kind = MOVE_CHANGE_NONE };
	struct move *move;

	lock_acquire(&moves->lock);
	move = moves_find(moves, id);
	if (move && move->state.withdrawn_at_us == 0) {
		if (move->spec.from.len == 0 && move->state.from.len == 0)
			move->state.from = inputs->main_version;
		if (move->step_seen_at_us == 0)
			move->step_seen_at_us = now.wall_us;
		if (inputs->second_complete)
			change.kind = apply_evidence(move, inputs, now);
		if (change.kind == MOVE_CHANGE_NONE)
			change.kind = advance(move, inputs, now);
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
