/* The machines under test: each a process with a settings file of its own at an address of its own. The
 * emulator is the one program that starts processes; it ends only those, by their ids. Every start and end
 * goes to the checker. */
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "containers.h"
#include "platform_run.h"
#include "program_names.h"

enum {
	FRONT_PORT = 8689,
	READINESS_PORT = 8687,
	CONTROL_PORT = 8683,
	INTERNAL_PORT_FIRST = 7360,
	INTERNAL_PORT_LAST = 7375
};

struct machine *machine_add(struct run *run, int core, int zone)
{
	struct machine *machine;
	char base[sizeof run->address_prefix], folder[sizeof run->folder];
	int n = 0;

	memcpy(base, run->address_prefix, sizeof base);
	memcpy(folder, run->folder, sizeof folder);
	if (run->machine_count == MAX_MACHINES) {
		fprintf(stderr, "notchlug-emulator: too many machines\n");
		exit(1);
	}
	machine = &run->machines[run->machine_count];
	for (int i = 0; i < run->machine_count; i++)
		n += run->machines[i].is_core == core &&
		     !strcmp(run->machines[i].zone, run->deployment->zone[zone]);
	machine->run = run;
	machine->index = run->machine_count++;
	machine->is_core = core;
	snprintf(machine->zone, sizeof machine->zone, "%s", run->deployment->zone[zone]);
	snprintf(machine->name, sizeof machine->name, "%s-%s-%d", core ? "core" : "edge",
		 run->deployment->zone[zone], n + 1);
	snprintf(machine->ip, sizeof machine->ip, "%s.%d", base, 10 + machine->index);
	snprintf(machine->folder, sizeof machine->folder, "%s/%s-%s-%d", folder, core ? "core" : "edge",
		 run->deployment->zone[zone], n + 1);
	snprintf(machine->front_address, sizeof machine->front_address, "%s.%d:%d", base, 10 + machine->index,
		 FRONT_PORT);
	snprintf(machine->readiness_address, sizeof machine->readiness_address, "%s.%d:%d", base,
		 10 + machine->index, READINESS_PORT);
	snprintf(machine->control_address, sizeof machine->control_address, "%s.%d:%d", base,
		 10 + machine->index, CONTROL_PORT);
	machine->in_rotation = !core;
	machine->runs_old = run->old_program_folder[0] && (run->all_start_old || machine->index % 2);
	mkdir(machine->folder, 0700);
	return machine;
}

static const char *program_folder(const struct machine *machine)
{
	return machine->runs_old ? machine->run->old_program_folder : machine->run->program_folder;
}

static const char *yes_no(int value)
{
	return value ? "true" : "false";
}

static void write_identity(FILE *out, const struct machine *machine)
{
	const struct run *run = machine->run;
	const struct program_names *names = program_names_in(program_folder(machine));
	int seeds = 0;

	fprintf(
	    out,
	    "NodeName = \"%s\"\nRole = \"%s\"\nMachineClass = \"%s\"\nServedRoles = [\"%s\"]\nIpAddress = \"%s\"\nZone = \"%s\"\nRegion = \"%s\"\n",
	    machine->name, machine->is_core ? names->controller_role : names->router_role,
	    machine->is_core ? "core" : "edge", machine->is_core ? "control" : "edge", machine->ip,
	    machine->zone, run->deployment->region);
	fprintf(out, "InternalPorts = [%d,%d]\nSeedNodes = [", INTERNAL_PORT_FIRST, INTERNAL_PORT_LAST);
	for (int i = 0; i < run->machine_count && seeds < 3; i++)
		if (run->machines[i].is_core && run->machines[i].is_listed)
			fprintf(out, "%s\"%s\"", seeds++ ? "," : "", run->machines[i].control_address);
	fprintf(
	    out,
	    "]\nInitialStart = %s\nLossCounted = %s\nDiscoverySource = \"platform\"\nEntryType = \"vip\"\nBeatIntervalMs = 1200\n",
	    yes_no(!machine->start_count && run->traffic_started_at_ms < 0), yes_no(machine->is_core));
	fprintf(
	    out,
	    "ContractList = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"kvcache\",\"stream\",\"engine\",\"tenants\"]\n");
	if (machine->is_core)
		fprintf(out, "DataPath = \"%s/data\"\n", machine->folder);
}

static void write_addresses(FILE *out, const struct machine *machine)
{
	const struct deployment *deployment = machine->run->deployment;

	fprintf(out, "[Zones]\n");
	for (int i = 0; i < 4; i++)
		fprintf(out, "%s = \"%s\"\n", deployment->zone[i], deployment->region);
	fprintf(out, "[ListenAddrs]\n");
	if (machine->is_core)
		fprintf(out, "ControlAddr = \"%s\"\n", machine->control_address);
	else
		fprintf(out, "FrontAddr = \"%s\"\nReadiness = \"%s\"\n", machine->front_address,
			machine->readiness_address);
	fprintf(
	    out,
	    "[Limits]\nCpuQuota = 0.25\nCoreCount = 1\nMemoryMb = 260\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = %d\n",
	    machine->is_core ? 128 : 0);
}

static void write_bounds(FILE *out, const struct timing_bounds *bounds)
{
	fprintf(
	    out,
	    "[Tolerance]\nMachineLosses = 1\nZones = 0\nRegionLosses = 0\n[TimingBounds]\nSeedLagS = 3\nAddressReuseS = 2\n");
	fprintf(
	    out,
	    "ContactMs = %lld\nAckMs = %lld\nCatchUpS = %lld\nDrainMs = %lld\nGraceS = %lld\nLossSlackMs = %lld\nConfigApplyMs = %lld\n",
	    (long long)bounds->contact_ms, (long long)bounds->ack_ms, (long long)bounds->catch_up_ms / 1000,
	    (long long)bounds->drain_ms, (long long)bounds->grace_ms / 1000, (long long)bounds->loss_slack_ms,
	    (long long)bounds->config_apply_ms);
	fprintf(
	    out,
	    "RevertSlackMs = %lld\nDriftMaxMs = %lld\nRevocationGlobal = true\nRevokeMs = %lld\nRetryBudgetRatio = %.2f\nRetryWindowS = %lld\n",
	    (long long)bounds->revert_slack_ms, (long long)bounds->drift_max_ms, (long long)bounds->revoke_ms,
	    bounds->retry_ratio, (long long)bounds->retry_window_ms / 1000);
	fprintf(
	    out,
	    "RetryBudgetSlack = %lld\nRecoveryS = %lld\nTransitMs = %lld\nFenceChecked = %s\nLeaseMs = %lld\nThawSlackMs = %lld\nVersionMs = %lld\n",
	    (long long)bounds->retry_slack, (long long)bounds->recovery_ms / 1000,
	    (long long)bounds->transit_ms, yes_no(bounds->fence_checked), (long long)bounds->lease_ms,
	    (long long)bounds->thaw_slack_ms, (long long)bounds->version_ms);
}

/* Write the settings file of a machine, and make its folder for data. */
static void write_settings(struct machine *machine)
{
	char path[800];
	FILE *out;

	snprintf(path, sizeof path, "%s/boot.toml", machine->folder);
	out = fopen(path, "w");
	if (!out) {
		fprintf(stderr, "notchlug-emulator: %s: %s\n", path, strerror(errno));
		exit(1);
	}
	write_identity(out, machine);
	write_addresses(out, machine);
	write_bounds(out, &machine->run->bounds);
	fprintf(out, "[PlatformApi]\nAddress = \"%s\"\nRatePerS = 47.0\nDutyList = []\nMaxLagMs = 800\n",
		machine->run->list_address);
	fclose(out);
	snprintf(path, sizeof path, "%s/data", machine->folder);
	if (machine->is_core)
		mkdir(path, 0700);
}

void machine_start(struct machine *machine)
{
	struct run *run = machine->run;
	char log[800], bin[800], conf[800], home[800];
	char *argv[] = { bin, "--platform", NULL };
	char *env[] = { conf, "PATH=/usr/bin:/bin", home, "LANG=C.UTF-8", NULL, NULL };
	const char *san = getenv("ASAN_OPTIONS");
	const struct program_names *names;
	char pass[300];
	int pid, fd;

	if (machine->pid && machine->is_killed)
		machine->start_when_dead = 1; /* once the killed one is gone */
	if (machine->pid || machine->removed)
		return;
	machine->start_when_dead = 0;
	write_settings(machine);
	machine->start_count++;
	machine->draining = machine->is_frozen = 0;
	machine->quota_remaining_us = machine->quota_used_us = machine->is_throttled = 0;
	names = program_names_in(program_folder(machine));
	snprintf(bin, sizeof bin, "%s/%s", program_folder(machine),
		 machine->is_core ? names->controller : names->router);
	snprintf(conf, sizeof conf, "NOTCHLUG_CONFIG=%s/boot.toml", machine->folder);
	snprintf(home, sizeof home, "HOME=%s", machine->folder);
	snprintf(log, sizeof log, "%s/%s.log", run->folder, machine->name);
	if (san) {
		snprintf(pass, sizeof pass, "ASAN_OPTIONS=%s", san);
		env[4] = pass;
	}
	pid = fork();
	if (pid < 0) {
		perror("notchlug-emulator: fork");
		exit(1);
	}
	if (!pid) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(fd, 1);
		dup2(fd, 2);
		fd = open("/dev/null", O_RDONLY);
		dup2(fd, 0);
		for (int i = 3; i < 1024; i++)
			close(i);
		execve(bin, argv, env);
		_exit(127);
	}
	machine->pid = pid;
	checker_record_machine(run->checker, run_ms(run), machine->index, machine->is_core, CALM, 1);
}

int machine_down(const struct machine *machine)
{
	return !machine->pid;
}

static void reap(struct machine *machine)
{
	waitpid(machine->pid, NULL, 0);
	machine->pid = 0;
	machine->is_frozen = machine->draining = machine->is_killed = 0;
}

void machine_kill(struct machine *machine)
{
	if (!machine->pid || machine->is_killed)
		return;
	checker_record_machine(machine->run->checker, run_ms(machine->run), machine->index, machine->is_core,
			       UNPLANNED, 0);
	kill(machine->pid, SIGKILL);
	machine->is_killed = 1;
}

void machine_term(struct machine *machine)
{
	if (!machine->pid || machine->is_killed)
		return;
	checker_record_machine(machine->run->checker, run_ms(machine->run), machine->index, machine->is_core,
			       PLANNED, 0);
	kill(machine->pid, SIGTERM);
	machine->draining = 1;
	machine->drain_deadline_ms = run_ms(machine->run) + machine->run->bounds.grace_ms;
}

void machine_freeze(struct machine *machine, int on)
{
	if (!machine->pid || machine->is_killed || machine->is_frozen == on)
		return;
	machine->is_frozen = on;
	checker_record_machine(machine->run->checker, run_ms(machine->run), machine->index, machine->is_core,
			       UNPLANNED, !on);
	kill(machine->pid, on ? SIGSTOP : SIGCONT);
	if (!on)
		machine->run->fleet.thawed_at_ms = run_ms(machine->run);
}

void machine_reload(struct machine *machine)
{
	write_settings(machine);
	if (!machine->pid)
		return;
	checker_record_reload(machine->run->checker, run_ms(machine->run), machine->index);
	kill(machine->pid, SIGHUP);
}

void machine_wipe(struct machine *machine)
{
	char path[1100];
	DIR *d;
	struct dirent *dirent;

	snprintf(path, sizeof path, "%s/data", machine->folder);
	d = opendir(path);
	while (d && (dirent = readdir(d))) {
		if (dirent->d_name[0] == '.' && (!dirent->d_name[1] || !strcmp(dirent->d_name, "..")))
			continue;
		snprintf(path, sizeof path, "%s/data/%s", machine->folder, dirent->d_name);
		unlink(path);
	}
	if (d)
		closedir(d);
}

void machine_remove(struct machine *machine)
{
	machine_kill(machine);
	machine->removed = 1;
	machine->in_rotation = 0;
	checker_record_machine(machine->run->checker, run_ms(machine->run), machine->index, machine->is_core,
			       UNPLANNED, -1);
}

void machine_retire(struct machine *machine)
{
	machine->is_retiring = 1;
	machine_term(machine);
}

static void retired(struct machine *machine)
{
	machine->removed = 1;
	machine->in_rotation = 0;
	checker_record_machine(machine->run->checker, run_ms(machine->run), machine->index, machine->is_core,
			       PLANNED, -1);
}

static void restart_machine(void *ctx)
{
	struct machine *machine = ctx;

	machine->timer = 0;
	machine_start(machine);
}

void machines_poll(struct run *run)
{
	for (int i = 0; i < run->machine_count; i++) {
		struct machine *machine = &run->machines[i];
		int st = 0;

		if (!machine->pid)
			continue;
		if (machine->draining && run_ms(run) > machine->drain_deadline_ms) {
			run_log(run, "%s is still there after GraceS and is killed", machine->name);
			kill(machine->pid, SIGKILL);
		}
		if (waitpid(machine->pid, &st, WNOHANG) != machine->pid)
			continue;
		machine->pid = 0;
		machine->is_frozen = 0;
		if (machine->is_killed) {
			machine->is_killed = 0;
			if (machine->start_when_dead)
				machine_start(machine);
			continue;
		}
		if (machine->draining) {
			machine->draining = 0;
			if (machine->is_retiring)
				retired(machine);
			continue;
		}
		machine->unexpected_exits++;
		checker_record_unexpected_exit(run->checker, run_ms(run), machine->index);
		run_log(run, "%s ended by itself (%s %d); see its log", machine->name,
			WIFSIGNALED(st) ? "signal" : "code",
			WIFSIGNALED(st) ? WTERMSIG(st) : WEXITSTATUS(st));
		machine->timer = loop_after(run->loop, ms_us(500), restart_machine, machine);
	}
}

void machines_stop(struct run *run)
{
	for (int i = 0; i < run->machine_count; i++) {
		struct machine *machine = &run->machines[i];

		loop_cancel(run->loop, machine->timer);
		machine->start_when_dead = 0;
		if (!machine->pid || machine->is_killed)
			continue;
		kill(machine->pid, SIGCONT);
		kill(machine->pid, SIGTERM);
		machine->draining = 1;
		machine->drain_deadline_ms = run_ms(run) + 10000;
	}
	for (int turns = 0; turns < 400; turns++) {
		int remaining = 0;

		for (int i = 0; i < run->machine_count; i++)
			remaining += run->machines[i].pid != 0;
		if (!remaining)
			return;
		loop_until(run->loop, ms_us(25), NULL, NULL);
		machines_poll(run);
	}
	for (int i = 0; i < run->machine_count; i++)
		if (run->machines[i].pid) {
			kill(run->machines[i].pid, SIGKILL);
			reap(&run->machines[i]);
		}
}
