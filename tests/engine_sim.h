/* engine_sim: simulates routers of ENGINE_ZONES zones in front of servers that prefill prompts, cache and
 * evict blocks, and load weights. The routers run the product's own code. The simulation supplies the head of
 * each zone, the configuration table and the endpoint list, and delays the messages between routers, the
 * cache events and the servers' answers. It measures what routing policies influence: the times to a first
 * chunk, and the shared prompt tokens that are prefilled although a server has them cached. Invariant: the
 * same seed always gives the same sequence of events. Times are in ms of virtual time. */
#ifndef NL_ENGINE_SIM_H
#define NL_ENGINE_SIM_H

#include "router_internal.h"

enum { ENGINE_ZONES = 2, ENGINE_ROUTERS = 12, ENGINE_SERVERS = 16, ENGINE_KINDS = 4, ENGINE_CHAIN = 3 };

/* A kind of request: its prompt is one of `prefixes` shared prefixes followed by blocks of its own. */
struct engine_kind {
	int interval_ms;        /* mean interval between requests, over all routers; 0: no requests */
	int prefixes;           /* number of shared prefixes; 0: the requests share none */
	int hot_percent;        /* percentage of the requests that always use the first shared prefix */
	uint32_t shared_tokens; /* prompt tokens of a shared prefix */
	uint32_t own_tokens;    /* prompt tokens that the request does not share */
	uint32_t output_chunks; /* chunks of the answer */
	int latency_target_ms;  /* target for the time from the request to its first chunk */
};

struct engine_settings {
	uint64_t seed;
	int prefill_tokens_per_ms; /* prefill rate of a server */
	uint32_t capacity_tokens;  /* cache capacity of a server, running requests included */
	int link_kbps;             /* bandwidth of a router's link, as its settings state it; 0: not stated */
	int event_lag_ms;          /* delay of cache events */
	int event_loss_per_mille;  /* per mille of cache events that are lost */
	int load_ms;               /* duration of loading weights */
	int loads_under_requests;  /* 1: servers load weights while requests are running */
	int max_loads;             /* number of servers that may load weights concurrently */
	uint32_t disabled_mechanisms; /* bit mask of enum mechanism: disabled mechanisms of the routers */
	struct engine_kind kind[ENGINE_KINDS];
};

/* Outcomes of the requests of one kind. */
struct engine_counts {
	uint64_t requests;
	uint64_t first_chunks;
	uint64_t within_target; /* requests whose first chunk came within latency_target_ms */
	uint64_t refused;
	uint64_t ended;             /* requests whose answer was completed */
	int64_t first_chunk_sum_ms; /* sum over all requests of the time to the first chunk */
	int *first_chunk_ms;        /* stb_ds: time to the first chunk of each request, in ms */
};

struct engine_sim;

/* Open a fleet of ENGINE_ROUTERS routers and ENGINE_SERVERS servers that is ready for requests; release it
 * with engine_close. */
struct engine_sim *engine_open(const struct engine_settings *settings);
void engine_close(struct engine_sim *engines);

/* Run for `ms` of virtual time, with requests at the intervals of the settings. */
void engine_run(struct engine_sim *engines, int64_t ms);

/* Set new target weights; at most max_loads servers load them concurrently. */
void engine_set_target(struct engine_sim *engines);

/* Whether every server has the target weights. */
int engine_is_rollout_complete(const struct engine_sim *engines);

/* Stop (silent 1) or resume (silent 0) all message traffic of the head router of a zone. */
void engine_set_head_silent(struct engine_sim *engines, int zone, int silent);

/* Set all counts to 0. */
void engine_reset_counts(struct engine_sim *engines);

/* The counts of one kind of request; the simulation owns them. */
const struct engine_counts *engine_counts(const struct engine_sim *engines, int kind);

/* engine_prefilled_again: tokens of shared prefixes that a server prefilled although the same blocks were
 * used under the same weights a short time earlier. engine_prefilled: all tokens that were prefilled. */
uint64_t engine_prefilled_again(const struct engine_sim *engines);
uint64_t engine_prefilled(const struct engine_sim *engines);

/* A percentile of the times to the first chunk, in ms. Example: p90 = engine_percentile(engines, 0, 90); */
int engine_percentile(const struct engine_sim *engines, int kind, int percent);

/* Router number i; the simulation owns it. */
struct router *engine_router(struct engine_sim *engines, int i);

#endif
