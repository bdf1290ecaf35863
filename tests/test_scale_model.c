/* The scale model: it serves, its figures add up, and sizes that do not fit are refused before anything is
 * made. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <apr_general.h>
#include <cmocka.h>

#include "scale_model.h"

static struct scale_model_settings tiny(void)
{
	struct scale_model_settings settings = scale_model_defaults;

	settings.routers = 4;
	settings.controllers = 3;
	settings.servers = 6;
	settings.routes = 3;
	settings.cached_blocks = 60;
	settings.requests_per_second = 20;
	settings.cache_events_per_second = 20;
	settings.changes = 2;
	settings.restarts = 1;
	settings.seconds = 4;
	settings.memory_bytes = 8ull << 30;
	return settings;
}

static void serves_and_counts(int listed)
{
	struct scale_model_settings settings = tiny();
	struct scale_model_result result;
	const char *why = "";

	settings.use_instance_list = listed;
	if (!scale_model_run(&settings, &result, &why))
		fail_msg("%s", why);
	assert_int_equal(scale_model_get(&result, "fleet.asked"),
			 settings.requests_per_second * settings.seconds);
	/* a router is replaced once: what it held is unknown to its callers, all else is answered whole */
	assert_true(scale_model_get(&result, "fleet.whole") >= 0.7 * scale_model_get(&result, "fleet.asked"));
	assert_true(scale_model_get(&result, "fleet.unknown") <
		    0.1 * scale_model_get(&result, "fleet.asked"));
	assert_int_equal(scale_model_get(&result, "fleet.changes_in_force"), settings.changes);
	assert_true(scale_model_get(&result, "fleet.in_force_ms") <= 3000);
	assert_int_equal(scale_model_get(&result, "counter.nodes"), settings.routers);
	/* each router asks what is in force four times a second, and is answered as often */
	assert_true(scale_model_get(&result, "counter.sent.config_sync") >= 3.7);
	assert_true(scale_model_get(&result, "counter.heard.config_sync_reply") >= 3.5);
	/* what is sent is heard: only controllers ask and answer in rounds */
	assert_true(scale_model_get(&result, "registrar.sent.append") > 1);
	assert_float_equal(scale_model_get(&result, "registrar.sent.append"),
			   scale_model_get(&result, "registrar.heard.append"), 1);
	assert_true(scale_model_get(&result, "registrar.disk.bytes") > 0);
	assert_true(scale_model_get(&result, "counter.cpu_us.=control") > 0);
	/* cached blocks become known by events, or by reports; the list is looked at, or it is not there */
	assert_int_equal(scale_model_get(&result, "counter.heard.watched") > 0, listed);
	assert_int_equal(scale_model_get(&result, "registrar.heard.listed") > 0, listed);
	assert_int_equal(scale_model_get(&result, "counter.heard.look") > 0, !listed);
	scale_model_free(&result);
}

static void serves_servers_of_a_list(void **state)
{
	(void)state;
	serves_and_counts(1);
}

static void serves_servers_of_the_table(void **state)
{
	(void)state;
	serves_and_counts(0);
}

/* The same seed sends the same messages. */
static void a_seed_repeats(void **state)
{
	struct scale_model_settings settings = tiny();
	struct scale_model_result a, b;
	const char *why = "";

	(void)state;
	settings.seconds = 2;
	settings.seed = 7;
	assert_true(scale_model_run(&settings, &a, &why));
	assert_true(scale_model_run(&settings, &b, &why));
	assert_float_equal(scale_model_get(&a, "counter.sent_bytes.=control"),
			   scale_model_get(&b, "counter.sent_bytes.=control"), 0);
	assert_float_equal(scale_model_get(&a, "registrar.heard_bytes.=control"),
			   scale_model_get(&b, "registrar.heard_bytes.=control"), 0);
	assert_float_equal(scale_model_get(&a, "fleet.whole"), scale_model_get(&b, "fleet.whole"), 0);
	scale_model_free(&a);
	scale_model_free(&b);
}

static void refused(struct scale_model_settings settings, const char *says)
{
	char buf[200];
	const char *why = scale_model_validate(&settings, buf, sizeof buf);

	assert_non_null(why);
	if (!strstr(why, says))
		fail_msg("refused with \"%s\", which does not say \"%s\"", why, says);
}

static void sizes_are_refused(void **state)
{
	struct scale_model_settings settings = tiny();
	char buf[200];
	uint64_t need;

	(void)state;
	assert_null(scale_model_validate(&settings, buf, sizeof buf));
	settings.routers = 0;
	refused(settings, "--nodes: 1 to");
	settings = tiny();
	settings.routers = 1000000;
	refused(settings, "--nodes: 1 to");
	settings = tiny();
	settings.controllers = 2;
	refused(settings, "--registrars: 3 to");
	settings = tiny();
	settings.servers = 0;
	refused(settings, "--servers: 1 to");
	settings = tiny();
	settings.seconds = 0;
	refused(settings, "--seconds: 1 to");
	settings = tiny();
	settings.requests_per_second = -1;
	refused(settings, "--rate: 0 to");
	settings = tiny();
	settings.cached_blocks = 1000000;
	refused(settings, "--parts: at most");
	/* the users' aim does not fit this machine in one process: said with what it would take */
	settings = tiny();
	settings.routers = 340;
	settings.servers = 1900;
	settings.cached_blocks = 170000000;
	refused(settings, "needs about 1");
	/* just half of the memory fits, a byte less does not */
	settings = tiny();
	need = scale_model_memory_bytes(&settings);
	settings.memory_bytes = 2 * need;
	assert_null(scale_model_validate(&settings, buf, sizeof buf));
	settings.memory_bytes = 2 * need - 2;
	refused(settings, "half of this machine's memory");
}

/* The command itself: 2 for what is refused, at once, and for what is no number. */
static void the_command_refuses(void **state)
{
	char *big[] = { "hollow", "--nodes", "340", "--parts", "170000000" },
	     *none[] = { "hollow", "--nodes", "many" }, *odd[] = { "hollow", "--size", "3" };

	(void)state;
	assert_int_equal(scale_model_main(5, big), 2);
	assert_int_equal(scale_model_main(3, none), 2);
	assert_int_equal(scale_model_main(3, odd), 2);
}

int main(void)
{
	const struct CMUnitTest t[] = {
		cmocka_unit_test(serves_servers_of_a_list), cmocka_unit_test(serves_servers_of_the_table),
		cmocka_unit_test(a_seed_repeats),           cmocka_unit_test(sizes_are_refused),
		cmocka_unit_test(the_command_refuses),
	};

	apr_initialize();
	return cmocka_run_group_tests(t, NULL, NULL);
}
