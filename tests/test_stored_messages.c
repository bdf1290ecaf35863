/* Messages as this version and earlier ones said and stored them: tests/data/messages*, made by
 * tests/make_stored_data.c.
 * Names are free to change; a number, a type or a value is not. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_strings.h>
#include <cmocka.h>

#include "stored_files.h"
#include "stored_walk.h"

/* The folders of tests/data, oldest first: a version that adds fields adds one. The last one is this
 * version's. */
static const char *const versions[] = { "messages", "messages-2", "messages-3" };
enum { VERSIONS = sizeof versions / sizeof *versions };

static apr_pool_t *pool;

static const char *data_text(const char *version, const char *name)
{
	size_t n;
	const char *path = apr_psprintf(pool, "%s/%s/%s", TEST_DATA, version, name),
		   *text = file_read(path, &n, pool);

	if (!text)
		fail_msg("%s cannot be read", path);
	return text;
}

static uint8_t *stored_bytes(const char *version, int root, uint32_t one, size_t *n)
{
	uint8_t *data =
	    hex_bytes(data_text(version, apr_psprintf(pool, "%d-%u.hex", root, (unsigned)one)), n, pool);

	assert_non_null(data);
	return data;
}

/* Move past a line. */
static const char *next_line(const char *text)
{
	size_t length = strcspn(text, "\n");

	return text + length + (text[length] != 0);
}

static int same_line(const char *a, const char *b)
{
	size_t length = strcspn(a, "\n");

	return length == strcspn(b, "\n") && !strncmp(a, b, length);
}

/* A later version may add fields, in a folder of its own; none that an earlier one had is gone or is another.
 */
static void each_field_has_the_number_type_and_label_that_it_had(void **state)
{
	(void)state;
	for (int version = 0; version < VERSIONS; version++) {
		const char *then = data_text(versions[version], "fields.txt");
		const char *now = version + 1 < VERSIONS ? data_text(versions[version + 1], "fields.txt")
							 : walk_schema(pool);
		int may_add = version + 1 < VERSIONS;

		while (*then || *now) {
			if (*then && same_line(then, now))
				then = next_line(then);
			else if (!may_add || !*now)
				fail_msg("%s: it was \"%.*s\" and is \"%.*s\"", versions[version],
					 (int)strcspn(then, "\n"), then, (int)strcspn(now, "\n"), now);
			now = next_line(now);
		}
	}
}

static void every_kind_of_message_is_looked_at(void **state)
{
	(void)state;
	assert_int_equal(walk_kinds(), strtol(data_text(versions[VERSIONS - 1], "kinds.txt"), NULL, 10));
	for (int version = 1; version < VERSIONS; version++)
		assert_true(strtol(data_text(versions[version], "kinds.txt"), NULL, 10) >=
			    strtol(data_text(versions[version - 1], "kinds.txt"), NULL, 10));
}

static void a_message_with_every_field_set_packs_to_the_bytes_that_it_had(void **state)
{
	(void)state;
	for (int version = 0; version < VERSIONS; version++) {
		walk_as_of(data_text(versions[version], "fields.txt"), pool);
		for (int root = 0; root < WALK_ROOTS; root++) {
			const uint32_t *one = walk_cases(root, pool);

			do {
				size_t n, m;
				const uint8_t *then = stored_bytes(versions[version], root, *one, &n);
				ProtobufCMessage *message = walk_fill(root, *one, pool);
				uint8_t *now =
				    apr_palloc(pool, protobuf_c_message_get_packed_size(message) + 1);

				m = protobuf_c_message_pack(message, now);
				if (n != m || memcmp(then, now, n))
					fail_msg("%s: message %d-%u packs to other bytes", versions[version],
						 root, (unsigned)*one);
			} while (*one && *++one);
		}
	}
	walk_as_of(NULL, pool);
}

static void stored_bytes_unpack_to_the_values_that_every_field_had(void **state)
{
	(void)state;
	for (int version = 0; version < VERSIONS; version++) {
		walk_as_of(data_text(versions[version], "fields.txt"), pool);
		for (int root = 0; root < WALK_ROOTS; root++) {
			const uint32_t *one = walk_cases(root, pool);

			do {
				size_t n;
				const uint8_t *then = stored_bytes(versions[version], root, *one, &n);
				ProtobufCMessage *message =
				    protobuf_c_message_unpack(walk_roots[root], NULL, n, then);
				const char *bad;

				if (!message)
					fail_msg("%s: message %d-%u cannot be read", versions[version], root,
						 (unsigned)*one);
				bad = walk_check(root, *one, message, pool);
				if (bad)
					fail_msg("%s: message %d-%u: field %s has another value",
						 versions[version], root, (unsigned)*one, bad);
				protobuf_c_message_free_unpacked(message, NULL);
			} while (*one && *++one);
		}
	}
	walk_as_of(NULL, pool);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_field_has_the_number_type_and_label_that_it_had),
		cmocka_unit_test(every_kind_of_message_is_looked_at),
		cmocka_unit_test(a_message_with_every_field_set_packs_to_the_bytes_that_it_had),
		cmocka_unit_test(stored_bytes_unpack_to_the_values_that_every_field_had),
	};

	apr_initialize();
	apr_pool_create(&pool, NULL);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
