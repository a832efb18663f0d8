/*
 * Shares of the versions of a service during a move, the choice of a version for a call, and the
 * containment of a new version by this node's own calls.
 */
#include "core/move_table.h"

/* Containment: log-likelihood ratios for a failure rate of 1/2 against one of 1/20. */
#define CONTAIN_FAILURE_LLR 2.303
#define CONTAIN_SUCCESS_LLR 0.642
#define CONTAIN_LLR	    9.0
#define CONTAIN_US	    (10 * US_PER_S)
enum { CANARIES_MIN = 3 /* with fewer canaries, one broken target could reject its version */ };
/* An old version with this failure rate indicates a fault of both versions. */
#define CONTAIN_MAX_OLD_RATE 0.2
/* Weight of a call in the smoothed failure rates; the new version gets fewer calls. */
#define OLD_RATE_WEIGHT 0.05
#define NEW_RATE_WEIGHT 0.2
/* A new version below this fraction of the old failure rate is not affected by the fault. */
#define SHARED_FAULT_MIN_FRACTION 0.5

bool move_is_rechecked(const struct move *move, struct instant now)
{
	return move->state.recheck_at_us && now.wall_us < move->state.recheck_at_us + RECHECK_US;
}

/* If both versions fail, their calls cannot show whether the new one is bad, and it gets none. If
 * it fails less than the old one, it may fix the fault, and the move goes on. */
static bool is_suspended(const struct move *move)
{
	return move->old_failure_rate >= CONTAIN_MAX_OLD_RATE &&
	       move->new_failure_rate >= SHARED_FAULT_MIN_FRACTION * move->old_failure_rate;
}

/* Returns the share of the old version's traffic that goes to the new one. */
int move_opened_share(const struct move *move, struct instant now)
{
	if (move->state.withdrawn_at_us || move->contained_until.at_us)
		return 0;
	if (move->state.done_at_us)
		return move_is_rechecked(move, now) ? SHARE_FULL - SHARE_RECHECK : SHARE_FULL;
	if (is_suspended(move))
		return 0;
	return move_step_share(move->state.step);
}

/* Returns the share of a version, move included, in hundredths of a per cent of all traffic. */
static int effective_share(const struct service *service, const struct move *move,
			   const struct version *version, struct instant now)
{
	int share = version->share_percent * 100;
	int from_share = 0;

	if (!move)
		return share;
	for (guint i = 0; i < service->versions->len; i++) {
		const struct version *other = &g_array_index(service->versions, struct version, i);

		if (label_equal(&other->name, &move->spec.from))
			from_share = other->share_percent * 100;
		else if (move->state.withdrawn_at_us && label_equal(&other->name, &move->spec.to))
			from_share += other->share_percent * 100;
	}
	if (label_equal(&version->name, &move->spec.from)) {
		int base_share = move->state.withdrawn_at_us ? from_share : share;

		return base_share - share * move_opened_share(move, now) / SHARE_FULL;
	}
	if (!label_equal(&version->name, &move->spec.to))
		return share;
	/* A withdrawn version gets no traffic, even if the file declares a share for it. */
	if (move->state.withdrawn_at_us)
		return 0;
	return share + from_share * move_opened_share(move, now) / SHARE_FULL;
}

/* The new version of the move comes first: a growing share moves callers only towards it. */
static bool choose_by_point(const struct service *service, const struct move *move, int point,
			    struct instant now, struct label *version)
{
	const struct version *last = NULL;

	for (int pass = 0; pass < 2; pass++) {
		for (guint i = 0; i < service->versions->len; i++) {
			const struct version *other =
				&g_array_index(service->versions, struct version, i);
			bool is_new = move && label_equal(&other->name, &move->spec.to);
			int share = effective_share(service, move, other, now);

			if (is_new != (pass == 0) || share == 0)
				continue;
			last = other;
			point -= share;
			if (point >= 0)
				continue;
			*version = other->name;
			return true;
		}
	}
	if (last)
		*version = last->name;
	return last != NULL;
}

/* Chooses for a service that accepts any version: all of them, unless a move is under way. */
static struct version_filter choose_undeclared(const struct move *move, int point,
					       struct instant now)
{
	if (!move)
		return (struct version_filter){ .kind = VERSION_ANY };
	if (point < move_opened_share(move, now))
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
		*version = choose_undeclared(move, (int)(point % SHARE_FULL), now);
	else
		found = choose_by_point(declared, move, (int)(point % SHARE_FULL), now,
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
	int share = SHARE_FULL;

	lock_acquire(&moves->lock);
	move = moves_find_service(moves, &service);
	if (is_new_version(move, version))
		share = move_opened_share(move, now);
	lock_release(&moves->lock);
	if (share >= SHARE_FULL || share == 0)
		return 0;
	return MAX((targets * share + SHARE_FULL / 2) / SHARE_FULL, CANARIES_MIN);
}

void moves_record_call(struct moves *moves, struct label service, struct label version, bool failed,
		       struct instant now)
{
	double failure = failed ? 1 : 0;
	struct move *move;

	lock_acquire(&moves->lock);
	move = moves_find_service(moves, &service);
	if (move && move_is_old(move, &version)) {
		move->old_failure_rate += OLD_RATE_WEIGHT * (failure - move->old_failure_rate);
	} else if (move && label_equal(&version, &move->spec.to)) {
		move->new_failure_rate += NEW_RATE_WEIGHT * (failure - move->new_failure_rate);
		move->own_llr += failed ? CONTAIN_FAILURE_LLR : -CONTAIN_SUCCESS_LLR;
	}
	if (move && move->own_llr < 0)
		move->own_llr = 0;
	if (move && move->own_llr >= CONTAIN_LLR) {
		move->own_llr = 0;
		if (move->old_failure_rate < CONTAIN_MAX_OLD_RATE && move->state.done_at_us == 0)
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
