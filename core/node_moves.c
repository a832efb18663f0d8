/*
 * Moves: sends evidence of the own target to the coordinators, coordinates moves, and exchanges
 * their states with other nodes.
 */
#include "core/node_parts.h"

enum { COORDINATORS = 2 };

static struct message *moves_message(struct node *node)
{
	struct message *message = message_new(MESSAGE_MOVES);

	message->states = moves_states(node->moves);
	return message;
}

static void gossip_state(struct node *node, const struct move_state *state, struct actions *out)
{
	struct message *message = message_new(MESSAGE_MOVES);

	message->states = g_array_new(FALSE, FALSE, sizeof(*state));
	g_array_append_vals(message->states, state, 1);
	node_gossip(node, message, out);
}

void moves_on_states(struct node *node, const GArray *states, bool forward, struct actions *out)
{
	for (guint i = 0; i < states->len; i++) {
		const struct move_state *state = &g_array_index(states, struct move_state, i);

		if (moves_merge(node->moves, state) && forward)
			gossip_state(node, state, out);
	}
}

void moves_on_digest(struct node *node, uint64_t from, const struct digest *digest,
		     struct instant now, struct actions *out)
{
	bool due;

	/* Different configurations have different moves: the configuration is pulled first. */
	if (digest->moves_hash == moves_hash(node->moves) ||
	    digest->version != history_version(node->history))
		return;
	lock_acquire(&node->gossip.lock);
	due = node->gossip.moves_sync_at.at_us == 0 ||
	      deadline_passed(node->gossip.moves_sync_at, now);
	if (due)
		node->gossip.moves_sync_at = deadline_after(now, MOVES_SYNC_US);
	lock_release(&node->gossip.lock);
	if (due)
		actions_send(out, from, moves_message(node));
}

void moves_on_evidence(struct node *node, const struct message *message)
{
	const GArray *windows = message->evidence.windows;

	for (guint i = 0; i < windows->len; i++)
		moves_add_evidence(node->moves, message->evidence.move, message->evidence.version,
				   &g_array_index(windows, struct evidence_window, i));
}

static void send_evidence(struct node *node, const struct member *self, uint64_t move,
			  struct actions *out)
{
	struct message *message = message_new(MESSAGE_EVIDENCE);
	struct version_filter own = { VERSION_IS, self->version };
	uint64_t to[COORDINATORS];
	int count = members_first_ranked(node->members, SCOPE_SERVICE, self->service, move, to,
					 COORDINATORS);

	message->evidence.move = move;
	message->evidence.version = self->version;
	message->evidence.windows = tally_collect(
		node->tally, self->id,
		(uint32_t)members_version_targets(node->members, self->service, &own, NULL));
	for (int i = 0; i < count && message->evidence.windows->len; i++) {
		if (to[i] == self->id)
			moves_on_evidence(node, message);
		else
			actions_send(out, to[i], message_ref(message));
	}
	message_unref(message);
}

static void report_change(const struct move_change *change, struct actions *out)
{
	const struct move_spec *spec = &change->spec;
	struct str service = label_str(&spec->service);
	struct str to = label_str(&spec->to);

	switch (change->kind) {
	case MOVE_CHANGE_NONE:
		return;
	case MOVE_CHANGE_STEP:
		actions_log_event(out, LOG_EVENT_MOVE_STEP_OPENED,
				  "move=%lu service=%.*s to=%.*s step=%d", spec->id,
				  STR_ARG(service), STR_ARG(to), change->state.step);
		return;
	case MOVE_CHANGE_DONE:
		actions_log_event(out, LOG_EVENT_MOVE_DONE, "move=%lu service=%.*s to=%.*s",
				  spec->id, STR_ARG(service), STR_ARG(to));
		return;
	case MOVE_CHANGE_RECHECK:
		actions_log_event(out, LOG_EVENT_MOVE_RECHECKED, "move=%lu service=%.*s to=%.*s",
				  spec->id, STR_ARG(service), STR_ARG(to));
		return;
	case MOVE_CHANGE_HELD:
		actions_log_event(out, LOG_EVENT_MOVE_HELD, "move=%lu service=%.*s to=%.*s",
				  spec->id, STR_ARG(service), STR_ARG(to));
		return;
	case MOVE_CHANGE_WITHDRAW:
		actions_log_event(out, LOG_EVENT_MOVE_WITHDRAWN,
				  "move=%lu service=%.*s to=%.*s why=\"%.*s\" route=%.*s", spec->id,
				  STR_ARG(service), STR_ARG(to),
				  STR_ARG(withdraw_reason_name(change->state.reason)),
				  STR_ARG(label_str(&change->state.route)));
		return;
	}
	g_assert_not_reached();
}

static void coordinate_move(struct node *node, const struct config *config, uint64_t id,
			    bool second_complete, struct instant now, struct actions *out)
{
	struct member self = members_self(node->members);
	struct version_filter new_version = { .kind = VERSION_IS };
	struct version_filter old_versions;
	struct move_inputs inputs;
	struct move_change change;
	struct move_spec spec;

	if (!moves_spec(node->moves, id, &spec) || !label_equal(&spec.service, &self.service))
		return;
	if (members_rank(node->members, SCOPE_SERVICE, spec.service, id) >= COORDINATORS)
		return;
	inputs.second_complete = second_complete;
	inputs.may_advance = config_auto_allowed(config, spec.service, AUTO_ADVANCE);
	inputs.may_withdraw = config_auto_allowed(config, spec.service, AUTO_WITHDRAW);
	new_version.name = spec.to;
	old_versions = moves_old_versions(node->moves, id);
	inputs.main_version = members_main_version(node->members, spec.service, spec.to);
	inputs.new_targets =
		members_version_targets(node->members, spec.service, &new_version, NULL);
	inputs.old_targets =
		members_version_targets(node->members, spec.service, &old_versions, NULL);
	change = moves_coordinate(node->moves, id, &inputs, now);
	if (change.kind == MOVE_CHANGE_NONE)
		return;
	report_change(&change, out);
	if (change.kind == MOVE_CHANGE_HELD)
		return;
	/* Of an open-ended move the log needs only the first step and the end. */
	if (change.kind != MOVE_CHANGE_STEP || change.state.step == 1 || spec.from.len)
		log_save_move(node, &(struct saved_move){ change.state, spec.service, spec.to });
	gossip_state(node, &change.state, out);
}

static void coordinate_all(struct node *node, bool second_complete, struct instant now,
			   struct actions *out)
{
	struct config *config = node_config(node);
	GArray *ids = moves_ids(node->moves);

	for (guint i = 0; i < ids->len; i++)
		coordinate_move(node, config, g_array_index(ids, uint64_t, i), second_complete, now,
				out);
	g_array_unref(ids);
	config_unref(config);
}

static bool may_coordinate(struct node *node)
{
	struct member self = members_self(node->members);

	return node_is_current(node) && self.state == MEMBER_ALIVE;
}

void moves_save_again(struct node *node)
{
	struct member self = members_self(node->members);
	GArray *states = moves_states(node->moves);

	for (guint i = 0; i < states->len; i++) {
		const struct move_state *state = &g_array_index(states, struct move_state, i);
		struct move_spec spec;

		if (state->step == 0 || !moves_spec(node->moves, state->id, &spec) ||
		    !label_equal(&spec.service, &self.service) ||
		    members_rank(node->members, SCOPE_SERVICE, spec.service, state->id) >=
			    COORDINATORS)
			continue;
		log_save_move(node, &(struct saved_move){ *state, spec.service, spec.to });
	}
	g_array_unref(states);
}

void moves_tick(struct node *node, struct instant now, struct actions *out)
{
	if (may_coordinate(node))
		coordinate_all(node, false, now, out);
}

void moves_round(struct node *node, struct instant now, struct actions *out)
{
	struct member self = members_self(node->members);
	uint64_t move;

	if (!may_coordinate(node))
		return;
	if (self.slots > 0) {
		if (moves_wants_evidence(node->moves, self.service, self.version, &move))
			send_evidence(node, &self, move, out);
		else
			g_array_unref(tally_collect(node->tally, self.id, 0));
	}
	coordinate_all(node, true, now, out);
}
