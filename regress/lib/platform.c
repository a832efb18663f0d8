#include "regress/lib/platform.h"

#include <string.h>

static bool post(const char *url, struct str body)
{
	struct http_client *client = http_client_new();
	struct http_options options = { .method = "POST", .body = body, .timeout_ms = 2000 };
	struct http_reply reply = http_do(client, url, &options);
	bool taken = reply.status == 200;

	http_reply_clear(&reply);
	http_client_free(client);
	return taken;
}

bool platform_publish(struct fleet *fleet, const char *key, const char *value)
{
	struct strbuf record = { 0 };
	size_t len = 1 + strlen(key) + strlen(value);
	char head[5] = { (char)(len >> 24), (char)(len >> 16), (char)(len >> 8), (char)len,
			 (char)strlen(key) };
	char url[96];
	bool taken;

	strbuf_add(&record, (struct str){ head, sizeof(head) });
	strbuf_add(&record, str_from_cstr(key));
	strbuf_add(&record, str_from_cstr(value));
	g_snprintf(url, sizeof(url), "http://127.0.0.1:%d/log-append?topic=keyed.op&part=0",
		   fleet->log_port);
	taken = post(url, strbuf_str(&record));
	strbuf_clear(&record);
	return taken;
}

bool platform_send_heartbeat(struct fleet *fleet, int node,
			     const struct platform_heartbeat *heartbeat)
{
	char *body = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"version\":\"v1\","
		"\"capacity\":%d,\"state\":\"ready\",\"warmup_left_s\":0,\"sequence\":%d,"
		"\"born\":5}",
		heartbeat->service, heartbeat->port, heartbeat->capacity, heartbeat->sequence);
	char *url = g_strdup_printf("http://%s/instances/%s/heartbeat",
				    fleet->nodes[node].announce_address, heartbeat->instance);
	bool taken = post(url, str_from_cstr(body));

	g_free(url);
	g_free(body);
	return taken;
}
