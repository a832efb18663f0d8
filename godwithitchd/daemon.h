/**
 * @file
 * State of the daemon and the functions that its files share. The daemon passes events from the
 * other packages to core and executes the actions that core returns.
 */
#ifndef GODWITHITCHD_DAEMON_H
#define GODWITHITCHD_DAEMON_H

#include "base/lockorder.h"
#include "base/metrics.h"
#include "base/workers.h"
#include "caller/http.h"
#include "core/node.h"
#include "core/pace.h"
#include "core/registration.h"
#include "core/stop.h"
#include "godwithitchd/settings.h"
#include "operator/control.h"
#include "peer/peers.h"
#include "platform/heartbeat.h"
#include "platform/logclient.h"
#include "target/announce.h"
#include "target/call.h"

/** State of the process; all workers share it. */
struct daemon {
	struct settings settings;
	const struct dialect *dialect; /**< header fields and statuses of the interface in use */
	apr_pool_t *pool;
	struct metrics *metrics;
	struct workers *workers;
	struct memory *memory; /**< account of what callers make the process hold */
	struct peers *peers;
	struct node *node;
	struct logclient *logclient;
	struct target *target;
	struct caller *caller;
	struct control *control;
	struct announce_endpoint *announce;    /**< INTERFACE_NATIVE; NULL otherwise */
	struct heartbeat_endpoint *heartbeats; /**< INTERFACE_PLATFORM; NULL otherwise */
	struct watch tick_watch;
	struct deadline next_second_at; /**< used only by the worker that handles the tick */
	struct stop_plan stop;		/**< set before stop_begun, and not changed after */
	gint stop_begun;		/**< atomic, like the members below */
	gint stopping;			/**< new requests are refused */
	gint inbound_count;		/**< inbound requests, queued ones included */
	struct lock announcements;	/**< LOCK_ANNOUNCE; held while one takes effect */
	struct lock lock;		/**< LOCK_CALLS; protects all members below */
	int log_jobs;			/**< running appends, and reads of STREAM_KEYS */
	GQueue waiting_log_jobs;	/**< struct work; those that wait for one to end */
	struct line *line;		/**< of this VM, receiving */
	struct pace pace;		/**< rate limit of large answers to other nodes */
	struct deadline announcement_expires_at; /**< 0: no target is announced */
	struct registration registration;	 /**< registration of the target on this VM */
	struct announcement doubted; /**< announcement of registration.doubt, while that holds */
	struct deadline ask_at;	     /**< next question to the target of .doubted */
	bool asking;		     /**< a worker asks it */
	struct deadline discover_at; /**< next discovery; 0: none is due */
	bool discovering;	     /**< a worker runs a discovery */
	bool waited_for_others;	     /**< used only by the discovery: it has waited once */
	bool listed;		     /**< this node is in the platform's list of nodes */
	bool relisting;		     /**< it was, and the log has lost its entry */
	int64_t listed_era;	     /**< era (core/version.h) in which it was listed */
	GPtrArray *running_inbound;  /**< struct inbound at the target now, for crash reports */
	struct deadline crash_window_ends_at; /**< failures until then count as one crash */
	uint64_t next_point;		      /**< next number for call_placement_point() */
	int64_t used_version;		      /**< newest configuration that a call has used */
	GPtrArray *open_calls;		      /**< struct call, all with a deadline */
	GHashTable *pending_claims; /**< claim request number -> struct call, one reference */
	GHashTable *pending_tokens; /**< quota_result.waiter -> struct call, one reference */
	GHashTable *held_answers; /**< claim -> struct call, one reference; see call_end_claim() */
};

/* dispatch.c: events to core and its actions */

/** Passes an event to core and executes the resulting actions. */
void dispatch_event(struct daemon *daemon, const struct event *event);
/** Executes actions and clears the list. */
void dispatch_actions(struct daemon *daemon, struct actions *actions);
bool dispatch_start_timer(struct daemon *daemon, GError **error);
void dispatch_tick(struct daemon *daemon);
void dispatch_read_log(struct daemon *daemon, void *data);
void dispatch_append(struct daemon *daemon, void *data);
/** Frees the log's jobs that wait. To be called after the workers have ended. */
void dispatch_drop_log_jobs(struct daemon *daemon);
/** Completes and parses the changes of a peer's message, then passes it to core. */
void dispatch_peer_message(struct daemon *daemon, uint64_t from, struct message *message);
/** Adds this node to the platform's list of nodes and passes the nodes on it to core. */
void dispatch_discover(struct daemon *daemon);
/** Reports to core that an announced target no longer listens. */
void dispatch_target_down(struct daemon *daemon);
void dispatch_on_announcement(void *context, const struct announcement *announcement);
/** Asks the target of the doubted heartbeat whether it is up, and uses it if so. Blocks for up to
 *  300 ms. */
void dispatch_settle_doubt(struct daemon *daemon);

/** Values of stream_owner.kind: the type of the object that owns a stream. */
enum owner_kind { OWNER_ATTEMPT, OWNER_INBOUND };

struct attempt;
struct inbound;

/* calls.c, attempt.c, keys.c, expiry.c: calls that entered at this node */

void calls_on_caller(void *context, const struct caller_event *event);
/** Continues a call with the result of claiming its idempotency key. */
void calls_on_claim_result(struct daemon *daemon, uint64_t seq, enum claim_result result,
			   int status);
/** Continues a call that waited for a token of its tenant's limit. */
void calls_on_quota(struct daemon *daemon, const struct quota_result *result);
/** Sends the answer of a call whose outcome the log holds. */
void calls_on_claim_ended(struct daemon *daemon, uint64_t claim);
/** Ends calls that are still open shortly after their deadline: answers them, or truncates the
 *  answer if its head was sent. Sends answers that have waited for their records long enough. */
void calls_tick(struct daemon *daemon, struct instant now);
/** Returns the deadline of a target's work on a call: during a stop it may be before the call's. */
struct deadline calls_work_deadline(const struct daemon *daemon, struct deadline deadline);
/** Answers all open calls whose callers have no head of an answer: the process is about to exit. */
void calls_end(struct daemon *daemon);
void calls_on_peer(struct attempt *attempt, struct peer_event *event);
struct attempt *attempt_ref(struct attempt *attempt);
void attempt_unref(struct attempt *attempt);
void attempt_forward_head(struct attempt *attempt, const struct response_head *head);
/** Forwards body bytes of this node's own target. Blocks until the caller's buffer has room;
 *  returns false if the caller disconnected or @p deadline passed. */
bool attempt_forward_body(struct attempt *attempt, struct str bytes, struct deadline deadline);
void attempt_end(struct attempt *attempt);
void attempt_refused(struct attempt *attempt, const struct refusal *refusal);
void attempt_connection_lost(struct attempt *attempt, enum verdict verdict);
/** Reads the request body for this node's own target. Blocks; returns the number of bytes. */
size_t attempt_read_body(struct attempt *attempt, char *into, size_t cap, enum pipe_end *end,
			 struct deadline deadline);

/* inbound.c: inbound requests, which are calls for this node's own target */

struct inbound *inbound_new_remote(struct daemon *daemon, struct peer_event *event);
/** Creates an inbound request for a call that entered at this node. */
struct inbound *inbound_new_local(struct daemon *daemon, struct attempt *attempt,
				  const struct request_head *head, bool has_body);
/** Queues the request, posts it to a worker or refuses it through attempt_refused(). */
void inbound_admit_local(struct inbound *inbound);
void inbound_on_peer(struct inbound *inbound, struct peer_event *event);
/** Cancels the request. Returns true if its target has got nothing of it and never will. */
bool inbound_cancel(struct inbound *inbound);
struct inbound *inbound_ref(struct inbound *inbound);
void inbound_unref(struct inbound *inbound);
/** Runs the request, then queued ones while slots are free; takes over a reference. */
void inbound_run(struct inbound *inbound);
/** Refuses queued requests that can't run in time and starts those that may run now. */
void inbound_dispatch_queue(struct daemon *daemon);

#endif
