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
};

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
	double service_us; /* smoothed */
};

struct admit {
	struct lock lock;
	bool closed;
	int announced;
	int slots;
	int running;
	int bulk_running;
	int queued;
	int served_since_shed;
	double service_us;
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
	lock_release(&admit->lock);
}

void admit_close(struct admit *admit)
{
	lock_acquire(&admit->lock);
	admit->closed = true;
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
	if (ticket->class == CLASS_BULK && admit->bulk_running >= bulk_limit)
		return false;
	return route_get(admit, &ticket->route)->running < route_limit(admit, ticket);
}

static void start(struct admit *admit, struct tenant_queue *tenant, const struct ticket *ticket)
{
	tenant->running++;
	admit->running++;
	admit->bulk_running += ticket->class == CLASS_BULK;
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

/* What waits before a new ticket: the classes above, and of its own class what the round robin
 * serves before it. */
static int64_t expected_wait_us(const struct admit *admit, const struct ticket *ticket,
				const struct tenant_queue *tenant)
{
	const struct class_queue *class = &admit->classes[ticket->class];
	int own = (int)tenant->tickets.length + 1;
	int tenants = MAX((int)class->active.length, 1);
	int ahead = MIN(class->queued, own * tenants);

	for (int i = 0; i < (int)ticket->class; i++)
		ahead += admit->classes[i].queued;
	return (int64_t)((double)(ahead + 1) * admit->service_us / admit->slots);
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

static enum admit_result offer(struct admit *admit, struct ticket *ticket, struct instant now)
{
	int64_t left_us = deadline_left_us(ticket->deadline, now);
	struct tenant_queue *tenant;

	if (admit->slots == 0 || admit->closed)
		return ADMIT_CLOSED;
	if (left_us == 0)
		return ADMIT_LATE;
	tenant = tenant_get(admit, ticket);
	if (admit->queued == 0 && may_run(admit, ticket)) {
		add_use(tenant, route_get(admit, &ticket->route)->service_us, now);
		start(admit, tenant, ticket);
		return ADMIT_RUN;
	}
	if (is_full(admit, ticket, tenant))
		return ADMIT_FULL;
	if (expected_wait_us(admit, ticket, tenant) > left_us)
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

static void adapt(struct admit *admit, enum slot_use use)
{
	switch (use) {
	case SLOT_SHED:
		/* Its real slots are fewer than it announced. */
		if (admit->slots > 1)
			admit->slots--;
		admit->served_since_shed = 0;
		return;
	case SLOT_SERVED:
		if (++admit->served_since_shed < GROW_AFTER || admit->slots >= admit->announced)
			return;
		admit->slots++;
		admit->served_since_shed = 0;
		return;
	}
	g_assert_not_reached();
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
	admit->bulk_running -= ticket->class == CLASS_BULK;
	if (use == SLOT_SERVED) {
		route->service_us += 0.1 * ((double)service_us - route->service_us);
		admit->service_us += 0.05 * ((double)service_us - admit->service_us);
	}
	if (admit->slots > 0)
		adapt(admit, use);
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

		if (admit->slots == 0 || is_late(g_queue_peek_head(&tenant->tickets), now))
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
	start(admit, tenant, head);
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
	return turn;
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

struct admit_counts admit_count(struct admit *admit)
{
	struct admit_counts counts;

	lock_acquire(&admit->lock);
	counts.slots = admit->slots;
	counts.running = admit->running;
	counts.queued = admit->queued;
	lock_release(&admit->lock);
	return counts;
}
