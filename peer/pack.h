/**
 * @file
 * Packs core types with msgpack, for messages between nodes and records of the platform's log.
 */
#ifndef PEER_PACK_H
#define PEER_PACK_H

#include <msgpack.h>

#include "core/message.h"

/** Initialises a packer that appends to @p out. */
void pack_start(msgpack_packer *packer, struct strbuf *out);

/* Functions that append a value to any msgpack_packer. */
void pack_str(msgpack_packer *out, struct str s);
void pack_label(msgpack_packer *out, const struct label *label);
void pack_members(msgpack_packer *out, const GArray *members);
void pack_change(msgpack_packer *out, const struct change *change);
/** Packs a change without its content, for a record with a delta. */
void pack_change_head(msgpack_packer *out, const struct change *change);
void pack_delta(msgpack_packer *out, const struct delta *delta);
/** Packs a delta with compressed segments if that is smaller; unpack_delta() reads both forms. */
void pack_delta_compressed(msgpack_packer *out, struct delta *delta);
void pack_move_state(msgpack_packer *out, const struct move_state *state);
void pack_claim_op(msgpack_packer *out, const struct claim_op *op);
void pack_snapshot(msgpack_packer *out, const struct snapshot_part *part);

/** A cursor over an array. An invalid item sets .bad; all reads after it yield zero values. */
struct unpack {
	const msgpack_object *items;
	uint32_t remaining;
	bool bad;
};

/**
 * Opens packed bytes that hold one array and nothing else; returns false otherwise. The items
 * borrow from *unpacked, which the caller always destroys. A count that exceeds the bytes is
 * refused before memory is allocated for it.
 */
bool unpack_open(struct str bytes, msgpack_unpacked *unpacked, struct unpack *in);
/** Reads the next item as a nested array. */
struct unpack unpack_inner(struct unpack *in);
uint64_t unpack_u64(struct unpack *in);
int64_t unpack_i64(struct unpack *in);
/** Reads a number from 0 to @p max. */
int unpack_int(struct unpack *in, int max);
bool unpack_bool(struct unpack *in);
/** Reads a string, which borrows from the packed bytes. */
struct str unpack_str(struct unpack *in);
struct label unpack_label(struct unpack *in);
GArray *unpack_members(struct unpack *in);
/** Returns NULL if the change is invalid. */
struct change *unpack_change(struct unpack *in);
/** Never returns NULL; .bad tells if the delta is invalid. */
struct delta *unpack_delta(struct unpack *in);
void unpack_move_state(struct unpack *in, struct move_state *state);
void unpack_claim_op(struct unpack *in, struct claim_op *op);
void unpack_snapshot(struct unpack *in, struct snapshot_part *part);

#endif
