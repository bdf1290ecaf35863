/* What the parts of one run share: machines, entry and clients, operator, figures. */
#ifndef NL_PLATFORM_RUN_H
#define NL_PLATFORM_RUN_H

#include "platform_emulator.h"

enum { SEED_LAG_MS = 3000, MAX_MACHINES = 80, CLASS_COUNT = 3, MAX_SECONDS = 600, MAX_DISK_STALLS = 256 };

/* ---- the sheet of a deployment ---- */
struct traffic_class {
	const char *name, *prefix;
	int shared_tokens, own_tokens, output_tokens, latency_target_ms, gap_target_ms, deadline_ms, retries,
	    resumable, attempts, priority, topic_count;
	double requests_per_second, value, late_value;
};
struct sheet {
	const char *name, *host, *service, *store, *model, *zone[4], *region;
	struct traffic_class classes[CLASS_COUNT];
	int tenants;
};
extern const struct sheet deployments[2];

/* ---- machines ---- */
struct machine {
	struct run *run;
	int index, is_core, pid, is_frozen, removed, start_count, draining, is_killed, start_when_dead,
	    in_rotation, probe_failures, unexpected_exits, is_listed;
	int is_retiring; /* it does not come back once it has ended */
	int64_t drain_deadline_ms;
	int64_t quota_remaining_us, quota_used_us; /* microseconds of processor time */
	int is_throttled;
	char name[64], ip[32], zone[40], folder[700];
	char front_address[48], readiness_address[48], control_address[48];
	uint64_t timer;
};

/* ---- figures ---- */
struct second {
	int requests, completed, refused, failed;
	struct histogram first_event;
};
struct figures {
	struct histogram first_event_ms[CLASS_COUNT], longest_gap_ms[CLASS_COUNT], transit_ms,
	    own_lag_ms; /* own_lag: this process itself, ms, by the moment */
	int requests[CLASS_COUNT], completed[CLASS_COUNT], late[CLASS_COUNT], abandoned, refused, attempts,
	    cut_off, no_answer, probes, unsolicited;
	int draining_reuses; /* tries over a connection kept from before, to a process that is told to end */
	double value_offered, value_earned;
	struct second *seconds; /* MOST_SECONDS */
};

/* ---- the machine's disk ---- */
/* A sync of a small record that was under way from and to these ms of the run. */
struct disk_stall {
	int64_t from, to;
};
struct disk_watch;

/* ---- the run ---- */
struct config_operator;
struct clients;
struct quota;
struct run {
	struct loop *loop;
	struct checker *checker;
	struct server_fleet fleet;
	struct timing_bounds bounds;
	const struct sheet *sheet;
	uint64_t rng, seed;
	int small, verbose, slack, impossible, length_s, edges, cores;
	char address_prefix[20], folder[600], program_folder[600], list_address[40];
	double rate;                     /* of the sheet's */
	double core_share, router_share; /* of a processor; 0: whole */
	struct machine machines[MAX_MACHINES];
	int machine_count, nservers;
	int64_t traffic_started_at_ms; /* ms of the run, -1: not yet */
	struct clients *clients;
	struct config_operator *config_operator;
	struct figures figures;
	struct quota *quota;
	uint64_t quota_timer;
	int64_t
	    max_lateness_ms; /* ms: a run that was later itself blames nobody for being late; 0: not asked */
	int64_t max_wait_ms; /* ms of a second that a process under test waited for a processor */
	const char *undecided_reason; /* why the run proves nothing */
	struct disk_watch *disk_watch;
	struct disk_stall stalls[MAX_DISK_STALLS]; /* once the watch is over */
	int stall_count;
	int64_t max_sync_ms; /* ms that one small sync took */
};

static inline int64_t run_ms(const struct run *run)
{
	return (loop_us() - run->fleet.started_at_us) / 1000;
}
void run_log(struct run *run, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
void run_for(struct run *run, int64_t ms);

/* Machines. Example: m = machine_add(r, 0, 2); machine_start(m); machine_kill(m); */
struct machine *machine_add(struct run *run, int core, int zone);
void machine_start(struct machine *machine);
void machine_kill(struct machine *machine); /* SIGKILL, stays down */
void machine_term(
    struct machine *machine); /* SIGTERM, SIGKILL after GraceS; machine_down says when it is over */
int machine_down(const struct machine *machine);
void machine_freeze(struct machine *machine, int on);
void machine_wipe(struct machine *machine);   /* its disk is empty; the process must be down */
void machine_remove(struct machine *machine); /* for good */
void machine_retire(struct machine *machine); /* SIGTERM, and gone for good once it has ended */
void machine_reload(struct machine *machine);
void machines_poll(struct run *run); /* who ended by itself is started again */
void machines_stop(struct run *run);

/* Watch the disk that holds a folder: stalls are syncs that take more than longest_ms; sync is fdatasync, or
 * a test's own. NULL: it cannot be watched, and excuses nothing. Closing it tells the first so many stalls
 * and the longest sync. */
struct disk_watch *disk_watch_open(const char *folder, int64_t start_us, int64_t longest_ms,
				   int (*sync)(int fd));
int disk_watch_close(struct disk_watch *watcher, struct disk_stall *stalls, int most, int64_t *most_ms);
/* Whether the disk stood still at a moment t, or at most reach ms before it. */
int disk_explains(const struct disk_stall *stalls, int n, int64_t at_ms, int64_t reach);
/* Whether each of these breaches is of a rule that depends on time, and follows a stall of the disk by no
 * more than reach. */
int disk_explains_all(const struct disk_stall *stalls, int n, const struct violation *violation, int breaches,
		      int64_t reach);

/* Hold the processes of core machines and routers to the run's shares of a processor, until quota_release. A
 * share of 0 holds nothing back. */
void quota_start(struct run *run);
void quota_release(struct run *run);

/* The scenario of a long day of planned work. */
void planned_day(struct run *run);
/* The whole core is stopped in order and started again seconds later, while a change is under way. */
void planned_core_stop(struct run *run);

/* The scenario of troubles that overlap while weights are named in series. Before the machines are made: how
 * many there are, and the run's bounds. */
void soak_test_prepare(struct run *run);
void soak_test(struct run *run);
/* Print what the logs of the machines say of broken invariants; returns how many lines. They must have ended.
 */
int invariant_lines(const struct run *run);

/* Entry and clients. */
struct clients *clients_open(struct run *run);
void clients_traffic(struct clients *clients, int on);
int clients_busy(const struct clients *clients);
void clients_extra(struct clients *clients, int routes); /* so many added routes get traffic too */
void clients_long(struct clients *clients,
		  int every); /* of so many requests one asks for an answer of seconds; 0: none */
void clients_probe(struct clients *clients, int on);
void clients_keys(struct clients *clients, int tenant, const char *key);
void clients_close(struct clients *clients);

/* The operator. What it wants goes out one after another unless said otherwise. */
struct config_operator *operator_open(struct run *run);
void operator_close(struct config_operator *config_operator);
void operator_submit_first(struct config_operator *config_operator);
int operator_idle(const struct config_operator *config_operator);
int operator_acked(const struct config_operator *config_operator); /* configurations so far */
enum change {
	CHANGE_SPLIT,
	CHANGE_MOVE,
	CHANGE_TIMEOUT,
	CHANGE_ROUTE_ON,
	CHANGE_ROUTE_OFF,
	CHANGE_KEY_ON,
	CHANGE_KEY_OFF,
	CHANGE_ISOLATION,
	CHANGE_IDLE,
	CHANGE_BIG,
	CHANGE_BIG_OFF,         /* those routes go again */
	CHANGE_LIMITS,          /* IdleTimeoutMs; whole configurations only */
	CHANGE_KEY_MORE,        /* a tenant gets a second key, or loses it */
	CHANGE_TENANT,          /* a tenant without requests comes or goes */
	CHANGE_PRIORITY,        /* of a tenant */
	CHANGE_ATTEMPTS,        /* of a route */
	CHANGE_MAX_CONNECTIONS, /* how many connections a server takes */
	CHANGE_COUNT
};
void operator_change(struct config_operator *config_operator, enum change what, int modify);
/* Make one of the changes behind CHANGE_BIG in a whole configuration; what it touches goes into the lists of
 * a call to modify. The turn says which item it takes. Example: planned_change(config, upsert, removed,
 * CHANGE_TENANT, 3); */
void planned_change(struct json_object *config, struct json_object *upsert, struct json_object *removed,
		    enum change what, uint64_t index);
/* IdleTimeoutMs of the configuration acknowledged last; 0: none. */
int operator_idle_timeout(const struct config_operator *config_operator);
void operator_race(struct config_operator *config_operator);
enum invalid {
	INVALID_CUT,
	INVALID_SERVICE,
	INVALID_DUPLICATE_PREFIX,
	INVALID_WEIGHT,
	INVALID_TIMEOUT,
	INVALID_OLD,
	INVALID_KEY,
	INVALID_COUNT
};
void operator_invalid(struct config_operator *config_operator, enum invalid what);
void operator_weights(struct config_operator *config_operator, int version);
int operator_weights_acked(const struct config_operator *config_operator);
/* Of so many namings the answer is lost: the connection is closed within moments, and the naming is sent
 * again. */
void operator_set_loss(struct config_operator *config_operator, double share);
/* The address that acknowledged last; empty: none yet. */
const char *operator_leader(const struct config_operator *config_operator);
void operator_read_back(struct config_operator *config_operator);
int operator_read_done(const struct config_operator *config_operator);
/* A route that came or went lately, for the probes; NULL: none. */
const char *operator_added(const struct config_operator *config_operator);
const char *operator_removed(const struct config_operator *config_operator);
/* A key that a tenant holds besides its first one; NULL: none. */
const char *operator_second_key(const struct config_operator *config_operator);

/* Figures and the picture. */
int report_write(struct run *run, const char *folder, const struct violation *violation, int n);
void report_print(struct run *run, const struct violation *violation, int n);

#endif
