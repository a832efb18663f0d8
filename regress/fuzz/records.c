/* Records of the log and of the platform's store; the first byte chooses the reader. */
#include <glib.h>

#include "platform/document.h"
#include "platform/record.h"
#include "regress/fuzz/fuzz.h"

enum reader { READ_RECORD, READ_CONFIG, READ_ROLLOUT, READ_EVACUATION, READ_STATUS, READ_NODE_KEY };

static void read_log_record(enum log_stream stream, struct str bytes)
{
	struct log_record record;

	record_decode(stream, 1, bytes, &record);
	log_record_clear(&record);
}

static void read_document(struct str key, struct str bytes)
{
	struct change *change = document_decode_change(
		key, bytes, 1, (struct instant){ 0, 1700000000LL * US_PER_S });

	if (change)
		change_unref(change);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct str bytes = { (const char *)data + 1, size - 1 };
	struct saved_move move;
	uint64_t member;

	if (size < 1)
		return 0;
	switch ((enum reader)(data[0] & 7)) {
	case READ_RECORD:
		read_log_record((enum log_stream)(data[0] >> 3 & 1), bytes);
		break;
	case READ_CONFIG:
		read_document(STR("config"), bytes);
		break;
	case READ_ROLLOUT:
		read_document(STR("rollout/s"), bytes);
		break;
	case READ_EVACUATION:
		read_document(STR("evacuate/z"), bytes);
		break;
	case READ_STATUS:
		document_decode_status(bytes, &move);
		break;
	case READ_NODE_KEY:
		document_decode_node_key(bytes, &member);
		break;
	}
	return 0;
}
