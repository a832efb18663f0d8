#include "regress/lib/raw_target.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "regress/lib/platform.h"

enum { WAIT_MS = 15000, CALL_MS = 2000, CHECK_MS = 100, CAPACITY = 16 };

struct raw_target {
	struct fleet *fleet;
	struct breaker *breaker;
	GMutex mutex; /* guards runs */
	GHashTable *runs;
	int calls;
};

static const char configuration[] =
	"{\"version\":3,\"services\":[{\"name\":\"books\",\"health_path\":\"/health\"}],"
	"\"virtual_hosts\":[{\"host\":\"shop.example\",\"paths\":["
	"{\"name\":\"read\",\"path_prefix\":\"/r/\",\"kind\":\"safe\",\"timeout_s\":2,"
	"\"service\":\"books\",\"max_attempts\":1},"
	"{\"name\":\"write\",\"path_prefix\":\"/w/\",\"kind\":\"unsafe\",\"timeout_s\":2,"
	"\"service\":\"books\",\"max_attempts\":1}]}]}";

static bool wait_for_answer(struct raw_target *target, enum raw_target_node node)
{
	for (int i = 0; i < WAIT_MS / CHECK_MS; i++) {
		struct raw_request request = { .method = "GET", .path = "/r/a" };
		bool has_run;
		struct raw_answer reply = raw_target_call(target, node, request, &has_run);
		bool answered = reply.ending == RAW_WHOLE && reply.status == 200;

		raw_answer_clear(&reply);
		if (answered)
			return true;
		wait_ms(CHECK_MS);
	}
	return false;
}

static bool start_nodes(struct raw_target *target)
{
	struct platform_heartbeat heartbeat = { .service = "books",
						.instance = "i-0",
						.port = breaker_port(target->breaker),
						.capacity = CAPACITY,
						.sequence = 1 };
	struct fleet *fleet = target->fleet;

	for (int i = 0; i < RAW_TARGET_NODES; i++) {
		g_snprintf(fleet->extra_settings, sizeof(fleet->extra_settings),
			   "\"interface\": \"platform\", \"service\": \"%s\", "
			   "\"announce_ttl_s\": 60,",
			   i == OWN_TARGET ? "books" : "none");
		fleet_add_node(fleet, "dc-a");
	}
	return platform_send_heartbeat(fleet, OWN_TARGET, &heartbeat) &&
	       platform_publish(fleet, "config", configuration) &&
	       fleet_wait_live(fleet, RAW_TARGET_NODES, WAIT_MS) &&
	       wait_for_answer(target, OWN_TARGET) && wait_for_answer(target, OTHER_NODE);
}

struct raw_target *raw_target_new(struct breaker_options *answers)
{
	struct raw_target *target = g_new0(struct raw_target, 1);

	answers->instance = "i-0";
	answers->context = target;
	g_mutex_init(&target->mutex);
	target->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	target->breaker = breaker_new(answers);
	target->fleet = fleet_new_platform();
	if (start_nodes(target))
		return target;
	raw_target_free(target);
	return NULL;
}

void raw_target_free(struct raw_target *target)
{
	if (!target)
		return;
	fleet_free(target->fleet);
	breaker_free(target->breaker);
	g_hash_table_destroy(target->runs);
	g_mutex_clear(&target->mutex);
	g_free(target);
}

struct fleet *raw_target_fleet(struct raw_target *target)
{
	return target->fleet;
}

void raw_target_note_run(struct raw_target *target, const char *id)
{
	g_mutex_lock(&target->mutex);
	g_hash_table_add(target->runs, g_strdup(id));
	g_mutex_unlock(&target->mutex);
}

struct raw_answer raw_target_call(struct raw_target *target, enum raw_target_node node,
				  struct raw_request request, bool *has_run)
{
	const char *address = target->fleet->nodes[node].caller_address;
	struct raw_caller *caller = raw_caller_new(atoi(strchr(address, ':') + 1));
	struct raw_answer reply;
	char id[32];

	g_snprintf(id, sizeof(id), "id-%d", target->calls++);
	request.host = "shop.example";
	request.id = id;
	request.timeout_ms = CALL_MS;
	reply = raw_call(caller, &request);
	g_mutex_lock(&target->mutex);
	*has_run = g_hash_table_contains(target->runs, id);
	g_mutex_unlock(&target->mutex);
	raw_caller_free(caller);
	return reply;
}

const char *raw_target_place(enum raw_target_node node)
{
	return node == OWN_TARGET ? "own target" : "target of another node";
}
