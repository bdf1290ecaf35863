#include "quota_shares.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"

/* One router's request for shares while it is answered. */
struct share_request {
	struct controller_quota_shares *quota;
	const struct config_table *table;
	bool is_new_leader;
	uint64_t router_id;
	const struct Nl__ConfigSync *sync;
	uint32_t router_count; /* 1 at least */
	struct Nl__ConfigSyncReply *reply;
	int64_t now;
	struct command_list *out;
};

/* The row that limits "tenant" or "route/tenant"; NULL: there is none. */
static const struct Nl__Row *find_limit_row(const struct config_table *table, const char *name)
{
	return config_table_get(table, strchr(name, '/') ? NL__KIND__SHARE : NL__KIND__TENANT, name);
}

/* What the router may use. Never more than the limit less all that others hold or may believe to hold. What
 * is requested beyond the limit is shared out evenly; the odd slots go to those that have gone without for
 * longest. */
static uint32_t compute_share(const struct controller_quota_share *shares,
			      const struct controller_quota_share *own, const char *name, uint32_t limit,
			      uint32_t reserve, int64_t now)
{
	uint64_t others = 0, total = 0, rotation = core_hash_string((uint64_t)(now / 1000), name);
	uint32_t requester_count = 0, rank = 0, requested = own->requested + reserve, even;

	for (ptrdiff_t i = 0; i < arrlen(shares); i++) {
		const struct controller_quota_share *share = &shares[i];

		if (share->router_id != own->router_id)
			others += share->reserved;
		total += share->requested + reserve;
		requester_count += share->requested > 0;
		if (!share->requested)
			continue;
		if (share->last_granted_at_ms / 1000 != own->last_granted_at_ms / 1000)
			rank += share->last_granted_at_ms < own->last_granted_at_ms;
		else
			rank += core_rendezvous_weight(rotation, share->router_id) >
				core_rendezvous_weight(rotation, own->router_id);
	}
	if (total > limit) {
		even = requester_count ? limit / requester_count + (rank < limit % requester_count) : 0;
		requested = own->requested < even ? own->requested : even;
	}
	if (requested <= own->reserved || others + requested <= limit)
		return requested; /* less than it has: always; more: as far as others leave it */
	if (others + own->reserved < limit)
		return (uint32_t)(limit - others);
	return own->reserved < limit ? own->reserved : limit;
}

/* The router's share of a limit, made with what it says is in use when it is new; lapsed shares of others go.
 */
static struct controller_quota_share *find_share(struct controller_quota_shares *quota, const char *name,
						 uint64_t router_id, uint32_t in_use, int64_t now)
{
	struct controller_quota_share *shares, added = { router_id, 0, in_use, 0, now, 0 };
	ptrdiff_t own = -1;

	if (shgeti(quota->limits, name) < 0)
		shput(quota->limits, name, NULL);
	shares = shget(quota->limits, name);
	for (ptrdiff_t i = arrlen(shares) - 1; i >= 0; i--)
		if (now - shares[i].updated_at_ms > CONTROLLER_QUOTA_LEASE_MS)
			arrdelswap(shares, i);
	for (ptrdiff_t i = 0; i < arrlen(shares); i++)
		if (shares[i].router_id == router_id)
			own = i;
	if (own < 0) {
		arrput(shares, added);
		own = arrlen(shares) - 1;
	}
	shput(quota->limits, name, shares);
	return &shares[own];
}

/* Grant slots, and count them as held until the router is known to have returned them. */
static void reply_share(const struct share_request *request, struct controller_quota_share *share,
			const char *name, uint32_t granted)
{
	struct Nl__QuotaGrant *grant = MESSAGE_NEW(request->out, Nl__QuotaGrant, NL__QUOTA_GRANT__INIT);

	if (granted > share->reserved)
		share->reserved = granted;
	share->reply_token = request->sync->token;
	grant->name = apr_pstrdup(request->out->pool, name);
	grant->reserved_slots = granted;
	request->reply->quota_grants[request->reply->n_quota_grants++] = grant;
}

/* Where a table has few limits, routers hold some slots of each ahead: after a failover they have some at
 * once. */
static void update_reserve_limits(struct controller_quota_shares *quota, const struct config_table *table)
{
	if (quota->reserve_limits_revision == table->revision)
		return;
	quota->reserve_limits_revision = table->revision;
	arrsetlen(quota->reserve_limits, 0);
	for (ptrdiff_t i = 0; i < shlen(table->rows); i++) {
		const struct Nl__Row *row = table->rows[i].value.row;

		if ((row->kind != NL__KIND__TENANT && row->kind != NL__KIND__SHARE) || !row->limit)
			continue;
		if (arrlen(quota->reserve_limits) == CONTROLLER_MAX_RESERVE_LIMITS) {
			arrsetlen(quota->reserve_limits, 0);
			return;
		}
		arrput(quota->reserve_limits, row->name);
	}
}

static uint32_t share_of(const struct share_request *request, const struct controller_quota_share *share,
			 const char *name, uint32_t limit)
{
	struct controller_quota *limits = request->quota->limits;

	return compute_share(shget(limits, name), share, name, limit, limit / request->router_count / 4,
			     request->now);
}

/* A limit under which the router holds, uses or requests slots. */
static void answer_grant(const struct share_request *request, const struct Nl__QuotaGrant *current)
{
	const struct Nl__Row *row = find_limit_row(request->table, current->name);
	uint32_t limit = row ? row->limit : 0, granted;
	uint32_t in_use =
	    current->reserved_slots > current->used_slots ? current->reserved_slots : current->used_slots;
	struct controller_quota_share *share;

	if (row && !limit) /* nobody needs slots */
		return;
	share = find_share(request->quota, current->name, request->router_id, in_use, request->now);
	/* it has received the newest reply */
	if (request->sync->applied_token >= share->reply_token || in_use > share->reserved)
		share->reserved = in_use;
	share->requested = current->requested_slots;
	share->updated_at_ms = request->now;
	granted = share_of(request, share, current->name, limit);
	if (request->is_new_leader && granted > current->reserved_slots)
		granted = current->reserved_slots < limit ? current->reserved_slots : limit;
	if (granted || current->used_slots)
		share->last_granted_at_ms = request->now;
	reply_share(request, share, current->name, granted);
}

static bool names_limit(const struct Nl__ConfigSync *sync, const char *name)
{
	for (size_t i = 0; i < sync->n_quota_grants; i++)
		if (!strcmp(sync->quota_grants[i]->name, name))
			return true;
	return false;
}

/* A limit that the router does not name, of which it gets a reserve. */
static void answer_reserve(const struct share_request *request, const char *name)
{
	const struct Nl__Row *row = find_limit_row(request->table, name);
	uint32_t limit = row ? row->limit : 0;
	struct controller_quota_share *share;

	if (names_limit(request->sync, name) || limit < 4 * request->router_count)
		return;
	share = find_share(request->quota, name, request->router_id, 0, request->now);
	share->updated_at_ms = request->now;
	share->requested = 0;
	if (request->sync->applied_token >= share->reply_token)
		share->reserved = 0;
	reply_share(request, share, name, share_of(request, share, name, limit));
}

void quota_shares_update(struct controller_quota_shares *quota, const struct config_table *table,
			 bool is_new_leader, uint64_t router_id, const struct Nl__ConfigSync *sync,
			 uint32_t router_count, struct Nl__ConfigSyncReply *reply, int64_t now,
			 struct command_list *out)
{
	struct share_request request = { quota,     table, is_new_leader,
					 router_id, sync,  router_count ? router_count : 1,
					 reply,     now,   out };

	update_reserve_limits(quota, table);
	reply->quota_grants =
	    apr_palloc(out->pool, (sync->n_quota_grants + (size_t)arrlen(quota->reserve_limits) + 1) *
				      sizeof *reply->quota_grants);
	for (size_t i = 0; i < sync->n_quota_grants; i++)
		answer_grant(&request, sync->quota_grants[i]);
	for (ptrdiff_t i = 0; i < arrlen(quota->reserve_limits) && sync->is_router && !is_new_leader; i++)
		answer_reserve(&request, quota->reserve_limits[i]);
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

void quota_shares_forget_table(struct controller_quota_shares *quota)
{
	arrsetlen(quota->reserve_limits, 0);
	quota->reserve_limits_revision = 0;
}

void quota_shares_close(struct controller_quota_shares *quota)
{
	quota_shares_clear(quota);
	shfree(quota->limits);
	arrfree(quota->reserve_limits);
}
