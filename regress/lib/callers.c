#include "regress/lib/callers.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum { THREADS = 4, EVENT_LIMIT_S = 5, QUIET_MS = 200, LISTEN_IP = 0x7f000001 };

struct callers callers;

static struct workers *workers;
static struct memory *memory;
static apr_pool_t *pool;

static void on_ready(struct caller_call *call)
{
	gulong wait_us;

	pthread_mutex_lock(&callers.mutex);
	g_ptr_array_add(callers.calls, caller_call_ref(call));
	callers.handling++;
	callers.ready++;
	wait_us = callers.ready_wait_us;
	pthread_cond_broadcast(&callers.changed);
	pthread_mutex_unlock(&callers.mutex);
	if (wait_us)
		g_usleep(wait_us);
	pthread_mutex_lock(&callers.mutex);
	callers.handling--;
	pthread_mutex_unlock(&callers.mutex);
}

static void on_event(void *context, const struct caller_event *event)
{
	(void)context;
	switch (event->kind) {
	case CALLER_READY:
		on_ready(event->call);
		return;
	case CALLER_UPLOADED:
		pthread_mutex_lock(&callers.mutex);
		callers.uploaded++;
		pthread_cond_broadcast(&callers.changed);
		pthread_mutex_unlock(&callers.mutex);
		return;
	case CALLER_DRAINED:
		return;
	case CALLER_ENDED:
		pthread_mutex_lock(&callers.mutex);
		callers.ended_while_handling |= callers.handling > 0;
		callers.ended++;
		pthread_cond_broadcast(&callers.changed);
		pthread_mutex_unlock(&callers.mutex);
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

static void start_server(int threads)
{
	struct workers_options pool_options = { .threads = threads,
						.queue_max = 64,
						.handle = on_work };
	struct caller_options options = { .ipv4 = LISTEN_IP,
					  .connections = 16,
					  .connections_per_address = 16,
					  .idle_s = 10,
					  .body_max = 1 << 20,
					  .verdict_field = STR("Verdict"),
					  .handle = on_event };

	memset(&callers, 0, sizeof(callers));
	pthread_mutex_init(&callers.mutex, NULL);
	pthread_cond_init(&callers.changed, NULL);
	callers.calls = g_ptr_array_new_with_free_func((GDestroyNotify)caller_call_unref);
	apr_pool_create(&pool, NULL);
	workers = workers_new(&pool_options, pool, NULL);
	memory = memory_new(memory_budget(0), pool);
	options.memory = memory;
	callers.memory = memory;
	options.workers = workers;
	callers.caller = caller_new(&options, pool, NULL);
	assert_non_null(callers.caller);
	assert_true(workers_start(workers, NULL));
}

int callers_set_up(void **state)
{
	(void)state;
	start_server(THREADS);
	return 0;
}

int callers_set_up_ordered(void **state)
{
	(void)state;
	start_server(1);
	return 0;
}

int callers_tear_down(void **state)
{
	(void)state;
	g_ptr_array_unref(callers.calls);
	workers_stop(workers);
	caller_free(callers.caller);
	workers_free(workers);
	memory_free(memory);
	apr_pool_destroy(pool);
	return 0;
}

int callers_connect(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(caller_port(callers.caller)),
				       .sin_addr.s_addr = htonl(LISTEN_IP) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

void callers_send(int fd, const char *text)
{
	assert_int_equal(send(fd, text, strlen(text), MSG_NOSIGNAL), strlen(text));
}

void callers_begin_upload(int fd, const char *target, const char *fields)
{
	char *bytes = g_strnfill(CALLERS_UPLOAD_BYTES, 'a');
	char *text = g_strdup_printf("POST %s HTTP/1.1\r\nHost: a\r\n%sTransfer-Encoding: chunked"
				     "\r\n\r\n%x\r\n%s\r\n",
				     target, fields, (unsigned int)CALLERS_UPLOAD_BYTES, bytes);

	callers_send(fd, text);
	g_free(text);
	g_free(bytes);
}

void callers_wait(const int *counter, int count)
{
	struct timespec until;
	int reached;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += EVENT_LIMIT_S;
	pthread_mutex_lock(&callers.mutex);
	while (*counter < count &&
	       pthread_cond_timedwait(&callers.changed, &callers.mutex, &until) == 0)
		;
	reached = *counter;
	pthread_mutex_unlock(&callers.mutex);
	if (reached < count)
		fail_msg("%d of %d events", reached, count);
}

struct caller_call *callers_call(int index)
{
	struct caller_call *call;

	callers_wait(&callers.ready, index + 1);
	pthread_mutex_lock(&callers.mutex);
	call = g_ptr_array_index(callers.calls, index);
	pthread_mutex_unlock(&callers.mutex);
	return call;
}

void callers_release(void)
{
	pthread_mutex_lock(&callers.mutex);
	g_ptr_array_set_size(callers.calls, 0);
	callers.ready = 0;
	pthread_mutex_unlock(&callers.mutex);
}

struct strbuf callers_read(int fd, int wait_ms)
{
	struct strbuf bytes = { 0 };
	struct pollfd poll_fd = { .fd = fd, .events = POLLIN };

	while (poll(&poll_fd, 1, wait_ms) > 0) {
		char block[4096];
		ssize_t n = recv(fd, block, sizeof(block), 0);

		if (n <= 0)
			break;
		strbuf_add(&bytes, (struct str){ block, (size_t)n });
		wait_ms = QUIET_MS;
	}
	strbuf_add(&bytes, (struct str){ "", 1 });
	return bytes;
}

bool callers_ended(int fd)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
	char byte;

	return poll(&poll_fd, 1, EVENT_LIMIT_S * 1000) > 0 && recv(fd, &byte, 1, 0) <= 0;
}
