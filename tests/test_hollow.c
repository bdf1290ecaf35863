/* The hollow fleet: it serves, its figures add up, and sizes that do not fit are refused before anything is made. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <apr_general.h>
#include <cmocka.h>

#include "hollow.h"

static struct hollow_set tiny(void)
{
	struct hollow_set s = hollow_default;

	s.nodes = 4;
	s.registrars = 3;
	s.servers = 6;
	s.lanes = 3;
	s.parts = 60;
	s.rate = 20;
	s.events = 20;
	s.changes = 2;
	s.restarts = 1;
	s.seconds = 4;
	s.machine = 8ull << 30;
	return s;
}

static void serves_and_counts(int listed)
{
	struct hollow_set s = tiny();
	struct hollow_result r;
	const char *why = "";

	s.listed = listed;
	if (!hollow_run(&s, &r, &why))
		fail_msg("%s", why);
	assert_int_equal(hollow_get(&r, "fleet.asked"), s.rate * s.seconds);
	/* a counter is replaced once: what it held is unknown to its callers, all else is answered whole */
	assert_true(hollow_get(&r, "fleet.whole") >= 0.7 * hollow_get(&r, "fleet.asked"));
	assert_true(hollow_get(&r, "fleet.unknown") < 0.1 * hollow_get(&r, "fleet.asked"));
	assert_int_equal(hollow_get(&r, "fleet.changes_in_force"), s.changes);
	assert_true(hollow_get(&r, "fleet.in_force_ms") <= 3000);
	assert_int_equal(hollow_get(&r, "counter.nodes"), s.nodes);
	/* each counter asks what is in force four times a second, and is answered as often */
	assert_true(hollow_get(&r, "counter.sent.follow") >= 3.7);
	assert_true(hollow_get(&r, "counter.heard.follow_reply") >= 3.5);
	/* what is sent is heard: only controllers ask and answer in rounds */
	assert_true(hollow_get(&r, "registrar.sent.append") > 1);
	assert_float_equal(hollow_get(&r, "registrar.sent.append"), hollow_get(&r, "registrar.heard.append"), 1);
	assert_true(hollow_get(&r, "registrar.disk.bytes") > 0);
	assert_true(hollow_get(&r, "counter.cpu_us.=control") > 0);
	/* kept parts become known by events, or by reports; the list is looked at, or it is not there */
	assert_int_equal(hollow_get(&r, "counter.heard.watched") > 0, listed);
	assert_int_equal(hollow_get(&r, "registrar.heard.listed") > 0, listed);
	assert_int_equal(hollow_get(&r, "counter.heard.look") > 0, !listed);
	hollow_free(&r);
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
	struct hollow_set s = tiny();
	struct hollow_result a, b;
	const char *why = "";

	(void)state;
	s.seconds = 2;
	s.seed = 7;
	assert_true(hollow_run(&s, &a, &why));
	assert_true(hollow_run(&s, &b, &why));
	assert_float_equal(hollow_get(&a, "counter.sent_bytes.=control"), hollow_get(&b, "counter.sent_bytes.=control"), 0);
	assert_float_equal(hollow_get(&a, "registrar.heard_bytes.=control"), hollow_get(&b, "registrar.heard_bytes.=control"), 0);
	assert_float_equal(hollow_get(&a, "fleet.whole"), hollow_get(&b, "fleet.whole"), 0);
	hollow_free(&a);
	hollow_free(&b);
}

static void refused(struct hollow_set s, const char *says)
{
	char buf[200];
	const char *why = hollow_refuse(&s, buf, sizeof buf);

	assert_non_null(why);
	if (!strstr(why, says))
		fail_msg("refused with \"%s\", which does not say \"%s\"", why, says);
}

static void sizes_are_refused(void **state)
{
	struct hollow_set s = tiny();
	char buf[200];
	uint64_t need;

	(void)state;
	assert_null(hollow_refuse(&s, buf, sizeof buf));
	s.nodes = 0;
	refused(s, "--nodes: 1 to");
	s = tiny();
	s.nodes = 1000000;
	refused(s, "--nodes: 1 to");
	s = tiny();
	s.registrars = 2;
	refused(s, "--registrars: 3 to");
	s = tiny();
	s.servers = 0;
	refused(s, "--servers: 1 to");
	s = tiny();
	s.seconds = 0;
	refused(s, "--seconds: 1 to");
	s = tiny();
	s.rate = -1;
	refused(s, "--rate: 0 to");
	s = tiny();
	s.parts = 1000000;
	refused(s, "--parts: at most");
	/* the users' aim does not fit this machine in one process: said with what it would take */
	s = tiny();
	s.nodes = 340;
	s.servers = 1900;
	s.parts = 170000000;
	refused(s, "needs about 1");
	/* just half of the memory fits, a byte less does not */
	s = tiny();
	need = hollow_needs(&s);
	s.machine = 2 * need;
	assert_null(hollow_refuse(&s, buf, sizeof buf));
	s.machine = 2 * need - 2;
	refused(s, "half of this machine's memory");
}

/* The command itself: 2 for what is refused, at once, and for what is no number. */
static void the_command_refuses(void **state)
{
	char *big[] = { "hollow", "--nodes", "340", "--parts", "170000000" }, *none[] = { "hollow", "--nodes", "many" },
	     *odd[] = { "hollow", "--size", "3" };

	(void)state;
	assert_int_equal(hollow_main(5, big), 2);
	assert_int_equal(hollow_main(3, none), 2);
	assert_int_equal(hollow_main(3, odd), 2);
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
