/* engine_sim: routers of some zones before servers that read prompts, keep parts, load weights and forget.
 * The routers are the real ones; who is head of a zone, the table and the list of servers are given to them,
 * and messages between them, cache events and servers' answers take their time. It counts what
 * policies decide on: first pieces, and shared tokens read again. */
#ifndef NL_ENGINE_SIM_H
#define NL_ENGINE_SIM_H

#include "router_internal.h"

enum { ENGINE_ZONES = 2, ENGINE_ROUTERS = 12, ENGINE_SERVERS = 16, ENGINE_KINDS = 4, ENGINE_CHAIN = 3 };

/* A kind of request: a shared prefix out of so many, an own part, and pieces to put out. */
struct engine_kind {
	int interval_ms; /* between requests of all routers together; 0: none come */
	int prefixes;    /* shared prefixes; 0: the request shares none */
	int hot_percent; /* of the requests, those for the first prefix alone */
	uint32_t shared_tokens, own_tokens, output_pieces;
	int latency_target_ms;
};

struct engine_settings {
	uint64_t seed;
	int prefill_tokens_per_ms;    /* tokens that a server reads in a ms */
	uint32_t capacity_tokens;     /* tokens that a server keeps, what runs included */
	int link_kbps;                /* of a router's own link, as it is told */
	int event_lag_ms, event_loss; /* of cache events; per mille that never come */
	int load_ms;                  /* for which new weights load */
	int loads_under_requests;     /* they load under running requests */
	int max_loads;                /* servers that load together */
	uint32_t mechanisms_off;      /* mechanisms that are off */
	struct engine_kind kind[ENGINE_KINDS];
};

struct engine_counts {
	uint64_t requests, first_pieces, within_target, refused, ended;
	int64_t first_ms; /* sum, from the request to its first piece */
	int *first;       /* stb_ds: each one, in ms */
};

struct engine_sim;

/* Example: w = engine_open(&settings); engine_run(w, 10000); engine_close(w); */
struct engine_sim *engine_open(const struct engine_settings *settings);
void engine_run(struct engine_sim *engines, int64_t ms);
void engine_close(struct engine_sim *engines);

/* Newer weights are named now; servers load them, so many at once. Example: engine_name(w); */
void engine_set_target(struct engine_sim *engines);

/* Whether every server has the newest weights. Example: while (!engine_rolled(w)) engine_run(w, 100); */
int engine_rolled(const struct engine_sim *engines);

/* The head of a zone hears and says nothing from now on, or does again. Example: engine_silence(w, 0, 1); */
void engine_silence_head(struct engine_sim *engines, int zone, int silent);

/* Forget what was counted so far. Example: engine_count_anew(w); */
void engine_reset_counts(struct engine_sim *engines);

const struct engine_counts *engine_counts(const struct engine_sim *engines, int kind);

/* Tokens of shared prefixes that servers read though another one kept them, or they themselves had, under the
 * same weights and lately; all tokens that were read; the most copies of one prefix. Example: again =
 * engine_read_again(w); */
uint64_t engine_prefilled_again(const struct engine_sim *engines);
uint64_t engine_prefilled(const struct engine_sim *engines);

/* The so-manieth of 100 of the times to a first piece. Example: p90 = engine_percentile(w, 0, 90); */
int engine_percentile(const struct engine_sim *engines, int kind, int percent);

/* A router of the simulation. Example: r = engine_router(w, 3); */
struct router *engine_router(struct engine_sim *engines, int i);

#endif
