/* follow: how any node keeps up with the configuration, and whom it asks for each part.
 * Freshness is timed from the asking, on a clock that counts suspend. */
#ifndef NL_CONFIG_WATCH_H
#define NL_CONFIG_WATCH_H

#include "core.h"
#include "instances.h"
#include "table.h"

enum {
	CONFIG_WATCH_EVERY = 250, /* ms between askings */
	CONFIG_WATCH_AROUND = 3,  /* controllers that are asked at once while the owner is silent */
	CONFIG_WATCH_WAIT = 300,  /* ms without an answer before another controller is asked */
	CONFIG_WATCH_SILENT =
	    CONFIG_WATCH_EVERY + CONFIG_WATCH_WAIT, /* ms without a leader's word after which there is none in reach */
	CONFIG_WATCH_CONFIG = 1700, /* ms after which new work is refused: the brief's 2 s, less what a send may take */
	CONFIG_WATCH_RIDE = 4500,   /* ms after which all that is held ends: keys, places, exchanges */
	CONFIG_WATCH_LOG = 500,     /* ms for which a publisher that does not answer is asked */
	CONFIG_WATCH_SEATS = 32,
	CONFIG_WATCH_SLOW = 1000, /* ms of a round trip that are granted to a slow link at the most */
	CONFIG_WATCH_TERMS = 8,   /* leaders of the control group whose clocks are remembered */
	CONFIG_WATCH_ASKED = 64   /* requests whose answers are still taken; a slow link carries several at once */
};

/* Places under a limit, handed out by the configuration's owner. name: "tenant" or "lane/tenant". */
struct config_watch_hold {
	char *key;
	struct {
		uint32_t held, used, want;
	} value;
};

struct config_watch {
	struct table t;
	struct instances instances;     /* servers as the configuration's owner sees them; gone ones stay for a while */
	struct config_watch_hold *hold; /* stb_ds; what a router uses and wants it writes here */
	uint64_t applied;               /* the newest answer whose places are in force */
	uint64_t born, rng;
	int64_t wall;           /* a controller's; 0: none */
	uint32_t load_pressure; /* a router's */
	int index;              /* it holds the index */
	int warm;               /* a router's: in service for a while */
	struct Nl__Left *left;  /* stb_ds: what servers still name of before a clearing */
	uint64_t fleet;         /* 0 until known */
	const char *zone, *web;
	int counter;
	uint64_t cand[CONFIG_WATCH_SEATS]; /* seeds, then controllers */
	int ncand, nseed;
	int at[SHARD_COUNT];               /* each part goes round by itself: together they skip some for ever */
	uint64_t leader_addr[SHARD_COUNT]; /* best guess of each part's owner */
	uint64_t up[8];
	int nup;
	uint64_t head[32]; /* of the other zones, if this node is the head of its own */
	int nhead;
	uint64_t live[CONFIG_WATCH_SEATS], live_id[CONFIG_WATCH_SEATS];
	int nlive;
	uint32_t counters; /* how many the owner saw lately */
	uint64_t token;
	struct config_watch_asked {
		uint64_t token, have; /* have: the edition that was here when it was asked */
		int64_t at;
	} asked[CONFIG_WATCH_ASKED];
	struct {
		uint64_t term;             /* 0: none */
		int64_t offset;            /* that leader's clock less this node's; not too small */
	} group_clock[CONFIG_WATCH_TERMS]; /* newest first */
	int64_t fresh;                     /* when the last good answer was asked for */
	int64_t leader_heard;              /* when the last answer of a leader with a lease came */
	int64_t round_trip;                /* how long that answer took, from its request */
	int64_t last_ask, last_word, log_tried;
};

void config_watch_open(struct config_watch *f, uint64_t born, const uint64_t *seeds, int n, int64_t now);
void config_watch_close(struct config_watch *f);

/* Other seeds from now on; who is known otherwise stays known. Example: config_watch_seeds(&f, seeds, 3); */
void config_watch_seeds(struct config_watch *f, const uint64_t *seeds, int n);

/* The places of a limit, made with none when they are new. Example: config_watch_hold(&f, "t1")->used++; */
typeof(((struct config_watch_hold *)0)->value) *config_watch_hold(struct config_watch *f, const char *name);

/* Ask when it is time. Example: config_watch_tick(&f, horizon, now, o); */
void config_watch_tick(struct config_watch *f, uint64_t horizon, int64_t now, struct out *o);

/* Ask at once, for example when a change is known to have passed. Example: config_watch_ask(&f, h, now, o); */
void config_watch_ask(struct config_watch *f, uint64_t horizon, int64_t now, struct out *o);

enum { CONFIG_WATCH_TABLE = 1, CONFIG_WATCH_SIGHTS = 2 };

/* Take an answer in; bits tell what changed, 0 nothing. Example: if (config_watch_msg(&f, m, now, o)) rebuild(); */
int config_watch_msg(struct config_watch *f, const struct Nl__Msg *m, int64_t now, struct out *o);

/* How old the newest certain knowledge is. Example: if (config_watch_age(&f, now) > CONFIG_WATCH_CONFIG) refuse(); */
int64_t config_watch_age(const struct config_watch *f, int64_t now);

/* The control group's clock as its leader of this term counts it, as far as this node can tell: not behind, but for what the two
 * clocks drift apart in the time that an answer is on its way. Where no answer of
 * that leader has come, or for term 0, the newest leader's: it went on from there. 0: not known.
 * Example: age = config_watch_clock(&f, naming->term, now) - naming->at; */
int64_t config_watch_clock(const struct config_watch *f, uint64_t term, int64_t now);

/* Whom to ask about a part; a word of its owner, or of its absence.
 * Example: out_msg(o, config_watch_leader_addr(&f, part), part, ...); */
uint64_t config_watch_leader_addr(struct config_watch *f, uint32_t part);
void config_watch_hint(struct config_watch *f, uint32_t part, uint64_t addr);
void config_watch_miss(struct config_watch *f, uint32_t part);

/* The log's address for a relay; while the horizon stands still, another controller's each time, whose hint
 * then names the publisher. Example: relay_up(&r, up, n, config_watch_log(&f, r.moved, now), now); */
uint64_t config_watch_log(struct config_watch *f, int64_t moved, int64_t now);

#endif
