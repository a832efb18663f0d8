/**
 * @file
 * Parser for JSON with comments, used for settings and configuration files. Each value of the tree
 * holds its line and its parent, so that errors (of CONFIG_ERROR) have the form
 * "FILE:LINE: PATH: what was expected".
 */
#ifndef OPERATOR_JSON_H
#define OPERATOR_JSON_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "core/config.h"

enum json_kind {
	JSON_NULL,
	JSON_BOOL,
	JSON_INTEGER,
	JSON_DOUBLE,
	JSON_STRING,
	JSON_ARRAY,
	JSON_OBJECT,
};

/** A JSON value; .kind selects the member of the union. */
struct json {
	enum json_kind kind;
	int line;
	struct json *parent;
	struct str key; /**< key of a member of an object */
	int index;	/**< index of an element of an array */
	bool used;	/**< json_get() has returned it */
	union {
		bool boolean;
		int64_t integer;
		double number;
		struct str string;
		GPtrArray *items; /**< struct json; of arrays and objects */
	};
};

struct json_doc {
	struct str file_name; /**< shown in errors; owned */
	struct json *root;
};

/** Parses @p text. Returns NULL and sets @p error if it is not valid JSON. */
struct json_doc *json_parse(struct str file_name, struct str text, GError **error);
/** Parses @p text, whose strings may be any bytes, also ones that are no UTF-8. */
struct json_doc *json_parse_any_bytes(struct str file_name, struct str text);
void json_free(struct json_doc *doc);

/** Sets @p error to "FILE:LINE: PATH: ..." and returns false. */
bool json_fail(const struct json_doc *doc, const struct json *value, enum config_error code,
	       GError **error, const char *format, ...) __attribute__((format(printf, 5, 6)));

/** Returns the member of @p object with the given key, or NULL, and marks it as used. */
struct json *json_get(const struct json *object, struct str key);

/** Whether a key must be present. */
enum json_presence { JSON_OPTIONAL, JSON_REQUIRED };

/* Checked access. Each function returns false and sets @p error on a wrong type, a bad value or a
 * missing key. If an optional key is absent, json_read_member() sets *out to NULL, and the other
 * functions leave it unchanged. */
bool json_check_kind(const struct json_doc *doc, const struct json *value, enum json_kind kind,
		     GError **error);
bool json_read_str(const struct json_doc *doc, const struct json *object, struct str key,
		   enum json_presence presence, struct str *out, GError **error);
bool json_read_label(const struct json_doc *doc, const struct json *object, struct str key,
		     enum json_presence presence, struct label *out, GError **error);
bool json_read_int(const struct json_doc *doc, const struct json *object, struct str key,
		   enum json_presence presence, int64_t min, int64_t max, int64_t *out,
		   GError **error);
/** Reads a member of the given kind. */
bool json_read_member(const struct json_doc *doc, const struct json *object, struct str key,
		      enum json_presence presence, enum json_kind kind, struct json **out,
		      GError **error);
/** Fails on the first member that json_get() has not returned: its key is unknown. */
bool json_check_unknown_keys(const struct json_doc *doc, const struct json *object, GError **error);
/** Fails unless @p name fits a label and holds only letters, digits, '-', '_' and '.'. */
bool json_check_name(const struct json_doc *doc, const struct json *value, struct str name,
		     GError **error);

#endif
