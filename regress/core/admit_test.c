/* Tests of admission: slots, classes, tenants, deadlines, and targets with too few slots. */
#include "regress/lib/check.h"

#include <apr_general.h>

#include "base/rng.h"
#include "core/admit.h"
#include "core/shed.h"

enum { SLOTS = 9, SERVICE_US = 2000, QUEUED_MAX = 4096 };

static apr_pool_t *pool;

/* A simulated target: each call runs for SERVICE_US. */
struct target_sim {
	struct admit *admit;
	int64_t now_us;
	struct queue_entry *running[64];
	int64_t ends_us[64];
	int count;
	int served[2]; /* served calls by tenant: heavy, light */
	int refused[2];
	int64_t worst_wait_us[2];
};

static struct instant sim_now(const struct target_sim *sim)
{
	return (struct instant){ sim->now_us, sim->now_us };
}

static void run(struct target_sim *sim, struct queue_entry *entry)
{
	sim->running[sim->count] = entry;
	sim->ends_us[sim->count++] = sim->now_us + SERVICE_US;
}

static struct queue_entry *entry_new(const struct target_sim *sim, int tenant,
				     enum traffic_class class)
{
	struct queue_entry *entry = g_new0(struct queue_entry, 1);

	entry->tenant = tenant ? LABEL("light") : LABEL("heavy");
	entry->route = LABEL("r");
	entry->class = class;
	entry->concurrency_percent = 100;
	entry->deadline = deadline_after(sim_now(sim), 5 * US_PER_S);
	entry->queued_at_us = sim->now_us;
	entry->owner = GINT_TO_POINTER(tenant);
	return entry;
}

static void offer_call(struct target_sim *sim, int tenant, enum traffic_class class)
{
	struct queue_entry *entry = entry_new(sim, tenant, class);

	switch (admit_offer(sim->admit, entry, sim_now(sim))) {
	case ADMIT_RUN:
		run(sim, entry);
		return;
	case ADMIT_QUEUED:
		return;
	case ADMIT_BUSY:
	case ADMIT_FULL:
	case ADMIT_LATE:
	case ADMIT_COLD:
	case ADMIT_CLOSED:
	case ADMIT_EVACUATED:
		sim->refused[tenant]++;
		g_free(entry);
		return;
	}
}

static void dispatch_queued(struct target_sim *sim)
{
	struct admit_dispatch dispatch;

	while ((dispatch = admit_next(sim->admit, sim_now(sim))).kind != DISPATCH_NONE) {
		int tenant = GPOINTER_TO_INT(dispatch.entry->owner);
		int64_t wait_us = sim->now_us - dispatch.entry->queued_at_us;

		if (dispatch.kind == DISPATCH_LATE) {
			sim->refused[tenant]++;
			g_free(dispatch.entry);
			continue;
		}
		sim->worst_wait_us[tenant] = MAX(sim->worst_wait_us[tenant], wait_us);
		run(sim, dispatch.entry);
	}
}

static void advance(struct target_sim *sim, int64_t us)
{
	sim->now_us += us;
	for (int i = sim->count; i-- > 0;) {
		if (sim->ends_us[i] > sim->now_us)
			continue;
		admit_done(sim->admit, sim->running[i], SLOT_SERVED, SERVICE_US);
		sim->served[GPOINTER_TO_INT(sim->running[i]->owner)]++;
		g_free(sim->running[i]);
		sim->running[i] = sim->running[--sim->count];
		sim->ends_us[i] = sim->ends_us[sim->count];
	}
	dispatch_queued(sim);
}

static struct target_sim sim_new(void)
{
	struct target_sim sim = { .admit = admit_new(pool), .now_us = US_PER_S };

	admit_set_slots(sim.admit, SLOTS);
	return sim;
}

/* Ends running calls and refuses queued ones, so that all entries are freed. */
static void sim_free(struct target_sim *sim)
{
	admit_set_slots(sim->admit, 0);
	dispatch_queued(sim);
	advance(sim, 100 * US_PER_S);
	admit_free(sim->admit);
}

/* Two tenants both overload the target: the one with more calls gets no more throughput. */
static void test_tenants_get_equal_shares(void **state)
{
	struct target_sim sim = sim_new();

	(void)state;
	for (int step = 0; step < 20000; step++) {
		for (int i = 0; i < 10; i++)
			offer_call(&sim, 0, CLASS_STANDARD);
		offer_call(&sim, 1, CLASS_STANDARD);
		/* The target can serve 2.75 calls a step; half of that is 1.37. */
		if (step % 2)
			offer_call(&sim, 1, CLASS_STANDARD);
		advance(&sim, 611);
	}
	print_message("heavy %d, light %d served\n", sim.served[0], sim.served[1]);
	assert_true(abs(sim.served[0] - sim.served[1]) <= (sim.served[0] + sim.served[1]) / 40);
	sim_free(&sim);
}

static void test_bulk_does_not_delay_interactive(void **state)
{
	struct target_sim sim = sim_new();

	(void)state;
	for (int step = 0; step < 5000; step++) {
		for (int i = 0; i < 5; i++)
			offer_call(&sim, 0, CLASS_BULK);
		offer_call(&sim, 1, CLASS_INTERACTIVE);
		advance(&sim, 500);
	}
	/* Bulk calls use half of the slots: an interactive call waits for one call at most. */
	assert_true(sim.worst_wait_us[1] <= SERVICE_US);
	assert_int_equal(sim.refused[1], 0);
	assert_true(sim.served[0] > 1000);
	sim_free(&sim);
}

static void test_background_is_not_starved(void **state)
{
	struct target_sim sim = sim_new();

	(void)state;
	for (int step = 0; step < 5000; step++) {
		for (int i = 0; i < 10; i++)
			offer_call(&sim, 0, CLASS_INTERACTIVE);
		offer_call(&sim, 1, CLASS_BACKGROUND);
		advance(&sim, 500);
	}
	print_message("interactive %d, background %d served\n", sim.served[0], sim.served[1]);
	assert_true(sim.served[1] > 50);
	assert_true(sim.served[0] > 50 * sim.served[1]);
	sim_free(&sim);
}

static void test_call_that_misses_deadline_is_refused(void **state)
{
	struct target_sim sim = sim_new();
	struct queue_entry *entry;

	(void)state;
	for (int i = 0; i < SLOTS + 40; i++)
		offer_call(&sim, 0, CLASS_STANDARD);
	entry = entry_new(&sim, 0, CLASS_STANDARD);
	/* The last of forty calls of 2 ms waits for about 9 ms at nine slots. */
	entry->deadline = deadline_after(sim_now(&sim), 4000);
	assert_int_equal(admit_offer(sim.admit, entry, sim_now(&sim)), ADMIT_LATE);
	entry->deadline = deadline_after(sim_now(&sim), 40000);
	assert_int_equal(admit_offer(sim.admit, entry, sim_now(&sim)), ADMIT_QUEUED);
	sim_free(&sim);
}

static void test_queue_is_bounded(void **state)
{
	struct target_sim sim = sim_new();

	(void)state;
	for (int i = 0; i < 1000; i++)
		offer_call(&sim, 0, CLASS_STANDARD);
	assert_int_equal(admit_count(sim.admit, sim_now(&sim)).running, SLOTS);
	assert_int_equal(admit_count(sim.admit, sim_now(&sim)).queued, SLOTS * 8);
	assert_int_equal(sim.refused[0], 1000 - SLOTS * 9);
	sim_free(&sim);
}

static void test_shed_calls_reduce_slots(void **state)
{
	struct target_sim sim = sim_new();
	struct queue_entry *entry = entry_new(&sim, 0, CLASS_STANDARD);

	(void)state;
	for (int i = 0; i < 5; i++) {
		assert_int_equal(admit_offer(sim.admit, entry, sim_now(&sim)), ADMIT_RUN);
		admit_done(sim.admit, entry, SLOT_SHED, SERVICE_US);
	}
	assert_int_equal(admit_count(sim.admit, sim_now(&sim)).slots, SLOTS - 5);
	for (int i = 0; i < 1000; i++) {
		assert_int_equal(admit_offer(sim.admit, entry, sim_now(&sim)), ADMIT_RUN);
		admit_done(sim.admit, entry, SLOT_SERVED, SERVICE_US);
	}
	assert_int_equal(admit_count(sim.admit, sim_now(&sim)).slots, SLOTS);
	g_free(entry);
	sim_free(&sim);
}

/* The first nine calls replace the initial estimate of the service time. */
static void test_service_time_follows_first_calls(void **state)
{
	struct target_sim sim = sim_new();
	struct queue_entry *entry = entry_new(&sim, 0, CLASS_STANDARD);

	(void)state;
	for (int i = 0; i < 9; i++) {
		assert_int_equal(admit_offer(sim.admit, entry, sim_now(&sim)), ADMIT_RUN);
		admit_done(sim.admit, entry, SLOT_SERVED, 100 * US_PER_MS);
	}
	assert_true(admit_count(sim.admit, sim_now(&sim)).service_us >= 90 * US_PER_MS);
	g_free(entry);
	sim_free(&sim);
}

static void test_closed_target_serves_its_queue(void **state)
{
	struct target_sim sim = sim_new();

	(void)state;
	for (int i = 0; i < SLOTS * 2; i++)
		offer_call(&sim, 0, CLASS_STANDARD);
	admit_close(sim.admit);
	offer_call(&sim, 1, CLASS_STANDARD);
	assert_int_equal(sim.refused[1], 1);
	for (int i = 0; i < 10; i++)
		advance(&sim, 1000);
	assert_int_equal(sim.served[0], SLOTS * 2);
	sim_free(&sim);
}

static void test_target_without_slots_returns_its_queue(void **state)
{
	struct target_sim sim = sim_new();

	(void)state;
	for (int i = 0; i < SLOTS * 2; i++)
		offer_call(&sim, 0, CLASS_STANDARD);
	admit_set_slots(sim.admit, 0);
	dispatch_queued(&sim);
	assert_int_equal(sim.refused[0], SLOTS);
	sim_free(&sim);
}

/* Calls were passed to the target of a node that stopped before they could end. */
static void test_call_that_a_stop_would_cut_off_is_refused(void **state)
{
	struct target_sim sim = sim_new();
	struct queue_entry *entry = entry_new(&sim, 0, CLASS_STANDARD);

	(void)state;
	for (int i = 0; i < 10; i++) {
		assert_int_equal(admit_offer(sim.admit, entry, sim_now(&sim)), ADMIT_RUN);
		admit_done(sim.admit, entry, SLOT_SERVED, 1 * US_PER_S);
	}
	admit_end_by(sim.admit, deadline_after(sim_now(&sim), 2 * US_PER_S),
		     deadline_after(sim_now(&sim), 4 * US_PER_S));
	assert_int_equal(admit_offer(sim.admit, entry, sim_now(&sim)), ADMIT_RUN);
	admit_done(sim.admit, entry, SLOT_UNMEASURED, 0);
	sim.now_us += 2500 * US_PER_MS;
	assert_int_equal(admit_offer(sim.admit, entry, sim_now(&sim)), ADMIT_LATE);
	/* The stop takes nothing from a call whose deadline comes first. */
	entry->deadline = deadline_after(sim_now(&sim), 1 * US_PER_S);
	assert_int_equal(admit_offer(sim.admit, entry, sim_now(&sim)), ADMIT_RUN);
	admit_done(sim.admit, entry, SLOT_UNMEASURED, 0);
	g_free(entry);
	sim_free(&sim);
}

/* Queued calls of other nodes were lost with the node that they waited at. */
static void test_stop_returns_the_queue_in_time(void **state)
{
	struct target_sim sim = sim_new();

	(void)state;
	for (int i = 0; i < SLOTS * 3; i++)
		offer_call(&sim, 0, CLASS_STANDARD);
	admit_end_by(sim.admit, deadline_after(sim_now(&sim), SERVICE_US + 1000),
		     deadline_after(sim_now(&sim), 4 * US_PER_S));
	advance(&sim, SERVICE_US);
	assert_int_equal(sim.refused[0], 0);
	advance(&sim, 1000);
	assert_int_equal(sim.refused[0], SLOTS);
	/* No call is queued any more, but a free slot still serves one. */
	for (int i = 0; i < SLOTS; i++)
		offer_call(&sim, 1, CLASS_STANDARD);
	advance(&sim, SERVICE_US);
	assert_int_equal(sim.served[0], SLOTS * 2);
	assert_int_equal(sim.refused[1], SLOTS);
	offer_call(&sim, 1, CLASS_STANDARD);
	advance(&sim, SERVICE_US);
	assert_int_equal(sim.served[1], 1);
	sim_free(&sim);
}

/* Offers an upload of 60 KB, or a nested call without a body. */
static enum admit_result offer_body(struct target_sim *sim, bool nested, int64_t body_bytes)
{
	struct queue_entry *entry = entry_new(sim, 0, CLASS_STANDARD);
	enum admit_result result;

	entry->route = nested ? LABEL("nested") : LABEL("upload");
	entry->nested = nested;
	entry->no_queue = nested;
	entry->body_bytes = body_bytes;
	entry->objective = deadline_after(sim_now(sim), 2 * US_PER_S);
	result = admit_offer(sim->admit, entry, sim_now(sim));
	if (result == ADMIT_RUN)
		run(sim, entry);
	return result;
}

/* Guards against bodies that are fetched all at once over a slow link: nested calls and heartbeats
 * waited behind them for a second. Uploads at twice the rate of a link of 10 Mbit/s start at its
 * rate, nested calls pass them, and those that can't be fetched in time are refused at once. */
static void test_uploads_start_at_the_rate_of_the_link(void **state)
{
	const int64_t body_bytes = 60000;
	const int64_t link_bytes_per_s = 1250000;
	struct target_sim sim = { .admit = admit_new(pool), .now_us = US_PER_S };
	int64_t fetched_bytes = 0;
	int refused = 0;

	(void)state;
	admit_set_slots(sim.admit, SLOTS);
	admit_set_link(sim.admit, 10);
	for (int i = 0; i < 200; i++) {
		enum admit_result result = offer_body(&sim, false, body_bytes);
		struct admit_dispatch dispatch;

		fetched_bytes += result == ADMIT_RUN ? body_bytes : 0;
		refused += result == ADMIT_LATE;
		assert_int_equal(offer_body(&sim, true, 0), ADMIT_RUN);
		sim.now_us += 24 * US_PER_MS;
		for (int j = 0; j < sim.count; j++) {
			admit_done(sim.admit, sim.running[j], SLOT_SERVED, SERVICE_US);
			g_free(sim.running[j]);
		}
		sim.count = 0;
		while ((dispatch = admit_next(sim.admit, sim_now(&sim))).kind == DISPATCH_RUN) {
			fetched_bytes += dispatch.entry->body_bytes;
			run(&sim, dispatch.entry);
		}
	}
	assert_true(refused > 0);
	assert_true(fetched_bytes <= link_bytes_per_s * 200 * 24 / 1000);
	assert_true(fetched_bytes >= link_bytes_per_s * 200 * 24 / 1000 / 2);
	admit_free(sim.admit);
}

/* Guards against a free slot that is refused to a call because others wait that can't use it: calls
 * that are late, or whose bodies wait for the link. */
static void test_waiting_bodies_do_not_block_other_calls(void **state)
{
	struct target_sim sim = { .admit = admit_new(pool), .now_us = US_PER_S };

	(void)state;
	admit_set_slots(sim.admit, SLOTS);
	admit_set_link(sim.admit, 4);
	assert_int_equal(offer_body(&sim, false, 100000), ADMIT_RUN);
	assert_int_equal(offer_body(&sim, false, 100000), ADMIT_QUEUED);
	assert_int_equal(offer_body(&sim, true, 0), ADMIT_RUN);
	assert_int_equal(offer_body(&sim, false, 0), ADMIT_RUN);
	assert_int_equal(offer_body(&sim, false, 100000), ADMIT_QUEUED);
	admit_free(sim.admit);
}

/* Runs uploads of unequal size at twice the rate of a link for a while; returns how many were
 * served and, in *bytes, the bytes of those. */
static int serve_uploads(int64_t *bytes, bool equal)
{
	struct target_sim sim = { .admit = admit_new(pool), .now_us = US_PER_S };
	struct rng rng = { 5 };
	int served = 0;

	*bytes = 0;
	admit_set_slots(sim.admit, SLOTS);
	admit_set_link(sim.admit, 10);
	for (int i = 0; i < 2000; i++) {
		int64_t size = equal ? 60000 : 10000 + (int64_t)rng_below(&rng, 100000);
		struct admit_dispatch dispatch;

		if (offer_body(&sim, false, size) == ADMIT_RUN)
			continue;
		sim.now_us += 24 * US_PER_MS;
		for (int j = 0; j < sim.count; j++) {
			served++;
			*bytes += sim.running[j]->body_bytes;
			admit_done(sim.admit, sim.running[j], SLOT_SERVED, SERVICE_US);
			g_free(sim.running[j]);
		}
		sim.count = 0;
		while ((dispatch = admit_next(sim.admit, sim_now(&sim))).kind != DISPATCH_NONE)
			if (dispatch.kind == DISPATCH_RUN)
				run(&sim, dispatch.entry);
	}
	admit_free(sim.admit);
	return served;
}

/* Guards against large uploads that keep out several small ones for having come first. */
static void test_unequal_uploads_serve_more_callers(void **state)
{
	int64_t equal_bytes;
	int64_t bytes;
	int equal = serve_uploads(&equal_bytes, true);
	int served = serve_uploads(&bytes, false);

	(void)state;
	print_message("served %d of equal size, %d of unequal size; %ld and %ld bytes\n", equal,
		      served, equal_bytes, bytes);
	assert_true(served >= equal * 5 / 4);
}

/* Guards against refusing a small upload because large ones that have just come fill the link's
 * queue: the largest gives way, and is refused as not run. A caller that has waited keeps its
 * place. */
static void test_large_upload_gives_way_to_a_small_one(void **state)
{
	const int64_t large = 200000;
	struct target_sim sim = { .admit = admit_new(pool), .now_us = US_PER_S };
	struct admit_dispatch dispatch;
	int queued = 0;

	(void)state;
	admit_set_slots(sim.admit, SLOTS);
	admit_set_link(sim.admit, 10);
	assert_int_equal(offer_body(&sim, false, large), ADMIT_RUN);
	while (offer_body(&sim, false, large) == ADMIT_QUEUED)
		queued++;
	assert_true(queued > 2);
	while (offer_body(&sim, false, large / 2) == ADMIT_QUEUED)
		queued++;
	assert_int_equal(offer_body(&sim, false, large / 10), ADMIT_QUEUED);
	dispatch = admit_next(sim.admit, sim_now(&sim));
	assert_int_equal(dispatch.kind, DISPATCH_LATE);
	assert_int_equal(dispatch.entry->body_bytes, large);
	g_free(dispatch.entry);
	admit_free(sim.admit);
}

/* Guards against a caller that announces a large body and sends none of it: the bodies of others
 * waited for as long as the announced one would have taken, more than a minute. */
static void test_announced_body_does_not_block_others(void **state)
{
	const int64_t announced = 64 << 20;
	struct target_sim sim = { .admit = admit_new(pool), .now_us = US_PER_S };

	(void)state;
	admit_set_slots(sim.admit, SLOTS);
	admit_set_link(sim.admit, 10);
	assert_int_equal(offer_body(&sim, false, announced), ADMIT_RUN);
	for (int i = 0; i < 100; i++)
		admit_count_received(sim.admit, announced, sim_now(&sim));
	sim.now_us += 1500 * US_PER_MS;
	assert_int_equal(offer_body(&sim, false, 60000), ADMIT_RUN);
	admit_free(sim.admit);
}

/* Guards against a tenant's call without a body that waits behind its upload while slots are free,
 * and against new calls that are refused for it. */
static void test_call_without_a_body_passes_a_waiting_one(void **state)
{
	struct target_sim sim = { .admit = admit_new(pool), .now_us = US_PER_S };
	struct admit_dispatch dispatch;

	(void)state;
	admit_set_slots(sim.admit, 2);
	admit_set_link(sim.admit, 4);
	assert_int_equal(offer_body(&sim, false, 100000), ADMIT_RUN);
	assert_int_equal(offer_body(&sim, false, 100000), ADMIT_QUEUED);
	assert_int_equal(offer_body(&sim, false, 0), ADMIT_RUN);
	assert_int_equal(offer_body(&sim, false, 0), ADMIT_QUEUED);
	admit_done(sim.admit, sim.running[1], SLOT_SERVED, SERVICE_US);
	dispatch = admit_next(sim.admit, sim_now(&sim));
	assert_int_equal(dispatch.kind, DISPATCH_RUN);
	assert_int_equal(dispatch.entry->body_bytes, 0);
	admit_free(sim.admit);
}

/* Guards against calls with bodies that wait for a slot and are passed by every new call. */
static void test_body_that_waits_for_a_slot_is_not_passed(void **state)
{
	struct target_sim sim = { .admit = admit_new(pool), .now_us = US_PER_S };

	(void)state;
	admit_set_slots(sim.admit, 1);
	assert_int_equal(offer_body(&sim, true, 0), ADMIT_RUN);
	assert_int_equal(offer_body(&sim, false, 100000), ADMIT_QUEUED);
	admit_done(sim.admit, sim.running[0], SLOT_SERVED, SERVICE_US);
	assert_int_equal(offer_body(&sim, false, 0), ADMIT_QUEUED);
	admit_free(sim.admit);
}

/* Guards against a tenant that loses its place to one that has used more: small uploads of a busy
 * tenant must not turn away the large ones of another. */
static void test_busy_tenant_takes_no_place_of_another(void **state)
{
	struct target_sim sim = { .admit = admit_new(pool), .now_us = US_PER_S };
	struct queue_entry *light;
	enum admit_result result = ADMIT_QUEUED;

	(void)state;
	admit_set_slots(sim.admit, SLOTS);
	admit_set_link(sim.admit, 10);
	for (int i = 0; i < 3; i++)
		assert_int_equal(offer_body(&sim, true, 0), ADMIT_RUN);
	assert_int_equal(offer_body(&sim, false, 60000), ADMIT_RUN);
	light = entry_new(&sim, 1, CLASS_STANDARD);
	light->body_bytes = 400000;
	light->objective = deadline_after(sim_now(&sim), 2 * US_PER_S);
	assert_int_equal(admit_offer(sim.admit, light, sim_now(&sim)), ADMIT_QUEUED);
	while (result == ADMIT_QUEUED)
		result = offer_body(&sim, false, 20000);
	assert_int_equal(result, ADMIT_LATE);
	assert_int_not_equal(admit_next(sim.admit, sim_now(&sim)).kind, DISPATCH_LATE);
	admit_free(sim.admit);
}

/* Guards against refusing by class alone: a call that needs many times the work gives way to one of
 * its class, and a call that is late or of a lower class to one that is not. */
static void test_cost_counts_class_objective_and_work(void **state)
{
	const struct shed_call call = { .class = CLASS_STANDARD,
					.in_time = true,
					.work_us = 10000 };
	struct shed_call other = call;

	(void)state;
	assert_false(shed_prefers(&call, &other));
	other.work_us *= 4;
	assert_true(shed_prefers(&call, &other));
	other = call;
	other.in_time = false;
	assert_true(shed_prefers(&call, &other));
	other = call;
	other.class = CLASS_BACKGROUND;
	assert_true(shed_prefers(&call, &other));
	other = call;
	other.nested = true;
	assert_true(shed_prefers(&other, &call));
	assert_false(shed_prefers(&call, &other));
	assert_true(shed_is_recent(US_PER_S, (struct instant){ US_PER_S + 1000, 0 }));
	assert_false(shed_is_recent(US_PER_S, (struct instant){ 2 * US_PER_S, 0 }));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_tenants_get_equal_shares),
		cmocka_unit_test(test_bulk_does_not_delay_interactive),
		cmocka_unit_test(test_background_is_not_starved),
		cmocka_unit_test(test_call_that_misses_deadline_is_refused),
		cmocka_unit_test(test_queue_is_bounded),
		cmocka_unit_test(test_shed_calls_reduce_slots),
		cmocka_unit_test(test_service_time_follows_first_calls),
		cmocka_unit_test(test_closed_target_serves_its_queue),
		cmocka_unit_test(test_target_without_slots_returns_its_queue),
		cmocka_unit_test(test_call_that_a_stop_would_cut_off_is_refused),
		cmocka_unit_test(test_stop_returns_the_queue_in_time),
		cmocka_unit_test(test_uploads_start_at_the_rate_of_the_link),
		cmocka_unit_test(test_waiting_bodies_do_not_block_other_calls),
		cmocka_unit_test(test_unequal_uploads_serve_more_callers),
		cmocka_unit_test(test_large_upload_gives_way_to_a_small_one),
		cmocka_unit_test(test_cost_counts_class_objective_and_work),
		cmocka_unit_test(test_announced_body_does_not_block_others),
		cmocka_unit_test(test_call_without_a_body_passes_a_waiting_one),
		cmocka_unit_test(test_body_that_waits_for_a_slot_is_not_passed),
		cmocka_unit_test(test_busy_tenant_takes_no_place_of_another),
	};

	apr_initialize();
	apr_pool_create(&pool, NULL);
	return cmocka_run_group_tests_name("core/admit", tests, NULL, NULL);
}
