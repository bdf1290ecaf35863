/* kit: rehearsals of a whole fleet on one machine: stand-ins for servers, store, callers, platform and
 * links, faults, and a checker that judges each "must never happen" from what the stand-ins recorded. */
#ifndef NL_TEST_FLEET_H
#define NL_TEST_FLEET_H

#include <json-c/json.h>
#include <stdint.h>
#include <stdio.h>

#include "shell.h"
#include "cli_support.h"

/* ---- records: one JSON object a line ---- */
struct record;
struct record *record_open(const char *path);

/* Write one line; takes j over and adds the time. Example: record_put(r, j); */
void record_put(struct record *record, struct json_object *json);
void record_close(struct record *record);

/* ---- the server and store stand-in: rehearsal server ... ---- */
int server_main(int argc, char **argv);

/* ---- callers: threads of the rehearsal ---- */
struct load_client_settings {
	const char *const *router_addresses; /* addresses */
	int router_count;
	const char *const *route_names;
	int route_count;
	int tenant_count;        /* keys are key-0 ... */
	int requests_per_second; /* exchanges a second, all together */
	int thread_count;
	int limit_ms;
	int block_tokens;
	uint64_t seed;
	const char *record_path;
};
struct load_clients;
struct load_clients *load_clients_start(const struct load_client_settings *callers_set);
void load_clients_stop(struct load_clients *clients); /* waits for what is under way */
uint64_t load_clients_completed(const struct load_clients *clients);

/* ---- links between peers: each node is advertised at its link ---- */
struct links;
struct links *links_open(void);
int links_add(struct links *links, const char *at, const char *real);

/* What goes from one advertised address to another: delay in ms, or cut. "" stands for any.
 * Example: links_rule(l, "", "127.9.0.1:7001", 1, 0) cuts all that goes to it. */
void links_rule(struct links *links, const char *from, const char *to, int cut, int delay_ms);
void links_clear(struct links *links);
void links_close(struct links *links);

/* ---- the checker ---- */
struct check_result {
	int undecided, violations;
	char text[8192];
};

/* Judge a run's folder. Untimed leaves out the bounds in seconds, for machines whose speed is not known.
 * Example: check_folder("run-1", 0, &res) */
int check_folder(const char *folder, int untimed, struct check_result *result);

/* ---- scenarios ---- */
struct run_settings {
	const char *name, *folder, *deployment, *program_folder;
	uint64_t seed;
	int small, untimed;
};
int run_scenario(const struct run_settings *settings);
void run_list(FILE *out);

#endif
