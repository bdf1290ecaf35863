/* The test fleet: a whole fleet of real processes on one machine, with emulated servers, store, clients and
 * links, faults, and a checker that judges each "must never happen" of docs/failures.md from the records of
 * the run. It uses the product's own interface; platform_emulator.h has the same for the users' platform. */
#ifndef NL_TEST_FLEET_H
#define NL_TEST_FLEET_H

#include <json-c/json.h>
#include <stdint.h>
#include <stdio.h>

#include "shell.h"
#include "cli_support.h"

/* ---- records: one JSON object a line ---- */

struct record;

/* Open a file to append records to; exits when it cannot be opened. */
struct record *record_open(const char *path);

/* Write one line, in one write; takes the object over and adds the time. Any thread may call it. */
void record_put(struct record *record, struct json_object *json);

/* Close the file. */
void record_close(struct record *record);

/* ---- the emulated server and store ---- */

/* notchlug-emulator server ...; does not return once it serves. */
int server_main(int argc, char **argv);

/* ---- clients: threads of the emulator ---- */

/* Who is called, and how often. */
struct load_client_settings {
	const char *const *router_addresses;
	int router_count;
	const char *const *route_names;
	int route_count;
	int tenant_count;        /* keys are key-0 ... */
	int requests_per_second; /* all together */
	int thread_count;
	int limit_ms; /* of a request */
	int block_tokens;
	uint64_t seed;
	const char *record_path;
};
struct load_clients;

/* Start the threads; the texts of the settings must stay. */
struct load_clients *load_clients_start(const struct load_client_settings *settings);

/* Wait for what is under way, close the records and free the clients. */
void load_clients_stop(struct load_clients *clients);

/* Requests completed so far. */
uint64_t load_clients_completed(const struct load_clients *clients);

/* ---- links between peers: each node is advertised at its link ---- */

struct links;

/* No links yet. */
struct links *links_open(void);

/* Pass frames from an advertised address on to the one where a node listens; 0: it cannot be listened at,
 * which is printed. */
int links_add(struct links *links, const char *at, const char *real);

/* What goes from one advertised address to another: delayed by ms, or cut. "" stands for any.
 * Example: links_rule(links, "", "127.9.0.1:7001", 1, 0) cuts all that goes to it. */
void links_rule(struct links *links, const char *from, const char *to, int cut, int delay_ms);

/* Drop all rules. */
void links_clear(struct links *links);

/* Accept no more connections; the threads end by themselves. */
void links_close(struct links *links);

/* ---- the checker of records ---- */

/* What the checker found. */
struct check_result {
	int undecided; /* records are incomplete, or a fault had no effect */
	int violations;
	char text[8192]; /* for people */
};

/* Judge a run's folder; 1: decided, and no rule is broken. Untimed leaves out the bounds in seconds, for
 * machines whose speed is not known. Example: check_folder("run-1", 0, &result) */
int check_folder(const char *folder, int untimed, struct check_result *result);

/* ---- scenarios ---- */

/* What to run, and where. */
struct run_settings {
	const char *name;
	const char *folder; /* is made; must not exist */
	const char *deployment;
	const char *program_folder;
	const char *old_program_folder; /* programs of an older build, for every other node; NULL: none */
	uint64_t seed;
	int small;
	int untimed;
};

/* Run a scenario, or "up"; the exit code: 0 no rule broken, 1 broken or undecided, 2 bad usage. */
int run_scenario(const struct run_settings *settings);

/* Print all scenarios. */
void run_list(FILE *out);

#endif
