#include "config_watch.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"

void config_watch_open(struct config_watch *watch, uint64_t node_id, const uint64_t *seeds, int seed_count,
		       int64_t now)
{
	memset(watch, 0, sizeof *watch);
	config_table_open(&watch->table);
	instances_open(&watch->instances);
	sh_new_strdup(watch->quotas);
	watch->node_id = watch->rng = node_id;
	watch->zone = "";
	for (int i = 0; i < seed_count && i < CONFIG_WATCH_MAX_CONTROLLERS; i++)
		watch->controller_addrs[watch->controller_count++] = seeds[i];
	watch->seed_count = watch->controller_count;
	watch->confirmed_at_ms = watch->leader_contact_at_ms = now - 1000000;
	watch->last_reply_at_ms = now;
	watch->last_request_at_ms = now - CONFIG_WATCH_POLL_MS;
	for (int i = 0; i < SHARD_COUNT && watch->controller_count; i++)
		watch->next_controller[i] =
		    (int)(core_random(&watch->rng) % (uint64_t)watch->controller_count);
}

void config_watch_set_seeds(struct config_watch *watch, const uint64_t *seeds, int seed_count)
{
	uint64_t previous_addrs[CONFIG_WATCH_MAX_CONTROLLERS];
	int previous_count = watch->controller_count;

	memcpy(previous_addrs, watch->controller_addrs, sizeof previous_addrs);
	watch->controller_count = 0;
	for (int i = 0; i < seed_count && i < CONFIG_WATCH_MAX_CONTROLLERS; i++)
		watch->controller_addrs[watch->controller_count++] = seeds[i];
	watch->seed_count = watch->controller_count;
	/* controllers that were listed stay listed until the next reply */
	for (int i = 0; i < previous_count; i++) {
		int is_listed = 0;

		for (int k = 0; k < watch->controller_count; k++)
			is_listed |= watch->controller_addrs[k] == previous_addrs[i];
		if (!is_listed && watch->controller_count < CONFIG_WATCH_MAX_CONTROLLERS)
			watch->controller_addrs[watch->controller_count++] = previous_addrs[i];
	}
	for (int i = 0; i < SHARD_COUNT; i++)
		watch->next_controller[i] =
		    watch->controller_count ? watch->next_controller[i] % watch->controller_count : 0;
}

void config_watch_close(struct config_watch *watch)
{
	config_table_close(&watch->table);
	instances_close(&watch->instances);
	shfree(watch->quotas);
	arrfree(watch->cache_remainders);
}

typeof(((struct config_watch_quota *)0)->value) *config_watch_quota(struct config_watch *watch,
								    const char *name)
{
	if (shgeti(watch->quotas, name) < 0)
		shput(watch->quotas, name, ((typeof(watch->quotas->value)){ 0, 0, 0 }));
	return &shgetp(watch->quotas, name)->value;
}

static void add_quotas(struct config_watch *watch, struct Nl__ConfigSync *sync, struct command_list *out)
{
	sync->quota_grants =
	    apr_palloc(out->pool, ((size_t)shlen(watch->quotas) + 1) * sizeof *sync->quota_grants);
	for (ptrdiff_t i = shlen(watch->quotas) - 1; i >= 0; i--) {
		struct Nl__QuotaGrant *grant;

		if (!watch->quotas[i].value.reserved && !watch->quotas[i].value.used &&
		    !watch->quotas[i].value.requested) {
			(void)shdel(watch->quotas, watch->quotas[i].key);
			continue;
		}
		grant = MESSAGE_NEW(out, Nl__QuotaGrant, NL__QUOTA_GRANT__INIT);
		grant->name = apr_pstrdup(out->pool, watch->quotas[i].key);
		grant->reserved_slots = watch->quotas[i].value.reserved;
		grant->used_slots = watch->quotas[i].value.used;
		grant->requested_slots = watch->quotas[i].value.requested;
		sync->quota_grants[sync->n_quota_grants++] = grant;
	}
	sync->applied_token = watch->applied_token;
}

/* Apply the quota slots of a reply. A reply to an older request is ignored: it may grant more slots than
 * later replies did. */
static void apply_quotas(struct config_watch *watch, const struct Nl__ConfigSyncReply *reply)
{
	if (reply->token <= watch->applied_token)
		return;
	watch->applied_token = reply->token;
	for (size_t i = 0; i < reply->n_quota_grants; i++)
		config_watch_quota(watch, reply->quota_grants[i]->name)->reserved =
		    reply->quota_grants[i]->reserved_slots;
}

/* Update the estimate of the leader's clock offset. The leader reads its clock between request and reply:
 * when the request was sent, its clock showed at most the value in the reply, and when the reply arrives, at
 * least that value. So each reply gives an upper and a lower bound. Of the replies of one leader the smallest
 * upper bound is kept; if a later lower bound is above it, because the two clocks drift, the estimate
 * restarts from that reply. */
static void apply_clock(struct config_watch *watch, const struct Nl__ConfigSyncReply *reply,
			int64_t requested_at_ms, int64_t now)
{
	int64_t max_offset_ms = (int64_t)reply->group_clock_ms - requested_at_ms,
		min_offset_ms = (int64_t)reply->group_clock_ms - now;

	if (!reply->group_clock_ms || !reply->clock_term)
		return;
	for (int i = 0; i < CONFIG_WATCH_MAX_CLOCKS; i++)
		if (watch->group_clocks[i].term == reply->clock_term) {
			if (max_offset_ms < watch->group_clocks[i].offset_ms ||
			    min_offset_ms > watch->group_clocks[i].offset_ms)
				watch->group_clocks[i].offset_ms = max_offset_ms;
			return;
		}
	if (reply->clock_term < watch->group_clocks[0].term)
		return; /* the reply is from a leader older than the newest one */
	memmove(&watch->group_clocks[1], &watch->group_clocks[0],
		(CONFIG_WATCH_MAX_CLOCKS - 1) * sizeof watch->group_clocks[0]);
	watch->group_clocks[0].term = reply->clock_term;
	watch->group_clocks[0].offset_ms = max_offset_ms;
}

int64_t config_watch_group_clock_ms(const struct config_watch *watch, uint64_t term, int64_t now)
{
	int clock_index = 0;

	if (!watch->group_clocks[0].term)
		return 0;
	for (int i = 0; i < CONFIG_WATCH_MAX_CLOCKS; i++)
		if (term && watch->group_clocks[i].term == term)
			clock_index = i;
	return now + watch->group_clocks[clock_index].offset_ms;
}

int64_t config_watch_age_ms(const struct config_watch *watch, int64_t now)
{
	return now - watch->confirmed_at_ms;
}

uint64_t config_watch_leader_addr(struct config_watch *watch, uint32_t shard)
{
	if (shard >= SHARD_COUNT)
		return 0;
	return watch->leader_addr[shard] ? watch->leader_addr[shard]
	       : watch->controller_count
		   ? watch->controller_addrs[watch->next_controller[shard] % watch->controller_count]
		   : 0;
}

void config_watch_try_next_controller(struct config_watch *watch, uint32_t shard)
{
	watch->leader_addr[shard] = 0;
	watch->next_controller[shard]++;
}

uint64_t config_watch_publisher_addr(struct config_watch *watch, int64_t progressed_at_ms, int64_t now)
{
	if (now - progressed_at_ms > 2 * CONFIG_WATCH_PUBLISHER_TIMEOUT_MS &&
	    now - watch->publisher_retried_at_ms > CONFIG_WATCH_PUBLISHER_TIMEOUT_MS) {
		watch->publisher_retried_at_ms = now;
		config_watch_try_next_controller(watch, SHARD_PURGE);
	}
	return config_watch_leader_addr(watch, SHARD_PURGE);
}

void config_watch_set_leader_hint(struct config_watch *watch, uint32_t shard, uint64_t addr)
{
	if (shard >= SHARD_COUNT)
		return;
	if (addr)
		watch->leader_addr[shard] = addr;
	else
		config_watch_try_next_controller(watch, shard);
}

static struct config_watch_request *in_flight_slot(struct config_watch *watch, uint64_t token)
{
	return &watch->in_flight[token % CONFIG_WATCH_MAX_IN_FLIGHT];
}

static struct Nl__ConfigSync *prepare_request(struct config_watch *watch, uint64_t horizon, int64_t now,
					      struct command_list *out)
{
	struct Nl__ConfigSync *sync = MESSAGE_NEW(out, Nl__ConfigSync, NL__CONFIG_SYNC__INIT);

	sync->have_revision = watch->table.revision;
	sync->instances_stamp = watch->instances.stamp;
	sync->incarnation = watch->node_id;
	sync->token = ++watch->last_token;
	sync->zone = (char *)watch->zone;
	sync->is_router = watch->is_router;
	sync->horizon = horizon;
	sync->wall_clock_ms = watch->wall_clock_ms;
	sync->load_permille = watch->load_pressure;
	sync->holds_index = watch->has_index;
	sync->warmed_up = watch->is_warm;
	sync->n_cache_remainders = (size_t)arrlen(watch->cache_remainders);
	sync->cache_remainders =
	    apr_palloc(out->pool, (sync->n_cache_remainders + 1) * sizeof *sync->cache_remainders);
	for (size_t i = 0; i < sync->n_cache_remainders; i++)
		sync->cache_remainders[i] = (struct Nl__CacheRemainder *)core_copy_message(
		    out->pool, &watch->cache_remainders[i].base);
	add_quotas(watch, sync, out);
	*in_flight_slot(watch, watch->last_token) =
	    (struct config_watch_request){ watch->last_token, watch->table.revision, now };
	watch->last_request_at_ms = now;
	return sync;
}

void config_watch_poll(struct config_watch *watch, uint64_t horizon, int64_t now, struct command_list *out)
{
	uint64_t leader_addr = config_watch_leader_addr(watch, SHARD_CONTROL);

	if (leader_addr)
		command_send(out, leader_addr, SHARD_CONTROL, NL__MSG__BODY_CONFIG_SYNC)->config_sync =
		    prepare_request(watch, horizon, now, out);
}

/* Poll several controllers at once, in rotation, because the leader does not reply or the guess of the leader
 * is wrong. A new leader is thus found soon after its election. Only a controller with a lease replies with
 * more than a hint. */
static void poll_controllers(struct config_watch *watch, uint64_t horizon, int64_t now,
			     struct command_list *out)
{
	struct Nl__ConfigSync *sync = prepare_request(watch, horizon, now, out);
	uint64_t leader_addr = watch->leader_addr[SHARD_CONTROL];

	if (leader_addr)
		command_send(out, leader_addr, SHARD_CONTROL, NL__MSG__BODY_CONFIG_SYNC)->config_sync = sync;
	for (int i = 0; i < CONFIG_WATCH_PARALLEL_POLLS && i < watch->controller_count; i++) {
		uint64_t controller_addr =
		    watch->controller_addrs[(watch->next_controller[SHARD_CONTROL] + i) %
					    watch->controller_count];

		if (controller_addr != leader_addr)
			command_send(out, controller_addr, SHARD_CONTROL, NL__MSG__BODY_CONFIG_SYNC)
			    ->config_sync = sync;
	}
	watch->next_controller[SHARD_CONTROL] =
	    (watch->next_controller[SHARD_CONTROL] + CONFIG_WATCH_PARALLEL_POLLS) %
	    (watch->controller_count ? watch->controller_count : 1);
}

/* Get the time by which time-outs are extended for a slow link: the last round trip, with an upper bound. */
static int64_t round_trip_allowance_ms(const struct config_watch *watch)
{
	return watch->round_trip_ms < CONFIG_WATCH_MAX_ROUND_TRIP_ALLOWANCE_MS
		   ? watch->round_trip_ms
		   : CONFIG_WATCH_MAX_ROUND_TRIP_ALLOWANCE_MS;
}

/* Returns whether the leader counts as unreachable. Replies to old requests count as contact, too: a leader
 * that replies late is reachable over a slow link, and other controllers need not be polled. */
static int is_leader_timed_out(const struct config_watch *watch, int64_t now)
{
	return now - watch->leader_contact_at_ms >
	       CONFIG_WATCH_LEADER_TIMEOUT_MS + round_trip_allowance_ms(watch);
}

void config_watch_tick(struct config_watch *watch, uint64_t horizon, int64_t now, struct command_list *out)
{
	int is_leader_lost = is_leader_timed_out(watch, now);

	if (now - watch->last_request_at_ms <
	    (is_leader_lost ? CONFIG_WATCH_POLL_MS / 2 : CONFIG_WATCH_POLL_MS))
		return;
	if (now - watch->last_reply_at_ms >
	    CONFIG_WATCH_REPLY_TIMEOUT_MS + CONFIG_WATCH_POLL_MS + round_trip_allowance_ms(watch)) {
		config_watch_try_next_controller(watch, SHARD_CONTROL);
		/* the next controller gets its full reply time-out, too */
		watch->last_reply_at_ms = now - CONFIG_WATCH_POLL_MS;
	}
	if (is_leader_lost)
		poll_controllers(watch, horizon, now, out);
	else
		config_watch_poll(watch, horizon, now, out);
}

static void apply_controllers(struct config_watch *watch, const struct Nl__ConfigSyncReply *reply)
{
	watch->controller_count = watch->seed_count;
	watch->live_controller_count = 0;
	for (size_t i = 0; i < reply->n_controllers; i++) {
		const struct Nl__Member *member = reply->controllers[i];
		int is_listed = 0;

		if (watch->live_controller_count < CONFIG_WATCH_MAX_CONTROLLERS) {
			watch->live_controller_addrs[watch->live_controller_count] = member->addr;
			watch->live_controller_ids[watch->live_controller_count++] = member->id;
		}
		for (int k = 0; k < watch->controller_count; k++)
			is_listed |= watch->controller_addrs[k] == member->addr;
		if (!is_listed && watch->controller_count < CONFIG_WATCH_MAX_CONTROLLERS)
			watch->controller_addrs[watch->controller_count++] = member->addr;
	}
}

/* Apply the table of a reply. Returns whether the reply confirms that the local table was in force when the
 * request was sent. Over a slow link several requests are in flight at once, and each reply holds the changes
 * since the revision of its own request, so a reply may arrive after a newer one. It then changes nothing,
 * but confirms the local table all the same. A reply with a revision older than the local table had when the
 * request was sent confirms nothing. */
static int apply_table(struct config_watch *watch, const struct Nl__ConfigSyncReply *reply,
		       const struct config_watch_request *request)
{
	if (reply->revision < watch->table.revision)
		return reply->revision >= request->base_revision;
	return config_table_apply_reply(&watch->table, reply);
}

int config_watch_receive(struct config_watch *watch, const struct Nl__Msg *message, int64_t now,
			 struct command_list *out)
{
	const struct Nl__ConfigSyncReply *reply = message->config_sync_reply;
	uint64_t revision_before = watch->table.revision;
	struct config_watch_request request;

	if (message->body_case == NL__MSG__BODY_LEADER_HINT) {
		config_watch_set_leader_hint(watch, message->shard, message->leader_hint->leader_addr);
		return 0;
	}
	if (message->body_case != NL__MSG__BODY_CONFIG_SYNC_REPLY)
		return 0;
	request = *in_flight_slot(watch, reply->token);
	if (request.token != reply->token)
		return 0;
	watch->last_reply_at_ms = now;
	if (!reply->has_lease) {
		/* only a reply to the newest request changes the guess of the leader */
		if (reply->token == watch->last_token) {
			config_watch_set_leader_hint(
			    watch, SHARD_CONTROL,
			    reply->leader_hint == message->addr ? 0 : reply->leader_hint);
			if (reply->leader_hint && reply->leader_hint != message->addr &&
			    now - watch->last_request_at_ms >= 20)
				config_watch_poll(watch, 0, now, out);
		}
		return 0;
	}
	if (watch->fleet_id && reply->fleet_id != watch->fleet_id)
		return 0;
	watch->leader_addr[SHARD_CONTROL] = message->addr;
	watch->leader_contact_at_ms = now;
	watch->round_trip_ms = now - request.requested_at_ms;
	apply_clock(watch, reply, request.requested_at_ms, now);
	if (!apply_table(watch, reply, &request))
		return 0;
	watch->fleet_id = reply->fleet_id;
	if (reply->revision == watch->table.revision)
		watch->is_unconfigured = reply->is_unconfigured;
	apply_quotas(watch, reply);
	if (request.requested_at_ms > watch->confirmed_at_ms)
		watch->confirmed_at_ms = request.requested_at_ms;
	watch->upstream_count = 0;
	for (size_t i = 0; i < reply->n_upstreams && i < 8; i++)
		watch->upstream_addrs[watch->upstream_count++] = reply->upstreams[i];
	watch->zone_head_count = 0;
	for (size_t i = 0;
	     i < reply->n_zone_heads &&
	     watch->zone_head_count < (int)(sizeof watch->zone_head_addrs / sizeof *watch->zone_head_addrs);
	     i++)
		watch->zone_head_addrs[watch->zone_head_count++] = reply->zone_heads[i];
	/* a publisher that has stopped cannot name its successor, so the leader names the current one */
	if (reply->publisher)
		config_watch_set_leader_hint(watch, SHARD_PURGE, reply->publisher);
	watch->router_count = reply->router_count;
	apply_controllers(watch, reply);
	return (watch->table.revision != revision_before ? CONFIG_WATCH_TABLE_CHANGED : 0) |
	       (instances_apply_reply(&watch->instances, reply, now) ? CONFIG_WATCH_INSTANCES_CHANGED : 0);
}
