/* Makes tests/data: what the version of this build stores and says, for tests of later versions to read.
 * The data that is in the repository was made by the version before all names of the code were changed, and
 * stays: what a later version adds goes beside it. Not run by the tests. Usage: build/make_stored_data
 * messages|stored|interface FOLDER */
#include <apr_general.h>
#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "stored_files.h"
#include "stored_folders.h"
#include "stored_interface.h"
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
			file_write(apr_psprintf(pool, "%s/%d-%u.hex", folder, root, (unsigned)*one), text,
				   strlen(text));
		} while (*one && *++one);
	}
}

/* Each folder, and beside it what it holds and what state that makes. */
static void make_folder(const char *folder, const char *name, apr_pool_t *pool)
{
	const char *path = apr_psprintf(pool, "%s/%s", folder, name), *text;
	struct world world;

	stored_make(name, path);
	(void)remove(apr_pstrcat(pool, path, "/lock", NULL));
	if (!strcmp(name, "damaged") || !strncmp(name, "torn", 4)) /* as the first */
		return;
	if (world_open(&world, path)) {
		(void)fprintf(stderr, "%s cannot be opened\n", path);
		exit(1);
	}
	text = world_records(&world.found, pool);
	file_write(apr_psprintf(pool, "%s/records.txt", path), text, strlen(text));
	text = world_state(&world, pool);
	file_write(apr_psprintf(pool, "%s/state.txt", path), text, strlen(text));
	world_close(&world);
	(void)remove(apr_pstrcat(pool, path, "/lock", NULL));
}

/* A controller that leads, on a copy of a folder, which goes afterwards. */
static void open_copy(struct world *world, const char *path, const char *copy, apr_pool_t *pool)
{
	size_t n;
	const char *data = file_read(apr_pstrcat(pool, path, "/registrar.tdb", NULL), &n, pool);

	(void)mkdir(copy, 0700);
	file_write(apr_pstrcat(pool, copy, "/registrar.tdb", NULL), data, n);
	if (world_open(world, copy)) {
		(void)fprintf(stderr, "%s cannot be opened\n", copy);
		exit(1);
	}
}

static void close_copy(struct world *world, const char *copy, apr_pool_t *pool)
{
	world_close(world);
	(void)remove(apr_pstrcat(pool, copy, "/registrar.tdb", NULL));
	(void)remove(apr_pstrcat(pool, copy, "/lock", NULL));
	(void)rmdir(copy);
}

/* The document as it is handed back, and the table that it made. */
static void make_document_texts(const char *folder, apr_pool_t *pool)
{
	const char *path = apr_pstrcat(pool, folder, "/document", NULL),
		   *copy = apr_pstrcat(pool, folder, "/copy", NULL);
	struct world world;

	open_copy(&world, path, copy, pool);
	world_run(&world, 4000);
	(void)world_read_document(&world);
	file_write(apr_pstrcat(pool, path, "/document.json", NULL), world.answer.body, world.answer.len);
	(void)world_call(&world, "GET", "/v1/table", "", NULL);
	file_write(apr_pstrcat(pool, path, "/table.json", NULL), world.answer.body, world.answer.len);
	close_copy(&world, copy, pool);
}

static void make_interface(const char *folder, apr_pool_t *pool)
{
	const char *copy = apr_pstrcat(pool, folder, "/copy", NULL), *text;
	struct world world;

	open_copy(&world, TEST_DATA "/stored/entries", copy, pool);
	text = stored_calls(&world);
	file_write(apr_pstrcat(pool, folder, "/calls.txt", NULL), text, strlen(text));
	close_copy(&world, copy, pool);
	text = stored_rows(pool);
	file_write(apr_pstrcat(pool, folder, "/rows.txt", NULL), text, strlen(text));
	text = stored_sheet(pool);
	file_write(apr_pstrcat(pool, folder, "/sheet.txt", NULL), text, strlen(text));
	text = stored_router(pool);
	file_write(apr_pstrcat(pool, folder, "/router.txt", NULL), text, strlen(text));
}

static void make_folders(const char *folder, apr_pool_t *pool)
{
	for (int i = 0; stored_folders[i]; i++)
		make_folder(folder, stored_folders[i], pool);
	make_folder(folder, "damaged", pool);
	make_document_texts(folder, pool);
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
	if (argc == 3 && !strcmp(argv[1], "stored")) {
		make_folders(argv[2], pool);
		return 0;
	}
	if (argc == 3 && !strcmp(argv[1], "interface")) { /* from the folders that are stored */
		make_interface(argv[2], pool);
		return 0;
	}
	(void)fprintf(stderr, "usage: make_stored_data messages|stored|interface FOLDER\n");
	return 2;
}
