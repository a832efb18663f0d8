/*
 * Tenants: which one a call belongs to, by its caller's key, and a token of its limit. Both are
 * decided before the call is offered to a target.
 */
#include "base/logger.h"
#include "godwithitchd/calls.h"

static void count_decision(struct call *call, const char *decision)
{
	char labels[128];

	g_snprintf(labels, sizeof(labels), "tenant=\"%.*s\",decision=\"%s\"",
		   STR_ARG(label_str(&call->tenant)), decision);
	metrics_add(call->daemon->metrics, STR("godwithitch_tenant_requests_total"),
		    str_from_cstr(labels), 1);
}

bool call_identify(struct call *call)
{
	struct str key = access_key(caller_field(call->caller, STR("Authorization")));
	struct access access = access_decide(call->config, call->route, key, call->knowledge);

	call->class = access_class(call->route, access.tenant);
	call->key_tenant = access.tenant;
	if (access.tenant)
		call->tenant = access.tenant->name;
	switch (access.kind) {
	case ACCESS_OPEN:
	case ACCESS_TENANT:
		return true;
	case ACCESS_DENIED:
		count_decision(call, "unknown_key");
		call_refuse(call, REFUSED_UNAUTHORIZED, STR("the key belongs to no tenant"));
		return false;
	case ACCESS_UNKNOWN:
		count_decision(call, "unproven");
		call_refuse(call, REFUSED_NO_TARGET,
			    STR("the node can't tell which keys are valid now"));
		return false;
	}
	g_assert_not_reached();
}

/* Continues a call with the decision on its token. */
static void on_decision(struct call *call, const struct quota_decision *decision)
{
	switch (decision->kind) {
	case QUOTA_TAKEN:
		call->token_until = decision->token_until;
		g_atomic_int_set(&call->holds_token, 1);
		/* The call may have expired while it waited. */
		if (g_atomic_int_get(&call->answered))
			call_return_token(call);
		else
			call_start(call);
		return;
	case QUOTA_WAITS:
		return;
	case QUOTA_EXCEEDED:
		count_decision(call, "over_limit");
		call->retry_after_us = decision->room_in_us;
		call_refuse(call, REFUSED_OVER_QUOTA, STR("the tenant's limit is used up"));
		return;
	case QUOTA_UNREACHED:
		count_decision(call, "limit_unreached");
		call->retry_after_us = decision->room_in_us;
		call_refuse(call, REFUSED_NO_TARGET,
			    STR("the holders of the tenant's limit can't be reached"));
		return;
	}
	g_assert_not_reached();
}

void call_take_token(struct call *call, struct instant now)
{
	struct daemon *daemon = call->daemon;
	struct quota_decision decision = { .kind = QUOTA_TAKEN };
	struct actions actions = actions_new();
	uint64_t *waiter = g_new0(uint64_t, 1);

	/* The result may arrive at once on another worker, where the lookup waits for the lock. */
	lock_acquire(&daemon->lock);
	decision = node_quota_take(daemon->node, call->key_tenant, waiter, now, &actions);
	if (decision.kind == QUOTA_WAITS) {
		g_atomic_int_inc(&call->refs);
		g_hash_table_insert(daemon->pending_tokens, waiter, call);
		waiter = NULL;
	}
	lock_release(&daemon->lock);
	g_free(waiter);
	dispatch_actions(daemon, &actions);
	on_decision(call, &decision);
}

void calls_on_quota(struct daemon *daemon, const struct quota_result *result)
{
	struct call *call;

	lock_acquire(&daemon->lock);
	call = g_hash_table_lookup(daemon->pending_tokens, &result->waiter);
	if (call)
		g_hash_table_remove(daemon->pending_tokens, &result->waiter);
	lock_release(&daemon->lock);
	if (!call)
		return;
	on_decision(call, &result->decision);
	call_unref(call);
}

void call_return_token(struct call *call)
{
	if (g_atomic_int_compare_and_exchange(&call->holds_token, 1, 0))
		node_quota_return(call->daemon->node, &call->tenant, call->token_until,
				  clock_now());
}
