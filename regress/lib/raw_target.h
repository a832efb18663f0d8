/**
 * @file
 * Two nodes with the platform's interface, the first of them beside a target whose answers the test
 * writes byte by byte.
 */
#ifndef REGRESS_RAW_TARGET_H
#define REGRESS_RAW_TARGET_H

#include "regress/lib/breaker.h"
#include "regress/lib/fleet.h"
#include "regress/lib/rawcall.h"

/** The node that a caller uses. */
enum raw_target_node { OWN_TARGET, OTHER_NODE, RAW_TARGET_NODES };

struct raw_target;

/**
 * Starts the nodes and waits until both answer "/r/a"; NULL if they do not. The routes are "/r/"
 * (safe) and "/w/" (unsafe), each with two seconds and one attempt.
 *
 * @param answers  of the target; their context is set to the new object. They have to answer "/r/a"
 *                 with a success, and to live as long as the object.
 */
struct raw_target *raw_target_new(struct breaker_options *answers);
void raw_target_free(struct raw_target *target);
struct fleet *raw_target_fleet(struct raw_target *target);
/** Notes that a request has reached the target; called by the answers. */
void raw_target_note_run(struct raw_target *target, const char *id);
/**
 * Sends a request with a new id on a new connection; free its answer with raw_answer_clear().
 *
 * @param request  .host, .id and .timeout_ms are set by the function
 * @param has_run  whether the target got it
 */
struct raw_answer raw_target_call(struct raw_target *target, enum raw_target_node node,
				  struct raw_request request, bool *has_run);
/** Returns the name of a node's place for messages. */
const char *raw_target_place(enum raw_target_node node);

#endif
