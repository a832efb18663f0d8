/**
 * @file
 * Reports for operators, as JSON text.
 */
#ifndef OPERATOR_REPORT_H
#define OPERATOR_REPORT_H

#include "core/node.h"

/* Each function appends one JSON value to @p out. */
void report_status(struct node *node, struct instant now, struct strbuf *out);
void report_members(struct node *node, struct strbuf *out);
void report_moves(struct node *node, struct instant now, struct strbuf *out);
void report_history(struct node *node, struct strbuf *out);
void report_files(struct node *node, struct strbuf *out);
void report_change_result(const struct apply_result *result, struct strbuf *out);
void report_census(const struct census *census, struct strbuf *out);

#endif
