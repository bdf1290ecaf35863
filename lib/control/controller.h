/* reg: a controller's duties as one pure step: parts, configuration, claims, publisher, server orders. */
#ifndef NL_CONTROLLER_H
#define NL_CONTROLLER_H

#include "config_watch.h"
#include "operator_calls.h"
#include "rollout.h"
#include "orders.h"
#include "raft.h"
#include "purge.h"
#include "retention.h"
#include "table.h"

enum {
	CONTROLLER_SEEN = 3000,         /* ms a node counts as live after its last asking */
	CONTROLLER_SEEN_FORGET = 60000, /* ms after its last asking when it is forgotten */
	CONTROLLER_HOLD = 4000,         /* ms a new rollout waits after the lease, before its first order */
	CONTROLLER_LOOK = 500,          /* ms between a rollout's looks at a server's report */
	/* From the naming of weights to the last server that has them: 25 s. The last is told early enough for a loading of
	 * 8 s; the first rollout is done with telling early enough for another to take over: lease, election, hold-off. */
	CONTROLLER_TELL = 16000,
	CONTROLLER_TAKE_OVER = 7500,
	CONTROLLER_SHARES_MS = CONFIG_WATCH_RIDE + 300, /* ms after its last asking for which a router's places are its own */
	CONTROLLER_SPARE = 64,     /* limits in the table up to which every router holds spare places of each */
	CONTROLLER_RETRY_MS = 200, /* ms after which an operator's call that was refused for want of a leader may come again */
	CONTROLLER_CALL = 5000,    /* ms before an operator's call is answered as unknown */
	CONTROLLER_CLAIM_KEEP =
	    720000,                  /* ms of the part's own clock that a claim is remembered: the longest limit and two minutes */
	CONTROLLER_AGAIN = 400,      /* ms before a proposal without an answer is made again */
	CONTROLLER_SOON = 50,        /* the same where the answer was that there is another leader */
	CONTROLLER_BATCH = 128,      /* purges logged together */
	CONTROLLER_RECONFIGURE = 50, /* ms between steps of changing the membership of groups */
	CONTROLLER_ANNOUNCE = 500,   /* ms between words to where silent controllers stood */
	CONTROLLER_RECOVERY_SKIP = 1 << 20, /* editions and ticks that a recovery skips */
	CONTROLLER_EPOCH_SHIFT = 40,        /* of the epoch in the index of a feed's value */
	CONTROLLER_FORGET = 60000,          /* ms in office before controllers that were never heard of are forgotten */
	CONTROLLER_DROP_LOG = 1000,         /* ms between log lines on messages that break the protocol */
	CONTROLLER_DONE = 256,              /* changes whose answers are remembered */
	CONTROLLER_FEED = 100               /* ms between the publisher's askings of the feeds */
};

enum controller_ev_kind {
	CONTROLLER_TICK,
	CONTROLLER_MSG,
	CONTROLLER_SYNCED,
	CONTROLLER_WEB,
	CONTROLLER_CALLED,
	CONTROLLER_STOP,
	CONTROLLER_DOC,
	CONTROLLER_READ,
	CONTROLLER_NAME,
	CONTROLLER_LISTED,
	CONTROLLER_LOOKED,
	CONTROLLER_ORDERED,
	CONTROLLER_GONE
};

struct controller_ev {
	enum controller_ev_kind kind;
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
			struct Nl__Instance *const *v;
		} listed; /* the whole list of servers */
		struct {
			uint64_t token;
			int status;
			const char *weights;
			int loading;
		} looked;
		struct {
			uint64_t token;
		} gone; /* the operator who made this call has left */
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
struct controller_codec {
	int (*read)(const char *old, size_t old_len, const char *body, size_t len, int patch, struct Nl__Change *c,
		    const char **why, apr_pool_t *p);
};

/* An operator's document or naming that is logged here: answered once it is committed. */
struct controller_call {
	uint64_t token, index;
	struct order_id order;
	int64_t until; /* when it is answered though its outcome is open */
};
struct controller_wait {
	uint32_t part;
	uint64_t index, addr, token;
};
struct controller_ask {
	uint64_t token, web;
	uint32_t part;
	struct Nl__Op *op; /* malloc'd */
	int64_t until, again;
	int sends, denied; /* as long as they are alike it surely was not logged */
	int refused;       /* copies that were refused before they were logged */
};
/* An operator's read that waits for the leader's word. web: its call; token: of our asking. */
struct controller_read {
	uint64_t web, token;
	Nl__ReadKind kind;
	int64_t asked, again;
};
/* A config watch request that waits for the next leader. */
struct controller_held_request {
	struct Nl__Msg *request; /* malloc'd */
	int64_t until;
};
struct controller_seen {
	uint64_t id, addr, zone;
	int64_t at;
	int counter;
	int warm; /* in service for a while */
	uint64_t edition, horizon, token;
	int64_t wall;
	uint32_t load_pressure;
};
/* What a router holds or may still believe to hold under a limit; the answer that said the last of it. */
struct controller_place {
	uint64_t id, token;
	uint32_t rec, want;
	int64_t at, fed;
}; /* fed: when it last had any */
struct controller_limit {
	char *key;
	struct controller_place *value; /* stb_ds */
};
struct controller_claim {
	char *key;
	struct {
		uint64_t by, seq, at;
		int given_back;
	} value;
};

struct controller_svc { /* a service part's state */
	uint64_t clock;
	struct controller_claim *h;   /* stb_ds string map */
	struct Nl__Value **feed;      /* decisions for the publisher */
	uint64_t cleared, cleared_at; /* the newest clearing after which its log was cut: tick, clock */
	int settled;                  /* no claim is left from before it */
	struct controller_rolled {
		char *key;
		char *value;
	} * rolled; /* service -> weights last fully rolled out */
};

struct controller_pub { /* the purge part's state */
	uint64_t ceiling, released;
	struct Nl__Value **v; /* held values, by tick */
	struct view last;
	uint64_t mark[SHARD_COUNT]; /* feeds: highest index published */
	uint64_t cleared;
};

/* Weights as they were named for a service, since when at the earliest; since when weights have been named that not every server
 * got; what this rollout began with. */
struct controller_named {
	char *key;
	struct {
		char *weights;
		int64_t since, unrolled_since, first;
	} value;
};

struct controller_server { /* the rollout's view of one server */
	char *name, *service;
	uint64_t call;
	int64_t called, reported, ordered, load_at;
	char weights[200], loading[200];
	uint64_t carried; /* every purge up to this tick is carried out */
	uint64_t carried_want;
};

struct controller {
	uint64_t id, addr, fleet, rng;
	const char *zone;
	uint64_t seeds[8];
	int nseeds;
	struct raft part[SHARD_COUNT];
	struct table ctl;
	struct Nl__Value **ctl_feed;
	struct controller_done {
		uint64_t from, token;
		uint32_t status;
	} * ctl_done;         /* stb_ds, oldest first */
	struct orders orders; /* operators' orders that were accepted */
	uint8_t *ctl_doc;     /* the newest document, byte for byte */
	size_t ctl_doc_len;
	uint64_t ctl_doc_version;
	struct controller_call *call; /* stb_ds */
	struct operator_calls calls;
	struct retention ret;
	const struct controller_calendar *calendar; /* NULL: no schedules in calendar terms */
	int64_t group_clock_offset; /* the control group's clock less this machine's, while it leads: group_clock.h */
	int64_t wall;               /* the machine's clock at this step, ms since 1970, set by whoever steps; 0: no schedule runs */
	int64_t disk_at[SHARD_COUNT];
	int fresh[SHARD_COUNT];               /* a snapshot is due, and nothing older stays on the disk */
	const struct controller_codec *codec; /* of documents; NULL: none are taken */
	struct controller_pub pub;
	struct controller_svc svc[SHARD_SERVICES];
	struct config_watch f;
	struct bounds b;            /* bounds_default until they are set */
	struct instances instances; /* what the configuration's owner sees itself */
	struct rollout rollout;
	struct relay relay;
	struct controller_wait *wait;
	struct controller_ask *ask;
	struct controller_seen *seen;
	struct controller_held_request *held; /* stb_ds */
	char **spare;                         /* stb_ds: limits of which every router is given a few places ahead */
	uint64_t spare_edition;
	struct controller_limit *limit; /* stb_ds: by what the limit is of; the configuration owner's soft state */
	struct controller_read *reads;  /* stb_ds */
	struct controller_server *server;
	struct controller_named *named; /* stb_ds, by service */
	uint64_t token;
	uint64_t epoch[SHARD_COUNT]; /* of the newest operation applied */
	int64_t leader_since[SHARD_COUNT], clock_at[SHARD_COUNT], reconfigured, announced, joined;
	uint64_t leader_term[SHARD_COUNT]; /* term in which we last took office */
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

/* Begin. saved[i] may be NULL. Example: controller_open(&r, id, addr, "z1", seeds, 3, fleet, seed, saved, now); */
void controller_open(struct controller *r, uint64_t id, uint64_t addr, const char *zone, const uint64_t *seeds, int nseeds,
		     uint64_t fleet, uint64_t seed, const struct raft_saved *const *saved, int64_t now);
void controller_close(struct controller *r);

/* One step. Example: controller_step(&r, &(struct controller_ev){ .kind = CONTROLLER_TICK }, now, &o); */
void controller_step(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o);

/* Found the fleet without a call, as the settings of the first seed say: goes on until all seeds answer that they are
 * empty, or one belongs to a fleet. Example: if (initial) controller_bootstrap(&r, now); */
void controller_bootstrap(struct controller *r, int64_t now);

/* The state of a part's machine, packed, as a snapshot holds it; for checks.
 * Example: d = controller_state(&r, part, pool, &n); */
uint8_t *controller_state(const struct controller *r, uint32_t part, apr_pool_t *p, size_t *n);

/* After CONTROLLER_STOP: whether nothing more needs this controller and all that operators called for is answered, so that its
 * process may end before the grace is over.
 * Example: return controller_stopped(&r, now); */
int controller_stopped(const struct controller *r, int64_t now);

#endif
