/*
 * Serves pulls: records after a peer's version, with deltas for large files, and the expansion of
 * received deltas to full files.
 */
#include "core/history_table.h"

enum { DELTA_FILE_MIN_BYTES = 512 /* a smaller file fits a datagram in full */ };

/* Returns whether a later change replaces the file, so that this one no longer has an effect. */
static bool is_replaced(const GList *entry)
{
	const struct retained_record *retained = entry->data;

	for (const GList *later = entry->next; later; later = later->next) {
		const struct retained_record *other = later->data;

		if (other->change->base == CHANGE_ANY_BASE &&
		    other->result.kind == APPLY_ACCEPTED &&
		    label_equal(&other->change->file, &retained->change->file))
			return true;
	}
	return false;
}

static struct change *change_to_send(const GList *entry)
{
	const struct retained_record *retained = entry->data;

	if (!is_replaced(entry))
		return change_ref(retained->change);
	return change_superseded(retained->change->id, retained->change->file);
}

void change_record_clear(struct change_record *record)
{
	change_unref(record->change);
	delta_unref(record->delta);
	*record = (struct change_record){ 0 };
}

/* Returns the record of the version of the file that the peer holds; NULL if it is not retained, or
 * if the peer gets the full content. */
static const struct retained_record *find_held_version(const GList *entry, int64_t peer_version)
{
	const struct retained_record *retained = entry->data;

	if (retained->result.kind != APPLY_ACCEPTED ||
	    retained->change->content.len < DELTA_FILE_MIN_BYTES)
		return NULL;
	for (const GList *earlier = entry->prev; earlier; earlier = earlier->prev) {
		const struct retained_record *other = earlier->data;

		if (other->result.kind != APPLY_ACCEPTED ||
		    !label_equal(&other->change->file, &retained->change->file))
			continue;
		if (other->offset <= peer_version)
			return other;
		if (!is_replaced(earlier))
			return NULL;
	}
	return NULL;
}

/* A delta that remains to be computed. */
struct pending_delta {
	struct change_record *record;
	struct change *old; /* the version that the peer holds; NULL: none */
	int64_t base;	    /* DELTA_NO_BASE without an old version */
	bool wanted;
};

static struct delta *find_cached_delta(const struct history *history, int64_t base, int64_t offset)
{
	for (int i = 0; i < DELTAS_CACHED; i++) {
		const struct cached_delta *cached = &history->deltas[i];

		if (cached->delta && cached->base == base && cached->offset == offset)
			return delta_ref(cached->delta);
	}
	return NULL;
}

static void cache_delta(struct history *history, int64_t base, int64_t offset, struct delta *delta)
{
	struct cached_delta *slot;

	lock_acquire(&history->lock);
	slot = &history->deltas[history->next_delta];
	history->next_delta = (history->next_delta + 1) % DELTAS_CACHED;
	delta_unref(slot->delta);
	*slot = (struct cached_delta){ base, offset, delta_ref(delta) };
	lock_release(&history->lock);
}

/* Comparing large files takes milliseconds on a small VM, so the lock is not held meanwhile. */
static void compute_delta(struct history *history, struct pending_delta *pending)
{
	struct change_record *record = pending->record;

	if (!pending->wanted)
		return;
	record->delta = pending->old ? delta_between(pending->base, pending->old->content,
						     record->change->content)
				     : delta_whole(record->change->content);
	change_unref(pending->old);
	if (record->delta)
		cache_delta(history, pending->base, record->offset, record->delta);
}

/* Fills in one record for a peer. LOCK_HISTORY is held. */
static struct pending_delta fill_record(struct history *history, const GList *entry,
					const struct history_request *request,
					struct change_record *record)
{
	struct pending_delta pending = { .record = record, .base = DELTA_NO_BASE };
	const struct retained_record *retained = entry->data;
	const struct retained_record *held = NULL;

	*record = (struct change_record){ .offset = retained->offset,
					  .change = change_to_send(entry) };
	if (record->change != retained->change ||
	    retained->change->content.len < DELTA_FILE_MIN_BYTES)
		return pending;
	if (!request->full)
		held = find_held_version(entry, request->held_version);
	if (held)
		pending.base = held->offset;
	else if (!request->packed)
		return pending;
	record->delta = find_cached_delta(history, pending.base, retained->offset);
	if (record->delta)
		return pending;
	pending.wanted = true;
	pending.old = held ? change_ref(held->change) : NULL;
	return pending;
}

int history_records_since(struct history *history, const struct history_request *request,
			  struct change_record *records)
{
	int64_t peer_version = request->held_version;
	struct pending_delta pending[HISTORY_PULL_MAX];
	const struct retained_record *oldest;
	int count = 0;

	lock_acquire(&history->lock);
	oldest = g_queue_peek_head(history->retained);
	if (peer_version < history->config->version &&
	    (!oldest || oldest->offset > peer_version + 1)) {
		lock_release(&history->lock);
		return -1;
	}
	for (GList *entry = history->retained->head; entry && count < HISTORY_PULL_MAX;
	     entry = entry->next) {
		const struct retained_record *retained = entry->data;

		if (retained->offset <= peer_version)
			continue;
		pending[count] = fill_record(history, entry, request, &records[count]);
		count++;
	}
	lock_release(&history->lock);
	for (int i = 0; i < count; i++)
		compute_delta(history, &pending[i]);
	return count;
}

/* Returns a new reference to the change that made a version of a file. NULL if it is not retained:
 * of many versions within a short time, nodes skip different ones. */
static struct change *find_change(struct history *history, const struct label *file,
				  int64_t version)
{
	const struct accepted_file *accepted;
	struct change *found = NULL;

	lock_acquire(&history->lock);
	accepted = config_find_file(history->config, *file);
	if (accepted && accepted->version == version)
		found = accepted->change;
	for (const GList *entry = history->retained->tail; entry && !found; entry = entry->prev) {
		const struct retained_record *retained = entry->data;

		if (retained->offset == version && retained->result.kind == APPLY_ACCEPTED &&
		    label_equal(&retained->change->file, file))
			found = retained->change;
	}
	if (found)
		change_ref(found);
	lock_release(&history->lock);
	return found;
}

/* Appends the full content of a record with a delta; returns false if the delta's base is not
 * retained or is another text. */
static bool expand_delta(struct history *history, const struct change_record *record,
			 struct strbuf *content)
{
	struct change *old;
	bool expanded;

	if (record->delta->base == DELTA_NO_BASE)
		return delta_apply(record->delta, STR(""), content);
	old = find_change(history, &record->change->file, record->delta->base);
	expanded = old && delta_apply(record->delta, old->content, content);
	change_unref(old);
	return expanded;
}

/* Returns the change with its full content; NULL if the delta can't be applied. */
static struct change *apply_record_delta(struct history *history,
					 const struct change_record *record)
{
	struct strbuf content = { 0 };
	struct change *change = NULL;

	if (expand_delta(history, record, &content)) {
		change = change_new(record->change->id, record->change->file, record->change->base,
				    strbuf_str(&content));
		cache_delta(history, record->delta->base, record->offset, record->delta);
	}
	strbuf_clear(&content);
	return change;
}

int history_expand_deltas(struct history *history, struct change_record *records, int count)
{
	int completed = 0;

	for (; completed < count; completed++) {
		struct change_record *record = &records[completed];
		struct change *change;

		if (!record->delta)
			continue;
		change = apply_record_delta(history, record);
		if (!change)
			break;
		change_unref(record->change);
		record->change = change;
	}
	/* A superseded record must not be applied without the record that replaces it. */
	while (completed < count && completed > 0 &&
	       records[completed - 1].change->base == CHANGE_SUPERSEDED_BASE)
		completed--;
	return completed;
}

bool history_can_synthesise(const struct config *from, const struct config *to)
{
	if (to->version - from->version > RETAINED_RECORDS_MAX)
		return false;
	for (guint i = 0; i < from->files->len; i++) {
		const struct accepted_file *file = g_ptr_array_index(from->files, i);

		if (!config_find_file(to, file->name))
			return false;
	}
	for (guint i = 0; i < to->files->len; i++) {
		const struct accepted_file *file = g_ptr_array_index(to->files, i);

		if (file->version > from->version && file->change->base != CHANGE_ANY_BASE)
			return false;
	}
	return true;
}

static const struct accepted_file *find_file_by_version(const struct config *config,
							int64_t version)
{
	for (guint i = 0; i < config->files->len; i++) {
		const struct accepted_file *file = g_ptr_array_index(config->files, i);

		if (file->version == version)
			return file;
	}
	return NULL;
}

void history_synthesise(struct history *history, const struct config *from, const struct config *to)
{
	for (int64_t offset = from->version + 1; offset <= to->version; offset++) {
		const struct accepted_file *file = find_file_by_version(to, offset);
		struct apply_result result = { .kind = file ? APPLY_ACCEPTED : APPLY_SUPERSEDED,
					       .offset = offset,
					       .current = file ? offset : 0 };
		struct change *change =
			file ? change_ref(file->change)
			     : change_superseded((struct label){ 0 }, (struct label){ 0 });

		history_retain(history, offset, change, &result);
		change_unref(change);
	}
}
