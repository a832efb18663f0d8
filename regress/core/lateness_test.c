/*
 * A change is in force on every node that reaches the log within half of the time that operators
 * are promised, whatever happens to its peers. Each test is named after what made a change late.
 */
#include "regress/lib/check.h"

#include <apr_general.h>

#include "regress/lib/sim.h"

/* The promise of the deployment on which changes were late, and half of it for this part. */
#define PROMISED_US (2500 * US_PER_MS)
#define ALLOWED_US  (PROMISED_US / 2)
#define SETTLE_US   (40 * US_PER_S)
#define LIMIT_US    (60 * US_PER_S)

enum { NODES = 81, DATA_CENTRES = 4, CHANGES = 20, SEEDS = 5 };

static struct sim *new_fleet(uint64_t seed, struct sim_options options)
{
	struct sim *sim;

	options.nodes = NODES;
	options.data_centres = DATA_CENTRES;
	options.seed = seed;
	options.apply_within_us = PROMISED_US;
	options.preload = true;
	sim = sim_new(&options);
	sim_run(sim, SETTLE_US);
	return sim;
}

static const char small_file[] =
	"{\"services\": {\"s\": {\"versions\": {\"v1\": {\"share\": 100}}}},"
	"\"routes\": [{\"name\": \"r\", \"path\": \"/\", \"service\": \"s\"}]}";

static int64_t publish(struct sim *sim, int number, const char *content)
{
	char id[32];

	g_snprintf(id, sizeof(id), "change-%d", number);
	return sim_publish(sim, id, "file", CHANGE_ANY_BASE, content);
}

/* Runs until every running node holds @p version; fails if that takes longer than allowed. */
static void assert_in_time(struct sim *sim, int64_t version, uint64_t seed)
{
	int64_t took_us = sim_run_until_version(sim, version, LIMIT_US);

	if (took_us < 0)
		fail_msg("seed %lu: version %ld is not in force after %lld s", seed, version,
			 LIMIT_US / US_PER_S);
	if (took_us > ALLOWED_US)
		fail_msg("seed %lu: version %ld took %lld ms, allowed %lld", seed, version,
			 took_us / US_PER_MS, ALLOWED_US / US_PER_MS);
	assert_string_equal(sim_violation(sim), "");
}

static void test_lost_datagrams_do_not_delay_a_change(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct sim *sim = new_fleet(seed, (struct sim_options){ 0 });

		sim_set_loss(sim, 0.05);
		for (int i = 0; i < CHANGES; i++) {
			assert_in_time(sim, publish(sim, i, small_file), seed);
			sim_run(sim, (int64_t)rng_below(sim_rng(sim), 2 * US_PER_S));
		}
		sim_free(sim);
	}
}

/* Nodes that only the log reaches must not depend on peers for a change. */
static void test_node_cut_from_its_peers_gets_changes(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct sim *sim = new_fleet(seed, (struct sim_options){ 0 });

		for (int i = 0; i < 5; i++)
			sim_isolate(sim, (int)rng_below(sim_rng(sim), NODES), true);
		for (int i = 0; i < CHANGES; i++) {
			assert_in_time(sim, publish(sim, i, small_file), seed);
			sim_run(sim, (int64_t)rng_below(sim_rng(sim), 2 * US_PER_S));
		}
		sim_free(sim);
	}
}

/* Kills the readers of a data centre, which is cut from the others. */
static void kill_readers(struct sim *sim, int data_centre)
{
	struct label name = { 0 };

	name.len = (uint8_t)g_snprintf(name.data, sizeof(name.data), "dc%d", data_centre);
	for (int dc = 0; dc < DATA_CENTRES; dc++) {
		sim_cut(sim, data_centre, dc, dc != data_centre);
		sim_cut(sim, dc, data_centre, dc != data_centre);
	}
	for (int i = 0; i < NODES; i++) {
		const struct sim_node *instance = sim_node(sim, i);

		if (instance->data_centre == data_centre &&
		    members_rank(node_members(instance->node), SCOPE_DATA_CENTRE, name, 0) < 2)
			sim_kill(sim, i);
	}
}

static void test_data_centre_without_readers_gets_changes(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct sim *sim = new_fleet(seed, (struct sim_options){ 0 });

		kill_readers(sim, (int)(seed % DATA_CENTRES));
		for (int i = 0; i < CHANGES; i++)
			assert_in_time(sim, publish(sim, i, small_file), seed);
		sim_free(sim);
	}
}

/* Returns the peer that the node pulls from as a result of an event; 0 if it starts no pull. */
static uint64_t pulled_peer(struct node *node, const struct event *event, int64_t now_us)
{
	struct actions actions = actions_new();
	uint64_t peer = 0;

	node_handle(node, event, (struct instant){ now_us, now_us }, &actions);
	for (guint i = 0; i < actions.list->len; i++) {
		const struct action *action = &g_array_index(actions.list, struct action, i);

		if (action->kind == ACTION_SEND && action->send.message->kind == MESSAGE_PULL)
			peer = action->send.to;
	}
	actions_clear(&actions);
	return peer;
}

static uint64_t pulled_after_advert(struct node *node, uint64_t from, int64_t version,
				    int64_t now_us)
{
	struct event event = { .kind = EVENT_MESSAGE };
	uint64_t peer;

	event.message.from = from;
	event.message.message = message_new(MESSAGE_ADVERT);
	event.message.message->advert.version = version;
	event.message.message->advert.confirmed_age_us = CONFIRMED_NEVER;
	peer = pulled_peer(node, &event, now_us);
	message_unref(event.message.message);
	return peer;
}

/* Two holders announce a version. The first one's answer is lost: the other one is asked well
 * within the promised time, rather than a random peer that may not have it. */
static void test_unanswered_pull_is_repeated_at_another_holder(void **state)
{
	struct node_options options = {
		.id = 1, .data_centre = LABEL("a"), .seed = 1, .apply_within_us = PROMISED_US
	};
	struct event tick = { .kind = EVENT_TICK };
	int64_t now_us = US_PER_S;
	struct node *node = node_new(&options, (struct instant){ now_us, now_us }, NULL);
	uint64_t peer = 0;
	int64_t waited_us = 0;

	(void)state;
	assert_int_equal(pulled_after_advert(node, 100, 5, now_us), 100);
	assert_int_equal(pulled_after_advert(node, 200, 5, now_us), 0);
	for (; peer == 0 && waited_us < PROMISED_US; waited_us += 100 * US_PER_MS)
		peer = pulled_peer(node, &tick, now_us + waited_us);
	assert_int_equal(peer, 200);
	assert_true(waited_us <= PROMISED_US / 5);
	node_free(node);
}

/* Gives a node the advert of the version that it holds, as confirmed just now by a peer. */
static void confirm_by_advert(struct node *node, struct instant now)
{
	struct event event = { .kind = EVENT_MESSAGE };
	struct actions actions = actions_new();

	event.message.from = 100;
	event.message.message = message_new(MESSAGE_ADVERT);
	node_handle(node, &event, now, &actions);
	message_unref(event.message.message);
	actions_clear(&actions);
}

/* A paused node finds messages that waited. It must neither believe nor spread that the log was as
 * they say when they are read, and after a suspension its own clock has missed the time. */
static void test_messages_read_after_a_pause_confirm_nothing(void **state)
{
	struct node_options options = { .id = 1, .data_centre = LABEL("a"), .seed = 1 };
	struct event tick = { .kind = EVENT_TICK };
	struct instant now = { US_PER_S, US_PER_S };
	struct node *node = node_new(&options, now, NULL);

	(void)state;
	pulled_peer(node, &tick, now.mono_us);
	confirm_by_advert(node, now);
	assert_int_equal(node_digest(node, now).confirmed_age_us, 0);
	now = (struct instant){ 6 * US_PER_S, 6 * US_PER_S };
	confirm_by_advert(node, now);
	assert_true(node_digest(node, now).confirmed_age_us >= 5 * US_PER_S);
	/* The tick may be handled before the messages. */
	pulled_peer(node, &tick, now.mono_us);
	confirm_by_advert(node, now);
	assert_true(node_digest(node, now).confirmed_age_us >= 5 * US_PER_S);
	for (int i = 0; i < 6; i++) {
		now.mono_us += 100 * US_PER_MS;
		now.wall_us = now.mono_us;
		pulled_peer(node, &tick, now.mono_us);
	}
	confirm_by_advert(node, now);
	assert_int_equal(node_digest(node, now).confirmed_age_us, 0);
	node_free(node);
}

/* While a VM is suspended, its monotonic clock stands still. */
static void test_suspended_node_is_not_confirmed(void **state)
{
	struct node_options options = { .id = 1, .data_centre = LABEL("a"), .seed = 1 };
	struct event tick = { .kind = EVENT_TICK };
	struct instant now = { US_PER_S, US_PER_S };
	struct node *node = node_new(&options, now, NULL);
	struct actions actions = actions_new();

	(void)state;
	node_handle(node, &tick, now, &actions);
	confirm_by_advert(node, now);
	assert_int_equal(node_digest(node, now).confirmed_age_us, 0);
	now = (struct instant){ now.mono_us + 100 * US_PER_MS, now.wall_us + 5 * US_PER_S };
	node_handle(node, &tick, now, &actions);
	assert_int_equal(node_digest(node, now).confirmed_age_us, CONFIRMED_NEVER);
	actions_clear(&actions);
	node_free(node);
}

/* Adds @p count routes; the deadline of one of them varies by @p edition. */
static char *large_file(int count, int edition)
{
	GString *text =
		g_string_new("{\"services\": {\n\"s\": {\"versions\": \"any\"}},\"routes\": [");

	for (int i = 0; i < count; i++)
		g_string_append_printf(text,
				       "%s\n{\"name\":\"r-%08x\",\"host\":\"host%d.example\","
				       "\"path\":\"/p%08x/\",\"service\":\"s\","
				       "\"repeat\":\"idempotent\",\"deadline_ms\":%d,"
				       "\"class\":\"background\",\"objective_ms\":800,"
				       "\"attempts\":2}",
				       i ? "," : "", (unsigned int)i * 2654435761U, i % 9,
				       (unsigned int)i * 2246822519U,
				       i == edition ? 1500 + edition : 1500);
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

static int64_t publish_large(struct sim *sim, int number, int routes)
{
	char *content = large_file(routes, number);
	int64_t version = publish(sim, number, content);

	g_free(content);
	return version;
}

/* The file grows threefold, so that most of its text is new to every node, on links of 11 Mbit/s.
 */
static void test_large_edition_does_not_wait_for_one_link(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct sim *sim =
			new_fleet(seed, (struct sim_options){ .link_bytes_per_s = 11000000 / 8 });

		assert_true(sim_run_until_version(sim, publish_large(sim, 1, 700), LIMIT_US) >= 0);
		sim_run(sim, 5 * US_PER_S);
		assert_in_time(sim, publish_large(sim, 2, 2100), seed);
		for (int i = 3; i < 9; i++)
			assert_in_time(sim, publish_large(sim, i, 2100), seed);
		sim_free(sim);
	}
}

/* A node that starts while its peers are behind must not serve an older version than the log
 * acknowledged before its start. */
static void test_restarted_node_does_not_serve_an_older_version(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct sim *sim = new_fleet(seed, (struct sim_options){ 0 });
		int64_t version;
		int index;

		assert_in_time(sim, publish(sim, 1, small_file), seed);
		kill_readers(sim, 1);
		version = publish(sim, 2, small_file);
		index = 1;
		sim_kill(sim, index);
		sim_start(sim, index);
		for (int64_t us = 0; us < 10 * US_PER_S; us += 10 * US_PER_MS) {
			sim_run(sim, 10 * US_PER_MS);
			if (node_is_current(sim_node(sim, index)->node))
				assert_true(history_version(node_history(
						    sim_node(sim, index)->node)) >= version);
		}
		assert_true(node_is_current(sim_node(sim, index)->node));
		sim_free(sim);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lost_datagrams_do_not_delay_a_change),
		cmocka_unit_test(test_node_cut_from_its_peers_gets_changes),
		cmocka_unit_test(test_data_centre_without_readers_gets_changes),
		cmocka_unit_test(test_unanswered_pull_is_repeated_at_another_holder),
		cmocka_unit_test(test_messages_read_after_a_pause_confirm_nothing),
		cmocka_unit_test(test_suspended_node_is_not_confirmed),
		cmocka_unit_test(test_large_edition_does_not_wait_for_one_link),
		cmocka_unit_test(test_restarted_node_does_not_serve_an_older_version),
	};

	apr_initialize();
	return cmocka_run_group_tests_name("core/lateness", tests, NULL, NULL);
}
