/*
 * What comes in on a link: frames, in order, each to the owner of its stream.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "base/logger.h"
#include "peer/link.h"

enum {
	READ_BYTES = 64 << 10,
	READS_AT_ONCE = 8,
	RUNS_AT_ONCE = 64, /* calls taken from one batch of frames */
};

/* The owner of a stream with a reference, and whether the bytes fit; NULL if it is closed. */
static struct stream_owner *find_owner(struct link *link, uint64_t id)
{
	struct stream_owner *owner = NULL;
	const struct stream_entry *entry;

	lock_acquire(&link->lock);
	entry = g_hash_table_lookup(link->streams, &id);
	if (entry) {
		owner = entry->owner;
		g_atomic_int_inc(&owner->refs);
	}
	lock_release(&link->lock);
	return owner;
}

static void deliver(struct link *link, struct peer_event *event)
{
	peers_deliver(link->peers, event);
	link_release_owner(link, event->owner);
}

/* Calls taken from one batch of frames, to be run when the link is armed again. */
struct runs {
	struct stream_owner *owners[RUNS_AT_ONCE];
	int count;
};

static void refuse_unread(struct link *link, uint64_t stream)
{
	struct refusal refusal = { REFUSAL_CLOSED, VERDICT_NOT_RUN, STR("the node takes no calls"),
				   0, false };
	struct strbuf frame = { 0 };

	wire_put_refusal(&frame, stream, &refusal);
	link_write(link, strbuf_str(&frame));
	strbuf_clear(&frame);
}

static bool take_request(struct link *link, const struct frame *frame, struct runs *runs)
{
	struct peer_event event = { .kind = PEER_REQUEST };
	struct request_head head = { 0 };
	struct decoded *keep = NULL;

	if (link->outgoing || !wire_get_request(frame->payload, &head, &keep))
		return false;
	event.request.link = link;
	event.request.stream = frame->stream;
	event.request.from = link->peer;
	event.request.head = &head;
	peers_deliver(link->peers, &event);
	decoded_free(keep);
	if (!event.request.owner) {
		refuse_unread(link, frame->stream);
		return true;
	}
	event.owner = event.request.owner;
	lock_acquire(&link->lock);
	g_atomic_int_inc(&event.owner->refs);
	link_add_entry(link, frame->stream, event.owner, 0);
	lock_release(&link->lock);
	event.kind = PEER_ADMIT;
	event.run = false;
	peers_deliver(link->peers, &event);
	if (event.run && runs->count < RUNS_AT_ONCE)
		runs->owners[runs->count++] = event.owner;
	else if (event.run)
		workers_post(peers_workers(link->peers), (struct work){ WORK_SERVE, event.owner });
	else
		link_release_owner(link, event.owner);
	return true;
}

static bool take_response(struct link *link, const struct frame *frame)
{
	struct peer_event event = { .kind = PEER_RESPONSE };
	struct response_head head = { 0 };
	struct decoded *keep = NULL;

	if (!wire_get_response(frame->payload, &head, &keep))
		return false;
	event.owner = find_owner(link, frame->stream);
	event.response = &head;
	if (event.owner)
		deliver(link, &event);
	decoded_free(keep);
	return true;
}

static bool take_refusal(struct link *link, const struct frame *frame)
{
	struct peer_event event = { .kind = PEER_REFUSED };
	struct refusal refusal = { 0 };
	struct decoded *keep = NULL;

	if (!wire_get_refusal(frame->payload, &refusal, &keep))
		return false;
	event.owner = link_take_owner(link, frame->stream);
	event.refusal = &refusal;
	if (event.owner)
		deliver(link, &event);
	decoded_free(keep);
	return true;
}

/* Counts bytes of a body; false if they do not follow what came before. */
static bool count_data(struct link *link, uint64_t id, uint64_t offset, struct str bytes)
{
	struct stream_entry *entry;
	bool fits = true;

	lock_acquire(&link->lock);
	entry = g_hash_table_lookup(link->streams, &id);
	if (entry) {
		fits = entry->received.length == offset;
		body_sum_add(&entry->received, bytes);
	}
	lock_release(&link->lock);
	return fits;
}

static bool take_data(struct link *link, const struct frame *frame)
{
	struct peer_event event = { .kind = PEER_DATA };
	struct str bytes = frame->payload;
	uint64_t offset;

	if (!wire_take_u64(&bytes, &offset) || !count_data(link, frame->stream, offset, bytes))
		return false;
	event.owner = find_owner(link, frame->stream);
	event.bytes = bytes;
	if (event.owner)
		deliver(link, &event);
	return true;
}

static bool sum_matches(struct link *link, uint64_t id, const struct body_sum *sum)
{
	const struct stream_entry *entry;
	bool matches = true;

	lock_acquire(&link->lock);
	entry = g_hash_table_lookup(link->streams, &id);
	if (entry)
		matches = entry->received.length == sum->length &&
			  entry->received.checksum == sum->checksum;
	lock_release(&link->lock);
	return matches;
}

static bool take_end(struct link *link, const struct frame *frame)
{
	struct peer_event event = { .kind = PEER_END };
	struct str payload = frame->payload;
	struct body_sum sum;

	if (!wire_take_u64(&payload, &sum.length) || !wire_take_u64(&payload, &sum.checksum) ||
	    !sum_matches(link, frame->stream, &sum))
		return false;
	event.owner = find_owner(link, frame->stream);
	if (event.owner)
		deliver(link, &event);
	return true;
}

static bool take_window(struct link *link, const struct frame *frame)
{
	struct peer_event event = { .kind = PEER_WINDOW };
	struct str payload = frame->payload;

	if (!wire_take_u64(&payload, &event.taken))
		return false;
	event.owner = find_owner(link, frame->stream);
	if (event.owner)
		deliver(link, &event);
	return true;
}

static void take_cancel(struct link *link, const struct frame *frame)
{
	struct peer_event event = { .kind = PEER_LOST, .verdict = VERDICT_MAY_HAVE_RUN };

	event.owner = link_take_owner(link, frame->stream);
	if (event.owner)
		deliver(link, &event);
}

static bool take_hello(struct link *link, const struct frame *frame)
{
	struct sockaddr_in address = { 0 };
	socklen_t len = sizeof(address);

	getpeername(link->fd, (struct sockaddr *)&address, &len);
	/* A node speaks for its own address only, and to its own fleet. */
	if (link->outgoing || member_ipv4(frame->stream) != ntohl(address.sin_addr.s_addr) ||
	    frame->fleet != peers_fleet(link->peers))
		return false;
	link->peer = frame->stream;
	return true;
}

static void answer_ping(struct link *link)
{
	struct strbuf frame = { 0 };

	wire_put(&frame, FRAME_PONG, 0, STR(""));
	link_write(link, strbuf_str(&frame));
	strbuf_clear(&frame);
}

static bool take_frame(struct link *link, const struct frame *frame, struct runs *runs)
{
	if (!link->outgoing && link->peer == 0 && frame->kind != FRAME_HELLO)
		return false;
	switch (frame->kind) {
	case FRAME_HELLO:
		return take_hello(link, frame);
	case FRAME_MESSAGE:
		return peers_take_message(link->peers, link->peer, frame->payload);
	case FRAME_REQUEST:
		return take_request(link, frame, runs);
	case FRAME_RESPONSE:
		return take_response(link, frame);
	case FRAME_REFUSED:
		return take_refusal(link, frame);
	case FRAME_DATA:
		return take_data(link, frame);
	case FRAME_END:
		return take_end(link, frame);
	case FRAME_CANCEL:
		take_cancel(link, frame);
		return true;
	case FRAME_WINDOW:
		return take_window(link, frame);
	case FRAME_PING:
		answer_ping(link);
		return true;
	case FRAME_PONG:
		return true;
	case FRAME_KINDS:
		break;
	}
	return false;
}

/* Handles the whole frames that have come; false if one is bad. */
static bool take_frames(struct link *link, struct runs *runs)
{
	struct str left = strbuf_str(&link->in);
	enum wire_result result;
	struct frame frame;
	size_t used;

	while ((result = wire_take(left, &frame, &used)) == WIRE_FRAME) {
		if (!take_frame(link, &frame, runs)) {
			result = WIRE_BAD;
			break;
		}
		left = str_sub(left, used, left.len);
	}
	strbuf_consume(&link->in, link->in.len - left.len);
	if (result == WIRE_BAD)
		logger_event(NOTE_FRAME_BAD, "member=%lx kind=%d", link->peer, (int)frame.kind);
	return result != WIRE_BAD;
}

/* Reads what the socket holds, up to a bound; false at its end. */
static bool receive(struct link *link)
{
	for (int i = 0; i < READS_AT_ONCE; i++) {
		ssize_t n;

		strbuf_reserve(&link->in, READ_BYTES);
		n = recv(link->fd, link->in.data + link->in.len, READ_BYTES, MSG_DONTWAIT);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return errno == EAGAIN || errno == EWOULDBLOCK;
		if (n == 0)
			return false;
		link->in.len += (size_t)n;
		if (n < READ_BYTES)
			return true;
	}
	return true;
}

static void run_taken(struct link *link, const struct runs *runs)
{
	struct peer_event event = { .kind = PEER_RUN };

	for (int i = 1; i < runs->count; i++)
		workers_post(peers_workers(link->peers),
			     (struct work){ WORK_SERVE, runs->owners[i] });
	if (runs->count == 0)
		return;
	event.owner = runs->owners[0];
	peers_deliver(link->peers, &event);
}

void link_read(struct link *link)
{
	struct runs runs = { .count = 0 };
	bool good;

	link_begin_handling(link, &link->reading);
	good = receive(link);
	lock_acquire(&link->lock);
	link->received_at_us = clock_now().mono_us;
	lock_release(&link->lock);
	good = take_frames(link, &runs) && good;
	if (!good)
		link_close(link);
	/* The first call runs on this worker: one hand-off less. */
	link_ref(link);
	link_end_handling(link, &link->read_watch, &link->reading, true, WATCH_READ);
	run_taken(link, &runs);
	link_unref(link);
}
