#include "core/admit.h"

#include <math.h>

#include "base/lockorder.h"

/* Memory of what a tenant has used: long against a call, short against a quarrel. */
#define USE_HALF_US (500 * US_PER_MS)

enum {
	QUEUE_PER_SLOT = 8, /* waiting calls for each slot */
	TENANTS_MAX = 256,  /* past it tenants share one queue by hash */
	ROUTES_MAX = 256,
	BULK_SLOT_PERCENT = 50,
	FIRST_SERVICE_US = 2000, /* expected before anything was measured */
	GROW_AFTER = 32,	 /* served calls before one more slot is tried again */
	SLOTS_LEFT_PART = 4,	 /* of the slots, at least, come free for what is less urgent */
	LEARNT_AFTER = 10,	 /* served calls until a smoothed time has its usual weight */
};

/* Times above the usual mean age of the calls that run from which on the target counts as slow: few
 * calls run at once, so that their mean age varies. */
#define AGE_OF_SLOW 2.0

/* Weight of one more served call in the smoothed times: a route has fewer calls than the target. */
#define ROUTE_WEIGHT  0.1
#define TARGET_WEIGHT 0.05

#define PROVEN_US (1 * US_PER_S) /* how long a number of calls served at once counts */

/* A call that came back is served late, if need be, while there is this much more time than it is
 * expected to take. */
#define LATE_MARGIN 1.3

/* Turns that a class gets before a lower one has its own. */
static const int class_weight[CLASS_COUNT] = { 64, 16, 4, 1 };

struct tenant_queue {
	struct label tenant;
	GQueue tickets;
	int running;
	double used_us; /* of the target's time, lately */
	int64_t used_at_us;
};

struct class_queue {
	GQueue active; /* struct tenant_queue with tickets */
	int queued;
	int turns; /* left in this round */
};

struct route_use {
	struct label name;
	int running;
	int served;	   /* up to LEARNT_AFTER */
	double service_us; /* smoothed */
};

struct admit {
	struct lock lock;
	bool closed;
	bool returns; /* what waits goes back, to be taken elsewhere */
	int announced;
	int slots;
	int running;
	int running_of[CLASS_COUNT];
	int queued;
	int served_since_shed;
	int proven; /* calls that it served at once, lately */
	int64_t proven_until_us;
	int served;	       /* up to LEARNT_AFTER */
	double started_sum_us; /* of the calls that run */
	double service_us;
	double service_square; /* smoothed square of the same */
	GQueue late;	       /* struct ticket, can't be on time any more: in what is left */
	struct class_queue classes[CLASS_COUNT];
	GHashTable *tenants[CLASS_COUNT]; /* struct label -> struct tenant_queue */
	GHashTable *routes;		  /* struct label -> struct route_use */
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
	case ADMIT_CLOSED:
		return STR("target takes no work");
	}
	g_assert_not_reached();
}

struct admit *admit_new(apr_pool_t *pool)
{
	struct admit *admit = g_new0(struct admit, 1);

	lock_init(&admit->lock, LOCK_ADMIT, pool);
	admit->service_us = FIRST_SERVICE_US;
	g_queue_init(&admit->late);
	admit->routes = g_hash_table_new_full(label_hash, label_hash_equal, NULL, g_free);
	for (int i = 0; i < CLASS_COUNT; i++) {
		admit->tenants[i] =
			g_hash_table_new_full(label_hash, label_hash_equal, NULL, g_free);
		g_queue_init(&admit->classes[i].active);
		admit->classes[i].turns = class_weight[i];
	}
	return admit;
}

void admit_free(struct admit *admit)
{
	if (!admit)
		return;
	for (int i = 0; i < CLASS_COUNT; i++) {
		g_queue_clear(&admit->classes[i].active);
		g_hash_table_destroy(admit->tenants[i]);
	}
	g_queue_clear(&admit->late);
	g_hash_table_destroy(admit->routes);
	lock_destroy(&admit->lock);
	g_free(admit);
}

void admit_set_slots(struct admit *admit, int slots)
{
	lock_acquire(&admit->lock);
	if (slots != admit->announced)
		admit->slots = slots;
	admit->announced = slots;
	admit->closed = false;
	admit->returns = false;
	lock_release(&admit->lock);
}

void admit_close(struct admit *admit)
{
	lock_acquire(&admit->lock);
	admit->closed = true;
	lock_release(&admit->lock);
}

void admit_return(struct admit *admit)
{
	lock_acquire(&admit->lock);
	admit->closed = true;
	admit->returns = true;
	lock_release(&admit->lock);
}

static struct route_use *route_get(struct admit *admit, const struct label *name)
{
	struct route_use *route = g_hash_table_lookup(admit->routes, name);

	if (route)
		return route;
	/* Routes that the configuration dropped go with the table, now and then. */
	if (g_hash_table_size(admit->routes) >= ROUTES_MAX && admit->running == 0)
		g_hash_table_remove_all(admit->routes);
	route = g_new0(struct route_use, 1);
	route->name = *name;
	route->service_us = admit->service_us;
	g_hash_table_insert(admit->routes, &route->name, route);
	return route;
}

static int route_limit(const struct admit *admit, const struct ticket *ticket)
{
	int limit = admit->slots * ticket->concurrency_percent / 100;

	return limit > 0 ? limit : 1;
}

static bool may_run(struct admit *admit, const struct ticket *ticket)
{
	int bulk_limit = (admit->slots * BULK_SLOT_PERCENT + 99) / 100;

	if (admit->running >= admit->slots)
		return false;
	if (ticket->class == CLASS_BULK && admit->running_of[CLASS_BULK] >= bulk_limit)
		return false;
	return route_get(admit, &ticket->route)->running < route_limit(admit, ticket);
}

static void start(struct admit *admit, struct tenant_queue *tenant, struct ticket *ticket,
		  struct instant now)
{
	ticket->started_at_us = now.mono_us;
	ticket->started_beside = admit->running + 1;
	admit->started_sum_us += (double)now.mono_us;
	tenant->running++;
	admit->running++;
	admit->running_of[ticket->class]++;
	route_get(admit, &ticket->route)->running++;
}

static struct tenant_queue *tenant_get(struct admit *admit, const struct ticket *ticket)
{
	GHashTable *tenants = admit->tenants[ticket->class];
	struct tenant_queue *tenant = g_hash_table_lookup(tenants, &ticket->tenant);
	struct label name = ticket->tenant;

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
	g_queue_init(&tenant->tickets);
	g_hash_table_insert(tenants, &tenant->tenant, tenant);
	return tenant;
}

/* How much slower than usual the target seems now, by the calls that have not ended yet. */
static double slowness(const struct admit *admit, struct instant now)
{
	double mean_age_us;
	double usual_us;

	if (admit->running == 0 || admit->served < LEARNT_AFTER)
		return 1;
	mean_age_us = (double)now.mono_us - admit->started_sum_us / admit->running;
	/* Long calls are seen running more often than short ones. */
	usual_us = admit->service_square / (2 * admit->service_us);
	return MAX(mean_age_us / (usual_us * AGE_OF_SLOW), 1);
}

/* How long a call of the ticket's route takes once it has a slot. */
static double expected_service_us(struct admit *admit, const struct ticket *ticket,
				  struct instant now)
{
	return route_get(admit, &ticket->route)->service_us * slowness(admit, now);
}

/* What waits before a new ticket: the classes above, and of its own class what the round robin
 * serves before it. */
static int64_t expected_wait_us(const struct admit *admit, const struct ticket *ticket,
				const struct tenant_queue *tenant, struct instant now)
{
	const struct class_queue *class = &admit->classes[ticket->class];
	int own = (int)tenant->tickets.length + 1;
	int tenants = MAX((int)class->active.length, 1);
	int ahead = MIN(class->queued, own * tenants);
	int slots = admit->slots;

	/* What is more urgent keeps the slots that it has, and comes first when they are free. */
	for (int i = 0; i < (int)ticket->class; i++) {
		ahead += admit->classes[i].queued;
		slots -= admit->running_of[i];
	}
	slots = MAX(slots, (admit->slots + SLOTS_LEFT_PART - 1) / SLOTS_LEFT_PART);
	return (int64_t)((double)(ahead + 1) * admit->service_us * slowness(admit, now) / slots);
}

/* Each class has its own bound. A tenant with little in it still gets in when others fill it. */
static bool is_full(const struct admit *admit, const struct ticket *ticket,
		    const struct tenant_queue *tenant)
{
	const struct class_queue *class = &admit->classes[ticket->class];
	int bound = admit->slots * QUEUE_PER_SLOT;
	int tenants = (int)class->active.length + (tenant->tickets.length == 0);
	int assured = MAX(bound / tenants, 1);

	return class->queued >= bound && (int)tenant->tickets.length >= assured;
}

static void enqueue(struct admit *admit, struct ticket *ticket)
{
	struct class_queue *class = &admit->classes[ticket->class];
	struct tenant_queue *tenant = tenant_get(admit, ticket);

	if (g_queue_is_empty(&tenant->tickets))
		g_queue_push_tail(&class->active, tenant);
	g_queue_push_tail(&tenant->tickets, ticket);
	class->queued++;
	admit->queued++;
}

/* What a tenant has used lately; it halves in USE_HALF_US. */
static double recent_use(const struct tenant_queue *tenant, struct instant now)
{
	double halvings = (double)(now.mono_us - tenant->used_at_us) / USE_HALF_US;

	return tenant->used_us * exp2(-halvings);
}

static void add_use(struct tenant_queue *tenant, double us, struct instant now)
{
	tenant->used_us = recent_use(tenant, now) + us;
	tenant->used_at_us = now.mono_us;
}

/* Urgent calls are served late as well, in their turn: what waits for them is later still. */
static bool makes_way(const struct ticket *ticket)
{
	return ticket->objective.at_us && ticket->class > CLASS_STANDARD;
}

/* Whether an answer that comes so late is still worth a place in the queue. */
static bool is_in_time(const struct ticket *ticket, int64_t expected_us, struct instant now)
{
	int64_t left_us = deadline_left_us(ticket->deadline, now);

	if (!makes_way(ticket) || expected_us <= deadline_left_us(ticket->objective, now))
		return expected_us <= left_us;
	return ticket->returned && (double)expected_us * LATE_MARGIN <= (double)left_us;
}

/* A slot that is free at once is worth little at a target that would answer late; an idle target
 * takes one call all the same, so that its recovery shows. */
static bool may_start(struct admit *admit, const struct ticket *ticket, int64_t service_us,
		      struct instant now)
{
	if (admit->queued > 0 || !may_run(admit, ticket))
		return false;
	return !ticket->now_or_never || admit->running == 0 || ticket->objective.at_us == 0 ||
	       service_us <= deadline_left_us(ticket->objective, now);
}

static enum admit_result offer(struct admit *admit, struct ticket *ticket, struct instant now)
{
	struct tenant_queue *tenant;
	int64_t service_us;
	int64_t wait_us = 0;

	if (admit->slots == 0 || admit->closed)
		return ADMIT_CLOSED;
	if (deadline_left_us(ticket->deadline, now) == 0)
		return ADMIT_LATE;
	tenant = tenant_get(admit, ticket);
	service_us = (int64_t)expected_service_us(admit, ticket, now);
	if (may_start(admit, ticket, service_us, now)) {
		add_use(tenant, route_get(admit, &ticket->route)->service_us, now);
		start(admit, tenant, ticket, now);
		return ADMIT_RUN;
	}
	if (admit->queued > 0 || !may_run(admit, ticket))
		wait_us = expected_wait_us(admit, ticket, tenant, now);
	ticket->expected_us = wait_us + service_us;
	if (ticket->now_or_never)
		return ADMIT_BUSY;
	if (is_full(admit, ticket, tenant))
		return ADMIT_FULL;
	/* Without an objective what the call itself takes is its own affair. */
	if (!is_in_time(ticket, ticket->objective.at_us ? ticket->expected_us : wait_us, now))
		return ADMIT_LATE;
	ticket->queued_at_us = now.mono_us;
	enqueue(admit, ticket);
	return ADMIT_QUEUED;
}

enum admit_result admit_offer(struct admit *admit, struct ticket *ticket, struct instant now)
{
	enum admit_result result;

	lock_acquire(&admit->lock);
	result = offer(admit, ticket, now);
	lock_release(&admit->lock);
	return result;
}

/* Notes how many calls the target served at once, a moment ago. */
static void note_proven(struct admit *admit, const struct ticket *ticket, int64_t ended_at_us)
{
	if (ticket->started_beside < admit->proven && ended_at_us < admit->proven_until_us)
		return;
	admit->proven = ticket->started_beside;
	admit->proven_until_us = ended_at_us + PROVEN_US;
}

static void adapt(struct admit *admit, const struct ticket *ticket, enum slot_use use)
{
	switch (use) {
	case SLOT_SHED:
		admit->served_since_shed = 0;
		/* Its real slots are fewer than it announced, unless it served as many just now:
		 * then it sheds whatever its load is. */
		if (admit->slots > 1 && ticket->started_beside > admit->proven)
			admit->slots--;
		return;
	case SLOT_SERVED:
		if (++admit->served_since_shed < GROW_AFTER || admit->slots >= admit->announced)
			return;
		admit->slots++;
		admit->served_since_shed = 0;
		return;
	case SLOT_UNUSED:
		return;
	}
	g_assert_not_reached();
}

/* The first calls weigh more, so that a guess is soon forgotten. */
static void learn(double *smoothed, int served, double weight, double value)
{
	weight = MAX(weight, 1.0 / (served + 1));
	*smoothed += weight * (value - *smoothed);
}

static void learn_service(struct admit *admit, struct route_use *route, int64_t service_us)
{
	double us = (double)service_us;

	route->served = MIN(route->served + 1, LEARNT_AFTER);
	admit->served = MIN(admit->served + 1, LEARNT_AFTER);
	learn(&route->service_us, route->served, ROUTE_WEIGHT, us);
	learn(&admit->service_us, admit->served, TARGET_WEIGHT, us);
	learn(&admit->service_square, admit->served, TARGET_WEIGHT, us * us);
}

void admit_done(struct admit *admit, const struct ticket *ticket, enum slot_use use,
		int64_t service_us)
{
	struct route_use *route;

	lock_acquire(&admit->lock);
	route = route_get(admit, &ticket->route);
	route->running--;
	tenant_get(admit, ticket)->running--;
	admit->running--;
	admit->running_of[ticket->class]--;
	admit->started_sum_us -= (double)ticket->started_at_us;
	if (use == SLOT_SERVED) {
		learn_service(admit, route, service_us);
		note_proven(admit, ticket, ticket->started_at_us + service_us);
	}
	if (admit->slots > 0)
		adapt(admit, ticket, use);
	lock_release(&admit->lock);
}

static struct ticket *take_head(struct admit *admit, struct class_queue *class,
				struct tenant_queue *tenant)
{
	struct ticket *ticket = g_queue_pop_head(&tenant->tickets);

	class->queued--;
	admit->queued--;
	if (g_queue_is_empty(&tenant->tickets))
		g_queue_remove(&class->active, tenant);
	return ticket;
}

static bool is_late(const struct ticket *ticket, struct instant now)
{
	return deadline_passed(ticket->deadline, now);
}

/* A late call whose answer could not come before its deadline either. */
static bool is_hopeless(struct admit *admit, const struct ticket *ticket, struct instant now)
{
	return deadline_left_us(ticket->deadline, now) <
	       (int64_t)route_get(admit, &ticket->route)->service_us;
}

/* What can't be on time any more makes way for what still can. */
static void set_late_aside(struct admit *admit, struct class_queue *class, struct instant now)
{
	GList *next;

	for (GList *at = class->active.head; at; at = next) {
		struct tenant_queue *tenant = at->data;
		struct ticket *head;

		next = at->next;
		while (tenant && (head = g_queue_peek_head(&tenant->tickets)) != NULL &&
		       makes_way(head) && !is_late(head, now) &&
		       expected_service_us(admit, head, now) >
			       (double)deadline_left_us(head->objective, now)) {
			take_head(admit, class, tenant);
			g_queue_push_tail(&admit->late, head);
			admit->queued++;
		}
	}
}

/* Fewer calls running go first, then less use lately: a tenant that has only just come may not
 * take all slots because it has used nothing yet. */
static bool goes_before(const struct tenant_queue *a, const struct tenant_queue *b,
			struct instant now)
{
	if (a->running != b->running)
		return a->running < b->running;
	return recent_use(a, now) < recent_use(b, now);
}

/*
 * The tenant whose turn it is, so that rivals get the same time of the target and one with few
 * calls does not wait behind one with many. A head whose route is at its limit lets others go.
 */
static struct tenant_queue *next_tenant(struct admit *admit, struct class_queue *class,
					struct instant now)
{
	struct tenant_queue *first = NULL;

	for (GList *at = class->active.head; at; at = at->next) {
		struct tenant_queue *tenant = at->data;

		if (!tenant || !may_run(admit, g_queue_peek_head(&tenant->tickets)))
			continue;
		if (!first || goes_before(tenant, first, now))
			first = tenant;
	}
	return first;
}

/* A tenant whose first call can't run in time any more; without slots that is any. */
static struct tenant_queue *first_late(struct admit *admit, struct class_queue *class,
				       struct instant now)
{
	for (GList *at = class->active.head; at; at = at->next) {
		struct tenant_queue *tenant = at->data;

		if (admit->slots == 0 || admit->returns ||
		    is_late(g_queue_peek_head(&tenant->tickets), now))
			return tenant;
	}
	return NULL;
}

static struct admit_turn next_of_class(struct admit *admit, struct class_queue *class,
				       struct instant now)
{
	struct tenant_queue *tenant = first_late(admit, class, now);
	struct ticket *head;

	if (tenant)
		return (struct admit_turn){ TURN_LATE, take_head(admit, class, tenant) };
	tenant = next_tenant(admit, class, now);
	if (!tenant)
		return (struct admit_turn){ TURN_NONE, NULL };
	head = take_head(admit, class, tenant);
	add_use(tenant, route_get(admit, &head->route)->service_us, now);
	start(admit, tenant, head, now);
	return (struct admit_turn){ TURN_RUN, head };
}

/* The late ones, oldest first, in slots that nothing on time wants. */
static struct admit_turn next_late(struct admit *admit, struct instant now)
{
	struct ticket *head = g_queue_peek_head(&admit->late);
	struct tenant_queue *tenant;
	bool hopeless;

	if (!head)
		return (struct admit_turn){ TURN_NONE, NULL };
	/* More than can have a turn soon are told now, while they can still go elsewhere. */
	hopeless = admit->slots == 0 || admit->returns || is_hopeless(admit, head, now) ||
		   (int)g_queue_get_length(&admit->late) > admit->slots;
	if (!hopeless && !may_run(admit, head))
		return (struct admit_turn){ TURN_NONE, NULL };
	g_queue_pop_head(&admit->late);
	admit->queued--;
	if (hopeless)
		return (struct admit_turn){ TURN_LATE, head };
	tenant = tenant_get(admit, head);
	add_use(tenant, route_get(admit, &head->route)->service_us, now);
	start(admit, tenant, head, now);
	return (struct admit_turn){ TURN_RUN, head };
}

/* A new round starts once no class that waits has turns left. */
static void refill_turns(struct admit *admit)
{
	for (int i = 0; i < CLASS_COUNT; i++)
		if (admit->classes[i].queued && admit->classes[i].turns > 0)
			return;
	for (int i = 0; i < CLASS_COUNT; i++)
		admit->classes[i].turns = class_weight[i];
}

static struct admit_turn next_turn(struct admit *admit, struct instant now)
{
	struct admit_turn turn = { TURN_NONE, NULL };

	for (int i = 0; i < CLASS_COUNT; i++)
		set_late_aside(admit, &admit->classes[i], now);
	refill_turns(admit);
	/* First those with turns left; then any, if what goes before it can't run now. */
	for (int pass = 0; pass < 2; pass++) {
		for (int i = 0; i < CLASS_COUNT; i++) {
			struct class_queue *class = &admit->classes[i];

			if (class->queued == 0 || (pass == 0) != (class->turns > 0))
				continue;
			turn = next_of_class(admit, class, now);
			if (turn.kind == TURN_NONE)
				continue;
			class->turns -= turn.kind == TURN_RUN;
			return turn;
		}
	}
	return next_late(admit, now);
}

struct admit_turn admit_next(struct admit *admit, struct instant now)
{
	struct admit_turn turn = { TURN_NONE, NULL };

	lock_acquire(&admit->lock);
	if (admit->queued > 0)
		turn = next_turn(admit, now);
	lock_release(&admit->lock);
	return turn;
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
	lock_release(&admit->lock);
	return counts;
}
