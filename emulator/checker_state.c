/* What the checker's rules ask of the records: which machine was in contact when, and what each configuration
 * allows. It keeps no state; the rules call it. */
#include <string.h>

#include "containers.h"
#include "checker_internal.h"

int core_is_stable(const struct checker *checker, int64_t at_ms)
{
	int up = 0, n = 0, state[256];

	memset(state, 0, sizeof state);
	for (int i = 0; i < arrlen(checker->machine_events) && checker->machine_events[i].at_ms <= at_ms;
	     i++) {
		const struct machine_event *event = &checker->machine_events[i];

		if (!event->is_core || event->machine >= 256)
			continue;
		if (event->at_ms > at_ms - checker->bounds.contact_ms)
			return 0;
		state[event->machine] = event->up < 0 ? 0
					: event->up   ? 2
						      : 1; /* removed ones are no longer part of it */
	}
	for (int i = 0; i < 256; i++) {
		n += state[i] > 0;
		up += state[i] > 1;
	}
	return up * 2 > n;
}

int checker_in_contact(const struct checker *checker, int machine, int64_t at_ms)
{
	int up = 0;

	if (machine < 0)
		return 0;
	for (int i = 0; i < arrlen(checker->machine_events) && checker->machine_events[i].at_ms <= at_ms; i++)
		if (checker->machine_events[i].machine == machine) {
			if (checker->machine_events[i].at_ms > at_ms - checker->bounds.contact_ms)
				return 0;
			up = checker->machine_events[i].up > 0;
		}
	return up && core_is_stable(checker, at_ms);
}

int unplanned(const struct checker *checker, int machine, int64_t from, int64_t to)
{
	int bad = 0;

	for (int i = 0; i < arrlen(checker->machine_events) && checker->machine_events[i].at_ms <= to; i++) {
		const struct machine_event *event = &checker->machine_events[i];

		if (event->machine != machine && !event->is_core)
			continue;
		if (event->cause == UNPLANNED && event->at_ms >= from)
			return 1;
		if (event->machine == machine && event->at_ms < from)
			bad = event->cause == UNPLANNED && !event->up;
	}
	return bad;
}

int incarnation_of(const struct checker *checker, int machine, int64_t at_ms)
{
	int n = 0;

	for (int i = 0; i < arrlen(checker->machine_events) && checker->machine_events[i].at_ms <= at_ms; i++)
		n += checker->machine_events[i].machine == machine && checker->machine_events[i].up > 0;
	return n;
}

int64_t stable_since(const struct checker *checker, int64_t at_ms)
{
	int64_t from = 0;

	if (!core_is_stable(checker, at_ms))
		return -1;
	for (int i = 0; i < arrlen(checker->machine_events) && checker->machine_events[i].at_ms <= at_ms; i++)
		if (checker->machine_events[i].is_core)
			from = checker->machine_events[i].at_ms + checker->bounds.contact_ms;
	return from;
}

int denial_status(const struct parsed_config *config, const struct attempt *attempt, const char *service)
{
	const struct parsed_route *route = parsed_config_match(config, attempt->host, attempt->path);
	int there = !service;

	if (!route)
		return STATUS_NO_ROUTE;
	if (arrlen(config->tenants) && !route->is_public &&
	    !parsed_config_tenant_of_key(config, text(attempt->key)))
		return STATUS_NO_KEY;
	for (int i = 0; i < route->service_count; i++)
		there |= service && route->weight[i] > 0 && !strcmp(route->service[i], service);
	return there ? 0 : STATUS_NO_ROUTE;
}

int config_is_valid(const struct submitted_config *config)
{
	return config->config && !config->is_invalid && config->refused_at_ms < 0;
}

int64_t min_version_at(const struct checker *checker, int64_t at_ms, int64_t more)
{
	int64_t v = -1;

	for (int i = 0; i < arrlen(checker->configs); i++)
		if (checker->configs[i].acked_at_ms >= 0 &&
		    checker->configs[i].acked_at_ms + checker->bounds.config_apply_ms + more < at_ms &&
		    checker->configs[i].version > v)
			v = checker->configs[i].version;
	return v;
}

struct config_matches match_configs(const struct checker *checker, const struct attempt *attempt,
				    const char *service, int status, int64_t observed_at_ms, int64_t from)
{
	struct config_matches matches = { 0, 0, 0, 0, 1, INT64_MAX, -1 };

	for (int i = 0; i < arrlen(checker->configs); i++) {
		const struct submitted_config *config = &checker->configs[i];
		int d, same;

		if (!config->config || config->sent_at_ms > observed_at_ms)
			continue;
		d = denial_status(config->config, attempt, service);
		same = service ? !d : d == status || (d && status == 403);
		matches.any |= same;
		if (!config_is_valid(config)) {
			matches.invalid |= same;
			continue;
		}
		if (config->version >= from) {
			matches.current |= same;
			matches.all &= !d;
		} else {
			matches.older |= same;
		}
		if (same && config->version < matches.lowest_version)
			matches.lowest_version = config->version;
		if (same && config->version > matches.highest_version)
			matches.highest_version = config->version;
	}
	return matches;
}
