#include "base/logger.h"

#include <apr_thread_proc.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gprintf.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/lockorder.h"
#include "base/str.h"

#define FLUSH_WAIT_US (200 * US_PER_MS) /* for the last lines at the end */
/* Lines of successes are written together: a wake-up and a call for each cost a small VM more than
 * the line. A kill loses no more than that; warnings and errors are written at once. */
#define GATHER_US (100 * US_PER_MS)

enum {
	RING_BYTES = 256 << 10,		  /* some 1,500 lines wait while the reader is slow */
	RING_INFO_BYTES = RING_BYTES / 2, /* past it only warnings and errors are taken */
	GATHER_BYTES = RING_BYTES / 8,	  /* are written without waiting for more */
};

/*
 * The process's one log. Lines wait in a bounded buffer for one thread that writes them, so that
 * nobody else ever waits for a full pipe; what does not fit is counted.
 */
static struct {
	int fd;
	char *path;
	apr_pool_t *pool;
	apr_thread_t *thread;
	struct lock lock; /* LOCK_LOG: all below */
	apr_thread_cond_t *changed;
	struct strbuf waiting;
	uint64_t dropped; /* since the last line that tells it */
	bool writing;
	bool urgent; /* a warning or an error waits */
	bool ends;
} the_log = { .fd = -1 };

static int open_path(const char *path)
{
	if (strcmp(path, "-") == 0)
		return STDERR_FILENO;
	if (strcmp(path, "stdout") == 0)
		return STDOUT_FILENO;
	return open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

struct event_entry {
	enum log_event event;
	const char *name;
	enum log_level level;
};

static const struct event_entry catalogue[] = {
#define LOG_EVENT_ENTRY(number, name, level) { number, #name, level },
	LOG_EVENTS(LOG_EVENT_ENTRY)
#undef LOG_EVENT_ENTRY
};

static const struct event_entry *find_entry(enum log_event event)
{
	for (size_t i = 0; i < G_N_ELEMENTS(catalogue); i++)
		if (catalogue[i].event == event)
			return &catalogue[i];
	g_assert_not_reached();
}

static const char *level_name(enum log_level level)
{
	switch (level) {
	case LOG_LEVEL_INFO:
		return "info";
	case LOG_LEVEL_WARN:
		return "warn";
	case LOG_LEVEL_ERROR:
		return "error";
	}
	g_assert_not_reached();
}

static void add_line(struct strbuf *out, enum log_event event, const char *fields)
{
	const struct event_entry *entry = find_entry(event);

	clock_format_utc(out, clock_now().wall_us);
	strbuf_addf(out, " %s %d %s %s\n", level_name(entry->level), (int)event, entry->name,
		    fields);
}

/* Whether the lines that wait are to be written now. LOCK_LOG is held. */
static bool is_due(void)
{
	return the_log.urgent || the_log.ends || the_log.waiting.len >= GATHER_BYTES;
}

/* Waits for a first line, then a moment for more. LOCK_LOG is held. */
static void await_lines(void)
{
	struct deadline until;

	while (the_log.waiting.len == 0 && !the_log.ends)
		lock_wait(&the_log.lock, the_log.changed, US_PER_S);
	until = deadline_after(clock_now(), GATHER_US);
	while (!is_due() && !deadline_passed(until, clock_now()))
		lock_wait(&the_log.lock, the_log.changed, deadline_left_us(until, clock_now()));
}

/* Takes what waits, and tells of what was dropped; false at the end. */
static bool take_waiting(struct strbuf *lines)
{
	char text[32];
	bool more;

	lock_acquire(&the_log.lock);
	the_log.writing = false;
	await_lines();
	the_log.urgent = false;
	*lines = the_log.waiting;
	the_log.waiting = (struct strbuf){ 0 };
	if (the_log.dropped) {
		g_snprintf(text, sizeof(text), "lines=%lu", the_log.dropped);
		add_line(lines, NOTE_LOG_DROPPED, text);
		the_log.dropped = 0;
	}
	more = lines->len > 0;
	the_log.writing = more;
	lock_release(&the_log.lock);
	return more;
}

static void write_all(struct str bytes)
{
	while (bytes.len) {
		ssize_t n = write(the_log.fd, bytes.data, bytes.len);

		/* Nowhere is left to report a log that can't be written. */
		if (n <= 0)
			return;
		bytes = str_sub(bytes, (size_t)n, bytes.len);
	}
}

static void *APR_THREAD_FUNC writer_main(apr_thread_t *thread, void *data)
{
	struct strbuf lines = { 0 };

	(void)thread;
	(void)data;
	while (take_waiting(&lines)) {
		write_all(strbuf_str(&lines));
		strbuf_clear(&lines);
	}
	return NULL;
}

bool logger_open(const char *path)
{
	int fd = open_path(path);

	if (fd < 0)
		return false;
	the_log.fd = fd;
	the_log.path = g_strdup(path);
	the_log.ends = false;
	apr_pool_create(&the_log.pool, NULL);
	lock_init(&the_log.lock, LOCK_LOG, the_log.pool);
	apr_thread_cond_create(&the_log.changed, the_log.pool);
	return apr_thread_create(&the_log.thread, NULL, writer_main, NULL, the_log.pool) ==
	       APR_SUCCESS;
}

void logger_reopen(void)
{
	int fd;

	if (!the_log.path || the_log.fd <= STDERR_FILENO)
		return;
	fd = open_path(the_log.path);
	if (fd < 0)
		return;
	dup2(fd, the_log.fd);
	close(fd);
	logger_event(NOTE_LOG_REOPENED, "path=%s", the_log.path);
}

/* Lets the writer finish; false if it is stuck at a reader that does not read. */
static bool flush(void)
{
	struct deadline until = deadline_after(clock_now(), FLUSH_WAIT_US);
	bool done = false;

	lock_acquire(&the_log.lock);
	the_log.ends = true;
	apr_thread_cond_broadcast(the_log.changed);
	lock_release(&the_log.lock);
	while (!done && !deadline_passed(until, clock_now())) {
		lock_acquire(&the_log.lock);
		done = the_log.waiting.len == 0 && !the_log.writing;
		if (!done)
			lock_wait(&the_log.lock, the_log.changed, FLUSH_WAIT_US / 20);
		lock_release(&the_log.lock);
	}
	return done;
}

void logger_close(void)
{
	apr_status_t status;

	if (the_log.fd < 0)
		return;
	/* A writer that is stuck ends with the process. */
	if (!flush())
		return;
	apr_thread_join(&status, the_log.thread);
	if (the_log.fd > STDERR_FILENO)
		close(the_log.fd);
	the_log.fd = -1;
	g_free(the_log.path);
	the_log.path = NULL;
	strbuf_clear(&the_log.waiting);
	lock_destroy(&the_log.lock);
	apr_pool_destroy(the_log.pool);
}

void logger_event(enum log_event event, const char *format, ...)
{
	bool urgent = find_entry(event)->level != LOG_LEVEL_INFO;
	size_t limit = urgent ? RING_BYTES : RING_INFO_BYTES;
	struct strbuf line = { 0 };
	char *fields = NULL;
	va_list args;

	if (the_log.fd < 0)
		return;
	va_start(args, format);
	g_vasprintf(&fields, format, args);
	va_end(args);
	add_line(&line, event, fields);
	g_free(fields);
	lock_acquire(&the_log.lock);
	if (the_log.waiting.len + line.len > limit) {
		the_log.dropped++;
	} else {
		bool due = is_due();

		if (the_log.waiting.len == 0)
			apr_thread_cond_broadcast(the_log.changed);
		strbuf_add(&the_log.waiting, strbuf_str(&line));
		the_log.urgent |= urgent;
		if (!due && is_due())
			apr_thread_cond_broadcast(the_log.changed);
	}
	lock_release(&the_log.lock);
	strbuf_clear(&line);
}
