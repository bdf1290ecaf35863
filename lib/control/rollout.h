/* rollout: orders to servers: named weights are rolled out, kept parts that a purge covers are dropped.
 *   rollout.c             servers that are rows of the table
 *   rollout_instances.c   servers of the platform's list
 *   rollout_pace.c        how many of those load at once, and by when */
#ifndef NL_ROLLOUT_H
#define NL_ROLLOUT_H

#include "core.h"

struct controller;
struct controller_server;

enum {
	ROLLOUT_POLL_MS = 200,        /* ms between looks at a server that should soon have loaded */
	ROLLOUT_PLANNED_PERCENT = 90, /* per cent of the bound in which all is planned to be done */
	ROLLOUT_REPORT_LAG_MS =
	    700, /* ms after which a server's report cannot be older than what it was told */
	ROLLOUT_REPLY_TIMEOUT_MS = 1000,    /* ms after which an order or a look has got no answer */
	ROLLOUT_DEADLINE_PERCENT = 95,      /* per cent of the bound after which all that are left are told */
	ROLLOUT_REJECTED_BACKOFF_MS = 2000, /* ms before one that refuses an order gets another */
	ROLLOUT_STALL_DIVISOR =
	    4, /* a server that loads for this part of the bound, a quarter, counts as stalled */
	ROLLOUT_NOTICE_DIVISOR =
	    8, /* of a load, an eighth: before it, routers are told to send the server nothing more */
	ROLLOUT_NOTICE_MAX_MS = 500,   /* ms of that notice at the most; less than ROLLOUT_INTENT_MS */
	ROLLOUT_INTENT_MS = 1000,      /* ms after an order was logged in which it may leave */
	ROLLOUT_LEASE_MARGIN_MS = 100, /* ms before the lease's end after which no order leaves */
	ROLLOUT_LEASE_SLACK_MS = 300   /* ms beyond the lease for the last rollout's orders to have ended */
};

/* What is known of an order to a server: nothing is under way; routers have notice that it will be given; it
 * is being logged; it has left; whether it was taken is not known; the server loads. */
enum rollout_load_state {
	ROLLOUT_IDLE,
	ROLLOUT_NOTICE,
	ROLLOUT_INTENDED,
	ROLLOUT_COMMANDED,
	ROLLOUT_UNCONFIRMED,
	ROLLOUT_LOADING
};

/* A listed server that is ordered, or looked at, until it has what is named. */
struct rollout_server {
	char *name, *target_weights; /* weights: what it was ordered to load */
	enum rollout_load_state state;
	uint64_t command_token, poll_token; /* of what is under way */
	int64_t commanded_at_ms, polled_at_ms, retry_at_ms;
	int max_concurrent_loads; /* how many were under way at the most meanwhile, itself counted */
};

/* A model's roll-out: when its end was logged last; since when servers load without a pause; how many load at
 * once, at first and now; how long a load takes then, and with more at once; whether more were too many. */
struct rollout_model {
	char *key;
	struct rollout_pace {
		int64_t completion_logged_at_ms, loading_since_ms;
		int base_concurrency, concurrency, base_load_ms, extra_load_ms, extra_samples, is_saturated;
	} value;
};

struct rollout {
	struct rollout_server *servers; /* stb_ds */
	struct rollout_model *models;   /* stb_ds */
	uint64_t term, command_seq;     /* of the leadership; orders given in it */
	struct rollout_intent_logged {
		char *key;
		int64_t value;
	} * intents;              /* stb_ds: when orders to a server that were logged were applied here */
	int64_t unknown_until_ms; /* what was logged before is not known here */
	int64_t term_started_at_ms,
	    takeover_wait_ms; /* of the leadership; how long what a leader before ordered must be over */
	int is_fenced;        /* a server has seen a higher fence */
	uint64_t done_stamp, done_revision; /* of what was seen and named when nothing was left to do */
};

/* Look at the servers of the table, and order what is due. Example: rollout_tick(r, now, o); */
void rollout_tick(struct controller *controller, int64_t now, struct command_list *out);

/* The followed table has changed; before: when the last good asking was that did not say so.
 * Example: rollout_on_versions(r, before); */
void rollout_on_target_change(struct controller *controller, int64_t last_unchanged_ms);

/* A server's report. Example: rollout_report(r, &r->server[i], body, now, o); */
void rollout_on_report(struct controller *controller, struct controller_server *server, const char *body,
		       int64_t now, struct command_list *out);

/* Leadership of the control group begins; what the leader before left under way is looked at. Example:
 * rollout_start(r, now); */
void rollout_start_term(struct controller *controller, int64_t now);

/* Roll named weights out to the listed servers. Example: rollout_instances(r, now, o); */
void rollout_instances_tick(struct controller *controller, int64_t now, struct command_list *out);

/* Answers to an order and to a look. Example: rollout_on_ordered(r, token, 202, 0, now, o); */
void rollout_on_command_reply(struct controller *controller, uint64_t token, int status, int never_sent,
			      int64_t now, struct command_list *out);
void rollout_on_poll_reply(struct controller *controller, uint64_t token, int status, const char *weights,
			   int loading, int64_t now);

/* An order to a server that was logged is applied: from now on it may leave. Example: rollout_order_logged(r,
 * "i-7", now); */
void rollout_intent_logged(struct controller *controller, const char *server, int64_t now);

void rollout_open(struct rollout *rollout, int64_t now);
void rollout_close(struct rollout *rollout);

#endif
