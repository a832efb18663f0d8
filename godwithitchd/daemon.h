/**
 * @file
 * Shared declarations of the daemon: it carries events between the packages and core.
 */
#ifndef GODWITHITCHD_DAEMON_H
#define GODWITHITCHD_DAEMON_H

#include "base/counter.h"
#include "base/lockorder.h"
#include "base/workers.h"
#include "caller/http.h"
#include "core/node.h"
#include "core/pace.h"
#include "core/registration.h"
#include "godwithitchd/settings.h"
#include "operator/control.h"
#include "peer/peers.h"
#include "platform/heartbeat.h"
#include "platform/logclient.h"
#include "target/announce.h"
#include "target/call.h"

struct daemon {
	struct settings settings;
	const struct dialect *dialect; /* of callers and targets */
	apr_pool_t *pool;
	struct metrics *metrics;
	struct workers *workers;
	struct peers *peers;
	struct node *node;
	struct logclient *logclient;
	struct target *target;
	struct caller *caller;
	struct control *control;
	struct announce *announce;     /* INTERFACE_OWN */
	struct heartbeats *heartbeats; /* INTERFACE_PLATFORM */
	struct watch tick_watch;
	struct deadline second_at; /* only the worker that has the tick */
	gint stopping;
	gint log_jobs;	  /* appends and short reads of the log under way */
	gint serving;	  /* calls at the own target, queued ones included */
	struct lock lock; /* LOCK_CALLS: all below */
	struct pace pace; /* of large answers to other nodes */
	struct deadline announced_until;
	struct registration registration; /* of the target on this VM */
	struct deadline discover_at;	  /* 0: not before it is needed again */
	bool discovering;
	bool entered;	    /* this node stands in the platform's list */
	GPtrArray *running; /* struct serve, for the marks of a crash */
	struct deadline crash_noted_until;
	uint64_t next_point;
	GPtrArray *open;      /* struct call, each with a deadline */
	GHashTable *claiming; /* number of a claim -> struct call, one reference */
};

/* bridge.c: core's events and actions */

/** Hands an event to core and carries out what it wants. */
void bridge_event(struct daemon *daemon, const struct event *event);
/** Carries out actions and clears the list. */
void bridge_carry_out(struct daemon *daemon, struct actions *actions);
bool bridge_start_ticking(struct daemon *daemon, GError **error);
void bridge_tick(struct daemon *daemon);
void bridge_read_log(struct daemon *daemon, void *job);
void bridge_append(struct daemon *daemon, void *job);
/** Enters this node in the platform's list of nodes and greets the others there. */
void bridge_discover(struct daemon *daemon);
/** The target does not listen any more. */
void bridge_target_gone(struct daemon *daemon);
void bridge_on_announcement(void *context, const struct announcement *announcement);

/* The two kinds of owners behind a stream. */
enum owner_kind { OWNER_ATTEMPT, OWNER_SERVE };

struct attempt;
struct serve;

/* calls.c: calls that entered here */

void calls_on_caller(void *context, const struct caller_event *event);
/** The answer to a claim of an idempotency key. */
void calls_on_claimed(struct daemon *daemon, uint64_t seq, enum claim_result result, int status);
/** Answers calls whose deadline passed a moment ago: no word came of them. */
void calls_tick(struct daemon *daemon, struct instant now);
void calls_on_peer(struct attempt *attempt, struct peer_event *event);
struct attempt *attempt_ref(struct attempt *attempt);
void attempt_unref(struct attempt *attempt);
void attempt_head(struct attempt *attempt, const struct response_head *head);
/** From this node's own target: waits for room. False if the caller is gone. */
bool attempt_body_wait(struct attempt *attempt, struct str bytes, struct deadline deadline);
void attempt_end(struct attempt *attempt);
void attempt_refused(struct attempt *attempt, const struct refusal *refusal);
void attempt_lost(struct attempt *attempt, enum verdict verdict);
/** The body of the request, for this node's own target. */
size_t attempt_take_body(struct attempt *attempt, char *into, size_t cap, enum pipe_end *end,
			 struct deadline deadline);

/* serve.c: calls for this node's own target */

struct serve *serve_new_remote(struct daemon *daemon, struct peer_event *event);
/** Takes a call that entered here. Runs on a worker; refuses through the attempt. */
struct serve *serve_new_local(struct daemon *daemon, struct attempt *attempt,
			      const struct request_head *head, bool has_body);
void serve_admit_local(struct serve *serve);
void serve_on_peer(struct serve *serve, struct peer_event *event);
void serve_cancel(struct serve *serve);
struct serve *serve_ref(struct serve *serve);
void serve_unref(struct serve *serve);
/** Runs the call, then what waits for the slot; takes over a reference. */
void serve_run(struct serve *serve);
/** Refuses queued calls whose deadline passed, and runs what a free slot allows. */
void serve_turns(struct daemon *daemon);

#endif
