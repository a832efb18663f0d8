#include "target/health.h"

#include <unistd.h>

#include "base/address.h"
#include "base/transfer.h"

enum {
	STATUS_OK = 200,
	HEAD_MAX_BYTES = 64 << 10,
	BODY_MAX_BYTES = 64 << 10,
};

#define TIMEOUT_US (300 * US_PER_MS)

/* The answer of the target that is expected, as far as it says which one it is. */
struct health_answer {
	const struct dialect *dialect;
	const struct label *expected;
	bool other_target;
	struct target_health *health;
	size_t body_bytes;
};

static void read_warmup(struct target_health *health, struct str value)
{
	int64_t left_ms;

	if (!str_to_int64(value, &left_ms))
		return;
	health->states_warmup = true;
	health->cold = left_ms > 0;
}

static void read_head(struct health_answer *answer, const struct head *head)
{
	struct str id = answer->dialect->target_id;
	struct str warmup = answer->dialect->warmup_left_ms;

	for (int i = 0; i < head->field_count; i++) {
		const struct head_field *field = &head->fields[i];

		if (id.len && str_equal_nocase(field->name, id) &&
		    !str_equal(field->value, label_str(answer->expected)))
			answer->other_target = true;
		if (warmup.len && str_equal_nocase(field->name, warmup))
			read_warmup(answer->health, field->value);
	}
}

static bool on_event(void *context, struct transfer_event *event)
{
	struct health_answer *answer = context;

	switch (event->kind) {
	case TRANSFER_HEAD:
		read_head(answer, event->head.head);
		return true;
	case TRANSFER_BODY:
		answer->body_bytes += event->bytes.len;
		return answer->body_bytes <= BODY_MAX_BYTES;
	case TRANSFER_READ:
	case TRANSFER_REWIND:
	case TRANSFER_CHECK:
		return true;
	}
	g_assert_not_reached();
}

struct target_health target_ask_health(const struct dialect *dialect,
				       const struct target_endpoint *endpoint, struct str path)
{
	struct target_health health = { .healthy = false };
	struct health_answer answer = { .dialect = dialect,
					.expected = &endpoint->id,
					.health = &health };
	struct strbuf request = { NULL, 0, 0 };
	struct transfer_options options = { .ipv4 = endpoint->ipv4,
					    .port = endpoint->port,
					    .kept_fd = -1,
					    .connect_within_us = TIMEOUT_US,
					    .deadline = deadline_after(clock_now(), TIMEOUT_US),
					    .answer = { .unique = dialect->target_id,
							.head_max_bytes = HEAD_MAX_BYTES },
					    .handle = on_event,
					    .context = &answer };
	struct transfer_result result;

	strbuf_addf(&request, "GET %.*s HTTP/1.1\r\nHost: ", STR_ARG(path));
	address_add(&request, endpoint->ipv4, endpoint->port);
	strbuf_add(&request, STR("\r\nConnection: close\r\n\r\n"));
	options.request = strbuf_str(&request);
	result = transfer_run(&options);
	if (result.end == TRANSFER_WHOLE && result.whole.fd >= 0)
		close(result.whole.fd);
	strbuf_clear(&request);
	health.healthy = result.end == TRANSFER_WHOLE && result.whole.status == STATUS_OK &&
			 !answer.other_target;
	return health;
}
