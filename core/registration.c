#include "core/registration.h"

static bool is_older_incarnation(const struct registration *known, const struct beat *heartbeat)
{
	if (heartbeat->born_ms && known->newest.born_ms)
		return heartbeat->born_ms < known->newest.born_ms;
	return false;
}

static bool is_same_incarnation(const struct registration *known, const struct beat *heartbeat)
{
	if (!label_equal(&known->newest.id, &heartbeat->id))
		return false;
	return heartbeat->born_ms == 0 || known->newest.born_ms == 0 ||
	       heartbeat->born_ms == known->newest.born_ms;
}

static enum beat_result replace_incarnation(struct registration *registration,
					    const struct beat *heartbeat)
{
	/* A deregistration by another target than the known one is ignored. */
	if (heartbeat->kind == BEAT_GOODBYE && registration->known)
		return BEAT_STALE;
	*registration = (struct registration){ .known = true, .newest = *heartbeat };
	registration->leaving = heartbeat->kind != BEAT_READY;
	registration->deregistered = heartbeat->kind == BEAT_GOODBYE;
	return BEAT_REPLACED;
}

enum beat_result registration_take(struct registration *registration, const struct beat *heartbeat)
{
	if (!registration->known)
		return replace_incarnation(registration, heartbeat);
	if (is_older_incarnation(registration, heartbeat))
		return BEAT_STALE;
	if (!is_same_incarnation(registration, heartbeat))
		return replace_incarnation(registration, heartbeat);
	if (registration->deregistered)
		return BEAT_STALE;
	if (heartbeat->kind == BEAT_GOODBYE) {
		registration->leaving = true;
		registration->deregistered = true;
		return BEAT_TAKEN;
	}
	if (heartbeat->sequence && heartbeat->sequence <= registration->newest.sequence)
		return BEAT_STALE;
	/* An incarnation that is leaving does not become ready again. */
	if (registration->leaving && heartbeat->kind == BEAT_READY)
		return BEAT_STALE;
	registration->newest = *heartbeat;
	registration->leaving |= heartbeat->kind == BEAT_LEAVING;
	return BEAT_TAKEN;
}
