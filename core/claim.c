#include "core/claim.h"

#include "base/lockorder.h"
#include "base/rng.h"

/* The log takes a few hundred appends a second for the whole fleet: four a second for each of 64
 * partitions, with a burst so that a single claim goes out at once. */
#define APPENDS_PER_S 4.0
#define APPENDS_BURST 4.0
#define RETRY_US      (200 * US_PER_MS)
#define RESEND_US     (500 * US_PER_MS)

enum { BATCH_MAX = 500, KEYS_MAX = 1 << 18 };

/** What the stream says of a key. */
struct held_key {
	struct claim_key key;
	uint64_t holder; /* 0: free */
	bool ran;
	int status;
};

struct ask {
	uint64_t from;
	uint64_t seq;
	struct claim_key key;
	uint64_t claim;
	struct deadline deadline;
	uint64_t batch; /* that carries its note; 0: none yet */
	int64_t offset; /* where it stands; 0: not known yet */
	uint64_t fresh; /* number of the first read that began after the ask came */
};

struct partition {
	GHashTable *keys; /* struct held_key */
	int64_t next;	  /* offset to read from; 0: the oldest kept */
	bool reading;
	bool loaded;	 /* read to its end at least once */
	uint64_t reads;	 /* begun so far */
	int64_t written; /* newest offset that this node appended */
	GArray *asks;	 /* struct ask */
	GArray *ends;	 /* struct claim_note, outcomes to append */
	GArray *sent;	 /* struct claim_note, in the append under way */
	uint64_t batch;	 /* under way; 0: none */
	double tokens;
	int64_t tokens_at_us;
	struct deadline not_before;
};

struct claims {
	struct lock lock; /* LOCK_CLAIMS */
	struct partition partitions[CLAIM_PARTITIONS];
	uint64_t batches;
	GArray *pending; /* struct claim_pending */
};

struct claim_key claim_key_of(struct label route, struct str idempotency_key)
{
	return (struct claim_key){
		.high = str_hash(idempotency_key, str_hash(label_str(&route), 1)),
		.low = str_hash(idempotency_key, str_hash(label_str(&route), 2)),
	};
}

int claim_partition(struct claim_key key)
{
	return (int)(key.high % CLAIM_PARTITIONS);
}

static guint key_hash(gconstpointer data)
{
	return (guint)((const struct held_key *)data)->key.low;
}

static bool same_key(struct claim_key a, struct claim_key b)
{
	return a.high == b.high && a.low == b.low;
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	return same_key(((const struct held_key *)a)->key, ((const struct held_key *)b)->key);
}

struct claims *claims_new(apr_pool_t *pool)
{
	struct claims *claims = g_new0(struct claims, 1);

	lock_init(&claims->lock, LOCK_CLAIMS, pool);
	claims->pending = g_array_new(FALSE, FALSE, sizeof(struct claim_pending));
	return claims;
}

static void partition_clear(struct partition *partition)
{
	if (!partition->keys)
		return;
	g_hash_table_destroy(partition->keys);
	g_array_unref(partition->asks);
	g_array_unref(partition->ends);
	g_array_unref(partition->sent);
}

void claims_free(struct claims *claims)
{
	if (!claims)
		return;
	for (int i = 0; i < CLAIM_PARTITIONS; i++)
		partition_clear(&claims->partitions[i]);
	g_array_unref(claims->pending);
	lock_destroy(&claims->lock);
	g_free(claims);
}

/* A partition takes memory only where this node is its home. */
static struct partition *partition_get(struct claims *claims, int number)
{
	struct partition *partition = &claims->partitions[number];

	if (partition->keys)
		return partition;
	partition->keys = g_hash_table_new_full(key_hash, key_equal, g_free, NULL);
	partition->asks = g_array_new(FALSE, FALSE, sizeof(struct ask));
	partition->ends = g_array_new(FALSE, FALSE, sizeof(struct claim_note));
	partition->sent = g_array_new(FALSE, FALSE, sizeof(struct claim_note));
	partition->tokens = APPENDS_BURST;
	return partition;
}

static struct held_key *find_key(struct partition *partition, struct claim_key key)
{
	struct held_key wanted = { .key = key };

	return g_hash_table_lookup(partition->keys, &wanted);
}

void claims_ask(struct claims *claims, uint64_t from, uint64_t seq, struct claim_key key,
		uint64_t claim, struct deadline deadline)
{
	struct ask ask = {
		.from = from, .seq = seq, .key = key, .claim = claim, .deadline = deadline
	};
	struct partition *partition;
	bool known = false;

	lock_acquire(&claims->lock);
	partition = partition_get(claims, claim_partition(key));
	for (guint i = 0; i < partition->asks->len && !known; i++) {
		const struct ask *other = &g_array_index(partition->asks, struct ask, i);

		known = other->from == from && other->seq == seq;
	}
	ask.fresh = partition->reads + 1;
	if (!known)
		g_array_append_val(partition->asks, ask);
	lock_release(&claims->lock);
}

void claims_end(struct claims *claims, const struct claim_note *note)
{
	lock_acquire(&claims->lock);
	g_array_append_vals(partition_get(claims, claim_partition(note->key))->ends, note, 1);
	lock_release(&claims->lock);
}

static bool take_token(struct partition *partition, struct instant now)
{
	double passed_s = (double)(now.mono_us - partition->tokens_at_us) / US_PER_S;

	partition->tokens = MIN(partition->tokens + passed_s * APPENDS_PER_S, APPENDS_BURST);
	partition->tokens_at_us = now.mono_us;
	if (partition->tokens < 1)
		return false;
	partition->tokens -= 1;
	return true;
}

/* Whether the stream already tells that the ask can't get its key: no append is needed then. */
static bool is_lost(struct partition *partition, const struct ask *ask)
{
	const struct held_key *held = find_key(partition, ask->key);

	return partition->loaded && held && held->holder && held->holder != ask->claim;
}

static void collect(struct partition *partition, uint64_t batch)
{
	g_array_set_size(partition->sent, 0);
	for (guint i = 0; i < partition->asks->len && partition->sent->len < BATCH_MAX; i++) {
		struct ask *ask = &g_array_index(partition->asks, struct ask, i);
		struct claim_note note = { ask->key, ask->claim, CLAIM_TAKE, 0 };

		if (ask->batch || is_lost(partition, ask))
			continue;
		ask->batch = batch;
		g_array_append_val(partition->sent, note);
	}
	while (partition->ends->len && partition->sent->len < BATCH_MAX) {
		g_array_append_vals(partition->sent, partition->ends->data, 1);
		g_array_remove_index(partition->ends, 0);
	}
}

static bool wants_append(struct partition *partition)
{
	if (partition->ends->len)
		return true;
	for (guint i = 0; i < partition->asks->len; i++) {
		const struct ask *ask = &g_array_index(partition->asks, struct ask, i);

		if (!ask->batch && !is_lost(partition, ask))
			return true;
	}
	return false;
}

/* An ask that is lost by what was read may have an outcome by now, maybe from another home. */
static bool needs_fresh(struct partition *partition, const struct ask *ask)
{
	const struct held_key *held = find_key(partition, ask->key);

	return is_lost(partition, ask) && !held->ran &&
	       (partition->reads < ask->fresh || partition->reading);
}

/* What this node wrote beyond what it read, an ask that needs a fresh look, or a first read. */
static bool wants_read(struct partition *partition)
{
	if (partition->written >= partition->next && partition->written > 0)
		return true;
	for (guint i = 0; i < partition->asks->len; i++)
		if (needs_fresh(partition, &g_array_index(partition->asks, struct ask, i)))
			return true;
	return !partition->loaded && partition->asks->len > 0;
}

struct claim_work claims_work(struct claims *claims, int number, struct instant now)
{
	struct claim_work work = { 0 };
	struct partition *partition = &claims->partitions[number];
	bool may;

	lock_acquire(&claims->lock);
	may = partition->keys &&
	      (partition->not_before.at_us == 0 || deadline_passed(partition->not_before, now));
	if (may && !partition->batch && wants_append(partition) && take_token(partition, now)) {
		partition->batch = ++claims->batches;
		collect(partition, partition->batch);
		work.append = true;
		work.batch = partition->batch;
		work.notes = g_array_copy(partition->sent);
	}
	if (may && !partition->reading && wants_read(partition)) {
		partition->reading = true;
		partition->reads++;
		work.read = true;
		work.read_from = partition->next;
	}
	lock_release(&claims->lock);
	return work;
}

static void append_again(struct partition *partition, struct instant now)
{
	/* The same notes with the same claims: if they stand twice, it changes nothing. */
	for (guint i = 0; i < partition->asks->len; i++) {
		struct ask *ask = &g_array_index(partition->asks, struct ask, i);

		if (ask->batch == partition->batch)
			ask->batch = 0;
	}
	for (guint i = 0; i < partition->sent->len; i++) {
		const struct claim_note *note =
			&g_array_index(partition->sent, struct claim_note, i);

		if (note->kind != CLAIM_TAKE)
			g_array_append_vals(partition->ends, note, 1);
	}
	partition->not_before = deadline_after(now, RETRY_US);
}

void claims_appended(struct claims *claims, int number, uint64_t batch, int64_t offset,
		     struct instant now)
{
	struct partition *partition = &claims->partitions[number];

	lock_acquire(&claims->lock);
	if (partition->keys && partition->batch == batch) {
		for (guint i = 0; offset && i < partition->asks->len; i++) {
			struct ask *ask = &g_array_index(partition->asks, struct ask, i);

			if (ask->batch == batch)
				ask->offset = offset;
		}
		partition->written = MAX(partition->written, offset);
		if (!offset)
			append_again(partition, now);
		partition->batch = 0;
	}
	lock_release(&claims->lock);
}

static struct held_key *key_get(struct partition *partition, struct claim_key key)
{
	struct held_key *held = find_key(partition, key);

	if (held)
		return held;
	held = g_new0(struct held_key, 1);
	held->key = key;
	g_hash_table_add(partition->keys, held);
	return held;
}

/* The stream's meaning: the first claim holds, until it releases. */
static void fold_note(struct partition *partition, const struct claim_note *note)
{
	struct held_key *held = key_get(partition, note->key);

	switch (note->kind) {
	case CLAIM_TAKE:
		if (!held->holder)
			held->holder = note->claim;
		return;
	case CLAIM_RAN:
		if (held->holder != note->claim)
			return;
		held->ran = true;
		held->status = note->status;
		return;
	case CLAIM_RELEASE:
		if (held->holder == note->claim && !held->ran)
			held->holder = 0;
		return;
	}
	g_assert_not_reached();
}

void claims_fold(struct claims *claims, int number, int64_t offset, const GArray *notes)
{
	struct partition *partition;

	lock_acquire(&claims->lock);
	partition = partition_get(claims, number);
	if (offset >= partition->next) {
		for (guint i = 0; i < notes->len; i++)
			fold_note(partition, &g_array_index(notes, struct claim_note, i));
		partition->next = offset + 1;
	}
	lock_release(&claims->lock);
}

void claims_read_done(struct claims *claims, int number, int64_t newest)
{
	struct partition *partition;

	lock_acquire(&claims->lock);
	partition = partition_get(claims, number);
	partition->reading = false;
	if (partition->next == 0)
		partition->next = 1;
	partition->loaded |= partition->next > newest;
	lock_release(&claims->lock);
}

void claims_read_failed(struct claims *claims, int number, bool gone, struct instant now)
{
	struct partition *partition;

	lock_acquire(&claims->lock);
	partition = partition_get(claims, number);
	partition->reading = false;
	partition->not_before = deadline_after(now, RETRY_US);
	/* Older records than wanted have lapsed: what is left is all that counts. */
	if (gone)
		partition->next = 0;
	lock_release(&claims->lock);
}

/* Whether an ask can be answered, and with what. */
static bool decide(struct partition *partition, const struct ask *ask, struct claim_answer *answer)
{
	const struct held_key *held = find_key(partition, ask->key);
	bool read = ask->offset > 0 && ask->offset < partition->next;

	if (!read && (!is_lost(partition, ask) || needs_fresh(partition, ask)))
		return false;
	*answer = (struct claim_answer){ ask->from, ask->seq, CLAIM_HELD, 0 };
	if (held && held->holder == ask->claim)
		answer->result = CLAIM_GRANTED;
	if (held && held->ran) {
		answer->result = CLAIM_REPLAYED;
		answer->status = held->status;
	}
	return true;
}

int claims_answers(struct claims *claims, int number, struct instant now, struct claim_answer *out,
		   int max)
{
	struct partition *partition = &claims->partitions[number];
	int count = 0;

	lock_acquire(&claims->lock);
	for (guint i = partition->keys ? partition->asks->len : 0; i-- > 0;) {
		const struct ask *ask = &g_array_index(partition->asks, struct ask, i);
		bool late = deadline_passed(ask->deadline, now);

		if (count < max && decide(partition, ask, &out[count])) {
			count++;
			late = true;
		}
		if (late)
			g_array_remove_index(partition->asks, i);
	}
	if (partition->keys && g_hash_table_size(partition->keys) > KEYS_MAX) {
		/* Read again when next asked for, from the oldest record kept. */
		g_hash_table_remove_all(partition->keys);
		partition->next = 0;
		partition->loaded = false;
	}
	lock_release(&claims->lock);
	return count;
}

void claims_pending_add(struct claims *claims, const struct claim_pending *pending)
{
	lock_acquire(&claims->lock);
	g_array_append_vals(claims->pending, pending, 1);
	lock_release(&claims->lock);
}

bool claims_pending_take(struct claims *claims, uint64_t seq, struct claim_pending *out)
{
	bool found = false;

	lock_acquire(&claims->lock);
	for (guint i = 0; i < claims->pending->len && !found; i++) {
		struct claim_pending *pending =
			&g_array_index(claims->pending, struct claim_pending, i);

		found = pending->seq == seq;
		if (!found)
			continue;
		*out = *pending;
		g_array_remove_index_fast(claims->pending, i);
	}
	lock_release(&claims->lock);
	return found;
}

bool claims_pending_due(struct claims *claims, struct instant now, struct claim_pending *out,
			bool *late)
{
	bool found = false;

	lock_acquire(&claims->lock);
	for (guint i = 0; i < claims->pending->len && !found; i++) {
		struct claim_pending *pending =
			&g_array_index(claims->pending, struct claim_pending, i);

		*late = deadline_passed(pending->until, now);
		found = *late || deadline_passed(pending->resend_at, now);
		if (!found)
			continue;
		pending->resend_at = deadline_after(now, RESEND_US);
		*out = *pending;
		if (*late)
			g_array_remove_index_fast(claims->pending, i);
	}
	lock_release(&claims->lock);
	return found;
}
