/* Decisions of a router and what it tells of them: records, sums, metrics, and mechanisms that an experiment switches off. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <apr_general.h>
#include <apr_strings.h>
#include <cmocka.h>

#include "ds.h"
#include "router_internal.h"
#include "solo.h"

enum { SHARED = 1000, OWN = 200, PREFILL = 20, ROOM = 100000, SERVERS_MOST = 1900, DECISIONS = 2000 };

/* A router of its own zone, with so many servers of one service and one lane. */
static void open_before(struct solo *s, int servers, uint64_t room, const char *lane)
{
	struct Nl__Row *service, *row, *rows[2];
	struct Nl__Instance **instances;

	solo_open(s, 5);
	service = new_service(s->p, "pool");
	service->prefill = PREFILL;
	service->room = room;
	service->link = 10 * PREFILL;
	service->kv_bytes = 1;
	row = new_row(s->p, NL__KIND__LANE, lane);
	row->service = "pool";
	row->host = "h";
	row->path = "/x/";
	row->limit = 100;
	rows[0] = service;
	rows[1] = row;
	instances = apr_palloc(s->p, (size_t)servers * sizeof *instances);
	for (int i = 0; i < servers; i++)
		instances[i] = new_sight(s->p, i, "pool");
	solo_table(s, rows, 2, instances, (size_t)servers, 1);
	s->c.relay.fresh = 1;
	s->c.relay.known_at = s->now;
}

/* Ask for a prompt of a shared part and one of its own; the send's call, 0 when none left. */
static uint64_t ask(struct solo *s, uint64_t shared, const char *id)
{
	struct router_asking a = { .token = ++s->token, .host = "h", .path = "/x/", .id = id, .limit_ms = 10000 };
	struct router_ev ev = { .kind = ROUTER_ASKED };

	a.nparts = 2;
	a.part[0] = (struct router_part){ shared, SHARED };
	a.part[1] = (struct router_part){ 1000000 + s->token, OWN };
	a.tokens_in = SHARED + OWN;
	a.tokens_out = 10;
	ev.u.ask = &a;
	out_clear(&s->o);
	solo_step(s, &ev);
	return solo_sent(s);
}

static void begin(struct solo *s, uint64_t call, int after_ms)
{
	struct router_ev ev = { .kind = ROUTER_BEGAN };

	s->now += after_ms;
	s->c.f.fresh = s->c.relay.known_at = s->now;
	ev.u.began.token = call;
	solo_step(s, &ev);
}

static const struct decision_counts *counts(const struct solo *s) { return s->c.decisions[0]; }

/* The first send reads at the prefix's home; the next one finds it kept there. */
static void reasons_are_recorded(void **state)
{
	struct solo s;
	uint64_t call;

	(void)state;
	open_before(&s, 6, ROOM, "l1");
	call = ask(&s, 7, "a");
	assert_true(call);
	assert_int_equal(counts(&s)->decisions[DECISION_HOME], 1);
	assert_int_equal(counts(&s)->shared_read, SHARED);
	begin(&s, call, 90);
	assert_int_equal(counts(&s)->first.sum, 90);
	solo_ended(&s, call, ROUTER_WHOLE, 200);
	call = ask(&s, 7, "b");
	assert_int_equal(counts(&s)->decisions[DECISION_KEPT], 1);
	assert_int_equal(counts(&s)->kept, SHARED);
	assert_int_equal(counts(&s)->read, SHARED + 2 * OWN);
	solo_ended(&s, call, ROUTER_BROKE, 0);
	assert_int_equal(counts(&s)->failed, 1);
	solo_close(&s);
}

/* One server, no store, and memory for less than one prompt: it is served, one at a time. */
static void the_smallest_deployment_is_served(void **state)
{
	struct solo s;
	uint64_t first;

	(void)state;
	open_before(&s, 1, 10, "l1");
	first = ask(&s, 7, "a");
	assert_true(first);
	assert_int_equal(counts(&s)->decisions[DECISION_ONLY], 1);
	assert_int_equal(ask(&s, 7, "b"), 0); /* it waits: there is no room beside the first */
	begin(&s, first, 50);
	solo_ended(&s, first, ROUTER_WHOLE, 200);
	for (int i = 0; i < 4 && !solo_sent(&s); i++)
		solo_tick(&s, 25);
	assert_true(solo_sent(&s));
	solo_close(&s);
}

static int is_value(const char *s)
{
	char *end;

	(void)strtod(s, &end);
	return end != s && (*end == '\n' || !*end);
}

/* name{label="value",...} number */
static int is_sample(const char *s)
{
	size_t n = strspn(s, "abcdefghijklmnopqrstuvwxyz_");

	if (!n || strncmp(s, "notchlug_", 9) != 0)
		return 0;
	s += n;
	if (*s == '{') {
		for (s++; *s != '}'; s += *s == ',') {
			s += strspn(s, "abcdefghijklmnopqrstuvwxyz_");
			if (*s++ != '=' || *s++ != '"')
				return 0;
			for (; *s != '"'; s++) {
				if (*s == '\n' || !*s)
					return 0;
				s += *s == '\\';
			}
			s++;
		}
		s++;
	}
	return *s == ' ' && is_value(s + 1);
}

/* Every line is one of the text format, whatever a route is called. */
static void metrics_are_in_the_text_format(void **state)
{
	struct solo s;
	const char *text;
	char *line;
	int samples = 0;

	(void)state;
	open_before(&s, 3, ROOM, "a \"lane\" of \\ ours");
	assert_true(ask(&s, 7, "a"));
	text = router_metrics(&s.c, s.now, s.p);
	assert_non_null(strstr(text, "notchlug_decisions_total{route=\"a \\\"lane\\\" of \\\\ ours\",reason=\"home\"} 1\n"));
	assert_non_null(strstr(text, "notchlug_mechanism_on{name=\"fetch\"} 1\n"));
	assert_non_null(strstr(text, "notchlug_queue_ms_bucket"));
	for (line = apr_pstrdup(s.p, text); line && *line; line = strchr(line, '\n') ? strchr(line, '\n') + 1 : NULL) {
		if (*line == '#')
			continue;
		if (!is_sample(line))
			fail_msg("no line of the format: %.100s", line);
		samples++;
	}
	assert_true(samples > 50);
	solo_close(&s);
}

static void mechanisms_have_names(void **state)
{
	(void)state;
	for (int m = 0; m < MECHANISMS; m++) {
		assert_non_null(mechanism_info[m].name);
		assert_non_null(mechanism_info[m].what);
		assert_int_equal(mechanism_find(mechanism_info[m].name), m);
	}
	assert_int_equal(mechanism_find("nothing"), -1);
	assert_int_equal(mechanism_find(""), -1);
}

/* How long a decision takes, by the number of servers: printed, and bounded far above what any machine needs. */
static void the_time_of_a_decision(void **state)
{
	static const int servers[] = { 18, 60, 480, SERVERS_MOST };

	(void)state;
	for (size_t k = 0; k < sizeof servers / sizeof *servers; k++) {
		struct solo s;
		struct client_request x = {
			.nparts = 2, .size = SHARED + OWN, .id = "a", .server = -1, .tried = UINT32_MAX, .forwarded = 1
		};
		clock_t from;
		double us;
		int found = 0;

		open_before(&s, servers[k], ROOM, "l1");
		x.tokens[0] = SHARED;
		x.tokens[1] = OWN;
		from = clock();
		for (int i = 0; i < DECISIONS; i++) {
			x.hash[0] = (uint64_t)i;
			found += router_assign_forward(&s.c, &x, s.now).server >= 0;
		}
		us = (double)(clock() - from) * 1e6 / CLOCKS_PER_SEC / DECISIONS;
		print_message("%d servers: %.1f us a decision\n", servers[k], us);
		assert_int_equal(found, DECISIONS);
		assert_true(us < 20000);
		solo_close(&s);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(reasons_are_recorded),           cmocka_unit_test(the_smallest_deployment_is_served),
		cmocka_unit_test(metrics_are_in_the_text_format), cmocka_unit_test(mechanisms_have_names),
		cmocka_unit_test(the_time_of_a_decision),
	};
	int rc;

	apr_initialize();
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
