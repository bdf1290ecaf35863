/* What the files of the checker of records share: what is known of each request, router, server and row,
 * filled in the order of time by the rules. Rules are named by their letters in docs/failures.md. Maps own
 * their keys (sh_new_strdup). */
#ifndef NL_RECORD_CHECKER_INTERNAL_H
#define NL_RECORD_CHECKER_INTERNAL_H

#include <stdbool.h>

#include "containers.h"
#include "test_fleet.h"

/* A record; kind is owned by its JSON. */
struct row {
	int64_t at_ms;
	struct json_object *json;
	const char *kind;
};

/* What is known of one request, by its id. */
struct request_state {
	int run_count;
	int send_count;
	int answer_count;
	int64_t requested_at_ms;
	char server[64];
};

/* Map entry: requests by id. */
struct request_row {
	char *key;
	struct request_state value;
};

/* One request at one router, by "ID ROUTER": a client may send it to several. */
struct submission_state {
	int64_t refused_at_ms;
	bool has_run;
};

/* Map entry: requests at one router, by "ID ROUTER". */
struct submission_row {
	char *key;
	struct submission_state value;
};

/* A router's revision as a probe saw it. */
struct router_probe {
	int64_t requested_at_ms;
	int64_t revision;
};

/* One incarnation of a router, by its id: its address, and its revision at each probe. */
struct router_state {
	char address[64];
	struct router_probe *probes; /* stb_ds */
};

/* Map entry: routers by the id of their incarnation. */
struct router_row {
	char *key;
	struct router_state value;
};

/* Weights that a server has loaded. */
struct completed_load {
	int64_t loaded_at_ms;
	char weights[64];
};

/* A server by its name; times are 0 until it happened. */
struct server_state {
	int64_t drained_at_ms;
	int64_t undrained_at_ms;
	int64_t drain_horizon;
	int64_t up_at_ms;
	int64_t commanded_at_ms;
	int64_t fence;
	char weights[64];
	char rollout_leader[32];
	char service[64];
	struct completed_load *loads; /* stb_ds */
};

/* Map entry: servers by name. */
struct server_row {
	char *key;
	struct server_state value;
};

/* A span of time, by a key or a tenant; ended_at_ms is 0 while it lasts. */
struct span {
	int64_t started_at_ms;
	int64_t ended_at_ms;
};

/* Map entry: spans by key or tenant. */
struct span_row {
	char *key;
	struct span value;
};

/* A row of the configuration table, by "KIND NAME": its newest acknowledged value, and values that it may
 * have instead. */
struct table_row_state {
	struct json_object *acknowledged;
	struct json_object **possible;
	int64_t revision;
};

/* Map entry: rows of the configuration table by "KIND NAME". */
struct config_table_row {
	char *key;
	struct table_row_state value;
};

/* The weights that a service has to run from a time on. */
struct target_weights {
	int64_t set_at_ms;
	char service[64];
	char weights[64];
};

/* An acknowledged change of the configuration. */
struct acknowledgement {
	int64_t revision;
	int64_t at_ms;
};

/* A request sent to a server; is_retry: not the first one by a router. */
struct logged_send {
	int64_t at_ms;
	bool is_retry;
};

/* All that the records have shown so far. */
struct record_checker {
	struct check_result *result;
	int untimed;
	struct row *rows;
	struct request_row *requests;
	struct submission_row *submissions;
	struct router_row *routers;
	struct server_row *servers;
	struct span_row *removed_keys;
	struct span_row *isolated_tenants;
	struct config_table_row *table;
	struct {
		char *key;
		int64_t value;
	} * piece_counts, *revision_by_address;
	struct target_weights *targets;
	struct acknowledgement *acks; /* stb_ds */
	struct logged_send *send_log; /* stb_ds, in order of time */
	int64_t acked_revision;
	int64_t final_revision;
	int64_t horizon;
	int64_t last_fault_at_ms;
	int64_t last_complete_at_ms;
	int64_t longest_pause_ms;
	int64_t sends;
	int64_t first_sends;
	int64_t complete;
	int64_t refused;
	int64_t unknown;
	int64_t prefilled_tokens;
	int64_t prompt_tokens;
	int64_t fetched_blocks;
	int closed;
	int finished;
	int probe_count;
	int server_record_count;
};

#define ENTRY(map, k)                                                                       \
	(shgeti(map, k) < 0 ? (void)shput(map, k, ((typeof((map)->value)){ 0 })) : (void)0, \
	 &shgetp(map, k)->value)

/* ---- record_checker.c ---- */

/* Note that a rule is broken, by its letter; the first twenty are printed. */
void report_violation(struct record_checker *checker, char rule, const char *fmt, ...);

/* ---- record_checker_rules.c ---- */

/* A client sends a request. */
void records_on_request(struct record_checker *checker, struct json_object *json, int64_t at_ms);

/* A router has sent a request to a server. */
void records_on_send(struct record_checker *checker, struct json_object *json, int64_t at_ms);

/* A client has got its answer. */
void records_on_answer(struct record_checker *checker, struct json_object *json, int64_t at_ms);

/* A probe of a router's state. */
void records_on_state(struct record_checker *checker, struct json_object *json, int64_t at_ms);

/* A server begins a request. */
void records_on_begin(struct record_checker *checker, struct json_object *json, int64_t at_ms);

/* A server receives a load command. */
void records_on_command(struct record_checker *checker, struct json_object *j, int64_t at_ms);

/* A server has loaded weights. */
void records_on_loaded(struct record_checker *checker, struct json_object *json, int64_t at_ms);

/* Weights that stayed named for 25 s are on every server of the service 25 s after the naming, or after the
 * server came up. A server says with "up" what it was started with. */
void records_check_targets(struct record_checker *checker, int64_t end);

/* Rule J: retries in any ten seconds. */
void records_check_retries(struct record_checker *checker);

/* A change whose outcome is not known may or may not show; an acknowledged one must, unless a later one hid
 * it. */
void records_on_change(struct record_checker *checker, struct json_object *change, int64_t revision);

/* Rule K: the table at the end holds what was acknowledged. */
void records_check_table(struct record_checker *checker, struct json_object *rows);

#endif
