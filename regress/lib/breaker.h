/**
 * @file
 * A raw HTTP upstream in the test's process. A callback chooses the bytes of each answer, and
 * whether and how the connection ends behind them.
 */
#ifndef REGRESS_BREAKER_H
#define REGRESS_BREAKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

enum { BREAKER_STEPS_MAX = 6, BREAKER_PATH_MAX = 128, BREAKER_ID_MAX = 48 };

enum breaker_step_kind {
	BREAKER_SEND,
	BREAKER_WAIT,
	BREAKER_READ_SLOWLY,  /**< reads 16 KiB a millisecond, and drops it */
	BREAKER_WAIT_REQUEST, /**< until bytes of the next request arrive, 2 s at most */
	BREAKER_FIN,
	BREAKER_END_SENDING, /**< ends the sending side; the connection stays open */
	BREAKER_RESET,
	BREAKER_FLOOD, /**< sends the bytes over and over until the connection ends */
};

/** One step of an answer. */
struct breaker_step {
	enum breaker_step_kind kind;
	union {
		struct strbuf bytes; /**< BREAKER_SEND, BREAKER_FLOOD; cleared by the breaker */
		int wait_ms;	     /**< BREAKER_WAIT, BREAKER_READ_SLOWLY */
	};
};

/** An answer; its connection serves another request unless a step ends it. */
struct breaker_plan {
	struct breaker_step steps[BREAKER_STEPS_MAX];
	int count;
};

/** A request that has arrived whole. */
struct breaker_request {
	char path[BREAKER_PATH_MAX];
	char id[BREAKER_ID_MAX]; /**< X-Request-Id */
	bool in_chunks;
	bool on_kept_connection; /**< another request came before on its connection */
	size_t body_bytes;
	bool body_altered; /**< a byte of the body isn't raw_body_byte() */
};

struct breaker_options {
	const char *instance; /**< the upstream's id; a request for another one gets 421 */
	/** Fills the plan of an answer; called by several threads. */
	void (*answer)(void *context, const struct breaker_request *request,
		       struct breaker_plan *plan);
	/** If set, called once the head of a request has come; returns whether the plan is carried
	 * out then, before the request's body is read. The connection ends behind it. */
	bool (*answer_early)(void *context, const struct breaker_request *request,
			     struct breaker_plan *plan);
	void *context;
};

struct breaker;

/** Listens on a free port of the loopback address. @p options must live as long as the breaker. */
struct breaker *breaker_new(const struct breaker_options *options);
int breaker_port(const struct breaker *breaker);
/** Returns how many steps BREAKER_WAIT_REQUEST have seen a request. */
int breaker_requests_awaited(struct breaker *breaker);
/** Returns the bytes that steps BREAKER_FLOOD have sent. */
uint64_t breaker_flooded_bytes(struct breaker *breaker);
/** Answers nothing any more, not even the opening packets of new connections. */
void breaker_fall_silent(struct breaker *breaker);
/** Closes all connections and waits for their threads. */
void breaker_free(struct breaker *breaker);

/** Appends a step that sends a copy of @p bytes. */
void breaker_plan_send(struct breaker_plan *plan, struct str bytes);
/** Appends a step that sends copies of @p bytes without end. */
void breaker_plan_flood(struct breaker_plan *plan, struct str bytes);
/** Appends a step without bytes; @p wait_ms is for steps that take a time. */
void breaker_plan_step(struct breaker_plan *plan, enum breaker_step_kind kind, int wait_ms);

#endif
