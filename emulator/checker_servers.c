/* Rules about model servers: draining, the fence of load commands, reuse of blocks of other weights or
 * tenants, versions. */
#include <string.h>

#include "containers.h"
#include "checker_internal.h"

void rule_drain(struct checker *checker)
{
	for (int i = 0; i < arrlen(checker->arrivals); i++) {
		const struct arrival *arrival = &checker->arrivals[i];
		int64_t drain_listed_at_ms = -1;

		if (arrival->reject_status == 421 || arrival->attempt < 0 ||
		    !checker_in_contact(checker, checker->attempts[arrival->attempt].machine, arrival->at_ms))
			continue;
		for (int k = 0; k < arrlen(checker->listings); k++)
			if (checker->listings[k].state != LISTED_READY &&
			    !strcmp(checker->listings[k].instance, arrival->instance) &&
			    (drain_listed_at_ms < 0 || checker->listings[k].at_ms < drain_listed_at_ms))
				drain_listed_at_ms = checker->listings[k].at_ms;
		if (drain_listed_at_ms >= 0 && arrival->at_ms > drain_listed_at_ms + checker->bounds.drain_ms)
			checker_violation(checker, "DRAIN", arrival->at_ms,
					  "%s got try %s %lld ms after the list showed that it drains",
					  arrival->instance, arrival->id,
					  (long long)(arrival->at_ms - drain_listed_at_ms));
	}
}

void rule_one(struct checker *checker)
{
	for (int i = 0; i < arrlen(checker->load_commands); i++) {
		const struct load_command_event *b = &checker->load_commands[i];

		if (b->thawed || (b->status == 412 && checker->bounds.fence_checked))
			continue;
		for (int k = i - 1; k >= 0; k--) {
			const struct load_command_event *a = &checker->load_commands[k];

			if (a->thawed || (a->status == 412 && checker->bounds.fence_checked) ||
			    strcmp(a->instance, b->instance))
				continue;
			if (strcmp(a->lease_owner, b->lease_owner) && a->fence == b->fence) {
				checker_violation(checker, "ONE", b->at_ms,
						  "%s and %s share fence %lld at %s", a->lease_owner,
						  b->lease_owner, (long long)b->fence, b->instance);
				break;
			}
			if (!checker->bounds.fence_checked && b->fence < a->fence) {
				checker_violation(checker, "ONE", b->at_ms, "fence %lld follows %lld at %s",
						  (long long)b->fence, (long long)a->fence, b->instance);
				break;
			}
			if (strcmp(a->lease_owner, b->lease_owner) &&
			    b->at_ms - a->at_ms < checker->bounds.lease_ms) {
				checker_violation(checker, "ONE", b->at_ms,
						  "%s gave an order %lld ms after %s at %s", b->lease_owner,
						  (long long)(b->at_ms - a->at_ms), a->lease_owner,
						  b->instance);
				break;
			}
		}
	}
}

void rule_memory(struct checker *checker)
{
	for (int i = 0; i < arrlen(checker->arrivals); i++) {
		const struct arrival *arrival = &checker->arrivals[i];
		int stale = 0, isolated_use = 0;

		if (arrival->started_at_ms < 0)
			continue;
		for (int k = 0; k < arrlen(arrival->used_blocks); k++) {
			const char *maker = checker->tenant_names[arrival->used_blocks[k].tenant].key;

			stale |= arrival->used_blocks[k].version != arrival->version;
			if (!strcmp(maker, text(arrival->tenant)))
				continue;
			{ /* it applies when every configuration that may be in force says so */
				int64_t floor = min_version_at(checker, arrival->started_at_ms, 0);
				int all = 0, some = 0;

				for (int x = 0; x < arrlen(checker->configs); x++) {
					const struct parsed_config *config = checker->configs[x].config;
					int w = 0;

					if (!config_is_valid(&checker->configs[x]) ||
					    checker->configs[x].version < floor ||
					    checker->configs[x].sent_at_ms > arrival->started_at_ms)
						continue;
					for (int n = 0; n < arrlen(config->tenants); n++)
						w |=
						    config->tenants[n].isolated &&
						    (!strcmp(config->tenants[n].name, maker) ||
						     !strcmp(config->tenants[n].name, text(arrival->tenant)));
					all += 1;
					some += w;
				}
				isolated_use |= all && some == all;
			}
		}
		if (stale)
			checker_violation(checker, "STALE", arrival->started_at_ms,
					  "try %s ran under version %d on memory of another", arrival->id,
					  arrival->version);
		if (isolated_use)
			checker_violation(checker, "WALL", arrival->started_at_ms,
					  "try %s of %s ran on memory of another, behind a wall", arrival->id,
					  text(arrival->tenant));
	}
}

/* For how long, until a time, a version newer than this one has been acknowledged over one stretch with a
 * stable core; -1: none has been, or the core is not stable. */
static int64_t superseded_for(const struct checker *checker, int version, int64_t at_ms)
{
	int64_t acked_at_ms = -1, from = stable_since(checker, at_ms);

	for (int k = 0; k < arrlen(checker->target_versions); k++)
		if (checker->target_versions[k].is_acked && checker->target_versions[k].version > version &&
		    checker->target_versions[k].at_ms <= at_ms &&
		    (acked_at_ms < 0 || checker->target_versions[k].at_ms < acked_at_ms))
			acked_at_ms = checker->target_versions[k].at_ms;
	if (acked_at_ms < 0 || from < 0)
		return -1;
	return at_ms - (from > acked_at_ms ? from : acked_at_ms);
}

/* Whether the rule judges a run: the machine that sent it was in contact as it did. */
static int version_applies(const struct checker *checker, const struct arrival *arrival)
{
	return arrival->started_at_ms >= 0 && arrival->attempt >= 0 &&
	       checker_in_contact(checker, checker->attempts[arrival->attempt].machine, arrival->at_ms);
}

void rule_version(struct checker *checker)
{
	for (int i = 0; i < arrlen(checker->arrivals); i++) {
		const struct arrival *arrival = &checker->arrivals[i];
		int64_t age;

		if (!version_applies(checker, arrival))
			continue;
		age = superseded_for(checker, arrival->version, arrival->started_at_ms);
		if (age > checker->bounds.version_ms)
			checker_violation(
			    checker, "VERSION", arrival->started_at_ms,
			    "try %s began on version %d, %lld ms after a newer one was acknowledged",
			    arrival->id, arrival->version, (long long)age);
	}
}

int checker_version_rule_exercised(const struct checker *checker)
{
	int n = 0;

	for (int i = 0; i < arrlen(checker->arrivals); i++) /* any target supersedes version 1 */
		n += version_applies(checker, &checker->arrivals[i]) &&
		     superseded_for(checker, 1, checker->arrivals[i].started_at_ms) >
			 checker->bounds.version_ms;
	return n;
}
