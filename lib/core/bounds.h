/* bounds: what a deployment promises its users, as durations and counts that the product works within. Read
 * from the settings (platform/settings.c); bounds_default holds where nothing is set. */
#ifndef NL_BOUNDS_H
#define NL_BOUNDS_H

#include <stdint.h>

/* Set once at the start, and again when the settings are read anew. */
struct bounds {
	int config_ms;   /* a change of configuration is in force everywhere */
	int revoke_ms;   /* a removed key is rejected everywhere */
	int drift_ms;    /* how much later than these while there is no configuration leader */
	int contact_ms;  /* without a fault for so long, a node counts as in contact */
	int drain_ms;    /* a draining server receives no more requests */
	int ack_ms;      /* an operator's change is acknowledged */
	int catch_up_ms; /* a member that was lost has been replaced, or one that returned has caught up */
	int grace_ms;    /* between the request to stop a process and its end by force */
	int lease_ms; /* a new lease holder waits so long for servers with load commands of an earlier one */
	int thaw_ms;  /* how much later a frozen process may still act after it resumes */
	int recover_ms;            /* the fleet serves again after lost machines are back */
	int rollout_ms;            /* target weights have reached every server */
	int retry_budget_permille; /* retries over the fleet, per mille of requests in any window, */
	int retry_budget_slack;    /* and so many more */
	int retry_budget_window_ms;
	int replicas; /* of each shard: one more than twice the machines that may be lost at once */
	int list_calls_millihertz;    /* calls to the list of servers, in thousandths a second, for the whole
					 fleet; 0: no list */
	int discover_instances;       /* servers come from the list, not from the configuration */
	int link_kbps;                /* of this machine's own link; 0: no bound is known */
	int experiments;              /* an experiment is on: decisions are logged too */
	uint32_t disabled_mechanisms; /* that an experiment has switched off, as a set: mechanism.h */
};

extern const struct bounds bounds_default;

#endif
