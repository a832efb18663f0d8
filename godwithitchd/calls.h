/**
 * @file
 * A call that entered here and its attempts: what calls.c and attempt.c share.
 */
#ifndef GODWITHITCHD_CALLS_H
#define GODWITHITCHD_CALLS_H

#include "core/placement.h"
#include "godwithitchd/daemon.h"

enum {
	ATTEMPTS_MAX = 4,
	OFFERS_MAX = 16, /* of one call, whatever nodes answer */
	STATUS_BAD_REQUEST = 400,
	STATUS_NOT_FOUND = 404,
	STATUS_CONFLICT = 409,
	STATUS_TOO_MANY = 429,
	STATUS_SERVER_ERROR = 500,
	STATUS_UNAVAILABLE = 503,
	STATUS_TIMEOUT = 504,
};

/** A call from its entry to its answer. */
struct call {
	gint refs;
	struct daemon *daemon;
	struct caller_call *caller;
	struct config *config;
	const struct route *route;
	struct label service; /* of the route's parts, chosen once */
	struct call_facts facts;
	struct label tenant;
	struct deadline deadline;
	int64_t started_us;
	struct deadline objective; /* an answer after it is late; 0: none is stated */
	bool returned;		   /* its caller was refused before */
	struct placement placement;
	int offers;   /* to nodes */
	int attempts; /* that reached a target */
	int status;   /* what the caller got, for the counters */
	enum verdict verdict;
	uint64_t last_target;
	char reason[64];  /* of an answer of the system's own */
	int unsure;	  /* attempts that may have run */
	bool body_used;	  /* bytes of a streamed body were sent: no repeat */
	struct lock lock; /* LOCK_CALLS */
	apr_pool_t *pool;
	struct attempt *current; /* one reference */
	bool gone;
	guint open_at;	      /* in daemon->open, plus one; 0: not there. Under daemon->lock */
	struct claim_key key; /* of a route with REPEAT_AT_MOST_ONCE */
	uint64_t claim;	      /* granted; 0: none */
};

/** One try of a call at one target. */
struct attempt {
	struct stream_owner owner; /* first: the link knows it by this */
	struct call *call;
	uint64_t target;
	struct stream stream; /* to another node */
	struct serve *serve;  /* at this node's own target */
	gint over;
	int64_t started_us;
	bool has_head;
	int status;
	size_t answer_bytes;
	size_t taken;	/* bytes the caller took since the last window frame */
	size_t body_at; /* of a small body, what the own target has */
	/* Upload to another node; under call->lock. */
	struct body_sum sent;
	int64_t credit;
	bool pumping;
	bool pump_again;
	bool upload_ended;
};

/* calls.c */

void call_unref(struct call *call);
/** Starts the next attempt, or answers why there is none. Every way there is NOT_RUN. */
void call_try_target(struct call *call);
/** What places a call: its key's stable hash, or the next of a sequence without one. */
uint64_t call_make_point(struct daemon *daemon, struct str key);
struct placement_facts call_placement_facts(const struct call *call, struct instant now);
/** Targets that the call may be sent to. */
int call_attempts_max(const struct call *call);
/** The call's next attempts leave out this target. */
void call_avoid(struct call *call, uint64_t target);

/* answer.c */

/** Gives an answer of the system's own. */
void call_answer(struct call *call, int status, enum verdict verdict, struct str reason);

/* keys.c */

/** Claims the key first; calls_on_claimed() goes on. No worker waits meanwhile. */
void call_start_claim(struct call *call, struct str key, struct instant now);
/** Records how a claimed call ended. What may have run keeps its key for good. */
void call_end_claim(struct call *call, enum verdict verdict, int status);

/* overdue.c */

/** Watches over the call's deadline. */
void call_open_add(struct call *call);
void call_open_remove(struct call *call);

/* attempt.c */

/** Ends an attempt once; false if it is over already. */
bool attempt_finish(struct attempt *attempt);
/** The caller gave up, or its deadline passed: the target's node may stop. */
void attempt_cancel(struct attempt *attempt);
/** Tells core how it ended. */
void attempt_note(struct attempt *attempt, enum call_outcome outcome);
/** Sends on what came of the request's body, as far as the credit goes. */
void attempt_pump(struct attempt *attempt);

#endif
