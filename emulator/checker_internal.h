/* What the files of the judge share: its records, what its rules ask of them, and the rules themselves.
 * Records are kept in the order in which they were seen; the rules only read them and add breaches. */
#ifndef NL_CHECKER_INTERNAL_H
#define NL_CHECKER_INTERNAL_H

#include "platform_emulator.h"

struct used_block {
	int version, tenant;
};
struct arrival {
	int64_t at_ms, started_at_ms, ended_at_ms;
	char *id, *method, *host, *path, *tenant, *service, *instance;
	uint64_t body, answer_body;
	int server, reject_status, last_event, version, completion, status, last_sent_event, attempt,
	    has_ended;
	struct used_block *used_blocks;
};
struct attempt {
	int64_t sent_at_ms, answered_at_ms;
	char *id, *subject, *method, *host, *path, *key, *seal_id;
	uint64_t body, answer_body;
	int machine, is_probe, expects_stream, last_event, class_id, is_answered, status, seal_run,
	    is_own_answer, is_stream;
	int was_read; /* the machine's process had read the whole request */
	int64_t timeout_ms;
	enum attempt_kind kind;
	enum answer_outcome outcome;
	struct stream_event *events;
	int *runs; /* arrivals */
};
struct submitted_config {
	struct parsed_config *config;
	int64_t base_version, version, sent_at_ms, acked_at_ms, refused_at_ms;
	int is_invalid;
};
struct machine_event {
	int64_t at_ms;
	int machine, is_core, up;
	enum fault_cause cause;
};
/* A SIGHUP to the process of a machine. */
struct reload_event {
	int64_t at_ms;
	int machine;
};
struct listing_event {
	int64_t at_ms;
	char *instance;
	enum listing_state state;
};
struct load_command_event {
	int64_t at_ms, fence;
	char *instance, *lease_owner;
	int status, thawed;
};
struct target_version_event {
	int64_t at_ms;
	int version, is_acked;
};
struct read_back_event {
	int64_t at_ms;
	char *text;
};
struct checker {
	struct timing_bounds bounds;
	struct attempt *attempts;
	struct {
		char *key;
		int value;
	} * attempt_by_id, *tenant_names;
	struct arrival *arrivals;
	struct submitted_config *configs;
	struct machine_event *machine_events;
	struct reload_event *reloads;
	struct listing_event *listings;
	struct load_command_event *load_commands;
	struct target_version_event *target_versions;
	struct read_back_event *read_backs;
	int *unexpected_exits;
	struct {
		char attempt_id[40];
		int64_t at_ms;
	} * unsolicited;
	int64_t final_fault_at_ms, restored_at_ms;
	struct violation *violations;
};

static inline const char *text(const char *string)
{
	return string ? string : "";
}

/* Note that a rule is broken. Example: breach(j, "TWICE", a->t, "try %s ran %d times", a->id, runs); */
__attribute__((format(printf, 4, 5))) void checker_violation(struct checker *j, const char *rule,
							     int64_t at_ms, const char *fmt, ...);

/* ---- stand_judge_state ---- */

enum { STATUS_NO_ROUTE = 404, STATUS_NO_KEY = 401 };

struct config_matches {
	int current, older, invalid, any, all;
	int64_t lowest_version, highest_version;
};

/* Whether the core was settled at t: no trouble within the contact time, and a majority up. */
int core_is_stable(const struct checker *checker, int64_t at_ms);
/* Whether a machine, or a core machine, had unplanned trouble between two times. */
int unplanned(const struct checker *checker, int machine, int64_t from, int64_t to);
/* How often a machine has been started until t. */
int incarnation_of(const struct checker *checker, int machine, int64_t at_ms);
/* The newest moment from which on the core was settled without a break until t, or -1. */
int64_t stable_since(const struct checker *checker, int64_t at_ms);
/* 0: this service may run it; else the status it would be denied with. Service NULL: any. */
int denial_status(const struct parsed_config *config, const struct attempt *attempt, const char *service);
/* Whether a configuration could be taken at all. */
int config_is_valid(const struct submitted_config *config);
/* The version that all machines in touch hold for what is sent at t. */
int64_t min_version_at(const struct checker *checker, int64_t at_ms, int64_t more);
/* Which configurations handle a try this way: run by service, or denied (service NULL, status). */
struct config_matches match_configs(const struct checker *checker, const struct attempt *attempt,
				    const char *service, int status, int64_t observed_at_ms, int64_t from);

/* ---- the rules, by file ---- */

/* stand_judge_answers */
void rule_answers(struct checker *checker);
void rule_order(struct checker *checker);
void rule_runs(struct checker *checker);
/* stand_judge_config */
void rule_config(struct checker *checker);
void rule_added(struct checker *checker);
void rule_keys(struct checker *checker);
void rule_read(struct checker *checker, int64_t end);
void rule_acks(struct checker *checker, int64_t end);
void rule_history(struct checker *checker);
/* stand_judge_servers */
void rule_drain(struct checker *checker);
void rule_one(struct checker *checker);
void rule_memory(struct checker *checker);
void rule_version(struct checker *checker);
/* stand_judge_lost */
void rule_lost(struct checker *checker);
/* stand_judge_service */
void rule_budget(struct checker *checker);
void rule_recover(struct checker *checker);
void rule_ends(struct checker *checker);
void rule_starved(struct checker *checker);

#endif
