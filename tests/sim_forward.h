/* sim_forward: extends the simulated fleet of sim.h with forwarded requests, as on the users' platform:
 * clients, the front ends of routers, and servers of the endpoint list that cache blocks. The rules of the
 * deployment (CONFIG, TWICE, REFUSED, ORDER, ...) are checked from the outside, by what clients and servers
 * observe. The text of the first violation is stored in `sim.violation` and begins with the rule's name.
 * Times are in ms of virtual time unless a field names another unit. */
#ifndef NL_SIM_FORWARD_H
#define NL_SIM_FORWARD_H

#include "sim.h"

enum {
	SIM_FORWARD_ROUTES = 4,
	SIM_FORWARD_TENANTS = 4,
	SIM_FORWARD_KEYS = 8,
	SIM_FORWARD_BLOCKS = 4,  /* blocks of a prompt */
	SIM_FORWARD_EVENTS = 64, /* newest cache events that a server retains */
	SIM_FORWARD_STORE = 1000 /* used as a server number: the offload store */
};

/* The routes. Requests of the chat route are resumable, those of idem are idempotent, those of once are
 * neither; the path of deep is below the path of once. */
enum { SIM_FORWARD_CHAT, SIM_FORWARD_ONCE, SIM_FORWARD_IDEM, SIM_FORWARD_DEEP };

/* One version of the configuration, as the test sent it; the checks compare the fleet's behaviour with it. */
struct sim_forward_config {
	int64_t sent_at;
	int64_t acked_at;                /* INT64_MAX until it is acknowledged */
	int service[SIM_FORWARD_ROUTES]; /* by route: 0: service pool, 1: service aux, -1: the route is absent
					  */
	int key[SIM_FORWARD_KEYS];       /* by API key: the tenant that owns it; -1: the key is removed */
	int isolated[SIM_FORWARD_TENANTS];
	int split[SIM_FORWARD_ROUTES];        /* 1: half of the route's requests go to the other service */
	int timeout[SIM_FORWARD_ROUTES];      /* ms; 0: none */
	int max_running[SIM_FORWARD_TENANTS]; /* a tenant's limit of running requests in the fleet; 0: none */
	int removed[2];                       /* 1: the service has no row, and no route leads to it */
};

/* One change of the target weights of a service's model. */
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
	int weights;      /* weights under which it was computed */
	int tenant;       /* tenant whose request created it */
	uint64_t horizon; /* purge horizon of the router whose request created it */
};

struct sim_forward_cache_event {
	uint64_t number;
	int evicted; /* 1: the block was evicted, 0: it was cached */
	char cache_namespace[64];
	uint64_t id;
	uint32_t tokens;
	int64_t at; /* virtual time in ms from which the event can be read */
};

/* The state of one incarnation of a server, in addition to its struct sim_instance, and its faults; also used
 * for the offload store. Fault rates are per mille of requests. */
struct sim_forward_server {
	int is_initialized;
	int running;
	struct sim_forward_block *blocks;       /* stb_ds, least recently used first */
	struct sim_forward_cache_event *events; /* stb_ds, the newest SIM_FORWARD_EVENTS cache events */
	uint64_t next_event;
	uint64_t epoch;
	int refusal_per_mille;       /* rate: answers 503 with the mark that the request was not executed */
	int no_answer_per_mille;     /* rate: begins a request and never answers it */
	int extra_chunk_interval_ms; /* added to the interval between two chunks */
	int error_per_mille;         /* rate: answers 500 */
	int break_per_mille;         /* rate: breaks off the answer after one or more chunks */
	int break_before_head_per_mille; /* rate: closes the connection before the response headers */
	int repeated_chunk_per_mille;    /* rate: a resumed stream repeats up to two chunks */
	int unmarked_refusal_per_mille;  /* rate: answers 503 without the mark that the request was not
					    executed */
	int refusal_delay_ms;            /* delay before a refusal is answered */
	int queue_ms;              /* time that a request waits in the server's queue before it begins */
	int runs_after_disconnect; /* 1: continues a request whose connection was closed */
	int retains_blocks;        /* 1: retains its cached blocks when it loads weights */
	int weights_of_blocks;     /* weights at the last check for blocks to drop after a load */
};

/* Outcome of a request as its client saw it. */
enum { SIM_FORWARD_OPEN = 0, SIM_FORWARD_COMPLETE, SIM_FORWARD_ANSWERED, SIM_FORWARD_CUT, SIM_FORWARD_LOST };

struct sim_forward_request {
	char id[32];
	int route;
	int tenant;
	int key;
	int node; /* number of the router's node */
	int attempts;
	int prompt_index;     /* selects one of the prompts of its route */
	uint64_t incarnation; /* incarnation of the router */
	uint64_t token;       /* identifies the request at its router; 0 after its end */
	uint64_t first_token; /* the value of token, kept after the request's end */
	int64_t submitted_at;
	int64_t deadline_at;
	int64_t answered_at;
	int64_t sent_at;
	int arrivals;   /* sends that reached a server */
	int runs;       /* executions that began at a server */
	int last_chunk; /* number of the last chunk that its client has received */
	int has_head;
	int chunk_count;
	int outcome;
	int status;
	int retry_ms;
	int promised_not_run; /* 1: the client's answer states that no server has executed the request */
	int resends;
	int reached_router;
	int has_broken_send; /* 1: a server broke off one of its sends */
	uint32_t priority;
};

/* One send of a request to a server, or one long poll (watch) of a server's cache events. */
struct sim_forward_call {
	uint64_t token;
	uint64_t caller;
	uint64_t incarnation;
	int node;
	int request;  /* index in `requests`; -1: it belongs to no request */
	int is_watch; /* 1: a watch of cache events, 0: a send of a request */
	int server;
	int ended;
	int at_server;
	char name[32]; /* name of the server to which the router addressed it */
	char cache_namespace[64];
	int tenant;
	int weights;
	int joined; /* 1: the client already has the response headers; the send resumes its stream */
	int stream;
	int repeatable;
	int last_chunk;         /* number of the last chunk that the client has received */
	int resume_after_chunk; /* number of the chunk after which this send's answer begins */
	int next_chunk;
	int breaks_at; /* number of chunks after which the server breaks off; -1: it does not */
	int fate;
	int sent_chunk_count; /* chunks that the server has sent for it */
	int64_t not_after_ms;
	int64_t sent_at;
	int64_t wait_until;
	int64_t arrived_at;
	int64_t
	    began_at; /* virtual time in ms at which its server began to execute it; 0: it has not begun */
	uint64_t addr;
	uint64_t fetch_addr;   /* server to fetch cached blocks from; 0: none */
	uint64_t offload_addr; /* store to write blocks to; 0: none */
	uint64_t since;
	uint64_t horizon;
	int begun;
	int began_reported;
	int pieces;
	int status;
	int limit_ms;
	int priority;
	int is_horizon_current; /* 1: when it was sent, its router's purge horizon was still advancing */
	int run_weights;
	struct {
		int running;
		int waiting;
		int slots;
	} load;
};

/* A request's arrival at a server; used to check the retry budget. */
struct sim_forward_arrival {
	int64_t at;
	int is_retry;
	int service;
};

struct sim_forward {
	struct sim sim;
	struct sim_forward_server *servers; /* stb_ds, by number in the endpoint list; without the store */
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
	int64_t key_removed_at[SIM_FORWARD_KEYS]; /* time of the removal's acknowledgement; 0: not removed */
	int64_t last_fault_at[SIM_NODES];         /* time of the newest fault of each router */
	int64_t last_frozen_at[SIM_NODES];
	int64_t
	    last_contact_at[SIM_NODES]; /* time at which each router could last reach the control leader */
	int64_t last_core_fault_at;     /* newest fault of a controller, the endpoint list or the links */
	unsigned core_up;               /* bit mask of the controllers that are up and reachable */
	int64_t core_changed_at;        /* last change of core_up, or last fault of the list or the links */
	int64_t last_led_at;            /* last time at which the control group had a leader */
	int64_t incarnation_at[SIM_NODES];
	uint64_t incarnation[SIM_NODES];
	uint64_t rng;
	int controller_count;
	int router_count;
	int server_count;
	int request_interval_ms;     /* between two submissions; 0: only the test submits requests */
	int request_timeout_ms;      /* time limit of each request */
	int event_lag_ms;            /* delay of cache events */
	int event_loss_per_mille;    /* per mille of cache events that are lost */
	int is_planned_work_only;    /* 1: the test does planned work only, so that no request may be lost */
	int64_t stops_at[SIM_NODES]; /* time at which a stopping router has to end; 0: it is not stopping */
	int grace_ms[SIM_NODES];     /* grace period of each stopping router */
	int has_tenant_prefixes;     /* 1: tenants' prompts share no blocks; 0: all tenants' prompts do */
	int capacity_blocks;         /* capacity of a server's cache */
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

/* Open a bootstrapped fleet with routes, tenants, keys and two services, whose servers are in the endpoint
 * list; the fleet is ready for requests. before() may change settings before the fleet starts (NULL: none).
 * Release with sim_forward_close. */
void sim_forward_open(struct sim_forward *forwarding, uint64_t seed, int controllers, int routers,
		      int servers, void (*before)(struct sim_forward *f));
void sim_forward_close(struct sim_forward *forwarding);

/* Run for `ms` of virtual time; submits a request every request_interval_ms if that is not 0. Returns 0 if a
 * rule is violated. */
int sim_forward_run(struct sim_forward *forwarding, int64_t ms);

/* Submit a client's request to a router; returns the request's index in `requests`. */
int sim_forward_submit(struct sim_forward *forwarding, int node, int route, int key, int pick, int tries);

/* Replace the configuration with `config`; 0 if it was not acknowledged. */
int sim_forward_change(struct sim_forward *forwarding, struct sim_forward_config config);

/* Set the target weights of a service's model; 0 if they were not acknowledged. */
int sim_forward_set_target(struct sim_forward *forwarding, int service, int weights);

/* Add a server to the endpoint list, at the address of server number `at` unless that is -1; returns the new
 * server's number. */
int sim_forward_server(struct sim_forward *forwarding, int service, int at);

/* sim_forward_stop requests a planned stop of a router within grace_ms. sim_forward_end_stopped ends the
 * stopping routers that are idle or whose grace period has expired, and restarts them. */
void sim_forward_stop(struct sim_forward *forwarding, int node, int grace_ms);
void sim_forward_end_stopped(struct sim_forward *forwarding);

/* Check the rules about the complete simulation: the retry budget was kept, and every client was answered.
 * Returns 0 if a rule is violated. */
int sim_forward_end(struct sim_forward *forwarding);

/* Write the digest of API key k to buf, and return buf. */
char *sim_forward_key(int k, char buf[65]);

#endif
