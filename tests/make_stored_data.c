/* Makes tests/data: what the version of this build stores and says, for tests of later versions to read.
 * The data that is in the repository was made by the version before all names of the code were changed, and stays: what a later
 * version adds goes beside it. Not run by the tests.
 * Usage: build/make_stored_data messages FOLDER */
#include <apr_general.h>
#include <apr_strings.h>
#include <stdio.h>
#include <string.h>

#include "stored_files.h"
#include "stored_walk.h"

static void make_messages(const char *folder, apr_pool_t *pool)
{
	const char *text = walk_schema(pool);

	file_write(apr_psprintf(pool, "%s/fields.txt", folder), text, strlen(text));
	text = apr_psprintf(pool, "%d\n", walk_kinds());
	file_write(apr_psprintf(pool, "%s/kinds.txt", folder), text, strlen(text));
	for (int root = 0; root < WALK_ROOTS; root++) {
		const uint32_t *one = walk_cases(root, pool);

		do {
			ProtobufCMessage *message = walk_fill(root, *one, pool);
			size_t n = protobuf_c_message_get_packed_size(message);
			uint8_t *data = apr_palloc(pool, n + 1);

			(void)protobuf_c_message_pack(message, data);
			text = hex_text(data, n, pool);
			file_write(apr_psprintf(pool, "%s/%d-%u.hex", folder, root, (unsigned)*one), text, strlen(text));
		} while (*one && *++one);
	}
}

int main(int argc, char **argv)
{
	apr_pool_t *pool;

	apr_initialize();
	apr_pool_create(&pool, NULL);
	if (argc == 3 && !strcmp(argv[1], "messages")) {
		make_messages(argv[2], pool);
		return 0;
	}
	(void)fprintf(stderr, "usage: make_stored_data messages FOLDER\n");
	return 2;
}
