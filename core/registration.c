#include "core/registration.h"

static bool is_older_incarnation(const struct registration *known,
				 const struct heartbeat *heartbeat)
{
	if (heartbeat->started_ms && known->newest.started_ms)
		return heartbeat->started_ms < known->newest.started_ms;
	return false;
}

static bool is_same_incarnation(const struct registration *known, const struct heartbeat *heartbeat)
{
	if (!label_equal(&known->newest.id, &heartbeat->id))
		return false;
	return heartbeat->started_ms == 0 || known->newest.started_ms == 0 ||
	       heartbeat->started_ms == known->newest.started_ms;
}

static enum heartbeat_result replace_incarnation(struct registration *registration,
						 const struct heartbeat *heartbeat)
{
	/* A deregistration by another target than the known one is ignored. */
	if (heartbeat->kind == HEARTBEAT_DEREGISTER && registration->known)
		return HEARTBEAT_STALE;
	*registration = (struct registration){ .known = true, .newest = *heartbeat };
	registration->leaving = heartbeat->kind != HEARTBEAT_READY;
	registration->deregistered = heartbeat->kind == HEARTBEAT_DEREGISTER;
	return HEARTBEAT_REPLACED;
}

bool registration_is_in_doubt(const struct registration *registration,
			      const struct heartbeat *heartbeat)
{
	return !registration->known && heartbeat->kind == HEARTBEAT_READY;
}

enum heartbeat_result registration_apply(struct registration *registration,
					 const struct heartbeat *heartbeat)
{
	if (!registration->known)
		return replace_incarnation(registration, heartbeat);
	if (is_older_incarnation(registration, heartbeat))
		return HEARTBEAT_STALE;
	if (!is_same_incarnation(registration, heartbeat))
		return replace_incarnation(registration, heartbeat);
	if (registration->deregistered)
		return HEARTBEAT_STALE;
	if (heartbeat->kind == HEARTBEAT_DEREGISTER) {
		registration->leaving = true;
		registration->deregistered = true;
		return HEARTBEAT_ACCEPTED;
	}
	if (heartbeat->sequence && heartbeat->sequence <= registration->newest.sequence)
		return HEARTBEAT_STALE;
	/* An incarnation that is leaving does not become ready again. */
	if (registration->leaving && heartbeat->kind == HEARTBEAT_READY)
		return HEARTBEAT_STALE;
	registration->newest = *heartbeat;
	registration->leaving |= heartbeat->kind == HEARTBEAT_LEAVING;
	return HEARTBEAT_ACCEPTED;
}
