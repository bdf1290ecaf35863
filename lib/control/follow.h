/* follow: how any node keeps up with the configuration, and whom it asks for each part.
 * Freshness is timed from the asking, on a clock that counts suspend. */
#ifndef NL_FOLLOW_H
#define NL_FOLLOW_H

#include "core.h"
#include "sights.h"
#include "table.h"

enum {
	FOLLOW_EVERY = 250,                         /* ms between askings */
	FOLLOW_AROUND = 3,                          /* registrars that are asked at once while the owner is silent */
	FOLLOW_WAIT = 300,                          /* ms without an answer before another registrar is asked */
	FOLLOW_SILENT = FOLLOW_EVERY + FOLLOW_WAIT, /* ms without a leader's word after which there is none in reach */
	FOLLOW_CONFIG = 1700, /* ms after which new work is refused: the brief's 2 s, less what a send may take */
	FOLLOW_RIDE = 4500,   /* ms after which all that is held ends: keys, places, exchanges */
	FOLLOW_LOG = 500,     /* ms for which a publisher that does not answer is asked */
	FOLLOW_SEATS = 32
};

/* Places under a limit, handed out by the configuration's owner. name: "tenant" or "lane/tenant". */
struct follow_hold {
	char *key;
	struct {
		uint32_t held, used, want;
	} value;
};

struct follow {
	struct table t;
	struct sights sights;     /* servers as the configuration's owner sees them; gone ones stay for a while */
	struct follow_hold *hold; /* stb_ds; what a counter uses and wants it writes here */
	uint64_t applied;         /* the newest answer whose places are in force */
	uint64_t born, rng;
	int64_t wall;          /* a registrar's; 0: none */
	uint32_t strain;       /* a counter's */
	int index;             /* it holds the index */
	struct Nl__Left *left; /* stb_ds: what servers still name of before a clearing */
	uint64_t fleet;        /* 0 until known */
	const char *zone, *web;
	int counter;
	uint64_t cand[FOLLOW_SEATS]; /* seeds, then registrars */
	int ncand, nseed;
	int at[SHARD_COUNT];        /* each part goes round by itself: together they skip some for ever */
	uint64_t seat[SHARD_COUNT]; /* best guess of each part's owner */
	uint64_t up[8];
	int nup;
	uint64_t head[32]; /* of the other zones, if this node is the head of its own */
	int nhead;
	uint64_t live[FOLLOW_SEATS], live_id[FOLLOW_SEATS];
	int nlive;
	uint32_t counters; /* how many the owner saw lately */
	uint64_t token;
	struct {
		uint64_t token;
		int64_t at;
	} asked[16];
	int64_t fresh; /* when the last good answer was asked for */
	int64_t last_ask, last_word, log_tried;
};

void follow_open(struct follow *f, uint64_t born, const uint64_t *seeds, int n, int64_t now);
void follow_close(struct follow *f);

/* Other seeds from now on; who is known otherwise stays known. Example: follow_seeds(&f, seeds, 3); */
void follow_seeds(struct follow *f, const uint64_t *seeds, int n);

/* The places of a limit, made with none when they are new. Example: follow_hold(&f, "t1")->used++; */
typeof(((struct follow_hold *)0)->value) *follow_hold(struct follow *f, const char *name);

/* Ask when it is time. Example: follow_tick(&f, horizon, now, o); */
void follow_tick(struct follow *f, uint64_t horizon, int64_t now, struct out *o);

/* Ask at once, for example when a change is known to have passed. Example: follow_ask(&f, h, now, o); */
void follow_ask(struct follow *f, uint64_t horizon, int64_t now, struct out *o);

enum { FOLLOW_TABLE = 1, FOLLOW_SIGHTS = 2 };

/* Take an answer in; bits tell what changed, 0 nothing. Example: if (follow_msg(&f, m, now, o)) rebuild(); */
int follow_msg(struct follow *f, const struct Nl__Msg *m, int64_t now, struct out *o);

/* How old the newest certain knowledge is. Example: if (follow_age(&f, now) > FOLLOW_CONFIG) refuse(); */
int64_t follow_age(const struct follow *f, int64_t now);

/* Whom to ask about a part; a word of its owner, or of its absence.
 * Example: out_msg(o, follow_seat(&f, part), part, ...); */
uint64_t follow_seat(struct follow *f, uint32_t part);
void follow_hint(struct follow *f, uint32_t part, uint64_t addr);
void follow_miss(struct follow *f, uint32_t part);

/* The log's address for a relay; while the horizon stands still, another registrar's each time, whose hint
 * then names the publisher. Example: relay_up(&r, up, n, follow_log(&f, r.moved, now), now); */
uint64_t follow_log(struct follow *f, int64_t moved, int64_t now);

#endif
