#include "base/clock.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

static int64_t read_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ts.tv_sec * US_PER_S + ts.tv_nsec / 1000;
}

struct instant clock_now(void)
{
	return (struct instant){
		.mono_us = read_us(CLOCK_MONOTONIC),
		.wall_us = read_us(CLOCK_REALTIME),
	};
}

struct deadline deadline_after(struct instant now, int64_t us)
{
	return (struct deadline){ now.mono_us + us };
}

bool deadline_passed(struct deadline deadline, struct instant now)
{
	return deadline.at_us != 0 && now.mono_us >= deadline.at_us;
}

int64_t deadline_remaining_us(struct deadline deadline, struct instant now)
{
	if (deadline.at_us == 0)
		return INT64_MAX;
	return deadline.at_us > now.mono_us ? deadline.at_us - now.mono_us : 0;
}

/* Parses exactly n digits at the start of *s and removes them from *s. */
static bool parse_digits(struct str *s, size_t n, int *value)
{
	int64_t number;

	if (s->len < n || !str_to_int64(str_sub(*s, 0, n), &number) || number < 0)
		return false;
	*value = (int)number;
	*s = str_sub(*s, n, s->len);
	return true;
}

static bool skip_char(struct str *s, char c)
{
	if (s->len == 0 || s->data[0] != c)
		return false;
	*s = str_sub(*s, 1, s->len);
	return true;
}

bool clock_parse_utc(struct str s, int64_t *wall_us)
{
	struct tm tm = { 0 };
	struct tm normalised;
	time_t seconds;

	if (!parse_digits(&s, 4, &tm.tm_year) || !skip_char(&s, '-') ||
	    !parse_digits(&s, 2, &tm.tm_mon) || !skip_char(&s, '-') ||
	    !parse_digits(&s, 2, &tm.tm_mday) || !skip_char(&s, 'T') ||
	    !parse_digits(&s, 2, &tm.tm_hour) || !skip_char(&s, ':') ||
	    !parse_digits(&s, 2, &tm.tm_min) || !skip_char(&s, ':') ||
	    !parse_digits(&s, 2, &tm.tm_sec) || !skip_char(&s, 'Z') || s.len != 0)
		return false;
	tm.tm_year -= 1900;
	tm.tm_mon -= 1;
	normalised = tm;
	seconds = timegm(&normalised);
	/* timegm() normalises fields that are out of range, so a changed field means a bad date. */
	if (normalised.tm_mday != tm.tm_mday || normalised.tm_mon != tm.tm_mon ||
	    normalised.tm_hour != tm.tm_hour || normalised.tm_min != tm.tm_min ||
	    normalised.tm_sec != tm.tm_sec)
		return false;
	*wall_us = (int64_t)seconds * US_PER_S;
	return true;
}

static void format_seconds(struct strbuf *out, int64_t wall_us)
{
	time_t seconds = wall_us / US_PER_S;
	struct tm tm;
	char text[32];

	gmtime_r(&seconds, &tm);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &tm);
	strbuf_add(out, str_from_cstr(text));
}

void clock_format_utc(struct strbuf *out, int64_t wall_us)
{
	format_seconds(out, wall_us);
	strbuf_add(out, STR("Z"));
}

void clock_format_utc_ms(struct strbuf *out, int64_t wall_us)
{
	format_seconds(out, wall_us);
	strbuf_addf(out, ".%03lldZ", wall_us % US_PER_S / US_PER_MS);
}
