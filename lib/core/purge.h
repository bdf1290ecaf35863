/* purge: the stream of withdrawals, after section 3.1 of the paper named in docs/design.md.
 * know   which ticks are silence or a value, and what is unknown between them
 * view   what the values mean: which kept parts are withdrawn
 * relay  passes knowledge down, curiosity up, and releases what every downstream has taken */
#ifndef NL_PURGE_H
#define NL_PURGE_H

#include "core.h"

enum {
	PURGE_TICK_MS = 200,                /* ms between silence ticks of the publisher */
	PURGE_STALL_MS = 1000,              /* ms without a step of the horizon before curiosity */
	PURGE_CURIOSITY_MS = 250,           /* ms between negative curiosities */
	PURGE_DOWNSTREAM_TIMEOUT_MS = 3000, /* a downstream unheard of for so long is dropped */
	PURGE_MAX_STALENESS_MS = 4500, /* nothing is reused under an older horizon, counted from the asking;
					  less than RETENTION_HEARD */
	PURGE_RESERVED_TICKS = 1000    /* ticks reserved in the log at once */
};

enum { PURGE_WEIGHTS = 1, PURGE_TENANT = 2, PURGE_SERVER = 3, PURGE_CONTEXT = 4 };

/* Context is cleared by slices of its parts' ids, so that not all is read anew at once. */
enum { PURGE_SLICES = 8 };
#define PURGE_SLICE(id) ((uint32_t)((id) % PURGE_SLICES))

struct tick_range {
	uint64_t first, last;
};

struct tick_knowledge {
	uint64_t horizon;                /* the doubt horizon: every tick at or below is known */
	uint64_t released;               /* values at or below are no longer held */
	struct tick_range *known_ranges; /* stb_ds: known ranges above the horizon, apart and in order */
	struct Nl__Value **values;       /* stb_ds: held values in order of tick */
};

/* Learn that [a, b] is known; v, if any, is the value in it and is copied. Returns 1 when any tick was new.
 * Example: know_add(&k, 5, 9, NULL); */
struct Nl__Value *value_copy(const struct Nl__Value *v); /* malloc'd */
void value_free(struct Nl__Value *value);

int knowledge_add(struct tick_knowledge *known, uint64_t first, uint64_t last, const struct Nl__Value *value);

/* The unknown ranges up to the highest known tick, at most n. Example: n = know_gaps(&k, r, 8); */
int knowledge_gaps(const struct tick_knowledge *known, struct tick_range *tick_range, int max_count);

/* The highest known tick. Example: know_reach(&k) */
uint64_t knowledge_reach(const struct tick_knowledge *known);

/* Append what is known of [a, b] to a knowledge message; 0 when it reaches below what is still held.
 * Example: if (!know_tell(&k, 1, 9, msg, o)) send_snapshot(); */
int knowledge_append(const struct tick_knowledge *known, uint64_t first, uint64_t last,
		     struct Nl__Knowledge *knowledge, struct command_list *out);

/* Let values at or below upto go. Example: know_release(&k, 100); */
void knowledge_release(struct tick_knowledge *known, uint64_t upto);
void knowledge_clear(struct tick_knowledge *known);

/* The monotone view: per subject the newest tick that withdrew it. */
struct purge_view_row {
	uint64_t key;
	struct Nl__Value *value;
};
struct purge_view {
	struct purge_view_row *subjects;   /* stb_ds map */
	struct Nl__Value **context_purges; /* stb_ds: of it, the clearings of context */
};

uint64_t purge_subject(const struct Nl__Purge *purge);

/* Take a value in; an older tick of the same subject changes nothing. Example: view_apply(&w, v); */
void purge_view_apply(struct purge_view *view, const struct Nl__Value *value);

/* Whether a part with this stamp is still usable. Example:
 * view_allows(&w, "arrears", "w1", "t3", "s7", stamp) */
int purge_view_allows(const struct purge_view *view, const char *service, const char *weights,
		      const char *tenant, const char *server, uint64_t stamp);

/* Whether a clearing of context withdrew a part that this tenant's exchange made for this service.
 * Example: if (!view_keeps(&w, "arrears", "t1", id, stamp)) read_anew(); */
int purge_view_keeps_context(const struct purge_view *view, const char *service, const char *tenant,
			     uint64_t block_hash, uint64_t stamp);

/* The newest tick that withdrew a subject; 0: none. b only with weights. Example: view_tick(&w,
 * PURGE_WEIGHTS, "arrears", "w1") */
uint64_t purge_view_tick(const struct purge_view *view, uint32_t why, const char *name, const char *weights);
void purge_view_clear(struct purge_view *view);

struct relay_downstream {
	uint64_t id, addr, acknowledged_tick;
	int64_t last_contact_at_ms;
	int cache_feed_started;         /* its owner has begun to tell it what it keeps */
	ptrdiff_t cache_feed_remaining; /* rows of its owner's index that it has yet to be told */
	int64_t request_clock_ms;       /* its own clock when it last asked */
};

struct relay {
	struct tick_knowledge knowledge;
	struct purge_view view;
	struct relay_downstream *downstreams; /* stb_ds */
	uint64_t *upstreams; /* stb_ds: upstream addresses, best first; the last resort is the log */
	size_t upstream_position;
	int curiosity_disabled; /* an experiment: gaps are not asked for */
	int is_publisher;       /* the log itself: learns from commits, never asks */
	int has_knowledge;      /* has knowledge from a holder since it began */
	int64_t horizon_moved_at_ms, requested_at_ms, opened_at_ms, received_at_ms,
	    upstream_tried_at_ms; /* moved: when the horizon last did */
	int64_t known_at_ms; /* up to when all that was decided is known, timed from our asking; never later
				than it was so */
	uint64_t requested_reach;
	void (*on_value)(void *ctx, const struct Nl__Value *v);
	void *context;
	uint64_t increments_sent; /* increments told to downstreams */
};

void relay_open(struct relay *relay, int64_t now);
void relay_close(struct relay *relay);

/* The lanes upstream have changed. Example: relay_up(&r, addrs, n, log_addr, now); */
void relay_set_upstreams(struct relay *relay, const uint64_t *upstreams, size_t count, uint64_t log_addr,
			 int64_t now);

/* The publisher: [a, b] with an optional value is logged; pass it on. Example: relay_publish(&r, a, b, v,
 * now, o); */
void relay_publish(struct relay *relay, uint64_t first, uint64_t last, const struct Nl__Value *value,
		   int64_t now, struct command_list *out);

/* A knowledge, snapshot or curiosity message. Example: relay_msg(&r, m, now, o); */
void relay_receive(struct relay *relay, const struct Nl__Msg *message, int64_t now, struct command_list *out);

/* Let time pass. Example: relay_tick(&r, now, o); */
void relay_tick(struct relay *relay, int64_t now, struct command_list *out);

/* What every live downstream and this node have taken. Example: know_release(&r.k, relay_taken(&r)); */
uint64_t relay_acknowledged_tick(const struct relay *relay);

/* Whether parts may be reused: the horizon has moved lately. Example: if (!relay_current(&r, now))
 * route_cold(); */
int relay_is_current(const struct relay *relay, int64_t now);

#endif
