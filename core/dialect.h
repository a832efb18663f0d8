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

/** Statuses of a call that has not run. */
enum refusal_status {
	STATUS_BAD_REQUEST = 400,
	STATUS_UNAUTHORIZED = 401,
	STATUS_NOT_FOUND = 404,
	STATUS_TOO_MANY = 429,
	STATUS_UNAVAILABLE = 503,
	STATUS_LATE = 504,
};

/** Statuses of a call that may have run; none of them promises that it has not. */
enum failure_status {
	STATUS_CONFLICT = 409,
	STATUS_BAD_GATEWAY = 502,
	STATUS_GATEWAY_TIMEOUT = 504,
};

/** Names and statuses of one interface. An empty name means that it has no such field. */
struct dialect {
	struct str deadline_ms;	    /**< request: how long the caller still waits */
	struct str request_id;	    /**< request; repeated in the answers of targets and nodes */
	struct str caller_service;  /**< request, set by the entry node: the service that calls */
	struct str tenant;	    /**< request to a target, set by the entry node: the tenant */
	struct str expected_target; /**< request to a target: id of the target that may run it */
	struct str target_id;	    /**< health answer: the target's id */
	struct str warmup_left_ms;  /**< health answer: how long the target stays cold */
	struct str load;	    /**< answer: "running,waiting,slots" of the target */
	struct str not_run;	    /**< answer: the target did not run the request */
	struct str signature;	    /**< answer: a success without it is not from the target */
	struct str verdict;	    /**< answer, set by the entry node */
	int misdirected_status;	    /**< answer of a target that is not the expected one; 0: none */
	enum refusal_status late_status;	     /**< not run, and the deadline has passed */
	enum refusal_status no_configuration_status; /**< not run, without any configuration */
	bool statuses_promise; /**< a refusal's status alone says that the request has not run */
	bool fractional_times; /**< Retry-After may be a fraction of a second */
};

/** What a target's answer says about its request. */
enum answer_statement {
	STATES_RAN,	/**< it is the answer of a request that has run */
	STATES_NOT_RUN, /**< the target did not run the request */
	/** It has the status of a refusal, but not the field: the caller would take the status for
	 * a promise that the target did not make. */
	STATES_NOTHING,
};

/** Returns what an answer says; @p has_not_run_field: it has the dialect's field not_run. */
enum answer_statement dialect_answer_statement(const struct dialect *dialect, int status,
					       bool has_not_run_field);

/** The native interface; see docs/CALLERS.md and docs/TARGET-CONTRACT.md. */
extern const struct dialect dialect_native;

#endif
