/* What the files of the judge share: its records, what its rules ask of them, and the rules themselves. Records are kept
 * in the order in which they were seen; the rules only read them and add breaches. */
#ifndef STAND_JUDGE_PRIVATE_H
#define STAND_JUDGE_PRIVATE_H

#include "stand.h"

struct used {
	int version, tenant;
};
struct arrival {
	int64_t t, begun, ended;
	char *id, *method, *host, *path, *tenant, *service, *instance;
	uint64_t body, ran_body;
	int server, turned, last_event, version, how, status, last, try, ran;
	struct used *used;
};
struct attempt {
	int64_t t, told_at;
	char *id, *subject, *method, *host, *path, *key, *seal_id;
	uint64_t body, told_body;
	int edge, probe, stream, last_event, cls, is_told, status, seal, own, events;
	int read; /* the machine's process had read the whole request */
	int64_t deadline;
	enum try_kind kind;
	enum told how;
	struct event_rec *event;
	int *run; /* arrivals */
};
struct kept_cfg {
	struct cfg *c;
	int64_t base, version, sent, acked, refused;
	int invalid;
};
struct machine_ev {
	int64_t t;
	int machine, core, up;
	enum trouble tr;
};
/* A SIGHUP to the process of a machine. */
struct reload_ev {
	int64_t t;
	int machine;
};
struct shown_ev {
	int64_t t;
	char *instance;
	enum shown s;
};
struct order_ev {
	int64_t t, fence;
	char *instance, *holder;
	int status, thawed;
};
struct named_ev {
	int64_t t;
	int version, acked;
};
struct read_ev {
	int64_t t;
	char *text;
};
struct judge {
	struct bounds_set b;
	struct attempt *a;
	struct {
		char *key;
		int value;
	} * by_id, *names;
	struct arrival *r;
	struct kept_cfg *c;
	struct machine_ev *m;
	struct reload_ev *reload;
	struct shown_ev *s;
	struct order_ev *o;
	struct named_ev *n;
	struct read_ev *read;
	int *own_end;
	struct {
		char id[40];
		int64_t t;
	} * stray;
	int64_t fault, back;
	struct breach *out;
};

static inline const char *text(const char *s) { return s ? s : ""; }

/* Note that a rule is broken. Example: breach(j, "TWICE", a->t, "try %s ran %d times", a->id, runs); */
__attribute__((format(printf, 4, 5))) void breach(struct judge *j, const char *rule, int64_t t, const char *fmt, ...);

/* ---- stand_judge_state ---- */

enum { NO_ROUTE = 404, NO_KEY = 401 };

struct span {
	int may, older, bad, any, all;
	int64_t lo, hi;
};

/* Whether the core was settled at t: no trouble within the contact time, and a majority up. */
int settled(const struct judge *j, int64_t t);
/* Whether a machine, or a core machine, had unplanned trouble between two times. */
int unplanned(const struct judge *j, int machine, int64_t from, int64_t to);
/* How often a machine has been started until t. */
int life_of(const struct judge *j, int machine, int64_t t);
/* The newest moment from which on the core was settled without a break until t, or -1. */
int64_t settled_since(const struct judge *j, int64_t t);
/* 0: this service may run it; else the status it would be denied with. Service NULL: any. */
int denies(const struct cfg *c, const struct attempt *a, const char *service);
/* Whether a configuration could be taken at all. */
int valid(const struct kept_cfg *k);
/* The version that all machines in touch hold for what is sent at t. */
int64_t floor_at(const struct judge *j, int64_t t, int64_t more);
/* Which configurations handle a try this way: run by service, or denied (service NULL, status). */
struct span handled(const struct judge *j, const struct attempt *a, const char *service, int status, int64_t seen, int64_t from);

/* ---- the rules, by file ---- */

/* stand_judge_answers */
void rule_answers(struct judge *j);
void rule_order(struct judge *j);
void rule_runs(struct judge *j);
/* stand_judge_config */
void rule_config(struct judge *j);
void rule_added(struct judge *j);
void rule_keys(struct judge *j);
void rule_read(struct judge *j, int64_t end);
void rule_acks(struct judge *j, int64_t end);
void rule_history(struct judge *j);
/* stand_judge_servers */
void rule_drain(struct judge *j);
void rule_one(struct judge *j);
void rule_memory(struct judge *j);
void rule_version(struct judge *j);
/* stand_judge_lost */
void rule_lost(struct judge *j);
/* stand_judge_service */
void rule_budget(struct judge *j);
void rule_recover(struct judge *j);
void rule_ends(struct judge *j);
void rule_starved(struct judge *j);

#endif
