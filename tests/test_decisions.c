/* Decisions of a router and what it tells of them: records, sums, metrics, and mechanisms that an experiment
 * switches off. */
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

#include "containers.h"
#include "router_internal.h"
#include "router_fixture.h"

enum {
	SHARED = 1000,
	OWN = 200,
	PREFILL = 20,
	CAPACITY_TOKENS = 100000,
	SERVERS_MOST = 1900,
	DECISIONS = 2000
};

/* A router of its own zone, with so many servers of one service and one route. */
static void open_before(struct router_fixture *fixture, int servers, uint64_t capacity, const char *route)
{
	struct Nl__Row *service, *row, *rows[2];
	struct Nl__Instance **instances;

	router_fixture_open(fixture, 5);
	service = new_service(fixture->pool, "pool");
	service->prefill_tokens_per_ms = PREFILL;
	service->capacity_tokens = capacity;
	service->link_bytes_per_ms = 10 * PREFILL;
	service->kv_bytes_per_token = 1;
	row = new_row(fixture->pool, NL__KIND__ROUTE, route);
	row->service = "pool";
	row->host = "h";
	row->path = "/x/";
	row->key_optional = 1;
	row->limit = 100;
	rows[0] = service;
	rows[1] = row;
	instances = apr_palloc(fixture->pool, (size_t)servers * sizeof *instances);
	for (int i = 0; i < servers; i++)
		instances[i] = new_instance(fixture->pool, i, "pool");
	router_fixture_table(fixture, rows, 2, instances, (size_t)servers, 1);
	fixture->router.relay.has_knowledge = 1;
	fixture->router.relay.known_at_ms = fixture->now;
}

/* Ask for a prompt of a shared part and one of its own; the send's call, 0 when none left. */
static uint64_t ask(struct router_fixture *fixture, uint64_t shared, const char *id)
{
	struct forwarded_request a = {
		.token = ++fixture->token, .host = "h", .path = "/x/", .request_id = id, .timeout_ms = 10000
	};
	struct router_event input = { .kind = ROUTER_EVENT_FORWARDED_REQUEST };

	a.block_count = 2;
	a.blocks[0] = (struct request_block){ shared, SHARED };
	a.blocks[1] = (struct request_block){ 1000000 + fixture->token, OWN };
	a.input_tokens = SHARED + OWN;
	a.max_output_tokens = 10;
	input.args.forwarded_request = &a;
	command_list_clear(&fixture->commands);
	router_fixture_step(fixture, &input);
	return router_fixture_last_call(fixture);
}

static void begin(struct router_fixture *s, uint64_t call, int after_ms)
{
	struct router_event event = { .kind = ROUTER_EVENT_FORWARD_STREAM_BEGAN };

	s->now += after_ms;
	s->router.config.watch.confirmed_at_ms = s->router.relay.known_at_ms = s->now;
	event.args.forward_began.token = call;
	router_fixture_step(s, &event);
}

static const struct decision_counts *counts(const struct router_fixture *s)
{
	return s->router.records.decision_counts[0];
}

/* The first send reads at the prefix's home; the next one finds it kept there. */
static void reasons_are_recorded(void **state)
{
	struct router_fixture fixture;
	uint64_t call;

	(void)state;
	open_before(&fixture, 6, CAPACITY_TOKENS, "l1");
	call = ask(&fixture, 7, "a");
	assert_true(call);
	assert_int_equal(counts(&fixture)->decisions[DECISION_HOME], 1);
	assert_int_equal(counts(&fixture)->shared_prefill_tokens, SHARED);
	begin(&fixture, call, 90);
	assert_int_equal(counts(&fixture)->first_chunk_ms.sum_ms, 90);
	router_fixture_end_call(&fixture, call, FORWARD_COMPLETE, 200);
	call = ask(&fixture, 7, "b");
	assert_int_equal(counts(&fixture)->decisions[DECISION_CACHED], 1);
	assert_int_equal(counts(&fixture)->cached_tokens, SHARED);
	assert_int_equal(counts(&fixture)->prefill_tokens, SHARED + 2 * OWN);
	router_fixture_end_call(&fixture, call, FORWARD_BROKEN_OFF, 0);
	assert_int_equal(counts(&fixture)->no_first_chunk_count, 1);
	router_fixture_close(&fixture);
}

/* One server, no store, and memory for less than one prompt: it is served, one at a time. */
static void the_smallest_deployment_is_served(void **state)
{
	struct router_fixture fixture;
	uint64_t first;

	(void)state;
	open_before(&fixture, 1, 10, "l1");
	first = ask(&fixture, 7, "a");
	assert_true(first);
	assert_int_equal(counts(&fixture)->decisions[DECISION_ONLY_SERVER], 1);
	assert_int_equal(ask(&fixture, 7, "b"), 0); /* it waits: there is no room beside the first */
	begin(&fixture, first, 50);
	router_fixture_end_call(&fixture, first, FORWARD_COMPLETE, 200);
	for (int i = 0; i < 4 && !router_fixture_last_call(&fixture); i++)
		router_fixture_tick(&fixture, 25);
	assert_true(router_fixture_last_call(&fixture));
	router_fixture_close(&fixture);
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
	struct router_fixture fixture;
	const char *text;
	char *line;
	int samples = 0;

	(void)state;
	open_before(&fixture, 3, CAPACITY_TOKENS, "a \"lane\" of \\ ours");
	assert_true(ask(&fixture, 7, "a"));
	text = router_metrics(&fixture.router, fixture.now, fixture.pool);
	assert_non_null(strstr(
	    text, "notchlug_decisions_total{route=\"a \\\"lane\\\" of \\\\ ours\",reason=\"home\"} 1\n"));
	assert_non_null(strstr(text, "notchlug_mechanism_on{name=\"fetch\"} 1\n"));
	assert_non_null(strstr(text, "notchlug_queue_ms_bucket"));
	for (line = apr_pstrdup(fixture.pool, text); line && *line;
	     line = strchr(line, '\n') ? strchr(line, '\n') + 1 : NULL) {
		if (*line == '#')
			continue;
		if (!is_sample(line))
			fail_msg("no line of the format: %.100s", line);
		samples++;
	}
	assert_true(samples > 50);
	router_fixture_close(&fixture);
}

static void mechanisms_have_names(void **state)
{
	(void)state;
	for (int m = 0; m < MECHANISMS; m++) {
		assert_non_null(mechanism_info[m].name);
		assert_non_null(mechanism_info[m].description);
		assert_int_equal(mechanism_find(mechanism_info[m].name), m);
	}
	assert_int_equal(mechanism_find("nothing"), -1);
	assert_int_equal(mechanism_find(""), -1);
}

/* How long a decision takes, by the number of servers: printed, and bounded far above what any machine needs.
 */
static void the_time_of_a_decision(void **state)
{
	static const int servers[] = { 18, 60, 480, SERVERS_MOST };

	(void)state;
	for (size_t k = 0; k < sizeof servers / sizeof *servers; k++) {
		struct router_fixture fixture;
		struct client_request request = { .prompt.block_count = 2,
						  .prompt.total_tokens = SHARED + OWN,
						  .client.request_id = "a",
						  .attempt.server_index = -1,
						  .retry.avoided_server = UINT32_MAX,
						  .is_forwarded = 1 };
		clock_t from;
		double us;
		int found = 0;

		open_before(&fixture, servers[k], CAPACITY_TOKENS, "l1");
		request.prompt.block_tokens[0] = SHARED;
		request.prompt.block_tokens[1] = OWN;
		from = clock();
		for (int i = 0; i < DECISIONS; i++) {
			request.prompt.block_hash[0] = (uint64_t)i;
			found +=
			    router_place_forwarded(&fixture.router, &request, fixture.now).server_index >= 0;
		}
		us = (double)(clock() - from) * 1e6 / CLOCKS_PER_SEC / DECISIONS;
		print_message("%d servers: %.1f us a decision\n", servers[k], us);
		assert_int_equal(found, DECISIONS);
		assert_true(us < 20000);
		router_fixture_close(&fixture);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(reasons_are_recorded),
		cmocka_unit_test(the_smallest_deployment_is_served),
		cmocka_unit_test(metrics_are_in_the_text_format),
		cmocka_unit_test(mechanisms_have_names),
		cmocka_unit_test(the_time_of_a_decision),
	};
	int rc;

	apr_initialize();
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
