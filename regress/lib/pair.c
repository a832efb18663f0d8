#include "regress/lib/check.h"

#include "regress/lib/pair.h"

struct fleet *fleet;

struct fleet *pair_start(const char *target_args)
{
	struct fleet *pair = fleet_new(0);

	fleet_add_node(pair, "fes-a");
	fleet_add_node(pair, "fes-b");
	fleet_add_target(pair, 1, target_args);
	assert_true(fleet_wait_live(pair, 2, 10000));
	assert_true(fleet_wait_text(pair, 0, "/v1/members", "registre", 10000));
	assert_int_equal(fleet_apply(pair, "one.json", VALID_CONFIG_FILE, NULL), 0);
	return pair;
}

int pair_stop(void **state)
{
	(void)state;
	if (fleet)
		fleet_free(fleet);
	fleet = NULL;
	return 0;
}

struct http_reply pair_call(int node, const char *path, struct http_options *options)
{
	struct http_client *client = http_client_new();
	char *url = g_strdup_printf("http://%s%s", fleet->nodes[node].caller_address, path);
	struct http_reply reply = http_do(client, url, options);

	g_free(url);
	http_client_free(client);
	return reply;
}

long pair_status(int node, const char *path)
{
	struct http_options options = { 0 };
	struct http_reply reply = pair_call(node, path, &options);

	http_reply_clear(&reply);
	return reply.status;
}

static gpointer download_main(gpointer data)
{
	struct download *download = data;

	download->reply = pair_call(download->node, download->path, &download->options);
	return NULL;
}

void start_download(struct download *download, int node, const char *path)
{
	download->node = node;
	download->path = path;
	download->options.discard = true;
	download->options.check_pattern = true;
	download->options.timeout_ms = 60000;
	download->thread = g_thread_new("download", download_main, download);
}
