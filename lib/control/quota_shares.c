#include "quota_shares.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"

/* A router's request for shares, and the context in which it is answered. */
struct share_request {
	struct controller_quota_shares *quota;
	const struct config_table *table;
	bool is_new_leader;
	uint64_t router_id;
	const struct Nl__ConfigSync *sync;
	uint32_t router_count; /* live routers; at least 1 */
	struct Nl__ConfigSyncReply *reply;
	int64_t now;
	struct command_list *out;
};

/* Return the row of the limit named "tenant" or "route/tenant", or NULL. */
static const struct Nl__Row *find_limit_row(const struct config_table *table, const char *limit_name)
{
	return config_table_get(table, strchr(limit_name, '/') ? NL__KIND__SHARE : NL__KIND__TENANT,
				limit_name);
}

/* Return the number of slots that the router may use: never more than the limit minus all slots that other
 * routers hold or may still hold. If the requests exceed the limit, it is divided evenly; the remaining slots
 * go to the routers that have been without slots for the longest time. */
static uint32_t compute_share(const struct controller_quota_share *shares,
			      const struct controller_quota_share *own, const char *limit_name,
			      uint32_t limit_slots, uint32_t reserve_slots, int64_t now)
{
	uint64_t others_reserved_slots = 0, total_requested_slots = 0,
		 rotation = core_hash_string((uint64_t)(now / 1000), limit_name);
	uint32_t requesting_count = 0, own_rank = 0, wanted_slots = own->requested_slots + reserve_slots,
		 even_slots;

	for (ptrdiff_t i = 0; i < arrlen(shares); i++) {
		const struct controller_quota_share *share = &shares[i];

		if (share->router_id != own->router_id)
			others_reserved_slots += share->reserved_slots;
		total_requested_slots += share->requested_slots + reserve_slots;
		requesting_count += share->requested_slots > 0;
		if (!share->requested_slots)
			continue;
		if (share->last_granted_at_ms / 1000 != own->last_granted_at_ms / 1000)
			own_rank += share->last_granted_at_ms < own->last_granted_at_ms;
		else
			own_rank += core_rendezvous_weight(rotation, share->router_id) >
				    core_rendezvous_weight(rotation, own->router_id);
	}
	if (total_requested_slots > limit_slots) {
		even_slots = requesting_count ? limit_slots / requesting_count +
						    (own_rank < limit_slots % requesting_count)
					      : 0;
		wanted_slots = own->requested_slots < even_slots ? own->requested_slots : even_slots;
	}
	if (wanted_slots <= own->reserved_slots || others_reserved_slots + wanted_slots <= limit_slots)
		return wanted_slots; /* a decrease is always possible, an increase only as far as other
					routers leave slots */
	if (others_reserved_slots + own->reserved_slots < limit_slots)
		return (uint32_t)(limit_slots - others_reserved_slots);
	return own->reserved_slots < limit_slots ? own->reserved_slots : limit_slots;
}

/* Return the router's share of a limit. A new share starts with the slots that the router reports as in use.
 * Expired shares of all routers are removed. */
static struct controller_quota_share *find_or_add_share(struct controller_quota_shares *quota,
							const char *limit_name, uint64_t router_id,
							uint32_t in_use_slots, int64_t now)
{
	struct controller_quota_share *shares, added = { router_id, 0, in_use_slots, 0, now, 0 };
	ptrdiff_t found = -1;

	if (shgeti(quota->limits, limit_name) < 0)
		shput(quota->limits, limit_name, NULL);
	shares = shget(quota->limits, limit_name);
	for (ptrdiff_t i = arrlen(shares) - 1; i >= 0; i--)
		if (now - shares[i].updated_at_ms > CONTROLLER_QUOTA_LEASE_MS)
			arrdelswap(shares, i);
	for (ptrdiff_t i = 0; i < arrlen(shares); i++)
		if (shares[i].router_id == router_id)
			found = i;
	if (found < 0) {
		arrput(shares, added);
		found = arrlen(shares) - 1;
	}
	shput(quota->limits, limit_name, shares);
	return &shares[found];
}

/* Add a grant to the reply. The slots count as held until the router reports that it has returned them. */
static void add_grant_to_reply(const struct share_request *request, struct controller_quota_share *share,
			       const char *limit_name, uint32_t granted_slots)
{
	struct Nl__QuotaGrant *grant = MESSAGE_NEW(request->out, Nl__QuotaGrant, NL__QUOTA_GRANT__INIT);

	if (granted_slots > share->reserved_slots)
		share->reserved_slots = granted_slots;
	share->granting_reply_token = request->sync->token;
	grant->name = apr_pstrdup(request->out->pool, limit_name);
	grant->reserved_slots = granted_slots;
	request->reply->quota_grants[request->reply->n_quota_grants++] = grant;
}

/* Recompute which limits have reserves, after a change of the table. If the table has at most
 * CONTROLLER_MAX_RESERVED_LIMITS limits, each router holds some slots of each limit ahead of demand, so that
 * it has slots immediately after a failover. */
static void update_reserved_limits(struct controller_quota_shares *quota, const struct config_table *table)
{
	if (quota->reserved_limits_revision == table->revision)
		return;
	quota->reserved_limits_revision = table->revision;
	arrsetlen(quota->reserved_limits, 0);
	for (ptrdiff_t i = 0; i < shlen(table->rows); i++) {
		const struct Nl__Row *row = table->rows[i].value.row;

		if ((row->kind != NL__KIND__TENANT && row->kind != NL__KIND__SHARE) || !row->limit)
			continue;
		if (arrlen(quota->reserved_limits) == CONTROLLER_MAX_RESERVED_LIMITS) {
			arrsetlen(quota->reserved_limits, 0);
			return;
		}
		arrput(quota->reserved_limits, row->name);
	}
}

static uint32_t compute_router_share(const struct share_request *request,
				     const struct controller_quota_share *share, const char *limit_name,
				     uint32_t limit_slots)
{
	struct controller_quota_limit *limits = request->quota->limits;

	return compute_share(shget(limits, limit_name), share, limit_name, limit_slots,
			     limit_slots / request->router_count / 4, request->now);
}

/* Add the grant for a limit under which the router holds, uses or requests slots. */
static void answer_named_limit(const struct share_request *request, const struct Nl__QuotaGrant *reported)
{
	const struct Nl__Row *row = find_limit_row(request->table, reported->name);
	uint32_t limit_slots = row ? row->limit : 0, granted_slots;
	uint32_t in_use_slots =
	    reported->reserved_slots > reported->used_slots ? reported->reserved_slots : reported->used_slots;
	struct controller_quota_share *share;

	if (row && !limit_slots) /* the row sets no limit: requests need no slots */
		return;
	share =
	    find_or_add_share(request->quota, reported->name, request->router_id, in_use_slots, request->now);
	/* the router has received the newest reply: its report replaces the slots that were counted */
	if (request->sync->applied_token >= share->granting_reply_token ||
	    in_use_slots > share->reserved_slots)
		share->reserved_slots = in_use_slots;
	share->requested_slots = reported->requested_slots;
	share->updated_at_ms = request->now;
	granted_slots = compute_router_share(request, share, reported->name, limit_slots);
	if (request->is_new_leader && granted_slots > reported->reserved_slots)
		granted_slots =
		    reported->reserved_slots < limit_slots ? reported->reserved_slots : limit_slots;
	if (granted_slots || reported->used_slots)
		share->last_granted_at_ms = request->now;
	add_grant_to_reply(request, share, reported->name, granted_slots);
}

static bool request_names_limit(const struct Nl__ConfigSync *sync, const char *limit_name)
{
	for (size_t i = 0; i < sync->n_quota_grants; i++)
		if (!strcmp(sync->quota_grants[i]->name, limit_name))
			return true;
	return false;
}

/* Add the grant of a reserve for a limit that the router's request does not contain. */
static void answer_reserved_limit(const struct share_request *request, const char *limit_name)
{
	const struct Nl__Row *row = find_limit_row(request->table, limit_name);
	uint32_t limit_slots = row ? row->limit : 0;
	struct controller_quota_share *share;

	if (request_names_limit(request->sync, limit_name) || limit_slots < 4 * request->router_count)
		return;
	share = find_or_add_share(request->quota, limit_name, request->router_id, 0, request->now);
	share->updated_at_ms = request->now;
	share->requested_slots = 0;
	if (request->sync->applied_token >= share->granting_reply_token)
		share->reserved_slots = 0;
	add_grant_to_reply(request, share, limit_name,
			   compute_router_share(request, share, limit_name, limit_slots));
}

void quota_shares_update(struct controller_quota_shares *quota, const struct config_table *table,
			 bool is_new_leader, uint64_t router_id, const struct Nl__ConfigSync *sync,
			 uint32_t router_count, struct Nl__ConfigSyncReply *reply, int64_t now,
			 struct command_list *out)
{
	struct share_request request = { quota,     table, is_new_leader,
					 router_id, sync,  router_count ? router_count : 1,
					 reply,     now,   out };

	update_reserved_limits(quota, table);
	reply->quota_grants =
	    apr_palloc(out->pool, (sync->n_quota_grants + (size_t)arrlen(quota->reserved_limits) + 1) *
				      sizeof *reply->quota_grants);
	for (size_t i = 0; i < sync->n_quota_grants; i++)
		answer_named_limit(&request, sync->quota_grants[i]);
	for (ptrdiff_t i = 0; i < arrlen(quota->reserved_limits) && sync->is_router && !is_new_leader; i++)
		answer_reserved_limit(&request, quota->reserved_limits[i]);
}

void quota_shares_open(struct controller_quota_shares *quota)
{
	sh_new_strdup(quota->limits);
}

void quota_shares_clear(struct controller_quota_shares *quota)
{
	for (ptrdiff_t i = 0; i < shlen(quota->limits); i++)
		arrfree(quota->limits[i].value);
	shfree(quota->limits);
	sh_new_strdup(quota->limits);
}

void quota_shares_invalidate_table(struct controller_quota_shares *quota)
{
	arrsetlen(quota->reserved_limits, 0);
	quota->reserved_limits_revision = 0;
}

void quota_shares_close(struct controller_quota_shares *quota)
{
	quota_shares_clear(quota);
	shfree(quota->limits);
	arrfree(quota->reserved_limits);
}
