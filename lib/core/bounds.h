/* bounds: the limits that a deployment guarantees to its users, as durations and counts. They are read
 * from the settings (platform/settings.c); bounds_default applies to those that are not set. */
#ifndef NL_BOUNDS_H
#define NL_BOUNDS_H

#include <stdint.h>

/* Filled in when the process starts, and again whenever the settings are reloaded. */
struct bounds {
	int config_propagation_ms; /* maximum time until a configuration change is in force at every node */
	int key_revocation_ms;     /* maximum time until every router rejects a removed key */
	int config_leaderless_extra_ms; /* added to config_propagation_ms while the configuration has no
					   leader */
	int contact_window_ms;          /* a node without a fault for this long counts as in contact */
	int server_drain_ms;            /* maximum time until a draining server receives no more requests */
	int change_ack_ms;              /* maximum time until an operator's change is acknowledged */
	int member_catch_up_ms; /* maximum time until a lost member of a Raft group is replaced, or a returned
			    one has caught up */
	int stop_grace_ms;      /* time between the request to stop a process and its forced termination */
	int load_lease_wait_ms; /* a new lease holder waits this long for servers with load commands of an
			 earlier holder */
	int resume_tolerance_ms; /* tolerance for actions of a frozen process right after it resumes */
	int fleet_recovery_ms; /* maximum time until the fleet serves requests again after lost machines have
			   rejoined */
	int rollout_ms;        /* maximum time until every server runs the target weights */
	int retry_budget_permille; /* retries of the fleet allowed in any window: per mille of its requests,
				      plus retry_budget_slack */
	int retry_budget_slack;    /* retries allowed in any window beyond the per-mille budget */
	int retry_budget_window_ms;
	int replicas; /* replicas of each shard: twice the number of machines that may be lost at once, plus
			 one */
	int endpoint_list_calls_millihertz; /* calls of the fleet to the endpoint list, in thousandths of a
				      call per second; 0: there is no endpoint list */
	int use_endpoint_list; /* servers are taken from the endpoint list, not from the configuration */
	int link_kbps;         /* capacity of this machine's network link, in kbit/s; 0: unknown */
	int is_experiment;     /* an experiment is running: decisions are logged as well */
	uint32_t disabled_mechanisms; /* bit set of the enum mechanism values that an experiment has switched
					 off */
};

extern const struct bounds bounds_default;

#endif
