/* sim_forward: the simulator's fleet with forwarded requests, as on the users' platform: clients, the front
 * ends of routers, and listed servers that cache blocks. Rules are checked from outside, by what clients and
 * servers see, under the names of the deployment's rules (CONFIG, TWICE, REFUSED, ORDER, ...); a violation
 * goes into `sim.violation`. Tests call it; it builds on sim.h. */
#ifndef NL_SIM_FORWARD_H
#define NL_SIM_FORWARD_H

#include "sim.h"

enum {
	SIM_FORWARD_ROUTES = 4,
	SIM_FORWARD_TENANTS = 4,
	SIM_FORWARD_KEYS = 8,
	SIM_FORWARD_BLOCKS = 4,  /* of a prompt */
	SIM_FORWARD_EVENTS = 64, /* cache events that a server remembers */
	SIM_FORWARD_STORE = 1000 /* the offload store, where a server's number stands */
};

/* The routes, and what their requests allow: chat is resumable, idem idempotent, once neither; deep lies
 * inside of once's path. */
enum { SIM_FORWARD_CHAT, SIM_FORWARD_ONCE, SIM_FORWARD_IDEM, SIM_FORWARD_DEEP };

/* One version of the configuration, as the checks know it. */
struct sim_forward_config {
	int64_t sent_at;
	int64_t acked_at;                /* INT64_MAX while it is not acknowledged */
	int service[SIM_FORWARD_ROUTES]; /* 0 pool, 1 aux; -1: there is no such route */
	int key[SIM_FORWARD_KEYS];       /* the tenant whose it is; -1: removed */
	int isolated[SIM_FORWARD_TENANTS];
	int split[SIM_FORWARD_ROUTES];        /* half of the route's requests go to the other service */
	int timeout[SIM_FORWARD_ROUTES];      /* ms; 0: none */
	int max_running[SIM_FORWARD_TENANTS]; /* of a tenant at a time, at all routers; 0: no limit */
	int removed[2];                       /* the service has no row; no route leads to it then */
};

/* Target weights of a service's model. */
struct sim_forward_target {
	int service;
	int weights;
	int64_t acked_at;
};

/* A block that a server has cached. */
struct sim_forward_block {
	char cache_namespace[64];
	uint64_t id;
	uint32_t tokens;
	int weights;      /* that made it */
	int tenant;       /* whose request made it */
	uint64_t horizon; /* of the router that had it made */
};

struct sim_forward_cache_event {
	uint64_t number;
	int evicted; /* else cached */
	char cache_namespace[64];
	uint64_t id;
	uint32_t tokens;
	int64_t at; /* when it can be read */
};

/* What one incarnation of a server has beside what the list shows; the offload store is one too. Rates are
 * per mille of requests. */
struct sim_forward_server {
	int is_initialized;
	int running;
	struct sim_forward_block *blocks;       /* stb_ds, least lately used first */
	struct sim_forward_cache_event *events; /* stb_ds, the newest SIM_FORWARD_EVENTS */
	uint64_t next_event;
	uint64_t epoch;
	int refusals;           /* 503, not executed */
	int silences;           /* begun and never answered */
	int extra_piece_ms;     /* more between pieces */
	int errors;             /* 500 */
	int breaks;             /* broken off after some pieces */
	int breaks_before_head; /* broken off before the answer's head */
	int repeated_pieces;    /* a resumed stream repeats some pieces */
	int bare_refusals;      /* 503 that does not say that it was not executed */
	int refusal_delay_ms;   /* before a refusal is answered */
	int queue_ms;           /* that a request waits at it before it begins */
	int keeps;              /* goes on with a request whose connection closes */
	int retains;            /* keeps its blocks over a load */
	int weights_of_blocks;  /* weights under which its blocks were last looked through */
};

/* How a request ended for its client. */
enum { SIM_FORWARD_OPEN = 0, SIM_FORWARD_COMPLETE, SIM_FORWARD_ANSWERED, SIM_FORWARD_CUT, SIM_FORWARD_LOST };

struct sim_forward_request {
	char id[32];
	int route;
	int tenant;
	int key;
	int node; /* the router */
	int attempts;
	int pick; /* which prompt of its route */
	uint64_t incarnation;
	uint64_t token;       /* 0 once it has ended */
	uint64_t first_token; /* the same, also after its end */
	int64_t submitted_at;
	int64_t deadline_at;
	int64_t answered_at;
	int64_t sent_at;
	int arrivals; /* at servers */
	int runs;
	int last_piece; /* that its client has */
	int has_head;
	int total_pieces;
	int outcome;
	int status;
	int retry_ms;
	int promised_not_run; /* its client was told that no server runs it */
	int resends;
	int reached_router;
	int broke; /* a server broke off a send of it */
	uint32_t priority;
};

/* One send of a request, or one watch of a server's cache events. */
struct sim_forward_call {
	uint64_t token;
	uint64_t caller;
	uint64_t incarnation;
	int node;
	int request; /* among the requests; -1: nobody's */
	int watch;   /* it is a watch */
	int server;
	int ended;
	int at_server;
	char name[32]; /* of the server that is meant */
	char cache_namespace[64];
	int tenant;
	int weights;
	int joined; /* it resumes a stream */
	int stream;
	int repeatable;
	int last; /* piece that the client has */
	int from; /* piece behind which it begins */
	int next;
	int breaks_at; /* pieces after which it breaks off; -1: it does not */
	int fate;
	int pieces_shown;
	int64_t not_after_ms;
	int64_t sent_at;
	int64_t wait_until;
	int64_t arrived_at;
	int64_t began_at; /* when its server began to work for it; 0: it has not */
	uint64_t addr;
	uint64_t fetch_addr;   /* to fetch blocks from; 0: none */
	uint64_t offload_addr; /* to leave blocks at; 0: none */
	uint64_t since;
	uint64_t horizon;
	int begun;
	int began_reported;
	int pieces;
	int status;
	int limit_ms;
	int priority;
	int current; /* its router's purge horizon moves */
	int run_weights;
	struct {
		int running;
		int waiting;
		int slots;
	} load;
};

/* A request's arrival at a server, for the retry budget. */
struct sim_forward_arrival {
	int64_t at;
	int is_retry;
	int service;
};

struct sim_forward {
	struct sim sim;
	struct sim_forward_server *servers; /* stb_ds, by number in the list; the offload store is apart */
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
	int64_t key_removed_at[SIM_FORWARD_KEYS]; /* when the removal was acknowledged; 0: not */
	int64_t last_fault_at[SIM_NODES];         /* of each router */
	int64_t last_frozen_at[SIM_NODES];
	int64_t last_contact_at[SIM_NODES]; /* when it last could reach the core */
	int64_t last_core_fault_at;         /* of the core, of the list, of links */
	unsigned core_up;                   /* bits of the controllers that are up and in reach */
	int64_t core_changed_at;            /* when that last changed, or the core had another fault */
	int64_t last_led_at;                /* when the control group last had a leader */
	int64_t incarnation_at[SIM_NODES];
	uint64_t incarnation[SIM_NODES];
	uint64_t rng;
	int controller_count;
	int router_count;
	int server_count;
	int request_interval_ms;     /* between submissions; 0: none come by themselves */
	int limit_ms;                /* of requests */
	int event_lag_ms;            /* of cache events */
	int event_loss;              /* per mille of cache events that never come */
	int planned;                 /* nothing happens but planned work: no request may be lost */
	int64_t stops_at[SIM_NODES]; /* when a router that was told to stop is to end; 0: it was not */
	int grace_ms[SIM_NODES];     /* that it was given for it */
	int prefix_of_tenant;        /* blocks are a tenant's own, not all tenants' */
	int capacity_blocks;         /* of a server */
	uint64_t n_forward;
	uint64_t n_run;
	uint64_t n_complete;
	uint64_t n_cut;
	uint64_t n_refused;
	uint64_t n_promised_not_run;
	uint64_t n_resend;
	uint64_t n_resumed;
	uint64_t n_reused;
	uint64_t n_fetched;
	uint64_t n_offloaded;
	uint64_t n_not_run;
	uint64_t n_wrong_incarnation;
	uint64_t n_cold_namespaces;
	uint64_t n_watches;
	uint64_t n_events;
	uint64_t n_lost;
	uint64_t n_read;
	uint64_t n_late;
	uint64_t n_isolation;
	uint64_t n_checked;
};

/* A bootstrapped fleet with two services of listed servers, routes, tenants and keys, ready for requests;
 * before() may set what it likes first (NULL: nothing). Released by sim_forward_close. */
void sim_forward_open(struct sim_forward *forwarding, uint64_t seed, int controllers, int routers,
		      int servers, void (*before)(struct sim_forward *f));
void sim_forward_close(struct sim_forward *forwarding);

/* Run, with requests every request_interval_ms if that is not 0; 0 when a rule is violated. */
int sim_forward_run(struct sim_forward *forwarding, int64_t ms);

/* A client submits a request to a router; returns its place among the requests. */
int sim_forward_submit(struct sim_forward *forwarding, int node, int route, int key, int pick, int tries);

/* Change the configuration to this; 0 when it was not acknowledged. */
int sim_forward_change(struct sim_forward *forwarding, struct sim_forward_config config);

/* Set target weights of a service's model; 0 when they were not acknowledged. */
int sim_forward_set_target(struct sim_forward *forwarding, int service, int weights);

/* One more server, at the address of server `at` if that is not -1; returns its number. */
int sim_forward_server(struct sim_forward *forwarding, int service, int at);

/* Tell a router to stop; let those end that are idle or whose grace is over, and start them again. */
void sim_forward_stop(struct sim_forward *forwarding, int node, int grace_ms);
void sim_forward_end_stopped(struct sim_forward *forwarding);

/* Check what holds over the whole time: the retry budget, and that every client was answered. 0: a rule is
 * violated. */
int sim_forward_end(struct sim_forward *forwarding);

/* The digest of key k, in buf. */
char *sim_forward_key(int k, char buf[65]);

#endif
