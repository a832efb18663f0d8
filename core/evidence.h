/**
 * @file
 * Sequential comparison of a new target version with the old one, per route, by failures and by
 * latency. The input is windows of call counts, the output a finding against the new version.
 * Each test is a CUSUM of log-likelihood ratios: it detects a bad version after a few calls, and
 * random failures do not accumulate.
 */
#ifndef CORE_EVIDENCE_H
#define CORE_EVIDENCE_H

#include <glib.h>

#include "base/clock.h"
#include "base/hist.h"
#include "base/str.h"

/** Calls of one route that one target ran in one second, counted by the node of the target. */
struct evidence_window {
	struct label route;
	uint64_t target; /**< member id */
	uint32_t calls;	 /**< calls that ran, refused ones not counted */
	uint32_t failures;
	uint32_t crashes;		/**< crashes of the target with calls in flight */
	uint32_t targets;		/**< live targets of the version, as known to the sender */
	uint16_t latency[HIST_BUCKETS]; /**< service times of the answered calls */
};

enum evidence_side { EVIDENCE_OLD, EVIDENCE_NEW };

enum evidence_finding {
	EVIDENCE_NONE,
	EVIDENCE_FAILURES, /**< the new version fails more often */
	EVIDENCE_LATENCY,  /**< the new version is slower */
	EVIDENCE_UNPAIRED, /**< worse than the old version was, which gets no calls now */
};

struct evidence;

struct evidence *evidence_new(void);
void evidence_free(struct evidence *evidence);
/** Adds a window to the current second, which ends with evidence_close(). */
void evidence_add(struct evidence *evidence, enum evidence_side side,
		  const struct evidence_window *window);
/**
 * Tests the windows added since the last call.
 * @param old_in_use whether the old version gets calls to compare with
 * @param route set to the route with the finding; empty if only all routes together show it
 */
enum evidence_finding evidence_close(struct evidence *evidence, bool old_in_use,
				     struct label *route);
/** Returns the number of calls to the new version since the last evidence_reset_calls(). */
uint64_t evidence_calls(const struct evidence *evidence);
void evidence_reset_calls(struct evidence *evidence);
/** Returns the number of calls to the old version since the last evidence_reset_calls(). */
uint64_t evidence_old_calls(const struct evidence *evidence);
/** Returns true if a test has reached a quarter of the log-likelihood ratio for rejection, if the
 * excess of failures has reached 3 standard deviations (5 reject), or if failures of both versions
 * mask those of the new one. */
bool evidence_is_inconclusive(const struct evidence *evidence);

#endif
