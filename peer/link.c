#include "peer/link.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/logger.h"

#define HEARTBEAT_US (200 * US_PER_MS)
#define SILENT_US    (600 * US_PER_MS) /* leaves time to retry on another node */
#define IDLE_US	     (60 * US_PER_S)

/* Output beyond which no part of a large answer is added: two windows. */
enum { OUTPUT_ROOM_BYTES = 2 * STREAM_WINDOW };

struct link *link_new(struct peers *peers, int fd, bool outgoing, enum link_state state)
{
	struct link *link = g_new0(struct link, 1);
	int enable = 1;

	link->refs = 1;
	link->peers = peers;
	link->outgoing = outgoing;
	link->state = state;
	link->fd = fd;
	link->write_fd = dup(fd);
	link->read_watch = (struct watch){ fd, { WORK_LINK_READ, link } };
	link->write_watch = (struct watch){ link->write_fd, { WORK_LINK_WRITE, link } };
	link->streams = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	link->next_stream = 1;
	link->received_at_us = clock_now().mono_us;
	link->used_at_us = link->received_at_us;
	apr_pool_create(&link->pool, NULL);
	lock_init(&link->lock, LOCK_LINK, link->pool);
	apr_thread_cond_create(&link->drained, link->pool);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
	return link;
}

struct link *link_connect(struct peers *peers, uint64_t to, struct instant now)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(member_port(to)),
				       .sin_addr.s_addr = htonl(member_ipv4(to)) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct link *link;

	if (fd < 0)
		return NULL;
	link = link_new(peers, fd, true, LINK_CONNECTING);
	link->peer = to;
	link->received_at_us = now.mono_us;
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
	    errno != EINPROGRESS) {
		link_unref(link);
		return NULL;
	}
	wire_put_tagged(&link->out, FRAME_HELLO, peers_self(peers), peers_fleet_tag(peers),
			STR(""));
	link->queued = link->out.len;
	return link;
}

static void start_reading(struct link *link)
{
	lock_acquire(&link->lock);
	link->read_state = WATCH_ARMED;
	lock_release(&link->lock);
	link_ref(link);
	workers_watch(peers_workers(link->peers), &link->read_watch, WATCH_READ);
}

void link_start(struct link *link)
{
	if (!link->outgoing) {
		start_reading(link);
		return;
	}
	lock_acquire(&link->lock);
	link->write_state = WATCH_ARMED;
	lock_release(&link->lock);
	link_ref(link);
	workers_watch(peers_workers(link->peers), &link->write_watch, WATCH_WRITE);
}

static void remove_watch(struct link *link, struct watch *watch)
{
	workers_unwatch(peers_workers(link->peers), watch);
	link_unref(link);
}

void link_end_handling(struct link *link, struct watch *watch, enum watch_state *state, bool rearm,
		       int interest)
{
	bool closed;

	lock_acquire(&link->lock);
	closed = link->state == LINK_CLOSED;
	*state = closed ? WATCH_UNREGISTERED : rearm ? WATCH_ARMED : WATCH_IDLE;
	lock_release(&link->lock);
	if (closed)
		remove_watch(link, watch);
	else if (rearm)
		workers_rearm(peers_workers(link->peers), watch, interest);
}

void link_begin_handling(struct link *link, enum watch_state *state)
{
	lock_acquire(&link->lock);
	*state = WATCH_HANDLING;
	lock_release(&link->lock);
}

/* Arms the write watch, unless the link is closed or the watch is armed or being handled. */
static void arm_write(struct link *link)
{
	enum watch_state previous;

	lock_acquire(&link->lock);
	previous = link->write_state;
	if (link->state != LINK_CLOSED &&
	    (previous == WATCH_IDLE || previous == WATCH_UNREGISTERED))
		link->write_state = WATCH_ARMED;
	else
		previous = WATCH_ARMED;
	lock_release(&link->lock);
	if (previous == WATCH_IDLE) {
		workers_rearm(peers_workers(link->peers), &link->write_watch, WATCH_WRITE);
	} else if (previous == WATCH_UNREGISTERED) {
		link_ref(link);
		workers_watch(peers_workers(link->peers), &link->write_watch, WATCH_WRITE);
	}
}

/* Writes as many bytes as the socket accepts. Returns false if the socket failed. */
static bool send_available(struct link *link, const struct strbuf *bytes, size_t *sent)
{
	*sent = 0;
	while (*sent < bytes->len) {
		ssize_t n = send(link->fd, bytes->data + *sent, bytes->len - *sent,
				 MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return errno == EAGAIN || errno == EWOULDBLOCK;
		*sent += (size_t)n;
	}
	return true;
}

/* Moves the output to @p bytes to write it without the lock; false if there is none or the link is
 * not open. LOCK_LINK is held. */
static bool detach_output(struct link *link, struct strbuf *bytes)
{
	if (link->state != LINK_OPEN || link->out.len == 0) {
		link->writing = false;
		return false;
	}
	*bytes = link->out;
	link->out = (struct strbuf){ 0 };
	link->detached += bytes->len;
	return true;
}

/* Puts unwritten bytes back in front of output queued in the meantime. LOCK_LINK is held. */
static void requeue_unsent(struct link *link, struct strbuf *bytes, size_t sent)
{
	strbuf_consume(bytes, sent);
	link->detached -= bytes->len;
	strbuf_add(bytes, strbuf_str(&link->out));
	strbuf_clear(&link->out);
	link->out = *bytes;
	*bytes = (struct strbuf){ 0 };
}

/* Returns whether parts of large answers may be added. LOCK_LINK is held. */
static bool has_room(const struct link *link)
{
	return link->state == LINK_CLOSED || link->out.len < OUTPUT_ROOM_BYTES;
}

/* Writes until the output is empty; true if the socket is full before that. The caller sets
 * link->writing, which stays set while the socket is full. */
static bool write_output(struct link *link)
{
	struct strbuf bytes = { 0 };
	bool ok = true;
	bool full = false;

	lock_acquire(&link->lock);
	while (ok && !full && detach_output(link, &bytes)) {
		size_t sent;

		lock_release(&link->lock);
		ok = send_available(link, &bytes, &sent);
		lock_acquire(&link->lock);
		full = sent < bytes.len;
		if (full)
			requeue_unsent(link, &bytes, sent);
		strbuf_clear(&bytes);
		if (has_room(link))
			apr_thread_cond_broadcast(link->drained);
	}
	lock_release(&link->lock);
	if (!ok)
		link_close(link);
	return ok && full;
}

/* Queues frames on a link that is not closed. Returns true if the caller is to write them; a worker
 * that is writing already sends them too. LOCK_LINK is held. */
static bool queue_frames(struct link *link, struct str frames)
{
	bool write_now = link->state == LINK_OPEN && !link->writing;

	strbuf_add(&link->out, frames);
	link->queued += frames.len;
	if (write_now)
		link->writing = true;
	return write_now;
}

void link_write(struct link *link, struct str frames)
{
	bool write_now;

	lock_acquire(&link->lock);
	write_now = link->state != LINK_CLOSED && queue_frames(link, frames);
	lock_release(&link->lock);
	if (write_now && write_output(link))
		arm_write(link);
}

static void put_request(struct strbuf *frames, uint64_t id, const struct request_head *head,
			const struct str *body, size_t *head_len)
{
	struct body_sum sum = { 0 };

	wire_put_request(frames, id, head);
	*head_len = frames->len;
	if (!body)
		return;
	wire_put_data(frames, id, &sum, *body);
	wire_put_end(frames, id, &sum);
}

void link_add_entry(struct link *link, uint64_t id, struct stream_owner *owner,
		    uint64_t request_end, struct body body)
{
	struct stream_entry *entry = g_new0(struct stream_entry, 1);

	entry->id = id;
	entry->owner = owner;
	entry->request_end = request_end;
	entry->body = body;
	g_hash_table_insert(link->streams, &entry->id, entry);
	link->used_at_us = clock_now().mono_us;
}

bool link_open(struct link *link, struct stream_owner *owner, const struct request_head *head,
	       const struct str *body, struct stream *stream)
{
	struct strbuf frames = { 0 };
	size_t head_len;
	uint64_t id;
	bool write_now = false;
	bool open;

	lock_acquire(&link->lock);
	id = link->next_stream++;
	lock_release(&link->lock);
	put_request(&frames, id, head, body, &head_len);
	lock_acquire(&link->lock);
	open = link->state != LINK_CLOSED;
	if (open) {
		g_atomic_int_inc(&owner->refs);
		link_add_entry(link, id, owner, link->queued + head_len,
			       body_of_answer(head->method));
		stream->id = id;
		g_atomic_pointer_set(&stream->link, link_ref(link));
		/* The silence of an idle link counts from its first new stream. */
		if (g_hash_table_size(link->streams) == 1)
			link->received_at_us = clock_now().mono_us;
		/* Other workers that see the stream may send on it from now on. */
		write_now = queue_frames(link, strbuf_str(&frames));
	}
	lock_release(&link->lock);
	if (write_now && write_output(link))
		arm_write(link);
	strbuf_clear(&frames);
	return open;
}

void link_writable(struct link *link)
{
	int error = 0;
	socklen_t len = sizeof(error);
	bool connecting;

	/* An idle watch may be removed, with its reference, before link_end_handling() returns. */
	link_ref(link);
	link_begin_handling(link, &link->write_state);
	lock_acquire(&link->lock);
	connecting = link->state == LINK_CONNECTING;
	lock_release(&link->lock);
	if (connecting)
		getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error) {
		link_close(link);
	} else if (connecting) {
		lock_acquire(&link->lock);
		if (link->state == LINK_CONNECTING)
			link->state = LINK_OPEN;
		link->writing = true;
		lock_release(&link->lock);
		start_reading(link);
	}
	link_end_handling(link, &link->write_watch, &link->write_state, write_output(link),
			  WATCH_WRITE);
	link_unref(link);
}

/* The request may have run if its full head was passed to the socket, or is being passed to it by
 * another worker now. */
static enum verdict lost_verdict(struct link *link, const struct stream_entry *entry)
{
	uint64_t detached;

	lock_acquire(&link->lock);
	detached = link->detached;
	lock_release(&link->lock);
	return detached >= entry->request_end ? VERDICT_MAY_HAVE_RUN : VERDICT_NOT_RUN;
}

void link_release_owner(struct link *link, struct stream_owner *owner)
{
	struct peer_event event = { .kind = PEER_RELEASED, .owner = owner };

	peers_deliver(link->peers, &event);
}

static void report_lost_streams(struct link *link, GHashTable *streams)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, streams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct stream_entry *entry = value;
		struct peer_event lost = { .kind = PEER_LOST, .owner = entry->owner };

		lost.verdict = lost_verdict(link, entry);
		peers_deliver(link->peers, &lost);
		link_release_owner(link, entry->owner);
	}
	g_hash_table_destroy(streams);
}

void link_close(struct link *link)
{
	GHashTable *streams = NULL;
	bool write_idle = false;

	lock_acquire(&link->lock);
	if (link->state != LINK_CLOSED) {
		link->state = LINK_CLOSED;
		apr_thread_cond_broadcast(link->drained);
		streams = link->streams;
		link->streams = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
		write_idle = link->write_state == WATCH_IDLE;
		if (write_idle)
			link->write_state = WATCH_UNREGISTERED;
	}
	lock_release(&link->lock);
	if (!streams)
		return;
	/* This makes armed watches fire, and their workers remove them. */
	shutdown(link->fd, SHUT_RDWR);
	report_lost_streams(link, streams);
	peers_remove_link(link->peers, link);
	if (write_idle)
		remove_watch(link, &link->write_watch);
}

struct stream_owner *link_take_entry(struct link *link, uint64_t id)
{
	const struct stream_entry *entry = g_hash_table_lookup(link->streams, &id);
	struct stream_owner *owner;

	if (!entry)
		return NULL;
	owner = entry->owner;
	g_hash_table_remove(link->streams, &id);
	link->used_at_us = clock_now().mono_us;
	return owner;
}

struct stream_owner *link_remove_entry(struct link *link, uint64_t id)
{
	struct stream_owner *owner;

	lock_acquire(&link->lock);
	owner = link_take_entry(link, id);
	lock_release(&link->lock);
	return owner;
}

void stream_close(struct stream stream)
{
	struct stream_owner *owner = link_remove_entry(stream.link, stream.id);

	if (owner)
		link_release_owner(stream.link, owner);
}

void stream_send(struct stream stream, struct strbuf *frames)
{
	link_write(stream.link, strbuf_str(frames));
	frames->len = 0;
}

bool stream_wait_room(struct stream stream, int64_t us)
{
	struct link *link = stream.link;
	bool room;

	lock_acquire(&link->lock);
	if (!has_room(link))
		lock_wait(&link->lock, link->drained, us);
	room = has_room(link);
	lock_release(&link->lock);
	return room;
}

void stream_cancel(struct stream stream)
{
	struct strbuf frame = { 0 };
	struct stream_owner *owner = link_remove_entry(stream.link, stream.id);

	if (!owner)
		return;
	wire_put(&frame, FRAME_CANCEL, stream.id, STR(""));
	link_write(stream.link, strbuf_str(&frame));
	strbuf_clear(&frame);
	link_release_owner(stream.link, owner);
}

void link_abandon(struct link *link)
{
	bool has_read_watch;
	bool has_write_watch;

	link_close(link);
	lock_acquire(&link->lock);
	has_read_watch = link->read_state != WATCH_UNREGISTERED;
	has_write_watch = link->write_state != WATCH_UNREGISTERED;
	link->read_state = WATCH_UNREGISTERED;
	link->write_state = WATCH_UNREGISTERED;
	lock_release(&link->lock);
	if (has_read_watch)
		link_unref(link);
	if (has_write_watch)
		link_unref(link);
}

/* Returns whether the peer has sent what no worker has read yet: this node is late, not the peer.
 */
static bool has_unread(const struct link *link)
{
	struct pollfd polled = { .fd = link->fd, .events = POLLIN };

	return poll(&polled, 1, 0) == 1 && polled.revents & POLLIN;
}

void link_tick(struct link *link, struct instant now)
{
	struct strbuf frame = { 0 };
	int64_t silent_us;
	int64_t unused_us;
	bool being_read;
	guint streams;

	lock_acquire(&link->lock);
	silent_us = now.mono_us - link->received_at_us;
	unused_us = now.mono_us - link->used_at_us;
	streams = g_hash_table_size(link->streams);
	being_read = link->read_state == WATCH_HANDLING;
	lock_release(&link->lock);
	if (streams && silent_us >= SILENT_US && !being_read && !has_unread(link)) {
		logger_event(LOG_EVENT_LINK_SILENT, "member=%lx streams=%u", link->peer, streams);
		link_close(link);
	} else if (streams && silent_us >= HEARTBEAT_US) {
		wire_put(&frame, FRAME_PING, 0, STR(""));
		link_write(link, strbuf_str(&frame));
		strbuf_clear(&frame);
	} else if (streams == 0 && unused_us >= IDLE_US &&
		   (link->outgoing || silent_us >= 3 * IDLE_US)) {
		link_close(link);
	}
}
