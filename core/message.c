#include "core/message.h"

struct str message_kind_name(enum message_kind kind)
{
	switch (kind) {
	case MESSAGE_PING:
		return STR("ping");
	case MESSAGE_ACK:
		return STR("ack");
	case MESSAGE_PING_REQUEST:
		return STR("ping_request");
	case MESSAGE_ADVERT:
		return STR("advert");
	case MESSAGE_PULL:
		return STR("pull");
	case MESSAGE_RECORDS:
		return STR("records");
	case MESSAGE_SNAPSHOT:
		return STR("snapshot");
	case MESSAGE_MEMBERS_ASK:
		return STR("members_ask");
	case MESSAGE_MEMBERS:
		return STR("members");
	case MESSAGE_MOVES:
		return STR("moves");
	case MESSAGE_EVIDENCE:
		return STR("evidence");
	case MESSAGE_RETRY:
		return STR("retry");
	case MESSAGE_POISON:
		return STR("poison");
	case MESSAGE_CENSUS_ASK:
		return STR("census_ask");
	case MESSAGE_CENSUS:
		return STR("census");
	case MESSAGE_CLAIM_ASK:
		return STR("claim_ask");
	case MESSAGE_CLAIM_ANSWER:
		return STR("claim_answer");
	case MESSAGE_CLAIM_END:
		return STR("claim_end");
	case MESSAGE_CLAIM_ENDED:
		return STR("claim_ended");
	case MESSAGE_CONFIRM_ASK:
		return STR("confirm_ask");
	case MESSAGE_CONFIRM:
		return STR("confirm");
	case MESSAGE_QUOTA_ASK:
		return STR("quota_ask");
	case MESSAGE_QUOTA_GRANT:
		return STR("quota_grant");
	case MESSAGE_MARKS_ASK:
		return STR("marks_ask");
	case MESSAGE_MARKS:
		return STR("marks");
	case MESSAGE_KINDS:
		break;
	}
	g_assert_not_reached();
}

struct message *message_new(enum message_kind kind)
{
	struct message *message = g_new0(struct message, 1);

	message->refs = 1;
	message->kind = kind;
	return message;
}

struct message *message_ref(struct message *message)
{
	g_atomic_int_inc(&message->refs);
	return message;
}

static void array_unref(GArray *array)
{
	if (array)
		g_array_unref(array);
}

void snapshot_part_clear(struct snapshot_part *part)
{
	if (part->files)
		g_ptr_array_unref(part->files);
	array_unref(part->states);
	part->files = NULL;
	part->states = NULL;
}

static void message_clear(struct message *message)
{
	switch (message->kind) {
	case MESSAGE_PING:
	case MESSAGE_ACK:
		array_unref(message->probe.members);
		return;
	case MESSAGE_RECORDS:
		for (int i = 0; i < message->records.count; i++)
			change_record_clear(&message->records.records[i]);
		g_free(message->records.records);
		return;
	case MESSAGE_SNAPSHOT:
		snapshot_part_clear(&message->snapshot);
		return;
	case MESSAGE_MEMBERS_ASK:
		g_free(message->buckets);
		return;
	case MESSAGE_MEMBERS:
		array_unref(message->members);
		return;
	case MESSAGE_MOVES:
		array_unref(message->states);
		return;
	case MESSAGE_EVIDENCE:
		array_unref(message->evidence.windows);
		return;
	case MESSAGE_MARKS:
		array_unref(message->marks);
		return;
	case MESSAGE_PING_REQUEST:
	case MESSAGE_ADVERT:
	case MESSAGE_PULL:
	case MESSAGE_RETRY:
	case MESSAGE_POISON:
	case MESSAGE_CENSUS_ASK:
	case MESSAGE_CENSUS:
	case MESSAGE_CLAIM_ASK:
	case MESSAGE_CLAIM_ANSWER:
	case MESSAGE_CLAIM_END:
	case MESSAGE_CLAIM_ENDED:
	case MESSAGE_CONFIRM_ASK:
	case MESSAGE_CONFIRM:
	case MESSAGE_QUOTA_ASK:
	case MESSAGE_QUOTA_GRANT:
	case MESSAGE_MARKS_ASK:
		return;
	case MESSAGE_KINDS:
		break;
	}
	g_assert_not_reached();
}

void message_unref(struct message *message)
{
	if (!message || !g_atomic_int_dec_and_test(&message->refs))
		return;
	message_clear(message);
	g_free(message);
}

void log_record_clear(struct log_record *record)
{
	switch (record->kind) {
	case LOG_CHANGE:
		change_unref(record->change);
		return;
	case LOG_SNAPSHOT:
		snapshot_part_clear(&record->snapshot);
		return;
	case LOG_CLAIMS:
		g_array_unref(record->claim_ops);
		return;
	case LOG_MOVE:
	case LOG_INVALID:
		return;
	}
	g_assert_not_reached();
}
