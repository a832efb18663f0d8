#include "core/move.h"

#include <string.h>

#include "base/lockorder.h"

/* Containment by a node's own calls: "half fail" against "one in twenty fails". */
#define CONTAIN_FAILURE_STEP 2.303
#define CONTAIN_SUCCESS_STEP 0.642
#define CONTAIN_THRESHOLD    9.0
#define CONTAIN_US	     (10 * US_PER_S)
/* An old version that fails this often as well shows a fault that both share. */
#define RECHECK_US	(10 * US_PER_S)
#define CONTAIN_OLD_MAX 0.2

enum {
	SHARE_WHOLE = 10000, /* hundredths of a per cent */
	SHARE_RECHECK = 500, /* back to the old version, to compare with */
	STEP_MIN_CALLS = 20, /* to the new version before the next step */
	UNKNOWN_STATES_MAX = 4096,
};

struct move {
	struct move_spec spec;
	struct move_state state;
	struct evidence *evidence; /* on coordinators only */
	int64_t step_seen_at_us;   /* wall clock, when this node learned of the current step */
	double own_evidence;	   /* against the new version, by this node's own calls */
	double old_failing;	   /* smoothed failure rate of the old version, likewise */
	struct deadline contained_until;
};

struct moves {
	struct lock lock;
	GPtrArray *moves;    /* struct move, of the configuration */
	GHashTable *unknown; /* id -> struct move_state, ahead of their configuration */
	uint64_t hash;
};

struct str withdraw_reason_name(enum withdraw_reason reason)
{
	switch (reason) {
	case WITHDRAW_NONE:
		return STR("");
	case WITHDRAW_FAILURES:
		return STR("it fails more than the old version");
	case WITHDRAW_LATENCY:
		return STR("it is slower than the old version");
	}
	g_assert_not_reached();
}

struct str move_phase_name(enum move_phase phase)
{
	switch (phase) {
	case MOVE_WAITING:
		return STR("waiting");
	case MOVE_RUNNING:
		return STR("running");
	case MOVE_HELD:
		return STR("held");
	case MOVE_DONE:
		return STR("done");
	case MOVE_WITHDRAWN:
		return STR("taken back");
	}
	g_assert_not_reached();
}

/* Whether withdrawal a goes before b: the earlier one, then a fixed order. */
static bool withdrawal_first(const struct move_state *a, const struct move_state *b)
{
	if (a->withdrawn_at_us == 0 || b->withdrawn_at_us == 0)
		return a->withdrawn_at_us != 0 && b->withdrawn_at_us == 0;
	if (a->withdrawn_at_us != b->withdrawn_at_us)
		return a->withdrawn_at_us < b->withdrawn_at_us;
	if (a->reason != b->reason)
		return a->reason < b->reason;
	return str_compare(label_str(&a->route), label_str(&b->route)) < 0;
}

bool move_state_join(struct move_state *into, const struct move_state *from)
{
	bool changed = false;

	if (from->step > into->step) {
		into->step = from->step;
		changed = true;
	}
	if (from->done_at_us && (into->done_at_us == 0 || from->done_at_us < into->done_at_us)) {
		into->done_at_us = from->done_at_us;
		changed = true;
	}
	if (from->recheck_at_us > into->recheck_at_us) {
		into->recheck_at_us = from->recheck_at_us;
		changed = true;
	}
	if (withdrawal_first(from, into)) {
		into->withdrawn_at_us = from->withdrawn_at_us;
		into->reason = from->reason;
		into->route = from->route;
		changed = true;
	}
	return changed;
}

int move_step_share(int step)
{
	static const int shares[MOVE_STEPS + 1] = { 0,	  100,	200,  400,	  800,
						    1600, 3200, 6400, SHARE_WHOLE };

	return shares[step < MOVE_STEPS ? step : MOVE_STEPS];
}

/* The last step is due at 70% of the time, done at 80%: the rest is the margin. */
static int64_t step_interval_us(const struct move_spec *spec)
{
	return (spec->finish_at_us - spec->start_at_us) / 10;
}

int64_t move_step_at_us(const struct move_spec *spec, int step)
{
	return spec->start_at_us + (step - 1) * step_interval_us(spec);
}

struct moves *moves_new(apr_pool_t *pool)
{
	struct moves *moves = g_new0(struct moves, 1);

	lock_init(&moves->lock, LOCK_MOVES, pool);
	moves->moves = g_ptr_array_new();
	moves->unknown = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return moves;
}

static void move_free(struct move *move)
{
	evidence_free(move->evidence);
	g_free(move);
}

void moves_free(struct moves *moves)
{
	if (!moves)
		return;
	for (guint i = 0; i < moves->moves->len; i++)
		move_free(g_ptr_array_index(moves->moves, i));
	g_ptr_array_unref(moves->moves);
	g_hash_table_destroy(moves->unknown);
	lock_destroy(&moves->lock);
	g_free(moves);
}

static struct move *find(struct moves *moves, uint64_t id)
{
	for (guint i = 0; i < moves->moves->len; i++) {
		struct move *move = g_ptr_array_index(moves->moves, i);

		if (move->spec.id == id)
			return move;
	}
	return NULL;
}

static struct move *find_service(struct moves *moves, const struct label *service)
{
	for (guint i = 0; i < moves->moves->len; i++) {
		struct move *move = g_ptr_array_index(moves->moves, i);

		if (label_equal(&move->spec.service, service))
			return move;
	}
	return NULL;
}

static uint64_t state_hash(const struct move_state *state)
{
	uint64_t hash = rng_mix(state->id * 16 + state->step);

	hash = rng_mix(hash ^ (uint64_t)state->done_at_us);
	hash = rng_mix(hash ^ (uint64_t)state->recheck_at_us);
	return rng_mix(hash ^ (uint64_t)state->withdrawn_at_us * 4 ^ state->reason);
}

static void rehash(struct moves *moves)
{
	moves->hash = 0;
	for (guint i = 0; i < moves->moves->len; i++) {
		const struct move *move = g_ptr_array_index(moves->moves, i);

		moves->hash ^= state_hash(&move->state);
	}
}

static void remember_unknown(struct moves *moves, const struct move_state *state)
{
	struct move_state *kept = g_hash_table_lookup(moves->unknown, &state->id);

	if (kept) {
		move_state_join(kept, state);
		return;
	}
	if (g_hash_table_size(moves->unknown) >= UNKNOWN_STATES_MAX)
		g_hash_table_remove_all(moves->unknown);
	kept = g_memdup2(state, sizeof(*state));
	g_hash_table_insert(moves->unknown, &kept->id, kept);
}

static struct move *move_make(struct moves *moves, const struct move_spec *spec)
{
	struct move *move = g_new0(struct move, 1);
	const struct move_state *early = g_hash_table_lookup(moves->unknown, &spec->id);

	move->spec = *spec;
	move->state.id = spec->id;
	if (early)
		move_state_join(&move->state, early);
	g_hash_table_remove(moves->unknown, &spec->id);
	return move;
}

void moves_configure(struct moves *moves, const struct config *config)
{
	GPtrArray *old;

	lock_acquire(&moves->lock);
	old = moves->moves;
	moves->moves = g_ptr_array_new();
	for (guint i = 0; i < config->moves->len; i++) {
		const struct move_spec *spec = &g_array_index(config->moves, struct move_spec, i);
		struct move *move = NULL;

		for (guint j = 0; j < old->len && !move; j++) {
			struct move *candidate = g_ptr_array_index(old, j);

			if (candidate->spec.id == spec->id)
				move = g_ptr_array_remove_index_fast(old, j);
		}
		g_ptr_array_add(moves->moves, move ? move : move_make(moves, spec));
	}
	for (guint i = 0; i < old->len; i++)
		move_free(g_ptr_array_index(old, i));
	g_ptr_array_unref(old);
	rehash(moves);
	lock_release(&moves->lock);
}

static void step_changed(struct move *move)
{
	move->step_seen_at_us = 0;
	if (move->evidence)
		evidence_reset_calls(move->evidence);
}

bool moves_merge(struct moves *moves, const struct move_state *state)
{
	struct move *move;
	bool news = false;

	lock_acquire(&moves->lock);
	move = find(moves, state->id);
	if (move) {
		uint8_t step = move->state.step;

		news = move_state_join(&move->state, state);
		if (move->state.step != step)
			step_changed(move);
		if (news)
			rehash(moves);
	} else {
		remember_unknown(moves, state);
	}
	lock_release(&moves->lock);
	return news;
}

uint64_t moves_hash(struct moves *moves)
{
	uint64_t hash;

	lock_acquire(&moves->lock);
	hash = moves->hash;
	lock_release(&moves->lock);
	return hash;
}

GArray *moves_states(struct moves *moves)
{
	GArray *states = g_array_new(FALSE, FALSE, sizeof(struct move_state));

	lock_acquire(&moves->lock);
	for (guint i = 0; i < moves->moves->len; i++) {
		const struct move *move = g_ptr_array_index(moves->moves, i);

		g_array_append_val(states, move->state);
	}
	lock_release(&moves->lock);
	return states;
}

static bool is_rechecked(const struct move *move, struct instant now)
{
	return move->state.recheck_at_us && now.wall_us < move->state.recheck_at_us + RECHECK_US;
}

/* Share of the old version that has gone over to the new one, hundredths of a per cent. */
static int moved_share(const struct move *move, struct instant now)
{
	if (move->state.withdrawn_at_us || move->contained_until.at_us)
		return 0;
	if (move->state.done_at_us)
		return is_rechecked(move, now) ? SHARE_WHOLE - SHARE_RECHECK : SHARE_WHOLE;
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

		return kept - share * moved_share(move, now) / SHARE_WHOLE;
	}
	if (!label_equal(&version->name, &move->spec.to))
		return share;
	/* A withdrawn version gets nothing, whatever share the file declares for it. */
	if (move->state.withdrawn_at_us)
		return 0;
	return share + from_share * moved_share(move, now) / SHARE_WHOLE;
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

bool moves_choose_version(struct moves *moves, const struct config *config, struct label service,
			  uint64_t point, struct instant now, struct label *version)
{
	const struct service *declared = config_find_service(config, service);
	struct move *move;
	bool found;

	if (!declared)
		return false;
	lock_acquire(&moves->lock);
	move = find_service(moves, &service);
	if (move && deadline_passed(move->contained_until, now))
		move->contained_until = (struct deadline){ 0 };
	found = choose_by_point(declared, move, (int)(point % SHARE_WHOLE), now, version);
	lock_release(&moves->lock);
	return found;
}

void moves_note_call(struct moves *moves, struct label service, struct label version, bool failed,
		     struct instant now)
{
	struct move *move;

	lock_acquire(&moves->lock);
	move = find_service(moves, &service);
	if (move && label_equal(&version, &move->spec.from))
		move->old_failing += 0.05 * ((failed ? 1.0 : 0.0) - move->old_failing);
	else if (move && label_equal(&version, &move->spec.to))
		move->own_evidence += failed ? CONTAIN_FAILURE_STEP : -CONTAIN_SUCCESS_STEP;
	if (move && move->own_evidence < 0)
		move->own_evidence = 0;
	if (move && move->own_evidence >= CONTAIN_THRESHOLD) {
		move->own_evidence = 0;
		if (move->old_failing < CONTAIN_OLD_MAX && move->state.done_at_us == 0)
			move->contained_until = deadline_after(now, CONTAIN_US);
	}
	lock_release(&moves->lock);
}

bool moves_fallback_version(struct moves *moves, struct label service, struct label version,
			    struct label *fallback)
{
	const struct move *move;
	bool found = false;

	lock_acquire(&moves->lock);
	move = find_service(moves, &service);
	if (move && label_equal(&version, &move->spec.to)) {
		*fallback = move->spec.from;
		found = true;
	} else if (move && label_equal(&version, &move->spec.from) &&
		   move->state.withdrawn_at_us == 0 && move->state.step > 0) {
		*fallback = move->spec.to;
		found = true;
	}
	lock_release(&moves->lock);
	return found;
}

bool moves_wants_evidence(struct moves *moves, struct label service, struct label version,
			  uint64_t *id)
{
	const struct move *move;
	bool wanted;

	lock_acquire(&moves->lock);
	move = find_service(moves, &service);
	wanted = move && move->state.withdrawn_at_us == 0 &&
		 (label_equal(&version, &move->spec.from) || label_equal(&version, &move->spec.to));
	if (wanted)
		*id = move->spec.id;
	lock_release(&moves->lock);
	return wanted;
}

int64_t moves_step_us(struct moves *moves, struct label service, int64_t fallback)
{
	const struct move *move;
	int64_t us;

	lock_acquire(&moves->lock);
	move = find_service(moves, &service);
	us = move ? step_interval_us(&move->spec) : fallback;
	lock_release(&moves->lock);
	return us;
}

int moves_share(struct moves *moves, uint64_t id, struct instant now)
{
	const struct move *move;
	int share;

	lock_acquire(&moves->lock);
	move = find(moves, id);
	share = move ? moved_share(move, now) : 0;
	lock_release(&moves->lock);
	return share;
}

void moves_add_evidence(struct moves *moves, uint64_t id, struct label version,
			const struct evidence_window *window)
{
	struct move *move;

	lock_acquire(&moves->lock);
	move = find(moves, id);
	if (move && !move->evidence)
		move->evidence = evidence_new();
	if (move && label_equal(&version, &move->spec.to))
		evidence_add(move->evidence, EVIDENCE_NEW, window);
	else if (move && label_equal(&version, &move->spec.from))
		evidence_add(move->evidence, EVIDENCE_OLD, window);
	lock_release(&moves->lock);
}

GArray *moves_ids(struct moves *moves)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	lock_acquire(&moves->lock);
	for (guint i = 0; i < moves->moves->len; i++) {
		const struct move *move = g_ptr_array_index(moves->moves, i);

		g_array_append_val(ids, move->spec.id);
	}
	lock_release(&moves->lock);
	return ids;
}

bool moves_spec(struct moves *moves, uint64_t id, struct move_spec *spec)
{
	const struct move *move;

	lock_acquire(&moves->lock);
	move = find(moves, id);
	if (move)
		*spec = move->spec;
	lock_release(&moves->lock);
	return move != NULL;
}

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
		return is_rechecked(move, now);
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
	switch (finding) {
	case EVIDENCE_NONE:
		return MOVE_CHANGE_NONE;
	case EVIDENCE_UNPAIRED:
		if (!move->state.done_at_us || around->old_targets == 0 || is_rechecked(move, now))
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

/*
 * Evidence is good enough after some calls without doubt. Where few calls come, waiting for them
 * would make the move late, so that a fifth of an interval more has to do.
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
	return dwell_us >= step_interval_us(&move->spec) * 6 / 5;
}

/* A move that was held or found no coordinator catches up, but not all at once. */
static bool dwelt_enough(const struct move *move, struct instant now)
{
	return move->state.step == 0 ||
	       now.wall_us - move->step_seen_at_us >= step_interval_us(&move->spec) / 4;
}

static enum move_change_kind advance(struct move *move, const struct move_surroundings *around,
				     struct instant now)
{
	int next = move->state.step + 1;

	if (!around->may_advance || move->state.done_at_us || around->new_targets == 0)
		return MOVE_CHANGE_NONE;
	if (!evidence_is_good(move, now) || !dwelt_enough(move, now) ||
	    now.wall_us < move_step_at_us(&move->spec, next))
		return MOVE_CHANGE_NONE;
	if (move->state.step == MOVE_STEPS) {
		move->state.done_at_us = now.wall_us;
		return MOVE_CHANGE_DONE;
	}
	move->state.step = (uint8_t)next;
	step_changed(move);
	return MOVE_CHANGE_STEP;
}

struct move_change moves_coordinate(struct moves *moves, uint64_t id,
				    const struct move_surroundings *around, struct instant now)
{
	struct move_change change = { .kind = MOVE_CHANGE_NONE };
	struct move *move;

	lock_acquire(&moves->lock);
	move = find(moves, id);
	if (move && move->state.withdrawn_at_us == 0) {
		if (move->step_seen_at_us == 0)
			move->step_seen_at_us = now.wall_us;
		change.kind = judge(move, around, now);
		if (change.kind == MOVE_CHANGE_NONE)
			change.kind = advance(move, around, now);
		if (move->step_seen_at_us == 0)
			move->step_seen_at_us = now.wall_us;
	}
	if (change.kind != MOVE_CHANGE_NONE) {
		change.spec = move->spec;
		change.state = move->state;
		rehash(moves);
	}
	lock_release(&moves->lock);
	return change;
}

static void report_phase(struct move_report *report, const struct config *config,
			 struct instant now)
{
	const struct move_state *state = &report->state;

	if (state->withdrawn_at_us) {
		report->phase = MOVE_WITHDRAWN;
		g_snprintf(report->why, sizeof(report->why), "%.*s%s%.*s",
			   STR_ARG(withdraw_reason_name(state->reason)),
			   state->route.len ? ", route " : "", STR_ARG(label_str(&state->route)));
	} else if (state->done_at_us) {
		report->phase = MOVE_DONE;
		report->late = state->done_at_us > report->spec.finish_at_us;
	} else if (now.wall_us < report->spec.start_at_us) {
		report->phase = MOVE_WAITING;
	} else if (!config_auto_allowed(config, report->spec.service, AUTO_ADVANCE)) {
		report->phase = MOVE_HELD;
		g_strlcpy(report->why, "automatic advance is off", sizeof(report->why));
		report->late = now.wall_us > report->spec.finish_at_us;
	} else {
		report->phase = MOVE_RUNNING;
		report->late = now.wall_us > report->spec.finish_at_us;
	}
}

GArray *moves_report(struct moves *moves, const struct config *config, struct instant now)
{
	GArray *reports = g_array_new(FALSE, TRUE, sizeof(struct move_report));

	lock_acquire(&moves->lock);
	for (guint i = 0; i < moves->moves->len; i++) {
		const struct move *move = g_ptr_array_index(moves->moves, i);
		struct move_report report = { .spec = move->spec, .state = move->state };

		report_phase(&report, config, now);
		g_array_append_val(reports, report);
	}
	lock_release(&moves->lock);
	return reports;
}
