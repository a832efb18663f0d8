/*
 * The choice of a target among members, and statistics of this node's own calls to each target.
 */
#include "core/member_table.h"

/* Scores of the results of this node's calls to a target: log-likelihood ratios of a CUSUM test of
 * "half of its calls fail" against "one in twenty fails". */
#define FAILURE_SCORE 2.303
#define SUCCESS_SCORE 0.642
#define BROKEN_SCORE  4.0
#define EJECT_SCORE   9.0
#define EJECT_US      (10 * US_PER_S)
/* Fraction of a service's targets that may be ejected at once: the rest has to carry the load. */
#define EJECT_FRACTION_MAX 0.5
/* A target is an outlier if the failure rate of the others is below this fraction of its own. If
 * all fail alike, load or a dependency is the cause, and ejecting targets does not help. */
#define EJECT_OTHERS_RATIO 0.5
#define FAILURE_SMOOTHING  0.1 /* weight of a call in the smoothed failure rate */
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

/* Whether a target serves calls, according to its member record. */
static bool is_serving(const struct peer *peer)
{
	return peer->record.state == MEMBER_ALIVE && peer->record.slots > 0;
}

static bool is_evacuated(const struct peer *peer, const GArray *evacuated)
{
	for (guint i = 0; evacuated && i < evacuated->len; i++)
		if (label_equal(&g_array_index(evacuated, struct label, i),
				&peer->record.data_centre))
			return true;
	return false;
}

/* Whether this node contains the target, that is, sends it no calls for now. */
static bool is_contained(const struct peer *peer, struct instant now)
{
	return peer->contained_until.at_us && !deadline_passed(peer->contained_until, now);
}

static bool takes_work(const struct peer *peer, const struct choice_options *options,
		       struct instant now)
{
	return is_serving(peer) && version_matches(&options->version, &peer->record.version) &&
	       !id_list_contains(options->avoid, options->avoid_count, peer->record.id) &&
	       !is_contained(peer, now) && !is_evacuated(peer, options->evacuated);
}

/* How long a refusal for lack of a free slot raises the target's cost. */
#define BUSY_VALID_US (60 * US_PER_MS)

#define ANSWER_SMOOTHING 0.2 /* weight of an answer in the smoothed time */
/* Lower bound of the smoothed time. It stands for the time of a target without answers yet: low, so
 * that new targets are tried soon. */
#define ANSWER_MIN_US 1000

/* Returns calls in flight per slot, the call to be sent included. During its slow start a target
 * counts as having a quarter of its slots. */
static double load_of(const struct peer *peer, struct instant now)
{
	double slots = peer->record.slots;

	if (peer->slow_start_until.at_us && !deadline_passed(peer->slow_start_until, now))
		slots /= 4;
	return (peer->in_flight + 1) / slots;
}

/* Estimates the time until an answer from this node's own calls to the target. */
static double cost_of(const struct peer *peer, struct instant now)
{
	double cost = MAX(peer->mean_answer_us, ANSWER_MIN_US) * load_of(peer, now);

	if (peer->busy_until.at_us && !deadline_passed(peer->busy_until, now))
		cost += (double)peer->busy_expected_us;
	return cost;
}

struct candidates {
	struct peer *local[2];	/* two random targets of the local data centre */
	struct peer *remote[2]; /* two random targets of remote data centres */
	int local_seen;
	int remote_seen;
};

/* Adds a target to a uniform random sample of two. */
static void sample(struct peer **picked, int *seen, struct peer *peer, struct rng *rng)
{
	int at = *seen < 2 ? *seen : (int)rng_below(rng, (uint64_t)*seen + 1);

	(*seen)++;
	if (at < 2)
		picked[at] = peer;
}

static struct peer *cheaper(struct peer **pair, int seen, struct instant now)
{
	if (seen == 0)
		return NULL;
	if (seen == 1 || cost_of(pair[0], now) <= cost_of(pair[1], now))
		return pair[0];
	return pair[1];
}

static struct peer *choose(struct candidates *found, struct instant now)
{
	struct peer *local = cheaper(found->local, found->local_seen, now);
	struct peer *remote = cheaper(found->remote, found->remote_seen, now);

	if (!local || !remote)
		return local ? local : remote;
	/* Calls overflow to a remote data centre once the local target's slots are all in use. */
	if (load_of(local, now) > 1.0 && load_of(remote, now) < load_of(local, now))
		return remote;
	return local;
}

static bool is_local(const struct members *members, const struct peer *peer)
{
	return label_equal(&peer->record.data_centre, &members->options.self.data_centre);
}

static bool is_in_scope(const struct members *members, const struct peer *peer,
			const struct choice_options *options)
{
	switch (options->data_centre) {
	case CHOOSE_ANYWHERE:
		return true;
	case CHOOSE_LOCAL:
		return is_local(members, peer);
	case CHOOSE_REMOTE:
		return !is_local(members, peer);
	}
	g_assert_not_reached();
}

/* Whether a target is among the first options->max_targets of its version, in an order by hash that
 * is the same on all nodes. */
static bool is_among_first(const GPtrArray *list, const struct peer *peer,
			   const struct choice_options *options)
{
	uint64_t hash = rng_mix(peer->record.id);
	int earlier = 0;

	if (options->max_targets == 0)
		return true;
	for (guint i = 0; i < list->len && earlier < options->max_targets; i++) {
		const struct peer *other = g_ptr_array_index(list, i);

		earlier += is_serving(other) && !is_evacuated(other, options->evacuated) &&
			   version_matches(&options->version, &other->record.version) &&
			   rng_mix(other->record.id) < hash;
	}
	return earlier < options->max_targets;
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

		if (!takes_work(peer, options, now) || !is_in_scope(members, peer, options) ||
		    !is_among_first(list, peer, options))
			continue;
		if (is_local(members, peer))
			sample(found.local, &found.local_seen, peer, rng);
		else
			sample(found.remote, &found.remote_seen, peer, rng);
	}
	chosen = choose(&found, now);
	if (chosen) {
		chosen->in_flight++;
		id = chosen->record.id;
	}
	lock_release(&members->lock);
	return id;
}

void members_call_started(struct members *members, uint64_t id)
{
	struct peer *peer;

	lock_acquire(&members->lock);
	peer = members_find(members, id);
	if (peer)
		peer->in_flight++;
	lock_release(&members->lock);
}

static double outcome_score(enum call_outcome outcome)
{
	switch (outcome) {
	case CALL_ANSWERED:
		return -SUCCESS_SCORE;
	case CALL_FAILED:
		return FAILURE_SCORE;
	case CALL_REFUSED:
	case CALL_CLOSED:
		return 0;
	case CALL_BROKEN:
		return BROKEN_SCORE;
	}
	g_assert_not_reached();
}

static void update_failure_rate(struct peer *peer, enum call_outcome outcome)
{
	switch (outcome) {
	case CALL_ANSWERED:
		peer->failure_rate -= FAILURE_SMOOTHING * peer->failure_rate;
		return;
	case CALL_FAILED:
	case CALL_BROKEN:
		peer->failure_rate += FAILURE_SMOOTHING * (1 - peer->failure_rate);
		return;
	case CALL_REFUSED:
	case CALL_CLOSED:
		return;
	}
	g_assert_not_reached();
}

/* Whether a target fails more than the others of its service, and enough are left without it. */
static bool is_outlier(const struct members *members, const struct peer *peer, struct instant now)
{
	const GPtrArray *list = g_hash_table_lookup(members->by_service, &peer->record.service);
	double failure_rates = 0;
	int live = 1;
	int contained = 1;

	for (guint i = 0; list && i < list->len; i++) {
		const struct peer *other = g_ptr_array_index(list, i);

		if (other == peer || !is_serving(other))
			continue;
		live++;
		failure_rates += other->failure_rate;
		contained += is_contained(other, now);
	}
	return live > 1 && contained <= EJECT_FRACTION_MAX * live &&
	       failure_rates / (live - 1) < EJECT_OTHERS_RATIO * peer->failure_rate;
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
		peer->failure_score += outcome_score(outcome);
		peer->failure_score = CLAMP(peer->failure_score, 0, EJECT_SCORE);
		update_failure_rate(peer, outcome);
		eject = may_eject && peer->failure_score >= EJECT_SCORE &&
			is_outlier(members, peer, now);
	}
	/* The target's own node closed it, so that the eject switch does not apply. A membership
	 * update soon says for how long. */
	if (peer && outcome == CALL_CLOSED)
		peer->contained_until = deadline_after(now, CLOSED_US);
	if (eject) {
		peer->contained_until = deadline_after(now, EJECT_US);
		peer->failure_score = 0;
	}
	lock_release(&members->lock);
	return eject;
}

void members_record_answer_time(struct members *members, uint64_t id, int64_t answer_us)
{
	struct peer *peer;

	lock_acquire(&members->lock);
	peer = members_find(members, id);
	if (peer && peer->mean_answer_us > 0)
		peer->mean_answer_us +=
			ANSWER_SMOOTHING * ((double)answer_us - peer->mean_answer_us);
	else if (peer)
		peer->mean_answer_us = (double)answer_us;
	lock_release(&members->lock);
}

void members_record_refusal(struct members *members, uint64_t id, int64_t expected_us,
			    struct instant now)
{
	struct peer *peer;

	lock_acquire(&members->lock);
	peer = members_find(members, id);
	if (peer) {
		peer->busy_until = deadline_after(now, BUSY_VALID_US);
		peer->busy_expected_us = expected_us;
	}
	lock_release(&members->lock);
}

static int count_version(const GPtrArray *list, const struct version_filter *version,
			 const GArray *evacuated)
{
	int count = 0;

	for (guint i = 0; list && i < list->len; i++) {
		const struct peer *peer = g_ptr_array_index(list, i);

		count += is_serving(peer) && !is_evacuated(peer, evacuated) &&
			 version_matches(version, &peer->record.version);
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
				    : count_version(list, &version, NULL);

		if (count > most) {
			most = count;
			found = peer->record.version;
		}
	}
	lock_release(&members->lock);
	return found;
}

int members_version_targets(struct members *members, struct label service,
			    const struct version_filter *version, const GArray *evacuated)
{
	int count;

	lock_acquire(&members->lock);
	count = count_version(g_hash_table_lookup(members->by_service, &service), version,
			      evacuated);
	lock_release(&members->lock);
	return count;
}
