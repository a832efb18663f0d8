#include "target/health.h"

#include <curl/curl.h>

enum { TIMEOUT_MS = 300, STATUS_OK = 200 };

/* The answer of the target that is expected, as far as it says which one it is. */
struct health_answer {
	const struct dialect *dialect;
	const struct label *expected;
	bool other_target;
};

static size_t on_header(char *data, size_t size, size_t count, void *context)
{
	struct health_answer *answer = context;
	struct str value;
	struct str name = str_split((struct str){ data, size * count }, ':', &value);

	while (value.len && g_ascii_isspace(value.data[0]))
		value = str_sub(value, 1, value.len);
	while (value.len && g_ascii_isspace(value.data[value.len - 1]))
		value.len--;
	if (answer->dialect->target_id.len && str_equal_nocase(name, answer->dialect->target_id) &&
	    !str_equal(value, label_str(answer->expected)))
		answer->other_target = true;
	return size * count;
}

static size_t on_body(char *data, size_t size, size_t count, void *context)
{
	(void)data;
	(void)context;
	return size * count;
}

bool target_is_healthy(const struct dialect *dialect, const struct target_endpoint *endpoint,
		       struct str path)
{
	struct health_answer answer = { .dialect = dialect, .expected = &endpoint->id };
	uint32_t ip = endpoint->ipv4;
	char *url = g_strdup_printf("http://%u.%u.%u.%u:%u%.*s", ip >> 24, ip >> 16 & 255,
				    ip >> 8 & 255, ip & 255, endpoint->port, STR_ARG(path));
	CURL *curl = curl_easy_init();
	long status = 0;
	CURLcode code;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, &answer);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	g_free(url);
	return code == CURLE_OK && status == STATUS_OK && !answer.other_target;
}
