#include "base/pipe.h"

#include <glib.h>
#include <string.h>

#include "base/lockorder.h"

struct pipe {
	gint refs;
	struct lock lock;
	apr_thread_cond_t *changed;
	apr_pool_t *pool;
	struct strbuf held;
	size_t taken; /* bytes at the front of held that the reader has */
	size_t limit;
	enum pipe_end end;
	bool abandoned;
	bool reader_waits;
};

struct pipe *pipe_new(size_t limit, apr_pool_t *parent)
{
	struct pipe *pipe = g_new0(struct pipe, 1);

	pipe->refs = 1;
	pipe->limit = limit;
	/* A pool of its own, since pipes come and go with the calls. */
	apr_pool_create(&pipe->pool, parent);
	lock_init(&pipe->lock, LOCK_PIPE, pipe->pool);
	apr_thread_cond_create(&pipe->changed, pipe->pool);
	return pipe;
}

void pipe_unref(struct pipe *pipe)
{
	if (!pipe || !g_atomic_int_dec_and_test(&pipe->refs))
		return;
	strbuf_clear(&pipe->held);
	apr_pool_destroy(pipe->pool);
	g_free(pipe);
}

static size_t held_bytes(const struct pipe *pipe)
{
	return pipe->held.len - pipe->taken;
}

static bool append(struct pipe *pipe, struct str bytes)
{
	bool waiting = pipe->reader_waits;

	if (pipe->abandoned || pipe->end != PIPE_OPEN)
		return false;
	/* What the reader has goes before the buffer would grow for it. */
	if (pipe->taken >= pipe->held.len / 2) {
		strbuf_consume(&pipe->held, pipe->taken);
		pipe->taken = 0;
	}
	strbuf_add(&pipe->held, bytes);
	pipe->reader_waits = false;
	apr_thread_cond_broadcast(pipe->changed);
	return waiting;
}

bool pipe_put(struct pipe *pipe, struct str bytes)
{
	bool waiting;

	lock_acquire(&pipe->lock);
	waiting = append(pipe, bytes);
	lock_release(&pipe->lock);
	return waiting;
}

/* Waits for a change; false when the deadline has passed. */
static bool wait_change(struct pipe *pipe, struct deadline deadline)
{
	int64_t left_us = deadline_left_us(deadline, clock_now());

	if (left_us == 0)
		return false;
	lock_wait(&pipe->lock, pipe->changed, left_us);
	return true;
}

bool pipe_put_wait(struct pipe *pipe, struct str bytes, struct deadline deadline)
{
	bool in_time = true;
	bool taken;

	lock_acquire(&pipe->lock);
	while (in_time && !pipe->abandoned && held_bytes(pipe) >= pipe->limit)
		in_time = wait_change(pipe, deadline);
	taken = in_time && !pipe->abandoned;
	if (taken)
		append(pipe, bytes);
	lock_release(&pipe->lock);
	return taken;
}

bool pipe_has_room(struct pipe *pipe)
{
	bool room;

	lock_acquire(&pipe->lock);
	room = held_bytes(pipe) < pipe->limit;
	lock_release(&pipe->lock);
	return room;
}

bool pipe_finish(struct pipe *pipe, enum pipe_end end)
{
	bool waiting;

	lock_acquire(&pipe->lock);
	waiting = pipe->reader_waits;
	if (pipe->end == PIPE_OPEN)
		pipe->end = end;
	pipe->reader_waits = false;
	apr_thread_cond_broadcast(pipe->changed);
	lock_release(&pipe->lock);
	return waiting;
}

static size_t take_held(struct pipe *pipe, char *into, size_t cap)
{
	size_t n = held_bytes(pipe) < cap ? held_bytes(pipe) : cap;

	if (n == 0)
		return 0;
	memcpy(into, pipe->held.data + pipe->taken, n);
	pipe->taken += n;
	apr_thread_cond_broadcast(pipe->changed);
	return n;
}

/* What the reader may know of the end: it shows only after the last byte. */
static enum pipe_end shown_end(const struct pipe *pipe)
{
	if (pipe->end == PIPE_FAILED)
		return PIPE_FAILED;
	return held_bytes(pipe) ? PIPE_OPEN : pipe->end;
}

size_t pipe_take(struct pipe *pipe, char *into, size_t cap, enum pipe_end *end)
{
	size_t n;

	lock_acquire(&pipe->lock);
	n = take_held(pipe, into, cap);
	*end = shown_end(pipe);
	pipe->reader_waits = n == 0 && *end == PIPE_OPEN;
	lock_release(&pipe->lock);
	return n;
}

size_t pipe_take_wait(struct pipe *pipe, char *into, size_t cap, enum pipe_end *end,
		      struct deadline deadline)
{
	size_t n;

	lock_acquire(&pipe->lock);
	n = take_held(pipe, into, cap);
	while (n == 0 && pipe->end == PIPE_OPEN) {
		if (!wait_change(pipe, deadline)) {
			pipe->end = PIPE_FAILED;
			break;
		}
		n = take_held(pipe, into, cap);
	}
	*end = shown_end(pipe);
	lock_release(&pipe->lock);
	return n;
}

void pipe_abandon(struct pipe *pipe)
{
	lock_acquire(&pipe->lock);
	pipe->abandoned = true;
	apr_thread_cond_broadcast(pipe->changed);
	lock_release(&pipe->lock);
}

size_t pipe_held(struct pipe *pipe)
{
	size_t held;

	lock_acquire(&pipe->lock);
	held = held_bytes(pipe);
	lock_release(&pipe->lock);
	return held;
}
