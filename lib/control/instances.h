/* instances: the servers of the platform's endpoint list, by name, with their state and weights.
 *
 * The control shard's leader polls the endpoint list and assigns a rising stamp to each change. Followers
 * (the other controllers and the routers) fetch the changes since their newest stamp with each configuration
 * request. All of it is soft state.
 *
 * Invariants: a name identifies one incarnation of a server, so a server that has begun to drain or has ended
 * never serves again, whatever a later list contains; lists may be outdated, and their pages shift between
 * two calls. A stamp holds the leader's term in its upper bits, so that the change counts of different
 * leaders are never compared. */
#ifndef NL_INSTANCES_H
#define NL_INSTANCES_H

#include <json-c/json.h>

#include "core.h"

/* Values of Nl__Instance.state. */
enum {
	INSTANCE_SERVING = 0,
	INSTANCE_DRAINING = 1,
	INSTANCE_REMOVED = 2,
};

enum {
	INSTANCES_TOMBSTONE_MS = 60000, /* how long a removed server is still published */
	INSTANCES_MAX_MISSED_POLLS = 2, /* a server is removed when this many consecutive lists lack it */
	/* a removed server that is listed again earlier than this is ignored, since lists may be outdated */
	INSTANCES_REJOIN_DELAY_MS = 2000,
	INSTANCES_REPORT_VALID_MS = 2000, /* how long a server's own report takes precedence over the list */
	INSTANCES_FAST_POLL_INTERVAL_MS =
	    400,                           /* poll interval after a change and while servers are loading */
	INSTANCES_POLL_INTERVAL_MS = 800,  /* poll interval otherwise */
	INSTANCES_RECENT_CHANGE_MS = 3000, /* how long the fast poll interval lasts after a change */
	INSTANCES_POLL_TIMEOUT_MS = 2000   /* a poll without a reply for this long has failed */
};

/* One server of the list. */
struct instance_entry {
	struct Nl__Instance *instance; /* owned */
	int64_t removed_at_ms;         /* 0: not removed */
	int64_t report_valid_until_ms; /* the list does not change the weights before this time */
	int missed_poll_count;         /* consecutive lists that lacked the server */
	int has_ended;                 /* the server is draining or has ended, and never serves again */
};

/* Entry of the stb_ds map from a server's name to its state. */
struct instances_row {
	char *key; /* the server's name */
	struct instance_entry value;
};

/* The servers as one node has them. Initialise with instances_open. */
struct instances {
	struct instances_row *rows; /* stb_ds map */
	uint64_t stamp;             /* of the newest change; the upper 40 bits hold the term */
	uint64_t compacted_stamp;   /* tombstones up to this stamp have been dropped */

	/* used by the leader only */
	uint64_t term;       /* of this node's leadership; 0: this node does not poll the list */
	int poll_count;      /* lists received in this term, counted until is_publishable is set */
	int is_publishable;  /* the list may be sent to followers: no server's removal is undecided */
	uint64_t poll_token; /* identifies the poll in flight; 0: none */
	int64_t polled_at_ms;
	int64_t poll_not_before_ms;
	int64_t last_changed_at_ms;
};

/* Initialise with no servers. */
void instances_open(struct instances *instances);

/* Release all memory. */
void instances_close(struct instances *instances);

/* Begin a term as the leader, starting from the servers that this node had received as a follower.
 * Example: instances_start_term(&controller->instances, &controller->config_watch.instances, term, now); */
void instances_start_term(struct instances *instances, const struct instances *followed_instances,
			  uint64_t term, int64_t now);

/* Poll the endpoint list if a poll is due; token identifies the poll. list_calls_millihertz is the rate of
 * list calls that the platform allows the fleet, in calls per 1000 s; 0: there is no list. Example:
 * instances_tick(&instances, any_loading, bounds.list_calls_millihertz, token, now, out); */
void instances_tick(struct instances *instances, int is_fast_poll, int list_calls_millihertz, uint64_t token,
		    int64_t now, struct command_list *out);

/* Process the end of a poll: it has returned the complete list (succeeded), or it has failed. Replies with
 * another token than the poll in flight are ignored. Example: instances_on_list(&controller->instances,
 * token, 1, listed, count, now); */
void instances_on_list(struct instances *instances, uint64_t token, int succeeded,
		       struct Nl__Instance *const *listed, size_t count, int64_t now);

/* Record the weights that a server has reported, and whether it is loading others or has been commanded to.
 * Example: instances_set_weights(&controller->instances, "i-7", "2", 0, now); */
void instances_set_weights(struct instances *instances, const char *name, const char *weights, int loading,
			   int64_t now);

/* Record that a server's incarnation has certainly ended. Example: instances_mark_ended(&instances, "i-7",
 * now); */
void instances_mark_ended(struct instances *instances, const char *name, int64_t now);

/* Find a server; NULL when the list never contained it. The pointer is valid until the next change.
 * Example: if ((instance = instances_get(&instances, "i-7")) && instance->state == INSTANCE_SERVING) use();
 */
const struct Nl__Instance *instances_get(const struct instances *instances, const char *name);

/* Fill in the reply to a follower, allocated in the pool: the servers changed since the follower's stamp, or
 * all servers when the changes cannot be determined. Adds nothing while this node has nothing to publish.
 * Example: instances_pack_since(&controller->instances, sync->instances_stamp, reply, pool); */
void instances_pack_since(const struct instances *instances, uint64_t follower_stamp,
			  struct Nl__ConfigSyncReply *reply, apr_pool_t *pool);

/* Apply a leader's reply on a follower; returns 1 when a change affects routing.
 * Example: if (instances_apply_reply(&watch->instances, reply, now)) rebuild(); */
int instances_apply_reply(struct instances *instances, const struct Nl__ConfigSyncReply *reply, int64_t now);

/* The servers as JSON for operators; the caller releases it.
 * Example: json_object_object_add(json, "sights", instances_json(&instances)); */
struct json_object *instances_json(const struct instances *instances);

#endif
