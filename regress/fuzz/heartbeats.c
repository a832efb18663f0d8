/* Heartbeats of the target beside the node. */
#include <glib.h>

#include "platform/heartbeat.h"
#include "regress/fuzz/fuzz.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct instant now = { US_PER_S, US_PER_S };
	struct announcement announcement = { 0 };

	if (heartbeat_decode((struct str){ (const char *)data, size }, now, US_PER_S,
			     &announcement))
		g_assert(announcement.slots > 0 && announcement.port > 0);
	return 0;
}
