/* reg: a registrar's duties as one pure step: parts, configuration, claims, publisher, server orders. */
#ifndef NL_REG_H
#define NL_REG_H

#include "follow.h"
#include "giver.h"
#include "orders.h"
#include "raft.h"
#include "purge.h"
#include "retention.h"
#include "table.h"

enum {
	REG_SEEN = 3000, /* ms a node counts as live after its last asking */
	REG_HOLD = 4000, /* ms a new giver waits after the licence, before its first order */
	REG_LOOK = 500,  /* ms between a giver's looks at a server's report */
	/* From the naming of weights to the last server that has them: 25 s. The last is told early enough for a loading of
	 * 8 s; the first giver is done with telling early enough for another to take over: licence, election, hold-off. */
	REG_TELL = 16000,
	REG_TAKE_OVER = 7500,
	REG_PLACES = FOLLOW_RIDE + 300, /* ms after its last asking for which a counter's places are its own */
	REG_SPARE = 64,                 /* limits in the table up to which every counter holds spare places of each */
	REG_RETRY_MS = 200,             /* ms after which an operator's call that was refused for want of a leader may come again */
	REG_CALL = 5000,                /* ms before an operator's call is answered as unknown */
	REG_CLAIM_KEEP = 720000,     /* ms of the part's own clock that a claim is remembered: the longest limit and two minutes */
	REG_AGAIN = 400,             /* ms before a proposal without an answer is made again */
	REG_BATCH = 128,             /* purges logged together */
	REG_RECONFIGURE = 50,        /* ms between steps of changing the membership of groups */
	REG_ANNOUNCE = 500,          /* ms between words to where silent registrars stood */
	REG_RECOVERY_SKIP = 1 << 20, /* editions and ticks that a recovery skips */
	REG_EPOCH_SHIFT = 40,        /* of the epoch in the index of a feed's value */
	REG_FORGET = 60000,          /* ms in office before registrars that were never heard of are forgotten */
	REG_DROP_LOG = 1000,         /* ms between log lines on messages that break the protocol */
	REG_DONE = 256,              /* changes whose answers are remembered */
	REG_FEED = 100               /* ms between the publisher's askings of the feeds */
};

enum reg_ev_kind {
	REG_TICK,
	REG_MSG,
	REG_SYNCED,
	REG_WEB,
	REG_CALLED,
	REG_STOP,
	REG_DOC,
	REG_READ,
	REG_NAME,
	REG_LISTED,
	REG_LOOKED,
	REG_ORDERED
};

struct reg_ev {
	enum reg_ev_kind kind;
	union {
		const struct Nl__Msg *msg;
		struct {
			uint32_t part;
			uint64_t seq;
		} synced;
		struct {
			uint64_t token;
			const char *verb, *path, *body, *key;
		} web; /* key: an Idempotency-Key, NULL for none */
		struct {
			uint64_t token;
			int status;
			const char *body;
		} called;
		/* an operator's document, whole or a patch on the version base */
		struct {
			uint64_t token, base;
			int patch;
			const char *body;
			size_t len;
			const char *invalid; /* what the adapter found wrong with the call; NULL: nothing */
		} doc;
		struct {
			uint64_t token;
		} read; /* the newest document is wanted back */
		struct {
			uint64_t token;
			const char *model, *weights;
			const char *invalid;
		} name; /* weights are named for a model */
		struct {
			uint64_t token;
			int ok;
			size_t n;
			struct Nl__Sight *const *v;
		} listed; /* the whole list of servers */
		struct {
			uint64_t token;
			int status;
			const char *weights;
			int loading;
		} looked;
		/* 200 holds, 202 begun, 409 another under way, 412 a lower fence, 421 not this server; 0 no answer; never: nothing left */
		struct {
			uint64_t token;
			int status, never;
		} ordered;
	} u;
};

/* The language that operators' documents are written in: the door's. Makes rows out of a document, and one whole
 * document out of an old one and a patch. *why says what is wrong and names the item. Pure; results live in p.
 * whole: the new document, as bytes; c: rows that replace all earlier ones, keys too. */
struct reg_tongue {
	int (*read)(const char *old, size_t old_len, const char *body, size_t len, int patch, struct Nl__Change *c,
		    const char **why, apr_pool_t *p);
};

/* An operator's document or naming that is logged here: answered once it is committed. */
struct reg_call {
	uint64_t token, index;
	struct order_id order;
	int64_t until; /* when it is answered though its outcome is open */
};
struct reg_wait {
	uint32_t part;
	uint64_t index, addr, token;
};
struct reg_ask {
	uint64_t token, web;
	uint32_t part;
	struct Nl__Op *op; /* malloc'd */
	int64_t until, again;
	int sends, denied; /* as long as they are alike it surely was not logged */
	int refused;       /* copies that were refused before they were logged */
};
/* An operator's read that waits for the leader's word. web: its call; token: of our asking. */
struct reg_read {
	uint64_t web, token;
	Nl__ReadKind kind;
	int64_t asked, again;
};
struct reg_seen {
	uint64_t id, addr, zone;
	int64_t at;
	int counter;
	uint64_t edition, horizon, token;
	int64_t wall;
	uint32_t strain;
};
/* What a counter holds or may still believe to hold under a limit; the answer that said the last of it. */
struct reg_place {
	uint64_t id, token;
	uint32_t rec, want;
	int64_t at, fed;
}; /* fed: when it last had any */
struct reg_limit {
	char *key;
	struct reg_place *value; /* stb_ds */
};
struct reg_claim {
	char *key;
	struct {
		uint64_t by, seq, at;
		int given_back;
	} value;
};

struct reg_svc { /* a service part's state */
	uint64_t clock;
	struct reg_claim *h;          /* stb_ds string map */
	struct Nl__Value **feed;      /* decisions for the publisher */
	uint64_t cleared, cleared_at; /* the newest clearing after which its log was cut: tick, clock */
	int settled;                  /* no claim is left from before it */
	struct reg_rolled {
		char *key;
		char *value;
	} * rolled; /* service -> weights last fully rolled out */
};

struct reg_pub { /* the purge part's state */
	uint64_t ceiling, released;
	struct Nl__Value **v; /* held values, by tick */
	struct view last;
	uint64_t mark[SHARD_COUNT]; /* feeds: highest index published */
	uint64_t cleared;
};

/* Weights as they were named for a service: since when, at the earliest; what this giver began with. */
struct reg_named {
	char *key;
	struct {
		char *weights;
		int64_t since, first;
	} value;
};

struct reg_server { /* the giver's view of one server */
	char *name, *service;
	uint64_t call;
	int64_t called, reported, ordered, load_at;
	char weights[200], loading[200];
	uint64_t carried; /* every purge up to this tick is carried out */
	uint64_t carried_want;
};

struct reg {
	uint64_t id, addr, fleet, rng;
	const char *zone;
	uint64_t seeds[8];
	int nseeds;
	struct raft part[SHARD_COUNT];
	struct table ctl;
	struct Nl__Value **ctl_feed;
	struct reg_done {
		uint64_t from, token;
		uint32_t status;
	} * ctl_done;         /* stb_ds, oldest first */
	struct orders orders; /* operators' orders that were accepted */
	uint8_t *ctl_doc;     /* the newest document, byte for byte */
	size_t ctl_doc_len;
	uint64_t ctl_doc_version;
	struct reg_call *call; /* stb_ds */
	struct retention ret;
	const struct reg_calendar *calendar; /* NULL: no schedules in calendar terms */
	int64_t wall; /* the machine's clock at this step, ms since 1970, set by whoever steps; 0: no schedule runs */
	int64_t disk_at[SHARD_COUNT];
	int fresh[SHARD_COUNT];          /* a snapshot is due, and nothing older stays on the disk */
	const struct reg_tongue *tongue; /* of documents; NULL: none are taken */
	struct reg_pub pub;
	struct reg_svc svc[SHARD_SERVICES];
	struct follow f;
	struct bounds b;      /* bounds_default until they are set */
	struct sights sights; /* what the configuration's owner sees itself */
	struct giver giver;
	struct relay relay;
	struct reg_wait *wait;
	struct reg_ask *ask;
	struct reg_seen *seen;
	char **spare; /* stb_ds: limits of which every counter is given a few places ahead */
	uint64_t spare_edition;
	struct reg_limit *limit; /* stb_ds: by what the limit is of; the configuration owner's soft state */
	struct reg_read *reads;  /* stb_ds */
	struct reg_server *server;
	struct reg_named *named; /* stb_ds, by service */
	uint64_t token;
	uint64_t epoch[SHARD_COUNT]; /* of the newest operation applied */
	int64_t owner_since[SHARD_COUNT], clock_at[SHARD_COUNT], reconfigured, announced, joined;
	uint64_t was_owner[SHARD_COUNT]; /* term in which we last took office */
	/* publisher's soft state */
	uint64_t tick;                 /* highest tick declared */
	uint64_t feed_ok[SHARD_COUNT]; /* round at which each feed last said all */
	uint64_t feed_round, reserved_for;
	int64_t feed_at, tick_at;
	uint64_t pending_tick; /* of a value being logged */
	uint32_t order_seq;
	/* founding */
	/* web: the call that asked for it; own: the settings did */
	struct {
		uint64_t web, name;
		int own;
		int64_t until, at;
		uint64_t id[8], fleet[8];
		int empty[8];
		struct Nl__Members *members;
	} found;
	int64_t drop_logged_at;         /* messages that break the protocol: last log line, */
	uint64_t dropped, drops_logged; /* how many there were, how many of them lines have told of */
	int stopping;
	void (*log)(void *ctx, const char *prefix, const char *line);
	void *log_ctx;
	int fleet_dirty; /* the shell must store r->fleet */
};

/* Begin. saved[i] may be NULL. Example: reg_open(&r, id, addr, "z1", seeds, 3, fleet, seed, saved, now); */
void reg_open(struct reg *r, uint64_t id, uint64_t addr, const char *zone, const uint64_t *seeds, int nseeds, uint64_t fleet,
	      uint64_t seed, const struct raft_saved *const *saved, int64_t now);
void reg_close(struct reg *r);

/* One step. Example: reg_step(&r, &(struct reg_ev){ .kind = REG_TICK }, now, &o); */
void reg_step(struct reg *r, const struct reg_ev *ev, int64_t now, struct out *o);

/* Found the fleet without a call, as the settings of the first seed say: goes on until all seeds answer that they are
 * empty, or one belongs to a fleet. Example: if (initial) reg_found(&r, now); */
void reg_found(struct reg *r, int64_t now);

/* The state of a part's machine, packed, as a snapshot holds it; for checks.
 * Example: d = reg_state(&r, part, pool, &n); */
uint8_t *reg_state(const struct reg *r, uint32_t part, apr_pool_t *p, size_t *n);

/* After REG_STOP: whether nothing more needs this registrar, so that its process may end before the grace is over.
 * Example: return reg_stopped(&r, now); */
int reg_stopped(const struct reg *r, int64_t now);

#endif
