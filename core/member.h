/**
 * @file
 * Table of the fleet's members: merged records, and this node's own statistics of each target
 * (calls in flight, recent failures). A record is replaced only by a newer one, so the order of
 * arrival does not matter. All functions that take a table acquire LOCK_MEMBERS.
 */
#ifndef CORE_MEMBER_H
#define CORE_MEMBER_H

#include <apr_pools.h>
#include <glib.h>

#include "base/clock.h"
#include "base/rng.h"
#include "base/str.h"

/** States in order of precedence: at the same incarnation the higher one wins. */
enum member_state {
	MEMBER_JOINING, /**< configuration not current yet; takes no calls */
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /**< no answer; dead unless it refutes in time */
	MEMBER_LEAVING, /**< takes no new calls */
	MEMBER_DEAD,
};

struct str member_state_name(enum member_state state);

/** Record that a node publishes about itself to all members. */
struct member {
	uint64_t id;	      /**< IPv4 address and port, see member_id() */
	uint64_t incarnation; /**< wall clock of the start, us; raised by each update */
	enum member_state state;
	uint16_t slots; /**< concurrent calls of the target; 0 without one */
	struct label data_centre;
	struct label service; /**< empty without a target */
	struct label version;
};

uint64_t member_id(uint32_t ipv4, uint16_t port);
uint32_t member_ipv4(uint64_t id);
uint16_t member_port(uint64_t id);

enum merge_result {
	MERGE_UNCHANGED,  /**< the record is not newer */
	MERGE_APPLIED,	  /**< the record is new and has to be passed on */
	MERGE_ABOUT_SELF, /**< newer record about this node: not applied, to be refuted */
};

struct members_options {
	struct member self;
	int64_t suspect_us; /**< time for a suspect to refute before it is dead */
	int64_t forget_us;  /**< time until a dead member's record is dropped */
};

struct members;

struct members *members_new(const struct members_options *options, apr_pool_t *pool);
void members_free(struct members *members);

/** Applies @p record if it is newer than the one in the table. */
enum merge_result members_merge(struct members *members, const struct member *record,
				struct instant now);
/** Replaces the record of this node; the new incarnation is higher than the last and @p refute. */
struct member members_update_self(struct members *members, const struct member *self,
				  uint64_t refute);
struct member members_self(struct members *members);
bool members_get(struct members *members, uint64_t id, struct member *out);

/** Marks a member suspect, dead if it was leaving; @return false if the state stays as it is. */
bool members_suspect(struct members *members, uint64_t id, struct instant now, struct member *out);
/** Drops expired records, marks up to @p max overdue members dead and copies their records to
 * @p out; @return how many became dead. */
int members_sweep(struct members *members, struct instant now, struct member *out, int max);

/** Order-independent hash of all records. */
uint64_t members_hash(struct members *members);
enum { MEMBER_BUCKETS = 128 };
void members_buckets(struct members *members, uint64_t *hashes);
/** Returns the records whose bucket hash differs from @p hashes; the caller frees the array. */
GArray *members_differing(struct members *members, const uint64_t *hashes);

struct member_counts {
	int total;
	int live; /**< alive or suspect, self included */
	int dead;
};
struct member_counts members_count(struct members *members);
/** Returns all records, for reports; the caller frees the array. */
GArray *members_list(struct members *members);

/** Returns when a member last became live or ceased to be, monotonic us. */
int64_t members_live_changed_us(struct members *members);

/** Draws up to @p max other live members, if @p local only those of the own data centre. */
int members_random(struct members *members, struct rng *rng, bool local, uint64_t *out, int max);
/** Returns up to @p max members that are joining, from a random one on. */
int members_joining(struct members *members, struct rng *rng, uint64_t *out, int max);
/** Returns a random dead member, to detect a healed partition; 0 if there is none. */
uint64_t members_random_dead(struct members *members, struct rng *rng);
/** Returns the next member to probe, in a shuffled round; 0 if there is none. */
uint64_t members_next_probe(struct members *members, struct rng *rng);

/** Set of members among which a rank is computed. */
enum scope_kind { SCOPE_ALL, SCOPE_DATA_CENTRE, SCOPE_SERVICE };

/** Ranks this node by rendezvous hash of @p salt among the live members in scope; 0 is first. */
int members_rank(struct members *members, enum scope_kind scope, struct label name, uint64_t salt);
/** Fills @p out with the first live members of the same order; @return how many. */
int members_first_ranked(struct members *members, enum scope_kind scope, struct label name,
			 uint64_t salt, uint64_t *out, int max);

/* Choice of a target, and statistics from this node's own calls. */

enum { CHOICE_AVOID_MAX = 12 };

/** Selects versions of a service. */
struct version_filter {
	enum { VERSION_ANY, VERSION_IS, VERSION_IS_NOT } kind;
	struct label name;
};

bool version_matches(const struct version_filter *filter, const struct label *version);

/** Data centres to choose from, relative to that of this node. */
enum choice_data_centre { CHOOSE_ANYWHERE, CHOOSE_LOCAL, CHOOSE_REMOTE };

struct choice_options {
	struct label service;
	struct version_filter version;
	uint64_t avoid[CHOICE_AVOID_MAX]; /**< targets that the call has tried */
	int avoid_count;
	enum choice_data_centre data_centre;
	int max_targets; /**< limit on eligible targets, the same ones on all nodes; 0: all */
	const GArray
		*evacuated; /**< struct label, data centres without eligible targets; or NULL */
};

/**
 * Chooses the cheaper of two random targets by expected time to answer, own data centre first.
 * The call counts as in flight until members_call_ended(). @return 0 if no target takes calls.
 */
uint64_t members_choose(struct members *members, const struct choice_options *options,
			struct rng *rng, struct instant now);

/** Counts a call in flight to a target that members_choose() did not return for it. */
void members_call_started(struct members *members, uint64_t id);

enum call_outcome {
	CALL_ANSWERED, /**< answer without a fault of the target */
	CALL_FAILED,   /**< answer with a fault of the target */
	CALL_CLOSED,   /**< the target's node accepts no calls for now */
	CALL_REFUSED,  /**< shed, draining or queue full: no sign of the target's health */
	CALL_BROKEN,   /**< no answer: the connection failed or went silent */
};

/**
 * Records how a call ended. If @p may_eject is false, the target is never contained for its
 * failures. @return true if this node contains the target for them from now on.
 */
bool members_call_ended(struct members *members, uint64_t id, enum call_outcome outcome,
			bool may_eject, struct instant now);
/** Adds a time to answer to the exponential average that members_choose() weighs. */
void members_record_answer_time(struct members *members, uint64_t id, int64_t answer_us);
/** Records that a target's node refused a call and expected to answer it in @p expected_us. */
void members_record_refusal(struct members *members, uint64_t id, int64_t expected_us,
			    struct instant now);
/** Returns the version with the most live targets, except @p except; empty if there is none. */
struct label members_main_version(struct members *members, struct label service,
				  struct label except);
/** Counts the live targets of the versions that @p version selects, without those in the data
 *  centres of @p evacuated (struct label, or NULL). */
int members_version_targets(struct members *members, struct label service,
			    const struct version_filter *version, const GArray *evacuated);

#endif
