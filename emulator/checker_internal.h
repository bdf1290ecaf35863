/* What the files of the checker share: its records, what its rules ask of them, and the rules themselves.
 * Records are kept in the order in which they came; the rules only read them and add violations. All is owned
 * by struct checker. */
#ifndef NL_CHECKER_INTERNAL_H
#define NL_CHECKER_INTERNAL_H

#include <stdbool.h>

#include "checker.h"

/* A block that a run reused: the weights' version, and its tenant as an index of tenant_names. */
struct used_block {
	int version;
	int tenant;
};

/* A request at a model server, from its arrival to its end. */
struct arrival {
	int64_t at_ms;
	int64_t started_at_ms; /* -1: it did not run */
	int64_t ended_at_ms;   /* -1: not yet */
	char *id;
	char *method;
	char *host;
	char *path;
	char *tenant;
	char *service;
	char *instance;
	uint64_t body;
	uint64_t answer_body;
	int server;
	int reject_status; /* 0: admitted */
	int last_event;
	int version;    /* of the weights */
	int completion; /* 1 complete, 0 the server broke off, -1 its caller left */
	int status;     /* of the answer */
	int last_sent_event;
	int attempt; /* index; -1: nobody sent it */
	bool has_ended;
	struct used_block *used_blocks; /* stb_ds */
};

/* A client's attempt, from its sending to its end. */
struct attempt {
	int64_t sent_at_ms;
	int64_t answered_at_ms;
	char *id;
	char *subject;
	char *method;
	char *host;
	char *path;
	char *key;
	char *seal_id;
	uint64_t body;
	uint64_t answer_body;
	int machine;
	bool is_probe;
	int expects_stream;
	int last_event;
	int class_id;
	bool is_answered;
	int status;
	int seal_run; /* index of arrivals; -1: none */
	bool is_own_answer;
	bool is_stream;
	bool was_read; /* the machine's process had read the whole request */
	int64_t timeout_ms;
	enum attempt_kind kind;
	enum answer_outcome outcome;
	struct stream_event *events; /* stb_ds */
	int *runs;                   /* stb_ds: indexes of arrivals */
};

/* A configuration that the operator sent; times are -1 until they come. */
struct submitted_config {
	struct parsed_config *config; /* NULL: it cannot be parsed */
	int64_t base_version;
	int64_t version;
	int64_t sent_at_ms;
	int64_t acked_at_ms;
	int64_t refused_at_ms;
	bool is_invalid;
};

/* A machine went down, came up or was removed. */
struct machine_event {
	int64_t at_ms;
	int machine;
	bool is_core;
	int up; /* 0 down, 1 up, -1 removed */
	enum fault_cause cause;
};

/* A SIGHUP to the process of a machine. */
struct reload_event {
	int64_t at_ms;
	int machine;
};

/* The list showed another state of an instance. */
struct listing_event {
	int64_t at_ms;
	char *instance;
	enum listing_state state;
};

/* A server got a load command. */
struct load_command_event {
	int64_t at_ms;
	int64_t fence;
	char *instance;
	char *lease_owner;
	int status;
	bool thawed; /* it may have been sent long ago */
};

/* The operator set a target version, or was acknowledged. */
struct target_version_event {
	int64_t at_ms;
	int version;
	bool is_acked;
};

/* The configuration as it was read back. */
struct read_back_event {
	int64_t at_ms;
	char *text; /* NULL: it did not come */
};

/* Bytes that came where no request waited. */
struct unsolicited_answer {
	char attempt_id[40];
	int64_t at_ms;
};

/* An index by name (stb_ds). */
struct index_by_name {
	char *key;
	int value;
};

/* All records, and the violations found in them. Arrays and maps are of stb_ds. */
struct checker {
	struct timing_bounds bounds;
	struct attempt *attempts;
	struct index_by_name *attempt_by_id;
	struct index_by_name *tenant_names;
	struct arrival *arrivals;
	struct submitted_config *configs;
	struct machine_event *machine_events;
	struct reload_event *reloads;
	struct listing_event *listings;
	struct load_command_event *load_commands;
	struct target_version_event *target_versions;
	struct read_back_event *read_backs;
	int *unexpected_exits; /* machines */
	struct unsolicited_answer *unsolicited;
	int64_t final_fault_at_ms; /* -1: none */
	int64_t restored_at_ms;
	struct violation *violations;
};

/* The string, or an empty one for NULL. */
static inline const char *text(const char *string)
{
	return string ? string : "";
}

/* Note that a rule is broken.
 * Example: checker_violation(checker, "TWICE", attempt->sent_at_ms, "try %s ran %d times", attempt->id,
 * runs); */
__attribute__((format(printf, 4, 5))) void checker_violation(struct checker *checker, const char *rule,
							     int64_t at_ms, const char *fmt, ...);

/* ---- checker_state.c ---- */

enum { STATUS_NO_ROUTE = 404, STATUS_NO_KEY = 401 };

/* Which configurations handle a request in one way. */
struct config_matches {
	int current; /* a valid one that may be in force */
	int older;   /* a valid one before those */
	int invalid; /* a refused or invalid one */
	int any;
	int all; /* all that may be in force admit the request */
	int64_t lowest_version;
	int64_t highest_version; /* -1: none */
};

/* Whether the core was stable: no fault of a core machine within the contact time, and a majority up. */
int core_is_stable(const struct checker *checker, int64_t at_ms);

/* Whether a machine, or a core machine, had an unplanned fault between two times. */
int unplanned(const struct checker *checker, int machine, int64_t from, int64_t to);

/* How often a machine has been started until a time. */
int incarnation_of(const struct checker *checker, int machine, int64_t at_ms);

/* The newest moment from which on the core was stable without a break until a time, or -1. */
int64_t stable_since(const struct checker *checker, int64_t at_ms);

/* 0: the configuration sends the request to this service (NULL: to any); else the status that it would be
 * denied with. */
int denial_status(const struct parsed_config *config, const struct attempt *attempt, const char *service);

/* Whether a configuration could be acknowledged at all. */
int config_is_valid(const struct submitted_config *config);

/* The version that all machines in contact have for what is sent at a time, with so many ms more to apply it;
 * -1: none. */
int64_t min_version_at(const struct checker *checker, int64_t at_ms, int64_t more);

/* Which configurations handle an attempt this way: run by service, or denied (service NULL) with a status.
 * Those sent after observed_at_ms are left out; those from a version on may be in force. */
struct config_matches match_configs(const struct checker *checker, const struct attempt *attempt,
				    const char *service, int status, int64_t observed_at_ms, int64_t from);

/* ---- checker_answers.c: rules about single requests ---- */

/* MIXED: an answer is its own request's, and its server's. */
void rule_answers(struct checker *checker);
/* ORDER, MIXED: a stream's events come in order, from one run unless resumed. */
void rule_order(struct checker *checker);
/* UNASKED, ROUTE, TWICE, REFUSED: what runs was sent, may run there, and runs no more often than it may. */
void rule_runs(struct checker *checker);

/* ---- checker_config.c: rules about configurations and keys ---- */

/* CONFIG, DENIED: requests are handled by a version in force, machines do not go back, acknowledgements fit.
 */
void rule_config(struct checker *checker);
/* CONFIG: routes added later are served like the first ones. */
void rule_added(struct checker *checker);
/* CONFIG: a revoked key is used nowhere after RevokeMs. */
void rule_keys(struct checker *checker);
/* CONFIG, LOST: what is read back at the end is what was acknowledged. */
void rule_read(struct checker *checker, int64_t end);
/* ACKS: valid configurations and targets are acknowledged in time by a stable core. */
void rule_acks(struct checker *checker, int64_t end);
/* CONFIG, LOST: the operator's history fits one register. */
void rule_history(struct checker *checker);

/* ---- checker_servers.c: rules about model servers ---- */

/* DRAIN: a draining server gets nothing after DrainMs. */
void rule_drain(struct checker *checker);
/* ONE: one lease owner at a time commands a server. */
void rule_one(struct checker *checker);
/* STALE, WALL: no block of other weights, or of another tenant under isolation, is reused. */
void rule_memory(struct checker *checker);
/* VERSION: requests begin on the target version after VersionMs. */
void rule_version(struct checker *checker);

/* ---- checker_lost.c ---- */

/* LOST: planned work cuts off no request that was read. */
void rule_lost(struct checker *checker);

/* ---- checker_service.c: rules about service as a whole ---- */

/* BUDGET: retries stay within a share of the requests. */
void rule_budget(struct checker *checker);
/* RECOVER: service is back after the final fault. */
void rule_recover(struct checker *checker);
/* FAULT: processes do not end by themselves. */
void rule_ends(struct checker *checker);
/* STARVED: no tenant is served far worse than all. */
void rule_starved(struct checker *checker);

#endif
