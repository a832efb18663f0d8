#include "core/poison.h"

#include "base/lockorder.h"

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

	if (remaining_us <= 0)
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

int poison_take_lost(struct poison *poison)
{
	int lost;

	lock_acquire(&poison->lock);
	lost = poison->lost;
	poison->lost = 0;
	lock_release(&poison->lock);
	return lost;
}
