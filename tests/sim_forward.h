/* sim_forward: what stands around counters when exchanges are forwarded: callers, doors that pass pieces on,
 * servers that keep parts. It judges from outside, by what callers and servers see, under the names of the
 * deployment's rules. */
#ifndef NL_SIM_FORWARD_H
#define NL_SIM_FORWARD_H

#include "sim.h"

enum {
	SIM_FORWARD_ROUTES = 4,
	SIM_FORWARD_TENANTS = 4,
	SIM_FORWARD_KEYS = 8,
	SIM_FORWARD_BLOCKS = 4,
	SIM_FORWARD_EVENTS = 64,
	SIM_FORWARD_STORE = 1000
};

/* The lanes, and what their requests allow. The deepest lies inside of "once". */
enum { SIM_FORWARD_CHAT, SIM_FORWARD_ONCE, SIM_FORWARD_IDEM, SIM_FORWARD_DEEP };

/* One version of the configuration, as the judge knows it. */
struct sim_forward_config {
	int64_t sent_at, acked_at;       /* ack: INT64_MAX while it is not acknowledged */
	int service[SIM_FORWARD_ROUTES]; /* 0 pool, 1 aux; -1: the lane is not there */
	int key[SIM_FORWARD_KEYS];       /* whose, two each; -1: taken away */
	int isolated[SIM_FORWARD_TENANTS];
	int split[SIM_FORWARD_ROUTES];        /* half of the lane's requests go to the other service */
	int timeout[SIM_FORWARD_ROUTES];      /* ms; 0: none */
	int max_running[SIM_FORWARD_TENANTS]; /* that a tenant may have at a time, at all counters; 0: no
						 limit */
	int removed[2];                       /* the service has no row; no lane leads to it then */
};

/* Named weights of a service's model. */
struct sim_forward_target {
	int service, weights;
	int64_t acked_at;
};

struct sim_forward_block {
	char cache_namespace[64];
	uint64_t id;
	uint32_t tokens;
	int weights, tenant;
	uint64_t horizon;
};
struct sim_forward_cache_event {
	uint64_t number;
	int evicted;
	char cache_namespace[64];
	uint64_t id;
	uint32_t tokens;
	int64_t at;
};

/* What one life of a server has beside what the list shows; the store is one too. */
struct sim_forward_server {
	int is_initialized, running;
	struct sim_forward_block *blocks;       /* stb_ds, least lately used first */
	struct sim_forward_cache_event *events; /* stb_ds, the newest FW_EVENTS */
	uint64_t next_event, epoch;
	int refusals, silences, extra_piece_ms, errors, breaks, breaks_before_head,
	    repeated_pieces;  /* per mille of requests: 503 not executed; begun and never answered;
ms more between pieces; 500; broken after some pieces; before the head; pieces sent again */
	int bare_refusals;    /* per mille: 503 that does not say that it was not executed */
	int refusal_delay_ms; /* ms for which it holds what it then turns away */
	int queue_ms;         /* ms that a request waits at it before it begins */
	int keeps;            /* goes on with a request whose connection closes */
	int retains;          /* keeps its parts over a load */
	int weights_of_blocks;
};

struct sim_forward_request {
	char id[32];
	int route, tenant, key, node, attempts, pick;
	uint64_t incarnation, token, first_token; /* token: 0 once it has ended */
	int64_t submitted_at, deadline_at, answered_at, sent_at;
	int arrivals, runs, last_piece, has_head, total_pieces, outcome, status, retry_ms, promised_not_run,
	    resends;
	int reached_router, broke; /* its counter has heard of it; a server broke off a send of it */
	uint32_t priority;
};
enum { SIM_FORWARD_OPEN = 0, SIM_FORWARD_COMPLETE, SIM_FORWARD_ANSWERED, SIM_FORWARD_CUT, SIM_FORWARD_LOST };

/* One forward of a request, or one watch. */
struct sim_forward_call {
	uint64_t token, caller, incarnation;
	int node, request, watch, server, ended, at_server;
	char name[32], cache_namespace[64];
	int tenant, weights, joined, stream, repeatable, last, from, next, breaks_at, fate, pieces_shown;
	int64_t not_after_ms, sent_at, wait_until;
	int64_t arrived_at;
	int64_t began_at; /* when its server began to work for it; 0: it has not */
	uint64_t addr, fetch_addr, offload_addr, since, horizon;
	int begun, began_reported, pieces, status, limit_ms, priority, current, run_weights;
	struct {
		int running, waiting, slots;
	} load;
};

struct sim_forward_arrival {
	int64_t at;
	int is_retry, service;
};

struct sim_forward {
	struct sim sim;
	struct sim_forward_server *servers; /* stb_ds, by place in the list; the store is apart */
	struct sim_forward_server offload_store;
	struct sim_forward_config *configs;        /* stb_ds */
	struct sim_forward_target *target_weights; /* stb_ds */
	struct sim_forward_request *requests;      /* stb_ds */
	struct sim_forward_call *calls;            /* stb_ds */
	struct sim_forward_arrival *arrivals;      /* stb_ds */
	struct {
		int64_t at;
		int service;
	} * submitted;                            /* stb_ds */
	int64_t key_removed_at[SIM_FORWARD_KEYS]; /* when the removal of a key was acknowledged; 0: not */
	int64_t last_fault_at[SIM_NODES];         /* last trouble of each counter */
	int64_t last_frozen_at[SIM_NODES];        /* when it was last frozen */
	int64_t last_contact_at[SIM_NODES];       /* when it last could hear the core */
	int64_t last_core_fault_at;               /* last trouble of the core, of the list, of links */
	unsigned core_up;                         /* bits of the controllers that are up and in reach */
	int64_t core_changed_at; /* when that last changed, or the core was in other trouble */
	int64_t last_led_at;     /* when the configuration last had an owner */
	int64_t incarnation_at[SIM_NODES];
	uint64_t incarnation[SIM_NODES];
	uint64_t rng;
	int controller_count, router_count, server_count;
	int request_interval_ms, limit_ms, event_lag_ms,
	    event_loss; /* ms between askings; of requests; of events, per mille that never come */
	int planned;    /* nothing happens but planned work: no request may be lost */
	int64_t stops_at[SIM_NODES]; /* when a counter that was told to stop is to end; 0: it was not */
	int grace_ms[SIM_NODES];     /* ms that it was given for it */
	int prefix_of_tenant;        /* parts are a tenant's own, not all tenants' */
	int capacity_blocks;         /* parts that a server keeps */
	uint64_t n_forward, n_run, n_complete, n_cut, n_refused, n_promised_not_run, n_resend, n_resumed,
	    n_reused, n_fetched, n_offloaded, n_not_run, n_wrong_incarnation, n_cold_namespaces, n_watches,
	    n_events, n_lost, n_read, n_late, n_isolation, n_checked;
};

/* A founded fleet with two services of listed servers, lanes, tenants and keys; ready to be asked.
 * Example: fw_open(&f, 1, 4, 4, 10, NULL); */
void sim_forward_open(struct sim_forward *forwarding, uint64_t seed, int controllers, int routers,
		      int servers, void (*before)(struct sim_forward *f));
void sim_forward_close(struct sim_forward *forwarding);

/* Run, with callers that ask every f->every ms if that is not 0; 0 when a rule was broken. Example:
 * fw_run(&f, 5000); */
int sim_forward_run(struct sim_forward *forwarding, int64_t ms);

/* One caller asks a counter; its place among f->req. Example: i = fw_ask(&f, SIM_REGS, FW_ONCE, 2, 0, 0); */
int sim_forward_submit(struct sim_forward *forwarding, int node, int route, int key, int pick, int tries);

/* Change the configuration: how it then is. 0 when it was not acknowledged. Example: c.key[3] = -1;
 * fw_change(&f, &c); */
int sim_forward_change(struct sim_forward *forwarding, struct sim_forward_config config);

/* Name weights for a service. Example: fw_name(&f, 0, 2); */
int sim_forward_set_target(struct sim_forward *forwarding, int service, int weights);

/* One more server; under an address that is free again, if at is not -1. Example: fw_server(&f, 0, -1); */
int sim_forward_server(struct sim_forward *forwarding, int service, int at);

/* Tell a counter to stop; it ends at the end of its grace, or once it is idle, and is started again
 * (fw_leavers). Example: fw_stop(&f, SIM_REGS, 4000); */
void sim_forward_stop(struct sim_forward *forwarding, int node, int grace_ms);
void sim_forward_end_stopped(struct sim_forward *forwarding);

/* What is judged over the whole time: BUDGET, and that every caller was answered. Example: fw_end(&f); */
int sim_forward_end(struct sim_forward *forwarding);

/* A digest of the key k. */
char *sim_forward_key(int k, char buf[65]);

#endif
