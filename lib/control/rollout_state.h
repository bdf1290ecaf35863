/* rollout_state: what the rollout to listed servers keeps. Soft state of the control shard's leader, but for
 * the logged intents, which all members keep. Owned by the rollout's modules; here so that a controller can
 * hold it. */
#ifndef NL_ROLLOUT_STATE_H
#define NL_ROLLOUT_STATE_H

#include <stdint.h>

/* What is known of a command to a listed server. */
enum rollout_load_state {
	ROLLOUT_IDLE,        /* nothing is under way */
	ROLLOUT_NOTICE,      /* routers have notice that a command will come */
	ROLLOUT_INTENDED,    /* it is being logged */
	ROLLOUT_COMMANDED,   /* it has left */
	ROLLOUT_UNCONFIRMED, /* whether it was taken is not known */
	ROLLOUT_LOADING      /* the server loads */
};

/* A listed server that is commanded, or polled, until it has the target weights. */
struct rollout_server {
	char *name;           /* owned */
	char *target_weights; /* that it was commanded to load; owned */
	enum rollout_load_state state;
	uint64_t command_token;  /* of the command under way; 0: none */
	uint64_t poll_token;     /* of the poll under way; 0: none */
	int64_t commanded_at_ms; /* when its state last advanced; 0: by a leader before */
	int64_t polled_at_ms;
	int64_t retry_at_ms;      /* no command before */
	int max_concurrent_loads; /* at the most while it loaded, itself counted */
};

/* What is learnt of a model's loads. */
struct rollout_model {
	char *key; /* the model's name */
	struct rollout_pace {
		int64_t completion_logged_at_ms; /* when the end of its rollout was logged last */
		int64_t loading_since_ms;        /* since when servers load without a pause */
		int base_concurrency;            /* how many load at once at first; 0: not known yet */
		int concurrency;                 /* how many load at once now */
		int base_load_ms;                /* how long a load takes at base_concurrency; 0: not known */
		int extra_load_ms;               /* how long with more at once; 0: not known */
		int extra_load_count;            /* loads with more at once so far */
		int is_saturated;                /* more at once were too many */
	} value;
};

/* When a command to a server was logged, as it was applied here. */
struct rollout_intent {
	char *key; /* the server's name */
	int64_t value;
};

/* The rollout to listed servers, on the control shard's leader; part of struct controller. */
struct rollout {
	struct rollout_server *servers; /* stb_ds */
	struct rollout_model *models;   /* stb_ds, by name */
	uint64_t term;                  /* of the leadership */
	uint64_t command_seq;           /* commands in it */
	struct rollout_intent *intents; /* stb_ds, by server; on followers too */
	int64_t unknown_until_ms;       /* commands that were logged before are not known here */
	int64_t term_started_at_ms;
	int64_t takeover_wait_ms;    /* after an intent, for the command of the leader before to have ended */
	int is_fenced;               /* a server has seen a higher fence: no more commands in this term */
	uint64_t completed_stamp;    /* of the instances when nothing was left to do */
	uint64_t completed_revision; /* of the table at that time */
};

#endif
