#include "base/pipe.h"

#include <glib.h>
#include <string.h>

#include "base/lockorder.h"

struct pipe {
	gint refs;
	struct lock lock;
	apr_thread_cond_t *changed;
	struct memory *memory; /* NULL: the buffer is not counted */
	struct memory_holder *holder;
	enum memory_use use;
	size_t counted; /* bytes of the buffer that the account has */
	struct strbuf buffered;
	size_t consumed; /* bytes at the front of buffered that were read */
	size_t limit;
	enum pipe_end end;
	bool abandoned;
	bool reader_waiting;
};

struct pipe *pipe_new(size_t limit, apr_pool_t *pool)
{
	struct pipe *pipe = g_new0(struct pipe, 1);

	pipe->refs = 1;
	pipe->limit = limit;
	lock_init(&pipe->lock, LOCK_PIPE, pool);
	apr_thread_cond_create(&pipe->changed, pool);
	return pipe;
}

void pipe_set_account(struct pipe *pipe, struct memory *memory, struct memory_holder *holder,
		      enum memory_use use)
{
	lock_acquire(&pipe->lock);
	pipe->memory = memory;
	pipe->holder = holder;
	pipe->use = use;
	lock_release(&pipe->lock);
}

/* The account is charged for the buffer's capacity, which stays in use when it is read empty.
 * LOCK_PIPE is held, or nobody else uses the pipe. */
static void count_buffer(struct pipe *pipe)
{
	size_t counted = pipe->counted;

	if (!pipe->memory)
		return;
	pipe->counted = pipe->buffered.cap;
	memory_charge(pipe->memory, pipe->holder, pipe->use,
		      (int64_t)pipe->counted - (int64_t)counted);
}

static void clear_buffer(struct pipe *pipe)
{
	strbuf_clear(&pipe->buffered);
	pipe->consumed = 0;
	count_buffer(pipe);
}

void pipe_unref(struct pipe *pipe)
{
	if (!pipe || !g_atomic_int_dec_and_test(&pipe->refs))
		return;
	clear_buffer(pipe);
	apr_thread_cond_destroy(pipe->changed);
	lock_destroy(&pipe->lock);
	g_free(pipe);
}

static size_t buffered_bytes(const struct pipe *pipe)
{
	return pipe->buffered.len - pipe->consumed;
}

static bool append(struct pipe *pipe, struct str bytes)
{
	bool waiting = pipe->reader_waiting;

	if (pipe->abandoned || pipe->end != PIPE_OPEN)
		return false;
	/* Removes the bytes that were read once they fill half of the buffer, to limit its size. */
	if (pipe->consumed >= pipe->buffered.len / 2) {
		strbuf_consume(&pipe->buffered, pipe->consumed);
		pipe->consumed = 0;
	}
	strbuf_add(&pipe->buffered, bytes);
	count_buffer(pipe);
	pipe->reader_waiting = false;
	apr_thread_cond_broadcast(pipe->changed);
	return waiting;
}

bool pipe_write(struct pipe *pipe, struct str bytes)
{
	bool waiting;

	lock_acquire(&pipe->lock);
	waiting = append(pipe, bytes);
	lock_release(&pipe->lock);
	return waiting;
}

/* Waits for a change of the pipe; false if the deadline has passed. LOCK_PIPE is held. */
static bool wait_for_change(struct pipe *pipe, struct deadline deadline)
{
	int64_t remaining_us = deadline_remaining_us(deadline, clock_now());

	if (remaining_us == 0)
		return false;
	lock_wait(&pipe->lock, pipe->changed, remaining_us);
	return true;
}

bool pipe_write_wait(struct pipe *pipe, struct str bytes, struct deadline deadline)
{
	bool in_time = true;
	bool appended;

	lock_acquire(&pipe->lock);
	while (in_time && !pipe->abandoned && buffered_bytes(pipe) >= pipe->limit)
		in_time = wait_for_change(pipe, deadline);
	appended = in_time && !pipe->abandoned;
	if (appended)
		append(pipe, bytes);
	lock_release(&pipe->lock);
	return appended;
}

bool pipe_has_room(struct pipe *pipe)
{
	bool room;

	lock_acquire(&pipe->lock);
	room = buffered_bytes(pipe) < pipe->limit;
	lock_release(&pipe->lock);
	return room;
}

bool pipe_finish(struct pipe *pipe, enum pipe_end end)
{
	bool waiting;

	lock_acquire(&pipe->lock);
	waiting = pipe->reader_waiting;
	if (pipe->end == PIPE_OPEN)
		pipe->end = end;
	pipe->reader_waiting = false;
	apr_thread_cond_broadcast(pipe->changed);
	lock_release(&pipe->lock);
	return waiting;
}

static size_t read_buffered(struct pipe *pipe, char *into, size_t cap)
{
	size_t n = buffered_bytes(pipe) < cap ? buffered_bytes(pipe) : cap;

	if (n == 0)
		return 0;
	memcpy(into, pipe->buffered.data + pipe->consumed, n);
	pipe->consumed += n;
	if (buffered_bytes(pipe) == 0)
		clear_buffer(pipe);
	apr_thread_cond_broadcast(pipe->changed);
	return n;
}

/* Returns the end as the reader sees it: PIPE_DONE only after the last byte was read. */
static enum pipe_end visible_end(const struct pipe *pipe)
{
	if (pipe->end == PIPE_FAILED)
		return PIPE_FAILED;
	return buffered_bytes(pipe) ? PIPE_OPEN : pipe->end;
}

size_t pipe_read(struct pipe *pipe, char *into, size_t cap, enum pipe_end *end)
{
	size_t n;

	lock_acquire(&pipe->lock);
	n = read_buffered(pipe, into, cap);
	*end = visible_end(pipe);
	pipe->reader_waiting = n == 0 && *end == PIPE_OPEN;
	lock_release(&pipe->lock);
	return n;
}

size_t pipe_read_wait(struct pipe *pipe, char *into, size_t cap, enum pipe_end *end,
		      struct deadline deadline)
{
	size_t n;

	lock_acquire(&pipe->lock);
	n = read_buffered(pipe, into, cap);
	while (n == 0 && pipe->end == PIPE_OPEN) {
		if (!wait_for_change(pipe, deadline)) {
			pipe->end = PIPE_FAILED;
			break;
		}
		n = read_buffered(pipe, into, cap);
	}
	*end = visible_end(pipe);
	lock_release(&pipe->lock);
	return n;
}

bool pipe_wait(struct pipe *pipe, struct deadline deadline)
{
	bool in_time = true;
	bool readable;

	lock_acquire(&pipe->lock);
	while (in_time && buffered_bytes(pipe) == 0 && pipe->end == PIPE_OPEN)
		in_time = wait_for_change(pipe, deadline);
	readable = pipe->end != PIPE_FAILED && (buffered_bytes(pipe) || pipe->end == PIPE_DONE);
	lock_release(&pipe->lock);
	return readable;
}

void pipe_abandon(struct pipe *pipe)
{
	lock_acquire(&pipe->lock);
	pipe->abandoned = true;
	clear_buffer(pipe);
	apr_thread_cond_broadcast(pipe->changed);
	lock_release(&pipe->lock);
}

size_t pipe_buffered_bytes(struct pipe *pipe)
{
	size_t buffered;

	lock_acquire(&pipe->lock);
	buffered = buffered_bytes(pipe);
	lock_release(&pipe->lock);
	return buffered;
}
