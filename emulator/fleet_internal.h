/* What the files of a run of the test fleet share: the fleet's processes, and the calls that start them,
 * change the configuration and bring faults about. Only the scenarios' thread changes struct test_fleet; the
 * probing thread and the storm's threads read it. Each process is ended by its own id. */
#ifndef NL_FLEET_INTERNAL_H
#define NL_FLEET_INTERNAL_H

#include <stdbool.h>
#include <pthread.h>

#include "test_fleet.h"

/* What a process of the test fleet is. */
enum process_kind { PROCESS_CONTROLLER, PROCESS_ROUTER, PROCESS_SERVER, PROCESS_STORE };

enum { MAX_PROCESSES = 64 };

/* A process of the test fleet, and where it is found; pid 0: it does not run. */
struct fleet_process {
	enum process_kind kind;
	int index; /* among processes of its kind */
	int pid;
	bool frozen;
	char name[40];
	char advertised[40]; /* where its link listens */
	char listen_address[40];
	char web_address[40];
	char zone[8];
	char data_folder[700];
	char fault_file[700]; /* of a controller: ms that each sync takes longer */
	char service[32];     /* of a server */
};

/* A run of the test fleet. */
struct test_fleet {
	const struct run_settings *settings;
	struct fleet_process nodes[MAX_PROCESSES];
	int node_count;
	int controller_count;
	int router_count;
	int server_count;
	int stop; /* the probing thread ends */
	char address_prefix[20];
	char seeds[3][40];
	struct links *links;
	struct record *record;
	struct record *probe_record;
	pthread_t probe_thread;
	uint64_t rng;
	const char *routes[3];
	const char *services[3]; /* by route */
	int rate;                /* requests a second */
	int prefill_tokens_per_ms;
	int link_bytes_per_ms;
	int kv_bytes_per_token;
	int added_delay_ms; /* of all links */
	int load_ms;
	char weights[3][20]; /* target, by service */
	struct load_clients *load_clients;
	const char *router_addresses[16];
};

/* A scenario by name. */
struct fleet_scenario {
	const char *name;
	const char *what; /* one line for lists */
	void (*run)(struct test_fleet *fleet);
};

/* ---- fleet_processes.c ---- */

/* Wait so many milliseconds. */
void fleet_sleep_ms(int64_t ms);

/* ---- fleet_operations.c ---- */

/* A new record of this kind; the caller owns it. */
struct json_object *fleet_event(const char *name);

/* Record an event with one field; key NULL: without. */
void fleet_note(struct test_fleet *fleet, const char *name, const char *key, const char *value);

/* Record that a fault begins, and print it. */
void fleet_note_fault(struct test_fleet *fleet, const char *what);

/* ---- fleet_processes.c ---- */

/* The process of a kind with this index, or NULL. */
struct fleet_process *fleet_process_of(struct test_fleet *fleet, enum process_kind kind, int i);

/* Start a process; full_disk: no file of it can grow beyond a few kilobytes. */
void fleet_start_process(struct test_fleet *fleet, struct fleet_process *node, int full);

/* Send a signal that ends a process, and wait until it has ended; harmless if it does not run. */
void fleet_end_process(struct fleet_process *node, int sig);

/* Add a process to the fleet without starting it; routers and controllers get a link of their own. */
struct fleet_process *fleet_add_process(struct test_fleet *fleet, enum process_kind kind, int i);

/* ---- fleet_operations.c ---- */

/* Change the configuration through any controller that is up. Returns the answer's status; the change is
 * recorded, and its revision written to *revision (NULL: not wanted) if it was acknowledged. */
int fleet_change(struct test_fleet *fleet, const char *body, int64_t *revision);

/* Change the configuration; a change that is not acknowledged is recorded. */
void fleet_must_change(struct test_fleet *fleet, const char *body);

/* Set a server's state in the configuration: "serving" or "draining". */
void fleet_set_server_state(struct test_fleet *fleet, struct fleet_process *n, const char *state);

/* Set the weights that a service has to run. */
void fleet_set_target_weights(struct test_fleet *fleet, int svc, const char *weights);

/* Set a tenant's row, isolated or not. */
void fleet_set_tenant(struct test_fleet *fleet, int i, int isolated);

/* Add a tenant's key, or remove it. */
void fleet_set_key(struct test_fleet *fleet, int i, int on);

/* Thread that records every router's state ten times a second until the fleet's stop flag is set. */
void *fleet_probe_thread(void *arg);

/* Index of the controller that leads a shard, or -1. */
int fleet_leader_of(struct test_fleet *fleet, int part);

/* Index of the controller that leads a shard, waiting up to 15 s for one; 0 if there is none. */
int fleet_wait_leader(struct test_fleet *fleet, int part);

/* ---- fleet_processes.c ---- */

/* Processor time so far of all processes of a kind that run, in ms. */
int64_t fleet_cpu_ms(struct test_fleet *fleet, enum process_kind kind);

/* Start a process again with its disk as it is. */
void fleet_restart_process(struct test_fleet *fleet, struct fleet_process *n);

/* Stop a process with SIGSTOP, or let it go on with SIGCONT. */
void fleet_freeze_process(struct fleet_process *node, int on);

/* Let each sync of a controller take so many ms longer, until its fault file is removed. */
void fleet_slow_disk(struct fleet_process *node, int ms);

/* A process's log must hold this message, else the fault had no effect, and the run is undecided. */
void fleet_require_log(struct test_fleet *fleet, struct fleet_process *node, const char *message);

/* Cut all links from and to a process. */
void fleet_isolate(struct test_fleet *fleet, struct fleet_process *n);

/* Drop all rules of the links but the deployment's own delay. */
void fleet_join_links(struct test_fleet *fleet);

/* ---- fleet_server_scenarios.c ---- */

/* Servers are killed, drained, and replaced one by one. */
void fleet_scenario_servers(struct test_fleet *fleet);

/* Target weights change while a server and a controller die; a second change overtakes the first. */
void fleet_scenario_rollout(struct test_fleet *fleet);

/* ---- fleet_processes.c ---- */

/* Set the faults of a server, as JSON; "{}" ends them. */
void fleet_server_fault(struct test_fleet *fleet, int i, const char *what);

/* ---- fleet_server_scenarios.c ---- */

/* The store goes down and comes back empty; reports are lost and late. */
void fleet_scenario_store(struct test_fleet *fleet);

/* Two servers whose answers are another request's, or incomplete, by one kind of fault after the other. */
void fleet_scenario_liars(struct test_fleet *fleet);

/* Links between servers are two hundred times slower, then hang in the middle of fetches; tenants are
 * isolated meanwhile. */
void fleet_scenario_links(struct test_fleet *fleet);

/* Ten times the load for a while, and servers that refuse in the middle of it. */
void fleet_scenario_overload(struct test_fleet *fleet);

/* ---- fleet_operations.c ---- */

/* Call an operators' tool with arguments up to a NULL, its output into a file; an exit code other than the
 * expected one is recorded as a failure. */
void fleet_run_tool(struct test_fleet *fleet, int expected_code, const char *name, const char *out, ...);

/* Write a small text file. */
void fleet_write_file(const char *path, const char *text);

/* All scenarios, the one without faults first; the last entry has no name. */
extern const struct fleet_scenario fleet_scenarios[];

#endif
