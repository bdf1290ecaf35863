/* rollout_state: the state of the rollout to listed servers, which are the servers of the platform's endpoint
 * list.
 *
 * It is soft state of the control shard's leader, except for the logged intents, which all members of the
 * shard keep. The rollout modules write it; controller.c sets intents_unknown_until_ms. */
#ifndef NL_ROLLOUT_STATE_H
#define NL_ROLLOUT_STATE_H

#include <stdint.h>

/* Progress of the load command to one listed server. */
enum rollout_load_state {
	ROLLOUT_IDLE,        /* no command is in progress */
	ROLLOUT_NOTICE,      /* routers have been notified that a command will follow */
	ROLLOUT_INTENDED,    /* the command is being logged */
	ROLLOUT_COMMANDED,   /* the command was sent, and no reply has arrived */
	ROLLOUT_UNCONFIRMED, /* it is unknown whether the server accepted the command */
	ROLLOUT_LOADING      /* the server is loading the weights */
};

/* A listed server that is being commanded or polled until it has the target version. */
struct rollout_server {
	char *name;           /* owned */
	char *target_weights; /* version that it was last commanded to load; owned */
	enum rollout_load_state state;
	uint64_t command_token;  /* identifies the load command in flight; 0: none */
	uint64_t poll_token;     /* identifies the poll in flight; 0: none */
	int64_t commanded_at_ms; /* when its state last advanced; 0: under an earlier leader */
	int64_t polled_at_ms;
	int64_t retry_at_ms;      /* no command is sent before this time */
	int max_concurrent_loads; /* most servers that loaded at the same time as this one, including it */
};

/* Observed durations of a model's loads, and the concurrency derived from them. */
struct rollout_model {
	char *key; /* the model's name */
	struct rollout_pace {
		int64_t completion_logged_at_ms; /* when the completion of a rollout was last logged */
		int64_t loading_since_ms;        /* since when at least one server has been loading */
		int base_concurrency;            /* initial number of concurrent loads; 0: not set yet */
		int concurrency;                 /* current number of concurrent loads */
		int base_load_ms;     /* load duration at up to base_concurrency; 0: not measured */
		int extra_load_ms;    /* load duration above base_concurrency; 0: not measured */
		int extra_load_count; /* loads measured above base_concurrency */
		int is_saturated;     /* loads above base_concurrency were slower; no increase any more */
	} value;
};

/* When the newest log entry of a load command to a server was applied on this node. */
struct rollout_intent {
	char *key;     /* the server's name */
	int64_t value; /* time in ms */
};

/* The rollout to listed servers. */
struct rollout {
	struct rollout_server *servers;   /* stb_ds */
	struct rollout_model *models;     /* stb_ds map, by model name */
	uint64_t term;                    /* in which this node last led the control shard */
	uint64_t command_sequence;        /* sequence number of the newest command in this term */
	struct rollout_intent *intents;   /* stb_ds map, by server name; kept on followers too */
	int64_t intents_unknown_until_ms; /* intents applied up to this time may be missing here */
	int64_t term_started_at_ms;
	/* wait for commands of an earlier leader to expire, counted from the end of their intent's validity
	 */
	int64_t takeover_wait_ms;
	int is_fenced; /* a server rejected this term's fencing token: no more commands in this term */
	uint64_t completed_stamp;    /* instances.stamp when all rollouts were last complete */
	uint64_t completed_revision; /* revision of the table at that time */
};

#endif
