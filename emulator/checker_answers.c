/* Rules about single requests: MIXED, ORDER, UNASKED, ROUTE, TWICE and REFUSED. */
#include <stdbool.h>
#include <string.h>

#include "containers.h"
#include "checker_internal.h"

void rule_answers(struct checker *checker)
{
	for (int i = 0; i < arrlen(checker->unsolicited); i++)
		checker_violation(checker, "MIXED", checker->unsolicited[i].at_ms,
				  "bytes of a success came where no request was waiting (last %s)",
				  checker->unsolicited[i].attempt_id);
	for (int i = 0; i < arrlen(checker->attempts); i++) {
		const struct attempt *attempt = &checker->attempts[i];
		const struct arrival *arrival =
		    attempt->seal_run >= 0 && attempt->seal_run < arrlen(checker->arrivals)
			? &checker->arrivals[attempt->seal_run]
			: NULL;
		int broke = 0;

		if (!attempt->is_answered)
			continue;
		for (int k = 0; k < arrlen(attempt->runs); k++)
			broke |= checker->arrivals[attempt->runs[k]].has_ended &&
				 !checker->arrivals[attempt->runs[k]].completion;
		if (attempt->outcome == ANSWER_GARBLED && !broke)
			checker_violation(checker, "MIXED", attempt->answered_at_ms,
					  "try %s got bytes that are no answer", attempt->id);
		if (attempt->seal_id && strcmp(attempt->seal_id, attempt->id))
			checker_violation(checker, "MIXED", attempt->answered_at_ms,
					  "try %s got the answer of %s", attempt->id, attempt->seal_id);
		if (attempt->status < 200 || attempt->status > 299)
			continue;
		if (!arrival)
			checker_violation(checker, "MIXED", attempt->answered_at_ms,
					  "try %s got a success without a server's stamp", attempt->id);
		else if (arrival->attempt != i)
			checker_violation(checker, "MIXED", attempt->answered_at_ms,
					  "try %s got the stamp of a run of %s", attempt->id, arrival->id);
		else if (arrival->has_ended && arrival->completion == 1 &&
			 (arrival->status < 200 || arrival->status > 299))
			checker_violation(checker, "MIXED", attempt->answered_at_ms,
					  "try %s got a success where its server answered %d", attempt->id,
					  arrival->status);
		else if (attempt->outcome == ANSWER_COMPLETE && !attempt->is_stream &&
			 arrival->completion == 0)
			checker_violation(checker, "MIXED", attempt->answered_at_ms,
					  "try %s got a whole answer where its server broke off",
					  attempt->id);
		else if (attempt->outcome == ANSWER_COMPLETE && !attempt->is_stream && arrival->has_ended &&
			 arrival->completion == 1 && arrival->answer_body != attempt->answer_body)
			checker_violation(checker, "MIXED", attempt->answered_at_ms,
					  "try %s got another body than its server gave", attempt->id);
	}
}

void rule_order(struct checker *checker)
{
	for (int i = 0; i < arrlen(checker->attempts); i++) {
		const struct attempt *attempt = &checker->attempts[i];
		int last = attempt->last_event, run = -1, wrong = 0;

		if (!attempt->is_answered || !attempt->is_stream || attempt->status < 200 ||
		    attempt->status > 299)
			continue;
		for (int k = 0; k < arrlen(attempt->events); k++) {
			const struct stream_event *event = &attempt->events[k];
			const struct arrival *arrival =
			    event->run_id >= 0 && event->run_id < arrlen(checker->arrivals)
				? &checker->arrivals[event->run_id]
				: NULL;

			if (!arrival || arrival->attempt != i) {
				checker_violation(checker, "MIXED", attempt->answered_at_ms,
						  "try %s got a piece of another request's run", attempt->id);
				wrong = 1;
				break;
			}
			if (event->id != last + 1) {
				checker_violation(checker, "ORDER", attempt->answered_at_ms,
						  "try %s got piece %d behind piece %d", attempt->id,
						  event->id, last);
				wrong = 1;
				break;
			}
			if (run >= 0 && event->run_id != run &&
			    (attempt->kind != ATTEMPT_RESUMABLE || arrival->last_event != last)) {
				checker_violation(checker, "ORDER", attempt->answered_at_ms,
						  "try %s got pieces of two runs joined at %d", attempt->id,
						  event->id);
				wrong = 1;
				break;
			}
			run = event->run_id;
			last = event->id;
		}
		if (attempt->outcome == ANSWER_COMPLETE && !wrong) {
			const struct arrival *arrival = run >= 0 ? &checker->arrivals[run] : NULL;

			if (arrival && arrival->attempt == i &&
			    (!arrival->has_ended || arrival->completion != 1 ||
			     arrival->last_sent_event != last))
				checker_violation(checker, "ORDER", attempt->answered_at_ms,
						  "try %s ended as complete at piece %d of %d", attempt->id,
						  last, arrival->last_sent_event);
			else if (!arrival && attempt->seal_run >= 0 &&
				 attempt->seal_run < arrlen(checker->arrivals) &&
				 (checker->arrivals[attempt->seal_run].completion != 1 ||
				  checker->arrivals[attempt->seal_run].last_sent_event > last))
				checker_violation(checker, "ORDER", attempt->answered_at_ms,
						  "try %s ended as complete without a piece", attempt->id);
		}
	}
}

static int key_belongs_to(const struct checker *checker, const char *key, const char *tenant,
			  int *is_known_key)
{
	int ok = 0;

	for (int i = 0; i < arrlen(checker->configs); i++) {
		const struct parsed_tenant *tenant_of_key =
		    checker->configs[i].config
			? parsed_config_tenant_of_key(checker->configs[i].config, text(key))
			: NULL;

		*is_known_key |= tenant_of_key != NULL;
		ok |= tenant_of_key && !strcmp(tenant_of_key->name, text(tenant));
	}
	return ok;
}

/* What the configurations of a run say of a request that a server ran. */
struct run_permission {
	int any;        /* there is a configuration at all */
	bool has_route; /* one sends the request to this service */
	bool has_key;   /* one admits its key on its route */
};

static struct run_permission permission_of(const struct checker *checker, const struct arrival *arrival,
					   const struct attempt *attempt)
{
	struct run_permission permission = { 0, 0, 0 };

	for (int k = 0; k < arrlen(checker->configs); k++) {
		const struct parsed_config *config = checker->configs[k].config;
		const struct parsed_route *route =
		    config ? parsed_config_match(config, attempt->host, attempt->path) : NULL;

		permission.any |= config != NULL;
		if (!route)
			continue;
		for (int s = 0; s < route->service_count; s++)
			permission.has_route |=
			    !strcmp(route->service[s], arrival->service) && route->weight[s] > 0;
		permission.has_key |= route->is_public || !arrlen(config->tenants) ||
				      parsed_config_tenant_of_key(config, text(attempt->key));
	}
	return permission;
}

static void check_run(struct checker *checker, const struct arrival *arrival)
{
	const struct attempt *attempt = arrival->attempt >= 0 ? &checker->attempts[arrival->attempt] : NULL;
	struct run_permission permission;
	int is_known_key = 0;

	if (arrival->started_at_ms < 0)
		return;
	if (!attempt) {
		checker_violation(checker, "UNASKED", arrival->started_at_ms,
				  "a server ran %s, which no client sent", arrival->id);
		return;
	}
	if (strcmp(arrival->method, attempt->method) || strcmp(arrival->path, attempt->path) ||
	    arrival->body != attempt->body || strcmp(arrival->host, attempt->host))
		checker_violation(checker, "UNASKED", arrival->started_at_ms,
				  "try %s ran with another method, host, path or body", attempt->id);
	permission = permission_of(checker, arrival, attempt);
	if (!permission.any)
		return;
	if (!permission.has_route)
		checker_violation(checker, "ROUTE", arrival->started_at_ms,
				  "service %s ran try %s, which no configuration sends there",
				  arrival->service, attempt->id);
	else if (!permission.has_key)
		checker_violation(checker, "ROUTE", arrival->started_at_ms,
				  "try %s ran with a key that no configuration holds", attempt->id);
	else if (arrival->tenant && !key_belongs_to(checker, attempt->key, arrival->tenant, &is_known_key) &&
		 is_known_key)
		checker_violation(checker, "UNASKED", arrival->started_at_ms,
				  "try %s ran as tenant %s, whose key it does not bear", attempt->id,
				  arrival->tenant);
	else if (!arrival->tenant && attempt->key &&
		 !key_belongs_to(checker, attempt->key, "", &is_known_key) && is_known_key)
		checker_violation(checker, "UNASKED", arrival->started_at_ms,
				  "try %s ran without its tenant's name", attempt->id);
}

static void check_run_count(struct checker *checker, const struct attempt *attempt)
{
	int runs = 0;

	for (int k = 0; k < arrlen(attempt->runs); k++)
		runs += checker->arrivals[attempt->runs[k]].started_at_ms >= 0;
	if (attempt->kind == ATTEMPT_ONCE && runs > 1)
		checker_violation(checker, "TWICE", attempt->sent_at_ms, "try %s ran %d times", attempt->id,
				  runs);
	if (attempt->kind == ATTEMPT_ONCE && runs && attempt->is_answered &&
	    (attempt->status == 429 || attempt->status == 503 || attempt->status == 408 ||
	     attempt->status == 421))
		checker_violation(checker, "REFUSED", attempt->answered_at_ms,
				  "try %s was answered %d and ran", attempt->id, attempt->status);
}

void rule_runs(struct checker *checker)
{
	for (int i = 0; i < arrlen(checker->arrivals); i++)
		check_run(checker, &checker->arrivals[i]);
	for (int i = 0; i < arrlen(checker->attempts); i++)
		check_run_count(checker, &checker->attempts[i]);
}
