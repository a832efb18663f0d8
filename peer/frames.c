/*
 * Reads frames from a link and delivers them, in order, to the owners of their streams.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "base/logger.h"
#include "peer/link.h"

enum {
	READ_BYTES = 64 << 10,
	READS_MAX = 8,
	ADMITTED_MAX = 64, /* calls of one batch of frames */
};

/* Returns the owner of a stream with a reference; NULL if the stream is closed. */
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

static void deliver_and_release(struct link *link, struct peer_event *event)
{
	peers_deliver(link->peers, event);
	link_release_owner(link, event->owner);
}

/* Admitted calls of one batch of frames, which run after the link is rearmed. */
struct admitted_calls {
	struct stream_owner *owners[ADMITTED_MAX];
	int count;
};

static void refuse_call(struct link *link, uint64_t stream)
{
	struct refusal refusal = { REFUSAL_CLOSED, VERDICT_NOT_RUN, STR("the node takes no calls"),
				   0, false };
	struct strbuf frame = { 0 };

	wire_put_refusal(&frame, stream, &refusal);
	link_write(link, strbuf_str(&frame));
	strbuf_clear(&frame);
}

/* Runs an admitted call on another worker, or on this one if the pool's queue is full: the call has
 * a slot and may not be dropped. */
static void run_elsewhere(struct link *link, struct stream_owner *owner)
{
	struct peer_event event = { .kind = PEER_RUN, .owner = owner };

	if (!workers_post(peers_workers(link->peers), (struct work){ WORK_INBOUND, owner }))
		peers_deliver(link->peers, &event);
}

static bool is_open_stream(struct link *link, uint64_t id)
{
	bool open;

	lock_acquire(&link->lock);
	open = g_hash_table_contains(link->streams, &id);
	lock_release(&link->lock);
	return open;
}

static bool handle_request(struct link *link, const struct frame *frame,
			   struct admitted_calls *admitted)
{
	struct peer_event event = { .kind = PEER_REQUEST };
	struct request_head head = { 0 };
	struct decoded_head *storage = NULL;

	/* A sender never uses a stream's id again. */
	if (link->outgoing || is_open_stream(link, frame->stream) ||
	    !wire_get_request(frame->payload, &head, &storage))
		return false;
	event.request.link = link;
	event.request.stream = frame->stream;
	event.request.from = link->peer;
	event.request.head = &head;
	peers_deliver(link->peers, &event);
	decoded_head_free(storage);
	if (!event.request.owner) {
		refuse_call(link, frame->stream);
		return true;
	}
	event.owner = event.request.owner;
	lock_acquire(&link->lock);
	g_atomic_int_inc(&event.owner->refs);
	link_add_entry(link, frame->stream, event.owner, 0, body_of_request(head.body_length));
	lock_release(&link->lock);
	event.kind = PEER_ADMIT;
	event.wants_run = false;
	peers_deliver(link->peers, &event);
	if (event.wants_run && admitted->count < ADMITTED_MAX)
		admitted->owners[admitted->count++] = event.owner;
	else if (event.wants_run)
		run_elsewhere(link, event.owner);
	else
		link_release_owner(link, event.owner);
	return true;
}

/* Ends a stream whose body is broken. The other streams of the link are sound: a target that breaks
 * its answer must not cost them theirs. */
static void lose_stream(struct link *link, const struct frame *frame, struct stream_owner *owner)
{
	struct peer_event event = { .kind = PEER_LOST,
				    .owner = owner,
				    .verdict = VERDICT_MAY_HAVE_RUN };
	struct strbuf cancel = { 0 };

	logger_event(LOG_EVENT_FRAME_BAD, "member=%lx kind=%d stream=%lx", link->peer,
		     (int)frame->kind, frame->stream);
	wire_put(&cancel, FRAME_CANCEL, frame->stream, STR(""));
	link_write(link, strbuf_str(&cancel));
	strbuf_clear(&cancel);
	deliver_and_release(link, &event);
}

/* Takes a part of a body and delivers its event, unless the stream is closed. False if frames of
 * the link were lost or changed. */
static bool deliver_part(struct link *link, const struct frame *frame, const struct body_part *part,
			 struct peer_event *event)
{
	enum body_result result = BODY_TAKEN;
	struct stream_entry *entry;

	lock_acquire(&link->lock);
	entry = g_hash_table_lookup(link->streams, &frame->stream);
	if (entry) {
		event->owner = entry->owner;
		result = body_take(&entry->body, part);
		/* The stream ends with the drop, so that nothing more is queued behind the gap. */
		if (part->kind == PART_REFUSAL)
			schedule_drop(&link->schedule, frame->stream);
		if (part->kind == PART_REFUSAL || result == BODY_BROKEN)
			link_take_entry(link, frame->stream);
		else
			g_atomic_int_inc(&event->owner->refs);
	}
	lock_release(&link->lock);
	if (!event->owner)
		return true;
	switch (result) {
	case BODY_TAKEN:
		deliver_and_release(link, event);
		return true;
	case BODY_BROKEN:
		lose_stream(link, frame, event->owner);
		return true;
	case BODY_CORRUPT:
		link_release_owner(link, event->owner);
		return false;
	}
	g_assert_not_reached();
}

static bool handle_response(struct link *link, const struct frame *frame)
{
	struct peer_event event = { .kind = PEER_RESPONSE };
	struct response_head head = { 0 };
	struct body_part part = { .kind = PART_HEAD, .head = &head };
	struct decoded_head *storage = NULL;
	bool valid;

	if (!wire_get_response(frame->payload, &head, &storage))
		return false;
	event.response = &head;
	valid = deliver_part(link, frame, &part, &event);
	decoded_head_free(storage);
	return valid;
}

/* Drops the rest of a body that the other side does not read any more. */
static void drop_bulk(struct link *link, uint64_t stream)
{
	lock_acquire(&link->lock);
	schedule_drop(&link->schedule, stream);
	lock_release(&link->lock);
}

static bool handle_refusal(struct link *link, const struct frame *frame)
{
	struct peer_event event = { .kind = PEER_REFUSED };
	struct body_part part = { .kind = PART_REFUSAL };
	struct refusal refusal = { 0 };
	struct decoded_head *storage = NULL;
	bool valid;

	if (!wire_get_refusal(frame->payload, &refusal, &storage))
		return false;
	event.refusal = &refusal;
	valid = deliver_part(link, frame, &part, &event);
	decoded_head_free(storage);
	return valid;
}

static void note_bulk(struct link *link)
{
	lock_acquire(&link->lock);
	link->moved_at_us = link->received_at_us;
	lock_release(&link->lock);
}

static bool handle_data(struct link *link, const struct frame *frame)
{
	struct peer_event event = { .kind = PEER_DATA };
	struct body_part part = { .kind = PART_DATA };

	part.data.bytes = frame->payload;
	if (!wire_read_u64(&part.data.bytes, &part.data.offset))
		return false;
	event.bytes = part.data.bytes;
	if (part.data.offset + event.bytes.len > SMALL_DATA_BYTES)
		note_bulk(link);
	return deliver_part(link, frame, &part, &event);
}

static bool handle_end(struct link *link, const struct frame *frame)
{
	struct peer_event event = { .kind = PEER_END };
	struct body_part part = { .kind = PART_END };
	struct str payload = frame->payload;

	return wire_read_u64(&payload, &part.end.length) &&
	       wire_read_u64(&payload, &part.end.checksum) &&
	       deliver_part(link, frame, &part, &event);
}

static bool handle_window(struct link *link, const struct frame *frame)
{
	struct peer_event event = { .kind = PEER_WINDOW };
	struct str payload = frame->payload;

	if (!wire_read_u64(&payload, &event.consumed))
		return false;
	event.owner = find_owner(link, frame->stream);
	if (event.owner)
		deliver_and_release(link, &event);
	return true;
}

static void handle_cancel(struct link *link, const struct frame *frame)
{
	struct peer_event event = { .kind = PEER_LOST, .verdict = VERDICT_MAY_HAVE_RUN };

	drop_bulk(link, frame->stream);
	event.owner = link_remove_entry(link, frame->stream);
	if (event.owner)
		deliver_and_release(link, &event);
}

static bool handle_hello(struct link *link, const struct frame *frame)
{
	struct sockaddr_in address = { 0 };
	socklen_t len = sizeof(address);

	getpeername(link->fd, (struct sockaddr *)&address, &len);
	/* A node may announce its own address only, and must be of the same fleet. */
	if (link->outgoing || member_ipv4(frame->stream) != ntohl(address.sin_addr.s_addr) ||
	    frame->fleet != peers_fleet_tag(link->peers))
		return false;
	link->peer = frame->stream;
	return true;
}

static void send_pong(struct link *link)
{
	struct strbuf payload = { 0 };
	struct strbuf frame = { 0 };

	wire_put_u64(&payload, FEATURE_GRANTS_BODIES);
	wire_put(&frame, FRAME_PONG, 0, strbuf_str(&payload));
	link_write(link, strbuf_str(&frame));
	strbuf_clear(&payload);
	strbuf_clear(&frame);
}

/* Returns the owners of the streams whose bodies wait, each with a reference. LOCK_LINK is held. */
static GPtrArray *waiting_owners(const struct link *link)
{
	GPtrArray *owners = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, link->streams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct stream_entry *entry = value;

		if (!entry->body_waits)
			continue;
		entry->body_waits = false;
		g_atomic_int_inc(&entry->owner->refs);
		g_ptr_array_add(owners, entry->owner);
	}
	return owners;
}

/* Lets the bodies go that waited for the answer of a peer which turns out not to grant them. */
static void send_waiting_bodies(struct link *link)
{
	GPtrArray *owners;

	lock_acquire(&link->lock);
	owners = waiting_owners(link);
	lock_release(&link->lock);
	for (guint i = 0; i < owners->len; i++) {
		struct peer_event event = { .kind = PEER_WINDOW, .consumed = STREAM_WINDOW };

		event.owner = g_ptr_array_index(owners, i);
		deliver_and_release(link, &event);
	}
	g_ptr_array_unref(owners);
}

/* Nodes of earlier builds answer without features. */
static void handle_pong(struct link *link, const struct frame *frame)
{
	struct str payload = frame->payload;
	uint64_t features = 0;

	wire_read_u64(&payload, &features);
	lock_acquire(&link->lock);
	link->peer_features = features;
	link->features_known = true;
	lock_release(&link->lock);
	if (!(features & FEATURE_GRANTS_BODIES))
		send_waiting_bodies(link);
}

static bool handle_frame(struct link *link, const struct frame *frame,
			 struct admitted_calls *admitted)
{
	if (!link->outgoing && link->peer == 0 && frame->kind != FRAME_HELLO)
		return false;
	switch (frame->kind) {
	case FRAME_HELLO:
		return handle_hello(link, frame);
	case FRAME_MESSAGE:
		return peers_receive_message(link->peers, link->peer, frame->payload);
	case FRAME_REQUEST:
		return handle_request(link, frame, admitted);
	case FRAME_RESPONSE:
		return handle_response(link, frame);
	case FRAME_REFUSED:
		return handle_refusal(link, frame);
	case FRAME_DATA:
		return handle_data(link, frame);
	case FRAME_END:
		return handle_end(link, frame);
	case FRAME_CANCEL:
		handle_cancel(link, frame);
		return true;
	case FRAME_WINDOW:
		return handle_window(link, frame);
	case FRAME_PING:
		send_pong(link);
		return true;
	case FRAME_PONG:
		handle_pong(link, frame);
		return true;
	case FRAME_KINDS:
		break;
	}
	return false;
}

/* Handles the complete frames in the input buffer; false if one is invalid. */
static bool handle_frames(struct link *link, struct admitted_calls *admitted)
{
	struct str remaining = strbuf_str(&link->in);
	enum wire_result result;
	struct frame frame;
	size_t used;

	while ((result = wire_read_frame(remaining, &frame, &used)) == WIRE_FRAME) {
		if (!handle_frame(link, &frame, admitted)) {
			result = WIRE_INVALID;
			break;
		}
		remaining = str_sub(remaining, used, remaining.len);
	}
	strbuf_consume(&link->in, link->in.len - remaining.len);
	if (result == WIRE_INVALID)
		logger_event(LOG_EVENT_FRAME_BAD, "member=%lx kind=%d", link->peer,
			     (int)frame.kind);
	return result != WIRE_INVALID;
}

/* Reads the available bytes, at most READS_MAX buffers; false at the end or on an error. */
static bool receive(struct link *link)
{
	for (int i = 0; i < READS_MAX; i++) {
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
		peers_count_received(link->peers, (size_t)n, clock_now());
		if (n < READ_BYTES)
			return true;
	}
	return true;
}

static void run_admitted(struct link *link, const struct admitted_calls *admitted)
{
	struct peer_event event = { .kind = PEER_RUN };

	for (int i = 1; i < admitted->count; i++)
		run_elsewhere(link, admitted->owners[i]);
	if (admitted->count == 0)
		return;
	event.owner = admitted->owners[0];
	peers_deliver(link->peers, &event);
}

void link_read(struct link *link)
{
	struct admitted_calls admitted = { .count = 0 };
	bool ok;

	link_begin_handling(link, &link->read_state);
	ok = receive(link);
	lock_acquire(&link->lock);
	link->received_at_us = clock_now().mono_us;
	link->late = false;
	lock_release(&link->lock);
	ok = handle_frames(link, &admitted) && ok;
	if (!ok)
		link_close(link);
	/* The first call runs on this worker, which saves a hand-off. */
	link_ref(link);
	link_end_handling(link, &link->read_watch, &link->read_state, true, WATCH_READ);
	run_admitted(link, &admitted);
	link_unref(link);
}
