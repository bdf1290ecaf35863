/* giver: orders to servers: named weights are rolled out, kept parts that a purge covers are dropped. */
#ifndef NL_GIVER_H
#define NL_GIVER_H

#include "core.h"

struct reg;
struct reg_server;

enum {
	GIVER_LOOK = 200,       /* ms between looks at a server that should soon have loaded */
	GIVER_PLAN = 90,        /* per cent of the bound in which all is planned to be done */
	GIVER_DATED = 700,      /* ms after which a server's report cannot be older than what it was told */
	GIVER_SILENT = 1000,    /* ms after which an order or a look has got no answer */
	GIVER_LAST = 95,        /* per cent of the bound after which all that are left are told */
	GIVER_REFUSED = 2000,   /* ms before one that refuses an order gets another */
	GIVER_MEANT_FOR = 1000, /* ms after an order was logged in which it may leave */
	GIVER_MARGIN = 100,     /* ms before the licence's end after which no order leaves */
	GIVER_AFTER = 300       /* ms beyond the lease for the last giver's orders to have ended */
};

/* A sighted server that is told, or looked at, until it has what is named. */
struct giver_server {
	char *name, *weights; /* weights: what it was told to load */
	enum { GIVER_IDLE, GIVER_MEANT, GIVER_ASKED, GIVER_UNSURE, GIVER_LOADING } is;
	uint64_t token, look; /* of what is under way */
	int64_t told, looked, again;
	int beside; /* how many were under way at the most meanwhile, itself counted */
};

/* A model's roll-out: since when the newest weights are named; how many load at once, at first and now; how long a load
 * takes then, and with more at once; whether more were too many. */
struct giver_model {
	char *key;
	struct {
		char *weights;
		int64_t since, rolled, begun;
		int base, room, base_ms, more_ms, more, many;
	} value;
};

struct giver {
	struct giver_server *v; /* stb_ds */
	struct giver_model *m;  /* stb_ds */
	uint64_t term, seq;     /* of the office; orders given in it */
	struct giver_meant {
		char *key;
		int64_t value;
	} * meant;                         /* stb_ds: when orders to a server that were logged were applied here */
	int64_t blind;                     /* what was logged before is not known here */
	int64_t begun, wait;               /* of the office; how long what a giver before told must be over */
	int barred;                        /* a server has seen a higher fence */
	uint64_t done_stamp, done_edition; /* of what was seen and named when nothing was left to do */
};

/* Look at servers, and order what is due. Example: giver_tick(r, now, o); */
void giver_tick(struct reg *r, int64_t now, struct out *o);

/* The followed table has changed; before: when the last good asking was that did not say so.
 * Example: giver_named(r, before); */
void giver_named(struct reg *r, int64_t before);

/* A server's report. Example: giver_report(r, &r->server[i], body, now, o); */
void giver_report(struct reg *r, struct reg_server *s, const char *body, int64_t now, struct out *o);

/* The office that sees begins; what the one before left under way is looked at. Example: giver_begins(r, now); */
void giver_begins(struct reg *r, int64_t now);

/* Roll named weights out to the servers seen. Example: giver_sighted(r, now, o); */
void giver_sighted(struct reg *r, int64_t now, struct out *o);

/* Answers to an order and to a look. Example: giver_ordered(r, token, 202, 0, now, o); */
void giver_ordered(struct reg *r, uint64_t token, int status, int never, int64_t now, struct out *o);
void giver_looked(struct reg *r, uint64_t token, int status, const char *weights, int loading, int64_t now);

/* An order to a server that was logged is applied: from now on it may leave. Example: giver_meant(r, "i-7", now); */
void giver_meant(struct reg *r, const char *server, int64_t now);

void giver_open(struct giver *g, int64_t now);
void giver_close(struct giver *g);

#endif
