/* The checker judged: for each letter, records that violation it are caught, and the same records fixed pass.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cmocka.h>

#include "test_fleet.h"

/* A good run, in lines "FILE JSON". Router c (id 00000000000000aa) at web C; server s1 of service a. */
static const char *const good[] = {
	"callers {\"t\":1000,\"ev\":\"ask\",\"id\":\"x1\",\"counter\":\"C\",\"tenant\":1}",
	"server-s1 {\"t\":10,\"ev\":\"up\",\"server\":\"s1\",\"weights\":\"w1\"}",
	"platform {\"t\":20,\"ev\":\"serves\",\"server\":\"s1\",\"service\":\"a\"}",
	"platform {\"t\":30,\"ev\":\"named\",\"service\":\"a\",\"weights\":\"w1\"}",
	"platform {\"t\":40,\"ev\":\"ack\",\"edition\":5,\"change\":{\"set\":[{\"kind\":\"tenant\",\"name\":\"t1\",\"share\":2}]}}",
	"server-s1 {\"t\":1010,\"ev\":\"sent\",\"server\":\"s1\",\"x\":\"00000000000000aa-1-1\",\"id\":\"x1\",\"refused\":false}",
	"server-s1 {\"t\":1010,\"ev\":\"begin\",\"server\":\"s1\",\"x\":\"00000000000000aa-1-1\",\"id\":\"x1\",\"tenant\":\"tenant-1\",\"weights\":\"w1\",\"used\":[{\"w\":\"w1\",\"m\":\"tenant-2\",\"ct\":7}]}",
	"server-s1 {\"t\":1100,\"ev\":\"end\",\"server\":\"s1\",\"x\":\"00000000000000aa-1-1\",\"id\":\"x1\",\"n\":3}",
	"callers {\"t\":1110,\"ev\":\"told\",\"id\":\"x1\",\"counter\":\"C\",\"tenant\":1,\"status\":200,\"outcome\":\"whole\",\"pieces\":3,\"x\":\"00000000000000aa-1-1\",\"bad\":0,\"last\":1105}",
	"probes {\"t\":1201,\"ev\":\"state\",\"id\":\"00000000000000aa\",\"web\":\"C\",\"asked\":1200,\"edition\":5,\"age_ms\":100,\"horizon\":9}",
	"platform {\"t\":60000,\"ev\":\"table\",\"edition\":5,\"rows\":[{\"kind\":\"tenant\",\"name\":\"t1\",\"share\":2,\"limit\":9}]}",
	"callers {\"t\":60001,\"ev\":\"closed\"}",
	"platform {\"t\":60002,\"ev\":\"finished\"}",
};

static void put(const char *folder, const char *line)
{
	char path[300];
	FILE *f;

	snprintf(path, sizeof path, "%s/%.*s.rec", folder, (int)strcspn(line, " "), line);
	f = fopen(path, "a");
	assert_non_null(f);
	fprintf(f, "%s\n", strchr(line, ' ') + 1);
	fclose(f);
}

/* Judge the good run without its queue "drop", with more lines, in the order given or the other way round. */
static int run_checker(struct check_result *res, int drop, const char *const *more, int backwards)
{
	char folder[] = "/tmp/notchlug-check-XXXXXX", cmd[100];
	int rc, n = (int)(sizeof good / sizeof *good);

	assert_non_null(mkdtemp(folder));
	for (int i = 0; i < n; i++)
		if ((backwards ? n - 1 - i : i) != drop)
			put(folder, good[backwards ? n - 1 - i : i]);
	for (; more && *more; more++)
		put(folder, *more);
	rc = check_folder(folder, 0, res);
	snprintf(cmd, sizeof cmd, "%s/", folder);
	for (const char *const *f =
		 (const char *const[]){ "callers", "server-s1", "server-s2", "platform", "probes", NULL };
	     *f; f++) {
		snprintf(cmd, sizeof cmd, "%s/%s.rec", folder, *f);
		unlink(cmd);
	}
	rmdir(folder);
	return rc;
}

static void a_good_run_is_good(void **state)
{
	struct check_result result;

	(void)state;
	if (!run_checker(&result, -1, NULL, 0))
		fail_msg("%s", result.text);
	if (!run_checker(&result, -1, NULL, 1)) /* in whatever order the lines stand */
		fail_msg("%s", result.text);
}

#define SENT(t, sv, x, id, no)                                                                          \
	"server-" sv " {\"t\":" t ",\"ev\":\"sent\",\"server\":\"" sv "\",\"x\":\"" x "\",\"id\":\"" id \
	"\",\"refused\":" no "}"
#define ASK(t, id) "callers {\"t\":" t ",\"ev\":\"ask\",\"id\":\"" id "\",\"counter\":\"C\",\"tenant\":1}"
#define TOLD(t, id, out, more)                              \
	"callers {\"t\":" t ",\"ev\":\"told\",\"id\":\"" id \
	"\",\"counter\":\"C\",\"tenant\":1,\"outcome\":\"" out "\"" more "}"
#define BEGIN(t, used)                                                                                                 \
	"server-s1 {\"t\":" t                                                                                          \
	",\"ev\":\"begin\",\"server\":\"s1\",\"id\":\"x2\",\"tenant\":\"tenant-1\",\"weights\":\"w1\",\"used\":[" used \
	"]}"
#define ORDER(t, rollout, fence, no)                                                     \
	"server-s1 {\"t\":" t ",\"ev\":\"order\",\"server\":\"s1\",\"giver\":\"" rollout \
	"\",\"fence\":" fence ",\"fenced\":" no "}"
#define STATE(t, e, age)                                                                              \
	"probes {\"t\":" t ",\"ev\":\"state\",\"id\":\"00000000000000aa\",\"web\":\"C\",\"asked\":" t \
	",\"edition\":" e ",\"age_ms\":" age ",\"horizon\":20}"
#define ACK(t, e, row) \
	"platform {\"t\":" t ",\"ev\":\"ack\",\"edition\":" e ",\"change\":{\"set\":[" row "]}}"
#define X "00000000000000aa-2-1"

/* Each pair: lines that violation a letter, and the same ones fixed. */
static const struct {
	char letter;
	int drop;
	const char *bad[8], *mended[8];
} cases[] = {
	{ 'A',
	  -1,
	  { SENT("1200", "s1", X, "x1", "false") },
	  { SENT("1200", "s1", X, "x1", "true") } }, /* twice */
	{ 'A',
	  -1,
	  { ASK("2000", "x2"), TOLD("2100", "x2", "refused", ""),
	    SENT("2200", "s1", X, "x2", "false") }, /* after refused */
	  { ASK("2000", "x2"), TOLD("2300", "x2", "unknown", ""), SENT("2200", "s1", X, "x2", "false") } },
	{ 'A',
	  -1,
	  { ASK("2000", "x2"), TOLD("2300", "x2", "refused", ""),
	    SENT("2200", "s1", X, "x2", "false") }, /* ran, then refused */
	  { ASK("2000", "x2"), TOLD("2300", "x2", "refused", ""), SENT("2200", "s1", X, "x2", "true") } },
	{ 'A',
	  -1,
	  { ASK("2000", "x2"), TOLD("2300", "x2", "unknown", ""), ASK("2400", "x2"),
	    SENT("2450", "s1", X, "x2", "false"), TOLD("2500", "x2", "refused", "") },
	  { ASK("2000", "x2"), TOLD("2300", "x2", "unknown", ""), ASK("2400", "x2"),
	    SENT("2450", "s1", X, "x2", "false"), TOLD("2500", "x2", "unknown", "") } },
	{ 'A',
	  -1,
	  { SENT("2200", "s1", X, "x9", "false") },
	  { ASK("2100", "x9"), SENT("2200", "s1", X, "x9", "false"), TOLD("2300", "x9", "unknown", "") } },
	{ 'B',
	  -1,
	  { ASK("2000", "x2"), TOLD("2300", "x2", "whole", ",\"pieces\":2,\"x\":\"00000000000000aa-1-1\"") },
	  { ASK("2000", "x2"),
	    TOLD("2300", "x2", "whole", ",\"pieces\":3,\"x\":\"00000000000000aa-1-1\"") } },
	{ 'B',
	  -1,
	  { ASK("2000", "x2"), TOLD("2300", "x2", "whole", ",\"pieces\":3,\"x\":\"nobody\"") },
	  { ASK("2000", "x2"), TOLD("2300", "x2", "unknown", "") } },
	{ 'C',
	  -1,
	  { ASK("2000", "x2"), TOLD("2300", "x2", "unknown", ",\"bad\":3") },
	  { ASK("2000", "x2"), TOLD("2300", "x2", "unknown", ",\"bad\":0") } },
	{ 'D',
	  -1,
	  { STATE("3000", "4", "9000") },
	  { STATE("3000", "0", "9000") } }, /* back, whatever it says of its age */
	{ 'D',
	  -1,
	  { ACK("2000", "6", "{\"kind\":\"tenant\",\"name\":\"t1\",\"share\":2}"), ASK("4000", "x2"),
	    SENT("4100", "s1", X, "x2", "true"), /* sends under an old revision */
	    TOLD("4200", "x2", "refused", ""), STATE("4200", "5", "9000"),
	    "platform {\"t\":60000,\"ev\":\"table\",\"edition\":6,\"rows\":[{\"kind\":\"tenant\",\"name\":\"t1\",\"share\":2}]}" },
	  { ACK("2000", "6", "{\"kind\":\"tenant\",\"name\":\"t1\",\"share\":2}"), ASK("3900", "x2"),
	    SENT("3950", "s1", X, "x2", "true"), TOLD("4200", "x2", "refused", ""),
	    STATE("4200", "5", "9000"),
	    "platform {\"t\":60000,\"ev\":\"table\",\"edition\":6,\"rows\":[{\"kind\":\"tenant\",\"name\":\"t1\",\"share\":2}]}" } },
	{ 'E',
	  -1,
	  { "platform {\"t\":2000,\"ev\":\"key-removed\",\"key\":\"key-1\"}", ASK("1500", "x2"),
	    TOLD("9000", "x2", "unknown", ",\"last\":7100") },
	  { "platform {\"t\":2000,\"ev\":\"key-removed\",\"key\":\"key-1\"}", ASK("1500", "x2"),
	    TOLD("9000", "x2", "unknown", ",\"last\":6900") } },
	{ 'E',
	  -1,
	  { "platform {\"t\":2000,\"ev\":\"key-removed\",\"key\":\"key-1\"}",
	    "platform {\"t\":9000,\"ev\":\"key-added\",\"key\":\"key-1\"}", ASK("1500", "x2"),
	    TOLD("9900", "x2", "unknown", ",\"last\":8100") },
	  { "platform {\"t\":2000,\"ev\":\"key-removed\",\"key\":\"key-1\"}",
	    "platform {\"t\":9000,\"ev\":\"key-added\",\"key\":\"key-1\"}", ASK("1500", "x2"),
	    TOLD("9900", "x2", "unknown", ",\"last\":9100") } },
	{ 'F',
	  -1,
	  { "platform {\"t\":2000,\"ev\":\"drained\",\"server\":\"s1\"}", ASK("5000", "x2"),
	    SENT("5100", "s1", X, "x2", "true"), TOLD("5200", "x2", "refused", "") },
	  { "platform {\"t\":2000,\"ev\":\"drained\",\"server\":\"s1\"}",
	    "platform {\"t\":5050,\"ev\":\"undrained\",\"server\":\"s1\"}", ASK("5000", "x2"),
	    SENT("5100", "s1", X, "x2", "true"), TOLD("5200", "x2", "refused", "") } },
	{ 'G',
	  -1,
	  { BEGIN("2000", "{\"w\":\"w0\",\"m\":\"tenant-1\"}") },
	  { BEGIN("2000", "{\"w\":\"w1\",\"m\":\"tenant-1\"}") } },
	{ 'G',
	  -1,
	  { "platform {\"t\":2000,\"ev\":\"wall\",\"tenant\":\"tenant-2\",\"walled\":1}",
	    BEGIN("4100", "{\"w\":\"w1\",\"m\":\"tenant-2\"}") },
	  { "platform {\"t\":2000,\"ev\":\"wall\",\"tenant\":\"tenant-2\",\"walled\":1}",
	    BEGIN("4100", "{\"w\":\"w1\",\"m\":\"tenant-1\"}") } },
	{ 'G',
	  -1,
	  { "platform {\"t\":2000,\"ev\":\"wall\",\"tenant\":\"tenant-1\",\"walled\":1}",
	    BEGIN("4100", "{\"w\":\"w1\",\"m\":\"tenant-2\"}") }, /* the asker is isolated */
	  { "platform {\"t\":2000,\"ev\":\"wall\",\"tenant\":\"tenant-1\",\"walled\":1}",
	    "platform {\"t\":4000,\"ev\":\"wall\",\"tenant\":\"tenant-1\",\"walled\":0}",
	    BEGIN("4100", "{\"w\":\"w1\",\"m\":\"tenant-2\"}") } },
	{ 'G',
	  -1,
	  { STATE("1900", "5", "10"), "platform {\"t\":2000,\"ev\":\"drain-asked\",\"server\":\"s1\"}",
	    "platform {\"t\":2010,\"ev\":\"drained\",\"server\":\"s1\"}",
	    BEGIN("9100", "{\"w\":\"w1\",\"m\":\"tenant-1\",\"ct\":20}") },
	  { STATE("1900", "5", "10"), "platform {\"t\":2000,\"ev\":\"drain-asked\",\"server\":\"s1\"}",
	    "platform {\"t\":2010,\"ev\":\"drained\",\"server\":\"s1\"}",
	    BEGIN("9100", "{\"w\":\"w1\",\"m\":\"tenant-1\",\"ct\":21}") } },
	{ 'H',
	  -1,
	  { "platform {\"t\":2000,\"ev\":\"named\",\"service\":\"a\",\"weights\":\"w2\"}",
	    "platform {\"t\":28000,\"ev\":\"named\",\"service\":\"a\",\"weights\":\"w3\"}", /* overtaken late
											     */
	    "server-s1 {\"t\":30000,\"ev\":\"loaded\",\"server\":\"s1\",\"weights\":\"w3\"}" },
	  { "platform {\"t\":2000,\"ev\":\"named\",\"service\":\"a\",\"weights\":\"w2\"}",
	    "platform {\"t\":26000,\"ev\":\"named\",\"service\":\"a\",\"weights\":\"w3\"}",
	    "server-s1 {\"t\":30000,\"ev\":\"loaded\",\"server\":\"s1\",\"weights\":\"w3\"}" } },
	{ 'H',
	  -1,
	  { "platform {\"t\":2000,\"ev\":\"named\",\"service\":\"a\",\"weights\":\"w2\"}",
	    "server-s1 {\"t\":27100,\"ev\":\"loaded\",\"server\":\"s1\",\"weights\":\"w2\"}" },
	  { "platform {\"t\":2000,\"ev\":\"named\",\"service\":\"a\",\"weights\":\"w2\"}",
	    "server-s1 {\"t\":26900,\"ev\":\"loaded\",\"server\":\"s1\",\"weights\":\"w2\"}" } },
	{ 'H',
	  -1,
	  { "platform {\"t\":2000,\"ev\":\"named\",\"service\":\"a\",\"weights\":\"w2\"}",
	    "server-s1 {\"t\":9000,\"ev\":\"loaded\",\"server\":\"s1\",\"weights\":\"w2\"}", /* came up again
												with the old
												ones */
	    "server-s1 {\"t\":12000,\"ev\":\"up\",\"server\":\"s1\",\"weights\":\"w1\"}" },
	  { "platform {\"t\":2000,\"ev\":\"named\",\"service\":\"a\",\"weights\":\"w2\"}",
	    "server-s1 {\"t\":9000,\"ev\":\"loaded\",\"server\":\"s1\",\"weights\":\"w2\"}",
	    "server-s1 {\"t\":12000,\"ev\":\"up\",\"server\":\"s1\",\"weights\":\"w1\"}",
	    "server-s1 {\"t\":20000,\"ev\":\"loaded\",\"server\":\"s1\",\"weights\":\"w2\"}" } },
	{ 'I',
	  -1,
	  { ORDER("2000", "g1", "5", "false"), ORDER("4900", "g2", "6", "false") },
	  { ORDER("2000", "g1", "5", "false"), ORDER("5000", "g2", "6", "false") } },
	{ 'I',
	  -1,
	  { ORDER("2000", "g1", "5", "false"), ORDER("2100", "g1", "4", "false") },
	  { ORDER("2000", "g1", "5", "false"), ORDER("2100", "g1", "4", "true") } },
	{ 'K',
	  -1,
	  { ACK("2000", "6", "{\"kind\":\"tenant\",\"name\":\"t1\",\"share\":3}") },
	  { ACK("2000", "4", "{\"kind\":\"tenant\",\"name\":\"t1\",\"share\":3}") } }, /* the revision */
	{ 'K',
	  -1,
	  { ACK("2000", "5", "{\"kind\":\"tenant\",\"name\":\"t2\",\"share\":3}") }, /* the rows */
	  { "platform {\"t\":2000,\"ev\":\"tried\",\"change\":{\"set\":[{\"kind\":\"tenant\",\"name\":\"t2\",\"share\":3}]}}" } },
	{ 'K',
	  -1,
	  { "platform {\"t\":2000,\"ev\":\"ack\",\"edition\":5,\"change\":{\"del\":[{\"kind\":\"tenant\",\"name\":\"t1\"}]}}",
	    ACK("2001", "4", "{\"kind\":\"tenant\",\"name\":\"t3\",\"share\":3}") },
	  { "platform {\"t\":2000,\"ev\":\"ack\",\"edition\":5,\"change\":{\"del\":[{\"kind\":\"tenant\",\"name\":\"t4\"}]}}" } },
	{ 'L',
	  -1,
	  { "platform {\"t\":2000,\"ev\":\"fault\",\"what\":\"f\"}", ASK("2500", "x2"),
	    TOLD("14100", "x2", "whole", ",\"pieces\":3,\"x\":\"00000000000000aa-1-1\"") },
	  { "platform {\"t\":2000,\"ev\":\"fault\",\"what\":\"f\"}", ASK("2500", "x2"),
	    TOLD("13900", "x2", "whole", ",\"pieces\":3,\"x\":\"00000000000000aa-1-1\"") } },
	{ 'L',
	  -1,
	  { "platform {\"t\":2000,\"ev\":\"fault\",\"what\":\"f\"}" },
	  { "platform {\"t\":500,\"ev\":\"fault\",\"what\":\"f\"}" } },
};

static void each_rule_is_caught(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof cases / sizeof *cases; i++) {
		struct check_result result;
		char expected[20];

		snprintf(expected, sizeof expected, "BREACH %c", cases[i].letter);
		if (run_checker(&result, cases[i].drop, cases[i].bad, 0) || !result.violations ||
		    !strstr(result.text, expected))
			fail_msg("case %d: no %s in: %s", (int)i, expected, result.text);
		(void)run_checker(&result, cases[i].drop, cases[i].mended, 0);
		if (result.violations)
			fail_msg("case %d, mended: %s", (int)i, result.text);
	}
}

/* Sixteen resends for as many sends in a moment, hidden in a long run of single sends. */
static void bursts_of_resends_are_caught(void **state)
{
	(void)state;
	for (int burst = 0; burst < 2; burst++) {
		static char text[900][200];
		const char *line[900] = { 0 };
		struct check_result result;
		int n = 0;

		for (int i = 0; i < 220; i++) {
			snprintf(
			    text[n], 200,
			    "callers {\"t\":%d,\"ev\":\"ask\",\"id\":\"y%d\",\"counter\":\"C\",\"tenant\":1}",
			    2000 + i * 200, i);
			line[n] = text[n];
			n++;
			for (int k = 0; k < (burst && i >= 100 && i < 116 ? 2 : 1); k++) {
				snprintf(
				    text[n], 200,
				    "server-s1 {\"t\":%d,\"ev\":\"sent\",\"server\":\"s1\",\"x\":\"00000000000000aa-9-1\",\"id\":\"y%d\",\"refused\":true}",
				    2001 + i * 200, i);
				line[n] = text[n];
				n++;
			}
			snprintf(
			    text[n], 200,
			    "callers {\"t\":%d,\"ev\":\"told\",\"id\":\"y%d\",\"counter\":\"C\",\"tenant\":1,\"outcome\":\"refused\"}",
			    2002 + i * 200, i);
			line[n] = text[n];
			n++;
		}
		assert_int_equal(run_checker(&result, -1, line, 0), !burst);
		assert_true(!burst == !strstr(result.text, "BREACH J"));
	}
}

/* What is torn, missing, or of a kind that nobody knows is undecided, and never good. */
static void holes_are_undecided(void **state)
{
	static const char *const torn[] = { "server-s1 {\"t\":1300,\"ev\":\"sent\",\"ser", NULL },
				 *const untimed[] = { "callers {\"ev\":\"closed\"}", NULL };
	static const char *const unknown[] = { "platform {\"t\":1,\"ev\":\"novelty\"}", NULL },
				 *const untold[] = { ASK("3000", "x7"), NULL };
	static const char *const silent[] = {
		"platform {\"t\":25,\"ev\":\"serves\",\"server\":\"s2\",\"service\":\"b\"}", NULL
	};
	static const char *const missed[] = { "platform {\"t\":25,\"ev\":\"missed\",\"what\":\"it\"}", NULL };
	const char *const *more[] = { torn, untimed, unknown, untold, silent, missed };
	static const int needed[] = { 1, 9, 10, 11,
				      12 }; /* server's records, probe, table, closed, finished */
	struct check_result result;

	(void)state;
	for (size_t i = 0; i < sizeof more / sizeof *more; i++) {
		assert_false(run_checker(&result, -1, more[i], 0));
		if (!result.undecided || result.violations)
			fail_msg("hole %d: %s", (int)i, result.text);
	}
	for (size_t i = 0; i < sizeof needed / sizeof *needed; i++) {
		assert_false(run_checker(&result, needed[i], NULL, 0));
		if (!result.undecided)
			fail_msg("without line %d: %s", needed[i], result.text);
	}
}

int main(void)
{
	const struct CMUnitTest t[] = {
		cmocka_unit_test(a_good_run_is_good),
		cmocka_unit_test(each_rule_is_caught),
		cmocka_unit_test(bursts_of_resends_are_caught),
		cmocka_unit_test(holes_are_undecided),
	};

	return cmocka_run_group_tests(t, NULL, NULL);
}
