#include "review/rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define DAEMON "target/build/bin/godwithitchd"

enum { PORT_MIN = 12000, PORTS = 18000 };

static FILE *record;
static int64_t begun_ms;
static pthread_mutex_t record_mutex = PTHREAD_MUTEX_INITIALIZER;
static pid_t children[NODES_MAX * 4];
static int child_count;
static char folder[64];

static int64_t mono_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

int64_t rig_ms(void)
{
	return mono_ms() - begun_ms;
}

void sleep_ms(int64_t ms)
{
	struct timespec time = { ms / 1000, ms % 1000 * 1000000 };

	while (nanosleep(&time, &time) != 0 && errno == EINTR)
		;
}

void note(const char *format, ...)
{
	int64_t ms = rig_ms();
	va_list list;

	pthread_mutex_lock(&record_mutex);
	fprintf(record, "%8.3f  ", (double)ms / 1000);
	va_start(list, format);
	vfprintf(record, format, list);
	va_end(list);
	fprintf(record, "\n");
	fflush(record);
	pthread_mutex_unlock(&record_mutex);
}

bool rig_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return !text || strcmp(text, "0") != 0;
}

static void kill_children(void)
{
	for (int i = 0; i < child_count; i++)
		if (children[i] > 0)
			kill(children[i], SIGKILL);
	for (int i = 0; i < child_count; i++)
		if (children[i] > 0)
			waitpid(children[i], NULL, 0);
	child_count = 0;
}

static void add_child(pid_t pid)
{
	int at = 0;

	while (at < child_count && children[at])
		at++;
	if (at == (int)(sizeof(children) / sizeof(children[0])))
		unable("too many processes");
	children[at] = pid;
	if (at == child_count)
		child_count++;
}

static void forget_child(pid_t pid)
{
	for (int i = 0; i < child_count; i++)
		if (children[i] == pid)
			children[i] = 0;
}

static void on_signal(int number)
{
	(void)number;
	for (int i = 0; i < child_count; i++)
		if (children[i] > 0)
			kill(children[i], SIGKILL);
	_exit(RIG_UNABLE);
}

void rig_begin(const char *record_path)
{
	const char *given = getenv("RIG_FOLDER");

	begun_ms = mono_ms();
	record = fopen(record_path, "w");
	if (!record)
		exit(RIG_UNABLE);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGALRM, on_signal);
	alarm(115);
	snprintf(folder, sizeof(folder), "%s", given ? given : "");
	if (!given)
		unable("no folder for settings");
	note("trouble: %s", rig_trouble() ? "yes" : "no");
}

void unable(const char *reason)
{
	note("the case could not run: %s", reason);
	kill_children();
	exit(RIG_UNABLE);
}

int rig_end(int result)
{
	kill_children();
	note("result: %s", result == RIG_BROKEN ? "the rule was broken" : "the rule held");
	fclose(record);
	return result;
}

static struct sockaddr_in loopback(int port)
{
	return (struct sockaddr_in){ .sin_family = AF_INET,
				     .sin_port = htons((uint16_t)port),
				     .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
}

int listen_on(int *port)
{
	struct sockaddr_in address = loopback(*port);
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 || listen(fd, 128) != 0) {
		close(fd);
		return -1;
	}
	getsockname(fd, (struct sockaddr *)&address, &len);
	*port = ntohs(address.sin_port);
	return fd;
}

/* Whether nobody has a port of 127.0.0.1 now. */
static bool is_free(int port)
{
	struct sockaddr_in address = loopback(port);
	int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	int tcp = listen_on(&port);
	bool free = tcp >= 0 && bind(udp, (struct sockaddr *)&address, sizeof(address)) == 0;

	close(udp);
	if (tcp >= 0)
		close(tcp);
	return free;
}

/* Ports below those that the kernel gives to connections, so that none of them takes one. */
int free_port(void)
{
	static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
	static int next;
	int port = 0;

	pthread_mutex_lock(&mutex);
	if (next == 0)
		next = (int)((mono_ms() * 37 + getpid() * 101L) % PORTS);
	for (int i = 0; i < PORTS && port == 0; i++) {
		int candidate = PORT_MIN + next;

		next = (next + 1) % PORTS;
		if (is_free(candidate))
			port = candidate;
	}
	pthread_mutex_unlock(&mutex);
	if (port == 0)
		unable("no free port");
	return port;
}

/* Nodes */

static void write_settings(const struct node *node, int store_port, const char *path)
{
	const char *ip = node->ip[0] ? node->ip : "127.0.0.1";
	FILE *file = fopen(path, "w");

	if (!file)
		unable("settings can't be written");
	/* As deploy/node.json.in for a small deployment, with loopback addresses. */
	fprintf(file,
		"{\n\"interface\": \"platform\",\n\"service\": \"%s\",\n"
		"\"address\": \"%s:%d\",\n\"callers\": \"%s:%d\",\n"
		"\"control\": \"%s:%d\",\n\"announce\": \"%s:%d\",\n"
		"\"data_centre\": \"%s\",\n\"log\": \"http://127.0.0.1:%d\",\n"
		"\"log_file\": \"stdout\",\n\"fleet\": [\"127.0.0.0/8\"],\n"
		"\"first_start\": %s,\n\"announce_ttl_s\": 8,\n\"apply_within_s\": 2,\n"
		"\"stop_within_s\": 6,\n\"stop_notice_s\": 2.5,\n%s"
		"\"retry_ratio\": 0.2,\n\"retry_slack\": 64,\n\"link_mbps\": 1000.0,\n"
		"\"memory_mb\": 260,\n\"connections_per_address\": 2000\n}\n",
		node->service, ip, node->peer_port, ip, node->callers_port, ip, node->control_port,
		ip, node->announce_port, node->zone, store_port, node->restarted ? "false" : "true",
		node->extra ? node->extra : "");
	fclose(file);
}

static void run_daemon(const char *settings, const char *log)
{
	char boot[256];
	char *arguments[] = { (char *)DAEMON, NULL };
	char *environment[] = { boot, (char *)"PATH=/usr/bin:/bin", NULL };
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);

	snprintf(boot, sizeof(boot), "GODWITHITCH_BOOT=%s", settings);
	if (fd >= 0) {
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
	}
	/* It ends with this program, however that ends. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	execve(DAEMON, arguments, environment);
	_exit(RIG_UNABLE);
}

static void start_process(struct node *node, int store_port)
{
	char settings[160];
	char log[160];

	snprintf(settings, sizeof(settings), "%s/%s.json", folder, node->name);
	snprintf(log, sizeof(log), "%s/%s.log", folder, node->name);
	write_settings(node, store_port, settings);
	node->pid = fork();
	if (node->pid < 0)
		unable("no process can be started");
	if (node->pid == 0)
		run_daemon(settings, log);
	add_child(node->pid);
	node->started_ms = rig_ms();
	if (!node->ip[0])
		note("%s starts, beside an upstream of %s", node->name, node->service);
}

void node_start(struct node *node, int store_port)
{
	node->peer_port = free_port();
	node->callers_port = free_port();
	node->control_port = free_port();
	node->announce_port = free_port();
	start_process(node, store_port);
}

void node_term(struct node *node, int64_t grace_ms)
{
	int64_t until = mono_ms() + grace_ms;

	note("%s gets SIGTERM", node->name);
	kill(node->pid, SIGTERM);
	while (mono_ms() < until && waitpid(node->pid, NULL, WNOHANG) == 0)
		sleep_ms(10);
	if (mono_ms() >= until) {
		kill(node->pid, SIGKILL);
		waitpid(node->pid, NULL, 0);
	}
	forget_child(node->pid);
	note("%s has ended", node->name);
}

void node_kill(struct node *node)
{
	kill(node->pid, SIGKILL);
	waitpid(node->pid, NULL, 0);
	forget_child(node->pid);
}

void node_again(struct node *node, int store_port)
{
	start_process(node, store_port);
}

void node_restart(struct node *node, int store_port, int64_t grace_ms)
{
	node_term(node, grace_ms);
	node->restarted = true;
	start_process(node, store_port);
}

bool node_is_ready(const struct node *node)
{
	struct ask ask = { .port = node->control_port,
			   .method = "GET",
			   .host = "ready",
			   .path = "/readyz",
			   .timeout_ms = 1000 };
	struct message answer;
	bool ready;

	client_call(&ask, &answer);
	ready = answer.status == 200;
	message_clear(&answer);
	return ready;
}

/* Ends the case if a process has ended by itself, as when another program has taken a port. */
static void check_runs(const struct node *node)
{
	if (waitpid(node->pid, NULL, WNOHANG) != node->pid)
		return;
	forget_child(node->pid);
	unable("a process has ended at its start");
}

void wait_ready(const struct node *nodes, int count, int64_t within_ms)
{
	int64_t until = mono_ms() + within_ms;

	for (int i = 0; i < count; i++) {
		while (!node_is_ready(&nodes[i])) {
			check_runs(&nodes[i]);
			if (mono_ms() > until)
				unable("a node is not ready in time");
			sleep_ms(50);
		}
		note("%s is ready", nodes[i].name);
	}
}

/* Messages */

bool send_all(int fd, const void *bytes, long len)
{
	const char *at = bytes;

	while (len > 0) {
		ssize_t n = send(fd, at, (size_t)len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		at += n;
		len -= n;
	}
	return true;
}

void send_text(int fd, const char *format, ...)
{
	char text[8192];
	va_list list;
	int len;

	va_start(list, format);
	len = vsnprintf(text, sizeof(text), format, list);
	va_end(list);
	send_all(fd, text, len);
}

static bool fill(struct wire *wire)
{
	ssize_t n;

	if (wire->start == wire->end)
		wire->start = wire->end = 0;
	if (wire->end == (long)sizeof(wire->bytes))
		return false;
	do
		n = recv(wire->fd, wire->bytes + wire->end, sizeof(wire->bytes) - (size_t)wire->end,
			 0);
	while (n < 0 && errno == EINTR);
	if (n <= 0)
		return false;
	wire->end += n;
	return true;
}

/* Reads a line without its end; false if the connection ended. */
static bool read_line(struct wire *wire, char *line, size_t cap)
{
	size_t len = 0;

	for (;;) {
		char byte;

		if (wire->start == wire->end && !fill(wire))
			return false;
		byte = wire->bytes[wire->start++];
		if (byte == '\n')
			break;
		if (byte != '\r' && len + 1 < cap)
			line[len++] = byte;
	}
	line[len] = '\0';
	return true;
}

static void copy_value(char *into, size_t cap, const char *value)
{
	size_t len = strnlen(value, cap - 1);

	memcpy(into, value, len);
	into[len] = '\0';
}

static void take_field(struct message *message, char *line)
{
	char *value = strchr(line, ':');

	if (!value)
		return;
	*value++ = '\0';
	while (*value == ' ')
		value++;
	if (strcasecmp(line, "X-Request-Id") == 0)
		copy_value(message->id, sizeof(message->id), value);
	else if (strcasecmp(line, "X-Expected-Instance") == 0)
		copy_value(message->expected, sizeof(message->expected), value);
	else if (strcasecmp(line, "X-Caller-Service") == 0)
		copy_value(message->caller, sizeof(message->caller), value);
	else if (strcasecmp(line, "X-Tenant-Id") == 0)
		copy_value(message->tenant, sizeof(message->tenant), value);
	else if (strcasecmp(line, "X-Response-Signature") == 0)
		copy_value(message->signature, sizeof(message->signature), value);
	else if (strcasecmp(line, "Retry-After") == 0)
		copy_value(message->retry_after, sizeof(message->retry_after), value);
	else if (strcasecmp(line, "X-Timeout-Ms") == 0)
		message->timeout_ms = strtol(value, NULL, 10);
	else if (strcasecmp(line, "Content-Length") == 0)
		message->length = strtol(value, NULL, 10);
	else if (strcasecmp(line, "Transfer-Encoding") == 0)
		message->chunked = strcasecmp(value, "chunked") == 0;
	else if (strcasecmp(line, "X-Not-Executed") == 0)
		message->not_executed = true;
	else if (strcasecmp(line, "Connection") == 0)
		message->closes = strcasecmp(value, "close") == 0;
}

bool wire_read_head(struct wire *wire, struct message *message)
{
	char line[1024];
	size_t used = 0;

	memset(message, 0, sizeof(*message));
	message->length = -1;
	message->timeout_ms = -1;
	if (!read_line(wire, line, sizeof(line)))
		return false;
	copy_value(message->first, sizeof(message->first), line);
	if (strncmp(line, "HTTP/1.1 ", 9) == 0)
		message->status = (int)strtol(line + 9, NULL, 10);
	else
		sscanf(line, "%15s %255s", message->method, message->path);
	for (;;) {
		if (!read_line(wire, line, sizeof(line)))
			return false;
		if (line[0] == '\0')
			return true;
		used += (size_t)snprintf(message->head + used, sizeof(message->head) - used, "%s\n",
					 line);
		if (used >= sizeof(message->head))
			used = sizeof(message->head) - 1;
		take_field(message, line);
	}
}

/* Reads bytes of a body; -1: until the connection ends. */
static bool read_bytes(struct wire *wire, struct message *message, long count)
{
	while (count != 0) {
		long n;

		if (wire->start == wire->end && !fill(wire))
			return count < 0;
		n = wire->end - wire->start;
		if (count > 0 && n > count)
			n = count;
		message->body = realloc(message->body, (size_t)(message->body_len + n + 1));
		memcpy(message->body + message->body_len, wire->bytes + wire->start, (size_t)n);
		message->body_len += n;
		message->body[message->body_len] = '\0';
		wire->start += n;
		if (count > 0)
			count -= n;
	}
	return true;
}

static bool read_chunks(struct wire *wire, struct message *message)
{
	char line[256];

	for (;;) {
		long size;

		if (!read_line(wire, line, sizeof(line)))
			return false;
		size = strtol(line, NULL, 16);
		if (size == 0)
			break;
		if (!read_bytes(wire, message, size) || !read_line(wire, line, sizeof(line)))
			return false;
	}
	while (read_line(wire, line, sizeof(line)))
		if (line[0] == '\0')
			return true;
	return false;
}

bool wire_read_body(struct wire *wire, struct message *message, bool is_answer)
{
	if (message->chunked)
		message->whole = read_chunks(wire, message);
	else if (message->length >= 0)
		message->whole = read_bytes(wire, message, message->length);
	else
		message->whole = !is_answer || read_bytes(wire, message, -1);
	return message->whole;
}

void message_clear(struct message *message)
{
	free(message->body);
	message->body = NULL;
}

/* Clients */

int client_connect(int port)
{
	struct sockaddr_in address = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

static void make_id(char *id, size_t cap)
{
	static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
	static uint64_t count;
	uint64_t number;

	pthread_mutex_lock(&mutex);
	number = ++count;
	pthread_mutex_unlock(&mutex);
	number = (number + (uint64_t)begun_ms * 7919) * 0x9e3779b97f4a7c15ULL;
	snprintf(id, cap, "%016llx", (unsigned long long)number);
}

void client_call(struct ask *ask, struct message *answer)
{
	struct wire wire = { .fd = client_connect(ask->port) };
	int64_t wait_ms = ask->timeout_ms + 1500 + ask->pause_ms;
	struct timeval limit = { wait_ms / 1000, wait_ms % 1000 * 1000 };

	memset(answer, 0, sizeof(*answer));
	make_id(ask->id, sizeof(ask->id));
	ask->sent_ms = rig_ms();
	if (wire.fd < 0)
		return;
	setsockopt(wire.fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	send_text(wire.fd,
		  "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Timeout-Ms: %ld\r\n%s",
		  ask->method, ask->path, ask->host, ask->id, ask->timeout_ms,
		  ask->fields ? ask->fields : "");
	if (ask->body_len)
		send_text(wire.fd, "Content-Length: %ld\r\n", ask->body_len);
	send_text(wire.fd, "\r\n");
	if (ask->pause_ms)
		sleep_ms(ask->pause_ms);
	if (ask->body_len)
		send_all(wire.fd, ask->body, ask->body_len);
	if (!wire_read_head(&wire, answer))
		answer->status = 0;
	else
		wire_read_body(&wire, answer, true);
	ask->answer_ms = rig_ms();
	close(wire.fd);
}
