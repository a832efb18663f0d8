/* Calls while nodes and targets stop, hang, crash or are killed, or the log is unavailable. */
#include "regress/lib/check.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "regress/lib/pair.h"

/* A stopping node completes downloads in progress before it exits. */
static void test_stop_completes_running_downloads(void **state)
{
	struct download downloads[2] = { { .options.slow_after_bytes = MIB },
					 { .options.slow_after_bytes = MIB } };

	(void)state;
	fleet = pair_start("-s registre -v v1");
	start_download(&downloads[0], 0, "/bytes?n=20000000");
	start_download(&downloads[1], 1, "/bytes?n=20000000");
	wait_ms(300);
	process_signal(&fleet->nodes[1].daemon, SIGTERM);
	for (int i = 0; i < 2; i++) {
		g_thread_join(downloads[i].thread);
		assert_true(downloads[i].reply.complete);
		assert_int_equal(downloads[i].options.received_bytes, 20000000);
		assert_int_equal(downloads[i].options.mismatched_bytes, 0);
		http_reply_clear(&downloads[i].reply);
	}
	assert_int_equal(process_wait(&fleet->nodes[1].daemon, 10000), 0);
}

/* A stopping node completes one download in progress, two running calls and ten queued ones. */
static void test_stop_completes_queued_calls(void **state)
{
	enum { CALLS = 12 };
	struct download calls[CALLS] = { 0 };
	struct download file = { .options.slow_after_bytes = MIB };
	int64_t before_us;

	(void)state;
	fleet = pair_start("-s registre -v v1 -n 3 -l 300000");
	start_download(&file, 0, "/bytes?n=20000000");
	wait_ms(600);
	for (int i = 0; i < CALLS; i++)
		start_download(&calls[i], 0, "/records");
	wait_ms(150);
	before_us = clock_now().mono_us;
	process_signal(&fleet->nodes[1].daemon, SIGTERM);
	for (int i = 0; i < CALLS; i++) {
		g_thread_join(calls[i].thread);
		assert_int_equal(calls[i].reply.status, 200);
		http_reply_clear(&calls[i].reply);
	}
	/* The calls were queued: twelve calls of 0.3 s share the two slots beside the download. */
	assert_true(clock_now().mono_us - before_us > US_PER_S);
	g_thread_join(file.thread);
	assert_true(file.reply.complete);
	assert_int_equal(file.options.mismatched_bytes, 0);
	http_reply_clear(&file.reply);
	assert_int_equal(process_wait(&fleet->nodes[1].daemon, 10000), 0);
}

/* A write whose target crashes is not retried and is answered as may-have-run. */
static void test_crashed_write_is_not_retried(void **state)
{
	struct http_options options = { .method = "POST",
					.headers = { "Idempotency-Key: k1" },
					.body = STR("x") };
	struct http_reply reply;

	(void)state;
	fleet = pair_start("-s registre -v v1");
	/* This call leaves a connection that curl could reuse for the next one: curl repeats a
	 * request when a reused connection ends without an answer. */
	assert_int_equal(pair_status(0, "/write/a"), 200);
	reply = pair_call(0, "/write/crash", &options);
	assert_int_equal(reply.status, 502);
	assert_string_equal(reply.verdict, "may-have-run");
	http_reply_clear(&reply);
	assert_int_equal(process_wait(&fleet->nodes[1].target, 5000), 3);
}

/* The only target crashes while it runs a read. The retry finds no other one; its refusal does not
 * mean that the request has not run. */
static void test_refused_retry_of_a_lost_call_may_have_run(void **state)
{
	struct http_options options = { .timeout_ms = 20000 };
	struct http_reply reply;

	(void)state;
	fleet = pair_start("-s registre -v v1");
	reply = pair_call(0, "/crash", &options);
	assert_int_equal(reply.status, 502);
	assert_string_equal(reply.verdict, "may-have-run");
	http_reply_clear(&reply);
}

/* Sends a request that crashes every target which runs it, again and again: after two crashes all
 * nodes refuse it. */
static void check_crashing_request(struct http_options *options)
{
	struct http_reply reply;
	int alive = 0;

	fleet = pair_start("-s registre -v v1");
	for (int i = 2; i < 5; i++) {
		fleet_add_node(fleet, "fes-a");
		fleet_add_target(fleet, i, "-s registre -v v1");
	}
	assert_true(fleet_wait_live(fleet, 5, 10000));
	assert_true(fleet_wait_text(fleet, 0, "/v1/status", "\"live\":5", 5000));
	wait_ms(1000);
	for (int i = 0; i < 6; i++) {
		reply = pair_call(0, "/crash", options);
		assert_int_not_equal(reply.status, 200);
		http_reply_clear(&reply);
		wait_ms(100);
	}
	reply = pair_call(0, "/crash", options);
	assert_int_equal(reply.status, 429);
	assert_string_equal(reply.verdict, "not-run");
	http_reply_clear(&reply);
	for (int i = 1; i < 5; i++)
		alive += process_wait(&fleet->nodes[i].target, 100) == -1;
	assert_int_equal(alive, 2);
	assert_int_equal(pair_status(0, "/records"), 200);
}

static void test_a_request_that_crashes_targets_is_refused(void **state)
{
	struct http_options options = { .timeout_ms = 20000 };

	(void)state;
	check_crashing_request(&options);
}

/* A body in chunks was never in memory as a whole: its request had no fingerprint, and crashed one
 * target after the other. */
static void test_a_request_in_chunks_that_crashes_targets_is_refused(void **state)
{
	struct http_options options = { .method = "POST",
					.headers = { "Transfer-Encoding: chunked" },
					.body = STR("crash"),
					.timeout_ms = 20000 };

	(void)state;
	check_crashing_request(&options);
}

/* A thread that sends calls one after another until it is stopped, and its results. */
struct load {
	GThread *thread;
	gint stop;
	int node;
	int succeeded;
	int failed;
	int64_t max_us;
	char last_failure[160];
};

static gpointer load_main(gpointer data)
{
	struct load *load = data;

	while (!g_atomic_int_get(&load->stop)) {
		struct http_options options = { .timeout_ms = 20000 };
		struct http_reply reply = pair_call(load->node, "/records", &options);

		if (reply.status == 200) {
			load->succeeded++;
		} else {
			load->failed++;
			g_snprintf(load->last_failure, sizeof(load->last_failure), "%ld %s %.*s",
				   reply.status, reply.verdict, STR_ARG(strbuf_str(&reply.body)));
		}
		load->max_us = MAX(load->max_us, reply.elapsed_us);
		http_reply_clear(&reply);
	}
	return NULL;
}

static void stop_load(struct load *load)
{
	g_atomic_int_set(&load->stop, 1);
	g_thread_join(load->thread);
}

static struct fleet *start_three_nodes(void)
{
	struct fleet *started = pair_start("-s registre -v v1");

	fleet_add_node(started, "fes-a");
	fleet_add_target(started, 2, "-s registre -v v1");
	assert_true(fleet_wait_live(started, 3, 10000));
	assert_true(fleet_wait_text(started, 0, "/v1/members", started->nodes[2].address, 5000));
	wait_ms(1500);
	return started;
}

static const struct loss_row {
	const char *name;
	int signal;
	bool target; /* signal the target, not the node beside it */
	int64_t max_us;
} loss_rows[] = {
	{ "a node is killed", SIGKILL, false, 2 * US_PER_S },
	{ "a node is silent", SIGSTOP, false, 5 * US_PER_S },
	{ "a node stops", SIGTERM, false, 2 * US_PER_S },
	{ "a target is killed", SIGKILL, true, 2 * US_PER_S },
	{ "a target drains", SIGTERM, true, 2 * US_PER_S },
};

/* No read fails while a node or a target is killed, hangs or stops. */
static void test_reads_succeed_during_losses(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(loss_rows); i++) {
		const struct loss_row *row = &loss_rows[i];
		struct load load = { .node = 0 };
		struct process *process;

		fleet = start_three_nodes();
		process = row->target ? &fleet->nodes[2].target : &fleet->nodes[2].daemon;
		load.thread = g_thread_new("load", load_main, &load);
		wait_ms(300);
		process_signal(process, row->signal);
		wait_ms(5000);
		stop_load(&load);
		print_message("%s: %d good, %d failed, worst %ld us\n", row->name, load.succeeded,
			      load.failed, load.max_us);
		if (load.failed || load.max_us > row->max_us || load.succeeded < 20)
			fail_msg("%s: %d good, %d failed (%s), worst %ld us", row->name,
				 load.succeeded, load.failed, load.last_failure, load.max_us);
		if (row->signal == SIGTERM)
			assert_int_equal(process_wait(process, 10000), 0);
		pair_stop(NULL);
	}
}

static void test_calls_succeed_while_log_is_unavailable(void **state)
{
	struct strbuf out = { 0 };

	(void)state;
	fleet = pair_start("-s registre -v v1");
	fleet_log_fault(fleet, "out=1");
	wait_ms(500);
	assert_int_equal(pair_status(0, "/records"), 200);
	assert_int_equal(fleet_apply(fleet, "one.json", VALID_CONFIG_FILE, &out), 3);
	assert_non_null(strstr(out.data, "did not take the change"));
	/* A node that starts while the log is unavailable gets its configuration from others. */
	fleet_add_node(fleet, "fes-a");
	assert_true(fleet_wait_text(fleet, 2, "/v1/status", "\"accepted\":1", 10000));
	assert_true(fleet_wait_text(fleet, 2, "/readyz", "true", 10000));
	assert_int_equal(pair_status(2, "/records"), 200);
	fleet_log_fault(fleet, "out=0");
	out.len = 0;
	if (fleet_apply(fleet, "one.json", VALID_CONFIG_FILE, &out) != 0)
		fail_msg("%s", out.data);
	assert_non_null(strstr(out.data, "in force on 3 of 3 nodes"));
	strbuf_clear(&out);
}

static void test_apply_recovers_lost_append_answer(void **state)
{
	struct strbuf out = { 0 };

	(void)state;
	fleet = pair_start("-s registre -v v1");
	fleet_log_fault(fleet, "lose_answers=1");
	assert_int_equal(fleet_apply(fleet, "one.json", VALID_CONFIG_FILE, &out), 0);
	assert_non_null(strstr(out.data, "reading the stream"));
	assert_non_null(strstr(out.data, "accepted at version 2, in force on 2 of 2 nodes"));
	strbuf_clear(&out);
}

/* After all nodes were killed, the accepted configuration is recovered from the log. */
static void test_fleet_recovers_from_log(void **state)
{
	(void)state;
	fleet = pair_start("-s registre -v v1");
	process_kill(&fleet->nodes[1].target);
	for (int i = 0; i < 2; i++)
		process_kill(&fleet->nodes[i].daemon);
	for (int i = 0; i < 2; i++)
		fleet_restart_node(fleet, i);
	fleet_add_target(fleet, 1, "-s registre -v v1");
	assert_true(fleet_wait_live(fleet, 2, 15000));
	assert_true(fleet_wait_text(fleet, 0, "/v1/status", "\"accepted\":1", 5000));
	assert_true(fleet_wait_text(fleet, 0, "/v1/members", "registre", 5000));
	wait_ms(500);
	assert_int_equal(pair_status(0, "/records"), 200);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_stop_completes_running_downloads, pair_stop),
		cmocka_unit_test_teardown(test_stop_completes_queued_calls, pair_stop),
		cmocka_unit_test_teardown(test_crashed_write_is_not_retried, pair_stop),
		cmocka_unit_test_teardown(test_refused_retry_of_a_lost_call_may_have_run,
					  pair_stop),
		cmocka_unit_test_teardown(test_a_request_that_crashes_targets_is_refused,
					  pair_stop),
		cmocka_unit_test_teardown(test_a_request_in_chunks_that_crashes_targets_is_refused,
					  pair_stop),
		cmocka_unit_test_teardown(test_reads_succeed_during_losses, pair_stop),
		cmocka_unit_test_teardown(test_calls_succeed_while_log_is_unavailable, pair_stop),
		cmocka_unit_test_teardown(test_apply_recovers_lost_append_answer, pair_stop),
		cmocka_unit_test_teardown(test_fleet_recovers_from_log, pair_stop),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	cmocka_set_test_filter(getenv("TEST_ONLY"));
	return cmocka_run_group_tests_name("godwithitchd/losses", tests, NULL, NULL);
}
