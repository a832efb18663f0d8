/* The choice of a version and a target, over the data centres. */
#include "regress/lib/check.h"

#include <apr_general.h>

#include "core/node.h"
#include "operator/parse.h"

#define CONFIG                                                                                     \
	"{\"services\":{\"s\":{\"versions\":\"any\"}},\"routes\":[{\"name\":\"r\",\"path\":\"/\"," \
	"\"service\":\"s\"}]}"
#define ORDER                                                                                      \
	"{\"moves\":[{\"service\":\"s\",\"to\":\"v2\",\"start\":\"2026-12-04T10:00:00Z\","         \
	"\"finish\":\"2026-12-04T10:00:20Z\"}]}"

enum { NEAR_OLD = 2, FAR_NEW = 3, MOVE_ID = 2 * MOVES_PER_FILE };

static void handle(struct node *node, const struct event *event)
{
	struct actions actions = actions_new();

	node_handle(node, event, at_s(1), &actions);
	actions_clear(&actions);
}

static void give_changes(struct node *node)
{
	struct event event = { .kind = EVENT_LOG_BATCH };
	struct log_record records[2] = { { .kind = LOG_CHANGE, .offset = 1 },
					 { .kind = LOG_CHANGE, .offset = 2 } };

	event.batch.stream = STREAM_SYSTEM;
	handle(node, &event);
	records[0].change = change_new(LABEL("1"), LABEL("config"), CHANGE_ANY_BASE, STR(CONFIG));
	records[1].change = change_new(LABEL("2"), LABEL("order"), CHANGE_ANY_BASE, STR(ORDER));
	event.batch.stream = STREAM_CONFIG;
	event.batch.records = records;
	event.batch.count = 2;
	event.batch.newest = 2;
	for (int i = 0; i < 2; i++)
		parse_record(&records[i]);
	handle(node, &event);
	for (int i = 0; i < 2; i++)
		log_record_clear(&records[i]);
}

static void give_member(struct node *node, uint64_t id, const char *data_centre,
			const char *version)
{
	struct event event = { .kind = EVENT_MESSAGE };
	struct member member = { .id = id,
				 .incarnation = 1,
				 .state = MEMBER_ALIVE,
				 .slots = 4,
				 .service = LABEL("s"),
				 .data_centre = label_from(str_from_cstr(data_centre)),
				 .version = label_from(str_from_cstr(version)) };

	event.message.from = id;
	event.message.message = message_new(MESSAGE_MEMBERS);
	event.message.message->members = g_array_new(FALSE, FALSE, sizeof(member));
	g_array_append_val(event.message.message->members, member);
	handle(node, &event);
	message_unref(event.message.message);
}

static void give_state(struct node *node, const struct move_state *state)
{
	struct event event = { .kind = EVENT_MESSAGE };

	event.message.from = FAR_NEW;
	event.message.message = message_new(MESSAGE_MOVES);
	event.message.message->states = g_array_new(FALSE, FALSE, sizeof(*state));
	g_array_append_vals(event.message.message->states, state, 1);
	handle(node, &event);
	message_unref(event.message.message);
}

static struct node *make_node(void)
{
	struct node_options options = { .id = 1, .data_centre = LABEL("a"), .seed = 5 };
	struct event tick = { .kind = EVENT_TICK };
	struct node *node = node_new(&options, at_s(0), NULL);

	handle(node, &tick);
	give_changes(node);
	assert_true(node_is_current(node));
	give_member(node, NEAR_OLD, "a", "v1");
	give_member(node, FAR_NEW, "b", "v2");
	return node;
}

static struct choice choose(struct node *node, enum choice_where where)
{
	struct config *config = node_config(node);
	struct call_facts facts = { .route = config_find_route(config, LABEL("r")),
				    .where = where };
	struct choice choice = node_choose(node, config, &facts, at_s(1));

	config_unref(config);
	return choice;
}

/* A share of a version that has targets in another data centre only goes there, and is not lost to
 * the old version next door. */
static void test_a_new_version_elsewhere_gets_its_share(void **state)
{
	struct node *node = make_node();
	struct move_state done = { .id = MOVE_ID, .step = MOVE_STEPS, .from = LABEL("v1") };
	struct choice choice;

	(void)state;
	choice = choose(node, CHOOSE_NEAR);
	assert_int_equal(choice.kind, CHOICE_TARGET);
	assert_int_equal(choice.target, NEAR_OLD);
	done.done_at_us = 1;
	give_state(node, &done);
	assert_int_equal(choose(node, CHOOSE_NEAR).kind, CHOICE_NO_TARGET);
	choice = choose(node, CHOOSE_FAR);
	assert_int_equal(choice.kind, CHOICE_TARGET);
	assert_int_equal(choice.target, FAR_NEW);
	node_free(node);
}

static void lose_member(struct node *node, uint64_t id, const char *data_centre)
{
	struct event event = { .kind = EVENT_MESSAGE };
	struct member gone = { .id = id,
			       .incarnation = 2,
			       .state = MEMBER_DEAD,
			       .data_centre = label_from(str_from_cstr(data_centre)),
			       .service = LABEL("s") };

	event.message.from = id;
	event.message.message = message_new(MESSAGE_MEMBERS);
	event.message.message->members = g_array_new(FALSE, FALSE, sizeof(gone));
	g_array_append_val(event.message.message->members, gone);
	handle(node, &event);
	message_unref(event.message.message);
}

static void test_a_version_without_any_target_is_stood_in_for(void **state)
{
	struct node *node = make_node();
	struct move_state done = { .id = MOVE_ID, .step = MOVE_STEPS, .from = LABEL("v1") };

	(void)state;
	done.done_at_us = 1;
	give_state(node, &done);
	lose_member(node, FAR_NEW, "b");
	assert_int_equal(choose(node, CHOOSE_NEAR).target, NEAR_OLD);
	node_free(node);
}

/* A node takes the version for withdrawn, but the move was done and its old targets ended. */
static void test_a_crossed_verdict_refuses_nobody(void **state)
{
	struct node *node = make_node();
	struct move_state withdrawn = { .id = MOVE_ID, .step = MOVE_STEPS, .from = LABEL("v1") };

	(void)state;
	withdrawn.withdrawn_at_us = 1;
	give_state(node, &withdrawn);
	assert_int_equal(choose(node, CHOOSE_FAR).kind, CHOICE_NO_TARGET);
	lose_member(node, NEAR_OLD, "a");
	assert_int_equal(choose(node, CHOOSE_FAR).target, FAR_NEW);
	node_free(node);
}

/* A call that the old version's targets have no room for is refused: a version under trial gets its
 * share, not what is left over. */
static void test_a_version_under_trial_takes_no_overflow(void **state)
{
	struct node *node = make_node();
	struct move_state begun = { .id = MOVE_ID, .step = 3, .from = LABEL("v1") };
	struct config *config = node_config(node);
	struct call_facts facts = { .route = config_find_route(config, LABEL("r")),
				    .point = 9000,
				    .avoid = { NEAR_OLD },
				    .avoid_count = 1 };

	(void)state;
	give_state(node, &begun);
	assert_int_equal(node_choose(node, config, &facts, at_s(1)).kind, CHOICE_NO_TARGET);
	config_unref(config);
	node_free(node);
}

enum { FIRST_OF_NINE = 10, OF_NINE = 9 };

static struct node *make_nine(void)
{
	struct node *node = make_node();

	lose_member(node, FAR_NEW, "b");
	lose_member(node, NEAR_OLD, "a");
	for (uint64_t i = 0; i < OF_NINE; i++)
		give_member(node, FIRST_OF_NINE + i, "a", "v1");
	return node;
}

/* Targets that a hundred calls go to. */
static int targets_in_use(struct node *node)
{
	bool used[FIRST_OF_NINE + OF_NINE] = { false };
	int count = 0;

	for (int i = 0; i < 100; i++)
		used[choose(node, CHOOSE_ANYWHERE).target] = true;
	for (uint64_t i = FIRST_OF_NINE; i < FIRST_OF_NINE + OF_NINE; i++)
		count += used[i];
	return count;
}

static void end_calls(struct node *node, uint64_t target, int count, enum call_outcome outcome)
{
	struct actions actions = actions_new();

	for (int i = 0; i < count; i++)
		node_call_ended(node, LABEL("s"), target, outcome, at_s(1), &actions);
	actions_clear(&actions);
}

/*
 * The load of argyris-cat trouble-1, seed 1095237517527: a service that all targets call is out, so
 * that all fail. Ejected one after the other, they served nobody for ten seconds, and what called
 * them failed in turn.
 */
static void test_a_fault_of_all_targets_ejects_none(void **state)
{
	struct node *node = make_nine();

	(void)state;
	for (int round = 0; round < 20; round++)
		for (uint64_t i = 0; i < OF_NINE; i++)
			end_calls(node, FIRST_OF_NINE + i, 1, CALL_FAILED);
	assert_int_equal(targets_in_use(node), OF_NINE);
	node_free(node);
}

static void test_a_target_that_stands_out_is_ejected(void **state)
{
	struct node *node = make_nine();

	(void)state;
	end_calls(node, FIRST_OF_NINE, 10, CALL_FAILED);
	assert_int_equal(targets_in_use(node), OF_NINE - 1);
	end_calls(node, FIRST_OF_NINE + 1, 10, CALL_BROKEN);
	assert_int_equal(targets_in_use(node), OF_NINE - 2);
	node_free(node);
}

/* The load of acrm-suivi-grown scale-2: 25 of 81 nodes are stopped in ten seconds, and each target
 * is missed. During the notice only callers go elsewhere. */
static void test_a_node_that_retires_lends_its_target_on(void **state)
{
	struct event up = { .kind = EVENT_TARGET_UP };
	struct event retire = { .kind = EVENT_RETIRE };
	struct event stop = { .kind = EVENT_STOP };
	struct ticket ticket = { .now_or_never = true };
	struct node *node = make_node();

	(void)state;
	up.target.service = LABEL("s");
	up.target.version = LABEL("v1");
	up.target.slots = 4;
	handle(node, &up);
	assert_true(node_is_ready(node));
	handle(node, &retire);
	assert_false(node_is_ready(node));
	assert_int_equal(members_self(node_members(node)).state, MEMBER_ALIVE);
	assert_int_equal(admit_offer(node_admit(node), &ticket, at_s(1)), ADMIT_RUN);
	handle(node, &stop);
	assert_int_equal(members_self(node_members(node)).state, MEMBER_LEAVING);
	assert_int_equal(admit_offer(node_admit(node), &ticket, at_s(1)), ADMIT_CLOSED);
	node_free(node);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_new_version_elsewhere_gets_its_share),
		cmocka_unit_test(test_a_version_without_any_target_is_stood_in_for),
		cmocka_unit_test(test_a_crossed_verdict_refuses_nobody),
		cmocka_unit_test(test_a_version_under_trial_takes_no_overflow),
		cmocka_unit_test(test_a_fault_of_all_targets_ejects_none),
		cmocka_unit_test(test_a_target_that_stands_out_is_ejected),
		cmocka_unit_test(test_a_node_that_retires_lends_its_target_on),
	};

	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
