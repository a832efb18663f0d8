/*
 * Applies records in offset order.
 */
#include "core/history_table.h"

#include <string.h>

#include "base/clock.h"
#include "core/version.h"

struct str apply_result_name(enum apply_result_kind kind)
{
	switch (kind) {
	case APPLY_ACCEPTED:
		return STR("accepted");
	case APPLY_CONFLICT:
		return STR("conflict");
	case APPLY_DUPLICATE:
		return STR("duplicate");
	case APPLY_INVALID:
		return STR("invalid");
	case APPLY_SUPERSEDED:
		return STR("superseded");
	case APPLY_OUT_OF_ORDER:
		return STR("out of order");
	}
	g_assert_not_reached();
}

static void file_unref(gpointer file)
{
	accepted_file_free(file);
}

static GPtrArray *files_new(void)
{
	return g_ptr_array_new_with_free_func(file_unref);
}

struct history *history_new(apr_pool_t *pool)
{
	struct history *history = g_new0(struct history, 1);

	lock_init(&history->lock, LOCK_HISTORY, pool);
	history->config = config_build(files_new(), 0, 0, NULL);
	history->retained = g_queue_new();
	return history;
}

static void retained_record_free(gpointer data)
{
	struct retained_record *retained = data;

	change_unref(retained->change);
	g_free(retained);
}

void history_free(struct history *history)
{
	if (!history)
		return;
	config_unref(history->config);
	g_queue_free_full(history->retained, retained_record_free);
	for (int i = 0; i < DELTAS_CACHED; i++)
		delta_unref(history->deltas[i].delta);
	lock_destroy(&history->lock);
	g_free(history);
}

static bool moves_equal(const struct move_spec *a, const struct move_spec *b)
{
	return label_equal(&a->service, &b->service) && label_equal(&a->from, &b->from) &&
	       label_equal(&a->to, &b->to) && a->start_at_us == b->start_at_us &&
	       a->finish_at_us == b->finish_at_us;
}

/* A move that the new content leaves unchanged keeps its id, and so its state. */
static uint64_t inherited_move_id(const struct accepted_file *old, const struct move_spec *move)
{
	if (!old || !old->change->parsed)
		return 0;
	for (guint i = 0; i < old->move_ids->len; i++)
		if (moves_equal(&g_array_index(old->change->parsed->moves, struct move_spec, i),
				move))
			return g_array_index(old->move_ids, uint64_t, i);
	return 0;
}

static void assign_move_ids(struct accepted_file *file, const struct accepted_file *old)
{
	if (!file->change->parsed)
		return;
	for (guint i = 0; i < file->change->parsed->moves->len; i++) {
		uint64_t id = inherited_move_id(
			old, &g_array_index(file->change->parsed->moves, struct move_spec, i));

		if (id == 0)
			id = (uint64_t)file->version * MOVES_PER_FILE + i;
		g_array_append_val(file->move_ids, id);
	}
}

static GPtrArray *files_with_replaced(const struct config *config, struct accepted_file *file)
{
	GPtrArray *files = files_new();

	for (guint i = 0; i < config->files->len; i++) {
		const struct accepted_file *old = g_ptr_array_index(config->files, i);

		if (!label_equal(&old->name, &file->name))
			g_ptr_array_add(files, accepted_file_copy(old));
	}
	g_ptr_array_add(files, file);
	return files;
}

static void set_reason(struct apply_result *result, const char *text)
{
	g_strlcpy(result->reason, text, sizeof(result->reason));
}

/* Returns whether two declarations of open-ended moves say the same. Their times are those at which
 * they were read, in whole seconds: the duration counts. */
static bool is_same_order(const struct move_spec *a, const struct move_spec *b)
{
	int64_t rounding_us = a->finish_at_us - a->start_at_us - (b->finish_at_us - b->start_at_us);

	return a->from.len == 0 && b->from.len == 0 && label_equal(&a->service, &b->service) &&
	       label_equal(&a->to, &b->to) && ABS(rounding_us) <= US_PER_S;
}

/* Returns whether both changes declare the same open-ended moves, and at least one. */
static bool have_same_orders(const struct change *a, const struct change *b)
{
	if (!a->parsed || !b->parsed || a->parsed->moves->len == 0 ||
	    a->parsed->moves->len != b->parsed->moves->len)
		return false;
	for (guint i = 0; i < a->parsed->moves->len; i++)
		if (!is_same_order(&g_array_index(a->parsed->moves, struct move_spec, i),
				   &g_array_index(b->parsed->moves, struct move_spec, i)))
			return false;
	return true;
}

/* What the log lost is written again in a later era: an order is then the one in force, and its
 * moves go on with their ids and times. Returns NULL if the change is another one. */
static struct accepted_file *continue_order(const struct accepted_file *old, int64_t version,
					    const struct change *change)
{
	struct accepted_file *file;

	if (!old || version_era(old->version) >= version_era(version) ||
	    !have_same_orders(old->change, change))
		return NULL;
	file = accepted_file_copy(old);
	file->version = version;
	return file;
}

/* Applies a change whose base matches; returns NULL if its content is invalid. */
static struct config *apply_content(const struct config *config, int64_t offset,
				    struct change *change, struct apply_result *result)
{
	const struct accepted_file *old = config_find_file(config, change->file);
	struct accepted_file *file;
	struct config *next;
	GError *error = NULL;

	result->kind = APPLY_INVALID;
	if (!change->parsed && (change->content.len || change->parse_error)) {
		set_reason(result, change->parse_error ? change->parse_error : "not parsed");
		return NULL;
	}
	file = continue_order(old, offset, change);
	if (!file) {
		file = accepted_file_new(change->file, offset, change);
		assign_move_ids(file, old);
	}
	next = config_build(files_with_replaced(config, file), offset, offset, &error);
	if (!next) {
		set_reason(result, error->message);
		g_error_free(error);
		return NULL;
	}
	result->kind = APPLY_ACCEPTED;
	result->current = offset;
	return next;
}

/* Returns whether the change's serial is too low to replace the file. The serial in force may come
 * again with what the log lost; then all nodes take it, also if its content differs. */
static bool has_old_serial(const struct accepted_file *old, int64_t offset,
			   const struct change *change)
{
	if (!old || !change->parsed || !old->change->parsed || !change->parsed->serial)
		return false;
	if (change->parsed->serial == old->change->parsed->serial)
		return version_era(offset) == version_era(old->version);
	return change->parsed->serial < old->change->parsed->serial;
}

/* Decides from the records alone, so that every node gets the same results. */
static struct config *apply_change(const struct config *config, int64_t offset,
				   struct change *change, struct apply_result *result)
{
	const struct accepted_file *old = config_find_file(config, change->file);

	result->current = old ? old->version : 0;
	if (change->base == CHANGE_SUPERSEDED_BASE) {
		result->kind = APPLY_SUPERSEDED;
		return NULL;
	}
	if (change->base == CHANGE_INVALID_BASE) {
		result->kind = APPLY_INVALID;
		g_snprintf(result->reason, sizeof(result->reason), "%.*s",
			   STR_ARG(change->content));
		return NULL;
	}
	if (has_old_serial(old, offset, change)) {
		result->kind = APPLY_CONFLICT;
		g_snprintf(result->reason, sizeof(result->reason),
			   "edition %ld is in force, the change brings %ld",
			   old->change->parsed->serial, change->parsed->serial);
		return NULL;
	}
	if (old && label_equal(&old->change->id, &change->id)) {
		result->kind = APPLY_DUPLICATE;
		set_reason(result, "this change is in force already");
		return NULL;
	}
	if (change->base != CHANGE_ANY_BASE && change->base != result->current) {
		result->kind = APPLY_CONFLICT;
		g_snprintf(result->reason, sizeof(result->reason),
			   "the file is at version %ld, the change was made for %ld",
			   result->current, change->base);
		return NULL;
	}
	return apply_content(config, offset, change, result);
}

/* Returns a copy of a change that is sent to peers, but applied no more. */
static struct change *change_copy_unparsed(const struct change *change)
{
	struct change *copy = change_new(change->id, change->file, change->base, change->content);

	copy->parse_error = g_strdup(change->parse_error);
	return copy;
}

/* Drops the parsed forms of the changes that @p newest replaces: they take several times the memory
 * of the content, and peers get the content. After a rollback orders are compared, so that a change
 * with moves keeps it. */
static void drop_parsed_of_replaced(struct history *history, const struct change *newest)
{
	for (GList *entry = history->retained->tail; entry; entry = entry->prev) {
		struct retained_record *retained = entry->data;
		struct change *replaced = retained->change;

		if (!replaced->parsed || replaced->parsed->moves->len ||
		    !label_equal(&replaced->file, &newest->file))
			continue;
		retained->change = change_copy_unparsed(replaced);
		change_unref(replaced);
	}
}

void history_retain(struct history *history, int64_t offset, struct change *change,
		    const struct apply_result *result)
{
	struct retained_record *retained = g_new0(struct retained_record, 1);

	if (result->kind == APPLY_ACCEPTED)
		drop_parsed_of_replaced(history, change);
	retained->offset = offset;
	retained->change = change_ref(change);
	retained->result = *result;
	g_queue_push_tail(history->retained, retained);
	history->retained_bytes += change->content.len;
	while (g_queue_get_length(history->retained) > RETAINED_RECORDS_MAX ||
	       (history->retained_bytes > RETAINED_BYTES_MAX &&
		g_queue_get_length(history->retained) > 1)) {
		struct retained_record *oldest = g_queue_pop_head(history->retained);

		history->retained_bytes -= oldest->change->content.len;
		retained_record_free(oldest);
	}
}

/* A rejected record advances the version and changes nothing else. */
static struct config *config_with_version(const struct config *config, int64_t version)
{
	GPtrArray *files = files_new();

	for (guint i = 0; i < config->files->len; i++)
		g_ptr_array_add(files, accepted_file_copy(g_ptr_array_index(config->files, i)));
	return config_build(files, version, config->accepted, NULL);
}

struct apply_result history_apply(struct history *history, int64_t offset, struct change *change)
{
	struct apply_result result = { .kind = APPLY_OUT_OF_ORDER, .offset = offset };
	struct config *next;

	lock_acquire(&history->lock);
	if (offset != history->config->version + 1) {
		lock_release(&history->lock);
		return result;
	}
	next = apply_change(history->config, offset, change, &result);
	if (!next)
		next = config_with_version(history->config, offset);
	config_unref(history->config);
	history->config = next;
	history_retain(history, offset, change, &result);
	lock_release(&history->lock);
	return result;
}

struct config *history_config(struct history *history)
{
	struct config *config;

	lock_acquire(&history->lock);
	config = config_ref(history->config);
	lock_release(&history->lock);
	return config;
}

int64_t history_version(struct history *history)
{
	int64_t version;

	lock_acquire(&history->lock);
	version = history->config->version;
	lock_release(&history->lock);
	return version;
}

/* Returns whether each file could be read and has no more move ids than moves. */
static bool is_well_formed(const GPtrArray *files)
{
	for (guint i = 0; i < files->len; i++) {
		const struct accepted_file *file = g_ptr_array_index(files, i);
		const struct config_file *parsed = file->change->parsed;

		if ((!parsed && file->change->content.len) ||
		    file->move_ids->len > (parsed ? parsed->moves->len : 0))
			return false;
	}
	return true;
}

/* Returns the record at an earlier version, NULL if it is not retained. */
static const struct retained_record *find_retained(const struct history *history, int64_t version)
{
	for (const GList *entry = history->retained->head; entry; entry = entry->next) {
		const struct retained_record *retained = entry->data;

		if (retained->offset == version)
			return retained;
	}
	return NULL;
}

/* Returns whether a file of the restored log was there already before the held one replaced it.
 * Otherwise it was written after the rollback, at an offset that was given out again. What is no
 * longer retained is too old to be lost. LOCK_HISTORY is held. */
static bool is_earlier_file(const struct history *history, const struct accepted_file *held,
			    const struct accepted_file *file)
{
	int64_t version = version_make(version_era(held->version), version_position(file->version));
	const struct retained_record *retained = find_retained(history, version);

	if (version >= held->version)
		return false;
	if (!retained || retained->result.kind == APPLY_SUPERSEDED)
		return true;
	return label_equal(&retained->change->file, &file->name) &&
	       have_same_orders(retained->change, file->change);
}

/* Returns whether the held file stays in force, since the log's copy is older than that.
 * LOCK_HISTORY is held. */
static bool outlasts(const struct history *history, const struct accepted_file *held,
		     const struct accepted_file *file)
{
	const struct config_file *old = held->change->parsed;
	const struct config_file *new = file ? file->change->parsed : NULL;

	if (!old || !file)
		return old != NULL;
	if (old->serial && new &&new->serial)
		return old->serial > new->serial;
	/* A peer's file of the same era. */
	if (version_era(file->version) == version_era(held->version))
		return held->version > file->version;
	return is_earlier_file(history, held, file);
}

static struct accepted_file *find_in(const GPtrArray *files, const struct label *name)
{
	for (guint i = 0; i < files->len; i++) {
		struct accepted_file *file = g_ptr_array_index(files, i);

		if (label_equal(&file->name, name))
			return file;
	}
	return NULL;
}

/* Returns the files of a log that came back from an older copy, with the held ones that are newer.
 * LOCK_HISTORY is held. */
static GPtrArray *files_after_rollback(const struct history *history, const GPtrArray *restored)
{
	GPtrArray *files = files_new();

	for (guint i = 0; i < restored->len; i++) {
		const struct accepted_file *file = g_ptr_array_index(restored, i);
		const struct accepted_file *held = config_find_file(history->config, file->name);
		struct accepted_file *kept = NULL;

		if (held && outlasts(history, held, file))
			kept = accepted_file_copy(held);
		else if (held && version_position(file->version) <= version_position(held->version))
			kept = continue_order(held, file->version, file->change);
		g_ptr_array_add(files, kept ? kept : accepted_file_copy(file));
	}
	for (guint i = 0; i < history->config->files->len; i++) {
		const struct accepted_file *held = g_ptr_array_index(history->config->files, i);

		if (!find_in(restored, &held->name) && outlasts(history, held, NULL))
			g_ptr_array_add(files, accepted_file_copy(held));
	}
	return files;
}

static int64_t newest_version_of(const GPtrArray *files, int64_t accepted)
{
	for (guint i = 0; i < files->len; i++) {
		const struct accepted_file *file = g_ptr_array_index(files, i);

		accepted = MAX(accepted, file->version);
	}
	return accepted;
}

/* Returns the configuration of a log that came back from an older copy: held files that are newer
 * stay, unless they contradict the others. NULL: none is needed, or it is invalid. LOCK_HISTORY is
 * held. */
static struct config *config_after_rollback(const struct history *history,
					    const struct config *restored)
{
	GPtrArray *files;

	if (version_era(restored->version) <= version_era(history->config->version))
		return NULL;
	files = files_after_rollback(history, restored->files);
	return config_build(files, restored->version, newest_version_of(files, restored->accepted),
			    NULL);
}

bool history_import(struct history *history, GPtrArray *files, int64_t version, int64_t accepted)
{
	struct config *next;
	struct config *merged;
	bool imported = false;

	if (!is_well_formed(files)) {
		g_ptr_array_unref(files);
		return false;
	}
	next = config_build(files, version, accepted, NULL);
	if (!next)
		return false;
	lock_acquire(&history->lock);
	merged = config_after_rollback(history, next);
	if (merged) {
		config_unref(next);
		next = merged;
	}
	if (version > history->config->version) {
		struct config *old = history->config;

		history->config = next;
		next = old;
		if (history_can_synthesise(old, history->config)) {
			history_synthesise(history, old, history->config);
		} else {
			g_queue_free_full(history->retained, retained_record_free);
			history->retained = g_queue_new();
			history->retained_bytes = 0;
		}
		imported = true;
	}
	lock_release(&history->lock);
	config_unref(next);
	return imported;
}

int history_results(struct history *history, struct apply_result *out, struct label *files, int max)
{
	int count = 0;
	int skip;

	lock_acquire(&history->lock);
	skip = (int)g_queue_get_length(history->retained) - max;
	for (GList *entry = history->retained->head; entry; entry = entry->next) {
		const struct retained_record *retained = entry->data;

		if (skip-- > 0)
			continue;
		files[count] = retained->change->file;
		out[count++] = retained->result;
	}
	lock_release(&history->lock);
	return count;
}

bool history_find_result(struct history *history, struct label id, struct apply_result *out)
{
	bool found = false;

	lock_acquire(&history->lock);
	for (GList *entry = history->retained->head; entry && !found; entry = entry->next) {
		const struct retained_record *retained = entry->data;

		found = label_equal(&retained->change->id, &id);
		if (found)
			*out = retained->result;
	}
	lock_release(&history->lock);
	return found;
}
