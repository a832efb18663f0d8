/* Admission: slots, classes, tenants, deadlines, and a target with fewer slots than it said. */
#include "regress/lib/check.h"

#include <apr_general.h>

#include "base/rng.h"
#include "core/admit.h"

enum { SLOTS = 9, SERVICE_US = 2000, QUEUED_MAX = 4096 };

static apr_pool_t *pool;

/* A simulated target: calls run for SERVICE_US, whoever they are of. */
struct bench {
	struct admit *admit;
	int64_t now_us;
	struct ticket *running[64];
	int64_t ends_us[64];
	int count;
	int served[2]; /* by tenant */
	int refused[2];
	int64_t worst_wait_us[2];
};

static struct instant now_of(const struct bench *bench)
{
	return (struct instant){ bench->now_us, bench->now_us };
}

static void run(struct bench *bench, struct ticket *ticket)
{
	bench->running[bench->count] = ticket;
	bench->ends_us[bench->count++] = bench->now_us + SERVICE_US;
}

static struct ticket *ticket_new(const struct bench *bench, int tenant, enum traffic_class class)
{
	struct ticket *ticket = g_new0(struct ticket, 1);

	ticket->tenant = tenant ? LABEL("light") : LABEL("heavy");
	ticket->route = LABEL("r");
	ticket->class = class;
	ticket->concurrency_percent = 100;
	ticket->deadline = deadline_after(now_of(bench), 5 * US_PER_S);
	ticket->queued_at_us = bench->now_us;
	ticket->owner = GINT_TO_POINTER(tenant);
	return ticket;
}

static void arrive(struct bench *bench, int tenant, enum traffic_class class)
{
	struct ticket *ticket = ticket_new(bench, tenant, class);

	switch (admit_offer(bench->admit, ticket, now_of(bench))) {
	case ADMIT_RUN:
		run(bench, ticket);
		return;
	case ADMIT_QUEUED:
		return;
	case ADMIT_BUSY:
	case ADMIT_FULL:
	case ADMIT_LATE:
	case ADMIT_CLOSED:
		bench->refused[tenant]++;
		g_free(ticket);
		return;
	}
}

static void take_turns(struct bench *bench)
{
	struct admit_turn turn;

	while ((turn = admit_next(bench->admit, now_of(bench))).kind != TURN_NONE) {
		int tenant = GPOINTER_TO_INT(turn.ticket->owner);
		int64_t wait_us = bench->now_us - turn.ticket->queued_at_us;

		if (turn.kind == TURN_LATE) {
			bench->refused[tenant]++;
			g_free(turn.ticket);
			continue;
		}
		bench->worst_wait_us[tenant] = MAX(bench->worst_wait_us[tenant], wait_us);
		run(bench, turn.ticket);
	}
}

static void advance(struct bench *bench, int64_t us)
{
	bench->now_us += us;
	for (int i = bench->count; i-- > 0;) {
		if (bench->ends_us[i] > bench->now_us)
			continue;
		admit_done(bench->admit, bench->running[i], SLOT_SERVED, SERVICE_US);
		bench->served[GPOINTER_TO_INT(bench->running[i]->owner)]++;
		g_free(bench->running[i]);
		bench->running[i] = bench->running[--bench->count];
		bench->ends_us[i] = bench->ends_us[bench->count];
	}
	take_turns(bench);
}

static struct bench bench_new(void)
{
	struct bench bench = { .admit = admit_new(pool), .now_us = US_PER_S };

	admit_set_slots(bench.admit, SLOTS);
	return bench;
}

/* Ends what runs and refuses what waits, so that nothing is left over. */
static void bench_free(struct bench *bench)
{
	admit_set_slots(bench->admit, 0);
	take_turns(bench);
	advance(bench, 100 * US_PER_S);
	admit_free(bench->admit);
}

/* Two rivals both over their half: ten times the calls bring no more throughput. */
static void test_rivals_share_alike(void **state)
{
	struct bench bench = bench_new();

	(void)state;
	for (int step = 0; step < 20000; step++) {
		for (int i = 0; i < 10; i++)
			arrive(&bench, 0, CLASS_STANDARD);
		arrive(&bench, 1, CLASS_STANDARD);
		/* 2.75 calls a step could be served: half of it is 1.37. */
		if (step % 2)
			arrive(&bench, 1, CLASS_STANDARD);
		advance(&bench, 611);
	}
	print_message("heavy %d, light %d served\n", bench.served[0], bench.served[1]);
	assert_true(abs(bench.served[0] - bench.served[1]) <=
		    (bench.served[0] + bench.served[1]) / 40);
	bench_free(&bench);
}

static void test_interactive_goes_before_bulk(void **state)
{
	struct bench bench = bench_new();

	(void)state;
	for (int step = 0; step < 5000; step++) {
		for (int i = 0; i < 5; i++)
			arrive(&bench, 0, CLASS_BULK);
		arrive(&bench, 1, CLASS_INTERACTIVE);
		advance(&bench, 500);
	}
	/* Bulk takes half of the slots, so that interactive never waits for more than one end. */
	assert_true(bench.worst_wait_us[1] <= SERVICE_US);
	assert_int_equal(bench.refused[1], 0);
	assert_true(bench.served[0] > 1000);
	bench_free(&bench);
}

static void test_background_is_not_starved(void **state)
{
	struct bench bench = bench_new();

	(void)state;
	for (int step = 0; step < 5000; step++) {
		for (int i = 0; i < 10; i++)
			arrive(&bench, 0, CLASS_INTERACTIVE);
		arrive(&bench, 1, CLASS_BACKGROUND);
		advance(&bench, 500);
	}
	print_message("interactive %d, background %d served\n", bench.served[0], bench.served[1]);
	assert_true(bench.served[1] > 50);
	assert_true(bench.served[0] > 50 * bench.served[1]);
	bench_free(&bench);
}

static void test_a_call_that_would_be_late_is_refused_at_once(void **state)
{
	struct bench bench = bench_new();
	struct ticket *ticket;

	(void)state;
	for (int i = 0; i < SLOTS + 40; i++)
		arrive(&bench, 0, CLASS_STANDARD);
	ticket = ticket_new(&bench, 0, CLASS_STANDARD);
	/* Forty calls at 2 ms over nine slots wait for some 9 ms. */
	ticket->deadline = deadline_after(now_of(&bench), 4000);
	assert_int_equal(admit_offer(bench.admit, ticket, now_of(&bench)), ADMIT_LATE);
	ticket->deadline = deadline_after(now_of(&bench), 40000);
	assert_int_equal(admit_offer(bench.admit, ticket, now_of(&bench)), ADMIT_QUEUED);
	bench_free(&bench);
}

static void test_queue_is_bounded(void **state)
{
	struct bench bench = bench_new();

	(void)state;
	for (int i = 0; i < 1000; i++)
		arrive(&bench, 0, CLASS_STANDARD);
	assert_int_equal(admit_count(bench.admit, now_of(&bench)).running, SLOTS);
	assert_int_equal(admit_count(bench.admit, now_of(&bench)).queued, SLOTS * 8);
	assert_int_equal(bench.refused[0], 1000 - SLOTS * 9);
	bench_free(&bench);
}

static void test_fewer_slots_than_announced(void **state)
{
	struct bench bench = bench_new();
	struct ticket *ticket = ticket_new(&bench, 0, CLASS_STANDARD);

	(void)state;
	for (int i = 0; i < 5; i++) {
		assert_int_equal(admit_offer(bench.admit, ticket, now_of(&bench)), ADMIT_RUN);
		admit_done(bench.admit, ticket, SLOT_SHED, SERVICE_US);
	}
	assert_int_equal(admit_count(bench.admit, now_of(&bench)).slots, SLOTS - 5);
	for (int i = 0; i < 1000; i++) {
		assert_int_equal(admit_offer(bench.admit, ticket, now_of(&bench)), ADMIT_RUN);
		admit_done(bench.admit, ticket, SLOT_SERVED, SERVICE_US);
	}
	assert_int_equal(admit_count(bench.admit, now_of(&bench)).slots, SLOTS);
	g_free(ticket);
	bench_free(&bench);
}

/* What a target is expected to take follows its calls from the first one on. */
static void test_a_guess_is_soon_forgotten(void **state)
{
	struct bench bench = bench_new();
	struct ticket *ticket = ticket_new(&bench, 0, CLASS_STANDARD);

	(void)state;
	for (int i = 0; i < 9; i++) {
		assert_int_equal(admit_offer(bench.admit, ticket, now_of(&bench)), ADMIT_RUN);
		admit_done(bench.admit, ticket, SLOT_SERVED, 100 * US_PER_MS);
	}
	assert_true(admit_count(bench.admit, now_of(&bench)).service_us >= 90 * US_PER_MS);
	g_free(ticket);
	bench_free(&bench);
}

static void test_a_closed_target_takes_nothing_new_but_ends_its_queue(void **state)
{
	struct bench bench = bench_new();

	(void)state;
	for (int i = 0; i < SLOTS * 2; i++)
		arrive(&bench, 0, CLASS_STANDARD);
	admit_close(bench.admit);
	arrive(&bench, 1, CLASS_STANDARD);
	assert_int_equal(bench.refused[1], 1);
	for (int i = 0; i < 10; i++)
		advance(&bench, 1000);
	assert_int_equal(bench.served[0], SLOTS * 2);
	bench_free(&bench);
}

static void test_a_target_that_is_gone_gives_its_queue_back(void **state)
{
	struct bench bench = bench_new();

	(void)state;
	for (int i = 0; i < SLOTS * 2; i++)
		arrive(&bench, 0, CLASS_STANDARD);
	admit_set_slots(bench.admit, 0);
	take_turns(&bench);
	assert_int_equal(bench.refused[0], SLOTS);
	bench_free(&bench);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rivals_share_alike),
		cmocka_unit_test(test_interactive_goes_before_bulk),
		cmocka_unit_test(test_background_is_not_starved),
		cmocka_unit_test(test_a_call_that_would_be_late_is_refused_at_once),
		cmocka_unit_test(test_queue_is_bounded),
		cmocka_unit_test(test_fewer_slots_than_announced),
		cmocka_unit_test(test_a_guess_is_soon_forgotten),
		cmocka_unit_test(test_a_closed_target_takes_nothing_new_but_ends_its_queue),
		cmocka_unit_test(test_a_target_that_is_gone_gives_its_queue_back),
	};

	apr_initialize();
	apr_pool_create(&pool, NULL);
	return cmocka_run_group_tests_name("core/admit", tests, NULL, NULL);
}
