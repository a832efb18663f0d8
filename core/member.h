/**
 * @file
 * Table of the fleet's members: merged records, and what this node itself knows of each target
 * (calls in flight, recent failures). A record is replaced only by a later one, so the order of
 * arrival does not matter.
 */
#ifndef CORE_MEMBER_H
#define CORE_MEMBER_H

#include <apr_pools.h>
#include <glib.h>

#include "base/clock.h"
#include "base/rng.h"
#include "base/str.h"

/** States in order: at the same incarnation a later one wins. */
enum member_state {
	MEMBER_JOINING, /**< not current yet: serves no caller */
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /**< did not answer; dead unless it refutes in time */
	MEMBER_LEAVING, /**< takes no new work */
	MEMBER_DEAD,
};

struct str member_state_name(enum member_state state);

/** What a node tells of itself; spreads to all. */
struct member {
	uint64_t id;	      /**< IPv4 address and port, see member_id() */
	uint64_t incarnation; /**< wall clock of the start, microseconds; grows by refutation */
	enum member_state state;
	uint16_t slots; /**< of the target; 0 without one */
	struct label data_centre;
	struct label service; /**< empty without a target */
	struct label version;
};

uint64_t member_id(uint32_t ipv4, uint16_t port);
uint32_t member_ipv4(uint64_t id);
uint16_t member_port(uint64_t id);

enum merge_result {
	MERGE_KNOWN,	  /**< nothing new */
	MERGE_NEWER,	  /**< taken; pass it on */
	MERGE_ABOUT_SELF, /**< somebody is wrong about this node: refute */
};

struct members_options {
	struct member self;
	int64_t suspect_us; /**< a suspect that does not refute is dead after this */
	int64_t forget_us;  /**< a dead member's record is dropped after this */
};

struct members;

struct members *members_new(const struct members_options *options, apr_pool_t *pool);
void members_free(struct members *members);

/** Merges a record. All functions of this table take LOCK_MEMBERS. */
enum merge_result members_merge(struct members *members, const struct member *record,
				struct instant now);
/** Puts a new record of this node in force, with a higher incarnation if @p refute is not 0. */
struct member members_update_self(struct members *members, const struct member *self,
				  uint64_t refute);
struct member members_self(struct members *members);
bool members_get(struct members *members, uint64_t id, struct member *out);

/** Makes a member that does not answer suspect, or dead if it was leaving; false if it is already.
 */
bool members_suspect(struct members *members, uint64_t id, struct instant now, struct member *out);
/** Ends suspicions whose deadline passed: gives up to @p max records that became dead. */
int members_sweep(struct members *members, struct instant now, struct member *out, int max);

/** Order-independent hash of all records. */
uint64_t members_hash(struct members *members);
enum { MEMBER_BUCKETS = 128 };
void members_buckets(struct members *members, uint64_t *hashes);
/** Gives the records whose bucket differs from @p hashes; the caller frees the array. */
GArray *members_differing(struct members *members, const uint64_t *hashes);

struct member_counts {
	int total;
	int live; /**< alive or suspect, self included */
	int dead;
};
struct member_counts members_count(struct members *members);
/** All records, for reports; the caller frees the array. */
GArray *members_list(struct members *members);

/** Up to @p max distinct live members other than this one; @p local: of its data centre only. */
int members_random(struct members *members, struct rng *rng, bool local, uint64_t *out, int max);
/** A random dead member, for finding out that a partition has healed; 0 if there is none. */
uint64_t members_random_dead(struct members *members, struct rng *rng);
/** The next member to probe, in a shuffled round; 0 if there is none. */
uint64_t members_next_probe(struct members *members, struct rng *rng);

/** Which members a rank is taken over. */
enum scope_kind { SCOPE_ALL, SCOPE_DATA_CENTRE, SCOPE_SERVICE };

/** Rank of this node by rendezvous hash of @p salt over the live members in scope; 0 is first. */
int members_rank(struct members *members, enum scope_kind scope, struct label name, uint64_t salt);
/** The first @p max live members in that order. */
int members_first(struct members *members, enum scope_kind scope, struct label name, uint64_t salt,
		  uint64_t *out, int max);

/* What this node knows of a target from its own calls. */

enum { CHOICE_AVOID_MAX = 12 };

/** Which versions of a service are meant. The tag says how the name counts. */
struct version_filter {
	enum { VERSION_ANY, VERSION_IS, VERSION_IS_NOT } kind;
	struct label name;
};

bool version_matches(const struct version_filter *filter, const struct label *version);

/** Data centres that a choice is made in; near is the own one. */
enum choice_where { CHOOSE_ANYWHERE, CHOOSE_NEAR, CHOOSE_FAR };

struct choice_options {
	struct label service;
	struct version_filter version;
	uint64_t avoid[CHOICE_AVOID_MAX]; /**< targets that this call has tried */
	int avoid_count;
	enum choice_where where;
	int most; /**< only that many targets, the same on all nodes; 0: all */
};

/**
 * Two random choices by calls in flight over slots, own data centre first; 0 if no target of
 * the version takes work. The choice counts as in flight until members_call_ended().
 */
uint64_t members_choose(struct members *members, const struct choice_options *options,
			struct rng *rng, struct instant now);

/** Counts a call to a target that was not chosen for it now. */
void members_call_begins(struct members *members, uint64_t id);

enum call_outcome {
	CALL_ANSWERED, /**< the target answered, and not with a fault of its own */
	CALL_FAILED,
	/**< the target answered with a fault */ CALL_CLOSED, /**< its node says that it takes no
								 work for now */
	CALL_REFUSED, /**< shed, draining or queue full: says nothing of the target's health */
	CALL_BROKEN,  /**< no answer: the connection failed or fell silent */
};

/**
 * Notes how a call ended. True if the target is contained from now on by this node's own
 * evidence; @p may_eject false (switched off) only counts.
 */
bool members_call_ended(struct members *members, uint64_t id, enum call_outcome outcome,
			bool may_eject, struct instant now);
/** Notes how long a target took for an answer; smoothed, it weighs in the choice. */
void members_note_answer(struct members *members, uint64_t id, int64_t answer_us);
/** Notes that a target's node refused a call that it expects to answer after @p expected_us. */
void members_note_busy(struct members *members, uint64_t id, int64_t expected_us,
		       struct instant now);
/** The version of most live targets of a service, @p except left out; empty if there is none. */
struct label members_main_version(struct members *members, struct label service,
				  struct label except);
/** Live targets of a version. */
int members_version_targets(struct members *members, struct label service,
			    const struct version_filter *version);

#endif
