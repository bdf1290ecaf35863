#include "bounds.h"

const struct bounds bounds_default = {
	.config_ms = 2000,
	.revoke_ms = 5000,
	.drift_ms = 5000,
	.contact_ms = 3000,
	.drain_ms = 3000,
	.ack_ms = 4000,
	.catch_up_ms = 6000,
	.grace_ms = 30000,
	.lease_ms = 3000,
	.thaw_ms = 300,
	.recover_ms = 12000,
	.rollout_ms = 25000,
	.retry_budget_permille = 200,
	.retry_budget_slack = 18,
	.retry_budget_window_ms = 10000,
	.replicas = 3,
	.list_calls_millihertz = 0,
	.discover_instances = 0,
	.link_kbps = 0,
};
