/* rollout: orders to servers: named weights are rolled out, kept parts that a purge covers are dropped. */
#ifndef NL_GIVER_H
#define NL_GIVER_H

#include "core.h"

struct controller;
struct controller_server;

enum {
	ROLLOUT_LOOK = 200,       /* ms between looks at a server that should soon have loaded */
	ROLLOUT_PLAN = 90,        /* per cent of the bound in which all is planned to be done */
	ROLLOUT_DATED = 700,      /* ms after which a server's report cannot be older than what it was told */
	ROLLOUT_SILENT = 1000,    /* ms after which an order or a look has got no answer */
	ROLLOUT_LAST = 95,        /* per cent of the bound after which all that are left are told */
	ROLLOUT_REFUSED = 2000,   /* ms before one that refuses an order gets another */
	ROLLOUT_STALLED = 4,      /* a server that loads for this part of the bound, a quarter, counts as stalled */
	ROLLOUT_MEANT_FOR = 1000, /* ms after an order was logged in which it may leave */
	ROLLOUT_MARGIN = 100,     /* ms before the lease's end after which no order leaves */
	ROLLOUT_AFTER = 300       /* ms beyond the lease for the last rollout's orders to have ended */
};

/* A seen server that is told, or looked at, until it has what is named. */
struct rollout_server {
	char *name, *weights; /* weights: what it was told to load */
	enum { ROLLOUT_IDLE, ROLLOUT_MEANT, ROLLOUT_ASKED, ROLLOUT_UNSURE, ROLLOUT_LOADING } is;
	uint64_t token, look; /* of what is under way */
	int64_t told, looked, again;
	int beside; /* how many were under way at the most meanwhile, itself counted */
};

/* A model's roll-out: when its end was logged last; since when servers load without a pause; how many load at once, at first and
 * now; how long a load takes then, and with more at once; whether more were too many. */
struct rollout_model {
	char *key;
	struct {
		int64_t rolled, begun;
		int base, room, base_ms, more_ms, more, many;
	} value;
};

struct rollout {
	struct rollout_server *v; /* stb_ds */
	struct rollout_model *m;  /* stb_ds */
	uint64_t term, seq;       /* of the office; orders given in it */
	struct rollout_order_logged {
		char *key;
		int64_t value;
	} * meant;                         /* stb_ds: when orders to a server that were logged were applied here */
	int64_t blind;                     /* what was logged before is not known here */
	int64_t begun, wait;               /* of the office; how long what a rollout before told must be over */
	int barred;                        /* a server has seen a higher fence */
	uint64_t done_stamp, done_edition; /* of what was seen and named when nothing was left to do */
};

/* Look at servers, and order what is due. Example: rollout_tick(r, now, o); */
void rollout_tick(struct controller *r, int64_t now, struct out *o);

/* The followed table has changed; before: when the last good asking was that did not say so.
 * Example: rollout_on_versions(r, before); */
void rollout_on_versions(struct controller *r, int64_t before);

/* A server's report. Example: rollout_report(r, &r->server[i], body, now, o); */
void rollout_report(struct controller *r, struct controller_server *s, const char *body, int64_t now, struct out *o);

/* The office that sees begins; what the one before left under way is looked at. Example: rollout_start(r, now); */
void rollout_start(struct controller *r, int64_t now);

/* Roll named weights out to the servers seen. Example: rollout_instances(r, now, o); */
void rollout_instances(struct controller *r, int64_t now, struct out *o);

/* Answers to an order and to a look. Example: rollout_on_ordered(r, token, 202, 0, now, o); */
void rollout_on_ordered(struct controller *r, uint64_t token, int status, int never, int64_t now, struct out *o);
void rollout_on_look(struct controller *r, uint64_t token, int status, const char *weights, int loading, int64_t now);

/* An order to a server that was logged is applied: from now on it may leave. Example: rollout_order_logged(r, "i-7", now); */
void rollout_order_logged(struct controller *r, const char *server, int64_t now);

void rollout_open(struct rollout *g, int64_t now);
void rollout_close(struct rollout *g);

#endif
