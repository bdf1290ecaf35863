#include "bounds.h"

const struct bounds bounds_default = {
	.config_propagation_ms = 2000,
	.key_revocation_ms = 5000,
	.config_leaderless_extra_ms = 5000,
	.contact_window_ms = 3000,
	.server_drain_ms = 3000,
	.change_ack_ms = 4000,
	.member_catch_up_ms = 6000,
	.stop_grace_ms = 30000,
	.load_lease_wait_ms = 3000,
	.resume_tolerance_ms = 300,
	.fleet_recovery_ms = 12000,
	.rollout_ms = 25000,
	.retry_budget_permille = 200,
	.retry_budget_slack = 18,
	.retry_budget_window_ms = 10000,
	.replicas = 3,
	.endpoint_list_calls_millihertz = 0,
	.use_endpoint_list = 0,
	.link_kbps = 0,
};
