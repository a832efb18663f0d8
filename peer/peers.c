#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/logger.h"
#include "peer/codec.h"
#include "peer/link.h"

#define REUSE_IDLE_US (10 * US_PER_S)

enum {
	LISTEN_BACKLOG = 512,
	DATAGRAMS_MAX = 32,
	DATAGRAM_BUFFER = 64 << 10,
	ACCEPTS_MAX = 16,
	PORT_TRIES = 32,
};

struct peers {
	struct peers_options options;
	apr_pool_t *pool;
	int listen_fd;
	int datagram_fd;
	struct watch listen_watch;
	struct watch datagram_watch;
	struct lock lock;    /* LOCK_LINKS */
	GHashTable *by_peer; /* member id -> struct link opened by this node */
	GPtrArray *all;	     /* struct link, one reference each */
};

static int bind_socket(int type, uint64_t self)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(member_port(self)),
				       .sin_addr.s_addr = htonl(member_ipv4(self)) };
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int enable = 1;

	if (fd < 0)
		return -1;
	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

static uint16_t bound_port(int fd)
{
	struct sockaddr_in address = { 0 };
	socklen_t len = sizeof(address);

	getsockname(fd, (struct sockaddr *)&address, &len);
	return ntohs(address.sin_port);
}

/* Both sockets use one port. A port that the kernel chose for TCP may be in use for UDP. */
static bool bind_sockets(struct peers *peers)
{
	uint32_t ipv4 = member_ipv4(peers->options.self);
	int tries = member_port(peers->options.self) ? 1 : PORT_TRIES;

	for (; tries > 0; tries--) {
		uint16_t port;

		peers->listen_fd = bind_socket(SOCK_STREAM, peers->options.self);
		if (peers->listen_fd < 0)
			return false;
		port = bound_port(peers->listen_fd);
		peers->datagram_fd = bind_socket(SOCK_DGRAM, member_id(ipv4, port));
		if (peers->datagram_fd >= 0) {
			peers->options.self = member_id(ipv4, port);
			return true;
		}
		close(peers->listen_fd);
		peers->listen_fd = -1;
	}
	return false;
}

static bool open_sockets(struct peers *peers, GError **error)
{
	if (bind_sockets(peers) && listen(peers->listen_fd, LISTEN_BACKLOG) == 0)
		return true;
	g_set_error(error, G_FILE_ERROR, g_file_error_from_errno(errno),
		    "cannot listen on the address for other nodes: %s", g_strerror(errno));
	return false;
}

struct peers *peers_new(const struct peers_options *options, apr_pool_t *pool, GError **error)
{
	struct peers *peers = g_new0(struct peers, 1);

	peers->options = *options;
	peers->listen_fd = -1;
	peers->datagram_fd = -1;
	apr_pool_create(&peers->pool, pool);
	lock_init(&peers->lock, LOCK_LINKS, peers->pool);
	peers->by_peer = g_hash_table_new(g_int64_hash, g_int64_equal);
	peers->all = g_ptr_array_new();
	if (open_sockets(peers, error))
		return peers;
	peers_free(peers);
	return NULL;
}

/* Returns all links, each with a reference. */
static GPtrArray *ref_all_links(struct peers *peers)
{
	GPtrArray *links = g_ptr_array_new_with_free_func((GDestroyNotify)link_unref);

	lock_acquire(&peers->lock);
	for (guint i = 0; i < peers->all->len; i++)
		g_ptr_array_add(links, link_ref(g_ptr_array_index(peers->all, i)));
	lock_release(&peers->lock);
	return links;
}

void peers_free(struct peers *peers)
{
	GPtrArray *links;

	if (!peers)
		return;
	links = ref_all_links(peers);
	for (guint i = 0; i < links->len; i++)
		link_abandon(g_ptr_array_index(links, i));
	g_ptr_array_unref(links);
	if (peers->listen_fd >= 0)
		close(peers->listen_fd);
	if (peers->datagram_fd >= 0)
		close(peers->datagram_fd);
	g_hash_table_destroy(peers->by_peer);
	g_ptr_array_unref(peers->all);
	apr_pool_destroy(peers->pool);
	g_free(peers);
}

void peers_start(struct peers *peers)
{
	peers->listen_watch = (struct watch){ peers->listen_fd, { WORK_PEER_LISTEN, peers } };
	peers->datagram_watch = (struct watch){ peers->datagram_fd, { WORK_PEER_DATAGRAM, peers } };
	workers_watch(peers->options.workers, &peers->listen_watch, WATCH_READ);
	workers_watch(peers->options.workers, &peers->datagram_watch, WATCH_READ);
}

struct workers *peers_workers(struct peers *peers)
{
	return peers->options.workers;
}

uint64_t peers_fleet_tag(const struct peers *peers)
{
	return peers->options.fleet;
}

void peers_count(struct peers *peers, struct str name)
{
	if (peers->options.metrics)
		metrics_add(peers->options.metrics, name, STR(""), 1);
}

void peers_count_received(struct peers *peers, size_t bytes, struct instant now)
{
	if (peers->options.line)
		line_count(peers->options.line, bytes, now);
}

bool peers_line_is_full(struct peers *peers, struct instant now)
{
	return peers->options.line && line_is_full(peers->options.line, now);
}

uint64_t peers_self(const struct peers *peers)
{
	return peers->options.self;
}

void peers_deliver(struct peers *peers, struct peer_event *event)
{
	peers->options.handle(peers->options.context, event);
}

static bool address_allowed(const struct peers *peers, uint32_t ipv4)
{
	for (int i = 0; i < peers->options.range_count; i++) {
		const struct address_range *range = &peers->options.ranges[i];
		uint32_t mask = range->prefix_bits ? ~0U << (32 - range->prefix_bits) : 0;

		if ((ipv4 & mask) == (range->network & mask))
			return true;
	}
	return false;
}

static void count_bytes(struct peers *peers, struct str name, enum message_kind kind, size_t bytes)
{
	char labels[64];

	g_snprintf(labels, sizeof(labels), "kind=\"%.*s\"", STR_ARG(message_kind_name(kind)));
	metrics_add(peers->options.metrics, name, str_from_cstr(labels), (int64_t)bytes);
}

bool peers_receive_message(struct peers *peers, uint64_t from, struct str payload)
{
	struct peer_event event = { .kind = PEER_MESSAGE };
	struct message *message = codec_decode(payload);

	if (!message)
		return false;
	count_bytes(peers, STR("godwithitch_control_received_bytes"), message->kind,
		    payload.len + FRAME_HEADER_BYTES);
	event.message.from = from;
	event.message.message = message;
	peers_deliver(peers, &event);
	message_unref(message);
	return true;
}

static void handle_datagram(struct peers *peers, struct str bytes, const struct sockaddr_in *source)
{
	uint32_t ipv4 = ntohl(source->sin_addr.s_addr);
	struct frame frame = { 0 };
	size_t used = 0;
	bool valid = wire_read_frame(bytes, &frame, &used) == WIRE_FRAME && used == bytes.len &&
		     frame.kind == FRAME_MESSAGE && member_ipv4(frame.stream) == ipv4;

	/* Addresses move between fleets, so an allowed source address does not prove the fleet. */
	if (!address_allowed(peers, ipv4) || (valid && frame.fleet != peers->options.fleet))
		logger_event(LOG_EVENT_PEER_REFUSED, "ipv4=%x", ipv4);
	else if (!valid || !peers_receive_message(peers, frame.stream, frame.payload))
		logger_event(LOG_EVENT_FRAME_BAD, "ipv4=%x bytes=%zu", ipv4, bytes.len);
}

void peers_on_datagram(struct peers *peers)
{
	char *buffer = g_malloc(DATAGRAM_BUFFER);

	for (int i = 0; i < DATAGRAMS_MAX; i++) {
		struct sockaddr_in source = { 0 };
		socklen_t len = sizeof(source);
		ssize_t n = recvfrom(peers->datagram_fd, buffer, DATAGRAM_BUFFER, MSG_DONTWAIT,
				     (struct sockaddr *)&source, &len);

		if (n < 0)
			break;
		handle_datagram(peers, (struct str){ buffer, (size_t)n }, &source);
	}
	g_free(buffer);
	workers_rearm(peers->options.workers, &peers->datagram_watch, WATCH_READ);
}

static void add_link(struct peers *peers, struct link *link)
{
	lock_acquire(&peers->lock);
	g_ptr_array_add(peers->all, link);
	if (link->outgoing)
		g_hash_table_replace(peers->by_peer, &link->peer, link);
	lock_release(&peers->lock);
}

static void accept_link(struct peers *peers, int fd, const struct sockaddr_in *source)
{
	uint32_t ipv4 = ntohl(source->sin_addr.s_addr);
	struct link *link;

	if (!address_allowed(peers, ipv4)) {
		logger_event(LOG_EVENT_PEER_REFUSED, "ipv4=%x", ipv4);
		close(fd);
		return;
	}
	link = link_new(peers, fd, false, LINK_OPEN);
	add_link(peers, link);
	link_start(link);
}

void peers_on_listen(struct peers *peers)
{
	for (int i = 0; i < ACCEPTS_MAX; i++) {
		struct sockaddr_in source = { 0 };
		socklen_t len = sizeof(source);
		int fd = accept4(peers->listen_fd, (struct sockaddr *)&source, &len,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0)
			break;
		accept_link(peers, fd, &source);
	}
	workers_rearm(peers->options.workers, &peers->listen_watch, WATCH_READ);
}

void peers_on_link_read(struct peers *peers, struct link *link)
{
	(void)peers;
	link_read(link);
}

void peers_on_link_write(struct peers *peers, struct link *link)
{
	(void)peers;
	link_writable(link);
}

struct link *link_ref(struct link *link)
{
	g_atomic_int_inc(&link->refs);
	return link;
}

void link_unref(struct link *link)
{
	if (!link || !g_atomic_int_dec_and_test(&link->refs))
		return;
	close(link->fd);
	close(link->write_fd);
	g_hash_table_destroy(link->streams);
	strbuf_clear(&link->in);
	schedule_clear(&link->schedule);
	apr_pool_destroy(link->pool);
	g_free(link);
}

void peers_remove_link(struct peers *peers, struct link *link)
{
	bool removed;

	lock_acquire(&peers->lock);
	removed = g_ptr_array_remove_fast(peers->all, link);
	if (link->outgoing && g_hash_table_lookup(peers->by_peer, &link->peer) == link)
		g_hash_table_remove(peers->by_peer, &link->peer);
	lock_release(&peers->lock);
	if (removed)
		link_unref(link);
}

/* Returns whether a link is closed but not yet removed, or is idle and may have failed unnoticed; a
 * new link is cheaper than a test. */
static bool is_stale(struct link *link, struct instant now)
{
	bool stale;

	lock_acquire(&link->lock);
	stale = link->state == LINK_CLOSED ||
		(g_hash_table_size(link->streams) == 0 && link->state == LINK_OPEN &&
		 now.mono_us - link->received_at_us > REUSE_IDLE_US);
	lock_release(&link->lock);
	return stale;
}

/* Returns the current link to a node, or a new one, with a reference; NULL if none can be made. */
static struct link *get_link(struct peers *peers, uint64_t to)
{
	struct instant now = clock_now();
	struct link *link;
	struct link *stale = NULL;

	lock_acquire(&peers->lock);
	link = g_hash_table_lookup(peers->by_peer, &to);
	if (link)
		link_ref(link);
	lock_release(&peers->lock);
	if (link && is_stale(link, now)) {
		stale = link;
		link = NULL;
	}
	if (stale) {
		link_close(stale);
		link_unref(stale);
	}
	if (link)
		return link;
	link = link_connect(peers, to, now);
	if (!link)
		return NULL;
	link_ref(link);
	add_link(peers, link);
	link_start(link);
	return link;
}

static void send_datagram(struct peers *peers, uint64_t to, struct str bytes)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(member_port(to)),
				       .sin_addr.s_addr = htonl(member_ipv4(to)) };

	/* Errors are ignored: the next digest makes up for a lost datagram. */
	(void)sendto(peers->datagram_fd, bytes.data, bytes.len, MSG_DONTWAIT,
		     (struct sockaddr *)&address, sizeof(address));
}

void peers_send(struct peers *peers, uint64_t to, const struct message *message)
{
	struct strbuf payload = { 0 };
	struct strbuf frame = { 0 };
	struct link *link;

	codec_encode(message, &payload);
	wire_put_tagged(&frame, FRAME_MESSAGE, peers->options.self, peers->options.fleet,
			strbuf_str(&payload));
	count_bytes(peers, STR("godwithitch_control_sent_bytes"), message->kind, frame.len);
	if (frame.len <= DATAGRAM_MAX) {
		send_datagram(peers, to, strbuf_str(&frame));
	} else {
		link = get_link(peers, to);
		if (link)
			link_write(link, strbuf_str(&frame));
		link_unref(link);
	}
	strbuf_clear(&payload);
	strbuf_clear(&frame);
}

bool peers_call(struct peers *peers, uint64_t to, struct stream_owner *owner,
		struct request_head *head, const struct str *body, struct stream *stream)
{
	bool body_waits = head->body_waits;

	/* A link that was closed in the meantime is replaced once. */
	for (int i = 0; i < 2; i++) {
		struct link *link = get_link(peers, to);
		bool open;

		head->body_waits = body_waits;
		open = link && link_open(link, owner, head, body, stream);
		link_unref(link);
		if (open)
			return true;
	}
	return false;
}

void peers_tick(struct peers *peers, struct instant now)
{
	GPtrArray *links = ref_all_links(peers);

	for (guint i = 0; i < links->len; i++)
		link_tick(g_ptr_array_index(links, i), now);
	g_ptr_array_unref(links);
}

size_t peers_unsent(struct peers *peers)
{
	size_t unsent = 0;

	lock_acquire(&peers->lock);
	for (guint i = 0; i < peers->all->len; i++) {
		struct link *link = g_ptr_array_index(peers->all, i);

		lock_acquire(&link->lock);
		unsent += schedule_bytes(&link->schedule);
		lock_release(&link->lock);
	}
	lock_release(&peers->lock);
	return unsent;
}
