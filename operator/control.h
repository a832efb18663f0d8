/**
 * @file
 * The control endpoint: status, history, files and metrics over HTTP, for the tool and scrapers.
 * It changes nothing: operators act through files in the log only.
 */
#ifndef OPERATOR_CONTROL_H
#define OPERATOR_CONTROL_H

#include "base/counter.h"
#include "core/node.h"

struct control;

struct control_options {
	uint32_t ipv4;
	uint16_t port;
	struct node *node;
	struct metrics *metrics;
	void (*handle)(void *context,
		       struct actions *actions); /**< carries out the actions of a census */
	void *context;
};

struct control *control_new(const struct control_options *options, GError **error);
void control_free(struct control *control);
uint16_t control_port(const struct control *control);

#endif
