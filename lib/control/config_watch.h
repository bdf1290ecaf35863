/* config_watch: how any node keeps up with the configuration, and whom it asks for each shard.
 *
 * Routers and controllers have one each. It polls the control shard's leader for what has changed; while the
 * leader is silent it polls several controllers at once, in turn, until one leads.
 *
 * Always: staleness is timed from when the request was sent, so the configuration here was in force that
 * recently; and the table never goes back. now is monotonic ms, on a clock that counts suspend. */
#ifndef NL_CONFIG_WATCH_H
#define NL_CONFIG_WATCH_H

#include <stdbool.h>

#include "core.h"
#include "instances.h"
#include "config_table.h"

enum {
	CONFIG_WATCH_POLL_MS = 250,      /* between requests */
	CONFIG_WATCH_PARALLEL_POLLS = 3, /* controllers that are asked at once while the leader is silent */
	CONFIG_WATCH_REPLY_TIMEOUT_MS = 300, /* without a reply, before another controller is asked */
	/* without a leader's reply, after which none is in reach */
	CONFIG_WATCH_LEADER_TIMEOUT_MS = CONFIG_WATCH_POLL_MS + CONFIG_WATCH_REPLY_TIMEOUT_MS,
	CONFIG_WATCH_ADMIT_STALENESS_MS =
	    1700, /* beyond it new work is rejected: 2 s, less what a send may take */
	CONFIG_WATCH_MAX_STALENESS_MS = 4500,    /* beyond it all that is held ends: keys, slots, requests */
	CONFIG_WATCH_PUBLISHER_TIMEOUT_MS = 500, /* for which a publisher that does not reply is asked */
	CONFIG_WATCH_MAX_CONTROLLERS = 32,
	CONFIG_WATCH_MAX_ROUND_TRIP_ALLOWANCE_MS =
	    1000,                    /* of a round trip that are granted to a slow link at the most */
	CONFIG_WATCH_MAX_CLOCKS = 8, /* leaders of the control group whose clocks are remembered */
	CONFIG_WATCH_MAX_IN_FLIGHT =
	    64 /* requests whose replies are accepted; a slow link carries several at once */
};

/* Slots under a limit, shared out by the configuration's leader, by "tenant" or "route/tenant". */
struct config_watch_quota {
	char *key;
	struct {
		uint32_t reserved;  /* this router's, by the newest reply */
		uint32_t used;      /* by requests that run */
		uint32_t requested; /* in all */
	} value;
};

/* A request for the configuration whose reply is still accepted. */
struct config_watch_request {
	uint64_t token;
	uint64_t base_revision; /* of the table here when it was sent */
	int64_t requested_at_ms;
};

/* A leader of the control group and its clock, as this node reckons it. */
struct config_watch_clock {
	uint64_t term;     /* 0: none */
	int64_t offset_ms; /* that leader's clock less this node's; not too small */
};

/* One node's copy, and what it needs to keep it up to date. */
struct config_watch {
	/* the configuration, and what goes with it in replies */
	struct config_table table;
	struct instances instances; /* servers as the leader observes them; removed ones stay for a while */
	struct config_watch_quota *quotas; /* stb_ds; a router writes here what it uses and requests */
	uint64_t applied_token;            /* of the newest reply whose slots are in force */
	uint64_t fleet;                    /* 0 until known */

	/* what this node reports of itself */
	uint64_t node_id;
	const char *zone;
	bool is_router;
	bool has_index;         /* it holds the prefix index */
	bool is_warm;           /* a router: in service for a while */
	int64_t wall_clock_ms;  /* a controller's; 0: none */
	uint32_t load_pressure; /* a router's, per mille */
	struct Nl__CacheRemainder
	    *cache_remainders; /* stb_ds: blocks that servers still name of before a purge */

	/* whom to ask */
	uint64_t controller_addrs[CONFIG_WATCH_MAX_CONTROLLERS]; /* addresses: seeds, then controllers */
	int controller_count;
	int seed_count;
	int next_controller[SHARD_COUNT];  /* each shard goes round by itself: together they would skip some
					     for  ever */
	uint64_t leader_addr[SHARD_COUNT]; /* best guess of each shard's leader; 0: none */
	uint64_t rng;

	/* peers, by the newest reply */
	uint64_t upstream[8]; /* addresses */
	int upstream_count;
	uint64_t zone_heads[32]; /* addresses in the other zones, if this node is the head of its own */
	int zone_head_count;
	uint64_t live_addr[CONFIG_WATCH_MAX_CONTROLLERS]; /* live controllers */
	uint64_t live_id[CONFIG_WATCH_MAX_CONTROLLERS];
	int live_count;
	uint32_t router_count; /* live ones */

	/* requests and replies */
	uint64_t last_token;
	struct config_watch_request in_flight[CONFIG_WATCH_MAX_IN_FLIGHT]; /* by token */
	struct config_watch_clock group_clock[CONFIG_WATCH_MAX_CLOCKS];    /* newest first */
	int64_t fetched_at_ms;           /* when the newest good reply was requested */
	int64_t leader_contact_at_ms;    /* when the newest reply of a leader with a lease came */
	int64_t round_trip_ms;           /* how long that reply took, from its request */
	int64_t requested_at_ms;         /* the newest request */
	int64_t last_reply_at_ms;        /* the newest reply of anybody */
	int64_t publisher_retried_at_ms; /* when another publisher was last tried */
};

/* Begin with seeds' addresses, CONFIG_WATCH_MAX_CONTROLLERS at the most; the end releases all that it holds.
 */
void config_watch_open(struct config_watch *watch, uint64_t node_id, const uint64_t *seeds, int seed_count,
		       int64_t now);

/* Release all that it holds. */
void config_watch_close(struct config_watch *watch);

/* Replace the seeds; controllers that are known otherwise stay known. */
void config_watch_set_seeds(struct config_watch *watch, const uint64_t *seeds, int seed_count);

/* The slots of a limit, none when it is new. Valid until the next limit is added.
 * Example: config_watch_quota(watch, "t1")->used++; */
typeof(((struct config_watch_quota *)0)->value) *config_watch_quota(struct config_watch *watch,
								    const char *name);

/* Send a request when it is time. horizon: purge ticks that this node has passed. */
void config_watch_tick(struct config_watch *watch, uint64_t horizon, int64_t now, struct command_list *out);

/* Send a request at once, for example when a change is known to be committed. */
void config_watch_poll(struct config_watch *watch, uint64_t horizon, int64_t now, struct command_list *out);

enum { CONFIG_WATCH_TABLE_CHANGED = 1, CONFIG_WATCH_INSTANCES_CHANGED = 2 };

/* Take a reply or a leader's hint in. Returns bits that tell what changed, 0 for nothing.
 * Example: if (config_watch_receive(watch, message, now, out) & CONFIG_WATCH_TABLE_CHANGED) rebuild(); */
int config_watch_receive(struct config_watch *watch, const struct Nl__Msg *message, int64_t now,
			 struct command_list *out);

/* How old the newest certain knowledge is, from its request.
 * Example: if (config_watch_age_ms(watch, now) > CONFIG_WATCH_ADMIT_STALENESS_MS) reject(); */
int64_t config_watch_age_ms(const struct config_watch *watch, int64_t now);

/* The control group's clock as its leader of this term counts it, as far as this node can tell: not behind,
 * but for what the two clocks drift apart while a reply is on its way. Where no reply of that leader has
 * come, or for term 0, the newest leader's: it went on from there. 0: not known. Example: age_ms =
 * config_watch_clock_ms(watch, version->term, now) - version->targeted_at_ms; */
int64_t config_watch_clock_ms(const struct config_watch *watch, uint64_t term, int64_t now);

/* Whom to ask about a shard: its leader, or the next candidate; 0: nobody is known. */
uint64_t config_watch_leader_addr(struct config_watch *watch, uint32_t shard);

/* Somebody names a shard's leader; 0: the one that was named is none. */
void config_watch_hint(struct config_watch *watch, uint32_t shard, uint64_t addr);

/* A shard's leader does not reply: the next candidate is asked. */
void config_watch_miss(struct config_watch *watch, uint32_t shard);

/* The purge stream's publisher, for a relay; while the horizon stands still, since progressed_at_ms, another
 * controller each time, whose hint then names the publisher. */
uint64_t config_watch_publisher_addr(struct config_watch *watch, int64_t progressed_at_ms, int64_t now);

#endif
