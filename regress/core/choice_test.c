/* Tests of the choice of a version and a target across data centres. */
#include "regress/lib/check.h"

#include <apr_general.h>

#include "core/node.h"
#include "operator/parse.h"

#define CONFIG                                                                                     \
	"{\"services\":{\"s\":{\"versions\":\"any\"}},\"routes\":[{\"name\":\"r\",\"path\":\"/\"," \
	"\"service\":\"s\"}]}"
#define EVACUATE_A "{\"evacuate\":[\"a\"]}"
#define ORDER                                                                                      \
	"{\"moves\":[{\"service\":\"s\",\"to\":\"v2\",\"start\":\"2026-12-04T10:00:00Z\","         \
	"\"finish\":\"2026-12-04T10:00:20Z\"}]}"

enum { LOCAL_OLD = 2, REMOTE_NEW = 3, MOVE_ID = 2 * MOVES_PER_FILE };

static void handle(struct node *node, const struct event *event)
{
	struct actions actions = actions_new();

	node_handle(node, event, instant_at_s(1), &actions);
	actions_clear(&actions);
}

static void send_changes(struct node *node)
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
		parse_record_changes(&records[i]);
	handle(node, &event);
	for (int i = 0; i < 2; i++)
		log_record_clear(&records[i]);
}

static void send_change(struct node *node, int64_t offset, const char *file, const char *text)
{
	struct event event = { .kind = EVENT_LOG_BATCH };
	struct log_record record = { .kind = LOG_CHANGE, .offset = offset };
	char id[16];

	g_snprintf(id, sizeof(id), "%ld", offset);
	record.change = change_new(label_from(str_from_cstr(id)), label_from(str_from_cstr(file)),
				   CHANGE_ANY_BASE, str_from_cstr(text));
	parse_record_changes(&record);
	event.batch.stream = STREAM_CONFIG;
	event.batch.records = &record;
	event.batch.count = 1;
	event.batch.newest = offset;
	handle(node, &event);
	log_record_clear(&record);
}

static void send_member(struct node *node, uint64_t id, const char *data_centre,
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

static void send_move_state(struct node *node, const struct move_state *state)
{
	struct event event = { .kind = EVENT_MESSAGE };

	event.message.from = REMOTE_NEW;
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
	struct node *node = node_new(&options, instant_at_s(0), NULL);

	handle(node, &tick);
	send_changes(node);
	assert_true(node_is_current(node));
	send_member(node, LOCAL_OLD, "a", "v1");
	send_member(node, REMOTE_NEW, "b", "v2");
	return node;
}

static struct choice choose(struct node *node, enum choice_data_centre where)
{
	struct config *config = node_config(node);
	struct call_attributes attributes = { .route = config_find_route(config, LABEL("r")),
					      .data_centre = where };
	struct choice choice = node_choose_target(node, config, &attributes, instant_at_s(1));

	config_unref(config);
	return choice;
}

/* The share of a version with only remote targets goes to them, not to the old version. */
static void test_remote_version_gets_its_share(void **state)
{
	struct node *node = make_node();
	struct move_state done = { .id = MOVE_ID, .step = MOVE_STEPS, .from = LABEL("v1") };
	struct choice choice;

	(void)state;
	choice = choose(node, CHOOSE_LOCAL);
	assert_int_equal(choice.kind, CHOICE_TARGET);
	assert_int_equal(choice.target, LOCAL_OLD);
	done.done_at_us = 1;
	send_move_state(node, &done);
	assert_int_equal(choose(node, CHOOSE_LOCAL).kind, CHOICE_NO_TARGET);
	choice = choose(node, CHOOSE_REMOTE);
	assert_int_equal(choice.kind, CHOICE_TARGET);
	assert_int_equal(choice.target, REMOTE_NEW);
	node_free(node);
}

static void send_dead_member(struct node *node, uint64_t id, const char *data_centre)
{
	struct event event = { .kind = EVENT_MESSAGE };
	struct member dead = { .id = id,
			       .incarnation = 2,
			       .state = MEMBER_DEAD,
			       .data_centre = label_from(str_from_cstr(data_centre)),
			       .service = LABEL("s") };

	event.message.from = id;
	event.message.message = message_new(MESSAGE_MEMBERS);
	event.message.message->members = g_array_new(FALSE, FALSE, sizeof(dead));
	g_array_append_val(event.message.message->members, dead);
	handle(node, &event);
	message_unref(event.message.message);
}

static void test_version_without_targets_falls_back(void **state)
{
	struct node *node = make_node();
	struct move_state done = { .id = MOVE_ID, .step = MOVE_STEPS, .from = LABEL("v1") };

	(void)state;
	done.done_at_us = 1;
	send_move_state(node, &done);
	send_dead_member(node, REMOTE_NEW, "b");
	assert_int_equal(choose(node, CHOOSE_LOCAL).target, LOCAL_OLD);
	node_free(node);
}

/* A node on which a version is withdrawn uses it all the same once the old version's targets have
 * stopped, because the other nodes finished the move. Without a fallback the node would refuse all
 * calls. */
static void test_conflicting_verdicts_refuse_no_call(void **state)
{
	struct node *node = make_node();
	struct move_state withdrawn = { .id = MOVE_ID, .step = MOVE_STEPS, .from = LABEL("v1") };

	(void)state;
	withdrawn.withdrawn_at_us = 1;
	send_move_state(node, &withdrawn);
	assert_int_equal(choose(node, CHOOSE_REMOTE).kind, CHOICE_NO_TARGET);
	send_dead_member(node, LOCAL_OLD, "a");
	assert_int_equal(choose(node, CHOOSE_REMOTE).target, REMOTE_NEW);
	node_free(node);
}

/* A call that finds the old version's targets full is refused: a version under trial gets its share
 * of the calls and no overflow. */
static void test_version_under_trial_takes_no_overflow(void **state)
{
	struct node *node = make_node();
	struct move_state running = { .id = MOVE_ID, .step = 3, .from = LABEL("v1") };
	struct config *config = node_config(node);
	struct call_attributes attributes = { .route = config_find_route(config, LABEL("r")),
					      .point = 9000,
					      .avoid = { LOCAL_OLD },
					      .avoid_count = 1 };

	(void)state;
	send_move_state(node, &running);
	assert_int_equal(node_choose_target(node, config, &attributes, instant_at_s(1)).kind,
			 CHOICE_NO_TARGET);
	config_unref(config);
	node_free(node);
}

enum { FIRST_TARGET = 10, TARGETS = 9 };

static struct node *make_node_with_targets(void)
{
	struct node *node = make_node();

	send_dead_member(node, REMOTE_NEW, "b");
	send_dead_member(node, LOCAL_OLD, "a");
	for (uint64_t i = 0; i < TARGETS; i++)
		send_member(node, FIRST_TARGET + i, "a", "v1");
	return node;
}

/* Returns how many targets a hundred calls use. */
static int targets_in_use(struct node *node)
{
	bool used[FIRST_TARGET + TARGETS] = { false };
	int count = 0;

	for (int i = 0; i < 100; i++)
		used[choose(node, CHOOSE_ANYWHERE).target] = true;
	for (uint64_t i = FIRST_TARGET; i < FIRST_TARGET + TARGETS; i++)
		count += used[i];
	return count;
}

static void end_calls(struct node *node, uint64_t target, int count, enum call_outcome outcome)
{
	struct actions actions = actions_new();

	for (int i = 0; i < count; i++)
		node_call_ended(node, LABEL("s"), target, outcome, instant_at_s(1), &actions);
	actions_clear(&actions);
}

/*
 * All targets fail because a service that they call is unavailable. When they were ejected one
 * after the other, they served no calls for ten seconds, and their callers failed too. Seen in the
 * load of argyris-cat trouble-1, seed 1095237517527.
 */
static void test_failure_of_all_targets_ejects_none(void **state)
{
	struct node *node = make_node_with_targets();

	(void)state;
	for (int round = 0; round < 20; round++)
		for (uint64_t i = 0; i < TARGETS; i++)
			end_calls(node, FIRST_TARGET + i, 1, CALL_FAILED);
	assert_int_equal(targets_in_use(node), TARGETS);
	node_free(node);
}

static void test_outlier_is_ejected(void **state)
{
	struct node *node = make_node_with_targets();

	(void)state;
	end_calls(node, FIRST_TARGET, 10, CALL_FAILED);
	assert_int_equal(targets_in_use(node), TARGETS - 1);
	end_calls(node, FIRST_TARGET + 1, 10, CALL_BROKEN);
	assert_int_equal(targets_in_use(node), TARGETS - 2);
	node_free(node);
}

/* A retiring node's target serves calls until the node stops; only callers use other nodes. In the
 * load of acrm-suivi-grown scale-2, 25 of 81 nodes are stopped in ten seconds, and the slots of
 * each target are needed. */
static void test_retiring_node_still_admits_calls(void **state)
{
	struct event up = { .kind = EVENT_TARGET_UP };
	struct event retire = { .kind = EVENT_RETIRE };
	struct event stop = { .kind = EVENT_STOP };
	struct queue_entry entry = { .no_queue = true };
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
	assert_int_equal(admit_offer(node_admit(node), &entry, instant_at_s(1)), ADMIT_RUN);
	handle(node, &stop);
	assert_int_equal(members_self(node_members(node)).state, MEMBER_LEAVING);
	assert_int_equal(admit_offer(node_admit(node), &entry, instant_at_s(1)), ADMIT_CLOSED);
	node_free(node);
}

/* The target beside a stopping node goes on to announce itself. That opened admission again. */
static void test_stopped_node_stays_closed_to_calls(void **state)
{
	struct event up = { .kind = EVENT_TARGET_UP };
	struct event stop = { .kind = EVENT_STOP };
	struct queue_entry entry = { .no_queue = true };
	struct node *node = make_node();

	(void)state;
	up.target.service = LABEL("s");
	up.target.version = LABEL("v1");
	up.target.slots = 4;
	handle(node, &up);
	handle(node, &stop);
	handle(node, &up);
	assert_int_equal(admit_offer(node_admit(node), &entry, instant_at_s(1)), ADMIT_CLOSED);
	up.target.slots = 5;
	handle(node, &up);
	assert_int_equal(admit_offer(node_admit(node), &entry, instant_at_s(1)), ADMIT_CLOSED);
	assert_int_equal(members_self(node_members(node)).state, MEMBER_LEAVING);
	node_free(node);
}

/* Entry nodes offered calls to targets of an evacuated data centre, each offer a refusal more. The
 * nodes there still serve their own callers, through other data centres. */
static void test_evacuated_data_centre_is_not_chosen(void **state)
{
	struct node *node = make_node();

	(void)state;
	send_member(node, FIRST_TARGET, "b", "v1");
	assert_int_equal(choose(node, CHOOSE_LOCAL).target, LOCAL_OLD);
	send_change(node, 3, "evacuation", EVACUATE_A);
	assert_int_equal(choose(node, CHOOSE_LOCAL).kind, CHOICE_NO_TARGET);
	for (int i = 0; i < 50; i++)
		assert_int_equal(choose(node, CHOOSE_ANYWHERE).target, FIRST_TARGET);
	assert_true(node_is_ready(node));
	send_change(node, 4, "evacuation", "");
	assert_int_equal(choose(node, CHOOSE_LOCAL).target, LOCAL_OLD);
	node_free(node);
}

/* A version with targets only in an evacuated data centre has none: its calls were refused. */
static void test_evacuated_version_falls_back(void **state)
{
	struct node *node = make_node();
	struct move_state done = { .id = MOVE_ID, .step = MOVE_STEPS, .from = LABEL("v1") };

	(void)state;
	done.done_at_us = 1;
	send_move_state(node, &done);
	assert_int_equal(choose(node, CHOOSE_ANYWHERE).target, REMOTE_NEW);
	send_change(node, 3, "evacuation", "{\"evacuate\":[\"b\"]}");
	assert_int_equal(choose(node, CHOOSE_ANYWHERE).target, LOCAL_OLD);
	send_change(node, 4, "evacuation", EVACUATE_A);
	assert_int_equal(choose(node, CHOOSE_ANYWHERE).target, REMOTE_NEW);
	node_free(node);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_remote_version_gets_its_share),
		cmocka_unit_test(test_version_without_targets_falls_back),
		cmocka_unit_test(test_conflicting_verdicts_refuse_no_call),
		cmocka_unit_test(test_version_under_trial_takes_no_overflow),
		cmocka_unit_test(test_failure_of_all_targets_ejects_none),
		cmocka_unit_test(test_outlier_is_ejected),
		cmocka_unit_test(test_retiring_node_still_admits_calls),
		cmocka_unit_test(test_stopped_node_stays_closed_to_calls),
		cmocka_unit_test(test_evacuated_data_centre_is_not_chosen),
		cmocka_unit_test(test_evacuated_version_falls_back),
	};

	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
