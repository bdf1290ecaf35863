#include "instances.h"

#include <stdlib.h>
#include <string.h>

#include "containers.h"

static struct Nl__Instance *copy(const struct Nl__Instance *x)
{
	size_t n = nl__instance__get_packed_size(x);
	uint8_t *d = malloc(n + 1);
	struct Nl__Instance *instance;

	if (!d)
		abort();
	nl__instance__pack(x, d);
	instance = nl__instance__unpack(NULL, n, d);
	free(d);
	if (!instance)
		abort();
	return instance;
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
	struct instances_row *instances_row = instances->rows;
	ptrdiff_t i = shgeti(instances_row, name);

	return i < 0 ? NULL : instances_row[i].value.instance;
}

/* Put a copy in place of what stands there. */
static typeof(((struct instances_row *)0)->value) *put(struct instances *s, const struct Nl__Instance *x)
{
	ptrdiff_t i = shgeti(s->rows, x->server);
	struct Nl__Instance *instance = copy(x);

	if (i >= 0) {
		nl__instance__free_unpacked(s->rows[i].value.instance, NULL);
		s->rows[i].value.instance = instance;
	} else {
		shput(s->rows, instance->server, ((typeof(s->rows->value)){ instance, 0, 0, 0, 0 }));
	}
	return &shgetp(s->rows, instance->server)->value; /* x may have stood on the old one */
}

static void forget(struct instances *instances, int64_t now)
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

/* ---- the owner's side ---------------------------------------------------------- */

static void assign_stamp(struct instances *instances, struct Nl__Instance *instance, int64_t now)
{
	instance->stamp = ++instances->stamp;
	instances->changed_at_ms = now;
}

void instances_start_term(struct instances *s, const struct instances *followed, uint64_t term, int64_t now)
{
	instances_close(s);
	instances_open(s);
	s->term = term;
	s->stamp = term << 24;
	s->poll_not_before_ms = s->changed_at_ms = now;
	for (ptrdiff_t i = 0; i < shlen(followed->rows); i++) {
		typeof(followed->rows->value) *v = put(s, followed->rows[i].value.instance);

		v->removed_at_ms = followed->rows[i].value.removed_at_ms;
		v->has_ended = v->instance->state == INSTANCE_DRAINING;
		v->instance->stamp = ++s->stamp;
	}
}

void instances_tick(struct instances *instances, int poll_fast, int rate_mille, uint64_t token, int64_t now,
		    struct command_list *out)
{
	int64_t interval_ms = poll_fast || now - instances->changed_at_ms < INSTANCES_RECENT_CHANGE_MS
				  ? INSTANCES_FAST_POLL_MS
				  : INSTANCES_POLL_MS;

	forget(instances, now);
	if (rate_mille <= 0)
		return;
	if (interval_ms < 3000000 / rate_mille) /* at most a third of what the whole fleet may call */
		interval_ms = 3000000 / rate_mille;
	if ((instances->poll_token && now - instances->polled_at_ms < INSTANCES_POLL_TIMEOUT_MS) ||
	    (instances->polled_at_ms && now - instances->polled_at_ms < interval_ms) ||
	    now < instances->poll_not_before_ms)
		return;
	instances->poll_token = token;
	instances->polled_at_ms = now;
	command_add(out, CMD_LIST_SERVERS)->args.list_servers.token = token;
}

/* Time runs down by itself where it is known: only its beginning and its end are news. */
static int instances_differ(const struct Nl__Instance *a, const struct Nl__Instance *b)
{
	return strcmp(a->service, b->service) || strcmp(a->addr, b->addr) || strcmp(a->zone, b->zone) ||
	       a->slots != b->slots || a->state != b->state || strcmp(a->weights, b->weights) ||
	       a->loading != b->loading || !a->warm_up_ms != !b->warm_up_ms;
}

static void merge_listed(struct instances *instances, const struct Nl__Instance *listed, int64_t now)
{
	ptrdiff_t i = shgeti(instances->rows, listed->server);
	struct Nl__Instance merged = *listed;
	const struct Nl__Instance *previous;

	if (i < 0) {
		merged.loading = 0;
		assign_stamp(instances, put(instances, &merged)->instance, now);
		instances->rows[shgeti(instances->rows, listed->server)].value.has_ended =
		    merged.state != INSTANCE_SERVING;
		return;
	}
	previous = instances->rows[i].value.instance;
	instances->rows[i].value.missed_polls = 0;
	if (previous->state == INSTANCE_REMOVED &&
	    (instances->rows[i].value.has_ended ||
	     now - instances->rows[i].value.removed_at_ms < INSTANCES_RETURN_DELAY_MS))
		return;
	if (merged.state == INSTANCE_DRAINING)
		instances->rows[i].value.has_ended = 1;
	else if (instances->rows[i].value.has_ended)
		merged.state = INSTANCE_DRAINING;
	merged.loading = previous->loading; /* the list doesn't tell */
	if (instances->polled_at_ms < instances->rows[i].value.report_valid_until_ms)
		merged.weights = previous->weights;
	if (instances_differ(previous, &merged))
		assign_stamp(instances, put(instances, &merged)->instance, now);
}

static void gone(struct instances *s, ptrdiff_t i, int64_t now)
{
	s->rows[i].value.instance->state = INSTANCE_REMOVED;
	s->rows[i].value.instance->loading = 0;
	s->rows[i].value.removed_at_ms = now;
	assign_stamp(s, s->rows[i].value.instance, now);
}

void instances_on_list(struct instances *instances, uint64_t token, int succeeded,
		       struct Nl__Instance *const *listed, size_t count, int64_t now)
{
	int any_missed = 0;

	if (!instances->term || !token || token != instances->poll_token)
		return;
	instances->poll_token = 0;
	/* timed from the asking: what this process reads only after it stood still shows servers that may
	 * have left since */
	if (now - instances->polled_at_ms > INSTANCES_POLL_TIMEOUT_MS)
		succeeded = 0;
	if (!succeeded) {
		instances->changed_at_ms = now; /* again soon: a server may have begun to leave */
		return;
	}
	for (ptrdiff_t i = 0; i < shlen(instances->rows); i++)
		instances->rows[i].value.missed_polls++;
	for (size_t i = 0; i < count; i++)
		if (listed[i]->server[0] && listed[i]->state <= INSTANCE_DRAINING)
			merge_listed(instances, listed[i], now);
	for (ptrdiff_t i = 0; i < shlen(instances->rows); i++) {
		if (instances->rows[i].value.instance->state == INSTANCE_REMOVED)
			continue;
		if (instances->rows[i].value.missed_polls >= INSTANCES_MAX_MISSED_POLLS)
			gone(instances, i, now);
		else if (instances->rows[i].value.missed_polls)
			any_missed = 1;
	}
	if (any_missed)
		instances->changed_at_ms = now; /* look again soon */
	/* what this owner followed may be older than what others did: told once no server of it is in doubt
	 */
	if (!instances->is_publishable &&
	    (++instances->poll_count >= INSTANCES_MAX_MISSED_POLLS || !any_missed)) {
		instances->is_publishable = 1;
		instances->stamp++; /* an empty list is something to tell too */
	}
}

void instances_set_weights(struct instances *instances, const char *name, const char *weights, int loading,
			   int64_t now)
{
	ptrdiff_t i = shgeti(instances->rows, name);
	struct Nl__Instance instance;

	if (i < 0 || instances->rows[i].value.instance->state == INSTANCE_REMOVED)
		return;
	instance = *instances->rows[i].value.instance;
	instance.weights = (char *)weights;
	instance.loading = loading;
	instances->rows[i].value.report_valid_until_ms = now + INSTANCES_REPORT_VALID_MS;
	if (instances_differ(instances->rows[i].value.instance, &instance))
		assign_stamp(instances, put(instances, &instance)->instance, now);
}

void instances_mark_ended(struct instances *instances, const char *name, int64_t now)
{
	ptrdiff_t i = shgeti(instances->rows, name);

	if (i < 0)
		return;
	instances->rows[i].value.has_ended = 1;
	if (instances->rows[i].value.instance->state != INSTANCE_REMOVED)
		gone(instances, i, now);
}

void instances_pack_since(const struct instances *instances, uint64_t known_stamp,
			  struct Nl__ConfigSyncReply *reply, apr_pool_t *pool)
{
	if (!instances->term || !instances->is_publishable)
		return; /* what followers have is better than what this owner was told itself */
	reply->instances_stamp = instances->stamp;
	reply->instances_full = known_stamp >> 24 != instances->term || known_stamp > instances->stamp ||
				known_stamp < instances->compacted_stamp;
	if (!reply->instances_full && known_stamp == instances->stamp)
		return;
	reply->instances = apr_palloc(pool, ((size_t)shlen(instances->rows) + 1) * sizeof *reply->instances);
	for (ptrdiff_t i = 0; i < shlen(instances->rows); i++)
		if (reply->instances_full || instances->rows[i].value.instance->stamp > known_stamp)
			reply->instances[reply->n_instances++] = (struct Nl__Instance *)core_copy_message(
			    pool, &instances->rows[i].value.instance->base);
}

/* ---- a follower's side ----------------------------------------------------------- */

int instances_apply_reply(struct instances *instances, const struct Nl__ConfigSyncReply *reply, int64_t now)
{
	int changed = 0;

	forget(instances, now);
	if (reply->instances_stamp <= instances->stamp ||
	    (!reply->instances_full && reply->instances_stamp >> 24 != instances->stamp >> 24))
		return 0;
	for (ptrdiff_t i = shlen(instances->rows) - 1; i >= 0 && reply->instances_full; i--) {
		int is_listed = 0;

		for (size_t k = 0; k < reply->n_instances && !is_listed; k++)
			is_listed = !strcmp(reply->instances[k]->server, instances->rows[i].key);
		if (is_listed)
			continue;
		changed = 1;
		nl__instance__free_unpacked(instances->rows[i].value.instance, NULL);
		(void)shdel(instances->rows, instances->rows[i].key);
	}
	for (size_t k = 0; k < reply->n_instances; k++) {
		struct Nl__Instance received = *reply->instances[k];
		const struct Nl__Instance *previous = instances_get(instances, received.server);
		typeof(instances->rows->value) *v;

		if (!received.server[0])
			continue;
		if (previous && previous->state == INSTANCE_DRAINING && received.state == INSTANCE_SERVING)
			received.state = INSTANCE_DRAINING; /* an owner that knows less than the one before */
		changed |= !previous || instances_differ(previous, &received);
		v = put(instances, &received);
		if (received.state == INSTANCE_REMOVED && !v->removed_at_ms)
			v->removed_at_ms = now;
		else if (received.state != INSTANCE_REMOVED)
			v->removed_at_ms = 0;
	}
	instances->stamp = reply->instances_stamp;
	return changed;
}

struct json_object *instances_json(const struct instances *instances)
{
	static const char *const states[] = { "serving", "draining", "gone" };
	struct json_object *a = json_object_new_array();

	for (ptrdiff_t i = 0; i < shlen(instances->rows); i++) {
		const struct Nl__Instance *instance = instances->rows[i].value.instance;
		struct json_object *json = json_object_new_object();

		json_object_object_add(json, "server", json_object_new_string(instance->server));
		json_object_object_add(json, "service", json_object_new_string(instance->service));
		json_object_object_add(json, "addr", json_object_new_string(instance->addr));
		json_object_object_add(json, "zone", json_object_new_string(instance->zone));
		json_object_object_add(
		    json, "state",
		    json_object_new_string(
			states[instance->state > INSTANCE_REMOVED ? INSTANCE_REMOVED : instance->state]));
		json_object_object_add(json, "weights", json_object_new_string(instance->weights));
		json_object_object_add(json, "loading", json_object_new_boolean(instance->loading));
		json_object_array_add(a, json);
	}
	return a;
}
