/*
 * The store that comes back from an older copy: what is read from it afterwards must be newer than
 * all that was read before, and must not be taken for the continuation of what was lost.
 */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <curl/curl.h>
#include <string.h>

#include "core/config.h"
#include "platform/storelog.h"
#include "regress/lib/fleet.h"

enum { COPY_MS = 400, LOST_MS = 150, WAIT_MS = 3000 };

static struct fleet *fleet;
static struct exchange_client *http;
static apr_pool_t *pool;

static void append_record(const char *topic, const char *key, const char *value)
{
	struct strbuf record = { 0 };
	size_t len = 1 + strlen(key) + strlen(value);
	char head[5] = { (char)(len >> 24), (char)(len >> 16), (char)(len >> 8), (char)len,
			 (char)strlen(key) };
	struct http_client *client = http_client_new();
	struct http_options options = { .method = "POST", .timeout_ms = WAIT_MS };
	struct http_reply reply;
	char url[96];

	strbuf_add(&record, (struct str){ head, sizeof(head) });
	strbuf_add(&record, str_from_cstr(key));
	strbuf_add(&record, str_from_cstr(value));
	options.body = strbuf_str(&record);
	g_snprintf(url, sizeof(url), "http://127.0.0.1:%d/log-append?topic=%s&part=0",
		   fleet->log_port, topic);
	reply = http_do(client, url, &options);
	assert_int_equal(reply.status, 200);
	http_reply_clear(&reply);
	http_client_free(client);
	strbuf_clear(&record);
}

static void publish(int serial)
{
	char *text =
		g_strdup_printf("{\"version\":%d,\"services\":[],\"virtual_hosts\":[]}", serial);

	append_record("keyed.op", "config", text);
	g_free(text);
}

static void order(const char *version)
{
	char *text = g_strdup_printf(
		"{\"service\":\"s\",\"target_version\":\"%s\",\"duration_s\":10}", version);

	append_record("keyed.op", "rollout/s", text);
	g_free(text);
}

/* Restores the store from a copy made before what @p lose writes. */
static void lose(void (*write)(void))
{
	wait_ms(COPY_MS);
	write();
	fleet_log_fault(fleet, "restore_ms=200");
}

static int set_up(void **state)
{
	char url[64];

	(void)state;
	fleet = fleet_new_platform();
	g_snprintf(url, sizeof(url), "http://127.0.0.1:%d", fleet->log_port);
	http = exchange_client_new(str_from_cstr(url), pool, NULL);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	exchange_client_free(http);
	fleet_free(fleet);
	return 0;
}

static struct log_read read_from(int64_t from, int wait_for_ms)
{
	return storelog_read(http, STREAM_CONFIG, from,
			     deadline_after(clock_now(), wait_for_ms * US_PER_MS));
}

static struct log_read read_snapshot(void)
{
	struct log_read read = storelog_read(http, STREAM_SYSTEM, 0, (struct deadline){ 1 });

	assert_int_equal(read.kind, READ_DONE);
	return read;
}

static int64_t snapshot_version(void)
{
	struct log_read read = read_snapshot();
	int64_t version = read.records[0].snapshot.version;

	log_read_clear(&read);
	return version;
}

static uint64_t snapshot_move_id(void)
{
	struct log_read read = read_snapshot();
	const GPtrArray *files = read.records[0].snapshot.files;
	uint64_t id = 0;

	for (guint i = 0; i < files->len; i++) {
		const struct accepted_file *file = g_ptr_array_index(files, i);

		if (file->move_ids->len)
			id = g_array_index(file->move_ids, uint64_t, 0);
	}
	log_read_clear(&read);
	return id;
}

/* Without a rollback, versions are offsets plus one: an existing fleet keeps its versions. */
static void test_first_era_keeps_versions(void **state)
{
	struct log_read read;

	(void)state;
	publish(1);
	publish(2);
	read = read_from(1, 0);
	assert_int_equal(read.kind, READ_DONE);
	assert_int_equal(read.count, 2);
	assert_int_equal(read.records[1].offset, 2);
	assert_int_equal(read.newest, 2);
	log_read_clear(&read);
	assert_int_equal(snapshot_version(), 2);
}

static void write_two(void)
{
	publish(2);
	publish(3);
}

/* A record that is written again got an offset below the held version, and was ignored for ever. */
static void test_versions_rise_after_a_rollback(void **state)
{
	struct log_read read;
	int64_t held;

	(void)state;
	publish(1);
	lose(write_two);
	held = 3;
	read = read_from(held + 1, 0);
	assert_int_equal(read.kind, READ_FAILED);
	assert_int_equal(read.failure, LOG_FAILURE_EXPIRED);
	log_read_clear(&read);
	assert_true(snapshot_version() > held);
	held = snapshot_version();
	publish(3);
	read = read_from(held + 1, 0);
	assert_int_equal(read.kind, READ_DONE);
	assert_int_equal(read.count, 1);
	assert_int_equal(read.records[0].offset, held + 1);
	assert_int_equal(read.newest, held + 1);
	log_read_clear(&read);
}

/* Offsets are given out again: the record at the next offset follows others than those held. */
static void test_reused_offset_is_no_continuation(void **state)
{
	struct log_read read;

	(void)state;
	publish(1);
	lose(write_two);
	write_two();
	publish(4);
	read = read_from(3 + 1, 0);
	assert_int_equal(read.kind, READ_FAILED);
	assert_int_equal(read.failure, LOG_FAILURE_EXPIRED);
	log_read_clear(&read);
}

static gpointer restore_and_publish_later(gpointer data)
{
	(void)data;
	wait_ms(LOST_MS);
	fleet_log_fault(fleet, "restore_ms=0");
	publish(8);
	return NULL;
}

/* A long poll that waits over the rollback is answered with a record of the restored store. */
static void test_waiting_read_does_not_continue_over_a_rollback(void **state)
{
	struct log_read read;
	GThread *thread;

	(void)state;
	publish(1);
	thread = g_thread_new("publish", restore_and_publish_later, NULL);
	read = read_from(2, WAIT_MS);
	g_thread_join(thread);
	assert_int_equal(read.kind, READ_FAILED);
	assert_int_equal(read.failure, LOG_FAILURE_EXPIRED);
	log_read_clear(&read);
}

static void write_order(void)
{
	publish(2);
	order("v2");
}

static void add_status(const char *version, uint64_t id)
{
	struct log_record record = { .kind = LOG_MOVE };
	int64_t offset = -1;

	record.move.state = (struct move_state){ .id = id, .step = 8, .done_at_us = 5 };
	record.move.service = label_from(STR("s"));
	record.move.to = label_from(str_from_cstr(version));
	assert_int_equal(storelog_append(http, &record, &offset), APPEND_DONE);
	assert_true(offset >= 0);
}

/* An order that was in the copy would get a new id by its era, and a finished or withdrawn move
 * would run again on all nodes that start. */
static void test_order_in_the_copy_keeps_its_move(void **state)
{
	uint64_t id;

	(void)state;
	publish(1);
	order("v2");
	id = snapshot_move_id();
	assert_int_equal(id, 2 * MOVES_PER_FILE);
	add_status("v2", id);
	lose(write_two);
	assert_int_equal(snapshot_move_id(), id);
}

/* The same for an order that was lost and written again, at a lower offset. */
static void test_order_written_again_keeps_its_move(void **state)
{
	uint64_t id;

	(void)state;
	publish(1);
	lose(write_order);
	id = 3 * MOVES_PER_FILE;
	order("v2");
	add_status("v2", id);
	assert_int_equal(snapshot_move_id(), id);
}

/* A later order for the same version is a new one, and has to run. */
static void test_later_order_is_a_new_move(void **state)
{
	uint64_t id;

	(void)state;
	order("v2");
	id = snapshot_move_id();
	add_status("v2", id);
	lose(write_two);
	order("v2");
	assert_int_not_equal(snapshot_move_id(), id);
	order("v3");
	assert_int_not_equal(snapshot_move_id(), id);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_first_era_keeps_versions, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_versions_rise_after_a_rollback, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_reused_offset_is_no_continuation, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_waiting_read_does_not_continue_over_a_rollback,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_order_in_the_copy_keeps_its_move, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_order_written_again_keeps_its_move, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_later_order_is_a_new_move, set_up, tear_down),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	apr_initialize();
	apr_pool_create(&pool, NULL);
	return cmocka_run_group_tests_name("platform/restore", tests, NULL, NULL);
}
