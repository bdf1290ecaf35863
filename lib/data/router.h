/* ctr: a router's duties as one pure step: takes exchanges into lines, claims, assigns, sends, passes
 * the stream on, keeps the index and its purge view, relays purges. */
#ifndef NL_ROUTER_H
#define NL_ROUTER_H

#include "config_watch.h"
#include "kept.h"
#include "mechanism.h"
#include "purge.h"
#include "router_decision.h"

enum {
	ROUTER_LOOK = 500,         /* ms between looks at a server's report */
	ROUTER_TOLD = 1200,        /* ms for which a relay's word spares an own look */
	ROUTER_REPORT = 3000,      /* a report older than this does not vouch for a server */
	ROUTER_BAD = 1000,         /* ms a server that could not be reached is left alone */
	ROUTER_CLAIM_WAIT = 300,   /* ms before a claim is asked again, of another controller */
	ROUTER_CLAIM_HOLD = 60000, /* ms after which a claim is too old to send with */
	ROUTER_FETCH_MOST = 2000,  /* ms that a server waits for a fetch at the most */
	ROUTER_SLOW_HALF = 10000,  /* ms in which half of a link's slowness is forgotten */
	ROUTER_SLOW_MOST = 64,
	ROUTER_RELEASE = 15000, /* ms for which a claim is given back again and again */
	ROUTER_PARTS = 64,
	ROUTER_KEPT = 20000,   /* kept parts of one report that are heeded */
	ROUTER_WEIGHTS = 4096, /* names of weights that reports may bring */
	ROUTER_LIMIT_MIN = 50,
	ROUTER_LIMIT_MAX = 600000,
	ROUTER_LIMIT = 60000,
	ROUTER_RESEND_COST = 1000,       /* what one resend takes from a service's budget */
	ROUTER_BUDGET = 200,             /* resends per mille of sends */
	ROUTER_BUDGET_CAP = 2000,        /* saved up at most: two resends */
	ROUTER_RIDE = CONFIG_WATCH_RIDE, /* ms of not knowing that are ridden out; then all that is held here ends */
	ROUTER_ASK = 50,                 /* ms between askings for places that are lacked */
	ROUTER_FIRST_MS = 35,            /* what a first piece takes besides reading */
	ROUTER_LATE_MOST = 1000,
	ROUTER_FULL = 150,
	ROUTER_AGAIN_LEAST = 50,
	ROUTER_UNREACHED = 4,
	ROUTER_SILENCE = 2000, /* ms of silence that a stream's client bears at the least */
	ROUTER_AVOID = 300,    /* ms for which a request goes to another server than the one that gave it back */
	ROUTER_WATCH_WAIT = 1000,
	ROUTER_FIRST_WATCH_MS = 150,      /* of a router's link that first answers of servers may take at once */
	ROUTER_FIRST_WATCH_BYTES = 65536, /* what a first answer is taken to bring until some have come */
	ROUTER_EVENT_BYTES = 50,          /* of an event as servers say it */
	ROUTER_WATCH_GAP = 300,           /* ms that a server holds a watch; between two of them */
	ROUTER_INDEX = 1000000,           /* copies of parts that the index holds at the most */
	ROUTER_AWAY_MS = 40,
	ROUTER_AWAY_K =
	    12, /* ms that a server counts as dearer which does not keep the prefix, also by 1000 tokens of it: it pushes others' out */
	ROUTER_KEPT_TELL = 75,       /* ms between words of kept parts to the zone */
	ROUTER_WARM = 10000,         /* ms after a start in which a router is no other's upstream if it can be helped */
	ROUTER_BEGIN = 1300,         /* ms that a router and its fleet take from a start to a configuration in force */
	ROUTER_SOON = 60,            /* ms after which one that a single server turned away may come back */
	ROUTER_PUMP = 10,            /* ms between weighings of lines that nobody has room for */
	ROUTER_WAIT_MOST = 800,      /* ms of reading that may be ahead of a send at its server */
	ROUTER_FULL_PART = 80,       /* of a server's memory that what runs may take, in per cent: the rest is for kept parts */
	ROUTER_MEAN_SIZE = 5000,     /* tokens that others' requests are taken to hold */
	ROUTER_STORE_HEARD = 3500,   /* ms after the last word of a store's events for which it counts as up */
	ROUTER_DECISIONS_LOG = 2000, /* ms between lines of decisions in an experiment's log */
	ROUTER_LOAD = 50,
	ROUTER_LOAD_SOON = 20, /* ms between words of load where sends have left or begun */
	ROUTER_LOAD_WHOLE = 1000,
	ROUTER_LOAD_OLD = 2500,  /* ms between words of load; between whole ones; after which one is forgotten */
	ROUTER_FETCH_WAIT = 400, /* ms that a fetch may take before reading anew is the better */
	ROUTER_SINK_WAIT = 80,   /* ms of moves at the store beyond which nothing more is left there */
	ROUTER_FETCH_MS = 6,     /* what a fetch takes besides moving */
	ROUTER_OTHERS_HALF = 1000,
	ROUTER_LATE_HALF = 1500,
	ROUTER_FAILED_HALF = 3000, /* ms in which half of what was seen is forgotten */
	ROUTER_FAILED_MS = 1500,   /* what a server costs of whose sends all broke off lately */
	ROUTER_CALM_MARGIN = 150,
	ROUTER_RIDE_MARGIN = 500,    /* ms by which the ride ends before the strictest bound */
	ROUTER_ROLL_EARLY = 1500,    /* ms before a roll-out's bound after which older weights are sent nothing more */
	ROUTER_ROLL_CAP = 4000,      /* ms before that bound from which on it is the deadline of a send to older weights */
	ROUTER_ROLL_RECALL = 300,    /* ms before that bound at which what has not begun on older weights is taken back */
	ROUTER_VIOLATION_LOG = 1000, /* ms between log lines on violations of an invariant */
	ROUTER_PAUSE = 200,          /* ms between two steps after which this process counts as having stood still */
	ROUTER_HEARD_LATE = 250,     /* ms that a request's begin may be on its way here */
	ROUTER_RETRY = 500,          /* ms after which a refused caller may come back, at the least */
	ROUTER_RETRY_MOST = 30000
};

#define ROUTER_STEP_MS 0.4 /* ms that each request running at a server costs another */

enum router_ev_kind {
	ROUTER_TICK,
	ROUTER_MSG,
	ROUTER_EXCHANGE,
	ROUTER_GONE,
	ROUTER_PIECE,
	ROUTER_DONE,
	ROUTER_CALLED,
	ROUTER_WEB,
	ROUTER_STOP, /* a planned stop: what comes from now on is refused */
	ROUTER_ASKED,
	ROUTER_BEGAN,
	ROUTER_ENDED,
	ROUTER_WATCHED
};

/* An exchange whose text stays at the door; what is decided by is here. Strings live until the step is over. */
struct router_part {
	uint64_t id;
	uint32_t tokens;
};
struct router_asking {
	uint64_t token;
	const char *digest; /* of the key; NULL: none was shown */
	const char *host, *path, *id;
	int limit_ms;
	uint32_t tokens_in, tokens_out;
	int nparts;
	struct router_part part[64]; /* in order; the last is the exchange's own */
	int resumes;                 /* the caller itself takes up a stream */
};

/* The times of a planned stop. Past send_until nothing more is sent, and what waits is refused, so that another router may have
 * it in time; past run_until what still runs ends, so that its caller hears so before the process ends. 0: not known. */
struct router_stop {
	int64_t send_until, run_until;
};

/* How a forwarded send ended. */
enum router_end {
	ROUTER_WHOLE, /* the server's whole answer has gone to the caller, whatever its status */
	ROUTER_NEVER, /* the server surely never began: no byte left, or it says so; the caller has heard nothing of it */
	ROUTER_BROKE  /* it may have begun; began says whether the caller has seen a head and pieces */
};
struct router_ended {
	uint64_t token;
	enum router_end how;
	int status; /* 0: no answer */
	int began;
	uint32_t pieces;             /* whole pieces passed on by this send */
	const char *since;           /* id of the last of them; NULL: none */
	int running, waiting, slots; /* the server's load as it says; slots 0: it does not say */
	const char *weights;         /* that it names; NULL: none */
	int wrong_life;              /* the address answers for another server, or other weights */
};

struct router_ev {
	enum router_ev_kind kind;
	union {
		const struct Nl__Msg *msg;
		struct {
			uint64_t token;
			const char *digest, *body;
		} exchange;
		struct {
			uint64_t token;
		} gone;
		struct {
			uint64_t token;
			const char *line;
		} piece;
		/* never: the server surely never began */
		struct {
			uint64_t token;
			int status, whole, never;
			const char *body;
		} done;
		struct {
			uint64_t token;
			int status;
			const char *body;
		} called;
		struct {
			uint64_t token;
			const char *path;
		} web;
		struct router_stop stop;
		const struct router_asking *ask;
		struct {
			uint64_t token;
			const char *weights;
		} began; /* the first piece has gone to the caller */
		const struct router_ended *ended;
		struct {
			uint64_t token;
			const struct Nl__Kept *k;
			int status;
		} kept; /* answer to a watch */
	} u;
};

/* Names that came in at the door, as dense indices for the life of the process. */
struct names_row {
	char *key;
	uint32_t value;
};
struct names {
	struct names_row *h;
	char **name;
};
uint32_t names_id(struct names *n, const char *s);
int names_find(const struct names *n, const char *s); /* -1: never seen */

/* The table as the data plane reads it: immutable, swapped whole at each edition. */
struct bk_split {
	uint32_t service, upto;
}; /* upto: weights up to and with this one */
struct bk_lane {
	int on, resumable, repeatable, vouched, open;
	uint32_t service, prio, limit, aim, pause, timeout, attempts;
	const char *host, *path;
	const struct bk_split *split;
	uint32_t nsplit;
};
struct bk_tenant {
	int on, walled;
	uint32_t share, limit, rank;
};
/* weights: those named newest; model: whose weights they are, with the dates of their namings; NULL: no bound holds for them */
struct bk_service {
	int on;
	uint32_t weights, prefill, kv_bytes, link, store, slots, watches, conns;
	uint64_t room;
	int store_server;
	const struct Nl__Row *model;
};
struct bk_place {
	uint64_t key;
	uint32_t value;
}; /* hash of host and path -> lane */
/* One server's life, from the table or the list of servers. */
struct bk_server {
	int on, draining, is_store;
	uint32_t service;
	const char *addr;
	uint64_t to, zone;
};
/* Who stands: swapped whole like the route_table, but far more often. */
struct server_table {
	apr_pool_t *p;
	struct bk_server *server;
	uint32_t nserver;
};
struct bk_share {
	uint64_t key;
	struct {
		uint32_t share, limit;
	} value;
};
/* A scope whose context is cleared by itself, and so lies on cache namespaces of its own; -1: all lanes, all tenants. */
struct bk_scope {
	int lane, tenant;
	const char *lane_name, *tenant_name;
	uint64_t hash;
};
struct bk_key {
	char *key;
	uint32_t value;
};
struct route_table {
	uint64_t edition;
	apr_pool_t *p;
	struct bk_lane *lane;
	struct bk_tenant *tenant;
	struct bk_service *service;
	uint32_t nlane, ntenant, nservice;
	uint32_t keyless; /* the tenant of exchanges that show no key */
	int *store;       /* stores that serve all services: servers, by rendezvous of what is left there */
	uint32_t nstore;
	int keys, limits; /* any key; any limit of places */
	struct {
		uint32_t head, body, head_ms, idle_ms;
	} door;                 /* what callers may send, in bytes and ms; 0: as the program has it */
	uint64_t walls;         /* hash over the tenants that are walled off */
	struct bk_place *place; /* stb_ds */
	struct bk_scope *scope; /* stb_ds */
	struct bk_share *share; /* stb_ds: lane << 32 | tenant */
	struct bk_key *key;     /* stb_ds: digest -> tenant */
};

/* Generations of weights that servers of a service have at once, as far as they are told apart. */
enum { GENERATIONS = 4 };

/* A server that keeps leading parts of a prompt under a cache namespace, as the head of the zone has said. */
struct prefix_holder {
	uint32_t server, depth;
	uint64_t cache_namespace;
};

enum lookup_state {
	LOOKUP_NONE,  /* nobody was asked, or is waited for */
	LOOKUP_ASKED, /* the answer is waited for */
	LOOKUP_ANSWERED,
	LOOKUP_MISSED /* no answer came in time */
};

enum request_state { REQUEST_WAITING, REQUEST_CLAIMING, REQUEST_RUNNING };

/* How a request that was taken ended. Each has exactly one outcome: router_outcome.c. */
enum request_outcome {
	REQUEST_ANSWERED,    /* a server's whole answer went to its client, whatever the answer's status */
	REQUEST_REFUSED,     /* it never ran and never will; its client was told when to come back */
	REQUEST_REJECTED,    /* it never ran and never will; its client was told by a 4xx what is wrong with it */
	REQUEST_BROKEN_OFF,  /* it may have run; its client was told an error, or its stream was ended as not whole */
	REQUEST_CLIENT_GONE, /* its client left before it ended */
	REQUEST_OUTCOMES
};

struct client_request {
	uint64_t token, seq, claim, call;
	enum request_state state;
	apr_pool_t *p;
	char *digest, *id, *xid, *tail;
	const char *host, *path; /* of a forwarded one: a newer table places it again by them */
	uint64_t edition;        /* of the table that it was last placed by */
	uint32_t lane, tenant, service;
	int64_t limit, since_at, claim_at, sent_at, claim_from;
	uint64_t asked; /* the controller that was asked for the claim */
	int nparts, claimed, begun, sends, resend_paid, unreached;
	uint64_t hash[ROUTER_PARTS];
	const char *text[ROUTER_PARTS];
	uint32_t tokens[ROUTER_PARTS], tail_tokens;
	uint64_t next;         /* piece expected */
	int server;            /* -1: none chosen */
	uint32_t tried;        /* the last server that gave it back */
	int64_t tried_until;   /* until then it goes to another one */
	int64_t given_back_at; /* when that was */
	uint64_t stamp;
	uint32_t weights;
	int from;                     /* the server that kept parts are fetched from; -1: none */
	uint32_t fetch_ms;            /* what the fetch should take, the link as the table has it */
	struct client_request *after; /* in its line */
	/* what the text of stays at the door */
	int forwarded, ran, repeatable, resumable, attempts, slot; /* slot: where it is among all */
	uint32_t prio, tokens_out, ahead, size,
	    brings; /* brings: of its size, what its server did not keep; ahead: tokens that its send still has to read; size: all that it takes at a server */
	int sink;   /* the store that its parts are left at; -1: none */
	int64_t first;            /* when its first piece went on; 0: none has */
	char *since;              /* the last whole piece that the caller has */
	uint64_t cache_namespace; /* of its send */
	uint64_t filed;           /* scope and generation of that cache_namespace */
	double guess;             /* ms that its first piece should take */
	struct decision decision; /* of its newest send */
	enum lookup_state lookup; /* of its prefix, with the head of the zone */
	int64_t lookup_at, lookup_until;
	uint64_t lookup_namespace[GENERATIONS]; /* as they were asked for */
	int lookup_namespaces, nholder;
	struct prefix_holder *holder; /* as it was answered */
};

/* still: since when its head has waited; gap: the usual ms between two heads that leave */
struct line {
	uint32_t lane, tenant;
	char *name;
	struct client_request *head, *tail;
	uint32_t n, running;
	uint64_t pass;
	int64_t still;
	double gap;
};

/* Events of one server's kept parts that the zone has not been told: of each part the newest. */
struct kept_news {
	uint64_t epoch, next;
	int lost, queued; /* lost: what was known before no longer counts */
	struct {
		uint64_t key;
		struct {
			uint64_t filed;
			int gone;
		} value;
	} * part; /* stb_ds, by the part's key in the index */
};

struct router_server {
	struct kept_news news;
	int64_t reported, called, bad_until, told; /* told: when a relay last passed its report on */
	uint64_t call, asked, serial, boot;
	uint32_t weights, seen_weights;                 /* seen: by the list; an answer's own word is newer */
	uint32_t stale;                                 /* parts in its last whole report that a clearing withdrew */
	int64_t counted;                                /* when that report came */
	int odd;                                        /* its last report could not be read; said once */
	int have, loading, slots, running, own, others; /* running there: ours as we know it, others' by the last report */
	double mean_ms;
	int64_t others_at, late_at, failed_at;
	uint32_t ahead;              /* tokens that ours still have to read there */
	uint64_t tokens;             /* of ours that run there, prompt and answer */
	double late_ms;              /* how much later than reckoned first pieces came lately */
	double failed;               /* of late sends, the part that broke off; forgotten by and by */
	int fails;                   /* connections in a row that did not come up */
	uint64_t watch, epoch, next; /* a watch of its kept parts: the call, where it stands */
	int listed, watch_all;       /* all that it keeps was told once, and no event missed since; the watch asks for that */
	double link_free;       /* when the moves from and to it that are under way should be done; ours stand for all routers' */
	int64_t watched, heard; /* heard: a relay's word of its kept parts */
};

/* What is under way at servers, as one source says it: a router of the zone, another zone's head, or this zone's head. */
struct load_cell {
	uint32_t ahead, running, tokens;
};
struct load_from {
	uint64_t id;
	int of;
	int64_t at;
	uint64_t addr;
	struct load_cell *v; /* stb_ds, by server */
};

/* What fetches from one server to another were seen to take, as a multiple of what the table says. */
struct router_pair {
	uint64_t key;
	struct {
		double slow;
		int64_t at;
	} value;
};

/* A claim that is given back, asked again until the part has heard of it. */
struct router_release {
	uint64_t token, seq, asked;
	uint32_t service, tenant;
	char *id;
	int64_t at, until;
};

struct router_counts {
	uint64_t outcome[REQUEST_OUTCOMES];
	uint64_t taken, sends, resends, pieces, tokens, reused, fetched, cold, claims;
	uint64_t watches, events, taken_up, wrong_life, looks, refused_stale, refused_line, refused_limit, refused_early, revoked,
	    blind;
	uint64_t lookups_used, lookups_missed, lookups_answered; /* of prefixes: in time; not; for others */
	uint64_t recalled;         /* sends taken back because they had not begun shortly before their weights' bound */
	uint64_t sent_past_bound;  /* sends to servers whose weights were past their bound: a fault, if any */
	uint64_t begun_past_bound; /* requests that began on weights past their bound: a fault, if any */
};

struct router_use {
	uint64_t key;
	struct {
		uint64_t exchanges, tokens, reused, pieces, errors;
	} value;
};

struct router {
	uint64_t id, addr, token, seq, retries;
	const char *zone;
	struct config_watch f;
	struct relay relay;
	struct kept kept;
	struct names lanes, tenants, services, servers, weights;
	struct route_table *route_table;
	struct server_table *server_table;
	uint32_t nstand; /* servers in it that take requests */
	struct bounds b;
	struct load_from *load; /* stb_ds: what others said */
	struct load_cell *told_up, *told_down, *told_far,
	    *others; /* stb_ds, by server: last said to each; what others have under way */
	int64_t load_at, load_whole, load_told_at, others_fresh;
	int load_changed; /* a send has left or begun since the last word */
	struct cache_namespace_name {
		char *key;
		uint32_t value;
	} * shelves;           /* stb_ds: a cache_namespace's name as it goes to servers -> weights */
	int *depth;            /* stb_ds, by server: leading parts kept there; of the assigning under way */
	uint64_t *server_hash; /* stb_ds, by server: of its name, so that every router ranks alike */
	struct {
		uint64_t key;
		uint32_t value;
	} * server_at; /* stb_ds: by that hash */
	struct {
		double round_trip_ms; /* of answers, lately */
		int misses;           /* in a row */
		int64_t probe_at;     /* when a head that does not answer is asked again */
	} lookup;
	int64_t decisions_logged_at;
	struct decision_counts **decisions; /* stb_ds, by lane; NULL: none yet */
	uint64_t zone_hash;
	apr_pool_t *scratch;
	uint64_t *generation;        /* stb_ds, by scope and slice; emptied when a clearing or another route_table comes */
	int64_t now;                 /* of the step under way */
	int64_t violation_logged_at; /* 0: never */
	int64_t paused_at;           /* when this process last went on after it had stood still; 0: never */
	int64_t left_at, cleared_at; /* a look at what servers still name began; the last clearing was heard of whole */
	ptrdiff_t left_pos;          /* how much of the index that look has before it */
	struct Nl__Left *left;       /* stb_ds: what it has found */
	int64_t opened, pump_at;
	double first_watch_bytes; /* what a server's first answer brings, as they went lately */
	struct {
		uint32_t *queue; /* stb_ds: servers whose events the zone has not been told, who has waited longest first */
		int64_t told_at, free_at; /* when it was last told; when the link has room for more */
	} feed;
	uint64_t walled_tick; /* newest purge of a tenant in the view */
	struct {
		uint64_t key;
		uint32_t value;
	} * line_at; /* stb_ds: lane << 32 | tenant -> line */
	apr_pool_t *p;
	struct json_tokener *tok; /* one for all that is read here, kept between texts */
	struct router_server *sv; /* stb_ds, by server index */
	struct line *line;        /* stb_ds */
	int64_t *stood;           /* stb_ds, by service: when a server of it last stood */
	struct {
		uint64_t key;
		struct client_request *value;
	} * by;                         /* stb_ds: token of a call, claim or caller */
	struct client_request **all;    /* stb_ds */
	struct router_release *release; /* stb_ds */
	struct router_pair *pair;       /* stb_ds: from << 32 | to */
	uint32_t *running;              /* stb_ds: by tenant */
	int64_t *budget;                /* stb_ds, by service: resends saved up, per mille */
	struct router_counts n;
	struct router_use *use; /* stb_ds: lane << 32 | tenant */
	int stopping;
	struct router_stop stop; /* of a planned stop */
	int plain;               /* to compare with: assign by load alone, and reuse what happens to be there */
	void (*log)(void *ctx, const char *prefix, const char *line);
	void *log_ctx;
};

/* Begin. Example: router_open(&c, id, addr, "z1", seeds, 3, now); */
void router_open(struct router *c, uint64_t id, uint64_t addr, const char *zone, const uint64_t *seeds, int n, int64_t now);
void router_close(struct router *c);

/* One step. Example: router_step(&c, &(struct router_ev){ .kind = ROUTER_TICK }, now, &o); */
void router_step(struct router *c, const struct router_ev *ev, int64_t now, struct out *o);

/* Until when what is held here may go on to callers: past it keys may have been removed that still hold here.
 * Example: web_good_until(web, router_good_until(&c)); */
int64_t router_good_until(const struct router *c);

/* Whether it may be called ready: it has a configuration that is in force, and is not stopping.
 * Example: answer(router_ready(&c, now) ? 200 : 503); */
int router_ready(const struct router *c, int64_t now);

/* Whether each request that was taken has ended once or is under way; it always holds.
 * Example: if (!router_balanced(&c)) fail("a request is lost"); */
int router_balanced(const struct router *c);

/* Whether nothing is under way. Example: if (stopping && router_idle(&c)) leave(); */
int router_idle(const struct router *c);

/* Usage so far as CSV: lane,tenant,exchanges,tokens,reused,pieces,errors. Example: router_usage(&c, pool) */
const char *router_usage(const struct router *c, apr_pool_t *p);

#endif
