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
#define CLOSED_US	   (1 * US_PER_S)

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

static bool takes_work(const struct peer *peer, const struct choice_options *options,
		       struct instant now)
{
	return peer->record.state == MEMBER_ALIVE && peer->record.slots > 0 &&
	       version_matches(&options->version, &peer->record.version) &&
	       !members_holds(options->avoid, options->avoid_count, peer->record.id) &&
	       (peer->contained_until.at_us == 0 || deadline_passed(peer->contained_until, now));
}

/* Calls in flight over slots; a cold target counts as if it had a quarter of its slots. */
static double load_of(const struct peer *peer, struct instant now)
{
	double slots = peer->record.slots;

	if (peer->warm_at.at_us && !deadline_passed(peer->warm_at, now))
		slots /= 4;
	return (peer->in_flight + 1) / slots;
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
	if (seen == 1 || load_of(two[0], now) <= load_of(two[1], now))
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

		if (!takes_work(peer, options, now))
			continue;
		if (label_equal(&peer->record.data_centre, &members->options.self.data_centre))
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
		if (peer->evidence < 0)
			peer->evidence = 0;
		eject = may_eject && peer->evidence >= EJECT_THRESHOLD;
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

int members_version_targets(struct members *members, struct label service,
			    const struct version_filter *version)
{
	const GPtrArray *list;
	int count = 0;

	lock_acquire(&members->lock);
	list = g_hash_table_lookup(members->by_service, &service);
	for (guint i = 0; list && i < list->len; i++) {
		const struct peer *peer = g_ptr_array_index(list, i);

		count += peer->record.state == MEMBER_ALIVE && peer->record.slots > 0 &&
			 version_matches(version, &peer->record.version);
	}
	lock_release(&members->lock);
	return count;
}
