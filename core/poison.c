#include "core/poison.h"

#include "base/lockorder.h"

/* Entries that expire sooner are not exchanged: each transfer takes a while, so that nodes would
 * revive each other's expired entries for ever. */
#define EXCHANGE_MIN_US (5 * US_PER_S)
/* A mark that arrives by another way is that much later at most. */
#define EXTENSION_MIN_US (1 * US_PER_S)

enum { CRASHES_MAX = 2 };

struct entry {
	uint64_t fingerprint;
	uint64_t crash[CRASHES_MAX];
	int crashes;
	struct deadline expires_at;
};

struct poison {
	struct lock lock;
	GHashTable *entries; /* fingerprint -> struct entry */
	int lost;
};

struct poison *poison_new(apr_pool_t *pool)
{
	struct poison *poison = g_new0(struct poison, 1);

	lock_init(&poison->lock, LOCK_POISON, pool);
	poison->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return poison;
}

void poison_free(struct poison *poison)
{
	if (!poison)
		return;
	g_hash_table_destroy(poison->entries);
	lock_destroy(&poison->lock);
	g_free(poison);
}

static gboolean has_expired(gpointer key, gpointer value, gpointer now)
{
	const struct entry *entry = value;

	(void)key;
	return deadline_passed(entry->expires_at, *(const struct instant *)now);
}

static bool gives_way(const struct entry *entry, const struct entry *other)
{
	if (entry->crashes != other->crashes)
		return entry->crashes < other->crashes;
	return entry->expires_at.at_us < other->expires_at.at_us;
}

static struct entry *first_to_give_way(const struct poison *poison)
{
	struct entry *first = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, poison->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!first || gives_way(value, first))
			first = value;
	return first;
}

/* Makes room for an entry. The same entries give way on each node: if it were the oldest, a flood
 * of requests that crash one target each would remove a request that crashed two. */
static bool make_room(struct poison *poison, const struct entry *added, struct instant *now)
{
	const struct entry *first;

	if (g_hash_table_size(poison->entries) < POISON_ENTRIES_MAX ||
	    g_hash_table_foreach_remove(poison->entries, has_expired, now) > 0)
		return true;
	poison->lost++;
	first = first_to_give_way(poison);
	if (!gives_way(first, added))
		return false;
	g_hash_table_remove(poison->entries, &first->fingerprint);
	return true;
}

static bool add_entry(struct poison *poison, const struct poison_mark *mark,
		      struct deadline expires_at, struct instant *now)
{
	struct entry added = { .fingerprint = mark->fingerprint,
			       .crash = { mark->crash },
			       .crashes = 1,
			       .expires_at = expires_at };
	struct entry *entry;

	if (!make_room(poison, &added, now))
		return false;
	entry = g_memdup2(&added, sizeof(added));
	g_hash_table_insert(poison->entries, &entry->fingerprint, entry);
	return true;
}

static bool extend(struct entry *entry, struct deadline expires_at)
{
	int64_t by_us = expires_at.at_us - entry->expires_at.at_us;

	entry->expires_at.at_us = MAX(entry->expires_at.at_us, expires_at.at_us);
	return by_us > EXTENSION_MIN_US;
}

static bool add_crash(struct entry *entry, uint64_t crash, struct deadline expires_at)
{
	bool extended = extend(entry, expires_at);

	for (int i = 0; i < entry->crashes; i++)
		if (entry->crash[i] == crash)
			return extended;
	if (entry->crashes == CRASHES_MAX)
		return extended;
	entry->crash[entry->crashes++] = crash;
	return true;
}

/* Returns how long the mark holds. Nodes of earlier builds state a time of their own clock. */
static int64_t mark_remaining_us(const struct poison_mark *mark, struct instant now)
{
	int64_t us = mark->remaining_us;

	if (us == MARK_REMAINING_UNKNOWN)
		us = MAX(mark->expires_at_us, now.wall_us) - now.wall_us;
	return MIN(us, POISON_MEMORY_US);
}

bool poison_merge(struct poison *poison, const struct poison_mark *mark, struct instant now)
{
	int64_t remaining_us = mark_remaining_us(mark, now);
	struct deadline expires_at = deadline_after(now, remaining_us);
	struct entry *entry;
	bool changed;

	if (remaining_us < EXCHANGE_MIN_US)
		return false;
	lock_acquire(&poison->lock);
	entry = g_hash_table_lookup(poison->entries, &mark->fingerprint);
	if (entry && deadline_passed(entry->expires_at, now)) {
		g_hash_table_remove(poison->entries, &mark->fingerprint);
		entry = NULL;
	}
	if (entry)
		changed = add_crash(entry, mark->crash, expires_at);
	else
		changed = add_entry(poison, mark, expires_at, &now);
	lock_release(&poison->lock);
	return changed;
}

bool poison_is_quarantined(struct poison *poison, uint64_t fingerprint, struct instant now)
{
	const struct entry *entry;
	bool quarantined;

	lock_acquire(&poison->lock);
	entry = g_hash_table_lookup(poison->entries, &fingerprint);
	quarantined =
		entry && entry->crashes == CRASHES_MAX && !deadline_passed(entry->expires_at, now);
	lock_release(&poison->lock);
	return quarantined;
}

static int bucket_of(const struct entry *entry)
{
	return (int)(rng_mix(entry->fingerprint) % MARK_BUCKETS);
}

/* Which two of several crashes a node knows depends on their order, and changes nothing. */
static uint64_t entry_hash(const struct entry *entry)
{
	if (entry->crashes == CRASHES_MAX)
		return rng_mix(entry->fingerprint + 1);
	return rng_mix(entry->fingerprint ^ rng_mix(entry->crash[0]));
}

/* LOCK_POISON is held. */
static void hash_buckets(const struct poison *poison, uint64_t *buckets, struct instant now)
{
	GHashTableIter iter;
	gpointer value;

	for (int i = 0; i < MARK_BUCKETS; i++)
		buckets[i] = 0;
	g_hash_table_iter_init(&iter, poison->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!has_expired(NULL, value, &now))
			buckets[bucket_of(value)] += entry_hash(value);
}

void poison_buckets(struct poison *poison, uint64_t *buckets, struct instant now)
{
	lock_acquire(&poison->lock);
	hash_buckets(poison, buckets, now);
	lock_release(&poison->lock);
}

uint64_t poison_hash(struct poison *poison, struct instant now)
{
	uint64_t buckets[MARK_BUCKETS];
	uint64_t hash = 1;

	poison_buckets(poison, buckets, now);
	for (int i = 0; i < MARK_BUCKETS; i++)
		hash = rng_mix(hash ^ buckets[i]);
	return hash == MARKS_HASH_NONE ? 1 : hash;
}

/* Appends the differing entries with that many crashes. LOCK_POISON is held. */
static void list_differing(const struct poison *poison, const bool *differs, int crashes,
			   GPtrArray *list, struct instant now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, poison->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry *entry = value;

		if (entry->crashes == crashes && differs[bucket_of(entry)] &&
		    deadline_remaining_us(entry->expires_at, now) >= EXCHANGE_MIN_US)
			g_ptr_array_add(list, entry);
	}
}

static void append_marks(GArray *marks, const struct entry *entry, struct instant now)
{
	for (int i = 0; i < entry->crashes; i++) {
		int64_t remaining_us = deadline_remaining_us(entry->expires_at, now);
		struct poison_mark mark = { .fingerprint = entry->fingerprint,
					    .crash = entry->crash[i],
					    .expires_at_us = now.wall_us + remaining_us,
					    .remaining_us = remaining_us };

		g_array_append_val(marks, mark);
	}
}

GArray *poison_differing(struct poison *poison, const uint64_t *buckets, guint max, struct rng *rng,
			 struct instant now)
{
	GArray *marks = g_array_new(FALSE, FALSE, sizeof(struct poison_mark));
	uint64_t own[MARK_BUCKETS];
	bool differs[MARK_BUCKETS];

	lock_acquire(&poison->lock);
	hash_buckets(poison, own, now);
	for (int i = 0; i < MARK_BUCKETS; i++)
		differs[i] = own[i] != buckets[i];
	for (int crashes = CRASHES_MAX; crashes > 0; crashes--) {
		GPtrArray *list = g_ptr_array_new();
		guint start;

		list_differing(poison, differs, crashes, list, now);
		start = list->len ? (guint)rng_below(rng, list->len) : 0;
		for (guint i = 0; i < list->len && marks->len + (guint)crashes <= max; i++)
			append_marks(marks, g_ptr_array_index(list, (start + i) % list->len), now);
		g_ptr_array_unref(list);
	}
	lock_release(&poison->lock);
	return marks;
}

int poison_take_lost(struct poison *poison)
{
	int lost;

	lock_acquire(&poison->lock);
	lost = poison->lost;
	poison->lost = 0;
	lock_release(&poison->lock);
	return lost;
}
