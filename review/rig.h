/**
 * @file
 * Rig of the second review: starts nodes as separate processes and stands in for the platform's
 * store, the upstreams and the clients, as the users' pages describe them. Loopback, real clock.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum {
	RIG_HELD = 0,	/* exit status: the rule held */
	RIG_BROKEN = 1, /* it was broken */
	RIG_UNABLE = 2, /* the case could not run */
};

enum { NAME_BYTES = 48, CONNECTIONS_MAX = 256, NODES_MAX = 64 };

/** Opens the record and starts the clock. Ends the program with RIG_UNABLE on failure. */
void rig_begin(const char *record_path);
/** Milliseconds since rig_begin(). */
int64_t rig_ms(void);
/** Writes a line with the time to the record. */
void note(const char *format, ...) __attribute__((format(printf, 1, 2)));
/** Ends the program with RIG_UNABLE and a reason, and all nodes with it. */
void unable(const char *reason) __attribute__((noreturn));
/** Kills all nodes, writes the result and returns it. */
int rig_end(int result);
/** Whether the disruption is wanted: the variable TROUBLE is not 0. */
bool rig_trouble(void);
void sleep_ms(int64_t ms);
/** A port of 127.0.0.1 that is free for TCP and UDP now. */
int free_port(void);
/** Listens on a port of 127.0.0.1; 0: any. Sets *port. */
int listen_on(int *port);

/* The store */

/** Starts the stand-in for the store; returns its port. */
int store_start(void);
/** Writes a record of the operator's topic. */
void store_put(const char *key, const char *value);
/** Returns how many records a topic has. */
long store_count(const char *name);

/* Nodes */

struct node {
	char name[NAME_BYTES];
	char service[NAME_BYTES];
	char zone[NAME_BYTES];
	char ip[20];	   /* a loopback address; empty: 127.0.0.1 */
	const char *extra; /* further settings, each with a comma behind it */
	int peer_port;
	int callers_port;
	int control_port;
	int announce_port;
	pid_t pid;
	int64_t started_ms;
	bool restarted; /* not the first start of the system */
};

/** Chooses the ports of a node and starts it. */
void node_start(struct node *node, int store_port);
/** SIGTERM, then SIGKILL after @p grace_ms, then a start. */
void node_restart(struct node *node, int store_port, int64_t grace_ms);
void node_term(struct node *node, int64_t grace_ms);
void node_kill(struct node *node);
/** Starts a process with the ports that the node has. */
void node_again(struct node *node, int store_port);
/** Waits until the control endpoint of each node answers 200. */
void wait_ready(const struct node *nodes, int count, int64_t within_ms);
bool node_is_ready(const struct node *node);

/* Messages */

struct message {
	char first[256]; /* first line */
	char method[16];
	char path[256];
	char id[80];
	char expected[NAME_BYTES];
	char caller[NAME_BYTES];
	char tenant[NAME_BYTES];
	char signature[80];
	char retry_after[16];
	long timeout_ms; /* -1: not stated */
	long length;	 /* -1: not stated */
	bool chunked;
	bool not_executed;
	bool closes;
	int status;
	char *body;
	long body_len;
	bool whole;
	char head[8192];
};

/** Buffered reading of one connection. */
struct wire {
	int fd;
	char bytes[16384];
	long start;
	long end;
};

/** Reads a head; false if the connection ended before. */
bool wire_read_head(struct wire *wire, struct message *message);
/** Reads a body as the head says, into an allocated buffer; false if it broke off. */
bool wire_read_body(struct wire *wire, struct message *message, bool is_answer);
bool send_all(int fd, const void *bytes, long len);
void send_text(int fd, const char *format, ...) __attribute__((format(printf, 2, 3)));

/* Upstreams */

struct upstream;
/** Handles a request whose head was read; true keeps the connection. The handler reads the body. */
typedef bool (*upstream_handler)(struct upstream *upstream, struct wire *wire,
				 struct message *request);

struct upstream {
	char name[NAME_BYTES]; /* for the record */
	char service[NAME_BYTES];
	char version[16];
	char id[NAME_BYTES];
	const struct node *node;
	int capacity;
	int port;
	int listen_fd;
	int starts;
	int64_t born;
	long sequence;
	bool up;
	bool draining; /* it says so */
	bool silent;   /* it sends no heartbeats */
	int64_t drain_acked_ms;
	int running;
	upstream_handler handle;
	void *context;
	pthread_mutex_t mutex;
	int connections[CONNECTIONS_MAX];
};

/** Starts an upstream beside a node: it serves, and sends heartbeats to its node. */
void upstream_start(struct upstream *upstream);
/** Ends it as a crash does: its connections close and its port refuses. */
void upstream_crash(struct upstream *upstream);
/** Starts it again, as a new incarnation with a new id. */
void upstream_again(struct upstream *upstream);
/** Reports that it drains; returns when the node acknowledged. */
bool upstream_drain(struct upstream *upstream);
/** Deregisters it, and ends it. */
void upstream_leave(struct upstream *upstream);
/** Answers a request with a status, the signature and a body. */
void upstream_answer(struct wire *wire, const struct message *request, int status, const char *body,
		     long len);
/** Reads the body and answers 200 after @p work_ms. */
bool upstream_serve(struct upstream *upstream, struct wire *wire, struct message *request,
		    int64_t work_ms);

/* Clients */

struct ask {
	int port;
	const char *method;
	const char *host;
	const char *path;
	const char *fields; /* further ones, each with CR LF behind it; NULL: none */
	long timeout_ms;
	const char *body;
	long body_len;	   /* 0: none */
	int64_t pause_ms;  /* between the head and the body */
	char id[24];	   /* set by the call */
	int64_t sent_ms;   /* set by the call */
	int64_t answer_ms; /* set by the call */
};

/** Sends a request on a new connection and reads its answer; status 0: there was no whole head. */
void client_call(struct ask *ask, struct message *answer);
int client_connect(int port);
void message_clear(struct message *message);

#endif
