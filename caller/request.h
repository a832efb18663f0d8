/**
 * @file
 * What libmicrohttpd takes apart of a request, put together again; internal to caller/.
 */
#ifndef CALLER_REQUEST_H
#define CALLER_REQUEST_H

#include <microhttpd.h>

#include "base/str.h"

/** Path and query as the caller wrote them; the caller owns .data. */
struct str request_target(struct MHD_Connection *connection, const char *url);

#endif
