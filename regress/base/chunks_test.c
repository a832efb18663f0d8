/* Bodies in chunks end with their last byte, however they are divided into reads. */
#include "regress/lib/check.h"

#include "base/chunks.h"

static const struct str bodies[] = {
#define BODY(text)                                                                                 \
	{                                                                                          \
		(text), sizeof(text) - 1                                                           \
	}
	BODY("0\r\n\r\n"),
	BODY("4\r\nbody\r\n0\r\n\r\n"),
	BODY("1\r\nb\r\n002\r\nod\r\n1\r\ny\r\n000\r\n\r\n"),
	BODY("B\r\n\r\n\r\n0\r\n\r\n\r\n\r\n0\r\n\r\n"),
	BODY("4;name=value;0\r\nbody\r\n0;last\r\n\r\n"),
	BODY("4 \r\nbody\r\n0\r\nX-Trailer: 0\r\nX-Other:\r\n\r\n"),
	BODY("4\t;name=\"value\"\r\nbody\r\n0\r\n\r\n"),
	BODY("1e\r\n0\r\n\r\n0\r\n\r\n0\r\n\r\n0\r\n\r\n0\r\n\r\n0\r\n\r\n\r\n0\r\n\r\n"),
#undef BODY
};

/* Returns the number of bytes of the body that were decoded. */
static size_t read_all(struct chunks *chunks, struct str input)
{
	size_t decoded = 0;
	struct str bytes;

	while ((bytes = chunks_next(chunks, &input)).len)
		decoded += bytes.len;
	return decoded;
}

static void test_body_ends_with_its_last_byte(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++)
		for (size_t len = 0; len <= bodies[i].len; len++)
			for (size_t split = 0; split <= len; split++) {
				struct chunks chunks = { 0 };
				bool whole = len == bodies[i].len;

				read_all(&chunks, str_sub(bodies[i], 0, split));
				read_all(&chunks, str_sub(bodies[i], split, len - split));
				if ((chunks.state == CHUNKS_ENDED) != whole)
					fail_msg("body %zu, %zu bytes: state %d", i, len,
						 chunks.state);
			}
}

static void test_body_is_decoded(void **state)
{
	struct chunks chunks = { 0 };
	struct str input = STR("1\r\nb\r\n002;x\r\nod\r\n1\r\ny\r\n0\r\nX: 0\r\n\r\nrest");
	struct strbuf body = { NULL, 0, 0 };
	struct str bytes;

	(void)state;
	while ((bytes = chunks_next(&chunks, &input)).len)
		strbuf_add(&body, bytes);
	assert_true(str_equal(strbuf_str(&body), STR("body")));
	assert_true(str_equal(input, STR("rest")));
	assert_int_equal(chunks.data, 4);
	strbuf_clear(&body);
}

/* Bytes that are no chunks must not be taken for a body, nor its end for a later one. */
static void test_what_is_no_chunk_is_malformed(void **state)
{
	static const char *const rows[] = {
		"\r\n",
		"-1\r\n",
		"x\r\n",
		"4\r\nbodyx\r\n",
		"4\r\nbody4\r\nbody\r\n",
		"1111111111111111\r\n",
		"A\r\n\r\n\r\n0\r\n\r\n\r\n\r\n0\r\n\r\n",
		"4\nbody\n0\n\n",
		"4\nbody\r\n0\r\n\r\n",
		"4;name\nbody\r\n0\r\n\r\n",
		"4\r\nbody\n0\r\n\r\n",
		"4\r\nbody\r\r\n0\r\n\r\n",
		"4\r\nbody\r\n0\n\r\n",
		"4\r\nbody\r\n0\r\n\n",
		"4\r\nbody\r\n0\r\nX-Trailer: 1\n\r\n",
		"4\r\nbody\r\n0\r\nX-Trailer: 1\r\r\n\r\n",
		"4 5\r\nbody\r\n0\r\n\r\n",
		"4x\r\nbody\r\n0\r\n\r\n",
		"4,name\r\nbody\r\n0\r\n\r\n",
		"4\rbody\r\n0\r\n\r\n",
		"4 \x01;name\r\nbody\r\n0\r\n\r\n",
		"4;na\x01me\r\nbody\r\n0\r\n\r\n",
		"4;na\rme\r\nbody\r\n0\r\n\r\n",
		"4;name\x7f\r\nbody\r\n0\r\n\r\n",
	};
	int wrong = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct chunks chunks = { 0 };

		read_all(&chunks, str_from_cstr(rows[i]));
		if (chunks.state != CHUNKS_MALFORMED)
			print_message("row %zu: state %d\n", i, chunks.state);
		wrong += chunks.state != CHUNKS_MALFORMED;
	}
	assert_int_equal(wrong, 0);
}

/* A line that is not a trailer field may belong to the next answer. */
static void test_broken_trailer_is_malformed(void **state)
{
	static const char *const lines[] = {
		"no colon\r\n",	       ": no name\r\n", "X Y: 1\r\n",	 "X-Y : 1\r\n",
		" X-Y: 1\r\n",	       "X-Y\t: 1\r\n",	"X\x01Y: 1\r\n", "\x7fX-Y: 1\r\n",
		"X-Y: \x01\r\n",       "X-Y: 1\r1\r\n", "\rX-Y: 1\r\n",	 "X-Y: 1\r\n continued\r\n",
		"HTTP/1.1 200 OK\r\n",
	};
	int wrong = 0;

	(void)state;
	for (size_t i = 0; i < 2 * G_N_ELEMENTS(lines); i++) {
		char *text = g_strdup_printf("4\r\nbody\r\n0\r\n%s%s\r\n",
					     i % 2 ? "X-Other: a\tb\r\n" : "", lines[i / 2]);
		struct chunks chunks = { 0 };

		read_all(&chunks, str_from_cstr(text));
		if (chunks.state != CHUNKS_MALFORMED)
			print_message("line %zu: state %d\n", i / 2, chunks.state);
		wrong += chunks.state != CHUNKS_MALFORMED;
		g_free(text);
	}
	assert_int_equal(wrong, 0);
}

static void test_bytes_behind_the_end_change_nothing(void **state)
{
	struct chunks chunks = { 0 };

	(void)state;
	read_all(&chunks, STR("4\r\nbody\r\n0\r\n\r\nHTTP/1.1 200 OK\r"));
	assert_int_equal(chunks.state, CHUNKS_ENDED);
	read_all(&chunks, STR("\n5\r\nfi"));
	assert_int_equal(chunks.state, CHUNKS_ENDED);
}

/* A chunk of one byte may have a short extension; one with pages of it is no body. */
static void test_body_with_hardly_any_bytes_is_hollow(void **state)
{
	static const struct {
		const char *chunk;
		bool hollow;
	} rows[] = {
		{ "1\r\nb\r\n", false },
		{ "4;name=value;", true },
		{ "4;name=value\r\nbody\r\n", false },
		{ "1;name=value;name=value;name=value\r\nb\r\n", true },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct str chunk = str_from_cstr(rows[i].chunk);
		struct chunks chunks = { 0 };

		while (chunks.total < 1 << 20)
			read_all(&chunks, chunk);
		if (chunks_are_hollow(chunks.total, chunks.data) != rows[i].hollow)
			fail_msg("row %zu: %lu bytes, %lu of the body", i, chunks.total,
				 chunks.data);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_body_with_hardly_any_bytes_is_hollow),
		cmocka_unit_test(test_body_ends_with_its_last_byte),
		cmocka_unit_test(test_body_is_decoded),
		cmocka_unit_test(test_what_is_no_chunk_is_malformed),
		cmocka_unit_test(test_broken_trailer_is_malformed),
		cmocka_unit_test(test_bytes_behind_the_end_change_nothing),
	};

	return cmocka_run_group_tests_name("base/chunks", tests, NULL, NULL);
}
