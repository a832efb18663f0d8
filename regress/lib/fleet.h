/**
 * @file
 * A fleet of real processes on loopback for tests: the log's stand-in, nodes, targets. Ports come
 * from the kernel; all processes die with the test.
 */
#ifndef REGRESS_FLEET_H
#define REGRESS_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "regress/lib/http.h"

enum { FLEET_NODES_MAX = 64, ADDRESS_BYTES = 32 };

struct process {
	pid_t pid; /**< 0: not running */
	int input; /**< its standard input */
};

struct fleet_node {
	struct process daemon;
	struct process target;
	char data_centre[32];
	char address[ADDRESS_BYTES];
	char callers[ADDRESS_BYTES];
	char control[ADDRESS_BYTES];
	char announce[ADDRESS_BYTES];
	int target_port;
	char log_path[128];
	char settings_path[128];
};

struct fleet {
	char dir[64];
	char bin[256];
	struct process log;
	int log_port;
	int nodes_log_port; /**< where the nodes find it: a proxy's, or the same */
	int log_keep_s;
	int count;
	struct fleet_node nodes[FLEET_NODES_MAX];
	char extra[256]; /**< more settings of the nodes, as "\"workers\": 8," */
};

/** Starts the log's stand-in. @p keep_s: how long it keeps records; 0: an hour. */
struct fleet *fleet_new(int keep_s);
/** The same with the stand-in of the platform's store in the log's place. */
struct fleet *fleet_new_platform(void);
/** Ends all processes and removes the folder. */
void fleet_free(struct fleet *fleet);
/** Starts a node; its index. */
int fleet_add_node(struct fleet *fleet, const char *data_centre);
/** Starts a node again after it was ended; it gets new ports. */
void fleet_restart_node(struct fleet *fleet, int index);
/** Starts a target beside a node. @p args: options of targetservice, split at blanks. */
void fleet_add_target(struct fleet *fleet, int index, const char *args);
void process_signal(struct process *process, int number);
/** Waits for the end; the exit status, or -1 after @p timeout_ms. */
int process_wait(struct process *process, int timeout_ms);
void process_kill(struct process *process);

/** Runs the tool with these words; its exit status. Output goes to *out, if it is not NULL. */
int fleet_tool(struct fleet *fleet, struct strbuf *out, const char *words);
/** Writes a file of that name and applies it. */
int fleet_apply(struct fleet *fleet, const char *name, const char *content, struct strbuf *out);
/** Polls until @p path of a node's control endpoint holds @p text; false after @p timeout_ms. */
bool fleet_wait_text(struct fleet *fleet, int node, const char *path, const char *text,
		     int timeout_ms);
/** Waits until all nodes are current and see @p live members. */
bool fleet_wait_live(struct fleet *fleet, int live, int timeout_ms);
/** Switches a fault of the log's stand-in, as in "out=1". */
void fleet_log_fault(struct fleet *fleet, const char *query);
/** Reads a counter, summed over labels, from a node's metrics. */
int64_t fleet_metric(struct fleet *fleet, int node, const char *name);
/** Runs by idempotency key at the live targets: name -> count; the caller destroys the table. */
GHashTable *fleet_runs(struct fleet *fleet);
void wait_ms(int ms);

#endif
