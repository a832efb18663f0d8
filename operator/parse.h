/**
 * @file
 * Parser of configuration files: turns their text into struct config_file.
 */
#ifndef OPERATOR_PARSE_H
#define OPERATOR_PARSE_H

#include "core/message.h"

/** Returns NULL and sets @p error (CONFIG_ERROR) if @p text is not a valid configuration file. */
struct config_file *parse_config(struct str file, struct str text, GError **error);

/** Parses the content of a change into .parsed, or sets .parse_error. */
void parse_change(struct change *change);
/** Parses the content of all changes in a message. */
void parse_message_changes(struct message *message);
/** Parses the content of all changes in a record of the log. */
void parse_record_changes(struct log_record *record);

#endif
