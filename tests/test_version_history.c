/* Dates of target versions in a model's row, and the control group's clock as a node reckons it by its
 * leader's answers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_strings.h>
#include <cmocka.h>

#include "config_watch.h"
#include "containers.h"
#include "version_history.h"
#include "config_table.h"
#include "config_check.h"

enum { BOUND_MS = 20000, TERM = 3, LEADER = 1 };

static struct config_table config_table;
static apr_pool_t *pool;

static int setup(void **state)
{
	(void)state;
	apr_pool_create(&pool, NULL);
	config_table_open(&config_table);
	return 0;
}

static int teardown(void **state)
{
	(void)state;
	config_table_close(&config_table);
	apr_pool_destroy(pool);
	return 0;
}

/* Apply a change of the model's row at a moment, as the leader logs it; the row as it is then. */
static const struct Nl__Row *apply(const char *weights, const char *rolled, uint64_t at)
{
	struct Nl__Change change = NL__CHANGE__INIT;
	struct Nl__Row row = NL__ROW__INIT, *rows[1] = { &row };

	row.kind = NL__KIND__MODEL;
	row.name = "m";
	row.target_weights = (char *)(uintptr_t)weights;
	row.rolled_out = (char *)(uintptr_t)rolled;
	change.any_revision = 1;
	change.set = rows;
	change.n_set = 1;
	change.bound_passed_at_ms = at > BOUND_MS ? at - BOUND_MS : 0;
	config_table.clock = (struct group_moment){ at, TERM };
	assert_int_equal(config_table_apply(&config_table, &change, NULL), PROPOSAL_APPLIED);
	return config_table_get(&config_table, NL__KIND__MODEL, "m");
}

static const struct Nl__Row *name(unsigned weights, uint64_t at)
{
	return apply(apr_psprintf(pool, "%u", weights), "", at);
}

static uint64_t date_after(const struct Nl__Row *model, uint64_t weights)
{
	const struct Nl__TargetVersion *target = version_history_first_newer(model, weights);

	return target ? target->targeted_at_ms : 0;
}

/* Weights are dated by the first target version that is newer than they are, whatever was named since. */
static void older_weights_have_the_first_newer_date(void **state)
{
	const struct Nl__Row *model;

	(void)state;
	name(2, 1000);
	name(5, 3000);
	model = name(6, 4000);
	assert_int_equal(date_after(model, 0), 1000);
	assert_int_equal(date_after(model, 1), 1000);
	assert_int_equal(date_after(model, 2), 3000);
	assert_int_equal(date_after(model, 4), 3000); /* never named */
	assert_int_equal(date_after(model, 5), 4000);
	assert_null(version_history_first_newer(model, 6));
	assert_int_equal(version_history_first_newer(model, 1)->term, TERM);
}

/* A new target version that is sent again, an older one, and the end of a roll-out date nothing anew. */
static void what_names_nothing_newer_dates_nothing(void **state)
{
	const struct Nl__Row *model;

	(void)state;
	name(2, 1000);
	name(2, 2000);
	name(1, 3000);
	model = apply("", "2", 4000);
	assert_string_equal(model->target_weights, "2");
	assert_string_equal(model->rolled_out, "2");
	assert_int_equal(model->n_target_versions, 1);
	assert_int_equal(date_after(model, 1), 1000);
}

/* Of target versions whose bound has passed the newest is kept: it forbids all that is older, and what came
 * before it is no longer needed. */
static void the_newest_passed_date_is_kept(void **state)
{
	const struct Nl__Row *model;

	(void)state;
	for (unsigned weights = 2; weights < 500; weights++) {
		model = name(weights, weights * 3000ull);
		assert_true(model->n_target_versions <= BOUND_MS / 3000 + 2);
		assert_true(date_after(model, 1) + BOUND_MS <= weights * 3000ull || weights < 9);
	}
}

/* More target versions within the bound than are kept: a date is only ever too early, and by less than a
 * share of the bound. */
static void merged_dates_are_too_early_and_not_by_much(void **state)
{
	const struct Nl__Row *model = NULL;
	const uint64_t every_ms = 50, targets = 1000;

	(void)state;
	for (uint64_t weights = 2; weights < targets; weights++) {
		model = name((unsigned)weights, weights * every_ms);
		assert_true(model->n_target_versions <= VERSION_HISTORY_MAX);
	}
	print_message("a model's row with %d namings: %d bytes\n", (int)model->n_target_versions,
		      (int)nl__row__get_packed_size(model));
	for (uint64_t weights = targets - BOUND_MS / every_ms + 1; weights + 1 < targets; weights++) {
		uint64_t named = (weights + 1) * every_ms, date = date_after(model, weights);

		assert_true(date <= named);
		assert_true(named - date <= BOUND_MS / (VERSION_HISTORY_MAX / 4));
	}
}

/* A follower's copy is the leader's row, to the byte. */
static void followers_have_the_same_dates(void **state)
{
	struct config_table follower;
	struct Nl__ConfigSyncReply reply = NL__CONFIG_SYNC_REPLY__INIT;
	const struct Nl__Row *model;

	(void)state;
	config_table_open(&follower);
	name(2, 1000);
	config_table_pack_since(&config_table, 0, &reply, pool);
	assert_true(config_table_apply_reply(&follower, &reply));
	name(3, 2000);
	name(4, 2500);
	nl__config_sync_reply__init(&reply);
	config_table_pack_since(&config_table, follower.revision, &reply, pool);
	assert_true(config_table_apply_reply(&follower, &reply));
	model = config_table_get(&follower, NL__KIND__MODEL, "m");
	assert_int_equal(model->n_target_versions, 3);
	assert_int_equal(date_after(model, 2), 2000);
	config_table_close(&follower);
}

/* A row that an older revision of the program left has no dates: they count as not known. */
static void a_row_without_dates_tells_none(void **state)
{
	struct Nl__Row row = NL__ROW__INIT;

	(void)state;
	row.kind = NL__KIND__MODEL;
	row.target_weights = "7";
	assert_null(version_history_first_newer(&row, 6));
	assert_true(version_history_newest(&row) == 7);
}

/* The row of a model stays while a service has the model. */
static void a_model_in_use_is_not_removed(void **state)
{
	struct Nl__Change change = NL__CHANGE__INIT, add = NL__CHANGE__INIT;
	struct Nl__Row row = NL__ROW__INIT, service = NL__ROW__INIT, *removed[1] = { &row },
		       *added[1] = { &service };

	(void)state;
	name(2, 1000);
	row.kind = NL__KIND__MODEL;
	row.name = "m";
	change.any_revision = 1;
	change.deleted = removed;
	change.n_deleted = 1;
	assert_null(config_check_change(&config_table, &change, pool));
	service.kind = NL__KIND__SERVICE;
	service.name = "pool";
	service.model = "m";
	service.prefill_tokens_per_ms = service.kv_bytes_per_token = service.link_bytes_per_ms = 100;
	add.any_revision = 1;
	add.set = added;
	add.n_set = 1;
	assert_int_equal(config_table_apply(&config_table, &add, NULL), PROPOSAL_APPLIED);
	assert_string_equal(config_check_change(&config_table, &change, pool),
			    "del model m: service pool still uses it");
}

/* ---- the clock --------------------------------------------------------------------------------- */

/* Ask at one moment and get an answer at another. */
static void receive_clock(struct config_watch *watch, uint64_t term, uint64_t clock, int64_t asked_at,
			  int64_t answered_at)
{
	struct command_list out = { 0 };
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__ConfigSyncReply reply = NL__CONFIG_SYNC_REPLY__INIT;

	out.pool = pool;
	config_watch_poll(watch, 0, asked_at, &out);
	reply.token = watch->last_token;
	reply.has_lease = reply.full = 1;
	reply.fleet_id = 7;
	reply.revision = watch->table.revision + 1;
	reply.group_clock_ms = clock;
	reply.clock_term = term;
	message.body_case = NL__MSG__BODY_CONFIG_SYNC_REPLY;
	message.config_sync_reply = &reply;
	message.addr = LEADER;
	(void)config_watch_receive(watch, &message, answered_at, &out);
	arrfree(out.commands);
}

/* The clock is never behind its leader's, and a quicker answer makes it more exact. A later leader's clock is
 * its own, also where it has lost time; what the one before dated is reckoned by that one's. */
static void the_clock_is_never_behind_its_leader(void **state)
{
	struct config_watch watch;
	uint64_t seed = LEADER;

	(void)state;
	config_watch_open(&watch, 2, &seed, 1, 0);
	assert_int_equal(config_watch_group_clock_ms(&watch, 0, 500), 0);
	receive_clock(&watch, 4, 10000, 1000, 3000); /* read by the leader at some time from 1000 to 3000 */
	assert_int_equal(config_watch_group_clock_ms(&watch, 4, 3000), 12000);
	receive_clock(&watch, 4, 12500, 4000, 4200);
	assert_int_equal(config_watch_group_clock_ms(&watch, 4, 5000), 13500);
	receive_clock(&watch, 4, 15000, 5000, 9000); /* a slow one tells nothing more */
	assert_int_equal(config_watch_group_clock_ms(&watch, 4, 9000), 17500);
	receive_clock(&watch, 5, 12000, 10000, 10100);
	assert_int_equal(config_watch_group_clock_ms(&watch, 5, 10100), 12100);
	assert_int_equal(config_watch_group_clock_ms(&watch, 4, 10100), 18600);
	assert_int_equal(config_watch_group_clock_ms(&watch, 0, 10100), 12100); /* the newest leader's */
	assert_int_equal(config_watch_group_clock_ms(&watch, 3, 10100),
			 12100);                      /* not heard: it went on from there */
	receive_clock(&watch, 3, 1000, 10200, 10300); /* an older leader's late word */
	assert_int_equal(config_watch_group_clock_ms(&watch, 0, 10300), 12300);
	config_watch_close(&watch);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(older_weights_have_the_first_newer_date, setup, teardown),
		cmocka_unit_test_setup_teardown(what_names_nothing_newer_dates_nothing, setup, teardown),
		cmocka_unit_test_setup_teardown(the_newest_passed_date_is_kept, setup, teardown),
		cmocka_unit_test_setup_teardown(merged_dates_are_too_early_and_not_by_much, setup, teardown),
		cmocka_unit_test_setup_teardown(followers_have_the_same_dates, setup, teardown),
		cmocka_unit_test_setup_teardown(a_row_without_dates_tells_none, setup, teardown),
		cmocka_unit_test_setup_teardown(a_model_in_use_is_not_removed, setup, teardown),
		cmocka_unit_test_setup_teardown(the_clock_is_never_behind_its_leader, setup, teardown),
	};
	int rc;

	apr_initialize();
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
