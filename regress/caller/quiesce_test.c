/* Tests of requests that arrive while idle connections are being closed. */
#include "regress/lib/check.h"

#include <apr_general.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "regress/lib/callers.h"

enum { ROUNDS = 300, CONNECTIONS = 16, SETTLE_US = 20000, DELAY_MAX_US = 120 };

static int fds[CONNECTIONS];

static void send_all(void)
{
	for (int i = 0; i < CONNECTIONS; i++)
		send(fds[i], "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n", 28, MSG_NOSIGNAL);
}

static gpointer send_main(gpointer data)
{
	(void)data;
	send_all();
	return NULL;
}

/* Opens the connections; each has been used once, and is idle. */
static void open_idle(void)
{
	struct response_head head = { .status = 200 };

	for (int i = 0; i < CONNECTIONS; i++) {
		char answer[512];

		fds[i] = callers_connect();
		callers_send(fds[i], "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
		caller_answer(callers_call(i), &head, STR(""));
		assert_true(recv(fds[i], answer, sizeof(answer), 0) > 0);
	}
	for (int i = 0; i < 100 && caller_active(callers.caller); i++)
		g_usleep(1000);
	g_usleep(2000);
	callers_release();
	pthread_mutex_lock(&callers.mutex);
	callers.ended = 0;
	pthread_mutex_unlock(&callers.mutex);
}

static bool is_closed(int fd)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLIN };

	return poll(&poll_fd, 1, 0) > 0;
}

/* The request was queued on a connection that another worker had just closed: it was neither passed
 * on nor was its connection closed, and it counted as active for ever. */
static void test_request_on_a_connection_that_is_being_closed(void **state)
{
	int stuck = 0;
	int open = 0;
	int ready = 0;
	int cut = 0;

	for (int round = 0; round < ROUNDS; round++) {
		GThread *thread;
		int running;

		assert_int_equal(callers_set_up(state), 0);
		open_idle();
		thread = g_thread_new("send", send_main, NULL);
		g_usleep((gulong)(round % DELAY_MAX_US));
		caller_quiesce(callers.caller);
		g_thread_join(thread);
		g_usleep(SETTLE_US);
		pthread_mutex_lock(&callers.mutex);
		running = callers.ready - callers.ended;
		cut += callers.ended;
		pthread_mutex_unlock(&callers.mutex);
		ready += running;
		stuck += caller_active(callers.caller) - running;
		for (int i = 0; i < CONNECTIONS; i++)
			open += !is_closed(fds[i]);
		open -= running;
		for (int i = 0; i < CONNECTIONS; i++)
			close(fds[i]);
		callers_tear_down(state);
	}
	if (stuck || open || cut)
		fail_msg("%d calls stuck, %d connections open, %d cut of %d passed on, of %d",
			 stuck, open, cut, ready + cut, ROUNDS * CONNECTIONS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_request_on_a_connection_that_is_being_closed),
	};

	cmocka_set_test_filter(getenv("TEST_ONLY"));
	apr_initialize();
	return cmocka_run_group_tests_name("caller/quiesce", tests, NULL, NULL);
}
