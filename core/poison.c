#include "core/poison.h"

#include "base/lockorder.h"

enum { POISON_ENTRIES_MAX = 4096 };

struct entry {
	uint64_t fingerprint;
	uint64_t crash[2];
	int crashes;
	struct deadline expires_at;
};

struct poison {
	struct lock lock;
	GHashTable *entries; /* fingerprint -> struct entry */
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

static struct entry *entry_get(struct poison *poison, uint64_t fingerprint, struct instant *now)
{
	struct entry *entry = g_hash_table_lookup(poison->entries, &fingerprint);

	if (entry)
		return entry;
	if (g_hash_table_size(poison->entries) >= POISON_ENTRIES_MAX)
		g_hash_table_foreach_remove(poison->entries, has_expired, now);
	if (g_hash_table_size(poison->entries) >= POISON_ENTRIES_MAX)
		return NULL;
	entry = g_new0(struct entry, 1);
	entry->fingerprint = fingerprint;
	g_hash_table_insert(poison->entries, &entry->fingerprint, entry);
	return entry;
}

/* Returns how long the mark holds. Nodes of earlier builds state a time of their own clock. */
static int64_t mark_remaining_us(const struct poison_mark *mark, struct instant now)
{
	int64_t us = mark->remaining_us;

	if (us == MARK_REMAINING_UNKNOWN)
		us = MAX(mark->expires_at_us, now.wall_us) - now.wall_us;
	return MIN(us, POISON_MEMORY_US);
}

static bool add_crash(struct entry *entry, const struct poison_mark *mark,
		      struct deadline expires_at)
{
	for (int i = 0; i < entry->crashes; i++)
		if (entry->crash[i] == mark->crash)
			return false;
	entry->expires_at.at_us = MAX(entry->expires_at.at_us, expires_at.at_us);
	if (entry->crashes == 2)
		return false;
	entry->crash[entry->crashes++] = mark->crash;
	return true;
}

bool poison_merge(struct poison *poison, const struct poison_mark *mark, struct instant now)
{
	int64_t remaining_us = mark_remaining_us(mark, now);
	struct deadline expires_at = deadline_after(now, remaining_us);
	struct entry *entry;
	bool changed = false;

	if (remaining_us <= 0)
		return false;
	lock_acquire(&poison->lock);
	entry = entry_get(poison, mark->fingerprint, &now);
	if (entry && deadline_passed(entry->expires_at, now))
		entry->crashes = 0;
	if (entry)
		changed = add_crash(entry, mark, expires_at);
	lock_release(&poison->lock);
	return changed;
}

bool poison_is_quarantined(struct poison *poison, uint64_t fingerprint, struct instant now)
{
	const struct entry *entry;
	bool quarantined;

	lock_acquire(&poison->lock);
	entry = g_hash_table_lookup(poison->entries, &fingerprint);
	quarantined = entry && entry->crashes == 2 && !deadline_passed(entry->expires_at, now);
	lock_release(&poison->lock);
	return quarantined;
}
