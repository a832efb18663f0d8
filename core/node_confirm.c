/*
 * Confirmation that this node holds the newest version. A confirmation says that the log held
 * nothing newer at some moment. It comes from the log itself, or from a peer with its age. A node
 * whose last confirmation is too old, or that heard of a version which no peer delivered, reads the
 * log itself, so that the time in which a change is in force does not depend on peers. The times
 * are fractions of the time that operators are promised for a change.
 *
 * Withdrawn keys need more: a confirmation that a peer sent may have waited on a cut link for any
 * time. A proof is the log's answer to this node, or a peer's answer to a question of this node,
 * dated back to the question. Load and failure that it answers: nodes whose way to the log is cut
 * while a key is withdrawn.
 */
#include "core/node_parts.h"
#include "core/version.h"

/* A node whose ticks have a gap of this length was paused. Messages that waited meanwhile are older
 * than they say, and are not taken as confirmations for the same time afterwards. */
#define PAUSE_US (500 * US_PER_MS)

/* Time for the answer to a question for a proof. */
#define PROOF_ANSWER_US (300 * US_PER_MS)

/* A joining node waits this long for a peer's confirmation before it reads the log. */
#define JOIN_CHECK_US (500 * US_PER_MS)

enum {
	PROMISE_PERCENT = 100,
	RANKED_CHECK_PERCENT = 20, /* the first node in rank reads the log at this age */
	RANK_STEP_PERCENT = 4,	   /* each further rank waits for the ones before */
	RANKS_MAX = 3,
	CHECK_PERCENT = 32, /* any other node, when the first ones did not */
	CHECK_JITTER_PERCENT = 10,
	DELIVERY_PERCENT = 28, /* time for peers to deliver a version that they announced */
	FORWARD_PERCENT = 12,  /* a confirmation is forwarded if it is newer by this much */
	RETRY_PERCENT = 20,    /* first delay after a read that failed; doubles */
	RETRY_MAX_PERCENT = 100,
	ASK_PROOF_PERCENT = 36, /* of revoke_within_us: age of the proof at which a peer is asked */
	READ_PROOF_PERCENT = 56, /* and at which this node reads the log itself */
	PROOF_PERCENT = 80,	 /* and up to which it is valid; the rest covers the clocks */
	PROOF_PEERS = 3,	 /* nodes first in rank, which read the log most often */
	PROOF_MISSES = 2,	 /* unanswered questions after which any peer is asked */
	FORWARD_LOCAL = 3, /* peers that get a forwarded confirmation, in the own data centre */
	FORWARD_ANY = 1,   /* and anywhere */
};

static int64_t fraction_us(const struct node *node, int percent)
{
	return node->options.apply_within_us * percent / PROMISE_PERCENT;
}

/* Draws the age of a confirmation at which this node reads the log. LOCK_GOSSIP is held. */
static int64_t check_age_us(struct node *node)
{
	struct confirm_state *confirm = &node->gossip.confirm;
	int64_t jitter_us = fraction_us(node, CHECK_JITTER_PERCENT);

	if (confirm->rank < RANKS_MAX)
		return fraction_us(node, RANKED_CHECK_PERCENT + RANK_STEP_PERCENT * confirm->rank);
	return fraction_us(node, CHECK_PERCENT) +
	       (int64_t)rng_below(&node->gossip.rng, (uint64_t)jitter_us + 1);
}

/* Moves the confirmation of the held version forward. LOCK_GOSSIP is held. */
static void confirm_held(struct node *node, int64_t at_us)
{
	struct confirm_state *confirm = &node->gossip.confirm;

	if (at_us <= confirm->confirmed_at_us)
		return;
	confirm->confirmed_at_us = at_us;
	confirm->check_at = (struct deadline){ at_us + check_age_us(node) };
	confirm->retry_us = 0;
	confirm->retry_at = (struct deadline){ 0 };
}

void confirm_init(struct node *node, struct instant now)
{
	struct confirm_state *confirm = &node->gossip.confirm;

	confirm->rank = RANKS_MAX;
	confirm->ticked_at = now;
	confirm->check_at = (struct deadline){ now.mono_us + check_age_us(node) };
}

void confirm_update_rank(struct node *node)
{
	int rank = members_rank(node->members, SCOPE_ALL, (struct label){ 0 }, 0);

	lock_acquire(&node->gossip.lock);
	node->gossip.confirm.rank = rank;
	lock_release(&node->gossip.lock);
}

int64_t confirm_age_us(struct node *node, struct instant now)
{
	int64_t age_us = CONFIRMED_NEVER;

	lock_acquire(&node->gossip.lock);
	if (node->gossip.confirm.confirmed_at_us)
		age_us = now.mono_us - node->gossip.confirm.confirmed_at_us;
	lock_release(&node->gossip.lock);
	return age_us;
}

/* Records that the log held nothing newer than @p version at @p at_us. If this node does not hold
 * that version yet, the confirmation counts once it does. */
static void confirm(struct node *node, int64_t version, int64_t at_us)
{
	struct confirm_state *state = &node->gossip.confirm;
	int64_t held_version = history_version(node->history);

	lock_acquire(&node->gossip.lock);
	if (version <= held_version) {
		confirm_held(node, at_us);
	} else if (version >= state->pending_version) {
		state->pending_version = version;
		state->pending_at_us = MAX(state->pending_at_us, at_us);
	}
	lock_release(&node->gossip.lock);
}

void confirm_applied(struct node *node)
{
	struct confirm_state *state = &node->gossip.confirm;
	struct proof_state *proof = &node->gossip.proof;
	int64_t held_version = history_version(node->history);

	lock_acquire(&node->gossip.lock);
	if (proof->pending_version && proof->pending_version <= held_version) {
		proof->proven_at_us = MAX(proof->proven_at_us, proof->pending_at_us);
		proof->pending_version = 0;
		proof->pending_at_us = 0;
	}
	if (state->pending_version && state->pending_version <= held_version) {
		confirm_held(node, state->pending_at_us);
		state->pending_version = 0;
		state->pending_at_us = 0;
	}
	lock_release(&node->gossip.lock);
}

/* Returns whether the newest confirmation of the held version should be forwarded now. */
static bool take_forward(struct node *node)
{
	struct confirm_state *state = &node->gossip.confirm;
	bool forward;

	lock_acquire(&node->gossip.lock);
	forward = node->gossip.boot.phase == BOOT_CURRENT && !node->gossip.stopping &&
		  state->confirmed_at_us - state->forwarded_us > fraction_us(node, FORWARD_PERCENT);
	if (forward)
		state->forwarded_us = state->confirmed_at_us;
	lock_release(&node->gossip.lock);
	return forward;
}

struct message *confirm_advert(struct node *node, struct instant now)
{
	struct message *message = message_new(MESSAGE_ADVERT);

	message->advert.version = history_version(node->history);
	message->advert.confirmed_age_us = confirm_age_us(node, now);
	return message;
}

static void forward(struct node *node, struct instant now, struct actions *out)
{
	struct message *message = confirm_advert(node, now);
	struct rng rng = node_rng(node);
	uint64_t peers[FORWARD_LOCAL + FORWARD_ANY];
	int count = members_random(node->members, &rng, true, peers, FORWARD_LOCAL);

	count += members_random(node->members, &rng, false, peers + count, FORWARD_ANY);
	for (int i = 0; i < count; i++)
		actions_send(out, peers[i], message_ref(message));
	message_unref(message);
}

void confirm_note_tick(struct node *node, struct instant now)
{
	struct confirm_state *state = &node->gossip.confirm;
	int64_t mono_gap_us;
	int64_t wall_gap_us;

	lock_acquire(&node->gossip.lock);
	mono_gap_us = now.mono_us - state->ticked_at.mono_us;
	wall_gap_us = now.wall_us - state->ticked_at.wall_us;
	if (mono_gap_us > PAUSE_US || wall_gap_us > PAUSE_US)
		state->distrust_until = deadline_after(now, PAUSE_US);
	/* The monotonic clock stands still while a VM is suspended. */
	if (wall_gap_us - mono_gap_us > PAUSE_US) {
		state->confirmed_at_us = 0;
		state->check_at = (struct deadline){ now.mono_us };
		node->gossip.proof = (struct proof_state){ 0 };
	}
	state->ticked_at = now;
	lock_release(&node->gossip.lock);
}

/* Returns whether a message received now may have waited while this node was paused. */
static bool may_be_old(struct node *node, struct instant now)
{
	const struct confirm_state *state = &node->gossip.confirm;
	bool old;

	lock_acquire(&node->gossip.lock);
	old = now.mono_us - state->ticked_at.mono_us > PAUSE_US ||
	      now.wall_us - state->ticked_at.wall_us > PAUSE_US ||
	      (state->distrust_until.at_us && !deadline_passed(state->distrust_until, now));
	lock_release(&node->gossip.lock);
	return old;
}

void confirm_from_peer(struct node *node, int64_t version, int64_t age_us, struct instant now)
{
	if (age_us >= 0 && age_us < now.mono_us && !may_be_old(node, now))
		confirm(node, version, now.mono_us - age_us);
}

void confirm_forward(struct node *node, struct instant now, struct actions *out)
{
	if (take_forward(node))
		forward(node, now, out);
}

/* Forgets a version that a peer announced, if the log did not have it later. Otherwise this node
 * would believe for ever that it is behind. */
static void forget_unconfirmed(struct node *node, int64_t newest, int64_t at_us)
{
	struct pull_state *pull = &node->gossip.pull;
	int64_t held_version = history_version(node->history);

	lock_acquire(&node->gossip.lock);
	if (held_version >= newest && pull->heard_newest > newest && at_us > pull->heard_at_us) {
		pull->heard_newest = held_version;
		pull->known_newest = held_version;
		pull->holder_count = 0;
	}
	lock_release(&node->gossip.lock);
}

void confirm_from_log(struct node *node, int64_t newest, struct instant at, struct instant now,
		      struct actions *out)
{
	/* An answer from before a rollback may have come long after it was made. */
	if (version_era(newest) < version_era(history_version(node->history)))
		return;
	confirm(node, newest, at.mono_us);
	forget_unconfirmed(node, newest, at.mono_us);
	if (take_forward(node))
		node_gossip(node, confirm_advert(node, now), out);
}

/* Returns whether a check is due on a node that serves: its confirmation is old, or peers did not
 * deliver a version in time. LOCK_GOSSIP is held. */
static bool is_check_due(struct node *node, int64_t held_version, struct instant now)
{
	const struct pull_state *pull = &node->gossip.pull;
	struct deadline deliver_by = { pull->deliver_from_us +
				       fraction_us(node, DELIVERY_PERCENT) };

	return deadline_passed(node->gossip.confirm.check_at, now) ||
	       (pull->heard_newest > held_version && deadline_passed(deliver_by, now));
}

/* Returns whether a joining node has all but a confirmation. LOCK_GOSSIP is held. */
static bool is_join_check_due(const struct node *node, struct instant now)
{
	const struct boot_state *boot = &node->gossip.boot;

	return boot->current_peers > 0 && node->gossip.confirm.confirmed_at_us < boot->started_us &&
	       now.mono_us - boot->started_us >= JOIN_CHECK_US;
}

/* Returns whether this node has to read the log itself now, and marks the read as begun. */
static bool begin_check(struct node *node, int64_t held_version, struct instant now)
{
	struct confirm_state *state = &node->gossip.confirm;
	bool due = false;

	lock_acquire(&node->gossip.lock);
	switch (node->gossip.boot.phase) {
	case BOOT_PEERS:
		due = is_join_check_due(node, now);
		break;
	case BOOT_SYSTEM:
	case BOOT_CONFIG:
		break;
	case BOOT_CURRENT:
		due = is_check_due(node, held_version, now) && !node->gossip.log.expired;
		break;
	}
	due = due && !state->checking && !node->gossip.stopping &&
	      (state->retry_at.at_us == 0 || deadline_passed(state->retry_at, now));
	if (due) {
		state->checking = true;
		state->asked_at = now;
	}
	lock_release(&node->gossip.lock);
	return due;
}

/* The log held nothing newer than @p version at @p at_us. LOCK_GOSSIP is held. */
static void prove(struct node *node, int64_t version, int64_t held_version, int64_t at_us)
{
	struct proof_state *proof = &node->gossip.proof;

	if (version <= held_version) {
		proof->proven_at_us = MAX(proof->proven_at_us, at_us);
	} else if (version >= proof->pending_version) {
		proof->pending_version = version;
		proof->pending_at_us = MAX(proof->pending_at_us, at_us);
	}
}

void confirm_prove_from_log(struct node *node, int64_t newest, struct instant asked_at)
{
	int64_t held_version = history_version(node->history);

	if (version_era(newest) < version_era(held_version))
		return;
	lock_acquire(&node->gossip.lock);
	prove(node, newest, held_version, asked_at.mono_us);
	lock_release(&node->gossip.lock);
}

/* Returns the age of the proof, INT64_MAX without one. LOCK_GOSSIP is held. */
static int64_t proof_age_us(const struct node *node, struct instant now)
{
	int64_t proven_at_us = node->gossip.proof.proven_at_us;

	return proven_at_us ? now.mono_us - proven_at_us : INT64_MAX;
}

static int64_t revoke_fraction_us(const struct node *node, int percent)
{
	return node->options.revoke_within_us * percent / PROMISE_PERCENT;
}

/* The monotonic clock stands still while a VM is suspended. LOCK_GOSSIP is held. */
static bool was_suspended(const struct node *node, struct instant now)
{
	const struct instant *ticked_at = &node->gossip.confirm.ticked_at;

	return (now.wall_us - ticked_at->wall_us) - (now.mono_us - ticked_at->mono_us) > PAUSE_US;
}

enum access_knowledge node_access_knowledge(struct node *node, struct instant now)
{
	int64_t held_version = history_version(node->history);
	enum access_knowledge knowledge = ACCESS_RECENT;
	const struct gossip_state *gossip = &node->gossip;
	int64_t confirmed_at_us;

	lock_acquire(&node->gossip.lock);
	confirmed_at_us = gossip->confirm.confirmed_at_us;
	if (gossip->boot.phase != BOOT_CURRENT || gossip->pull.heard_newest > held_version ||
	    confirmed_at_us == 0 || now.mono_us - confirmed_at_us > node->options.apply_within_us)
		knowledge = ACCESS_OUTDATED;
	if (node->options.revoke_within_us &&
	    (was_suspended(node, now) ||
	     proof_age_us(node, now) > revoke_fraction_us(node, PROOF_PERCENT)))
		knowledge = ACCESS_UNPROVEN;
	lock_release(&node->gossip.lock);
	return knowledge;
}

void confirm_on_ask(struct node *node, uint64_t from, uint64_t seq, struct instant now,
		    struct actions *out)
{
	struct message *message = message_new(MESSAGE_CONFIRM);
	int64_t age_us;

	message->confirm.seq = seq;
	lock_acquire(&node->gossip.lock);
	age_us = was_suspended(node, now) ? INT64_MAX : proof_age_us(node, now);
	lock_release(&node->gossip.lock);
	/* Read after the proof: a proof of a newer version must not go with an older one. */
	message->confirm.version = history_version(node->history);
	message->confirm.age_us = age_us == INT64_MAX ? CONFIRMED_NEVER : age_us;
	actions_send(out, from, message);
}

void confirm_on_answer(struct node *node, const struct message *message)
{
	struct proof_state *proof = &node->gossip.proof;
	int64_t held_version = history_version(node->history);

	lock_acquire(&node->gossip.lock);
	if (proof->asked_seq && message->confirm.seq == proof->asked_seq) {
		proof->asked_seq = 0;
		proof->unanswered = 0;
		/* The peer's proof is as old as it says or younger, seen from the question. */
		if (message->confirm.age_us >= 0 && message->confirm.age_us < proof->asked_at_us)
			prove(node, message->confirm.version, held_version,
			      proof->asked_at_us - message->confirm.age_us);
		else
			proof->unanswered = PROOF_MISSES;
	}
	lock_release(&node->gossip.lock);
}

/* Returns a peer that probably has a recent proof; 0 if there is none. */
static uint64_t proof_peer(struct node *node, int unanswered)
{
	struct rng rng = node_rng(node);
	uint64_t peers[PROOF_PEERS];
	uint64_t peer = 0;
	int count;

	if (unanswered < PROOF_MISSES) {
		count = members_first_ranked(node->members, SCOPE_ALL, (struct label){ 0 }, 0,
					     peers, PROOF_PEERS);
		peer = count ? peers[rng_below(&rng, (uint64_t)count)] : 0;
	}
	if (peer == 0 || peer == node->options.id)
		peer = members_random(node->members, &rng, unanswered % 2 == 0, peers, 1) ? peers[0]
											  : 0;
	return peer;
}

/* Begins a question for a proof if one is due; returns its number, or 0. */
static uint64_t begin_question(struct node *node, struct instant now, int *unanswered)
{
	struct proof_state *proof = &node->gossip.proof;
	int64_t age_us;
	uint64_t seq = 0;

	lock_acquire(&node->gossip.lock);
	if (proof->asked_seq && deadline_passed(proof->answer_by, now)) {
		proof->asked_seq = 0;
		proof->unanswered++;
	}
	age_us = proof_age_us(node, now);
	if (age_us >= revoke_fraction_us(node, READ_PROOF_PERCENT) && !node->gossip.stopping)
		node->gossip.confirm.check_at = (struct deadline){ now.mono_us };
	if (proof->asked_seq == 0 && node->gossip.boot.phase == BOOT_CURRENT &&
	    age_us >= revoke_fraction_us(node, ASK_PROOF_PERCENT)) {
		seq = rng_next(&node->gossip.rng) | 1;
		proof->asked_seq = seq;
		proof->asked_at_us = now.mono_us;
		proof->answer_by = deadline_after(now, PROOF_ANSWER_US);
	}
	*unanswered = proof->unanswered;
	lock_release(&node->gossip.lock);
	return seq;
}

void confirm_proof_tick(struct node *node, struct instant now, struct actions *out)
{
	struct config *config = node_config(node);
	bool needed = config->has_tenants && node->options.revoke_within_us;
	struct message *message;
	int unanswered = 0;
	uint64_t peer;
	uint64_t seq;

	config_unref(config);
	seq = needed ? begin_question(node, now, &unanswered) : 0;
	peer = seq ? proof_peer(node, unanswered) : 0;
	if (peer == 0)
		return;
	message = message_new(MESSAGE_CONFIRM_ASK);
	message->confirm.seq = seq;
	actions_send(out, peer, message);
}

void confirm_tick(struct node *node, struct instant now, struct actions *out)
{
	int64_t held_version = history_version(node->history);

	if (begin_check(node, held_version, now))
		actions_check_log(out, held_version + 1);
}

struct instant confirm_check_done(struct node *node)
{
	struct instant asked_at;

	lock_acquire(&node->gossip.lock);
	node->gossip.confirm.checking = false;
	asked_at = node->gossip.confirm.asked_at;
	lock_release(&node->gossip.lock);
	return asked_at;
}

void confirm_check_failed(struct node *node, enum log_failure failure, struct instant now)
{
	struct confirm_state *state = &node->gossip.confirm;
	int64_t jitter_us;

	lock_acquire(&node->gossip.lock);
	state->checking = false;
	switch (failure) {
	case LOG_FAILURE_UNAVAILABLE:
	case LOG_FAILURE_LIMITED:
		state->retry_us = CLAMP(2 * state->retry_us, fraction_us(node, RETRY_PERCENT),
					fraction_us(node, RETRY_MAX_PERCENT));
		jitter_us = (int64_t)rng_below(&node->gossip.rng, (uint64_t)state->retry_us + 1);
		state->retry_at = deadline_after(now, state->retry_us / 2 + jitter_us);
		break;
	case LOG_FAILURE_EXPIRED:
		/* The system stream has the newest files; the node reads it even if it is not a
		 * reader. */
		node->gossip.log.expired = true;
		node->gossip.log.system_next = 0;
		break;
	}
	lock_release(&node->gossip.lock);
}
