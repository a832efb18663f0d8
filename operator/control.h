/**
 * @file
 * The control endpoint serves status, history, files and metrics over HTTP to the command-line tool
 * and to scrapers. It changes no configuration: operators publish files to the log for that.
 */
#ifndef OPERATOR_CONTROL_H
#define OPERATOR_CONTROL_H

#include "base/metrics.h"
#include "core/node.h"

struct control;

struct control_options {
	uint32_t ipv4; /**< host byte order */
	uint16_t port; /**< 0: chosen by the kernel */
	struct node *node;
	struct metrics *metrics;
	/** Performs the actions of a census. */
	void (*perform_actions)(void *context, struct actions *actions);
	void *context;
};

/** Starts the endpoint. Returns NULL and sets @p error if the address can't be listened on. */
struct control *control_new(const struct control_options *options, GError **error);
void control_free(struct control *control);
uint16_t control_port(const struct control *control);

#endif
