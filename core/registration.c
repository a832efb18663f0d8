#include "core/registration.h"

static bool is_older(const struct registration *known, const struct beat *beat)
{
	if (beat->born_ms && known->newest.born_ms)
		return beat->born_ms < known->newest.born_ms;
	return false;
}

static bool is_same(const struct registration *known, const struct beat *beat)
{
	if (!label_equal(&known->newest.id, &beat->id))
		return false;
	return beat->born_ms == 0 || known->newest.born_ms == 0 ||
	       beat->born_ms == known->newest.born_ms;
}

static enum beat_result replace(struct registration *registration, const struct beat *beat)
{
	/* The goodbye of a target that is not the known one concerns nobody. */
	if (beat->kind == BEAT_GOODBYE && registration->known)
		return BEAT_STALE;
	*registration = (struct registration){ .known = true, .newest = *beat };
	registration->leaving = beat->kind != BEAT_READY;
	registration->gone = beat->kind == BEAT_GOODBYE;
	return BEAT_REPLACED;
}

enum beat_result registration_take(struct registration *registration, const struct beat *beat)
{
	if (!registration->known)
		return replace(registration, beat);
	if (is_older(registration, beat))
		return BEAT_STALE;
	if (!is_same(registration, beat))
		return replace(registration, beat);
	if (registration->gone)
		return BEAT_STALE;
	if (beat->kind == BEAT_GOODBYE) {
		registration->leaving = true;
		registration->gone = true;
		return BEAT_TAKEN;
	}
	if (beat->sequence && beat->sequence <= registration->newest.sequence)
		return BEAT_STALE;
	/* A target that leaves does not come back as the same incarnation. */
	if (registration->leaving && beat->kind == BEAT_READY)
		return BEAT_STALE;
	registration->newest = *beat;
	registration->leaving |= beat->kind == BEAT_LEAVING;
	return BEAT_TAKEN;
}
