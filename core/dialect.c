#include "core/dialect.h"

enum { STATUS_REQUEST_TIMEOUT = 408, STATUS_MISDIRECTED = 421 };

#define NAME(literal)                                                                              \
	{                                                                                          \
		(literal), sizeof(literal) - 1                                                     \
	}

const struct dialect dialect_native = {
	.deadline_ms = NAME("Godwithitch-Deadline-Ms"),
	.tenant = NAME("Godwithitch-Tenant"),
	.not_run = NAME("Godwithitch-Not-Run"),
	.verdict = NAME("Godwithitch-Verdict"),
	.late_status = STATUS_LATE,
	.no_configuration_status = STATUS_NOT_FOUND,
};

static bool promises_not_run(int status)
{
	return status == STATUS_REQUEST_TIMEOUT || status == STATUS_MISDIRECTED ||
	       status == STATUS_TOO_MANY || status == STATUS_UNAVAILABLE;
}

enum answer_statement dialect_answer_statement(const struct dialect *dialect, int status,
					       bool has_not_run_field)
{
	if (has_not_run_field ||
	    (dialect->misdirected_status && status == dialect->misdirected_status))
		return STATES_NOT_RUN;
	return dialect->statuses_promise && promises_not_run(status) ? STATES_NOTHING : STATES_RAN;
}
