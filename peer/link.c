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
/* Bytes of a large body that moved this recently may still fill the network: 12 windows of streams
 * take 1.3 s of a link of 10 Mbit/s. Heartbeats behind them are late, and not lost. Bytes of other
 * connections that fill the VM's line have the same effect. */
#define IN_TRANSIT_US	     US_PER_S
#define SILENT_IN_TRANSIT_US (2 * US_PER_S)
#define IDLE_US		     (60 * US_PER_S)

/* Bytes that the kernel holds unsent: 26 ms of a link of 10 Mbit/s, 1.3 ms of one of 200. */
enum { UNSENT_MAX_BYTES = 32 << 10 };

/* Output beyond which no part of a large answer is added: two windows. */
enum { OUTPUT_ROOM_BYTES = 2 * STREAM_WINDOW };

struct link *link_new(struct peers *peers, int fd, bool outgoing, enum link_state state)
{
	struct link *link = g_new0(struct link, 1);
	int enable = 1;
	int unsent_max = UNSENT_MAX_BYTES;

	link->refs = 1;
	link->peers = peers;
	link->outgoing = outgoing;
	link->state = state;
	link->fd = fd;
	link->write_fd = dup(fd);
	link->read_watch = (struct watch){ fd, { WORK_LINK_READ, link } };
	link->write_watch = (struct watch){ link->write_fd, { WORK_LINK_WRITE, link } };
	link->streams = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	schedule_init(&link->schedule);
	link->next_stream = 1;
	link->received_at_us = clock_now().mono_us;
	link->used_at_us = link->received_at_us;
	link->moved_at_us = -IN_TRANSIT_US;
	apr_pool_create(&link->pool, NULL);
	lock_init(&link->lock, LOCK_LINK, link->pool);
	apr_thread_cond_create(&link->drained, link->pool);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
	/* Bytes in the kernel's buffer keep their order, so that a heartbeat would wait behind
	 * them. Sockets that are no TCP connections lack the option, which is no error. */
	setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsent_max, sizeof(unsent_max));
	return link;
}

struct link *link_connect(struct peers *peers, uint64_t to, struct instant now)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(member_port(to)),
				       .sin_addr.s_addr = htonl(member_ipv4(to)) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct strbuf hello = { 0 };
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
	wire_put_tagged(&hello, FRAME_HELLO, peers_self(peers), peers_fleet_tag(peers), STR(""));
	/* The answer says what the peer can do. */
	wire_put(&hello, FRAME_PING, 0, STR(""));
	schedule_add(&link->schedule, strbuf_str(&hello), false);
	strbuf_clear(&hello);
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
	if (state == &link->write_state) {
		rearm |= link->write_blocked;
		link->write_blocked = false;
	}
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
	/* The worker that handles an event arms the watch at its end. */
	if (previous == WATCH_HANDLING)
		link->write_blocked = true;
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

/* Takes what is to be written next, without the lock; false if there is nothing or the link is not
 * open. LOCK_LINK is held. */
static bool take_output(struct link *link, struct piece *piece)
{
	link->writing = link->state == LINK_OPEN && schedule_take(&link->schedule, piece);
	return link->writing;
}

/* Notes what the socket has accepted of a piece. LOCK_LINK is held. */
static void note_sent(struct link *link, struct piece *piece, size_t sent)
{
	/* A heartbeat that the socket takes at once proves nothing about the peer. */
	if (sent && (piece->kind == PIECE_BULK || sent < piece->bytes.len))
		link->moved_at_us = clock_now().mono_us;
	if (sent < piece->bytes.len)
		schedule_put_back(&link->schedule, piece, sent);
}

/* Returns whether parts of large answers may be added. LOCK_LINK is held. */
static bool has_room(const struct link *link)
{
	return link->state == LINK_CLOSED || schedule_bytes(&link->schedule) < OUTPUT_ROOM_BYTES;
}

/* Writes until the output is empty; true if the socket is full before that. The caller sets
 * link->writing, which stays set while the socket is full. */
static bool write_output(struct link *link)
{
	struct piece piece;
	bool ok = true;
	bool full = false;

	lock_acquire(&link->lock);
	while (ok && !full && take_output(link, &piece)) {
		size_t sent;

		lock_release(&link->lock);
		ok = send_available(link, &piece.bytes, &sent);
		lock_acquire(&link->lock);
		full = sent < piece.bytes.len;
		note_sent(link, &piece, sent);
		strbuf_clear(&piece.bytes);
		if (has_room(link))
			apr_thread_cond_broadcast(link->drained);
	}
	lock_release(&link->lock);
	if (!ok)
		link_close(link);
	return ok && full;
}

/* Queues frames of one stream, or of none, on a link that is not closed. Parts of a body are
 * dropped if the stream has ended on this side. Returns true if the caller is to write them; a
 * worker that is writing already sends them too. LOCK_LINK is held. */
static bool queue_frames(struct link *link, struct str frames)
{
	bool write_now = link->state == LINK_OPEN && !link->writing;
	struct stream_entry *entry = NULL;
	bool has_body;
	struct frame first;
	size_t used;

	if (wire_read_frame(frames, &first, &used) == WIRE_FRAME)
		entry = g_hash_table_lookup(link->streams, &first.stream);
	has_body = schedule_add(&link->schedule, frames, entry != NULL);
	if (entry)
		entry->body_begun |= has_body;
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

struct stream_entry *link_add_entry(struct link *link, uint64_t id, struct stream_owner *owner,
				    uint64_t request_end, struct body body)
{
	struct stream_entry *entry = g_new0(struct stream_entry, 1);

	entry->id = id;
	entry->owner = owner;
	entry->request_end = request_end;
	entry->body = body;
	g_hash_table_insert(link->streams, &entry->id, entry);
	link->used_at_us = clock_now().mono_us;
	return entry;
}

/* Returns whether a body is to wait. Before the peer has said what it can do, bodies that do not
 * wait would fill the line of a node that has just started: all links to it are new. LOCK_LINK is
 * held. */
static bool may_grant_bodies(const struct link *link)
{
	return !link->features_known || link->peer_features & FEATURE_GRANTS_BODIES;
}

bool link_open(struct link *link, struct stream_owner *owner, struct request_head *head,
	       const struct str *body, struct stream *stream)
{
	struct strbuf frames = { 0 };
	struct stream_entry *entry;
	size_t head_len;
	uint64_t id;
	bool write_now = false;
	bool open;

	lock_acquire(&link->lock);
	id = link->next_stream++;
	head->body_waits = head->body_waits && may_grant_bodies(link);
	lock_release(&link->lock);
	put_request(&frames, id, head, head->body_waits ? NULL : body, &head_len);
	lock_acquire(&link->lock);
	open = link->state != LINK_CLOSED;
	if (open) {
		g_atomic_int_inc(&owner->refs);
		entry = link_add_entry(link, id, owner, link->schedule.queued + head_len,
				       body_of_answer(head->method));
		entry->body_waits = head->body_waits;
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

/* Returns whether the peer holds the request back until a part of its body comes, and none was
 * queued. An older peer passes on the head alone. LOCK_LINK is held. */
static bool is_held_back(const struct link *link, const struct stream_entry *entry)
{
	return entry->body_waits && !entry->body_begun &&
	       link->peer_features & FEATURE_GRANTS_BODIES;
}

/* The request may have run if its full head was passed to the socket, or is being passed to it by
 * another worker now, unless the peer held it back. */
static enum verdict lost_verdict(struct link *link, const struct stream_entry *entry)
{
	bool may_have_run;

	lock_acquire(&link->lock);
	may_have_run = link->schedule.taken >= entry->request_end && !is_held_back(link, entry);
	lock_release(&link->lock);
	return may_have_run ? VERDICT_MAY_HAVE_RUN : VERDICT_NOT_RUN;
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
	struct link *link = stream.link;
	struct stream_owner *owner;

	lock_acquire(&link->lock);
	owner = link_take_entry(link, stream.id);
	/* The other node has no use for the rest of an upload that it has answered; an answer's
	 * end, on an accepted link, is still to be sent. */
	if (link->outgoing)
		schedule_drop(&link->schedule, stream.id);
	lock_release(&link->lock);
	if (owner)
		link_release_owner(link, owner);
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

enum verdict stream_cancel(struct stream stream)
{
	enum verdict verdict = VERDICT_MAY_HAVE_RUN;
	struct link *link = stream.link;
	const struct stream_entry *entry;
	struct strbuf frame = { 0 };
	struct stream_owner *owner;

	lock_acquire(&link->lock);
	entry = g_hash_table_lookup(link->streams, &stream.id);
	/* Parts of the body that are queued from now on are dropped. */
	if (entry && is_held_back(link, entry))
		verdict = VERDICT_NOT_RUN;
	owner = link_take_entry(link, stream.id);
	lock_release(&link->lock);
	if (!owner)
		return VERDICT_MAY_HAVE_RUN;
	wire_put(&frame, FRAME_CANCEL, stream.id, STR(""));
	link_write(link, strbuf_str(&frame));
	strbuf_clear(&frame);
	link_release_owner(link, owner);
	return verdict;
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

/* What link_tick() decides on, read together. */
struct link_times {
	int64_t silent_us;
	int64_t unused_us;
	bool in_transit; /* a large body moved a moment ago */
	bool line_full;	 /* bytes of other connections delay those of this one */
	bool being_read;
	guint streams;
	size_t unsent;
};

static struct link_times read_times(struct link *link, struct instant now)
{
	struct link_times times = { .line_full = peers_line_is_full(link->peers, now) };

	lock_acquire(&link->lock);
	times.silent_us = now.mono_us - link->received_at_us;
	times.unused_us = now.mono_us - link->used_at_us;
	times.in_transit = now.mono_us - link->moved_at_us < IN_TRANSIT_US;
	times.being_read = link->read_state == WATCH_HANDLING;
	times.streams = g_hash_table_size(link->streams);
	times.unsent = schedule_bytes(&link->schedule);
	lock_release(&link->lock);
	return times;
}

static void send_ping(struct link *link)
{
	struct strbuf frame = { 0 };

	wire_put(&frame, FRAME_PING, 0, STR(""));
	link_write(link, strbuf_str(&frame));
	strbuf_clear(&frame);
}

static void log_silence(const struct link *link, enum log_event event,
			const struct link_times *times)
{
	int64_t silent_ms = times->silent_us / US_PER_MS;

	logger_event(event, "member=%lx streams=%u silent_ms=%ld unsent=%zu line_full=%d",
		     link->peer, times->streams, silent_ms, times->unsent, times->line_full);
}

static void close_silent(struct link *link, const struct link_times *times)
{
	log_silence(link, LOG_EVENT_LINK_SILENT, times);
	peers_count(link->peers, STR("godwithitch_links_silent_total"));
	link_close(link);
}

/* Reports once that the link is kept beyond SILENT_US, until bytes arrive again. */
static void note_late(struct link *link, const struct link_times *times)
{
	bool first;

	lock_acquire(&link->lock);
	first = !link->late;
	link->late = true;
	lock_release(&link->lock);
	if (!first)
		return;
	log_silence(link, LOG_EVENT_LINK_LATE, times);
	peers_count(link->peers, STR("godwithitch_links_late_total"));
}

static void check_silence(struct link *link, const struct link_times *times)
{
	bool silent = times->silent_us >= SILENT_US && !times->being_read && !has_unread(link);
	bool delayed = times->in_transit || times->line_full;
	int64_t limit_us = delayed ? SILENT_IN_TRANSIT_US : SILENT_US;

	if (silent && times->silent_us >= limit_us) {
		close_silent(link, times);
		return;
	}
	if (silent)
		note_late(link, times);
	if (times->silent_us >= HEARTBEAT_US)
		send_ping(link);
}

void link_tick(struct link *link, struct instant now)
{
	struct link_times times = read_times(link, now);

	if (times.streams)
		check_silence(link, &times);
	else if (times.unused_us >= IDLE_US && (link->outgoing || times.silent_us >= 3 * IDLE_US))
		link_close(link);
}
