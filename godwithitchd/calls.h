/**
 * @file
 * Calls that callers made to this node, and their attempts at targets. Shared by answer.c,
 * attempt.c, calls.c, keys.c and expiry.c.
 */
#ifndef GODWITHITCHD_CALLS_H
#define GODWITHITCHD_CALLS_H

#include "core/placement.h"
#include "core/reply.h"
#include "godwithitchd/daemon.h"

enum {
	ATTEMPTS_DEFAULT = 4, /* attempts for routes that state no maximum */
	OFFERS_MAX = 16,      /* offers of one call to nodes, refused ones included */
	STATUS_SERVER_ERROR = 500,
};

/** A call, from its request until its caller has the answer. */
struct call {
	gint refs;
	struct daemon *daemon;
	struct caller_call *caller;
	enum access_knowledge knowledge; /* of newer versions than .config, read before it */
	struct config *config;
	const struct route *route;
	struct label service; /* destination of the route, chosen once */
	struct call_attributes attributes;
	struct label tenant;
	const struct tenant *key_tenant; /* of the caller's key, borrowed from config; NULL: none */
	enum traffic_class class;	 /* of the tenant, or else of the route */
	gint holds_token;		 /* atomic: a token of the tenant's limit */
	struct deadline token_until;	 /* then it may not be returned any more */
	int64_t retry_after_us;		 /* for a refusal; 0: chosen by the placement */
	struct deadline deadline;
	int64_t started_us;
	struct deadline objective; /* time by which the answer is due; 0: none is stated */
	bool retried;		   /* the caller was refused before */
	struct placement placement;
	gint answered;		 /* atomic: the call has its answer, or the head of one */
	int offers;		 /* offers to nodes */
	int attempts;		 /* failed attempts, without refusals by nodes */
	int status;		 /* status of the answer, for the counters */
	size_t answer_bytes;	 /* bytes of the forwarded answer's body */
	int64_t announced_bytes; /* Content-Length of a forwarded answer; -1: none */
	enum verdict verdict;
	uint64_t last_target;
	char reason[64];    /* reason of a generated answer */
	bool body_consumed; /* part of a streamed body was sent: no retry */
	struct lock lock;   /* LOCK_CALLS: record, current, abandoned, the attempt's upload */
	apr_pool_t *pool;
	struct attempt_record record;
	struct attempt *current; /* attempt in progress, one reference */
	bool abandoned;		 /* the caller disconnected or the deadline passed */
	guint open_index;	 /* index in daemon->open_calls plus one; 0: absent. daemon->lock */
	struct claim_key key;	 /* set for routes with REPEAT_AT_MOST_ONCE */
	uint64_t claim;		 /* number of the claim in progress or granted; 0: none */
	struct deadline held_until; /* an answer in daemon->held_answers */
};

/** What is known of the body that an attempt sends to another node. */
enum upload_state {
	UPLOAD_UNDECIDED, /**< the head is being sent */
	UPLOAD_OPEN,	  /**< the body follows the head, within the credit */
	UPLOAD_DONE,	  /**< all of it was sent */
};

/** One attempt of a call at one target. */
struct attempt {
	struct stream_owner owner; /* must be first: the link casts from it */
	struct call *call;
	uint64_t target;
	struct stream stream;	 /* stream to another node's target */
	struct inbound *inbound; /* request to this node's own target */
	gint finished;
	int64_t started_us;
	bool has_head;
	int status;
	size_t answer_bytes;
	size_t drained_bytes; /* bytes moved to the caller's output since the last window frame */
	size_t body_offset;   /* bytes of a small body that were read for the target */
	/* Upload to another node. Guarded by call->lock. */
	struct body_sum upload_sum;
	int64_t credit;
	bool forwarding;
	bool forward_again;
	enum upload_state upload_state;
};

/* calls.c */

void call_unref(struct call *call);
/** Starts a call that may run: claims its key, or starts the first attempt. */
void call_start(struct call *call);
/** Starts the next attempt. If none can be started, refuses the call. */
void call_try_target(struct call *call);
/**
 * Returns the point of a call in the shares of its route: a stable hash of @p key, or of the next
 * number of a sequence if the key is empty. Takes daemon->lock.
 */
uint64_t call_placement_point(struct daemon *daemon, struct str key);
/** Counts bytes that the call sends to its caller or to another node, since large answers of this
 *  node's target share the VM's link with them. Takes daemon->lock. */
void call_count_sent(const struct call *call, size_t bytes);
/** Returns the inputs of the placement decision at @p now. */
struct placement_inputs call_placement_inputs(const struct call *call, struct instant now);
/** Detaches the call from its attempt, which is cancelled; none follows. Takes call->lock. */
void call_abandon(struct call *call);
/** Returns the maximum number of attempts of the call. */
int call_attempts_max(const struct call *call);
/** Excludes a target from the call's next attempts. */
void call_exclude_target(struct call *call, uint64_t target);

/* answer.c */

/**
 * Refuses a call, and calls call_end_claim(). The answer, with @p reason in its body, promises that
 * the request has not run if no attempt may have run; nothing of the call is sent from then on.
 * Otherwise it is the answer of call_fail(). Returns false if the caller has an answer already: a
 * call may expire on one worker while it is refused on another. Takes call->lock.
 */
bool call_refuse(struct call *call, enum refusal_cause cause, struct str reason);
/** Gives up a call that may have run, and calls call_end_claim(). Returns as call_refuse(). */
bool call_fail(struct call *call, enum failure_cause cause, struct str reason);
/** Returns true once: to the code that answers the call. */
bool call_begin_answer(struct call *call);

/* tenants.c */

/** Sets the tenant and the class of a call by its caller's key. Returns false if it was refused. */
bool call_identify(struct call *call);
/** Takes a token of the tenant's limit, maybe later, and starts or refuses the call. Takes
 *  daemon->lock. */
void call_take_token(struct call *call, struct instant now);
/** Returns the token of a call that has not run. */
void call_return_token(struct call *call);

/* keys.c */

/**
 * Claims the idempotency key before the first attempt; answers the call if @p key is empty. Does
 * not block: calls_on_claim_result() continues the call. Takes daemon->lock.
 */
void call_start_claim(struct call *call, struct str key, struct instant now);
/**
 * Records how a claimed call ended. The key of a call that may have run stays held. The answer of a
 * call that ran waits until the log holds the outcome, 2 s at most and half of the time that is
 * left; to be called before its head is written. Takes daemon->lock.
 */
void call_end_claim(struct call *call, enum verdict verdict, int status);

/** Sends the answers that have waited for their records long enough. Takes daemon->lock. */
void calls_release_overdue(struct daemon *daemon, struct instant now);

/* expiry.c */

/** Adds the call to the open calls, whose deadlines calls_tick() checks. Takes daemon->lock. */
void call_open_add(struct call *call);
/** Removes the call from the open calls. Takes daemon->lock. */
void call_open_remove(struct call *call);

/* attempt.c */

/** Marks an attempt as finished. Returns false if it was finished before. */
bool attempt_finish(struct attempt *attempt);
/** Records what is known of a finished attempt's run. Takes call->lock. */
void attempt_settle(struct attempt *attempt, enum verdict verdict);
/** Cancels an attempt whose caller disconnected or whose deadline passed. */
void attempt_cancel(struct attempt *attempt);
/** Reports the outcome of an attempt to core. */
void attempt_record_outcome(struct attempt *attempt, enum call_outcome outcome);
/**
 * Starts the upload of an attempt whose head was sent to another node. With @p waits the body is
 * sent once that node grants it; otherwise a whole one has gone with the head. Takes call->lock.
 */
void attempt_begin_upload(struct attempt *attempt, bool waits);
/** Forwards bytes of the body to the other node, within the credit. Takes call->lock. */
void attempt_forward_upload(struct attempt *attempt);

#endif
