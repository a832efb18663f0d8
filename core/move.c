#include "core/move_table.h"

enum { EARLY_STATES_MAX = 4096 };

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

/* Returns whether withdrawal a precedes b: the earlier one does, ties in a fixed order. */
static bool withdrawal_precedes(const struct move_state *a, const struct move_state *b)
{
	if (a->withdrawn_at_us == 0 || b->withdrawn_at_us == 0)
		return a->withdrawn_at_us != 0 && b->withdrawn_at_us == 0;
	if (a->withdrawn_at_us != b->withdrawn_at_us)
		return a->withdrawn_at_us < b->withdrawn_at_us;
	if (a->reason != b->reason)
		return a->reason < b->reason;
	return str_compare(label_str(&a->route), label_str(&b->route)) < 0;
}

static uint64_t state_hash(const struct move_state *state)
{
	uint64_t hash = rng_mix(state->id * 16 + state->step);

	hash = rng_mix(hash ^ (uint64_t)state->done_at_us);
	hash = rng_mix(hash ^ (uint64_t)state->recheck_at_us);
	hash = rng_mix(hash ^ str_hash(label_str(&state->from), 0));
	hash = rng_mix(hash ^ str_hash(label_str(&state->route), 0));
	return rng_mix(hash ^ (uint64_t)state->withdrawn_at_us * 4 ^ state->reason);
}

/* An open-ended move ends once: if it is both done and withdrawn, the earlier time holds. */
static void drop_later_verdict(struct move_state *state)
{
	if (state->from.len == 0 || state->done_at_us == 0 || state->withdrawn_at_us == 0)
		return;
	if (state->done_at_us <= state->withdrawn_at_us) {
		state->withdrawn_at_us = 0;
		state->reason = WITHDRAW_NONE;
		state->route = (struct label){ 0 };
	} else {
		state->done_at_us = 0;
	}
}

bool move_state_join(struct move_state *into, const struct move_state *from)
{
	struct move_state before = *into;
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
	if (from->from.len && (into->from.len == 0 ||
			       str_compare(label_str(&from->from), label_str(&into->from)) < 0)) {
		into->from = from->from;
		changed = true;
	}
	if (withdrawal_precedes(from, into)) {
		into->withdrawn_at_us = from->withdrawn_at_us;
		into->reason = from->reason;
		into->route = from->route;
		changed = true;
	}
	drop_later_verdict(into);
	/* A verdict that was dropped again is no change. */
	return changed && state_hash(&before) != state_hash(into);
}

int move_step_share(int step)
{
	static const int shares[MOVE_STEPS + 1] = { 0,	  100,	200,  400,	 800,
						    1600, 3200, 6400, SHARE_FULL };

	return shares[step < MOVE_STEPS ? step : MOVE_STEPS];
}

/* The last step is due at 70% of the time, the end at 80%; the rest is a margin. */
int64_t move_interval_us(const struct move_spec *spec)
{
	return (spec->finish_at_us - spec->start_at_us) / 10;
}

int64_t move_step_at_us(const struct move_spec *spec, int step)
{
	return spec->start_at_us + (step - 1) * move_interval_us(spec);
}

struct version_filter move_old_versions(const struct move_spec *spec,
					const struct move_state *state)
{
	if (spec->from.len)
		return (struct version_filter){ VERSION_IS, spec->from };
	if (state->from.len)
		return (struct version_filter){ VERSION_IS, state->from };
	return (struct version_filter){ VERSION_IS_NOT, spec->to };
}

bool move_is_old(const struct move *move, const struct label *version)
{
	struct version_filter old = move_old_versions(&move->spec, &move->state);

	return version_matches(&old, version);
}

struct version_filter moves_old_versions(struct moves *moves, uint64_t id)
{
	struct version_filter old = { .kind = VERSION_ANY };
	const struct move *move;

	lock_acquire(&moves->lock);
	move = moves_find(moves, id);
	if (move)
		old = move_old_versions(&move->spec, &move->state);
	lock_release(&moves->lock);
	return old;
}

struct moves *moves_new(apr_pool_t *pool)
{
	struct moves *moves = g_new0(struct moves, 1);

	lock_init(&moves->lock, LOCK_MOVES, pool);
	moves->moves = g_ptr_array_new();
	moves->early_states = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
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
	g_hash_table_destroy(moves->early_states);
	lock_destroy(&moves->lock);
	g_free(moves);
}

struct move *moves_find(struct moves *moves, uint64_t id)
{
	for (guint i = 0; i < moves->moves->len; i++) {
		struct move *move = g_ptr_array_index(moves->moves, i);

		if (move->spec.id == id)
			return move;
	}
	return NULL;
}

struct move *moves_find_service(struct moves *moves, const struct label *service)
{
	for (guint i = 0; i < moves->moves->len; i++) {
		struct move *move = g_ptr_array_index(moves->moves, i);

		if (label_equal(&move->spec.service, service))
			return move;
	}
	return NULL;
}

void moves_rehash(struct moves *moves)
{
	moves->hash = 0;
	for (guint i = 0; i < moves->moves->len; i++) {
		const struct move *move = g_ptr_array_index(moves->moves, i);

		moves->hash ^= state_hash(&move->state);
	}
}

static void store_early_state(struct moves *moves, const struct move_state *state)
{
	struct move_state *stored = g_hash_table_lookup(moves->early_states, &state->id);

	if (stored) {
		move_state_join(stored, state);
		return;
	}
	if (g_hash_table_size(moves->early_states) >= EARLY_STATES_MAX)
		g_hash_table_remove_all(moves->early_states);
	stored = g_memdup2(state, sizeof(*state));
	g_hash_table_insert(moves->early_states, &stored->id, stored);
}

/* Returns the version that the previous move of the service ended with. */
static struct label previous_version(const GPtrArray *old, const struct move_spec *spec)
{
	for (guint i = 0; i < old->len; i++) {
		const struct move *previous = g_ptr_array_index(old, i);

		if (!label_equal(&previous->spec.service, &spec->service))
			continue;
		if (previous->state.done_at_us && previous->state.withdrawn_at_us == 0)
			return previous->spec.to;
		return previous->spec.from.len ? previous->spec.from : previous->state.from;
	}
	return (struct label){ 0 };
}

static struct move *move_new(struct moves *moves, const struct move_spec *spec)
{
	struct move *move = g_new0(struct move, 1);
	const struct move_state *early = g_hash_table_lookup(moves->early_states, &spec->id);

	move->spec = *spec;
	move->state.id = spec->id;
	if (early)
		move_state_join(&move->state, early);
	g_hash_table_remove(moves->early_states, &spec->id);
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
		if (!move) {
			move = move_new(moves, spec);
			if (spec->from.len == 0 && move->state.from.len == 0)
				move->state.from = previous_version(old, spec);
		}
		g_ptr_array_add(moves->moves, move);
	}
	for (guint i = 0; i < old->len; i++)
		move_free(g_ptr_array_index(old, i));
	g_ptr_array_unref(old);
	moves_rehash(moves);
	lock_release(&moves->lock);
}

void move_step_changed(struct move *move)
{
	move->step_seen_at_us = 0;
	if (move->evidence)
		evidence_reset_calls(move->evidence);
}

bool moves_merge(struct moves *moves, const struct move_state *state)
{
	struct move *move;
	bool changed = false;

	lock_acquire(&moves->lock);
	move = moves_find(moves, state->id);
	if (move) {
		uint8_t step = move->state.step;

		changed = move_state_join(&move->state, state);
		if (move->state.step != step)
			move_step_changed(move);
		if (changed)
			moves_rehash(moves);
	} else {
		store_early_state(moves, state);
	}
	lock_release(&moves->lock);
	return changed;
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

bool moves_wants_evidence(struct moves *moves, struct label service, struct label version,
			  uint64_t *id)
{
	const struct move *move;
	bool wanted;

	lock_acquire(&moves->lock);
	move = moves_find_service(moves, &service);
	wanted = move && move->state.withdrawn_at_us == 0 &&
		 (move_is_old(move, &version) || label_equal(&version, &move->spec.to));
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
	move = moves_find_service(moves, &service);
	us = move ? move_interval_us(&move->spec) : fallback;
	lock_release(&moves->lock);
	return us;
}

int moves_share(struct moves *moves, uint64_t id, struct instant now)
{
	const struct move *move;
	int share;

	lock_acquire(&moves->lock);
	move = moves_find(moves, id);
	share = move ? move_opened_share(move, now) : 0;
	lock_release(&moves->lock);
	return share;
}

void moves_add_evidence(struct moves *moves, uint64_t id, struct label version,
			const struct evidence_window *window)
{
	struct move *move;

	lock_acquire(&moves->lock);
	move = moves_find(moves, id);
	if (move && !move->evidence)
		move->evidence = evidence_new();
	if (move && label_equal(&version, &move->spec.to))
		evidence_add(move->evidence, EVIDENCE_NEW, window);
	else if (move && move_is_old(move, &version))
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
	move = moves_find(moves, id);
	if (move)
		*spec = move->spec;
	lock_release(&moves->lock);
	return move != NULL;
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
