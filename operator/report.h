/**
 * @file
 * What operators are told, as JSON text.
 */
#ifndef OPERATOR_REPORT_H
#define OPERATOR_REPORT_H

#include "core/node.h"

/* Each appends one JSON value. */
void report_status(struct node *node, struct instant now, struct strbuf *out);
void report_members(struct node *node, struct strbuf *out);
void report_moves(struct node *node, struct instant now, struct strbuf *out);
void report_history(struct node *node, struct strbuf *out);
void report_files(struct node *node, struct strbuf *out);
void report_judgement(const struct judgement *judgement, struct strbuf *out);
void report_census(const struct census *census, struct strbuf *out);

#endif
