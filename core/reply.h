/**
 * @file
 * Answers that the node itself gives to a call. A status that promises that the request has not run
 * can be had only from the record of the call's attempts: the type of all other statuses has none.
 */
#ifndef CORE_REPLY_H
#define CORE_REPLY_H

#include <stdbool.h>

#include "base/verdict.h"
#include "core/dialect.h"

/**
 * What became of the attempts of one call. All zero: nothing was sent yet. Each attempt that is
 * sent towards a target may run until its end shows that it has not.
 */
struct attempt_record {
	int sent;    /**< attempts that were sent, to this node's target or to another node */
	int not_run; /**< those of them whose end showed that they have not run */
	bool closed; /**< the call was refused: nothing of it may be sent any more */
};

/** Notes that an attempt is about to be sent. Returns false if the call was refused before. */
bool attempt_record_begin(struct attempt_record *record);
/** Notes how an attempt that was begun has ended. */
void attempt_record_end(struct attempt_record *record, enum verdict verdict);
/** Returns the number of attempts that have run or may have run; running ones included. */
int attempt_record_may_have_run(const struct attempt_record *record);

/** Why a call is refused before it has run. */
enum refusal_cause {
	REFUSED_NO_TARGET,	  /**< no target takes it in time, or the node joins or stops */
	REFUSED_LATE,		  /**< its deadline passed */
	REFUSED_QUARANTINED,	  /**< the request crashed targets before */
	REFUSED_NO_ROUTE,	  /**< no route matches */
	REFUSED_NO_CONFIGURATION, /**< the node has none yet */
	REFUSED_MALFORMED,	  /**< the route needs a field that the request lacks */
	REFUSED_UNAUTHORIZED,	  /**< its key belongs to no tenant, or it has none */
	REFUSED_OVER_QUOTA,	  /**< its tenant's limit is used up */
};

/** Why the outcome of a call is not known. */
enum failure_cause {
	FAILED_ATTEMPT,	 /**< its attempt ended without an answer */
	FAILED_DEADLINE, /**< no answer came before its deadline */
	FAILED_KEY_HELD, /**< a request with its key was taken before, with an unknown outcome */
};

enum reply_kind {
	REPLY_NOT_RUN,	    /**< the request has not run and never will */
	REPLY_MAY_HAVE_RUN, /**< nothing is promised */
};

/** An answer of the node itself; the tag says which member holds. */
struct reply {
	enum reply_kind kind;
	union {
		enum refusal_cause refused; /**< REPLY_NOT_RUN */
		enum failure_cause failed;  /**< REPLY_MAY_HAVE_RUN */
	};
};

/**
 * Refuses a call. The reply promises that the request has not run only if no attempt of the call
 * may have run; the record is closed then, so that the promise stays true.
 */
struct reply reply_refuse(struct attempt_record *record, enum refusal_cause cause);
/** Gives up a call whose outcome is not known. */
struct reply reply_fail(enum failure_cause cause);

enum verdict reply_verdict(const struct reply *reply);
/** Returns the status of a reply; @p late: the call's deadline has passed. */
int reply_status(const struct reply *reply, const struct dialect *dialect, bool late);

#endif
