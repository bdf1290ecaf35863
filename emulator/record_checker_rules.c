/* Rules of the checker of records, by letter: each reads the records of its kinds, in the order of time. */
#include <string.h>

#include "containers.h"
#include "record_checker_internal.h"

static struct submission_state *submission_of(struct record_checker *checker, const char *id, const char *web)
{
	char key[300];

	snprintf(key, sizeof key, "%s %s", id, web);
	return ENTRY(checker->submissions, key);
}

/* The router that made a send, by the send's id; NULL when no probe ever saw it. */
static struct router_state *router_of_send(struct record_checker *checker, const char *send_id)
{
	char id[17];

	snprintf(id, sizeof id, "%s", send_id);
	return shgeti(checker->routers, id) < 0 ? NULL : &shgetp(checker->routers, id)->value;
}

static int is_within(const struct span_row *map, const char *key, int64_t at_ms, int64_t after)
{
	struct span_row *span_row = (struct span_row *)(uintptr_t)map;
	ptrdiff_t i = shgeti(span_row, key);

	return i >= 0 && span_row[i].value.started_at_ms && at_ms - span_row[i].value.started_at_ms > after &&
	       (!span_row[i].value.ended_at_ms || at_ms < span_row[i].value.ended_at_ms);
}

void records_on_request(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	struct request_state *k = ENTRY(checker->requests, json_member_string(json, "id"));
	struct submission_state *a =
	    submission_of(checker, json_member_string(json, "id"), json_member_string(json, "counter"));

	k->send_count = 0; /* a client's own new attempt is no retry of the router's */
	k->requested_at_ms = at_ms;
	a->has_run = 0;
	a->refused_at_ms = 0;
}

static void check_revision_in_force(struct record_checker *checker, const char *send_id, int64_t at_ms);

void records_on_send(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	const char *id = json_member_string(json, "id"), *sv = json_member_string(json, "server"),
		   *x = json_member_string(json, "x");
	struct request_state *k = ENTRY(checker->requests, id);
	struct server_state *s = ENTRY(checker->servers, sv);
	struct router_state *c = router_of_send(checker, x);
	struct logged_send y = { at_ms, k->send_count > 0 };

	checker->sends++;
	checker->first_sends += k->send_count++ == 0;
	arrput(checker->send_log, y);
	if (!k->requested_at_ms)
		report_violation(checker, 'A', "%s was sent, and nobody asked it", id);
	if (!checker->untimed && s->drained_at_ms && !s->undrained_at_ms && at_ms - s->drained_at_ms > 3000)
		report_violation(checker, 'F',
				 "server %s was sent %s, %lld ms after its drain was acknowledged", sv, id,
				 (long long)(at_ms - s->drained_at_ms));
	check_revision_in_force(checker, x, at_ms);
	if (json_member_int(json, "refused"))
		return;
	if (k->run_count++)
		report_violation(checker, 'A', "%s ran twice: at %s and at %s", id, k->server, sv);
	snprintf(k->server, sizeof k->server, "%s", sv);
	if (c) {
		struct submission_state *a = submission_of(checker, id, c->address);

		if (a->refused_at_ms)
			report_violation(checker, 'A',
					 "%s ran %lld ms after its caller was told it was refused", id,
					 (long long)(at_ms - a->refused_at_ms));
		a->has_run = 1;
	}
}

void records_on_answer(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	const char *id = json_member_string(json, "id"), *o = json_member_string(json, "outcome"),
		   *x = json_member_string(json, "x");
	struct request_state *k = ENTRY(checker->requests, id);
	struct submission_state *a = submission_of(checker, id, json_member_string(json, "counter"));
	char key[32];

	k->answer_count++;
	if (json_member_int(json, "bad"))
		report_violation(checker, 'C', "%s: pieces skipped, repeated, spliced or another's (%lld)",
				 id, (long long)json_member_int(json, "bad"));
	if (!strcmp(o, "whole")) {
		checker->complete++;
		/* answers to requests sent after the last fault; the pauses between them count as well */
		if (checker->last_fault_at_ms && k->requested_at_ms >= checker->last_fault_at_ms) {
			if (at_ms - (checker->last_complete_at_ms ? checker->last_complete_at_ms
								  : checker->last_fault_at_ms) >
			    checker->longest_pause_ms)
				checker->longest_pause_ms =
				    at_ms - (checker->last_complete_at_ms ? checker->last_complete_at_ms
									  : checker->last_fault_at_ms);
			checker->last_complete_at_ms = at_ms;
		}
		if (shgeti(checker->piece_counts, x) < 0 ||
		    shget(checker->piece_counts, x) != json_member_int(json, "pieces"))
			report_violation(
			    checker, 'B',
			    "%s: told whole with %lld pieces, which is not the server's whole answer", id,
			    (long long)json_member_int(json, "pieces"));
	} else if (!strcmp(o, "refused")) {
		checker->refused++;
		a->refused_at_ms = at_ms;
		if (a->has_run)
			report_violation(checker, 'A', "%s ran, and its caller was told it was refused", id);
	} else {
		checker->unknown++;
	}
	snprintf(key, sizeof key, "key-%lld", (long long)json_member_int(json, "tenant"));
	if (!checker->untimed && json_member_int(json, "last") &&
	    is_within(checker->removed_keys, key, json_member_int(json, "last"), 5000))
		report_violation(checker, 'E', "%s heard a piece with %s, removed %lld ms before", id, key,
				 (long long)(json_member_int(json, "last") -
					     shget(checker->removed_keys, key).started_at_ms));
}

static int64_t required_revision(const struct record_checker *checker, int64_t at_ms)
{
	int64_t need = 0;

	for (ptrdiff_t i = 0; i < arrlen(checker->acks) && checker->acks[i].at_ms < at_ms - 2000; i++)
		if (checker->acks[i].revision > need)
			need = checker->acks[i].revision;
	return need;
}

/* A router's revision at a send is at most what the next probe saw there. */
static void check_revision_in_force(struct record_checker *checker, const char *send_id, int64_t at_ms)
{
	struct router_state *c = router_of_send(checker, send_id);

	for (ptrdiff_t i = 0; c && !checker->untimed && i < arrlen(c->probes); i++)
		if (c->probes[i].requested_at_ms >= at_ms) {
			if (c->probes[i].revision < required_revision(checker, at_ms))
				report_violation(
				    checker, 'D',
				    "counter %s sent %s under edition %lld; %lld was acknowledged 2 s before",
				    c->address, send_id, (long long)c->probes[i].revision,
				    (long long)required_revision(checker, at_ms));
			return;
		}
}

void records_on_state(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	const char *web = json_member_string(json, "web");
	int64_t e = json_member_int(json, "edition"), before = shgeti(checker->revision_by_address, web) < 0
								   ? 0
								   : shget(checker->revision_by_address, web);

	(void)at_ms;
	checker->probe_count++;
	if (json_member_int(json, "horizon") > checker->horizon)
		checker->horizon = json_member_int(json, "horizon");
	if (e && e < before) /* across its restarts as well; a router that has none yet reports 0 and serves
				nothing */
		report_violation(checker, 'D', "counter %s went back from edition %lld to %lld", web,
				 (long long)before, (long long)e);
	if (e > before)
		shput(checker->revision_by_address, web, e);
	if (!checker->untimed && json_member_int(json, "age_ms") < 1700 &&
	    e < required_revision(checker, json_member_int(json, "asked")))
		report_violation(
		    checker, 'D', "counter %s takes exchanges under edition %lld, but %lld was acknowledged",
		    web, (long long)e, (long long)required_revision(checker, json_member_int(json, "asked")));
}

void records_on_begin(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	struct json_object *used = json_member(json, "used");
	const char *id = json_member_string(json, "id"), *tn = json_member_string(json, "tenant"),
		   *weights = json_member_string(json, "weights"), *sv = json_member_string(json, "server");
	struct server_state *s = ENTRY(checker->servers, sv);

	checker->prefilled_tokens += json_member_int(json, "fresh");
	checker->prompt_tokens += json_member_int(json, "tokens");
	checker->fetched_blocks += json_member_int(json, "fetched");
	for (size_t n = 0; used && n < json_object_array_length(used); n++) {
		struct json_object *u = json_object_array_get_idx(used, n);
		const char *m = json_member_string(u, "m");

		if (strcmp(json_member_string(u, "w"), weights))
			report_violation(checker, 'G', "%s under %s used a part made under %s", id, weights,
					 json_member_string(u, "w"));
		if (!checker->untimed && strcmp(m, tn) &&
		    (is_within(checker->isolated_tenants, m, at_ms, 2000) ||
		     is_within(checker->isolated_tenants, tn, at_ms, 2000)))
			report_violation(checker, 'G',
					 "%s of %s used a part made by %s, one of them walled off", id, tn,
					 m);
		/* a horizon read before the drain was requested lies below its purge's tick; 7 s are a
		 * failover and the stale horizon */
		if (!checker->untimed && s->drained_at_ms && at_ms - s->drained_at_ms > 7000 &&
		    !json_member_int(u, "from") && json_member_int(u, "ct") <= s->drain_horizon)
			report_violation(checker, 'G',
					 "%s used a part made at tick %lld at %s, withdrawn with its drain",
					 id, (long long)json_member_int(u, "ct"), sv);
	}
}

void records_on_command(struct record_checker *checker, struct json_object *j, int64_t at_ms)
{
	const char *sv = json_member_string(j, "server");
	struct server_state *s = ENTRY(checker->servers, sv);

	if (s->commanded_at_ms && strcmp(s->rollout_leader, json_member_string(j, "giver")) &&
	    at_ms - s->commanded_at_ms < 3000)
		report_violation(checker, 'I', "server %s had orders of two givers %lld ms apart", sv,
				 (long long)(at_ms - s->commanded_at_ms));
	if (!json_member_int(j, "fenced") && json_member_int(j, "fence") < s->fence)
		report_violation(checker, 'I', "server %s took an order with a lower fence", sv);
	if (json_member_int(j, "fence") > s->fence)
		s->fence = json_member_int(j, "fence");
	snprintf(s->rollout_leader, sizeof s->rollout_leader, "%s", json_member_string(j, "giver"));
	s->commanded_at_ms = at_ms;
}

void records_on_loaded(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	struct server_state *s = ENTRY(checker->servers, json_member_string(json, "server"));
	struct completed_load l = { at_ms, "" };

	snprintf(l.weights, sizeof l.weights, "%s", json_member_string(json, "weights"));
	arrput(s->loads, l);
}

void records_check_targets(struct record_checker *checker, int64_t end)
{
	for (ptrdiff_t i = 0; i < arrlen(checker->targets); i++) {
		int64_t until = end;

		for (ptrdiff_t k = i + 1; k < arrlen(checker->targets); k++)
			if (!strcmp(checker->targets[k].service, checker->targets[i].service)) {
				until = checker->targets[k].set_at_ms;
				break;
			}
		for (ptrdiff_t k = 0; k < shlen(checker->servers); k++) {
			struct server_state *s = &checker->servers[k].value;
			int64_t from = s->up_at_ms > checker->targets[i].set_at_ms && s->up_at_ms < until
					   ? s->up_at_ms
					   : checker->targets[i].set_at_ms,
				on = 0;

			if (strcmp(s->service, checker->targets[i].service) || until - from < 25000)
				continue;
			for (ptrdiff_t q = 0; q < arrlen(s->loads); q++)
				if (!strcmp(s->loads[q].weights, checker->targets[i].weights) &&
				    s->loads[q].loaded_at_ms <= until &&
				    (s->up_at_ms > until || s->loads[q].loaded_at_ms >= s->up_at_ms))
					on = s->loads[q].loaded_at_ms;
			if (!on)
				report_violation(checker, 'H', "weights %s never reached %s",
						 checker->targets[i].weights, checker->servers[k].key);
			else if (on - from > 25000)
				report_violation(checker, 'H', "weights %s reached %s only after %lld ms",
						 checker->targets[i].weights, checker->servers[k].key,
						 (long long)(on - from));
		}
	}
}

void records_check_retries(struct record_checker *checker)
{
	int64_t margin = 2 + 2 * shlen(checker->routers); /* each router may have two saved up */

	for (ptrdiff_t i = 0; i < arrlen(checker->send_log); i++) {
		int64_t n = 0, retries = 0;

		if (i && checker->send_log[i].at_ms / 500 == checker->send_log[i - 1].at_ms / 500)
			continue;
		for (ptrdiff_t k = i; k < arrlen(checker->send_log) &&
				      checker->send_log[k].at_ms < checker->send_log[i].at_ms + 10000;
		     k++) {
			n++;
			retries += checker->send_log[k].is_retry;
		}
		if (retries > (n - retries) / 5 + margin) {
			report_violation(checker, 'J', "%lld resends for %lld sends within ten seconds",
					 (long long)retries, (long long)(n - retries));
			return;
		}
	}
}

static void row_key(struct json_object *row, char *key, size_t n)
{
	snprintf(key, n, "%s %s", json_member_string(row, "kind"), json_member_string(row, "name"));
}

void records_on_change(struct record_checker *checker, struct json_object *change, int64_t revision)
{
	static const char *const what[] = { "set", "del" };

	for (int w = 0; w < 2; w++) {
		struct json_object *list = json_member(change, what[w]);

		for (size_t i = 0; list && i < json_object_array_length(list); i++) {
			struct json_object *row = json_object_array_get_idx(list, i);
			struct table_row_state *k;
			char key[300];

			row_key(row, key, sizeof key);
			k = ENTRY(checker->table, key);
			if (!revision) {
				arrput(k->possible, w ? NULL : row);
			} else if (revision > k->revision) {
				k->revision = revision;
				k->acknowledged = w ? NULL : row;
			}
		}
	}
}

static int same_row(struct json_object *expected, struct json_object *have)
{
	if (!expected || !have)
		return !expected && !have;
	json_object_object_foreach(expected, name,
				   json) if (!json_object_equal(json, json_member(have, name))) return 0;
	return 1;
}

void records_check_table(struct record_checker *checker, struct json_object *rows)
{
	struct {
		char *key;
		struct json_object *value;
	} *have = NULL;

	for (size_t i = 0; rows && i < json_object_array_length(rows); i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);
		char key[300];

		row_key(row, key, sizeof key);
		if (!have)
			sh_new_strdup(have);
		shput(have, key, row);
	}
	for (ptrdiff_t i = 0; i < shlen(checker->table); i++) {
		struct table_row_state *k = &checker->table[i].value;
		struct json_object *at_end = have && shgeti(have, checker->table[i].key) >= 0
						 ? shget(have, checker->table[i].key)
						 : NULL;
		int fits = !k->revision || same_row(k->acknowledged, at_end);

		for (ptrdiff_t q = 0; q < arrlen(k->possible) && !fits; q++)
			fits = same_row(k->possible[q], at_end);
		if (!fits)
			report_violation(checker, 'K',
					 "what edition %lld said of %s is not in the table at the end",
					 (long long)k->revision, checker->table[i].key);
	}
	shfree(have);
}
