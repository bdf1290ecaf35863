#include "instances.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "json_add.h"

enum {
	INSTANCES_STAMP_TERM_SHIFT = 24, /* lower bits of a stamp count changes, upper bits hold the term */
	FLEET_SHARE_MS_MILLIHERTZ = 3000000 /* divided by list_calls_millihertz: the poll interval in ms that
					       uses a third of the calls allowed to the fleet */
};

/* A copy on the heap; nl__instance__free_unpacked releases it. */
static struct Nl__Instance *copy_instance(const struct Nl__Instance *instance)
{
	size_t size = nl__instance__get_packed_size(instance);
	uint8_t *bytes = malloc(size + 1);
	struct Nl__Instance *copy;

	if (!bytes)
		abort();
	nl__instance__pack(instance, bytes);
	copy = nl__instance__unpack(NULL, size, bytes);
	free(bytes);
	if (!copy)
		abort();
	return copy;
}

void instances_open(struct instances *instances)
{
	memset(instances, 0, sizeof *instances);
	sh_new_strdup(instances->rows);
}

void instances_close(struct instances *instances)
{
	for (ptrdiff_t i = 0; i < shlen(instances->rows); i++)
		nl__instance__free_unpacked(instances->rows[i].value.instance, NULL);
	shfree(instances->rows);
}

const struct Nl__Instance *instances_get(const struct instances *instances, const char *name)
{
	struct instances_row *rows = instances->rows; /* shgeti assigns to its argument */
	ptrdiff_t i = shgeti(rows, name);

	return i < 0 ? NULL : rows[i].value.instance;
}

/* Store a copy of an instance under its name; returns its entry, valid until the next change. */
static struct instance_entry *store_instance(struct instances *instances, const struct Nl__Instance *instance)
{
	/* copied first: instance may point into the entry that is replaced */
	struct Nl__Instance *copy = copy_instance(instance);
	ptrdiff_t i = shgeti(instances->rows, copy->server);

	if (i >= 0) {
		nl__instance__free_unpacked(instances->rows[i].value.instance, NULL);
		instances->rows[i].value.instance = copy;
	} else {
		shput(instances->rows, copy->server, ((struct instance_entry){ .instance = copy }));
	}
	return &shgetp(instances->rows, copy->server)->value;
}

static void drop_old_tombstones(struct instances *instances, int64_t now)
{
	for (ptrdiff_t i = shlen(instances->rows) - 1; i >= 0; i--) {
		struct Nl__Instance *instance = instances->rows[i].value.instance;

		if (instance->state != INSTANCE_REMOVED ||
		    now - instances->rows[i].value.removed_at_ms < INSTANCES_TOMBSTONE_MS)
			continue;
		if (instance->stamp > instances->compacted_stamp)
			instances->compacted_stamp = instance->stamp;
		(void)shdel(instances->rows, instances->rows[i].key);
		nl__instance__free_unpacked(instance, NULL);
	}
}

/* ---- leader ---- */

static void assign_stamp(struct instances *instances, struct Nl__Instance *instance, int64_t now)
{
	instance->stamp = ++instances->stamp;
	instances->last_changed_at_ms = now;
}

void instances_start_term(struct instances *instances, const struct instances *followed_instances,
			  uint64_t term, int64_t now)
{
	instances_close(instances);
	instances_open(instances);
	instances->term = term;
	instances->stamp = term << INSTANCES_STAMP_TERM_SHIFT;
	instances->poll_not_before_ms = now;
	instances->last_changed_at_ms = now;
	for (ptrdiff_t i = 0; i < shlen(followed_instances->rows); i++) {
		const struct instance_entry *source = &followed_instances->rows[i].value;
		struct instance_entry *entry = store_instance(instances, source->instance);

		entry->removed_at_ms = source->removed_at_ms;
		entry->has_ended = entry->instance->state == INSTANCE_DRAINING;
		entry->instance->stamp = ++instances->stamp;
	}
}

void instances_tick(struct instances *instances, int is_fast_poll, int list_calls_millihertz, uint64_t token,
		    int64_t now, struct command_list *out)
{
	int64_t interval_ms = is_fast_poll || now - instances->last_changed_at_ms < INSTANCES_RECENT_CHANGE_MS
				  ? INSTANCES_FAST_POLL_INTERVAL_MS
				  : INSTANCES_POLL_INTERVAL_MS;

	drop_old_tombstones(instances, now);
	if (list_calls_millihertz <= 0)
		return;
	if (interval_ms < FLEET_SHARE_MS_MILLIHERTZ / list_calls_millihertz)
		interval_ms = FLEET_SHARE_MS_MILLIHERTZ / list_calls_millihertz;
	if ((instances->poll_token && now - instances->polled_at_ms < INSTANCES_POLL_TIMEOUT_MS) ||
	    (instances->polled_at_ms && now - instances->polled_at_ms < interval_ms) ||
	    now < instances->poll_not_before_ms)
		return;
	instances->poll_token = token;
	instances->polled_at_ms = now;
	command_add(out, CMD_LIST_SERVERS)->args.list_servers.token = token;
}

/* Whether two states of a server differ for routing, so that followers need the change. The remaining warm-up
 * time is counted down by each node itself, so only its start and its end are changes. */
static int differs_for_routing(const struct Nl__Instance *a, const struct Nl__Instance *b)
{
	return strcmp(a->service, b->service) || strcmp(a->addr, b->addr) || strcmp(a->zone, b->zone) ||
	       a->slots != b->slots || a->state != b->state || strcmp(a->weights, b->weights) ||
	       a->loading != b->loading || !a->warm_up_ms != !b->warm_up_ms;
}

static void add_listed(struct instances *instances, const struct Nl__Instance *listed, int64_t now)
{
	struct Nl__Instance added = *listed;
	struct instance_entry *entry;

	added.loading = 0;
	entry = store_instance(instances, &added);
	entry->has_ended = added.state != INSTANCE_SERVING;
	assign_stamp(instances, entry->instance, now);
}

/* Merge the list's state of a server into its existing entry. */
static void merge_listed(struct instances *instances, struct instance_entry *entry,
			 const struct Nl__Instance *listed, int64_t now)
{
	const struct Nl__Instance *previous = entry->instance;
	struct Nl__Instance merged = *listed;

	entry->missed_poll_count = 0;
	if (previous->state == INSTANCE_REMOVED &&
	    (entry->has_ended || now - entry->removed_at_ms < INSTANCES_REJOIN_DELAY_MS))
		return;
	if (merged.state == INSTANCE_DRAINING)
		entry->has_ended = 1;
	else if (entry->has_ended)
		merged.state = INSTANCE_DRAINING;
	merged.loading = previous->loading; /* not part of the list */
	if (instances->polled_at_ms < entry->report_valid_until_ms)
		merged.weights = previous->weights;
	if (differs_for_routing(previous, &merged))
		assign_stamp(instances, store_instance(instances, &merged)->instance, now);
}

static void mark_removed(struct instances *instances, struct instance_entry *entry, int64_t now)
{
	entry->instance->state = INSTANCE_REMOVED;
	entry->instance->loading = 0;
	entry->removed_at_ms = now;
	assign_stamp(instances, entry->instance, now);
}

/* Remove the servers that were missing from INSTANCES_MAX_MISSED_POLLS consecutive lists. Returns whether any
 * other server was missing from the newest list. */
static int remove_missing(struct instances *instances, int64_t now)
{
	int any_missing = 0;

	for (ptrdiff_t i = 0; i < shlen(instances->rows); i++) {
		struct instance_entry *entry = &instances->rows[i].value;

		if (entry->instance->state == INSTANCE_REMOVED)
			continue;
		if (entry->missed_poll_count >= INSTANCES_MAX_MISSED_POLLS)
			mark_removed(instances, entry, now);
		else if (entry->missed_poll_count)
			any_missing = 1;
	}
	return any_missing;
}

void instances_on_list(struct instances *instances, uint64_t token, int succeeded,
		       struct Nl__Instance *const *listed, size_t count, int64_t now)
{
	int any_missing;

	if (!instances->term || !token || token != instances->poll_token)
		return;
	instances->poll_token = 0;
	/* Time-out counted from the request: if this process was suspended before it read the reply, servers
	 * in it may have ended since. */
	if (now - instances->polled_at_ms > INSTANCES_POLL_TIMEOUT_MS)
		succeeded = 0;
	if (!succeeded) {
		/* use the fast poll interval: a server may have begun to drain */
		instances->last_changed_at_ms = now;
		return;
	}
	for (ptrdiff_t i = 0; i < shlen(instances->rows); i++)
		instances->rows[i].value.missed_poll_count++;
	for (size_t i = 0; i < count; i++) {
		ptrdiff_t row_index;

		if (!listed[i]->server[0] || listed[i]->state > INSTANCE_DRAINING)
			continue;
		row_index = shgeti(instances->rows, listed[i]->server);
		if (row_index < 0)
			add_listed(instances, listed[i], now);
		else
			merge_listed(instances, &instances->rows[row_index].value, listed[i], now);
	}
	any_missing = remove_missing(instances, now);
	if (any_missing)
		instances->last_changed_at_ms = now; /* use the fast poll interval */
	/* The servers that this leader received as a follower may be older than those of other nodes. The
	 * list is published once no server's removal is undecided. */
	if (!instances->is_publishable &&
	    (++instances->poll_count >= INSTANCES_MAX_MISSED_POLLS || !any_missing)) {
		instances->is_publishable = 1;
		instances->stamp++; /* a new stamp, so that an empty list is published too */
	}
}

void instances_set_weights(struct instances *instances, const char *name, const char *weights, int loading,
			   int64_t now)
{
	ptrdiff_t i = shgeti(instances->rows, name);
	struct instance_entry *entry;
	struct Nl__Instance changed;

	if (i < 0 || instances->rows[i].value.instance->state == INSTANCE_REMOVED)
		return;
	entry = &instances->rows[i].value;
	changed = *entry->instance;
	changed.weights = (char *)weights;
	changed.loading = loading;
	entry->report_valid_until_ms = now + INSTANCES_REPORT_VALID_MS;
	if (differs_for_routing(entry->instance, &changed))
		assign_stamp(instances, store_instance(instances, &changed)->instance, now);
}

void instances_mark_ended(struct instances *instances, const char *name, int64_t now)
{
	ptrdiff_t i = shgeti(instances->rows, name);

	if (i < 0)
		return;
	instances->rows[i].value.has_ended = 1;
	if (instances->rows[i].value.instance->state != INSTANCE_REMOVED)
		mark_removed(instances, &instances->rows[i].value, now);
}

void instances_pack_since(const struct instances *instances, uint64_t follower_stamp,
			  struct Nl__ConfigSyncReply *reply, apr_pool_t *pool)
{
	if (!instances->term || !instances->is_publishable)
		return; /* followers may have newer state than this leader has fetched itself */
	reply->instances_stamp = instances->stamp;
	reply->instances_full = follower_stamp >> INSTANCES_STAMP_TERM_SHIFT != instances->term ||
				follower_stamp > instances->stamp ||
				follower_stamp < instances->compacted_stamp;
	if (!reply->instances_full && follower_stamp == instances->stamp)
		return;
	reply->instances = apr_palloc(pool, ((size_t)shlen(instances->rows) + 1) * sizeof *reply->instances);
	for (ptrdiff_t i = 0; i < shlen(instances->rows); i++)
		if (reply->instances_full || instances->rows[i].value.instance->stamp > follower_stamp)
			reply->instances[reply->n_instances++] = (struct Nl__Instance *)core_copy_message(
			    pool, &instances->rows[i].value.instance->base);
}

/* ---- follower ---- */

static bool is_in_reply(const struct Nl__ConfigSyncReply *reply, const char *server)
{
	for (size_t i = 0; i < reply->n_instances; i++)
		if (!strcmp(reply->instances[i]->server, server))
			return true;
	return false;
}

/* Drop the servers that are missing from a full reply. Returns whether any was dropped. */
static int drop_unlisted(struct instances *instances, const struct Nl__ConfigSyncReply *reply)
{
	int any_dropped = 0;

	for (ptrdiff_t i = shlen(instances->rows) - 1; i >= 0; i--) {
		if (is_in_reply(reply, instances->rows[i].key))
			continue;
		any_dropped = 1;
		nl__instance__free_unpacked(instances->rows[i].value.instance, NULL);
		(void)shdel(instances->rows, instances->rows[i].key);
	}
	return any_dropped;
}

int instances_apply_reply(struct instances *instances, const struct Nl__ConfigSyncReply *reply, int64_t now)
{
	int any_changed = 0;

	drop_old_tombstones(instances, now);
	if (reply->instances_stamp <= instances->stamp ||
	    (!reply->instances_full && reply->instances_stamp >> INSTANCES_STAMP_TERM_SHIFT !=
					   instances->stamp >> INSTANCES_STAMP_TERM_SHIFT))
		return 0;
	if (reply->instances_full)
		any_changed = drop_unlisted(instances, reply);
	for (size_t i = 0; i < reply->n_instances; i++) {
		struct Nl__Instance received = *reply->instances[i];
		const struct Nl__Instance *previous = instances_get(instances, received.server);
		struct instance_entry *entry;

		if (!received.server[0])
			continue;
		/* a new leader may not have received yet that the server drains */
		if (previous && previous->state == INSTANCE_DRAINING && received.state == INSTANCE_SERVING)
			received.state = INSTANCE_DRAINING;
		any_changed |= !previous || differs_for_routing(previous, &received);
		entry = store_instance(instances, &received);
		if (received.state == INSTANCE_REMOVED && !entry->removed_at_ms)
			entry->removed_at_ms = now;
		else if (received.state != INSTANCE_REMOVED)
			entry->removed_at_ms = 0;
	}
	instances->stamp = reply->instances_stamp;
	return any_changed;
}

static const char *state_text(uint32_t state)
{
	static const char *const texts[] = { "serving", "draining", "gone" };

	return texts[state > INSTANCE_REMOVED ? INSTANCE_REMOVED : state];
}

struct json_object *instances_json(const struct instances *instances)
{
	struct json_object *list = json_object_new_array();

	for (ptrdiff_t i = 0; i < shlen(instances->rows); i++) {
		const struct Nl__Instance *instance = instances->rows[i].value.instance;
		struct json_object *json = json_object_new_object();

		json_add_text(json, "server", instance->server);
		json_add_text(json, "service", instance->service);
		json_add_text(json, "addr", instance->addr);
		json_add_text(json, "zone", instance->zone);
		json_add_text(json, "state", state_text(instance->state));
		json_add_text(json, "weights", instance->weights);
		json_add_flag(json, "loading", instance->loading);
		json_object_array_add(list, json);
	}
	return list;
}
