/* The checker: judges each "must never happen" of the brief from the records alone.
 * Records: callers.rec, platform.rec, probes.rec, server-*.rec. What is incomplete is undecided, never good.
 */
#include <dirent.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "test_fleet.h"

/* A breach is named by its letter in docs/failures.md. */

struct row {
	int64_t at_ms;
	struct json_object *json;
	const char *kind;
};

struct request_row { /* what is known of one id */
	char *key;
	struct {
		int run_count, send_count, answer_count;
		int64_t requested_at_ms;
		char server[64];
	} value;
};
struct submission_row { /* of one id at one counter: "ID COUNTER" */
	char *key;
	struct {
		int64_t refused_at_ms;
		int is_open, has_run;
	} value;
};
struct router_row { /* by the id that it has for one life: where it is, and its editions as probed */
	char *key;
	struct {
		char address[64];
		struct {
			int64_t requested_at_ms, revision;
		} * probes;
	} value;
};
struct server_row {
	char *key;
	struct {
		int64_t drained_at_ms, undrained_at_ms, drain_horizon, up_at_ms, loaded_at, commanded_at_ms,
		    fence;
		char weights[64], rollout_leader[32], service[64];
		struct {
			int64_t loaded_at_ms;
			char weights[64];
		} * loads;
	} value;
};
struct span_row {
	char *key;
	struct {
		int64_t started_at_ms, ended_at_ms;
	} value;
}; /* to: 0 while it lasts */
struct config_table_row {
	char *key;
	struct {
		struct json_object *acknowledged, **possible;
		int64_t revision;
	} value;
};
struct target_weights {
	int64_t set_at_ms;
	char service[64], weights[64];
};

struct record_checker {
	struct check_result *result;
	int untimed;
	struct row *rows;
	struct request_row *requests;
	struct submission_row *submissions;
	struct router_row *routers;
	struct server_row *servers;
	struct span_row *removed_keys, *isolated_tenants;
	struct config_table_row *table;
	struct {
		char *key;
		int64_t value;
	} * piece_counts, *revision_by_address;
	struct target_weights *targets;
	struct {
		int64_t revision, at_ms;
	} * acks;
	struct {
		int64_t at_ms;
		int is_retry;
	} * send_log; /* sends, in order of time */
	int64_t acked_revision, final_revision, horizon, last_fault_at_ms, last_complete_at_ms,
	    longest_pause_ms;
	int64_t sends, first_sends, complete, refused, unknown, prefilled_tokens, prompt_tokens,
	    fetched_blocks;
	int closed, finished, probe_count, server_record_count;
};

static void append_report(struct check_result *result, const char *fmt, ...)
{
	size_t n = strlen(result->text);
	va_list ap;

	va_start(ap, fmt);
	if (n < sizeof result->text - 500)
		vsnprintf(result->text + n, sizeof result->text - n, fmt, ap);
	va_end(ap);
}

static void report_violation(struct record_checker *checker, char rule, const char *fmt, ...)
{
	char line[400];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(line, sizeof line, fmt, ap);
	va_end(ap);
	if (++checker->result->violations <= 20)
		append_report(checker->result, "BREACH %c: %s\n", rule, line);
}

static void undecided(struct record_checker *checker, const char *fmt, ...)
{
	char line[300];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(line, sizeof line, fmt, ap);
	va_end(ap);
	checker->result->undecided = 1;
	append_report(checker->result, "undecided: %s\n", line);
}

/* ---- reading ---- */

/* Within one millisecond: an asking, then what servers did, then what the caller was told. */
static int record_order(const char *kind)
{
	static const char *const order[] = { "ask", "sent", "begin", "end" };

	for (int i = 0; i < 4; i++)
		if (!strcmp(kind, order[i]))
			return i;
	return 4;
}

static int by_time(const void *a, const void *b)
{
	const struct row *x = a, *y = b;

	return x->at_ms < y->at_ms   ? -1
	       : x->at_ms > y->at_ms ? 1
				     : record_order(x->kind) - record_order(y->kind);
}

/* Each record is one write, so a torn line is a hole: such a run is undecided. */
static void read_file(struct record_checker *checker, const char *path, const char *name)
{
	FILE *out = fopen(path, "r");
	char *line = NULL;
	size_t cap = 0;

	while (out && getline(&line, &cap, out) > 0) {
		struct json_object *json = json_tokener_parse(line);
		struct row row = { json ? json_member_int(json, "t") : 0, json,
				   json ? json_member_string(json, "ev") : "" };

		if (!json || !row.at_ms || !row.kind[0]) {
			undecided(checker, "%s has a line that is torn or no record", name);
			if (json)
				json_object_put(json);
			continue;
		}
		arrput(checker->rows, row);
	}
	if (!out)
		undecided(checker, "%s cannot be read", name);
	free(line);
	if (out)
		fclose(out);
}

static void read_folder(struct record_checker *checker, const char *folder)
{
	DIR *d = opendir(folder);
	struct dirent *dirent;
	char path[900];

	while (d && (dirent = readdir(d))) {
		size_t n = strlen(dirent->d_name);

		if (n < 4 || strcmp(dirent->d_name + n - 4, ".rec"))
			continue;
		snprintf(path, sizeof path, "%s/%s", folder, dirent->d_name);
		checker->server_record_count += !strncmp(dirent->d_name, "server-", 7);
		read_file(checker, path, dirent->d_name);
	}
	if (d)
		closedir(d);
	qsort(checker->rows, (size_t)arrlen(checker->rows), sizeof *checker->rows, by_time);
}

/* ---- one entry of each map, made when it is new ---- */

#define ENTRY(map, k)                                                                       \
	(shgeti(map, k) < 0 ? (void)shput(map, k, ((typeof((map)->value)){ 0 })) : (void)0, \
	 &shgetp(map, k)->value)

static typeof(((struct submission_row *)0)->value) *submission_of(struct record_checker *checker,
								  const char *id, const char *web)
{
	char key[300];

	snprintf(key, sizeof key, "%s %s", id, web);
	return ENTRY(checker->submissions, key);
}

/* The counter that made a send, by the send's id; NULL when no probe ever saw it. */
static typeof(((struct router_row *)0)->value) *router_of_send(struct record_checker *checker,
							       const char *send_id)
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

/* ---- A: once, and never after "refused". B, C: the whole answer, in order, of one run ---- */

static void records_on_request(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	typeof(checker->requests->value) *k = ENTRY(checker->requests, json_member_string(json, "id"));
	typeof(checker->submissions->value) *a =
	    submission_of(checker, json_member_string(json, "id"), json_member_string(json, "counter"));

	k->send_count = 0; /* a caller's own asking anew is no resend */
	k->requested_at_ms = at_ms;
	a->is_open = 1;
	a->has_run = 0;
	a->refused_at_ms = 0;
}

static void check_revision_in_force(struct record_checker *checker, const char *send_id, int64_t at_ms);

static void records_on_send(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	const char *id = json_member_string(json, "id"), *sv = json_member_string(json, "server"),
		   *x = json_member_string(json, "x");
	typeof(checker->requests->value) *k = ENTRY(checker->requests, id);
	typeof(checker->servers->value) *s = ENTRY(checker->servers, sv);
	typeof(checker->routers->value) *c = router_of_send(checker, x);
	typeof(*checker->send_log) y = { at_ms, k->send_count > 0 };

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
		typeof(checker->submissions->value) *a = submission_of(checker, id, c->address);

		if (a->refused_at_ms)
			report_violation(checker, 'A',
					 "%s ran %lld ms after its caller was told it was refused", id,
					 (long long)(at_ms - a->refused_at_ms));
		a->has_run = 1;
	}
}

static void records_on_answer(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	const char *id = json_member_string(json, "id"), *o = json_member_string(json, "outcome"),
		   *x = json_member_string(json, "x");
	typeof(checker->requests->value) *k = ENTRY(checker->requests, id);
	typeof(checker->submissions->value) *a =
	    submission_of(checker, id, json_member_string(json, "counter"));
	char key[32];

	k->answer_count++;
	a->is_open = 0;
	if (json_member_int(json, "bad"))
		report_violation(checker, 'C', "%s: pieces skipped, repeated, spliced or another's (%lld)",
				 id, (long long)json_member_int(json, "bad"));
	if (!strcmp(o, "whole")) {
		checker->complete++;
		/* back: answers to what was asked after the last fault; the pauses between them count as well
		 */
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

/* ---- D: who sends has every edition that was acknowledged 2 s before ---- */

static int64_t required_revision(const struct record_checker *checker, int64_t at_ms)
{
	int64_t need = 0;

	for (ptrdiff_t i = 0; i < arrlen(checker->acks) && checker->acks[i].at_ms < at_ms - 2000; i++)
		if (checker->acks[i].revision > need)
			need = checker->acks[i].revision;
	return need;
}

/* A counter's edition at a send is at most what the next probe saw there. */
static void check_revision_in_force(struct record_checker *checker, const char *send_id, int64_t at_ms)
{
	typeof(checker->routers->value) *c = router_of_send(checker, send_id);

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

static void records_on_state(struct record_checker *checker, struct json_object *json)
{
	const char *web = json_member_string(json, "web");
	int64_t e = json_member_int(json, "edition"), before = shgeti(checker->revision_by_address, web) < 0
								   ? 0
								   : shget(checker->revision_by_address, web);

	checker->probe_count++;
	if (json_member_int(json, "horizon") > checker->horizon)
		checker->horizon = json_member_int(json, "horizon");
	if (e && e < before) /* across its restarts as well; a counter that knows none yet says 0 and serves
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

/* ---- G: whose kept parts were used ---- */

static void records_on_begin(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	struct json_object *used = json_member(json, "used");
	const char *id = json_member_string(json, "id"), *tn = json_member_string(json, "tenant"),
		   *weights = json_member_string(json, "weights"), *sv = json_member_string(json, "server");
	typeof(checker->servers->value) *s = ENTRY(checker->servers, sv);

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
		/* a horizon read before the drain was asked for lies below its purge's tick; 7 s are a
		 * failover and the stale horizon */
		if (!checker->untimed && s->drained_at_ms && at_ms - s->drained_at_ms > 7000 &&
		    !json_member_int(u, "from") && json_member_int(u, "ct") <= s->drain_horizon)
			report_violation(checker, 'G',
					 "%s used a part made at tick %lld at %s, withdrawn with its drain",
					 id, (long long)json_member_int(u, "ct"), sv);
	}
}

/* ---- H, I: orders and weights ---- */

static void records_on_command(struct record_checker *checker, struct json_object *j, int64_t at_ms)
{
	const char *sv = json_member_string(j, "server");
	typeof(checker->servers->value) *s = ENTRY(checker->servers, sv);

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

static void records_on_loaded(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	typeof(checker->servers->value) *s = ENTRY(checker->servers, json_member_string(json, "server"));
	typeof(*s->loads) l = { at_ms, "" };

	snprintf(l.weights, sizeof l.weights, "%s", json_member_string(json, "weights"));
	arrput(s->loads, l);
}

/* Weights that stayed named for 25 s are on every server of the service 25 s after the naming, or after the
 * server came up. A server says with "up" what it was started with. */
static void records_check_targets(struct record_checker *checker, int64_t end)
{
	for (ptrdiff_t i = 0; i < arrlen(checker->targets); i++) {
		int64_t until = end;

		for (ptrdiff_t k = i + 1; k < arrlen(checker->targets); k++)
			if (!strcmp(checker->targets[k].service, checker->targets[i].service)) {
				until = checker->targets[k].set_at_ms;
				break;
			}
		for (ptrdiff_t k = 0; k < shlen(checker->servers); k++) {
			typeof(checker->servers->value) *s = &checker->servers[k].value;
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

/* ---- J: resends in any ten seconds ---- */

static void records_check_retries(struct record_checker *checker)
{
	int64_t margin = 2 + 2 * shlen(checker->routers); /* each counter may have two saved up */

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

/* ---- K: the table that was acknowledged is the table at the end ---- */

static void row_key(struct json_object *row, char *key, size_t n)
{
	snprintf(key, n, "%s %s", json_member_string(row, "kind"), json_member_string(row, "name"));
}

/* A change whose outcome is not known may or may not show; an acknowledged one must, unless a later one hid
 * it. */
static void records_on_change(struct record_checker *checker, struct json_object *change, int64_t revision)
{
	static const char *const what[] = { "set", "del" };

	for (int w = 0; w < 2; w++) {
		struct json_object *list = json_member(change, what[w]);

		for (size_t i = 0; list && i < json_object_array_length(list); i++) {
			struct json_object *row = json_object_array_get_idx(list, i);
			typeof(checker->table->value) *k;
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

static void records_check_table(struct record_checker *checker, struct json_object *rows)
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
		typeof(checker->table->value) *k = &checker->table[i].value;
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

/* ---- the whole ---- */

/* Told apart by what each changes; 0 for a kind that no judge knows. */
static int apply_record(struct record_checker *checker, const struct row *row)
{
	struct json_object *json = row->json;
	const char *ev = row->kind, *sv = json_member_string(json, "server");
	int64_t t = row->at_ms;

	if (!strcmp(ev, "ask")) {
		records_on_request(checker, json, t);
	} else if (!strcmp(ev, "sent")) {
		records_on_send(checker, json, t);
	} else if (!strcmp(ev, "begin")) {
		records_on_begin(checker, json, t);
	} else if (!strcmp(ev, "end")) {
		shput(checker->piece_counts, json_member_string(json, "x"), json_member_int(json, "n"));
	} else if (!strcmp(ev, "told")) {
		records_on_answer(checker, json, t);
	} else if (!strcmp(ev, "state")) {
		records_on_state(checker, json);
	} else if (!strcmp(ev, "order")) {
		records_on_command(checker, json, t);
	} else if (!strcmp(ev, "up")) {
		ENTRY(checker->servers, sv)->up_at_ms = t;
		records_on_loaded(checker, json, t);
	} else if (!strcmp(ev, "loaded")) {
		records_on_loaded(checker, json, t);
	} else if (!strcmp(ev, "serves")) {
		typeof(checker->servers->value) *s = ENTRY(checker->servers, sv);

		snprintf(s->service, sizeof s->service, "%s", json_member_string(json, "service"));
	} else if (!strcmp(ev, "named")) {
		struct target_weights n = { t, "", "" };

		snprintf(n.service, sizeof n.service, "%s", json_member_string(json, "service"));
		snprintf(n.weights, sizeof n.weights, "%s", json_member_string(json, "weights"));
		arrput(checker->targets, n);
	} else if (!strcmp(ev, "ack")) {
		typeof(*checker->acks) a = { json_member_int(json, "edition"), t };

		arrput(checker->acks, a);
		if (a.revision > checker->acked_revision)
			checker->acked_revision = a.revision;
		records_on_change(checker, json_member(json, "change"), a.revision);
	} else if (!strcmp(ev, "tried")) {
		records_on_change(checker, json_member(json, "change"), 0);
	} else if (!strcmp(ev, "key-removed")) {
		shput(checker->removed_keys, json_member_string(json, "key"),
		      ((typeof(checker->removed_keys->value)){ t, 0 }));
	} else if (!strcmp(ev, "key-added")) {
		if (shgeti(checker->removed_keys, json_member_string(json, "key")) >= 0)
			shgetp(checker->removed_keys, json_member_string(json, "key"))->value.ended_at_ms = t;
	} else if (!strcmp(ev, "wall")) { /* walled from the acknowledgement on, open from the asking on */
		if (json_member_int(json, "walled"))
			shput(checker->isolated_tenants, json_member_string(json, "tenant"),
			      ((typeof(checker->isolated_tenants->value)){ t, 0 }));
		else if (shgeti(checker->isolated_tenants, json_member_string(json, "tenant")) >= 0)
			shgetp(checker->isolated_tenants, json_member_string(json, "tenant"))
			    ->value.ended_at_ms = t;
	} else if (!strcmp(ev, "drain-asked")) {
		ENTRY(checker->servers, sv)->drain_horizon = checker->horizon;
	} else if (!strcmp(ev, "drained")) {
		typeof(checker->servers->value) *s = ENTRY(checker->servers, sv);

		s->drained_at_ms = t;
		s->undrained_at_ms = 0;
	} else if (!strcmp(ev, "undrained")) {
		ENTRY(checker->servers, sv)->undrained_at_ms = t;
	} else if (!strcmp(ev, "fault")) {
		checker->last_fault_at_ms = t;
		checker->last_complete_at_ms = checker->longest_pause_ms = 0;
	} else if (!strcmp(ev, "table")) {
		checker->final_revision = json_member_int(json, "edition");
		records_check_table(checker, json_member(json, "rows"));
	} else if (!strcmp(ev, "tool-failed")) {
		report_violation(checker, '-', "%s", json_member_string(json, "what"));
	} else if (!strcmp(ev, "missed")) {
		undecided(checker, "the fault did not bite: %s", json_member_string(json, "what"));
	} else if (!strcmp(ev, "closed")) {
		checker->closed = 1;
	} else if (!strcmp(ev, "finished")) {
		checker->finished = 1;
	} else if (strcmp(ev, "unacknowledged")) {
		return 0;
	}
	return 1;
}

static void check_end(struct record_checker *checker)
{
	for (ptrdiff_t i = 0; i < shlen(checker->requests); i++)
		if (checker->requests[i].value.requested_at_ms && !checker->requests[i].value.answer_count)
			undecided(checker, "%s was asked, and it is not recorded what its caller was told",
				  checker->requests[i].key);
	for (ptrdiff_t i = 0; i < shlen(checker->servers); i++)
		if (checker->servers[i].value.service[0] && !checker->servers[i].value.up_at_ms)
			undecided(checker, "no records of server %s", checker->servers[i].key);
	if (checker->final_revision >= 0 && checker->final_revision < checker->acked_revision)
		report_violation(checker, 'K',
				 "the acknowledged edition %lld is lost: the table ends at %lld",
				 (long long)checker->acked_revision, (long long)checker->final_revision);
	records_check_retries(checker);
	if (!checker->untimed && arrlen(checker->rows))
		records_check_targets(checker, arrlast(checker->rows).at_ms);
	if (!checker->untimed && checker->last_fault_at_ms &&
	    (!checker->last_complete_at_ms || checker->longest_pause_ms > 12000))
		report_violation(checker, 'L', "service was not back 12 s after the last fault");
	if (!checker->closed || !checker->finished || !checker->server_record_count ||
	    !checker->probe_count || checker->final_revision < 0 || !checker->complete)
		undecided(checker, "%s%s%s%s%s%s", checker->closed ? "" : "callers' records are not closed; ",
			  checker->finished ? "" : "the run did not finish; ",
			  checker->server_record_count ? "" : "no server's records; ",
			  checker->probe_count ? "" : "no probes; ",
			  checker->final_revision < 0 ? "no final table; " : "",
			  checker->complete ? "" : "not one whole answer");
}

int check_folder(const char *folder, int untimed, struct check_result *res)
{
	struct record_checker checker;

	memset(res, 0, sizeof *res);
	memset(&checker, 0, sizeof checker);
	checker.result = res;
	checker.untimed = untimed;
	checker.final_revision = -1;
	sh_new_strdup(checker.requests);
	sh_new_strdup(checker.submissions);
	sh_new_strdup(checker.routers);
	sh_new_strdup(checker.servers);
	sh_new_strdup(checker.removed_keys);
	sh_new_strdup(checker.isolated_tenants);
	sh_new_strdup(checker.table);
	sh_new_strdup(checker.piece_counts);
	sh_new_strdup(checker.revision_by_address);
	read_folder(&checker, folder);
	for (ptrdiff_t i = 0; i < arrlen(checker.rows);
	     i++) /* a send is judged by the probe that comes after it */
		if (!strcmp(checker.rows[i].kind, "state")) {
			struct json_object *json = checker.rows[i].json;
			typeof(checker.routers->value) *c =
			    ENTRY(checker.routers, json_member_string(json, "id"));
			typeof(*c->probes) p = { json_member_int(json, "asked"),
						 json_member_int(json, "edition") };

			snprintf(c->address, sizeof c->address, "%s", json_member_string(json, "web"));
			arrput(c->probes, p);
		}
	for (ptrdiff_t i = 0; i < arrlen(checker.rows); i++)
		if (!apply_record(&checker, &checker.rows[i]))
			undecided(&checker, "a record of an unknown kind: %s", checker.rows[i].kind);
	check_end(&checker);
	append_report(
	    res,
	    "exchanges %lld, sends %lld, whole %lld, refused %lld, unknown %lld, probes %d, prompt tokens %lld, read anew %lld (%.1f %%), parts fetched %lld",
	    (long long)checker.first_sends, (long long)checker.sends, (long long)checker.complete,
	    (long long)checker.refused, (long long)checker.unknown, checker.probe_count,
	    (long long)checker.prompt_tokens, (long long)checker.prefilled_tokens,
	    checker.prompt_tokens ? 100.0 * (double)checker.prefilled_tokens / (double)checker.prompt_tokens
				  : 0.0,
	    (long long)checker.fetched_blocks);
	if (checker.last_fault_at_ms)
		append_report(res, ", longest pause after the last fault %lld ms",
			      (long long)(checker.last_complete_at_ms ? checker.longest_pause_ms : -1));
	append_report(res, "\n%s\n", res->undecided ? "undecided" : res->violations ? "FAILED" : "good");
	for (ptrdiff_t i = 0; i < arrlen(checker.rows); i++)
		json_object_put(checker.rows[i].json);
	for (ptrdiff_t i = 0; i < shlen(checker.routers); i++)
		arrfree(checker.routers[i].value.probes);
	for (ptrdiff_t i = 0; i < shlen(checker.servers); i++)
		arrfree(checker.servers[i].value.loads);
	for (ptrdiff_t i = 0; i < shlen(checker.table); i++)
		arrfree(checker.table[i].value.possible);
	arrfree(checker.rows);
	arrfree(checker.acks);
	arrfree(checker.targets);
	arrfree(checker.send_log);
	shfree(checker.requests);
	shfree(checker.submissions);
	shfree(checker.routers);
	shfree(checker.servers);
	shfree(checker.removed_keys);
	shfree(checker.isolated_tenants);
	shfree(checker.table);
	shfree(checker.piece_counts);
	shfree(checker.revision_by_address);
	return !res->undecided && !res->violations;
}
