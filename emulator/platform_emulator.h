/* stand: a stand-in of the users' platform, written from its pages. One process and one loop hold model
 * servers, the store, the list of servers, the entry with its clients, the operator, the machines under test
 * and the judge, so that failures can be brought about where the users' own bench cannot run. stand_net loop,
 * timers, HTTP both ways       stand_server   model servers and the store stand_list     the list of servers
 * stand_client   entry, clients, histogram stand_operator who sends configurations           stand_machine
 * processes under test stand_config   how configurations read            stand_judge*   records, and rules by
 * subject stand_report   figures and a picture              stand_histogram  durations stand_unread   what
 * the other end has not read    stand          scenarios stand_planned  the long day of planned work
 * stand_change   its changes of the configuration stand_quota    shares of a processor stand_soak troubles
 * and namings that overlap, by seed */
#ifndef NL_PLATFORM_EMULATOR_H
#define NL_PLATFORM_EMULATOR_H

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
void loop_close(struct loop *loop);

/* Microseconds on a clock that never jumps. Example: now = loop_us(); */
int64_t loop_us(void);
static inline int64_t ms_us(double ms)
{
	return (int64_t)(ms * 1000);
}

/* Call fn once after so many microseconds; the id drops it. Example: id = loop_after(l, ms_us(5), step, s);
 */
uint64_t loop_after(struct loop *loop, int64_t us, void (*callback)(void *ctx), void *context);
void loop_cancel(struct loop *loop, uint64_t id);

/* The longest that a timer was late since this was last asked, in microseconds: whether this process itself
 * kept up. */
int64_t loop_max_lateness(struct loop *loop);

/* Turn until `done` says so or the time is over; 1 when done. Example: loop_until(l, ms_us(500), is_done,
 * &x); */
int loop_until(struct loop *loop, int64_t us, int (*done)(void *ctx), void *context);

/* ---- HTTP ---- */
struct field {
	char *name, *value;
};
struct http_message { /* a request or an answer as it was read */
	char *method, *target;
	int status, keep_alive;
	struct field *fields; /* stb array */
	char *body;
	size_t body_length;
};

/* A field's value or NULL, names in any case. Example: msg_get(m, "host") */
const char *http_message_field(const struct http_message *message, const char *name);

enum conn_end {
	CONN_REFUSED, /* never came up */
	CONN_RESET,
	CONN_CLOSED,
	CONN_BAD,    /* bytes that are no message */
	CONN_SURPLUS /* bytes where nothing was due */
};

struct conn_handlers {
	void (*request)(void *ctx, struct conn *c,
			struct http_message *m); /* whole; the next one waits for conn_next */
	void (*head)(void *ctx, struct conn *c, struct http_message *m);
	void (*data)(void *ctx, struct conn *c, const char *d, size_t n);
	void (*complete)(void *ctx, struct conn *c, struct http_message *m);
	void (*closed)(void *ctx, struct conn *c, enum conn_end how); /* not called for conn_close by us */
};

struct port;

/* Listen; connections beyond max (0: none) are reset. NULL on a fault. Example: p = port_open(l,
 * "127.9.0.1:80", &on, s, 0); */
struct port *port_open(struct loop *loop, const char *addr, const struct conn_handlers *callbacks,
		       void *context, int max);
void port_close(struct port *port, int reset);         /* its connections too */
void port_set_silent(struct port *port, int dark);     /* accepts, reads and writes nothing */
void port_set_idle_timeout(struct port *port, int ms); /* idle connections are closed after so long */
int port_count(const struct port *port);

/* Example: c = conn_call(l, "127.9.0.1:80", &on, q); conn_say(c, text, n); */
struct conn *conn_connect(struct loop *loop, const char *addr, const struct conn_handlers *callbacks,
			  void *context);
void conn_write(struct conn *conn, const char *data, size_t n);
void conn_writef(struct conn *conn, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
void conn_expect(struct conn *conn);                          /* calling side: an answer is due from now on */
void conn_finish_response(struct conn *conn, int keep_alive); /* serving side: the answer is over */
void conn_close(struct conn *conn, int reset);
void conn_set_handlers(struct conn *conn, const struct conn_handlers *callbacks, void *context);
int conn_is_up(const struct conn *conn);
int conn_read_by_peer(
    const struct conn *conn); /* 1: the process at the other end has read all that was said */
int conn_is_alive(const struct loop *loop, const struct conn *conn); /* for those who kept only its address */
void *conn_tag(struct conn *conn);
void conn_set_tag(struct conn *conn, void *tag);

/* An answer in one piece. Example: conn_answer(c, 200, "X-A: b\r\n", "{}", 2, 1); */
void conn_answer(struct conn *conn, int status, const char *fields, const char *body, size_t n,
		 int keep_alive);

/* A plain call with its answer; fields as "Name: value\r\n". fn is called once; status 0: no clear answer. */
void http_call(struct loop *loop, const char *addr, const char *method, const char *target,
	       const char *fields, const char *body, int ms,
	       void (*callback)(void *ctx, int status, const struct http_message *m), void *context);

/* How many bytes sent over a connected TCP socket the process at the other end, on this machine, has not read
 * yet; -1: not known. Example: if (socket_unread(fd) == 0) has_read = 1; */
int socket_unread(int fd);

uint64_t emulator_hash(uint64_t seed, const void *data, size_t n);
uint64_t emulator_random(uint64_t *rng);
double emulator_random_unit(uint64_t *rng); /* 0 to 1 */

/* ---- configurations, as the judge and the operator read them ---- */
struct parsed_route {
	char name[48], host[64], prefix[96], route_type[24];
	size_t prefix_length;
	char service[4][48];
	int service_count, weight[4], timeout_ms, target_ms, priority, max_attempts, is_public, resumable,
	    gap_target_ms;
};
struct parsed_tenant {
	char name[48], key[4][64];
	int key_count, isolated, priority;
};
struct parsed_config {
	int64_t version, base_version;
	struct parsed_route *routes; /* stb arrays */
	struct parsed_tenant *tenants;
	char *text;
};

/* Read one; NULL when it cannot be read whole. Example: c = cfg_read(text); */
struct parsed_config *parsed_config_read(const char *text);
void parsed_config_free(struct parsed_config *config);
const struct parsed_route *parsed_config_match(const struct parsed_config *config, const char *host,
					       const char *path);
const struct parsed_tenant *parsed_config_tenant_of_key(const struct parsed_config *config, const char *key);

/* Why it is invalid on top of version `base`, or NULL. Example: cfg_invalid(c, 5) */
const char *parsed_config_invalid(const struct parsed_config *config, int64_t base);

/* ---- judge ---- */
struct timing_bounds {
	int64_t contact_ms, ack_ms, catch_up_ms, drain_ms, grace_ms, loss_slack_ms, config_apply_ms,
	    revert_slack_ms, drift_max_ms, revoke_ms, retry_window_ms, retry_slack, recovery_ms, transit_ms,
	    lease_ms, thaw_slack_ms, version_ms;
	double retry_ratio;
	int fence_checked, revoke_global;
};
extern const struct timing_bounds default_timing_bounds;

struct checker;
struct violation {
	char rule[16];
	int64_t at_ms;
	char text[240];
};
enum { NO_MACHINE = -1 };

/* Times are milliseconds of the run. Example: j = judge_open(&bounds_sheet); */
struct checker *checker_open(const struct timing_bounds *bounds);
void checker_close(struct checker *checker);

enum attempt_kind { ATTEMPT_ONCE, ATTEMPT_RESUMABLE, ATTEMPT_IDEMPOTENT };
struct attempt_record {
	const char *id, *subject, *method, *host, *path, *key;
	uint64_t body; /* hash */
	int machine;   /* machine that takes it, NOBODY: none */
	enum attempt_kind kind;
	int last_event; /* taken up behind this one; 0: from the start */
	int is_probe;   /* asks for what may not be there: earns nothing and is never denied wrongly */
	int expects_stream;
	int64_t timeout_ms; /* ms it waits */
	int class_id;
};
void checker_record_attempt(struct checker *checker, int64_t at_ms, const struct attempt_record *record);

struct arrival_record {
	const char *id, *method, *host, *path, *tenant, *service, *instance;
	uint64_t body;
	int server, reject_status; /* turned: away, with this status; 0: taken */
	int last_event;
};
/* Returns the arrival's number, for what follows. Example: run = judge_arrive(j, t, &a); */
int checker_record_arrival(struct checker *checker, int64_t at_ms, const struct arrival_record *record);
struct reused_block {
	int version;
	const char *tenant;
};
void checker_record_start(struct checker *checker, int64_t at_ms, int run, int version,
			  const struct reused_block *record, int n);

/* how: 1 the whole answer went out; 0 the server broke off; -1 its caller left. Example: judge_ran(j, t, run,
 * 1, 200, h, 12); */
void checker_record_end(struct checker *checker, int64_t at_ms, int run, int how, int status, uint64_t body,
			int last_event);
void checker_record_rejection(struct checker *checker, int run, int status);

enum answer_outcome {
	ANSWER_COMPLETE,
	ANSWER_CUT_OFF,
	ANSWER_NONE,
	ANSWER_GARBLED,
	ANSWER_ABANDONED,
	ANSWER_UNSOLICITED
};
struct stream_event {
	int id, run_id;
};
struct answer_record {
	const char *id, *seal_id; /* the Attempt-Id in the answer */
	int status, seal_run;     /* run named by the seal, -1: none */
	int is_own_answer;        /* the answer bears neither seal nor a server's id: the system's own */
	int was_read;             /* the machine's process had read the whole request */
	enum answer_outcome outcome;
	uint64_t body;
	const struct stream_event *events;
	int event_count, is_stream; /* events: it was a stream of events */
};
void checker_record_answer(struct checker *checker, int64_t at_ms, const struct answer_record *answer);

enum config_outcome { CONFIG_OUTCOME_SENT, CONFIG_OUTCOME_ACKED, CONFIG_OUTCOME_REFUSED };
/* Takes c over at CFG_SENT. invalid: it is known to be. Returns its number. Example: n = judge_cfg(j, t, cfg,
 * 5, 0); */
int checker_record_config(struct checker *checker, int64_t at_ms, struct parsed_config *config, int64_t base,
			  int invalid);
void checker_record_config_outcome(struct checker *checker, int64_t at_ms, int cfg,
				   enum config_outcome outcome);
void checker_record_read_back(struct checker *checker, int64_t at_ms,
			      const char *text); /* NULL: it did not come */

enum listing_state { LISTED_READY, LISTED_DRAINING, LISTED_REMOVED };
void checker_record_listing(struct checker *checker, int64_t at_ms, const char *instance,
			    enum listing_state state);
struct load_command_record {
	const char *instance, *lease_owner;
	int64_t fence;
	int status, thawed;
};
void checker_record_load_command(struct checker *checker, int64_t at_ms,
				 const struct load_command_record *record);
void checker_record_target_version(struct checker *checker, int64_t at_ms, int version, int acked);

enum fault_cause { CALM, PLANNED, UNPLANNED };
/* A machine's trouble begins or ends; life: a new life of its processes begins. */
void checker_record_machine(struct checker *checker, int64_t at_ms, int machine, int core,
			    enum fault_cause cause, int up);
/* The process of a machine was sent SIGHUP. */
void checker_record_reload(struct checker *checker, int64_t at_ms, int machine);
void checker_record_unexpected_exit(struct checker *checker, int64_t at_ms, int machine);
void checker_set_final_fault(struct checker *checker, int64_t fault, int64_t back);
int checker_in_contact(const struct checker *checker, int machine, int64_t at_ms);

/* Judge all that was seen; the breaches, an stb array owned by the judge. Example: n = judge_all(j, end, &b);
 */
int checker_run(struct checker *checker, int64_t end, const struct violation **violation);

/* How many requests VERSION was judged on: at their beginning a newer naming had been acknowledged for longer
 * than the bound, over one settled stretch, and their sender was in touch. Example: if
 * (!judge_version_at_stake(j)) nothing_shown(); */
int checker_version_rule_exercised(const struct checker *checker);

/* What was seen of one try, in lines. Example: judge_story(j, "9c41d07be2a35f68", stdout); */
void checker_print_attempt(const struct checker *checker, const char *id, FILE *out);

/* ---- histogram: log-linear, 64 steps each power of two, so a value is known to 1 in 64 ---- */
struct histogram {
	uint32_t counts[64 * 32];
	uint64_t count;
};
void histogram_add(struct histogram *histogram, int64_t value);
int64_t histogram_quantile(const struct histogram *histogram,
			   double quantile); /* Example: hist_at(&h, 0.99) */

/* ---- model servers ---- */
struct engine {
	int slots, queue_limit, max_conns, drain_ms, fence_checked, idle_ms, kv_capacity_tokens,
	    kv_bytes_per_token, token_stride, chunk_tokens, block_tokens, in_flight, load_ms, load_at_once,
	    report_lag_ms, event_limit, event_lag_ms, linger_ms;
	double step_ms, per_slot_ms, prefill_tokens_per_ms, link_mbps, event_loss_ratio, setup_ms;
};
extern const struct engine default_engine;

struct server_fault {
	double broken, garbage, surplus, lost, grey, close; /* shares of answers */
	double stubborn;        /* of requests whose connection closed, run all the same */
	double slow, load_slow; /* so many times as long: a step, a load; 0: as it should be */
	int false_health, is_silent, events_lost, refuses_loads;
};

struct server_fleet {
	struct loop *loop;
	struct checker *checker;
	struct engine engine;
	int64_t started_at_us; /* loop_us at which the run's time is 0 */
	uint64_t rng;
	struct server **servers; /* stb arrays */
	struct list *list;
	const char *model;
	int newest_version; /* weights named so far */
	int loading;
	int thaw_ms;
	int64_t thawed_at_ms;                           /* a machine was thawed then, in ms of the run */
	int64_t purge_requested_at_us, purge_due_at_us; /* loop_us: what was read before must not be used
							   after; 0: nothing was cleared */
	uint64_t old_blocks_used,
	    new_blocks_used; /* parts that were used after that: from before, and others */
	uint64_t prefilled_tokens, cached_tokens, fetched_tokens, loads, load_commands, probes,
	    rejected; /* tokens; calls */
};

struct prompt_block {
	char salt[48], id[24], tenant[48];
	int tokens, version, refs;
	int64_t used_at_us, created_at_us;
}; /* born: when its text was read */
/* What happens to work in progress while weights are loaded: it ends first, it is cut off, or it pauses. */
enum load_method { LOAD_HOLD, LOAD_PREEMPT, LOAD_RETAIN };
enum server_state { STATE_UP, STATE_DRAINING, STATE_DOWN };
struct server {
	struct server_fleet *fleet;
	int index, is_store;
	char address[40], zone[32], service[48], instance[32];
	double speed;
	enum server_state state;
	struct server_fault fault;
	struct port *port;
	int version, loading_to, call_seq;
	enum load_method load_method;
	int64_t fence;
	int64_t reading_resumed_at_ms; /* when it last began to read again after it was silent, in ms of the
					  run; 0: never */
	char lease_owner[64];
	struct work **batch, **queue;                 /* stb arrays */
	struct prompt_block *blocks;                  /* stb array */
	int64_t transfer_free_at_us, next_step_at_us; /* loop_us */
	uint64_t epoch;
	struct kv_event *events;  /* stb array */
	int64_t last_event;       /* number of the newest event */
	struct watcher *watchers; /* stb array */
	uint64_t step_timer, load_timer, watch_timer, report_timer, drain_timer, surplus_timer;
	struct conn *surplus_conn;
	char surplus_id[64];
	int stall_ms; /* its work is held up so long */
	struct {
		int queued, active, saturated, seq, version;
		int64_t used_tokens;
	} report[2];
	int incarnations;
};

/* Example: s = server_add(f, "127.9.0.60:8080", "zone-a", "lm", 0); */
struct server *server_add(struct server_fleet *settings, const char *addr, const char *zone,
			  const char *service, int is_store);
void server_up(struct server *server);
void server_crash(struct server *server); /* all its connections are reset, what it kept is gone */
void server_set_silent(struct server *server, int dark);
void server_load(struct server *server, int version); /* at once, without an order */
void server_drain(struct server *server);             /* stands as draining, serves on, then ends */
void servers_free(struct server_fleet *settings);
int64_t fleet_ms(const struct server_fleet *settings);
int64_t server_cached_tokens(const struct server *server); /* tokens that it keeps */

/* ---- the list ---- */
struct list_settings {
	const char *addr;
	int lag_ms, page;
	double rate;
	int verbose;
};
struct list *list_open(struct server_fleet *settings, const struct list_settings *list_set);
void list_server_changed(struct list *list, struct server *server); /* a server's state has changed */
void list_close(struct list *list);
uint64_t list_calls(const struct list *list);

/* ---- scenarios: rehearsal platform ... ---- */
int platform_emulator_main(int argc, char **argv);

#endif
