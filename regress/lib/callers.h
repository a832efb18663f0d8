/**
 * @file
 * The server for callers with a handler that keeps its calls, and raw connections to it.
 */
#ifndef REGRESS_LIB_CALLERS_H
#define REGRESS_LIB_CALLERS_H

#include "regress/lib/check.h"

#include <pthread.h>

#include "caller/connection.h"

/** The first chunk of callers_begin_upload(): a body that is larger than small ones. */
enum { CALLERS_UPLOAD_BYTES = SMALL_BODY_BYTES + 1 };

/** State of the handler. The mutex guards it. */
struct callers {
	pthread_mutex_t mutex; /**< the thread sanitizer does not see the locks of GLib */
	pthread_cond_t changed;
	struct caller *caller;
	struct memory *memory; /**< the server's account */
	GPtrArray *calls;      /**< struct caller_call, one reference each, in the order of READY */
	gulong ready_wait_us;  /**< READY takes so long */
	int handling;	       /**< events of the newest call that are being handled */
	int ready;
	int ended;
	bool ended_while_handling;
	int uploaded;
};

extern struct callers callers;

/** Test fixtures: start and stop the server. */
int callers_set_up(void **state);
/** With one worker, which handles the events of all connections in their order. */
int callers_set_up_ordered(void **state);
int callers_tear_down(void **state);
/** Returns a connected socket. */
int callers_connect(void);
void callers_send(int fd, const char *text);
/** Sends the head of a POST request with the lines @p fields and a first chunk of
 *  CALLERS_UPLOAD_BYTES, so that its body is streamed; its last chunk does not follow. */
void callers_begin_upload(int fd, const char *target, const char *fields);
/** Waits until *counter, a member of callers, is at least @p count. */
void callers_wait(const int *counter, int count);
/** Waits for the call with this index, in the order of READY. */
struct caller_call *callers_call(int index);
/** Releases all calls; the next one has index 0. */
void callers_release(void);
/** Reads until the end of the connection, or until nothing arrives for a while; ends with 0. */
struct strbuf callers_read(int fd, int wait_ms);
/** Waits for the end of the connection; false if more bytes come, or neither. */
bool callers_ended(int fd);

#endif
