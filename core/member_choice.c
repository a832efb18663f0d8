/*
 * The choice of a target among members, and what this node's own calls tell of each.
 */
#include "core/member_table.h"

/* Evidence against one target by this node's own calls, in log-likelihood units (a CUSUM of
 * "half of its calls fail" against "one in twenty fails"). */
#define EJECT_FAILURE_STEP 2.303
#define EJECT_SUCCESS_STEP 0.642
#define EJECT_BROKEN_STEP  4.0
#define EJECT_THRESHOLD	   9.0
#define EJECT_US	   (10 * US_PER_S)
/* Part of a service's targets that may be ejected at once: the rest must carry the load. */
#define EJECT_MOST 0.5
/* A target is worse than its service if the others fail less than this part of what it does.
 * Where all fail alike, load or a fault behind them is the cause, and fewer targets help nobody. */
#define EJECT_OTHERS   0.5
#define FAILING_WEIGHT 0.1 /* of one more call, in the smoothed failure rate */
#define CLOSED_US      (1 * US_PER_S)

bool version_matches(const struct version_filter *filter, const struct label *version)
{
	switch (filter->kind) {
	case VERSION_ANY:
		return true;
	case VERSION_IS:
		return label_equal(&filter->name, version);
	case VERSION_IS_NOT:
		return !label_equal(&filter->name, version);
	}
	g_assert_not_reached();
}

/* Whether a target serves at all, as the fleet knows it. */
static bool is_serving(const struct peer *peer)
{
	return peer->record.state == MEMBER_ALIVE && peer->record.slots > 0;
}

/* Whether this node leaves it alone for a while. */
static bool is_contained(const struct peer *peer, struct instant now)
{
	return peer->contained_until.at_us && !deadline_passed(peer->contained_until, now);
}

static bool takes_work(const struct peer *peer, const struct choice_options *options,
		       struct instant now)
{
	return is_serving(peer) && version_matches(&options->version, &peer->record.version) &&
	       !members_holds(options->avoid, options->avoid_count, peer->record.id) &&
	       !is_contained(peer, now);
}

/* What a moment ago was known of a target's free slots. */
#define BUSY_KNOWN_US (60 * US_PER_MS)

#define ANSWER_WEIGHT	0.2  /* of one more answer, in the smoothed time */
#define ANSWER_GUESS_US 1000 /* before the first one: a new target is tried soon */

/* Calls in flight over slots; a cold target counts as if it had a quarter of its slots. */
static double load_of(const struct peer *peer, struct instant now)
{
	double slots = peer->record.slots;

	if (peer->warm_at.at_us && !deadline_passed(peer->warm_at, now))
		slots /= 4;
	return (peer->in_flight + 1) / slots;
}

/* When an answer would come, by what this node has seen of the target. */
static double cost_of(const struct peer *peer, struct instant now)
{
	double cost = MAX(peer->answer_us, ANSWER_GUESS_US) * load_of(peer, now);

	if (peer->busy_until.at_us && !deadline_passed(peer->busy_until, now))
		cost += (double)peer->busy_expected_us;
	return cost;
}

struct candidates {
	struct peer *near[2]; /* two random ones of this data centre */
	struct peer *far[2];  /* two random ones of the others */
	int near_seen;
	int far_seen;
};

/* Keeps a uniform sample of two. */
static void sample(struct peer **kept, int *seen, struct peer *peer, struct rng *rng)
{
	int at = *seen < 2 ? *seen : (int)rng_below(rng, (uint64_t)*seen + 1);

	(*seen)++;
	if (at < 2)
		kept[at] = peer;
}

static struct peer *less_loaded(struct peer **two, int seen, struct instant now)
{
	if (seen == 0)
		return NULL;
	if (seen == 1 || cost_of(two[0], now) <= cost_of(two[1], now))
		return two[0];
	return two[1];
}

static struct peer *choose(struct candidates *found, struct instant now)
{
	struct peer *near = less_loaded(found->near, found->near_seen, now);
	struct peer *far = less_loaded(found->far, found->far_seen, now);

	if (!near || !far)
		return near ? near : far;
	/* Spill to another data centre once the near target's slots are all taken. */
	if (load_of(near, now) > 1.0 && load_of(far, now) < load_of(near, now))
		return far;
	return near;
}

static bool is_near(const struct members *members, const struct peer *peer)
{
	return label_equal(&peer->record.data_centre, &members->options.self.data_centre);
}

static bool is_wanted(const struct members *members, const struct peer *peer,
		      const struct choice_options *options)
{
	switch (options->where) {
	case CHOOSE_ANYWHERE:
		return true;
	case CHOOSE_NEAR:
		return is_near(members, peer);
	case CHOOSE_FAR:
		return !is_near(members, peer);
	}
	g_assert_not_reached();
}

/* Whether a target is among the first few of its version: by a hash, so that all nodes agree. */
static bool is_among_first(const GPtrArray *list, const struct peer *peer,
			   const struct choice_options *options)
{
	uint64_t own = rng_mix(peer->record.id);
	int before = 0;

	if (options->most == 0)
		return true;
	for (guint i = 0; i < list->len && before < options->most; i++) {
		const struct peer *other = g_ptr_array_index(list, i);

		before += is_serving(other) &&
			  version_matches(&options->version, &other->record.version) &&
			  rng_mix(other->record.id) < own;
	}
	return before < options->most;
}

uint64_t members_choose(struct members *members, const struct choice_options *options,
			struct rng *rng, struct instant now)
{
	struct candidates found = { 0 };
	struct peer *chosen;
	const GPtrArray *list;
	uint64_t id = 0;

	lock_acquire(&members->lock);
	list = g_hash_table_lookup(members->by_service, &options->service);
	for (guint i = 0; list && i < list->len; i++) {
		struct peer *peer = g_ptr_array_index(list, i);

		if (!takes_work(peer, options, now) || !is_wanted(members, peer, options) ||
		    !is_among_first(list, peer, options))
			continue;
		if (is_near(members, peer))
			sample(found.near, &found.near_seen, peer, rng);
		else
			sample(found.far, &found.far_seen, peer, rng);
	}
	chosen = choose(&found, now);
	if (chosen) {
		chosen->in_flight++;
		id = chosen->record.id;
	}
	lock_release(&members->lock);
	return id;
}

void members_call_begins(struct members *members, uint64_t id)
{
	struct peer *peer;

	lock_acquire(&members->lock);
	peer = members_find(members, id);
	if (peer)
		peer->in_flight++;
	lock_release(&members->lock);
}

static double evidence_step(enum call_outcome outcome)
{
	switch (outcome) {
	case CALL_ANSWERED:
		return -EJECT_SUCCESS_STEP;
	case CALL_FAILED:
		return EJECT_FAILURE_STEP;
	case CALL_REFUSED:
	case CALL_CLOSED:
		return 0;
	case CALL_BROKEN:
		return EJECT_BROKEN_STEP;
	}
	g_assert_not_reached();
}

static void note_failing(struct peer *peer, enum call_outcome outcome)
{
	switch (outcome) {
	case CALL_ANSWERED:
		peer->failing -= FAILING_WEIGHT * peer->failing;
		return;
	case CALL_FAILED:
	case CALL_BROKEN:
		peer->failing += FAILING_WEIGHT * (1 - peer->failing);
		return;
	case CALL_REFUSED:
	case CALL_CLOSED:
		return;
	}
	g_assert_not_reached();
}

/* Whether a target stands out from its service, and enough others are left without it. */
static bool is_outlier(const struct members *members, const struct peer *peer, struct instant now)
{
	const GPtrArray *list = g_hash_table_lookup(members->by_service, &peer->record.service);
	double failing = 0;
	int live = 1;
	int out = 1;

	for (guint i = 0; list && i < list->len; i++) {
		const struct peer *other = g_ptr_array_index(list, i);

		if (other == peer || !is_serving(other))
			continue;
		live++;
		failing += other->failing;
		out += is_contained(other, now);
	}
	return live > 1 && out <= EJECT_MOST * live &&
	       failing / (live - 1) < EJECT_OTHERS * peer->failing;
}

bool members_call_ended(struct members *members, uint64_t id, enum call_outcome outcome,
			bool may_eject, struct instant now)
{
	struct peer *peer;
	bool eject = false;

	lock_acquire(&members->lock);
	peer = members_find(members, id);
	if (peer) {
		if (peer->in_flight > 0)
			peer->in_flight--;
		peer->evidence += evidence_step(outcome);
		peer->evidence = CLAMP(peer->evidence, 0, EJECT_THRESHOLD);
		note_failing(peer, outcome);
		eject = may_eject && peer->evidence >= EJECT_THRESHOLD &&
			is_outlier(members, peer, now);
	}
	/* Its own word, which no switch concerns; the membership tells soon for how long. */
	if (peer && outcome == CALL_CLOSED)
		peer->contained_until = deadline_after(now, CLOSED_US);
	if (eject) {
		peer->contained_until = deadline_after(now, EJECT_US);
		peer->evidence = 0;
	}
	lock_release(&members->lock);
	return eject;
}

void members_note_answer(struct members *members, uint64_t id, int64_t answer_us)
{
	struct peer *peer;

	lock_acquire(&members->lock);
	peer = members_find(members, id);
	if (peer && peer->answer_us > 0)
		peer->answer_us += ANSWER_WEIGHT * ((double)answer_us - peer->answer_us);
	else if (peer)
		peer->answer_us = (double)answer_us;
	lock_release(&members->lock);
}

void members_note_busy(struct members *members, uint64_t id, int64_t expected_us,
		       struct instant now)
{
	struct peer *peer;

	lock_acquire(&members->lock);
	peer = members_find(members, id);
	if (peer) {
		peer->busy_until = deadline_after(now, BUSY_KNOWN_US);
		peer->busy_expected_us = expected_us;
	}
	lock_release(&members->lock);
}

static int count_version(const GPtrArray *list, const struct version_filter *version)
{
	int count = 0;

	for (guint i = 0; list && i < list->len; i++) {
		const struct peer *peer = g_ptr_array_index(list, i);

		count += is_serving(peer) && version_matches(version, &peer->record.version);
	}
	return count;
}

struct label members_main_version(struct members *members, struct label service,
				  struct label except)
{
	struct label found = { 0 };
	const GPtrArray *list;
	int most = 0;

	lock_acquire(&members->lock);
	list = g_hash_table_lookup(members->by_service, &service);
	for (guint i = 0; list && i < list->len; i++) {
		const struct peer *peer = g_ptr_array_index(list, i);
		struct version_filter version = { VERSION_IS, peer->record.version };
		int count = label_equal(&peer->record.version, &except) ||
					    label_equal(&peer->record.version, &found)
				    ? 0
				    : count_version(list, &version);

		if (count > most) {
			most = count;
			found = peer->record.version;
		}
	}
	lock_release(&members->lock);
	return found;
}

int members_version_targets(struct members *members, struct label service,
			    const struct version_filter *version)
{
	int count;

	lock_acquire(&members->lock);
	count = count_version(g_hash_table_lookup(members->by_service, &service), version);
	lock_release(&members->lock);
	return count;
}
