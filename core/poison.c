#include "core/poison.h"

#include "base/lockorder.h"

enum { POISON_ENTRIES_MAX = 4096 };

struct entry {
	uint64_t fingerprint;
	uint64_t crash[2];
	int crashes;
	int64_t expires_at_us;
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
	return entry->expires_at_us <= ((const struct instant *)now)->wall_us;
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

static bool add_crash(struct entry *entry, const struct poison_mark *mark)
{
	for (int i = 0; i < entry->crashes; i++)
		if (entry->crash[i] == mark->crash)
			return false;
	if (mark->expires_at_us > entry->expires_at_us)
		entry->expires_at_us = mark->expires_at_us;
	if (entry->crashes == 2)
		return false;
	entry->crash[entry->crashes++] = mark->crash;
	return true;
}

bool poison_merge(struct poison *poison, const struct poison_mark *mark, struct instant now)
{
	struct entry *entry;
	bool changed = false;

	if (mark->expires_at_us <= now.wall_us)
		return false;
	lock_acquire(&poison->lock);
	entry = entry_get(poison, mark->fingerprint, &now);
	if (entry && entry->expires_at_us <= now.wall_us)
		entry->crashes = 0;
	if (entry)
		changed = add_crash(entry, mark);
	lock_release(&poison->lock);
	return changed;
}

bool poison_is_quarantined(struct poison *poison, uint64_t fingerprint, struct instant now)
{
	const struct entry *entry;
	bool quarantined;

	lock_acquire(&poison->lock);
	entry = g_hash_table_lookup(poison->entries, &fingerprint);
	quarantined = entry && entry->crashes == 2 && entry->expires_at_us > now.wall_us;
	lock_release(&poison->lock);
	return quarantined;
}
