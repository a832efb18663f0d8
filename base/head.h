/**
 * @file
 * Reader of the head of an HTTP answer, line by line. It takes nothing for a head that the protocol
 * does not allow: a peer that breaks an answer off and sends another one joins the two.
 */
#ifndef BASE_HEAD_H
#define BASE_HEAD_H

#include <glib.h>

#include "base/str.h"

/** What ends the body of an answer. */
enum head_framing {
	FRAMING_NONE, /**< there is no body */
	FRAMING_LENGTH,
	FRAMING_CHUNKS,
	FRAMING_CLOSE, /**< the end of the connection */
};

/** Returns the framing's name for log lines. */
struct str head_framing_name(enum head_framing framing);

/** Returns whether a byte may stand in the name of a field. */
bool head_is_name_byte(char byte);
/** Returns whether a byte is a tab or no control byte, as those of a field's value are. */
bool head_is_text_byte(char byte);

/** A header field, without the white space around its value. */
struct head_field {
	struct str name;
	struct str value;
};

/** A whole head. Its strings belong to the reader. */
struct head {
	int status; /**< 200 to 599 */
	enum head_framing framing;
	int64_t content_length; /**< as stated; -1: not stated, or the body is in chunks */
	bool persistent;	/**< the connection may serve another request */
	const struct head_field *fields;
	int field_count;
};

enum head_state {
	HEAD_STATUS_LINE, /**< a status line comes next */
	HEAD_FIELDS,	  /**< a field or the empty line comes next */
	HEAD_ENDED,
	HEAD_MALFORMED, /**< the lines are no head; .problem says why */
};

/** A reader; the members are read only. */
struct head_reader {
	enum head_state state;
	struct head head;	/**< HEAD_ENDED */
	const char *problem;	/**< HEAD_MALFORMED */
	struct str unique_name; /**< a field that may not come with two values; empty: none */
	bool no_body;		/**< the answer has no body, as that to a HEAD request */
	bool chunked;
	struct strbuf text; /**< names and values, one after the other */
	GArray *lengths;    /**< of each name and value (size_t) */
	GArray *fields;	    /**< struct head_field, once the head has ended */
	struct str unique_value;
};

void head_reader_init(struct head_reader *reader, struct str unique_name, bool no_body);
void head_reader_clear(struct head_reader *reader);

/** Reads a line with its end, CR and LF. Interim (1xx) heads are read and forgotten. Returns the
 * new state. */
enum head_state head_reader_add(struct head_reader *reader, struct str line);

#endif
