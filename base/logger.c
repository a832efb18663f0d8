#include "base/logger.h"

#include <fcntl.h>
#include <glib.h>
#include <glib/gprintf.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/str.h"

/*
 * The process's one log. A line is one write to a descriptor that appends, so that no lock is held
 * for it; a reopened file takes the descriptor's place in one step.
 */
static int log_fd = -1;
static char *log_path;

static int open_path(const char *path)
{
	if (strcmp(path, "-") == 0)
		return STDERR_FILENO;
	return open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

static void close_fd(void)
{
	if (log_fd > STDERR_FILENO)
		close(log_fd);
	log_fd = -1;
}

bool logger_open(const char *path)
{
	int fd = open_path(path);

	if (fd < 0)
		return false;
	g_free(log_path);
	log_path = g_strdup(path);
	log_fd = fd;
	return true;
}

void logger_reopen(void)
{
	int fd;

	if (!log_path || log_fd <= STDERR_FILENO)
		return;
	fd = open_path(log_path);
	if (fd < 0)
		return;
	dup2(fd, log_fd);
	close(fd);
	logger_event(NOTE_LOG_REOPENED, "path=%s", log_path);
}

void logger_close(void)
{
	close_fd();
	g_free(log_path);
	log_path = NULL;
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

void logger_event(enum log_event event, const char *format, ...)
{
	const struct event_entry *entry = find_entry(event);
	struct strbuf line = { 0 };
	va_list args;
	char *fields = NULL;

	if (log_fd < 0)
		return;
	va_start(args, format);
	g_vasprintf(&fields, format, args);
	va_end(args);
	clock_format_utc(&line, clock_now().wall_us);
	strbuf_addf(&line, " %s %d %s %s\n", level_name(entry->level), (int)event, entry->name,
		    fields);
	g_free(fields);
	if (write(log_fd, line.data, line.len) < 0) {
		/* Nowhere is left to report a log that can't be written. */
	}
	strbuf_clear(&line);
}
