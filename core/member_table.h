/**
 * @file
 * Inside of the table of members, for member.c and member_choice.c.
 */
#ifndef CORE_MEMBER_TABLE_H
#define CORE_MEMBER_TABLE_H

#include "base/lockorder.h"
#include "core/member.h"

/** A member with what this node adds of its own. */
struct peer {
	struct member record;
	uint32_t all_index;
	uint32_t live_index;	   /* in members.live, UINT32_MAX if not there */
	uint32_t local_index;	   /* in members.local, likewise */
	struct deadline dead_at;   /* of a suspect */
	struct deadline forget_at; /* of a dead one */
	struct deadline warm_at;   /* slow start until then */
	struct deadline contained_until;
	int in_flight;
	double answer_us;	    /* smoothed time until its answers; 0: none yet */
	struct deadline busy_until; /* it had no free slot a moment ago */
	int64_t busy_expected_us;
	double evidence;
	double failing; /* smoothed failure rate, by this node's calls */
};

struct members {
	struct lock lock;
	struct members_options options;
	uint64_t self;
	GHashTable *by_id;	/* uint64_t in the peer -> struct peer */
	GHashTable *by_service; /* struct label -> GPtrArray of struct peer */
	GPtrArray *all;
	GPtrArray *live;
	GPtrArray *local;
	GArray *round; /* uint64_t, members still to probe */
	uint64_t hash;
	uint64_t bucket[MEMBER_BUCKETS];
};

/** Both under LOCK_MEMBERS. */
struct peer *members_find(struct members *members, uint64_t id);
bool members_holds(const uint64_t *ids, int count, uint64_t id);

#endif
