/* instances: the servers that the platform lists, by name, with their state and weights.
 *
 * The control shard's leader polls the list and stamps each change; followers (other controllers and routers)
 * fetch what is newer than the stamp they have with each configuration request. All of it is soft state. The
 * leader's side is driven by rollout_instances.c, the followers' by config_watch.c.
 *
 * Always: a name is one incarnation of a server, so one that drains or has ended never serves again, whatever
 * a later list says: lists may lag, and their pages shift between two calls. A stamp carries its term in the
 * upper bits, so that stamps of different leaders are never compared by their counts. */
#ifndef NL_INSTANCES_H
#define NL_INSTANCES_H

#include <json-c/json.h>

#include "core.h"

/* Of struct Nl__Instance: its field state. */
enum {
	INSTANCE_SERVING = 0,
	INSTANCE_DRAINING = 1,
	INSTANCE_REMOVED = 2,
};

enum {
	INSTANCES_TOMBSTONE_MS = 60000, /* for which a removed server is still published */
	INSTANCES_MAX_MISSED_POLLS = 2, /* lists in a row without a server until it counts as removed */
	INSTANCES_REJOIN_DELAY_MS =
	    2000, /* after which one that was missed by mistake may be back: lists lag */
	INSTANCES_REPORT_VALID_MS = 2000,  /* for which a server's own report goes before a list that lags */
	INSTANCES_FAST_POLL_MS = 400,      /* between two polls, after a change or while servers load */
	INSTANCES_POLL_MS = 800,           /* the same, else */
	INSTANCES_RECENT_CHANGE_MS = 3000, /* for which polls are fast after a change */
	INSTANCES_POLL_TIMEOUT_MS = 2000   /* after which a poll has failed */
};

/* What is known of one server. */
struct instance_entry {
	struct Nl__Instance *instance; /* owned */
	int64_t removed_at_ms;         /* 0: it is not removed */
	int64_t report_valid_until_ms; /* until then the list does not change its weights */
	int missed_poll_count;         /* lists in a row that lacked it */
	int has_ended;                 /* it drains or has ended, and never serves again */
};

/* Of the stb_ds map. */
struct instances_row {
	char *key; /* the server's name */
	struct instance_entry value;
};

/* What one node knows; opened by instances_open. */
struct instances {
	struct instances_row *rows; /* stb_ds */
	uint64_t stamp;             /* the newest; the term in the upper 40 bits */
	uint64_t compacted_stamp;   /* tombstones up to this stamp are forgotten */

	/* the leader's */
	uint64_t term;       /* 0: this node does not poll the list */
	int poll_count;      /* lists received in this term */
	int is_publishable;  /* no server is in doubt: followers may be sent the list */
	uint64_t poll_token; /* of the poll that is under way; 0: none */
	int64_t polled_at_ms;
	int64_t poll_not_before_ms;
	int64_t last_changed_at_ms;
};

/* Begin with no servers. */
void instances_open(struct instances *instances);

/* Release all. */
void instances_close(struct instances *instances);

/* Begin a term as the leader, with the servers that were followed so far.
 * Example: instances_start_term(&controller->instances, &controller->config_watch.instances, term, now); */
void instances_start_term(struct instances *instances, const struct instances *followed_instances,
			  uint64_t term, int64_t now);

/* Poll the list when it is time, under this token. rate_mille: calls that the fleet may make, in thousandths
 * a second; 0: there is no list. Example: instances_tick(&controller->instances, any_loading,
 * bounds.list_rate_mille, token, now, out); */
void instances_tick(struct instances *instances, int is_fast_poll, int list_calls_millihertz, uint64_t token,
		    int64_t now, struct command_list *out);

/* A poll has ended: with the complete list, or not succeeded. Answers to other tokens are ignored.
 * Example: instances_on_list(&controller->instances, token, 1, listed, count, now); */
void instances_on_list(struct instances *instances, uint64_t token, int succeeded,
		       struct Nl__Instance *const *listed, size_t count, int64_t now);

/* A server has reported its weights, or was commanded to load others (loading).
 * Example: instances_set_weights(&controller->instances, "i-7", "2", 0, now); */
void instances_set_weights(struct instances *instances, const char *name, const char *weights, int loading,
			   int64_t now);

/* A server's incarnation has surely ended. Example: instances_mark_ended(&instances, "i-7", now); */
void instances_mark_ended(struct instances *instances, const char *name, int64_t now);

/* Find a server; NULL when it was never listed. Valid until the next change.
 * Example: if ((instance = instances_get(&instances, "i-7")) && instance->state == INSTANCE_SERVING) use();
 */
const struct Nl__Instance *instances_get(const struct instances *instances, const char *name);

/* Fill in a follower's reply, in the pool: what is newer than the stamp it knows, or all. Nothing while this
 * node has nothing to publish.
 * Example: instances_pack_since(&controller->instances, sync->instances_stamp, reply, pool); */
void instances_pack_since(const struct instances *instances, uint64_t known_stamp,
			  struct Nl__ConfigSyncReply *reply, apr_pool_t *pool);

/* Apply such a reply; returns 1 when anything changed that routing depends on.
 * Example: if (instances_apply_reply(&watch->instances, reply, now)) rebuild(); */
int instances_apply_reply(struct instances *instances, const struct Nl__ConfigSyncReply *reply, int64_t now);

/* As JSON for operators, owned by the caller.
 * Example: json_object_object_add(json, "sights", instances_json(&instances)); */
struct json_object *instances_json(const struct instances *instances);

#endif
