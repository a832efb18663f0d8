/**
 * @file
 * Report on calls from the logs of nodes: by second, by route and by reason of a refusal or
 * failure, as a table and as a chart.
 */
#ifndef OPERATOR_CALLREPORT_H
#define OPERATOR_CALLREPORT_H

#include <stdint.h>

#include "base/str.h"

struct call_report;

struct call_report *call_report_new(void);
void call_report_free(struct call_report *report);

/** Counts one line of a log. Lines other than ended calls and loaded targets are ignored. */
void call_report_add(struct call_report *report, struct str line);
/** Returns the number of calls counted. */
int64_t call_report_calls(const struct call_report *report);
/** Appends the tables. */
void call_report_print(struct call_report *report, struct strbuf *out);
/** Appends an SVG chart: calls of each second that were answered, refused, failed or abandoned. */
void call_report_draw(struct call_report *report, struct strbuf *out);

#endif
