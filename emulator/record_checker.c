/* The checker of records: judges each "must never happen" of docs/failures.md from the records of a run
 * alone. Records: callers.rec, platform.rec, probes.rec, server-*.rec. What is incomplete is undecided, never
 * good. */
#include <dirent.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "record_checker_internal.h"

/* The checker: judges each "must never happen" of the brief from the records alone.
 * Records: callers.rec, platform.rec, probes.rec, server-*.rec. What is incomplete is undecided, never good.
 */
#include <dirent.h>

/* A breach is named by its letter in docs/failures.md. */

static void append_report(struct check_result *result, const char *fmt, ...)
{
	size_t n = strlen(result->text);
	va_list ap;

	va_start(ap, fmt);
	if (n < sizeof result->text - 500)
		vsnprintf(result->text + n, sizeof result->text - n, fmt, ap);
	va_end(ap);
}

void report_violation(struct record_checker *checker, char rule, const char *fmt, ...)
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
		struct server_state *s = ENTRY(checker->servers, sv);

		snprintf(s->service, sizeof s->service, "%s", json_member_string(json, "service"));
	} else if (!strcmp(ev, "named")) {
		struct target_weights n = { t, "", "" };

		snprintf(n.service, sizeof n.service, "%s", json_member_string(json, "service"));
		snprintf(n.weights, sizeof n.weights, "%s", json_member_string(json, "weights"));
		arrput(checker->targets, n);
	} else if (!strcmp(ev, "ack")) {
		struct acknowledgement a = { json_member_int(json, "edition"), t };

		arrput(checker->acks, a);
		if (a.revision > checker->acked_revision)
			checker->acked_revision = a.revision;
		records_on_change(checker, json_member(json, "change"), a.revision);
	} else if (!strcmp(ev, "tried")) {
		records_on_change(checker, json_member(json, "change"), 0);
	} else if (!strcmp(ev, "key-removed")) {
		shput(checker->removed_keys, json_member_string(json, "key"), ((struct span){ t, 0 }));
	} else if (!strcmp(ev, "key-added")) {
		if (shgeti(checker->removed_keys, json_member_string(json, "key")) >= 0)
			shgetp(checker->removed_keys, json_member_string(json, "key"))->value.ended_at_ms = t;
	} else if (!strcmp(ev, "wall")) { /* walled from the acknowledgement on, open from the asking on */
		if (json_member_int(json, "walled"))
			shput(checker->isolated_tenants, json_member_string(json, "tenant"),
			      ((struct span){ t, 0 }));
		else if (shgeti(checker->isolated_tenants, json_member_string(json, "tenant")) >= 0)
			shgetp(checker->isolated_tenants, json_member_string(json, "tenant"))
			    ->value.ended_at_ms = t;
	} else if (!strcmp(ev, "drain-asked")) {
		ENTRY(checker->servers, sv)->drain_horizon = checker->horizon;
	} else if (!strcmp(ev, "drained")) {
		struct server_state *s = ENTRY(checker->servers, sv);

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
			struct router_state *c = ENTRY(checker.routers, json_member_string(json, "id"));
			struct router_probe p = { json_member_int(json, "asked"),
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
