/**
 * @file
 * Stand-ins for the review's scripts: the platform (the project's storeservice), machines with a
 * daemon each, upstreams, clients, and the record of what was sent, answered and run. Everything is
 * on 127.0.0.1, on free ports.
 */
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum {
	CANNOT_RUN = 2, /* exit status */
	HEAD_MAX = 8192,
	NAME_MAX_BYTES = 48,
};

/** Milliseconds since the start of the program, and Unix time. */
int64_t now_ms(void);
int64_t wall_ms(void);
void wait_ms(int64_t ms);
void wait_until_ms(int64_t ms);

/** Whether the disruption is to happen: not with TROUBLE=0. */
bool trouble(void);

/** Opens record.txt in the folder of the case, and a temporary folder. SIGTERM, SIGINT and SIGHUP
 *  end the case as give_up() does. Called before any thread is started. */
void stand_open(const char *record_path);
/** Ends all processes, removes the temporary folder, closes the record. */
void stand_close(void);
/** Writes a line with the time to the record. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/** Ends everything and exits with CANNOT_RUN. */
_Noreturn void give_up(const char *why);

/** Starts the platform's store. */
void store_start(void);
/** Writes op/KEY; the answer is the acknowledgement. */
void store_put(const char *key, const char *value);

/** A machine: a daemon with the settings of deploy/node.json.in. */
struct machine {
	char name[NAME_MAX_BYTES];
	char zone[NAME_MAX_BYTES];
	char service[NAME_MAX_BYTES];
	char settings_path[256];
	char log_path[256];
	int internal_port;
	int outbound_port;
	int ready_port;
	int control_port;
	pid_t pid;
};

void machine_init(struct machine *machine, const char *name, const char *zone, const char *service);
/** Starts the daemon by the command of the deploy file. @p bootstrap is as on the users' pages. */
void machine_start(struct machine *machine, bool bootstrap);
/** Sends a signal to the daemon. After SIGKILL, waits for its end. */
void machine_signal(struct machine *machine, int number);
/** Whether the daemon has ended by itself; *signal_number is what ended it, 0 for an exit. */
bool machine_has_ended(struct machine *machine, int *signal_number);
/** Waits until GET /readyz answers 200; gives up after @p timeout_ms. */
void machine_wait_ready(struct machine *machine, int64_t timeout_ms);

struct upstream;

/** A request as it arrived at an upstream. */
struct arrival {
	struct upstream *upstream;
	int fd;
	char head[HEAD_MAX];
	char method[16];
	char path[256];
	char id[64];
	char caller[NAME_MAX_BYTES];
	size_t body_bytes;
	bool has_caller;
};

/** An upstream: an HTTP server in this process. */
struct upstream {
	char id[NAME_MAX_BYTES];
	char service[NAME_MAX_BYTES];
	int port;
	int64_t born;
	int sequence;
	int capacity;
	struct machine *machine;
	/** Runs a request and answers it; false: the connection is to be closed. */
	bool (*run)(struct arrival *arrival);
	pthread_mutex_t lock;
	bool leaving; /**< health answers 503 */
	bool beating; /**< heartbeats are sent each 1.5 s */
	volatile bool silent;
	int listen_fd;
	int fds[256]; /**< open connections */
	int fd_count;
};

void upstream_start(struct upstream *upstream, struct machine *machine, const char *id,
		    bool (*run)(struct arrival *arrival));
/** Closes the port and all connections, as the end of a process does. */
void upstream_crash(struct upstream *upstream);
/** Listens again on the same port, as a new incarnation with id @p id. */
void upstream_restart(struct upstream *upstream, const char *id);
/** Falls silent: answers nothing any more, and its queue of new connections is full. */
void upstream_go_silent(struct upstream *upstream);
/** Sends a heartbeat with this sequence; returns the status, 0 without an answer. */
int upstream_beat(struct upstream *upstream, const char *state, int sequence);
int upstream_deregister(struct upstream *upstream);

/** Answers with a signature, a length and @p body_bytes bytes. */
bool answer_ok(const struct arrival *arrival, size_t body_bytes);

/** Sends all bytes; false on an error. */
bool send_all(int fd, const void *data, size_t len);
int connect_to(int port);

/** An answer as a client sees it. */
struct answer {
	int status; /**< 0: none */
	bool closes;
	bool whole;
	size_t body_bytes;
	char head[HEAD_MAX];
};

/** Reads one answer; waits at most @p timeout_ms. */
struct answer read_answer(int fd, int64_t timeout_ms);
/** Sends a request on a new connection and reads its answer; @p head_end ends with an empty line.
 */
struct answer ask(int port, const char *request, int64_t timeout_ms);
/** POSTs a JSON body to one of the system's own addresses; returns the status. */
int post_json(int port, const char *path, const char *body);

#endif
