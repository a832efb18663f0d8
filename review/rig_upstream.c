/* Stands in for upstreams: they serve, answer for their health and send heartbeats. */
#include "review/rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum { HEARTBEAT_MS = 1500 };

struct served {
	struct upstream *upstream;
	struct wire wire;
};

static int64_t wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

void upstream_answer(struct wire *wire, const struct message *request, int status, const char *body,
		     long len)
{
	send_text(wire->fd,
		  "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Response-Signature: s.%s\r\n"
		  "Content-Length: %ld\r\n\r\n",
		  status, status == 200 ? "OK" : "Error", request->id, request->id, len);
	send_all(wire->fd, body, len);
}

bool upstream_serve(struct upstream *upstream, struct wire *wire, struct message *request,
		    int64_t work_ms)
{
	(void)upstream;
	if (!wire_read_body(wire, request, false))
		return false;
	sleep_ms(work_ms);
	upstream_answer(wire, request, 200, "done\n", 5);
	return true;
}

static bool on_health(struct upstream *upstream, struct wire *wire)
{
	send_text(wire->fd,
		  "HTTP/1.1 %s\r\nX-Instance-Id: %s\r\nX-Server-Load: %d,0,%d\r\n"
		  "Content-Length: 0\r\n\r\n",
		  upstream->draining ? "503 Service Unavailable" : "200 OK", upstream->id,
		  upstream->running, upstream->capacity);
	return true;
}

static bool on_message(struct upstream *upstream, struct wire *wire, struct message *request)
{
	bool keep;

	if (strcmp(request->path, "/health") == 0)
		return on_health(upstream, wire);
	if (request->expected[0] && strcmp(request->expected, upstream->id) != 0) {
		wire_read_body(wire, request, false);
		send_text(wire->fd,
			  "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\n"
			  "X-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
			  request->id, upstream->id);
		return true;
	}
	__atomic_add_fetch(&upstream->running, 1, __ATOMIC_SEQ_CST);
	keep = upstream->handle(upstream, wire, request);
	__atomic_sub_fetch(&upstream->running, 1, __ATOMIC_SEQ_CST);
	return keep;
}

static int find_connection(const struct upstream *upstream, int fd)
{
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		if (upstream->connections[i] == fd)
			return i;
	return -1;
}

static void *serve(void *data)
{
	struct served *served = data;
	struct upstream *upstream = served->upstream;
	struct message request;
	bool keep = true;
	int at;

	while (keep && wire_read_head(&served->wire, &request)) {
		keep = on_message(upstream, &served->wire, &request);
		message_clear(&request);
	}
	pthread_mutex_lock(&upstream->mutex);
	at = find_connection(upstream, served->wire.fd);
	if (at >= 0)
		upstream->connections[at] = -1;
	close(served->wire.fd);
	pthread_mutex_unlock(&upstream->mutex);
	free(served);
	return NULL;
}

/* Notes a connection; false if the upstream is down or has too many. */
static bool add_connection(struct upstream *upstream, int fd)
{
	int at;

	pthread_mutex_lock(&upstream->mutex);
	at = upstream->up ? find_connection(upstream, -1) : -1;
	if (at >= 0)
		upstream->connections[at] = fd;
	pthread_mutex_unlock(&upstream->mutex);
	return at >= 0;
}

static void *accept_all(void *data)
{
	struct upstream *upstream = data;
	int listen_fd = upstream->listen_fd;

	for (;;) {
		int fd = accept4(listen_fd, NULL, NULL, SOCK_CLOEXEC);
		struct served *served;
		pthread_t thread;

		if (fd < 0)
			return NULL;
		if (!add_connection(upstream, fd)) {
			close(fd);
			continue;
		}
		served = calloc(1, sizeof(*served));
		served->upstream = upstream;
		served->wire.fd = fd;
		if (pthread_create(&thread, NULL, serve, served) != 0)
			unable("no thread can be started");
		pthread_detach(thread);
	}
}

/* Sends one call to the control address of the upstream's machine; true if it was acknowledged. */
static bool report(struct upstream *upstream, const char *operation, const char *body)
{
	struct ask ask = { .port = upstream->node->announce_port,
			   .method = "POST",
			   .host = "control",
			   .fields = "Content-Type: application/json\r\n",
			   .timeout_ms = 1000,
			   .body = body,
			   .body_len = (long)strlen(body) };
	struct message answer;
	char path[128];
	bool taken;

	snprintf(path, sizeof(path), "/instances/%s/%s", upstream->id, operation);
	ask.path = path;
	client_call(&ask, &answer);
	taken = answer.status == 200;
	message_clear(&answer);
	return taken;
}

static bool heartbeat(struct upstream *upstream)
{
	char body[512];

	pthread_mutex_lock(&upstream->mutex);
	snprintf(body, sizeof(body),
		 "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"%"
		 "s\","
		 "\"capacity\":%d,\"state\":\"%s\",\"warmup_left_s\":0,\"sequence\":%ld,\"born\":%"
		 "lld}",
		 upstream->service, upstream->port, upstream->node->zone, upstream->version,
		 upstream->capacity, upstream->draining ? "draining" : "ready",
		 ++upstream->sequence, (long long)upstream->born);
	pthread_mutex_unlock(&upstream->mutex);
	return report(upstream, "heartbeat", body);
}

static void *beat(void *data)
{
	struct upstream *upstream = data;
	int starts = upstream->starts;

	while (upstream->up && upstream->starts == starts) {
		if (!upstream->silent)
			heartbeat(upstream);
		sleep_ms(HEARTBEAT_MS);
	}
	return NULL;
}

static void come_up(struct upstream *upstream)
{
	pthread_t thread;

	upstream->listen_fd = listen_on(&upstream->port);
	if (upstream->listen_fd < 0)
		unable("an upstream can't listen");
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		upstream->connections[i] = -1;
	snprintf(upstream->id, sizeof(upstream->id), "i-%.30s-%d", upstream->name,
		 ++upstream->starts);
	upstream->born = wall_ms();
	upstream->sequence = 0;
	upstream->up = true;
	note("upstream %s starts as %s", upstream->name, upstream->id);
	if (pthread_create(&thread, NULL, accept_all, upstream) != 0)
		unable("no thread can be started");
	pthread_detach(thread);
	if (pthread_create(&thread, NULL, beat, upstream) != 0)
		unable("no thread can be started");
	pthread_detach(thread);
}

void upstream_start(struct upstream *upstream)
{
	pthread_mutex_init(&upstream->mutex, NULL);
	upstream->port = free_port();
	come_up(upstream);
}

static void end(struct upstream *upstream)
{
	pthread_mutex_lock(&upstream->mutex);
	upstream->up = false;
	shutdown(upstream->listen_fd, SHUT_RDWR);
	close(upstream->listen_fd);
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		if (upstream->connections[i] >= 0)
			shutdown(upstream->connections[i], SHUT_RDWR);
		upstream->connections[i] = -1;
	}
	pthread_mutex_unlock(&upstream->mutex);
}

void upstream_crash(struct upstream *upstream)
{
	end(upstream);
	note("upstream %s has crashed", upstream->id);
}

void upstream_again(struct upstream *upstream)
{
	come_up(upstream);
}

bool upstream_drain(struct upstream *upstream)
{
	upstream->draining = true;
	for (int i = 0; i < 10; i++) {
		if (!heartbeat(upstream)) {
			sleep_ms(100);
			continue;
		}
		upstream->drain_acked_ms = rig_ms();
		note("%s: the node acknowledged that it is draining", upstream->id);
		return true;
	}
	return false;
}

void upstream_leave(struct upstream *upstream)
{
	bool taken = report(upstream, "deregister", "{}");

	note("%s deregisters (%s) and exits", upstream->id, taken ? "acknowledged" : "no answer");
	end(upstream);
}
