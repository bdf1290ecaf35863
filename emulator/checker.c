/* Records of the checker, and its run over all rules. Where the pages leave room, the stricter reading is
 * taken, but for rules that need the sender of a connection: on loopback the machine that took the client's
 * attempt counts as the sender. */
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "checker_internal.h"

const struct timing_bounds default_timing_bounds = {
	.contact_ms = 3000,
	.ack_ms = 4000,
	.catch_up_ms = 4000,
	.drain_ms = 3000,
	.grace_ms = 8000,
	.loss_slack_ms = 200,
	.config_apply_ms = 2000,
	.revert_slack_ms = 250,
	.drift_max_ms = 5000,
	.revoke_ms = 5000,
	.retry_window_ms = 10000,
	.retry_slack = 58,
	.recovery_ms = 12000,
	.transit_ms = 120,
	.lease_ms = 3000,
	.thaw_slack_ms = 300,
	.version_ms = 15000,
	.retry_ratio = 0.2,
	.fence_checked = 1,
	.revoke_global = 1,
};

static char *copy_string(const char *string)
{
	return string ? strdup(string) : NULL;
}

void checker_violation(struct checker *j, const char *rule, int64_t at_ms, const char *fmt, ...)
{
	struct violation violation;
	va_list ap;

	memset(&violation, 0, sizeof violation);
	snprintf(violation.rule, sizeof violation.rule, "%s", rule);
	violation.at_ms = at_ms;
	va_start(ap, fmt);
	vsnprintf(violation.text, sizeof violation.text, fmt, ap);
	va_end(ap);
	arrput(j->violations, violation);
}

struct checker *checker_open(const struct timing_bounds *bounds)
{
	struct checker *checker = calloc(1, sizeof *checker);

	checker->bounds = *bounds;
	checker->final_fault_at_ms = checker->restored_at_ms = -1;
	sh_new_strdup(checker->attempt_by_id);
	sh_new_strdup(checker->tenant_names);
	shdefault(checker->attempt_by_id, -1);
	shdefault(checker->tenant_names, -1);
	return checker;
}

void checker_close(struct checker *checker)
{
	for (int i = 0; i < arrlen(checker->attempts); i++) {
		struct attempt *attempt = &checker->attempts[i];

		free(attempt->id), free(attempt->subject), free(attempt->method), free(attempt->host),
		    free(attempt->path), free(attempt->key), free(attempt->seal_id);
		arrfree(attempt->events);
		arrfree(attempt->runs);
	}
	for (int i = 0; i < arrlen(checker->arrivals); i++) {
		struct arrival *arrival = &checker->arrivals[i];

		free(arrival->id), free(arrival->method), free(arrival->host), free(arrival->path),
		    free(arrival->tenant), free(arrival->service), free(arrival->instance);
		arrfree(arrival->used_blocks);
	}
	for (int i = 0; i < arrlen(checker->configs); i++)
		parsed_config_free(checker->configs[i].config);
	for (int i = 0; i < arrlen(checker->listings); i++)
		free(checker->listings[i].instance);
	for (int i = 0; i < arrlen(checker->load_commands); i++)
		free(checker->load_commands[i].instance), free(checker->load_commands[i].lease_owner);
	for (int i = 0; i < arrlen(checker->read_backs); i++)
		free(checker->read_backs[i].text);
	shfree(checker->attempt_by_id);
	shfree(checker->tenant_names);
	arrfree(checker->attempts);
	arrfree(checker->arrivals);
	arrfree(checker->configs);
	arrfree(checker->machine_events);
	arrfree(checker->reloads);
	arrfree(checker->listings);
	arrfree(checker->load_commands);
	arrfree(checker->target_versions);
	arrfree(checker->read_backs);
	arrfree(checker->unexpected_exits);
	arrfree(checker->unsolicited);
	arrfree(checker->violations);
	free(checker);
}

void checker_record_attempt(struct checker *checker, int64_t at_ms, const struct attempt_record *record)
{
	struct attempt attempt;

	memset(&attempt, 0, sizeof attempt);
	attempt.sent_at_ms = at_ms;
	attempt.id = copy_string(record->id), attempt.subject = copy_string(record->subject),
	attempt.method = copy_string(record->method), attempt.host = copy_string(record->host),
	attempt.path = copy_string(record->path);
	attempt.key = copy_string(record->key);
	attempt.body = record->body, attempt.machine = record->machine, attempt.kind = record->kind,
	attempt.last_event = record->last_event, attempt.is_probe = record->is_probe,
	attempt.expects_stream = record->expects_stream;
	attempt.timeout_ms = record->timeout_ms, attempt.class_id = record->class_id;
	attempt.seal_run = -1;
	shput(checker->attempt_by_id, attempt.id, (int)arrlen(checker->attempts));
	arrput(checker->attempts, attempt);
}

int checker_record_arrival(struct checker *checker, int64_t at_ms, const struct arrival_record *record)
{
	struct arrival arrival;

	memset(&arrival, 0, sizeof arrival);
	arrival.at_ms = at_ms;
	arrival.started_at_ms = arrival.ended_at_ms = -1;
	arrival.id = copy_string(text(record->id)), arrival.method = copy_string(record->method),
	arrival.host = copy_string(text(record->host)), arrival.path = copy_string(record->path),
	arrival.tenant = copy_string(record->tenant);
	arrival.service = copy_string(record->service), arrival.instance = copy_string(record->instance);
	arrival.body = record->body, arrival.server = record->server,
	arrival.reject_status = record->reject_status, arrival.last_event = record->last_event;
	arrival.attempt = shget(checker->attempt_by_id, arrival.id);
	arrput(checker->arrivals, arrival);
	if (arrival.attempt >= 0)
		arrput(checker->attempts[arrival.attempt].runs, (int)arrlen(checker->arrivals) - 1);
	return (int)arrlen(checker->arrivals) - 1;
}

void checker_record_start(struct checker *checker, int64_t at_ms, int run, int version,
			  const struct reused_block *record, int n)
{
	struct arrival *arrival = &checker->arrivals[run];

	if (arrival->started_at_ms < 0)
		arrival->started_at_ms = at_ms;
	arrival->version = version;
	for (int i = 0; i < n; i++) {
		struct used_block used = { record[i].version,
					   shget(checker->tenant_names, text(record[i].tenant)) };

		if (used.tenant < 0) {
			used.tenant = (int)shlen(checker->tenant_names);
			shput(checker->tenant_names, text(record[i].tenant), used.tenant);
		}
		arrput(arrival->used_blocks, used);
	}
}

void checker_record_end(struct checker *checker, int64_t at_ms, int run, int how, int status, uint64_t body,
			int last_event)
{
	struct arrival *arrival = &checker->arrivals[run];

	arrival->has_ended = 1;
	arrival->ended_at_ms = at_ms;
	arrival->completion = how;
	arrival->status = status;
	arrival->answer_body = body;
	arrival->last_sent_event = last_event;
}

void checker_record_rejection(struct checker *checker, int run, int status)
{
	checker->arrivals[run].reject_status = status;
}

void checker_record_answer(struct checker *checker, int64_t at_ms, const struct answer_record *answer)
{
	int k = answer->id ? shget(checker->attempt_by_id, answer->id) : -1;
	struct attempt *attempt;

	if (k < 0 || answer->outcome == ANSWER_UNSOLICITED) {
		arrsetlen(checker->unsolicited, arrlenu(checker->unsolicited) + 1);
		snprintf(arrlast(checker->unsolicited).attempt_id,
			 sizeof arrlast(checker->unsolicited).attempt_id, "%s", text(answer->id));
		arrlast(checker->unsolicited).at_ms = at_ms;
		return;
	}
	attempt = &checker->attempts[k];
	attempt->is_answered = 1;
	attempt->answered_at_ms = at_ms;
	attempt->seal_id = copy_string(answer->seal_id);
	attempt->was_read = answer->was_read;
	attempt->status = answer->status, attempt->seal_run = answer->seal_run,
	attempt->is_own_answer = answer->is_own_answer, attempt->outcome = answer->outcome,
	attempt->answer_body = answer->body, attempt->is_stream = answer->is_stream;
	for (int i = 0; i < answer->event_count; i++)
		arrput(attempt->events, answer->events[i]);
}

int checker_record_config(struct checker *checker, int64_t at_ms, struct parsed_config *config, int64_t base,
			  int invalid)
{
	struct submitted_config k = {
		config, base, config ? config->version : 0, at_ms, -1, -1, invalid || !config
	};

	arrput(checker->configs, k);
	return (int)arrlen(checker->configs) - 1;
}

void checker_record_config_outcome(struct checker *checker, int64_t at_ms, int config,
				   enum config_outcome outcome)
{
	if (outcome == CONFIG_OUTCOME_ACKED && checker->configs[config].acked_at_ms < 0)
		checker->configs[config].acked_at_ms = at_ms;
	else if (outcome == CONFIG_OUTCOME_REFUSED && checker->configs[config].refused_at_ms < 0)
		checker->configs[config].refused_at_ms = at_ms;
}

void checker_record_read_back(struct checker *checker, int64_t at_ms, const char *string)
{
	struct read_back_event event = { at_ms, copy_string(string) };

	arrput(checker->read_backs, event);
}

void checker_record_listing(struct checker *checker, int64_t at_ms, const char *instance,
			    enum listing_state state)
{
	struct listing_event event = { at_ms, copy_string(instance), state };

	arrput(checker->listings, event);
}

void checker_record_load_command(struct checker *checker, int64_t at_ms,
				 const struct load_command_record *record)
{
	struct load_command_event event = { at_ms,
					    record->fence,
					    copy_string(record->instance),
					    copy_string(text(record->lease_owner)),
					    record->status,
					    record->thawed };

	arrput(checker->load_commands, event);
}

void checker_record_target_version(struct checker *checker, int64_t at_ms, int version, int acked)
{
	struct target_version_event event = { at_ms, version, acked };

	arrput(checker->target_versions, event);
}

void checker_record_machine(struct checker *checker, int64_t at_ms, int machine, int core,
			    enum fault_cause cause, int up)
{
	struct machine_event event = { at_ms, machine, core, up, cause };

	arrput(checker->machine_events, event);
}

void checker_record_reload(struct checker *checker, int64_t at_ms, int machine)
{
	struct reload_event event = { at_ms, machine };

	arrput(checker->reloads, event);
}

void checker_record_unexpected_exit(struct checker *checker, int64_t at_ms, int machine)
{
	(void)at_ms;
	arrput(checker->unexpected_exits, machine);
}

void checker_set_final_fault(struct checker *checker, int64_t fault, int64_t back)
{
	checker->final_fault_at_ms = fault;
	checker->restored_at_ms = back;
}

static int violation_order(const void *a, const void *b)
{
	const struct violation *violation = a, *y = b;

	return violation->at_ms != y->at_ms ? (violation->at_ms > y->at_ms) - (violation->at_ms < y->at_ms)
					    : strcmp(violation->rule, y->rule);
}

int checker_run(struct checker *checker, int64_t end, const struct violation **violation)
{
	arrsetlen(checker->violations, 0);
	rule_answers(checker);
	rule_order(checker);
	rule_runs(checker);
	rule_config(checker);
	rule_added(checker);
	rule_keys(checker);
	rule_read(checker, end);
	rule_history(checker);
	rule_drain(checker);
	rule_lost(checker);
	rule_budget(checker);
	rule_one(checker);
	rule_memory(checker);
	rule_version(checker);
	rule_acks(checker, end);
	rule_recover(checker);
	rule_ends(checker);
	rule_starved(checker);
	if (arrlen(checker->violations))
		qsort(checker->violations, arrlenu(checker->violations), sizeof *checker->violations,
		      violation_order);
	if (violation)
		*violation = checker->violations;
	return (int)arrlen(checker->violations);
}

void checker_print_attempt(const struct checker *checker, const char *id, FILE *out)
{
	static const char *const how[] = { "whole", "cut", "no answer", "garbage", "given up", "stray" },
				 *const end[] = { "its caller left", "broke off", "whole" };
	int k = shget(((struct checker *)(uintptr_t)checker)->attempt_by_id, id);
	const struct attempt *attempt = k >= 0 ? &checker->attempts[k] : NULL;

	if (!attempt)
		return;
	fprintf(out, "    %7lld sent to machine %d%s: %s%s%s, %lld ms to wait%s\n",
		(long long)attempt->sent_at_ms, attempt->machine,
		checker_in_contact(checker, attempt->machine, attempt->sent_at_ms) ? "" : " (out of touch)",
		attempt->host, attempt->path, attempt->is_probe ? " (probe)" : "",
		(long long)attempt->timeout_ms, attempt->kind == ATTEMPT_ONCE ? ", not repeatable" : "");
	for (int i = 0; i < arrlen(attempt->runs); i++) {
		const struct arrival *arrival = &checker->arrivals[attempt->runs[i]];

		fprintf(out, "    %7lld arrived at %s of %s (run %d)%s", (long long)arrival->at_ms,
			arrival->instance, arrival->service, attempt->runs[i],
			arrival->reject_status ? ", turned away" : "");
		if (arrival->reject_status)
			fprintf(out, " with %d", arrival->reject_status);
		if (arrival->started_at_ms >= 0)
			fprintf(out, ", began at %lld on version %d", (long long)arrival->started_at_ms,
				arrival->version);
		if (arrival->has_ended)
			fprintf(out, ", ended at %lld: %s, %d, piece %d", (long long)arrival->ended_at_ms,
				end[arrival->completion + 1], arrival->status, arrival->last_sent_event);
		fputc('\n', out);
	}
	if (attempt->is_answered)
		fprintf(out, "    %7lld told %d, %s%s%s, seal %d, %d pieces\n",
			(long long)attempt->answered_at_ms, attempt->status, how[attempt->outcome],
			attempt->was_read ? ", had been read" : "",
			attempt->is_own_answer ? ", the system's own" : "", attempt->seal_run,
			(int)arrlen(attempt->events));
}
