/**
 * @file
 * JSON with comments as a tree whose values know their line and path, and checked access to it.
 * Used for settings and for configuration files. Errors are of CONFIG_ERROR and worded
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

/** A value; the tag says which member holds. */
struct json {
	enum json_kind kind;
	int line;
	struct json *parent;
	struct str key; /**< in an object */
	int index;	/**< in an array */
	bool used;	/**< somebody asked for it */
	union {
		bool boolean;
		int64_t integer;
		double number;
		struct str string;
		GPtrArray *items; /**< struct json, of arrays and objects */
	};
};

struct json_doc {
	struct str file; /**< name for errors, owned */
	struct json *root;
};

struct json_doc *json_parse(struct str file, struct str text, GError **error);
void json_free(struct json_doc *doc);

/** Sets @p error to "FILE:LINE: PATH: ..."; always false. */
bool json_fail(const struct json_doc *doc, const struct json *at, enum config_error code,
	       GError **error, const char *format, ...) __attribute__((format(printf, 5, 6)));

/** A member of an object by key, or NULL; marks it as used. */
struct json *json_get(const struct json *object, struct str key);

/** Whether a key must be there. */
enum json_need { JSON_OPTIONAL, JSON_REQUIRED };

/* Checked access: false with @p error on a wrong type, a bad value or a missing key. An optional
 * key that is not there leaves *out as it is. */
bool json_want_kind(const struct json_doc *doc, const struct json *value, enum json_kind kind,
		    GError **error);
bool json_take_str(const struct json_doc *doc, const struct json *object, struct str key,
		   enum json_need need, struct str *out, GError **error);
bool json_take_label(const struct json_doc *doc, const struct json *object, struct str key,
		     enum json_need need, struct label *out, GError **error);
bool json_take_int(const struct json_doc *doc, const struct json *object, struct str key,
		   enum json_need need, int64_t min, int64_t max, int64_t *out, GError **error);
/** An array or object member; *out is NULL if it is not there. */
bool json_take(const struct json_doc *doc, const struct json *object, struct str key,
	       enum json_need need, enum json_kind kind, struct json **out, GError **error);
/** Fails on the first member that nobody asked for. */
bool json_all_used(const struct json_doc *doc, const struct json *object, GError **error);
/** Fails unless @p s fits a label and holds letters, digits, '-', '_' and '.'. */
bool json_check_name(const struct json_doc *doc, const struct json *at, struct str s,
		     GError **error);

#endif
