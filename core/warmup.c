#include "core/warmup.h"

#include <glib.h>

static const struct warmup_options default_options = { .cold_factor = 1.5, .cold_allowance = 8 };

/* Calls that start within this many seconds may reach the target within one: the time from the
 * start of a call to its arrival varies by up to 250 ms on a busy VM. */
#define ARRIVAL_WINDOW_S 1.25

/* Part of the allowance that is used for bursts; the rest covers calls that are sent twice, when a
 * kept connection turns out to be closed. */
#define BURST_FRACTION 0.5

/* Part of the stated rate that is used even where the allowance has no room for a burst of one
 * call. */
#define RATE_FRACTION_MIN 0.1

/* The queue of a cold target is looked at by the tick, up to this long after a token came. */
#define WAKE_US (100 * US_PER_MS)

/* Two heartbeats of 1.5 s and the delay of a third are missing. */
#define SILENCE_US (4 * US_PER_S)

struct str cold_cause_name(enum cold_cause cause)
{
	switch (cause) {
	case COLD_NOT:
		return STR("warm");
	case COLD_STARTED:
		return STR("started");
	case COLD_STATED:
		return STR("stated");
	case COLD_REOPENED:
		return STR("reopened");
	case COLD_SILENT:
		return STR("silent");
	}
	g_assert_not_reached();
}

/* Returns the calls that a cold target may get in any second. */
static double calls_per_second_max(const struct warmup *warmup)
{
	return warmup->rule.per_s * warmup->options.cold_factor + warmup->options.cold_allowance;
}

/* Returns the capacity of the bucket. At least one call has to fit. */
static double burst(const struct warmup *warmup)
{
	return MAX(warmup->options.cold_allowance * BURST_FRACTION, 1);
}

/* Returns the rate that, with a burst, keeps each second within the limit. */
static double fill_per_s(const struct warmup *warmup)
{
	double without_burst = calls_per_second_max(warmup) - burst(warmup);
	double stated = warmup->rule.per_s * warmup->options.cold_factor;

	return CLAMP(without_burst, RATE_FRACTION_MIN * stated, stated) / ARRIVAL_WINDOW_S;
}

/* Returns the tokens at @p now. */
static double tokens_at(const struct warmup *warmup, struct instant now)
{
	double elapsed_s = (double)(now.mono_us - warmup->filled_at_us) / US_PER_S;

	return MIN(warmup->tokens + elapsed_s * fill_per_s(warmup), burst(warmup));
}

void warmup_init(struct warmup *warmup, const struct warmup_options *options)
{
	*warmup = (struct warmup){ .options = options ? *options : default_options };
}

void warmup_set_rule(struct warmup *warmup, const struct warmup_rule *rule, struct instant now)
{
	if (warmup->rule.per_s == rule->per_s && warmup->rule.duration_us == rule->duration_us)
		return;
	/* Calls that have started still count under the new rule. */
	if (warmup->rule.per_s > 0)
		warmup->tokens = tokens_at(warmup, now);
	else if (warmup->last_start_us && now.mono_us - warmup->last_start_us < US_PER_S)
		warmup->tokens = 0;
	else
		warmup->tokens = burst(warmup);
	warmup->filled_at_us = now.mono_us;
	warmup->rule = *rule;
}

void warmup_note_cold(struct warmup *warmup, enum cold_cause cause, struct instant now)
{
	warmup->cause = cause;
	warmup->cold_since_us = now.mono_us;
}

void warmup_note_heartbeat(struct warmup *warmup, bool states_warmup, bool cold, struct instant now)
{
	warmup->states_warmup = states_warmup;
	warmup->silent_at =
		states_warmup ? deadline_after(now, SILENCE_US) : (struct deadline){ 0 };
	if (states_warmup && !cold)
		warmup->cause = COLD_NOT;
	else if (states_warmup && warmup->cause == COLD_NOT)
		warmup_note_cold(warmup, COLD_STATED, now);
}

enum cold_cause warmup_cause(const struct warmup *warmup, struct instant now)
{
	bool silent = warmup->silent_at.at_us && deadline_passed(warmup->silent_at, now);

	if (warmup->rule.per_s <= 0)
		return COLD_NOT;
	if (warmup->cause == COLD_NOT)
		return silent ? COLD_SILENT : COLD_NOT;
	if (!warmup->states_warmup &&
	    now.mono_us - warmup->cold_since_us >= warmup->rule.duration_us)
		return COLD_NOT;
	return warmup->cause;
}

bool warmup_may_start(const struct warmup *warmup, struct instant now)
{
	return warmup_cause(warmup, now) == COLD_NOT || tokens_at(warmup, now) >= 1;
}

void warmup_start(struct warmup *warmup, struct instant now)
{
	warmup->last_start_us = now.mono_us;
	if (warmup->rule.per_s <= 0)
		return;
	/* Calls from before the last second no longer count. */
	warmup->tokens = MAX(tokens_at(warmup, now) - 1, -fill_per_s(warmup));
	warmup->filled_at_us = now.mono_us;
}

int64_t warmup_wait_us(const struct warmup *warmup, int calls, struct instant now)
{
	double missing;

	if (warmup_cause(warmup, now) == COLD_NOT)
		return 0;
	missing = calls - tokens_at(warmup, now);
	return missing > 0 ? (int64_t)(missing / fill_per_s(warmup) * US_PER_S) + WAKE_US : 0;
}
