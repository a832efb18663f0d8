#include "base/workers.h"

#include <apr_thread_proc.h>
#include <errno.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/lockorder.h"

/*
 * epoll is used directly, since only one thread at a time can wait on an apr_pollset, which would
 * add a hand-off to each event.
 */

struct workers {
	struct workers_options options;
	struct lock lock;
	GQueue *queue; /* struct work */
	int epoll_fd;
	int wake_fd; /* semaphore that counts the queued work */
	int stop_fd; /* readable once the workers must stop */
	apr_thread_t **threads;
	apr_pool_t *pool;
};

static void watch_internal(struct workers *workers, int fd, void *tag)
{
	struct epoll_event event = { .events = EPOLLIN, .data.ptr = tag };

	epoll_ctl(workers->epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

struct workers *workers_new(const struct workers_options *options, apr_pool_t *pool, GError **error)
{
	struct workers *workers = g_new0(struct workers, 1);

	workers->options = *options;
	workers->pool = pool;
	lock_init(&workers->lock, LOCK_WORKERS, pool);
	workers->queue = g_queue_new();
	workers->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	workers->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK | EFD_SEMAPHORE);
	workers->stop_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	workers->threads = g_new0(apr_thread_t *, options->threads);
	if (workers->epoll_fd < 0 || workers->wake_fd < 0 || workers->stop_fd < 0) {
		g_set_error(error, G_FILE_ERROR, g_file_error_from_errno(errno), "workers: %s",
			    g_strerror(errno));
		workers_free(workers);
		return NULL;
	}
	watch_internal(workers, workers->wake_fd, &workers->wake_fd);
	watch_internal(workers, workers->stop_fd, &workers->stop_fd);
	return workers;
}

static void run_posted(struct workers *workers)
{
	struct work *work;
	uint64_t one;

	if (read(workers->wake_fd, &one, sizeof(one)) != sizeof(one))
		return;
	lock_acquire(&workers->lock);
	work = g_queue_pop_head(workers->queue);
	lock_release(&workers->lock);
	if (!work)
		return;
	workers->options.handle(workers->options.context, work, 0);
	g_free(work);
}

static int ready_mask(uint32_t events)
{
	int ready = 0;

	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		ready |= WATCH_READ;
	if (events & (EPOLLOUT | EPOLLHUP | EPOLLERR))
		ready |= WATCH_WRITE;
	return ready;
}

static void *APR_THREAD_FUNC worker_main(apr_thread_t *thread, void *data)
{
	struct workers *workers = data;
	struct epoll_event event;

	(void)thread;
	for (;;) {
		const struct watch *watch;

		if (epoll_wait(workers->epoll_fd, &event, 1, -1) != 1)
			continue;
		if (event.data.ptr == &workers->stop_fd)
			return NULL;
		if (event.data.ptr == &workers->wake_fd) {
			run_posted(workers);
			continue;
		}
		watch = event.data.ptr;
		workers->options.handle(workers->options.context, &watch->work,
					ready_mask(event.events));
	}
}

/* APR sets the thread even if it can't be created, and joining such threads may end the process. */
static apr_status_t start_thread(struct workers *workers, int index)
{
	apr_thread_t *thread = NULL;
	apr_status_t status = apr_thread_create(&thread, NULL, worker_main, workers, workers->pool);

	if (status == APR_SUCCESS)
		workers->threads[index] = thread;
	return status;
}

bool workers_start(struct workers *workers, GError **error)
{
	for (int i = 0; i < workers->options.threads; i++) {
		apr_status_t status = start_thread(workers, i);
		char text[64];

		if (status == APR_SUCCESS)
			continue;
		workers_stop(workers);
		g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_AGAIN,
			    "cannot create worker %d of %d: %s", i + 1, workers->options.threads,
			    apr_strerror(status, text, sizeof(text)));
		return false;
	}
	return true;
}

void workers_stop(struct workers *workers)
{
	uint64_t one = 1;
	apr_status_t status;

	if (write(workers->stop_fd, &one, sizeof(one)) < 0)
		return;
	for (int i = 0; i < workers->options.threads; i++) {
		if (workers->threads[i])
			apr_thread_join(&status, workers->threads[i]);
		workers->threads[i] = NULL;
	}
}

void workers_free(struct workers *workers)
{
	close(workers->epoll_fd);
	close(workers->wake_fd);
	close(workers->stop_fd);
	g_queue_free_full(workers->queue, g_free);
	lock_destroy(&workers->lock);
	g_free(workers->threads);
	g_free(workers);
}

bool workers_post(struct workers *workers, struct work work)
{
	uint64_t one = 1;
	bool has_room;

	lock_acquire(&workers->lock);
	has_room = (int)g_queue_get_length(workers->queue) < workers->options.queue_max;
	if (has_room)
		g_queue_push_tail(workers->queue, g_memdup2(&work, sizeof(work)));
	lock_release(&workers->lock);
	return has_room && write(workers->wake_fd, &one, sizeof(one)) == sizeof(one);
}

static struct epoll_event make_event(struct watch *watch, int interest)
{
	struct epoll_event event = { .events = EPOLLONESHOT, .data.ptr = watch };

	if (interest & WATCH_READ)
		event.events |= EPOLLIN;
	if (interest & WATCH_WRITE)
		event.events |= EPOLLOUT;
	return event;
}

bool workers_watch(struct workers *workers, struct watch *watch, int interest)
{
	struct epoll_event event = make_event(watch, interest);

	return epoll_ctl(workers->epoll_fd, EPOLL_CTL_ADD, watch->fd, &event) == 0;
}

void workers_rearm(struct workers *workers, struct watch *watch, int interest)
{
	struct epoll_event event = make_event(watch, interest);

	epoll_ctl(workers->epoll_fd, EPOLL_CTL_MOD, watch->fd, &event);
}

void workers_unwatch(struct workers *workers, struct watch *watch)
{
	epoll_ctl(workers->epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
}
