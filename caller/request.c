#include "caller/request.h"

struct query {
	struct strbuf *out;
	char separator;
};

/* MHD turns '+' into a blank, which no raw query holds otherwise. */
static void add_raw(struct strbuf *out, const char *text)
{
	for (; *text; text++)
		strbuf_add(out, (struct str){ *text == ' ' ? "+" : text, 1 });
}

/* MHD takes the query apart, so that it is put together again. */
static enum MHD_Result on_argument(void *context, enum MHD_ValueKind kind, const char *name,
				   const char *value)
{
	struct query *query = context;

	(void)kind;
	strbuf_add(query->out, (struct str){ &query->separator, 1 });
	query->separator = '&';
	add_raw(query->out, name);
	if (value) {
		strbuf_add(query->out, STR("="));
		add_raw(query->out, value);
	}
	return MHD_YES;
}

struct str request_target(struct MHD_Connection *connection, const char *url)
{
	struct strbuf out = { 0 };
	struct query query = { &out, '?' };
	struct str target;

	strbuf_add(&out, str_from_cstr(url));
	MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, on_argument, &query);
	target = str_dup(strbuf_str(&out));
	strbuf_clear(&out);
	return target;
}
