#include "core/admit.h"

#include <math.h>

#include "base/lockorder.h"
#include "core/pace.h"
#include "core/shed.h"

/* Half-life of a tenant's recorded use: much longer than a call, much shorter than an overload. */
#define USE_HALF_LIFE_US (500 * US_PER_MS)

/* Part of the link that bodies for the target may use: the VM's callers, nested calls and the
 * fleet's messages share it. */
#define INTAKE_FRACTION 0.75
#define INTAKE_AHEAD_US (1 * US_PER_S)

enum {
	QUEUE_PER_SLOT = 8, /* queued calls for each slot */
	TENANTS_MAX = 256,  /* further tenants share one queue */
	ROUTES_MAX = 256,
	BODY_START_BYTES = 128 << 10, /* of a body that come before its window is extended */
	BULK_SLOT_PERCENT = 50,
	INITIAL_SERVICE_US = 2000, /* estimate before the first measurement */
	GROW_AFTER_CALLS = 32,	   /* served calls after a shed one, until one more slot is used */
	RESERVED_DIVISOR = 3,	   /* at most 1/3 of the slots are reserved for nested calls */
	LOWER_LANE_DIVISOR = 4,	   /* at least 1/4 of the slots count as free for lower lanes */
	WARMUP_CALLS = 10,	   /* first served calls, which weigh more in smoothed times */
};

/* The target counts as slow once the mean age of the running calls is this many times the usual
 * one. Few calls run at once, so that their mean age varies. */
#define SLOW_AGE_RATIO 2.0

/* Weight of a served call in the smoothed times: more for a route, which has fewer calls than the
 * target. */
#define ROUTE_SMOOTHING	 0.1
#define TARGET_SMOOTHING 0.05

/* Time constant of the smoothed number of running nested calls. */
#define NESTED_SMOOTHING_US (1 * US_PER_S)

#define CONCURRENCY_VALID_US (1 * US_PER_S) /* how long a recorded concurrency is used */

/* A retried call may be served late if its remaining time is at least this many times the time that
 * it is expected to take. */
#define RETRIED_MARGIN 1.3

/* A call with less than this part of its usual service time left is refused. */
#define HOPELESS_FRACTION 0.5

/* As HOPELESS_FRACTION, for the time until the node cuts the call off. Service times vary, and a
 * call that is refused can be tried elsewhere, while one that is cut off may have run. */
#define CUT_FRACTION 2.0

/* The queues in order of precedence: one for each class, and one for nested calls. */
enum lane {
	LANE_INTERACTIVE,
	LANE_NESTED,
	LANE_STANDARD,
	LANE_BULK,
	LANE_BACKGROUND,
	LANE_COUNT,
};

/* Calls of a lane that may start in a round before those of a lower lane. */
static const int lane_weight[LANE_COUNT] = { 64, 64, 16, 4, 1 };

struct tenant_queue {
	struct label tenant;
	GQueue entries; /* struct queue_entry without a body to be fetched */
	GQueue bodies;	/* struct queue_entry with one: may wait for the link longer */
	int running;
	double used_us; /* target's time used by the tenant, with exponential decay */
	int64_t used_at_us;
};

struct lane_queue {
	GQueue active; /* struct tenant_queue with queued calls */
	int queued;
	int queued_bodies; /* those of them with a body that is to be fetched */
	int credit;	   /* calls that may still start in this round */
};

struct route_use {
	struct label name;
	int running;
	int served;	   /* up to WARMUP_CALLS */
	double service_us; /* smoothed */
};

struct admit {
	struct lock lock;
	bool closed;
	bool return_queued; /* queued calls go back, to be sent to other targets */
	bool evacuated;	    /* as .return_queued, while the data centre is evacuated */
	struct warmup warmup;
	struct pace intake; /* of the bodies that are fetched for the target */
	int64_t queued_body_bytes;
	struct deadline queue_ends_at; /* 0, as the next: the node does not stop */
	struct deadline work_ends_at;
	int announced_slots;
	int slots;
	int running;
	int running_of[LANE_COUNT];
	double nested_running; /* smoothed number of running nested calls */
	int64_t nested_running_at_us;
	int queued;
	int served_since_shed;
	int concurrency; /* highest number of calls served at once recently */
	int64_t concurrency_until_us;
	int served;		   /* up to WARMUP_CALLS */
	double start_times_sum_us; /* sum of the start times of the running calls */
	double service_us;
	double service_square; /* smoothed square of the service times */
	bool measured_cold;    /* no warm call was measured yet: the next one replaces the times */
	GQueue shed;	       /* struct queue_entry; turned away for others, to be refused */
	GQueue late; /* struct queue_entry; its objective can't be met: runs after all others */
	struct lane_queue lanes[LANE_COUNT];
	GHashTable *tenants[LANE_COUNT]; /* struct label -> struct tenant_queue */
	GHashTable *routes;		 /* struct label -> struct route_use */
};

struct str admit_result_name(enum admit_result result)
{
	switch (result) {
	case ADMIT_RUN:
		return STR("run");
	case ADMIT_QUEUED:
		return STR("queued");
	case ADMIT_BUSY:
		return STR("no free slot");
	case ADMIT_FULL:
		return STR("queue full");
	case ADMIT_LATE:
		return STR("deadline can't be met");
	case ADMIT_COLD:
		return STR("the target is cold");
	case ADMIT_CLOSED:
		return STR("target takes no work");
	case ADMIT_EVACUATED:
		return STR("the data centre is evacuated");
	}
	g_assert_not_reached();
}

struct admit *admit_new(apr_pool_t *pool)
{
	struct admit *admit = g_new0(struct admit, 1);

	lock_init(&admit->lock, LOCK_ADMIT, pool);
	warmup_init(&admit->warmup, NULL);
	admit->service_us = INITIAL_SERVICE_US;
	g_queue_init(&admit->late);
	g_queue_init(&admit->shed);
	admit->routes = g_hash_table_new_full(label_hash, label_hash_equal, NULL, g_free);
	for (int i = 0; i < LANE_COUNT; i++) {
		admit->tenants[i] =
			g_hash_table_new_full(label_hash, label_hash_equal, NULL, g_free);
		g_queue_init(&admit->lanes[i].active);
		admit->lanes[i].credit = lane_weight[i];
	}
	return admit;
}

void admit_free(struct admit *admit)
{
	if (!admit)
		return;
	for (int i = 0; i < LANE_COUNT; i++) {
		g_queue_clear(&admit->lanes[i].active);
		g_hash_table_destroy(admit->tenants[i]);
	}
	g_queue_clear(&admit->late);
	g_queue_clear(&admit->shed);
	g_hash_table_destroy(admit->routes);
	lock_destroy(&admit->lock);
	g_free(admit);
}

void admit_set_slots(struct admit *admit, int slots)
{
	lock_acquire(&admit->lock);
	if (slots != admit->announced_slots)
		admit->slots = slots;
	admit->announced_slots = slots;
	admit->return_queued = false;
	lock_release(&admit->lock);
}

void admit_set_link(struct admit *admit, double mbps)
{
	lock_acquire(&admit->lock);
	admit->intake = pace_of_link(INTAKE_FRACTION * mbps);
	lock_release(&admit->lock);
}

void admit_close(struct admit *admit)
{
	lock_acquire(&admit->lock);
	admit->closed = true;
	lock_release(&admit->lock);
}

void admit_return_queued(struct admit *admit)
{
	lock_acquire(&admit->lock);
	admit->return_queued = true;
	lock_release(&admit->lock);
}

void admit_end_by(struct admit *admit, struct deadline queue_ends_at, struct deadline work_ends_at)
{
	lock_acquire(&admit->lock);
	admit->queue_ends_at = queue_ends_at;
	admit->work_ends_at = work_ends_at;
	lock_release(&admit->lock);
}

void admit_set_warmup_options(struct admit *admit, const struct warmup_options *options)
{
	lock_acquire(&admit->lock);
	warmup_init(&admit->warmup, options);
	lock_release(&admit->lock);
}

void admit_set_rules(struct admit *admit, const struct admit_rules *rules, struct instant now)
{
	lock_acquire(&admit->lock);
	warmup_set_rule(&admit->warmup, &rules->warmup, now);
	if (admit->evacuated && !rules->evacuated)
		warmup_note_cold(&admit->warmup, COLD_REOPENED, now);
	admit->evacuated = rules->evacuated;
	lock_release(&admit->lock);
}

void admit_target_started(struct admit *admit, struct instant now)
{
	lock_acquire(&admit->lock);
	warmup_note_cold(&admit->warmup, COLD_STARTED, now);
	lock_release(&admit->lock);
}

void admit_heartbeat(struct admit *admit, bool states_warmup, bool cold, struct instant now)
{
	lock_acquire(&admit->lock);
	warmup_note_heartbeat(&admit->warmup, states_warmup, cold, now);
	lock_release(&admit->lock);
}

static enum lane lane_of(const struct queue_entry *entry)
{
	switch (entry->class) {
	case CLASS_INTERACTIVE:
		return LANE_INTERACTIVE;
	case CLASS_STANDARD:
		return entry->nested ? LANE_NESTED : LANE_STANDARD;
	case CLASS_BULK:
		return LANE_BULK;
	case CLASS_BACKGROUND:
	case CLASS_COUNT:
		return LANE_BACKGROUND;
	}
	g_assert_not_reached();
}

static struct route_use *route_get(struct admit *admit, const struct label *name)
{
	struct route_use *route = g_hash_table_lookup(admit->routes, name);

	if (route)
		return route;
	/* Clearing a full table also drops routes that are no longer configured. */
	if (g_hash_table_size(admit->routes) >= ROUTES_MAX && admit->running == 0)
		g_hash_table_remove_all(admit->routes);
	route = g_new0(struct route_use, 1);
	route->name = *name;
	route->service_us = admit->service_us;
	g_hash_table_insert(admit->routes, &route->name, route);
	return route;
}

static int route_limit(const struct admit *admit, const struct queue_entry *entry)
{
	int limit = admit->slots * entry->concurrency_percent / 100;

	return limit > 0 ? limit : 1;
}

/* Samples the number of running nested calls whenever a call starts. */
static void update_nested_running(struct admit *admit, struct instant now)
{
	double elapsed_us = (double)(now.mono_us - admit->nested_running_at_us);
	double weight = 1 - exp(-elapsed_us / NESTED_SMOOTHING_US);

	admit->nested_running += weight * (admit->running_of[LANE_NESTED] - admit->nested_running);
	admit->nested_running_at_us = now.mono_us;
}

/* Returns how many slots other calls leave free for nested ones: as many as those use on average.
 * Nested calls are short, and would wait for the end of a long one. */
static int reserved_slots(const struct admit *admit)
{
	return MIN((int)admit->nested_running, admit->slots / RESERVED_DIVISOR);
}

static bool may_run(struct admit *admit, const struct queue_entry *entry, struct instant now)
{
	int bulk_limit = (admit->slots * BULK_SLOT_PERCENT + 99) / 100;
	int others = admit->running - admit->running_of[LANE_NESTED];

	if (admit->running >= admit->slots || !warmup_may_start(&admit->warmup, now))
		return false;
	if (entry->body_bytes && pace_wait_us(&admit->intake, now) > 0)
		return false;
	if (lane_of(entry) != LANE_NESTED && others >= admit->slots - reserved_slots(admit))
		return false;
	if (lane_of(entry) == LANE_BULK && admit->running_of[LANE_BULK] >= bulk_limit)
		return false;
	return route_get(admit, &entry->route)->running < route_limit(admit, entry);
}

/* Counts bytes that come over the link. The count runs ahead of the clock by INTAKE_AHEAD_US at
 * most: what was counted may not come. */
static void count_intake(struct admit *admit, int64_t bytes, struct instant now)
{
	pace_count(&admit->intake, (size_t)bytes, now);
	admit->intake.free_at.at_us =
		MIN(admit->intake.free_at.at_us, now.mono_us + INTAKE_AHEAD_US);
}

void admit_count_received(struct admit *admit, int64_t bytes, struct instant now)
{
	lock_acquire(&admit->lock);
	count_intake(admit, bytes, now);
	lock_release(&admit->lock);
}

static void start_call(struct admit *admit, struct tenant_queue *tenant, struct queue_entry *entry,
		       struct instant now)
{
	update_nested_running(admit, now);
	entry->cold = warmup_cause(&admit->warmup, now) != COLD_NOT;
	warmup_start(&admit->warmup, now);
	count_intake(admit, MIN(entry->body_bytes, BODY_START_BYTES), now);
	entry->started_at_us = now.mono_us;
	entry->running_at_start = admit->running + 1;
	admit->start_times_sum_us += (double)now.mono_us;
	tenant->running++;
	admit->running++;
	admit->running_of[lane_of(entry)]++;
	route_get(admit, &entry->route)->running++;
}

static struct tenant_queue *tenant_get(struct admit *admit, const struct queue_entry *entry)
{
	GHashTable *tenants = admit->tenants[lane_of(entry)];
	struct tenant_queue *tenant = g_hash_table_lookup(tenants, &entry->tenant);
	struct label name = entry->tenant;

	if (tenant)
		return tenant;
	if (g_hash_table_size(tenants) >= TENANTS_MAX) {
		name = label_from(STR("others"));
		tenant = g_hash_table_lookup(tenants, &name);
		if (tenant)
			return tenant;
	}
	tenant = g_new0(struct tenant_queue, 1);
	tenant->tenant = name;
	g_queue_init(&tenant->entries);
	g_queue_init(&tenant->bodies);
	g_hash_table_insert(tenants, &tenant->tenant, tenant);
	return tenant;
}

static int queued_of(const struct tenant_queue *tenant)
{
	return (int)(tenant->entries.length + tenant->bodies.length);
}

static GQueue *queue_of(struct tenant_queue *tenant, const struct queue_entry *entry)
{
	return entry->body_bytes ? &tenant->bodies : &tenant->entries;
}

/* Estimates how much slower than usual the target is, from the age of the running calls. */
static double slowness(const struct admit *admit, struct instant now)
{
	double mean_age_us;
	double usual_us;

	if (admit->running == 0 || admit->served < WARMUP_CALLS)
		return 1;
	mean_age_us = (double)now.mono_us - admit->start_times_sum_us / admit->running;
	/* Long calls are found running more often than short ones: the mean is E[s^2]/2E[s]. */
	usual_us = admit->service_square / (2 * admit->service_us);
	return MAX(mean_age_us / (usual_us * SLOW_AGE_RATIO), 1);
}

/* Estimates the service time of a call from its route's calls. */
static double expected_service_us(struct admit *admit, const struct queue_entry *entry,
				  struct instant now)
{
	return route_get(admit, &entry->route)->service_us * slowness(admit, now);
}

/* Estimates the wait of a new call: calls of higher lanes go first, and those of its own lane
 * that the round robin between tenants serves before it. A cold target takes them at its rate. */
static int64_t expected_wait_us(const struct admit *admit, const struct queue_entry *entry,
				const struct tenant_queue *tenant, struct instant now)
{
	const struct lane_queue *lane = &admit->lanes[lane_of(entry)];
	int own = queued_of(tenant) + 1;
	int tenants = MAX((int)lane->active.length, 1);
	int ahead = MIN(lane->queued, own * tenants);
	int slots = admit->slots;
	int64_t wait_us;

	/* Higher lanes keep the slots that they use and go first when a slot becomes free. */
	for (int i = 0; i < (int)lane_of(entry); i++) {
		ahead += admit->lanes[i].queued;
		slots -= admit->running_of[i];
	}
	slots = MAX(slots, (admit->slots + LOWER_LANE_DIVISOR - 1) / LOWER_LANE_DIVISOR);
	wait_us = (int64_t)((double)(ahead + 1) * admit->service_us * slowness(admit, now) / slots);
	wait_us = MAX(wait_us, warmup_wait_us(&admit->warmup, ahead + 1, now));
	if (entry->body_bytes)
		wait_us = MAX(wait_us,
			      pace_wait_us(&admit->intake, now) +
				      pace_transfer_us(&admit->intake, admit->queued_body_bytes));
	return wait_us;
}

/* Each lane has its own bound. A tenant with less than its equal share of the bound still gets in
 * when the lane has reached it. */
static bool is_full(const struct admit *admit, const struct queue_entry *entry,
		    const struct tenant_queue *tenant)
{
	const struct lane_queue *lane = &admit->lanes[lane_of(entry)];
	int bound = admit->slots * QUEUE_PER_SLOT;
	int tenants = (int)lane->active.length + (queued_of(tenant) == 0);
	int guaranteed = MAX(bound / tenants, 1);

	return lane->queued >= bound && queued_of(tenant) >= guaranteed;
}

static void enqueue(struct admit *admit, struct queue_entry *entry)
{
	struct lane_queue *lane = &admit->lanes[lane_of(entry)];
	struct tenant_queue *tenant = tenant_get(admit, entry);

	if (queued_of(tenant) == 0)
		g_queue_push_tail(&lane->active, tenant);
	g_queue_push_tail(queue_of(tenant, entry), entry);
	lane->queued++;
	admit->queued++;
	lane->queued_bodies += entry->body_bytes > 0;
	admit->queued_body_bytes += entry->body_bytes;
}

/* Returns the tenant's recent use, which halves in USE_HALF_LIFE_US. */
static double recent_use(const struct tenant_queue *tenant, struct instant now)
{
	double halvings = (double)(now.mono_us - tenant->used_at_us) / USE_HALF_LIFE_US;

	return tenant->used_us * exp2(-halvings);
}

static void add_use(struct tenant_queue *tenant, double us, struct instant now)
{
	tenant->used_us = recent_use(tenant, now) + us;
	tenant->used_at_us = now.mono_us;
}

/* Whether a call may run after all others once it is late. Interactive and nested calls keep their
 * place: delaying a nested call also delays the call that waits for it. */
static bool is_deferrable(const struct queue_entry *entry)
{
	return entry->objective.at_us && lane_of(entry) > LANE_NESTED;
}

/* Returns how long the call may stay at the target. */
static int64_t remaining_us(const struct admit *admit, const struct queue_entry *entry,
			    struct instant now)
{
	return MIN(deadline_remaining_us(entry->deadline, now),
		   deadline_remaining_us(admit->work_ends_at, now));
}

/* Whether a call with that expected time until its answer is worth a place in the queue. */
static bool is_worth_queueing(const struct admit *admit, const struct queue_entry *entry,
			      int64_t expected_us, struct instant now)
{
	int64_t left_us = remaining_us(admit, entry, now);

	if (!is_deferrable(entry) || expected_us <= deadline_remaining_us(entry->objective, now))
		return expected_us <= left_us;
	return entry->retried && (double)expected_us * RETRIED_MARGIN <= (double)left_us;
}

/* Whether a queued call goes before a new one as soon as a slot is free. Calls that wait for the
 * link, and late ones, don't. */
static bool is_preceded(const struct admit *admit, const struct queue_entry *entry,
			struct instant now)
{
	bool link_is_full = pace_wait_us(&admit->intake, now) > 0;

	for (int i = 0; i <= (int)lane_of(entry); i++) {
		const struct lane_queue *lane = &admit->lanes[i];
		bool passes_bodies = link_is_full && entry->body_bytes == 0;

		if (lane->queued > (passes_bodies ? lane->queued_bodies : 0))
			return true;
	}
	return false;
}

/* Whether a call may start at once. A target so slow that the answer would be late refuses the call
 * unless the call may queue. An idle target always takes one call, to detect its recovery. */
static bool may_start(struct admit *admit, const struct queue_entry *entry, int64_t service_us,
		      struct instant now)
{
	if (is_preceded(admit, entry, now) || !may_run(admit, entry, now))
		return false;
	return !entry->no_queue || admit->running == 0 || entry->objective.at_us == 0 ||
	       service_us <= deadline_remaining_us(entry->objective, now);
}

/* Whether a call that runs now would probably be cut off, since the node stops. */
static bool is_cut_off(const struct admit *admit, const struct queue_entry *entry,
		       double service_us, struct instant now)
{
	int64_t left_us = deadline_remaining_us(admit->work_ends_at, now);

	return deadline_remaining_us(entry->deadline, now) >= left_us &&
	       (double)left_us < CUT_FRACTION * service_us;
}

/* Whether a call has hardly a chance to be answered before its deadline, even if it runs now: its
 * time at the target would be wasted. Service times vary, so that half of the usual one may do. */
static bool is_hopeless(struct admit *admit, const struct queue_entry *entry, struct instant now)
{
	double service_us = route_get(admit, &entry->route)->service_us;

	return admit->served >= WARMUP_CALLS &&
	       ((double)deadline_remaining_us(entry->deadline, now) <
			HOPELESS_FRACTION * service_us ||
		is_cut_off(admit, entry, service_us, now));
}

/* Returns the time that a call takes of what is short: the link if it has a body to be fetched, or
 * else the slots. */
static int64_t work_us(struct admit *admit, const struct queue_entry *entry)
{
	if (entry->body_bytes)
		return pace_transfer_us(&admit->intake, entry->body_bytes);
	return (int64_t)route_get(admit, &entry->route)->service_us / MAX(admit->slots, 1);
}

static struct shed_call shed_call_of(struct admit *admit, const struct queue_entry *entry,
				     struct instant now)
{
	double left_us = (double)deadline_remaining_us(entry->objective, now);

	return (struct shed_call){ .class = entry->class,
				   .nested = entry->nested,
				   .in_time = expected_service_us(admit, entry, now) <= left_us,
				   .retried = entry->retried,
				   .work_us = work_us(admit, entry) };
}

/* Orders tenants by running calls, then by recent use. With use alone, a new tenant could take all
 * slots because it has used nothing yet. */
static bool has_precedence(const struct tenant_queue *a, const struct tenant_queue *b,
			   struct instant now)
{
	if (a->running != b->running)
		return a->running < b->running;
	return recent_use(a, now) < recent_use(b, now);
}

/* Returns the queued call of the lane that costs least and less than @p entry, and whose place
 * helps it; NULL if there is none. */
static struct queue_entry *cheapest_queued(struct admit *admit, const struct queue_entry *entry,
					   struct tenant_queue **holder, struct instant now)
{
	struct shed_call other = shed_call_of(admit, entry, now);
	struct tenant_queue *own = tenant_get(admit, entry);
	struct queue_entry *cheapest = NULL;
	double least = 0;

	for (GList *at = admit->lanes[lane_of(entry)].active.head; at; at = at->next) {
		struct tenant_queue *tenant = at->data;
		GList *item = queue_of(tenant, entry)->head;

		/* A tenant gives up no place to one that goes after it anyway. */
		if (tenant != own && !has_precedence(own, tenant, now))
			item = NULL;
		for (; item; item = item->next) {
			struct queue_entry *queued = item->data;
			struct shed_call call = shed_call_of(admit, queued, now);

			if (!shed_is_recent(queued->queued_at_us, now) ||
			    !shed_prefers(&other, &call) || (cheapest && shed_cost(&call) >= least))
				continue;
			cheapest = queued;
			least = shed_cost(&call);
			*holder = tenant;
		}
	}
	return cheapest;
}

static void turn_away(struct admit *admit, struct tenant_queue *tenant, struct queue_entry *entry)
{
	struct lane_queue *lane = &admit->lanes[lane_of(entry)];

	g_queue_remove(queue_of(tenant, entry), entry);
	lane->queued--;
	lane->queued_bodies -= entry->body_bytes > 0;
	admit->queued_body_bytes -= entry->body_bytes;
	if (queued_of(tenant) == 0)
		g_queue_remove(&lane->active, tenant);
	g_queue_push_tail(&admit->shed, entry);
}

/* Makes room for a call that could not be answered in time behind the others: a queued call that
 * costs callers less, and takes enough, is turned away. Returns whether there was one. */
static bool make_room(struct admit *admit, const struct queue_entry *entry, struct instant now)
{
	int64_t objective_us = deadline_remaining_us(entry->objective, now);
	struct tenant_queue *tenant = NULL;
	struct queue_entry *cheapest;

	if (!is_deferrable(entry) || expected_service_us(admit, entry, now) > (double)objective_us)
		return false;
	cheapest = cheapest_queued(admit, entry, &tenant, now);
	if (!cheapest || work_us(admit, cheapest) < entry->expected_us - objective_us)
		return false;
	turn_away(admit, tenant, cheapest);
	return true;
}

static enum admit_result offer(struct admit *admit, struct queue_entry *entry, struct instant now)
{
	struct tenant_queue *tenant;
	int64_t service_us;
	int64_t wait_us = 0;

	if (admit->slots == 0 || admit->closed || admit->return_queued)
		return ADMIT_CLOSED;
	if (admit->evacuated)
		return ADMIT_EVACUATED;
	if (remaining_us(admit, entry, now) == 0 || is_hopeless(admit, entry, now))
		return ADMIT_LATE;
	tenant = tenant_get(admit, entry);
	service_us = (int64_t)expected_service_us(admit, entry, now) +
		     pace_transfer_us(&admit->intake, entry->body_bytes);
	if (may_start(admit, entry, service_us, now)) {
		add_use(tenant, route_get(admit, &entry->route)->service_us, now);
		start_call(admit, tenant, entry, now);
		return ADMIT_RUN;
	}
	if (is_preceded(admit, entry, now) || !may_run(admit, entry, now))
		wait_us = expected_wait_us(admit, entry, tenant, now);
	entry->expected_us = wait_us + service_us;
	if (entry->no_queue)
		return warmup_may_start(&admit->warmup, now) ? ADMIT_BUSY : ADMIT_COLD;
	if (is_full(admit, entry, tenant))
		return ADMIT_FULL;
	if (wait_us > deadline_remaining_us(admit->queue_ends_at, now))
		return ADMIT_LATE;
	/* Without an objective, only the wait has to end before the deadline. */
	if (!is_worth_queueing(admit, entry, entry->objective.at_us ? entry->expected_us : wait_us,
			       now) &&
	    !make_room(admit, entry, now))
		return ADMIT_LATE;
	entry->queued_at_us = now.mono_us;
	enqueue(admit, entry);
	return ADMIT_QUEUED;
}

enum admit_result admit_offer(struct admit *admit, struct queue_entry *entry, struct instant now)
{
	enum admit_result result;

	lock_acquire(&admit->lock);
	result = offer(admit, entry, now);
	lock_release(&admit->lock);
	return result;
}

bool admit_is_worth_running(struct admit *admit, const struct queue_entry *entry,
			    struct instant now)
{
	bool worth;

	lock_acquire(&admit->lock);
	worth = remaining_us(admit, entry, now) > 0 && !is_hopeless(admit, entry, now);
	lock_release(&admit->lock);
	return worth;
}

/* Records how many calls the target served at once. */
static void note_concurrency(struct admit *admit, const struct queue_entry *entry,
			     int64_t ended_at_us)
{
	if (entry->running_at_start < admit->concurrency &&
	    ended_at_us < admit->concurrency_until_us)
		return;
	admit->concurrency = entry->running_at_start;
	admit->concurrency_until_us = ended_at_us + CONCURRENCY_VALID_US;
}

static void adapt_slots(struct admit *admit, const struct queue_entry *entry,
			enum slot_outcome outcome)
{
	switch (outcome) {
	case SLOT_SHED:
		admit->served_since_shed = 0;
		/* The target has fewer slots than it announced, unless it recently served as many
		 * calls at once: then it sheds at any load. */
		if (admit->slots > 1 && entry->running_at_start > admit->concurrency)
			admit->slots--;
		return;
	case SLOT_SERVED:
		if (++admit->served_since_shed < GROW_AFTER_CALLS ||
		    admit->slots >= admit->announced_slots)
			return;
		admit->slots++;
		admit->served_since_shed = 0;
		return;
	case SLOT_UNMEASURED:
		return;
	}
	g_assert_not_reached();
}

/* Updates a smoothed value. The first samples weigh more, to replace the initial estimate. */
static void smooth(double *smoothed, int served, double weight, double value)
{
	weight = MAX(weight, 1.0 / (served + 1));
	*smoothed += weight * (value - *smoothed);
}

/* Times measured on a cold target would make a warm one refuse calls that it can serve: the next
 * calls weigh as much as the first ones. */
static void forget_service_times(struct admit *admit)
{
	struct route_use *route;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, admit->routes);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&route))
		route->served = 0;
	admit->served = 0;
	admit->measured_cold = false;
}

/* A cold target is slower than usual: its times are used only while there are no others. */
static void update_service_times(struct admit *admit, struct route_use *route,
				 const struct queue_entry *entry, int64_t service_us)
{
	double us = (double)service_us;

	if (entry->cold && admit->served >= WARMUP_CALLS && !admit->measured_cold)
		return;
	if (!entry->cold && admit->measured_cold)
		forget_service_times(admit);
	admit->measured_cold |= entry->cold;
	route->served = MIN(route->served + 1, WARMUP_CALLS);
	admit->served = MIN(admit->served + 1, WARMUP_CALLS);
	smooth(&route->service_us, route->served, ROUTE_SMOOTHING, us);
	smooth(&admit->service_us, admit->served, TARGET_SMOOTHING, us);
	smooth(&admit->service_square, admit->served, TARGET_SMOOTHING, us * us);
}

void admit_done(struct admit *admit, const struct queue_entry *entry, enum slot_outcome outcome,
		int64_t service_us)
{
	struct route_use *route;

	lock_acquire(&admit->lock);
	route = route_get(admit, &entry->route);
	route->running--;
	tenant_get(admit, entry)->running--;
	admit->running--;
	admit->running_of[lane_of(entry)]--;
	admit->start_times_sum_us -= (double)entry->started_at_us;
	if (outcome == SLOT_SERVED) {
		update_service_times(admit, route, entry, service_us);
		note_concurrency(admit, entry, entry->started_at_us + service_us);
	}
	if (admit->slots > 0)
		adapt_slots(admit, entry, outcome);
	lock_release(&admit->lock);
}

/* Takes the head of one of the tenant's queues. */
static struct queue_entry *dequeue(struct admit *admit, struct lane_queue *lane,
				   struct tenant_queue *tenant, GQueue *queue)
{
	struct queue_entry *entry = g_queue_pop_head(queue);

	lane->queued--;
	admit->queued--;
	lane->queued_bodies -= entry->body_bytes > 0;
	admit->queued_body_bytes -= entry->body_bytes;
	if (queued_of(tenant) == 0)
		g_queue_remove(&lane->active, tenant);
	return entry;
}

static bool is_expired(const struct queue_entry *entry, struct instant now)
{
	return deadline_passed(entry->deadline, now);
}

static void defer_late_heads(struct admit *admit, struct lane_queue *lane,
			     struct tenant_queue *tenant, GQueue *queue, struct instant now)
{
	struct queue_entry *head;

	while ((head = g_queue_peek_head(queue)) != NULL && is_deferrable(head) &&
	       !is_expired(head, now) &&
	       expected_service_us(admit, head, now) >
		       (double)deadline_remaining_us(head->objective, now)) {
		dequeue(admit, lane, tenant, queue);
		g_queue_push_tail(&admit->late, head);
		admit->queued++;
	}
}

/* Moves calls that can't meet their objective to the late queue, behind those that still can. */
static void defer_late_calls(struct admit *admit, struct lane_queue *lane, struct instant now)
{
	GList *next;

	for (GList *at = lane->active.head; at; at = next) {
		struct tenant_queue *tenant = at->data;

		next = at->next;
		if (!tenant)
			continue;
		defer_late_heads(admit, lane, tenant, &tenant->entries, now);
		defer_late_heads(admit, lane, tenant, &tenant->bodies, now);
	}
}

static bool head_may_run(struct admit *admit, GQueue *queue, struct instant now)
{
	const struct queue_entry *head = g_queue_peek_head(queue);

	return head && may_run(admit, head, now);
}

/* Returns the tenant's queue whose head may run and was queued first; NULL if none may run. */
static GQueue *runnable_queue(struct admit *admit, struct tenant_queue *tenant, struct instant now)
{
	bool entry_may = head_may_run(admit, &tenant->entries, now);
	bool body_may = head_may_run(admit, &tenant->bodies, now);
	const struct queue_entry *entry = g_queue_peek_head(&tenant->entries);
	const struct queue_entry *body = g_queue_peek_head(&tenant->bodies);

	if (entry_may && body_may)
		return body->queued_at_us < entry->queued_at_us ? &tenant->bodies
								: &tenant->entries;
	if (!entry_may && !body_may)
		return NULL;
	return body_may ? &tenant->bodies : &tenant->entries;
}

/*
 * Returns the tenant whose call runs next: tenants get equal shares of the target's time, and one
 * with few calls does not wait behind one with many. Tenants whose first call may not run yet, such
 * as one of a route at its limit, are skipped.
 */
static struct tenant_queue *next_tenant(struct admit *admit, struct lane_queue *lane,
					struct instant now)
{
	struct tenant_queue *first = NULL;

	for (GList *at = lane->active.head; at; at = at->next) {
		struct tenant_queue *tenant = at->data;

		if (!tenant || !runnable_queue(admit, tenant, now))
			continue;
		if (!first || has_precedence(tenant, first, now))
			first = tenant;
	}
	return first;
}

/* Whether queued calls go back to where they came from. */
static bool returns_queue(const struct admit *admit, struct instant now)
{
	return admit->slots == 0 || admit->return_queued || admit->evacuated ||
	       deadline_passed(admit->queue_ends_at, now);
}

/* Whether the head of a queue is to be refused: it can't be answered in time, or the target takes
 * no calls. */
static bool refuses_head(struct admit *admit, GQueue *queue, struct instant now)
{
	const struct queue_entry *head = g_queue_peek_head(queue);

	return head && (returns_queue(admit, now) || is_expired(head, now) ||
			is_hopeless(admit, head, now));
}

/* Returns a call of the lane that is to be refused, NULL if there is none. */
static struct queue_entry *take_refused(struct admit *admit, struct lane_queue *lane,
					struct instant now)
{
	for (GList *at = lane->active.head; at; at = at->next) {
		struct tenant_queue *tenant = at->data;

		if (refuses_head(admit, &tenant->entries, now))
			return dequeue(admit, lane, tenant, &tenant->entries);
		if (refuses_head(admit, &tenant->bodies, now))
			return dequeue(admit, lane, tenant, &tenant->bodies);
	}
	return NULL;
}

static struct admit_dispatch next_of_lane(struct admit *admit, struct lane_queue *lane,
					  struct instant now)
{
	struct queue_entry *entry = take_refused(admit, lane, now);
	struct tenant_queue *tenant;

	if (entry)
		return (struct admit_dispatch){ DISPATCH_LATE, entry };
	tenant = next_tenant(admit, lane, now);
	if (!tenant)
		return (struct admit_dispatch){ DISPATCH_NONE, NULL };
	entry = dequeue(admit, lane, tenant, runnable_queue(admit, tenant, now));
	add_use(tenant, route_get(admit, &entry->route)->service_us, now);
	start_call(admit, tenant, entry, now);
	return (struct admit_dispatch){ DISPATCH_RUN, entry };
}

/* Whether a late call that runs after the other queued calls would miss its deadline. */
static bool misses_deadline_behind_others(struct admit *admit, const struct queue_entry *entry,
					  struct instant now)
{
	int ahead = admit->queued - (int)g_queue_get_length(&admit->late);
	double wait_us = admit->slots ? ahead * admit->service_us / admit->slots : 0;

	wait_us = MAX(wait_us, (double)warmup_wait_us(&admit->warmup, ahead + 1, now));
	return (double)deadline_remaining_us(entry->deadline, now) <
	       wait_us + expected_service_us(admit, entry, now);
}

/* Late calls beyond the number of slots are refused early, while callers can still try other
 * targets.
 */
static bool refuses_late(struct admit *admit, const struct queue_entry *entry, struct instant now)
{
	return returns_queue(admit, now) || is_hopeless(admit, entry, now) ||
	       misses_deadline_behind_others(admit, entry, now) ||
	       (int)g_queue_get_length(&admit->late) > admit->slots;
}

/* Returns the oldest late call that may run, or one that is to be refused; called when no other
 * queued call can run. */
static struct admit_dispatch next_late(struct admit *admit, struct instant now)
{
	for (GList *at = admit->late.head; at; at = at->next) {
		struct queue_entry *entry = at->data;
		bool refuse = refuses_late(admit, entry, now);
		struct tenant_queue *tenant;

		if (!refuse && !may_run(admit, entry, now))
			continue;
		g_queue_delete_link(&admit->late, at);
		admit->queued--;
		if (refuse)
			return (struct admit_dispatch){ DISPATCH_LATE, entry };
		tenant = tenant_get(admit, entry);
		add_use(tenant, route_get(admit, &entry->route)->service_us, now);
		start_call(admit, tenant, entry, now);
		return (struct admit_dispatch){ DISPATCH_RUN, entry };
	}
	return (struct admit_dispatch){ DISPATCH_NONE, NULL };
}

/* Starts a new round once no lane with queued calls has credit left. */
static void refill_credit(struct admit *admit)
{
	for (int i = 0; i < LANE_COUNT; i++)
		if (admit->lanes[i].queued && admit->lanes[i].credit > 0)
			return;
	for (int i = 0; i < LANE_COUNT; i++)
		admit->lanes[i].credit = lane_weight[i];
}

static struct admit_dispatch next_dispatch(struct admit *admit, struct instant now)
{
	struct admit_dispatch dispatch = { DISPATCH_NONE, NULL };

	dispatch.entry = g_queue_pop_head(&admit->shed);
	if (dispatch.entry) {
		admit->queued--;
		dispatch.kind = DISPATCH_LATE;
		return dispatch;
	}
	for (int i = 0; i < LANE_COUNT; i++)
		defer_late_calls(admit, &admit->lanes[i], now);
	refill_credit(admit);
	/* Classes with credit come first, then those without, if none of the former can run. */
	for (int pass = 0; pass < 2; pass++) {
		for (int i = 0; i < LANE_COUNT; i++) {
			struct lane_queue *lane = &admit->lanes[i];

			if (lane->queued == 0 || (pass == 0) != (lane->credit > 0))
				continue;
			dispatch = next_of_lane(admit, lane, now);
			if (dispatch.kind == DISPATCH_NONE)
				continue;
			lane->credit -= dispatch.kind == DISPATCH_RUN;
			return dispatch;
		}
	}
	return next_late(admit, now);
}

struct admit_dispatch admit_next(struct admit *admit, struct instant now)
{
	struct admit_dispatch dispatch = { DISPATCH_NONE, NULL };

	lock_acquire(&admit->lock);
	if (admit->queued > 0)
		dispatch = next_dispatch(admit, now);
	lock_release(&admit->lock);
	return dispatch;
}

struct admit_counts admit_count(struct admit *admit, struct instant now)
{
	struct admit_counts counts;

	lock_acquire(&admit->lock);
	counts.slots = admit->slots;
	counts.running = admit->running;
	counts.queued = admit->queued;
	counts.late = (int)g_queue_get_length(&admit->late);
	counts.service_us = (int64_t)admit->service_us;
	counts.slowness = slowness(admit, now);
	counts.cold = warmup_cause(&admit->warmup, now);
	counts.evacuated = admit->evacuated;
	lock_release(&admit->lock);
	return counts;
}
