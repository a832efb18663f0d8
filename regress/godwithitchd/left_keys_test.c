/* Requests with idempotency keys whose callers leave: their keys must be free again. */
#include "regress/lib/check.h"

#include <curl/curl.h>
#include <string.h>

#include "regress/lib/fleet.h"

#define VALID_CONFIG_FILE                                                                          \
	"{\"services\": {\"registre\": {\"versions\": {\"v1\": {\"share\": 100}}}},"               \
	"\"routes\": [{\"name\": \"invoices\", \"path\": \"/\", \"service\": \"registre\","        \
	"\"repeat\": \"at-most-once\", \"deadline_ms\": 4000}]}"

static struct fleet *fleet;

/* Sends a request with a key; returns the answer without its body. */
static struct http_reply send_key(const char *key, int timeout_ms)
{
	struct http_client *client = http_client_new();
	struct http_options options = { .method = "POST",
					.body = STR("invoice"),
					.timeout_ms = timeout_ms };
	char *url = g_strdup_printf("http://%s/invoices", fleet->nodes[0].caller_address);
	char *field = g_strdup_printf("Idempotency-Key: %s", key);
	struct http_reply reply;

	options.headers[0] = field;
	reply = http_do(client, url, &options);
	http_client_free(client);
	g_free(field);
	g_free(url);
	return reply;
}

/* Callers that leave while their keys are being claimed have run nothing: they may come again. */
static void test_key_of_a_caller_that_left_is_free(void **state)
{
	enum { KEYS = 20, LEAVE_MS = 30, SLOW_LOG_MS = 300 };
	struct http_reply reply;
	int held = 0;

	(void)state;
	fleet = fleet_new(0);
	fleet_add_node(fleet, "fes-a");
	fleet_add_target(fleet, 0, "-s registre -v v1");
	assert_true(fleet_wait_live(fleet, 1, 15000));
	assert_int_equal(fleet_apply(fleet, "one.json", VALID_CONFIG_FILE, NULL), 0);
	wait_ms(500);
	fleet_log_fault(fleet, "slow_ms=300");
	for (int key = 0; key < KEYS; key++) {
		char name[32];

		g_snprintf(name, sizeof(name), "left-%d-", key);
		reply = send_key(name, LEAVE_MS);
		assert_int_equal(reply.status, 0);
		http_reply_clear(&reply);
	}
	fleet_log_fault(fleet, "slow_ms=0");
	wait_ms(4 * SLOW_LOG_MS);
	for (int key = 0; key < KEYS; key++) {
		char name[32];

		g_snprintf(name, sizeof(name), "left-%d-", key);
		reply = send_key(name, 10000);
		held += strcmp(reply.verdict, "may-have-run") == 0;
		http_reply_clear(&reply);
	}
	print_message("%d of %d keys are held\n", held, KEYS);
	assert_int_equal(held, 0);
	fleet_free(fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_key_of_a_caller_that_left_is_free),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	return cmocka_run_group_tests_name("godwithitchd/left_keys", tests, NULL, NULL);
}
