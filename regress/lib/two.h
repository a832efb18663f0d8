/**
 * @file
 * A fleet of two nodes in two data centres, the second with a target: what the tests of the path
 * start from.
 */
#ifndef REGRESS_TWO_H
#define REGRESS_TWO_H

#include "regress/lib/fleet.h"

#define ROUTES                                                                                     \
	"\"routes\": ["                                                                            \
	"{\"name\": \"read\", \"path\": \"/\", \"service\": \"registre\","                         \
	" \"repeat\": \"idempotent\", \"tenant_header\": \"X-Studio\", \"deadline_ms\": 60000},"   \
	"{\"name\": \"write\", \"path\": \"/write\", \"service\": \"registre\"},"                  \
	"{\"name\": \"brief\", \"path\": \"/hang\", \"service\": \"registre\","                    \
	" \"deadline_ms\": 500}]"
#define FILE_GOOD                                                                                  \
	"{ // the test's services\n"                                                               \
	"\"services\": {\"registre\": {\"versions\": {\"v1\": {\"share\": 100}}}},\n" ROUTES "}"

enum { MIB = 1 << 20 };

/** The fleet of the test that runs. */
extern struct fleet *fleet;

/** Starts it; @p target_args as for fleet_add_target(). */
struct fleet *two_start(const char *target_args);
/** A cmocka teardown. */
int two_stop(void **state);
struct http_reply two_call(int node, const char *path, struct http_options *options);
long two_status(int node, const char *path);

/** A call on a thread of its own. */
struct download {
	int node;
	struct http_options options;
	struct http_reply reply;
	GThread *thread;
	const char *path;
};

void start_download(struct download *download, int node, const char *path);

#endif
