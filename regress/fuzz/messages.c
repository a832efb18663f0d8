/* Messages between nodes: what can be decoded is the same after it was encoded and decoded again.
 */
#include <glib.h>

#include "operator/parse.h"
#include "peer/codec.h"
#include "regress/fuzz/fuzz.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct message *message = codec_decode((struct str){ (const char *)data, size });
	struct strbuf first = { NULL, 0, 0 };
	struct strbuf second = { NULL, 0, 0 };
	struct message *again;

	if (!message)
		return 0;
	parse_message_changes(message);
	codec_encode(message, &first);
	again = codec_decode(strbuf_str(&first));
	g_assert(again);
	codec_encode(again, &second);
	g_assert(str_equal(strbuf_str(&first), strbuf_str(&second)));
	message_unref(message);
	message_unref(again);
	strbuf_clear(&first);
	strbuf_clear(&second);
	return 0;
}
