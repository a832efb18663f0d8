#include "core/event.h"

static void action_clear(gpointer data)
{
	struct action *action = data;

	switch (action->kind) {
	case ACTION_SEND:
		message_unref(action->send.message);
		return;
	case ACTION_APPEND:
		log_record_clear(&action->append.record);
		return;
	case ACTION_READ_LOG:
	case ACTION_CLAIMED:
	case ACTION_CLAIM_ENDED:
	case ACTION_QUOTA:
	case ACTION_LOG_EVENT:
		return;
	}
	g_assert_not_reached();
}

struct actions actions_new(void)
{
	struct actions actions = { g_array_new(FALSE, TRUE, sizeof(struct action)) };

	g_array_set_clear_func(actions.list, action_clear);
	return actions;
}

void actions_clear(struct actions *actions)
{
	g_array_unref(actions->list);
	actions->list = NULL;
}

void actions_send(struct actions *actions, uint64_t to, struct message *message)
{
	struct action action = { .kind = ACTION_SEND, .send = { to, message } };

	g_array_append_val(actions->list, action);
}

void actions_read(struct actions *actions, enum log_stream stream, int partition, int64_t from,
		  struct deadline wait_until)
{
	struct action action = { .kind = ACTION_READ_LOG,
				 .read = { stream, partition, from, wait_until } };

	g_array_append_val(actions->list, action);
}

void actions_check_log(struct actions *actions, int64_t from)
{
	struct action action = { .kind = ACTION_READ_LOG };

	action.read.stream = STREAM_CONFIG;
	action.read.from = from;
	action.read.wait_until = (struct deadline){ 1 };
	action.read.check = true;
	g_array_append_val(actions->list, action);
}

void actions_append(struct actions *actions, enum log_stream stream, int partition, uint64_t tag,
		    struct log_record record)
{
	struct action action = { .kind = ACTION_APPEND,
				 .append = { stream, partition, tag, record } };

	g_array_append_val(actions->list, action);
}

void actions_claimed(struct actions *actions, uint64_t seq, enum claim_result result, int status)
{
	struct action action = { .kind = ACTION_CLAIMED, .claimed = { seq, result, status } };

	g_array_append_val(actions->list, action);
}

void actions_claim_ended(struct actions *actions, uint64_t claim)
{
	struct action action = { .kind = ACTION_CLAIM_ENDED, .claim_ended = claim };

	g_array_append_val(actions->list, action);
}

void actions_quota(struct actions *actions, const struct quota_result *result)
{
	struct action action = { .kind = ACTION_QUOTA, .quota = *result };

	g_array_append_val(actions->list, action);
}

void actions_log_event(struct actions *actions, enum log_event event, const char *format, ...)
{
	struct action action = { .kind = ACTION_LOG_EVENT, .log_event = { .event = event } };
	va_list args;

	va_start(args, format);
	g_vsnprintf(action.log_event.text, sizeof(action.log_event.text), format, args);
	va_end(args);
	g_array_append_val(actions->list, action);
}
