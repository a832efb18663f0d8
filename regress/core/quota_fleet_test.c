/* Tests of the limits of tenants over a fleet of nodes with membership, in virtual time. */
#include "regress/lib/check.h"

#include <apr_general.h>

#include "regress/lib/sim.h"

#define TENANTS                                                                                    \
	"{\"services\":{\"s\":{\"versions\":\"any\"}},\"tenants\":{\"studio\":{\"keys\":[\"k\"],"  \
	"\"limit_per_s\":200,\"burst\":200}}}"

enum {
	NODES = 12,
	LIMIT = 200, /* a second, and the burst */
	WINDOW_S = 5,
	BOUND = (LIMIT * WINDOW_S + LIMIT) * 11 / 10 + 20,
	DEMAND = 1500, /* a second */
	STEP_US = 10000,
	TAKEN_MAX = 1 << 18,
};

struct fixture {
	int64_t taken_us[TAKEN_MAX];
	int taken;
	int refused;
};

static void on_quota(struct sim *sim, int node, const struct quota_result *result)
{
	struct fixture *fixture = sim_context(sim);

	(void)node;
	if (result->decision.kind == QUOTA_TAKEN)
		fixture->taken_us[fixture->taken++] = sim_now(sim).mono_us;
	else
		fixture->refused++;
}

static void request(struct sim *sim, int index)
{
	struct node *node = sim_node(sim, index)->node;
	struct actions actions = actions_new();
	struct config *config = node_config(node);
	const struct tenant *tenant = config_find_tenant(config, LABEL("studio"));
	struct fixture *fixture = sim_context(sim);
	struct quota_decision decision = { .kind = QUOTA_EXCEEDED };
	uint64_t waiter;

	if (tenant)
		decision = node_quota_take(node, tenant, &waiter, sim_now(sim), &actions);
	if (decision.kind == QUOTA_TAKEN)
		fixture->taken_us[fixture->taken++] = sim_now(sim).mono_us;
	fixture->refused += decision.kind == QUOTA_EXCEEDED;
	config_unref(config);
	sim_dispatch_actions(sim, index, &actions);
}

static void ask_for(struct sim *sim, int seconds)
{
	for (int i = 0; i < seconds * (US_PER_S / STEP_US); i++) {
		for (int j = 0; j < DEMAND / (US_PER_S / STEP_US); j++) {
			int index = (int)rng_below(sim_rng(sim), NODES);

			if (sim_node(sim, index)->node && !sim_node(sim, index)->frozen)
				request(sim, index);
		}
		sim_run(sim, STEP_US);
	}
}

static int busiest_window(const struct fixture *fixture)
{
	int most = 0;
	int from = 0;

	for (int i = 0; i < fixture->taken; i++) {
		while (fixture->taken_us[i] - fixture->taken_us[from] >= WINDOW_S * US_PER_S)
			from++;
		most = MAX(most, i - from + 1);
	}
	return most;
}

static struct sim *start_fleet(struct fixture *fixture, uint64_t seed)
{
	struct sim_options options = { .nodes = NODES,
				       .data_centres = 2,
				       .seed = seed,
				       .on_quota = on_quota,
				       .context = fixture };
	struct sim *sim = sim_new(&options);

	sim_publish(sim, "first", "f", 0, TENANTS);
	sim_run(sim, 10 * US_PER_S);
	return sim;
}

/* Guards against a holder that was replaced while it was paused and, back again, gives out a bucket
 * that has filled meanwhile, beside what the holder in its place gave out. */
static void test_holder_that_is_back_starts_empty(void **state)
{
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct sim *sim = start_fleet(fixture, 21);

	(void)state;
	ask_for(sim, 6);
	for (int first = 0; first < NODES; first += 4) {
		for (int i = first; i < first + 4; i++)
			sim_freeze(sim, i, true);
		ask_for(sim, 9);
		for (int i = first; i < first + 4; i++)
			sim_freeze(sim, i, false);
		ask_for(sim, 9);
	}
	print_message("%d taken, %d refused, %d in the busiest window, bound %d\n", fixture->taken,
		      fixture->refused, busiest_window(fixture), BOUND);
	assert_true(busiest_window(fixture) <= BOUND);
	assert_true(fixture->taken > LIMIT * 30);
	sim_free(sim);
	g_free(fixture);
}

/* Guards against buckets that are full after a restart. */
static void test_holders_that_start_again_start_empty(void **state)
{
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct sim *sim = start_fleet(fixture, 22);

	(void)state;
	ask_for(sim, 6);
	for (int i = 0; i < NODES; i++) {
		sim_kill(sim, i);
		ask_for(sim, 1);
		sim_start(sim, i);
		ask_for(sim, 1);
	}
	print_message("%d taken, %d refused, %d in the busiest window, bound %d\n", fixture->taken,
		      fixture->refused, busiest_window(fixture), BOUND);
	assert_true(busiest_window(fixture) <= BOUND);
	assert_true(fixture->taken > LIMIT * 15);
	sim_free(sim);
	g_free(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_holder_that_is_back_starts_empty),
		cmocka_unit_test(test_holders_that_start_again_start_empty),
	};

	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
