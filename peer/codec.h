/**
 * @file
 * Encodes core messages to bytes and decodes them.
 */
#ifndef PEER_CODEC_H
#define PEER_CODEC_H

#include "core/message.h"

/** Appends the encoded message. */
void codec_encode(const struct message *message, struct strbuf *out);
/** Returns NULL if the bytes are not a valid message. The contents of changes are not parsed. */
struct message *codec_decode(struct str bytes);

#endif
