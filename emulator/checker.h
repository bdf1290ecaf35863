/* The checker of the platform's emulator: it records what clients, servers, the operator and the list saw,
 * and judges every rule of the platform's pages at the end, for some rules look forward.
 *
 * Times are milliseconds of the run, and records of one kind come in the order of time. A rule's name is the
 * pages' own. */
#ifndef NL_CHECKER_H
#define NL_CHECKER_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "parsed_config.h"

/* The bounds of the platform's sheet by which the rules judge. */
struct timing_bounds {
	int64_t contact_ms;
	int64_t ack_ms;
	int64_t catch_up_ms;
	int64_t drain_ms;
	int64_t grace_ms;
	int64_t loss_slack_ms;
	int64_t config_apply_ms;
	int64_t revert_slack_ms;
	int64_t drift_max_ms;
	int64_t revoke_ms;
	int64_t retry_window_ms;
	int64_t retry_slack; /* attempts */
	int64_t recovery_ms;
	int64_t transit_ms;
	int64_t lease_ms;
	int64_t thaw_slack_ms;
	int64_t version_ms;
	double retry_ratio; /* retries to requests */
	int fence_checked;  /* servers refuse a load command with an older fence */
	int revoke_global;  /* revoked keys are judged everywhere */
};

/* The bounds of the sheet. */
extern const struct timing_bounds default_timing_bounds;

struct checker;

/* A rule that was broken. */
struct violation {
	char rule[16];
	int64_t at_ms;
	char text[240];
};

enum { NO_MACHINE = -1 };

/* A new checker without records; the caller closes it. Example: checker =
 * checker_open(&default_timing_bounds); */
struct checker *checker_open(const struct timing_bounds *bounds);

/* Free the checker with all its records. */
void checker_close(struct checker *checker);

/* ---- what clients and servers see of a request ---- */

/* How often a request may run. */
enum attempt_kind { ATTEMPT_ONCE, ATTEMPT_RESUMABLE, ATTEMPT_IDEMPOTENT };

/* An attempt as its client sends it. */
struct attempt_record {
	const char *id;
	const char *subject; /* the same for all attempts of one request */
	const char *method;
	const char *host;
	const char *path;
	const char *key;
	uint64_t body; /* its hash */
	int machine;   /* that takes it; NO_MACHINE: none */
	enum attempt_kind kind;
	int last_event; /* resumed behind this event; 0: from the start */
	bool is_probe;  /* asks for what may not be there: earns nothing and is never denied wrongly */
	int expects_stream;
	int64_t timeout_ms;
	int class_id;
};

/* A client sends an attempt. Texts are copied. */
void checker_record_attempt(struct checker *checker, int64_t at_ms, const struct attempt_record *record);

/* A request as it arrives at a model server. */
struct arrival_record {
	const char *id; /* the attempt's; NULL: none */
	const char *method;
	const char *host;
	const char *path;
	const char *tenant;
	const char *service;
	const char *instance;
	uint64_t body; /* its hash */
	int server;
	int reject_status; /* 0: admitted */
	int last_event;
};

/* A request arrives at a server. Returns the number of its run, for what follows. Texts are copied.
 * Example: run = checker_record_arrival(checker, now, &arrival); */
int checker_record_arrival(struct checker *checker, int64_t at_ms, const struct arrival_record *record);

/* A cached block that a run used: the weights' version and the tenant that it was made under. */
struct reused_block {
	int version;
	const char *tenant;
};

/* A server starts a run on a version of the weights, with n reused blocks; a second call adds blocks. */
void checker_record_start(struct checker *checker, int64_t at_ms, int run, int version,
			  const struct reused_block *record, int n);

/* A run ends. how: 1 the complete answer went out, 0 the server broke off, -1 its caller left.
 * Example: checker_record_end(checker, now, run, 1, 200, hash, 12); */
void checker_record_end(struct checker *checker, int64_t at_ms, int run, int how, int status, uint64_t body,
			int last_event);

/* A server rejected a request that had arrived as admitted. */
void checker_record_rejection(struct checker *checker, int run, int status);

/* How an attempt ended for its client. */
enum answer_outcome {
	ANSWER_COMPLETE,
	ANSWER_CUT_OFF,    /* the connection ended within an answer */
	ANSWER_NONE,       /* the connection ended without an answer */
	ANSWER_GARBLED,    /* bytes that are no answer */
	ANSWER_ABANDONED,  /* the client's time-out */
	ANSWER_UNSOLICITED /* bytes where no request waited */
};

/* An event of a streamed answer: its number, and the run that it says it is of. */
struct stream_event {
	int id;
	int run_id;
};

/* An answer as its client got it. */
struct answer_record {
	const char *id;      /* the attempt's */
	const char *seal_id; /* the attempt's id in the answer; NULL: none */
	int status;
	int seal_run;       /* run named by the server's seal; -1: none */
	bool is_own_answer; /* it bears neither seal nor a server's id: the system's own */
	bool was_read;      /* the machine's process had read the whole request */
	enum answer_outcome outcome;
	uint64_t body; /* its hash */
	const struct stream_event *events;
	int event_count;
	bool is_stream;
};

/* An attempt ends for its client. Texts and events are copied. */
void checker_record_answer(struct checker *checker, int64_t at_ms, const struct answer_record *answer);

/* ---- what the operator sees ---- */

/* What became of a configuration. */
enum config_outcome { CONFIG_OUTCOME_SENT, CONFIG_OUTCOME_ACKED, CONFIG_OUTCOME_REFUSED };

/* The operator sends a configuration on top of a version; invalid: it is known to be. Takes the configuration
 * over (NULL: it cannot be parsed). Returns its number. Example: n = checker_record_config(checker, now,
 * config, 5, 0); */
int checker_record_config(struct checker *checker, int64_t at_ms, struct parsed_config *config, int64_t base,
			  int invalid);

/* A configuration is acknowledged or refused; only the first of each counts. */
void checker_record_config_outcome(struct checker *checker, int64_t at_ms, int config,
				   enum config_outcome outcome);

/* The configuration as it was read back; NULL: it did not come. */
void checker_record_read_back(struct checker *checker, int64_t at_ms, const char *string);

/* The operator sets a version of the weights as the target, or is acknowledged. */
void checker_record_target_version(struct checker *checker, int64_t at_ms, int version, int acked);

/* ---- what the list and the servers see ---- */

/* A server's state as the list shows it. */
enum listing_state { LISTED_READY, LISTED_DRAINING, LISTED_REMOVED };

/* The list shows another state of a server's instance from now on. */
void checker_record_listing(struct checker *checker, int64_t at_ms, const char *instance,
			    enum listing_state state);

/* A load command as a server got it. */
struct load_command_record {
	const char *instance;
	const char *lease_owner;
	int64_t fence;
	int status;
	bool thawed; /* it may have been sent long ago */
};

/* A server got a load command. Texts are copied. */
void checker_record_load_command(struct checker *checker, int64_t at_ms,
				 const struct load_command_record *record);

/* ---- what happens to machines ---- */

/* Why a machine goes down or stands still; CALM: it comes up. */
enum fault_cause { CALM, PLANNED, UNPLANNED };

/* A machine goes down (up 0), comes up as a new incarnation (1), or is removed for good (-1). */
void checker_record_machine(struct checker *checker, int64_t at_ms, int machine, int core,
			    enum fault_cause cause, int up);

/* The process of a machine was sent SIGHUP. */
void checker_record_reload(struct checker *checker, int64_t at_ms, int machine);

/* The process of a machine ended by itself. */
void checker_record_unexpected_exit(struct checker *checker, int64_t at_ms, int machine);

/* The run's final fault and its end: service has to recover from there. */
void checker_set_final_fault(struct checker *checker, int64_t fault_at_ms, int64_t restored_at_ms);

/* ---- judging ---- */

/* Whether a machine was up and in contact with a stable core. */
int checker_in_contact(const struct checker *checker, int machine, int64_t at_ms);

/* Judge all records. Returns the number of violations, which stay the checker's, in *violations (NULL: only
 * count). Example: n = checker_run(checker, end, &violations); */
int checker_run(struct checker *checker, int64_t end, const struct violation **violations);

/* How many requests the rule VERSION was judged on: as they began a newer target had been acknowledged for
 * longer than the bound, over one stretch with a stable core, and their sender was in contact. 0: the run
 * shows nothing of that rule. */
int checker_version_rule_exercised(const struct checker *checker);

/* Print what was seen of one attempt. Example: checker_print_attempt(checker, "9c41d07be2a35f68", stdout); */
void checker_print_attempt(const struct checker *checker, const char *id, FILE *out);

#endif
