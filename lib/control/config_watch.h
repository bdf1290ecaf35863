/* config_watch: keeps a node's copy of the configuration up to date, and its best guess of each shard's
 * leader.
 *
 * Each router and each controller has one. It polls the control shard's leader for changes. While the leader
 * does not reply, it polls several controllers at once, in rotation, until one replies as leader.
 *
 * Invariants: staleness is measured from when the request was sent, so the local configuration was in force
 * at that time or later; the revision of the table never decreases. now is in ms of a monotonic clock that
 * includes time in suspend. */
#ifndef NL_CONFIG_WATCH_H
#define NL_CONFIG_WATCH_H

#include <stdbool.h>

#include "core.h"
#include "instances.h"
#include "config_table.h"

enum {
	CONFIG_WATCH_POLL_MS = 250, /* interval between requests */
	CONFIG_WATCH_PARALLEL_POLLS =
	    3, /* controllers that are polled at once while the leader does not reply */
	CONFIG_WATCH_REPLY_TIMEOUT_MS =
	    300, /* time without a reply after which another controller is polled */
	/* time without a leader's reply after which the leader counts as unreachable */
	CONFIG_WATCH_LEADER_TIMEOUT_MS = CONFIG_WATCH_POLL_MS + CONFIG_WATCH_REPLY_TIMEOUT_MS,
	CONFIG_WATCH_ADMIT_STALENESS_MS =
	    1700, /* staleness above which new requests are rejected: 2 s minus the maximum time of a send */
	CONFIG_WATCH_MAX_STALENESS_MS = 4500, /* staleness above which everything granted by the configuration
						 ends: keys, slots and running requests */
	CONFIG_WATCH_PUBLISHER_TIMEOUT_MS =
	    500, /* time after which another controller is tried if the publisher does not reply */
	CONFIG_WATCH_MAX_CONTROLLERS = 32,
	CONFIG_WATCH_MAX_ROUND_TRIP_ALLOWANCE_MS =
	    1000, /* maximum round trip by which the time-outs are extended on a slow link */
	CONFIG_WATCH_MAX_CLOCKS = 8, /* leaders of the control group whose clock offsets are kept */
	CONFIG_WATCH_MAX_IN_FLIGHT =
	    64 /* requests whose replies are accepted; several are in flight at once over a slow link */
};

/* A router's slots under a fleet-wide limit, of which the configuration's leader grants each router a share.
 * The key is "tenant" or "route/tenant". */
struct config_watch_quota {
	char *key;
	struct {
		uint32_t reserved;  /* slots granted to this router by the newest reply */
		uint32_t used;      /* slots used by running requests */
		uint32_t requested; /* slots for all running and queued requests */
	} value;
};

/* A request for the configuration whose reply is still accepted. */
struct config_watch_request {
	uint64_t token;
	uint64_t base_revision; /* revision of the local table when the request was sent */
	int64_t requested_at_ms;
};

/* The clock of one leader of the control group, as estimated by this node. */
struct config_watch_clock {
	uint64_t term;     /* the leader's term; 0: unused entry */
	int64_t offset_ms; /* the leader's clock minus this node's; an upper bound */
};

/* One node's copy of the configuration, and the state of its polling. */
struct config_watch {
	/* the configuration and the other contents of the leader's replies */
	struct config_table table;
	struct instances instances; /* server instances that the leader observes; removed ones are kept for a
				       while */
	struct config_watch_quota *quotas; /* stb_ds string map; a router sets used and requested */
	uint64_t applied_token;            /* token of the newest reply whose quota slots are in force */
	uint64_t fleet_id;                 /* fleet id; 0 until a leader has replied */
	bool is_unconfigured;              /* the fleet had no configuration at the table's revision */

	/* status that this node reports in its requests */
	uint64_t node_id;
	const char *zone;
	bool is_router;
	bool has_index;         /* this node holds the index of cached blocks */
	bool is_warm;           /* router: in service for a while, so that it may be upstream of others */
	int64_t wall_clock_ms;  /* controller: its wall clock since 1970; 0: none */
	uint32_t load_pressure; /* router: per mille */
	struct Nl__CacheRemainder
	    *cache_remainders; /* stb_ds: blocks from before a purge that servers still report */

	/* controllers to poll */
	uint64_t controller_addrs[CONFIG_WATCH_MAX_CONTROLLERS]; /* the seeds, then other controllers */
	int controller_count;
	int seed_count;
	int next_controller[SHARD_COUNT];  /* index of the controller to try next, for each shard: a
					      shared rotation could skip some controllers forever */
	uint64_t leader_addr[SHARD_COUNT]; /* best guess of each shard's leader; 0: unknown */
	uint64_t rng;

	/* peers named in the newest reply */
	uint64_t upstream_addrs[8]; /* addresses of upstream routers, best first */
	int upstream_count;
	uint64_t zone_head_addrs[32]; /* addresses of the other zones' heads, if this node is the head of its
					 zone */
	int zone_head_count;
	uint64_t live_controller_addrs[CONFIG_WATCH_MAX_CONTROLLERS]; /* addresses of live controllers */
	uint64_t live_controller_ids[CONFIG_WATCH_MAX_CONTROLLERS];   /* ids of live controllers */
	int live_controller_count;
	uint32_t router_count; /* live routers in the fleet */

	/* requests and replies */
	uint64_t last_token;
	struct config_watch_request in_flight[CONFIG_WATCH_MAX_IN_FLIGHT]; /* by token modulo the size */
	struct config_watch_clock group_clocks[CONFIG_WATCH_MAX_CLOCKS];   /* newest leader first */
	int64_t confirmed_at_ms;         /* send time of the newest request whose reply was applied */
	int64_t leader_contact_at_ms;    /* arrival of the newest reply of a leader with a lease */
	int64_t round_trip_ms;           /* time from request to arrival of that reply */
	int64_t last_request_at_ms;      /* send time of the newest request */
	int64_t last_reply_at_ms;        /* arrival of the newest reply of any controller */
	int64_t publisher_retried_at_ms; /* when another controller was last tried for the publisher */
};

/* Initialize with the addresses of seeds; those beyond CONFIG_WATCH_MAX_CONTROLLERS are ignored. */
void config_watch_open(struct config_watch *watch, uint64_t node_id, const uint64_t *seeds, int seed_count,
		       int64_t now);

/* Release all memory that the watch holds. */
void config_watch_close(struct config_watch *watch);

/* Replace the seeds. Controllers that were listed before stay listed until the next reply. */
void config_watch_set_seeds(struct config_watch *watch, const uint64_t *seeds, int seed_count);

/* Get the slots of a limit. A new limit is added with 0 slots. The pointer is valid until the next limit is
 * added.
 * Example: config_watch_quota(watch, "t1")->used++; */
typeof(((struct config_watch_quota *)0)->value) *config_watch_quota(struct config_watch *watch,
								    const char *name);

/* Send a request if the polling interval has passed. horizon is this node's horizon of the purge stream. */
void config_watch_tick(struct config_watch *watch, uint64_t horizon, int64_t now, struct command_list *out);

/* Send a request at once, for example after a change was committed. */
void config_watch_poll(struct config_watch *watch, uint64_t horizon, int64_t now, struct command_list *out);

enum { CONFIG_WATCH_TABLE_CHANGED = 1, CONFIG_WATCH_INSTANCES_CHANGED = 2 };

/* Handle a reply or a leader hint. Returns a bit mask of CONFIG_WATCH_TABLE_CHANGED and
 * CONFIG_WATCH_INSTANCES_CHANGED.
 * Example: if (config_watch_receive(watch, message, now, out) & CONFIG_WATCH_TABLE_CHANGED) rebuild(); */
int config_watch_receive(struct config_watch *watch, const struct Nl__Msg *message, int64_t now,
			 struct command_list *out);

/* Get the staleness of the configuration: the time since the newest request whose reply was applied.
 * Example: if (config_watch_age_ms(watch, now) > CONFIG_WATCH_ADMIT_STALENESS_MS) reject(); */
int64_t config_watch_age_ms(const struct config_watch *watch, int64_t now);

/* Estimate the control group's clock, as counted by the leader of a term. The estimate is an upper bound,
 * except for the drift between the two clocks while a reply is in flight. For term 0, or if no reply of that
 * leader has arrived, it is the clock of the newest leader, which continues the clocks of earlier ones. 0:
 * not known.
 * Example: age_ms = config_watch_group_clock_ms(watch, version->term, now) - version->targeted_at_ms; */
int64_t config_watch_group_clock_ms(const struct config_watch *watch, uint64_t term, int64_t now);

/* Get the address to which requests for a shard are sent: its leader, or the next controller to try; 0: no
 * controller is known. */
uint64_t config_watch_leader_addr(struct config_watch *watch, uint32_t shard);

/* Handle a hint that names a shard's leader; 0 means that the current guess does not lead. */
void config_watch_set_leader_hint(struct config_watch *watch, uint32_t shard, uint64_t addr);

/* Discard the guess of a shard's leader, which does not reply, and continue with the next controller. */
void config_watch_try_next_controller(struct config_watch *watch, uint32_t shard);

/* Get the address of the purge stream's publisher, for a relay. If the horizon has not advanced since
 * progressed_at_ms, the result is another controller each time, which replies with a hint that names the
 * publisher. */
uint64_t config_watch_publisher_addr(struct config_watch *watch, int64_t progressed_at_ms, int64_t now);

#endif
