/* bounds: the limits that a deployment guarantees to its users, as durations and counts. They are read
 * from the settings (platform/settings.c); bounds_default applies to those that are not set. */
#ifndef NL_BOUNDS_H
#define NL_BOUNDS_H

#include <stdint.h>

/* Filled in when the process starts, and again whenever the settings are reloaded. */
struct bounds {
	int config_ms;   /* maximum time until a configuration change is in force at every node */
	int revoke_ms;   /* maximum time until every router rejects a removed key */
	int drift_ms;    /* added to config_ms while the configuration has no leader */
	int contact_ms;  /* a node without a fault for this long counts as in contact */
	int drain_ms;    /* maximum time until a draining server receives no more requests */
	int ack_ms;      /* maximum time until an operator's change is acknowledged */
	int catch_up_ms; /* maximum time until a lost member of a Raft group is replaced, or a returned one
			    has caught up */
	int grace_ms;    /* time between the request to stop a process and its forced termination */
	int lease_ms;    /* a new lease holder waits this long for servers with load commands of an earlier
			    holder */
	int thaw_ms;     /* tolerance for actions of a frozen process right after it resumes */
	int recover_ms;  /* maximum time until the fleet serves requests again after lost machines have
			    rejoined */
	int rollout_ms;  /* maximum time until every server runs the target weights */
	int retry_budget_permille; /* retries of the fleet allowed in any window: per mille of its requests,
				      plus retry_budget_slack */
	int retry_budget_slack;    /* retries allowed in any window beyond the per-mille budget */
	int retry_budget_window_ms;
	int replicas; /* replicas of each shard: twice the number of machines that may be lost at once, plus
			 one */
	int list_calls_millihertz; /* calls of the fleet to the endpoint list, in thousandths of a call per
				      second; 0: there is no endpoint list */
	int discover_instances;    /* servers are taken from the endpoint list, not from the configuration */
	int link_kbps;             /* capacity of this machine's network link, in kbit/s; 0: unknown */
	int experiments;           /* an experiment is running: decisions are logged as well */
	uint32_t disabled_mechanisms; /* bit set of the enum mechanism values that an experiment has switched
					 off */
};

extern const struct bounds bounds_default;

#endif
