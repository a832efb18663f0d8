#include "core/member_table.h"

#include <string.h>

#define SLOW_START_US (10 * US_PER_S)

struct str member_state_name(enum member_state state)
{
	switch (state) {
	case MEMBER_JOINING:
		return STR("joining");
	case MEMBER_ALIVE:
		return STR("alive");
	case MEMBER_SUSPECT:
		return STR("suspect");
	case MEMBER_LEAVING:
		return STR("leaving");
	case MEMBER_DEAD:
		return STR("dead");
	}
	g_assert_not_reached();
}

uint64_t member_id(uint32_t ipv4, uint16_t port)
{
	return ((uint64_t)ipv4 << 16) | port;
}

uint32_t member_ipv4(uint64_t id)
{
	return (uint32_t)(id >> 16);
}

uint16_t member_port(uint64_t id)
{
	return (uint16_t)id;
}

static bool is_live(const struct peer *peer)
{
	return peer->record.state == MEMBER_ALIVE || peer->record.state == MEMBER_SUSPECT;
}

static uint64_t record_hash(const struct member *record)
{
	return rng_mix(rng_mix(record->id) ^ rng_mix(record->incarnation * 8 + record->state));
}

static int bucket_of(uint64_t id)
{
	return (int)(rng_mix(id) % MEMBER_BUCKETS);
}

static void toggle_hash(struct members *members, const struct member *record)
{
	uint64_t hash = record_hash(record);

	members->hash ^= hash;
	members->bucket[bucket_of(record->id)] ^= hash;
}

static void service_list_free(gpointer list)
{
	g_ptr_array_unref(list);
}

struct members *members_new(const struct members_options *options, apr_pool_t *pool)
{
	struct members *members = g_new0(struct members, 1);

	members->options = *options;
	members->self = options->self.id;
	lock_init(&members->lock, LOCK_MEMBERS, pool);
	members->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	members->by_service =
		g_hash_table_new_full(label_hash, label_hash_equal, g_free, service_list_free);
	members->all = g_ptr_array_new();
	members->live = g_ptr_array_new();
	members->local = g_ptr_array_new();
	members->probe_round = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	members_merge(members, &options->self, (struct instant){ 0, 0 });
	return members;
}

void members_free(struct members *members)
{
	if (!members)
		return;
	g_ptr_array_unref(members->all);
	g_ptr_array_unref(members->live);
	g_ptr_array_unref(members->local);
	g_array_unref(members->probe_round);
	g_hash_table_destroy(members->by_service);
	g_hash_table_destroy(members->by_id);
	lock_destroy(&members->lock);
	g_free(members);
}

struct peer *members_find(struct members *members, uint64_t id)
{
	return g_hash_table_lookup(members->by_id, &id);
}

/* Removes the peer from both lists by moving the last element into its place. */
static void remove_live(struct members *members, struct peer *peer)
{
	struct peer *last;

	if (peer->live_index != UINT32_MAX) {
		last = g_ptr_array_index(members->live, members->live->len - 1);
		last->live_index = peer->live_index;
		g_ptr_array_remove_index_fast(members->live, peer->live_index);
		peer->live_index = UINT32_MAX;
	}
	if (peer->local_index != UINT32_MAX) {
		last = g_ptr_array_index(members->local, members->local->len - 1);
		last->local_index = peer->local_index;
		g_ptr_array_remove_index_fast(members->local, peer->local_index);
		peer->local_index = UINT32_MAX;
	}
}

static void add_live(struct members *members, struct peer *peer)
{
	peer->live_index = members->live->len;
	g_ptr_array_add(members->live, peer);
	if (!label_equal(&peer->record.data_centre, &members->options.self.data_centre))
		return;
	peer->local_index = members->local->len;
	g_ptr_array_add(members->local, peer);
}

static void remove_from_service(struct members *members, struct peer *peer)
{
	GPtrArray *list = g_hash_table_lookup(members->by_service, &peer->record.service);

	if (list)
		g_ptr_array_remove_fast(list, peer);
	if (list && list->len == 0)
		g_hash_table_remove(members->by_service, &peer->record.service);
}

static void add_to_service(struct members *members, struct peer *peer)
{
	GPtrArray *list;

	if (peer->record.service.len == 0)
		return;
	list = g_hash_table_lookup(members->by_service, &peer->record.service);
	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(members->by_service,
				    g_memdup2(&peer->record.service, sizeof(struct label)), list);
	}
	g_ptr_array_add(list, peer);
}

static void reset_target_stats(struct peer *peer, const struct member *record, struct instant now)
{
	if (record->slots == 0 || (label_equal(&peer->record.service, &record->service) &&
				   label_equal(&peer->record.version, &record->version)))
		return;
	/* The slow start keeps a new target from getting its full share of calls at once. */
	peer->slow_start_until = deadline_after(now, SLOW_START_US);
	peer->failure_score = 0;
	peer->contained_until = (struct deadline){ 0 };
}

static void set_deadlines(struct members *members, struct peer *peer, struct instant now)
{
	peer->dead_at = (struct deadline){ 0 };
	peer->forget_at = (struct deadline){ 0 };
	switch (peer->record.state) {
	case MEMBER_JOINING:
	case MEMBER_ALIVE:
		break;
	case MEMBER_SUSPECT:
	case MEMBER_LEAVING:
		/* A leaving target works until its longest answer ends; forget_us bounds that. */
		peer->dead_at = deadline_after(now, peer->record.state == MEMBER_SUSPECT
							    ? members->options.suspect_us
							    : members->options.forget_us);
		break;
	case MEMBER_DEAD:
		peer->forget_at = deadline_after(now, members->options.forget_us);
		break;
	}
}

static void replace_record(struct members *members, struct peer *peer, const struct member *record,
			   struct instant now)
{
	bool service_changed = !label_equal(&peer->record.service, &record->service);
	bool was_live = peer->live_index != UINT32_MAX;

	remove_live(members, peer);
	if (service_changed)
		remove_from_service(members, peer);
	reset_target_stats(peer, record, now);
	peer->record = *record;
	toggle_hash(members, record);
	if (service_changed)
		add_to_service(members, peer);
	if (is_live(peer))
		add_live(members, peer);
	if (is_live(peer) != was_live)
		members->live_changed_us = now.mono_us;
	set_deadlines(members, peer, now);
}

static struct peer *add_peer(struct members *members, uint64_t id)
{
	struct peer *peer = g_new0(struct peer, 1);

	peer->record.id = id;
	peer->live_index = UINT32_MAX;
	peer->local_index = UINT32_MAX;
	peer->all_index = members->all->len;
	g_ptr_array_add(members->all, peer);
	g_hash_table_insert(members->by_id, &peer->record.id, peer);
	return peer;
}

static void drop_peer(struct members *members, struct peer *peer)
{
	struct peer *last = g_ptr_array_index(members->all, members->all->len - 1);

	toggle_hash(members, &peer->record);
	remove_live(members, peer);
	remove_from_service(members, peer);
	last->all_index = peer->all_index;
	g_ptr_array_remove_index_fast(members->all, peer->all_index);
	g_hash_table_remove(members->by_id, &peer->record.id);
}

static bool is_newer(const struct member *a, const struct member *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->state > b->state;
}

enum merge_result members_merge(struct members *members, const struct member *record,
				struct instant now)
{
	enum merge_result result = MERGE_UNCHANGED;
	struct peer *peer;

	lock_acquire(&members->lock);
	peer = members_find(members, record->id);
	if (!peer) {
		replace_record(members, add_peer(members, record->id), record, now);
		result = MERGE_APPLIED;
	} else if (is_newer(record, &peer->record)) {
		result = record->id == members->self ? MERGE_ABOUT_SELF : MERGE_APPLIED;
	}
	if (peer && result == MERGE_APPLIED) {
		toggle_hash(members, &peer->record);
		replace_record(members, peer, record, now);
	}
	lock_release(&members->lock);
	return result;
}

struct member members_update_self(struct members *members, const struct member *self,
				  uint64_t refute)
{
	struct member record = *self;
	struct peer *peer;

	lock_acquire(&members->lock);
	peer = members_find(members, members->self);
	record.id = members->self;
	record.incarnation = peer->record.incarnation + 1;
	if (refute >= record.incarnation)
		record.incarnation = refute + 1;
	toggle_hash(members, &peer->record);
	replace_record(members, peer, &record, (struct instant){ 0, 0 });
	lock_release(&members->lock);
	return record;
}

bool members_get(struct members *members, uint64_t id, struct member *out)
{
	const struct peer *peer;

	lock_acquire(&members->lock);
	peer = members_find(members, id);
	if (peer)
		*out = peer->record;
	lock_release(&members->lock);
	return peer != NULL;
}

struct member members_self(struct members *members)
{
	struct member self = { 0 };

	members_get(members, members->self, &self);
	return self;
}

static void change_state(struct members *members, struct peer *peer, enum member_state state,
			 struct instant now)
{
	struct member record = peer->record;

	toggle_hash(members, &peer->record);
	record.state = state;
	replace_record(members, peer, &record, now);
}

bool members_suspect(struct members *members, uint64_t id, struct instant now, struct member *out)
{
	struct peer *peer;
	bool suspected;

	lock_acquire(&members->lock);
	peer = members_find(members, id);
	suspected = peer && id != members->self && peer->record.state != MEMBER_SUSPECT &&
		    peer->record.state != MEMBER_DEAD;
	if (suspected) {
		/* A leaving member announced its stop, so it gets no time to refute. */
		change_state(members, peer,
			     peer->record.state == MEMBER_LEAVING ? MEMBER_DEAD : MEMBER_SUSPECT,
			     now);
		*out = peer->record;
	}
	lock_release(&members->lock);
	return suspected;
}

int members_sweep(struct members *members, struct instant now, struct member *out, int max)
{
	int count = 0;

	lock_acquire(&members->lock);
	for (guint i = members->all->len; i-- > 0;) {
		struct peer *peer = g_ptr_array_index(members->all, i);

		if (peer->record.id == members->self)
			continue;
		if (deadline_passed(peer->forget_at, now)) {
			drop_peer(members, peer);
			continue;
		}
		if (count < max && deadline_passed(peer->dead_at, now)) {
			change_state(members, peer, MEMBER_DEAD, now);
			out[count++] = peer->record;
		}
	}
	lock_release(&members->lock);
	return count;
}

uint64_t members_hash(struct members *members)
{
	uint64_t hash;

	lock_acquire(&members->lock);
	hash = members->hash;
	lock_release(&members->lock);
	return hash;
}

void members_buckets(struct members *members, uint64_t *hashes)
{
	lock_acquire(&members->lock);
	memcpy(hashes, members->bucket, sizeof(members->bucket));
	lock_release(&members->lock);
}

GArray *members_differing(struct members *members, const uint64_t *hashes)
{
	GArray *records = g_array_new(FALSE, FALSE, sizeof(struct member));

	lock_acquire(&members->lock);
	for (guint i = 0; i < members->all->len; i++) {
		const struct peer *peer = g_ptr_array_index(members->all, i);
		int bucket = bucket_of(peer->record.id);

		if (hashes[bucket] != members->bucket[bucket])
			g_array_append_val(records, peer->record);
	}
	lock_release(&members->lock);
	return records;
}

struct member_counts members_count(struct members *members)
{
	struct member_counts counts = { 0 };

	lock_acquire(&members->lock);
	counts.total = (int)members->all->len;
	counts.live = (int)members->live->len;
	for (guint i = 0; i < members->all->len; i++) {
		const struct peer *peer = g_ptr_array_index(members->all, i);

		counts.dead += peer->record.state == MEMBER_DEAD;
	}
	lock_release(&members->lock);
	return counts;
}

GArray *members_list(struct members *members)
{
	GArray *records = g_array_new(FALSE, FALSE, sizeof(struct member));

	lock_acquire(&members->lock);
	for (guint i = 0; i < members->all->len; i++) {
		const struct peer *peer = g_ptr_array_index(members->all, i);

		g_array_append_val(records, peer->record);
	}
	lock_release(&members->lock);
	return records;
}

bool id_list_contains(const uint64_t *ids, int count, uint64_t id)
{
	for (int i = 0; i < count; i++)
		if (ids[i] == id)
			return true;
	return false;
}

int members_random(struct members *members, struct rng *rng, bool local, uint64_t *out, int max)
{
	const GPtrArray *list;
	int count = 0;

	lock_acquire(&members->lock);
	list = local ? members->local : members->live;
	/* Extra draws make up for draws of this node and of duplicates. */
	for (int draws = max * 3; draws > 0 && count < max && list->len; draws--) {
		const struct peer *peer = g_ptr_array_index(list, (guint)rng_below(rng, list->len));

		if (peer->record.id != members->self &&
		    !id_list_contains(out, count, peer->record.id))
			out[count++] = peer->record.id;
	}
	lock_release(&members->lock);
	return count;
}

int members_joining(struct members *members, struct rng *rng, uint64_t *out, int max)
{
	int count = 0;
	guint start;

	lock_acquire(&members->lock);
	start = (guint)rng_below(rng, members->all->len);
	for (guint i = 0; i < members->all->len && count < max; i++) {
		const struct peer *peer =
			g_ptr_array_index(members->all, (start + i) % members->all->len);

		if (peer->record.state == MEMBER_JOINING && peer->record.id != members->self)
			out[count++] = peer->record.id;
	}
	lock_release(&members->lock);
	return count;
}

uint64_t members_random_dead(struct members *members, struct rng *rng)
{
	uint64_t id = 0;
	guint start;

	lock_acquire(&members->lock);
	start = (guint)rng_below(rng, members->all->len);
	for (guint i = 0; i < members->all->len && id == 0; i++) {
		const struct peer *peer =
			g_ptr_array_index(members->all, (start + i) % members->all->len);

		if (peer->record.state == MEMBER_DEAD)
			id = peer->record.id;
	}
	lock_release(&members->lock);
	return id;
}

static void start_probe_round(struct members *members, struct rng *rng)
{
	for (guint i = 0; i < members->all->len; i++) {
		const struct peer *peer = g_ptr_array_index(members->all, i);

		if (peer->record.id != members->self && peer->record.state != MEMBER_DEAD)
			g_array_append_val(members->probe_round, peer->record.id);
	}
	for (guint i = members->probe_round->len; i > 1; i--) {
		uint64_t *ids = (uint64_t *)(void *)members->probe_round->data;
		guint j = (guint)rng_below(rng, i);
		uint64_t swap = ids[i - 1];

		ids[i - 1] = ids[j];
		ids[j] = swap;
	}
}

uint64_t members_next_probe(struct members *members, struct rng *rng)
{
	uint64_t id = 0;

	lock_acquire(&members->lock);
	if (members->probe_round->len == 0)
		start_probe_round(members, rng);
	while (members->probe_round->len && id == 0) {
		const struct peer *peer;

		id = g_array_index(members->probe_round, uint64_t, members->probe_round->len - 1);
		g_array_set_size(members->probe_round, members->probe_round->len - 1);
		peer = members_find(members, id);
		if (!peer || peer->record.state == MEMBER_DEAD)
			id = 0;
	}
	lock_release(&members->lock);
	return id;
}

static const GPtrArray *scope_list(struct members *members, enum scope_kind scope,
				   struct label name)
{
	switch (scope) {
	case SCOPE_ALL:
		return members->live;
	case SCOPE_DATA_CENTRE:
		if (label_equal(&name, &members->options.self.data_centre))
			return members->local;
		return members->live;
	case SCOPE_SERVICE:
		return g_hash_table_lookup(members->by_service, &name);
	}
	g_assert_not_reached();
}

static bool in_scope(const struct peer *peer, enum scope_kind scope, struct label name)
{
	if (!is_live(peer))
		return false;
	switch (scope) {
	case SCOPE_ALL:
		return true;
	case SCOPE_DATA_CENTRE:
		return label_equal(&peer->record.data_centre, &name);
	case SCOPE_SERVICE:
		return label_equal(&peer->record.service, &name);
	}
	g_assert_not_reached();
}

static uint64_t rendezvous_hash(uint64_t id, uint64_t salt)
{
	return rng_mix(rng_mix(id) ^ rng_mix(salt + 0x9e3779b97f4a7c15ULL));
}

int members_rank(struct members *members, enum scope_kind scope, struct label name, uint64_t salt)
{
	uint64_t own = rendezvous_hash(members->self, salt);
	const GPtrArray *list;
	int rank = 0;

	lock_acquire(&members->lock);
	list = scope_list(members, scope, name);
	for (guint i = 0; list && i < list->len; i++) {
		const struct peer *peer = g_ptr_array_index(list, i);

		if (peer->record.id != members->self && in_scope(peer, scope, name) &&
		    rendezvous_hash(peer->record.id, salt) > own)
			rank++;
	}
	lock_release(&members->lock);
	return rank;
}

/* Inserts id into out, which is sorted by descending rendezvous hash. */
static int insert_by_hash(uint64_t *out, int count, int max, uint64_t id, uint64_t salt)
{
	uint64_t hash = rendezvous_hash(id, salt);
	int position = count;

	while (position > 0 && rendezvous_hash(out[position - 1], salt) < hash)
		position--;
	if (position >= max)
		return count;
	if (count < max)
		count++;
	memmove(out + position + 1, out + position, (size_t)(count - position - 1) * sizeof(*out));
	out[position] = id;
	return count;
}

int64_t members_live_changed_us(struct members *members)
{
	int64_t changed_us;

	lock_acquire(&members->lock);
	changed_us = members->live_changed_us;
	lock_release(&members->lock);
	return changed_us;
}

int members_first_ranked(struct members *members, enum scope_kind scope, struct label name,
			 uint64_t salt, uint64_t *out, int max)
{
	const GPtrArray *list;
	int count = 0;

	lock_acquire(&members->lock);
	list = scope_list(members, scope, name);
	for (guint i = 0; list && i < list->len; i++) {
		const struct peer *peer = g_ptr_array_index(list, i);

		if (in_scope(peer, scope, name))
			count = insert_by_hash(out, count, max, peer->record.id, salt);
	}
	lock_release(&members->lock);
	return count;
}
