#include "core/dialect.h"

enum { STATUS_NOT_FOUND = 404, STATUS_UNAVAILABLE = 503, STATUS_TIMEOUT = 504 };

#define NAME(literal)                                                                              \
	{                                                                                          \
		(literal), sizeof(literal) - 1                                                     \
	}

const struct dialect dialect_native = {
	.deadline_ms = NAME("Godwithitch-Deadline-Ms"),
	.not_run = NAME("Godwithitch-Not-Run"),
	.verdict = NAME("Godwithitch-Verdict"),
	.may_have_run_status = STATUS_UNAVAILABLE,
	.may_have_run_late_status = STATUS_UNAVAILABLE,
	.not_run_late_status = STATUS_TIMEOUT,
	.no_configuration_status = STATUS_NOT_FOUND,
};
