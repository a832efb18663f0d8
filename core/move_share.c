/*
 * Shares of a service's versions while a move is under way, the choice of a version for a call, and
 * the containment of a new version by this node's own calls.
 */
#include "core/move_table.h"

/* Containment by a node's own calls: "half fail" against "one in twenty fails". */
#define CONTAIN_FAILURE_STEP 2.303
#define CONTAIN_SUCCESS_STEP 0.642
#define CONTAIN_THRESHOLD    9.0
#define CONTAIN_US	     (10 * US_PER_S)
enum { CANARIES_MIN = 3 /* a single target that is broken condemns no version */ };
/* An old version that fails this often as well shows a fault that both share. */
#define CONTAIN_OLD_MAX 0.2
/* Weight of one more call in the smoothed failure rates; the new version has few calls. */
#define OLD_FAILING_WEIGHT 0.05
#define NEW_FAILING_WEIGHT 0.2
/* A new version that fails less than this part of the old one's rate is no part of the fault. */
#define SHARED_PART 0.5

bool move_is_rechecked(const struct move *move, struct instant now)
{
	return move->state.recheck_at_us && now.wall_us < move->state.recheck_at_us + RECHECK_US;
}

/* Both versions fail, so that nothing can be told of the new one: it gets no calls meanwhile. One
 * that fails less than the old one may be what mends the fault, and goes on. */
static bool is_suspended(const struct move *move)
{
	return move->old_failing >= CONTAIN_OLD_MAX &&
	       move->new_failing >= SHARED_PART * move->old_failing;
}

/* Share of the old version that has gone over to the new one, hundredths of a per cent. */
int move_moved_share(const struct move *move, struct instant now)
{
	if (move->state.withdrawn_at_us || move->contained_until.at_us)
		return 0;
	if (move->state.done_at_us)
		return move_is_rechecked(move, now) ? SHARE_WHOLE - SHARE_RECHECK : SHARE_WHOLE;
	if (is_suspended(move))
		return 0;
	return move_step_share(move->state.step);
}

/* Declared shares with the move applied; hundredths of a per cent of the whole. */
static int effective_share(const struct service *service, const struct move *move,
			   const struct version *version, struct instant now)
{
	int share = version->share_percent * 100;
	int from_share = 0;

	if (!move)
		return share;
	for (guint i = 0; i < service->versions->len; i++) {
		const struct version *one = &g_array_index(service->versions, struct version, i);

		if (label_equal(&one->name, &move->spec.from))
			from_share = one->share_percent * 100;
		else if (move->state.withdrawn_at_us && label_equal(&one->name, &move->spec.to))
			from_share += one->share_percent * 100;
	}
	if (label_equal(&version->name, &move->spec.from)) {
		int kept = move->state.withdrawn_at_us ? from_share : share;

		return kept - share * move_moved_share(move, now) / SHARE_WHOLE;
	}
	if (!label_equal(&version->name, &move->spec.to))
		return share;
	/* A withdrawn version gets nothing, whatever share the file declares for it. */
	if (move->state.withdrawn_at_us)
		return 0;
	return share + from_share * move_moved_share(move, now) / SHARE_WHOLE;
}

/* The move's new version comes first, so that a growing share only adds callers to it. */
static bool choose_by_point(const struct service *service, const struct move *move, int point,
			    struct instant now, struct label *version)
{
	const struct version *last = NULL;

	for (int pass = 0; pass < 2; pass++) {
		for (guint i = 0; i < service->versions->len; i++) {
			const struct version *one =
				&g_array_index(service->versions, struct version, i);
			bool is_new = move && label_equal(&one->name, &move->spec.to);
			int share = effective_share(service, move, one, now);

			if (is_new != (pass == 0) || share == 0)
				continue;
			last = one;
			point -= share;
			if (point >= 0)
				continue;
			*version = one->name;
			return true;
		}
	}
	if (last)
		*version = last->name;
	return last != NULL;
}

/* Versions that nobody declared: all of them, but for what a move says of its new one. */
static struct version_filter choose_undeclared(const struct move *move, int point,
					       struct instant now)
{
	if (!move)
		return (struct version_filter){ .kind = VERSION_ANY };
	if (point < move_moved_share(move, now))
		return (struct version_filter){ VERSION_IS, move->spec.to };
	return move_old_versions(&move->spec, &move->state);
}

bool moves_choose_version(struct moves *moves, const struct config *config, struct label service,
			  uint64_t point, struct instant now, struct version_filter *version)
{
	const struct service *declared = config_find_service(config, service);
	struct move *move;
	bool found = true;

	if (!declared)
		return false;
	lock_acquire(&moves->lock);
	move = moves_find_service(moves, &service);
	if (move && deadline_passed(move->contained_until, now))
		move->contained_until = (struct deadline){ 0 };
	version->kind = VERSION_IS;
	if (declared->any_version)
		*version = choose_undeclared(move, (int)(point % SHARE_WHOLE), now);
	else
		found = choose_by_point(declared, move, (int)(point % SHARE_WHOLE), now,
					&version->name);
	lock_release(&moves->lock);
	return found;
}

static bool is_new_version(const struct move *move, const struct version_filter *version)
{
	return move && version->kind == VERSION_IS && label_equal(&version->name, &move->spec.to);
}

bool moves_is_new_version(struct moves *moves, struct label service,
			  const struct version_filter *version)
{
	bool is_new;

	lock_acquire(&moves->lock);
	is_new = is_new_version(moves_find_service(moves, &service), version);
	lock_release(&moves->lock);
	return is_new;
}

int moves_canaries(struct moves *moves, struct label service, const struct version_filter *version,
		   int targets, struct instant now)
{
	const struct move *move;
	int share = SHARE_WHOLE;

	lock_acquire(&moves->lock);
	move = moves_find_service(moves, &service);
	if (is_new_version(move, version))
		share = move_moved_share(move, now);
	lock_release(&moves->lock);
	if (share >= SHARE_WHOLE || share == 0)
		return 0;
	return MAX((targets * share + SHARE_WHOLE / 2) / SHARE_WHOLE, CANARIES_MIN);
}

void moves_note_call(struct moves *moves, struct label service, struct label version, bool failed,
		     struct instant now)
{
	double failure = failed ? 1 : 0;
	struct move *move;

	lock_acquire(&moves->lock);
	move = moves_find_service(moves, &service);
	if (move && move_is_old(move, &version)) {
		move->old_failing += OLD_FAILING_WEIGHT * (failure - move->old_failing);
	} else if (move && label_equal(&version, &move->spec.to)) {
		move->new_failing += NEW_FAILING_WEIGHT * (failure - move->new_failing);
		move->own_evidence += failed ? CONTAIN_FAILURE_STEP : -CONTAIN_SUCCESS_STEP;
	}
	if (move && move->own_evidence < 0)
		move->own_evidence = 0;
	if (move && move->own_evidence >= CONTAIN_THRESHOLD) {
		move->own_evidence = 0;
		if (move->old_failing < CONTAIN_OLD_MAX && move->state.done_at_us == 0)
			move->contained_until = deadline_after(now, CONTAIN_US);
	}
	lock_release(&moves->lock);
}

bool moves_fallback_version(struct moves *moves, struct label service,
			    const struct version_filter *version, struct version_filter *fallback)
{
	const struct move *move;
	bool found = false;

	lock_acquire(&moves->lock);
	move = moves_find_service(moves, &service);
	if (is_new_version(move, version)) {
		*fallback = move_old_versions(&move->spec, &move->state);
		found = true;
	} else if (move && version->kind != VERSION_ANY && move->state.withdrawn_at_us == 0 &&
		   move->state.step > 0) {
		*fallback = (struct version_filter){ VERSION_IS, move->spec.to };
		found = true;
	}
	lock_release(&moves->lock);
	return found;
}
