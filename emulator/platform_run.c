/* One run on the platform's emulator: set up, traffic, scenario, end of traffic, verdict. */
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "containers.h"
#include "platform_internal.h"

/* Two deployments of the platform's pages: their classes of requests with sizes, targets, rates and values.
 */
const struct deployment deployments[2] = {
	{ .name = "warisan", .host = "ficu95.example", .service = "lm-registry", .store = "clerk-desk", .model = "daka510000",
	  .zone = { "shah-alam-a", "petaling-b", "cyberjaya-c", "putrajaya-d" }, .region = "my-central", .tenants = 8,
	  .classes = {
		{ "lineage-recon", "/lohu930/", 13300, 3720, 24, 600, 400, 8000, 1, 1, 2, 1, 161, 42.9, 2, 0.6 },
		{ "cert-transcribe", "/pufi791/", 6300, 2890, 10, 500, 400, 5000, 1, 0, 1, 0, 126, 33.5, 3, 0.9 },
		{ "name-check", "/wuno96/", 350, 1110, 34, 400, 400, 10000, 1, 1, 2, 2, 264, 46.7, 1, 0.3 },
	  } },
	{ .name = "teduh", .host = "kaje80.example", .service = "lm-pool", .store = "tenant-desk", .model = "huvo110000",
	  .zone = { "petaling", "gombak", "klang", "ampang" }, .region = "klang-valley", .tenants = 8,
	  .classes = {
		{ "arrears-query", "/daka51/", 13300, 3720, 24, 400, 250, 8000, 1, 1, 2, 1, 161, 54.7, 2, 1 },
		{ "repair-check", "/ieis12/", 6300, 2890, 10, 300, 250, 4000, 1, 0, 1, 0, 126, 40.9, 3, 1.5 },
		{ "msg-sort", "/a9rg35/", 350, 1110, 34, 300, 250, 10000, 1, 1, 2, 2, 264, 58.9, 1, 0.5 },
	  } },
};

void run_log(struct run *run, const char *fmt, ...)
{
	va_list ap;

	fprintf(stderr, "notchlug-emulator: %7.3f ", (double)run_ms(run) / 1000);
	va_start(ap, fmt);
	vfprintf(stderr, fmt, ap);
	va_end(ap);
	fputc('\n', stderr);
}

void run_for(struct run *run, int64_t ms)
{
	int64_t until = run_ms(run) + ms;

	while (run_ms(run) < until && !run->undecided_reason) {
		int64_t remaining_ms = until - run_ms(run);

		loop_until(run->loop, ms_us((double)(remaining_ms < 20 ? remaining_ms : 20)), NULL, NULL);
		machines_poll(run);
		if (run->traffic_started_at_ms >= 0)
			histogram_add(&run->figures.own_lag_ms, loop_max_lateness(run->loop) / 1000);
	}
}

int run_wait_for(struct run *run, int64_t ms, int (*condition)(struct run *r))
{
	int64_t until = run_ms(run) + ms;

	while (!condition(run) && run_ms(run) < until)
		run_for(run, 20);
	return condition(run);
}

int run_operator_idle(struct run *run)
{
	return operator_idle(run->config_operator);
}

static int has_read_back(struct run *run)
{
	return operator_read_done(run->config_operator);
}

static int clients_are_idle(struct run *run)
{
	return !clients_busy(run->clients);
}

static int is_ready_for_traffic(struct run *run)
{
	int ok = operator_acked(run->config_operator) > 0;

	for (int i = 0; i < run->machine_count; i++)
		ok &= run->machines[i].is_core ||
		      (run->machines[i].in_rotation && !run->machines[i].probe_failures);
	return ok;
}

/* The bounds that the checker judges by: the processes are told the sheet's, the checker is as patient as
 * asked. GraceS is the emulator's own and stays. */
static struct timing_bounds judged_bounds(const struct run *run)
{
	struct timing_bounds judged = run->bounds;
	int64_t *stretched[] = { &judged.ack_ms,          &judged.drain_ms,     &judged.config_apply_ms,
				 &judged.revert_slack_ms, &judged.revoke_ms,    &judged.version_ms,
				 &judged.recovery_ms,     &judged.loss_slack_ms };

	if (run->slack > 1)
		for (size_t i = 0; i < sizeof stretched / sizeof *stretched; i++)
			*stretched[i] *= run->slack;
	if (run->impossible) { /* nobody can keep these: the checker must say so */
		judged.config_apply_ms = judged.revert_slack_ms = -3000;
		judged.ack_ms = judged.drain_ms = judged.revoke_ms = judged.version_ms = 0;
		judged.retry_slack = -1000000;
		judged.lease_ms = 1000000;
	}
	return judged;
}

static void set_engine(struct run *run, const char *deployment)
{
	struct engine *engine = &run->fleet.engine;

	*engine = default_engine;
	engine->drain_ms = (int)run->bounds.drain_ms;
	run->fleet.rng = run->seed * 7 + 1;
	run->fleet.newest_version = 1;
	run->fleet.thaw_ms = (int)run->bounds.thaw_slack_ms;
	run->deployment = &deployments[!strcmp(deployment, "teduh")];
	if (run->deployment == &deployments[1]) {
		engine->kv_capacity_tokens = 319789;
		engine->step_ms = 3.55;
		engine->prefill_tokens_per_ms = 157;
		engine->load_ms = 1100;
	}
	run->fleet.model = run->deployment->model;
}

/* Model servers, the store and the list; 0: an address cannot be listened at. */
static int start_servers(struct run *run)
{
	int servers = run->small ? 4 : 18;
	char address[48];

	for (int i = 0; i < servers; i++) {
		snprintf(address, sizeof address, "%s.%d:8080", run->address_prefix, 100 + i);
		server_add(&run->fleet, address, run->deployment->zone[i % 4], run->deployment->service, 0);
	}
	snprintf(address, sizeof address, "%s.250:8680", run->address_prefix);
	server_add(&run->fleet, address, run->deployment->zone[1], run->deployment->store, 1);
	for (int i = 0; i < arrlen(run->fleet.servers); i++)
		server_up(run->fleet.servers[i]);
	snprintf(run->list_address, sizeof run->list_address, "%s.251:8688", run->address_prefix);
	return list_open(&run->fleet,
			 &(struct list_settings){ run->list_address, 800, 5, 47, run->verbose > 1 }) != NULL;
}

static void start_machines(struct run *run)
{
	int cores = run->cores ? run->cores : run->small ? 3 : 4;

	for (int i = 0; i < cores; i++)
		machine_add(run, 1, i % 4)->is_listed = 1;
	for (int i = 0; i < run->edges; i++)
		machine_add(run, 0, i % 4);
	for (int i = 0; i < run->machine_count; i++)
		machine_start(&run->machines[i]);
}

/* Wait until the first configuration is taken and the edges are ready; if not, the run says why it proves
 * nothing. */
static void wait_until_ready(struct run *run)
{
	run_wait_for(run, 20000, is_ready_for_traffic);
	for (int i = 0; i < run->machine_count && !run->undecided_reason; i++)
		if (run->machines[i].unexpected_exits >= 3)
			run->undecided_reason =
			    "processes end by themselves at their start: do they know --platform?";
	if (!run->undecided_reason && !operator_acked(run->config_operator))
		run->undecided_reason = "no node took the first configuration within 20 s";
	if (!run->undecided_reason && !is_ready_for_traffic(run))
		run_log(run, "not every edge is ready 20 s after the start");
	while (run_ms(run) < run->bounds.contact_ms + 1000 && !run->undecided_reason)
		run_for(run, 20);
}

/* Bring up the whole platform and the machines under test; 0: the run proves nothing. */
static int set_up(struct run *run, const char *deployment)
{
	struct timing_bounds judged = judged_bounds(run);

	run->loop = loop_open();
	run->fleet.loop = run->loop;
	run->fleet.started_at_us = loop_us();
	run->checker = checker_open(&judged);
	run->fleet.checker = run->checker;
	set_engine(run, deployment);
	run->rng = run->seed;
	run->traffic_started_at_ms = -1;
	snprintf(run->address_prefix, sizeof run->address_prefix, "127.%d.%d", 16 + (getpid() / 250) % 200,
		 1 + getpid() % 250);
	if (!start_servers(run))
		return 0;
	start_machines(run);
	run->config_operator = operator_open(run);
	run->clients = clients_open(run);
	operator_submit_first(run->config_operator);
	wait_until_ready(run);
	run_log(run, "traffic starts");
	run->traffic_started_at_ms = run_ms(run);
	return !run->undecided_reason;
}

/* Whether this process, or one under test, waited for a processor for longer than the run bears. */
static int is_late(const struct run *run)
{
	return histogram_quantile(&run->figures.own_lag_ms, 1) > run->max_lateness_ms * run->slack ||
	       run->max_wait_ms > run->max_lateness_ms * run->slack;
}

/* Whether a violation that no delay explains is among these. */
static int has_timeless_violation(const struct violation *violation, int n)
{
	/* rules that no delay excuses */
	static const char *const rules[] = { "TWICE", "MIXED", "ORDER", "UNASKED", "ROUTE",
					     "STALE", "WALL",  "ONE",   "FAULT" };

	for (int i = 0; i < n; i++)
		for (size_t k = 0; k < sizeof rules / sizeof *rules; k++)
			if (!strcmp(violation[i].rule, rules[k]))
				return 1;
	return 0;
}

int disk_explains_all(const struct disk_stall *stalls, int n, const struct violation *violation,
		      int violation_count, int64_t reach)
{
	for (int i = 0; i < violation_count; i++)
		if (!disk_explains(stalls, n, violation[i].at_ms, reach))
			return 0;
	return violation_count > 0 && !has_timeless_violation(violation, violation_count);
}

/* The gate: at most 60% of the requests are refused or fail. */
static int gate_broken(const struct run *run)
{
	int completed = 0, requests = 0;

	for (int i = 0; i < CLASS_COUNT; i++)
		completed += run->figures.completed[i], requests += run->figures.requests[i];
	if (completed && completed * 10 >= requests * 4)
		return 0;
	printf("BREACH GATE     : %d of %d requests were served\n", completed, requests);
	return 1;
}

/* A run under short bounds proves nothing if it was held up, if it never put VERSION to the test, or if too
 * little was served and nothing else is wrong: how much the faults leave to be served is not known. */
static void timed_verdict(struct run *run, int broken, int gate, const struct violation *violation, int n)
{
	int at_stake = checker_version_rule_exercised(run->checker);
	int64_t longest = run->max_lateness_ms * run->slack;

	printf(
	    "VERSION was judged on %d requests; tries over kept connections to processes told to end: %d\n",
	    at_stake, run->figures.draining_reuses);
	printf("a process under test waited for a processor at most %lld ms of a second\n",
	       (long long)run->max_wait_ms);
	if (!broken && gate)
		run->undecided_reason = "too little was served";
	else if (!broken && !at_stake)
		run->undecided_reason = "no request began when the rule VERSION could have been broken";
	printf("a small sync took at most %lld ms; %d took more than %lld ms\n", (long long)run->max_sync_ms,
	       run->stall_count, (long long)longest);
	for (int i = 0; i < run->stall_count; i++)
		printf("the disk stood still from %lld to %lld ms\n", (long long)run->stalls[i].from,
		       (long long)run->stalls[i].to);
	if (broken && !run->fleet.old_blocks_used &&
	    disk_explains_all(run->stalls, run->stall_count, violation, n,
			      run->bounds.version_ms + run->bounds.contact_ms))
		run->undecided_reason =
		    "the disk stood still before each breach: what depends on time is nobody's fault here";
	if (broken && is_late(run) && !has_timeless_violation(violation, n))
		run->undecided_reason =
		    "this process or one under test was held up: what depends on time is nobody's fault here";
}

static void start_quota_and_disk_watch(struct run *run)
{
	if (run->core_share > 0 || run->router_share > 0)
		quota_start(run);
	if (run->max_lateness_ms)
		run->disk_watch = disk_watch_open(run->folder, run->fleet.started_at_us,
						  run->max_lateness_ms * run->slack, fdatasync);
}

static void disk_watch_end(struct run *run)
{
	if (!run->disk_watch)
		return;
	run->stall_count = disk_watch_close(run->disk_watch, run->stalls, MAX_DISK_STALLS, &run->max_sync_ms);
	run->disk_watch = NULL;
}

int platform_run_scenario(struct run *run, const char *deployment, const struct platform_scenario *scenario,
			  const char *report)
{
	const struct violation *violation = NULL;
	int n = 0, rc = 1, gate;

	if (!set_up(run, deployment))
		goto end;
	start_quota_and_disk_watch(run);
	clients_traffic(run->clients, 1);
	scenario->play(run);
	clients_traffic(run->clients, 0);
	run_wait_for(run, 11000, clients_are_idle);
	run_wait_for(run, 6000, run_operator_idle);
	if (run->undecided_reason)
		goto end;
	operator_read_back(run->config_operator);
	run_wait_for(run, 6 * run->bounds.contact_ms, has_read_back);
	disk_watch_end(run);
	n = checker_run(run->checker, run_ms(run), &violation);
	report_print(run, violation, n);
	if (report && !report_write(run, report, violation, n))
		goto end;
	rc = n != 0;
	if (run->fleet.old_blocks_used) {
		printf("BREACH CLEARED  : %llu parts of before a clearing were used after it\n",
		       (unsigned long long)run->fleet.old_blocks_used);
		rc = 1;
	}
	gate = gate_broken(run);
	if (run->max_lateness_ms)
		timed_verdict(run, rc, gate, violation, n);
	rc |= gate;
end:
	if (run->undecided_reason) {
		printf("UNDECIDED: %s\n", run->undecided_reason);
		rc = 3;
	}
	if (run->clients)
		clients_close(run->clients);
	if (run->config_operator)
		operator_close(run->config_operator);
	quota_release(run);
	disk_watch_end(run);
	machines_stop(run);
	if (invariant_lines(run))
		rc = 1;
	if (run->fleet.list)
		list_close(run->fleet.list);
	servers_free(&run->fleet);
	loop_close(run->loop);
	checker_close(run->checker);
	free(run->figures.seconds);
	printf("%s %s seed %llu%s: %s; logs in %s\n", run->deployment->name, scenario->name,
	       (unsigned long long)run->seed, run->small ? " small" : "",
	       rc == 0   ? "no rule broken"
	       : rc == 3 ? "undecided"
			 : "RULES BROKEN",
	       run->folder);
	return rc;
}
