/* Rules about configurations and keys: which version a request was handled by, what was acknowledged, read
 * back or revoked. */
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "operator_history.h"
#include "checker_internal.h"

/* Requests that a stable core's machine denied though every configuration that may be in force admits them.
 */
struct denials {
	int denied;
	int answered; /* all requests with an answer, without probes */
	int64_t last_at_ms;
};

static int is_denial(int status)
{
	return status == 401 || status == 403 || status == 404;
}

/* A run must be as a configuration in force has it, if the machine was in contact. */
static void check_run_config(struct checker *checker, const struct attempt *attempt,
			     const struct arrival *arrival, int in_contact, int64_t min_version)
{
	struct config_matches matches;

	if (arrival->started_at_ms < 0)
		return;
	matches = match_configs(checker, attempt, arrival->service, 0, arrival->started_at_ms, min_version);
	if (in_contact && checker_in_contact(checker, attempt->machine, arrival->started_at_ms) &&
	    !matches.current && matches.older)
		checker_violation(checker, "CONFIG", arrival->started_at_ms,
				  "try %s ran at %s, as only a version before %lld has it", attempt->id,
				  arrival->service, (long long)min_version);
	else if (!matches.current && !matches.older && matches.invalid)
		checker_violation(checker, "CONFIG", arrival->started_at_ms,
				  "try %s ran at %s, as only a refused or invalid configuration has it",
				  attempt->id, arrival->service);
}

/* An answer of the system's own that denies a request must be as a configuration in force has it. */
static void check_own_answer(struct checker *checker, const struct attempt *attempt, int in_contact,
			     int64_t min_version, struct denials *denials)
{
	struct config_matches matches;

	if (!attempt->is_answered || !attempt->is_own_answer || attempt->status < 300 ||
	    attempt->status >= 500 || attempt->status == 408 || attempt->status == 421 ||
	    attempt->status == 429)
		return;
	matches =
	    match_configs(checker, attempt, NULL, attempt->status, attempt->answered_at_ms, min_version);
	if (!in_contact || !checker_in_contact(checker, attempt->machine, attempt->answered_at_ms))
		return;
	if (is_denial(attempt->status) && !matches.current && matches.older) {
		checker_violation(checker, "CONFIG", attempt->answered_at_ms,
				  "try %s was denied with %d, as only a version before %lld does",
				  attempt->id, attempt->status, (long long)min_version);
	} else if (matches.all && !attempt->is_probe && min_version >= 0) {
		denials->denied++;
		denials->last_at_ms = attempt->answered_at_ms;
	}
}

static void check_versions_in_force(struct checker *checker)
{
	struct denials denials = { 0, 0, 0 };

	for (int i = 0; i < arrlen(checker->attempts); i++) {
		const struct attempt *attempt = &checker->attempts[i];
		int in_contact = checker_in_contact(checker, attempt->machine, attempt->sent_at_ms);
		int64_t slack =
		    core_is_stable(checker, attempt->sent_at_ms) ? 0 : checker->bounds.drift_max_ms;
		int64_t min_version = min_version_at(checker, attempt->sent_at_ms, slack);

		denials.answered += attempt->is_answered && !attempt->is_probe;
		for (int k = 0; k < arrlen(attempt->runs); k++)
			check_run_config(checker, attempt, &checker->arrivals[attempt->runs[k]], in_contact,
					 min_version);
		check_own_answer(checker, attempt, in_contact, min_version, &denials);
	}
	if (denials.denied > 5 + denials.answered / 500)
		checker_violation(checker, "DENIED", denials.last_at_ms,
				  "%d of %d proper requests were denied", denials.denied, denials.answered);
}

/* That an incarnation of a machine had at least a version, as a run shows. */
struct version_evidence {
	int64_t observed_at_ms;
	int64_t lowest_version;
	int incarnation;
};

/* All evidence of one machine, as an stb_ds array that replaces what evidence held. */
static struct version_evidence *collect_evidence(const struct checker *checker, int machine,
						 struct version_evidence *evidence)
{
	arrsetlen(evidence, 0);
	for (int i = 0; i < arrlen(checker->attempts); i++) {
		const struct attempt *attempt = &checker->attempts[i];

		if (attempt->machine != machine)
			continue;
		for (int k = 0; k < arrlen(attempt->runs); k++) {
			const struct arrival *arrival = &checker->arrivals[attempt->runs[k]];
			struct version_evidence proof;
			struct config_matches matches;

			if (arrival->started_at_ms < 0)
				continue;
			matches =
			    match_configs(checker, attempt, arrival->service, 0, arrival->started_at_ms, -1);
			if (matches.highest_version < 0)
				continue;
			proof.observed_at_ms = arrival->started_at_ms;
			proof.lowest_version = matches.lowest_version;
			proof.incarnation = incarnation_of(checker, machine, attempt->sent_at_ms);
			arrput(evidence, proof);
		}
	}
	return evidence;
}

/* The newest version that the machine's incarnation had shown before an attempt was sent to it, or -1. */
static int64_t version_proven(const struct checker *checker, const struct attempt *attempt,
			      const struct version_evidence *evidence)
{
	int incarnation = incarnation_of(checker, attempt->machine, attempt->sent_at_ms);
	int64_t newest = -1;

	for (int k = 0; k < arrlen(evidence); k++)
		if (evidence[k].incarnation == incarnation &&
		    evidence[k].observed_at_ms + checker->bounds.revert_slack_ms < attempt->sent_at_ms &&
		    evidence[k].lowest_version > newest)
			newest = evidence[k].lowest_version;
	return newest;
}

static void check_no_reversal(struct checker *checker, const struct attempt *attempt, int64_t proven_version)
{
	struct config_matches matches;

	for (int k = 0; k < arrlen(attempt->runs); k++) {
		const struct arrival *arrival = &checker->arrivals[attempt->runs[k]];

		if (arrival->started_at_ms < 0)
			continue;
		matches = match_configs(checker, attempt, arrival->service, 0, arrival->started_at_ms, -1);
		if (matches.highest_version >= 0 && matches.highest_version < proven_version)
			checker_violation(checker, "CONFIG", arrival->started_at_ms,
					  "machine %d went back behind %lld with try %s", attempt->machine,
					  (long long)proven_version, attempt->id);
	}
	if (!attempt->is_own_answer || !is_denial(attempt->status))
		return;
	matches = match_configs(checker, attempt, NULL, attempt->status, attempt->answered_at_ms, -1);
	if (matches.highest_version >= 0 && matches.highest_version < proven_version)
		checker_violation(checker, "CONFIG", attempt->answered_at_ms,
				  "machine %d went back behind %lld and denied try %s", attempt->machine,
				  (long long)proven_version, attempt->id);
}

/* No machine goes back: what an incarnation has shown holds for it. */
static void check_reversals(struct checker *checker)
{
	struct version_evidence *evidence = NULL;

	for (int machine = 0; machine < 64; machine++) {
		evidence = collect_evidence(checker, machine, evidence);
		for (int i = 0; i < arrlen(checker->attempts); i++) {
			const struct attempt *attempt = &checker->attempts[i];
			int64_t proven_version;

			if (attempt->machine != machine || !attempt->is_answered)
				continue;
			proven_version = version_proven(checker, attempt, evidence);
			if (proven_version >= 0)
				check_no_reversal(checker, attempt, proven_version);
		}
	}
	arrfree(evidence);
}

static const char *config_text(const struct submitted_config *config)
{
	return config->config ? text(config->config->text) : "";
}

/* No invalid configuration is acknowledged, nor two different ones on top of the same version. */
static void check_acknowledged(struct checker *checker)
{
	for (int i = 0; i < arrlen(checker->configs); i++) {
		const struct submitted_config *config = &checker->configs[i];

		if (config->is_invalid && config->acked_at_ms >= 0)
			checker_violation(checker, "CONFIG", config->acked_at_ms,
					  "an invalid configuration (%lld on %lld) was acknowledged",
					  (long long)config->version, (long long)config->base_version);
		for (int n = 0; n < i; n++) {
			const struct submitted_config *earlier = &checker->configs[n];

			if (config->acked_at_ms >= 0 && earlier->acked_at_ms >= 0 &&
			    config->base_version == earlier->base_version &&
			    (config->version != earlier->version ||
			     strcmp(config_text(config), config_text(earlier))))
				checker_violation(checker, "CONFIG", config->acked_at_ms,
						  "%lld and %lld, both on top of %lld, were acknowledged",
						  (long long)earlier->version, (long long)config->version,
						  (long long)config->base_version);
		}
	}
}

void rule_config(struct checker *checker)
{
	check_versions_in_force(checker);
	check_reversals(checker);
	check_acknowledged(checker);
}

/* Routes added later are served like the first ones. */
void rule_added(struct checker *checker)
{
	const struct parsed_config *first = NULL;
	double got[2] = { 0, 0 }, all[2] = { 0, 0 };
	int added = 0;

	for (int i = 0; i < arrlen(checker->configs) && !first; i++)
		if (config_is_valid(&checker->configs[i]))
			first = checker->configs[i].config;
	if (!first)
		return;
	for (int i = 0; i < arrlen(checker->configs); i++)
		if (config_is_valid(&checker->configs[i]) && checker->configs[i].config != first)
			added =
			    arrlen(checker->configs[i].config->routes) - arrlen(first->routes) > added
				? (int)(arrlen(checker->configs[i].config->routes) - arrlen(first->routes))
				: added;
	if (added < 20)
		return;
	for (int i = 0; i < arrlen(checker->attempts); i++) {
		const struct attempt *attempt = &checker->attempts[i];
		int late = !parsed_config_match(first, attempt->host, attempt->path), there = 1, known = 0;
		int64_t from = min_version_at(checker, attempt->sent_at_ms, 0);

		if (!attempt->is_answered ||
		    !checker_in_contact(checker, attempt->machine, attempt->sent_at_ms) ||
		    attempt->outcome == ANSWER_ABANDONED)
			continue;
		for (int k = 0; k < arrlen(checker->configs); k++)
			if (config_is_valid(&checker->configs[k]) && checker->configs[k].version >= from &&
			    checker->configs[k].sent_at_ms <= attempt->answered_at_ms) {
				known = 1;
				there &= !denial_status(checker->configs[k].config, attempt, NULL);
			}
		if (!known || !there)
			continue;
		all[late]++;
		got[late] += attempt->status >= 200 && attempt->status < 300;
	}
	if (all[0] >= 20 && all[1] >= 20 && got[0] / all[0] > 4 * got[1] / all[1])
		checker_violation(
		    checker, "CONFIG", 0,
		    "routes added later were served %.0f of %.0f times, the first ones %.0f of %.0f", got[1],
		    all[1], got[0], all[0]);
}

void rule_keys(struct checker *checker)
{
	if (!checker->bounds.revoke_global)
		return;
	for (int i = 0; i < arrlen(checker->attempts); i++) {
		const struct attempt *attempt = &checker->attempts[i];
		int64_t ran = -1;

		for (int k = 0; k < arrlen(attempt->runs); k++)
			if (checker->arrivals[attempt->runs[k]].started_at_ms >= 0)
				ran = checker->arrivals[attempt->runs[k]].started_at_ms;
		if (ran < 0 || !attempt->key)
			continue;
		for (int n = 0; n < arrlen(checker->configs); n++) {
			const struct submitted_config *k = &checker->configs[n];
			const struct parsed_route *route;
			int had = 0, has = 0;

			if (!k->config || k->acked_at_ms < 0 ||
			    k->acked_at_ms + checker->bounds.revoke_ms >= attempt->sent_at_ms ||
			    parsed_config_tenant_of_key(k->config, attempt->key))
				continue;
			route = parsed_config_match(k->config, attempt->host, attempt->path);
			if (route && route->is_public)
				continue;
			for (int x = 0; x < arrlen(checker->configs); x++) {
				const struct parsed_config *config = checker->configs[x].config;

				if (!config || checker->configs[x].sent_at_ms > ran ||
				    !parsed_config_tenant_of_key(config, attempt->key))
					continue;
				had |= config->version < k->version;
				has |= config->version > k->version && config_is_valid(&checker->configs[x]);
			}
			if (had && !has) {
				checker_violation(checker, "CONFIG", ran,
						  "try %s ran with a key that version %lld took away at %lld",
						  attempt->id, (long long)k->version,
						  (long long)k->acked_at_ms);
				break;
			}
		}
	}
}

void rule_read(struct checker *checker, int64_t end)
{
	const struct submitted_config *top = NULL;
	const char *rule = checker->final_fault_at_ms >= 0 ? "LOST" : "CONFIG";
	struct parsed_config *config;
	int same = 0;

	if (!arrlen(checker->read_backs))
		return;
	for (int i = 0; i < arrlen(checker->configs); i++)
		if (checker->configs[i].acked_at_ms >= 0 &&
		    (!top || checker->configs[i].version > top->version))
			top = &checker->configs[i];
	if (!top)
		return;
	config =
	    arrlast(checker->read_backs).text ? parsed_config_read(arrlast(checker->read_backs).text) : NULL;
	if (!config) {
		checker_violation(checker, "CONFIG", end, "the configuration read back does not come");
		return;
	}
	if (config->version < top->version)
		checker_violation(checker, rule, arrlast(checker->read_backs).at_ms,
				  "read back: %lld, though %lld was acknowledged", (long long)config->version,
				  (long long)top->version);
	for (int i = 0; i < arrlen(checker->configs); i++) {
		struct json_object *a, *b;

		if (!checker->configs[i].config || checker->configs[i].version != config->version)
			continue;
		a = json_tokener_parse(checker->configs[i].config->text);
		b = json_tokener_parse(config->text);
		same |= !checker->configs[i].is_invalid && json_object_equal(a, b);
		json_object_put(a);
		json_object_put(b);
	}
	if (config->version >= top->version && !same)
		checker_violation(checker, "CONFIG", arrlast(checker->read_backs).at_ms,
				  "read back: %lld differs from what was sent under it",
				  (long long)config->version);
	parsed_config_free(config);
}

void rule_acks(struct checker *checker, int64_t end)
{
	for (int i = 0; i < arrlen(checker->configs); i++) {
		const struct submitted_config *k = &checker->configs[i];
		int64_t most, from, newest = 0;

		if (k->is_invalid || k->refused_at_ms >= 0)
			continue;
		most = checker->bounds.ack_ms + 3 * arrlen(k->config->routes);
		for (int n = 0; n < arrlen(checker->configs);
		     n++) /* on top of what is no longer current it need not be acknowledged */
			if (n != i && checker->configs[n].acked_at_ms >= 0 &&
			    checker->configs[n].acked_at_ms <= k->sent_at_ms + most &&
			    checker->configs[n].version > newest &&
			    checker->configs[n].base_version <= k->base_version &&
			    checker->configs[n].version > k->base_version)
				newest = checker->configs[n].version;
		if (newest)
			continue;
		if ((k->acked_at_ms >= 0 && k->acked_at_ms <= k->sent_at_ms + most) ||
		    end < k->sent_at_ms + most)
			continue;
		from = stable_since(checker, k->sent_at_ms + most);
		if (from >= 0 && from <= k->sent_at_ms)
			checker_violation(
			    checker, "ACKS", k->sent_at_ms + most,
			    "configuration %lld, sent at %lld, was not acknowledged within %lld ms",
			    (long long)k->version, (long long)k->sent_at_ms, (long long)most);
	}
	for (int i = 0; i < arrlen(checker->target_versions); i++) {
		int ok = 0;
		int64_t from;

		if (checker->target_versions[i].is_acked ||
		    end < checker->target_versions[i].at_ms + checker->bounds.ack_ms)
			continue;
		for (int k = 0; k < arrlen(checker->target_versions); k++)
			ok |= checker->target_versions[k].is_acked &&
			      checker->target_versions[k].version >= checker->target_versions[i].version &&
			      checker->target_versions[k].at_ms <=
				  checker->target_versions[i].at_ms + checker->bounds.ack_ms;
		from = stable_since(checker, checker->target_versions[i].at_ms + checker->bounds.ack_ms);
		if (!ok && from >= 0 && from <= checker->target_versions[i].at_ms)
			checker_violation(checker, "ACKS",
					  checker->target_versions[i].at_ms + checker->bounds.ack_ms,
					  "weights %d, named at %lld, were not acknowledged",
					  checker->target_versions[i].version,
					  (long long)checker->target_versions[i].at_ms);
	}
}

/* All that the operator sent and read fits one register. Readings come one after the other, each within a
 * second. */
void rule_history(struct checker *checker)
{
	struct history_write *writes = NULL;
	struct history_read *reads = NULL;
	char why[400];

	for (int i = 0; i < arrlen(checker->configs); i++) {
		const struct submitted_config *config = &checker->configs[i];
		struct history_write history_write = {
			config->base_version,  config->version,
			config->sent_at_ms,    config->acked_at_ms,
			config->refused_at_ms, config->config ? text(config->config->text) : NULL
		};

		if (!config->is_invalid)
			arrput(writes, history_write);
	}
	for (int i = 0; i < arrlen(checker->read_backs); i++) {
		struct history_read history_read = { checker->read_backs[i].at_ms - 1000,
						     checker->read_backs[i].at_ms,
						     text(checker->read_backs[i].text) };

		if (checker->read_backs[i].text)
			arrput(reads, history_read);
	}
	if (!history_is_linearizable(writes, arrlenu(writes), reads, arrlenu(reads), why, sizeof why))
		checker_violation(checker, checker->final_fault_at_ms >= 0 ? "LOST" : "CONFIG",
				  arrlen(reads) ? arrlast(reads).answered_at_ms : 0,
				  "the operator's history is %s", why);
	arrfree(writes);
	arrfree(reads);
}
