/* ctr: a counter's duties as one pure step: takes exchanges into lines, claims, assigns, sends, passes
 * the stream on, keeps the index and its purge view, relays purges. */
#ifndef NL_CTR_H
#define NL_CTR_H

#include "follow.h"
#include "kept.h"
#include "purge.h"

enum {
	CTR_LOOK = 500,        /* ms between looks at a server's report */
	CTR_TOLD = 1200,       /* ms for which a relay's word spares an own look */
	CTR_REPORT = 3000,     /* a report older than this does not vouch for a server */
	CTR_BAD = 1000,        /* ms a server that could not be reached is left alone */
	CTR_CLAIM_WAIT = 300,  /* ms before a claim is asked again, of another registrar */
	CTR_CLAIM_HOLD = 60000, /* ms after which a claim is too old to send with */
	CTR_FETCH_MOST = 2000, /* ms that a server waits for a fetch at the most */
	CTR_SLOW_HALF = 10000, /* ms in which half of a link's slowness is forgotten */
	CTR_SLOW_MOST = 64,
	CTR_RELEASE = 15000,   /* ms for which a claim is given back again and again */
	CTR_PARTS = 64,
	CTR_KEPT = 20000,      /* kept parts of one report that are heeded */
	CTR_WEIGHTS = 4096,    /* names of weights that reports may bring */
	CTR_LIMIT_MIN = 50, CTR_LIMIT_MAX = 600000, CTR_LIMIT = 60000,
	CTR_BUDGET = 200,      /* resends per mille of sends */
	CTR_BUDGET_CAP = 2000, /* saved up at most: two resends */
	CTR_RIDE = FOLLOW_RIDE, /* ms of not knowing that are ridden out; then all that is held here ends */
	CTR_ASK = 50,          /* ms between askings for places that are lacked */
	CTR_RETRY = 500,       /* ms after which a refused caller may come back, at the least */
	CTR_RETRY_MOST = 30000
};

enum ctr_ev_kind { CTR_TICK, CTR_MSG, CTR_EXCHANGE, CTR_GONE, CTR_PIECE, CTR_DONE, CTR_CALLED, CTR_WEB, CTR_STOP, CTR_ASKED, CTR_BEGAN, CTR_ENDED, CTR_WATCHED };

/* An exchange whose text stays at the door; what is decided by is here. Strings live until the step is over. */
struct ctr_part { uint64_t id; uint32_t tokens; };
struct ctr_asking {
	uint64_t token;
	const char *digest;          /* of the key; NULL: none was shown */
	const char *host, *path, *id;
	int limit_ms;
	uint32_t tokens_in, tokens_out;
	int nparts;
	struct ctr_part part[64];    /* in order; the last is the exchange's own */
	int resumes;                 /* the caller itself takes up a stream */
};

/* How a forwarded send ended. */
enum ctr_end {
	CTR_WHOLE,   /* the server's whole answer has gone to the caller, whatever its status */
	CTR_NEVER,   /* the server surely never began: no byte left, or it says so; the caller has heard nothing of it */
	CTR_BROKE    /* it may have begun; began says whether the caller has seen a head and pieces */
};
struct ctr_ended {
	uint64_t token;
	enum ctr_end how;
	int status;                  /* 0: no answer */
	int began;
	uint32_t pieces;             /* whole pieces passed on by this send */
	const char *since;           /* id of the last of them; NULL: none */
	int running, waiting, slots; /* the server's load as it says; slots 0: it does not say */
	const char *weights;         /* that it names; NULL: none */
	int wrong_life;              /* the address answers for another server, or other weights */
};

struct ctr_ev {
	enum ctr_ev_kind kind;
	union {
		const struct Nl__Msg *msg;
		struct { uint64_t token; const char *digest, *body; } exchange;
		struct { uint64_t token; } gone;
		struct { uint64_t token; const char *line; } piece;
		/* never: the server surely never began */
		struct { uint64_t token; int status, whole, never; const char *body; } done;
		struct { uint64_t token; int status; const char *body; } called;
		struct { uint64_t token; const char *path; } web;
		const struct ctr_asking *ask;
		struct { uint64_t token; const char *weights; } began; /* the first piece has gone to the caller */
		const struct ctr_ended *ended;
		struct { uint64_t token; const struct Nl__Kept *k; int status; } kept; /* answer to a watch */
	} u;
};

/* Names that came in at the door, as dense indices for the life of the process. */
struct names_row { char *key; uint32_t value; };
struct names { struct names_row *h; char **name; };
uint32_t names_id(struct names *n, const char *s);
int names_find(const struct names *n, const char *s); /* -1: never seen */

/* The table as the data plane reads it: immutable, swapped whole at each edition. */
struct bk_lane { int on; uint32_t service, prio, limit; };
struct bk_tenant { int on, walled; uint32_t share, limit; };
struct bk_service { int on; uint32_t weights, prefill, kv_bytes, link, store; int store_server; };
struct bk_server { int on, draining, is_store; uint32_t service; const char *addr; };
struct bk_share { uint64_t key; struct { uint32_t share, limit; } value; };
struct bk_key { char *key; uint32_t value; };
struct book {
	uint64_t edition;
	apr_pool_t *p;
	struct bk_lane *lane;
	struct bk_tenant *tenant;
	struct bk_service *service;
	struct bk_server *server;
	uint32_t nlane, ntenant, nservice, nserver;
	struct bk_share *share; /* stb_ds: lane << 32 | tenant */
	struct bk_key *key;     /* stb_ds: digest -> tenant */
};

enum xch_state { XCH_WAITING, XCH_CLAIMING, XCH_RUNNING };

struct xch {
	uint64_t token, seq, claim, call;
	enum xch_state state;
	apr_pool_t *p;
	char *digest, *id, *xid, *tail;
	uint32_t lane, tenant, service;
	int64_t limit, since, claim_at, sent_at, claim_from;
	uint64_t asked;     /* the registrar that was asked for the claim */
	int nparts, claimed, begun, sends, resend_paid;
	uint64_t hash[CTR_PARTS];
	const char *text[CTR_PARTS];
	uint32_t tokens[CTR_PARTS], tail_tokens;
	uint64_t next;      /* piece expected */
	int server;         /* -1: none chosen */
	uint32_t tried;     /* last server that refused it */
	uint64_t stamp;
	uint32_t weights;
	int from;           /* the server that kept parts are fetched from; -1: none */
	uint32_t fetch_ms;  /* what the fetch should take, the link as the table has it */
	struct xch *after;  /* in its line */
};

/* still: since when its head has waited; gap: the usual ms between two heads that leave */
struct line { uint32_t lane, tenant; char *name; struct xch *head, *tail; uint32_t n, running; uint64_t pass; int64_t still; double gap; };

struct ctr_server {
	int64_t reported, called, bad_until, told; /* told: when a relay last passed its report on */
	uint64_t call, asked, serial, boot;
	uint32_t weights;
	int odd;            /* its last report could not be read; said once */
	int have, loading, slots, running, own, others; /* running there: ours as we know it, others' by the last report */
	double mean_ms;
};

/* What fetches from one server to another were seen to take, as a multiple of what the table says. */
struct ctr_pair { uint64_t key; struct { double slow; int64_t at; } value; };

/* A claim that is given back, asked again until the part has heard of it. */
struct ctr_release { uint64_t token, seq, asked; uint32_t service, tenant; char *id; int64_t at, until; };

struct ctr_counts {
	uint64_t taken, answered, refused, unknown, sends, resends, pieces, tokens, reused, fetched, cold, claims;
	uint64_t looks, refused_stale, refused_line, refused_limit, refused_early, revoked, blind, gone;
};

struct ctr_use { uint64_t key; struct { uint64_t exchanges, tokens, reused, pieces, errors; } value; };

struct ctr {
	uint64_t id, addr, token, seq, retries;
	const char *zone;
	struct follow f;
	struct relay relay;
	struct kept kept;
	struct names lanes, tenants, services, servers, weights;
	struct book *book;
	apr_pool_t *p;
	struct json_tokener *tok;   /* one for all that is read here, kept between texts */
	struct ctr_server *sv;      /* stb_ds, by server index */
	struct line *line;          /* stb_ds */
	int64_t *stood;             /* stb_ds, by service: when a server of it last stood */
	struct { uint64_t key; struct xch *value; } *by; /* stb_ds: token of a call, claim or caller */
	struct xch **all;           /* stb_ds */
	struct ctr_release *release; /* stb_ds */
	struct ctr_pair *pair;      /* stb_ds: from << 32 | to */
	uint32_t *running;          /* stb_ds: by tenant */
	int64_t budget;             /* resends saved up, per mille */
	struct ctr_counts n;
	struct ctr_use *use;        /* stb_ds: lane << 32 | tenant */
	int stopping;
	int plain;                  /* to compare with: assign by load alone, and reuse what happens to be there */
	void (*log)(void *ctx, const char *prefix, const char *line);
	void *log_ctx;
};

/* Begin. Example: ctr_open(&c, id, addr, "z1", seeds, 3, now); */
void ctr_open(struct ctr *c, uint64_t id, uint64_t addr, const char *zone, const uint64_t *seeds, int n, int64_t now);
void ctr_close(struct ctr *c);

/* One step. Example: ctr_step(&c, &(struct ctr_ev){ .kind = CTR_TICK }, now, &o); */
void ctr_step(struct ctr *c, const struct ctr_ev *ev, int64_t now, struct out *o);

/* Until when what is held here may go on to callers: past it keys may have been removed that still hold here.
 * Example: web_good_until(web, ctr_good_until(&c)); */
int64_t ctr_good_until(const struct ctr *c);

/* Whether nothing is under way. Example: if (stopping && ctr_idle(&c)) leave(); */
int ctr_idle(const struct ctr *c);

/* Usage so far as CSV: lane,tenant,exchanges,tokens,reused,pieces,errors. Example: ctr_usage(&c, pool) */
const char *ctr_usage(const struct ctr *c, apr_pool_t *p);

#endif
