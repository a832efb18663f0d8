/**
 * @file
 * Header field names and status codes of an interface to callers and targets. The daemon selects
 * an interface at start; no other code contains these names.
 */
#ifndef CORE_DIALECT_H
#define CORE_DIALECT_H

#include <stdbool.h>

#include "base/str.h"
#include "base/verdict.h"

/** Names and statuses of one interface. An empty name means that it has no such field. */
struct dialect {
	struct str deadline_ms;	    /**< request: how long the caller still waits */
	struct str request_id;	    /**< request; repeated in the answers of targets and nodes */
	struct str caller_service;  /**< request, set by the entry node: the service that calls */
	struct str expected_target; /**< request to a target: id of the target that may run it */
	struct str target_id;	    /**< health answer: the target's id */
	struct str load;	    /**< answer: "running,waiting,slots" of the target */
	struct str not_run;	    /**< answer: the target did not run the request */
	struct str signature;	    /**< answer: a success without it is not from the target */
	struct str verdict;	    /**< answer, set by the entry node */
	int misdirected_status;	    /**< answer of a target that is not the expected one; 0: none */
	int may_have_run_status;    /**< verdict "may have run" */
	int may_have_run_late_status; /**< verdict "may have run" after the deadline */
	int not_run_late_status;      /**< verdict "not run" after the deadline */
	int no_configuration_status;  /**< verdict "not run" without any configuration */
	bool fractional_times;	      /**< Retry-After may be a fraction of a second */
};

/** The native interface; see docs/CALLERS.md and docs/TARGET-CONTRACT.md. */
extern const struct dialect dialect_native;

#endif
