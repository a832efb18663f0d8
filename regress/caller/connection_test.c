/* Tests of callers' connections: events of a call while its caller disconnects, and answers. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "caller/connection.h"

enum {
	THREADS = 4,
	EVENT_WAIT_US = 300000,
	ANSWER_WAIT_MS = 2000,
	EVENT_LIMIT_S = 5,
	LISTEN_IP = 0x7f000001
};

/* State of the handler. The mutex guards it. */
struct handler {
	pthread_mutex_t mutex; /* the thread sanitizer does not see the locks of GLib */
	pthread_cond_t changed;
	GPtrArray *calls; /* struct caller_call, one reference each, in the order of READY */
	bool slow_ready;  /* READY takes EVENT_WAIT_US */
	int handling;	  /* events of the newest call that are being handled */
	int ready;
	int ended;
	bool ended_while_handling;
	int uploaded;
};

static struct handler handler;
static struct workers *workers;
static struct caller *caller;
static apr_pool_t *pool;

static void on_ready(struct caller_call *call)
{
	bool slow;

	pthread_mutex_lock(&handler.mutex);
	g_ptr_array_add(handler.calls, caller_call_ref(call));
	handler.handling++;
	handler.ready++;
	slow = handler.slow_ready;
	pthread_cond_broadcast(&handler.changed);
	pthread_mutex_unlock(&handler.mutex);
	if (slow)
		g_usleep(EVENT_WAIT_US);
	pthread_mutex_lock(&handler.mutex);
	handler.handling--;
	pthread_mutex_unlock(&handler.mutex);
}

static void on_event(void *context, const struct caller_event *event)
{
	(void)context;
	switch (event->kind) {
	case CALLER_READY:
		on_ready(event->call);
		return;
	case CALLER_UPLOADED:
		pthread_mutex_lock(&handler.mutex);
		handler.uploaded++;
		pthread_cond_broadcast(&handler.changed);
		pthread_mutex_unlock(&handler.mutex);
		return;
	case CALLER_DRAINED:
		return;
	case CALLER_ENDED:
		pthread_mutex_lock(&handler.mutex);
		handler.ended_while_handling |= handler.handling > 0;
		handler.ended++;
		pthread_cond_broadcast(&handler.changed);
		pthread_mutex_unlock(&handler.mutex);
		return;
	}
}

static void on_work(void *context, const struct work *work, int ready)
{
	(void)context;
	(void)ready;
	if (work->kind == WORK_CALLER_LISTEN)
		caller_on_listen(work->data);
	else if (work->kind == WORK_CALLER)
		caller_on_connection(work->data);
}

static int set_up(void **state)
{
	struct workers_options pool_options = { .threads = THREADS,
						.queue_max = 64,
						.handle = on_work };
	struct caller_options options = { .ipv4 = LISTEN_IP,
					  .connections = 16,
					  .connections_per_address = 16,
					  .idle_s = 10,
					  .body_max = 1 << 20,
					  .verdict_field = STR("Verdict"),
					  .handle = on_event };

	(void)state;
	memset(&handler, 0, sizeof(handler));
	pthread_mutex_init(&handler.mutex, NULL);
	pthread_cond_init(&handler.changed, NULL);
	handler.calls = g_ptr_array_new_with_free_func((GDestroyNotify)caller_call_unref);
	apr_pool_create(&pool, NULL);
	workers = workers_new(&pool_options, pool, NULL);
	options.workers = workers;
	caller = caller_new(&options, pool, NULL);
	assert_non_null(caller);
	workers_start(workers);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	g_ptr_array_unref(handler.calls);
	workers_stop(workers);
	caller_free(caller);
	workers_free(workers);
	apr_pool_destroy(pool);
	return 0;
}

static int connect_to_caller(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(caller_port(caller)),
				       .sin_addr.s_addr = htonl(LISTEN_IP) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

static void send_text(int fd, const char *text)
{
	assert_int_equal(send(fd, text, strlen(text), MSG_NOSIGNAL), strlen(text));
}

/* Waits until *counter is at least @p count. */
static void wait_for(const int *counter, int count)
{
	struct timespec until;
	int reached;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += EVENT_LIMIT_S;
	pthread_mutex_lock(&handler.mutex);
	while (*counter < count &&
	       pthread_cond_timedwait(&handler.changed, &handler.mutex, &until) == 0)
		;
	reached = *counter;
	pthread_mutex_unlock(&handler.mutex);
	if (reached < count)
		fail_msg("%d of %d events", reached, count);
}

static struct caller_call *wait_for_call(int index)
{
	struct caller_call *call;

	wait_for(&handler.ready, index + 1);
	pthread_mutex_lock(&handler.mutex);
	call = g_ptr_array_index(handler.calls, index);
	pthread_mutex_unlock(&handler.mutex);
	return call;
}

/* Reads until nothing arrives for a while. */
static struct strbuf read_answers(int fd, int wait_ms)
{
	struct strbuf bytes = { 0 };
	struct pollfd poll_fd = { .fd = fd, .events = POLLIN };

	while (poll(&poll_fd, 1, wait_ms) > 0) {
		char block[4096];
		ssize_t n = recv(fd, block, sizeof(block), 0);

		if (n <= 0)
			break;
		strbuf_add(&bytes, (struct str){ block, (size_t)n });
		wait_ms = 200;
	}
	strbuf_add(&bytes, (struct str){ "", 1 });
	return bytes;
}

static gpointer answer_first(gpointer data)
{
	struct response_head head = { .status = 200 };

	caller_answer(data, &head, STR("ok"));
	return NULL;
}

/*
 * A worker that finishes an answer starts the next pipelined call. If the caller disconnects
 * meanwhile, another worker ends that call. The daemon frees its part at the end, so that the first
 * worker went on with freed memory: a process of Lanhua's grown site ended by SIGSEGV.
 */
static void test_call_does_not_end_while_an_event_is_handled(void **state)
{
	int fd = connect_to_caller();
	struct caller_call *first;
	GThread *thread;

	(void)state;
	send_text(fd, "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
		      "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
	first = wait_for_call(0);
	pthread_mutex_lock(&handler.mutex);
	handler.slow_ready = true;
	pthread_mutex_unlock(&handler.mutex);
	thread = g_thread_new("answer", answer_first, first);
	wait_for_call(1);
	close(fd);
	wait_for(&handler.ended, 2);
	g_thread_join(thread);
	assert_false(handler.ended_while_handling);
}

/* Trailers of a streamed request arrive while the handler uses the strings of its head. */
static void test_trailers_leave_the_head_unchanged(void **state)
{
	int fd = connect_to_caller();
	struct caller_call *call;
	const char *target;
	size_t text_len;

	(void)state;
	send_text(fd, "POST /path HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
		      "2\r\nab\r\n");
	call = wait_for_call(0);
	target = caller_target(call).data;
	text_len = call->text.len;
	send_text(fd, "0\r\nX-Trailer: "
		      "0123456789012345678901234567890123456789012345678901234567890123456789"
		      "0123456789012345678901234567890123456789012345678901234567890123456789"
		      "\r\n\r\n");
	wait_for(&handler.uploaded, 2);
	assert_int_equal(call->text.len, text_len);
	assert_ptr_equal(call->text.data + (target - call->text.data), target);
	assert_true(str_equal(caller_target(call), STR("/path")));
	close(fd);
}

/* A call may expire on one worker while another one forwards the head of its answer: the generated
 * body was sent under that head, and the rest of the answer was missing. */
static void test_second_answer_to_a_call_is_dropped(void **state)
{
	struct response_head whole = { .status = 200, .body_length = 5 };
	struct response_head late = { .status = 504 };
	int fd = connect_to_caller();
	struct caller_call *call;
	struct strbuf answers;

	(void)state;
	send_text(fd, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
	call = wait_for_call(0);
	assert_true(caller_write_head(call, &whole));
	assert_false(caller_answer(call, &late, STR("late")));
	assert_false(caller_write_head(call, &late));
	caller_write(call, STR("whole"));
	caller_finish(call, PIPE_DONE);
	answers = read_answers(fd, ANSWER_WAIT_MS);
	assert_non_null(strstr(answers.data, "Content-Length: 5\r\n\r\nwhole"));
	assert_null(strstr(answers.data, "late"));
	strbuf_clear(&answers);
	close(fd);
}

/* The parser took the result of a rejected head for "no body": if the head arrived alone, no answer
 * was sent, and the caller waited for one until it gave up. */
static void test_oversized_body_is_rejected_before_it_arrives(void **state)
{
	int fd = connect_to_caller();
	struct strbuf answers;

	(void)state;
	send_text(fd, "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999\r\n\r\n");
	answers = read_answers(fd, ANSWER_WAIT_MS);
	assert_non_null(strstr(answers.data, "HTTP/1.1 413"));
	strbuf_clear(&answers);
	close(fd);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_call_does_not_end_while_an_event_is_handled,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_trailers_leave_the_head_unchanged, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_oversized_body_is_rejected_before_it_arrives,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_second_answer_to_a_call_is_dropped, set_up,
						tear_down),
	};

	apr_initialize();
	return cmocka_run_group_tests_name("caller/connection", tests, NULL, NULL);
}
