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

#define FLUSH_TIMEOUT_US (200 * US_PER_MS) /* time to write the last lines when the log closes */
/* Lines of level info are written in batches, because a wake-up and a write() for each line cost a
 * small VM more than the line itself. A killed process loses at most one batch. Warnings and errors
 * are written at once. */
#define BATCH_DELAY_US (100 * US_PER_MS)

enum {
	BUFFER_BYTES = 256 << 10,	      /* holds about 1,500 lines for a slow reader */
	BUFFER_INFO_BYTES = BUFFER_BYTES / 2, /* beyond it only warnings and errors are accepted */
	BATCH_BYTES = BUFFER_BYTES / 8,	      /* a batch of this size is written at once */
};

/*
 * The log of the process. One thread writes the lines from a bounded buffer, so that no other
 * thread ever blocks on a full pipe. Lines that do not fit are dropped and counted.
 */
static struct {
	int fd;
	char *path;
	apr_pool_t *pool;
	apr_thread_t *thread;
	struct lock lock; /* LOCK_LOG: guards all members below */
	apr_thread_cond_t *changed;
	struct strbuf pending;
	uint64_t dropped; /* lines dropped since the last LOG_DROPPED event */
	bool writing;
	bool urgent; /* a warning or an error is pending */
	bool closing;
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

	clock_format_utc_ms(out, clock_now().wall_us);
	strbuf_addf(out, " %s %d %s %s\n", level_name(entry->level), (int)event, entry->name,
		    fields);
}

/* Returns whether the pending lines must be written now. LOCK_LOG is held. */
static bool is_write_due(void)
{
	return the_log.urgent || the_log.closing || the_log.pending.len >= BATCH_BYTES;
}

/* Waits for a first line, then until the batch is due. LOCK_LOG is held. */
static void wait_for_lines(void)
{
	struct deadline batch_end;

	while (the_log.pending.len == 0 && !the_log.closing)
		lock_wait(&the_log.lock, the_log.changed, US_PER_S);
	batch_end = deadline_after(clock_now(), BATCH_DELAY_US);
	while (!is_write_due() && !deadline_passed(batch_end, clock_now()))
		lock_wait(&the_log.lock, the_log.changed,
			  deadline_remaining_us(batch_end, clock_now()));
}

/* Waits for lines and takes them, with a line about dropped ones; false if the log is closing and
 * no lines are left. */
static bool take_pending(struct strbuf *lines)
{
	char text[32];
	bool more;

	lock_acquire(&the_log.lock);
	the_log.writing = false;
	wait_for_lines();
	the_log.urgent = false;
	*lines = the_log.pending;
	the_log.pending = (struct strbuf){ 0 };
	if (the_log.dropped) {
		g_snprintf(text, sizeof(text), "lines=%lu", the_log.dropped);
		add_line(lines, LOG_EVENT_LOG_DROPPED, text);
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

		/* There is no other place to report that the log can't be written. */
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
	while (take_pending(&lines)) {
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
	the_log.closing = false;
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
	logger_event(LOG_EVENT_LOG_REOPENED, "path=%s", the_log.path);
}

/* Makes the writer finish and waits for it; false if a reader that does not read blocks it. */
static bool flush(struct deadline deadline)
{
	int64_t wait_us = MIN(deadline_remaining_us(deadline, clock_now()), FLUSH_TIMEOUT_US);
	struct deadline give_up_at = deadline_after(clock_now(), wait_us);
	bool done = false;

	lock_acquire(&the_log.lock);
	the_log.closing = true;
	apr_thread_cond_broadcast(the_log.changed);
	lock_release(&the_log.lock);
	while (!done && !deadline_passed(give_up_at, clock_now())) {
		lock_acquire(&the_log.lock);
		done = the_log.pending.len == 0 && !the_log.writing;
		if (!done)
			lock_wait(&the_log.lock, the_log.changed, FLUSH_TIMEOUT_US / 20);
		lock_release(&the_log.lock);
	}
	return done;
}

void logger_close(struct deadline deadline)
{
	apr_status_t status;

	if (the_log.fd < 0)
		return;
	/* A blocked writer thread ends with the process. */
	if (!flush(deadline))
		return;
	apr_thread_join(&status, the_log.thread);
	if (the_log.fd > STDERR_FILENO)
		close(the_log.fd);
	the_log.fd = -1;
	g_free(the_log.path);
	the_log.path = NULL;
	strbuf_clear(&the_log.pending);
	lock_destroy(&the_log.lock);
	apr_pool_destroy(the_log.pool);
}

void logger_event(enum log_event event, const char *format, ...)
{
	bool urgent = find_entry(event)->level != LOG_LEVEL_INFO;
	size_t limit = urgent ? BUFFER_BYTES : BUFFER_INFO_BYTES;
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
	if (the_log.pending.len + line.len > limit) {
		the_log.dropped++;
	} else {
		bool due = is_write_due();

		if (the_log.pending.len == 0)
			apr_thread_cond_broadcast(the_log.changed);
		strbuf_add(&the_log.pending, strbuf_str(&line));
		the_log.urgent |= urgent;
		if (!due && is_write_due())
			apr_thread_cond_broadcast(the_log.changed);
	}
	lock_release(&the_log.lock);
	strbuf_clear(&line);
}
