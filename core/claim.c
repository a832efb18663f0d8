#include "core/claim.h"

#include "base/lockorder.h"
#include "base/rng.h"

/* The log accepts a few hundred appends a second from the whole fleet: four a second for each of
 * 64 partitions, with a burst so that a single claim is appended without delay. */
#define APPENDS_PER_S 4.0
#define APPENDS_BURST 4.0
#define RETRY_US      (200 * US_PER_MS)
#define RESEND_US     (500 * US_PER_MS)
/* An outcome is reported again after 0.2 s, and then each time after as long as it is known. */
#define ENDING_RESEND_US (200 * US_PER_MS)
#define ENDING_KEPT_US	 (60 * US_PER_S)

enum {
	BATCH_MAX = 500,
	KEYS_MAX = 1 << 18,
	OUTCOMES_MAX = 4 * BATCH_MAX, /* of a partition; further ones are reported again */
	ENDINGS_MAX = 8192,
};

/** State of a key according to the stream. */
struct key_state {
	struct claim_key key;
	uint64_t holder; /* claim that holds the key; 0: free */
	bool ran;
	int status;
};

/** A request of an entry node for a key. */
struct claim_request {
	uint64_t from;
	uint64_t seq;
	struct claim_key key;
	uint64_t claim;
	struct deadline deadline;
	uint64_t batch;		   /* batch that holds its claim; 0: none yet */
	int64_t offset;		   /* offset of the claim; 0: unknown */
	uint64_t first_fresh_read; /* number of the first read that starts after the request */
};

/** The outcome of a claim, reported by an entry node. */
struct outcome {
	struct claim_op op;
	uint64_t from;
};

struct partition {
	GHashTable *keys;    /* struct key_state */
	int64_t next_offset; /* offset to read from; 0: the oldest retained */
	bool reading;
	bool loaded; /* read to the end at least once */
	uint64_t reads_started;
	int64_t newest_written; /* newest offset appended by this node */
	GArray *requests;	/* struct claim_request */
	GArray *outcomes;	/* struct outcome: to append */
	GArray *batch_ops;	/* struct claim_op: in the current append */
	GArray *batch_outcomes; /* struct outcome: those among them */
	GArray *recorded;	/* struct claim_recorded: to be confirmed */
	uint64_t batch;		/* id of the batch in the current append; 0: none */
	double tokens;
	int64_t tokens_at_us;
	struct deadline retry_at;
};

/** An outcome of a claim of this node that is not known to be recorded. */
struct ending {
	struct claim_op op;
	int64_t reported_us; /* monotonic; for the first time */
	struct deadline resend_at;
	struct deadline forget_at;
};

struct claims {
	struct lock lock; /* LOCK_CLAIMS */
	struct partition partitions[CLAIM_PARTITIONS];
	uint64_t last_batch;
	GArray *pending; /* struct claim_pending */
	GArray *endings; /* struct ending, oldest first */
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
	return (guint)((const struct key_state *)data)->key.low;
}

static bool same_key(struct claim_key a, struct claim_key b)
{
	return a.high == b.high && a.low == b.low;
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	return same_key(((const struct key_state *)a)->key, ((const struct key_state *)b)->key);
}

struct claims *claims_new(apr_pool_t *pool)
{
	struct claims *claims = g_new0(struct claims, 1);

	lock_init(&claims->lock, LOCK_CLAIMS, pool);
	claims->pending = g_array_new(FALSE, FALSE, sizeof(struct claim_pending));
	claims->endings = g_array_new(FALSE, FALSE, sizeof(struct ending));
	return claims;
}

static void partition_clear(struct partition *partition)
{
	if (!partition->keys)
		return;
	g_hash_table_destroy(partition->keys);
	g_array_unref(partition->requests);
	g_array_unref(partition->outcomes);
	g_array_unref(partition->batch_ops);
	g_array_unref(partition->batch_outcomes);
	g_array_unref(partition->recorded);
}

void claims_free(struct claims *claims)
{
	if (!claims)
		return;
	for (int i = 0; i < CLAIM_PARTITIONS; i++)
		partition_clear(&claims->partitions[i]);
	g_array_unref(claims->pending);
	g_array_unref(claims->endings);
	lock_destroy(&claims->lock);
	g_free(claims);
}

/* Allocates a partition on first use: only homes need the memory. */
static struct partition *find_or_create_partition(struct claims *claims, int partition_index)
{
	struct partition *partition = &claims->partitions[partition_index];

	if (partition->keys)
		return partition;
	partition->keys = g_hash_table_new_full(key_hash, key_equal, g_free, NULL);
	partition->requests = g_array_new(FALSE, FALSE, sizeof(struct claim_request));
	partition->outcomes = g_array_new(FALSE, FALSE, sizeof(struct outcome));
	partition->batch_ops = g_array_new(FALSE, FALSE, sizeof(struct claim_op));
	partition->batch_outcomes = g_array_new(FALSE, FALSE, sizeof(struct outcome));
	partition->recorded = g_array_new(FALSE, FALSE, sizeof(struct claim_recorded));
	partition->tokens = APPENDS_BURST;
	return partition;
}

static struct key_state *find_key(struct partition *partition, struct claim_key key)
{
	struct key_state wanted = { .key = key };

	return g_hash_table_lookup(partition->keys, &wanted);
}

void claims_request(struct claims *claims, uint64_t from, uint64_t seq, struct claim_key key,
		    uint64_t claim, struct deadline deadline)
{
	struct claim_request request = {
		.from = from, .seq = seq, .key = key, .claim = claim, .deadline = deadline
	};
	struct partition *partition;
	bool duplicate = false;

	lock_acquire(&claims->lock);
	partition = find_or_create_partition(claims, claim_partition(key));
	for (guint i = 0; i < partition->requests->len && !duplicate; i++) {
		const struct claim_request *queued =
			&g_array_index(partition->requests, struct claim_request, i);

		duplicate = queued->from == from && queued->seq == seq;
	}
	request.first_fresh_read = partition->reads_started + 1;
	if (!duplicate)
		g_array_append_val(partition->requests, request);
	lock_release(&claims->lock);
}

static bool holds_outcome(const GArray *outcomes, const struct claim_op *op)
{
	for (guint i = 0; i < outcomes->len; i++)
		if (g_array_index(outcomes, struct outcome, i).op.claim == op->claim)
			return true;
	return false;
}

/* Returns whether the log is known to hold the outcome. A release is appended again instead: its
 * claim may be among records that are not read yet. */
static bool is_recorded(struct partition *partition, const struct claim_op *op)
{
	const struct key_state *state = find_key(partition, op->key);

	return op->kind == CLAIM_COMPLETE && state && state->ran && state->holder == op->claim;
}

static void add_recorded(struct partition *partition, uint64_t from, uint64_t claim)
{
	struct claim_recorded recorded = { from, claim };

	g_array_append_val(partition->recorded, recorded);
}

void claims_end(struct claims *claims, uint64_t from, const struct claim_op *op)
{
	struct outcome outcome = { *op, from };
	struct partition *partition;

	lock_acquire(&claims->lock);
	partition = find_or_create_partition(claims, claim_partition(op->key));
	if (is_recorded(partition, op))
		add_recorded(partition, from, op->claim);
	else if (partition->outcomes->len < OUTCOMES_MAX &&
		 !holds_outcome(partition->outcomes, op) &&
		 !(partition->batch && holds_outcome(partition->batch_outcomes, op)))
		g_array_append_val(partition->outcomes, outcome);
	lock_release(&claims->lock);
}

int claims_take_recorded(struct claims *claims, int partition_index, struct claim_recorded *out,
			 int max)
{
	struct partition *partition = &claims->partitions[partition_index];
	int count = 0;

	lock_acquire(&claims->lock);
	for (; partition->keys && partition->recorded->len && count < max; count++) {
		guint last = partition->recorded->len - 1;

		out[count] = g_array_index(partition->recorded, struct claim_recorded, last);
		g_array_set_size(partition->recorded, last);
	}
	lock_release(&claims->lock);
	return count;
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

/* Returns whether another claim holds the key of the request, so that no append is needed. */
static bool is_held_by_other(struct partition *partition, const struct claim_request *request)
{
	const struct key_state *state = find_key(partition, request->key);

	return partition->loaded && state && state->holder && state->holder != request->claim;
}

static void collect_batch(struct partition *partition, uint64_t batch)
{
	g_array_set_size(partition->batch_ops, 0);
	g_array_set_size(partition->batch_outcomes, 0);
	for (guint i = 0; i < partition->requests->len && partition->batch_ops->len < BATCH_MAX;
	     i++) {
		struct claim_request *request =
			&g_array_index(partition->requests, struct claim_request, i);
		struct claim_op op = { request->key, request->claim, CLAIM_ACQUIRE, 0 };

		if (request->batch || is_held_by_other(partition, request))
			continue;
		request->batch = batch;
		g_array_append_val(partition->batch_ops, op);
	}
	while (partition->outcomes->len && partition->batch_ops->len < BATCH_MAX) {
		struct outcome outcome = g_array_index(partition->outcomes, struct outcome, 0);

		g_array_append_val(partition->batch_ops, outcome.op);
		g_array_append_val(partition->batch_outcomes, outcome);
		g_array_remove_index(partition->outcomes, 0);
	}
}

static bool needs_append(struct partition *partition)
{
	if (partition->outcomes->len)
		return true;
	for (guint i = 0; i < partition->requests->len; i++) {
		const struct claim_request *request =
			&g_array_index(partition->requests, struct claim_request, i);

		if (!request->batch && !is_held_by_other(partition, request))
			return true;
	}
	return false;
}

/* Returns whether the holder's outcome may be in the log unread, e.g. from another home. */
static bool needs_fresh_read(struct partition *partition, const struct claim_request *request)
{
	const struct key_state *state = find_key(partition, request->key);

	return is_held_by_other(partition, request) && !state->ran &&
	       (partition->reads_started < request->first_fresh_read || partition->reading);
}

/* Returns whether appends of this node are unread, a request needs a fresh read, or no read ended
 * yet. */
static bool needs_read(struct partition *partition)
{
	if (partition->newest_written >= partition->next_offset && partition->newest_written > 0)
		return true;
	for (guint i = 0; i < partition->requests->len; i++)
		if (needs_fresh_read(partition,
				     &g_array_index(partition->requests, struct claim_request, i)))
			return true;
	return !partition->loaded && partition->requests->len > 0;
}

struct claim_work claims_next_work(struct claims *claims, int partition_index, struct instant now)
{
	struct claim_work work = { 0 };
	struct partition *partition = &claims->partitions[partition_index];
	bool allowed;

	lock_acquire(&claims->lock);
	allowed = partition->keys &&
		  (partition->retry_at.at_us == 0 || deadline_passed(partition->retry_at, now));
	if (allowed && !partition->batch && needs_append(partition) && take_token(partition, now)) {
		partition->batch = ++claims->last_batch;
		collect_batch(partition, partition->batch);
		work.append = true;
		work.batch = partition->batch;
		work.ops = g_array_copy(partition->batch_ops);
	}
	if (allowed && !partition->reading && needs_read(partition)) {
		partition->reading = true;
		partition->reads_started++;
		work.read = true;
		work.read_from = partition->next_offset;
	}
	lock_release(&claims->lock);
	return work;
}

static void requeue_batch(struct partition *partition, struct instant now)
{
	/* The operations keep their claim ids, so a second copy in the log has no effect. */
	for (guint i = 0; i < partition->requests->len; i++) {
		struct claim_request *request =
			&g_array_index(partition->requests, struct claim_request, i);

		if (request->batch == partition->batch)
			request->batch = 0;
	}
	g_array_append_vals(partition->outcomes, partition->batch_outcomes->data,
			    partition->batch_outcomes->len);
	partition->retry_at = deadline_after(now, RETRY_US);
}

/* Sets the offset of the batch's claims, and confirms its outcomes. */
static void record_batch(struct partition *partition, int64_t offset)
{
	for (guint i = 0; i < partition->requests->len; i++) {
		struct claim_request *request =
			&g_array_index(partition->requests, struct claim_request, i);

		if (request->batch == partition->batch)
			request->offset = offset;
	}
	for (guint i = 0; i < partition->batch_outcomes->len; i++) {
		const struct outcome *outcome =
			&g_array_index(partition->batch_outcomes, struct outcome, i);

		add_recorded(partition, outcome->from, outcome->op.claim);
	}
	partition->newest_written = MAX(partition->newest_written, offset);
}

void claims_appended(struct claims *claims, int partition_index, uint64_t batch, int64_t offset,
		     struct instant now)
{
	struct partition *partition = &claims->partitions[partition_index];

	lock_acquire(&claims->lock);
	if (partition->keys && partition->batch == batch) {
		if (offset)
			record_batch(partition, offset);
		else
			requeue_batch(partition, now);
		partition->batch = 0;
	}
	lock_release(&claims->lock);
}

static struct key_state *find_or_add_key(struct partition *partition, struct claim_key key)
{
	struct key_state *state = find_key(partition, key);

	if (state)
		return state;
	state = g_new0(struct key_state, 1);
	state->key = key;
	g_hash_table_add(partition->keys, state);
	return state;
}

/* Applies an operation: the first claim holds the key until its release. */
static void apply_op(struct partition *partition, const struct claim_op *op)
{
	struct key_state *state = find_or_add_key(partition, op->key);

	switch (op->kind) {
	case CLAIM_ACQUIRE:
		if (!state->holder)
			state->holder = op->claim;
		return;
	case CLAIM_COMPLETE:
		if (state->holder != op->claim)
			return;
		state->ran = true;
		state->status = op->status;
		return;
	case CLAIM_RELEASE:
		if (state->holder == op->claim && !state->ran)
			state->holder = 0;
		return;
	}
	g_assert_not_reached();
}

void claims_apply(struct claims *claims, int partition_index, int64_t offset, const GArray *ops)
{
	struct partition *partition;

	lock_acquire(&claims->lock);
	partition = find_or_create_partition(claims, partition_index);
	if (offset >= partition->next_offset) {
		for (guint i = 0; i < ops->len; i++)
			apply_op(partition, &g_array_index(ops, struct claim_op, i));
		partition->next_offset = offset + 1;
	}
	lock_release(&claims->lock);
}

void claims_read_done(struct claims *claims, int partition_index, int64_t newest)
{
	struct partition *partition;

	lock_acquire(&claims->lock);
	partition = find_or_create_partition(claims, partition_index);
	partition->reading = false;
	if (partition->next_offset == 0)
		partition->next_offset = 1;
	partition->loaded |= partition->next_offset > newest;
	lock_release(&claims->lock);
}

void claims_read_failed(struct claims *claims, int partition_index, bool expired,
			struct instant now)
{
	struct partition *partition;

	lock_acquire(&claims->lock);
	partition = find_or_create_partition(claims, partition_index);
	partition->reading = false;
	partition->retry_at = deadline_after(now, RETRY_US);
	/* The wanted records have expired; the next read starts at the oldest retained one. */
	if (expired)
		partition->next_offset = 0;
	lock_release(&claims->lock);
}

/* Answers a request if its outcome is known; returns false if it is not. */
static bool answer_request(struct partition *partition, const struct claim_request *request,
			   struct claim_answer *answer)
{
	const struct key_state *state = find_key(partition, request->key);
	bool is_read = request->offset > 0 && request->offset < partition->next_offset;

	if (!is_read &&
	    (!is_held_by_other(partition, request) || needs_fresh_read(partition, request)))
		return false;
	*answer = (struct claim_answer){ request->from, request->seq, CLAIM_HELD, 0 };
	if (state && state->holder == request->claim)
		answer->result = CLAIM_GRANTED;
	if (state && state->ran) {
		answer->result = CLAIM_REPLAYED;
		answer->status = state->status;
	}
	return true;
}

int claims_take_answers(struct claims *claims, int partition_index, struct instant now,
			struct claim_answer *out, int max)
{
	struct partition *partition = &claims->partitions[partition_index];
	int count = 0;

	lock_acquire(&claims->lock);
	for (guint i = partition->keys ? partition->requests->len : 0; i-- > 0;) {
		const struct claim_request *request =
			&g_array_index(partition->requests, struct claim_request, i);
		bool expired = deadline_passed(request->deadline, now);

		if (count < max && answer_request(partition, request, &out[count])) {
			count++;
			expired = true;
		}
		if (expired)
			g_array_remove_index(partition->requests, i);
	}
	if (partition->keys && g_hash_table_size(partition->keys) > KEYS_MAX) {
		/* The next read starts again at the oldest retained record. */
		g_hash_table_remove_all(partition->keys);
		partition->next_offset = 0;
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

bool claims_pending_remove(struct claims *claims, uint64_t seq, struct claim_pending *out)
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
			bool *expired)
{
	bool found = false;

	lock_acquire(&claims->lock);
	for (guint i = 0; i < claims->pending->len && !found; i++) {
		struct claim_pending *pending =
			&g_array_index(claims->pending, struct claim_pending, i);

		*expired = deadline_passed(pending->deadline, now);
		found = *expired || deadline_passed(pending->resend_at, now);
		if (!found)
			continue;
		pending->resend_at = deadline_after(now, RESEND_US);
		*out = *pending;
		if (*expired)
			g_array_remove_index_fast(claims->pending, i);
	}
	lock_release(&claims->lock);
	return found;
}

void claims_ending_add(struct claims *claims, const struct claim_op *op, struct instant now)
{
	struct ending ending = { .op = *op,
				 .reported_us = now.mono_us,
				 .resend_at = deadline_after(now, ENDING_RESEND_US),
				 .forget_at = deadline_after(now, ENDING_KEPT_US) };

	lock_acquire(&claims->lock);
	if (claims->endings->len == ENDINGS_MAX)
		g_array_remove_index(claims->endings, 0);
	g_array_append_val(claims->endings, ending);
	lock_release(&claims->lock);
}

bool claims_ending_remove(struct claims *claims, uint64_t claim)
{
	bool found = false;

	lock_acquire(&claims->lock);
	for (guint i = 0; i < claims->endings->len && !found; i++) {
		found = g_array_index(claims->endings, struct ending, i).op.claim == claim;
		if (found)
			g_array_remove_index(claims->endings, i);
	}
	lock_release(&claims->lock);
	return found;
}

static void drop_old_endings(struct claims *claims, struct instant now)
{
	guint old = 0;

	while (old < claims->endings->len &&
	       deadline_passed(g_array_index(claims->endings, struct ending, old).forget_at, now))
		old++;
	g_array_remove_range(claims->endings, 0, old);
}

bool claims_ending_due(struct claims *claims, struct instant now, struct claim_op *out)
{
	bool found = false;

	lock_acquire(&claims->lock);
	drop_old_endings(claims, now);
	for (guint i = 0; i < claims->endings->len && !found; i++) {
		struct ending *ending = &g_array_index(claims->endings, struct ending, i);

		found = deadline_passed(ending->resend_at, now);
		if (!found)
			continue;
		ending->resend_at = deadline_after(
			now, MAX(now.mono_us - ending->reported_us, ENDING_RESEND_US));
		*out = ending->op;
	}
	lock_release(&claims->lock);
	return found;
}
