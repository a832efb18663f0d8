#include "core/stop.h"

#include <glib.h>

/* Time at the end of a stop for answers that targets give at their deadline, then for the node's
 * own answers, then for the exit: a third each. Cutting off a target's work at the latest possible
 * time serves most requests, so that a short stop reserves only a small part of itself. */
#define RESERVE_US (600 * US_PER_MS)

/* Time in which all nodes of a large fleet hear of one that leaves. */
#define HEARD_US (1 * US_PER_S)

enum { RESERVE_DIVISOR = 8, RESERVE_PARTS = 3 };

struct stop_plan stop_plan_at(const struct stop_options *options, struct instant now)
{
	int64_t reserve_us = MIN(RESERVE_US, options->within_us / RESERVE_DIVISOR);
	int64_t part_us = reserve_us / RESERVE_PARTS;
	int64_t work_us = options->within_us - reserve_us;

	int64_t notice_us = MIN(options->notice_us, work_us);

	return (struct stop_plan){
		.notice_ends_at = deadline_after(now, notice_us),
		.queue_ends_at = deadline_after(now, notice_us + (work_us - notice_us) / 2),
		.work_ends_at = deadline_after(now, work_us),
		.answer_at = deadline_after(now, work_us + part_us),
		.exit_at = deadline_after(now, options->within_us - part_us),
		.log_ends_at = deadline_after(now, options->within_us - part_us / 2),
	};
}

struct deadline stop_leave_at(const struct stop_plan *plan, struct instant now)
{
	return (struct deadline){ MIN(now.mono_us + HEARD_US, plan->work_ends_at.at_us) };
}

struct deadline stop_bound(const struct stop_plan *plan, struct deadline deadline)
{
	if (deadline.at_us && deadline.at_us < plan->work_ends_at.at_us)
		return deadline;
	return plan->work_ends_at;
}
