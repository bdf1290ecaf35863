/* The checker of records: judges each "must never happen" of docs/failures.md from the records of a run
 * alone. Records: callers.rec, platform.rec, probes.rec, server-*.rec. What is incomplete is undecided, never
 * good. */
#include <dirent.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "record_checker_internal.h"

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

/* Within one millisecond: a request, then what servers did, then the client's answer. */
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

/* ---- records of the platform and the operators ---- */

static void on_up(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	ENTRY(checker->servers, json_member_string(json, "server"))->up_at_ms = at_ms;
	records_on_loaded(checker, json, at_ms);
}

static void on_serves(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	struct server_state *server = ENTRY(checker->servers, json_member_string(json, "server"));

	(void)at_ms;
	snprintf(server->service, sizeof server->service, "%s", json_member_string(json, "service"));
}

static void on_target(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	struct target_weights target = { at_ms, "", "" };

	snprintf(target.service, sizeof target.service, "%s", json_member_string(json, "service"));
	snprintf(target.weights, sizeof target.weights, "%s", json_member_string(json, "weights"));
	arrput(checker->targets, target);
}

static void on_acknowledged(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	struct acknowledgement ack = { json_member_int(json, "edition"), at_ms };

	arrput(checker->acks, ack);
	if (ack.revision > checker->acked_revision)
		checker->acked_revision = ack.revision;
	records_on_change(checker, json_member(json, "change"), ack.revision);
}

static void on_unclear(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	(void)at_ms;
	records_on_change(checker, json_member(json, "change"), 0);
}

static void on_key_removed(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	shput(checker->removed_keys, json_member_string(json, "key"), ((struct span){ at_ms, 0 }));
}

static void on_key_added(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	const char *key = json_member_string(json, "key");

	if (shgeti(checker->removed_keys, key) >= 0)
		shgetp(checker->removed_keys, key)->value.ended_at_ms = at_ms;
}

/* A tenant is isolated from the acknowledgement on, and no longer from the request to end it on. */
static void on_isolation(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	const char *tenant = json_member_string(json, "tenant");

	if (json_member_int(json, "walled"))
		shput(checker->isolated_tenants, tenant, ((struct span){ at_ms, 0 }));
	else if (shgeti(checker->isolated_tenants, tenant) >= 0)
		shgetp(checker->isolated_tenants, tenant)->value.ended_at_ms = at_ms;
}

static void on_drain_requested(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	(void)at_ms;
	ENTRY(checker->servers, json_member_string(json, "server"))->drain_horizon = checker->horizon;
}

static void on_drained(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	struct server_state *server = ENTRY(checker->servers, json_member_string(json, "server"));

	server->drained_at_ms = at_ms;
	server->undrained_at_ms = 0;
}

static void on_undrained(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	ENTRY(checker->servers, json_member_string(json, "server"))->undrained_at_ms = at_ms;
}

static void on_fault(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	(void)json;
	checker->last_fault_at_ms = at_ms;
	checker->last_complete_at_ms = checker->longest_pause_ms = 0;
}

static void on_final_table(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	(void)at_ms;
	checker->final_revision = json_member_int(json, "edition");
	records_check_table(checker, json_member(json, "rows"));
}

static void on_tool_failed(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	(void)at_ms;
	report_violation(checker, '-', "%s", json_member_string(json, "what"));
}

static void on_missed(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	(void)at_ms;
	undecided(checker, "the fault did not bite: %s", json_member_string(json, "what"));
}

static void on_closed(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	(void)json;
	(void)at_ms;
	checker->closed = 1;
}

static void on_finished(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	(void)json;
	(void)at_ms;
	checker->finished = 1;
}

static void on_end(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	(void)at_ms;
	shput(checker->piece_counts, json_member_string(json, "x"), json_member_int(json, "n"));
}

static void on_unacknowledged(struct record_checker *checker, struct json_object *json, int64_t at_ms)
{
	(void)checker;
	(void)json;
	(void)at_ms;
}

/* Apply a record by its kind; 0 for a kind that no rule knows. */
static int apply_record(struct record_checker *checker, const struct row *row)
{
	static const struct {
		const char *kind;
		void (*apply)(struct record_checker *checker, struct json_object *json, int64_t at_ms);
	} kinds[] = {
		{ "ask", records_on_request },
		{ "sent", records_on_send },
		{ "begin", records_on_begin },
		{ "end", on_end },
		{ "told", records_on_answer },
		{ "state", records_on_state },
		{ "order", records_on_command },
		{ "up", on_up },
		{ "loaded", records_on_loaded },
		{ "serves", on_serves },
		{ "named", on_target },
		{ "ack", on_acknowledged },
		{ "tried", on_unclear },
		{ "key-removed", on_key_removed },
		{ "key-added", on_key_added },
		{ "wall", on_isolation },
		{ "drain-asked", on_drain_requested },
		{ "drained", on_drained },
		{ "undrained", on_undrained },
		{ "fault", on_fault },
		{ "table", on_final_table },
		{ "tool-failed", on_tool_failed },
		{ "missed", on_missed },
		{ "closed", on_closed },
		{ "finished", on_finished },
		{ "unacknowledged", on_unacknowledged },
	};

	for (size_t i = 0; i < sizeof kinds / sizeof *kinds; i++)
		if (!strcmp(row->kind, kinds[i].kind)) {
			kinds[i].apply(checker, row->json, row->at_ms);
			return 1;
		}
	return 0;
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

static void checker_open_maps(struct record_checker *checker)
{
	sh_new_strdup(checker->requests);
	sh_new_strdup(checker->submissions);
	sh_new_strdup(checker->routers);
	sh_new_strdup(checker->servers);
	sh_new_strdup(checker->removed_keys);
	sh_new_strdup(checker->isolated_tenants);
	sh_new_strdup(checker->table);
	sh_new_strdup(checker->piece_counts);
	sh_new_strdup(checker->revision_by_address);
}

static void checker_free(struct record_checker *checker)
{
	for (ptrdiff_t i = 0; i < arrlen(checker->rows); i++)
		json_object_put(checker->rows[i].json);
	for (ptrdiff_t i = 0; i < shlen(checker->routers); i++)
		arrfree(checker->routers[i].value.probes);
	for (ptrdiff_t i = 0; i < shlen(checker->servers); i++)
		arrfree(checker->servers[i].value.loads);
	for (ptrdiff_t i = 0; i < shlen(checker->table); i++)
		arrfree(checker->table[i].value.possible);
	arrfree(checker->rows);
	arrfree(checker->acks);
	arrfree(checker->targets);
	arrfree(checker->send_log);
	shfree(checker->requests);
	shfree(checker->submissions);
	shfree(checker->routers);
	shfree(checker->servers);
	shfree(checker->removed_keys);
	shfree(checker->isolated_tenants);
	shfree(checker->table);
	shfree(checker->piece_counts);
	shfree(checker->revision_by_address);
}

/* Collect all probes first: a send is judged by the probe that comes after it. */
static void collect_probes(struct record_checker *checker)
{
	for (ptrdiff_t i = 0; i < arrlen(checker->rows); i++) {
		struct json_object *json = checker->rows[i].json;
		struct router_state *router;
		struct router_probe probe;

		if (strcmp(checker->rows[i].kind, "state") != 0)
			continue;
		router = ENTRY(checker->routers, json_member_string(json, "id"));
		probe.requested_at_ms = json_member_int(json, "asked");
		probe.revision = json_member_int(json, "edition");
		snprintf(router->address, sizeof router->address, "%s", json_member_string(json, "web"));
		arrput(router->probes, probe);
	}
}

static void append_summary(const struct record_checker *checker, struct check_result *result)
{
	double prefilled_percent = checker->prompt_tokens ? 100.0 * (double)checker->prefilled_tokens /
								(double)checker->prompt_tokens
							  : 0.0;

	append_report(
	    result,
	    "requests %lld, sends %lld, complete %lld, refused %lld, unknown %lld, probes %d, prompt tokens %lld, prefilled %lld (%.1f %%), blocks fetched %lld",
	    (long long)checker->first_sends, (long long)checker->sends, (long long)checker->complete,
	    (long long)checker->refused, (long long)checker->unknown, checker->probe_count,
	    (long long)checker->prompt_tokens, (long long)checker->prefilled_tokens, prefilled_percent,
	    (long long)checker->fetched_blocks);
	if (checker->last_fault_at_ms)
		append_report(result, ", longest pause after the last fault %lld ms",
			      (long long)(checker->last_complete_at_ms ? checker->longest_pause_ms : -1));
	append_report(result, "\n%s\n",
		      result->undecided    ? "undecided"
		      : result->violations ? "FAILED"
					   : "good");
}

int check_folder(const char *folder, int untimed, struct check_result *result)
{
	struct record_checker checker;

	memset(result, 0, sizeof *result);
	memset(&checker, 0, sizeof checker);
	checker.result = result;
	checker.untimed = untimed;
	checker.final_revision = -1;
	checker_open_maps(&checker);
	read_folder(&checker, folder);
	collect_probes(&checker);
	for (ptrdiff_t i = 0; i < arrlen(checker.rows); i++)
		if (!apply_record(&checker, &checker.rows[i]))
			undecided(&checker, "a record of an unknown kind: %s", checker.rows[i].kind);
	check_end(&checker);
	append_summary(&checker, result);
	checker_free(&checker);
	return !result->undecided && !result->violations;
}
