/* One run on the platform's emulator: its deployment, machines under test, clients, operator and figures. The
 * run's thread owns all of it; struct run lives from the command line to the verdict. Times are milliseconds
 * of the run. */
#ifndef NL_PLATFORM_RUN_H
#define NL_PLATFORM_RUN_H

#include <stdbool.h>

#include "platform_emulator.h"

enum { SEED_LAG_MS = 3000, MAX_MACHINES = 80, CLASS_COUNT = 3, MAX_SECONDS = 600, MAX_DISK_STALLS = 256 };

/* ---- deployments ---- */

/* One class of requests; sizes are means. */
struct traffic_class {
	const char *name;
	const char *prefix; /* of its paths */
	int shared_tokens;  /* of the prompt, the same for a topic */
	int own_tokens;     /* of the prompt */
	int output_tokens;
	int latency_target_ms; /* first event */
	int gap_target_ms;     /* between events */
	int deadline_ms;
	int retries;
	int resumable;
	int attempts; /* MaxAttempts of its route */
	int priority;
	int topic_count;
	double requests_per_second;
	double value;      /* of a request served in time */
	double late_value; /* of one served late */
};

/* A deployment of the platform's pages. */
struct deployment {
	const char *name;
	const char *host;
	const char *service;
	const char *store;
	const char *model;
	const char *zone[4];
	const char *region;
	struct traffic_class classes[CLASS_COUNT];
	int tenants;
};

/* Warisan and Teduh. */
extern const struct deployment deployments[2];

/* ---- machines ---- */

/* A machine under test: one process at an address of its own. */
struct machine {
	struct run *run;
	int index;
	bool is_core; /* runs a controller; else an edge with a router */
	int pid;      /* 0: no process */
	bool is_frozen;
	int removed; /* for good */
	int start_count;
	bool draining;       /* was sent SIGTERM */
	bool is_killed;      /* was sent SIGKILL, and has not been waited for */
	int start_when_dead; /* start again once the killed process is gone */
	bool in_rotation;    /* the entry sends clients to it */
	int probe_failures;  /* of its readiness, in a row */
	int unexpected_exits;
	bool is_listed;   /* core machines: the operator and new machines know it */
	bool runs_old;    /* the programs of run->old_program_folder */
	bool is_retiring; /* it does not come back once it has ended */
	int64_t drain_deadline_ms;
	int64_t quota_remaining_us; /* of processor time */
	int64_t quota_used_us;      /* processor time at the last sample */
	bool is_throttled;
	char name[64];
	char ip[32];
	char zone[40];
	char folder[700];
	char front_address[48];
	char readiness_address[48];
	char control_address[48];
	uint64_t timer; /* of its next start after it ended by itself */
};

/* ---- figures ---- */

/* Requests that began within one second of the run. */
struct second {
	int requests;
	int completed;
	int refused;
	int failed;
	struct histogram first_event; /* ms */
};

/* Figures of a run. */
struct figures {
	struct histogram first_event_ms[CLASS_COUNT];
	struct histogram longest_gap_ms[CLASS_COUNT];
	struct histogram transit_ms;
	struct histogram own_lag_ms; /* how late this process itself was */
	int requests[CLASS_COUNT];
	int completed[CLASS_COUNT];
	int late[CLASS_COUNT];
	int abandoned;
	int refused;
	int attempts;
	int cut_off;
	int no_answer;
	int probes;
	int unsolicited;
	int draining_reuses; /* attempts over a pooled connection to a process that was sent SIGTERM */
	double value_offered;
	double value_earned;
	struct second *seconds; /* MAX_SECONDS of them; owned */
};

/* ---- the disk ---- */

/* A sync of a small record that was under way between these ms of the run. */
struct disk_stall {
	int64_t from;
	int64_t to;
};
struct disk_watch;

/* ---- the run ---- */

struct config_operator;
struct clients;
struct quota;

/* A run with its settings, parts and figures. */
struct run {
	struct loop *loop;
	struct checker *checker;
	struct server_fleet fleet;
	struct timing_bounds bounds; /* what the machines are told */
	const struct deployment *deployment;
	uint64_t rng;
	uint64_t seed;
	int small;
	int verbose;
	int slack;      /* the checker's bounds are so many times as long */
	int impossible; /* judge by bounds that nobody can keep */
	int length_s;   /* of scenarios that have a length; 0: their own */
	int edges;
	int cores; /* 0: the deployment's */
	char address_prefix[20];
	char folder[600]; /* logs and disks */
	char program_folder[600];
	char list_address[40];
	double rate;         /* of the sheet's */
	double core_share;   /* of a processor; 0: whole */
	double router_share; /* of a processor; 0: whole */
	struct machine machines[MAX_MACHINES];
	int machine_count;
	char old_program_folder[600];  /* programs of an older build; empty: none */
	int all_start_old;             /* else every other machine runs the older build, if there is one */
	int64_t traffic_started_at_ms; /* -1: not yet */
	struct clients *clients;
	struct config_operator *config_operator;
	struct figures figures;
	struct quota *quota; /* NULL: processors are not shared */
	uint64_t quota_timer;
	int64_t max_lateness_ms; /* a run that was later itself blames nobody for being late; 0: not asked */
	int64_t max_wait_ms;     /* of a second that a process under test waited for a processor */
	const char *undecided_reason;  /* why the run proves nothing; NULL: it may prove something */
	struct disk_watch *disk_watch; /* NULL: the disk is not watched */
	struct disk_stall stalls[MAX_DISK_STALLS]; /* once the watch is over */
	int stall_count;
	int64_t max_sync_ms; /* that one small sync took */
};

/* Milliseconds of the run. */
static inline int64_t run_ms(const struct run *run)
{
	return (loop_us() - run->fleet.started_at_us) / 1000;
}

/* Print a line with the run's time. */
void run_log(struct run *run, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

/* Go on for so many ms, or until the run proves nothing. */
void run_for(struct run *run, int64_t ms);

/* ---- machines ---- */

/* Add a machine in one of four zones without starting it; exits when there are too many.
 * Example: machine = machine_add(run, 0, 2); machine_start(machine); */
struct machine *machine_add(struct run *run, int core, int zone);

/* Start a machine that is down; one that was killed a moment ago starts once it is gone. */
void machine_start(struct machine *machine);

/* SIGKILL; it stays down. */
void machine_kill(struct machine *machine);

/* SIGTERM, and SIGKILL after GraceS; machine_down says when it is over. */
void machine_term(struct machine *machine);

/* Whether a machine has no process. */
int machine_down(const struct machine *machine);

/* SIGSTOP, or SIGCONT. */
void machine_freeze(struct machine *machine, int on);

/* Empty its disk; the process must be down. */
void machine_wipe(struct machine *machine);

/* Kill it for good. */
void machine_remove(struct machine *machine);

/* SIGTERM, and removed for good once it has ended. */
void machine_retire(struct machine *machine);

/* Write its settings again and send SIGHUP. */
void machine_reload(struct machine *machine);

/* Wait for processes that have ended; one that ended by itself is started again. */
void machines_poll(struct run *run);

/* Stop all machines in order, and kill what is left after ten seconds. */
void machines_stop(struct run *run);

/* ---- disk and processors ---- */

/* Watch the disk that holds a folder: stalls are syncs that take more than longest_ms; sync is fdatasync, or
 * a test's own. NULL: it cannot be watched, and excuses nothing. */
struct disk_watch *disk_watch_open(const char *folder, int64_t start_us, int64_t longest_ms,
				   int (*sync)(int fd));

/* End a watch; returns how many stalls there were, at most `most`, and copies them; *most_ms is the longest
 * sync. */
int disk_watch_close(struct disk_watch *watcher, struct disk_stall *stalls, int most, int64_t *most_ms);

/* Whether the disk stood still at a moment, or at most reach ms before it. */
int disk_explains(const struct disk_stall *stalls, int n, int64_t at_ms, int64_t reach);

/* Whether each of these violations is of a rule that depends on time, and follows a stall of the disk by no
 * more than reach ms. */
int disk_explains_all(const struct disk_stall *stalls, int n, const struct violation *violation,
		      int violation_count, int64_t reach);

/* Hold the processes of core machines and edges to the run's shares of a processor, until quota_release. A
 * share of 0 holds nothing back. */
void quota_start(struct run *run);

/* Let all processes go on, and end the quota; harmless without one. */
void quota_release(struct run *run);

/* ---- longer scenarios ---- */

/* A long day of planned work. */
void planned_day(struct run *run);

/* The whole core is stopped in order and started again seconds later, while a change is under way. */
void planned_core_stop(struct run *run);

/* Before the machines of a soak test are made: how many there are, and the run's bounds. */
void soak_test_prepare(struct run *run);

/* Faults that overlap while targets of the weights are set in series. */
void soak_test(struct run *run);

/* Print what the logs of the machines say of broken invariants; returns how many lines. They must have ended.
 */
int invariant_lines(const struct run *run);

/* ---- entry and clients ---- */

/* Open the entry and the clients; no traffic yet. */
struct clients *clients_open(struct run *run);

/* Start or stop new requests. */
void clients_traffic(struct clients *clients, int on);

/* Requests that wait for an answer or a retry. */
int clients_busy(const struct clients *clients);

/* So many added routes get traffic too. */
void clients_extra(struct clients *clients, int routes);

/* Of so many requests one asks for an answer of seconds; 0: none. */
void clients_long(struct clients *clients, int every);

/* Start or stop probes of routes and keys that came or went. */
void clients_probe(struct clients *clients, int on);

/* The key that a tenant's clients use from now on. */
void clients_keys(struct clients *clients, int tenant, const char *key);

/* Abandon what is under way, and free the clients. */
void clients_close(struct clients *clients);

/* ---- the operator ---- */

/* Open the operator. Its submissions go out one after another unless said otherwise. */
struct config_operator *operator_open(struct run *run);

/* Wait for what is under way, at most five seconds, and free the operator. */
void operator_close(struct config_operator *config_operator);

/* Submit the first configuration. */
void operator_submit_first(struct config_operator *config_operator);

/* Whether nothing is under way or queued. */
int operator_idle(const struct config_operator *config_operator);

/* Configurations acknowledged so far. */
int operator_acked(const struct config_operator *config_operator);

/* A change of the current configuration. */
enum change {
	CHANGE_SPLIT,           /* a route divides its traffic */
	CHANGE_MOVE,            /* a route goes to one service again */
	CHANGE_TIMEOUT,         /* of a route */
	CHANGE_ROUTE_ON,        /* a route comes */
	CHANGE_ROUTE_OFF,       /* the first route that came goes */
	CHANGE_KEY_ON,          /* a tenant gets another key */
	CHANGE_KEY_OFF,         /* and loses its first one */
	CHANGE_ISOLATION,       /* a tenant is isolated, or no longer */
	CHANGE_IDLE,            /* a route comes that nothing is sent to */
	CHANGE_BIG,             /* two hundred routes come */
	CHANGE_BIG_OFF,         /* those routes go again */
	CHANGE_LIMITS,          /* IdleTimeoutMs; full configurations only */
	CHANGE_KEY_MORE,        /* a tenant gets a second key, or loses it */
	CHANGE_TENANT,          /* a tenant without requests comes or goes */
	CHANGE_PRIORITY,        /* of a tenant */
	CHANGE_ATTEMPTS,        /* of a route */
	CHANGE_MAX_CONNECTIONS, /* how many connections a server takes */
	CHANGE_COUNT
};

/* Queue a change, to be made on top of what is current when its turn comes; modify: only what differs is
 * sent. */
void operator_change(struct config_operator *config_operator, enum change what, int modify);

/* Make one of the changes behind CHANGE_BIG in a full configuration; what it touches goes into the lists of a
 * call to modify. The index says which item it takes. Example: planned_change(config, upsert, removed,
 * CHANGE_TENANT, 3); */
void planned_change(struct json_object *config, struct json_object *upsert, struct json_object *removed,
		    enum change what, uint64_t index);

/* IdleTimeoutMs of the configuration acknowledged last; 0: none. */
int operator_idle_timeout(const struct config_operator *config_operator);

/* Submit two different configurations at once on top of the same version. */
void operator_race(struct config_operator *config_operator);

/* What is wrong with an invalid configuration. */
enum invalid {
	INVALID_CUT,              /* half of the text */
	INVALID_SERVICE,          /* an unknown service */
	INVALID_DUPLICATE_PREFIX, /* two routes at one place */
	INVALID_WEIGHT,           /* weights that add up to 0 */
	INVALID_TIMEOUT,          /* a time-out of 0 */
	INVALID_OLD,              /* the current version */
	INVALID_KEY,              /* two tenants share a key */
	INVALID_COUNT
};

/* Submit an invalid configuration at once. */
void operator_invalid(struct config_operator *config_operator, enum invalid what);

/* Set a version of the weights as the target. */
void operator_weights(struct config_operator *config_operator, int version);

/* The version of the weights that was acknowledged last. */
int operator_weights_acked(const struct config_operator *config_operator);

/* Of so large a share of target submissions the answer is lost: the connection is closed within moments, and
 * the submission is sent again. */
void operator_set_loss(struct config_operator *config_operator, double share);

/* The address that acknowledged last; empty: none yet. */
const char *operator_leader(const struct config_operator *config_operator);

/* Read the configuration back until the core has had time to agree. */
void operator_read_back(struct config_operator *config_operator);

/* Whether the reading back is over. */
int operator_read_done(const struct config_operator *config_operator);

/* The path prefix of a route that came lately, for the probes; NULL: none. */
const char *operator_added(const struct config_operator *config_operator);

/* The path prefix of a route that went lately, for the probes; NULL: none. */
const char *operator_removed(const struct config_operator *config_operator);

/* A key that a tenant holds besides its first one; NULL: none. */
const char *operator_second_key(const struct config_operator *config_operator);

/* ---- reports ---- */

/* Write tables and a picture into a folder; 0: a file cannot be written, which is printed. */
int report_write(struct run *run, const char *folder, const struct violation *violation, int n);

/* Print the run's figures and violations. */
void report_print(struct run *run, const struct violation *violation, int n);

#endif
