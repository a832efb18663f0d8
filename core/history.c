/*
 * Judgement of the records in offset order.
 */
#include "core/history_table.h"

#include <string.h>

struct str judgement_name(enum judgement_kind kind)
{
	switch (kind) {
	case JUDGED_ACCEPTED:
		return STR("accepted");
	case JUDGED_CONFLICT:
		return STR("conflict");
	case JUDGED_DUPLICATE:
		return STR("duplicate");
	case JUDGED_INVALID:
		return STR("invalid");
	case JUDGED_SUPERSEDED:
		return STR("superseded");
	case JUDGED_OUT_OF_ORDER:
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
	history->kept = g_queue_new();
	return history;
}

static void kept_free(gpointer data)
{
	struct kept *kept = data;

	change_unref(kept->change);
	g_free(kept);
}

void history_free(struct history *history)
{
	if (!history)
		return;
	config_unref(history->config);
	g_queue_free_full(history->kept, kept_free);
	delta_unref(history->last_delta.delta);
	lock_destroy(&history->lock);
	g_free(history);
}

static bool same_move(const struct move_spec *a, const struct move_spec *b)
{
	return label_equal(&a->service, &b->service) && label_equal(&a->from, &b->from) &&
	       label_equal(&a->to, &b->to) && a->start_at_us == b->start_at_us &&
	       a->finish_at_us == b->finish_at_us;
}

/* A move that stands unchanged in the new content keeps the name it had, and so its state. */
static uint64_t inherited_move_id(const struct accepted_file *old, const struct move_spec *move)
{
	if (!old || !old->change->parsed)
		return 0;
	for (guint i = 0; i < old->move_ids->len; i++)
		if (same_move(&g_array_index(old->change->parsed->moves, struct move_spec, i),
			      move))
			return g_array_index(old->move_ids, uint64_t, i);
	return 0;
}

static void name_moves(struct accepted_file *file, const struct accepted_file *old)
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

static GPtrArray *files_with(const struct config *config, struct accepted_file *file)
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

static void set_reason(struct judgement *judgement, const char *text)
{
	g_strlcpy(judgement->reason, text, sizeof(judgement->reason));
}

/* Judges the content, once the base is known to fit. */
static struct config *judge_content(const struct config *config, int64_t offset,
				    struct change *change, struct judgement *judgement)
{
	struct accepted_file *file;
	struct config *next;
	GError *error = NULL;

	judgement->kind = JUDGED_INVALID;
	if (!change->parsed && (change->content.len || change->parse_error)) {
		set_reason(judgement, change->parse_error ? change->parse_error : "not parsed");
		return NULL;
	}
	file = accepted_file_new(change->file, offset, change);
	name_moves(file, config_find_file(config, change->file));
	next = config_build(files_with(config, file), offset, offset, &error);
	if (!next) {
		set_reason(judgement, error->message);
		g_error_free(error);
		return NULL;
	}
	judgement->kind = JUDGED_ACCEPTED;
	judgement->current = offset;
	return next;
}

/* The pure function of acceptance: the same records give the same judgements on every node. */
static struct config *judge(const struct config *config, int64_t offset, struct change *change,
			    struct judgement *judgement)
{
	const struct accepted_file *old = config_find_file(config, change->file);

	judgement->current = old ? old->version : 0;
	if (change->base == CHANGE_SUPERSEDED_BASE) {
		judgement->kind = JUDGED_SUPERSEDED;
		return NULL;
	}
	if (old && change->parsed && old->change->parsed && change->parsed->serial &&
	    change->parsed->serial <= old->change->parsed->serial) {
		judgement->kind = JUDGED_CONFLICT;
		g_snprintf(judgement->reason, sizeof(judgement->reason),
			   "edition %ld is in force, the change brings %ld",
			   old->change->parsed->serial, change->parsed->serial);
		return NULL;
	}
	if (old && label_equal(&old->change->id, &change->id)) {
		judgement->kind = JUDGED_DUPLICATE;
		set_reason(judgement, "this change is in force already");
		return NULL;
	}
	if (change->base != CHANGE_ANY_BASE && change->base != judgement->current) {
		judgement->kind = JUDGED_CONFLICT;
		g_snprintf(judgement->reason, sizeof(judgement->reason),
			   "the file is at version %ld, the change was made for %ld",
			   judgement->current, change->base);
		return NULL;
	}
	return judge_content(config, offset, change, judgement);
}

void history_keep(struct history *history, int64_t offset, struct change *change,
		  const struct judgement *judgement)
{
	struct kept *kept = g_new0(struct kept, 1);

	kept->offset = offset;
	kept->change = change_ref(change);
	kept->judgement = *judgement;
	g_queue_push_tail(history->kept, kept);
	history->kept_bytes += change->content.len;
	while (g_queue_get_length(history->kept) > KEPT_RECORDS ||
	       (history->kept_bytes > KEPT_BYTES && g_queue_get_length(history->kept) > 1)) {
		struct kept *oldest = g_queue_pop_head(history->kept);

		history->kept_bytes -= oldest->change->content.len;
		kept_free(oldest);
	}
}

/* A rejected record moves the version on and changes nothing else. */
static struct config *config_at(const struct config *config, int64_t version)
{
	GPtrArray *files = files_new();

	for (guint i = 0; i < config->files->len; i++)
		g_ptr_array_add(files, accepted_file_copy(g_ptr_array_index(config->files, i)));
	return config_build(files, version, config->accepted, NULL);
}

struct judgement history_offer(struct history *history, int64_t offset, struct change *change)
{
	struct judgement judgement = { .kind = JUDGED_OUT_OF_ORDER, .offset = offset };
	struct config *next;

	lock_acquire(&history->lock);
	if (offset != history->config->version + 1) {
		lock_release(&history->lock);
		return judgement;
	}
	next = judge(history->config, offset, change, &judgement);
	if (!next)
		next = config_at(history->config, offset);
	config_unref(history->config);
	history->config = next;
	history_keep(history, offset, change, &judgement);
	lock_release(&history->lock);
	return judgement;
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

bool history_import(struct history *history, GPtrArray *files, int64_t version, int64_t accepted)
{
	struct config *next = config_build(files, version, accepted, NULL);
	bool taken = false;

	if (!next)
		return false;
	lock_acquire(&history->lock);
	if (version > history->config->version) {
		struct config *old = history->config;

		history->config = next;
		next = old;
		if (history_can_bridge(old, history->config)) {
			history_bridge(history, old, history->config);
		} else {
			g_queue_free_full(history->kept, kept_free);
			history->kept = g_queue_new();
			history->kept_bytes = 0;
		}
		taken = true;
	}
	lock_release(&history->lock);
	config_unref(next);
	return taken;
}

int history_judgements(struct history *history, struct judgement *out, struct label *files, int max)
{
	int count = 0;
	int skip;

	lock_acquire(&history->lock);
	skip = (int)g_queue_get_length(history->kept) - max;
	for (GList *at = history->kept->head; at; at = at->next) {
		const struct kept *kept = at->data;

		if (skip-- > 0)
			continue;
		files[count] = kept->change->file;
		out[count++] = kept->judgement;
	}
	lock_release(&history->lock);
	return count;
}

bool history_find(struct history *history, struct label id, struct judgement *out)
{
	bool found = false;

	lock_acquire(&history->lock);
	for (GList *at = history->kept->head; at && !found; at = at->next) {
		const struct kept *kept = at->data;

		found = label_equal(&kept->change->id, &id);
		if (found)
			*out = kept->judgement;
	}
	lock_release(&history->lock);
	return found;
}
