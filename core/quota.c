#include "core/quota.h"

#include <math.h>

#include "base/lockorder.h"
#include "base/rng.h"

/* Parts of the tolerance: tokens that are given out and not used yet, and a share on top of the
 * rate and the burst, so that a tenant at its limit isn't refused for rounding. */
#define LIFETIME_FRACTION 0.6
#define EXTRA_FRACTION	  0.3
/* Part of the allowance that the bursts get. A small tenant's limit is split into shards with about
 * one token each, and parts of tokens serve nobody. */
#define ALLOWANCE_FRACTION 0.3

/* Time for an answer, before the next holder is asked as well. */
#define ANSWER_US (100 * US_PER_MS)

#define DEMAND_US	(1 * US_PER_S)	 /* time constant of the smoothed demand */
#define LIFETIME_MIN_US (50 * US_PER_MS) /* without a tolerance: a slow answer must do */
#define ROOM_MIN_US	(20 * US_PER_MS)
#define ROOM_MAX_US	(1 * US_PER_S)
#define UNREACHED_US	(200 * US_PER_MS)
/* Longest time without a question: the shards get tokens all the while. */
#define REFUSE_MAX_US	(250 * US_PER_MS)
#define SPARE_FRACTION	0.5 /* of a bucket: tokens beyond those needed come from above it */
#define BUCKETS_IDLE_US (60 * US_PER_S)

enum {
	WAITING_MAX = 1024, /* requests of one tenant that wait for a token */
	TABLE_MAX = 4096,   /* entries; then those that rested are dropped */
};

/* One shard of a tenant's limit, at its holder. */
struct bucket {
	struct label tenant;
	int shard;
	double tokens;
	int64_t filled_at_us;
	double missing; /* tokens asked for in vain, decaying */
};

/* A tenant at an entry node. */
struct account {
	struct label tenant;
	int tokens;
	struct deadline tokens_until;
	struct deadline refuse_until;  /* requests are refused until then, without a question */
	struct quota_decision refusal; /* until .refuse_until */
	double demand_per_s;
	int64_t demand_at_us;
	GQueue waiting; /* uint64_t *, owned */
	int preferred;	/* shard that gave tokens last */
	uint64_t seq;	/* question of this round that is open; 0: none */
	int first;	/* shard that was asked first in this round */
	int tried;	/* shards asked in this round */
	bool unreached; /* one of them did not answer */
	int64_t room_in_us;
};

/* A question that was asked. Its answer counts until its tokens would have expired. */
struct asked {
	uint64_t seq;
	struct label tenant;
	int shard;
	int64_t at_us;
	struct deadline answer_by; /* then another shard is asked */
	struct deadline forget_at;
};

struct quota {
	struct lock lock;
	struct quota_options options;
	struct rng rng;
	GHashTable *buckets;  /* struct bucket, by tenant and shard */
	GHashTable *accounts; /* struct label -> struct account */
	GHashTable *asked;    /* number -> struct asked */
};

static guint bucket_hash(gconstpointer data)
{
	const struct bucket *bucket = data;

	return label_hash(&bucket->tenant) * QUOTA_SHARDS + (guint)bucket->shard;
}

static gboolean bucket_equal(gconstpointer a, gconstpointer b)
{
	const struct bucket *x = a;
	const struct bucket *y = b;

	return x->shard == y->shard && label_equal(&x->tenant, &y->tenant);
}

static void account_free(gpointer data)
{
	struct account *account = data;

	g_queue_clear_full(&account->waiting, g_free);
	g_free(account);
}

struct quota *quota_new(const struct quota_options *options, apr_pool_t *pool)
{
	struct quota *quota = g_new0(struct quota, 1);

	lock_init(&quota->lock, LOCK_QUOTA, pool);
	quota->options = *options;
	quota->rng.state = rng_mix(options->seed);
	quota->buckets = g_hash_table_new_full(bucket_hash, bucket_equal, g_free, NULL);
	quota->accounts = g_hash_table_new_full(label_hash, label_hash_equal, NULL, account_free);
	quota->asked = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return quota;
}

void quota_free(struct quota *quota)
{
	if (!quota)
		return;
	g_hash_table_destroy(quota->asked);
	g_hash_table_destroy(quota->accounts);
	g_hash_table_destroy(quota->buckets);
	lock_destroy(&quota->lock);
	g_free(quota);
}

/* How long tokens may be used after they were asked for. */
static int64_t lifetime_us(const struct quota *quota)
{
	int64_t us = (int64_t)(LIFETIME_FRACTION * quota->options.tolerance *
			       (double)quota->options.window_us);

	return MAX(us, LIFETIME_MIN_US);
}

static double shard_fill_per_s(const struct quota *quota, const struct quota_limit *limit)
{
	return limit->limit_per_s * (1 + EXTRA_FRACTION * quota->options.tolerance) / QUOTA_SHARDS;
}

static double shard_burst(const struct quota *quota, const struct quota_limit *limit)
{
	double burst = limit->burst * (1 + EXTRA_FRACTION * quota->options.tolerance) +
		       ALLOWANCE_FRACTION * quota->options.allowance;

	return MAX(burst / QUOTA_SHARDS, 1);
}

static gboolean bucket_rested(gpointer key, gpointer value, gpointer data)
{
	const struct bucket *bucket = key;
	const struct instant *now = data;

	(void)value;
	return now->mono_us - bucket->filled_at_us > BUCKETS_IDLE_US;
}

static struct bucket *bucket_get(struct quota *quota, const struct quota_question *question,
				 int64_t held_since_us, struct instant now)
{
	struct bucket wanted = { .tenant = question->tenant, .shard = question->shard };
	struct bucket *bucket = g_hash_table_lookup(quota->buckets, &wanted);

	if (bucket)
		return bucket;
	if (g_hash_table_size(quota->buckets) >= TABLE_MAX)
		g_hash_table_foreach_remove(quota->buckets, bucket_rested, &now);
	bucket = g_memdup2(&wanted, sizeof(wanted));
	bucket->filled_at_us = MIN(held_since_us, now.mono_us);
	g_hash_table_add(quota->buckets, bucket);
	return bucket;
}

static void bucket_fill(struct bucket *bucket, double fill_per_s, double burst, struct instant now)
{
	double seconds = (double)(now.mono_us - bucket->filled_at_us) / US_PER_S;

	bucket->tokens = MIN(bucket->tokens + fill_per_s * seconds, burst);
	bucket->missing *= exp(-seconds);
	bucket->filled_at_us = now.mono_us;
}

/* Takes what waiting requests need, and beyond that only from the upper part of the bucket: tokens
 * that expire unused are lost to the tenant. */
static int bucket_take(struct bucket *bucket, const struct quota_question *question, double burst)
{
	int tokens = MIN(question->needed, (int)bucket->tokens);
	int spare;

	bucket->tokens -= tokens;
	spare = (int)MAX(bucket->tokens - SPARE_FRACTION * burst, 0);
	if (tokens == question->needed && spare > 0) {
		spare = MIN(spare, question->extra);
		bucket->tokens -= spare;
		tokens += spare;
	}
	return tokens;
}

struct quota_grant quota_grant(struct quota *quota, const struct quota_limit *limit,
			       const struct quota_question *question, int64_t held_since_us,
			       struct instant now)
{
	double fill_per_s = shard_fill_per_s(quota, limit);
	double burst = shard_burst(quota, limit);
	struct quota_grant grant = { .holds = true };
	struct bucket *bucket;
	double wanted;

	lock_acquire(&quota->lock);
	bucket = bucket_get(quota, question, held_since_us, now);
	bucket_fill(bucket, fill_per_s, burst, now);
	grant.tokens = bucket_take(bucket, question, burst);
	if (grant.tokens < question->needed) {
		/* Each shard is asked for all; a part of them will come back to this one. */
		bucket->missing += (double)(question->needed - grant.tokens) / QUOTA_SHARDS;
		wanted = bucket->missing - bucket->tokens;
		grant.room_in_us =
			fill_per_s > 0 ? (int64_t)(wanted / fill_per_s * US_PER_S) : ROOM_MAX_US;
		grant.room_in_us = CLAMP(grant.room_in_us, ROOM_MIN_US, ROOM_MAX_US);
	}
	lock_release(&quota->lock);
	return grant;
}

GArray *quota_shards(struct quota *quota)
{
	GArray *shards = g_array_new(FALSE, FALSE, sizeof(struct quota_shard));
	GHashTableIter iter;
	gpointer key;

	lock_acquire(&quota->lock);
	g_hash_table_iter_init(&iter, quota->buckets);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct bucket *bucket = key;
		struct quota_shard shard = { bucket->tenant, bucket->shard };

		g_array_append_val(shards, shard);
	}
	lock_release(&quota->lock);
	return shards;
}

void quota_drop(struct quota *quota, const struct quota_shard *shard)
{
	struct bucket bucket = { .tenant = shard->tenant, .shard = shard->index };

	lock_acquire(&quota->lock);
	g_hash_table_remove(quota->buckets, &bucket);
	lock_release(&quota->lock);
}

void quota_drop_all(struct quota *quota)
{
	lock_acquire(&quota->lock);
	g_hash_table_remove_all(quota->buckets);
	lock_release(&quota->lock);
}

static gboolean account_rested(gpointer key, gpointer value, gpointer data)
{
	const struct account *account = value;
	const struct instant *now = data;

	(void)key;
	return account->seq == 0 && now->mono_us - account->demand_at_us > BUCKETS_IDLE_US;
}

static struct account *account_get(struct quota *quota, const struct label *tenant,
				   struct instant now)
{
	struct account *account = g_hash_table_lookup(quota->accounts, tenant);

	if (account)
		return account;
	if (g_hash_table_size(quota->accounts) >= TABLE_MAX)
		g_hash_table_foreach_remove(quota->accounts, account_rested, &now);
	account = g_new0(struct account, 1);
	account->tenant = *tenant;
	account->demand_at_us = now.mono_us;
	account->preferred = (int)rng_below(&quota->rng, QUOTA_SHARDS);
	g_queue_init(&account->waiting);
	g_hash_table_insert(quota->accounts, &account->tenant, account);
	return account;
}

static void note_demand(struct account *account, struct instant now)
{
	double elapsed = (double)(now.mono_us - account->demand_at_us) / DEMAND_US;

	account->demand_per_s = account->demand_per_s * exp(-elapsed) + 1;
	account->demand_at_us = now.mono_us;
}

/* Tokens expire by the monotonic clock, which stands still while a VM is suspended: those of one
 * lifetime may then be used once, late. */
static bool take_token(struct account *account, struct instant now)
{
	if (deadline_passed(account->tokens_until, now))
		account->tokens = 0;
	if (account->tokens == 0)
		return false;
	account->tokens--;
	return true;
}

/* Asks the next shard of the account's round. */
static void ask(struct quota *quota, struct account *account, struct instant now,
		struct quota_question *question)
{
	struct asked *asked = g_new0(struct asked, 1);

	asked->seq = rng_next(&quota->rng) | 1;
	asked->tenant = account->tenant;
	asked->shard = (account->first + account->tried) % QUOTA_SHARDS;
	asked->at_us = now.mono_us;
	asked->answer_by = deadline_after(now, ANSWER_US);
	asked->forget_at = deadline_after(now, MAX(lifetime_us(quota), ANSWER_US));
	g_hash_table_insert(quota->asked, &asked->seq, asked);
	account->seq = asked->seq;
	account->tried++;
	*question = (struct quota_question){
		.seq = asked->seq,
		.tenant = account->tenant,
		.shard = asked->shard,
		.needed = (int)account->waiting.length,
		.extra = (int)(account->demand_per_s * (double)lifetime_us(quota) / US_PER_S),
	};
}

static void begin_round(struct account *account)
{
	account->first = account->preferred;
	account->tried = 0;
	account->unreached = false;
	account->room_in_us = ROOM_MAX_US;
}

static struct quota_decision take(struct account *account, uint64_t waiter, struct instant now)
{
	struct quota_decision decision = { .kind = QUOTA_WAITS };

	note_demand(account, now);
	if (take_token(account, now)) {
		decision.kind = QUOTA_TAKEN;
		decision.token_until = account->tokens_until;
	} else if (account->refuse_until.at_us && !deadline_passed(account->refuse_until, now)) {
		decision = account->refusal;
	} else if (account->waiting.length >= WAITING_MAX) {
		decision.kind = QUOTA_EXCEEDED;
		decision.room_in_us = ROOM_MAX_US;
	} else {
		g_queue_push_tail(&account->waiting, g_memdup2(&waiter, sizeof(waiter)));
	}
	return decision;
}

bool quota_take(struct quota *quota, const struct label *tenant, uint64_t waiter,
		struct instant now, struct quota_decision *decision,
		struct quota_question *question)
{
	struct account *account;
	bool asks;

	lock_acquire(&quota->lock);
	account = account_get(quota, tenant, now);
	*decision = take(account, waiter, now);
	asks = decision->kind == QUOTA_WAITS && account->seq == 0;
	if (asks) {
		begin_round(account);
		ask(quota, account, now, question);
	}
	lock_release(&quota->lock);
	return asks;
}

static void end_waiting(struct account *account, struct quota_decision decision, GArray *results)
{
	uint64_t *waiter = g_queue_pop_head(&account->waiting);
	struct quota_result result = { *waiter, decision };

	g_array_append_val(results, result);
	g_free(waiter);
}

static void use_tokens(struct account *account, struct instant now, GArray *results)
{
	while (account->waiting.length && take_token(account, now))
		end_waiting(account,
			    (struct quota_decision){ .kind = QUOTA_TAKEN,
						     .token_until = account->tokens_until },
			    results);
}

/* No shard has tokens for the requests that still wait. */
static void end_round(struct account *account, struct instant now, GArray *results)
{
	struct quota_decision decision = { .kind = QUOTA_EXCEEDED,
					   .room_in_us = account->room_in_us };

	if (account->unreached)
		decision = (struct quota_decision){ .kind = QUOTA_UNREACHED,
						    .room_in_us = UNREACHED_US };
	account->refusal = decision;
	account->refuse_until = deadline_after(now, MIN(decision.room_in_us, REFUSE_MAX_US));
	account->seq = 0;
	while (account->waiting.length)
		end_waiting(account, decision, results);
}

/* Continues after the open question was answered or given up. Returns true if *next is to be asked.
 */
static bool next_step(struct quota *quota, struct account *account, struct instant now,
		      GArray *results, struct quota_question *next)
{
	account->seq = 0;
	if (account->waiting.length == 0)
		return false;
	if (account->tried == QUOTA_SHARDS) {
		end_round(account, now, results);
		return false;
	}
	ask(quota, account, now, next);
	return true;
}

/* Adds tokens; those that are there already and the new ones all expire with the older ones. */
static void add_tokens(struct account *account, int tokens, struct deadline until,
		       struct instant now)
{
	if (account->tokens == 0 || deadline_passed(account->tokens_until, now)) {
		account->tokens = 0;
		account->tokens_until = until;
	}
	account->tokens_until.at_us = MIN(account->tokens_until.at_us, until.at_us);
	account->tokens += tokens;
}

static void add_grant(struct quota *quota, struct account *account, const struct asked *asked,
		      const struct quota_grant *grant, struct instant now)
{
	struct deadline until = { asked->at_us + lifetime_us(quota) };

	if (!grant->holds)
		account->unreached = true;
	else if (grant->room_in_us > 0)
		account->room_in_us = MIN(account->room_in_us, grant->room_in_us);
	if (grant->tokens <= 0 || deadline_passed(until, now))
		return;
	add_tokens(account, grant->tokens, until, now);
	account->preferred = asked->shard;
	account->refuse_until = (struct deadline){ 0 };
}

bool quota_answered(struct quota *quota, uint64_t seq, const struct quota_grant *grant,
		    struct instant now, GArray *results, struct quota_question *next)
{
	struct account *account = NULL;
	struct asked *asked;
	bool asks = false;

	lock_acquire(&quota->lock);
	asked = g_hash_table_lookup(quota->asked, &seq);
	if (asked)
		account = g_hash_table_lookup(quota->accounts, &asked->tenant);
	if (account) {
		bool open = account->seq == seq;

		add_grant(quota, account, asked, grant, now);
		use_tokens(account, now, results);
		if (open)
			asks = next_step(quota, account, now, results, next);
	}
	g_hash_table_remove(quota->asked, &seq);
	lock_release(&quota->lock);
	return asks;
}

/* Returns an account whose open question has no answer in time, and drops old questions. */
static struct account *first_overdue(struct quota *quota, struct instant now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quota->asked);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct asked *asked = value;
		struct account *account = g_hash_table_lookup(quota->accounts, &asked->tenant);
		bool open = account && account->seq == asked->seq;

		if (open && deadline_passed(asked->answer_by, now))
			return account;
		if (!open && deadline_passed(asked->forget_at, now))
			g_hash_table_iter_remove(&iter);
	}
	return NULL;
}

bool quota_expire(struct quota *quota, struct instant now, GArray *results,
		  struct quota_question *next)
{
	struct account *account;
	bool asks = false;

	lock_acquire(&quota->lock);
	while (!asks && (account = first_overdue(quota, now)) != NULL) {
		account->unreached = true;
		asks = next_step(quota, account, now, results, next);
	}
	lock_release(&quota->lock);
	return asks;
}

void quota_return(struct quota *quota, const struct label *tenant, struct deadline until,
		  struct instant now)
{
	struct account *account;

	lock_acquire(&quota->lock);
	account = g_hash_table_lookup(quota->accounts, tenant);
	if (account && !deadline_passed(until, now))
		add_tokens(account, 1, until, now);
	lock_release(&quota->lock);
}
