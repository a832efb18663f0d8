/**
 * @file
 * Fixture of the request path tests: two nodes in two data centres, the second with a target.
 */
#ifndef REGRESS_PAIR_H
#define REGRESS_PAIR_H

#include "regress/lib/fleet.h"

#define ROUTES                                                                                     \
	"\"routes\": ["                                                                            \
	"{\"name\": \"read\", \"path\": \"/\", \"service\": \"registre\","                         \
	" \"repeat\": \"idempotent\", \"tenant_header\": \"X-Studio\", \"deadline_ms\": 60000},"   \
	"{\"name\": \"write\", \"path\": \"/write\", \"service\": \"registre\"},"                  \
	"{\"name\": \"brief\", \"path\": \"/hang\", \"service\": \"registre\","                    \
	" \"deadline_ms\": 500}]"
#define VALID_CONFIG_FILE                                                                          \
	"{ // the test's services\n"                                                               \
	"\"services\": {\"registre\": {\"versions\": {\"v1\": {\"share\": 100}}}},\n" ROUTES "}"

enum { MIB = 1 << 20 };

/** Fleet of the current test. */
extern struct fleet *fleet;

/**
 * Starts both nodes and the target and applies VALID_CONFIG_FILE. @p target_args: see
 * fleet_add_target().
 */
struct fleet *pair_start(const char *target_args);
/** Frees the fleet; a cmocka teardown function. */
int pair_stop(void **state);
/** Sends a request to the callers' endpoint of a node. */
struct http_reply pair_call(int node, const char *path, struct http_options *options);
/** Sends a GET request to a node and returns the status of the response. */
long pair_status(int node, const char *path);

/** A request that runs in its own thread. */
struct download {
	int node;
	struct http_options options;
	struct http_reply reply;
	GThread *thread;
	const char *path;
};

/**
 * Starts the request, with a timeout of 60 s; the response body is compared with the target's
 * pattern and not stored. Join download->thread to wait for its end.
 */
void start_download(struct download *download, int node, const char *path);

#endif
