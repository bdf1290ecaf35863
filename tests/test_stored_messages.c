/* Messages as earlier versions said and stored them: tests/data/messages, made by tests/make_stored_data.c.
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

static apr_pool_t *pool;

static const char *data_text(const char *name)
{
	size_t n;
	const char *path = apr_psprintf(pool, "%s/messages/%s", TEST_DATA, name),
		   *text = file_read(path, &n, pool);

	if (!text)
		fail_msg("%s cannot be read", path);
	return text;
}

static uint8_t *stored_bytes(int root, uint32_t one, size_t *n)
{
	uint8_t *data = hex_bytes(data_text(apr_psprintf(pool, "%d-%u.hex", root, (unsigned)one)), n, pool);

	assert_non_null(data);
	return data;
}

static void each_field_has_the_number_type_and_label_that_it_had(void **state)
{
	const char *then = data_text("fields.txt"), *now = walk_schema(pool);

	(void)state;
	while (*then || *now) {
		size_t n = strcspn(then, "\n"), m = strcspn(now, "\n");

		if (n != m || strncmp(then, now, n))
			fail_msg("it was \"%.*s\" and is \"%.*s\"", (int)n, then, (int)m, now);
		then += n + (then[n] != 0);
		now += m + (now[m] != 0);
	}
}

static void every_kind_of_message_is_looked_at(void **state)
{
	(void)state;
	assert_int_equal(walk_kinds(), strtol(data_text("kinds.txt"), NULL, 10));
}

static void a_message_with_every_field_set_packs_to_the_bytes_that_it_had(void **state)
{
	(void)state;
	for (int root = 0; root < WALK_ROOTS; root++) {
		const uint32_t *one = walk_cases(root, pool);

		do {
			size_t n, m;
			const uint8_t *then = stored_bytes(root, *one, &n);
			ProtobufCMessage *message = walk_fill(root, *one, pool);
			uint8_t *now = apr_palloc(pool, protobuf_c_message_get_packed_size(message) + 1);

			m = protobuf_c_message_pack(message, now);
			if (n != m || memcmp(then, now, n))
				fail_msg("message %d-%u packs to other bytes", root, (unsigned)*one);
		} while (*one && *++one);
	}
}

static void stored_bytes_unpack_to_the_values_that_every_field_had(void **state)
{
	(void)state;
	for (int root = 0; root < WALK_ROOTS; root++) {
		const uint32_t *one = walk_cases(root, pool);

		do {
			size_t n;
			const uint8_t *then = stored_bytes(root, *one, &n);
			ProtobufCMessage *message =
			    protobuf_c_message_unpack(walk_roots[root], NULL, n, then);
			const char *bad;

			if (!message)
				fail_msg("message %d-%u cannot be read", root, (unsigned)*one);
			bad = walk_check(root, *one, message, pool);
			if (bad)
				fail_msg("message %d-%u: field %s has another value", root, (unsigned)*one,
					 bad);
			protobuf_c_message_free_unpacked(message, NULL);
		} while (*one && *++one);
	}
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
