#include "operator/json.h"

#include <errno.h>
#include <string.h>
#include <yajl/yajl_parse.h>

enum { DEPTH_MAX = 32 };

struct builder {
	struct json_doc *doc;
	yajl_handle handle;
	struct str text;
	size_t scanned; /* bytes whose newlines are counted in line */
	int line;
	struct json *container; /* innermost open array or object */
	int depth;
	struct str key;
	const char *error_text; /* error of the builder; NULL: none, yajl's text applies */
};

static int current_line(struct builder *b)
{
	size_t consumed = yajl_get_bytes_consumed(b->handle);

	for (; b->scanned < consumed && b->scanned < b->text.len; b->scanned++)
		b->line += b->text.data[b->scanned] == '\n';
	return b->line;
}

static void value_free(gpointer data)
{
	struct json *value = data;

	g_free((char *)value->key.data);
	switch (value->kind) {
	case JSON_STRING:
		g_free((char *)value->string.data);
		break;
	case JSON_ARRAY:
	case JSON_OBJECT:
		g_ptr_array_unref(value->items);
		break;
	case JSON_NULL:
	case JSON_BOOL:
	case JSON_INTEGER:
	case JSON_DOUBLE:
		break;
	}
	g_free(value);
}

static bool has_key(const struct json *object, struct str key)
{
	for (guint i = 0; i < object->items->len; i++) {
		const struct json *item = g_ptr_array_index(object->items, i);

		if (str_equal(item->key, key))
			return true;
	}
	return false;
}

/* Adds a value to the innermost container. A duplicate key returns NULL and sets b->error_text. */
static struct json *add_value(struct builder *b, enum json_kind kind)
{
	struct json *value = g_new0(struct json, 1);

	value->kind = kind;
	value->line = current_line(b);
	value->parent = b->container;
	if (!b->container) {
		b->doc->root = value;
		return value;
	}
	if (b->container->kind == JSON_OBJECT && has_key(b->container, b->key)) {
		b->error_text = "the key stands twice";
		g_free((char *)b->key.data);
		b->key = (struct str){ 0 };
		g_free(value);
		return NULL;
	}
	value->key = b->key;
	b->key = (struct str){ 0 };
	value->index = (int)b->container->items->len;
	g_ptr_array_add(b->container->items, value);
	return value;
}

static int on_null(void *context)
{
	return add_value(context, JSON_NULL) != NULL;
}

static int on_boolean(void *context, int boolean)
{
	struct json *value = add_value(context, JSON_BOOL);

	if (value)
		value->boolean = boolean;
	return value != NULL;
}

/* A number that no integer can hold becomes a floating-point one, which may be infinite: it is an
 * error only for the code that reads it, and not in a field that is ignored. */
static int on_number(void *context, const char *data, size_t len)
{
	char *text = str_to_cstr((struct str){ data, len });
	struct json *value;
	char *end = text;
	int64_t integer;
	bool fits;

	errno = 0;
	integer = g_ascii_strtoll(text, &end, 10);
	fits = errno == 0 && *end == '\0';
	value = add_value(context, fits ? JSON_INTEGER : JSON_DOUBLE);
	if (value && fits)
		value->integer = integer;
	else if (value)
		value->number = g_ascii_strtod(text, NULL);
	g_free(text);
	return value != NULL;
}

static int on_string(void *context, const unsigned char *data, size_t len)
{
	struct json *value = add_value(context, JSON_STRING);

	if (value)
		value->string = str_dup((struct str){ (const char *)data, len });
	return value != NULL;
}

static int on_key(void *context, const unsigned char *data, size_t len)
{
	struct builder *b = context;

	g_free((char *)b->key.data);
	b->key = str_dup((struct str){ (const char *)data, len });
	return 1;
}

static int open_container(struct builder *b, enum json_kind kind)
{
	struct json *value;

	if (++b->depth > DEPTH_MAX) {
		b->error_text = "nested too deep";
		return 0;
	}
	value = add_value(b, kind);
	if (!value)
		return 0;
	value->items = g_ptr_array_new_with_free_func(value_free);
	b->container = value;
	return 1;
}

static int on_start_map(void *context)
{
	return open_container(context, JSON_OBJECT);
}

static int on_start_array(void *context)
{
	return open_container(context, JSON_ARRAY);
}

static int on_end_container(void *context)
{
	struct builder *b = context;

	b->container = b->container->parent;
	b->depth--;
	return 1;
}

static const yajl_callbacks callbacks = {
	.yajl_null = on_null,
	.yajl_boolean = on_boolean,
	.yajl_number = on_number,
	.yajl_string = on_string,
	.yajl_start_map = on_start_map,
	.yajl_map_key = on_key,
	.yajl_end_map = on_end_container,
	.yajl_start_array = on_start_array,
	.yajl_end_array = on_end_container,
};

/* Sets the error to the builder's own text, or else to the first line of yajl's message. */
static void set_syntax_error(struct builder *b, GError **error)
{
	unsigned char *text = yajl_get_error(b->handle, 0, NULL, 0);
	const char *message = b->error_text ? b->error_text : (const char *)text;
	struct str rest;
	struct str first = str_split(str_from_cstr(message), '\n', &rest);

	g_set_error(error, CONFIG_ERROR, CONFIG_ERROR_SYNTAX, "%.*s:%d: %.*s",
		    STR_ARG(b->doc->file_name), current_line(b), STR_ARG(first));
	yajl_free_error(b->handle, text);
}

static struct json_doc *parse(struct str file_name, struct str text, bool any_bytes, GError **error)
{
	struct builder b = { .doc = g_new0(struct json_doc, 1), .text = text, .line = 1 };
	bool valid;

	b.doc->file_name = str_dup(file_name);
	b.handle = yajl_alloc(&callbacks, NULL, &b);
	yajl_config(b.handle, yajl_allow_comments, 1);
	yajl_config(b.handle, yajl_dont_validate_strings, any_bytes);
	valid = yajl_parse(b.handle, (const unsigned char *)text.data, text.len) == yajl_status_ok;
	if (valid) {
		/* Errors of yajl_complete_parse() are reported at the last line of the text. */
		current_line(&b);
		valid = yajl_complete_parse(b.handle) == yajl_status_ok && b.doc->root;
	}
	if (!valid)
		set_syntax_error(&b, error);
	yajl_free(b.handle);
	g_free((char *)b.key.data);
	if (valid)
		return b.doc;
	json_free(b.doc);
	return NULL;
}

struct json_doc *json_parse(struct str file_name, struct str text, GError **error)
{
	return parse(file_name, text, false, error);
}

struct json_doc *json_parse_any_bytes(struct str file_name, struct str text)
{
	return parse(file_name, text, true, NULL);
}

void json_free(struct json_doc *doc)
{
	if (!doc)
		return;
	if (doc->root)
		value_free(doc->root);
	g_free((char *)doc->file_name.data);
	g_free(doc);
}

static void print_path(struct strbuf *out, const struct json *value)
{
	if (!value->parent)
		return;
	print_path(out, value->parent);
	if (value->parent->kind == JSON_ARRAY)
		strbuf_addf(out, "[%d]", value->index);
	else
		strbuf_addf(out, "%s%.*s", out->len ? "." : "", STR_ARG(value->key));
}

bool json_fail(const struct json_doc *doc, const struct json *value, enum config_error code,
	       GError **error, const char *format, ...)
{
	struct strbuf path = { 0 };
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	print_path(&path, value);
	g_set_error(error, CONFIG_ERROR, code, "%.*s:%d: %.*s%s%s", STR_ARG(doc->file_name),
		    value->line, STR_ARG(strbuf_str(&path)), path.len ? ": " : "", text);
	strbuf_clear(&path);
	g_free(text);
	return false;
}

struct json *json_get(const struct json *object, struct str key)
{
	for (guint i = 0; i < object->items->len; i++) {
		struct json *item = g_ptr_array_index(object->items, i);

		if (!str_equal(item->key, key))
			continue;
		item->used = true;
		return item;
	}
	return NULL;
}

static const char *kind_name(enum json_kind kind)
{
	switch (kind) {
	case JSON_NULL:
		return "null";
	case JSON_BOOL:
		return "true or false";
	case JSON_INTEGER:
		return "a whole number";
	case JSON_DOUBLE:
		return "a number";
	case JSON_STRING:
		return "a string";
	case JSON_ARRAY:
		return "an array";
	case JSON_OBJECT:
		return "an object";
	}
	g_assert_not_reached();
}

bool json_check_kind(const struct json_doc *doc, const struct json *value, enum json_kind kind,
		     GError **error)
{
	if (value->kind == kind)
		return true;
	return json_fail(doc, value, CONFIG_ERROR_TYPE, error, "expected %s, found %s",
			 kind_name(kind), kind_name(value->kind));
}

bool json_read_member(const struct json_doc *doc, const struct json *object, struct str key,
		      enum json_presence presence, enum json_kind kind, struct json **out,
		      GError **error)
{
	*out = json_get(object, key);
	if (*out)
		return json_check_kind(doc, *out, kind, error);
	switch (presence) {
	case JSON_OPTIONAL:
		return true;
	case JSON_REQUIRED:
		return json_fail(doc, object, CONFIG_ERROR_TYPE, error,
				 "the key \"%.*s\" is missing, expected %s", STR_ARG(key),
				 kind_name(kind));
	}
	g_assert_not_reached();
}

bool json_read_str(const struct json_doc *doc, const struct json *object, struct str key,
		   enum json_presence presence, struct str *out, GError **error)
{
	struct json *value;

	if (!json_read_member(doc, object, key, presence, JSON_STRING, &value, error))
		return false;
	if (value)
		*out = value->string;
	return true;
}

bool json_check_name(const struct json_doc *doc, const struct json *value, struct str name,
		     GError **error)
{
	bool valid = name.len > 0 && label_fits(name);

	for (size_t i = 0; valid && i < name.len; i++)
		valid = g_ascii_isalnum(name.data[i]) || strchr("-_.", name.data[i]) != NULL;
	if (valid)
		return true;
	return json_fail(doc, value, CONFIG_ERROR_TYPE, error,
			 "\"%.*s\": expected a name of 1 to %d letters, digits, '-', '_' or '.'",
			 STR_ARG(name), LABEL_MAX_BYTES);
}

bool json_read_label(const struct json_doc *doc, const struct json *object, struct str key,
		     enum json_presence presence, struct label *out, GError **error)
{
	struct json *value;

	if (!json_read_member(doc, object, key, presence, JSON_STRING, &value, error))
		return false;
	if (!value)
		return true;
	if (!json_check_name(doc, value, value->string, error))
		return false;
	*out = label_from(value->string);
	return true;
}

bool json_read_int(const struct json_doc *doc, const struct json *object, struct str key,
		   enum json_presence presence, int64_t min, int64_t max, int64_t *out,
		   GError **error)
{
	struct json *value;

	if (!json_read_member(doc, object, key, presence, JSON_INTEGER, &value, error))
		return false;
	if (!value)
		return true;
	if (value->integer < min || value->integer > max)
		return json_fail(doc, value, CONFIG_ERROR_TYPE, error,
				 "%ld: expected a number from %ld to %ld", value->integer, min,
				 max);
	*out = value->integer;
	return true;
}

bool json_check_unknown_keys(const struct json_doc *doc, const struct json *object, GError **error)
{
	for (guint i = 0; i < object->items->len; i++) {
		const struct json *item = g_ptr_array_index(object->items, i);

		if (!item->used)
			return json_fail(doc, item, CONFIG_ERROR_TYPE, error, "unknown key");
	}
	return true;
}
