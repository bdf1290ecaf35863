#include "quota_shares.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"
#include "controller_private.h"

/* The fleet's limit of "tenant" or "lane/tenant" as the table has it. */
static uint32_t find_limit(const struct controller *controller, const char *name)
{
	const struct Nl__Row *row = config_table_get(
	    &controller->config.table, strchr(name, '/') ? NL__KIND__SHARE : NL__KIND__TENANT, name);

	return row ? row->limit : 0;
}

/* Whether there is such a row at all; one without a limit has 0. */
static int has_quota_row(const struct controller *controller, const char *name)
{
	return config_table_get(&controller->config.table,
				strchr(name, '/') ? NL__KIND__SHARE : NL__KIND__TENANT, name) != NULL;
}

/* What the asker may use. Never more than the limit less all that others hold or may believe to hold. What is
 * wanted beyond the limit is shared out evenly; the odd places go to those that have gone without for
 * longest. */
static uint32_t compute_share(const struct controller_quota_share *v,
			      const struct controller_quota_share *grant, const char *name, uint32_t limit,
			      uint32_t reserve, int64_t now)
{
	uint64_t others = 0, total = 0, rotation = core_hash_string((uint64_t)(now / 1000), name);
	uint32_t requester_count = 0, rank = 0, requested = grant->requested + reserve, even;

	for (ptrdiff_t i = 0; i < arrlen(v); i++) {
		if (v[i].router_id != grant->router_id)
			others += v[i].reserved;
		total += v[i].requested + reserve;
		requester_count += v[i].requested > 0;
		rank += v[i].requested && (v[i].last_granted_at_ms / 1000 != grant->last_granted_at_ms / 1000
					       ? v[i].last_granted_at_ms < grant->last_granted_at_ms
					       : core_rendezvous_weight(rotation, v[i].router_id) >
						     core_rendezvous_weight(rotation, grant->router_id));
	}
	if (total > limit) {
		even = requester_count ? limit / requester_count + (rank < limit % requester_count) : 0;
		requested = grant->requested < even ? grant->requested : even;
	}
	if (requested <= grant->reserved) /* less than it has: always; more: as far as others leave it */
		return requested;
	return others + requested <= limit        ? requested
	       : others + grant->reserved < limit ? (uint32_t)(limit - others)
	       : grant->reserved < limit          ? grant->reserved
						  : limit;
}

static struct controller_quota_share *find_share(struct controller *controller, const char *name,
						 uint64_t router_id, uint32_t in_use, int64_t now)
{
	struct controller_quota_share *v, grant = { router_id, 0, in_use, 0, now, 0 };
	ptrdiff_t own = -1;

	if (shgeti(controller->quota.limits, name) < 0)
		shput(controller->quota.limits, name, NULL);
	v = shget(controller->quota.limits, name);
	for (ptrdiff_t i = arrlen(v) - 1; i >= 0; i--)
		if (now - v[i].updated_at_ms > CONTROLLER_QUOTA_LEASE_MS)
			arrdelswap(v, i);
	for (ptrdiff_t i = 0; i < arrlen(v); i++)
		if (v[i].router_id == router_id)
			own = i;
	if (own < 0) {
		arrput(v, grant);
		own = arrlen(v) - 1;
	}
	shput(controller->quota.limits, name, v);
	return &v[own];
}

/* Say what the asker may use, and count it as held until it is heard to be back. */
static void reply_share(struct controller_quota_share *grant, const char *name, uint32_t reserved,
			uint64_t token, struct Nl__ConfigSyncReply *reply, struct command_list *out)
{
	struct Nl__QuotaGrant *hold = MESSAGE_NEW(out, Nl__QuotaGrant, NL__QUOTA_GRANT__INIT);

	if (reserved > grant->reserved)
		grant->reserved = reserved;
	grant->reply_token = token;
	hold->name = apr_pstrdup(out->pool, name);
	hold->reserved_slots = reserved;
	reply->quota_grants[reply->n_quota_grants++] = hold;
}

/* Where a table has few limits, routers hold some of each ahead: a failover then finds them with places. */
static void update_reserve_limits(struct controller *controller)
{
	if (controller->quota.reserve_limits_revision == controller->config.table.revision)
		return;
	controller->quota.reserve_limits_revision = controller->config.table.revision;
	arrsetlen(controller->quota.reserve_limits, 0);
	for (ptrdiff_t i = 0; i < shlen(controller->config.table.rows); i++) {
		const struct Nl__Row *row = controller->config.table.rows[i].value.row;

		if ((row->kind != NL__KIND__TENANT && row->kind != NL__KIND__SHARE) || !row->limit)
			continue;
		if (arrlen(controller->quota.reserve_limits) == CONTROLLER_MAX_RESERVE_LIMITS) {
			arrsetlen(controller->quota.reserve_limits, 0);
			return;
		}
		arrput(controller->quota.reserve_limits, row->name);
	}
}

/* Places that the asker holds, uses and wants, and what it gets. In the first seconds of an office nobody
 * gets more: not all that the last owner gave has been heard of yet. */
void quota_shares_update(struct controller *controller, uint64_t router_id, const struct Nl__ConfigSync *sync,
			 uint32_t router_count, struct Nl__ConfigSyncReply *reply, int64_t now,
			 struct command_list *out)
{
	/* the members are a fleet's first entry, its first owner's the second: before it nobody gave any */
	int new_leader = now - controller->leadership[SHARD_CONTROL].since_ms < CONTROLLER_QUOTA_LEASE_MS &&
			 controller->shards[SHARD_CONTROL].log.term_start_index > 2;
	uint32_t router_divisor = router_count ? router_count : 1;

	update_reserve_limits(controller);
	reply->quota_grants = apr_palloc(
	    out->pool, (sync->n_quota_grants + (size_t)arrlen(controller->quota.reserve_limits) + 1) *
			   sizeof *reply->quota_grants);
	for (size_t k = 0; k < sync->n_quota_grants; k++) {
		const struct Nl__QuotaGrant *hold = sync->quota_grants[k];
		uint32_t limit = find_limit(controller, hold->name), granted,
			 in_use = hold->reserved_slots > hold->used_slots ? hold->reserved_slots
									  : hold->used_slots;
		struct controller_quota_share *grant;

		if (!limit && has_quota_row(controller, hold->name)) /* no limit: nobody asks for places */
			continue;
		grant = find_share(controller, hold->name, router_id, in_use, now);
		if (sync->applied_token >= grant->reply_token ||
		    in_use > grant->reserved) /* it has heard the last that was said */
			grant->reserved = in_use;
		grant->requested = hold->requested_slots;
		grant->updated_at_ms = now;
		granted = compute_share(shget(controller->quota.limits, hold->name), grant, hold->name, limit,
					limit / router_divisor / 4, now);
		if (new_leader && granted > hold->reserved_slots)
			granted = hold->reserved_slots < limit ? hold->reserved_slots : limit;
		if (granted || hold->used_slots)
			grant->last_granted_at_ms = now;
		reply_share(grant, hold->name, granted, sync->token, reply, out);
	}
	for (ptrdiff_t i = 0; i < arrlen(controller->quota.reserve_limits) && sync->is_router && !new_leader;
	     i++) {
		uint32_t limit = find_limit(controller, controller->quota.reserve_limits[i]), granted;
		struct controller_quota_share *grant;
		int requested = 0;

		for (size_t k = 0; k < sync->n_quota_grants && !requested; k++)
			requested = !strcmp(sync->quota_grants[k]->name, controller->quota.reserve_limits[i]);
		if (requested || limit < 4 * router_divisor)
			continue;
		grant = find_share(controller, controller->quota.reserve_limits[i], router_id, 0, now);
		grant->updated_at_ms = now;
		grant->requested = 0;
		if (sync->applied_token >= grant->reply_token)
			grant->reserved = 0;
		granted = compute_share(shget(controller->quota.limits, controller->quota.reserve_limits[i]),
					grant, controller->quota.reserve_limits[i], limit,
					limit / router_divisor / 4, now);
		reply_share(grant, controller->quota.reserve_limits[i], granted, sync->token, reply, out);
	}
}

void quota_shares_clear(struct controller *controller)
{
	for (ptrdiff_t i = 0; i < shlen(controller->quota.limits); i++)
		arrfree(controller->quota.limits[i].value);
	shfree(controller->quota.limits);
	sh_new_strdup(controller->quota.limits);
}
