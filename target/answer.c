#include "target/answer.h"

#include <glib.h>

enum { STATUS_REDIRECT = 300 };

bool answer_is_hop_by_hop(struct str name)
{
	static const char *const names[] = { "connection", "keep-alive", "transfer-encoding", "te",
					     "trailer",	   "upgrade",	 "proxy-connection" };

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (str_equal_nocase(name, str_from_cstr(names[i])))
			return true;
	return false;
}

static bool is_forwarded(struct str name)
{
	return !answer_is_hop_by_hop(name) && !str_equal_nocase(name, STR("content-length"));
}

/* Copies the fields that are forwarded; false if there are more than fit. */
static bool copy_fields(struct answer *answer, const struct head *from)
{
	size_t bytes = 0;

	for (int i = 0; i < from->field_count; i++)
		bytes += from->fields[i].name.len + from->fields[i].value.len;
	/* The views need a text that does not move. */
	strbuf_reserve(&answer->text, bytes + 1);
	for (int i = 0; i < from->field_count; i++) {
		const struct head_field *field = &from->fields[i];
		const char *text = answer->text.data + answer->text.len;

		if (!is_forwarded(field->name))
			continue;
		if (answer->head.field_count == FIELDS_MAX)
			return false;
		strbuf_add(&answer->text, field->name);
		strbuf_add(&answer->text, field->value);
		answer->head.fields[answer->head.field_count++] =
			(struct field){ { text, field->name.len },
					{ text + field->name.len, field->value.len } };
	}
	return true;
}

static const struct field *find_field(const struct field *fields, int count, struct str name)
{
	for (int i = 0; name.len && i < count; i++)
		if (str_equal_nocase(fields[i].name, name))
			return &fields[i];
	return NULL;
}

static struct str field_value(const struct field *fields, int count, struct str name)
{
	const struct field *field = find_field(fields, count, name);

	return field ? field->value : STR("");
}

/* Returns whether the answer belongs to the request and, if it is a success, carries the target's
 * signature (where the interface has one). A target may send an earlier answer once more: without
 * the id of this request, even a refusal says nothing about it. */
static bool matches(const struct response_head *head, const struct dialect *dialect,
		    const struct request_head *request)
{
	struct str name = dialect->request_id;
	struct str request_id = field_value(request->fields, request->field_count, name);
	struct str answer_id = field_value(head->fields, head->field_count, name);

	if (request_id.len && !str_equal(request_id, answer_id))
		return false;
	if (dialect->signature.len == 0 || head->status >= STATUS_REDIRECT)
		return true;
	/* Callers ask for bodies without a content encoding. */
	return field_value(head->fields, head->field_count, dialect->signature).len > 0 &&
	       field_value(head->fields, head->field_count, STR("content-encoding")).len == 0;
}

static enum answer_kind kind_from_statement(const struct response_head *head,
					    const struct dialect *dialect)
{
	bool has_field = find_field(head->fields, head->field_count, dialect->not_run) != NULL;

	switch (dialect_answer_statement(dialect, head->status, has_field)) {
	case STATES_NOT_RUN:
		return ANSWER_REFUSAL;
	case STATES_NOTHING:
	case STATES_RAN:
		return ANSWER_TAKEN;
	}
	g_assert_not_reached();
}

void answer_read(struct answer *answer, const struct dialect *dialect,
		 const struct request_head *request, const struct head *from)
{
	answer->head = (struct response_head){ .status = from->status,
					       .body_length = from->content_length };
	if (!copy_fields(answer, from) || !matches(&answer->head, dialect, request))
		answer->kind = ANSWER_FOREIGN;
	else
		answer->kind = kind_from_statement(&answer->head, dialect);
}

void answer_clear(struct answer *answer)
{
	strbuf_clear(&answer->text);
}
