/**
 * @file
 * Starts a fleet of real processes on the loopback interface: a fake log service, nodes and
 * targets. The kernel chooses the ports; all processes are killed when the test ends.
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
	pid_t pid;    /**< 0 if not running */
	int stdin_fd; /**< write end of its standard input */
};

struct fleet_node {
	struct process daemon;
	struct process target;
	char data_centre[32];
	char address[ADDRESS_BYTES];
	char caller_address[ADDRESS_BYTES];
	char control_address[ADDRESS_BYTES];
	char announce_address[ADDRESS_BYTES];
	int target_port;
	char log_path[128];
	char settings_path[128];
};

struct fleet {
	char dir[64];
	char bin[256];
	struct process log;
	int log_port;
	int nodes_log_port; /**< log port in the settings of the nodes; a proxy's, or log_port */
	int log_retention_s;
	int count;
	struct fleet_node nodes[FLEET_NODES_MAX];
	char extra_settings[256]; /**< further settings of the nodes, such as "\"workers\": 8," */
};

/**
 * Creates a fleet without nodes and starts its fake log service, which retains records for
 * @p retention_s seconds (0: one hour).
 */
struct fleet *fleet_new(int retention_s);
/** Creates a fleet with a fake platform store instead of the log service. */
struct fleet *fleet_new_platform(void);
/** Kills all processes. Removes the fleet's directory, unless GODWITHITCH_KEEP is set. */
void fleet_free(struct fleet *fleet);
/** Starts a node and returns its index. */
int fleet_add_node(struct fleet *fleet, const char *data_centre);
/** Restarts a stopped node, on new ports. */
void fleet_restart_node(struct fleet *fleet, int index);
/** Starts the target of a node. @p args are options of targetservice, separated by spaces. */
void fleet_add_target(struct fleet *fleet, int index, const char *args);
void process_signal(struct process *process, int number);
/**
 * Waits until the process ends. Returns its exit status, 128 + the number of the signal that killed
 * it, or -1 after @p timeout_ms.
 */
int process_wait(struct process *process, int timeout_ms);
void process_kill(struct process *process);

/**
 * Runs godwithitch with @p arguments, separated by spaces, after the options for the log and for
 * the control endpoint of a running node in each data centre. Returns its exit status. Appends its
 * output and errors to @p out, if not NULL, with a terminating NUL.
 */
int fleet_tool(struct fleet *fleet, struct strbuf *out, const char *arguments);
/** Writes @p content to the file @p name and applies it with fleet_tool(). */
int fleet_apply(struct fleet *fleet, const char *name, const char *content, struct strbuf *out);
/** Polls @p path of a node's control endpoint for @p text. Returns false after @p timeout_ms. */
bool fleet_wait_text(struct fleet *fleet, int node, const char *path, const char *text,
		     int timeout_ms);
/**
 * Waits until all running nodes are current and count @p live members. Each condition of each node
 * has its own timeout of @p timeout_ms.
 */
bool fleet_wait_live(struct fleet *fleet, int live, int timeout_ms);
/** Sets or clears a fault of the fake log service or store. @p query is, for example, "out=1". */
void fleet_log_fault(struct fleet *fleet, const char *query);
/** Returns the sum of a counter over all its labels, read from a node's metrics. */
int64_t fleet_metric(struct fleet *fleet, int node, const char *name);
/**
 * Returns the number of runs at the running targets by idempotency key. The caller destroys the
 * table.
 */
GHashTable *fleet_runs(struct fleet *fleet);
void wait_ms(int ms);

#endif
