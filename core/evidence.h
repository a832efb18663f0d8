/**
 * @file
 * Sequential comparison of a new target version with the old one, per route, on failures and on
 * latency. Windows of counts come in; a verdict on the version comes out. Each test is a CUSUM
 * of log-likelihood ratios, so a few calls show a bad version and chance does not add up.
 */
#ifndef CORE_EVIDENCE_H
#define CORE_EVIDENCE_H

#include <glib.h>

#include "base/clock.h"
#include "base/hist.h"
#include "base/str.h"

/** What a target's node saw of one route of its version in one second. */
struct evidence_window {
	struct label route;
	uint64_t target; /**< member id */
	uint32_t calls;	 /**< that ran: refused ones are left out */
	uint32_t failures;
	uint32_t crashes;		/**< times that the target went away with calls in flight */
	uint32_t targets;		/**< live targets of the version as the sender knows them */
	uint16_t latency[HIST_BUCKETS]; /**< of the calls that were answered, service time */
};

enum evidence_side { EVIDENCE_OLD, EVIDENCE_NEW };

enum evidence_finding {
	EVIDENCE_NONE,
	EVIDENCE_FAILURES, /**< the new version fails more */
	EVIDENCE_LATENCY,  /**< the new version is slower */
	EVIDENCE_UNPAIRED, /**< worse than the old one was, which has no calls to compare now */
};

struct evidence;

struct evidence *evidence_new(void);
void evidence_free(struct evidence *evidence);
/** Collects a window; evidence_close() judges all that came since the last time. */
void evidence_add(struct evidence *evidence, enum evidence_side side,
		  const struct evidence_window *window);
/** Judges the windows of the second that ends; @p old_in_use tells whether the old version gets
 *  calls to compare with; *route tells which route shows it, empty if only
 *  all together do. */
enum evidence_finding evidence_close(struct evidence *evidence, bool old_in_use,
				     struct label *route);
/** Calls to the new version since the last evidence_reset_calls(). */
uint64_t evidence_calls(const struct evidence *evidence);
void evidence_reset_calls(struct evidence *evidence);
/** Calls to the old version since then. */
uint64_t evidence_old_calls(const struct evidence *evidence);
/** True while a test is a quarter of the way to condemning, or the old version fails as well. */
bool evidence_is_doubtful(const struct evidence *evidence);

#endif
