/**
 * @file
 * Core's messages to bytes and back.
 */
#ifndef PEER_CODEC_H
#define PEER_CODEC_H

#include "core/message.h"

/** Appends the encoded message. */
void codec_encode(const struct message *message, struct strbuf *out);
/** Returns NULL if the bytes are no message. Contents of changes are not parsed yet. */
struct message *codec_decode(struct str bytes);

#endif
