#include "core/registration.h"

static bool is_same_incarnation(const struct heartbeat *known, const struct heartbeat *heartbeat)
{
	if (!label_equal(&known->id, &heartbeat->id))
		return false;
	return heartbeat->started_ms == 0 || known->started_ms == 0 ||
	       heartbeat->started_ms == known->started_ms;
}

/* Returns whether a heartbeat is of an incarnation that has ended. A leaving one ends only those of
 * its own id: its start may be false, as it need not have confirmed it. */
static bool has_ended(const struct registration *registration, const struct heartbeat *heartbeat)
{
	const struct heartbeat *known = &registration->newest;

	if (registration->leaving && !label_equal(&known->id, &heartbeat->id))
		return false;
	return heartbeat->started_ms && known->started_ms &&
	       heartbeat->started_ms < known->started_ms;
}

static enum heartbeat_result replace_incarnation(struct registration *registration,
						 const struct heartbeat *heartbeat)
{
	*registration = (struct registration){ .known = true, .newest = *heartbeat };
	registration->leaving = heartbeat->kind != HEARTBEAT_READY;
	registration->deregistered = heartbeat->kind == HEARTBEAT_DEREGISTER;
	return HEARTBEAT_REPLACED;
}

static enum heartbeat_result doubt(struct registration *registration,
				   const struct heartbeat *heartbeat)
{
	if (registration->doubted && heartbeat->sequence &&
	    is_same_incarnation(&registration->doubt, heartbeat) &&
	    heartbeat->sequence <= registration->doubt.sequence)
		return HEARTBEAT_STALE;
	registration->doubted = true;
	registration->doubt = *heartbeat;
	return HEARTBEAT_DOUBTED;
}

/* The leaving of an incarnation that is not known. It need not state its start, unlike its
 * heartbeats. */
static enum heartbeat_result apply_end(struct registration *registration,
				       const struct heartbeat *heartbeat)
{
	struct heartbeat end = *heartbeat;

	if (registration->doubted && is_same_incarnation(&registration->doubt, heartbeat)) {
		end.started_ms = registration->doubt.started_ms;
		registration->doubted = false;
	}
	/* Another target than the known one was not in use. */
	if (registration->known && !label_equal(&registration->newest.id, &heartbeat->id))
		return HEARTBEAT_STALE;
	return replace_incarnation(registration, &end);
}

static enum heartbeat_result apply_known(struct registration *registration,
					 const struct heartbeat *heartbeat)
{
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

enum heartbeat_result registration_apply(struct registration *registration,
					 const struct heartbeat *heartbeat)
{
	if (registration->known && is_same_incarnation(&registration->newest, heartbeat))
		return apply_known(registration, heartbeat);
	if (registration->known && has_ended(registration, heartbeat))
		return HEARTBEAT_STALE;
	if (heartbeat->kind == HEARTBEAT_READY)
		return doubt(registration, heartbeat);
	return apply_end(registration, heartbeat);
}

enum heartbeat_result registration_confirm(struct registration *registration,
					   const struct heartbeat *heartbeat)
{
	struct heartbeat confirmed = registration->doubt;

	if (!registration->doubted || !is_same_incarnation(&confirmed, heartbeat))
		return HEARTBEAT_STALE;
	return replace_incarnation(registration, &confirmed);
}
