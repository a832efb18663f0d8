/**
 * @file
 * Private structures of the table of members, for member.c and member_choice.c.
 */
#ifndef CORE_MEMBER_TABLE_H
#define CORE_MEMBER_TABLE_H

#include "base/lockorder.h"
#include "core/member.h"

/** A member's record, and this node's own statistics and deadlines for it. */
struct peer {
	struct member record;
	uint32_t all_index;
	uint32_t live_index;	   /* index in members.live; UINT32_MAX: not listed */
	uint32_t local_index;	   /* index in members.local; UINT32_MAX: not listed */
	struct deadline dead_at;   /* set for suspect and leaving members */
	struct deadline forget_at; /* set for dead members */
	struct deadline slow_start_until;
	struct deadline contained_until;
	int in_flight;
	double mean_answer_us;	    /* exponential average of times to answer; 0: none yet */
	struct deadline busy_until; /* end of the effect of a recent refusal */
	int64_t busy_expected_us;   /* expected time to answer of the refused call */
	double failure_score;	    /* CUSUM of call failures, in log-likelihood units */
	double failure_rate;	    /* exponential average of the failure rate */
};

struct members {
	struct lock lock;
	struct members_options options;
	uint64_t self;
	GHashTable *by_id;	/* peer.record.id -> struct peer */
	GHashTable *by_service; /* struct label -> GPtrArray of struct peer */
	GPtrArray *all;
	GPtrArray *live;
	GPtrArray *local;
	GArray *probe_round;	 /* uint64_t: members still to probe */
	int64_t live_changed_us; /* monotonic: a member became live or ceased to be */
	uint64_t hash;
	uint64_t bucket[MEMBER_BUCKETS];
};

/** Returns NULL if the member is unknown. The caller holds LOCK_MEMBERS. */
struct peer *members_find(struct members *members, uint64_t id);
/** Returns whether @p ids contains @p id. */
bool id_list_contains(const uint64_t *ids, int count, uint64_t id);

#endif
