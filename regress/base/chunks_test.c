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
	BODY("A\r\n\r\n\r\n0\r\n\r\n\r\n\r\n0\r\n\r\n"),
	BODY("4;name=value;0\r\nbody\r\n0;last\r\n\r\n"),
	BODY("4 \r\nbody\r\n0\r\nX-Trailer: 0\r\nX-Other:\r\n\r\n"),
	BODY("4\nbody\n0\n\n"),
	BODY("1e\r\n0\r\n\r\n0\r\n\r\n0\r\n\r\n0\r\n\r\n0\r\n\r\n0\r\n\r\n\r\n0\r\n\r\n"),
#undef BODY
};

static void test_body_ends_with_its_last_byte(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++)
		for (size_t len = 0; len <= bodies[i].len; len++)
			for (size_t split = 0; split <= len; split++) {
				struct chunks chunks = { 0 };
				bool whole = len == bodies[i].len;

				chunks_read(&chunks, str_sub(bodies[i], 0, split));
				chunks_read(&chunks, str_sub(bodies[i], split, len - split));
				if ((chunks.state == CHUNKS_ENDED) != whole)
					fail_msg("body %zu, %zu bytes: state %d", i, len,
						 chunks.state);
			}
}

static void test_bytes_behind_the_end_change_nothing(void **state)
{
	struct chunks chunks = { 0 };

	(void)state;
	chunks_read(&chunks, STR("4\r\nbody\r\n0\r\n\r\nHTTP/1.1 200 OK\r"));
	assert_int_equal(chunks.state, CHUNKS_ENDED);
	chunks_read(&chunks, STR("\n5\r\nfi"));
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
			chunks_read(&chunks, chunk);
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
		cmocka_unit_test(test_bytes_behind_the_end_change_nothing),
	};

	return cmocka_run_group_tests_name("base/chunks", tests, NULL, NULL);
}
