/**
 * @file
 * How an interface to callers and targets says what the system needs to know: the names of its
 * header fields and its statuses. The daemon picks one at its start; the rest of the code knows
 * none of these names.
 */
#ifndef CORE_DIALECT_H
#define CORE_DIALECT_H

#include <stdbool.h>

#include "base/str.h"
#include "base/verdict.h"

/** An empty name: the interface has no such field. */
struct dialect {
	struct str deadline_ms; /**< request: milliseconds that the caller still waits */
	struct str request_id;	/**< request; targets repeat it, and so do the system's answers */
	struct str caller_service; /**< request, set by the entry: service of the VM it came from */
	struct str expected_target; /**< request to a target: the id of the one that may run it */
	struct str target_id;	    /**< health answer: the target's id */
	struct str load;	    /**< answer: "running,waiting,slots" of the target */
	struct str not_run;	    /**< answer: the target did not run the request */
	struct str signature;	    /**< answer: without it a success is none of the target's */
	struct str verdict;	    /**< answer, set by the entry */
	int misdirected_status;	    /**< answer of a target that is not the expected one; 0: none */
	int unsure_status;	    /**< for "may have run" */
	int late_status;	    /**< for "may have run" once the deadline passed */
	int not_run_late_status;    /**< for "not run" then */
	int no_configuration_status; /**< for "not run" where no configuration is known yet */
	bool fractional_times;	     /**< callers read fractions of seconds */
};

/** The product's own interface, docs/CALLERS.md and docs/TARGET-CONTRACT.md. */
extern const struct dialect dialect_own;

#endif
