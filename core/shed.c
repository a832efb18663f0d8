#include "core/shed.h"

/* What a class is worth to its callers. */
static const double class_value[CLASS_COUNT] = {
	[CLASS_INTERACTIVE] = 4,
	[CLASS_STANDARD] = 2,
	[CLASS_BULK] = 1,
	[CLASS_BACKGROUND] = 1,
};

/* A late answer is of little use. */
#define LATE_FRACTION 0.25
/* A nested call takes the work of the call that waits for it with it. */
#define NESTED_FACTOR 3.0
/* A caller that was refused before often does not come back again. */
#define RETRIED_FACTOR 1.5
/* A call gives way only to one that is worth clearly more: work is an estimate. */
#define PREFER_FACTOR 1.5

#define WORK_MIN_US 1000
/* A caller that has waited longer has less time for another try. */
#define RECENT_US (250 * US_PER_MS)

double shed_cost(const struct shed_call *call)
{
	double value = class_value[call->class];

	if (!call->in_time)
		value *= LATE_FRACTION;
	if (call->nested)
		value *= NESTED_FACTOR;
	if (call->retried)
		value *= RETRIED_FACTOR;
	return value * US_PER_S / (double)MAX(call->work_us, WORK_MIN_US);
}

bool shed_prefers(const struct shed_call *other, const struct shed_call *waiting)
{
	return shed_cost(other) > PREFER_FACTOR * shed_cost(waiting);
}

bool shed_is_recent(int64_t queued_at_us, struct instant now)
{
	return now.mono_us - queued_at_us <= RECENT_US;
}
