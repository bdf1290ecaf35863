/* sim_forward: what stands around counters when exchanges are forwarded: callers, doors that pass pieces on, servers that
 * keep parts. It judges from outside, by what callers and servers see, under the names of the deployment's rules. */
#ifndef NL_SIM_FORWARD_H
#define NL_SIM_FORWARD_H

#include "sim.h"

enum { FW_LANES = 4, FW_TENANTS = 4, FW_KEYS = 8, FW_PARTS = 4, FW_EVENTS = 64, FW_STORE = 1000 };

/* The lanes, and what their requests allow. The deepest lies inside of "once". */
enum { FW_CHAT, FW_ONCE, FW_IDEM, FW_DEEP };

/* One version of the configuration, as the judge knows it. */
struct fw_conf {
	int64_t sent, ack;     /* ack: INT64_MAX while it is not acknowledged */
	int service[FW_LANES]; /* 0 pool, 1 aux; -1: the lane is not there */
	int key[FW_KEYS];      /* whose, two each; -1: taken away */
	int walled[FW_TENANTS];
	int split[FW_LANES];    /* half of the lane's requests go to the other service */
	int timeout[FW_LANES];  /* ms; 0: none */
	int places[FW_TENANTS]; /* that a tenant may have at a time, at all counters; 0: no limit */
	int gone[2];            /* the service has no row; no lane leads to it then */
};

/* Named weights of a service's model. */
struct fw_named {
	int service, weights;
	int64_t ack;
};

struct fw_part {
	char cache_namespace[64];
	uint64_t id;
	uint32_t tokens;
	int weights, tenant;
	uint64_t horizon;
};
struct fw_event {
	uint64_t no;
	int gone;
	char cache_namespace[64];
	uint64_t id;
	uint32_t tokens;
	int64_t at;
};

/* What one life of a server has beside what the list shows; the store is one too. */
struct fw_server {
	int made, running;
	struct fw_part *part; /* stb_ds, least lately used first */
	struct fw_event *ev;  /* stb_ds, the newest FW_EVENTS */
	uint64_t next, epoch;
	int refuse, silent, slow, hard, breaks, head, surplus; /* per mille of requests: 503 not executed; begun and never answered;
	                              ms more between pieces; 500; broken after some pieces; before the head; pieces sent again */
	int bare;                                              /* per mille: 503 that does not say that it was not executed */
	int hold;                                              /* ms for which it holds what it then turns away */
	int queue_ms;                                          /* ms that a request waits at it before it begins */
	int keeps;                                             /* goes on with a request whose connection closes */
	int retains;                                           /* keeps its parts over a load */
	int watched;
};

struct fw_req {
	char id[32];
	int lane, tenant, key, node, tries, pick;
	uint64_t life, token, asked_as; /* token: 0 once it has ended */
	int64_t asked, limit, told_at, sent;
	int arrivals, runs, last, head, total, told, status, retry_ms, promised, resends;
	int read, broke; /* its counter has heard of it; a server broke off a send of it */
	uint32_t prio;
};
enum { FW_OPEN = 0, FW_WHOLE, FW_ANSWERED, FW_CUT, FW_LOST };

/* One forward of a request, or one watch. */
struct fw_call {
	uint64_t token, caller, life;
	int node, req, watch, server, over, at_server;
	char name[32], cache_namespace[64];
	int tenant, weights, joined, stream, repeatable, last, from, next, die, fate, shown;
	int64_t not_after, sent_at, wait_until;
	int64_t arrived_at;
	int64_t began_at; /* when its server began to work for it; 0: it has not */
	uint64_t addr, fetch, sink, since, horizon;
	int begun, told, pieces, status, limit_ms, prio, current, run_weights;
	struct {
		int running, waiting, slots;
	} load;
};

struct fw_arrival {
	int64_t at;
	int again, service;
};

struct fw {
	struct sim s;
	struct fw_server *v; /* stb_ds, by place in the list; the store is apart */
	struct fw_server store;
	struct fw_conf *conf;       /* stb_ds */
	struct fw_named *named;     /* stb_ds */
	struct fw_req *req;         /* stb_ds */
	struct fw_call *call;       /* stb_ds */
	struct fw_arrival *arrival; /* stb_ds */
	struct {
		int64_t at;
		int service;
	} * asked;                  /* stb_ds */
	int64_t removed[FW_KEYS];   /* when the removal of a key was acknowledged; 0: not */
	int64_t trouble[SIM_NODES]; /* last trouble of each counter */
	int64_t frozen[SIM_NODES];  /* when it was last frozen */
	int64_t contact[SIM_NODES]; /* when it last could hear the core */
	int64_t unsettled;          /* last trouble of the core, of the list, of links */
	unsigned core_up;           /* bits of the controllers that are up and in reach */
	int64_t core_changed;       /* when that last changed, or the core was in other trouble */
	int64_t owned;              /* when the configuration last had an owner */
	int64_t life_at[SIM_NODES];
	uint64_t life[SIM_NODES];
	uint64_t dice;
	int regs, ctrs, servers;
	int every, limit_ms, lag, lossy; /* ms between askings; of requests; of events, per mille that never come */
	int planned;                     /* nothing happens but planned work: no request may be lost */
	int64_t leaving[SIM_NODES];      /* when a counter that was told to stop is to end; 0: it was not */
	int grace[SIM_NODES];            /* ms that it was given for it */
	int prefix_of_tenant;            /* parts are a tenant's own, not all tenants' */
	int room;                        /* parts that a server keeps */
	uint64_t n_forward, n_run, n_whole, n_cut, n_refused, n_promised, n_resend, n_taken_up, n_reused, n_fetched, n_sunk,
	    n_never, n_wrong, n_cold, n_watch, n_events, n_lost, n_read, n_late, n_wall, n_judged;
};

/* A founded fleet with two services of listed servers, lanes, tenants and keys; ready to be asked.
 * Example: fw_open(&f, 1, 4, 4, 10, NULL); */
void fw_open(struct fw *f, uint64_t seed, int regs, int ctrs, int servers, void (*before)(struct fw *f));
void fw_close(struct fw *f);

/* Run, with callers that ask every f->every ms if that is not 0; 0 when a rule was broken. Example: fw_run(&f, 5000); */
int fw_run(struct fw *f, int64_t ms);

/* One caller asks a counter; its place among f->req. Example: i = fw_ask(&f, SIM_REGS, FW_ONCE, 2, 0, 0); */
int fw_ask(struct fw *f, int node, int lane, int key, int pick, int tries);

/* Change the configuration: how it then is. 0 when it was not acknowledged. Example: c.key[3] = -1; fw_change(&f, &c); */
int fw_change(struct fw *f, struct fw_conf c);

/* Name weights for a service. Example: fw_name(&f, 0, 2); */
int fw_name(struct fw *f, int service, int weights);

/* One more server; under an address that is free again, if at is not -1. Example: fw_server(&f, 0, -1); */
int fw_server(struct fw *f, int service, int at);

/* Tell a counter to stop; it ends at the end of its grace, or once it is idle, and is started again (fw_leavers).
 * Example: fw_stop(&f, SIM_REGS, 4000); */
void fw_stop(struct fw *f, int node, int grace_ms);
void fw_leavers(struct fw *f);

/* What is judged over the whole time: BUDGET, and that every caller was answered. Example: fw_end(&f); */
int fw_end(struct fw *f);

/* A digest of the key k. */
char *fw_key(int k, char buf[65]);

#endif
