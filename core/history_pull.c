/*
 * What peers pull: records after the one that they have, large files as what has changed in them,
 * and the way back from that to whole files.
 */
#include "core/history_table.h"

enum { DELTA_LEAST = 512 /* bytes of a file; a smaller one fits a datagram as a whole */ };

/* Whether a later change replaces the whole file, so that this one has no effect any more. */
static bool is_replaced(const GList *at)
{
	const struct kept *kept = at->data;

	for (const GList *later = at->next; later; later = later->next) {
		const struct kept *other = later->data;

		if (other->change->base == CHANGE_ANY_BASE &&
		    other->judgement.kind == JUDGED_ACCEPTED &&
		    label_equal(&other->change->file, &kept->change->file))
			return true;
	}
	return false;
}

static struct change *to_pass_on(const GList *at)
{
	const struct kept *kept = at->data;

	if (!is_replaced(at))
		return change_ref(kept->change);
	return change_superseded(kept->change->id, kept->change->file);
}

void change_record_clear(struct change_record *record)
{
	change_unref(record->change);
	delta_unref(record->delta);
	*record = (struct change_record){ 0 };
}

/* The edition of a record's file that a peer at @p have holds; NULL if it is not kept any more. */
static const struct kept *edition_held(const GList *at, int64_t have)
{
	const struct kept *kept = at->data;

	if (kept->judgement.kind != JUDGED_ACCEPTED || kept->change->content.len < DELTA_LEAST)
		return NULL;
	for (const GList *earlier = at->prev; earlier; earlier = earlier->prev) {
		const struct kept *other = earlier->data;

		if (other->judgement.kind != JUDGED_ACCEPTED ||
		    !label_equal(&other->change->file, &kept->change->file))
			continue;
		if (other->offset <= have)
			return other;
		if (!is_replaced(earlier))
			return NULL;
	}
	return NULL;
}

/** A difference that is to be worked out. */
struct wanted_delta {
	struct change_record *record;
	struct change *old; /* NULL: none */
	int64_t base;
};

static struct delta *known_delta(const struct history *history, int64_t base, int64_t offset)
{
	if (history->last_delta.base != base || history->last_delta.offset != offset)
		return NULL;
	return delta_ref(history->last_delta.delta);
}

/* Comparing large files takes milliseconds on a small VM: the lock is not held meanwhile. */
static void work_out(struct history *history, struct wanted_delta *wanted)
{
	struct change_record *record = wanted->record;

	if (!wanted->old)
		return;
	record->delta = delta_between(wanted->base, wanted->old->content, record->change->content);
	change_unref(wanted->old);
	lock_acquire(&history->lock);
	delta_unref(history->last_delta.delta);
	history->last_delta =
		(struct last_delta){ wanted->base, record->offset, delta_ref(record->delta) };
	lock_release(&history->lock);
}

/* One record for a peer at @p have. LOCK_HISTORY is held. */
static struct wanted_delta fill_record(struct history *history, const GList *at, int64_t have,
				       bool whole, struct change_record *record)
{
	struct wanted_delta wanted = { .record = record };
	const struct kept *kept = at->data;
	const struct kept *held;

	*record = (struct change_record){ .offset = kept->offset, .change = to_pass_on(at) };
	held = record->change == kept->change && !whole ? edition_held(at, have) : NULL;
	if (!held)
		return wanted;
	record->delta = known_delta(history, held->offset, kept->offset);
	if (!record->delta) {
		wanted.old = change_ref(held->change);
		wanted.base = held->offset;
	}
	return wanted;
}

int history_since(struct history *history, int64_t have, bool whole, struct change_record *records)
{
	struct wanted_delta wanted[HISTORY_PULL_MAX];
	const struct kept *oldest;
	int count = 0;

	lock_acquire(&history->lock);
	oldest = g_queue_peek_head(history->kept);
	if (have < history->config->version && (!oldest || oldest->offset > have + 1)) {
		lock_release(&history->lock);
		return -1;
	}
	for (GList *at = history->kept->head; at && count < HISTORY_PULL_MAX; at = at->next) {
		const struct kept *kept = at->data;

		if (kept->offset <= have)
			continue;
		wanted[count] = fill_record(history, at, have, whole, &records[count]);
		count++;
	}
	lock_release(&history->lock);
	for (int i = 0; i < count; i++)
		work_out(history, &wanted[i]);
	return count;
}

/* The edition of a file that a version brought; the caller owns a reference. NULL if it is not
 * kept: nodes that read a storm of editions together skip different ones. */
static struct change *find_edition(struct history *history, const struct label *file,
				   int64_t version)
{
	const struct accepted_file *accepted;
	struct change *found = NULL;

	lock_acquire(&history->lock);
	accepted = config_find_file(history->config, *file);
	if (accepted && accepted->version == version)
		found = accepted->change;
	for (const GList *at = history->kept->tail; at && !found; at = at->prev) {
		const struct kept *kept = at->data;

		if (kept->offset == version && kept->judgement.kind == JUDGED_ACCEPTED &&
		    label_equal(&kept->change->file, file))
			found = kept->change;
	}
	if (found)
		change_ref(found);
	lock_release(&history->lock);
	return found;
}

/* The change with its whole content; NULL if the delta is for another edition. */
static struct change *complete(struct history *history, const struct change_record *record)
{
	struct change *old = find_edition(history, &record->change->file, record->delta->base);
	struct strbuf content = { 0 };
	struct change *change = NULL;

	if (old && delta_apply(record->delta, old->content, &content))
		change = change_new(record->change->id, record->change->file, record->change->base,
				    strbuf_str(&content));
	change_unref(old);
	strbuf_clear(&content);
	return change;
}

int history_complete(struct history *history, struct change_record *records, int count)
{
	int whole = 0;

	for (; whole < count; whole++) {
		struct change_record *record = &records[whole];
		struct change *change;

		if (!record->delta)
			continue;
		change = complete(history, record);
		if (!change)
			break;
		change_unref(record->change);
		record->change = change;
	}
	/* What was passed over for a record that is not taken is not taken either. */
	while (whole < count && whole > 0 &&
	       records[whole - 1].change->base == CHANGE_SUPERSEDED_BASE)
		whole--;
	return whole;
}

bool history_can_bridge(const struct config *from, const struct config *to)
{
	if (to->version - from->version > KEPT_RECORDS)
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

static const struct accepted_file *file_of_version(const struct config *config, int64_t version)
{
	for (guint i = 0; i < config->files->len; i++) {
		const struct accepted_file *file = g_ptr_array_index(config->files, i);

		if (file->version == version)
			return file;
	}
	return NULL;
}

void history_bridge(struct history *history, const struct config *from, const struct config *to)
{
	for (int64_t offset = from->version + 1; offset <= to->version; offset++) {
		const struct accepted_file *file = file_of_version(to, offset);
		struct judgement judgement = { .kind = file ? JUDGED_ACCEPTED : JUDGED_SUPERSEDED,
					       .offset = offset,
					       .current = file ? offset : 0 };
		struct change *change =
			file ? change_ref(file->change)
			     : change_superseded((struct label){ 0 }, (struct label){ 0 });

		history_keep(history, offset, change, &judgement);
		change_unref(change);
	}
}
