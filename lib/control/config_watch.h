/* follow: how any node keeps up with the configuration, and whom it asks for each part.
 * Freshness is timed from the asking, on a clock that counts suspend. */
#ifndef NL_CONFIG_WATCH_H
#define NL_CONFIG_WATCH_H

#include "core.h"
#include "instances.h"
#include "config_table.h"

enum {
	CONFIG_WATCH_POLL_MS = 250, /* ms between askings */
	CONFIG_WATCH_FANOUT = 3,    /* controllers that are asked at once while the owner is silent */
	CONFIG_WATCH_REPLY_TIMEOUT_MS = 300, /* ms without an answer before another controller is asked */
	CONFIG_WATCH_LEADER_TIMEOUT_MS =
	    CONFIG_WATCH_POLL_MS +
	    CONFIG_WATCH_REPLY_TIMEOUT_MS, /* ms without a leader's word after which there is none in reach */
	CONFIG_WATCH_ADMIT_STALENESS_MS =
	    1700, /* ms after which new work is refused: the brief's 2 s, less what a send may take */
	CONFIG_WATCH_MAX_STALENESS_MS =
	    4500, /* ms after which all that is held ends: keys, places, exchanges */
	CONFIG_WATCH_PUBLISHER_TIMEOUT_MS = 500, /* ms for which a publisher that does not answer is asked */
	CONFIG_WATCH_MAX_CONTROLLERS = 32,
	CONFIG_WATCH_SLOW_LINK_MS = 1000, /* ms of a round trip that are granted to a slow link at the most */
	CONFIG_WATCH_MAX_CLOCKS = 8,      /* leaders of the control group whose clocks are remembered */
	CONFIG_WATCH_MAX_IN_FLIGHT =
	    64 /* requests whose answers are still taken; a slow link carries several at once */
};

/* Places under a limit, handed out by the configuration's owner. name: "tenant" or "lane/tenant". */
struct config_watch_quota {
	char *key;
	struct {
		uint32_t reserved, used, requested;
	} value;
};

struct config_watch {
	struct config_table table;
	struct instances
	    instances; /* servers as the configuration's owner sees them; gone ones stay for a while */
	struct config_watch_quota *quotas; /* stb_ds; what a router uses and wants it writes here */
	uint64_t applied_token;            /* the newest answer whose places are in force */
	uint64_t node_id, rng;
	int64_t wall_clock_ms;  /* a controller's; 0: none */
	uint32_t load_pressure; /* a router's */
	int has_index;          /* it holds the index */
	int is_warm;            /* a router's: in service for a while */
	struct Nl__CacheRemainder
	    *cache_remainders; /* stb_ds: what servers still name of before a clearing */
	uint64_t fleet;        /* 0 until known */
	const char *zone, *web;
	int is_router;
	uint64_t candidates[CONFIG_WATCH_MAX_CONTROLLERS]; /* seeds, then controllers */
	int candidate_count, seed_count;
	int next_candidate[SHARD_COUNT];   /* each part goes round by itself: together they skip some for ever
					    */
	uint64_t leader_addr[SHARD_COUNT]; /* best guess of each part's owner */
	uint64_t upstream[8];
	int upstream_count;
	uint64_t zone_heads[32]; /* of the other zones, if this node is the head of its own */
	int zone_head_count;
	uint64_t live_addr[CONFIG_WATCH_MAX_CONTROLLERS], live_id[CONFIG_WATCH_MAX_CONTROLLERS];
	int live_count;
	uint32_t router_count; /* how many the owner saw lately */
	uint64_t last_token;
	struct config_watch_request {
		uint64_t token, base_revision; /* have: the edition that was here when it was asked */
		int64_t requested_at_ms;
	} in_flight[CONFIG_WATCH_MAX_IN_FLIGHT];
	struct {
		uint64_t term;                  /* 0: none */
		int64_t offset_ms;              /* that leader's clock less this node's; not too small */
	} group_clock[CONFIG_WATCH_MAX_CLOCKS]; /* newest first */
	int64_t fetched_at_ms;                  /* when the last good answer was asked for */
	int64_t leader_contact_at_ms;           /* when the last answer of a leader with a lease came */
	int64_t round_trip_ms;                  /* how long that answer took, from its request */
	int64_t requested_at_ms, replied_at_ms, publisher_retried_at_ms;
};

void config_watch_open(struct config_watch *watch, uint64_t node_id, const uint64_t *seeds, int seed_count,
		       int64_t now);
void config_watch_close(struct config_watch *watch);

/* Other seeds from now on; who is known otherwise stays known. Example: config_watch_seeds(&f, seeds, 3); */
void config_watch_set_seeds(struct config_watch *watch, const uint64_t *seeds, int seed_count);

/* The places of a limit, made with none when they are new. Example: config_watch_hold(&f, "t1")->used++; */
typeof(((struct config_watch_quota *)0)->value) *config_watch_quota(struct config_watch *watch,
								    const char *name);

/* Ask when it is time. Example: config_watch_tick(&f, horizon, now, o); */
void config_watch_tick(struct config_watch *watch, uint64_t horizon, int64_t now, struct command_list *out);

/* Ask at once, for example when a change is known to have passed. Example: config_watch_ask(&f, h, now, o);
 */
void config_watch_poll(struct config_watch *watch, uint64_t horizon, int64_t now, struct command_list *out);

enum { CONFIG_WATCH_TABLE_CHANGED = 1, CONFIG_WATCH_INSTANCES_CHANGED = 2 };

/* Take an answer in; bits tell what changed, 0 nothing. Example: if (config_watch_msg(&f, m, now, o))
 * rebuild(); */
int config_watch_receive(struct config_watch *watch, const struct Nl__Msg *message, int64_t now,
			 struct command_list *out);

/* How old the newest certain knowledge is. Example: if (config_watch_age(&f, now) > CONFIG_WATCH_CONFIG)
 * refuse(); */
int64_t config_watch_age_ms(const struct config_watch *watch, int64_t now);

/* The control group's clock as its leader of this term counts it, as far as this node can tell: not behind,
 * but for what the two clocks drift apart in the time that an answer is on its way. Where no answer of that
 * leader has come, or for term 0, the newest leader's: it went on from there. 0: not known. Example: age =
 * config_watch_clock(&f, naming->term, now) - naming->at; */
int64_t config_watch_clock_ms(const struct config_watch *watch, uint64_t term, int64_t now);

/* Whom to ask about a part; a word of its owner, or of its absence.
 * Example: out_msg(o, config_watch_leader_addr(&f, part), part, ...); */
uint64_t config_watch_leader_addr(struct config_watch *watch, uint32_t shard);
void config_watch_hint(struct config_watch *watch, uint32_t shard, uint64_t addr);
void config_watch_miss(struct config_watch *watch, uint32_t shard);

/* The log's address for a relay; while the horizon stands still, another controller's each time, whose hint
 * then names the publisher. Example: relay_up(&r, up, n, config_watch_log(&f, r.moved, now), now); */
uint64_t config_watch_publisher_addr(struct config_watch *watch, int64_t progressed_at_ms, int64_t now);

#endif
