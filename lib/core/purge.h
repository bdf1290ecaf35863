/* purge: the stream of withdrawals, after section 3.1 of the paper named in docs/design.md.
 * know   which ticks are silence or a value, and what is unknown between them
 * view   what the values mean: which kept parts are withdrawn
 * relay  passes knowledge down, curiosity up, and releases what every downstream has taken */
#ifndef NL_PURGE_H
#define NL_PURGE_H

#include "core.h"

enum {
	PURGE_TICK = 200,   /* ms between silence ticks of the publisher */
	PURGE_STALL = 1000, /* ms without a step of the horizon before curiosity */
	PURGE_ACK = 250,    /* ms between negative curiosities */
	PURGE_DOWN = 3000,  /* a downstream unheard of for so long is dropped */
	PURGE_STALE = 4500, /* nothing is reused under an older horizon, counted from the asking; less than RETENTION_HEARD */
	PURGE_CHUNK = 1000  /* ticks reserved in the log at once */
};

enum { PURGE_WEIGHTS = 1, PURGE_TENANT = 2, PURGE_SERVER = 3, PURGE_CONTEXT = 4 };

/* Context is cleared by slices of its parts' ids, so that not all is read anew at once. */
enum { PURGE_SLICES = 8 };
#define PURGE_SLICE(id) ((uint32_t)((id) % PURGE_SLICES))

struct tick_range {
	uint64_t a, b;
};

struct know {
	uint64_t horizon;         /* the doubt horizon: every tick at or below is known */
	uint64_t released;        /* values at or below are no longer held */
	struct tick_range *ahead; /* stb_ds: known ranges above the horizon, apart and in order */
	struct Nl__Value **v;     /* stb_ds: held values in order of tick */
};

/* Learn that [a, b] is known; v, if any, is the value in it and is copied. Returns 1 when any tick was new.
 * Example: know_add(&k, 5, 9, NULL); */
struct Nl__Value *value_copy(const struct Nl__Value *v); /* malloc'd */
void value_free(struct Nl__Value *v);

int know_add(struct know *k, uint64_t a, uint64_t b, const struct Nl__Value *v);

/* The unknown ranges up to the highest known tick, at most n. Example: n = know_gaps(&k, r, 8); */
int know_gaps(const struct know *k, struct tick_range *r, int n);

/* The highest known tick. Example: know_reach(&k) */
uint64_t know_reach(const struct know *k);

/* Append what is known of [a, b] to a knowledge message; 0 when it reaches below what is still held.
 * Example: if (!know_tell(&k, 1, 9, msg, o)) send_snapshot(); */
int know_tell(const struct know *k, uint64_t a, uint64_t b, struct Nl__Knowledge *m, struct out *o);

/* Let values at or below upto go. Example: know_release(&k, 100); */
void know_release(struct know *k, uint64_t upto);
void know_clear(struct know *k);

/* The monotone view: per subject the newest tick that withdrew it. */
struct view_row {
	uint64_t key;
	struct Nl__Value *value;
};
struct view {
	struct view_row *h;       /* stb_ds map */
	struct Nl__Value **clear; /* stb_ds: of it, the clearings of context */
};

uint64_t view_subject(const struct Nl__Purge *p);

/* Take a value in; an older tick of the same subject changes nothing. Example: view_apply(&w, v); */
void view_apply(struct view *w, const struct Nl__Value *v);

/* Whether a part with this stamp is still usable. Example:
 * view_allows(&w, "arrears", "w1", "t3", "s7", stamp) */
int view_allows(const struct view *w, const char *service, const char *weights, const char *maker, const char *server,
		uint64_t stamp);

/* Whether a clearing of context withdrew a part that this tenant's exchange made for this service.
 * Example: if (!view_keeps(&w, "arrears", "t1", id, stamp)) read_anew(); */
int view_keeps(const struct view *w, const char *service, const char *maker, uint64_t id, uint64_t stamp);

/* The newest tick that withdrew a subject; 0: none. b only with weights. Example: view_tick(&w, PURGE_WEIGHTS, "arrears", "w1") */
uint64_t view_tick(const struct view *w, uint32_t why, const char *a, const char *b);
void view_clear(struct view *w);

struct relay_down {
	uint64_t id, addr, taken;
	int64_t heard;
	int briefed;      /* its owner has begun to tell it what it keeps */
	ptrdiff_t untold; /* rows of its owner's index that it has yet to be told */
	int64_t asked;    /* its own clock when it last asked */
};

struct relay {
	struct know k;
	struct view w;
	struct relay_down *down; /* stb_ds */
	uint64_t *up;            /* stb_ds: upstream addresses, best first; the last resort is the log */
	size_t up_at;
	int incurious;                               /* an experiment: gaps are not asked for */
	int publisher;                               /* the log itself: learns from commits, never asks */
	int fresh;                                   /* has knowledge from a holder since it began */
	int64_t moved, asked, born, heard, up_tried; /* moved: when the horizon last did */
	int64_t known_at; /* up to when all that was decided is known, timed from our asking; never later than it was so */
	uint64_t asked_reach;
	void (*on_value)(void *ctx, const struct Nl__Value *v);
	void *ctx;
	uint64_t n_inc; /* increments told to downstreams */
};

void relay_open(struct relay *r, int64_t now);
void relay_close(struct relay *r);

/* The lanes upstream have changed. Example: relay_up(&r, addrs, n, log_addr, now); */
void relay_up(struct relay *r, const uint64_t *up, size_t n, uint64_t log, int64_t now);

/* The publisher: [a, b] with an optional value is logged; pass it on. Example: relay_publish(&r, a, b, v, now, o); */
void relay_publish(struct relay *r, uint64_t a, uint64_t b, const struct Nl__Value *v, int64_t now, struct out *o);

/* A knowledge, snapshot or curiosity message. Example: relay_msg(&r, m, now, o); */
void relay_msg(struct relay *r, const struct Nl__Msg *m, int64_t now, struct out *o);

/* Let time pass. Example: relay_tick(&r, now, o); */
void relay_tick(struct relay *r, int64_t now, struct out *o);

/* What every live downstream and this node have taken. Example: know_release(&r.k, relay_taken(&r)); */
uint64_t relay_taken(const struct relay *r);

/* Whether parts may be reused: the horizon has moved lately. Example: if (!relay_current(&r, now)) route_cold(); */
int relay_current(const struct relay *r, int64_t now);

#endif
