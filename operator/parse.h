/**
 * @file
 * Configuration files: from text to what they declare.
 */
#ifndef OPERATOR_PARSE_H
#define OPERATOR_PARSE_H

#include "core/message.h"

/** Returns NULL and sets @p error (CONFIG_ERROR) if the text is no configuration file. */
struct config_file *parse_config(struct str file, struct str text, GError **error);

/** Fills in what a change's content declares, or why it does not parse. */
void parse_change(struct change *change);
/** The same for all changes that a message or a record of the log brings. */
void parse_message(struct message *message);
void parse_record(struct log_record *record);

#endif
