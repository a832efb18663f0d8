#include "core/reply.h"

#include <glib.h>

bool attempt_record_begin(struct attempt_record *record)
{
	if (record->closed)
		return false;
	record->sent++;
	return true;
}

void attempt_record_end(struct attempt_record *record, enum verdict verdict)
{
	switch (verdict) {
	case VERDICT_NOT_RUN:
		record->not_run++;
		return;
	case VERDICT_MAY_HAVE_RUN:
	case VERDICT_RAN:
		return;
	}
	g_assert_not_reached();
}

int attempt_record_may_have_run(const struct attempt_record *record)
{
	return record->sent - record->not_run;
}

struct reply reply_refuse(struct attempt_record *record, enum refusal_cause cause)
{
	if (attempt_record_may_have_run(record))
		return reply_fail(FAILED_ATTEMPT);
	record->closed = true;
	return (struct reply){ REPLY_NOT_RUN, { .refused = cause } };
}

struct reply reply_fail(enum failure_cause cause)
{
	return (struct reply){ REPLY_MAY_HAVE_RUN, { .failed = cause } };
}

enum verdict reply_verdict(const struct reply *reply)
{
	switch (reply->kind) {
	case REPLY_NOT_RUN:
		return VERDICT_NOT_RUN;
	case REPLY_MAY_HAVE_RUN:
		return VERDICT_MAY_HAVE_RUN;
	}
	g_assert_not_reached();
}

static enum refusal_status refusal_status(enum refusal_cause cause, const struct dialect *dialect)
{
	switch (cause) {
	case REFUSED_NO_TARGET:
		return STATUS_UNAVAILABLE;
	case REFUSED_LATE:
		return dialect->late_status;
	case REFUSED_QUARANTINED:
		return STATUS_TOO_MANY;
	case REFUSED_NO_ROUTE:
		return STATUS_NOT_FOUND;
	case REFUSED_NO_CONFIGURATION:
		return dialect->no_configuration_status;
	case REFUSED_MALFORMED:
		return STATUS_BAD_REQUEST;
	case REFUSED_UNAUTHORIZED:
		return STATUS_UNAUTHORIZED;
	case REFUSED_OVER_QUOTA:
		return STATUS_TOO_MANY;
	}
	g_assert_not_reached();
}

static enum failure_status failure_status(enum failure_cause cause, bool late)
{
	switch (cause) {
	case FAILED_ATTEMPT:
		return late ? STATUS_GATEWAY_TIMEOUT : STATUS_BAD_GATEWAY;
	case FAILED_DEADLINE:
		return STATUS_GATEWAY_TIMEOUT;
	case FAILED_KEY_HELD:
		return STATUS_CONFLICT;
	}
	g_assert_not_reached();
}

int reply_status(const struct reply *reply, const struct dialect *dialect, bool late)
{
	switch (reply->kind) {
	case REPLY_NOT_RUN:
		return (int)refusal_status(reply->refused, dialect);
	case REPLY_MAY_HAVE_RUN:
		return (int)failure_status(reply->failed, late);
	}
	g_assert_not_reached();
}
