/* engine_sim: routers of some zones before servers that prefill prompts, cache blocks, load weights and
 * evict. The routers are the real ones; who is head of a zone, the table and the list of servers are given to
 * them, and messages between them, cache events and servers' answers take their time. It counts what routing
 * policies decide on: times to a first piece, and shared tokens that are prefilled though they were cached
 * somewhere. Tests and the ablation call it. Always: one seed gives one run. */
#ifndef NL_ENGINE_SIM_H
#define NL_ENGINE_SIM_H

#include "router_internal.h"

enum { ENGINE_ZONES = 2, ENGINE_ROUTERS = 12, ENGINE_SERVERS = 16, ENGINE_KINDS = 4, ENGINE_CHAIN = 3 };

/* A kind of request: a shared prefix out of so many, blocks of its own, and pieces to put out. */
struct engine_kind {
	int interval_ms; /* between requests of all routers together; 0: none come */
	int prefixes;    /* shared prefixes; 0: the request shares none */
	int hot_percent; /* of the requests, those for the first prefix alone */
	uint32_t shared_tokens;
	uint32_t own_tokens;
	uint32_t output_pieces;
	int latency_target_ms; /* to the first piece */
};

struct engine_settings {
	uint64_t seed;
	int prefill_tokens_per_ms; /* of a server */
	uint32_t capacity_tokens;  /* that a server holds, what runs included */
	int link_kbps;             /* of a router's own link, as it is told */
	int event_lag_ms;          /* of cache events */
	int event_loss;            /* per mille of cache events that never come */
	int load_ms;               /* that new weights take to load */
	int loads_under_requests;  /* 1: they load under running requests */
	int max_loads;             /* servers that load together */
	uint32_t mechanisms_off;   /* bits of enum mechanism */
	struct engine_kind kind[ENGINE_KINDS];
};

/* What became of the requests of one kind. */
struct engine_counts {
	uint64_t requests;
	uint64_t first_pieces;
	uint64_t within_target;
	uint64_t refused;
	uint64_t ended;
	int64_t first_ms; /* sum, from the request to its first piece */
	int *first;       /* stb_ds: each one, in ms */
};

struct engine_sim;

/* A fleet of ENGINE_ROUTERS routers before ENGINE_SERVERS servers, ready for requests; released by
 * engine_close. */
struct engine_sim *engine_open(const struct engine_settings *settings);
void engine_close(struct engine_sim *engines);

/* Let time pass, with requests as the settings say. */
void engine_run(struct engine_sim *engines, int64_t ms);

/* Newer target weights; servers load them, as many at once as the settings allow. */
void engine_set_target(struct engine_sim *engines);

/* Whether every server has the target weights. */
int engine_rolled(const struct engine_sim *engines);

/* The head of a zone neither receives nor sends from now on, or does again. */
void engine_silence_head(struct engine_sim *engines, int zone, int silent);

/* Forget what was counted so far. */
void engine_reset_counts(struct engine_sim *engines);

/* Counts of one kind of request; owned by the simulation. */
const struct engine_counts *engine_counts(const struct engine_sim *engines, int kind);

/* Tokens of shared prefixes that servers prefilled though some server had them cached lately, under the same
 * weights; and all tokens that were prefilled. */
uint64_t engine_prefilled_again(const struct engine_sim *engines);
uint64_t engine_prefilled(const struct engine_sim *engines);

/* A percentile of the times to a first piece, in ms. Example: p90 = engine_percentile(engines, 0, 90); */
int engine_percentile(const struct engine_sim *engines, int kind, int percent);

/* A router of the simulation; owned by it. */
struct router *engine_router(struct engine_sim *engines, int i);

#endif
