/* stand: a stand-in of the users' platform, written from its pages. One process and one loop hold model servers, the
 * store, the list of servers, the entry with its clients, the operator, the machines under test and the judge, so that
 * failures can be brought about where the users' own bench cannot run.
 *   stand_net      loop, timers, HTTP both ways       stand_server   model servers and the store
 *   stand_list     the list of servers                stand_client   entry, clients, histogram
 *   stand_operator who sends configurations           stand_machine  processes under test
 *   stand_config   how configurations read            stand_judge*   records, and rules by subject
 *   stand_report   figures and a picture              stand_histogram  durations
 *   stand_unread   what the other end has not read    stand          scenarios
 *   stand_planned  the long day of planned work       stand_change   its changes of the configuration
 *   stand_quota    shares of a processor              stand_soak     troubles and namings that overlap, by seed */
#ifndef NL_STAND_H
#define NL_STAND_H

#include <http_parser.h>
#include <json-c/json.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* ---- loop ---- */
struct loop;
struct conn;

/* Example: l = loop_open(); */
struct loop *loop_open(void);
void loop_close(struct loop *l);

/* Microseconds on a clock that never jumps. Example: now = loop_us(); */
int64_t loop_us(void);
static inline int64_t ms_us(double ms) { return (int64_t)(ms * 1000); }

/* Call fn once after so many microseconds; the id drops it. Example: id = loop_after(l, ms_us(5), step, s); */
uint64_t loop_after(struct loop *l, int64_t us, void (*fn)(void *ctx), void *ctx);
void loop_drop(struct loop *l, uint64_t id);

/* The longest that a timer was late since this was last asked, in microseconds: whether this process itself kept up. */
int64_t loop_late(struct loop *l);

/* Turn until `done` says so or the time is over; 1 when done. Example: loop_until(l, ms_us(500), is_done, &x); */
int loop_until(struct loop *l, int64_t us, int (*done)(void *ctx), void *ctx);

/* ---- HTTP ---- */
struct field {
	char *name, *value;
};
struct msg { /* a request or an answer as it was read */
	char *method, *target;
	int status, keep;
	struct field *f; /* stb array */
	char *body;
	size_t len;
};

/* A field's value or NULL, names in any case. Example: msg_get(m, "host") */
const char *msg_get(const struct msg *m, const char *name);

enum conn_end {
	CONN_REFUSED, /* never came up */
	CONN_RESET,
	CONN_CLOSED,
	CONN_BAD,    /* bytes that are no message */
	CONN_SURPLUS /* bytes where nothing was due */
};

struct conn_on {
	void (*request)(void *ctx, struct conn *c, struct msg *m); /* whole; the next one waits for conn_next */
	void (*head)(void *ctx, struct conn *c, struct msg *m);
	void (*data)(void *ctx, struct conn *c, const char *d, size_t n);
	void (*whole)(void *ctx, struct conn *c, struct msg *m);
	void (*gone)(void *ctx, struct conn *c, enum conn_end how); /* not called for conn_close by us */
};

struct port;

/* Listen; connections beyond max (0: none) are reset. NULL on a fault. Example: p = port_open(l, "127.9.0.1:80", &on, s, 0); */
struct port *port_open(struct loop *l, const char *addr, const struct conn_on *on, void *ctx, int max);
void port_close(struct port *p, int reset); /* its connections too */
void port_dark(struct port *p, int dark);   /* accepts, reads and writes nothing */
void port_idle(struct port *p, int ms);     /* idle connections are closed after so long */
int port_count(const struct port *p);

/* Example: c = conn_call(l, "127.9.0.1:80", &on, q); conn_say(c, text, n); */
struct conn *conn_call(struct loop *l, const char *addr, const struct conn_on *on, void *ctx);
void conn_say(struct conn *c, const char *d, size_t n);
void conn_sayf(struct conn *c, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
void conn_expect(struct conn *c);         /* calling side: an answer is due from now on */
void conn_next(struct conn *c, int keep); /* serving side: the answer is over */
void conn_close(struct conn *c, int reset);
void conn_set(struct conn *c, const struct conn_on *on, void *ctx);
int conn_up(const struct conn *c);
int conn_read_by_peer(const struct conn *c);                /* 1: the process at the other end has read all that was said */
int conn_alive(const struct loop *l, const struct conn *c); /* for those who kept only its address */
void *conn_tag(struct conn *c);
void conn_set_tag(struct conn *c, void *tag);

/* An answer in one piece. Example: conn_answer(c, 200, "X-A: b\r\n", "{}", 2, 1); */
void conn_answer(struct conn *c, int status, const char *fields, const char *body, size_t n, int keep);

/* A plain call with its answer; fields as "Name: value\r\n". fn is called once; status 0: no clear answer. */
void call_once(struct loop *l, const char *addr, const char *method, const char *target, const char *fields, const char *body,
	       int ms, void (*fn)(void *ctx, int status, const struct msg *m), void *ctx);

/* How many bytes sent over a connected TCP socket the process at the other end, on this machine, has not read yet;
 * -1: not known. Example: if (socket_unread(fd) == 0) has_read = 1; */
int socket_unread(int fd);

uint64_t stand_hash(uint64_t seed, const void *d, size_t n);
uint64_t stand_rand(uint64_t *rng);
double stand_unit(uint64_t *rng); /* 0 to 1 */

/* ---- configurations, as the judge and the operator read them ---- */
struct cfg_route {
	char name[48], host[64], prefix[96], type[24];
	size_t prefix_length;
	char service[4][48];
	int nservice, weight[4], timeout, target, priority, attempts, open, resumable, gap;
};
struct cfg_tenant {
	char name[48], key[4][64];
	int nkey, isolated, priority;
};
struct cfg {
	int64_t version, base;
	struct cfg_route *route; /* stb arrays */
	struct cfg_tenant *tenant;
	char *text;
};

/* Read one; NULL when it cannot be read whole. Example: c = cfg_read(text); */
struct cfg *cfg_read(const char *text);
void cfg_free(struct cfg *c);
const struct cfg_route *cfg_match(const struct cfg *c, const char *host, const char *path);
const struct cfg_tenant *cfg_holder(const struct cfg *c, const char *key);

/* Why it is invalid on top of version `base`, or NULL. Example: cfg_invalid(c, 5) */
const char *cfg_invalid(const struct cfg *c, int64_t base);

/* ---- judge ---- */
struct bounds_set {
	int64_t contact, ack, catch_up, drain, grace, loss_slack, apply, revert, drift, revoke, window, slack, recovery, transit,
	    lease, thaw, version;
	double ratio;
	int fence_checked, revoke_global;
};
extern const struct bounds_set bounds_sheet;

struct judge;
struct breach {
	char rule[16];
	int64_t t;
	char text[240];
};
enum { NOBODY = -1 };

/* Times are milliseconds of the run. Example: j = judge_open(&bounds_sheet); */
struct judge *judge_open(const struct bounds_set *b);
void judge_close(struct judge *j);

enum try_kind { TRY_ONCE, TRY_RESUMABLE, TRY_IDEMPOTENT };
struct try_rec {
	const char *id, *subject, *method, *host, *path, *key;
	uint64_t body; /* hash */
	int edge;      /* machine that takes it, NOBODY: none */
	enum try_kind kind;
	int last_event; /* taken up behind this one; 0: from the start */
	int probe;      /* asks for what may not be there: earns nothing and is never denied wrongly */
	int stream;
	int64_t deadline; /* ms it waits */
	int cls;
};
void judge_try(struct judge *j, int64_t t, const struct try_rec *r);

struct arrive_rec {
	const char *id, *method, *host, *path, *tenant, *service, *instance;
	uint64_t body;
	int server, turned; /* turned: away, with this status; 0: taken */
	int last_event;
};
/* Returns the arrival's number, for what follows. Example: run = judge_arrive(j, t, &a); */
int judge_arrive(struct judge *j, int64_t t, const struct arrive_rec *r);
struct used_rec {
	int version;
	const char *tenant;
};
void judge_begin(struct judge *j, int64_t t, int run, int version, const struct used_rec *u, int n);

/* how: 1 the whole answer went out; 0 the server broke off; -1 its caller left. Example: judge_ran(j, t, run, 1, 200, h, 12); */
void judge_ran(struct judge *j, int64_t t, int run, int how, int status, uint64_t body, int last_event);
void judge_turned(struct judge *j, int run, int status);

enum told { TOLD_WHOLE, TOLD_CUT, TOLD_NOTHING, TOLD_BAD, TOLD_GAVE_UP, TOLD_STRAY };
struct event_rec {
	int id, run;
};
struct told_rec {
	const char *id, *seal_id; /* the Attempt-Id in the answer */
	int status, seal;         /* run named by the seal, -1: none */
	int own;                  /* the answer bears neither seal nor a server's id: the system's own */
	int read;                 /* the machine's process had read the whole request */
	enum told how;
	uint64_t body;
	const struct event_rec *event;
	int nevent, events; /* events: it was a stream of events */
};
void judge_told(struct judge *j, int64_t t, const struct told_rec *r);

enum cfg_fate { CFG_SENT, CFG_ACKED, CFG_REFUSED };
/* Takes c over at CFG_SENT. invalid: it is known to be. Returns its number. Example: n = judge_cfg(j, t, cfg, 5, 0); */
int judge_cfg(struct judge *j, int64_t t, struct cfg *c, int64_t base, int invalid);
void judge_cfg_fate(struct judge *j, int64_t t, int cfg, enum cfg_fate f);
void judge_read(struct judge *j, int64_t t, const char *text); /* NULL: it did not come */

enum shown { SHOWN_READY, SHOWN_DRAINING, SHOWN_GONE };
void judge_shown(struct judge *j, int64_t t, const char *instance, enum shown s);
struct order_rec {
	const char *instance, *holder;
	int64_t fence;
	int status, thawed;
};
void judge_order(struct judge *j, int64_t t, const struct order_rec *r);
void judge_named(struct judge *j, int64_t t, int version, int acked);

enum trouble { CALM, PLANNED, UNPLANNED };
/* A machine's trouble begins or ends; life: a new life of its processes begins. */
void judge_machine(struct judge *j, int64_t t, int machine, int core, enum trouble tr, int up);
/* The process of a machine was sent SIGHUP. */
void judge_reload(struct judge *j, int64_t t, int machine);
void judge_own_end(struct judge *j, int64_t t, int machine);
void judge_closing(struct judge *j, int64_t fault, int64_t back);
int judge_touch(const struct judge *j, int machine, int64_t t);

/* Judge all that was seen; the breaches, an stb array owned by the judge. Example: n = judge_all(j, end, &b); */
int judge_all(struct judge *j, int64_t end, const struct breach **b);

/* How many requests VERSION was judged on: at their beginning a newer naming had been acknowledged for longer than the
 * bound, over one settled stretch, and their sender was in touch. Example: if (!judge_version_at_stake(j)) nothing_shown(); */
int judge_version_at_stake(const struct judge *j);

/* What was seen of one try, in lines. Example: judge_story(j, "9c41d07be2a35f68", stdout); */
void judge_story(const struct judge *j, const char *id, FILE *f);

/* ---- histogram: log-linear, 64 steps each power of two, so a value is known to 1 in 64 ---- */
struct hist {
	uint32_t n[64 * 32];
	uint64_t count;
};
void hist_add(struct hist *h, int64_t v);
int64_t hist_at(const struct hist *h, double q); /* Example: hist_at(&h, 0.99) */

/* ---- model servers ---- */
struct engine {
	int slots, queue, max_conns, drain_ms, fence_checked, idle_ms, kv, kv_bytes, stride, chunk, block, in_flight, load_ms,
	    load_at_once, report_lag, events, events_lag, linger;
	double step, per_slot, read_per_ms, link_mbps, events_loss, setup_ms;
};
extern const struct engine engine_sheet;

struct server_fault {
	double broken, garbage, surplus, lost, grey, close; /* shares of answers */
	double stubborn;                                    /* of requests whose connection closed, run all the same */
	double slow, load_slow;                             /* so many times as long: a step, a load; 0: as it should be */
	int false_health, dark, events_lost, refuses_loads;
};

struct fleet_set {
	struct loop *l;
	struct judge *j;
	struct engine e;
	int64_t start; /* loop_us at which the run's time is 0 */
	uint64_t rng;
	struct server **server; /* stb arrays */
	struct list *list;
	const char *model;
	int newest; /* weights named so far */
	int loading;
	int thaw_ms;
	int64_t thawed;              /* a machine was thawed then, in ms of the run */
	int64_t cleared, cleared_by; /* loop_us: what was read before must not be used after; 0: nothing was cleared */
	uint64_t old_used, new_used; /* parts that were used after that: from before, and others */
	uint64_t read, found, fetched, loads, orders, probes, turned; /* tokens; calls */
};

struct kept_part {
	char salt[48], id[24], tenant[48];
	int tokens, version, refs;
	int64_t used, born;
}; /* born: when its text was read */
enum life { LIFE_UP, LIFE_DRAINING, LIFE_DOWN };
struct server {
	struct fleet_set *f;
	int i, is_store;
	char addr[40], zone[32], service[48], instance[32];
	double speed;
	enum life life;
	struct server_fault fault;
	struct port *port;
	int version, loading_to, call_seq;
	int method; /* 0 hold, 1 preempt, 2 retain */
	int64_t fence;
	int64_t read_again_at; /* when it last began to read again after it was silent, in ms of the run; 0: never */
	char holder[64];
	struct work **run, **wait; /* stb arrays */
	struct kept_part *part;    /* stb array */
	int64_t moves_free, due;   /* loop_us */
	uint64_t epoch;
	struct kv_event *event;  /* stb array */
	int64_t last_event;      /* number of the newest event */
	struct watcher *watcher; /* stb array */
	uint64_t step_timer, load_timer, watch_timer, report_timer, life_timer, surplus_timer;
	struct conn *surplus_conn;
	char surplus_id[64];
	int held_ms; /* its work is held up so long */
	struct {
		int queued, active, saturated, seq, version;
		int64_t used;
	} report[2];
	int lives;
};

/* Example: s = server_add(f, "127.9.0.60:8080", "zone-a", "lm", 0); */
struct server *server_add(struct fleet_set *f, const char *addr, const char *zone, const char *service, int is_store);
void server_up(struct server *s);
void server_crash(struct server *s); /* all its connections are reset, what it kept is gone */
void server_dark(struct server *s, int dark);
void server_load(struct server *s, int version); /* at once, without an order */
void server_drain(struct server *s);             /* stands as draining, serves on, then ends */
void servers_free(struct fleet_set *f);
int64_t fleet_ms(const struct fleet_set *f);
int64_t server_kept(const struct server *s); /* tokens that it keeps */

/* ---- the list ---- */
struct list_set {
	const char *addr;
	int lag_ms, page;
	double rate;
	int verbose;
};
struct list *list_open(struct fleet_set *f, const struct list_set *s);
void list_note(struct list *l, struct server *s); /* a server's state has changed */
void list_close(struct list *l);
uint64_t list_calls(const struct list *l);

/* ---- scenarios: rehearsal platform ... ---- */
int stand_main(int argc, char **argv);

#endif
