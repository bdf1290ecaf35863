/* Data folders and answers as earlier versions wrote them: tests/data/stored and tests/data/interface, made
 * by tests/make_stored_data.c. Each folder is opened from a copy. What it holds and the state that it makes
 * must be what they were, value by value; and a controller must go on from it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <apr_general.h>
#include <apr_strings.h>
#include <cmocka.h>

#include "stored_files.h"
#include "stored_folders.h"
#include "stored_interface.h"

static apr_pool_t *pool;

static char *new_folder(void)
{
	char *folder = apr_pstrdup(pool, "/tmp/notchlug-stored-XXXXXX");

	assert_non_null(mkdtemp(folder));
	return folder;
}

static void remove_folder(const char *folder)
{
	(void)unlink(apr_pstrcat(pool, folder, "/registrar.tdb", NULL));
	(void)unlink(apr_pstrcat(pool, folder, "/lock", NULL));
	(void)rmdir(folder);
}

/* A copy of a stored folder, to be changed at will. */
static char *copy_of(const char *name)
{
	char *folder = new_folder(), *data;
	size_t n;

	data = file_read(apr_psprintf(pool, "%s/stored/%s/registrar.tdb", TEST_DATA, name), &n, pool);
	if (!data)
		fail_msg("no stored folder %s", name);
	file_write(apr_pstrcat(pool, folder, "/registrar.tdb", NULL), data, n);
	return folder;
}

static const char *stored_text(const char *path)
{
	size_t n;
	const char *text = file_read(apr_psprintf(pool, "%s/%s", TEST_DATA, path), &n, pool);

	if (!text)
		fail_msg("no stored file %s", path);
	return text;
}

/* The first line that differs is named. */
static void assert_same_text(const char *what, const char *then, const char *now)
{
	while (*then || *now) {
		size_t n = strcspn(then, "\n"), m = strcspn(now, "\n");

		if (n != m || strncmp(then, now, n))
			fail_msg("%s: it was\n%.*s\nand is\n%.*s", what, (int)n, then, (int)m, now);
		then += n + (then[n] != 0);
		now += m + (now[m] != 0);
	}
}

static void open_copy(struct world *world, const char *folder)
{
	const char *why = world_open(world, folder);

	if (why)
		fail_msg("%s", why);
}

/* What a folder should hold: a torn one is the first one, torn. */
static const char *whole_of(const char *name)
{
	return strncmp(name, "torn", 4) ? name : "entries";
}

static void assert_records(const struct world *world, const char *name)
{
	assert_same_text(name, stored_text(apr_psprintf(pool, "stored/%s/records.txt", whole_of(name))),
			 world_records(&world->found, pool));
}

static void assert_state(struct world *world, const char *name)
{
	assert_same_text(name, stored_text(apr_psprintf(pool, "stored/%s/state.txt", whole_of(name))),
			 world_state(world, pool));
}

/* ---- what they hold ---- */

static void a_stored_folder_holds_the_records_that_it_held(void **state)
{
	(void)state;
	for (int i = 0; stored_folders[i]; i++) {
		char *folder = copy_of(stored_folders[i]);
		struct world world;

		open_copy(&world, folder);
		assert_records(&world, stored_folders[i]);
		world_close(&world);
		remove_folder(folder);
	}
}

static void its_snapshots_and_entries_make_the_state_that_they_made(void **state)
{
	(void)state;
	for (int i = 0; stored_folders[i]; i++) {
		char *folder = copy_of(stored_folders[i]);
		struct world world;

		open_copy(&world, folder);
		assert_state(&world, stored_folders[i]);
		world_close(&world);
		remove_folder(folder);
	}
}

static void written_again_it_holds_the_same_and_makes_the_same_state(void **state)
{
	(void)state;
	for (int i = 0; stored_folders[i]; i++) {
		char *folder = copy_of(stored_folders[i]), *again = new_folder();
		struct world world;

		open_copy(&world, folder);
		world_copy(&world.found, again);
		world_close(&world);
		open_copy(&world, again);
		assert_records(&world, stored_folders[i]);
		assert_state(&world, stored_folders[i]);
		world_close(&world);
		remove_folder(folder);
		remove_folder(again);
	}
}

/* The newest state, as a snapshot of it is packed today, put into a folder and read back. */
static void its_state_makes_a_snapshot_that_makes_the_same_state(void **state)
{
	(void)state;
	for (int i = 0; stored_folders[i]; i++) {
		char *folder = copy_of(stored_folders[i]), *again = new_folder();
		struct stored_state packed;
		struct world world;

		open_copy(&world, folder);
		assert_state(&world, stored_folders[i]);
		packed = world.found;
		for (uint32_t shard = 0; shard < SHARD_COUNT; shard++) {
			struct raft_saved *saved = &packed.shards[shard];

			saved->state = snapshot_pack_state(&world.controller, shard, pool, &saved->state_len);
			saved->members = saved->members ? saved->members
							: (const uint8_t *)""; /* a snapshot without any */
			saved->snapshot_index = saved->snapshot_index + saved->entry_count + 1;
			saved->snapshot_term = saved->term;
			saved->entry_count = 0;
		}
		world_copy(&packed, again);
		world_close(&world);
		open_copy(&world, again);
		assert_state(&world, stored_folders[i]);
		world_close(&world);
		remove_folder(folder);
		remove_folder(again);
	}
}

static void a_folder_with_a_changed_byte_is_refused_and_its_record_is_named(void **state)
{
	char *folder = copy_of("damaged");
	const char *why;
	struct world world;

	(void)state;
	why = world_open(&world, folder);
	assert_non_null(why);
	assert_non_null(strstr(why, "is damaged at record e/0/"));
	world_close(&world);
	remove_folder(folder);
}

static void a_torn_folder_is_written_anew_and_whole_afterwards(void **state)
{
	char *folder = copy_of("torn-tail");
	struct world world;
	size_t torn, whole;

	(void)state;
	(void)file_read(apr_pstrcat(pool, folder, "/registrar.tdb", NULL), &torn, pool);
	open_copy(&world, folder);
	world_close(&world);
	(void)file_read(apr_pstrcat(pool, folder, "/registrar.tdb", NULL), &whole, pool);
	assert_true(whole < torn);
	open_copy(&world, folder);
	assert_records(&world, "torn-tail");
	world_close(&world);
	remove_folder(folder);
}

/* ---- a controller goes on from them ---- */

static void lead(struct world *world, const char *folder)
{
	open_copy(world, folder);
	world_run(world, 4000);
	for (int i = 0; i < SHARD_COUNT; i++)
		assert_true(raft_has_lease(&world->controller.shards[i], world->now));
}

static void an_order_that_was_accepted_is_recognised(void **state)
{
	static const char *const names[] = { "entries", "snapshots" };

	(void)state;
	for (int i = 0; i < 2; i++) {
		char *folder = copy_of(names[i]);
		struct world world;

		lead(&world, folder);
		assert_int_equal(world_call(&world, "POST", "/v1/change", stored_change, "first-key"), 200);
		assert_string_equal(world.answer.body, "{\"edition\":2}");
		assert_int_equal(world_call(&world, "POST", "/v1/change", stored_second_change, "first-key"),
				 422);
		world_close(&world);
		remove_folder(folder);
	}
}

static void a_claim_that_stands_is_refused_to_others_and_one_given_back_is_not(void **state)
{
	static const char *const names[] = { "entries", "snapshots", "recovered" };

	(void)state;
	for (int i = 0; i < 3; i++) {
		char *folder = copy_of(names[i]);
		struct world world;

		lead(&world, folder);
		for (uint32_t shard = SHARD_SERVICE; shard < SHARD_COUNT; shard++) {
			const char *service = stored_service(shard, pool);
			struct Nl__Claim taken = stored_claim("stands", CLAIM_OTHER, CLAIM_FIRST, 0),
					 again = stored_claim("stands", CLAIM_HOLDER, CLAIM_FIRST, 0),
					 returned = stored_claim("back", CLAIM_HOLDER, CLAIM_FIRST, 0),
					 early = stored_claim("early", CLAIM_HOLDER, CLAIM_NEXT, 0),
					 free_now = stored_claim("back", CLAIM_OTHER, CLAIM_FIRST, 0);

			assert_int_equal(world_claim(&world, service, &taken), PROPOSAL_REJECTED);
			assert_int_equal(world_claim(&world, service, &again), PROPOSAL_APPLIED);
			assert_int_equal(world_claim(&world, service, &returned), PROPOSAL_REJECTED);
			assert_int_equal(world_claim(&world, service, &early), PROPOSAL_REJECTED);
			assert_int_equal(world_claim(&world, service, &free_now), PROPOSAL_APPLIED);
		}
		world_close(&world);
		remove_folder(folder);
	}
}

static void the_document_comes_back_byte_for_byte_and_its_version_is_current(void **state)
{
	char *folder = copy_of("document");
	const char *then = stored_text("stored/document/document.json");
	struct world world;

	(void)state;
	lead(&world, folder);
	assert_int_equal(world_read_document(&world), 200);
	assert_int_equal(world.answer.len, strlen(then));
	assert_memory_equal(world.answer.body, then, world.answer.len);
	assert_int_equal(world_document(&world, stored_document, 0, 6), 412);
	assert_int_equal(world_document(&world, stored_patch, 1, 7), 200); /* the same call again */
	assert_int_equal(world_set_target_weights(&world, "daka", "6"), 200);
	assert_int_equal(world_call(&world, "GET", "/v1/table", "", NULL), 200);
	assert_string_equal(world.answer.body, stored_text("stored/document/table.json"));
	world_close(&world);
	remove_folder(folder);
}

static void a_recovered_group_keeps_its_epoch_and_what_is_fenced(void **state)
{
	char *folder = copy_of("recovered");
	struct world world;

	(void)state;
	lead(&world, folder);
	for (int i = 0; i < SHARD_COUNT; i++) {
		const struct raft *raft = &world.controller.shards[i];

		assert_int_equal(raft_epoch(raft->term), 1);
		assert_int_equal(raft->group.member_count, 1);
		assert_int_equal(raft->group.fenced_count, 2);
	}
	assert_int_equal(world_call(&world, "POST", "/v1/change",
				    "{\"set\":[{\"kind\":\"tenant\",\"name\":\"x\",\"share\":8}]}", NULL),
			 200);
	assert_true(strtoull(world.answer.body + strlen("{\"edition\":"), NULL, 10) >
		    CONTROLLER_RECOVERY_SKIPPED_NUMBERS);
	world_close(&world);
	remove_folder(folder);
}

static void a_follower_keeps_its_vote_and_its_term(void **state)
{
	char *folder = copy_of("follower");
	struct world world;

	(void)state;
	open_copy(&world, folder);
	assert_int_equal(world.controller.shards[SHARD_CONTROL].term, 5);
	assert_int_equal(world.controller.shards[SHARD_CONTROL].voted_for, 3);
	assert_int_equal(world.controller.shards[SHARD_PURGE].term, 9);
	assert_int_equal(world.controller.shards[SHARD_PURGE].voted_for, 2);
	assert_int_equal(world.controller.shards[SHARD_CONTROL].group.member_count, 3);
	world_close(&world);
	remove_folder(folder);
}

/* ---- the product's own interface ---- */

static void operators_calls_are_answered_as_they_were(void **state)
{
	char *folder = copy_of("entries");
	struct world world;

	(void)state;
	open_copy(&world, folder);
	assert_same_text("calls", stored_text("interface/calls.txt"), stored_calls(&world));
	world_close(&world);
	remove_folder(folder);
}

static void rows_of_every_kind_are_read_and_shown_as_they_were(void **state)
{
	(void)state;
	assert_same_text("rows", stored_text("interface/rows.txt"), stored_rows(pool));
}

static void a_table_is_the_sheet_that_it_was_and_is_read_back(void **state)
{
	(void)state;
	assert_same_text("sheet", stored_text("interface/sheet.txt"), stored_sheet(pool));
}

static void a_router_speaks_to_clients_servers_and_operators_as_it_did(void **state)
{
	(void)state;
	assert_same_text("router", stored_text("interface/router.txt"), stored_router(pool));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_stored_folder_holds_the_records_that_it_held),
		cmocka_unit_test(its_snapshots_and_entries_make_the_state_that_they_made),
		cmocka_unit_test(written_again_it_holds_the_same_and_makes_the_same_state),
		cmocka_unit_test(its_state_makes_a_snapshot_that_makes_the_same_state),
		cmocka_unit_test(a_folder_with_a_changed_byte_is_refused_and_its_record_is_named),
		cmocka_unit_test(a_torn_folder_is_written_anew_and_whole_afterwards),
		cmocka_unit_test(an_order_that_was_accepted_is_recognised),
		cmocka_unit_test(a_claim_that_stands_is_refused_to_others_and_one_given_back_is_not),
		cmocka_unit_test(the_document_comes_back_byte_for_byte_and_its_version_is_current),
		cmocka_unit_test(a_recovered_group_keeps_its_epoch_and_what_is_fenced),
		cmocka_unit_test(a_follower_keeps_its_vote_and_its_term),
		cmocka_unit_test(operators_calls_are_answered_as_they_were),
		cmocka_unit_test(rows_of_every_kind_are_read_and_shown_as_they_were),
		cmocka_unit_test(a_table_is_the_sheet_that_it_was_and_is_read_back),
		cmocka_unit_test(a_router_speaks_to_clients_servers_and_operators_as_it_did),
	};

	apr_initialize();
	apr_pool_create(&pool, NULL);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
