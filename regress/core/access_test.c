/* Tests of keys: which tenant a request belongs to, and until when a node that is cut off admits
 * keys.
 */
#include "regress/lib/check.h"

#include <apr_general.h>

#include "core/access.h"
#include "operator/parse.h"
#include "regress/lib/sim.h"

#define ROUTES                                                                                     \
	"\"services\":{\"s\":{\"versions\":\"any\"}},\"routes\":["                                 \
	"{\"name\":\"closed\",\"path\":\"/closed\",\"service\":\"s\"},"                            \
	"{\"name\":\"open\",\"path\":\"/open\",\"service\":\"s\",\"public\":true}]"
#define TENANTS                                                                                    \
	",\"tenants\":{\"atelier\":{\"keys\":[\"k1\",\"k2\"],\"class\":\"interactive\","           \
	"\"limit_per_s\":3.5,\"burst\":4},\"studio\":{\"keys\":[]}}"

/* Builds the configuration of one file; returns NULL with the reason if it is invalid. */
static struct config *build(const char *text, char **reason)
{
	struct change *change = change_new(LABEL("c"), LABEL("f"), 0, str_from_cstr(text));
	GPtrArray *files = g_ptr_array_new_with_free_func((GDestroyNotify)accepted_file_free);
	GError *error = NULL;
	struct config *config = NULL;

	parse_change(change);
	*reason = g_strdup(change->parse_error);
	if (change->parsed) {
		g_ptr_array_add(files, accepted_file_new(change->file, 1, change));
		config = config_build(files, 1, 1, &error);
	} else {
		g_ptr_array_unref(files);
	}
	if (error) {
		*reason = g_strdup(error->message);
		g_error_free(error);
	}
	change_unref(change);
	return config;
}

/* Guards against a request that runs without a valid key, and against the refusal of one that needs
 * none. */
static void test_key_names_the_tenant(void **state)
{
	static const struct {
		const char *route;
		const char *authorization;
		enum access_knowledge knowledge;
		enum access_kind kind;
	} rows[] = {
		{ "closed", "Bearer k1", ACCESS_RECENT, ACCESS_TENANT },
		{ "closed", "bearer  k2 ", ACCESS_RECENT, ACCESS_TENANT },
		{ "closed", "Basic k1", ACCESS_RECENT, ACCESS_DENIED },
		{ "closed", "Bearer k3", ACCESS_RECENT, ACCESS_DENIED },
		{ "closed", "", ACCESS_RECENT, ACCESS_DENIED },
		{ "closed", "Bearer k1", ACCESS_OUTDATED, ACCESS_TENANT },
		{ "closed", "Bearer k3", ACCESS_OUTDATED, ACCESS_UNKNOWN },
		{ "closed", "", ACCESS_OUTDATED, ACCESS_UNKNOWN },
		{ "closed", "Bearer k1", ACCESS_UNPROVEN, ACCESS_UNKNOWN },
		{ "open", "", ACCESS_UNPROVEN, ACCESS_OPEN },
		{ "open", "Bearer k3", ACCESS_RECENT, ACCESS_OPEN },
		{ "open", "Bearer k1", ACCESS_RECENT, ACCESS_TENANT },
		{ "open", "Bearer k1", ACCESS_UNPROVEN, ACCESS_OPEN },
	};
	char *reason;
	struct config *config = build("{" ROUTES TENANTS "}", &reason);

	(void)state;
	assert_non_null(config);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		const struct route *route =
			config_find_route(config, label_from(str_from_cstr(rows[i].route)));
		struct str key = access_key(str_from_cstr(rows[i].authorization));
		struct access access = access_decide(config, route, key, rows[i].knowledge);

		assert_int_equal(access.kind, rows[i].kind);
		assert_int_equal(access.tenant != NULL, rows[i].kind == ACCESS_TENANT);
		if (access.tenant) {
			assert_true(label_is(&access.tenant->name, STR("atelier")));
			assert_int_equal(access_class(route, access.tenant), CLASS_INTERACTIVE);
		} else {
			assert_int_equal(access_class(route, NULL), CLASS_STANDARD);
		}
	}
	config_unref(config);
}

/* Guards against keys that are asked for where no tenants are declared. */
static void test_without_tenants_no_key_is_needed(void **state)
{
	char *reason;
	struct config *config = build("{" ROUTES "}", &reason);
	const struct route *route = config_find_route(config, LABEL("closed"));

	(void)state;
	assert_int_equal(access_decide(config, route, STR("k1"), ACCESS_UNPROVEN).kind,
			 ACCESS_OPEN);
	config_unref(config);
}

/* Guards against a configuration with contradictory tenants that is applied in part: it is rejected
 * as a whole, with the line, and without showing the key. */
static void test_invalid_tenants_are_rejected(void **state)
{
	static const struct {
		const char *tenants;
		const char *reason;
	} rows[] = {
		{ "{\n\"a\":{\"keys\":[\"x\"]},\n\"b\":{\"keys\":[\"x\"]}}",
		  "f:3: tenants.b: tenant \"a\" holds one of the keys already" },
		{ "{\n\"a\":{\"keys\":[\"x\"],\"limit_per_s\":-1}}",
		  "f:2: tenants.a.limit_per_s: expected a number from 0 to 1e+06" },
		{ "{\n\"a\":{\"keys\":[\"x\"],\"burst\":1e9}}",
		  "f:2: tenants.a.burst: expected a number from 0 to 1e+06" },
		{ "{\n\"a\":{}}", "f:2: tenants.a: the key \"keys\" is missing" },
		{ "{\n\"a\":{\"keys\":[\"\"]}}", "f:2: tenants.a.keys[0]: expected a key" },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *text = g_strdup_printf("{" ROUTES ",\"tenants\":%s}", rows[i].tenants);
		char *reason = NULL;

		assert_null(build(text, &reason));
		assert_non_null(reason);
		if (!g_str_has_prefix(reason, rows[i].reason))
			fail_msg("row %zu: %s", i, reason);
		g_free(reason);
		g_free(text);
	}
}

enum { NODES = 12, KEYS_NODE = 5 };

#define REVOKE_US (5 * US_PER_S)

static enum access_knowledge knowledge(struct sim *sim, int node)
{
	return node_access_knowledge(sim_node(sim, node)->node, sim_now(sim));
}

static struct sim *start_fleet(uint64_t seed)
{
	struct sim_options options = { .nodes = NODES,
				       .data_centres = 2,
				       .seed = seed,
				       .apply_within_us = 2500 * US_PER_MS,
				       .revoke_within_us = REVOKE_US };
	struct sim *sim = sim_new(&options);

	sim_publish(sim, "first", "f", 0, "{" ROUTES TENANTS "}");
	sim_run(sim, 10 * US_PER_S);
	return sim;
}

/* Guards against nodes that refuse keys in calm or while only their peers are out of reach, and
 * against those that accept keys after a pause by what they knew before it. */
static void test_node_without_a_proof_refuses_keys(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 5; seed++) {
		struct sim *sim = start_fleet(seed);

		for (int i = 0; i < 100; i++) {
			sim_run(sim, 100 * US_PER_MS);
			for (int node = 0; node < NODES; node++)
				assert_int_not_equal(knowledge(sim, node), ACCESS_UNPROVEN);
		}
		sim_isolate(sim, KEYS_NODE, true);
		sim_run(sim, REVOKE_US);
		assert_int_not_equal(knowledge(sim, KEYS_NODE), ACCESS_UNPROVEN);
		sim_isolate(sim, KEYS_NODE, false);
		sim_run(sim, 3 * US_PER_S);
		assert_int_not_equal(knowledge(sim, KEYS_NODE), ACCESS_UNPROVEN);
		sim_freeze(sim, KEYS_NODE, true);
		sim_run(sim, REVOKE_US);
		assert_int_equal(knowledge(sim, KEYS_NODE), ACCESS_UNPROVEN);
		sim_freeze(sim, KEYS_NODE, false);
		sim_run(sim, 3 * US_PER_S);
		assert_int_not_equal(knowledge(sim, KEYS_NODE), ACCESS_UNPROVEN);
		sim_free(sim);
	}
}

/* Guards against proofs that peers pass on while nobody reaches the log: their age must count from
 * the log's answer. */
static void test_peers_prove_nothing_without_the_log(void **state)
{
	struct sim *sim = start_fleet(9);

	(void)state;
	sim_log_set_unavailable(sim, true);
	sim_run(sim, REVOKE_US);
	for (int node = 0; node < NODES; node++)
		assert_int_equal(knowledge(sim, node), ACCESS_UNPROVEN);
	sim_log_set_unavailable(sim, false);
	sim_run(sim, 5 * US_PER_S);
	for (int node = 0; node < NODES; node++)
		assert_int_not_equal(knowledge(sim, node), ACCESS_UNPROVEN);
	sim_free(sim);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_key_names_the_tenant),
		cmocka_unit_test(test_without_tenants_no_key_is_needed),
		cmocka_unit_test(test_invalid_tenants_are_rejected),
		cmocka_unit_test(test_node_without_a_proof_refuses_keys),
		cmocka_unit_test(test_peers_prove_nothing_without_the_log),
	};

	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
